//! Events of the cluster for those who subscribed to them: collected by the leader, taken by the controller.

use crate::constants::MAX_BUFFERED_CLUSTER_EVENTS;

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterEvent {
    /// `task`, `job`, `machine`, `term` or `rental`.
    pub kind: &'static str,
    /// What happened.
    pub event: String,
    /// Name of the subject: which task, job, machine.
    pub subject: String,
    /// More, if there is any.
    pub detail: Option<String>,
}

/// Events since they were last taken. Empty, and free of cost, while nobody is subscribed.
#[derive(Debug, Default)]
pub struct ClusterEvents {
    has_subscribers: bool,
    pending: Vec<ClusterEvent>,
}

impl ClusterEvents {
    /// Notes an event. Events beyond [`MAX_BUFFERED_CLUSTER_EVENTS`] are lost until the others are taken.
    pub fn record(
        &mut self,
        kind: &'static str,
        what: impl std::fmt::Display,
        of: impl std::fmt::Display,
        detail: Option<&str>,
    ) {
        if self.has_subscribers && self.pending.len() < MAX_BUFFERED_CLUSTER_EVENTS {
            let detail = detail.map(str::to_string);
            let (what, of) = (what.to_string(), of.to_string());
            self.pending.push(ClusterEvent { kind, event: what, subject: of, detail });
        }
    }

    /// Takes the events so far, and sets whether further ones are collected.
    pub fn take(&mut self, has_subscribers: bool) -> Vec<ClusterEvent> {
        self.has_subscribers = has_subscribers;
        std::mem::take(&mut self.pending)
    }
}
