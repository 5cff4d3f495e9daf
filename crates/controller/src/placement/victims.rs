//! Tasks that could be preempted.

use crate::job::{JobId, MachineId, Priority};
use crate::machine::Resources;
use std::rc::Rc;
use swiftsail_quota::ResourceQuantities;

/// A machine with tasks that could be preempted, sorted by preemption rank and then by lost work.
pub(super) struct PreemptionCandidate {
    pub machine: MachineId,
    pub type_index: usize,
    pub zone_index: usize,
    pub spot: bool,
    pub free: Resources,
    /// Sorted: low-priority work first, then arrays, then gangs; within each the least work lost first.
    pub tasks: Vec<PreemptionVictim>,
}

/// Properties shared by the preemptible tasks of a job.
pub(super) struct VictimJob {
    pub id: JobId,
    /// Resources of one task.
    pub resources: Resources,
    pub priority: Priority,
    pub team_index: Option<usize>,
    /// For a gang, the amounts that the whole gang uses: all of its tasks are stopped together.
    pub gang_amounts: Option<ResourceQuantities>,
}

/// A task that could be preempted. There may be one for each running task, so it is kept small.
pub(super) struct PreemptionVictim {
    /// Work that would be lost, ms of run time.
    pub lost_work_ms: u64,
    pub job: Rc<VictimJob>,
    pub task: u32,
    /// It is low-priority work and expected to end soon by itself.
    pub ends_soon: bool,
}

impl VictimJob {
    /// Rank in which victims are chosen, lowest first.
    pub fn preemption_rank(&self) -> u8 {
        match (self.priority, self.gang_amounts.is_some()) {
            (Priority::Low, false) => 0,
            (_, false) => 1,
            (_, true) => 2,
        }
    }

    /// Quota that its team regains when a task of it is stopped.
    pub fn freed_quota(&self) -> ResourceQuantities {
        self.gang_amounts.unwrap_or_else(|| {
            ResourceQuantities::from_request(self.resources.cpus, self.resources.gpus)
        })
    }
}
