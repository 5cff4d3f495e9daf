//! Garbage collection of records in the state service, at low priority: final records are moved from `job/` to
//! `end/`, and binding chunks of finished jobs are deleted. Otherwise every new leader would have to read them.

use super::store_calls::DEPOSED;
use super::{CallContext, Controller, chunks};
use crate::constants::{ARCHIVE_BACKLOG_THRESHOLD, MAX_ARCHIVE_BATCH};
use crate::job::{JobId, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};

impl Controller {
    /// Queues a transaction that moves some final records to `end/`, unless one is in flight. It is sent when this
    /// controller has no other calls to the state service, or sooner if many records are waiting.
    pub(super) fn archive_finished_jobs(&mut self) {
        let Some(state) = &mut self.cluster_state else { return };
        if state.is_archiving || state.unarchived_jobs.is_empty() {
            return;
        }
        let priority = match state.unarchived_jobs.len() {
            0..ARCHIVE_BACKLOG_THRESHOLD => CallPriority::Background,
            _ => CallPriority::Low,
        };
        // Each job needs two writes of the transaction.
        let batch = (self.settings.settings.state.txn_ops / 2).clamp(1, MAX_ARCHIVE_BATCH);
        let is_leader = Precondition { key: keys::LEADER.into(), mod_revision: state.token };
        let mut transaction = Transaction { preconditions: vec![is_leader], mutations: Vec::new() };
        let mut jobs = 0;
        for (id, mod_revision, record) in state.unarchived_jobs.iter().take(batch) {
            jobs += 1;
            let is_unchanged = Precondition { key: keys::job(id), mod_revision: *mod_revision };
            transaction.preconditions.push(is_unchanged);
            transaction.mutations.push(Mutation::Delete { key: keys::job(id) });
            transaction.mutations.push(chunks::put_mutation(keys::final_record(id), record));
        }
        state.is_archiving = true;
        let context = CallContext::ArchiveJobs { generation: state.generation, jobs };
        let call = StoreCall::Commit(transaction);
        self.store.push(call, context, priority, RetryPolicy::UntilDefinite);
    }

    /// Handles the outcome of moving the final records of `jobs` jobs. Only leaders move them, and a final record
    /// never changes, so a job whose key is named in a conflict was moved by an earlier attempt without a response.
    /// The others of that transaction were not moved, and are queued again.
    pub(super) fn on_jobs_archived(&mut self, jobs: usize, outcome: &StoreOutcome) {
        let Some(state) = &mut self.cluster_state else { return };
        state.is_archiving = false;
        let attempted = jobs.min(state.unarchived_jobs.len());
        let attempted: Vec<_> = state.unarchived_jobs.drain(..attempted).collect();
        let StoreOutcome::Conflict(failed) = outcome else { return };
        if failed.iter().any(|key| key == keys::LEADER) {
            return self.step_down(DEPOSED);
        }
        let was_moved = |id: &JobId| failed.contains(&keys::job(id));
        if attempted.iter().any(|(id, ..)| was_moved(id)) {
            let remaining = attempted.into_iter().filter(|(id, ..)| !was_moved(id));
            state.unarchived_jobs.extend(remaining);
        }
    }

    /// Queues the deletion of some binding chunks of finished jobs, unless another background call is queued.
    pub(super) fn collect_stale_bindings(&mut self) {
        let is_busy = self.store.queue_lengths()[CallPriority::Background as usize] > 0;
        let Some(state) = &mut self.cluster_state else { return };
        if is_busy || state.stale_binding_keys.is_empty() {
            return;
        }
        let batch = self.settings.settings.state.txn_ops.min(2 * MAX_ARCHIVE_BATCH);
        let remaining = state.stale_binding_keys.len().saturating_sub(batch);
        let stale = state.stale_binding_keys.split_off(remaining);
        let is_leader = Precondition { key: keys::LEADER.into(), mod_revision: state.token };
        let transaction = Transaction {
            preconditions: vec![is_leader],
            mutations: stale.into_iter().map(|key| Mutation::Delete { key }).collect(),
        };
        let context = CallContext::RemoveStaleBindings { generation: state.generation };
        let call = StoreCall::Commit(transaction);
        self.store.push(call, context, CallPriority::Background, RetryPolicy::UntilDefinite);
    }
}
