//! `swiftsail local`: a complete cluster on one machine. It runs an emulated state service and an emulated cloud with its
//! machines, and real controller processes, which use the protocol over HTTP on loopback.

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

/// Arguments of `swiftsail local`.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct LocalArgs {
    /// Number of controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=5))]
    controllers: u8,
    /// Machine types, zones, teams and limits: a file like deploy/local.toml, or `built-in`
    #[arg(long, default_value = "built-in", value_name = "FILE")]
    machines: PathBuf,
    /// Speed factor of booting, image fetching and task execution
    #[arg(long, default_value_t = 1.0, value_name = "X", value_parser = parse_speed)]
    speed: f64,
    /// Folder in which the contents of the state service, settings and logs are kept; by default a temporary one
    #[arg(long, value_name = "DIR")]
    data: Option<PathBuf>,
    /// Random seed of boot times, machine speeds and run times, to repeat a run; by default a random one
    #[arg(long)]
    seed: Option<u64>,
    /// First port; 100 ports from it on are used, and one more for each machine
    #[arg(long, default_value_t = LOCAL_BASE_PORT)]
    port: u16,
    #[command(subcommand)]
    command: Option<LocalCommand>,
}

/// Commands for a running `swiftsail local`.
#[derive(Debug, clap::Subcommand)]
pub enum LocalCommand {
    /// Inject a fault
    Fault {
        /// Control address of the running `swiftsail local`
        #[arg(long, env = "SWIFTSAIL_LOCAL", default_value = "127.0.0.1:7199", global = true)]
        at: std::net::SocketAddr,
        /// The fault to inject
        #[command(subcommand)]
        fault: Fault,
    },
}

impl LocalArgs {
    /// Takes the command for a running `swiftsail local`, if there is one.
    pub fn command(&mut self) -> Option<LocalCommand> {
        self.command.take()
    }
}

fn parse_speed(text: &str) -> Result<f64, String> {
    let speed: f64 = text.parse().map_err(|e| format!("{e}"))?;
    if (0.1..=100.0).contains(&speed) {
        Ok(speed)
    } else {
        Err("expected a number from 0.1 to 100".into())
    }
}

/// Runs the cluster until Ctrl-C. Fails if the configuration is invalid, the folder cannot be used, a listener cannot be
/// bound, or a controller process cannot be started.
#[expect(clippy::too_many_lines, reason = "not split yet")]
pub fn run(args: &LocalArgs, log_format: LogFormat) -> Result<(), Box<dyn Error>> {
    let built_in = args.machines.as_os_str() == "built-in";
    let local_config = LocalConfig::load((!built_in).then_some(args.machines.as_path()))?;
    let controller_count = usize::from(args.controllers);
    let machine_count = local_config.max_machines().min(LOCAL_MAX_MACHINES);
    if usize::from(args.port) + 100 + machine_count > usize::from(u16::MAX) {
        return Err(format!(
            "--port {}: {} ports are needed from it on; give a lower one",
            args.port,
            100 + machine_count
        )
        .into());
    }
    let ports = PortPlan::from(args.port);
    // Without --data, a temporary folder is used, which is deleted at the end.
    let temporary = args.data.is_none().then(tempfile::tempdir).transpose()?;
    let folder = match (&args.data, &temporary) {
        (Some(folder), _) => folder.clone(),
        (None, Some(temporary)) => temporary.path().to_path_buf(),
        (None, None) => return Err("no folder for settings and logs".into()),
    };
    std::fs::create_dir_all(&folder).map_err(|e| {
        format!(
            "--data {}: cannot create the folder: {e}; give a writable folder",
            folder.display()
        )
    })?;
    let persistence = match &args.data {
        Some(folder) => Some(Persistence::open(&folder.join("state.redb")).map_err(|e| {
            format!(
                "--data {}: cannot open state.redb: {e}; stop the process that uses it, or give another folder",
                folder.display()
            )
        })?),
        None => None,
    };
    let files = (0..controller_count).map(|node| {
        let (settings, operator) =
            config::write_controller_config(&local_config, ports, node, controller_count, &folder)?;
        Ok((config::controller_name(node), settings, operator))
    });
    let files = files.collect::<std::io::Result<Vec<_>>>()?;
    let seed = args.seed.unwrap_or_else(rand::random);
    let log_format = match log_format {
        LogFormat::Text => "text",
        LogFormat::Json => "json",
    };
    actix::System::new().block_on(async {
        let (partitioned_zones, partitions) = watch::channel(BTreeSet::new());
        let (crash_requests, mut crashes) = mpsc::unbounded_channel();
        let emulator = Emulator::new(
            &local_config,
            ports,
            controller_count,
            (args.speed, seed),
            persistence,
            partitioned_zones,
            crash_requests,
        )?;
        let emulator = emulator.start();
        actix::spawn(http::serve(emulator.clone(), ports, controller_count, machine_count)?);
        for from in 0..controller_count {
            for to in (0..controller_count).filter(|to| *to != from) {
                start_fault_proxy(&local_config, ports, from, to, partitions.clone());
            }
        }
        let mut processes = ControllerProcesses::start(files, log_format)?;
        print_endpoints(ports, controller_count, &folder, args.data.is_some());
        let mut progress = Progress::new();
        let mut process_check = actix_rt::time::interval(Duration::from_millis(LOCAL_PROCESS_CHECK_INTERVAL_MS));
        let ctrl_c = actix_rt::signal::ctrl_c();
        tokio::pin!(ctrl_c);
        loop {
            tokio::select! {
                signal = &mut ctrl_c => {
                    signal?;
                    break;
                }
                Some(node) = crashes.recv() => processes.kill(node),
                _ = process_check.tick() => {
                    processes.restart_exited()?;
                    if progress.is_due() && let Ok(status) = emulator.send(GetEmulatorStatus).await {
                        progress.show(&status);
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

/// Starts the proxy from one controller to another. It forwards data while no partition separates their zones.
fn start_fault_proxy(
    config: &LocalConfig,
    ports: PortPlan,
    from: usize,
    to: usize,
    mut partitioned_zones: watch::Receiver<BTreeSet<String>>,
) {
    let zones = [
        config::zone_of_controller(&config.zones, from),
        config::zone_of_controller(&config.zones, to),
    ];
    let (open_sender, is_open) = watch::channel(true);
    actix::spawn(async move {
        while partitioned_zones.changed().await.is_ok() {
            let partitioned = partitioned_zones.borrow_and_update();
            let is_cut = zones[0] != zones[1] && zones.iter().any(|z| partitioned.contains(z));
            open_sender.send_replace(!is_cut);
        }
    });
    let (listen, target) = (ports.link(from, to), ports.cluster(to));
    actix::spawn(async move {
        if let Err(e) = fault_proxy::run_fault_proxy(listen, target, is_open).await {
            tracing::error!(at = %listen, cause = %e, "proxy between controllers failed; check that its address is free");
        }
    });
}

/// Prints a line to standard output. Write errors, such as a closed pipe, are ignored.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Prints the addresses, the folder and how to submit a job.
fn print_endpoints(
    ports: PortPlan,
    controller_count: usize,
    folder: &std::path::Path,
    is_persistent: bool,
) {
    for node in 0..controller_count {
        print_line(&format!(
            "{}: users and workers {}, operators {}",
            config::controller_name(node),
            ports.http(node),
            ports.admin(node)
        ));
    }
    print_line(&format!("state service {}, cloud {}", ports.state(0), ports.cloud(0)));
    print_line(&format!("faults: swiftsail local fault --at {}", ports.control()));
    let contents =
        if is_persistent { "state, settings and logs" } else { "settings and logs, while it runs" };
    print_line(&format!("{contents}: {}", folder.display()));
    print_line("submit with: swiftsail submit examples/array.toml    end with ctrl-C");
}

/// Progress display: a line that is updated on a terminal, otherwise a new line for each change.
struct Progress {
    bar: Option<ProgressBar>,
    next_update_at: Instant,
    last_line_without_cost: String,
}

impl Progress {
    fn new() -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| {
            let style = ProgressStyle::with_template("{spinner} {elapsed_precise} {msg}");
            ProgressBar::new_spinner()
                .with_style(style.unwrap_or_else(|_| ProgressStyle::default_spinner()))
        });
        Progress { bar, next_update_at: Instant::now(), last_line_without_cost: String::new() }
    }

    fn is_due(&mut self) -> bool {
        let is_due = Instant::now() >= self.next_update_at;
        if is_due {
            self.next_update_at =
                Instant::now() + Duration::from_millis(LOCAL_PROGRESS_INTERVAL_MS);
        }
        is_due
    }

    fn show(&mut self, status: &EmulatorStatus) {
        let line = format!(
            "leader {}, {} jobs, {} of {} machines up, {} tasks run, {} done, {} killed, {:.3} spent",
            status.leader.as_deref().unwrap_or("none"),
            status.jobs,
            status.machines_up,
            status.machines,
            status.tasks,
            status.tasks_done,
            status.tasks_killed,
            status.money_spent
        );
        // The money spent always changes, so it is not compared.
        let without_cost =
            line.rsplit_once(',').map_or(line.as_str(), |(front, _)| front).to_string();
        match &self.bar {
            Some(bar) => {
                bar.set_message(line);
                bar.tick();
            }
            None if without_cost != self.last_line_without_cost => print_line(&line),
            None => {}
        }
        self.last_line_without_cost = without_cost;
    }

    fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
