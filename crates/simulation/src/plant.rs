//! All machines together, and what runs on them: gangs, checkpoints, results. A pure machine that
//! serves simulated time and real sockets alike.

use crate::cloud::{Cloud, Offered};
use crate::constants::*;
use crate::worker::{Hardware, Stage, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use swiftsail_controller::job::{Kind, Spec};
use swiftsail_controller::settings::Platform;
use swiftsail_protocol::cloud::Rent;
use swiftsail_protocol::workers::{Cause, Command, Direct, Orders, Report, Verb};

/// A job as the plant runs it.
#[derive(Debug, Clone)]
struct Load {
    spec: Arc<Spec>,
    /// True run time of each of its tasks, ms.
    run_ms: f64,
    /// Progress saved: of each task; of a gang, of task 0.
    saved: BTreeMap<u32, f64>,
}

/// A gang's attempt that is being stopped: the first stop, and the progress then.
#[derive(Debug, Clone, Copy)]
struct Stopping {
    at: u64,
    progress: f64,
}

/// All machines and their work.
pub struct Plant {
    /// The cloud that rents them.
    pub cloud: Cloud,
    /// Workers by machine.
    pub workers: BTreeMap<String, Worker>,
    loads: BTreeMap<String, Load>,
    /// Results: they are kept, and a task started again exits at once.
    pub done: BTreeSet<String>,
    stopping: BTreeMap<(String, u64), Stopping>,
    platform: Platform,
    nodes: usize,
    speed: f64,
    rng: StdRng,
    at: BTreeMap<String, u64>,
    /// Jobs submitted with a mistake: their tasks fail on every machine.
    pub mistaken: BTreeSet<String>,
    /// Tasks that have failed so far, by job.
    pub failed: BTreeMap<String, u64>,
    /// Starts of tasks so far.
    pub started: u64,
    /// When each task was first on its machine.
    pub first_run: BTreeMap<String, u64>,
    /// Tasks that commands have stopped.
    pub halted: Vec<String>,
    /// Counts changes of what is on machines.
    pub version: u64,
}

impl Plant {
    /// An empty plant. `nodes`: controllers that workers know; `speed`: how many times as fast
    /// machines boot, fetch and run.
    pub fn new(
        offered: Vec<Offered>,
        platform: Platform,
        nodes: usize,
        speed: f64,
        seed: u64,
        now: u64,
    ) -> Plant {
        let rng = StdRng::seed_from_u64(seed);
        let clouds = StdRng::seed_from_u64(seed ^ 0xc10d);
        Plant {
            cloud: Cloud::new(offered, platform.cloud.clone(), clouds, speed, now),
            workers: BTreeMap::new(),
            loads: BTreeMap::new(),
            done: BTreeSet::new(),
            stopping: BTreeMap::new(),
            mistaken: BTreeSet::new(),
            failed: BTreeMap::new(),
            platform,
            nodes,
            speed,
            rng,
            at: BTreeMap::new(),
            started: 0,
            first_run: BTreeMap::new(),
            halted: Vec::new(),
            version: 0,
        }
    }

    /// Whether a job's description is here.
    pub fn knows(&self, job: &str) -> bool {
        self.loads.contains_key(job)
    }

    /// What a job asks for, if its description is here.
    pub fn spec(&self, job: &str) -> Option<Arc<Spec>> {
        self.loads.get(job).map(|l| l.spec.clone())
    }

    /// Takes a job's description: users upload it. `exact`: its tasks run as long as estimated.
    pub fn describe(&mut self, job: &str, spec: Spec, exact: bool) {
        let factor = match LogNormal::new(0.0, RUN_SIGMA) {
            Ok(d) if !exact => d.sample(&mut self.rng),
            _ => 1.0,
        };
        let run_ms = spec.estimate_s * MS_PER_S * factor;
        let load = Load { spec: Arc::new(spec), run_ms, saved: BTreeMap::new() };
        self.loads.entry(job.into()).or_insert(load);
    }

    /// Rents machines, as the cloud does. None: malformed.
    pub fn rent(&mut self, rent: &Rent, now: u64) -> Option<Vec<String>> {
        let names = self.cloud.rent(rent, now)?;
        for name in &names {
            if self.workers.contains_key(name) {
                continue;
            }
            let Some(machine) = self.cloud.machine(name).cloned() else { continue };
            let hull = &self.cloud.offered()[machine.kind].hull;
            let spread = |rng: &mut StdRng, by: f64| 1.0 + rng.random_range(-by..by);
            let hardware = Hardware {
                kind: hull.sku.clone(),
                zone: machine.zone,
                spot: machine.spot,
                room: [hull.cpus, hull.accelerators, hull.memory_gb],
                cache_gb: hull.cache_gb,
                fetch: hull.fetch_gb_per_s * self.speed * spread(&mut self.rng, FETCH_SPREAD),
                speed: self.speed * spread(&mut self.rng, SPEED_SPREAD),
            };
            let up_at = machine.up_at.unwrap_or(u64::MAX);
            let timing = self.platform.workers.clone();
            let mut worker = Worker::new(name, hardware, timing, self.nodes, up_at);
            worker.addr = machine.addr;
            self.workers.insert(name.clone(), worker);
        }
        Some(names)
    }

    /// Machines are gone: returned, taken, or dead.
    pub fn gone(&mut self, names: &[String], died: bool, now: u64) {
        self.cloud.gone(names, died, now);
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.gone = true;
                worker.tasks.clear();
                self.version += 1;
            }
        }
    }

    /// A machine's worker begins anew: nothing is on it, and its numbers count from the start.
    pub fn reboot(&mut self, name: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(name).filter(|w| !w.gone) {
            worker.begin_anew(now);
            self.version += 1;
        }
    }

    /// A response of a controller to a worker's report.
    pub fn answered(&mut self, name: &str, orders: &Orders, session: u64, sent: u64, now: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.answered(orders, session, sent, now) {
            self.execute(name, &orders.orders, now);
        }
    }

    /// Commands sent straight to a worker: its report, and whether they were executed. None: it does
    /// not answer.
    pub fn direct(&mut self, name: &str, direct: &Direct, now: u64) -> Option<(bool, Report)> {
        let worker = self.workers.get_mut(name).filter(|w| w.awake(now))?;
        let good = worker.accepts(direct);
        if good {
            self.execute(name, &direct.orders, now);
        }
        let worker = self.workers.get_mut(name)?;
        Some((good, worker.report(now)))
    }

    fn execute(&mut self, name: &str, orders: &[Command], now: u64) {
        let peer_ms = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
        for order in orders {
            let Some(worker) = self.workers.get_mut(name) else { return };
            self.version += 1;
            match order.verb {
                Verb::Start => {
                    let job = order.shard.rsplit_once('/').map_or("", |(job, _)| job);
                    let spec = self.loads.get(job).map(|l| l.spec.clone());
                    worker.start(&order.shard, order.launch, spec);
                }
                Verb::Forget => worker.forget(&order.shard, order.launch),
                Verb::Stop => {
                    let Some(task) = worker.task(&order.shard, order.launch) else { continue };
                    let ease = order.ease_s.unwrap_or(0.0);
                    let Some(spec) = task.spec.clone() else { continue };
                    let saves = spec.checkpoint_s > 0.0 && ease >= spec.save_s;
                    let save_ms = (spec.save_s * MS_PER_S / self.speed) as u64;
                    let gang = spec.kind == Kind::Gang;
                    let (key, progress) = ((task.job().to_string(), order.launch), task.progress);
                    let first = self.stopping.get(&key).map_or(now, |s| s.at);
                    let to = match task.stage() {
                        // Told too late: the save has failed.
                        Stage::Running if saves && gang && now > first + peer_ms => {
                            Stage::Exited(Cause::PeersGone, false)
                        }
                        Stage::Running if saves => Stage::Saving(now + save_ms),
                        // A second stop without grace ends a save; one with grace changes nothing.
                        Stage::Saving(until) if ease > 0.0 => Stage::Saving(until),
                        _ => Stage::Exited(Cause::Stopped, false),
                    };
                    if gang && matches!(to, Stage::Saving(_)) {
                        self.stopping.entry(key).or_insert(Stopping { at: now, progress });
                    }
                    let (name, moved) = (task.name.clone(), task.advance(to));
                    worker.changed |= moved;
                    if moved {
                        self.halted.push(name);
                    }
                }
            }
            if let Some(worker) = self.workers.get_mut(name) {
                worker.changed = true;
            }
        }
    }

    /// Lets time pass on a machine. Returns the report that is due, with the node it goes to.
    pub fn step(&mut self, name: &str, now: u64) -> Option<(usize, Report)> {
        let before = self.at.insert(name.to_string(), now).unwrap_or(now);
        let taken = self.workers.get(name).is_some_and(|w| w.taken_at.is_some_and(|at| now >= at));
        if taken {
            self.gone(&[name.to_string()], false, now);
            self.at.remove(name);
            return None;
        }
        let worker = self.workers.get_mut(name).filter(|w| w.awake(now))?;
        if worker.check_lease(now) {
            self.version += 1;
        }
        let ms = now.saturating_sub(before.max(worker.up_at)) as f64;
        worker.fetch(ms);
        self.run(name, ms, now);
        self.workers.get_mut(name)?.report_due(now)
    }

    fn run(&mut self, name: &str, ms: f64, now: u64) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut moves: Vec<(usize, Stage, f64)> = Vec::new();
        for (n, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.occupies()) {
            let Some(spec) = &task.spec else { continue };
            let Some(load) = self.loads.get(task.job()) else { continue };
            let number = number_of(&task.name);
            let gang = spec.kind == Kind::Gang;
            let over = self.done.contains(&task.name)
                || gang
                    && (0..spec.tasks).any(|t| self.done.contains(&format!("{}/{t}", task.job())));
            let saved_key = if gang { 0 } else { number };
            let saved = load.saved.get(&saved_key).copied().unwrap_or(0.0);
            let here = worker.has_image(&spec.image);
            let stage = task.stage();
            let mut progress = task.progress;
            let next = match stage {
                Stage::Fetching if !here => stage,
                Stage::Fetching if worker.faulty || self.mistaken.contains(task.job()) => {
                    Stage::Exited(Cause::Error, false)
                }
                _ if over => Stage::Exited(Cause::Done, false),
                Stage::Fetching if gang => Stage::Gathering(now),
                Stage::Fetching => {
                    progress = saved;
                    Stage::Running
                }
                Stage::Gathering(since) => {
                    let mates = self.mates(task.job(), task.launch, now);
                    let wait = (self.platform.workers.gang_wait_s * MS_PER_S) as u64;
                    if mates == spec.tasks {
                        progress = saved;
                        Stage::Running
                    } else if now >= since + wait {
                        Stage::Exited(Cause::Alone, false)
                    } else {
                        stage
                    }
                }
                Stage::Running => {
                    let key = (task.job().to_string(), task.launch);
                    if gang && !self.whole(task.job(), task.launch, spec.tasks, now) {
                        let peer = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
                        Stage::Broken(now + peer / 2)
                    } else {
                        // A gang's progress stops with the first stop.
                        if !(gang && self.stopping.contains_key(&key)) {
                            let slowest =
                                if gang { self.slowest(&key) } else { worker.hardware.speed };
                            progress += ms * slowest;
                        }
                        let ends = spec.kind != Kind::Service && progress >= load.run_ms;
                        if ends { Stage::Exited(Cause::Done, false) } else { stage }
                    }
                }
                Stage::Broken(until) if now >= until => Stage::Exited(Cause::PeersGone, false),
                Stage::Saving(until) if now >= until => {
                    let peer = (self.platform.workers.gang_peer_s * MS_PER_S) as u64;
                    let key = (task.job().to_string(), task.launch);
                    let first = self.stopping.get(&key).map_or(now, |s| s.at);
                    if !gang || self.all_saved(&key, spec.tasks, now) {
                        Stage::Exited(Cause::Stopped, true)
                    } else if now > first + peer {
                        Stage::Exited(Cause::PeersGone, false)
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
            self.apply(name, n, stage, progress, now);
        }
    }

    fn apply(&mut self, name: &str, n: usize, stage: Stage, progress: f64, now: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(task) = worker.tasks.get_mut(n) else { return };
        task.progress = progress;
        let began = matches!(task.stage(), Stage::Fetching) && task.spec.is_some();
        let Some(spec) = task.spec.clone() else { return };
        let (job, launch, number) = (task.job().to_string(), task.launch, number_of(&task.name));
        let full = task.name.clone();
        if !task.advance(stage) {
            return self.checkpoint(&job, &spec, number, progress);
        }
        worker.changed = true;
        self.version += 1;
        if began && !matches!(stage, Stage::Exited(Cause::Error, _)) {
            worker.use_image(&spec.image);
            self.started += 1;
            self.first_run.entry(full.clone()).or_insert(now);
        }
        match stage {
            Stage::Exited(Cause::Error, _) => *self.failed.entry(job).or_default() += 1,
            Stage::Exited(Cause::Done, _) => {
                self.done.insert(full);
            }
            Stage::Exited(Cause::Stopped, true) => {
                let kept =
                    self.stopping.get(&(job.clone(), launch)).map_or(progress, |s| s.progress);
                self.save(&job, &spec, number, kept);
            }
            _ => {}
        }
    }

    /// A running task saves by itself at multiples of its interval.
    fn checkpoint(&mut self, job: &str, spec: &Spec, number: u32, progress: f64) {
        if spec.checkpoint_s > 0.0 {
            let step = spec.checkpoint_s * MS_PER_S;
            self.save(job, spec, number, (progress / step).floor() * step);
        }
    }

    fn save(&mut self, job: &str, spec: &Spec, number: u32, progress: f64) {
        let key = if spec.kind == Kind::Gang { 0 } else { number };
        if let Some(load) = self.loads.get_mut(job) {
            let held = load.saved.entry(key).or_insert(0.0);
            *held = held.max(progress);
        }
    }

    /// Tasks of an attempt that are on machines that are up, by what they do.
    fn attempt<'a>(
        &'a self,
        job: &'a str,
        launch: u64,
        now: u64,
    ) -> impl Iterator<Item = (&'a Worker, Stage)> + 'a {
        let up = self.workers.values().filter(move |w| !w.gone && now >= w.hang_until);
        up.flat_map(move |w| {
            let its = w.tasks.iter().filter(move |t| t.launch == launch && t.job() == job);
            its.map(move |t| (w, t.stage()))
        })
    }

    fn mates(&self, job: &str, launch: u64, now: u64) -> u32 {
        let there = |s: &Stage| matches!(s, Stage::Gathering(_) | Stage::Running);
        self.attempt(job, launch, now).filter(|(_, s)| there(s)).count() as u32
    }

    /// Whether a running gang is all there: what is done, saves or has saved counts.
    fn whole(&self, job: &str, launch: u64, tasks: u32, now: u64) -> bool {
        let there = |s: &Stage| {
            !matches!(s, Stage::Broken(_) | Stage::Fetching)
                && (!matches!(s, Stage::Exited(..))
                    || matches!(s, Stage::Exited(Cause::Done, _) | Stage::Exited(_, true)))
        };
        self.attempt(job, launch, now).filter(|(_, s)| there(s)).count() as u32 == tasks
    }

    fn all_saved(&self, key: &(String, u64), tasks: u32, now: u64) -> bool {
        let saved = |s: &Stage| match s {
            Stage::Saving(until) => now >= *until,
            Stage::Exited(_, saved) => *saved,
            _ => false,
        };
        self.attempt(&key.0, key.1, now).filter(|(_, s)| saved(s)).count() as u32 == tasks
    }

    fn slowest(&self, key: &(String, u64)) -> f64 {
        let mates = self.attempt(&key.0, key.1, u64::MAX);
        mates.map(|(w, _)| w.hardware.speed).fold(f64::MAX, f64::min)
    }

    /// The cloud takes spot machines, some of them without notice. Returns how many.
    pub fn take_spot(&mut self, number: usize, notice_ms: u64, now: u64) -> usize {
        let spot = self.workers.values_mut();
        let spot = spot.filter(|w| !w.gone && w.hardware.spot && w.taken_at.is_none());
        let mut taken = 0;
        for worker in spot.filter(|w| now >= w.up_at).take(number) {
            let without = self.rng.random_bool(0.2);
            worker.taken_at = Some(if without { now } else { now + notice_ms });
            worker.changed = true;
            taken += 1;
        }
        taken
    }

    /// Machines hang for a while. Returns how many.
    pub fn hang(&mut self, number: usize, for_ms: u64, now: u64) -> usize {
        let busy = self.workers.values_mut().filter(|w| w.awake(now));
        busy.take(number).map(|w| w.hang_until = now + for_ms).count()
    }

    /// Every task that these machines start from now on fails. Returns how many.
    pub fn spoil(&mut self, number: usize, now: u64) -> usize {
        let up = self.workers.values_mut().filter(|w| w.awake(now) && !w.faulty);
        up.take(number).map(|w| w.faulty = true).count()
    }
}

fn number_of(name: &str) -> u32 {
    name.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}
