//! Machines to rent: lines behind boot and fetch time.

use super::chooser::Chooser;
use super::field::Round;
use super::market::Zones;
use super::place::{Place, What};
use crate::Time;
use crate::chance::Pmf;
use crate::constants::*;
use crate::machine::{Room, Standing};
use std::collections::HashMap;
use std::sync::Arc;

impl Round<'_> {
    fn may_rent(&mut self, kind: usize, zone: usize, spot: bool) -> bool {
        let key = (kind, zone, spot);
        if let Some(open) = self.market.known.get(&key) {
            return *open;
        }
        let open = self.tables.rentals.may_rent(
            &self.types[kind].name,
            &self.zones[zone],
            spot,
            self.view.now,
        );
        self.market.known.insert(key, open);
        open
    }

    /// What a zone adds to the cost of a machine, as a share of it. Zones cost the same, and the first was
    /// always taken: all gangs of a cluster stood in the zone that was cut off. Beyond half of the machines
    /// of a type it now costs a little more. Where most machines are silent
    /// what is rented may not be reached.
    fn zone_cost(&mut self, kind: usize, zone: usize) -> f64 {
        if self.market.zones.is_none() {
            self.market.zones = Some(self.count_zones());
        }
        let Some(zones) = &self.market.zones else { return 0.0 };
        let mut all = 1;
        let mut here = 0;
        let wished = self.wishes.iter().map(|((k, z, _), n)| ((*k, *z), *n));
        for ((k, z), n) in zones.machines.iter().map(|(at, n)| (*at, *n)).chain(wished) {
            if k == kind {
                all += n;
                here += if z == zone { n } else { 0 };
            }
        }
        let silent = if zones.silent.contains(&zone) { SILENT_ZONE_COST } else { 0.0 };
        let beyond = f64::from(here) / f64::from(all) - ZONE_PART;
        ZONE_COST * beyond.max(0.0) + silent
    }

    fn count_zones(&mut self) -> Zones {
        let (tables, types) = (self.tables, self.types);
        let mut zones = Zones::default();
        let mut silent: HashMap<usize, (u32, u32)> = HashMap::new();
        let quiet = self.view.lease_ms() * QUIET_SHARE;
        for machine in tables.machines.values() {
            let Some(kind) = types.iter().position(|t| t.name == machine.kind) else { continue };
            let zone = self.zone_number(&machine.zone);
            *zones.machines.entry((kind, zone)).or_default() += 1;
            let count = silent.entry(zone).or_default();
            count.0 += u32::from(machine.standing() == Standing::Ready);
            let late = |at: Time| self.view.now.saturating_sub(at) as f64 > quiet;
            count.1 +=
                u32::from(machine.standing() == Standing::Ready && machine.heard.is_some_and(late));
        }
        for (wish, _) in tables.rentals.asked() {
            let Some(kind) = types.iter().position(|t| t.name == wish.kind) else { continue };
            let zone = self.zone_number(&wish.zone);
            *zones.machines.entry((kind, zone)).or_default() += wish.number;
        }
        let most =
            silent.into_iter().filter(|(_, (up, late))| *up >= SILENT_ZONE_LEAST && late * 2 > *up);
        zones.silent = most.map(|(zone, _)| zone).collect();
        zones
    }

    /// Whether a chooser's task passes on a machine of a type rented now.
    fn passes(&mut self, c: &mut Chooser, kind: usize) -> bool {
        if let Some(known) = c.passes[kind] {
            return known;
        }
        let t = &self.types[kind];
        let (up, fetch) = (self.view.now as f64 + t.boot_ms, t.fetch_ms(&c.spec));
        let end = Pmf::clone(&self.run_guess(c, kind)).later(up + fetch);
        let passes = c.due.is_none_or(|due| end.chance(due as f64) > c.threshold);
        c.passes[kind] = Some(passes);
        passes
    }

    /// The cheapest machine to rent on which the chooser's tasks pass, or run at all.
    pub fn rental(&mut self, c: &mut Chooser, passing: bool) -> Option<(usize, usize, bool)> {
        let mut best: Option<(f64, (usize, usize, bool))> = None;
        let demand = self.demand.get(&c.spec.class).copied().unwrap_or(1).max(1);
        let types = self.types;
        let spot_left = self.spot_left(c);
        for (kind, t) in types.iter().enumerate() {
            if !c.kinds[kind] {
                continue;
            }
            let fits = t.room().fits(&Room::of(&c.spec));
            if fits == 0 || passing && !self.passes(c, kind) {
                continue;
            }
            for zone in &t.zones {
                let zone = self.zone_number(zone);
                for spot in [true, false] {
                    if spot && !spot_left
                        || !c.may_use(kind, zone, spot, &self.zones)
                        || !self.may_rent(kind, zone, spot)
                    {
                        continue;
                    }
                    let cost = t.cost(spot) / f64::from(fits.min(demand));
                    // A second of waiting for work to start weighs like a little money.
                    let wait = t.boot_ms + t.fetch_ms(&c.spec);
                    let mut cost = cost * (1.0 + wait / RENT_WAIT_MS);
                    cost *= 1.0 + self.zone_cost(kind, zone);
                    if self.view.steering.bounds.scarce {
                        cost *= 1.0 + SCARCE_COST / f64::from(fits.min(demand));
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
    pub fn wish(&mut self, kind: usize, zone: usize, spot: bool) -> usize {
        *self.wishes.entry((kind, zone, spot)).or_default() += 1;
        // What a market is asked for beyond one request waits for its answer, or goes elsewhere.
        if self.wishes[&(kind, zone, spot)] >= RENT_MOST {
            self.market.known.insert((kind, zone, spot), false);
        }
        let end = self.free_at(kind, self.view.now as f64 + self.types[kind].boot_ms);
        self.places.push(Place {
            what: What::Rental,
            machine: None,
            kind,
            zone,
            spot,
            room: self.types[kind].room(),
            leaving: false,
            kept: Room::default(),
            gangs: Vec::new(),
            end,
            images: Vec::new(),
        });
        self.places.len() - 1
    }

    /// Plans machines for what finds no place.
    pub fn plan_rentals(&mut self, c: &mut Chooser, passing: bool) {
        while c.left > 0 && self.within_limit(c, 1) {
            let Some((kind, zone, spot)) = self.rental(c, passing) else { break };
            let index = self.wish(kind, zone, spot);
            // Fill the new machine with this job's tasks; the others find it as a place.
            let before = c.left;
            while c.left > 0 && self.suits(c, &self.places[index]) && self.within_limit(c, 1) {
                if !self.take(c, index) {
                    break;
                }
            }
            if c.left == before {
                break;
            }
        }
    }

    /// The run time of a chooser's task on a type.
    pub fn run_guess(&self, c: &Chooser, kind: usize) -> Arc<Pmf> {
        self.tables.history.run_time(&c.id, &c.spec, &self.types[kind].name)
    }

    /// Whether another spot machine keeps to the share that a chooser's job may have of them.
    fn spot_left(&self, c: &Chooser) -> bool {
        if c.spot_share >= 1.0 {
            return true;
        }
        let (mut spot, mut all) = (0.0, 0.0);
        let mut count = |on_spot: bool, cpus: f64| {
            all += cpus;
            spot += if on_spot { cpus } else { 0.0 };
        };
        for machine in self.tables.machines.values() {
            let kind = self.types.iter().find(|t| t.name == machine.kind);
            count(machine.spot, kind.map_or(0.0, |t| t.cpus));
        }
        for ((kind, _, on_spot), number) in &self.wishes {
            count(*on_spot, self.types[*kind].cpus * f64::from(*number));
        }
        c.spot_share > 0.0 && spot <= c.spot_share * all
    }
}
