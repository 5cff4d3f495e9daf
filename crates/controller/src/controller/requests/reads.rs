//! Reads of a job's record for users. At most one read of a job is in flight. A request that arrives meanwhile waits
//! for the next read, because the result of the first one may be older than the request.
//!
//! A job's record moves from `job/` to `end/` in one transaction and never back, so reading the two keys in this order
//! cannot miss it.

use super::cancellations::PendingCancelReply;
use super::replies::{
    TaskCounts, final_reply, status_reply, store_unavailable_reply, unknown_job_reply,
};
use super::{CacheFreshness, CancelRequest, PendingRequest, RequestIntent};
use crate::controller::job_cache::CachedJob;
use crate::controller::{CallContext, Controller};
use crate::job::{FinalRecord, JobId, JobRecord, StoredJob, keys};
use crate::store::{CallPriority, StoreCall, StoreOutcome};
use swiftsail_protocol::users::JobStatus;

/// The read of one job's record that is in flight, and the requests that wait for it or for the next one.
#[derive(Debug, Default)]
pub(super) struct PendingRead {
    /// Requests that the read in flight serves.
    serving: Vec<PendingRequest>,
    /// Requests that arrived after it began and need a new read.
    waiting: Vec<PendingRequest>,
}

/// Whether a read has to be started for a request that waits for a job's record.
enum ReadNeeded {
    Yes,
    /// A read is in flight, and the next one starts when it ends.
    No,
}

impl Controller {
    /// Serves a request by the next cache read if the cache is complete and can take the request, else by a read of the
    /// job's own key.
    pub(super) fn look_up_job(&mut self, id: JobId, pending: PendingRequest) {
        if self.job_cache.is_complete()
            && !self.store.is_unavailable()
            && self.pending_cache_requests() < self.budget.waiting_polls
        {
            return self.wait_for_cache_read(id, pending);
        }
        self.read_job(&id, pending);
    }

    /// Serves a request by a read of the job's own key. A submission needs no read, since the preconditions of its
    /// transaction detect a known job.
    pub(in crate::controller) fn read_job(&mut self, id: &JobId, pending: PendingRequest) {
        if let RequestIntent::Create(record) = pending.intent {
            let freshness = CacheFreshness::MayPredateRequest;
            return self.accept_job(id, pending.request, record, freshness);
        }
        if self.store.is_unavailable()
            || !self.store.has_queue_capacity(self.budget.waiting_store_calls)
        {
            return self.answer(pending.request, store_unavailable_reply());
        }
        if let ReadNeeded::Yes = self.join_read(id, pending) {
            self.start_read(id);
        }
    }

    /// Serves a request for a job that a cache read has not found. The job has either finished and its record has moved
    /// to the final key, or it was never accepted.
    pub(in crate::controller) fn on_job_not_live(&mut self, id: &JobId, pending: PendingRequest) {
        if let RequestIntent::Create(record) = pending.intent {
            let freshness = CacheFreshness::ReadAfterRequest;
            return self.accept_job(id, pending.request, record, freshness);
        }
        if let ReadNeeded::Yes = self.join_read(id, pending) {
            self.start_final_read(id.clone());
        }
    }

    /// Adds a request to the pending read of its job, or registers a new read that the caller must start.
    fn join_read(&mut self, id: &JobId, pending: PendingRequest) -> ReadNeeded {
        if let Some(read) = self.requests.reads.get_mut(id) {
            read.waiting.push(pending);
            return ReadNeeded::No;
        }
        let read = PendingRead { serving: vec![pending], waiting: Vec::new() };
        self.requests.reads.insert(id.clone(), read);
        ReadNeeded::Yes
    }

    fn start_read(&mut self, id: &JobId) {
        let call = StoreCall::Get(keys::job(id));
        let policy = self.user_retry_policy();
        self.store.push(call, CallContext::ReadJob(id.clone()), CallPriority::Normal, policy);
    }

    fn start_final_read(&mut self, id: JobId) {
        let call = StoreCall::Get(keys::final_record(&id));
        let policy = self.user_retry_policy();
        self.store.push(call, CallContext::ReadFinalRecord(id), CallPriority::Normal, policy);
    }

    /// Ends a read: returns the requests that it served, and starts the next read if others wait.
    fn finish_read(&mut self, id: &JobId) -> Vec<PendingRequest> {
        let Some(read) = self.requests.reads.get_mut(id) else { return Vec::new() };
        let served = std::mem::take(&mut read.serving);
        if read.waiting.is_empty() {
            self.requests.reads.remove(id);
        } else {
            read.serving = std::mem::take(&mut read.waiting);
            self.start_read(id);
        }
        served
    }

    pub(super) fn on_job_read(&mut self, id: JobId, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                Some(StoredJob::Live(record)) => self.on_live_job(&id, *record, pair.mod_revision),
                Some(StoredJob::Finished(record)) => self.on_finished_job(&id, record),
                None => self.on_read_failed(&id),
            },
            // Finished and moved, or never accepted.
            StoreOutcome::Missing { .. } => self.start_final_read(id),
            _ => self.on_read_failed(&id),
        }
    }

    pub(super) fn on_final_record_read(&mut self, id: &JobId, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Found(pair) => match serde_json::from_value(pair.value) {
                Ok(record) => self.on_finished_job(id, record),
                Err(_) => self.on_read_failed(id),
            },
            StoreOutcome::Missing { .. } => self.on_unknown_job(id),
            _ => self.on_read_failed(id),
        }
    }

    fn on_live_job(&mut self, id: &JobId, record: JobRecord, mod_revision: u64) {
        let counts = TaskCounts::from(self.task_counts_of(id));
        let mut cancels = Vec::new();
        for pending in self.finish_read(id) {
            match pending.intent {
                RequestIntent::Cancel(attempt) if !record.cancelled => {
                    cancels.push(CancelRequest { request: pending.request, attempt });
                }
                _ if record.cancelled => {
                    let reply =
                        PendingCancelReply::new(id, mod_revision, pending.request, Some(counts));
                    self.answer_when_cancellation_replicated(reply, record.cancelled_wall);
                }
                _ if record.depends_on.is_empty() => self.answer_live(id, &pending),
                _ => {
                    let freshness = CacheFreshness::MayPredateRequest;
                    self.answer_dependent_job(id, &record.depends_on, pending, freshness);
                }
            }
        }
        if !cancels.is_empty() {
            self.cancel_job(id, record, mod_revision, cancels);
        }
    }

    fn on_finished_job(&mut self, id: &JobId, record: FinalRecord) {
        self.cache_final_record(id, record);
        for pending in self.finish_read(id) {
            self.answer(pending.request, final_reply(id, &record));
        }
    }

    fn on_unknown_job(&mut self, id: &JobId) {
        for pending in self.finish_read(id) {
            let reply = match pending.intent {
                RequestIntent::AnswerOr(reply) => reply,
                _ => unknown_job_reply(id),
            };
            self.answer(pending.request, reply);
        }
    }

    fn on_read_failed(&mut self, id: &JobId) {
        for pending in self.finish_read(id) {
            self.answer(pending.request, store_unavailable_reply());
        }
    }

    /// Answers a request from the job's state in a cache read that began after the request arrived.
    pub(in crate::controller) fn answer_from_cache(
        &mut self,
        id: &JobId,
        cached: CachedJob,
        pending: PendingRequest,
    ) {
        match cached {
            CachedJob::Finished(record) => {
                self.cache_final_record(id, record);
                self.answer(pending.request, final_reply(id, &record));
            }
            CachedJob::Cancelled(revision, wall) => {
                let counts = TaskCounts::from(self.task_counts_of(id));
                let reply = PendingCancelReply::new(id, revision, pending.request, Some(counts));
                self.answer_when_cancellation_replicated(reply, wall);
            }
            CachedJob::Live => match self.job_cache.dependencies_of(id) {
                None => self.answer_live(id, &pending),
                Some(depends_on) => {
                    let freshness = CacheFreshness::ReadAfterRequest;
                    self.answer_dependent_job(id, &depends_on, pending, freshness);
                }
            },
            CachedJob::Unreadable => self.read_job(id, pending),
        }
    }

    /// Answers a request about a job that has neither finished nor been cancelled, by its user or by dependency.
    pub(in crate::controller) fn answer_live(&mut self, id: &JobId, pending: &PendingRequest) {
        let counts = TaskCounts::from(self.task_counts_of(id));
        let status = if counts.running > 0 { JobStatus::Running } else { JobStatus::Pending };
        self.answer(pending.request, status_reply(id, status, Some(counts)));
    }

    /// Answers a request about a job that is cancelled by dependency. None of its tasks has run or ever will, so unlike a
    /// cancellation by a user it need not be held by a quorum of controllers.
    pub(in crate::controller) fn answer_cancelled_by_dependency(
        &mut self,
        id: &JobId,
        pending: &PendingRequest,
    ) {
        let counts = TaskCounts { done: 0, running: 0 };
        let reply = status_reply(id, JobStatus::Cancelled, Some(counts));
        self.answer(pending.request, reply);
    }
}
