//! A small deployment on loopback: the state service, the cloud, workers, the links between them, and the controllers
//! as processes of their own, started with the command of the deploy file.

use crate::cloud::{Capacity, Cloud, MachineType};
use crate::http::call;
use crate::link::Link;
use crate::msgpack::{int, map, text, Value};
use crate::record::Record;
use crate::state::{Limits, State};
use crate::worker::{JobInfo, Jobs, Run, Worker, WorkerTiming};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The settings of a deployment, as its site file has them.
pub struct Site {
    pub zones: [&'static str; 3],
    pub clock_off_ms: f64,
    /// Name, guarantee and limit, CPUs.
    pub teams: &'static [(&'static str, f64, f64)],
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub limits: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cores: f64,
    pub mem_mb: f64,
    pub max_connections: u32,
    pub types: Vec<MachineType>,
    pub capacity: Vec<Capacity>,
}

fn machine_type(
    name: &'static str,
    (cpus, gpus, memory_gb): (f64, f64, f64),
    (price, spot_price): (f64, f64),
    (cache_gb, fetch_gb_per_s, boot_s): (f64, f64, f64),
) -> MachineType {
    MachineType { name, cpus, gpus, memory_gb, price, spot_price, cache_gb, fetch_gb_per_s, boot_s }
}

fn offers(list: &[(&'static str, &'static str, u32, u32)]) -> Vec<Capacity> {
    let capacity = |&(machine_type, zone, count, spot): &(&'static str, &'static str, u32, u32)| {
        Capacity { machine_type, zone, count, spot }
    };
    list.iter().map(capacity).collect()
}

/// `kit/sites/vanua-core-lautoka.toml`
pub fn vanua() -> Site {
    Site {
        zones: ["lautoka-shed", "suva-office", "nadi-depot"],
        clock_off_ms: 25.0,
        teams: &[("field-geology", 120.0, 500.0), ("core-library", 120.0, 900.0)],
        report_s: 3.0,
        lease_s: 14.0,
        gang_wait_s: 30.0,
        gang_peer_s: 4.0,
        cancel_s: 39.0,
        limits: Limits { rps: 120.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 16 },
        cloud_rps: 2.0,
        list_lag_s: 10.0,
        cores: 0.096,
        mem_mb: 72.0,
        max_connections: 1200,
        types: vec![
            machine_type("reef-small", (4.0, 0.0, 32.0), (0.27, 0.11), (70.0, 0.1, 20.0)),
            machine_type("reef-medium", (8.0, 0.0, 32.0), (0.42, 0.16), (80.0, 0.1, 25.0)),
            machine_type("reef-large", (16.0, 0.0, 64.0), (0.98, 0.4), (40.0, 0.12, 40.0)),
            machine_type("reef-gpu", (24.0, 2.0, 96.0), (6.21, 2.45), (80.0, 0.12, 30.0)),
        ],
        capacity: offers(&[
            ("reef-small", "lautoka-shed", 27, 8),
            ("reef-medium", "lautoka-shed", 3, 1),
            ("reef-medium", "suva-office", 3, 0),
            ("reef-medium", "nadi-depot", 3, 1),
            ("reef-large", "lautoka-shed", 3, 0),
            ("reef-large", "suva-office", 3, 0),
            ("reef-large", "nadi-depot", 3, 0),
            ("reef-gpu", "lautoka-shed", 5, 1),
            ("reef-gpu", "suva-office", 5, 1),
            ("reef-gpu", "nadi-depot", 5, 1),
        ]),
    }
}

/// `kit/next/vanua-core-lautoka-grown.toml`: the same controllers, larger limits of the teams, and more machines.
pub fn vanua_grown() -> Site {
    Site {
        teams: &[("field-geology", 3000.0, 25_000.0), ("core-library", 3000.0, 35_000.0)],
        capacity: offers(&[
            ("reef-small", "lautoka-shed", 250, 200),
            ("reef-medium", "lautoka-shed", 28, 9),
            ("reef-medium", "suva-office", 20, 7),
            ("reef-medium", "nadi-depot", 26, 9),
            ("reef-large", "lautoka-shed", 10, 6),
            ("reef-large", "suva-office", 7, 5),
            ("reef-large", "nadi-depot", 9, 6),
            ("reef-gpu", "lautoka-shed", 43, 33),
            ("reef-gpu", "suva-office", 31, 24),
            ("reef-gpu", "nadi-depot", 41, 31),
        ]),
        ..vanua()
    }
}

/// `kit/sites/kylhall-norrkoping.toml`, with the guest team of `kit/more/LATER.md`.
pub fn kylhall() -> Site {
    Site {
        zones: ["norrkoping-yard", "gavle-yard", "head-office"],
        clock_off_ms: 100.0,
        teams: &[("yard-systems", 0.0, 0.0), ("liu-logistics-lab", 0.0, 0.0)],
        report_s: 1.0,
        lease_s: 10.0,
        gang_wait_s: 45.0,
        gang_peer_s: 5.0,
        cancel_s: 35.0,
        limits: Limits { rps: 150.0, write_rps: 20.0, value_kb: 32.0, txn_ops: 16 },
        cloud_rps: 4.0,
        list_lag_s: 5.0,
        cores: 0.08,
        mem_mb: 40.0,
        max_connections: 800,
        types: vec![
            machine_type("frost-small", (4.0, 0.0, 32.0), (0.27, 0.06), (40.0, 0.25, 30.0)),
            machine_type("frost-medium", (16.0, 0.0, 32.0), (0.83, 0.21), (25.0, 0.8, 25.0)),
            machine_type("frost-large", (64.0, 0.0, 256.0), (3.33, 0.73), (60.0, 0.8, 25.0)),
        ],
        capacity: offers(&[
            ("frost-small", "norrkoping-yard", 3, 4),
            ("frost-small", "gavle-yard", 3, 3),
            ("frost-small", "head-office", 2, 3),
            ("frost-medium", "norrkoping-yard", 1, 1),
            ("frost-medium", "gavle-yard", 1, 1),
            ("frost-medium", "head-office", 1, 1),
            ("frost-large", "gavle-yard", 1, 1),
            ("frost-large", "head-office", 1, 1),
        ]),
    }
}

/// A job as a user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub team: &'static str,
    pub shape: &'static str,
    pub rank: &'static str,
    pub shards: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: &'static str,
    pub image_gb: f64,
    pub hulls: Option<Vec<&'static str>>,
    pub dock: Option<&'static str>,
    pub scatter: bool,
    pub spot: bool,
    pub eta_s: f64,
    pub due_s: Option<f64>,
    /// How long its tasks really run; none: until they are stopped.
    pub runs_s: Option<f64>,
    /// What its tasks do is not written to the record: they are too many.
    pub quiet: bool,
}

impl Job {
    fn body(&self) -> Value {
        let hulls = self
            .hulls
            .as_ref()
            .map_or(Value::Nil, |hulls| Value::List(hulls.iter().map(|hull| text(hull)).collect()));
        map(&[
            ("name_id", text(&self.id)),
            ("jobclass", text(self.class)),
            ("crew", text(self.team)),
            ("shape", text(self.shape)),
            ("rank", text(self.rank)),
            ("shards", int(u64::from(self.shards))),
            ("cpus", Value::Float(self.cpus)),
            ("accelerators", Value::Float(self.gpus)),
            ("memory_gb", Value::Float(self.memory_gb)),
            ("bundle", text(self.image)),
            ("pull_gb", Value::Float(self.image_gb)),
            ("hulls", hulls),
            ("dock", self.dock.map_or(Value::Nil, text)),
            ("one_zone", Value::Bool(false)),
            ("scatter", Value::Bool(self.scatter)),
            ("driftwood", Value::Bool(self.spot)),
            ("eta_s", Value::Float(self.eta_s)),
            ("mark_s", Value::Float(0.0)),
            ("stow_s", Value::Float(0.0)),
            ("due_s", self.due_s.map_or(Value::Nil, Value::Float)),
        ])
    }
}

struct Controller {
    name: String,
    front: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    to_state: Link,
    /// Links to the other controllers, by the index of the other.
    to_others: Vec<(usize, Link)>,
}

pub struct Cluster {
    pub record: Arc<Record>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub jobs: Arc<Jobs>,
    folder: PathBuf,
    /// Lists the processes of the controllers that run, for the script that started this program.
    pids: PathBuf,
    command: Vec<String>,
    controllers: Vec<Controller>,
}

fn free_address() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// The command `run` of the deploy file.
fn run_command() -> Vec<String> {
    let file = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
    let line = file.lines().find_map(|line| line.strip_prefix("run = ")).expect("its command");
    line.trim().trim_matches('"').split_whitespace().map(str::to_string).collect()
}

impl Cluster {
    /// Starts everything. `boot`: time from a rental request until the machine is up.
    pub fn start(
        site: Site,
        boot: Duration,
        (folder, pids): (&str, &str),
        record: Arc<Record>,
    ) -> Cluster {
        let jobs = Arc::new(Jobs::default());
        let timing = WorkerTiming { report_s: site.report_s, lease_s: site.lease_s };
        let (state, state_address) = State::start(&site.limits, record.clone());
        let (cloud, cloud_address) = Cloud::start(
            site.types.clone(),
            site.capacity.clone(),
            (boot, site.list_lag_s, site.cloud_rps),
            jobs.clone(),
            timing,
            record.clone(),
        );
        let ports: Vec<_> = (0..3).map(|_| (free_address(), free_address())).collect();
        let folder = PathBuf::from(folder);
        let mut controllers = Vec::new();
        for (n, ((_, front), (_, own))) in ports.iter().enumerate() {
            let to_state = Link::to(state_address);
            let others = (0..3).filter(|other| *other != n);
            let to_others: Vec<(usize, Link)> =
                others.map(|other| (other, Link::to(ports[other].1 .1))).collect();
            let name = format!("berth-{n}");
            let settings = folder.join(format!("{name}.toml"));
            let mut file = format!(
                "host_name = \"{name}\"\nsite = \"{}\"\nfront = \"{front}\"\ncluster_listen = \"{own}\"\n\n",
                site.zones[n]
            );
            for (other, link) in &to_others {
                file += &format!(
                    "[[others]]\nhost_name = \"berth-{other}\"\nsite = \"{}\"\naddress = \"{}\"\n\n",
                    site.zones[*other], link.address
                );
            }
            file += &format!(
                "[endpoints]\ncloud = \"{cloud_address}\"\nstate = \"{}\"\n\n",
                to_state.address
            );
            file += &common_settings(&site);
            std::fs::write(&settings, file).expect("the settings file");
            controllers.push(Controller {
                log: folder.join(format!("{name}.log")),
                name,
                front: *front,
                settings,
                process: None,
                to_state,
                to_others,
            });
        }
        let fronts = controllers.iter().map(|c| (c.name.clone(), c.front)).collect();
        cloud.set_controllers(fronts);
        drop(ports);
        let command = run_command();
        let pids = PathBuf::from(pids);
        let mut cluster =
            Cluster { record, state, cloud, jobs, folder, pids, command, controllers };
        for n in 0..3 {
            cluster.start_controller(n);
        }
        cluster
    }

    pub fn start_controller(&mut self, n: usize) {
        let controller = &mut self.controllers[n];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&controller.log);
        let process = Command::new(&self.command[0])
            .args(&self.command[1..])
            .arg(&controller.settings)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("the log file"))
            .spawn();
        let Ok(process) = process else { fail_setup("the controller can't be started") };
        self.record.line(format!("{} started", controller.name));
        controller.process = Some(process);
        self.list_processes();
    }

    fn list_processes(&self) {
        let running = self.controllers.iter().filter_map(|c| c.process.as_ref());
        let lines: String = running.map(|process| format!("{}\n", process.id())).collect();
        let _ = std::fs::write(&self.pids, lines);
    }

    /// Kills a controller without a signal that it could handle.
    pub fn kill_controller(&mut self, n: usize) {
        let controller = &mut self.controllers[n];
        if let Some(mut process) = controller.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(format!("{} killed", controller.name));
        }
        self.list_processes();
    }

    pub fn name(&self, n: usize) -> String {
        self.controllers[n].name.clone()
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        self.controllers[n].front
    }

    /// The controller that holds the leader's key, by the state service.
    pub fn leader(&self) -> Option<usize> {
        let record = self.state.get("term/leader")?;
        let node = record.get("node").text().to_string();
        self.controllers.iter().position(|c| c.name == node)
    }

    /// Cuts a controller from the state service and from the other controllers, or heals both.
    pub fn cut_from_state_and_peers(&self, n: usize, cut: bool) {
        let name = &self.controllers[n].name;
        self.record.line(match cut {
            true => format!("{name} loses the state service and the other controllers"),
            false => format!("{name} reaches the state service and the other controllers again"),
        });
        self.controllers[n].to_state.set_cut(cut);
        for (index, controller) in self.controllers.iter().enumerate() {
            for (other, link) in &controller.to_others {
                if index == n || *other == n {
                    link.set_cut(cut);
                }
            }
        }
    }

    /// Waits until a controller leads and all three answer health checks.
    pub fn wait_until_ready(&self) {
        let ready = self.wait(Duration::from_secs(15), || {
            let healthy = |c: &Controller| {
                let answer = call(c.front, "GET", "/up", None, Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            self.leader().is_some() && self.controllers.iter().all(healthy)
        });
        if !ready {
            self.keep_logs();
            fail_setup("the controllers are not ready in time");
        }
        if let Some(leader) = self.leader() {
            self.record.line(format!("{} leads", self.name(leader)));
        }
    }

    /// Waits until `condition` holds. Returns false after `timeout`.
    pub fn wait(&self, timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if condition() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        condition()
    }

    /// A user submits a job, first to controller `at`, and repeats the request as the protocol says.
    pub fn submit(&self, job: &Job, at: usize) -> u16 {
        let info = JobInfo {
            shards: job.shards,
            cpus: job.cpus,
            gpus: job.gpus,
            memory_gb: job.memory_gb,
            image: job.image.to_string(),
            image_gb: job.image_gb,
            runs: job.runs_s.map(Duration::from_secs_f64),
            quiet: job.quiet,
        };
        self.jobs.infos.lock().unwrap().insert(job.id.clone(), info);
        self.repeat("POST", "/v1/jobs", Some(&job.body()), at, &[200, 201, 400, 422])
    }

    /// A user cancels a job, first at controller `at`. Returns the time of the confirmation, or none.
    pub fn withdraw(&self, id: &str, at: usize) -> Option<u64> {
        let status = self.repeat("POST", &format!("/v1/jobs/{id}/withdraw"), None, at, &[200, 404]);
        (status == 200).then(|| self.record.ms())
    }

    /// One poll at a controller.
    pub fn poll(&self, id: &str, at: usize) -> Option<(u16, String)> {
        let path = format!("/v1/jobs/{id}");
        let answer = call(self.front(at), "GET", &path, None, Duration::from_secs(2));
        let shown = answer.as_ref().map(|(status, value)| format!("{status} {}", value.json()));
        self.record.line(format!(
            "user: poll {id} at {} -> {}",
            self.name(at),
            shown.unwrap_or("no answer".into())
        ));
        answer.map(|(status, value)| (status, value.get("status").text().to_string()))
    }

    fn repeat(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        at: usize,
        definite: &[u16],
    ) -> u16 {
        let until = Instant::now() + Duration::from_secs(60);
        for attempt in 0.. {
            let n = (at + attempt) % 3;
            let answer = call(self.front(n), method, path, body, Duration::from_secs(5));
            let shown = answer.as_ref().map(|(status, value)| format!("{status} {}", value.json()));
            let what = body.map_or(String::new(), |body| format!(" {}", body.json()));
            self.record.line(format!(
                "user: {method} {path}{what} at {} -> {}",
                self.name(n),
                shown.unwrap_or("no answer".into())
            ));
            match answer {
                Some((status, _)) if definite.contains(&status) => return status,
                _ if Instant::now() > until => return 0,
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
        0
    }

    /// The runs of a job's tasks so far.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let prefix = format!("{id}/");
        let runs = self.jobs.runs.lock().unwrap();
        runs.iter().filter(|run| run.task.starts_with(&prefix)).cloned().collect()
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.cloud.workers()
    }

    /// The last lines of the controllers' logs, for the record.
    pub fn keep_logs(&self) {
        for controller in &self.controllers {
            let log = std::fs::read_to_string(&controller.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            self.record.line(format!("log of {}:", controller.name));
            for line in &lines[lines.len().saturating_sub(40)..] {
                self.record.line(format!("    {line}"));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for n in 0..self.controllers.len() {
            self.kill_controller(n);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends the program: the case can't run.
pub fn fail_setup(cause: &str) -> ! {
    eprintln!("the case can't run: {cause}");
    std::process::exit(2)
}

fn common_settings(site: &Site) -> String {
    let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let mut text = format!(
        "[settings]\ninitial_size = 3\nzones = [{}]\nclock_off_ms = {:?}\n\n",
        zones.join(", "),
        site.clock_off_ms
    );
    for (name, cpus, cpus_max) in site.teams {
        text += &format!(
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = 0.0\n\n"
        );
    }
    text += &format!(
        "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n\n",
        site.report_s, site.lease_s, site.gang_wait_s, site.gang_peer_s, site.cancel_s
    );
    text += &format!(
        "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n",
        site.limits.rps, site.limits.write_rps, site.limits.value_kb, site.limits.txn_ops
    );
    text += &format!(
        "[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n",
        site.cloud_rps, site.list_lag_s
    );
    text += &format!(
        "[settings.machine_limits]\ncores = {:?}\nmem_mb = {:?}\nmax_connections = {}\n",
        site.cores, site.mem_mb, site.max_connections
    );
    text
}
