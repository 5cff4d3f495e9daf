//! Teams at their limit: who gets what it leaves, and what is stopped so that replicas need not wait for it.

use super::candidate::PlacementCandidate;
use super::mapping_round::MappingRound;
use super::plan::{PlanStep, PlanningContext};
use super::target::{PlacementTarget, TargetKind};
use crate::Time;
use crate::cluster_state::{ClusterState, quota_per_task};
use crate::constants::{AMOUNT_TOLERANCE, MS_PER_S, SILENT_LEASE_SHARE};
use crate::job::{Job, JobId, JobKind};
use crate::machine::Machine;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use swiftsail_quota::allocation::{QuotaClaim, allocate_quota};
use swiftsail_quota::{Quantity, ResourceQuantities};

/// The time by which users want a job without a deadline to be done: as the aims of its class ask of its
/// end, or of its start.
fn objective_deadline(view: PlanningContext, job: &Job, run_ms: f64) -> Option<Time> {
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
fn quota_claim<'t>(
    view: PlanningContext,
    job: &'t Job,
    waiting: u32,
    run_ms: f64,
    classes: &mut Vec<&'t str>,
) -> QuotaClaim {
    let now = view.now;
    let class = classes.iter().position(|c| *c == job.spec.class).unwrap_or(classes.len());
    if class == classes.len() {
        classes.push(&job.spec.class);
    }
    let due = job.deadline.or_else(|| objective_deadline(view, job, run_ms));
    QuotaClaim {
        class,
        priority_rank: job.spec.priority as u8,
        runs_until_cancelled: job.spec.kind == JobKind::Service,
        all_or_nothing: job.spec.kind == JobKind::Gang,
        time_to_deadline_ms: due.filter(|due| *due > now).map(|due| (due - now) as f64),
        waiting_tasks: waiting,
        running_tasks: job.attempts.values().filter(|a| a.occupies_resources()).count() as f64,
        per_task: quota_per_task(&job.spec),
        cpu_weight: quota_per_task(&job.spec).cpus.to_f64(),
        task_run_ms: run_ms,
        age_ms: now.saturating_sub(job.eligible_at) as f64,
        has_started: job.has_begun(),
    }
}

impl MappingRound<'_> {
    /// Where jobs want more than their team's limit leaves, each may place what it gets of it in this
    /// pass, and no task stands in a line: the next in the order takes what comes free.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn apply_team_limits(&mut self, choosers: &mut [PlacementCandidate]) {
        let mut by_team: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (n, c) in choosers.iter().enumerate() {
            if let Some(team) = c.team_index {
                by_team.entry(team).or_default().push(n);
            }
        }
        let mut jobs: Option<HashMap<&str, Vec<&Job>>> = None;
        for (team, own) in by_team {
            let wants: ResourceQuantities = own
                .iter()
                .map(|n| &choosers[*n])
                .map(|c| {
                    let waiting = self.cluster_state.jobs.get(&c.id).map_or(0, |j| j.waiting.len());
                    quota_per_task(&c.spec).multiplied_by(waiting as u32)
                })
                .sum();
            if self.team_usage[team].allows(wants) {
                continue;
            }
            let (mut claims, mut classes) = (Vec::new(), Vec::new());
            let tables = self.cluster_state;
            let claiming: BTreeSet<JobId> = own.iter().map(|n| choosers[*n].id.clone()).collect();
            for n in &own {
                let c = &mut choosers[*n];
                c.is_limited_by_quota = true;
                self.plan.run_queues.remove_job(&c.id);
                let Some(job) = tables.jobs.get(&c.id) else { continue };
                c.remaining_tasks = job.waiting.len() as u32;
                let c = &choosers[*n];
                let kind = c.allowed_types.iter().position(|k| *k).unwrap_or(0);
                claims.push(quota_claim(
                    self.view,
                    job,
                    c.remaining_tasks,
                    self.run_time(c, kind).mean(),
                    &mut classes,
                ));
            }
            // What its other jobs use counts as their class's.
            let name = &self.view.settings.settings.teams[team].name;
            // Sorted out once: a team's turn costs its own jobs, however many teams there are.
            let jobs = jobs.get_or_insert_with(|| jobs_by_team(tables));
            for job in jobs.get(name.as_str()).into_iter().flatten() {
                if !claiming.contains(&job.id) {
                    let run_ms = job.spec.runtime_estimate_s * MS_PER_S;
                    claims.push(quota_claim(self.view, job, 0, run_ms, &mut classes));
                }
            }
            self.plan.targets_examined += claims.len() as u64;
            let room = &self.team_usage[team];
            let most = room.limit.limit() - room.used_by_services;
            let rate = most.cpus.to_f64();
            if self.view.settings.settings.teams[team].gpus_max > 0.0 {
                let ratio = rate / most.gpus.to_f64().max(AMOUNT_TOLERANCE);
                let heavier = |c: &QuotaClaim| c.cpu_weight.max(c.per_task.gpus.to_f64() * ratio);
                claims.iter_mut().for_each(|c| c.cpu_weight = heavier(c));
            }
            let left = room.limit.remaining(room.used);
            let idle: Vec<bool> =
                own.iter().map(|n| self.is_unplaceable(&mut choosers[*n])).collect();
            let grants = allocate_quota_idle_last(left, most, &claims, &idle);
            for ((n, idle), grant) in own.iter().zip(&idle).zip(&grants) {
                // It found no place before, and nothing is left to try with: that has not changed.
                if *idle && *grant == 0 && choosers[*n].spec.kind != JobKind::Gang {
                    self.unplaced_jobs.push(choosers[*n].id.clone());
                }
            }
            let granted = own.iter().map(|n| &choosers[*n]).zip(&grants);
            let services: Vec<_> = granted.filter(|(c, _)| c.is_service()).collect();
            let lacks = services.into_iter();
            let lacks: Vec<(&PlacementCandidate, ResourceQuantities)> = lacks
                .map(|(c, n)| (c, quota_per_task(&c.spec).multiplied_by(c.remaining_tasks - n)))
                .collect();
            self.release_quota_for_services(team, &lacks);
            for (n, grant) in own.into_iter().zip(grants) {
                choosers[n].remaining_tasks = grant;
            }
        }
    }

    /// Whether a chooser has found no place for long, and finds none now nor anything to rent.
    fn is_unplaceable(&mut self, c: &mut PlacementCandidate) -> bool {
        if !self.cluster_state.is_starved(&c.id, self.view.now) {
            return false;
        }
        if c.spec.kind == JobKind::Gang {
            return true;
        }
        let open = |p: &PlacementTarget| {
            matches!(p.target_kind, TargetKind::ReadyMachine | TargetKind::BootingMachine)
        };
        self.plan.targets_examined += self.targets.len() as u64;
        !self.targets.iter().any(|p| open(p) && self.is_suitable(c, p))
            && self.cheapest_new_machine(c, false).is_none()
    }

    /// Replicas that wait for their team's limit alone: tasks of the team's own arrays of lower priority
    /// are stopped for as much, less what is being stopped already: where the replica's image is first, so
    /// that it starts there at once, and of those the least work lost.
    fn release_quota_for_services(
        &mut self,
        team: usize,
        lacks: &[(&PlacementCandidate, ResourceQuantities)],
    ) {
        let mut leaving = self.team_usage[team].being_stopped;
        let mut found = None;
        for (by, lacks) in lacks {
            let mut lacks = *lacks;
            // What leaves already is for the first of them.
            let first = lacks.zip_with(leaving, Quantity::min);
            (lacks, leaving) = (lacks - first, leaving - first);
            let enough = |lacks: ResourceQuantities| ResourceQuantities::default().covers(lacks);
            if enough(lacks) {
                continue;
            }
            let found =
                found.get_or_insert_with(|| stoppable_tasks(self.cluster_state, self.view, team));
            let has = |v: &StoppableTask| v.machine.images.contains(&by.spec.image);
            let lower = |v: &StoppableTask| v.job.spec.priority < by.spec.priority;
            found.sort_by_cached_key(|v| {
                Reverse((!lower(v), !has(v), v.lost_work_ms, v.job.id.clone(), v.task))
            });
            let mut victims = Vec::new();
            while !enough(lacks)
                && let Some(v) = found.pop_if(|v| lower(v))
            {
                lacks -= quota_per_task(&v.job.spec);
                victims.push((v.job.id.clone(), v.task));
            }
            if !victims.is_empty() {
                self.plan.steps.push(PlanStep::PreemptForQuota { by: by.id.clone(), victims });
            }
        }
    }
}

/// Shares out what a limit leaves, to those that have long found no place only what the others do not take.
fn allocate_quota_idle_last(
    left: ResourceQuantities,
    most: ResourceQuantities,
    claims: &[QuotaClaim],
    idle: &[bool],
) -> Vec<u32> {
    if !idle.contains(&true) {
        return allocate_quota(left, most, claims);
    }
    let is_idle = |n: usize| idle.get(n).copied().unwrap_or(false);
    let mut first = claims.to_vec();
    let mut then = claims.to_vec();
    for (n, (first, then)) in first.iter_mut().zip(&mut then).enumerate() {
        let waits_again = if is_idle(n) { first } else { then };
        waits_again.waiting_tasks = 0;
    }
    let mut grants = allocate_quota(left, most, &first);
    let given: ResourceQuantities =
        claims.iter().zip(&grants).map(|(c, n)| c.per_task.multiplied_by(*n)).sum();
    for (n, claim) in then.iter_mut().enumerate() {
        claim.running_tasks += f64::from(grants[n]);
    }
    for (all, more) in grants.iter_mut().zip(allocate_quota(left - given, most, &then)) {
        *all += more;
    }
    grants
}

/// All jobs by the name of their team.
fn jobs_by_team(tables: &ClusterState) -> HashMap<&str, Vec<&Job>> {
    let mut jobs: HashMap<&str, Vec<&Job>> = HashMap::new();
    for job in tables.jobs.values() {
        jobs.entry(&job.spec.team).or_default().push(job);
    }
    jobs
}

/// Tasks of a team's arrays whose stop would soon be proved: their machines are heard.
fn stoppable_tasks<'t>(
    tables: &'t ClusterState,
    view: PlanningContext,
    team: usize,
) -> Vec<StoppableTask<'t>> {
    let (now, name) = (view.now, &view.settings.settings.teams[team].name);
    let quiet = view.lease_ms() * SILENT_LEASE_SHARE;
    let mut found = Vec::new();
    let arrays = tables.jobs.values().filter(|j| j.spec.kind == JobKind::Array);
    for job in arrays.filter(|j| j.spec.team == *name && !j.is_cancelled()) {
        for (task, attempt) in &job.attempts {
            let Some(machine) = tables.machines.get(&attempt.machine) else { continue };
            let near = |at: Time| now.saturating_sub(at) as f64 <= quiet;
            if machine.last_contact_at.is_some_and(near)
                && attempt.occupies_resources()
                && attempt.stop_requested.is_none()
            {
                let lost_ms = attempt.running_since.map_or(0, |at| now.saturating_sub(at));
                found.push(StoppableTask { job, task: *task, machine, lost_work_ms: lost_ms });
            }
        }
    }
    found
}

/// A task that could be stopped.
struct StoppableTask<'a> {
    job: &'a Job,
    task: u32,
    machine: &'a Machine,
    lost_work_ms: u64,
}
