//! Amounts among several deciders: every order of steps in small worlds, and long days in larger ones.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_quota::account::{Next, Outcome};
use swiftsail_quota::planner::{Action, Message, Need, Planner};
use swiftsail_quota::records::{Key, Txn};
use swiftsail_quota::{Account, Amounts};
use swiftsail_controller::accounts;
use swiftsail_controller::settings::State;
use swiftsail_simulation::amounts::{Chances, Deciders, Step, Without};
use swiftsail_simulation::explorer::{Found, explore};
use swiftsail_simulation::store::{Committed, Store};
use swiftsail_protocol::state::{Change, Commit};

fn small(without: Without, chances: Chances, most: usize) -> Found<Step> {
    explore(Deciders::new(2, 2, without, chances).begun(2), 40, most)
}

const FEW: Chances = Chances { crashes: 1, losses: 1, changes: 0 };

#[test]
fn no_order_of_steps_breaks_a_limit() {
    for chances in [FEW, Chances { crashes: 0, losses: 1, changes: 1 }] {
        let found = small(Without::Nothing, chances, 60_000);
        assert!(found.broken.is_none(), "{found:?}");
        assert!(
            found.worlds == 60_000 && found.depth >= 6,
            "{} worlds, {}",
            found.worlds,
            found.depth
        );
    }
}

/// Each guard that keeps a limit is needed: without it the explorer finds a history that breaks one.
#[test]
fn every_guard_is_needed() {
    let crash = Chances { crashes: 1, losses: 0, changes: 0 };
    let calm = Chances { crashes: 0, losses: 0, changes: 0 };
    let change = Chances { crashes: 0, losses: 0, changes: 2 };
    let guards = [
        (Without::Token, crash),
        (Without::OwnStamp, calm),
        (Without::OtherStamp, calm),
        (Without::OnItsWay, calm),
        (Without::Unproved, calm),
        (Without::LowerLimit, change),
    ];
    for (without, chances) in guards {
        let found = small(without, chances, 200_000);
        let (what, history) = found.broken.unwrap_or_else(|| panic!("{without:?} is not missed"));
        assert!(history.len() <= 10, "{without:?}: {what}, after {history:?}");
        let same = small(Without::Nothing, chances, found.worlds);
        assert!(same.broken.is_none(), "{same:?}");
    }
}

// ---- long days -----------------------------------------------------------------------------------

const STEP_MS: u64 = 50;
const TEAMS: usize = 12;
const LIMIT: f64 = 100.0;

/// A task that waits or runs: urgency, CPUs, and when it ends.
#[derive(Debug, Clone, Copy)]
struct Task {
    level: usize,
    cpus: f64,
    ends: u64,
}

struct Decider {
    name: String,
    token: u64,
    holder: Option<Planner>,
    back_at: u64,
    waiting: Vec<Vec<Task>>,
    running: Vec<Vec<Task>>,
}

enum Mail {
    Txn(usize, u64, Txn, bool),
    Outcome(usize, u64, (u64, u64), Outcome),
    Between(usize, usize, Message),
}

struct Day {
    now: u64,
    rng: StdRng,
    store: Store,
    tokens: u64,
    deciders: Vec<Decider>,
    mail: Vec<(u64, Mail)>,
    away: std::ops::Range<u64>,
    apart: std::ops::Range<u64>,
    loss: f64,
    late: f64,
    writes: u64,
    refused: u64,
    broken: Vec<String>,
}

fn team(n: usize) -> String {
    format!("team-{n:02}")
}

fn settings() -> BTreeMap<String, Amounts> {
    (0..TEAMS).map(|t| (team(t), Account::of_settings(LIMIT, 0.0))).collect()
}

fn name_of(key: &Key) -> String {
    match key {
        Key::Token(d) => format!("token/{d}"),
        other => accounts::key(0, other),
    }
}

impl Day {
    fn new(seed: u64, deciders: usize) -> Day {
        let limits = State { rps: 600.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 16, next: None };
        let mut day = Day {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            store: Store::new(limits, 1_000),
            tokens: 0,
            deciders: Vec::new(),
            mail: Vec::new(),
            away: 0..0,
            apart: 0..0,
            loss: 0.0,
            late: 0.0,
            writes: 0,
            refused: 0,
            broken: Vec::new(),
        };
        for n in 0..deciders {
            day.deciders.push(Decider {
                name: format!("share-{n}"),
                token: 0,
                holder: None,
                back_at: 0,
                waiting: vec![Vec::new(); TEAMS],
                running: vec![Vec::new(); TEAMS],
            });
        }
        day
    }

    fn crash(&mut self, n: usize) {
        self.deciders[n].holder = None;
        self.deciders[n].back_at = self.now + 2_000;
    }

    fn claim(&mut self, n: usize) {
        // The store is the arbiter of tokens, as ever: a key of the decider, written anew.
        let key = format!("token/{}", self.deciders[n].name);
        let write = Change::Write { write: key, value: 1.into(), mooring: None };
        let done = self.store.commit(&Commit { when: Vec::new(), apply: vec![write] });
        let Committed::At(token) = done else { panic!("{done:?}") };
        let pace = 100 * self.deciders.len() as u64;
        let mut planner = Planner::new(&self.deciders[n].name, token, pace);
        planner.set_limits(settings());
        self.tokens += 1;
        (self.deciders[n].token, self.deciders[n].holder) = (token, Some(planner));
    }

    fn need(decider: &Decider, t: usize) -> Need {
        let mut need = Need::default();
        for task in &decider.running[t] {
            need.used[task.level] += Amounts::need(task.cpus, 0.0);
        }
        for task in &decider.waiting[t] {
            need.wants[task.level] += Amounts::need(task.cpus, 0.0);
        }
        need
    }

    fn used(&self, t: usize) -> f64 {
        self.deciders.iter().flat_map(|d| &d.running[t]).map(|task| task.cpus).sum()
    }

    fn wanted(&self, t: usize) -> f64 {
        let waiting: f64 = self.deciders.iter().flat_map(|d| &d.waiting[t]).map(|t| t.cpus).sum();
        waiting + self.used(t)
    }

    fn submit(&mut self, n: usize, t: usize, level: usize, tasks: usize) {
        for _ in 0..tasks {
            let cpus = f64::from(self.rng.random_range(1..=10u32)) / 10.0;
            let ends = self.rng.random_range(2_000..8_000);
            self.deciders[n].waiting[t].push(Task { level, cpus, ends });
        }
    }

    fn post(&mut self, after: u64, mail: Mail) {
        let lost = self.rng.random_bool(self.loss);
        let late = self.rng.random_bool(self.late);
        let after = if late { self.rng.random_range(2_000..20_000) } else { after };
        if !lost {
            self.mail.push((self.now + after, mail));
        }
    }

    fn act(&mut self, n: usize, actions: Vec<Action>) {
        let token = self.deciders[n].token;
        for action in actions {
            match action {
                Action::Send(txn) => {
                    // Its answer may be lost: after a second it is not known.
                    let by = txn.by;
                    self.mail
                        .push((self.now + 1_000, Mail::Outcome(n, token, by, Outcome::Unknown)));
                    self.post(10, Mail::Txn(n, token, txn, true));
                }
                Action::Read if !self.away.contains(&self.now) => {
                    let page = accounts::page(0, &self.store.list(accounts::PREFIX, None, 1_000));
                    let now = self.now;
                    if let Some(holder) = &mut self.deciders[n].holder {
                        holder.on_page(&page, now);
                    }
                }
                Action::Read => {}
                Action::Tell(to, message) => {
                    let to = self.deciders.iter().position(|d| d.name == to).expect("a decider");
                    if !self.apart.contains(&self.now) {
                        self.post(5, Mail::Between(n, to, message));
                    }
                }
                Action::Free { team: name, level, amount } => {
                    let t = (0..TEAMS).find(|t| team(*t) == name).expect("a team");
                    let mut left = amount.cpus.number();
                    // Proof takes a moment: they end soon, and are counted until then.
                    for task in self.deciders[n].running[t].iter_mut().filter(|t| t.level > level) {
                        if left > 0.0 {
                            left -= task.cpus;
                            task.ends = task.ends.min(self.now + 400);
                        }
                    }
                }
            }
        }
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Txn(n, token, txn, answer) => {
                let refused = !self.store.admit(txn.apply.len(), self.now);
                self.refused += u64::from(refused);
                if refused || self.away.contains(&self.now) {
                    return;
                }
                self.writes += txn.apply.len() as u64;
                let commit = accounts::commit(&txn, name_of);
                let keys = txn.when.iter().map(|(k, _)| k.clone());
                let outcome = match self.store.commit(&commit) {
                    Committed::At(stamp) => Outcome::Committed(stamp),
                    Committed::Failed(failed) => {
                        Outcome::Conflict(keys.filter(|k| failed.contains(&name_of(k))).collect())
                    }
                    other => panic!("{other:?}"),
                };
                if answer {
                    self.post(10, Mail::Outcome(n, token, txn.by, outcome));
                }
            }
            Mail::Outcome(n, token, by, outcome) if self.deciders[n].token == token => {
                let Some(holder) = &mut self.deciders[n].holder else { return };
                match holder.account.on_outcome(by, &outcome) {
                    Next::Again(txn) => self.act(n, vec![Action::Send(txn)]),
                    Next::Read => self.act(n, vec![Action::Read]),
                    Next::Rest => {}
                }
            }
            Mail::Between(from, to, message) => {
                let (name, now) = (self.deciders[from].name.clone(), self.now);
                if let Some(holder) = &mut self.deciders[to].holder {
                    let actions = holder.on_message(&name, message, now);
                    self.act(to, actions);
                }
            }
            Mail::Outcome(..) => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for decider in &mut self.deciders {
            decider.running.iter_mut().for_each(|tasks| tasks.retain(|t| t.ends > now));
        }
        let (due, later) = std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= now);
        self.mail = later;
        let due: Vec<(u64, Mail)> = due;
        due.into_iter().for_each(|(_, mail)| self.deliver(mail));
        for n in 0..self.deciders.len() {
            if self.deciders[n].holder.is_none()
                && now >= self.deciders[n].back_at
                && !self.away.contains(&now)
            {
                self.claim(n);
            }
            // The watch of the page, and what waits.
            if now.is_multiple_of(STEP_MS * 4) {
                self.act(n, vec![Action::Read]);
            }
            let away = self.away.contains(&now);
            let decider = &mut self.deciders[n];
            let Some(mut holder) = decider.holder.take() else { continue };
            for t in 0..TEAMS {
                decider.waiting[t].sort_by_key(|t| std::cmp::Reverse(t.level));
                holder.set_need(&team(t), Day::need(decider, t));
                while let Some(next) = decider.waiting[t].last().copied()
                    && !away
                    && holder.leaves(&team(t), next.level).covers(Amounts::need(next.cpus, 0.0))
                {
                    decider.waiting[t].pop();
                    decider.running[t].push(Task { ends: now + next.ends, ..next });
                    holder.set_need(&team(t), Day::need(decider, t));
                }
            }
            let actions = holder.tick(now);
            decider.holder = Some(holder);
            self.act(n, actions);
        }
        self.check();
    }

    fn check(&mut self) {
        for t in 0..TEAMS {
            let used = self.used(t);
            if used > LIMIT + 1e-6 {
                self.broken.push(format!("quota: {} uses {used} at {}", team(t), self.now));
            }
        }
        let page = accounts::page(0, &self.store.list(accounts::PREFIX, None, 1_000));
        if !page.conserved() {
            self.broken.push(format!("not conserved at {}: {page:?}", self.now));
        }
    }

    /// Lets time pass. Returns what each team used on the mean of the second half, as a share of its limit.
    fn run(&mut self, ms: u64, mut arrivals: impl FnMut(&mut Day)) -> Vec<f64> {
        let (begin, mut used, mut steps) = (self.now, vec![0.0; TEAMS], 0.0);
        while self.now < begin + ms {
            arrivals(self);
            self.step();
            if self.now > begin + ms / 2 {
                steps += LIMIT;
                (0..TEAMS).for_each(|t| used[t] += self.used(t));
            }
        }
        assert!(self.broken.is_empty(), "{:?}", &self.broken[..self.broken.len().min(3)]);
        used.iter().map(|u| u / steps).collect()
    }

    /// Lets time pass until a team uses so much of its limit. Returns the time it took, ms.
    fn until_used(
        &mut self,
        t: usize,
        share: f64,
        most: u64,
        mut arrivals: impl FnMut(&mut Day),
    ) -> u64 {
        let begin = self.now;
        while self.used(t) < LIMIT * share {
            assert!(self.now < begin + most, "{} of {} after {most} ms", self.used(t), team(t));
            arrivals(self);
            self.step();
        }
        self.now - begin
    }
}

/// Keeps so many CPUs of a team wanted at a decider.
fn keep(day: &mut Day, n: usize, t: usize, level: usize, cpus: f64) {
    while day.deciders[n].waiting[t].iter().map(|t| t.cpus).sum::<f64>() < cpus {
        day.submit(n, t, level, 4);
    }
}

/// A hot team's work moves from decider to decider; its amounts follow.
#[test]
fn a_hot_teams_amounts_follow_its_work() {
    for deciders in [3, 8] {
        let mut day = Day::new(7, deciders);
        let mut took = Vec::new();
        for turn in 0..6 {
            let at = turn % deciders;
            let begin = day.now;
            let alone =
                |d: &Day| Day::need(&d.deciders[at], 0).uses().cpus.number() >= 0.95 * LIMIT;
            while !alone(&day) {
                assert!(day.now < begin + 15_000, "{} used", day.used(0));
                keep(&mut day, at, 0, 2, 150.0);
                day.step();
            }
            took.push(day.now - begin);
            let used = day.run(16_000, |d| keep(d, at, 0, 2, 150.0))[0];
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
        let mut day = Day::new(8, deciders);
        let all = |d: &mut Day| {
            (0..deciders).for_each(|n| (0..TEAMS).for_each(|t| keep(d, n, t, 2, 60.0)))
        };
        day.run(20_000, all);
        let before = day.writes;
        let used = day.run(20_000, all);
        // Of the 60 changes a second that the state service takes, once it is divided: two at most.
        assert!(day.writes - before <= 40, "{} changes in 20 s", day.writes - before);
        assert!(used.iter().all(|u| *u >= 0.95), "{used:?}");
        let least = |d: &Decider| {
            (0..TEAMS).map(|t| Day::need(d, t).uses().cpus.number()).fold(f64::MAX, f64::min)
        };
        let least = day.deciders.iter().map(least).fold(f64::MAX, f64::min);
        assert!(least >= 0.3 * LIMIT / deciders as f64, "some decider uses {least} of a team");
    }
}

/// Production of a team at its limit does not wait for the team's other work elsewhere.
#[test]
fn production_elsewhere_has_less_urgent_work_stopped() {
    let mut day = Day::new(9, 3);
    day.until_used(0, 0.95, 12_000, |d| keep(d, 0, 0, 2, 150.0));
    day.submit(1, 0, 0, 40);
    let wants: f64 = day.deciders[1].waiting[0].iter().map(|t| t.cpus).sum();
    let begin = day.now;
    while !day.deciders[1].waiting[0].is_empty() {
        assert!(day.now < begin + 4_000, "{} of {wants} CPUs of production wait", day.wanted(0));
        keep(&mut day, 0, 0, 2, 150.0);
        day.step();
    }
    assert!(day.broken.is_empty(), "{:?}", day.broken);
}

/// Crashes, cuts between deciders, the state service away, lost and late messages, all at once and wanted
/// everywhere: never over a limit; after the last fault the hot team is back at its limit.
#[test]
fn rough_days_break_no_limit_and_all_comes_back() {
    let mut back = Vec::new();
    for seed in 0..6 {
        let deciders = [3, 5, 8][seed as usize % 3];
        let mut day = Day::new(seed, deciders);
        (day.loss, day.late) = (0.05, 0.02);
        for round in 0..5u64 {
            let (now, n) = (day.now, day.rng.random_range(0..deciders));
            match round {
                0 | 3 => day.crash(n),
                1 => day.away = now..now + 6_000,
                2 => day.apart = now..now + 8_000,
                _ => (0..deciders).for_each(|n| day.crash(n)),
            }
            day.run(12_000, |d| {
                let (n, t) = (d.rng.random_range(0..deciders), d.rng.random_range(0..TEAMS));
                let level = d.rng.random_range(0..3);
                d.submit(n, t, level, 2);
                keep(d, 0, 0, 2, 100.0);
            });
        }
        (day.loss, day.late) = (0.0, 0.0);
        back.push(day.until_used(0, 0.95, 15_000, |d| keep(d, 0, 0, 2, 150.0)));
    }
}

/// A settings file with a lower limit reaches one controller first: the lower counts, and comes into force as
/// work that is stopped for it is proved gone. It rises again only when all name the higher.
#[test]
fn the_lower_of_two_limits_counts() {
    let lower = |cpus: f64| {
        let mut settings = settings();
        settings.insert(team(0), Account::of_settings(cpus, 0.0));
        settings
    };
    let set = |day: &mut Day, n: usize, cpus: f64| {
        day.deciders[n].holder.as_mut().expect("a holder").set_limits(lower(cpus));
    };
    let mut day = Day::new(11, 3);
    let all = |d: &mut Day| (0..3).for_each(|n| keep(d, n, 0, 1, 60.0));
    assert!(day.run(12_000, all)[0] >= 0.95);
    set(&mut day, 1, 60.0);
    day.run(4_000, all);
    assert!(day.used(0) <= 60.0, "{} used of 60", day.used(0));
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
        let mut without = settings();
        without.remove(&team(0));
        day.deciders[n].holder.as_mut().expect("a holder").set_limits(without);
    }
    day.run(14_000, |_| ());
    let page = accounts::page(0, &day.store.list(accounts::PREFIX, None, 1_000));
    assert!(!page.pool.0.teams.contains_key(&team(0)), "{page:?}");
}

/// A decider that is no longer there holds nothing back: its amounts go to the pool, then it leaves the page.
#[test]
fn a_decider_that_retires_leaves_nothing_behind() {
    let mut day = Day::new(12, 3);
    let all = |d: &mut Day| (0..3).for_each(|n| keep(d, n, 0, 1, 60.0));
    day.run(10_000, all);
    (0..TEAMS).for_each(|t| day.deciders[2].waiting[t].clear());
    day.run(16_000, |d| (0..2).for_each(|n| keep(d, n, 0, 1, 60.0)));
    let mut holder = day.deciders[2].holder.take().expect("a holder");
    day.deciders[2].back_at = u64::MAX;
    let txn = holder.account.retire().expect("it holds nothing");
    assert!(matches!(day.store.commit(&accounts::commit(&txn, name_of)), Committed::At(_)));
    assert!(day.run(8_000, |d| (0..2).for_each(|n| keep(d, n, 0, 1, 60.0)))[0] >= 0.95);
    let page = accounts::page(0, &day.store.list(accounts::PREFIX, None, 1_000));
    assert_eq!(page.holdings.len(), 2);
}

/// A guarantee is by the sum: a team that uses little here and much elsewhere is beyond it. What others borrowed
/// is recalled where most of it is, once, and answered when it is proved gone.
#[test]
fn borrowed_work_is_recalled_where_most_of_it_is() {
    let mut day = Day::new(13, 3);
    let used = |d: &Day, n: usize| Day::need(&d.deciders[n], 1).uses().cpus.number();
    day.run(12_000, |d| {
        for (n, most) in [(0, 20.0), (1, 60.0), (2, 10.0)] {
            if used(d, n) < most {
                keep(d, n, 1, 2, 5.0);
            }
        }
    });
    let guarantees = BTreeMap::from([(team(1), Amounts::limit(30.0, 0.0))]);
    let before: Vec<f64> = (0..3).map(|n| used(&day, n)).collect();
    let now = day.now;
    let holder = day.deciders[0].holder.as_mut().expect("a holder");
    let one = Amounts::need(1.0, 0.0);
    assert!(!holder.guaranteed(&team(1), Amounts::limit(30.0, 0.0), one));
    assert!(holder.guaranteed(&team(1), Amounts::limit(300.0, 0.0), one));
    let lacks = Amounts::need(15.0, 0.0);
    let asked = holder.recall(&guarantees, lacks, now).expect("there is something to recall");
    assert!(holder.recall(&guarantees, lacks, now).is_none(), "one question at a time");
    assert!(matches!(&asked, Action::Tell(to, _) if to == "share-1"), "{asked:?}");
    day.act(0, vec![asked]);
    day.run(1_500, |_| ());
    assert!(used(&day, 1) <= before[1] - 15.0, "{before:?}, now {}", used(&day, 1));
    let holder = day.deciders[0].holder.as_mut().expect("a holder");
    assert!(holder.recall(&guarantees, lacks, day.now).is_some(), "the first has come to its end");
}
