//! What has happened, for those who are told of it.

use crate::constants::CLUSTER_EVENTS_MAX;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterEvent {
    /// `task`, `job`, `machine`, `term` or `rental`.
    pub kind: &'static str,
    /// What.
    pub what: String,
    /// Of which.
    pub of: String,
    /// More, if there is any.
    pub detail: Option<String>,
}

/// What has happened since it was last told. Empty, and free of cost, while nobody listens.
#[derive(Debug, Default)]
pub struct ClusterEvents {
    listened: bool,
    held: Vec<ClusterEvent>,
}

impl ClusterEvents {
    /// Notes something. Between two tellings only so much is held.
    pub fn note(
        &mut self,
        kind: &'static str,
        what: impl std::fmt::Display,
        of: impl std::fmt::Display,
        detail: Option<&str>,
    ) {
        if self.listened && self.held.len() < CLUSTER_EVENTS_MAX {
            let detail = detail.map(str::to_string);
            let (what, of) = (what.to_string(), of.to_string());
            self.held.push(ClusterEvent { kind, what, of, detail });
        }
    }

    /// What there is to tell; and whether anybody listens from now on.
    pub fn take(&mut self, listened: bool) -> Vec<ClusterEvent> {
        self.listened = listened;
        std::mem::take(&mut self.held)
    }
}
