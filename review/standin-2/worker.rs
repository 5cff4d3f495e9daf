//! Workers: report to the controllers and run tasks, as the protocol describes.

use crate::cloud::MachineType;
use crate::http::{call, serve, Answer};
use crate::msgpack::{int, map, text, Value};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A job's description, as its user uploads it for the workers, and how long its tasks really run (none: until stopped).
#[derive(Clone)]
pub struct JobInfo {
    pub shards: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub runs: Option<Duration>,
    /// What its tasks do is not written to the record: they are too many.
    pub quiet: bool,
}

/// A task that was on a machine: from when it had its image until it was gone.
#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub launch: u64,
    pub machine: String,
    pub from_ms: u64,
    pub until_ms: Option<u64>,
    /// Why it ended.
    pub cause: String,
}

/// What the users have uploaded, and every run of a task.
#[derive(Default)]
pub struct Jobs {
    pub infos: Mutex<BTreeMap<String, JobInfo>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Jobs {
    fn is_quiet(&self, task: &str) -> bool {
        self.infos.lock().unwrap().get(job_of(task)).is_some_and(|info| info.quiet)
    }
}

#[derive(Clone, Copy)]
pub struct WorkerTiming {
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone, PartialEq)]
enum Phase {
    Fetching(Instant),
    Running(Option<Instant>),
    Exited(&'static str),
}

struct Task {
    launch: u64,
    phase: Phase,
    run: Option<usize>,
}

struct Inner {
    session: u64,
    tick: u64,
    helm: u64,
    session_began: Instant,
    answered_sent: Option<Instant>,
    tasks: BTreeMap<(String, u64), Task>,
    images: Vec<String>,
    changed: bool,
    destroyed: bool,
    /// Every task that it starts fails.
    faulty: bool,
    /// The next report goes out no earlier than this.
    hold_reports_until: Option<Instant>,
    reports_to: usize,
    /// Number of reports sent.
    reports: u64,
}

pub struct Worker {
    pub name: String,
    pub hull: String,
    pub dock: String,
    pub spot: bool,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    fetch_gb_per_s: f64,
    timing: WorkerTiming,
    jobs: Arc<Jobs>,
    record: Arc<Record>,
    inner: Mutex<Inner>,
    address: Mutex<Option<SocketAddr>>,
}

fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl Worker {
    pub fn new(
        name: &str,
        t: &MachineType,
        zone: &str,
        spot: bool,
        jobs: Arc<Jobs>,
        timing: WorkerTiming,
        record: Arc<Record>,
    ) -> Arc<Worker> {
        Arc::new(Worker {
            name: name.to_string(),
            hull: t.name.to_string(),
            dock: zone.to_string(),
            spot,
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
            fetch_gb_per_s: t.fetch_gb_per_s,
            timing,
            jobs,
            record,
            inner: Mutex::new(Inner {
                session: 1,
                tick: 0,
                helm: 0,
                session_began: Instant::now(),
                answered_sent: None,
                tasks: BTreeMap::new(),
                images: Vec::new(),
                changed: false,
                destroyed: false,
                faulty: false,
                hold_reports_until: None,
                reports_to: 0,
                reports: 0,
            }),
            address: Mutex::new(None),
        })
    }

    pub fn address(&self) -> String {
        self.address.lock().unwrap().map(|a| a.to_string()).unwrap_or_default()
    }

    /// Number of reports that it has sent.
    pub fn reports(&self) -> u64 {
        self.inner.lock().unwrap().reports
    }

    pub fn set_faulty(&self, faulty: bool) {
        self.inner.lock().unwrap().faulty = faulty;
    }

    /// Its next report goes out no earlier than this, within the bounds of `report_s`.
    pub fn hold_reports_until(&self, until: Option<Instant>) {
        self.inner.lock().unwrap().hold_reports_until = until;
    }

    /// CPUs and memory that no task uses (fetching tasks count).
    pub fn free(&self) -> (f64, f64) {
        let inner = self.inner.lock().unwrap();
        let (cpus, _, memory) = self.free_of(&inner);
        (cpus, memory)
    }

    pub fn task_names(&self) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let live = inner.tasks.iter().filter(|(_, t)| !matches!(t.phase, Phase::Exited(_)));
        live.map(|((task, _), _)| task.clone()).collect()
    }

    fn free_of(&self, inner: &Inner) -> (f64, f64, f64) {
        let infos = self.jobs.infos.lock().unwrap();
        let mut free = (self.cpus, self.gpus, self.memory_gb);
        for ((task, _), state) in &inner.tasks {
            if let (false, Some(info)) =
                (matches!(state.phase, Phase::Exited(_)), infos.get(job_of(task)))
            {
                free.0 -= info.cpus;
                free.1 -= info.gpus;
                free.2 -= info.memory_gb;
            }
        }
        free
    }

    /// The machine is gone, with everything on it.
    pub fn destroy(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.destroyed = true;
        self.kill_all(&mut inner, "machine gone");
    }

    fn kill_all(&self, inner: &mut Inner, cause: &str) {
        for (_, task) in std::mem::take(&mut inner.tasks) {
            self.end_run(task.run, cause);
        }
    }

    fn end_run(&self, run: Option<usize>, cause: &str) {
        let Some(run) = run else { return };
        let now = self.record.ms();
        let mut runs = self.jobs.runs.lock().unwrap();
        let run = &mut runs[run];
        if run.until_ms.is_none() {
            run.until_ms = Some(now);
            run.cause = cause.to_string();
            if !self.jobs.is_quiet(&run.task) {
                self.record.line(format!(
                    "machine {}: {} launch {} ends: {cause}",
                    self.name, run.task, run.launch
                ));
            }
        }
    }

    /// Starts the worker: it serves commands and reports to the controllers, the first one first.
    pub fn run(worker: &Arc<Worker>, controllers: Vec<(String, SocketAddr)>) {
        let handler = worker.clone();
        let address = serve(Arc::new(move |request| {
            match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/commands") => handler.on_commands(&request.body),
                ("GET", "/inspect") => {
                    let mut inner = handler.inner.lock().unwrap();
                    match inner.destroyed {
                        true => Answer::NoAnswer,
                        false => Answer::Status(200, handler.report(&mut inner)),
                    }
                }
                _ => Answer::Status(404, Value::Nil),
            }
        }));
        *worker.address.lock().unwrap() = Some(address);
        worker.inner.lock().unwrap().session_began = Instant::now();
        worker.record.line(format!(
            "machine {}: up ({} in {}{})",
            worker.name,
            worker.hull,
            worker.dock,
            if worker.spot { ", spot" } else { "" }
        ));
        let stepping = worker.clone();
        thread::spawn(move || {
            while stepping.step() {
                thread::sleep(Duration::from_millis(20));
            }
        });
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_forever(&controllers));
    }

    fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.timing.lease_s)
    }

    /// Advances the tasks and the lease. Returns false once the machine is gone.
    fn step(&self) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if inner.destroyed {
            return false;
        }
        let now = Instant::now();
        let since = inner.answered_sent.unwrap_or(inner.session_began);
        if now.duration_since(since) > self.lease() {
            self.record
                .line(format!("machine {}: lease of watch {} ended", self.name, inner.session));
            self.kill_all(&mut inner, "lease ended");
            inner.session += 1;
            inner.session_began = now;
            inner.answered_sent = None;
            inner.changed = true;
        }
        let faulty = inner.faulty;
        let mut fetched = Vec::new();
        let mut changed = false;
        for ((name, _), task) in &mut inner.tasks {
            match task.phase {
                Phase::Fetching(at) if now >= at => {
                    let info = self.jobs.infos.lock().unwrap().get(job_of(name)).cloned();
                    let info = info.expect("a known job");
                    fetched.push(info.image.clone());
                    let mut runs = self.jobs.runs.lock().unwrap();
                    runs.push(Run {
                        task: name.clone(),
                        launch: task.launch,
                        machine: self.name.clone(),
                        from_ms: self.record.ms(),
                        until_ms: None,
                        cause: String::new(),
                    });
                    task.run = Some(runs.len() - 1);
                    drop(runs);
                    if !info.quiet {
                        self.record.line(format!(
                            "machine {}: {name} launch {} starts",
                            self.name, task.launch
                        ));
                    }
                    changed = true;
                    if faulty {
                        task.phase = Phase::Exited("error");
                        self.end_run(task.run, "error");
                    } else {
                        task.phase = Phase::Running(info.runs.map(|runs| now + runs));
                    }
                }
                Phase::Running(Some(end)) if now >= end => {
                    task.phase = Phase::Exited("done");
                    self.end_run(task.run, "done");
                    changed = true;
                }
                _ => {}
            }
        }
        inner.images.extend(fetched);
        inner.changed |= changed;
        true
    }

    /// The report as of now; counts as a message.
    fn report(&self, inner: &mut Inner) -> Value {
        inner.tick += 1;
        let shards = inner.tasks.iter().map(|((name, launch), task)| {
            let mut fields =
                vec![("shard".to_string(), text(name)), ("launch".to_string(), int(*launch))];
            let status = match task.phase {
                Phase::Fetching(_) => "fetching",
                Phase::Running(_) => "running",
                Phase::Exited(_) => "exited",
            };
            fields.push(("status".to_string(), text(status)));
            if let Phase::Exited(cause) = task.phase {
                fields.push(("cause".to_string(), text(cause)));
            }
            Value::Map(fields)
        });
        map(&[
            ("berth", text(&self.name)),
            ("addr", text(&self.address())),
            ("hull", text(&self.hull)),
            ("dock", text(&self.dock)),
            ("driftwood", Value::Bool(self.spot)),
            ("watch", int(inner.session)),
            ("tick", int(inner.tick)),
            ("helm", int(inner.helm)),
            ("recall_s", Value::Nil),
            ("shards", Value::List(shards.collect())),
        ])
    }

    fn execute(&self, inner: &mut Inner, orders: &[Value], from: &str) {
        for order in orders {
            let name = order.get("shard").text().to_string();
            let launch = order.get("launch").int();
            let verb = order.get("verb").text();
            if !self.jobs.is_quiet(&name) {
                let what = format!("{verb} {name} launch {launch}");
                self.record.line(format!("machine {}: {from}: {what}", self.name));
            }
            let key = (name.clone(), launch);
            match verb {
                "start" => self.start(inner, name, launch),
                "stop" => {
                    if let Some(task) = inner.tasks.get_mut(&key) {
                        if !matches!(task.phase, Phase::Exited(_)) {
                            task.phase = Phase::Exited("halted");
                            self.end_run(task.run, "halted");
                            inner.changed = true;
                        }
                    }
                }
                "reap" => {
                    if inner.tasks.get(&key).is_some_and(|t| matches!(t.phase, Phase::Exited(_))) {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, inner: &mut Inner, name: String, launch: u64) {
        if inner.tasks.contains_key(&(name.clone(), launch)) {
            return;
        }
        let info = self.jobs.infos.lock().unwrap().get(job_of(&name)).cloned();
        let index: u32 = name.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(u32::MAX);
        let free = self.free_of(inner);
        let is_here = |((other, _), t): (&(String, u64), &Task)| {
            *other == name && !matches!(t.phase, Phase::Exited(_))
        };
        let phase = match info {
            Some(info) if index < info.shards => {
                if inner.tasks.iter().any(is_here) {
                    Phase::Exited("in_use")
                } else if free.0 + 1e-6 < info.cpus
                    || free.1 + 1e-6 < info.gpus
                    || free.2 + 1e-6 < info.memory_gb
                {
                    Phase::Exited("no_room")
                } else if inner.images.contains(&info.image) {
                    Phase::Fetching(Instant::now())
                } else {
                    let seconds = info.image_gb / self.fetch_gb_per_s;
                    Phase::Fetching(Instant::now() + Duration::from_secs_f64(seconds))
                }
            }
            _ => Phase::Exited("no_such"),
        };
        inner.tasks.insert((name, launch), Task { launch, phase, run: None });
        inner.changed = true;
    }

    fn on_commands(&self, body: &Value) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if inner.destroyed {
            return Answer::NoAnswer;
        }
        if body.get("helm").is_nil() || body.get("watch").is_nil() {
            return Answer::Status(400, Value::Nil);
        }
        let helm = body.get("helm").int();
        if helm < inner.helm || body.get("watch").int() != inner.session {
            return Answer::Status(409, self.report(&mut inner));
        }
        if helm > inner.helm {
            inner.helm = helm;
            inner.changed = true;
        }
        self.execute(&mut inner, body.get("orders").list(), &format!("direct, helm {helm}"));
        Answer::Status(200, self.report(&mut inner))
    }

    fn report_forever(&self, controllers: &[(String, SocketAddr)]) {
        let mut last = Instant::now() - Duration::from_secs(60);
        let mut period = 0.0;
        let mut seed = self.name.bytes().fold(7_u64, |n, b| n.wrapping_mul(31) + u64::from(b));
        loop {
            thread::sleep(Duration::from_millis(10));
            let (body, session, to, sent);
            {
                let mut inner = self.inner.lock().unwrap();
                if inner.destroyed {
                    return;
                }
                let now = Instant::now();
                let since = now.duration_since(last).as_secs_f64();
                let held = inner.hold_reports_until.is_some_and(|until| now < until)
                    && since < self.timing.report_s * 1.25;
                let due = since >= period || inner.changed && since >= 0.5;
                if !due || held {
                    continue;
                }
                inner.changed = false;
                body = self.report(&mut inner);
                session = inner.session;
                inner.reports += 1;
                to = inner.reports_to;
                sent = now;
                last = now;
            }
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let jitter = (seed >> 40) as f64 / (1_u64 << 24) as f64;
            period = self.timing.report_s * (0.75 + 0.5 * jitter);
            let (node, address) = &controllers[to];
            let answer = call(*address, "POST", "/v1/report", Some(&body), Duration::from_secs(4));
            let mut inner = self.inner.lock().unwrap();
            if inner.destroyed {
                return;
            }
            match answer {
                Some((200, response)) => {
                    let helm = response.get("helm").int();
                    if session != inner.session
                        || response.get("helm").is_nil()
                        || helm < inner.helm
                    {
                        self.record.line(format!(
                            "machine {}: response of {node} with helm {helm} dropped",
                            self.name
                        ));
                        continue;
                    }
                    if helm > inner.helm {
                        inner.helm = helm;
                        inner.changed = true;
                    }
                    inner.answered_sent = inner.answered_sent.max(Some(sent));
                    let orders = response.get("orders").list();
                    self.execute(&mut inner, orders, &format!("{node}, helm {helm}"));
                }
                Some((421, response)) => {
                    let harbor = response.get("harbor").text().to_string();
                    match controllers.iter().position(|(name, _)| *name == harbor) {
                        Some(index) if index != to => {
                            inner.reports_to = index;
                            inner.changed = true;
                            last = Instant::now() - Duration::from_millis(400);
                        }
                        _ => {
                            inner.reports_to = (to + 1) % controllers.len();
                            drop(inner);
                            thread::sleep(Duration::from_secs(1));
                            self.inner.lock().unwrap().changed = true;
                        }
                    }
                }
                _ => {
                    inner.reports_to = (to + 1) % controllers.len();
                    drop(inner);
                    thread::sleep(Duration::from_secs(1));
                    self.inner.lock().unwrap().changed = true;
                }
            }
        }
    }
}
