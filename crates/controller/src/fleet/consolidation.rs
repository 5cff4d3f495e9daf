//! Consolidation: replicas that keep a machine nearly empty move beside others, and the machine is
//! returned. Replicas end at different times, and what is left of them would else hold many
//! machines for a few tasks. A service of a single replica is never moved: it would be down.

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

/// A replica on a machine that is to be emptied.
type ReplicaId = (JobId, u32);

/// One step: at most one replica is stopped, so that no service lacks more than one for it.
pub(super) fn plan_consolidation(
    tables: &ClusterState,
    view: PlanningContext,
    out: &mut FleetPlan,
) {
    let types = view.machine_types;
    let draining: Vec<&MachineId> = tables
        .machines
        .values()
        .filter(|m| m.state() == MachineState::Draining)
        .map(|m| &m.id)
        .collect();
    let (emptied, draining): (Vec<&MachineId>, Vec<&MachineId>) =
        draining.into_iter().partition(|id| {
            tables.machines[*id].tasks.is_empty() && tables.machines[*id].orphaned_tasks.is_empty()
        });
    out.returns.extend(emptied.into_iter().map(|id| (id.clone(), "it is emptied")));
    // Room is for what waits; and a service that lacks a replica is not disturbed further.
    if tables.jobs.values().any(|j| j.has_queued_tasks() && !j.is_cancelled()) {
        return;
    }
    for id in &draining {
        match next_replica_to_move(tables, id, types) {
            Some((job, task)) => {
                tracing::info!(job = %job, task, machine = %id, "replica migrated");
                out.stops.push((job, task));
                return;
            }
            None if replicas_on(tables, id).is_empty() => {}
            // Its replicas no longer fit elsewhere: it stays.
            None => out.state_changes.push(((*id).clone(), MachineState::Ready)),
        }
    }
    if draining.len() < MAX_DRAINING_MACHINES
        && let Some(id) = most_wasteful_machine(tables, types, view.now)
    {
        out.state_changes.push((id, MachineState::Draining));
    }
}

/// Replicas on a machine that take room.
fn replicas_on(tables: &ClusterState, id: &MachineId) -> Vec<ReplicaId> {
    let Some(machine) = tables.machines.get(id) else { return Vec::new() };
    let held = |(job, task): &&ReplicaId| {
        tables
            .jobs
            .get(job)
            .and_then(|j| j.attempts.get(task))
            .is_some_and(Attempt::occupies_resources)
    };
    machine.tasks.keys().filter(held).cloned().collect()
}

/// The next replica to move off a machine: one of a service that lacks none, if all of them find
/// a place.
fn next_replica_to_move(
    tables: &ClusterState,
    id: &MachineId,
    types: &[MachineType],
) -> Option<ReplicaId> {
    let replicas = replicas_on(tables, id);
    if !replicas_fit_elsewhere(tables, id, &replicas, types) {
        return None;
    }
    let whole = |(job, _): &ReplicaId| {
        tables.jobs.get(job).is_some_and(|j| {
            j.spec.tasks >= MIN_MIGRATION_REPLICAS
                && j.attempts.len() == j.spec.tasks as usize
                && j.attempts
                    .values()
                    .all(|a| a.phase() == AttemptPhase::Running && a.stop_requested.is_none())
        })
    };
    replicas.into_iter().find(whole)
}

/// The machine that holds only replicas and costs most for each of them, if they fit elsewhere.
fn most_wasteful_machine(
    tables: &ClusterState,
    types: &[MachineType],
    now: Time,
) -> Option<MachineId> {
    let ordinary = types.iter().filter(|t| t.gpus <= 0.0 && t.cpus > 0.0);
    let least = ordinary.map(|t| t.price / t.cpus).fold(f64::MAX, f64::min);
    let mut found: Vec<(f64, MachineId)> = Vec::new();
    for machine in tables.machines.values() {
        let Some(kind) = types.iter().find(|t| t.name == machine.machine_type) else { continue };
        if machine.state() != MachineState::Ready
            || !machine.has_replicas()
            || machine.tasks.is_empty()
        {
            continue;
        }
        let mut worth = 0.0;
        let settled = machine.tasks.keys().all(|(id, task)| {
            let Some(job) = tables.jobs.get(id) else { return false };
            worth += job.spec.cpus * least;
            job.spec.kind == JobKind::Service
                && job.spec.tasks >= MIN_MIGRATION_REPLICAS
                && !job.is_cancelled()
                && job.attempts.get(task).is_some_and(|a| {
                    a.phase() == AttemptPhase::Running
                        && a.running_since.is_some_and(|at| now >= at + MIN_MIGRATION_RUN_MS)
                })
        });
        let ratio = kind.hourly_price(machine.spot) / worth.max(1e-9);
        if settled && ratio >= CONSOLIDATION_COST_RATIO {
            found.push((ratio, machine.id.clone()));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    found.truncate(MAX_CONSOLIDATION_CANDIDATES);
    let fits = |id: &MachineId| replicas_fit_elsewhere(tables, id, &replicas_on(tables, id), types);
    found.into_iter().map(|f| f.1).find(fits)
}

/// Whether replicas find room on other machines that hold replicas already and have their images,
/// within the rules of their zones.
fn replicas_fit_elsewhere(
    tables: &ClusterState,
    from: &MachineId,
    replicas: &[ReplicaId],
    types: &[MachineType],
) -> bool {
    let mut rooms: BTreeMap<&MachineId, Resources> = BTreeMap::new();
    replicas.iter().all(|(id, task)| {
        let Some(job) = tables.jobs.get(id) else { return false };
        let spec: &Arc<JobSpec> = &job.spec;
        let zone_of = |m: &MachineId| tables.machines.get(m).map(|m| m.zone.as_str());
        let place = tables.machines.values().find(|m| {
            let Some(kind) = types.iter().find(|t| t.name == m.machine_type) else { return false };
            let near =
                m.images.contains(&spec.image) || kind.fetch_ms(spec) <= MAX_MIGRATION_FETCH_MS;
            let others = job.attempts.iter().filter(|(t, _)| *t != task);
            let there = others.filter(|(_, a)| zone_of(&a.machine) == Some(&m.zone)).count() as u32;
            m.id != *from
                && m.state() == MachineState::Ready
                && m.has_replicas()
                && m.may_receive_work()
                && m.reclaimed_at.is_none()
                && (!m.spot || spec.spot)
                && near
                && kind.allows(spec)
                && !kind.is_wasted_on(spec)
                && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                && (!spec.spread || there < spec.max_tasks_per_zone())
                && !spec.one_zone
                && rooms
                    .get(&m.id)
                    .copied()
                    .or(m.free_resources())
                    .is_some_and(|room| room.fits_task(spec))
        });
        let Some(place) = place else { return false };
        let room =
            rooms.entry(&place.id).or_insert_with(|| place.free_resources().unwrap_or_default());
        room.subtract(&Resources::for_task(spec));
        true
    })
}
