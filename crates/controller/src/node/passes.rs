//! Plans applied: what placement and fleet want done, checked against the rules once more, on the
//! tables themselves. Nothing else binds a task, and nothing else asks the cloud.

use super::{Action, Ctx, Node};
use crate::Time;
use crate::cloud::{self, Call, Cloud};
use crate::constants::*;
use crate::fleet::{self, FleetPlan};
use crate::job::{Job, JobId, MachineId, Muster, Spec};
use crate::machine::{Machine, Room};
use crate::placement::{self, Plan, Step, View};
use crate::tables::{Guard, Line, Tables, Wish, usable};
use std::cmp::Reverse;
use std::sync::Arc;
use swiftsail_failure_detector::Probe;
use swiftsail_tiers::Tiers;
use swiftsail_protocol::workers::Report;

/// What came of a pass.
#[derive(Debug)]
pub struct Passed {
    /// Tasks bound.
    pub bound: usize,
    /// Scores computed: what it cost, whatever the processor's speed.
    pub scored: u64,
    /// Places looked at.
    pub looked: u64,
    /// Machines to rent, if the pass was a round and came to its end.
    pub wishes: Option<Vec<Wish>>,
}

/// Plays a pass on the tables: a round (`full`), or what finds free room between rounds.
pub fn pass(tables: &mut Tables, view: View, full: bool) -> Passed {
    tables.begin_pass(view.now);
    tables.count_rooms(view.types);
    let mut guard = Guard::new(tables, &view.settings.settings.teams, view.types);
    let promoted = promote(tables, &mut guard, view);
    if promoted > 0 {
        tables.count_rooms(view.types);
    }
    let mut plan = placement::plan(tables, view, full);
    let (wishes, scored, looked) = (plan.wishes.take(), plan.scored, plan.looked);
    if let Some(idle) = plan.idle.take() {
        tables.note_idle(idle, view.now);
    }
    let bound = promoted + apply(tables, &mut guard, view, plan);
    if wishes.is_some() {
        tables.round_at = view.now;
        tables.misses = 0;
    }
    Passed { bound, scored, looked, wishes }
}

/// Asks for machines, the most wanted first. A rental that has not left yet takes more in, since the
/// cloud's calls a second are few.
pub fn rent(tables: &mut Tables, cloud: &mut Cloud, wishes: Vec<Wish>, now: Time) {
    for wish in wishes {
        let mut left = wish.number;
        for (charter, asked) in tables.rentals.growing(&wish) {
            let more = left.min(RENT_MOST.saturating_sub(asked.wish.number));
            if more > 0 && cloud.enlarge(charter, asked.wish.number + more) {
                asked.wish.number += more;
                left -= more;
            }
        }
        while left > 0 {
            let number = left.min(RENT_MOST);
            left -= number;
            tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, number, "renting machines");
            let part = Wish { number, ..wish.clone() };
            let charter = tables.rentals.ask(tables.token, part.clone(), now);
            cloud.push(Call::Rent(part.request(&charter)));
        }
    }
}

/// What the fleet needs, with every timer step. `sure`: the store has answered lately. Gives back the
/// machines to ask directly whether they live.
pub fn tend(tables: &mut Tables, cloud: &mut Cloud, view: View, sure: bool) -> Vec<MachineId> {
    let now = view.now;
    let ask = match now >= tables.looked_at + MEMBERS_MS {
        true => tables.look_at_members(&view.settings.settings, now),
        false => Vec::new(),
    };
    let rentals = &tables.rentals;
    if now >= rentals.idle_at + IDLE_CHECK_MS || now >= rentals.moved_at + MOVES_MS {
        tables.count_rooms(view.types);
    }
    let plan = fleet::plan(tables, view, sure);
    if plan.list {
        tables.rentals.listed_at = now;
        tables.rentals.listing = true;
        cloud.push(Call::List(None));
    }
    if plan.types {
        tables.rentals.typed_at = now;
        cloud.push(Call::Types);
    }
    apply_fleet(tables, plan, now);
    // What waits to leave is not asked for once more.
    let pressing = if cloud.returns_wait() { vec![] } else { tables.rentals.pressing_returns(now) };
    for batch in [pressing, tables.rentals.next_returns()] {
        if !batch.is_empty() {
            tracing::info!(machines = batch.len(), "returning machines");
            cloud.push(Call::Return(batch.iter().map(|id| id.to_string()).collect()));
        }
    }
    ask
}

impl Node {
    /// Plays a pass, if one is due.
    pub(super) fn place(&mut self) {
        let now = self.now.steady;
        let may = self.sure() && now >= self.rest_until;
        let Some(leader) = self.leader.as_ref().filter(|_| may) else { return };
        let round_ms = self.pressure.stretched(self.steering.round_ms);
        let pass_ms = self.pressure.stretched(PASS_MS);
        let Some(full) = placement::want_pass(leader, pass_ms, round_ms, now) else { return };
        self.steer(full);
        self.steering.bounds = self.bounds();
        let Some(leader) = &mut self.leader else { return };
        let Some(types) = self.types.clone() else { return };
        let settings = self.settings.clone();
        let wall = self.now.wall;
        let view = View { now, wall, settings: &settings, types: &types, steering: &self.steering };
        let passed = pass(leader, view, full);
        self.scored += passed.scored;
        // However large the cluster, placement leaves the processor to leases and the term.
        let us = passed.looked as f64 * LOOK_US + passed.scored as f64 * SCORE_US;
        self.pass_us += us;
        let wall_ms = us / MS_PER_S / settings.settings.machine_limits.cores;
        if wall_ms > LONG_PASS_MS {
            self.rest_until = now + (wall_ms * PASS_REST) as u64;
        }
        self.host.end_pass(passed.scored);
        let mut wishes = passed.wishes.unwrap_or_default();
        wishes.sort_by_key(|w| Reverse(w.number));
        self.keep_to_headroom(&mut wishes);
        let Some(leader) = &mut self.leader else { return };
        rent(leader, &mut self.cloud, wishes, now);
        if passed.bound > 0 {
            leader.write_ledger(&mut ctx!(self));
        }
    }

    /// With every timer step: what the fleet needs.
    pub(super) fn tend_fleet(&mut self) {
        let now = self.now.steady;
        let crowded = self.crowded();
        let Some(leader) = &mut self.leader else { return };
        if crowded {
            self.steering.idle_ms = 0;
        }
        let fresh = |name: &String| {
            let peer = self.peers.get(name);
            peer.is_some_and(|p| now.saturating_sub(p.voucher.heard) <= BEAT_FRESH_MS)
        };
        let others = self.settings.others.iter().filter(|o| fresh(&o.host_name));
        let own = std::iter::once(&self.settings.site);
        leader.reached = others.map(|o| &o.site).chain(own).cloned().collect();
        let types = self.types.clone().unwrap_or_default();
        let sure = self.store.last_ok.is_some_and(|at| now.saturating_sub(at) <= GRANT_TTL_MS);
        let settings = self.settings.clone();
        let wall = self.now.wall;
        let view = View { now, wall, settings: &settings, types: &types, steering: &self.steering };
        for id in tend(leader, &mut self.cloud, view, sure) {
            let addr = leader.machines.get(&id).map(|m| m.addr.clone()).unwrap_or_default();
            if !addr.is_empty() {
                if self.questions.contains_key(&id)
                    && let Some(machine) = leader.machines.get_mut(&id)
                {
                    machine.asked = None;
                }
                self.actions.push(Action::Probe(id, addr));
            } else {
                // Not in the machine list yet: there is nothing to ask.
                leader.on_probed(&id, Probe::Refused, None, now);
            }
        }
    }

    /// A machine was asked directly, and answered or not.
    pub(super) fn on_probed(&mut self, id: &MachineId, probe: Probe, report: Option<Box<Report>>) {
        if self.closes_old_question(id) {
            // Whether this or a later one answers it cannot be told: it says what a report says, and no more.
        } else if let Some(leader) = &mut self.leader {
            leader.on_probed(id, probe, report.as_deref(), self.now.steady);
        }
        tracing::debug!(machine = %id, ?probe, "asked directly");
        if let Some(report) = report {
            self.on_answer(&report);
        }
    }

    /// Whether a question that an earlier lead of this process has asked of a machine is open; one is less.
    fn closes_old_question(&mut self, id: &MachineId) -> bool {
        let Some(open) = self.questions.get_mut(id) else { return false };
        *open -= 1;
        if *open == 0 {
            self.questions.remove(id);
        }
        true
    }

    /// The cloud has answered, or not.
    pub(super) fn on_cloud(&mut self, call: &Call, outcome: &cloud::Outcome) {
        use cloud::Outcome;
        let now = self.now.steady;
        self.cloud.finish(outcome, now);
        if let Outcome::Types(types) = outcome {
            self.know_types(types);
            self.keep_types_as(types);
        }
        if let (Call::Return(names), Outcome::Returned) = (call, outcome) {
            self.owed.returned(names);
        }
        let Some(leader) = &mut self.leader else { return };
        match (call, outcome) {
            (Call::Rent(rent), Outcome::Rented(berths)) => {
                leader.rented(&rent.charter, &berths.berths, now);
            }
            (Call::Rent(rent), Outcome::NoCapacity | Outcome::Malformed(_)) => {
                leader.refused(&rent.charter, now);
            }
            // The same name again: if it was served, the answer is the same and nothing is rented.
            (Call::Rent(rent), _) => {
                if leader.rentals.unanswered(&rent.charter) {
                    self.cloud.push(call.clone());
                }
            }
            (Call::Return(names), Outcome::Returned) => {
                for name in names {
                    leader.returned(&MachineId::from(name.as_str()), now);
                }
            }
            (Call::Return(names), _) => {
                for name in names {
                    leader.rentals.not_returned(MachineId::from(name.as_str()));
                }
            }
            (Call::List(_), Outcome::Listed(page)) => {
                for id in leader.on_listing(page, now) {
                    leader.want_return(&id, "it failed", now);
                }
                leader.rentals.listing = page.has_next;
                if let Some(last) = page.berths.last().filter(|_| page.has_next) {
                    self.cloud.push(Call::List(Some(last.name_id.clone())));
                }
            }
            (Call::List(_), _) => leader.rentals.listing = false,
            (Call::Types, _) => {}
        }
    }

    /// Ends the jobs of which nothing is left to do.
    pub(super) fn end_jobs(&mut self) {
        let sure = self.sure();
        let Some(leader) = self.leader.as_mut().filter(|_| sure) else { return };
        for id in leader.take_ended() {
            leader.end_if_over(&id, &mut ctx!(self));
        }
    }
}

/// Whether a replica of an ordered tier waits that could have room on a machine: what stands in a line there, of a
/// later tier or priority, then chooses again behind it. Found by a checker in worlds: lines took what came free
/// before anybody looked who waits.
fn core_wants(waiting: &[(Arc<Spec>, Tiers)], machine: &Machine, room: &Room, next: &Job) -> bool {
    waiting.iter().any(|(spec, tier)| {
        let ahead = (Reverse(spec.priority), *tier) < (Reverse(next.spec.priority), next.tier);
        ahead
            && room.holds(spec)
            && (!machine.spot || spec.spot)
            && spec.types.as_ref().is_none_or(|t| t.contains(&machine.kind))
            && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
    })
}

/// The next of a line takes the room that its head has left, unless waiting core work could have it. Those that the
/// rules or the room refuse choose again. Returns how many were bound.
fn promote(tables: &mut Tables, guard: &mut Guard, view: View) -> usize {
    let lease = view.lease_ms();
    let mut bound = 0;
    let waits = |j: &&Job| j.tier.ordered && j.queued() && !j.cancelled();
    let core: Vec<(Arc<Spec>, Tiers)> =
        tables.jobs.values().filter(waits).map(|j| (j.spec.clone(), j.tier)).collect();
    for slot in tables.lines.headless(&tables.jobs) {
        let mut line: Line = tables.lines.take(&slot);
        let machine = &slot.0;
        if !tables.machines.get(machine).is_some_and(|m| usable(m, view.now, lease)) {
            continue;
        }
        // A line before it may have bound to the same machine.
        tables.count_rooms(view.types);
        let room = tables.machines.get(machine).and_then(|m| m.free()).unwrap_or_default();
        let wanted = |id: &JobId| {
            let (m, j) = (tables.machines.get(machine), tables.jobs.get(id));
            m.zip(j).is_some_and(|(m, j)| core_wants(&core, m, &room, j))
        };
        if line.front().is_some_and(wanted) {
            continue;
        }
        while let Some(id) = line.pop_front() {
            let fits = tables
                .jobs
                .get(&id)
                .is_some_and(|j| room.holds(&j.spec) && !j.bad_machines.contains(machine));
            if fits && let Some(task) = bind(tables, guard, view, &id, machine, None) {
                bound += 1;
                tables.lines.follow(&(machine.clone(), id, task), line);
                break;
            }
        }
    }
    bound
}

/// Applies a round's plan. Returns how many tasks were bound.
fn apply(tables: &mut Tables, guard: &mut Guard, view: View, plan: Plan) -> usize {
    let mut bound = 0;
    tables.lines = plan.lines;
    for step in plan.steps {
        match step {
            Step::Bind(id, machine) => {
                bound += usize::from(bind(tables, guard, view, &id, &machine, None).is_some());
            }
            Step::Gang(id, machines) => {
                let launch = tables.next_launch();
                let ok = machines
                    .iter()
                    .filter(|m| bind(tables, guard, view, &id, m, Some(launch)).is_some());
                let ok = ok.count();
                bound += ok;
                // A part alone is never offered: it leaves, and the gang is planned anew.
                if ok < machines.len()
                    && let Some(job) = tables.jobs.get_mut(&id)
                {
                    job.gather(Muster::Leaving);
                }
            }
            Step::Preempt { by, fetch_ms, victims } => {
                for (id, task) in tables.lend(&by, victims, view.wall) {
                    tracing::debug!(job = %id, task, by = %by, "task preempted");
                    tables.want_stop(&id, task, view.now);
                }
                tables.preempting.insert(by, (view.now, fetch_ms));
            }
            Step::Gather(id, machines) => {
                // Who stands in a line there would take what comes free before anybody looks.
                machines.iter().for_each(|m| tables.lines.drop_machine(m));
                if let Some(job) = tables.jobs.get_mut(&id) {
                    job.left = machines.into_iter().map(|m| (m, view.now)).collect();
                }
            }
            Step::Hold(machines) => {
                tables.yielding.retain(|_, until| view.now < *until);
                let until = view.now + YIELD_HOLD_MS;
                tables.yielding.extend(machines.into_iter().map(|id| (id, until)));
            }
            Step::Release { by, victims } => {
                tracing::info!(job = %by, tasks = victims.len(), "stopped: the team's limit leaves a service nothing");
                for (id, task) in victims {
                    tables.want_stop(&id, task, view.now);
                }
            }
        }
    }
    tables.stir |= plan.cut_short;
    bound
}

/// Binds a job's next waiting task, if the rules allow it. `launch`: the number that a gang shares.
fn bind(
    tables: &mut Tables,
    guard: &mut Guard,
    view: View,
    id: &JobId,
    machine: &MachineId,
    launch: Option<u64>,
) -> Option<u32> {
    if let Err(why) = guard.check(tables, id, machine, launch.is_some()) {
        tracing::debug!(job = %id, machine = %machine, ?why, "a planned binding is refused");
        return None;
    }
    let value = (view.settings.settings.state.value_kb * 1024.0) as usize;
    let launch = launch.unwrap_or_else(|| tables.next_launch());
    let task = tables.bind(id, machine, launch, value - value / 32, view.now)?;
    if let Some(job) = tables.jobs.get(id) {
        guard.count(&job.spec);
    }
    Some(task)
}

fn apply_fleet(tables: &mut Tables, plan: FleetPlan, now: Time) {
    for (id, why) in plan.returns {
        if tables.want_return(&id, why, now) && matches!(why, fleet::DEAF | fleet::MUTE) {
            tables.rentals.give_up_deaf(now);
        }
        if why == fleet::CANCELLED {
            tables.rentals.press(&id);
        }
    }
    for (job, task) in plan.stops {
        tables.want_stop(&job, task, now);
    }
    for (id, standing) in plan.standings {
        tables.machine(&id, now).advance(standing);
    }
    if plan.idle {
        tables.rentals.idle_at = now;
    }
    if plan.moves {
        tables.rentals.moved_at = now;
    }
}
