//! What a round works on: the tables and the view that it reads, and what it has planned so far. Whoever plays a
//! part of a round knows this and not the others.

use super::candidate::PlacementCandidate;
use super::cloud_availability::CloudAvailability;
use super::completion_times::CompletionTimes;
use super::plan::{CyclePlan, PlanStep, PlanningContext};
use super::target::{NameIndex, PlacementTarget};
use super::team_usage::TeamUsage;
use super::victims::PreemptionCandidate;
use crate::cluster_state::{ClusterState, quota_per_task};
use crate::constants::{MAX_LOGGED_BINDINGS, MAX_LOGGED_BINDINGS_LOW_PRIORITY};
use crate::job::{GangState, Job, JobId, JobSpec, JobState, MachineId, Priority};
use crate::machine::MachineType;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

pub(super) struct MappingRound<'a> {
    pub cluster_state: &'a ClusterState,
    pub view: PlanningContext<'a>,
    pub types: &'a [MachineType],
    /// The teams of the settings.
    pub team_usage: Vec<TeamUsage>,
    pub zones: Vec<String>,
    pub images: NameIndex,
    pub service_images: Vec<(u32, Arc<JobSpec>)>,
    pub completion_times: CompletionTimes,
    pub targets: Vec<PlacementTarget>,
    pub planned_machines: BTreeMap<(usize, usize, bool), u32>,
    pub availability: CloudAvailability,
    pub preemption_candidates: Option<Vec<PreemptionCandidate>>,
    pub waiting_by_class: HashMap<String, u32>,
    pub is_full: bool,
    /// Gangs for which room was gathered in this round.
    pub gangs_reserved: usize,
    /// Jobs that found no place for what their team's limit leaves them.
    pub unplaced_jobs: Vec<JobId>,
    /// What is looked at may not begin yet: it binds nothing, and only says what to rent.
    pub planning_ahead: bool,
    /// Tasks bound in this pass.
    pub bound_tasks: usize,
    /// Tasks that have joined lines in it.
    pub queued_tasks: usize,
    pub plan: CyclePlan,
}

impl<'a> MappingRound<'a> {
    /// A round that has not begun.
    pub fn new(
        cluster_state: &'a ClusterState,
        view: PlanningContext<'a>,
        is_full: bool,
    ) -> MappingRound<'a> {
        MappingRound {
            cluster_state,
            view,
            types: view.machine_types,
            team_usage: TeamUsage::from_cluster(cluster_state, &view.settings.settings.teams),
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
            queued_tasks: 0,
            plan: CyclePlan {
                run_queues: cluster_state.run_queues.clone(),
                ..CyclePlan::default()
            },
        }
    }

    /// Whether a chooser's team stays within its guarantee with one more task of it.
    pub fn is_within_guarantee(&self, c: &PlacementCandidate) -> bool {
        c.team_index
            .is_some_and(|t| self.team_usage[t].is_within_guarantee(quota_per_task(&c.spec)))
    }

    /// Whether its team's limit leaves room for so many tasks of a chooser.
    pub fn is_within_limit(&self, c: &PlacementCandidate, tasks: u32) -> bool {
        c.team_index.is_some_and(|n| {
            self.team_usage[n].allows(quota_per_task(&c.spec).multiplied_by(tasks))
        })
    }

    /// Counts what a plan would use.
    pub fn add_planned_usage(&mut self, c: &PlacementCandidate) {
        if let Some(team) = c.team_index {
            self.team_usage[team].add_usage(quota_per_task(&c.spec));
        }
    }

    /// Plans to bind a task. False if the ledger has no room for it.
    pub fn plan_binding(&mut self, c: &PlacementCandidate, machine: MachineId) -> bool {
        if self.planning_ahead {
            self.add_planned_usage(c);
            return true;
        }
        let most = if c.spec.priority == Priority::Low {
            MAX_LOGGED_BINDINGS_LOW_PRIORITY
        } else {
            MAX_LOGGED_BINDINGS
        };
        if self.cluster_state.binding_log.len() + self.bound_tasks >= most {
            return false;
        }
        self.plan.steps.push(PlanStep::Bind(c.id.clone(), machine));
        self.add_planned_usage(c);
        self.bound_tasks += 1;
        true
    }

    /// Tasks of a job that wait and stand in no line.
    pub fn unqueued_tasks(&self, job: &Job) -> u32 {
        (job.waiting.len() as u32).saturating_sub(self.plan.run_queues.queued_tasks(&job.id))
    }
}

/// Whether a job has tasks that may be placed.
pub(super) fn is_placeable(job: &Job) -> bool {
    job.state() == JobState::Live && job.gang_state() == GangState::Whole
}
