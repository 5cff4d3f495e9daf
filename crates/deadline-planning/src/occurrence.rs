//! One occurrence of a schedule entry with its steps, as stored in its record.

use serde::{Deserialize, Serialize};
use swiftsail_replicated_records::Versioned;

/// Phase of an occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OccurrencePhase {
    /// Planned; no job has been submitted for any of its steps.
    #[serde(rename = "f")]
    Foreseen,
    /// A job has been submitted for at least one step.
    #[serde(rename = "u")]
    UnderWay,
    /// A step is predicted to miss its deadline.
    #[serde(rename = "l")]
    Late,
    /// All steps are done, and it was not missed before.
    #[serde(rename = "r")]
    Ready,
    /// It was due before all steps were done.
    #[serde(rename = "m")]
    Missed,
    /// Its retention time after it was due has passed.
    #[serde(rename = "p")]
    Past,
}

/// Phase of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepPhase {
    /// No job has been submitted for it.
    #[serde(rename = "w")]
    Awaited,
    /// A job for it has been submitted and is not known to be over.
    #[serde(rename = "j")]
    Submitted,
    /// Its job is done.
    #[serde(rename = "d")]
    Done,
}

/// A step of an occurrence. Times are wall-clock times, ms since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceStep {
    /// Name of the step in its chain.
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "stage")]
    phase: StepPhase,
    /// Id of the job that performs it; none while no job has been submitted.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// When that job was accepted.
    #[serde(rename = "a", default)]
    pub accepted_at: u64,
    /// When the step must be done. Fixed when the occurrence is planned.
    #[serde(rename = "by")]
    pub deadline: u64,
    /// When the step must begin at the latest.
    #[serde(rename = "from")]
    pub latest_start: u64,
}

impl OccurrenceStep {
    /// A step for which no job has been submitted.
    pub fn new(name: &str, deadline: u64, latest_start: u64) -> OccurrenceStep {
        OccurrenceStep {
            name: name.into(),
            phase: StepPhase::Awaited,
            job: None,
            accepted_at: 0,
            deadline,
            latest_start,
        }
    }

    /// Phase of the step.
    pub fn phase(&self) -> StepPhase {
        self.phase
    }

    /// The one function that changes the phase. `job` is the job that performs the step from now on; it is ignored on a
    /// change to [`StepPhase::Done`]. A step whose job was cancelled becomes [`StepPhase::Awaited`] again, so that another
    /// job can perform it; a step that is done stays done. Returns whether the change was allowed.
    pub fn advance_phase(&mut self, to: StepPhase, job: Option<&str>) -> bool {
        let allowed = matches!(
            (self.phase, to),
            (StepPhase::Awaited, StepPhase::Submitted)
                | (StepPhase::Submitted, StepPhase::Done | StepPhase::Awaited)
        );
        if allowed {
            self.phase = to;
            if to != StepPhase::Done {
                self.job = job.map(str::to_string);
            }
        }
        allowed
    }
}

/// One occurrence of a schedule entry, or one that an operator has added.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// When it is due: wall-clock time, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub due_at: u64,
    /// Name of its schedule entry; `+` and a name if an operator has added it.
    #[serde(rename = "n")]
    pub entry_name: String,
    /// Name of its chain.
    #[serde(rename = "c")]
    pub chain: String,
    phase: OccurrencePhase,
    /// Its steps, in the order of the chain's definition.
    #[serde(rename = "s")]
    pub steps: Vec<OccurrenceStep>,
    /// The latest warning: the step that will be late, and why.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub lateness_warning: Option<(String, String)>,
}

impl Versioned for Occurrence {
    const FORMAT_VERSION: u32 = 1;
}

impl Occurrence {
    /// An occurrence in [`OccurrencePhase::Foreseen`] with these planned steps. `name` is that of its schedule entry.
    pub fn new(name: &str, chain: &str, due_at: u64, steps: Vec<OccurrenceStep>) -> Occurrence {
        let (entry_name, chain) = (name.into(), chain.into());
        Occurrence {
            due_at,
            entry_name,
            chain,
            phase: OccurrencePhase::Foreseen,
            steps,
            lateness_warning: None,
        }
    }

    /// Key of the occurrence of an entry that is due at this time. It depends on nothing else, so that every leader uses
    /// the same key.
    pub fn key(name: &str, at: u64) -> String {
        format!("{at:014}-{name}")
    }

    /// Phase of the occurrence.
    pub fn phase(&self) -> OccurrencePhase {
        self.phase
    }

    /// The one function that changes the phase: by the steps, the wall clock, and whether a step is predicted to be late.
    /// [`OccurrencePhase::Past`] begins `retention_ms` after the occurrence was due and is final. Returns whether the phase
    /// changed.
    pub fn advance_phase(&mut self, now_wall: u64, is_late: bool, retention_ms: u64) -> bool {
        let all_done = self.steps.iter().all(|step| step.phase() == StepPhase::Done);
        let any_submitted = self.steps.iter().any(|step| step.phase() != StepPhase::Awaited);
        let is_due = now_wall >= self.due_at;
        let to = match self.phase {
            OccurrencePhase::Past => OccurrencePhase::Past,
            _ if now_wall >= self.due_at + retention_ms => OccurrencePhase::Past,
            // A missed occurrence is reported as missed even if its steps are done later.
            OccurrencePhase::Missed => OccurrencePhase::Missed,
            _ if all_done => OccurrencePhase::Ready,
            _ if is_due => OccurrencePhase::Missed,
            _ if is_late => OccurrencePhase::Late,
            _ if any_submitted => OccurrencePhase::UnderWay,
            _ => OccurrencePhase::Foreseen,
        };
        let is_changed = to != self.phase;
        self.phase = to;
        is_changed
    }
}
