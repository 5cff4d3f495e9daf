//! The HTTP clients of the runtime, by how long their calls may take, and sending one request of the protocol.

use crate::constants::{MAX_RESPONSE_BYTES, PROBE_CONNECT_TIMEOUT_MS, PROBE_TIMEOUT_MS};
use awc::error::{PayloadError, SendRequestError};
use awc::{Client, ClientRequest, Connector};
use std::time::Duration;
use swiftsail_controller::constants::{STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS};

/// Clients that keep connections of their own. A request may set a timeout that differs from its client's.
pub(super) struct HttpClients {
    /// For calls that are answered at once.
    pub short_call: Client,
    /// For watches of the state service, calls to the cloud and forwarded reports.
    pub long_call: Client,
    /// For probes of machines that may hang.
    pub probe: Client,
}

impl HttpClients {
    pub(super) fn new() -> HttpClients {
        let with_timeout = |timeout_ms: u64| {
            Client::builder()
                .disable_redirects()
                .timeout(Duration::from_millis(timeout_ms))
                .finish()
        };
        // The controller bounds how many probes are in flight: one that waited here for a free connection would look
        // like a machine that hangs.
        let probe_connector =
            Connector::new().limit(0).timeout(Duration::from_millis(PROBE_CONNECT_TIMEOUT_MS));
        let probe = Client::builder()
            .connector(probe_connector)
            .timeout(Duration::from_millis(PROBE_TIMEOUT_MS))
            .disable_redirects()
            .finish();
        HttpClients {
            short_call: with_timeout(STORE_TIMEOUT_MS),
            long_call: with_timeout(WATCH_TIMEOUT_MS),
            probe,
        }
    }
}

/// A response, of any status, that was read whole.
pub(super) struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why a request has no response. Whether the other side carried it out is not known.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("no response: {0}")]
    NoResponse(#[from] SendRequestError),
    #[error("the response cannot be read: {0}")]
    UnreadableBody(#[from] PayloadError),
}

/// Sends a request of the protocol and reads its response.
pub(super) async fn send_request(
    request: ClientRequest,
    body: Option<Vec<u8>>,
) -> Result<HttpResponse, RequestError> {
    let request = request.insert_header(("Content-Type", "application/msgpack"));
    let sent = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response =
        sent.inspect_err(|e| tracing::debug!(cause = %e, "no response to a request"))?;
    let status = response.status().as_u16();
    // The protocol does not limit the size of a watch's response.
    let body = response.body().limit(MAX_RESPONSE_BYTES).await?.to_vec();
    Ok(HttpResponse { status, body })
}
