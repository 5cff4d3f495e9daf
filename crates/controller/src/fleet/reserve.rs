//! The reserve: room for services that are still to come.

use crate::job::{Kind, Spec};
use crate::machine::{Machine, MachineType, Room, Standing};
use crate::tables::Tables;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How many more tasks of each service class than now would find room at once: what an idle
/// machine adds beyond the wanted reserve may be returned.
#[derive(Debug)]
pub(super) struct Reserve {
    each: u32,
    classes: Vec<(Arc<Spec>, u32)>,
}

impl Reserve {
    /// Counts over all machines.
    pub fn count(tables: &Tables, types: &[MachineType], each: u32) -> Reserve {
        let mut classes: BTreeMap<&str, &Arc<Spec>> = BTreeMap::new();
        for job in tables.jobs.values().filter(|j| j.spec.kind == Kind::Service && !j.cancelled()) {
            classes.entry(&job.spec.class).or_insert(&job.spec);
        }
        let classes: Vec<Arc<Spec>> = classes.into_values().cloned().collect();
        let mut reserve = Reserve { each, classes: classes.into_iter().map(|s| (s, 0)).collect() };
        for machine in tables.machines.values() {
            for (spec, found) in &mut reserve.classes {
                *found += holds(machine, types, spec);
            }
        }
        reserve
    }

    /// Whether a machine is needed for the reserve. If it is not, it no longer counts.
    pub fn needs(&mut self, machine: &Machine, types: &[MachineType]) -> bool {
        let needs = |(spec, found): &(Arc<Spec>, u32)| {
            let here = holds(machine, types, spec);
            here > 0 && *found < self.each + here
        };
        if self.classes.iter().any(needs) {
            return true;
        }
        for (spec, found) in &mut self.classes {
            *found -= holds(machine, types, spec).min(*found);
        }
        false
    }
}

/// Tasks of a service that a machine could take at once. One that boots does not count: a machine
/// that is up was returned for one that came up a minute late, and a service waited for it.
fn holds(machine: &Machine, types: &[MachineType], spec: &Spec) -> u32 {
    let able = machine.standing() == Standing::Ready;
    let Some(kind) = types.iter().find(|t| t.name == machine.kind) else { return 0 };
    if !able
        || !machine.trusted()
        || machine.recall_at.is_some()
        || machine.spot && !spec.spot
        || !kind.allows(spec)
        || kind.wasted_on(spec)
    {
        return 0;
    }
    machine.free().unwrap_or_default().fits(&Room::of(spec))
}
