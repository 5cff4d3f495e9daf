//! What becomes of one job by what comes before it, worked out by whoever is asked, from reads of its own.

use crate::constants::*;
use crate::{Fate, JobId};
use std::collections::{BTreeSet, VecDeque};

/// What a read has shown of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// It is over, or cancelled and about to be.
    Ended(Fate),
    /// It is not over, and awaits these itself.
    Live(Vec<JobId>),
    /// Nobody has ever accepted it.
    Never,
}

/// What follows for the job that was asked about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Nothing before it is cancelled.
    Stands,
    /// Something before it is.
    CalledOff,
    /// It names a job that was never accepted.
    Never(JobId),
}

/// One question under way: whose state is to be told next, until something follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Walk {
    next: VecDeque<JobId>,
    seen: BTreeSet<JobId>,
    /// Of those named by the job itself, how many are still to be told: each must have been accepted, whatever has
    /// become of the others.
    named: usize,
    verdict: Option<Verdict>,
}

impl Walk {
    /// A question about a job that awaits these.
    pub fn new(awaits: &[JobId]) -> Walk {
        let (next, seen) = (VecDeque::new(), BTreeSet::new());
        let mut walk = Walk { next, seen, named: 0, verdict: None };
        walk.go_to(awaits);
        walk.named = walk.next.len();
        walk
    }

    fn go_to(&mut self, awaits: &[JobId]) {
        for id in awaits {
            // Whatever comes twice, and whatever a record claims to come before itself, is looked at once.
            if self.seen.len() < WALK_MOST && self.seen.insert(id.clone()) {
                self.next.push_back(id.clone());
            }
        }
    }

    /// Whose state is to be told.
    pub fn next(&self) -> Option<&JobId> {
        self.next.front().filter(|_| self.named > 0 || self.verdict.is_none())
    }

    /// Tells the state of the one that was next.
    pub fn tell(&mut self, seen: &Seen) {
        let Some(id) = self.next.pop_front() else { return };
        let named = self.named > 0;
        self.named = self.named.saturating_sub(1);
        match seen {
            Seen::Ended(Fate::Done(_)) => {}
            Seen::Ended(Fate::CalledOff) => {
                self.verdict.get_or_insert(Verdict::CalledOff);
            }
            Seen::Live(awaits) => self.go_to(awaits),
            Seen::Never if named => self.verdict = Some(Verdict::Never(id)),
            // What comes before an accepted job was accepted: whatever hides it, it is not known to be cancelled.
            Seen::Never => {}
        }
    }

    /// What follows, once it does.
    pub fn verdict(&self) -> Option<Verdict> {
        match self.next() {
            Some(_) => None,
            None => Some(self.verdict.clone().unwrap_or(Verdict::Stands)),
        }
    }
}
