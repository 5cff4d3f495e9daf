//! Jobs that await others: accepted once those are known, and answered about by what comes before them. Whether such a
//! job is called off follows from the records before it, so any controller can tell, by reads of its own that began
//! after the question; the leader writes the end down later.

use super::requests::PendingRequest;
use super::{CallContext, Controller, Reply, RequestId};
use crate::cluster_state::ClusterState;
use crate::constants::{DEPENDENCY_LOOKUPS_MAX, USER_STORE_TIMEOUT_MS};
use crate::job::{FinalRecord, JobId, JobRecord, StoredJob, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::HashMap;
use swiftsail_dag::{DependencyTraversal, DependencyVerdict, JobOutcome, VisitedJob};
use swiftsail_protocol::users::{JobStatus, is_valid_job_id};

/// Whom a walk serves.
#[derive(Debug)]
enum LookupRequester {
    /// A submission, whose job is accepted if those that it awaits are known.
    Accept(RequestId, Box<JobRecord>),
    /// Somebody who asks about a job that was read and found neither over nor cancelled.
    Answer(PendingRequest),
}

#[derive(Debug)]
struct DependencyLookup {
    job: JobId,
    walk: DependencyTraversal,
    asker: LookupRequester,
    /// The question waited for the reading of what has changed that is kept: it tells what is open, too. Else only what
    /// is final may be taken from it, for it may be older than the question.
    kept: bool,
}

/// Questions under way.
#[derive(Debug, Default)]
pub(super) struct DependencyLookups {
    open: HashMap<u64, DependencyLookup>,
    next: u64,
}

impl Controller {
    /// A job that awaits others is submitted, and not known so far. Those must have been accepted, by whomever.
    pub(super) fn accept_dependent_job(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: Box<JobRecord>,
        kept: bool,
    ) {
        let walk = DependencyTraversal::new(&record.depends_on);
        self.start_dependency_lookup(DependencyLookup {
            job: id.clone(),
            walk,
            asker: LookupRequester::Accept(request, record),
            kept,
        });
    }

    /// Somebody asks about a job that awaits others, and that a read begun since has found to be open: the one of what is
    /// `kept`, or one of its own.
    pub(super) fn answer_dependent_job(
        &mut self,
        id: &JobId,
        awaits: &[JobId],
        waiter: PendingRequest,
        kept: bool,
    ) {
        let (walk, asker) = (DependencyTraversal::new(awaits), LookupRequester::Answer(waiter));
        self.start_dependency_lookup(DependencyLookup { job: id.clone(), walk, asker, kept });
    }

    /// Goes on with a question, as far as what is known answers it; then a job is read.
    fn start_dependency_lookup(&mut self, mut walker: DependencyLookup) {
        while let Some(id) = walker.walk.next_job().cloned() {
            let seen = if is_valid_job_id(&id) {
                self.dependency_seen_here(&id, walker.kept)
            } else {
                Some(VisitedJob::NeverAccepted)
            };
            match seen {
                Some(seen) => walker.walk.on_job_state(&seen),
                None if !self.has_lookup_room() => {
                    let reply = Reply::retry_later("the state service does not answer");
                    return self.finish_dependency_lookup(walker, reply);
                }
                None => {
                    self.dependency_lookups.next += 1;
                    let number = self.dependency_lookups.next;
                    self.dependency_lookups.open.insert(number, walker);
                    return self.read_dependency_for_lookup(number, id, false);
                }
            }
        }
        let verdict = walker.walk.verdict().unwrap_or(DependencyVerdict::NotCancelled);
        let DependencyLookup { job, asker, .. } = walker;
        match (asker, verdict) {
            (LookupRequester::Accept(request, _), DependencyVerdict::UnknownDependency(id)) => {
                let error =
                    format!("it awaits `{id}`, which was never accepted; submit that first");
                let reply = super::requests::error_reply(422, error);
                self.refuse_unless_known(job, request, reply);
            }
            (LookupRequester::Accept(request, record), verdict) => {
                let status = match verdict {
                    DependencyVerdict::CancelledByDependency => JobStatus::Cancelled,
                    _ => JobStatus::Pending,
                };
                self.create_job(&job, request, &record, status);
            }
            (LookupRequester::Answer(waiter), DependencyVerdict::CancelledByDependency) => {
                self.answer_cancelled_by_dependency(&job, waiter)
            }
            (LookupRequester::Answer(waiter), _) => self.answer_live(&job, waiter),
        }
    }

    /// Whether another read for a question may wait.
    fn has_lookup_room(&self) -> bool {
        let room = self.dependency_lookups.open.len() < DEPENDENCY_LOOKUPS_MAX
            && self.store.has_room(self.budget.waiting_store_calls);
        room && !self.store.is_unavailable()
    }

    fn finish_dependency_lookup(&mut self, walker: DependencyLookup, reply: Reply) {
        let request = match walker.asker {
            LookupRequester::Accept(request, _) => request,
            LookupRequester::Answer(waiter) => waiter.request,
        };
        self.reply(request, reply);
    }

    /// What this controller knows of a job without a read: what is over or cancelled stays so, and what is open may be
    /// told by a reading that began after the question.
    fn dependency_seen_here(&self, id: &JobId, kept: bool) -> Option<VisitedJob> {
        let seen = match self.final_records.get(id) {
            Some(record) => Some(VisitedJob::Ended(record.fate(self.now.wall_clock))),
            None => self.job_cache.dependency_state(id, self.now.wall_clock),
        };
        seen.filter(|seen| kept || matches!(seen, VisitedJob::Ended(_)))
    }

    fn read_dependency_for_lookup(&mut self, walk: u64, job: JobId, last_place: bool) {
        let key = keys::place(&job, last_place);
        let until = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        let purpose = CallContext::LookUpDependency { lookup: walk, job, last_place };
        self.store.push(StoreCall::Get(key), purpose, CallPriority::Normal, until);
    }

    /// A job before another has been read.
    pub(super) fn on_dependency_read(
        &mut self,
        walk: u64,
        id: &JobId,
        last_place: bool,
        outcome: &StoreOutcome,
    ) {
        let seen = match self.parse_job_location(id, last_place, outcome) {
            Place::Is(seen) => seen,
            Place::Elsewhere => return self.read_dependency_for_lookup(walk, id.clone(), true),
            Place::Unread => {
                if let Some(walker) = self.dependency_lookups.open.remove(&walk) {
                    let reply = Reply::retry_later("the state service does not answer");
                    self.finish_dependency_lookup(walker, reply);
                }
                return;
            }
        };
        if let Some(mut walker) = self.dependency_lookups.open.remove(&walk) {
            walker.walk.on_job_state(&seen);
            self.start_dependency_lookup(walker);
        }
    }

    /// What a read of one of a job's two places says of it. A job goes from the first to the last in one transaction and
    /// never back, so reading them in this order misses none.
    fn parse_job_location(
        &mut self,
        id: &JobId,
        last_place: bool,
        outcome: &StoreOutcome,
    ) -> Place {
        let over = |record: FinalRecord, wall| Place::Is(VisitedJob::Ended(record.fate(wall)));
        let wall = self.now.wall_clock;
        match outcome {
            StoreOutcome::Found(pair) if last_place => {
                match serde_json::from_value(pair.value.clone()) {
                    Ok(record) => {
                        self.remember_final(id, record);
                        over(record, wall)
                    }
                    Err(_) => Place::Unread,
                }
            }
            StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                Some(StoredJob::Finished(record)) => {
                    self.remember_final(id, record);
                    over(record, wall)
                }
                Some(StoredJob::Live(record)) if record.cancelled => {
                    Place::Is(VisitedJob::Ended(JobOutcome::Cancelled))
                }
                Some(StoredJob::Live(record)) => Place::Is(VisitedJob::Live(record.depends_on)),
                None => Place::Unread,
            },
            StoreOutcome::Missing { .. } if last_place => Place::Is(VisitedJob::NeverAccepted),
            StoreOutcome::Missing { .. } => Place::Elsewhere,
            _ => Place::Unread,
        }
    }

    /// A leader's part: reads the ends of jobs that others await and that it knows nothing of, and works out what
    /// pipelines need.
    pub(super) fn update_dependencies(&mut self) {
        let types = self.machine_types.clone().unwrap_or_default();
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(leader) = &mut self.cluster_state else { return };
        leader.propagate_deadlines(&types, now);
        for id in leader.unknown_dependencies(now) {
            match self.final_records.get(&id) {
                Some(record) => leader.on_dependency_finished(&id, record.fate(wall), now, wall),
                None => read_awaited_job(&mut self.store, leader, id, false),
            }
        }
    }

    /// The end of a job that others await has been read, by a leader.
    pub(super) fn on_awaited_job_read(
        &mut self,
        id: &JobId,
        last_place: bool,
        outcome: &StoreOutcome,
    ) {
        let place = self.parse_job_location(id, last_place, outcome);
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let Some(leader) = &mut self.cluster_state else { return };
        match place {
            Place::Is(VisitedJob::Ended(fate)) => {
                leader.on_dependency_finished(id, fate, now, wall)
            }
            Place::Elsewhere => read_awaited_job(&mut self.store, leader, id.clone(), true),
            // It is known meanwhile, or not readable for now.
            Place::Is(_) | Place::Unread => leader.retry_unknown_dependencies(id, now),
        }
    }
}

/// What a read says of a job.
enum Place {
    Is(VisitedJob),
    /// It is not in its first place.
    Elsewhere,
    /// Nothing.
    Unread,
}

fn read_awaited_job(
    store: &mut crate::store::StoreClient<CallContext>,
    leader: &ClusterState,
    job: JobId,
    last_place: bool,
) {
    let key = keys::place(&job, last_place);
    let purpose = CallContext::ReadDependency { generation: leader.generation, job, last_place };
    store.push(StoreCall::Get(key), purpose, CallPriority::Normal, RetryPolicy::UntilDefinite);
}
