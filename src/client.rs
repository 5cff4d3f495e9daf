//! Client of a running service, used by the command line: users' requests in the protocol's MessagePack form, and operators'
//! requests in JSON. Retries reuse the job id, so that they do not create a second job.

use crate::constants::{
    CLIENT_TIMEOUT_MS, EXIT_STATUS_REJECTED, EXIT_STATUS_UNKNOWN, MAX_RESPONSE_BYTES,
    MAX_RETRY_DELAY_S, MAX_RETRY_MS, RETRY_DELAY_MS,
};
use awc::Client as Http;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use swiftsail_controller::job::{JobId, JobSpec};
use swiftsail_protocol::users::{ErrorResponse, JobStatusResponse, write_submission};
use swiftsail_protocol::{decode, users};

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No address responded. Holds the addresses, separated by commas.
    #[error("no response from {0}; check that the service runs and that the address is correct")]
    NoResponse(String),
    /// The service rejected the request.
    #[error("the service rejected the request with status {status}: {cause}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Error message of the response.
        cause: String,
    },
    /// There was no definite response in the time for retries. It is unknown whether the request was executed.
    #[error(
        "no definite response within {seconds} s: {cause}; the request may have been executed, retry with the same id"
    )]
    TimedOut {
        /// Time for which the request was retried, s.
        seconds: u64,
        /// Error message of the latest response.
        cause: String,
    },
    /// The response from this address could not be decoded. Holds the error of the decoder.
    #[error(
        "cannot decode the response from {0}: {1}; check that a swiftsail of this version listens there"
    )]
    InvalidResponse(SocketAddr, String),
}

impl ClientError {
    /// The exit status of the program for this error.
    pub fn exit_status(&self) -> u8 {
        match self {
            ClientError::Rejected { .. } => EXIT_STATUS_REJECTED,
            _ => EXIT_STATUS_UNKNOWN,
        }
    }
}

/// An HTTP client for the addresses of one service, which are tried in order.
pub struct Client {
    http: Http,
    addresses: Vec<SocketAddr>,
}

struct ClientResponse {
    status: u16,
    retry_after_s: Option<u64>,
    body: Vec<u8>,
    responder: SocketAddr,
}

impl Client {
    /// Creates a client for these addresses, of which there must be at least one.
    pub fn new(addresses: Vec<SocketAddr>) -> Client {
        let timeout = Duration::from_millis(CLIENT_TIMEOUT_MS);
        Client { http: Http::builder().disable_redirects().timeout(timeout).finish(), addresses }
    }

    /// Submits a job that depends on the jobs in `awaits`. Retries until it is known whether the job was accepted, or
    /// until [`MAX_RETRY_MS`] have passed.
    pub async fn submit(
        &self,
        id: &str,
        spec: &JobSpec,
        awaits: &[JobId],
    ) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("POST", users::path::JOBS, write_submission(id, spec, awaits))
            .await
    }

    /// Cancels a job. Retries until it is known whether the cancellation was accepted, or until [`MAX_RETRY_MS`] have
    /// passed.
    pub async fn cancel(&self, id: &str) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("POST", &users::path::CANCEL.replace("{id}", id), Vec::new())
            .await
    }

    /// Returns the status of a job. Retries until there is a definite response, or until [`MAX_RETRY_MS`] have passed.
    pub async fn poll(&self, id: &str) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("GET", &users::path::JOB.replace("{id}", id), Vec::new()).await
    }

    async fn retry_until_definite(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<JobStatusResponse, ClientError> {
        let started_at = Instant::now();
        let mut cause = String::new();
        for attempt in 0.. {
            let address = self.addresses[attempt % self.addresses.len()];
            let response =
                self.send_request(method, address, path, "application/msgpack", body.clone()).await;
            let retry_after_ms = match response {
                Some(response) if matches!(response.status, 200 | 201) => {
                    return decode(&response.body)
                        .map_err(|e| ClientError::InvalidResponse(address, e.to_string()));
                }
                Some(response) => {
                    let error = decode::<ErrorResponse>(&response.body).map(|body| body.error);
                    cause = error.unwrap_or_else(|_| format!("status {}", response.status));
                    if matches!(response.status, 400 | 404 | 422) {
                        return Err(ClientError::Rejected { status: response.status, cause });
                    }
                    response.retry_after_s.unwrap_or(0).min(MAX_RETRY_DELAY_S) * 1000
                }
                // None of the addresses has responded: retrying for a minute would not help.
                None if attempt + 1 >= self.addresses.len() && cause.is_empty() => {
                    return Err(ClientError::NoResponse(self.addresses_text()));
                }
                None => 0,
            };
            if started_at.elapsed() > Duration::from_millis(MAX_RETRY_MS) {
                break;
            }
            // Random jitter of up to half the delay spreads the retries of many clients.
            let jitter = 1.0 + 0.5 * rand::random::<f64>();
            let delay_ms = retry_after_ms.max(RETRY_DELAY_MS) as f64 * jitter;
            actix_rt::time::sleep(Duration::from_millis(delay_ms as u64)).await;
        }
        Err(ClientError::TimedOut { seconds: MAX_RETRY_MS / 1000, cause })
    }

    /// Sends an operator's request to the addresses in order, until one of them gives a final response. Returns its JSON
    /// body.
    pub async fn admin_request(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Value, ClientError> {
        let mut rejection = None;
        for address in &self.addresses {
            let Some(response) =
                self.send_request(method, *address, path, "application/json", body.clone()).await
            else {
                continue;
            };
            let json = serde_json::from_slice::<Value>(&response.body);
            let json =
                json.map_err(|e| ClientError::InvalidResponse(response.responder, e.to_string()))?;
            if response.status == 200 {
                return Ok(json);
            }
            let cause = json["error"].as_str().unwrap_or("no error message").to_string();
            let leader = json["leader"].as_str().map(|name| format!(" (leader: {name})"));
            let cause = format!("{cause}{}", leader.unwrap_or_default());
            rejection = Some(ClientError::Rejected { status: response.status, cause });
            // With 421 another controller may be the leader; any other status is final.
            if response.status != 421 {
                break;
            }
        }
        Err(rejection.unwrap_or_else(|| ClientError::NoResponse(self.addresses_text())))
    }

    fn addresses_text(&self) -> String {
        self.addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    }

    async fn send_request(
        &self,
        method: &str,
        at: SocketAddr,
        path: &str,
        content_type: &str,
        body: Vec<u8>,
    ) -> Option<ClientResponse> {
        let url = format!("http://{at}{path}");
        let request = match method {
            "GET" => self.http.get(url),
            "PUT" => self.http.put(url),
            "DELETE" => self.http.delete(url),
            _ => self.http.post(url),
        };
        let request = request.insert_header(("Content-Type", content_type));
        let result =
            if body.is_empty() { request.send().await } else { request.send_body(body).await };
        let mut response = result.ok()?;
        let retry_after = response.headers().get("Retry-After").and_then(|v| v.to_str().ok());
        let retry_after_s = retry_after.and_then(|v| v.parse().ok());
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?.to_vec();
        Some(ClientResponse { status, retry_after_s, body, responder: at })
    }
}
