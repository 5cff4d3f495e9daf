//! HTTP calls to workers: direct commands and probes.

use super::http_clients::send_request;
use crate::constants::{MAX_RESPONSE_BYTES, WORKER_TIMEOUT_MS};
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use std::time::Duration;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::workers::{DirectCommands, StatusReport, path};
use swiftsail_protocol::{decode, encode};

/// The result of probing a worker.
pub(super) struct ProbeResult {
    pub outcome: ProbeOutcome,
    /// The worker's status report, if it answered.
    pub report: Option<StatusReport>,
}

/// Sends commands directly to a worker and returns its status report. `None` if there is no valid response; the worker
/// may still have executed them.
pub(super) async fn send_commands(
    client: &Client,
    address: &str,
    commands: &DirectCommands,
) -> Option<StatusReport> {
    let url = format!("http://{address}{}", path::COMMANDS);
    let request = client.post(url).timeout(Duration::from_millis(WORKER_TIMEOUT_MS));
    let response = send_request(request, Some(encode(commands))).await.ok()?;
    match response.status {
        // A 409 carries a report too, which may show a newer fencing token or session.
        200 | 409 => decode(&response.body).ok(),
        _ => None,
    }
}

/// Requests the status of a worker. The way in which the connection fails distinguishes a machine that is down from one
/// that hangs.
pub(super) async fn probe_worker(client: &Client, address: &str) -> ProbeResult {
    let request = client.get(format!("http://{address}{}", path::INSPECT)).force_close();
    let without_report = |outcome| ProbeResult { outcome, report: None };
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(SendRequestError::Connect(ConnectError::Timeout)) => {
            return without_report(ProbeOutcome::NoConnection);
        }
        Err(SendRequestError::Timeout) => return without_report(ProbeOutcome::NoResponse),
        Err(_) => return without_report(ProbeOutcome::Refused),
    };
    let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
    match decode(&body).ok().filter(|_| response.status().is_success()) {
        Some(report) => ProbeResult { outcome: ProbeOutcome::Answered, report: Some(report) },
        None => without_report(ProbeOutcome::Refused),
    }
}
