//! Report hooks: events on their way to an operator's address. A slow receiver costs nothing but the
//! events that find no room.

use crate::constants::{
    DELIVERY_BACKOFF_MS, MAX_DELIVERY_BACKOFF_MS, MAX_DELIVERY_EVENTS, MAX_OUTBOX_EVENTS,
    MIN_DELIVERY_INTERVAL_MS,
};
use crate::expression_engine::{Diagnostic, unknown_name_message};
use crate::plugin_host::Time;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Kinds of events.
pub const EVENT_KINDS: [&str; 5] = ["task", "job", "machine", "term", "rental"];

/// An event as it is reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// One of [`EVENT_KINDS`].
    pub kind: String,
    /// What happened: `runs`, `done`, `accepted`, ...
    #[serde(rename = "what")]
    pub event: String,
    /// Of which task, job, machine, term or market.
    #[serde(rename = "of")]
    pub subject: String,
    /// More, if there is any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Time of day, ms since the epoch.
    pub at_ms: u64,
}

/// A report hook: its source is TOML.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventReceiver {
    /// Address of the receiver, which takes POST requests of JSON.
    pub to: SocketAddr,
    /// Path there.
    #[serde(default = "root")]
    pub path: String,
    /// Kinds of events wanted; all, if none is named.
    #[serde(default)]
    pub events: Vec<String>,
}

fn root() -> String {
    "/".into()
}

impl EventReceiver {
    /// Reads and checks a source.
    pub fn parse(source: &str) -> Result<EventReceiver, Diagnostic> {
        let found: EventReceiver = toml::from_str(source).map_err(|e| {
            let before = &source[..e.span().map_or(0, |s| s.start).min(source.len())];
            let line = before.matches('\n').count() + 1;
            let column = before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1;
            Diagnostic { line, column, cause: e.message().to_string() }
        })?;
        let flaw = |cause: String| Err(Diagnostic { line: 0, column: 0, cause });
        if let Some(odd) = found.events.iter().find(|e| !EVENT_KINDS.contains(&e.as_str())) {
            return flaw(unknown_name_message("event", odd, EVENT_KINDS.into_iter()));
        }
        if !found.path.starts_with('/') || found.path.contains(char::is_whitespace) {
            return flaw(format!("path `{}`: one that begins with / is expected", found.path));
        }
        Ok(found)
    }
}

/// One delivery.
#[derive(Debug, Clone, PartialEq)]
pub struct EventDelivery {
    /// Plug-in.
    pub plugin: String,
    /// Receiver.
    pub to: SocketAddr,
    /// Path there.
    pub path: String,
    /// JSON: the events, and how many were dropped before them.
    pub body: Vec<u8>,
}

/// What has become of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct DeliveryCounts {
    /// Wait.
    pub waiting: usize,
    /// Were taken by the receiver.
    pub delivered: u64,
    /// Found no room.
    pub dropped: u64,
    /// Deliveries that failed.
    pub failures: u64,
}

/// Where deliveries stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryPhase {
    /// The next may leave at this time.
    Idle(Time),
    /// One of so many events is under way.
    Sending(usize),
}

/// The events of one receiver.
#[derive(Debug)]
pub struct EventOutbox {
    receiver: EventReceiver,
    queue: VecDeque<ReportedEvent>,
    phase: DeliveryPhase,
    backoff_ms: u64,
    counts: DeliveryCounts,
}

#[derive(Serialize)]
struct DeliveryBody<'a> {
    events: Vec<&'a ReportedEvent>,
    dropped: u64,
}

impl EventOutbox {
    /// An empty one.
    pub fn new(receiver: EventReceiver) -> EventOutbox {
        let phase = DeliveryPhase::Idle(0);
        EventOutbox {
            receiver,
            queue: VecDeque::new(),
            phase,
            backoff_ms: 0,
            counts: DeliveryCounts::default(),
        }
    }

    /// Takes an event, if it is wanted. What finds no room pushes the oldest out.
    pub fn enqueue(&mut self, event: &ReportedEvent) {
        if !self.receiver.events.is_empty() && !self.receiver.events.contains(&event.kind) {
            return;
        }
        if self.queue.len() >= MAX_OUTBOX_EVENTS {
            // What is under way stays: it is at the front.
            let under_way = if let DeliveryPhase::Sending(n) = self.phase { n } else { 0 };
            self.queue.remove(under_way);
            self.counts.dropped += 1;
        }
        self.queue.push_back(event.clone());
    }

    /// The next delivery, if one may leave.
    pub fn next_delivery(&mut self, plugin: &str, now: Time) -> Option<EventDelivery> {
        let DeliveryPhase::Idle(at) = self.phase else { return None };
        if now < at || self.queue.is_empty() {
            return None;
        }
        let events: Vec<&ReportedEvent> = self.queue.iter().take(MAX_DELIVERY_EVENTS).collect();
        let number = events.len();
        let body = serde_json::to_vec(&DeliveryBody { events, dropped: self.counts.dropped });
        self.phase = DeliveryPhase::Sending(number);
        Some(EventDelivery {
            plugin: plugin.to_string(),
            to: self.receiver.to,
            path: self.receiver.path.clone(),
            body: body.unwrap_or_default(),
        })
    }

    /// The delivery under way has ended. One that failed is tried again after a growing pause.
    pub fn on_delivery_ended(&mut self, taken: bool, now: Time) {
        let DeliveryPhase::Sending(number) = self.phase else { return };
        if taken {
            self.queue.drain(..number.min(self.queue.len()));
            self.counts.delivered += number as u64;
            self.backoff_ms = 0;
            self.phase = DeliveryPhase::Idle(now + MIN_DELIVERY_INTERVAL_MS);
        } else {
            self.counts.failures += 1;
            self.backoff_ms =
                (self.backoff_ms * 2).clamp(DELIVERY_BACKOFF_MS, MAX_DELIVERY_BACKOFF_MS);
            self.phase = DeliveryPhase::Idle(now + self.backoff_ms);
        }
    }

    /// What has become of its events.
    pub fn counts(&self) -> DeliveryCounts {
        DeliveryCounts { waiting: self.queue.len(), ..self.counts }
    }
}
