//! Scheduling cycles: when one runs, and what it does to the cluster state.
//!
//! A cycle asks `placement` for a plan and applies it (`plan_application`). Between mapping rounds it only places work
//! that found free capacity; a mapping round evaluates everything and also plans scale-out.

use super::plan_application::{apply_plan, promote_queued_jobs};
use super::{Controller, fleet_management};
use crate::cluster_state::{BindingGuard, ClusterState, ProvisioningRequest};
use crate::constants::{
    CYCLE_PAUSE_FACTOR, EVALUATION_COST_US, LONG_CYCLE_THRESHOLD_MS, MIN_CYCLE_INTERVAL_MS,
    MS_PER_S, SCORE_COST_US,
};
use crate::placement::{self, PlanningContext};
use std::cmp::Reverse;

/// What a scheduling cycle did and what it cost.
#[derive(Debug)]
pub struct CycleResult {
    /// Tasks bound.
    pub bound: usize,
    /// Scores computed: a cost that does not depend on the processor's speed.
    pub scores_computed: u64,
    /// Targets evaluated, the other part of the cost.
    pub targets_evaluated: u64,
    /// Machines to provision; none if the cycle was no mapping round or was cut short.
    pub provisioning_requests: Option<Vec<ProvisioningRequest>>,
}

impl CycleResult {
    /// Processor time that the cycle took by the measured costs, us of a whole core.
    fn cost_us(&self) -> f64 {
        self.targets_evaluated as f64 * EVALUATION_COST_US
            + self.scores_computed as f64 * SCORE_COST_US
    }
}

/// Runs a cycle on the cluster state: a mapping round (`full`), or what finds free capacity between rounds.
pub fn run_scheduling_cycle(
    state: &mut ClusterState,
    context: PlanningContext,
    full: bool,
) -> CycleResult {
    state.begin_cycle(context.now);
    state.count_free_resources(context.machine_types);
    let mut guard =
        BindingGuard::new(state, &context.settings.settings.teams, context.machine_types);
    let promoted = promote_queued_jobs(state, &mut guard, context);
    if promoted > 0 {
        state.count_free_resources(context.machine_types);
    }
    let mut plan = placement::plan_cycle(state, context, full);
    let provisioning_requests = plan.provisioning_requests.take();
    let (scores_computed, targets_evaluated) = (plan.scores_computed, plan.targets_examined);
    if let Some(starved) = plan.unplaced_jobs.take() {
        state.record_starved(starved, context.now);
    }
    let bound = promoted + apply_plan(state, &mut guard, context, plan);
    if provisioning_requests.is_some() {
        state.last_round_at = context.now;
        state.deadline_misses = 0;
    }
    CycleResult { bound, scores_computed, targets_evaluated, provisioning_requests }
}

impl Controller {
    /// Runs a scheduling cycle if one is due. Called after every event.
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

    /// Whether a cycle is due, and if so, whether it is a mapping round.
    fn due_cycle(&self) -> Option<bool> {
        let now = self.now.monotonic;
        let may_run = self.is_lease_confirmed() && now >= self.next_cycle_at;
        let state = self.cluster_state.as_ref().filter(|_| may_run)?;
        let round_ms = self.load_level.scaled_period_ms(self.job_policies.round_interval_ms);
        let cycle_ms = self.load_level.scaled_period_ms(MIN_CYCLE_INTERVAL_MS);
        placement::due_cycle(state, cycle_ms, round_ms, now)
    }

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

    /// Charges a cycle's cost. However large the cluster is, a long cycle is followed by a pause, so that status
    /// reports and the renewal of the lease have their turn.
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

    /// Commits the final records of jobs of which nothing is left to do.
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
