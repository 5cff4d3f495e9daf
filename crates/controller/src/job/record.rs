//! Records of a job in the state service, in a compact encoding, and their keys. Records may have been written by any
//! controller of an earlier version, so their encoding must not change.

use super::{JobId, JobSpec, MachineId, TaskSet};
use crate::constants::{
    BINDING_OVERHEAD_BYTES, CHUNK_OVERHEAD_BYTES, MAX_CHUNK_TASKS, MAX_TASK_RANGE_BYTES,
    TASK_RANGE_OVERHEAD_BYTES,
};
use crate::settings::StoreSettings;
use serde::{Deserialize, Serialize};
use swiftsail_dag::JobOutcome;

/// Keys and key prefixes in the state service.
pub mod keys {
    /// Prefix of accepted jobs: unfinished ones, and finished ones whose final record has not been archived yet.
    pub const JOBS: &str = "job/";
    /// Prefix of archived final records, which are never deleted.
    pub const FINALS: &str = "end/";
    /// Prefix of binding chunks.
    pub const BINDINGS: &str = "bind/";
    /// Prefix of segments of the binding log.
    pub const SHEETS: &str = "sheet/";
    /// Prefix of plug-ins: their records, and their sources in chunks.
    pub const PLUGINS: &str = "plug/";
    /// Prefix of replicated records: tier table, deadline plan, GPU loans.
    pub const REPLICATED_RECORDS: &str = "order/";
    /// Key of the record format in use, written once every controller can read it (`controller::format_upgrade`).
    pub const RECORD_FORMAT: &str = "term/form";
    /// Key of the leadership record. Its mod revision is the fencing token.
    pub const LEADER: &str = "term/leader";
    /// Prefix of the leadership record and the record format.
    pub const TERM: &str = "term/";
    /// Key of the machine types.
    pub const MACHINE_TYPES: &str = "types/all";

    /// Key of an unfinished job, or of a finished one whose final record has not been archived yet.
    pub fn job(id: &str) -> String {
        format!("{JOBS}{id}")
    }

    /// Key of a segment of the binding log.
    pub fn log_segment(number: usize) -> String {
        format!("{SHEETS}{number:03}")
    }

    /// Key of an archived final record.
    pub fn final_record(id: &str) -> String {
        format!("{FINALS}{id}")
    }

    /// [`final_record`] if `final_key`, else [`job`].
    pub fn job_or_final_record(id: &str, final_key: bool) -> String {
        if final_key { final_record(id) } else { job(id) }
    }
}

/// Key of a binding chunk.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{}{id}/{chunk:05}", keys::BINDINGS)
}

/// Number of tasks that a chunk covers: so many that the ranges of tasks done fit into a stored value in the worst
/// case. Bindings that do not fit beside them stay in the binding log.
pub fn chunk_size(state: &StoreSettings) -> u32 {
    let max_ranges =
        state.max_value_bytes().saturating_sub(CHUNK_OVERHEAD_BYTES) / MAX_TASK_RANGE_BYTES;
    // In the worst case every second task is done: each range then covers one task, followed by a gap of one.
    (max_ranges as u32).saturating_mul(2).clamp(1, MAX_CHUNK_TASKS)
}

/// Record of an unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "EncodedRecord", into = "EncodedRecord")]
pub struct JobRecord {
    /// Whether its user has cancelled it.
    pub cancelled: bool,
    /// When it was cancelled: wall clock, ms.
    pub cancelled_wall: u64,
    /// When it was accepted: wall clock, ms.
    pub accepted_wall: u64,
    /// Number of tasks that a chunk covers. Fixed at acceptance, so that no change of settings moves a task to another
    /// chunk.
    pub chunk_tasks: u32,
    /// Number by which a write of the record is recognized after its response was lost.
    #[serde(rename = "nonce")]
    pub write_number: u64,
    /// Name of the tier that it was accepted into, if the tier table is stored in the state service.
    pub tier: Option<String>,
    /// Dependencies: jobs that must be done before any of its tasks starts.
    #[serde(rename = "awaits")]
    pub depends_on: Vec<JobId>,
    /// Its specification.
    pub spec: JobSpec,
}

/// How much of a job's record is kept when its cancellation is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CancelledForm {
    /// As much as a stored value of this many bytes has room for.
    AtMost(usize),
    /// Only what the job's end needs.
    Smallest,
}

impl JobRecord {
    /// The record of the job once it is cancelled at `cancelled_wall` (wall clock, ms).
    ///
    /// A record may have been accepted under wider limits of the state service than those in force. Since no task of a
    /// cancelled job starts any more, it can do without everything that only decides where and when its tasks start.
    /// What remains is that of a job without dependencies, which every version reads. It still has the tasks, their
    /// resources, the team and the checkpoint times, by which running tasks are stopped and counted until they are gone.
    pub fn into_cancelled(self, cancelled_wall: u64, form: CancelledForm) -> JobRecord {
        let fits = |record: &JobRecord| match form {
            CancelledForm::AtMost(max_bytes) => record.encoded_bytes() <= max_bytes,
            CancelledForm::Smallest => false,
        };
        let whole = JobRecord { cancelled: true, cancelled_wall, ..self };
        if fits(&whole) {
            return whole;
        }
        let without_lists = whole.without_lists();
        if fits(&without_lists) {
            return without_lists;
        }
        without_lists.without_texts()
    }

    /// Its size as JSON, bytes.
    pub fn encoded_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Without dependencies and allowed machine types, the lists of a record.
    fn without_lists(self) -> JobRecord {
        let spec = JobSpec { machine_types: None, ..self.spec };
        JobRecord { depends_on: Vec::new(), spec, ..self }
    }

    /// Without the texts that users choose. The team stays, since its quota is used until the tasks are gone.
    fn without_texts(self) -> JobRecord {
        let spec = JobSpec { class: String::new(), image: String::new(), zone: None, ..self.spec };
        JobRecord { tier: None, spec, ..self }
    }
}

/// Stored encoding of a [`JobRecord`]. The specification of a job with dependencies is stored in another field (`p`)
/// than that of one without (`j`): earlier versions, which would start the job at once, cannot read it and ignore the
/// record.
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
    write_number: u64,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    tier: Option<String>,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    independent: Option<JobSpec>,
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    dependent: Option<(Vec<String>, JobSpec)>,
}

/// A job record does not have exactly one specification.
#[derive(Debug, thiserror::Error)]
#[error("job record must contain exactly one of the fields `j` and `p`")]
struct AmbiguousSpec;

impl TryFrom<EncodedRecord> for JobRecord {
    type Error = AmbiguousSpec;

    fn try_from(encoded: EncodedRecord) -> Result<JobRecord, AmbiguousSpec> {
        let (depends_on, spec) = match (encoded.independent, encoded.dependent) {
            (Some(spec), None) => (Vec::new(), spec),
            (None, Some((ids, spec))) => (ids.into_iter().map(JobId::from).collect(), spec),
            (None, None) | (Some(_), Some(_)) => return Err(AmbiguousSpec),
        };
        Ok(JobRecord {
            cancelled: encoded.cancelled,
            cancelled_wall: encoded.cancelled_wall,
            accepted_wall: encoded.accepted_wall,
            chunk_tasks: encoded.chunk_tasks,
            write_number: encoded.write_number,
            tier: encoded.tier,
            depends_on,
            spec,
        })
    }
}

impl From<JobRecord> for EncodedRecord {
    fn from(record: JobRecord) -> EncodedRecord {
        let ids: Vec<String> = record.depends_on.iter().map(|id| id.to_string()).collect();
        let (independent, dependent) = match ids.is_empty() {
            true => (Some(record.spec), None),
            false => (None, Some((ids, record.spec))),
        };
        EncodedRecord {
            cancelled: record.cancelled,
            cancelled_wall: record.cancelled_wall,
            accepted_wall: record.accepted_wall,
            chunk_tasks: record.chunk_tasks,
            write_number: record.write_number,
            tier: record.tier,
            independent,
            dependent,
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

/// Record of a finished job.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How it ended.
    #[serde(rename = "e")]
    pub state: FinalState,
    /// Number of tasks done.
    #[serde(rename = "n")]
    pub done: u32,
    /// When it ended: wall clock, ms. From then on jobs that depend on it count as waiting. None in records of earlier
    /// versions.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ended_wall: Option<u64>,
}

impl FinalRecord {
    /// The outcome for jobs that depend on this one. `now_wall` (wall clock, ms) is used as the time of the end where
    /// an earlier version recorded none.
    pub fn outcome(&self, now_wall: u64) -> JobOutcome {
        match self.state {
            FinalState::Done => JobOutcome::Done(self.ended_wall.unwrap_or(now_wall)),
            FinalState::Cancelled => JobOutcome::Cancelled,
        }
    }
}

/// Value of a key with the prefix [`keys::JOBS`].
#[derive(Debug, Clone, PartialEq)]
pub enum StoredJob {
    /// The job is unfinished.
    Live(Box<JobRecord>),
    /// The job is finished, and its final record has not been archived under [`keys::FINALS`] yet.
    Finished(FinalRecord),
}

impl StoredJob {
    /// Decodes a stored value. None: it is neither.
    pub fn read(value: &serde_json::Value) -> Option<StoredJob> {
        let live = JobRecord::deserialize(value).map(|record| StoredJob::Live(Box::new(record)));
        live.or_else(|_| FinalRecord::deserialize(value).map(StoredJob::Finished)).ok()
    }
}

/// Number of decimal digits.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Size of an inclusive range of tasks as JSON with a trailing comma, bytes.
pub(super) fn task_range_bytes((first, last): (u32, u32)) -> usize {
    digits(u64::from(first)) + digits(u64::from(last)) + TASK_RANGE_OVERHEAD_BYTES
}

/// Binding of a task to a machine, stored as an array.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, String, u64)", into = "(u32, u64, String, u64)")]
pub struct Binding {
    /// The task's number in its job.
    pub task: u32,
    /// The attempt's number.
    #[serde(rename = "launch")]
    pub attempt: u64,
    /// The machine.
    pub machine: MachineId,
    /// Session of the machine's worker when the task was bound.
    #[serde(rename = "watch")]
    pub worker_session: u64,
}

impl Binding {
    /// Its size as JSON with a trailing comma, bytes.
    pub fn bytes(&self) -> usize {
        let numbers =
            digits(u64::from(self.task)) + digits(self.attempt) + digits(self.worker_session);
        numbers + self.machine.len() + BINDING_OVERHEAD_BYTES
    }
}

impl From<(u32, u64, String, u64)> for Binding {
    fn from((task, attempt, machine, worker_session): (u32, u64, String, u64)) -> Binding {
        Binding { task, attempt, machine: machine.into(), worker_session }
    }
}

impl From<Binding> for (u32, u64, String, u64) {
    fn from(binding: Binding) -> Self {
        (binding.task, binding.attempt, binding.machine.to_string(), binding.worker_session)
    }
}

/// Bindings of consecutive tasks to one machine under one attempt number, such as those of a gang's tasks on a machine.
/// Stored as an array. A version that cannot read them would start the tasks again, so they are written only once every
/// controller reads them (`controller::format_upgrade`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64, String, u64)", into = "(u32, u32, u64, String, u64)")]
pub struct BindingRun {
    /// The binding of the first task.
    pub first: Binding,
    /// Number of the last task in the job.
    pub last_task: u32,
}

impl BindingRun {
    /// Adds the binding of the next task if it differs from the others in the task alone. Returns whether it was added.
    fn extend(&mut self, binding: &Binding) -> bool {
        let is_next = binding.task == self.last_task + 1
            && binding.attempt == self.first.attempt
            && binding.worker_session == self.first.worker_session
            && binding.machine == self.first.machine;
        if is_next {
            self.last_task = binding.task;
        }
        is_next
    }

    /// The bindings of its tasks.
    pub fn bindings(&self) -> impl Iterator<Item = Binding> {
        let tasks = self.first.task..=self.last_task;
        tasks.map(|task| Binding { task, ..self.first.clone() })
    }

    /// Its size as JSON with a trailing comma, bytes, at most.
    pub fn bytes(&self) -> usize {
        self.first.bytes() + MAX_TASK_RANGE_BYTES
    }
}

impl From<(u32, u32, u64, String, u64)> for BindingRun {
    fn from(
        (task, last_task, attempt, machine, worker_session): (u32, u32, u64, String, u64),
    ) -> BindingRun {
        let first = Binding { task, attempt, machine: machine.into(), worker_session };
        BindingRun { first, last_task }
    }
}

impl From<BindingRun> for (u32, u32, u64, String, u64) {
    fn from(run: BindingRun) -> Self {
        let BindingRun { first, last_task } = run;
        (first.task, last_task, first.attempt, first.machine.to_string(), first.worker_session)
    }
}

/// Bindings, in ascending order of their tasks, as runs of at least one task.
pub(super) fn binding_runs(bindings: impl Iterator<Item = Binding>) -> Vec<BindingRun> {
    let mut runs: Vec<BindingRun> = Vec::new();
    for binding in bindings {
        let is_added = runs.last_mut().is_some_and(|run| run.extend(&binding));
        if !is_added {
            runs.push(BindingRun { last_task: binding.task, first: binding });
        }
    }
    runs
}

/// Record of a chunk: the bindings and the tasks done in a fixed range of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BindingChunk {
    /// Number of the write.
    #[serde(rename = "w")]
    pub write_number: u64,
    /// The chunk accounts for every attempt of its tasks up to this number. Bindings of later attempts are in the
    /// binding log.
    #[serde(rename = "l", default)]
    pub covers: u64,
    /// Tasks done, as inclusive ranges.
    #[serde(rename = "d", default)]
    pub done: Vec<(u32, u32)>,
    /// Bindings of attempts not confirmed gone.
    #[serde(rename = "b", default)]
    pub bindings: Vec<Binding>,
    /// Further bindings of attempts not confirmed gone, as runs of at least two tasks.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<BindingRun>,
}

impl BindingChunk {
    /// Whether it records a task as done.
    pub fn records_done(&self, task: u32) -> bool {
        self.done.iter().any(|(first, last)| (*first..=*last).contains(&task))
    }

    /// All its bindings, those in runs included.
    pub fn all_bindings(&self) -> impl Iterator<Item = Binding> {
        let in_runs = self.runs.iter().flat_map(BindingRun::bindings);
        self.bindings.iter().cloned().chain(in_runs)
    }

    /// Its size as JSON, bytes, at most.
    pub fn bytes(&self) -> usize {
        let bindings: usize = self.bindings.iter().map(Binding::bytes).sum();
        let runs: usize = self.runs.iter().map(BindingRun::bytes).sum();
        CHUNK_OVERHEAD_BYTES + self.done.len() * MAX_TASK_RANGE_BYTES + bindings + runs
    }
}

/// Tasks as inclusive ranges, in ascending order.
pub(super) fn task_ranges(tasks: &TaskSet) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for task in tasks.iter() {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == task => *last = task,
            _ => ranges.push((task, task)),
        }
    }
    ranges
}
