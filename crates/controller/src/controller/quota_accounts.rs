//! Limits held in the state service, where operators switch that on (`[amounts] durable`): every controller
//! writes down what its settings say, and the leader, the one decider there is, uses what it holds. A limit
//! that is lower in one controller's settings then counts for all, whoever leads.

use super::{CallContext, Controller};
use crate::Time;
use crate::cluster_state::{ClusterState, quota_per_task};
use crate::constants::{QUOTA_READ_INTERVAL_MS, QUOTA_RETRY_MS};
use crate::job::keys;
use crate::quota_records::{self, KEY_PREFIX};
use crate::settings::TeamSettings;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::BTreeMap;
use swiftsail_protocol::state::KeyPage;
use swiftsail_quota::account::{self, AccountPhase, AccountStep};
use swiftsail_quota::records::{PartitionId, QuotaKey, QuotaTransaction};
use swiftsail_quota::{Quantity, QuotaAccount, ResourceQuantities};

/// The one decider.
const SHARED_HOLDER: &str = "all";
/// Prefix of records that hold nothing and only say what a controller's settings name.
const OBSERVED_PREFIX: &str = "seen-";

/// This controller's accounts.
#[derive(Debug)]
pub(super) struct QuotaAccounts {
    enabled: bool,
    /// What the settings say, by page.
    pages: Vec<BTreeMap<String, ResourceQuantities>>,
    /// What this controller's settings name, by page; of a leader also what it holds.
    observed: Vec<QuotaAccount>,
    balances: Vec<QuotaAccount>,
    /// When the records are to be read again.
    read_at: Time,
}

impl QuotaAccounts {
    pub fn new(enabled: bool, node: &str, teams: &[TeamSettings]) -> QuotaAccounts {
        let names =
            quota_records::divide_into_pages(teams.iter().map(|t| t.name.clone()).collect());
        let limit = |name: &String| {
            let team = teams.iter().find(|t| t.name == *name)?;
            Some((name.clone(), QuotaAccount::limits_from_settings(team.cpus_max, team.gpus_max)))
        };
        let pages: Vec<BTreeMap<String, ResourceQuantities>> =
            names.iter().map(|page| page.iter().filter_map(limit).collect()).collect();
        let observed = pages
            .iter()
            .map(|_| QuotaAccount::new(&format!("{OBSERVED_PREFIX}{node}"), 0))
            .collect();
        QuotaAccounts { enabled, pages, observed, balances: Vec::new(), read_at: 0 }
    }

    /// What the leader may use of each team; none: the settings alone count.
    fn caps(&self, teams: &[TeamSettings]) -> Option<Vec<ResourceQuantities>> {
        let cap = |team: &TeamSettings| {
            let page = self.pages.iter().position(|p| p.contains_key(&team.name));
            let held = page.and_then(|n| self.balances.get(n));
            held.map_or(ResourceQuantities::default(), |a| {
                a.usable_amount(&team.name) - a.owed_amount(&team.name)
            })
        };
        self.enabled.then(|| teams.iter().map(cap).collect())
    }
}

/// The key of a condition or change. What only says what settings name is written by its controller alone, and
/// has no token: the condition is that a key which nobody writes is not there.
fn name(page: usize) -> impl Fn(&QuotaKey) -> String {
    move |key| match key {
        QuotaKey::FencingToken(decider) if decider.starts_with(OBSERVED_PREFIX) => {
            format!("{KEY_PREFIX}{page}/none")
        }
        other => quota_records::store_key(page, other),
    }
}

impl Controller {
    /// A new term: what the decider holds is read with everything else.
    pub(super) fn load_quota_accounts(&mut self) {
        let desk = &mut self.quota_accounts;
        if !desk.enabled {
            return;
        }
        desk.balances = desk
            .pages
            .iter()
            .map(|_| QuotaAccount::new(SHARED_HOLDER, self.leadership.token))
            .collect();
        self.read_quota_accounts(CallPriority::Leadership);
    }

    /// The term has ended.
    pub(super) fn discard_quota_accounts(&mut self) {
        self.quota_accounts.balances.clear();
    }

    fn read_quota_accounts(&mut self, urgency: CallPriority) {
        self.quota_accounts.read_at = self.now.monotonic + QUOTA_READ_INTERVAL_MS;
        let call = StoreCall::List { prefix: KEY_PREFIX.into(), from: None };
        let until = self.now.monotonic + QUOTA_READ_INTERVAL_MS;
        let purpose = CallContext::ReadQuotaAccounts { token: self.leadership.token };
        self.store.push(call, purpose, urgency, RetryPolicy::OnceBefore(until));
    }

    /// The records have been read: limits are agreed on, what is free is taken, what is owed given back.
    pub(super) fn on_quota_read(&mut self, token: u64, outcome: &StoreOutcome) {
        let StoreOutcome::Page(listed) = outcome else {
            // A leader binds nothing until it knows what it holds.
            self.quota_accounts.read_at = self.now.monotonic + QUOTA_RETRY_MS;
            return;
        };
        for (n, account) in self.quota_accounts.observed.iter_mut().enumerate() {
            account.on_page(&quota_records::parse_page(n, listed));
        }
        // What was asked for before this lead began may tell what its predecessor has given away since.
        let own = token == self.leadership.token;
        for (n, account) in self.quota_accounts.balances.iter_mut().enumerate().filter(|_| own) {
            account.on_page(&quota_records::parse_page(n, listed));
        }
        self.drop_unknown_teams(listed);
        self.settle_quota_accounts();
    }

    /// What a controller that is no longer of this deployment once named does not count for ever.
    fn drop_unknown_teams(&mut self, listed: &KeyPage) {
        if !self.is_leader() {
            return;
        }
        for n in 0..self.quota_accounts.pages.len() {
            let page = quota_records::parse_page(n, listed);
            let known = |decider: &PartitionId| {
                let node = decider.strip_prefix(OBSERVED_PREFIX);
                let others = self.settings.others.iter().map(|o| &o.host_name);
                node.is_none_or(|node| others.chain([&self.settings.host_name]).any(|o| o == node))
            };
            let Some(stranger) = page.holdings.keys().find(|d| !known(d)) else { continue };
            tracing::info!(record = %stranger, "dropped quota records of a removed controller");
            let mut account = QuotaAccount::new(stranger, 0);
            account.on_page(&page);
            if let Some(txn) = account.remove_holding() {
                self.send_quota_transfers(n, &txn, false);
            }
        }
    }

    /// What each account does next.
    fn settle_quota_accounts(&mut self) {
        let mut out: Vec<(usize, QuotaTransaction, bool)> = Vec::new();
        let teams = &self.settings.settings.teams;
        let used: BTreeMap<String, ResourceQuantities> = match &self.cluster_state {
            Some(leader) => {
                teams.iter().map(|t| t.name.clone()).zip(leader.quota_usage(teams)).collect()
            }
            None => BTreeMap::new(),
        };
        for (n, settings) in self.quota_accounts.pages.iter().enumerate() {
            if let Some(txn) = self.quota_accounts.observed[n].reconcile_limits(settings) {
                out.push((n, txn, false));
            }
            // Before it has read its bindings a new leader does not know what is used.
            let loaded = self.cluster_state.is_some();
            let Some(account) = self.quota_accounts.balances.get_mut(n) else { continue };
            let all: BTreeMap<String, ResourceQuantities> = settings
                .keys()
                .map(|t| (t.clone(), QuotaAccount::limits_from_settings(0.0, 0.0)))
                .collect();
            let owed: BTreeMap<String, ResourceQuantities> = account
                .page()
                .pool
                .0
                .teams
                .keys()
                .map(|t| (t.clone(), account.owed_amount(t)))
                .collect();
            let txn = account.reconcile_limits(settings).or_else(|| account.take_from_pool(&all));
            let txn = txn
                .or_else(|| loaded.then(|| account.transfer_holding(None, &owed, &used)).flatten());
            if let Some(txn) = txn {
                out.push((n, txn, true));
            }
        }
        for (n, txn, held) in out {
            self.send_quota_transfers(n, &txn, held);
        }
    }

    fn send_quota_transfers(&mut self, page: usize, txn: &QuotaTransaction, held: bool) {
        let commit = quota_records::to_transaction(txn, name(page));
        let era = held.then_some(self.leadership.generation);
        let purpose = CallContext::TransferQuota { generation: era, page, transaction_id: txn.id };
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
    }

    /// A transaction has ended.
    pub(super) fn on_quota_transferred(
        &mut self,
        held: bool,
        page: usize,
        by: (u64, u64),
        outcome: &StoreOutcome,
    ) {
        let outcome = match outcome {
            StoreOutcome::Committed(stamp) => account::TransactionOutcome::Committed(*stamp),
            StoreOutcome::Conflict(failed) if held && failed.iter().any(|k| k == keys::LEADER) => {
                return self.step_down("the store knows of another term");
            }
            StoreOutcome::Conflict(_) => {
                account::TransactionOutcome::Conflict(vec![QuotaKey::Pool])
            }
            other => {
                tracing::error!(outcome = ?other, "transaction rejected: quota accounts");
                account::TransactionOutcome::Conflict(vec![QuotaKey::Pool])
            }
        };
        let accounts = if held {
            &mut self.quota_accounts.balances
        } else {
            &mut self.quota_accounts.observed
        };
        let Some(account) = accounts.get_mut(page) else { return };
        match account.on_outcome(by, &outcome) {
            AccountStep::Wait => self.settle_quota_accounts(),
            _ => self.read_quota_accounts(CallPriority::Normal),
        }
    }

    /// With every timer step: reads now and then, tells the tables what may be used, and stops what a lowered
    /// limit no longer covers.
    pub(super) fn update_quota_accounts(&mut self) {
        let now = self.now.monotonic;
        if !self.quota_accounts.enabled {
            return;
        }
        if now >= self.quota_accounts.read_at {
            self.read_quota_accounts(CallPriority::Low);
        }
        let teams = &self.settings.settings.teams;
        let caps = self.quota_accounts.caps(teams);
        let Some(leader) = &mut self.cluster_state else { return };
        leader.quota_limits = caps;
        let over = self.quota_accounts.balances.iter().all(|a| a.phase() != AccountPhase::Reading);
        if over && now >= leader.limit_preempted_at + QUOTA_READ_INTERVAL_MS {
            leader.limit_preempted_at = now;
            leader.preempt_over_limit(teams, now);
        }
    }
}

impl ClusterState {
    /// Stops arrays of teams that use more than they may, least work lost first, less what is being stopped.
    fn preempt_over_limit(&mut self, teams: &[TeamSettings], now: Time) {
        let used = self.quota_usage(teams);
        let mut stops = Vec::new();
        for (n, team) in teams.iter().enumerate() {
            let left = self.quota_limit(n, team).remaining(used[n]);
            let own = self.jobs.values().filter(|j| j.spec.team == team.name && !j.is_cancelled());
            let mut over = ResourceQuantities::default() - left;
            let mut found = Vec::new();
            for job in own {
                let each = quota_per_task(&job.spec);
                for (task, a) in job.attempts.iter().filter(|(_, a)| a.occupies_resources()) {
                    if a.stop_requested.is_some() {
                        over -= each;
                    } else if job.spec.kind == crate::job::JobKind::Array {
                        let lost = a.running_since.map_or(0, |at| now.saturating_sub(at));
                        found.push((job.spec.priority, lost, job.id.clone(), *task, each));
                    }
                }
            }
            found.sort_by(|a, b| (a.0, a.1, &a.2, a.3).cmp(&(b.0, b.1, &b.2, b.3)));
            for (_, _, id, task, each) in found {
                if over.cpus <= Quantity::ZERO && over.gpus <= Quantity::ZERO {
                    break;
                }
                over -= each;
                stops.push((id, task));
            }
        }
        if !stops.is_empty() {
            tracing::info!(tasks = stops.len(), "tasks preempted: quota limits lowered");
        }
        for (id, task) in stops {
            self.request_stop(&id, task, now);
        }
    }
}
