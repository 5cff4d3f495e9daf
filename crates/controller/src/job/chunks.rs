//! Contents of a job's chunk records, and how a new leader restores a job from them and from the binding log. A chunk
//! covers a fixed range of the job's tasks; `controller/chunks.rs` writes and reads the records.

use super::record::{binding_runs, task_range_bytes, task_ranges};
use super::{Attempt, Binding, BindingChunk, BindingRun, FinalRecord, Job, TaskSet};
use crate::Time;
use crate::constants::{CHUNK_OVERHEAD_BYTES, COMPACTION_DELAY_MS, MAX_TASK_RANGE_BYTES};
use std::cmp::Reverse;
use std::ops::Range;

/// An attempt of one of the job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task's number in the job.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
}

/// A job's transaction that was sent and whose outcome is not known.
#[derive(Debug, Clone)]
pub struct InFlightTransaction {
    /// Number of the write, stored in each chunk that it writes: a later read tells by it whether the write was
    /// applied.
    pub write_number: u64,
    /// The chunks that it writes.
    pub chunks: Vec<u32>,
    /// Attempts whose bindings it writes.
    pub bindings: Vec<TaskAttempt>,
    /// Tasks that it records as done.
    pub done: Vec<u32>,
    /// The final record, if it finishes the job.
    pub final_record: Option<FinalRecord>,
}

/// What a chunk write does with bindings that the binding log holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoggedBindings {
    /// They stay in the log.
    Leave,
    /// The chunk takes over as many as fit, so that the log can drop them (compaction).
    TakeOver,
}

/// Encoding of bindings in a chunk's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingEncoding {
    /// One by one: every version reads it.
    Single,
    /// Consecutive tasks with the same machine and attempt number as runs.
    Runs,
}

/// How a chunk's record is to be written.
#[derive(Debug, Clone, Copy)]
pub struct ChunkWrite {
    /// Number of the write.
    pub write_number: u64,
    /// The latest attempt number issued so far.
    pub last_attempt: u64,
    /// The largest value that the store takes, bytes.
    pub max_bytes: usize,
    /// What is done with bindings in the log.
    pub logged: LoggedBindings,
    /// Encoding of the bindings that are not in the log.
    pub encoding: BindingEncoding,
}

/// Contents of a chunk's record within a bounded size.
struct ChunkContents {
    /// Tasks to be recorded as done, as inclusive ranges.
    done: Vec<(u32, u32)>,
    /// Bindings that are not in the binding log and fit into the record one by one.
    fitting: Vec<Binding>,
    /// Bindings that are not in the binding log and fit into the record as runs of consecutive tasks.
    runs: Vec<BindingRun>,
    /// Bindings that are not in the binding log and do not fit.
    overflowing: Vec<Binding>,
    /// Bytes still free.
    bytes_left: usize,
}

impl ChunkContents {
    fn add_binding(&mut self, binding: Binding) {
        if let Err(binding) = self.try_add_binding(binding) {
            self.overflowing.push(binding);
        }
    }

    /// Adds a binding that fits, and returns one that does not.
    fn try_add_binding(&mut self, binding: Binding) -> Result<(), Binding> {
        let size = binding.bytes();
        if size > self.bytes_left {
            return Err(binding);
        }
        self.bytes_left -= size;
        self.fitting.push(binding);
        Ok(())
    }

    fn add_run(&mut self, run: BindingRun) {
        let size = run.bytes();
        if run.last_task == run.first.task {
            self.add_binding(run.first);
        } else if size <= self.bytes_left {
            self.bytes_left -= size;
            self.runs.push(run);
        } else {
            self.overflowing.extend(run.bindings());
        }
    }
}

/// Size of task ranges as JSON, each with a comma, bytes.
fn ranges_bytes(ranges: &[(u32, u32)]) -> usize {
    ranges.iter().copied().map(task_range_bytes).sum()
}

/// Whether one of these inclusive ranges, in ascending order, contains a task.
fn contains_task(ranges: &[(u32, u32)], task: u32) -> bool {
    let preceding = ranges.partition_point(|(first, _)| *first <= task);
    ranges[..preceding].last().is_some_and(|(_, last)| task <= *last)
}

impl Job {
    /// The chunk of a task.
    pub fn chunk_of(&self, task: u32) -> u32 {
        task / self.chunk_tasks
    }

    /// The tasks that a chunk covers.
    fn chunk_range(&self, chunk: u32) -> Range<u32> {
        let first = chunk * self.chunk_tasks;
        first..(first + self.chunk_tasks).min(self.spec.tasks)
    }

    /// Marks a task's chunk as to be written without delay, since no binding log segment holds the task's new binding.
    pub fn mark_chunk_due(&mut self, task: u32, now: Time) {
        let since = now.saturating_sub(COMPACTION_DELAY_MS);
        self.dirty_chunks.entry(self.chunk_of(task)).or_insert(since);
    }

    /// Marks a task's chunk as to be written. The time of the first change since the last write is kept.
    pub fn mark_chunk_dirty(&mut self, task: u32, now: Time) {
        self.dirty_chunks.entry(self.chunk_of(task)).or_insert(now);
    }

    /// Whether chunk writes commit bindings of it for the first time. Its gang can start only after that.
    pub fn commits_new_bindings(&self) -> bool {
        self.commits_in_chunks && self.attempts.counts().committing > 0
    }

    /// Returns a predicate of tasks whose binding is not committed: whether no transaction with the binding was ever sent.
    /// False for every task of a job whose bindings are in the binding log.
    pub fn tasks_never_written(&self) -> impl Fn(u32) -> bool + use<> {
        let in_flight = self.in_flight.as_ref();
        let in_flight: Vec<u32> =
            in_flight.map_or_else(Vec::new, |transaction| transaction.chunks.clone());
        let (commits_in_chunks, chunk_tasks) = (self.commits_in_chunks, self.chunk_tasks);
        move |task| commits_in_chunks && !in_flight.contains(&(task / chunk_tasks))
    }

    /// Whether a chunk's record need not be written: it is empty, and so is what the store holds of the chunk.
    pub fn is_needless(&self, chunk: u32, record: &BindingChunk) -> bool {
        let is_empty =
            record.done.is_empty() && record.bindings.is_empty() && record.runs.is_empty();
        self.commits_in_chunks && is_empty && !self.is_chunk_stored(chunk)
    }

    /// Whether the store holds a chunk's record, or may soon.
    pub(super) fn is_chunk_stored(&self, chunk: u32) -> bool {
        let in_flight = self.in_flight.as_ref();
        self.chunk_revisions.contains_key(&chunk)
            || in_flight.is_some_and(|transaction| transaction.chunks.contains(&chunk))
    }

    /// Tasks of a chunk that have an attempt.
    pub fn tasks_in_chunk(&self, chunk: u32) -> impl Iterator<Item = u32> {
        self.attempts.range(self.chunk_range(chunk)).map(|(task, _)| *task)
    }

    /// Tasks of a chunk that have ended with success and that the store does not hold as done.
    pub fn completed_in_chunk(&self, chunk: u32) -> impl Iterator<Item = u32> {
        let attempts = self.attempts.range(self.chunk_range(chunk));
        attempts.filter(|(_, attempt)| attempt.is_completed()).map(|(task, _)| *task)
    }

    /// Bindings that are not in the binding log and do not fit into a chunk's record: they were stored when the
    /// store allowed larger values. `is_logged` tells whether the log holds a task's binding.
    pub fn overflowing_bindings(
        &self,
        chunk: u32,
        write: ChunkWrite,
        is_logged: impl Fn(u32) -> bool,
    ) -> Vec<Binding> {
        self.chunk_contents(chunk, write, is_logged).overflowing
    }

    fn chunk_contents(
        &self,
        chunk: u32,
        write: ChunkWrite,
        is_logged: impl Fn(u32) -> bool,
    ) -> ChunkContents {
        let done = self.storable_done(chunk, write.max_bytes);
        let bytes_left = write
            .max_bytes
            .saturating_sub(CHUNK_OVERHEAD_BYTES + done.len() * MAX_TASK_RANGE_BYTES);
        let is_unlogged = |binding: &Binding| !is_logged(binding.task);
        let unrecorded: Vec<Binding> =
            self.unrecorded_bindings(chunk, &done).filter(is_unlogged).collect();
        let mut contents = ChunkContents {
            done,
            fitting: Vec::new(),
            runs: Vec::new(),
            overflowing: Vec::new(),
            bytes_left,
        };
        let unlogged = self.live_bindings(chunk).filter(is_unlogged);
        match write.encoding {
            BindingEncoding::Single => unlogged.for_each(|binding| contents.add_binding(binding)),
            BindingEncoding::Runs => {
                binding_runs(unlogged).into_iter().for_each(|run| contents.add_run(run));
            }
        }
        for binding in unrecorded {
            // Without room for it a new leader runs the task again, which yields the same result.
            let _ = contents.try_add_binding(binding);
        }
        contents
    }

    /// Bindings of a chunk whose attempts are not known to have exited.
    fn live_bindings(&self, chunk: u32) -> impl Iterator<Item = Binding> {
        let attempts = self.attempts.range(self.chunk_range(chunk));
        attempts
            .filter(|(_, attempt)| attempt.occupies_resources())
            .map(|(task, attempt)| attempt.binding(*task))
    }

    /// Bindings of completed tasks of a chunk that are not among those recorded as done. A new leader that knows them
    /// finds the results on their machines.
    fn unrecorded_bindings(
        &self,
        chunk: u32,
        done: &[(u32, u32)],
    ) -> impl Iterator<Item = Binding> {
        let attempts = self.attempts.range(self.chunk_range(chunk));
        attempts
            .filter(|(task, attempt)| attempt.is_completed() && !contains_task(done, **task))
            .map(|(task, attempt)| attempt.binding(*task))
    }

    /// Whether the tasks that a chunk must record as done fit into a value of this many bytes. They may not fit if the
    /// chunk was stored when the store allowed larger values: it can then be written once tasks between them have ended,
    /// so that there are fewer ranges.
    pub fn has_room_for_done(&self, chunk: u32, max_bytes: usize) -> bool {
        ranges_bytes(&self.storable_done(chunk, max_bytes)) + CHUNK_OVERHEAD_BYTES <= max_bytes
    }

    /// The tasks that a chunk of this many bytes records as done, as inclusive ranges: all that the store holds already,
    /// and of the other completed ones as many as fit. Those adjacent to recorded ones need no further range.
    fn storable_done(&self, chunk: u32, max_bytes: usize) -> Vec<(u32, u32)> {
        let recorded = self.done.range(self.chunk_range(chunk));
        let all: TaskSet = recorded.chain(self.completed_in_chunk(chunk)).collect();
        let is_recorded =
            |range: &(u32, u32)| (range.0..=range.1).any(|task| self.done.contains(&task));
        let (mut stored, mut others): (Vec<_>, Vec<_>) =
            task_ranges(&all).into_iter().partition(is_recorded);
        others.sort_by_key(|(first, last)| Reverse(last - first));
        let mut bytes = CHUNK_OVERHEAD_BYTES + ranges_bytes(&stored);
        for range in others {
            bytes += task_range_bytes(range);
            if bytes > max_bytes {
                break;
            }
            stored.push(range);
        }
        stored.sort_unstable();
        stored
    }

    /// The up-to-date record of a chunk, within `write.max_bytes`. `is_logged` tells whether the binding log holds a
    /// task's binding. Bindings that are not in the log and do not fit must have been returned to the log before
    /// ([`Job::overflowing_bindings`]).
    pub fn chunk_record(
        &self,
        chunk: u32,
        write: ChunkWrite,
        is_logged: impl Fn(u32) -> bool,
    ) -> BindingChunk {
        let contents = self.chunk_contents(chunk, write, &is_logged);
        let mut bytes_left = contents.bytes_left;
        let unrecorded = self.unrecorded_bindings(chunk, &contents.done);
        let logged: Vec<Binding> = self
            .live_bindings(chunk)
            .chain(unrecorded)
            .filter(|binding| is_logged(binding.task))
            .collect();
        let mut record = BindingChunk {
            write_number: write.write_number,
            covers: write.last_attempt,
            done: contents.done,
            bindings: contents.fitting,
            runs: contents.runs,
        };
        // A reader takes attempts later than `covers` from the log, so `covers` must precede every attempt that the
        // record lacks.
        let uncover = |covers: &mut u64, attempt: u64| {
            *covers = (*covers).min(attempt.saturating_sub(1));
        };
        for binding in contents.overflowing {
            uncover(&mut record.covers, binding.attempt);
        }
        for binding in logged {
            let size = binding.bytes();
            if write.logged == LoggedBindings::TakeOver && size <= bytes_left {
                bytes_left -= size;
                record.bindings.push(binding);
            } else {
                uncover(&mut record.covers, binding.attempt);
            }
        }
        record
    }

    /// Restores a chunk read from the store. Must be called before any [`Job::restore_log_binding`].
    pub fn restore_chunk(
        &mut self,
        chunk: u32,
        record: &BindingChunk,
        mod_revision: u64,
        now: Time,
    ) {
        self.chunk_revisions.insert(chunk, mod_revision);
        self.chunk_covers.insert(chunk, record.covers);
        for &(first, last) in &record.done {
            for task in first..=last.min(self.spec.tasks.saturating_sub(1)) {
                self.waiting.remove(&task);
                self.done.insert(task);
            }
        }
        for binding in record.all_bindings() {
            if binding.task < self.spec.tasks && self.waiting.remove(&binding.task) {
                self.attempts.insert(binding.task, Attempt::restored(&binding, now));
            }
        }
    }

    /// Restores a binding read from the binding log, unless its chunk covers it or a later attempt of its task is
    /// known. Must be called after all chunks are restored. Returns whether it was restored.
    pub fn restore_log_binding(&mut self, binding: &Binding, now: Time) -> bool {
        let chunk = self.chunk_of(binding.task);
        let covered = self.chunk_covers.get(&chunk).copied().unwrap_or(0);
        let known = self.attempts.get(&binding.task);
        let is_newest = known.is_none_or(|attempt| attempt.number < binding.attempt);
        if binding.task >= self.spec.tasks
            || binding.attempt <= covered
            || self.done.contains(&binding.task)
            || !is_newest
        {
            return false;
        }
        self.waiting.remove(&binding.task);
        self.attempts.insert(binding.task, Attempt::restored(binding, now));
        true
    }
}
