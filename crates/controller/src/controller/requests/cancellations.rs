//! Cancellations by users. A transaction marks the job's record as cancelled. The cancellation is confirmed to the user
//! once a quorum of controllers holds it, so that a leader that cannot reach the state service learns of it from them
//! (`leadership::cancellation_quorum`).

use super::replies::{TaskCounts, refused_write_reply, status_reply, unconfirmed_write_reply};
use super::{CancelAttempt, CancelRequest, PendingRequest, RequestIntent};
use crate::Time;
use crate::constants::{
    EXPEDITED_HEARTBEAT_INTERVAL_MS, MAX_CANCEL_CONFLICTS, USER_STORE_TIMEOUT_MS,
};
use crate::controller::chunks::put_mutation;
use crate::controller::{Action, CallContext, Controller, Reply, RequestId};
use crate::job::{CancelledForm, JobId, JobRecord, keys};
use crate::store::{CallPriority, StoreCall, StoreOutcome};
use swiftsail_protocol::state::{Precondition, Transaction};
use swiftsail_protocol::users::JobStatus;

/// A reply that confirms a cancellation and waits until enough controllers hold the cancellation.
#[derive(Debug)]
pub(super) struct PendingCancelReply {
    job: JobId,
    /// Store revision at which the cancellation was committed or read.
    revision: u64,
    request: RequestId,
    task_counts: Option<TaskCounts>,
    /// When the user is asked to retry instead.
    deadline: Time,
}

impl PendingCancelReply {
    /// Creates a reply without a deadline; [`Controller::answer_when_cancellation_replicated`] sets it.
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
    /// Marks a live job as cancelled on the precondition that its record is still at `mod_revision`. The record may be
    /// larger than the state service takes now, so only what fits of it is written.
    pub(super) fn cancel_job(
        &mut self,
        id: &JobId,
        record: JobRecord,
        mod_revision: u64,
        requests: Vec<CancelRequest>,
    ) {
        if let Some(waiting) = self.requests.cancels.get_mut(id) {
            // The write in flight serves these requests too.
            waiting.extend(requests);
            return;
        }
        let form = match requests.iter().any(|request| request.attempt.was_too_large) {
            true => CancelledForm::Smallest,
            false => CancelledForm::AtMost(self.settings.settings.state.max_value_bytes()),
        };
        self.requests.cancels.insert(id.clone(), requests);
        let cancelled = record.into_cancelled(self.now.wall_clock, form);
        let transaction = Transaction {
            preconditions: vec![Precondition { key: keys::job(id), mod_revision }],
            mutations: vec![put_mutation(keys::job(id), &cancelled)],
        };
        let context = CallContext::CancelJob(id.clone(), cancelled.cancelled_wall);
        let policy = self.user_retry_policy();
        self.store.push(StoreCall::Commit(transaction), context, CallPriority::High, policy);
    }

    /// Handles the outcome of the transaction that marks a job as cancelled. `wall` is the wall-clock time of the
    /// cancellation, ms.
    pub(super) fn on_cancel_written(&mut self, id: &JobId, wall: u64, outcome: &StoreOutcome) {
        let waiting = self.requests.cancels.remove(id).unwrap_or_default();
        for CancelRequest { request, attempt } in waiting {
            let may_retry = attempt.conflicts < MAX_CANCEL_CONFLICTS;
            match outcome {
                StoreOutcome::Committed(revision) => {
                    let reply = PendingCancelReply::new(id, *revision, request, None);
                    self.answer_when_cancellation_replicated(reply, wall);
                }
                StoreOutcome::Conflict(_) if may_retry => {
                    let conflicts = attempt.conflicts + 1;
                    self.retry_cancel(id, request, CancelAttempt { conflicts, ..attempt });
                }
                // The write may or may not have committed. A read shows which, and there is time for one more attempt.
                StoreOutcome::Unknown if may_retry => {
                    let conflicts = MAX_CANCEL_CONFLICTS;
                    self.retry_cancel(id, request, CancelAttempt { conflicts, ..attempt });
                }
                // The limits are lower than the settings say.
                StoreOutcome::Malformed(_) if !attempt.was_too_large => {
                    let attempt = CancelAttempt { was_too_large: true, ..attempt };
                    self.retry_cancel(id, request, attempt);
                }
                StoreOutcome::Malformed(_) => self.answer(request, refused_write_reply()),
                _ => self.answer(request, unconfirmed_write_reply()),
            }
        }
    }

    /// Reads the job again, and cancels it unless it has ended or been cancelled meanwhile.
    fn retry_cancel(&mut self, id: &JobId, request: RequestId, attempt: CancelAttempt) {
        let intent = RequestIntent::Cancel(attempt);
        self.read_job(id, PendingRequest { request, intent });
    }

    /// Holds back a confirmation until enough controllers hold the cancellation. All replies with the status
    /// "cancelled" must pass through here, except those about finished jobs, which have no task left on any machine,
    /// and about jobs cancelled by dependency, of which no task has ever started.
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
        self.requests.unreplicated_cancels.push(PendingCancelReply { deadline, ..reply });
    }

    /// Confirms the cancellations that enough controllers now hold, and sends an expedited heartbeat if there are others
    /// that no heartbeat has carried yet.
    pub(in crate::controller) fn answer_replicated_cancellations(&mut self) {
        if self.requests.unreplicated_cancels.is_empty() {
            return;
        }
        let (now, controllers) = (self.now.monotonic, self.settings.controllers());
        let mut needs_heartbeat = false;
        for pending in std::mem::take(&mut self.requests.unreplicated_cancels) {
            if self.cancellations.is_replicated(&pending.job, pending.revision, controllers) {
                let reply = status_reply(&pending.job, JobStatus::Cancelled, pending.task_counts);
                self.answer(pending.request, reply);
            } else if now >= pending.deadline {
                // The cancellation may be committed; a retry is answered from what is read then.
                let reply = Reply::retry_later("too few controllers are heard");
                self.answer(pending.request, reply);
            } else {
                needs_heartbeat |= self.cancellations.awaits_first_heartbeat(&pending.job);
                self.requests.unreplicated_cancels.push(pending);
            }
        }
        if needs_heartbeat && now >= self.expedited_heartbeat_at + EXPEDITED_HEARTBEAT_INTERVAL_MS {
            self.expedited_heartbeat_at = now;
            let heartbeat = self.build_heartbeat(true);
            self.actions.push(Action::SendHeartbeat(heartbeat));
        }
    }
}
