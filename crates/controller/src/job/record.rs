//! What the state service holds of a job, in compact form.

use super::{JobId, JobSpec, MachineId};
use crate::constants::{BINDING_BYTES, CHUNK_BYTES, CHUNK_TASKS_MAX, RANGE_BYTES};
use crate::settings::StoreSettings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use swiftsail_dag::JobOutcome;

/// Prefixes and keys in the state service.
pub mod keys {
    /// Accepted jobs that are not over.
    pub const JOBS: &str = "job/";
    /// Jobs that are over, kept for good.
    pub const FINALS: &str = "end/";
    /// Bindings of tasks, in chunks.
    pub const BINDINGS: &str = "bind/";
    /// Sheets of the ledger: new bindings of all jobs.
    pub const SHEETS: &str = "sheet/";
    /// Plug-ins: records, and their sources in chunks.
    pub const PLUGINS: &str = "plug/";
    /// Records that outlive controllers: tiers, dispatch, loans.
    pub const ORDER: &str = "order/";
    /// The form of records in use, once every controller reads it: see `node::rollout`.
    pub const FORM: &str = "term/form";
    /// The leader's key.
    pub const LEADER: &str = "term/leader";
    /// Prefix of the leader's key.
    pub const TERM: &str = "term/";
    /// The machine types.
    pub const TYPES: &str = "types/all";

    /// Key of a live job.
    pub fn job(id: &str) -> String {
        format!("{JOBS}{id}")
    }
    /// Key of a sheet.
    pub fn sheet(number: usize) -> String {
        format!("{SHEETS}{number:03}")
    }
    /// Key of a final job.
    pub fn end(id: &str) -> String {
        format!("{FINALS}{id}")
    }
    /// Key of a job's last place, or of its first.
    pub fn place(id: &str, last: bool) -> String {
        if last { end(id) } else { job(id) }
    }
}

/// Key of a chunk of bindings.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{}{id}/{chunk:05}", keys::BINDINGS)
}

/// Tasks in a chunk, so that what is done of them fits in a value however it is scattered. Bindings that
/// find no room beside it stay in the ledger.
pub fn chunk_size(state: &StoreSettings) -> u32 {
    let bytes = (state.value_kb * 1024.0) as usize;
    let ranges = bytes.saturating_sub(CHUNK_BYTES) / RANGE_BYTES;
    // Scattered at worst, every second task is done.
    (ranges as u32).saturating_mul(2).clamp(1, CHUNK_TASKS_MAX)
}

/// A live job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "EncodedRecord", into = "EncodedRecord")]
pub struct JobRecord {
    /// Whether its user has cancelled it.
    pub cancelled: bool,
    /// Time of day of its cancellation, ms.
    pub cancelled_wall: u64,
    /// Time of day of its acceptance, ms.
    pub accepted_wall: u64,
    /// Tasks in a chunk: fixed at acceptance, so that no change of settings moves a task.
    pub chunk_tasks: u32,
    /// Number that tells this writing from any other.
    #[serde(rename = "nonce")]
    pub write_number: u64,
    /// Name of the tier that it was accepted into, where tiers are held in the state service.
    pub tier: Option<String>,
    /// The jobs that have to be done before any task of it starts.
    #[serde(rename = "awaits")]
    pub depends_on: Vec<JobId>,
    /// What it asks for.
    pub spec: JobSpec,
}

/// A live job as it is written. What a job that awaits others asks for stands under another name than ever before:
/// an earlier version, which would start it at once, cannot read it and leaves it as it is.
#[derive(Serialize, Deserialize)]
struct EncodedRecord {
    #[serde(rename = "x", default)]
    cancelled: bool,
    #[serde(rename = "xat", default)]
    cancelled_wall: u64,
    #[serde(rename = "at")]
    accepted_wall: u64,
    #[serde(rename = "c")]
    chunk_tasks: u32,
    #[serde(rename = "w", default)]
    nonce: u64,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    tier: Option<String>,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    waiting: Option<(Vec<String>, JobSpec)>,
}

impl TryFrom<EncodedRecord> for JobRecord {
    type Error = &'static str;

    fn try_from(w: EncodedRecord) -> Result<JobRecord, &'static str> {
        let (awaits, spec) = match (w.spec, w.waiting) {
            (Some(spec), None) => (Vec::new(), spec),
            (None, Some((awaits, spec))) => (awaits.into_iter().map(JobId::from).collect(), spec),
            _ => return Err("a job's record asks for nothing, or twice"),
        };
        Ok(JobRecord {
            cancelled: w.cancelled,
            cancelled_wall: w.cancelled_wall,
            accepted_wall: w.accepted_wall,
            chunk_tasks: w.chunk_tasks,
            write_number: w.nonce,
            tier: w.tier,
            depends_on: awaits,
            spec,
        })
    }
}

impl From<JobRecord> for EncodedRecord {
    fn from(r: JobRecord) -> EncodedRecord {
        let awaits: Vec<String> = r.depends_on.iter().map(|id| id.to_string()).collect();
        let (spec, waiting) = match awaits.is_empty() {
            true => (Some(r.spec), None),
            false => (None, Some((awaits, r.spec))),
        };
        EncodedRecord {
            cancelled: r.cancelled,
            cancelled_wall: r.cancelled_wall,
            accepted_wall: r.accepted_wall,
            chunk_tasks: r.chunk_tasks,
            nonce: r.write_number,
            tier: r.tier,
            spec,
            waiting,
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// Every task is done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled.
    #[serde(rename = "x")]
    Cancelled,
}

/// A job that is over.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How.
    #[serde(rename = "e")]
    pub state: FinalState,
    /// Tasks done.
    #[serde(rename = "n")]
    pub done: u32,
    /// Time of day of the end, ms: from then on the times of what awaits it count. None: an earlier version's.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub at_wall: Option<u64>,
}

impl FinalRecord {
    /// What follows from it for jobs that await this one; of an earlier version's the time is that of the look.
    pub fn fate(&self, now_wall: u64) -> JobOutcome {
        match self.state {
            FinalState::Done => JobOutcome::Done(self.at_wall.unwrap_or(now_wall)),
            FinalState::Cancelled => JobOutcome::Cancelled,
        }
    }
}

/// What the key of an accepted job holds.
#[derive(Debug, Clone, PartialEq)]
pub enum StoredJob {
    /// It is not over.
    Live(Box<JobRecord>),
    /// It is over, and its record has not moved to its last place yet.
    Finished(FinalRecord),
}

impl StoredJob {
    /// Reads a value; none if it is neither.
    pub fn read(value: &serde_json::Value) -> Option<StoredJob> {
        let live = JobRecord::deserialize(value).map(|r| StoredJob::Live(Box::new(r)));
        live.or_else(|_| FinalRecord::deserialize(value).map(StoredJob::Finished)).ok()
    }
}

/// One binding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, String, u64)", into = "(u32, u64, String, u64)")]
pub struct Binding {
    /// Task.
    pub task: u32,
    /// Attempt.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// Machine.
    pub machine: MachineId,
    /// Its session.
    #[serde(rename = "watch")]
    pub worker_session: u64,
}

impl Binding {
    /// Its size in JSON form, with the comma behind it.
    pub fn bytes(&self) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let numbers =
            digits(u64::from(self.task)) + digits(self.attempt) + digits(self.worker_session);
        numbers + self.machine.len() + BINDING_BYTES
    }
}

impl From<(u32, u64, String, u64)> for Binding {
    fn from((task, launch, machine, watch): (u32, u64, String, u64)) -> Binding {
        Binding { task, attempt: launch, machine: machine.into(), worker_session: watch }
    }
}

impl From<Binding> for (u32, u64, String, u64) {
    fn from(b: Binding) -> Self {
        (b.task, b.attempt, b.machine.to_string(), b.worker_session)
    }
}

/// Bindings and finishes of a range of tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BindingChunk {
    /// Number of the write.
    #[serde(rename = "w")]
    pub write_number: u64,
    /// The latest launch given out when it was written: of its tasks, it holds every binding up to
    /// that one. Later ones are in the ledger.
    #[serde(rename = "l", default)]
    pub covers: u64,
    /// Tasks done, as ranges with both ends.
    #[serde(rename = "d", default)]
    pub done: Vec<(u32, u32)>,
    /// Attempts not proved gone.
    #[serde(rename = "b", default)]
    pub bindings: Vec<Binding>,
}

/// Tasks as ranges with both ends.
pub fn ranges(tasks: &BTreeSet<u32>) -> Vec<(u32, u32)> {
    let mut found: Vec<(u32, u32)> = Vec::new();
    for &task in tasks {
        match found.last_mut() {
            Some((_, to)) if *to + 1 == task => *to = task,
            _ => found.push((task, task)),
        }
    }
    found
}
