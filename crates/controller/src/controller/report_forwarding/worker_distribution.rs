//! Distribution of workers over the controllers by the leader. It starts when there are too many workers for the leader
//! alone, and redirects one worker after another until each controller serves its share.

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
    /// Number of workers that report to it.
    workers: usize,
    /// Its CPU load as a share of its processor, if known.
    cpu_load: Option<f64>,
}

impl Controller {
    /// Whether this controller leads and there are too many workers for it alone, either by their connections or by the
    /// CPU load that they cause.
    pub(in crate::controller) fn distributes_workers(&self) -> bool {
        self.cluster_state.is_some() && self.distributes_workers
    }

    /// Maximum number of workers that this controller serves alone, from the memory for their connections.
    fn max_own_workers(&self) -> usize {
        let memory_kb = self.settings.settings.machine_limits.mem_mb * 1024.0;
        (memory_kb * DISTRIBUTION_MEMORY_SHARE) as usize / CONNECTION_KB
    }

    /// Starts to distribute workers above the limits, or stops well below them (hysteresis).
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

    /// Recounts the workers by the controller to which they report.
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

    /// Redirects a worker that reports to the leader itself, if the leader serves more than its share and a peer serves
    /// fewer. Returns the reply, or none if the worker stays.
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
        // The response to a stale copy is not received: the worker has already sent a newer report.
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
        let candidates = self.peers.iter().filter(|(_, peer)| {
            let is_fresh = now.saturating_sub(peer.health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS;
            is_fresh && !peer.is_leader && peer.health.highest_token == self.leadership.token
        });
        let targets = candidates.map(|(name, peer)| RedirectTarget {
            name: name.clone(),
            workers: self.workers_by_controller.get(name.as_str()).copied().unwrap_or(0),
            cpu_load: peer.cpu_load,
        });
        targets.min_by_key(|target| target.workers)
    }

    /// Whether the leader, with `own_workers`, should redirect a worker to `target`: it serves more than its share of the
    /// workers, or its CPU load is higher.
    fn should_redirect(&self, own_workers: usize, target: &RedirectTarget) -> bool {
        let fair_share =
            self.workers_by_controller.values().sum::<usize>() / self.settings.controllers();
        let slack = 1 + fair_share / REDIRECT_COUNT_MARGIN_DIVISOR;
        if own_workers > fair_share + slack && target.workers + slack < own_workers {
            return true;
        }
        // Equal shares would leave the leader with the highest load, since only the leader does placement.
        let max_connections = self.budget.connections.saturating_sub(RESERVED_CONNECTIONS);
        let loads = self.cpu.load().zip(target.cpu_load);
        loads.is_some_and(|(own, peer)| own > peer + REDIRECT_LOAD_MARGIN)
            && own_workers > slack
            && target.workers < max_connections
    }
}
