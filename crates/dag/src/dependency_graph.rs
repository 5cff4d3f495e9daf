//! The leader's [`DependencyGraph`]: jobs with dependencies, and their states as the dependencies end. The caller
//! reports jobs and committed outcomes, and acts on the returned state changes.

use crate::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// State of a job according to its dependencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DependencyState {
    /// At least one dependency is not known to be done.
    Waiting,
    /// All dependencies are done, so the job may start. Contains the time of day at which the last one ended, ms.
    Ready(u64),
    /// At least one dependency is cancelled, by its user or by dependency, so the job never starts.
    CancelledByDependency,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DependentJob {
    state: DependencyState,
    /// Dependencies that are not known to be done.
    unfinished: BTreeSet<JobId>,
    /// Latest end of the other dependencies, time of day in ms.
    last_done_wall: u64,
}

impl DependentJob {
    /// Changes the state, and returns whether it did; nothing else changes it. `Ready` and `CancelledByDependency` are
    /// final.
    fn advance_state(&mut self, to: DependencyState) -> bool {
        let allowed = self.state == DependencyState::Waiting && to != DependencyState::Waiting;
        if allowed {
            self.state = to;
        }
        allowed
    }
}

/// Jobs with dependencies, indexed by both ends of each edge.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DependencyGraph {
    dependents: BTreeMap<JobId, DependentJob>,
    /// Dependents of each job that is not known to be done.
    dependents_of: BTreeMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds a job with its dependencies. Has no effect without dependencies, or if the job is in the graph already.
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

    /// Handles the end of a job. Returns all jobs whose state it changed, directly or transitively, with the new
    /// states.
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

    /// Removes a finished job as a dependent. Its own dependents are updated by
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

    /// State of a job; `None` if it has no dependencies or is not in the graph.
    pub fn state_of(&self, job: &str) -> Option<DependencyState> {
        self.dependents.get(job).map(|dependent| dependent.state)
    }

    /// Dependencies of a job that are not known to be done.
    pub fn unfinished_dependencies(&self, job: &str) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flat_map(|dependent| &dependent.unfinished)
    }

    /// Dependents of a job that are still waiting; empty if the job is known to be done.
    pub fn waiting_dependents(&self, job: &str) -> impl Iterator<Item = &JobId> {
        let is_waiting = |id: &&JobId| self.state_of(id) == Some(DependencyState::Waiting);
        self.dependents_of.get(job).into_iter().flatten().filter(is_waiting)
    }

    /// Jobs with waiting dependents, including jobs that are not in the graph as dependents themselves.
    pub fn unfinished_jobs_with_dependents(&self) -> impl Iterator<Item = &JobId> {
        self.dependents_of.keys().filter(|job| self.waiting_dependents(job).next().is_some())
    }

    /// Whether no job in the graph has an unfinished dependency.
    pub fn is_empty(&self) -> bool {
        self.dependents_of.is_empty()
    }
}
