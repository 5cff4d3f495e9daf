//! Preemption: services take the room of tasks of lower priority, and teams within their guarantee that of tasks
//! which others run beyond theirs. Of gangs accelerators alone are taken, the gang whole.

use super::chooser::Chooser;
use super::field::Round;
use super::place::What;
use super::plan::Step;
use super::teams::TeamRoom;
use super::victims::{Candidate, Victim};
use crate::constants::*;
use crate::job::*;
use crate::machine::Room;
use crate::tables::{amounts_of, usable};
use swiftsail_quota::Amounts;

/// Tasks of several jobs.
type Tasks = Vec<(JobId, u32)>;

/// Machines for a gang: which candidate, its name, what is stopped there.
type Rooms = Vec<(Option<usize>, MachineId, Tasks)>;

/// Work that a gang loses which saves when it is stopped: the save itself, and its restart; without a save, what it
/// has run since its last checkpoint.
fn lost_by_save(spec: &Spec, ran_ms: u64) -> u64 {
    let interval = (spec.checkpoint_s * MS_PER_S).max(1.0) as u64;
    let since = ran_ms % interval;
    since.min((spec.save_s * MS_PER_S) as u64) * u64::from(spec.tasks)
}

impl Round<'_> {
    /// Makes room for services by stopping tasks of lower priority, where that starts replicas
    /// clearly sooner than any free room would. Those replicas then wait a moment for that room.
    pub fn preempt(&mut self, choosers: &mut [Chooser]) {
        let now = self.view.now;
        let soon = self.view.settings.settings.workers.report_s * PREEMPT_REPORTS * MS_PER_S;
        for c in choosers.iter_mut().filter(|c| c.is_service() && c.left > 0) {
            let since = self.tables.jobs.get(&c.id).map_or(now, |j| j.eligible_at);
            let within = self.wait_aim_ms(c).map_or(0.0, |ms| ms * LEND_PRESS_PART);
            c.presses = now as f64 >= since as f64 + within.max(LEND_PRESS_MS);
            c.search(true);
            let since = self.tables.preempting.get(&c.id).copied();
            let enough = self.soon_enough(c, soon);
            // Any place as good as the one being made will do.
            let goal = since.map_or(0.0, |(_, fetch)| fetch + soon).max(enough);
            let best = loop {
                match self.best(c) {
                    Some((index, s)) if c.left > 0 && s.mean - now as f64 <= goal => {
                        if !self.within_limit(c, 1) || !self.take(c, index) {
                            break f64::MAX;
                        }
                    }
                    Some((_, s)) => break s.mean - now as f64,
                    None => break f64::MAX,
                }
            };
            if c.left == 0 || since.is_some_and(|(at, _)| now > at + PREEMPT_WAIT_MS) {
                continue;
            }
            if since.is_some() {
                c.left = 0;
                continue;
            }
            let limit = best - enough - soon;
            let (mut made, mut stopped): (f64, Tasks) = (-1.0, Vec::new());
            while c.left > 0
                && let Some((fetch, zone, victims)) = self.victims(c, limit)
            {
                made = made.max(fetch);
                c.left -= 1;
                c.enter(zone);
                stopped.extend(victims);
            }
            if made >= 0.0 {
                let by = c.id.clone();
                self.out.steps.push(Step::Preempt { by, fetch_ms: made, victims: stopped });
            }
        }
    }

    /// Makes room for work that has found none for a while, by stopping others': for work `within` its team's
    /// guarantee what other teams run beyond theirs, and for all but idle-hours work what runs at the lowest
    /// priority. Least work lost first, a bounded number in a round. It waits for that room alone, and what it
    /// lacks beyond that is mapped as ever.
    pub fn reclaim(&mut self, choosers: &mut [Chooser], within: bool) {
        let now = self.view.now;
        let low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let guests = self.tables.jobs.values().any(low);
        let borrowed = within && self.teams.iter().any(TeamRoom::beyond);
        if !self.full || !guests && !borrowed {
            return;
        }
        let (patience, lent) = self.patience();
        let mut most = RECLAIM_MOST;
        for c in choosers.iter_mut().filter(|c| !c.is_service() && c.left > 0) {
            let waits =
                self.tables.jobs.get(&c.id).map_or(0, |j| now.saturating_sub(j.eligible_at));
            c.within = within && waits as f64 >= lent;
            let lately =
                self.tables.preempting.get(&c.id).is_some_and(|(at, _)| now < at + PREEMPT_WAIT_MS);
            let each = Room::of(&c.spec);
            let here = self.places.iter().filter(|p| p.what == What::Now && self.suits(c, p));
            let free: u32 = here.map(|p| c.room_at(p).fits(&each)).fold(0, u32::saturating_add);
            if (waits as f64) < patience || lately || free >= c.left {
                continue;
            }
            // Beside its team's guarantee, work of the lowest priority claims nothing; for other work machines
            // that can be rented in time cost less than what would be lost.
            let low = c.spec.priority == Priority::Low;
            if !c.within && (low || self.rental(c, true).is_some()) {
                continue;
            }
            // A gang waits for all of it: room for a part would stand empty.
            let lacks = c.left - free;
            let (mut made, mut stopped): (f64, Tasks) = (0.0, Vec::new());
            let mut rooms = 0;
            while rooms < lacks.min(most)
                && self.may_claim(c, rooms + 1)
                && let Some((fetch, zone, victims)) = self.victims(c, f64::MAX)
            {
                made = made.max(fetch);
                rooms += 1;
                c.enter(zone);
                stopped.extend(victims);
            }
            most -= rooms;
            if !low {
                self.hold_for(c, lacks - rooms);
            }
            if rooms > 0 {
                c.left -= if c.spec.kind == Kind::Gang { 0 } else { rooms };
                let by = c.id.clone();
                self.out.steps.push(Step::Preempt { by, fetch_ms: made, victims: stopped });
            }
        }
    }

    /// Where tasks of the lowest priority end by themselves, their room is kept for a chooser's tasks: a small
    /// task at a time would else take it for ever.
    fn hold_for(&mut self, c: &Chooser, mut tasks: u32) {
        let each = Room::of(&c.spec);
        let mut held = Vec::new();
        for m in self.candidates.iter().flatten() {
            if tasks == 0 {
                break;
            }
            if !c.may_use(m.kind, m.zone, m.spot, &self.zones) || c.bad.contains(&m.machine) {
                continue;
            }
            let mut room = m.room;
            let low = m.tasks.iter().filter(|v| v.priority == Priority::Low && v.ends);
            low.for_each(|v| room.give(&v.size));
            let fits = room.fits(&each);
            if fits > m.room.fits(&each) {
                tasks = tasks.saturating_sub(fits);
                held.push(m.machine.clone());
            }
        }
        if !held.is_empty() {
            self.out.steps.push(Step::Hold(held));
        }
    }

    /// Whether so many more tasks of a chooser stay within its team's limit, and within its guarantee if that
    /// is what it claims by.
    fn may_claim(&self, c: &Chooser, tasks: u32) -> bool {
        let more = amounts_of(&c.spec).times(tasks);
        let guaranteed = |t: usize| !c.within || self.teams[t].guaranteed(more);
        c.team.is_some_and(|t| guaranteed(t) && self.teams[t].allows(more))
    }

    /// Whether a task may be stopped for a chooser's: for a replica if it is of lower priority; for other work
    /// if it is of the lowest, or if its team is beyond its guarantee, and remains so without it.
    fn may_stop(&self, c: &Chooser, v: &Victim) -> bool {
        let borrowed = || {
            let beyond = v.team.filter(|t| Some(*t) != c.team).map(|t| &self.teams[t]);
            beyond.is_some_and(|t| t.beyond_without(v.less()))
        };
        let lower = v.priority < c.spec.priority;
        if v.gang.is_some() {
            // Gangs give accelerators alone, and only what their team has borrowed; what is guaranteed to it goes to
            // production whose own guarantee covers it, and that has waited.
            let takes = c.spec.gpus > 0.0 && v.size.gpus > 0.0 && v.priority <= c.spec.priority;
            let owed = || c.is_service() && lower && c.presses && self.guaranteed(c);
            return takes && (lower || c.within) && (borrowed() || owed());
        }
        lower && (c.is_service() || v.priority == Priority::Low && !v.ends)
            || !c.is_service() && c.within && v.priority <= c.spec.priority && borrowed()
    }

    /// The time within which users want a class's tasks to have begun, ms, if an aim names it.
    fn wait_aim_ms(&self, c: &Chooser) -> Option<f64> {
        let aims = self.view.settings.settings.objectives.iter();
        let own = aims.filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&c.spec.class));
        own.filter_map(|o| o.within_s).reduce(f64::min).map(|s| s * MS_PER_S)
    }

    /// How soon a replica should run, ms, before others are stopped for it: as its class's aim
    /// asks, less what the start itself takes.
    fn soon_enough(&self, c: &Chooser, soon: f64) -> f64 {
        let within = self.wait_aim_ms(c).unwrap_or(f64::MAX);
        PREEMPT_GAIN_MS.min(within - soon - START_MS).max(0.0)
    }

    /// Machines with tasks that could be stopped, found once in a pass. Those on which room is
    /// already being made are for another.
    fn candidates(&mut self) -> Vec<Candidate> {
        let now = self.view.now;
        let lease = self.view.lease_ms();
        let mut found = Vec::new();
        for machine in self.tables.machines.values().filter(|m| usable(m, now, lease)) {
            let Some(kind) = self.types.iter().position(|t| t.name == machine.kind) else {
                continue;
            };
            let Some(zone) = self.zones.iter().position(|z| *z == machine.zone) else { continue };
            let mut tasks = Vec::new();
            let mut leaving = false;
            for (id, task) in machine.tasks.keys() {
                let Some(job) = self.tables.jobs.get(id) else { continue };
                let Some(attempt) = job.attempts.get(task).filter(|a| a.occupies()) else {
                    continue;
                };
                leaving |= attempt.stop.is_some();
                let gang = self.gang_to_stop(job);
                if job.spec.kind == Kind::Array || gang.is_some() {
                    let lost = attempt.ran_at.map_or(0, |at| now.saturating_sub(at));
                    let lost = if gang.is_some() { lost_by_save(&job.spec, lost) } else { lost };
                    let low = job.spec.priority == Priority::Low;
                    let run = || self.tables.history.run_time(id, &job.spec, &machine.kind).mean();
                    let ends = low && run() - (lost as f64) < YIELD_LEFT_MS;
                    tasks.push(Victim {
                        lost,
                        job: id.clone(),
                        task: *task,
                        ends: ends && gang.is_none(),
                        gang,
                        size: Room::of(&job.spec),
                        priority: job.spec.priority,
                        team: self
                            .view
                            .settings
                            .settings
                            .teams
                            .iter()
                            .position(|t| t.name == job.spec.team),
                    });
                }
            }
            if leaving || tasks.is_empty() {
                continue;
            }
            let order = |v: &Victim| (v.grade(), v.lost);
            tasks.sort_by(|a, b| (order(a), &a.job, a.task).cmp(&(order(b), &b.job, b.task)));
            found.push(Candidate {
                machine: machine.id.clone(),
                kind,
                zone,
                spot: machine.spot,
                room: machine.free().unwrap_or_default(),
                tasks,
            });
        }
        found
    }

    /// The tasks whose stop makes room for a service, and the fetch it then needs: least, and
    /// within `limit` ms; among equals, what loses the least work.
    fn victims(&mut self, c: &Chooser, limit: f64) -> Option<(f64, usize, Tasks)> {
        if self.candidates.is_none() {
            self.candidates = Some(self.candidates());
        }
        // A gang gives up all of its machines for one room: only where nothing less will do.
        let gangs = c.spec.gpus > 0.0 && (c.presses || c.within);
        self.victims_of(c, limit, false).or_else(|| {
            let found = gangs.then(|| self.victims_of(c, limit, true));
            found.flatten()
        })
    }

    fn victims_of(&mut self, c: &Chooser, limit: f64, gangs: bool) -> Option<(f64, usize, Tasks)> {
        let candidates = self.candidates.as_ref()?;
        let mut best: Option<(f64, u64, usize, Tasks)> = None;
        for (index, m) in candidates.iter().enumerate() {
            let fetch = self.types[m.kind].fetch_ms(&c.spec);
            let there = || {
                let machine = self.tables.machines.get(&m.machine);
                machine.is_some_and(|it| it.has_image(&c.spec.image))
            };
            if !c.may_use(m.kind, m.zone, m.spot, &self.zones)
                || c.bad.contains(&m.machine)
                || m.tasks.is_empty()
            {
                continue;
            }
            let fetch = if there() { 0.0 } else { fetch };
            if fetch > limit || best.as_ref().is_some_and(|b| b.0 < fetch) {
                continue;
            }
            let mut room = m.room;
            let (mut lost, mut chosen) = (0, Vec::new());
            let able = |v: &&Victim| (gangs || v.gang.is_none()) && self.may_stop(c, v);
            for v in m.tasks.iter().filter(able) {
                if room.holds(&c.spec) {
                    break;
                }
                room.give(&v.size);
                lost += v.lost;
                chosen.push((v.job.clone(), v.task));
            }
            let fits = room.holds(&c.spec) && !chosen.is_empty();
            if fits && best.as_ref().is_none_or(|(f, l, ..)| (fetch, lost) < (*f, *l)) {
                best = Some((fetch, lost, index, chosen));
            }
        }
        let (fetch, _, index, chosen) = best?;
        let zone = self.candidates.as_ref().map_or(0, |all| all[index].zone);
        self.take_victims(index, &chosen);
        if let Some(m) = self.candidates.as_mut().map(|all| &mut all[index]) {
            m.room.take(&Room::of(&c.spec));
            // What was won on whole machines is kept together for a gang of one task.
            if c.spec.kind == Kind::Gang {
                let machine = m.machine.clone();
                self.out.steps.push(Step::Gather(c.id.clone(), vec![machine]));
            }
        }
        Some((fetch, zone, chosen))
    }

    /// Takes victims off the candidates: what is left of a machine may make room for another, and of a gang all
    /// leaves, wherever it is.
    fn take_victims(&mut self, index: usize, chosen: &Tasks) {
        let Some(all) = self.candidates.as_mut() else { return };
        let mut gangs: Vec<JobId> = Vec::new();
        let m = &mut all[index];
        for (id, task) in chosen {
            if let Some(n) = m.tasks.iter().position(|v| v.job == *id && v.task == *task) {
                let victim = m.tasks.remove(n);
                m.room.give(&victim.size);
                let counted = gangs.contains(id);
                if let Some(team) = victim.team.filter(|_| !counted) {
                    self.teams[team].give(victim.less());
                }
                if victim.gang.is_some() && !counted {
                    gangs.push(id.clone());
                }
            }
        }
        for m in all.iter_mut().filter(|_| !gangs.is_empty()) {
            let (leave, stay): (Vec<Victim>, Vec<Victim>) =
                m.tasks.drain(..).partition(|v| gangs.contains(&v.job));
            leave.iter().for_each(|v| m.room.give(&v.size));
            m.tasks = stay;
        }
    }

    /// What a gang takes, if it may be stopped whole for others: all of it runs, long enough for its start to count,
    /// it saves, and it has not been stopped too often.
    fn gang_to_stop(&self, job: &Job) -> Option<Amounts> {
        let now = self.view.now;
        let runs = |a: &Attempt| {
            // Since when it ran under an earlier leader is not known: long enough for that one to end.
            let long = a.old_term || a.ran_at.is_some_and(|at| now >= at + LEND_AGE_MS);
            a.stage() == Stage::Running && a.stop.is_none() && long
        };
        let spec = &job.spec;
        let sound = spec.kind == Kind::Gang
            && spec.gpus > 0.0
            && spec.checkpoint_s > 0.0
            && job.state() == JobState::Live
            && job.muster() == Muster::Whole
            && job.attempts.len() == spec.tasks as usize
            && job.attempts.values().all(runs);
        let may = sound && self.tables.loans.may_stop(&job.id, self.view.wall);
        may.then(|| amounts_of(spec).times(spec.tasks))
    }

    /// Makes room for a gang of several tasks on as many machines at once, by stopping what others have borrowed or
    /// run in idle hours. All of it is won or nothing is stopped, and what is won is kept for it until it is placed.
    pub fn reclaim_gang(&mut self, c: &mut Chooser, within: bool) {
        let now = self.view.now;
        let Some(job) = self.tables.jobs.get(&c.id).filter(|j| self.full && j.attempts.is_empty())
        else {
            return;
        };
        let waits = now.saturating_sub(job.eligible_at) as f64;
        let (patience, lent) = self.patience();
        c.within = within && waits >= lent;
        if let Some((at, _)) = self.tables.preempting.get(&c.id)
            && now < at + LEND_WAIT_MS
        {
            let kept: Vec<MachineId> = job.keeps(now).cloned().collect();
            if !kept.is_empty() {
                self.out.steps.push(Step::Gather(c.id.clone(), kept));
            }
            return;
        }
        let low = c.spec.priority == Priority::Low;
        let need = c.left;
        // Its guarantee may cover a part of it alone: then it claims as any other.
        c.within &= self.may_claim(c, need);
        if waits < patience
            || !c.within && (low || self.rental(c, true).is_some())
            || !self.may_claim(c, need)
        {
            return;
        }
        if self.candidates.is_none() {
            self.candidates = Some(self.candidates());
        }
        let zones: Vec<Option<usize>> = match c.spec.one_zone {
            true => (0..self.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        let best = |gangs: bool| {
            let found = zones.iter().filter_map(|zone| self.rooms_for(c, *zone, need, gangs));
            found.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let found = best(false).or_else(|| c.within.then(|| best(true)).flatten());
        let Some((_, rooms)) = found else { return };
        let (mut victims, mut machines): (Tasks, Vec<MachineId>) = (Vec::new(), Vec::new());
        for (index, machine, chosen) in rooms {
            machines.push(machine);
            if let Some(index) = index {
                self.take_victims(index, &chosen);
            }
            victims.extend(chosen);
        }
        victims.sort();
        victims.dedup();
        if !victims.is_empty() {
            let (by, fetch_ms) = (c.id.clone(), 0.0);
            self.out.steps.push(Step::Preempt { by, fetch_ms, victims });
            self.out.steps.push(Step::Gather(c.id.clone(), machines));
        }
    }

    /// Room for so many tasks of a gang, in one zone or in all: machines with room now, then those where least is
    /// lost. None: there is not enough.
    fn rooms_for(
        &self,
        c: &Chooser,
        zone: Option<usize>,
        need: u32,
        gangs: bool,
    ) -> Option<(f64, Rooms)> {
        let mut options: Vec<(f64, Option<usize>, MachineId, Tasks)> = Vec::new();
        let here = |z: usize| zone.is_none_or(|only| only == z);
        for p in self.places.iter().filter(|p| p.what == What::Now && here(p.zone)) {
            if let Some(machine) = p.machine.clone().filter(|_| self.suits(c, p)) {
                let fetch = if p.images.contains(&c.image) { 0.0 } else { FETCH_WEIGHT };
                let fits = c.room_at(p).fits(&Room::of(&c.spec)).min(need);
                options.extend((0..fits).map(|_| (fetch, None, machine.clone(), Vec::new())));
            }
        }
        for (index, m) in self.candidates.iter().flatten().enumerate().filter(|(_, m)| here(m.zone))
        {
            if !c.may_use(m.kind, m.zone, m.spot, &self.zones) || c.bad.contains(&m.machine) {
                continue;
            }
            let (mut room, mut cost, mut chosen) = (m.room, 0.0, Vec::new());
            if room.holds(&c.spec) {
                continue;
            }
            let able = |v: &&Victim| (gangs || v.gang.is_none()) && self.may_stop(c, v);
            for v in m.tasks.iter().filter(able) {
                if room.holds(&c.spec) {
                    break;
                }
                room.give(&v.size);
                cost += v.lost as f64 + f64::from(v.grade()) * GRADE_WEIGHT;
                chosen.push((v.job.clone(), v.task));
            }
            if room.holds(&c.spec) {
                options.push((cost + FETCH_WEIGHT, Some(index), m.machine.clone(), chosen));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        options.truncate(need as usize);
        let enough = options.len() == need as usize;
        let cost = options.iter().map(|o| o.0).sum();
        let rooms = options.into_iter().map(|(_, index, machine, chosen)| (index, machine, chosen));
        enough.then(|| (cost, rooms.collect()))
    }

    /// Time that work waits before what runs in idle hours is stopped for it, and before what others have borrowed
    /// is, ms.
    fn patience(&self) -> (f64, f64) {
        let low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let guests = self.tables.jobs.values().any(low);
        let aims = self.view.settings.settings.objectives.iter();
        let asked = aims.filter(|o| o.kind == "guarantee").filter_map(|o| o.within_s);
        // What runs in idle hours gives its room up at once; what was lent may first be found elsewhere.
        let lent = asked.fold(GUARANTEE_S, f64::min) * MS_PER_S * RECLAIM_AFTER;
        (if guests { YIELD_AFTER_MS.min(lent) } else { lent }, lent)
    }
}
