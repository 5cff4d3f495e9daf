//! Scale-out: plans machines to provision for tasks that find no target.

use super::candidate::PlacementCandidate;
use super::cloud_availability::ZoneMachines;
use super::mapping_round::MappingRound;
use super::target::{PlacementTarget, TargetKind};
use crate::Time;
use crate::completion_time::Pmf;
use crate::constants::{
    FLEET_LIMIT_COST, MAX_PROVISION_BATCH, MIN_SILENT_ZONE_MACHINES, SILENT_LEASE_SHARE,
    SILENT_ZONE_COST, WAIT_COST_DOUBLING_MS, ZONE_CONCENTRATION_COST, ZONE_SHARE_THRESHOLD,
};
use crate::machine::{MachineState, Resources};
use std::collections::HashMap;
use std::sync::Arc;

impl MappingRound<'_> {
    /// Whether an offer may be requested now: not while it backs off after a refusal or has too many open requests.
    fn may_provision(&mut self, type_index: usize, zone: usize, spot: bool) -> bool {
        let key = (type_index, zone, spot);
        if let Some(allowed) = self.availability.may_provision.get(&key) {
            return *allowed;
        }
        let allowed = self.cluster_state.provisioning.may_rent(
            &self.types[type_index].name,
            &self.zones[zone],
            spot,
            self.context.now,
        );
        self.availability.may_provision.insert(key, allowed);
        allowed
    }

    /// Cost that a zone adds to a machine, as a share of the machine's cost. Zones cost the same, and without this the
    /// first one would always be taken: a network partition of one zone then stopped every gang of a cluster. A zone with
    /// more than half of the machines of a type costs slightly more. In a zone where most machines are silent, a new
    /// machine may be unreachable.
    fn zone_cost_share(&mut self, type_index: usize, zone: usize) -> f64 {
        if self.availability.zone_machines.is_none() {
            self.availability.zone_machines = Some(self.count_machines_by_zone());
        }
        let Some(zones) = &self.availability.zone_machines else { return 0.0 };
        let mut total = 1;
        let mut in_zone = 0;
        let planned = self.planned_machines.iter().map(|((k, z, _), n)| ((*k, *z), *n));
        for ((k, z), n) in zones.machine_counts.iter().map(|(at, n)| (*at, *n)).chain(planned) {
            if k == type_index {
                total += n;
                in_zone += if z == zone { n } else { 0 };
            }
        }
        let silence_cost = if zones.silent_zones.contains(&zone) { SILENT_ZONE_COST } else { 0.0 };
        let excess = f64::from(in_zone) / f64::from(total) - ZONE_SHARE_THRESHOLD;
        ZONE_CONCENTRATION_COST * excess.max(0.0) + silence_cost
    }

    fn count_machines_by_zone(&mut self) -> ZoneMachines {
        let (state, types) = (self.cluster_state, self.types);
        let mut zones = ZoneMachines::default();
        let mut ready_and_silent: HashMap<usize, (u32, u32)> = HashMap::new();
        let silent_after_ms = self.context.lease_ms() * SILENT_LEASE_SHARE;
        for machine in state.machines.values() {
            let Some(type_index) = types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let zone = self.zone_index(&machine.zone);
            *zones.machine_counts.entry((type_index, zone)).or_default() += 1;
            let count = ready_and_silent.entry(zone).or_default();
            count.0 += u32::from(machine.state() == MachineState::Ready);
            let is_silent = |at: Time| self.context.now.saturating_sub(at) as f64 > silent_after_ms;
            count.1 += u32::from(
                machine.state() == MachineState::Ready
                    && machine.last_contact_at.is_some_and(is_silent),
            );
        }
        for (request, _) in state.provisioning.open_requests() {
            let Some(type_index) = types.iter().position(|t| t.name == request.machine_type) else {
                continue;
            };
            let zone = self.zone_index(&request.zone);
            *zones.machine_counts.entry((type_index, zone)).or_default() += request.count;
        }
        let silent = ready_and_silent.into_iter().filter(|(_, (ready, silent))| {
            *ready >= MIN_SILENT_ZONE_MACHINES && silent * 2 > *ready
        });
        zones.silent_zones = silent.map(|(zone, _)| zone).collect();
        zones
    }

    /// Whether a candidate's task is above the pruning threshold on a machine of a type that is provisioned now.
    fn new_machine_meets_threshold(
        &mut self,
        c: &mut PlacementCandidate,
        type_index: usize,
    ) -> bool {
        if let Some(known) = c.new_machine_meets_deadline[type_index] {
            return known;
        }
        let t = &self.types[type_index];
        let (ready_at, fetch_ms) = (self.context.now as f64 + t.boot_ms, t.fetch_ms(&c.spec));
        let end = Pmf::clone(&self.run_time(c, type_index)).shifted(ready_at + fetch_ms);
        let passes =
            c.deadline.is_none_or(|at| end.probability_before(at as f64) > c.pruning_threshold);
        c.new_machine_meets_deadline[type_index] = Some(passes);
        passes
    }

    /// The cheapest machine to provision on which a candidate's tasks can run, by cost per task: machine type, zone and
    /// spot property. With `only_passing`, its tasks must be above the pruning threshold there.
    pub fn cheapest_new_machine(
        &mut self,
        c: &mut PlacementCandidate,
        only_passing: bool,
    ) -> Option<(usize, usize, bool)> {
        let mut best: Option<(f64, (usize, usize, bool))> = None;
        let demand = self.waiting_by_class.get(&c.spec.class).copied().unwrap_or(1).max(1);
        let types = self.types;
        let spot_allowed = self.is_below_spot_share(c);
        for (type_index, t) in types.iter().enumerate() {
            if !c.allowed_types[type_index] {
                continue;
            }
            let fits = t.resources().task_count(&Resources::for_task(&c.spec));
            if fits == 0 || only_passing && !self.new_machine_meets_threshold(c, type_index) {
                continue;
            }
            for zone in &t.zones {
                let zone = self.zone_index(zone);
                for spot in [true, false] {
                    if spot && !spot_allowed
                        || !c.is_allowed_on(type_index, zone, spot, &self.zones)
                        || !self.may_provision(type_index, zone, spot)
                    {
                        continue;
                    }
                    let cost = t.hourly_price(spot) / f64::from(fits.min(demand));
                    // Waiting for boot and image fetch adds to the cost.
                    let wait_ms = t.boot_ms + t.fetch_ms(&c.spec);
                    let mut cost = cost * (1.0 + wait_ms / WAIT_COST_DOUBLING_MS);
                    cost *= 1.0 + self.zone_cost_share(type_index, zone);
                    if self.context.policy.bounds.is_fleet_near_limit {
                        cost *= 1.0 + FLEET_LIMIT_COST / f64::from(fits.min(demand));
                    }
                    if best.as_ref().is_none_or(|(b, _)| cost < *b) {
                        best = Some((cost, (type_index, zone, spot)));
                    }
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Plans one more machine and adds it as a target. Returns the target's index.
    pub fn plan_machine(&mut self, type_index: usize, zone: usize, spot: bool) -> usize {
        *self.planned_machines.entry((type_index, zone, spot)).or_default() += 1;
        // A round plans at most one request for each offer. Further machines wait for its outcome or use other offers.
        if self.planned_machines[&(type_index, zone, spot)] >= MAX_PROVISION_BATCH {
            self.availability.may_provision.insert((type_index, zone, spot), false);
        }
        let ready_at = self.context.now as f64 + self.types[type_index].boot_ms;
        let completion_id = self.free_time_id(type_index, ready_at);
        self.targets.push(PlacementTarget {
            target_kind: TargetKind::PlannedMachine,
            machine: None,
            type_index,
            zone_index: zone,
            spot,
            free: self.types[type_index].resources(),
            has_stopping_tasks: false,
            reserved_for_services: Resources::default(),
            reserved_for_gangs: Vec::new(),
            completion_id,
            images: Vec::new(),
        });
        self.targets.len() - 1
    }

    /// Plans machines for a candidate's tasks that found no target. `only_passing`: see
    /// [`MappingRound::cheapest_new_machine`].
    pub fn plan_scale_out(&mut self, c: &mut PlacementCandidate, only_passing: bool) {
        while c.remaining_tasks > 0 && self.is_within_limit(c, 1) {
            let Some((type_index, zone, spot)) = self.cheapest_new_machine(c, only_passing) else {
                break;
            };
            let index = self.plan_machine(type_index, zone, spot);
            // Fill the new machine with this job's tasks. What is left is a target for other jobs.
            let before = c.remaining_tasks;
            while c.remaining_tasks > 0
                && self.is_suitable(c, &self.targets[index])
                && self.is_within_limit(c, 1)
            {
                if !self.assign_task(c, index) {
                    break;
                }
            }
            if c.remaining_tasks == before {
                break;
            }
        }
    }

    /// The run time of a candidate's task on a machine type, ms.
    pub fn run_time(&self, c: &PlacementCandidate, type_index: usize) -> Arc<Pmf> {
        self.cluster_state.run_time_history.run_time(&c.id, &c.spec, &self.types[type_index].name)
    }

    /// Whether the share of CPUs on spot machines is low enough for a candidate's job to get another one.
    fn is_below_spot_share(&self, c: &PlacementCandidate) -> bool {
        if c.spot_share >= 1.0 {
            return true;
        }
        let (mut spot, mut total) = (0.0, 0.0);
        let mut count = |on_spot: bool, cpus: f64| {
            total += cpus;
            spot += if on_spot { cpus } else { 0.0 };
        };
        for machine in self.cluster_state.machines.values() {
            let machine_type = self.types.iter().find(|t| t.name == machine.machine_type);
            count(machine.spot, machine_type.map_or(0.0, |t| t.cpus));
        }
        for ((type_index, _, on_spot), number) in &self.planned_machines {
            count(*on_spot, self.types[*type_index].cpus * f64::from(*number));
        }
        c.spot_share > 0.0 && spot <= c.spot_share * total
    }
}
