//! Cluster events for subscribers: recorded by the leader's state, and taken by the controller for delivery.

use crate::constants::MAX_BUFFERED_CLUSTER_EVENTS;

/// A cluster event.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterEvent {
    /// Kind of the subject: `task`, `job`, `machine`, `term` or `rental`.
    pub kind: &'static str,
    /// What happened.
    pub event: String,
    /// Name of the subject.
    pub subject: String,
    /// Additional information, if any.
    pub detail: Option<String>,
}

/// Events recorded since they were last taken. Nothing is recorded while there is no subscriber.
#[derive(Debug, Default)]
pub struct ClusterEvents {
    has_subscribers: bool,
    pending: Vec<ClusterEvent>,
}

impl ClusterEvents {
    /// Records an event. It is dropped if [`MAX_BUFFERED_CLUSTER_EVENTS`] events are already waiting to be taken.
    pub fn record(
        &mut self,
        kind: &'static str,
        event: impl std::fmt::Display,
        subject: impl std::fmt::Display,
        detail: Option<&str>,
    ) {
        if self.has_subscribers && self.pending.len() < MAX_BUFFERED_CLUSTER_EVENTS {
            let detail = detail.map(str::to_string);
            let (event, subject) = (event.to_string(), subject.to_string());
            self.pending.push(ClusterEvent { kind, event, subject, detail });
        }
    }

    /// Takes the recorded events, and sets whether further ones are recorded.
    pub fn take(&mut self, has_subscribers: bool) -> Vec<ClusterEvent> {
        self.has_subscribers = has_subscribers;
        std::mem::take(&mut self.pending)
    }
}
