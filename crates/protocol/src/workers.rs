//! Messages between workers and controllers: reports (heartbeats with full task status), their responses, and
//! commands sent directly. Types only.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// `POST` to a controller: a worker's heartbeat ([`StatusReport`](super::StatusReport)).
    pub const REPORT: &str = "/v1/report";
    /// `POST` to a worker: [`DirectCommands`](super::DirectCommands).
    pub const COMMANDS: &str = "/commands";
    /// `GET` from a worker: its [`StatusReport`](super::StatusReport), asked for as a probe.
    pub const INSPECT: &str = "/inspect";
}

/// A worker's report: heartbeat with the status of every task on the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the machine. Wire: `berth`.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Address at which the worker takes commands. Wire: `addr`.
    #[serde(default, rename = "addr")]
    pub address: String,
    /// Name of the machine type. Wire: `hull`.
    #[serde(default, rename = "hull")]
    pub machine_type: String,
    /// Zone the machine stands in. Wire: `dock`.
    #[serde(default, rename = "dock")]
    pub zone: String,
    /// Whether it is a spot machine. Wire: `driftwood`.
    #[serde(default, rename = "driftwood")]
    pub spot: bool,
    /// Number of the worker's session. It rises when the worker's lease expires; a restarted worker
    /// may count from 1 again. Wire: `watch`.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Sequence number of the message. The message with the larger (session, sequence) is the newer
    /// one. Wire: `tick`.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen. Wire: `helm`.
    #[serde(default, rename = "helm")]
    pub fencing_token: u64,
    /// Spot interruption notice: seconds until the cloud takes the machine. None: no notice.
    /// Wire: `recall_s`.
    #[serde(default, rename = "recall_s")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, exited ones included until they are forgotten by command.
    /// Wire: `shards`.
    #[serde(default, rename = "shards")]
    pub tasks: Vec<TaskStatus>,
}

/// Status of one task in a report.
#[derive(Debug, Clone, PartialEq, Hash, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task: job id, slash, index (`wk-000412/3`). Wire: `shard`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt number, never used twice for a task. Wire: `launch`.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Phase of the attempt. Wire: `status`.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it exited; none unless it has. Wire: `cause`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved when it was stopped. Wire: `stored`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "stored")]
    pub progress_saved: Option<bool>,
}

/// Phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Waits for its image. Wire: `fetching`.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for the other tasks of its gang; occupies its resources without progress.
    /// Wire: `gathering`.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs. Wire: `running`.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop, and saves a checkpoint. Wire: `saving`.
    #[serde(rename = "saving")]
    Saving,
    /// Ended; [`TaskStatus::exit_cause`] says why. Wire: `exited`.
    #[serde(rename = "exited")]
    Exited,
    /// A phase that this version does not know: taken as occupying the machine. Wire: `unknown`.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitCause {
    /// It completed. Wire: `done`.
    #[serde(rename = "done")]
    Completed,
    /// Stopped by command. Wire: `halted`.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone. Wire: `mates_gone`.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// Its gang was not complete in time. Wire: `alone`.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// It failed: mostly the machine is faulty, sometimes the job is mistaken. Wire: `error`.
    #[serde(rename = "error")]
    Failed,
    /// Start refused: the machine has too little free. Wire: `no_room`.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on the machine. Wire: `in_use`.
    #[serde(rename = "in_use")]
    ConflictingAttempt,
    /// Start refused: the worker knows no such job or task. Wire: `no_such`.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause that this version does not know: taken as a failure. Wire: `other`.
    #[serde(other, rename = "other")]
    Other,
}

impl ExitCause {
    /// The cause as event receivers of plug-ins are told it. These names are part of the plug-in
    /// interface.
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

/// A command to a worker about one attempt of a task. Commands are executed in order; each may be
/// repeated, but a `Start` after `Forget` starts the attempt once more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What the worker has to do. Wire: `verb`.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// The task: job id, slash, index. Wire: `shard`.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt number. Wire: `launch`.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Grace period of a stop, seconds: a running task saves if this is at least the time it needs
    /// to. Wire: `ease_s`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "ease_s")]
    pub grace_s: Option<f64>,
}

/// Kind of command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Starts an attempt, unless the worker already has it in any phase. Wire: `start`.
    #[serde(rename = "start")]
    Start,
    /// Stops it, with a grace period for a checkpoint. Wire: `stop`.
    #[serde(rename = "stop")]
    Stop,
    /// Drops an exited attempt from the reports. Wire: `reap`.
    #[serde(rename = "reap")]
    Forget,
}

/// Response to a report by whoever may answer for the controllers. It renews the worker's lease,
/// unless the worker has seen a higher fencing token and drops it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token. Wire: `helm`.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Commands, in the order of execution. Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker, outside a response to a report. They do not renew its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token: a worker that has seen a higher one executes nothing.
    /// Wire: `helm`.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// The session meant: in any other the worker executes nothing. Wire: `watch`.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Commands, in the order of execution. Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response (421) to a report by a controller that does not answer it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller to report to; none: the worker tries the next one. Wire: `harbor`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "harbor")]
    pub controller: Option<String>,
}
