//! Leaders that change: with copies of old reports kept for the next one, under machines that have just come up, ten
//! times in two minutes and in an outage, while a zone or everybody is away for longer than a lease, and while each
//! kind of transaction comes late. On the real cores against the stand-in.

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

fn fault_count(sim: &Simulation, what: &str) -> u64 {
    sim.fault_counts.get(what).copied().unwrap_or(0)
}

/// Arrays, gangs and services, long and short, some of them cancelled.
fn submit_load(sim: &mut Simulation, number: u64, until_ms: u64) {
    for n in 0..number {
        let at = 500 + n * until_ms / number;
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (crew, tasks) = [("red", 6), ("blue", 3), ("blue", 2)][n as usize % 3];
        let eta = [8.0, 60.0, 25.0, 120.0][(n / 3) as usize % 4];
        let cancel = (n % 5 == 3 || shape == "service").then_some(at + 45_000 + n * 1_700);
        sim.submit(at, cancel, job_body(&format!("wk-{n}"), shape, crew, tasks, 2.0, eta));
    }
}

/// Under which tokens who has led: nobody twice under one, by whatever way a controller comes to lead again.
#[derive(Default)]
struct LeadershipHistory(BTreeMap<u64, (usize, u64)>);

impl LeadershipHistory {
    fn record_leaders(&mut self, sim: &mut Simulation) {
        for (n, node) in sim.controllers.iter().enumerate() {
            let Some(state) = node.as_ref().and_then(Controller::cluster_state) else { continue };
            let own = (n, state.generation);
            if *self.0.entry(state.token).or_insert(own) != own {
                sim.violations.push(format!("token {} led twice", state.token));
            }
        }
    }

    /// Lets time pass with a look every 100 ms.
    fn run_until(&mut self, sim: &mut Simulation, until_ms: u64) {
        let mut at = sim.now - START_MS;
        while at < until_ms {
            at = (at + 100).min(until_ms);
            sim.run_until(at);
            self.record_leaders(sim);
        }
    }
}

/// Machines that hold tasks and from which the leader that has just begun has heard nothing.
fn unreported_machines_with_tasks(sim: &Simulation) -> usize {
    let state = sim.controllers.iter().flatten().find_map(Controller::cluster_state);
    let machines = state.into_iter().flat_map(|t| t.machines.values());
    machines.filter(|m| m.last_message == MessageOrder::default() && !m.tasks.is_empty()).count()
}

/// Every second report is kept and comes again, to every controller, just as a new leader begins, before most machines
/// have reported to it: some of them cannot.
#[test]
fn copies_kept_for_the_next_leader_prove_nothing() {
    let (mut copies, mut first) = (0, 0);
    for seed in 0..10u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 200_000, 4);
        sim.memory_mb = if seed.is_multiple_of(3) { 0.2 } else { 40.0 };
        sim.restart_delay_ms = [Some(100), None, Some(1_000)][seed as usize % 3];
        sim.add_fault_window(5_000, 130_000, Fault::DuplicatesForNextLeader(0.5));
        if seed.is_multiple_of(2) {
            sim.add_fault_window(20_000, 100_000, Fault::AnswersLost(0.2));
        }
        submit_load(&mut sim, 18, 90_000);
        let mut leads = LeadershipHistory::default();
        for round in 0..7 {
            let at = 20_000 + round * 15_000 + seed * 300;
            leads.run_until(&mut sim, at);
            let Some(node) = leader_index(&sim) else { continue };
            // A third of the machines cannot report for a while, or hear nothing.
            let names: Vec<String> = sim.running_machines().into_iter().step_by(3).collect();
            match round % 3 {
                0 => sim.add_fault_window(at, 9_000, Fault::OutboundUnreachable(names)),
                1 => {
                    let (zone, hears_each) = (None, 0);
                    let (from_ms, for_ms) = (at, 9_000);
                    sim.inbound_failures.push(InboundFailure {
                        from_ms,
                        for_ms,
                        zone,
                        machines: names,
                        delivers_every: hears_each,
                    });
                }
                _ => drop(sim.cluster.hang_machines(2, 9_000, sim.now)),
            }
            sim.schedule_crash(at + 10, node);
            let begun = fault_count(&sim, "leader");
            for ms in (0..6_000).step_by(20) {
                sim.run_until(at + ms);
                if fault_count(&sim, "leader") > begun {
                    first += unreported_machines_with_tasks(&sim);
                    break;
                }
            }
        }
        leads.run_until(&mut sim, 150_000);
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        copies += fault_count(&sim, "copy for next");
    }
    assert!(copies > 1_500, "{copies} copies were kept");
    assert!(first > 100, "{first} machines with tasks were not heard yet as copies came");
}

/// Machines are up within two seconds and have work at once, while transactions come late and leaders end: those after
/// them meet machines that no list has yet, or as `starting`.
#[test]
fn machines_that_have_just_come_up_outlive_their_leader() {
    let (mut young, mut unlisted, mut unanswered) = (0, 0, 0);
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
        let mut leads = LeadershipHistory::default();
        for n in 0..6u64 {
            // A burst that needs new machines, and the leader ends as soon as one of them has work.
            let at = 8_000 + n * 16_000;
            let id = format!("wk-n{n}");
            sim.submit(
                at,
                None,
                job_body(&id, ["array", "gang"][n as usize % 2], "blue", 5, 4.0, 14.0),
            );
            for ms in (0..7_000).step_by(50) {
                sim.run_until(at + ms);
                leads.record_leaders(&mut sim);
                let Some(node) = leader_index(&sim).filter(|_| ms > 500) else { continue };
                let now = sim.now;
                let fresh = sim.cluster.workers.values().filter(|w| {
                    !w.is_terminated
                        && w.up_at <= now
                        && now < w.up_at + 3_000
                        && !w.tasks.is_empty()
                });
                let fresh: Vec<String> = fresh.map(|w| w.name.clone()).collect();
                // Or as soon as a rental has left that is not answered.
                let state = sim.controllers[node].as_ref().and_then(Controller::cluster_state);
                let asked = state.map_or(0, |t| t.provisioning.open_requests().count());
                if fresh.is_empty() && (n % 3 != 2 || asked == 0) {
                    continue;
                }
                unanswered += asked;
                young += fresh.len();
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
        leads.run_until(&mut sim, 120_000);
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(young > 40, "{young} machines had work within three seconds of coming up");
    assert!(unlisted > 30, "{unlisted} of them were in no list as running when the leader ended");
    assert!(unanswered > 20, "{unanswered} rentals had no answer then");
}

/// What workers send to a controller is held back, until that controller leads and has acted on what came to it by way
/// of the others: then it arrives.
#[test]
fn reports_held_back_until_the_new_leader_has_acted() {
    let (mut held, mut acted) = (0, 0);
    for seed in 0..10u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 200_000, 4);
        sim.restart_delay_ms = Some(3_500);
        submit_load(&mut sim, 18, 60_000);
        let mut leads = LeadershipHistory::default();
        leads.run_until(&mut sim, 40_000);
        let old = leader_index(&sim).expect("somebody leads");
        let next = (old + 1 + seed as usize % 2) % 3;
        let cut = NetworkPartition::of(next, 40_000, 15_000);
        sim.partitions.push(NetworkPartition { workers: true, holds_messages: true, ..cut });
        (0..3).filter(|n| *n != next).for_each(|n| sim.schedule_crash(40_500, n));
        leads.run_until(&mut sim, 54_900);
        let launches = |sim: &Simulation| {
            let state = sim.controllers[next].as_ref().and_then(Controller::cluster_state);
            state.map_or(0, |t| t.last_attempt_number() - (t.token << 24))
        };
        let (before, done) = (sim.duplicates_delivered, launches(&sim));
        leads.run_until(&mut sim, 56_000);
        if leader_index(&sim) == Some(next) && done > 0 {
            held += sim.duplicates_delivered - before;
            acted += done;
        }
        leads.run_until(&mut sim, 120_000);
        sim.run_until(400_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(held > 60 && acted > 20, "{held} reports came to leaders that had bound {acted} tasks");
}

fn operator_with_records() -> OperatorSettings {
    let text = "[loans]\ndurable = true\n[amounts]\ndurable = true\n[dispatch]\nversion = 1\n\
        [tiers]\nversion = 1\n[[tiers.tier]]\nname = \"core\"\nwhen = \"job.priority == \\\"production\\\"\"\nordered = true\n";
    OperatorSettings::parse("records", text).expect("it is sound")
}

/// Fine-tuning that has borrowed, batches, and services that take it back: loans open and close all the time.
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

/// Once all is calm each controller knows the records that there are, and loans are over where their jobs are.
fn assert_records_consistent(sim: &Simulation, what: &str) {
    let page = sim.store.list(keys::ORDER, None, 1_000);
    let there: BTreeSet<String> =
        page.entries.iter().filter_map(|p| Some(p.key.strip_prefix(keys::ORDER)?.into())).collect();
    for (n, node) in sim.controllers.iter().enumerate() {
        let Some(node) = node else { continue };
        let known: BTreeSet<String> = node.record_keys().into_iter().collect();
        assert_eq!(known, there, "{what}: what controller {n} knows, and what is there");
    }
    assert!(!there.iter().any(|k| k.starts_with("loan/")), "{what}: {there:?}");
    // Nothing of a limit is lost or made: what is free and what is held is all there is.
    let pool = sim.store.get("amount/0/pool").map(|p| p.value.clone()).unwrap_or_default();
    let all = sim.store.get("amount/0/of/all").map(|p| p.value.clone()).unwrap_or_default();
    let teams = pool["teams"].as_object().cloned().unwrap_or_default();
    assert!(!teams.is_empty(), "{what}: {pool}");
    for (team, kept) in teams {
        for part in ["cpus", "gpus"] {
            let of = |v: &Value| v[part].as_i64().unwrap_or(0);
            let sum = of(&kept["free"]) + of(&all["has"][&team]);
            assert_eq!(sum, of(&kept["limit"]), "{what}: {part} of {team}: {kept} and {all}");
        }
    }
}

/// Leaders end ten times in two minutes, back after a tenth of a second or later, also in an outage, while loans are in
/// every stage: tokens only rise, records are whole, and everything ends.
#[test]
fn ten_leaders_in_two_minutes() {
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
        let mut leads = LeadershipHistory::default();
        let mut at = 40_000;
        while at < 160_000 {
            leads.run_until(&mut sim, at);
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
                    // It hands over while it goes on, and comes back into the campaign.
                    let cut = NetworkPartition::of(node, at, rng.random_range(2_600..5_000));
                    sim.partitions.push(NetworkPartition {
                        store: true,
                        holds_messages: rng.random_bool(0.5),
                        ..cut
                    });
                }
                (Some(node), _) => sim.schedule_crash(at, node),
                (None, _) => {}
            }
            in_outage += usize::from(seed % 2 == 1 && (62_000..86_000).contains(&at));
            at += rng.random_range(4_000..11_000);
        }
        leads.run_until(&mut sim, 180_000);
        sim.faults_end_ms = Some(180_000);
        sim.run_until(600_000);
        leaders += leads.0.len();
        assert!(leads.0.len() >= 7, "seed {seed}: {} leaders", leads.0.len());
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let open: Vec<&str> =
            sim.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records_consistent(&sim, &format!("seed {seed}"));
    }
    assert!(leaders >= 100 && lent > 0 && in_outage > 5, "{leaders}, {lent}, {in_outage}");
}

/// A zone with workers and a controller is cut off for longer than a lease, the leader within it or outside; or all
/// controllers are away for longer than that: arrays and gangs begin anew, nothing runs twice.
#[test]
fn a_zone_or_everybody_away_for_longer_than_a_lease() {
    let (mut zone_cuts, mut ended, mut silent) = (0, 0, 0);
    for seed in 0..12u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 5);
        sim.restart_delay_ms = [Some(200), Some(16_000), None][seed as usize % 3];
        submit_load(&mut sim, 18, 90_000);
        sim.run_until(45_000);
        let mut leads = LeadershipHistory::default();
        let leads_now = leader_index(&sim).expect("somebody leads");
        match seed % 4 {
            0 | 1 => {
                let node = if seed.is_multiple_of(4) { leads_now } else { (leads_now + 1) % 3 };
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
                    let cut = NetworkPartition::of(n, 45_000, 14_000 + seed * 400);
                    sim.partitions.push(NetworkPartition {
                        workers: true,
                        holds_messages: seed > 6,
                        ..cut
                    });
                }
                sim.schedule_crash(59_000, leads_now);
            }
        }
        leads.run_until(&mut sim, 57_000);
        silent += usize::from(seed % 4 > 1);
        leads.run_until(&mut sim, 130_000);
        sim.faults_end_ms = Some(130_000);
        sim.run_until(500_000);
        zone_cuts += fault_count(&sim, "zone cut");
        ended += tasks_killed(&sim);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
    assert!(zone_cuts > 100 && silent == 6, "{zone_cuts}, {silent}");
    assert!(ended > 60, "{ended} tasks ended with their leases");
}

// ---- transactions that come late, one kind after the other ---------------------------------------

/// The kinds of transactions, as docs/meetings.md lists them.
fn transaction_kind(commit: &Transaction) -> &'static str {
    let first = commit.mutations.first();
    let (key, value) = match first {
        Some(Mutation::Put { key: write, value, .. }) => (write.as_str(), Some(value)),
        Some(Mutation::Delete { key: remove }) => (remove.as_str(), None),
        None => return "nothing",
    };
    let led = commit.preconditions.iter().any(|w| w.key == keys::LEADER);
    let begins = |prefix: &str| key.starts_with(prefix);
    match value {
        Some(_) if key == keys::LEADER => "leader's key",
        Some(_) if begins(keys::JOBS) && led => "end",
        Some(value) if begins(keys::JOBS) && value["x"].as_bool() == Some(true) => "cancellation",
        Some(_) if begins(keys::JOBS) => "acceptance",
        Some(_) if begins(keys::SHEETS) => "binding",
        Some(_) if begins(keys::BINDINGS) => "chunk",
        None if begins(keys::JOBS) => "move",
        None if begins(keys::BINDINGS) => "sweep",
        Some(_) if key == keys::TYPES => "types",
        _ if begins("order/loan") => "loan",
        _ if begins(keys::ORDER) => "tiers and arrivals",
        _ if begins("amount/") => "amounts",
        _ => "other",
    }
}

/// What became late of each kind.
type LateTransactions = Rc<RefCell<BTreeMap<&'static str, u64>>>;

/// Every second transaction of these kinds gets no answer, and comes 2 to 9 s later or at once.
fn delay_transactions(
    sim: &mut Simulation,
    kinds: &'static [&'static str],
    seed: u64,
    until_ms: u64,
) -> LateTransactions {
    let late: LateTransactions = Rc::default();
    let (counted, mut rng) = (late.clone(), StdRng::seed_from_u64(seed));
    sim.transaction_interceptor = Some(Box::new(move |ms, _, commit| {
        let kind = transaction_kind(commit);
        if ms > until_ms || !kinds.contains(&kind) || rng.random_bool(0.5) {
            return TransactionFate::AsConfigured;
        }
        *counted.borrow_mut().entry(kind).or_default() += 1;
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

/// Each kind of transaction of the list comes late while leaders change and jobs are cancelled.
#[test]
fn each_kind_of_transaction_comes_late() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..72u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 4);
        sim.restart_delay_ms = [Some(100), None][(seed / 6) as usize % 2];
        let judged =
            delay_transactions(&mut sim, TRANSACTION_KINDS[seed as usize % 6], seed, 130_000);
        submit_load(&mut sim, 14, 90_000);
        // Many tasks in few chunks, so that chunks are written.
        sim.submit(4_000, None, job_body("wk-many", "array", "blue", 40, 0.5, 9.0));
        let mut leads = LeadershipHistory::default();
        for n in 1..6 {
            let at = n * 22_000 + seed * 130;
            leads.run_until(&mut sim, at);
            if let Some(node) = leader_index(&sim) {
                sim.schedule_crash(at, node);
            }
        }
        leads.run_until(&mut sim, 150_000);
        sim.faults_end_ms = Some(150_000);
        sim.run_until(450_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        for (kind, n) in judged.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    for kind in TRANSACTION_KINDS.iter().flat_map(|k| k.iter()).filter(|k| **k != "types") {
        assert!(late.get(kind).is_some_and(|n| *n >= 10), "{kind}: {late:?}");
    }
}

/// The same for the records of tiers, arrivals, loans and amounts.
#[test]
fn records_written_late_stay_whole() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..8u64 {
        let mut sim =
            Simulation::with_offers(seed, FaultRates::NONE, 300_000, gpu_machine_offers(1));
        sim.operator = operator_with_records();
        sim.restart_delay_ms = [Some(100), None][seed as usize % 2];
        const ALL_KINDS: &[&str] = &["loan", "tiers and arrivals", "amounts"];
        let judged = delay_transactions(&mut sim, ALL_KINDS, seed, 170_000);
        submit_borrowing_load(&mut sim);
        // A controller whose settings name a lower limit for a while: amounts move.
        sim.team_red_limits[seed as usize % 3] = 24.0;
        let mut leads = LeadershipHistory::default();
        for n in 1..8 {
            let at = n * 21_000 + seed * 170;
            leads.run_until(&mut sim, at);
            sim.team_red_limits[seed as usize % 3] = [40.0, 24.0][n as usize % 2];
            let node =
                if n.is_multiple_of(2) { leader_index(&sim) } else { Some(seed as usize % 3) };
            if let Some(node) = node {
                sim.schedule_crash(at, node);
            }
        }
        sim.team_red_limits = [40.0; 3];
        (0..3).for_each(|n| sim.schedule_crash(175_000 + n as u64 * 4_000, n));
        leads.run_until(&mut sim, 190_000);
        sim.faults_end_ms = Some(190_000);
        sim.run_until(700_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let open: Vec<&str> =
            sim.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records_consistent(&sim, &format!("seed {seed}"));
        for (kind, n) in judged.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    assert!(late.values().all(|n| *n >= 10) && late.len() == 3, "{late:?}");
}

/// Jobs of two or three tasks that end far apart, one of them before and one after a change of leader, while what is
/// written of them comes late.
#[test]
fn tasks_that_end_far_apart_across_leaders() {
    let (mut apart, mut written) = (0, 0);
    for seed in 0..24u64 {
        // Six machines that hold one task each: the tasks of a job come one after another.
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 300_000, 1);
        sim.restart_delay_ms = [Some(100), Some(1_000), None][seed as usize % 3];
        let late = delay_transactions(&mut sim, &["binding", "chunk", "end"], seed, 200_000);
        for n in 0..7u64 {
            let shape = if n % 4 == 3 { "gang" } else { "array" };
            let tasks = if shape == "gang" { 2 } else { 2 + n as u32 % 2 };
            let cancel = (n == 5).then_some(70_000);
            let body =
                job_body(&format!("wk-{n}"), shape, "blue", tasks, 8.0, 8.0 + n as f64 * 4.0);
            sim.submit(500 + n * 6_000, cancel, body);
        }
        let mut leads = LeadershipHistory::default();
        for n in 1..12 {
            let at = n * 13_000 + seed * 210;
            leads.run_until(&mut sim, at);
            let done = |job: &swiftsail_simulation::simulation::SimulatedJob| {
                let own = |t: &u32| sim.cluster.finished_tasks.contains(&format!("{}/{t}", job.id));
                (0..job.task_count()).filter(own).count()
            };
            let part = |j: &&swiftsail_simulation::simulation::SimulatedJob| {
                (1..j.task_count() as usize).contains(&done(j)) && !j.is_over()
            };
            apart += sim.jobs.iter().filter(part).count();
            if let Some(node) = leader_index(&sim) {
                sim.schedule_crash(at, node);
            }
        }
        leads.run_until(&mut sim, 200_000);
        sim.faults_end_ms = Some(210_000);
        sim.run_until(600_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        written += late.borrow().values().sum::<u64>();
    }
    assert!(
        apart > 40 && written > 60,
        "{apart} jobs done in part as their leader ended, {written}"
    );
}
