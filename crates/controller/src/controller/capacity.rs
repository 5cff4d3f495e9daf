//! Capacity of the controllers: the bounds of a scheduling cycle, and the number of machines that the controllers can
//! manage with their processors, memory and connections.

use super::Controller;
use crate::cluster_state::{ClusterState, ProvisioningRequest};
use crate::constants::{
    COMMAND_MEMORY_BYTES, EVALUATED_TARGET_BYTES, EVALUATION_COST_US, HEARTBEAT_VALIDITY_MS,
    MAX_CYCLE_BINDINGS, MAX_CYCLE_EVALUATION_MS, MAX_CYCLE_JOBS, MAX_CYCLE_QUEUE_JOINS,
    MAX_PROVISION_BATCH, MAX_RUN_QUEUES, MIN_CYCLE_JOBS, MIN_RUN_QUEUES,
    OTHER_JOBS_ATTEMPTS_DIVISOR, REPORT_COST_US, STATUS_LOG_INTERVAL_MS, STOP_COST_US,
    STOP_CPU_SHARE, TICK_INTERVAL_MS,
};
use crate::cycle_policy::CycleBounds;
use crate::machine::MachineState;
use swiftsail_overload_control::constants::MAX_MACHINE_LOAD;
use swiftsail_overload_control::fleet_limit::{FleetLimit, max_machines};
use swiftsail_protocol::constants::MAX_TASKS;

/// Maximum number of evaluations of a target for one job in a cycle: a second one follows if the first did not pass
/// the pruning threshold.
const EVALUATIONS_PER_TARGET: f64 = 2.0;

impl Controller {
    /// Number of machines that the leader manages; 0 for a follower.
    pub(super) fn machine_count(&self) -> usize {
        self.cluster_state.as_ref().map_or(0, |state| state.machines.len())
    }

    /// Bounds of the next scheduling cycle. Without them, hundreds of single-task jobs with thousands of run queues
    /// to choose from took longer than the leader's lease lasts.
    pub(super) fn cycle_bounds(&self) -> CycleBounds {
        let machines = self.machine_count();
        let queued_jobs =
            |state: &ClusterState| state.jobs.values().filter(|job| job.has_queued_tasks()).count();
        let waiting_jobs = self.cluster_state.as_ref().map_or(0, queued_jobs).max(1);
        let available_us = self.cpu.available_us(MAX_CYCLE_EVALUATION_MS as u64);
        let evaluations = (available_us / (EVALUATIONS_PER_TARGET * EVALUATION_COST_US)) as usize;
        let queues = (evaluations / waiting_jobs).saturating_sub(machines).max(MIN_RUN_QUEUES);
        let queues = self.load_level.scaled_work(MAX_RUN_QUEUES).min(queues);
        let targets = (machines + queues).max(1);
        let by_memory = self.budget.scheduling_cycle_bytes / (targets * EVALUATED_TARGET_BYTES);
        let by_processor = evaluations / targets;
        let jobs = self.load_level.scaled_work(MAX_CYCLE_JOBS).min(by_memory).min(by_processor);
        CycleBounds {
            max_bindings: self.load_level.scaled_work(MAX_CYCLE_BINDINGS),
            max_attempts: self.max_attempts(),
            max_queue_joins: self.load_level.scaled_work(MAX_CYCLE_QUEUE_JOINS),
            max_jobs_per_level: jobs.max(MIN_CYCLE_JOBS),
            max_queues: queues,
            is_fleet_near_limit: self.machine_headroom() < MAX_PROVISION_BATCH as usize,
        }
    }

    /// Attempts of all jobs together at most: as many as the cluster state's share of the memory holds, but enough for one
    /// job of the protocol's largest size and [`OTHER_JOBS_ATTEMPTS_DIVISOR`] of that for others, since a gang or a
    /// service runs as a whole or not at all.
    pub(super) fn max_attempts(&self) -> usize {
        let largest_job = MAX_TASKS as usize;
        self.budget.attempts.max(largest_job + largest_job / OTHER_JOBS_ATTEMPTS_DIVISOR)
    }

    /// Number of attempts at most whose stopping advances in one tick, within the processor and memory of the settings.
    pub(super) fn max_stops_per_tick(&self) -> usize {
        let available_us = self.cpu.available_us(TICK_INTERVAL_MS) * STOP_CPU_SHARE;
        let by_processor = (available_us / STOP_COST_US) as usize;
        by_processor.min(self.budget.body_bytes / COMMAND_MEMORY_BYTES).max(1)
    }

    /// The number of machines that the controllers together can manage, and the resource that limits it.
    pub(super) fn max_machines(&self) -> (usize, FleetLimit) {
        let now = self.now.monotonic;
        let is_fresh =
            |heard_at: crate::Time| now.saturating_sub(heard_at) <= HEARTBEAT_VALIDITY_MS;
        let peers = self.peers.values().filter(|peer| is_fresh(peer.health.heartbeat_at));
        let peer_loads = peers.filter_map(|peer| peer.baseline_load);
        let loads: Vec<f64> = peer_loads.chain(self.cpu.baseline_load()).collect();
        let controllers = self.settings.controllers();
        let us_per_machine = REPORT_COST_US / self.settings.settings.workers.report_s;
        let available_us = self.cpu.available_us(1_000) * MAX_MACHINE_LOAD * controllers as f64;
        let estimate = (available_us / us_per_machine) as usize;
        let (connections, by_memory) = (self.budget.connections, self.budget.machines);
        max_machines(self.machine_count(), &loads, estimate, controllers, connections, by_memory)
    }

    /// Number of machines that may still be provisioned.
    fn machine_headroom(&self) -> usize {
        let Some(state) = &self.cluster_state else { return 0 };
        let is_terminating =
            |machine: &&crate::machine::Machine| machine.state() == MachineState::Terminating;
        let terminating = state.machines.values().filter(is_terminating).count();
        let requested: usize =
            state.provisioning.open_requests().map(|(request, _)| request.count as usize).sum();
        let expected = (state.machines.len() - terminating) + requested;
        self.max_machines().0.saturating_sub(expected)
    }

    /// Whether there are more machines than the controllers can manage. Idle machines are then terminated at once.
    pub(super) fn fleet_exceeds_limit(&self) -> bool {
        self.cluster_state.is_some() && self.machine_count() > self.max_machines().0
    }

    /// Reduces provisioning requests to the number of machines that the controllers can still manage. Requests that
    /// come first take precedence.
    pub(super) fn limit_to_headroom(&mut self, requests: &mut Vec<ProvisioningRequest>) {
        let requested: usize = requests.iter().map(|request| request.count as usize).sum();
        let mut headroom = self.machine_headroom();
        if requested <= headroom {
            return;
        }
        let (max_machines, limit) = self.max_machines();
        let now = self.now.monotonic;
        if now >= self.scale_out_limit_logged_at + STATUS_LOG_INTERVAL_MS {
            self.scale_out_limit_logged_at = now;
            tracing::warn!(
                wanted = requested,
                left = headroom,
                most = max_machines,
                bound = ?limit,
                "scale out limited by controller capacity"
            );
        }
        for request in requests.iter_mut() {
            request.count = request.count.min(headroom as u32);
            headroom -= request.count as usize;
        }
        requests.retain(|request| request.count > 0);
    }
}
