//! What a day's end is checked for: machines that report and do not hear, reports that come again much later,
//! workers that begin anew, controllers that are left with their workers alone, and questions that must all
//! find an answer. On the pure cores against the stand-in.

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

/// Whatever signs come in whatever order: a machine that does what it is told hears, one that loses leases
/// again and again on answered reports is deaf whatever direct questions say, and nobody is deaf for one
/// answer lost.
#[test]
fn hearing_goes_by_the_signs() {
    let signs = [
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
    let histories = proptest::collection::vec((0..signs.len(), 1u64..20_000), 1..40);
    runner
        .run(&histories, |history| {
            let (mut ear, mut now, mut rows) = (ReachabilityTracker::default(), 1_000, 0);
            for (n, ms) in history {
                now += ms;
                let before = ear;
                let moved = ear.apply_evidence(signs[n], now);
                prop_assert_eq!(moved, before.reachability() != ear.reachability());
                prop_assert!(!moved || ear.since() == now);
                rows = if signs[n] == ReachabilityEvidence::CommandIgnored { rows + 1 } else { 0 };
                match signs[n] {
                    ReachabilityEvidence::CommandExecuted
                    | ReachabilityEvidence::SessionOutlastedLease => {
                        prop_assert!(ear.is_reachable())
                    }
                    ReachabilityEvidence::SessionLostThoughAnswered => {
                        prop_assert!(!ear.is_reachable())
                    }
                    ReachabilityEvidence::CommandIgnored
                        if before.is_reachable()
                            && rows == 1
                            && before == ReachabilityTracker::default() =>
                    {
                        prop_assert!(ear.is_reachable());
                    }
                    _ => {}
                }
                if before.is_reachable()
                    && !ear.is_reachable()
                    && signs[n] != ReachabilityEvidence::SessionLostThoughAnswered
                {
                    prop_assert_eq!(ear.reachability(), InboundReachability::Suspected);
                }
            }
            Ok(())
        })
        .expect("every history keeps to it");
    let mut ear = ReachabilityTracker::default();
    for _ in 0..2 {
        ear.apply_evidence(ReachabilityEvidence::SessionLostThoughAnswered, 1_000);
        ear.apply_evidence(ReachabilityEvidence::ProbeAnswered, 2_000);
    }
    assert_eq!(
        ear.reachability(),
        InboundReachability::Unreachable,
        "a question answered is no hearing after a relapse"
    );
}

/// Three of the machines in use do not hear any more: they report as ever. Their work goes on elsewhere after
/// one lease, nothing more is placed there, and they are returned; without the guard each costs a lease a task.
#[test]
fn machines_that_do_not_hear_are_told_from_others() {
    for seed in 0..6 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 400_000);
        for n in 0..6 {
            world.submit(
                500 + n * 500,
                None,
                job_body(&format!("wk-s{n}"), "service", "blue", 2, 1.0, 0.0),
            );
            let id = format!("wk-a{n}");
            world.submit(2_000 + n * 15_000, None, job_body(&id, "array", "blue", 12, 1.0, 12.0));
        }
        world.run_until(30_000);
        let names: Vec<String> = world.running_machines().into_iter().take(3).collect();
        world.inbound_failures.push(inbound_failure(30_000, 370_000, names.clone()));
        // What is bound there waits for a lease that ends, whoever is told to start it.
        let mut bound = BTreeSet::new();
        for at in 30..90 {
            world.run_until(at * 2_000);
            let Some(tables) =
                world.controllers.iter().flatten().find_map(Controller::cluster_state)
            else {
                continue;
            };
            let there = tables.machines.values().filter(|m| names.iter().any(|n| **n == *m.id));
            bound.extend(there.flat_map(|m| m.tasks.values().copied()));
        }
        assert!(
            bound.len() <= 3,
            "seed {seed}: {} tasks bound where nothing is heard",
            bound.len()
        );
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let held = names
            .iter()
            .filter(|n| world.cluster.workers.get(*n).is_some_and(|w| !w.is_terminated));
        assert_eq!(held.count(), 0, "seed {seed}: what does not hear is still paid for");
        world.run_until(240_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// The way back of a whole zone is lost for a while: its machines are not all given up, what is cancelled
/// there ends in time, and they are used again afterwards.
#[test]
fn a_zone_whose_way_back_is_lost_does_not_empty_the_fleet() {
    for seed in 0..4 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 12);
        for n in 0..14 {
            let id = format!("wk-s{n}");
            let cancel = (n % 3 == 0).then_some(62_000 + n * 1_000);
            world.submit(500 + n * 500, cancel, job_body(&id, "service", "blue", 2, 2.0, 0.0));
            let id = format!("wk-a{n}");
            world.submit(2_000 + n * 9_000, None, job_body(&id, "array", "blue", 8, 1.0, 15.0));
        }
        world.run_until(60_000);
        let there = |world: &Simulation| {
            let own = world
                .cluster
                .workers
                .values()
                .filter(|w| !w.is_terminated && w.hardware.zone == "a");
            own.count()
        };
        let before = there(&world);
        world.inbound_failures.push(InboundFailure {
            from_ms: 60_000,
            for_ms: 60_000,
            zone: Some("a".into()),
            machines: Vec::new(),
            delivers_every: 0,
        });
        world.run_until(119_000);
        assert!(
            there(&world) + 4 >= before.min(8),
            "seed {seed}: {} of {before} left",
            there(&world)
        );
        world.run_until(300_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// Half deaf: every second answer is lost. Such a machine goes on with what it is given; no lease ends.
#[test]
fn every_second_answer_lost_costs_no_lease() {
    for seed in 0..4 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 400_000);
        submit_mixed_load(&mut world, 5);
        world.run_until(20_000);
        let names = world.running_machines();
        let half = InboundFailure { delivers_every: 2, ..inbound_failure(20_000, 100_000, names) };
        world.inbound_failures.push(half);
        world.run_until(300_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        assert_eq!(tasks_killed(&world), 0, "seed {seed}");
    }
}

/// Reports come again, from a second to several leases later, to any controller, through changes of leader and
/// mass returns: nothing that is gone is taken for there, nothing runs twice, and no machine is believed to be
/// alive by a copy.
#[test]
fn late_copies_prove_nothing() {
    let mut copied = 0;
    for seed in 0..10 {
        let weather = FaultRates {
            message_loss: 0.01,
            message_delay: 0.02,
            crashes: (seed % 4) as u32,
            outages_and_hangs: 1,
        };
        let mut world = Simulation::new(seed, weather, 140_000);
        world.memory_mb = if seed % 2 == 0 { 0.5 } else { 40.0 };
        world.duplicate_reports = Some((0.2, 60_000));
        submit_mixed_load(&mut world, 6);
        let mut gone: BTreeMap<String, u64> = BTreeMap::new();
        for at in (5..42).map(|n| n * 5_000) {
            world.run_until(at);
            if [30_000, 60_000, 90_000].contains(&at) {
                world.kill_machines(1, 4);
                if let Some(node) = leader_index(&world).filter(|_| seed % 2 == 0) {
                    world.schedule_crash(at + 500, node);
                }
            }
            let workers = world.cluster.workers.iter().filter(|(_, w)| w.is_terminated);
            let names: Vec<String> = workers.map(|(n, _)| n.clone()).collect();
            for name in names {
                gone.entry(name).or_insert(at);
            }
            let Some(tables) =
                world.controllers.iter().flatten().find_map(Controller::cluster_state)
            else {
                continue;
            };
            let known = |name: &str| tables.machines.contains_key(name);
            let raised: Vec<_> =
                gone.iter().filter(|(n, t)| at > **t + 45_000 && known(n)).collect();
            assert!(raised.is_empty(), "seed {seed}: gone, and known at {at}: {raised:?}");
        }
        // Whatever the tables hold as alive now is there.
        if let Some(tables) = world.controllers.iter().flatten().find_map(Controller::cluster_state)
        {
            let now = world.now;
            let ghosts = tables.machines.values().filter(|m| {
                let lately = m.last_contact_at.is_some_and(|at| now < at + 3_000);
                lately && world.cluster.workers.get(&*m.id).is_none_or(|w| w.is_terminated)
            });
            let ghosts: Vec<_> = ghosts.map(|m| m.id.to_string()).collect();
            assert!(ghosts.is_empty(), "seed {seed}: {ghosts:?}");
        }
        world.run_until(420_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        copied += world.duplicates_delivered;
    }
    assert!(copied > 1_000, "{copied} copies came");
}

/// A new leader that knows nothing newer is told by copies alone of machines that have died with the old one:
/// they are not life, and the dead are returned as soon as without them.
#[test]
fn copies_do_not_raise_the_dead() {
    let returned_at = |copies: bool| {
        let mut world = Simulation::new(11, FaultRates::NONE, 300_000);
        for n in 0..8 {
            let id = format!("wk-s{n}");
            world.submit(500 + n * 300, None, job_body(&id, "service", "blue", 2, 2.0, 0.0));
        }
        world.run_until(25_000);
        // From here on every report comes again within a minute.
        world.duplicate_reports = copies.then_some((1.0, 60_000));
        world.run_until(40_000);
        let names = world.running_machines();
        world.duplicate_reports = None;
        let died = world.kill_machines(1, 2);
        assert!(died >= 2);
        (0..3).for_each(|n| world.schedule_crash(40_000, n));
        let dead: Vec<String> =
            names.into_iter().filter(|n| world.cluster.workers[n].is_terminated).collect();
        for at in 41..120 {
            world.run_until(at * 1_000);
            let Some(node) = leader_index(&world) else { continue };
            let tables = world.controllers[node].as_ref().and_then(Controller::cluster_state);
            if tables.is_some_and(|t| !dead.iter().any(|n| t.machines.contains_key(n.as_str()))) {
                return at;
            }
        }
        120
    };
    let (with, without) = (returned_at(true), returned_at(false));
    assert!(with <= without + 3, "the dead are gone after {with} s, without copies {without}");
}

/// Whoever has been up for two seconds at that time has been heard of late.
fn check_reachability_evidence(world: &mut Simulation, at: u64, seed: u64) {
    world.run_until(at);
    let tables =
        world.controllers.iter().flatten().find_map(Controller::cluster_state).expect("a leader");
    let now = world.now;
    let late = |name: &String| {
        let machine = tables.machines.get(name.as_str());
        machine.and_then(|m| m.last_contact_at).is_none_or(|at| now >= at + 6_000)
    };
    // Who came up a moment ago has sent nothing yet.
    let long = |name: &String| now >= world.cluster.workers[name].up_at + 2_000;
    let names: Vec<String> =
        world.running_machines().into_iter().filter(|n| long(n) && late(n)).collect();
    assert!(names.is_empty(), "seed {seed}: at {at} {names:?} report, and are not heard");
}

/// A worker begins anew within a fraction of a second, again and again, in the midst of elections: its
/// numbers count from the start, and it is heard all the same; what it held starts elsewhere.
#[test]
fn a_worker_that_begins_anew_is_heard() {
    for seed in 0..6 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 150_000);
        world.restart_delay_ms = Some(50);
        world.duplicate_reports = (seed % 2 == 1).then_some((0.1, 30_000));
        submit_mixed_load(&mut world, 6);
        for at in [25_000, 26_000, 50_000, 80_000] {
            world.run_until(at);
            let up = world.running_machines();
            for name in up.iter().skip(seed as usize % 2).step_by(2) {
                world.schedule_worker_restart(at + 100, name);
            }
            if at == 26_000 {
                check_reachability_evidence(&mut world, 36_000, seed);
            }
            if let Some(node) = leader_index(&world).filter(|_| at > 26_000) {
                world.schedule_crash(at + 50, node);
                world.schedule_crash(at + 300, node);
            }
        }
        check_reachability_evidence(&mut world, 125_000, seed);
        world.run_until(330_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// A controller without the state service and the other controllers, with its workers: no lease ends, and
/// users are sent to the others at once.
#[test]
fn with_its_workers_alone_a_controller_sends_users_away() {
    for seed in 0..6 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 200_000);
        world.routes_to_healthy = true;
        submit_mixed_load(&mut world, 3);
        world.run_until(20_000);
        let node = match seed % 2 {
            0 => leader_index(&world).expect("somebody leads"),
            _ => (leader_index(&world).expect("somebody leads") + 1) % 3,
        };
        world.partitions.push(NetworkPartition {
            controller: node,
            from_ms: 20_000,
            for_ms: 60_000,
            workers: false,
            peers: true,
            store: true,
            holds_messages: false,
        });
        let mut late = Vec::new();
        for n in 0..100 {
            let at = 24_000 + n * 500;
            world.submit(at, None, job_body(&format!("wk-n{n}"), "array", "blue", 1, 0.1, 2.0));
            late.push((format!("wk-n{n}"), START_MS + at));
        }
        world.run_until(90_000);
        let accepted =
            |id: &str| world.jobs.iter().find(|j| j.id == id).and_then(|j| j.accepted_at);
        let in_time = late.iter().filter(|(id, at)| accepted(id).is_some_and(|a| a <= at + 1_000));
        let in_time = in_time.count();
        assert!(in_time >= 97, "seed {seed}: {in_time} of 100 accepted within a second");
        assert_eq!(tasks_killed(&world), 0, "seed {seed}");
        world.run_until(330_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// Outage, cut, crash of all and a storm of polls together: within 20 s of the end every job's question has an
/// answer, and none is without one for 75 s ever after.
#[test]
fn every_question_is_answered_soon_after_the_troubles() {
    for seed in 0..3 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 120_000, 12);
        world.memory_mb = 6.0;
        world.cores_per_controller = Some(0.08);
        world.poll_interval_ms = 700;
        let mut rng = StdRng::seed_from_u64(seed);
        for n in 0..160u64 {
            let mut body = job_body(&format!("wk-p{n}"), "array", "blue", 1, 0.2, 900.0);
            body["due_s"] = serde_json::Value::Null;
            world.submit(500 + n * 150, None, body);
        }
        world.run_until(45_000);
        for node in 0..3 {
            world.partitions.push(NetworkPartition {
                controller: node,
                from_ms: 45_000,
                for_ms: 25_000,
                workers: false,
                peers: node == 0,
                store: true,
                holds_messages: false,
            });
            world.schedule_crash(50_000 + rng.random_range(0..400), node);
        }
        world.faults_end_ms = Some(70_000);
        world.run_until(90_000);
        let left = world.jobs_without_answer(20_000);
        assert!(left.is_empty(), "seed {seed}: no answer yet for {left:?}");
        world.run_until(200_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Who was turned away comes first when it asks again, a bounded number a second; who is answered, or has not
/// asked for long, does not.
#[test]
fn who_was_turned_away_comes_first() {
    let mut turned = RejectedPolls::default();
    turned.on_rejected("wk-1", 10_000);
    assert!(!turned.take_precedence("wk-1", 11_000) && !turned.take_precedence("wk-2", 15_000));
    assert!(turned.take_precedence("wk-1", 15_000));
    turned.on_answered("wk-1");
    assert!(!turned.take_precedence("wk-1", 16_000) && turned.is_empty());
    for n in 0..10_000 {
        turned.on_rejected(&format!("wk-{n}"), 20_000);
    }
    assert!(turned.len() <= swiftsail_overload_control::constants::MAX_REJECTED_POLLS);
    let let_in = (0..10_000).filter(|n| turned.take_precedence(&format!("wk-{n}"), 30_000)).count();
    assert_eq!(let_in as u32, swiftsail_overload_control::constants::RETRIED_POLLS_PER_S);
    turned.on_rejected("wk-x", 200_000);
    assert!(!turned.take_precedence("wk-0", 204_000), "what was long ago is forgotten");
}

/// When the first task of a job was on its machine, ms from the beginning.
fn first_task_started_ms(world: &Simulation, id: &str) -> Option<u64> {
    let own = world
        .cluster
        .first_started_at
        .iter()
        .filter(|(task, _)| task.starts_with(&format!("{id}/")));
    own.map(|(_, at)| at - START_MS).min()
}

/// A team at its limit whose small jobs keep coming: the largest begin within four minutes all the same, however
/// often the leader ends. Least work first puts them off for ever.
#[test]
fn the_largest_begin_at_their_teams_limit() {
    for seed in 0..3 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 12);
        for n in 0..90u64 {
            let id = format!("wk-a{n}");
            world.submit(500 + n * 4_000, None, job_body(&id, "array", "red", 12, 2.0, 9.0));
        }
        for n in 0..3u64 {
            let id = format!("wk-z{n}");
            world.submit(20_000 + n * 30_000, None, job_body(&id, "array", "red", 150, 2.0, 9.0));
        }
        for at in [60_000, 120_000, 180_000, 240_000] {
            world.run_until(at);
            if let Some(node) = leader_index(&world).filter(|_| seed > 0) {
                world.schedule_crash(at, node);
            }
        }
        world.run_until(340_000);
        for n in 0..3u64 {
            let waited = first_task_started_ms(&world, &format!("wk-z{n}"))
                .map(|at| at - (20_000 + n * 30_000));
            assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: wk-z{n}: {waited:?}");
        }
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Every machine is kept full of small tasks by jobs that all would be in time: a gang that needs two whole
/// machines of one zone has them gathered, across changes of leader.
#[test]
fn room_is_gathered_for_the_largest() {
    for seed in 0..3 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 400_000, 2);
        for n in 0..170u64 {
            let id = format!("wk-a{n}");
            let mut body = job_body(&id, "array", "blue", 60, 1.0, 14.0);
            body["due_s"] = 900.0.into();
            world.submit(500 + n * 2_500, None, body);
        }
        let mut gang = job_body("wk-g1", "gang", "blue", 2, 8.0, 20.0);
        gang["hulls"] = serde_json::json!(["m8"]);
        world.submit(40_000, None, gang);
        for at in [90_000, 150_000, 210_000] {
            world.run_until(at);
            if let Some(node) = leader_index(&world).filter(|_| seed > 0) {
                world.schedule_crash(at, node);
            }
        }
        world.run_until(300_000);
        let waited = first_task_started_ms(&world, "wk-g1").map(|at| at - 40_000);
        assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: {waited:?}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}
