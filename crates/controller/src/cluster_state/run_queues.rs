//! Lines of waiting work behind the heads that run. They live in the leader alone: workers hold
//! only what runs, so leaving a line costs nothing. The maps are persistent: a round works on a copy
//! that costs nothing until it differs, and gives it back with its plan.

use crate::job::{Attempt, Job, JobId, MachineId};
use imbl::OrdMap;
use std::collections::{BTreeMap, VecDeque};

/// A slot: the part of a machine that one running task, its head, has.
pub type SlotId = (MachineId, JobId, u32);

/// The jobs that stand behind a head, the next first.
pub type RunQueue = VecDeque<JobId>;

/// All lines. Tasks of an array are alike until they are bound, so a line holds jobs.
#[derive(Debug, Default, Clone)]
pub struct RunQueues {
    by_slot: OrdMap<SlotId, RunQueue>,
    by_job: OrdMap<JobId, u32>,
}

impl RunQueues {
    /// The line behind a head.
    pub fn behind(&self, slot: &SlotId) -> impl Iterator<Item = &JobId> {
        self.by_slot.get(slot).into_iter().flatten()
    }

    /// Tasks of a job that stand in lines.
    pub fn queued_tasks(&self, id: &JobId) -> u32 {
        self.by_job.get(id).copied().unwrap_or(0)
    }

    /// Jobs that stand in lines.
    pub fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().cloned().collect()
    }

    /// Whether another task may join a line of at most `cap`, the head counted.
    pub fn has_room(&self, slot: &SlotId, cap: usize) -> bool {
        self.by_slot.get(slot).map_or(0, VecDeque::len) + 1 < cap
    }

    /// Puts a task of a job at the end.
    pub fn push(&mut self, slot: SlotId, id: &JobId) {
        *self.by_job.entry(id.clone()).or_insert(0) += 1;
        self.by_slot.entry(slot).or_default().push_back(id.clone());
    }

    /// Replaces a line, dropping those that do not stay. Returns how many.
    pub fn retain(&mut self, slot: &SlotId, keep: &[bool]) -> u32 {
        let Some(line) = self.by_slot.get_mut(slot) else { return 0 };
        let mut gone = Vec::new();
        let mut index = 0;
        line.retain(|id| {
            let stays = keep.get(index).copied().unwrap_or(true);
            index += 1;
            if !stays {
                gone.push(id.clone());
            }
            stays
        });
        if line.is_empty() {
            self.by_slot.remove(slot);
        }
        gone.iter().for_each(|id| self.decrement(id));
        gone.len() as u32
    }

    /// All tasks of a job leave their lines.
    pub fn remove_job(&mut self, id: &JobId) {
        if self.by_job.remove(id).is_none() {
            return;
        }
        let holds = |(_, line): &(&SlotId, &RunQueue)| line.contains(id);
        let slots: Vec<SlotId> =
            self.by_slot.iter().filter(holds).map(|(slot, _)| slot.clone()).collect();
        for slot in slots {
            if let Some(line) = self.by_slot.get_mut(&slot) {
                line.retain(|j| j != id);
                if line.is_empty() {
                    self.by_slot.remove(&slot);
                }
            }
        }
    }

    /// A machine is gone or gets nothing more.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        let slots: Vec<SlotId> = self.by_slot.keys().filter(|s| s.0 == *machine).cloned().collect();
        for slot in slots {
            self.take(&slot);
        }
    }

    /// Takes a line out: its jobs wait again.
    pub fn take(&mut self, slot: &SlotId) -> RunQueue {
        let line = self.by_slot.remove(slot).unwrap_or_default();
        line.iter().for_each(|id| self.decrement(id));
        line
    }

    /// Slots whose head has ended.
    pub fn slots_without_head(&self, jobs: &BTreeMap<JobId, Job>) -> Vec<SlotId> {
        let over = |slot: &&SlotId| {
            let head = jobs.get(&slot.1).and_then(|j| j.attempts.get(&slot.2));
            !head.is_some_and(|a| a.machine == slot.0 && Attempt::occupies_resources(a))
        };
        self.by_slot.keys().filter(over).cloned().collect()
    }

    /// A line stands behind a new head.
    pub fn append_all(&mut self, head: &SlotId, line: impl IntoIterator<Item = JobId>) {
        for id in line {
            self.push(head.clone(), &id);
        }
    }

    /// Slots that have a line.
    pub fn slots(&self) -> Vec<SlotId> {
        self.by_slot.keys().cloned().collect()
    }

    /// A task of a job has left a line and waits.
    fn decrement(&mut self, id: &JobId) {
        if let Some(count) = self.by_job.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.by_job.remove(id);
            }
        }
    }
}
