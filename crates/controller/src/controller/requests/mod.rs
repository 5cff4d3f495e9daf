//! User requests: submissions, polls, cancellations and health checks.
//!
//! To keep answers linearizable, every answer about an unfinished job is based on a store read that began after the
//! request arrived; identical reads are merged. Final states are answered from memory, since they never change.
//!
//! Owns [`Requests`], the requests that wait for a read or a write. Calls the state service, and [`super::job_cache`]
//! where one read can serve many requests. Jobs with dependencies are handled by [`super::dependency_lookup`].
//!
//! - [`admission`]: checks a submission and writes the job's record
//! - [`reads`]: reads a job's record and answers the requests that wait for it
//! - [`cancellations`]: writes a cancellation and confirms it once enough controllers hold it
//! - [`replies`]: HTTP statuses and response bodies

mod admission;
mod cancellations;
mod reads;
pub(super) mod replies;

use super::dependency_lookup::CacheFreshness;
use super::{CallContext, Controller, Reply, RequestId, UserRequest};
use crate::constants::USER_STORE_TIMEOUT_MS;
use crate::job::{JobId, JobRecord};
use crate::store::{FinishedCall, RetryPolicy};
use cancellations::PendingCancelReply;
use reads::PendingRead;
use replies::{final_reply, http_status, store_unavailable_reply, unknown_job_reply};
use std::collections::HashMap;
use swiftsail_protocol::users::is_valid_job_id;

/// What a request asks for, to be done once the job's record has been read.
#[derive(Debug)]
enum RequestIntent {
    /// Return the job's status.
    Poll {
        /// An earlier poll of the same job was rejected because of overload.
        is_retry: bool,
    },
    /// Return the job's status if the job is known, else this reply.
    AnswerOr(Reply),
    /// Return the job's status if the job is known, else accept it.
    Create(Box<JobRecord>),
    /// Cancel the job.
    Cancel(CancelAttempt),
}

/// A user request that waits for a store read.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: RequestId,
    intent: RequestIntent,
}

impl PendingRequest {
    /// Whether the request may be evicted in favour of a retried poll.
    pub fn yields_to_retried_poll(&self) -> bool {
        matches!(self.intent, RequestIntent::Poll { is_retry: false })
    }

    pub fn is_submission(&self) -> bool {
        matches!(self.intent, RequestIntent::Create(_))
    }

    fn answer_or(request: RequestId, otherwise: Reply) -> PendingRequest {
        PendingRequest { request, intent: RequestIntent::AnswerOr(otherwise) }
    }
}

/// What earlier writes of a cancellation have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct CancelAttempt {
    /// Number of writes so far that conflicted with another write.
    conflicts: u32,
    /// The state service refused a record within the known limits, so that the smallest one is to be written.
    was_too_large: bool,
}

/// A cancellation request whose write is in flight.
#[derive(Debug)]
struct CancelRequest {
    request: RequestId,
    attempt: CancelAttempt,
}

/// User requests that wait for the state service or for other controllers.
#[derive(Debug, Default)]
pub struct Requests {
    reads: HashMap<JobId, PendingRead>,
    /// Requests served by the cancellation write of each job that is in flight.
    cancels: HashMap<JobId, Vec<CancelRequest>>,
    /// Confirmations that wait until enough controllers hold the cancellation.
    unreplicated_cancels: Vec<PendingCancelReply>,
}

impl Controller {
    pub(super) fn on_user_request(&mut self, id: RequestId, request: UserRequest) {
        match request {
            UserRequest::Health => {
                let reply = if self.is_healthy() {
                    Reply::new(http_status::OK, &())
                } else {
                    Reply::retry_later("this node is without the state service")
                };
                self.answer(id, reply);
            }
            UserRequest::Submit(body) => self.on_submission(id, &body),
            UserRequest::Poll(job) => {
                self.on_job_request(id, &job, RequestIntent::Poll { is_retry: false })
            }
            UserRequest::RetriedPoll(job) => {
                self.on_job_request(id, &job, RequestIntent::Poll { is_retry: true })
            }
            UserRequest::Cancel(job) => {
                self.on_job_request(id, &job, RequestIntent::Cancel(CancelAttempt::default()))
            }
        }
    }

    fn on_job_request(&mut self, request: RequestId, id: &str, intent: RequestIntent) {
        if !is_valid_job_id(id) {
            return self.answer(request, unknown_job_reply(id));
        }
        let id = JobId::from(id);
        if let Some(record) = self.final_records.get(&id).copied() {
            return self.answer(request, final_reply(&id, &record));
        }
        let pending = PendingRequest { request, intent };
        let RequestIntent::Poll { is_retry } = pending.intent else {
            return self.read_job(&id, pending);
        };
        if !self.job_cache.is_complete() {
            return self.read_job(&id, pending);
        }
        let is_full = self.pending_cache_requests() >= self.budget.waiting_polls;
        if self.store.is_unavailable() || is_full && !(is_retry && self.evict_poll_for_retry()) {
            return self.answer(request, store_unavailable_reply());
        }
        self.wait_for_cache_read(id, pending);
    }

    /// Dispatches the outcome of a store call that was made for a user request.
    pub(super) fn on_user_store_response(&mut self, call: FinishedCall<CallContext>) {
        match call.context {
            CallContext::CreateJob { request, job, status } => {
                self.on_job_created(request, job, status, &call.outcome)
            }
            CallContext::ReadJob(id) => self.on_job_read(id, &call.outcome),
            CallContext::ReadFinalRecord(id) => self.on_final_record_read(&id, call.outcome),
            CallContext::CancelJob(id, wall) => self.on_cancel_written(&id, wall, &call.outcome),
            _ => {}
        }
    }

    /// Retry policy of store calls for users: a call is made only while its user still waits.
    fn user_retry_policy(&self) -> RetryPolicy {
        RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS)
    }
}
