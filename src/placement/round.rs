//! One mapping event: drop what is overdue, prune lines, let tasks choose, fill machines.

use super::chooser::Chooser;
use super::ends::Ends;
use super::lines::give_back;
use super::places::{Names, Place, usable};
use super::preempt::Candidate;
use super::rental::Market;
use crate::cluster::Ctx;
use crate::cluster::leader::Leader;
use crate::constants::*;
use crate::fleet::Wish;
use crate::job::*;
use crate::machine::{MachineType, Room};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Whether a pass is due: on a change, or when a round's time has come.
pub fn want_pass(leader: &Leader, now: Time) -> Option<bool> {
    if now < leader.passed_at + PASS_MS {
        return None;
    }
    if now >= leader.round_at + ROUND_MS {
        return Some(true);
    }
    leader.stir.then_some(false)
}

pub(super) struct Round<'a, 'b> {
    pub leader: &'a mut Leader,
    pub ctx: &'a mut Ctx<'b>,
    pub types: Arc<Vec<MachineType>>,
    /// What each team of the settings uses, everything not proved gone counted.
    pub usage: Vec<Room>,
    pub zones: Vec<String>,
    pub images: Names,
    pub service_images: Vec<(u32, Arc<Spec>)>,
    pub ends: Ends,
    pub places: Vec<Place>,
    pub wishes: BTreeMap<(usize, usize, bool), u32>,
    pub market: Market,
    pub candidates: Option<Vec<Candidate>>,
    pub demand: HashMap<String, u32>,
    pub full: bool,
    /// Tasks bound in this pass.
    pub binds: usize,
}

/// Plays a mapping event. A full one is the design's round; the other starts, between rounds, what
/// finds free room. A pass that has bound its share goes on in the next.
pub fn pass(leader: &mut Leader, ctx: &mut Ctx, full: bool) {
    let Some(types) = ctx.types.clone() else { return };
    let now = ctx.now;
    leader.passed_at = now;
    leader.stir = false;
    for job in leader.jobs.values_mut() {
        job.unhold(now);
    }
    leader.count_rooms(&types);
    let usage = usage(leader, ctx);
    let mut round = Round {
        leader,
        ctx,
        types,
        usage,
        zones: Vec::new(),
        images: Names::default(),
        service_images: Vec::new(),
        ends: Ends::default(),
        places: Vec::new(),
        wishes: BTreeMap::new(),
        market: Market::default(),
        candidates: None,
        demand: HashMap::new(),
        full,
        binds: 0,
    };
    round.miss();
    round.promote();
    if full {
        round.prune();
    }
    round.number_images();
    round.open_places();
    round.keep_for_services();
    round.release_lined();
    round.choose();
    let Round { leader, ctx, wishes, types, zones, binds, .. } = round;
    if binds >= PASS_BINDS {
        leader.stir = true;
    } else if full {
        leader.round_at = now;
        leader.misses = 0;
        let wish = |((kind, zone, spot), number): ((usize, usize, bool), u32)| Wish {
            kind: types[kind].name.clone(),
            zone: zones[zone].clone(),
            spot,
            number,
        };
        let wishes: Vec<Wish> = wishes.into_iter().map(wish).collect();
        let token = leader.token;
        leader.fleet.rent(token, wishes, ctx);
    }
    if binds > 0 {
        leader.write_ledger(ctx);
    }
}

/// What each team's tasks take, counting everything not proved gone.
fn usage(leader: &Leader, ctx: &Ctx) -> Vec<Room> {
    let teams = &ctx.settings.settings.teams;
    let mut usage = vec![Room::default(); teams.len()];
    for job in leader.jobs.values() {
        let held = job.attempts.values().filter(|a| a.occupies()).count() as f64;
        if let Some(team) = teams.iter().position(|t| held > 0.0 && t.name == job.spec.team) {
            let each = Room::of(&job.spec);
            usage[team].cpus += each.cpus * held;
            usage[team].gpus += each.gpus * held;
        }
    }
    usage
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
        let lease = self.ctx.settings.settings.workers.lease_s * MS_PER_S;
        let types = self.types.clone();
        for (slot, mut line) in self.leader.lines.headless(&self.leader.jobs) {
            let mut next = None;
            let machine = self.leader.machines.get(&slot.0);
            if machine.is_some_and(|m| usable(m, self.ctx.now, lease)) {
                // A line before it may have bound to the same machine.
                self.leader.count_rooms(&types);
                let room = self.leader.machines.get(&slot.0).and_then(|m| m.free());
                while let Some(id) = line.pop_front() {
                    give_back(&id, &mut self.leader.jobs);
                    let fits = self.leader.jobs.get(&id).is_some_and(|j| {
                        room.is_some_and(|r| r.holds(&j.spec)) && !j.waiting.is_empty() && open(j)
                    });
                    if fits
                        && self.allowed(&id, &slot.0)
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
        self.leader.count_rooms(&types);
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
            let Some((kind, mut end)) = self.head_end(&slot) else { continue };
            let line: Vec<JobId> = self.leader.lines.behind(&slot).cloned().collect();
            let mut keep = Vec::with_capacity(line.len());
            for id in &line {
                let Some(job) = self.leader.jobs.get(id) else { continue };
                let (due, spec) = (job.due, &job.spec);
                let history = self.leader.history.of(id, &spec.class, spec.estimate_s);
                let run = history.run_time(&self.types[kind].name);
                let before = self.ends.get(end);
                let stays = due.is_none_or(|d| before.convolve(run).chance(d as f64) > THRESHOLD);
                if stays {
                    end = self.end_after(end, id, kind);
                }
                keep.push(stays);
            }
            let dropped = self.leader.lines.keep(&slot, &keep, &mut self.leader.jobs);
            if dropped > 0 {
                tracing::debug!(machine = %slot.0, dropped, "tasks pruned from a line");
            }
        }
    }

    /// Room that has become free beats standing in a line: whoever stands in one and fits chooses
    /// again.
    fn release_lined(&mut self) {
        let lined: Vec<JobId> =
            self.leader.jobs.values().filter(|j| j.lined > 0).map(|j| j.id.clone()).collect();
        for id in lined {
            let Some(c) = self.chooser(&id) else { continue };
            let free =
                self.places.iter().any(|p| p.what == super::places::What::Now && self.suits(&c, p));
            if free {
                self.leader.lines.leave(&id, &mut self.leader.jobs);
            }
        }
    }

    /// Lets every job with waiting tasks choose, by priority, guarantee and chance.
    fn choose(&mut self) {
        let ids: Vec<JobId> = self
            .leader
            .jobs
            .values()
            .filter(|j| open(j) && j.waiting.len() as u32 > j.lined)
            .map(|j| j.id.clone())
            .collect();
        let mut levels: BTreeMap<(Reverse<Priority>, bool), Vec<Chooser>> = BTreeMap::new();
        let mut overdue = Vec::new();
        for id in ids {
            let Some(c) = self.chooser(&id) else { continue };
            *self.demand.entry(c.spec.class.clone()).or_default() += c.left;
            if c.overdue {
                overdue.push(c);
            } else {
                let within = c.team.is_some_and(|t| {
                    let team = &self.ctx.settings.settings.teams[t];
                    self.usage[t].cpus + c.spec.cpus <= team.cpus + SLACK
                });
                levels.entry((Reverse(c.spec.priority), !within)).or_default().push(c);
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

    /// Whether a team's limit leaves room for a task.
    pub fn within_limit(&self, team: Option<usize>, spec: &Spec) -> bool {
        let Some(index) = team else { return false };
        let (team, used) = (&self.ctx.settings.settings.teams[index], &self.usage[index]);
        (team.cpus_max <= 0.0 || used.cpus + spec.cpus <= team.cpus_max + SLACK)
            && (team.gpus_max <= 0.0 || used.gpus + spec.gpus <= team.gpus_max + SLACK)
    }

    /// Counts what a plan would use.
    pub fn plan_use(&mut self, team: Option<usize>, each: &Room) {
        if let Some(team) = team {
            self.usage[team].give(each);
        }
    }

    /// Whether the rules let a job's next task go to a machine, read from the tables themselves.
    pub fn allowed(&mut self, id: &JobId, machine: &MachineId) -> bool {
        let Some(c) = self.chooser(id) else { return false };
        let Some(m) = self.leader.machines.get(machine) else { return false };
        let (spot, zone) = (m.spot, m.zone.clone());
        let Some(kind) = self.types.iter().position(|t| t.name == m.kind) else { return false };
        let zone = self.zone_number(&zone);
        c.may_use(kind, zone, spot, &self.zones)
            && !c.bad.contains(machine)
            && self.within_limit(c.team, &c.spec)
    }

    /// Binds the first waiting task of a job to a machine: in the tables now, in the store
    /// with the ledger's next write, and offered only after that.
    pub fn bind(&mut self, id: &JobId, machine_id: &MachineId) -> Option<u32> {
        if self.leader.ledger.room() == 0 {
            return None;
        }
        let launch = self.leader.next_launch();
        self.bind_as(id, machine_id, launch)
    }

    /// Binds under a given launch number, which a gang shares.
    pub fn bind_as(&mut self, id: &JobId, machine_id: &MachineId, launch: u64) -> Option<u32> {
        let now = self.ctx.now;
        let machine = self.leader.machines.get_mut(machine_id)?;
        let job = self.leader.jobs.get_mut(id)?;
        let task = job.waiting.pop_first()?;
        job.attempts.insert(task, Attempt::new(launch, machine_id.clone(), machine.latest.0, now));
        job.touch(task, now);
        let value = (self.ctx.settings.settings.state.value_kb * 1024.0) as usize;
        self.leader.ledger.add(id, task, launch, value - value / 32);
        machine.hold(id, task, launch);
        let teams = &self.ctx.settings.settings.teams;
        if let Some(team) = teams.iter().position(|t| t.name == job.spec.team) {
            self.usage[team].give(&Room::of(&job.spec));
        }
        self.binds += 1;
        Some(task)
    }
}

/// Whether a job has tasks that may be placed.
fn open(job: &Job) -> bool {
    job.state() == JobState::Live && !job.regroup
}
