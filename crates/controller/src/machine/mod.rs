//! Machines: their types, what is known of each, and what is on it.

use crate::Time;
use crate::constants::{BOOT_USUAL_MOST, MS_PER_S, REGISTRATION_MS, SLACK};
use crate::job::{JobId, JobSpec, MachineId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use swiftsail_failure_detector::constants::{
    ANSWERED_LEASE_SHARE, MIN_ANSWERED_REPORTS, SESSION_LASTED_LEASES, SILENT_RETURN_LEASE_SHARE,
};
use swiftsail_failure_detector::{ReachabilityEvidence, ReachabilityTracker};
use swiftsail_protocol::cloud::{ListedMachine, ListedMachineType};
use swiftsail_protocol::workers::StatusReport;

/// A machine type.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Image cache, GB.
    pub cache_gb: f64,
    /// Rate of image fetches, GB/s.
    pub fetch: f64,
    /// Price an hour.
    pub price: f64,
    /// Spot price an hour.
    pub spot_price: f64,
    /// Usual boot time, ms.
    pub boot_ms: f64,
    /// Zones.
    pub zones: Vec<String>,
}

impl From<&ListedMachineType> for MachineType {
    fn from(h: &ListedMachineType) -> MachineType {
        MachineType {
            name: h.name.clone(),
            cpus: h.cpus,
            gpus: h.gpus,
            memory_gb: h.memory_gb,
            cache_gb: h.cache_gb,
            fetch: if h.image_fetch_gb_per_s > 0.0 { h.image_fetch_gb_per_s } else { 0.1 },
            price: h.price,
            spot_price: h.spot_price,
            boot_ms: h.boot_s * MS_PER_S,
            zones: h.zones.clone(),
        }
    }
}

impl MachineType {
    /// Whether one task fits an empty machine of this type, in the job's allowed types and zone.
    pub fn allows(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|t| t.contains(&self.name))
            && spec.zone.as_ref().is_none_or(|z| self.zones.contains(z))
            && self.resources().fits_task(spec)
    }

    /// Whether a job's tasks would waste the machine: they need none of its accelerators, and would
    /// keep from work that does.
    pub fn is_wasted_on(&self, spec: &JobSpec) -> bool {
        self.gpus > 0.0 && spec.gpus <= 0.0
    }

    /// Time to fetch a job's image, ms.
    pub fn fetch_ms(&self, spec: &JobSpec) -> f64 {
        spec.image_gb / self.fetch * MS_PER_S
    }

    /// All its room.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Price an hour of a kind.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Amounts of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// What one task takes.
    pub fn for_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }
    /// Whether a task fits.
    pub fn fits_task(&self, spec: &JobSpec) -> bool {
        self.covers(&Resources::for_task(spec))
    }
    /// Whether it is at least as large.
    pub fn covers(&self, other: &Resources) -> bool {
        self.cpus + SLACK >= other.cpus
            && self.gpus + SLACK >= other.gpus
            && self.memory_gb + SLACK >= other.memory_gb
    }
    /// Takes from it.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
    /// Gives to it.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
    /// Tasks of that size that fit.
    pub fn task_count(&self, each: &Resources) -> u32 {
        let of = |have: f64, want: f64| if want > 0.0 { (have + SLACK) / want } else { f64::MAX };
        let n = of(self.cpus, each.cpus)
            .min(of(self.gpus, each.gpus))
            .min(of(self.memory_gb, each.memory_gb));
        n.clamp(0.0, 1e6) as u32
    }
}

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Known by name only (from a binding or a rental); boots or has not reported to this term.
    Expected,
    /// Reports, but has not yet acknowledged this term's token: its state is not known.
    Registering,
    /// Reports under this term's token: may be given work.
    Ready,
    /// Is to be emptied and returned.
    Draining,
    /// A return is on its way.
    Terminating,
}

/// A machine as the leader holds it.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Worker's address.
    pub address: String,
    state: MachineState,
    /// Newest (session, tick).
    pub last_message: (u64, u64),
    /// Newest (session, tick) of a report proper.
    pub last_report: (u64, u64),
    /// When it was last heard.
    pub last_heard_at: Option<Time>,
    /// When a report proper under this term's token last came: its answer alone carries starts and renews the lease.
    pub last_report_at: Option<Time>,
    /// It answers what it is asked, and none of its reports arrives. Changed by [`Machine::weigh_reports`] alone.
    reports_missing: bool,
    /// Number of what its last whole report showed, if another controller passes its reports on.
    pub report_digest: Option<u64>,
    /// The controller that passes its reports on; none: it reports to the leader itself.
    pub forwarded_by: Option<Arc<str>>,
    /// When it was last sent to another controller.
    pub redirected_at: Option<Time>,
    /// When this term first knew it.
    pub known_at: Time,
    /// When it was rented, as far as known.
    pub rented_at: Time,
    /// When it will be taken.
    pub reclaimed_at: Option<Time>,
    /// The cloud lists it, and as what.
    pub listed_at: Option<Time>,
    /// Attempts bound to it that are not proved gone.
    pub tasks: BTreeMap<(JobId, u32), u64>,
    /// Attempts reported that no table knows; they take room until a report lacks them.
    pub orphaned_tasks: BTreeMap<(JobId, u32, u64), Option<Resources>>,
    /// Images taken to be in its cache, latest last, with sizes.
    pub images: VecDeque<(String, f64)>,
    /// Since when it has had no task.
    pub idle_since: Time,
    /// Jobs whose tasks failed on it since the last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Why it is suspected.
    pub is_suspect: bool,
    /// Its worker has begun anew under this term: what its earlier life sent, with higher numbers, may still be
    /// on its way, and would tell of tasks given to it now that they are gone. It is given nothing more.
    pub is_restarted: bool,
    /// The highest token that it has shown.
    pub highest_token: u64,
    /// Whether what is said to it arrives.
    pub inbound: ReachabilityTracker,
    /// When its session was first seen, and how many of its reports were answered under this term's token.
    session_evidence: (Time, u32),
    /// While direct questions are open: the newest heard of it when the first of them was asked. An answer to any
    /// is newer than that.
    pub probe_baseline: Option<(u64, u64)>,
    /// Direct questions that are open.
    pub open_probes: u32,
    /// Room left by what is on it; forgotten by whatever changes it, recounted when next asked.
    free_resources: Option<Resources>,
    /// Whether replicas of services are on it, counted with its room.
    has_replicas: bool,
}

impl Machine {
    /// A machine known by name.
    pub fn new(id: MachineId, now: Time) -> Machine {
        Machine {
            id,
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            address: String::new(),
            state: MachineState::Expected,
            last_message: (0, 0),
            last_report: (0, 0),
            last_heard_at: None,
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
            images: VecDeque::new(),
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            is_suspect: false,
            is_restarted: false,
            highest_token: 0,
            inbound: ReachabilityTracker::default(),
            session_evidence: (now, 0),
            probe_baseline: None,
            open_probes: 0,
            free_resources: None,
            has_replicas: false,
        }
    }

    /// Room left, if nothing has changed since it was counted.
    pub fn free_resources(&self) -> Option<Resources> {
        self.free_resources
    }

    /// Whether replicas of services are on it: it then stays for long.
    pub fn has_replicas(&self) -> bool {
        self.has_replicas
    }

    /// Notes the room left, and whether replicas are on it.
    pub fn set_free_resources(&mut self, free: Resources, anchored: bool) {
        self.free_resources = Some(free);
        self.has_replicas = anchored;
    }

    /// What it holds has changed: its room must be counted anew.
    pub fn invalidate_free_resources(&mut self) {
        self.free_resources = None;
    }

    /// An attempt is bound to it.
    pub fn add_task(&mut self, job: &JobId, task: u32, launch: u64) {
        self.tasks.insert((job.clone(), task), launch);
        self.free_resources = None;
    }

    /// An attempt bound to it is gone.
    pub fn remove_task(&mut self, job: &JobId, task: u32, now: Time) {
        self.tasks.remove(&(job.clone(), task));
        self.free_resources = None;
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// Where it stands.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The one function that changes the standing. What is being returned never comes back.
    pub fn advance(&mut self, to: MachineState) -> bool {
        use MachineState::*;
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

    /// Whether it can still be expected to come up, or to find a leader that began at `since`. What
    /// should long be up and is silent may be gone: the machine list lags, and a new leader reads
    /// in it what its predecessor has returned.
    pub fn is_expected_up(&self, boot_ms: f64, since: Time, now: Time) -> bool {
        let late = boot_ms * BOOT_USUAL_MOST + REGISTRATION_MS as f64;
        now < since + REGISTRATION_MS || (now as f64) < self.rented_at as f64 + late
    }

    /// Takes over what the machine list says.
    pub fn apply_listing(&mut self, listed: &ListedMachine, now: Time) {
        self.listed_at = Some(now);
        if self.last_heard_at.is_none() {
            self.free_resources = None;
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
            self.free_resources = None;
        }
        if self.zone != report.zone {
            self.zone.clone_from(&report.zone);
        }
        if self.address != report.address {
            self.address.clone_from(&report.address);
        }
        self.spot = report.spot;
        self.reclaimed_at = report.reclaim_in_s.map(|s| now + (s.max(0.0) * MS_PER_S) as u64);
    }

    /// A newer report under this term's token has come, and is answered: what it tells of the machine's
    /// hearing by its session. To be called before the report is the latest.
    pub fn session_evidence(
        &mut self,
        watch: u64,
        lease_ms: f64,
        now: Time,
    ) -> Option<ReachabilityEvidence> {
        let (since, answered) = self.session_evidence;
        let quiet_ms = self.last_heard_at.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        if watch != self.last_message.0 {
            self.session_evidence = (now, 1);
            let heard_lately = quiet_ms < lease_ms * ANSWERED_LEASE_SHARE;
            return (answered >= MIN_ANSWERED_REPORTS && heard_lately)
                .then_some(ReachabilityEvidence::SessionLostThoughAnswered);
        }
        self.session_evidence.1 = answered.saturating_add(1);
        // The lease would have ended it, had no answer arrived since the doubt began.
        let alone = now.saturating_sub(since.max(self.inbound.since())) as f64;
        (!self.inbound.is_reachable() && alone > lease_ms * SESSION_LASTED_LEASES)
            .then_some(ReachabilityEvidence::SessionOutlastedLease)
    }

    /// Looks whether its reports have ceased while questions are answered: it then loses its lease again and again, and
    /// nothing given to it is ever offered. Returns whether that has changed.
    pub fn update_reports_missing(&mut self, lease_ms: f64, now: Time) -> bool {
        let quiet = self.since_last_report_ms(now) > lease_ms * SILENT_RETURN_LEASE_SHARE;
        let answers = |at: Time| (now.saturating_sub(at) as f64) < lease_ms * ANSWERED_LEASE_SHARE;
        let mute = lease_ms > 0.0 && quiet && self.last_heard_at.is_some_and(answers);
        std::mem::replace(&mut self.reports_missing, mute) != mute
    }

    /// Time for which no report proper of it has come, ms.
    pub fn since_last_report_ms(&self, now: Time) -> f64 {
        now.saturating_sub(self.last_report_at.unwrap_or(0).max(self.known_at)) as f64
    }

    /// Whether it answers what it is asked and reports nothing.
    pub fn reports_missing(&self) -> bool {
        self.reports_missing
    }

    /// Whether it may be given work, as far as faults and hearing go.
    pub fn may_receive_work(&self) -> bool {
        !self.is_suspect
            && !self.is_restarted
            && !self.reports_missing
            && self.inbound.is_reachable()
    }

    /// Its worker has begun anew: its numbers count from the start again, and its cache is empty.
    pub fn on_worker_restart(&mut self, now: Time) {
        (self.last_message, self.last_report, self.report_digest) = ((0, 0), (0, 0), None);
        self.session_evidence = (now, 0);
        (self.is_restarted, self.highest_token) = (true, 0);
        self.images.clear();
        self.free_resources = None;
    }

    /// Whether an image is taken to be in its cache.
    pub fn has_cached_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Notes that an image is there, dropping those used longest ago.
    pub fn cache_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_back((image.to_string(), gb));
        let mut total: f64 = self.images.iter().map(|i| i.1).sum();
        while total > cache_gb && self.images.len() > 1 {
            if let Some((_, gone)) = self.images.pop_front() {
                total -= gone;
            }
        }
    }
}
