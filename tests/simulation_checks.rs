//! The world's own checks: each can fail, and each trouble really comes about.

use serde_json::json;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, START_MS, Simulation, TransactionFate, assert_all_jobs_over, job_body,
    machine_offers, submit_mixed_load,
};

fn has_violation(sim: &Simulation, what: &str) -> bool {
    sim.violations.iter().any(|b| b.starts_with(what))
}

/// One array of two tasks, accepted and running at 30 s.
fn run_one_job(seed: u64, eta_s: f64, cancel_ms: Option<u64>) -> Simulation {
    let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
    sim.submit(500, cancel_ms, job_body("wk-1", "array", "blue", 2, 1.0, eta_s));
    sim
}

#[test]
fn an_answer_older_than_one_given_is_seen() {
    let mut sim = run_one_job(1, 5.0, None);
    sim.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
    sim.run_until(120_000);
    assert_all_jobs_over(&sim, "as it is");
    assert!(sim.fault_counts["look answered"] >= 9, "{:?}", sim.fault_counts);
    // As if some node had called it cancelled before: what is answered from then on is another thing.
    let mut sim = run_one_job(1, 5.0, Some(200_000));
    sim.run_until(60_000);
    assert_eq!(sim.jobs[0].last_status.as_deref(), Some("done"));
    sim.jobs[0].last_status = Some("withdrawn".into());
    sim.run_until(200_500);
    assert!(has_violation(&sim, "went_back: wk-1 from withdrawn to done"), "{:?}", sim.violations);
    // The same for the question of somebody who looks beside.
    let mut sim = run_one_job(1, 5.0, None);
    sim.run_until(60_000);
    sim.add_fault_window(60_000, 100_000, Fault::UnusualRequests);
    sim.run_until(90_000);
    assert!(
        sim.fault_counts["cancelled when done"] > 0 && sim.violations.is_empty(),
        "{:?}",
        sim.violations
    );
    sim.jobs[0].body["shards"] = json!(3);
    sim.run_until(160_000);
    assert!(has_violation(&sim, "not_done: wk-1"), "{:?}", sim.violations);
}

#[test]
fn a_start_after_a_confirmed_cancellation_is_counted() {
    let mut sim = run_one_job(2, 60.0, Some(25_000));
    sim.run_until(90_000);
    assert!(sim.starts_after_cancellation.is_empty(), "{:?}", sim.starts_after_cancellation);
    let mut sim = run_one_job(2, 60.0, None);
    sim.run_until(900);
    sim.jobs[0].cancellation_told_at = Some(START_MS + 900);
    sim.run_until(40_000);
    assert_eq!(sim.starts_after_cancellation.len(), 2);
    assert!(has_violation(&sim, "ran_cancelled"), "{:?}", sim.violations);
}

#[test]
fn a_cancelled_task_that_goes_on_after_a_hang_is_seen() {
    let mut sim = run_one_job(3, 300.0, None);
    sim.run_until(30_000);
    sim.schedule_running_cancellations(30_000, 5, Some(60_000));
    sim.run_until(32_000);
    assert!(sim.jobs[0].cancellation_told_at.is_some());
    assert!((1..=2).contains(&sim.fault_counts["hung"]), "{:?}", sim.fault_counts);
    let mut other = run_one_job(3, 300.0, None);
    other.run_until(30_000);
    other.schedule_running_cancellations(30_000, 5, Some(60_000));
    other.run_until(32_000);
    (0..3).for_each(|n| other.schedule_pause(32_000, n, 80_000));
    other.run_until(80_000);
    assert!(has_violation(&other, "ran_cancelled"), "nobody could end it");
    sim.run_until(120_000);
    assert!(sim.violations.is_empty(), "its machine is returned: {:?}", sim.violations);
}

#[test]
fn what_cannot_run_or_lacks_a_field_is_told_from_what_can() {
    let mut sim = Simulation::new(4, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 3);
    sim.add_fault_window(500, 120_000, Fault::UnusualRequests);
    sim.run_until(250_000);
    assert_all_jobs_over(&sim, "odd requests");
    assert!(
        sim.fault_counts["refused for good"] > 40 && sim.fault_counts["repeated"] > 10,
        "{:?}",
        sim.fault_counts
    );
    // Where there is a machine for it, one of them can run after all.
    let mut large = machine_offers(6);
    (large[0].machine_type.cpus, large[0].machine_type.name) = (20_000.0, "l".into());
    let mut sim = Simulation::with_offers(4, FaultRates::NONE, 1_000, large);
    sim.add_fault_window(500, 60_000, Fault::UnusualRequests);
    sim.run_until(70_000);
    assert!(has_violation(&sim, "accepted: "), "{:?}", sim.fault_counts);
}

#[test]
fn a_job_left_waiting_beside_room_is_seen() {
    for (frozen_ms, seen) in [(0, false), (170_000, true)] {
        let mut sim = run_one_job(5, 100_000.0, None);
        sim.run_until(30_000);
        // Room for two more tasks at least on what holds two of one CPU each.
        sim.submit(30_500, None, job_body("wk-2", "array", "blue", 1, 1.0, 20.0));
        sim.checks_work_conservation = true;
        sim.faults_end_ms = Some(31_000);
        let held: Vec<f64> = sim
            .cluster
            .workers
            .values()
            .filter(|w| !w.is_terminated)
            .map(|w| w.hardware.resources[0] - w.tasks.len() as f64)
            .collect();
        assert!(held.iter().any(|left| *left >= 1.0), "{held:?}");
        sim.run_until(30_600);
        assert!(sim.jobs[1].accepted);
        (0..3).for_each(|n| sim.schedule_pause(30_600, n, frozen_ms));
        sim.run_until(200_000);
        assert_eq!(has_violation(&sim, "left waiting: wk-2"), seen, "{:?}", sim.violations);
    }
}

#[test]
fn classes_teams_and_the_largest_that_are_not_served_are_told() {
    let mut sim = Simulation::new(6, FaultRates::NONE, 1_000);
    for n in 0..12 {
        let tasks = [20, 10, 1][n.min(2)];
        sim.submit(
            500 + n as u64 * 100,
            None,
            job_body(&format!("wk-{n}"), "array", "blue", tasks, 1.0, 5.0),
        );
    }
    // The two largest fail on every machine.
    sim.cluster.faulty_jobs.extend(["wk-0".to_string(), "wk-1".into()]);
    sim.run_until(400_000);
    let late = ["wk-0", "wk-1"].map(|id| format!("{id}, one of the largest, begins after 399 s"));
    let told = [late[0].as_str(), &late[1], "the largest of class array: 0 of 2 served"];
    assert_eq!(sim.unmet_service_levels(), told);
    sim.cluster.first_started_at.insert("wk-0/0".into(), START_MS + 300_000);
    sim.cluster.first_started_at.retain(|task, _| !task.starts_with("wk-0/") || task == "wk-0/0");
    assert!(
        sim.unmet_service_levels().iter().any(|t| t.contains("begins after 299 s")),
        "{:?}",
        sim.unmet_service_levels()
    );
    for job in &mut sim.jobs {
        job.last_status = Some("pending".into());
    }
    assert!(sim.unmet_service_levels().contains(&"class array: 0 of 12 served".into()));
    assert!(sim.unmet_service_levels().contains(&"team blue: 0 of 12 served".into()));
}

#[test]
fn a_task_on_a_type_that_its_job_does_not_allow_is_seen() {
    let mut sim = run_one_job(7, 100.0, None);
    sim.run_until(30_000);
    assert!(sim.violations.is_empty());
    sim.jobs[0].body["hulls"] = json!(["none"]);
    sim.run_until(35_000);
    assert!(has_violation(&sim, "wrong_place"), "{:?}", sim.violations);
}

/// Every trouble that lasts for a time comes about, and the day ends well.
#[test]
fn each_trouble_comes_about() {
    for seed in 0..3 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        sim.cluster.cloud.fixed_boot_ms = Some(1_500);
        submit_mixed_load(&mut sim, 4);
        let zone_away = Fault::ZonePartition { zone: "b".into(), controller: 1 };
        for trouble in [
            Fault::AnswersLost(0.2),
            Fault::TransactionsLate(0.1),
            Fault::DuplicatesForNextLeader(0.3),
            Fault::ConsistencyProbes,
            Fault::UnusualRequests,
            Fault::CancelAtCompletion(0.5),
        ] {
            sim.add_fault_window(5_000, 70_000, trouble);
        }
        sim.run_until(20_000);
        let mute = sim.running_machines().into_iter().take(2).collect();
        sim.add_fault_window(20_000, 8_000, Fault::OutboundUnreachable(mute));
        sim.add_fault_window(30_000, 25_000, zone_away);
        sim.schedule_running_cancellations(60_000, 2, Some(5_000));
        (0..3).for_each(|n| sim.schedule_crash(40_000 + 10_000 * n as u64, n));
        let mut refused = 0;
        sim.transaction_interceptor = Some(Box::new(move |ms, _, _| {
            refused += u32::from(ms > 50_000);
            if ms > 50_000 && refused < 3 {
                TransactionFate::Refused
            } else {
                TransactionFate::AsConfigured
            }
        }));
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
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
                sim.fault_counts.contains_key(what),
                "seed {seed}: no {what}: {:?}",
                sim.fault_counts
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
        let mut sim = run_one_job(3, 400.0, cancel_ms);
        sim.submit(3_000, None, awaiting("wk-2", "wk-1"));
        sim
    };
    let mut sim = two(None);
    sim.run_until(80_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(sim.jobs[1].last_status.as_deref(), Some("pending"));
    // As if its user had been told 40 s ago that the first is cancelled.
    sim.jobs[0].cancellation_told_at = Some(START_MS + 40_000);
    sim.run_until(90_000);
    assert!(has_violation(&sim, "orphaned: wk-2"), "{:?}", sim.violations);
    // As if it had named the first, though it runs.
    let mut sim = run_one_job(3, 400.0, None);
    sim.submit(500, None, job_body("wk-2", "array", "blue", 1, 1.0, 100.0));
    sim.run_until(1_200);
    sim.jobs[1].body["awaits"] = json!(["wk-1"]);
    sim.run_until(60_000);
    assert!(has_violation(&sim, "too_early: wk-2"), "{:?}", sim.violations);
    // As if nobody had ever asked to cancel the first.
    let mut sim = two(Some(30_000));
    sim.run_until(30_500);
    sim.jobs[0].cancel_at = None;
    sim.run_until(60_000);
    assert!(
        has_violation(&sim, "went_back: wk-2 was not cancelled, nor anything"),
        "{:?}",
        sim.violations
    );
}
