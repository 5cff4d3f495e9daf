//! Writing and reading of a job's durable records: its binding chunks, written without haste, and its final record. New
//! bindings are committed in the binding log first (`controller/binding_log.rs`); a chunk written later takes them over.
//! Each job has one transaction in flight at most; after a conflict, the records are read to learn whether it was applied.

use super::{CallContext, LeaderContext};
use crate::Time;
use crate::cluster_state::{BindingLog, ClusterState, parse_task_name};
use crate::constants::{
    BINDING_LOG_COMPACTION_THRESHOLD, CHUNK_OVERHEAD_BYTES, COMPACTION_DELAY_MS,
    MAX_COMPACTIONS_PER_TRANSACTION, MAX_QUEUED_COMPACTIONS, MAX_QUEUED_FINAL_RECORDS,
    MAX_TASK_RANGE_BYTES, MAX_TRANSACTION_BYTES, MIN_COMPACTION_BINDINGS, URGENT_COMPACTION_EXITS,
};
use crate::job::{
    Attempt, AttemptPhase, Binding, BindingChunk, ChunkWrite, FinalRecord, FinalState,
    InFlightTransaction, Job, JobId, JobState, LoggedBindings, StoredJob, TaskAttempt, chunk_key,
    keys,
};
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::cmp::Reverse;
use std::collections::HashMap;
use swiftsail_protocol::state::{KeyPage, Mutation, Precondition, Transaction};

/// Estimated size of a transaction without its records, bytes.
const TRANSACTION_BASE_BYTES: usize = 512;

/// Bindings of the log that one chunk is to take over.
struct Takeover {
    /// The task of the oldest of them.
    oldest_task: u32,
    /// Their number.
    bindings: usize,
}

impl ClusterState {
    /// A new leader has read a page of chunks. Those of jobs that are over are queued for removal.
    pub fn load_bindings(&mut self, page: &KeyPage, now: Time) {
        for pair in &page.entries {
            let rest = pair.key.strip_prefix(keys::BINDINGS);
            let Some((id, chunk)) = rest.and_then(parse_task_name) else { continue };
            let Ok(record) = serde_json::from_value::<BindingChunk>(pair.value.clone()) else {
                tracing::error!(key = %pair.key, "unreadable binding chunk");
                continue;
            };
            self.write_number = self.write_number.max(record.write_number);
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore_chunk(chunk, &record, pair.mod_revision, now),
                None => self.stale_binding_keys.push(pair.key.clone()),
            }
        }
    }

    /// Writes what is due: final records at once, then the chunks that have waited longest, a few at a time, so that each
    /// holds all that is known when it is sent.
    pub fn flush_all(&mut self, ctx: &mut LeaderContext) {
        let now = ctx.now;
        self.relieve_binding_log(now);
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
            if ctx.store.queue_lengths()[CallPriority::Low as usize] >= MAX_QUEUED_COMPACTIONS {
                break;
            }
            self.flush(&id, ctx);
        }
    }

    /// Marks chunks dirty that are to take over the oldest bindings of a binding log that holds many. In a smaller log a
    /// binding stays until its task ends: a job of one short task then costs no chunk at all. Nor does a chunk take over
    /// only a few: with hundreds of such jobs, each would cost a write that final records and bindings wait for.
    fn relieve_binding_log(&mut self, now: Time) {
        let mut by_chunk: HashMap<(&JobId, u32), Takeover> = HashMap::new();
        for (id, task) in self.binding_log.oldest_beyond(BINDING_LOG_COMPACTION_THRESHOLD) {
            let Some(job) = self.jobs.get(id) else { continue };
            let takeover = by_chunk
                .entry((id, job.chunk_of(task)))
                .or_insert(Takeover { oldest_task: task, bindings: 0 });
            takeover.bindings += 1;
        }
        for ((id, _), takeover) in by_chunk {
            let is_worthwhile = takeover.bindings >= MIN_COMPACTION_BINDINGS;
            if let Some(job) = self.jobs.get_mut(id).filter(|_| is_worthwhile) {
                job.mark_chunk_dirty(takeover.oldest_task, now);
            }
        }
    }

    /// Closes a job as soon as nothing of it is left to do, unless many others are being closed.
    pub fn close_if_finished(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        let is_finished = |job: &Job| job.in_flight.is_none() && final_state(job).is_some();
        if self.closing_jobs < MAX_QUEUED_FINAL_RECORDS
            && self.jobs.get(id).is_some_and(is_finished)
        {
            self.closing_jobs += 1;
            self.flush(id, ctx);
        }
    }

    /// Writes what must be written of one job: its final record, or else its dirty chunks. Does nothing while a
    /// transaction of the job is in flight.
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
        // Exits are repeated in every report of their machines until they are committed: very many must not wait.
        let is_pressing =
            |job: &Job| job.attempts.len() - job.occupying_attempts() >= URGENT_COMPACTION_EXITS;
        let ending = final_state(job);
        let priority = match ending.is_some() || is_pressing(job) {
            true => CallPriority::Normal,
            false => CallPriority::Low,
        };
        match ending {
            Some(state) => self.add_final_record(id, state, ctx, &mut commit, &mut in_flight),
            None => self.add_chunks(id, ctx, &mut commit, &mut in_flight),
        }
        if commit.mutations.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = Some(in_flight);
        let purpose = CallContext::FlushJob { generation: self.generation, job: id.clone() };
        ctx.store.push(StoreCall::Commit(commit), purpose, priority, RetryPolicy::UntilDefinite);
    }

    /// Adds a job's final record to its transaction. One write suffices: the record takes the job's own key, and is moved
    /// to its final one when the state service has nothing better to do; the chunks are removed then, too.
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

    /// Adds a job's dirty chunks to its transaction, the longest dirty first, as many as fit.
    fn add_chunks(
        &mut self,
        id: &JobId,
        ctx: &LeaderContext,
        commit: &mut Transaction,
        in_flight: &mut InFlightTransaction,
    ) {
        let state = &ctx.settings.settings.state;
        let max_bytes = (state.value_kb * 1024.0) as usize;
        let write = ChunkWrite {
            write_number: in_flight.write_number,
            last_attempt: self.last_attempt_number(),
            max_bytes,
            logged: match self.binding_log.len() > BINDING_LOG_COMPACTION_THRESHOLD {
                true => LoggedBindings::TakeOver,
                false => LoggedBindings::Leave,
            },
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut bytes = TRANSACTION_BASE_BYTES;
        let max_chunks = state.txn_ops.min(MAX_COMPACTIONS_PER_TRANSACTION);
        for chunk in writable_chunks(id, job, &self.binding_log).into_iter().take(max_chunks) {
            let is_logged = |task: u32| self.binding_log.holds(id, task);
            let overflowing = job.overflowing_bindings(chunk, max_bytes, is_logged);
            if !overflowing.is_empty() {
                // Some room is left, since the log's estimate of sizes is not exact.
                let max_segment_bytes = max_bytes - max_bytes / 32;
                for binding in &overflowing {
                    self.binding_log.return_to_log(id, binding, max_segment_bytes);
                }
                continue;
            }
            let record = job.chunk_record(chunk, write, is_logged);
            bytes += CHUNK_OVERHEAD_BYTES + record.done.len() * MAX_TASK_RANGE_BYTES;
            bytes += record.bindings.iter().map(Binding::bytes).sum::<usize>();
            if bytes > MAX_TRANSACTION_BYTES && !in_flight.chunks.is_empty() {
                break;
            }
            let key = chunk_key(id, chunk);
            let mod_revision = job.chunk_revisions.get(&chunk).copied().unwrap_or(0);
            commit.preconditions.push(Precondition { key: key.clone(), mod_revision });
            commit.mutations.push(put_mutation(key, &record));
            in_flight.chunks.push(chunk);
            let bindings = record.bindings.iter();
            in_flight.bindings.extend(
                bindings.map(|bound| TaskAttempt { task: bound.task, attempt: bound.attempt }),
            );
            in_flight.done.extend(job.completed_in_chunk(chunk));
            job.dirty_chunks.remove(&chunk);
        }
    }

    /// A job's transaction has ended. Returns true if another controller leads.
    pub fn on_flushed(
        &mut self,
        id: &JobId,
        end: &FinishedCall<CallContext>,
        ctx: &mut LeaderContext,
    ) -> bool {
        match &end.outcome {
            StoreOutcome::Committed(revision) => self.settle(id, Some(*revision), ctx),
            StoreOutcome::Conflict(failed) => {
                if failed.iter().any(|key| key == keys::LEADER) {
                    return true;
                }
                // Another controller's change, or an earlier try of our own that was applied: the job is read to know.
                let purpose =
                    CallContext::ResolveJob { generation: self.generation, job: id.clone() };
                read_key(keys::job(id), purpose, ctx);
            }
            other => {
                tracing::error!(job = %id, outcome = ?other, "transaction rejected");
                self.settle(id, None, ctx);
            }
        }
        false
    }

    /// A job's record was read after a conflict.
    pub fn on_resolve_job(&mut self, id: &JobId, outcome: &StoreOutcome, ctx: &mut LeaderContext) {
        let (now, wall) = (ctx.now, ctx.wall_clock);
        match outcome {
            StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                // Only the leader writes final records: our own try was applied.
                Some(StoredJob::Finished(_)) => {
                    return self.settle(id, Some(pair.mod_revision), ctx);
                }
                _ => {
                    self.apply_job_record(&keys::job(id), &pair.value, pair.mod_revision, now, wall)
                }
            },
            // Ended, and its final record was moved already: only the leader does either.
            StoreOutcome::Missing { .. } => return self.settle(id, Some(0), ctx),
            _ => {}
        }
        let in_flight = self.jobs.get(id).and_then(|job| job.in_flight.as_ref());
        match in_flight.and_then(|transaction| transaction.chunks.first()) {
            Some(&chunk) => self.read_chunk(id, chunk, 0, ctx),
            None => self.settle(id, None, ctx),
        }
    }

    /// Reads a chunk, the `index`th of the job's transaction in flight.
    fn read_chunk(&self, id: &JobId, chunk: u32, index: usize, ctx: &mut LeaderContext) {
        let purpose =
            CallContext::ResolveChunk { generation: self.generation, job: id.clone(), index };
        read_key(chunk_key(id, chunk), purpose, ctx);
    }

    /// A chunk's record was read after a conflict.
    pub fn on_resolve_chunk(
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
            StoreOutcome::Found(pair) => {
                let record: BindingChunk =
                    serde_json::from_value(pair.value.clone()).unwrap_or_default();
                if record.write_number == in_flight.write_number {
                    self.settle(id, Some(pair.mod_revision), ctx);
                    return;
                }
                job.chunk_revisions.insert(chunk, pair.mod_revision);
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

    /// The outcome of a job's transaction is known: committed at a revision, or never to be. In the latter case its
    /// bindings stay in the binding log.
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

    /// A job's final record is committed, at a revision; 0: it was moved already.
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
        // Not before the commit: jobs that depend on it may begin by this.
        let outcome = record.outcome(ctx.wall_clock);
        self.on_dependency_finished(id, outcome, ctx.now, ctx.wall_clock);
    }

    /// Chunks of a job are committed: the binding log can drop what they hold, and tasks recorded as done are.
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
            if let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.number == number)
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
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.remove_task(id, task, now);
            }
        }
        self.needs_scheduling = true;
    }
}

/// Dirty chunks that may be written, the longest dirty first. A binding that was returned to the log must be committed
/// there before its chunk is written without it.
fn writable_chunks(id: &JobId, job: &Job, binding_log: &BindingLog) -> Vec<u32> {
    let may_be_written =
        |chunk: &u32| !job.tasks_in_chunk(*chunk).any(|task| binding_log.awaits_commit(id, task));
    let dirty = job.dirty_chunks.iter().filter(|(chunk, _)| may_be_written(chunk));
    let mut by_age: Vec<(Time, u32)> =
        dirty.map(|(chunk, changed_at)| (*changed_at, *chunk)).collect();
    by_age.sort();
    by_age.into_iter().map(|(_, chunk)| chunk).collect()
}

/// Reads a key to learn whether a write of our own was applied.
fn read_key(key: String, purpose: CallContext, ctx: &mut LeaderContext) {
    ctx.store.push(StoreCall::Get(key), purpose, CallPriority::Normal, RetryPolicy::UntilDefinite);
}

/// Number of a job's tasks that are done, recorded so or not.
fn done_count(job: &Job) -> u32 {
    let completed = job.attempts.values().filter(|attempt| attempt.is_completed()).count();
    job.done.len() as u32 + completed as u32
}

/// How a job ends, if nothing of it is left to do. A cancelled job ends when none of its attempts is left.
fn final_state(job: &Job) -> Option<FinalState> {
    if job.state() == JobState::Closed {
        return None;
    }
    if job.is_cancelled() {
        let any_left = job.attempts.values().any(Attempt::occupies_resources);
        return (!any_left).then_some(FinalState::Cancelled);
    }
    (done_count(job) == job.spec.tasks).then_some(FinalState::Done)
}

/// A write of one of our own records, which always have a JSON form.
pub fn put_mutation<T: serde::Serialize>(key: String, record: &T) -> Mutation {
    let value = serde_json::to_value(record).unwrap_or_default();
    Mutation::Put { key, value, lease: None }
}
