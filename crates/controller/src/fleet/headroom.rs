//! Headroom: capacity that is kept free for services still to be submitted.

use crate::cluster_state::ClusterState;
use crate::job::{JobKind, JobSpec};
use crate::machine::{Machine, MachineState, MachineType, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of further tasks of each service class that the free resources can take at once. An idle machine that is not
/// needed for the wanted headroom may be terminated.
#[derive(Debug)]
pub(super) struct ServiceHeadroom {
    /// Headroom wanted for each class, tasks.
    wanted_tasks: u32,
    /// By class: a job of the class, and the tasks of it that fit.
    free_by_class: Vec<(Arc<JobSpec>, u32)>,
}

impl ServiceHeadroom {
    /// Counts the headroom of all machines. `wanted_tasks`: headroom wanted for each class.
    pub fn count(
        state: &ClusterState,
        types: &[MachineType],
        wanted_tasks: u32,
    ) -> ServiceHeadroom {
        let mut classes: BTreeMap<&str, &Arc<JobSpec>> = BTreeMap::new();
        for job in
            state.jobs.values().filter(|j| j.spec.kind == JobKind::Service && !j.is_cancelled())
        {
            classes.entry(&job.spec.class).or_insert(&job.spec);
        }
        let classes: Vec<Arc<JobSpec>> = classes.into_values().cloned().collect();
        let mut headroom = ServiceHeadroom {
            wanted_tasks,
            free_by_class: classes.into_iter().map(|s| (s, 0)).collect(),
        };
        for machine in state.machines.values() {
            for (spec, free) in &mut headroom.free_by_class {
                *free += replica_capacity(machine, types, spec);
            }
        }
        headroom
    }

    /// Whether a machine is needed for the headroom. If not, it is no longer counted.
    pub fn needs_machine(&mut self, machine: &Machine, types: &[MachineType]) -> bool {
        let is_needed = |(spec, free): &(Arc<JobSpec>, u32)| {
            let capacity = replica_capacity(machine, types, spec);
            capacity > 0 && *free < self.wanted_tasks + capacity
        };
        if self.free_by_class.iter().any(is_needed) {
            return true;
        }
        for (spec, free) in &mut self.free_by_class {
            *free -= replica_capacity(machine, types, spec).min(*free);
        }
        false
    }
}

/// Number of tasks of a service that a machine can take at once. A booting machine does not count: otherwise a ready
/// machine could be terminated in favour of one that boots a minute late, and a service would wait for it.
fn replica_capacity(machine: &Machine, types: &[MachineType], spec: &JobSpec) -> u32 {
    let is_ready = machine.state() == MachineState::Ready;
    let Some(machine_type) = types.iter().find(|t| t.name == machine.machine_type) else {
        return 0;
    };
    if !is_ready
        || !machine.may_receive_work()
        || machine.reclaimed_at.is_some()
        || machine.spot && !spec.spot
        || !machine_type.allows(spec)
        || machine_type.is_wasted_on(spec)
    {
        return 0;
    }
    machine.free_resources().unwrap_or_default().task_count(&Resources::for_task(spec))
}
