//! Application of placement plans to the cluster state. This is the only code that binds tasks. The [`BindingGuard`]
//! checks every planned binding again against quotas, zones and machine types.

use crate::cluster_state::{BindingGuard, ClusterState, RunQueue, SlotId, is_schedulable};
use crate::constants::LOW_PRIORITY_HOLD_MS;
use crate::job::{GangState, Job, JobId, JobSpec, MachineId};
use crate::machine::{Machine, Resources};
use crate::placement::{CyclePlan, PlanStep, PlanningContext};
use std::cmp::Reverse;
use std::sync::Arc;
use swiftsail_tiers::TierAssignment;

/// The fraction of the largest value size that is reserved for keys and for the envelope of a record, as a divisor.
const VALUE_MARGIN_DIVISOR: usize = 32;

/// Jobs of ordered tiers that have tasks waiting for a machine.
type OrderedJobs = [(Arc<JobSpec>, TierAssignment)];

/// Whether a waiting job of an ordered tier comes before `next` and could run in the free resources of this machine.
/// `next` is then not bound there from a run queue. Without this check, queued work took all capacity that became
/// free before a cycle compared it with the waiting jobs.
fn is_wanted_by_ordered_job(
    ordered: &OrderedJobs,
    machine: &Machine,
    free: &Resources,
    next: &Job,
) -> bool {
    ordered.iter().any(|(spec, tier)| {
        let comes_before =
            (Reverse(spec.priority), *tier) < (Reverse(next.spec.priority), next.tier);
        comes_before
            && free.fits_task(spec)
            && (!machine.spot || spec.spot)
            && spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
    })
}

/// Binds the next job of each run queue whose executing task has ended, unless a waiting job of an ordered tier comes
/// first and could use the capacity. Queued jobs that do not fit leave the queue and wait as before. Returns the
/// number of tasks bound.
pub(super) fn bind_from_run_queues(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
) -> usize {
    let is_waiting = |job: &&Job| job.tier.ordered && job.has_queued_tasks() && !job.is_cancelled();
    let ordered: Vec<(Arc<JobSpec>, TierAssignment)> =
        state.jobs.values().filter(is_waiting).map(|job| (job.spec.clone(), job.tier)).collect();
    let slots = state.run_queues.slots_without_head(&state.jobs);
    slots.into_iter().filter(|slot| bind_from_queue(state, guard, context, &ordered, slot)).count()
}

/// Binds the next job of a slot's run queue, and removes the queue. Jobs behind the bound one are queued behind its
/// task. Returns whether a job was bound.
fn bind_from_queue(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
    ordered: &OrderedJobs,
    slot: &SlotId,
) -> bool {
    let mut queue: RunQueue = state.run_queues.take(slot);
    let machine_id = &slot.0;
    let lease_ms = context.lease_ms();
    if !state.machines.get(machine_id).is_some_and(|m| is_schedulable(m, context.now, lease_ms)) {
        return false;
    }
    // A task from the queue of an earlier slot may have been bound to the same machine.
    state.count_free_resources(context.machine_types);
    let machine = state.machines.get(machine_id);
    let free = machine.and_then(Machine::free_resources).unwrap_or_default();
    let is_wanted = |id: &JobId| {
        let next = state.jobs.get(id);
        machine.zip(next).is_some_and(|(m, next)| is_wanted_by_ordered_job(ordered, m, &free, next))
    };
    if queue.front().is_some_and(is_wanted) {
        return false;
    }
    while let Some(id) = queue.pop_front() {
        let job = state.jobs.get(&id);
        let fits = job
            .is_some_and(|job| free.fits_task(&job.spec) && !job.bad_machines.contains(machine_id));
        if fits && let Some(task) = bind(state, guard, context, &id, machine_id) {
            state.run_queues.append_all(&(machine_id.clone(), id, task), queue);
            return true;
        }
    }
    false
}

/// Applies a plan. Returns the number of tasks bound.
pub(super) fn apply_plan(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
    plan: CyclePlan,
) -> usize {
    state.run_queues = plan.run_queues;
    let steps = plan.steps.into_iter();
    let bound = steps.map(|step| apply_step(state, guard, context, step)).sum();
    state.needs_scheduling |= plan.cut_short;
    bound
}

/// Applies one step of a plan. Returns the number of tasks bound.
fn apply_step(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
    step: PlanStep,
) -> usize {
    match step {
        PlanStep::Bind(id, machine) => {
            return usize::from(bind(state, guard, context, &id, &machine).is_some());
        }
        PlanStep::BindGang(id, machines) => {
            return bind_gang(state, guard, context, &id, &machines);
        }
        PlanStep::Preempt { by, fetch_ms, victims } => {
            for (id, task) in state.request_gpu_loans(&by, victims, context.wall_now) {
                tracing::debug!(job = %id, task, by = %by, "task preempted");
                state.request_stop(&id, task);
            }
            state.preempting.insert(by, (context.now, fetch_ms));
        }
        PlanStep::ReserveForGang(id, machines) => reserve_for_gang(state, context, &id, machines),
        PlanStep::HoldFromLowPriority(machines) => {
            state.yielding_machines.retain(|_, until| context.now < *until);
            let until = context.now + LOW_PRIORITY_HOLD_MS;
            state.yielding_machines.extend(machines.into_iter().map(|id| (id, until)));
        }
        PlanStep::PreemptForQuota { by, victims } => {
            tracing::info!(job = %by, tasks = victims.len(), "tasks preempted: the team's limit has no quota left for a service");
            for (id, task) in victims {
                state.request_stop(&id, task);
            }
        }
    }
    0
}

/// Binds tasks of a gang to these machines, to each the given number, all with the same attempt number. A gang is never
/// started in part: if a binding is rejected, the gang is stopped and planned again. Returns the number of tasks bound.
fn bind_gang(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
    id: &JobId,
    machines: &[(MachineId, u32)],
) -> usize {
    let attempt = state.next_attempt_number();
    let mut bound = 0;
    for (machine, tasks) in machines {
        if !is_allowed(state, guard, id, machine, *tasks) {
            if let Some(job) = state.jobs.get_mut(id) {
                job.set_gang_state(GangState::Stopping);
            }
            break;
        }
        for _ in 0..*tasks {
            bound += usize::from(bind_task(state, context, id, machine, Some(attempt)).is_some());
        }
        if let Some(job) = state.jobs.get(id) {
            guard.count(&job.spec, *tasks);
        }
    }
    bound
}

/// Reserves machines for a gang, and removes the run queues of those machines: otherwise the next job of a queue
/// would take the capacity that becomes free before a cycle can give it to the gang.
fn reserve_for_gang(
    state: &mut ClusterState,
    context: PlanningContext,
    id: &JobId,
    machines: Vec<MachineId>,
) {
    machines.iter().for_each(|machine| state.run_queues.remove_machine(machine));
    if let Some(job) = state.jobs.get_mut(id) {
        job.vacated_machines = machines.into_iter().map(|machine| (machine, context.now)).collect();
    }
}

/// Binds a job's next waiting task to a machine, if the guard allows it. Returns the task's number in the job, or `None`
/// if nothing was bound.
fn bind(
    state: &mut ClusterState,
    guard: &mut BindingGuard,
    context: PlanningContext,
    id: &JobId,
    machine: &MachineId,
) -> Option<u32> {
    if !is_allowed(state, guard, id, machine, 1) {
        return None;
    }
    let task = bind_task(state, context, id, machine, None)?;
    if let Some(job) = state.jobs.get(id) {
        guard.count(&job.spec, 1);
    }
    Some(task)
}

/// Whether the guard allows to bind a number of a job's next waiting tasks to a machine. A refusal is logged.
fn is_allowed(
    state: &ClusterState,
    guard: &BindingGuard,
    id: &JobId,
    machine: &MachineId,
    tasks: u32,
) -> bool {
    let refusal = guard.check(state, id, machine, tasks).err();
    if let Some(refusal) = refusal {
        tracing::debug!(job = %id, machine = %machine, tasks, why = ?refusal, "planned binding rejected");
    }
    refusal.is_none()
}

/// Binds a job's next waiting task to a machine, without a check. `attempt`: the attempt number shared by a gang; `None`
/// for a new number. Returns the task's number in the job.
fn bind_task(
    state: &mut ClusterState,
    context: PlanningContext,
    id: &JobId,
    machine: &MachineId,
    attempt: Option<u64>,
) -> Option<u32> {
    let value_bytes = context.settings.settings.state.max_value_bytes();
    let attempt = attempt.unwrap_or_else(|| state.next_attempt_number());
    let usable_bytes = value_bytes - value_bytes / VALUE_MARGIN_DIVISOR;
    state.bind(id, machine, attempt, usable_bytes, context.now)
}
