//! Quota transfers between the partitions of several controllers: every interleaving in small models, and randomised
//! simulations with more controllers and teams.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_controller::quota_records;
use swiftsail_controller::settings::StoreSettings;
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_quota::account::{AccountStep, TransactionOutcome};
use swiftsail_quota::planner::{QuotaAction, QuotaMessage, QuotaPlanner, TeamDemand};
use swiftsail_quota::records::{QuotaKey, QuotaTransaction};
use swiftsail_quota::{QuotaAccount, ResourceQuantities};
use swiftsail_simulation::model_checker::{CheckResult, check_model};
use swiftsail_simulation::quota_model::{FaultBudget, QuotaModel, QuotaStep, RemovedGuard};
use swiftsail_simulation::store::{FakeStore, TransactionResult};

fn check_quota_model(
    without: RemovedGuard,
    faults: FaultBudget,
    max_states: usize,
) -> CheckResult<QuotaStep> {
    check_model(QuotaModel::new(2, 2, without, faults).with_initial_records(2), 40, max_states)
}

const FEW_FAULTS: FaultBudget = FaultBudget { crashes: 1, lost_answers: 1, limit_changes: 0 };

#[test]
fn limits_hold_in_every_interleaving() {
    for faults in [FEW_FAULTS, FaultBudget { crashes: 0, lost_answers: 1, limit_changes: 1 }] {
        let result = check_quota_model(RemovedGuard::None, faults, 60_000);
        assert!(result.violation.is_none(), "{result:?}");
        assert!(
            result.states == 60_000 && result.depth >= 6,
            "{} states, depth {}",
            result.states,
            result.depth
        );
    }
}

/// Every guard that enforces limits is necessary: without it the model checker finds a sequence of steps that violates
/// one, and with all guards it finds none in as many states.
#[test]
fn removing_any_guard_violates_a_limit() {
    let crash = FaultBudget { crashes: 1, lost_answers: 0, limit_changes: 0 };
    let no_faults = FaultBudget { crashes: 0, lost_answers: 0, limit_changes: 0 };
    let change = FaultBudget { crashes: 0, lost_answers: 0, limit_changes: 2 };
    let guards = [
        (RemovedGuard::FencingToken, crash),
        (RemovedGuard::OwnRevision, no_faults),
        (RemovedGuard::OtherRevision, no_faults),
        (RemovedGuard::InFlightTransactions, no_faults),
        (RemovedGuard::UnconfirmedTerminations, no_faults),
        (RemovedGuard::LowestLimit, change),
    ];
    for (without, faults) in guards {
        let result = check_quota_model(without, faults, 200_000);
        let (what, history) =
            result.violation.unwrap_or_else(|| panic!("no violation without {without:?}"));
        assert!(history.len() <= 10, "{without:?}: {what}, after {history:?}");
        let same = check_quota_model(RemovedGuard::None, faults, result.states);
        assert!(same.violation.is_none(), "{same:?}");
    }
}

// ---- simulations ---------------------------------------------------------------------------------

const STEP_MS: u64 = 50;
const TEAMS: usize = 12;
const LIMIT: f64 = 100.0;

/// A waiting or running task.
#[derive(Debug, Clone, Copy)]
struct SimulatedTask {
    urgency_level: usize,
    cpus: f64,
    /// Run time of a waiting task, end time of a running one, ms.
    ends_at: u64,
}

struct SimulatedController {
    name: String,
    fencing_token: u64,
    planner: Option<QuotaPlanner>,
    restarts_at: u64,
    waiting: Vec<Vec<SimulatedTask>>,
    running: Vec<Vec<SimulatedTask>>,
}

enum InFlightMessage {
    Transaction(usize, u64, QuotaTransaction, bool),
    TransactionOutcome(usize, u64, (u64, u64), TransactionOutcome),
    PeerMessage(usize, usize, QuotaMessage),
}

struct QuotaSimulation {
    now: u64,
    rng: StdRng,
    store: FakeStore,
    last_fencing_token: u64,
    controllers: Vec<SimulatedController>,
    messages_in_flight: Vec<(u64, InFlightMessage)>,
    store_outage: std::ops::Range<u64>,
    controllers_disconnected: std::ops::Range<u64>,
    message_loss: f64,
    message_delay: f64,
    transaction_count: u64,
    rejected_count: u64,
    violations: Vec<String>,
}

fn team_name(n: usize) -> String {
    format!("team-{n:02}")
}

fn team_limits() -> BTreeMap<String, ResourceQuantities> {
    (0..TEAMS).map(|t| (team_name(t), QuotaAccount::limits_from_settings(LIMIT, 0.0))).collect()
}

fn key_text(key: &QuotaKey) -> String {
    match key {
        QuotaKey::FencingToken(s) => format!("token/{s}"),
        other => quota_records::store_key(0, other),
    }
}

impl QuotaSimulation {
    fn new(seed: u64, controllers: usize) -> QuotaSimulation {
        let limits =
            StoreSettings { rps: 600.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 16, next: None };
        let mut simulation = QuotaSimulation {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            store: FakeStore::new(limits, 1_000),
            last_fencing_token: 0,
            controllers: Vec::new(),
            messages_in_flight: Vec::new(),
            store_outage: 0..0,
            controllers_disconnected: 0..0,
            message_loss: 0.0,
            message_delay: 0.0,
            transaction_count: 0,
            rejected_count: 0,
            violations: Vec::new(),
        };
        for n in 0..controllers {
            simulation.controllers.push(SimulatedController {
                name: format!("share-{n}"),
                fencing_token: 0,
                planner: None,
                restarts_at: 0,
                waiting: vec![Vec::new(); TEAMS],
                running: vec![Vec::new(); TEAMS],
            });
        }
        simulation
    }

    fn crash(&mut self, n: usize) {
        self.controllers[n].planner = None;
        self.controllers[n].restarts_at = self.now + 2_000;
    }

    fn take_over(&mut self, n: usize) {
        // The fencing token is the mod revision of a newly written key of the partition.
        let key = format!("token/{}", self.controllers[n].name);
        let write = Mutation::Put { key, value: 1.into(), lease: None };
        let result = self
            .store
            .apply_transaction(&Transaction { preconditions: Vec::new(), mutations: vec![write] });
        let TransactionResult::Committed(token) = result else { panic!("{result:?}") };
        let transaction_interval_ms = 100 * self.controllers.len() as u64;
        let mut planner =
            QuotaPlanner::new(&self.controllers[n].name, token, transaction_interval_ms);
        planner.set_limits(team_limits());
        self.last_fencing_token += 1;
        (self.controllers[n].fencing_token, self.controllers[n].planner) = (token, Some(planner));
    }

    fn team_demand(controller: &SimulatedController, t: usize) -> TeamDemand {
        let mut demand = TeamDemand::default();
        for task in &controller.running[t] {
            demand.used[task.urgency_level] += ResourceQuantities::from_request(task.cpus, 0.0);
        }
        for task in &controller.waiting[t] {
            demand.wanted[task.urgency_level] += ResourceQuantities::from_request(task.cpus, 0.0);
        }
        demand
    }

    fn used_cpus(&self, t: usize) -> f64 {
        self.controllers.iter().flat_map(|s| &s.running[t]).map(|task| task.cpus).sum()
    }

    fn wanted_cpus(&self, t: usize) -> f64 {
        let waiting: f64 =
            self.controllers.iter().flat_map(|s| &s.waiting[t]).map(|t| t.cpus).sum();
        waiting + self.used_cpus(t)
    }

    fn submit(&mut self, n: usize, t: usize, level: usize, tasks: usize) {
        for _ in 0..tasks {
            let cpus = f64::from(self.rng.random_range(1..=10u32)) / 10.0;
            let ends = self.rng.random_range(2_000..8_000);
            self.controllers[n].waiting[t].push(SimulatedTask {
                urgency_level: level,
                cpus,
                ends_at: ends,
            });
        }
    }

    fn post_message(&mut self, after: u64, mail: InFlightMessage) {
        let lost = self.rng.random_bool(self.message_loss);
        let delayed = self.rng.random_bool(self.message_delay);
        let after = if delayed { self.rng.random_range(2_000..20_000) } else { after };
        if !lost {
            self.messages_in_flight.push((self.now + after, mail));
        }
    }

    fn execute_actions(&mut self, n: usize, actions: Vec<QuotaAction>) {
        let token = self.controllers[n].fencing_token;
        for action in actions {
            match action {
                QuotaAction::SendTransaction(txn) => {
                    // If the answer is lost, the outcome is reported as unknown after one second.
                    let id = txn.id;
                    self.messages_in_flight.push((
                        self.now + 1_000,
                        InFlightMessage::TransactionOutcome(
                            n,
                            token,
                            id,
                            TransactionOutcome::Unknown,
                        ),
                    ));
                    self.post_message(10, InFlightMessage::Transaction(n, token, txn, true));
                }
                QuotaAction::ReadPage if !self.store_outage.contains(&self.now) => {
                    let page = quota_records::parse_page(
                        0,
                        &self.store.list(quota_records::KEY_PREFIX, None, 1_000),
                    );
                    let now = self.now;
                    if let Some(planner) = &mut self.controllers[n].planner {
                        planner.on_page(&page, now);
                    }
                }
                QuotaAction::ReadPage => {}
                QuotaAction::SendMessage(to, message) => {
                    let to = self
                        .controllers
                        .iter()
                        .position(|s| s.name == to)
                        .expect("the partition exists");
                    if !self.controllers_disconnected.contains(&self.now) {
                        self.post_message(5, InFlightMessage::PeerMessage(n, to, message));
                    }
                }
                QuotaAction::StopWork { team: name, level, amount } => {
                    let t = (0..TEAMS).find(|t| team_name(*t) == name).expect("the team exists");
                    let mut left = amount.cpus.to_f64();
                    // Termination is confirmed after 400 ms; the tasks count as used until then.
                    for task in self.controllers[n].running[t]
                        .iter_mut()
                        .filter(|t| t.urgency_level > level)
                    {
                        if left > 0.0 {
                            left -= task.cpus;
                            task.ends_at = task.ends_at.min(self.now + 400);
                        }
                    }
                }
            }
        }
    }

    fn deliver_message(&mut self, mail: InFlightMessage) {
        match mail {
            InFlightMessage::Transaction(n, token, txn, answer) => {
                let is_rejected = !self.store.admit(txn.writes.len(), self.now);
                self.rejected_count += u64::from(is_rejected);
                if is_rejected || self.store_outage.contains(&self.now) {
                    return;
                }
                self.transaction_count += txn.writes.len() as u64;
                let commit = quota_records::to_transaction(&txn, key_text);
                let keys = txn.conditions.iter().map(|(k, _)| k.clone());
                let outcome = match self.store.apply_transaction(&commit) {
                    TransactionResult::Committed(stamp) => TransactionOutcome::Committed(stamp),
                    TransactionResult::PreconditionFailed(failed) => TransactionOutcome::Conflict(
                        keys.filter(|k| failed.contains(&key_text(k))).collect(),
                    ),
                    other => panic!("{other:?}"),
                };
                if answer {
                    self.post_message(
                        10,
                        InFlightMessage::TransactionOutcome(n, token, txn.id, outcome),
                    );
                }
            }
            InFlightMessage::TransactionOutcome(n, token, id, outcome)
                if self.controllers[n].fencing_token == token =>
            {
                let Some(planner) = &mut self.controllers[n].planner else { return };
                match planner.account.on_outcome(id, &outcome) {
                    AccountStep::Resend(txn) => {
                        self.execute_actions(n, vec![QuotaAction::SendTransaction(txn)])
                    }
                    AccountStep::ReadPage => self.execute_actions(n, vec![QuotaAction::ReadPage]),
                    AccountStep::Wait => {}
                }
            }
            InFlightMessage::PeerMessage(from, to, message) => {
                let (name, now) = (self.controllers[from].name.clone(), self.now);
                if let Some(planner) = &mut self.controllers[to].planner {
                    let actions = planner.on_message(&name, message, now);
                    self.execute_actions(to, actions);
                }
            }
            InFlightMessage::TransactionOutcome(..) => {}
        }
    }

    fn run_step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for controller in &mut self.controllers {
            controller.running.iter_mut().for_each(|tasks| tasks.retain(|t| t.ends_at > now));
        }
        let (due, later) =
            std::mem::take(&mut self.messages_in_flight).into_iter().partition(|m| m.0 <= now);
        self.messages_in_flight = later;
        let due: Vec<(u64, InFlightMessage)> = due;
        due.into_iter().for_each(|(_, mail)| self.deliver_message(mail));
        for n in 0..self.controllers.len() {
            if self.controllers[n].planner.is_none()
                && now >= self.controllers[n].restarts_at
                && !self.store_outage.contains(&now)
            {
                self.take_over(n);
            }
            // Stands for the watch of the quota page.
            if now.is_multiple_of(STEP_MS * 4) {
                self.execute_actions(n, vec![QuotaAction::ReadPage]);
            }
            let store_is_down = self.store_outage.contains(&now);
            let controller = &mut self.controllers[n];
            let Some(mut planner) = controller.planner.take() else { continue };
            for t in 0..TEAMS {
                controller.waiting[t].sort_by_key(|t| std::cmp::Reverse(t.urgency_level));
                planner.set_demand(&team_name(t), QuotaSimulation::team_demand(controller, t));
                while let Some(next) = controller.waiting[t].last().copied()
                    && !store_is_down
                    && planner
                        .bindable_amount(&team_name(t), next.urgency_level)
                        .covers(ResourceQuantities::from_request(next.cpus, 0.0))
                {
                    controller.waiting[t].pop();
                    controller.running[t]
                        .push(SimulatedTask { ends_at: now + next.ends_at, ..next });
                    planner.set_demand(&team_name(t), QuotaSimulation::team_demand(controller, t));
                }
            }
            let actions = planner.tick(now);
            controller.planner = Some(planner);
            self.execute_actions(n, actions);
        }
        self.check_invariants();
    }

    fn check_invariants(&mut self) {
        for t in 0..TEAMS {
            let used = self.used_cpus(t);
            if used > LIMIT + 1e-6 {
                self.violations.push(format!(
                    "quota: {} uses {used} at {}",
                    team_name(t),
                    self.now
                ));
            }
        }
        let page =
            quota_records::parse_page(0, &self.store.list(quota_records::KEY_PREFIX, None, 1_000));
        if !page.is_conserved() {
            self.violations.push(format!("not conserved at {}: {page:?}", self.now));
        }
    }

    /// Runs the simulation for `ms`. Returns each team's mean usage in the second half, as a share of its limit.
    fn run(&mut self, ms: u64, mut arrivals: impl FnMut(&mut QuotaSimulation)) -> Vec<f64> {
        let (begin, mut used, mut steps) = (self.now, vec![0.0; TEAMS], 0.0);
        while self.now < begin + ms {
            arrivals(self);
            self.run_step();
            if self.now > begin + ms / 2 {
                steps += LIMIT;
                (0..TEAMS).for_each(|t| used[t] += self.used_cpus(t));
            }
        }
        assert!(
            self.violations.is_empty(),
            "{:?}",
            &self.violations[..self.violations.len().min(3)]
        );
        used.iter().map(|u| u / steps).collect()
    }

    /// Runs the simulation until a team uses `share` of its limit, and fails after `timeout_ms`. Returns the elapsed
    /// time, ms.
    fn run_until_used(
        &mut self,
        t: usize,
        share: f64,
        timeout_ms: u64,
        mut arrivals: impl FnMut(&mut QuotaSimulation),
    ) -> u64 {
        let begin = self.now;
        while self.used_cpus(t) < LIMIT * share {
            assert!(
                self.now < begin + timeout_ms,
                "{} of {} after {timeout_ms} ms",
                self.used_cpus(t),
                team_name(t)
            );
            arrivals(self);
            self.run_step();
        }
        self.now - begin
    }
}

/// Submits tasks of a team to a controller until at least `cpus` are waiting there.
fn keep_waiting(simulation: &mut QuotaSimulation, n: usize, t: usize, level: usize, cpus: f64) {
    while simulation.controllers[n].waiting[t].iter().map(|t| t.cpus).sum::<f64>() < cpus {
        simulation.submit(n, t, level, 4);
    }
}

/// The work of a team at its limit moves from one controller to the next, and its quota must follow.
#[test]
fn quota_follows_work_between_controllers() {
    for controllers in [3, 8] {
        let mut simulation = QuotaSimulation::new(7, controllers);
        let mut transfer_times = Vec::new();
        for turn in 0..6 {
            let at = turn % controllers;
            let begin = simulation.now;
            let has_all_quota = |s: &QuotaSimulation| {
                QuotaSimulation::team_demand(&s.controllers[at], 0).total_used().cpus.to_f64()
                    >= 0.95 * LIMIT
            };
            while !has_all_quota(&simulation) {
                assert!(simulation.now < begin + 15_000, "{} used", simulation.used_cpus(0));
                keep_waiting(&mut simulation, at, 0, 2, 150.0);
                simulation.run_step();
            }
            transfer_times.push(simulation.now - begin);
            let used = simulation.run(16_000, |s| keep_waiting(s, at, 0, 2, 150.0))[0];
            assert!(used >= 0.95, "{used} of the limit used");
            simulation.controllers[at].waiting[0].clear();
        }
        // Tasks that still run on the other controllers take up to 8 s to end.
        assert!(transfer_times.iter().all(|ms| *ms <= 11_000), "{transfer_times:?}");
    }
}

/// All controllers want quota of all teams at once: no limit is exceeded, no controller starves, and few transactions
/// are sent once the quota is divided.
#[test]
fn quota_is_divided_under_contention() {
    for controllers in [3, 8] {
        let mut simulation = QuotaSimulation::new(8, controllers);
        let all = |s: &mut QuotaSimulation| {
            (0..controllers).for_each(|n| (0..TEAMS).for_each(|t| keep_waiting(s, n, t, 2, 60.0)))
        };
        simulation.run(20_000, all);
        let before = simulation.transaction_count;
        let used = simulation.run(20_000, all);
        // Once the quota is divided: at most two of the 60 writes per second that the state service allows.
        assert!(
            simulation.transaction_count - before <= 40,
            "{} writes in 20 s",
            simulation.transaction_count - before
        );
        assert!(used.iter().all(|u| *u >= 0.95), "{used:?}");
        let min_used_by = |s: &SimulatedController| {
            (0..TEAMS)
                .map(|t| QuotaSimulation::team_demand(s, t).total_used().cpus.to_f64())
                .fold(f64::MAX, f64::min)
        };
        let min_used = simulation.controllers.iter().map(min_used_by).fold(f64::MAX, f64::min);
        assert!(
            min_used >= 0.3 * LIMIT / controllers as f64,
            "a controller uses only {min_used} CPUs of a team"
        );
    }
}

/// Production work of a team at its limit does not wait for less urgent work of the team in another partition: that
/// work is stopped.
#[test]
fn production_preempts_less_urgent_work_of_other_partitions() {
    let mut simulation = QuotaSimulation::new(9, 3);
    simulation.run_until_used(0, 0.95, 12_000, |s| keep_waiting(s, 0, 0, 2, 150.0));
    simulation.submit(1, 0, 0, 40);
    let wanted: f64 = simulation.controllers[1].waiting[0].iter().map(|t| t.cpus).sum();
    let begin = simulation.now;
    while !simulation.controllers[1].waiting[0].is_empty() {
        assert!(
            simulation.now < begin + 4_000,
            "{} CPUs used and wanted, of them {wanted} of production, after 4 s",
            simulation.wanted_cpus(0)
        );
        keep_waiting(&mut simulation, 0, 0, 2, 150.0);
        simulation.run_step();
    }
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
}

/// Crashes, network partitions between controllers, outages of the state service, and lost and late messages, under
/// contention: no limit is ever exceeded, and after the last fault the busiest team returns to its limit within 15 s.
#[test]
fn limits_hold_under_faults_and_usage_recovers() {
    let mut recovery_times = Vec::new();
    for seed in 0..6 {
        let controllers = [3, 5, 8][seed as usize % 3];
        let mut simulation = QuotaSimulation::new(seed, controllers);
        (simulation.message_loss, simulation.message_delay) = (0.05, 0.02);
        for round in 0..5u64 {
            let (now, n) = (simulation.now, simulation.rng.random_range(0..controllers));
            match round {
                0 | 3 => simulation.crash(n),
                1 => simulation.store_outage = now..now + 6_000,
                2 => simulation.controllers_disconnected = now..now + 8_000,
                _ => (0..controllers).for_each(|n| simulation.crash(n)),
            }
            simulation.run(12_000, |s| {
                let (n, t) = (s.rng.random_range(0..controllers), s.rng.random_range(0..TEAMS));
                let level = s.rng.random_range(0..3);
                s.submit(n, t, level, 2);
                keep_waiting(s, 0, 0, 2, 100.0);
            });
        }
        (simulation.message_loss, simulation.message_delay) = (0.0, 0.0);
        recovery_times
            .push(simulation.run_until_used(0, 0.95, 15_000, |s| keep_waiting(s, 0, 0, 2, 150.0)));
    }
}

/// A settings file with a lower limit reaches one controller first: the lower limit applies, and comes into force as
/// the work stopped for it is confirmed terminated. The limit rises again only when all controllers have the higher
/// one.
#[test]
fn lowest_configured_limit_applies() {
    let lower = |cpus: f64| {
        let mut settings = team_limits();
        settings.insert(team_name(0), QuotaAccount::limits_from_settings(cpus, 0.0));
        settings
    };
    let set = |simulation: &mut QuotaSimulation, n: usize, cpus: f64| {
        simulation.controllers[n]
            .planner
            .as_mut()
            .expect("the controller runs")
            .set_limits(lower(cpus));
    };
    let mut simulation = QuotaSimulation::new(11, 3);
    let all = |s: &mut QuotaSimulation| (0..3).for_each(|n| keep_waiting(s, n, 0, 1, 60.0));
    assert!(simulation.run(12_000, all)[0] >= 0.95);
    set(&mut simulation, 1, 60.0);
    simulation.run(4_000, all);
    assert!(simulation.used_cpus(0) <= 60.0, "{} used of 60", simulation.used_cpus(0));
    let used = simulation.run(8_000, all)[0];
    assert!((0.55..=0.6).contains(&used), "{used}");
    for n in [0, 2] {
        set(&mut simulation, n, 60.0);
    }
    set(&mut simulation, 1, 100.0);
    assert!(
        simulation.run(8_000, all)[0] <= 0.6,
        "two of three controllers still have the lower limit"
    );
    for n in [0, 2] {
        set(&mut simulation, n, 100.0);
    }
    assert!(simulation.run(8_000, all)[0] >= 0.95);
    // The quota of a team that no settings contain any more is returned, and the team is removed.
    for n in 0..3 {
        simulation.controllers[n].waiting[0].clear();
        let mut without = team_limits();
        without.remove(&team_name(0));
        simulation.controllers[n]
            .planner
            .as_mut()
            .expect("the controller runs")
            .set_limits(without);
    }
    simulation.run(14_000, |_| ());
    let page = quota_records::parse_page(
        0,
        &simulation.store.list(quota_records::KEY_PREFIX, None, 1_000),
    );
    assert!(!page.pool.0.teams.contains_key(&team_name(0)), "{page:?}");
}

/// A partition that is retired returns its quota to the pool, and its holding is then removed from the page.
#[test]
fn retired_partition_releases_its_quota() {
    let mut simulation = QuotaSimulation::new(12, 3);
    let all = |s: &mut QuotaSimulation| (0..3).for_each(|n| keep_waiting(s, n, 0, 1, 60.0));
    simulation.run(10_000, all);
    (0..TEAMS).for_each(|t| simulation.controllers[2].waiting[t].clear());
    simulation.run(16_000, |s| (0..2).for_each(|n| keep_waiting(s, n, 0, 1, 60.0)));
    let mut planner = simulation.controllers[2].planner.take().expect("the controller runs");
    simulation.controllers[2].restarts_at = u64::MAX;
    let txn = planner.account.remove_holding().expect("its holding is empty");
    assert!(matches!(
        simulation.store.apply_transaction(&quota_records::to_transaction(&txn, key_text)),
        TransactionResult::Committed(_)
    ));
    assert!(
        simulation.run(8_000, |s| (0..2).for_each(|n| keep_waiting(s, n, 0, 1, 60.0)))[0] >= 0.95
    );
    let page = quota_records::parse_page(
        0,
        &simulation.store.list(quota_records::KEY_PREFIX, None, 1_000),
    );
    assert_eq!(page.holdings.len(), 2);
}

/// A guarantee applies to the usage in all partitions: a team that uses little here and much elsewhere exceeds it.
/// Quota used beyond a guarantee is revoked in the partition that uses the most, once at a time, and the revocation is
/// confirmed when the stopped tasks are confirmed terminated.
#[test]
fn borrowed_quota_is_revoked_where_most_is_used() {
    let mut simulation = QuotaSimulation::new(13, 3);
    let used = |s: &QuotaSimulation, n: usize| {
        QuotaSimulation::team_demand(&s.controllers[n], 1).total_used().cpus.to_f64()
    };
    simulation.run(12_000, |s| {
        for (n, max_used) in [(0, 20.0), (1, 60.0), (2, 10.0)] {
            if used(s, n) < max_used {
                keep_waiting(s, n, 1, 2, 5.0);
            }
        }
    });
    let guarantees = BTreeMap::from([(team_name(1), ResourceQuantities::from_limit(30.0, 0.0))]);
    let before: Vec<f64> = (0..3).map(|n| used(&simulation, n)).collect();
    let now = simulation.now;
    let planner = simulation.controllers[0].planner.as_mut().expect("the controller runs");
    let one = ResourceQuantities::from_request(1.0, 0.0);
    assert!(!planner.is_within_guarantee(
        &team_name(1),
        ResourceQuantities::from_limit(30.0, 0.0),
        one
    ));
    assert!(planner.is_within_guarantee(
        &team_name(1),
        ResourceQuantities::from_limit(300.0, 0.0),
        one
    ));
    let missing = ResourceQuantities::from_request(15.0, 0.0);
    let action =
        planner.revoke_borrowed_quota(&guarantees, missing, now).expect("there is quota to revoke");
    assert!(
        planner.revoke_borrowed_quota(&guarantees, missing, now).is_none(),
        "one revocation at a time"
    );
    assert!(matches!(&action, QuotaAction::SendMessage(to, _) if to == "share-1"), "{action:?}");
    simulation.execute_actions(0, vec![action]);
    simulation.run(1_500, |_| ());
    assert!(used(&simulation, 1) <= before[1] - 15.0, "{before:?}, now {}", used(&simulation, 1));
    let planner = simulation.controllers[0].planner.as_mut().expect("the controller runs");
    assert!(
        planner.revoke_borrowed_quota(&guarantees, missing, simulation.now).is_some(),
        "the first revocation has ended"
    );
}
