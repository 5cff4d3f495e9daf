//! Failovers: with duplicates of old reports delivered to the new leader, with machines that have just booted, many
//! times in a few minutes and during a store outage, with a zone or all controllers unreachable for longer than a
//! lease, and with each kind of transaction applied late. Real controllers run against the simulated state service
//! and cloud.

mod common;

use common::cluster::{leader_index, tasks_killed};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use swiftsail_controller::controller::Controller;
use swiftsail_controller::job::keys;
use swiftsail_controller::machine::MessageOrder;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_simulation::simulation::{
    Fault, FaultRates, InboundFailure, NetworkPartition, START_MS, Simulation, TransactionFate,
    assert_all_jobs_over, gpu_job_body, gpu_machine_offers, job_body,
};

fn fault_count(sim: &Simulation, kind: &str) -> u64 {
    sim.fault_counts.get(kind).copied().unwrap_or(0)
}

/// Submits arrays, gangs and services, long and short ones. Some are cancelled.
fn submit_load(sim: &mut Simulation, number: u64, until_ms: u64) {
    for n in 0..number {
        let at = 500 + n * until_ms / number;
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (team, tasks) = [("red", 6), ("blue", 3), ("blue", 2)][n as usize % 3];
        let estimate_s = [8.0, 60.0, 25.0, 120.0][(n / 3) as usize % 4];
        let cancel_at = (n % 5 == 3 || shape == "service").then_some(at + 45_000 + n * 1_700);
        let body = job_body(&format!("wk-{n}"), shape, team, tasks, 2.0, estimate_s);
        sim.submit(at, cancel_at, body);
    }
}

/// The controller and leadership generation that led under each fencing token. Two leaderships under one token are a
/// violation, also of the same controller.
#[derive(Default)]
struct LeadershipHistory(BTreeMap<u64, (usize, u64)>);

impl LeadershipHistory {
    fn record_leaders(&mut self, sim: &mut Simulation) {
        for (n, node) in sim.controllers.iter().enumerate() {
            let Some(state) = node.as_ref().and_then(Controller::cluster_state) else { continue };
            let leadership = (n, state.generation);
            if *self.0.entry(state.token).or_insert(leadership) != leadership {
                sim.violations.push(format!("two leaderships under token {}", state.token));
            }
        }
    }

    /// Runs the simulation until a time, and records the leaders every 100 ms.
    fn run_until(&mut self, sim: &mut Simulation, until_ms: u64) {
        let mut at = sim.now - START_MS;
        while at < until_ms {
            at = (at + 100).min(until_ms);
            sim.run_until(at);
            self.record_leaders(sim);
        }
    }
}

/// Number of machines that have tasks and have not reported to the current leader.
fn unreported_machines_with_tasks(sim: &Simulation) -> usize {
    let state = sim.controllers.iter().flatten().find_map(Controller::cluster_state);
    let machines = state.into_iter().flat_map(|state| state.machines.values());
    machines.filter(|m| m.last_message == MessageOrder::default() && !m.tasks.is_empty()).count()
}

/// Half of all reports are duplicated, and the duplicates reach every controller just as a new leader begins, before
/// most machines have reported to it. A third of the machines cannot report at that time. A leader that took
/// duplicates for current reports would consider running tasks gone.
#[test]
fn duplicate_reports_are_no_evidence_for_a_new_leader() {
    let (mut duplicates, mut unreported) = (0, 0);
    for seed in 0..10u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 200_000, 4);
        sim.memory_mb = if seed.is_multiple_of(3) { 0.2 } else { 40.0 };
        sim.restart_delay_ms = [Some(100), None, Some(1_000)][seed as usize % 3];
        sim.add_fault_window(5_000, 130_000, Fault::DuplicatesForNextLeader(0.5));
        if seed.is_multiple_of(2) {
            sim.add_fault_window(20_000, 100_000, Fault::AnswersLost(0.2));
        }
        submit_load(&mut sim, 18, 90_000);
        let mut history = LeadershipHistory::default();
        for round in 0..7 {
            let at = 20_000 + round * 15_000 + seed * 300;
            history.run_until(&mut sim, at);
            let Some(node) = leader_index(&sim) else { continue };
            // A third of the machines cannot report for a while, or cannot be reached; or two machines hang.
            let machines: Vec<String> = sim.running_machines().into_iter().step_by(3).collect();
            match round % 3 {
                0 => sim.add_fault_window(at, 9_000, Fault::OutboundUnreachable(machines)),
                1 => sim.inbound_failures.push(InboundFailure {
                    from_ms: at,
                    for_ms: 9_000,
                    zone: None,
                    machines,
                    delivers_every: 0,
                }),
                _ => drop(sim.cluster.hang_machines(2, 9_000, sim.now)),
            }
            sim.schedule_crash(at + 10, node);
            let leaders = fault_count(&sim, "leader");
            for ms in (0..6_000).step_by(20) {
                sim.run_until(at + ms);
                if fault_count(&sim, "leader") > leaders {
                    unreported += unreported_machines_with_tasks(&sim);
                    break;
                }
            }
        }
        history.run_until(&mut sim, 150_000);
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        duplicates += fault_count(&sim, "copy for next");
    }
    assert!(duplicates > 1_500, "{duplicates} reports were duplicated");
    assert!(
        unreported > 100,
        "{unreported} machines with tasks had not reported to the new leader"
    );
}

/// Machines boot within two seconds and get tasks at once, while transactions are applied late and leaders crash. The
/// next leader finds tasks on machines that the cloud's list does not contain yet, or lists as `starting`.
#[test]
fn newly_booted_machines_survive_a_failover() {
    let (mut newly_booted, mut unlisted, mut unanswered) = (0, 0, 0);
    for seed in 0..30u64 {
        let late = [0.0, 0.03][seed as usize / 2 % 2];
        let fault_rates =
            FaultRates { message_loss: late, message_delay: late, ..FaultRates::NONE };
        let mut sim = Simulation::with_capacity(seed, fault_rates, 120_000, 8);
        sim.cluster.cloud.fixed_boot_ms = Some(2_000);
        sim.restart_delay_ms = [Some(200), None][seed as usize % 2];
        sim.add_fault_window(3_000, 100_000, Fault::TransactionsLate(0.25));
        if seed.is_multiple_of(3) {
            sim.add_fault_window(3_000, 100_000, Fault::AnswersLost(0.2));
        }
        submit_load(&mut sim, 10, 60_000);
        let mut history = LeadershipHistory::default();
        for n in 0..6u64 {
            // A burst that needs new machines. The leader crashes as soon as one of them has tasks.
            let at = 8_000 + n * 16_000;
            let id = format!("wk-n{n}");
            sim.submit(
                at,
                None,
                job_body(&id, ["array", "gang"][n as usize % 2], "blue", 5, 4.0, 14.0),
            );
            for ms in (0..7_000).step_by(50) {
                sim.run_until(at + ms);
                history.record_leaders(&mut sim);
                let Some(node) = leader_index(&sim).filter(|_| ms > 500) else { continue };
                let now = sim.now;
                let fresh = sim.cluster.workers.values().filter(|w| {
                    !w.is_terminated
                        && w.up_at <= now
                        && now < w.up_at + 3_000
                        && !w.tasks.is_empty()
                });
                let fresh: Vec<String> = fresh.map(|w| w.name.clone()).collect();
                // In every third round it also crashes as soon as a provisioning request is open.
                let state = sim.controllers[node].as_ref().and_then(Controller::cluster_state);
                let open_requests = state.map_or(0, |s| s.provisioning.open_requests().count());
                if fresh.is_empty() && (n % 3 != 2 || open_requests == 0) {
                    continue;
                }
                unanswered += open_requests;
                newly_booted += fresh.len();
                let list = sim.cluster.cloud.list_machines(None, 500, now);
                let running = |name: &String| {
                    let listed = list.machines.iter().find(|b| b.name == *name);
                    listed.is_some_and(|b| {
                        b.status == swiftsail_protocol::cloud::ListedMachineStatus::Running
                    })
                };
                unlisted += fresh.iter().filter(|name| !running(name)).count();
                sim.schedule_crash(at + ms + 10, node);
                break;
            }
        }
        history.run_until(&mut sim, 120_000);
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(newly_booted > 40, "{newly_booted} machines had tasks within 3 s of booting");
    assert!(unlisted > 30, "{unlisted} of them were not listed as running when the leader crashed");
    assert!(unanswered > 20, "{unanswered} provisioning requests were unanswered then");
}

/// Messages of workers to the next leader are delayed until it leads and has bound tasks on the basis of reports that
/// other controllers forwarded. Then the delayed reports arrive.
#[test]
fn delayed_reports_reach_a_new_leader_that_has_bound_tasks() {
    let (mut delayed, mut bound) = (0, 0);
    for seed in 0..10u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 200_000, 4);
        sim.restart_delay_ms = Some(3_500);
        submit_load(&mut sim, 18, 60_000);
        let mut history = LeadershipHistory::default();
        history.run_until(&mut sim, 40_000);
        let old = leader_index(&sim).expect("there is a leader");
        let next = (old + 1 + seed as usize % 2) % 3;
        let partition = NetworkPartition::of(next, 40_000, 15_000);
        sim.partitions.push(NetworkPartition { workers: true, holds_messages: true, ..partition });
        (0..3).filter(|n| *n != next).for_each(|n| sim.schedule_crash(40_500, n));
        history.run_until(&mut sim, 54_900);
        let attempts = |sim: &Simulation| {
            let state = sim.controllers[next].as_ref().and_then(Controller::cluster_state);
            state.map_or(0, |state| state.last_attempt_number() - (state.token << 24))
        };
        let (delivered_before, attempts_before) = (sim.duplicates_delivered, attempts(&sim));
        history.run_until(&mut sim, 56_000);
        if leader_index(&sim) == Some(next) && attempts_before > 0 {
            delayed += sim.duplicates_delivered - delivered_before;
            bound += attempts_before;
        }
        history.run_until(&mut sim, 120_000);
        sim.run_until(400_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(
        delayed > 60 && bound > 20,
        "{delayed} delayed reports reached leaders that had bound {bound} tasks"
    );
}

fn operator_with_records() -> OperatorSettings {
    let text = "[loans]\ndurable = true\n[amounts]\ndurable = true\n[dispatch]\nversion = 1\n\
        [tiers]\nversion = 1\n[[tiers.tier]]\nname = \"core\"\nwhen = \"job.priority == \\\"production\\\"\"\nordered = true\n";
    OperatorSettings::parse("records", text).expect("valid operator settings")
}

/// Submits fine-tuning gangs that borrow GPUs, and later services that reclaim them, so that loans open and close
/// throughout the run.
fn submit_borrowing_load(sim: &mut Simulation) {
    for n in 0..4 {
        let id = format!("wk-t{n}");
        sim.submit(500 + n * 900, None, gpu_job_body(&id, "gang", "tuning", 2, 1.0, 200.0));
    }
    for n in 0..3 {
        let mut body = gpu_job_body(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
        body["scatter"] = false.into();
        sim.submit(75_000 + n * 2_000, Some(135_000 + n * 4_000), body);
    }
}

/// Asserts that every controller knows exactly the stored records, that no loans are left, and that all quota of each
/// team's limit is either free or held. To be called after all faults have ended.
fn assert_records_consistent(sim: &Simulation, context: &str) {
    let page = sim.store.list(keys::REPLICATED_RECORDS, None, 1_000);
    let stored: BTreeSet<String> = page
        .entries
        .iter()
        .filter_map(|p| Some(p.key.strip_prefix(keys::REPLICATED_RECORDS)?.into()))
        .collect();
    for (n, node) in sim.controllers.iter().enumerate() {
        let Some(node) = node else { continue };
        let known: BTreeSet<String> = node.record_keys().into_iter().collect();
        assert_eq!(known, stored, "{context}: records known to controller {n}, and stored ones");
    }
    assert!(!stored.iter().any(|k| k.starts_with("loan/")), "{context}: {stored:?}");
    let pool = sim.store.get("amount/0/pool").map(|p| p.value.clone()).unwrap_or_default();
    let all = sim.store.get("amount/0/of/all").map(|p| p.value.clone()).unwrap_or_default();
    let teams = pool["teams"].as_object().cloned().unwrap_or_default();
    assert!(!teams.is_empty(), "{context}: {pool}");
    for (team, account) in teams {
        for resource in ["cpus", "gpus"] {
            let amount = |v: &Value| v[resource].as_i64().unwrap_or(0);
            let sum = amount(&account["free"]) + amount(&all["has"][&team]);
            let limit = amount(&account["limit"]);
            assert_eq!(sum, limit, "{context}: {resource} of {team}: {account} and {all}");
        }
    }
}

/// Leaders crash or lose the state service every few seconds for two minutes and restart after 100 ms or later, also
/// during a store outage, while GPU loans are in every stage. Fencing tokens only rise, the replicated records stay
/// consistent, and every job ends.
#[test]
fn repeated_failovers_in_two_minutes() {
    let (mut leaders, mut lent, mut in_outage) = (0, 0, 0);
    for seed in 0..9u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = match seed % 3 {
            0 => Simulation::with_offers(seed, FaultRates::NONE, 300_000, gpu_machine_offers(1)),
            _ => Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 4),
        };
        sim.operator = operator_with_records();
        sim.restart_delay_ms = [Some(100), Some(200), None][(seed / 3) as usize];
        match seed % 3 {
            0 => submit_borrowing_load(&mut sim),
            _ => submit_load(&mut sim, 16, 100_000),
        }
        if seed % 2 == 1 {
            sim.schedule_store_outage(62_000, 24_000);
        }
        if seed % 3 == 2 {
            sim.schedule_store_slowdown(30_000, 40_000);
        }
        let mut history = LeadershipHistory::default();
        let mut at = 40_000;
        while at < 160_000 {
            history.run_until(&mut sim, at);
            lent += sim
                .controllers
                .iter()
                .flatten()
                .filter_map(Controller::cluster_state)
                .map(|t| t.gpu_loans.open_loan_count())
                .sum::<usize>();
            match (leader_index(&sim), rng.random_range(0..5)) {
                (_, 0) => (0..3).for_each(|n| sim.schedule_crash(at + n as u64 * 90, n)),
                (Some(node), 1) => {
                    // The leader loses leadership but keeps running, and can campaign again afterwards.
                    let partition = NetworkPartition::of(node, at, rng.random_range(2_600..5_000));
                    sim.partitions.push(NetworkPartition {
                        store: true,
                        holds_messages: rng.random_bool(0.5),
                        ..partition
                    });
                }
                (Some(node), _) => sim.schedule_crash(at, node),
                (None, _) => {}
            }
            in_outage += usize::from(seed % 2 == 1 && (62_000..86_000).contains(&at));
            at += rng.random_range(4_000..11_000);
        }
        history.run_until(&mut sim, 180_000);
        sim.faults_end_ms = Some(180_000);
        sim.run_until(600_000);
        leaders += history.0.len();
        assert!(history.0.len() >= 7, "seed {seed}: {} leaders", history.0.len());
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let open: Vec<&str> =
            sim.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records_consistent(&sim, &format!("seed {seed}"));
    }
    assert!(leaders >= 100 && lent > 0 && in_outage > 5, "{leaders}, {lent}, {in_outage}");
}

/// A zone with workers and one controller, the leader or another, is partitioned off for longer than a worker's
/// lease; or all controllers are paused or unreachable for that long. Arrays and gangs start again, and no task runs
/// twice.
#[test]
fn a_zone_or_all_controllers_unreachable_for_longer_than_a_lease() {
    let (mut zone_cuts, mut killed, mut unreachable_runs) = (0, 0, 0);
    for seed in 0..12u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 5);
        sim.restart_delay_ms = [Some(200), Some(16_000), None][seed as usize % 3];
        submit_load(&mut sim, 18, 90_000);
        sim.run_until(45_000);
        let mut history = LeadershipHistory::default();
        let leader = leader_index(&sim).expect("there is a leader");
        match seed % 4 {
            0 | 1 => {
                let node = if seed.is_multiple_of(4) { leader } else { (leader + 1) % 3 };
                let zone = ["a", "b", "c"][seed as usize / 4].to_string();
                sim.add_fault_window(
                    45_000,
                    12_000 + seed * 3_000,
                    Fault::ZonePartition { zone, controller: node },
                );
                sim.schedule_crash(58_000, (node + 1) % 3);
            }
            2 => (0..3).for_each(|n| sim.schedule_pause(45_000, n, 13_000 + seed * 400)),
            _ => {
                for n in 0..3 {
                    let partition = NetworkPartition::of(n, 45_000, 14_000 + seed * 400);
                    sim.partitions.push(NetworkPartition {
                        workers: true,
                        holds_messages: seed > 6,
                        ..partition
                    });
                }
                sim.schedule_crash(59_000, leader);
            }
        }
        history.run_until(&mut sim, 57_000);
        unreachable_runs += usize::from(seed % 4 > 1);
        history.run_until(&mut sim, 130_000);
        sim.faults_end_ms = Some(130_000);
        sim.run_until(500_000);
        zone_cuts += fault_count(&sim, "zone cut");
        killed += tasks_killed(&sim);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(zone_cuts > 100 && unreachable_runs == 6, "{zone_cuts}, {unreachable_runs}");
    assert!(killed > 60, "{killed} tasks were killed when their worker's lease ended");
}

// ---- transactions that are applied late, by kind ----------------------------------------------

/// The kind of a transaction, as listed in docs/meetings.md.
fn transaction_kind(transaction: &Transaction) -> &'static str {
    let first = transaction.mutations.first();
    let (key, value) = match first {
        Some(Mutation::Put { key, value, .. }) => (key.as_str(), Some(value)),
        Some(Mutation::Delete { key }) => (key.as_str(), None),
        None => return "empty",
    };
    let needs_leadership = transaction.preconditions.iter().any(|p| p.key == keys::LEADER);
    let has_prefix = |prefix: &str| key.starts_with(prefix);
    match value {
        Some(_) if key == keys::LEADER => "leader's key",
        Some(_) if has_prefix(keys::JOBS) && needs_leadership => "end",
        Some(value) if has_prefix(keys::JOBS) && value["x"].as_bool() == Some(true) => {
            "cancellation"
        }
        Some(_) if has_prefix(keys::JOBS) => "acceptance",
        Some(_) if has_prefix(keys::SHEETS) => "binding",
        Some(_) if has_prefix(keys::BINDINGS) => "chunk",
        None if has_prefix(keys::JOBS) => "move",
        None if has_prefix(keys::BINDINGS) => "sweep",
        Some(_) if key == keys::MACHINE_TYPES => "types",
        _ if has_prefix("order/loan") => "loan",
        _ if has_prefix(keys::REPLICATED_RECORDS) => "tiers and arrivals",
        _ if has_prefix("amount/") => "amounts",
        _ => "other",
    }
}

/// Number of transactions by kind that lost their response or were applied late.
type LateTransactions = Rc<RefCell<BTreeMap<&'static str, u64>>>;

/// Until `until_ms`, half of the transactions of these kinds get no response: a third of those are applied at once,
/// and the others 2 to 9 s later.
fn delay_transactions(
    sim: &mut Simulation,
    kinds: &'static [&'static str],
    seed: u64,
    until_ms: u64,
) -> LateTransactions {
    let late: LateTransactions = Rc::default();
    let (counts, mut rng) = (late.clone(), StdRng::seed_from_u64(seed));
    sim.transaction_interceptor = Some(Box::new(move |ms, _, transaction| {
        let kind = transaction_kind(transaction);
        if ms > until_ms || !kinds.contains(&kind) || rng.random_bool(0.5) {
            return TransactionFate::AsConfigured;
        }
        *counts.borrow_mut().entry(kind).or_default() += 1;
        match rng.random_range(0..3) {
            0 => TransactionFate::AnswerLost,
            _ => TransactionFate::AppliedLate(rng.random_range(2_000..9_000)),
        }
    }));
    late
}

const TRANSACTION_KINDS: [&[&str]; 6] = [
    &["acceptance", "cancellation"],
    &["binding"],
    &["chunk", "sweep"],
    &["end", "move"],
    &["leader's key", "types"],
    &["binding", "chunk", "end"],
];

/// Each kind of transaction is applied late or loses its response, while leaders crash and jobs are cancelled.
#[test]
fn each_kind_of_transaction_is_applied_late() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..72u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 4);
        sim.restart_delay_ms = [Some(100), None][(seed / 6) as usize % 2];
        let late_in_run =
            delay_transactions(&mut sim, TRANSACTION_KINDS[seed as usize % 6], seed, 130_000);
        submit_load(&mut sim, 14, 90_000);
        // A job with many tasks in few chunks, so that chunks are written.
        sim.submit(4_000, None, job_body("wk-many", "array", "blue", 40, 0.5, 9.0));
        let mut history = LeadershipHistory::default();
        for n in 1..6 {
            let at = n * 22_000 + seed * 130;
            history.run_until(&mut sim, at);
            if let Some(node) = leader_index(&sim) {
                sim.schedule_crash(at, node);
            }
        }
        history.run_until(&mut sim, 150_000);
        sim.faults_end_ms = Some(150_000);
        sim.run_until(450_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        for (kind, n) in late_in_run.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    for kind in TRANSACTION_KINDS.iter().flat_map(|k| k.iter()).filter(|k| **k != "types") {
        assert!(late.get(kind).is_some_and(|n| *n >= 10), "{kind}: {late:?}");
    }
}

/// The same for the records of tiers, arrivals, GPU loans and quota amounts.
#[test]
fn records_written_late_stay_consistent() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..8u64 {
        let mut sim =
            Simulation::with_offers(seed, FaultRates::NONE, 300_000, gpu_machine_offers(1));
        sim.operator = operator_with_records();
        sim.restart_delay_ms = [Some(100), None][seed as usize % 2];
        const RECORD_KINDS: &[&str] = &["loan", "tiers and arrivals", "amounts"];
        let late_in_run = delay_transactions(&mut sim, RECORD_KINDS, seed, 170_000);
        submit_borrowing_load(&mut sim);
        // One controller's settings have a lower limit at times, so that quota is transferred.
        sim.team_red_limits[seed as usize % 3] = 24.0;
        let mut history = LeadershipHistory::default();
        for n in 1..8 {
            let at = n * 21_000 + seed * 170;
            history.run_until(&mut sim, at);
            sim.team_red_limits[seed as usize % 3] = [40.0, 24.0][n as usize % 2];
            let node =
                if n.is_multiple_of(2) { leader_index(&sim) } else { Some(seed as usize % 3) };
            if let Some(node) = node {
                sim.schedule_crash(at, node);
            }
        }
        sim.team_red_limits = [40.0; 3];
        (0..3).for_each(|n| sim.schedule_crash(175_000 + n as u64 * 4_000, n));
        history.run_until(&mut sim, 190_000);
        sim.faults_end_ms = Some(190_000);
        sim.run_until(700_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let open: Vec<&str> =
            sim.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records_consistent(&sim, &format!("seed {seed}"));
        for (kind, n) in late_in_run.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    assert!(late.values().all(|n| *n >= 10) && late.len() == 3, "{late:?}");
}

/// Jobs of two or three tasks whose tasks end far apart, some before and some after a failover, while transactions of
/// these jobs are applied late.
#[test]
fn tasks_of_a_job_end_under_different_leaders() {
    let (mut partly_done, mut late_transactions) = (0, 0);
    for seed in 0..24u64 {
        // Six machines with room for one task each, so that the tasks of a job run one after another.
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 1);
        sim.restart_delay_ms = [Some(100), Some(1_000), None][seed as usize % 3];
        let late = delay_transactions(&mut sim, &["binding", "chunk", "end"], seed, 200_000);
        for n in 0..7u64 {
            let shape = if n % 4 == 3 { "gang" } else { "array" };
            let tasks = if shape == "gang" { 2 } else { 2 + n as u32 % 2 };
            let cancel_at = (n == 5).then_some(70_000);
            let body =
                job_body(&format!("wk-{n}"), shape, "blue", tasks, 8.0, 8.0 + n as f64 * 4.0);
            sim.submit(500 + n * 6_000, cancel_at, body);
        }
        let mut history = LeadershipHistory::default();
        for n in 1..12 {
            let at = n * 13_000 + seed * 210;
            history.run_until(&mut sim, at);
            let done = |job: &swiftsail_simulation::simulation::SimulatedJob| {
                let own = |t: &u32| sim.cluster.finished_tasks.contains(&format!("{}/{t}", job.id));
                (0..job.task_count()).filter(own).count()
            };
            let is_partly_done = |j: &&swiftsail_simulation::simulation::SimulatedJob| {
                (1..j.task_count() as usize).contains(&done(j)) && !j.is_over()
            };
            partly_done += sim.jobs.iter().filter(is_partly_done).count();
            if let Some(node) = leader_index(&sim) {
                sim.schedule_crash(at, node);
            }
        }
        history.run_until(&mut sim, 200_000);
        sim.faults_end_ms = Some(210_000);
        sim.run_until(600_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        late_transactions += late.borrow().values().sum::<u64>();
    }
    assert!(
        partly_done > 40 && late_transactions > 60,
        "{partly_done} jobs were partly done when their leader crashed, {late_transactions} \
         transactions were late"
    );
}
