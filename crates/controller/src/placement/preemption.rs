//! Preemption: services take the resources of lower-priority tasks, teams within their guarantee take those of tasks
//! that other teams run beyond theirs, and other work takes those of low-priority tasks. Gangs are only preempted for
//! accelerators, and always as a whole.

use super::candidate::PlacementCandidate;
use super::mapping_round::MappingRound;
use super::plan::PlanStep;
use super::target::TargetKind;
use super::team_usage::TeamUsage;
use super::victims::{PreemptionCandidate, PreemptionVictim, VictimJob};
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
use crate::machine::{Machine, Resources};
use std::rc::Rc;
use swiftsail_quota::ResourceQuantities;

/// Tasks of several jobs.
type TaskIds = Vec<(JobId, u32)>;

/// Machines for a gang: the index of the preemption candidate if tasks are stopped there, the machine, and those tasks.
type GangMachines = Vec<(Option<usize>, MachineId, TaskIds)>;

/// Work that a gang loses when it is stopped after `ran_ms`, summed over its tasks, ms. It saves a checkpoint, so each
/// task loses the time since the last checkpoint, but at most the duration of a checkpoint.
fn gang_lost_work_ms(spec: &JobSpec, ran_ms: u64) -> u64 {
    let interval_ms = (spec.checkpoint_interval_s * MS_PER_S).max(1.0) as u64;
    let since_checkpoint_ms = ran_ms % interval_ms;
    since_checkpoint_ms.min((spec.checkpoint_duration_s * MS_PER_S) as u64) * u64::from(spec.tasks)
}

impl MappingRound<'_> {
    /// Preempts lower-priority tasks for services where that starts replicas clearly sooner than any free target would.
    /// For a limited time those replicas then only take targets that are at least as soon.
    pub fn preempt_for_services(&mut self, candidates: &mut [PlacementCandidate]) {
        let now = self.context.now;
        let free_after_ms = self.context.settings.settings.workers.report_s
            * PREEMPTION_REPORT_INTERVALS
            * MS_PER_S;
        for c in candidates.iter_mut().filter(|c| c.is_service() && c.remaining_tasks > 0) {
            let eligible_at = self.cluster_state.jobs.get(&c.id).map_or(now, |j| j.eligible_at);
            let gang_delay_ms =
                self.wait_objective_ms(c).map_or(0.0, |ms| ms * GANG_PREEMPTION_OBJECTIVE_SHARE);
            c.may_preempt_guaranteed =
                now as f64 >= eligible_at as f64 + gang_delay_ms.max(MIN_GANG_PREEMPTION_DELAY_MS);
            c.start_search(true);
            let preempting = self.cluster_state.preempting.get(&c.id).copied();
            let acceptable_ms = self.acceptable_start_delay(c, free_after_ms);
            // While tasks are being preempted for it, any target that is as soon as their resources is taken.
            let max_delay_ms =
                preempting.map_or(0.0, |(_, fetch_ms)| fetch_ms + free_after_ms).max(acceptable_ms);
            let best_delay_ms = loop {
                match self.best_target(c) {
                    Some((index, s))
                        if c.remaining_tasks > 0
                            && s.expected_completion - now as f64 <= max_delay_ms =>
                    {
                        if !self.is_within_limit(c, 1) || !self.assign_task(c, index) {
                            break f64::MAX;
                        }
                    }
                    Some((_, s)) => break s.expected_completion - now as f64,
                    None => break f64::MAX,
                }
            };
            if c.remaining_tasks == 0
                || preempting.is_some_and(|(at, _)| now > at + PREEMPTION_WAIT_MS)
            {
                continue;
            }
            if preempting.is_some() {
                c.remaining_tasks = 0;
                continue;
            }
            let max_fetch_ms = best_delay_ms - acceptable_ms - free_after_ms;
            let (mut fetch_ms, mut victims): (f64, TaskIds) = (-1.0, Vec::new());
            while c.remaining_tasks > 0
                && let Some((fetch, zone, selected)) = self.select_victims(c, max_fetch_ms)
            {
                fetch_ms = fetch_ms.max(fetch);
                c.remaining_tasks -= 1;
                c.add_tasks_in_zone(zone, 1);
                victims.extend(selected);
            }
            if fetch_ms >= 0.0 {
                let by = c.id.clone();
                self.plan.steps.push(PlanStep::Preempt { by, fetch_ms, victims });
            }
        }
    }

    /// Preempts tasks for work other than services that has found no capacity for a while: for candidates
    /// `within_guarantee` of their team, tasks that other teams run beyond theirs, and for all but low-priority work,
    /// low-priority tasks. Victims with the least lost work come first, and a round preempts for a bounded number of
    /// tasks. Those tasks then wait for the freed resources; the candidate's other tasks are mapped as usual.
    pub fn preempt_for_waiting_work(
        &mut self,
        candidates: &mut [PlacementCandidate],
        within_guarantee: bool,
    ) {
        let now = self.context.now;
        let runs_low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let has_low_priority = self.cluster_state.jobs.values().any(runs_low);
        let has_borrowed =
            within_guarantee && self.team_usage.iter().any(TeamUsage::is_beyond_guarantee);
        if !self.is_full || !has_low_priority && !has_borrowed {
            return;
        }
        let (min_wait_ms, reclaim_wait_ms) = self.preemption_delays_ms();
        let mut remaining_budget = MAX_PREEMPTING_TASKS_PER_ROUND;
        for c in candidates.iter_mut().filter(|c| !c.is_service() && c.remaining_tasks > 0) {
            let waited_ms =
                self.cluster_state.jobs.get(&c.id).map_or(0, |j| now.saturating_sub(j.eligible_at));
            c.claims_guarantee = within_guarantee && waited_ms as f64 >= reclaim_wait_ms;
            let is_preempting = self
                .cluster_state
                .preempting
                .get(&c.id)
                .is_some_and(|(at, _)| now < at + PREEMPTION_WAIT_MS);
            let each = Resources::for_task(&c.spec);
            let suitable = self
                .targets
                .iter()
                .filter(|t| t.target_kind == TargetKind::ReadyMachine && self.is_suitable(c, t));
            let fitting: u32 = suitable
                .map(|t| c.available_resources(t).task_count(&each))
                .fold(0, u32::saturating_add);
            if (waited_ms as f64) < min_wait_ms || is_preempting || fitting >= c.remaining_tasks {
                continue;
            }
            // Low-priority work preempts nothing unless it claims its team's guarantee. For other work, provisioning is
            // preferred where it is in time, because it costs less than the lost work.
            let is_low_priority = c.spec.priority == Priority::Low;
            if !c.claims_guarantee
                && (is_low_priority || self.cheapest_new_machine(c, true).is_some())
            {
                continue;
            }
            let missing = c.remaining_tasks - fitting;
            let (mut fetch_ms, mut victims): (f64, TaskIds) = (0.0, Vec::new());
            let mut freed_for = 0;
            while freed_for < missing.min(remaining_budget)
                && self.may_use_quota(c, freed_for + 1)
                && let Some((fetch, zone, selected)) = self.select_victims(c, f64::MAX)
            {
                fetch_ms = fetch_ms.max(fetch);
                freed_for += 1;
                c.add_tasks_in_zone(zone, 1);
                victims.extend(selected);
            }
            remaining_budget -= freed_for;
            if !is_low_priority {
                self.hold_ending_tasks_resources(c, missing - freed_for);
            }
            if freed_for > 0 {
                // The tasks of a gang stay candidates: resources freed for a part of a gang would stand idle.
                c.remaining_tasks -= if c.spec.kind == JobKind::Gang { 0 } else { freed_for };
                let by = c.id.clone();
                self.plan.steps.push(PlanStep::Preempt { by, fetch_ms, victims });
            }
        }
    }

    /// Holds machines from low-priority work on which low-priority tasks end soon and then leave enough resources for
    /// tasks of a candidate. Otherwise small low-priority tasks would take those resources one by one.
    fn hold_ending_tasks_resources(&mut self, c: &PlacementCandidate, mut tasks: u32) {
        let each = Resources::for_task(&c.spec);
        let mut machines = Vec::new();
        for m in self.preemption_candidates.iter().flatten() {
            if tasks == 0 {
                break;
            }
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
            {
                continue;
            }
            let mut available = m.free;
            let ending = m.tasks.iter().filter(|v| v.job.priority == Priority::Low && v.ends_soon);
            ending.for_each(|v| available.add(&v.job.resources));
            let fits = available.task_count(&each);
            if fits > m.free.task_count(&each) {
                tasks = tasks.saturating_sub(fits);
                machines.push(m.machine.clone());
            }
        }
        if !machines.is_empty() {
            self.plan.steps.push(PlanStep::HoldFromLowPriority(machines));
        }
    }

    /// Whether `tasks` more tasks of a candidate stay within its team's limit, and within the team's guarantee if the
    /// candidate claims that.
    fn may_use_quota(&self, c: &PlacementCandidate, tasks: u32) -> bool {
        let more = quota_per_task(&c.spec).multiplied_by(tasks);
        let is_guaranteed =
            |t: usize| !c.claims_guarantee || self.team_usage[t].is_within_guarantee(more);
        c.team_index.is_some_and(|t| is_guaranteed(t) && self.team_usage[t].allows(more))
    }

    /// Whether a task may be preempted for a candidate: for a replica, any of lower priority; for other work, a
    /// low-priority task that does not end soon, or with a claim to the guarantee, a task of a team that stays beyond its
    /// own guarantee without it.
    fn may_preempt(&self, c: &PlacementCandidate, v: &PreemptionVictim) -> bool {
        let is_borrowed = || {
            let other_team =
                v.job.team_index.filter(|t| Some(*t) != c.team_index).map(|t| &self.team_usage[t]);
            other_team.is_some_and(|t| t.stays_beyond_guarantee_without(v.job.freed_quota()))
        };
        let is_lower = v.job.priority < c.spec.priority;
        if v.job.gang_amounts.is_some() {
            // Gangs are preempted for accelerators alone, and only for those that their team has borrowed. Accelerators
            // within their team's guarantee only go to services that have waited and are within their own guarantee.
            let frees_gpus = c.spec.gpus > 0.0
                && v.job.resources.gpus > 0.0
                && v.job.priority <= c.spec.priority;
            let may_take_guaranteed = || {
                c.is_service()
                    && is_lower
                    && c.may_preempt_guaranteed
                    && self.is_within_guarantee(c)
            };
            return frees_gpus
                && (is_lower || c.claims_guarantee)
                && (is_borrowed() || may_take_guaranteed());
        }
        is_lower && (c.is_service() || v.job.priority == Priority::Low && !v.ends_soon)
            || !c.is_service()
                && c.claims_guarantee
                && v.job.priority <= c.spec.priority
                && is_borrowed()
    }

    /// The `wait` objective of a candidate's class, ms, if there is one.
    fn wait_objective_ms(&self, c: &PlacementCandidate) -> Option<f64> {
        let objectives = self.context.settings.settings.objectives.iter();
        let of_class =
            objectives.filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&c.spec.class));
        of_class.filter_map(|o| o.within_s).reduce(f64::min).map(|s| s * MS_PER_S)
    }

    /// Start delay of a replica up to which nothing is preempted for it, ms: [`MIN_PREEMPTION_GAIN_MS`], or less if the
    /// objective of its class leaves less. `free_after_ms`: time until preempted resources are free.
    fn acceptable_start_delay(&self, c: &PlacementCandidate, free_after_ms: f64) -> f64 {
        let objective_ms = self.wait_objective_ms(c).unwrap_or(f64::MAX);
        MIN_PREEMPTION_GAIN_MS.min(objective_ms - free_after_ms - TASK_START_DELAY_MS).max(0.0)
    }

    /// Machines with tasks that could be preempted. Machines on which tasks are already being stopped are left out, since
    /// their resources are for other work.
    fn preemption_candidates(&mut self) -> Vec<PreemptionCandidate> {
        let now = self.context.now;
        let lease_ms = self.context.lease_ms();
        let mut found = Vec::new();
        for machine in
            self.cluster_state.machines.values().filter(|m| is_schedulable(m, now, lease_ms))
        {
            let Some(type_index) = self.types.iter().position(|t| t.name == machine.machine_type)
            else {
                continue;
            };
            let Some(zone) = self.zones.iter().position(|z| *z == machine.zone) else { continue };
            let mut tasks = Vec::new();
            let mut has_stopping_tasks = false;
            for (id, job_tasks) in machine.tasks.by_job() {
                let Some(job) = self.cluster_state.jobs.get(id) else { continue };
                let victim_job = self.victim_job(job).map(Rc::new);
                for task in job_tasks {
                    let attempt = job.attempts.get(task).filter(|a| a.occupies_resources());
                    let Some(attempt) = attempt else { continue };
                    has_stopping_tasks |= attempt.stop_requested;
                    let Some(victim_job) = &victim_job else { continue };
                    let ran_ms = attempt.running_since().map_or(0, |at| now.saturating_sub(at));
                    let victim = self.victim(job, victim_job, *task, machine, ran_ms);
                    tasks.push(victim);
                }
            }
            if has_stopping_tasks || tasks.is_empty() {
                continue;
            }
            let order = |v: &PreemptionVictim| (v.job.preemption_rank(), v.lost_work_ms);
            tasks.sort_by(|a, b| (order(a), &a.job.id, a.task).cmp(&(order(b), &b.job.id, b.task)));
            found.push(PreemptionCandidate {
                machine: machine.id.clone(),
                type_index,
                zone_index: zone,
                spot: machine.spot,
                free: machine.free_resources().unwrap_or_default(),
                tasks,
            });
        }
        found
    }

    /// A job whose tasks could be preempted: an array, or a gang that may be preempted as a whole.
    fn victim_job(&self, job: &Job) -> Option<VictimJob> {
        let gang_amounts = self.preemptible_gang_amounts(job);
        let teams = &self.context.settings.settings.teams;
        (job.spec.kind == JobKind::Array || gang_amounts.is_some()).then(|| VictimJob {
            id: job.id.clone(),
            resources: Resources::for_task(&job.spec),
            priority: job.spec.priority,
            team_index: teams.iter().position(|t| t.name == job.spec.team),
            gang_amounts,
        })
    }

    /// A task that could be preempted and has run for `ran_ms` on a machine.
    fn victim(
        &self,
        job: &Job,
        victim_job: &Rc<VictimJob>,
        task: u32,
        machine: &Machine,
        ran_ms: u64,
    ) -> PreemptionVictim {
        let is_gang = victim_job.gang_amounts.is_some();
        let lost_work_ms = if is_gang { gang_lost_work_ms(&job.spec, ran_ms) } else { ran_ms };
        let history = &self.cluster_state.run_time_history;
        let run_ms = || history.run_time(&job.id, &job.spec, &machine.machine_type).mean();
        let ends_soon = job.spec.priority == Priority::Low
            && run_ms() - (lost_work_ms as f64) < MIN_LOW_PRIORITY_REMAINING_MS;
        PreemptionVictim {
            lost_work_ms,
            job: victim_job.clone(),
            task,
            ends_soon: ends_soon && !is_gang,
        }
    }

    /// Selects the tasks to stop on one machine for one task of a candidate, and takes them off the preemption
    /// candidates. The machine with the shortest image fetch wins, at most `max_fetch_ms`; among equals, the one with the
    /// least lost work. Returns the fetch time in ms, the zone and the victims.
    fn select_victims(
        &mut self,
        c: &PlacementCandidate,
        max_fetch_ms: f64,
    ) -> Option<(f64, usize, TaskIds)> {
        if self.preemption_candidates.is_none() {
            self.preemption_candidates = Some(self.preemption_candidates());
        }
        // A gang gives up all of its machines for one task, so gangs are only considered if nothing else suffices.
        let may_preempt_gangs =
            c.spec.gpus > 0.0 && (c.may_preempt_guaranteed || c.claims_guarantee);
        self.select_victims_of_kind(c, max_fetch_ms, false).or_else(|| {
            let with_gangs =
                may_preempt_gangs.then(|| self.select_victims_of_kind(c, max_fetch_ms, true));
            with_gangs.flatten()
        })
    }

    /// As [`Self::select_victims`]; tasks of gangs are only considered with `include_gangs`.
    fn select_victims_of_kind(
        &mut self,
        c: &PlacementCandidate,
        max_fetch_ms: f64,
        include_gangs: bool,
    ) -> Option<(f64, usize, TaskIds)> {
        let candidates = self.preemption_candidates.as_ref()?;
        let mut best: Option<(f64, u64, usize, TaskIds)> = None;
        for (index, m) in candidates.iter().enumerate() {
            let fetch_ms = self.types[m.type_index].fetch_ms(&c.spec);
            let has_image = || {
                let machine = self.cluster_state.machines.get(&m.machine);
                machine.is_some_and(|machine| machine.images.contains(&c.spec.image))
            };
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
                || m.tasks.is_empty()
            {
                continue;
            }
            let fetch_ms = if has_image() { 0.0 } else { fetch_ms };
            if fetch_ms > max_fetch_ms || best.as_ref().is_some_and(|b| b.0 < fetch_ms) {
                continue;
            }
            let mut available = m.free;
            let (mut lost_ms, mut chosen) = (0, Vec::new());
            let is_eligible = |v: &&PreemptionVictim| {
                (include_gangs || v.job.gang_amounts.is_none()) && self.may_preempt(c, v)
            };
            for v in m.tasks.iter().filter(is_eligible) {
                if available.fits_task(&c.spec) {
                    break;
                }
                available.add(&v.job.resources);
                lost_ms += v.lost_work_ms;
                chosen.push((v.job.id.clone(), v.task));
            }
            let fits = available.fits_task(&c.spec) && !chosen.is_empty();
            if fits && best.as_ref().is_none_or(|(f, l, ..)| (fetch_ms, lost_ms) < (*f, *l)) {
                best = Some((fetch_ms, lost_ms, index, chosen));
            }
        }
        let (fetch_ms, _, index, chosen) = best?;
        let zone = self.preemption_candidates.as_ref().map_or(0, |all| all[index].zone_index);
        self.take_victims(index, &chosen);
        if let Some(m) = self.preemption_candidates.as_mut().map(|all| &mut all[index]) {
            m.free.subtract(&Resources::for_task(&c.spec));
            // The freed machine is reserved for a gang of one task.
            if c.spec.kind == JobKind::Gang {
                let machine = m.machine.clone();
                self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), vec![machine]));
            }
        }
        Some((fetch_ms, zone, chosen))
    }

    /// Removes chosen victims on the machine `index` from the preemption candidates and adds their resources to the free
    /// ones, so that the rest of the machine can be preempted for another task. Gangs are removed from all machines.
    fn take_victims(&mut self, index: usize, chosen: &TaskIds) {
        let Some(all) = self.preemption_candidates.as_mut() else { return };
        let mut gangs: Vec<JobId> = Vec::new();
        let m = &mut all[index];
        for (id, task) in chosen {
            if let Some(n) = m.tasks.iter().position(|v| v.job.id == *id && v.task == *task) {
                let victim = m.tasks.remove(n);
                m.free.add(&victim.job.resources);
                let is_counted = gangs.contains(id);
                if let Some(team) = victim.job.team_index.filter(|_| !is_counted) {
                    self.team_usage[team].subtract_usage(victim.job.freed_quota());
                }
                if victim.job.gang_amounts.is_some() && !is_counted {
                    gangs.push(id.clone());
                }
            }
        }
        for m in all.iter_mut().filter(|_| !gangs.is_empty()) {
            let (removed, remaining): (Vec<PreemptionVictim>, Vec<PreemptionVictim>) =
                m.tasks.drain(..).partition(|v| gangs.contains(&v.job.id));
            removed.iter().for_each(|v| m.free.add(&v.job.resources));
            m.tasks = remaining;
        }
    }

    /// The amounts that a gang uses, if it may be preempted: it uses accelerators and saves checkpoints, all of its tasks
    /// have run for long enough, and it has not been preempted too often.
    fn preemptible_gang_amounts(&self, job: &Job) -> Option<ResourceQuantities> {
        let now = self.context.now;
        let runs_long_enough = |a: &Attempt| {
            // The start of an attempt of an earlier leader is not known, but the change of leader took long enough.
            let is_old = a.is_from_previous_term()
                || a.running_since().is_some_and(|at| now >= at + MIN_PREEMPTIBLE_GANG_RUN_MS);
            a.phase() == AttemptPhase::Running && !a.stop_requested && is_old
        };
        let spec = &job.spec;
        let is_preemptible = spec.kind == JobKind::Gang
            && spec.gpus > 0.0
            && spec.checkpoint_interval_s > 0.0
            && job.state() == JobState::Live
            && job.gang_state() == GangState::Whole
            && job.attempts.len() == spec.tasks as usize
            && job.attempts.values().all(runs_long_enough);
        let allowed = is_preemptible
            && self.cluster_state.gpu_loans.may_preempt(&job.id, self.context.wall_now);
        allowed.then(|| quota_per_task(spec).multiplied_by(spec.tasks))
    }

    /// Preempts borrowed or low-priority work for all tasks of a gang at once. Nothing is stopped unless that is enough
    /// for the whole gang, and the machines are reserved for it until it is placed. `within_guarantee`: the gang's team is
    /// within its guarantee.
    pub fn preempt_for_gang(&mut self, c: &mut PlacementCandidate, within_guarantee: bool) {
        let now = self.context.now;
        let Some(job) =
            self.cluster_state.jobs.get(&c.id).filter(|j| self.is_full && j.attempts.is_empty())
        else {
            return;
        };
        let waited_ms = now.saturating_sub(job.eligible_at) as f64;
        let (min_wait_ms, reclaim_wait_ms) = self.preemption_delays_ms();
        c.claims_guarantee = within_guarantee && waited_ms >= reclaim_wait_ms;
        if let Some((at, _)) = self.cluster_state.preempting.get(&c.id)
            && now < at + GANG_PREEMPTION_WAIT_MS
        {
            let reserved: Vec<MachineId> = job.reserved_machines(now).cloned().collect();
            if !reserved.is_empty() {
                self.plan.steps.push(PlanStep::ReserveForGang(c.id.clone(), reserved));
            }
            return;
        }
        let is_low_priority = c.spec.priority == Priority::Low;
        let tasks = c.remaining_tasks;
        // If the guarantee does not cover the whole gang, it has no claim to it.
        c.claims_guarantee &= self.may_use_quota(c, tasks);
        if waited_ms < min_wait_ms
            || !c.claims_guarantee
                && (is_low_priority || self.cheapest_new_machine(c, true).is_some())
            || !self.may_use_quota(c, tasks)
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
        let best = |include_gangs: bool| {
            let options = zones
                .iter()
                .filter_map(|zone| self.machines_for_gang(c, *zone, tasks, include_gangs));
            options.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let found = best(false).or_else(|| c.claims_guarantee.then(|| best(true)).flatten());
        let Some((_, gang_machines)) = found else { return };
        let (mut victims, mut machines): (TaskIds, Vec<MachineId>) = (Vec::new(), Vec::new());
        for (index, machine, chosen) in gang_machines {
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

    /// Machines for `tasks` tasks of a gang and their total cost, in one zone if `zone` is given: those with the lowest
    /// cost, in lost work and image fetches. Tasks of gangs are only preempted with `include_gangs`. `None` if there are
    /// not enough.
    fn machines_for_gang(
        &self,
        c: &PlacementCandidate,
        zone: Option<usize>,
        tasks: u32,
        include_gangs: bool,
    ) -> Option<(f64, GangMachines)> {
        let mut options: Vec<(f64, Option<usize>, MachineId, TaskIds)> = Vec::new();
        let in_zone = |z: usize| zone.is_none_or(|only| only == z);
        for target in self
            .targets
            .iter()
            .filter(|t| t.target_kind == TargetKind::ReadyMachine && in_zone(t.zone_index))
        {
            if let Some(machine) = target.machine.clone().filter(|_| self.is_suitable(c, target)) {
                let cost =
                    if target.images.contains(&c.image_index) { 0.0 } else { FETCH_PENALTY_MS };
                let available = c.available_resources(target);
                let fits = available.task_count(&Resources::for_task(&c.spec)).min(tasks);
                options.extend((0..fits).map(|_| (cost, None, machine.clone(), Vec::new())));
            }
        }
        for (index, m) in self
            .preemption_candidates
            .iter()
            .flatten()
            .enumerate()
            .filter(|(_, m)| in_zone(m.zone_index))
        {
            if !c.is_allowed_on(m.type_index, m.zone_index, m.spot, &self.zones)
                || c.excluded_machines.contains(&m.machine)
            {
                continue;
            }
            let (mut available, mut cost, mut chosen) = (m.free, 0.0, Vec::new());
            if available.fits_task(&c.spec) {
                continue;
            }
            let is_eligible = |v: &&PreemptionVictim| {
                (include_gangs || v.job.gang_amounts.is_none()) && self.may_preempt(c, v)
            };
            for v in m.tasks.iter().filter(is_eligible) {
                if available.fits_task(&c.spec) {
                    break;
                }
                available.add(&v.job.resources);
                cost += v.lost_work_ms as f64
                    + f64::from(v.job.preemption_rank()) * PREEMPTION_RANK_PENALTY_MS;
                chosen.push((v.job.id.clone(), v.task));
            }
            if available.fits_task(&c.spec) {
                options.push((cost + FETCH_PENALTY_MS, Some(index), m.machine.clone(), chosen));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        options.truncate(tasks as usize);
        let is_enough = options.len() == tasks as usize;
        let cost = options.iter().map(|o| o.0).sum();
        let machines =
            options.into_iter().map(|(_, index, machine, chosen)| (index, machine, chosen));
        is_enough.then(|| (cost, machines.collect()))
    }

    /// Time that work waits before anything is preempted for it, and before borrowed capacity is, ms. The first is shorter
    /// only while low-priority work runs.
    fn preemption_delays_ms(&self) -> (f64, f64) {
        let runs_low = |j: &Job| j.spec.priority == Priority::Low && !j.attempts.is_empty();
        let has_low_priority = self.cluster_state.jobs.values().any(runs_low);
        let objectives = self.context.settings.settings.objectives.iter();
        let within_s = objectives.filter(|o| o.kind == "guarantee").filter_map(|o| o.within_s);
        // Low-priority work is preempted soon. Before borrowed capacity is reclaimed, other capacity may become available.
        let reclaim_ms = within_s.fold(DEFAULT_GUARANTEE_OBJECTIVE_S, f64::min)
            * MS_PER_S
            * RECLAIM_OBJECTIVE_SHARE;
        let min_ms = match has_low_priority {
            true => LOW_PRIORITY_PREEMPTION_DELAY_MS.min(reclaim_ms),
            false => reclaim_ms,
        };
        (min_ms, reclaim_ms)
    }
}
