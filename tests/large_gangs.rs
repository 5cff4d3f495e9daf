//! Gangs of more tasks than a binding chunk covers, with real controllers in the simulated cluster.

mod common;

use common::cluster::{assert_completed_without_violations, leader_index};
use serde_json::Value;
use swiftsail_controller::constants::{MAX_CHUNK_TASKS, MAX_LOGGED_BINDINGS};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};

/// Tasks of a gang that the binding log cannot hold.
const OVER_LOG_TASKS: u32 = MAX_LOGGED_BINDINGS as u32 + 100;
/// Tasks of a gang of several chunks, on two machines.
const TASKS: u32 = 3 * MAX_CHUNK_TASKS;
/// Within this time of its submission a gang must run, ms: "the largest ones too have to begin within four minutes".
const MAX_GANG_WAIT_MS: u64 = 240_000;
/// Within this time of its submission a job must run that finds a free machine, ms.
const MAX_SMALL_JOB_WAIT_MS: u64 = 20_000;
/// When the gang is submitted, ms from the start of the simulation.
const SUBMITTED_AT_MS: u64 = 10_000;

/// A gang that takes 6 CPUs in all, whatever the number of its tasks.
fn gang_body(id: &str, tasks: u32, eta_s: f64) -> Value {
    let per_task = 6.0 / f64::from(tasks);
    let mut gang = job_body(id, "gang", "blue", tasks, per_task, eta_s);
    gang["memory_gb"] = per_task.into();
    gang["one_zone"] = false.into();
    gang
}

/// A simulation without faults in which a job of two tasks of another team is submitted every two seconds.
fn simulate_small_jobs(seed: u64, until_ms: u64) -> Simulation {
    let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 6);
    for at in (1_000..until_ms).step_by(2_000) {
        let body = job_body(&format!("wk-r{at}"), "array", "red", 2, 0.5, 5.0);
        sim.submit(at, None, body);
    }
    sim
}

/// When the last task of a job started first, ms from the start of the simulation. `None`: one of them has not started.
fn all_started_ms(sim: &Simulation, id: &str, tasks: u32) -> Option<u64> {
    let started = (0..tasks).map(|task| sim.cluster.first_started_at.get(&format!("{id}/{task}")));
    let last = started.collect::<Option<Vec<&u64>>>()?.into_iter().max().copied()?;
    Some(last - swiftsail_simulation::simulation::START_MS)
}

/// A gang that the binding log cannot hold waited until the log was empty, which in a busy cluster it never is. Once it
/// was bound, the log was full, and nobody else's tasks were bound until chunks had taken it over.
#[test]
fn large_gang_starts_beside_work_of_other_teams() {
    const SMALL_JOBS_UNTIL_MS: u64 = 60_000;
    let mut sim = simulate_small_jobs(1, SMALL_JOBS_UNTIL_MS);
    sim.submit(SUBMITTED_AT_MS, None, gang_body("wk-g", OVER_LOG_TASKS, 1.0));
    let is_over = |sim: &Simulation| sim.jobs.iter().all(|job| job.is_over());
    let mut now_ms = SMALL_JOBS_UNTIL_MS;
    while now_ms < SUBMITTED_AT_MS + MAX_GANG_WAIT_MS && !is_over(&sim) {
        now_ms += 2_000;
        sim.run_until(now_ms);
    }
    let started = all_started_ms(&sim, "wk-g", OVER_LOG_TASKS);
    let started = started.expect("every task of the gang has started");
    assert!(started <= SUBMITTED_AT_MS + MAX_GANG_WAIT_MS, "started after {started} ms");
    for at in (1_000..SMALL_JOBS_UNTIL_MS).step_by(2_000) {
        let id = format!("wk-r{at}");
        let started = all_started_ms(&sim, &id, 2).expect("every small job has started");
        assert!(started <= at + MAX_SMALL_JOB_WAIT_MS, "{id} started at {started} ms");
    }
    assert_completed_without_violations(&sim, "with a large gang");
}

/// Sizes around those at which something changes: a chunk, and a machine's report.
#[test]
fn gangs_of_every_size_start_as_a_whole() {
    let mut sim = Simulation::with_capacity(2, FaultRates::NONE, 1_000, 6);
    for tasks in [MAX_CHUNK_TASKS, MAX_CHUNK_TASKS + 1, 570, 600] {
        sim.submit(SUBMITTED_AT_MS, None, gang_body(&format!("wk-g{tasks}"), tasks, 5.0));
    }
    sim.run_until(100_000);
    assert_completed_without_violations(&sim, "gangs of several sizes");
    assert_eq!(common::cluster::tasks_killed(&sim), 0, "no lease may end");
}

/// The leader ends while the bindings of a large gang are being committed, and again while it runs. The next leader
/// knows every binding and starts no task twice.
#[test]
fn large_gang_survives_the_end_of_its_leader() {
    for (seed, crash_at_ms) in [(3, 40_500), (4, 41_500), (5, 52_000)] {
        let mut sim = simulate_small_jobs(seed, 45_000);
        sim.submit(40_000, None, gang_body("wk-g", TASKS, 10.0));
        sim.run_until(crash_at_ms);
        let leader = leader_index(&sim).expect("there is a leader");
        sim.schedule_crash(crash_at_ms + 1, leader);
        sim.run_until(140_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
    }
}

/// A large gang is cancelled while its bindings are being committed, or while it runs: its tasks are gone in time, and
/// no binding stays in the store.
#[test]
fn cancelled_large_gang_leaves_nothing_behind() {
    for (seed, cancel_at) in [(7, 41_000), (8, 42_000), (9, 60_000)] {
        let mut sim = simulate_small_jobs(seed, 45_000);
        sim.submit(40_000, Some(cancel_at), gang_body("wk-g", TASKS, 300.0));
        sim.run_until(cancel_at + 35_000);
        let is_left = |name: &String| name.starts_with("wk-g/");
        let workers = sim.cluster.workers.values().filter(|worker| !worker.is_terminated);
        let on_machines = workers.flat_map(|worker| &worker.tasks);
        let left = on_machines.filter(|t| t.is_on_machine() && is_left(&t.name)).count();
        assert_eq!(left, 0, "seed {seed}: tasks after `cancel_s`");
        sim.run_until(160_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
        assert_eq!(sim.store.count_keys("bind/"), 0, "seed {seed}: chunks in the store");
    }
}

/// While a controller of an earlier version serves, which cannot read binding runs, gangs that the binding log can hold
/// are bound through it, and larger ones wait for the upgrade.
#[test]
fn large_gang_waits_for_a_rolling_upgrade() {
    const UPGRADED_AT_MS: u64 = 60_000;
    let mut sim = Simulation::with_capacity(11, FaultRates::NONE, 1_000, 6);
    sim.old_version_until_ms[2] = UPGRADED_AT_MS;
    sim.submit(SUBMITTED_AT_MS, None, gang_body("wk-a", TASKS, 5.0));
    sim.submit(SUBMITTED_AT_MS, None, gang_body("wk-g", OVER_LOG_TASKS, 1.0));
    sim.run_until(100_000);
    let started = |id, tasks| all_started_ms(&sim, id, tasks).expect("all tasks have started");
    assert!(started("wk-a", TASKS) < UPGRADED_AT_MS);
    assert!(started("wk-g", OVER_LOG_TASKS) >= UPGRADED_AT_MS);
    assert_completed_without_violations(&sim, "rolling upgrade");
}
