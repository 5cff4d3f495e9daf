//! The ledger's sheets as the leader holds them: new bindings of all jobs, until chunks have taken
//! them over.

use crate::Time;
use crate::constants::{BINDING_LOG_MAX, SEGMENT_BYTES, SEGMENT_HEADER_BYTES, SEGMENT_JOB_BYTES};
use crate::job::{Binding, JobId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the store holds of a sheet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSegmentRecord {
    /// Number of the write.
    #[serde(rename = "w")]
    pub write_number: u64,
    /// Bindings by job.
    #[serde(rename = "b", default)]
    pub bindings: BTreeMap<String, Vec<Binding>>,
}

/// A sheet as the leader holds it.
#[derive(Debug, Default)]
pub struct LogSegment {
    pub(crate) mod_revision: u64,
    pub(crate) entries: BTreeMap<(JobId, u32), u64>,
    pub(crate) bytes: usize,
    pub(crate) dirty: bool,
}

impl LogSegment {
    /// What a binding adds to the sheet, bytes: the first of a job brings the job's name.
    fn added_bytes(&self, job: &JobId, bound: &Binding) -> usize {
        bound.bytes() + if self.contains_job(job) { 0 } else { name_bytes(job) }
    }

    /// Whether a binding of a job is on it.
    fn contains_job(&self, job: &JobId) -> bool {
        let next = self.entries.range((job.clone(), 0)..).next();
        next.is_some_and(|((id, _), _)| id == job)
    }
}

/// What a job takes on a sheet beside its bindings, bytes.
fn name_bytes(job: &JobId) -> usize {
    job.len() + SEGMENT_JOB_BYTES
}

/// A transaction of the ledger on its way.
#[derive(Debug, Clone)]
pub struct InFlightLogWrite {
    pub(crate) write_number: u64,
    pub(crate) segments: Vec<usize>,
    pub(crate) bindings: Vec<(JobId, u32, u64)>,
    /// Bindings taken back from chunks that it holds.
    pub(crate) returned_to_log: Vec<(JobId, u32)>,
    /// Keys still to be read after a conflict.
    pub(crate) unread: Vec<String>,
    pub(crate) applied_revision: Option<u64>,
}

/// The sheets, and the transaction on its way.
#[derive(Debug, Default)]
pub struct BindingLog {
    pub(crate) segments: Vec<LogSegment>,
    pub(crate) in_flight: Option<InFlightLogWrite>,
    /// No write before that.
    pub(crate) next_write_at: Time,
    /// The sheet of each binding, and its size there.
    locations: HashMap<(JobId, u32), (usize, usize)>,
    /// Bindings by launch: the oldest come first.
    by_attempt: BTreeSet<(u64, JobId, u32)>,
    /// Bindings that a chunk holds and can hold no longer: taken back, and not committed on their sheet yet.
    pub(crate) returned_to_log: BTreeSet<(JobId, u32)>,
}

impl BindingLog {
    /// Notes a new binding, to be written soon: on a sheet that is to be written anyway, else on the one
    /// with most room. What is full of old bindings is left alone, since a sheet is written whole.
    pub fn add(&mut self, job: &JobId, bound: &Binding, value_bytes: usize) {
        let most = value_bytes.min(SEGMENT_BYTES).saturating_sub(SEGMENT_HEADER_BYTES);
        self.forget(job, bound.task, None);
        let roomy = |(_, s): &(usize, &LogSegment)| s.bytes + s.added_bytes(job, bound) <= most;
        let with_room = self.segments.iter().enumerate().filter(roomy);
        let best = with_room.min_by_key(|(_, s)| (!s.dirty, s.bytes)).map(|(n, _)| n);
        let index = best.unwrap_or_else(|| {
            self.segments.push(LogSegment::default());
            self.segments.len() - 1
        });
        self.put(index, job, bound);
        self.segments[index].dirty = true;
    }

    /// Takes back what a job's chunk has no room for any more, since values have become smaller: it is committed on a
    /// sheet before the chunk is written without it.
    pub fn return_to_log(&mut self, job: &JobId, bound: &Binding, value_bytes: usize) {
        self.add(job, bound, value_bytes);
        self.returned_to_log.insert((job.clone(), bound.task));
    }

    /// Whether a binding was taken back and is not on its sheet yet: its chunk alone tells of it.
    pub fn awaits_commit(&self, job: &JobId, task: u32) -> bool {
        !self.returned_to_log.is_empty() && self.returned_to_log.contains(&(job.clone(), task))
    }

    /// A sheet was committed with this binding on it.
    pub(crate) fn on_committed(&mut self, job: &JobId, task: u32) {
        self.returned_to_log.remove(&(job.clone(), task));
    }

    /// A binding is on a sheet.
    pub(crate) fn put(&mut self, index: usize, job: &JobId, bound: &Binding) {
        let sheet = &mut self.segments[index];
        sheet.bytes += sheet.added_bytes(job, bound);
        sheet.entries.insert((job.clone(), bound.task), bound.attempt);
        self.locations.insert((job.clone(), bound.task), (index, bound.bytes()));
        self.by_attempt.insert((bound.attempt, job.clone(), bound.task));
    }

    /// Whether a sheet holds the binding of a task.
    pub fn holds(&self, job: &JobId, task: u32) -> bool {
        self.locations.contains_key(&(job.clone(), task))
    }

    /// Bindings that the ledger may still take: what is beyond waits for chunks to take some over.
    pub fn room(&self) -> usize {
        BINDING_LOG_MAX.saturating_sub(self.len())
    }

    /// Bindings on the sheets.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no binding is on a sheet.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// The oldest bindings beyond so many: chunks are to take them over.
    pub fn beyond(&self, most: usize) -> impl Iterator<Item = (&JobId, u32)> {
        let over = self.len().saturating_sub(most);
        self.by_attempt.iter().take(over).map(|(_, job, task)| (job, *task))
    }

    /// A binding leaves the sheets: its task is done or released, a chunk that holds it is committed, or
    /// a later one of the same task takes its place. `launch`: only if it is that one. What is over and
    /// stayed here until its sheet was written again once filled the ledger for good: nothing more
    /// could be bound, so no sheet was ever written again.
    pub fn forget(&mut self, job: &JobId, task: u32, launch: Option<u64>) {
        let key = (job.clone(), task);
        let Some(&(index, size)) = self.locations.get(&key) else { return };
        let sheet = &mut self.segments[index];
        let Some(&held) = sheet.entries.get(&key) else { return };
        if launch.is_none_or(|l| l == held) {
            sheet.entries.remove(&key);
            let name = if sheet.contains_job(job) { 0 } else { name_bytes(job) };
            sheet.bytes = sheet.bytes.saturating_sub(size + name);
            self.by_attempt.remove(&(held, key.0.clone(), task));
            self.returned_to_log.remove(&key);
            self.locations.remove(&key);
        }
    }
}
