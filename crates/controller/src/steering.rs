//! What operators and plug-ins may steer, as values: the node works them out before a pass, and
//! placement and fleet only read them. None of them is a rule: limits, zones, proof and the order of
//! priorities are not here.

use crate::constants::*;
use crate::job::JobId;
use std::collections::{BTreeSet, HashMap};

/// How one job is steered.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSteering {
    /// Pruning threshold: a chance at or below it defers. From 0 to 1.
    pub threshold: f64,
    /// Largest share of the CPUs that may be on spot machines when one more is rented. From 0 to 1.
    pub spot_share: f64,
    /// Order of its class within its level: the lower the sooner.
    pub order: i64,
    /// Preference within its level and class: the higher the sooner.
    pub score: f64,
    /// Machine types to avoid, while others are allowed.
    pub avoid: BTreeSet<String>,
}

impl Default for JobSteering {
    fn default() -> JobSteering {
        JobSteering {
            threshold: THRESHOLD,
            spot_share: SPOT_SHARE,
            order: 0,
            score: 0.0,
            avoid: BTreeSet::new(),
        }
    }
}

/// What a pass may do at most (processor): less of it while the controller falls behind.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Tasks bound.
    pub binds: usize,
    /// Tasks that join lines.
    pub joins: usize,
    /// Jobs of one level placed.
    pub jobs: usize,
    /// Lines offered.
    pub lines: usize,
    /// Few machines more can be led: larger ones are then worth more than they cost.
    pub scarce: bool,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            binds: PASS_BINDS,
            joins: PASS_JOINS,
            jobs: PASS_JOBS,
            lines: LINES_MOST,
            scarce: false,
        }
    }
}

/// How a pass is steered.
#[derive(Debug, Clone, PartialEq)]
pub struct Steering {
    /// Misses since the last round that engage dropping.
    pub toggle: u32,
    /// Longest line of a slot, the executing task included.
    pub line_cap: usize,
    /// Time between rounds, ms.
    pub round_ms: u64,
    /// Tasks of each service class for which room is kept.
    pub reserve: u32,
    /// Time a machine without tasks is kept, ms.
    pub idle_ms: u64,
    /// What a pass may do at most.
    pub bounds: Bounds,
    /// What holds for a job that is not named.
    pub usual: JobSteering,
    /// Jobs steered otherwise.
    pub jobs: HashMap<JobId, JobSteering>,
}

impl Default for Steering {
    fn default() -> Steering {
        Steering {
            toggle: TOGGLE,
            line_cap: LINE_CAP,
            round_ms: ROUND_MS,
            reserve: RESERVE_TASKS,
            idle_ms: IDLE_MS,
            bounds: Bounds::default(),
            usual: JobSteering::default(),
            jobs: HashMap::new(),
        }
    }
}

impl Steering {
    /// How a job is steered.
    pub fn of(&self, id: &JobId) -> &JobSteering {
        self.jobs.get(id).unwrap_or(&self.usual)
    }
}
