//! Renting and returning machines: what the fleet needs, read from the tables and given back as a
//! plan that the node applies.

mod demand;
mod moves;
mod reserve;

use crate::Time;
use crate::constants::*;
use crate::job::{JobId, Kind, MachineId};
use crate::machine::{Machine, Standing};
use crate::placement::View;
use crate::tables::Tables;
use demand::Demand;
use reserve::Reserve;
use std::collections::BTreeSet;
use swiftsail_failure_detector::Hearing;
use swiftsail_failure_detector::constants::{
    CUT_PATIENCE, DEAF_RETURN_LEAST, DEAF_RETURN_SHARE, LOST_SHARE,
};

/// What the fleet wants done.
#[derive(Debug, Default)]
pub struct FleetPlan {
    /// Machines to return, and why.
    pub returns: Vec<(MachineId, &'static str)>,
    /// Tasks to stop: they drain off machines that leave.
    pub stops: Vec<(JobId, u32)>,
    /// Machines that begin, or cease, to be emptied.
    pub standings: Vec<(MachineId, Standing)>,
    /// Read the machine list.
    pub list: bool,
    /// Read the machine types.
    pub types: bool,
    /// Idle machines were looked for.
    pub idle: bool,
    /// Moves were looked for.
    pub moves: bool,
}

/// With every timer step: lists, lost machines, idle machines, returns. `sure`: the store has
/// answered lately. A leader that it has not may be cut off, and what it asks of the cloud may be
/// held back and done much later, under another leader: it then returns only what a cancellation
/// needs. Rooms must be counted.
pub fn plan(tables: &Tables, view: View, sure: bool) -> FleetPlan {
    let now = view.now;
    let rentals = &tables.rentals;
    let mut out = FleetPlan {
        list: !rentals.listing && now >= rentals.listed_at + CLOUD_LIST_MS,
        types: now >= rentals.typed_at + CLOUD_TYPES_MS,
        ..FleetPlan::default()
    };
    cancelled_in_time(tables, view, &mut out);
    if sure {
        lost(tables, view, &mut out);
        out.idle = now >= rentals.idle_at + IDLE_CHECK_MS;
        if out.idle {
            idle(tables, view, &mut out);
        }
        out.moves = now >= rentals.moved_at + MOVES_MS;
        if out.moves {
            moves::consolidate(tables, view, &mut out);
        }
    }
    drain(tables, view, &mut out);
    out
}

/// Time after a cancellation at which a task that is not proved gone costs its machine, ms.
pub fn cancelled_limit_ms(cancel_s: f64) -> u64 {
    ((cancel_s * MS_PER_S) as u64).saturating_sub(CANCEL_MARGIN_MS)
}

/// A cancelled task that is not proved gone in time costs its machine.
fn cancelled_in_time(tables: &Tables, view: View, out: &mut FleetPlan) {
    let limit = cancelled_limit_ms(view.settings.settings.workers.cancel_s);
    let due = |at: Time| view.now >= at + limit;
    let late: BTreeSet<MachineId> =
        tables.cancelled_there().filter(|(_, at)| due(*at)).map(|(id, _)| id).collect();
    let late = late.into_iter().map(|id| (id, CANCELLED));
    out.returns.extend(late);
}

/// A machine with a notice is emptied of what gains by it: replicas move at once, tasks that can
/// save do so in time, gangs whole. A task that cannot save runs on, since it may still be done.
fn drain(tables: &Tables, view: View, out: &mut FleetPlan) {
    let now = view.now;
    let report_ms = view.settings.settings.workers.report_s * MS_PER_S;
    for machine in tables.machines.values() {
        let Some(recall) = machine.recall_at else { continue };
        for (id, task) in machine.tasks.keys() {
            let Some(job) = tables.jobs.get(id) else { continue };
            let save_ms = (job.spec.save_s + EASE_EXTRA_S) * MS_PER_S + 2.0 * report_ms;
            let due = match job.spec.kind {
                Kind::Service => true,
                _ => job.spec.checkpoint_s > 0.0 && (now as f64 + save_ms) >= recall as f64,
            };
            if !due {
                continue;
            }
            out.stops.push((id.clone(), *task));
        }
    }
}

/// Machines given up by what membership knows, boots that are far too late, machines about to be taken.
fn lost(tables: &Tables, view: View, out: &mut FleetPlan) {
    let now = view.now;
    let mut deaf_left = deaf_allowed(tables, now);
    let lease_ms = view.lease_ms();
    for machine in tables.machines.values() {
        if machine.standing() == Standing::Returning {
            continue;
        }
        let kind = view.types.iter().find(|t| t.name == machine.kind);
        let mut leave = |why| out.returns.push((machine.id.clone(), why));
        if let Some(at) = machine.recall_at
            && now + 1_000 >= at
        {
            leave("the cloud takes it back");
            continue;
        }
        if let Some(seen) = tables.seen(machine) {
            let members = tables.members.as_ref();
            if members.is_some_and(|m| m.give_up(&machine.id, seen, now)) {
                leave("it is silent");
            } else if deaf_left > 0
                && machine.ear.hearing() == Hearing::Deaf
                && spent(tables, machine)
            {
                deaf_left -= 1;
                leave(DEAF);
            } else if deaf_left > 0
                && machine.mute()
                && machine.unreported_ms(now) > lease_ms * LOST_SHARE * CUT_PATIENCE
                && spent(tables, machine)
            {
                deaf_left -= 1;
                leave(MUTE);
            }
        } else if machine.heard.is_none() {
            let boot = kind.map_or(BOOT_UNKNOWN_MS, |t| t.boot_ms);
            let late = (boot * BOOT_LATE_FACTOR).max(boot + BOOT_LATE_MS as f64) as u64;
            if now.saturating_sub(machine.rented_at.max(tables.since)) > late {
                leave("it never came up");
            }
        }
    }
}

/// Why a machine is returned in time for a cancellation.
pub const CANCELLED: &str = "a cancelled task is not proved gone";
/// Why a machine is returned that does not hear.
pub const DEAF: &str = "it does not hear";
/// Why a machine is returned whose reports do not arrive, though it answers.
pub const MUTE: &str = "it answers, and reports to nobody";

/// How many more machines may be returned now for not hearing: where the way back of a whole zone is lost its
/// machines must not all be given up, and others rented in their place that hear no more than they.
fn deaf_allowed(tables: &Tables, now: Time) -> usize {
    let known = tables.machines.len() as f64;
    let most = ((known * DEAF_RETURN_SHARE) as usize).max(DEAF_RETURN_LEAST);
    most.saturating_sub(tables.rentals.deaf_returned(now))
}

/// Whether nothing is left on a machine that does not hear and that may still end by itself: what it runs
/// goes on until its lease ends, and its reports arrive. Replicas only end with it.
fn spent(tables: &Tables, machine: &Machine) -> bool {
    let ends = |(job, task): &(JobId, u32)| {
        let job = tables.jobs.get(job).filter(|j| j.spec.kind != Kind::Service && !j.cancelled());
        job.and_then(|j| j.attempts.get(task)).is_some_and(|a| a.seen && a.occupies())
    };
    !machine.tasks.keys().any(ends)
}

/// Machines without work are returned after a while, suspects as soon as they are empty. What work
/// that waits may use is kept, and so is the reserve for services.
fn idle(tables: &Tables, view: View, out: &mut FleetPlan) {
    let (now, types) = (view.now, view.types);
    let empty: Vec<MachineId> = tables
        .machines
        .values()
        .filter(|m| m.standing() == Standing::Ready && m.tasks.is_empty() && m.strays.is_empty())
        // What does not hear is given up under a bound of its own.
        .filter(|m| {
            m.suspect
                || m.renewed
                || m.ear.hears() && !m.mute() && now >= m.idle_since + view.steering.idle_ms
        })
        .map(|m| m.id.clone())
        .collect();
    if empty.is_empty() {
        return;
    }
    let mut demand = Demand::count(tables, view);
    let mut reserve = Reserve::count(tables, types, view.steering.reserve);
    for id in empty {
        let Some(machine) = tables.machines.get(&id) else { continue };
        if machine.suspect {
            out.returns.push((id, "it is suspected"));
        } else if machine.renewed {
            out.returns.push((id, "its worker has begun anew"));
        } else if !demand.wants(machine) && !reserve.needs(machine, types) {
            out.returns.push((id, "it is idle"));
        }
    }
}
