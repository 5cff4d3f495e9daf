//! The reserve: room for services that are still to come.

use crate::cluster_state::ClusterState;
use crate::job::{JobKind, JobSpec};
use crate::machine::{Machine, MachineState, MachineType, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How many more tasks of each service class than now would find room at once: what an idle
/// machine adds beyond the wanted reserve may be returned.
#[derive(Debug)]
pub(super) struct ServiceHeadroom {
    wanted_tasks: u32,
    free_by_class: Vec<(Arc<JobSpec>, u32)>,
}

impl ServiceHeadroom {
    /// Counts over all machines.
    pub fn count(state: &ClusterState, types: &[MachineType], each: u32) -> ServiceHeadroom {
        let mut classes: BTreeMap<&str, &Arc<JobSpec>> = BTreeMap::new();
        for job in
            state.jobs.values().filter(|j| j.spec.kind == JobKind::Service && !j.is_cancelled())
        {
            classes.entry(&job.spec.class).or_insert(&job.spec);
        }
        let classes: Vec<Arc<JobSpec>> = classes.into_values().cloned().collect();
        let mut reserve = ServiceHeadroom {
            wanted_tasks: each,
            free_by_class: classes.into_iter().map(|s| (s, 0)).collect(),
        };
        for machine in state.machines.values() {
            for (spec, found) in &mut reserve.free_by_class {
                *found += replica_capacity(machine, types, spec);
            }
        }
        reserve
    }

    /// Whether a machine is needed for the reserve. If it is not, it no longer counts.
    pub fn needs_machine(&mut self, machine: &Machine, types: &[MachineType]) -> bool {
        let needs = |(spec, found): &(Arc<JobSpec>, u32)| {
            let here = replica_capacity(machine, types, spec);
            here > 0 && *found < self.wanted_tasks + here
        };
        if self.free_by_class.iter().any(needs) {
            return true;
        }
        for (spec, found) in &mut self.free_by_class {
            *found -= replica_capacity(machine, types, spec).min(*found);
        }
        false
    }
}

/// Tasks of a service that a machine could take at once. One that boots does not count: a machine
/// that is up was returned for one that came up a minute late, and a service waited for it.
fn replica_capacity(machine: &Machine, types: &[MachineType], spec: &JobSpec) -> u32 {
    let able = machine.state() == MachineState::Ready;
    let Some(kind) = types.iter().find(|t| t.name == machine.machine_type) else { return 0 };
    if !able
        || !machine.may_receive_work()
        || machine.reclaimed_at.is_some()
        || machine.spot && !spec.spot
        || !kind.allows(spec)
        || kind.is_wasted_on(spec)
    {
        return 0;
    }
    machine.free_resources().unwrap_or_default().task_count(&Resources::for_task(spec))
}
