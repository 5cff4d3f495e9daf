//! Calls to workers over HTTP: direct commands and probes.

use super::http_clients::send_request;
use crate::constants::{MAX_RESPONSE_BYTES, WORKER_TIMEOUT_MS};
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use std::time::Duration;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::workers::{DirectCommands, StatusReport, path};
use swiftsail_protocol::{decode, encode};

/// What a probe showed of a worker.
pub(super) struct ProbeResult {
    pub outcome: ProbeOutcome,
    /// The status of its tasks, if it answered.
    pub report: Option<StatusReport>,
}

/// Sends commands straight to a worker. `None`: it is not known whether it took them.
pub(super) async fn send_commands(
    client: &Client,
    address: &str,
    commands: &DirectCommands,
) -> Option<StatusReport> {
    let url = format!("http://{address}{}", path::COMMANDS);
    let request = client.post(url).timeout(Duration::from_millis(WORKER_TIMEOUT_MS));
    let response = send_request(request, Some(encode(commands))).await.ok()?;
    match response.status {
        // 409 carries a report too: it may show a newer token or session.
        200 | 409 => decode(&response.body).ok(),
        _ => None,
    }
}

/// Asks a worker for its status. How the connection ends tells a dead machine from one that hangs.
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
