//! Completion times of what is ahead of a placement target. Equal ones share one probability mass function.

use crate::completion_time::Pmf;
use crate::job::JobId;
use rustc_hash::FxHashMap;

/// Index of a completion time in [`CompletionTimes`].
pub(super) type CompletionId = usize;

/// Completion times with equal keys are equal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum CompletionKey {
    /// Free at a time: machine type and time step.
    FreeAt(usize, u64),
    /// Behind a running task: machine type, job, and the time step in which it started.
    AfterRunningTask(usize, JobId, u64),
    /// Behind a task that fetches its image: machine type, job, and the time step in which it was bound.
    AfterFetchingTask(usize, JobId, u64),
    /// Behind another completion time and one more queued task of a job.
    AfterQueuedTask(CompletionId, JobId),
}

/// The completion times of one round, each computed once.
#[derive(Debug, Default)]
pub(super) struct CompletionTimes {
    ids: FxHashMap<CompletionKey, CompletionId>,
    distributions: Vec<Pmf>,
}

impl CompletionTimes {
    /// The id for a key. The distribution of a new key is computed from those that exist.
    pub fn id_or_compute(
        &mut self,
        key: CompletionKey,
        compute: impl FnOnce(&[Pmf]) -> Pmf,
    ) -> CompletionId {
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        let distribution = compute(&self.distributions);
        self.distributions.push(distribution);
        self.ids.insert(key, self.distributions.len() - 1);
        self.distributions.len() - 1
    }

    /// The distribution of a completion time, in ms of monotonic time.
    pub fn get(&self, id: CompletionId) -> &Pmf {
        &self.distributions[id]
    }
}
