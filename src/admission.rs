//! The gate at the entry: a request is let in by its urgency and the length that it tells, before its
//! body is read; what trickles is cut off.

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
        // The gate holds numbers alone: they are sound whoever panicked.
        self.body_gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_rejected_polls(&self) -> MutexGuard<'_, RejectedPolls> {
        self.rejected_polls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// The gate, shared by the listeners and the controller, which tells it how pressed it is.
#[derive(Clone)]
pub struct AdmissionController {
    shared: Arc<SharedAdmissionState>,
}

/// A request let in, with its body.
pub struct AdmittedRequest {
    /// The body.
    pub body: web::Bytes,
    /// What it holds until it is answered.
    pub reservation: BodyReservation,
}

/// What a request holds of the bodies' memory; given back when dropped.
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
    /// A gate for that many bytes of bodies and requests.
    pub fn new(body_bytes: usize) -> AdmissionController {
        let shared = SharedAdmissionState {
            body_gate: Mutex::new(AdmissionGate::new(body_bytes)),
            level: AtomicU8::new(0),
            rejected_polls: Mutex::new(RejectedPolls::default()),
            started_at: Instant::now(),
        };
        AdmissionController { shared: Arc::new(shared) }
    }

    /// The controller's pressure, as it is now.
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

    /// Whether a poll comes before others: one of the same job was turned away here.
    pub fn is_retried_poll(&self, id: &str) -> bool {
        let now = self.shared.elapsed_ms();
        self.shared.lock_rejected_polls().take_precedence(id, now)
    }

    /// What became of a poll.
    pub fn record_poll(&self, id: &str, answered: bool) {
        match answered {
            true => self.shared.lock_rejected_polls().on_answered(id),
            false => {
                let now = self.shared.elapsed_ms();
                self.shared.lock_rejected_polls().on_rejected(id, now);
            }
        }
    }

    /// Lets a request in that says so of its body's length, or refuses it.
    pub fn admit(
        &self,
        urgency: RequestPriority,
        length: Option<usize>,
    ) -> Result<BodyReservation, HttpResponse> {
        let level = self.level();
        match self.shared.lock_body_gate().try_admit(urgency, length, level) {
            Some(bytes) => Ok(BodyReservation { shared: self.shared.clone(), bytes }),
            None => {
                let mut reply = Reply::retry_later("this node has more to do than it can");
                reply.retry_after = Some(level as u32 * SHED_RETRY_AFTER_S + 1);
                Err(refuse_and_close(reply))
            }
        }
    }

    /// Lets a request in and reads its body, or refuses it.
    pub async fn admit_and_read(
        &self,
        urgency: RequestPriority,
        request: &HttpRequest,
        body: web::Payload,
    ) -> Result<AdmittedRequest, HttpResponse> {
        let length = request.headers().get("Content-Length");
        let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
        if length.is_some_and(|l: usize| l > MAX_BODY_BYTES) {
            return Err(unreadable_body("it is larger than 64 KiB"));
        }
        let held = self.admit(urgency, length)?;
        let whole = timeout(
            Duration::from_millis(REQUEST_BODY_TIMEOUT_MS),
            body.to_bytes_limited(MAX_BODY_BYTES),
        );
        match whole.await {
            Ok(Ok(Ok(body))) => Ok(AdmittedRequest { body, reservation: held }),
            Ok(Ok(Err(e))) => Err(unreadable_body(&e.to_string())),
            Ok(Err(_)) => Err(unreadable_body("it is larger than 64 KiB")),
            Err(_) => Err(refuse_and_close(Reply::retry_later("the body did not come in time"))),
        }
    }
}

/// The rest of a refused body is not waited for.
fn refuse_and_close(reply: Reply) -> HttpResponse {
    let mut response = respond(reply, MESSAGE_PACK);
    response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

fn unreadable_body(cause: &str) -> HttpResponse {
    refuse_and_close(Reply::new(
        400,
        &ErrorResponse { error: format!("the body cannot be read: {cause}") },
    ))
}
