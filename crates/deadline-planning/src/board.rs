//! All arrivals that are open: which job serves which step, and what will be late.

use crate::arrival::{Arrival, Phase, Stage, Step};
use crate::backward::{backward, quantile};
use crate::calendar::Calendar;
use crate::constants::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;
use swiftsail_tiers::Facts;

/// What is known of a job that may serve a step.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// What it asked for.
    pub facts: Facts,
    /// Time of day of its acceptance, ms, as its record has it.
    pub accepted_wall: u64,
    /// Time of day at which it will be done at the stated chance, ms; none: it cannot be told.
    pub ends_wall: Option<u64>,
    /// Why it is not further, in words.
    pub waits_for: String,
}

/// What was noticed of an arrival, for the log and for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Its key.
    pub key: String,
    /// Where it stands now.
    pub phase: Phase,
    /// The step and the cause, if it will be late.
    pub why: Option<(String, String)>,
}

/// How long a step took, the latest last, ms.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Took {
    /// See `Took`.
    #[serde(rename = "t", default)]
    pub took: Vec<u64>,
}

impl Versioned for Took {
    const FORM: u32 = 1;
}

/// The arrivals.
#[derive(Debug, Clone, Default)]
pub struct Board {
    arrivals: BTreeMap<String, Arrival>,
    /// How long each step of each chain took, by `chain/step`.
    took: BTreeMap<String, Took>,
    changed: BTreeSet<String>,
    learnt: BTreeSet<String>,
}

impl Board {
    /// Takes over an arrival's record.
    pub fn restore(&mut self, key: &str, arrival: Arrival) {
        self.arrivals.insert(key.into(), arrival);
    }

    /// Takes over how long a step took.
    pub fn restore_took(&mut self, step: &str, took: Took) {
        self.took.insert(step.into(), took);
    }

    /// Jobs that serve steps and are not known to be over.
    pub fn serving(&self) -> impl Iterator<Item = &str> {
        let steps = self.arrivals.values().flat_map(|a| &a.steps);
        steps.filter(|s| s.stage() == Stage::Submitted).filter_map(|s| s.job.as_deref())
    }

    /// All arrivals.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Arrival)> {
        self.arrivals.iter()
    }

    /// The deadline that an arrival gives a job: time of day, ms.
    pub fn deadline_of(&self, job: &str) -> Option<u64> {
        let open = self.arrivals.values().filter(|a| a.phase() < Phase::Missed);
        let steps = open.flat_map(|a| &a.steps).filter(|s| s.stage() == Stage::Submitted);
        steps.filter(|s| s.job.as_deref() == Some(job)).map(|s| s.deadline).min()
    }

    /// How long a step of a chain takes at the stated chance, ms.
    fn takes(&self, chain: &str, step: &str) -> u64 {
        let took = self.took.get(&format!("{chain}/{step}"));
        took.and_then(|t| quantile(&t.took, CHANCE)).unwrap_or(UNKNOWN_MS)
    }

    /// Foresees what the calendar names: each arrival once, under a key that depends on it alone. Of a calendar that
    /// has changed, what is no longer in it goes if nobody has begun on it.
    pub fn foresee(&mut self, calendar: &Calendar, now_wall: u64) {
        let mut named: BTreeSet<String> = BTreeSet::new();
        for (n, entry) in calendar.plan().arrivals.iter().enumerate() {
            for at in calendar.times(n, now_wall, now_wall + HORIZON_MS) {
                let key = Arrival::key(&entry.name, at);
                named.insert(key.clone());
                if self.arrivals.contains_key(&key) || self.arrivals.len() >= OPEN_MOST {
                    continue;
                }
                if let Some(arrival) = self.planned(calendar, &entry.name, &entry.chain, at) {
                    self.changed.insert(key.clone());
                    self.arrivals.insert(key, arrival);
                }
            }
        }
        let forgotten = |(key, a): (&String, &Arrival)| {
            let kept = named.contains(key) || a.at <= now_wall || a.name.starts_with('+');
            (!kept && a.steps.iter().all(|s| s.stage() == Stage::Awaited)).then(|| key.clone())
        };
        for key in self.arrivals.iter().filter_map(forgotten).collect::<Vec<_>>() {
            self.arrivals.remove(&key);
            self.changed.insert(key);
        }
    }

    /// An arrival with its steps planned backward.
    fn planned(&self, calendar: &Calendar, name: &str, chain: &str, at: u64) -> Option<Arrival> {
        let line = calendar.chain(chain)?;
        let takes: Vec<u64> = line.steps.iter().map(|s| self.takes(chain, &s.name)).collect();
        let times = backward(line, calendar.order_of(chain), at, &takes);
        let step = |(s, t): (&crate::calendar::StepLine, &crate::backward::Times)| {
            Step::new(&s.name, t.deadline, t.start)
        };
        let steps = line.steps.iter().zip(&times).map(step).collect();
        Some(Arrival::new(name, chain, at, steps))
    }

    /// One arrival by an operator's command. False: no such chain, or too many.
    pub fn add(&mut self, calendar: &Calendar, name: &str, chain: &str, at: u64) -> Option<String> {
        // A mark that no entry's name can have: the calendar does not take it back.
        let name = format!("+{name}");
        let key = Arrival::key(&name, at);
        if self.arrivals.len() >= OPEN_MOST && !self.arrivals.contains_key(&key) {
            return None;
        }
        let arrival = self.planned(calendar, &name, chain, at)?;
        if !self.arrivals.contains_key(&key) {
            self.changed.insert(key.clone());
            self.arrivals.insert(key.clone(), arrival);
        }
        Some(key)
    }

    /// Lets everything go on: jobs serve steps in the order of their acceptance, each the earliest arrival that lacks
    /// it; what is done, cancelled or late is noticed. `jobs`: those that are not over, by id; `ended`: what became of
    /// one that is (done, and when), if it is known. Says what is new.
    pub fn step(
        &mut self,
        calendar: &Calendar,
        jobs: &BTreeMap<&str, Work>,
        ended: impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) -> Vec<Told> {
        self.settle(jobs, &ended, now_wall);
        let taken: BTreeSet<String> = {
            let steps = self.arrivals.values().flat_map(|a| &a.steps);
            steps.filter_map(|s| s.job.clone()).collect()
        };
        let mut free: Vec<(&&str, &Work)> =
            jobs.iter().filter(|(id, _)| !taken.contains(**id)).collect();
        free.sort_by_key(|(id, w)| (w.accepted_wall, **id));
        for (id, work) in free {
            self.assign(calendar, id, work);
        }
        let mut told = Vec::new();
        for (key, arrival) in &mut self.arrivals {
            let why = foretell(arrival, calendar, jobs, now_wall);
            let moved = arrival.advance(now_wall, why.is_some(), PAST_MS);
            let fresh = why != arrival.warned && arrival.phase() < Phase::Ready;
            if fresh {
                arrival.warned.clone_from(&why);
            }
            if moved || fresh {
                self.changed.insert(key.clone());
                told.push(Told { key: key.clone(), phase: arrival.phase(), why });
            }
        }
        let past = |(key, a): (&String, &Arrival)| (a.phase() == Phase::Past).then(|| key.clone());
        for key in self.arrivals.iter().filter_map(past).collect::<Vec<_>>() {
            self.arrivals.remove(&key);
            self.changed.insert(key);
        }
        told
    }

    /// Steps whose jobs are over.
    fn settle(
        &mut self,
        jobs: &BTreeMap<&str, Work>,
        ended: &impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) {
        let mut took = Vec::new();
        for (key, arrival) in &mut self.arrivals {
            let chain = &arrival.chain;
            for step in arrival.steps.iter_mut().filter(|s| s.stage() == Stage::Submitted) {
                let Some(job) = step.job.clone().filter(|j| !jobs.contains_key(j.as_str())) else {
                    continue;
                };
                match ended(&job) {
                    Some(true) => {
                        step.advance(Stage::Done, None);
                        let ms = now_wall.saturating_sub(step.accepted);
                        took.push((format!("{chain}/{}", step.name), ms));
                        self.changed.insert(key.clone());
                    }
                    // Cancelled: another job may do it.
                    Some(false) => {
                        step.advance(Stage::Awaited, None);
                        self.changed.insert(key.clone());
                    }
                    None => {}
                }
            }
        }
        took.into_iter().for_each(|(step, ms)| self.learn(step, ms));
    }

    /// A step took so long, from its job's acceptance to its end.
    fn learn(&mut self, step: String, ms: u64) {
        let took = &mut self.took.entry(step.clone()).or_default().took;
        took.push(ms);
        let beyond = took.len().saturating_sub(TOOK_MOST);
        took.drain(..beyond);
        self.learnt.insert(step);
    }

    /// A job serves the earliest arrival that still lacks a step which it does, after its acceptance.
    fn assign(&mut self, calendar: &Calendar, id: &str, work: &Work) {
        for (key, arrival) in &mut self.arrivals {
            if arrival.at <= work.accepted_wall || arrival.phase() >= Phase::Ready {
                continue;
            }
            let Some(line) = calendar.chain(&arrival.chain) else { continue };
            let does = |s: &&mut Step| {
                let number = line.steps.iter().position(|l| l.name == s.name);
                s.stage() == Stage::Awaited
                    && number.is_some_and(|n| calendar.does(&arrival.chain, n, &work.facts))
            };
            if let Some(step) = arrival.steps.iter_mut().find(does) {
                step.advance(Stage::Submitted, Some(id));
                step.accepted = work.accepted_wall;
                self.changed.insert(key.clone());
                return;
            }
        }
    }

    /// Arrivals whose records are to be written, and what they are now; none: they go.
    pub fn take_changed(&mut self) -> Vec<(String, Option<Arrival>)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|k| (k.clone(), self.arrivals.get(&k).cloned())).collect()
    }

    /// Steps of which something was learnt.
    pub fn take_learnt(&mut self) -> Vec<(String, Took)> {
        let learnt = std::mem::take(&mut self.learnt);
        let found = |step: String| Some((step.clone(), self.took.get(&step)?.clone()));
        learnt.into_iter().filter_map(found).collect()
    }
}

/// Which step will make an arrival late, and why; as soon as it is known, and for what nobody has submitted an hour
/// ahead of its latest start.
fn foretell(
    arrival: &Arrival,
    calendar: &Calendar,
    jobs: &BTreeMap<&str, Work>,
    now_wall: u64,
) -> Option<(String, String)> {
    if now_wall >= arrival.at {
        return arrival.warned.clone();
    }
    let line = calendar.chain(&arrival.chain)?;
    // When each step will be done, forward from now, by what is known.
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    for &n in calendar.order_of(&arrival.chain) {
        let name = line.steps[n].name.as_str();
        let Some(step) = arrival.steps.iter().find(|s| s.name == name) else { continue };
        let before = line.steps[n].after.iter().filter_map(|a| ends.get(a.as_str())).max().copied();
        let takes = step.deadline.saturating_sub(step.start);
        let end = match (step.stage(), step.job.as_deref().and_then(|j| jobs.get(j))) {
            (Stage::Done, _) => 0,
            (Stage::Submitted, Some(work)) => {
                let end = work.ends_wall.unwrap_or(now_wall + takes);
                if end > step.deadline {
                    let by = (end - step.deadline) / 1_000;
                    return Some((
                        name.into(),
                        format!("its job ends {by} s late: {}", work.waits_for),
                    ));
                }
                end
            }
            (Stage::Submitted, None) => now_wall,
            (Stage::Awaited, _) => {
                let begin = before.unwrap_or(0).max(now_wall);
                if before.is_some_and(|b| b > step.start) {
                    let by = (begin - step.start) / 1_000;
                    return Some((
                        name.into(),
                        format!("what it waits for ends {by} s after its latest start"),
                    ));
                }
                if now_wall + WARN_AHEAD_MS > step.start && before.is_none_or(|b| b <= now_wall) {
                    return Some((name.into(), "nobody has submitted its job".into()));
                }
                begin + takes
            }
        };
        ends.insert(name, end);
    }
    None
}
