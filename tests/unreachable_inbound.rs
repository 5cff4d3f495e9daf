//! Machines that are unreachable inbound, duplicate reports that arrive much later, workers that restart, controllers
//! that can reach only their workers, polls that must be answered soon after faults, and large jobs that must not
//! starve. The controllers' real state machines run against simulated platform services, in simulated time.

mod common;

use common::cluster::{leader_index, tasks_killed};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_controller::controller::Controller;
use swiftsail_failure_detector::{InboundReachability, ReachabilityEvidence, ReachabilityTracker};
use swiftsail_overload_control::rejected_polls::RejectedPolls;
use swiftsail_simulation::simulation::{
    FaultRates, InboundFailure, NetworkPartition, START_MS, Simulation, assert_all_jobs_over,
    job_body, submit_mixed_load,
};

fn inbound_failure(from_ms: u64, for_ms: u64, names: Vec<String>) -> InboundFailure {
    InboundFailure { from_ms, for_ms, zone: None, machines: names, delivers_every: 0 }
}

/// For any sequence of evidence: a machine that executes commands is reachable, one that repeatedly loses its lease
/// although its reports are answered is unreachable inbound even if it responds to probes, and a single lost response
/// makes no machine unreachable.
#[test]
fn inbound_reachability_follows_the_evidence() {
    let evidence = [
        ReachabilityEvidence::CommandExecuted,
        ReachabilityEvidence::CommandIgnored,
        ReachabilityEvidence::SessionLostThoughAnswered,
        ReachabilityEvidence::SessionOutlastedLease,
        ReachabilityEvidence::ProbeAnswered,
        ReachabilityEvidence::ProbeFailed,
    ];
    let mut runner = TestRunner::new_with_rng(
        Config { failure_persistence: None, ..Config::with_cases(400) },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[33; 32]),
    );
    let histories = proptest::collection::vec((0..evidence.len(), 1u64..20_000), 1..40);
    runner
        .run(&histories, |history| {
            let (mut tracker, mut now, mut ignored) = (ReachabilityTracker::default(), 1_000, 0);
            for (n, ms) in history {
                now += ms;
                let before = tracker;
                let changed = tracker.apply_evidence(evidence[n], now);
                prop_assert_eq!(changed, before.reachability() != tracker.reachability());
                prop_assert!(!changed || tracker.since() == now);
                let is_ignored = evidence[n] == ReachabilityEvidence::CommandIgnored;
                ignored = if is_ignored { ignored + 1 } else { 0 };
                match evidence[n] {
                    ReachabilityEvidence::CommandExecuted
                    | ReachabilityEvidence::SessionOutlastedLease => {
                        prop_assert!(tracker.is_reachable())
                    }
                    ReachabilityEvidence::SessionLostThoughAnswered => {
                        prop_assert!(!tracker.is_reachable())
                    }
                    ReachabilityEvidence::CommandIgnored
                        if before.is_reachable()
                            && ignored == 1
                            && before == ReachabilityTracker::default() =>
                    {
                        prop_assert!(tracker.is_reachable());
                    }
                    _ => {}
                }
                if before.is_reachable()
                    && !tracker.is_reachable()
                    && evidence[n] != ReachabilityEvidence::SessionLostThoughAnswered
                {
                    prop_assert_eq!(tracker.reachability(), InboundReachability::Suspected);
                }
            }
            Ok(())
        })
        .expect("every history satisfies the checks");
    let mut tracker = ReachabilityTracker::default();
    for _ in 0..2 {
        tracker.apply_evidence(ReachabilityEvidence::SessionLostThoughAnswered, 1_000);
        tracker.apply_evidence(ReachabilityEvidence::ProbeAnswered, 2_000);
    }
    // A response to a probe proves nothing after a relapse.
    assert_eq!(tracker.reachability(), InboundReachability::Unreachable, "after a relapse");
}

/// Three of the machines in use become unreachable inbound while their reports still arrive. Their work continues
/// elsewhere after one lease, no more tasks are bound to them, and they are returned. If they were not detected, every
/// task placed there would be delayed by a lease.
#[test]
fn machines_unreachable_inbound_are_detected_and_returned() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 400_000);
        for n in 0..6 {
            sim.submit(
                500 + n * 500,
                None,
                job_body(&format!("wk-s{n}"), "service", "blue", 2, 1.0, 0.0),
            );
            let id = format!("wk-a{n}");
            sim.submit(2_000 + n * 15_000, None, job_body(&id, "array", "blue", 12, 1.0, 12.0));
        }
        sim.run_until(30_000);
        let names: Vec<String> = sim.running_machines().into_iter().take(3).collect();
        sim.inbound_failures.push(inbound_failure(30_000, 370_000, names.clone()));
        // Tasks bound to these machines would wait until a lease expires.
        let mut bound = BTreeSet::new();
        for at in 30..90 {
            sim.run_until(at * 2_000);
            let Some(cluster_state) =
                sim.controllers.iter().flatten().find_map(Controller::cluster_state)
            else {
                continue;
            };
            let affected =
                cluster_state.machines.values().filter(|m| names.iter().any(|n| **n == *m.id));
            bound.extend(affected.flat_map(|m| m.tasks.iter().map(|(_, attempt)| *attempt)));
        }
        assert!(
            bound.len() <= 3,
            "seed {seed}: {} tasks bound to machines unreachable inbound",
            bound.len()
        );
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let kept =
            names.iter().filter(|n| sim.cluster.workers.get(*n).is_some_and(|w| !w.is_terminated));
        assert_eq!(kept.count(), 0, "seed {seed}: machines unreachable inbound were not returned");
        sim.run_until(240_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// A whole zone is unreachable inbound for a while: not all its machines are returned, cancelled jobs there end in
/// time, and the machines are used again afterwards.
#[test]
fn zone_unreachable_inbound_does_not_empty_the_fleet() {
    for seed in 0..4 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 12);
        for n in 0..14 {
            let id = format!("wk-s{n}");
            let cancel = (n % 3 == 0).then_some(62_000 + n * 1_000);
            sim.submit(500 + n * 500, cancel, job_body(&id, "service", "blue", 2, 2.0, 0.0));
            let id = format!("wk-a{n}");
            sim.submit(2_000 + n * 9_000, None, job_body(&id, "array", "blue", 8, 1.0, 15.0));
        }
        sim.run_until(60_000);
        let machines_in_zone = |sim: &Simulation| {
            let machines =
                sim.cluster.workers.values().filter(|w| !w.is_terminated && w.hardware.zone == "a");
            machines.count()
        };
        let before = machines_in_zone(&sim);
        sim.inbound_failures.push(InboundFailure {
            from_ms: 60_000,
            for_ms: 60_000,
            zone: Some("a".into()),
            machines: Vec::new(),
            delivers_every: 0,
        });
        sim.run_until(119_000);
        assert!(
            machines_in_zone(&sim) + 4 >= before.min(8),
            "seed {seed}: {} of {before} machines left",
            machines_in_zone(&sim)
        );
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// Every second response is lost: the machines continue to run the tasks given to them, and no lease expires.
#[test]
fn losing_every_second_response_expires_no_lease() {
    for seed in 0..4 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 400_000);
        submit_mixed_load(&mut sim, 5);
        sim.run_until(20_000);
        let names = sim.running_machines();
        let failure =
            InboundFailure { delivers_every: 2, ..inbound_failure(20_000, 100_000, names) };
        sim.inbound_failures.push(failure);
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        assert_eq!(tasks_killed(&sim), 0, "seed {seed}");
    }
}

/// Duplicate reports arrive at any controller, from a second to several leases late, during failovers and mass losses
/// of machines: no terminated machine is known again or presumed alive because of one, and no task runs twice.
#[test]
fn late_duplicate_reports_prove_nothing() {
    let mut duplicates = 0;
    for seed in 0..10 {
        let faults = FaultRates {
            message_loss: 0.01,
            message_delay: 0.02,
            crashes: (seed % 4) as u32,
            outages_and_hangs: 1,
        };
        let mut sim = Simulation::new(seed, faults, 140_000);
        sim.memory_mb = if seed % 2 == 0 { 0.5 } else { 40.0 };
        sim.duplicate_reports = Some((0.2, 60_000));
        submit_mixed_load(&mut sim, 6);
        let mut terminated_at: BTreeMap<String, u64> = BTreeMap::new();
        for at in (5..42).map(|n| n * 5_000) {
            sim.run_until(at);
            if [30_000, 60_000, 90_000].contains(&at) {
                sim.kill_machines(1, 4);
                if let Some(node) = leader_index(&sim).filter(|_| seed % 2 == 0) {
                    sim.schedule_crash(at + 500, node);
                }
            }
            let workers = sim.cluster.workers.iter().filter(|(_, w)| w.is_terminated);
            let names: Vec<String> = workers.map(|(n, _)| n.clone()).collect();
            for name in names {
                terminated_at.entry(name).or_insert(at);
            }
            let Some(cluster_state) =
                sim.controllers.iter().flatten().find_map(Controller::cluster_state)
            else {
                continue;
            };
            let known = |name: &str| cluster_state.machines.contains_key(name);
            let known_again: Vec<_> =
                terminated_at.iter().filter(|(n, t)| at > **t + 45_000 && known(n)).collect();
            assert!(
                known_again.is_empty(),
                "seed {seed}: terminated machines are known at {at}: {known_again:?}"
            );
        }
        // Every machine that the leader presumes alive is running.
        if let Some(cluster_state) =
            sim.controllers.iter().flatten().find_map(Controller::cluster_state)
        {
            let now = sim.now;
            let terminated = cluster_state.machines.values().filter(|m| {
                let is_recent = m.last_contact_at.is_some_and(|at| now < at + 3_000);
                is_recent && sim.cluster.workers.get(&*m.id).is_none_or(|w| w.is_terminated)
            });
            let terminated: Vec<_> = terminated.map(|m| m.id.to_string()).collect();
            assert!(terminated.is_empty(), "seed {seed}: {terminated:?}");
        }
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        duplicates += sim.duplicates_delivered;
    }
    assert!(duplicates > 1_000, "{duplicates} duplicates arrived");
}

/// A new leader receives only duplicate reports of machines that crashed together with its predecessor: these do not
/// prove them alive, and the machines are returned as early as without duplicates.
#[test]
fn duplicate_reports_do_not_delay_the_return_of_dead_machines() {
    let returned_at = |duplicates: bool| {
        let mut sim = Simulation::new(11, FaultRates::NONE, 300_000);
        for n in 0..8 {
            let id = format!("wk-s{n}");
            sim.submit(500 + n * 300, None, job_body(&id, "service", "blue", 2, 2.0, 0.0));
        }
        sim.run_until(25_000);
        // From now on a duplicate of every report arrives within a minute.
        sim.duplicate_reports = duplicates.then_some((1.0, 60_000));
        sim.run_until(40_000);
        let names = sim.running_machines();
        sim.duplicate_reports = None;
        let crashed = sim.kill_machines(1, 2);
        assert!(crashed >= 2);
        (0..3).for_each(|n| sim.schedule_crash(40_000, n));
        let dead: Vec<String> =
            names.into_iter().filter(|n| sim.cluster.workers[n].is_terminated).collect();
        for at in 41..120 {
            sim.run_until(at * 1_000);
            let Some(node) = leader_index(&sim) else { continue };
            let cluster_state = sim.controllers[node].as_ref().and_then(Controller::cluster_state);
            if cluster_state
                .is_some_and(|t| !dead.iter().any(|n| t.machines.contains_key(n.as_str())))
            {
                return at;
            }
        }
        120
    };
    let (with, without) = (returned_at(true), returned_at(false));
    assert!(
        with <= without + 3,
        "dead machines are returned after {with} s, and after {without} s without duplicates"
    );
}

/// Runs the simulation until `at`, and fails the test unless the leader has recently been in contact with every machine
/// that has been up for two seconds.
fn assert_running_machines_are_in_contact(sim: &mut Simulation, at: u64, seed: u64) {
    sim.run_until(at);
    let cluster_state =
        sim.controllers.iter().flatten().find_map(Controller::cluster_state).expect("a leader");
    let now = sim.now;
    let is_late = |name: &String| {
        let machine = cluster_state.machines.get(name.as_str());
        machine.and_then(|m| m.last_contact_at).is_none_or(|at| now >= at + 6_000)
    };
    // A machine that has just come up has sent nothing yet.
    let is_long_up = |name: &String| now >= sim.cluster.workers[name].up_at + 2_000;
    let names: Vec<String> =
        sim.running_machines().into_iter().filter(|n| is_long_up(n) && is_late(n)).collect();
    assert!(
        names.is_empty(),
        "seed {seed}: at {at} the leader has no recent contact with {names:?}"
    );
}

/// Workers restart within a fraction of a second, repeatedly and during elections. Their message numbers begin again,
/// their messages are accepted all the same, and their tasks start elsewhere.
#[test]
fn messages_of_restarted_workers_are_accepted() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 150_000);
        sim.restart_delay_ms = Some(50);
        sim.duplicate_reports = (seed % 2 == 1).then_some((0.1, 30_000));
        submit_mixed_load(&mut sim, 6);
        for at in [25_000, 26_000, 50_000, 80_000] {
            sim.run_until(at);
            let up = sim.running_machines();
            for name in up.iter().skip(seed as usize % 2).step_by(2) {
                sim.schedule_worker_restart(at + 100, name);
            }
            if at == 26_000 {
                assert_running_machines_are_in_contact(&mut sim, 36_000, seed);
            }
            if let Some(node) = leader_index(&sim).filter(|_| at > 26_000) {
                sim.schedule_crash(at + 50, node);
                sim.schedule_crash(at + 300, node);
            }
        }
        assert_running_machines_are_in_contact(&mut sim, 125_000, seed);
        sim.run_until(330_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// A controller is partitioned from the state service and the other controllers, but not from its workers: no lease
/// expires, and users are directed to the other controllers at once.
#[test]
fn controller_that_reaches_only_its_workers_turns_users_away() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 200_000);
        sim.routes_to_healthy = true;
        submit_mixed_load(&mut sim, 3);
        sim.run_until(20_000);
        let node = match seed % 2 {
            0 => leader_index(&sim).expect("a controller leads"),
            _ => (leader_index(&sim).expect("a controller leads") + 1) % 3,
        };
        sim.partitions.push(NetworkPartition {
            controller: node,
            from_ms: 20_000,
            for_ms: 60_000,
            workers: false,
            peers: true,
            store: true,
            holds_messages: false,
        });
        let mut submitted = Vec::new();
        for n in 0..100 {
            let at = 24_000 + n * 500;
            sim.submit(at, None, job_body(&format!("wk-n{n}"), "array", "blue", 1, 0.1, 2.0));
            submitted.push((format!("wk-n{n}"), START_MS + at));
        }
        sim.run_until(90_000);
        let accepted = |id: &str| sim.jobs.iter().find(|j| j.id == id).and_then(|j| j.accepted_at);
        let in_time =
            submitted.iter().filter(|(id, at)| accepted(id).is_some_and(|a| a <= at + 1_000));
        let in_time = in_time.count();
        assert!(in_time >= 97, "seed {seed}: {in_time} of 100 accepted within a second");
        assert_eq!(tasks_killed(&sim), 0, "seed {seed}");
        sim.run_until(330_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// A store outage, a partition, crashes of all controllers and a storm of polls at once: within 20 s after the faults
/// every job's poll has been answered, and from then on none stays unanswered for 75 s.
#[test]
fn polls_are_answered_soon_after_faults() {
    for seed in 0..3 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 120_000, 12);
        sim.memory_mb = 6.0;
        sim.cores_per_controller = Some(0.08);
        sim.poll_interval_ms = 700;
        let mut rng = StdRng::seed_from_u64(seed);
        for n in 0..160u64 {
            let mut body = job_body(&format!("wk-p{n}"), "array", "blue", 1, 0.2, 900.0);
            body["due_s"] = serde_json::Value::Null;
            sim.submit(500 + n * 150, None, body);
        }
        sim.run_until(45_000);
        for node in 0..3 {
            sim.partitions.push(NetworkPartition {
                controller: node,
                from_ms: 45_000,
                for_ms: 25_000,
                workers: false,
                peers: node == 0,
                store: true,
                holds_messages: false,
            });
            sim.schedule_crash(50_000 + rng.random_range(0..400), node);
        }
        sim.faults_end_ms = Some(70_000);
        sim.run_until(90_000);
        let unanswered = sim.jobs_without_answer(20_000);
        assert!(unanswered.is_empty(), "seed {seed}: no answer yet for {unanswered:?}");
        sim.run_until(200_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
    }
}

/// A poll that was rejected takes precedence when it is retried, for a bounded number of polls a second. One that has
/// been answered since, or was rejected long ago, does not.
#[test]
fn rejected_polls_take_precedence_when_retried() {
    let mut rejected = RejectedPolls::default();
    rejected.on_rejected("wk-1", 10_000);
    assert!(!rejected.take_precedence("wk-1", 11_000) && !rejected.take_precedence("wk-2", 15_000));
    assert!(rejected.take_precedence("wk-1", 15_000));
    rejected.on_answered("wk-1");
    assert!(!rejected.take_precedence("wk-1", 16_000) && rejected.is_empty());
    for n in 0..10_000 {
        rejected.on_rejected(&format!("wk-{n}"), 20_000);
    }
    assert!(rejected.len() <= swiftsail_overload_control::constants::MAX_REJECTED_POLLS);
    let admitted =
        (0..10_000).filter(|n| rejected.take_precedence(&format!("wk-{n}"), 30_000)).count();
    assert_eq!(admitted as u32, swiftsail_overload_control::constants::RETRIED_POLLS_PER_S);
    rejected.on_rejected("wk-x", 200_000);
    assert!(!rejected.take_precedence("wk-0", 204_000), "old rejections are forgotten");
}

/// When the first task of a job started, ms from the beginning of the simulation.
fn first_task_started_ms(sim: &Simulation, id: &str) -> Option<u64> {
    let starts =
        sim.cluster.first_started_at.iter().filter(|(task, _)| task.starts_with(&format!("{id}/")));
    starts.map(|(_, at)| at - START_MS).min()
}

/// A team is at its limit and keeps submitting small jobs: its largest jobs start within four minutes all the same,
/// however often the leader crashes. Ordering by least work alone would starve them.
#[test]
fn largest_jobs_start_at_their_teams_limit() {
    for seed in 0..3 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 12);
        for n in 0..90u64 {
            let id = format!("wk-a{n}");
            sim.submit(500 + n * 4_000, None, job_body(&id, "array", "red", 12, 2.0, 9.0));
        }
        for n in 0..3u64 {
            let id = format!("wk-z{n}");
            sim.submit(20_000 + n * 30_000, None, job_body(&id, "array", "red", 150, 2.0, 9.0));
        }
        for at in [60_000, 120_000, 180_000, 240_000] {
            sim.run_until(at);
            if let Some(node) = leader_index(&sim).filter(|_| seed > 0) {
                sim.schedule_crash(at, node);
            }
        }
        sim.run_until(340_000);
        for n in 0..3u64 {
            let waited = first_task_started_ms(&sim, &format!("wk-z{n}"))
                .map(|at| at - (20_000 + n * 30_000));
            assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: wk-z{n}: {waited:?}");
        }
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
    }
}

/// Jobs that would all meet their deadlines keep every machine full of small tasks: two whole machines in one zone are
/// reserved for a gang that needs them, also across failovers.
#[test]
fn machines_are_reserved_for_a_large_gang() {
    for seed in 0..3 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 2);
        for n in 0..170u64 {
            let id = format!("wk-a{n}");
            let mut body = job_body(&id, "array", "blue", 60, 1.0, 14.0);
            body["due_s"] = 900.0.into();
            sim.submit(500 + n * 2_500, None, body);
        }
        let mut gang = job_body("wk-g1", "gang", "blue", 2, 8.0, 20.0);
        gang["hulls"] = serde_json::json!(["m8"]);
        sim.submit(40_000, None, gang);
        for at in [90_000, 150_000, 210_000] {
            sim.run_until(at);
            if let Some(node) = leader_index(&sim).filter(|_| seed > 0) {
                sim.schedule_crash(at, node);
            }
        }
        sim.run_until(300_000);
        let waited = first_task_started_ms(&sim, "wk-g1").map(|at| at - 40_000);
        assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: {waited:?}");
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
    }
}
