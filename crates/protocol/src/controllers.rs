//! Messages between controllers: heartbeats, and workers' reports that followers forward to the leader. Types only.
//! During a rolling upgrade controllers of two versions exchange them, so new fields have defaults.

use crate::workers::{Command, StatusReport};
use serde::{Deserialize, Serialize, Serializer};

/// Paths of this interface.
pub mod path {
    /// `POST`: a [`Heartbeat`](super::Heartbeat).
    pub const HEARTBEAT: &str = "/beat";
    /// `POST`: workers' reports that a follower forwards to the leader ([`ForwardedReports`](super::ForwardedReports)).
    /// The response is [`ForwardedAnswers`](super::ForwardedAnswers).
    pub const FORWARDED_REPORTS: &str = "/relay";
}

/// Heartbeat between controllers: the sender's view of the leadership, of the state service and of cancellations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender. Wire: `node`.
    #[serde(rename = "node")]
    pub controller: String,
    /// Highest fencing token that the sender has seen. Wire: `token`.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Whether the sender leads under that token. Wire: `leads`.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Time since the state service last answered the sender, ms; 0 while the service is available.
    /// Wire: `store_age_ms`.
    #[serde(rename = "store_age_ms")]
    pub since_store_response_ms: u64,
    /// From the leader: workers are distributed over all controllers, so followers serve workers permanently and
    /// forward their reports. Wire: `shares`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "shares")]
    pub distributes_workers: bool,
    /// Smoothed CPU load, in thousandths; none while it is unknown. Wire: `load`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "load")]
    pub cpu_load_permille: Option<u32>,
    /// The part of the CPU load that managing machines costs, independent of what is placed on them, in thousandths.
    /// Wire: `upkeep`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "upkeep")]
    pub machine_cpu_load_permille: Option<u32>,
    /// From the leader: (job id, tasks done, tasks running), for display only. Wire: `counts`.
    #[serde(default, rename = "counts")]
    pub job_counts: Vec<(String, u32, u32)>,
    /// From the leader, if plug-ins advise on admission: attributes of the cluster, in their documented order.
    /// Wire: `cluster`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "cluster")]
    pub cluster_attributes: Vec<f64>,
    /// Random number of the sender's process. 0: the sender's version sends none of the following fields.
    /// Wire: `process`.
    #[serde(default, rename = "process")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation. Wire: `number`.
    #[serde(default, rename = "number")]
    pub sequence: u64,
    /// Revision up to which the sender keeps no pending cancellations; it endorses only a leader that has read the store
    /// up to this revision. None: the sender has not read the state service yet. Wire: `floor`.
    #[serde(default, rename = "floor")]
    pub required_leader_revision: Option<u64>,
    /// From the leader: revision up to which it has applied all job changes. Wire: `read`.
    #[serde(default, rename = "read")]
    pub applied_through: u64,
    /// All cancellations committed after `required_leader_revision` that the sender holds: (job id, revision, wall-clock
    /// time of the cancellation in ms). Wire: `cancelled`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "cancelled")]
    pub pending_cancellations: Vec<(String, u64, u64)>,
    /// From the leader: machines on which a cancelled task is not yet proved to be gone: (machine name, wall-clock time of
    /// the cancellation in ms). Wire: `owed`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "owed")]
    pub pending_terminations: Vec<(String, u64)>,
    /// The latest heartbeat applied of each other controller: (name, incarnation, sequence number). Wire: `taken`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "taken")]
    pub acknowledged_heartbeats: Vec<(String, u64, u64)>,
    /// Version of the record format that the sender can read. 0: it does not support dependencies between jobs.
    /// Wire: `form`.
    #[serde(default, rename = "form")]
    pub format_version: u32,
    /// The heartbeat omits `job_counts` and `cluster_attributes`; the receiver keeps its previous values. Wire: `brief`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "brief")]
    pub is_abridged: bool,
}

/// Workers' reports that a follower forwards to the leader in one message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardedReports {
    /// Name of the follower. Wire: `node`.
    #[serde(rename = "node")]
    pub controller: String,
    /// The reports, in the order of their arrival.
    pub reports: Vec<ForwardedReport>,
    /// Unchanged reports that the follower has answered by delegation, each machine at most once. Wire: `well`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "well")]
    pub locally_answered: Vec<LocallyAnsweredReport>,
}

/// An unchanged report of a machine that a follower has answered by delegation. On the wire it is a sequence of the four
/// values, in the order of the fields.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "(String, u64, u64, u64)")]
pub struct LocallyAnsweredReport {
    /// Name of the machine.
    pub machine: String,
    /// Number of the worker's session.
    pub session: u64,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Hash of the report's content, without the sequence number.
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

/// A forwarded report: in full, or as a hash if its content is unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ForwardedReport {
    /// The full report.
    Full {
        /// The report.
        report: Box<StatusReport>,
        /// Hash of the report's content, without the sequence number. Wire: `shown`.
        #[serde(rename = "shown")]
        content_hash: u64,
    },
    /// A report with the same content as the last one of the machine that the leader answered.
    Unchanged {
        /// Name of the machine. Wire: `berth`.
        #[serde(rename = "berth")]
        machine: String,
        /// Number of the worker's session. Wire: `watch`.
        #[serde(rename = "watch")]
        session: u64,
        /// Sequence number of the report. Wire: `tick`.
        #[serde(rename = "tick")]
        sequence: u64,
        /// Hash of the report's content, without the sequence number. Wire: `shown`.
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
    /// Commands for each report, in the order of the reports. None: the report must be forwarded again in full.
    /// Wire: `orders`.
    #[serde(rename = "orders")]
    pub commands: Vec<Option<Vec<Command>>>,
    /// Ascending indices of the reports whose machines need no commands. While the content of a machine's reports stays
    /// the same, the follower may answer them by delegation. Wire: `calm`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "calm")]
    pub delegable_reports: Vec<usize>,
    /// Machines whose next report must be forwarded even if it is unchanged. Wire: `look`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "look")]
    pub must_forward_machines: Vec<String>,
    /// Time for which the follower may answer unchanged reports by delegation, ms, counted from when it sent the message
    /// that this one answers. 0: not at all. Wire: `duty_ms`.
    #[serde(default, skip_serializing_if = "is_zero", rename = "duty_ms")]
    pub delegation_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
