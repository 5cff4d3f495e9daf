//! The HTTP clients of the runtime, which differ in their timeouts, and the sending of protocol requests.

use crate::constants::{MAX_RESPONSE_BYTES, PROBE_CONNECT_TIMEOUT_MS, PROBE_TIMEOUT_MS};
use awc::error::{PayloadError, SendRequestError};
use awc::{Client, ClientRequest, Connector};
use std::time::Duration;
use swiftsail_controller::constants::{STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS};

/// HTTP clients, each with its own connections. A request may override the timeout of its client.
pub(super) struct HttpClients {
    /// For calls that are answered immediately.
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
        // No limit on connections: the controller bounds the number of probes in flight, and a machine whose probe
        // waited here for a free connection would appear to hang.
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

/// A response of any status, with its complete body.
pub(super) struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why a request has no response. The receiver may have executed it.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("no response: {0}")]
    NoResponse(#[from] SendRequestError),
    #[error("cannot read the response body: {0}")]
    UnreadableBody(#[from] PayloadError),
}

/// Sends a protocol request and reads its response. Fails if there is no response, or if its body cannot be read or is
/// larger than [`MAX_RESPONSE_BYTES`].
pub(super) async fn send_request(
    request: ClientRequest,
    body: Option<Vec<u8>>,
) -> Result<HttpResponse, RequestError> {
    let request = request.insert_header(("Content-Type", "application/msgpack"));
    let result = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response =
        result.inspect_err(|e| tracing::debug!(cause = %e, "no response to an HTTP request"))?;
    let status = response.status().as_u16();
    // The protocol does not limit the size of the response to a watch.
    let body = response.body().limit(MAX_RESPONSE_BYTES).await?.to_vec();
    Ok(HttpResponse { status, body })
}
