//! Lookup of a job's DAG dependencies in the records of the jobs that it depends on.
//!
//! A job with dependencies is accepted once all of them are known to have been accepted, and a request about it is
//! answered according to their outcomes. Whether such a job is cancelled by dependency follows from the records alone.
//! Any controller can therefore determine it by store reads that began after the request; the leader writes the job's
//! final state later.
//!
//! Owns [`DependencyLookups`], the lookups in progress. Reads from the state service what neither the final record
//! cache nor the job cache contains. The traversal itself is [`swiftsail_dag::DependencyTraversal`].

use super::requests::PendingRequest;
use super::requests::replies::{error_reply, http_status, store_unavailable_reply};
use super::{CallContext, Controller, RequestId};
use crate::cluster_state::ClusterState;
use crate::constants::{MAX_DEPENDENCY_LOOKUPS, USER_STORE_TIMEOUT_MS};
use crate::job::{FinalRecord, JobId, JobRecord, StoredJob, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreClient, StoreOutcome};
use std::collections::HashMap;
use swiftsail_dag::{DependencyTraversal, DependencyVerdict, JobOutcome, VisitedJob};
use swiftsail_protocol::state::KeyValue;
use swiftsail_protocol::users::{JobStatus, is_valid_job_id};

/// Whether the latest read of the job cache began after a user's request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CacheFreshness {
    /// The read began after the request arrived, so its states of live jobs may be used for the answer.
    ReadAfterRequest,
    /// The read may be older than the request, so only final states may be used for the answer.
    MayPredateRequest,
}

/// The request that a lookup serves.
#[derive(Debug)]
enum LookupRequester {
    /// A submission, whose job is accepted if all its dependencies are known.
    Accept(RequestId, Box<JobRecord>),
    /// A request about a job whose record shows it as neither finished nor cancelled.
    Answer(PendingRequest),
}

impl LookupRequester {
    fn request(&self) -> RequestId {
        match self {
            LookupRequester::Accept(request, _) => *request,
            LookupRequester::Answer(pending) => pending.request,
        }
    }
}

/// A lookup of the dependencies of one job.
#[derive(Debug)]
struct DependencyLookup {
    job: JobId,
    traversal: DependencyTraversal,
    requester: LookupRequester,
    freshness: CacheFreshness,
}

/// Lookups that wait for a store read.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    /// By lookup number.
    open: HashMap<u64, DependencyLookup>,
    last_number: u64,
}

/// Result of a read of one of a job's two keys, `job/` and `end/`.
pub(super) enum JobReadOutcome {
    Found(VisitedJob),
    /// There is no record at `job/`: the job has finished and its record has moved to `end/`, or it was never accepted.
    NotLive,
    /// The read failed, or the record cannot be parsed.
    Failed,
}

impl Controller {
    /// Accepts a new job with dependencies, provided that each of them has been accepted by some controller.
    pub(super) fn accept_dependent_job(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: Box<JobRecord>,
        freshness: CacheFreshness,
    ) {
        let traversal = DependencyTraversal::new(&record.depends_on);
        let requester = LookupRequester::Accept(request, record);
        let job = id.clone();
        self.continue_lookup(DependencyLookup { job, traversal, requester, freshness });
    }

    /// Answers a request about a job with dependencies that is live according to a read begun after the request arrived.
    pub(super) fn answer_dependent_job(
        &mut self,
        id: &JobId,
        depends_on: &[JobId],
        pending: PendingRequest,
        freshness: CacheFreshness,
    ) {
        let traversal = DependencyTraversal::new(depends_on);
        let requester = LookupRequester::Answer(pending);
        let job = id.clone();
        self.continue_lookup(DependencyLookup { job, traversal, requester, freshness });
    }

    /// Continues a lookup as far as possible without store reads. Then it reads one job, or finishes the lookup.
    fn continue_lookup(&mut self, mut lookup: DependencyLookup) {
        while let Some(id) = lookup.traversal.next_job().cloned() {
            let known = if is_valid_job_id(&id) {
                self.known_dependency(&id, lookup.freshness)
            } else {
                Some(VisitedJob::NeverAccepted)
            };
            match known {
                Some(state) => lookup.traversal.on_job_state(&state),
                None if self.has_lookup_room() => return self.wait_for_dependency(lookup, id),
                None => return self.answer(lookup.requester.request(), store_unavailable_reply()),
            }
        }
        self.finish_lookup(lookup);
    }

    /// The state of a job that is known without a store read, if any.
    fn known_dependency(&self, id: &JobId, freshness: CacheFreshness) -> Option<VisitedJob> {
        let wall = self.now.wall_clock;
        let known = match self.final_records.get(id) {
            Some(record) => Some(VisitedJob::Ended(record.outcome(wall))),
            None => self.job_cache.dependency_state(id, wall),
        };
        known.filter(|state| {
            freshness == CacheFreshness::ReadAfterRequest || matches!(state, VisitedJob::Ended(_))
        })
    }

    /// Whether another lookup may wait for a store read. Bounds memory and the number of store calls.
    fn has_lookup_room(&self) -> bool {
        self.dependency_lookups.open.len() < MAX_DEPENDENCY_LOOKUPS
            && self.store.has_queue_capacity(self.budget.waiting_store_calls)
            && !self.store.is_unavailable()
    }

    fn wait_for_dependency(&mut self, lookup: DependencyLookup, dependency: JobId) {
        self.dependency_lookups.last_number += 1;
        let number = self.dependency_lookups.last_number;
        self.dependency_lookups.open.insert(number, lookup);
        self.read_dependency_for_lookup(number, dependency, false);
    }

    fn finish_lookup(&mut self, lookup: DependencyLookup) {
        let verdict = lookup.traversal.verdict().unwrap_or(DependencyVerdict::NotCancelled);
        let DependencyLookup { job, requester, .. } = lookup;
        match (requester, verdict) {
            (LookupRequester::Accept(request, _), DependencyVerdict::UnknownDependency(id)) => {
                let error =
                    format!("it awaits `{id}`, which was never accepted; submit that first");
                let refusal = error_reply(http_status::UNPROCESSABLE, error);
                self.refuse_unless_known(job, request, refusal);
            }
            (LookupRequester::Accept(request, record), verdict) => {
                let status = match verdict {
                    DependencyVerdict::CancelledByDependency => JobStatus::Cancelled,
                    _ => JobStatus::Pending,
                };
                self.create_job(&job, request, &record, status);
            }
            (LookupRequester::Answer(pending), DependencyVerdict::CancelledByDependency) => {
                self.answer_cancelled_by_dependency(&job, &pending)
            }
            (LookupRequester::Answer(pending), _) => self.answer_live(&job, &pending),
        }
    }

    fn read_dependency_for_lookup(&mut self, lookup: u64, job: JobId, final_key: bool) {
        let key = keys::job_or_final_record(&job, final_key);
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        let context = CallContext::LookUpDependency { lookup, job, final_key };
        self.store.push(StoreCall::Get(key), context, CallPriority::Normal, policy);
    }

    /// Handles the outcome of the read of a dependency for a lookup.
    pub(super) fn on_dependency_read(
        &mut self,
        number: u64,
        id: &JobId,
        final_key: bool,
        outcome: &StoreOutcome,
    ) {
        let location = self.process_job_read(id, final_key, outcome);
        if let JobReadOutcome::NotLive = location {
            return self.read_dependency_for_lookup(number, id.clone(), true);
        }
        let Some(mut lookup) = self.dependency_lookups.open.remove(&number) else { return };
        match location {
            JobReadOutcome::Found(state) => {
                lookup.traversal.on_job_state(&state);
                self.continue_lookup(lookup);
            }
            JobReadOutcome::NotLive | JobReadOutcome::Failed => {
                self.answer(lookup.requester.request(), store_unavailable_reply())
            }
        }
    }

    /// Interprets the outcome of a read of one of a job's two keys, and adds a final record to the cache. `final_key`:
    /// the key read was that of the final record. A job's record moves from `job/` to `end/` in one transaction and never
    /// back, so reading the keys in this order cannot miss it.
    pub(super) fn process_job_read(
        &mut self,
        id: &JobId,
        final_key: bool,
        outcome: &StoreOutcome,
    ) -> JobReadOutcome {
        match outcome {
            StoreOutcome::Found(pair) if final_key => self.process_final_record(id, pair),
            StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                Some(StoredJob::Finished(record)) => self.finished_read_outcome(id, record),
                Some(StoredJob::Live(record)) if record.cancelled => {
                    JobReadOutcome::Found(VisitedJob::Ended(JobOutcome::Cancelled))
                }
                Some(StoredJob::Live(record)) => {
                    JobReadOutcome::Found(VisitedJob::Live(record.depends_on))
                }
                None => JobReadOutcome::Failed,
            },
            StoreOutcome::Missing { .. } if final_key => {
                JobReadOutcome::Found(VisitedJob::NeverAccepted)
            }
            StoreOutcome::Missing { .. } => JobReadOutcome::NotLive,
            _ => JobReadOutcome::Failed,
        }
    }

    fn process_final_record(&mut self, id: &JobId, pair: &KeyValue) -> JobReadOutcome {
        match serde_json::from_value(pair.value.clone()) {
            Ok(record) => self.finished_read_outcome(id, record),
            Err(_) => JobReadOutcome::Failed,
        }
    }

    fn finished_read_outcome(&mut self, id: &JobId, record: FinalRecord) -> JobReadOutcome {
        self.cache_final_record(id, record);
        JobReadOutcome::Found(VisitedJob::Ended(record.outcome(self.now.wall_clock)))
    }

    /// As the leader: updates the effective deadlines, and reads the dependencies that the cluster state does not contain
    /// because they ended before this controller became the leader.
    pub(super) fn update_dependencies(&mut self) {
        let types = self.machine_types.clone().unwrap_or_default();
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(state) = &mut self.cluster_state else { return };
        state.propagate_deadlines(&types, now);
        for id in state.unknown_dependencies(now) {
            match self.final_records.get(&id) {
                Some(record) => state.on_dependency_finished(&id, record.outcome(wall), now, wall),
                None => read_dependency_as_leader(&mut self.store, state, id, false),
            }
        }
    }

    /// Handles the outcome of the leader's read of a dependency.
    pub(super) fn on_leader_dependency_read(
        &mut self,
        id: &JobId,
        final_key: bool,
        outcome: &StoreOutcome,
    ) {
        let location = self.process_job_read(id, final_key, outcome);
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(state) = &mut self.cluster_state else { return };
        match location {
            JobReadOutcome::Found(VisitedJob::Ended(outcome)) => {
                state.on_dependency_finished(id, outcome, now, wall)
            }
            JobReadOutcome::NotLive => {
                read_dependency_as_leader(&mut self.store, state, id.clone(), true)
            }
            // The leader's watch has delivered the job meanwhile, or it cannot be read for now.
            JobReadOutcome::Found(_) | JobReadOutcome::Failed => {
                state.retry_unknown_dependencies(id, now)
            }
        }
    }
}

fn read_dependency_as_leader(
    store: &mut StoreClient<CallContext>,
    state: &ClusterState,
    job: JobId,
    final_key: bool,
) {
    let key = keys::job_or_final_record(&job, final_key);
    let context = CallContext::ReadDependency { generation: state.generation, job, final_key };
    store.push(StoreCall::Get(key), context, CallPriority::Normal, RetryPolicy::UntilDefinite);
}
