//! Backward planning: from the time at which an occurrence is due, through its chain, to the deadline and the latest
//! start of each step.

use crate::constants::{DEFAULT_STEP_DURATION_MS, MS_PER_S};
use crate::schedule::ChainDefinition;

/// Planned wall-clock times of a step, ms since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepTimes {
    /// When the step must be done.
    pub deadline: u64,
    /// When the step must begin at the latest to meet its deadline, given its expected duration.
    pub latest_start: u64,
}

/// Plans the steps of a chain for an occurrence that is due at `due_at_wall`, ms since the Unix epoch. `order` is a
/// topological order of the steps, `durations_ms` the expected duration of each step
/// ([`DEFAULT_STEP_DURATION_MS`] where there is none).
///
/// A step must be done by its margin before the earliest latest start of the steps that depend on it; a step on which
/// none depends, by its margin before the occurrence is due.
pub fn plan_backward(
    chain: &ChainDefinition,
    order: &[usize],
    due_at_wall: u64,
    durations_ms: &[u64],
) -> Vec<StepTimes> {
    let mut times =
        vec![StepTimes { deadline: due_at_wall, latest_start: due_at_wall }; chain.steps.len()];
    for &index in order.iter().rev() {
        let step = &chain.steps[index];
        let depends_on_step = |other: &usize| chain.steps[*other].after.contains(&step.name);
        let dependents = (0..chain.steps.len()).filter(depends_on_step);
        let earliest_start = dependents.map(|other| times[other].latest_start).min();
        let margin_ms = (step.margin_s * MS_PER_S) as u64;
        let deadline = earliest_start.unwrap_or(due_at_wall).saturating_sub(margin_ms);
        let duration_ms = durations_ms.get(index).copied().unwrap_or(DEFAULT_STEP_DURATION_MS);
        times[index] = StepTimes { deadline, latest_start: deadline.saturating_sub(duration_ms) };
    }
    times
}

/// The smallest sample at or below which lies at least the share `quantile` (0 to 1) of all samples. None without
/// samples.
pub fn quantile(samples: &[u64], quantile: f64) -> Option<u64> {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}
