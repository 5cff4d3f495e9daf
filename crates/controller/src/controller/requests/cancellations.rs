//! Cancellations by users: a transaction marks the job's record, and the user is told once enough controllers hold the
//! cancellation, so that a leader which the state service refuses learns of it from them
//! (`leadership::cancellation_quorum`).

use super::replies::{TaskCounts, status_reply, unconfirmed_write_reply};
use super::{CancelRequest, PendingRequest, RequestIntent};
use crate::Time;
use crate::constants::{
    EXPEDITED_HEARTBEAT_INTERVAL_MS, MAX_CANCEL_CONFLICTS, USER_STORE_TIMEOUT_MS,
};
use crate::controller::{Action, CallContext, Controller, Reply, RequestId};
use crate::job::{JobId, JobRecord, keys};
use crate::store::{CallPriority, StoreCall, StoreOutcome};
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};
use swiftsail_protocol::users::JobStatus;

/// An answer "cancelled" that waits until enough controllers hold the cancellation.
#[derive(Debug)]
pub(super) struct PendingCancelReply {
    job: JobId,
    /// Revision at which the cancellation was committed or read.
    revision: u64,
    request: RequestId,
    task_counts: Option<TaskCounts>,
    /// When the user is told to try again instead.
    deadline: Time,
}

impl PendingCancelReply {
    /// An answer whose deadline is not set yet.
    pub fn new(
        job: &JobId,
        revision: u64,
        request: RequestId,
        task_counts: Option<TaskCounts>,
    ) -> PendingCancelReply {
        PendingCancelReply { job: job.clone(), revision, request, task_counts, deadline: 0 }
    }
}

impl Controller {
    /// Marks a live job as cancelled, provided that its record has not changed since it was read.
    pub(super) fn cancel_job(
        &mut self,
        id: &JobId,
        record: JobRecord,
        mod_revision: u64,
        requests: Vec<CancelRequest>,
    ) {
        if let Some(waiting) = self.requests.cancels.get_mut(id) {
            // The write under way serves these too.
            waiting.extend(requests);
            return;
        }
        self.requests.cancels.insert(id.clone(), requests);
        let cancelled =
            JobRecord { cancelled: true, cancelled_wall: self.now.wall_clock, ..record };
        let transaction = Transaction {
            preconditions: vec![Precondition { key: keys::job(id), mod_revision }],
            mutations: vec![Mutation::Put {
                key: keys::job(id),
                value: serde_json::to_value(&cancelled).unwrap_or_default(),
                lease: None,
            }],
        };
        let context = CallContext::CancelJob(id.clone(), cancelled.cancelled_wall);
        let policy = self.user_retry_policy();
        self.store.push(StoreCall::Commit(transaction), context, CallPriority::High, policy);
    }

    /// The transaction that marks a job as cancelled, at that time of day, has ended.
    pub(super) fn on_cancel_written(&mut self, id: &JobId, wall: u64, outcome: &StoreOutcome) {
        let waiting = self.requests.cancels.remove(id).unwrap_or_default();
        for CancelRequest { request, conflicts } in waiting {
            let may_retry = conflicts < MAX_CANCEL_CONFLICTS;
            match outcome {
                StoreOutcome::Committed(revision) => {
                    let reply = PendingCancelReply::new(id, *revision, request, None);
                    self.answer_when_cancellation_replicated(reply, wall);
                }
                StoreOutcome::Conflict(_) if may_retry => {
                    let intent = RequestIntent::Cancel { conflicts: conflicts + 1 };
                    self.read_job(id, PendingRequest { request, intent });
                }
                // Committed or not: a read tells, and there is time to try once more.
                StoreOutcome::Unknown if may_retry => {
                    let intent = RequestIntent::Cancel { conflicts: MAX_CANCEL_CONFLICTS };
                    self.read_job(id, PendingRequest { request, intent });
                }
                _ => self.answer(request, unconfirmed_write_reply()),
            }
        }
    }

    /// Keeps an answer "cancelled" until enough controllers hold the cancellation. Every such answer goes this way but
    /// those about jobs that are over, of which nothing is left on any machine.
    pub(super) fn answer_when_cancellation_replicated(
        &mut self,
        reply: PendingCancelReply,
        wall: u64,
    ) {
        self.cancellations.record_cancellation(&reply.job, reply.revision, wall);
        match &mut self.cluster_state {
            Some(state) => state.on_remote_cancellation(
                &reply.job,
                wall,
                self.now.monotonic,
                self.now.wall_clock,
            ),
            None => self.add_pending_termination(&reply.job, wall),
        }
        let deadline = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        self.requests.unconfirmed_cancels.push(PendingCancelReply { deadline, ..reply });
    }

    /// Answers the cancellations that enough controllers hold by now, and sends a heartbeat ahead of time for those
    /// that no heartbeat has carried yet.
    pub(in crate::controller) fn answer_replicated_cancellations(&mut self) {
        if self.requests.unconfirmed_cancels.is_empty() {
            return;
        }
        let (now, controllers) = (self.now.monotonic, self.settings.controllers());
        let mut needs_heartbeat = false;
        for pending in std::mem::take(&mut self.requests.unconfirmed_cancels) {
            if self.cancellations.is_replicated(&pending.job, pending.revision, controllers) {
                let reply = status_reply(&pending.job, JobStatus::Cancelled, pending.task_counts);
                self.answer(pending.request, reply);
            } else if now >= pending.deadline {
                // It may be committed; a repeat is answered by what is read then.
                let reply = Reply::retry_later("too few controllers are heard");
                self.answer(pending.request, reply);
            } else {
                needs_heartbeat |= self.cancellations.awaits_first_heartbeat(&pending.job);
                self.requests.unconfirmed_cancels.push(pending);
            }
        }
        if needs_heartbeat && now >= self.expedited_heartbeat_at + EXPEDITED_HEARTBEAT_INTERVAL_MS {
            self.expedited_heartbeat_at = now;
            let heartbeat = self.build_heartbeat(true);
            self.actions.push(Action::SendHeartbeat(heartbeat));
        }
    }
}
