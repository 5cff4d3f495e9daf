//! By when a job has to be done for what needs it, and how urgent it is for that.

use crate::constants::{DOWNSTREAM_PROBABILITY, MAX_DEPENDENCY_DEPTH};
use crate::{DependencyGraph, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// How long something takes, by chance.
pub trait DurationDistribution: Clone {
    /// This, and then that.
    fn followed_by(&self, next: &Self) -> Self;
    /// The time within which it is over with that chance, ms.
    fn quantile(&self, chance: f64) -> f64;
}

/// What a job asks for itself: its deadline, its priority, and how long it takes from when it may begin.
#[derive(Debug, Clone)]
pub struct JobRequirements<P, S> {
    /// Its own deadline, ms of whatever clock the caller goes by.
    pub deadline: Option<u64>,
    /// Its own priority.
    pub priority: P,
    /// How long it takes, by chance.
    pub duration: S,
}

/// What follows for a job from those that need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectiveRequirements<P> {
    /// By when it has to be done for the rest to end in time; none: nothing that needs it has a deadline.
    pub effective_deadline: Option<u64>,
    /// The highest priority of what needs it, its own among them.
    pub priority: P,
}

/// What comes after a job on the way that leaves it least time: the deadline there, and how long all of it takes.
#[derive(Debug, Clone)]
struct DownstreamPath<P, S> {
    deadline_and_duration: Option<(u64, S)>,
    priority: P,
}

impl<P: Ord + Copy, S: DurationDistribution> DownstreamPath<P, S> {
    fn latest_end(&self) -> Option<u64> {
        self.deadline_and_duration
            .as_ref()
            .map(|(due, takes)| due.saturating_sub(takes.quantile(DOWNSTREAM_PROBABILITY) as u64))
    }

    /// The same for a job that takes so long itself. Where what is left is too short for all, each stage has its part
    /// of it: called overdue, a stage would be served after everybody else, and the rest could not but be late.
    fn latest_end_sharing_slack(&self, own: Option<&S>, now: u64) -> Option<u64> {
        let (end, after) = self.deadline_and_duration.as_ref()?;
        let own = own.map_or(0.0, |own| own.quantile(DOWNSTREAM_PROBABILITY));
        let part = own / (own + after.quantile(DOWNSTREAM_PROBABILITY)).max(1.0);
        let shared = now + (end.saturating_sub(now) as f64 * part) as u64;
        self.latest_end().map(|due| due.max(shared).min(*end))
    }
}

/// For each job that others wait for: by when it has to be done, by the run times of all that comes after it,
/// convolved along the chain, and how urgent it is. `now` is of the clock of the deadlines. A job of which `asked` knows nothing asks for nothing.
pub fn effective_requirements<P: Ord + Copy, S: DurationDistribution>(
    graph: &DependencyGraph,
    now: u64,
    asked: impl Fn(&JobId) -> Option<JobRequirements<P, S>>,
) -> BTreeMap<JobId, EffectiveRequirements<P>> {
    let mut known: BTreeMap<JobId, Option<DownstreamPath<P, S>>> = BTreeMap::new();
    for job in graph.unfinished_jobs_with_dependents() {
        downstream_path(graph, job, &asked, &mut known, &mut BTreeSet::new());
    }
    let needed = |(id, rest): (JobId, Option<DownstreamPath<P, S>>)| {
        let rest = rest.filter(|_| graph.waiting_dependents(&id).next().is_some())?;
        let own = asked(&id);
        let due = rest.latest_end_sharing_slack(own.as_ref().map(|own| &own.duration), now);
        Some((id, EffectiveRequirements { effective_deadline: due, priority: rest.priority }))
    };
    known.into_iter().filter_map(needed).collect()
}

fn downstream_path<P: Ord + Copy, S: DurationDistribution>(
    graph: &DependencyGraph,
    job: &JobId,
    asked: &impl Fn(&JobId) -> Option<JobRequirements<P, S>>,
    known: &mut BTreeMap<JobId, Option<DownstreamPath<P, S>>>,
    above: &mut BTreeSet<JobId>,
) -> Option<DownstreamPath<P, S>> {
    if let Some(found) = known.get(job) {
        return found.clone();
    }
    // A circle that a record claims ends here.
    if above.len() >= MAX_DEPENDENCY_DEPTH || !above.insert(job.clone()) {
        return None;
    }
    let mut found = asked(job)
        .map(|own| DownstreamPath { deadline_and_duration: None, priority: own.priority });
    for next in graph.waiting_dependents(job) {
        let Some(own) = asked(next) else { continue };
        let behind = downstream_path(graph, next, asked, known, above);
        let mut ways = vec![own.deadline.map(|due| (due, own.duration.clone()))];
        let further = behind.as_ref().and_then(|b| b.deadline_and_duration.as_ref());
        ways.push(further.map(|(due, takes)| (*due, own.duration.followed_by(takes))));
        let priority = behind.map_or(own.priority, |b| b.priority.max(own.priority));
        let it = found.get_or_insert(DownstreamPath { deadline_and_duration: None, priority });
        it.priority = it.priority.max(priority);
        for way in ways.into_iter().flatten() {
            let way = DownstreamPath { deadline_and_duration: Some(way), priority };
            if it.latest_end().is_none_or(|due| way.latest_end().is_some_and(|d| d < due)) {
                it.deadline_and_duration = way.deadline_and_duration;
            }
        }
    }
    above.remove(job);
    known.insert(job.clone(), found.clone());
    found
}
