//! Limits held in the state service, where operators switch that on (`[amounts] durable`): every controller
//! writes down what its settings say, and the leader, the one decider there is, uses what it holds. A limit
//! that is lower in one controller's settings then counts for all, whoever leads.

use super::{Node, Purpose};
use crate::Time;
use crate::accounts::{self, PREFIX};
use crate::constants::*;
use crate::job::keys;
use crate::settings::Team;
use crate::store::{Call, Outcome, Patience, Urgency};
use crate::tables::{Tables, amounts_of};
use std::collections::BTreeMap;
use swiftsail_quota::account::{self, Next, Phase};
use swiftsail_quota::records::{Decider, Key, Txn};
use swiftsail_quota::{Account, Amount, Amounts};
use swiftsail_protocol::state::Page;

/// The one decider.
const ALL: &str = "all";
/// Prefix of records that hold nothing and only say what a controller's settings name.
const SEEN: &str = "seen-";

/// This controller's accounts.
#[derive(Debug)]
pub(super) struct Desk {
    enabled: bool,
    /// What the settings say, by page.
    pages: Vec<BTreeMap<String, Amounts>>,
    /// What this controller's settings name, by page; of a leader also what it holds.
    seen: Vec<Account>,
    held: Vec<Account>,
    /// When the records are to be read again.
    read_at: Time,
}

impl Desk {
    pub fn new(enabled: bool, node: &str, teams: &[Team]) -> Desk {
        let names = accounts::pages(teams.iter().map(|t| t.name.clone()).collect());
        let limit = |name: &String| {
            let team = teams.iter().find(|t| t.name == *name)?;
            Some((name.clone(), Account::of_settings(team.cpus_max, team.gpus_max)))
        };
        let pages: Vec<BTreeMap<String, Amounts>> =
            names.iter().map(|page| page.iter().filter_map(limit).collect()).collect();
        let seen = pages.iter().map(|_| Account::new(&format!("{SEEN}{node}"), 0)).collect();
        Desk { enabled, pages, seen, held: Vec::new(), read_at: 0 }
    }

    /// What the leader may use of each team; none: the settings alone count.
    fn caps(&self, teams: &[Team]) -> Option<Vec<Amounts>> {
        let cap = |team: &Team| {
            let page = self.pages.iter().position(|p| p.contains_key(&team.name));
            let held = page.and_then(|n| self.held.get(n));
            held.map_or(Amounts::default(), |a| a.usable(&team.name) - a.owes(&team.name))
        };
        self.enabled.then(|| teams.iter().map(cap).collect())
    }
}

/// The key of a condition or change. What only says what settings name is written by its controller alone, and
/// has no token: the condition is that a key which nobody writes is not there.
fn name(page: usize) -> impl Fn(&Key) -> String {
    move |key| match key {
        Key::Token(decider) if decider.starts_with(SEEN) => format!("{PREFIX}{page}/none"),
        other => accounts::key(page, other),
    }
}

impl Node {
    /// A new term: what the decider holds is read with everything else.
    pub(super) fn open_desk(&mut self) {
        let desk = &mut self.desk;
        if !desk.enabled {
            return;
        }
        desk.held = desk.pages.iter().map(|_| Account::new(ALL, self.term.token)).collect();
        self.read_desk(Urgency::Term);
    }

    /// The term has ended.
    pub(super) fn close_desk(&mut self) {
        self.desk.held.clear();
    }

    fn read_desk(&mut self, urgency: Urgency) {
        self.desk.read_at = self.now.steady + DESK_READ_MS;
        let call = Call::List { prefix: PREFIX.into(), from: None };
        let until = self.now.steady + DESK_READ_MS;
        let purpose = Purpose::ReadAmounts { token: self.term.token };
        self.store.push(call, purpose, urgency, Patience::Once(until));
    }

    /// The records have been read: limits are agreed on, what is free is taken, what is owed given back.
    pub(super) fn desk_read(&mut self, token: u64, outcome: &Outcome) {
        let Outcome::Page(listed) = outcome else {
            // A leader binds nothing until it knows what it holds.
            self.desk.read_at = self.now.steady + DESK_AGAIN_MS;
            return;
        };
        for (n, account) in self.desk.seen.iter_mut().enumerate() {
            account.on_page(&accounts::page(n, listed));
        }
        // What was asked for before this lead began may tell what its predecessor has given away since.
        let own = token == self.term.token;
        for (n, account) in self.desk.held.iter_mut().enumerate().filter(|_| own) {
            account.on_page(&accounts::page(n, listed));
        }
        self.drop_strangers(listed);
        self.settle_desk();
    }

    /// What a controller that is no longer of this deployment once named does not count for ever.
    fn drop_strangers(&mut self, listed: &Page) {
        if !self.leads() {
            return;
        }
        for n in 0..self.desk.pages.len() {
            let page = accounts::page(n, listed);
            let known = |decider: &Decider| {
                let node = decider.strip_prefix(SEEN);
                let others = self.settings.others.iter().map(|o| &o.host_name);
                node.is_none_or(|node| others.chain([&self.settings.host_name]).any(|o| o == node))
            };
            let Some(stranger) = page.holdings.keys().find(|d| !known(d)) else { continue };
            tracing::info!(record = %stranger, "limits of a controller that is no longer there are dropped");
            let mut account = Account::new(stranger, 0);
            account.on_page(&page);
            if let Some(txn) = account.retire() {
                self.send_amounts(n, &txn, false);
            }
        }
    }

    /// What each account does next.
    fn settle_desk(&mut self) {
        let mut out: Vec<(usize, Txn, bool)> = Vec::new();
        let teams = &self.settings.settings.teams;
        let used: BTreeMap<String, Amounts> = match &self.leader {
            Some(leader) => teams.iter().map(|t| t.name.clone()).zip(leader.usage(teams)).collect(),
            None => BTreeMap::new(),
        };
        for (n, settings) in self.desk.pages.iter().enumerate() {
            if let Some(txn) = self.desk.seen[n].agree(settings) {
                out.push((n, txn, false));
            }
            // Before it has read its bindings a new leader does not know what is used.
            let loaded = self.leader.is_some();
            let Some(account) = self.desk.held.get_mut(n) else { continue };
            let all: BTreeMap<String, Amounts> =
                settings.keys().map(|t| (t.clone(), Account::of_settings(0.0, 0.0))).collect();
            let owed: BTreeMap<String, Amounts> =
                account.page().pool.0.teams.keys().map(|t| (t.clone(), account.owes(t))).collect();
            let txn = account.agree(settings).or_else(|| account.take(&all));
            let txn = txn.or_else(|| loaded.then(|| account.give(None, &owed, &used)).flatten());
            if let Some(txn) = txn {
                out.push((n, txn, true));
            }
        }
        for (n, txn, held) in out {
            self.send_amounts(n, &txn, held);
        }
    }

    fn send_amounts(&mut self, page: usize, txn: &Txn, held: bool) {
        let commit = accounts::commit(txn, name(page));
        let era = held.then_some(self.term.era);
        let purpose = Purpose::Amounts { era, page, by: txn.by };
        self.store.push(Call::Commit(commit), purpose, Urgency::Work, Patience::Always);
    }

    /// A transaction has ended.
    pub(super) fn desk_moved(
        &mut self,
        held: bool,
        page: usize,
        by: (u64, u64),
        outcome: &Outcome,
    ) {
        let outcome = match outcome {
            Outcome::Committed(stamp) => account::Outcome::Committed(*stamp),
            Outcome::Conflict(failed) if held && failed.iter().any(|k| k == keys::LEADER) => {
                return self.step_down("the store knows of another term");
            }
            Outcome::Conflict(_) => account::Outcome::Conflict(vec![Key::Pool]),
            other => {
                tracing::error!(outcome = ?other, "a transaction of amounts was not taken");
                account::Outcome::Conflict(vec![Key::Pool])
            }
        };
        let accounts = if held { &mut self.desk.held } else { &mut self.desk.seen };
        let Some(account) = accounts.get_mut(page) else { return };
        match account.on_outcome(by, &outcome) {
            Next::Rest => self.settle_desk(),
            _ => self.read_desk(Urgency::Work),
        }
    }

    /// With every timer step: reads now and then, tells the tables what may be used, and stops what a lowered
    /// limit no longer covers.
    pub(super) fn tend_desk(&mut self) {
        let now = self.now.steady;
        if !self.desk.enabled {
            return;
        }
        if now >= self.desk.read_at {
            self.read_desk(Urgency::Tidy);
        }
        let teams = &self.settings.settings.teams;
        let caps = self.desk.caps(teams);
        let Some(leader) = &mut self.leader else { return };
        leader.caps = caps;
        let over = self.desk.held.iter().all(|a| a.phase() != Phase::Reading);
        if over && now >= leader.shrunk_at + DESK_READ_MS {
            leader.shrunk_at = now;
            leader.stop_what_is_over(teams, now);
        }
    }
}

impl Tables {
    /// Stops arrays of teams that use more than they may, least work lost first, less what is being stopped.
    fn stop_what_is_over(&mut self, teams: &[Team], now: Time) {
        let used = self.usage(teams);
        let mut stops = Vec::new();
        for (n, team) in teams.iter().enumerate() {
            let left = self.cap(n, team).left(used[n]);
            let own = self.jobs.values().filter(|j| j.spec.team == team.name && !j.cancelled());
            let mut over = Amounts::default() - left;
            let mut found = Vec::new();
            for job in own {
                let each = amounts_of(&job.spec);
                for (task, a) in job.attempts.iter().filter(|(_, a)| a.occupies()) {
                    if a.stop.is_some() {
                        over -= each;
                    } else if job.spec.kind == crate::job::Kind::Array {
                        let lost = a.ran_at.map_or(0, |at| now.saturating_sub(at));
                        found.push((job.spec.priority, lost, job.id.clone(), *task, each));
                    }
                }
            }
            found.sort_by(|a, b| (a.0, a.1, &a.2, a.3).cmp(&(b.0, b.1, &b.2, b.3)));
            for (_, _, id, task, each) in found {
                if over.cpus <= Amount::ZERO && over.gpus <= Amount::ZERO {
                    break;
                }
                over -= each;
                stops.push((id, task));
            }
        }
        if !stops.is_empty() {
            tracing::info!(tasks = stops.len(), "stopped: limits were lowered");
        }
        for (id, task) in stops {
            self.want_stop(&id, task, now);
        }
    }
}
