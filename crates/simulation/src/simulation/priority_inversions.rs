//! Whether waiting core work is passed over: a task of a lower tier bound to room that a waiting replica of an
//! ordered tier could have used. Told by the leader's tables alone, after each of its passes, and by none of its code
//! that decides.

use super::Simulation;
use std::collections::BTreeSet;
use swiftsail_controller::cluster_state::{ClusterState, priority_attribute, quota_per_task};
use swiftsail_controller::controller::Controller;
use swiftsail_controller::job::{AttemptPhase, Job, JobId, JobKind, JobState};
use swiftsail_controller::machine::{Machine, Resources};

/// Whether a replica of a job could have had a machine that has so much room.
fn could_place(
    tables: &ClusterState,
    world: &Simulation,
    job: &Job,
    machine: &Machine,
    room: Resources,
) -> bool {
    let spec = &job.spec;
    let zone_of =
        |m: &swiftsail_controller::job::MachineId| tables.machines.get(m).map(|m| m.zone.as_str());
    let there = job.max_attempts_in_zone(zone_of, &machine.zone);
    let offered = world.cluster.cloud.offers().iter().map(|o| &o.machine_type);
    let wasteful =
        offered.clone().any(|h| h.name == machine.machine_type && h.gpus > 0.0) && spec.gpus <= 0.0;
    let settings = super::controller_settings(0);
    let teams = &settings.settings.teams;
    let team = teams.iter().position(|t| t.name == spec.team);
    let allowed = team.is_some_and(|n| {
        tables.quota_limit(n, &teams[n]).allows(tables.quota_usage(teams)[n], quota_per_task(spec))
    });
    room.fits_task(spec)
        && (!machine.spot || spec.spot)
        && spec.machine_types.as_ref().is_none_or(|t| t.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
        && (!spec.spread || there < spec.max_tasks_per_zone())
        && !wasteful
        && allowed
        && !job.bad_machines.contains(&machine.id)
        && machine.may_receive_work()
}

impl Simulation {
    /// All room of a machine type.
    fn resources_of_type(&self, kind: &str) -> Option<Resources> {
        let hull =
            self.cluster.cloud.offers().iter().map(|o| &o.machine_type).find(|h| h.name == kind)?;
        Some(Resources { cpus: hull.cpus, gpus: hull.gpus, memory_gb: hull.memory_gb })
    }

    /// After an event of a controller: if it has played a pass, what that has bound is compared with what waits.
    pub(super) fn check_priority_inversions(&mut self, n: usize) {
        if !self.checks_priority_inversions {
            return;
        }
        let Some(tables) = self.controllers[n].as_ref().and_then(Controller::cluster_state) else {
            return;
        };
        let life = (n, self.incarnations[n], tables.cycles);
        if self.last_checked_cycle == Some(life) {
            return;
        }
        let waits = |j: &Job| {
            let open = j.state() == JobState::Live && !j.waiting.is_empty();
            open && j.tier.ordered && j.spec.kind == JobKind::Service
        };
        let now_waiting: BTreeSet<JobId> =
            tables.jobs.values().filter(|j| waits(j)).map(|j| j.id.clone()).collect();
        // Only who was passed over in the pass before too has been passed over for longer than one.
        let core: Vec<&Job> = tables
            .jobs
            .values()
            .filter(|j| now_waiting.contains(&j.id) && self.waiting_in_last_cycle.contains(&j.id))
            .collect();
        let key = |j: &Job| (std::cmp::Reverse(priority_attribute(j.spec.priority)), j.tier);
        let mut found = Vec::new();
        for job in tables.jobs.values() {
            for (task, a) in &job.attempts {
                let fresh =
                    a.phase() == AttemptPhase::Committing && a.bound_at == tables.last_cycle_at;
                let Some(machine) = tables.machines.get(&a.machine).filter(|_| fresh) else {
                    continue;
                };
                // Counted by hand: what the leader believes to be free is its own business. What else this pass has
                // bound there came first or is looked at by itself.
                let Some(mut room) = self.resources_of_type(&machine.machine_type) else {
                    continue;
                };
                let others = machine.tasks.iter().filter_map(|((id, t), _)| {
                    let other = tables.jobs.get(id)?;
                    let held = other.attempts.get(t).filter(|o| o.occupies_resources())?;
                    let first = held.bound_at < tables.last_cycle_at || key(other) < key(job);
                    first.then(|| Resources::for_task(&other.spec))
                });
                others.for_each(|each| room.subtract(&each));
                let passed = core.iter().filter(|h| key(h) < key(job));
                if let Some(h) =
                    passed.into_iter().find(|h| could_place(tables, self, h, machine, room))
                {
                    found.push(format!("{}/{task} on {} before {}", job.id, machine.id, h.id));
                }
            }
        }
        self.priority_inversions.extend(found);
        self.last_checked_cycle = Some(life);
        self.waiting_in_last_cycle = now_waiting;
    }
}
