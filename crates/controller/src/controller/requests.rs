//! Users' requests. Every answer about a job that is not over comes from a read of the store that
//! began after the request came; identical reads are merged.

use super::job_cache::CachedJob;
use super::{Action, CallContext, Controller, Reply, RequestId, UserRequest};
use crate::Time;
use crate::constants::{
    CANCEL_CONFLICTS_MAX, EXPEDITED_HEARTBEAT_MS, SLACK, USER_STORE_TIMEOUT_MS,
};
use crate::job::{FinalRecord, FinalState, JobId, JobKind, JobRecord, JobSpec, StoredJob, keys};
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::HashMap;
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};
use swiftsail_protocol::users::{
    ErrorResponse, JobStatus, JobStatusResponse, is_valid_job_id, read_submission,
};

/// What to do once a job's record is known.
#[derive(Debug)]
enum RequestIntent {
    /// Tell its state.
    Poll {
        /// One about the same job was turned away.
        is_retry: bool,
    },
    /// Tell its state if it is known, else give this answer.
    AnswerOr(Reply),
    /// Tell its state if it is known, else accept it.
    Create(Box<JobRecord>),
    /// Cancel it.
    Cancel {
        /// Conflicts so far.
        conflicts: u32,
    },
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: RequestId,
    intent: RequestIntent,
}

impl PendingRequest {
    /// Whether it gives way to a poll that was turned away before.
    pub fn yields_to_retried_poll(&self) -> bool {
        matches!(self.intent, RequestIntent::Poll { is_retry: false })
    }

    /// Whether it is a submission.
    pub fn is_submission(&self) -> bool {
        matches!(self.intent, RequestIntent::Create(_))
    }
}

#[derive(Debug, Default)]
struct PendingRead {
    /// Whom the read under way serves.
    serving: Vec<PendingRequest>,
    /// Who came later and needs a fresh one.
    waiting: Vec<PendingRequest>,
}

/// An answer that a job is cancelled, which waits until enough controllers hold it.
#[derive(Debug)]
struct PendingCancelReply {
    job: JobId,
    /// Where it was committed or read.
    revision: u64,
    request: RequestId,
    task_counts: Option<(u32, u32)>,
    deadline: Time,
}

impl PendingCancelReply {
    fn new(
        job: &JobId,
        revision: u64,
        request: RequestId,
        task_counts: Option<(u32, u32)>,
    ) -> PendingCancelReply {
        PendingCancelReply { job: job.clone(), revision, request, task_counts, deadline: 0 }
    }
}

/// Requests that wait for the store.
#[derive(Debug, Default)]
pub struct Requests {
    reads: HashMap<JobId, PendingRead>,
    cancels: HashMap<JobId, Vec<(RequestId, u32)>>,
    unconfirmed_cancels: Vec<PendingCancelReply>,
}

fn job_answer(id: &str, status: JobStatus, counts: Option<(u32, u32)>) -> JobStatusResponse {
    JobStatusResponse {
        id: id.to_string(),
        status,
        tasks_done: counts.map(|c| c.0),
        tasks_running: counts.map(|c| c.1),
    }
}

pub(super) fn error_reply(status: u16, error: String) -> Reply {
    Reply::new(status, &ErrorResponse { error })
}

impl Controller {
    pub(super) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.answer(request, reply);
    }

    pub(super) fn on_user_request(&mut self, request: RequestId, ask: UserRequest) {
        match ask {
            UserRequest::Health => {
                let reply = if self.is_healthy() {
                    Reply::new(200, &())
                } else {
                    Reply::retry_later("this node is without the state service")
                };
                self.reply(request, reply);
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
            self.reply(request, unknown_job_reply(id));
            return;
        }
        let id = JobId::from(id);
        if let Some(record) = self.final_records.get(&id).copied() {
            self.reply(request, final_reply(&id, &record));
            return;
        }
        let waiter = PendingRequest { request, intent };
        let RequestIntent::Poll { is_retry: pressing } = waiter.intent else {
            return self.read_job(&id, waiter);
        };
        if !self.job_cache.is_complete() {
            return self.read_job(&id, waiter);
        }
        let full = self.pending_cache_requests() >= self.budget.waiting_polls;
        if self.store.is_unavailable() || full && !(pressing && self.evict_poll_for_retry()) {
            return self.reply(request, Reply::retry_later("the state service does not answer"));
        }
        self.wait_for_cache_read(id, waiter);
    }

    fn on_submission(&mut self, request: RequestId, body: &[u8]) {
        let submission = match read_submission(body) {
            Ok(it) => it,
            Err(e) => return self.reply(request, error_reply(400, e.to_string())),
        };
        let id = submission.id;
        if let Some(record) = self.final_records.get(&id).copied() {
            return self.reply(request, final_reply(&id, &record));
        }
        // A known job is answered from its record, whatever this body says.
        let refusal = match &submission.spec {
            Err(e) => Some(error_reply(400, e.to_string())),
            Ok(spec) => self.validate_admission(spec).or_else(|| self.admission_advice(&id, spec)),
        };
        if let Some(reply) = refusal {
            return self
                .look_up(id, PendingRequest { request, intent: RequestIntent::AnswerOr(reply) });
        }
        let Ok(spec) = submission.spec else { return };
        if self.job_cache.contains(&id) {
            let intent =
                RequestIntent::AnswerOr(Reply::retry_later("the job's record is being written"));
            return self.look_up(id, PendingRequest { request, intent });
        }
        if !submission.depends_on.is_empty() && !self.format_upgrade.is_raised() {
            self.request_format_upgrade();
            let intent = RequestIntent::AnswerOr(Reply::retry_later(
                "a controller of an earlier version still serves",
            ));
            return self.look_up(id, PendingRequest { request, intent });
        }
        let calls =
            self.budget.waiting_store_calls.saturating_sub(self.job_cache.pending_submissions());
        if self.store.is_unavailable() || !self.store.has_room(calls) {
            return self.reply(request, Reply::retry_later("the state service does not answer"));
        }
        let record = Box::new(JobRecord {
            cancelled: false,
            cancelled_wall: 0,
            depends_on: submission.depends_on,
            accepted_wall: self.now.wall_clock,
            chunk_tasks: self.tasks_per_chunk(),
            write_number: 0,
            tier: self.tier_for_submission(&id, &spec),
            spec,
        });
        // A repeat takes a change for nothing, as many as what is new. Where it would have to wait for its turn, a
        // read that serves all who wait tells the one from the other.
        // What awaits others is looked up in any case: the same read tells what has become of those.
        let waits =
            !record.depends_on.is_empty() || self.store.has_waiting_writes(self.now.monotonic);
        if waits
            && self.job_cache.is_complete()
            && self.pending_cache_requests() < self.budget.waiting_polls
        {
            return self.wait_for_cache_read(
                id,
                PendingRequest { request, intent: RequestIntent::Create(record) },
            );
        }
        self.accept_job(&id, request, record, false);
    }

    /// Accepts a job, unless it is known, or awaits one that is not. `kept`: the reading of what has changed is not older
    /// than the question.
    fn accept_job(&mut self, id: &JobId, request: RequestId, record: Box<JobRecord>, kept: bool) {
        match record.depends_on.is_empty() {
            true => self.create_job(id, request, &record, JobStatus::Pending),
            false => self.accept_dependent_job(id, request, record, kept),
        }
    }

    /// Accepts a job, unless it is known. `status`: what its user is told then.
    pub(super) fn create_job(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: &JobRecord,
        status: JobStatus,
    ) {
        let commit = Transaction {
            preconditions: vec![
                Precondition { key: keys::job(id), mod_revision: 0 },
                Precondition { key: keys::end(id), mod_revision: 0 },
            ],
            mutations: vec![super::chunks::put_change(keys::job(id), record)],
        };
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        let purpose = CallContext::CreateJob { request, job: id.clone(), status };
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::High,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// Tells what is known of a job with the next read of what has changed, or by its own key.
    fn look_up(&mut self, id: JobId, waiter: PendingRequest) {
        if self.job_cache.is_complete()
            && !self.store.is_unavailable()
            && self.pending_cache_requests() < self.budget.waiting_polls
        {
            return self.wait_for_cache_read(id, waiter);
        }
        self.read_job(&id, waiter);
    }

    /// A read of what has changed shows no such job: over and moved, or never accepted.
    pub(super) fn on_not_live(&mut self, id: &JobId, waiter: PendingRequest) {
        match waiter.intent {
            RequestIntent::Create(record) => self.accept_job(id, waiter.request, record, true),
            _ => self.read_final(id, waiter),
        }
    }

    /// What speaks against a job, if anything.
    fn validate_admission(&self, spec: &JobSpec) -> Option<Reply> {
        let Some(team) = self.settings.team(&spec.team) else {
            let error = format!("team `{}` is unknown; name one of the settings", spec.team);
            return Some(error_reply(422, error));
        };
        let Some(types) = &self.machine_types else {
            return Some(Reply::retry_later("the machine types are not known yet"));
        };
        if !types.iter().any(|t| t.allows(spec)) {
            let error = "a task fits no allowed machine type; ask for less or allow more types";
            return Some(error_reply(422, error.into()));
        }
        let count = if spec.kind == JobKind::Array { 1.0 } else { f64::from(spec.tasks) };
        let over = |limit: f64, each: f64| limit > 0.0 && each * count > limit + SLACK;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            let error = format!("the job needs more than the limit of team `{}`", spec.team);
            return Some(error_reply(422, error));
        }
        None
    }

    pub(super) fn read_job(&mut self, id: &JobId, waiter: PendingRequest) {
        if let RequestIntent::Create(record) = waiter.intent {
            return self.accept_job(id, waiter.request, record, false);
        }
        if self.store.is_unavailable() || !self.store.has_room(self.budget.waiting_store_calls) {
            let reply = Reply::retry_later("the state service does not answer");
            return self.reply(waiter.request, reply);
        }
        match self.requests.reads.get_mut(id) {
            Some(reading) => reading.waiting.push(waiter),
            None => {
                let reading = PendingRead { serving: vec![waiter], waiting: Vec::new() };
                self.requests.reads.insert(id.clone(), reading);
                self.start_read(id);
            }
        }
    }

    /// Tells what a job's key shows.
    pub(super) fn answer_from_cache(
        &mut self,
        id: &JobId,
        shown: CachedJob,
        waiter: PendingRequest,
    ) {
        match shown {
            CachedJob::Finished(record) => {
                self.remember_final(id, record);
                self.reply(waiter.request, final_reply(id, &record));
            }
            CachedJob::Cancelled(revision, wall) => {
                let counts = self.task_counts_of(id);
                let told = PendingCancelReply::new(id, revision, waiter.request, Some(counts));
                self.answer_when_cancellation_replicated(told, wall);
            }
            CachedJob::Live => match self.job_cache.dependencies_of(id) {
                None => self.answer_live(id, waiter),
                Some(awaits) => self.answer_dependent_job(id, &awaits, waiter, true),
            },
            CachedJob::Unreadable => self.read_job(id, waiter),
        }
    }

    /// Tells of a job that is neither over nor cancelled nor called off.
    pub(super) fn answer_live(&mut self, id: &JobId, waiter: PendingRequest) {
        let counts = self.task_counts_of(id);
        let status = if counts.1 > 0 { JobStatus::Running } else { JobStatus::Pending };
        self.reply(waiter.request, Reply::new(200, &job_answer(id, status, Some(counts))));
    }

    /// Tells of a job that is called off with one before it. Nothing of it has ever run, nor will: no controller has to
    /// know more than the records say.
    pub(super) fn answer_cancelled_by_dependency(&mut self, id: &JobId, waiter: PendingRequest) {
        let reply = Reply::new(200, &job_answer(id, JobStatus::Cancelled, Some((0, 0))));
        self.reply(waiter.request, reply);
    }

    /// A submission is refused, unless its job is known: then it is a repeat.
    pub(super) fn refuse_unless_known(&mut self, id: JobId, request: RequestId, refusal: Reply) {
        self.look_up(id, PendingRequest { request, intent: RequestIntent::AnswerOr(refusal) });
    }

    /// A job's key was read and is not there: its final record tells.
    pub(super) fn read_final(&mut self, id: &JobId, waiter: PendingRequest) {
        match self.requests.reads.get_mut(id) {
            // A read of its key is under way; what it finds may be older than the question.
            Some(reading) => reading.waiting.push(waiter),
            None => {
                let reading = PendingRead { serving: vec![waiter], waiting: Vec::new() };
                self.requests.reads.insert(id.clone(), reading);
                self.start_final_read(id.clone());
            }
        }
    }

    fn start_final_read(&mut self, id: JobId) {
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        let call = StoreCall::Get(keys::end(&id));
        let purpose = CallContext::ReadFinalRecord(id);
        self.store.push(call, purpose, CallPriority::Normal, RetryPolicy::OnceBefore(until));
    }

    fn start_read(&mut self, id: &JobId) {
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        let call = StoreCall::Get(keys::job(id));
        self.store.push(
            call,
            CallContext::ReadJob(id.clone()),
            CallPriority::Normal,
            RetryPolicy::OnceBefore(until),
        );
    }

    pub(super) fn on_user_store_response(&mut self, end: FinishedCall<CallContext>) {
        match end.context {
            CallContext::CreateJob { request, job, status } => match end.outcome {
                StoreOutcome::Committed(_) => {
                    tracing::info!(job = %job, "job accepted");
                    let reply = Reply::new(201, &job_answer(&job, status, None));
                    self.reply(request, reply);
                }
                StoreOutcome::Conflict(_) => {
                    let otherwise = Reply::retry_later("the job's record is being written");
                    self.look_up(
                        job,
                        PendingRequest { request, intent: RequestIntent::AnswerOr(otherwise) },
                    );
                }
                // It may be accepted or not: a read tells, or the user's retry finds out.
                StoreOutcome::Unknown => {
                    let otherwise = Reply::retry_later("the state service did not confirm");
                    self.read_job(
                        &job,
                        PendingRequest { request, intent: RequestIntent::AnswerOr(otherwise) },
                    );
                }
                // Too large for the state service, now and ever; but a known job is answered from its record.
                StoreOutcome::Malformed(_) => {
                    let refusal = error_reply(
                        400,
                        "the job is too large; name fewer types, or fewer jobs that it awaits"
                            .into(),
                    );
                    self.look_up(
                        job,
                        PendingRequest { request, intent: RequestIntent::AnswerOr(refusal) },
                    );
                }
                _ => self.reply(request, Reply::retry_later("the state service did not confirm")),
            },
            CallContext::ReadJob(id) => match end.outcome {
                StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                    Some(StoredJob::Live(record)) => {
                        self.on_live_job(&id, *record, pair.mod_revision)
                    }
                    Some(StoredJob::Finished(record)) => self.on_finished_job(&id, record),
                    None => self.on_read_failed(&id),
                },
                // Not live: over, or never accepted. A job goes from the one key to the other in
                // one transaction and never back, so this order of reads misses none.
                StoreOutcome::Missing { .. } => self.start_final_read(id),
                _ => self.on_read_failed(&id),
            },
            CallContext::ReadFinalRecord(id) => match end.outcome {
                StoreOutcome::Found(pair) => {
                    match serde_json::from_value::<FinalRecord>(pair.value) {
                        Ok(record) => self.on_finished_job(&id, record),
                        Err(_) => self.on_read_failed(&id),
                    }
                }
                StoreOutcome::Missing { .. } => {
                    for waiter in self.finish_read(&id) {
                        let reply = match waiter.intent {
                            RequestIntent::AnswerOr(otherwise) => otherwise,
                            _ => unknown_job_reply(&id),
                        };
                        self.reply(waiter.request, reply);
                    }
                }
                _ => self.on_read_failed(&id),
            },
            CallContext::CancelJob(id, wall) => {
                let waiting = self.requests.cancels.remove(&id).unwrap_or_default();
                for (request, tries) in waiting {
                    match end.outcome {
                        StoreOutcome::Committed(revision) => {
                            self.answer_when_cancellation_replicated(
                                PendingCancelReply::new(&id, revision, request, None),
                                wall,
                            );
                        }
                        StoreOutcome::Conflict(_) if tries < CANCEL_CONFLICTS_MAX => {
                            let intent = RequestIntent::Cancel { conflicts: tries + 1 };
                            self.read_job(&id, PendingRequest { request, intent });
                        }
                        // Committed or not: a read tells, and there is time to try once more.
                        StoreOutcome::Unknown if tries < CANCEL_CONFLICTS_MAX => {
                            let intent = RequestIntent::Cancel { conflicts: CANCEL_CONFLICTS_MAX };
                            self.read_job(&id, PendingRequest { request, intent });
                        }
                        _ => self.reply(
                            request,
                            Reply::retry_later("the state service did not confirm"),
                        ),
                    }
                }
            }
            _ => {}
        }
    }

    /// Tells a user that a job is cancelled, as soon as enough controllers hold it: a leader that the state
    /// service refuses learns it from them (`term::Held`). Every such answer goes this way but those about jobs
    /// that are over, of which nothing is left on any machine.
    fn answer_when_cancellation_replicated(&mut self, told: PendingCancelReply, wall: u64) {
        self.cancellations.record_cancellation(&told.job, told.revision, wall);
        match &mut self.cluster_state {
            Some(leader) => {
                leader.on_remote_cancellation(
                    &told.job,
                    wall,
                    self.now.monotonic,
                    self.now.wall_clock,
                );
            }
            None => self.add_pending_termination(&told.job, wall),
        }
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        self.requests.unconfirmed_cancels.push(PendingCancelReply { deadline: until, ..told });
    }

    /// Answers those whose cancellation enough controllers hold by now, and hurries the others on.
    pub(super) fn answer_confirmed_cancellations(&mut self) {
        if self.requests.unconfirmed_cancels.is_empty() {
            return;
        }
        let (now, all) = (self.now.monotonic, self.settings.controllers());
        let mut hurry = false;
        for told in std::mem::take(&mut self.requests.unconfirmed_cancels) {
            if self.cancellations.is_replicated(&told.job, told.revision, all) {
                let reply =
                    Reply::new(200, &job_answer(&told.job, JobStatus::Cancelled, told.task_counts));
                self.reply(told.request, reply);
            } else if now >= told.deadline {
                // Committed it may be; a repeat is answered by what is read then.
                self.reply(told.request, Reply::retry_later("too few controllers are heard"));
            } else {
                hurry |= self.cancellations.awaits_first_heartbeat(&told.job);
                self.requests.unconfirmed_cancels.push(told);
            }
        }
        if hurry && now >= self.expedited_heartbeat_at + EXPEDITED_HEARTBEAT_MS {
            self.expedited_heartbeat_at = now;
            let beat = self.build_heartbeat(true);
            self.actions.push(Action::SendHeartbeat(beat));
        }
    }

    /// Ends a read: gives those it served, and begins the next for those who came later.
    fn finish_read(&mut self, id: &JobId) -> Vec<PendingRequest> {
        let Some(reading) = self.requests.reads.get_mut(id) else { return Vec::new() };
        let served = std::mem::take(&mut reading.serving);
        if reading.waiting.is_empty() {
            self.requests.reads.remove(id);
        } else {
            reading.serving = std::mem::take(&mut reading.waiting);
            self.start_read(id);
        }
        served
    }

    fn on_finished_job(&mut self, id: &JobId, record: FinalRecord) {
        self.remember_final(id, record);
        for waiter in self.finish_read(id) {
            self.reply(waiter.request, final_reply(id, &record));
        }
    }

    fn on_read_failed(&mut self, id: &JobId) {
        for waiter in self.finish_read(id) {
            self.reply(waiter.request, Reply::retry_later("the state service does not answer"));
        }
    }

    fn on_live_job(&mut self, id: &JobId, record: JobRecord, stamp: u64) {
        let counts = self.task_counts_of(id);
        let mut cancels = Vec::new();
        for waiter in self.finish_read(id) {
            match waiter.intent {
                RequestIntent::Cancel { conflicts: tries } if !record.cancelled => {
                    cancels.push((waiter.request, tries));
                }
                _ if record.cancelled => {
                    let told = PendingCancelReply::new(id, stamp, waiter.request, Some(counts));
                    self.answer_when_cancellation_replicated(told, record.cancelled_wall);
                }
                _ if record.depends_on.is_empty() => self.answer_live(id, waiter),
                _ => self.answer_dependent_job(id, &record.depends_on, waiter, false),
            }
        }
        if cancels.is_empty() {
            return;
        }
        if let Some(waiting) = self.requests.cancels.get_mut(id) {
            // The cancellation under way serves these too.
            waiting.extend(cancels);
            return;
        }
        self.requests.cancels.insert(id.clone(), cancels);
        let cancelled =
            JobRecord { cancelled: true, cancelled_wall: self.now.wall_clock, ..record };
        let commit = Transaction {
            preconditions: vec![Precondition { key: keys::job(id), mod_revision: stamp }],
            mutations: vec![Mutation::Put {
                key: keys::job(id),
                value: serde_json::to_value(&cancelled).unwrap_or_default(),
                lease: None,
            }],
        };
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        let purpose = CallContext::CancelJob(id.clone(), cancelled.cancelled_wall);
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::High,
            RetryPolicy::OnceBefore(until),
        );
    }
}

fn unknown_job_reply(id: &str) -> Reply {
    let shown: String = id.chars().take(80).collect();
    error_reply(404, format!("job `{shown}` is unknown; check its id"))
}

fn final_reply(id: &JobId, record: &FinalRecord) -> Reply {
    let status = match record.state {
        FinalState::Done => JobStatus::Done,
        FinalState::Cancelled => JobStatus::Cancelled,
    };
    Reply::new(200, &job_answer(id, status, Some((record.done, 0))))
}
