//! Overload control: memory budget, load level, admission, delegated answering, fleet limit, retries, and simulations of
//! the whole system with processors that are too slow.

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

const PRIORITIES: [RequestPriority; 5] = [
    RequestPriority::Controllers,
    RequestPriority::Reports,
    RequestPriority::Cancellations,
    RequestPriority::Polls,
    RequestPriority::Submissions,
];

#[test]
fn memory_budget_fits_available_memory() {
    test_runner(9, 256)
        .run(&(12.0..4_000.0f64, 50..100_000usize), |(mem_mb, sockets)| {
            let budget = MemoryBudget::divide(mem_mb, sockets);
            let total_mb = budget.total_bytes() as f64 / MB as f64;
            prop_assert!(
                total_mb + BASE_MEMORY_MB <= mem_mb,
                "{} MB of {}",
                total_mb + BASE_MEMORY_MB,
                mem_mb
            );
            prop_assert!(budget.connections <= sockets);
            Ok(())
        })
        .unwrap();
}

/// Admitted requests never hold more bytes than the gate allows, and a request of the highest priority is admitted
/// whenever one of a lower priority is.
#[test]
fn admission_is_bounded_and_favors_high_priority() {
    let request = (0..5usize, proptest::option::of(0..200_000usize), any::<bool>());
    test_runner(9, 256)
        .run(&prop::collection::vec(request, 1..400), |requests| {
            let max_bytes = 40 * UNKNOWN_BODY_BYTES;
            let mut gate = AdmissionGate::new(max_bytes);
            let mut admitted = Vec::new();
            for (priority, length, releases) in requests {
                let mut copy = AdmissionGate::new(max_bytes);
                for bytes in &admitted {
                    // Filled to the same level, by requests of the highest priority.
                    let body = bytes - REQUEST_BYTES;
                    prop_assert!(
                        copy.try_admit(RequestPriority::Controllers, Some(body), LoadLevel::Normal)
                            .is_some()
                    );
                }
                let highest =
                    copy.try_admit(RequestPriority::Controllers, length, LoadLevel::Overloaded);
                let result = gate.try_admit(PRIORITIES[priority], length, LoadLevel::Overloaded);
                prop_assert!(result.is_none() || highest.is_some());
                prop_assert!(result.is_none() || PRIORITIES[priority] < RequestPriority::Polls);
                admitted.extend(result);
                prop_assert!(gate.admitted_bytes() <= max_bytes);
                if releases && let Some(bytes) = admitted.pop() {
                    gate.release(bytes);
                }
                prop_assert_eq!(gate.admitted_bytes(), admitted.iter().sum::<usize>());
            }
            Ok(())
        })
        .unwrap();
}

/// A long scheduling cycle delays some events. Only a delay that persists for a whole interval raises the load level.
#[test]
fn load_level_follows_standing_delay() {
    let mut monitor = LoadMonitor::new(0);
    let mut now = 0;
    let mut record = |monitor: &mut LoadMonitor, delays: &[u64]| {
        for delay in delays {
            now += 100;
            monitor.record_delay(*delay, now);
        }
        monitor.level()
    };
    let no_delay = [0; 10];
    assert_eq!(record(&mut monitor, &[0, 0, 2_500, 2_400, 0, 0, 0, 0, 0, 0]), LoadLevel::Normal);
    assert_eq!(record(&mut monitor, &[ELEVATED_DELAY_MS + 1; 10]), LoadLevel::Elevated);
    assert!(monitor.scaled_work(300) < 300 && monitor.scaled_work(1) == 1);
    assert_eq!(record(&mut monitor, &[OVERLOADED_DELAY_MS + 1; 10]), LoadLevel::Overloaded);
    assert!(monitor.scaled_period_ms(100) > 200 && monitor.retry_after_s(1.0) > 1);
    assert_eq!(
        record(&mut monitor, &no_delay),
        LoadLevel::Overloaded,
        "the level falls only after several intervals"
    );
    assert_eq!(record(&mut monitor, &[no_delay, no_delay].concat()), LoadLevel::Elevated);
    assert_eq!(record(&mut monitor, &[no_delay, no_delay].concat()), LoadLevel::Elevated);
    assert_eq!(record(&mut monitor, &no_delay), LoadLevel::Normal);
    assert_eq!(monitor.scaled_work(300), 300);
}

/// A delegation is valid only while a grant with its token is, counted from when the granting message was sent, in
/// whatever order the events arrive. It ends when it is invalidated.
#[test]
fn delegation_ends_with_its_grant() {
    let step = (0..4u8, 1..4u64, 0..6_000u64, 0..MAX_DELEGATION_MS);
    test_runner(9, 256)
        .run(&prop::collection::vec(step, 1..60), |steps| {
            let (mut delegation, mut now, mut granted) =
                (DelegatedAnswering::default(), 10_000u64, Vec::new());
            for (kind, token, age, duration_ms) in steps {
                now += 100;
                let sent_at = now - age;
                match kind {
                    0 | 1 => {
                        delegation.apply_event(DelegationEvent::Granted {
                            fencing_token: token,
                            sent_at,
                            duration_ms,
                        });
                        granted.push((token, sent_at + duration_ms));
                    }
                    2 => delegation.apply_event(DelegationEvent::TimePassed(now)),
                    _ => {
                        delegation.apply_event(DelegationEvent::Invalidated);
                        granted.clear();
                        prop_assert_eq!(delegation.valid_fencing_token(now), None);
                    }
                }
                if let Some(token) = delegation.valid_fencing_token(now) {
                    prop_assert!(granted.iter().any(|(t, until)| *t == token && now < *until));
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn machine_limit_is_set_by_scarcest_resource() {
    let limit = |loads: &[f64]| max_machines(1_000, loads, 9_000, 3, 1_500, 5_000);
    assert_eq!(
        limit(&[0.1, 0.05]),
        (2_800, FleetLimit::Connections),
        "two controllers must hold the connections of three"
    );
    assert_eq!(
        limit(&[0.1, 2.0 * MAX_MACHINE_LOAD]),
        (500, FleetLimit::Processor),
        "the highest load decides"
    );
    assert_eq!(max_machines(1_000, &[], 9_000, 3, 1_500, 700), (700, FleetLimit::ClusterState));
    assert_eq!(max_machines(10, &[50.0], 9, 1, 20, 20).0, MIN_MACHINES);
    assert_eq!(
        max_machines(0, &[], 400, 3, 1_500, 700),
        (400, FleetLimit::Processor),
        "the assumed number is used while no loads are known"
    );
    let mut load = CpuLoad::default();
    load.record(1.0, 5_000.0);
    assert_eq!(load.share(), None, "unknown until observed for the smoothing time");
    for _ in 0..60 {
        load.record(0.2, 5_000.0);
    }
    assert!(load.share().is_some_and(|s| (s - 0.2).abs() < 0.01));
    load.record(f64::NAN, 1.0);
    assert!(load.share().is_some_and(f64::is_finite));
}

#[test]
fn retries_are_limited_but_never_exhausted() {
    let mut budget = RetryBudget::new(0);
    // A minute in which all calls fail, with a hundred attempts per second.
    let taken = (0..6_000u64).filter(|n| budget.try_take(n * 10)).count() as f64;
    assert!(taken <= MAX_SAVED_RETRIES + 60.0 * MIN_RETRIES_PER_S + 1.0, "{taken}");
    assert!(taken >= 60.0 * MIN_RETRIES_PER_S - 1.0, "{taken}");
    let mut rng = StdRng::seed_from_u64(7);
    for attempts in [0, 1, 3, 40, u32::MAX] {
        let max_ms = (200u64 << attempts.min(16)).min(1_500);
        let pause_ms = backoff_ms(200, attempts, 1_500, &mut rng);
        assert!(
            (max_ms / 2..=max_ms).contains(&pause_ms),
            "{pause_ms} ms after {attempts} attempts"
        );
    }
}

/// Submits array jobs that need some hundreds of machines, and services.
fn submit_overload(simulation: &mut Simulation, arrays: u64, tasks: u32) {
    for n in 0..arrays {
        simulation.submit(
            500 + n * 500,
            None,
            job_body(&format!("wk-x{n}"), "array", "blue", tasks, 2.0, 25.0),
        );
        simulation.submit(
            200 + n * 300,
            None,
            job_body(&format!("wk-y{n}"), "service", "blue", 2, 1.0, 0.0),
        );
    }
}

fn assert_all_served(simulation: &Simulation, case: &str) {
    assert!(simulation.violations.is_empty(), "{case}: {:?}", simulation.violations);
    for job in simulation.jobs.iter().filter(|j| j.cancel_at.is_none()) {
        let last = job.last_status.as_deref().unwrap_or("no answer");
        let is_served =
            last == if job.text_field("shape") == "service" { "running" } else { "done" };
        assert!(
            is_served,
            "{case}: {} ended as {last}: {}",
            job.id,
            simulation.describe_job(&job.id)
        );
    }
}

/// The jobs could use more machines than these processors can manage. Scale-out must stop at the fleet limit: otherwise the
/// controllers could not answer all reports and workers would lose their leases. All jobs finish all the same.
#[test]
fn fleet_limit_keeps_worker_leases_alive() {
    let mut simulation = Simulation::with_capacity(1, FaultRates::NONE, 1_000, 60);
    simulation.cores_per_controller = Some(0.003);
    simulation.memory_mb = 40.0;
    submit_overload(&mut simulation, 10, 600);
    let mut max_machine_count = 0;
    for at in 1..=40 {
        simulation.run_until(at * 5_000);
        let leader = simulation.controllers.iter().flatten().find_map(Controller::cluster_state);
        max_machine_count = max_machine_count.max(leader.map_or(0, |l| l.machines.len()));
    }
    simulation.run_until(900_000);
    assert_eq!(
        tasks_killed(&simulation),
        0,
        "tasks killed because of an expired lease, with at most {max_machine_count} machines"
    );
    assert!(
        max_machine_count > 150,
        "{max_machine_count} machines: the scenario is too small to be significant"
    );
    assert_all_served(&simulation, "more machines than can be managed");
}

/// With slow processors, and crashes of all controllers at once among others, no invariant is violated, and the system
/// recovers by itself.
#[test]
fn system_recovers_from_overload_with_crashes() {
    let fault_rates =
        FaultRates { message_loss: 0.02, message_delay: 0.005, crashes: 3, outages_and_hangs: 1 };
    let mut overload_count = 0;
    for seed in 0..6 {
        let mut simulation = Simulation::with_capacity(seed, fault_rates, 60_000, 20);
        simulation.cores_per_controller = Some(0.0017);
        simulation.memory_mb = 3.0;
        submit_mixed_load(&mut simulation, 3);
        submit_overload(&mut simulation, 4, 300);
        for controller in 0..3 {
            simulation.schedule_crash(30_000, controller);
        }
        for at in 1..=140 {
            simulation.run_until(at * 5_000);
            overload_count += simulation
                .controllers
                .iter()
                .flatten()
                .filter(|n| n.load_level() > LoadLevel::Normal)
                .count();
        }
        assert_all_served(&simulation, &format!("seed {seed}"));
    }
    assert!(
        overload_count > 10,
        "load above normal {overload_count} times: the scenario is too light to be significant"
    );
}
