//! What could be stopped for others.

use crate::job::*;
use crate::machine::Room;
use swiftsail_quota::Amounts;

/// A machine with tasks that could be stopped: what runs in idle hours first, then arrays, then whole gangs; of
/// each the least work lost first.
pub(super) struct Candidate {
    pub machine: MachineId,
    pub kind: usize,
    pub zone: usize,
    pub spot: bool,
    pub room: Room,
    pub tasks: Vec<Victim>,
}

/// A task that could be stopped.
pub(super) struct Victim {
    /// Work that would be lost, ms.
    pub lost: u64,
    pub job: JobId,
    pub task: u32,
    pub size: Room,
    pub priority: Priority,
    pub team: Option<usize>,
    /// It ends soon by itself, as far as can be told.
    pub ends: bool,
    /// It is a gang's: all of that leaves with it, and takes so much.
    pub gang: Option<Amounts>,
}

impl Victim {
    /// The order in which victims are taken.
    pub fn grade(&self) -> u8 {
        match (self.priority, self.gang.is_some()) {
            (Priority::Low, false) => 0,
            (_, false) => 1,
            (_, true) => 2,
        }
    }

    /// What its team uses less without it.
    pub fn less(&self) -> Amounts {
        self.gang.unwrap_or_else(|| Amounts::need(self.size.cpus, self.size.gpus))
    }
}
