//! A job in the leader's memory: its specification, its state, and the state of each of its tasks. A task is in exactly
//! one of [`Job::waiting`], [`Job::backing_off`], [`Job::attempts`] and [`Job::done`]. A [`Job`] belongs to
//! `cluster_state`, which changes it; it calls nothing outside this module.

mod attempt;
mod attempts;
mod chunks;
mod deadlines;
mod failure_attribution;
mod gang;
mod record;
mod retry;
mod task_set;

pub use attempt::{Attempt, AttemptPhase};
pub use attempts::{AttemptCounts, AttemptMut, Attempts};
pub use chunks::{BindingEncoding, ChunkWrite, InFlightTransaction, LoggedBindings, TaskAttempt};
pub use failure_attribution::FailureAttribution;
pub use gang::GangState;
pub use record::{
    Binding, BindingChunk, BindingRun, CancelledForm, FinalRecord, FinalState, JobRecord,
    StoredJob, chunk_key, chunk_size, keys,
};
pub use swiftsail_protocol::users::{JobKind, JobSpec, Priority};
pub use task_set::TaskSet;

use crate::Time;
use crate::constants::MS_PER_S;
use deadlines::Deadlines;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use swiftsail_tiers::TierAssignment;

/// A job's id, chosen by its user.
pub type JobId = Arc<str>;
/// A machine's name in the cloud.
pub type MachineId = Arc<str>;

/// Maximum deadline, ms: specifications may contain any number, and the sum with the monotonic time must not overflow.
const MAX_DEADLINE_MS: f64 = 1e15;

/// State of a job in the leader's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and depends on jobs that are not done yet: none of its tasks may be bound.
    Awaiting,
    /// Accepted; its tasks wait or run.
    Live,
    /// Cancelled; its tasks are being stopped.
    Cancelling,
    /// Its final record is being committed.
    Closing,
    /// Its final record is committed.
    Closed,
}

/// A job in the leader's memory.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its specification. The priority may be raised by jobs that depend on it.
    pub spec: Arc<JobSpec>,
    /// Mod revision of its record in the store.
    pub mod_revision: u64,
    /// Changed only by [`Job::advance`].
    state: JobState,
    /// When it was accepted: wall clock, ms since the Unix epoch.
    pub accepted_wall: u64,
    /// Since when it could have been placed: its acceptance, or the end of its last dependency. In this process's
    /// monotonic time, converted from the wall clock. Both times are durable, so its waiting time survives failovers.
    pub eligible_at: Time,
    /// Name of the tier that it was accepted into, if its record holds one.
    pub accepted_tier: Option<String>,
    /// Its tier in the current table: `accepted_tier` if that still exists.
    pub tier: TierAssignment,
    /// The earliest of its deadlines, in monotonic time: its own, that of its occurrence, those of jobs that depend on
    /// it.
    pub deadline: Option<Time>,
    deadlines: Deadlines,
    /// The priority in its own specification.
    pub own_priority: Priority,
    /// When it was cancelled, in monotonic time; none: it is not cancelled.
    pub cancelled_at: Option<Time>,
    /// Tasks that wait for a machine.
    pub waiting: TaskSet,
    /// Tasks in backoff after a failure, and until when.
    pub backing_off: BTreeMap<u32, Time>,
    /// Number of failures by task.
    pub failures: BTreeMap<u32, u32>,
    /// Attempts by task: those not confirmed gone, and exited ones whose consequence is not committed yet.
    pub attempts: Attempts,
    /// Tasks that are recorded as done in the store.
    pub done: TaskSet,
    /// Number of tasks that a chunk covers.
    pub chunk_tasks: u32,
    /// Mod revisions of the chunks in the store.
    pub chunk_revisions: BTreeMap<u32, u64>,
    /// Chunks whose stored record is outdated, and since when.
    pub dirty_chunks: BTreeMap<u32, Time>,
    /// Whether all its bindings are committed in its chunks directly, and none in the binding log.
    pub commits_in_chunks: bool,
    /// By chunk read from the store: the latest attempt that it accounts for. Later ones are in the binding log.
    pub chunk_covers: BTreeMap<u32, u64>,
    /// The job's one transaction that was sent and whose outcome is not known.
    pub in_flight: Option<InFlightTransaction>,
    /// Machines on which a task of this job failed, the latest last.
    pub bad_machines: VecDeque<MachineId>,
    /// Changed only by [`Job::set_failure_attribution`].
    failure_attribution: FailureAttribution,
    /// Changed only by [`Job::set_gang_state`].
    gang_state: GangState,
    /// Machines with the gang's image that its tasks have vacated, and when.
    pub vacated_machines: BTreeMap<MachineId, Time>,
    /// Its deadline has passed and was counted as missed.
    pub missed_deadline: bool,
}

impl Job {
    /// A job from its record. `now` is the monotonic time and `wall` the wall clock of the same moment, both in ms.
    pub fn new(id: JobId, record: &JobRecord, mod_revision: u64, now: Time, wall: u64) -> Job {
        let mut spec = record.spec.clone();
        spec.set_task_name_bytes(&id);
        let spec = Arc::new(spec);
        let age_ms = wall.saturating_sub(record.accepted_wall);
        let deadline = spec.deadline_s.map(|deadline_s| {
            let deadline_ms = (deadline_s * MS_PER_S).min(MAX_DEADLINE_MS) as u64;
            (now + deadline_ms).saturating_sub(age_ms)
        });
        Job {
            id,
            waiting: TaskSet::all(spec.tasks),
            chunk_tasks: record.chunk_tasks.max(1),
            spec,
            mod_revision,
            state: if record.depends_on.is_empty() { JobState::Live } else { JobState::Awaiting },
            accepted_wall: record.accepted_wall,
            eligible_at: now.saturating_sub(age_ms),
            accepted_tier: record.tier.clone(),
            tier: TierAssignment { tier: u8::MAX, ordered: false },
            deadline,
            deadlines: Deadlines::own_only(deadline),
            own_priority: record.spec.priority,
            cancelled_at: None,
            backing_off: BTreeMap::new(),
            failures: BTreeMap::new(),
            attempts: Attempts::default(),
            done: TaskSet::default(),
            chunk_revisions: BTreeMap::new(),
            dirty_chunks: BTreeMap::new(),
            commits_in_chunks: false,
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

    /// The only function that changes the state. A job returns to an earlier state only from [`JobState::Closing`],
    /// when the final record of a cancelled job was not committed. Returns whether the change was allowed.
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

    /// Whether tasks of it wait for a machine, rather than for another job.
    pub fn has_queued_tasks(&self) -> bool {
        !self.waiting.is_empty() && self.state != JobState::Awaiting
    }

    /// Whether any of its tasks is bound or done.
    pub fn has_begun(&self) -> bool {
        !self.attempts.is_empty() || !self.done.is_empty()
    }

    /// Whether it is cancelled, by its user or because a dependency was.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled_at.is_some()
    }

    /// Number of attempts that count against resources and quota ([`Attempt::occupies_resources`]).
    pub fn occupying_attempts(&self) -> usize {
        self.attempts.occupying()
    }

    /// Maximum number of attempts that occupy resources in a zone. Attempts on machines of unknown zone, for which
    /// `zone_of` returns none, count in every zone.
    pub fn max_attempts_in_zone<'a>(
        &self,
        zone_of: impl Fn(&MachineId) -> Option<&'a str>,
        zone: &str,
    ) -> u32 {
        let may_be_in_zone = |machine: &MachineId| zone_of(machine).is_none_or(|z| z == zone);
        let machines = self.attempts.occupying_by_machine();
        machines.filter(|(machine, _)| may_be_in_zone(machine)).map(|(_, attempts)| attempts).sum()
    }

    /// Requests the stop of a task's attempt, unless it has exited. Returns whether it was requested.
    pub fn request_stop(&mut self, task: u32) -> bool {
        let attempt = self.attempts.get_mut(&task).filter(|a| a.occupies_resources());
        let Some(mut attempt) = attempt else { return false };
        attempt.stop_requested = true;
        true
    }

    /// Numbers of tasks done and running.
    pub fn task_counts(&self) -> (u32, u32) {
        (self.done.len() as u32, self.attempts.counts().running as u32)
    }
}
