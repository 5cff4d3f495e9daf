//! Whether a job or a machine is to blame for a failure, by evidence: a job that fails on several machines
//! and has never succeeded was probably submitted with a mistake; a machine on which several such jobs fail
//! that do succeed elsewhere is probably faulty.

use super::{Attempt, Job, JobKind};
use crate::Time;
use crate::constants::{
    JOB_AT_FAULT_MACHINES, JOB_AT_FAULT_RETRY_MAX_MS, JOB_AT_FAULT_RETRY_MS, JOB_AT_FAULT_TASKS,
};

/// What is believed of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAttribution {
    /// Nothing yet.
    New,
    /// It has failed on several machines and never succeeded: it is tried again after a pause, since the
    /// evidence may be wrong.
    Mistaken {
        /// When it is tried again.
        again: Time,
        /// The next pause, ms.
        pause_ms: u64,
    },
    /// A task of it has succeeded: what fails now is not the job's fault.
    Proven,
}

impl Job {
    /// What is believed of it.
    pub fn failure_attribution(&self) -> FailureAttribution {
        self.failure_attribution
    }

    /// Whether it is held to be mistaken.
    pub fn is_job_at_fault(&self) -> bool {
        matches!(self.failure_attribution, FailureAttribution::Mistaken { .. })
    }

    /// The one function that changes what is believed of a job. Once proven it stays so. Returns whether it
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

    /// A task of it has succeeded: what was held back for its failures waits again.
    pub fn succeeded(&mut self) {
        if self.set_failure_attribution(FailureAttribution::Proven) {
            let held = std::mem::take(&mut self.backing_off);
            self.waiting.extend(held.into_keys());
        }
    }

    /// A task of it has failed on a machine by itself. True if that is the evidence that makes it mistaken.
    pub fn failed(&mut self, now: Time) -> bool {
        match self.failure_attribution {
            FailureAttribution::New if self.bad_machines.len() >= JOB_AT_FAULT_MACHINES => {
                let again = now + JOB_AT_FAULT_RETRY_MS;
                self.set_failure_attribution(FailureAttribution::Mistaken {
                    again,
                    pause_ms: 2 * JOB_AT_FAULT_RETRY_MS,
                })
            }
            // One failure a try: what else was still running says nothing new.
            FailureAttribution::Mistaken { again, pause_ms } if now >= again => {
                let next = (pause_ms * 2).min(JOB_AT_FAULT_RETRY_MAX_MS);
                self.set_failure_attribution(FailureAttribution::Mistaken {
                    again: now + pause_ms,
                    pause_ms: next,
                });
                false
            }
            _ => false,
        }
    }

    /// Of a mistaken job only a few tasks may wait for a place at once, and none before its next try. The
    /// rest is held back, and neither takes room nor has machines rented.
    pub(super) fn limit_suspect_job(&mut self, now: Time) {
        let FailureAttribution::Mistaken { again, .. } = self.failure_attribution else { return };
        let busy = self.attempts.values().filter(|a| Attempt::occupies_resources(a)).count();
        let most = match self.spec.kind {
            JobKind::Gang => self.spec.tasks as usize,
            _ => JOB_AT_FAULT_TASKS,
        };
        let may = if now >= again { most.saturating_sub(busy) } else { 0 };
        while self.waiting.len() < may
            && let Some((task, _)) = self.backing_off.pop_first()
        {
            self.waiting.insert(task);
        }
        while self.waiting.len() > may
            && let Some(task) = self.waiting.pop_last()
        {
            let count = self.failures.get(&task).copied().unwrap_or(0);
            self.backing_off.insert(task, (again.max(now + JOB_AT_FAULT_RETRY_MS), count));
        }
    }
}
