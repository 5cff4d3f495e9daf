//! The protocol's rules, checked on what is on the machines.

use super::{UserJob, World};
use crate::worker::Worker;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use swiftsail_controller::node::Node;

impl World {
    /// Checks every rule on what is on the machines now.
    pub fn check(&mut self) {
        let mut seen: HashMap<&str, &str> = HashMap::new();
        let mut cpus: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: HashMap<&str, BTreeMap<&str, u32>> = HashMap::new();
        let jobs: HashMap<&str, &UserJob> = self.jobs.iter().map(|j| (j.id.as_str(), j)).collect();
        let mut found = Vec::new();
        let cancel_ms = (super::settings(0).settings.workers.cancel_s * 1_000.0) as u64;
        let mut gpus: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.plant.workers.values().filter(|w| !w.gone) {
            for task in worker.tasks.iter().filter(|t| t.on_machine()) {
                let id = task.name.split('/').next().unwrap_or("");
                if let Some(other) = seen.insert(&task.name, &worker.name) {
                    found.push(format!("ran_twice: {} on {other} and {}", task.name, worker.name));
                }
                let Some(job) = jobs.get(id) else { continue };
                *cpus.entry(job.text("crew")).or_default() += job.number("cpus");
                *gpus.entry(job.text("crew")).or_default() += job.number("accelerators");
                if worker.hardware.spot && !job.body["driftwood"].as_bool().unwrap_or(false)
                    || job.body["dock"].as_str().is_some_and(|z| z != worker.hardware.zone)
                    || job.body["hulls"]
                        .as_array()
                        .is_some_and(|t| !t.iter().any(|t| t == worker.hardware.kind.as_str()))
                {
                    found.push(format!("wrong_place: {} on {}", task.name, worker.name));
                }
                *zones.entry(id).or_default().entry(&worker.hardware.zone).or_default() += 1;
                if job.told_cancelled.is_some_and(|at| self.now > at + cancel_ms) {
                    found.push(format!("ran_cancelled: {}", task.name));
                }
            }
        }
        for (id, zones) in &zones {
            let job = jobs[id];
            if job.body["one_zone"] == json!(true) && zones.len() > 1 {
                found.push(format!("wrong_place: {id} in several zones"));
            }
            let cap = job.tasks().div_ceil(2);
            if job.body["scatter"] == json!(true) && zones.values().any(|n| *n > cap) {
                found.push(format!("wrong_place: {id} not spread"));
            }
        }
        // The leader counts a machine's room only when its work has changed: never to miss one.
        for table in self.nodes.iter().flatten().filter_map(Node::tables) {
            for machine in table.machines.values() {
                let total = match machine.kind.as_str() {
                    "s4" => 4.0,
                    "g2" => 24.0,
                    _ => 8.0,
                };
                let held = machine.tasks.keys().filter_map(|(job, task)| {
                    let job = table.jobs.get(job)?;
                    job.attempts.get(task).is_some_and(|a| a.occupies()).then_some(job.spec.cpus)
                });
                let unknown = machine.strays.values().any(Option::is_none);
                let strays: f64 = machine.strays.values().flatten().map(|r| r.cpus).sum();
                let left = total - held.sum::<f64>() - strays;
                if machine.free().is_some_and(|f| !unknown && (f.cpus - left).abs() > 1e-6) {
                    found.push(format!("miscounted: {} holds {:?}", machine.id, machine.free()));
                }
            }
        }
        let most = super::settings(0);
        for (crew, used) in gpus {
            let team = most.settings.teams.iter().find(|t| t.name == crew);
            if team.is_some_and(|t| t.gpus_max > 0.0 && used > t.gpus_max + 1e-6) {
                found.push(format!("quota: {crew} uses {used} accelerators"));
            }
        }
        for (crew, used) in cpus {
            let team = most.settings.teams.iter().find(|t| t.name == crew);
            if team.is_some_and(|t| t.cpus_max > 0.0 && used > t.cpus_max + 1e-6) {
                found.push(format!("quota: {crew} uses {used}"));
            }
        }
        // A start after its user was told: the rule allows it for `cancel_s`, and it serves no one.
        let mut starts = Vec::new();
        for worker in self.plant.workers.values().filter(|w| !w.gone) {
            for task in worker.tasks.iter().filter(|t| t.on_machine()) {
                if self.seen_on.get(&task.name).is_none_or(|launch| *launch < task.launch) {
                    starts.push((task.name.clone(), task.launch));
                }
            }
        }
        for (name, launch) in starts {
            let id = name.split('/').next().unwrap_or("");
            if jobs.get(id).is_some_and(|j| j.told_cancelled.is_some_and(|at| at < self.now)) {
                self.started_cancelled.push(name.clone());
            }
            if !self.may_start(id) {
                found.push(format!("too_early: {name}"));
            }
            self.seen_on.insert(name, launch);
        }
        found.extend(self.look_beside_room());
        for it in found {
            if !self.broken.contains(&it) {
                self.broken.push(it);
            }
        }
    }

    /// What the leader holds of a job, to understand a failure.
    pub fn held(&self, id: &str) -> String {
        let tables = self.nodes.iter().flatten().filter_map(Node::tables);
        let jobs = tables.filter_map(|t| t.jobs.get(id));
        let on: Vec<_> = self
            .plant
            .workers
            .values()
            .flat_map(|w| w.tasks.iter().map(move |t| (&w.name, w.gone, t)))
            .filter(|(_, _, t)| t.name.starts_with(&format!("{id}/")))
            .collect();
        format!("{:#?} {on:?}", jobs.collect::<Vec<_>>())
    }

    /// A violation planted by hand: a task that runs is put on a second machine.
    pub fn plant_second_run(&mut self) -> bool {
        let workers = &mut self.plant.workers;
        let running = workers.values().find_map(|w: &Worker| {
            let task = w.tasks.iter().find(|t| t.on_machine())?;
            (!w.gone).then(|| (w.name.clone(), task.clone()))
        });
        let Some((name, task)) = running else { return false };
        let other = workers.values_mut().find(|w| w.name != name && !w.gone);
        other.map(|w| w.tasks.push(task)).is_some()
    }
}
