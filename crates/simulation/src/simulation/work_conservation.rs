//! Checks work conservation: once all faults have ended, no job may wait for 90 s while a suitable machine has free
//! resources and its team is below its quota. Judged from the machines alone, not from what controllers know.

use super::{START_MS, SimulatedJob, Simulation};
use crate::worker::FakeWorker;
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_controller::job::{JobKind, JobSpec};

/// Longest time that a job may wait although free resources suit it, ms (service level objective).
const MAX_WAIT_BESIDE_FREE_RESOURCES_MS: u64 = 90_000;

/// The free resources of a machine: CPUs, GPUs, memory in GB.
fn free_resources(worker: &FakeWorker) -> [f64; 3] {
    let mut free = worker.hardware.resources;
    for spec in
        worker.tasks.iter().filter(|t| t.occupies_resources()).filter_map(|t| t.spec.as_ref())
    {
        let needed = [spec.cpus, spec.gpus, spec.memory_gb];
        free.iter_mut().zip(needed).for_each(|(left, needed)| *left -= needed);
    }
    free
}

/// How many tasks of a job fit into a machine's free resources.
fn task_capacity(worker: &FakeWorker, spec: &JobSpec) -> usize {
    let needed = [spec.cpus, spec.gpus, spec.memory_gb];
    let wanted = free_resources(worker).into_iter().zip(needed).filter(|(_, needed)| *needed > 0.0);
    wanted.map(|(left, needed)| ((left + 1e-6) / needed).max(0.0) as usize).min().unwrap_or(0)
}

impl Simulation {
    /// Whether a job could start a task now, or its whole gang, on machines that it may use. `placed` is the number of
    /// its tasks that occupy resources, by zone.
    fn has_usable_machine(
        &self,
        spec: &JobSpec,
        job: &SimulatedJob,
        placed: &BTreeMap<&str, usize>,
    ) -> bool {
        let is_usable = |w: &&FakeWorker| {
            w.is_responsive(self.now)
                && !w.is_faulty
                && w.reclaim_at.is_none()
                && (!w.hardware.spot || spec.spot)
                && spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.hardware.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == w.hardware.zone)
        };
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for worker in self.cluster.workers.values().filter(is_usable) {
            *zones.entry(&worker.hardware.zone).or_default() += task_capacity(worker, spec);
        }
        let placed_total = placed.values().sum::<usize>();
        if spec.kind == JobKind::Gang {
            let all = spec.tasks as usize;
            return placed_total == 0
                && match spec.one_zone {
                    true => zones.values().any(|free| *free >= all),
                    false => zones.values().sum::<usize>() >= all,
                };
        }
        zones.iter().any(|(zone, free)| {
            let in_zone = placed.get(zone).copied().unwrap_or(0);
            let zone_allowed = !spec.one_zone || in_zone == placed_total;
            let spread_allowed = !spec.spread || in_zone < job.task_count().div_ceil(2) as usize;
            *free > 0 && zone_allowed && spread_allowed
        })
    }

    /// Updates how long each job has been waiting although it could run, and describes those that wait too long.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn check_work_conservation(&mut self) -> Vec<String> {
        let start_at = self.faults_end_ms.map(|ms| START_MS + ms);
        if !self.checks_work_conservation || start_at.is_none_or(|at| self.now < at) {
            return Vec::new();
        }
        let settings = super::controller_settings(0);
        let mut used_by_team: BTreeMap<String, [f64; 2]> = BTreeMap::new();
        let mut placed_by_zone: BTreeMap<String, BTreeMap<&str, usize>> = BTreeMap::new();
        let mut placed_tasks: BTreeSet<String> = BTreeSet::new();
        for worker in self.cluster.workers.values().filter(|w| !w.is_terminated) {
            for task in worker.tasks.iter().filter(|t| t.occupies_resources()) {
                let Some(spec) = &task.spec else { continue };
                let team = used_by_team.entry(spec.team.clone()).or_default();
                (team[0], team[1]) = (team[0] + spec.cpus, team[1] + spec.gpus);
                let zones = placed_by_zone.entry(task.job().to_string()).or_default();
                *zones.entry(&worker.hardware.zone).or_default() += 1;
                placed_tasks.insert(task.name.clone());
            }
        }
        let mut now_waiting = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            let is_open =
                job.accepted && !job.is_over() && job.cancel_at.is_none_or(|at| at > self.now);
            let is_settled = |t: &u32| {
                let name = format!("{}/{t}", job.id);
                placed_tasks.contains(&name) || self.cluster.finished_tasks.contains(&name)
            };
            let settled = (0..job.task_count()).filter(is_settled).count();
            let Some(spec) = self.cluster.spec(&job.id).filter(|_| is_open) else { continue };
            if settled == job.task_count() as usize {
                continue;
            }
            let tasks = if spec.kind == JobKind::Gang { f64::from(spec.tasks) } else { 1.0 };
            let team = settings.settings.teams.iter().find(|t| t.name == spec.team);
            let team_usage = used_by_team.get(&spec.team).copied().unwrap_or_default();
            let within_limit = |used: f64, needed: f64, limit: f64| {
                limit <= 0.0 || needed <= 0.0 || used + needed * tasks <= limit + 1e-6
            };
            let quota_allows = team.is_some_and(|t| {
                within_limit(team_usage[0], spec.cpus, t.cpus_max)
                    && within_limit(team_usage[1], spec.gpus, t.gpus_max)
            });
            let no_zones = BTreeMap::new();
            let placed = placed_by_zone.get(&job.id).unwrap_or(&no_zones);
            if quota_allows && self.has_usable_machine(&spec, job, placed) {
                now_waiting.push((number, settled));
            }
        }
        let now = self.now;
        let mut found = Vec::new();
        let mut waiting = now_waiting.into_iter().peekable();
        for (number, job) in self.jobs.iter_mut().enumerate() {
            let settled = waiting.next_if(|(n, _)| *n == number).map(|(_, settled)| settled);
            job.waiting_beside_free_resources =
                settled.map(|settled| match job.waiting_beside_free_resources {
                    // The time counts from when the job last made progress: a task placed or completed.
                    Some((since, before)) if settled <= before => (since, before),
                    _ => (now, settled),
                });
            if job
                .waiting_beside_free_resources
                .is_some_and(|(since, _)| now > since + MAX_WAIT_BESIDE_FREE_RESOURCES_MS)
            {
                found.push(format!("left waiting: {} beside room for 90 s", job.id));
            }
        }
        found
    }
}
