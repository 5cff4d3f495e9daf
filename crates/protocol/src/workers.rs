//! Workers and the controllers.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// A worker's report to a controller.
    pub const REPORT: &str = "/v1/report";
    /// Commands to a worker.
    pub const COMMANDS: &str = "/commands";
    /// A worker's report on request.
    pub const INSPECT: &str = "/inspect";
}

/// A report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The machine's name.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Where its worker takes commands.
    #[serde(default)]
    #[serde(rename = "addr")]
    pub address: String,
    /// Machine type.
    #[serde(default)]
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(default)]
    #[serde(rename = "dock")]
    pub zone: String,
    /// Spot machine.
    #[serde(default)]
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Message number within all sessions.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(default)]
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub reclaim_in_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(default)]
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskStatus>,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Hash, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job and task number.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "stored")]
    pub progress_saved: Option<bool>,
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TaskPhase {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    WaitingForGang,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Saves.
    #[serde(rename = "saving")]
    Saving,
    /// Ended.
    #[serde(rename = "exited")]
    Exited,
    /// A state this version does not know: taken as occupying the machine.
    #[serde(other, rename = "unknown")]
    Unknown,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitCause {
    /// Completed.
    #[serde(rename = "done")]
    Completed,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Gang: another task is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// Gang: was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Refused: another attempt is there.
    #[serde(rename = "in_use")]
    ConflictingAttempt,
    /// Refused: no such job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause this version does not know: taken as a failure.
    #[serde(other, rename = "other")]
    Other,
}

impl ExitCause {
    /// The cause as event receivers of plug-ins are told it. These names are part of the plug-in interface.
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

/// What a worker is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Start, stop or forget.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Job and task number.
    #[serde(rename = "shard")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Grace of a stop, s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ease_s")]
    pub grace_s: Option<f64>,
}

/// Kind of command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Start an attempt.
    #[serde(rename = "start")]
    Start,
    /// Stop it.
    #[serde(rename = "stop")]
    Stop,
    /// Drop it from the reports.
    #[serde(rename = "reap")]
    Forget,
}

/// Answer to a report by the node that leads.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Token.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Token.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Session meant.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Answer to a report by a node that does not lead.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "harbor")]
    pub controller: Option<String>,
}
