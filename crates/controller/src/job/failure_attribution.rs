//! Whether a job is at fault for its tasks' failures. A job that fails on several machines and has never succeeded was
//! probably submitted with a mistake: its retries are limited. Whether a machine is at fault is decided in
//! `cluster_state`, from the failures of jobs that are not at fault.

use super::{Job, JobKind};
use crate::Time;
use crate::constants::{
    FAULTY_JOB_BACKOFF_MS, FAULTY_JOB_MACHINES, MAX_FAULTY_JOB_BACKOFF_MS, MAX_FAULTY_JOB_TASKS,
};

/// What the evidence so far says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAttribution {
    /// No evidence either way.
    New,
    /// It has failed on several machines and never succeeded. It is retried after a pause, since the evidence may be
    /// wrong.
    JobAtFault {
        /// When it is next retried.
        retry_at: Time,
        /// The pause after that retry, ms.
        next_backoff_ms: u64,
    },
    /// A task of it has succeeded: later failures are not the job's fault. Final.
    Proven,
}

impl Job {
    /// What the evidence so far says of it.
    pub fn failure_attribution(&self) -> FailureAttribution {
        self.failure_attribution
    }

    /// Whether it is assumed to be at fault for its failures.
    pub fn is_job_at_fault(&self) -> bool {
        matches!(self.failure_attribution, FailureAttribution::JobAtFault { .. })
    }

    /// The one function that changes the attribution. Once proven it stays so. Returns whether it changed.
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

    /// A task of it has succeeded: tasks held back for its earlier failures wait again.
    pub fn on_task_succeeded(&mut self) {
        if self.set_failure_attribution(FailureAttribution::Proven) {
            let held = std::mem::take(&mut self.backing_off);
            self.waiting.extend(held.into_keys());
        }
    }

    /// A task of it has failed by itself, on a machine noted before ([`Job::note_bad_machine`]). Returns whether this
    /// failure is the one by which the job is found to be at fault.
    pub fn on_task_failed(&mut self, now: Time) -> bool {
        match self.failure_attribution {
            FailureAttribution::New if self.bad_machines.len() >= FAULTY_JOB_MACHINES => {
                let retry_at = now + FAULTY_JOB_BACKOFF_MS;
                self.set_failure_attribution(FailureAttribution::JobAtFault {
                    retry_at,
                    next_backoff_ms: 2 * FAULTY_JOB_BACKOFF_MS,
                })
            }
            // One failure counts for each retry: other tasks that were still running say nothing new.
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

    /// Limits how many tasks of a job at fault wait at once: a few, and none before its next retry. The others are held
    /// back, so that they neither take resources nor have machines rented.
    pub(super) fn limit_suspect_job(&mut self, now: Time) {
        let FailureAttribution::JobAtFault { retry_at, .. } = self.failure_attribution else {
            return;
        };
        let tried_at_once = match self.spec.kind {
            JobKind::Gang => self.spec.tasks as usize,
            JobKind::Array | JobKind::Service => MAX_FAULTY_JOB_TASKS,
        };
        let may_wait = if now >= retry_at {
            tried_at_once.saturating_sub(self.occupying_attempts())
        } else {
            0
        };
        while self.waiting.len() < may_wait
            && let Some((task, _)) = self.backing_off.pop_first()
        {
            self.waiting.insert(task);
        }
        while self.waiting.len() > may_wait
            && let Some(task) = self.waiting.pop_last()
        {
            self.backing_off.insert(task, retry_at.max(now + FAULTY_JOB_BACKOFF_MS));
        }
    }
}
