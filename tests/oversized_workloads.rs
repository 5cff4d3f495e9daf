//! Guests: one huge array, and hundreds of jobs of a single task, with the limits of the state service kept
//! by the stand-in's controllers as they are.

use swiftsail_controller::constants::MAX_LOGGED_BINDINGS;
use swiftsail_controller::controller::Controller;
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};

fn low_priority_job(id: &str, tasks: u32, eta_s: f64) -> serde_json::Value {
    let mut body = job_body(id, "array", "blue", tasks, 0.25, eta_s);
    body["rank"] = "low".into();
    body["due_s"] = serde_json::Value::Null;
    body
}

/// What is over leaves the ledger at once. It stayed until its sheet was written again; with the ledger
/// full of it nothing could be bound, and no sheet was ever written again.
#[test]
fn ledger_is_never_filled_by_what_is_over() {
    let mut world = Simulation::with_capacity(1, FaultRates::NONE, 600_000, 4);
    world.submit(1_000, None, low_priority_job("wk-g", 6_000, 2.0));
    let mut last = 0;
    for at in 2..24 {
        world.run_until(at * 10_000);
        let Some(tables) = world.controllers.iter().flatten().find_map(Controller::cluster_state)
        else {
            continue;
        };
        let Some(job) = tables.jobs.get("wk-g") else { break };
        let open = job.attempts.len();
        assert!(
            tables.binding_log.len() <= open,
            "{} on sheets, {open} open",
            tables.binding_log.len()
        );
        assert!(tables.binding_log.len() <= MAX_LOGGED_BINDINGS);
        let begun = at > 4;
        assert!(!begun || job.done.len() > last, "{at}: nothing done in 10 s, {last} so far");
        last = job.done.len();
    }
    let over = world.jobs[0].is_over();
    assert!(over, "{last} of 6,000 tasks done");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.store.largest_value <= 8 * 1024, "value of {}", world.store.largest_value);
    assert!(world.store.largest_transaction <= 64 * 1024 && world.store.most_operations <= 16);
}

/// A job of one task costs its creation, a part of a sheet, and its end; moving its record and polls cost
/// what is left over. Leaders that crash in the midst of it lose none.
#[test]
fn many_jobs_of_one_task_cost_few_changes() {
    let mut world = Simulation::with_capacity(2, FaultRates::NONE, 600_000, 4);
    for n in 0..300 {
        world.submit(5_000 + n * 150, None, low_priority_job(&format!("wk-t{n}"), 1, 20.0));
    }
    world.schedule_crash(30_000, 0);
    world.schedule_crash(38_000, 1);
    world.run_until(150_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let open: Vec<&str> =
        world.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str()).collect();
    assert!(open.is_empty(), "{open:?}");
    world.run_until(400_000);
    // All records have moved to their last place, and no binding is left.
    assert_eq!([world.store.count_keys("job/"), world.store.count_keys("bind/")], [0, 0]);
    assert_eq!(world.store.count_keys("end/"), 300);
    let changes = world.store.mutation_count;
    assert!(changes <= 300 * 5 + 400, "{changes} changes for 300 jobs");
}

/// Polls of very many jobs share few reads: asking more often does not cost more of them.
#[test]
fn polls_share_reads() {
    let reads = |every_ms: u64| {
        let mut world = Simulation::with_capacity(3, FaultRates::NONE, 600_000, 4);
        world.poll_interval_ms = every_ms;
        for n in 0..60 {
            world.submit(
                1_000 + n * 50,
                None,
                job_body(&format!("wk-s{n}"), "service", "blue", 1, 0.5, 0.0),
            );
        }
        world.run_until(20_000);
        let before = world.store.read_count;
        world.run_until(60_000);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        world.store.read_count - before
    };
    let (calm, storm) = (reads(5_000), reads(250));
    // 60 jobs polled every 5 s are 480 polls in 40 s; every quarter second 9,600.
    assert!(storm <= 40 * 3 * 5 + calm, "{storm} reads in a storm, {calm} without");
}
