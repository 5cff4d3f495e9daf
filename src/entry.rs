//! The gate at the entry: a request is let in by its urgency and the length that it tells, before its
//! body is read; what trickles is cut off.

use crate::constants::*;
use crate::front::{FORMAT, respond};
use actix_web::rt::time::timeout;
use actix_web::{HttpRequest, HttpResponse, web};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use swiftsail_controller::node::Reply;
use swiftsail_overload_control::gate::{Gate, Urgency};
use swiftsail_overload_control::pressure::Level;
use swiftsail_overload_control::turned::Turned;
use swiftsail_protocol::constants::BODY_MOST;
use swiftsail_protocol::users::Problem;

struct Shared {
    gate: Mutex<Gate>,
    level: AtomicU8,
    turned: Mutex<Turned>,
    begin: Instant,
}

impl Shared {
    fn gate(&self) -> MutexGuard<'_, Gate> {
        // The gate holds numbers alone: they are sound whoever panicked.
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn turned(&self) -> MutexGuard<'_, Turned> {
        self.turned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }
}

/// The gate, shared by the listeners and the controller, which tells it how pressed it is.
#[derive(Clone)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// A request let in, with its body.
pub struct Admitted {
    /// The body.
    pub body: web::Bytes,
    /// What it holds until it is answered.
    pub held: Held,
}

/// What a request holds of the bodies' memory; given back when dropped.
pub struct Held {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.gate().leave(self.bytes);
    }
}

impl Entry {
    /// A gate for that many bytes of bodies and requests.
    pub fn new(body_bytes: usize) -> Entry {
        let shared = Shared {
            gate: Mutex::new(Gate::new(body_bytes)),
            level: AtomicU8::new(0),
            turned: Mutex::new(Turned::default()),
            begin: Instant::now(),
        };
        Entry { shared: Arc::new(shared) }
    }

    /// The controller's pressure, as it is now.
    pub fn set_level(&self, level: Level) {
        self.shared.level.store(level as u8, Ordering::Relaxed);
    }

    fn level(&self) -> Level {
        match self.shared.level.load(Ordering::Relaxed) {
            0 => Level::Calm,
            1 => Level::Pressed,
            _ => Level::Overloaded,
        }
    }

    /// Whether a poll comes before others: one of the same job was turned away here.
    pub fn presses(&self, id: &str) -> bool {
        let now = self.shared.now();
        self.shared.turned().presses(id, now)
    }

    /// What became of a poll.
    pub fn polled(&self, id: &str, answered: bool) {
        match answered {
            true => self.shared.turned().answered(id),
            false => {
                let now = self.shared.now();
                self.shared.turned().away(id, now);
            }
        }
    }

    /// Lets a request in that says so of its body's length, or refuses it.
    pub fn enter(&self, urgency: Urgency, length: Option<usize>) -> Result<Held, HttpResponse> {
        let level = self.level();
        match self.shared.gate().enter(urgency, length, level) {
            Some(bytes) => Ok(Held { shared: self.shared.clone(), bytes }),
            None => {
                let mut reply = Reply::later("this node has more to do than it can");
                reply.retry_after = Some(level as u32 * SHED_AFTER_S + 1);
                Err(closed(reply))
            }
        }
    }

    /// Lets a request in and reads its body, or refuses it.
    pub async fn read(
        &self,
        urgency: Urgency,
        request: &HttpRequest,
        body: web::Payload,
    ) -> Result<Admitted, HttpResponse> {
        let length = request.headers().get("Content-Length");
        let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
        if length.is_some_and(|l: usize| l > BODY_MOST) {
            return Err(unread("it is larger than 64 KiB"));
        }
        let held = self.enter(urgency, length)?;
        let whole = timeout(Duration::from_millis(BODY_MS), body.to_bytes_limited(BODY_MOST));
        match whole.await {
            Ok(Ok(Ok(body))) => Ok(Admitted { body, held }),
            Ok(Ok(Err(e))) => Err(unread(&e.to_string())),
            Ok(Err(_)) => Err(unread("it is larger than 64 KiB")),
            Err(_) => Err(closed(Reply::later("the body did not come in time"))),
        }
    }
}

/// The rest of a refused body is not waited for.
fn closed(reply: Reply) -> HttpResponse {
    let mut response = respond(reply, FORMAT);
    response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

fn unread(cause: &str) -> HttpResponse {
    closed(Reply::new(400, &Problem { error: format!("the body cannot be read: {cause}") }))
}
