//! What calls to the state service are for, and where their outcomes go.

use super::{Ctx, Node, RequestId};
use crate::Time;
use crate::constants::*;
use crate::job::{JobId, keys};
use crate::machine::MachineType;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use crate::tables::Tables;
use std::sync::Arc;
use swiftsail_protocol::cloud::Types;
use swiftsail_protocol::state::{Change, Commit, When};
use swiftsail_protocol::users::Status;

/// What a store call was for; `era` tells answers to an earlier term.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum Purpose {
    /// Read who leads.
    ReadTerm,
    /// Watch who leads.
    FollowTerm,
    /// Get a lease to lead.
    Grant { era: u64, asked: Time },
    /// Write the leader's key.
    Acquire { era: u64 },
    /// Give the lease back.
    Release,
    /// Extend the lease.
    Extend { era: u64, asked: Time },
    /// Read the machine types.
    ReadTypes,
    /// Keep the machine types.
    WriteTypes { era: u64 },
    /// Read all jobs.
    LoadJobs { era: u64 },
    /// Read all bindings.
    LoadBindings { era: u64 },
    /// Watch the jobs.
    FollowJobs { era: u64, asked: Time },
    /// Read what has changed of the jobs, as a leader whose watch tells nothing.
    ReadJobs { era: u64, asked: Time },
    /// Write a job's chunks.
    Flush { era: u64, job: JobId },
    /// Read all sheets of the ledger.
    LoadSheets { era: u64 },
    /// Write new bindings.
    Ledger { era: u64 },
    /// Read a key after a conflict of the ledger.
    ResolveLedger { era: u64, key: String },
    /// Read a job after a conflict.
    ResolveJob { era: u64, job: JobId },
    /// Read a chunk after a conflict.
    ResolveChunk { era: u64, job: JobId, index: usize },
    /// Remove keys that nothing refers to.
    Sweep { era: u64 },
    /// Move the records of so many jobs that are over.
    Retire { era: u64, jobs: usize },
    /// Read what has changed of the jobs, for polls.
    ReadNews,
    /// List the jobs, for polls.
    ListMirror,
    /// Read all plug-ins.
    ReadPlugins,
    /// Watch the plug-ins.
    FollowPlugins,
    /// Write a plug-in, for an operator or to suspend it.
    WritePlugin { request: Option<RequestId>, name: String },
    /// Read a page of jobs for an operator.
    ListJobs { request: RequestId },
    /// Read what is held of limits; asked for under that token, or 0.
    ReadAmounts { token: u64 },
    /// Move amounts of a page; of a leader under its term.
    Amounts { era: Option<u64>, page: usize, by: (u64, u64) },
    /// Read the records that outlive controllers; the number is of the reading.
    ReadOrder { reading: u64 },
    /// Watch them.
    FollowOrder,
    /// Read what became of a job that serves an arrival.
    ReadEnded { job: JobId, last_place: bool },
    /// Read the end of a job that others await, as a leader.
    ReadAwaited { era: u64, job: JobId, last_place: bool },
    /// Read a job that stands before another, for those who asked about that one.
    WalkTo { walk: u64, job: JobId, last_place: bool },
    /// Note that every controller knows the form of records.
    RaiseForm,
    /// Read them as a new leader.
    LoadOrder { era: u64 },
    /// Write some of them.
    WriteOrder { era: u64, nonce: u64 },
    /// Create a job.
    Create { request: RequestId, job: JobId, status: Status },
    /// Read a job for those who asked.
    ReadJob(JobId),
    /// Read a job's final record for those who asked.
    ReadFinal(JobId),
    /// Mark a job as cancelled, at that time of day.
    Cancel(JobId, u64),
}

impl Purpose {
    pub(super) fn era(&self) -> Option<u64> {
        use Purpose::*;
        match self {
            Grant { era, .. }
            | Acquire { era }
            | Extend { era, .. }
            | WriteTypes { era }
            | LoadJobs { era }
            | LoadBindings { era }
            | FollowJobs { era, .. }
            | ReadJobs { era, .. }
            | Flush { era, .. }
            | LoadSheets { era }
            | Ledger { era }
            | ResolveLedger { era, .. }
            | ResolveJob { era, .. }
            | ResolveChunk { era, .. }
            | Sweep { era }
            | LoadOrder { era }
            | ReadAwaited { era, .. }
            | WriteOrder { era, .. }
            | Retire { era, .. } => Some(*era),
            Amounts { era, .. } => *era,
            _ => None,
        }
    }
}

impl Node {
    pub(super) fn on_store(&mut self, end: Finished<Purpose>) {
        if end.purpose.era().is_some_and(|era| era != self.term.era) {
            return;
        }
        match end.purpose.clone() {
            Purpose::ReadTerm
            | Purpose::FollowTerm
            | Purpose::Grant { .. }
            | Purpose::Acquire { .. }
            | Purpose::Extend { .. } => self.on_term(end),
            Purpose::ReadTypes => {
                if let Outcome::Found(pair) = end.outcome
                    && self.types.is_none()
                    && let Ok(types) = serde_json::from_value::<Types>(pair.value)
                {
                    self.know_types(&types);
                }
            }
            Purpose::WriteTypes { .. } | Purpose::Sweep { .. } | Purpose::Release => {}
            Purpose::Retire { jobs, .. } => self.on_retired(jobs, &end.outcome),
            Purpose::ReadNews | Purpose::ListMirror => self.on_mirror(&end.outcome),
            ref load @ (Purpose::LoadJobs { era }
            | Purpose::LoadBindings { era }
            | Purpose::LoadOrder { era }
            | Purpose::LoadSheets { era }) => self.on_load(end.outcome, era, load),
            Purpose::FollowJobs { era, asked } => self.on_follow_jobs(end.outcome, era, asked),
            Purpose::ReadJobs { asked, .. } => {
                if let Outcome::News(news) = &end.outcome {
                    self.on_jobs(news, asked);
                }
            }
            Purpose::Flush { ref job, .. } => {
                let lost = match &mut self.leader {
                    Some(leader) => leader.on_flushed(job, &end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            Purpose::Ledger { .. } => {
                let lost = match &mut self.leader {
                    Some(leader) => leader.on_ledger(&end, &mut ctx!(self)),
                    None => false,
                };
                if lost {
                    self.step_down("the store knows of another term");
                }
            }
            Purpose::ResolveLedger { key, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_ledger(&key, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::ResolveJob { job, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_job(&job, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::ResolveChunk { job, index, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_resolve_chunk(&job, index, &end.outcome, &mut ctx!(self));
                }
            }
            Purpose::ReadPlugins
            | Purpose::FollowPlugins
            | Purpose::WritePlugin { .. }
            | Purpose::ListJobs { .. } => self.on_plugin_store(end),
            Purpose::ReadOrder { .. } | Purpose::FollowOrder => {
                self.on_order(&end.purpose, end.outcome);
            }
            Purpose::ReadEnded { job, last_place } => {
                self.ended_read(&job, last_place, end.outcome);
            }
            Purpose::ReadAwaited { job, last_place, .. } => {
                self.awaited_read(&job, last_place, &end.outcome);
            }
            Purpose::WalkTo { walk, job, last_place } => {
                self.walked_to(walk, &job, last_place, &end.outcome);
            }
            Purpose::RaiseForm => self.on_form_raised(&end.outcome),
            Purpose::WriteOrder { nonce, .. } => self.order_written(nonce, &end.outcome),
            Purpose::ReadAmounts { token } => self.desk_read(token, &end.outcome),
            Purpose::Amounts { era, page, by } => {
                self.desk_moved(era.is_some(), page, by, &end.outcome);
            }
            Purpose::Create { .. }
            | Purpose::ReadJob(_)
            | Purpose::ReadFinal(_)
            | Purpose::Cancel(..) => {
                self.on_user_store(end);
            }
        }
    }

    pub(super) fn know_types(&mut self, types: &Types) {
        if !types.hulls.is_empty() {
            self.types = Some(Arc::new(types.hulls.iter().map(MachineType::from).collect()));
        }
    }

    pub(super) fn keep_types(&mut self) {
        if self.types.is_none() {
            self.types_asked = 0;
        }
    }

    /// The leader keeps the machine types in the store, for nodes that start while the cloud is
    /// away.
    pub(super) fn keep_types_as(&mut self, types: &Types) {
        let Some(leader) = &self.leader else { return };
        let commit = Commit {
            when: vec![When { key: keys::LEADER.into(), stamp: leader.token }],
            apply: vec![super::chunks::put(keys::TYPES.into(), types)],
        };
        let purpose = Purpose::WriteTypes { era: leader.era };
        let until = self.now.steady + CLOUD_TYPES_MS;
        self.store.push(Call::Commit(commit), purpose, Urgency::Tidy, Patience::Once(until));
    }

    /// Moves the records of jobs that are over to their last place, a few at a time, when the state service
    /// has nothing else to do. New leaders would else list them for ever.
    pub(super) fn retire(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|l| !l.moving && !l.over.is_empty()) else {
            return;
        };
        let urgency = match leader.over.len() {
            0..RETIRE_SOON => Urgency::Idle,
            _ => Urgency::Tidy,
        };
        let most = (self.settings.settings.state.txn_ops / 2).clamp(1, RETIRE_AT_ONCE);
        let mut commit = Commit {
            when: vec![When { key: keys::LEADER.into(), stamp: leader.token }],
            apply: Vec::new(),
        };
        let mut jobs = 0;
        for (id, stamp, record) in leader.over.iter().take(most) {
            jobs += 1;
            commit.when.push(When { key: keys::job(id), stamp: *stamp });
            commit.apply.push(Change::Remove { remove: keys::job(id) });
            commit.apply.push(super::chunks::put(keys::end(id), record));
        }
        leader.moving = true;
        let purpose = Purpose::Retire { era: leader.era, jobs };
        self.store.push(Call::Commit(commit), purpose, urgency, Patience::Always);
    }

    /// Records were moved, or an earlier try without an answer had done so already: only leaders move them,
    /// and a job that is over never changes. What the state service does not name is still where it was.
    fn on_retired(&mut self, jobs: usize, outcome: &Outcome) {
        let Some(leader) = &mut self.leader else { return };
        leader.moving = false;
        let tried: Vec<_> = leader.over.drain(..jobs.min(leader.over.len())).collect();
        let Outcome::Conflict(failed) = outcome else { return };
        if failed.iter().any(|k| k == keys::LEADER) {
            return self.step_down("the store knows of another term");
        }
        let moved = |id: &JobId| failed.contains(&keys::job(id));
        if tried.iter().any(|(id, ..)| moved(id)) {
            leader.over.extend(tried.into_iter().filter(|(id, ..)| !moved(id)));
        }
    }

    /// Removes records of bindings whose job is over, a few at a time.
    pub(super) fn sweep(&mut self) {
        let waits = self.store.queued()[Urgency::Idle as usize] > 0;
        let some = |l: &&mut Tables| !waits && !l.left_over.is_empty();
        let Some(leader) = self.leader.as_mut().filter(some) else { return };
        let most = self.settings.settings.state.txn_ops.min(2 * RETIRE_AT_ONCE);
        let left = leader.left_over.len().saturating_sub(most);
        let keys = leader.left_over.split_off(left);
        let commit = Commit {
            when: vec![When { key: keys::LEADER.into(), stamp: leader.token }],
            apply: keys.iter().map(|k| Change::Remove { remove: k.clone() }).collect(),
        };
        let purpose = Purpose::Sweep { era: leader.era };
        self.store.push(Call::Commit(commit), purpose, Urgency::Idle, Patience::Always);
    }
}
