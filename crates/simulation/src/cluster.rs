//! All machines together, and what runs on them: gangs, checkpoints, results. A pure machine that
//! serves simulated time and real sockets alike.

use crate::cloud::{FakeCloud, MachineOffer};
use crate::constants::{FETCH_SPREAD, MS_PER_S, RUNTIME_SIGMA, SPEED_SPREAD};
use crate::worker::{ExecutionPhase, FakeWorker, MachineHardware};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use swiftsail_controller::job::{JobKind, JobSpec};
use swiftsail_controller::settings::PlatformSettings;
use swiftsail_protocol::cloud::ProvisionMachinesRequest;
use swiftsail_protocol::workers::{
    Command, CommandKind, DirectCommands, ExitCause, HeartbeatResponse, StatusReport,
};

/// A job as the plant runs it.
#[derive(Debug, Clone)]
struct Workload {
    spec: Arc<JobSpec>,
    /// True run time of each of its tasks, ms.
    true_runtime_ms: f64,
    /// Progress saved: of each task; of a gang, of task 0.
    saved_progress: BTreeMap<u32, f64>,
}

/// A gang's attempt that is being stopped: the first stop, and the progress then.
#[derive(Debug, Clone, Copy)]
struct StoppingAttempt {
    stopped_at: u64,
    progress: f64,
}

/// All machines and their work.
pub struct SimulatedCluster {
    /// The cloud that rents them.
    pub cloud: FakeCloud,
    /// Workers by machine.
    pub workers: BTreeMap<String, FakeWorker>,
    workloads: BTreeMap<String, Workload>,
    /// Results: they are kept, and a task started again exits at once.
    pub finished_tasks: BTreeSet<String>,
    stopping: BTreeMap<(String, u64), StoppingAttempt>,
    platform: PlatformSettings,
    controller_count: usize,
    speed: f64,
    rng: StdRng,
    last_step_at: BTreeMap<String, u64>,
    /// Jobs submitted with a mistake: their tasks fail on every machine.
    pub faulty_jobs: BTreeSet<String>,
    /// Tasks that have failed so far, by job.
    pub failures_by_job: BTreeMap<String, u64>,
    /// Starts of tasks so far.
    pub task_starts: u64,
    /// When each task was first on its machine.
    pub first_started_at: BTreeMap<String, u64>,
    /// Tasks that commands have stopped.
    pub stopped_tasks: Vec<String>,
    /// Counts changes of what is on machines.
    pub change_count: u64,
}

impl SimulatedCluster {
    /// An empty plant. `nodes`: controllers that workers know; `speed`: how many times as fast
    /// machines boot, fetch and run.
    pub fn new(
        offered: Vec<MachineOffer>,
        platform: PlatformSettings,
        controller_count: usize,
        speed: f64,
        seed: u64,
        now: u64,
    ) -> SimulatedCluster {
        let rng = StdRng::seed_from_u64(seed);
        let clouds = StdRng::seed_from_u64(seed ^ 0xc10d);
        SimulatedCluster {
            cloud: FakeCloud::new(offered, platform.cloud.clone(), clouds, speed, now),
            workers: BTreeMap::new(),
            workloads: BTreeMap::new(),
            finished_tasks: BTreeSet::new(),
            stopping: BTreeMap::new(),
            faulty_jobs: BTreeSet::new(),
            failures_by_job: BTreeMap::new(),
            platform,
            controller_count,
            speed,
            rng,
            last_step_at: BTreeMap::new(),
            task_starts: 0,
            first_started_at: BTreeMap::new(),
            stopped_tasks: Vec::new(),
            change_count: 0,
        }
    }

    /// Whether a job's description is here.
    pub fn has_job(&self, job: &str) -> bool {
        self.workloads.contains_key(job)
    }

    /// What a job asks for, if its description is here.
    pub fn spec(&self, job: &str) -> Option<Arc<JobSpec>> {
        self.workloads.get(job).map(|l| l.spec.clone())
    }

    /// Takes a job's description: users upload it. `exact`: its tasks run as long as estimated.
    pub fn register_job(&mut self, job: &str, spec: JobSpec, exact: bool) {
        let factor = match LogNormal::new(0.0, RUNTIME_SIGMA) {
            Ok(d) if !exact => d.sample(&mut self.rng),
            _ => 1.0,
        };
        let run_ms = spec.runtime_estimate_s * MS_PER_S * factor;
        let load = Workload {
            spec: Arc::new(spec),
            true_runtime_ms: run_ms,
            saved_progress: BTreeMap::new(),
        };
        self.workloads.entry(job.into()).or_insert(load);
    }

    /// Rents machines, as the cloud does. None: malformed.
    pub fn provision(&mut self, rent: &ProvisionMachinesRequest, now: u64) -> Option<Vec<String>> {
        let names = self.cloud.provision(rent, now)?;
        for name in &names {
            if self.workers.contains_key(name) {
                continue;
            }
            let Some(machine) = self.cloud.machine(name).cloned() else { continue };
            let hull = &self.cloud.offers()[machine.type_index].machine_type;
            let spread = |rng: &mut StdRng, by: f64| 1.0 + rng.random_range(-by..by);
            let hardware = MachineHardware {
                machine_type: hull.name.clone(),
                zone: machine.zone,
                spot: machine.spot,
                resources: [hull.cpus, hull.gpus, hull.memory_gb],
                cache_gb: hull.cache_gb,
                image_fetch_gb_per_s: hull.image_fetch_gb_per_s
                    * self.speed
                    * spread(&mut self.rng, FETCH_SPREAD),
                speed: self.speed * spread(&mut self.rng, SPEED_SPREAD),
            };
            let up_at = machine.up_at.unwrap_or(u64::MAX);
            let timing = self.platform.workers.clone();
            let mut worker = FakeWorker::new(name, hardware, timing, self.controller_count, up_at);
            worker.address = machine.address;
            self.workers.insert(name.clone(), worker);
        }
        Some(names)
    }

    /// Machines are gone: returned, taken, or dead.
    pub fn terminate(&mut self, names: &[String], died: bool, now: u64) {
        self.cloud.terminate(names, died, now);
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.is_terminated = true;
                worker.tasks.clear();
                self.change_count += 1;
            }
        }
    }

    /// A machine's worker begins anew: nothing is on it, and its numbers count from the start.
    pub fn restart_worker(&mut self, name: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(name).filter(|w| !w.is_terminated) {
            worker.restart(now);
            self.change_count += 1;
        }
    }

    /// A response of a controller to a worker's report.
    pub fn handle_heartbeat_response(
        &mut self,
        name: &str,
        orders: &HeartbeatResponse,
        session: u64,
        sent: u64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.handle_heartbeat_response(orders, session, sent, now) {
            self.execute_commands(name, &orders.commands, now);
        }
    }

    /// Commands sent straight to a worker: its report, and whether they were executed. None: it does
    /// not answer.
    pub fn handle_direct_commands(
        &mut self,
        name: &str,
        direct: &DirectCommands,
        now: u64,
    ) -> Option<(bool, StatusReport)> {
        let worker = self.workers.get_mut(name).filter(|w| w.is_responsive(now))?;
        let good = worker.accept_direct_commands(direct);
        if good {
            self.execute_commands(name, &direct.commands, now);
        }
        let worker = self.workers.get_mut(name)?;
        Some((good, worker.build_report(now)))
    }

    fn execute_commands(&mut self, name: &str, orders: &[Command], now: u64) {
        let peer_ms = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
        for order in orders {
            let Some(worker) = self.workers.get_mut(name) else { return };
            self.change_count += 1;
            match order.kind {
                CommandKind::Start => {
                    let job = order.task.rsplit_once('/').map_or("", |(job, _)| job);
                    let spec = self.workloads.get(job).map(|l| l.spec.clone());
                    worker.start_task(&order.task, order.attempt, spec);
                }
                CommandKind::Forget => worker.forget_task(&order.task, order.attempt),
                CommandKind::Stop => {
                    let Some(task) = worker.task_mut(&order.task, order.attempt) else { continue };
                    let ease = order.grace_s.unwrap_or(0.0);
                    let Some(spec) = task.spec.clone() else { continue };
                    let saves =
                        spec.checkpoint_interval_s > 0.0 && ease >= spec.checkpoint_duration_s;
                    let save_ms = (spec.checkpoint_duration_s * MS_PER_S / self.speed) as u64;
                    let gang = spec.kind == JobKind::Gang;
                    let (key, progress) = ((task.job().to_string(), order.attempt), task.progress);
                    let first = self.stopping.get(&key).map_or(now, |s| s.stopped_at);
                    let to = match task.phase() {
                        // Told too late: the save has failed.
                        ExecutionPhase::Running if saves && gang && now > first + peer_ms => {
                            ExecutionPhase::Exited(ExitCause::GangMemberLost, false)
                        }
                        ExecutionPhase::Running if saves => ExecutionPhase::Saving(now + save_ms),
                        // A second stop without grace ends a save; one with grace changes nothing.
                        ExecutionPhase::Saving(until) if ease > 0.0 => {
                            ExecutionPhase::Saving(until)
                        }
                        _ => ExecutionPhase::Exited(ExitCause::Stopped, false),
                    };
                    if gang && matches!(to, ExecutionPhase::Saving(_)) {
                        self.stopping
                            .entry(key)
                            .or_insert(StoppingAttempt { stopped_at: now, progress });
                    }
                    let (name, moved) = (task.name.clone(), task.advance_phase(to));
                    worker.changed |= moved;
                    if moved {
                        self.stopped_tasks.push(name);
                    }
                }
            }
            if let Some(worker) = self.workers.get_mut(name) {
                worker.changed = true;
            }
        }
    }

    /// Lets time pass on a machine. Returns the report that is due, with the node it goes to.
    pub fn step_machine(&mut self, name: &str, now: u64) -> Option<(usize, StatusReport)> {
        let before = self.last_step_at.insert(name.to_string(), now).unwrap_or(now);
        let taken =
            self.workers.get(name).is_some_and(|w| w.reclaim_at.is_some_and(|at| now >= at));
        if taken {
            self.terminate(&[name.to_string()], false, now);
            self.last_step_at.remove(name);
            return None;
        }
        let worker = self.workers.get_mut(name).filter(|w| w.is_responsive(now))?;
        if worker.enforce_lease(now) {
            self.change_count += 1;
        }
        let ms = now.saturating_sub(before.max(worker.up_at)) as f64;
        worker.advance_image_fetches(ms);
        self.run_tasks(name, ms, now);
        self.workers.get_mut(name)?.take_due_report(now)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn run_tasks(&mut self, name: &str, ms: f64, now: u64) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut moves: Vec<(usize, ExecutionPhase, f64)> = Vec::new();
        for (n, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.occupies_resources()) {
            let Some(spec) = &task.spec else { continue };
            let Some(load) = self.workloads.get(task.job()) else { continue };
            let number = task_number(&task.name);
            let gang = spec.kind == JobKind::Gang;
            let over = self.finished_tasks.contains(&task.name)
                || gang
                    && (0..spec.tasks)
                        .any(|t| self.finished_tasks.contains(&format!("{}/{t}", task.job())));
            let saved_key = if gang { 0 } else { number };
            let saved = load.saved_progress.get(&saved_key).copied().unwrap_or(0.0);
            let here = worker.has_image(&spec.image);
            let stage = task.phase();
            let mut progress = task.progress;
            let next = match stage {
                ExecutionPhase::Fetching if !here => stage,
                ExecutionPhase::Fetching
                    if worker.is_faulty || self.faulty_jobs.contains(task.job()) =>
                {
                    ExecutionPhase::Exited(ExitCause::Failed, false)
                }
                _ if over => ExecutionPhase::Exited(ExitCause::Completed, false),
                ExecutionPhase::Fetching if gang => ExecutionPhase::WaitingForGang(now),
                ExecutionPhase::Fetching => {
                    progress = saved;
                    ExecutionPhase::Running
                }
                ExecutionPhase::WaitingForGang(since) => {
                    let mates = self.gang_members_present(task.job(), task.attempt, now);
                    let wait = (self.platform.workers.gang_wait_s * MS_PER_S) as u64;
                    if mates == spec.tasks {
                        progress = saved;
                        ExecutionPhase::Running
                    } else if now >= since + wait {
                        ExecutionPhase::Exited(ExitCause::GangIncomplete, false)
                    } else {
                        stage
                    }
                }
                ExecutionPhase::Running => {
                    let key = (task.job().to_string(), task.attempt);
                    if gang && !self.is_gang_complete(task.job(), task.attempt, spec.tasks, now) {
                        let peer = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
                        ExecutionPhase::GangMemberLost(now + peer / 2)
                    } else {
                        // A gang's progress stops with the first stop.
                        if !(gang && self.stopping.contains_key(&key)) {
                            let slowest = if gang {
                                self.slowest_member_speed(&key)
                            } else {
                                worker.hardware.speed
                            };
                            progress += ms * slowest;
                        }
                        let ends =
                            spec.kind != JobKind::Service && progress >= load.true_runtime_ms;
                        if ends {
                            ExecutionPhase::Exited(ExitCause::Completed, false)
                        } else {
                            stage
                        }
                    }
                }
                ExecutionPhase::GangMemberLost(until) if now >= until => {
                    ExecutionPhase::Exited(ExitCause::GangMemberLost, false)
                }
                ExecutionPhase::Saving(until) if now >= until => {
                    let peer = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
                    let key = (task.job().to_string(), task.attempt);
                    let first = self.stopping.get(&key).map_or(now, |s| s.stopped_at);
                    if !gang || self.has_whole_gang_saved(&key, spec.tasks, now) {
                        ExecutionPhase::Exited(ExitCause::Stopped, true)
                    } else if now > first + peer {
                        ExecutionPhase::Exited(ExitCause::GangMemberLost, false)
                    } else {
                        stage
                    }
                }
                _ => stage,
            };
            if next != stage || progress != task.progress {
                moves.push((n, next, progress));
            }
        }
        for (n, stage, progress) in moves {
            self.apply_phase(name, n, stage, progress, now);
        }
    }

    fn apply_phase(
        &mut self,
        name: &str,
        n: usize,
        stage: ExecutionPhase,
        progress: f64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(task) = worker.tasks.get_mut(n) else { return };
        task.progress = progress;
        let began = matches!(task.phase(), ExecutionPhase::Fetching) && task.spec.is_some();
        let Some(spec) = task.spec.clone() else { return };
        let (job, launch, number) = (task.job().to_string(), task.attempt, task_number(&task.name));
        let full = task.name.clone();
        if !task.advance_phase(stage) {
            return self.record_checkpoint(&job, &spec, number, progress);
        }
        worker.changed = true;
        self.change_count += 1;
        if began && !matches!(stage, ExecutionPhase::Exited(ExitCause::Failed, _)) {
            worker.touch_image(&spec.image);
            self.task_starts += 1;
            self.first_started_at.entry(full.clone()).or_insert(now);
        }
        match stage {
            ExecutionPhase::Exited(ExitCause::Failed, _) => {
                *self.failures_by_job.entry(job).or_default() += 1
            }
            ExecutionPhase::Exited(ExitCause::Completed, _) => {
                self.finished_tasks.insert(full);
            }
            ExecutionPhase::Exited(ExitCause::Stopped, true) => {
                let kept =
                    self.stopping.get(&(job.clone(), launch)).map_or(progress, |s| s.progress);
                self.record_saved_progress(&job, &spec, number, kept);
            }
            _ => {}
        }
    }

    /// A running task saves by itself at multiples of its interval.
    fn record_checkpoint(&mut self, job: &str, spec: &JobSpec, number: u32, progress: f64) {
        if spec.checkpoint_interval_s > 0.0 {
            let step = spec.checkpoint_interval_s * MS_PER_S;
            self.record_saved_progress(job, spec, number, (progress / step).floor() * step);
        }
    }

    fn record_saved_progress(&mut self, job: &str, spec: &JobSpec, number: u32, progress: f64) {
        let key = if spec.kind == JobKind::Gang { 0 } else { number };
        if let Some(load) = self.workloads.get_mut(job) {
            let held = load.saved_progress.entry(key).or_insert(0.0);
            *held = held.max(progress);
        }
    }

    /// Tasks of an attempt that are on machines that are up, by what they do.
    fn tasks_of_attempt<'a>(
        &'a self,
        job: &'a str,
        launch: u64,
        now: u64,
    ) -> impl Iterator<Item = (&'a FakeWorker, ExecutionPhase)> + 'a {
        let up = self.workers.values().filter(move |w| !w.is_terminated && now >= w.hang_until);
        up.flat_map(move |w| {
            let its = w.tasks.iter().filter(move |t| t.attempt == launch && t.job() == job);
            its.map(move |t| (w, t.phase()))
        })
    }

    fn gang_members_present(&self, job: &str, launch: u64, now: u64) -> u32 {
        let there = |s: &ExecutionPhase| {
            matches!(s, ExecutionPhase::WaitingForGang(_) | ExecutionPhase::Running)
        };
        self.tasks_of_attempt(job, launch, now).filter(|(_, s)| there(s)).count() as u32
    }

    /// Whether a running gang is all there: what is done, saves or has saved counts.
    fn is_gang_complete(&self, job: &str, launch: u64, tasks: u32, now: u64) -> bool {
        let there = |s: &ExecutionPhase| {
            !matches!(s, ExecutionPhase::GangMemberLost(_) | ExecutionPhase::Fetching)
                && (!matches!(s, ExecutionPhase::Exited(..))
                    || matches!(
                        s,
                        ExecutionPhase::Exited(ExitCause::Completed, _)
                            | ExecutionPhase::Exited(_, true)
                    ))
        };
        self.tasks_of_attempt(job, launch, now).filter(|(_, s)| there(s)).count() as u32 == tasks
    }

    fn has_whole_gang_saved(&self, key: &(String, u64), tasks: u32, now: u64) -> bool {
        let saved = |s: &ExecutionPhase| match s {
            ExecutionPhase::Saving(until) => now >= *until,
            ExecutionPhase::Exited(_, saved) => *saved,
            _ => false,
        };
        self.tasks_of_attempt(&key.0, key.1, now).filter(|(_, s)| saved(s)).count() as u32 == tasks
    }

    fn slowest_member_speed(&self, key: &(String, u64)) -> f64 {
        let mates = self.tasks_of_attempt(&key.0, key.1, u64::MAX);
        mates.map(|(w, _)| w.hardware.speed).fold(f64::MAX, f64::min)
    }

    /// The cloud takes spot machines, some of them without notice. Returns how many.
    pub fn reclaim_spot_machines(&mut self, number: usize, notice_ms: u64, now: u64) -> usize {
        let spot = self.workers.values_mut();
        let spot = spot.filter(|w| !w.is_terminated && w.hardware.spot && w.reclaim_at.is_none());
        let mut taken = 0;
        for worker in spot.filter(|w| now >= w.up_at).take(number) {
            let without = self.rng.random_bool(0.2);
            worker.reclaim_at = Some(if without { now } else { now + notice_ms });
            worker.changed = true;
            taken += 1;
        }
        taken
    }

    /// Machines hang for a while. Returns how many.
    pub fn hang_machines(&mut self, number: usize, for_ms: u64, now: u64) -> usize {
        let busy = self.workers.values_mut().filter(|w| w.is_responsive(now));
        busy.take(number).map(|w| w.hang_until = now + for_ms).count()
    }

    /// Every task that these machines start from now on fails. Returns how many.
    pub fn make_machines_faulty(&mut self, number: usize, now: u64) -> usize {
        let up = self.workers.values_mut().filter(|w| w.is_responsive(now) && !w.is_faulty);
        up.take(number).map(|w| w.is_faulty = true).count()
    }
}

fn task_number(name: &str) -> u32 {
    name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}
