//! The purpose of each call to the state service, and the routing of its outcome to the code that made the call.

use super::{Controller, RequestId};
use crate::Time;
use crate::job::JobId;
use crate::store::{FinishedCall, StoreOutcome};
use swiftsail_protocol::users::JobStatus;

/// The purpose of a call to the state service, with what its response handler needs. `generation` is the leadership
/// generation in which the call was made ([`crate::leadership::Leadership::generation`]); an outcome that arrives in
/// a later generation is dropped. `requested_at` is when the call was queued.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum CallContext {
    /// Read the keys under `term/`.
    ReadLeaderKey,
    /// Watch the keys under `term/`.
    WatchLeaderKey,
    /// Request a lease for an election.
    GrantLease { generation: u64, requested_at: Time },
    /// Write the leader's key in an election.
    AcquireLeadership { generation: u64 },
    /// Revoke a lease.
    RevokeLease,
    /// Renew the leader's lease.
    RenewLease { generation: u64, requested_at: Time },
    /// Read the stored machine types.
    ReadMachineTypes,
    /// Store the machine types.
    WriteMachineTypes { generation: u64 },
    /// Read all jobs, as a new leader.
    LoadJobs { generation: u64 },
    /// Read all binding chunks, as a new leader.
    LoadBindings { generation: u64 },
    /// Watch the jobs, as the leader.
    WatchJobs { generation: u64, requested_at: Time },
    /// Poll for changes of jobs, as a leader whose watch has returned nothing for a while.
    ReadJobChanges { generation: u64, requested_at: Time },
    /// Write binding chunks of a job, or its final record.
    FlushJob { generation: u64, job: JobId },
    /// Read all binding log segments, as a new leader.
    LoadBindingLog { generation: u64 },
    /// Write new bindings to the binding log.
    WriteBindingLog { generation: u64 },
    /// Read a key whose precondition failed in a write of the binding log.
    ResolveBindingLog { generation: u64, key: String },
    /// Read a job's record after a conflict of the job's transaction.
    ResolveJob { generation: u64, job: JobId },
    /// Read the chunk at this index of the job's transaction in flight, after a conflict of that transaction.
    ResolveChunk { generation: u64, job: JobId, index: usize },
    /// Delete binding chunks of finished jobs.
    RemoveStaleBindings { generation: u64 },
    /// Move the final records of this many jobs to `end/`.
    ArchiveJobs { generation: u64, jobs: usize },
    /// Poll for changes of jobs, for the job cache.
    ReadCacheChanges,
    /// List the jobs, for the job cache.
    ListJobCache,
    /// Read all plug-ins.
    ReadPlugins,
    /// Watch the plug-ins.
    WatchPlugins,
    /// Write a plug-in, for an operator's request, or to suspend it (`request` is `None`).
    WritePlugin { request: Option<RequestId>, name: String },
    /// Read a page of jobs for an operator.
    ListJobs { request: RequestId },
    /// Read the quota accounts, as the leader with this fencing token, or as a follower (0).
    ReadQuotaAccounts { token: u64 },
    /// Write a page of the quota accounts, as the leader of this generation or as a follower (`None`).
    TransferQuota { generation: Option<u64>, page: usize, transaction_id: (u64, u64) },
    /// Read the replicated records. The number identifies pages of an earlier read, which may still arrive.
    ReadRecords { read_number: u64 },
    /// Watch the replicated records.
    WatchRecords,
    /// Read the outcome of a job that serves an occurrence of the deadline plan; `final_key`: from its key
    /// under `end/`, otherwise from `job/`.
    ReadOccurrenceJob { job: JobId, final_key: bool },
    /// Read the outcome of a job that others depend on, as the leader; `final_key` as above.
    ReadDependency { generation: u64, job: JobId, final_key: bool },
    /// Read a dependency for a user's request; `final_key` as above.
    LookUpDependency { lookup: u64, job: JobId, final_key: bool },
    /// Write the record that every controller reads the current record format.
    RaiseFormatVersion,
    /// Read the replicated records, as a new leader.
    LoadRecords { generation: u64 },
    /// Write replicated records.
    WriteRecords { generation: u64, nonce: u64 },
    /// Create the record of a submitted job.
    CreateJob { request: RequestId, job: JobId, status: JobStatus },
    /// Read a job's record for the requests that wait for it.
    ReadJob(JobId),
    /// Read a job's final record for the requests that wait for it.
    ReadFinalRecord(JobId),
    /// Record that a job was cancelled at this wall-clock time, ms.
    CancelJob(JobId, u64),
}

impl CallContext {
    /// The leadership generation in which the call was made; `None` if the call is not tied to one.
    pub(super) fn generation(&self) -> Option<u64> {
        use CallContext::*;
        match self {
            GrantLease { generation, .. }
            | AcquireLeadership { generation }
            | RenewLease { generation, .. }
            | WriteMachineTypes { generation }
            | LoadJobs { generation }
            | LoadBindings { generation }
            | WatchJobs { generation, .. }
            | ReadJobChanges { generation, .. }
            | FlushJob { generation, .. }
            | LoadBindingLog { generation }
            | WriteBindingLog { generation }
            | ResolveBindingLog { generation, .. }
            | ResolveJob { generation, .. }
            | ResolveChunk { generation, .. }
            | RemoveStaleBindings { generation }
            | LoadRecords { generation }
            | ReadDependency { generation, .. }
            | WriteRecords { generation, .. }
            | ArchiveJobs { generation, .. } => Some(*generation),
            TransferQuota { generation, .. } => *generation,
            _ => None,
        }
    }
}

/// Reason for stepping down when a transaction fails its precondition on the leader's key. Sent to event receivers of
/// plug-ins.
pub(super) const DEPOSED: &str = "the store knows of another term";

impl Controller {
    /// Logs a call that the state service refused and will always refuse, which is a defect or an unannounced limit.
    fn log_permanent_refusal(&self, call: &FinishedCall<CallContext>) {
        let StoreOutcome::Malformed(cause) = &call.outcome else { return };
        let size = call.refused_size;
        tracing::error!(
            call = ?call.context,
            %cause,
            bytes = size.map(|size| size.bytes),
            largest_value_bytes = size.map(|size| size.largest_value_bytes),
            writes = size.map(|size| size.mutations),
            conditions = size.map(|size| size.preconditions),
            refused_permanently = self.store.refusals.permanent,
            "state service refused a call permanently"
        );
    }

    /// Routes the outcome of a call to the code that made it. Outcomes of calls made in an earlier leadership
    /// generation are dropped.
    #[expect(clippy::too_many_lines, reason = "a flat match")]
    pub(super) fn on_store_response(&mut self, call: FinishedCall<CallContext>) {
        self.log_permanent_refusal(&call);
        let generation = call.context.generation();
        if generation.is_some_and(|generation| generation != self.leadership.generation) {
            return;
        }
        match call.context.clone() {
            CallContext::ReadLeaderKey
            | CallContext::WatchLeaderKey
            | CallContext::GrantLease { .. }
            | CallContext::AcquireLeadership { .. }
            | CallContext::RenewLease { .. } => self.on_leadership_response(call),
            CallContext::ReadMachineTypes => self.on_stored_machine_types(call.outcome),
            CallContext::WriteMachineTypes { .. }
            | CallContext::RemoveStaleBindings { .. }
            | CallContext::RevokeLease => {}
            CallContext::ArchiveJobs { jobs, .. } => self.on_jobs_archived(jobs, &call.outcome),
            CallContext::ReadCacheChanges | CallContext::ListJobCache => {
                self.on_cache_response(&call.outcome);
            }
            ref load @ (CallContext::LoadJobs { generation }
            | CallContext::LoadBindings { generation }
            | CallContext::LoadRecords { generation }
            | CallContext::LoadBindingLog { generation }) => {
                self.on_state_page(call.outcome, generation, load);
            }
            CallContext::WatchJobs { generation, requested_at } => {
                self.on_job_watch(call.outcome, generation, requested_at);
            }
            CallContext::ReadJobChanges { requested_at, .. } => {
                if let StoreOutcome::Changes(changes) = &call.outcome {
                    self.on_job_changes(changes, requested_at);
                }
            }
            CallContext::FlushJob { .. }
            | CallContext::WriteBindingLog { .. }
            | CallContext::ResolveBindingLog { .. }
            | CallContext::ResolveJob { .. }
            | CallContext::ResolveChunk { .. } => self.on_binding_response(&call),
            CallContext::ReadPlugins
            | CallContext::WatchPlugins
            | CallContext::WritePlugin { .. }
            | CallContext::ListJobs { .. } => self.on_plugin_store(call),
            CallContext::ReadRecords { .. } | CallContext::WatchRecords => {
                self.on_records_response(&call.context, call.outcome);
            }
            CallContext::ReadOccurrenceJob { job, final_key } => {
                self.on_occurrence_job_read(&job, final_key, &call.outcome);
            }
            CallContext::ReadDependency { job, final_key, .. } => {
                self.on_leader_dependency_read(&job, final_key, &call.outcome);
            }
            CallContext::LookUpDependency { lookup, job, final_key } => {
                self.on_dependency_read(lookup, &job, final_key, &call.outcome);
            }
            CallContext::RaiseFormatVersion => self.on_format_raised(&call.outcome),
            CallContext::WriteRecords { nonce, .. } => {
                self.on_records_written(nonce, &call.outcome);
            }
            CallContext::ReadQuotaAccounts { token } => self.on_quota_read(token, &call.outcome),
            CallContext::TransferQuota { generation, page, transaction_id } => {
                self.on_quota_transferred(
                    generation.is_some(),
                    page,
                    transaction_id,
                    &call.outcome,
                );
            }
            CallContext::CreateJob { .. }
            | CallContext::ReadJob(_)
            | CallContext::ReadFinalRecord(_)
            | CallContext::CancelJob(..) => self.on_user_store_response(call),
        }
    }

    /// Handles the outcome of a write of the binding log or of a job's records, or of a read after a conflict. Steps
    /// down if a write failed its precondition on the leader's key: another controller has been elected.
    fn on_binding_response(&mut self, call: &FinishedCall<CallContext>) {
        let is_deposed = self.with_cluster_state(|state, context| match &call.context {
            CallContext::FlushJob { job, .. } => state.on_job_flushed(job, call, context),
            CallContext::WriteBindingLog { .. } => state.on_binding_log_written(call, context),
            CallContext::ResolveBindingLog { key, .. } => {
                state.on_conflicting_log_key_read(key, &call.outcome, context);
                false
            }
            CallContext::ResolveJob { job, .. } => {
                state.on_conflicting_job_read(job, &call.outcome, context);
                false
            }
            CallContext::ResolveChunk { job, index, .. } => {
                state.on_conflicting_chunk_read(job, *index, &call.outcome, context);
                false
            }
            _ => false,
        });
        if is_deposed == Some(true) {
            self.step_down(DEPOSED);
        }
    }
}
