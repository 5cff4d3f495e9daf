//! Users' requests: submissions, polls, cancellations, health checks.
//!
//! Every answer about a job that is not over comes from a store read that began after the request came; identical
//! reads are merged. Final states are answered from memory, since they never change.
//!
//! Owns [`Requests`]: who waits for which read or write. Calls the state service, and [`super::job_cache`] where one
//! read can serve many. Jobs with dependencies go through [`super::dependency_lookup`].
//!
//! - [`admission`]: checks a submission and writes the job's record
//! - [`reads`]: reads a job's record and answers who waits for it
//! - [`cancellations`]: writes a cancellation, and answers once enough controllers hold it
//! - [`replies`]: statuses and bodies

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

/// What to do once a job's record is known.
#[derive(Debug)]
enum RequestIntent {
    /// Answer with its status.
    Poll {
        /// An earlier poll for the same job was rejected for overload.
        is_retry: bool,
    },
    /// Answer with its status if it is known, else with this reply.
    AnswerOr(Reply),
    /// Answer with its status if it is known, else accept it.
    Create(Box<JobRecord>),
    /// Cancel it.
    Cancel {
        /// Writes of the cancellation so far that conflicted with another.
        conflicts: u32,
    },
}

/// A user's request that waits for a store read.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: RequestId,
    intent: RequestIntent,
}

impl PendingRequest {
    /// Whether it gives way to a poll whose predecessor was rejected.
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

/// A request for a cancellation whose write is under way.
#[derive(Debug)]
struct CancelRequest {
    request: RequestId,
    /// Writes so far that conflicted with another.
    conflicts: u32,
}

/// Users' requests that wait for the state service or for other controllers.
#[derive(Debug, Default)]
pub struct Requests {
    reads: HashMap<JobId, PendingRead>,
    cancels: HashMap<JobId, Vec<CancelRequest>>,
    unconfirmed_cancels: Vec<PendingCancelReply>,
}

impl Controller {
    pub(super) fn on_user_request(&mut self, request: RequestId, ask: UserRequest) {
        match ask {
            UserRequest::Health => {
                let reply = if self.is_healthy() {
                    Reply::new(http_status::OK, &())
                } else {
                    Reply::retry_later("this node is without the state service")
                };
                self.answer(request, reply);
            }
            UserRequest::Submit(body) => self.on_submission(request, &body),
            UserRequest::Poll(id) => {
                self.on_job_request(request, &id, RequestIntent::Poll { is_retry: false })
            }
            UserRequest::RetriedPoll(id) => {
                self.on_job_request(request, &id, RequestIntent::Poll { is_retry: true })
            }
            UserRequest::Cancel(id) => {
                self.on_job_request(request, &id, RequestIntent::Cancel { conflicts: 0 })
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
        let full = self.pending_cache_requests() >= self.budget.waiting_polls;
        if self.store.is_unavailable() || full && !(is_retry && self.evict_poll_for_retry()) {
            return self.answer(request, store_unavailable_reply());
        }
        self.wait_for_cache_read(id, pending);
    }

    /// Routes the outcome of a store call that was made for a user.
    pub(super) fn on_user_store_response(&mut self, end: FinishedCall<CallContext>) {
        match end.context {
            CallContext::CreateJob { request, job, status } => {
                self.on_job_created(request, job, status, &end.outcome)
            }
            CallContext::ReadJob(id) => self.on_job_read(id, &end.outcome),
            CallContext::ReadFinalRecord(id) => self.on_final_record_read(&id, end.outcome),
            CallContext::CancelJob(id, wall) => self.on_cancel_written(&id, wall, &end.outcome),
            _ => {}
        }
    }

    /// A store call for a user is worth making only while the user still waits.
    fn user_retry_policy(&self) -> RetryPolicy {
        RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS)
    }
}
