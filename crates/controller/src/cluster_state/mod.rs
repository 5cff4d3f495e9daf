//! What the leader knows, and what changes it: jobs, machines, lines, rentals. Each kind of change
//! is one function. Tables know nobody above them: placement and fleet read them, and the node alone
//! applies what those plan.

mod binding_log;
mod cluster_events;
mod commands;
mod dependencies;
mod provisioning;
mod queue_order;
mod quota_usage;
mod reachability;
mod reconciliation;
mod run_queues;
mod status_reports;
mod task_exits;

pub use binding_log::{BindingLog, InFlightLogWrite, LogSegment, LogSegmentRecord, TaskId};
pub use cluster_events::{ClusterEvent, ClusterEvents};
pub use provisioning::{Market, Provisioning, ProvisioningRequest};
pub use queue_order::{facts_of, rank_of};
pub use quota_usage::{QuotaGuard, QuotaRefusal, team_amounts, usable};
pub use run_queues::{RunQueue, RunQueues, SlotId};
pub use status_reports::ReportSource;

use crate::Time;
use crate::completion_time::RunTimeHistory;
use crate::constants::{
    ATTEMPT_COUNTER_BITS, IDLE_GRANT_MS, MACHINES_WITH_COMMANDS_MAX, PROBES_PART, TASK_COUNTS_MAX,
};
use crate::job::{
    Attempt, AttemptPhase, Binding, FinalRecord, GangState, Job, JobId, JobKind, JobState,
    MachineId, Priority, StopRequest, StoredJob, keys,
};
use crate::machine::{Machine, MachineState};
use crate::settings::{PlatformSettings, WorkerSettings};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use swiftsail_dag::{DependencyGraph, JobOutcome};
use swiftsail_failure_detector::{FailureDetector, Liveness, MachineObservation};
use swiftsail_gpu_lending::GpuLoans;
use swiftsail_protocol::cloud::{ListedMachineStatus, MachinePage};
use swiftsail_protocol::state::{KeyPage, WatchResponse};
use swiftsail_protocol::workers::ExitCause;
use swiftsail_quota::ResourceQuantities;
use swiftsail_tiers::TierTable;

/// Everything the leader holds under one term.
pub struct ClusterState {
    /// Its token.
    pub token: u64,
    /// Era of the term, to know stale answers.
    pub generation: u64,
    /// When it began to lead.
    pub leading_since: Time,
    /// Jobs that are not over.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines known.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Run times per job.
    pub run_time_history: RunTimeHistory,
    /// Lines of waiting work.
    pub run_queues: RunQueues,
    /// Rentals and returns.
    pub provisioning: Provisioning,
    /// Misses since the last round.
    pub misses: u32,
    /// Passes so far.
    pub cycles: u64,
    /// When the last pass was.
    pub last_cycle_at: Time,
    /// When the last round was.
    pub last_round_at: Time,
    /// Services for which room is being made: since when, and the fetch they will need there, ms.
    pub preempting: HashMap<JobId, (Time, f64)>,
    /// Machines whose room is kept from work of the lowest priority, and until when.
    pub yielding_machines: HashMap<MachineId, Time>,
    /// Jobs that find no place for what their team's limit leaves them: since when, and when last.
    pub starved_jobs: HashMap<JobId, (Time, Time)>,
    /// Something changed that a pass may use.
    pub needs_scheduling: bool,
    launches: u64,
    /// Number of the latest write of bindings.
    pub write_number: u64,
    /// Where new bindings are committed.
    pub binding_log: BindingLog,
    /// Keys of bindings whose job is over, to be removed.
    pub stale_binding_keys: Vec<String>,
    /// Jobs that are over and whose records are still to move to their last place, with their stamps.
    pub unarchived_jobs: VecDeque<(JobId, u64, FinalRecord)>,
    /// Some of them are being moved.
    pub is_archiving: bool,
    /// Jobs whose end is on its way, as counted with the last timer step and begun since.
    pub closing_jobs: usize,
    /// The store is being read by a new leader.
    is_loading: bool,
    /// What may be used of each team's limit, where limits are held in the state service; none: what the
    /// settings say.
    pub quota_limits: Option<Vec<ResourceQuantities>>,
    /// When work was last stopped for a lowered limit.
    pub limit_preempted_at: Time,
    /// What happened, for report hooks.
    pub events: ClusterEvents,
    /// Machines that other controllers may answer for, and to which there is something to say now.
    machines_with_commands: BTreeSet<MachineId>,
    /// Jobs of which something has ended: they may be over.
    maybe_finished: BTreeSet<JobId>,
    /// Revision up to which changes of jobs are known.
    pub watched_revision: u64,
    /// When the request was sent whose answer brought the tables there: a later success of another call proves
    /// nothing of the jobs.
    pub read_at: Time,
    /// When changes were last asked for beside the watch.
    pub changes_requested_at: Time,
    /// Which machines live, by evidence; begun with the first look.
    pub failure_detector: Option<FailureDetector<MachineId>>,
    /// When they were last looked at.
    pub machines_checked_at: Time,
    /// Zones in which a controller is heard, the leader's own among them.
    pub reachable_zones: BTreeSet<String>,
    /// Jobs that await others.
    pub dependencies: DependencyGraph,
    /// When their deadlines were last worked out.
    pub dependency_deadlines_at: Time,
    /// Jobs that others await and that are not in the tables, whose end is being read, and until when none asks again.
    pub(crate) awaited_reads: BTreeMap<JobId, Time>,
    /// Accelerators lent.
    pub gpu_loans: GpuLoans,
    /// The table of tiers in force.
    pub tiers: Rc<TierTable>,
    /// A worker's lease, ms; 0: hearing is not judged by leases.
    pub lease_ms: f64,
}

/// The job and task in a wire name.
pub fn parse_task_name(name: &str) -> Option<(JobId, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((JobId::from(job), task.parse().ok()?))
}

/// The name by which workers know a task.
fn task_name(job: &JobId, task: u32) -> String {
    format!("{job}/{task}")
}

impl ClusterState {
    /// An empty table under a token.
    pub fn new(token: u64, generation: u64, now: Time) -> ClusterState {
        ClusterState {
            token,
            generation,
            leading_since: now,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            run_time_history: RunTimeHistory::default(),
            run_queues: RunQueues::default(),
            provisioning: Provisioning::default(),
            misses: 0,
            cycles: 0,
            last_cycle_at: 0,
            last_round_at: now,
            preempting: HashMap::new(),
            yielding_machines: HashMap::new(),
            starved_jobs: HashMap::new(),
            needs_scheduling: true,
            launches: 0,
            write_number: 0,
            binding_log: BindingLog::default(),
            stale_binding_keys: Vec::new(),
            unarchived_jobs: VecDeque::new(),
            is_archiving: false,
            closing_jobs: 0,
            is_loading: true,
            quota_limits: None,
            limit_preempted_at: 0,
            events: ClusterEvents::default(),
            machines_with_commands: BTreeSet::new(),
            maybe_finished: BTreeSet::new(),
            watched_revision: 0,
            read_at: 0,
            changes_requested_at: 0,
            failure_detector: None,
            machines_checked_at: 0,
            reachable_zones: BTreeSet::new(),
            dependencies: DependencyGraph::default(),
            dependency_deadlines_at: 0,
            awaited_reads: BTreeMap::new(),
            gpu_loans: GpuLoans::default(),
            tiers: Rc::default(),
            lease_ms: 0.0,
        }
    }

    /// A launch number that no term has used or will use.
    pub fn next_attempt_number(&mut self) -> u64 {
        self.launches += 1;
        self.last_attempt_number()
    }

    /// The latest launch number given out, and the least that none of an earlier term reaches.
    pub fn last_attempt_number(&self) -> u64 {
        (self.token << ATTEMPT_COUNTER_BITS) + self.launches
    }

    // ---- loading -------------------------------------------------------------------------------

    /// Takes over a page of jobs.
    pub fn load_jobs(&mut self, page: &KeyPage, now: Time, wall: u64) {
        if self.watched_revision == 0 {
            self.watched_revision = page.revision;
        }
        for pair in &page.entries {
            self.apply_job_record(&pair.key, &pair.value, pair.mod_revision, now, wall);
        }
    }

    /// After loading: machines that bindings name are expected, and jobs that await others stand where those leave
    /// them, as far as the tables tell.
    pub fn finish_loading(&mut self, now: Time, wall: u64) {
        self.is_loading = false;
        self.settle_dependencies(now, wall);
        for (id, job) in &self.jobs {
            for (task, attempt) in &job.attempts {
                let machine = self
                    .machines
                    .entry(attempt.machine.clone())
                    .or_insert_with(|| Machine::new(attempt.machine.clone(), now));
                machine.add_task(id, *task, attempt.number);
            }
        }
    }

    /// Takes over a job's record.
    pub fn apply_job_record(
        &mut self,
        key: &str,
        value: &serde_json::Value,
        stamp: u64,
        now: Time,
        wall: u64,
    ) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let id = JobId::from(id);
        let record = match StoredJob::read(value) {
            Some(StoredJob::Live(record)) => record,
            // Found by a new leader: its predecessor ended it. One's own is known already; if the watch, behind, has
            // brought it back with an earlier change, it goes again.
            Some(StoredJob::Finished(record)) => {
                let back = |j: &Job| {
                    j.mod_revision < stamp && j.in_flight.is_none() && j.attempts.is_empty()
                };
                if self.is_loading {
                    self.unarchived_jobs.push_back((id, stamp, record));
                } else if self.jobs.get(&id).is_some_and(back) {
                    self.jobs.remove(&id);
                    self.run_queues.remove_job(&id);
                    self.on_dependency_finished(&id, record.fate(wall), now, wall);
                    self.dependencies.remove_job(&id);
                }
                return;
            }
            None => {
                tracing::error!(key, "unreadable job record");
                return;
            }
        };
        self.dependencies.add_job(&id, &record.depends_on);
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(job = %id, tasks = record.spec.tasks, "job loaded");
            self.events.note("job", "accepted", &id, Some(&record.spec.class));
            let mut job = Job::new(id.clone(), &record, stamp, now, wall);
            job.tier = self.tiers.assign_tier(record.tier.as_deref(), &facts_of(&id, &record.spec));
            job
        });
        if stamp >= job.mod_revision {
            job.mod_revision = stamp;
            if record.cancelled && !job.is_cancelled() {
                let passed = wall.saturating_sub(record.cancelled_wall);
                job.advance(JobState::Cancelling, now.saturating_sub(passed));
            }
            self.needs_scheduling = true;
        }
        if job.is_cancelled() {
            self.on_dependency_finished(&id, JobOutcome::Cancelled, now, wall);
        }
        if !self.is_loading && !record.depends_on.is_empty() {
            self.cancel_dependents(&id, now, wall);
        }
    }

    /// Changes of jobs, seen by the watch or read beside it: the one may tell what the other has told, of a job
    /// that is closed meanwhile.
    pub fn apply_job_changes(&mut self, news: &WatchResponse, now: Time, wall: u64) {
        let known = self.watched_revision;
        for item in news.events.iter().filter(|i| i.mod_revision > known) {
            if let Some(key) = &item.put_key {
                self.apply_job_record(key, &item.value, item.mod_revision, now, wall);
            }
        }
        self.watched_revision = self.watched_revision.max(news.revision);
    }

    /// Another controller says that a job is cancelled: it was committed, so its tasks are stopped at once.
    /// That the job is over is still for the state service to say.
    pub fn on_remote_cancellation(&mut self, id: &JobId, at_wall: u64, now: Time, wall: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.is_cancelled()) else { return };
        let passed = wall.saturating_sub(at_wall);
        if job.advance(JobState::Cancelling, now.saturating_sub(passed)) {
            tracing::info!(job = %id, "job cancelled, reported by another controller");
            self.needs_scheduling = true;
            self.on_dependency_finished(id, JobOutcome::Cancelled, now, wall);
        }
    }

    /// Rentals were refused: others are planned at once, not with the next round.
    pub fn force_mapping_round(&mut self) {
        self.last_round_at = 0;
    }

    /// Looks at every machine that should be up: which to ask directly now.
    pub fn check_machine_liveness(
        &mut self,
        platform: &PlatformSettings,
        now: Time,
    ) -> Vec<MachineId> {
        self.machines_checked_at = now;
        let WorkerSettings { report_s, lease_s, .. } = platform.workers;
        let lease_ms = self.lease_ms;
        let changed = self
            .machines
            .values_mut()
            .filter_map(|m| m.update_reports_missing(lease_ms, now).then(|| m.id.clone()));
        for id in changed.collect::<Vec<_>>() {
            self.on_reports_missing_changed(&id, now);
        }
        let flying = platform.machine_limits.max_connections / PROBES_PART;
        let mut members = self
            .failure_detector
            .take()
            .unwrap_or_else(|| FailureDetector::new(self.leading_since, report_s, lease_s, flying));
        let machines =
            self.machines.values().filter_map(|m| Some((&m.id, self.observe_machine(m)?)));
        let (ask, verdicts) = members.check_machines(machines, now);
        self.failure_detector = Some(members);
        ask.iter().for_each(|id| self.begin_probe(id));
        for (id, state) in verdicts {
            tracing::debug!(machine = %id, ?state, "machine liveness changed");
            if state == Liveness::PresumedDead {
                self.events.note("machine", "presumed dead", &id, None);
            }
        }
        ask
    }

    /// A machine is asked directly. What answers is newer than what is known now, or its numbers have begun anew:
    /// but an answer to an earlier question may come instead, and be older than what has been heard since.
    pub fn begin_probe(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.open_probes == 0 {
            machine.probe_baseline = Some(machine.last_message);
        }
        machine.open_probes += 1;
    }

    /// What membership is told of a machine, if it should be up: heard under this term, or holding work
    /// of an earlier one.
    pub fn observe_machine<'a>(&self, machine: &'a Machine) -> Option<MachineObservation<'a>> {
        let up = machine.last_heard_at.is_some() || !machine.tasks.is_empty();
        if !up || machine.state() == MachineState::Terminating {
            return None;
        }
        let spec = |job: &JobId| self.jobs.get(job).map(|j| j.spec.priority);
        let mut jobs = machine.tasks.keys().map(|(job, _)| job);
        let production = jobs.any(|job| spec(job) == Some(Priority::Production));
        let (zone, via) = (machine.zone.as_str(), machine.forwarded_by.as_deref());
        let reached = self.reachable_zones.contains(zone);
        let asked = !machine.inbound.is_reachable();
        Some(MachineObservation {
            zone,
            reporting_controller: via,
            zone_is_reachable: reached,
            last_report_at: machine.last_heard_at,
            has_production_work: production,
            probe_requested: asked,
        })
    }

    /// The task of an attempt proved gone waits again.
    pub fn release(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(attempt) = job.release_attempt(task, now)
            && let Some(machine) = self.machines.get_mut(&attempt.machine)
        {
            self.binding_log.forget(id, task, Some(attempt.number));
            machine.remove_task(id, task, now);
        }
        self.needs_scheduling = true;
    }

    /// A gang that lost a task is stopped whole, and starts anew when none of it is left.
    pub(crate) fn stop_gang_after_loss(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.kind == JobKind::Gang {
            job.set_gang_state(GangState::Stopping);
        }
    }

    /// The machines of cancelled tasks that are not proved gone, and when each was cancelled.
    pub fn machines_with_cancelled_tasks(&self) -> impl Iterator<Item = (MachineId, Time)> {
        let cancelled = self.jobs.values().filter_map(|j| Some((j, j.cancelled_at?)));
        cancelled.flat_map(|(job, at)| {
            let there = job.attempts.values().filter(|a| a.occupies_resources());
            there.map(move |a| (a.machine.clone(), at))
        })
    }

    /// A machine is gone, proved by a 200 to its return: all on it is gone.
    pub fn on_machine_gone(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        let tasks: Vec<(JobId, u32)> = machine.tasks.keys().cloned().collect();
        for (job, task) in tasks {
            let done = self.jobs.get(&job).and_then(|j| j.attempts.get(&task));
            if done.is_some_and(|a| a.phase() == AttemptPhase::Exited(ExitCause::Completed)) {
                continue;
            }
            self.release_lost_task(&job, task, now);
        }
        self.run_queues.remove_machine(id);
        self.machines.remove(id);
        self.needs_scheduling = true;
        self.events.note("machine", "gone", id, None);
        tracing::debug!(machine = %id, "machine removed");
    }

    /// Takes over a page of the machine list. Names the machines that have failed.
    pub fn apply_machine_list(&mut self, page: &MachinePage, now: Time) -> Vec<MachineId> {
        let mut failed = Vec::new();
        for listed in &page.machines {
            let id = MachineId::from(listed.name.as_str());
            if self.provisioning.was_returned(&id) {
                continue;
            }
            self.machine_entry(&id, now).apply_listing(listed, now);
            if listed.status == ListedMachineStatus::Failed {
                failed.push(id);
            }
        }
        failed
    }

    /// A machine, known from now on.
    pub fn machine_entry(&mut self, id: &MachineId, now: Time) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now))
    }

    /// Begins a pass: pauses that are over end, jobs past their deadline are missed and leave their
    /// lines (thesis, algorithm 2, 1-3).
    pub fn begin_cycle(&mut self, now: Time) {
        self.last_cycle_at = now;
        self.cycles += 1;
        self.needs_scheduling = false;
        let mut over = Vec::new();
        for (id, job) in &mut self.jobs {
            job.end_backoffs(now);
            if job.deadline.is_some_and(|due| due < now)
                && !job.missed_deadline
                && job.state() == JobState::Live
            {
                job.missed_deadline = true;
                let open = job.waiting.len()
                    + job.attempts.values().filter(|a| a.occupies_resources()).count();
                self.misses += open as u32;
                self.events.note("job", "late", id, None);
                over.push(id.clone());
            }
        }
        for id in over {
            self.run_queues.remove_job(&id);
        }
    }

    /// Notes who found no place in a round for what its team's limit leaves it. Whoever finds one now and then, or
    /// asks for a machine that is refused, is not another for it: only who was not seen so for as long begins anew.
    pub fn note_starved(&mut self, jobs: Vec<JobId>, now: Time) {
        self.starved_jobs.retain(|_, (_, last)| now < *last + IDLE_GRANT_MS);
        for id in jobs {
            self.starved_jobs.entry(id).or_insert((now, now)).1 = now;
        }
    }

    /// Whether a job has found no place for so long that others of its team come before it.
    pub fn is_starved(&self, id: &JobId, now: Time) -> bool {
        self.starved_jobs.get(id).is_some_and(|(since, _)| now >= since + IDLE_GRANT_MS)
    }

    /// Binds a job's first waiting task to a machine under a launch number: in the tables now, in
    /// the store with the ledger's next write, and offered only after that.
    pub fn bind(
        &mut self,
        id: &JobId,
        machine_id: &MachineId,
        launch: u64,
        value_bytes: usize,
        now: Time,
    ) -> Option<u32> {
        let machine = self.machines.get_mut(machine_id)?;
        let job = self.jobs.get_mut(id)?;
        let task = job.waiting.pop_first()?;
        job.attempts.insert(
            task,
            Attempt::new(launch, machine_id.clone(), machine.last_message.session, now),
        );
        job.vacated_machines.clear();
        let bound = Binding {
            task,
            attempt: launch,
            machine: machine_id.clone(),
            worker_session: machine.last_message.session,
        };
        self.binding_log.add(id, &bound, value_bytes);
        machine.add_task(id, task, launch);
        if machine.forwarded_by.is_some() {
            self.machines_with_commands.insert(machine.id.clone());
        }
        Some(task)
    }

    /// Machines whose reports that controller passes on and to which something new is to be said, a
    /// bounded number at once.
    pub fn take_machines_with_commands(&mut self, via: &str) -> Vec<MachineId> {
        let its = |id: &&MachineId| {
            self.machines.get(*id).is_some_and(|m| m.forwarded_by.as_deref() == Some(via))
        };
        let found: Vec<MachineId> = self
            .machines_with_commands
            .iter()
            .filter(its)
            .take(MACHINES_WITH_COMMANDS_MAX)
            .cloned()
            .collect();
        let ClusterState { machines_with_commands: look, machines, .. } = self;
        look.retain(|id| {
            !found.contains(id) && machines.get(id).is_some_and(|m| m.forwarded_by.is_some())
        });
        found
    }

    /// Wants an attempt stopped; a gang then leaves whole. Proof of its end is still awaited.
    pub fn request_stop(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let gang = job.spec.kind == JobKind::Gang;
        if let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.occupies_resources()) {
            attempt.stop_requested.get_or_insert(StopRequest::unsent(now));
            if gang {
                job.set_gang_state(GangState::Stopping);
            }
        }
    }

    /// Jobs of which something has ended since the last call.
    pub fn take_maybe_finished(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.maybe_finished)
    }

    /// Takes a job that is over off the tables.
    pub fn remove_job(&mut self, id: &JobId, now: Time) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        for (task, attempt) in &job.attempts {
            self.binding_log.forget(id, *task, Some(attempt.number));
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.remove_task(id, *task, now);
            }
        }
        let what = if job.is_cancelled() { "cancelled" } else { "done" };
        self.events.note("job", what, id, None);
        self.run_queues.remove_job(id);
        self.run_time_history.remove_job(id);
        self.preempting.remove(id);
        self.gpu_loans.remove_lender(id);
        self.dependencies.remove_job(id);
        Some(job)
    }

    /// Counts for display, for the other controllers: (job, done, running).
    pub fn task_counts(&self) -> Vec<(String, u32, u32)> {
        let counts = self.jobs.iter().map(|(id, j)| (id.to_string(), j.task_counts()));
        let held = counts.filter(|(_, c)| c.0 + c.1 > 0).map(|(id, (d, r))| (id, d, r));
        held.take(TASK_COUNTS_MAX).collect()
    }
}
