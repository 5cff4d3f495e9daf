//! Work and room: jobs bound to a zone, a type or the spread of their tasks lose machines; more work than room,
//! urgent and not, over slow links; and once the troubles are over nobody is left waiting beside room.

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
    let (crew, most) = [("red", 8), ("blue", 5)][rng.random_range(0..2)];
    let tasks = if shape == "service" { 4 } else { rng.random_range(1..=most) };
    let eta = [6.0, 25.0, 70.0][rng.random_range(0..3)];
    let mut body = job_body(&format!("wk-{n}"), shape, crew, tasks, 2.0, eta);
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

/// All machines of a zone that are up, or some of them.
fn machines_of_zone(world: &Simulation, zone: &str, share: f64, rng: &mut StdRng) -> Vec<String> {
    let up = world.running_machines();
    let its = up.into_iter().filter(|n| world.cluster.workers[n].hardware.zone == zone);
    its.filter(|_| rng.random_bool(share)).collect()
}

/// A day on which machines of a zone are lost, twice, in one of several ways, beside another trouble.
fn run_day(seed: u64) -> (Simulation, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = [2, 3, 6][seed as usize % 3];
    let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, capacity);
    world.restart_delay_ms = [None, Some(200), Some(1_000)][rng.random_range(0..3)];
    for n in 0..24 {
        let cancel = rng.random_bool(0.2).then(|| rng.random_range(40_000..130_000));
        let body = random_constrained_job(&mut rng, n);
        let service = body["shape"] == "service";
        let cancel = cancel.or(service.then_some(400_000));
        world.submit(500 + n * 4_500, cancel, body);
    }
    if rng.random_bool(0.4) {
        world.add_fault_window(20_000, 100_000, Fault::SlowLinks(rng.random_range(100..400)));
    }
    if rng.random_bool(0.3) {
        world.cluster.cloud.fixed_boot_ms = Some(1_500);
    }
    let mut lost = 0;
    for at in [35_000, 80_000, 110_000] {
        world.run_until(at);
        let zone = ZONES[rng.random_range(0..3)];
        let names = machines_of_zone(&world, zone, [0.4, 1.0][rng.random_range(0..2)], &mut rng);
        lost += names.len();
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
                let node = rng.random_range(0..3);
                let trouble = Fault::ZonePartition { zone: zone.into(), controller: node };
                world.add_fault_window(at, rng.random_range(5_000..25_000), trouble);
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
    (world, lost)
}

/// Whatever machines a job bound to a zone loses: no rule is broken, nobody is left waiting beside room, all end.
#[test]
fn jobs_bound_to_zones_lose_machines() {
    let mut lost = 0;
    for seed in seeds_from_environment("DAYS").unwrap_or(0..30) {
        let (world, some) = run_day(seed);
        lost += some;
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in &world.jobs {
            let held = world.describe_job(&job.id);
            assert!(job.is_over(), "seed {seed}: {} is {:?}: {held}", job.id, job.last_status);
        }
    }
    assert!(lost > 60, "{lost} machines were lost");
}

/// More work than room, urgent and not, over slow links (three times 400 ms are yet less than a user waits): urgent work first, and whoever waits begins.
#[test]
fn more_work_than_room_over_slow_links() {
    for seed in seeds_from_environment("DAYS").unwrap_or(0..8) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 1);
        world.add_fault_window(0, 300_000, Fault::SlowLinks([100, 250, 400][seed as usize % 3]));
        let mut urgent = Vec::new();
        for n in 0..40u64 {
            let rank = ["low", "standard", "high"][n as usize % 3];
            let mut body = job_body(&format!("wk-{n}"), "array", "blue", 6, 2.0, 12.0);
            body["rank"] = json!(rank);
            body["jobclass"] = json!(rank);
            if rank == "high" {
                urgent.push(n as usize);
            }
            world.submit(500 + n * 1_500, None, body);
        }
        if rng.random_bool(0.5) {
            world.run_until(40_000);
            let leads = leader_index(&world).expect("somebody leads");
            world.schedule_crash(40_000, leads);
        }
        world.faults_end_ms = Some(80_000);
        world.checks_work_conservation = true;
        world.run_until(900_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.jobs.iter().all(|j| j.is_over()), "seed {seed}");
        let waited = |n: usize| {
            let id = &world.jobs[n].id;
            let first =
                (0..6).filter_map(|t| world.cluster.first_started_at.get(&format!("{id}/{t}")));
            first.min().copied().unwrap_or(u64::MAX) - world.jobs[n].submit_at
        };
        let mean = |of: &[usize]| of.iter().map(|n| waited(*n)).sum::<u64>() / of.len() as u64;
        let others: Vec<usize> = (0..40).filter(|n| !urgent.contains(n)).collect();
        assert!(mean(&urgent) < mean(&others), "seed {seed}: urgent work comes first");
        assert_eq!(world.unmet_service_levels(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Of a team at its limit, work that is bound to where nothing more is to be had takes no turn for ever: others of the
/// team have what it cannot use.
#[test]
fn what_is_bound_to_a_full_zone_holds_nobody_up() {
    for seed in seeds_from_environment("DAYS").unwrap_or(0..6) {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 1);
        // Zone a has 24 CPUs in all, of which other teams take most.
        let mut other = job_body("wk-1", "array", "blue", 10, 2.0, 900.0);
        other["dock"] = json!("a");
        world.submit(500, None, other);
        let mut bound = job_body("wk-2", "array", "red", 40, 2.0, 60.0);
        (bound["dock"], bound["due_s"]) = (json!("a"), Value::Null);
        world.submit(30_000, None, bound);
        for n in 3..9 {
            let mut free = job_body(&format!("wk-{n}"), "array", "red", 4, 2.0, 30.0);
            free["rank"] = json!(["low", "standard"][n as usize % 2]);
            free["due_s"] = json!(60.0);
            world.submit(31_000 + n * 500, None, free);
        }
        world.faults_end_ms = Some(32_000);
        world.checks_work_conservation = true;
        world.run_until(400_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in &world.jobs[2..] {
            assert!(job.is_over(), "seed {seed}: {} waits behind what has no room", job.id);
        }
    }
}
