//! Tests of the simulation itself: each of its checks detects a violation, and each kind of fault takes effect.

use serde_json::json;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, START_MS, Simulation, TransactionFate, assert_all_jobs_over, job_body,
    machine_offers, submit_mixed_load,
};

fn has_violation(sim: &Simulation, prefix: &str) -> bool {
    sim.violations.iter().any(|b| b.starts_with(prefix))
}

/// One array of two tasks, submitted at 0.5 s. Its tasks run by 30 s.
fn simulation_with_one_job(seed: u64, run_time_s: f64, cancel_ms: Option<u64>) -> Simulation {
    let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
    sim.submit(500, cancel_ms, job_body("wk-1", "array", "blue", 2, 1.0, run_time_s));
    sim
}

#[test]
fn answers_older_than_an_earlier_answer_are_detected() {
    let mut sim = simulation_with_one_job(1, 5.0, None);
    sim.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
    sim.run_until(120_000);
    assert_all_jobs_over(&sim, "consistency probes");
    assert!(sim.fault_counts["look answered"] >= 9, "{:?}", sim.fault_counts);
    // As if a controller had reported it as cancelled before: later answers contradict that.
    let mut sim = simulation_with_one_job(1, 5.0, Some(200_000));
    sim.run_until(60_000);
    assert_eq!(sim.jobs[0].last_status.as_deref(), Some("done"));
    sim.jobs[0].last_status = Some("withdrawn".into());
    sim.run_until(200_500);
    assert!(has_violation(&sim, "went_back: wk-1 from withdrawn to done"), "{:?}", sim.violations);
    // The same with the answer to an unusual request.
    let mut sim = simulation_with_one_job(1, 5.0, None);
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
fn starts_after_a_confirmed_cancellation_are_counted() {
    let mut sim = simulation_with_one_job(2, 60.0, Some(25_000));
    sim.run_until(90_000);
    assert!(sim.starts_after_cancellation.is_empty(), "{:?}", sim.starts_after_cancellation);
    let mut sim = simulation_with_one_job(2, 60.0, None);
    sim.run_until(900);
    sim.jobs[0].cancellation_told_at = Some(START_MS + 900);
    sim.run_until(40_000);
    assert_eq!(sim.starts_after_cancellation.len(), 2);
    assert!(has_violation(&sim, "ran_cancelled"), "{:?}", sim.violations);
}

#[test]
fn a_cancelled_task_that_runs_on_after_a_hang_is_detected() {
    let mut sim = simulation_with_one_job(3, 300.0, None);
    sim.run_until(30_000);
    sim.schedule_running_cancellations(30_000, 5, Some(60_000));
    sim.run_until(32_000);
    assert!(sim.jobs[0].cancellation_told_at.is_some());
    assert!((1..=2).contains(&sim.fault_counts["hung"]), "{:?}", sim.fault_counts);
    let mut other = simulation_with_one_job(3, 300.0, None);
    other.run_until(30_000);
    other.schedule_running_cancellations(30_000, 5, Some(60_000));
    other.run_until(32_000);
    (0..3).for_each(|n| other.schedule_pause(32_000, n, 80_000));
    other.run_until(80_000);
    assert!(has_violation(&other, "ran_cancelled"), "no controller could stop it");
    sim.run_until(120_000);
    assert!(sim.violations.is_empty(), "its machine is returned: {:?}", sim.violations);
}

#[test]
fn accepted_submissions_that_cannot_run_are_detected() {
    let mut sim = Simulation::new(4, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 3);
    sim.add_fault_window(500, 120_000, Fault::UnusualRequests);
    sim.run_until(250_000);
    assert_all_jobs_over(&sim, "unusual requests");
    assert!(
        sim.fault_counts["refused for good"] > 40 && sim.fault_counts["repeated"] > 10,
        "{:?}",
        sim.fault_counts
    );
    // With a machine type of 20,000 CPUs one of these submissions can run, and is accepted.
    let mut large = machine_offers(6);
    (large[0].machine_type.cpus, large[0].machine_type.name) = (20_000.0, "l".into());
    let mut sim = Simulation::with_offers(4, FaultRates::NONE, 1_000, large);
    sim.add_fault_window(500, 60_000, Fault::UnusualRequests);
    sim.run_until(70_000);
    assert!(has_violation(&sim, "accepted: "), "{:?}", sim.fault_counts);
}

#[test]
fn a_job_waiting_beside_free_resources_is_detected() {
    for (pause_ms, is_detected) in [(0, false), (170_000, true)] {
        let mut sim = simulation_with_one_job(5, 100_000.0, None);
        sim.run_until(30_000);
        // The machines that run the first job's two tasks of one CPU each have free CPUs for the second job.
        sim.submit(30_500, None, job_body("wk-2", "array", "blue", 1, 1.0, 20.0));
        sim.checks_work_conservation = true;
        sim.faults_end_ms = Some(31_000);
        let free_cpus: Vec<f64> = sim
            .cluster
            .workers
            .values()
            .filter(|w| !w.is_terminated)
            .map(|w| w.hardware.resources[0] - w.tasks.len() as f64)
            .collect();
        assert!(free_cpus.iter().any(|left| *left >= 1.0), "{free_cpus:?}");
        sim.run_until(30_600);
        assert!(sim.jobs[1].accepted);
        (0..3).for_each(|n| sim.schedule_pause(30_600, n, pause_ms));
        sim.run_until(200_000);
        assert_eq!(has_violation(&sim, "left waiting: wk-2"), is_detected, "{:?}", sim.violations);
    }
}

#[test]
fn unmet_service_levels_of_classes_teams_and_largest_jobs_are_reported() {
    let mut sim = Simulation::new(6, FaultRates::NONE, 1_000);
    for n in 0..12 {
        let tasks = [20, 10, 1][n.min(2)];
        sim.submit(
            500 + n as u64 * 100,
            None,
            job_body(&format!("wk-{n}"), "array", "blue", tasks, 1.0, 5.0),
        );
    }
    // The tasks of the two largest jobs fail on every machine.
    sim.cluster.faulty_jobs.extend(["wk-0".to_string(), "wk-1".into()]);
    sim.run_until(400_000);
    let late_starts =
        ["wk-0", "wk-1"].map(|id| format!("{id}, one of the largest, begins after 399 s"));
    let expected =
        [late_starts[0].as_str(), &late_starts[1], "the largest of class array: 0 of 2 served"];
    assert_eq!(sim.unmet_service_levels(), expected);
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
fn a_task_on_a_disallowed_machine_type_is_detected() {
    let mut sim = simulation_with_one_job(7, 100.0, None);
    sim.run_until(30_000);
    assert!(sim.violations.is_empty());
    sim.jobs[0].body["hulls"] = json!(["none"]);
    sim.run_until(35_000);
    assert!(has_violation(&sim, "wrong_place"), "{:?}", sim.violations);
}

/// Every kind of fault window takes effect, and still all jobs end.
#[test]
fn every_fault_window_takes_effect() {
    for seed in 0..3 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        sim.cluster.cloud.fixed_boot_ms = Some(1_500);
        submit_mixed_load(&mut sim, 4);
        let zone_partition = Fault::ZonePartition { zone: "b".into(), controller: 1 };
        for fault in [
            Fault::AnswersLost(0.2),
            Fault::TransactionsLate(0.1),
            Fault::DuplicatesForNextLeader(0.3),
            Fault::ConsistencyProbes,
            Fault::UnusualRequests,
            Fault::CancelAtCompletion(0.5),
        ] {
            sim.add_fault_window(5_000, 70_000, fault);
        }
        sim.run_until(20_000);
        let unreachable = sim.running_machines().into_iter().take(2).collect();
        sim.add_fault_window(20_000, 8_000, Fault::OutboundUnreachable(unreachable));
        sim.add_fault_window(30_000, 25_000, zone_partition);
        sim.schedule_running_cancellations(60_000, 2, Some(5_000));
        (0..3).for_each(|n| sim.schedule_crash(40_000 + 10_000 * n as u64, n));
        let mut attempts = 0;
        sim.transaction_interceptor = Some(Box::new(move |ms, _, _| {
            attempts += u32::from(ms > 50_000);
            if ms > 50_000 && attempts < 3 {
                TransactionFate::Refused
            } else {
                TransactionFate::AsConfigured
            }
        }));
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        for name in [
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
                sim.fault_counts.contains_key(name),
                "seed {seed}: no {name}: {:?}",
                sim.fault_counts
            );
        }
    }
}

#[test]
fn early_starts_and_orphaned_dependents_are_detected() {
    let dependent_body = |id: &str, awaits: &str| {
        let mut body = job_body(id, "array", "blue", 1, 1.0, 100.0);
        body["awaits"] = json!([awaits]);
        body
    };
    let with_dependent = |cancel_ms| {
        let mut sim = simulation_with_one_job(3, 400.0, cancel_ms);
        sim.submit(3_000, None, dependent_body("wk-2", "wk-1"));
        sim
    };
    let mut sim = with_dependent(None);
    sim.run_until(80_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(sim.jobs[1].last_status.as_deref(), Some("pending"));
    // As if a user had been told 40 s ago that the first job is cancelled.
    sim.jobs[0].cancellation_told_at = Some(START_MS + 40_000);
    sim.run_until(90_000);
    assert!(has_violation(&sim, "orphaned: wk-2"), "{:?}", sim.violations);
    // As if the second job depended on the first, which still runs.
    let mut sim = simulation_with_one_job(3, 400.0, None);
    sim.submit(500, None, job_body("wk-2", "array", "blue", 1, 1.0, 100.0));
    sim.run_until(1_200);
    sim.jobs[1].body["awaits"] = json!(["wk-1"]);
    sim.run_until(60_000);
    assert!(has_violation(&sim, "too_early: wk-2"), "{:?}", sim.violations);
    // As if nobody had ever requested the cancellation of the first job.
    let mut sim = with_dependent(Some(30_000));
    sim.run_until(30_500);
    sim.jobs[0].cancel_at = None;
    sim.run_until(60_000);
    assert!(
        has_violation(&sim, "went_back: wk-2 was not cancelled, nor anything"),
        "{:?}",
        sim.violations
    );
}
