//! All arrivals that are open: which job serves which step, and what will be late.

use crate::backward_planning::{plan_backward, quantile};
use crate::constants::{
    DEFAULT_STEP_DURATION_MS, DURATION_QUANTILE, MAX_DURATION_SAMPLES, MAX_OCCURRENCES,
    OCCURRENCE_RETENTION_MS, PLANNING_HORIZON_MS, WARNING_LEAD_MS,
};
use crate::occurrence::{Occurrence, OccurrencePhase, OccurrenceStep, StepPhase};
use crate::schedule::DeadlineSchedule;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;
use swiftsail_tiers::JobAttributes;

/// What is known of a job that may serve a step.
#[derive(Debug, Clone, PartialEq)]
pub struct StepJob {
    /// What it asked for.
    pub facts: JobAttributes,
    /// Time of day of its acceptance, ms, as its record has it.
    pub accepted_at_wall: u64,
    /// Time of day at which it will be done at the stated chance, ms; none: it cannot be told.
    pub expected_end_wall: Option<u64>,
    /// Why it is not further, in words.
    pub wait_reason: String,
}

/// What was noticed of an arrival, for the log and for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OccurrenceEvent {
    /// Its key.
    pub key: String,
    /// Where it stands now.
    pub phase: OccurrencePhase,
    /// The step and the cause, if it will be late.
    pub lateness_cause: Option<(String, String)>,
}

/// How long a step took, the latest last, ms.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepDurations {
    /// See `Took`.
    #[serde(rename = "t", default)]
    pub samples_ms: Vec<u64>,
}

impl Versioned for StepDurations {
    const FORMAT_VERSION: u32 = 1;
}

/// The arrivals.
#[derive(Debug, Clone, Default)]
pub struct DeadlineTracker {
    occurrences: BTreeMap<String, Occurrence>,
    /// How long each step of each chain took, by `chain/step`.
    step_durations: BTreeMap<String, StepDurations>,
    changed_occurrences: BTreeSet<String>,
    changed_durations: BTreeSet<String>,
}

impl DeadlineTracker {
    /// Takes over an arrival's record.
    pub fn restore(&mut self, key: &str, arrival: Occurrence) {
        self.occurrences.insert(key.into(), arrival);
    }

    /// Takes over how long a step took.
    pub fn restore_durations(&mut self, step: &str, took: StepDurations) {
        self.step_durations.insert(step.into(), took);
    }

    /// Jobs that serve steps and are not known to be over.
    pub fn jobs_of_submitted_steps(&self) -> impl Iterator<Item = &str> {
        let steps = self.occurrences.values().flat_map(|a| &a.steps);
        steps.filter(|s| s.phase() == StepPhase::Submitted).filter_map(|s| s.job.as_deref())
    }

    /// All arrivals.
    pub fn occurrences(&self) -> impl Iterator<Item = (&String, &Occurrence)> {
        self.occurrences.iter()
    }

    /// The deadline that an arrival gives a job: time of day, ms.
    pub fn deadline_of(&self, job: &str) -> Option<u64> {
        let open = self.occurrences.values().filter(|a| a.phase() < OccurrencePhase::Missed);
        let steps = open.flat_map(|a| &a.steps).filter(|s| s.phase() == StepPhase::Submitted);
        steps.filter(|s| s.job.as_deref() == Some(job)).map(|s| s.deadline).min()
    }

    /// How long a step of a chain takes at the stated chance, ms.
    fn expected_duration(&self, chain: &str, step: &str) -> u64 {
        let took = self.step_durations.get(&format!("{chain}/{step}"));
        took.and_then(|t| quantile(&t.samples_ms, DURATION_QUANTILE))
            .unwrap_or(DEFAULT_STEP_DURATION_MS)
    }

    /// Foresees what the calendar names: each arrival once, under a key that depends on it alone. Of a calendar that
    /// has changed, what is no longer in it goes if nobody has begun on it.
    pub fn sync_with_schedule(&mut self, calendar: &DeadlineSchedule, now_wall: u64) {
        let mut named: BTreeSet<String> = BTreeSet::new();
        for (n, entry) in calendar.plan().arrivals.iter().enumerate() {
            for at in calendar.occurrences_between(n, now_wall, now_wall + PLANNING_HORIZON_MS) {
                let key = Occurrence::key(&entry.name, at);
                named.insert(key.clone());
                if self.occurrences.contains_key(&key) || self.occurrences.len() >= MAX_OCCURRENCES
                {
                    continue;
                }
                if let Some(arrival) = self.plan_occurrence(calendar, &entry.name, &entry.chain, at)
                {
                    self.changed_occurrences.insert(key.clone());
                    self.occurrences.insert(key, arrival);
                }
            }
        }
        let forgotten = |(key, a): (&String, &Occurrence)| {
            let kept = named.contains(key) || a.due_at <= now_wall || a.entry_name.starts_with('+');
            (!kept && a.steps.iter().all(|s| s.phase() == StepPhase::Awaited)).then(|| key.clone())
        };
        for key in self.occurrences.iter().filter_map(forgotten).collect::<Vec<_>>() {
            self.occurrences.remove(&key);
            self.changed_occurrences.insert(key);
        }
    }

    /// An arrival with its steps planned backward.
    fn plan_occurrence(
        &self,
        calendar: &DeadlineSchedule,
        name: &str,
        chain: &str,
        at: u64,
    ) -> Option<Occurrence> {
        let line = calendar.chain(chain)?;
        let takes: Vec<u64> =
            line.steps.iter().map(|s| self.expected_duration(chain, &s.name)).collect();
        let times = plan_backward(line, calendar.topological_order(chain), at, &takes);
        let step =
            |(s, t): (&crate::schedule::StepDefinition, &crate::backward_planning::StepTimes)| {
                OccurrenceStep::new(&s.name, t.deadline, t.latest_start)
            };
        let steps = line.steps.iter().zip(&times).map(step).collect();
        Some(Occurrence::new(name, chain, at, steps))
    }

    /// One arrival by an operator's command. False: no such chain, or too many.
    pub fn add_occurrence(
        &mut self,
        calendar: &DeadlineSchedule,
        name: &str,
        chain: &str,
        at: u64,
    ) -> Option<String> {
        // A mark that no entry's name can have: the calendar does not take it back.
        let name = format!("+{name}");
        let key = Occurrence::key(&name, at);
        if self.occurrences.len() >= MAX_OCCURRENCES && !self.occurrences.contains_key(&key) {
            return None;
        }
        let arrival = self.plan_occurrence(calendar, &name, chain, at)?;
        if !self.occurrences.contains_key(&key) {
            self.changed_occurrences.insert(key.clone());
            self.occurrences.insert(key.clone(), arrival);
        }
        Some(key)
    }

    /// Lets everything go on: jobs serve steps in the order of their acceptance, each the earliest arrival that lacks
    /// it; what is done, cancelled or late is noticed. `jobs`: those that are not over, by id; `ended`: what became of
    /// one that is (done, and when), if it is known. Says what is new.
    pub fn update(
        &mut self,
        calendar: &DeadlineSchedule,
        jobs: &BTreeMap<&str, StepJob>,
        ended: impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) -> Vec<OccurrenceEvent> {
        self.complete_finished_steps(jobs, &ended, now_wall);
        let taken: BTreeSet<String> = {
            let steps = self.occurrences.values().flat_map(|a| &a.steps);
            steps.filter_map(|s| s.job.clone()).collect()
        };
        let mut free: Vec<(&&str, &StepJob)> =
            jobs.iter().filter(|(id, _)| !taken.contains(**id)).collect();
        free.sort_by_key(|(id, w)| (w.accepted_at_wall, **id));
        for (id, work) in free {
            self.assign_job(calendar, id, work);
        }
        let mut told = Vec::new();
        for (key, arrival) in &mut self.occurrences {
            let why = predict_lateness(arrival, calendar, jobs, now_wall);
            let moved = arrival.advance_phase(now_wall, why.is_some(), OCCURRENCE_RETENTION_MS);
            let fresh = why != arrival.lateness_warning && arrival.phase() < OccurrencePhase::Ready;
            if fresh {
                arrival.lateness_warning.clone_from(&why);
            }
            if moved || fresh {
                self.changed_occurrences.insert(key.clone());
                told.push(OccurrenceEvent {
                    key: key.clone(),
                    phase: arrival.phase(),
                    lateness_cause: why,
                });
            }
        }
        let past = |(key, a): (&String, &Occurrence)| {
            (a.phase() == OccurrencePhase::Past).then(|| key.clone())
        };
        for key in self.occurrences.iter().filter_map(past).collect::<Vec<_>>() {
            self.occurrences.remove(&key);
            self.changed_occurrences.insert(key);
        }
        told
    }

    /// Steps whose jobs are over.
    fn complete_finished_steps(
        &mut self,
        jobs: &BTreeMap<&str, StepJob>,
        ended: &impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) {
        let mut took = Vec::new();
        for (key, arrival) in &mut self.occurrences {
            let chain = &arrival.chain;
            for step in arrival.steps.iter_mut().filter(|s| s.phase() == StepPhase::Submitted) {
                let Some(job) = step.job.clone().filter(|j| !jobs.contains_key(j.as_str())) else {
                    continue;
                };
                match ended(&job) {
                    Some(true) => {
                        step.advance_phase(StepPhase::Done, None);
                        let ms = now_wall.saturating_sub(step.accepted_at);
                        took.push((format!("{chain}/{}", step.name), ms));
                        self.changed_occurrences.insert(key.clone());
                    }
                    // Cancelled: another job may do it.
                    Some(false) => {
                        step.advance_phase(StepPhase::Awaited, None);
                        self.changed_occurrences.insert(key.clone());
                    }
                    None => {}
                }
            }
        }
        took.into_iter().for_each(|(step, ms)| self.record_duration(step, ms));
    }

    /// A step took so long, from its job's acceptance to its end.
    fn record_duration(&mut self, step: String, ms: u64) {
        let took = &mut self.step_durations.entry(step.clone()).or_default().samples_ms;
        took.push(ms);
        let beyond = took.len().saturating_sub(MAX_DURATION_SAMPLES);
        took.drain(..beyond);
        self.changed_durations.insert(step);
    }

    /// A job serves the earliest arrival that still lacks a step which it does, after its acceptance.
    fn assign_job(&mut self, calendar: &DeadlineSchedule, id: &str, work: &StepJob) {
        for (key, arrival) in &mut self.occurrences {
            if arrival.due_at <= work.accepted_at_wall || arrival.phase() >= OccurrencePhase::Ready
            {
                continue;
            }
            let Some(line) = calendar.chain(&arrival.chain) else { continue };
            let does = |s: &&mut OccurrenceStep| {
                let number = line.steps.iter().position(|l| l.name == s.name);
                s.phase() == StepPhase::Awaited
                    && number
                        .is_some_and(|n| calendar.job_matches_step(&arrival.chain, n, &work.facts))
            };
            if let Some(step) = arrival.steps.iter_mut().find(does) {
                step.advance_phase(StepPhase::Submitted, Some(id));
                step.accepted_at = work.accepted_at_wall;
                self.changed_occurrences.insert(key.clone());
                return;
            }
        }
    }

    /// Arrivals whose records are to be written, and what they are now; none: they go.
    pub fn take_changed_occurrences(&mut self) -> Vec<(String, Option<Occurrence>)> {
        let changed = std::mem::take(&mut self.changed_occurrences);
        changed.into_iter().map(|k| (k.clone(), self.occurrences.get(&k).cloned())).collect()
    }

    /// Steps of which something was learnt.
    pub fn take_changed_durations(&mut self) -> Vec<(String, StepDurations)> {
        let learnt = std::mem::take(&mut self.changed_durations);
        let found = |step: String| Some((step.clone(), self.step_durations.get(&step)?.clone()));
        learnt.into_iter().filter_map(found).collect()
    }
}

/// Which step will make an arrival late, and why; as soon as it is known, and for what nobody has submitted an hour
/// ahead of its latest start.
fn predict_lateness(
    arrival: &Occurrence,
    calendar: &DeadlineSchedule,
    jobs: &BTreeMap<&str, StepJob>,
    now_wall: u64,
) -> Option<(String, String)> {
    if now_wall >= arrival.due_at {
        return arrival.lateness_warning.clone();
    }
    let line = calendar.chain(&arrival.chain)?;
    // When each step will be done, forward from now, by what is known.
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    for &n in calendar.topological_order(&arrival.chain) {
        let name = line.steps[n].name.as_str();
        let Some(step) = arrival.steps.iter().find(|s| s.name == name) else { continue };
        let before = line.steps[n].after.iter().filter_map(|a| ends.get(a.as_str())).max().copied();
        let takes = step.deadline.saturating_sub(step.latest_start);
        let end = match (step.phase(), step.job.as_deref().and_then(|j| jobs.get(j))) {
            (StepPhase::Done, _) => 0,
            (StepPhase::Submitted, Some(work)) => {
                let end = work.expected_end_wall.unwrap_or(now_wall + takes);
                if end > step.deadline {
                    let by = (end - step.deadline) / 1_000;
                    return Some((
                        name.into(),
                        format!("its job ends {by} s late: {}", work.wait_reason),
                    ));
                }
                end
            }
            (StepPhase::Submitted, None) => now_wall,
            (StepPhase::Awaited, _) => {
                let begin = before.unwrap_or(0).max(now_wall);
                if before.is_some_and(|b| b > step.latest_start) {
                    let by = (begin - step.latest_start) / 1_000;
                    return Some((
                        name.into(),
                        format!("what it waits for ends {by} s after its latest start"),
                    ));
                }
                if now_wall + WARNING_LEAD_MS > step.latest_start
                    && before.is_none_or(|b| b <= now_wall)
                {
                    return Some((name.into(), "nobody has submitted its job".into()));
                }
                begin + takes
            }
        };
        ends.insert(name, end);
    }
    None
}
