//! Lines of waiting work behind the heads that run. They live in the leader alone: workers hold
//! only what runs, so leaving a line costs nothing.

use crate::constants::LINE_CAP;
use crate::job::{Attempt, Job, JobId, MachineId};
use std::collections::{BTreeMap, VecDeque};

/// A slot: the part of a machine that one running task, its head, has.
pub type Slot = (MachineId, JobId, u32);

/// All lines. Tasks of an array are alike until they are bound, so a line holds jobs.
#[derive(Debug, Default)]
pub struct Lines {
    by_slot: BTreeMap<Slot, VecDeque<JobId>>,
}

impl Lines {
    /// The line behind a head.
    pub fn behind(&self, slot: &Slot) -> impl Iterator<Item = &JobId> {
        self.by_slot.get(slot).into_iter().flatten()
    }

    /// Whether another task may join, the head counted.
    pub fn has_room(&self, slot: &Slot) -> bool {
        self.by_slot.get(slot).map_or(0, VecDeque::len) + 1 < LINE_CAP
    }

    /// Puts a task of a job at the end.
    pub fn join(&mut self, slot: Slot, job: &mut Job) {
        job.lined += 1;
        self.by_slot.entry(slot).or_default().push_back(job.id.clone());
    }

    /// Replaces a line, giving back what it loses.
    pub fn keep(&mut self, slot: &Slot, keep: &[bool], jobs: &mut BTreeMap<JobId, Job>) -> u32 {
        let Some(line) = self.by_slot.get_mut(slot) else { return 0 };
        let mut index = 0;
        let mut dropped = 0;
        line.retain(|id| {
            let stays = keep.get(index).copied().unwrap_or(true);
            index += 1;
            if !stays {
                dropped += 1;
                give_back(id, jobs);
            }
            stays
        });
        dropped
    }

    /// All tasks of a job leave their lines.
    pub fn leave(&mut self, id: &JobId, jobs: &mut BTreeMap<JobId, Job>) {
        self.drop_job(id);
        if let Some(job) = jobs.get_mut(id) {
            job.lined = 0;
        }
    }

    /// A job is over.
    pub fn drop_job(&mut self, id: &JobId) {
        for line in self.by_slot.values_mut() {
            line.retain(|j| j != id);
        }
        self.by_slot.retain(|_, line| !line.is_empty());
    }

    /// A machine is gone or gets nothing more.
    pub fn drop_machine(&mut self, machine: &MachineId, jobs: &mut BTreeMap<JobId, Job>) {
        self.by_slot.retain(|slot, line| {
            let stays = slot.0 != *machine;
            if !stays {
                line.iter().for_each(|id| give_back(id, jobs));
            }
            stays
        });
    }

    /// Lines whose head has ended, taken out: their jobs wait again unless `put_back`.
    pub fn headless(&mut self, jobs: &BTreeMap<JobId, Job>) -> Vec<(Slot, VecDeque<JobId>)> {
        let over = |slot: &Slot| {
            let head = jobs.get(&slot.1).and_then(|j| j.attempts.get(&slot.2));
            !head.is_some_and(|a| a.machine == slot.0 && Attempt::occupies(a))
        };
        let ended: Vec<Slot> = self.by_slot.keys().filter(|s| over(s)).cloned().collect();
        ended.into_iter().filter_map(|s| self.by_slot.remove(&s).map(|l| (s, l))).collect()
    }

    /// A line goes on behind a new head.
    pub fn put_back(&mut self, slot: Slot, line: VecDeque<JobId>) {
        if !line.is_empty() {
            self.by_slot.insert(slot, line);
        }
    }

    /// Slots that have a line.
    pub fn slots(&self) -> Vec<Slot> {
        self.by_slot.keys().cloned().collect()
    }
}

/// A task of a job leaves a line and waits.
pub fn give_back(id: &JobId, jobs: &mut BTreeMap<JobId, Job>) {
    if let Some(job) = jobs.get_mut(id) {
        job.lined = job.lined.saturating_sub(1);
    }
}
