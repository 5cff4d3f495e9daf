//! Messages between controllers: heartbeats, and workers' reports that followers forward to the leader.
//! Types only. Controllers of two versions exchange them during a rolling restart, so new fields have defaults.

use crate::workers::{Command, StatusReport};
use serde::{Deserialize, Serialize, Serializer};

/// Paths of this interface.
pub mod path {
    /// `POST`: a [`Heartbeat`](super::Heartbeat).
    pub const HEARTBEAT: &str = "/beat";
    /// `POST`: workers' reports that a follower forwards to the leader
    /// ([`ForwardedReports`](super::ForwardedReports)), answered by
    /// [`ForwardedAnswers`](super::ForwardedAnswers).
    pub const FORWARDED_REPORTS: &str = "/relay";
}

/// Heartbeat between controllers: what the sender knows of the leadership, of the state service and
/// of cancellations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender. Wire: `node`.
    #[serde(rename = "node")]
    pub controller: String,
    /// Highest fencing token that it has seen. Wire: `token`.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Whether it leads under that token. Wire: `leads`.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Time since the state service last answered it, ms. Wire: `store_age_ms`.
    #[serde(rename = "store_age_ms")]
    pub since_store_response_ms: u64,
    /// From the leader: followers serve workers for good and forward their reports. Wire: `shares`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "shares")]
    pub distributes_workers: bool,
    /// Smoothed processor load, in thousandths; none while it is not known. Wire: `load`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "load")]
    pub cpu_load_permille: Option<u32>,
    /// The part of the load that machines cost, whatever is placed, in thousandths. Wire: `upkeep`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "upkeep")]
    pub machine_cpu_load_permille: Option<u32>,
    /// From the leader: (job id, tasks done, tasks running), for display. Wire: `counts`.
    #[serde(default, rename = "counts")]
    pub job_counts: Vec<(String, u32, u32)>,
    /// From the leader, where plug-ins advise on admission: attributes of the cluster, in the order
    /// in which they are documented. Wire: `cluster`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "cluster")]
    pub cluster_attributes: Vec<f64>,
    /// Random number of the sender's process; 0: a version that sends none of the following fields.
    /// Wire: `process`.
    #[serde(default, rename = "process")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation. Wire: `number`.
    #[serde(default, rename = "number")]
    pub sequence: u64,
    /// Revision up to which the sender holds no pending cancellations: it endorses only a leader
    /// that has read as far. None: it has not read the state service yet. Wire: `floor`.
    #[serde(default, rename = "floor")]
    pub required_leader_revision: Option<u64>,
    /// From the leader: the revision up to which it has applied all changes of jobs. Wire: `read`.
    #[serde(default, rename = "read")]
    pub applied_through: u64,
    /// All cancellations committed after `required_leader_revision` that the sender holds: (job id,
    /// revision, time of day of the cancellation in ms). Wire: `cancelled`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "cancelled")]
    pub pending_cancellations: Vec<(String, u64, u64)>,
    /// From the leader: machines on which a cancelled task is not proved gone: (machine name, time
    /// of day of the cancellation in ms). Wire: `owed`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "owed")]
    pub pending_terminations: Vec<(String, u64)>,
    /// The latest heartbeat applied of each other controller: (its name, incarnation, sequence
    /// number). Wire: `taken`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "taken")]
    pub acknowledged_heartbeats: Vec<(String, u64, u64)>,
    /// The record format that the sender reads; 0: it knows of no dependencies between jobs.
    /// Wire: `form`.
    #[serde(default, rename = "form")]
    pub format_version: u32,
    /// Sent without counts and attributes: the receiver keeps those it has. Wire: `brief`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "brief")]
    pub is_abridged: bool,
}

/// Workers' reports that a follower forwards to the leader in one message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardedReports {
    /// Name of the follower. Wire: `node`.
    #[serde(rename = "node")]
    pub controller: String,
    /// The reports, in the order in which they came.
    pub reports: Vec<ForwardedReport>,
    /// Unchanged reports that the follower has answered itself by delegation, each machine at most
    /// once. Wire: `well`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "well")]
    pub locally_answered: Vec<LocallyAnsweredReport>,
}

/// A machine whose unchanged report a follower has answered by delegation. On the wire it is a sequence of the four
/// values in the order of the fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "(String, u64, u64, u64)")]
pub struct LocallyAnsweredReport {
    /// Name of the machine.
    pub machine: String,
    /// Number of the worker's session.
    pub session: u64,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Hash of its content without the sequence number.
    pub content_hash: u64,
}

impl Serialize for LocallyAnsweredReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.machine, self.session, self.sequence, self.content_hash).serialize(serializer)
    }
}

impl From<(String, u64, u64, u64)> for LocallyAnsweredReport {
    fn from((machine, session, sequence, content_hash): (String, u64, u64, u64)) -> Self {
        LocallyAnsweredReport { machine, session, sequence, content_hash }
    }
}

/// A forwarded report: in full, or as a hash if the machine's report is unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ForwardedReport {
    /// In full.
    Full {
        /// The report.
        report: Box<StatusReport>,
        /// Hash of its content without the sequence number. Wire: `shown`.
        #[serde(rename = "shown")]
        content_hash: u64,
    },
    /// With the same content as the last report of the machine that the leader answered.
    Unchanged {
        /// Name of the machine. Wire: `berth`.
        #[serde(rename = "berth")]
        machine: String,
        /// Number of the worker's session. Wire: `watch`.
        #[serde(rename = "watch")]
        session: u64,
        /// Sequence number of the message. Wire: `tick`.
        #[serde(rename = "tick")]
        sequence: u64,
        /// Hash of its content without the sequence number. Wire: `shown`.
        #[serde(rename = "shown")]
        content_hash: u64,
    },
}

/// The leader's answers to [`ForwardedReports`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardedAnswers {
    /// The leader's fencing token. Wire: `helm`.
    #[serde(rename = "helm")]
    pub fencing_token: u64,
    /// Commands for each report, in the order of the reports; none: that report must be forwarded
    /// in full. Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Option<Vec<Command>>>,
    /// Ascending indices of the reports whose machines need no commands: while their content stays
    /// the same, the follower may answer them by delegation. Wire: `calm`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "calm")]
    pub delegable_reports: Vec<usize>,
    /// Machines whose next report must be forwarded, whatever its content. Wire: `look`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "look")]
    pub must_forward_machines: Vec<String>,
    /// Time for which the follower may answer unchanged reports itself, ms, counted from when it
    /// sent the message answered here; 0: not at all. Wire: `duty_ms`.
    #[serde(default, skip_serializing_if = "is_zero", rename = "duty_ms")]
    pub delegation_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
