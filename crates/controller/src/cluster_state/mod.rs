//! The leader's state under one term: jobs, machines, run queues, and requests to the cloud. Each kind of change is one
//! function here or in a submodule. The cluster state depends on no module above it: `placement` and `fleet` read it
//! and return plans, and only the controller applies these.

mod binding_log;
mod cluster_events;
mod commands;
mod dependencies;
mod job_records;
mod liveness;
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
pub use queue_order::{job_attributes, priority_attribute};
pub use quota_usage::{BindingGuard, BindingRefusal, is_schedulable, quota_per_task};
pub use run_queues::{RunQueue, RunQueues, SlotId};
pub use status_reports::ReportSource;

use crate::Time;
use crate::completion_time::RunTimeHistory;
use crate::constants::{
    ATTEMPT_COUNTER_BITS, MAX_CHUNK_TASKS, MAX_HEARTBEAT_TASK_COUNTS, MAX_MACHINES_WITH_COMMANDS,
    STARVATION_MS,
};
use crate::job::{
    Attempt, FinalRecord, GangState, Job, JobId, JobKind, JobSpec, JobState, MachineId,
};
use crate::machine::Machine;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use swiftsail_dag::DependencyGraph;
use swiftsail_failure_detector::FailureDetector;
use swiftsail_gpu_lending::GpuLoans;
use swiftsail_protocol::cloud::{ListedMachineStatus, MachinePage};
use swiftsail_quota::ResourceQuantities;
use swiftsail_tiers::TierTable;

/// How long mapping rounds could not place a job although its team's limit allows it.
#[derive(Debug, Clone, Copy)]
pub struct Starvation {
    /// When a round first could not place it.
    pub since: Time,
    /// When a round last could not place it.
    pub last_seen: Time,
}

/// The leader's state under one term. Each new leader builds it from the store.
pub struct ClusterState {
    /// The fencing token.
    pub token: u64,
    /// Number of this leadership phase in this process: responses to calls of an earlier one are stale.
    pub generation: u64,
    /// When this leadership phase began.
    pub leading_since: Time,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Known machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Observed run times, by job and class.
    pub run_time_history: RunTimeHistory,
    /// Waiting tasks that are planned to run after running ones.
    pub run_queues: RunQueues,
    /// Provisioning requests and machine returns.
    pub provisioning: Provisioning,
    /// Number of unfinished tasks of jobs that have missed their deadline since the last mapping round.
    pub deadline_misses: u32,
    /// Number of scheduling cycles so far.
    pub cycles: u64,
    /// When the last scheduling cycle began.
    pub last_cycle_at: Time,
    /// When the last mapping round ran; 0: one is due at once.
    pub last_round_at: Time,
    /// Services for which tasks are being preempted: since when, and the image fetch time on the machine, ms.
    pub preempting: HashMap<JobId, (Time, f64)>,
    /// Machines whose free resources are withheld from jobs of the lowest priority, and until when.
    pub yielding_machines: HashMap<MachineId, Time>,
    /// Jobs that mapping rounds could not place although their team's limit allows it.
    pub starved_jobs: HashMap<JobId, Starvation>,
    /// Something has changed that may allow a scheduling cycle to place tasks.
    pub needs_scheduling: bool,
    /// Number of attempt numbers issued under this token.
    attempts_issued: u64,
    /// Number of the latest write of chunks or binding log segments.
    pub write_number: u64,
    /// Bindings of all jobs that no chunk holds yet.
    pub binding_log: BindingLog,
    /// Keys of chunks of finished jobs, to be deleted.
    pub stale_binding_keys: Vec<String>,
    /// Finished jobs whose final records are not archived under `end/` yet, with their mod revisions.
    pub unarchived_jobs: VecDeque<(JobId, u64, FinalRecord)>,
    /// A transaction that archives some of them is in flight.
    pub is_archiving: bool,
    /// Number of jobs whose final record is in flight: counted in the last tick, plus those sent since.
    pub closing_jobs: usize,
    /// This leader is new and still reads the store.
    is_loading: bool,
    /// The leader's allocation of each team's limit, if limits are divided among controllers in the state service.
    /// None: only the limits in the settings apply.
    pub quota_limits: Option<Vec<ResourceQuantities>>,
    /// When tasks were last preempted for a lowered limit.
    pub limit_preempted_at: Time,
    /// Cluster events for subscribers.
    pub events: ClusterEvents,
    /// Machines whose reports other controllers forward, and for which there is a new command.
    machines_with_commands: BTreeSet<MachineId>,
    /// Jobs of which a task has ended or which were cancelled: they may be finished.
    maybe_finished: BTreeSet<JobId>,
    /// Revision of the store up to which changes of jobs are known.
    pub watched_revision: u64,
    /// When the request was sent whose response covered that revision: jobs are known as of then. A later call of
    /// another kind proves nothing about them, even if it succeeds.
    pub jobs_current_as_of: Time,
    /// When changes were last requested in addition to the watch.
    pub changes_requested_at: Time,
    /// Failure detector; created at the first check.
    pub failure_detector: Option<FailureDetector<MachineId>>,
    /// When the liveness of machines was last checked.
    pub machines_checked_at: Time,
    /// Zones in which a controller is reachable, including the leader's own.
    pub reachable_zones: BTreeSet<String>,
    /// Dependencies between unfinished jobs.
    pub dependencies: DependencyGraph,
    /// When deadlines were last propagated along the dependencies.
    pub dependency_deadlines_at: Time,
    /// Finished jobs that others depend on, and before when their final record is not to be read (again).
    pub(crate) dependency_reads: BTreeMap<JobId, Time>,
    /// GPU loans.
    pub gpu_loans: GpuLoans,
    /// The current tier table.
    pub tiers: Rc<TierTable>,
    /// A worker's lease, ms; 0: leases are no evidence of reachability.
    pub lease_ms: f64,
    /// Whether every controller can read binding chunks that contain runs ([`crate::job::BindingRun`]).
    pub writes_binding_runs: bool,
}

/// Parses `job/task`, the name of a task on the wire, or `job/chunk`, the suffix of a chunk's key.
pub fn parse_task_name(name: &str) -> Option<(JobId, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((JobId::from(job), task.parse().ok()?))
}

/// Whether a job is a gang of more tasks than a chunk covers.
fn is_large_gang(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Gang && spec.tasks > MAX_CHUNK_TASKS
}

/// The name by which workers know a task.
fn task_name(job: &JobId, task: u32) -> String {
    format!("{job}/{task}")
}

impl ClusterState {
    /// An empty state under a fencing token.
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
            deadline_misses: 0,
            cycles: 0,
            last_cycle_at: 0,
            last_round_at: now,
            preempting: HashMap::new(),
            yielding_machines: HashMap::new(),
            starved_jobs: HashMap::new(),
            needs_scheduling: true,
            attempts_issued: 0,
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
            jobs_current_as_of: 0,
            changes_requested_at: 0,
            failure_detector: None,
            machines_checked_at: 0,
            reachable_zones: BTreeSet::new(),
            dependencies: DependencyGraph::default(),
            dependency_deadlines_at: 0,
            dependency_reads: BTreeMap::new(),
            gpu_loans: GpuLoans::default(),
            tiers: Rc::default(),
            lease_ms: 0.0,
            writes_binding_runs: false,
        }
    }

    /// Issues an attempt number that no other leader has used or will use.
    pub fn next_attempt_number(&mut self) -> u64 {
        self.attempts_issued += 1;
        self.last_attempt_number()
    }

    /// The latest attempt number issued; if there is none yet, a number above those of all earlier leaders.
    pub fn last_attempt_number(&self) -> u64 {
        (self.token << ATTEMPT_COUNTER_BITS) + self.attempts_issued
    }

    /// Has the next scheduling cycle include a mapping round.
    pub fn force_mapping_round(&mut self) {
        self.last_round_at = 0;
    }

    /// Removes a task's attempt that is confirmed gone or was never started: the task waits again.
    pub fn release(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(attempt) = job.release_attempt(task, now)
            && let Some(machine) = self.machines.get_mut(attempt.machine())
        {
            self.binding_log.remove(id, task, Some(attempt.number));
            machine.remove_task(id, task, now);
        }
        self.needs_scheduling = true;
    }

    /// Stops a gang that has lost a task as a whole: it is placed again when no attempt is left.
    pub(crate) fn stop_gang_after_loss(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.kind == JobKind::Gang {
            job.set_gang_state(GangState::Stopping);
        }
    }

    /// Machines with attempts of cancelled jobs that are not confirmed gone, and when each job was cancelled.
    pub fn machines_with_cancelled_tasks(&self) -> impl Iterator<Item = (MachineId, Time)> {
        let cancelled = self.jobs.values().filter_map(|job| Some((job, job.cancelled_at?)));
        cancelled.flat_map(|(job, cancelled_at)| {
            let machines = job.attempts.occupying_by_machine();
            machines.map(move |(machine, _)| (machine.clone(), cancelled_at))
        })
    }

    /// Whether a gang of more tasks than a chunk covers waits to be placed.
    pub fn has_waiting_large_gang(&self) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| is_large_gang(&job.spec) && job.has_queued_tasks() && !job.is_cancelled())
    }

    /// Whether the bindings of a job are committed in its chunks directly, and not in the binding log first. The log
    /// stores each binding by itself, and a large gang would fill it; a chunk stores a gang's tasks on a machine as one
    /// run.
    pub fn commits_in_chunks(&self, spec: &JobSpec) -> bool {
        self.writes_binding_runs && is_large_gang(spec)
    }

    /// Binds a job's first waiting task to a machine under an attempt number: in memory now, and in the store with the
    /// next write of the binding log, or of its chunk ([`ClusterState::commits_in_chunks`]). Its start is offered only
    /// after that. Returns the task; none if the machine or the job is not known, or no task waits.
    pub fn bind(
        &mut self,
        id: &JobId,
        machine_id: &MachineId,
        number: u64,
        max_value_bytes: usize,
        now: Time,
    ) -> Option<u32> {
        let commits_in_chunks = self.commits_in_chunks(&self.jobs.get(id)?.spec);
        let machine = self.machines.get_mut(machine_id)?;
        let job = self.jobs.get_mut(id)?;
        let task = job.waiting.pop_first()?;
        job.commits_in_chunks = commits_in_chunks;
        let session = machine.last_message.session;
        let attempt = Attempt::new(number, machine_id.clone(), session, now);
        if commits_in_chunks {
            job.mark_chunk_due(task, now);
        } else {
            self.binding_log.add(id, &attempt.binding(task), max_value_bytes);
        }
        job.attempts.insert(task, attempt);
        job.vacated_machines.clear();
        machine.add_task(id, task, number);
        if machine.forwarded_by.is_some() {
            self.machines_with_commands.insert(machine.id.clone());
        }
        Some(task)
    }

    /// Requests the stop of an attempt, and with it of its whole gang. The task waits again only once the attempt is
    /// confirmed gone.
    pub fn request_stop(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.request_stop(task) && job.spec.kind == JobKind::Gang {
            job.set_gang_state(GangState::Stopping);
        }
    }

    /// Returns the jobs that may have finished since the last call.
    pub fn take_maybe_finished(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.maybe_finished)
    }

    /// Removes a finished job and everything that refers to it.
    pub fn remove_job(&mut self, id: &JobId, now: Time) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        for (task, attempt) in job.attempts.iter() {
            self.binding_log.remove(id, *task, Some(attempt.number));
            if let Some(machine) = self.machines.get_mut(attempt.machine()) {
                machine.remove_task(id, *task, now);
            }
        }
        let what = if job.is_cancelled() { "cancelled" } else { "done" };
        self.events.record("job", what, id, None);
        self.run_queues.remove_job(id);
        self.run_time_history.remove_job(id);
        self.preempting.remove(id);
        self.gpu_loans.remove_lender(id);
        self.dependencies.remove_job(id);
        Some(job)
    }

    /// Task counts for display by the other controllers, as (job, done, running), of at most
    /// [`MAX_HEARTBEAT_TASK_COUNTS`] jobs.
    pub fn task_counts(&self) -> Vec<(String, u32, u32)> {
        let counts = self.jobs.iter().map(|(id, job)| (id, job.task_counts()));
        let begun = counts.filter(|(_, (done, running))| done + running > 0);
        let rows = begun.map(|(id, (done, running))| (id.to_string(), done, running));
        rows.take(MAX_HEARTBEAT_TASK_COUNTS).collect()
    }

    /// Begins a scheduling cycle: ends backoffs, and counts jobs that are past their deadline as missed and removes
    /// their tasks from the run queues (thesis, algorithm 2, steps 1-3).
    pub fn begin_cycle(&mut self, now: Time) {
        self.last_cycle_at = now;
        self.cycles += 1;
        self.needs_scheduling = false;
        let mut late = Vec::new();
        for (id, job) in &mut self.jobs {
            job.end_backoffs(now);
            if job.deadline.is_some_and(|due| due < now)
                && !job.missed_deadline
                && job.state() == JobState::Live
            {
                job.missed_deadline = true;
                let unfinished = job.waiting.len() + job.occupying_attempts();
                self.deadline_misses += unfinished as u32;
                self.events.record("job", "late", id, None);
                late.push(id.clone());
            }
        }
        for id in late {
            self.run_queues.remove_job(&id);
        }
    }

    /// Records the jobs that a mapping round could not place although their team's limit allows it. A job that is
    /// placed now and then stays starved: its time restarts only after it was not recorded for [`STARVATION_MS`].
    pub fn record_starved(&mut self, jobs: Vec<JobId>, now: Time) {
        self.starved_jobs.retain(|_, starvation| now < starvation.last_seen + STARVATION_MS);
        for id in jobs {
            let starvation =
                self.starved_jobs.entry(id).or_insert(Starvation { since: now, last_seen: now });
            starvation.last_seen = now;
        }
    }

    /// Whether a job could not be placed for at least [`STARVATION_MS`]. If it cannot be placed now either, other jobs of
    /// its team use the team's quota before it.
    pub fn is_starved(&self, id: &JobId, now: Time) -> bool {
        let starvation = self.starved_jobs.get(id);
        starvation.is_some_and(|starvation| now >= starvation.since + STARVATION_MS)
    }

    /// Machines whose reports `controller` forwards and for which there is a new command, at most
    /// [`MAX_MACHINES_WITH_COMMANDS`]. Each is returned once.
    pub fn take_machines_with_commands(&mut self, controller: &str) -> Vec<MachineId> {
        let is_forwarded = |id: &&MachineId| {
            self.machines.get(*id).is_some_and(|m| m.forwarded_by.as_deref() == Some(controller))
        };
        let found: Vec<MachineId> = self
            .machines_with_commands
            .iter()
            .filter(is_forwarded)
            .take(MAX_MACHINES_WITH_COMMANDS)
            .cloned()
            .collect();
        let ClusterState { machines_with_commands, machines, .. } = self;
        machines_with_commands.retain(|id| {
            !found.contains(id) && machines.get(id).is_some_and(|m| m.forwarded_by.is_some())
        });
        found
    }

    /// Removes a machine that is gone, as the cloud's response 200 to its return proves, and releases all attempts on
    /// it.
    pub fn on_machine_gone(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        let tasks: Vec<(JobId, u32)> =
            machine.tasks.keys().map(|(job, task)| (job.clone(), *task)).collect();
        for (job, task) in tasks {
            let attempt = self.jobs.get(&job).and_then(|job| job.attempts.get(&task));
            if !attempt.is_some_and(Attempt::is_completed) {
                self.release_lost_task(&job, task, now);
            }
        }
        self.run_queues.remove_machine(id);
        self.machines.remove(id);
        self.needs_scheduling = true;
        self.events.record("machine", "gone", id, None);
        tracing::debug!(machine = %id, "machine removed");
    }

    /// Applies a page of the cloud's machine list. Returns the machines that it lists as failed.
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

    /// The machine of a name, added if it was not known.
    pub fn machine_entry(&mut self, id: &MachineId, now: Time) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now))
    }
}
