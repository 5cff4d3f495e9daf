//! Writing and reading of a job's durable records: its binding chunks and its final record. New bindings are first
//! committed in the binding log (`controller/binding_log.rs`) and compacted into chunks later. Each job has at most
//! one transaction in flight. After a conflict, the records are read to find out whether the transaction was applied.

use super::{CallContext, LeaderContext};
use crate::Time;
use crate::cluster_state::{BindingLog, ClusterState, parse_task_name};
use crate::constants::{
    BINDING_LOG_COMPACTION_THRESHOLD, COMPACTION_DELAY_MS, MAX_COMPACTIONS_PER_TRANSACTION,
    MAX_QUEUED_COMPACTIONS, MAX_QUEUED_FINAL_RECORDS, MAX_TRANSACTION_BYTES,
    MIN_COMPACTION_BINDINGS, URGENT_COMPACTION_EXITS,
};
use crate::job::{
    AttemptPhase, BindingChunk, BindingEncoding, ChunkWrite, FinalRecord, FinalState,
    InFlightTransaction, Job, JobId, JobState, LoggedBindings, StoredJob, TaskAttempt, chunk_key,
    keys,
};
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::cmp::Reverse;
use std::collections::HashMap;
use swiftsail_protocol::state::{KeyPage, Mutation, Precondition, Transaction};

/// Estimated size of a transaction without its records, bytes.
const TRANSACTION_BASE_BYTES: usize = 512;

/// Bindings of the log that could be compacted into one chunk.
struct CompactionCandidate {
    /// The task with the oldest of these bindings.
    oldest_task: u32,
    /// Number of bindings.
    bindings: usize,
}

impl ClusterState {
    /// Restores bindings from a page of chunks read by a new leader. Chunks of finished jobs are queued for deletion;
    /// chunks that cannot be decoded are logged and skipped.
    pub fn load_bindings(&mut self, page: &KeyPage, now: Time) {
        for entry in &page.entries {
            let rest = entry.key.strip_prefix(keys::BINDINGS);
            let Some((id, chunk)) = rest.and_then(parse_task_name) else { continue };
            let Ok(record) = serde_json::from_value::<BindingChunk>(entry.value.clone()) else {
                tracing::error!(key = %entry.key, "unreadable binding chunk");
                continue;
            };
            self.write_number = self.write_number.max(record.write_number);
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore_chunk(chunk, &record, entry.mod_revision, now),
                None => self.stale_binding_keys.push(entry.key.clone()),
            }
        }
    }

    /// Queues the writes that are due: final records of finished jobs in order of priority, then the chunks that have
    /// been dirty for the longest time. Only a few chunk writes are queued at once, so that each contains the latest
    /// state when it is sent.
    pub fn flush_all(&mut self, ctx: &mut LeaderContext) {
        let now = ctx.now;
        self.mark_chunks_for_compaction(now);
        let is_closing = |job: &&Job| {
            job.in_flight.as_ref().is_some_and(|transaction| transaction.final_record.is_some())
        };
        self.closing_jobs = self.jobs.values().filter(is_closing).count();
        let idle = self.jobs.iter().filter(|(_, job)| job.in_flight.is_none());
        let mut finished = Vec::new();
        let mut due: Vec<(Time, JobId)> = Vec::new();
        for (id, job) in idle {
            let oldest_change = job.dirty_chunks.values().min();
            if final_state(job).is_some() {
                finished.push(id.clone());
            } else if let Some(changed_at) =
                oldest_change.filter(|changed_at| now >= **changed_at + COMPACTION_DELAY_MS)
            {
                due.push((*changed_at, id.clone()));
            }
        }
        finished.sort_by_key(|id| self.jobs.get(id).map(|job| Reverse(job.spec.priority)));
        for id in finished {
            self.close_if_finished(&id, ctx);
        }
        due.sort();
        for (_, id) in due {
            let queued = ctx.store.queue_lengths()[CallPriority::Low as usize];
            let is_compaction = self.jobs.get(&id).is_some_and(|job| !job.commits_new_bindings());
            if !is_compaction || queued < MAX_QUEUED_COMPACTIONS {
                self.flush(&id, ctx);
            }
        }
    }

    /// If the binding log is large, marks the chunks dirty into which its oldest bindings are to be compacted. In a
    /// smaller log a binding stays until its task ends, so that a job of one short task needs no chunk at all. Chunks
    /// that would gain only a few bindings are left out: with hundreds of such jobs, each would cost a write and
    /// delay final records and new bindings.
    fn mark_chunks_for_compaction(&mut self, now: Time) {
        let mut by_chunk: HashMap<(&JobId, u32), CompactionCandidate> = HashMap::new();
        for (id, task) in self.binding_log.oldest_beyond(BINDING_LOG_COMPACTION_THRESHOLD) {
            let Some(job) = self.jobs.get(id) else { continue };
            let candidate = by_chunk
                .entry((id, job.chunk_of(task)))
                .or_insert(CompactionCandidate { oldest_task: task, bindings: 0 });
            candidate.bindings += 1;
        }
        for ((id, _), candidate) in by_chunk {
            let is_worthwhile = candidate.bindings >= MIN_COMPACTION_BINDINGS;
            if let Some(job) = self.jobs.get_mut(id).filter(|_| is_worthwhile) {
                job.mark_chunk_dirty(candidate.oldest_task, now);
            }
        }
    }

    /// Closes a job by queueing its final record, if it is finished and not too many jobs are being closed already.
    pub fn close_if_finished(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        let is_finished = |job: &Job| job.in_flight.is_none() && final_state(job).is_some();
        if self.closing_jobs < MAX_QUEUED_FINAL_RECORDS
            && self.jobs.get(id).is_some_and(is_finished)
        {
            self.closing_jobs += 1;
            self.flush(id, ctx);
        }
    }

    /// Queues a job's transaction: its final record if it is finished, otherwise its dirty chunks. Does nothing while
    /// a transaction of the job is in flight.
    fn flush(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        self.write_number += 1;
        let Some(job) = self.jobs.get(id) else { return };
        if job.in_flight.is_some() || job.state() == JobState::Closed {
            return;
        }
        let mut commit = Transaction {
            preconditions: vec![
                Precondition { key: keys::LEADER.into(), mod_revision: self.token },
                Precondition { key: keys::job(id), mod_revision: job.mod_revision },
            ],
            mutations: Vec::new(),
        };
        let mut in_flight = InFlightTransaction {
            write_number: self.write_number,
            chunks: vec![],
            bindings: vec![],
            done: vec![],
            final_record: None,
        };
        // Workers repeat task exits in every report until they are committed. A job with many uncommitted exits is
        // therefore written at a higher priority.
        let has_many_exits = |job: &Job| job.attempts.counts().exited >= URGENT_COMPACTION_EXITS;
        let final_state = final_state(job);
        let is_urgent = final_state.is_some() || has_many_exits(job) || job.commits_new_bindings();
        let priority = match is_urgent {
            true => CallPriority::Normal,
            false => CallPriority::Low,
        };
        match final_state {
            Some(state) => self.add_final_record(id, state, ctx, &mut commit, &mut in_flight),
            None => self.add_chunks(id, ctx, &mut commit, &mut in_flight),
        }
        if commit.mutations.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = Some(in_flight);
        let call_context = CallContext::FlushJob { generation: self.generation, job: id.clone() };
        let call = StoreCall::Commit(commit);
        ctx.store.push(call, call_context, priority, RetryPolicy::UntilDefinite);
    }

    /// Adds a job's final record to its transaction. The record replaces the job's record under the same key, so that
    /// one write is enough. It is moved to its key under `end/`, and the job's chunks are deleted, later at low
    /// priority (`controller/archiving.rs`).
    fn add_final_record(
        &mut self,
        id: &JobId,
        state: FinalState,
        ctx: &LeaderContext,
        commit: &mut Transaction,
        in_flight: &mut InFlightTransaction,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let record = FinalRecord { state, done: done_count(job), ended_wall: Some(ctx.wall_clock) };
        commit.mutations.push(put_mutation(keys::job(id), &record));
        in_flight.final_record = Some(record);
        job.advance(JobState::Closing, ctx.now);
    }

    /// Adds a job's dirty chunks to its transaction, those dirty for the longest time first, as many as fit. Bindings
    /// that do not fit in their chunk are returned to the binding log, and the chunk is skipped.
    fn add_chunks(
        &mut self,
        id: &JobId,
        ctx: &LeaderContext,
        commit: &mut Transaction,
        in_flight: &mut InFlightTransaction,
    ) {
        let state = &ctx.settings.settings.state;
        let max_bytes = state.max_value_bytes();
        let write = ChunkWrite {
            write_number: in_flight.write_number,
            last_attempt: self.last_attempt_number(),
            max_bytes,
            logged: match self.binding_log.len() > BINDING_LOG_COMPACTION_THRESHOLD {
                true => LoggedBindings::TakeOver,
                false => LoggedBindings::Leave,
            },
            encoding: match self.writes_binding_runs {
                true => BindingEncoding::Runs,
                false => BindingEncoding::Single,
            },
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut bytes = TRANSACTION_BASE_BYTES;
        let max_chunks = state.txn_ops.min(MAX_COMPACTIONS_PER_TRANSACTION);
        for chunk in writable_chunks(id, job, &self.binding_log).into_iter().take(max_chunks) {
            if !job.has_room_for_done(chunk, max_bytes) {
                // It is dirty again when another of its tasks ends.
                job.dirty_chunks.remove(&chunk);
                continue;
            }
            let is_logged = |task: u32| self.binding_log.holds(id, task);
            let overflowing = job.overflowing_bindings(chunk, write, is_logged);
            if !overflowing.is_empty() {
                // The log only estimates the size of a segment, hence the margin.
                let max_segment_bytes = max_bytes - max_bytes / 32;
                // From now on some of the job's bindings are in the log, whose transactions this job does not know.
                job.commits_in_chunks = false;
                for binding in &overflowing {
                    self.binding_log.return_to_log(id, binding, max_segment_bytes);
                }
                continue;
            }
            let record = job.chunk_record(chunk, write, is_logged);
            if job.is_needless(chunk, &record) {
                job.dirty_chunks.remove(&chunk);
                continue;
            }
            bytes += record.bytes();
            if bytes > MAX_TRANSACTION_BYTES && !in_flight.chunks.is_empty() {
                break;
            }
            let key = chunk_key(id, chunk);
            let mod_revision = job.chunk_revisions.get(&chunk).copied().unwrap_or(0);
            commit.preconditions.push(Precondition { key: key.clone(), mod_revision });
            commit.mutations.push(put_mutation(key, &record));
            in_flight.chunks.push(chunk);
            let bindings = record.all_bindings();
            in_flight.bindings.extend(
                bindings.map(|bound| TaskAttempt { task: bound.task, attempt: bound.attempt }),
            );
            in_flight
                .done
                .extend(job.completed_in_chunk(chunk).filter(|task| record.records_done(*task)));
            job.dirty_chunks.remove(&chunk);
        }
    }

    /// Handles the outcome of a job's transaction. Returns true if another controller has become the leader.
    pub fn on_job_flushed(
        &mut self,
        id: &JobId,
        call: &FinishedCall<CallContext>,
        ctx: &mut LeaderContext,
    ) -> bool {
        match &call.outcome {
            StoreOutcome::Committed(revision) => self.settle(id, Some(*revision), ctx),
            StoreOutcome::Conflict(failed) => {
                if failed.iter().any(|key| key == keys::LEADER) {
                    return true;
                }
                // Either another controller changed a record, or an earlier attempt of this write was applied: the
                // job's record shows which.
                let call_context =
                    CallContext::ResolveJob { generation: self.generation, job: id.clone() };
                read_key(keys::job(id), call_context, ctx);
            }
            other => {
                tracing::error!(job = %id, outcome = ?other, "transaction rejected");
                self.settle(id, None, ctx);
            }
        }
        false
    }

    /// Handles the read of a job's record after a conflict, and reads the first chunk of the transaction unless the
    /// record settles its outcome.
    pub fn on_conflicting_job_read(
        &mut self,
        id: &JobId,
        outcome: &StoreOutcome,
        ctx: &mut LeaderContext,
    ) {
        let (now, wall) = (ctx.now, ctx.wall_clock);
        match outcome {
            StoreOutcome::Found(entry) => match StoredJob::read(&entry.value) {
                // Only the leader writes final records, so this controller's write was applied.
                Some(StoredJob::Finished(_)) => {
                    return self.settle(id, Some(entry.mod_revision), ctx);
                }
                _ => self.apply_job_record(
                    &keys::job(id),
                    &entry.value,
                    entry.mod_revision,
                    now,
                    wall,
                ),
            },
            // The job has ended and its final record was already moved. Only the leader does either.
            StoreOutcome::Missing { .. } => return self.settle(id, Some(0), ctx),
            _ => {}
        }
        let in_flight = self.jobs.get(id).and_then(|job| job.in_flight.as_ref());
        match in_flight.and_then(|transaction| transaction.chunks.first()) {
            Some(&chunk) => self.read_chunk(id, chunk, 0, ctx),
            None => self.settle(id, None, ctx),
        }
    }

    /// Reads a chunk, which is at `index` in the job's transaction in flight.
    fn read_chunk(&self, id: &JobId, chunk: u32, index: usize, ctx: &mut LeaderContext) {
        let call_context =
            CallContext::ResolveChunk { generation: self.generation, job: id.clone(), index };
        read_key(chunk_key(id, chunk), call_context, ctx);
    }

    /// Handles the read of a chunk after a conflict. If the chunk holds this transaction's write number, the
    /// transaction was applied; otherwise the next chunk is read, and after the last one the transaction counts as
    /// not applied.
    pub fn on_conflicting_chunk_read(
        &mut self,
        id: &JobId,
        index: usize,
        outcome: &StoreOutcome,
        ctx: &mut LeaderContext,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(in_flight) = job.in_flight.clone() else { return };
        let Some(&chunk) = in_flight.chunks.get(index) else { return };
        match outcome {
            StoreOutcome::Found(entry) => {
                let record: BindingChunk =
                    serde_json::from_value(entry.value.clone()).unwrap_or_default();
                if record.write_number == in_flight.write_number {
                    self.settle(id, Some(entry.mod_revision), ctx);
                    return;
                }
                job.chunk_revisions.insert(chunk, entry.mod_revision);
            }
            _ => {
                job.chunk_revisions.remove(&chunk);
            }
        }
        match in_flight.chunks.get(index + 1) {
            Some(&next) => self.read_chunk(id, next, index + 1, ctx),
            None => self.settle(id, None, ctx),
        }
    }

    /// Applies the definite outcome of a job's transaction: committed at this revision, or not applied (`None`). If
    /// it was not applied, its bindings stay in the binding log.
    fn settle(&mut self, id: &JobId, committed: Option<u64>, ctx: &mut LeaderContext) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(in_flight) = job.in_flight.take() else { return };
        match (committed, in_flight.final_record) {
            (None, _) => {
                for chunk in &in_flight.chunks {
                    job.dirty_chunks.entry(*chunk).or_insert(ctx.now);
                }
                if in_flight.final_record.is_some() && job.is_cancelled() {
                    job.advance(JobState::Cancelling, ctx.now);
                }
            }
            (Some(revision), Some(record)) => self.on_closed(id, record, revision, ctx),
            (Some(revision), None) => {
                self.on_chunks_committed(id, in_flight, revision, ctx.now);
                self.close_if_finished(id, ctx);
            }
        }
    }

    /// Removes a job whose final record was committed at this revision; 0 if the record was already moved to `end/`.
    fn on_closed(&mut self, id: &JobId, record: FinalRecord, revision: u64, ctx: &LeaderContext) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.advance(JobState::Closed, ctx.now);
        if revision > 0 {
            self.unarchived_jobs.push_back((id.clone(), revision, record));
        }
        if let Some(job) = self.remove_job(id, ctx.now) {
            let chunks = job.chunk_revisions.keys().map(|chunk| chunk_key(id, *chunk));
            self.stale_binding_keys.extend(chunks);
            tracing::debug!(job = %id, cancelled = job.is_cancelled(), "job finished");
        }
        // Dependent jobs may start now, so this must not happen before the commit.
        let outcome = record.outcome(ctx.wall_clock);
        self.on_dependency_finished(id, outcome, ctx.now, ctx.wall_clock);
    }

    /// Handles the commit of chunks: the binding log drops the bindings that the chunks now hold, and tasks that they
    /// record as done give up their attempts and machines.
    fn on_chunks_committed(
        &mut self,
        id: &JobId,
        in_flight: InFlightTransaction,
        revision: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for chunk in in_flight.chunks {
            job.chunk_revisions.insert(chunk, revision);
        }
        for TaskAttempt { task, attempt: number } in in_flight.bindings {
            if let Some(mut attempt) = job.attempts.get_mut(&task).filter(|a| a.number == number)
                && attempt.phase() == AttemptPhase::Committing
            {
                attempt.advance(AttemptPhase::Bound, now);
            }
            self.binding_log.remove(id, task, Some(number));
        }
        for task in in_flight.done {
            let Some(attempt) = job.attempts.remove(&task) else { continue };
            job.done.insert(task);
            job.failures.remove(&task);
            self.binding_log.remove(id, task, Some(attempt.number));
            if let Some(machine) = self.machines.get_mut(attempt.machine()) {
                machine.remove_task(id, task, now);
            }
        }
        self.needs_scheduling = true;
    }
}

/// Dirty chunks that may be written now, those dirty for the longest time first. A chunk has to wait while a binding
/// that was returned to the log is not committed there, since the chunk would be written without it.
fn writable_chunks(id: &JobId, job: &Job, binding_log: &BindingLog) -> Vec<u32> {
    let may_be_written = |chunk: &u32| {
        !binding_log.awaits_any_commit()
            || !job.tasks_in_chunk(*chunk).any(|task| binding_log.awaits_commit(id, task))
    };
    let dirty = job.dirty_chunks.iter().filter(|(chunk, _)| may_be_written(chunk));
    let mut by_age: Vec<(Time, u32)> =
        dirty.map(|(chunk, changed_at)| (*changed_at, *chunk)).collect();
    by_age.sort();
    by_age.into_iter().map(|(_, chunk)| chunk).collect()
}

/// Reads a key, to find out whether this controller's write was applied.
fn read_key(key: String, call_context: CallContext, ctx: &mut LeaderContext) {
    let call = StoreCall::Get(key);
    ctx.store.push(call, call_context, CallPriority::Normal, RetryPolicy::UntilDefinite);
}

/// Number of a job's tasks that are done, whether or not that has been committed.
fn done_count(job: &Job) -> u32 {
    (job.done.len() + job.attempts.counts().completed) as u32
}

/// The final state of a finished job; `None` if the job is not finished or already closed. A cancelled job is
/// finished once none of its attempts can be running any more.
fn final_state(job: &Job) -> Option<FinalState> {
    if job.state() == JobState::Closed {
        return None;
    }
    if job.is_cancelled() {
        return (job.attempts.occupying() == 0).then_some(FinalState::Cancelled);
    }
    (done_count(job) == job.spec.tasks).then_some(FinalState::Done)
}

/// A mutation that writes a record under a key. The record must serialize to JSON, as all records of this crate do;
/// otherwise null is written.
pub fn put_mutation<T: serde::Serialize>(key: String, record: &T) -> Mutation {
    let value = serde_json::to_value(record).unwrap_or_default();
    Mutation::Put { key, value, lease: None }
}
