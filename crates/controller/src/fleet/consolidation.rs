//! Consolidation: replicas on nearly empty machines are migrated to other machines, and their machine is terminated.
//! Replicas end at different times, and those that remain would otherwise keep many machines for a few tasks. A
//! service with a single replica is never migrated, because it would be down meanwhile.

use super::FleetPlan;
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::{
    CONSOLIDATION_COST_RATIO, MAX_CONSOLIDATION_CANDIDATES, MAX_DRAINING_MACHINES,
    MAX_MIGRATION_FETCH_MS, MIN_MIGRATION_REPLICAS, MIN_MIGRATION_RUN_MS,
};
use crate::job::{Attempt, AttemptPhase, JobId, JobKind, JobSpec, MachineId};
use crate::machine::{MachineState, MachineType, Resources};
use crate::placement::PlanningContext;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A replica of a service: its job and task.
type ReplicaId = (JobId, u32);

/// Plans one consolidation step: terminates drained machines, and stops at most one replica on a draining machine, so
/// that no service lacks more than one replica. Starts to drain another machine while fewer than
/// [`MAX_DRAINING_MACHINES`] drain.
pub(super) fn plan_consolidation(
    state: &ClusterState,
    context: PlanningContext,
    plan: &mut FleetPlan,
) {
    let types = context.machine_types;
    let draining: Vec<&MachineId> = state
        .machines
        .values()
        .filter(|m| m.state() == MachineState::Draining)
        .map(|m| &m.id)
        .collect();
    let (drained, draining): (Vec<&MachineId>, Vec<&MachineId>) =
        draining.into_iter().partition(|id| {
            state.machines[*id].tasks.is_empty() && state.machines[*id].orphaned_tasks.is_empty()
        });
    plan.returns.extend(drained.into_iter().map(|id| (id.clone(), "it is emptied")));
    // Free resources are for waiting tasks, and a service that lacks a replica is not disturbed further.
    if state.jobs.values().any(|j| j.has_queued_tasks() && !j.is_cancelled()) {
        return;
    }
    for id in &draining {
        match next_replica_to_move(state, id, types) {
            Some((job, task)) => {
                tracing::info!(job = %job, task, machine = %id, "replica migrated");
                plan.stops.push((job, task));
                return;
            }
            None if replicas_on(state, id).is_empty() => {}
            // Its replicas no longer fit elsewhere, so draining is given up.
            None => plan.state_changes.push(((*id).clone(), MachineState::Ready)),
        }
    }
    if draining.len() < MAX_DRAINING_MACHINES
        && let Some(id) = most_wasteful_machine(state, types, context.now)
    {
        plan.state_changes.push((id, MachineState::Draining));
    }
}

/// Tasks on a machine that occupy resources; on a draining machine these are replicas.
fn replicas_on(state: &ClusterState, id: &MachineId) -> Vec<ReplicaId> {
    let Some(machine) = state.machines.get(id) else { return Vec::new() };
    let occupies_resources = |(job, task): &(&JobId, &u32)| {
        state
            .jobs
            .get(*job)
            .and_then(|j| j.attempts.get(task))
            .is_some_and(Attempt::occupies_resources)
    };
    let occupying = machine.tasks.keys().filter(occupies_resources);
    occupying.map(|(job, task)| (job.clone(), *task)).collect()
}

/// The next replica to migrate off a machine: one of a service whose replicas all run. `None` if there is none, or if
/// the replicas of the machine do not all fit elsewhere.
fn next_replica_to_move(
    state: &ClusterState,
    id: &MachineId,
    types: &[MachineType],
) -> Option<ReplicaId> {
    let replicas = replicas_on(state, id);
    if !replicas_fit_elsewhere(state, id, &replicas, types) {
        return None;
    }
    let is_migratable = |(job, _): &ReplicaId| {
        state.jobs.get(job).is_some_and(|j| {
            j.spec.tasks >= MIN_MIGRATION_REPLICAS
                && j.attempts.len() == j.spec.tasks as usize
                && j.attempts
                    .values()
                    .all(|a| a.phase() == AttemptPhase::Running && !a.stop_requested)
        })
    };
    replicas.into_iter().find(is_migratable)
}

/// The machine to drain next: one that has only replicas which fit elsewhere, with the highest ratio of its price to
/// what its replicas would cost on a full machine of the cheapest type.
fn most_wasteful_machine(
    state: &ClusterState,
    types: &[MachineType],
    now: Time,
) -> Option<MachineId> {
    let without_gpus = types.iter().filter(|t| t.gpus <= 0.0 && t.cpus > 0.0);
    let cheapest_cpu = without_gpus.map(|t| t.price / t.cpus).fold(f64::MAX, f64::min);
    let mut wasteful: Vec<(f64, MachineId)> = Vec::new();
    for machine in state.machines.values() {
        let Some(machine_type) = types.iter().find(|t| t.name == machine.machine_type) else {
            continue;
        };
        if machine.state() != MachineState::Ready
            || !machine.has_replicas()
            || machine.tasks.is_empty()
        {
            continue;
        }
        let mut minimum_price = 0.0;
        let is_migratable = machine.tasks.keys().all(|(id, task)| {
            let Some(job) = state.jobs.get(id) else { return false };
            minimum_price += job.spec.cpus * cheapest_cpu;
            job.spec.kind == JobKind::Service
                && job.spec.tasks >= MIN_MIGRATION_REPLICAS
                && !job.is_cancelled()
                && job.attempts.get(task).is_some_and(|a| {
                    a.phase() == AttemptPhase::Running
                        && a.running_since().is_some_and(|at| now >= at + MIN_MIGRATION_RUN_MS)
                })
        });
        let ratio = machine_type.hourly_price(machine.spot) / minimum_price.max(1e-9);
        if is_migratable && ratio >= CONSOLIDATION_COST_RATIO {
            wasteful.push((ratio, machine.id.clone()));
        }
    }
    wasteful.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    wasteful.truncate(MAX_CONSOLIDATION_CANDIDATES);
    let fits = |id: &MachineId| replicas_fit_elsewhere(state, id, &replicas_on(state, id), types);
    wasteful.into_iter().map(|(_, id)| id).find(fits)
}

/// Whether replicas fit on other machines than `from` that have replicas already and have their images or fetch them
/// quickly, within the zone constraints of their jobs.
fn replicas_fit_elsewhere(
    state: &ClusterState,
    from: &MachineId,
    replicas: &[ReplicaId],
    types: &[MachineType],
) -> bool {
    let mut remaining: BTreeMap<&MachineId, Resources> = BTreeMap::new();
    replicas.iter().all(|(id, task)| {
        let Some(job) = state.jobs.get(id) else { return false };
        let spec: &Arc<JobSpec> = &job.spec;
        let zone_of = |m: &MachineId| state.machines.get(m).map(|m| m.zone.as_str());
        let target = state.machines.values().find(|m| {
            let Some(machine_type) = types.iter().find(|t| t.name == m.machine_type) else {
                return false;
            };
            let starts_quickly = m.images.contains(&spec.image)
                || machine_type.fetch_ms(spec) <= MAX_MIGRATION_FETCH_MS;
            let in_zone = || {
                let others = job.attempts.iter().filter(|(t, _)| *t != task);
                others.filter(|(_, a)| zone_of(a.machine()) == Some(&m.zone)).count() as u32
            };
            m.id != *from
                && m.state() == MachineState::Ready
                && m.has_replicas()
                && m.may_receive_work()
                && m.reclaimed_at.is_none()
                && (!m.spot || spec.spot)
                && starts_quickly
                && machine_type.allows(spec)
                && !machine_type.is_wasted_on(spec)
                && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                && (!spec.spread || in_zone() < spec.max_tasks_per_zone())
                && !spec.one_zone
                && remaining
                    .get(&m.id)
                    .copied()
                    .or(m.free_resources())
                    .is_some_and(|free| free.fits_task(spec))
        });
        let Some(target) = target else { return false };
        let free = remaining
            .entry(&target.id)
            .or_insert_with(|| target.free_resources().unwrap_or_default());
        free.subtract(&Resources::for_task(spec));
        true
    })
}
