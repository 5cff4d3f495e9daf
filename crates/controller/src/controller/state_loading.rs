//! Loading of the cluster state by a new leader, in this order: jobs, binding chunks, binding log segments,
//! replicated records. Once it leads, it follows changes of jobs by a watch, and polls when the watch returns nothing
//! for a while.

use super::{CallContext, Controller};
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::{LEADER_POLL_MS, MS_PER_S, STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::leadership::{AnswerAuthority, LeadershipPhase};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use swiftsail_protocol::state::{KeyPage, WatchResponse};

impl Controller {
    /// Begins to load the cluster state under a new fencing token.
    pub(super) fn start_loading(&mut self, token: u64) {
        let now = self.now.monotonic;
        let generation = self.leadership.generation;
        let mut state = ClusterState::new(token, generation, now);
        state.jobs_current_as_of = now;
        state.lease_ms = self.settings.settings.workers.lease_s * MS_PER_S;
        state.tiers = self.replicated_records.tier_table.clone();
        self.cancellations.clear_endorsements();
        self.answer_authority = AnswerAuthority::default();
        self.loading_state = Some(state);
        self.load_quota_accounts();
        self.list_state(keys::JOBS, None, CallContext::LoadJobs { generation });
    }

    /// Reads the page of keys under `prefix` that begins after `from`, retrying until it has a definite outcome.
    fn list_state(&mut self, prefix: &str, from: Option<String>, context: CallContext) {
        let call = StoreCall::List { prefix: prefix.into(), from };
        self.store.push(call, context, CallPriority::Leadership, RetryPolicy::UntilDefinite);
    }

    /// Handles a page of the state that a new leader loads, and requests the next page. `load` says what was read.
    pub(super) fn on_state_page(
        &mut self,
        outcome: StoreOutcome,
        generation: u64,
        load: &CallContext,
    ) {
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let StoreOutcome::Page(page) = outcome else { return };
        let Some(state) = &mut self.loading_state else { return };
        match load {
            CallContext::LoadJobs { .. } => {
                state.load_jobs(&page, now, wall);
                let next = CallContext::LoadBindings { generation };
                self.read_next(&page, load, keys::JOBS, (keys::BINDINGS, next));
            }
            CallContext::LoadBindings { .. } => {
                state.load_bindings(&page, now);
                let next = CallContext::LoadBindingLog { generation };
                self.read_next(&page, load, keys::BINDINGS, (keys::SHEETS, next));
            }
            CallContext::LoadRecords { .. } => {
                if self.on_records_loaded(page, generation) {
                    self.on_state_loaded(generation);
                }
            }
            _ => {
                state.load_log_segments(&page, now);
                if let Some(last) = last_key(&page) {
                    self.list_state(keys::SHEETS, Some(last), load.clone());
                } else if !self.load_records(generation) {
                    self.on_state_loaded(generation);
                }
            }
        }
    }

    /// Requests the page after `page`, or if that was the last under its prefix, the first page under the next
    /// prefix.
    fn read_next(
        &mut self,
        page: &KeyPage,
        load: &CallContext,
        prefix: &str,
        (next_prefix, next): (&str, CallContext),
    ) {
        match last_key(page) {
            Some(last) => self.list_state(prefix, Some(last), load.clone()),
            None => self.list_state(next_prefix, None, next),
        }
    }

    /// Begins to lead: all state has been loaded.
    fn on_state_loaded(&mut self, generation: u64) {
        let Some(mut state) = self.loading_state.take() else { return };
        if !self.leadership.advance(LeadershipPhase::Leading) {
            self.step_down("a newer term was seen while reading the store");
            return;
        }
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        state.finish_loading(now, wall);
        state.leading_since = now;
        for (id, pending) in self.cancellations.pending() {
            state.on_remote_cancellation(id, pending.cancelled_wall, now, wall);
        }
        let watched_revision = state.watched_revision;
        self.cancellations.advance_required_revision(watched_revision);
        tracing::info!(
            fencing_token = state.token,
            jobs = state.jobs.len(),
            machines = state.machines.len(),
            "leader ready"
        );
        self.cluster_state = Some(state);
        self.on_records_changed();
        self.restore_gpu_loans();
        self.restore_deadline_plan();
        self.record_leadership_event("begun", &self.settings.host_name.clone());
        self.watch_jobs(watched_revision, generation);
        self.request_machine_types();
        for (id, report) in std::mem::take(&mut self.deferred_reports) {
            self.on_status_report(id, report);
        }
    }

    /// Watches the jobs for changes after revision `from`.
    fn watch_jobs(&mut self, from: u64, generation: u64) {
        let call = StoreCall::Watch { prefix: keys::JOBS.into(), from };
        let context = CallContext::WatchJobs { generation, requested_at: self.now.monotonic };
        self.store.push(call, context, CallPriority::Leadership, RetryPolicy::UntilDefinite);
    }

    /// Polls for changes of jobs if none have been read for a while. A watch that is still open, or whose response is
    /// slow, does not show that the leader knows of all changes since the watch was opened.
    pub(super) fn poll_job_changes(&mut self) {
        let now = self.now.monotonic;
        let Some(state) = &mut self.cluster_state else { return };
        if now < state.jobs_current_as_of.max(state.changes_requested_at) + LEADER_POLL_MS {
            return;
        }
        state.changes_requested_at = now;
        let context =
            CallContext::ReadJobChanges { generation: state.generation, requested_at: now };
        let call =
            StoreCall::ReadChanges { prefix: keys::JOBS.into(), from: state.watched_revision };
        let retry_policy = RetryPolicy::OnceBefore(now + STORE_TIMEOUT_MS);
        self.store.push(call, context, CallPriority::Leadership, retry_policy);
    }

    /// Applies changes of jobs returned by a read that was sent at `requested_at`.
    pub(super) fn on_job_changes(&mut self, changes: &WatchResponse, requested_at: Time) {
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(state) = &mut self.cluster_state else { return };
        state.apply_job_changes(changes, now, wall);
        state.jobs_current_as_of = state.jobs_current_as_of.max(requested_at);
        self.cancellations.advance_required_revision(state.watched_revision);
    }

    /// Handles the outcome of the watch of jobs, and opens the next watch. If the watch's revision has been
    /// compacted, the leader steps down, and the next one loads all state.
    pub(super) fn on_job_watch(
        &mut self,
        outcome: StoreOutcome,
        generation: u64,
        requested_at: Time,
    ) {
        let StoreOutcome::Changes(changes) = outcome else {
            return self.step_down("the watch of jobs was lost");
        };
        self.on_job_changes(&changes, requested_at);
        let state = self.cluster_state.as_ref();
        let from = state.map_or(changes.revision, |state| state.watched_revision);
        self.watch_jobs(from, generation);
    }
}

/// The key after which the next page begins; `None` if this was the last page.
fn last_key(page: &KeyPage) -> Option<String> {
    page.entries.last().filter(|_| page.has_next).map(|entry| entry.key.clone())
}
