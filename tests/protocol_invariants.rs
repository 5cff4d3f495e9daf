//! The rules of the protocol, on the pure cores of three controllers against the stand-in.

use swiftsail_simulation::simulation as standin;

use standin::{FaultRates, Simulation, assert_all_jobs_over, job_body, submit_mixed_load};
use swiftsail_controller::controller::{Action, Controller, Event, Now};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::decode;
use swiftsail_protocol::workers::{Redirect, StatusReport};

#[test]
fn a_calm_day_runs_everything() {
    let mut sim = Simulation::new(1, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 6);
    sim.run_until(150_000);
    assert_all_jobs_over(&sim, "calm");
    assert_eq!(sim.store.count_keys("bind/"), 3, "only services that run are bound");
}

#[test]
fn rough_days_break_no_rule_and_everything_ends() {
    for seed in (0..16).chain([147]) {
        let mut sim = Simulation::new(seed, FaultRates::MANY, 90_000);
        submit_mixed_load(&mut sim, 6);
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        assert!(sim.store.largest_value <= 8 * 1024, "value of {}", sim.store.largest_value);
        assert!(sim.store.largest_transaction <= 64 * 1024 && sim.store.most_operations <= 16);
    }
}

/// With so little memory that a handful of workers is too many, they are shared among controllers and
/// their reports passed on together; leaders crash in the midst of it.
#[test]
fn rough_days_with_workers_shared_break_no_rule() {
    let mut passed_on = 0;
    for seed in 0..8 {
        let mut sim = Simulation::new(seed, FaultRates::MANY, 90_000);
        sim.memory_mb = 0.2;
        submit_mixed_load(&mut sim, 6);
        for at in 1..10 {
            sim.run_until(at * 10_000);
            let leader = sim.controllers.iter().flatten().find_map(Controller::cluster_state);
            let machines = leader.iter().flat_map(|l| l.machines.values());
            passed_on += machines.filter(|m| m.forwarded_by.is_some()).count();
        }
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(passed_on > 200, "{passed_on} workers report through another controller");
}

#[test]
fn the_checks_can_fail() {
    let mut sim = Simulation::new(3, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 6);
    sim.run_until(40_000);
    assert!(sim.violations.is_empty());
    assert!(sim.inject_duplicate_run(), "something runs by now");
    sim.check_invariants();
    assert!(sim.violations.iter().any(|b| b.starts_with("ran_twice")), "{:?}", sim.violations);
}

#[test]
fn a_gang_larger_than_a_transaction_starts_whole() {
    let mut sim = Simulation::new(5, FaultRates::NONE, 1_000);
    let mut gang = job_body("wk-g1", "gang", "blue", 700, 0.05, 4.0);
    gang["memory_gb"] = 0.05.into();
    sim.submit(500, None, gang);
    sim.run_until(90_000);
    assert_all_jobs_over(&sim, "large gang");
    assert!(
        sim.store.largest_transaction <= 64 * 1024,
        "transaction of {}",
        sim.store.largest_transaction
    );
    assert!(sim.store.largest_value <= 8 * 1024);
}

/// Two zones that cannot reach each other: a worker that its own zone's controller keeps sending
/// to the unreachable leader would never try the controller that reaches both.
#[test]
fn a_controller_that_lost_the_leader_does_not_name_it_to_its_own_zone() {
    let mut now = Now { monotonic: standin::START_MS, wall_clock: 1_000_000 };
    let mut node = Controller::new(standin::controller_settings(1), 7, now);
    let beat = Heartbeat {
        controller: "n0".into(),
        fencing_token: 9,
        is_leader: true,
        ..Heartbeat::default()
    };
    node.handle(Event::Heartbeat(beat), now);
    node.take_actions();
    let answer = |node: &mut Controller, berth: &str, dock: &str, now: Now| {
        let report = StatusReport {
            machine: berth.into(),
            address: String::new(),
            machine_type: "s4".into(),
            zone: dock.into(),
            spot: false,
            session: 1,
            sequence: now.monotonic,
            fencing_token: 9,
            reclaim_in_s: None,
            tasks: Vec::new(),
        };
        node.handle(Event::StatusReport(1, Box::new(report)), now);
        node.take_actions().into_iter().find_map(|action| match action {
            Action::Reply(1, reply) => {
                assert_eq!(reply.status, 421);
                let redirect = decode::<Redirect>(&reply.body).expect("our own message");
                Some(redirect.controller.unwrap_or("next".into()))
            }
            Action::ForwardReports(_, to, _) => Some(format!("relayed to {to}")),
            _ => None,
        })
    };
    let to = |text: &str| Some(text.to_string());
    assert_eq!(answer(&mut node, "m-1", "a", now), to("relayed to n0"));
    now.monotonic += 60_000;
    assert_eq!(answer(&mut node, "m-1", "a", now), to("next"), "a worker of this zone");
    assert_eq!(answer(&mut node, "m-2", "b", now), to("n0"), "another may reach the leader");
    now.monotonic += 6_000;
    assert_eq!(answer(&mut node, "m-2", "b", now), to("next"), "it came back: it could not");
}
