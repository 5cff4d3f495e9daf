//! State of a scheduling cycle: its inputs, and what it has planned so far. Each step of the cycle depends on this
//! module and on no other step.

use super::candidate::PlacementCandidate;
use super::cloud_availability::CloudAvailability;
use super::completion_times::CompletionTimes;
use super::plan::{CyclePlan, PlanStep, PlanningContext};
use super::target::{NameIndex, PlacementTarget};
use super::team_usage::TeamUsage;
use super::victims::PreemptionCandidate;
use crate::cluster_state::{ClusterState, quota_per_task};
use crate::constants::{
    ARRAY_ATTEMPTS_DIVISOR, MAX_LOGGED_BINDINGS, MAX_LOGGED_BINDINGS_LOW_PRIORITY,
};
use crate::job::{GangState, Job, JobId, JobKind, JobSpec, JobState, MachineId, Priority};
use crate::machine::MachineType;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// State of a scheduling cycle. A full cycle is a mapping round; others run between mapping rounds.
pub(super) struct MappingRound<'a> {
    pub cluster_state: &'a ClusterState,
    pub context: PlanningContext<'a>,
    pub types: &'a [MachineType],
    /// By index of the team in the settings.
    pub team_usage: Vec<TeamUsage>,
    /// Names of the zones by zone index.
    pub zones: Vec<String>,
    pub images: NameIndex,
    /// Images for which service headroom is reserved, each with a job that uses it.
    pub service_images: Vec<(u32, Arc<JobSpec>)>,
    pub completion_times: CompletionTimes,
    pub targets: Vec<PlacementTarget>,
    /// Machines to provision, by machine type, zone and spot property.
    pub planned_machines: BTreeMap<(usize, usize, bool), u32>,
    pub availability: CloudAvailability,
    /// Computed on demand.
    pub preemption_candidates: Option<Vec<PreemptionCandidate>>,
    /// Tasks to place, by job class.
    pub waiting_by_class: HashMap<String, u32>,
    /// This is a mapping round, and not an event-driven cycle that only places tasks on free resources.
    pub is_full: bool,
    /// Number of jobs for which this round has reserved capacity.
    pub gangs_reserved: usize,
    /// Jobs that found no target although their team's limit allows more.
    pub unplaced_jobs: Vec<JobId>,
    /// The jobs considered now may not start yet: nothing is bound, only provisioning is planned.
    pub planning_ahead: bool,
    /// Planned bindings that go to the binding log.
    pub bound_tasks: usize,
    /// Attempts of all jobs when the cycle began.
    pub held_attempts: usize,
    /// Attempts planned in this cycle.
    pub planned_attempts: usize,
    /// Tasks appended to run queues in this cycle.
    pub queued_tasks: usize,
    pub plan: CyclePlan,
}

impl<'a> MappingRound<'a> {
    /// A cycle in which nothing is planned yet.
    pub fn new(
        cluster_state: &'a ClusterState,
        context: PlanningContext<'a>,
        is_full: bool,
    ) -> MappingRound<'a> {
        MappingRound {
            cluster_state,
            context,
            types: context.machine_types,
            team_usage: TeamUsage::from_cluster(cluster_state, &context.settings.settings.teams),
            zones: Vec::new(),
            images: NameIndex::default(),
            service_images: Vec::new(),
            completion_times: CompletionTimes::default(),
            targets: Vec::new(),
            planned_machines: BTreeMap::new(),
            availability: CloudAvailability::default(),
            preemption_candidates: None,
            waiting_by_class: HashMap::new(),
            is_full,
            gangs_reserved: 0,
            unplaced_jobs: Vec::new(),
            planning_ahead: false,
            bound_tasks: 0,
            held_attempts: cluster_state.jobs.values().map(|job| job.attempts.len()).sum(),
            planned_attempts: 0,
            queued_tasks: 0,
            plan: CyclePlan {
                run_queues: cluster_state.run_queues.clone(),
                ..CyclePlan::default()
            },
        }
    }

    /// Whether a candidate's team stays within its guarantee with one more of its tasks.
    pub fn is_within_guarantee(&self, c: &PlacementCandidate) -> bool {
        c.team_index
            .is_some_and(|t| self.team_usage[t].is_within_guarantee(quota_per_task(&c.spec)))
    }

    /// Whether its team's limit allows `tasks` more tasks of a candidate.
    pub fn is_within_limit(&self, c: &PlacementCandidate, tasks: u32) -> bool {
        c.team_index.is_some_and(|n| {
            self.team_usage[n].allows(quota_per_task(&c.spec).multiplied_by(tasks))
        })
    }

    /// Counts planned tasks of a candidate in its team's usage.
    pub fn add_planned_usage(&mut self, c: &PlacementCandidate, tasks: u32) {
        if let Some(team) = c.team_index {
            self.team_usage[team].add_usage(quota_per_task(&c.spec).multiplied_by(tasks));
        }
    }

    /// Number of a candidate's tasks that may be bound within the bound on attempts.
    pub fn attempt_room(&self, c: &PlacementCandidate) -> usize {
        let max_attempts = self.context.policy.bounds.max_attempts;
        let room = max_attempts.saturating_sub(self.held_attempts + self.planned_attempts);
        if c.spec.kind != JobKind::Array {
            return room;
        }
        let held = self.cluster_state.jobs.get(&c.id).map_or(0, |job| job.attempts.len());
        let max_held = max_attempts - max_attempts / ARRAY_ATTEMPTS_DIVISOR;
        room.min(max_held.saturating_sub(held))
    }

    /// Plans to bind a task. Returns false if the binding log is full, or the bound on attempts is reached.
    pub fn plan_binding(&mut self, c: &PlacementCandidate, machine: MachineId) -> bool {
        if self.planning_ahead {
            self.add_planned_usage(c, 1);
            return true;
        }
        if self.attempt_room(c) == 0 {
            return false;
        }
        let max_bindings = if c.spec.priority == Priority::Low {
            MAX_LOGGED_BINDINGS_LOW_PRIORITY
        } else {
            MAX_LOGGED_BINDINGS
        };
        if self.cluster_state.binding_log.len() + self.bound_tasks >= max_bindings {
            return false;
        }
        self.plan.steps.push(PlanStep::Bind(c.id.clone(), machine));
        self.add_planned_usage(c, 1);
        self.bound_tasks += 1;
        self.planned_attempts += 1;
        true
    }

    /// Waiting tasks of a job that are in no run queue.
    pub fn unqueued_tasks(&self, job: &Job) -> u32 {
        (job.waiting.len() as u32).saturating_sub(self.plan.run_queues.queued_tasks(&job.id))
    }
}

/// Whether a job has tasks that may be placed.
pub(super) fn is_placeable(job: &Job) -> bool {
    job.state() == JobState::Live && job.gang_state() == GangState::Whole
}
