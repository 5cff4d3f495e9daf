//! Teams at their limit: who gets what it leaves, and what is stopped so that replicas need not wait for it.

use super::chooser::Chooser;
use super::field::Round;
use super::place::{Place, What};
use super::plan::{Step, View};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::machine::Machine;
use crate::tables::{Tables, amounts_of};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use swiftsail_quota::order::{Claim, share_out};
use swiftsail_quota::{Amount, Amounts};

/// The time by which users want a job without a deadline to be done: as the aims of its class ask of its
/// end, or of its start.
fn wanted_by(view: View, job: &Job, run_ms: f64) -> Option<Time> {
    let aims = view.settings.settings.objectives.iter();
    let own = aims.filter(|o| o.class.as_deref() == Some(&job.spec.class));
    let within = own.filter_map(|o| match (o.kind.as_str(), o.within_s) {
        ("finished", Some(s)) => Some(s * MS_PER_S),
        ("wait", Some(s)) => Some(s * MS_PER_S + run_ms),
        _ => None,
    });
    within.reduce(f64::min).map(|ms| job.eligible_at + ms as u64)
}

/// What a job wants of its team's limit; `waiting`: tasks that may be placed.
fn claim<'t>(
    view: View,
    job: &'t Job,
    waiting: u32,
    run_ms: f64,
    classes: &mut Vec<&'t str>,
) -> Claim {
    let now = view.now;
    let class = classes.iter().position(|c| *c == job.spec.class).unwrap_or(classes.len());
    if class == classes.len() {
        classes.push(&job.spec.class);
    }
    let due = job.due.or_else(|| wanted_by(view, job, run_ms));
    Claim {
        class,
        rank: job.spec.priority as u8,
        endless: job.spec.kind == Kind::Service,
        whole: job.spec.kind == Kind::Gang,
        left_ms: due.filter(|due| *due > now).map(|due| (due - now) as f64),
        waiting,
        running: job.attempts.values().filter(|a| a.occupies()).count() as f64,
        each: amounts_of(&job.spec),
        weight: amounts_of(&job.spec).cpus.number(),
        run_ms,
        age_ms: now.saturating_sub(job.eligible_at) as f64,
        begun: job.begun(),
    }
}

impl Round<'_> {
    /// Where jobs want more than their team's limit leaves, each may place what it gets of it in this
    /// pass, and no task stands in a line: the next in the order takes what comes free.
    pub fn keep_to_limits(&mut self, choosers: &mut [Chooser]) {
        let mut by_team: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (n, c) in choosers.iter().enumerate() {
            if let Some(team) = c.team {
                by_team.entry(team).or_default().push(n);
            }
        }
        let mut jobs: Option<HashMap<&str, Vec<&Job>>> = None;
        for (team, own) in by_team {
            let wants: Amounts = own
                .iter()
                .map(|n| &choosers[*n])
                .map(|c| {
                    let waiting = self.tables.jobs.get(&c.id).map_or(0, |j| j.waiting.len());
                    amounts_of(&c.spec).times(waiting as u32)
                })
                .sum();
            if self.teams[team].allows(wants) {
                continue;
            }
            let (mut claims, mut classes) = (Vec::new(), Vec::new());
            let tables = self.tables;
            let claiming: BTreeSet<JobId> = own.iter().map(|n| choosers[*n].id.clone()).collect();
            for n in &own {
                let c = &mut choosers[*n];
                c.capped = true;
                self.out.lines.drop_job(&c.id);
                let Some(job) = tables.jobs.get(&c.id) else { continue };
                c.left = job.waiting.len() as u32;
                let c = &choosers[*n];
                let kind = c.kinds.iter().position(|k| *k).unwrap_or(0);
                claims.push(claim(
                    self.view,
                    job,
                    c.left,
                    self.run_guess(c, kind).mean(),
                    &mut classes,
                ));
            }
            // What its other jobs use counts as their class's.
            let name = &self.view.settings.settings.teams[team].name;
            // Sorted out once: a team's turn costs its own jobs, however many teams there are.
            let jobs = jobs.get_or_insert_with(|| by_name(tables));
            for job in jobs.get(name.as_str()).into_iter().flatten() {
                if !claiming.contains(&job.id) {
                    let run_ms = job.spec.estimate_s * MS_PER_S;
                    claims.push(claim(self.view, job, 0, run_ms, &mut classes));
                }
            }
            self.out.looked += claims.len() as u64;
            let room = &self.teams[team];
            let most = room.cap.most() - room.endless;
            let rate = most.cpus.number();
            if self.view.settings.settings.teams[team].gpus_max > 0.0 {
                let ratio = rate / most.gpus.number().max(SLACK);
                let heavier = |c: &Claim| c.weight.max(c.each.gpus.number() * ratio);
                claims.iter_mut().for_each(|c| c.weight = heavier(c));
            }
            let left = room.cap.left(room.used);
            let idle: Vec<bool> = own.iter().map(|n| self.idles(&mut choosers[*n])).collect();
            let grants = share_out_by_turns(left, most, &claims, &idle);
            for ((n, idle), grant) in own.iter().zip(&idle).zip(&grants) {
                // It found no place before, and nothing is left to try with: that has not changed.
                if *idle && *grant == 0 && choosers[*n].spec.kind != Kind::Gang {
                    self.idle.push(choosers[*n].id.clone());
                }
            }
            let granted = own.iter().map(|n| &choosers[*n]).zip(&grants);
            let services: Vec<_> = granted.filter(|(c, _)| c.is_service()).collect();
            let lacks = services.into_iter();
            let lacks: Vec<(&Chooser, Amounts)> =
                lacks.map(|(c, n)| (c, amounts_of(&c.spec).times(c.left - n))).collect();
            self.free_amounts(team, &lacks);
            for (n, grant) in own.into_iter().zip(grants) {
                choosers[n].left = grant;
            }
        }
    }

    /// Whether a chooser has found no place for long, and finds none now nor anything to rent.
    fn idles(&mut self, c: &mut Chooser) -> bool {
        if !self.tables.idles(&c.id, self.view.now) {
            return false;
        }
        if c.spec.kind == Kind::Gang {
            return true;
        }
        let open = |p: &Place| matches!(p.what, What::Now | What::Boot);
        self.out.looked += self.places.len() as u64;
        !self.places.iter().any(|p| open(p) && self.suits(c, p)) && self.rental(c, false).is_none()
    }

    /// Replicas that wait for their team's limit alone: tasks of the team's own arrays of lower priority
    /// are stopped for as much, less what is being stopped already: where the replica's image is first, so
    /// that it starts there at once, and of those the least work lost.
    fn free_amounts(&mut self, team: usize, lacks: &[(&Chooser, Amounts)]) {
        let mut leaving = self.teams[team].leaving;
        let mut found = None;
        for (by, lacks) in lacks {
            let mut lacks = *lacks;
            // What leaves already is for the first of them.
            let first = lacks.with(leaving, Amount::min);
            (lacks, leaving) = (lacks - first, leaving - first);
            let enough = |lacks: Amounts| Amounts::default().covers(lacks);
            if enough(lacks) {
                continue;
            }
            let found = found.get_or_insert_with(|| stoppable(self.tables, self.view, team));
            let has = |v: &Stoppable| v.machine.has_image(&by.spec.image);
            let lower = |v: &Stoppable| v.job.spec.priority < by.spec.priority;
            found.sort_by_cached_key(|v| {
                Reverse((!lower(v), !has(v), v.lost_ms, v.job.id.clone(), v.task))
            });
            let mut victims = Vec::new();
            while !enough(lacks)
                && let Some(v) = found.pop_if(|v| lower(v))
            {
                lacks -= amounts_of(&v.job.spec);
                victims.push((v.job.id.clone(), v.task));
            }
            if !victims.is_empty() {
                self.out.steps.push(Step::Release { by: by.id.clone(), victims });
            }
        }
    }
}

/// Shares out what a limit leaves, to those that have long found no place only what the others do not take.
fn share_out_by_turns(left: Amounts, most: Amounts, claims: &[Claim], idle: &[bool]) -> Vec<u32> {
    if !idle.contains(&true) {
        return share_out(left, most, claims);
    }
    let is_idle = |n: usize| idle.get(n).copied().unwrap_or(false);
    let mut first = claims.to_vec();
    let mut then = claims.to_vec();
    for (n, (first, then)) in first.iter_mut().zip(&mut then).enumerate() {
        let waits_again = if is_idle(n) { first } else { then };
        waits_again.waiting = 0;
    }
    let mut grants = share_out(left, most, &first);
    let given: Amounts = claims.iter().zip(&grants).map(|(c, n)| c.each.times(*n)).sum();
    for (n, claim) in then.iter_mut().enumerate() {
        claim.running += f64::from(grants[n]);
    }
    for (all, more) in grants.iter_mut().zip(share_out(left - given, most, &then)) {
        *all += more;
    }
    grants
}

/// All jobs by the name of their team.
fn by_name(tables: &Tables) -> HashMap<&str, Vec<&Job>> {
    let mut jobs: HashMap<&str, Vec<&Job>> = HashMap::new();
    for job in tables.jobs.values() {
        jobs.entry(&job.spec.team).or_default().push(job);
    }
    jobs
}

/// Tasks of a team's arrays whose stop would soon be proved: their machines are heard.
fn stoppable<'t>(tables: &'t Tables, view: View, team: usize) -> Vec<Stoppable<'t>> {
    let (now, name) = (view.now, &view.settings.settings.teams[team].name);
    let quiet = view.lease_ms() * QUIET_SHARE;
    let mut found = Vec::new();
    let arrays = tables.jobs.values().filter(|j| j.spec.kind == Kind::Array);
    for job in arrays.filter(|j| j.spec.team == *name && !j.cancelled()) {
        for (task, attempt) in &job.attempts {
            let Some(machine) = tables.machines.get(&attempt.machine) else { continue };
            let near = |at: Time| now.saturating_sub(at) as f64 <= quiet;
            if machine.heard.is_some_and(near) && attempt.occupies() && attempt.stop.is_none() {
                let lost_ms = attempt.ran_at.map_or(0, |at| now.saturating_sub(at));
                found.push(Stoppable { job, task: *task, machine, lost_ms });
            }
        }
    }
    found
}

/// A task that could be stopped.
struct Stoppable<'a> {
    job: &'a Job,
    task: u32,
    machine: &'a Machine,
    lost_ms: u64,
}
