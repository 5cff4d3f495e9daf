//! Effective deadlines and priorities: by when a job has to be done for the jobs that depend on it, and how urgent it is
//! for their sake. Computed backward along the dependencies, from run-time distributions. Pure.

use crate::constants::{DOWNSTREAM_PROBABILITY, MAX_DEPENDENCY_DEPTH};
use crate::{DependencyGraph, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// Distribution of how long something takes.
pub trait DurationDistribution: Clone {
    /// The distribution of this and then `next` (convolution).
    fn followed_by(&self, next: &Self) -> Self;
    /// The time within which it is over with this probability, ms.
    fn quantile(&self, probability: f64) -> f64;
}

/// What a job requires by itself.
#[derive(Debug, Clone)]
pub struct JobRequirements<P, S> {
    /// Its own deadline, ms of whatever clock the caller uses throughout.
    pub deadline: Option<u64>,
    /// Its own priority.
    pub priority: P,
    /// How long it takes from when it may begin.
    pub duration: S,
}

/// What the jobs that depend on a job require of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectiveRequirements<P> {
    /// By when it has to be done for the others to meet their deadlines; none: nothing that depends on it has one.
    pub effective_deadline: Option<u64>,
    /// The highest priority of what depends on it, its own included.
    pub priority: P,
}

/// A deadline, and how long everything takes that has to be done until then.
#[derive(Debug, Clone)]
struct DeadlineAhead<S> {
    deadline: u64,
    duration: S,
}

impl<S: DurationDistribution> DeadlineAhead<S> {
    /// When the job before must be done for the rest to meet the deadline.
    fn latest_end(&self) -> u64 {
        self.deadline.saturating_sub(self.duration.quantile(DOWNSTREAM_PROBABILITY) as u64)
    }

    /// The same for a job that itself takes `own`. Where too little time is left for all, it is divided in proportion to
    /// the durations: were the first job simply overdue, it would be served after everybody else, and the rest could
    /// only be late.
    fn latest_end_sharing_slack(&self, own: Option<&S>, now: u64) -> u64 {
        let own_ms = own.map_or(0.0, |own| own.quantile(DOWNSTREAM_PROBABILITY));
        let share = own_ms / (own_ms + self.duration.quantile(DOWNSTREAM_PROBABILITY)).max(1.0);
        let shared = now + (self.deadline.saturating_sub(now) as f64 * share) as u64;
        self.latest_end().max(shared).min(self.deadline)
    }
}

/// What comes after a job, on the path that leaves it the least time.
#[derive(Debug, Clone)]
struct DownstreamPath<P, S> {
    /// None: no path ends in a deadline.
    tightest: Option<DeadlineAhead<S>>,
    priority: P,
}

impl<P: Ord + Copy, S: DurationDistribution> DownstreamPath<P, S> {
    fn tighten(&mut self, path: DeadlineAhead<S>) {
        let is_tighter = match &self.tightest {
            Some(tightest) => path.latest_end() < tightest.latest_end(),
            None => true,
        };
        if is_tighter {
            self.tightest = Some(path);
        }
    }
}

/// For each job with waiting dependents, what those require of it. Deadlines are propagated backward by the run times of
/// the jobs in between, convolved along each path. `now` is of the clock of the deadlines. A job of which `required`
/// knows nothing requires nothing.
pub fn effective_requirements<P: Ord + Copy, S: DurationDistribution>(
    graph: &DependencyGraph,
    now: u64,
    required: impl Fn(&JobId) -> Option<JobRequirements<P, S>>,
) -> BTreeMap<JobId, EffectiveRequirements<P>> {
    let mut search = DownstreamSearch {
        graph,
        required: &required,
        known: BTreeMap::new(),
        ancestors: BTreeSet::new(),
    };
    for job in graph.unfinished_jobs_with_dependents() {
        search.path_after(job);
    }
    let effective = |(id, path): (JobId, Option<DownstreamPath<P, S>>)| {
        let path = path.filter(|_| graph.waiting_dependents(&id).next().is_some())?;
        let own = required(&id);
        let own_duration = own.as_ref().map(|own| &own.duration);
        let effective_deadline =
            path.tightest.map(|tightest| tightest.latest_end_sharing_slack(own_duration, now));
        Some((id, EffectiveRequirements { effective_deadline, priority: path.priority }))
    };
    search.known.into_iter().filter_map(effective).collect()
}

/// A depth-first search from jobs to what depends on them. Each job is worked out once.
struct DownstreamSearch<'a, P, S, F> {
    graph: &'a DependencyGraph,
    required: &'a F,
    /// What was worked out; none: the job is not known and nothing known depends on it.
    known: BTreeMap<JobId, Option<DownstreamPath<P, S>>>,
    /// The jobs on the path that is being searched.
    ancestors: BTreeSet<JobId>,
}

impl<P, S, F> DownstreamSearch<'_, P, S, F>
where
    P: Ord + Copy,
    S: DurationDistribution,
    F: Fn(&JobId) -> Option<JobRequirements<P, S>>,
{
    fn path_after(&mut self, job: &JobId) -> Option<DownstreamPath<P, S>> {
        if let Some(path) = self.known.get(job) {
            return path.clone();
        }
        // A cycle that a record claims ends here.
        if self.ancestors.len() >= MAX_DEPENDENCY_DEPTH || !self.ancestors.insert(job.clone()) {
            return None;
        }
        let mut path = (self.required)(job)
            .map(|own| DownstreamPath { tightest: None, priority: own.priority });
        let graph = self.graph;
        for dependent in graph.waiting_dependents(job) {
            let Some(own) = (self.required)(dependent) else { continue };
            let after = self.path_after(dependent);
            let priority = after.as_ref().map_or(own.priority, |p| p.priority.max(own.priority));
            let path = path.get_or_insert(DownstreamPath { tightest: None, priority });
            path.priority = path.priority.max(priority);
            if let Some(deadline) = own.deadline {
                path.tighten(DeadlineAhead { deadline, duration: own.duration.clone() });
            }
            if let Some(ahead) = after.and_then(|path| path.tightest) {
                let duration = own.duration.followed_by(&ahead.duration);
                path.tighten(DeadlineAhead { deadline: ahead.deadline, duration });
            }
        }
        self.ancestors.remove(job);
        self.known.insert(job.clone(), path.clone());
        path
    }
}
