//! Job submissions. A job is accepted by one transaction that creates its record on the precondition that neither a
//! record nor a final record of that id exists. A repeated submission is answered from the existing record.

use super::replies::{
    accepted_reply, error_reply, final_reply, http_status, record_in_flight_reply,
    store_unavailable_reply, unconfirmed_write_reply,
};
use super::{CacheFreshness, PendingRequest, RequestIntent};
use crate::constants::AMOUNT_TOLERANCE;
use crate::controller::chunks::put_mutation;
use crate::controller::{CallContext, Controller, Reply, RequestId};
use crate::job::{JobId, JobKind, JobRecord, JobSpec, keys};
use crate::store::{CallPriority, StoreCall, StoreOutcome};
use swiftsail_protocol::state::{Precondition, Transaction};
use swiftsail_protocol::users::{JobStatus, Submission, read_submission};

impl Controller {
    /// Handles a submission: checks it, and writes the job's record if the job is new and admissible.
    pub(super) fn on_submission(&mut self, request: RequestId, body: &[u8]) {
        let submission = match read_submission(body) {
            Ok(submission) => submission,
            Err(e) => {
                let refusal = error_reply(http_status::BAD_REQUEST, e.to_string());
                return self.answer(request, refusal);
            }
        };
        if let Some(record) = self.final_records.get(&submission.id).copied() {
            return self.answer(request, final_reply(&submission.id, &record));
        }
        // A submission of a known job is answered from its record, even if this body would be rejected.
        if let Some(refusal) = self.submission_refusal(&submission) {
            return self.refuse_unless_known(submission.id, request, refusal);
        }
        let Submission { id, spec: Ok(spec), depends_on } = submission else { return };
        if !self.has_room_for_submission() {
            return self.answer(request, store_unavailable_reply());
        }
        let record = Box::new(self.new_record(&id, spec, depends_on));
        if self.is_read_before_create(&record) {
            let pending = PendingRequest { request, intent: RequestIntent::Create(record) };
            return self.wait_for_cache_read(id, pending);
        }
        self.accept_job(&id, request, record, CacheFreshness::MayPredateRequest);
    }

    /// Returns the error reply for a submission that cannot be accepted now, assuming that its job is new.
    fn submission_refusal(&mut self, submission: &Submission) -> Option<Reply> {
        let Submission { id, spec, depends_on } = submission;
        let refusal = match spec {
            Err(e) => Some(error_reply(http_status::BAD_REQUEST, e.to_string())),
            Ok(spec) => self.validate_admission(spec).or_else(|| self.admission_advice(id, spec)),
        };
        if refusal.is_some() {
            return refusal;
        }
        if self.job_cache.contains(id) {
            return Some(record_in_flight_reply());
        }
        // A controller of an earlier version would start the job before its dependencies are done.
        if !depends_on.is_empty() && !self.format_upgrade.supports_dependencies() {
            self.request_format_upgrade();
            return Some(Reply::retry_later("a controller of an earlier version still serves"));
        }
        None
    }

    /// Checks a job against the settings of its team and the machine types. Returns the error reply if it cannot be
    /// accepted.
    fn validate_admission(&self, spec: &JobSpec) -> Option<Reply> {
        let Some(team) = self.settings.team(&spec.team) else {
            let error = format!("team `{}` is unknown; name one of the settings", spec.team);
            return Some(error_reply(http_status::UNPROCESSABLE, error));
        };
        let Some(types) = &self.machine_types else {
            return Some(Reply::retry_later("the machine types are not known yet"));
        };
        if !types.iter().any(|machine_type| machine_type.allows(spec)) {
            let error = "a task fits no allowed machine type; ask for less or allow more types";
            return Some(error_reply(http_status::UNPROCESSABLE, error.into()));
        }
        if spec.kind == JobKind::Gang && spec.has_contradictory_zones() {
            let error = "a gang that must stay in one zone cannot be spread; ask for one of both";
            return Some(error_reply(http_status::UNPROCESSABLE, error.into()));
        }
        let tasks_at_once = if spec.kind == JobKind::Array { 1.0 } else { f64::from(spec.tasks) };
        let exceeds = |limit: f64, per_task: f64| {
            limit > 0.0 && per_task * tasks_at_once > limit + AMOUNT_TOLERANCE
        };
        if exceeds(team.cpus_max, spec.cpus) || exceeds(team.gpus_max, spec.gpus) {
            let error = format!("the job needs more than the limit of team `{}`", spec.team);
            return Some(error_reply(http_status::UNPROCESSABLE, error));
        }
        None
    }

    /// Whether another submission may be queued. Submissions that wait for a cache read become store calls later, so
    /// they are counted as store calls here.
    fn has_room_for_submission(&self) -> bool {
        let free_calls =
            self.budget.waiting_store_calls.saturating_sub(self.job_cache.pending_submissions());
        !self.store.is_unavailable() && self.store.has_queue_capacity(free_calls)
    }

    fn new_record(&self, id: &JobId, spec: JobSpec, depends_on: Vec<JobId>) -> JobRecord {
        JobRecord {
            cancelled: false,
            cancelled_wall: 0,
            depends_on,
            accepted_wall: self.now.wall_clock,
            chunk_tasks: self.tasks_per_chunk(),
            write_number: 0,
            tier: self.tier_for_submission(id, &spec),
            spec,
        }
    }

    /// Whether a cache read should precede the write, to distinguish a repeat from a new job. The transaction of a
    /// repeat fails but still counts against the store's write rate, and there are as many repeats as new jobs. So if
    /// the write would be queued, one read that serves all waiting requests is done first. The dependencies of a job
    /// have to be looked up in any case, and the same read returns their states.
    fn is_read_before_create(&mut self, record: &JobRecord) -> bool {
        let worth_reading =
            !record.depends_on.is_empty() || self.store.has_waiting_writes(self.now.monotonic);
        worth_reading
            && self.job_cache.is_complete()
            && self.pending_cache_requests() < self.budget.waiting_polls
    }

    /// Accepts a job, unless it is already known or depends on a job that was never accepted.
    pub(super) fn accept_job(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: Box<JobRecord>,
        freshness: CacheFreshness,
    ) {
        if record.depends_on.is_empty() {
            self.create_job(id, request, &record, JobStatus::Pending);
        } else {
            self.accept_dependent_job(id, request, record, freshness);
        }
    }

    /// Creates a job's record, unless the job is already known. `status` is returned to the user if the transaction
    /// commits.
    pub(in crate::controller) fn create_job(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: &JobRecord,
        status: JobStatus,
    ) {
        let transaction = Transaction {
            preconditions: vec![
                Precondition { key: keys::job(id), mod_revision: 0 },
                Precondition { key: keys::final_record(id), mod_revision: 0 },
            ],
            mutations: vec![put_mutation(keys::job(id), record)],
        };
        let context = CallContext::CreateJob { request, job: id.clone(), status };
        let policy = self.user_retry_policy();
        self.store.push(StoreCall::Commit(transaction), context, CallPriority::High, policy);
    }

    /// Handles the outcome of the transaction that creates a job's record.
    pub(super) fn on_job_created(
        &mut self,
        request: RequestId,
        id: JobId,
        status: JobStatus,
        outcome: &StoreOutcome,
    ) {
        match outcome {
            StoreOutcome::Committed(_) => {
                tracing::info!(job = %id, "job accepted");
                self.answer(request, accepted_reply(&id, status));
            }
            StoreOutcome::Conflict(_) => {
                self.refuse_unless_known(id, request, record_in_flight_reply())
            }
            // The transaction may or may not have committed. A read shows which; if that fails too, the user's retry
            // does.
            StoreOutcome::Unknown => {
                self.read_job(&id, PendingRequest::answer_or(request, unconfirmed_write_reply()))
            }
            // Too large for the state service, so a retry cannot succeed. A known job is still answered from its record.
            StoreOutcome::Malformed(_) => {
                let error = "the job is too large; name fewer types, or fewer jobs that it awaits";
                let refusal = error_reply(http_status::BAD_REQUEST, error.into());
                self.refuse_unless_known(id, request, refusal);
            }
            _ => self.answer(request, unconfirmed_write_reply()),
        }
    }

    /// Rejects a submission, unless its job is already known: then it is a repeat and answered with the job's status.
    pub(in crate::controller) fn refuse_unless_known(
        &mut self,
        id: JobId,
        request: RequestId,
        refusal: Reply,
    ) {
        self.look_up_job(id, PendingRequest::answer_or(request, refusal));
    }
}
