//! The mapping of choosers' tasks to places.

use super::chooser::{Chooser, NO_SCORE, Rank, Score};
use super::field::Round;
use super::place::{Place, What};
use crate::constants::*;
use crate::job::*;
use crate::machine::Room;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

impl Round<'_> {
    /// A job as a chooser.
    pub fn chooser(&mut self, id: &JobId) -> Option<Chooser> {
        let job = self.tables.jobs.get(id)?;
        let spec = job.spec.clone();
        let steered = self.view.steering.of(id);
        let mut c = Chooser {
            id: id.clone(),
            threshold: steered.threshold,
            spot_share: steered.spot_share,
            due: job.due,
            overdue: job.missed,
            left: self.free_tasks(job),
            within: false,
            presses: false,
            promised: job.promised(self.view.now),
            tier: job.tier,
            set_aside: false,
            bad: job.bad_machines.iter().cloned().collect(),
            capped: false,
            team: self.view.settings.settings.teams.iter().position(|t| t.name == spec.team),
            zone: None,
            in_zone: Vec::new(),
            unplaced: 0,
            kinds: Vec::new(),
            image: self.images.number(&spec.image),
            passes: vec![None; self.types.len()],
            rented: None,
            heap: BinaryHeap::new(),
            known: 0,
            lines: false,
            scores: Vec::new(),
            spec,
        };
        let mut allowed: Vec<bool> = self.types.iter().map(|t| t.allows(&c.spec)).collect();
        // What is to be avoided is, unless nothing else is allowed: every accepted job must run.
        let kept: Vec<bool> = allowed
            .iter()
            .zip(self.types)
            .map(|(a, t)| *a && !steered.avoid.contains(&t.name))
            .collect();
        if kept.contains(&true) {
            allowed = kept;
        }
        // Every type that the job allows has accelerators that it does not need, or only the
        // others count.
        let mut both = allowed.iter().zip(self.types.iter());
        let only_wasteful = !both.any(|(a, t)| *a && !t.wasted_on(&c.spec));
        c.kinds = allowed
            .iter()
            .zip(self.types.iter())
            .map(|(a, t)| *a && t.wasted_on(&c.spec) == only_wasteful)
            .collect();
        if c.spec.spread || c.spec.one_zone {
            let held = job.attempts.values().filter(|a| a.occupies());
            let zones: Vec<Option<String>> = held
                .map(|a| self.tables.machines.get(&a.machine).map(|m| m.zone.clone()))
                .collect();
            for zone in zones {
                // A machine whose zone is not known could be in any: it counts in all.
                match zone.filter(|z| !z.is_empty()) {
                    Some(zone) => {
                        let number = self.zone_number(&zone);
                        c.enter(number);
                    }
                    None => c.unplaced += 1,
                }
            }
        }
        Some(c)
    }

    /// Whether a chooser's next task may go to a place.
    pub fn suits(&self, c: &Chooser, place: &Place) -> bool {
        c.room_at(place).holds(&c.spec)
            && c.may_use(place.kind, place.zone, place.spot, &self.zones)
            && (c.lines || !matches!(place.what, What::Line(_)))
            && (c.bad.is_empty() || place.machine.as_ref().is_none_or(|m| !c.bad.contains(m)))
    }

    /// Chance and completion of a chooser's next task at a place.
    fn score(&mut self, c: &mut Chooser, index: usize) -> Score {
        let place = &self.places[index];
        let (end, kind) = (place.end, place.kind);
        let here = place.images.contains(&c.image);
        let now = self.view.now as f64;
        if let Some((chance, wait)) = c.scores.get(end).map(|s| s[usize::from(here)])
            && !wait.is_nan()
        {
            return Score { chance: f64::from(chance), mean: now + f64::from(wait) };
        }
        self.out.scored += 1;
        let t = &self.types[kind];
        let fetch = if here { 0.0 } else { t.fetch_ms(&c.spec) };
        let before = self.ends.get(end);
        let score = if c.spec.kind == Kind::Service {
            Score { chance: 1.0, mean: before.mean() + fetch }
        } else {
            let run = self.tables.history.run_time(&c.id, &c.spec, &t.name);
            let end = before.convolve(&run).later(fetch);
            Score { chance: c.due.map_or(1.0, |d| end.chance(d as f64)), mean: end.mean() }
        };
        if c.scores.len() <= end {
            c.scores.resize(end + 1, [NO_SCORE; 2]);
        }
        let packed = (score.chance as f32, (score.mean - now) as f32);
        c.scores[end][usize::from(here)] = packed;
        Score { chance: f64::from(packed.0), mean: now + f64::from(packed.1) }
    }

    fn rank(&mut self, c: &mut Chooser, index: usize) -> (Rank, u32) {
        let score = self.score(c, index);
        let place = &self.places[index];
        // None is below 0: adding a half and cutting rounds, without a call.
        let missed = 50 - (score.chance * 50.0 + 0.5).min(50.0) as u64;
        let wait = (score.mean - self.view.now as f64).max(0.0);
        let wait = (wait / MS_PER_S + 0.5).min(f64::from((1 << 24) - 1)) as u64;
        let room = (place.room.cpus * 1e3).clamp(0.0, f64::from(u32::MAX)) as u64;
        (Reverse((missed << 56 | wait << 32 | room, index as u32)), place.end as u32)
    }

    /// The best place for a chooser's next task, if any suits. Places only get fuller and later
    /// within a round, so the order of the heap stays a lower bound.
    pub fn best(&mut self, c: &mut Chooser) -> Option<(usize, Score)> {
        while c.known < self.places.len() {
            let index = c.known;
            c.known += 1;
            self.out.looked += 1;
            if self.suits(c, &self.places[index]) {
                let entry = self.rank(c, index);
                c.heap.push(entry);
            }
        }
        loop {
            let &(Reverse((_, index)), end) = c.heap.peek()?;
            let (index, end) = (index as usize, end as usize);
            if !self.suits(c, &self.places[index]) {
                c.heap.pop();
            } else if self.places[index].end != end {
                // Another has joined that line since.
                c.heap.pop();
                let entry = self.rank(c, index);
                c.heap.push(entry);
            } else {
                return Some((index, self.score(c, index)));
            }
        }
    }

    /// The best place above the threshold; without `passing`, the best.
    fn pick(&mut self, c: &mut Chooser, passing: bool) -> Option<(usize, Score)> {
        let (index, score) = self.best(c)?;
        if passing && score.chance <= c.threshold {
            return None;
        }
        // Without a deadline every place passes: a line is worth waiting in only if a machine
        // rented now would not be sooner.
        if c.due.is_none()
            && matches!(self.places[index].what, What::Line(_))
            && self.end_on_rental(c).is_some_and(|end| end < score.mean)
        {
            return None;
        }
        Some((index, score))
    }

    /// When a chooser's task would end on a machine rented now: worked out once in a search, since a chooser
    /// picks anew with each task that any of hundreds places.
    fn end_on_rental(&mut self, c: &mut Chooser) -> Option<f64> {
        if let Some(known) = c.rented {
            return known;
        }
        let end = self.rental(c, true).map(|(kind, ..)| {
            let t = &self.types[kind];
            let up = self.view.now as f64 + t.boot_ms + t.fetch_ms(&c.spec);
            up + self.run_guess(c, kind).mean()
        });
        c.rented = Some(end);
        end
    }

    /// Each chooser picks its place of highest chance; the one of least completion time takes
    /// its own; until nobody finds a place. `passing`: only above the threshold. Otherwise those
    /// left take what nobody passing wanted, and plan rentals for what finds nothing.
    pub fn map(&mut self, choosers: &mut [Chooser], passing: bool) {
        for c in choosers.iter_mut() {
            c.search(passing);
        }
        // A pick holds until its place is taken or its chooser takes one: hundreds of choosers need not look
        // again at each of hundreds of tasks.
        let mut picks: Vec<Option<Option<(usize, Score)>>> = vec![None; choosers.len()];
        while self.binds < self.view.steering.bounds.binds {
            let joined = self.joins >= self.view.steering.bounds.joins;
            let mut best: Option<(usize, usize, f64)> = None;
            let open = |(_, c): &(usize, &mut Chooser)| c.left > 0 && !c.set_aside;
            for (n, c) in choosers.iter_mut().enumerate().filter(open) {
                let pick = *picks[n].get_or_insert_with(|| self.pick(c, passing));
                let Some((place, score)) = pick else { continue };
                if joined && matches!(self.places[place].what, What::Line(_)) {
                    c.set_aside = true;
                    continue;
                }
                if best.is_none_or(|(_, _, mean)| score.mean < mean) {
                    best = Some((n, place, score.mean));
                }
            }
            let Some((n, place, _)) = best else { break };
            let stale = |(m, pick): &(usize, &mut Option<Option<(usize, Score)>>)| {
                *m == n || pick.is_some_and(|p| p.is_some_and(|(index, _)| index == place))
            };
            picks.iter_mut().enumerate().filter(stale).for_each(|(_, pick)| *pick = None);
            let c = &mut choosers[n];
            let lined = matches!(self.places[place].what, What::Line(_));
            if !lined && !self.within_limit(c, 1) {
                // Nothing more of it fits its team's limit, wherever: not tried again in this
                // round, or a job at the limit would try for ever.
                c.left = 0;
            } else if !self.take(c, place) {
                c.heap.pop();
            }
        }
        if !self.full || self.binds >= self.view.steering.bounds.binds {
            return;
        }
        for c in choosers.iter_mut().filter(|c| !c.set_aside) {
            self.plan_rentals(c, passing);
        }
    }

    /// One task of the chooser takes a place. False if it cannot.
    pub fn take(&mut self, c: &mut Chooser, index: usize) -> bool {
        let place = &self.places[index];
        let (kind, zone) = (place.kind, place.zone);
        let each = Room::of(&c.spec);
        match place.what.clone() {
            What::Now => {
                let Some(machine) = place.machine.clone() else { return false };
                if !self.bind(c, machine) {
                    return false;
                }
                self.places[index].gangs.retain(|g| g.0 != c.id);
                self.places[index].room.take(&each);
            }
            // What ends by then is counted on as well; but nobody stands in a line who may not begin.
            What::Line(_) if self.foresees => {
                self.plan_use(c);
                self.places[index].room = Room::default();
            }
            What::Line(slot) => {
                self.joins += 1;
                self.out.lines.join(slot.clone(), &c.id);
                let end = self.end_after(self.places[index].end, &c.id, kind);
                self.places[index].end = end;
                if !self.out.lines.has_room(&slot, self.view.steering.line_cap) {
                    self.places[index].room = Room::default();
                }
            }
            What::Boot | What::Rental => {
                let place = &mut self.places[index];
                place.room.take(&each);
                // The same image is fetched once.
                if !place.images.contains(&c.image) {
                    place.images.push(c.image);
                }
                self.plan_use(c);
            }
        }
        c.left -= 1;
        c.enter(zone);
        if let Some(d) = self.demand.get_mut(&c.spec.class) {
            *d = d.saturating_sub(1);
        }
        true
    }
}
