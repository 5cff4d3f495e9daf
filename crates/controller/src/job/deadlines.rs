//! Deadlines of a job by their origin, the time from which its waiting is counted, and aging: whether it has waited so
//! long that it precedes others.

use super::{Job, JobKind, JobState, Priority};
use crate::Time;
use crate::constants::{AGING_MS, AGING_STARTED_TASKS_DIVISOR, GANG_AGING_MS};
use std::sync::Arc;

/// Deadlines of a job by origin, in monotonic time. The earliest applies.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadlines {
    /// From the job's own specification.
    own: Option<Time>,
    /// From the occurrence of a recurring deadline that it belongs to.
    occurrence: Option<Time>,
    /// From the jobs that depend on it.
    dependents: Option<Time>,
}

impl Deadlines {
    pub(super) fn own_only(own: Option<Time>) -> Deadlines {
        Deadlines { own, occurrence: None, dependents: None }
    }

    fn earliest(&self) -> Option<Time> {
        [self.own, self.occurrence, self.dependents].into_iter().flatten().min()
    }
}

impl Job {
    /// Sets or clears the deadline from the occurrence that the job belongs to. The job's own deadline still applies if
    /// it is earlier.
    pub fn set_occurrence_deadline(&mut self, due: Option<Time>) {
        self.deadlines.occurrence = due;
        self.deadline = self.deadlines.earliest();
    }

    /// Sets the deadline, if any, and the priority that the jobs depending on this one require of it. The priority
    /// raises the job's own but never lowers it.
    pub fn set_dependent_requirements(&mut self, due: Option<Time>, priority: Priority) {
        self.deadlines.dependents = due;
        self.deadline = self.deadlines.earliest();
        let priority = priority.max(self.own_priority);
        if self.spec.priority != priority {
            Arc::make_mut(&mut self.spec).priority = priority;
        }
    }

    /// The deadline from its own specification, in monotonic time.
    pub fn own_deadline(&self) -> Option<Time> {
        self.deadlines.own
    }

    /// All its dependencies are done, the last at `finished_wall` (wall clock, ms): from then on it counts as waiting,
    /// and its tasks may be placed. `wall` is the wall clock now.
    pub fn make_eligible(&mut self, finished_wall: u64, now: Time, wall: u64) {
        let finished_at = now.saturating_sub(wall.saturating_sub(finished_wall));
        self.eligible_at = self.eligible_at.max(finished_at);
        self.advance(JobState::Live, now);
    }

    /// Whether it has waited for longer than the aging time with too little placed: no task of a gang or service, or
    /// less than the required part of an array. The time that it counts from is durable, so a failover does not
    /// postpone this.
    pub fn is_overdue_to_start(&self, now: Time) -> bool {
        let placed = (self.attempts.len() + self.done.len()) as u32;
        let required_tasks = match self.spec.kind {
            JobKind::Array => self.spec.tasks.div_ceil(AGING_STARTED_TASKS_DIVISOR),
            JobKind::Gang | JobKind::Service => 1,
        };
        let aging_ms = match self.spec.kind {
            JobKind::Gang => GANG_AGING_MS,
            JobKind::Array | JobKind::Service => AGING_MS,
        };
        placed < required_tasks && now >= self.eligible_at + aging_ms
    }
}
