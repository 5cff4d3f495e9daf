//! Machines to rent: lines behind boot and fetch time.

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
    fn may_provision(&mut self, kind: usize, zone: usize, spot: bool) -> bool {
        let key = (kind, zone, spot);
        if let Some(open) = self.availability.may_provision.get(&key) {
            return *open;
        }
        let open = self.cluster_state.provisioning.may_rent(
            &self.types[kind].name,
            &self.zones[zone],
            spot,
            self.view.now,
        );
        self.availability.may_provision.insert(key, open);
        open
    }

    /// What a zone adds to the cost of a machine, as a share of it. Zones cost the same, and the first was
    /// always taken: all gangs of a cluster stood in the zone that was cut off. Beyond half of the machines
    /// of a type it now costs a little more. Where most machines are silent
    /// what is rented may not be reached.
    fn zone_cost_share(&mut self, kind: usize, zone: usize) -> f64 {
        if self.availability.zone_machines.is_none() {
            self.availability.zone_machines = Some(self.count_machines_by_zone());
        }
        let Some(zones) = &self.availability.zone_machines else { return 0.0 };
        let mut all = 1;
        let mut here = 0;
        let wished = self.planned_machines.iter().map(|((k, z, _), n)| ((*k, *z), *n));
        for ((k, z), n) in zones.machine_counts.iter().map(|(at, n)| (*at, *n)).chain(wished) {
            if k == kind {
                all += n;
                here += if z == zone { n } else { 0 };
            }
        }
        let silent = if zones.silent_zones.contains(&zone) { SILENT_ZONE_COST } else { 0.0 };
        let beyond = f64::from(here) / f64::from(all) - ZONE_SHARE_THRESHOLD;
        ZONE_CONCENTRATION_COST * beyond.max(0.0) + silent
    }

    fn count_machines_by_zone(&mut self) -> ZoneMachines {
        let (tables, types) = (self.cluster_state, self.types);
        let mut zones = ZoneMachines::default();
        let mut silent: HashMap<usize, (u32, u32)> = HashMap::new();
        let quiet = self.view.lease_ms() * SILENT_LEASE_SHARE;
        for machine in tables.machines.values() {
            let Some(kind) = types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let zone = self.zone_index(&machine.zone);
            *zones.machine_counts.entry((kind, zone)).or_default() += 1;
            let count = silent.entry(zone).or_default();
            count.0 += u32::from(machine.state() == MachineState::Ready);
            let late = |at: Time| self.view.now.saturating_sub(at) as f64 > quiet;
            count.1 += u32::from(
                machine.state() == MachineState::Ready && machine.last_contact_at.is_some_and(late),
            );
        }
        for (wish, _) in tables.provisioning.open_requests() {
            let Some(kind) = types.iter().position(|t| t.name == wish.machine_type) else {
                continue;
            };
            let zone = self.zone_index(&wish.zone);
            *zones.machine_counts.entry((kind, zone)).or_default() += wish.count;
        }
        let most = silent
            .into_iter()
            .filter(|(_, (up, late))| *up >= MIN_SILENT_ZONE_MACHINES && late * 2 > *up);
        zones.silent_zones = most.map(|(zone, _)| zone).collect();
        zones
    }

    /// Whether a chooser's task passes on a machine of a type rented now.
    fn new_machine_meets_threshold(&mut self, c: &mut PlacementCandidate, kind: usize) -> bool {
        if let Some(known) = c.new_machine_meets_deadline[kind] {
            return known;
        }
        let t = &self.types[kind];
        let (up, fetch) = (self.view.now as f64 + t.boot_ms, t.fetch_ms(&c.spec));
        let end = Pmf::clone(&self.run_time(c, kind)).shifted(up + fetch);
        let passes =
            c.deadline.is_none_or(|due| end.probability_before(due as f64) > c.pruning_threshold);
        c.new_machine_meets_deadline[kind] = Some(passes);
        passes
    }

    /// The cheapest machine to rent on which the chooser's tasks pass, or run at all.
    pub fn cheapest_new_machine(
        &mut self,
        c: &mut PlacementCandidate,
        passing: bool,
    ) -> Option<(usize, usize, bool)> {
        let mut best: Option<(f64, (usize, usize, bool))> = None;
        let demand = self.waiting_by_class.get(&c.spec.class).copied().unwrap_or(1).max(1);
        let types = self.types;
        let spot_left = self.is_below_spot_share(c);
        for (kind, t) in types.iter().enumerate() {
            if !c.allowed_types[kind] {
                continue;
            }
            let fits = t.resources().task_count(&Resources::for_task(&c.spec));
            if fits == 0 || passing && !self.new_machine_meets_threshold(c, kind) {
                continue;
            }
            for zone in &t.zones {
                let zone = self.zone_index(zone);
                for spot in [true, false] {
                    if spot && !spot_left
                        || !c.is_allowed_on(kind, zone, spot, &self.zones)
                        || !self.may_provision(kind, zone, spot)
                    {
                        continue;
                    }
                    let cost = t.hourly_price(spot) / f64::from(fits.min(demand));
                    // A second of waiting for work to start weighs like a little money.
                    let wait = t.boot_ms + t.fetch_ms(&c.spec);
                    let mut cost = cost * (1.0 + wait / WAIT_COST_DOUBLING_MS);
                    cost *= 1.0 + self.zone_cost_share(kind, zone);
                    if self.view.policy.bounds.is_fleet_near_limit {
                        cost *= 1.0 + FLEET_LIMIT_COST / f64::from(fits.min(demand));
                    }
                    if best.as_ref().is_none_or(|(b, _)| cost < *b) {
                        best = Some((cost, (kind, zone, spot)));
                    }
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Plans one more machine, and gives it as a place.
    pub fn plan_machine(&mut self, kind: usize, zone: usize, spot: bool) -> usize {
        *self.planned_machines.entry((kind, zone, spot)).or_default() += 1;
        // What a market is asked for beyond one request waits for its answer, or goes elsewhere.
        if self.planned_machines[&(kind, zone, spot)] >= MAX_PROVISION_BATCH {
            self.availability.may_provision.insert((kind, zone, spot), false);
        }
        let end = self.free_time_id(kind, self.view.now as f64 + self.types[kind].boot_ms);
        self.targets.push(PlacementTarget {
            target_kind: TargetKind::PlannedMachine,
            machine: None,
            type_index: kind,
            zone_index: zone,
            spot,
            free: self.types[kind].resources(),
            has_stopping_tasks: false,
            reserved_for_services: Resources::default(),
            reserved_for_gangs: Vec::new(),
            completion_id: end,
            images: Vec::new(),
        });
        self.targets.len() - 1
    }

    /// Plans machines for what finds no place.
    pub fn plan_scale_out(&mut self, c: &mut PlacementCandidate, passing: bool) {
        while c.remaining_tasks > 0 && self.is_within_limit(c, 1) {
            let Some((kind, zone, spot)) = self.cheapest_new_machine(c, passing) else { break };
            let index = self.plan_machine(kind, zone, spot);
            // Fill the new machine with this job's tasks; the others find it as a place.
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

    /// The run time of a chooser's task on a type.
    pub fn run_time(&self, c: &PlacementCandidate, kind: usize) -> Arc<Pmf> {
        self.cluster_state.run_time_history.run_time(&c.id, &c.spec, &self.types[kind].name)
    }

    /// Whether another spot machine keeps to the share that a chooser's job may have of them.
    fn is_below_spot_share(&self, c: &PlacementCandidate) -> bool {
        if c.spot_share >= 1.0 {
            return true;
        }
        let (mut spot, mut all) = (0.0, 0.0);
        let mut count = |on_spot: bool, cpus: f64| {
            all += cpus;
            spot += if on_spot { cpus } else { 0.0 };
        };
        for machine in self.cluster_state.machines.values() {
            let kind = self.types.iter().find(|t| t.name == machine.machine_type);
            count(machine.spot, kind.map_or(0.0, |t| t.cpus));
        }
        for ((kind, _, on_spot), number) in &self.planned_machines {
            count(*on_spot, self.types[*kind].cpus * f64::from(*number));
        }
        c.spot_share > 0.0 && spot <= c.spot_share * all
    }
}
