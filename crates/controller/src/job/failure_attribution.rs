//! Attribution of task failures to the job. A job that fails on several machines without any success was probably
//! submitted with a mistake: its retries are limited. Whether a machine is at fault is decided in `cluster_state`, from
//! the failures of jobs that are not at fault.

use super::{Job, JobKind};
use crate::Time;
use crate::constants::{
    FAULTY_JOB_BACKOFF_MS, FAULTY_JOB_MACHINES, MAX_FAULTY_JOB_BACKOFF_MS, MAX_FAULTY_JOB_TASKS,
};

/// Whether a job is held at fault for its tasks' failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAttribution {
    /// No evidence either way.
    New,
    /// It has failed on several machines and never succeeded. It is retried after a backoff, since the attribution may
    /// be wrong.
    JobAtFault {
        /// When it is next retried.
        retry_at: Time,
        /// The backoff after that retry, ms.
        next_backoff_ms: u64,
    },
    /// One of its tasks has succeeded: later failures are not the job's fault. Final.
    Proven,
}

impl Job {
    /// Whether it is held at fault for its tasks' failures.
    pub fn failure_attribution(&self) -> FailureAttribution {
        self.failure_attribution
    }

    /// Whether it is held at fault ([`FailureAttribution::JobAtFault`]).
    pub fn is_job_at_fault(&self) -> bool {
        matches!(self.failure_attribution, FailureAttribution::JobAtFault { .. })
    }

    /// The only function that changes the attribution. [`FailureAttribution::Proven`] is final. Returns whether it
    /// changed.
    pub fn set_failure_attribution(&mut self, to: FailureAttribution) -> bool {
        let allowed = !matches!(
            (self.failure_attribution, to),
            (FailureAttribution::Proven, _) | (_, FailureAttribution::New)
        );
        let changed = allowed && self.failure_attribution != to;
        if changed {
            self.failure_attribution = to;
        }
        changed
    }

    /// One of its tasks has succeeded: tasks in backoff for earlier failures wait again at once.
    pub fn on_task_succeeded(&mut self) {
        if self.set_failure_attribution(FailureAttribution::Proven) {
            let backing_off = std::mem::take(&mut self.backing_off);
            self.waiting.extend(backing_off.into_keys());
        }
    }

    /// One of its tasks has failed by itself, on a machine already recorded ([`Job::record_bad_machine`]). Returns
    /// whether this failure is the one after which the job is held at fault.
    pub fn on_task_failed(&mut self, now: Time) -> bool {
        match self.failure_attribution {
            FailureAttribution::New if self.bad_machines.len() >= FAULTY_JOB_MACHINES => {
                let retry_at = now + FAULTY_JOB_BACKOFF_MS;
                self.set_failure_attribution(FailureAttribution::JobAtFault {
                    retry_at,
                    next_backoff_ms: 2 * FAULTY_JOB_BACKOFF_MS,
                })
            }
            // One failure counts for each retry: those of other tasks that were still running add no evidence.
            FailureAttribution::JobAtFault { retry_at, next_backoff_ms } if now >= retry_at => {
                self.set_failure_attribution(FailureAttribution::JobAtFault {
                    retry_at: now + next_backoff_ms,
                    next_backoff_ms: (next_backoff_ms * 2).min(MAX_FAULTY_JOB_BACKOFF_MS),
                });
                false
            }
            _ => false,
        }
    }

    /// Limits how many tasks of a job at fault wait at once: a few, and none before its next retry. The others stay in
    /// backoff, so that they neither take resources nor cause machines to be rented.
    pub(super) fn limit_tasks_of_faulty_job(&mut self, now: Time) {
        let FailureAttribution::JobAtFault { retry_at, .. } = self.failure_attribution else {
            return;
        };
        let max_concurrent = match self.spec.kind {
            JobKind::Gang => self.spec.tasks as usize,
            JobKind::Array | JobKind::Service => MAX_FAULTY_JOB_TASKS,
        };
        let max_waiting = if now >= retry_at {
            max_concurrent.saturating_sub(self.occupying_attempts())
        } else {
            0
        };
        while self.waiting.len() < max_waiting
            && let Some((task, _)) = self.backing_off.pop_first()
        {
            self.waiting.insert(task);
        }
        while self.waiting.len() > max_waiting
            && let Some(task) = self.waiting.pop_last()
        {
            self.backing_off.insert(task, retry_at.max(now + FAULTY_JOB_BACKOFF_MS));
        }
    }
}
