//! Consolidation: replicas that keep a machine nearly empty move beside others, and the machine is
//! returned. Replicas end at different times, and what is left of them would else hold many
//! machines for a few tasks. A service of a single replica is never moved: it would be down.

use crate::cluster::Ctx;
use crate::cluster::leader::Leader;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Machine, MachineType, Room, Standing};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A replica on a machine that is to be emptied.
type Replica = (JobId, u32);

/// One step: at most one replica is stopped, so that no service lacks more than one for it.
pub(super) fn consolidate(leader: &mut Leader, ctx: &mut Ctx) {
    let now = ctx.now;
    if now < leader.fleet.moved_at + MOVES_MS {
        return;
    }
    leader.fleet.moved_at = now;
    let Some(types) = ctx.types.clone() else { return };
    leader.count_rooms(&types);
    return_emptied(leader);
    // Room is for what waits; and a service that lacks a replica is not disturbed further.
    if leader.jobs.values().any(|j| !j.waiting.is_empty() && !j.cancelled()) {
        return;
    }
    let draining: Vec<MachineId> = leader
        .machines
        .values()
        .filter(|m| m.standing() == Standing::Draining)
        .map(|m| m.id.clone())
        .collect();
    for id in &draining {
        match next_move(leader, id, &types) {
            Some((job, task)) => {
                if let Some(attempt) =
                    leader.jobs.get_mut(&job).and_then(|j| j.attempts.get_mut(&task))
                {
                    tracing::info!(job = %job, task, machine = %id, "replica moved");
                    attempt.stop.get_or_insert((now, 0));
                    return;
                }
            }
            None if replicas(leader, id).is_empty() => {}
            None => {
                // Its replicas no longer fit elsewhere: it stays.
                if let Some(machine) = leader.machines.get_mut(id) {
                    machine.advance(Standing::Ready);
                }
            }
        }
    }
    if draining.len() >= DRAINS_MOST {
        return;
    }
    if let Some(id) = most_wasteful(leader, &types, now)
        && let Some(machine) = leader.machines.get_mut(&id)
    {
        machine.advance(Standing::Draining);
    }
}

fn return_emptied(leader: &mut Leader) {
    let Leader { machines, fleet, .. } = leader;
    let empty = |m: &&mut Machine| {
        m.standing() == Standing::Draining && m.tasks.is_empty() && m.strays.is_empty()
    };
    for machine in machines.values_mut().filter(empty) {
        fleet.want_return(machine, "it is emptied");
    }
}

/// Replicas on a machine that take room.
fn replicas(leader: &Leader, id: &MachineId) -> Vec<Replica> {
    let Some(machine) = leader.machines.get(id) else { return Vec::new() };
    let held = |(job, task): &&Replica| {
        leader.jobs.get(job).and_then(|j| j.attempts.get(task)).is_some_and(Attempt::occupies)
    };
    machine.tasks.keys().filter(held).cloned().collect()
}

/// The next replica to move off a machine: one of a service that lacks none, if all of them find
/// a place.
fn next_move(leader: &Leader, id: &MachineId, types: &[MachineType]) -> Option<Replica> {
    let replicas = replicas(leader, id);
    if !fit_elsewhere(leader, id, &replicas, types) {
        return None;
    }
    let whole = |(job, _): &Replica| {
        leader.jobs.get(job).is_some_and(|j| {
            j.spec.tasks >= MOVE_REPLICAS
                && j.attempts.len() == j.spec.tasks as usize
                && j.attempts.values().all(|a| a.stage() == Stage::Running && a.stop.is_none())
        })
    };
    replicas.into_iter().find(whole)
}

/// The machine that holds only replicas and costs most for each of them, if they fit elsewhere.
fn most_wasteful(leader: &Leader, types: &[MachineType], now: Time) -> Option<MachineId> {
    let ordinary = types.iter().filter(|t| t.gpus <= 0.0 && t.cpus > 0.0);
    let least = ordinary.map(|t| t.price / t.cpus).fold(f64::MAX, f64::min);
    let mut found: Vec<(f64, MachineId)> = Vec::new();
    for machine in leader.machines.values() {
        let Some(kind) = types.iter().find(|t| t.name == machine.kind) else { continue };
        if machine.standing() != Standing::Ready || !machine.anchored() || machine.tasks.is_empty()
        {
            continue;
        }
        let mut worth = 0.0;
        let settled = machine.tasks.keys().all(|(id, task)| {
            let Some(job) = leader.jobs.get(id) else { return false };
            worth += job.spec.cpus * least;
            job.spec.kind == Kind::Service
                && job.spec.tasks >= MOVE_REPLICAS
                && !job.cancelled()
                && job.attempts.get(task).is_some_and(|a| {
                    a.stage() == Stage::Running
                        && a.ran_at.is_some_and(|at| now >= at + MOVE_AGE_MS)
                })
        });
        let ratio = kind.cost(machine.spot) / worth.max(1e-9);
        if settled && ratio >= MOVE_RATIO {
            found.push((ratio, machine.id.clone()));
        }
    }
    found.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    found.truncate(MOVE_TRIES);
    let fits = |id: &MachineId| fit_elsewhere(leader, id, &replicas(leader, id), types);
    found.into_iter().map(|f| f.1).find(fits)
}

/// Whether replicas find room on other machines that hold replicas already and have their images,
/// within the rules of their zones.
fn fit_elsewhere(
    leader: &Leader,
    from: &MachineId,
    replicas: &[Replica],
    types: &[MachineType],
) -> bool {
    let mut rooms: BTreeMap<&MachineId, Room> = BTreeMap::new();
    replicas.iter().all(|(id, task)| {
        let Some(job) = leader.jobs.get(id) else { return false };
        let spec: &Arc<Spec> = &job.spec;
        let zone_of = |m: &MachineId| leader.machines.get(m).map(|m| m.zone.as_str());
        let place = leader.machines.values().find(|m| {
            let Some(kind) = types.iter().find(|t| t.name == m.kind) else { return false };
            let near = m.has_image(&spec.image) || kind.fetch_ms(spec) <= MOVE_FETCH_MS;
            let others = job.attempts.iter().filter(|(t, _)| *t != task);
            let there = others.filter(|(_, a)| zone_of(&a.machine) == Some(&m.zone)).count() as u32;
            m.id != *from
                && m.standing() == Standing::Ready
                && m.anchored()
                && !m.suspect
                && m.recall_at.is_none()
                && (!m.spot || spec.spot)
                && near
                && kind.allows(spec)
                && !kind.wasted_on(spec)
                && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                && (!spec.spread || there < spec.zone_cap())
                && !spec.one_zone
                && rooms.get(&m.id).copied().or(m.free()).is_some_and(|room| room.holds(spec))
        });
        let Some(place) = place else { return false };
        let room = rooms.entry(&place.id).or_insert_with(|| place.free().unwrap_or_default());
        room.take(&Room::of(spec));
        true
    })
}
