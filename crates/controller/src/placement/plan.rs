//! Inputs of a scheduling cycle beside the cluster state, and the plan that it returns.

use crate::Time;
use crate::cluster_state::{ProvisioningRequest, RunQueues};
use crate::constants::MS_PER_S;
use crate::cycle_policy::CyclePolicy;
use crate::job::{JobId, MachineId};
use crate::machine::MachineType;
use crate::settings::Settings;

/// Inputs of planning beside the cluster state.
#[derive(Clone, Copy)]
pub struct PlanningContext<'a> {
    /// Monotonic time, ms.
    pub now: Time,
    /// Wall-clock time, ms.
    pub wall_now: u64,
    /// The platform's settings.
    pub settings: &'a Settings,
    /// The machine types that the cloud offers.
    pub machine_types: &'a [MachineType],
    /// Scheduling parameters set by operators and plug-ins.
    pub policy: &'a CyclePolicy,
}

impl PlanningContext<'_> {
    /// Duration of a worker's lease, ms.
    pub fn lease_ms(&self) -> f64 {
        self.settings.settings.workers.lease_s * MS_PER_S
    }
}

/// One step of a plan. The controller checks each step against quotas, zones and machine types when it applies it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanStep {
    /// Bind a job's next waiting task.
    Bind(JobId, MachineId),
    /// Bind all missing tasks of a gang, under one attempt number: to each machine this number of tasks.
    BindGang(JobId, Vec<(MachineId, u32)>),
    /// Stop tasks so that a job can start on their resources.
    Preempt {
        /// The job that gets the resources.
        by: JobId,
        /// Longest image fetch that it will need there, ms.
        fetch_ms: f64,
        /// Tasks to stop.
        victims: Vec<(JobId, u32)>,
    },
    /// Reserve resources on machines for a job, mostly a gang, as they become free.
    ReserveForGang(JobId, Vec<MachineId>),
    /// Hold the free resources of machines from low-priority work for a while, since other work waits for them.
    HoldFromLowPriority(Vec<MachineId>),
    /// Stop lower-priority tasks of the same team, because the team's limit leaves too little for a service.
    PreemptForQuota {
        /// The service.
        by: JobId,
        /// Tasks to stop.
        victims: Vec<(JobId, u32)>,
    },
}

/// The result of a scheduling cycle, to be applied in order.
#[derive(Debug, Default)]
pub struct CyclePlan {
    /// Bindings, preemptions and reservations.
    pub steps: Vec<PlanStep>,
    /// The run queues as they are after the cycle.
    pub run_queues: RunQueues,
    /// Machines to provision; `None` unless this was a mapping round that completed.
    pub provisioning_requests: Option<Vec<ProvisioningRequest>>,
    /// Jobs that found no target although their team's limit allows more; `None` unless this was a mapping round that
    /// completed.
    pub unplaced_jobs: Option<Vec<JobId>>,
    /// The cycle reached its limit of bindings; the next one continues.
    pub cut_short: bool,
    /// Scores computed: a measure of cost that does not depend on the speed of the CPU.
    pub scores_computed: u64,
    /// Targets evaluated for candidates, and slots whose completion was computed: the rest of the cost.
    pub targets_examined: u64,
}
