//! Leader election: reading and watching the leader's key, campaigning for it, and stepping down.
//!
//! The leader's key is attached to a lease. The controller that creates it by compare-and-swap becomes the leader,
//! and the key's modification revision is its fencing token. `state_loading` then reads the state that it needs to
//! lead.

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

/// The leader's key as read from the state service.
pub(super) struct LeaderKey {
    record: LeaderRecord,
    /// Revision at which the key was written: the fencing token of the controller that wrote it.
    mod_revision: u64,
}

impl LeaderKey {
    /// Finds the leader's key on a page of `term/`. `None` if it is missing or cannot be decoded.
    fn from_page(page: &KeyPage) -> Option<LeaderKey> {
        let entry = page.entries.iter().find(|entry| entry.key == keys::LEADER)?;
        let record = serde_json::from_value(entry.value.clone()).ok()?;
        Some(LeaderKey { record, mod_revision: entry.mod_revision })
    }

    /// Reads the leader's key from the watch event that put it. `None` if the event is about another key or cannot be
    /// decoded.
    fn from_put_event(event: &WatchEvent) -> Option<LeaderKey> {
        if event.put_key.as_deref() != Some(keys::LEADER) {
            return None;
        }
        let record = serde_json::from_value(event.value.clone()).ok()?;
        Some(LeaderKey { record, mod_revision: event.mod_revision })
    }
}

impl Controller {
    /// Reads all keys under `term/`: the leader's key and the format record.
    pub(super) fn read_leader_key(&mut self) {
        self.leader_key_read_at = self.now.monotonic;
        let call = StoreCall::List { prefix: keys::TERM.into(), from: None };
        self.push_leadership_call(call, CallContext::ReadLeaderKey);
    }

    /// Opens a watch of the keys under `term/` from a revision on, unless one is open.
    fn watch_leader_key(&mut self, from: u64) {
        if self.watching_leader_key {
            return;
        }
        self.watching_leader_key = true;
        let call = StoreCall::Watch { prefix: keys::TERM.into(), from };
        self.push_leadership_call(call, CallContext::WatchLeaderKey);
    }

    /// Revokes a lease, so that other controllers need not wait for it to expire.
    pub(super) fn revoke_lease(&mut self, lease: u64) {
        self.push_leadership_call(StoreCall::RevokeLease(lease), CallContext::RevokeLease);
    }

    /// Queues a call with the highest priority. It is sent once, and only if that is possible before its timeout.
    fn push_leadership_call(&mut self, call: StoreCall, context: CallContext) {
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        let retry_policy = RetryPolicy::OnceBefore(until);
        self.store.push(call, context, CallPriority::Leadership, retry_policy);
    }

    /// Handles the outcome of a call made for an election, a lease or the leader's key.
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

    /// Handles a page with the keys under `term/`.
    fn on_term_page(&mut self, page: &KeyPage) {
        let leader_key = LeaderKey::from_page(page);
        let is_format = |entry: &&KeyValue| entry.key == keys::RECORD_FORMAT;
        let format = page.entries.iter().find(is_format);
        let format = format.map(|entry| (&entry.value, entry.mod_revision));
        self.format_upgrade.on_format_record(format);
        self.cancellations.on_store_read(page.revision);
        // A page older than this controller's own key cannot contain it, so its absence there proves nothing.
        let is_current = page.revision >= self.leadership.token;
        if leader_key.is_some() || !self.leadership.holds_key() || is_current {
            self.on_leader_key(leader_key);
        }
        self.watch_leader_key(page.revision);
    }

    /// Handles the outcome of the watch of `term/`, and opens the next watch if it succeeded.
    fn on_term_watch(&mut self, outcome: StoreOutcome) {
        self.watching_leader_key = false;
        let StoreOutcome::Changes(changes) = outcome else { return };
        for event in &changes.events {
            if event.put_key.as_deref() == Some(keys::RECORD_FORMAT) {
                let record = Some((&event.value, event.mod_revision));
                self.format_upgrade.on_format_record(record);
            }
            if let Some(key) = LeaderKey::from_put_event(event) {
                self.on_leader_key(Some(key));
            } else if event.deleted_key.as_deref() == Some(keys::LEADER) {
                // A deletion older than this controller's own key was that of an earlier key.
                let is_newer = event.mod_revision > self.leadership.token;
                if !self.leadership.holds_key() || is_newer {
                    self.on_leader_key(None);
                }
            }
        }
        self.watch_leader_key(changes.revision);
    }

    /// Handles a read of the leader's key. `None`: the key does not exist.
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

    /// Whether the key was written by an earlier process with the same host name. That process has ended.
    fn is_predecessors_key(&self, key: &LeaderKey) -> bool {
        key.record.node == self.settings.host_name
            && key.record.incarnation != self.incarnation
            && self.leadership.phase() == LeadershipPhase::Unknown
    }

    /// Prepares an election that replaces the key of an earlier process with the same host name. A process that
    /// restarts quickly finds that key still attached to a live lease. Instead of waiting for the lease to expire, it
    /// replaces the key, under a lease and token of its own, on condition that the key is unchanged.
    fn replace_predecessor(&mut self, mod_revision: u64) {
        self.leadership.observe_token(mod_revision);
        self.leadership.replaced_revision = mod_revision;
        self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic));
    }

    /// Handles a missing leader's key: schedules an election after a random delay.
    fn on_vacant_key(&mut self) {
        self.leadership.replaced_revision = 0;
        if self.leadership.holds_key() {
            self.step_down("its key is gone");
        }
        let phase = self.leadership.phase();
        if matches!(phase, LeadershipPhase::Unknown | LeadershipPhase::Following) {
            let delay_ms = self.rng.random_range(0..=MAX_ELECTION_JITTER_MS);
            self.leadership.known_leader = None;
            let campaign_at = (self.now.monotonic + delay_ms).max(self.isolation.campaign_after);
            self.leadership.advance(LeadershipPhase::Vacant(campaign_at));
        }
    }

    /// Handles an existing leader's key, which may be this process's own.
    fn on_held_key(&mut self, key: &LeaderKey) {
        let record = &key.record;
        let is_own =
            record.node == self.settings.host_name && record.incarnation == self.incarnation;
        // Only a key written by the current election makes this controller the leader. With the key of an earlier
        // election, applied or read late, it would lead under a token that workers have already seen, or lose
        // leadership again at the expiry of a lease that it does not renew.
        if is_own && self.leadership.phase() == LeadershipPhase::Acquiring(record.lease) {
            self.on_leadership_acquired(key.mod_revision);
            return;
        }
        // No controller leads by a key of an earlier election of this process. Revoking its lease saves the others
        // the wait for its expiry.
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
        // An election in progress fails by itself: its write conflicts with this key.
        if !self.is_campaigning() {
            self.leadership.advance(LeadershipPhase::Following);
        }
    }

    fn is_campaigning(&self) -> bool {
        let phase = self.leadership.phase();
        matches!(phase, LeadershipPhase::GrantingLease | LeadershipPhase::Acquiring(_))
    }

    /// Handles the outcome of the lease request of an election: if the lease was granted, writes the leader's key.
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

    /// Handles the outcome of the write of the leader's key.
    fn on_election_response(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Committed(revision) => self.on_leadership_acquired(revision),
            // The write may have been applied, which reading the key shows. If the key is missing, the lease is left
            // to expire, and the next election uses a new one.
            StoreOutcome::Unknown => {
                self.read_leader_key();
                self.on_election_failed();
            }
            _ => self.on_election_failed(),
        }
    }

    /// Ends an election without success, and schedules the next one after a pause.
    fn on_election_failed(&mut self) {
        self.leadership.replaced_revision = 0;
        if self.is_campaigning() {
            let pause_ms = ELECTION_RETRY_MS + self.rng.random_range(0..=MAX_ELECTION_JITTER_MS);
            self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic + pause_ms));
            self.read_leader_key();
        }
    }

    /// Handles the success of an election: the leader's key was written at revision `token`. This controller leads
    /// once it has loaded the state.
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
        // The key's lease may have expired while the response was delayed.
        self.leadership.on_resume(now);
        self.set_store_rates(true);
        tracing::info!(fencing_token = token, "leader elected, loading cluster state");
        self.start_loading(token);
    }

    /// Gives up leadership and all state that belongs to it. `reason` is logged and sent to the event receivers of
    /// plug-ins.
    pub(super) fn step_down(&mut self, reason: &str) {
        tracing::warn!(fencing_token = self.leadership.token, why = reason, "stepping down");
        self.record_leadership_event("ended", reason);
        self.record_pending_terminations();
        self.leadership.advance(LeadershipPhase::Unknown);
        let state = self.cluster_state.take();
        let machines = state.into_iter().flat_map(|state| state.machines.into_values());
        for machine in machines.filter(|machine| machine.open_probes > 0) {
            *self.previous_term_probes.entry(machine.id).or_default() += machine.open_probes;
        }
        self.loading_state = None;
        self.task_counts.clear();
        self.discard_quota_accounts();
        self.replicated_records.on_leadership_lost(self.now.monotonic);
        self.set_store_rates(false);
        let current = self.leadership.generation;
        self.store.retain_pending(|context| {
            context.generation().is_none_or(|generation| generation == current)
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
