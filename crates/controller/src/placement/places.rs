//! The places of a round: free room, lines, machines that boot.

use super::ends::{Alike, EndId};
use super::field::Round;
use super::place::{Place, What};
use crate::Time;
use crate::chance::Pmf;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Room, Standing};
use crate::tables::{Slot, Tables, usable};
use std::collections::HashMap;
use std::sync::Arc;

impl Round<'_> {
    /// The number of a zone.
    pub fn zone_number(&mut self, zone: &str) -> usize {
        match self.zones.iter().position(|z| z == zone) {
            Some(n) => n,
            None => {
                self.zones.push(zone.to_string());
                self.zones.len() - 1
            }
        }
    }

    /// The end "free at a time" on a type.
    pub fn free_at(&mut self, kind: usize, time: f64) -> EndId {
        let step = (time / END_STEP_MS).max(0.0) as u64;
        self.ends.number(Alike::At(kind, step), |_| Pmf::at(time))
    }

    /// The end of a place once another task of a job stands before it.
    pub fn end_after(&mut self, end: EndId, id: &JobId, kind: usize) -> EndId {
        let Some(job) = self.tables.jobs.get(id) else { return end };
        let run = self.tables.history.run_time(id, &job.spec, &self.types[kind].name);
        self.ends.number(Alike::After(end, id.clone()), |all| {
            let end = all[end].convolve(&run);
            job.due.map_or(end.clone(), |d| end.cut(d as f64))
        })
    }

    /// When the head of a slot ends.
    pub fn head_end(&mut self, slot: &Slot) -> Option<(usize, EndId)> {
        let now = self.view.now as f64;
        let machine = self.tables.machines.get(&slot.0)?;
        let job = self.tables.jobs.get(&slot.1)?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let attempt = job.attempts.get(&slot.2)?;
        let kind = self.types.iter().position(|t| t.name == machine.kind)?;
        let step = |at: Time| at / END_STEP_MS as u64;
        let alike = match attempt.ran_at {
            Some(at) => Alike::Runs(kind, slot.1.clone(), step(at)),
            None => Alike::Fetches(kind, slot.1.clone(), step(attempt.since)),
        };
        let t = &self.types[kind];
        let run = self.tables.history.run_time(&slot.1, &job.spec, &t.name);
        let (ran, since) = (attempt.ran_at, attempt.since);
        let end = self.ends.number(alike, |_| match ran {
            Some(at) => run.remaining(now - at as f64).later(now),
            None => {
                let fetch = t.fetch_ms(&job.spec) - (now - since as f64);
                Pmf::clone(&run).later(now + fetch.max(0.0))
            }
        });
        Some((kind, end))
    }

    /// Lists the places there are.
    pub fn open_places(&mut self) {
        let now = self.view.now;
        let lease = self.view.lease_ms();
        let types = self.types;
        let mut slots: Vec<(usize, Slot, Room)> = Vec::new();
        let tables = self.tables;
        let mut gangs = kept_for_gangs(tables, now);
        for (id, machine) in &tables.machines {
            let Some(kind) = types.iter().position(|t| t.name == machine.kind) else { continue };
            let t = &types[kind];
            let zone = self.zone_number(&machine.zone);
            let mut place = Place {
                what: What::Now,
                machine: Some(id.clone()),
                kind,
                zone,
                spot: machine.spot,
                room: t.room(),
                leaving: false,
                kept: Room::default(),
                gangs: Vec::new(),
                end: 0,
                images: Vec::new(),
            };
            if !usable(machine, now, lease) {
                let waits = matches!(machine.standing(), Standing::Expected | Standing::Greeted);
                let comes = machine.may_come(t.boot_ms, self.tables.since, now);
                if self.full && waits && comes && machine.tasks.is_empty() {
                    let up = (machine.rented_at as f64 + t.boot_ms).max(now as f64 + SOON_MS);
                    place.what = What::Boot;
                    place.end = self.free_at(kind, up);
                    self.places.push(place);
                }
                continue;
            }
            let room = machine.free().unwrap_or_default();
            place.room = room;
            let held = tables.yielding.get(id).is_some_and(|until| now < *until);
            place.leaving = held
                || machine.tasks.keys().any(|(id, task)| {
                    let attempt = tables.jobs.get(id).and_then(|j| j.attempts.get(task));
                    attempt.is_some_and(|a| a.stop.is_some() && a.occupies())
                });
            place.gangs = gangs.remove(id).unwrap_or_default();
            place.images = machine.images.iter().filter_map(|i| self.images.get(&i.0)).collect();
            if self.full {
                for (job, task) in machine.tasks.keys() {
                    slots.push((self.places.len(), (id.clone(), job.clone(), *task), room));
                }
            }
            // A place without room is listed too in a full round: its slots refer to it.
            if self.full || room.cpus > 0.0 {
                place.end = self.free_at(kind, now as f64);
                self.places.push(place);
            }
        }
        if !self.full {
            return;
        }
        let cap = self.view.steering.line_cap;
        self.out.looked += slots.len() as u64;
        let mut lines: Vec<(u64, Place)> = Vec::new();
        for (index, slot, free) in slots {
            let Some(head) = self.tables.jobs.get(&slot.1) else { continue };
            let mut size = Room::of(&head.spec);
            size.give(&free);
            if !self.out.lines.has_room(&slot, cap) {
                continue;
            }
            let Some((kind, mut end)) = self.head_end(&slot) else { continue };
            let line: Vec<JobId> = self.out.lines.behind(&slot).cloned().collect();
            for next in line {
                end = self.end_after(end, &next, kind);
            }
            let place =
                Place { what: What::Line(slot), room: size, end, ..self.places[index].clone() };
            lines.push((self.ends.get(end).mean() as u64, place));
        }
        // Every chooser looks at every place: of very many lines the soonest are enough.
        let most = self.view.steering.bounds.lines;
        if lines.len() > most {
            lines.select_nth_unstable_by_key(most, |l| l.0);
            lines.truncate(most);
            lines.sort_by(|a, b| a.1.machine.cmp(&b.1.machine).then(a.0.cmp(&b.0)));
        }
        self.places.extend(lines.into_iter().map(|l| l.1));
        for (wish, asked) in tables.rentals.asked() {
            let Some(kind) = types.iter().position(|t| t.name == wish.kind) else { continue };
            let up = (asked as f64 + types[kind].boot_ms).max(now as f64);
            let place = Place {
                what: What::Boot,
                machine: None,
                kind,
                zone: self.zone_number(&wish.zone),
                spot: wish.spot,
                room: types[kind].room(),
                leaving: false,
                kept: Room::default(),
                gangs: Vec::new(),
                end: self.free_at(kind, up),
                images: Vec::new(),
            };
            self.places.extend(std::iter::repeat_n(place, wish.number as usize));
        }
    }

    /// Keeps room for services where their images are, out of reach of other work.
    pub fn keep_for_services(&mut self) {
        for (image, spec) in std::mem::take(&mut self.service_images) {
            let each = Room::of(&spec);
            let mut left = RESERVE_PER_IMAGE;
            for place in &mut self.places {
                if left == 0 {
                    break;
                }
                let fits = place.what == What::Now
                    && place.images.contains(&image)
                    && (!place.spot || spec.spot)
                    && self.types[place.kind].allows(&spec)
                    && !self.types[place.kind].wasted_on(&spec);
                let mut both = place.kept;
                both.give(&each);
                if fits && place.room.covers(&both) {
                    place.kept = both;
                    left -= 1;
                }
            }
        }
    }

    /// Numbers the images that waiting jobs need, and those that services use most.
    pub fn number_images(&mut self) {
        let mut used: HashMap<&str, (u32, &Arc<Spec>)> = HashMap::new();
        for job in self.tables.jobs.values() {
            if job.spec.kind == Kind::Service && !job.cancelled() {
                used.entry(&job.spec.image).or_insert((0, &job.spec)).0 += job.spec.tasks;
            }
            if job.queued() {
                self.images.number(&job.spec.image);
            }
        }
        let mut used: Vec<(u32, &Arc<Spec>)> = used.into_values().collect();
        used.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.image.cmp(&b.1.image)));
        for (_, spec) in used.into_iter().take(RESERVE_IMAGES) {
            let image = self.images.number(&spec.image);
            self.service_images.push((image, spec.clone()));
        }
    }
}

/// Room kept for gangs on the machines that they have left, for what has waited long on those gathered for it, and
/// for those to whom accelerators were lent.
fn kept_for_gangs(tables: &Tables, now: Time) -> HashMap<&MachineId, Vec<(JobId, Priority, Room)>> {
    let mut kept: HashMap<&MachineId, Vec<_>> = HashMap::new();
    let kept_for = tables.jobs.values().filter(|j| !j.left.is_empty());
    for job in kept_for.filter(|j| j.state() == JobState::Live) {
        for machine in job.keeps(now) {
            let each = (job.id.clone(), job.spec.priority, Room::of(&job.spec));
            kept.entry(machine).or_default().push(each);
        }
    }
    kept
}
