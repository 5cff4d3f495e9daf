//! Placement targets: where a task could run.

use super::completion_times::CompletionId;
use crate::cluster_state::SlotId;
use crate::job::{JobId, MachineId, Priority};
use crate::machine::Resources;
use std::collections::HashMap;

/// Kind of a placement target.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TargetKind {
    /// Free resources of a ready machine.
    ReadyMachine,
    /// The end of the run queue of a slot, that is, behind an executing task.
    RunQueue(SlotId),
    /// A machine that boots or is requested; used for planning only.
    BootingMachine,
    /// A machine that this round plans to provision; used for planning only.
    PlannedMachine,
}

/// A machine or run queue on which a task could be placed.
#[derive(Debug, Clone)]
pub(super) struct PlacementTarget {
    pub target_kind: TargetKind,
    pub machine: Option<MachineId>,
    /// Indices of its machine type and zone in the round.
    pub type_index: usize,
    pub zone_index: usize,
    pub spot: bool,
    /// Free resources, or for a run queue those that its slot will free.
    pub free: Resources,
    /// Tasks on the machine are being stopped, or it is held from low-priority work.
    pub has_stopping_tasks: bool,
    /// Part of the free resources that is reserved for services.
    pub reserved_for_services: Resources,
    /// Parts of the free resources that are reserved for jobs, mostly gangs, with the priority of each.
    pub reserved_for_gangs: Vec<(JobId, Priority, Resources)>,
    /// When a task placed here could start: the completion of what is ahead of it.
    pub completion_id: CompletionId,
    /// Indices of the cached images that candidates of this round need.
    pub images: Vec<u32>,
}

/// Maps names to small indices for the duration of a round.
#[derive(Debug, Default)]
pub(super) struct NameIndex {
    indices: HashMap<String, u32>,
}

impl NameIndex {
    /// The index of a name. A new name gets the next one.
    pub fn index_or_insert(&mut self, name: &str) -> u32 {
        if let Some(n) = self.indices.get(name) {
            return *n;
        }
        let n = self.indices.len() as u32;
        self.indices.insert(name.to_string(), n);
        n
    }

    /// The index of a name, if it has one.
    pub fn index_of(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }
}
