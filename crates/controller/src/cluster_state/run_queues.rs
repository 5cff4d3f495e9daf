//! Run queues: which waiting tasks are planned to run after a running one, in its slot. They exist only in the leader's
//! memory; workers know only running tasks, so removing a task from a queue costs nothing. Placement plans on a copy
//! and returns it with its plan: the maps are persistent data structures, so an unchanged copy costs nothing.

use crate::job::{Attempt, Job, JobId, MachineId};
use imbl::OrdMap;
use std::collections::{BTreeMap, VecDeque};

/// A slot, named by its running task (machine, job, task): the resources of that task on its machine.
pub type SlotId = (MachineId, JobId, u32);

/// Jobs whose tasks are to run next in a slot, the first to run first. Tasks of a job are interchangeable until they
/// are bound, so a queue holds a job once for each task.
pub type RunQueue = VecDeque<JobId>;

/// All run queues. Empty queues and jobs without queued tasks are not stored.
#[derive(Debug, Default, Clone)]
pub struct RunQueues {
    by_slot: OrdMap<SlotId, RunQueue>,
    /// Number of queued tasks of each job.
    by_job: OrdMap<JobId, u32>,
}

impl RunQueues {
    /// The queue of a slot, the first to run first.
    pub fn queue(&self, slot: &SlotId) -> impl Iterator<Item = &JobId> {
        self.by_slot.get(slot).into_iter().flatten()
    }

    /// Number of tasks of a job that are queued.
    pub fn queued_tasks(&self, id: &JobId) -> u32 {
        self.by_job.get(id).copied().unwrap_or(0)
    }

    /// Jobs that have queued tasks.
    pub fn jobs(&self) -> Vec<JobId> {
        self.by_job.keys().cloned().collect()
    }

    /// Whether another task may join the queue of a slot of at most `limit` tasks, including the running one.
    pub fn has_capacity(&self, slot: &SlotId, limit: usize) -> bool {
        self.by_slot.get(slot).map_or(0, VecDeque::len) + 1 < limit
    }

    /// Appends a task of a job to a slot's queue.
    pub fn push(&mut self, slot: SlotId, id: &JobId) {
        *self.by_job.entry(id.clone()).or_insert(0) += 1;
        self.by_slot.entry(slot).or_default().push_back(id.clone());
    }

    /// Drops from a slot's queue the tasks of which `keep`, by position, is false. Returns how many.
    pub fn retain(&mut self, slot: &SlotId, keep: &[bool]) -> u32 {
        let mut position = 0;
        let dropped = self.drop_from(slot, |_| {
            let stays = keep.get(position).copied().unwrap_or(true);
            position += 1;
            stays
        });
        dropped.iter().for_each(|id| self.decrement(id));
        dropped.len() as u32
    }

    /// Removes all tasks of a job from all queues.
    pub fn remove_job(&mut self, id: &JobId) {
        if self.by_job.remove(id).is_none() {
            return;
        }
        let slots_with_job = self.by_slot.iter().filter(|(_, queue)| queue.contains(id));
        let slots: Vec<SlotId> = slots_with_job.map(|(slot, _)| slot.clone()).collect();
        for slot in slots {
            self.drop_from(&slot, |queued| queued != id);
        }
    }

    /// Drops tasks from a slot's queue, and the queue if it becomes empty. Returns their jobs; `by_job` is left to the
    /// caller.
    fn drop_from(&mut self, slot: &SlotId, mut stays: impl FnMut(&JobId) -> bool) -> Vec<JobId> {
        let Some(queue) = self.by_slot.get_mut(slot) else { return Vec::new() };
        let mut dropped = Vec::new();
        queue.retain(|id| {
            let stays = stays(id);
            if !stays {
                dropped.push(id.clone());
            }
            stays
        });
        if queue.is_empty() {
            self.by_slot.remove(slot);
        }
        dropped
    }

    /// Removes all queues of a machine that is gone or gets no more tasks.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        let slots: Vec<SlotId> =
            self.by_slot.keys().filter(|(at, _, _)| at == machine).cloned().collect();
        for slot in slots {
            self.take(&slot);
        }
    }

    /// Removes and returns a slot's queue. Its tasks count as waiting again.
    pub fn take(&mut self, slot: &SlotId) -> RunQueue {
        let queue = self.by_slot.remove(slot).unwrap_or_default();
        queue.iter().for_each(|id| self.decrement(id));
        queue
    }

    /// Slots with a queue whose running task has ended.
    pub fn slots_without_head(&self, jobs: &BTreeMap<JobId, Job>) -> Vec<SlotId> {
        let has_ended = |(machine, job, task): &&SlotId| {
            let attempt = jobs.get(job).and_then(|job| job.attempts.get(task));
            !attempt.is_some_and(|attempt| {
                attempt.machine() == machine && Attempt::occupies_resources(attempt)
            })
        };
        self.by_slot.keys().filter(has_ended).cloned().collect()
    }

    /// Appends tasks to a slot's queue in the given order.
    pub fn append_all(&mut self, slot: &SlotId, queue: impl IntoIterator<Item = JobId>) {
        for id in queue {
            self.push(slot.clone(), &id);
        }
    }

    /// Slots that have a queue.
    pub fn slots(&self) -> Vec<SlotId> {
        self.by_slot.keys().cloned().collect()
    }

    /// Decrements the number of queued tasks of a job.
    fn decrement(&mut self, id: &JobId) {
        if let Some(count) = self.by_job.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.by_job.remove(id);
            }
        }
    }
}
