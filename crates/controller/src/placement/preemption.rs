//! Preemption: services take the room of tasks of lower priority, and teams within their guarantee that of tasks
//! which others run beyond theirs. Of gangs accelerators alone are taken, the gang whole.

use super::candidate::PlacementCandidate;
use super::mapping_round::MappingRound;
use super::plan::PlanStep;
use super::target::TargetKind;
use super::team_usage::TeamUsage;
use super::victims::{PreemptionCandidate, PreemptionVictim};
use crate::cluster_state::{is_schedulable, quota_per_task};
use crate::constants::{
    DEFAULT_GUARANTEE_OBJECTIVE_S, FETCH_PENALTY_MS, GANG_PREEMPTION_OBJECTIVE_SHARE,
    GANG_PREEMPTION_WAIT_MS, LOW_PRIORITY_PREEMPTION_DELAY_MS, MAX_PREEMPTING_TASKS_PER_ROUND,
    MIN_GANG_PREEMPTION_DELAY_MS, MIN_LOW_PRIORITY_REMAINING_MS, MIN_PREEMPTIBLE_GANG_RUN_MS,
    MIN_PREEMPTION_GAIN_MS, MS_PER_S, PREEMPTION_RANK_PENALTY_MS, PREEMPTION_REPORT_INTERVALS,
    PREEMPTION_WAIT_MS, RECLAIM_OBJECTIVE_SHARE, TASK_START_DELAY_MS,
};
use crate::job::{
    Attempt, AttemptPhase, GangState, Job, JobId, JobKind, JobSpec, JobState, MachineId, Priority,
};
use crate::machine::Resources;
use swiftsail_quota::ResourceQuantities;

/// Tasks of several jobs.
type TaskIds = Vec<(JobId, u32)>;

/// Machines for a gang: which candidate, its name, what is stopped there.
type GangMachines = Vec<(Option<usize>, MachineId, TaskIds)>;

/// Work that a gang loses which saves when it is stopped: the save itself, and its restart; without a save, what it
/// has run since its last checkpoint.
fn work_lost_despite_save(spec: &JobSpec, ran_ms: u64) -> u64 {
    let interval = (spec.checkpoint_interval_s * MS_PER_S).max(1.0) as u64;
    let since = ran_ms % interval;
    since.min((spec.checkpoint_duration_s * MS_PER_S) as u64) * u64::from(spec.tasks)
}

impl MappingRound<'_> {
    /// Makes room for services by stopping tasks of lower priority, where that starts replicas
    /// clearly sooner than any free room would. Those replicas then wait a moment for that room.
    pub fn preempt_for_services(&mut self, choosers: &mut [PlacementCandidate]) {
        let now = self.view.now;
        let soon =
            self.view.settings.settings.workers.report_s * PREEMPTION_REPORT_INTERVALS * MS_PER_S;
        for c in choosers.iter_mut().filter(|c| c.is_service() && c.remaining_tasks > 0) {
            let since = self.cluster_state.jobs.get(&c.id).map_or(now, |j| j.eligible_at);
            let within =
                self.wait_objective_ms(c).map_or(0.0, |ms| ms * GANG_PREEMPTION_OBJECTIVE_SHARE);
            c.may_preempt_guaranteed =
                now as f64 >= since as f64 + within.max(MIN_GANG_PREEMPTION_DELAY_MS);
            c.start_search(true);
            let since = self.cluster_state.preempting.get(&c.id).copied();
            let enough = self.acceptable_start_delay(c, soon);
            // Any place as good as the one being made will do.
            let goal = since.map_or(0.0, |(_, fetch)| fetch + soon).max(enough);
            let best = loop {
                match self.best_target(c) {
                    Some((index, s))
                        if c.remaining_tasks > 0 && s.expected_completion - now as f64 <= goal =>
                    {
                        if !self.is_within_limit(c, 1) || !self.assign_task(c, index) {
                            break f64::MAX;
                        }
                    }
                    Some((_, s)) => break s.expected_completion - now as f64,
                    None => break f64::MAX,
                }
            };
            if c.remaining_tasks == 0 || since.is_some_and(|(at, _)| now > at + PREEMPTION_WAIT_MS)
            {
                continue;
            }
            if since.is_some() {
                c.remaining_tasks = 0;
                continue;
            }
            let limit = best - enough - soon;
            let (mut made, mut stopped): (f64, TaskIds) = (-1.0, Vec::new());
            while c.remaining_tasks > 0
                && let Some((fetch, zone, victims)) = self.select_victims(c, limit)
            {
                made = made.max(fetch);
                c.remaining_tasks -= 1;
                c.add_task_in_zone(zone);
                stopped.extend(victims);
            }
            if made >= 0.0 {
                let by = c.id.clone();
                self.plan.steps.push(PlanStep::Preempt { by, fetch_ms: made, victims: stopped });
            }
        }
    }

    /// Makes room for work that has found none for a while, by stopping others': for work `within` its team's
    /// guarantee what other teams run beyond theirs, and for all but idle-hours work what runs at the lowest
    /// priority. Least work lost first, a bounded number in a round. It waits for that room alone, and what it
    /// lacks beyond that is mapped as ever.
    pub fn preempt_for_waiting_work(&mut self, choosers: &mut [PlacementCandidate], within: bool) {
        let now = self.view.now;
        let low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let guests = self.cluster_state.jobs.values().any(low);
        let borrowed = within && self.team_usage.iter().any(TeamUsage::is_beyond_guarantee);
        if !self.is_full || !guests && !borrowed {
            return;
        }
        let (patience, lent) = self.preemption_delays_ms();
        let mut most = MAX_PREEMPTING_TASKS_PER_ROUND;
        for c in choosers.iter_mut().filter(|c| !c.is_service() && c.remaining_tasks > 0) {
            let waits =
                self.cluster_state.jobs.get(&c.id).map_or(0, |j| now.saturating_sub(j.eligible_at));
            c.claims_guarantee = within && waits as f64 >= lent;
            let lately = self
                .cluster_state
                .preempting
                .get(&c.id)
                .is_some_and(|(at, _)| now < at + PREEMPTION_WAIT_MS);
            let each = Resources::for_task(&c.spec);
            let here = self
                .targets
                .iter()
                .filter(|p| p.target_kind == TargetKind::ReadyMachine && self.is_suitable(c, p));
            let free: u32 =
                here.map(|p| c.available_room(p).task_count(&each)).fold(0, u32::saturating_add);
            if (waits as f64) < patience || lately || free >= c.remaining_tasks {
                continue;
            }
            // Beside its team's guarantee, work of the lowest priority claims nothing; for other work machines
            // that can be rented in time cost less than what would be lost.
            let low = c.spec.priority == Priority::Low;
            if !c.claims_guarantee && (low || self.cheapest_new_machine(c, true).is_some()) {
                continue;
            }
            // A gang waits for all of it: room for a part would stand empty.
            let lacks = c.remaining_tasks - free;
            let (mut made, mut stopped): (f64, TaskIds) = (0.0, Vec::new());
            let mut rooms = 0;
            while rooms < lacks.min(most)
                && self.may_use_quota(c, rooms + 1)
                && let Some((fetch, zone, victims)) = self.select_victims(c, f64::MAX)
            {
                made = made.max(fetch);
                rooms += 1;
                c.add_task_in_zone(zone);
                stopped.extend(victims);
            }
            most -= rooms;
            if !low {
                self.hold_ending_room(c, lacks - rooms);
            }
            if rooms > 0 {
                c.remaining_tasks -= if c.spec.kind == JobKind::Gang { 0 } else { rooms };
                let by = c.id.clone();
                self.plan.steps.push(PlanStep::Preempt { by, fetch_ms: made, victims: stopped });
            }
        }
    }

    /// Where tasks of the lowest priority end by themselves, their room is kept for a chooser's tasks: a small
    /// task at a time would else take it for ever.
    fn hold_ending_room(&mut self, c: &PlacementCandidate, mut tasks: u32) {
        let each = Resources::for_task(&c.spec);
        let mut held = Vec::new();
        for m in self.preemption_candidates.iter().flatten() {
            if tasks == 0 {
                break;
            }
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
            {
                continue;
            }
            let mut room = m.free;
            let low = m.tasks.iter().filter(|v| v.priority == Priority::Low && v.ends_soon);
            low.for_each(|v| room.add(&v.resources));
            let fits = room.task_count(&each);
            if fits > m.free.task_count(&each) {
                tasks = tasks.saturating_sub(fits);
                held.push(m.machine.clone());
            }
        }
        if !held.is_empty() {
            self.plan.steps.push(PlanStep::HoldFromLowPriority(held));
        }
    }

    /// Whether so many more tasks of a chooser stay within its team's limit, and within its guarantee if that
    /// is what it claims by.
    fn may_use_quota(&self, c: &PlacementCandidate, tasks: u32) -> bool {
        let more = quota_per_task(&c.spec).multiplied_by(tasks);
        let guaranteed =
            |t: usize| !c.claims_guarantee || self.team_usage[t].is_within_guarantee(more);
        c.team_index.is_some_and(|t| guaranteed(t) && self.team_usage[t].allows(more))
    }

    /// Whether a task may be stopped for a chooser's: for a replica if it is of lower priority; for other work
    /// if it is of the lowest, or if its team is beyond its guarantee, and remains so without it.
    fn may_preempt(&self, c: &PlacementCandidate, v: &PreemptionVictim) -> bool {
        let borrowed = || {
            let beyond =
                v.team_index.filter(|t| Some(*t) != c.team_index).map(|t| &self.team_usage[t]);
            beyond.is_some_and(|t| t.stays_beyond_guarantee_without(v.freed_quota()))
        };
        let lower = v.priority < c.spec.priority;
        if v.gang_amounts.is_some() {
            // Gangs give accelerators alone, and only what their team has borrowed; what is guaranteed to it goes to
            // production whose own guarantee covers it, and that has waited.
            let takes =
                c.spec.gpus > 0.0 && v.resources.gpus > 0.0 && v.priority <= c.spec.priority;
            let owed = || {
                c.is_service() && lower && c.may_preempt_guaranteed && self.is_within_guarantee(c)
            };
            return takes && (lower || c.claims_guarantee) && (borrowed() || owed());
        }
        lower && (c.is_service() || v.priority == Priority::Low && !v.ends_soon)
            || !c.is_service() && c.claims_guarantee && v.priority <= c.spec.priority && borrowed()
    }

    /// The time within which users want a class's tasks to have begun, ms, if an aim names it.
    fn wait_objective_ms(&self, c: &PlacementCandidate) -> Option<f64> {
        let aims = self.view.settings.settings.objectives.iter();
        let own = aims.filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&c.spec.class));
        own.filter_map(|o| o.within_s).reduce(f64::min).map(|s| s * MS_PER_S)
    }

    /// How soon a replica should run, ms, before others are stopped for it: as its class's aim
    /// asks, less what the start itself takes.
    fn acceptable_start_delay(&self, c: &PlacementCandidate, soon: f64) -> f64 {
        let within = self.wait_objective_ms(c).unwrap_or(f64::MAX);
        MIN_PREEMPTION_GAIN_MS.min(within - soon - TASK_START_DELAY_MS).max(0.0)
    }

    /// Machines with tasks that could be stopped, found once in a pass. Those on which room is
    /// already being made are for another.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn preemption_candidates(&mut self) -> Vec<PreemptionCandidate> {
        let now = self.view.now;
        let lease = self.view.lease_ms();
        let mut found = Vec::new();
        for machine in
            self.cluster_state.machines.values().filter(|m| is_schedulable(m, now, lease))
        {
            let Some(kind) = self.types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let Some(zone) = self.zones.iter().position(|z| *z == machine.zone) else { continue };
            let mut tasks = Vec::new();
            let mut leaving = false;
            for (id, task) in machine.tasks.keys() {
                let Some(job) = self.cluster_state.jobs.get(id) else { continue };
                let Some(attempt) = job.attempts.get(task).filter(|a| a.occupies_resources())
                else {
                    continue;
                };
                leaving |= attempt.stop_requested.is_some();
                let gang = self.preemptible_gang_amounts(job);
                if job.spec.kind == JobKind::Array || gang.is_some() {
                    let lost = attempt.running_since.map_or(0, |at| now.saturating_sub(at));
                    let lost =
                        if gang.is_some() { work_lost_despite_save(&job.spec, lost) } else { lost };
                    let low = job.spec.priority == Priority::Low;
                    let run = || {
                        self.cluster_state
                            .run_time_history
                            .run_time(id, &job.spec, &machine.machine_type)
                            .mean()
                    };
                    let ends = low && run() - (lost as f64) < MIN_LOW_PRIORITY_REMAINING_MS;
                    tasks.push(PreemptionVictim {
                        lost_work_ms: lost,
                        job: id.clone(),
                        task: *task,
                        ends_soon: ends && gang.is_none(),
                        gang_amounts: gang,
                        resources: Resources::for_task(&job.spec),
                        priority: job.spec.priority,
                        team_index: self
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
            let order = |v: &PreemptionVictim| (v.preemption_rank(), v.lost_work_ms);
            tasks.sort_by(|a, b| (order(a), &a.job, a.task).cmp(&(order(b), &b.job, b.task)));
            found.push(PreemptionCandidate {
                machine: machine.id.clone(),
                type_index: kind,
                zone_index: zone,
                spot: machine.spot,
                free: machine.free_resources().unwrap_or_default(),
                tasks,
            });
        }
        found
    }

    /// The tasks whose stop makes room for a service, and the fetch it then needs: least, and
    /// within `limit` ms; among equals, what loses the least work.
    fn select_victims(
        &mut self,
        c: &PlacementCandidate,
        limit: f64,
    ) -> Option<(f64, usize, TaskIds)> {
        if self.preemption_candidates.is_none() {
            self.preemption_candidates = Some(self.preemption_candidates());
        }
        // A gang gives up all of its machines for one room: only where nothing less will do.
        let gangs = c.spec.gpus > 0.0 && (c.may_preempt_guaranteed || c.claims_guarantee);
        self.select_victims_of_kind(c, limit, false).or_else(|| {
            let found = gangs.then(|| self.select_victims_of_kind(c, limit, true));
            found.flatten()
        })
    }

    fn select_victims_of_kind(
        &mut self,
        c: &PlacementCandidate,
        limit: f64,
        gangs: bool,
    ) -> Option<(f64, usize, TaskIds)> {
        let candidates = self.preemption_candidates.as_ref()?;
        let mut best: Option<(f64, u64, usize, TaskIds)> = None;
        for (index, m) in candidates.iter().enumerate() {
            let fetch = self.types[m.type_index].fetch_ms(&c.spec);
            let there = || {
                let machine = self.cluster_state.machines.get(&m.machine);
                machine.is_some_and(|it| it.images.contains(&c.spec.image))
            };
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
                || m.tasks.is_empty()
            {
                continue;
            }
            let fetch = if there() { 0.0 } else { fetch };
            if fetch > limit || best.as_ref().is_some_and(|b| b.0 < fetch) {
                continue;
            }
            let mut room = m.free;
            let (mut lost, mut chosen) = (0, Vec::new());
            let able = |v: &&PreemptionVictim| {
                (gangs || v.gang_amounts.is_none()) && self.may_preempt(c, v)
            };
            for v in m.tasks.iter().filter(able) {
                if room.fits_task(&c.spec) {
                    break;
                }
                room.add(&v.resources);
                lost += v.lost_work_ms;
                chosen.push((v.job.clone(), v.task));
            }
            let fits = room.fits_task(&c.spec) && !chosen.is_empty();
            if fits && best.as_ref().is_none_or(|(f, l, ..)| (fetch, lost) < (*f, *l)) {
                best = Some((fetch, lost, index, chosen));
            }
        }
        let (fetch, _, index, chosen) = best?;
        let zone = self.preemption_candidates.as_ref().map_or(0, |all| all[index].zone_index);
        self.take_victims(index, &chosen);
        if let Some(m) = self.preemption_candidates.as_mut().map(|all| &mut all[index]) {
            m.free.subtract(&Resources::for_task(&c.spec));
            // What was won on whole machines is kept together for a gang of one task.
            if c.spec.kind == JobKind::Gang {
                let machine = m.machine.clone();
                self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), vec![machine]));
            }
        }
        Some((fetch, zone, chosen))
    }

    /// Takes victims off the candidates: what is left of a machine may make room for another, and of a gang all
    /// leaves, wherever it is.
    fn take_victims(&mut self, index: usize, chosen: &TaskIds) {
        let Some(all) = self.preemption_candidates.as_mut() else { return };
        let mut gangs: Vec<JobId> = Vec::new();
        let m = &mut all[index];
        for (id, task) in chosen {
            if let Some(n) = m.tasks.iter().position(|v| v.job == *id && v.task == *task) {
                let victim = m.tasks.remove(n);
                m.free.add(&victim.resources);
                let counted = gangs.contains(id);
                if let Some(team) = victim.team_index.filter(|_| !counted) {
                    self.team_usage[team].subtract_usage(victim.freed_quota());
                }
                if victim.gang_amounts.is_some() && !counted {
                    gangs.push(id.clone());
                }
            }
        }
        for m in all.iter_mut().filter(|_| !gangs.is_empty()) {
            let (leave, stay): (Vec<PreemptionVictim>, Vec<PreemptionVictim>) =
                m.tasks.drain(..).partition(|v| gangs.contains(&v.job));
            leave.iter().for_each(|v| m.free.add(&v.resources));
            m.tasks = stay;
        }
    }

    /// What a gang takes, if it may be stopped whole for others: all of it runs, long enough for its start to count,
    /// it saves, and it has not been stopped too often.
    fn preemptible_gang_amounts(&self, job: &Job) -> Option<ResourceQuantities> {
        let now = self.view.now;
        let runs = |a: &Attempt| {
            // Since when it ran under an earlier leader is not known: long enough for that one to end.
            let long = a.from_previous_term
                || a.running_since.is_some_and(|at| now >= at + MIN_PREEMPTIBLE_GANG_RUN_MS);
            a.phase() == AttemptPhase::Running && a.stop_requested.is_none() && long
        };
        let spec = &job.spec;
        let sound = spec.kind == JobKind::Gang
            && spec.gpus > 0.0
            && spec.checkpoint_interval_s > 0.0
            && job.state() == JobState::Live
            && job.gang_state() == GangState::Whole
            && job.attempts.len() == spec.tasks as usize
            && job.attempts.values().all(runs);
        let may = sound && self.cluster_state.gpu_loans.may_preempt(&job.id, self.view.wall_now);
        may.then(|| quota_per_task(spec).multiplied_by(spec.tasks))
    }

    /// Makes room for a gang of several tasks on as many machines at once, by stopping what others have borrowed or
    /// run in idle hours. All of it is won or nothing is stopped, and what is won is kept for it until it is placed.
    pub fn preempt_for_gang(&mut self, c: &mut PlacementCandidate, within: bool) {
        let now = self.view.now;
        let Some(job) =
            self.cluster_state.jobs.get(&c.id).filter(|j| self.is_full && j.attempts.is_empty())
        else {
            return;
        };
        let waits = now.saturating_sub(job.eligible_at) as f64;
        let (patience, lent) = self.preemption_delays_ms();
        c.claims_guarantee = within && waits >= lent;
        if let Some((at, _)) = self.cluster_state.preempting.get(&c.id)
            && now < at + GANG_PREEMPTION_WAIT_MS
        {
            let kept: Vec<MachineId> = job.reserved_machines(now).cloned().collect();
            if !kept.is_empty() {
                self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), kept));
            }
            return;
        }
        let low = c.spec.priority == Priority::Low;
        let need = c.remaining_tasks;
        // Its guarantee may cover a part of it alone: then it claims as any other.
        c.claims_guarantee &= self.may_use_quota(c, need);
        if waits < patience
            || !c.claims_guarantee && (low || self.cheapest_new_machine(c, true).is_some())
            || !self.may_use_quota(c, need)
        {
            return;
        }
        if self.preemption_candidates.is_none() {
            self.preemption_candidates = Some(self.preemption_candidates());
        }
        let zones: Vec<Option<usize>> = match c.spec.one_zone {
            true => (0..self.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        let best = |gangs: bool| {
            let found =
                zones.iter().filter_map(|zone| self.machines_for_gang(c, *zone, need, gangs));
            found.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let found = best(false).or_else(|| c.claims_guarantee.then(|| best(true)).flatten());
        let Some((_, rooms)) = found else { return };
        let (mut victims, mut machines): (TaskIds, Vec<MachineId>) = (Vec::new(), Vec::new());
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
            self.plan.steps.push(PlanStep::Preempt { by, fetch_ms, victims });
            self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), machines));
        }
    }

    /// Room for so many tasks of a gang, in one zone or in all: machines with room now, then those where least is
    /// lost. None: there is not enough.
    fn machines_for_gang(
        &self,
        c: &PlacementCandidate,
        zone: Option<usize>,
        need: u32,
        gangs: bool,
    ) -> Option<(f64, GangMachines)> {
        let mut options: Vec<(f64, Option<usize>, MachineId, TaskIds)> = Vec::new();
        let here = |z: usize| zone.is_none_or(|only| only == z);
        for p in self
            .targets
            .iter()
            .filter(|p| p.target_kind == TargetKind::ReadyMachine && here(p.zone_index))
        {
            if let Some(machine) = p.machine.clone().filter(|_| self.is_suitable(c, p)) {
                let fetch = if p.images.contains(&c.image_index) { 0.0 } else { FETCH_PENALTY_MS };
                let fits = c.available_room(p).task_count(&Resources::for_task(&c.spec)).min(need);
                options.extend((0..fits).map(|_| (fetch, None, machine.clone(), Vec::new())));
            }
        }
        for (index, m) in self
            .preemption_candidates
            .iter()
            .flatten()
            .enumerate()
            .filter(|(_, m)| here(m.zone_index))
        {
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
            {
                continue;
            }
            let (mut room, mut cost, mut chosen) = (m.free, 0.0, Vec::new());
            if room.fits_task(&c.spec) {
                continue;
            }
            let able = |v: &&PreemptionVictim| {
                (gangs || v.gang_amounts.is_none()) && self.may_preempt(c, v)
            };
            for v in m.tasks.iter().filter(able) {
                if room.fits_task(&c.spec) {
                    break;
                }
                room.add(&v.resources);
                cost += v.lost_work_ms as f64
                    + f64::from(v.preemption_rank()) * PREEMPTION_RANK_PENALTY_MS;
                chosen.push((v.job.clone(), v.task));
            }
            if room.fits_task(&c.spec) {
                options.push((cost + FETCH_PENALTY_MS, Some(index), m.machine.clone(), chosen));
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
    fn preemption_delays_ms(&self) -> (f64, f64) {
        let low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let guests = self.cluster_state.jobs.values().any(low);
        let aims = self.view.settings.settings.objectives.iter();
        let asked = aims.filter(|o| o.kind == "guarantee").filter_map(|o| o.within_s);
        // What runs in idle hours gives its room up at once; what was lent may first be found elsewhere.
        let lent = asked.fold(DEFAULT_GUARANTEE_OBJECTIVE_S, f64::min)
            * MS_PER_S
            * RECLAIM_OBJECTIVE_SHARE;
        (if guests { LOW_PRIORITY_PREEMPTION_DELAY_MS.min(lent) } else { lent }, lent)
    }
}
