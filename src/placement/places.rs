//! Places: where a task could go.

use super::ends::{Alike, EndId};
use super::lines::Slot;
use super::round::Round;
use crate::chance::Pmf;
use crate::cluster::leader::Leader;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Machine, MachineType, Room, Standing};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What a place is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum What {
    /// Free room on a machine that is ready.
    Now,
    /// The end of a line.
    Line(Slot),
    /// A machine that boots; used to plan only.
    Boot,
    /// A machine that could be rented; used to plan only.
    Rental,
}

/// Where a task could go.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub what: What,
    pub machine: Option<MachineId>,
    /// Numbers of its type and zone in the round.
    pub kind: usize,
    pub zone: usize,
    pub spot: bool,
    pub room: Room,
    /// What of the room is kept for services.
    pub kept: Room,
    /// When what is before it ends.
    pub end: EndId,
    /// Numbers of the images there that this round asks for.
    pub images: Vec<u32>,
}

/// Names of this round as small numbers.
#[derive(Debug, Default)]
pub(super) struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    /// The number of a name, given out if it is new.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.numbers.len() as u32;
        self.numbers.insert(name.to_string(), n);
        n
    }

    /// The number of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
}

impl Leader {
    /// Counts the free room of the machines whose work has changed.
    pub fn count_rooms(&mut self, types: &[MachineType]) {
        for machine in self.machines.values_mut().filter(|m| m.free().is_none()) {
            if let Some(kind) = types.iter().find(|t| t.name == machine.kind) {
                let (free, anchored) = free_room(&self.jobs, machine, kind);
                machine.counted(free, anchored);
            }
        }
    }
}

/// Room left on a machine, and whether replicas are on it, counted from the tables.
fn free_room(jobs: &BTreeMap<JobId, Job>, machine: &Machine, kind: &MachineType) -> (Room, bool) {
    let (mut room, mut anchored) = (kind.room(), false);
    for (job, task) in machine.tasks.keys() {
        if let Some(job) = jobs.get(job)
            && job.attempts.get(task).is_some_and(Attempt::occupies)
        {
            room.take(&Room::of(&job.spec));
            anchored |= job.spec.kind == Kind::Service;
        }
    }
    for stray in machine.strays.values() {
        // What a stray takes is not always known: then the machine has no room.
        match stray {
            Some(each) => room.take(each),
            None => room = Room::default(),
        }
    }
    (room, anchored)
}

/// Whether a machine may be given work.
pub(super) fn usable(machine: &Machine, now: Time, lease_ms: f64) -> bool {
    let quiet =
        machine.heard.is_none_or(|at| now.saturating_sub(at) as f64 > lease_ms * QUIET_SHARE);
    machine.standing() == Standing::Ready
        && !machine.suspect
        && machine.recall_at.is_none()
        && !quiet
}

/// How many more tasks of each service class than now would find room at once: what an idle
/// machine adds beyond the wanted reserve may be returned.
#[derive(Debug)]
pub struct Reserve {
    classes: Vec<(Arc<Spec>, u32)>,
}

impl Reserve {
    /// Counts over all machines.
    pub fn count(leader: &mut Leader, types: &[MachineType]) -> Reserve {
        leader.count_rooms(types);
        let mut classes: BTreeMap<&str, &Arc<Spec>> = BTreeMap::new();
        for job in leader.jobs.values().filter(|j| j.spec.kind == Kind::Service && !j.cancelled()) {
            classes.entry(&job.spec.class).or_insert(&job.spec);
        }
        let classes: Vec<Arc<Spec>> = classes.into_values().cloned().collect();
        let mut reserve = Reserve { classes: classes.into_iter().map(|s| (s, 0)).collect() };
        for machine in leader.machines.values() {
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
            here > 0 && *found < RESERVE_TASKS + here
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
        || machine.suspect
        || machine.recall_at.is_some()
        || machine.spot && !spec.spot
        || !kind.allows(spec)
        || kind.wasted_on(spec)
    {
        return 0;
    }
    machine.free().unwrap_or_default().fits(&Room::of(spec))
}

impl Round<'_, '_> {
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
        let Some(job) = self.leader.jobs.get(id) else { return end };
        let name = &self.types[kind].name;
        let run = self.leader.history.of(id, &job.spec.class, job.spec.estimate_s).run_time(name);
        self.ends.number(Alike::After(end, id.clone()), |all| {
            let end = all[end].convolve(run);
            job.due.map_or(end.clone(), |d| end.cut(d as f64))
        })
    }

    /// When the head of a slot ends.
    pub fn head_end(&mut self, slot: &Slot) -> Option<(usize, EndId)> {
        let now = self.ctx.now as f64;
        let machine = self.leader.machines.get(&slot.0)?;
        let job = self.leader.jobs.get(&slot.1)?;
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
        let run =
            self.leader.history.of(&slot.1, &job.spec.class, job.spec.estimate_s).run_time(&t.name);
        let (ran, since) = (attempt.ran_at, attempt.since);
        let end = self.ends.number(alike, |_| match ran {
            Some(at) => run.remaining(now - at as f64).later(now),
            None => {
                let fetch = t.fetch_ms(&job.spec) - (now - since as f64);
                run.clone().later(now + fetch.max(0.0))
            }
        });
        Some((kind, end))
    }

    /// Lists the places there are.
    pub fn open_places(&mut self) {
        let now = self.ctx.now;
        let lease = self.ctx.settings.settings.workers.lease_s * MS_PER_S;
        let types = self.types.clone();
        let mut slots: Vec<(usize, Slot, Room)> = Vec::new();
        let machines = std::mem::take(&mut self.leader.machines);
        for (id, machine) in &machines {
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
                kept: Room::default(),
                end: 0,
                images: Vec::new(),
            };
            if !usable(machine, now, lease) {
                let waits = matches!(machine.standing(), Standing::Expected | Standing::Greeted);
                let comes = machine.may_come(t.boot_ms, self.leader.since, now);
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
        self.leader.machines = machines;
        if !self.full {
            return;
        }
        for (index, slot, free) in slots {
            let Some(head) = self.leader.jobs.get(&slot.1) else { continue };
            let mut size = Room::of(&head.spec);
            size.give(&free);
            if !self.leader.lines.has_room(&slot) {
                continue;
            }
            let Some((kind, mut end)) = self.head_end(&slot) else { continue };
            let line: Vec<JobId> = self.leader.lines.behind(&slot).cloned().collect();
            for next in line {
                end = self.end_after(end, &next, kind);
            }
            let place =
                Place { what: What::Line(slot), room: size, end, ..self.places[index].clone() };
            self.places.push(place);
        }
        for (wish, asked) in self.leader.fleet.asked() {
            let Some(kind) = types.iter().position(|t| t.name == wish.kind) else { continue };
            let up = (asked as f64 + types[kind].boot_ms).max(now as f64);
            let place = Place {
                what: What::Boot,
                machine: None,
                kind,
                zone: self.zone_number(&wish.zone),
                spot: wish.spot,
                room: types[kind].room(),
                kept: Room::default(),
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
        for job in self.leader.jobs.values() {
            if job.spec.kind == Kind::Service && !job.cancelled() {
                used.entry(&job.spec.image).or_insert((0, &job.spec)).0 += job.spec.tasks;
            }
            if !job.waiting.is_empty() {
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
