//! Renting and returning machines.

mod moves;

use crate::cloud::{Call, Outcome};
use crate::cluster::Ctx;
use crate::cluster::leader::Leader;
use crate::constants::*;
use crate::job::{Job, Kind, MachineId, Time};
use crate::machine::{Machine, Standing};
use crate::placement::Reserve;
use crate::wire::cloud::Rent;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Machines that are wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub number: u32,
}

/// A rental asked for and not answered.
#[derive(Debug, Clone)]
struct Asked {
    wish: Wish,
    at: Time,
    /// It has left at least once: its name then stands for this number of machines.
    left: bool,
}

/// Rentals and returns under way.
#[derive(Debug, Default)]
pub struct Fleet {
    charters: u64,
    asked: BTreeMap<String, Asked>,
    refused: HashMap<(String, String, bool), (Time, u64)>,
    returning: BTreeSet<MachineId>,
    wanted: BTreeSet<MachineId>,
    returned: VecDeque<MachineId>,
    /// Keys of bindings whose job is over, to be removed.
    pub left_over: Vec<String>,
    listed_at: Time,
    idle_at: Time,
    moved_at: Time,
    typed_at: Time,
    listing: bool,
}

impl Fleet {
    /// Rentals asked for and not answered.
    pub fn asked(&self) -> Vec<(Wish, Time)> {
        self.asked.values().map(|a| (a.wish.clone(), a.at)).collect()
    }

    /// Whether a machine was returned under this term.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.returned.contains(id)
    }

    /// A machine reports for the first time.
    pub fn arrived(&mut self, id: &MachineId) {
        tracing::debug!(machine = %id, "machine up");
    }

    /// Whether a rental is worth asking for.
    pub fn may_rent(&self, kind: &str, zone: &str, spot: bool, now: Time) -> bool {
        let key = (kind.to_string(), zone.to_string(), spot);
        let waiting = self.asked.values().map(|a| &a.wish);
        let waiting = waiting.filter(|w| w.kind == kind && w.zone == zone && w.spot == spot);
        waiting.count() < RENTALS_OPEN_MOST
            && self.refused.get(&key).is_none_or(|(until, _)| now >= *until)
    }

    /// Asks for machines, the most wanted first. A request's name comes from the token and a
    /// counter: no node reuses it. One that has not left yet takes more in, since the cloud's
    /// calls a second are few.
    pub fn rent(&mut self, token: u64, mut wishes: Vec<Wish>, ctx: &mut Ctx) {
        wishes.sort_by_key(|w| std::cmp::Reverse(w.number));
        for wish in wishes {
            let mut left = wish.number;
            let same = |w: &Wish| w.kind == wish.kind && w.zone == wish.zone && w.spot == wish.spot;
            for (charter, asked) in self.asked.iter_mut().filter(|(_, a)| !a.left && same(&a.wish))
            {
                let more = left.min(RENT_MOST.saturating_sub(asked.wish.number));
                if more > 0 && ctx.cloud.enlarge(charter, asked.wish.number + more) {
                    asked.wish.number += more;
                    left -= more;
                }
            }
            while left > 0 {
                let number = left.min(RENT_MOST);
                left -= number;
                self.charters += 1;
                let charter = format!("s{token}-{}", self.charters);
                tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, number, "renting machines");
                let part = Wish { number, ..wish.clone() };
                ctx.cloud.push(Call::Rent(rent_call(&charter, &part)));
                self.asked.insert(charter, Asked { wish: part, at: ctx.now, left: false });
            }
        }
    }

    /// Marks a machine to be returned.
    pub fn want_return(&mut self, machine: &mut Machine, why: &str) {
        if machine.advance(Standing::Returning) {
            tracing::debug!(machine = %machine.id, why, "returning machine");
            self.wanted.insert(machine.id.clone());
        }
    }
}

fn rent_call(charter: &str, wish: &Wish) -> Rent {
    Rent {
        charter: charter.to_string(),
        hull: wish.kind.clone(),
        dock: wish.zone.clone(),
        driftwood: wish.spot,
        number: wish.number,
    }
}

/// The cloud has answered, or not.
pub fn on_cloud(leader: &mut Leader, call: &Call, outcome: &Outcome, ctx: &mut Ctx) {
    let now = ctx.now;
    match (call, outcome) {
        (Call::Rent(rent), Outcome::Rented(berths)) => {
            let Some(Asked { wish, .. }) = leader.fleet.asked.remove(&rent.charter) else { return };
            let key = (wish.kind.clone(), wish.zone.clone(), wish.spot);
            let got = berths.berths.len() as u32;
            if got < wish.number {
                refuse(&mut leader.fleet, key, now);
                leader.plan_again();
            } else {
                leader.fleet.refused.remove(&key);
            }
            for name in &berths.berths {
                let id = MachineId::from(name.as_str());
                let machine =
                    leader.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, now));
                if machine.heard.is_none() {
                    machine.recount();
                    machine.kind.clone_from(&wish.kind);
                    machine.zone.clone_from(&wish.zone);
                    machine.spot = wish.spot;
                    machine.rented_at = now;
                }
            }
        }
        (Call::Rent(rent), Outcome::NoCapacity | Outcome::Malformed(_)) => {
            if let Some(Asked { wish, .. }) = leader.fleet.asked.remove(&rent.charter) {
                leader.plan_again();
                tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, "no capacity");
                refuse(&mut leader.fleet, (wish.kind, wish.zone, wish.spot), now);
            }
        }
        // The same name again: if it was served, the answer is the same and nothing is rented.
        (Call::Rent(rent), _) => {
            if let Some(asked) = leader.fleet.asked.get_mut(&rent.charter) {
                asked.left = true;
                ctx.cloud.push(call.clone());
            }
        }
        (Call::Return(names), Outcome::Returned) => {
            for name in names {
                let id = MachineId::from(name.as_str());
                leader.fleet.returning.remove(&id);
                leader.fleet.returned.push_back(id.clone());
                if leader.fleet.returned.len() > RETURNED_MOST {
                    leader.fleet.returned.pop_front();
                }
                leader.machine_gone(&id, now);
            }
        }
        (Call::Return(names), _) => {
            for name in names {
                let id = MachineId::from(name.as_str());
                leader.fleet.returning.remove(&id);
                leader.fleet.wanted.insert(id);
            }
        }
        (Call::List(_), Outcome::Listed(page)) => {
            leader.on_listing(page, now);
            leader.fleet.listing = page.has_next;
            if let Some(last) = page.berths.last().filter(|_| page.has_next) {
                ctx.cloud.push(Call::List(Some(last.name_id.clone())));
            }
        }
        (Call::List(_), _) => leader.fleet.listing = false,
        (Call::Types, _) => {}
    }
}

fn refuse(fleet: &mut Fleet, key: (String, String, bool), now: Time) {
    let entry = fleet.refused.entry(key).or_insert((0, 0));
    entry.1 = if entry.1 == 0 { NO_CAPACITY_MS } else { (entry.1 * 2).min(NO_CAPACITY_MOST_MS) };
    entry.0 = now + entry.1;
}

/// With every timer step: lists, lost machines, idle machines, returns.
pub fn tick(leader: &mut Leader, ctx: &mut Ctx) {
    let now = ctx.now;
    if !leader.fleet.listing && now >= leader.fleet.listed_at + CLOUD_LIST_MS {
        leader.fleet.listed_at = now;
        leader.fleet.listing = true;
        ctx.cloud.push(Call::List(None));
    }
    if now >= leader.fleet.typed_at + CLOUD_TYPES_MS {
        leader.fleet.typed_at = now;
        ctx.cloud.push(Call::Types);
    }
    cancelled_in_time(leader, ctx);
    // A leader that the store has not answered lately may be cut off, and what it asks of the
    // cloud may be held back and done much later, under another leader: it then returns only
    // what a cancellation needs.
    let sure = ctx.store.last_ok.is_some_and(|at| now.saturating_sub(at) <= GRANT_TTL_MS);
    if sure {
        lost(leader, ctx);
        idle(leader, ctx);
        moves::consolidate(leader, ctx);
    }
    drain(leader, ctx);
    // One return waits or flies at a time, and takes all that has come up: a wave of machines lost
    // must not keep rentals waiting for its many calls.
    let batch: Vec<MachineId> = leader.fleet.wanted.iter().take(RETURN_MOST).cloned().collect();
    if !batch.is_empty() && leader.fleet.returning.is_empty() {
        for id in &batch {
            leader.fleet.wanted.remove(id);
            leader.fleet.returning.insert(id.clone());
        }
        tracing::info!(machines = batch.len(), "returning machines");
        ctx.cloud.push(Call::Return(batch.iter().map(|id| id.to_string()).collect()));
    }
}

/// A cancelled task that is not proved gone in time costs its machine.
fn cancelled_in_time(leader: &mut Leader, ctx: &Ctx) {
    let limit = (ctx.settings.settings.workers.cancel_s * MS_PER_S) as u64;
    let limit = limit.saturating_sub(CANCEL_MARGIN_MS);
    let mut late = BTreeSet::new();
    for job in leader.jobs.values() {
        if job.cancelled_at.is_some_and(|at| ctx.now >= at + limit) {
            late.extend(job.attempts.values().filter(|a| a.occupies()).map(|a| a.machine.clone()));
        }
    }
    for id in late {
        let machine =
            leader.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, ctx.now));
        leader.fleet.want_return(machine, "a cancelled task is not proved gone");
    }
}

/// Many machines silent at once are cut off rather than lost: they are given more time.
fn patience(leader: &Leader, now: Time, lease_ms: f64) -> f64 {
    let heard = leader.machines.values().filter_map(|m| m.heard);
    let (mut all, mut quiet) = (0, 0);
    for at in heard {
        all += 1;
        let silent = now.saturating_sub(at.max(leader.since)) as f64;
        quiet += usize::from(silent > lease_ms * QUIET_SHARE);
    }
    let mass = all >= MASS_LEAST && quiet as f64 > all as f64 * MASS_SHARE;
    if mass { MASS_PATIENCE } else { 1.0 }
}

/// A machine with a notice is emptied of what gains by it: replicas move at once, tasks that can
/// save do so in time, gangs whole. A task that cannot save runs on, since it may still be done.
fn drain(leader: &mut Leader, ctx: &Ctx) {
    let now = ctx.now;
    let report_ms = ctx.settings.settings.workers.report_s * MS_PER_S;
    for machine in leader.machines.values() {
        let Some(recall) = machine.recall_at else { continue };
        for (id, task) in machine.tasks.keys() {
            let Some(job) = leader.jobs.get_mut(id) else { continue };
            let save_ms = (job.spec.save_s + EASE_EXTRA_S) * MS_PER_S + 2.0 * report_ms;
            let due = match job.spec.kind {
                Kind::Service => true,
                _ => job.spec.checkpoint_s > 0.0 && (now as f64 + save_ms) >= recall as f64,
            };
            if !due {
                continue;
            }
            let gang = job.spec.kind == Kind::Gang;
            if let Some(attempt) = job.attempts.get_mut(task).filter(|a| a.occupies()) {
                attempt.stop.get_or_insert((now, 0));
                job.regroup |= gang;
            }
        }
    }
}

/// Silent machines, boots that are far too late, machines about to be taken.
fn lost(leader: &mut Leader, ctx: &mut Ctx) {
    let now = ctx.now;
    let lease_ms = ctx.settings.settings.workers.lease_s * MS_PER_S;
    let patience = patience(leader, now, lease_ms);
    let limit = (lease_ms * LOST_SHARE * patience) as u64;
    for machine in leader.machines.values_mut() {
        if machine.standing() == Standing::Returning {
            continue;
        }
        let kind = ctx.type_of(&machine.kind);
        if let Some(at) = machine.recall_at
            && now + 1_000 >= at
        {
            leader.fleet.want_return(machine, "the cloud takes it back");
            continue;
        }
        match machine.heard {
            Some(at) => {
                // A new leader gives every worker time to find it.
                if now.saturating_sub(at.max(leader.since)) > limit {
                    leader.fleet.want_return(machine, "it is silent");
                }
            }
            None => {
                let boot = kind.map_or(BOOT_UNKNOWN_MS, |t| t.boot_ms);
                let late = (boot * BOOT_LATE_FACTOR).max(boot + BOOT_LATE_MS as f64) as u64;
                let bound = !machine.tasks.is_empty();
                let limit = if bound { limit.max(lease_ms as u64 + LOST_EXTRA_MS) } else { late };
                let since =
                    if bound { machine.known_at } else { machine.rented_at.max(leader.since) };
                if now.saturating_sub(since) > limit {
                    leader.fleet.want_return(machine, "it never came up");
                }
            }
        }
    }
}

/// Machines without work are returned after a while, suspects as soon as they are empty. What work
/// that waits could use is kept, and so is the reserve for services.
fn idle(leader: &mut Leader, ctx: &mut Ctx) {
    let now = ctx.now;
    let Some(types) = ctx.types.clone() else { return };
    if now < leader.fleet.idle_at + IDLE_CHECK_MS {
        return;
    }
    leader.fleet.idle_at = now;
    let empty: Vec<MachineId> = leader
        .machines
        .values()
        .filter(|m| m.standing() == Standing::Ready && m.tasks.is_empty() && m.strays.is_empty())
        .filter(|m| m.suspect || now >= m.idle_since + IDLE_MS)
        .map(|m| m.id.clone())
        .collect();
    if empty.is_empty() {
        return;
    }
    let waiting: Vec<&Job> = leader.jobs.values().filter(|j| !j.waiting.is_empty()).collect();
    let waits = waiting.iter().any(|j| j.spec.kind != Kind::Service && !j.cancelled());
    let wanted: Vec<[bool; 2]> = types
        .iter()
        .map(|t| {
            let fits = |spot: bool| {
                let may = |j: &&Job| t.allows(&j.spec) && !t.wasted_on(&j.spec);
                waits && waiting.iter().any(|j| may(j) && (!spot || j.spec.spot))
            };
            [fits(false), fits(true)]
        })
        .collect();
    let mut reserve = Reserve::count(leader, &types);
    for id in empty {
        let Some(machine) = leader.machines.get_mut(&id) else { continue };
        let kind = types.iter().position(|t| t.name == machine.kind);
        let wanted = kind.is_some_and(|k| wanted[k][usize::from(machine.spot)]);
        if machine.suspect {
            leader.fleet.want_return(machine, "it is suspected");
        } else if !wanted && !reserve.needs(machine, &types) {
            leader.fleet.want_return(machine, "it is idle");
        }
    }
}
