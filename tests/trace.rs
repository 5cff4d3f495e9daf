//! Recordings of what controllers send are equal for equal seeds and differ between seeds.

#[path = "../examples/trace/recording.rs"]
mod recording;

use recording::Recording;
use swiftsail_simulation::simulation::{FaultRates, Simulation, submit_mixed_load};

fn record_mixed_load(seed: u64) -> Recording {
    let fault_rates =
        FaultRates { message_loss: 0.02, message_delay: 0.01, crashes: 2, outages_and_hangs: 1 };
    Recording::of(Simulation::new(seed, fault_rates, 40_000), |sim| {
        submit_mixed_load(sim, 3);
        sim.run_until(60_000);
    })
}

#[test]
fn recordings_differ_by_seed_alone() {
    let (one, again, other) = (record_mixed_load(1), record_mixed_load(1), record_mixed_load(2));
    assert!(one.bytes > 10_000, "{one:?}");
    assert_eq!(one, again, "two runs with one seed");
    assert_ne!(one.digest, other.digest, "two seeds");
}
