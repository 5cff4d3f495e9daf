//! What the store holds of bindings and ends: each job's own chunks, written in no haste, and the
//! end of a job. New bindings are committed by the ledger (see [`super::ledger`]), which a chunk
//! written later takes over.

use super::{CallContext, LeaderContext};
use crate::Time;
use crate::cluster_state::{ClusterState, parse_task_name};
use crate::constants::{
    BINDING_LOG_KEPT, CHUNK_BYTES, COMPACTION_MIN, COMPACTION_MS, COMPACTION_PRESSING,
    COMPACTIONS_AT_ONCE, COMPACTIONS_QUEUED, ENDS_QUEUED, RANGE_BYTES, TXN_BYTES,
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
use swiftsail_protocol::workers::ExitCause;

impl ClusterState {
    /// Takes over a page of bindings. Keys of jobs that are over are left-overs to remove.
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

    /// Writes what is due: ends of jobs at once, then the chunks that have waited longest, a few
    /// at a time, so that each holds all that is known when it leaves.
    pub fn flush_all(&mut self, ctx: &mut LeaderContext) {
        let now = ctx.now;
        self.relieve_binding_log(now);
        let ending = |j: &&Job| j.in_flight.as_ref().is_some_and(|f| f.final_record.is_some());
        self.closing_jobs = self.jobs.values().filter(ending).count();
        let idle = self.jobs.iter().filter(|(_, j)| j.in_flight.is_none());
        let mut ends = Vec::new();
        let mut due: Vec<(Time, JobId)> = Vec::new();
        for (id, job) in idle {
            if closing_changes(job).is_some() {
                ends.push(id.clone());
            } else if let Some(at) =
                job.dirty_chunks.values().min().filter(|at| now >= **at + COMPACTION_MS)
            {
                due.push((*at, id.clone()));
            }
        }
        ends.sort_by_key(|id| self.jobs.get(id).map(|j| Reverse(j.spec.priority)));
        for id in ends {
            self.close_if_finished(&id, ctx);
        }
        due.sort();
        for (_, id) in due {
            if ctx.store.queued()[CallPriority::Low as usize] >= COMPACTIONS_QUEUED {
                break;
            }
            self.flush(&id, ctx);
        }
    }

    /// Chunks take over the oldest bindings of a ledger that holds many. Below that a binding stays on its
    /// sheet until its task ends: a job of one short task then costs no chunk at all. Nor does a chunk take
    /// over a few: with hundreds of such jobs each would cost a change that ends and bindings wait for.
    fn relieve_binding_log(&mut self, now: Time) {
        let mut found: HashMap<(&JobId, u32), (u32, usize)> = HashMap::new();
        for (id, task) in self.binding_log.beyond(BINDING_LOG_KEPT) {
            let Some(job) = self.jobs.get(id) else { continue };
            found.entry((id, job.chunk_of(task))).or_insert((task, 0)).1 += 1;
        }
        for ((id, _), (task, bindings)) in found {
            if let Some(job) = self.jobs.get_mut(id).filter(|_| bindings >= COMPACTION_MIN) {
                job.mark_chunk_dirty(task, now);
            }
        }
    }

    /// Ends a job as soon as nothing of it is left to do.
    pub fn close_if_finished(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        let over = |j: &Job| j.in_flight.is_none() && closing_changes(j).is_some();
        if self.closing_jobs < ENDS_QUEUED && self.jobs.get(id).is_some_and(over) {
            self.closing_jobs += 1;
            self.flush(id, ctx);
        }
    }

    /// Writes what must be written of one job, in one transaction at a time.
    fn flush(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        let now = ctx.now;
        self.write_number += 1;
        let nonce = self.write_number;
        let upto = self.last_attempt_number();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.in_flight.is_some() || job.state() == JobState::Closed {
            return;
        }
        let value = (ctx.settings.settings.state.value_kb * 1024.0) as usize;
        let mut commit = Transaction {
            preconditions: vec![
                Precondition { key: keys::LEADER.into(), mod_revision: self.token },
                Precondition { key: keys::job(id), mod_revision: job.mod_revision },
            ],
            mutations: Vec::new(),
        };
        let mut flight = InFlightTransaction {
            write_number: nonce,
            chunks: vec![],
            bindings: vec![],
            done: vec![],
            final_record: None,
        };
        let ops = ctx.settings.settings.state.txn_ops;
        let ending = closing_changes(job);
        let urgency;
        if let Some(ending) = ending {
            urgency = CallPriority::Normal;
            // One change: the record takes the job's own place, and moves to its last one when the
            // state service has nothing better to do; so do the chunks go.
            let record =
                FinalRecord { state: ending, done: done_count(job), at_wall: Some(ctx.wall_clock) };
            commit.mutations.push(put_change(keys::job(id), &record));
            flight.final_record = Some(record);
            job.advance(JobState::Closing, now);
        } else {
            // What has exited is told with every report of its machine until its end is committed: very many
            // wait for nobody.
            let ended = job.attempts.values().filter(|a| !a.occupies_resources()).count();
            let pressing = ended >= COMPACTION_PRESSING;
            urgency = if pressing { CallPriority::Normal } else { CallPriority::Low };
            let logged = if self.binding_log.len() > BINDING_LOG_KEPT {
                LoggedBindings::TakeOver
            } else {
                LoggedBindings::Leave
            };
            let mut bytes = 512;
            // What only a chunk tells of is on a sheet before the chunk is written without it.
            let told = |chunk: &u32| {
                !job.tasks_in_chunk(*chunk).any(|t| self.binding_log.awaits_commit(id, t))
            };
            let dirty = job.dirty_chunks.iter().filter(|(chunk, _)| told(chunk));
            let mut chunks: Vec<(Time, u32)> = dirty.map(|(c, at)| (*at, *c)).collect();
            chunks.sort();
            for (_, chunk) in chunks.into_iter().take(ops.min(COMPACTIONS_AT_ONCE)) {
                let elsewhere = |task: u32| self.binding_log.holds(id, task);
                let overflow = job.overflowing_bindings(chunk, value, elsewhere);
                if !overflow.is_empty() {
                    overflow
                        .iter()
                        .for_each(|b| self.binding_log.return_to_log(id, b, value - value / 32));
                    continue;
                }
                let record = job.chunk_record(
                    chunk,
                    ChunkWrite {
                        write_number: nonce,
                        last_attempt: upto,
                        max_bytes: value,
                        logged,
                    },
                    elsewhere,
                );
                bytes += CHUNK_BYTES + record.done.len() * RANGE_BYTES;
                bytes += record.bindings.iter().map(Binding::bytes).sum::<usize>();
                if bytes > TXN_BYTES && !flight.chunks.is_empty() {
                    break;
                }
                let key = chunk_key(id, chunk);
                let stamp = job.chunk_revisions.get(&chunk).copied().unwrap_or(0);
                commit.preconditions.push(Precondition { key: key.clone(), mod_revision: stamp });
                commit.mutations.push(put_change(key, &record));
                flight.chunks.push(chunk);
                flight.bindings.extend(
                    record
                        .bindings
                        .iter()
                        .map(|b| TaskAttempt { task: b.task, attempt: b.attempt }),
                );
                job.dirty_chunks.remove(&chunk);
                let from = chunk * job.chunk_tasks;
                let range = job.attempts.range(from..from + job.chunk_tasks);
                let done =
                    range.filter(|(_, a)| a.phase() == AttemptPhase::Exited(ExitCause::Completed));
                flight.done.extend(done.map(|(task, _)| *task));
            }
        }
        if commit.mutations.is_empty() {
            return;
        }
        job.in_flight = Some(flight);
        let purpose = CallContext::FlushJob { generation: self.generation, job: id.clone() };
        ctx.store.push(StoreCall::Commit(commit), purpose, urgency, RetryPolicy::UntilDefinite);
    }

    /// A job's transaction has ended. Returns true if the term is lost.
    pub fn on_flushed(
        &mut self,
        id: &JobId,
        end: &FinishedCall<CallContext>,
        ctx: &mut LeaderContext,
    ) -> bool {
        match &end.outcome {
            StoreOutcome::Committed(epoch) => self.settle(id, Some(*epoch), ctx),
            StoreOutcome::Conflict(failed) => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    return true;
                }
                // Another's change, or an earlier try of ours that was applied: read to know.
                self.resolve(id, ctx);
            }
            other => {
                tracing::error!(job = %id, outcome = ?other, "transaction rejected");
                self.settle(id, None, ctx);
            }
        }
        false
    }

    fn resolve(&mut self, id: &JobId, ctx: &mut LeaderContext) {
        let purpose = CallContext::ResolveJob { generation: self.generation, job: id.clone() };
        ctx.store.push(
            StoreCall::Get(keys::job(id)),
            purpose,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
    }

    /// The job's record after a conflict.
    pub fn on_resolve_job(&mut self, id: &JobId, outcome: &StoreOutcome, ctx: &mut LeaderContext) {
        let (now, wall) = (ctx.now, ctx.wall_clock);
        match outcome {
            StoreOutcome::Found(pair) => match StoredJob::read(&pair.value) {
                // Only the leader ends a job: our own try was applied.
                Some(StoredJob::Finished(_)) => {
                    return self.settle(id, Some(pair.mod_revision), ctx);
                }
                _ => {
                    self.apply_job_record(&keys::job(id), &pair.value, pair.mod_revision, now, wall)
                }
            },
            // Ended, and moved already: only a leader does either.
            StoreOutcome::Missing { .. } => return self.settle(id, Some(0), ctx),
            _ => {}
        }
        let flight = self.jobs.get(id).and_then(|j| j.in_flight.clone());
        match flight {
            Some(f) if !f.chunks.is_empty() => {
                let chunk = f.chunks[0];
                self.read_chunk(id, chunk, 0, ctx);
            }
            _ => self.settle(id, None, ctx),
        }
    }

    fn read_chunk(&mut self, id: &JobId, chunk: u32, index: usize, ctx: &mut LeaderContext) {
        let purpose =
            CallContext::ResolveChunk { generation: self.generation, job: id.clone(), index };
        let key = chunk_key(id, chunk);
        ctx.store.push(
            StoreCall::Get(key),
            purpose,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
    }

    /// A chunk's record after a conflict.
    pub fn on_resolve_chunk(
        &mut self,
        id: &JobId,
        index: usize,
        outcome: &StoreOutcome,
        ctx: &mut LeaderContext,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(flight) = job.in_flight.clone() else { return };
        let Some(&chunk) = flight.chunks.get(index) else { return };
        match outcome {
            StoreOutcome::Found(pair) => {
                let record: BindingChunk =
                    serde_json::from_value(pair.value.clone()).unwrap_or_default();
                if record.write_number == flight.write_number {
                    self.settle(id, Some(pair.mod_revision), ctx);
                    return;
                }
                job.chunk_revisions.insert(chunk, pair.mod_revision);
            }
            _ => {
                job.chunk_revisions.remove(&chunk);
            }
        }
        match flight.chunks.get(index + 1) {
            Some(&next) => self.read_chunk(id, next, index + 1, ctx),
            None => self.settle(id, None, ctx),
        }
    }

    /// The outcome of a job's transaction is known: committed at a revision, or never to be. What
    /// it bound and was not committed stays with the ledger.
    fn settle(&mut self, id: &JobId, committed: Option<u64>, ctx: &mut LeaderContext) {
        let (now, wall) = (ctx.now, ctx.wall_clock);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(flight) = job.in_flight.take() else { return };
        let Some(epoch) = committed else {
            for chunk in &flight.chunks {
                job.dirty_chunks.entry(*chunk).or_insert(now);
            }
            if flight.final_record.is_some() && job.is_cancelled() {
                job.advance(JobState::Cancelling, now);
            }
            return;
        };
        if let Some(record) = flight.final_record {
            job.advance(JobState::Closed, now);
            // Not there any more: it has moved already.
            if epoch > 0 {
                self.unarchived_jobs.push_back((id.clone(), epoch, record));
            }
            if let Some(job) = self.remove_job(id, now) {
                let chunks = job.chunk_revisions.keys().map(|chunk| chunk_key(id, *chunk));
                self.stale_binding_keys.extend(chunks);
                tracing::debug!(job = %id, cancelled = job.is_cancelled(), "job finished");
            }
            // Committed, and not before: whoever awaits it begins by that.
            self.on_dependency_finished(id, record.fate(wall), now, wall);
            return;
        }
        for chunk in &flight.chunks {
            job.chunk_revisions.insert(*chunk, epoch);
        }
        for TaskAttempt { task, attempt: launch } in flight.bindings {
            if let Some(a) = job.attempts.get_mut(&task).filter(|a| a.number == launch)
                && a.phase() == AttemptPhase::Committing
            {
                a.advance(AttemptPhase::Bound, now);
            }
            self.binding_log.forget(id, task, Some(launch));
        }
        for task in flight.done {
            if let Some(attempt) = job.attempts.remove(&task) {
                job.done.insert(task);
                job.failures.remove(&task);
                self.binding_log.forget(id, task, Some(attempt.number));
                if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                    machine.remove_task(id, task, now);
                }
            }
        }
        self.needs_scheduling = true;
        self.close_if_finished(id, ctx);
    }
}

fn done_count(job: &Job) -> u32 {
    let exited = job
        .attempts
        .values()
        .filter(|a| a.phase() == AttemptPhase::Exited(ExitCause::Completed))
        .count();
    job.done.len() as u32 + exited as u32
}

/// Whether a job can be closed, and how. A cancelled job closes when nothing of it is left.
fn closing_changes(job: &Job) -> Option<FinalState> {
    if matches!(job.state(), JobState::Closed) {
        return None;
    }
    if job.is_cancelled() {
        return (!job.attempts.values().any(Attempt::occupies_resources))
            .then_some(FinalState::Cancelled);
    }
    (done_count(job) == job.spec.tasks).then_some(FinalState::Done)
}

/// A put of one of our own records, which always have a JSON form.
pub fn put_change<T: serde::Serialize>(key: String, record: &T) -> Mutation {
    let value = serde_json::to_value(record).unwrap_or_default();
    Mutation::Put { key, value, lease: None }
}
