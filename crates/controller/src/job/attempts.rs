//! The attempts of a job by task. A job may have 100,000 tasks, so the attempts are stored densely, and their numbers by
//! phase and by machine are updated with each change, so that reading them does not visit every attempt.

use super::{Attempt, AttemptPhase, MachineId};
use crate::constants::ATTEMPT_BLOCK_TASKS;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::{Deref, DerefMut, Index, Range};
use swiftsail_protocol::workers::ExitCause;

/// Numbers of a job's attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts whose binding is being committed.
    pub committing: usize,
    /// Attempts that fetch their image.
    pub fetching: usize,
    /// Attempts that run.
    pub running: usize,
    /// Attempts that save a checkpoint.
    pub saving: usize,
    /// Attempts that have ended with success.
    pub completed: usize,
    /// Attempts that have ended in any way.
    pub exited: usize,
    /// Attempts that occupy resources and whose stop is requested.
    pub stopping: usize,
}

impl AttemptCounts {
    fn add(&mut self, attempt: &Attempt) {
        self.counters_of(attempt, |counter| *counter += 1);
    }

    fn subtract(&mut self, attempt: &Attempt) {
        self.counters_of(attempt, |counter| *counter -= 1);
    }

    /// Changes each counter that an attempt belongs to.
    fn counters_of(&mut self, attempt: &Attempt, change: impl Fn(&mut usize)) {
        match attempt.phase() {
            AttemptPhase::Committing => change(&mut self.committing),
            AttemptPhase::Fetching => change(&mut self.fetching),
            AttemptPhase::Running => change(&mut self.running),
            AttemptPhase::Saving => change(&mut self.saving),
            AttemptPhase::Bound | AttemptPhase::WaitingForGang => {}
            AttemptPhase::Exited(cause) => {
                change(&mut self.exited);
                if cause == ExitCause::Completed {
                    change(&mut self.completed);
                }
            }
        }
        if attempt.stop_requested && attempt.occupies_resources() {
            change(&mut self.stopping);
        }
    }
}

/// The attempts of a job, at most one for each task, in the order of the tasks.
#[derive(Default)]
pub struct Attempts {
    /// Attempts by `task / ATTEMPT_BLOCK_TASKS`; in each block in ascending order of the tasks. No block is empty.
    blocks: BTreeMap<u32, Vec<(u32, Attempt)>>,
    len: usize,
    totals: Totals,
}

/// Totals over all attempts of a job.
#[derive(Debug, Default)]
struct Totals {
    counts: AttemptCounts,
    /// Numbers of attempts that occupy resources, by machine, sorted by the machine's name.
    by_machine: Vec<(MachineId, u32)>,
}

impl Totals {
    fn add(&mut self, attempt: &Attempt) {
        self.counts.add(attempt);
        if attempt.occupies_resources() {
            self.add_to_machine(attempt.machine());
        }
    }

    fn subtract(&mut self, attempt: &Attempt) {
        self.counts.subtract(attempt);
        if attempt.occupies_resources() {
            self.subtract_from_machine(attempt.machine());
        }
    }

    fn position(&self, machine: &MachineId) -> Result<usize, usize> {
        self.by_machine.binary_search_by(|(other, _)| other.cmp(machine))
    }

    fn add_to_machine(&mut self, machine: &MachineId) {
        match self.position(machine) {
            Ok(index) => self.by_machine[index].1 += 1,
            Err(index) => self.by_machine.insert(index, (machine.clone(), 1)),
        }
    }

    fn subtract_from_machine(&mut self, machine: &MachineId) {
        let Ok(index) = self.position(machine) else { return };
        self.by_machine[index].1 -= 1;
        if self.by_machine[index].1 == 0 {
            self.by_machine.remove(index);
        }
    }
}

/// Mutable access to an attempt. When it is dropped, the job's totals are updated.
pub struct AttemptMut<'a> {
    attempt: &'a mut Attempt,
    totals: &'a mut Totals,
    occupied_resources: bool,
}

impl<'a> AttemptMut<'a> {
    fn new(attempt: &'a mut Attempt, totals: &'a mut Totals) -> AttemptMut<'a> {
        totals.counts.subtract(attempt);
        let occupied_resources = attempt.occupies_resources();
        AttemptMut { attempt, totals, occupied_resources }
    }
}

impl Drop for AttemptMut<'_> {
    fn drop(&mut self) {
        self.totals.counts.add(self.attempt);
        // An exited attempt never occupies resources again.
        if self.occupied_resources && !self.attempt.occupies_resources() {
            self.totals.subtract_from_machine(self.attempt.machine());
        }
    }
}

impl Deref for AttemptMut<'_> {
    type Target = Attempt;

    fn deref(&self) -> &Attempt {
        self.attempt
    }
}

impl DerefMut for AttemptMut<'_> {
    fn deref_mut(&mut self) -> &mut Attempt {
        self.attempt
    }
}

impl Attempts {
    /// Number of tasks that have an attempt.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no task has an attempt.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Numbers of the attempts by phase.
    pub fn counts(&self) -> AttemptCounts {
        self.totals.counts
    }

    /// Numbers of attempts that occupy resources, by machine.
    pub fn occupying_by_machine(&self) -> impl Iterator<Item = (&MachineId, u32)> {
        self.totals.by_machine.iter().map(|(machine, attempts)| (machine, *attempts))
    }

    /// Number of attempts that occupy resources ([`Attempt::occupies_resources`]).
    pub fn occupying(&self) -> usize {
        self.len - self.totals.counts.exited
    }

    /// The attempt of a task.
    pub fn get(&self, task: &u32) -> Option<&Attempt> {
        let block = self.blocks.get(&block_of(*task))?;
        let index = position(block, *task).ok()?;
        block.get(index).map(|(_, attempt)| attempt)
    }

    /// The attempt of a task, to be changed.
    pub fn get_mut(&mut self, task: &u32) -> Option<AttemptMut<'_>> {
        let block = self.blocks.get_mut(&block_of(*task))?;
        let index = position(block, *task).ok()?;
        let (_, attempt) = block.get_mut(index)?;
        Some(AttemptMut::new(attempt, &mut self.totals))
    }

    /// Whether a task has an attempt.
    pub fn contains_key(&self, task: &u32) -> bool {
        self.get(task).is_some()
    }

    /// Sets the attempt of a task. Returns the one that it replaces.
    pub fn insert(&mut self, task: u32, mut attempt: Attempt) -> Option<Attempt> {
        if let Some(previous) = task.checked_sub(1).and_then(|previous| self.get(&previous)) {
            attempt.share_origin(previous);
        }
        self.totals.add(&attempt);
        let block = self.blocks.entry(block_of(task)).or_default();
        match position(block, task) {
            Ok(index) => {
                let replaced = std::mem::replace(&mut block[index].1, attempt);
                self.totals.subtract(&replaced);
                Some(replaced)
            }
            Err(index) => {
                block.insert(index, (task, attempt));
                self.len += 1;
                None
            }
        }
    }

    /// Removes and returns the attempt of a task.
    pub fn remove(&mut self, task: &u32) -> Option<Attempt> {
        let number = block_of(*task);
        let block = self.blocks.get_mut(&number)?;
        let index = position(block, *task).ok()?;
        let (_, attempt) = block.remove(index);
        if block.is_empty() {
            self.blocks.remove(&number);
        }
        self.len -= 1;
        self.totals.subtract(&attempt);
        Some(attempt)
    }

    /// All attempts with their tasks.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&u32, &Attempt)> + Clone {
        self.blocks.values().flatten().map(|(task, attempt)| (task, attempt))
    }

    /// All tasks that have an attempt.
    pub fn keys(&self) -> impl Iterator<Item = &u32> {
        self.iter().map(|(task, _)| task)
    }

    /// All attempts.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &Attempt> + Clone {
        self.iter().map(|(_, attempt)| attempt)
    }

    /// The attempts of a range of tasks.
    pub fn range(&self, tasks: Range<u32>) -> impl Iterator<Item = (&u32, &Attempt)> {
        let blocks = block_of(tasks.start)..=block_of(tasks.end);
        let entries = self.blocks.range(blocks).flat_map(|(_, block)| block);
        entries.filter(move |(task, _)| tasks.contains(task)).map(|(task, attempt)| (task, attempt))
    }

    /// Applies a change to every attempt.
    pub fn for_each_mut(&mut self, mut change: impl FnMut(u32, &mut Attempt)) {
        let Attempts { blocks, totals, .. } = self;
        for (task, attempt) in blocks.values_mut().flatten() {
            change(*task, &mut AttemptMut::new(attempt, totals));
        }
    }
}

impl fmt::Debug for Attempts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_map().entries(self.iter()).finish()
    }
}

impl Index<&u32> for Attempts {
    type Output = Attempt;

    /// The attempt of a task. Panics if the task has none, like the index of a standard map.
    fn index(&self, task: &u32) -> &Attempt {
        self.get(task).expect("the task has an attempt")
    }
}

/// The block of a task.
fn block_of(task: u32) -> u32 {
    task / ATTEMPT_BLOCK_TASKS
}

/// Position of a task in its block; `Err`: the position at which it belongs.
fn position(block: &[(u32, Attempt)], task: u32) -> Result<usize, usize> {
    // In a block without gaps, tasks are found without a search.
    let first = block.first().map_or(0, |(first, _)| *first);
    let guess = task.wrapping_sub(first) as usize;
    match block.get(guess) {
        Some((found, _)) if *found == task => Ok(guess),
        _ => block.binary_search_by_key(&task, |(task, _)| *task),
    }
}
