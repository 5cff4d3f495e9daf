//! What becomes of one job by what comes before it, worked out by whoever is asked, from reads of its own.

use crate::constants::MAX_TRAVERSED_JOBS;
use crate::{JobId, JobOutcome};
use std::collections::{BTreeSet, VecDeque};

/// What a read has shown of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VisitedJob {
    /// It is over, or cancelled and about to be.
    Ended(JobOutcome),
    /// It is not over, and awaits these itself.
    Live(Vec<JobId>),
    /// Nobody has ever accepted it.
    NeverAccepted,
}

/// What follows for the job that was asked about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DependencyVerdict {
    /// Nothing before it is cancelled.
    NotCancelled,
    /// Something before it is.
    CancelledByDependency,
    /// It names a job that was never accepted.
    UnknownDependency(JobId),
}

/// One question under way: whose state is to be told next, until something follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DependencyTraversal {
    pending: VecDeque<JobId>,
    visited: BTreeSet<JobId>,
    /// Of those named by the job itself, how many are still to be told: each must have been accepted, whatever has
    /// become of the others.
    direct_remaining: usize,
    verdict: Option<DependencyVerdict>,
}

impl DependencyTraversal {
    /// A question about a job that awaits these.
    pub fn new(awaits: &[JobId]) -> DependencyTraversal {
        let (next, seen) = (VecDeque::new(), BTreeSet::new());
        let mut walk = DependencyTraversal {
            pending: next,
            visited: seen,
            direct_remaining: 0,
            verdict: None,
        };
        walk.enqueue(awaits);
        walk.direct_remaining = walk.pending.len();
        walk
    }

    fn enqueue(&mut self, awaits: &[JobId]) {
        for id in awaits {
            // Whatever comes twice, and whatever a record claims to come before itself, is looked at once.
            if self.visited.len() < MAX_TRAVERSED_JOBS && self.visited.insert(id.clone()) {
                self.pending.push_back(id.clone());
            }
        }
    }

    /// Whose state is to be told.
    pub fn next_job(&self) -> Option<&JobId> {
        self.pending.front().filter(|_| self.direct_remaining > 0 || self.verdict.is_none())
    }

    /// Tells the state of the one that was next.
    pub fn on_job_state(&mut self, seen: &VisitedJob) {
        let Some(id) = self.pending.pop_front() else { return };
        let named = self.direct_remaining > 0;
        self.direct_remaining = self.direct_remaining.saturating_sub(1);
        match seen {
            VisitedJob::Ended(JobOutcome::Done(_)) => {}
            VisitedJob::Ended(JobOutcome::Cancelled) => {
                self.verdict.get_or_insert(DependencyVerdict::CancelledByDependency);
            }
            VisitedJob::Live(awaits) => self.enqueue(awaits),
            VisitedJob::NeverAccepted if named => {
                self.verdict = Some(DependencyVerdict::UnknownDependency(id))
            }
            // What comes before an accepted job was accepted: whatever hides it, it is not known to be cancelled.
            VisitedJob::NeverAccepted => {}
        }
    }

    /// What follows, once it does.
    pub fn verdict(&self) -> Option<DependencyVerdict> {
        match self.next_job() {
            Some(_) => None,
            None => Some(self.verdict.clone().unwrap_or(DependencyVerdict::NotCancelled)),
        }
    }
}
