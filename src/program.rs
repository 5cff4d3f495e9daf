//! The command line.

use crate::controller::Controller;
use actix::Actor;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use swiftsail_core::settings::Settings;
use tracing::level_filters::LevelFilter;

/// Variable that says how much is logged.
const LOG_LEVEL: &str = "LOG_LEVEL";

/// A cluster scheduler that places work by its chance of meeting its deadline.
#[derive(Debug, Parser)]
#[command(
    name = "swiftsail",
    version,
    arg_required_else_help = true,
    args_conflicts_with_subcommands = true
)]
struct Args {
    /// Run a controller with this settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file without running
    Check {
        /// The settings file
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

/// Runs the program.
pub fn main() -> ExitCode {
    let args = Args::parse();
    match (args.command, args.config) {
        (Some(Command::Check { config }), _) => match Settings::load(&config) {
            Ok(settings) => {
                use std::io::Write;
                // A closed pipe is no reason to complain.
                let _ = writeln!(std::io::stdout(), "{}: settings are sound", settings.host_name);
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e.to_string()),
        },
        (None, Some(config)) => match Settings::load(&config) {
            Ok(settings) => run(settings),
            Err(e) => fail(&e.to_string()),
        },
        (None, None) => fail("nothing to do; give --config FILE, or --help for more"),
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("swiftsail: {why}");
    ExitCode::from(2)
}

fn start_log() {
    let asked = std::env::var(LOG_LEVEL).unwrap_or_default();
    let level = match asked.as_str() {
        "error" => Some(LevelFilter::ERROR),
        "" | "info" => Some(LevelFilter::INFO),
        "debug" => Some(LevelFilter::DEBUG),
        _ => None,
    };
    let own = tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .finish();
    // Only fails if a log is set up already, which then serves.
    let _ = tracing::subscriber::set_global_default(own);
    if level.is_none() {
        tracing::warn!(level = %asked, "{LOG_LEVEL} is none of error, info, debug: info is used");
    }
}

fn run(settings: Settings) -> ExitCode {
    start_log();
    tracing::info!(node = %settings.host_name, site = %settings.site, front = %settings.front, "starting");
    let seed = rand::random();
    let result = actix::System::new().block_on(async move {
        let settings = Arc::new(settings);
        let controller = Controller::new(settings.clone(), seed).start();
        crate::front::serve(&settings, controller).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            fail(&format!("cannot listen: {e}; check that `front` and `cluster_listen` are free"))
        }
    }
}
