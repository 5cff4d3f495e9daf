//! Distribution of workers over the controllers, by the leader: begins when they are too many for it alone, and
//! redirects one worker after the other until each controller has its part.

use crate::constants::{
    DISTRIBUTION_CPU_LOAD, DISTRIBUTION_MEMORY_SHARE, HEARTBEAT_VALIDITY_MS, REDIRECT_COOLDOWN_MS,
    REDIRECT_COUNT_MARGIN_DIVISOR, REDIRECT_LOAD_MARGIN,
};
use crate::controller::requests::replies::http_status;
use crate::controller::{Controller, Reply};
use crate::machine::MessageOrder;
use std::sync::Arc;
use swiftsail_overload_control::constants::{CONNECTION_KB, RESERVED_CONNECTIONS};
use swiftsail_protocol::workers::{Redirect, StatusReport};

/// A controller that could take over a worker.
struct RedirectTarget {
    name: String,
    /// Workers that report to it.
    workers: usize,
    /// Its processor load, if known.
    cpu_load: Option<f64>,
}

impl Controller {
    /// Whether this controller leads and the workers are too many for it alone, by their connections or by what they
    /// cost its processor.
    pub(in crate::controller) fn distributes_workers(&self) -> bool {
        self.cluster_state.is_some() && self.distributes_workers
    }

    /// Workers whose connections this controller's memory allows before they are distributed.
    fn max_own_workers(&self) -> usize {
        let memory_kb = self.settings.settings.machine_limits.mem_mb * 1024.0;
        (memory_kb * DISTRIBUTION_MEMORY_SHARE) as usize / CONNECTION_KB
    }

    /// Begins to distribute workers, or ceases to well below where it began.
    fn update_worker_distribution(&mut self) {
        let machines = self.cluster_state.as_ref().map_or(0, |state| state.machines.len());
        let machine_load = self.cpu.baseline_load().unwrap_or(0.0);
        let (max_machines, max_load) = if self.distributes_workers {
            (self.max_own_workers() * 3 / 4, DISTRIBUTION_CPU_LOAD / 2.0)
        } else {
            (self.max_own_workers(), DISTRIBUTION_CPU_LOAD)
        };
        self.distributes_workers =
            self.settings.controllers() > 1 && (machines > max_machines || machine_load > max_load);
    }

    /// Counts workers by the controller that they report to.
    pub(in crate::controller) fn count_workers_by_controller(&mut self) {
        self.workers_by_controller.clear();
        self.update_worker_distribution();
        let Some(state) = &self.cluster_state else { return };
        let own_name: Arc<str> = self.settings.host_name.as_str().into();
        for machine in state.machines.values().filter(|m| m.last_contact_at.is_some()) {
            let controller = machine.forwarded_by.clone().unwrap_or(own_name.clone());
            *self.workers_by_controller.entry(controller).or_default() += 1;
        }
    }

    /// Redirects a worker that reports to the leader itself, if the leader has more than its part and another
    /// controller has fewer.
    pub(in crate::controller) fn redirect_to_less_loaded(
        &mut self,
        report: &StatusReport,
    ) -> Option<Reply> {
        if !self.distributes_workers() {
            return None;
        }
        let now = self.now.monotonic;
        let own_name: Arc<str> = self.settings.host_name.as_str().into();
        let own_workers = self.workers_by_controller.get(&own_name).copied().unwrap_or(0);
        let target = self.least_loaded_peer()?;
        if !self.should_redirect(own_workers, &target) {
            return None;
        }
        let machine = self.cluster_state.as_mut()?.machines.get_mut(report.machine.as_str())?;
        // Nobody waits for the response to a late copy: its worker is elsewhere.
        if MessageOrder::of(report) <= machine.last_message {
            return None;
        }
        if machine.redirected_at.is_some_and(|at| now < at + REDIRECT_COOLDOWN_MS) {
            return None;
        }
        machine.redirected_at = Some(now);
        *self.workers_by_controller.entry(own_name).or_default() -= 1;
        *self.workers_by_controller.entry(target.name.as_str().into()).or_default() += 1;
        Some(Reply::new(http_status::MISDIRECTED, &Redirect { controller: Some(target.name) }))
    }

    /// The follower with the fewest workers among those whose heartbeats are fresh and show this leader's token.
    fn least_loaded_peer(&self) -> Option<RedirectTarget> {
        let now = self.now.monotonic;
        let able = self.peers.iter().filter(|(_, peer)| {
            let is_fresh = now.saturating_sub(peer.health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS;
            is_fresh && !peer.is_leader && peer.health.highest_token == self.leadership.token
        });
        let targets = able.map(|(name, peer)| RedirectTarget {
            name: name.clone(),
            workers: self.workers_by_controller.get(name.as_str()).copied().unwrap_or(0),
            cpu_load: peer.load,
        });
        targets.min_by_key(|target| target.workers)
    }

    fn should_redirect(&self, own_workers: usize, target: &RedirectTarget) -> bool {
        let fair_part =
            self.workers_by_controller.values().sum::<usize>() / self.settings.controllers();
        let slack = 1 + fair_part / REDIRECT_COUNT_MARGIN_DIVISOR;
        if own_workers > fair_part + slack && target.workers + slack < own_workers {
            return true;
        }
        // Equal parts would leave the leader the busiest, since placement is its alone.
        let max_connections = self.budget.connections.saturating_sub(RESERVED_CONNECTIONS);
        let loads = self.cpu.load().zip(target.cpu_load);
        loads.is_some_and(|(own, theirs)| own > theirs + REDIRECT_LOAD_MARGIN)
            && own_workers > slack
            && target.workers < max_connections
    }
}
