//! One machine's worker as a pure machine: reports, sessions, tokens, leases, images, tasks.

use crate::constants::*;
use std::collections::VecDeque;
use swiftsail_controller::job::Spec;
use swiftsail_controller::settings::Workers;
use swiftsail_protocol::workers::{Cause, Direct, Orders, Phase, Report, Shard};

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Waits for its image.
    Fetching,
    /// Gang: waits for the others, since then.
    Gathering(u64),
    /// Runs.
    Running,
    /// Gang: runs, but another is gone: exits by then.
    Broken(u64),
    /// Was told to stop: has saved by then.
    Saving(u64),
    /// Ended, and whether its progress was saved.
    Exited(Cause, bool),
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// Its attempt.
    pub launch: u64,
    /// Where it stands. Changed by [`Task::advance`] alone.
    stage: Stage,
    /// What it asks for; none if its job is not known.
    pub spec: Option<std::sync::Arc<Spec>>,
    /// Progress, ms of run time.
    pub progress: f64,
}

impl Task {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The one function that changes where a task stands: what has exited stays so.
    pub fn advance(&mut self, to: Stage) -> bool {
        let moved = !matches!(self.stage, Stage::Exited(..)) && self.stage != to;
        if moved {
            self.stage = to;
        }
        moved
    }

    /// On its machine, from the moment it has its image until it exits (protocol).
    pub fn on_machine(&self) -> bool {
        !matches!(self.stage, Stage::Fetching | Stage::Exited(..))
    }

    /// Takes resources.
    pub fn occupies(&self) -> bool {
        !matches!(self.stage, Stage::Exited(..))
    }

    /// Its job's id.
    pub fn job(&self) -> &str {
        self.name.rsplit_once('/').map_or(&self.name, |(job, _)| job)
    }
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct Hardware {
    /// Name of its type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// CPUs, accelerators, memory in GB.
    pub room: [f64; 3],
    /// Image cache, GB.
    pub cache_gb: f64,
    /// Rate of fetches, GB a second.
    pub fetch: f64,
    /// How many times as fast as usual its tasks run.
    pub speed: f64,
}

/// A machine's worker.
#[derive(Debug)]
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// Where it takes commands.
    pub addr: String,
    /// What the machine is.
    pub hardware: Hardware,
    /// When it is up.
    pub up_at: u64,
    /// Gone for good.
    pub gone: bool,
    /// Does nothing until then.
    pub hang_until: u64,
    /// Every task that it starts fails.
    pub faulty: bool,
    /// When the cloud takes it.
    pub taken_at: Option<u64>,
    /// Its tasks.
    pub tasks: Vec<Task>,
    pub(crate) changed: bool,
    timing: Workers,
    session: u64,
    tick: u64,
    token: u64,
    /// Node that it reports to, among so many.
    node: usize,
    nodes: usize,
    in_flight: Option<u64>,
    next_report: u64,
    last_report: u64,
    leased: u64,
    /// Images held, the latest last, with sizes; and those being fetched, with what is missing.
    cache: VecDeque<(String, f64)>,
    fetching: Vec<(String, f64)>,
    /// Tasks killed by the end of a lease.
    pub killed: u64,
}

impl Worker {
    /// A worker that comes up at a time.
    pub fn new(
        name: &str,
        hardware: Hardware,
        timing: Workers,
        nodes: usize,
        up_at: u64,
    ) -> Worker {
        Worker {
            name: name.into(),
            addr: name.into(),
            hardware,
            up_at,
            gone: false,
            hang_until: 0,
            faulty: false,
            taken_at: None,
            tasks: Vec::new(),
            changed: true,
            timing,
            session: 1,
            tick: 0,
            token: 0,
            node: 0,
            nodes: nodes.max(1),
            in_flight: None,
            next_report: up_at,
            last_report: 0,
            leased: up_at,
            cache: VecDeque::new(),
            fetching: Vec::new(),
            killed: 0,
        }
    }

    /// It begins anew, with nothing on it.
    pub fn begin_anew(&mut self, now: u64) {
        let fresh =
            Worker::new(&self.name, self.hardware.clone(), self.timing.clone(), self.nodes, now);
        let (addr, killed) = (std::mem::take(&mut self.addr), self.killed);
        *self = Worker { addr, killed, faulty: self.faulty, taken_at: self.taken_at, ..fresh };
    }

    /// Whether it does anything now.
    pub fn awake(&self, now: u64) -> bool {
        !self.gone && now >= self.up_at && now >= self.hang_until
    }

    /// Its session.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Its report now.
    pub fn report(&mut self, now: u64) -> Report {
        self.tick += 1;
        let shards = self.tasks.iter().map(|t| {
            let (status, exit) = match t.stage {
                Stage::Fetching => (Phase::Fetching, None),
                Stage::Gathering(_) => (Phase::Waiting, None),
                Stage::Running | Stage::Broken(_) => (Phase::Running, None),
                Stage::Saving(_) => (Phase::Saving, None),
                Stage::Exited(cause, saved) => (Phase::Exited, Some((cause, saved))),
            };
            Shard {
                shard: t.name.clone(),
                launch: t.launch,
                status,
                cause: exit.map(|e| e.0),
                stored: exit.filter(|e| e.1).map(|e| e.1),
            }
        });
        Report {
            berth: self.name.clone(),
            addr: self.addr.clone(),
            hull: self.hardware.kind.clone(),
            dock: self.hardware.zone.clone(),
            driftwood: self.hardware.spot,
            watch: self.session,
            tick: self.tick,
            helm: self.token,
            recall_s: self.taken_at.map(|at| at.saturating_sub(now) as f64 / MS_PER_S),
            shards: shards.collect(),
        }
    }

    /// The report that is due, and to which node.
    pub fn report_due(&mut self, now: u64) -> Option<(usize, Report)> {
        if let Some(sent) = self.in_flight {
            if now < sent + ANSWER_MS {
                return None;
            }
            self.unanswered(sent, now);
        }
        let due =
            now >= self.next_report || self.changed && now >= self.last_report + REPORT_LEAST_MS;
        if !due {
            return None;
        }
        self.in_flight = Some(now);
        self.last_report = now;
        // A quarter more or less, by the machine and the report, so that reports spread.
        let shift = (self.tick * 7 + self.name.len() as u64 * 13 + self.up_at) % 51;
        let period = self.timing.report_s * MS_PER_S * (0.75 + shift as f64 / 100.0);
        self.next_report = now + period as u64;
        self.changed = false;
        Some((self.node, self.report(now)))
    }

    /// The report sent then had no answer that counts: the next node, a second later.
    pub fn unanswered(&mut self, sent: u64, now: u64) {
        if self.in_flight == Some(sent) {
            self.in_flight = None;
            self.node = (self.node + 1) % self.nodes;
            self.next_report = now + NEXT_NODE_MS;
            self.changed = false;
        }
    }

    /// The node sent it to another.
    pub fn redirected(&mut self, sent: u64, to: Option<usize>, now: u64) {
        match to.filter(|n| *n != self.node && *n < self.nodes) {
            Some(n) if self.in_flight == Some(sent) => {
                self.in_flight = None;
                self.node = n;
                self.next_report = now;
            }
            _ => self.unanswered(sent, now),
        }
    }

    /// The answer to the report sent then, in that session. Returns what must be executed.
    pub fn answered(&mut self, orders: &Orders, session: u64, sent: u64, now: u64) -> bool {
        // An answer to a report given up, or of an earlier session, is dropped.
        if self.in_flight != Some(sent) || !self.awake(now) {
            return false;
        }
        self.in_flight = None;
        if session != self.session || orders.helm < self.token {
            return false;
        }
        self.changed |= orders.helm > self.token;
        self.token = orders.helm;
        self.leased = sent;
        true
    }

    /// Whether commands sent straight to it may be executed.
    pub fn accepts(&mut self, direct: &Direct) -> bool {
        let good = direct.helm >= self.token && direct.watch == self.session;
        if good {
            self.token = direct.helm;
        }
        good
    }

    /// Ends the session if its lease has run out: all tasks are killed and forgotten.
    pub fn check_lease(&mut self, now: u64) -> bool {
        let over = now > self.leased + (self.timing.lease_s * MS_PER_S) as u64;
        if over {
            self.killed += self.tasks.iter().filter(|t| t.occupies()).count() as u64;
            self.tasks.clear();
            self.fetching.clear();
            self.session += 1;
            self.leased = now;
            self.in_flight = None;
            self.changed = true;
        }
        over
    }

    /// Starts an attempt, unless it is there in any state.
    pub fn start(&mut self, name: &str, launch: u64, spec: Option<std::sync::Arc<Spec>>) {
        if self.tasks.iter().any(|t| t.name == name && t.launch == launch) {
            return;
        }
        self.changed = true;
        let mut room = self.hardware.room;
        for task in self.tasks.iter().filter(|t| t.occupies()) {
            let Some(spec) = &task.spec else { continue };
            let takes = [spec.cpus, spec.gpus, spec.memory_gb];
            room.iter_mut().zip(takes).for_each(|(left, takes)| *left -= takes);
        }
        let twice = self.tasks.iter().any(|t| t.name == name && t.occupies());
        let fits = spec.as_ref().is_some_and(|s| {
            let takes = [s.cpus, s.gpus, s.memory_gb];
            room.iter().zip(takes).all(|(left, takes)| left + 1e-6 >= takes)
        });
        let stage = match &spec {
            None => Stage::Exited(Cause::NoSuch, false),
            Some(_) if twice => Stage::Exited(Cause::InUse, false),
            Some(_) if !fits => Stage::Exited(Cause::NoRoom, false),
            Some(_) => Stage::Fetching,
        };
        self.tasks.push(Task { name: name.into(), launch, stage, spec, progress: 0.0 });
    }

    /// Fetches images for a while; returns whether any has come.
    pub fn fetch(&mut self, ms: f64) -> bool {
        let wanted: Vec<(String, f64)> = self
            .tasks
            .iter()
            .filter(|t| t.stage == Stage::Fetching)
            .filter_map(|t| t.spec.as_ref().map(|s| (s.image.clone(), s.image_gb)))
            .collect();
        // A fetch for which no task waits any more is given up.
        self.fetching.retain(|(image, _)| wanted.iter().any(|w| w.0 == *image));
        for (image, gb) in wanted {
            if !self.has_image(&image) && !self.fetching.iter().any(|f| f.0 == image) {
                self.fetching.push((image, gb));
            }
        }
        let share = self.hardware.fetch * ms / MS_PER_S / self.fetching.len().max(1) as f64;
        self.fetching.iter_mut().for_each(|f| f.1 -= share);
        let (here, still): (Vec<_>, Vec<_>) = self.fetching.drain(..).partition(|f| f.1 <= 0.0);
        self.fetching = still;
        let came = !here.is_empty();
        for (image, _) in here {
            self.use_image(&image);
        }
        came
    }

    /// Whether an image is here.
    pub fn has_image(&self, image: &str) -> bool {
        self.cache.iter().any(|(held, _)| held == image)
    }

    /// Notes the use of an image; those used longest ago leave a full cache.
    pub fn use_image(&mut self, image: &str) {
        let of = |t: &Task| t.spec.as_ref().filter(|s| s.image == image).map(|s| s.image_gb);
        let gb = self.tasks.iter().find_map(of).unwrap_or(0.0);
        self.cache.retain(|(held, _)| held != image);
        self.cache.push_back((image.into(), gb));
        while self.cache.iter().map(|c| c.1).sum::<f64>() > self.hardware.cache_gb
            && self.cache.len() > 1
        {
            self.cache.pop_front();
        }
    }

    /// The task and attempt of a command.
    pub fn task(&mut self, name: &str, launch: u64) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|t| t.name == name && t.launch == launch)
    }

    /// Drops an exited attempt from the reports.
    pub fn forget(&mut self, name: &str, launch: u64) {
        let over = |t: &Task| t.name == name && t.launch == launch && !t.occupies();
        self.tasks.retain(|t| !over(t));
    }
}
