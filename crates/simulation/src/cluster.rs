//! All machines of a cluster and the tasks on them: gangs, checkpoints and results. A state machine without I/O, used
//! with simulated time and behind real sockets. Times are milliseconds of the caller's monotonic clock.

use crate::cloud::{FakeCloud, MachineOffer};
use crate::constants::{FETCH_RATE_SPREAD, MS_PER_S, RUNTIME_SIGMA, SPEED_SPREAD};
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

/// A job as the machines run it.
#[derive(Debug, Clone)]
struct Workload {
    spec: Arc<JobSpec>,
    /// Actual run time of each task at nominal speed, ms.
    true_runtime_ms: f64,
    /// Saved progress by task number, ms. A gang's is that of task 0.
    saved_progress: BTreeMap<u32, f64>,
}

/// A gang's attempt that is being stopped: when its first task was told to stop, and the progress then.
#[derive(Debug, Clone, Copy)]
struct StoppingAttempt {
    stopped_at: u64,
    progress: f64,
}

/// The machines of a cluster, the tasks on them, and the cloud that provides them.
pub struct SimulatedCluster {
    /// The cloud that provides the machines.
    pub cloud: FakeCloud,
    /// Workers by machine name, those of terminated machines included.
    pub workers: BTreeMap<String, FakeWorker>,
    workloads: BTreeMap<String, Workload>,
    /// Tasks that have completed. Their results persist: such a task exits at once when started again.
    pub finished_tasks: BTreeSet<String>,
    stopping: BTreeMap<(String, u64), StoppingAttempt>,
    platform: PlatformSettings,
    controller_count: usize,
    speed: f64,
    rng: StdRng,
    last_step_at: BTreeMap<String, u64>,
    /// Jobs with an error of their own: their tasks fail on every machine.
    pub faulty_jobs: BTreeSet<String>,
    /// Number of failed attempts so far, by job.
    pub failures_by_job: BTreeMap<String, u64>,
    /// Number of task starts so far.
    pub task_starts: u64,
    /// When each task first had its image on a machine.
    pub first_started_at: BTreeMap<String, u64>,
    /// Names of tasks whose phase a stop command has changed, in order.
    pub stopped_tasks: Vec<String>,
    /// Incremented whenever what is on a machine may have changed.
    pub change_count: u64,
}

impl SimulatedCluster {
    /// A cluster without machines. `controller_count` is the number of controllers that workers know. `speed` is a factor
    /// on the speed at which machines boot, fetch images and run tasks.
    pub fn new(
        offers: Vec<MachineOffer>,
        platform: PlatformSettings,
        controller_count: usize,
        speed: f64,
        seed: u64,
        now: u64,
    ) -> SimulatedCluster {
        let rng = StdRng::seed_from_u64(seed);
        let cloud_rng = StdRng::seed_from_u64(seed ^ 0xc10d);
        SimulatedCluster {
            cloud: FakeCloud::new(offers, platform.cloud.clone(), cloud_rng, speed, now),
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

    /// Whether the specification of a job is registered.
    pub fn has_job(&self, job: &str) -> bool {
        self.workloads.contains_key(job)
    }

    /// The specification of a job, if it is registered.
    pub fn spec(&self, job: &str) -> Option<Arc<JobSpec>> {
        self.workloads.get(job).map(|l| l.spec.clone())
    }

    /// Registers a job's specification, unless the job is registered. Actual run times are as estimated if
    /// `is_estimate_exact`, and otherwise differ by a random factor.
    pub fn register_job(&mut self, job: &str, spec: JobSpec, is_estimate_exact: bool) {
        let factor = match LogNormal::new(0.0, RUNTIME_SIGMA) {
            Ok(d) if !is_estimate_exact => d.sample(&mut self.rng),
            _ => 1.0,
        };
        let run_ms = spec.runtime_estimate_s * MS_PER_S * factor;
        let workload = Workload {
            spec: Arc::new(spec),
            true_runtime_ms: run_ms,
            saved_progress: BTreeMap::new(),
        };
        self.workloads.entry(job.into()).or_insert(workload);
    }

    /// Provisions machines as [`FakeCloud::provision`] does, each with a worker.
    pub fn provision(
        &mut self,
        request: &ProvisionMachinesRequest,
        now: u64,
    ) -> Option<Vec<String>> {
        let names = self.cloud.provision(request, now)?;
        for name in &names {
            if self.workers.contains_key(name) {
                continue;
            }
            let Some(machine) = self.cloud.machine(name).cloned() else { continue };
            let machine_type = &self.cloud.offers()[machine.type_index].machine_type;
            let spread = |rng: &mut StdRng, by: f64| 1.0 + rng.random_range(-by..by);
            let hardware = MachineHardware {
                machine_type: machine_type.name.clone(),
                zone: machine.zone,
                spot: machine.spot,
                resources: [machine_type.cpus, machine_type.gpus, machine_type.memory_gb],
                cache_gb: machine_type.cache_gb,
                image_fetch_gb_per_s: machine_type.image_fetch_gb_per_s
                    * self.speed
                    * spread(&mut self.rng, FETCH_RATE_SPREAD),
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

    /// Terminates machines and their tasks: the machines die (`has_died`), or are returned or reclaimed.
    pub fn terminate(&mut self, names: &[String], has_died: bool, now: u64) {
        self.cloud.terminate(names, has_died, now);
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.is_terminated = true;
                worker.tasks.clear();
                self.change_count += 1;
            }
        }
    }

    /// Restarts a machine's worker, as [`FakeWorker::restart`] does.
    pub fn restart_worker(&mut self, name: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(name).filter(|w| !w.is_terminated) {
            worker.restart(now);
            self.change_count += 1;
        }
    }

    /// Delivers a controller's response to the report that a worker sent at `sent` in `session`.
    pub fn handle_heartbeat_response(
        &mut self,
        name: &str,
        response: &HeartbeatResponse,
        session: u64,
        sent: u64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.handle_heartbeat_response(response, session, sent, now) {
            self.execute_commands(name, &response.commands, now);
        }
    }

    /// Delivers direct commands to a worker. Returns whether it executed them, and its report, or `None` if it does not
    /// answer.
    pub fn handle_direct_commands(
        &mut self,
        name: &str,
        direct: &DirectCommands,
        now: u64,
    ) -> Option<(bool, StatusReport)> {
        let worker = self.workers.get_mut(name).filter(|w| w.is_responsive(now))?;
        let accepted = worker.accept_direct_commands(direct);
        if accepted {
            self.execute_commands(name, &direct.commands, now);
        }
        let worker = self.workers.get_mut(name)?;
        Some((accepted, worker.build_report(now)))
    }

    fn execute_commands(&mut self, name: &str, commands: &[Command], now: u64) {
        let peer_ms = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
        for command in commands {
            let Some(worker) = self.workers.get_mut(name) else { return };
            self.change_count += 1;
            match command.kind {
                CommandKind::Start => {
                    let job = command.task.rsplit_once('/').map_or("", |(job, _)| job);
                    let spec = self.workloads.get(job).map(|l| l.spec.clone());
                    worker.start_task(&command.task, command.attempt, spec);
                }
                CommandKind::Forget => worker.forget_task(&command.task, command.attempt),
                CommandKind::Stop => {
                    let Some(task) = worker.task_mut(&command.task, command.attempt) else {
                        continue;
                    };
                    let grace_s = command.grace_s.unwrap_or(0.0);
                    let Some(spec) = task.spec.clone() else { continue };
                    let can_save =
                        spec.checkpoint_interval_s > 0.0 && grace_s >= spec.checkpoint_duration_s;
                    let save_ms = (spec.checkpoint_duration_s * MS_PER_S / self.speed) as u64;
                    let gang = spec.kind == JobKind::Gang;
                    let (key, progress) =
                        ((task.job().to_string(), command.attempt), task.progress);
                    let first = self.stopping.get(&key).map_or(now, |s| s.stopped_at);
                    let to = match task.phase() {
                        // Told to stop too long after the first member of its gang: the checkpoint fails.
                        ExecutionPhase::Running if can_save && gang && now > first + peer_ms => {
                            ExecutionPhase::Exited(ExitCause::GangMemberLost, false)
                        }
                        ExecutionPhase::Running if can_save => {
                            ExecutionPhase::Saving(now + save_ms)
                        }
                        // A second stop aborts the checkpoint unless it grants a grace period.
                        ExecutionPhase::Saving(until) if grace_s > 0.0 => {
                            ExecutionPhase::Saving(until)
                        }
                        _ => ExecutionPhase::Exited(ExitCause::Stopped, false),
                    };
                    if gang && matches!(to, ExecutionPhase::Saving(_)) {
                        self.stopping
                            .entry(key)
                            .or_insert(StoppingAttempt { stopped_at: now, progress });
                    }
                    let (name, changed) = (task.name.clone(), task.advance_phase(to));
                    worker.changed |= changed;
                    if changed {
                        self.stopped_tasks.push(name);
                    }
                }
            }
            if let Some(worker) = self.workers.get_mut(name) {
                worker.changed = true;
            }
        }
    }

    /// Advances a machine to the time `now`. Returns the report that is due, with the index of the controller it goes to.
    pub fn step_machine(&mut self, name: &str, now: u64) -> Option<(usize, StatusReport)> {
        let before = self.last_step_at.insert(name.to_string(), now).unwrap_or(now);
        let reclaimed =
            self.workers.get(name).is_some_and(|w| w.reclaim_at.is_some_and(|at| now >= at));
        if reclaimed {
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
        let mut changes: Vec<(usize, ExecutionPhase, f64)> = Vec::new();
        for (n, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.occupies_resources()) {
            let Some(spec) = &task.spec else { continue };
            let Some(workload) = self.workloads.get(task.job()) else { continue };
            let number = task_number(&task.name);
            let gang = spec.kind == JobKind::Gang;
            let finished = self.finished_tasks.contains(&task.name)
                || gang
                    && (0..spec.tasks)
                        .any(|t| self.finished_tasks.contains(&format!("{}/{t}", task.job())));
            let saved_key = if gang { 0 } else { number };
            let saved = workload.saved_progress.get(&saved_key).copied().unwrap_or(0.0);
            let has_image = worker.has_image(&spec.image);
            let phase = task.phase();
            let mut progress = task.progress;
            let new_phase = match phase {
                ExecutionPhase::Fetching if !has_image => phase,
                ExecutionPhase::Fetching
                    if worker.is_faulty || self.faulty_jobs.contains(task.job()) =>
                {
                    ExecutionPhase::Exited(ExitCause::Failed, false)
                }
                _ if finished => ExecutionPhase::Exited(ExitCause::Completed, false),
                ExecutionPhase::Fetching if gang => ExecutionPhase::WaitingForGang(now),
                ExecutionPhase::Fetching => {
                    progress = saved;
                    ExecutionPhase::Running
                }
                ExecutionPhase::WaitingForGang(since) => {
                    let members = self.gang_members_present(task.job(), task.attempt, now);
                    let wait = (self.platform.workers.gang_wait_s * MS_PER_S) as u64;
                    if members == spec.tasks {
                        progress = saved;
                        ExecutionPhase::Running
                    } else if now >= since + wait {
                        ExecutionPhase::Exited(ExitCause::GangIncomplete, false)
                    } else {
                        phase
                    }
                }
                ExecutionPhase::Running => {
                    let key = (task.job().to_string(), task.attempt);
                    if gang && !self.is_gang_complete(task.job(), task.attempt, spec.tasks, now) {
                        let peer = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
                        ExecutionPhase::GangMemberLost(now + peer / 2)
                    } else {
                        // A gang makes no progress once its first task was told to stop.
                        if !(gang && self.stopping.contains_key(&key)) {
                            let slowest = if gang {
                                self.slowest_member_speed(&key)
                            } else {
                                worker.hardware.speed
                            };
                            progress += ms * slowest;
                        }
                        let ends =
                            spec.kind != JobKind::Service && progress >= workload.true_runtime_ms;
                        if ends {
                            ExecutionPhase::Exited(ExitCause::Completed, false)
                        } else {
                            phase
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
                        phase
                    }
                }
                _ => phase,
            };
            if new_phase != phase || progress != task.progress {
                changes.push((n, new_phase, progress));
            }
        }
        for (n, phase, progress) in changes {
            self.apply_phase(name, n, phase, progress, now);
        }
    }

    fn apply_phase(
        &mut self,
        name: &str,
        n: usize,
        phase: ExecutionPhase,
        progress: f64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(task) = worker.tasks.get_mut(n) else { return };
        task.progress = progress;
        let was_fetching = matches!(task.phase(), ExecutionPhase::Fetching) && task.spec.is_some();
        let Some(spec) = task.spec.clone() else { return };
        let (job, attempt, number) =
            (task.job().to_string(), task.attempt, task_number(&task.name));
        let task_name = task.name.clone();
        if !task.advance_phase(phase) {
            return self.record_checkpoint(&job, &spec, number, progress);
        }
        worker.changed = true;
        self.change_count += 1;
        if was_fetching && !matches!(phase, ExecutionPhase::Exited(ExitCause::Failed, _)) {
            worker.touch_image(&spec.image);
            self.task_starts += 1;
            self.first_started_at.entry(task_name.clone()).or_insert(now);
        }
        match phase {
            ExecutionPhase::Exited(ExitCause::Failed, _) => {
                *self.failures_by_job.entry(job).or_default() += 1
            }
            ExecutionPhase::Exited(ExitCause::Completed, _) => {
                self.finished_tasks.insert(task_name);
            }
            ExecutionPhase::Exited(ExitCause::Stopped, true) => {
                let saved_progress =
                    self.stopping.get(&(job.clone(), attempt)).map_or(progress, |s| s.progress);
                self.record_saved_progress(&job, &spec, number, saved_progress);
            }
            _ => {}
        }
    }

    /// A running task saves its progress at each multiple of its checkpoint interval.
    fn record_checkpoint(&mut self, job: &str, spec: &JobSpec, number: u32, progress: f64) {
        if spec.checkpoint_interval_s > 0.0 {
            let step = spec.checkpoint_interval_s * MS_PER_S;
            self.record_saved_progress(job, spec, number, (progress / step).floor() * step);
        }
    }

    fn record_saved_progress(&mut self, job: &str, spec: &JobSpec, number: u32, progress: f64) {
        let key = if spec.kind == JobKind::Gang { 0 } else { number };
        if let Some(workload) = self.workloads.get_mut(job) {
            let saved = workload.saved_progress.entry(key).or_insert(0.0);
            *saved = saved.max(progress);
        }
    }

    /// The tasks of an attempt on machines that are up and do not hang, with their phases.
    fn tasks_of_attempt<'a>(
        &'a self,
        job: &'a str,
        attempt: u64,
        now: u64,
    ) -> impl Iterator<Item = (&'a FakeWorker, ExecutionPhase)> + 'a {
        let up = self.workers.values().filter(move |w| !w.is_terminated && now >= w.hang_until);
        up.flat_map(move |w| {
            let matching = w.tasks.iter().filter(move |t| t.attempt == attempt && t.job() == job);
            matching.map(move |t| (w, t.phase()))
        })
    }

    fn gang_members_present(&self, job: &str, attempt: u64, now: u64) -> u32 {
        let is_present = |s: &ExecutionPhase| {
            matches!(s, ExecutionPhase::WaitingForGang(_) | ExecutionPhase::Running)
        };
        self.tasks_of_attempt(job, attempt, now).filter(|(_, s)| is_present(s)).count() as u32
    }

    /// Whether no member of a running gang is lost. Members that have completed, are saving or have saved count as present.
    fn is_gang_complete(&self, job: &str, attempt: u64, tasks: u32, now: u64) -> bool {
        let is_present = |s: &ExecutionPhase| {
            !matches!(s, ExecutionPhase::GangMemberLost(_) | ExecutionPhase::Fetching)
                && (!matches!(s, ExecutionPhase::Exited(..))
                    || matches!(
                        s,
                        ExecutionPhase::Exited(ExitCause::Completed, _)
                            | ExecutionPhase::Exited(_, true)
                    ))
        };
        self.tasks_of_attempt(job, attempt, now).filter(|(_, s)| is_present(s)).count() as u32
            == tasks
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
        let members = self.tasks_of_attempt(&key.0, key.1, u64::MAX);
        members.map(|(w, _)| w.hardware.speed).fold(f64::MAX, f64::min)
    }

    /// The cloud decides to reclaim up to `number` spot machines, a fifth of them without notice. Returns how many.
    pub fn reclaim_spot_machines(&mut self, number: usize, notice_ms: u64, now: u64) -> usize {
        let spot = self.workers.values_mut();
        let spot = spot.filter(|w| !w.is_terminated && w.hardware.spot && w.reclaim_at.is_none());
        let mut reclaimed = 0;
        for worker in spot.filter(|w| now >= w.up_at).take(number) {
            let no_notice = self.rng.random_bool(0.2);
            worker.reclaim_at = Some(if no_notice { now } else { now + notice_ms });
            worker.changed = true;
            reclaimed += 1;
        }
        reclaimed
    }

    /// Makes up to `number` machines hang for a time. Returns how many.
    pub fn hang_machines(&mut self, number: usize, for_ms: u64, now: u64) -> usize {
        let responsive = self.workers.values_mut().filter(|w| w.is_responsive(now));
        responsive.take(number).map(|w| w.hang_until = now + for_ms).count()
    }

    /// Makes up to `number` machines faulty: every task that they start fails. Returns how many.
    pub fn make_machines_faulty(&mut self, number: usize, now: u64) -> usize {
        let up = self.workers.values_mut().filter(|w| w.is_responsive(now) && !w.is_faulty);
        up.take(number).map(|w| w.is_faulty = true).count()
    }
}

fn task_number(name: &str) -> u32 {
    name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}
