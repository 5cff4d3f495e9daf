//! What the command line asks of a service that runs: users' requests in the protocol's form, and
//! operators' in JSON. Repetitions keep the same id, so that none makes a second job.

use crate::constants::{
    CLIENT_TIMEOUT_MS, EXIT_STATUS_REFUSED, EXIT_STATUS_UNKNOWN, MAX_RESPONSE_BYTES,
    MAX_RETRY_DELAY_S, MAX_RETRY_MS, RETRY_DELAY_MS,
};
use awc::Client as Http;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use swiftsail_controller::job::{JobId, JobSpec};
use swiftsail_protocol::users::{ErrorResponse, JobStatusResponse, write_submission};
use swiftsail_protocol::{decode, users};

/// Why a request came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No address answered.
    #[error("no answer from {0}; is it running there, and is the address right?")]
    NoAnswer(String),
    /// It answered, and refused.
    #[error("refused with status {status}: {why}")]
    Refused {
        /// Status.
        status: u16,
        /// What it said.
        why: String,
    },
    /// It was repeated for as long as makes sense.
    #[error(
        "not taken within {seconds} s: {why}; whether it was is not known, repeat with the same id"
    )]
    TimedOut {
        /// Time, s.
        seconds: u64,
        /// The latest obstacle.
        why: String,
    },
    /// An answer that makes no sense.
    #[error("the answer from {0} cannot be read: {1}; is a swiftsail of this version there?")]
    UnreadableAnswer(SocketAddr, String),
}

impl ClientError {
    /// Exit status of the program.
    pub fn exit_status(&self) -> u8 {
        match self {
            ClientError::Refused { .. } => EXIT_STATUS_REFUSED,
            _ => EXIT_STATUS_UNKNOWN,
        }
    }
}

/// A client of some addresses, tried in order.
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
    /// A client of these addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Client {
        let timeout = Duration::from_millis(CLIENT_TIMEOUT_MS);
        Client { http: Http::builder().disable_redirects().timeout(timeout).finish(), addresses }
    }

    /// Submits a job, repeating until it is known whether it was taken.
    pub async fn submit(
        &self,
        id: &str,
        spec: &JobSpec,
        awaits: &[JobId],
    ) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("POST", users::path::JOBS, write_submission(id, spec, awaits))
            .await
    }

    /// Cancels a job, repeating until it is known.
    pub async fn cancel(&self, id: &str) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("POST", &users::path::CANCEL.replace("{id}", id), Vec::new())
            .await
    }

    /// A job's state.
    pub async fn poll(&self, id: &str) -> Result<JobStatusResponse, ClientError> {
        self.retry_until_definite("GET", &users::path::JOB.replace("{id}", id), Vec::new()).await
    }

    async fn retry_until_definite(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<JobStatusResponse, ClientError> {
        let begin = Instant::now();
        let mut why = String::new();
        for turn in 0.. {
            let at = self.addresses[turn % self.addresses.len()];
            let heard =
                self.send_request(method, at, path, "application/msgpack", body.clone()).await;
            let pause = match heard {
                Some(heard) if matches!(heard.status, 200 | 201) => {
                    return decode(&heard.body)
                        .map_err(|e| ClientError::UnreadableAnswer(at, e.to_string()));
                }
                Some(heard) => {
                    let said = decode::<ErrorResponse>(&heard.body).map(|p| p.error);
                    why = said.unwrap_or_else(|_| format!("status {}", heard.status));
                    if matches!(heard.status, 400 | 404 | 422) {
                        return Err(ClientError::Refused { status: heard.status, why });
                    }
                    heard.retry_after_s.unwrap_or(0).min(MAX_RETRY_DELAY_S) * 1000
                }
                // Nobody listens at any of them: not worth a minute.
                None if turn + 1 >= self.addresses.len() && why.is_empty() => {
                    return Err(ClientError::NoAnswer(self.addresses_text()));
                }
                None => 0,
            };
            if begin.elapsed() > Duration::from_millis(MAX_RETRY_MS) {
                break;
            }
            // Repetitions of many clients spread: half as long again, by chance.
            let pause = pause.max(RETRY_DELAY_MS) as f64 * (1.0 + 0.5 * rand::random::<f64>());
            actix_rt::time::sleep(Duration::from_millis(pause as u64)).await;
        }
        Err(ClientError::TimedOut { seconds: MAX_RETRY_MS / 1000, why })
    }

    /// An operator's request: the first address that can answer does.
    pub async fn admin_request(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Value, ClientError> {
        let mut refused = None;
        for at in &self.addresses {
            let Some(heard) =
                self.send_request(method, *at, path, "application/json", body.clone()).await
            else {
                continue;
            };
            let found = serde_json::from_slice::<Value>(&heard.body);
            let found =
                found.map_err(|e| ClientError::UnreadableAnswer(heard.responder, e.to_string()))?;
            if heard.status == 200 {
                return Ok(found);
            }
            let why = found["error"].as_str().unwrap_or("no reason given").to_string();
            let leader = found["leader"].as_str().map(|l| format!(" ({l} leads)"));
            let why = format!("{why}{}", leader.unwrap_or_default());
            refused = Some(ClientError::Refused { status: heard.status, why });
            // Another may lead; whatever else it said, it has decided.
            if heard.status != 421 {
                break;
            }
        }
        Err(refused.unwrap_or_else(|| ClientError::NoAnswer(self.addresses_text())))
    }

    fn addresses_text(&self) -> String {
        self.addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    }

    async fn send_request(
        &self,
        method: &str,
        at: SocketAddr,
        path: &str,
        format: &str,
        body: Vec<u8>,
    ) -> Option<ClientResponse> {
        let url = format!("http://{at}{path}");
        let request = match method {
            "GET" => self.http.get(url),
            "PUT" => self.http.put(url),
            "DELETE" => self.http.delete(url),
            _ => self.http.post(url),
        };
        let request = request.insert_header(("Content-Type", format));
        let sent =
            if body.is_empty() { request.send().await } else { request.send_body(body).await };
        let mut response = sent.ok()?;
        let after = response.headers().get("Retry-After").and_then(|v| v.to_str().ok());
        let after = after.and_then(|v| v.parse().ok());
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?.to_vec();
        Some(ClientResponse { status, retry_after_s: after, body, responder: at })
    }
}
