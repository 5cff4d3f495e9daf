//! Gangs: placed whole or not at all.

use super::candidate::PlacementCandidate;
use super::mapping_round::MappingRound;
use super::plan::PlanStep;
use super::target::TargetKind;
use crate::constants::{
    MAX_RESERVATION_CANDIDATES, MAX_RESERVATIONS_PER_ROUND, RESERVATION_HORIZON_MS,
    RESERVED_MACHINE_ADVANTAGE_MS,
};
use crate::job::{JobKind, MachineId};
use crate::machine::Resources;

/// Places for a gang: how many tasks still lack one, how many must fetch, and what each place takes.
struct GangAssignment {
    unplaced_tasks: u32,
    fetch_cost: u32,
    tasks_by_target: Vec<(usize, u32)>,
}

impl MappingRound<'_> {
    /// How dear it is for a gang's task to start at a place: 0 kept for it, 1 its image is there, 2 it
    /// must be fetched.
    fn fetch_cost(&self, c: &PlacementCandidate, index: usize) -> u32 {
        let place = &self.targets[index];
        match (
            place.reserved_for_gangs.iter().any(|g| g.0 == c.id),
            place.images.contains(&c.image_index),
        ) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// Takes places in order until a gang has enough, in one zone or in all.
    fn assign_targets(
        &self,
        c: &PlacementCandidate,
        missing: u32,
        zone: Option<usize>,
        suits: &[(u32, usize)],
        now_only: bool,
    ) -> GangAssignment {
        let each = Resources::for_task(&c.spec);
        let mut choice =
            GangAssignment { unplaced_tasks: missing, fetch_cost: 0, tasks_by_target: Vec::new() };
        let mut in_zone = vec![0; self.zones.len()];
        for &(fetches, i) in suits {
            let p = &self.targets[i];
            if choice.unplaced_tasks == 0
                || now_only && p.target_kind != TargetKind::ReadyMachine
                || zone.is_some_and(|z| z != p.zone_index)
            {
                continue;
            }
            let there = &mut in_zone[p.zone_index];
            let most = c
                .spec
                .max_tasks_per_zone()
                .saturating_sub(c.tasks_possibly_in_zone(p.zone_index) + *there);
            let take = c.available_room(p).task_count(&each).min(choice.unplaced_tasks).min(most);
            if take > 0 {
                *there += take;
                choice.unplaced_tasks -= take;
                choice.fetch_cost += fetches * take;
                choice.tasks_by_target.push((i, take));
            }
        }
        choice
    }

    /// For a gang that has waited long room is gathered and not raced for: on the machines where it comes free
    /// soonest nothing else of its priority or below takes it. Those already gathered stay so.
    pub fn reserve_room(&mut self, c: &PlacementCandidate, missing: u32, zones: &[Option<usize>]) {
        if self.gangs_reserved >= MAX_RESERVATIONS_PER_ROUND {
            return;
        }
        self.gangs_reserved += 1;
        let now = self.view.now;
        let kept: Vec<MachineId> = self
            .cluster_state
            .jobs
            .get(&c.id)
            .map(|j| j.reserved_machines(now).cloned().collect())
            .unwrap_or_default();
        let mut found: Vec<(f64, usize, MachineId)> = Vec::new();
        for n in 0..self.targets.len() {
            let place = &self.targets[n];
            let others = place.reserved_for_gangs.iter().any(|g| g.0 != c.id);
            if place.target_kind != TargetKind::ReadyMachine
                || others
                || found.len() >= MAX_RESERVATION_CANDIDATES
            {
                continue;
            }
            let Some(machine) = place.machine.clone() else { continue };
            if c.excluded_machines.contains(&machine)
                || !c.is_allowed_on(place.type_index, place.zone_index, place.spot, &self.zones)
            {
                continue;
            }
            let zone = place.zone_index;
            if let Some(at) =
                self.room_available_at(c, n).filter(|at| *at < now as f64 + RESERVATION_HORIZON_MS)
            {
                let early =
                    if kept.contains(&machine) { RESERVED_MACHINE_ADVANTAGE_MS } else { 0.0 };
                found.push((at - early, zone, machine));
            }
        }
        self.plan.targets_examined += found.len() as u64;
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        let want = missing as usize;
        let of = |zone: &Option<usize>| {
            let own = found.iter().filter(|f| zone.is_none_or(|z| z == f.1)).take(want);
            let own: Vec<&(f64, usize, MachineId)> = own.collect();
            let last = own.last().map_or(f64::MAX, |f| f.0);
            (std::cmp::Reverse(own.len()), last, own)
        };
        let best = zones.iter().map(of).min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, machines)) = best.filter(|b| !b.2.is_empty()) else { return };
        let machines: Vec<MachineId> = machines.into_iter().map(|f| f.2.clone()).collect();
        let room = (c.id.clone(), c.spec.priority, Resources::for_task(&c.spec));
        for place in &mut self.targets {
            let here = place.machine.as_ref().is_some_and(|m| machines.contains(m));
            if here
                && place.target_kind == TargetKind::ReadyMachine
                && !place.reserved_for_gangs.iter().any(|g| g.0 == c.id)
            {
                place.reserved_for_gangs.push(room.clone());
            }
        }
        self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), machines));
    }

    /// When a machine would have room for a chooser's task, if nothing else took what comes free; none: not
    /// by what ends by itself.
    fn room_available_at(&mut self, c: &PlacementCandidate, place: usize) -> Option<f64> {
        let now = self.view.now as f64;
        let machine = self.cluster_state.machines.get(self.targets[place].machine.as_ref()?)?;
        let mut room = self.targets[place].free;
        if room.fits_task(&c.spec) {
            return Some(now);
        }
        let mut ends: Vec<(f64, Resources)> = Vec::new();
        for (job, task) in machine.tasks.keys() {
            let spec = &self.cluster_state.jobs.get(job)?.spec;
            if spec.kind == JobKind::Service {
                continue;
            }
            let slot = (machine.id.clone(), job.clone(), *task);
            let (_, end) = self.executing_completion(&slot)?;
            ends.push((self.completion_times.get(end).mean(), Resources::for_task(spec)));
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        ends.into_iter().find_map(|(at, each)| {
            room.add(&each);
            room.fits_task(&c.spec).then_some(at)
        })
    }

    /// Places a gang whole or not at all; otherwise plans the machines it lacks.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn place_gang(&mut self, c: &mut PlacementCandidate) {
        let Some(job) = self.cluster_state.jobs.get(&c.id) else { return };
        // All that are not done yet. Once one is done all are, but a task that was lost before
        // its exit was seen must start again to say so.
        if !job.attempts.is_empty()
            || c.remaining_tasks as usize + job.done.len() < c.spec.tasks as usize
        {
            return;
        }
        let missing = c.remaining_tasks;
        let ledger = &self.cluster_state.binding_log;
        let room = ledger.remaining_capacity().saturating_sub(self.bound_tasks);
        if room < missing as usize && !(ledger.is_empty() && self.bound_tasks == 0) {
            return;
        }
        let each = Resources::for_task(&c.spec);
        if !self.is_within_limit(c, missing) {
            return;
        }
        c.start_search(false);
        let zones: Vec<Option<usize>> = if c.spec.one_zone {
            // Zones without any machine count too, or a gang would wait for ever in an empty cluster.
            for zone in self.types.iter().flat_map(|t| &t.zones) {
                self.zone_index(zone);
            }
            (0..self.zones.len()).map(Some).collect()
        } else {
            vec![None]
        };
        // Where its image is comes first, and what is kept for it before that: a gang whose machines
        // differ in what they have fetched waits for the slowest, and may end `alone`.
        let mut suits: Vec<(u32, usize)> = (0..self.targets.len())
            .filter(|i| {
                matches!(
                    self.targets[*i].target_kind,
                    TargetKind::ReadyMachine | TargetKind::BootingMachine
                )
            })
            .filter(|i| self.is_suitable(c, &self.targets[*i]))
            .map(|i| (self.fetch_cost(c, i), i))
            .collect();
        suits.sort_unstable();
        let mut best: Option<GangAssignment> = None;
        let mut planned: Option<GangAssignment> = None;
        for zone in &zones {
            let now = self.assign_targets(c, missing, *zone, &suits, true);
            if now.unplaced_tasks == 0
                && best.as_ref().is_none_or(|b| now.fetch_cost < b.fetch_cost)
            {
                best = Some(now);
            }
            let soon = self.assign_targets(c, missing, *zone, &suits, false);
            if planned.as_ref().is_none_or(|b| soon.unplaced_tasks < b.unplaced_tasks) {
                planned = Some(soon);
            }
        }
        if let Some(GangAssignment { tasks_by_target: used, .. }) = best {
            let mut machines = Vec::new();
            for (i, take) in used {
                let Some(machine) = self.targets[i].machine.clone() else { return };
                self.targets[i].reserved_for_gangs.retain(|g| g.0 != c.id);
                for _ in 0..take {
                    machines.push(machine.clone());
                    self.targets[i].free.subtract(&each);
                    self.add_planned_usage(c);
                }
            }
            self.bound_tasks += machines.len();
            self.plan.steps.push(PlanStep::BindGang(c.id.clone(), machines));
            c.remaining_tasks = 0;
            return;
        }
        if self.is_full && c.is_aged {
            self.reserve_room(c, missing, &zones);
        }
        let Some(GangAssignment { unplaced_tasks: mut need, tasks_by_target: used, .. }) =
            planned.filter(|_| self.is_full)
        else {
            if self.is_full && c.is_limited_by_quota {
                self.unplaced_jobs.push(c.id.clone());
            }
            return;
        };
        // What it will take is kept from later choosers of this round, so that it can gather.
        let zone = used.first().map(|(i, _)| self.targets[*i].zone_index);
        for (i, take) in used {
            for _ in 0..take {
                self.targets[i].free.subtract(&each);
            }
        }
        c.only_zone = zone.filter(|_| c.spec.one_zone);
        while need > 0 {
            let Some((kind, zone, spot)) = self.cheapest_new_machine(c, false) else { break };
            c.only_zone = Some(zone).filter(|_| c.spec.one_zone);
            let take = self.types[kind].resources().task_count(&each).min(need);
            if take == 0 {
                break;
            }
            let index = self.plan_machine(kind, zone, spot);
            for _ in 0..take {
                self.targets[index].free.subtract(&each);
                c.add_task_in_zone(zone);
            }
            need -= take;
        }
        if need > 0 && c.is_limited_by_quota {
            self.unplaced_jobs.push(c.id.clone());
        }
    }
}
