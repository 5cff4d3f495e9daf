//! Gangs: all tasks of a gang are placed together or none.

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

/// An assignment of a gang's tasks to targets.
struct GangAssignment {
    /// Tasks without a target.
    unplaced_tasks: u32,
    /// Sum of [`MappingRound::fetch_cost`] over the placed tasks.
    fetch_cost: u32,
    /// Index of each target used, with its number of tasks.
    tasks_by_target: Vec<(usize, u32)>,
}

impl MappingRound<'_> {
    /// Cost of starting a gang's task on a target: 0 if the target is reserved for the gang, 1 if its image is cached
    /// there, 2 if the image must be fetched.
    fn fetch_cost(&self, c: &PlacementCandidate, index: usize) -> u32 {
        let target = &self.targets[index];
        match (
            target.reserved_for_gangs.iter().any(|g| g.0 == c.id),
            target.images.contains(&c.image_index),
        ) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// Assigns `missing` tasks of a gang to targets in the order of `ranked_targets` (fetch cost and target index), within
    /// one zone if `zone` is given. `only_ready`: machines that still boot are skipped.
    fn assign_targets(
        &self,
        c: &PlacementCandidate,
        missing: u32,
        zone: Option<usize>,
        ranked_targets: &[(u32, usize)],
        only_ready: bool,
    ) -> GangAssignment {
        let each = Resources::for_task(&c.spec);
        let mut assignment =
            GangAssignment { unplaced_tasks: missing, fetch_cost: 0, tasks_by_target: Vec::new() };
        let mut in_zone = vec![0; self.zones.len()];
        for &(fetch_cost, i) in ranked_targets {
            let target = &self.targets[i];
            if assignment.unplaced_tasks == 0
                || only_ready && target.target_kind != TargetKind::ReadyMachine
                || zone.is_some_and(|z| z != target.zone_index)
            {
                continue;
            }
            let assigned_in_zone = &mut in_zone[target.zone_index];
            let max_in_zone = c
                .spec
                .max_tasks_per_zone()
                .saturating_sub(c.tasks_possibly_in_zone(target.zone_index) + *assigned_in_zone);
            let take = c
                .available_resources(target)
                .task_count(&each)
                .min(assignment.unplaced_tasks)
                .min(max_in_zone);
            if take > 0 {
                *assigned_in_zone += take;
                assignment.unplaced_tasks -= take;
                assignment.fetch_cost += fetch_cost * take;
                assignment.tasks_by_target.push((i, take));
            }
        }
        assignment
    }

    /// Reserves machines for `missing` tasks of an aged job: those on which enough resources become free soonest, so that
    /// no other work of its priority or below takes them meanwhile. Machines that are already reserved for the job are
    /// preferred. Of `zones`, the one that offers most machines is used, of equal ones the soonest.
    pub fn reserve_capacity(
        &mut self,
        c: &PlacementCandidate,
        missing: u32,
        zones: &[Option<usize>],
    ) {
        if self.gangs_reserved >= MAX_RESERVATIONS_PER_ROUND {
            return;
        }
        self.gangs_reserved += 1;
        let now = self.context.now;
        let reserved: Vec<MachineId> = self
            .cluster_state
            .jobs
            .get(&c.id)
            .map(|j| j.reserved_machines(now).cloned().collect())
            .unwrap_or_default();
        let mut found: Vec<(f64, usize, MachineId)> = Vec::new();
        for n in 0..self.targets.len() {
            let target = &self.targets[n];
            let is_reserved_for_other = target.reserved_for_gangs.iter().any(|g| g.0 != c.id);
            if target.target_kind != TargetKind::ReadyMachine
                || is_reserved_for_other
                || found.len() >= MAX_RESERVATION_CANDIDATES
            {
                continue;
            }
            let Some(machine) = target.machine.clone() else { continue };
            if c.excluded_machines.contains(&machine)
                || !c.is_allowed_on(target.type_index, target.zone_index, target.spot, &self.zones)
            {
                continue;
            }
            let zone = target.zone_index;
            if let Some(at) = self
                .capacity_available_at(c, n)
                .filter(|at| *at < now as f64 + RESERVATION_HORIZON_MS)
            {
                let advantage_ms =
                    if reserved.contains(&machine) { RESERVED_MACHINE_ADVANTAGE_MS } else { 0.0 };
                found.push((at - advantage_ms, zone, machine));
            }
        }
        self.plan.targets_examined += found.len() as u64;
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        let in_zone = |zone: &Option<usize>| {
            let usable = found.iter().filter(|f| zone.is_none_or(|z| z == f.1));
            let usable: Vec<&(f64, usize, MachineId)> = usable.take(missing as usize).collect();
            let last_free_at = usable.last().map_or(f64::MAX, |f| f.0);
            (std::cmp::Reverse(usable.len()), last_free_at, usable)
        };
        let best = zones.iter().map(in_zone).min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, machines)) = best.filter(|b| !b.2.is_empty()) else { return };
        let machines: Vec<MachineId> = machines.into_iter().map(|f| f.2.clone()).collect();
        let reservation = (c.id.clone(), c.spec.priority, Resources::for_task(&c.spec));
        for target in &mut self.targets {
            let is_chosen = target.machine.as_ref().is_some_and(|m| machines.contains(m));
            if is_chosen
                && target.target_kind == TargetKind::ReadyMachine
                && !target.reserved_for_gangs.iter().any(|g| g.0 == c.id)
            {
                target.reserved_for_gangs.push(reservation.clone());
            }
        }
        self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), machines));
    }

    /// When a machine will have resources for a candidate's task, ms, if nothing else takes what becomes free. `None` if
    /// the tasks that end by themselves do not free enough.
    fn capacity_available_at(&mut self, c: &PlacementCandidate, target: usize) -> Option<f64> {
        let now = self.context.now as f64;
        let machine = self.cluster_state.machines.get(self.targets[target].machine.as_ref()?)?;
        let mut free = self.targets[target].free;
        if free.fits_task(&c.spec) {
            return Some(now);
        }
        let mut ends: Vec<(f64, Resources)> = Vec::new();
        for (job, task) in machine.tasks.keys() {
            let spec = &self.cluster_state.jobs.get(job)?.spec;
            if spec.kind == JobKind::Service {
                continue;
            }
            let slot = (machine.id.clone(), job.clone(), *task);
            let (_, completion) = self.executing_completion(&slot)?;
            ends.push((self.completion_times.get(completion).mean(), Resources::for_task(spec)));
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        ends.into_iter().find_map(|(at, each)| {
            free.add(&each);
            free.fits_task(&c.spec).then_some(at)
        })
    }

    /// Places all tasks of a gang or none. If they do not fit, a mapping round plans the missing machines.
    pub fn place_gang(&mut self, c: &mut PlacementCandidate) {
        let missing = c.remaining_tasks;
        if !self.may_place_gang(c) || !self.is_within_limit(c, missing) {
            return;
        }
        c.start_search(false);
        let zones = self.gang_zones(c);
        let ranked_targets = self.rank_gang_targets(c);
        let mut best: Option<GangAssignment> = None;
        let mut planned: Option<GangAssignment> = None;
        for zone in &zones {
            let ready = self.assign_targets(c, missing, *zone, &ranked_targets, true);
            if ready.unplaced_tasks == 0
                && best.as_ref().is_none_or(|b| ready.fetch_cost < b.fetch_cost)
            {
                best = Some(ready);
            }
            let with_booting = self.assign_targets(c, missing, *zone, &ranked_targets, false);
            if planned.as_ref().is_none_or(|b| with_booting.unplaced_tasks < b.unplaced_tasks) {
                planned = Some(with_booting);
            }
        }
        if let Some(assignment) = best {
            return self.plan_gang_binding(c, assignment);
        }
        if self.is_full && c.is_aged {
            self.reserve_capacity(c, missing, &zones);
        }
        let unplaced_tasks = match planned.filter(|_| self.is_full) {
            Some(assignment) => self.plan_gang_machines(c, assignment),
            None => missing,
        };
        if self.is_full && unplaced_tasks > 0 && c.is_limited_by_quota {
            self.unplaced_jobs.push(c.id.clone());
        }
    }

    /// Whether all unfinished tasks of a gang wait, and there is room to bind them. The tasks of a gang finish together,
    /// but one that was lost before its exit was seen must run again to report it.
    fn may_place_gang(&self, c: &PlacementCandidate) -> bool {
        let Some(job) = self.cluster_state.jobs.get(&c.id) else { return false };
        let missing = c.remaining_tasks as usize;
        let all_wait = job.attempts.is_empty() && missing + job.done.len() >= c.spec.tasks as usize;
        let log_room = self.cluster_state.binding_log.remaining_capacity();
        let has_log_room = self.cluster_state.commits_in_chunks(&c.spec)
            || log_room.saturating_sub(self.bound_tasks) >= missing;
        all_wait && has_log_room && self.attempt_room(c) >= missing
    }

    /// The zones to try for a gang, each by itself; `None`: its tasks may be in different zones.
    fn gang_zones(&mut self, c: &PlacementCandidate) -> Vec<Option<usize>> {
        if !c.spec.one_zone {
            return vec![None];
        }
        // Zones without machines count as well, or a gang would wait forever in an empty cluster.
        for zone in self.types.iter().flat_map(|t| &t.zones) {
            self.zone_index(zone);
        }
        (0..self.zones.len()).map(Some).collect()
    }

    /// The machines that suit a gang, as fetch cost and target index. Targets reserved for the gang come first, then
    /// those that have its image: if only some of its machines must fetch the image, the tasks on the others wait for
    /// them and may exit with the cause `alone`.
    fn rank_gang_targets(&self, c: &PlacementCandidate) -> Vec<(u32, usize)> {
        let is_machine = |kind: &TargetKind| {
            matches!(kind, TargetKind::ReadyMachine | TargetKind::BootingMachine)
        };
        let mut ranked: Vec<(u32, usize)> = (0..self.targets.len())
            .filter(|i| is_machine(&self.targets[*i].target_kind))
            .filter(|i| self.is_suitable(c, &self.targets[*i]))
            .map(|i| (self.fetch_cost(c, i), i))
            .collect();
        ranked.sort_unstable();
        ranked
    }

    /// Plans to bind all tasks of a gang to ready machines.
    fn plan_gang_binding(&mut self, c: &mut PlacementCandidate, assignment: GangAssignment) {
        let each = Resources::for_task(&c.spec);
        let mut machines = Vec::new();
        for (i, take) in assignment.tasks_by_target {
            let Some(machine) = self.targets[i].machine.clone() else { return };
            self.targets[i].reserved_for_gangs.retain(|g| g.0 != c.id);
            machines.push((machine, take));
            self.targets[i].free.subtract(&each.multiplied_by(take));
            self.add_planned_usage(c, take);
        }
        let bound = c.remaining_tasks as usize;
        if !self.cluster_state.commits_in_chunks(&c.spec) {
            self.bound_tasks += bound;
        }
        self.planned_attempts += bound;
        self.plan.steps.push(PlanStep::BindGang(c.id.clone(), machines));
        c.remaining_tasks = 0;
    }

    /// Withholds what a gang will use from later candidates of this round, and plans the machines that it lacks. Returns
    /// the number of tasks for which the cloud offers no machine.
    fn plan_gang_machines(
        &mut self,
        c: &mut PlacementCandidate,
        assignment: GangAssignment,
    ) -> u32 {
        let each = Resources::for_task(&c.spec);
        let GangAssignment { mut unplaced_tasks, tasks_by_target, .. } = assignment;
        let zone = tasks_by_target.first().map(|(i, _)| self.targets[*i].zone_index);
        for (i, take) in tasks_by_target {
            self.targets[i].free.subtract(&each.multiplied_by(take));
        }
        c.only_zone = zone.filter(|_| c.spec.one_zone);
        while unplaced_tasks > 0 {
            let Some((type_index, zone, spot)) = self.cheapest_new_machine(c, false) else { break };
            c.only_zone = Some(zone).filter(|_| c.spec.one_zone);
            let take = self.types[type_index].resources().task_count(&each).min(unplaced_tasks);
            if take == 0 {
                break;
            }
            let index = self.plan_machine(type_index, zone, spot);
            self.targets[index].free.subtract(&each.multiplied_by(take));
            c.add_tasks_in_zone(zone, take);
            unplaced_tasks -= take;
        }
        unplaced_tasks
    }
}
