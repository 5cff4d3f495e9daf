//! Gang scheduling of one job: whether the gang is complete, gathering its image or being stopped as a whole, and which
//! machines are reserved for its next placement.

use super::{Attempt, AttemptPhase, Job, MachineId};
use crate::Time;
use crate::constants::GANG_RESERVATION_MS;

/// State of a gang as a whole. A job of another kind is always [`GangState::Whole`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangState {
    /// It waits to be placed, or all of it is bound.
    Whole,
    /// A task has ended because the gang was incomplete in time while others still fetch the image. Those go on, since
    /// a worker gives up a fetch that no task waits for. The gang is placed anew once its image is everywhere.
    Fetching,
    /// A task was lost or is to be stopped: all of the gang is stopped, and it is placed anew when none is left.
    Stopping,
}

impl Job {
    /// State of the gang.
    pub fn gang_state(&self) -> GangState {
        self.gang_state
    }

    /// The one function that changes the state of the gang: it becomes whole again only when none of its attempts is
    /// left. Returns whether it changed.
    pub fn set_gang_state(&mut self, to: GangState) -> bool {
        let none_left = !self.attempts.values().any(Attempt::occupies_resources);
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

    /// Whether a task still fetches the image and none runs: that fetch is worth waiting for.
    pub fn is_fetching(&self) -> bool {
        let mut phases = self.attempts.values().map(Attempt::phase);
        let any_fetches = phases.clone().any(|phase| phase == AttemptPhase::Fetching);
        any_fetches
            && !phases.any(|phase| matches!(phase, AttemptPhase::Running | AttemptPhase::Saving))
    }

    /// Machines whose resources are reserved for this gang until it is placed again: as long as others of it are still
    /// to leave, else for [`GANG_RESERVATION_MS`], since the other machines that it needs may have to boot.
    pub fn reserved_machines(&self, now: Time) -> impl Iterator<Item = &MachineId> {
        let is_leaving = self.gang_state != GangState::Whole;
        let is_reserved = move |(_, vacated_at): &(&MachineId, &Time)| {
            is_leaving || now < **vacated_at + GANG_RESERVATION_MS
        };
        self.vacated_machines.iter().filter(is_reserved).map(|(machine, _)| machine)
    }
}
