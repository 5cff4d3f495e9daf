//! Places: where a task could go.

use super::completion_times::CompletionId;
use crate::cluster_state::SlotId;
use crate::job::{JobId, MachineId, Priority};
use crate::machine::Resources;
use std::collections::HashMap;

/// What a place is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TargetKind {
    /// Free room on a machine that is ready.
    ReadyMachine,
    /// The end of a line.
    RunQueue(SlotId),
    /// A machine that boots; used to plan only.
    BootingMachine,
    /// A machine that could be rented; used to plan only.
    PlannedMachine,
}

/// Where a task could go.
#[derive(Debug, Clone)]
pub(super) struct PlacementTarget {
    pub target_kind: TargetKind,
    pub machine: Option<MachineId>,
    /// Numbers of its type and zone in the round.
    pub type_index: usize,
    pub zone_index: usize,
    pub spot: bool,
    pub free: Resources,
    /// Tasks there are being stopped.
    pub has_stopping_tasks: bool,
    /// What of the room is kept for services.
    pub reserved_for_services: Resources,
    /// What of the room is kept for gangs that have left it, with their priority.
    pub reserved_for_gangs: Vec<(JobId, Priority, Resources)>,
    /// When what is before it ends.
    pub completion_id: CompletionId,
    /// Numbers of the images there that this round asks for.
    pub images: Vec<u32>,
}

/// Names of this round as small numbers.
#[derive(Debug, Default)]
pub(super) struct NameIndex {
    indices: HashMap<String, u32>,
}

impl NameIndex {
    /// The number of a name, given out if it is new.
    pub fn index_or_insert(&mut self, name: &str) -> u32 {
        if let Some(n) = self.indices.get(name) {
            return *n;
        }
        let n = self.indices.len() as u32;
        self.indices.insert(name.to_string(), n);
        n
    }

    /// The number of a name, if it has one.
    pub fn index_of(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }
}
