//! Detects priority inversions: a task bound to resources that a waiting replica of a service with precedence, in an
//! ordered tier, could have used. Checked after each scheduling cycle of a leader, on the leader's cluster state, without
//! the code that makes the placement decisions.

use super::Simulation;
use std::collections::BTreeSet;
use swiftsail_controller::cluster_state::{ClusterState, priority_attribute, quota_per_task};
use swiftsail_controller::controller::Controller;
use swiftsail_controller::job::{AttemptPhase, Job, JobId, JobKind, JobState};
use swiftsail_controller::machine::{Machine, Resources};

/// Whether a replica of a job could have been placed on a machine with these free resources.
fn could_place(
    state: &ClusterState,
    sim: &Simulation,
    job: &Job,
    machine: &Machine,
    free: Resources,
) -> bool {
    let spec = &job.spec;
    let zone_of =
        |m: &swiftsail_controller::job::MachineId| state.machines.get(m).map(|m| m.zone.as_str());
    let in_zone = job.max_attempts_in_zone(zone_of, &machine.zone);
    let machine_types = sim.cluster.cloud.offers().iter().map(|o| &o.machine_type);
    let wastes_gpus = machine_types.clone().any(|h| h.name == machine.machine_type && h.gpus > 0.0)
        && spec.gpus <= 0.0;
    let settings = super::controller_settings(0);
    let teams = &settings.settings.teams;
    let team = teams.iter().position(|t| t.name == spec.team);
    let quota_allows = team.is_some_and(|n| {
        state.quota_limit(n, &teams[n]).allows(state.quota_usage(teams)[n], quota_per_task(spec))
    });
    free.fits_task(spec)
        && (!machine.spot || spec.spot)
        && spec.machine_types.as_ref().is_none_or(|t| t.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
        && (!spec.spread || in_zone < spec.max_tasks_per_zone())
        && !wastes_gpus
        && quota_allows
        && !job.bad_machines.contains(&machine.id)
        && machine.may_receive_work()
}

impl Simulation {
    /// The total resources of a machine of a type.
    fn resources_of_type(&self, type_name: &str) -> Option<Resources> {
        let machine_type = self
            .cluster
            .cloud
            .offers()
            .iter()
            .map(|o| &o.machine_type)
            .find(|h| h.name == type_name)?;
        let (cpus, gpus) = (machine_type.cpus, machine_type.gpus);
        Some(Resources::of_machine(cpus, gpus, machine_type.memory_gb))
    }

    /// Called after an event of a controller: if a scheduling cycle has run, compares its bindings with the waiting jobs.
    pub(super) fn check_priority_inversions(&mut self, n: usize) {
        if !self.checks_priority_inversions {
            return;
        }
        let Some(state) = self.controllers[n].as_ref().and_then(Controller::cluster_state) else {
            return;
        };
        let cycle = (n, self.incarnations[n], state.cycles);
        if self.last_checked_cycle == Some(cycle) {
            return;
        }
        let is_waiting = |j: &Job| {
            let has_waiting_tasks = j.state() == JobState::Live && !j.waiting.is_empty();
            has_waiting_tasks && j.tier.ordered && j.spec.kind == JobKind::Service
        };
        let now_waiting: BTreeSet<JobId> =
            state.jobs.values().filter(|j| is_waiting(j)).map(|j| j.id.clone()).collect();
        // Only jobs that were waiting after the previous cycle too: others may have become waiting in this one.
        let waiting_jobs: Vec<&Job> = state
            .jobs
            .values()
            .filter(|j| now_waiting.contains(&j.id) && self.waiting_in_last_cycle.contains(&j.id))
            .collect();
        let key = |j: &Job| (std::cmp::Reverse(priority_attribute(j.spec.priority)), j.tier);
        let mut found = Vec::new();
        for job in state.jobs.values() {
            for (task, a) in job.attempts.iter() {
                let bound_in_cycle =
                    a.phase() == AttemptPhase::Committing && a.bound_at() == state.last_cycle_at;
                let Some(machine) = state.machines.get(a.machine()).filter(|_| bound_in_cycle)
                else {
                    continue;
                };
                // Free resources are recomputed, so that an error in the leader's accounting does not hide an inversion.
                // Of the other bindings of this cycle only those with precedence count; each is checked by itself.
                let Some(mut free) = self.resources_of_type(&machine.machine_type) else {
                    continue;
                };
                let other_tasks = machine.tasks.iter().filter_map(|((id, t), _)| {
                    let other = state.jobs.get(id)?;
                    let attempt = other.attempts.get(t).filter(|o| o.occupies_resources())?;
                    let came_first =
                        attempt.bound_at() < state.last_cycle_at || key(other) < key(job);
                    came_first.then(|| Resources::for_task(&other.spec))
                });
                other_tasks.for_each(|each| free.subtract(&each));
                let candidates = waiting_jobs.iter().filter(|h| key(h) < key(job));
                if let Some(waiting) =
                    candidates.into_iter().find(|h| could_place(state, self, h, machine, free))
                {
                    found
                        .push(format!("{}/{task} on {} before {}", job.id, machine.id, waiting.id));
                }
            }
        }
        self.priority_inversions.extend(found);
        self.last_checked_cycle = Some(cycle);
        self.waiting_in_last_cycle = now_waiting;
    }
}
