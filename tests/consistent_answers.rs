//! Consistency of the answers to users in simulations of the whole system: probes of all controllers within milliseconds,
//! transactions whose responses are lost, cancellations that race with completion, several one-task jobs per second, and
//! unusual requests.

mod common;

use common::cluster::leader_index;
use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use swiftsail_controller::job::keys;
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_simulation::simulation::{
    Fault, FaultRates, NetworkPartition, Simulation, TransactionFate, assert_all_jobs_over,
    job_body,
};

const SOME_FAULTS: FaultRates =
    FaultRates { message_loss: 0.02, message_delay: 0.01, crashes: 2, outages_and_hangs: 1 };

/// Purpose of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TransactionKind {
    Acceptance,
    Cancellation,
    Binding,
    LeaderKey,
    Done,
    CancelledEnd,
    RecordMove,
    Chunk,
    MachineTypes,
    Other,
}

/// Returns the purpose of a transaction, and the key that identifies it among the transactions of its kind.
fn transaction_kind(transaction: &Transaction) -> (TransactionKind, String) {
    let written = transaction.mutations.iter().filter_map(|mutation| match mutation {
        Mutation::Put { key, value, .. } => Some((key.as_str(), value)),
        Mutation::Delete { .. } => None,
    });
    let Some((key, value)) = written.min_by_key(|(key, _)| !key.starts_with(keys::JOBS)) else {
        return (TransactionKind::Other, String::new());
    };
    let kind = match key {
        keys::LEADER => TransactionKind::LeaderKey,
        keys::MACHINE_TYPES => TransactionKind::MachineTypes,
        _ if key.starts_with(keys::SHEETS) => TransactionKind::Binding,
        _ if key.starts_with(keys::BINDINGS) => TransactionKind::Chunk,
        _ if key.starts_with(keys::FINALS) => TransactionKind::RecordMove,
        _ if !key.starts_with(keys::JOBS) => TransactionKind::Other,
        _ if value["e"] == "d" => TransactionKind::Done,
        _ if value["e"] == "x" => TransactionKind::CancelledEnd,
        _ if value["x"] == true => TransactionKind::Cancellation,
        _ => TransactionKind::Acceptance,
    };
    (kind, key.to_string())
}

/// Submits `count` short jobs of all kinds over a minute. Some of them are cancelled.
fn submit_short_jobs(simulation: &mut Simulation, rng: &mut StdRng, count: u64) {
    for n in 0..count {
        let kind = ["array", "array", "gang", "array", "service"][n as usize % 5];
        let tasks = [1, 3, 2, 6, 2][n as usize % 5];
        let cancel = rng.random_bool(0.3).then(|| rng.random_range(5_000..80_000));
        let cancel = cancel.or((kind == "service").then_some(90_000));
        let team = ["red", "blue"][rng.random_range(0..2)];
        let run_s = [2.0, 8.0, 30.0][rng.random_range(0..3)];
        let id = format!("wk-{kind}{n}");
        simulation.submit(
            500 + n * 60_000 / count,
            cancel,
            job_body(&id, kind, team, tasks, 1.0, run_s),
        );
    }
}

/// Users probe all controllers within milliseconds after each change of a job's status, and some cancel at once, with and
/// without faults. No controller may answer with an older status.
#[test]
fn probes_of_all_controllers_see_no_older_status() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..10) {
        let fault_rates = if seed.is_multiple_of(2) { FaultRates::NONE } else { SOME_FAULTS };
        let mut simulation = Simulation::new(seed, fault_rates, 100_000);
        let mut rng = StdRng::seed_from_u64(seed);
        submit_short_jobs(&mut simulation, &mut rng, 40);
        simulation.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
        simulation.poll_interval_ms = 1_000;
        if seed % 3 == 0 {
            simulation.run_until(30_000);
            let leader = leader_index(&simulation).unwrap_or(0);
            simulation.schedule_crash(30_000, leader);
            simulation.schedule_crash(31_000, (leader + 1) % 3);
        }
        simulation.run_until(400_000);
        assert_all_jobs_over(&simulation, &format!("seed {seed}"));
        for (name, count) in &simulation.fault_counts {
            *counts.entry(name).or_default() += count;
        }
    }
    println!("{counts:?}");
    assert!(counts["look answered"] > 5_000, "{counts:?}");
}

/// Runs a simulation in which transactions of one kind are applied and their responses lost, for the first two times that
/// a transaction is sent, while users probe all controllers. Bindings may also be dropped, and are not limited to two
/// times. For every third seed, and always for leader keys and bindings, the leader crashes in that period.
fn run_with_lost_responses(kind: TransactionKind, seed: u64) -> (Simulation, u64) {
    let fault_rates = if seed.is_multiple_of(2) { FaultRates::NONE } else { SOME_FAULTS };
    let mut simulation = Simulation::new(seed, fault_rates, 90_000);
    let mut rng = StdRng::seed_from_u64(seed);
    submit_short_jobs(&mut simulation, &mut rng, 30);
    simulation.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
    simulation.add_fault_window(20_000, 60_000, Fault::CancelAtCompletion(0.3));
    // The number of lost responses in all, and by controller and key.
    let lost: Rc<RefCell<(u64, BTreeMap<String, u64>)>> = Rc::default();
    let recorded = lost.clone();
    let probability = if kind == TransactionKind::LeaderKey { 1.0 } else { 0.7 };
    simulation.transaction_interceptor = Some(Box::new(move |_, n, transaction| {
        let (actual_kind, key) = transaction_kind(transaction);
        let mut recorded = recorded.borrow_mut();
        let count = recorded.1.entry(format!("{n} {key}")).or_default();
        if actual_kind != kind
            || *count >= 2 && kind != TransactionKind::Binding
            || !rng.random_bool(probability)
        {
            return TransactionFate::AsConfigured;
        }
        *count += 1;
        recorded.0 += 1;
        // A binding without a response may also never be applied.
        let is_dropped = kind == TransactionKind::Binding && rng.random_bool(0.4);
        if is_dropped { TransactionFate::Dropped } else { TransactionFate::AnswerLost }
    }));
    for n in 0..3 {
        if seed.is_multiple_of(3)
            || matches!(kind, TransactionKind::LeaderKey | TransactionKind::Binding)
        {
            simulation.run_until(20_000 + n * 12_000);
            let leader = leader_index(&simulation).unwrap_or(0);
            simulation.schedule_crash(20_000 + n * 12_000, leader);
            // The next leader must read from the store what no report tells it.
            simulation.cluster.hang_machines(4, 8_000, simulation.now);
        }
    }
    simulation.run_until(110_000);
    simulation.transaction_interceptor = None;
    simulation.run_until(420_000);
    let lost = lost.borrow().0;
    (simulation, lost)
}

/// Checks that all jobs finish and all answers are consistent although responses to transactions of one kind are lost,
/// and that at least `min_lost` responses were.
fn check_lost_responses(kind: TransactionKind, min_lost: u64) {
    let mut lost = 0;
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..12) {
        let (simulation, lost_in_run) = run_with_lost_responses(kind, seed);
        assert_all_jobs_over(&simulation, &format!("{kind:?}, seed {seed}"));
        lost += lost_in_run;
    }
    println!("{kind:?}: {lost} responses lost");
    assert!(lost >= min_lost, "{kind:?}: {lost} responses lost");
}

#[test]
fn lost_acceptance_responses() {
    check_lost_responses(TransactionKind::Acceptance, 150);
}

#[test]
fn lost_cancellation_responses() {
    check_lost_responses(TransactionKind::Cancellation, 50);
}

#[test]
fn lost_binding_responses() {
    check_lost_responses(TransactionKind::Binding, 150);
}

#[test]
fn lost_leader_key_responses() {
    check_lost_responses(TransactionKind::LeaderKey, 12);
}

#[test]
fn lost_final_record_responses() {
    check_lost_responses(TransactionKind::Done, 100);
    check_lost_responses(TransactionKind::CancelledEnd, 50);
}

#[test]
fn lost_record_move_responses() {
    check_lost_responses(TransactionKind::RecordMove, 100);
}

#[test]
fn lost_chunk_responses() {
    check_lost_responses(TransactionKind::Chunk, 50);
}

/// Jobs of all kinds are cancelled at the moment at which their last task ends, while users probe all controllers and
/// responses are lost. Each job ends either as done or as cancelled, and no user is told of the other state.
#[test]
fn cancellation_racing_with_completion() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let (mut done, mut cancelled) = (0, 0);
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..16) {
        let fault_rates = if seed.is_multiple_of(2) { FaultRates::NONE } else { SOME_FAULTS };
        let mut simulation = Simulation::with_capacity(seed, fault_rates, 100_000, 20);
        for n in 0..24u64 {
            // One of them is an array of three chunks.
            let (kind, tasks) = [("array", 1), ("gang", 3), ("array", 5), ("array", 600)]
                [if n == 7 { 3 } else { n as usize % 3 }];
            let cpus = if tasks > 100 { 0.25 } else { 1.0 };
            let id = format!("wk-{kind}{n}");
            simulation.submit(500 + n * 2_000, None, job_body(&id, kind, "blue", tasks, cpus, 4.0));
        }
        simulation.add_fault_window(0, 300_000, Fault::CancelAtCompletion(0.8));
        simulation.add_fault_window(0, 300_000, Fault::ConsistencyProbes);
        simulation.add_fault_window(0, 300_000, Fault::UnusualRequests);
        match seed % 4 {
            1 => simulation.add_fault_window(10_000, 60_000, Fault::AnswersLost(0.3)),
            2 => simulation.add_fault_window(10_000, 60_000, Fault::TransactionsLate(0.3)),
            3 => simulation.schedule_store_slowdown(10_000, 60_000),
            _ => {}
        }
        simulation.run_until(40_000);
        let leader = leader_index(&simulation).unwrap_or(0);
        simulation.schedule_crash(40_000, leader);
        simulation.run_until(400_000);
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        for job in &simulation.jobs {
            assert!(
                job.is_over(),
                "seed {seed}: {} {:?} {}",
                job.id,
                job.last_status,
                simulation.describe_job(&job.id)
            );
        }
        let count = |status| {
            simulation.jobs.iter().filter(|j| j.last_status.as_deref() == Some(status)).count()
        };
        (done, cancelled) = (done + count("done"), cancelled + count("withdrawn"));
        for (name, count) in &simulation.fault_counts {
            *counts.entry(name).or_default() += count;
        }
    }
    println!("{done} done, {cancelled} cancelled: {counts:?}");
    assert!(counts["cancelled at end"] > 200 && counts["cancelled when done"] > 100, "{counts:?}");
    assert!(done > 50 && cancelled > 50, "{done} done, {cancelled} cancelled: both must occur");
}

/// Number of jobs that are cancelled in the state service and have not finished.
fn cancelled_in_store(simulation: &Simulation) -> usize {
    let page = simulation.store.list(keys::JOBS, None, 1_000);
    page.entries.iter().filter(|p| p.value["x"] == true).count()
}

/// A cancellation is committed while the leader alone cannot reach the state service, and then no controller can for longer
/// than `cancel_s`. The followers read the cancellation, also when its response is lost, and try to confirm it. It must
/// not be confirmed to its user before the leader is certain to know it, or tasks would run beyond `cancel_s`.
#[test]
fn cancellation_read_by_followers_while_leader_cannot_reach_store() {
    let (mut committed, mut confirmed) = (0, 0);
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..14) {
        let mut simulation = Simulation::new(seed, FaultRates::NONE, 1_000);
        for n in 0..24u64 {
            let id = format!("wk-a{n}");
            let cancel = Some(40_020 + n * 60);
            simulation.submit(500 + n * 100, cancel, job_body(&id, "array", "blue", 2, 1.0, 150.0));
        }
        simulation.poll_interval_ms = 400;
        simulation.run_until(40_000);
        let leader = leader_index(&simulation).expect("there is a leader");
        simulation
            .partitions
            .push(NetworkPartition { store: true, ..NetworkPartition::of(leader, 40_000, 14_000) });
        if seed % 2 == 0 {
            // Only one follower reads the cancellation, and it is cut off from its peers. The leader depends on the
            // endorsement of the other follower.
            let (isolated, other) = ((leader + 1) % 3, (leader + 2) % 3);
            simulation.partitions.push(NetworkPartition {
                store: true,
                ..NetworkPartition::of(other, 40_000, 60_000)
            });
            simulation.partitions.push(NetworkPartition {
                peers: true,
                ..NetworkPartition::of(isolated, 40_000, 60_000)
            });
        } else {
            simulation.add_fault_window(40_000, 200_000, Fault::ConsistencyProbes);
        }
        // The outage begins before the leader's lease expires, so that the isolated follower cannot become leader.
        let outage_at = [41_950, 42_400][seed as usize % 2];
        simulation.schedule_store_outage(outage_at, 57_000);
        let mut lost = Vec::new();
        simulation.transaction_interceptor = Some(Box::new(move |_, _, transaction| {
            let (kind, key) = transaction_kind(transaction);
            if kind != TransactionKind::Cancellation || seed % 2 == 0 || lost.contains(&key) {
                return TransactionFate::AsConfigured;
            }
            lost.push(key);
            TransactionFate::AnswerLost
        }));
        simulation.run_until(outage_at);
        committed += cancelled_in_store(&simulation);
        simulation.run_until(60_000);
        confirmed += simulation.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
        simulation.run_until(250_000);
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        assert!(simulation.jobs.iter().all(|j| j.is_over()), "seed {seed}");
    }
    println!("{committed} committed before the outage, {confirmed} confirmed during it");
    assert!(
        committed > 100 && confirmed > 30,
        "{committed} committed before the outage, {confirmed} confirmed during it"
    );
}

/// Time for which one-task jobs are submitted, s.
const FLOOD_DURATION_S: u64 = 150;

/// Measurements of a run with many one-task jobs.
#[derive(Debug, Default)]
struct FloodResult {
    longest_wait_ms: u64,
    max_unfinished: usize,
    max_mutations: usize,
    max_requests: usize,
    rate_limited: u64,
    unavailable_answers: BTreeMap<(u8, String, bool), u64>,
    late_jobs: usize,
}

/// Runs a simulation with four one-task jobs per second for `for_s` seconds. A quarter of them is cancelled, and the leader
/// crashes twice.
fn run_short_job_flood(
    seed: u64,
    for_s: u64,
    rps: f64,
    write_rps: f64,
    faults: &[Fault],
) -> (Simulation, FloodResult) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 25);
    simulation.limit_store(rps, write_rps);
    simulation.routes_to_healthy = true;
    for n in 0..for_s * 4 {
        let at = 5_000 + n * 250 + rng.random_range(0..250);
        let cancel = rng.random_bool(0.25).then(|| at + rng.random_range(100..15_000));
        let run_s = rng.random_range(2.0..9.0);
        simulation.submit(at, cancel, job_body(&format!("wk-{n}"), "array", "blue", 1, 1.0, run_s));
    }
    for fault in faults {
        simulation.add_fault_window(5_000, for_s * 1_000, fault.clone());
    }
    let mut flood = FloodResult::default();
    let end_ms = (for_s + 5) * 1_000;
    for second in 0..(for_s + 80) {
        let (mutations, reads) = (simulation.store.mutation_count, simulation.store.read_count);
        simulation.run_until(second * 1_000);
        flood.max_mutations = flood.max_mutations.max(simulation.store.mutation_count - mutations);
        flood.max_requests = flood.max_requests.max(simulation.store.read_count - reads);
        let state = leader_index(&simulation)
            .and_then(|n| simulation.controllers[n].as_ref()?.cluster_state());
        flood.max_unfinished =
            flood.max_unfinished.max(state.map_or(0, |state| state.unarchived_jobs.len()));
        if [end_ms / 3_000, end_ms / 2_000].contains(&second) {
            let leader = leader_index(&simulation).unwrap_or(0);
            simulation.schedule_crash(second * 1_000, leader);
        }
    }
    for job in simulation.jobs.iter().filter(|j| j.cancel_at.is_none()) {
        let Some(accepted) = job.accepted_at else { continue };
        let started = simulation.cluster.first_started_at.get(&format!("{}/0", job.id)).copied();
        let wait = started.unwrap_or(simulation.now).saturating_sub(accepted);
        flood.longest_wait_ms = flood.longest_wait_ms.max(wait);
        flood.late_jobs += usize::from(wait > 30_000);
    }
    flood.rate_limited = simulation.fault_counts.get("limited").copied().unwrap_or(0);
    flood.unavailable_answers = simulation.unavailable_answers.clone();
    (simulation, flood)
}

/// Four one-task jobs per second, with consistency probes and two leader crashes, within the rate limits of the state
/// service: no job starves, all jobs finish, and hardly any request is rejected.
#[test]
fn four_one_task_jobs_per_second() {
    let probes_only = vec![Fault::ConsistencyProbes];
    let with_store_faults =
        vec![Fault::ConsistencyProbes, Fault::AnswersLost(0.1), Fault::CancelAtCompletion(0.2)];
    let (mut answered_probes, mut rejected) = (0, 0);
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..2) {
        for (rps, write_rps) in [(150.0, 40.0), (120.0, 20.0), (120.0, 15.0)] {
            for faults in [&probes_only, &with_store_faults] {
                let (simulation, flood) =
                    run_short_job_flood(seed, FLOOD_DURATION_S, rps, write_rps, faults);
                let case = format!("seed {seed}, {write_rps} writes per second, {faults:?}");
                println!(
                    "{case}: {} keys left, {flood:?}, {:?}",
                    simulation.store.count_keys(keys::JOBS),
                    simulation.fault_counts
                );
                assert!(simulation.violations.is_empty(), "{case}: {:?}", simulation.violations);
                let unfinished: Vec<_> =
                    simulation.jobs.iter().filter(|j| !j.is_over()).map(|j| &j.id).collect();
                assert!(unfinished.is_empty(), "{case}: {unfinished:?}");
                assert!(flood.longest_wait_ms < 90_000, "{case}: {} ms", flood.longest_wait_ms);
                assert_eq!(flood.rate_limited, 0, "{case}: controllers keep within the limits");
                let unavailable: u64 = flood.unavailable_answers.values().sum();
                assert!(
                    write_rps < 30.0 || unavailable <= 4,
                    "{case}: {:?}",
                    flood.unavailable_answers
                );
                rejected += unavailable;
                answered_probes += simulation.fault_counts["look answered"];
            }
        }
    }
    println!("{answered_probes} probes answered, {rejected} requests rejected");
    assert!(answered_probes > 60_000, "{answered_probes} probes answered");
    assert!(
        rejected * 50 < answered_probes,
        "{rejected} requests rejected, {answered_probes} probes answered"
    );
}

/// Injects a fault that affects answers, for a minute or less.
fn inject_answer_fault(simulation: &mut Simulation, kind: usize, at: u64, rng: &mut StdRng) {
    let for_ms = rng.random_range(10_000..60_000);
    let fault = match kind {
        0 => Fault::AnswersLost(rng.random_range(0.1..0.6)),
        1 => Fault::TransactionsLate(rng.random_range(0.1..0.4)),
        2 => Fault::CancelAtCompletion(0.5),
        3 => Fault::UnusualRequests,
        4 => Fault::DuplicatesForNextLeader(0.3),
        _ => {
            let hang = rng.random_bool(0.5).then_some(20_000);
            return simulation.schedule_running_cancellations(at, rng.random_range(2..8), hang);
        }
    };
    simulation.add_fault_window(at, for_ms, fault);
}

/// Injects a partition, an outage, a crash, a pause or a slowdown, for half a minute or less.
fn inject_other_fault(simulation: &mut Simulation, kind: usize, at: u64, rng: &mut StdRng) {
    let controller = match leader_index(simulation).filter(|_| rng.random_bool(0.6)) {
        Some(leader) => leader,
        None => rng.random_range(0..3),
    };
    let for_ms = rng.random_range(1_000..30_000);
    let partition = NetworkPartition {
        holds_messages: rng.random_bool(0.3),
        ..NetworkPartition::of(controller, at, for_ms)
    };
    match kind {
        0 => simulation.partitions.push(NetworkPartition { store: true, ..partition }),
        1 => simulation.partitions.push(NetworkPartition { store: true, peers: true, ..partition }),
        2 => simulation.partitions.push(NetworkPartition { peers: true, ..partition }),
        3 => simulation.partitions.push(NetworkPartition { workers: true, ..partition }),
        4 => simulation.schedule_store_outage(at, for_ms),
        5 => simulation.schedule_crash(at, controller),
        6 => (0..3).for_each(|n| simulation.schedule_crash(at + rng.random_range(0..1_500), n)),
        7 => simulation.schedule_pause(at, controller, for_ms.min(25_000)),
        8 => simulation.schedule_store_slowdown(at, for_ms),
        _ => simulation.limit_store(120.0, 15.0),
    }
}

/// Runs a simulation with consistency probes and short jobs, in which faults that affect answers coincide twice with a
/// fault of another kind.
fn run_with_paired_faults(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let fault_rate = [0.0, 0.01, 0.03][seed as usize % 3];
    let fault_rates = FaultRates {
        message_loss: fault_rate,
        message_delay: fault_rate,
        crashes: 0,
        outages_and_hangs: 0,
    };
    let mut simulation = Simulation::new(seed, fault_rates, 170_000);
    simulation.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
    if rng.random_bool(0.2) {
        simulation.memory_mb = 0.2;
    }
    simulation.poll_interval_ms = 2_000;
    simulation.add_fault_window(0, 600_000, Fault::ConsistencyProbes);
    for n in 0..40u64 {
        let kind = ["array", "gang", "array", "service"][n as usize % 4];
        let (team, tasks) = [("red", 4), ("blue", 1), ("blue", 2)][rng.random_range(0..3)];
        let cancel = rng.random_bool(0.3).then(|| rng.random_range(10_000..140_000));
        let cancel = cancel.or((kind == "service").then_some(150_000));
        let run_s = [2.0, 6.0, 20.0, 60.0][rng.random_range(0..4)];
        simulation.submit(
            500 + n * 3_000,
            cancel,
            job_body(&format!("wk-{n}"), kind, team, tasks, 1.0, run_s),
        );
    }
    for at in [25_000, 80_000] {
        simulation.run_until(at);
        for _ in 0..2 {
            let (kind, after) = (rng.random_range(0..6), rng.random_range(0..3_000));
            inject_answer_fault(&mut simulation, kind, at + after, &mut rng);
        }
        let (kind, after) = (rng.random_range(0..10), rng.random_range(0..5_000));
        inject_other_fault(&mut simulation, kind, at + after, &mut rng);
    }
    simulation.faults_end_ms = Some(210_000);
    simulation.run_until(450_000);
    simulation
}

/// With consistency probes and coinciding faults, no answer shows an older status than an earlier one, no invariant is
/// violated, and every job finishes.
#[test]
fn paired_faults_with_consistency_probes() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut runs = 0;
    for seed in seeds_from_environment("ANSWERS").unwrap_or(0..32) {
        let simulation = run_with_paired_faults(seed);
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        for job in &simulation.jobs {
            assert!(
                job.is_over(),
                "seed {seed}: {} {:?} {}",
                job.id,
                job.last_status,
                simulation.describe_job(&job.id)
            );
        }
        for (name, count) in &simulation.fault_counts {
            *counts.entry(name).or_default() += count;
        }
        runs += 1;
    }
    println!("{runs} runs: {counts:?}");
    assert!(counts["look answered"] > 200 * runs, "{counts:?}");
}
