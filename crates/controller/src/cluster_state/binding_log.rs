//! The binding log in the leader's memory: which log segment holds which new binding, until a chunk has taken it over or
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
    /// A task of a job.
    pub fn new(job: &JobId, task: u32) -> TaskId {
        TaskId { job: job.clone(), task }
    }
}

/// Record of a log segment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSegmentRecord {
    /// Number of the write.
    #[serde(rename = "w")]
    pub write_number: u64,
    /// Bindings by job.
    #[serde(rename = "b", default)]
    pub bindings: BTreeMap<String, Vec<Binding>>,
}

/// A log segment as the leader holds it.
#[derive(Debug, Default)]
pub struct LogSegment {
    /// Mod revision of its record in the store; 0: there is none.
    pub(crate) mod_revision: u64,
    /// The attempt that is bound, by task.
    pub(crate) entries: BTreeMap<TaskId, u64>,
    /// Estimated size of its record without the header, bytes.
    pub(crate) bytes: usize,
    /// Its record in the store lacks a binding.
    pub(crate) dirty: bool,
}

impl LogSegment {
    /// What a binding adds to the record, bytes: the first of a job brings the job's name.
    fn added_bytes(&self, job: &JobId, binding: &Binding) -> usize {
        binding.bytes() + if self.contains_job(job) { 0 } else { job_bytes(job) }
    }

    fn contains_job(&self, job: &JobId) -> bool {
        let next = self.entries.range(TaskId::new(job, 0)..).next();
        next.is_some_and(|(id, _)| id.job == *job)
    }
}

/// What a job takes in a segment's record beside its bindings, bytes.
fn job_bytes(job: &JobId) -> usize {
    job.len() + SEGMENT_JOB_OVERHEAD_BYTES
}

/// A transaction of the log that was sent and whose outcome is not known.
#[derive(Debug, Clone)]
pub struct InFlightLogWrite {
    /// Number of the write, held in each segment it writes: by it a later read tells whether the write was applied.
    pub(crate) write_number: u64,
    /// Segments written.
    pub(crate) segments: Vec<usize>,
    /// Attempts that it commits.
    pub(crate) bindings: Vec<AttemptId>,
    /// Tasks whose bindings were returned from chunks, and that it commits in the log.
    pub(crate) returned_to_log: Vec<TaskId>,
    /// Keys still to be read after a conflict.
    pub(crate) unread: Vec<String>,
    /// Revision at which the write was applied, as found by such a read.
    pub(crate) applied_revision: Option<u64>,
}

/// Where the log holds a binding.
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
    /// No write before this.
    pub(crate) next_write_at: Time,
    locations: HashMap<TaskId, Location>,
    /// Attempt number, job and task of every binding in the log: the oldest come first.
    by_attempt: BTreeSet<(u64, JobId, u32)>,
    /// Tasks whose bindings a chunk holds and can hold no longer: they are in the log again, but not committed there yet.
    pub(crate) returned_to_log: BTreeSet<TaskId>,
}

impl BindingLog {
    /// Adds a new binding, to be written soon: to a segment that is to be written anyway, else to the one with most room.
    /// A segment full of old bindings is left alone, since a segment is written as a whole. `max_value_bytes` is the
    /// largest value that the store takes.
    pub fn add(&mut self, job: &JobId, binding: &Binding, max_value_bytes: usize) {
        let max_bytes =
            max_value_bytes.min(MAX_SEGMENT_BYTES).saturating_sub(SEGMENT_OVERHEAD_BYTES);
        self.remove(job, binding.task, None);
        let has_room = |(_, segment): &(usize, &LogSegment)| {
            segment.bytes + segment.added_bytes(job, binding) <= max_bytes
        };
        let with_room = self.segments.iter().enumerate().filter(has_room);
        let best = with_room.min_by_key(|(_, segment)| (!segment.dirty, segment.bytes));
        let index = best.map(|(index, _)| index).unwrap_or_else(|| {
            self.segments.push(LogSegment::default());
            self.segments.len() - 1
        });
        self.put(index, job, binding);
        self.segments[index].dirty = true;
    }

    /// Returns a binding to the log that its chunk has no room for any more, since the store's values have become
    /// smaller. It must be committed in a segment before the chunk is written without it ([`BindingLog::awaits_commit`]).
    pub fn return_to_log(&mut self, job: &JobId, binding: &Binding, max_value_bytes: usize) {
        self.add(job, binding, max_value_bytes);
        self.returned_to_log.insert(TaskId::new(job, binding.task));
    }

    /// Whether a binding was returned to the log and is not committed there: only its chunk holds it durably.
    pub fn awaits_commit(&self, job: &JobId, task: u32) -> bool {
        !self.returned_to_log.is_empty() && self.returned_to_log.contains(&TaskId::new(job, task))
    }

    /// A segment was committed with a binding that had been returned to the log.
    pub(crate) fn on_committed(&mut self, id: &TaskId) {
        self.returned_to_log.remove(id);
    }

    /// Places a binding in a segment, which must exist. The task must have no other in the log.
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

    /// How many more bindings the log may take. Further ones wait until chunks have taken some over.
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

    /// The oldest bindings, as far as the log holds more than `kept`: chunks are to take them over.
    pub fn oldest_beyond(&self, kept: usize) -> impl Iterator<Item = (&JobId, u32)> {
        let excess = self.len().saturating_sub(kept);
        self.by_attempt.iter().take(excess).map(|(_, job, task)| (job, *task))
    }

    /// Drops the binding of a task, if `attempt` is none or its attempt: the task is done or released, a chunk that holds
    /// the binding is committed, or a later binding takes its place. Dropped at once, not when the segment is next
    /// written: once, bindings of tasks that were over filled the log for good, since with a full log nothing more could
    /// be bound, and so no segment was ever written again.
    pub fn remove(&mut self, job: &JobId, task: u32, attempt: Option<u64>) {
        let id = TaskId::new(job, task);
        let Some(&location) = self.locations.get(&id) else { return };
        let segment = &mut self.segments[location.segment];
        let Some(&held) = segment.entries.get(&id) else { return };
        if attempt.is_some_and(|attempt| attempt != held) {
            return;
        }
        segment.entries.remove(&id);
        let freed_name = if segment.contains_job(job) { 0 } else { job_bytes(job) };
        segment.bytes = segment.bytes.saturating_sub(location.bytes + freed_name);
        self.by_attempt.remove(&(held, id.job.clone(), task));
        self.returned_to_log.remove(&id);
        self.locations.remove(&id);
    }
}
