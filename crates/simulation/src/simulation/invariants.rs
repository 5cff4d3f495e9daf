//! Checks the invariants of the protocol against the tasks that are on the machines.

use super::{SimulatedJob, Simulation};
use crate::worker::FakeWorker;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use swiftsail_controller::controller::Controller;

impl Simulation {
    /// Checks all invariants on the current state, and adds each new violation to [`Simulation::violations`].
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn check_invariants(&mut self) {
        let mut machine_by_task: HashMap<&str, &str> = HashMap::new();
        let mut cpus_by_team: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: HashMap<&str, BTreeMap<&str, u32>> = HashMap::new();
        let jobs: HashMap<&str, &SimulatedJob> =
            self.jobs.iter().map(|j| (j.id.as_str(), j)).collect();
        let mut found = Vec::new();
        let cancel_ms = (super::controller_settings(0).settings.workers.cancel_s * 1_000.0) as u64;
        let mut gpus_by_team: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.cluster.workers.values().filter(|w| !w.is_terminated) {
            for task in worker.tasks.iter().filter(|t| t.is_on_machine()) {
                let id = task.name.split('/').next().unwrap_or("");
                if let Some(other) = machine_by_task.insert(&task.name, &worker.name) {
                    found.push(format!("ran_twice: {} on {other} and {}", task.name, worker.name));
                }
                let Some(job) = jobs.get(id) else { continue };
                *cpus_by_team.entry(job.text_field("crew")).or_default() +=
                    job.number_field("cpus");
                *gpus_by_team.entry(job.text_field("crew")).or_default() +=
                    job.number_field("accelerators");
                if worker.hardware.spot && !job.body["driftwood"].as_bool().unwrap_or(false)
                    || job.body["dock"].as_str().is_some_and(|z| z != worker.hardware.zone)
                    || job.body["hulls"].as_array().is_some_and(|t| {
                        !t.iter().any(|t| t == worker.hardware.machine_type.as_str())
                    })
                {
                    found.push(format!("wrong_place: {} on {}", task.name, worker.name));
                }
                *zones.entry(id).or_default().entry(&worker.hardware.zone).or_default() += 1;
                if job.cancellation_told_at.is_some_and(|at| self.now > at + cancel_ms) {
                    found.push(format!("ran_cancelled: {}", task.name));
                }
            }
        }
        for (id, zones) in &zones {
            let job = jobs[id];
            if job.body["one_zone"] == json!(true) && zones.len() > 1 {
                found.push(format!("wrong_place: {id} in several zones"));
            }
            let max_per_zone = job.task_count().div_ceil(2);
            if job.body["scatter"] == json!(true) && zones.values().any(|n| *n > max_per_zone) {
                found.push(format!("wrong_place: {id} not spread"));
            }
        }
        // The leader recomputes a machine's free resources only when its tasks change, and must not miss a change.
        for cluster_state in self.controllers.iter().flatten().filter_map(Controller::cluster_state)
        {
            for machine in cluster_state.machines.values() {
                let total = match machine.machine_type.as_str() {
                    "s4" => 4.0,
                    "g2" => 24.0,
                    "l64" => 64.0,
                    _ => 8.0,
                };
                let allocated = machine.tasks.keys().filter_map(|(job, task)| {
                    let job = cluster_state.jobs.get(job)?;
                    job.attempts
                        .get(task)
                        .is_some_and(|a| a.occupies_resources())
                        .then_some(job.spec.cpus)
                });
                let has_unknown_orphan = machine.orphaned_tasks.values().any(Option::is_none);
                let orphaned: f64 = machine.orphaned_tasks.values().flatten().map(|r| r.cpus).sum();
                let expected_free = total - allocated.sum::<f64>() - orphaned;
                if machine
                    .free_resources()
                    .is_some_and(|f| !has_unknown_orphan && (f.cpus - expected_free).abs() > 1e-6)
                {
                    found.push(format!(
                        "miscounted: {} holds {:?}",
                        machine.id,
                        machine.free_resources()
                    ));
                }
            }
        }
        let settings = super::controller_settings(0);
        for (team_name, used) in gpus_by_team {
            let team = settings.settings.teams.iter().find(|t| t.name == team_name);
            if team.is_some_and(|t| t.gpus_max > 0.0 && used > t.gpus_max + 1e-6) {
                found.push(format!("quota: {team_name} uses {used} accelerators"));
            }
        }
        for (team_name, used) in cpus_by_team {
            let team = settings.settings.teams.iter().find(|t| t.name == team_name);
            if team.is_some_and(|t| t.cpus_max > 0.0 && used > t.cpus_max + 1e-6) {
                found.push(format!("quota: {team_name} uses {used}"));
            }
        }
        // Starts after the user was told of the cancellation: allowed within `cancel_s`, but wasted work, so counted.
        let mut starts = Vec::new();
        for worker in self.cluster.workers.values().filter(|w| !w.is_terminated) {
            for task in worker.tasks.iter().filter(|t| t.is_on_machine()) {
                if self
                    .latest_attempts
                    .get(&task.name)
                    .is_none_or(|attempt| *attempt < task.attempt)
                {
                    starts.push((task.name.clone(), task.attempt));
                }
            }
        }
        for (name, attempt) in starts {
            let id = name.split('/').next().unwrap_or("");
            if jobs.get(id).is_some_and(|j| j.cancellation_told_at.is_some_and(|at| at < self.now))
            {
                self.starts_after_cancellation.push(name.clone());
            }
            if !self.are_dependencies_done(id) {
                found.push(format!("too_early: {name}"));
            }
            self.latest_attempts.insert(name, attempt);
        }
        found.extend(self.check_work_conservation());
        for violation in found {
            if !self.violations.contains(&violation) {
                self.violations.push(violation);
            }
        }
    }

    /// Describes a job as the leaders know it, and its tasks on the machines, for the message of a failed test.
    pub fn describe_job(&self, id: &str) -> String {
        let tables = self.controllers.iter().flatten().filter_map(Controller::cluster_state);
        let jobs = tables.filter_map(|t| t.jobs.get(id));
        let tasks: Vec<_> = self
            .cluster
            .workers
            .values()
            .flat_map(|w| w.tasks.iter().map(move |t| (&w.name, w.is_terminated, t)))
            .filter(|(_, _, t)| t.name.starts_with(&format!("{id}/")))
            .collect();
        format!("{:#?} {tasks:?}", jobs.collect::<Vec<_>>())
    }

    /// Injects a violation: copies a running task to a second machine. Returns whether it found a task and another machine.
    pub fn inject_duplicate_run(&mut self) -> bool {
        let workers = &mut self.cluster.workers;
        let running = workers.values().find_map(|w: &FakeWorker| {
            let task = w.tasks.iter().find(|t| t.is_on_machine())?;
            (!w.is_terminated).then(|| (w.name.clone(), task.clone()))
        });
        let Some((name, task)) = running else { return false };
        let other = workers.values_mut().find(|w| w.name != name && !w.is_terminated);
        other.map(|w| w.tasks.push(task)).is_some()
    }
}
