//! The binding log in the leader's memory: which segment holds which new binding, until a chunk has taken it over or
//! its task is done. `controller/binding_log.rs` writes the segments to the store and reads them.

use crate::Time;
use crate::constants::{
    MAX_LOGGED_BINDINGS, MAX_SEGMENT_BYTES, SEGMENT_JOB_OVERHEAD_BYTES, SEGMENT_OVERHEAD_BYTES,
};
use crate::job::{Binding, JobId};
use crate::machine::AttemptId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task of any job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number in the job.
    pub task: u32,
}

impl TaskId {
    /// The id of a job's task.
    pub fn new(job: &JobId, task: u32) -> TaskId {
        TaskId { job: job.clone(), task }
    }
}

/// Stored record of a log segment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSegmentRecord {
    /// Number of the write.
    #[serde(rename = "w")]
    pub write_number: u64,
    /// Bindings by job.
    #[serde(rename = "b", default)]
    pub bindings: BTreeMap<String, Vec<Binding>>,
}

/// A log segment in the leader's memory.
#[derive(Debug, Default)]
pub struct LogSegment {
    /// Mod revision of its record in the store; 0: it has none.
    pub(crate) mod_revision: u64,
    /// Number of the bound attempt, by task.
    pub(crate) entries: BTreeMap<TaskId, u64>,
    /// Estimated size of its record without the header, bytes.
    pub(crate) bytes: usize,
    /// Its record in the store lacks a binding, so that it must be written.
    pub(crate) dirty: bool,
}

impl LogSegment {
    /// Size that a binding adds to the record, bytes. The first binding of a job also adds the job's name.
    fn added_bytes(&self, job: &JobId, binding: &Binding) -> usize {
        binding.bytes() + if self.contains_job(job) { 0 } else { job_bytes(job) }
    }

    fn contains_job(&self, job: &JobId) -> bool {
        let next = self.entries.range(TaskId::new(job, 0)..).next();
        next.is_some_and(|(id, _)| id.job == *job)
    }
}

/// Size of a job's entry in a segment's record without its bindings, bytes.
fn job_bytes(job: &JobId) -> usize {
    job.len() + SEGMENT_JOB_OVERHEAD_BYTES
}

/// A transaction of the log that was sent and whose outcome is not known.
#[derive(Debug, Clone)]
pub struct InFlightLogWrite {
    /// Number of the write, stored in each segment that it writes: a later read tells by it whether the write was
    /// applied.
    pub(crate) write_number: u64,
    /// The segments that it writes.
    pub(crate) segments: Vec<usize>,
    /// Attempts that it commits.
    pub(crate) bindings: Vec<AttemptId>,
    /// Tasks whose bindings were returned to the log from chunks and are committed by it.
    pub(crate) returned_to_log: Vec<TaskId>,
    /// Keys still to be read after a conflict.
    pub(crate) unread: Vec<String>,
    /// Revision at which the write was applied, if such a read has shown that it was.
    pub(crate) applied_revision: Option<u64>,
}

/// Position of a binding in the log.
#[derive(Debug, Clone, Copy)]
struct Location {
    segment: usize,
    /// Size of the binding there, bytes.
    bytes: usize,
}

/// The log's segments, and its one transaction in flight.
#[derive(Debug, Default)]
pub struct BindingLog {
    pub(crate) segments: Vec<LogSegment>,
    pub(crate) in_flight: Option<InFlightLogWrite>,
    /// No write is sent before this time.
    pub(crate) next_write_at: Time,
    locations: HashMap<TaskId, Location>,
    /// Attempt number, job and task of every binding in the log, the oldest first.
    by_attempt: BTreeSet<(u64, JobId, u32)>,
    /// Tasks whose bindings no longer fit into their chunk: they are in the log again, but not committed there yet.
    pub(crate) returned_to_log: BTreeSet<TaskId>,
}

impl BindingLog {
    /// Adds a new binding, to be written soon: to a segment that must be written anyway, else to the smallest one. A
    /// segment full of old bindings is left alone, since a segment is always written as a whole. `max_value_bytes` is
    /// the largest value that the store accepts.
    pub fn add(&mut self, job: &JobId, binding: &Binding, max_value_bytes: usize) {
        let max_bytes =
            max_value_bytes.min(MAX_SEGMENT_BYTES).saturating_sub(SEGMENT_OVERHEAD_BYTES);
        self.remove(job, binding.task, None);
        let fits = |(_, segment): &(usize, &LogSegment)| {
            segment.bytes + segment.added_bytes(job, binding) <= max_bytes
        };
        let fitting = self.segments.iter().enumerate().filter(fits);
        let preferred = fitting.min_by_key(|(_, segment)| (!segment.dirty, segment.bytes));
        let index = preferred.map(|(index, _)| index).unwrap_or_else(|| {
            self.segments.push(LogSegment::default());
            self.segments.len() - 1
        });
        self.put(index, job, binding);
        self.segments[index].dirty = true;
    }

    /// Returns a binding to the log that no longer fits into its chunk because the store has lowered its maximum value
    /// size. It must be committed in a segment before the chunk is written without it ([`BindingLog::awaits_commit`]).
    pub fn return_to_log(&mut self, job: &JobId, binding: &Binding, max_value_bytes: usize) {
        self.add(job, binding, max_value_bytes);
        self.returned_to_log.insert(TaskId::new(job, binding.task));
    }

    /// Whether any binding was returned to the log and is not committed there yet.
    pub fn awaits_any_commit(&self) -> bool {
        !self.returned_to_log.is_empty()
    }

    /// Whether a binding was returned to the log and is not committed there yet: only its chunk stores it.
    pub fn awaits_commit(&self, job: &JobId, task: u32) -> bool {
        self.awaits_any_commit() && self.returned_to_log.contains(&TaskId::new(job, task))
    }

    /// A segment was committed that contains a binding returned to the log.
    pub(crate) fn on_committed(&mut self, id: &TaskId) {
        self.returned_to_log.remove(id);
    }

    /// Puts a binding into a segment, which must exist. The task must have no other binding in the log.
    pub(crate) fn put(&mut self, index: usize, job: &JobId, binding: &Binding) {
        let id = TaskId::new(job, binding.task);
        let segment = &mut self.segments[index];
        segment.bytes += segment.added_bytes(job, binding);
        segment.entries.insert(id.clone(), binding.attempt);
        self.locations.insert(id, Location { segment: index, bytes: binding.bytes() });
        self.by_attempt.insert((binding.attempt, job.clone(), binding.task));
    }

    /// Whether the log holds the binding of a task.
    pub fn holds(&self, job: &JobId, task: u32) -> bool {
        self.locations.contains_key(&TaskId::new(job, task))
    }

    /// Number of bindings that may be added. Further ones wait until chunks have taken some over.
    pub fn remaining_capacity(&self) -> usize {
        MAX_LOGGED_BINDINGS.saturating_sub(self.len())
    }

    /// Number of bindings in the log.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether the log holds no binding.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// The oldest bindings beyond the newest `keep`: chunks are to take them over.
    pub fn oldest_beyond(&self, keep: usize) -> impl Iterator<Item = (&JobId, u32)> {
        let excess = self.len().saturating_sub(keep);
        self.by_attempt.iter().take(excess).map(|(_, job, task)| (job, *task))
    }

    /// Removes the binding of a task if `attempt` is none or the bound attempt: the task is done or released, a chunk
    /// that holds the binding is committed, or a later binding replaces it. It is removed at once rather than when the
    /// segment is next written: else bindings of finished tasks could fill the log forever, since with a full log
    /// nothing is bound, and without new bindings no segment is written.
    pub fn remove(&mut self, job: &JobId, task: u32, attempt: Option<u64>) {
        let id = TaskId::new(job, task);
        let Some(&location) = self.locations.get(&id) else { return };
        let segment = &mut self.segments[location.segment];
        let Some(&bound) = segment.entries.get(&id) else { return };
        if attempt.is_some_and(|attempt| attempt != bound) {
            return;
        }
        segment.entries.remove(&id);
        let freed_job_bytes = if segment.contains_job(job) { 0 } else { job_bytes(job) };
        segment.bytes = segment.bytes.saturating_sub(location.bytes + freed_job_bytes);
        self.by_attempt.remove(&(bound, id.job.clone(), task));
        self.returned_to_log.remove(&id);
        self.locations.remove(&id);
    }
}
