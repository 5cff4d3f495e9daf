//! Gang scheduling of one job: whether the gang is complete, fetching its image or being stopped as a whole, and which
//! machines are reserved for its next placement.

use super::{Job, MachineId};
use crate::Time;
use crate::constants::GANG_RESERVATION_MS;

/// State of a gang as a whole. A job of another kind is always [`GangState::Whole`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangState {
    /// It waits to be placed, or all its tasks are bound.
    Whole,
    /// A task has exited because the gang was not complete in time, while others still fetch the image. Those continue,
    /// since a worker aborts a fetch that no task waits for. The gang is placed again once its machines have the image.
    Fetching,
    /// A task was lost or is to be stopped: all tasks of the gang are stopped, and it is placed again when none is
    /// left.
    Stopping,
}

impl Job {
    /// State of the gang.
    pub fn gang_state(&self) -> GangState {
        self.gang_state
    }

    /// The only function that changes the state of the gang. It becomes whole again only when no attempt is left.
    /// Returns whether it changed.
    pub fn set_gang_state(&mut self, to: GangState) -> bool {
        let none_left = self.attempts.occupying() == 0;
        let allowed = match (self.gang_state, to) {
            (GangState::Whole, GangState::Fetching | GangState::Stopping)
            | (GangState::Fetching, GangState::Stopping) => !none_left,
            (GangState::Fetching | GangState::Stopping, GangState::Whole) => none_left,
            _ => false,
        };
        if allowed {
            self.gang_state = to;
        }
        allowed
    }

    /// Whether a task still fetches the image and none is running: the fetch is worth waiting for.
    pub fn is_fetching(&self) -> bool {
        let counts = self.attempts.counts();
        counts.fetching > 0 && counts.running == 0 && counts.saving == 0
    }

    /// Machines whose resources are reserved for this gang until it is placed again: while attempts of it are still
    /// being stopped, and then for [`GANG_RESERVATION_MS`], since further machines that it needs may have to boot.
    pub fn reserved_machines(&self, now: Time) -> impl Iterator<Item = &MachineId> {
        let is_stopping = self.gang_state != GangState::Whole;
        let is_reserved = move |(_, vacated_at): &(&MachineId, &Time)| {
            is_stopping || now < **vacated_at + GANG_RESERVATION_MS
        };
        self.vacated_machines.iter().filter(is_reserved).map(|(machine, _)| machine)
    }
}
