//! Explores small worlds in which deciders move amounts, deeper than the tests do:
//! `cargo run --release --example explore -- --worlds 4000000`. Figures go into docs/amounts.md.

use clap::Parser;
use std::time::Instant;
use swiftsail_simulation::model_checker::check_model;
use swiftsail_simulation::quota_model::{FaultBudget, QuotaModel, RemovedGuard};

#[derive(Parser)]
struct Args {
    /// Worlds entered at most; each takes some 2 KB while it waits for its turn.
    #[arg(long, default_value_t = 1_000_000)]
    worlds: usize,
    /// Steps of a history at most.
    #[arg(long, default_value_t = 60)]
    depth: usize,
    /// Deciders.
    #[arg(long, default_value_t = 2)]
    deciders: usize,
    /// The team's limit, in tasks.
    #[arg(long, default_value_t = 2)]
    limit: i64,
    /// Crashes, lost answers and changes of settings.
    #[arg(long, num_args = 3, default_values_t = [1, 1, 1])]
    chances: Vec<u8>,
}

fn main() {
    let args = Args::parse();
    let [crashes, losses, changes] = args.chances[..] else { return };
    let chances = FaultBudget { crashes, lost_answers: losses, limit_changes: changes };
    let first = QuotaModel::new(args.deciders, args.limit, RemovedGuard::None, chances);
    let begin = Instant::now();
    let found = check_model(first.with_initial_records(args.limit), args.depth, args.worlds);
    println!(
        "{} worlds, histories of up to {} steps{}, {:.1} s",
        found.states,
        found.depth,
        if found.is_exhaustive { ", all there are" } else { "" },
        begin.elapsed().as_secs_f64()
    );
    match found.violation {
        Some((what, history)) => println!("broken: {what}\n{history:#?}"),
        None => println!("nothing is broken"),
    }
}
