//! Messages between workers and controllers: status reports (heartbeats with the status of all tasks), the responses to
//! them, and commands sent directly to a worker. Types only.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// `POST` to a controller: a worker's heartbeat ([`StatusReport`](super::StatusReport)).
    pub const REPORT: &str = "/v1/report";
    /// `POST` to a worker: commands ([`DirectCommands`](super::DirectCommands)).
    pub const COMMANDS: &str = "/commands";
    /// `GET` from a worker: probes it; the response is its [`StatusReport`](super::StatusReport).
    pub const INSPECT: &str = "/inspect";
}

/// A worker's status report: a heartbeat with the status of all tasks on the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the machine. Wire: `berth`.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Address at which the worker accepts commands. Wire: `addr`.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// Name of the machine type. Wire: `hull`.
    #[serde(default, rename = "hull")]
    pub machine_type: String,
    /// Zone in which the machine is located. Wire: `dock`.
    #[serde(default, rename = "dock")]
    pub zone: String,
    /// Whether it is a spot machine. Wire: `driftwood`.
    #[serde(default, rename = "driftwood")]
    pub spot: bool,
    /// Number of the worker's session. It increases when the worker's lease expires; a restarted worker may count from 1
    /// again. Wire: `watch`.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Sequence number of the message. Of two messages, the one with the greater (session, sequence) is the newer one.
    /// Wire: `tick`.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen. Wire: `helm`.
    #[serde(default, rename = "helm")]
    pub fencing_token: u64,
    /// Spot interruption notice: seconds until the cloud reclaims the machine. None: no notice. Wire: `recall_s`.
    #[serde(default, rename = "recall_s")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including exited ones until a command drops them. Wire: `shards`.
    #[serde(default, rename = "shards")]
    pub tasks: Vec<TaskStatus>,
}

/// Status of one task in a report.
#[derive(Debug, Clone, PartialEq, Hash, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task: the job id, a slash and the task's index (`wk-000412/3`). Wire: `shard`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt number, unique among the attempts of the task. Wire: `launch`.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Phase of the attempt. Wire: `status`.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why the attempt exited; none unless it has. Wire: `cause`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the progress was saved when the attempt was stopped. Wire: `stored`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "stored")]
    pub progress_saved: Option<bool>,
}

/// Phase of a task's attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task waits for its image. Wire: `fetching`.
    #[serde(rename = "fetching")]
    Fetching,
    /// The task waits for the other tasks of its gang. It occupies its resources without making progress.
    /// Wire: `gathering`.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// The task runs. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// The task has been told to stop and saves a checkpoint. Wire: `saving`.
    #[serde(rename = "saving")]
    Saving,
    /// The task has exited; [`TaskStatus::exit_cause`] states why. Wire: `exited`.
    #[serde(rename = "exited")]
    Exited,
    /// A phase unknown to this version. The task is assumed to occupy its resources. Wire: `unknown`.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitCause {
    /// The task ran to completion. Wire: `done`.
    #[serde(rename = "done")]
    Completed,
    /// The task was stopped by a command. Wire: `halted`.
    #[serde(rename = "halted")]
    Stopped,
    /// The gang has lost another of its tasks. Wire: `mates_gone`.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang was not complete in time. Wire: `alone`.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The task failed, in most cases because the machine is faulty, sometimes because of an error in the job.
    /// Wire: `error`.
    #[serde(rename = "error")]
    Failed,
    /// The start was refused because the machine has too few free resources. Wire: `no_room`.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused because another attempt of the task is on the machine. Wire: `in_use`.
    #[serde(rename = "in_use")]
    ConflictingAttempt,
    /// The start was refused because the worker does not know the job or the task. Wire: `no_such`.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause unknown to this version, treated as a failure. Wire: `other`.
    #[serde(other, rename = "other")]
    Other,
}

impl ExitCause {
    /// The name of the cause in events delivered to plug-ins. These names are part of the plug-in interface.
    pub fn event_name(self) -> &'static str {
        match self {
            ExitCause::Completed => "done",
            ExitCause::Stopped => "stopped",
            ExitCause::GangMemberLost => "peersgone",
            ExitCause::GangIncomplete => "alone",
            ExitCause::Failed => "error",
            ExitCause::InsufficientResources => "noroom",
            ExitCause::ConflictingAttempt => "inuse",
            ExitCause::UnknownJob => "nosuch",
            ExitCause::Other => "other",
        }
    }
}

/// A command to a worker concerning one attempt of a task. Commands are executed in order. They are idempotent, except
/// that a `Start` after a `Forget` starts the attempt once more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The action. Wire: `verb`.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Id of the task: the job id, a slash and the task's index. Wire: `shard`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt number. Wire: `launch`.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Grace period of a stop, seconds. A running task saves a checkpoint if the period is at least the time that this
    /// takes. Wire: `ease_s`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "ease_s")]
    pub grace_s: Option<f64>,
}

/// Kind of command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Starts the attempt, unless the worker already has it in any phase. Wire: `start`.
    #[serde(rename = "start")]
    Start,
    /// Stops the attempt, with a grace period for a checkpoint. Wire: `stop`.
    #[serde(rename = "stop")]
    Stop,
    /// Drops an exited attempt from the worker's reports. Wire: `reap`.
    #[serde(rename = "reap")]
    Forget,
}

/// Response to a status report by the leader, or by a follower to which the leader has delegated answering. It renews the
/// worker's lease. A worker that has seen a higher fencing token drops it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token. Wire: `helm`.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Commands, in the order of execution. Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent to a worker directly and not in the response to a report. They do not renew the worker's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token. A worker that has seen a higher one ignores the commands. Wire: `helm`.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// The worker's session. A worker in any other session ignores the commands. Wire: `watch`.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Commands, in the order of execution. Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response (status 421) to a report by a controller that does not serve the worker.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to which to report. None: the worker tries the next one. Wire: `harbor`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "harbor")]
    pub controller: Option<String>,
}
