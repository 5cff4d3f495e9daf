//! When what is before a place ends. Places that are alike share one mass function.

use crate::chance::Pmf;
use crate::job::JobId;
use rustc_hash::FxHashMap;

/// Number of an end in [`Ends`].
pub(super) type EndId = usize;

/// What makes two ends alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Alike {
    /// Free at a time, in steps of the round's time unit.
    At(usize, u64),
    /// Behind a running task: machine type, job, and in which step of time it began to run.
    Runs(usize, JobId, u64),
    /// Behind a task that fetches its image: machine type, job, and when it was bound.
    Fetches(usize, JobId, u64),
    /// Behind that end and one more task of a job.
    After(EndId, JobId),
}

/// The ends of one round, each computed once.
#[derive(Debug, Default)]
pub(super) struct Ends {
    known: FxHashMap<Alike, EndId>,
    all: Vec<Pmf>,
}

impl Ends {
    /// The number of an end, computed if it is new.
    pub fn number(&mut self, alike: Alike, compute: impl FnOnce(&[Pmf]) -> Pmf) -> EndId {
        if let Some(id) = self.known.get(&alike) {
            return *id;
        }
        let fresh = compute(&self.all);
        self.all.push(fresh);
        self.known.insert(alike, self.all.len() - 1);
        self.all.len() - 1
    }

    /// The mass function of an end.
    pub fn get(&self, id: EndId) -> &Pmf {
        &self.all[id]
    }
}
