//! Plays fixed simulated worlds and prints a digest of all bytes that leave the controllers in each: a change that
//! keeps behaviour keeps every digest. `cargo run --profile test --example trace`, before and after; compare.

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

/// Worlds played at the same time.
const THREADS: usize = 4;

/// A world's name, and what was recorded of it.
type Played = (String, Recording);

fn main() {
    let played = play_all(&all());
    for (name, recording) in &played {
        println!("{name:28} {} {:>10} bytes", recording.digest, recording.bytes);
    }
    print_kinds(&played);
    let text: Vec<String> = played.iter().map(|(n, r)| format!("{n} {}\n", r.digest)).collect();
    let bytes: usize = played.iter().map(|(_, r)| r.bytes).sum();
    let digest = hex::encode(&Sha256::digest(text.concat())[..8]);
    println!("all {digest} {} worlds {bytes} bytes", played.len());
}

/// Prints how many messages of each kind were recorded in all.
fn print_kinds(played: &[Played]) {
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (kind, count) in played.iter().flat_map(|(_, r)| &r.kinds) {
        *kinds.entry(kind).or_default() += count;
    }
    let shown: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    println!("messages: {}", shown.join(", "));
}

/// Plays every scenario under every seed, some at the same time. Returns them in a fixed order.
fn play_all(scenarios: &[Scenario]) -> Vec<Played> {
    let worlds: Vec<(&Scenario, u64)> =
        scenarios.iter().flat_map(|s| SEEDS.map(|seed| (s, seed))).collect();
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<(usize, Played)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((n, (scenario, seed))) = take(&worlds, &next) {
                    let name = format!("{}-{seed}", scenario.name);
                    let recording = Recording::of((scenario.build)(seed), scenario.play);
                    played.lock().expect("no thread panicked").push((n, (name, recording)));
                }
            });
        }
    });
    let mut played = played.into_inner().expect("no thread panicked");
    played.sort_by_key(|(n, _)| *n);
    played.into_iter().map(|(_, played)| played).collect()
}

/// The next item, with its number.
fn take<T: Copy>(items: &[T], next: &AtomicUsize) -> Option<(usize, T)> {
    let n = next.fetch_add(1, Ordering::Relaxed);
    items.get(n).map(|item| (n, *item))
}
