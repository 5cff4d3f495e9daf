//! The leader's fleet of machines: scale-out, scale-in, draining and liveness probes. `placement` and `fleet` plan;
//! this module applies their plans to the cluster state, and is the only one that requests machines from the cloud.

use super::{Action, Controller};
use crate::Time;
use crate::cloud::{CloudCall, CloudClient, CloudOutcome};
use crate::cluster_state::{ClusterState, ProvisioningRequest};
use crate::constants::{
    HEARTBEAT_VALIDITY_MS, IDLE_CHECK_INTERVAL_MS, LEASE_TTL_MS, LIVENESS_CHECK_INTERVAL_MS,
    MAX_PROVISION_BATCH, MIGRATION_INTERVAL_MS,
};
use crate::fleet::{self, FleetPlan};
use crate::job::MachineId;
use crate::placement::PlanningContext;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::workers::StatusReport;

/// Queues provisioning requests for the cloud, in the given order. If a request for the same offer (type, zone, spot)
/// has not been sent yet, its number of machines is increased instead, since the cloud accepts few calls per second.
/// Requests above the batch size of the cloud's protocol are split.
pub fn enqueue_provisioning(
    state: &mut ClusterState,
    cloud: &mut CloudClient,
    requests: Vec<ProvisioningRequest>,
    now: Time,
) {
    for request in requests {
        let mut remaining = request.count;
        for (request_id, open) in state.provisioning.unsent_requests(&request) {
            let added = remaining.min(MAX_PROVISION_BATCH.saturating_sub(open.request.count));
            if added > 0 && cloud.enlarge_queued_request(request_id, open.request.count + added) {
                open.request.count += added;
                remaining -= added;
            }
        }
        while remaining > 0 {
            let number = remaining.min(MAX_PROVISION_BATCH);
            remaining -= number;
            tracing::info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot, number, "scale out");
            let batch = ProvisioningRequest { count: number, ..request.clone() };
            let request_id = state.provisioning.open_request(state.token, batch.clone(), now);
            cloud.enqueue(CloudCall::Provision(batch.to_wire(&request_id)));
        }
    }
}

/// Plans changes of the fleet and applies them. Called at every tick of the leader. `store_answers`: the state
/// service has responded within the time to live of the leader's lease. Returns the machines to probe.
pub fn update_fleet(
    state: &mut ClusterState,
    cloud: &mut CloudClient,
    context: PlanningContext,
    store_answers: bool,
) -> Vec<MachineId> {
    let now = context.now;
    let to_probe = if now >= state.machines_checked_at + LIVENESS_CHECK_INTERVAL_MS {
        state.check_machine_liveness(&context.settings.settings, now)
    } else {
        Vec::new()
    };
    let provisioning = &state.provisioning;
    let checks_idle = now >= provisioning.idle_checked_at + IDLE_CHECK_INTERVAL_MS;
    let checks_consolidation = now >= provisioning.moves_checked_at + MIGRATION_INTERVAL_MS;
    if checks_idle || checks_consolidation {
        state.count_free_resources(context.machine_types);
    }
    let plan = fleet::plan_fleet(state, context, store_answers);
    refresh_cloud_inventory(state, cloud, &plan, now);
    apply_fleet_plan(state, plan, now);
    terminate_machines(state, cloud, now);
    to_probe
}

/// Requests the cloud's lists of machines and machine types, as far as the plan asks for them.
fn refresh_cloud_inventory(
    state: &mut ClusterState,
    cloud: &mut CloudClient,
    plan: &FleetPlan,
    now: Time,
) {
    if plan.refresh_machine_list {
        state.provisioning.listed_at = now;
        state.provisioning.is_listing = true;
        cloud.enqueue(CloudCall::ListMachines(None));
    }
    if plan.refresh_machine_types {
        state.provisioning.types_requested_at = now;
        cloud.enqueue(CloudCall::ListTypes);
    }
}

/// Applies a plan to the cluster state: marks machines for termination, requests stops of tasks and changes the
/// states of machines.
fn apply_fleet_plan(state: &mut ClusterState, plan: FleetPlan, now: Time) {
    for (id, reason) in plan.returns {
        let is_unreachable =
            matches!(reason, fleet::RETURN_REASON_UNREACHABLE | fleet::RETURN_REASON_NOT_REPORTING);
        if state.request_return(&id, reason, now) && is_unreachable {
            state.provisioning.record_unreachable_return(now);
        }
        if reason == fleet::RETURN_REASON_CANCELLED {
            state.provisioning.mark_urgent(&id);
        }
    }
    for (job, task) in plan.stops {
        state.request_stop(&job, task);
    }
    for (id, machine_state) in plan.state_changes {
        state.machine_entry(&id, now).advance(machine_state);
    }
    if plan.checked_idle_machines {
        state.provisioning.idle_checked_at = now;
    }
    if plan.checked_consolidation {
        state.provisioning.moves_checked_at = now;
    }
}

/// Queues termination requests for the machines that are marked for it. Urgent ones are added only if no termination
/// request is waiting to be sent.
fn terminate_machines(state: &mut ClusterState, cloud: &mut CloudClient, now: Time) {
    let urgent = if cloud.has_queued_return() {
        Vec::new()
    } else {
        state.provisioning.next_urgent_returns(now)
    };
    for batch in [urgent, state.provisioning.next_returns()] {
        if !batch.is_empty() {
            tracing::info!(machines = batch.len(), "scale in");
            cloud.enqueue(CloudCall::Return(batch.iter().map(|id| id.to_string()).collect()));
        }
    }
}

impl Controller {
    /// Manages the fleet and sends liveness probes. Called at every tick of the leader.
    pub(super) fn manage_fleet(&mut self) {
        let now = self.now.monotonic;
        let exceeds_limit = self.fleet_exceeds_limit();
        let reachable_zones = self.reachable_zones();
        let Some(state) = &mut self.cluster_state else { return };
        if exceeds_limit {
            self.job_policies.idle_timeout_ms = 0;
        }
        state.reachable_zones = reachable_zones;
        let machine_types = self.machine_types.clone().unwrap_or_default();
        let last_success = self.store.last_success_at;
        let store_answers = last_success.is_some_and(|at| now.saturating_sub(at) <= LEASE_TTL_MS);
        let context = PlanningContext {
            now,
            wall_now: self.now.wall_clock,
            settings: &self.settings,
            machine_types: &machine_types,
            policy: &self.job_policies,
        };
        for id in update_fleet(state, &mut self.cloud, context, store_answers) {
            let machine = state.machines.get_mut(&id);
            let Some(machine) = machine.filter(|m| !m.address.is_empty()) else {
                // Not in the machine list yet, so its address is unknown.
                state.on_probed(&id, ProbeOutcome::Refused, None, now);
                continue;
            };
            if self.previous_term_probes.contains_key(&id) {
                machine.probe_baseline = None;
            }
            self.actions.push(Action::ProbeMachine(id, machine.address.clone()));
        }
    }

    /// Zones with a controller whose heartbeats arrive, this controller's own zone included.
    fn reachable_zones(&self) -> std::collections::BTreeSet<String> {
        let now = self.now.monotonic;
        let is_reachable = |name: &String| {
            let peer = self.peers.get(name);
            peer.is_some_and(|p| now.saturating_sub(p.health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS)
        };
        let others = self.settings.others.iter().filter(|other| is_reachable(&other.host_name));
        let own = std::iter::once(&self.settings.site);
        others.map(|other| &other.site).chain(own).cloned().collect()
    }

    /// Handles the end of a probe of a machine, with or without an answer.
    pub(super) fn on_probe_finished(
        &mut self,
        id: &MachineId,
        outcome: ProbeOutcome,
        report: Option<Box<StatusReport>>,
    ) {
        // While a probe of an earlier term is open, it is unknown which of the probes this answers. The report then
        // counts like any other report, and is no evidence of a restart of the worker.
        let is_ambiguous = self.close_previous_term_probe(id);
        if !is_ambiguous && let Some(state) = &mut self.cluster_state {
            state.on_probed(id, outcome, report.as_deref(), self.now.monotonic);
        }
        tracing::debug!(machine = %id, probe = ?outcome, "machine probed");
        if let Some(report) = report {
            self.on_command_response(&report);
        }
    }

    /// Counts one probe of this machine from an earlier term as finished, if one is open. Returns whether one was.
    fn close_previous_term_probe(&mut self, id: &MachineId) -> bool {
        let Some(open) = self.previous_term_probes.get_mut(id) else { return false };
        *open -= 1;
        if *open == 0 {
            self.previous_term_probes.remove(id);
        }
        true
    }

    /// Handles the outcome of a call to the cloud.
    pub(super) fn on_cloud_response(&mut self, call: &CloudCall, outcome: &CloudOutcome) {
        self.cloud.on_outcome(outcome, self.now.monotonic);
        if let CloudOutcome::Types(types) = outcome {
            self.set_machine_types(types);
            self.store_machine_types(types);
        }
        if let (CloudCall::Return(names), CloudOutcome::Returned) = (call, outcome) {
            self.pending_terminations.on_terminated(names);
        }
        let Some(state) = &mut self.cluster_state else { return };
        let next_call = apply_cloud_outcome(state, call, outcome, self.now.monotonic);
        if let Some(next_call) = next_call {
            self.cloud.enqueue(next_call);
        }
    }
}

/// Applies the outcome of a cloud call to the cluster state. Returns the follow-up call, if any: a retry, or the next
/// page of a list.
fn apply_cloud_outcome(
    state: &mut ClusterState,
    call: &CloudCall,
    outcome: &CloudOutcome,
    now: Time,
) -> Option<CloudCall> {
    match (call, outcome) {
        (CloudCall::Provision(request), CloudOutcome::Provisioned(provisioned)) => {
            state.on_provisioned(&request.request_id, &provisioned.machines, now);
        }
        (CloudCall::Provision(request), CloudOutcome::NoCapacity | CloudOutcome::Malformed(_)) => {
            state.on_provisioning_refused(&request.request_id, now);
        }
        // A retry is safe: a request that was already served returns the same machines for the same request id.
        (CloudCall::Provision(request), _) => {
            return state.provisioning.mark_unanswered(&request.request_id).then(|| call.clone());
        }
        (CloudCall::Return(names), CloudOutcome::Returned) => {
            for name in names {
                state.on_returned(&MachineId::from(name.as_str()), now);
            }
        }
        (CloudCall::Return(names), _) => {
            for name in names {
                state.provisioning.on_return_failed(MachineId::from(name.as_str()));
            }
        }
        (CloudCall::ListMachines(_), CloudOutcome::Listed(page)) => {
            for id in state.apply_machine_list(page, now) {
                state.request_return(&id, fleet::RETURN_REASON_FAILED, now);
            }
            state.provisioning.is_listing = page.has_next;
            let last = page.machines.last().filter(|_| page.has_next);
            return last.map(|last| CloudCall::ListMachines(Some(last.name.clone())));
        }
        (CloudCall::ListMachines(_), _) => state.provisioning.is_listing = false,
        (CloudCall::ListTypes, _) => {}
    }
    None
}
