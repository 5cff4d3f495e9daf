//! Which idle machines work that waits may use. Work that its team's limit holds back keeps none: such
//! machines were paid for, and nobody could be placed on them.

use crate::job::{Kind, Spec};
use crate::machine::{Machine, MachineType, Room};
use crate::placement::{Allowance, View};
use crate::tables::Tables;
use std::collections::HashMap;
use std::sync::Arc;

/// Tasks that wait, used up by the machines that are kept for them.
pub(super) struct Demand<'a> {
    types: &'a [MachineType],
    allowance: Allowance,
    /// What jobs want: a task, its team, and how many wait.
    jobs: Vec<(Arc<Spec>, usize, u32)>,
    /// Those that may use a type and kind, as numbers of the above.
    by_market: HashMap<(usize, bool), Vec<usize>>,
}

impl<'a> Demand<'a> {
    /// Counts what waits. While only replicas do, which take room that is there, nothing is kept.
    pub fn count(tables: &Tables, view: View<'a>) -> Demand<'a> {
        let teams = &view.settings.settings.teams;
        let open = tables.jobs.values().filter(|j| j.queued() && !j.cancelled());
        let open: Vec<_> = open.chain(tables.coming(view.now)).collect();
        let waits = open.iter().any(|j| j.spec.kind != Kind::Service);
        let jobs = open.into_iter().filter(|_| waits).filter_map(|j| {
            let team = teams.iter().position(|t| t.name == j.spec.team)?;
            Some((j.spec.clone(), team, j.waiting.len() as u32))
        });
        Demand {
            types: view.types,
            allowance: Allowance::of(tables, teams),
            jobs: jobs.collect(),
            by_market: HashMap::new(),
        }
    }

    /// Whether tasks that wait may use a machine. Those that would are then not counted for another.
    pub fn wants(&mut self, machine: &Machine) -> bool {
        let Some(kind) = self.types.iter().position(|t| t.name == machine.kind) else {
            return false;
        };
        let (t, jobs) = (&self.types[kind], &mut self.jobs);
        let may =
            |spec: &Spec| t.allows(spec) && !t.wasted_on(spec) && (!machine.spot || spec.spot);
        let able = self
            .by_market
            .entry((kind, machine.spot))
            .or_insert_with(|| (0..jobs.len()).filter(|n| may(&jobs[*n].0)).collect());
        let mut room = t.room();
        let mut wanted = false;
        able.retain(|n| {
            let (spec, team, want) = &mut jobs[*n];
            let each = Room::of(spec);
            let fits = room.fits(&each);
            if *want == 0 || fits == 0 {
                return *want > 0;
            }
            let take = self.allowance.take(*team, spec, *want, fits);
            *want -= take;
            for _ in 0..take {
                room.take(&each);
            }
            wanted |= take > 0;
            // What its team may not use any more it will not use on the next machine either.
            *want > 0 && take > 0
        });
        wanted
    }
}
