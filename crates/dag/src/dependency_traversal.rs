//! What becomes of one job by the jobs before it, worked out by the controller that is asked, from reads of its own:
//! a breadth-first traversal of the dependencies. Does no reads itself: it names the next job, and the caller passes
//! its state.

use crate::constants::MAX_TRAVERSED_JOBS;
use crate::{JobId, JobOutcome};
use std::collections::{BTreeSet, VecDeque};

/// State of a job as a read shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VisitedJob {
    /// It is over, or cancelled by its user and about to be over.
    Ended(JobOutcome),
    /// It is not over; these are its own dependencies.
    Live(Vec<JobId>),
    /// It was never accepted.
    NeverAccepted,
}

/// What follows for the job that the traversal is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DependencyVerdict {
    /// No job before it is cancelled.
    NotCancelled,
    /// A job before it is cancelled.
    CancelledByDependency,
    /// It names this job, which was never accepted.
    UnknownDependency(JobId),
}

/// A traversal under way: pass the state of [`next_job`](DependencyTraversal::next_job) until there is none, then ask for
/// the [`verdict`](DependencyTraversal::verdict).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DependencyTraversal {
    pending: VecDeque<JobId>,
    visited: BTreeSet<JobId>,
    /// Number of the job's own dependencies still to be visited: each must have been accepted, whatever became of the
    /// others, so they are all visited even after one was found cancelled.
    direct_remaining: usize,
    verdict: Option<DependencyVerdict>,
}

impl DependencyTraversal {
    /// A traversal for a job with these dependencies.
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
            // A job on several paths, and one that a record claims to depend on itself, is visited once.
            if self.visited.len() < MAX_TRAVERSED_JOBS && self.visited.insert(id.clone()) {
                self.pending.push_back(id.clone());
            }
        }
    }

    /// The job to visit next; none: the verdict is known.
    pub fn next_job(&self) -> Option<&JobId> {
        self.pending.front().filter(|_| self.direct_remaining > 0 || self.verdict.is_none())
    }

    /// Visits the next job, which is in this state.
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
            // Jobs before an accepted job were accepted: whatever hides this one, it is not known to be cancelled.
            VisitedJob::NeverAccepted => {}
        }
    }

    /// The verdict; none while a job is still to be visited.
    pub fn verdict(&self) -> Option<DependencyVerdict> {
        match self.next_job() {
            Some(_) => None,
            None => Some(self.verdict.clone().unwrap_or(DependencyVerdict::NotCancelled)),
        }
    }
}
