//! When a job is due and when it should have begun: deadlines by their origin, the age that waiting is measured from, and
//! the promised start.

use super::{Job, JobKind, JobState, Priority};
use crate::Time;
use crate::constants::{AGING_MS, AGING_STARTED_TASKS_DIVISOR, GANG_AGING_MS};
use std::sync::Arc;

/// Deadlines of a job by origin, in steady time. The earliest counts.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadlines {
    /// Of the job's own specification.
    own: Option<Time>,
    /// Of the arrival (recurring deadline) that it belongs to.
    occurrence: Option<Time>,
    /// Of the jobs that depend on it.
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
    /// Sets or clears the deadline that an arrival gives the job. It never moves the job's own to later.
    pub fn set_occurrence_deadline(&mut self, due: Option<Time>) {
        self.deadlines.occurrence = due;
        self.deadline = self.deadlines.earliest();
    }

    /// Sets what the jobs that depend on this one need of it: a deadline or none, and a priority, which raises its own
    /// but never lowers it.
    pub fn set_dependent_requirements(&mut self, due: Option<Time>, priority: Priority) {
        self.deadlines.dependents = due;
        self.deadline = self.deadlines.earliest();
        let priority = priority.max(self.own_priority);
        if self.spec.priority != priority {
            Arc::make_mut(&mut self.spec).priority = priority;
        }
    }

    /// The deadline of its own specification, whatever others the job has.
    pub fn own_deadline(&self) -> Option<Time> {
        self.deadlines.own
    }

    /// All its dependencies are done, the last at `finished_wall` (time of day, ms): from then on it counts as waiting,
    /// and its tasks may be placed. `wall` is the time of day now.
    pub fn make_eligible(&mut self, finished_wall: u64, now: Time, wall: u64) {
        let finished_at = now.saturating_sub(wall.saturating_sub(finished_wall));
        self.eligible_at = self.eligible_at.max(finished_at);
        self.advance(JobState::Live, now);
    }

    /// Whether its promised start has passed: a gang or a service has nothing placed, or an array less than the promised
    /// part. The age is durable, so a change of leader does not postpone it.
    pub fn is_overdue_to_start(&self, now: Time) -> bool {
        let placed = (self.attempts.len() + self.done.len()) as u32;
        let promised_tasks = match self.spec.kind {
            JobKind::Array => self.spec.tasks.div_ceil(AGING_STARTED_TASKS_DIVISOR),
            JobKind::Gang | JobKind::Service => 1,
        };
        let promise_ms = match self.spec.kind {
            JobKind::Gang => GANG_AGING_MS,
            JobKind::Array | JobKind::Service => AGING_MS,
        };
        placed < promised_tasks && now >= self.eligible_at + promise_ms
    }
}
