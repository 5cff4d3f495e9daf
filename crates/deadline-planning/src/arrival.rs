//! One arrival, as its record holds it.

use serde::{Deserialize, Serialize};
use swiftsail_replicated_records::Versioned;

/// Where an arrival stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
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
pub enum Stage {
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
pub struct Step {
    /// Its name.
    #[serde(rename = "n")]
    pub name: String,
    stage: Stage,
    /// The job that does it.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// When that was accepted: time of day, ms.
    #[serde(rename = "a", default)]
    pub accepted: u64,
    /// By when it must be done: time of day, ms. Fixed when the arrival is planned.
    #[serde(rename = "by")]
    pub deadline: u64,
    /// When it must begin at the latest: time of day, ms.
    #[serde(rename = "from")]
    pub start: u64,
}

impl Step {
    /// A step that nobody has begun.
    pub fn new(name: &str, deadline: u64, start: u64) -> Step {
        Step { name: name.into(), stage: Stage::Awaited, job: None, accepted: 0, deadline, start }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The one function that changes where it stands. A job that is cancelled leaves its step to another; what is
    /// done stays done.
    pub fn advance(&mut self, to: Stage, job: Option<&str>) -> bool {
        let allowed = matches!(
            (self.stage, to),
            (Stage::Awaited, Stage::Submitted) | (Stage::Submitted, Stage::Done | Stage::Awaited)
        );
        if allowed {
            self.stage = to;
            if to != Stage::Done {
                self.job = job.map(str::to_string);
            }
        }
        allowed
    }
}

/// An arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// When: time of day, ms.
    pub at: u64,
    /// Name of its entry.
    #[serde(rename = "n")]
    pub name: String,
    /// Its chain.
    #[serde(rename = "c")]
    pub chain: String,
    phase: Phase,
    /// Its steps, in the order of its chain.
    #[serde(rename = "s")]
    pub steps: Vec<Step>,
    /// What was warned of: the step and the cause.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub warned: Option<(String, String)>,
}

impl Versioned for Arrival {
    const FORM: u32 = 1;
}

impl Arrival {
    /// An arrival that is foreseen, with its steps planned.
    pub fn new(name: &str, chain: &str, at: u64, steps: Vec<Step>) -> Arrival {
        let (name, chain) = (name.into(), chain.into());
        Arrival { at, name, chain, phase: Phase::Foreseen, steps, warned: None }
    }

    /// Its key: the same whoever foresees it.
    pub fn key(name: &str, at: u64) -> String {
        format!("{at:014}-{name}")
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The one function that changes where it stands, by its steps and the time of day. What is past stays so. True
    /// if it stands elsewhere now.
    pub fn advance(&mut self, now_wall: u64, late: bool, past_ms: u64) -> bool {
        let done = self.steps.iter().all(|s| s.stage() == Stage::Done);
        let begun = self.steps.iter().any(|s| s.stage() != Stage::Awaited);
        let there = now_wall >= self.at;
        let to = match self.phase {
            Phase::Past => Phase::Past,
            _ if now_wall >= self.at + past_ms => Phase::Past,
            // What was missed is told as missed, even if it is done later.
            Phase::Missed => Phase::Missed,
            _ if done => Phase::Ready,
            _ if there => Phase::Missed,
            _ if late => Phase::Late,
            _ if begun => Phase::UnderWay,
            _ => Phase::Foreseen,
        };
        let moved = to != self.phase;
        self.phase = to;
        moved
    }
}
