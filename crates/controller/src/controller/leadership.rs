//! Leadership: the campaign, what a new leader reads, and stepping down.

use super::{Action, CallContext, Controller, store_rates};
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::{
    ELECTION_JITTER_MS, ELECTION_RETRY_MS, LEADER_POLL_MS, MS_PER_S, STORE_TIMEOUT_MS,
};
use crate::job::keys;
use crate::leadership::{AnswerAuthority, LeaderRecord, LeadershipPhase};
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use rand::Rng;
use swiftsail_protocol::state::{Mutation, Precondition, Transaction, WatchResponse};

impl Controller {
    pub(super) fn read_leader_key(&mut self) {
        self.leader_key_read_at = self.now.monotonic;
        let call = StoreCall::List { prefix: keys::TERM.into(), from: None };
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        self.store.push(
            call,
            CallContext::ReadLeaderKey,
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(until),
        );
    }

    pub(super) fn watch_leader_key(&mut self, from: u64) {
        if !self.watching_leader_key {
            self.watching_leader_key = true;
            let call = StoreCall::Watch { prefix: keys::TERM.into(), from };
            let until = self.now.monotonic + STORE_TIMEOUT_MS;
            self.store.push(
                call,
                CallContext::WatchLeaderKey,
                CallPriority::Leadership,
                RetryPolicy::OnceBefore(until),
            );
        }
    }

    pub(super) fn on_leader_key(&mut self, held: Option<(LeaderRecord, u64)>) {
        let first = !std::mem::replace(&mut self.leadership.leader_key_known, true);
        match held {
            // The first reading of a process that is back at once finds its predecessor's key, alive for as
            // long as its grant lasts. That process has ended, and this one need not wait for it: it takes
            // the key's place, under a grant and a token of its own, on condition that nobody else has.
            Some((record, stamp))
                if first
                    && record.node == self.settings.host_name
                    && record.incarnation != self.incarnation
                    && self.leadership.phase() == LeadershipPhase::Unknown =>
            {
                self.leadership.observe_token(stamp);
                self.leadership.replaced_revision = stamp;
                self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic));
            }
            None => {
                self.leadership.replaced_revision = 0;
                if self.leadership.holds_key() {
                    self.step_down("its key is gone");
                }
                if matches!(
                    self.leadership.phase(),
                    LeadershipPhase::Unknown | LeadershipPhase::Following
                ) {
                    let wait = self.rng.random_range(0..=ELECTION_JITTER_MS);
                    self.leadership.known_leader = None;
                    let at = (self.now.monotonic + wait).max(self.isolation.campaign_after);
                    self.leadership.advance(LeadershipPhase::Vacant(at));
                }
            }
            Some((record, stamp)) => {
                let mine = record.node == self.settings.host_name
                    && record.incarnation == self.incarnation;
                // Only what this campaign has written is a lead: a key of an earlier one, written late or read
                // late, would be led under a token that workers have seen, or lost with a grant nobody extends.
                if mine && self.leadership.phase() == LeadershipPhase::Acquiring(record.lease) {
                    self.on_leadership_acquired(stamp);
                    return;
                }
                // Nobody leads by it: others need not wait for its end.
                if mine && !(self.leadership.holds_key() && self.leadership.lease == record.lease) {
                    self.revoke_lease(record.lease);
                }
                if self.leadership.observe_token(stamp) {
                    self.step_down("another leads");
                }
                if !self.leadership.holds_key() {
                    self.leadership.observe_leader(&record.node, stamp);
                    // A campaign under way ends by itself: its write finds the key.
                    if !matches!(
                        self.leadership.phase(),
                        LeadershipPhase::GrantingLease | LeadershipPhase::Acquiring(_)
                    ) {
                        self.leadership.advance(LeadershipPhase::Following);
                    }
                }
            }
        }
    }

    /// Ends a grant.
    pub(super) fn revoke_lease(&mut self, grant: u64) {
        let until = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        self.store.push(
            StoreCall::RevokeLease(grant),
            CallContext::RevokeLease,
            CallPriority::Leadership,
            until,
        );
    }

    pub(super) fn on_leadership_acquired(&mut self, token: u64) {
        let now = self.now.monotonic;
        self.leadership.token = token;
        if let LeadershipPhase::Acquiring(grant) = self.leadership.phase() {
            self.leadership.lease = grant;
        }
        self.leadership.observe_token(token);
        if !self.leadership.advance(LeadershipPhase::Loading) {
            self.leadership.advance(LeadershipPhase::Unknown);
            return;
        }
        self.leadership.observe_leader(&self.settings.host_name.clone(), token);
        self.leadership.renew_at = now;
        // The key was written under a grant that may have ended while the answer waited.
        self.leadership.on_resume(now);
        let (rps, writes) = store_rates(&self.settings, true);
        self.store.set_rates(rps, writes, now);
        tracing::info!(fencing_token = token, "leader elected, loading cluster state");
        let era = self.leadership.generation;
        let mut tables = ClusterState::new(token, era, now);
        tables.read_at = now;
        self.cancellations.clear_endorsements();
        self.answer_authority = AnswerAuthority::default();
        tables.lease_ms = self.settings.settings.workers.lease_s * MS_PER_S;
        tables.tiers = self.replicated_records.tiers.clone();
        self.loading_state = Some(tables);
        self.open_quota_accounts();
        let call = StoreCall::List { prefix: keys::JOBS.into(), from: None };
        self.store.push(
            call,
            CallContext::LoadJobs { generation: era },
            CallPriority::Leadership,
            RetryPolicy::UntilDefinite,
        );
    }

    pub(super) fn step_down(&mut self, why: &str) {
        tracing::warn!(fencing_token = self.leadership.token, why, "stepping down");
        self.record_leadership_event("ended", why);
        self.record_pending_terminations();
        self.leadership.advance(LeadershipPhase::Unknown);
        let asked = self.cluster_state.take().into_iter().flat_map(|l| l.machines.into_values());
        for machine in asked.filter(|m| m.open_probes > 0) {
            *self.open_probes.entry(machine.id).or_default() += machine.open_probes;
        }
        self.loading_state = None;
        self.task_counts.clear();
        self.close_quota_accounts();
        self.replicated_records.close(self.now.monotonic);
        let (rps, writes) = store_rates(&self.settings, false);
        self.store.set_rates(rps, writes, self.now.monotonic);
        let era = self.leadership.generation;
        self.store.forget(|p| p.generation().is_none_or(|e| e == era));
        self.cloud.clear_queue();
        self.pending_commands.clear();
        for (id, _) in std::mem::take(&mut self.deferred_reports) {
            self.actions.push(Action::Reply(id, self.redirect_to_leader()));
        }
        self.read_leader_key();
    }

    /// What came of a call about the term.
    pub(super) fn on_leadership_response(&mut self, end: FinishedCall<CallContext>) {
        let now = self.now.monotonic;
        match end.context {
            CallContext::ReadLeaderKey => {
                if let StoreOutcome::Page(page) = end.outcome {
                    let held = page.entries.iter().find(|p| p.key == keys::LEADER).and_then(|p| {
                        Some((serde_json::from_value(p.value.clone()).ok()?, p.mod_revision))
                    });
                    self.format_upgrade.on_format_record(
                        page.entries.iter().find(|p| p.key == keys::FORM).map(|p| &p.value),
                    );
                    self.cancellations.on_store_read(page.revision);
                    // Read before the key was written, it says nothing of it.
                    if held.is_some()
                        || !self.leadership.holds_key()
                        || page.revision >= self.leadership.token
                    {
                        self.on_leader_key(held);
                    }
                    self.watch_leader_key(page.revision);
                }
            }
            CallContext::WatchLeaderKey => {
                self.watching_leader_key = false;
                if let StoreOutcome::Changes(news) = end.outcome {
                    for item in &news.events {
                        if item.put_key.as_deref() == Some(keys::FORM) {
                            self.format_upgrade.on_format_record(Some(&item.value));
                        }
                        if item.put_key.as_deref() == Some(keys::LEADER)
                            && let Ok(record) = serde_json::from_value(item.value.clone())
                        {
                            self.on_leader_key(Some((record, item.mod_revision)));
                        } else if item.deleted_key.as_deref() == Some(keys::LEADER) {
                            // Of an older term than ours, the removal says nothing.
                            if !self.leadership.holds_key()
                                || item.mod_revision > self.leadership.token
                            {
                                self.on_leader_key(None);
                            }
                        }
                    }
                    self.watch_leader_key(news.revision);
                }
            }
            CallContext::GrantLease { requested_at: asked, .. } => match end.outcome {
                StoreOutcome::LeaseGranted(grant) => {
                    self.leadership.on_lease_renewed(asked);
                    self.leadership.advance(LeadershipPhase::Acquiring(grant));
                    let record = LeaderRecord {
                        node: self.settings.host_name.clone(),
                        incarnation: self.incarnation,
                        lease: grant,
                    };
                    let commit = Transaction {
                        preconditions: vec![Precondition {
                            key: keys::LEADER.into(),
                            mod_revision: self.leadership.replaced_revision,
                        }],
                        mutations: vec![Mutation::Put {
                            key: keys::LEADER.into(),
                            value: serde_json::to_value(&record).unwrap_or_default(),
                            lease: Some(grant),
                        }],
                    };
                    let purpose =
                        CallContext::AcquireLeadership { generation: self.leadership.generation };
                    let until = now + STORE_TIMEOUT_MS;
                    self.store.push(
                        StoreCall::Commit(commit),
                        purpose,
                        CallPriority::Leadership,
                        RetryPolicy::OnceBefore(until),
                    );
                }
                _ => self.on_election_failed(),
            },
            CallContext::AcquireLeadership { .. } => match end.outcome {
                StoreOutcome::Committed(epoch) => self.on_leadership_acquired(epoch),
                // It may have been applied: the key tells. If it shows nothing of ours, the
                // lease is left to run out and the next campaign takes a new one.
                StoreOutcome::Unknown => {
                    self.read_leader_key();
                    self.on_election_failed();
                }
                _ => self.on_election_failed(),
            },
            CallContext::RenewLease { requested_at: asked, .. } => match end.outcome {
                StoreOutcome::LeaseGranted(_) => self.on_lease_renewed(asked),
                StoreOutcome::NoSuchLease | StoreOutcome::Missing { .. } => {
                    self.step_down("its lease has ended")
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn on_election_failed(&mut self) {
        self.leadership.replaced_revision = 0;
        if matches!(
            self.leadership.phase(),
            LeadershipPhase::GrantingLease | LeadershipPhase::Acquiring(_)
        ) {
            let wait = ELECTION_RETRY_MS + self.rng.random_range(0..=ELECTION_JITTER_MS);
            self.leadership.advance(LeadershipPhase::Vacant(self.now.monotonic + wait));
            self.read_leader_key();
        }
    }

    /// A page of what a new leader reads: all jobs, then all chunks, then the ledger.
    pub(super) fn on_state_page(&mut self, outcome: StoreOutcome, era: u64, load: &CallContext) {
        let Some(mut leader) = self.loading_state.take() else { return };
        let StoreOutcome::Page(page) = outcome else {
            self.loading_state = Some(leader);
            return;
        };
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let (prefix, next) = match load {
            CallContext::LoadJobs { .. } => {
                leader.load_jobs(&page, now, wall);
                (keys::JOBS, Some((keys::BINDINGS, CallContext::LoadBindings { generation: era })))
            }
            CallContext::LoadRecords { .. } => {
                self.loading_state = Some(leader);
                if self.on_records_loaded(page, era)
                    && let Some(leader) = self.loading_state.take()
                {
                    self.on_state_loaded(leader, era);
                }
                return;
            }
            CallContext::LoadBindings { .. } => {
                leader.load_bindings(&page, now);
                (
                    keys::BINDINGS,
                    Some((keys::SHEETS, CallContext::LoadBindingLog { generation: era })),
                )
            }
            _ => {
                leader.load_log_segments(&page, now);
                (keys::SHEETS, None)
            }
        };
        let more = page.entries.last().filter(|_| page.has_next).map(|p| p.key.clone());
        let (prefix, purpose) = match (&more, next) {
            (Some(_), _) => (prefix, load.clone()),
            (None, Some(next)) => next,
            (None, None) => {
                self.loading_state = Some(leader);
                if !self.load_records(era)
                    && let Some(leader) = self.loading_state.take()
                {
                    self.on_state_loaded(leader, era);
                }
                return;
            }
        };
        self.loading_state = Some(leader);
        let call = StoreCall::List { prefix: prefix.into(), from: more };
        self.store.push(call, purpose, CallPriority::Leadership, RetryPolicy::UntilDefinite);
    }

    fn on_state_loaded(&mut self, mut leader: ClusterState, era: u64) {
        if !self.leadership.advance(LeadershipPhase::Leading) {
            self.step_down("a newer term was seen while reading the store");
            return;
        }
        let now = self.now.monotonic;
        leader.finish_loading(now, self.now.wall_clock);
        leader.leading_since = now;
        for (id, note) in self.cancellations.pending() {
            leader.on_remote_cancellation(id, note.cancelled_wall, now, self.now.wall_clock);
        }
        let from = leader.watched_revision;
        self.cancellations.advance_required_revision(from);
        tracing::info!(
            fencing_token = leader.token,
            jobs = leader.jobs.len(),
            machines = leader.machines.len(),
            "leader ready"
        );
        self.cluster_state = Some(leader);
        self.on_records_changed();
        self.restore_gpu_loans();
        self.restore_deadline_plan();
        self.record_leadership_event("begun", &self.settings.host_name.clone());
        self.watch_jobs(from, era);
        self.request_machine_types();
        for (id, report) in std::mem::take(&mut self.deferred_reports) {
            self.on_status_report(id, report);
        }
    }

    fn watch_jobs(&mut self, from: u64, era: u64) {
        let asked = self.now.monotonic;
        let call = StoreCall::Watch { prefix: keys::JOBS.into(), from };
        self.store.push(
            call,
            CallContext::WatchJobs { generation: era, requested_at: asked },
            CallPriority::Leadership,
            RetryPolicy::UntilDefinite,
        );
    }

    /// Of a leader: reads what has changed of the jobs, if the watch has told nothing for a while. A watch that
    /// waits, or whose answer is slow, proves nothing of the time since it was opened.
    pub(super) fn poll_job_changes(&mut self) {
        let now = self.now.monotonic;
        let Some(leader) = &mut self.cluster_state else { return };
        if now < leader.read_at.max(leader.changes_requested_at) + LEADER_POLL_MS {
            return;
        }
        leader.changes_requested_at = now;
        let purpose =
            CallContext::ReadJobChanges { generation: leader.generation, requested_at: now };
        let call =
            StoreCall::ReadChanges { prefix: keys::JOBS.into(), from: leader.watched_revision };
        self.store.push(
            call,
            purpose,
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(now + STORE_TIMEOUT_MS),
        );
    }

    /// Takes in what has changed of the jobs, as asked for then.
    pub(super) fn on_job_changes(&mut self, news: &WatchResponse, asked: Time) {
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(leader) = &mut self.cluster_state else { return };
        leader.apply_job_changes(news, now, wall);
        leader.read_at = leader.read_at.max(asked);
        self.cancellations.advance_required_revision(leader.watched_revision);
    }

    pub(super) fn on_job_watch(&mut self, outcome: StoreOutcome, era: u64, asked: Time) {
        match outcome {
            StoreOutcome::Changes(news) => {
                self.on_job_changes(&news, asked);
                let from =
                    self.cluster_state.as_ref().map_or(news.revision, |l| l.watched_revision);
                self.watch_jobs(from, era);
            }
            // Too far behind: a new term reads everything anew.
            _ => self.step_down("the watch of jobs was lost"),
        }
    }
}
