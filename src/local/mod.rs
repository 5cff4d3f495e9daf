//! `swiftsail local`: one machine in one command. A state service, a cloud with its machines and real
//! controller processes on loopback, speaking the protocol over real HTTP.

mod config;
mod emulator;
mod fault_proxy;
mod faults;
mod http;
pub mod persistence;
mod processes;

pub use config::{LocalConfig, PortPlan, write_controller_config};
pub use emulator::EmulatorStatus;
pub use faults::Fault;
pub use http::path;

use crate::constants::{
    LOCAL_BASE_PORT, LOCAL_MAX_MACHINES, LOCAL_PROCESS_CHECK_INTERVAL_MS,
    LOCAL_PROGRESS_INTERVAL_MS,
};
use crate::logging::LogFormat;
use actix::Actor;
use clap::Args;
use emulator::{Emulator, GetEmulatorStatus};
use indicatif::{ProgressBar, ProgressStyle};
use persistence::Persistence;
use processes::ControllerProcesses;
use std::collections::BTreeSet;
use std::error::Error;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// What `swiftsail local` takes.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct LocalArgs {
    /// Controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=5))]
    controllers: u8,
    /// Machine types, zones, teams and limits: a file like deploy/local.toml, or `built-in`
    #[arg(long, default_value = "built-in", value_name = "FILE")]
    machines: PathBuf,
    /// How many times as fast machines boot, fetch and run
    #[arg(long, default_value_t = 1.0, value_name = "X", value_parser = parse_speed)]
    speed: f64,
    /// Keep the state service's contents, settings and logs in this folder
    #[arg(long, value_name = "DIR")]
    data: Option<PathBuf>,
    /// Seed of boots, speeds and run times, so that a run can be repeated; by default a new one
    #[arg(long)]
    seed: Option<u64>,
    /// First of the ports used, some 100 and one a machine
    #[arg(long, default_value_t = LOCAL_BASE_PORT)]
    port: u16,
    #[command(subcommand)]
    command: Option<LocalCommand>,
}

/// What may be asked of a `swiftsail local` that runs.
#[derive(Debug, clap::Subcommand)]
pub enum LocalCommand {
    /// Ask for a fault
    Fault {
        /// Where it runs
        #[arg(long, env = "SWIFTSAIL_LOCAL", default_value = "127.0.0.1:7199", global = true)]
        at: std::net::SocketAddr,
        /// What
        #[command(subcommand)]
        fault: Fault,
    },
}

impl LocalArgs {
    /// What is asked of one that runs, if anything.
    pub fn command(&mut self) -> Option<LocalCommand> {
        self.command.take()
    }
}

fn parse_speed(text: &str) -> Result<f64, String> {
    let speed: f64 = text.parse().map_err(|e| format!("{e}"))?;
    if (0.1..=100.0).contains(&speed) { Ok(speed) } else { Err("is not from 0.1 to 100".into()) }
}

/// Runs until ctrl-C.
#[expect(clippy::too_many_lines, reason = "not split yet")]
pub fn run(args: &LocalArgs, log_format: LogFormat) -> Result<(), Box<dyn Error>> {
    let built_in = args.machines.as_os_str() == "built-in";
    let model = LocalConfig::load((!built_in).then_some(args.machines.as_path()))?;
    let nodes = usize::from(args.controllers);
    let machines = model.max_machines().min(LOCAL_MAX_MACHINES);
    if usize::from(args.port) + 100 + machines > usize::from(u16::MAX) {
        return Err(
            format!("--port {}: too few ports above it; give a lower one", args.port).into()
        );
    }
    let ports = PortPlan::from(args.port);
    // Without a folder of its own, what it writes goes when it ends.
    let scratch = args.data.is_none().then(tempfile::tempdir).transpose()?;
    let folder = match (&args.data, &scratch) {
        (Some(folder), _) => folder.clone(),
        (None, Some(scratch)) => scratch.path().to_path_buf(),
        (None, None) => return Err("no folder to write to".into()),
    };
    std::fs::create_dir_all(&folder)
        .map_err(|e| format!("--data {}: {e}; give a folder to write to", folder.display()))?;
    let keep = match &args.data {
        Some(folder) => Some(Persistence::open(&folder.join("state.redb")).map_err(|e| {
            format!("--data {}: {e}; end what uses it, or give another", folder.display())
        })?),
        None => None,
    };
    let files = (0..nodes).map(|node| {
        let (config, operator) =
            config::write_controller_config(&model, ports, node, nodes, &folder)?;
        Ok((config::controller_name(node), config, operator))
    });
    let files = files.collect::<std::io::Result<Vec<_>>>()?;
    let seed = args.seed.unwrap_or_else(rand::random);
    let form = match log_format {
        LogFormat::Text => "text",
        LogFormat::Json => "json",
    };
    actix::System::new().block_on(async {
        let (links, cut) = watch::channel(BTreeSet::new());
        let (crash, mut crashes) = mpsc::unbounded_channel();
        let outside = Emulator::new(&model, ports, nodes, (args.speed, seed), keep, links, crash)?;
        let outside = outside.start();
        actix::spawn(http::serve(outside.clone(), ports, nodes, machines)?);
        for from in 0..nodes {
            for to in (0..nodes).filter(|to| *to != from) {
                start_fault_proxies(&model, ports, from, to, cut.clone());
            }
        }
        let mut processes = ControllerProcesses::start(files, form)?;
        announce_endpoints(ports, nodes, &folder, args.data.is_some());
        let mut progress = Progress::new();
        let mut step = actix_rt::time::interval(Duration::from_millis(LOCAL_PROCESS_CHECK_INTERVAL_MS));
        let end = actix_rt::signal::ctrl_c();
        tokio::pin!(end);
        loop {
            tokio::select! {
                ended = &mut end => {
                    ended?;
                    break;
                }
                Some(node) = crashes.recv() => processes.kill(node),
                _ = step.tick() => {
                    processes.restart_exited()?;
                    if progress.is_due() && let Ok(standing) = outside.send(GetEmulatorStatus).await {
                        progress.show(&standing);
                    }
                }
            }
        }
        progress.finish();
        print_line("ending: controllers first, then everything else");
        drop(processes);
        Ok(())
    })
}

/// Passes connections on from one controller to another, while neither zone is cut off.
fn start_fault_proxies(
    model: &LocalConfig,
    ports: PortPlan,
    from: usize,
    to: usize,
    mut cut: watch::Receiver<BTreeSet<String>>,
) {
    let zones = [
        config::zone_of_controller(&model.zones, from),
        config::zone_of_controller(&model.zones, to),
    ];
    let (open, opens) = watch::channel(true);
    actix::spawn(async move {
        while cut.changed().await.is_ok() {
            let lost = cut.borrow_and_update();
            let apart = zones[0] != zones[1] && zones.iter().any(|z| lost.contains(z));
            open.send_replace(!apart);
        }
    });
    let (here, there) = (ports.link(from, to), ports.cluster(to));
    actix::spawn(async move {
        if let Err(e) = fault_proxy::run_fault_proxy(here, there, opens).await {
            tracing::error!(at = %here, cause = %e, "controllers cannot reach each other: free the address");
        }
    });
}

/// A line for the one who started it; a closed pipe is no reason to complain.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

fn announce_endpoints(ports: PortPlan, nodes: usize, folder: &std::path::Path, kept: bool) {
    for node in 0..nodes {
        print_line(&format!(
            "{}: users and workers {}, operators {}",
            config::controller_name(node),
            ports.http(node),
            ports.admin(node)
        ));
    }
    print_line(&format!("state service {}, cloud {}", ports.state(0), ports.cloud(0)));
    print_line(&format!("faults: swiftsail local fault --at {}", ports.control()));
    let logs = if kept { "state, settings and logs" } else { "settings and logs, while it runs" };
    print_line(&format!("{logs}: {}", folder.display()));
    print_line("submit with: swiftsail submit examples/array.toml    end with ctrl-C");
}

/// How things stand, shown as a line that changes, or as lines where there is no terminal.
struct Progress {
    bar: Option<ProgressBar>,
    next_update_at: Instant,
    last_line: String,
}

impl Progress {
    fn new() -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| {
            let style = ProgressStyle::with_template("{spinner} {elapsed_precise} {msg}");
            ProgressBar::new_spinner()
                .with_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()))
        });
        Progress { bar, next_update_at: Instant::now(), last_line: String::new() }
    }

    fn is_due(&mut self) -> bool {
        let due = Instant::now() >= self.next_update_at;
        if due {
            self.next_update_at =
                Instant::now() + Duration::from_millis(LOCAL_PROGRESS_INTERVAL_MS);
        }
        due
    }

    fn show(&mut self, s: &EmulatorStatus) {
        let line = format!(
            "leader {}, {} jobs, {} of {} machines up, {} tasks run, {} done, {} killed, {:.3} spent",
            s.leader.as_deref().unwrap_or("none"),
            s.jobs,
            s.machines_up,
            s.machines,
            s.tasks,
            s.tasks_done,
            s.tasks_killed,
            s.money_spent
        );
        let what = line.rsplit_once(',').map_or(line.as_str(), |(what, _)| what).to_string();
        match &self.bar {
            Some(bar) => {
                bar.set_message(line);
                bar.tick();
            }
            None if what != self.last_line => print_line(&line),
            None => {}
        }
        self.last_line = what;
    }

    fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
