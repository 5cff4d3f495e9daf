//! Teams at their quota limit: allocates what the limit leaves to the team's jobs, and preempts the team's own arrays so
//! that service replicas need not wait for the limit.

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

/// Deadline of a job without one, from the objectives of its class for its end (`finished`) or its start (`wait`).
/// `run_ms`: expected run time.
fn objective_deadline(context: PlanningContext, job: &Job, run_ms: f64) -> Option<Time> {
    let objectives = context.settings.settings.objectives.iter();
    let of_class = objectives.filter(|o| o.class.as_deref() == Some(&job.spec.class));
    let within_ms = of_class.filter_map(|o| match (o.kind.as_str(), o.within_s) {
        ("finished", Some(s)) => Some(s * MS_PER_S),
        ("wait", Some(s)) => Some(s * MS_PER_S + run_ms),
        _ => None,
    });
    within_ms.reduce(f64::min).map(|ms| job.eligible_at + ms as u64)
}

/// A job's claim to its team's quota. `waiting`: tasks that may be placed; `run_ms`: expected run time of a task;
/// `classes`: job classes seen so far, to which the job's class is added.
fn quota_claim<'t>(
    context: PlanningContext,
    job: &'t Job,
    waiting: u32,
    run_ms: f64,
    classes: &mut Vec<&'t str>,
) -> QuotaClaim {
    let now = context.now;
    let class = classes.iter().position(|c| *c == job.spec.class).unwrap_or(classes.len());
    if class == classes.len() {
        classes.push(&job.spec.class);
    }
    let deadline = job.deadline.or_else(|| objective_deadline(context, job, run_ms));
    QuotaClaim {
        class,
        priority_rank: job.spec.priority as u8,
        runs_until_cancelled: job.spec.kind == JobKind::Service,
        all_or_nothing: job.spec.kind == JobKind::Gang,
        time_to_deadline_ms: deadline.filter(|at| *at > now).map(|at| (at - now) as f64),
        waiting_tasks: waiting,
        running_tasks: job.occupying_attempts() as f64,
        per_task: quota_per_task(&job.spec),
        cpu_weight: quota_per_task(&job.spec).cpus.to_f64(),
        task_run_ms: run_ms,
        age_ms: now.saturating_sub(job.eligible_at) as f64,
        has_started: job.has_begun(),
    }
}

impl MappingRound<'_> {
    /// Where the jobs of a team want more than its limit leaves, sets the tasks that each may place in this cycle to its
    /// allocation. None of their tasks stays in a run queue, so that capacity which becomes free goes to the next job in
    /// the order of allocation.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn apply_team_limits(&mut self, candidates: &mut [PlacementCandidate]) {
        let mut by_team: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (n, c) in candidates.iter().enumerate() {
            if let Some(team) = c.team_index {
                by_team.entry(team).or_default().push(n);
            }
        }
        let mut jobs: Option<HashMap<&str, Vec<&Job>>> = None;
        for (team, members) in by_team {
            let wanted: ResourceQuantities = members
                .iter()
                .map(|n| &candidates[*n])
                .map(|c| {
                    let waiting = self.cluster_state.jobs.get(&c.id).map_or(0, |j| j.waiting.len());
                    quota_per_task(&c.spec).multiplied_by(waiting as u32)
                })
                .sum();
            if self.team_usage[team].allows(wanted) {
                continue;
            }
            let (mut claims, mut classes) = (Vec::new(), Vec::new());
            let state = self.cluster_state;
            let claiming: BTreeSet<JobId> =
                members.iter().map(|n| candidates[*n].id.clone()).collect();
            for n in &members {
                let c = &mut candidates[*n];
                c.is_limited_by_quota = true;
                self.plan.run_queues.remove_job(&c.id);
                let Some(job) = state.jobs.get(&c.id) else { continue };
                c.remaining_tasks = job.waiting.len() as u32;
                let c = &candidates[*n];
                let type_index = c.allowed_types.iter().position(|allowed| *allowed).unwrap_or(0);
                claims.push(quota_claim(
                    self.context,
                    job,
                    c.remaining_tasks,
                    self.run_time(c, type_index).mean(),
                    &mut classes,
                ));
            }
            // What the team's other jobs use counts towards their classes.
            let name = &self.context.settings.settings.teams[team].name;
            // Grouped by team once, so that the cost of a team does not depend on the number of teams.
            let jobs = jobs.get_or_insert_with(|| jobs_by_team(state));
            for job in jobs.get(name.as_str()).into_iter().flatten() {
                if !claiming.contains(&job.id) {
                    let run_ms = job.spec.runtime_estimate_s * MS_PER_S;
                    claims.push(quota_claim(self.context, job, 0, run_ms, &mut classes));
                }
            }
            self.plan.targets_examined += claims.len() as u64;
            let usage = &self.team_usage[team];
            let total = usage.limit.limit() - usage.used_by_services;
            let total_cpus = total.cpus.to_f64();
            if self.context.settings.settings.teams[team].gpus_max > 0.0 {
                let cpus_per_gpu = total_cpus / total.gpus.to_f64().max(AMOUNT_TOLERANCE);
                let weight =
                    |c: &QuotaClaim| c.cpu_weight.max(c.per_task.gpus.to_f64() * cpus_per_gpu);
                claims.iter_mut().for_each(|c| c.cpu_weight = weight(c));
            }
            let remaining = usage.limit.remaining(usage.used);
            let unplaceable: Vec<bool> =
                members.iter().map(|n| self.is_unplaceable(&mut candidates[*n])).collect();
            let grants = allocate_quota_unplaceable_last(remaining, total, &claims, &unplaceable);
            for ((n, unplaceable), grant) in members.iter().zip(&unplaceable).zip(&grants) {
                // Without quota it cannot be tried again in this cycle, so it stays recorded as unplaced.
                if *unplaceable && *grant == 0 && candidates[*n].spec.kind != JobKind::Gang {
                    self.unplaced_jobs.push(candidates[*n].id.clone());
                }
            }
            let granted = members.iter().map(|n| &candidates[*n]).zip(&grants);
            let services: Vec<_> = granted.filter(|(c, _)| c.is_service()).collect();
            let services = services.into_iter();
            let shortfalls: Vec<(&PlacementCandidate, ResourceQuantities)> = services
                .map(|(c, n)| (c, quota_per_task(&c.spec).multiplied_by(c.remaining_tasks - n)))
                .collect();
            self.release_quota_for_services(team, &shortfalls);
            for (n, grant) in members.into_iter().zip(grants) {
                candidates[n].remaining_tasks = grant;
            }
        }
    }

    /// Whether a candidate is starved, and now finds neither a machine with capacity nor one to provision. A starved gang
    /// always counts as unplaceable.
    fn is_unplaceable(&mut self, c: &mut PlacementCandidate) -> bool {
        if !self.cluster_state.is_starved(&c.id, self.context.now) {
            return false;
        }
        if c.spec.kind == JobKind::Gang {
            return true;
        }
        let is_machine = |t: &PlacementTarget| {
            matches!(t.target_kind, TargetKind::ReadyMachine | TargetKind::BootingMachine)
        };
        self.plan.targets_examined += self.targets.len() as u64;
        !self.targets.iter().any(|t| is_machine(t) && self.is_suitable(c, t))
            && self.cheapest_new_machine(c, false).is_none()
    }

    /// Preempts lower-priority array tasks of a team for replicas that lack only quota: as much as `shortfalls`, less what
    /// is being stopped already. Tasks on machines that have the replica's image cached come first, so that the replica
    /// starts there at once; of those, the ones with the least lost work.
    fn release_quota_for_services(
        &mut self,
        team: usize,
        shortfalls: &[(&PlacementCandidate, ResourceQuantities)],
    ) {
        let mut being_stopped = self.team_usage[team].being_stopped;
        let mut stoppable = None;
        for (by, shortfall) in shortfalls {
            let mut shortfall = *shortfall;
            // What is being stopped already counts for the first services.
            let covered = shortfall.zip_with(being_stopped, Quantity::min);
            (shortfall, being_stopped) = (shortfall - covered, being_stopped - covered);
            let is_covered =
                |shortfall: ResourceQuantities| ResourceQuantities::default().covers(shortfall);
            if is_covered(shortfall) {
                continue;
            }
            let stoppable = stoppable
                .get_or_insert_with(|| stoppable_tasks(self.cluster_state, self.context, team));
            let has_image = |v: &StoppableTask| v.machine.images.contains(&by.spec.image);
            let is_lower = |v: &StoppableTask| v.job.spec.priority < by.spec.priority;
            // Sorted from last to first choice.
            stoppable.sort_by_cached_key(|v| {
                Reverse((!is_lower(v), !has_image(v), v.lost_work_ms, v.job.id.clone(), v.task))
            });
            let mut victims = Vec::new();
            while !is_covered(shortfall)
                && let Some(v) = stoppable.pop_if(|v| is_lower(v))
            {
                shortfall -= quota_per_task(&v.job.spec);
                victims.push((v.job.id.clone(), v.task));
            }
            if !victims.is_empty() {
                self.plan.steps.push(PlanStep::PreemptForQuota { by: by.id.clone(), victims });
            }
        }
    }
}

/// Allocates the `remaining` quota of a team to claims, to unplaceable jobs only what the others leave. `total`: the
/// team's limit without what its services use. Returns the tasks granted to each claim.
fn allocate_quota_unplaceable_last(
    remaining: ResourceQuantities,
    total: ResourceQuantities,
    claims: &[QuotaClaim],
    unplaceable: &[bool],
) -> Vec<u32> {
    if !unplaceable.contains(&true) {
        return allocate_quota(remaining, total, claims);
    }
    let is_unplaceable = |n: usize| unplaceable.get(n).copied().unwrap_or(false);
    let mut first = claims.to_vec();
    let mut second = claims.to_vec();
    for (n, (first, second)) in first.iter_mut().zip(&mut second).enumerate() {
        let excluded = if is_unplaceable(n) { first } else { second };
        excluded.waiting_tasks = 0;
    }
    let mut grants = allocate_quota(remaining, total, &first);
    let granted: ResourceQuantities =
        claims.iter().zip(&grants).map(|(c, n)| c.per_task.multiplied_by(*n)).sum();
    for (n, claim) in second.iter_mut().enumerate() {
        claim.running_tasks += f64::from(grants[n]);
    }
    let second_grants = allocate_quota(remaining - granted, total, &second);
    for (grant, more) in grants.iter_mut().zip(second_grants) {
        *grant += more;
    }
    grants
}

/// All jobs by the name of their team, in the order of the cluster state.
fn jobs_by_team(state: &ClusterState) -> HashMap<&str, Vec<&Job>> {
    let mut jobs: HashMap<&str, Vec<&Job>> = HashMap::new();
    for job in state.jobs.values() {
        jobs.entry(&job.spec.team).or_default().push(job);
    }
    jobs
}

/// Tasks of a team's arrays whose stop would soon be confirmed, because their machines report.
fn stoppable_tasks<'t>(
    state: &'t ClusterState,
    context: PlanningContext,
    team: usize,
) -> Vec<StoppableTask<'t>> {
    let (now, name) = (context.now, &context.settings.settings.teams[team].name);
    let silent_after_ms = context.lease_ms() * SILENT_LEASE_SHARE;
    let mut stoppable = Vec::new();
    let arrays = state.jobs.values().filter(|j| j.spec.kind == JobKind::Array);
    for job in arrays.filter(|j| j.spec.team == *name && !j.is_cancelled()) {
        for (task, attempt) in job.attempts.iter() {
            let Some(machine) = state.machines.get(attempt.machine()) else { continue };
            let is_recent = |at: Time| now.saturating_sub(at) as f64 <= silent_after_ms;
            if machine.last_contact_at.is_some_and(is_recent)
                && attempt.occupies_resources()
                && !attempt.stop_requested
            {
                let lost_work_ms = attempt.running_since().map_or(0, |at| now.saturating_sub(at));
                stoppable.push(StoppableTask { job, task: *task, machine, lost_work_ms });
            }
        }
    }
    stoppable
}

/// A task that could be stopped to free quota.
struct StoppableTask<'a> {
    job: &'a Job,
    task: u32,
    machine: &'a Machine,
    lost_work_ms: u64,
}
