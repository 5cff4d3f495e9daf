//! Failovers under random combinations of faults, two or three at a time. `TAKEOVERS=0..1000 cargo test --test
//! random_failovers` runs other seeds.

mod common;

use common::cluster::leader_index;
use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_controller::controller::Controller;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, InboundFailure, NetworkPartition, Simulation, gpu_job_body,
    gpu_machine_offers, job_body,
};

const FAULT_KIND_COUNT: usize = 20;

/// Injects a fault of this kind that begins at time `at`, ms.
fn inject_fault(sim: &mut Simulation, kind: usize, at: u64, rng: &mut StdRng) {
    let leader = leader_index(sim);
    let node = leader.filter(|_| rng.random_bool(0.7)).unwrap_or(rng.random_range(0..3));
    let for_ms = rng.random_range(3_000..40_000);
    let share = rng.random_range(0.1..0.6);
    let zone = ["a", "b", "c"][rng.random_range(0..3)].to_string();
    let partition = NetworkPartition {
        holds_messages: rng.random_bool(0.4),
        ..NetworkPartition::of(node, at, for_ms)
    };
    let third_of_machines: Vec<String> =
        sim.running_machines().into_iter().skip(kind % 2).step_by(3).collect();
    match kind {
        0 => {
            // Duplicates are collected before the crash, so that some are delivered to the next leader.
            sim.add_fault_window(at, 60_000, Fault::DuplicatesForNextLeader(share));
            sim.schedule_crash(at + rng.random_range(2_000..20_000), node);
        }
        1 => sim.add_fault_window(at, for_ms, Fault::TransactionsLate(share)),
        2 => sim.add_fault_window(at, for_ms, Fault::AnswersLost(share)),
        3 => sim.add_fault_window(at, for_ms, Fault::ZonePartition { zone, controller: node }),
        4 => (0..4).for_each(|n| sim.schedule_crash(at + n * rng.random_range(300..2_500), node)),
        5 => (0..3).for_each(|n| sim.schedule_crash(at + rng.random_range(0..1_500), n)),
        6 => {
            sim.schedule_store_outage(at, for_ms + 10_000);
            sim.schedule_crash(at + rng.random_range(500..for_ms), node);
        }
        7 => sim.add_fault_window(at, for_ms, Fault::OutboundUnreachable(third_of_machines)),
        8 => sim.schedule_pause(at, node, for_ms.min(25_000)),
        9 => sim.schedule_store_slowdown(at, for_ms),
        10 => {
            sim.cluster.cloud.fixed_boot_ms = Some(2_000);
            for n in 0..3 {
                let id = format!("wk-burst{at}x{n}");
                let shape = ["array", "gang"][n % 2];
                sim.submit(at + n as u64 * 200, None, job_body(&id, shape, "blue", 4, 4.0, 20.0));
            }
            sim.schedule_crash(at + rng.random_range(1_500..6_000), node);
        }
        11 => sim.schedule_running_cancellations(at, 4, rng.random_bool(0.5).then_some(for_ms)),
        12 => sim.partitions.push(NetworkPartition { store: true, peers: true, ..partition }),
        13 => sim.partitions.push(NetworkPartition { workers: true, ..partition }),
        14 => (0..3).for_each(|n| sim.schedule_pause(at, n, 12_000 + for_ms / 4)),
        15 => {
            let (zone, names) = (Some(zone), Vec::new());
            let hears_each = rng.random_range(0..3);
            sim.inbound_failures.push(InboundFailure {
                from_ms: at,
                for_ms,
                zone,
                machines: names,
                delivers_every: hears_each,
            });
        }
        16 => {
            sim.cluster.hang_machines(rng.random_range(1..8), for_ms.min(25_000), sim.now);
        }
        17 => sim.duplicate_reports = Some((0.2, 40_000)),
        18 => sim.add_fault_window(at, for_ms, Fault::ConsistencyProbes),
        _ => sim.partitions.push(NetworkPartition { store: true, ..partition }),
    }
}

/// Runs a simulation with a random load, into which two or three faults are injected at once, twice.
fn run_scenario(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = [0.0, 0.0, 0.02][seed as usize % 3];
    let fault_rates =
        FaultRates { message_loss: rate, message_delay: rate, crashes: 0, outages_and_hangs: 0 };
    let uses_records = seed.is_multiple_of(4);
    let mut sim = match uses_records {
        true => Simulation::with_offers(seed, fault_rates, 160_000, gpu_machine_offers(1)),
        false => Simulation::with_capacity(seed, fault_rates, 160_000, 4),
    };
    sim.restart_delay_ms = [None, Some(100), Some(200), Some(1_000)][rng.random_range(0..4)];
    if rng.random_bool(0.3) {
        sim.memory_mb = 0.2;
    }
    if uses_records {
        let text = "[loans]\ndurable = true\n[amounts]\ndurable = true\n";
        sim.operator = OperatorSettings::parse("records", text).expect("valid operator settings");
        for n in 0..3 {
            let id = format!("wk-t{n}");
            sim.submit(500 + n * 900, None, gpu_job_body(&id, "gang", "tuning", 2, 1.0, 120.0));
            let mut body = gpu_job_body(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
            body["scatter"] = false.into();
            sim.submit(55_000 + n * 2_000, Some(130_000 + n * 4_000), body);
        }
    }
    for n in 0..14u64 {
        let cancel_at = rng.random_bool(0.4).then(|| rng.random_range(30_000..120_000));
        let estimate_s = [8.0, 40.0, 120.0][rng.random_range(0..3)];
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (team, tasks) = [("red", 6), ("blue", 3), ("blue", 2)][rng.random_range(0..3)];
        let cancel_at = cancel_at.or((shape == "service").then_some(150_000));
        let body = job_body(&format!("wk-{n}"), shape, team, tasks, 2.0, estimate_s);
        sim.submit(500 + n * 5_000, cancel_at, body);
    }
    // The controller and leadership generation that led under each fencing token.
    let mut leaderships: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    for at in (0..200_000).step_by(500) {
        sim.run_until(at);
        if at == 40_000 || at == 95_000 {
            for _ in 0..2 + usize::from(rng.random_bool(0.4)) {
                let (kind, after) =
                    (rng.random_range(0..FAULT_KIND_COUNT), rng.random_range(0..3_000));
                inject_fault(&mut sim, kind, at + after, &mut rng);
            }
        }
        let mut reused_token = None;
        for (n, node) in sim.controllers.iter().enumerate() {
            let Some(state) = node.as_ref().and_then(Controller::cluster_state) else { continue };
            let leadership = (n, state.generation);
            if *leaderships.entry(state.token).or_insert(leadership) != leadership {
                reused_token = Some(state.token);
            }
        }
        let violation = reused_token.map(|token| format!("two leaderships under token {token}"));
        sim.violations.extend(violation);
    }
    sim.faults_end_ms = Some(200_000);
    sim.run_until(520_000);
    sim
}

/// No combination of faults violates an invariant or lets two leaderships share a fencing token, and every job ends.
#[test]
fn failovers_with_random_faults_violate_no_invariant() {
    let mut fault_counts: BTreeMap<&'static str, u64> = BTreeMap::new();
    let mut failures = Vec::new();
    for seed in seeds_from_environment("TAKEOVERS").unwrap_or(0..60) {
        let sim = run_scenario(seed);
        failures.extend(sim.violations.iter().map(|v| format!("seed {seed}: {v}")));
        let open = sim.jobs.iter().filter(|j| !j.is_over());
        failures
            .extend(open.map(|j| format!("seed {seed}: {} ended as {:?}", j.id, j.last_status)));
        for (kind, n) in &sim.fault_counts {
            *fault_counts.entry(kind).or_default() += n;
        }
    }
    println!("{fault_counts:?}");
    assert!(failures.is_empty(), "{failures:#?}");
    for kind in ["leader", "copy for next", "write late", "answer lost", "zone cut", "mute"] {
        assert!(fault_counts.get(kind).is_some_and(|n| *n > 20), "{kind}: {fault_counts:?}");
    }
}
