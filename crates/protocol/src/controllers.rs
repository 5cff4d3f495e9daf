//! Between controllers.

use crate::workers::{Command, StatusReport};
use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// Heartbeats.
    pub const HEARTBEAT: &str = "/beat";
    /// Workers' reports passed on to the leader; its answers go back as they are.
    pub const FORWARDED_REPORTS: &str = "/relay";
}

/// Heartbeat: what a controller knows of the term and of the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    #[serde(rename = "node")]
    pub controller: String,
    /// Highest token it has seen.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Whether it leads under that token.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Time since the state service last answered it, ms.
    #[serde(rename = "store_age_ms")]
    pub since_store_response_ms: u64,
    /// Of the leader: others are to serve workers for good, passing their reports on.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "shares")]
    pub distributes_workers: bool,
    /// Share of its processor that it used lately, in thousandths; none while it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "load")]
    pub cpu_load_permille: Option<u32>,
    /// The part of it that machines cost, whatever is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "upkeep")]
    pub machine_cpu_load_permille: Option<u32>,
    /// Of the leader: counts for display, as (job, done, running).
    #[serde(default)]
    #[serde(rename = "counts")]
    pub job_counts: Vec<(String, u32, u32)>,
    /// Of the leader, where plug-ins advise on admission: attributes of the cluster, in the order in
    /// which they are documented.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "cluster")]
    pub cluster_attributes: Vec<f64>,
    /// Number of the process that sends it; 0: a version that tells nothing of the following.
    #[serde(default)]
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// Which of that process's heartbeats this is.
    #[serde(default)]
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Revision up to which it holds no cancellations: a leader has to have read as far. None: it has not
    /// read the state service yet.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub required_leader_revision: Option<u64>,
    /// Of the leader: the revision up to which it has taken in all changes of jobs.
    #[serde(default)]
    #[serde(rename = "read")]
    pub applied_through: u64,
    /// All cancellations held beyond the floor: job, revision, time of day in ms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "cancelled")]
    pub pending_cancellations: Vec<(String, u64, u64)>,
    /// Of the leader: machines on which a cancelled task is not proved gone, with the time of day of the cancellation, ms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "owed")]
    pub pending_terminations: Vec<(String, u64)>,
    /// The latest heartbeat taken in of each other controller: its name, process, number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "taken")]
    pub acknowledged_heartbeats: Vec<(String, u64, u64)>,
    /// The form of records that its version reads; 0: it knows of no jobs that await others.
    #[serde(default)]
    #[serde(rename = "form")]
    pub format_version: u32,
    /// Without counts and attributes, which stay as they were told last.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "brief")]
    pub is_abridged: bool,
}

/// Workers' reports passed on together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardedReports {
    /// Who passes them on.
    #[serde(rename = "node")]
    pub controller: String,
    /// The reports, in the order in which they came.
    pub reports: Vec<ForwardedReport>,
    /// Machines whose unchanged reports this controller has answered itself under its duty, each at most
    /// once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "well")]
    pub locally_answered: Vec<LocallyAnsweredReport>,
}

/// A machine that showed the same as before: name, session, message number, number of what it shows.
pub type LocallyAnsweredReport = (String, u64, u64, u64);

/// A report passed on: whole, or as one that shows the same as the machine's last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ForwardedReport {
    /// Whole.
    Full {
        /// The report.
        report: Box<StatusReport>,
        /// Number of what it shows.
        #[serde(rename = "shown")]
        content_hash: u64,
    },
    /// The same as the last that the leader answered.
    Unchanged {
        /// The machine's name.
        #[serde(rename = "berth")]
        machine: String,
        /// Session.
        #[serde(rename = "watch")]
        session: u64,
        /// Message number.
        #[serde(rename = "tick")]
        sequence: u64,
        /// Number of what it shows.
        #[serde(rename = "shown")]
        content_hash: u64,
    },
}

/// The leader's answers, in the order of the reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardedAnswers {
    /// Token.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// One for each report; none: it must be passed on whole.
    #[serde(rename = "orders")]
    pub commands: Vec<Option<Vec<Command>>>,
    /// Numbers of the reports after which nothing is left to be said to their machines: while these show
    /// the same, they may be answered without the leader.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "calm")]
    pub delegable_reports: Vec<usize>,
    /// Machines whose next report must come to the leader, whatever it shows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "look")]
    pub must_forward_machines: Vec<String>,
    /// Time for which the controller may answer unchanged reports itself, counted from when it sent the
    /// message answered here, ms.
    #[serde(default, skip_serializing_if = "is_none")]
    #[serde(rename = "duty_ms")]
    pub delegation_ms: u64,
}

fn is_none(ms: &u64) -> bool {
    *ms == 0
}
