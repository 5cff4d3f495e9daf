//! Machines as the leader knows them: identity, state, the newest messages received, the tasks bound to them and the
//! resources left. [`Machine`] belongs to `cluster_state`, which changes it; it calls nothing outside this module but the
//! failure detector's [`ReachabilityTracker`].

mod image_cache;
mod machine_type;
mod report_evidence;
mod resources;

pub use image_cache::ImageCache;
pub use machine_type::MachineType;
pub use resources::Resources;

use crate::Time;
use crate::constants::{MAX_USUAL_BOOT_FACTOR, MS_PER_S, REGISTRATION_GRACE_MS};
use crate::job::{JobId, MachineId};
use report_evidence::SessionHistory;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use swiftsail_failure_detector::ReachabilityTracker;
use swiftsail_protocol::cloud::ListedMachine;
use swiftsail_protocol::workers::StatusReport;

/// Order of a worker's messages: a later session follows an earlier one, and within a session a higher sequence number a
/// lower one. The default, session 0, precedes every message.
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

/// One attempt of one task of any job.
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
    /// Known by name only, from a binding or a rental: it boots, or has not reported to this leader.
    Expected,
    /// Reports, but has not yet shown this leader's fencing token: which tasks it runs is not known.
    Registering,
    /// Reports under this leader's fencing token: may be given work.
    Ready,
    /// Being emptied, to be returned to the cloud.
    Draining,
    /// To be returned to the cloud; final.
    Terminating,
}

/// A machine as the leader holds it.
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
    /// Its worker's address; empty if not known.
    pub address: String,
    /// Changed by [`Machine::advance`] alone.
    state: MachineState,
    /// Its newest message, of any kind.
    pub last_message: MessageOrder,
    /// Its newest report, answers to direct commands and probes not counted.
    pub last_report: MessageOrder,
    /// When a message last proved that its worker lives.
    pub last_contact_at: Option<Time>,
    /// When a report under this leader's token last came: only its response carries starts and renews the lease.
    pub last_report_at: Option<Time>,
    /// It answers probes while none of its reports arrives. Changed by [`Machine::update_reports_missing`] alone.
    reports_missing: bool,
    /// Hash of what its last full report showed, if another controller forwards its reports.
    pub report_digest: Option<u64>,
    /// The controller that forwards its reports; none: it reports to the leader itself.
    pub forwarded_by: Option<Arc<str>>,
    /// When it was last redirected to another controller.
    pub redirected_at: Option<Time>,
    /// When this leader first knew it.
    pub known_at: Time,
    /// When it was rented, as far as known.
    pub rented_at: Time,
    /// When the cloud will reclaim it, if it has given a spot interruption notice.
    pub reclaimed_at: Option<Time>,
    /// When the cloud last listed it.
    pub listed_at: Option<Time>,
    /// Attempts bound to it that are not proved gone: by job and task, the attempt's number.
    pub tasks: BTreeMap<(JobId, u32), u64>,
    /// Attempts reported that no binding names, and what each takes, as far as known. They take resources until a
    /// report lacks them.
    pub orphaned_tasks: BTreeMap<AttemptId, Option<Resources>>,
    /// Images assumed to be in its cache.
    pub images: ImageCache,
    /// Since when it has had no task.
    pub idle_since: Time,
    /// Jobs whose tasks failed on it since a task last succeeded there.
    pub failed_jobs: BTreeSet<JobId>,
    /// Tasks of several jobs failed on it: it is emptied and returned.
    pub is_suspect: bool,
    /// Its worker has restarted under this leader. Reports that it sent before, with higher numbers, may still be on
    /// their way, and would seem to prove that tasks given to it now are gone: so it is given nothing more.
    pub is_restarted: bool,
    /// The highest fencing token that it has shown.
    pub highest_token: u64,
    /// Whether responses and commands reach it.
    pub inbound: ReachabilityTracker,
    session_history: SessionHistory,
    /// While probes are open: its newest message when the first of them was sent. An answer to any is newer.
    pub probe_baseline: Option<MessageOrder>,
    /// Number of probes that are open.
    pub open_probes: u32,
    /// Resources left by what is on it; cleared by every change, recounted when next needed.
    free_resources: Option<Resources>,
    /// Replicas of services are on it. Recounted with `free_resources`.
    has_replicas: bool,
}

impl Machine {
    /// A machine known only by name.
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
            tasks: BTreeMap::new(),
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

    /// Resources left, if nothing has changed since they were last counted.
    pub fn free_resources(&self) -> Option<Resources> {
        self.free_resources
    }

    /// Whether replicas of services are on it: it is then expected to stay long.
    pub fn has_replicas(&self) -> bool {
        self.has_replicas
    }

    /// Notes the result of a count: resources left, and whether replicas of services are on it.
    pub fn set_free_resources(&mut self, free: Resources, has_replicas: bool) {
        self.free_resources = Some(free);
        self.has_replicas = has_replicas;
    }

    /// What is on it has changed: the resources left must be counted anew.
    pub fn invalidate_free_resources(&mut self) {
        self.free_resources = None;
    }

    /// An attempt is bound to it.
    pub fn add_task(&mut self, job: &JobId, task: u32, attempt: u64) {
        self.tasks.insert((job.clone(), task), attempt);
        self.invalidate_free_resources();
    }

    /// An attempt bound to it is proved gone, or its end is committed.
    pub fn remove_task(&mut self, job: &JobId, task: u32, now: Time) {
        self.tasks.remove(&(job.clone(), task));
        self.invalidate_free_resources();
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// Its state.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The one function that changes the state. A machine that is being returned never becomes usable again. Returns
    /// whether the change was allowed.
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

    /// Whether a machine that has not reported can still be expected to: it may be booting, or not have found the leader,
    /// which leads since `leading_since`. One that is silent for longer may be gone: the machine list lags, and a new
    /// leader still reads in it what its predecessor has returned.
    pub fn is_expected_up(&self, boot_ms: f64, leading_since: Time, now: Time) -> bool {
        let max_boot_ms = boot_ms * MAX_USUAL_BOOT_FACTOR + REGISTRATION_GRACE_MS as f64;
        now < leading_since + REGISTRATION_GRACE_MS
            || (now as f64) < self.rented_at as f64 + max_boot_ms
    }

    /// Takes over what the cloud's list says of it. Its own reports know better: then only the listing is noted.
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

    /// Takes over what a report says of the machine itself.
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

    /// Whether nothing found of its worker or its connection keeps it from being given work. Its state is not considered.
    pub fn may_receive_work(&self) -> bool {
        !self.is_suspect
            && !self.is_restarted
            && !self.reports_missing
            && self.inbound.is_reachable()
    }
}
