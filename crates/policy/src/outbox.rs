//! Delivery of events to receivers that operators configure (plug-ins of kind `report`). Each receiver has a bounded
//! queue, so that a slow receiver loses events but does not affect the controller.

use crate::constants::{
    DELIVERY_BACKOFF_MS, MAX_DELIVERY_BACKOFF_MS, MAX_DELIVERY_EVENTS, MAX_OUTBOX_EVENTS,
    MIN_DELIVERY_INTERVAL_MS,
};
use crate::expression_engine::{Diagnostic, unknown_name_message};
use crate::plugin_host::Time;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Kinds of reported events.
pub const EVENT_KINDS: [&str; 5] = ["task", "job", "machine", "term", "rental"];

/// An event as sent to receivers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedEvent {
    /// One of [`EVENT_KINDS`].
    pub kind: String,
    /// What happened, for example `runs`, `done` or `accepted`.
    #[serde(rename = "what")]
    pub event: String,
    /// The task, job, machine, term or market that the event is about.
    #[serde(rename = "of")]
    pub subject: String,
    /// Additional information, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Time of day, ms since the epoch.
    pub at_ms: u64,
}

/// Configuration of an event receiver: the TOML source of a plug-in of kind `report`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventReceiver {
    /// Address of the receiver, to which JSON is sent in POST requests.
    pub to: SocketAddr,
    /// Path of the POST requests.
    #[serde(default = "default_path")]
    pub path: String,
    /// Kinds of events to deliver; all kinds if empty.
    #[serde(default)]
    pub events: Vec<String>,
}

fn default_path() -> String {
    "/".into()
}

impl EventReceiver {
    /// Parses and validates a source. An error contains the position, if known.
    pub fn parse(source: &str) -> Result<EventReceiver, Diagnostic> {
        let receiver: EventReceiver = toml::from_str(source).map_err(|e| {
            let before = &source[..e.span().map_or(0, |s| s.start).min(source.len())];
            let line = before.matches('\n').count() + 1;
            let column = before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1;
            Diagnostic { line, column, cause: e.message().to_string() }
        })?;
        let error = |cause: String| Err(Diagnostic { line: 0, column: 0, cause });
        if let Some(unknown) = receiver.events.iter().find(|e| !EVENT_KINDS.contains(&e.as_str())) {
            return error(unknown_name_message("event", unknown, EVENT_KINDS.into_iter()));
        }
        if !receiver.path.starts_with('/') || receiver.path.contains(char::is_whitespace) {
            return error(format!("path `{}`: one that begins with / is expected", receiver.path));
        }
        Ok(receiver)
    }
}

/// One delivery to a receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct EventDelivery {
    /// Name of the plug-in.
    pub plugin: String,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Path of the POST request.
    pub path: String,
    /// JSON body: the events, and the number of events dropped so far.
    pub body: Vec<u8>,
}

/// Counts of a receiver's events and failed deliveries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct DeliveryCounts {
    /// Events in the queue.
    pub waiting: usize,
    /// Events accepted by the receiver.
    pub delivered: u64,
    /// Events dropped because the queue was full.
    pub dropped: u64,
    /// Failed deliveries.
    pub failures: u64,
}

/// Phase of the deliveries to one receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryPhase {
    /// The next delivery may be sent from this time on.
    Idle(Time),
    /// A delivery of this number of events is in flight.
    Sending(usize),
}

/// The event queue of one receiver, with retries.
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
    /// Creates an empty outbox.
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

    /// Queues an event if the receiver wants its kind. If the queue is full, the oldest event that is not in flight is
    /// dropped.
    pub fn enqueue(&mut self, event: &ReportedEvent) {
        if !self.receiver.events.is_empty() && !self.receiver.events.contains(&event.kind) {
            return;
        }
        if self.queue.len() >= MAX_OUTBOX_EVENTS {
            // Events in flight are at the front of the queue and stay.
            let in_flight = if let DeliveryPhase::Sending(n) = self.phase { n } else { 0 };
            self.queue.remove(in_flight);
            self.counts.dropped += 1;
        }
        self.queue.push_back(event.clone());
    }

    /// Starts the next delivery, if events are queued and a delivery may be sent now.
    pub fn next_delivery(&mut self, plugin: &str, now: Time) -> Option<EventDelivery> {
        let DeliveryPhase::Idle(at) = self.phase else { return None };
        if now < at || self.queue.is_empty() {
            return None;
        }
        let events: Vec<&ReportedEvent> = self.queue.iter().take(MAX_DELIVERY_EVENTS).collect();
        let count = events.len();
        let body = serde_json::to_vec(&DeliveryBody { events, dropped: self.counts.dropped });
        self.phase = DeliveryPhase::Sending(count);
        Some(EventDelivery {
            plugin: plugin.to_string(),
            to: self.receiver.to,
            path: self.receiver.path.clone(),
            body: body.unwrap_or_default(),
        })
    }

    /// Handles the end of the delivery in flight. A failed delivery is retried with exponential backoff.
    pub fn on_delivery_ended(&mut self, accepted: bool, now: Time) {
        let DeliveryPhase::Sending(count) = self.phase else { return };
        if accepted {
            self.queue.drain(..count.min(self.queue.len()));
            self.counts.delivered += count as u64;
            self.backoff_ms = 0;
            self.phase = DeliveryPhase::Idle(now + MIN_DELIVERY_INTERVAL_MS);
        } else {
            self.counts.failures += 1;
            self.backoff_ms =
                (self.backoff_ms * 2).clamp(DELIVERY_BACKOFF_MS, MAX_DELIVERY_BACKOFF_MS);
            self.phase = DeliveryPhase::Idle(now + self.backoff_ms);
        }
    }

    /// Counts of events and failed deliveries.
    pub fn counts(&self) -> DeliveryCounts {
        DeliveryCounts { waiting: self.queue.len(), ..self.counts }
    }
}
