//! Renting and returning machines: what the fleet needs, read from the tables and given back as a
//! plan that the node applies.

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

/// What the fleet wants done.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to return, and why.
    pub returns: Vec<(MachineId, &'static str)>,
    /// Tasks to stop: they drain off machines that leave.
    pub stops: Vec<(JobId, u32)>,
    /// Machines that begin, or cease, to be emptied.
    pub state_changes: Vec<(MachineId, MachineState)>,
    /// Read the machine list.
    pub refresh_machine_list: bool,
    /// Read the machine types.
    pub refresh_machine_types: bool,
    /// Idle machines were looked for.
    pub checked_idle_machines: bool,
    /// Moves were looked for.
    pub checked_consolidation: bool,
}

/// With every timer step: lists, lost machines, idle machines, returns. `sure`: the store has
/// answered lately. A leader that it has not may be cut off, and what it asks of the cloud may be
/// held back and done much later, under another leader: it then returns only what a cancellation
/// needs. Rooms must be counted.
pub fn plan_fleet(tables: &ClusterState, view: PlanningContext, sure: bool) -> FleetPlan {
    let now = view.now;
    let rentals = &tables.provisioning;
    let mut out = FleetPlan {
        refresh_machine_list: !rentals.is_listing
            && now >= rentals.listed_at + MACHINE_LIST_INTERVAL_MS,
        refresh_machine_types: now >= rentals.types_requested_at + MACHINE_TYPES_INTERVAL_MS,
        ..FleetPlan::default()
    };
    return_for_cancellations(tables, view, &mut out);
    if sure {
        return_lost_machines(tables, view, &mut out);
        out.checked_idle_machines = now >= rentals.idle_checked_at + IDLE_CHECK_INTERVAL_MS;
        if out.checked_idle_machines {
            return_idle_machines(tables, view, &mut out);
        }
        out.checked_consolidation = now >= rentals.moves_checked_at + MIGRATION_INTERVAL_MS;
        if out.checked_consolidation {
            consolidation::plan_consolidation(tables, view, &mut out);
        }
    }
    drain_reclaimed_machines(tables, view, &mut out);
    out
}

/// Time after a cancellation at which a task that is not proved gone costs its machine, ms.
pub fn cancellation_deadline_ms(cancel_s: f64) -> u64 {
    ((cancel_s * MS_PER_S) as u64).saturating_sub(CANCEL_MARGIN_MS)
}

/// A cancelled task that is not proved gone in time costs its machine.
fn return_for_cancellations(tables: &ClusterState, view: PlanningContext, out: &mut FleetPlan) {
    let limit = cancellation_deadline_ms(view.settings.settings.workers.cancel_s);
    let due = |at: Time| view.now >= at + limit;
    let late: BTreeSet<MachineId> = tables
        .machines_with_cancelled_tasks()
        .filter(|(_, at)| due(*at))
        .map(|(id, _)| id)
        .collect();
    let late = late.into_iter().map(|id| (id, RETURN_REASON_CANCELLED));
    out.returns.extend(late);
}

/// A machine with a notice is emptied of what gains by it: replicas move at once, tasks that can
/// save do so in time, gangs whole. A task that cannot save runs on, since it may still be done.
fn drain_reclaimed_machines(tables: &ClusterState, view: PlanningContext, out: &mut FleetPlan) {
    let now = view.now;
    let report_ms = view.settings.settings.workers.report_s * MS_PER_S;
    for machine in tables.machines.values() {
        let Some(recall) = machine.reclaimed_at else { continue };
        for (id, task) in machine.tasks.keys() {
            let Some(job) = tables.jobs.get(id) else { continue };
            let save_ms =
                (job.spec.checkpoint_duration_s + STOP_GRACE_EXTRA_S) * MS_PER_S + 2.0 * report_ms;
            let due = match job.spec.kind {
                JobKind::Service => true,
                _ => {
                    job.spec.checkpoint_interval_s > 0.0 && (now as f64 + save_ms) >= recall as f64
                }
            };
            if !due {
                continue;
            }
            out.stops.push((id.clone(), *task));
        }
    }
}

/// Machines given up by what membership knows, boots that are far too late, machines about to be taken.
fn return_lost_machines(tables: &ClusterState, view: PlanningContext, out: &mut FleetPlan) {
    let now = view.now;
    let mut deaf_left = allowed_unreachable_returns(tables, now);
    let lease_ms = view.lease_ms();
    for machine in tables.machines.values() {
        if machine.state() == MachineState::Terminating {
            continue;
        }
        let kind = view.machine_types.iter().find(|t| t.name == machine.machine_type);
        let mut leave = |why| out.returns.push((machine.id.clone(), why));
        if let Some(at) = machine.reclaimed_at
            && now + 1_000 >= at
        {
            leave("the cloud takes it back");
            continue;
        }
        if let Some(seen) = tables.observe_machine(machine) {
            let members = tables.failure_detector.as_ref();
            if members.is_some_and(|m| m.should_terminate(&machine.id, seen, now)) {
                leave("it is silent");
            } else if deaf_left > 0
                && machine.inbound.reachability() == InboundReachability::Unreachable
                && has_no_ending_tasks(tables, machine)
            {
                deaf_left -= 1;
                leave(RETURN_REASON_UNREACHABLE);
            } else if deaf_left > 0
                && machine.reports_missing()
                && machine.since_last_report_ms(now)
                    > lease_ms * SILENT_RETURN_LEASE_SHARE * PARTITION_GRACE_FACTOR
                && has_no_ending_tasks(tables, machine)
            {
                deaf_left -= 1;
                leave(RETURN_REASON_NOT_REPORTING);
            }
        } else if machine.last_contact_at.is_none() {
            let boot = kind.map_or(DEFAULT_BOOT_MS, |t| t.boot_ms);
            let late =
                (boot * BOOT_TIMEOUT_FACTOR).max(boot + MIN_BOOT_TIMEOUT_MARGIN_MS as f64) as u64;
            if now.saturating_sub(machine.rented_at.max(tables.leading_since)) > late {
                leave("it never came up");
            }
        }
    }
}

// The reasons below are told to event receivers of plug-ins: their texts are part of that interface.

/// Reason to terminate a machine that the cloud lists as failed.
pub const RETURN_REASON_FAILED: &str = "it failed";
/// Reason to terminate a machine in time for a cancellation.
pub const RETURN_REASON_CANCELLED: &str = "a cancelled task is not proved gone";
/// Reason to terminate a machine that reports but cannot be reached.
pub const RETURN_REASON_UNREACHABLE: &str = "it does not hear";
/// Reason to terminate a machine that answers probes but whose reports do not arrive.
pub const RETURN_REASON_NOT_REPORTING: &str = "it answers, and reports to nobody";

/// How many more machines may be returned now for not hearing: where the way back of a whole zone is lost its
/// machines must not all be given up, and others rented in their place that hear no more than they.
fn allowed_unreachable_returns(tables: &ClusterState, now: Time) -> usize {
    let known = tables.machines.len() as f64;
    let most = ((known * UNREACHABLE_RETURN_SHARE) as usize).max(MIN_UNREACHABLE_RETURNS);
    most.saturating_sub(tables.provisioning.recent_unreachable_returns(now))
}

/// Whether nothing is left on a machine that does not hear and that may still end by itself: what it runs
/// goes on until its lease ends, and its reports arrive. Replicas only end with it.
fn has_no_ending_tasks(tables: &ClusterState, machine: &Machine) -> bool {
    let ends = |(job, task): &(JobId, u32)| {
        let job =
            tables.jobs.get(job).filter(|j| j.spec.kind != JobKind::Service && !j.is_cancelled());
        job.and_then(|j| j.attempts.get(task))
            .is_some_and(|a| a.is_reported && a.occupies_resources())
    };
    !machine.tasks.keys().any(ends)
}

/// Machines without work are returned after a while, suspects as soon as they are empty. What work
/// that waits may use is kept, and so is the reserve for services.
fn return_idle_machines(tables: &ClusterState, view: PlanningContext, out: &mut FleetPlan) {
    let (now, types) = (view.now, view.machine_types);
    let empty: Vec<MachineId> = tables
        .machines
        .values()
        .filter(|m| {
            m.state() == MachineState::Ready && m.tasks.is_empty() && m.orphaned_tasks.is_empty()
        })
        // What does not hear is given up under a bound of its own.
        .filter(|m| {
            m.is_suspect
                || m.is_restarted
                || m.inbound.is_reachable()
                    && !m.reports_missing()
                    && now >= m.idle_since + view.policy.idle_timeout_ms
        })
        .map(|m| m.id.clone())
        .collect();
    if empty.is_empty() {
        return;
    }
    let mut demand = PendingDemand::count(tables, view);
    let mut reserve = ServiceHeadroom::count(tables, types, view.policy.headroom_tasks);
    for id in empty {
        let Some(machine) = tables.machines.get(&id) else { continue };
        if machine.is_suspect {
            out.returns.push((id, "it is suspected"));
        } else if machine.is_restarted {
            out.returns.push((id, "its worker has begun anew"));
        } else if !demand.wants_machine(machine) && !reserve.needs_machine(machine, types) {
            out.returns.push((id, "it is idle"));
        }
    }
}
