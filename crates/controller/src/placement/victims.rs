//! What could be stopped for others.

use crate::job::{JobId, MachineId, Priority};
use crate::machine::Resources;
use swiftsail_quota::ResourceQuantities;

/// A machine with tasks that could be stopped: what runs in idle hours first, then arrays, then whole gangs; of
/// each the least work lost first.
pub(super) struct PreemptionCandidate {
    pub machine: MachineId,
    pub type_index: usize,
    pub zone_index: usize,
    pub spot: bool,
    pub free: Resources,
    pub tasks: Vec<PreemptionVictim>,
}

/// A task that could be stopped.
pub(super) struct PreemptionVictim {
    /// Work that would be lost, ms.
    pub lost_work_ms: u64,
    pub job: JobId,
    pub task: u32,
    pub resources: Resources,
    pub priority: Priority,
    pub team_index: Option<usize>,
    /// It ends soon by itself, as far as can be told.
    pub ends_soon: bool,
    /// It is a gang's: all of that leaves with it, and takes so much.
    pub gang_amounts: Option<ResourceQuantities>,
}

impl PreemptionVictim {
    /// The order in which victims are taken.
    pub fn preemption_rank(&self) -> u8 {
        match (self.priority, self.gang_amounts.is_some()) {
            (Priority::Low, false) => 0,
            (_, false) => 1,
            (_, true) => 2,
        }
    }

    /// What its team uses less without it.
    pub fn freed_quota(&self) -> ResourceQuantities {
        self.gang_amounts.unwrap_or_else(|| {
            ResourceQuantities::from_request(self.resources.cpus, self.resources.gpus)
        })
    }
}
