//! Machines in the leader's memory: identity, state, the newest messages received, the tasks bound to them and their
//! free resources. [`Machine`] belongs to `cluster_state`, which changes it; it calls nothing outside this module but
//! the failure detector's [`ReachabilityTracker`].

mod image_cache;
mod machine_type;
mod report_evidence;
mod resources;
mod tasks;

pub use image_cache::ImageCache;
pub use machine_type::MachineType;
pub use resources::Resources;
pub use tasks::MachineTasks;

use crate::Time;
use crate::constants::{MAX_USUAL_BOOT_FACTOR, MS_PER_S, REGISTRATION_GRACE_MS};
use crate::job::{JobId, MachineId};
use report_evidence::SessionHistory;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use swiftsail_failure_detector::ReachabilityTracker;
use swiftsail_protocol::cloud::ListedMachine;
use swiftsail_protocol::workers::StatusReport;

/// Order of a worker's messages: a later session follows an earlier one, and within a session a higher sequence number
/// a lower one. The default, session 0, precedes every message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// Number of the worker's lease.
    pub session: u64,
    /// Number of the message within the session.
    pub sequence: u64,
}

impl MessageOrder {
    /// The order of a report.
    pub fn of(report: &StatusReport) -> MessageOrder {
        MessageOrder { session: report.session, sequence: report.sequence }
    }
}

/// An attempt of a task of any job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// The task's number in the job.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
}

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known by name only, from a binding or a provisioning response: it boots, or has not reported to this leader yet.
    Expected,
    /// It reports, but has not shown this leader's fencing token yet: which tasks it runs is not known.
    Registering,
    /// It reports under this leader's fencing token and may be given tasks.
    Ready,
    /// Its tasks are being moved to other machines, so that it can be returned to the cloud.
    Draining,
    /// It is being returned to the cloud. Final.
    Terminating,
}

/// A machine in the leader's memory.
#[derive(Debug)]
pub struct Machine {
    /// Its name in the cloud.
    pub id: MachineId,
    /// Name of its type; empty if not known.
    pub machine_type: String,
    /// Its zone; empty if not known.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// Address of its worker; empty if not known.
    pub address: String,
    /// Changed only by [`Machine::advance`].
    state: MachineState,
    /// Order of its newest message of any kind.
    pub last_message: MessageOrder,
    /// Order of its newest status report; responses to direct commands and probes do not count.
    pub last_report: MessageOrder,
    /// When a message of any kind last proved that its worker is alive.
    pub last_contact_at: Option<Time>,
    /// When a status report under this leader's token last arrived: only responses to those carry starts and renew the
    /// lease.
    pub last_report_at: Option<Time>,
    /// It responds to probes while none of its reports arrives. Changed only by [`Machine::update_reports_missing`].
    reports_missing: bool,
    /// Hash of the content of its last full report, if another controller forwards its reports.
    pub report_digest: Option<u64>,
    /// The controller that forwards its reports; none: it reports to the leader itself.
    pub forwarded_by: Option<Arc<str>>,
    /// When it was last redirected to another controller.
    pub redirected_at: Option<Time>,
    /// When this leader first knew it.
    pub known_at: Time,
    /// When it was rented, as far as known; else when this leader first knew it.
    pub rented_at: Time,
    /// When the cloud will reclaim it, if it has received a spot interruption notice.
    pub reclaimed_at: Option<Time>,
    /// When the cloud last listed it.
    pub listed_at: Option<Time>,
    /// Numbers of the attempts bound to it that are not confirmed gone, by job and task.
    pub tasks: MachineTasks,
    /// Reported attempts without a binding, and the resources of each, if known. They occupy resources until a report
    /// no longer lists them.
    pub orphaned_tasks: BTreeMap<AttemptId, Option<Resources>>,
    /// Images assumed to be in its cache.
    pub images: ImageCache,
    /// Since when it has had no task.
    pub idle_since: Time,
    /// Jobs whose tasks have failed on it since a task last succeeded on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Tasks of several jobs failed on it: it is cordoned, drained and returned to the cloud.
    pub is_suspect: bool,
    /// Its worker has restarted under this leader. Delayed reports from before, with higher numbers, may still arrive
    /// and would seem to prove that tasks given to it now are gone. So it gets no more tasks.
    pub is_restarted: bool,
    /// The highest fencing token in its messages.
    pub highest_token: u64,
    /// Whether responses and commands reach it.
    pub inbound: ReachabilityTracker,
    session_history: SessionHistory,
    /// While probes are open: its newest message when the first of them was sent. A response to any of them is newer.
    pub probe_baseline: Option<MessageOrder>,
    /// Number of probes that are open.
    pub open_probes: u32,
    /// Resources not occupied by attempts. Cleared by every change, and counted again when next needed.
    free_resources: Option<Resources>,
    /// Service replicas run on it. Counted with `free_resources`.
    has_replicas: bool,
}

impl Machine {
    /// A machine of which only the name is known.
    pub fn new(id: MachineId, now: Time) -> Machine {
        Machine {
            id,
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            address: String::new(),
            state: MachineState::Expected,
            last_message: MessageOrder::default(),
            last_report: MessageOrder::default(),
            last_contact_at: None,
            last_report_at: None,
            reports_missing: false,
            report_digest: None,
            forwarded_by: None,
            redirected_at: None,
            known_at: now,
            rented_at: now,
            reclaimed_at: None,
            listed_at: None,
            tasks: MachineTasks::default(),
            orphaned_tasks: BTreeMap::new(),
            images: ImageCache::default(),
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            is_suspect: false,
            is_restarted: false,
            highest_token: 0,
            inbound: ReachabilityTracker::default(),
            session_history: SessionHistory::unanswered(now),
            probe_baseline: None,
            open_probes: 0,
            free_resources: None,
            has_replicas: false,
        }
    }

    /// Its free resources. None: something has changed since they were last counted.
    pub fn free_resources(&self) -> Option<Resources> {
        self.free_resources
    }

    /// Whether service replicas run on it: it is then expected to be kept for long.
    pub fn has_replicas(&self) -> bool {
        self.has_replicas
    }

    /// Sets the result of a count: the free resources, and whether service replicas run on it.
    pub fn set_free_resources(&mut self, free: Resources, has_replicas: bool) {
        self.free_resources = Some(free);
        self.has_replicas = has_replicas;
    }

    /// Clears the free resources after a change: they must be counted again.
    pub fn invalidate_free_resources(&mut self) {
        self.free_resources = None;
    }

    /// Adds an attempt that was bound to it.
    pub fn add_task(&mut self, job: &JobId, task: u32, attempt: u64) {
        self.tasks.insert(job, task, attempt);
        self.invalidate_free_resources();
    }

    /// Removes a task's attempt, which is confirmed gone or whose exit is committed.
    pub fn remove_task(&mut self, job: &JobId, task: u32, now: Time) {
        self.tasks.remove(job, task);
        self.invalidate_free_resources();
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// Its state.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The only function that changes the state. [`MachineState::Terminating`] is final. Returns whether the change was
    /// allowed.
    pub fn advance(&mut self, to: MachineState) -> bool {
        use MachineState::{Draining, Expected, Ready, Registering, Terminating};
        let allowed = matches!(
            (self.state, to),
            (Expected, Registering | Ready | Draining | Terminating)
                | (Registering, Ready | Draining | Terminating)
                | (Ready, Draining | Terminating)
                | (Draining, Ready | Terminating)
        );
        if allowed {
            self.state = to;
        }
        allowed
    }

    /// Whether a machine that has not reported yet can still be expected to: it may be booting, or may not have found
    /// the leader, which has been leading since `leading_since`. One that is silent for longer may no longer exist: the
    /// cloud's machine list lags, so a new leader still reads machines in it that its predecessor has returned.
    pub fn is_expected_up(&self, boot_ms: f64, leading_since: Time, now: Time) -> bool {
        let max_boot_ms = boot_ms * MAX_USUAL_BOOT_FACTOR + REGISTRATION_GRACE_MS as f64;
        now < leading_since + REGISTRATION_GRACE_MS
            || (now as f64) < self.rented_at as f64 + max_boot_ms
    }

    /// Applies its entry in the cloud's machine list. The machine's own reports take precedence: once there is one,
    /// only the time of the listing is set.
    pub fn apply_listing(&mut self, listed: &ListedMachine, now: Time) {
        self.listed_at = Some(now);
        if self.last_contact_at.is_none() {
            self.invalidate_free_resources();
            self.machine_type.clone_from(&listed.machine_type);
            self.zone.clone_from(&listed.zone);
            self.spot = listed.spot;
            self.address.clone_from(&listed.address);
            self.rented_at = now.saturating_sub((listed.age_s.max(0.0) * MS_PER_S) as u64);
        }
    }

    /// Applies what a report states about the machine itself: type, zone, address, market, and interruption notice.
    pub fn register(&mut self, report: &StatusReport, now: Time) {
        if self.machine_type != report.machine_type {
            self.machine_type.clone_from(&report.machine_type);
            self.invalidate_free_resources();
        }
        if self.zone != report.zone {
            self.zone.clone_from(&report.zone);
        }
        if self.address != report.address {
            self.address.clone_from(&report.address);
        }
        self.spot = report.spot;
        self.reclaimed_at = report.reclaim_in_s.map(|in_s| now + (in_s.max(0.0) * MS_PER_S) as u64);
    }

    /// Whether it may be given tasks as far as its worker and its connection are concerned. Its state is not
    /// considered.
    pub fn may_receive_work(&self) -> bool {
        !self.is_suspect
            && !self.is_restarted
            && !self.reports_missing
            && self.inbound.is_reachable()
    }
}
