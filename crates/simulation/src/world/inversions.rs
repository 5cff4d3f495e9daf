//! Whether waiting core work is passed over: a task of a lower tier bound to room that a waiting replica of an
//! ordered tier could have used. Told by the leader's tables alone, after each of its passes, and by none of its code
//! that decides.

use super::World;
use std::collections::BTreeSet;
use swiftsail_controller::job::{Job, JobId, JobState, Kind, Stage};
use swiftsail_controller::machine::{Machine, Room};
use swiftsail_controller::node::Node;
use swiftsail_controller::tables::{Tables, amounts_of, rank_of};

/// Whether a replica of a job could have had a machine that has so much room.
fn could_use(tables: &Tables, world: &World, job: &Job, machine: &Machine, room: Room) -> bool {
    let spec = &job.spec;
    let zone_of =
        |m: &swiftsail_controller::job::MachineId| tables.machines.get(m).map(|m| m.zone.as_str());
    let there = job.in_zone(zone_of, &machine.zone);
    let offered = world.plant.cloud.offered().iter().map(|o| &o.hull);
    let wasteful =
        offered.clone().any(|h| h.sku == machine.kind && h.accelerators > 0.0) && spec.gpus <= 0.0;
    let settings = super::settings(0);
    let teams = &settings.settings.teams;
    let team = teams.iter().position(|t| t.name == spec.team);
    let allowed = team
        .is_some_and(|n| tables.cap(n, &teams[n]).allows(tables.usage(teams)[n], amounts_of(spec)));
    room.holds(spec)
        && (!machine.spot || spec.spot)
        && spec.types.as_ref().is_none_or(|t| t.contains(&machine.kind))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
        && (!spec.spread || there < spec.zone_cap())
        && !wasteful
        && allowed
        && !job.bad_machines.contains(&machine.id)
        && machine.trusted()
}

impl World {
    /// All room of a machine type.
    fn room_of(&self, kind: &str) -> Option<Room> {
        let hull = self.plant.cloud.offered().iter().map(|o| &o.hull).find(|h| h.sku == kind)?;
        Some(Room { cpus: hull.cpus, gpus: hull.accelerators, memory_gb: hull.memory_gb })
    }

    /// After an event of a controller: if it has played a pass, what that has bound is compared with what waits.
    pub(super) fn look_for_inversions(&mut self, n: usize) {
        if !self.watches_order {
            return;
        }
        let Some(tables) = self.nodes[n].as_ref().and_then(Node::tables) else { return };
        let life = (n, self.lives[n], tables.passes);
        if self.looked_at == Some(life) {
            return;
        }
        let waits = |j: &Job| {
            let open = j.state() == JobState::Live && !j.waiting.is_empty();
            open && j.tier.ordered && j.spec.kind == Kind::Service
        };
        let now_waiting: BTreeSet<JobId> =
            tables.jobs.values().filter(|j| waits(j)).map(|j| j.id.clone()).collect();
        // Only who was passed over in the pass before too has been passed over for longer than one.
        let core: Vec<&Job> = tables
            .jobs
            .values()
            .filter(|j| now_waiting.contains(&j.id) && self.waited.contains(&j.id))
            .collect();
        let key = |j: &Job| (std::cmp::Reverse(rank_of(j.spec.priority)), j.tier);
        let mut found = Vec::new();
        for job in tables.jobs.values() {
            for (task, a) in &job.attempts {
                let fresh = a.stage() == Stage::Committing && a.since == tables.passed_at;
                let Some(machine) = tables.machines.get(&a.machine).filter(|_| fresh) else {
                    continue;
                };
                // Counted by hand: what the leader believes to be free is its own business. What else this pass has
                // bound there came first or is looked at by itself.
                let Some(mut room) = self.room_of(&machine.kind) else { continue };
                let others = machine.tasks.iter().filter_map(|((id, t), _)| {
                    let other = tables.jobs.get(id)?;
                    let held = other.attempts.get(t).filter(|o| o.occupies())?;
                    let first = held.since < tables.passed_at || key(other) < key(job);
                    first.then(|| Room::of(&other.spec))
                });
                others.for_each(|each| room.take(&each));
                let passed = core.iter().filter(|h| key(h) < key(job));
                if let Some(h) =
                    passed.into_iter().find(|h| could_use(tables, self, h, machine, room))
                {
                    found.push(format!("{}/{task} on {} before {}", job.id, machine.id, h.id));
                }
            }
        }
        self.inversions.extend(found);
        self.looked_at = Some(life);
        self.waited = now_waiting;
    }
}
