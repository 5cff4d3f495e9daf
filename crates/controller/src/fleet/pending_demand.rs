//! Demand of waiting tasks for idle machines. Tasks that their team's limit holds back count for no machine: it would be
//! paid for, and nothing could be placed on it.

use crate::cluster_state::ClusterState;
use crate::job::{JobKind, JobSpec};
use crate::machine::{Machine, MachineType, Resources};
use crate::placement::{PlanningContext, TeamAllowances};
use std::collections::HashMap;
use std::sync::Arc;

/// Waiting tasks, less those for which machines are kept.
pub(super) struct PendingDemand<'a> {
    machine_types: &'a [MachineType],
    allowances: TeamAllowances,
    /// Job, index of its team, and its waiting tasks.
    jobs: Vec<(Arc<JobSpec>, usize, u32)>,
    /// Indices in `jobs` of those that may use a machine type and spot property.
    jobs_by_type_and_spot: HashMap<(usize, bool), Vec<usize>>,
}

impl<'a> PendingDemand<'a> {
    /// Counts waiting and upcoming tasks. If these are all replicas, no machine is kept for them.
    pub fn count(state: &ClusterState, context: PlanningContext<'a>) -> PendingDemand<'a> {
        let teams = &context.settings.settings.teams;
        let waiting = state.jobs.values().filter(|j| j.has_queued_tasks() && !j.is_cancelled());
        let waiting: Vec<_> = waiting.chain(state.upcoming_tasks(context.now)).collect();
        let has_other_work = waiting.iter().any(|j| j.spec.kind != JobKind::Service);
        let jobs = waiting.into_iter().filter(|_| has_other_work).filter_map(|j| {
            let team = teams.iter().position(|t| t.name == j.spec.team)?;
            Some((j.spec.clone(), team, j.waiting.len() as u32))
        });
        PendingDemand {
            machine_types: context.machine_types,
            allowances: TeamAllowances::from_cluster(state, teams),
            jobs: jobs.collect(),
            jobs_by_type_and_spot: HashMap::new(),
        }
    }

    /// Whether waiting tasks may use a machine. Those that fill it are not counted for further machines.
    pub fn wants_machine(&mut self, machine: &Machine) -> bool {
        let Some(type_index) =
            self.machine_types.iter().position(|t| t.name == machine.machine_type)
        else {
            return false;
        };
        let (t, jobs) = (&self.machine_types[type_index], &mut self.jobs);
        let may_use = |spec: &JobSpec| {
            t.allows(spec) && !t.is_wasted_on(spec) && (!machine.spot || spec.spot)
        };
        let candidates = self
            .jobs_by_type_and_spot
            .entry((type_index, machine.spot))
            .or_insert_with(|| (0..jobs.len()).filter(|n| may_use(&jobs[*n].0)).collect());
        let mut free = t.resources();
        let mut wanted = false;
        candidates.retain(|n| {
            let (spec, team, waiting) = &mut jobs[*n];
            let each = Resources::for_task(spec);
            let fits = free.task_count(&each);
            if *waiting == 0 || fits == 0 {
                return *waiting > 0;
            }
            let take = self.allowances.take_tasks(*team, spec, *waiting, fits);
            *waiting -= take;
            for _ in 0..take {
                free.subtract(&each);
            }
            wanted |= take > 0;
            // A team without allowance for this machine has none for the next one either.
            *waiting > 0 && take > 0
        });
        wanted
    }
}
