//! The world's own checks: each can fail, and each trouble really comes about.

use serde_json::json;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, START_MS, Simulation, TransactionFate, assert_all_jobs_over, job_body,
    machine_offers, submit_mixed_load,
};

fn has_violation(world: &Simulation, what: &str) -> bool {
    world.violations.iter().any(|b| b.starts_with(what))
}

/// One array of two tasks, accepted and running at 30 s.
fn run_one_job(seed: u64, eta_s: f64, cancel_ms: Option<u64>) -> Simulation {
    let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
    world.submit(500, cancel_ms, job_body("wk-1", "array", "blue", 2, 1.0, eta_s));
    world
}

#[test]
fn an_answer_older_than_one_given_is_seen() {
    let mut world = run_one_job(1, 5.0, None);
    world.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
    world.run_until(120_000);
    assert_all_jobs_over(&world, "as it is");
    assert!(world.fault_counts["look answered"] >= 9, "{:?}", world.fault_counts);
    // As if some node had called it cancelled before: what is answered from then on is another thing.
    let mut world = run_one_job(1, 5.0, Some(200_000));
    world.run_until(60_000);
    assert_eq!(world.jobs[0].last_status.as_deref(), Some("done"));
    world.jobs[0].last_status = Some("withdrawn".into());
    world.run_until(200_500);
    assert!(
        has_violation(&world, "went_back: wk-1 from withdrawn to done"),
        "{:?}",
        world.violations
    );
    // The same for the question of somebody who looks beside.
    let mut world = run_one_job(1, 5.0, None);
    world.run_until(60_000);
    world.add_fault_window(60_000, 100_000, Fault::UnusualRequests);
    world.run_until(90_000);
    assert!(
        world.fault_counts["cancelled when done"] > 0 && world.violations.is_empty(),
        "{:?}",
        world.violations
    );
    world.jobs[0].body["shards"] = json!(3);
    world.run_until(160_000);
    assert!(has_violation(&world, "not_done: wk-1"), "{:?}", world.violations);
}

#[test]
fn a_start_after_a_confirmed_cancellation_is_counted() {
    let mut world = run_one_job(2, 60.0, Some(25_000));
    world.run_until(90_000);
    assert!(world.starts_after_cancellation.is_empty(), "{:?}", world.starts_after_cancellation);
    let mut world = run_one_job(2, 60.0, None);
    world.run_until(900);
    world.jobs[0].cancellation_told_at = Some(START_MS + 900);
    world.run_until(40_000);
    assert_eq!(world.starts_after_cancellation.len(), 2);
    assert!(has_violation(&world, "ran_cancelled"), "{:?}", world.violations);
}

#[test]
fn a_cancelled_task_that_goes_on_after_a_hang_is_seen() {
    let mut world = run_one_job(3, 300.0, None);
    world.run_until(30_000);
    world.schedule_running_cancellations(30_000, 5, Some(60_000));
    world.run_until(32_000);
    assert!(world.jobs[0].cancellation_told_at.is_some());
    assert!((1..=2).contains(&world.fault_counts["hung"]), "{:?}", world.fault_counts);
    let mut other = run_one_job(3, 300.0, None);
    other.run_until(30_000);
    other.schedule_running_cancellations(30_000, 5, Some(60_000));
    other.run_until(32_000);
    (0..3).for_each(|n| other.schedule_pause(32_000, n, 80_000));
    other.run_until(80_000);
    assert!(has_violation(&other, "ran_cancelled"), "nobody could end it");
    world.run_until(120_000);
    assert!(world.violations.is_empty(), "its machine is returned: {:?}", world.violations);
}

#[test]
fn what_cannot_run_or_lacks_a_field_is_told_from_what_can() {
    let mut world = Simulation::new(4, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut world, 3);
    world.add_fault_window(500, 120_000, Fault::UnusualRequests);
    world.run_until(250_000);
    assert_all_jobs_over(&world, "odd requests");
    assert!(
        world.fault_counts["refused for good"] > 40 && world.fault_counts["repeated"] > 10,
        "{:?}",
        world.fault_counts
    );
    // Where there is a machine for it, one of them can run after all.
    let mut large = machine_offers(6);
    (large[0].machine_type.cpus, large[0].machine_type.name) = (20_000.0, "l".into());
    let mut world = Simulation::with_offers(4, FaultRates::NONE, 1_000, large);
    world.add_fault_window(500, 60_000, Fault::UnusualRequests);
    world.run_until(70_000);
    assert!(has_violation(&world, "accepted: "), "{:?}", world.fault_counts);
}

#[test]
fn a_job_left_waiting_beside_room_is_seen() {
    for (frozen_ms, seen) in [(0, false), (170_000, true)] {
        let mut world = run_one_job(5, 100_000.0, None);
        world.run_until(30_000);
        // Room for two more tasks at least on what holds two of one CPU each.
        world.submit(30_500, None, job_body("wk-2", "array", "blue", 1, 1.0, 20.0));
        world.checks_work_conservation = true;
        world.faults_end_ms = Some(31_000);
        let held: Vec<f64> = world
            .cluster
            .workers
            .values()
            .filter(|w| !w.is_terminated)
            .map(|w| w.hardware.resources[0] - w.tasks.len() as f64)
            .collect();
        assert!(held.iter().any(|left| *left >= 1.0), "{held:?}");
        world.run_until(30_600);
        assert!(world.jobs[1].accepted);
        (0..3).for_each(|n| world.schedule_pause(30_600, n, frozen_ms));
        world.run_until(200_000);
        assert_eq!(has_violation(&world, "left waiting: wk-2"), seen, "{:?}", world.violations);
    }
}

#[test]
fn classes_teams_and_the_largest_that_are_not_served_are_told() {
    let mut world = Simulation::new(6, FaultRates::NONE, 1_000);
    for n in 0..12 {
        let tasks = [20, 10, 1][n.min(2)];
        world.submit(
            500 + n as u64 * 100,
            None,
            job_body(&format!("wk-{n}"), "array", "blue", tasks, 1.0, 5.0),
        );
    }
    // The two largest fail on every machine.
    world.cluster.faulty_jobs.extend(["wk-0".to_string(), "wk-1".into()]);
    world.run_until(400_000);
    let late = ["wk-0", "wk-1"].map(|id| format!("{id}, one of the largest, begins after 399 s"));
    let told = [late[0].as_str(), &late[1], "the largest of class array: 0 of 2 served"];
    assert_eq!(world.unmet_service_levels(), told);
    world.cluster.first_started_at.insert("wk-0/0".into(), START_MS + 300_000);
    world.cluster.first_started_at.retain(|task, _| !task.starts_with("wk-0/") || task == "wk-0/0");
    assert!(
        world.unmet_service_levels().iter().any(|t| t.contains("begins after 299 s")),
        "{:?}",
        world.unmet_service_levels()
    );
    for job in &mut world.jobs {
        job.last_status = Some("pending".into());
    }
    assert!(world.unmet_service_levels().contains(&"class array: 0 of 12 served".into()));
    assert!(world.unmet_service_levels().contains(&"team blue: 0 of 12 served".into()));
}

#[test]
fn a_task_on_a_type_that_its_job_does_not_allow_is_seen() {
    let mut world = run_one_job(7, 100.0, None);
    world.run_until(30_000);
    assert!(world.violations.is_empty());
    world.jobs[0].body["hulls"] = json!(["none"]);
    world.run_until(35_000);
    assert!(has_violation(&world, "wrong_place"), "{:?}", world.violations);
}

/// Every trouble that lasts for a time comes about, and the day ends well.
#[test]
fn each_trouble_comes_about() {
    for seed in 0..3 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        world.cluster.cloud.fixed_boot_ms = Some(1_500);
        submit_mixed_load(&mut world, 4);
        let zone_away = Fault::ZonePartition { zone: "b".into(), controller: 1 };
        for trouble in [
            Fault::AnswersLost(0.2),
            Fault::TransactionsLate(0.1),
            Fault::DuplicatesForNextLeader(0.3),
            Fault::ConsistencyProbes,
            Fault::UnusualRequests,
            Fault::CancelAtCompletion(0.5),
        ] {
            world.add_fault_window(5_000, 70_000, trouble);
        }
        world.run_until(20_000);
        let mute = world.running_machines().into_iter().take(2).collect();
        world.add_fault_window(20_000, 8_000, Fault::OutboundUnreachable(mute));
        world.add_fault_window(30_000, 25_000, zone_away);
        world.schedule_running_cancellations(60_000, 2, Some(5_000));
        (0..3).for_each(|n| world.schedule_crash(40_000 + 10_000 * n as u64, n));
        let mut refused = 0;
        world.transaction_interceptor = Some(Box::new(move |ms, _, _| {
            refused += u32::from(ms > 50_000);
            if ms > 50_000 && refused < 3 {
                TransactionFate::Refused
            } else {
                TransactionFate::AsConfigured
            }
        }));
        world.run_until(300_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        for what in [
            "answer lost",
            "write late",
            "leader",
            "copy for next",
            "mute",
            "zone cut",
            "cancelled at end",
            "cancelled now",
            "hung",
            "look answered",
        ] {
            assert!(
                world.fault_counts.contains_key(what),
                "seed {seed}: no {what}: {:?}",
                world.fault_counts
            );
        }
    }
}

#[test]
fn a_stage_that_begins_too_early_or_is_orphaned_is_seen() {
    let awaiting = |id: &str, awaits: &str| {
        let mut body = job_body(id, "array", "blue", 1, 1.0, 100.0);
        body["awaits"] = json!([awaits]);
        body
    };
    let two = |cancel_ms| {
        let mut world = run_one_job(3, 400.0, cancel_ms);
        world.submit(3_000, None, awaiting("wk-2", "wk-1"));
        world
    };
    let mut world = two(None);
    world.run_until(80_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.jobs[1].last_status.as_deref(), Some("pending"));
    // As if its user had been told 40 s ago that the first is cancelled.
    world.jobs[0].cancellation_told_at = Some(START_MS + 40_000);
    world.run_until(90_000);
    assert!(has_violation(&world, "orphaned: wk-2"), "{:?}", world.violations);
    // As if it had named the first, though it runs.
    let mut world = run_one_job(3, 400.0, None);
    world.submit(500, None, job_body("wk-2", "array", "blue", 1, 1.0, 100.0));
    world.run_until(1_200);
    world.jobs[1].body["awaits"] = json!(["wk-1"]);
    world.run_until(60_000);
    assert!(has_violation(&world, "too_early: wk-2"), "{:?}", world.violations);
    // As if nobody had ever asked to cancel the first.
    let mut world = two(Some(30_000));
    world.run_until(30_500);
    world.jobs[0].cancel_at = None;
    world.run_until(60_000);
    assert!(
        has_violation(&world, "went_back: wk-2 was not cancelled, nor anything"),
        "{:?}",
        world.violations
    );
}
