//! Large low-priority workloads in the simulated cluster: one huge array, and hundreds of jobs with a single task, within
//! the limits of the state service.

use swiftsail_controller::constants::MAX_LOGGED_BINDINGS;
use swiftsail_controller::controller::Controller;
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};

fn low_priority_job(id: &str, tasks: u32, eta_s: f64) -> serde_json::Value {
    let mut body = job_body(id, "array", "blue", tasks, 0.25, eta_s);
    body["rank"] = "low".into();
    body["due_s"] = serde_json::Value::Null;
    body
}

/// Bindings of ended tasks leave the binding log at once. They used to stay until their segment was written again; with the
/// log full of them nothing could be bound, so no segment was ever written again.
#[test]
fn ended_tasks_do_not_fill_the_binding_log() {
    let mut world = Simulation::with_capacity(1, FaultRates::NONE, 600_000, 4);
    world.submit(1_000, None, low_priority_job("wk-g", 6_000, 2.0));
    let mut done_before = 0;
    for at in 2..24 {
        world.run_until(at * 10_000);
        let Some(state) = world.controllers.iter().flatten().find_map(Controller::cluster_state)
        else {
            continue;
        };
        let Some(job) = state.jobs.get("wk-g") else { break };
        let open = job.attempts.len();
        assert!(
            state.binding_log.len() <= open,
            "{} bindings in the log, {open} open tasks",
            state.binding_log.len()
        );
        assert!(state.binding_log.len() <= MAX_LOGGED_BINDINGS);
        let has_started = at > 4;
        assert!(
            !has_started || job.done.len() > done_before,
            "{at}: nothing done in 10 s, {done_before} so far"
        );
        done_before = job.done.len();
    }
    let is_over = world.jobs[0].is_over();
    assert!(is_over, "{done_before} of 6,000 tasks done");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.store.largest_value <= 8 * 1024, "value of {}", world.store.largest_value);
    assert!(world.store.largest_transaction <= 64 * 1024 && world.store.most_operations <= 16);
}

/// A job with a single task costs three kinds of writes: its creation, a part of a log segment, and its final record.
/// Archiving and polls only use what the rate limits leave. No job is lost if leaders crash meanwhile.
#[test]
fn single_task_jobs_cost_few_mutations() {
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
    // All records are archived, and no binding is left.
    assert_eq!([world.store.count_keys("job/"), world.store.count_keys("bind/")], [0, 0]);
    assert_eq!(world.store.count_keys("end/"), 300);
    let mutations = world.store.mutation_count;
    assert!(mutations <= 300 * 5 + 400, "{mutations} mutations for 300 jobs");
}

/// Polls of many jobs share reads of the store, so the number of reads is bounded however often users poll.
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
    let (at_low_rate, at_high_rate) = (reads(5_000), reads(250));
    // In 40 s, 60 jobs polled every 5 s make 480 polls; polled every 250 ms, 9,600.
    assert!(
        at_high_rate <= 40 * 3 * 5 + at_low_rate,
        "{at_high_rate} reads with frequent polls, {at_low_rate} with few"
    );
}
