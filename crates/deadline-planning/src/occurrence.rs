//! One arrival, as its record holds it.

use serde::{Deserialize, Serialize};
use swiftsail_replicated_records::Versioned;

/// Where an arrival stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OccurrencePhase {
    /// It comes; its times are planned.
    #[serde(rename = "f")]
    Foreseen,
    /// A job of its chain is there.
    #[serde(rename = "u")]
    UnderWay,
    /// It will not be ready in time, as far as can be told.
    #[serde(rename = "l")]
    Late,
    /// All steps are done.
    #[serde(rename = "r")]
    Ready,
    /// It is there, and not all steps are done.
    #[serde(rename = "m")]
    Missed,
    /// It is over.
    #[serde(rename = "p")]
    Past,
}

/// Where a step stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepPhase {
    /// Nobody has submitted its job.
    #[serde(rename = "w")]
    Awaited,
    /// Its job is there.
    #[serde(rename = "j")]
    Submitted,
    /// Its job is done.
    #[serde(rename = "d")]
    Done,
}

/// A step of an arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceStep {
    /// Its name.
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "stage")]
    phase: StepPhase,
    /// The job that does it.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// When that was accepted: time of day, ms.
    #[serde(rename = "a", default)]
    pub accepted_at: u64,
    /// By when it must be done: time of day, ms. Fixed when the arrival is planned.
    #[serde(rename = "by")]
    pub deadline: u64,
    /// When it must begin at the latest: time of day, ms.
    #[serde(rename = "from")]
    pub latest_start: u64,
}

impl OccurrenceStep {
    /// A step that nobody has begun.
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

    /// Where it stands.
    pub fn phase(&self) -> StepPhase {
        self.phase
    }

    /// The one function that changes where it stands. A job that is cancelled leaves its step to another; what is
    /// done stays done.
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

/// An arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// When: time of day, ms.
    #[serde(rename = "at")]
    pub due_at: u64,
    /// Name of its entry.
    #[serde(rename = "n")]
    pub entry_name: String,
    /// Its chain.
    #[serde(rename = "c")]
    pub chain: String,
    phase: OccurrencePhase,
    /// Its steps, in the order of its chain.
    #[serde(rename = "s")]
    pub steps: Vec<OccurrenceStep>,
    /// What was warned of: the step and the cause.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub lateness_warning: Option<(String, String)>,
}

impl Versioned for Occurrence {
    const FORMAT_VERSION: u32 = 1;
}

impl Occurrence {
    /// An arrival that is foreseen, with its steps planned.
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

    /// Its key: the same whoever foresees it.
    pub fn key(name: &str, at: u64) -> String {
        format!("{at:014}-{name}")
    }

    /// Where it stands.
    pub fn phase(&self) -> OccurrencePhase {
        self.phase
    }

    /// The one function that changes where it stands, by its steps and the time of day. What is past stays so. True
    /// if it stands elsewhere now.
    pub fn advance_phase(&mut self, now_wall: u64, late: bool, past_ms: u64) -> bool {
        let done = self.steps.iter().all(|s| s.phase() == StepPhase::Done);
        let begun = self.steps.iter().any(|s| s.phase() != StepPhase::Awaited);
        let there = now_wall >= self.due_at;
        let to = match self.phase {
            OccurrencePhase::Past => OccurrencePhase::Past,
            _ if now_wall >= self.due_at + past_ms => OccurrencePhase::Past,
            // What was missed is told as missed, even if it is done later.
            OccurrencePhase::Missed => OccurrencePhase::Missed,
            _ if done => OccurrencePhase::Ready,
            _ if there => OccurrencePhase::Missed,
            _ if late => OccurrencePhase::Late,
            _ if begun => OccurrencePhase::UnderWay,
            _ => OccurrencePhase::Foreseen,
        };
        let moved = to != self.phase;
        self.phase = to;
        moved
    }
}
