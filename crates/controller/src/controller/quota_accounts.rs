//! Quota limits held in the state service, if operators enable that (`[amounts] durable`). Every controller records the
//! limits of its settings, and the leader uses what its account holds. A limit that is lower in one controller's settings
//! thus applies whichever controller leads.
//!
//! Owns [`QuotaAccounts`]. The accounts and their transactions are [`swiftsail_quota::QuotaAccount`], their keys and
//! values [`crate::quota_records`].

use super::store_calls::DEPOSED;
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

/// The leader's partition: there is only one, with all machines.
const LEADER_PARTITION: &str = "all";
/// Prefix, before a controller's name, of the partitions that hold no quota: their records only name the limits of that
/// controller's settings.
const OBSERVED_PREFIX: &str = "seen-";

/// This controller's quota accounts, one a page.
#[derive(Debug)]
pub(super) struct QuotaAccounts {
    enabled: bool,
    /// The limits of the settings, by team, of each page.
    configured_limits: Vec<BTreeMap<String, ResourceQuantities>>,
    /// Accounts that record the limits of this controller's settings.
    settings_accounts: Vec<QuotaAccount>,
    /// Accounts with the quota that this controller holds as the leader; empty otherwise.
    leader_accounts: Vec<QuotaAccount>,
    /// When the records are to be read next.
    next_read_at: Time,
}

impl QuotaAccounts {
    /// Accounts of the controller named `node`, whose records are not read yet. They are used only if `enabled`.
    pub fn new(enabled: bool, node: &str, teams: &[TeamSettings]) -> QuotaAccounts {
        let names =
            quota_records::divide_into_pages(teams.iter().map(|t| t.name.clone()).collect());
        let limit = |name: &String| {
            let team = teams.iter().find(|t| t.name == *name)?;
            Some((name.clone(), QuotaAccount::limits_from_settings(team.cpus_max, team.gpus_max)))
        };
        let configured_limits: Vec<BTreeMap<String, ResourceQuantities>> =
            names.iter().map(|page| page.iter().filter_map(limit).collect()).collect();
        let settings_accounts = configured_limits
            .iter()
            .map(|_| QuotaAccount::new(&format!("{OBSERVED_PREFIX}{node}"), 0))
            .collect();
        QuotaAccounts {
            enabled,
            configured_limits,
            settings_accounts,
            leader_accounts: Vec::new(),
            next_read_at: 0,
        }
    }

    /// What the leader may use of each team, in the order of `teams`; none: only the limits of the settings apply.
    fn usable_limits(&self, teams: &[TeamSettings]) -> Option<Vec<ResourceQuantities>> {
        let usable_limit = |team: &TeamSettings| {
            let page =
                self.configured_limits.iter().position(|limits| limits.contains_key(&team.name));
            let account = page.and_then(|page| self.leader_accounts.get(page));
            account.map_or(ResourceQuantities::default(), |account| {
                account.usable_amount(&team.name) - account.owed_amount(&team.name)
            })
        };
        self.enabled.then(|| teams.iter().map(usable_limit).collect())
    }
}

/// The store key of a quota key on a page. The partition of a controller's settings has no fencing token, since only
/// that controller writes its record. In its place the condition names a key that is never written.
fn store_key_on(page: usize) -> impl Fn(&QuotaKey) -> String {
    move |key| match key {
        QuotaKey::FencingToken(partition) if partition.starts_with(OBSERVED_PREFIX) => {
            format!("{KEY_PREFIX}{page}/none")
        }
        other => quota_records::store_key(page, other),
    }
}

impl Controller {
    /// Begins to load the quota accounts of a new leader.
    pub(super) fn load_quota_accounts(&mut self) {
        let accounts = &mut self.quota_accounts;
        if !accounts.enabled {
            return;
        }
        accounts.leader_accounts = accounts
            .configured_limits
            .iter()
            .map(|_| QuotaAccount::new(LEADER_PARTITION, self.leadership.token))
            .collect();
        self.read_quota_accounts(CallPriority::Leadership);
    }

    /// Discards the accounts of a leader that steps down.
    pub(super) fn discard_quota_accounts(&mut self) {
        self.quota_accounts.leader_accounts.clear();
    }

    fn read_quota_accounts(&mut self, priority: CallPriority) {
        self.quota_accounts.next_read_at = self.now.monotonic + QUOTA_READ_INTERVAL_MS;
        let call = StoreCall::List { prefix: KEY_PREFIX.into(), from: None };
        let until = self.now.monotonic + QUOTA_READ_INTERVAL_MS;
        let context = CallContext::ReadQuotaAccounts { token: self.leadership.token };
        self.store.push(call, context, priority, RetryPolicy::OnceBefore(until));
    }

    /// The read of the quota records, requested under this fencing token, has ended: updates the accounts and lets each
    /// make its next transaction.
    pub(super) fn on_quota_read(&mut self, token: u64, outcome: &StoreOutcome) {
        let StoreOutcome::Page(listed) = outcome else {
            // The retry comes soon: a leader binds nothing until it knows what it holds.
            self.quota_accounts.next_read_at = self.now.monotonic + QUOTA_RETRY_MS;
            return;
        };
        for (page, account) in self.quota_accounts.settings_accounts.iter_mut().enumerate() {
            account.on_page(&quota_records::parse_page(page, listed));
        }
        // A read that was requested before this leadership began may show quota that the predecessor has given away
        // since.
        let is_current = token == self.leadership.token;
        let accounts = self.quota_accounts.leader_accounts.iter_mut().enumerate();
        for (page, account) in accounts.filter(|_| is_current) {
            account.on_page(&quota_records::parse_page(page, listed));
        }
        self.drop_unknown_controllers(listed);
        self.settle_quota_accounts();
    }

    /// As the leader, deletes the records of controllers that are no longer part of this deployment: their settings
    /// would otherwise limit the teams for good.
    fn drop_unknown_controllers(&mut self, listed: &KeyPage) {
        if !self.is_leader() {
            return;
        }
        for index in 0..self.quota_accounts.configured_limits.len() {
            let page = quota_records::parse_page(index, listed);
            let is_known = |partition: &PartitionId| {
                let controller = partition.strip_prefix(OBSERVED_PREFIX);
                let others = self.settings.others.iter().map(|other| &other.host_name);
                controller.is_none_or(|controller| {
                    others.chain([&self.settings.host_name]).any(|name| name == controller)
                })
            };
            let Some(unknown) = page.holdings.keys().find(|partition| !is_known(partition)) else {
                continue;
            };
            tracing::info!(record = %unknown, "dropped quota records of a removed controller");
            let mut account = QuotaAccount::new(unknown, 0);
            account.on_page(&page);
            if let Some(transaction) = account.remove_holding() {
                self.send_quota_transaction(index, &transaction, false);
            }
        }
    }

    /// Sends the next transaction of each account that has one: a controller records the limits of its settings; the
    /// leader also agrees on the limits in force, takes what is free from the pool, and gives back what it owes.
    fn settle_quota_accounts(&mut self) {
        let mut transactions: Vec<(usize, QuotaTransaction, bool)> = Vec::new();
        let teams = &self.settings.settings.teams;
        let used: BTreeMap<String, ResourceQuantities> = match &self.cluster_state {
            Some(state) => {
                teams.iter().map(|team| team.name.clone()).zip(state.quota_usage(teams)).collect()
            }
            None => BTreeMap::new(),
        };
        for (page, limits) in self.quota_accounts.configured_limits.iter().enumerate() {
            let settings_account = &mut self.quota_accounts.settings_accounts[page];
            if let Some(transaction) = settings_account.reconcile_limits(limits) {
                transactions.push((page, transaction, false));
            }
            // Until a new leader has loaded its bindings, it does not know what is used.
            let is_loaded = self.cluster_state.is_some();
            let Some(account) = self.quota_accounts.leader_accounts.get_mut(page) else { continue };
            let unlimited: BTreeMap<String, ResourceQuantities> = limits
                .keys()
                .map(|team| (team.clone(), QuotaAccount::limits_from_settings(0.0, 0.0)))
                .collect();
            let owed: BTreeMap<String, ResourceQuantities> = account
                .page()
                .pool
                .0
                .teams
                .keys()
                .map(|team| (team.clone(), account.owed_amount(team)))
                .collect();
            let transaction = account
                .reconcile_limits(limits)
                .or_else(|| account.take_from_pool(&unlimited))
                .or_else(|| {
                    is_loaded.then(|| account.transfer_holding(None, &owed, &used)).flatten()
                });
            if let Some(transaction) = transaction {
                transactions.push((page, transaction, true));
            }
        }
        for (page, transaction, by_leader) in transactions {
            self.send_quota_transaction(page, &transaction, by_leader);
        }
    }

    /// Sends a transaction over a page: of a leader's account (`by_leader`), or of one that holds no quota.
    fn send_quota_transaction(
        &mut self,
        page: usize,
        transaction: &QuotaTransaction,
        by_leader: bool,
    ) {
        let commit = quota_records::to_transaction(transaction, store_key_on(page));
        let generation = by_leader.then_some(self.leadership.generation);
        let context =
            CallContext::TransferQuota { generation, page, transaction_id: transaction.id };
        self.store.push(
            StoreCall::Commit(commit),
            context,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
    }

    /// A quota transaction has ended. `by_leader` is as for its sending.
    pub(super) fn on_quota_transferred(
        &mut self,
        by_leader: bool,
        page: usize,
        transaction_id: (u64, u64),
        outcome: &StoreOutcome,
    ) {
        let outcome = match outcome {
            StoreOutcome::Committed(mod_revision) => {
                account::TransactionOutcome::Committed(*mod_revision)
            }
            StoreOutcome::Conflict(failed)
                if by_leader && failed.iter().any(|key| key == keys::LEADER) =>
            {
                return self.step_down(DEPOSED);
            }
            StoreOutcome::Conflict(_) => {
                account::TransactionOutcome::Conflict(vec![QuotaKey::Pool])
            }
            other => {
                tracing::error!(outcome = ?other, "quota transaction rejected");
                account::TransactionOutcome::Conflict(vec![QuotaKey::Pool])
            }
        };
        let accounts = if by_leader {
            &mut self.quota_accounts.leader_accounts
        } else {
            &mut self.quota_accounts.settings_accounts
        };
        let Some(account) = accounts.get_mut(page) else { return };
        match account.on_outcome(transaction_id, &outcome) {
            AccountStep::Wait => self.settle_quota_accounts(),
            _ => self.read_quota_accounts(CallPriority::Normal),
        }
    }

    /// Timer step: reads the records if that is due. On the leader also passes the limits to the cluster state, and
    /// preempts tasks that lowered limits no longer cover.
    pub(super) fn update_quota_accounts(&mut self) {
        let now = self.now.monotonic;
        if !self.quota_accounts.enabled {
            return;
        }
        if now >= self.quota_accounts.next_read_at {
            self.read_quota_accounts(CallPriority::Low);
        }
        let teams = &self.settings.settings.teams;
        let limits = self.quota_accounts.usable_limits(teams);
        let Some(state) = &mut self.cluster_state else { return };
        state.quota_limits = limits;
        let mut accounts = self.quota_accounts.leader_accounts.iter();
        let all_read = accounts.all(|account| account.phase() != AccountPhase::Reading);
        if all_read && now >= state.limit_preempted_at + QUOTA_READ_INTERVAL_MS {
            state.limit_preempted_at = now;
            state.preempt_over_limit(teams, now);
        }
    }
}

impl ClusterState {
    /// Stops array tasks of teams that exceed their limit until the rest fits: of the lowest priority first, then of the
    /// shortest run time. Tasks that are being stopped already count as gone.
    fn preempt_over_limit(&mut self, teams: &[TeamSettings], now: Time) {
        let used = self.quota_usage(teams);
        let mut stops = Vec::new();
        for (index, team) in teams.iter().enumerate() {
            let remaining = self.quota_limit(index, team).remaining(used[index]);
            let jobs =
                self.jobs.values().filter(|job| job.spec.team == team.name && !job.is_cancelled());
            let mut excess = ResourceQuantities::default() - remaining;
            let mut candidates = Vec::new();
            for job in jobs {
                let per_task = quota_per_task(&job.spec);
                let occupying =
                    job.attempts.iter().filter(|(_, attempt)| attempt.occupies_resources());
                for (task, attempt) in occupying {
                    if attempt.stop_requested {
                        excess -= per_task;
                    } else if job.spec.kind == crate::job::JobKind::Array {
                        let run_ms = attempt.running_since().map_or(0, |at| now.saturating_sub(at));
                        candidates.push((
                            job.spec.priority,
                            run_ms,
                            job.id.clone(),
                            *task,
                            per_task,
                        ));
                    }
                }
            }
            candidates.sort_by(|a, b| (a.0, a.1, &a.2, a.3).cmp(&(b.0, b.1, &b.2, b.3)));
            for (_, _, id, task, per_task) in candidates {
                if excess.cpus <= Quantity::ZERO && excess.gpus <= Quantity::ZERO {
                    break;
                }
                excess -= per_task;
                stops.push((id, task));
            }
        }
        if !stops.is_empty() {
            tracing::info!(tasks = stops.len(), "tasks preempted: quota limits lowered");
        }
        for (id, task) in stops {
            self.request_stop(&id, task);
        }
    }
}
