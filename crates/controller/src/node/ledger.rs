//! The ledger: where new bindings of all jobs are committed, many with one change.
//!
//! The state service limits changes a second, and a job's chunk holds that job alone: with dozens
//! of jobs binding at once each would wait seconds for its turn. A sheet of the ledger takes the
//! new bindings of every job in one change; each job's chunk takes them over later, and only then
//! do they leave the sheet. A reader trusts a chunk for every launch up to the one it names, and
//! the sheets beyond it.

use super::{Ctx, Purpose};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use crate::tables::{Passage, Sheet, SheetRecord, Tables};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{Commit, Page, When};

impl Tables {
    /// Takes over a page of sheets. To be called after all chunks are known.
    pub fn load_sheets(&mut self, page: &Page, now: Time) {
        for pair in &page.pairs {
            let number = pair.key.strip_prefix(keys::SHEETS).and_then(|n| n.parse::<usize>().ok());
            let Some(number) = number.filter(|n| *n < SHEETS_MOST) else { continue };
            let Ok(record) = serde_json::from_value::<SheetRecord>(pair.value.clone()) else {
                tracing::error!(key = %pair.key, "a sheet of the ledger cannot be read");
                continue;
            };
            self.nonce = self.nonce.max(record.nonce);
            while self.ledger.sheets.len() <= number {
                self.ledger.sheets.push(Sheet::default());
            }
            self.ledger.sheets[number].stamp = pair.stamp;
            for (name, bound) in &record.bound {
                let id = JobId::from(name.as_str());
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                for bound in bound {
                    if job.restore_later(bound, now) {
                        self.ledger.forget(&id, bound.task, None);
                        self.ledger.put(number, &id, bound);
                    }
                }
            }
        }
    }

    /// Commits new bindings, one transaction at a time, each with all that has come up by then.
    pub fn write_ledger(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        if self.ledger.passage.is_some() || now < self.ledger.rests_until {
            return;
        }
        let dirty: Vec<usize> =
            (0..self.ledger.sheets.len()).filter(|n| self.ledger.sheets[*n].dirty).collect();
        if dirty.is_empty() {
            return;
        }
        self.nonce += 1;
        let state = &ctx.settings.settings.state;
        let value = (state.value_kb * 1024.0) as usize;
        let most = state.txn_ops.min(TXN_BYTES / value.clamp(1, SHEET_BYTES)).max(1);
        let mut commit = Commit {
            when: vec![When { key: keys::LEADER.into(), stamp: self.token }],
            apply: Vec::new(),
        };
        let mut passage = Passage {
            nonce: self.nonce,
            sheets: Vec::new(),
            bound: Vec::new(),
            taken_back: Vec::new(),
            unread: Vec::new(),
            applied: None,
        };
        // Four times as many conditions as changes (protocol).
        let conditions = (state.txn_ops * 4).saturating_sub(1 + most);
        let mut named: BTreeSet<JobId> = BTreeSet::new();
        let mut over: Vec<(JobId, u32, u64)> = Vec::new();
        let taken_back = std::mem::take(&mut self.ledger.taken_back);
        for n in dirty.into_iter().take(most) {
            let sheet = &mut self.ledger.sheets[n];
            sheet.dirty = false;
            let mut record = SheetRecord { nonce: self.nonce, bound: BTreeMap::new() };
            for ((id, task), launch) in &sheet.entries {
                let job = self.jobs.get(id);
                let attempt = job.and_then(|j| j.attempts.get(task));
                let Some(a) = attempt.filter(|a| a.launch == *launch && a.occupies()) else {
                    over.push((id.clone(), *task, *launch));
                    continue;
                };
                if a.stage() == Stage::Committing {
                    if !named.contains(id) && named.len() >= conditions {
                        sheet.dirty = true;
                        continue;
                    }
                    named.insert(id.clone());
                    passage.bound.push((id.clone(), *task, *launch));
                }
                let key = (id.clone(), *task);
                if taken_back.contains(&key) {
                    passage.taken_back.push(key);
                }
                record.bound.entry(id.to_string()).or_default().push(Bound {
                    task: *task,
                    launch: *launch,
                    machine: a.machine.clone(),
                    watch: a.watch,
                });
            }
            let key = keys::sheet(n);
            commit.when.push(When { key: key.clone(), stamp: sheet.stamp });
            commit.apply.push(super::chunks::put(key, &record));
            passage.sheets.push(n);
        }
        self.ledger.taken_back = taken_back;
        // Half of the changes that this node may make are for users, ends and chunks.
        let rate = ctx.store.write_rate();
        let busy = ctx.store.queued()[Urgency::Work as usize] >= ENDS_QUEUED;
        let part = if busy { LEDGER_PART_BUSY } else { LEDGER_PART };
        let rest = passage.sheets.len() as f64 * part * MS_PER_S / rate;
        self.ledger.rests_until = now + (rest as u64).max(LEDGER_MS);
        for (id, task, launch) in over {
            self.ledger.forget(&id, task, Some(launch));
        }
        for id in named {
            let stamp = self.jobs.get(&id).map_or(0, |j| j.stamp);
            commit.when.push(When { key: keys::job(&id), stamp });
        }
        if passage.bound.is_empty() && passage.taken_back.is_empty() {
            // All of it was released meanwhile.
            return;
        }
        self.ledger.passage = Some(passage);
        let purpose = Purpose::Ledger { era: self.era };
        ctx.store.push(Call::Commit(commit), purpose, Urgency::Bind, Patience::Always);
    }

    /// The ledger's transaction has ended. Returns true if the term is lost.
    pub fn on_ledger(&mut self, end: &Finished<Purpose>, ctx: &mut Ctx) -> bool {
        match &end.outcome {
            Outcome::Committed(epoch) => self.settle_ledger(Some(*epoch), ctx),
            Outcome::Conflict(failed) => {
                if failed.iter().any(|k| k == keys::LEADER) {
                    return true;
                }
                // A job was cancelled, or an earlier try of ours was applied: read to know.
                if let Some(passage) = &mut self.ledger.passage {
                    passage.unread.clone_from(failed);
                }
                self.read_next(ctx);
            }
            other => {
                tracing::error!(outcome = ?other, "a transaction of the ledger was not taken");
                self.settle_ledger(None, ctx);
            }
        }
        false
    }

    fn read_next(&mut self, ctx: &mut Ctx) {
        let Some(passage) = &mut self.ledger.passage else { return };
        match passage.unread.pop() {
            Some(key) => {
                let purpose = Purpose::ResolveLedger { era: self.era, key: key.clone() };
                ctx.store.push(Call::Get(key), purpose, Urgency::Bind, Patience::Always);
            }
            None => {
                let applied = passage.applied;
                self.settle_ledger(applied, ctx);
            }
        }
    }

    /// One of the keys whose condition failed.
    pub fn on_resolve_ledger(&mut self, key: &str, outcome: &Outcome, ctx: &mut Ctx) {
        let (now, wall) = (ctx.now, ctx.wall);
        let sheet = key.strip_prefix(keys::SHEETS).and_then(|n| n.parse::<usize>().ok());
        match (sheet, outcome) {
            (Some(n), Outcome::Found(pair)) => {
                let record: SheetRecord =
                    serde_json::from_value(pair.value.clone()).unwrap_or_default();
                if let Some(passage) = &mut self.ledger.passage
                    && record.nonce == passage.nonce
                {
                    passage.applied = Some(pair.stamp);
                }
                if let Some(sheet) = self.ledger.sheets.get_mut(n) {
                    sheet.stamp = pair.stamp;
                }
            }
            (Some(n), _) => {
                if let Some(sheet) = self.ledger.sheets.get_mut(n) {
                    sheet.stamp = 0;
                }
            }
            (None, Outcome::Found(pair)) => self.upsert(key, &pair.value, pair.stamp, now, wall),
            (None, _) => {}
        }
        self.read_next(ctx);
    }

    /// The outcome of the ledger's transaction is known.
    fn settle_ledger(&mut self, committed: Option<u64>, ctx: &mut Ctx) {
        let now = ctx.now;
        let Some(passage) = self.ledger.passage.take() else { return };
        for n in passage.sheets {
            if let Some(sheet) = self.ledger.sheets.get_mut(n) {
                match committed {
                    Some(epoch) => sheet.stamp = epoch,
                    None => sheet.dirty = true,
                }
            }
        }
        for (id, task) in passage.taken_back.iter().filter(|_| committed.is_some()) {
            self.ledger.on_sheet(id, *task);
        }
        let mut never = Vec::new();
        for (id, task, launch) in passage.bound {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let cancelled = job.cancelled();
            let Some(a) = job.attempts.get_mut(&task).filter(|a| a.launch == launch) else {
                continue;
            };
            if a.stage() != Stage::Committing {
                continue;
            }
            if committed.is_some() {
                a.advance(Stage::Bound, now);
            } else if cancelled {
                never.push((id, task));
            }
        }
        // Never committed, never offered: nothing of it is left.
        for (id, task) in never {
            self.release(&id, task, now);
            self.end_if_over(&id, ctx);
        }
        self.stir = true;
        self.write_ledger(ctx);
    }
}
