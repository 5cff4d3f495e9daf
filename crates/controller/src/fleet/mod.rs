//! Fleet management beside placement: decides from the cluster state which machines to terminate or drain and when to
//! read the cloud's lists. Returns a [`FleetPlan`] that the controller applies.

mod consolidation;
mod headroom;
mod pending_demand;

use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::{
    BOOT_TIMEOUT_FACTOR, CANCEL_MARGIN_MS, DEFAULT_BOOT_MS, IDLE_CHECK_INTERVAL_MS,
    MACHINE_LIST_INTERVAL_MS, MACHINE_TYPES_INTERVAL_MS, MIGRATION_INTERVAL_MS,
    MIN_BOOT_TIMEOUT_MARGIN_MS, MS_PER_S, STOP_GRACE_EXTRA_S,
};
use crate::job::{JobId, JobKind, MachineId};
use crate::machine::{Machine, MachineState};
use crate::placement::PlanningContext;
use headroom::ServiceHeadroom;
use pending_demand::PendingDemand;
use std::collections::BTreeSet;
use swiftsail_failure_detector::InboundReachability;
use swiftsail_failure_detector::constants::{
    MIN_UNREACHABLE_RETURNS, PARTITION_GRACE_FACTOR, SILENT_RETURN_LEASE_SHARE,
    UNREACHABLE_RETURN_SHARE,
};

/// The result of fleet planning.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to terminate, each with the reason.
    pub returns: Vec<(MachineId, &'static str)>,
    /// Tasks to stop, because their machines are drained or reclaimed.
    pub stops: Vec<(JobId, u32)>,
    /// Machines whose draining starts or is given up.
    pub state_changes: Vec<(MachineId, MachineState)>,
    /// The machine list is to be read.
    pub refresh_machine_list: bool,
    /// The machine types are to be read.
    pub refresh_machine_types: bool,
    /// The check for idle machines has run.
    pub checked_idle_machines: bool,
    /// The check for consolidation has run.
    pub checked_consolidation: bool,
}

/// Plans the fleet's periodic work; called on every tick. `store_answers`: the store has answered recently. A leader
/// without the store may be isolated, and its requests to the cloud may be delayed and executed much later, under
/// another leader. It then only terminates machines as cancellations require. The free resources of all machines must be
/// up to date.
pub fn plan_fleet(
    state: &ClusterState,
    context: PlanningContext,
    store_answers: bool,
) -> FleetPlan {
    let now = context.now;
    let provisioning = &state.provisioning;
    let mut plan = FleetPlan {
        refresh_machine_list: !provisioning.is_listing
            && now >= provisioning.listed_at + MACHINE_LIST_INTERVAL_MS,
        refresh_machine_types: now >= provisioning.types_requested_at + MACHINE_TYPES_INTERVAL_MS,
        ..FleetPlan::default()
    };
    return_for_cancellations(state, context, &mut plan);
    if store_answers {
        return_lost_machines(state, context, &mut plan);
        plan.checked_idle_machines = now >= provisioning.idle_checked_at + IDLE_CHECK_INTERVAL_MS;
        if plan.checked_idle_machines {
            return_idle_machines(state, context, &mut plan);
        }
        plan.checked_consolidation = now >= provisioning.moves_checked_at + MIGRATION_INTERVAL_MS;
        if plan.checked_consolidation {
            consolidation::plan_consolidation(state, context, &mut plan);
        }
    }
    drain_reclaimed_machines(state, context, &mut plan);
    plan
}

/// Time after a cancellation at which the machine of a task that is not proved gone is terminated, ms. `cancel_s`: time
/// within which the tasks of a cancelled job must be gone.
pub fn cancellation_deadline_ms(cancel_s: f64) -> u64 {
    ((cancel_s * MS_PER_S) as u64).saturating_sub(CANCEL_MARGIN_MS)
}

/// Terminates machines with a cancelled task that is not proved gone in time.
fn return_for_cancellations(state: &ClusterState, context: PlanningContext, plan: &mut FleetPlan) {
    let limit_ms = cancellation_deadline_ms(context.settings.settings.workers.cancel_s);
    let is_overdue = |cancelled_at: Time| context.now >= cancelled_at + limit_ms;
    let overdue: BTreeSet<MachineId> = state
        .machines_with_cancelled_tasks()
        .filter(|(_, at)| is_overdue(*at))
        .map(|(id, _)| id)
        .collect();
    plan.returns.extend(overdue.into_iter().map(|id| (id, RETURN_REASON_CANCELLED)));
}

/// Drains machines that the cloud reclaims, where tasks gain by it: replicas stop at once and are placed elsewhere;
/// tasks and gangs that save checkpoints stop in time to save one. A task without checkpoints runs on, since it may still
/// finish.
fn drain_reclaimed_machines(state: &ClusterState, context: PlanningContext, plan: &mut FleetPlan) {
    let now = context.now;
    let report_ms = context.settings.settings.workers.report_s * MS_PER_S;
    for machine in state.machines.values() {
        let Some(reclaimed_at) = machine.reclaimed_at else { continue };
        for (id, task) in machine.tasks.keys() {
            let Some(job) = state.jobs.get(id) else { continue };
            let stop_ms =
                (job.spec.checkpoint_duration_s + STOP_GRACE_EXTRA_S) * MS_PER_S + 2.0 * report_ms;
            let must_stop = match job.spec.kind {
                JobKind::Service => true,
                _ => {
                    job.spec.checkpoint_interval_s > 0.0
                        && (now as f64 + stop_ms) >= reclaimed_at as f64
                }
            };
            if !must_stop {
                continue;
            }
            plan.stops.push((id.clone(), *task));
        }
    }
}

/// Terminates machines that the failure detector gives up, that do not boot in time, or that the cloud is about to
/// reclaim.
fn return_lost_machines(state: &ClusterState, context: PlanningContext, plan: &mut FleetPlan) {
    let now = context.now;
    let mut unreachable_budget = allowed_unreachable_returns(state, now);
    let lease_ms = context.lease_ms();
    for machine in state.machines.values() {
        if machine.state() == MachineState::Terminating {
            continue;
        }
        let machine_type = context.machine_types.iter().find(|t| t.name == machine.machine_type);
        let mut terminate = |reason| plan.returns.push((machine.id.clone(), reason));
        if let Some(at) = machine.reclaimed_at
            && now + 1_000 >= at
        {
            terminate("the cloud takes it back");
            continue;
        }
        if let Some(seen) = state.observe_machine(machine) {
            let failure_detector = state.failure_detector.as_ref();
            if failure_detector.is_some_and(|d| d.should_terminate(&machine.id, seen, now)) {
                terminate("it is silent");
            } else if unreachable_budget > 0
                && machine.inbound.reachability() == InboundReachability::Unreachable
                && has_no_ending_tasks(state, machine)
            {
                unreachable_budget -= 1;
                terminate(RETURN_REASON_UNREACHABLE);
            } else if unreachable_budget > 0
                && machine.reports_missing()
                && machine.since_last_report_ms(now)
                    > lease_ms * SILENT_RETURN_LEASE_SHARE * PARTITION_GRACE_FACTOR
                && has_no_ending_tasks(state, machine)
            {
                unreachable_budget -= 1;
                terminate(RETURN_REASON_NOT_REPORTING);
            }
        } else if machine.last_contact_at.is_none() {
            let boot_ms = machine_type.map_or(DEFAULT_BOOT_MS, |t| t.boot_ms);
            let timeout_ms = (boot_ms * BOOT_TIMEOUT_FACTOR)
                .max(boot_ms + MIN_BOOT_TIMEOUT_MARGIN_MS as f64)
                as u64;
            if now.saturating_sub(machine.rented_at.max(state.leading_since)) > timeout_ms {
                terminate("it never came up");
            }
        }
    }
}

// Reasons for terminating a machine are sent to the event receivers of plug-ins, so all their texts in this module are
// part of that interface.

/// Reason to terminate a machine that the cloud lists as failed.
pub const RETURN_REASON_FAILED: &str = "it failed";
/// Reason to terminate a machine in time for a cancellation.
pub const RETURN_REASON_CANCELLED: &str = "a cancelled task is not proved gone";
/// Reason to terminate a machine that reports but cannot be reached.
pub const RETURN_REASON_UNREACHABLE: &str = "it does not hear";
/// Reason to terminate a machine that answers probes but whose reports do not arrive.
pub const RETURN_REASON_NOT_REPORTING: &str = "it answers, and reports to nobody";

/// Number of further machines that may be terminated now as unreachable. If a whole zone cannot be reached, its machines
/// must not all be replaced by others that cannot be reached either.
fn allowed_unreachable_returns(state: &ClusterState, now: Time) -> usize {
    let machines = state.machines.len() as f64;
    let max_returns = ((machines * UNREACHABLE_RETURN_SHARE) as usize).max(MIN_UNREACHABLE_RETURNS);
    max_returns.saturating_sub(state.provisioning.recent_unreachable_returns(now))
}

/// Whether no task on an unreachable machine may still finish by itself: its tasks run until their lease ends, and its
/// reports still arrive. Replicas do not count, since they never finish by themselves, nor do tasks of cancelled jobs.
fn has_no_ending_tasks(state: &ClusterState, machine: &Machine) -> bool {
    let may_finish = |(job, task): (&JobId, &u32)| {
        let job =
            state.jobs.get(job).filter(|j| j.spec.kind != JobKind::Service && !j.is_cancelled());
        job.and_then(|j| j.attempts.get(task))
            .is_some_and(|a| a.is_reported && a.occupies_resources())
    };
    !machine.tasks.keys().any(may_finish)
}

/// Terminates machines without tasks after the idle timeout, and suspected or restarted ones as soon as they are empty.
/// Machines that waiting tasks may use are kept, and so is the headroom for services.
fn return_idle_machines(state: &ClusterState, context: PlanningContext, plan: &mut FleetPlan) {
    let (now, types) = (context.now, context.machine_types);
    let empty: Vec<MachineId> = state
        .machines
        .values()
        .filter(|m| {
            m.state() == MachineState::Ready && m.tasks.is_empty() && m.orphaned_tasks.is_empty()
        })
        // Unreachable machines are terminated under a limit of their own.
        .filter(|m| {
            m.is_suspect
                || m.is_restarted
                || m.inbound.is_reachable()
                    && !m.reports_missing()
                    && now >= m.idle_since + context.policy.idle_timeout_ms
        })
        .map(|m| m.id.clone())
        .collect();
    if empty.is_empty() {
        return;
    }
    let mut demand = PendingDemand::count(state, context);
    let mut headroom = ServiceHeadroom::count(state, types, context.policy.headroom_tasks);
    for id in empty {
        let Some(machine) = state.machines.get(&id) else { continue };
        if machine.is_suspect {
            plan.returns.push((id, "it is suspected"));
        } else if machine.is_restarted {
            plan.returns.push((id, "its worker has begun anew"));
        } else if !demand.wants_machine(machine) && !headroom.needs_machine(machine, types) {
            plan.returns.push((id, "it is idle"));
        }
    }
}
