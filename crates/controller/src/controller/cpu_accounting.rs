//! What this node's work costs it, and what it does less of when it falls behind.

use super::{Controller, Event};
use crate::Time;
use crate::cluster_state::{ClusterState, ProvisioningRequest};
use crate::constants::{
    CALL_US, CYCLE_BINDINGS_MAX, CYCLE_EVALUATION_MS, CYCLE_JOBS, CYCLE_JOBS_MIN, CYCLE_QUEUED_MAX,
    EVALUATION_US, FORWARDED_REPORT_US, HEARTBEAT_FRESH_MS, MS_PER_S, PLACE_BYTES, RENT_BATCH_MAX,
    REPORT_US, RUN_QUEUES_MAX, RUN_QUEUES_MIN, SHARE_BELIEVED, STATUS_MS, TASK_STATUS_US,
    TICK_MACHINE_US, TICK_MS, TICK_US, UNCHANGED_MACHINE_US,
};
use crate::cycle_policy::CycleBounds;
use crate::machine::MachineState;
use crate::settings::Settings;
use crate::store::StoreOutcome;
use swiftsail_overload_control::constants::{
    DELAY_INTERVAL_MS, LOAD_SMOOTHING_MS, MAX_MACHINE_LOAD,
};
use swiftsail_overload_control::fleet_limit::{FleetLimit, max_machines};
use swiftsail_overload_control::load_level::LoadLevel;
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_protocol::controllers::ForwardedReport;

impl Controller {
    /// A timer step has come: how late tells how long work waits for the processor.
    pub(super) fn update_load_level(&mut self, now: Time) {
        let due = self.last_tick_at + TICK_MS;
        self.account_cpu_use(now);
        let first = std::mem::replace(&mut self.last_tick_at, now) == 0;
        if !first && self.load_level.record_delay(now.saturating_sub(due), now) {
            let level = self.load_level.level();
            tracing::info!(?level, load = ?self.cpu_load.share(), "load level changed");
        }
    }

    /// How pressed this node is: the front sheds by it.
    pub fn load_level(&self) -> LoadLevel {
        self.load_level.level()
    }

    /// The process has used so much of a core. What is more than its share can hold is not the
    /// processor's time: some platforms answer that clock with the steady time.
    pub(super) fn on_cpu_usage(&mut self, us: u64, over_ms: u64) {
        if us as f64 <= self.cpu_share_us(over_ms) * SHARE_BELIEVED {
            self.cpu_measured_at = self.now.monotonic;
            self.note_load(us as f64, over_ms);
        }
    }

    fn note_load(&mut self, us: f64, over_ms: u64) {
        let passes = self.cycle_cost_us - self.cost_snapshot.2;
        self.cost_snapshot = (self.now.monotonic, self.event_cost_us, self.cycle_cost_us);
        let whole = self.cpu_share_us(over_ms);
        self.cpu_load.record(us / whole, over_ms as f64);
        // Placement makes do with what is left: it says nothing about how many machines can be led.
        self.baseline_cpu_load.record((us - passes).max(0.0) / whole, over_ms as f64);
    }

    /// Processor time that the platform gives in so much time, us.
    fn cpu_share_us(&self, over_ms: u64) -> f64 {
        over_ms as f64 * MS_PER_S * self.settings.settings.machine_limits.cores
    }

    /// Counts what an event costs, by what was measured for its kind, us of a whole core.
    pub(super) fn charge_event(&mut self, event: &Event) {
        let machines = self.cluster_state.as_ref().map_or(0, |l| l.machines.len());
        self.event_cost_us += match event {
            Event::Tick => TICK_US + machines as f64 * TICK_MACHINE_US,
            Event::StatusReport(_, report) | Event::CommandResponse(report) => {
                REPORT_US + report.tasks.len() as f64 * TASK_STATUS_US
            }
            Event::ForwardedReports(_, batch) => {
                let shards = batch.reports.iter().map(|p| match p {
                    ForwardedReport::Full { report, .. } => 1 + report.tasks.len(),
                    ForwardedReport::Unchanged { .. } => 1,
                });
                let shards: usize = shards.sum();
                let each = batch.reports.len() as f64 * FORWARDED_REPORT_US
                    + shards as f64 * TASK_STATUS_US;
                CALL_US + each + batch.locally_answered.len() as f64 * UNCHANGED_MACHINE_US
            }
            Event::ForwardedAnswers(_, Some(answers)) => {
                CALL_US + answers.commands.len() as f64 * TASK_STATUS_US
            }
            Event::UserRequest(..) => REPORT_US,
            Event::StoreResponse(_, StoreOutcome::Page(page)) => {
                CALL_US + page.entries.len() as f64 * FORWARDED_REPORT_US
            }
            _ => CALL_US,
        };
    }

    /// What this node's work has cost since it began, by count, us of a whole core.
    pub fn cost_us(&self) -> f64 {
        self.event_cost_us + self.cycle_cost_us
    }

    /// With every timer step: where the platform does not tell what the process uses, it is counted.
    fn account_cpu_use(&mut self, now: Time) {
        let over_ms = now.saturating_sub(self.cost_snapshot.0);
        if over_ms >= DELAY_INTERVAL_MS && now >= self.cpu_measured_at + LOAD_SMOOTHING_MS as u64 {
            let us = self.event_cost_us - self.cost_snapshot.1 + self.cycle_cost_us
                - self.cost_snapshot.2;
            self.note_load(us, over_ms);
        }
    }

    /// Bounds of the next pass.
    pub(super) fn cycle_bounds(&self) -> CycleBounds {
        let machines = self.cluster_state.as_ref().map_or(0, |l| l.machines.len());
        let waits = |l: &ClusterState| l.jobs.values().filter(|j| j.has_queued_tasks()).count();
        let open = self.cluster_state.as_ref().map_or(0, waits).max(1);
        // Each job that waits looks at every place, twice if it does not pass. Hundreds of jobs of one task
        // at thousands of lines took longer than the grant lasts.
        let looks =
            (self.cpu_share_us(CYCLE_EVALUATION_MS as u64) / (2.0 * EVALUATION_US)) as usize;
        let lines = (looks / open).saturating_sub(machines).max(RUN_QUEUES_MIN);
        let lines = self.load_level.scaled_work(RUN_QUEUES_MAX).min(lines);
        let places = (machines + lines).max(1);
        let by_memory = self.budget.scheduling_cycle_bytes / (places * PLACE_BYTES);
        let jobs = self.load_level.scaled_work(CYCLE_JOBS).min(by_memory).min(looks / places);
        CycleBounds {
            max_bindings: self.load_level.scaled_work(CYCLE_BINDINGS_MAX),
            max_queue_joins: self.load_level.scaled_work(CYCLE_QUEUED_MAX),
            max_jobs_per_level: jobs.max(CYCLE_JOBS_MIN),
            max_queues: lines,
            is_fleet_near_limit: self.machines_left() < RENT_BATCH_MAX as usize,
        }
    }

    /// Machines that these controllers can hear and lead, and what bounds them.
    pub(super) fn max_machines(&self) -> (usize, FleetLimit) {
        let machines = self.cluster_state.as_ref().map_or(0, |l| l.machines.len());
        let heard = |at: Time| self.now.monotonic.saturating_sub(at) <= HEARTBEAT_FRESH_MS;
        let peers = self.peers.values().filter(|p| heard(p.health.heard_at));
        let loads: Vec<f64> =
            peers.filter_map(|p| p.baseline_load).chain(self.baseline_cpu_load.share()).collect();
        let Settings { settings, .. } = &*self.settings;
        let each_us = REPORT_US / settings.workers.report_s;
        let whole_us =
            self.cpu_share_us(1_000) * MAX_MACHINE_LOAD * self.settings.controllers() as f64;
        let guess = (whole_us / each_us) as usize;
        let MemoryBudget { connections, machines: tables, .. } = self.budget;
        max_machines(machines, &loads, guess, self.settings.controllers(), connections, tables)
    }

    /// Machines that may still be rented.
    fn machines_left(&self) -> usize {
        let Some(leader) = &self.cluster_state else { return 0 };
        let gone =
            leader.machines.values().filter(|m| m.state() == MachineState::Terminating).count();
        let asked: usize =
            leader.provisioning.open_requests().map(|(wish, _)| wish.number as usize).sum();
        let there = (leader.machines.len() - gone) + asked;
        self.max_machines().0.saturating_sub(there)
    }

    /// Whether there are more machines than can be led: idle ones then go at once.
    pub(super) fn is_crowded(&self) -> bool {
        self.cluster_state.as_ref().is_some_and(|l| l.machines.len() > self.max_machines().0)
    }

    /// Leaves out wishes beyond what these controllers can lead, the least wanted last.
    pub(super) fn limit_to_headroom(&mut self, wishes: &mut Vec<ProvisioningRequest>) {
        let wanted: usize = wishes.iter().map(|w| w.number as usize).sum();
        let mut left = self.machines_left();
        if wanted <= left {
            return;
        }
        let (most, bound) = self.max_machines();
        let now = self.now.monotonic;
        if now >= self.bound_logged_at + STATUS_MS {
            self.bound_logged_at = now;
            tracing::warn!(wanted, left, most, ?bound, "scale out limited by controller capacity");
        }
        for wish in wishes.iter_mut() {
            wish.number = wish.number.min(left as u32);
            left -= wish.number as usize;
        }
        wishes.retain(|w| w.number > 0);
    }
}
