//! Jobs and their tasks: what was asked for, which attempt is where, and what the store holds.

mod failure_attribution;
mod record;

pub use record::{
    Binding, BindingChunk, FinalRecord, FinalState, JobRecord, StoredJob, chunk_key, chunk_size,
    keys,
};

use crate::constants::{
    BAD_MACHINES_MAX, CHUNK_BYTES, GANG_START_PROMISE_MS, KEEP_FOR_GANG_MS, MS_PER_S, RANGE_BYTES,
    RETRY_MAX_MS, RETRY_MS, START_PROMISE_MS, START_PROMISE_PART,
};
pub use swiftsail_protocol::users::{JobKind, JobSpec, Priority};

use crate::Time;
pub use failure_attribution::FailureAttribution;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use swiftsail_protocol::workers::ExitCause;
use swiftsail_tiers::TierAssignment;

/// A job's id.
pub type JobId = Arc<str>;
/// A machine's name.
pub type MachineId = Arc<str>;

/// Where an attempt stands. The order is the order of its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Its binding is being committed; no start was offered.
    Committing,
    /// Bound; its start is offered in report responses.
    Bound,
    /// On the machine, waits for its image.
    Fetching,
    /// On the machine, waits for its gang.
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves.
    Saving,
    /// Ended; kept until what follows from it is committed.
    Exited(ExitCause),
}

/// One attempt of a task on a machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number, never used again.
    pub number: u64,
    /// Where.
    pub machine: MachineId,
    /// Session of the machine that it was bound for.
    pub worker_session: u64,
    /// Where it stands. Changed by [`Attempt::advance`] alone.
    phase: AttemptPhase,
    image_seen: bool,
    /// Bound under an earlier term.
    pub from_previous_term: bool,
    /// (session, tick) of the report whose response last carried the start.
    pub offered_in: Option<(u64, u64)>,
    /// A report has shown it.
    pub is_reported: bool,
    /// Its start is not to be offered (again).
    pub start_withdrawn: bool,
    /// When it was bound (or first known to this term).
    pub bound_at: Time,
    /// When it first was seen to run.
    pub running_since: Option<Time>,
    /// When a stop was first wanted, and last sent.
    pub stop_requested: Option<(Time, Time)>,
}

impl Attempt {
    /// A new attempt whose binding is yet to be committed.
    pub fn new(number: u64, machine: MachineId, worker_session: u64, now: Time) -> Attempt {
        Attempt {
            number,
            machine,
            worker_session,
            phase: AttemptPhase::Committing,
            image_seen: false,
            from_previous_term: false,
            offered_in: None,
            is_reported: false,
            start_withdrawn: false,
            bound_at: now,
            running_since: None,
            stop_requested: None,
        }
    }

    /// An attempt found in the store by a new leader.
    pub fn restored(bound: &Binding, now: Time) -> Attempt {
        let mut it = Attempt::new(bound.attempt, bound.machine.clone(), bound.worker_session, now);
        it.phase = AttemptPhase::Bound;
        it.from_previous_term = true;
        it
    }

    /// Where it stands.
    pub fn phase(&self) -> AttemptPhase {
        self.phase
    }

    /// The one function that changes the stage. Returns whether it changed. An exited attempt
    /// stays exited: a late report cannot bring it back.
    pub fn advance(&mut self, to: AttemptPhase, now: Time) -> bool {
        if matches!(self.phase, AttemptPhase::Exited(_)) || self.phase == to {
            return false;
        }
        self.image_seen |= matches!(to, AttemptPhase::WaitingForGang | AttemptPhase::Running);
        if to == AttemptPhase::Running && self.running_since.is_none() {
            self.running_since = Some(now);
        }
        self.phase = to;
        true
    }

    /// Whether its machine is taken to have its image: it was seen to wait or run there, or an earlier
    /// leader started it.
    pub fn had_image(&self) -> bool {
        self.image_seen || self.from_previous_term
    }

    /// Its binding, as records hold it.
    pub fn binding(&self, task: u32) -> Binding {
        Binding {
            task,
            attempt: self.number,
            machine: self.machine.clone(),
            worker_session: self.worker_session,
        }
    }

    /// Whether it takes room on its machine.
    pub fn occupies_resources(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Exited(_))
    }
}

/// State of a job in the leader's tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and awaits other jobs: none of its tasks may be bound.
    Awaiting,
    /// Accepted, tasks wait or run.
    Live,
    /// Cancelled; its tasks are being ended.
    Cancelling,
    /// Its final record is being committed.
    Closing,
    /// Its final record is committed.
    Closed,
}

/// How a gang stands together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangState {
    /// It waits for a place, or all of it is bound.
    Whole,
    /// A task has ended `alone` while others still fetch: those go on, since a fetch that nobody
    /// waits for is given up. The gang is placed anew once its image is everywhere.
    Fetching,
    /// A task was lost or is to leave: all of it is stopped, and it is placed anew when none is left.
    Stopping,
}

/// What a chunk's record holds in a bounded size.
struct ChunkContents {
    /// Tasks done, as ranges.
    done: Vec<(u32, u32)>,
    /// Bindings that it alone tells of and has room for, ...
    fitting: Vec<Binding>,
    /// ... and those that it has no room for.
    overflowing: Vec<Binding>,
    /// Bytes left.
    bytes_left: usize,
}

/// Deadlines of a job, by who gives them, in steady time.
#[derive(Debug, Clone, Copy)]
struct Deadlines {
    own: Option<Time>,
    occurrence: Option<Time>,
    dependents: Option<Time>,
}

impl Deadlines {
    fn earliest(&self) -> Option<Time> {
        [self.own, self.occurrence, self.dependents].into_iter().flatten().min()
    }
}

/// A transaction of a job on its way.
#[derive(Debug, Clone)]
pub struct InFlightTransaction {
    /// Number of the write, held in each chunk it writes.
    pub write_number: u64,
    /// Chunks written.
    pub chunks: Vec<u32>,
    /// (task, launch) bound by it.
    pub bindings: Vec<(u32, u64)>,
    /// Tasks done by it.
    pub done: Vec<u32>,
    /// The final record, if it ends the job.
    pub final_record: Option<FinalRecord>,
}

/// A job as the leader holds it.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What it asks for.
    pub spec: Arc<JobSpec>,
    /// Stamp of its record in the store.
    pub mod_revision: u64,
    state: JobState,
    /// Time of day of its acceptance, ms since the epoch.
    pub accepted_wall: u64,
    /// From when on it could have been placed, in this process's steady time, as far as clocks agree: its acceptance,
    /// or the end of the last job that it awaits. How long it has waited outlives leaders.
    pub eligible_at: Time,
    /// Name of the tier that it was accepted into, if its record has one; and where that stands.
    pub accepted_tier: Option<String>,
    /// See `accepted_as`.
    pub tier: TierAssignment,
    /// Deadline in steady time: the soonest of its own, the one that an arrival gives it, and the one that the jobs
    /// which await it do.
    pub deadline: Option<Time>,
    deadlines: Deadlines,
    /// Its own priority: what it asks for may carry a higher one, of a job that awaits it.
    pub own_priority: Priority,
    /// When this leader learnt that it is cancelled.
    pub cancelled_at: Option<Time>,
    /// Tasks that wait for a place.
    pub waiting: BTreeSet<u32>,
    /// Tasks that wait for a pause after a failure to end.
    pub backing_off: BTreeMap<u32, (Time, u32)>,
    /// Failures of tasks so far.
    pub failures: BTreeMap<u32, u32>,
    /// Attempts not proved gone, and exits not yet committed.
    pub attempts: BTreeMap<u32, Attempt>,
    /// Tasks done and committed.
    pub done: BTreeSet<u32>,
    /// Tasks in a chunk.
    pub chunk_tasks: u32,
    /// Stamps of the chunks in the store.
    pub chunk_revisions: BTreeMap<u32, u64>,
    /// Chunks whose record differs, and since when.
    pub dirty_chunks: BTreeMap<u32, Time>,
    /// The latest launch that each chunk accounts for.
    pub chunk_covers: BTreeMap<u32, u64>,
    /// Transaction on its way.
    pub in_flight: Option<InFlightTransaction>,
    /// Machines on which a task of it failed.
    pub bad_machines: VecDeque<MachineId>,
    failure_attribution: FailureAttribution,
    gang_state: GangState,
    /// Gang: the machines that its tasks have left, where its image is, and when. Their room is kept
    /// for it for a while.
    pub vacated_machines: BTreeMap<MachineId, Time>,
    /// Counted as missed already.
    pub missed_deadline: bool,
}

impl Job {
    /// A job from its record.
    pub fn new(id: JobId, record: &JobRecord, mod_revision: u64, now: Time, wall: u64) -> Job {
        let spec = Arc::new(record.spec.clone());
        let passed = wall.saturating_sub(record.accepted_wall);
        let deadline =
            spec.deadline_s.map(|s| (now + (s * MS_PER_S).min(1e15) as u64).saturating_sub(passed));
        Job {
            id,
            waiting: (0..spec.tasks).collect(),
            chunk_tasks: record.chunk_tasks.max(1),
            spec,
            mod_revision,
            state: if record.depends_on.is_empty() { JobState::Live } else { JobState::Awaiting },
            accepted_wall: record.accepted_wall,
            eligible_at: now.saturating_sub(passed),
            accepted_tier: record.tier.clone(),
            tier: TierAssignment { tier: u8::MAX, ordered: false },
            deadline,
            deadlines: Deadlines { own: deadline, occurrence: None, dependents: None },
            own_priority: record.spec.priority,
            cancelled_at: None,
            backing_off: BTreeMap::new(),
            failures: BTreeMap::new(),
            attempts: BTreeMap::new(),
            done: BTreeSet::new(),
            chunk_revisions: BTreeMap::new(),
            dirty_chunks: BTreeMap::new(),
            chunk_covers: BTreeMap::new(),
            in_flight: None,
            bad_machines: VecDeque::new(),
            failure_attribution: FailureAttribution::New,
            gang_state: GangState::Whole,
            vacated_machines: BTreeMap::new(),
            missed_deadline: false,
        }
    }

    /// Its state.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// The one function that changes the state. A job never goes back.
    pub fn advance(&mut self, to: JobState, now: Time) -> bool {
        let allowed = matches!(
            (self.state, to),
            (JobState::Awaiting, JobState::Live | JobState::Cancelling)
                | (JobState::Live, JobState::Cancelling | JobState::Closing)
                | (JobState::Cancelling, JobState::Closing)
                | (JobState::Closing, JobState::Cancelling | JobState::Closed)
        );
        if !allowed {
            return false;
        }
        if to == JobState::Cancelling {
            self.cancelled_at.get_or_insert(now);
        }
        self.state = to;
        true
    }

    /// How a gang stands together.
    pub fn gang_state(&self) -> GangState {
        self.gang_state
    }

    /// The one function that changes how a gang stands together: what leaves is whole again only when
    /// none of it is left. Returns whether it changed.
    pub fn set_gang_state(&mut self, to: GangState) -> bool {
        let none_left = !self.attempts.values().any(Attempt::occupies_resources);
        let allowed = match (self.gang_state, to) {
            (GangState::Whole, GangState::Fetching | GangState::Stopping)
            | (GangState::Fetching, GangState::Stopping) => !none_left,
            (GangState::Fetching | GangState::Stopping, GangState::Whole) => none_left,
            _ => false,
        };
        if allowed {
            self.gang_state = to;
        }
        allowed
    }

    /// Whether a task of a gang still fetches and none runs: a fetch is worth waiting for.
    pub fn is_fetching(&self) -> bool {
        let mut stages = self.attempts.values().map(Attempt::phase);
        let fetches = stages.clone().any(|s| s == AttemptPhase::Fetching);
        fetches && !stages.any(|s| matches!(s, AttemptPhase::Running | AttemptPhase::Saving))
    }

    /// The machines whose room is kept for this gang until it is placed again. Where others still
    /// fetch for as long as that takes, else for a moment: what else it needs may have to boot.
    pub fn reserved_machines(&self, now: Time) -> impl Iterator<Item = &MachineId> {
        let gathers = self.gang_state != GangState::Whole;
        let kept = move |(_, at): &(&MachineId, &Time)| gathers || now < **at + KEEP_FOR_GANG_MS;
        self.vacated_machines.iter().filter(kept).map(|(id, _)| id)
    }

    /// An arrival gives it a deadline, or none any more: never later than its own.
    pub fn set_occurrence_deadline(&mut self, due: Option<Time>) {
        self.deadlines.occurrence = due;
        self.deadline = self.deadlines.earliest();
    }

    /// What the jobs that await it need: a deadline, or none any more, and a priority that is not below its own.
    pub fn set_dependent_requirements(&mut self, due: Option<Time>, priority: Priority) {
        self.deadlines.dependents = due;
        self.deadline = self.deadlines.earliest();
        let priority = priority.max(self.own_priority);
        if self.spec.priority != priority {
            Arc::make_mut(&mut self.spec).priority = priority;
        }
    }

    /// Its own deadline, whoever else gives it one.
    pub fn own_deadline(&self) -> Option<Time> {
        self.deadlines.own
    }

    /// Whether tasks of it wait for a place, and not for another job.
    pub fn has_queued_tasks(&self) -> bool {
        !self.waiting.is_empty() && self.state != JobState::Awaiting
    }

    /// All that it awaits is done, the last at that time of day: from then on its times count.
    pub fn make_eligible(&mut self, at_wall: u64, now: Time, wall: u64) {
        self.eligible_at = self.eligible_at.max(now.saturating_sub(wall.saturating_sub(at_wall)));
        self.advance(JobState::Live, now);
    }

    /// Whether any of its tasks has a place or had one to its end.
    pub fn has_begun(&self) -> bool {
        !self.attempts.is_empty() || !self.done.is_empty()
    }

    /// Whether it has waited so long, at that time, that it is to begin: of a gang or a service nothing has a
    /// place, of an array less than a part. The age is durable, so no change of leader puts it off.
    pub fn is_overdue_to_start(&self, now: Time) -> bool {
        let placed = (self.attempts.len() + self.done.len()) as u32;
        let part = match self.spec.kind {
            JobKind::Array => self.spec.tasks.div_ceil(START_PROMISE_PART),
            _ => 1,
        };
        let after =
            if self.spec.kind == JobKind::Gang { GANG_START_PROMISE_MS } else { START_PROMISE_MS };
        placed < part && now >= self.eligible_at + after
    }

    /// Whether its user has cancelled it.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled_at.is_some()
    }

    /// The chunk of a task.
    pub fn chunk_of(&self, task: u32) -> u32 {
        task / self.chunk_tasks
    }

    /// Notes that the record of a task's chunk must be written.
    pub fn mark_chunk_dirty(&mut self, task: u32, now: Time) {
        self.dirty_chunks.entry(self.chunk_of(task)).or_insert(now);
    }

    /// Tasks of a chunk that have an attempt.
    pub fn tasks_in_chunk(&self, chunk: u32) -> impl Iterator<Item = u32> {
        let from = chunk * self.chunk_tasks;
        let to = (from + self.chunk_tasks).min(self.spec.tasks);
        self.attempts.range(from..to).map(|(task, _)| *task)
    }

    /// Bindings that a chunk alone tells of and that its record has no room for, in at most so many bytes: an earlier
    /// leader could write larger ones.
    pub fn overflowing_bindings(
        &self,
        chunk: u32,
        bytes: usize,
        elsewhere: impl Fn(u32) -> bool,
    ) -> Vec<Binding> {
        self.chunk_contents(chunk, bytes, elsewhere).overflowing
    }

    /// What of a chunk's tasks is done, which bindings must go beside that and do, and which do not.
    fn chunk_contents(
        &self,
        chunk: u32,
        bytes: usize,
        elsewhere: impl Fn(u32) -> bool,
    ) -> ChunkContents {
        let from = chunk * self.chunk_tasks;
        let to = (from + self.chunk_tasks).min(self.spec.tasks);
        let exited = self.attempts.range(from..to).filter(|(_, a)| is_done(a)).map(|(t, _)| *t);
        let done: BTreeSet<u32> = self.done.range(from..to).copied().chain(exited).collect();
        let done = record::ranges(&done);
        let mut left = bytes.saturating_sub(CHUNK_BYTES + done.len() * RANGE_BYTES);
        let (mut fit, mut over) = (Vec::new(), Vec::new());
        for (task, a) in self.attempts.range(from..to).filter(|(_, a)| a.occupies_resources()) {
            if elsewhere(*task) {
                continue;
            }
            let bound = a.binding(*task);
            let size = bound.bytes();
            if size <= left {
                left -= size;
                fit.push(bound);
            } else {
                over.push(bound);
            }
        }
        ChunkContents { done, fitting: fit, overflowing: over, bytes_left: left }
    }

    /// The record of a chunk as it should be, in at most so many bytes. `elsewhere` tells of which tasks a
    /// sheet of the ledger holds the binding: those are left there, or taken over as far as they fit. What fits nowhere
    /// was to be taken back by the ledger before ([`Job::overflow`]).
    pub fn chunk_record(
        &self,
        chunk: u32,
        (nonce, last_launch): (u64, u64),
        bytes: usize,
        take_over: bool,
        elsewhere: impl Fn(u32) -> bool,
    ) -> BindingChunk {
        let ChunkContents { done, fitting: fit, overflowing: over, bytes_left: mut left } =
            self.chunk_contents(chunk, bytes, &elsewhere);
        let mut record =
            BindingChunk { write_number: nonce, covers: last_launch, done, bindings: fit };
        // Whoever reads this finds later bindings on the sheets alone.
        let mut beyond = |launch: u64| record.covers = record.covers.min(launch.saturating_sub(1));
        over.iter().for_each(|b| beyond(b.attempt));
        let may = self.tasks_in_chunk(chunk).filter(|task| elsewhere(*task));
        for bound in may.filter_map(|t| {
            self.attempts.get(&t).filter(|a| a.occupies_resources()).map(|a| a.binding(t))
        }) {
            let size = bound.bytes();
            if take_over && size <= left {
                left -= size;
                record.bindings.push(bound);
            } else {
                beyond(bound.attempt);
            }
        }
        record
    }

    /// Takes over a chunk read from the store.
    pub fn restore_chunk(&mut self, chunk: u32, record: &BindingChunk, stamp: u64, now: Time) {
        self.chunk_revisions.insert(chunk, stamp);
        self.chunk_covers.insert(chunk, record.covers);
        for &(from, to) in &record.done {
            for task in from..=to.min(self.spec.tasks.saturating_sub(1)) {
                self.waiting.remove(&task);
                self.done.insert(task);
            }
        }
        for bound in &record.bindings {
            if bound.task < self.spec.tasks && self.waiting.remove(&bound.task) {
                self.attempts.insert(bound.task, Attempt::restored(bound, now));
            }
        }
    }

    /// Takes over a binding of the ledger, unless its chunk, or one taken over already, knows
    /// better. To be called after all chunks.
    pub fn restore_log_binding(&mut self, bound: &Binding, now: Time) -> bool {
        let upto = self.chunk_covers.get(&self.chunk_of(bound.task)).copied().unwrap_or(0);
        let older = self.attempts.get(&bound.task).is_none_or(|a| a.number < bound.attempt);
        if bound.task >= self.spec.tasks
            || bound.attempt <= upto
            || self.done.contains(&bound.task)
            || !older
        {
            return false;
        }
        self.waiting.remove(&bound.task);
        self.attempts.insert(bound.task, Attempt::restored(bound, now));
        true
    }

    /// An attempt is proved gone, or was never started: its task waits again.
    pub fn release_attempt(&mut self, task: u32, now: Time) -> Option<Attempt> {
        let attempt = self.attempts.remove(&task)?;
        if !self.done.contains(&task) {
            self.waiting.insert(task);
        }
        if self.spec.kind == JobKind::Gang && attempt.had_image() {
            self.vacated_machines.insert(attempt.machine.clone(), now);
        }
        self.mark_chunk_dirty(task, now);
        Some(attempt)
    }

    /// Holds a waiting task back after a failure.
    pub fn back_off(&mut self, task: u32, now: Time) {
        if self.waiting.remove(&task) {
            let count = self.failures.entry(task).or_insert(0);
            *count += 1;
            let pause = RETRY_MS << (*count - 1).min(8);
            self.backing_off.insert(task, (now + pause.min(RETRY_MAX_MS), *count));
        }
    }

    /// Tasks whose pause is over wait again.
    pub fn end_backoffs(&mut self, now: Time) {
        if self.backing_off.is_empty() {
            return;
        }
        let over: Vec<u32> =
            self.backing_off.iter().filter(|(_, (at, _))| *at <= now).map(|(t, _)| *t).collect();
        for task in over {
            self.backing_off.remove(&task);
            self.waiting.insert(task);
        }
        self.limit_suspect_job(now);
    }

    /// Remembers a machine as bad for this job.
    pub fn note_bad_machine(&mut self, machine: &MachineId) {
        if !self.bad_machines.contains(machine) {
            if self.bad_machines.len() >= BAD_MACHINES_MAX {
                self.bad_machines.pop_front();
            }
            self.bad_machines.push_back(machine.clone());
        }
    }

    /// Tasks in one zone that are not proved gone.
    pub fn tasks_in_zone<'a>(
        &self,
        zone_of: impl Fn(&MachineId) -> Option<&'a str>,
        zone: &str,
    ) -> u32 {
        let there =
            self.attempts.values().filter(|a| zone_of(&a.machine).is_none_or(|z| z == zone));
        there.filter(|a| a.occupies_resources()).count() as u32
    }

    /// (done, running) for display.
    pub fn task_counts(&self) -> (u32, u32) {
        let running = self.attempts.values().filter(|a| a.phase() == AttemptPhase::Running).count();
        (self.done.len() as u32, running as u32)
    }
}

fn is_done(attempt: &Attempt) -> bool {
    attempt.phase() == AttemptPhase::Exited(ExitCause::Completed)
}
