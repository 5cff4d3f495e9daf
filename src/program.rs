//! The command line.

use crate::admission::AdmissionController;
use crate::client::ClientError;
use crate::commands::{
    DispatchCommand, JobCommand, LoanCommand, PipelineCommand, PluginCommand, TierCommand,
};
use crate::constants::EXIT_STATUS_REFUSED;
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

/// A cluster scheduler that places work by its chance of meeting its deadline.
#[derive(Debug, Parser)]
#[command(
    name = "swiftsail",
    version,
    arg_required_else_help = true,
    after_help = "Exit status: 0 done; 2 refused (a file, an argument, or the service's answer); 3 no answer, or \
not known whether it was done."
)]
struct CommandLine {
    /// Run a controller with this settings file, the platform's
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' file, which holds policy, plug-ins and the operators' listener
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Form of the log, which goes to standard error
    #[arg(long, value_enum, default_value_t, value_name = "FORM", global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file, or an operators' file, without running
    Check {
        /// The settings file, the platform's
        #[arg(long, value_name = "FILE", required_unless_present = "operator")]
        config: Option<PathBuf>,
        /// The operators' file
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Run everything on this machine: state service, cloud, workers, controllers
    Local(LocalArgs),
    #[command(flatten)]
    Job(JobCommand),
    /// Plug-ins: add, list, show, enable, disable, remove, explain, check
    #[command(subcommand)]
    Plugin(PluginCommand),
    /// Tiers: list, show, set, explain
    #[command(subcommand)]
    Tier(TierCommand),
    /// Arrivals and what must be done before: list, show, why, add, set
    #[command(subcommand)]
    Dispatch(DispatchCommand),
    /// Accelerators lent: list, show
    #[command(subcommand)]
    Loan(LoanCommand),
    /// Jobs that await others, with their deadlines along the chain
    #[command(subcommand)]
    Pipeline(PipelineCommand),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Runs the program.
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
            // A closed pipe is no reason to complain.
            let _ = std::io::stdout().write_all(&out);
            Ok(())
        }
        (None, Some(config)) => {
            logging::init_logging(args.log_format);
            run_controller(&config, args.operator.as_deref())
        }
        (None, None) => Err("nothing to do; give --config FILE, or --help for more".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "swiftsail: {why}");
            let silent = why.downcast_ref::<ClientError>().map(ClientError::exit_status);
            ExitCode::from(silent.unwrap_or(EXIT_STATUS_REFUSED))
        }
    }
}

fn check_configuration(
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<(), Box<dyn Error>> {
    // A closed pipe is no reason to complain.
    let mut out = std::io::stdout();
    if let Some(file) = config {
        let settings = Settings::load(&file)?;
        let _ = writeln!(out, "{}: settings are sound", settings.host_name);
    }
    if let Some(file) = operator {
        load_operator(&file)?;
        let _ = writeln!(out, "{}: the operators' file is sound", file.display());
    }
    Ok(())
}

/// Reads the operators' file and checks all of it.
fn load_operator(file: &Path) -> Result<OperatorSettings, Box<dyn Error>> {
    let operator = OperatorSettings::load(file)?;
    commands::load_tier_table(file, &operator)?;
    commands::load_dispatch_plan(file, &operator)?;
    Ok(operator)
}

fn run_controller(config: &Path, operator: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let settings = Arc::new(Settings::load(config)?);
    let operator = operator.map(load_operator).transpose()?.unwrap_or_default();
    tracing::info!(node = %settings.host_name, site = %settings.site, front = %settings.front, "starting");
    let seed = rand::random();
    let served = actix::System::new().block_on(async move {
        let limits = &settings.settings.machine_limits;
        let budget = MemoryBudget::divide(limits.mem_mb, limits.max_connections);
        let entry = AdmissionController::new(budget.body_bytes);
        let controller = ControllerActor::new(settings.clone(), &operator, entry.clone(), seed).start();
        if let Some(listen) = operator.admin.listen {
            let to = controller.clone();
            actix::spawn(async move {
                // Without it the service goes on: operators are not what it is for.
                if let Err(e) = admin::serve(listen, to).await {
                    tracing::error!(%listen, cause = %e, "cannot serve operators: free the address");
                }
            });
        }
        http::serve(&settings, controller, &budget, entry).await
    });
    served.map_err(|e| {
        format!("cannot listen: {e}; check that `front` and `cluster_listen` are free").into()
    })
}
