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
pub struct Report {
    /// The machine's name.
    pub berth: String,
    /// Where its worker takes commands.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    #[serde(default)]
    pub hull: String,
    /// Zone.
    #[serde(default)]
    pub dock: String,
    /// Spot machine.
    #[serde(default)]
    pub driftwood: bool,
    /// Session.
    pub watch: u64,
    /// Message number within all sessions.
    pub tick: u64,
    /// Highest token seen.
    #[serde(default)]
    pub helm: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(default)]
    pub recall_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(default)]
    pub shards: Vec<Shard>,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Job and task number.
    pub shard: String,
    /// Attempt.
    pub launch: u64,
    /// Its state.
    pub status: Phase,
    /// Why it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored: Option<bool>,
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    Waiting,
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
pub enum Cause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Gang: another task is gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Gang: was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Refused: another attempt is there.
    #[serde(rename = "in_use")]
    InUse,
    /// Refused: no such job.
    #[serde(rename = "no_such")]
    NoSuch,
    /// A cause this version does not know: taken as a failure.
    #[serde(other, rename = "other")]
    Other,
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Start, stop or forget.
    pub verb: Verb,
    /// Job and task number.
    pub shard: String,
    /// Attempt.
    pub launch: u64,
    /// Grace of a stop, s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ease_s: Option<f64>,
}

/// Kind of command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verb {
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
pub struct Orders {
    /// Token.
    pub helm: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Direct {
    /// Token.
    pub helm: u64,
    /// Session meant.
    pub watch: u64,
    /// Commands.
    pub orders: Vec<Command>,
}

/// Answer to a report by a node that does not lead.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub harbor: Option<String>,
}
