//! A leader's jobs that await others, and what becomes of them as those end.

use crate::{Fate, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// Where a job stands with those that it awaits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Standing {
    /// One of them is not done.
    Waits,
    /// All are done, the last at that time of day, ms: it may begin.
    Ready(u64),
    /// One of them is cancelled or called off: it never begins.
    CalledOff,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiter {
    standing: Standing,
    /// Those not known to be done.
    open: BTreeSet<JobId>,
    /// When the last of the others was done, ms.
    done_wall: u64,
}

impl Waiter {
    /// The one function that changes where a job stands. Both ends are final.
    fn advance(&mut self, to: Standing) -> bool {
        let allowed = self.standing == Standing::Waits && to != Standing::Waits;
        if allowed {
            self.standing = to;
        }
        allowed
    }
}

/// Jobs that await others, by both ends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Graph {
    waiters: BTreeMap<JobId, Waiter>,
    /// Who awaits a job that is not known to be done.
    after: BTreeMap<JobId, BTreeSet<JobId>>,
}

impl Graph {
    /// A job is known that awaits these. Known already, it stays as it is.
    pub fn add(&mut self, job: &JobId, awaits: &[JobId]) {
        if awaits.is_empty() || self.waiters.contains_key(job) {
            return;
        }
        let open: BTreeSet<JobId> = awaits.iter().cloned().collect();
        for awaited in &open {
            self.after.entry(awaited.clone()).or_default().insert(job.clone());
        }
        let waiter = Waiter { standing: Standing::Waits, open, done_wall: 0 };
        self.waiters.insert(job.clone(), waiter);
    }

    /// A job has come to its end. Gives back whose standing has changed by that, directly or through others.
    pub fn ended(&mut self, job: &JobId, fate: Fate) -> Vec<(JobId, Standing)> {
        match fate {
            Fate::Done(at_wall) => self.done(job, at_wall),
            Fate::CalledOff => self.called_off(job),
        }
    }

    fn done(&mut self, job: &JobId, at_wall: u64) -> Vec<(JobId, Standing)> {
        let mut changed = Vec::new();
        for id in self.after.remove(job).unwrap_or_default() {
            let Some(waiter) = self.waiters.get_mut(&id) else { continue };
            waiter.open.remove(job);
            waiter.done_wall = waiter.done_wall.max(at_wall);
            let ready = Standing::Ready(waiter.done_wall);
            if waiter.open.is_empty() && waiter.advance(ready) {
                changed.push((id, ready));
            }
        }
        changed
    }

    fn called_off(&mut self, job: &JobId) -> Vec<(JobId, Standing)> {
        let mut changed = Vec::new();
        let mut next = vec![job.clone()];
        while let Some(off) = next.pop() {
            for id in self.after.get(&off).into_iter().flatten() {
                if let Some(waiter) = self.waiters.get_mut(id)
                    && waiter.advance(Standing::CalledOff)
                {
                    changed.push((id.clone(), Standing::CalledOff));
                    next.push(id.clone());
                }
            }
        }
        changed
    }

    /// A job is over and leaves: it awaits nobody any more. Those that await it are told by [`Graph::ended`].
    pub fn forget(&mut self, job: &JobId) {
        let Some(waiter) = self.waiters.remove(job) else { return };
        for awaited in waiter.open {
            if let Some(after) = self.after.get_mut(&awaited) {
                after.remove(job);
                if after.is_empty() {
                    self.after.remove(&awaited);
                }
            }
        }
    }

    /// Where a job stands; none: it awaits nobody.
    pub fn standing(&self, job: &str) -> Option<Standing> {
        self.waiters.get(job).map(|w| w.standing)
    }

    /// Those that a job awaits and that are not known to be done.
    pub fn open(&self, job: &str) -> impl Iterator<Item = &JobId> {
        self.waiters.get(job).into_iter().flat_map(|w| &w.open)
    }

    /// Those that await a job which is not known to be done, and may still begin.
    pub fn after(&self, job: &str) -> impl Iterator<Item = &JobId> {
        let waits = |id: &&JobId| self.standing(id) == Some(Standing::Waits);
        self.after.get(job).into_iter().flatten().filter(waits)
    }

    /// Jobs that others wait for, whether or not anything else is known of them.
    pub fn awaited(&self) -> impl Iterator<Item = &JobId> {
        self.after.keys().filter(|job| self.after(job).next().is_some())
    }

    /// Whether no job awaits another.
    pub fn is_empty(&self) -> bool {
        self.after.is_empty()
    }
}
