//! The ledger: where new bindings of all jobs are committed, many with one change.
//!
//! The state service limits changes a second, and a job's chunk holds that job alone: with dozens
//! of jobs binding at once each would wait seconds for its turn. A sheet of the ledger takes the
//! new bindings of every job in one change; each job's chunk takes them over later, and only then
//! do they leave the sheet. A reader trusts a chunk for every launch up to the one it names, and
//! the sheets beyond it.

use super::{CallContext, LeaderContext};
use crate::Time;
use crate::cluster_state::{ClusterState, InFlightLogWrite, LogSegment, LogSegmentRecord, TaskId};
use crate::constants::{
    BINDING_LOG_MS, BINDING_LOG_PART, BINDING_LOG_PART_BUSY, ENDS_QUEUED, MS_PER_S, SEGMENT_BYTES,
    SEGMENTS_MAX, TXN_BYTES,
};
use crate::job::{AttemptPhase, Binding, JobId, keys};
use crate::machine::AttemptId;
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{KeyPage, Precondition, Transaction};

impl ClusterState {
    /// Takes over a page of sheets. To be called after all chunks are known.
    pub fn load_log_segments(&mut self, page: &KeyPage, now: Time) {
        for pair in &page.entries {
            let number = pair.key.strip_prefix(keys::SHEETS).and_then(|n| n.parse::<usize>().ok());
            let Some(number) = number.filter(|n| *n < SEGMENTS_MAX) else { continue };
            let Ok(record) = serde_json::from_value::<LogSegmentRecord>(pair.value.clone()) else {
                tracing::error!(key = %pair.key, "unreadable binding log segment");
                continue;
            };
            self.write_number = self.write_number.max(record.write_number);
            while self.binding_log.segments.len() <= number {
                self.binding_log.segments.push(LogSegment::default());
            }
            self.binding_log.segments[number].mod_revision = pair.mod_revision;
            for (name, bound) in &record.bindings {
                let id = JobId::from(name.as_str());
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                for bound in bound {
                    if job.restore_log_binding(bound, now) {
                        self.binding_log.forget(&id, bound.task, None);
                        self.binding_log.put(number, &id, bound);
                    }
                }
            }
        }
    }

    /// Commits new bindings, one transaction at a time, each with all that has come up by then.
    pub fn write_binding_log(&mut self, ctx: &mut LeaderContext) {
        let now = ctx.now;
        if self.binding_log.in_flight.is_some() || now < self.binding_log.next_write_at {
            return;
        }
        let dirty: Vec<usize> = (0..self.binding_log.segments.len())
            .filter(|n| self.binding_log.segments[*n].dirty)
            .collect();
        if dirty.is_empty() {
            return;
        }
        self.write_number += 1;
        let state = &ctx.settings.settings.state;
        let value = (state.value_kb * 1024.0) as usize;
        let most = state.txn_ops.min(TXN_BYTES / value.clamp(1, SEGMENT_BYTES)).max(1);
        let mut commit = Transaction {
            preconditions: vec![Precondition {
                key: keys::LEADER.into(),
                mod_revision: self.token,
            }],
            mutations: Vec::new(),
        };
        let mut passage = InFlightLogWrite {
            write_number: self.write_number,
            segments: Vec::new(),
            bindings: Vec::new(),
            returned_to_log: Vec::new(),
            unread: Vec::new(),
            applied_revision: None,
        };
        // Four times as many conditions as changes (protocol).
        let conditions = (state.txn_ops * 4).saturating_sub(1 + most);
        let mut named: BTreeSet<JobId> = BTreeSet::new();
        let mut over: Vec<AttemptId> = Vec::new();
        let taken_back = std::mem::take(&mut self.binding_log.returned_to_log);
        for n in dirty.into_iter().take(most) {
            let sheet = &mut self.binding_log.segments[n];
            sheet.dirty = false;
            let mut record =
                LogSegmentRecord { write_number: self.write_number, bindings: BTreeMap::new() };
            for (entry, launch) in &sheet.entries {
                let TaskId { job: id, task } = entry;
                let job = self.jobs.get(id);
                let attempt = job.and_then(|j| j.attempts.get(task));
                let Some(a) = attempt.filter(|a| a.number == *launch && a.occupies_resources())
                else {
                    over.push(AttemptId { job: id.clone(), task: *task, attempt: *launch });
                    continue;
                };
                if a.phase() == AttemptPhase::Committing {
                    if !named.contains(id) && named.len() >= conditions {
                        sheet.dirty = true;
                        continue;
                    }
                    named.insert(id.clone());
                    passage.bindings.push(AttemptId {
                        job: id.clone(),
                        task: *task,
                        attempt: *launch,
                    });
                }
                if taken_back.contains(entry) {
                    passage.returned_to_log.push(entry.clone());
                }
                record.bindings.entry(id.to_string()).or_default().push(Binding {
                    task: *task,
                    attempt: *launch,
                    machine: a.machine.clone(),
                    worker_session: a.worker_session,
                });
            }
            let key = keys::sheet(n);
            commit
                .preconditions
                .push(Precondition { key: key.clone(), mod_revision: sheet.mod_revision });
            commit.mutations.push(super::chunks::put_change(key, &record));
            passage.segments.push(n);
        }
        self.binding_log.returned_to_log = taken_back;
        // Half of the changes that this node may make are for users, ends and chunks.
        let rate = ctx.store.write_rate();
        let busy = ctx.store.queued()[CallPriority::Normal as usize] >= ENDS_QUEUED;
        let part = if busy { BINDING_LOG_PART_BUSY } else { BINDING_LOG_PART };
        let rest = passage.segments.len() as f64 * part * MS_PER_S / rate;
        self.binding_log.next_write_at = now + (rest as u64).max(BINDING_LOG_MS);
        for AttemptId { job: id, task, attempt: launch } in over {
            self.binding_log.forget(&id, task, Some(launch));
        }
        for id in named {
            let stamp = self.jobs.get(&id).map_or(0, |j| j.mod_revision);
            commit.preconditions.push(Precondition { key: keys::job(&id), mod_revision: stamp });
        }
        if passage.bindings.is_empty() && passage.returned_to_log.is_empty() {
            // All of it was released meanwhile.
            return;
        }
        self.binding_log.in_flight = Some(passage);
        let purpose = CallContext::WriteBindingLog { generation: self.generation };
        ctx.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::High,
            RetryPolicy::UntilDefinite,
        );
    }

    /// The ledger's transaction has ended. Returns true if the term is lost.
    pub fn on_binding_log_written(
        &mut self,
        end: &FinishedCall<CallContext>,
        ctx: &mut LeaderContext,
    ) -> bool {
        match &end.outcome {
            StoreOutcome::Committed(epoch) => self.settle_binding_log(Some(*epoch), ctx),
            StoreOutcome::Conflict(failed) => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    return true;
                }
                // A job was cancelled, or an earlier try of ours was applied: read to know.
                if let Some(passage) = &mut self.binding_log.in_flight {
                    passage.unread.clone_from(failed);
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

    fn read_next_conflict(&mut self, ctx: &mut LeaderContext) {
        let Some(passage) = &mut self.binding_log.in_flight else { return };
        match passage.unread.pop() {
            Some(key) => {
                let purpose = CallContext::ResolveBindingLog {
                    generation: self.generation,
                    key: key.clone(),
                };
                ctx.store.push(
                    StoreCall::Get(key),
                    purpose,
                    CallPriority::High,
                    RetryPolicy::UntilDefinite,
                );
            }
            None => {
                let applied = passage.applied_revision;
                self.settle_binding_log(applied, ctx);
            }
        }
    }

    /// One of the keys whose condition failed.
    pub fn on_binding_log_conflict_read(
        &mut self,
        key: &str,
        outcome: &StoreOutcome,
        ctx: &mut LeaderContext,
    ) {
        let (now, wall) = (ctx.now, ctx.wall_clock);
        let sheet = key.strip_prefix(keys::SHEETS).and_then(|n| n.parse::<usize>().ok());
        match (sheet, outcome) {
            (Some(n), StoreOutcome::Found(pair)) => {
                let record: LogSegmentRecord =
                    serde_json::from_value(pair.value.clone()).unwrap_or_default();
                if let Some(passage) = &mut self.binding_log.in_flight
                    && record.write_number == passage.write_number
                {
                    passage.applied_revision = Some(pair.mod_revision);
                }
                if let Some(sheet) = self.binding_log.segments.get_mut(n) {
                    sheet.mod_revision = pair.mod_revision;
                }
            }
            (Some(n), _) => {
                if let Some(sheet) = self.binding_log.segments.get_mut(n) {
                    sheet.mod_revision = 0;
                }
            }
            (None, StoreOutcome::Found(pair)) => {
                self.apply_job_record(key, &pair.value, pair.mod_revision, now, wall)
            }
            (None, _) => {}
        }
        self.read_next_conflict(ctx);
    }

    /// The outcome of the ledger's transaction is known.
    fn settle_binding_log(&mut self, committed: Option<u64>, ctx: &mut LeaderContext) {
        let now = ctx.now;
        let Some(passage) = self.binding_log.in_flight.take() else { return };
        for n in passage.segments {
            if let Some(sheet) = self.binding_log.segments.get_mut(n) {
                match committed {
                    Some(epoch) => sheet.mod_revision = epoch,
                    None => sheet.dirty = true,
                }
            }
        }
        for id in passage.returned_to_log.iter().filter(|_| committed.is_some()) {
            self.binding_log.on_committed(id);
        }
        let mut never = Vec::new();
        for AttemptId { job: id, task, attempt: launch } in passage.bindings {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let cancelled = job.is_cancelled();
            let Some(a) = job.attempts.get_mut(&task).filter(|a| a.number == launch) else {
                continue;
            };
            if a.phase() != AttemptPhase::Committing {
                continue;
            }
            if committed.is_some() {
                a.advance(AttemptPhase::Bound, now);
            } else if cancelled {
                never.push((id, task));
            }
        }
        // Never committed, never offered: nothing of it is left.
        for (id, task) in never {
            self.release(&id, task, now);
            self.close_if_finished(&id, ctx);
        }
        self.needs_scheduling = true;
        self.write_binding_log(ctx);
    }
}
