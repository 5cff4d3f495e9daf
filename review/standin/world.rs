//! What a case shares: the record, the jobs that users have uploaded, settings files, and the controllers as processes
//! started with the commands of the deploy file.

use crate::services::StateLimits;
use crate::wire::{V, call, t};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Counts of what happened to the tasks of a job.
#[derive(Default, Clone)]
pub struct Counts {
    pub runs: u64,
    pub done: BTreeSet<String>,
    pub stopped: u64,
    pub refused: u64,
    pub killed: u64,
}

struct Shared {
    record: File,
    jobs: BTreeMap<String, (V, f64)>,
    counts: BTreeMap<String, Counts>,
}

pub struct World {
    pub started: Instant,
    pub names: Vec<String>,
    pub zones: Vec<String>,
    pub fronts: Vec<SocketAddr>,
    pub report_s: f64,
    pub lease_s: f64,
    shared: Mutex<Shared>,
}

impl World {
    pub fn new(record: &str, site: &Site, fronts: Vec<SocketAddr>) -> Arc<World> {
        let record = File::create(record).expect("the record can be written");
        let shared = Shared { record, jobs: BTreeMap::new(), counts: BTreeMap::new() };
        Arc::new(World {
            started: Instant::now(),
            names: (0..3).map(|n| format!("berth-{n}")).collect(),
            zones: site.zones.iter().map(|zone| zone.to_string()).collect(),
            fronts,
            report_s: site.report_s,
            lease_s: site.lease_s,
            shared: Mutex::new(shared),
        })
    }

    pub fn elapsed(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let at = self.elapsed();
        let mut shared = self.shared.lock().unwrap();
        let _ = writeln!(shared.record, "{at:8.3} {line}");
    }

    /// A user uploads a job whose tasks run this long.
    pub fn upload(&self, id: &str, spec: &V, run_s: f64) {
        self.shared.lock().unwrap().jobs.insert(id.to_string(), (spec.clone(), run_s));
    }

    pub fn job(&self, id: &str) -> Option<V> {
        self.shared.lock().unwrap().jobs.get(id).map(|(spec, _)| spec.clone())
    }

    pub fn run_s(&self, id: &str) -> f64 {
        self.shared.lock().unwrap().jobs.get(id).map_or(0.0, |(_, run_s)| *run_s)
    }

    pub fn task_event(&self, event: &str, shard: &str, machine: &str) {
        let at = self.elapsed();
        let mut shared = self.shared.lock().unwrap();
        let job = shard.split('/').next().unwrap_or("").to_string();
        let counts = shared.counts.entry(job).or_default();
        match event {
            "runs" => counts.runs += 1,
            "done" => drop(counts.done.insert(shard.to_string())),
            "stopped" => counts.stopped += 1,
            _ => counts.refused += 1,
        }
        let _ = writeln!(shared.record, "{at:8.3} task {shard} {event} on {machine}");
    }

    /// A worker's lease has ended: it has killed these tasks.
    pub fn on_lease_end(&self, machine: &str, killed: &[String]) {
        let at = self.elapsed();
        let mut shared = self.shared.lock().unwrap();
        for shard in killed {
            let job = shard.split('/').next().unwrap_or("").to_string();
            shared.counts.entry(job).or_default().killed += 1;
        }
        let _ = writeln!(shared.record, "{at:8.3} {machine}: its lease ended, {} tasks killed", killed.len());
    }

    pub fn counts(&self, job: &str) -> Counts {
        self.shared.lock().unwrap().counts.get(job).cloned().unwrap_or_default()
    }

    /// A user's request to a controller; recorded with its answer. The user allows 5 s, 2 s for a poll.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: Option<&V>) -> (u16, V) {
        let timeout = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let answer = call(self.fronts[node], method, path, body, timeout);
        let (status, answer) = answer.map_or((0, V::Nil), |(s, b)| (s, V::decode(&b).unwrap_or(V::Nil)));
        let shown = answer.json();
        self.note(&format!("user -> {}: {method} {path} -> {status} {shown}", self.names[node]));
        (status, answer)
    }

    /// Submits a job as a user does: at the nodes in turn, again after a second, for up to 60 s.
    pub fn submit(&self, id: &str, spec: &V, run_s: f64) -> u16 {
        self.upload(id, spec, run_s);
        let until = Instant::now() + Duration::from_secs(60);
        let mut node = id.bytes().map(usize::from).sum::<usize>() % self.fronts.len();
        loop {
            let (status, _) = self.ask(node, "POST", "/v1/jobs", Some(spec));
            if matches!(status, 200 | 201 | 400 | 422) || Instant::now() >= until {
                return status;
            }
            node = (node + 1) % self.fronts.len();
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// The status that a poll of a job at any node gives, if one answers.
    pub fn poll(&self, id: &str) -> Option<String> {
        (0..self.fronts.len()).find_map(|node| {
            let (status, answer) = self.ask(node, "GET", &format!("/v1/jobs/{id}"), None);
            (status == 200).then(|| answer.text("status").unwrap_or("").to_string())
        })
    }
}

/// A job as users submit it.
pub fn job(id: &str, class: &str, team: &str, shape: &str, rank: &str, shards: u64, cpus: f64, memory_gb: f64, eta_s: f64) -> Vec<(String, V)> {
    let fields = vec![
        ("name_id", t(id)),
        ("jobclass", t(class)),
        ("crew", t(team)),
        ("shape", t(shape)),
        ("rank", t(rank)),
        ("shards", V::Int(shards)),
        ("cpus", V::Num(cpus)),
        ("accelerators", V::Num(0.0)),
        ("memory_gb", V::Num(memory_gb)),
        ("bundle", t(&format!("img-{class}"))),
        ("pull_gb", V::Num(0.2)),
        ("one_zone", V::Bool(false)),
        ("scatter", V::Bool(false)),
        ("driftwood", V::Bool(false)),
        ("eta_s", V::Num(eta_s)),
        ("mark_s", V::Num(0.0)),
        ("stow_s", V::Num(0.0)),
    ];
    fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect()
}

/// The deployment of a case.
pub struct Site {
    pub zones: [&'static str; 3],
    /// Name, guaranteed CPUs, CPUs at most.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: StateLimits,
    pub next: Option<StateLimits>,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cores: f64,
    pub mem_mb: f64,
    pub connections: u64,
    /// How long after its end a controller is back, s.
    pub back_s: f64,
}

/// The loopback address of this run. Each run has one of its own, so that a port that is free for a moment, while a
/// controller restarts, is not taken by another run or by an outgoing connection.
pub fn any_port() -> SocketAddr {
    let pid = std::process::id();
    SocketAddr::from(([127, (1 + pid % 250) as u8, (1 + pid / 250 % 250) as u8, 1], 0))
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind(any_port()).and_then(|l| l.local_addr()).expect("a free port")
}

struct Process {
    child: Option<Child>,
    ended_at: Option<Instant>,
    ends: u64,
}

/// The controllers as processes.
pub struct Controllers {
    processes: Mutex<Vec<Process>>,
    settings: Vec<PathBuf>,
    pub folder: PathBuf,
    command: Vec<String>,
    mem_mb: f64,
    back: Duration,
    /// Nothing is started any more. Read and set while `processes` is locked.
    ended: AtomicBool,
}

impl Controllers {
    /// Writes the settings files and starts the controllers.
    pub fn start(site: &Site, world: &Arc<World>, clusters: &[SocketAddr], state: SocketAddr, cloud: SocketAddr) -> Arc<Controllers> {
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("run in deploy/service.toml");
        let command: Vec<String> = run.trim().trim_matches('"').split(' ').map(str::to_string).collect();
        // The folder of run.sh, which ends what `pids` names should this process be killed.
        let folder = std::env::var_os("FOLDER").map(PathBuf::from);
        let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("swiftsail-review-{}", std::process::id())));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = (0..3)
            .map(|n| {
                let file = folder.join(format!("berth-{n}.toml"));
                std::fs::write(&file, settings(site, world, clusters, n, state, cloud)).expect("a settings file");
                file
            })
            .collect();
        let processes = (0..3).map(|_| Process { child: None, ended_at: None, ends: 0 }).collect();
        let controllers = Arc::new(Controllers {
            processes: Mutex::new(processes),
            settings,
            folder,
            command,
            mem_mb: site.mem_mb,
            back: Duration::from_secs_f64(site.back_s),
            ended: AtomicBool::new(false),
        });
        (0..3).for_each(|n| controllers.launch(n));
        let (platform, world) = (controllers.clone(), world.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                platform.watch(&world);
            }
        });
        controllers
    }

    fn launch(&self, n: usize) {
        let mut processes = self.processes.lock().unwrap();
        if self.ended.load(Ordering::SeqCst) {
            return;
        }
        let log = File::options().create(true).append(true).open(self.folder.join(format!("berth-{n}.log")));
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .arg(&self.settings[n])
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        (processes[n].child, processes[n].ended_at) = (child.ok(), None);
        let pids = processes.iter().filter_map(|process| process.child.as_ref());
        let pids: String = pids.map(|child| format!("{}\n", child.id())).collect();
        let _ = std::fs::write(self.folder.join("pids"), pids);
    }

    /// The platform: a process that holds more memory than its limit is killed, and one that has ended is started again.
    fn watch(&self, world: &World) {
        for n in 0..3 {
            let mut processes = self.processes.lock().unwrap();
            let process = &mut processes[n];
            if let Some(child) = &mut process.child {
                let held = anonymous_mb(child.id());
                let too_much = held > self.mem_mb;
                if too_much {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                if too_much || matches!(child.try_wait(), Ok(Some(_))) {
                    let why = if too_much { format!("holds {held:.1} MB, killed by the platform") } else { "ended by itself".into() };
                    world.note(&format!("{} {why}", world.names[n]));
                    (process.child, process.ended_at) = (None, Some(Instant::now()));
                    process.ends += 1;
                }
            } else if process.ended_at.is_some_and(|at| at.elapsed() >= self.back) {
                drop(processes);
                world.note(&format!("{} is started again", world.names[n]));
                self.launch(n);
            }
        }
    }

    /// Ends of each controller so far.
    pub fn ends(&self) -> Vec<u64> {
        self.processes.lock().unwrap().iter().map(|process| process.ends).collect()
    }

    /// Anonymous memory of each controller, MB; 0: it does not run.
    pub fn memory(&self) -> Vec<f64> {
        let processes = self.processes.lock().unwrap();
        processes.iter().map(|process| process.child.as_ref().map_or(0.0, |child| anonymous_mb(child.id()))).collect()
    }

    /// Ends all controllers. None is started again.
    pub fn end(&self) {
        let mut processes = self.processes.lock().unwrap();
        self.ended.store(true, Ordering::SeqCst);
        for process in processes.iter_mut() {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            process.ended_at = None;
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Memory that a process holds without the pages of files (program text), MB. Where the system doesn't tell it, resident
/// less shared memory.
fn anonymous_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    if let Some(kb) = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<f64>().ok()) {
        return kb / 1024.0;
    }
    let pages = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: Vec<f64> = pages.split(' ').filter_map(|n| n.trim().parse().ok()).collect();
    if pages.len() > 2 { (pages[1] - pages[2]) * 4.0 / 1024.0 } else { 0.0 }
}

fn settings(site: &Site, world: &World, clusters: &[SocketAddr], n: usize, state: SocketAddr, cloud: SocketAddr) -> String {
    let mut s = format!(
        "host_name = \"{}\"\nsite = \"{}\"\nfront = \"{}\"\ncluster_listen = \"{}\"\n",
        world.names[n], site.zones[n], world.fronts[n], clusters[n]
    );
    for other in (0..3).filter(|other| *other != n) {
        s += &format!(
            "\n[[others]]\nhost_name = \"{}\"\nsite = \"{}\"\naddress = \"{}\"\n",
            world.names[other], site.zones[other], clusters[other]
        );
    }
    s += &format!("\n[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
    s += &format!("\n[settings]\ninitial_size = 3\nzones = {:?}\nclock_off_ms = 25.0\n", site.zones);
    for (name, cpus, cpus_max) in &site.teams {
        s += &format!(
            "\n[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    s += &format!(
        "\n[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = {:?}\n",
        site.report_s, site.lease_s, site.cancel_s
    );
    let limits = |l: &StateLimits| {
        format!("rps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n", l.rps, l.write_rps, l.value_kb, l.txn_ops)
    };
    s += &format!("\n[settings.state]\n{}", limits(&site.state));
    if let Some(next) = &site.next {
        s += &format!("\n[settings.state.next]\n{}", limits(next));
    }
    s += &format!("\n[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n", site.cloud_rps, site.list_lag_s);
    s += &format!(
        "\n[settings.machine_limits]\ncores = {:?}\nmem_mb = {:?}\nmax_connections = {}\n",
        site.cores, site.mem_mb, site.connections
    );
    s
}
