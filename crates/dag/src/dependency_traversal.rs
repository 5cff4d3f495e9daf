//! Determines whether one job is cancelled by dependency, on the controller that received the request: a breadth-first
//! traversal of the job's transitive dependencies. It does no I/O: it returns the id of the next job, and the caller
//! reads that job and passes its state.

use crate::constants::MAX_TRAVERSED_JOBS;
use crate::{JobId, JobOutcome};
use std::collections::{BTreeSet, VecDeque};

/// State of a visited job, as read by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VisitedJob {
    /// It has ended, or its user has cancelled it and its end is not recorded yet.
    Ended(JobOutcome),
    /// It has not ended. Contains its dependencies.
    Live(Vec<JobId>),
    /// It was never accepted.
    NeverAccepted,
}

/// Result of a traversal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DependencyVerdict {
    /// No upstream job is cancelled.
    NotCancelled,
    /// An upstream job is cancelled.
    CancelledByDependency,
    /// The job depends directly on this job, which was never accepted.
    UnknownDependency(JobId),
}

/// A traversal in progress. Pass the state of [`next_job`](DependencyTraversal::next_job) to
/// [`on_job_state`](DependencyTraversal::on_job_state) until there is no next job, then read the
/// [`verdict`](DependencyTraversal::verdict).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DependencyTraversal {
    pending: VecDeque<JobId>,
    visited: BTreeSet<JobId>,
    /// Number of direct dependencies still to be visited. All of them are visited even after a cancelled job was found,
    /// since each must have been accepted.
    direct_remaining: usize,
    verdict: Option<DependencyVerdict>,
}

impl DependencyTraversal {
    /// A traversal for a job with these direct dependencies.
    pub fn new(depends_on: &[JobId]) -> DependencyTraversal {
        let mut traversal = DependencyTraversal {
            pending: VecDeque::new(),
            visited: BTreeSet::new(),
            direct_remaining: 0,
            verdict: None,
        };
        traversal.enqueue(depends_on);
        traversal.direct_remaining = traversal.pending.len();
        traversal
    }

    fn enqueue(&mut self, depends_on: &[JobId]) {
        for id in depends_on {
            // Each job is visited once, even if it is on several paths or a corrupt record forms a cycle.
            if self.visited.len() < MAX_TRAVERSED_JOBS && self.visited.insert(id.clone()) {
                self.pending.push_back(id.clone());
            }
        }
    }

    /// The job to visit next; `None` once the verdict is known.
    pub fn next_job(&self) -> Option<&JobId> {
        self.pending.front().filter(|_| self.direct_remaining > 0 || self.verdict.is_none())
    }

    /// Handles the state of the next job.
    pub fn on_job_state(&mut self, state: &VisitedJob) {
        let Some(id) = self.pending.pop_front() else { return };
        let is_direct = self.direct_remaining > 0;
        self.direct_remaining = self.direct_remaining.saturating_sub(1);
        match state {
            VisitedJob::Ended(JobOutcome::Done(_)) => {}
            VisitedJob::Ended(JobOutcome::Cancelled) => {
                self.verdict.get_or_insert(DependencyVerdict::CancelledByDependency);
            }
            VisitedJob::Live(depends_on) => self.enqueue(depends_on),
            VisitedJob::NeverAccepted if is_direct => {
                self.verdict = Some(DependencyVerdict::UnknownDependency(id))
            }
            // Every upstream job of an accepted job was accepted. If one is not found, it is not known to be cancelled.
            VisitedJob::NeverAccepted => {}
        }
    }

    /// The verdict; `None` while jobs are still to be visited.
    pub fn verdict(&self) -> Option<DependencyVerdict> {
        match self.next_job() {
            Some(_) => None,
            None => Some(self.verdict.clone().unwrap_or(DependencyVerdict::NotCancelled)),
        }
    }
}
