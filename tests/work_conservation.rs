//! Work conservation: once faults are over, no job waits beside free capacity that it could use. Covers jobs constrained to
//! a zone, a machine type or a spread of their tasks that lose machines, and more work than capacity over slow links.

mod common;

use common::cluster::leader_index;
use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use swiftsail_simulation::simulation::{Fault, FaultRates, Simulation, job_body};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn random_constrained_job(rng: &mut StdRng, n: u64) -> Value {
    let shape = ["array", "gang", "array", "array", "service"][n as usize % 5];
    let (team, max_tasks) = [("red", 8), ("blue", 5)][rng.random_range(0..2)];
    let tasks = if shape == "service" { 4 } else { rng.random_range(1..=max_tasks) };
    let estimate_s = [6.0, 25.0, 70.0][rng.random_range(0..3)];
    let mut body = job_body(&format!("wk-{n}"), shape, team, tasks, 2.0, estimate_s);
    if rng.random_bool(0.35) {
        body["dock"] = json!(ZONES[rng.random_range(0..3)]);
        body["scatter"] = json!(false);
    }
    if shape == "array" && rng.random_bool(0.3) {
        body["one_zone"] = json!(true);
    } else if shape == "array" && body["dock"].is_null() && rng.random_bool(0.3) {
        body["scatter"] = json!(true);
    }
    if rng.random_bool(0.2) {
        body["hulls"] = json!(["m8"]);
    }
    if shape != "service" {
        body["rank"] = json!(["low", "standard", "high"][rng.random_range(0..3)]);
    }
    body
}

/// The running machines of a zone, each with probability `share`.
fn machines_of_zone(world: &Simulation, zone: &str, share: f64, rng: &mut StdRng) -> Vec<String> {
    let running = world.running_machines();
    let in_zone = running.into_iter().filter(|n| world.cluster.workers[n].hardware.zone == zone);
    in_zone.filter(|_| rng.random_bool(share)).collect()
}

/// Runs a scenario in which machines of a zone fail in one of several ways, three times, each with another fault beside it.
/// Returns the simulation and the number of machines that failed.
fn run_scenario(seed: u64) -> (Simulation, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = [2, 3, 6][seed as usize % 3];
    let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, capacity);
    world.restart_delay_ms = [None, Some(200), Some(1_000)][rng.random_range(0..3)];
    for n in 0..24 {
        let cancel = rng.random_bool(0.2).then(|| rng.random_range(40_000..130_000));
        let body = random_constrained_job(&mut rng, n);
        let is_service = body["shape"] == "service";
        let cancel = cancel.or(is_service.then_some(400_000));
        world.submit(500 + n * 4_500, cancel, body);
    }
    if rng.random_bool(0.4) {
        world.add_fault_window(20_000, 100_000, Fault::SlowLinks(rng.random_range(100..400)));
    }
    if rng.random_bool(0.3) {
        world.cluster.cloud.fixed_boot_ms = Some(1_500);
    }
    let mut failed_machines = 0;
    for at in [35_000, 80_000, 110_000] {
        world.run_until(at);
        let zone = ZONES[rng.random_range(0..3)];
        let names = machines_of_zone(&world, zone, [0.4, 1.0][rng.random_range(0..2)], &mut rng);
        failed_machines += names.len();
        match rng.random_range(0..5) {
            0 => world.cluster.terminate(&names, true, world.now),
            1 => world.cluster.terminate(&names, false, world.now),
            2 => {
                for name in &names {
                    if let Some(w) = world.cluster.workers.get_mut(name) {
                        w.hang_until = world.now + rng.random_range(3_000..40_000);
                    }
                }
            }
            3 => world.add_fault_window(
                at,
                rng.random_range(5_000..25_000),
                Fault::OutboundUnreachable(names),
            ),
            _ => {
                let controller = rng.random_range(0..3);
                let fault = Fault::ZonePartition { zone: zone.into(), controller };
                world.add_fault_window(at, rng.random_range(5_000..25_000), fault);
            }
        }
        match rng.random_range(0..5) {
            0 => world
                .schedule_crash(at + rng.random_range(0..2_000), leader_index(&world).unwrap_or(0)),
            1 => world.schedule_store_outage(
                at + rng.random_range(0..2_000),
                rng.random_range(2_000..20_000),
            ),
            2 => world.add_fault_window(at, 15_000, Fault::TransactionsLate(0.15)),
            3 => (0..3).for_each(|n| world.schedule_crash(at + rng.random_range(0..1_500), n)),
            _ => {}
        }
    }
    world.faults_end_ms = Some(140_000);
    world.checks_work_conservation = true;
    world.run_until(560_000);
    (world, failed_machines)
}

/// Whichever machines constrained jobs lose: no invariant is violated, no job is left waiting beside free capacity, and all
/// jobs end.
#[test]
fn constrained_jobs_survive_machine_failures() {
    let mut failed_machines = 0;
    for seed in seeds_from_environment("DAYS").unwrap_or(0..30) {
        let (world, failed) = run_scenario(seed);
        failed_machines += failed;
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in &world.jobs {
            let description = world.describe_job(&job.id);
            assert!(
                job.is_over(),
                "seed {seed}: {} is {:?}: {description}",
                job.id,
                job.last_status
            );
        }
    }
    assert!(failed_machines > 60, "only {failed_machines} machines failed");
}

/// More work than capacity, of all priorities, over slow links: high-priority work starts first on average, and no job is
/// starved. A link delay of 400 ms leaves time for three trips within the time that a user waits.
#[test]
fn high_priority_starts_first_over_slow_links() {
    for seed in seeds_from_environment("DAYS").unwrap_or(0..8) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 1);
        world.add_fault_window(0, 300_000, Fault::SlowLinks([100, 250, 400][seed as usize % 3]));
        let mut high_priority = Vec::new();
        for n in 0..40u64 {
            let rank = ["low", "standard", "high"][n as usize % 3];
            let mut body = job_body(&format!("wk-{n}"), "array", "blue", 6, 2.0, 12.0);
            body["rank"] = json!(rank);
            body["jobclass"] = json!(rank);
            if rank == "high" {
                high_priority.push(n as usize);
            }
            world.submit(500 + n * 1_500, None, body);
        }
        if rng.random_bool(0.5) {
            world.run_until(40_000);
            let leader = leader_index(&world).expect("there is a leader");
            world.schedule_crash(40_000, leader);
        }
        world.faults_end_ms = Some(80_000);
        world.checks_work_conservation = true;
        world.run_until(900_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.jobs.iter().all(|j| j.is_over()), "seed {seed}");
        let wait_ms = |n: usize| {
            let id = &world.jobs[n].id;
            let starts =
                (0..6).filter_map(|t| world.cluster.first_started_at.get(&format!("{id}/{t}")));
            starts.min().copied().unwrap_or(u64::MAX) - world.jobs[n].submit_at
        };
        let mean =
            |jobs: &[usize]| jobs.iter().map(|n| wait_ms(*n)).sum::<u64>() / jobs.len() as u64;
        let others: Vec<usize> = (0..40).filter(|n| !high_priority.contains(n)).collect();
        assert!(
            mean(&high_priority) < mean(&others),
            "seed {seed}: high-priority work waited longer"
        );
        assert_eq!(world.unmet_service_levels(), Vec::<String>::new(), "seed {seed}");
    }
}

/// A job of a team at its limit is constrained to a zone without capacity. It must not hold the team's quota for ever: the
/// team's other jobs get what it cannot use.
#[test]
fn job_bound_to_full_zone_does_not_block_its_team() {
    for seed in seeds_from_environment("DAYS").unwrap_or(0..6) {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 1);
        // Zone a has 24 CPUs, of which another team uses most.
        let mut other = job_body("wk-1", "array", "blue", 10, 2.0, 900.0);
        other["dock"] = json!("a");
        world.submit(500, None, other);
        let mut bound = job_body("wk-2", "array", "red", 40, 2.0, 60.0);
        (bound["dock"], bound["due_s"]) = (json!("a"), Value::Null);
        world.submit(30_000, None, bound);
        for n in 3..9 {
            let mut unbound = job_body(&format!("wk-{n}"), "array", "red", 4, 2.0, 30.0);
            unbound["rank"] = json!(["low", "standard"][n as usize % 2]);
            unbound["due_s"] = json!(60.0);
            world.submit(31_000 + n * 500, None, unbound);
        }
        world.faults_end_ms = Some(32_000);
        world.checks_work_conservation = true;
        world.run_until(400_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in &world.jobs[2..] {
            assert!(
                job.is_over(),
                "seed {seed}: {} is blocked by a job that cannot be placed",
                job.id
            );
        }
    }
}
