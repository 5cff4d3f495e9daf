//! Runs fixed simulated scenarios and prints for each a digest of all bytes that the controllers send: a change that
//! preserves behaviour preserves every digest. Run `cargo run --profile test --example trace` before and after a change
//! and compare the output.

mod trace {
    pub mod recording;
    pub mod scenarios;
}

use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use trace::recording::Recording;
use trace::scenarios::{SEEDS, Scenario, all};

/// Number of simulations that run at the same time.
const THREADS: usize = 4;

/// The name of a run and its recording.
type Run = (String, Recording);

fn main() {
    let runs = run_all(&all());
    for (name, recording) in &runs {
        println!("{name:28} {} {:>10} bytes", recording.digest, recording.bytes);
    }
    print_kinds(&runs);
    let text: Vec<String> = runs.iter().map(|(n, r)| format!("{n} {}\n", r.digest)).collect();
    let bytes: usize = runs.iter().map(|(_, r)| r.bytes).sum();
    let digest = hex::encode(&Sha256::digest(text.concat())[..8]);
    println!("all {digest} {} worlds {bytes} bytes", runs.len());
}

/// Prints the total number of messages of each kind.
fn print_kinds(runs: &[Run]) {
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (kind, count) in runs.iter().flat_map(|(_, r)| &r.kinds) {
        *kinds.entry(kind).or_default() += count;
    }
    let counts: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    println!("messages: {}", counts.join(", "));
}

/// Runs every scenario with every seed on several threads. Returns the runs in a fixed order.
fn run_all(scenarios: &[Scenario]) -> Vec<Run> {
    let tasks: Vec<(&Scenario, u64)> =
        scenarios.iter().flat_map(|s| SEEDS.map(|seed| (s, seed))).collect();
    let next = AtomicUsize::new(0);
    let runs: Mutex<Vec<(usize, Run)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((n, (scenario, seed))) = next_item(&tasks, &next) {
                    let name = format!("{}-{seed}", scenario.name);
                    let recording = Recording::of((scenario.build)(seed), scenario.play);
                    runs.lock().expect("no thread panicked").push((n, (name, recording)));
                }
            });
        }
    });
    let mut runs = runs.into_inner().expect("no thread panicked");
    runs.sort_by_key(|(n, _)| *n);
    runs.into_iter().map(|(_, run)| run).collect()
}

/// The next item with its index; increments `next`.
fn next_item<T: Copy>(items: &[T], next: &AtomicUsize) -> Option<(usize, T)> {
    let n = next.fetch_add(1, Ordering::Relaxed);
    items.get(n).map(|item| (n, *item))
}
