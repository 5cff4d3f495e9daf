//! Writing and reading of the binding log, in which new bindings of all jobs are committed, many in one transaction.
//!
//! The state service limits the number of writes per second, and a binding chunk belongs to a single job. If each
//! job's chunk were written for each new binding, dozens of jobs that are bound at once would wait seconds for their
//! writes. A log segment holds new bindings of any number of jobs and is written with one write. Later the bindings
//! are compacted into the chunks of their jobs (`controller/chunks.rs`), and only then removed from the segment. A
//! chunk names the latest attempt that it covers: a reader uses the chunk for attempts up to that one, and the log
//! for later ones.

use super::{CallContext, LeaderContext};
use crate::Time;
use crate::cluster_state::{ClusterState, InFlightLogWrite, LogSegment, LogSegmentRecord, TaskId};
use crate::constants::{
    BINDING_LOG_BUSY_PAUSE_FACTOR, BINDING_LOG_PAUSE_FACTOR, MAX_QUEUED_FINAL_RECORDS,
    MAX_SEGMENT_BYTES, MAX_SEGMENTS, MAX_TRANSACTION_BYTES, MIN_BINDING_LOG_INTERVAL_MS,
    MIN_LOG_PRECONDITION_BYTES, MS_PER_S, PRECONDITION_OVERHEAD_BYTES,
};
use crate::job::{Attempt, AttemptPhase, JobId, keys};
use crate::machine::AttemptId;
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_protocol::state::{KeyPage, Precondition, Transaction};

/// Maximum number of preconditions of a transaction per write that it may contain (a limit of the protocol).
const PRECONDITIONS_PER_WRITE: usize = 4;

/// A transaction of the binding log that is being built.
struct LogWrite {
    commit: Transaction,
    in_flight: InFlightLogWrite,
    /// Jobs of which the transaction commits a new binding. Each needs a precondition that its record is unchanged,
    /// since the job may have been cancelled.
    jobs: BTreeSet<JobId>,
    /// Maximum number of such jobs.
    max_jobs: usize,
    /// Bytes left in the transaction for their preconditions.
    precondition_bytes_left: usize,
    /// Log entries whose attempts have ended in the meantime.
    obsolete: Vec<AttemptId>,
}

impl ClusterState {
    /// Restores bindings from a page of log segments read by a new leader. Must be called after all chunks have been
    /// restored. Segments that cannot be decoded are logged and skipped.
    pub fn load_log_segments(&mut self, page: &KeyPage, now: Time) {
        for entry in &page.entries {
            let Some(number) = segment_number(&entry.key).filter(|n| *n < MAX_SEGMENTS) else {
                continue;
            };
            let Ok(record) = serde_json::from_value::<LogSegmentRecord>(entry.value.clone()) else {
                tracing::error!(key = %entry.key, "unreadable binding log segment");
                continue;
            };
            self.write_number = self.write_number.max(record.write_number);
            while self.binding_log.segments.len() <= number {
                self.binding_log.segments.push(LogSegment::default());
            }
            self.binding_log.segments[number].mod_revision = entry.mod_revision;
            for (name, bindings) in &record.bindings {
                let id = JobId::from(name.as_str());
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                for binding in bindings {
                    if job.restore_log_binding(binding, now) {
                        self.binding_log.remove(&id, binding.task, None);
                        self.binding_log.put(number, &id, binding);
                    }
                }
            }
        }
    }

    /// Queues a transaction that commits all new bindings that fit in it, unless one is in flight or the last one was
    /// sent too recently.
    pub fn write_binding_log(&mut self, ctx: &mut LeaderContext) {
        if self.binding_log.in_flight.is_some() || ctx.now < self.binding_log.next_write_at {
            return;
        }
        let segments = self.binding_log.segments.iter().enumerate();
        let dirty: Vec<usize> =
            segments.filter(|(_, segment)| segment.dirty).map(|(number, _)| number).collect();
        if dirty.is_empty() {
            return;
        }
        self.write_number += 1;
        let state = &ctx.settings.settings.state;
        let max_value_bytes = state.max_value_bytes();
        let segment_bytes = max_value_bytes.clamp(1, MAX_SEGMENT_BYTES);
        let max_segments = state
            .txn_ops
            .min((MAX_TRANSACTION_BYTES - MIN_LOG_PRECONDITION_BYTES) / segment_bytes)
            .max(1);
        let max_preconditions = state.txn_ops * PRECONDITIONS_PER_WRITE;
        let mut write = LogWrite::new(
            self.token,
            self.write_number,
            // One precondition is for the leader's key, and one for each segment.
            max_preconditions.saturating_sub(1 + max_segments),
            MAX_TRANSACTION_BYTES.saturating_sub(max_segments * segment_bytes),
        );
        for number in dirty.into_iter().take(max_segments) {
            self.add_segment(number, &mut write);
        }
        // The pause leaves a share of this controller's writes to users, final records and chunks.
        let is_busy =
            ctx.store.queue_lengths()[CallPriority::Normal as usize] >= MAX_QUEUED_FINAL_RECORDS;
        let pause_factor =
            if is_busy { BINDING_LOG_BUSY_PAUSE_FACTOR } else { BINDING_LOG_PAUSE_FACTOR };
        let pause_ms = write.in_flight.segments.len() as f64 * pause_factor * MS_PER_S
            / ctx.store.write_rate();
        self.binding_log.next_write_at =
            ctx.now + (pause_ms as u64).max(MIN_BINDING_LOG_INTERVAL_MS);
        for AttemptId { job, task, attempt } in write.obsolete {
            self.binding_log.remove(&job, task, Some(attempt));
        }
        if write.in_flight.bindings.is_empty() && write.in_flight.returned_to_log.is_empty() {
            // All new bindings have been released in the meantime.
            return;
        }
        for id in write.jobs {
            let mod_revision = self.jobs.get(&id).map_or(0, |job| job.mod_revision);
            write.commit.preconditions.push(Precondition { key: keys::job(&id), mod_revision });
        }
        self.binding_log.in_flight = Some(write.in_flight);
        let call_context = CallContext::WriteBindingLog { generation: self.generation };
        ctx.store.push(
            StoreCall::Commit(write.commit),
            call_context,
            CallPriority::High,
            RetryPolicy::UntilDefinite,
        );
    }

    /// Adds a segment with all its live bindings to a transaction. New bindings for which the transaction has no
    /// preconditions left stay out, and the segment stays dirty.
    fn add_segment(&mut self, number: usize, write: &mut LogWrite) {
        let write_number = write.in_flight.write_number;
        let mut record = LogSegmentRecord { write_number, bindings: BTreeMap::new() };
        let returned_to_log = &self.binding_log.returned_to_log;
        let segment = &mut self.binding_log.segments[number];
        segment.dirty = false;
        for (id, attempt_number) in &segment.entries {
            let attempt = self.jobs.get(&id.job).and_then(|job| job.attempts.get(&id.task));
            let attempt = attempt.filter(|attempt| {
                attempt.number == *attempt_number && attempt.occupies_resources()
            });
            let Some(attempt) = attempt else {
                write.obsolete.push(attempt_id(id, *attempt_number));
                continue;
            };
            if !write.admit(id, attempt) {
                segment.dirty = true;
                continue;
            }
            if returned_to_log.contains(id) {
                write.in_flight.returned_to_log.push(id.clone());
            }
            let bindings = record.bindings.entry(id.job.to_string()).or_default();
            bindings.push(attempt.binding(id.task));
        }
        let key = keys::log_segment(number);
        let mod_revision = segment.mod_revision;
        write.commit.preconditions.push(Precondition { key: key.clone(), mod_revision });
        write.commit.mutations.push(super::chunks::put_mutation(key, &record));
        write.in_flight.segments.push(number);
    }

    /// Handles the outcome of the log's transaction. Returns true if another controller has become the leader.
    pub fn on_binding_log_written(
        &mut self,
        call: &FinishedCall<CallContext>,
        ctx: &mut LeaderContext,
    ) -> bool {
        match &call.outcome {
            StoreOutcome::Committed(revision) => self.settle_binding_log(Some(*revision), ctx),
            StoreOutcome::Conflict(failed) => {
                if failed.iter().any(|key| key == keys::LEADER) {
                    return true;
                }
                // Either a job was cancelled, or an earlier attempt of this write was applied: the keys show which.
                if let Some(in_flight) = &mut self.binding_log.in_flight {
                    in_flight.unread.clone_from(failed);
                }
                self.read_next_conflict(ctx);
            }
            other => {
                tracing::error!(outcome = ?other, "transaction rejected: binding log");
                self.settle_binding_log(None, ctx);
            }
        }
        false
    }

    /// Reads the next key whose precondition failed. After the last one the transaction's outcome is known.
    fn read_next_conflict(&mut self, ctx: &mut LeaderContext) {
        let Some(in_flight) = &mut self.binding_log.in_flight else { return };
        match in_flight.unread.pop() {
            Some(key) => {
                let call_context = CallContext::ResolveBindingLog {
                    generation: self.generation,
                    key: key.clone(),
                };
                ctx.store.push(
                    StoreCall::Get(key),
                    call_context,
                    CallPriority::High,
                    RetryPolicy::UntilDefinite,
                );
            }
            None => {
                let applied = in_flight.applied_revision;
                self.settle_binding_log(applied, ctx);
            }
        }
    }

    /// Handles the read of a key whose precondition had failed, and reads the next one.
    pub fn on_conflicting_log_key_read(
        &mut self,
        key: &str,
        outcome: &StoreOutcome,
        ctx: &mut LeaderContext,
    ) {
        match (segment_number(key), outcome) {
            (Some(number), StoreOutcome::Found(entry)) => {
                let record: LogSegmentRecord =
                    serde_json::from_value(entry.value.clone()).unwrap_or_default();
                if let Some(in_flight) = &mut self.binding_log.in_flight
                    && record.write_number == in_flight.write_number
                {
                    in_flight.applied_revision = Some(entry.mod_revision);
                }
                self.set_segment_revision(number, entry.mod_revision);
            }
            (Some(number), _) => self.set_segment_revision(number, 0),
            (None, StoreOutcome::Found(entry)) => {
                let (now, wall) = (ctx.now, ctx.wall_clock);
                self.apply_job_record(key, &entry.value, entry.mod_revision, now, wall)
            }
            (None, _) => {}
        }
        self.read_next_conflict(ctx);
    }

    fn set_segment_revision(&mut self, number: usize, mod_revision: u64) {
        if let Some(segment) = self.binding_log.segments.get_mut(number) {
            segment.mod_revision = mod_revision;
        }
    }

    /// Applies the definite outcome of the log's transaction: committed at this revision, or not applied (`None`).
    fn settle_binding_log(&mut self, committed: Option<u64>, ctx: &mut LeaderContext) {
        let Some(in_flight) = self.binding_log.in_flight.take() else { return };
        for number in in_flight.segments {
            if let Some(segment) = self.binding_log.segments.get_mut(number) {
                match committed {
                    Some(revision) => segment.mod_revision = revision,
                    None => segment.dirty = true,
                }
            }
        }
        if committed.is_some() {
            in_flight.returned_to_log.iter().for_each(|id| self.binding_log.on_committed(id));
        }
        let mut cancelled = Vec::new();
        for AttemptId { job: id, task, attempt: number } in in_flight.bindings {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let is_cancelled = job.is_cancelled();
            let attempt = job.attempts.get_mut(&task).filter(|attempt| {
                attempt.number == number && attempt.phase() == AttemptPhase::Committing
            });
            let Some(mut attempt) = attempt else { continue };
            if committed.is_some() {
                attempt.advance(AttemptPhase::Bound, ctx.now);
            } else if is_cancelled {
                drop(attempt);
                cancelled.push(TaskId { job: id, task });
            }
        }
        // These attempts were never committed, so no worker was told to start them.
        for TaskId { job, task } in cancelled {
            self.release(&job, task, ctx.now);
            self.close_if_finished(&job, ctx);
        }
        self.needs_scheduling = true;
        self.write_binding_log(ctx);
    }
}

impl LogWrite {
    /// An empty transaction that can be applied only while this controller holds the leader's key.
    fn new(token: u64, write_number: u64, max_jobs: usize, precondition_bytes: usize) -> LogWrite {
        let leadership = Precondition { key: keys::LEADER.into(), mod_revision: token };
        LogWrite {
            commit: Transaction { preconditions: vec![leadership], mutations: Vec::new() },
            in_flight: InFlightLogWrite {
                write_number,
                segments: Vec::new(),
                bindings: Vec::new(),
                returned_to_log: Vec::new(),
                unread: Vec::new(),
                applied_revision: None,
            },
            jobs: BTreeSet::new(),
            max_jobs,
            precondition_bytes_left: precondition_bytes,
            obsolete: Vec::new(),
        }
    }

    /// Adds a job whose record must be unchanged, if the transaction has room for its precondition. Returns whether it was
    /// added.
    fn add_job(&mut self, id: &JobId) -> bool {
        let bytes = keys::job(id).len() + PRECONDITION_OVERHEAD_BYTES;
        if self.jobs.len() >= self.max_jobs || bytes > self.precondition_bytes_left {
            return false;
        }
        self.precondition_bytes_left -= bytes;
        self.jobs.insert(id.clone())
    }

    /// Whether a binding may be included in the transaction. A new binding needs a precondition on its job, and must
    /// wait for the next transaction if none is left in this one.
    fn admit(&mut self, id: &TaskId, attempt: &Attempt) -> bool {
        if attempt.phase() != AttemptPhase::Committing {
            return true;
        }
        if !self.jobs.contains(&id.job) && !self.add_job(&id.job) {
            return false;
        }
        self.in_flight.bindings.push(attempt_id(id, attempt.number));
        true
    }
}

fn attempt_id(id: &TaskId, attempt: u64) -> AttemptId {
    AttemptId { job: id.job.clone(), task: id.task, attempt }
}

/// The number of the log segment stored under a key; `None` if the key is not that of a segment.
fn segment_number(key: &str) -> Option<usize> {
    key.strip_prefix(keys::SHEETS).and_then(|number| number.parse().ok())
}
