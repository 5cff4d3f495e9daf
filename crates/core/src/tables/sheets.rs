//! The ledger's sheets as the leader holds them: new bindings of all jobs, until chunks have taken
//! them over.

use crate::Time;
use crate::constants::*;
use crate::job::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
}

impl Ledger {
    /// Notes a new binding, to be written soon.
    pub fn add(&mut self, job: &JobId, task: u32, launch: u64, value_bytes: usize) {
        let size = entry_bytes(job);
        let most = value_bytes.min(SHEET_BYTES);
        let room = |s: &Sheet| s.bytes + size <= most;
        let index = match self.sheets.iter().position(room) {
            Some(n) => n,
            None => {
                self.sheets.push(Sheet::default());
                self.sheets.len() - 1
            }
        };
        self.forget(job, task, None);
        let sheet = &mut self.sheets[index];
        sheet.entries.insert((job.clone(), task), launch);
        sheet.bytes += size;
        sheet.dirty = true;
    }

    /// Bindings that the ledger may still take: what is beyond waits for chunks to take some over.
    pub fn room(&self) -> usize {
        LEDGER_MOST.saturating_sub(self.len())
    }

    /// Bindings on the sheets.
    pub fn len(&self) -> usize {
        self.sheets.iter().map(|s| s.entries.len()).sum()
    }

    /// Whether no binding is on a sheet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A binding leaves the sheets: a chunk that holds it is committed, or a later one of the same
    /// task takes its place. `launch`: only if it is that one.
    pub fn forget(&mut self, job: &JobId, task: u32, launch: Option<u64>) {
        let key = (job.clone(), task);
        for sheet in &mut self.sheets {
            let held = sheet.entries.get(&key);
            if held.is_some_and(|found| launch.is_none_or(|l| l == *found)) {
                sheet.entries.remove(&key);
                sheet.bytes = sheet.bytes.saturating_sub(entry_bytes(job));
            }
        }
    }
}

/// Bytes of a binding in JSON form, at most, with its job's name: as if it were the job's only one.
pub fn entry_bytes(job: &JobId) -> usize {
    job.len() + 8 + BINDING_BYTES
}
