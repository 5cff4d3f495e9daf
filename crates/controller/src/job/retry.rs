//! Retries of tasks: a task waits again at once when its attempt was lost, and after a backoff when it failed.

use super::{Attempt, Job, JobKind, MachineId};
use crate::Time;
use crate::constants::{MAX_BAD_MACHINES, MAX_TASK_RETRY_BACKOFF_MS, TASK_RETRY_BACKOFF_MS};

/// Maximum number of times that a backoff is doubled.
const MAX_DOUBLINGS: u32 = 8;

impl Job {
    /// Removes and returns a task's attempt that is confirmed gone or was never started. The task waits again unless it
    /// is done. None: the task has no attempt.
    pub fn release_attempt(&mut self, task: u32, now: Time) -> Option<Attempt> {
        let attempt = self.attempts.remove(&task)?;
        if !self.done.contains(&task) {
            self.waiting.insert(task);
        }
        if self.spec.kind == JobKind::Gang && attempt.had_image() {
            self.vacated_machines.insert(attempt.machine().clone(), now);
        }
        // If the binding log never held a binding of the job, a chunk that was never written needs no update.
        if !self.commits_in_chunks || self.is_chunk_stored(self.chunk_of(task)) {
            self.mark_chunk_dirty(task, now);
        }
        Some(attempt)
    }

    /// Moves a waiting task into backoff after a failure, for twice as long as after its previous one.
    pub fn back_off(&mut self, task: u32, now: Time) {
        if self.waiting.remove(&task) {
            let failures = self.failures.entry(task).or_insert(0);
            *failures += 1;
            let backoff_ms = TASK_RETRY_BACKOFF_MS << (*failures - 1).min(MAX_DOUBLINGS);
            self.backing_off.insert(task, now + backoff_ms.min(MAX_TASK_RETRY_BACKOFF_MS));
        }
    }

    /// Moves tasks whose backoff has ended to those that wait.
    pub fn end_backoffs(&mut self, now: Time) {
        if self.backing_off.is_empty() {
            return;
        }
        let ended: Vec<u32> = self
            .backing_off
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            self.backing_off.remove(&task);
            self.waiting.insert(task);
        }
        self.limit_tasks_of_faulty_job(now);
    }

    /// Records a machine on which a task of this job failed: at most [`MAX_BAD_MACHINES`], the oldest forgotten first.
    pub fn record_bad_machine(&mut self, machine: &MachineId) {
        if !self.bad_machines.contains(machine) {
            if self.bad_machines.len() >= MAX_BAD_MACHINES {
                self.bad_machines.pop_front();
            }
            self.bad_machines.push_back(machine.clone());
        }
    }
}
