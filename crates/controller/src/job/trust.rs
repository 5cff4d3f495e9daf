//! Whether a job or a machine is to blame for a failure, by evidence: a job that fails on several machines
//! and has never succeeded was probably submitted with a mistake; a machine on which several such jobs fail
//! that do succeed elsewhere is probably faulty.

use super::{Attempt, Job, Kind};
use crate::Time;
use crate::constants::*;

/// What is believed of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
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
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// Whether it is held to be mistaken.
    pub fn mistaken(&self) -> bool {
        matches!(self.trust, Trust::Mistaken { .. })
    }

    /// The one function that changes what is believed of a job. Once proven it stays so. Returns whether it
    /// changed.
    pub fn believe(&mut self, to: Trust) -> bool {
        let allowed = !matches!((self.trust, to), (Trust::Proven, _) | (_, Trust::New));
        let changed = allowed && self.trust != to;
        if changed {
            self.trust = to;
        }
        changed
    }

    /// A task of it has succeeded: what was held back for its failures waits again.
    pub fn succeeded(&mut self) {
        if self.believe(Trust::Proven) {
            let held = std::mem::take(&mut self.held);
            self.waiting.extend(held.into_keys());
        }
    }

    /// A task of it has failed on a machine by itself. True if that is the evidence that makes it mistaken.
    pub fn failed(&mut self, now: Time) -> bool {
        match self.trust {
            Trust::New if self.bad_machines.len() >= MISTAKEN_MACHINES => {
                let again = now + MISTAKEN_MS;
                self.believe(Trust::Mistaken { again, pause_ms: 2 * MISTAKEN_MS })
            }
            // One failure a try: what else was still running says nothing new.
            Trust::Mistaken { again, pause_ms } if now >= again => {
                let next = (pause_ms * 2).min(MISTAKEN_MOST_MS);
                self.believe(Trust::Mistaken { again: now + pause_ms, pause_ms: next });
                false
            }
            _ => false,
        }
    }

    /// Of a mistaken job only a few tasks may wait for a place at once, and none before its next try. The
    /// rest is held back, and neither takes room nor has machines rented.
    pub(super) fn ration(&mut self, now: Time) {
        let Trust::Mistaken { again, .. } = self.trust else { return };
        let busy = self.attempts.values().filter(|a| Attempt::occupies(a)).count();
        let most = match self.spec.kind {
            Kind::Gang => self.spec.tasks as usize,
            _ => MISTAKEN_TASKS,
        };
        let may = if now >= again { most.saturating_sub(busy) } else { 0 };
        while self.waiting.len() < may
            && let Some((task, _)) = self.held.pop_first()
        {
            self.waiting.insert(task);
        }
        while self.waiting.len() > may
            && let Some(task) = self.waiting.pop_last()
        {
            let count = self.failures.get(&task).copied().unwrap_or(0);
            self.held.insert(task, (again.max(now + MISTAKEN_MS), count));
        }
    }
}
