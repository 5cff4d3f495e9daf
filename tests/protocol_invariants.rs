//! The invariants of the protocol: the real state machines of three controllers run against simulated platform services.

use swiftsail_controller::controller::{Action, Controller, Event, Now};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::decode;
use swiftsail_protocol::workers::{Redirect, StatusReport};
use swiftsail_simulation::simulation::{
    self, FaultRates, Simulation, assert_all_jobs_over, job_body, submit_mixed_load,
};

#[test]
fn without_faults_all_jobs_complete() {
    let mut sim = Simulation::new(1, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 6);
    sim.run_until(150_000);
    assert_all_jobs_over(&sim, "no faults");
    assert_eq!(sim.store.count_keys("bind/"), 3, "only services that run are bound");
}

#[test]
fn with_random_faults_no_invariant_is_violated_and_all_jobs_end() {
    for seed in (0..16).chain([147]) {
        let mut sim = Simulation::new(seed, FaultRates::MANY, 90_000);
        submit_mixed_load(&mut sim, 6);
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        assert!(sim.store.largest_value <= 8 * 1024, "value of {}", sim.store.largest_value);
        assert!(sim.store.largest_transaction <= 64 * 1024 && sim.store.most_operations <= 16);
    }
}

/// With so little memory that a handful of workers is too many for one controller, workers are distributed among the
/// controllers, which forward their reports in batches to the leader, while leaders crash.
#[test]
fn with_distributed_workers_no_invariant_is_violated_under_random_faults() {
    let mut forwarded = 0;
    for seed in 0..8 {
        let mut sim = Simulation::new(seed, FaultRates::MANY, 90_000);
        sim.memory_mb = 0.2;
        submit_mixed_load(&mut sim, 6);
        for at in 1..10 {
            sim.run_until(at * 10_000);
            let leader = sim.controllers.iter().flatten().find_map(Controller::cluster_state);
            let machines = leader.iter().flat_map(|state| state.machines.values());
            forwarded += machines.filter(|m| m.forwarded_by.is_some()).count();
        }
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(forwarded > 200, "{forwarded} workers report through another controller");
}

#[test]
fn an_injected_duplicate_run_is_detected() {
    let mut sim = Simulation::new(3, FaultRates::NONE, 1_000);
    submit_mixed_load(&mut sim, 6);
    sim.run_until(40_000);
    assert!(sim.violations.is_empty());
    assert!(sim.inject_duplicate_run(), "a task runs and there is a second machine");
    sim.check_invariants();
    assert!(sim.violations.iter().any(|b| b.starts_with("ran_twice")), "{:?}", sim.violations);
}

#[test]
fn a_gang_larger_than_one_transaction_starts_together() {
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

/// Two zones cannot reach each other. If the controller of a worker's zone kept redirecting the worker to the unreachable
/// leader, it would never try the controller that reaches both zones.
#[test]
fn a_controller_that_lost_the_leader_does_not_redirect_its_own_zone_to_it() {
    let mut now = Now { monotonic: simulation::START_MS, wall_clock: 1_000_000 };
    let mut controller = Controller::new(simulation::controller_settings(1), 7, now);
    let heartbeat = Heartbeat {
        controller: "n0".into(),
        fencing_token: 9,
        is_leader: true,
        ..Heartbeat::default()
    };
    controller.handle(Event::Heartbeat(heartbeat), now);
    controller.take_actions();
    let answer = |controller: &mut Controller, machine: &str, zone: &str, now: Now| {
        let report = StatusReport {
            machine: machine.into(),
            address: String::new(),
            machine_type: "s4".into(),
            zone: zone.into(),
            spot: false,
            session: 1,
            sequence: now.monotonic,
            fencing_token: 9,
            reclaim_in_s: None,
            tasks: Vec::new(),
        };
        controller.handle(Event::StatusReport(1, Box::new(report)), now);
        controller.take_actions().into_iter().find_map(|action| match action {
            Action::Reply(1, reply) => {
                assert_eq!(reply.status, 421);
                let redirect =
                    decode::<Redirect>(&reply.body).expect("the controller sends a valid redirect");
                Some(redirect.controller.unwrap_or("next".into()))
            }
            Action::ForwardReports(_, to, _) => Some(format!("relayed to {to}")),
            _ => None,
        })
    };
    let target = |text: &str| Some(text.to_string());
    assert_eq!(answer(&mut controller, "m-1", "a", now), target("relayed to n0"));
    now.monotonic += 60_000;
    assert_eq!(answer(&mut controller, "m-1", "a", now), target("next"), "a worker of this zone");
    assert_eq!(
        answer(&mut controller, "m-2", "b", now),
        target("n0"),
        "another may reach the leader"
    );
    now.monotonic += 6_000;
    assert_eq!(
        answer(&mut controller, "m-2", "b", now),
        target("next"),
        "it reports here again, so it could not reach the leader"
    );
}
