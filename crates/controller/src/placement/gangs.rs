//! Gangs: placed whole or not at all.

use super::chooser::Chooser;
use super::field::Round;
use super::place::What;
use super::plan::Step;
use crate::constants::*;
use crate::job::{Kind, MachineId};
use crate::machine::Room;

/// Places for a gang: how many tasks still lack one, how many must fetch, and what each place takes.
struct Choice {
    need: u32,
    fetches: u32,
    used: Vec<(usize, u32)>,
}

impl Round<'_> {
    /// How dear it is for a gang's task to start at a place: 0 kept for it, 1 its image is there, 2 it
    /// must be fetched.
    fn fetches(&self, c: &Chooser, index: usize) -> u32 {
        let place = &self.places[index];
        match (place.gangs.iter().any(|g| g.0 == c.id), place.images.contains(&c.image)) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }

    /// Takes places in order until a gang has enough, in one zone or in all.
    fn gather(
        &self,
        c: &Chooser,
        missing: u32,
        zone: Option<usize>,
        suits: &[(u32, usize)],
        now_only: bool,
    ) -> Choice {
        let each = Room::of(&c.spec);
        let mut choice = Choice { need: missing, fetches: 0, used: Vec::new() };
        let mut in_zone = vec![0; self.zones.len()];
        for &(fetches, i) in suits {
            let p = &self.places[i];
            if choice.need == 0
                || now_only && p.what != What::Now
                || zone.is_some_and(|z| z != p.zone)
            {
                continue;
            }
            let there = &mut in_zone[p.zone];
            let most = c.spec.zone_cap().saturating_sub(c.there(p.zone) + *there);
            let take = c.room_at(p).fits(&each).min(choice.need).min(most);
            if take > 0 {
                *there += take;
                choice.need -= take;
                choice.fetches += fetches * take;
                choice.used.push((i, take));
            }
        }
        choice
    }

    /// For a gang that has waited long room is gathered and not raced for: on the machines where it comes free
    /// soonest nothing else of its priority or below takes it. Those already gathered stay so.
    pub fn gather_room(&mut self, c: &Chooser, missing: u32, zones: &[Option<usize>]) {
        if self.gathered >= GATHER_GANGS {
            return;
        }
        self.gathered += 1;
        let now = self.view.now;
        let kept: Vec<MachineId> = self
            .tables
            .jobs
            .get(&c.id)
            .map(|j| j.keeps(now).cloned().collect())
            .unwrap_or_default();
        let mut found: Vec<(f64, usize, MachineId)> = Vec::new();
        for n in 0..self.places.len() {
            let place = &self.places[n];
            let others = place.gangs.iter().any(|g| g.0 != c.id);
            if place.what != What::Now || others || found.len() >= GATHER_LOOKS {
                continue;
            }
            let Some(machine) = place.machine.clone() else { continue };
            if c.bad.contains(&machine)
                || !c.may_use(place.kind, place.zone, place.spot, &self.zones)
            {
                continue;
            }
            let zone = place.zone;
            if let Some(at) = self.free_for(c, n).filter(|at| *at < now as f64 + GATHER_SOON_MS) {
                let early = if kept.contains(&machine) { GATHERED_MS } else { 0.0 };
                found.push((at - early, zone, machine));
            }
        }
        self.out.looked += found.len() as u64;
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
        let room = (c.id.clone(), c.spec.priority, Room::of(&c.spec));
        for place in &mut self.places {
            let here = place.machine.as_ref().is_some_and(|m| machines.contains(m));
            if here && place.what == What::Now && !place.gangs.iter().any(|g| g.0 == c.id) {
                place.gangs.push(room.clone());
            }
        }
        self.out.steps.push(Step::Gather(c.id.clone(), machines));
    }

    /// When a machine would have room for a chooser's task, if nothing else took what comes free; none: not
    /// by what ends by itself.
    fn free_for(&mut self, c: &Chooser, place: usize) -> Option<f64> {
        let now = self.view.now as f64;
        let machine = self.tables.machines.get(self.places[place].machine.as_ref()?)?;
        let mut room = self.places[place].room;
        if room.holds(&c.spec) {
            return Some(now);
        }
        let mut ends: Vec<(f64, Room)> = Vec::new();
        for (job, task) in machine.tasks.keys() {
            let spec = &self.tables.jobs.get(job)?.spec;
            if spec.kind == Kind::Service {
                continue;
            }
            let slot = (machine.id.clone(), job.clone(), *task);
            let (_, end) = self.head_end(&slot)?;
            ends.push((self.ends.get(end).mean(), Room::of(spec)));
        }
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        ends.into_iter().find_map(|(at, each)| {
            room.give(&each);
            room.holds(&c.spec).then_some(at)
        })
    }

    /// Places a gang whole or not at all; otherwise plans the machines it lacks.
    pub fn place_gang(&mut self, c: &mut Chooser) {
        let Some(job) = self.tables.jobs.get(&c.id) else { return };
        // All that are not done yet. Once one is done all are, but a task that was lost before
        // its exit was seen must start again to say so.
        if !job.attempts.is_empty() || c.left as usize + job.done.len() < c.spec.tasks as usize {
            return;
        }
        let missing = c.left;
        let ledger = &self.tables.ledger;
        let room = ledger.room().saturating_sub(self.binds);
        if room < missing as usize && !(ledger.is_empty() && self.binds == 0) {
            return;
        }
        let each = Room::of(&c.spec);
        if !self.within_limit(c, missing) {
            return;
        }
        c.search(false);
        let zones: Vec<Option<usize>> = if c.spec.one_zone {
            // Zones without any machine count too, or a gang would wait for ever in an empty cluster.
            for zone in self.types.iter().flat_map(|t| &t.zones) {
                self.zone_number(zone);
            }
            (0..self.zones.len()).map(Some).collect()
        } else {
            vec![None]
        };
        // Where its image is comes first, and what is kept for it before that: a gang whose machines
        // differ in what they have fetched waits for the slowest, and may end `alone`.
        let mut suits: Vec<(u32, usize)> = (0..self.places.len())
            .filter(|i| matches!(self.places[*i].what, What::Now | What::Boot))
            .filter(|i| self.suits(c, &self.places[*i]))
            .map(|i| (self.fetches(c, i), i))
            .collect();
        suits.sort_unstable();
        let mut best: Option<Choice> = None;
        let mut planned: Option<Choice> = None;
        for zone in &zones {
            let now = self.gather(c, missing, *zone, &suits, true);
            if now.need == 0 && best.as_ref().is_none_or(|b| now.fetches < b.fetches) {
                best = Some(now);
            }
            let soon = self.gather(c, missing, *zone, &suits, false);
            if planned.as_ref().is_none_or(|b| soon.need < b.need) {
                planned = Some(soon);
            }
        }
        if let Some(Choice { used, .. }) = best {
            let mut machines = Vec::new();
            for (i, take) in used {
                let Some(machine) = self.places[i].machine.clone() else { return };
                self.places[i].gangs.retain(|g| g.0 != c.id);
                for _ in 0..take {
                    machines.push(machine.clone());
                    self.places[i].room.take(&each);
                    self.plan_use(c);
                }
            }
            self.binds += machines.len();
            self.out.steps.push(Step::Gang(c.id.clone(), machines));
            c.left = 0;
            return;
        }
        if self.full && c.promised {
            self.gather_room(c, missing, &zones);
        }
        let Some(Choice { mut need, used, .. }) = planned.filter(|_| self.full) else {
            if self.full && c.capped {
                self.idle.push(c.id.clone());
            }
            return;
        };
        // What it will take is kept from later choosers of this round, so that it can gather.
        let zone = used.first().map(|(i, _)| self.places[*i].zone);
        for (i, take) in used {
            for _ in 0..take {
                self.places[i].room.take(&each);
            }
        }
        c.zone = zone.filter(|_| c.spec.one_zone);
        while need > 0 {
            let Some((kind, zone, spot)) = self.rental(c, false) else { break };
            c.zone = Some(zone).filter(|_| c.spec.one_zone);
            let take = self.types[kind].room().fits(&each).min(need);
            if take == 0 {
                break;
            }
            let index = self.wish(kind, zone, spot);
            for _ in 0..take {
                self.places[index].room.take(&each);
                c.enter(zone);
            }
            need -= take;
        }
        if need > 0 && c.capped {
            self.idle.push(c.id.clone());
        }
    }
}
