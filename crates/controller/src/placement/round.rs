//! One mapping event: prune lines, let tasks choose, fill machines.

use super::chooser::Chooser;
use super::field::{Round, open};
use super::place::{Place, What};
use super::plan::{Plan, View};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::tables::{Tables, Wish};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use swiftsail_tiers::Tiers;

/// Whether a pass is due: on a change (false), or when a round's time has come (true).
pub fn want_pass(tables: &Tables, pass_ms: u64, round_ms: u64, now: Time) -> Option<bool> {
    if now < tables.passed_at + pass_ms {
        return None;
    }
    if now >= tables.round_at + round_ms {
        return Some(true);
    }
    tables.stir.then_some(false)
}

/// Plays a mapping event. A full one is the design's round; the other starts, between rounds, what
/// finds free room. A pass that has bound its share goes on in the next. Rooms must be counted.
pub fn plan(tables: &Tables, view: View, full: bool) -> Plan {
    let mut round = Round::new(tables, view, full);
    if full {
        round.prune();
    }
    round.number_images();
    round.open_places();
    round.keep_for_services();
    round.release_lined();
    round.choose();
    let Round { mut out, wishes, types, zones, binds, idle, .. } = round;
    out.cut_short = binds >= view.steering.bounds.binds;
    if full && !out.cut_short {
        let wish = |((kind, zone, spot), number): ((usize, usize, bool), u32)| Wish {
            kind: types[kind].name.clone(),
            zone: zones[zone].clone(),
            spot,
            number,
        };
        out.idle = Some(idle);
        out.wishes = Some(wishes.into_iter().map(wish).collect());
    }
    out
}

/// Priorities come first, then tiers, then work within its team's guarantee, then what has waited so long that it
/// is to begin; only then what plug-ins prefer.
type Level = (Reverse<Priority>, Tiers, bool, bool, i64, Reverse<i64>);

impl Round<'_> {
    /// If misses reach the toggle while passing tasks wait, tasks in lines at or below the
    /// threshold leave them.
    fn prune(&mut self) {
        if self.tables.misses < self.view.steering.toggle {
            return;
        }
        let waits = self.tables.jobs.values().any(|j| open(j) && self.free_tasks(j) > 0);
        if !waits {
            return;
        }
        for slot in self.out.lines.slots() {
            let Some((kind, mut end)) = self.head_end(&slot) else { continue };
            let line: Vec<JobId> = self.out.lines.behind(&slot).cloned().collect();
            let mut keep = Vec::with_capacity(line.len());
            for id in &line {
                let Some(job) = self.tables.jobs.get(id) else { continue };
                let due = job.due;
                let threshold = self.view.steering.of(id).threshold;
                let run = self.tables.history.run_time(id, &job.spec, &self.types[kind].name);
                let before = self.ends.get(end);
                let stays = due.is_none_or(|d| before.convolve(&run).chance(d as f64) > threshold);
                if stays {
                    end = self.end_after(end, id, kind);
                }
                keep.push(stays);
            }
            let dropped = self.out.lines.keep(&slot, &keep);
            if dropped > 0 {
                tracing::debug!(machine = %slot.0, dropped, "tasks pruned from a line");
            }
        }
    }

    /// Room that has become free beats standing in a line: whoever stands in one and fits chooses
    /// again.
    fn release_lined(&mut self) {
        let now = |p: &Place| p.what == What::Now && p.room.cpus > SLACK;
        let free: Vec<usize> = (0..self.places.len()).filter(|n| now(&self.places[*n])).collect();
        for id in self.out.lines.jobs() {
            let Some(c) = self.chooser(&id) else { continue };
            if free.iter().any(|n| self.suits(&c, &self.places[*n])) {
                self.out.lines.drop_job(&id);
            }
        }
    }

    /// Lets every job with waiting tasks choose, by priority, guarantee and chance.
    fn choose(&mut self) {
        let ids: Vec<JobId> = self
            .tables
            .jobs
            .values()
            .filter(|j| open(j) && self.free_tasks(j) > 0)
            .map(|j| j.id.clone())
            .collect();
        let mut levels: BTreeMap<Level, Vec<Chooser>> = BTreeMap::new();
        let mut overdue = Vec::new();
        let mut choosers: Vec<Chooser> = ids.iter().filter_map(|id| self.chooser(id)).collect();
        self.keep_to_limits(&mut choosers);
        self.bound_promises(&mut choosers);
        for c in choosers.into_iter().filter(|c| c.left > 0) {
            *self.demand.entry(c.spec.class.clone()).or_default() += c.left;
            if c.tier.ordered {
                // The line alone says who is next: no clock, no guess and no plug-in moves it.
                let level = (Reverse(c.spec.priority), c.tier, false, false, 0, Reverse(0));
                levels.entry(level).or_default().push(c);
            } else if c.overdue && !c.promised {
                overdue.push(c);
            } else {
                let within = self.guaranteed(&c);
                let steered = self.view.steering.of(&c.id);
                let score = (steered.score * SCORE_STEPS) as i64;
                let beyond = !within;
                let (rank, later) = (Reverse(c.spec.priority), !c.promised);
                let level = (rank, c.tier, beyond, later, steered.order, Reverse(score));
                levels.entry(level).or_default().push(c);
            }
        }
        let mut rest = Vec::new();
        for ((_, tier, beyond, later, ..), mut level) in levels {
            if tier.ordered {
                rest.extend(self.serve_in_line(level));
                continue;
            }
            self.take_turns(&mut level);
            let (gangs, mut others): (Vec<Chooser>, Vec<Chooser>) =
                level.into_iter().partition(|c| c.spec.kind == Kind::Gang && c.spec.tasks > 1);
            for mut gang in gangs {
                self.place_gang(&mut gang);
                if gang.left > 0 {
                    self.reclaim_gang(&mut gang, !beyond);
                }
            }
            self.preempt(&mut others);
            self.reclaim(&mut others, !beyond);
            self.map(&mut others, true);
            if !later {
                // Chance or no chance, it begins on what is free now; the rest of it is mapped as ever.
                self.map(&mut others, false);
                let waits = others.iter().filter(|c| self.full && c.left > 0);
                for c in waits.collect::<Vec<_>>() {
                    let tasks = if c.spec.kind == Kind::Array { 1 } else { c.left };
                    self.gather_room(c, tasks, &[None]);
                }
            }
            others.iter_mut().for_each(Chooser::rest);
            rest.extend(others.into_iter().filter(|c| c.left > 0 && !c.set_aside));
        }
        self.take_turns(&mut rest);
        self.map(&mut rest, false);
        self.note_idle(&rest);
        self.take_turns(&mut overdue);
        let (gangs, mut overdue): (Vec<Chooser>, Vec<Chooser>) =
            overdue.into_iter().partition(|c| c.spec.kind == Kind::Gang && c.spec.tasks > 1);
        for mut gang in gangs {
            self.place_gang(&mut gang);
        }
        self.map(&mut overdue, false);
        self.note_idle(&overdue);
        self.foresee();
    }

    /// What is about to begin, once those that it awaits are done, finds what it needs booted by then: what is free when
    /// everybody else has chosen, or boots already, is counted on, and the rest is rented.
    fn foresee(&mut self) {
        if !self.full || self.binds >= self.view.steering.bounds.binds {
            return;
        }
        self.foresees = true;
        let coming: Vec<JobId> =
            self.tables.coming(self.view.now).into_iter().map(|j| j.id.clone()).collect();
        for id in coming.into_iter().take(self.view.steering.bounds.jobs) {
            let Some(c) = self.chooser(&id) else { continue };
            *self.demand.entry(c.spec.class.clone()).or_default() += c.left;
            let mut one = [c];
            self.map(&mut one, true);
            self.map(&mut one, false);
        }
    }

    /// Of those that place what their team's limit leaves, who found no place and nothing to rent.
    fn note_idle(&mut self, choosers: &[Chooser]) {
        let found_none = |c: &&Chooser| c.capped && c.left > 0 && !c.set_aside && !c.is_service();
        self.idle.extend(choosers.iter().filter(found_none).map(|c| c.id.clone()));
    }

    /// Of gangs that have waited long only the oldest few come first at once: where more is wanted than there is, all
    /// would else wait for as long as the longest.
    fn bound_promises(&self, choosers: &mut [Chooser]) {
        let accepted =
            |c: &Chooser| self.tables.jobs.get(&c.id).map_or(u64::MAX, |j| j.accepted_wall);
        let mut old: Vec<&mut Chooser> =
            choosers.iter_mut().filter(|c| c.promised && c.spec.kind == Kind::Gang).collect();
        old.sort_by_cached_key(|c| (accepted(c), c.id.clone()));
        old.into_iter().skip(PROMISED_GANGS).for_each(|c| c.promised = false);
    }

    /// Serves a tier in the order of its line, one job after the other: whoever is ahead has its room, and has
    /// others stopped for it, before the next is looked at. Gives back those that still lack something.
    fn serve_in_line(&mut self, mut level: Vec<Chooser>) -> Vec<Chooser> {
        let places = self.tables.line(&self.view.settings.settings.teams);
        let number: HashMap<&str, (usize, bool)> =
            places.iter().enumerate().map(|(n, p)| (p.id(), (n, p.beyond()))).collect();
        let place = |c: &Chooser| number.get(&*c.id).copied().unwrap_or((usize::MAX, true));
        level.sort_by_cached_key(|c| place(c).0);
        level.truncate(self.view.steering.bounds.jobs);
        let mut left = Vec::new();
        for mut c in level {
            let beyond = place(&c).1;
            if c.spec.kind == Kind::Gang && c.spec.tasks > 1 {
                self.place_gang(&mut c);
                if c.left > 0 {
                    self.reclaim_gang(&mut c, !beyond);
                }
                continue;
            }
            let one = std::slice::from_mut(&mut c);
            self.preempt(one);
            self.reclaim(one, !beyond);
            self.map(one, true);
            c.rest();
            if c.left > 0 && !c.set_aside {
                left.push(c);
            }
        }
        left
    }

    /// Of more jobs than a pass may place, others have their turn with each pass.
    fn take_turns(&self, jobs: &mut Vec<Chooser>) {
        let most = self.view.steering.bounds.jobs;
        if jobs.len() > most {
            let first = self.tables.passes as usize * most % jobs.len();
            jobs.rotate_left(first);
            jobs.truncate(most);
        }
    }
}
