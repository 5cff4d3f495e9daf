//! What calls to the state service are for, and where their outcomes go.

use super::{Controller, LeaderContext, RequestId};
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::{ARCHIVE_BACKLOG, ARCHIVE_BATCH, CLOUD_TYPES_MS};
use crate::job::{JobId, keys};
use crate::machine::MachineType;
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::sync::Arc;
use swiftsail_protocol::cloud::MachineTypes;
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};
use swiftsail_protocol::users::JobStatus;

/// What a store call was for; `era` tells answers to an earlier term.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum CallContext {
    /// Read who leads.
    ReadLeaderKey,
    /// Watch who leads.
    WatchLeaderKey,
    /// Get a lease to lead.
    GrantLease { generation: u64, requested_at: Time },
    /// Write the leader's key.
    AcquireLeadership { generation: u64 },
    /// Give the lease back.
    RevokeLease,
    /// Extend the lease.
    RenewLease { generation: u64, requested_at: Time },
    /// Read the machine types.
    ReadMachineTypes,
    /// Keep the machine types.
    WriteMachineTypes { generation: u64 },
    /// Read all jobs.
    LoadJobs { generation: u64 },
    /// Read all bindings.
    LoadBindings { generation: u64 },
    /// Watch the jobs.
    WatchJobs { generation: u64, requested_at: Time },
    /// Read what has changed of the jobs, as a leader whose watch tells nothing.
    ReadJobChanges { generation: u64, requested_at: Time },
    /// Write a job's chunks.
    FlushJob { generation: u64, job: JobId },
    /// Read all sheets of the ledger.
    LoadBindingLog { generation: u64 },
    /// Write new bindings.
    WriteBindingLog { generation: u64 },
    /// Read a key after a conflict of the ledger.
    ResolveBindingLog { generation: u64, key: String },
    /// Read a job after a conflict.
    ResolveJob { generation: u64, job: JobId },
    /// Read a chunk after a conflict.
    ResolveChunk { generation: u64, job: JobId, index: usize },
    /// Remove keys that nothing refers to.
    RemoveStaleBindings { generation: u64 },
    /// Move the records of so many jobs that are over.
    ArchiveJobs { generation: u64, jobs: usize },
    /// Read what has changed of the jobs, for polls.
    ReadCacheChanges,
    /// List the jobs, for polls.
    ListJobCache,
    /// Read all plug-ins.
    ReadPlugins,
    /// Watch the plug-ins.
    WatchPlugins,
    /// Write a plug-in, for an operator or to suspend it.
    WritePlugin { request: Option<RequestId>, name: String },
    /// Read a page of jobs for an operator.
    ListJobs { request: RequestId },
    /// Read what is held of limits; asked for under that token, or 0.
    ReadQuotaAccounts { token: u64 },
    /// Move amounts of a page; of a leader under its term.
    TransferQuota { generation: Option<u64>, page: usize, by: (u64, u64) },
    /// Read the records that outlive controllers; the number is of the reading.
    ReadRecords { reading: u64 },
    /// Watch them.
    WatchRecords,
    /// Read what became of a job that serves an arrival.
    ReadOccurrenceJob { job: JobId, last_place: bool },
    /// Read the end of a job that others await, as a leader.
    ReadDependency { generation: u64, job: JobId, last_place: bool },
    /// Read a job that stands before another, for those who asked about that one.
    LookUpDependency { lookup: u64, job: JobId, last_place: bool },
    /// Note that every controller knows the form of records.
    RaiseFormatVersion,
    /// Read them as a new leader.
    LoadRecords { generation: u64 },
    /// Write some of them.
    WriteRecords { generation: u64, nonce: u64 },
    /// Create a job.
    CreateJob { request: RequestId, job: JobId, status: JobStatus },
    /// Read a job for those who asked.
    ReadJob(JobId),
    /// Read a job's final record for those who asked.
    ReadFinalRecord(JobId),
    /// Mark a job as cancelled, at that time of day.
    CancelJob(JobId, u64),
}

impl CallContext {
    pub(super) fn generation(&self) -> Option<u64> {
        use CallContext::*;
        match self {
            GrantLease { generation: era, .. }
            | AcquireLeadership { generation: era }
            | RenewLease { generation: era, .. }
            | WriteMachineTypes { generation: era }
            | LoadJobs { generation: era }
            | LoadBindings { generation: era }
            | WatchJobs { generation: era, .. }
            | ReadJobChanges { generation: era, .. }
            | FlushJob { generation: era, .. }
            | LoadBindingLog { generation: era }
            | WriteBindingLog { generation: era }
            | ResolveBindingLog { generation: era, .. }
            | ResolveJob { generation: era, .. }
            | ResolveChunk { generation: era, .. }
            | RemoveStaleBindings { generation: era }
            | LoadRecords { generation: era }
            | ReadDependency { generation: era, .. }
            | WriteRecords { generation: era, .. }
            | ArchiveJobs { generation: era, .. } => Some(*era),
            TransferQuota { generation: era, .. } => *era,
            _ => None,
        }
    }
}

impl Controller {
    pub(super) fn on_store_response(&mut self, end: FinishedCall<CallContext>) {
        if end.context.generation().is_some_and(|era| era != self.leadership.generation) {
            return;
        }
        match end.context.clone() {
            CallContext::ReadLeaderKey
            | CallContext::WatchLeaderKey
            | CallContext::GrantLease { .. }
            | CallContext::AcquireLeadership { .. }
            | CallContext::RenewLease { .. } => self.on_leadership_response(end),
            CallContext::ReadMachineTypes => {
                if let StoreOutcome::Found(pair) = end.outcome
                    && self.machine_types.is_none()
                    && let Ok(types) = serde_json::from_value::<MachineTypes>(pair.value)
                {
                    self.learn_machine_types(&types);
                }
            }
            CallContext::WriteMachineTypes { .. }
            | CallContext::RemoveStaleBindings { .. }
            | CallContext::RevokeLease => {}
            CallContext::ArchiveJobs { jobs, .. } => self.on_jobs_archived(jobs, &end.outcome),
            CallContext::ReadCacheChanges | CallContext::ListJobCache => {
                self.on_cache_response(&end.outcome)
            }
            ref load @ (CallContext::LoadJobs { generation: era }
            | CallContext::LoadBindings { generation: era }
            | CallContext::LoadRecords { generation: era }
            | CallContext::LoadBindingLog { generation: era }) => {
                self.on_state_page(end.outcome, era, load)
            }
            CallContext::WatchJobs { generation: era, requested_at: asked } => {
                self.on_job_watch(end.outcome, era, asked)
            }
            CallContext::ReadJobChanges { requested_at: asked, .. } => {
                if let StoreOutcome::Changes(news) = &end.outcome {
                    self.on_job_changes(news, asked);
                }
            }
            CallContext::FlushJob { ref job, .. } => {
                let lost = match &mut self.cluster_state {
                    Some(leader) => leader.on_flushed(job, &end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            CallContext::WriteBindingLog { .. } => {
                let lost = match &mut self.cluster_state {
                    Some(leader) => leader.on_binding_log_written(&end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            CallContext::ResolveBindingLog { key, .. } => {
                if let Some(leader) = &mut self.cluster_state {
                    leader.on_binding_log_conflict_read(&key, &end.outcome, &mut ctx!(self));
                }
            }
            CallContext::ResolveJob { job, .. } => {
                if let Some(leader) = &mut self.cluster_state {
                    leader.on_resolve_job(&job, &end.outcome, &mut ctx!(self));
                }
            }
            CallContext::ResolveChunk { job, index, .. } => {
                if let Some(leader) = &mut self.cluster_state {
                    leader.on_resolve_chunk(&job, index, &end.outcome, &mut ctx!(self));
                }
            }
            CallContext::ReadPlugins
            | CallContext::WatchPlugins
            | CallContext::WritePlugin { .. }
            | CallContext::ListJobs { .. } => self.on_plugin_store(end),
            CallContext::ReadRecords { .. } | CallContext::WatchRecords => {
                self.on_records_response(&end.context, end.outcome);
            }
            CallContext::ReadOccurrenceJob { job, last_place } => {
                self.on_occurrence_job_read(&job, last_place, &end.outcome);
            }
            CallContext::ReadDependency { job, last_place, .. } => {
                self.on_awaited_job_read(&job, last_place, &end.outcome);
            }
            CallContext::LookUpDependency { lookup: walk, job, last_place } => {
                self.on_dependency_read(walk, &job, last_place, &end.outcome);
            }
            CallContext::RaiseFormatVersion => self.on_format_raised(&end.outcome),
            CallContext::WriteRecords { nonce, .. } => self.on_records_written(nonce, &end.outcome),
            CallContext::ReadQuotaAccounts { token } => self.on_quota_read(token, &end.outcome),
            CallContext::TransferQuota { generation: era, page, by } => {
                self.on_quota_transferred(era.is_some(), page, by, &end.outcome);
            }
            CallContext::CreateJob { .. }
            | CallContext::ReadJob(_)
            | CallContext::ReadFinalRecord(_)
            | CallContext::CancelJob(..) => {
                self.on_user_store_response(end);
            }
        }
    }

    pub(super) fn learn_machine_types(&mut self, types: &MachineTypes) {
        if !types.machine_types.is_empty() {
            self.machine_types =
                Some(Arc::new(types.machine_types.iter().map(MachineType::from).collect()));
        }
    }

    pub(super) fn request_machine_types(&mut self) {
        if self.machine_types.is_none() {
            self.machine_types_requested_at = 0;
        }
    }

    /// The leader keeps the machine types in the store, for nodes that start while the cloud is
    /// away.
    pub(super) fn store_machine_types(&mut self, types: &MachineTypes) {
        let Some(leader) = &self.cluster_state else { return };
        let commit = Transaction {
            preconditions: vec![Precondition {
                key: keys::LEADER.into(),
                mod_revision: leader.token,
            }],
            mutations: vec![super::chunks::put_change(keys::TYPES.into(), types)],
        };
        let purpose = CallContext::WriteMachineTypes { generation: leader.generation };
        let until = self.now.monotonic + CLOUD_TYPES_MS;
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::Low,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// Moves the records of jobs that are over to their last place, a few at a time, when the state service
    /// has nothing else to do. New leaders would else list them for ever.
    pub(super) fn archive_finished_jobs(&mut self) {
        let Some(leader) = self
            .cluster_state
            .as_mut()
            .filter(|l| !l.is_archiving && !l.unarchived_jobs.is_empty())
        else {
            return;
        };
        let urgency = match leader.unarchived_jobs.len() {
            0..ARCHIVE_BACKLOG => CallPriority::Background,
            _ => CallPriority::Low,
        };
        let most = (self.settings.settings.state.txn_ops / 2).clamp(1, ARCHIVE_BATCH);
        let mut commit = Transaction {
            preconditions: vec![Precondition {
                key: keys::LEADER.into(),
                mod_revision: leader.token,
            }],
            mutations: Vec::new(),
        };
        let mut jobs = 0;
        for (id, stamp, record) in leader.unarchived_jobs.iter().take(most) {
            jobs += 1;
            commit.preconditions.push(Precondition { key: keys::job(id), mod_revision: *stamp });
            commit.mutations.push(Mutation::Delete { key: keys::job(id) });
            commit.mutations.push(super::chunks::put_change(keys::end(id), record));
        }
        leader.is_archiving = true;
        let purpose = CallContext::ArchiveJobs { generation: leader.generation, jobs };
        self.store.push(StoreCall::Commit(commit), purpose, urgency, RetryPolicy::UntilDefinite);
    }

    /// Records were moved, or an earlier try without an answer had done so already: only leaders move them,
    /// and a job that is over never changes. What the state service does not name is still where it was.
    fn on_jobs_archived(&mut self, jobs: usize, outcome: &StoreOutcome) {
        let Some(leader) = &mut self.cluster_state else { return };
        leader.is_archiving = false;
        let tried: Vec<_> =
            leader.unarchived_jobs.drain(..jobs.min(leader.unarchived_jobs.len())).collect();
        let StoreOutcome::Conflict(failed) = outcome else { return };
        if failed.iter().any(|k| k == keys::LEADER) {
            return self.step_down("the store knows of another term");
        }
        let moved = |id: &JobId| failed.contains(&keys::job(id));
        if tried.iter().any(|(id, ..)| moved(id)) {
            leader.unarchived_jobs.extend(tried.into_iter().filter(|(id, ..)| !moved(id)));
        }
    }

    /// Removes records of bindings whose job is over, a few at a time.
    pub(super) fn collect_stale_bindings(&mut self) {
        let waits = self.store.queued()[CallPriority::Background as usize] > 0;
        let some = |l: &&mut ClusterState| !waits && !l.stale_binding_keys.is_empty();
        let Some(leader) = self.cluster_state.as_mut().filter(some) else { return };
        let most = self.settings.settings.state.txn_ops.min(2 * ARCHIVE_BATCH);
        let left = leader.stale_binding_keys.len().saturating_sub(most);
        let keys = leader.stale_binding_keys.split_off(left);
        let commit = Transaction {
            preconditions: vec![Precondition {
                key: keys::LEADER.into(),
                mod_revision: leader.token,
            }],
            mutations: keys.iter().map(|k| Mutation::Delete { key: k.clone() }).collect(),
        };
        let purpose = CallContext::RemoveStaleBindings { generation: leader.generation };
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::Background,
            RetryPolicy::UntilDefinite,
        );
    }
}
