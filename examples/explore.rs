//! Model-checks quota transfers between controllers, deeper than the tests do:
//! `cargo run --release --example explore -- --worlds 4000000`. The results are recorded in docs/amounts.md.

use clap::Parser;
use std::time::Instant;
use swiftsail_simulation::model_checker::check_model;
use swiftsail_simulation::quota_model::{FaultBudget, QuotaModel, RemovedGuard};

#[derive(Parser)]
struct Args {
    /// Most states to visit. Each takes about 2 KB while it is queued.
    #[arg(long, default_value_t = 1_000_000)]
    worlds: usize,
    /// Most steps from the initial state.
    #[arg(long, default_value_t = 60)]
    depth: usize,
    /// Number of deciders, the owners of holdings.
    #[arg(long, default_value_t = 2)]
    deciders: usize,
    /// The team's limit in tasks of one CPU.
    #[arg(long, default_value_t = 2)]
    limit: i64,
    /// Most crashes, lost responses and changes of the configured limit.
    #[arg(long, num_args = 3, default_values_t = [1, 1, 1])]
    chances: Vec<u8>,
}

fn main() {
    let args = Args::parse();
    let [crashes, lost_answers, limit_changes] = args.chances[..] else { return };
    let fault_budget = FaultBudget { crashes, lost_answers, limit_changes };
    let model = QuotaModel::new(args.deciders, args.limit, RemovedGuard::None, fault_budget);
    let started = Instant::now();
    let result = check_model(model.with_initial_records(args.limit), args.depth, args.worlds);
    println!(
        "{} states, up to {} steps from the initial state{}, {:.1} s",
        result.states,
        result.depth,
        if result.is_exhaustive { ", exhaustive" } else { "" },
        started.elapsed().as_secs_f64()
    );
    match result.violation {
        Some((violation, steps)) => println!("violation: {violation}\n{steps:#?}"),
        None => println!("no violation"),
    }
}
