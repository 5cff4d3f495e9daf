//! By when a job has to be done for what needs it, and how urgent it is for that.

use crate::constants::*;
use crate::{Graph, JobId};
use std::collections::{BTreeMap, BTreeSet};

/// How long something takes, by chance.
pub trait Span: Clone {
    /// This, and then that.
    fn then(&self, next: &Self) -> Self;
    /// The time within which it is over with that chance, ms.
    fn within(&self, chance: f64) -> f64;
}

/// What a job asks for itself: its deadline, its priority, and how long it takes from when it may begin.
#[derive(Debug, Clone)]
pub struct Asked<P, S> {
    /// Its own deadline, ms of whatever clock the caller goes by.
    pub due: Option<u64>,
    /// Its own priority.
    pub priority: P,
    /// How long it takes, by chance.
    pub takes: S,
}

/// What follows for a job from those that need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Needed<P> {
    /// By when it has to be done for the rest to end in time; none: nothing that needs it has a deadline.
    pub due: Option<u64>,
    /// The highest priority of what needs it, its own among them.
    pub priority: P,
}

/// What comes after a job on the way that leaves it least time: the deadline there, and how long all of it takes.
#[derive(Debug, Clone)]
struct Rest<P, S> {
    tail: Option<(u64, S)>,
    priority: P,
}

impl<P: Ord + Copy, S: Span> Rest<P, S> {
    fn due(&self) -> Option<u64> {
        self.tail.as_ref().map(|(due, takes)| due.saturating_sub(takes.within(REST_CHANCE) as u64))
    }

    /// The same for a job that takes so long itself. Where what is left is too short for all, each stage has its part
    /// of it: called overdue, a stage would be served after everybody else, and the rest could not but be late.
    fn due_for(&self, own: Option<&S>, now: u64) -> Option<u64> {
        let (end, after) = self.tail.as_ref()?;
        let own = own.map_or(0.0, |own| own.within(REST_CHANCE));
        let part = own / (own + after.within(REST_CHANCE)).max(1.0);
        let shared = now + (end.saturating_sub(now) as f64 * part) as u64;
        self.due().map(|due| due.max(shared).min(*end))
    }
}

/// For each job that others wait for: by when it has to be done, by the run times of all that comes after it,
/// convolved along the chain, and how urgent it is. `now` is of the clock of the deadlines. A job of which `asked` knows nothing asks for nothing.
pub fn backward<P: Ord + Copy, S: Span>(
    graph: &Graph,
    now: u64,
    asked: impl Fn(&JobId) -> Option<Asked<P, S>>,
) -> BTreeMap<JobId, Needed<P>> {
    let mut known: BTreeMap<JobId, Option<Rest<P, S>>> = BTreeMap::new();
    for job in graph.awaited() {
        rest(graph, job, &asked, &mut known, &mut BTreeSet::new());
    }
    let needed = |(id, rest): (JobId, Option<Rest<P, S>>)| {
        let rest = rest.filter(|_| graph.after(&id).next().is_some())?;
        let own = asked(&id);
        let due = rest.due_for(own.as_ref().map(|own| &own.takes), now);
        Some((id, Needed { due, priority: rest.priority }))
    };
    known.into_iter().filter_map(needed).collect()
}

fn rest<P: Ord + Copy, S: Span>(
    graph: &Graph,
    job: &JobId,
    asked: &impl Fn(&JobId) -> Option<Asked<P, S>>,
    known: &mut BTreeMap<JobId, Option<Rest<P, S>>>,
    above: &mut BTreeSet<JobId>,
) -> Option<Rest<P, S>> {
    if let Some(found) = known.get(job) {
        return found.clone();
    }
    // A circle that a record claims ends here.
    if above.len() >= STAGES_MOST || !above.insert(job.clone()) {
        return None;
    }
    let mut found = asked(job).map(|own| Rest { tail: None, priority: own.priority });
    for next in graph.after(job) {
        let Some(own) = asked(next) else { continue };
        let behind = rest(graph, next, asked, known, above);
        let mut ways = vec![own.due.map(|due| (due, own.takes.clone()))];
        let further = behind.as_ref().and_then(|b| b.tail.as_ref());
        ways.push(further.map(|(due, takes)| (*due, own.takes.then(takes))));
        let priority = behind.map_or(own.priority, |b| b.priority.max(own.priority));
        let it = found.get_or_insert(Rest { tail: None, priority });
        it.priority = it.priority.max(priority);
        for way in ways.into_iter().flatten() {
            let way = Rest { tail: Some(way), priority };
            if it.due().is_none_or(|due| way.due().is_some_and(|d| d < due)) {
                it.tail = way.tail;
            }
        }
    }
    above.remove(job);
    known.insert(job.clone(), found.clone());
    found
}
