//! Which idle machines work that waits may use. Work that its team's limit holds back keeps none: such
//! machines were paid for, and nobody could be placed on them.

use crate::cluster_state::ClusterState;
use crate::job::{JobKind, JobSpec};
use crate::machine::{Machine, MachineType, Resources};
use crate::placement::{PlanningContext, TeamAllowances};
use std::collections::HashMap;
use std::sync::Arc;

/// Tasks that wait, used up by the machines that are kept for them.
pub(super) struct PendingDemand<'a> {
    machine_types: &'a [MachineType],
    allowances: TeamAllowances,
    /// What jobs want: a task, its team, and how many wait.
    jobs: Vec<(Arc<JobSpec>, usize, u32)>,
    /// Those that may use a type and kind, as numbers of the above.
    jobs_by_type_and_spot: HashMap<(usize, bool), Vec<usize>>,
}

impl<'a> PendingDemand<'a> {
    /// Counts what waits. While only replicas do, which take room that is there, nothing is kept.
    pub fn count(state: &ClusterState, context: PlanningContext<'a>) -> PendingDemand<'a> {
        let teams = &context.settings.settings.teams;
        let open = state.jobs.values().filter(|j| j.has_queued_tasks() && !j.is_cancelled());
        let open: Vec<_> = open.chain(state.upcoming_tasks(context.now)).collect();
        let waits = open.iter().any(|j| j.spec.kind != JobKind::Service);
        let jobs = open.into_iter().filter(|_| waits).filter_map(|j| {
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

    /// Whether tasks that wait may use a machine. Those that would are then not counted for another.
    pub fn wants_machine(&mut self, machine: &Machine) -> bool {
        let Some(kind) = self.machine_types.iter().position(|t| t.name == machine.machine_type)
        else {
            return false;
        };
        let (t, jobs) = (&self.machine_types[kind], &mut self.jobs);
        let may = |spec: &JobSpec| {
            t.allows(spec) && !t.is_wasted_on(spec) && (!machine.spot || spec.spot)
        };
        let able = self
            .jobs_by_type_and_spot
            .entry((kind, machine.spot))
            .or_insert_with(|| (0..jobs.len()).filter(|n| may(&jobs[*n].0)).collect());
        let mut room = t.resources();
        let mut wanted = false;
        able.retain(|n| {
            let (spec, team, want) = &mut jobs[*n];
            let each = Resources::for_task(spec);
            let fits = room.task_count(&each);
            if *want == 0 || fits == 0 {
                return *want > 0;
            }
            let take = self.allowances.take_tasks(*team, spec, *want, fits);
            *want -= take;
            for _ in 0..take {
                room.subtract(&each);
            }
            wanted |= take > 0;
            // What its team may not use any more it will not use on the next machine either.
            *want > 0 && take > 0
        });
        wanted
    }
}
