//! Replies to users: the HTTP statuses in use, and one function per kind of reply. Pure: values in, a [`Reply`] out.

use super::super::Reply;
use crate::job::{FinalRecord, FinalState, JobId};
use swiftsail_protocol::users::{ErrorResponse, JobStatus, JobStatusResponse};

/// The HTTP statuses of replies, by their meaning to who asked.
pub(in crate::controller) mod http_status {
    /// Done, or known.
    pub const OK: u16 = 200;
    /// The job is accepted.
    pub const CREATED: u16 = 201;
    /// The request is malformed; a retry does not help.
    pub const BAD_REQUEST: u16 = 400;
    /// Nothing is known by that name.
    pub const NOT_FOUND: u16 = 404;
    /// The request does not apply to the present state.
    pub const CONFLICT: u16 = 409;
    /// Another controller has to be asked.
    pub const MISDIRECTED: u16 = 421;
    /// Well formed, and can never be done.
    pub const UNPROCESSABLE: u16 = 422;
    /// To be retried later.
    pub const UNAVAILABLE: u16 = 503;
}

/// Most characters of a user's text that a reply repeats.
const ECHOED_CHARS: usize = 80;

/// Task counts of a job, for display.
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

/// A refusal with its cause and remedy.
pub(in crate::controller) fn error_reply(status: u16, error: String) -> Reply {
    Reply::new(status, &ErrorResponse { error })
}

pub(in crate::controller) fn store_unavailable_reply() -> Reply {
    Reply::retry_later("the state service does not answer")
}

/// The state service may have executed the write or not.
pub(super) fn unconfirmed_write_reply() -> Reply {
    Reply::retry_later("the state service did not confirm")
}

pub(super) fn record_in_flight_reply() -> Reply {
    Reply::retry_later("the job's record is being written")
}

pub(super) fn unknown_job_reply(id: &str) -> Reply {
    let shown: String = id.chars().take(ECHOED_CHARS).collect();
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
