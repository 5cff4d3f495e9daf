//! Leader election: reading and watching the leader's key, the election, and stepping down.
//!
//! The leader's key is attached to a lease. Whoever creates it by compare-and-swap leads; its modification revision is
//! the fencing token. What a new leader then reads is in `state_loading`.

use super::{Action, CallContext, Controller, store_rates};
use crate::Time;
use crate::constants::{ELECTION_RETRY_MS, MAX_ELECTION_JITTER_MS, STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::leadership::{LeaderRecord, LeadershipPhase};
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use rand::Rng;
use swiftsail_protocol::state::{
    KeyPage, KeyValue, Mutation, Precondition, Transaction, WatchEvent,
};

/// The leader's key as read from the store.
pub(super) struct LeaderKey {
    record: LeaderRecord,
    /// Revision at which it was written: the fencing token of who wrote it.
    mod_revision: u64,
}

impl LeaderKey {
    /// The leader's key on a page of `term/`; none if it is not there or cannot be read.
    fn on_page(page: &KeyPage) -> Option<LeaderKey> {
        let entry = page.entries.iter().find(|entry| entry.key == keys::LEADER)?;
        let record = serde_json::from_value(entry.value.clone()).ok()?;
        Some(LeaderKey { record, mod_revision: entry.mod_revision })
    }

    /// The leader's key as a watch event puts it; none if the event is about another key or cannot be read.
    fn put_by(event: &WatchEvent) -> Option<LeaderKey> {
        if event.put_key.as_deref() != Some(keys::LEADER) {
            return None;
        }
        let record = serde_json::from_value(event.value.clone()).ok()?;
        Some(LeaderKey { record, mod_revision: event.mod_revision })
    }
}

impl Controller {
    /// Reads the keys under `term/`.
    pub(super) fn read_leader_key(&mut self) {
        self.leader_key_read_at = self.now.monotonic;
        let call = StoreCall::List { prefix: keys::TERM.into(), from: None };
        self.push_leadership_call(call, CallContext::ReadLeaderKey);
    }

    /// Watches the keys under `term/` from this revision on, unless a watch is open.
    fn watch_leader_key(&mut self, from: u64) {
        if self.watching_leader_key {
            return;
        }
        self.watching_leader_key = true;
        let call = StoreCall::Watch { prefix: keys::TERM.into(), from };
        self.push_leadership_call(call, CallContext::WatchLeaderKey);
    }

    /// Revokes a lease, so that nobody has to wait for its expiry.
    pub(super) fn revoke_lease(&mut self, lease: u64) {
        self.push_leadership_call(StoreCall::RevokeLease(lease), CallContext::RevokeLease);
    }

    /// Queues a call with the highest priority, to be made once and only if it can leave before its timeout.
    fn push_leadership_call(&mut self, call: StoreCall, context: CallContext) {
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        let retry_policy = RetryPolicy::OnceBefore(until);
        self.store.push(call, context, CallPriority::Leadership, retry_policy);
    }

    /// A call about leadership ended.
    pub(super) fn on_leadership_response(&mut self, call: FinishedCall<CallContext>) {
        match (call.context, call.outcome) {
            (CallContext::ReadLeaderKey, StoreOutcome::Page(page)) => self.on_term_page(&page),
            (CallContext::WatchLeaderKey, outcome) => self.on_term_watch(outcome),
            (CallContext::GrantLease { requested_at, .. }, outcome) => {
                self.on_lease_response(requested_at, outcome);
            }
            (CallContext::AcquireLeadership { .. }, outcome) => self.on_election_response(outcome),
            (CallContext::RenewLease { requested_at, .. }, outcome) => match outcome {
                StoreOutcome::LeaseGranted(_) => self.on_lease_renewed(requested_at),
                StoreOutcome::NoSuchLease | StoreOutcome::Missing { .. } => {
                    self.step_down("its lease has ended");
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// The keys under `term/` were read.
    fn on_term_page(&mut self, page: &KeyPage) {
        let held = LeaderKey::on_page(page);
        let is_format = |entry: &&KeyValue| entry.key == keys::RECORD_FORMAT;
        let format = page.entries.iter().find(is_format).map(|entry| &entry.value);
        self.format_upgrade.on_format_record(format);
        self.cancellations.on_store_read(page.revision);
        // A page older than this controller's own key says nothing of it.
        let is_current = page.revision >= self.leadership.token;
        if held.is_some() || !self.leadership.holds_key() || is_current {
            self.on_leader_key(held);
        }
        self.watch_leader_key(page.revision);
    }

    /// The watch of `term/` returned.
    fn on_term_watch(&mut self, outcome: StoreOutcome) {
        self.watching_leader_key = false;
        let StoreOutcome::Changes(changes) = outcome else { return };
        for event in &changes.events {
            if event.put_key.as_deref() == Some(keys::RECORD_FORMAT) {
                self.format_upgrade.on_format_record(Some(&event.value));
            }
            if let Some(key) = LeaderKey::put_by(event) {
                self.on_leader_key(Some(key));
            } else if event.deleted_key.as_deref() == Some(keys::LEADER) {
                // The deletion of a key older than this controller's own says nothing of it.
                let is_newer = event.mod_revision > self.leadership.token;
                if !self.leadership.holds_key() || is_newer {
                    self.on_leader_key(None);
                }
            }
        }
        self.watch_leader_key(changes.revision);
    }

    /// The leader's key was read; none: it does not exist.
    fn on_leader_key(&mut self, key: Option<LeaderKey>) {
        let is_first_read = !std::mem::replace(&mut self.leadership.leader_key_known, true);
        match key {
            Some(key) if is_first_read && self.is_predecessors_key(&key) => {
                self.replace_predecessor(key.mod_revision);
            }
            Some(key) => self.on_held_key(&key),
            None => self.on_vacant_key(),
        }
    }

    /// Whether the key was written by the predecessor of this process, which has ended.
    fn is_predecessors_key(&self, key: &LeaderKey) -> bool {
        key.record.node == self.settings.host_name
            && key.record.incarnation != self.incarnation
            && self.leadership.phase() == LeadershipPhase::Unknown
    }

    /// A process that is back at once finds its predecessor's key, alive until the lease expires. It need not wait for
    /// that: it replaces the key, under a lease and a token of its own, on condition that nobody else has.
    fn replace_predecessor(&mut self, mod_revision: u64) {
        self.leadership.observe_token(mod_revision);
        self.leadership.replaced_revision = mod_revision;
        self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic));
    }

    /// Nobody holds the leader's key: an election follows after a random delay.
    fn on_vacant_key(&mut self) {
        self.leadership.replaced_revision = 0;
        if self.leadership.holds_key() {
            self.step_down("its key is gone");
        }
        let phase = self.leadership.phase();
        if matches!(phase, LeadershipPhase::Unknown | LeadershipPhase::Following) {
            let delay = self.rng.random_range(0..=MAX_ELECTION_JITTER_MS);
            self.leadership.known_leader = None;
            let campaign_at = (self.now.monotonic + delay).max(self.isolation.campaign_after);
            self.leadership.advance(LeadershipPhase::Vacant(campaign_at));
        }
    }

    /// Somebody holds the leader's key, perhaps this process.
    fn on_held_key(&mut self, key: &LeaderKey) {
        let record = &key.record;
        let is_own =
            record.node == self.settings.host_name && record.incarnation == self.incarnation;
        // Only a key written by this election makes this controller the leader. A key of an earlier one, written or read
        // late, would be led under a token that workers have seen, or lost with a lease that nobody renews.
        if is_own && self.leadership.phase() == LeadershipPhase::Acquiring(record.lease) {
            self.on_leadership_acquired(key.mod_revision);
            return;
        }
        // Nobody leads by such a key: others need not wait until its lease expires.
        let is_current = self.leadership.holds_key() && self.leadership.lease == record.lease;
        if is_own && !is_current {
            self.revoke_lease(record.lease);
        }
        if self.leadership.observe_token(key.mod_revision) {
            self.step_down("another leads");
        }
        if self.leadership.holds_key() {
            return;
        }
        self.leadership.observe_leader(&record.node, key.mod_revision);
        // An election under way ends by itself: its write conflicts with this key.
        if !self.is_campaigning() {
            self.leadership.advance(LeadershipPhase::Following);
        }
    }

    fn is_campaigning(&self) -> bool {
        let phase = self.leadership.phase();
        matches!(phase, LeadershipPhase::GrantingLease | LeadershipPhase::Acquiring(_))
    }

    /// The lease for an election was granted, or not: with it the leader's key is written.
    fn on_lease_response(&mut self, requested_at: Time, outcome: StoreOutcome) {
        let StoreOutcome::LeaseGranted(lease) = outcome else {
            return self.on_election_failed();
        };
        self.leadership.on_lease_renewed(requested_at);
        self.leadership.advance(LeadershipPhase::Acquiring(lease));
        let record = LeaderRecord {
            node: self.settings.host_name.clone(),
            incarnation: self.incarnation,
            lease,
        };
        let is_unchanged = Precondition {
            key: keys::LEADER.into(),
            mod_revision: self.leadership.replaced_revision,
        };
        let write = Mutation::Put {
            key: keys::LEADER.into(),
            value: serde_json::to_value(&record).unwrap_or_default(),
            lease: Some(lease),
        };
        let transaction = Transaction { preconditions: vec![is_unchanged], mutations: vec![write] };
        let generation = self.leadership.generation;
        let context = CallContext::AcquireLeadership { generation };
        self.push_leadership_call(StoreCall::Commit(transaction), context);
    }

    /// The write of the leader's key ended.
    fn on_election_response(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Committed(revision) => self.on_leadership_acquired(revision),
            // It may have been applied: the key tells. If it is not there, the lease is left to expire, and the next
            // election uses a new one.
            StoreOutcome::Unknown => {
                self.read_leader_key();
                self.on_election_failed();
            }
            _ => self.on_election_failed(),
        }
    }

    /// Ends an election without success; the next one follows after a pause.
    fn on_election_failed(&mut self) {
        self.leadership.replaced_revision = 0;
        if self.is_campaigning() {
            let pause = ELECTION_RETRY_MS + self.rng.random_range(0..=MAX_ELECTION_JITTER_MS);
            self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic + pause));
            self.read_leader_key();
        }
    }

    /// This controller's key was written at this revision: it leads once it has read the state.
    fn on_leadership_acquired(&mut self, token: u64) {
        let now = self.now.monotonic;
        self.leadership.token = token;
        if let LeadershipPhase::Acquiring(lease) = self.leadership.phase() {
            self.leadership.lease = lease;
        }
        self.leadership.observe_token(token);
        if !self.leadership.advance(LeadershipPhase::Loading) {
            self.leadership.advance(LeadershipPhase::Unknown);
            return;
        }
        self.leadership.observe_leader(&self.settings.host_name.clone(), token);
        self.leadership.renew_at = now;
        // The key was written under a lease that may have expired while the response waited.
        self.leadership.on_resume(now);
        self.set_store_rates(true);
        tracing::info!(fencing_token = token, "leader elected, loading cluster state");
        self.start_loading(token);
    }

    /// Gives up leadership and all state that belongs to it. `why` goes into the log and to event receivers.
    pub(super) fn step_down(&mut self, why: &str) {
        tracing::warn!(fencing_token = self.leadership.token, why, "stepping down");
        self.record_leadership_event("ended", why);
        self.record_pending_terminations();
        self.leadership.advance(LeadershipPhase::Unknown);
        let state = self.cluster_state.take();
        let machines = state.into_iter().flat_map(|state| state.machines.into_values());
        for machine in machines.filter(|machine| machine.open_probes > 0) {
            *self.open_probes.entry(machine.id).or_default() += machine.open_probes;
        }
        self.loading_state = None;
        self.task_counts.clear();
        self.discard_quota_accounts();
        self.replicated_records.on_leadership_lost(self.now.monotonic);
        self.set_store_rates(false);
        let ended = self.leadership.generation;
        self.store.retain_pending(|context| {
            context.generation().is_none_or(|generation| generation == ended)
        });
        self.cloud.clear_queue();
        self.pending_commands.clear();
        for (id, _) in std::mem::take(&mut self.deferred_reports) {
            self.actions.push(Action::Reply(id, self.redirect_to_leader()));
        }
        self.read_leader_key();
    }

    fn set_store_rates(&mut self, is_leader: bool) {
        let (requests, writes) = store_rates(&self.settings, is_leader);
        self.store.set_rates(requests, writes, self.now.monotonic);
    }
}
