//! Replies to users: the HTTP statuses in use, and one function per kind of reply. Pure functions that build a
//! [`Reply`].

use super::super::Reply;
use crate::job::{FinalRecord, FinalState, JobId};
use swiftsail_protocol::users::{ErrorResponse, JobStatus, JobStatusResponse};

/// The HTTP statuses in use, each with its meaning to the client.
pub(in crate::controller) mod http_status {
    /// The request succeeded.
    pub const OK: u16 = 200;
    /// The job has been accepted.
    pub const CREATED: u16 = 201;
    /// The request is malformed; a retry does not help.
    pub const BAD_REQUEST: u16 = 400;
    /// There is no such job or object.
    pub const NOT_FOUND: u16 = 404;
    /// The request does not apply to the current state.
    pub const CONFLICT: u16 = 409;
    /// The request must be sent to another controller.
    pub const MISDIRECTED: u16 = 421;
    /// The request is well formed but can never be fulfilled.
    pub const UNPROCESSABLE: u16 = 422;
    /// The client should retry later.
    pub const UNAVAILABLE: u16 = 503;
}

/// Maximum number of characters of a user's text that a reply repeats.
const MAX_ECHOED_CHARS: usize = 80;

/// Numbers of tasks of a job, for display only.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

impl From<(u32, u32)> for TaskCounts {
    fn from((done, running): (u32, u32)) -> TaskCounts {
        TaskCounts { done, running }
    }
}

/// An error reply. `error` states the cause and the remedy.
pub(in crate::controller) fn error_reply(status: u16, error: String) -> Reply {
    Reply::new(status, &ErrorResponse { error })
}

pub(in crate::controller) fn store_unavailable_reply() -> Reply {
    Reply::retry_later("the state service does not answer")
}

/// For a write that the state service may or may not have executed.
pub(super) fn unconfirmed_write_reply() -> Reply {
    Reply::retry_later("the state service did not confirm")
}

/// For a write that the state service refuses however often it is repeated.
pub(super) fn refused_write_reply() -> Reply {
    Reply::retry_later("the state service refuses the write; the operators' log says why")
}

pub(super) fn record_in_flight_reply() -> Reply {
    Reply::retry_later("the job's record is being written")
}

pub(super) fn unknown_job_reply(id: &str) -> Reply {
    let shown: String = id.chars().take(MAX_ECHOED_CHARS).collect();
    error_reply(http_status::NOT_FOUND, format!("job `{shown}` is unknown; check its id"))
}

pub(super) fn accepted_reply(id: &str, status: JobStatus) -> Reply {
    Reply::new(http_status::CREATED, &status_response(id, status, None))
}

pub(super) fn status_reply(id: &str, status: JobStatus, counts: Option<TaskCounts>) -> Reply {
    Reply::new(http_status::OK, &status_response(id, status, counts))
}

pub(super) fn final_reply(id: &JobId, record: &FinalRecord) -> Reply {
    let status = match record.state {
        FinalState::Done => JobStatus::Done,
        FinalState::Cancelled => JobStatus::Cancelled,
    };
    status_reply(id, status, Some(TaskCounts { done: record.done, running: 0 }))
}

fn status_response(id: &str, status: JobStatus, counts: Option<TaskCounts>) -> JobStatusResponse {
    JobStatusResponse {
        id: id.to_string(),
        status,
        tasks_done: counts.map(|counts| counts.done),
        tasks_running: counts.map(|counts| counts.running),
    }
}
