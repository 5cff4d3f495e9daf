//! All open occurrences: which job performs which step, and which occurrences will be late.

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

/// A live job that may perform a step. Times are wall-clock times, ms since the Unix epoch.
#[derive(Debug, Clone, PartialEq)]
pub struct StepJob {
    /// The job's attributes, for the steps' expressions.
    pub attributes: JobAttributes,
    /// When it was accepted, as in its record.
    pub accepted_at_wall: u64,
    /// When it is expected to end, at [`DURATION_QUANTILE`]; none if that cannot be predicted.
    pub expected_end_wall: Option<u64>,
    /// What the job waits for or does now, as text for warnings.
    pub wait_reason: String,
}

/// A change of an occurrence's phase or warning, for the log and for event receivers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OccurrenceEvent {
    /// Key of the occurrence.
    pub key: String,
    /// Its phase now.
    pub phase: OccurrencePhase,
    /// The step that makes it late, and why; none if it is not expected to be late.
    pub lateness_cause: Option<(String, String)>,
}

/// Record of how long a step of a chain took in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepDurations {
    /// Times from the acceptance of the step's job to its end, ms, the latest last; [`MAX_DURATION_SAMPLES`] at most.
    #[serde(rename = "t", default)]
    pub samples_ms: Vec<u64>,
}

impl Versioned for StepDurations {
    const FORMAT_VERSION: u32 = 1;
}

/// All open occurrences and the durations of past steps.
#[derive(Debug, Clone, Default)]
pub struct DeadlineTracker {
    /// Occurrences by [`Occurrence::key`].
    occurrences: BTreeMap<String, Occurrence>,
    /// Durations of each step of each chain, by `chain/step`.
    step_durations: BTreeMap<String, StepDurations>,
    /// Keys of the occurrences whose records are to be written or deleted.
    changed_occurrences: BTreeSet<String>,
    /// Keys of the step durations whose records are to be written.
    changed_durations: BTreeSet<String>,
}

impl DeadlineTracker {
    /// Restores an occurrence from its record.
    pub fn restore(&mut self, key: &str, occurrence: Occurrence) {
        self.occurrences.insert(key.into(), occurrence);
    }

    /// Restores the durations of a step, which is named as `chain/step`, from their record.
    pub fn restore_durations(&mut self, step: &str, durations: StepDurations) {
        self.step_durations.insert(step.into(), durations);
    }

    /// Ids of the jobs of all steps in [`StepPhase::Submitted`].
    pub fn jobs_of_submitted_steps(&self) -> impl Iterator<Item = &str> {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps
            .filter(|step| step.phase() == StepPhase::Submitted)
            .filter_map(|step| step.job.as_deref())
    }

    /// All open occurrences with their keys, by the time when they are due.
    pub fn occurrences(&self) -> impl Iterator<Item = (&String, &Occurrence)> {
        self.occurrences.iter()
    }

    /// The earliest deadline that open occurrences give a job: wall-clock time, ms since the Unix epoch.
    pub fn deadline_of(&self, job: &str) -> Option<u64> {
        let open = self
            .occurrences
            .values()
            .filter(|occurrence| occurrence.phase() < OccurrencePhase::Missed);
        let steps = open
            .flat_map(|occurrence| &occurrence.steps)
            .filter(|step| step.phase() == StepPhase::Submitted);
        steps.filter(|step| step.job.as_deref() == Some(job)).map(|step| step.deadline).min()
    }

    /// Expected duration of a step of a chain at [`DURATION_QUANTILE`], ms.
    fn expected_duration_ms(&self, chain: &str, step: &str) -> u64 {
        let durations = self.step_durations.get(&format!("{chain}/{step}"));
        durations
            .and_then(|durations| quantile(&durations.samples_ms, DURATION_QUANTILE))
            .unwrap_or(DEFAULT_STEP_DURATION_MS)
    }

    /// Plans the occurrences of the schedule's entries within [`PLANNING_HORIZON_MS`], each once, and removes those that
    /// the schedule no longer has. Removed are only occurrences that are not due yet, for which no job has been
    /// submitted and which no operator has added. At [`MAX_OCCURRENCES`] none is added.
    pub fn sync_with_schedule(&mut self, schedule: &DeadlineSchedule, now_wall: u64) {
        let mut scheduled: BTreeSet<String> = BTreeSet::new();
        for (index, entry) in schedule.plan().entries.iter().enumerate() {
            let horizon = now_wall + PLANNING_HORIZON_MS;
            for due_at in schedule.occurrences_between(index, now_wall, horizon) {
                let key = Occurrence::key(&entry.name, due_at);
                scheduled.insert(key.clone());
                if self.occurrences.contains_key(&key) || self.occurrences.len() >= MAX_OCCURRENCES
                {
                    continue;
                }
                if let Some(occurrence) =
                    self.plan_occurrence(schedule, &entry.name, &entry.chain, due_at)
                {
                    self.changed_occurrences.insert(key.clone());
                    self.occurrences.insert(key, occurrence);
                }
            }
        }
        let unscheduled = |(key, occurrence): (&String, &Occurrence)| {
            let is_kept = scheduled.contains(key)
                || occurrence.due_at <= now_wall
                || occurrence.entry_name.starts_with('+');
            (!is_kept && occurrence.steps.iter().all(|step| step.phase() == StepPhase::Awaited))
                .then(|| key.clone())
        };
        for key in self.occurrences.iter().filter_map(unscheduled).collect::<Vec<_>>() {
            self.occurrences.remove(&key);
            self.changed_occurrences.insert(key);
        }
    }

    /// A new occurrence with its steps planned backward from `due_at`; none if there is no such chain.
    fn plan_occurrence(
        &self,
        schedule: &DeadlineSchedule,
        name: &str,
        chain: &str,
        due_at: u64,
    ) -> Option<Occurrence> {
        let definition = schedule.chain(chain)?;
        let durations_ms: Vec<u64> = definition
            .steps
            .iter()
            .map(|step| self.expected_duration_ms(chain, &step.name))
            .collect();
        let order = schedule.topological_order(chain);
        let times = plan_backward(definition, order, due_at, &durations_ms);
        let planned_step =
            |(step, times): (
                &crate::schedule::StepDefinition,
                &crate::backward_planning::StepTimes,
            )| { OccurrenceStep::new(&step.name, times.deadline, times.latest_start) };
        let steps = definition.steps.iter().zip(&times).map(planned_step).collect();
        Some(Occurrence::new(name, chain, due_at, steps))
    }

    /// Adds one occurrence for an operator, due at the wall-clock time `due_at`, ms since the Unix epoch, unless there
    /// is one of this name and time. Returns its key; none if there is no such chain or there are too many occurrences.
    pub fn add_occurrence(
        &mut self,
        schedule: &DeadlineSchedule,
        name: &str,
        chain: &str,
        due_at: u64,
    ) -> Option<String> {
        // No entry's name can begin with this mark, by which the occurrence is not removed as unscheduled.
        let name = format!("+{name}");
        let key = Occurrence::key(&name, due_at);
        if self.occurrences.len() >= MAX_OCCURRENCES && !self.occurrences.contains_key(&key) {
            return None;
        }
        let occurrence = self.plan_occurrence(schedule, &name, chain, due_at)?;
        if !self.occurrences.contains_key(&key) {
            self.changed_occurrences.insert(key.clone());
            self.occurrences.insert(key.clone(), occurrence);
        }
        Some(key)
    }

    /// Updates all occurrences: completes or frees steps whose jobs are over, assigns jobs to steps, predicts lateness,
    /// advances the phases, and removes occurrences that are past. Returns what has changed.
    ///
    /// `jobs` are the live jobs by id. They are assigned in the order of their acceptance, each to the earliest
    /// occurrence with a step for it. `outcome` says of a job that is not live whether it is done (true) or was
    /// cancelled (false), if that is known.
    pub fn update(
        &mut self,
        schedule: &DeadlineSchedule,
        jobs: &BTreeMap<&str, StepJob>,
        outcome: impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) -> Vec<OccurrenceEvent> {
        self.complete_finished_steps(jobs, &outcome, now_wall);
        let assigned: BTreeSet<String> = {
            let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
            steps.filter_map(|step| step.job.clone()).collect()
        };
        let mut unassigned: Vec<(&&str, &StepJob)> =
            jobs.iter().filter(|(id, _)| !assigned.contains(**id)).collect();
        unassigned.sort_by_key(|(id, job)| (job.accepted_at_wall, **id));
        for (id, job) in unassigned {
            self.assign_job(schedule, id, job);
        }
        let mut events = Vec::new();
        for (key, occurrence) in &mut self.occurrences {
            let cause = predict_lateness(occurrence, schedule, jobs, now_wall);
            let phase_changed =
                occurrence.advance_phase(now_wall, cause.is_some(), OCCURRENCE_RETENTION_MS);
            let warning_changed =
                cause != occurrence.lateness_warning && occurrence.phase() < OccurrencePhase::Ready;
            if warning_changed {
                occurrence.lateness_warning.clone_from(&cause);
            }
            if phase_changed || warning_changed {
                self.changed_occurrences.insert(key.clone());
                events.push(OccurrenceEvent {
                    key: key.clone(),
                    phase: occurrence.phase(),
                    lateness_cause: cause,
                });
            }
        }
        let past = |(key, occurrence): (&String, &Occurrence)| {
            (occurrence.phase() == OccurrencePhase::Past).then(|| key.clone())
        };
        for key in self.occurrences.iter().filter_map(past).collect::<Vec<_>>() {
            self.occurrences.remove(&key);
            self.changed_occurrences.insert(key);
        }
        events
    }

    /// Completes the steps whose jobs are done, and frees those whose jobs were cancelled.
    fn complete_finished_steps(
        &mut self,
        jobs: &BTreeMap<&str, StepJob>,
        outcome: &impl Fn(&str) -> Option<bool>,
        now_wall: u64,
    ) {
        let mut durations = Vec::new();
        for (key, occurrence) in &mut self.occurrences {
            let chain = &occurrence.chain;
            let submitted =
                occurrence.steps.iter_mut().filter(|step| step.phase() == StepPhase::Submitted);
            for step in submitted {
                let Some(job) = step.job.clone().filter(|job| !jobs.contains_key(job.as_str()))
                else {
                    continue;
                };
                match outcome(&job) {
                    Some(true) => {
                        step.advance_phase(StepPhase::Done, None);
                        let duration_ms = now_wall.saturating_sub(step.accepted_at);
                        durations.push((format!("{chain}/{}", step.name), duration_ms));
                        self.changed_occurrences.insert(key.clone());
                    }
                    // Cancelled: another job may perform the step.
                    Some(false) => {
                        step.advance_phase(StepPhase::Awaited, None);
                        self.changed_occurrences.insert(key.clone());
                    }
                    None => {}
                }
            }
        }
        durations.into_iter().for_each(|(step, ms)| self.record_duration(step, ms));
    }

    /// Records the duration of a step, which is named as `chain/step`: from the acceptance of its job to its end, ms.
    fn record_duration(&mut self, step: String, duration_ms: u64) {
        let samples_ms = &mut self.step_durations.entry(step.clone()).or_default().samples_ms;
        samples_ms.push(duration_ms);
        let excess = samples_ms.len().saturating_sub(MAX_DURATION_SAMPLES);
        samples_ms.drain(..excess);
        self.changed_durations.insert(step);
    }

    /// Assigns a job to the earliest occurrence, due after its acceptance, that has a step in
    /// [`StepPhase::Awaited`] which the job performs.
    fn assign_job(&mut self, schedule: &DeadlineSchedule, id: &str, job: &StepJob) {
        for (key, occurrence) in &mut self.occurrences {
            if occurrence.due_at <= job.accepted_at_wall
                || occurrence.phase() >= OccurrencePhase::Ready
            {
                continue;
            }
            let Some(chain) = schedule.chain(&occurrence.chain) else { continue };
            let is_performed = |step: &&mut OccurrenceStep| {
                let index = chain.steps.iter().position(|definition| definition.name == step.name);
                step.phase() == StepPhase::Awaited
                    && index.is_some_and(|index| {
                        schedule.job_matches_step(&occurrence.chain, index, &job.attributes)
                    })
            };
            if let Some(step) = occurrence.steps.iter_mut().find(is_performed) {
                step.advance_phase(StepPhase::Submitted, Some(id));
                step.accepted_at = job.accepted_at_wall;
                self.changed_occurrences.insert(key.clone());
                return;
            }
        }
    }

    /// Occurrences that have changed since the last call, by key; none: its record is to be deleted.
    pub fn take_changed_occurrences(&mut self) -> Vec<(String, Option<Occurrence>)> {
        let changed = std::mem::take(&mut self.changed_occurrences);
        let with_occurrence = |key: String| {
            let occurrence = self.occurrences.get(&key).cloned();
            (key, occurrence)
        };
        changed.into_iter().map(with_occurrence).collect()
    }

    /// Step durations that have changed since the last call, by `chain/step`.
    pub fn take_changed_durations(&mut self) -> Vec<(String, StepDurations)> {
        let changed = std::mem::take(&mut self.changed_durations);
        let with_durations =
            |step: String| Some((step.clone(), self.step_durations.get(&step)?.clone()));
        changed.into_iter().filter_map(with_durations).collect()
    }
}

/// The step that will make an occurrence late, and why; none if all steps are expected to be in time. A missing job is a
/// cause from [`WARNING_LEAD_MS`] before the latest start of its step on, if the steps before it are done; any other cause
/// counts as soon as it is predicted. Once the occurrence is due the last warning stays.
fn predict_lateness(
    occurrence: &Occurrence,
    schedule: &DeadlineSchedule,
    jobs: &BTreeMap<&str, StepJob>,
    now_wall: u64,
) -> Option<(String, String)> {
    if now_wall >= occurrence.due_at {
        return occurrence.lateness_warning.clone();
    }
    let chain = schedule.chain(&occurrence.chain)?;
    // Predicted end of each step, computed forward from now in topological order.
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    for &index in schedule.topological_order(&occurrence.chain) {
        let name = chain.steps[index].name.as_str();
        let Some(step) = occurrence.steps.iter().find(|step| step.name == name) else { continue };
        let predecessors = chain.steps[index].after.iter();
        let predecessors_end =
            predecessors.filter_map(|name| ends.get(name.as_str())).max().copied();
        let duration_ms = step.deadline.saturating_sub(step.latest_start);
        let end = match (step.phase(), step.job.as_deref().and_then(|id| jobs.get(id))) {
            (StepPhase::Done, _) => 0,
            (StepPhase::Submitted, Some(job)) => {
                let end = job.expected_end_wall.unwrap_or(now_wall + duration_ms);
                if end > step.deadline {
                    let late_s = (end - step.deadline) / 1_000;
                    return Some((
                        name.into(),
                        format!("its job ends {late_s} s late: {}", job.wait_reason),
                    ));
                }
                end
            }
            (StepPhase::Submitted, None) => now_wall,
            (StepPhase::Awaited, _) => {
                let start = predecessors_end.unwrap_or(0).max(now_wall);
                if predecessors_end.is_some_and(|end| end > step.latest_start) {
                    let late_s = (start - step.latest_start) / 1_000;
                    return Some((
                        name.into(),
                        format!("what it waits for ends {late_s} s after its latest start"),
                    ));
                }
                if now_wall + WARNING_LEAD_MS > step.latest_start
                    && predecessors_end.is_none_or(|end| end <= now_wall)
                {
                    return Some((name.into(), "nobody has submitted its job".into()));
                }
                start + duration_ms
            }
        };
        ends.insert(name, end);
    }
    None
}
