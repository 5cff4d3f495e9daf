//! When what is before a place ends. Places that are alike share one mass function.

use crate::completion_time::Pmf;
use crate::job::JobId;
use rustc_hash::FxHashMap;

/// Number of an end in [`Ends`].
pub(super) type CompletionId = usize;

/// What makes two ends alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum CompletionKey {
    /// Free at a time, in steps of the round's time unit.
    FreeAt(usize, u64),
    /// Behind a running task: machine type, job, and in which step of time it began to run.
    AfterRunningTask(usize, JobId, u64),
    /// Behind a task that fetches its image: machine type, job, and when it was bound.
    AfterFetchingTask(usize, JobId, u64),
    /// Behind that end and one more task of a job.
    AfterQueuedTask(CompletionId, JobId),
}

/// The ends of one round, each computed once.
#[derive(Debug, Default)]
pub(super) struct CompletionTimes {
    ids: FxHashMap<CompletionKey, CompletionId>,
    distributions: Vec<Pmf>,
}

impl CompletionTimes {
    /// The number of an end, computed if it is new.
    pub fn id_or_compute(
        &mut self,
        alike: CompletionKey,
        compute: impl FnOnce(&[Pmf]) -> Pmf,
    ) -> CompletionId {
        if let Some(id) = self.ids.get(&alike) {
            return *id;
        }
        let fresh = compute(&self.distributions);
        self.distributions.push(fresh);
        self.ids.insert(alike, self.distributions.len() - 1);
        self.distributions.len() - 1
    }

    /// The mass function of an end.
    pub fn get(&self, id: CompletionId) -> &Pmf {
        &self.distributions[id]
    }
}
