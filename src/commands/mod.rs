//! The commands that talk to a service that runs.

mod dispatch;
mod jobs;
mod loans;
mod pipelines;
mod plugins;
mod show;
mod tiers;

pub use dispatch::{DispatchCommand, plan_of};
pub use jobs::JobCommand;
pub use loans::LoanCommand;
pub use pipelines::PipelineCommand;
pub use plugins::PluginCommand;
pub use tiers::{TierCommand, table_of};

use crate::client::{Client, ClientError};
use crate::local::{Fault, path};
use clap::Args;
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;

/// Where users' requests go.
#[derive(Debug, Clone, Args)]
pub struct To {
    /// Addresses of controllers for users, tried in order
    #[arg(
        long,
        env = "SWIFTSAIL_TO",
        value_delimiter = ',',
        default_value = "127.0.0.1:7100,127.0.0.1:7101,127.0.0.1:7102",
        value_name = "ADDR,..."
    )]
    to: Vec<SocketAddr>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Where operators' requests go.
#[derive(Debug, Clone, Args)]
pub struct Admin {
    /// Addresses of controllers for operators, tried in order
    #[arg(
        long,
        env = "SWIFTSAIL_ADMIN",
        value_delimiter = ',',
        default_value = "127.0.0.1:7120,127.0.0.1:7121,127.0.0.1:7122",
        value_name = "ADDR,..."
    )]
    admin: Vec<SocketAddr>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs a request to its end on this thread.
fn wait<T>(request: impl Future<Output = Result<T, ClientError>>) -> Result<T, Box<dyn Error>> {
    Ok(actix::System::new().block_on(request)?)
}

/// Asks a controller something for an operator.
fn ask(admin: &Admin, method: &str, path: &str, body: Vec<u8>) -> Result<Value, Box<dyn Error>> {
    wait(async { Client::new(admin.admin.clone()).admin(method, path, body).await })
}

/// Asks a `swiftsail local` that runs for a fault.
pub fn fault(at: SocketAddr, fault: &Fault) -> Result<(), Box<dyn Error>> {
    let body = serde_json::to_vec(fault)?;
    let client = || Client::new(vec![at]);
    let answer = wait(async { client().admin("POST", path::FAULT, body).await })?;
    show::line(answer["done"].as_str().unwrap_or("done"));
    Ok(())
}
