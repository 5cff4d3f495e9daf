//! Admission control of HTTP requests. A request is admitted by its priority and the length that it states, before its body
//! is read. A body that arrives too slowly is cut off.

use crate::constants::{REQUEST_BODY_TIMEOUT_MS, SHED_RETRY_AFTER_S};
use crate::http::{MESSAGE_PACK, respond};
use actix_web::rt::time::timeout;
use actix_web::{HttpRequest, HttpResponse, web};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use swiftsail_controller::controller::Reply;
use swiftsail_overload_control::admission::{AdmissionGate, RequestPriority};
use swiftsail_overload_control::load_level::LoadLevel;
use swiftsail_overload_control::rejected_polls::RejectedPolls;
use swiftsail_protocol::constants::MAX_BODY_BYTES;
use swiftsail_protocol::users::ErrorResponse;

struct SharedAdmissionState {
    body_gate: Mutex<AdmissionGate>,
    level: AtomicU8,
    rejected_polls: Mutex<RejectedPolls>,
    started_at: Instant,
}

impl SharedAdmissionState {
    fn lock_body_gate(&self) -> MutexGuard<'_, AdmissionGate> {
        // The gate holds only numbers, which stay valid if a holder of the lock panics.
        self.body_gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_rejected_polls(&self) -> MutexGuard<'_, RejectedPolls> {
        self.rejected_polls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// Admission control, shared by the listeners and the controller, which reports its load level.
#[derive(Clone)]
pub struct AdmissionController {
    shared: Arc<SharedAdmissionState>,
}

/// An admitted request with its body.
pub struct AdmittedRequest {
    /// The body.
    pub body: web::Bytes,
    /// The memory that the request holds until it is answered.
    pub reservation: BodyReservation,
}

/// The memory that a request holds of the budget for request bodies. Released when dropped.
pub struct BodyReservation {
    shared: Arc<SharedAdmissionState>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.shared.lock_body_gate().release(self.bytes);
    }
}

impl AdmissionController {
    /// Creates admission control for at most `body_bytes` bytes of admitted requests, including their bodies.
    pub fn new(body_bytes: usize) -> AdmissionController {
        let shared = SharedAdmissionState {
            body_gate: Mutex::new(AdmissionGate::new(body_bytes)),
            level: AtomicU8::new(0),
            rejected_polls: Mutex::new(RejectedPolls::default()),
            started_at: Instant::now(),
        };
        AdmissionController { shared: Arc::new(shared) }
    }

    /// Sets the current load level of the controller.
    pub fn set_level(&self, level: LoadLevel) {
        self.shared.level.store(level as u8, Ordering::Relaxed);
    }

    fn level(&self) -> LoadLevel {
        match self.shared.level.load(Ordering::Relaxed) {
            0 => LoadLevel::Normal,
            1 => LoadLevel::Elevated,
            _ => LoadLevel::Overloaded,
        }
    }

    /// Whether a poll takes precedence over first polls, because an earlier poll of the same job was rejected here.
    /// Counts it if so: the number of polls that take precedence per second is limited.
    pub fn is_retried_poll(&self, id: &str) -> bool {
        let now = self.shared.elapsed_ms();
        self.shared.lock_rejected_polls().take_precedence(id, now)
    }

    /// Records whether a poll was answered or rejected.
    pub fn record_poll(&self, id: &str, answered: bool) {
        match answered {
            true => self.shared.lock_rejected_polls().on_answered(id),
            false => {
                let now = self.shared.elapsed_ms();
                self.shared.lock_rejected_polls().on_rejected(id, now);
            }
        }
    }

    /// Admits a request, or returns the response that rejects it. `length` is the stated length of its body in bytes, if
    /// known.
    pub fn admit(
        &self,
        priority: RequestPriority,
        length: Option<usize>,
    ) -> Result<BodyReservation, HttpResponse> {
        let level = self.level();
        match self.shared.lock_body_gate().try_admit(priority, length, level) {
            Some(bytes) => Ok(BodyReservation { shared: self.shared.clone(), bytes }),
            None => {
                let mut reply = Reply::retry_later("this node has more to do than it can");
                reply.retry_after = Some(level as u32 * SHED_RETRY_AFTER_S + 1);
                Err(reject_and_close(reply))
            }
        }
    }

    /// Admits a request and reads its body, or returns the response that rejects it. A body must arrive within
    /// [`REQUEST_BODY_TIMEOUT_MS`] and be no larger than [`MAX_BODY_BYTES`].
    pub async fn admit_and_read(
        &self,
        priority: RequestPriority,
        request: &HttpRequest,
        body: web::Payload,
    ) -> Result<AdmittedRequest, HttpResponse> {
        let length = request.headers().get("Content-Length");
        let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
        if length.is_some_and(|l: usize| l > MAX_BODY_BYTES) {
            return Err(unreadable_body("it is larger than 64 KiB"));
        }
        let reservation = self.admit(priority, length)?;
        let body = timeout(
            Duration::from_millis(REQUEST_BODY_TIMEOUT_MS),
            body.to_bytes_limited(MAX_BODY_BYTES),
        );
        match body.await {
            Ok(Ok(Ok(body))) => Ok(AdmittedRequest { body, reservation }),
            Ok(Ok(Err(e))) => Err(unreadable_body(&e.to_string())),
            Ok(Err(_)) => Err(unreadable_body("it is larger than 64 KiB")),
            Err(_) => Err(reject_and_close(Reply::retry_later("the body did not come in time"))),
        }
    }
}

/// Rejects a request and closes the connection, so that the rest of the body is not read.
fn reject_and_close(reply: Reply) -> HttpResponse {
    let mut response = respond(reply, MESSAGE_PACK);
    response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

fn unreadable_body(cause: &str) -> HttpResponse {
    reject_and_close(Reply::new(
        400,
        &ErrorResponse { error: format!("the body cannot be read: {cause}") },
    ))
}
