//! The ledger's sheets as the leader holds them: new bindings of all jobs, until chunks have taken
//! them over.

use crate::Time;
use crate::constants::*;
use crate::job::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the store holds of a sheet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Number of the write.
    #[serde(rename = "w")]
    pub nonce: u64,
    /// Bindings by job.
    #[serde(rename = "b", default)]
    pub bound: BTreeMap<String, Vec<Bound>>,
}

/// A sheet as the leader holds it.
#[derive(Debug, Default)]
pub struct Sheet {
    pub(crate) stamp: u64,
    pub(crate) entries: BTreeMap<(JobId, u32), u64>,
    pub(crate) bytes: usize,
    pub(crate) dirty: bool,
}

/// A transaction of the ledger on its way.
#[derive(Debug, Clone)]
pub struct Passage {
    pub(crate) nonce: u64,
    pub(crate) sheets: Vec<usize>,
    pub(crate) bound: Vec<(JobId, u32, u64)>,
    /// Keys still to be read after a conflict.
    pub(crate) unread: Vec<String>,
    pub(crate) applied: Option<u64>,
}

/// The sheets, and the transaction on its way.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(crate) sheets: Vec<Sheet>,
    pub(crate) passage: Option<Passage>,
    pub(crate) written_at: Time,
    /// The sheet of each binding.
    places: HashMap<(JobId, u32), usize>,
    /// Bindings by launch: the oldest come first.
    ages: BTreeSet<(u64, JobId, u32)>,
}

impl Ledger {
    /// Notes a new binding, to be written soon: on a sheet that is to be written anyway, else on the one
    /// with most room. What is full of old bindings is left alone, since a sheet is written whole.
    pub fn add(&mut self, job: &JobId, task: u32, launch: u64, value_bytes: usize) {
        let size = entry_bytes(job);
        let most = value_bytes.min(SHEET_BYTES);
        self.forget(job, task, None);
        let roomy = |(_, s): &(usize, &Sheet)| s.bytes + size <= most;
        let with_room = self.sheets.iter().enumerate().filter(roomy);
        let best = with_room.min_by_key(|(_, s)| (!s.dirty, s.bytes)).map(|(n, _)| n);
        let index = best.unwrap_or_else(|| {
            self.sheets.push(Sheet::default());
            self.sheets.len() - 1
        });
        self.put(index, job, task, launch);
        self.sheets[index].dirty = true;
    }

    /// A binding is on a sheet.
    pub(crate) fn put(&mut self, index: usize, job: &JobId, task: u32, launch: u64) {
        let sheet = &mut self.sheets[index];
        sheet.entries.insert((job.clone(), task), launch);
        sheet.bytes += entry_bytes(job);
        self.places.insert((job.clone(), task), index);
        self.ages.insert((launch, job.clone(), task));
    }

    /// Bindings that the ledger may still take: what is beyond waits for chunks to take some over.
    pub fn room(&self) -> usize {
        LEDGER_MOST.saturating_sub(self.len())
    }

    /// Bindings on the sheets.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no binding is on a sheet.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The oldest bindings beyond so many: chunks are to take them over.
    pub fn beyond(&self, most: usize) -> impl Iterator<Item = (&JobId, u32)> {
        let over = self.len().saturating_sub(most);
        self.ages.iter().take(over).map(|(_, job, task)| (job, *task))
    }

    /// A binding leaves the sheets: its task is done or released, a chunk that holds it is committed, or
    /// a later one of the same task takes its place. `launch`: only if it is that one. What is over and
    /// stayed here until its sheet was written again once filled the ledger for good: nothing more
    /// could be bound, so no sheet was ever written again.
    pub fn forget(&mut self, job: &JobId, task: u32, launch: Option<u64>) {
        let key = (job.clone(), task);
        let Some(&index) = self.places.get(&key) else { return };
        let sheet = &mut self.sheets[index];
        let Some(&held) = sheet.entries.get(&key) else { return };
        if launch.is_none_or(|l| l == held) {
            sheet.entries.remove(&key);
            sheet.bytes = sheet.bytes.saturating_sub(entry_bytes(job));
            self.ages.remove(&(held, key.0.clone(), task));
            self.places.remove(&key);
        }
    }
}

/// Bytes of a binding in JSON form, at most, with its job's name: as if it were the job's only one.
pub fn entry_bytes(job: &JobId) -> usize {
    job.len() + 8 + BINDING_BYTES
}
