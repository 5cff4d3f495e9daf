//! Cache of all jobs in the state service. Every controller keeps one, so that polls cost the store little: one
//! incremental read of the changes answers all requests that arrived before it began. However many users poll, this
//! costs the state service a few requests per second, and capacity remains for submissions.
//!
//! Owns [`JobCache`]: the state of each job as of one revision, and the requests that wait for the next read. The cache
//! is filled by a listing and refreshed by incremental reads, not by a watch. Calls the state service; answers are sent
//! through [`super::requests`].

use super::requests::PendingRequest;
use super::requests::replies::store_unavailable_reply;
use super::{CallContext, Controller, Reply};
use crate::Time;
use crate::constants::{
    JOB_CACHE_IDLE_READ_INTERVAL_MS, JOB_CACHE_OVERFLOW_RETRY_MS, JOB_CACHE_READ_INTERVAL_MS,
    JOB_CACHE_RELIST_AFTER_MS, POLL_DISPLACEMENT_WINDOW, STORE_TIMEOUT_MS, USER_STORE_TIMEOUT_MS,
};
use crate::job::{FinalRecord, JobId, StoredJob, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::HashMap;
use std::sync::Arc;
use swiftsail_dag::{JobOutcome, VisitedJob};
use swiftsail_protocol::state::{KeyPage, WatchEvent, WatchResponse};

/// Which jobs the cache covers. Revisions are those of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CacheCoverage {
    /// No jobs: each poll reads its job's own key.
    Nothing,
    /// A listing is in progress; the changes since this revision are still to be read.
    Listing(u64),
    /// All jobs as of this revision.
    Complete(u64),
}

/// State of a job according to its key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CachedJob {
    /// Accepted, neither finished nor cancelled.
    Live,
    /// Cancelled by its user but not finished: the mod revision of the record, and the wall-clock time of the
    /// cancellation, ms.
    Cancelled(u64, u64),
    /// Finished.
    Finished(FinalRecord),
    /// The record exists but this version cannot read it. Each request reads the job's own key.
    Unreadable,
}

/// A request that waits for a cache read to show this job.
type WaitingRequest = (JobId, PendingRequest);

/// The jobs as of the latest read, and the requests that wait for the next one.
#[derive(Debug)]
pub(super) struct JobCache {
    coverage: CacheCoverage,
    jobs: HashMap<JobId, CachedJob>,
    /// Dependencies of the unfinished jobs that have any.
    dependencies: HashMap<JobId, Arc<[JobId]>>,
    /// Finished jobs found by reads and not yet added to the final record cache.
    newly_finished: Vec<(JobId, FinalRecord)>,
    max_jobs: usize,
    /// Requests that the read in flight serves. None if no read is in flight.
    serving: Option<Vec<WaitingRequest>>,
    /// Requests that arrived after that read began and need a new one.
    waiting: Vec<WaitingRequest>,
    /// When the latest read of changes, or the latest listing, was started.
    requested_at: Time,
    /// When the latest response arrived.
    read_at: Time,
    /// Earliest time of the next listing, set after there were more jobs than the cache holds.
    next_listing_at: Time,
}

impl JobCache {
    /// Creates an empty cache that holds at most `max_jobs` jobs.
    pub fn new(max_jobs: usize) -> JobCache {
        JobCache {
            coverage: CacheCoverage::Nothing,
            jobs: HashMap::new(),
            dependencies: HashMap::new(),
            newly_finished: Vec::new(),
            max_jobs,
            serving: None,
            waiting: Vec::new(),
            requested_at: 0,
            read_at: 0,
            next_listing_at: 0,
        }
    }

    /// Changes the coverage; every change goes through this function. Returns false, and changes nothing, if the change
    /// is not allowed: coverage becomes complete only after a listing, and its revision never decreases.
    fn advance(&mut self, to: CacheCoverage) -> bool {
        let allowed = match (self.coverage, to) {
            (_, CacheCoverage::Nothing) | (CacheCoverage::Nothing, CacheCoverage::Listing(_)) => {
                true
            }
            (
                CacheCoverage::Listing(before) | CacheCoverage::Complete(before),
                CacheCoverage::Complete(after),
            ) => after >= before,
            _ => false,
        };
        if !allowed {
            return false;
        }
        if to == CacheCoverage::Nothing {
            self.jobs.clear();
            self.dependencies.clear();
        }
        self.coverage = to;
        true
    }

    /// Whether the cache covers all jobs, so that requests may wait for its next read.
    pub fn is_complete(&self) -> bool {
        matches!(self.coverage, CacheCoverage::Complete(_))
    }

    /// Whether the cache shows that a job has been accepted, whatever its state is now.
    pub fn contains(&self, id: &str) -> bool {
        self.is_complete() && self.jobs.contains_key(id)
    }

    /// The dependencies of an unfinished job, if it has any.
    pub fn dependencies_of(&self, id: &str) -> Option<Arc<[JobId]>> {
        self.dependencies.get(id).cloned()
    }

    /// State of a job according to the latest read, as needed by the jobs that depend on it. None if the cache does not
    /// know it. `wall` is the current wall-clock time, ms.
    pub fn dependency_state(&self, id: &str, wall: u64) -> Option<VisitedJob> {
        match self.jobs.get(id).filter(|_| self.is_complete())? {
            CachedJob::Live => Some(VisitedJob::Live(
                self.dependencies_of(id).as_deref().unwrap_or_default().to_vec(),
            )),
            CachedJob::Cancelled(..) => Some(VisitedJob::Ended(JobOutcome::Cancelled)),
            CachedJob::Finished(record) => Some(VisitedJob::Ended(record.outcome(wall))),
            CachedJob::Unreadable => None,
        }
    }

    /// Number of submissions that wait for a read to show whether they are repeats.
    pub fn pending_submissions(&self) -> usize {
        let requests = self.waiting.iter().chain(self.serving.iter().flatten());
        requests.filter(|(_, pending)| pending.is_submission()).count()
    }

    /// Applies a page of the listing.
    fn on_listing_page(&mut self, page: &KeyPage) {
        if self.coverage == CacheCoverage::Nothing {
            self.advance(CacheCoverage::Listing(page.revision));
        }
        for entry in &page.entries {
            self.record(&entry.key, &entry.value, entry.mod_revision);
        }
        if self.jobs.len() > self.max_jobs {
            self.invalidate_for_size();
        } else if let CacheCoverage::Listing(from) = self.coverage
            && !page.has_next
        {
            self.advance(CacheCoverage::Complete(from));
        }
    }

    /// Applies all changes up to `revision`.
    fn apply_changes(&mut self, events: &[WatchEvent], revision: u64) {
        for event in events {
            match (&event.put_key, &event.deleted_key) {
                (Some(key), _) => self.record(key, &event.value, event.mod_revision),
                (None, Some(key)) => {
                    let id = key.strip_prefix(keys::JOBS).unwrap_or(key);
                    self.jobs.remove(id);
                    self.dependencies.remove(id);
                }
                (None, None) => {}
            }
        }
        if self.jobs.len() > self.max_jobs {
            self.invalidate_for_size();
        } else if !self.advance(CacheCoverage::Complete(revision)) {
            // The store's revision has decreased: nothing in the cache is valid any more.
            self.advance(CacheCoverage::Nothing);
        }
    }

    /// Empties the cache because there are more jobs than it holds. The next listing is delayed, since a listing that
    /// finds too many jobs again costs many requests, and the number of jobs changes slowly.
    fn invalidate_for_size(&mut self) {
        self.advance(CacheCoverage::Nothing);
        self.next_listing_at = self.read_at + JOB_CACHE_OVERFLOW_RETRY_MS;
    }

    /// Records the state of a job from its key and value.
    fn record(&mut self, key: &str, value: &serde_json::Value, mod_revision: u64) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let stored = StoredJob::read(value);
        match &stored {
            Some(StoredJob::Live(record)) if !record.depends_on.is_empty() => {
                self.dependencies.insert(JobId::from(id), record.depends_on.as_slice().into());
            }
            _ => drop(self.dependencies.remove(id)),
        }
        let cached = match stored {
            Some(StoredJob::Live(record)) if record.cancelled => {
                CachedJob::Cancelled(mod_revision, record.cancelled_wall)
            }
            Some(StoredJob::Live(_)) => CachedJob::Live,
            Some(StoredJob::Finished(record)) => {
                self.newly_finished.push((JobId::from(id), record));
                CachedJob::Finished(record)
            }
            None => CachedJob::Unreadable,
        };
        self.jobs.insert(JobId::from(id), cached);
    }

    /// Removes the waiting poll to be evicted in favour of a retried one: the latest poll that is no retry and whose job
    /// an earlier waiting request asks for too, else the latest poll that is no retry.
    fn take_yielding_poll(&mut self) -> Option<PendingRequest> {
        let waiting = &mut self.waiting;
        let yields = |index: &usize| waiting[*index].1.yields_to_retried_poll();
        let is_duplicate =
            |index: &usize| waiting[..*index].iter().any(|(id, _)| *id == waiting[*index].0);
        // Only the latest requests are considered, to bound the CPU time.
        let first = waiting.len().saturating_sub(POLL_DISPLACEMENT_WINDOW);
        let candidates = (first..waiting.len()).rev().filter(yields);
        let index = candidates.clone().find(is_duplicate).or_else(|| candidates.clone().next())?;
        Some(waiting.remove(index).1)
    }
}

impl Controller {
    /// Queues a request for the next read of the changes.
    pub(super) fn wait_for_cache_read(&mut self, id: JobId, pending: PendingRequest) {
        self.job_cache.waiting.push((id, pending));
        self.refresh_job_cache();
    }

    /// Rejects a waiting poll that is no retry, to make room for a retried one. Returns false if there is none to evict.
    pub(super) fn evict_poll_for_retry(&mut self) -> bool {
        let Some(evicted) = self.job_cache.take_yielding_poll() else { return false };
        let reply = Reply::retry_later("others have waited longer for the state service");
        self.answer(evicted.request, reply);
        true
    }

    /// Number of requests that wait for a read to start or to end.
    pub(super) fn pending_cache_requests(&self) -> usize {
        self.job_cache.waiting.len() + self.job_cache.serving.as_ref().map_or(0, Vec::len)
    }

    /// Starts the next read if none is in flight and it is due: a read of the changes if the cache is complete, else a
    /// listing.
    pub(super) fn refresh_job_cache(&mut self) {
        let now = self.now.monotonic;
        let cache = &mut self.job_cache;
        if cache.serving.is_some() {
            return;
        }
        if self.store.is_unavailable() {
            return self.reject_overdue_cache_requests();
        }
        match cache.coverage {
            // After a long time without reads one response could hold very many changes, whereas the pages of a listing
            // are bounded.
            CacheCoverage::Complete(_) if now >= cache.read_at + JOB_CACHE_RELIST_AFTER_MS => {
                cache.advance(CacheCoverage::Nothing);
                self.fall_back_to_key_reads(Vec::new());
            }
            CacheCoverage::Complete(from) => self.read_cache_changes(from),
            CacheCoverage::Nothing
                if now
                    >= cache
                        .next_listing_at
                        .max(cache.requested_at + JOB_CACHE_IDLE_READ_INTERVAL_MS) =>
            {
                cache.requested_at = now;
                self.list_job_cache(None);
            }
            CacheCoverage::Nothing | CacheCoverage::Listing(_) => {}
        }
    }

    /// Rejects the requests that were waiting when the store became unavailable, once they have waited as long as a call
    /// for a user may take. Another controller may still reach the store.
    fn reject_overdue_cache_requests(&mut self) {
        if self.now.monotonic < self.job_cache.requested_at + USER_STORE_TIMEOUT_MS {
            return;
        }
        for (_, pending) in std::mem::take(&mut self.job_cache.waiting) {
            self.answer(pending.request, store_unavailable_reply());
        }
    }

    /// Reads the changes after a revision if the read interval has passed. The interval is shorter while requests wait.
    fn read_cache_changes(&mut self, from: u64) {
        let now = self.now.monotonic;
        let cache = &mut self.job_cache;
        let interval = if cache.waiting.is_empty() {
            JOB_CACHE_IDLE_READ_INTERVAL_MS
        } else {
            JOB_CACHE_READ_INTERVAL_MS
        };
        if now < cache.requested_at + interval {
            return;
        }
        cache.requested_at = now;
        cache.serving = Some(std::mem::take(&mut cache.waiting));
        let call = StoreCall::ReadChanges { prefix: keys::JOBS.into(), from };
        let policy = RetryPolicy::OnceBefore(now + USER_STORE_TIMEOUT_MS);
        // Takes precedence over reads of single keys, since it serves all waiting requests at once.
        self.store.push(call, CallContext::ReadCacheChanges, CallPriority::High, policy);
    }

    /// Reads the next page of the listing, after the key `from`.
    fn list_job_cache(&mut self, from: Option<String>) {
        self.job_cache.serving = Some(Vec::new());
        let call = StoreCall::List { prefix: keys::JOBS.into(), from };
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        // Takes precedence over the reads of single keys that polls make during the listing: queued behind a stream of
        // those it would never end.
        self.store.push(call, CallContext::ListJobCache, CallPriority::High, policy);
    }

    /// Handles the outcome of a read for the cache.
    pub(super) fn on_cache_response(&mut self, outcome: &StoreOutcome) {
        let served = self.job_cache.serving.take().unwrap_or_default();
        self.serve_cache_requests(outcome, served);
        // Final records never change, so later requests need no read, even after the record has moved to its final key.
        for (id, record) in std::mem::take(&mut self.job_cache.newly_finished) {
            self.cache_final_record(&id, record);
        }
        self.refresh_job_cache();
    }

    fn serve_cache_requests(&mut self, outcome: &StoreOutcome, served: Vec<WaitingRequest>) {
        match outcome {
            StoreOutcome::Page(page) => self.on_cache_page(page),
            StoreOutcome::Changes(changes) => self.on_cache_changes(changes, served),
            // The store no longer retains all changes since the last read: the jobs are listed again, and each waiting
            // request reads its job's own key.
            StoreOutcome::Compacted => {
                self.job_cache.advance(CacheCoverage::Nothing);
                self.fall_back_to_key_reads(served);
            }
            _ => {
                if matches!(self.job_cache.coverage, CacheCoverage::Listing(_)) {
                    self.job_cache.advance(CacheCoverage::Nothing);
                }
                for (_, pending) in served {
                    self.answer(pending.request, store_unavailable_reply());
                }
            }
        }
    }

    fn on_cache_page(&mut self, page: &KeyPage) {
        self.job_cache.read_at = self.now.monotonic;
        self.job_cache.on_listing_page(page);
        let last = page.entries.last().filter(|_| page.has_next).map(|entry| entry.key.clone());
        if let (CacheCoverage::Listing(_), Some(last)) = (self.job_cache.coverage, last) {
            self.list_job_cache(Some(last));
        }
    }

    fn on_cache_changes(&mut self, changes: &WatchResponse, served: Vec<WaitingRequest>) {
        self.job_cache.read_at = self.now.monotonic;
        self.job_cache.apply_changes(&changes.events, changes.revision);
        // Absence from the cache shows that a job is not live only if the cache is complete.
        if !self.job_cache.is_complete() {
            return self.fall_back_to_key_reads(served);
        }
        for (id, pending) in served {
            match self.job_cache.jobs.get(&id).copied() {
                Some(cached) => self.answer_from_cache(&id, cached, pending),
                None => self.on_job_not_live(&id, pending),
            }
        }
    }

    /// Serves all requests, served or waiting, by reads of their jobs' own keys, because the cache is not complete.
    fn fall_back_to_key_reads(&mut self, served: Vec<WaitingRequest>) {
        let waiting = std::mem::take(&mut self.job_cache.waiting);
        for (id, pending) in served.into_iter().chain(waiting) {
            self.read_job(&id, pending);
        }
    }
}
