//! Scheduling cycles: when one runs, and how it changes the cluster state.
//!
//! A cycle requests a plan from `placement` and applies it (`plan_application`). A *mapping round* is a full cycle,
//! which evaluates all waiting work and also plans scale-out. Cycles between mapping rounds only place work that
//! finds free capacity.

use super::plan_application::{apply_plan, bind_from_run_queues};
use super::{Controller, fleet_management};
use crate::cluster_state::{BindingGuard, ClusterState, ProvisioningRequest};
use crate::constants::{
    CYCLE_PAUSE_FACTOR, EVALUATION_COST_US, LONG_CYCLE_THRESHOLD_MS, MIN_CYCLE_INTERVAL_MS,
    MS_PER_S, SCORE_COST_US,
};
use crate::placement::{self, PlanningContext};
use std::cmp::Reverse;

/// Result and cost of a scheduling cycle.
#[derive(Debug)]
pub struct CycleResult {
    /// Number of tasks bound.
    pub bound: usize,
    /// Number of scores computed: a cost that does not depend on the processor's speed.
    pub scores_computed: u64,
    /// Number of targets evaluated, the other part of the cost.
    pub targets_evaluated: u64,
    /// Machines to provision; `None` if the cycle was not a mapping round, or was cut short.
    pub provisioning_requests: Option<Vec<ProvisioningRequest>>,
}

impl CycleResult {
    /// Estimated processor time of the cycle, us of a whole core.
    fn cost_us(&self) -> f64 {
        self.targets_evaluated as f64 * EVALUATION_COST_US
            + self.scores_computed as f64 * SCORE_COST_US
    }
}

/// Runs a scheduling cycle on the cluster state. `full`: a mapping round; otherwise only work that finds free
/// capacity is placed.
pub fn run_scheduling_cycle(
    state: &mut ClusterState,
    context: PlanningContext,
    full: bool,
) -> CycleResult {
    state.begin_cycle(context.now);
    state.count_free_resources(context.machine_types);
    let mut guard =
        BindingGuard::new(state, &context.settings.settings.teams, context.machine_types);
    let bound_from_queues = bind_from_run_queues(state, &mut guard, context);
    if bound_from_queues > 0 {
        state.count_free_resources(context.machine_types);
    }
    let mut plan = placement::plan_cycle(state, context, full);
    let provisioning_requests = plan.provisioning_requests.take();
    let (scores_computed, targets_evaluated) = (plan.scores_computed, plan.targets_examined);
    if let Some(starved) = plan.unplaced_jobs.take() {
        state.record_starved(starved, context.now);
    }
    let bound = bound_from_queues + apply_plan(state, &mut guard, context, plan);
    if provisioning_requests.is_some() {
        state.last_round_at = context.now;
        state.deadline_misses = 0;
    }
    CycleResult { bound, scores_computed, targets_evaluated, provisioning_requests }
}

impl Controller {
    /// Runs a scheduling cycle if one is due, and queues the provisioning requests that it planned. Called after
    /// every event.
    pub(super) fn run_cycle_if_due(&mut self) {
        let Some(full) = self.due_cycle() else { return };
        self.update_job_policies(full);
        self.job_policies.bounds = self.cycle_bounds();
        let Some(result) = self.run_cycle(full) else { return };
        self.account_for_cycle(&result);
        let bound = result.bound;
        let mut requests = result.provisioning_requests.unwrap_or_default();
        requests.sort_by_key(|request| Reverse(request.count));
        self.limit_to_headroom(&mut requests);
        let now = self.now.monotonic;
        let Some(state) = &mut self.cluster_state else { return };
        fleet_management::enqueue_provisioning(state, &mut self.cloud, requests, now);
        if bound > 0 {
            self.with_cluster_state(|state, context| state.write_binding_log(context));
        }
    }

    /// `None` if no cycle is due; otherwise whether the due cycle is a mapping round.
    fn due_cycle(&self) -> Option<bool> {
        let now = self.now.monotonic;
        let may_run = self.is_lease_confirmed() && now >= self.next_cycle_at;
        let state = self.cluster_state.as_ref().filter(|_| may_run)?;
        let round_ms = self.load_level.scaled_period_ms(self.job_policies.round_interval_ms);
        let cycle_ms = self.load_level.scaled_period_ms(MIN_CYCLE_INTERVAL_MS);
        placement::due_cycle(state, cycle_ms, round_ms, now)
    }

    /// Runs a cycle. `None` if this controller does not lead or does not know the machine types.
    fn run_cycle(&mut self, full: bool) -> Option<CycleResult> {
        let state = self.cluster_state.as_mut()?;
        let machine_types = self.machine_types.as_ref()?;
        let context = PlanningContext {
            now: self.now.monotonic,
            wall_now: self.now.wall_clock,
            settings: &self.settings,
            machine_types,
            policy: &self.job_policies,
        };
        Some(run_scheduling_cycle(state, context, full))
    }

    /// Accounts for a cycle's cost. A long cycle is followed by a pause in proportion to its cost, so that status
    /// reports and lease renewals are handled in time even in a large cluster.
    fn account_for_cycle(&mut self, result: &CycleResult) {
        self.scores_computed += result.scores_computed;
        let cost_us = result.cost_us();
        self.cpu.charge_cycle(cost_us);
        let elapsed_ms = cost_us / MS_PER_S / self.settings.settings.machine_limits.cores;
        if elapsed_ms > LONG_CYCLE_THRESHOLD_MS {
            self.next_cycle_at = self.now.monotonic + (elapsed_ms * CYCLE_PAUSE_FACTOR) as u64;
        }
        self.plugin_host.end_cycle(result.scores_computed);
    }

    /// Closes the jobs that have finished since the last call, by committing their final records.
    pub(super) fn close_finished_jobs(&mut self) {
        if !self.is_lease_confirmed() {
            return;
        }
        self.with_cluster_state(|state, context| {
            for id in state.take_maybe_finished() {
                state.close_if_finished(&id, context);
            }
        });
    }
}
