//! The attempts bound to a machine, by job and task. One machine may have many hundreds of tasks of one job.

use crate::job::JobId;
use std::collections::BTreeMap;

/// Numbers of the attempts that are bound to a machine, by job and task.
#[derive(Debug, Clone, Default)]
pub struct MachineTasks {
    /// No job's entry is empty.
    by_job: BTreeMap<JobId, BTreeMap<u32, u64>>,
}

impl MachineTasks {
    /// Whether no attempt is bound to the machine.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.by_job.values().map(BTreeMap::len).sum()
    }

    /// Number of a task's attempt.
    pub fn get(&self, job: &JobId, task: u32) -> Option<u64> {
        self.by_job.get(job)?.get(&task).copied()
    }

    /// Sets the number of a task's attempt.
    pub fn insert(&mut self, job: &JobId, task: u32, attempt: u64) {
        match self.by_job.get_mut(job) {
            Some(tasks) => {
                tasks.insert(task, attempt);
            }
            None => {
                self.by_job.insert(job.clone(), BTreeMap::from([(task, attempt)]));
            }
        }
    }

    /// Removes a task's attempt.
    pub fn remove(&mut self, job: &JobId, task: u32) {
        let Some(tasks) = self.by_job.get_mut(job) else { return };
        tasks.remove(&task);
        if tasks.is_empty() {
            self.by_job.remove(job);
        }
    }

    /// All tasks with the numbers of their attempts.
    pub fn iter(&self) -> impl Iterator<Item = ((&JobId, &u32), &u64)> {
        self.by_job.iter().flat_map(|(job, tasks)| {
            tasks.iter().map(move |(task, attempt)| ((job, task), attempt))
        })
    }

    /// All tasks.
    pub fn keys(&self) -> impl Iterator<Item = (&JobId, &u32)> {
        self.iter().map(|(task, _)| task)
    }

    /// The tasks on the machine by job.
    pub fn by_job(&self) -> impl Iterator<Item = (&JobId, impl Iterator<Item = &u32>)> {
        self.by_job.iter().map(|(job, tasks)| (job, tasks.keys()))
    }

    /// The jobs that have tasks on the machine.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.by_job.keys()
    }
}
