//! Set of the tasks of one job, as a compressed bitmap: its memory is bounded by a bit for each task of the job, and a
//! set of consecutive tasks takes a few bytes.

use roaring::RoaringBitmap;
use std::fmt;
use std::ops::Range;

/// A set of task numbers of a job.
#[derive(Clone, Default, PartialEq)]
pub struct TaskSet {
    tasks: RoaringBitmap,
}

impl TaskSet {
    /// The set of the tasks 0 to `tasks` - 1.
    pub fn all(tasks: u32) -> TaskSet {
        let mut bitmap = RoaringBitmap::new();
        bitmap.insert_range(0..tasks);
        bitmap.optimize();
        TaskSet { tasks: bitmap }
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> usize {
        self.tasks.len() as usize
    }

    /// Whether it contains no task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Whether it contains a task.
    pub fn contains(&self, task: &u32) -> bool {
        self.tasks.contains(*task)
    }

    /// Adds a task. Returns whether it was not contained before.
    pub fn insert(&mut self, task: u32) -> bool {
        self.tasks.insert(task)
    }

    /// Removes a task. Returns whether it was contained.
    pub fn remove(&mut self, task: &u32) -> bool {
        self.tasks.remove(*task)
    }

    /// The lowest task.
    pub fn first(&self) -> Option<u32> {
        self.tasks.min()
    }

    /// Removes and returns the lowest task.
    pub fn pop_first(&mut self) -> Option<u32> {
        let first = self.tasks.min()?;
        self.tasks.remove(first);
        Some(first)
    }

    /// Removes and returns the highest task.
    pub fn pop_last(&mut self) -> Option<u32> {
        let last = self.tasks.max()?;
        self.tasks.remove(last);
        Some(last)
    }

    /// Its tasks within a range, in ascending order.
    pub fn range(&self, tasks: Range<u32>) -> impl Iterator<Item = u32> {
        self.tasks.range(tasks)
    }

    /// Its tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.tasks.iter()
    }
}

impl fmt::Debug for TaskSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.tasks.iter()).finish()
    }
}

impl Extend<u32> for TaskSet {
    fn extend<T: IntoIterator<Item = u32>>(&mut self, tasks: T) {
        self.tasks.extend(tasks);
    }
}

impl FromIterator<u32> for TaskSet {
    fn from_iter<T: IntoIterator<Item = u32>>(tasks: T) -> TaskSet {
        TaskSet { tasks: tasks.into_iter().collect() }
    }
}
