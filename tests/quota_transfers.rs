//! Amounts among several deciders: every order of steps in small worlds, and long days in larger ones.

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
    chances: FaultBudget,
    most: usize,
) -> CheckResult<QuotaStep> {
    check_model(QuotaModel::new(2, 2, without, chances).with_initial_records(2), 40, most)
}

const FEW_FAULTS: FaultBudget = FaultBudget { crashes: 1, lost_answers: 1, limit_changes: 0 };

#[test]
fn no_order_of_steps_breaks_a_limit() {
    for chances in [FEW_FAULTS, FaultBudget { crashes: 0, lost_answers: 1, limit_changes: 1 }] {
        let found = check_quota_model(RemovedGuard::None, chances, 60_000);
        assert!(found.violation.is_none(), "{found:?}");
        assert!(
            found.states == 60_000 && found.depth >= 6,
            "{} worlds, {}",
            found.states,
            found.depth
        );
    }
}

/// Each guard that keeps a limit is needed: without it the explorer finds a history that breaks one.
#[test]
fn every_guard_is_needed() {
    let crash = FaultBudget { crashes: 1, lost_answers: 0, limit_changes: 0 };
    let calm = FaultBudget { crashes: 0, lost_answers: 0, limit_changes: 0 };
    let change = FaultBudget { crashes: 0, lost_answers: 0, limit_changes: 2 };
    let guards = [
        (RemovedGuard::FencingToken, crash),
        (RemovedGuard::OwnRevision, calm),
        (RemovedGuard::OtherRevision, calm),
        (RemovedGuard::InFlightTransactions, calm),
        (RemovedGuard::UnconfirmedTerminations, calm),
        (RemovedGuard::LowestLimit, change),
    ];
    for (without, chances) in guards {
        let found = check_quota_model(without, chances, 200_000);
        let (what, history) =
            found.violation.unwrap_or_else(|| panic!("{without:?} is not missed"));
        assert!(history.len() <= 10, "{without:?}: {what}, after {history:?}");
        let same = check_quota_model(RemovedGuard::None, chances, found.states);
        assert!(same.violation.is_none(), "{same:?}");
    }
}

// ---- long days -----------------------------------------------------------------------------------

const STEP_MS: u64 = 50;
const TEAMS: usize = 12;
const LIMIT: f64 = 100.0;

/// A task that waits or runs: urgency, CPUs, and when it ends.
#[derive(Debug, Clone, Copy)]
struct SimulatedTask {
    urgency_level: usize,
    cpus: f64,
    ends_at: u64,
}

struct SimulatedDecider {
    name: String,
    fencing_token: u64,
    planner: Option<QuotaPlanner>,
    restarts_at: u64,
    waiting: Vec<Vec<SimulatedTask>>,
    running: Vec<Vec<SimulatedTask>>,
}

enum QuotaMail {
    Transaction(usize, u64, QuotaTransaction, bool),
    TransactionOutcome(usize, u64, (u64, u64), TransactionOutcome),
    PeerMessage(usize, usize, QuotaMessage),
}

struct QuotaSimulation {
    now: u64,
    rng: StdRng,
    store: FakeStore,
    last_fencing_token: u64,
    deciders: Vec<SimulatedDecider>,
    messages_in_flight: Vec<(u64, QuotaMail)>,
    store_outage: std::ops::Range<u64>,
    peer_partition: std::ops::Range<u64>,
    message_loss: f64,
    message_delay: f64,
    transaction_count: u64,
    refused_count: u64,
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
        QuotaKey::FencingToken(d) => format!("token/{d}"),
        other => quota_records::store_key(0, other),
    }
}

impl QuotaSimulation {
    fn new(seed: u64, deciders: usize) -> QuotaSimulation {
        let limits =
            StoreSettings { rps: 600.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 16, next: None };
        let mut day = QuotaSimulation {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            store: FakeStore::new(limits, 1_000),
            last_fencing_token: 0,
            deciders: Vec::new(),
            messages_in_flight: Vec::new(),
            store_outage: 0..0,
            peer_partition: 0..0,
            message_loss: 0.0,
            message_delay: 0.0,
            transaction_count: 0,
            refused_count: 0,
            violations: Vec::new(),
        };
        for n in 0..deciders {
            day.deciders.push(SimulatedDecider {
                name: format!("share-{n}"),
                fencing_token: 0,
                planner: None,
                restarts_at: 0,
                waiting: vec![Vec::new(); TEAMS],
                running: vec![Vec::new(); TEAMS],
            });
        }
        day
    }

    fn crash(&mut self, n: usize) {
        self.deciders[n].planner = None;
        self.deciders[n].restarts_at = self.now + 2_000;
    }

    fn take_over(&mut self, n: usize) {
        // The store is the arbiter of tokens, as ever: a key of the decider, written anew.
        let key = format!("token/{}", self.deciders[n].name);
        let write = Mutation::Put { key, value: 1.into(), lease: None };
        let done = self
            .store
            .apply_transaction(&Transaction { preconditions: Vec::new(), mutations: vec![write] });
        let TransactionResult::Committed(token) = done else { panic!("{done:?}") };
        let pace = 100 * self.deciders.len() as u64;
        let mut planner = QuotaPlanner::new(&self.deciders[n].name, token, pace);
        planner.set_limits(team_limits());
        self.last_fencing_token += 1;
        (self.deciders[n].fencing_token, self.deciders[n].planner) = (token, Some(planner));
    }

    fn quota_need(decider: &SimulatedDecider, t: usize) -> TeamDemand {
        let mut need = TeamDemand::default();
        for task in &decider.running[t] {
            need.used[task.urgency_level] += ResourceQuantities::from_request(task.cpus, 0.0);
        }
        for task in &decider.waiting[t] {
            need.wanted[task.urgency_level] += ResourceQuantities::from_request(task.cpus, 0.0);
        }
        need
    }

    fn used_cpus(&self, t: usize) -> f64 {
        self.deciders.iter().flat_map(|d| &d.running[t]).map(|task| task.cpus).sum()
    }

    fn wanted_cpus(&self, t: usize) -> f64 {
        let waiting: f64 = self.deciders.iter().flat_map(|d| &d.waiting[t]).map(|t| t.cpus).sum();
        waiting + self.used_cpus(t)
    }

    fn submit(&mut self, n: usize, t: usize, level: usize, tasks: usize) {
        for _ in 0..tasks {
            let cpus = f64::from(self.rng.random_range(1..=10u32)) / 10.0;
            let ends = self.rng.random_range(2_000..8_000);
            self.deciders[n].waiting[t].push(SimulatedTask {
                urgency_level: level,
                cpus,
                ends_at: ends,
            });
        }
    }

    fn post_message(&mut self, after: u64, mail: QuotaMail) {
        let lost = self.rng.random_bool(self.message_loss);
        let late = self.rng.random_bool(self.message_delay);
        let after = if late { self.rng.random_range(2_000..20_000) } else { after };
        if !lost {
            self.messages_in_flight.push((self.now + after, mail));
        }
    }

    fn execute_actions(&mut self, n: usize, actions: Vec<QuotaAction>) {
        let token = self.deciders[n].fencing_token;
        for action in actions {
            match action {
                QuotaAction::SendTransaction(txn) => {
                    // Its answer may be lost: after a second it is not known.
                    let by = txn.id;
                    self.messages_in_flight.push((
                        self.now + 1_000,
                        QuotaMail::TransactionOutcome(n, token, by, TransactionOutcome::Unknown),
                    ));
                    self.post_message(10, QuotaMail::Transaction(n, token, txn, true));
                }
                QuotaAction::ReadPage if !self.store_outage.contains(&self.now) => {
                    let page = quota_records::parse_page(
                        0,
                        &self.store.list(quota_records::KEY_PREFIX, None, 1_000),
                    );
                    let now = self.now;
                    if let Some(holder) = &mut self.deciders[n].planner {
                        holder.on_page(&page, now);
                    }
                }
                QuotaAction::ReadPage => {}
                QuotaAction::SendMessage(to, message) => {
                    let to = self.deciders.iter().position(|d| d.name == to).expect("a decider");
                    if !self.peer_partition.contains(&self.now) {
                        self.post_message(5, QuotaMail::PeerMessage(n, to, message));
                    }
                }
                QuotaAction::StopWork { team: name, level, amount } => {
                    let t = (0..TEAMS).find(|t| team_name(*t) == name).expect("a team");
                    let mut left = amount.cpus.to_f64();
                    // Proof takes a moment: they end soon, and are counted until then.
                    for task in
                        self.deciders[n].running[t].iter_mut().filter(|t| t.urgency_level > level)
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

    fn deliver_message(&mut self, mail: QuotaMail) {
        match mail {
            QuotaMail::Transaction(n, token, txn, answer) => {
                let refused = !self.store.admit(txn.writes.len(), self.now);
                self.refused_count += u64::from(refused);
                if refused || self.store_outage.contains(&self.now) {
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
                    self.post_message(10, QuotaMail::TransactionOutcome(n, token, txn.id, outcome));
                }
            }
            QuotaMail::TransactionOutcome(n, token, by, outcome)
                if self.deciders[n].fencing_token == token =>
            {
                let Some(holder) = &mut self.deciders[n].planner else { return };
                match holder.account.on_outcome(by, &outcome) {
                    AccountStep::Resend(txn) => {
                        self.execute_actions(n, vec![QuotaAction::SendTransaction(txn)])
                    }
                    AccountStep::ReadPage => self.execute_actions(n, vec![QuotaAction::ReadPage]),
                    AccountStep::Wait => {}
                }
            }
            QuotaMail::PeerMessage(from, to, message) => {
                let (name, now) = (self.deciders[from].name.clone(), self.now);
                if let Some(holder) = &mut self.deciders[to].planner {
                    let actions = holder.on_message(&name, message, now);
                    self.execute_actions(to, actions);
                }
            }
            QuotaMail::TransactionOutcome(..) => {}
        }
    }

    fn run_step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for decider in &mut self.deciders {
            decider.running.iter_mut().for_each(|tasks| tasks.retain(|t| t.ends_at > now));
        }
        let (due, later) =
            std::mem::take(&mut self.messages_in_flight).into_iter().partition(|m| m.0 <= now);
        self.messages_in_flight = later;
        let due: Vec<(u64, QuotaMail)> = due;
        due.into_iter().for_each(|(_, mail)| self.deliver_message(mail));
        for n in 0..self.deciders.len() {
            if self.deciders[n].planner.is_none()
                && now >= self.deciders[n].restarts_at
                && !self.store_outage.contains(&now)
            {
                self.take_over(n);
            }
            // The watch of the page, and what waits.
            if now.is_multiple_of(STEP_MS * 4) {
                self.execute_actions(n, vec![QuotaAction::ReadPage]);
            }
            let away = self.store_outage.contains(&now);
            let decider = &mut self.deciders[n];
            let Some(mut holder) = decider.planner.take() else { continue };
            for t in 0..TEAMS {
                decider.waiting[t].sort_by_key(|t| std::cmp::Reverse(t.urgency_level));
                holder.set_demand(&team_name(t), QuotaSimulation::quota_need(decider, t));
                while let Some(next) = decider.waiting[t].last().copied()
                    && !away
                    && holder
                        .bindable_amount(&team_name(t), next.urgency_level)
                        .covers(ResourceQuantities::from_request(next.cpus, 0.0))
                {
                    decider.waiting[t].pop();
                    decider.running[t].push(SimulatedTask { ends_at: now + next.ends_at, ..next });
                    holder.set_demand(&team_name(t), QuotaSimulation::quota_need(decider, t));
                }
            }
            let actions = holder.tick(now);
            decider.planner = Some(holder);
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

    /// Lets time pass. Returns what each team used on the mean of the second half, as a share of its limit.
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

    /// Lets time pass until a team uses so much of its limit. Returns the time it took, ms.
    fn run_until_used(
        &mut self,
        t: usize,
        share: f64,
        most: u64,
        mut arrivals: impl FnMut(&mut QuotaSimulation),
    ) -> u64 {
        let begin = self.now;
        while self.used_cpus(t) < LIMIT * share {
            assert!(
                self.now < begin + most,
                "{} of {} after {most} ms",
                self.used_cpus(t),
                team_name(t)
            );
            arrivals(self);
            self.run_step();
        }
        self.now - begin
    }
}

/// Keeps so many CPUs of a team wanted at a decider.
fn keep_running(day: &mut QuotaSimulation, n: usize, t: usize, level: usize, cpus: f64) {
    while day.deciders[n].waiting[t].iter().map(|t| t.cpus).sum::<f64>() < cpus {
        day.submit(n, t, level, 4);
    }
}

/// A hot team's work moves from decider to decider; its amounts follow.
#[test]
fn a_hot_teams_amounts_follow_its_work() {
    for deciders in [3, 8] {
        let mut day = QuotaSimulation::new(7, deciders);
        let mut took = Vec::new();
        for turn in 0..6 {
            let at = turn % deciders;
            let begin = day.now;
            let alone = |d: &QuotaSimulation| {
                QuotaSimulation::quota_need(&d.deciders[at], 0).total_used().cpus.to_f64()
                    >= 0.95 * LIMIT
            };
            while !alone(&day) {
                assert!(day.now < begin + 15_000, "{} used", day.used_cpus(0));
                keep_running(&mut day, at, 0, 2, 150.0);
                day.run_step();
            }
            took.push(day.now - begin);
            let used = day.run(16_000, |d| keep_running(d, at, 0, 2, 150.0))[0];
            assert!(used >= 0.95, "{used} of the limit used");
            day.deciders[at].waiting[0].clear();
        }
        // The tasks that the others still ran take up to 8 s to end.
        assert!(took.iter().all(|ms| *ms <= 11_000), "{took:?}");
    }
}

/// Wanted everywhere at once: nobody is over, nobody starves, and little moves once it is divided.
#[test]
fn all_decide_at_once() {
    for deciders in [3, 8] {
        let mut day = QuotaSimulation::new(8, deciders);
        let all = |d: &mut QuotaSimulation| {
            (0..deciders).for_each(|n| (0..TEAMS).for_each(|t| keep_running(d, n, t, 2, 60.0)))
        };
        day.run(20_000, all);
        let before = day.transaction_count;
        let used = day.run(20_000, all);
        // Of the 60 changes a second that the state service takes, once it is divided: two at most.
        assert!(
            day.transaction_count - before <= 40,
            "{} changes in 20 s",
            day.transaction_count - before
        );
        assert!(used.iter().all(|u| *u >= 0.95), "{used:?}");
        let least = |d: &SimulatedDecider| {
            (0..TEAMS)
                .map(|t| QuotaSimulation::quota_need(d, t).total_used().cpus.to_f64())
                .fold(f64::MAX, f64::min)
        };
        let least = day.deciders.iter().map(least).fold(f64::MAX, f64::min);
        assert!(least >= 0.3 * LIMIT / deciders as f64, "some decider uses {least} of a team");
    }
}

/// Production of a team at its limit does not wait for the team's other work elsewhere.
#[test]
fn production_elsewhere_has_less_urgent_work_stopped() {
    let mut day = QuotaSimulation::new(9, 3);
    day.run_until_used(0, 0.95, 12_000, |d| keep_running(d, 0, 0, 2, 150.0));
    day.submit(1, 0, 0, 40);
    let wants: f64 = day.deciders[1].waiting[0].iter().map(|t| t.cpus).sum();
    let begin = day.now;
    while !day.deciders[1].waiting[0].is_empty() {
        assert!(
            day.now < begin + 4_000,
            "{} of {wants} CPUs of production wait",
            day.wanted_cpus(0)
        );
        keep_running(&mut day, 0, 0, 2, 150.0);
        day.run_step();
    }
    assert!(day.violations.is_empty(), "{:?}", day.violations);
}

/// Crashes, cuts between deciders, the state service away, lost and late messages, all at once and wanted
/// everywhere: never over a limit; after the last fault the hot team is back at its limit.
#[test]
fn rough_days_break_no_limit_and_all_comes_back() {
    let mut back = Vec::new();
    for seed in 0..6 {
        let deciders = [3, 5, 8][seed as usize % 3];
        let mut day = QuotaSimulation::new(seed, deciders);
        (day.message_loss, day.message_delay) = (0.05, 0.02);
        for round in 0..5u64 {
            let (now, n) = (day.now, day.rng.random_range(0..deciders));
            match round {
                0 | 3 => day.crash(n),
                1 => day.store_outage = now..now + 6_000,
                2 => day.peer_partition = now..now + 8_000,
                _ => (0..deciders).for_each(|n| day.crash(n)),
            }
            day.run(12_000, |d| {
                let (n, t) = (d.rng.random_range(0..deciders), d.rng.random_range(0..TEAMS));
                let level = d.rng.random_range(0..3);
                d.submit(n, t, level, 2);
                keep_running(d, 0, 0, 2, 100.0);
            });
        }
        (day.message_loss, day.message_delay) = (0.0, 0.0);
        back.push(day.run_until_used(0, 0.95, 15_000, |d| keep_running(d, 0, 0, 2, 150.0)));
    }
}

/// A settings file with a lower limit reaches one controller first: the lower counts, and comes into force as
/// work that is stopped for it is proved gone. It rises again only when all name the higher.
#[test]
fn the_lower_of_two_limits_counts() {
    let lower = |cpus: f64| {
        let mut settings = team_limits();
        settings.insert(team_name(0), QuotaAccount::limits_from_settings(cpus, 0.0));
        settings
    };
    let set = |day: &mut QuotaSimulation, n: usize, cpus: f64| {
        day.deciders[n].planner.as_mut().expect("a holder").set_limits(lower(cpus));
    };
    let mut day = QuotaSimulation::new(11, 3);
    let all = |d: &mut QuotaSimulation| (0..3).for_each(|n| keep_running(d, n, 0, 1, 60.0));
    assert!(day.run(12_000, all)[0] >= 0.95);
    set(&mut day, 1, 60.0);
    day.run(4_000, all);
    assert!(day.used_cpus(0) <= 60.0, "{} used of 60", day.used_cpus(0));
    let used = day.run(8_000, all)[0];
    assert!((0.55..=0.6).contains(&used), "{used}");
    for n in [0, 2] {
        set(&mut day, n, 60.0);
    }
    set(&mut day, 1, 100.0);
    assert!(day.run(8_000, all)[0] <= 0.6, "two of three still name the lower");
    for n in [0, 2] {
        set(&mut day, n, 100.0);
    }
    assert!(day.run(8_000, all)[0] >= 0.95);
    // A team that nobody names any more gives up its amounts.
    for n in 0..3 {
        day.deciders[n].waiting[0].clear();
        let mut without = team_limits();
        without.remove(&team_name(0));
        day.deciders[n].planner.as_mut().expect("a holder").set_limits(without);
    }
    day.run(14_000, |_| ());
    let page =
        quota_records::parse_page(0, &day.store.list(quota_records::KEY_PREFIX, None, 1_000));
    assert!(!page.pool.0.teams.contains_key(&team_name(0)), "{page:?}");
}

/// A decider that is no longer there holds nothing back: its amounts go to the pool, then it leaves the page.
#[test]
fn a_decider_that_retires_leaves_nothing_behind() {
    let mut day = QuotaSimulation::new(12, 3);
    let all = |d: &mut QuotaSimulation| (0..3).for_each(|n| keep_running(d, n, 0, 1, 60.0));
    day.run(10_000, all);
    (0..TEAMS).for_each(|t| day.deciders[2].waiting[t].clear());
    day.run(16_000, |d| (0..2).for_each(|n| keep_running(d, n, 0, 1, 60.0)));
    let mut holder = day.deciders[2].planner.take().expect("a holder");
    day.deciders[2].restarts_at = u64::MAX;
    let txn = holder.account.remove_holding().expect("it holds nothing");
    assert!(matches!(
        day.store.apply_transaction(&quota_records::to_transaction(&txn, key_text)),
        TransactionResult::Committed(_)
    ));
    assert!(day.run(8_000, |d| (0..2).for_each(|n| keep_running(d, n, 0, 1, 60.0)))[0] >= 0.95);
    let page =
        quota_records::parse_page(0, &day.store.list(quota_records::KEY_PREFIX, None, 1_000));
    assert_eq!(page.holdings.len(), 2);
}

/// A guarantee is by the sum: a team that uses little here and much elsewhere is beyond it. What others borrowed
/// is recalled where most of it is, once, and answered when it is proved gone.
#[test]
fn borrowed_work_is_recalled_where_most_of_it_is() {
    let mut day = QuotaSimulation::new(13, 3);
    let used = |d: &QuotaSimulation, n: usize| {
        QuotaSimulation::quota_need(&d.deciders[n], 1).total_used().cpus.to_f64()
    };
    day.run(12_000, |d| {
        for (n, most) in [(0, 20.0), (1, 60.0), (2, 10.0)] {
            if used(d, n) < most {
                keep_running(d, n, 1, 2, 5.0);
            }
        }
    });
    let guarantees = BTreeMap::from([(team_name(1), ResourceQuantities::from_limit(30.0, 0.0))]);
    let before: Vec<f64> = (0..3).map(|n| used(&day, n)).collect();
    let now = day.now;
    let holder = day.deciders[0].planner.as_mut().expect("a holder");
    let one = ResourceQuantities::from_request(1.0, 0.0);
    assert!(!holder.is_within_guarantee(
        &team_name(1),
        ResourceQuantities::from_limit(30.0, 0.0),
        one
    ));
    assert!(holder.is_within_guarantee(
        &team_name(1),
        ResourceQuantities::from_limit(300.0, 0.0),
        one
    ));
    let lacks = ResourceQuantities::from_request(15.0, 0.0);
    let asked = holder
        .revoke_borrowed_quota(&guarantees, lacks, now)
        .expect("there is something to recall");
    assert!(
        holder.revoke_borrowed_quota(&guarantees, lacks, now).is_none(),
        "one question at a time"
    );
    assert!(matches!(&asked, QuotaAction::SendMessage(to, _) if to == "share-1"), "{asked:?}");
    day.execute_actions(0, vec![asked]);
    day.run(1_500, |_| ());
    assert!(used(&day, 1) <= before[1] - 15.0, "{before:?}, now {}", used(&day, 1));
    let holder = day.deciders[0].planner.as_mut().expect("a holder");
    assert!(
        holder.revoke_borrowed_quota(&guarantees, lacks, day.now).is_some(),
        "the first has come to its end"
    );
}
