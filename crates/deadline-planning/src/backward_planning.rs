//! From the arrival backward through the chain: by when each step must be done, and when it must begin at the latest.

use crate::constants::{DEFAULT_STEP_DURATION_MS, MS_PER_S};
use crate::schedule::ChainDefinition;

/// A step's times of day, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepTimes {
    /// By when it must be done.
    pub deadline: u64,
    /// When it must begin at the latest to be, by what it takes.
    pub latest_start: u64,
}

/// The times of a chain's steps. `order`: an order in which each comes behind what it waits for; `takes`: how long
/// each takes, ms. The last steps must be done a margin before the arrival, the others a margin before the latest
/// start of whatever waits for them.
pub fn plan_backward(
    chain: &ChainDefinition,
    order: &[usize],
    at_wall: u64,
    takes: &[u64],
) -> Vec<StepTimes> {
    let mut times = vec![StepTimes { deadline: at_wall, latest_start: at_wall }; chain.steps.len()];
    for &n in order.iter().rev() {
        let step = &chain.steps[n];
        let waits = |m: &usize| chain.steps[*m].after.contains(&step.name);
        let next = (0..chain.steps.len()).filter(waits).map(|m| times[m].latest_start).min();
        let margin = (step.margin_s * MS_PER_S) as u64;
        let deadline = next.unwrap_or(at_wall).saturating_sub(margin);
        let takes = takes.get(n).copied().unwrap_or(DEFAULT_STEP_DURATION_MS);
        times[n] = StepTimes { deadline, latest_start: deadline.saturating_sub(takes) };
    }
    times
}

/// How long something takes by how long it took: the least time within which the part of them ended that is asked
/// for.
pub fn quantile(took: &[u64], part: f64) -> Option<u64> {
    let mut sorted = took.to_vec();
    sorted.sort_unstable();
    let number = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(number.max(1) - 1).copied()
}
