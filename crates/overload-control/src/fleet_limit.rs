//! How many machines these controllers can lead, from what leading the present ones costs. Scale-out stops there. Pure:
//! loads and counts in, a limit out.

use crate::constants::{
    LOAD_SMOOTHING_MS, MAX_MACHINE_LOAD, MIN_CAPACITY, MIN_MACHINES, MIN_SIGNIFICANT_LOAD,
    RESERVED_CONNECTIONS,
};

/// A controller's processor load: the share of its processor that it used, exponentially smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CpuLoad {
    smoothed_share: f64,
    observed_ms: f64,
}

impl CpuLoad {
    /// Records that `share` (1: all) of the processor was used over the last `over_ms`. Values that are no numbers are
    /// ignored.
    pub fn record(&mut self, share: f64, over_ms: f64) {
        if !(share.is_finite() && over_ms.is_finite() && over_ms > 0.0) {
            return;
        }
        // Until the time constant has passed, the plain mean.
        self.observed_ms = (self.observed_ms + over_ms).min(LOAD_SMOOTHING_MS);
        let weight = (over_ms / self.observed_ms).min(1.0);
        self.smoothed_share += (share.max(0.0) - self.smoothed_share) * weight;
    }

    /// The smoothed share; none until it was observed for the time constant of the smoothing.
    pub fn share(&self) -> Option<f64> {
        (self.observed_ms >= LOAD_SMOOTHING_MS).then_some(self.smoothed_share)
    }
}

/// What bounds the number of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetLimit {
    /// A controller's processor.
    Processor,
    /// Connections of the controllers that remain if one fails.
    Connections,
    /// Memory for the leader's cluster state.
    ClusterState,
}

/// The number of machines that the controllers can lead, at least [`MIN_MACHINES`], and what bounds it.
///
/// - `machines`: led now
/// - `loads`: smoothed loads of all controllers with fresh heartbeats
/// - `guess`: machines that a processor is assumed to lead while there are no loads
/// - `controllers`: their number, running or not
/// - `connections`: that each of them can hold
/// - `tables`: machines that the leader's memory can hold
pub fn max_machines(
    machines: usize,
    loads: &[f64],
    guess: usize,
    controllers: usize,
    connections: usize,
    tables: usize,
) -> (usize, FleetLimit) {
    let remaining_controllers = controllers.saturating_sub(1).max(1);
    let connectable =
        connections.saturating_sub(RESERVED_CONNECTIONS).max(MIN_CAPACITY) * remaining_controllers;
    let (mut limit, mut bound) = (connectable, FleetLimit::Connections);
    if tables < limit {
        (limit, bound) = (tables, FleetLimit::ClusterState);
    }
    if loads.is_empty() && guess < limit {
        (limit, bound) = (guess, FleetLimit::Processor);
    }
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    if busiest > MIN_SIGNIFICANT_LOAD {
        let affordable = (machines as f64 * MAX_MACHINE_LOAD / busiest).round() as usize;
        if affordable < limit {
            (limit, bound) = (affordable, FleetLimit::Processor);
        }
    }
    (limit.max(MIN_MACHINES), bound)
}
