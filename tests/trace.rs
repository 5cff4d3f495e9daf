//! Recordings of what controllers send: the same for the same seed, and another for another.

#[path = "../examples/trace/recording.rs"]
mod recording;

use recording::Recording;
use swiftsail_simulation::simulation::{FaultRates, Simulation, submit_mixed_load};

fn recorded(seed: u64) -> Recording {
    let weather =
        FaultRates { message_loss: 0.02, message_delay: 0.01, crashes: 2, outages_and_hangs: 1 };
    Recording::of(Simulation::new(seed, weather, 40_000), |sim| {
        submit_mixed_load(sim, 3);
        sim.run_until(60_000);
    })
}

#[test]
fn recordings_differ_by_seed_alone() {
    let (one, again, other) = (recorded(1), recorded(1), recorded(2));
    assert!(one.bytes > 10_000, "{one:?}");
    assert_eq!(one, again, "one seed, played twice");
    assert_ne!(one.digest, other.digest, "two seeds");
}
