//! Between controllers.

use crate::workers::{Command, Report};
use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// Heartbeats.
    pub const BEAT: &str = "/beat";
    /// Workers' reports passed on to the leader; its answers go back as they are.
    pub const RELAY: &str = "/relay";
}

/// Heartbeat: what a controller knows of the term and of the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Who sends it.
    pub node: String,
    /// Highest token it has seen.
    pub token: u64,
    /// Whether it leads under that token.
    pub leads: bool,
    /// Time since the state service last answered it, ms.
    pub store_age_ms: u64,
    /// Of the leader: others are to serve workers for good, passing their reports on.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub shares: bool,
    /// Share of its processor that it used lately, in thousandths; none while it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// The part of it that machines cost, whatever is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upkeep: Option<u32>,
    /// Of the leader: counts for display, as (job, done, running).
    #[serde(default)]
    pub counts: Vec<(String, u32, u32)>,
    /// Of the leader, where plug-ins advise on admission: attributes of the cluster, in the order in
    /// which they are documented.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cluster: Vec<f64>,
    /// Number of the process that sends it; 0: a version that tells nothing of the following.
    #[serde(default)]
    pub process: u64,
    /// Which of that process's heartbeats this is.
    #[serde(default)]
    pub number: u64,
    /// Revision up to which it holds no cancellations: a leader has to have read as far. None: it has not
    /// read the state service yet.
    #[serde(default)]
    pub floor: Option<u64>,
    /// Of the leader: the revision up to which it has taken in all changes of jobs.
    #[serde(default)]
    pub read: u64,
    /// All cancellations held beyond the floor: job, revision, time of day in ms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cancelled: Vec<(String, u64, u64)>,
    /// Of the leader: machines on which a cancelled task is not proved gone, with the time of day of the cancellation, ms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub owed: Vec<(String, u64)>,
    /// The latest heartbeat taken in of each other controller: its name, process, number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub taken: Vec<(String, u64, u64)>,
    /// The form of records that its version reads; 0: it knows of no jobs that await others.
    #[serde(default)]
    pub form: u32,
    /// Without counts and attributes, which stay as they were told last.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub brief: bool,
}

/// Workers' reports passed on together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Who passes them on.
    pub node: String,
    /// The reports, in the order in which they came.
    pub reports: Vec<Passed>,
    /// Machines whose unchanged reports this controller has answered itself under its duty, each at most
    /// once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub well: Vec<Well>,
}

/// A machine that showed the same as before: name, session, message number, number of what it shows.
pub type Well = (String, u64, u64, u64);

/// A report passed on: whole, or as one that shows the same as the machine's last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Passed {
    /// Whole.
    Whole {
        /// The report.
        report: Box<Report>,
        /// Number of what it shows.
        shown: u64,
    },
    /// The same as the last that the leader answered.
    Same {
        /// The machine's name.
        berth: String,
        /// Session.
        watch: u64,
        /// Message number.
        tick: u64,
        /// Number of what it shows.
        shown: u64,
    },
}

/// The leader's answers, in the order of the reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Answers {
    /// Token.
    pub helm: u64,
    /// One for each report; none: it must be passed on whole.
    pub orders: Vec<Option<Vec<Command>>>,
    /// Numbers of the reports after which nothing is left to be said to their machines: while these show
    /// the same, they may be answered without the leader.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub calm: Vec<usize>,
    /// Machines whose next report must come to the leader, whatever it shows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub look: Vec<String>,
    /// Time for which the controller may answer unchanged reports itself, counted from when it sent the
    /// message answered here, ms.
    #[serde(default, skip_serializing_if = "is_none")]
    pub duty_ms: u64,
}

fn is_none(ms: &u64) -> bool {
    *ms == 0
}
