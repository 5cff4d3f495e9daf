//! Limit on the number of machines that the controllers can manage, estimated from the cost of managing the current
//! ones. Scale-out stops at the limit. Pure functions of loads and counts.

use crate::constants::{
    LOAD_SMOOTHING_MS, MAX_MACHINE_LOAD, MIN_CAPACITY, MIN_MACHINES, MIN_SIGNIFICANT_LOAD,
    RESERVED_CONNECTIONS,
};

/// A controller's CPU load: the share of its processor that it uses, exponentially smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CpuLoad {
    smoothed_share: f64,
    observed_ms: f64,
}

impl CpuLoad {
    /// Records that `share` of the processor (1: all of it) was used over the last `period_ms`. Values that are not
    /// finite, and periods that are not positive, are ignored.
    pub fn record(&mut self, share: f64, period_ms: f64) {
        if !(share.is_finite() && period_ms.is_finite() && period_ms > 0.0) {
            return;
        }
        // Until the time constant has passed, this is the arithmetic mean.
        self.observed_ms = (self.observed_ms + period_ms).min(LOAD_SMOOTHING_MS);
        let weight = (period_ms / self.observed_ms).min(1.0);
        self.smoothed_share += (share.max(0.0) - self.smoothed_share) * weight;
    }

    /// The smoothed share. None until the load has been observed for the time constant of the smoothing.
    pub fn share(&self) -> Option<f64> {
        (self.observed_ms >= LOAD_SMOOTHING_MS).then_some(self.smoothed_share)
    }
}

/// The resource that bounds the number of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetLimit {
    /// The processor of a controller.
    Processor,
    /// The connections of the controllers that remain if one fails.
    Connections,
    /// The memory for the leader's cluster state.
    ClusterState,
}

/// Returns the number of machines that the controllers can manage, at least [`MIN_MACHINES`], and the resource that
/// bounds it.
///
/// - `machines`: number of machines managed now
/// - `loads`: smoothed CPU loads of all controllers with fresh heartbeats
/// - `assumed_machines`: number of machines that a processor is assumed to manage while `loads` is empty
/// - `controllers`: number of controllers, running or not
/// - `connections`: number of connections that each controller can hold
/// - `cluster_state_machines`: number of machines that fit into the leader's memory for the cluster state
pub fn max_machines(
    machines: usize,
    loads: &[f64],
    assumed_machines: usize,
    controllers: usize,
    connections: usize,
    cluster_state_machines: usize,
) -> (usize, FleetLimit) {
    let remaining_controllers = controllers.saturating_sub(1).max(1);
    let connectable =
        connections.saturating_sub(RESERVED_CONNECTIONS).max(MIN_CAPACITY) * remaining_controllers;
    let (mut limit, mut bound) = (connectable, FleetLimit::Connections);
    if cluster_state_machines < limit {
        (limit, bound) = (cluster_state_machines, FleetLimit::ClusterState);
    }
    if loads.is_empty() && assumed_machines < limit {
        (limit, bound) = (assumed_machines, FleetLimit::Processor);
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
