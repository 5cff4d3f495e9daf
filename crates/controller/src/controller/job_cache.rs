//! What every controller keeps of the jobs in the state service, so that polls cost it little: one read of
//! what has changed answers all that asked before it began. A poll storm then costs the state service a
//! few requests a second, however many ask, and submissions keep their part.

use super::requests::PendingRequest;
use super::{CallContext, Controller, Reply};
use crate::Time;
use crate::constants::{
    DISPLACED_OF, JOB_CACHE_FULL_MS, JOB_CACHE_IDLE_MS, JOB_CACHE_MS, JOB_CACHE_STALE_MS,
    STORE_TIMEOUT_MS, USER_STORE_TIMEOUT_MS,
};
use crate::job::{FinalRecord, JobId, StoredJob, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::HashMap;
use std::sync::Arc;
use swiftsail_dag::{JobOutcome, VisitedJob};
use swiftsail_protocol::state::{KeyPage, WatchEvent};

/// How much of the jobs is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CacheCoverage {
    /// Nothing: polls read their job's own key.
    Nothing,
    /// They are being listed; what has changed since this revision is still to be read.
    Listing(u64),
    /// All of them, as they were at this revision.
    Complete(u64),
}

/// A job as its key shows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum CachedJob {
    /// Accepted, and not over.
    Live,
    /// Cancelled, and not over: seen at that revision, cancelled at that time of day.
    Cancelled(u64, u64),
    /// Over.
    Finished(FinalRecord),
    /// There, and not to be read by this version: its key is read whenever somebody asks.
    Unreadable,
}

/// The jobs, and who waits for the next read.
#[derive(Debug)]
pub(super) struct JobCache {
    coverage: CacheCoverage,
    jobs: HashMap<JobId, CachedJob>,
    /// What those that are not over await.
    awaits: HashMap<JobId, Arc<[JobId]>>,
    /// Jobs that were seen to be over, for the cache of final answers.
    newly_finished: Vec<(JobId, FinalRecord)>,
    max_jobs: usize,
    /// Whom the read under way serves.
    serving: Option<Vec<(JobId, PendingRequest)>>,
    /// Who came later and needs a fresh one.
    waiting: Vec<(JobId, PendingRequest)>,
    requested_at: Time,
    read_at: Time,
    /// No listing before that: there were more jobs than it holds.
    next_listing_at: Time,
}

impl JobCache {
    /// A mirror that holds so many jobs at most.
    pub fn new(max_jobs: usize) -> JobCache {
        JobCache {
            coverage: CacheCoverage::Nothing,
            jobs: HashMap::new(),
            awaits: HashMap::new(),
            newly_finished: Vec::new(),
            max_jobs,
            serving: None,
            waiting: Vec::new(),
            requested_at: 0,
            read_at: 0,
            next_listing_at: 0,
        }
    }

    /// The one function that changes how much is known. Everything is known only from a listing on, and
    /// a revision never goes back.
    fn advance(&mut self, to: CacheCoverage) -> bool {
        let allowed = match (self.coverage, to) {
            (_, CacheCoverage::Nothing) | (CacheCoverage::Nothing, CacheCoverage::Listing(_)) => {
                true
            }
            (
                CacheCoverage::Listing(from) | CacheCoverage::Complete(from),
                CacheCoverage::Complete(to),
            ) => to >= from,
            _ => false,
        };
        if allowed {
            if to == CacheCoverage::Nothing {
                self.jobs.clear();
                self.awaits.clear();
            }
            self.coverage = to;
        }
        allowed
    }

    /// Whether polls may wait for the next read.
    pub fn is_complete(&self) -> bool {
        matches!(self.coverage, CacheCoverage::Complete(_))
    }

    /// Whether a job is known to have been accepted, whatever has become of it since.
    pub fn contains(&self, id: &str) -> bool {
        self.is_complete() && self.jobs.contains_key(id)
    }

    /// What a job that is not over awaits, if it awaits any.
    pub fn dependencies_of(&self, id: &str) -> Option<Arc<[JobId]>> {
        self.awaits.get(id).cloned()
    }

    /// What the latest read says of a job, for what comes after it; none: nothing.
    pub fn dependency_state(&self, id: &str, wall: u64) -> Option<VisitedJob> {
        match self.jobs.get(id).filter(|_| self.is_complete())? {
            CachedJob::Live => Some(VisitedJob::Live(
                self.dependencies_of(id).as_deref().unwrap_or_default().to_vec(),
            )),
            CachedJob::Cancelled(..) => Some(VisitedJob::Ended(JobOutcome::Cancelled)),
            CachedJob::Finished(record) => Some(VisitedJob::Ended(record.fate(wall))),
            CachedJob::Unreadable => None,
        }
    }

    /// Submissions that wait for a look whether they are repeats.
    pub fn pending_submissions(&self) -> usize {
        let waiting = self.waiting.iter().chain(self.serving.iter().flatten());
        waiting.filter(|(_, waiter)| waiter.is_submission()).count()
    }

    /// Takes over a page of the listing.
    fn on_listing_page(&mut self, page: &KeyPage) {
        if self.coverage == CacheCoverage::Nothing {
            self.advance(CacheCoverage::Listing(page.revision));
        }
        for pair in &page.entries {
            self.record(&pair.key, &pair.value, pair.mod_revision);
        }
        if self.jobs.len() > self.max_jobs {
            self.invalidate_for_size();
        } else if let CacheCoverage::Listing(from) = self.coverage
            && !page.has_next
        {
            self.advance(CacheCoverage::Complete(from));
        }
    }

    /// Takes over what has changed up to a revision.
    fn apply_changes(&mut self, news: &[WatchEvent], epoch: u64) {
        for item in news {
            match (&item.put_key, &item.deleted_key) {
                (Some(key), _) => self.record(key, &item.value, item.mod_revision),
                (None, Some(key)) => {
                    let id = key.strip_prefix(keys::JOBS).unwrap_or(key);
                    self.jobs.remove(id);
                    self.awaits.remove(id);
                }
                (None, None) => {}
            }
        }
        if self.jobs.len() > self.max_jobs {
            self.invalidate_for_size();
        } else if !self.advance(CacheCoverage::Complete(epoch)) {
            self.advance(CacheCoverage::Nothing);
        }
    }

    /// There are more than it holds: a listing in vain is as many requests as one that is of use, and how many jobs
    /// there are changes slowly.
    fn invalidate_for_size(&mut self) {
        self.advance(CacheCoverage::Nothing);
        self.next_listing_at = self.read_at + JOB_CACHE_FULL_MS;
    }

    fn record(&mut self, key: &str, value: &serde_json::Value, stamp: u64) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let read = StoredJob::read(value);
        match &read {
            Some(StoredJob::Live(record)) if !record.depends_on.is_empty() => {
                self.awaits.insert(JobId::from(id), record.depends_on.as_slice().into());
            }
            _ => drop(self.awaits.remove(id)),
        }
        let shown = match read {
            Some(StoredJob::Live(record)) if record.cancelled => {
                CachedJob::Cancelled(stamp, record.cancelled_wall)
            }
            Some(StoredJob::Live(_)) => CachedJob::Live,
            Some(StoredJob::Finished(record)) => {
                self.newly_finished.push((JobId::from(id), record));
                CachedJob::Finished(record)
            }
            None => CachedJob::Unreadable,
        };
        self.jobs.insert(JobId::from(id), shown);
    }
}

impl Controller {
    /// A poll waits for the next read of what has changed.
    pub(super) fn wait_for_cache_read(&mut self, id: JobId, waiter: PendingRequest) {
        self.job_cache.waiting.push((id, waiter));
        self.refresh_job_cache();
    }

    /// Makes room for a poll that presses, in place of the latest that does not; of those first one whose
    /// job is asked about by another that waits.
    pub(super) fn evict_poll_for_retry(&mut self) -> bool {
        let next = &mut self.job_cache.waiting;
        let idle = |n: &usize| next[*n].1.yields_to_retried_poll();
        let twice = |n: &usize| next[..*n].iter().any(|(id, _)| *id == next[*n].0);
        // Of very many, the latest are looked at (processor).
        let from = next.len().saturating_sub(DISPLACED_OF);
        let last = (from..next.len()).rev().filter(idle);
        let place = last.clone().find(twice).or_else(|| last.clone().next());
        let Some((_, waiter)) = place.map(|n| next.remove(n)) else { return false };
        self.reply(
            waiter.request,
            Reply::retry_later("others have waited longer for the state service"),
        );
        true
    }

    /// Polls that wait for the mirror.
    pub(super) fn pending_cache_requests(&self) -> usize {
        self.job_cache.waiting.len() + self.job_cache.serving.as_ref().map_or(0, Vec::len)
    }

    /// Reads what has changed, if somebody waits for it or it has not been read for a while; begins the
    /// listing where nothing is known.
    pub(super) fn refresh_job_cache(&mut self) {
        let now = self.now.monotonic;
        let mirror = &mut self.job_cache;
        if mirror.serving.is_some() {
            return;
        }
        if self.store.is_unavailable() {
            // Who asked before that was known has waited for long enough: another controller may reach it.
            if now >= mirror.requested_at + USER_STORE_TIMEOUT_MS {
                for (_, waiter) in std::mem::take(&mut mirror.waiting) {
                    self.reply(
                        waiter.request,
                        Reply::retry_later("the state service does not answer"),
                    );
                }
            }
            return;
        }
        let until = RetryPolicy::OnceBefore(now + USER_STORE_TIMEOUT_MS);
        match mirror.coverage {
            // Who has been long away would be told of very much at once: the pages of a listing are bounded.
            CacheCoverage::Complete(_) if now >= mirror.read_at + JOB_CACHE_STALE_MS => {
                mirror.advance(CacheCoverage::Nothing);
                self.fall_back_to_key_reads(Vec::new());
            }
            CacheCoverage::Complete(from) => {
                let pause =
                    if mirror.waiting.is_empty() { JOB_CACHE_IDLE_MS } else { JOB_CACHE_MS };
                if now < mirror.requested_at + pause {
                    return;
                }
                mirror.requested_at = now;
                mirror.serving = Some(std::mem::take(&mut mirror.waiting));
                let call = StoreCall::ReadChanges { prefix: keys::JOBS.into(), from };
                // Before single keys: it serves all who wait, and without it each would read a key of its own.
                self.store.push(call, CallContext::ReadCacheChanges, CallPriority::High, until);
            }
            CacheCoverage::Nothing
                if now >= mirror.next_listing_at.max(mirror.requested_at + JOB_CACHE_IDLE_MS) =>
            {
                mirror.requested_at = now;
                self.list_job_cache(None);
            }
            CacheCoverage::Nothing | CacheCoverage::Listing(_) => {}
        }
    }

    fn list_job_cache(&mut self, from: Option<String>) {
        self.job_cache.serving = Some(Vec::new());
        let call = StoreCall::List { prefix: keys::JOBS.into(), from };
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        // While it lasts polls read single keys, as many as there are: behind those it would never end.
        self.store.push(
            call,
            CallContext::ListJobCache,
            CallPriority::High,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// What came of a read for the mirror.
    pub(super) fn on_cache_response(&mut self, outcome: &StoreOutcome) {
        let waiting = self.job_cache.serving.take().unwrap_or_default();
        self.serve_cache_requests(outcome, waiting);
        // What is over stays as it is: later questions cost nothing, also once the record has moved.
        for (id, record) in std::mem::take(&mut self.job_cache.newly_finished) {
            self.remember_final(&id, record);
        }
        self.refresh_job_cache();
    }

    fn serve_cache_requests(
        &mut self,
        outcome: &StoreOutcome,
        waiting: Vec<(JobId, PendingRequest)>,
    ) {
        match outcome {
            StoreOutcome::Page(page) => {
                self.job_cache.read_at = self.now.monotonic;
                self.job_cache.on_listing_page(page);
                let more = page.entries.last().filter(|_| page.has_next).map(|p| p.key.clone());
                if let (CacheCoverage::Listing(_), Some(from)) = (self.job_cache.coverage, more) {
                    self.list_job_cache(Some(from));
                }
            }
            StoreOutcome::Changes(news) => {
                self.job_cache.read_at = self.now.monotonic;
                self.job_cache.apply_changes(&news.events, news.revision);
                // What is not kept may well be accepted: only of all jobs does absence say anything.
                if !self.job_cache.is_complete() {
                    return self.fall_back_to_key_reads(waiting);
                }
                for (id, waiter) in waiting {
                    match self.job_cache.jobs.get(&id).copied() {
                        Some(shown) => self.answer_from_cache(&id, shown, waiter),
                        None => self.on_not_live(&id, waiter),
                    }
                }
            }
            // Too much has changed since: each reads its own key, and the jobs are listed anew.
            StoreOutcome::Compacted => {
                self.job_cache.advance(CacheCoverage::Nothing);
                self.fall_back_to_key_reads(waiting);
            }
            _ => {
                if matches!(self.job_cache.coverage, CacheCoverage::Listing(_)) {
                    self.job_cache.advance(CacheCoverage::Nothing);
                }
                for (_, waiter) in waiting {
                    self.reply(
                        waiter.request,
                        Reply::retry_later("the state service does not answer"),
                    );
                }
            }
        }
    }

    /// Who waits for a mirror that knows nothing reads its job's own key.
    fn fall_back_to_key_reads(&mut self, waiting: Vec<(JobId, PendingRequest)>) {
        let later = std::mem::take(&mut self.job_cache.waiting);
        for (id, waiter) in waiting.into_iter().chain(later) {
            self.read_job(&id, waiter);
        }
    }
}
