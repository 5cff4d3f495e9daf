//! Effective deadlines and priorities: by when a job must be done for the jobs that depend on it, and the priority that
//! it inherits from them. Computed backward along the dependencies from run-time distributions.

use crate::constants::{DOWNSTREAM_PROBABILITY, MAX_DEPENDENCY_DEPTH};
use crate::{DependencyGraph, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// Probability distribution of a duration.
pub trait DurationDistribution: Clone {
    /// Distribution of the sum of this duration and `next` (convolution).
    fn followed_by(&self, next: &Self) -> Self;
    /// Quantile of the duration, ms: it ends within this time with the given probability.
    fn quantile(&self, probability: f64) -> f64;
}

/// A job's own deadline, priority and duration.
#[derive(Debug, Clone)]
pub struct JobRequirements<P, S> {
    /// Its own deadline, ms. All deadlines must be of the same clock.
    pub deadline: Option<u64>,
    /// Its own priority.
    pub priority: P,
    /// Time from when it may start until it is done.
    pub duration: S,
}

/// Deadline and priority that a job inherits from its dependents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectiveRequirements<P> {
    /// Time by which it must be done for downstream jobs to meet their deadlines, ms; `None` if none of them has one.
    pub effective_deadline: Option<u64>,
    /// The highest priority among the job itself and its downstream jobs.
    pub priority: P,
}

/// A downstream deadline, and the duration of all jobs that must be done before it.
#[derive(Debug, Clone)]
struct DeadlineAhead<S> {
    deadline: u64,
    duration: S,
}

impl<S: DurationDistribution> DeadlineAhead<S> {
    /// Time by which the upstream job must be done for the downstream jobs to meet the deadline.
    fn latest_end(&self) -> u64 {
        self.deadline.saturating_sub(self.duration.quantile(DOWNSTREAM_PROBABILITY) as u64)
    }

    /// Like [`latest_end`](Self::latest_end), for an upstream job with the duration `own`. If too little time is left
    /// for all jobs, it is divided in proportion to their durations. Otherwise the upstream job would count as overdue
    /// and be served last, which would make the downstream jobs late for certain.
    fn latest_end_sharing_slack(&self, own: Option<&S>, now: u64) -> u64 {
        let own_ms = own.map_or(0.0, |own| own.quantile(DOWNSTREAM_PROBABILITY));
        let share = own_ms / (own_ms + self.duration.quantile(DOWNSTREAM_PROBABILITY)).max(1.0);
        let shared = now + (self.deadline.saturating_sub(now) as f64 * share) as u64;
        self.latest_end().max(shared).min(self.deadline)
    }
}

/// The downstream path that leaves a job the least time.
#[derive(Debug, Clone)]
struct DownstreamPath<P, S> {
    /// `None` if no downstream job has a deadline.
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

/// Computes the effective requirements of each job with waiting dependents. Deadlines are propagated backward by the
/// run times of the jobs in between, convolved along each path. `now` must be of the same clock as the deadlines. Jobs
/// for which `required` returns `None` are ignored.
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

/// A depth-first search from jobs to their dependents, with memoisation.
struct DownstreamSearch<'a, P, S, F> {
    graph: &'a DependencyGraph,
    required: &'a F,
    /// Memoised results; `None` if neither the job nor a dependent of it is known.
    known: BTreeMap<JobId, Option<DownstreamPath<P, S>>>,
    /// Jobs on the current search path.
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
        // Bounds the depth, and ends the search in cycles formed by corrupt records.
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
