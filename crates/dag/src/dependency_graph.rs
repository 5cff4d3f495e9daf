//! A leader's jobs that await others, and what becomes of them as those end.

use crate::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// Where a job stands with those that it awaits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DependencyState {
    /// One of them is not done.
    Waiting,
    /// All are done, the last at that time of day, ms: it may begin.
    Ready(u64),
    /// One of them is cancelled or called off: it never begins.
    CancelledByDependency,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DependentJob {
    state: DependencyState,
    /// Those not known to be done.
    unfinished: BTreeSet<JobId>,
    /// When the last of the others was done, ms.
    last_done_wall: u64,
}

impl DependentJob {
    /// The one function that changes where a job stands. Both ends are final.
    fn advance_state(&mut self, to: DependencyState) -> bool {
        let allowed = self.state == DependencyState::Waiting && to != DependencyState::Waiting;
        if allowed {
            self.state = to;
        }
        allowed
    }
}

/// Jobs that await others, by both ends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DependencyGraph {
    dependents: BTreeMap<JobId, DependentJob>,
    /// Who awaits a job that is not known to be done.
    dependents_of: BTreeMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// A job is known that awaits these. Known already, it stays as it is.
    pub fn add_job(&mut self, job: &JobId, awaits: &[JobId]) {
        if awaits.is_empty() || self.dependents.contains_key(job) {
            return;
        }
        let open: BTreeSet<JobId> = awaits.iter().cloned().collect();
        for awaited in &open {
            self.dependents_of.entry(awaited.clone()).or_default().insert(job.clone());
        }
        let waiter =
            DependentJob { state: DependencyState::Waiting, unfinished: open, last_done_wall: 0 };
        self.dependents.insert(job.clone(), waiter);
    }

    /// A job has come to its end. Gives back whose standing has changed by that, directly or through others.
    pub fn on_job_ended(&mut self, job: &JobId, fate: JobOutcome) -> Vec<(JobId, DependencyState)> {
        match fate {
            JobOutcome::Done(at_wall) => self.on_job_done(job, at_wall),
            JobOutcome::Cancelled => self.cancel_dependents(job),
        }
    }

    fn on_job_done(&mut self, job: &JobId, at_wall: u64) -> Vec<(JobId, DependencyState)> {
        let mut changed = Vec::new();
        for id in self.dependents_of.remove(job).unwrap_or_default() {
            let Some(waiter) = self.dependents.get_mut(&id) else { continue };
            waiter.unfinished.remove(job);
            waiter.last_done_wall = waiter.last_done_wall.max(at_wall);
            let ready = DependencyState::Ready(waiter.last_done_wall);
            if waiter.unfinished.is_empty() && waiter.advance_state(ready) {
                changed.push((id, ready));
            }
        }
        changed
    }

    fn cancel_dependents(&mut self, job: &JobId) -> Vec<(JobId, DependencyState)> {
        let mut changed = Vec::new();
        let mut next = vec![job.clone()];
        while let Some(off) = next.pop() {
            for id in self.dependents_of.get(&off).into_iter().flatten() {
                if let Some(waiter) = self.dependents.get_mut(id)
                    && waiter.advance_state(DependencyState::CancelledByDependency)
                {
                    changed.push((id.clone(), DependencyState::CancelledByDependency));
                    next.push(id.clone());
                }
            }
        }
        changed
    }

    /// A job is over and leaves: it awaits nobody any more. Those that await it are told by [`Graph::ended`].
    pub fn remove_job(&mut self, job: &JobId) {
        let Some(waiter) = self.dependents.remove(job) else { return };
        for awaited in waiter.unfinished {
            if let Some(after) = self.dependents_of.get_mut(&awaited) {
                after.remove(job);
                if after.is_empty() {
                    self.dependents_of.remove(&awaited);
                }
            }
        }
    }

    /// Where a job stands; none: it awaits nobody.
    pub fn state_of(&self, job: &str) -> Option<DependencyState> {
        self.dependents.get(job).map(|w| w.state)
    }

    /// Those that a job awaits and that are not known to be done.
    pub fn unfinished_dependencies(&self, job: &str) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flat_map(|w| &w.unfinished)
    }

    /// Those that await a job which is not known to be done, and may still begin.
    pub fn waiting_dependents(&self, job: &str) -> impl Iterator<Item = &JobId> {
        let waits = |id: &&JobId| self.state_of(id) == Some(DependencyState::Waiting);
        self.dependents_of.get(job).into_iter().flatten().filter(waits)
    }

    /// Jobs that others wait for, whether or not anything else is known of them.
    pub fn unfinished_jobs_with_dependents(&self) -> impl Iterator<Item = &JobId> {
        self.dependents_of.keys().filter(|job| self.waiting_dependents(job).next().is_some())
    }

    /// Whether no job awaits another.
    pub fn is_empty(&self) -> bool {
        self.dependents_of.is_empty()
    }
}
