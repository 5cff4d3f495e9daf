//! The leader's jobs with dependencies, and what becomes of them as those end. Owns [`DependencyGraph`]; the caller
//! reports jobs and their committed ends, and acts on the changes of state that come back.

use crate::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// State of a job by its dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DependencyState {
    /// At least one is not known to be done.
    Waiting,
    /// All are done, the last at that time of day, ms: the job may begin.
    Ready(u64),
    /// One is cancelled, by its user or by dependency: the job never begins.
    CancelledByDependency,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DependentJob {
    state: DependencyState,
    /// Dependencies that are not known to be done.
    unfinished: BTreeSet<JobId>,
    /// When the last of the other dependencies was done, time of day in ms.
    last_done_wall: u64,
}

impl DependentJob {
    /// The one function that changes the state; returns whether it did. `Ready` and `CancelledByDependency` are final.
    fn advance_state(&mut self, to: DependencyState) -> bool {
        let allowed = self.state == DependencyState::Waiting && to != DependencyState::Waiting;
        if allowed {
            self.state = to;
        }
        allowed
    }
}

/// Jobs with dependencies, by both ends of each edge.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DependencyGraph {
    dependents: BTreeMap<JobId, DependentJob>,
    /// The dependents of each job that is not known to be done.
    dependents_of: BTreeMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds a job with its dependencies. A job that is known already stays as it is.
    pub fn add_job(&mut self, job: &JobId, depends_on: &[JobId]) {
        if depends_on.is_empty() || self.dependents.contains_key(job) {
            return;
        }
        let unfinished: BTreeSet<JobId> = depends_on.iter().cloned().collect();
        for dependency in &unfinished {
            self.dependents_of.entry(dependency.clone()).or_default().insert(job.clone());
        }
        let dependent =
            DependentJob { state: DependencyState::Waiting, unfinished, last_done_wall: 0 };
        self.dependents.insert(job.clone(), dependent);
    }

    /// A job has ended. Returns the jobs whose state changed by that, directly or through others, with the new state.
    pub fn on_job_ended(
        &mut self,
        job: &JobId,
        outcome: JobOutcome,
    ) -> Vec<(JobId, DependencyState)> {
        match outcome {
            JobOutcome::Done(at_wall) => self.on_job_done(job, at_wall),
            JobOutcome::Cancelled => self.cancel_dependents(job),
        }
    }

    fn on_job_done(&mut self, job: &JobId, at_wall: u64) -> Vec<(JobId, DependencyState)> {
        let mut changed = Vec::new();
        for id in self.dependents_of.remove(job).unwrap_or_default() {
            let Some(dependent) = self.dependents.get_mut(&id) else { continue };
            dependent.unfinished.remove(job);
            dependent.last_done_wall = dependent.last_done_wall.max(at_wall);
            let ready = DependencyState::Ready(dependent.last_done_wall);
            if dependent.unfinished.is_empty() && dependent.advance_state(ready) {
                changed.push((id, ready));
            }
        }
        changed
    }

    fn cancel_dependents(&mut self, job: &JobId) -> Vec<(JobId, DependencyState)> {
        let mut changed = Vec::new();
        let mut pending = vec![job.clone()];
        while let Some(cancelled) = pending.pop() {
            for id in self.dependents_of.get(&cancelled).into_iter().flatten() {
                if let Some(dependent) = self.dependents.get_mut(id)
                    && dependent.advance_state(DependencyState::CancelledByDependency)
                {
                    changed.push((id.clone(), DependencyState::CancelledByDependency));
                    pending.push(id.clone());
                }
            }
        }
        changed
    }

    /// Removes a job that is over, as a dependent. Its own dependents are updated by
    /// [`on_job_ended`](DependencyGraph::on_job_ended).
    pub fn remove_job(&mut self, job: &JobId) {
        let Some(removed) = self.dependents.remove(job) else { return };
        for dependency in removed.unfinished {
            let Some(dependents) = self.dependents_of.get_mut(&dependency) else { continue };
            dependents.remove(job);
            if dependents.is_empty() {
                self.dependents_of.remove(&dependency);
            }
        }
    }

    /// State of a job; none: it has no dependencies, or is not known.
    pub fn state_of(&self, job: &str) -> Option<DependencyState> {
        self.dependents.get(job).map(|dependent| dependent.state)
    }

    /// Dependencies of a job that are not known to be done.
    pub fn unfinished_dependencies(&self, job: &str) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flat_map(|dependent| &dependent.unfinished)
    }

    /// Dependents of a job that still wait; none if the job is known to be done.
    pub fn waiting_dependents(&self, job: &str) -> impl Iterator<Item = &JobId> {
        let is_waiting = |id: &&JobId| self.state_of(id) == Some(DependencyState::Waiting);
        self.dependents_of.get(job).into_iter().flatten().filter(is_waiting)
    }

    /// Jobs that others wait for, whether or not they are known here themselves.
    pub fn unfinished_jobs_with_dependents(&self) -> impl Iterator<Item = &JobId> {
        self.dependents_of.keys().filter(|job| self.waiting_dependents(job).next().is_some())
    }

    /// Whether no job depends on one that is not known to be done.
    pub fn is_empty(&self) -> bool {
        self.dependents_of.is_empty()
    }
}
