//! What the store holds of bindings and ends: each job's own chunks, written in no haste, and the
//! end of a job. New bindings are committed by the ledger (see [`super::ledger`]), which a chunk
//! written later takes over.

use super::{Ctx, Purpose};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use crate::tables::{Tables, split_task};
use std::cmp::Reverse;
use std::collections::HashMap;
use swiftsail_protocol::state::{Change, Commit, Page, When};
use swiftsail_protocol::workers::Cause;

impl Tables {
    /// Takes over a page of bindings. Keys of jobs that are over are left-overs to remove.
    pub fn load_bindings(&mut self, page: &Page, now: Time) {
        for pair in &page.pairs {
            let rest = pair.key.strip_prefix(keys::BINDINGS);
            let Some((id, chunk)) = rest.and_then(split_task) else { continue };
            let Ok(record) = serde_json::from_value::<Chunk>(pair.value.clone()) else {
                tracing::error!(key = %pair.key, "a record of bindings cannot be read");
                continue;
            };
            self.nonce = self.nonce.max(record.nonce);
            match self.jobs.get_mut(&id) {
                Some(job) => job.restore(chunk, &record, pair.stamp, now),
                None => self.left_over.push(pair.key.clone()),
            }
        }
    }

    /// Writes what is due: ends of jobs at once, then the chunks that have waited longest, a few
    /// at a time, so that each holds all that is known when it leaves.
    pub fn flush_all(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        self.relieve_ledger(now);
        let ending = |j: &&Job| j.flight.as_ref().is_some_and(|f| f.ended.is_some());
        self.ending = self.jobs.values().filter(ending).count();
        let idle = self.jobs.iter().filter(|(_, j)| j.flight.is_none());
        let mut ends = Vec::new();
        let mut due: Vec<(Time, JobId)> = Vec::new();
        for (id, job) in idle {
            if closing(job).is_some() {
                ends.push(id.clone());
            } else if let Some(at) = job.dirty.values().min().filter(|at| now >= **at + FOLD_MS) {
                due.push((*at, id.clone()));
            }
        }
        ends.sort_by_key(|id| self.jobs.get(id).map(|j| Reverse(j.spec.priority)));
        for id in ends {
            self.end_if_over(&id, ctx);
        }
        due.sort();
        for (_, id) in due {
            if ctx.store.queued()[Urgency::Tidy as usize] >= FOLDS_QUEUED {
                break;
            }
            self.flush(&id, ctx);
        }
    }

    /// Chunks take over the oldest bindings of a ledger that holds many. Below that a binding stays on its
    /// sheet until its task ends: a job of one short task then costs no chunk at all. Nor does a chunk take
    /// over a few: with hundreds of such jobs each would cost a change that ends and bindings wait for.
    fn relieve_ledger(&mut self, now: Time) {
        let mut found: HashMap<(&JobId, u32), (u32, usize)> = HashMap::new();
        for (id, task) in self.ledger.beyond(LEDGER_KEPT) {
            let Some(job) = self.jobs.get(id) else { continue };
            found.entry((id, job.chunk_of(task))).or_insert((task, 0)).1 += 1;
        }
        for ((id, _), (task, bindings)) in found {
            if let Some(job) = self.jobs.get_mut(id).filter(|_| bindings >= FOLD_LEAST) {
                job.touch(task, now);
            }
        }
    }

    /// Ends a job as soon as nothing of it is left to do.
    pub fn end_if_over(&mut self, id: &JobId, ctx: &mut Ctx) {
        let over = |j: &Job| j.flight.is_none() && closing(j).is_some();
        if self.ending < ENDS_QUEUED && self.jobs.get(id).is_some_and(over) {
            self.ending += 1;
            self.flush(id, ctx);
        }
    }

    /// Writes what must be written of one job, in one transaction at a time.
    fn flush(&mut self, id: &JobId, ctx: &mut Ctx) {
        let now = ctx.now;
        self.nonce += 1;
        let nonce = self.nonce;
        let upto = self.last_launch();
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.flight.is_some() || job.state() == JobState::Closed {
            return;
        }
        let value = (ctx.settings.settings.state.value_kb * 1024.0) as usize;
        let mut commit = Commit {
            when: vec![
                When { key: keys::LEADER.into(), stamp: self.token },
                When { key: keys::job(id), stamp: job.stamp },
            ],
            apply: Vec::new(),
        };
        let mut flight = Flight { nonce, chunks: vec![], bound: vec![], done: vec![], ended: None };
        let ops = ctx.settings.settings.state.txn_ops;
        let ending = closing(job);
        let urgency;
        if let Some(ending) = ending {
            urgency = Urgency::Work;
            // One change: the record takes the job's own place, and moves to its last one when the
            // state service has nothing better to do; so do the chunks go.
            let record = FinalRecord { ending, done: done_count(job), at_wall: Some(ctx.wall) };
            commit.apply.push(put(keys::job(id), &record));
            flight.ended = Some(record);
            job.advance(JobState::Closing, now);
        } else {
            // What has exited is told with every report of its machine until its end is committed: very many
            // wait for nobody.
            let ended = job.attempts.values().filter(|a| !a.occupies()).count();
            let pressing = ended >= FOLD_PRESSING;
            urgency = if pressing { Urgency::Work } else { Urgency::Tidy };
            let take_over = self.ledger.len() > LEDGER_KEPT;
            let mut bytes = 512;
            // What only a chunk tells of is on a sheet before the chunk is written without it.
            let told = |chunk: &u32| !job.tasks_of(*chunk).any(|t| self.ledger.awaits_sheet(id, t));
            let dirty = job.dirty.iter().filter(|(chunk, _)| told(chunk));
            let mut chunks: Vec<(Time, u32)> = dirty.map(|(c, at)| (*at, *c)).collect();
            chunks.sort();
            for (_, chunk) in chunks.into_iter().take(ops.min(FOLDS_AT_ONCE)) {
                let elsewhere = |task: u32| self.ledger.holds(id, task);
                let overflow = job.overflow(chunk, value, elsewhere);
                if !overflow.is_empty() {
                    overflow.iter().for_each(|b| self.ledger.take_back(id, b, value - value / 32));
                    continue;
                }
                let record = job.chunk(chunk, (nonce, upto), value, take_over, elsewhere);
                bytes += CHUNK_BYTES + record.done.len() * RANGE_BYTES;
                bytes += record.bound.iter().map(Bound::bytes).sum::<usize>();
                if bytes > TXN_BYTES && !flight.chunks.is_empty() {
                    break;
                }
                let key = chunk_key(id, chunk);
                let stamp = job.chunk_stamps.get(&chunk).copied().unwrap_or(0);
                commit.when.push(When { key: key.clone(), stamp });
                commit.apply.push(put(key, &record));
                flight.chunks.push(chunk);
                flight.bound.extend(record.bound.iter().map(|b| (b.task, b.launch)));
                job.dirty.remove(&chunk);
                let from = chunk * job.chunk_tasks;
                let range = job.attempts.range(from..from + job.chunk_tasks);
                let done = range.filter(|(_, a)| a.stage() == Stage::Exited(Cause::Done));
                flight.done.extend(done.map(|(task, _)| *task));
            }
        }
        if commit.apply.is_empty() {
            return;
        }
        job.flight = Some(flight);
        let purpose = Purpose::Flush { era: self.era, job: id.clone() };
        ctx.store.push(Call::Commit(commit), purpose, urgency, Patience::Always);
    }

    /// A job's transaction has ended. Returns true if the term is lost.
    pub fn on_flushed(&mut self, id: &JobId, end: &Finished<Purpose>, ctx: &mut Ctx) -> bool {
        match &end.outcome {
            Outcome::Committed(epoch) => self.settle(id, Some(*epoch), ctx),
            Outcome::Conflict(failed) => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    return true;
                }
                // Another's change, or an earlier try of ours that was applied: read to know.
                self.resolve(id, ctx);
            }
            other => {
                tracing::error!(job = %id, outcome = ?other, "a transaction was not taken");
                self.settle(id, None, ctx);
            }
        }
        false
    }

    fn resolve(&mut self, id: &JobId, ctx: &mut Ctx) {
        let purpose = Purpose::ResolveJob { era: self.era, job: id.clone() };
        ctx.store.push(Call::Get(keys::job(id)), purpose, Urgency::Work, Patience::Always);
    }

    /// The job's record after a conflict.
    pub fn on_resolve_job(&mut self, id: &JobId, outcome: &Outcome, ctx: &mut Ctx) {
        let (now, wall) = (ctx.now, ctx.wall);
        match outcome {
            Outcome::Found(pair) => match StoredJob::read(&pair.value) {
                // Only the leader ends a job: our own try was applied.
                Some(StoredJob::Over(_)) => return self.settle(id, Some(pair.stamp), ctx),
                _ => self.upsert(&keys::job(id), &pair.value, pair.stamp, now, wall),
            },
            // Ended, and moved already: only a leader does either.
            Outcome::Missing { .. } => return self.settle(id, Some(0), ctx),
            _ => {}
        }
        let flight = self.jobs.get(id).and_then(|j| j.flight.clone());
        match flight {
            Some(f) if !f.chunks.is_empty() => {
                let chunk = f.chunks[0];
                self.read_chunk(id, chunk, 0, ctx);
            }
            _ => self.settle(id, None, ctx),
        }
    }

    fn read_chunk(&mut self, id: &JobId, chunk: u32, index: usize, ctx: &mut Ctx) {
        let purpose = Purpose::ResolveChunk { era: self.era, job: id.clone(), index };
        let key = chunk_key(id, chunk);
        ctx.store.push(Call::Get(key), purpose, Urgency::Work, Patience::Always);
    }

    /// A chunk's record after a conflict.
    pub fn on_resolve_chunk(&mut self, id: &JobId, index: usize, outcome: &Outcome, ctx: &mut Ctx) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(flight) = job.flight.clone() else { return };
        let Some(&chunk) = flight.chunks.get(index) else { return };
        match outcome {
            Outcome::Found(pair) => {
                let record: Chunk = serde_json::from_value(pair.value.clone()).unwrap_or_default();
                if record.nonce == flight.nonce {
                    self.settle(id, Some(pair.stamp), ctx);
                    return;
                }
                job.chunk_stamps.insert(chunk, pair.stamp);
            }
            _ => {
                job.chunk_stamps.remove(&chunk);
            }
        }
        match flight.chunks.get(index + 1) {
            Some(&next) => self.read_chunk(id, next, index + 1, ctx),
            None => self.settle(id, None, ctx),
        }
    }

    /// The outcome of a job's transaction is known: committed at a revision, or never to be. What
    /// it bound and was not committed stays with the ledger.
    fn settle(&mut self, id: &JobId, committed: Option<u64>, ctx: &mut Ctx) {
        let (now, wall) = (ctx.now, ctx.wall);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(flight) = job.flight.take() else { return };
        let Some(epoch) = committed else {
            for chunk in &flight.chunks {
                job.dirty.entry(*chunk).or_insert(now);
            }
            if flight.ended.is_some() && job.cancelled() {
                job.advance(JobState::Cancelling, now);
            }
            return;
        };
        if let Some(record) = flight.ended {
            job.advance(JobState::Closed, now);
            // Not there any more: it has moved already.
            if epoch > 0 {
                self.over.push_back((id.clone(), epoch, record));
            }
            if let Some(job) = self.close(id, now) {
                let chunks = job.chunk_stamps.keys().map(|chunk| chunk_key(id, *chunk));
                self.left_over.extend(chunks);
                tracing::debug!(job = %id, cancelled = job.cancelled(), "job over");
            }
            // Committed, and not before: whoever awaits it begins by that.
            self.after_end(id, record.fate(wall), now, wall);
            return;
        }
        for chunk in &flight.chunks {
            job.chunk_stamps.insert(*chunk, epoch);
        }
        for (task, launch) in flight.bound {
            if let Some(a) = job.attempts.get_mut(&task).filter(|a| a.launch == launch)
                && a.stage() == Stage::Committing
            {
                a.advance(Stage::Bound, now);
            }
            self.ledger.forget(id, task, Some(launch));
        }
        for task in flight.done {
            if let Some(attempt) = job.attempts.remove(&task) {
                job.done.insert(task);
                job.failures.remove(&task);
                self.ledger.forget(id, task, Some(attempt.launch));
                if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                    machine.let_go(id, task, now);
                }
            }
        }
        self.stir = true;
        self.end_if_over(id, ctx);
    }
}

fn done_count(job: &Job) -> u32 {
    let exited = job.attempts.values().filter(|a| a.stage() == Stage::Exited(Cause::Done)).count();
    job.done.len() as u32 + exited as u32
}

/// Whether a job can be closed, and how. A cancelled job closes when nothing of it is left.
fn closing(job: &Job) -> Option<Ending> {
    if matches!(job.state(), JobState::Closed) {
        return None;
    }
    if job.cancelled() {
        return (!job.attempts.values().any(Attempt::occupies)).then_some(Ending::Cancelled);
    }
    (done_count(job) == job.spec.tasks).then_some(Ending::Done)
}

/// A put of one of our own records, which always have a JSON form.
pub fn put<T: serde::Serialize>(key: String, record: &T) -> Change {
    let value = serde_json::to_value(record).unwrap_or_default();
    Change::Write { write: key, value, mooring: None }
}
