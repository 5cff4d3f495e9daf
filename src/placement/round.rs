//! One mapping event: drop what is overdue, prune lines, let tasks choose, fill machines.

use crate::chance::{History, Pmf};
use crate::cluster::Ctx;
use crate::cluster::leader::Leader;
use crate::constants::*;
use crate::fleet::Wish;
use crate::job::*;
use crate::machine::{Machine, MachineType, Room, Standing};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::lines::{Slot, give_back};

/// Tasks of several jobs.
type Tasks = Vec<(JobId, u32)>;

/// What a place is.
#[derive(Debug, Clone, PartialEq)]
enum What {
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
struct Place {
    what: What,
    machine: Option<MachineId>,
    kind: usize,
    zone: String,
    spot: bool,
    room: Room,
    /// When what is before it ends.
    before: Pmf,
    images: HashSet<String>,
    /// What of the room is kept for services.
    kept: Room,
}

/// A job that has tasks to place.
struct Chooser {
    id: JobId,
    spec: Arc<Spec>,
    due: Option<Time>,
    overdue: bool,
    left: u32,
    bad: Vec<MachineId>,
    zone: Option<String>,
    in_zone: HashMap<String, u32>,
    scores: Vec<Option<Score>>,
    known: usize,
    /// Places that turned out not to take it: not tried again in this round, or a job at its
    /// team's limit would try for ever.
    shut: HashSet<usize>,
    /// Every type that its job allows has accelerators that it does not need.
    only_wasteful: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Score {
    chance: f64,
    mean: f64,
}

/// Whether a pass is due: on a change, or when a round's time has come.
pub fn want_pass(leader: &Leader, now: Time) -> Option<bool> {
    if now >= leader.round_at + ROUND_MS {
        return Some(true);
    }
    (leader.stir && now >= leader.passed_at + PASS_MS).then_some(false)
}

struct Round<'a, 'b> {
    leader: &'a mut Leader,
    ctx: &'a mut Ctx<'b>,
    types: Arc<Vec<MachineType>>,
    usage: HashMap<String, Room>,
    places: Vec<Place>,
    wishes: BTreeMap<(usize, String, bool), u32>,
    demand: HashMap<String, u32>,
    full: bool,
    touched: HashSet<JobId>,
}

/// Plays a mapping event. A full one is the design's round; the other starts, between rounds, what
/// finds free room.
pub fn pass(leader: &mut Leader, ctx: &mut Ctx, full: bool) {
    let Some(types) = ctx.types.clone() else { return };
    let now = ctx.now;
    leader.passed_at = now;
    leader.stir = false;
    for job in leader.jobs.values_mut() {
        job.unhold(now);
    }
    let usage = usage(leader);
    let mut round = Round {
        leader,
        ctx,
        types,
        usage,
        places: Vec::new(),
        wishes: BTreeMap::new(),
        demand: HashMap::new(),
        full,
        touched: HashSet::new(),
    };
    round.miss();
    round.promote();
    if full {
        round.prune();
    }
    round.open_places();
    round.keep_for_services();
    round.release_lined();
    round.choose();
    let Round { leader, ctx, wishes, types, touched, .. } = round;
    if full {
        leader.round_at = now;
        leader.misses = 0;
        let wishes: Vec<Wish> = wishes
            .into_iter()
            .map(|((kind, zone, spot), number)| Wish {
                kind: types[kind].name.clone(),
                zone,
                spot,
                number,
            })
            .collect();
        let token = leader.token;
        leader.fleet.rent(token, wishes, ctx);
    }
    for id in touched {
        leader.flush(&id, ctx);
    }
}

/// What each team's tasks take, counting everything not proved gone.
fn usage(leader: &Leader) -> HashMap<String, Room> {
    let mut usage: HashMap<String, Room> = HashMap::new();
    for job in leader.jobs.values() {
        let held = job.attempts.values().filter(|a| a.occupies()).count();
        if held > 0 {
            let team = usage.entry(job.spec.team.clone()).or_default();
            let each = Room::of(&job.spec);
            team.cpus += each.cpus * held as f64;
            team.gpus += each.gpus * held as f64;
        }
    }
    usage
}

fn free_room(leader: &Leader, machine: &Machine, kind: &MachineType) -> Room {
    let mut room = kind.room();
    for (job, task) in machine.tasks.keys() {
        if let Some(job) = leader.jobs.get(job)
            && job.attempts.get(task).is_some_and(Attempt::occupies)
        {
            room.take(&Room::of(&job.spec));
        }
    }
    for stray in machine.strays.values() {
        // What a stray takes is not always known: then the machine has no room.
        match stray {
            Some(each) => room.take(each),
            None => room = Room::default(),
        }
    }
    room
}

/// Whether a machine may be given work.
fn usable(machine: &Machine, now: Time, lease_ms: f64) -> bool {
    let quiet =
        machine.heard.is_none_or(|at| now.saturating_sub(at) as f64 > lease_ms * QUIET_SHARE);
    machine.standing() == Standing::Ready
        && !machine.suspect
        && machine.recall_at.is_none()
        && !quiet
}

/// Service classes and how many more of their tasks should find room at once than now would.
pub fn reserve_needs(leader: &Leader, types: &[MachineType], without: Option<&MachineId>) -> u32 {
    let mut classes: BTreeMap<&str, &Spec> = BTreeMap::new();
    for job in leader.jobs.values().filter(|j| j.spec.kind == Kind::Service && !j.cancelled()) {
        classes.entry(&job.spec.class).or_insert(&job.spec);
    }
    let mut short = 0;
    for spec in classes.values() {
        let mut found = 0;
        for machine in leader.machines.values() {
            let Some(kind) = types.iter().find(|t| t.name == machine.kind) else { continue };
            let booting = machine.standing() == Standing::Expected;
            let able = booting || machine.standing() == Standing::Ready;
            if Some(&machine.id) == without
                || !able
                || machine.suspect
                || !kind.allows(spec)
                || kind.wasted_on(spec)
            {
                continue;
            }
            if machine.spot && !spec.spot || machine.recall_at.is_some() {
                continue;
            }
            found += free_room(leader, machine, kind).fits(&Room::of(spec));
        }
        short += RESERVE_TASKS.saturating_sub(found);
    }
    short
}

impl Round<'_, '_> {
    /// Drops overdue work from lines, and counts the misses.
    fn miss(&mut self) {
        let now = self.ctx.now;
        let mut over = Vec::new();
        for (id, job) in &mut self.leader.jobs {
            if job.due.is_some_and(|due| due < now) && !job.missed && job.state() == JobState::Live
            {
                job.missed = true;
                let open =
                    job.waiting.len() + job.attempts.values().filter(|a| a.occupies()).count();
                self.leader.misses += open as u32;
                over.push(id.clone());
            }
        }
        for id in over {
            self.leader.lines.leave(&id, &mut self.leader.jobs);
        }
    }

    /// The next of a line takes the room that its head has left.
    fn promote(&mut self) {
        for (slot, mut line) in self.leader.lines.headless(&self.leader.jobs) {
            let lease = self.ctx.settings.settings.workers.lease_s * MS_PER_S;
            let mut next = None;
            if let Some(machine) = self.leader.machines.get(&slot.0)
                && let Some(kind) = self.types.iter().find(|t| t.name == machine.kind)
                && usable(machine, self.ctx.now, lease)
            {
                let room = free_room(self.leader, machine, kind);
                let (zone, spot, kind) = (machine.zone.clone(), machine.spot, kind.name.clone());
                while let Some(id) = line.pop_front() {
                    give_back(&id, &mut self.leader.jobs);
                    let fits =
                        self.leader.jobs.get(&id).is_some_and(|j| {
                            room.holds(&j.spec) && !j.waiting.is_empty() && open(j)
                        });
                    if fits
                        && self.allowed(&id, &kind, &zone, spot, &slot.0)
                        && let Some(task) = self.bind(&id, &slot.0)
                    {
                        next = Some((slot.0.clone(), id, task));
                        break;
                    }
                }
            }
            match next {
                Some(head) => self.leader.lines.put_back(head, line),
                None => line.iter().for_each(|id| give_back(id, &mut self.leader.jobs)),
            }
        }
    }

    /// If misses reach the toggle while passing tasks wait, tasks in lines at or below the
    /// threshold leave them.
    fn prune(&mut self) {
        if self.leader.misses < TOGGLE {
            return;
        }
        let waits = self.leader.jobs.values().any(|j| open(j) && j.waiting.len() as u32 > j.lined);
        if !waits {
            return;
        }
        for slot in self.leader.lines.slots() {
            let Some(mut before) = self.head_end(&slot) else { continue };
            let line: Vec<JobId> = self.leader.lines.behind(&slot).cloned().collect();
            let Some(kind) = self.leader.machines.get(&slot.0).map(|m| m.kind.clone()) else {
                continue;
            };
            let mut keep = Vec::with_capacity(line.len());
            for id in &line {
                let end = self.end_after(&before, id, &kind);
                let due = self.leader.jobs.get(id).and_then(|j| j.due);
                let stays = due.is_none_or(|d| end.chance(d as f64) > THRESHOLD);
                if stays {
                    before = due.map_or(end.clone(), |d| end.clone().cut(d as f64));
                }
                keep.push(stays);
            }
            let dropped = self.leader.lines.keep(&slot, &keep, &mut self.leader.jobs);
            if dropped > 0 {
                tracing::debug!(machine = %slot.0, dropped, "tasks pruned from a line");
            }
        }
    }

    /// When the head of a slot ends.
    fn head_end(&mut self, slot: &Slot) -> Option<Pmf> {
        let now = self.ctx.now as f64;
        let machine = self.leader.machines.get(&slot.0)?;
        let job = self.leader.jobs.get(&slot.1)?;
        if job.spec.kind == Kind::Service {
            return None;
        }
        let attempt = job.attempts.get(&slot.2)?;
        let kind = self.types.iter().find(|t| t.name == machine.kind)?;
        let (estimate, gb) = (job.spec.estimate_s, job.spec.image_gb);
        let (ran, since) = (attempt.ran_at, attempt.since);
        let run =
            self.leader.history.entry(slot.1.clone()).or_default().run_time(&kind.name, estimate);
        Some(match ran {
            Some(at) => run.remaining(now - at as f64).later(now),
            None => {
                let fetch = gb / kind.fetch * MS_PER_S - (now - since as f64);
                run.clone().later(now + fetch.max(0.0))
            }
        })
    }

    fn end_after(&mut self, before: &Pmf, id: &JobId, kind: &str) -> Pmf {
        let estimate = self.leader.jobs.get(id).map_or(0.0, |j| j.spec.estimate_s);
        let run = self.leader.history.entry(id.clone()).or_default().run_time(kind, estimate);
        before.convolve(run)
    }

    /// Lists the places there are.
    fn open_places(&mut self) {
        let now = self.ctx.now;
        let lease = self.ctx.settings.settings.workers.lease_s * MS_PER_S;
        let ids: Vec<MachineId> = self.leader.machines.keys().cloned().collect();
        for id in ids {
            let machine = &self.leader.machines[&id];
            let Some(kind) = self.types.iter().position(|t| t.name == machine.kind) else {
                continue;
            };
            let t = &self.types[kind];
            let images: HashSet<String> = machine.images.iter().map(|i| i.0.clone()).collect();
            let (zone, spot) = (machine.zone.clone(), machine.spot);
            let place = |what, room, before| Place {
                what,
                machine: Some(id.clone()),
                kind,
                zone: zone.clone(),
                spot,
                room,
                before,
                images: images.clone(),
                kept: Room::default(),
            };
            let fresh = !usable(machine, now, lease);
            if fresh {
                let waits = matches!(machine.standing(), Standing::Expected | Standing::Greeted);
                if self.full && waits && machine.tasks.is_empty() {
                    let up = (machine.rented_at as f64 + t.boot_ms).max(now as f64 + SOON_MS);
                    self.places.push(place(What::Boot, t.room(), Pmf::at(up)));
                }
                continue;
            }
            let room = free_room(self.leader, machine, t);
            let heads: Vec<(JobId, u32)> = machine.tasks.keys().cloned().collect();
            if room.cpus > 0.0 {
                let it = place(What::Now, room, Pmf::at(now as f64));
                self.places.push(it);
            }
            if !self.full {
                continue;
            }
            let mut lines = Vec::new();
            for (job, task) in heads {
                let slot = (id.clone(), job.clone(), task);
                let Some(head) = self.leader.jobs.get(&job) else { continue };
                let mut size = Room::of(&head.spec);
                size.give(&room);
                if !self.leader.lines.has_room(&slot) {
                    continue;
                }
                let Some(mut before) = self.head_end(&slot) else { continue };
                let line: Vec<JobId> = self.leader.lines.behind(&slot).cloned().collect();
                let name = self.types[kind].name.clone();
                for next in line {
                    let end = self.end_after(&before, &next, &name);
                    let due = self.leader.jobs.get(&next).and_then(|j| j.due);
                    before = due.map_or(end.clone(), |d| end.cut(d as f64));
                }
                lines.push(place(What::Line(slot), size, before));
            }
            self.places.extend(lines);
        }
        if self.full {
            for (wish, asked) in self.leader.fleet.asked() {
                let Some(kind) = self.types.iter().position(|t| t.name == wish.kind) else {
                    continue;
                };
                let up = asked as f64 + self.types[kind].boot_ms;
                for _ in 0..wish.number {
                    self.places.push(Place {
                        what: What::Boot,
                        machine: None,
                        kind,
                        zone: wish.zone.clone(),
                        spot: wish.spot,
                        room: self.types[kind].room(),
                        before: Pmf::at(up.max(now as f64)),
                        images: HashSet::new(),
                        kept: Room::default(),
                    });
                }
            }
        }
    }

    /// Keeps room for services where their images are, out of reach of other work.
    fn keep_for_services(&mut self) {
        let mut used: HashMap<&str, (u32, Arc<Spec>)> = HashMap::new();
        let services = self.leader.jobs.values().filter(|j| j.spec.kind == Kind::Service);
        for job in services.filter(|j| !j.cancelled()) {
            used.entry(&job.spec.image).or_insert((0, job.spec.clone())).0 += job.spec.tasks;
        }
        let mut used: Vec<(u32, Arc<Spec>)> = used.into_values().collect();
        used.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.image.cmp(&b.1.image)));
        for (_, spec) in used.into_iter().take(RESERVE_IMAGES) {
            let each = Room::of(&spec);
            let mut left = RESERVE_PER_IMAGE;
            for place in &mut self.places {
                let fits = place.what == What::Now
                    && place.images.contains(&spec.image)
                    && (!place.spot || spec.spot)
                    && self.types[place.kind].allows(&spec)
                    && !self.types[place.kind].wasted_on(&spec);
                let mut both = place.kept;
                both.give(&each);
                if left > 0 && fits && place.room.covers(&both) {
                    place.kept = both;
                    left -= 1;
                }
            }
        }
    }

    /// Room that has become free beats standing in a line: whoever stands in one and fits chooses
    /// again.
    fn release_lined(&mut self) {
        let lined: Vec<JobId> =
            self.leader.jobs.values().filter(|j| j.lined > 0).map(|j| j.id.clone()).collect();
        for id in lined {
            let spec = self.leader.jobs[&id].spec.clone();
            let free = self.places.iter().any(|p| p.what == What::Now && p.room.holds(&spec));
            if free {
                self.leader.lines.leave(&id, &mut self.leader.jobs);
            }
        }
    }

    fn chooser(&self, job: &Job) -> Chooser {
        let mut in_zone: HashMap<String, u32> = HashMap::new();
        if job.spec.spread || job.spec.one_zone {
            for a in job.attempts.values().filter(|a| a.occupies()) {
                // A machine whose zone is not known could be in any: it counts in all.
                match self.leader.machines.get(&a.machine).filter(|m| !m.zone.is_empty()) {
                    Some(m) => *in_zone.entry(m.zone.clone()).or_default() += 1,
                    None => *in_zone.entry(String::new()).or_default() += 1,
                }
            }
        }
        Chooser {
            id: job.id.clone(),
            spec: job.spec.clone(),
            due: job.due,
            overdue: job.missed,
            left: job.waiting.len() as u32 - job.lined.min(job.waiting.len() as u32),
            bad: job.bad_machines.iter().cloned().collect(),
            zone: None,
            in_zone,
            scores: Vec::new(),
            known: 0,
            shut: HashSet::new(),
            only_wasteful: !self
                .types
                .iter()
                .any(|t| t.allows(&job.spec) && !t.wasted_on(&job.spec)),
        }
    }

    /// Lets every job with waiting tasks choose, by priority, guarantee and chance.
    fn choose(&mut self) {
        let mut choosers: Vec<Chooser> = Vec::new();
        for job in self.leader.jobs.values().filter(|j| open(j) && !j.waiting.is_empty()) {
            let chooser = self.chooser(job);
            if chooser.left > 0 {
                choosers.push(chooser);
            }
        }
        for c in &choosers {
            *self.demand.entry(c.spec.class.clone()).or_default() += c.left;
        }
        let within = |c: &Chooser, me: &Self| {
            let team = me.ctx.settings.team(&c.spec.team);
            let used = me.usage.get(&c.spec.team).copied().unwrap_or_default();
            team.is_some_and(|t| used.cpus + c.spec.cpus <= t.cpus + SLACK)
        };
        let mut levels: BTreeMap<(std::cmp::Reverse<Priority>, bool), Vec<Chooser>> =
            BTreeMap::new();
        let mut overdue = Vec::new();
        for c in choosers {
            if c.overdue {
                overdue.push(c);
            } else {
                let key = (std::cmp::Reverse(c.spec.priority), !within(&c, self));
                levels.entry(key).or_default().push(c);
            }
        }
        let mut rest = Vec::new();
        for (_, mut level) in levels {
            level.truncate(PASS_JOBS);
            let (gangs, mut others): (Vec<Chooser>, Vec<Chooser>) =
                level.into_iter().partition(|c| c.spec.kind == Kind::Gang && c.spec.tasks > 1);
            for mut gang in gangs {
                self.place_gang(&mut gang);
            }
            self.preempt(&mut others);
            self.map(&mut others, true);
            rest.extend(others.into_iter().filter(|c| c.left > 0));
        }
        self.map(&mut rest, false);
        overdue.truncate(PASS_JOBS);
        let (gangs, mut overdue): (Vec<Chooser>, Vec<Chooser>) =
            overdue.into_iter().partition(|c| c.spec.kind == Kind::Gang && c.spec.tasks > 1);
        for mut gang in gangs {
            self.place_gang(&mut gang);
        }
        self.map(&mut overdue, false);
    }

    /// Makes room for services by stopping tasks of lower priority, where that starts them clearly
    /// sooner than any free room would. The service then waits a moment for that room.
    fn preempt(&mut self, choosers: &mut [Chooser]) {
        let now = self.ctx.now;
        let soon = self.ctx.settings.settings.workers.report_s * PREEMPT_REPORTS * MS_PER_S;
        for c in choosers.iter_mut().filter(|c| c.spec.kind == Kind::Service && c.left > 0) {
            self.score(c);
            let scores = c.scores.iter().flatten();
            let best = scores.map(|s| s.mean - now as f64).fold(f64::MAX, f64::min);
            let since = self.leader.preempting.get(&c.id).copied();
            // Any place as good as the one being made will do.
            let goal = since.map_or(0.0, |(_, fetch)| fetch + soon).max(PREEMPT_GAIN_MS);
            if best <= goal || since.is_some_and(|(at, _)| now > at + PREEMPT_WAIT_MS) {
                continue;
            }
            if since.is_none() {
                let limit = best - PREEMPT_GAIN_MS - soon;
                let Some((fetch, victims)) = self.victims(c, limit) else { continue };
                self.leader.preempting.insert(c.id.clone(), (now, fetch));
                for (id, task) in victims {
                    let Some(job) = self.leader.jobs.get_mut(&id) else { continue };
                    if let Some(attempt) = job.attempts.get_mut(&task) {
                        tracing::info!(job = %id, task, machine = %attempt.machine, by = %c.id, "task preempted");
                        attempt.stop.get_or_insert((now, 0));
                    }
                }
            }
            c.left = 0;
        }
    }

    /// The tasks whose stop makes room for a service, and the fetch it then needs: least, and
    /// within `limit` ms; among equals, what loses the least work.
    fn victims(&self, c: &Chooser, limit: f64) -> Option<(f64, Tasks)> {
        let now = self.ctx.now;
        let lease = self.ctx.settings.settings.workers.lease_s * MS_PER_S;
        let mut best: Option<(f64, u64, Tasks)> = None;
        for machine in self.leader.machines.values().filter(|m| usable(m, now, lease)) {
            let Some(kind) = self.types.iter().find(|t| t.name == machine.kind) else { continue };
            let fetch = match machine.has_image(&c.spec.image) {
                true => 0.0,
                false => kind.fetch_ms(&c.spec),
            };
            if fetch > limit
                || kind.wasted_on(&c.spec) != c.only_wasteful
                || !fits_rules(c, kind, &machine.zone, machine.spot)
                || c.bad.contains(&machine.id)
            {
                continue;
            }
            let mut candidates: Vec<(u64, JobId, u32, Room)> = Vec::new();
            let mut leaving = false;
            for (id, task) in machine.tasks.keys() {
                let Some(job) = self.leader.jobs.get(id) else { continue };
                let Some(attempt) = job.attempts.get(task).filter(|a| a.occupies()) else {
                    continue;
                };
                leaving |= attempt.stop.is_some();
                if job.spec.priority < c.spec.priority && job.spec.kind == Kind::Array {
                    let lost = attempt.ran_at.map_or(0, |at| now.saturating_sub(at));
                    candidates.push((lost, id.clone(), *task, Room::of(&job.spec)));
                }
            }
            // Room already being made on it is for another.
            if leaving {
                continue;
            }
            candidates.sort_by(|a, b| (a.0, &a.1, a.2).cmp(&(b.0, &b.1, b.2)));
            let mut room = free_room(self.leader, machine, kind);
            let (mut lost, mut chosen) = (0, Vec::new());
            for (cost, id, task, each) in candidates {
                if room.holds(&c.spec) {
                    break;
                }
                room.give(&each);
                lost += cost;
                chosen.push((id, task));
            }
            let fits = room.holds(&c.spec) && !chosen.is_empty();
            if fits && best.as_ref().is_none_or(|(f, l, _)| (fetch, lost) < (*f, *l)) {
                best = Some((fetch, lost, chosen));
            }
        }
        best.map(|(fetch, _, chosen)| (fetch, chosen))
    }

    /// Each chooser picks its place of highest chance; the one of least completion time takes
    /// its own; until nobody finds a place. `passing`: only above the threshold. Otherwise those
    /// left take what nobody passing wanted, and plan rentals for what finds nothing.
    fn map(&mut self, choosers: &mut [Chooser], passing: bool) {
        loop {
            let mut best: Option<(usize, usize, Score)> = None;
            for (n, c) in choosers.iter_mut().enumerate() {
                if c.left == 0 {
                    continue;
                }
                self.score(c);
                let Some((place, score)) = self.pick(c, passing) else { continue };
                if best.is_none_or(|(_, _, s)| score.mean < s.mean) {
                    best = Some((n, place, score));
                }
            }
            let Some((n, place, _)) = best else { break };
            if !self.take(&mut choosers[n], place) {
                choosers[n].shut.insert(place);
            }
            for c in choosers.iter_mut() {
                if c.known > place {
                    c.scores[place] = self.evaluate(c, place);
                }
            }
        }
        if !self.full {
            return;
        }
        for c in choosers.iter_mut() {
            while c.left > 0 && self.within_limit(&c.spec) {
                let Some(place) = self.pick_rental(c, passing) else { break };
                let index = self.places.len();
                self.places.push(place);
                let p = &self.places[index];
                *self.wishes.entry((p.kind, p.zone.clone(), p.spot)).or_default() += 1;
                // Fill the new machine with this job's tasks; the others find it as a place.
                let before = c.left;
                while c.left > 0 && self.places[index].room.holds(&c.spec) {
                    if !self.take(c, index) {
                        break;
                    }
                }
                if c.left == before {
                    break;
                }
            }
        }
    }

    fn score(&mut self, c: &mut Chooser) {
        while c.known < self.places.len() {
            let it = self.evaluate(c, c.known);
            c.scores.push(it);
            c.known += 1;
        }
    }

    /// Chance and completion of a chooser's next task at a place, if it may go there.
    fn evaluate(&mut self, c: &Chooser, index: usize) -> Option<Score> {
        let place = &self.places[index];
        let t = &self.types[place.kind];
        let mut room = place.room;
        if c.spec.kind != Kind::Service {
            room.take(&place.kept);
        }
        if c.shut.contains(&index)
            || c.only_wasteful != t.wasted_on(&c.spec)
            || !room.holds(&c.spec)
            || !fits_rules(c, t, &place.zone, place.spot)
        {
            return None;
        }
        if place.machine.as_ref().is_some_and(|m| c.bad.contains(m)) {
            return None;
        }
        if matches!(place.what, What::Line(_)) && (c.spec.kind == Kind::Service || c.overdue) {
            return None;
        }
        let fetch = if place.images.contains(&c.spec.image) { 0.0 } else { t.fetch_ms(&c.spec) };
        if c.spec.kind == Kind::Service {
            return Some(Score { chance: 1.0, mean: place.before.mean() + fetch });
        }
        let history = self.leader.history.entry(c.id.clone()).or_default();
        let end = place.before.convolve(history.run_time(&t.name, c.spec.estimate_s)).later(fetch);
        let chance = c.due.map_or(1.0, |d| end.chance(d as f64));
        Some(Score { chance, mean: end.mean() })
    }

    fn pick(&self, c: &Chooser, passing: bool) -> Option<(usize, Score)> {
        let key = |i: usize, s: &Score| {
            let place = &self.places[i];
            // Of places as good, the fullest machine, so that others can be returned.
            let chance = (s.chance * 50.0).round();
            (-chance, (s.mean / MS_PER_S).round(), place.room.cpus)
        };
        let mut found: Option<(usize, Score)> = None;
        for (i, score) in c.scores.iter().enumerate() {
            let Some(score) = score else { continue };
            let fits = if passing {
                score.chance > THRESHOLD
            } else {
                !matches!(self.places[i].what, What::Line(_)) && (c.overdue || score.chance >= 0.0)
            };
            if !fits {
                continue;
            }
            if found.is_none_or(|(j, best)| key(i, score) < key(j, &best)) {
                found = Some((i, *score));
            }
        }
        let (i, score) = found?;
        // Without a deadline every place passes: a line is worth waiting in only if a machine
        // rented now would not be sooner.
        if c.due.is_none()
            && matches!(self.places[i].what, What::Line(_))
            && self.pick_rental(c, true).is_some_and(|p| {
                let t = &self.types[p.kind];
                let fetch = t.fetch_ms(&c.spec);
                p.before.mean() + fetch + self.run_guess(c, &t.name).mean() < score.mean
            })
        {
            return None;
        }
        Some((i, score))
    }

    /// The cheapest machine to rent on which the chooser's tasks pass, or run at all.
    fn pick_rental(&self, c: &Chooser, passing: bool) -> Option<Place> {
        let now = self.ctx.now;
        let mut best: Option<(f64, Place)> = None;
        let demand = self.demand.get(&c.spec.class).copied().unwrap_or(1).max(1);
        for (kind, t) in self.types.iter().enumerate() {
            let fits = t.room().fits(&Room::of(&c.spec));
            if fits == 0 || c.only_wasteful != t.wasted_on(&c.spec) {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    if !fits_rules(c, t, zone, spot)
                        || !self.leader.fleet.may_rent(&t.name, zone, spot, now)
                    {
                        continue;
                    }
                    let before = Pmf::at(now as f64 + t.boot_ms);
                    let fetch = t.fetch_ms(&c.spec);
                    if passing && let Some(due) = c.due {
                        let end = before.convolve(&self.run_guess(c, &t.name)).later(fetch);
                        if end.chance(due as f64) <= THRESHOLD {
                            continue;
                        }
                    }
                    let cost = t.cost(spot) / f64::from(fits.min(demand));
                    // A second of waiting for work to start weighs like a little money.
                    let cost = cost * (1.0 + (t.boot_ms + fetch) / RENT_WAIT_MS);
                    if best.as_ref().is_none_or(|(b, _)| cost < *b) {
                        let place = Place {
                            what: What::Rental,
                            machine: None,
                            kind,
                            zone: zone.clone(),
                            spot,
                            room: t.room(),
                            before,
                            images: HashSet::new(),
                            kept: Room::default(),
                        };
                        best = Some((cost, place));
                    }
                }
            }
        }
        best.map(|(_, p)| p)
    }

    /// The run time of a chooser's task on a type, as last computed or before anything is known.
    fn run_guess(&self, c: &Chooser, kind: &str) -> Pmf {
        let learnt = self.leader.history.get(&c.id).and_then(|h| h.known(kind));
        learnt.cloned().unwrap_or_else(|| History::prior(c.spec.estimate_s))
    }

    fn within_limit(&self, spec: &Spec) -> bool {
        let Some(team) = self.ctx.settings.team(&spec.team) else { return false };
        let used = self.usage.get(&spec.team).copied().unwrap_or_default();
        (team.cpus_max <= 0.0 || used.cpus + spec.cpus <= team.cpus_max + SLACK)
            && (team.gpus_max <= 0.0 || used.gpus + spec.gpus <= team.gpus_max + SLACK)
    }

    fn allowed(&self, id: &JobId, kind: &str, zone: &str, spot: bool, machine: &MachineId) -> bool {
        let Some(job) = self.leader.jobs.get(id) else { return false };
        let Some(t) = self.types.iter().find(|t| t.name == kind) else { return false };
        let c = self.chooser(job);
        fits_rules(&c, t, zone, spot) && !c.bad.contains(machine) && self.within_limit(&job.spec)
    }

    /// One task of the chooser takes a place. False if it cannot.
    fn take(&mut self, c: &mut Chooser, index: usize) -> bool {
        let place = self.places[index].clone();
        let team_counts = !matches!(place.what, What::Line(_));
        if team_counts && !self.within_limit(&c.spec) {
            return false;
        }
        match &place.what {
            What::Now => {
                let Some(machine) = &place.machine else { return false };
                // The rules once more, on the tables themselves.
                let kind = self.types[place.kind].name.clone();
                if !self.allowed(&c.id, &kind, &place.zone, place.spot, machine)
                    || self.bind(&c.id, machine).is_none()
                {
                    return false;
                }
            }
            What::Line(slot) => {
                let Some(job) = self.leader.jobs.get_mut(&c.id) else { return false };
                self.leader.lines.join(slot.clone(), job);
                let kind = self.types[place.kind].name.clone();
                let end = self.end_after(&place.before, &c.id, &kind);
                let end = c.due.map_or(end.clone(), |d| end.cut(d as f64));
                self.places[index].before = end;
                if !self.leader.lines.has_room(slot) {
                    self.places[index].room = Room::default();
                }
            }
            What::Boot | What::Rental => {}
        }
        if team_counts {
            self.places[index].room.take(&Room::of(&c.spec));
            if !matches!(place.what, What::Now) {
                let used = self.usage.entry(c.spec.team.clone()).or_default();
                used.give(&Room::of(&c.spec));
                // Two images fetched at once share the rate, the same image is fetched once.
                self.places[index].images.insert(c.spec.image.clone());
            }
        }
        c.left -= 1;
        *c.in_zone.entry(place.zone.clone()).or_default() += 1;
        if let Some(d) = self.demand.get_mut(&c.spec.class) {
            *d = d.saturating_sub(1);
        }
        true
    }

    /// Binds the first waiting task of a job to a machine: in the tables now, in the store with
    /// the flush that follows, and offered only after that.
    fn bind(&mut self, id: &JobId, machine_id: &MachineId) -> Option<u32> {
        let launch = self.leader.next_launch();
        self.bind_as(id, machine_id, launch)
    }

    fn bind_as(&mut self, id: &JobId, machine_id: &MachineId, launch: u64) -> Option<u32> {
        let now = self.ctx.now;
        let machine = self.leader.machines.get_mut(machine_id)?;
        let job = self.leader.jobs.get_mut(id)?;
        let task = job.waiting.pop_first()?;
        job.attempts.insert(task, Attempt::new(launch, machine_id.clone(), machine.latest.0, now));
        job.touch(task, now, true);
        machine.tasks.insert((id.clone(), task), launch);
        self.usage.entry(job.spec.team.clone()).or_default().give(&Room::of(&job.spec));
        self.touched.insert(id.clone());
        Some(task)
    }

    /// Places a gang whole or not at all; otherwise plans the machines it lacks.
    fn place_gang(&mut self, c: &mut Chooser) {
        let Some(job) = self.leader.jobs.get(&c.id) else { return };
        // All that are not done yet. Once one is done all are, but a task that was lost before
        // its exit was seen must start again to say so.
        if !job.attempts.is_empty() || c.left as usize + job.done.len() < c.spec.tasks as usize {
            return;
        }
        let missing = c.left;
        let each = Room::of(&c.spec);
        let all = Room {
            cpus: each.cpus * f64::from(missing),
            gpus: each.gpus * f64::from(missing),
            memory_gb: 0.0,
        };
        let mut whole = (*c.spec).clone();
        (whole.cpus, whole.gpus) = (all.cpus, all.gpus);
        if !self.within_limit(&whole) {
            return;
        }
        let zones: Vec<Option<String>> = if c.spec.one_zone {
            // Zones without any machine count too, or a gang would wait for ever in an empty cluster.
            let rentable = self.types.iter().flat_map(|t| &t.zones);
            let zones: HashSet<&String> =
                self.places.iter().map(|p| &p.zone).chain(rentable).collect();
            let mut zones: Vec<String> = zones.into_iter().cloned().collect();
            zones.sort();
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let mut planned: Option<(u32, Vec<(usize, u32)>)> = None;
        for zone in &zones {
            for now_only in [true, false] {
                let mut need = missing;
                let mut used = Vec::new();
                let mut in_zone: HashMap<&str, u32> = HashMap::new();
                for (i, p) in self.places.iter().enumerate() {
                    let fit = p.what == What::Now || (!now_only && p.what == What::Boot);
                    if need == 0
                        || !fit
                        || zone.as_ref().is_some_and(|z| *z != p.zone)
                        || !fits_rules(c, &self.types[p.kind], &p.zone, p.spot)
                        || p.machine.as_ref().is_some_and(|m| c.bad.contains(m))
                    {
                        continue;
                    }
                    let there = in_zone.entry(&p.zone).or_default();
                    let take = p.room.fits(&each).min(need).min(c.spec.zone_cap() - *there);
                    if take > 0 {
                        *there += take;
                        need -= take;
                        used.push((i, take));
                    }
                }
                if need == 0 && now_only {
                    let launch = self.leader.next_launch();
                    for (i, take) in used {
                        let Some(machine) = self.places[i].machine.clone() else { return };
                        for _ in 0..take {
                            self.bind_as(&c.id, &machine, launch);
                            self.places[i].room.take(&each);
                        }
                    }
                    c.left = 0;
                    return;
                }
                if !now_only && planned.as_ref().is_none_or(|(n, _)| need < *n) {
                    planned = Some((need, used));
                }
            }
        }
        let Some((mut need, used)) = planned.filter(|_| self.full) else { return };
        // What it will take is kept from later choosers of this round, so that it can gather.
        let zone = used.first().map(|(i, _)| self.places[*i].zone.clone());
        for (i, take) in used {
            for _ in 0..take {
                self.places[i].room.take(&each);
            }
        }
        c.zone = zone.filter(|_| c.spec.one_zone);
        while need > 0 {
            let Some(mut place) = self.pick_rental(c, false) else { break };
            c.zone = Some(place.zone.clone()).filter(|_| c.spec.one_zone);
            let take = place.room.fits(&each).min(need);
            if take == 0 {
                break;
            }
            for _ in 0..take {
                place.room.take(&each);
            }
            need -= take;
            *self.wishes.entry((place.kind, place.zone.clone(), place.spot)).or_default() += 1;
            self.places.push(place);
        }
    }
}

/// Whether a job has tasks that may be placed.
fn open(job: &Job) -> bool {
    job.state() == JobState::Live && !job.regroup
}

/// Type, zone, kind, and the zones of the job's other tasks.
fn fits_rules(c: &Chooser, t: &MachineType, zone: &str, spot: bool) -> bool {
    let spec = &c.spec;
    let unplaced = c.in_zone.get("").copied().unwrap_or(0);
    let there = c.in_zone.get(zone).copied().unwrap_or(0) + unplaced;
    (!spot || spec.spot)
        && t.allows(spec)
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && c.zone.as_ref().is_none_or(|z| z == zone)
        && (!spec.spread || there < spec.zone_cap())
        && (!spec.one_zone || c.in_zone.iter().all(|(z, n)| *n == 0 || z == zone))
}
