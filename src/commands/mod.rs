//! The subcommands that send requests to a running service.

mod dispatch;
mod jobs;
mod loans;
mod output;
mod pipelines;
mod plugins;
mod tiers;

pub use dispatch::{DispatchCommand, load_dispatch_plan};
pub use jobs::JobCommand;
pub use loans::LoanCommand;
pub use pipelines::PipelineCommand;
pub use plugins::PluginCommand;
pub use tiers::{TierCommand, load_tier_table};

use crate::client::{Client, ClientError};
use crate::local::{Fault, path};
use clap::Args;
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;

/// Options of the commands for users.
#[derive(Debug, Clone, Args)]
pub struct ServiceTarget {
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

/// Options of the commands for operators.
#[derive(Debug, Clone, Args)]
pub struct AdminTarget {
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

/// Runs a request to completion on this thread.
fn block_on<T>(request: impl Future<Output = Result<T, ClientError>>) -> Result<T, Box<dyn Error>> {
    Ok(actix::System::new().block_on(request)?)
}

/// Sends an operator's request to the controllers and returns the JSON body of the response.
fn admin_request(
    admin: &AdminTarget,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Value, Box<dyn Error>> {
    block_on(async { Client::new(admin.admin.clone()).admin_request(method, path, body).await })
}

/// Injects a fault into a running `swiftsail local`. Fails if it does not respond or rejects the fault.
pub fn inject_fault(at: SocketAddr, fault: &Fault) -> Result<(), Box<dyn Error>> {
    let body = serde_json::to_vec(fault)?;
    let client = || Client::new(vec![at]);
    let response = block_on(async { client().admin_request("POST", path::FAULT, body).await })?;
    output::print_line(response["done"].as_str().unwrap_or("done"));
    Ok(())
}
