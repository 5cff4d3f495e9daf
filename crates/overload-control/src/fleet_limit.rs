//! How many machines these controllers can hear and lead, from what leading the present ones costs.

use crate::constants::{
    LOAD_SMOOTHING_MS, MAX_MACHINE_LOAD, MIN_MACHINES, MIN_PART, MIN_SIGNIFICANT_LOAD,
    RESERVED_CONNECTIONS,
};

/// A controller's load: the share of its processor that it used, smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CpuLoad {
    smoothed_share: f64,
    observed_ms: f64,
}

impl CpuLoad {
    /// Notes that `share` of the processor was used over the last `over_ms`.
    pub fn record(&mut self, share: f64, over_ms: f64) {
        if !(share.is_finite() && over_ms.is_finite() && over_ms > 0.0) {
            return;
        }
        // Until a time constant has passed it is the plain mean.
        self.observed_ms = (self.observed_ms + over_ms).min(LOAD_SMOOTHING_MS);
        let weight = (over_ms / self.observed_ms).min(1.0);
        self.smoothed_share += (share.max(0.0) - self.smoothed_share) * weight;
    }

    /// The load, if it has been seen for long enough to conclude from.
    pub fn share(&self) -> Option<f64> {
        (self.observed_ms >= LOAD_SMOOTHING_MS).then_some(self.smoothed_share)
    }
}

/// What bounds the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetLimit {
    /// A controller's processor.
    Processor,
    /// Connections of the controllers that are left if one ends.
    Connections,
    /// The leader's tables.
    ClusterState,
}

/// Machines that can be led, and what bounds them. `machines` are led now; `loads` are the smoothed
/// loads of all controllers that are heard, and while there are none `guess` machines are taken to be
/// what processors can hear; `controllers` are there in all, each with `connections` and room for `tables`
/// machines.
pub fn max_machines(
    machines: usize,
    loads: &[f64],
    guess: usize,
    controllers: usize,
    connections: usize,
    tables: usize,
) -> (usize, FleetLimit) {
    let left = controllers.saturating_sub(1).max(1);
    let heard = connections.saturating_sub(RESERVED_CONNECTIONS).max(MIN_PART) * left;
    let mut found = (heard, FleetLimit::Connections);
    if tables < found.0 {
        found = (tables, FleetLimit::ClusterState);
    }
    if loads.is_empty() && guess < found.0 {
        found = (guess, FleetLimit::Processor);
    }
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    if busiest > MIN_SIGNIFICANT_LOAD {
        let led = (machines as f64 * MAX_MACHINE_LOAD / busiest).round() as usize;
        if led < found.0 {
            found = (led, FleetLimit::Processor);
        }
    }
    (found.0.max(MIN_MACHINES), found.1)
}
