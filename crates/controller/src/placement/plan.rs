//! What a pass is made from beside the tables, and what it gives back.

use crate::Time;
use crate::cluster_state::{ProvisioningRequest, RunQueues};
use crate::constants::MS_PER_S;
use crate::cycle_policy::CyclePolicy;
use crate::job::{JobId, MachineId};
use crate::machine::MachineType;
use crate::settings::Settings;

/// What a plan is made from beside the tables.
#[derive(Clone, Copy)]
pub struct PlanningContext<'a> {
    /// Steady time.
    pub now: Time,
    /// Time of day, ms.
    pub wall_now: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// The machine types.
    pub machine_types: &'a [MachineType],
    /// What operators and plug-ins steer.
    pub policy: &'a CyclePolicy,
}

impl PlanningContext<'_> {
    /// Lease of a worker, ms.
    pub fn lease_ms(&self) -> f64 {
        self.settings.settings.workers.lease_s * MS_PER_S
    }
}

/// One step of a plan. The node checks each against the rules when it applies it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanStep {
    /// Bind a job's next waiting task.
    Bind(JobId, MachineId),
    /// Bind all that a gang lacks, under one launch number.
    BindGang(JobId, Vec<MachineId>),
    /// Stop tasks of lower priority so that a service may start there.
    Preempt {
        /// The service.
        by: JobId,
        /// The fetch that it will need there, ms.
        fetch_ms: f64,
        /// What is stopped.
        victims: Vec<(JobId, u32)>,
    },
    /// Keep room on such machines for a gang that has waited long, as it comes free.
    ReserveForGang(JobId, Vec<MachineId>),
    /// Keep what such machines have free from work of the lowest priority for a while: others wait for it.
    HoldFromLowPriority(Vec<MachineId>),
    /// Stop tasks of lower priority of the same team, whose limit leaves a service nothing.
    PreemptForQuota {
        /// The service.
        by: JobId,
        /// What is stopped.
        victims: Vec<(JobId, u32)>,
    },
}

/// What a pass wants done, in order.
#[derive(Debug, Default)]
pub struct CyclePlan {
    /// Bindings and stops.
    pub steps: Vec<PlanStep>,
    /// The lines as they are afterwards.
    pub run_queues: RunQueues,
    /// Machines to rent. Only a full pass that came to its end says.
    pub provisioning_requests: Option<Vec<ProvisioningRequest>>,
    /// Who found no place for what its team's limit leaves it. Only a full pass that came to its end says.
    pub unplaced_jobs: Option<Vec<JobId>>,
    /// The pass has bound its share: the next goes on.
    pub cut_short: bool,
    /// Scores computed: what the pass cost, whatever the processor's speed.
    pub scores_computed: u64,
    /// Places looked at by choosers, and slots whose end was worked out: the rest of its cost.
    pub targets_examined: u64,
}
