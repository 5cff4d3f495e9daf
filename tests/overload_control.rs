//! Overload: budgets, pressure, the gate, duties, and whole worlds whose processors are too slow.

mod common;

use common::cluster::tasks_killed;
use common::property_tests::test_runner;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use swiftsail_controller::controller::Controller;
use swiftsail_overload_control::admission::{AdmissionGate, RequestPriority};
use swiftsail_overload_control::constants::MAX_DELEGATION_MS;
use swiftsail_overload_control::constants::{
    BASE_MEMORY_MB, ELEVATED_DELAY_MS, MAX_MACHINE_LOAD, MAX_SAVED_RETRIES, MB, MIN_MACHINES,
    MIN_RETRIES_PER_S, OVERLOADED_DELAY_MS, REQUEST_BYTES, UNKNOWN_BODY_BYTES,
};
use swiftsail_overload_control::delegated_answering::{DelegatedAnswering, DelegationEvent};
use swiftsail_overload_control::fleet_limit::{CpuLoad, FleetLimit, max_machines};
use swiftsail_overload_control::load_level::{LoadLevel, LoadMonitor};
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_overload_control::retry_budget::{RetryBudget, backoff_ms};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body, submit_mixed_load};

const URGENCIES: [RequestPriority; 5] = [
    RequestPriority::Controllers,
    RequestPriority::Reports,
    RequestPriority::Cancellations,
    RequestPriority::Polls,
    RequestPriority::Submissions,
];

#[test]
fn the_parts_of_a_budget_fit_the_memory() {
    test_runner(9, 256)
        .run(&(12.0..4_000.0f64, 50..100_000usize), |(mem_mb, sockets)| {
            let budget = MemoryBudget::divide(mem_mb, sockets);
            let most = budget.total_bytes() as f64 / MB as f64;
            prop_assert!(
                most + BASE_MEMORY_MB <= mem_mb,
                "{} MB of {}",
                most + BASE_MEMORY_MB,
                mem_mb
            );
            prop_assert!(budget.connections <= sockets);
            Ok(())
        })
        .unwrap();
}

/// Whatever floods the gate, its bytes are never more than its share, and what is more urgent is let in
/// wherever what is less urgent would be.
#[test]
fn a_flood_fills_no_more_than_the_gate_allows_and_the_urgent_get_in() {
    let request = (0..5usize, proptest::option::of(0..200_000usize), any::<bool>());
    test_runner(9, 256)
        .run(&prop::collection::vec(request, 1..400), |requests| {
            let most = 40 * UNKNOWN_BODY_BYTES;
            let mut gate = AdmissionGate::new(most);
            let mut inside = Vec::new();
            for (urgency, length, leaves) in requests {
                let mut twin = AdmissionGate::new(most);
                for bytes in &inside {
                    // Filled alike, as a controller's request may fill it.
                    let body = bytes - REQUEST_BYTES;
                    prop_assert!(
                        twin.try_admit(RequestPriority::Controllers, Some(body), LoadLevel::Normal)
                            .is_some()
                    );
                }
                let urgent =
                    twin.try_admit(RequestPriority::Controllers, length, LoadLevel::Overloaded);
                let entered = gate.try_admit(URGENCIES[urgency], length, LoadLevel::Overloaded);
                prop_assert!(entered.is_none() || urgent.is_some());
                prop_assert!(entered.is_none() || URGENCIES[urgency] < RequestPriority::Polls);
                inside.extend(entered);
                prop_assert!(gate.admitted_bytes() <= most);
                if leaves && let Some(bytes) = inside.pop() {
                    gate.release(bytes);
                }
                prop_assert_eq!(gate.admitted_bytes(), inside.iter().sum::<usize>());
            }
            Ok(())
        })
        .unwrap();
}

/// A pass that takes long delays some steps; only what stands for a whole interval is pressure.
#[test]
fn pressure_follows_what_stands_and_not_a_single_delay() {
    let mut pressure = LoadMonitor::new(0);
    let mut now = 0;
    let mut feel = |pressure: &mut LoadMonitor, delays: &[u64]| {
        for delay in delays {
            now += 100;
            pressure.record_delay(*delay, now);
        }
        pressure.level()
    };
    let calm = [0; 10];
    assert_eq!(feel(&mut pressure, &[0, 0, 2_500, 2_400, 0, 0, 0, 0, 0, 0]), LoadLevel::Normal);
    assert_eq!(feel(&mut pressure, &[ELEVATED_DELAY_MS + 1; 10]), LoadLevel::Elevated);
    assert!(pressure.scaled_work(300) < 300 && pressure.scaled_work(1) == 1);
    assert_eq!(feel(&mut pressure, &[OVERLOADED_DELAY_MS + 1; 10]), LoadLevel::Overloaded);
    assert!(pressure.scaled_period_ms(100) > 200 && pressure.retry_after_s(1.0) > 1);
    assert_eq!(feel(&mut pressure, &calm), LoadLevel::Overloaded, "not all comes back at once");
    assert_eq!(feel(&mut pressure, &[calm, calm].concat()), LoadLevel::Elevated);
    assert_eq!(feel(&mut pressure, &[calm, calm].concat()), LoadLevel::Elevated);
    assert_eq!(feel(&mut pressure, &calm), LoadLevel::Normal);
    assert_eq!(pressure.scaled_work(300), 300);
}

/// Whatever comes in whatever order, a duty never lasts longer than its grants, counted from when the
/// messages left, and none outlives a newer leader's.
#[test]
fn a_duty_never_lasts_longer_than_it_was_granted() {
    let step = (0..4u8, 1..4u64, 0..6_000u64, 0..MAX_DELEGATION_MS);
    test_runner(9, 256)
        .run(&prop::collection::vec(step, 1..60), |steps| {
            let (mut duty, mut now, mut granted) =
                (DelegatedAnswering::default(), 10_000u64, Vec::new());
            for (what, token, age, for_ms) in steps {
                now += 100;
                let sent = now - age;
                match what {
                    0 | 1 => {
                        duty.apply_event(DelegationEvent::Granted {
                            fencing_token: token,
                            sent_at: sent,
                            duration_ms: for_ms,
                        });
                        granted.push((token, sent + for_ms));
                    }
                    2 => duty.apply_event(DelegationEvent::TimePassed(now)),
                    _ => {
                        duty.apply_event(DelegationEvent::Invalidated);
                        granted.clear();
                        prop_assert_eq!(duty.valid_fencing_token(now), None);
                    }
                }
                if let Some(token) = duty.valid_fencing_token(now) {
                    prop_assert!(granted.iter().any(|(t, until)| *t == token && now < *until));
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn machines_are_bounded_by_what_runs_out_first() {
    let most = |loads: &[f64]| max_machines(1_000, loads, 9_000, 3, 1_500, 5_000);
    assert_eq!(
        most(&[0.1, 0.05]),
        (2_800, FleetLimit::Connections),
        "two must hold all that three do"
    );
    let (led, bound) = most(&[0.1, 2.0 * MAX_MACHINE_LOAD]);
    assert_eq!((led, bound), (500, FleetLimit::Processor), "the busiest decides");
    assert_eq!(max_machines(1_000, &[], 9_000, 3, 1_500, 700), (700, FleetLimit::ClusterState));
    assert_eq!(max_machines(10, &[50.0], 9, 1, 20, 20).0, MIN_MACHINES);
    assert_eq!(
        max_machines(0, &[], 400, 3, 1_500, 700),
        (400, FleetLimit::Processor),
        "not known yet"
    );
    let mut load = CpuLoad::default();
    load.record(1.0, 5_000.0);
    assert_eq!(load.share(), None, "some seconds at full load say nothing");
    for _ in 0..60 {
        load.record(0.2, 5_000.0);
    }
    assert!(load.share().is_some_and(|s| (s - 0.2).abs() < 0.01));
    load.record(f64::NAN, 1.0);
    assert!(load.share().is_some_and(f64::is_finite));
}

#[test]
fn repeats_are_a_small_part_of_the_calls_and_never_end() {
    let mut budget = RetryBudget::new(0);
    // A minute in which everything fails, tried a hundred times a second.
    let taken = (0..6_000u64).filter(|n| budget.try_take(n * 10)).count() as f64;
    assert!(taken <= MAX_SAVED_RETRIES + 60.0 * MIN_RETRIES_PER_S + 1.0, "{taken}");
    assert!(taken >= 60.0 * MIN_RETRIES_PER_S - 1.0, "{taken}");
    let mut rng = StdRng::seed_from_u64(7);
    for tries in [0, 1, 3, 40, u32::MAX] {
        let whole = (200u64 << tries.min(16)).min(1_500);
        let pause = backoff_ms(200, tries, 1_500, &mut rng);
        assert!((whole / 2..=whole).contains(&pause), "{pause} after {tries} tries");
    }
}

/// Arrays that want some hundreds of machines, and services.
fn submit_overload(world: &mut Simulation, arrays: u64, tasks: u32) {
    for n in 0..arrays {
        world.submit(
            500 + n * 500,
            None,
            job_body(&format!("wk-x{n}"), "array", "blue", tasks, 2.0, 25.0),
        );
        world.submit(
            200 + n * 300,
            None,
            job_body(&format!("wk-y{n}"), "service", "blue", 2, 1.0, 0.0),
        );
    }
}

fn assert_all_served(world: &Simulation, what: &str) {
    assert!(world.violations.is_empty(), "{what}: {:?}", world.violations);
    for job in world.jobs.iter().filter(|j| j.cancel_at.is_none()) {
        let last = job.last_status.as_deref().unwrap_or("no answer");
        let fine = last == if job.text_field("shape") == "service" { "running" } else { "done" };
        assert!(fine, "{what}: {} ended as {last}: {}", job.id, world.describe_job(&job.id));
    }
}

/// The machines that the jobs could use would report more often than these processors can answer. None
/// loses its lease: no more are rented than can be led, and every job ends all the same.
#[test]
fn no_lease_dies_where_more_machines_are_wanted_than_can_be_led() {
    let mut world = Simulation::with_capacity(1, FaultRates::NONE, 1_000, 60);
    world.cores_per_controller = Some(0.003);
    world.memory_mb = 40.0;
    submit_overload(&mut world, 10, 600);
    let mut most = 0;
    for at in 1..=40 {
        world.run_until(at * 5_000);
        let leader = world.controllers.iter().flatten().find_map(Controller::cluster_state);
        most = most.max(leader.map_or(0, |l| l.machines.len()));
    }
    world.run_until(900_000);
    assert_eq!(tasks_killed(&world), 0, "tasks killed by their lease, {most} machines at most");
    assert!(most > 150, "{most} machines: the day is not large enough to say anything");
    assert_all_served(&world, "more than can be led");
}

/// Slow processors, and controllers that crash in the midst of it, two at once: no rule breaks, and all
/// comes back by itself.
#[test]
fn overload_with_crashes_breaks_no_rule_and_is_left() {
    let rough =
        FaultRates { message_loss: 0.02, message_delay: 0.005, crashes: 3, outages_and_hangs: 1 };
    let mut pressed = 0;
    for seed in 0..6 {
        let mut world = Simulation::with_capacity(seed, rough, 60_000, 20);
        world.cores_per_controller = Some(0.0017);
        world.memory_mb = 3.0;
        submit_mixed_load(&mut world, 3);
        submit_overload(&mut world, 4, 300);
        for node in 0..3 {
            world.schedule_crash(30_000, node);
        }
        for at in 1..=140 {
            world.run_until(at * 5_000);
            pressed += world
                .controllers
                .iter()
                .flatten()
                .filter(|n| n.load_level() > LoadLevel::Normal)
                .count();
        }
        assert_all_served(&world, &format!("seed {seed}"));
    }
    assert!(pressed > 10, "pressed {pressed} times: the days were too easy");
}
