//! The command line: options, subcommands and exit status.

use crate::admission::AdmissionController;
use crate::client::ClientError;
use crate::commands::{
    DispatchCommand, JobCommand, LoanCommand, PipelineCommand, PluginCommand, TierCommand,
};
use crate::constants::EXIT_STATUS_REJECTED;
use crate::local::{LocalArgs, LocalCommand};
use crate::logging::{self, LogFormat};
use crate::runtime::ControllerActor;
use crate::{admin, commands, http, local};
use actix::Actor;
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::error::Error;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use swiftsail_controller::settings::Settings;
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_policy::operator_settings::OperatorSettings;

/// A cluster scheduler that places work by its probability of meeting its deadline.
#[derive(Debug, Parser)]
#[command(
    name = "swiftsail",
    version,
    arg_required_else_help = true,
    after_help = "Exit status: 0 success; 2 rejected (an invalid file or argument, or a request that the service \
rejects); 3 no response, or unknown outcome."
)]
struct CommandLine {
    /// Run a controller with the platform's settings from this file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' file: policy, plug-ins and the operators' listener
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Format of the log, which is written to standard error
    #[arg(long, value_enum, default_value_t, value_name = "FORM", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Validate a settings file or an operators' file without running a controller
    Check {
        /// The platform's settings file
        #[arg(long, value_name = "FILE", required_unless_present = "operator")]
        config: Option<PathBuf>,
        /// The operators' file
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Run a cluster on this machine: an emulated state service, cloud and workers, and real controllers
    Local(LocalArgs),
    #[command(flatten)]
    Job(JobCommand),
    /// Manage plug-ins: add, list, show, enable, disable, remove, explain, check
    #[command(subcommand)]
    Plugin(PluginCommand),
    /// Manage the tier table: list, show, set, explain
    #[command(subcommand)]
    Tier(TierCommand),
    /// Manage arrivals and the steps that must be done before them: list, show, why, add, set
    #[command(subcommand)]
    Dispatch(DispatchCommand),
    /// Show loans of accelerators between jobs: list, show
    #[command(subcommand)]
    Loan(LoanCommand),
    /// Show pipelines of dependent jobs, with the deadlines along the chain
    #[command(subcommand)]
    Pipeline(PipelineCommand),
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Parses the command line, runs the command and returns the exit status. Errors are written to standard error.
pub fn main() -> ExitCode {
    let args = CommandLine::parse();
    let outcome = match (args.command, args.config) {
        (Some(Command::Check { config, operator }), _) => check_configuration(config, operator),
        (Some(Command::Local(mut local)), _) => match local.command() {
            Some(LocalCommand::Fault { at, fault }) => commands::inject_fault(at, &fault),
            None => {
                logging::init_logging(args.log_format);
                local::run(&local, args.log_format)
            }
        },
        (Some(Command::Job(job)), _) => job.run(),
        (Some(Command::Plugin(plugin)), _) => plugin.run(),
        (Some(Command::Tier(tier)), _) => tier.run(),
        (Some(Command::Loan(loan)), _) => loan.run(),
        (Some(Command::Pipeline(pipeline)), _) => pipeline.run(),
        (Some(Command::Dispatch(dispatch)), _) => dispatch.run(),
        (Some(Command::Completions { shell }), _) => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut CommandLine::command(), "swiftsail", &mut out);
            // A closed pipe is not an error.
            let _ = std::io::stdout().write_all(&out);
            Ok(())
        }
        (None, Some(config)) => {
            logging::init_logging(args.log_format);
            run_controller(&config, args.operator.as_deref())
        }
        (None, None) => Err("expected --config FILE or a subcommand; see --help".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "swiftsail: {error}");
            let status = error.downcast_ref::<ClientError>().map(ClientError::exit_status);
            ExitCode::from(status.unwrap_or(EXIT_STATUS_REJECTED))
        }
    }
}

fn check_configuration(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<(), Box<dyn Error>> {
    // A closed pipe is not an error.
    let mut out = std::io::stdout();
    if let Some(file) = config {
        let settings = Settings::load(&file)?;
        let _ = writeln!(out, "{}: settings are sound", settings.host_name);
    }
    if let Some(file) = operator {
        load_operator_settings(&file)?;
        let _ = writeln!(out, "{}: the operators' file is sound", file.display());
    }
    Ok(())
}

/// Loads and validates the operators' file, including its tier table and dispatch plan.
fn load_operator_settings(file: &Path) -> Result<OperatorSettings, Box<dyn Error>> {
    let operator = OperatorSettings::load(file)?;
    commands::load_tier_table(file, &operator)?;
    commands::load_dispatch_plan(file, &operator)?;
    Ok(operator)
}

fn run_controller(config: &Path, operator: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let settings = Arc::new(Settings::load(config)?);
    let operator = operator.map(load_operator_settings).transpose()?.unwrap_or_default();
    tracing::info!(node = %settings.host_name, site = %settings.site, front = %settings.front, "starting");
    let seed = rand::random();
    let result = actix::System::new().block_on(async move {
        let limits = &settings.settings.machine_limits;
        let budget = MemoryBudget::divide(limits.mem_mb, limits.max_connections);
        let admission = AdmissionController::new(budget.body_bytes);
        let controller = ControllerActor::new(settings.clone(), &operator, admission.clone(), seed).start();
        if let Some(listen) = operator.admin.listen {
            let admin_controller = controller.clone();
            actix::spawn(async move {
                // The controller serves users and workers even if the operators' listener fails.
                if let Err(e) = admin::serve(listen, admin_controller).await {
                    tracing::error!(%listen, cause = %e, "operators' listener failed; check that its address is free");
                }
            });
        }
        http::serve(&settings, controller, &budget, admission).await
    });
    result.map_err(|e| {
        format!(
            "cannot listen on `front` and `cluster_listen`: {e}; check that both addresses are free"
        )
        .into()
    })
}
