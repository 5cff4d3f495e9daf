//! Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team is
//! under its limit. Told by the machines alone.

use super::{START_MS, SimulatedJob, Simulation};
use crate::worker::FakeWorker;
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_controller::job::{JobKind, JobSpec};

/// Longest time that a job may wait beside room, ms (the operators' page).
const MAX_WAIT_BESIDE_FREE_RESOURCES_MS: u64 = 90_000;

/// Room of a machine that nothing takes, as CPUs, accelerators, memory.
fn free_resources(worker: &FakeWorker) -> [f64; 3] {
    let mut room = worker.hardware.resources;
    for spec in
        worker.tasks.iter().filter(|t| t.occupies_resources()).filter_map(|t| t.spec.as_ref())
    {
        let takes = [spec.cpus, spec.gpus, spec.memory_gb];
        room.iter_mut().zip(takes).for_each(|(left, takes)| *left -= takes);
    }
    room
}

/// How many tasks of a job a machine has room for.
fn task_capacity(worker: &FakeWorker, spec: &JobSpec) -> usize {
    let takes = [spec.cpus, spec.gpus, spec.memory_gb];
    let wanted = free_resources(worker).into_iter().zip(takes).filter(|(_, takes)| *takes > 0.0);
    wanted.map(|(left, takes)| ((left + 1e-6) / takes).max(0.0) as usize).min().unwrap_or(0)
}

impl Simulation {
    /// The machines that a job could use, if it could start something there now.
    fn has_usable_machine(
        &self,
        spec: &JobSpec,
        job: &SimulatedJob,
        placed: &BTreeMap<&str, usize>,
    ) -> bool {
        let fits = |w: &&FakeWorker| {
            w.is_responsive(self.now)
                && !w.is_faulty
                && w.reclaim_at.is_none()
                && (!w.hardware.spot || spec.spot)
                && spec.machine_types.as_ref().is_none_or(|t| t.contains(&w.hardware.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == w.hardware.zone)
        };
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for worker in self.cluster.workers.values().filter(fits) {
            *zones.entry(&worker.hardware.zone).or_default() += task_capacity(worker, spec);
        }
        let taken = placed.values().sum::<usize>();
        if spec.kind == JobKind::Gang {
            let all = spec.tasks as usize;
            return taken == 0
                && match spec.one_zone {
                    true => zones.values().any(|room| *room >= all),
                    false => zones.values().sum::<usize>() >= all,
                };
        }
        zones.iter().any(|(zone, room)| {
            let there = placed.get(zone).copied().unwrap_or(0);
            let alone = !spec.one_zone || there == taken;
            let spread = !spec.spread || there < job.task_count().div_ceil(2) as usize;
            *room > 0 && alone && spread
        })
    }

    /// Looks at each job that waits.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn check_work_conservation(&mut self) -> Vec<String> {
        let from = self.faults_end_ms.map(|ms| START_MS + ms);
        if !self.checks_work_conservation || from.is_none_or(|from| self.now < from) {
            return Vec::new();
        }
        let settings = super::controller_settings(0);
        let mut used: BTreeMap<String, [f64; 2]> = BTreeMap::new();
        let mut there: BTreeMap<String, BTreeMap<&str, usize>> = BTreeMap::new();
        let mut held: BTreeSet<String> = BTreeSet::new();
        for worker in self.cluster.workers.values().filter(|w| !w.is_terminated) {
            for task in worker.tasks.iter().filter(|t| t.occupies_resources()) {
                let Some(spec) = &task.spec else { continue };
                let team = used.entry(spec.team.clone()).or_default();
                (team[0], team[1]) = (team[0] + spec.cpus, team[1] + spec.gpus);
                let zones = there.entry(task.job().to_string()).or_default();
                *zones.entry(&worker.hardware.zone).or_default() += 1;
                held.insert(task.name.clone());
            }
        }
        let mut now_waiting = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            let open =
                job.accepted && !job.is_over() && job.cancel_at.is_none_or(|at| at > self.now);
            let over = |t: &u32| {
                let name = format!("{}/{t}", job.id);
                held.contains(&name) || self.cluster.finished_tasks.contains(&name)
            };
            let settled = (0..job.task_count()).filter(over).count();
            let Some(spec) = self.cluster.spec(&job.id).filter(|_| open) else { continue };
            if settled == job.task_count() as usize {
                continue;
            }
            let tasks = if spec.kind == JobKind::Gang { f64::from(spec.tasks) } else { 1.0 };
            let team = settings.settings.teams.iter().find(|t| t.name == spec.team);
            let has = used.get(&spec.team).copied().unwrap_or_default();
            let under = |used: f64, takes: f64, most: f64| {
                most <= 0.0 || takes <= 0.0 || used + takes * tasks <= most + 1e-6
            };
            let allowed = team.is_some_and(|t| {
                under(has[0], spec.cpus, t.cpus_max) && under(has[1], spec.gpus, t.gpus_max)
            });
            let none = BTreeMap::new();
            let placed = there.get(&job.id).unwrap_or(&none);
            if allowed && self.has_usable_machine(&spec, job, placed) {
                now_waiting.push((number, settled));
            }
        }
        let now = self.now;
        let mut found = Vec::new();
        let mut next = now_waiting.into_iter().peekable();
        for (number, job) in self.jobs.iter_mut().enumerate() {
            let settled = next.next_if(|(n, _)| *n == number).map(|(_, settled)| settled);
            job.waiting_beside_free_resources =
                settled.map(|settled| match job.waiting_beside_free_resources {
                    // Whatever of it was placed or ended since, it is not left waiting.
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
