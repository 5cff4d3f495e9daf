//! A scheduling cycle: prunes run queues, then maps waiting tasks to targets.

use super::candidate::PlacementCandidate;
use super::mapping_round::{MappingRound, is_placeable};
use super::plan::{CyclePlan, PlanningContext};
use super::target::{PlacementTarget, TargetKind};
use crate::Time;
use crate::cluster_state::{ClusterState, ProvisioningRequest};
use crate::constants::{AMOUNT_TOLERANCE, MAX_AGED_GANGS, SCORE_STEPS_PER_UNIT};
use crate::job::{JobId, JobKind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use swiftsail_tiers::TierAssignment;

/// Whether a scheduling cycle is due: `Some(true)` for a mapping round, `Some(false)` for an event-driven cycle in
/// between. `cycle_ms`: minimum time between cycles; `round_ms`: interval of mapping rounds.
pub fn due_cycle(state: &ClusterState, cycle_ms: u64, round_ms: u64, now: Time) -> Option<bool> {
    if now < state.last_cycle_at + cycle_ms {
        return None;
    }
    if now >= state.last_round_at + round_ms {
        return Some(true);
    }
    state.needs_scheduling.then_some(false)
}

/// Plans a scheduling cycle. A full cycle is a mapping round; other cycles, between rounds, only place tasks on free
/// resources. A cycle that reaches its limit of bindings is continued by the next one. The free resources of all
/// machines must be up to date.
pub fn plan_cycle(state: &ClusterState, context: PlanningContext, full: bool) -> CyclePlan {
    let mut round = MappingRound::new(state, context, full);
    if full {
        round.prune_queues();
    }
    round.index_images();
    round.collect_targets();
    round.reserve_service_capacity();
    round.unqueue_for_free_capacity();
    round.map_jobs();
    let MappingRound {
        mut plan, planned_machines, types, zones, bound_tasks, unplaced_jobs, ..
    } = round;
    plan.cut_short = bound_tasks >= context.policy.bounds.max_bindings;
    if full && !plan.cut_short {
        let request =
            |((type_index, zone, spot), count): ((usize, usize, bool), u32)| ProvisioningRequest {
                machine_type: types[type_index].name.clone(),
                zone: zones[zone].clone(),
                spot,
                count,
            };
        plan.unplaced_jobs = Some(unplaced_jobs);
        plan.provisioning_requests = Some(planned_machines.into_iter().map(request).collect());
    }
    plan
}

/// Sort key of candidates: priority, tier, work within its team's guarantee before other work, aged work before other
/// work, and only then the class order and the score that plug-ins set.
type PlacementLevel = (Reverse<Priority>, TierAssignment, bool, bool, i64, Reverse<i64>);

impl MappingRound<'_> {
    /// Removes tasks at or below the pruning threshold from run queues, if the missed tasks since the last mapping round
    /// reach the dropping toggle and other tasks wait.
    fn prune_queues(&mut self) {
        if self.cluster_state.deadline_misses < self.context.policy.dropping_toggle {
            return;
        }
        let has_waiting_tasks =
            self.cluster_state.jobs.values().any(|j| is_placeable(j) && self.unqueued_tasks(j) > 0);
        if !has_waiting_tasks {
            return;
        }
        for slot in self.plan.run_queues.slots() {
            let Some((type_index, mut completion)) = self.executing_completion(&slot) else {
                continue;
            };
            let queue: Vec<JobId> = self.plan.run_queues.queue(&slot).cloned().collect();
            let mut keep = Vec::with_capacity(queue.len());
            for id in &queue {
                let Some(job) = self.cluster_state.jobs.get(id) else { continue };
                let deadline = job.deadline;
                let threshold = self.context.policy.for_job(id).pruning_threshold;
                let run_time = self.cluster_state.run_time_history.run_time(
                    id,
                    &job.spec,
                    &self.types[type_index].name,
                );
                let start = self.completion_times.get(completion);
                let passes = deadline.is_none_or(|deadline| {
                    start.convolve(&run_time).probability_before(deadline as f64) > threshold
                });
                if passes {
                    completion = self.completion_after(completion, id, type_index);
                }
                keep.push(passes);
            }
            let dropped = self.plan.run_queues.retain(&slot, &keep);
            if dropped > 0 {
                tracing::debug!(machine = %slot.0, dropped, "tasks pruned from a run queue");
            }
        }
    }

    /// Takes the tasks of a job out of run queues if one of them fits on free resources, so that it is mapped again.
    fn unqueue_for_free_capacity(&mut self) {
        let has_free_cpus = |t: &PlacementTarget| {
            t.target_kind == TargetKind::ReadyMachine && t.free.cpus > AMOUNT_TOLERANCE
        };
        let free: Vec<usize> =
            (0..self.targets.len()).filter(|n| has_free_cpus(&self.targets[*n])).collect();
        for id in self.plan.run_queues.jobs() {
            let Some(c) = self.placement_candidate(&id) else { continue };
            if free.iter().any(|n| self.is_suitable(&c, &self.targets[*n])) {
                self.plan.run_queues.remove_job(&id);
            }
        }
    }

    /// Maps the waiting tasks of all jobs to targets, in the order of [`PlacementLevel`]. Jobs that have missed their
    /// deadline come last, unless they are aged.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn map_jobs(&mut self) {
        let ids: Vec<JobId> = self
            .cluster_state
            .jobs
            .values()
            .filter(|j| is_placeable(j) && self.unqueued_tasks(j) > 0)
            .map(|j| j.id.clone())
            .collect();
        let mut levels: BTreeMap<PlacementLevel, Vec<PlacementCandidate>> = BTreeMap::new();
        let mut overdue = Vec::new();
        let mut candidates: Vec<PlacementCandidate> =
            ids.iter().filter_map(|id| self.placement_candidate(id)).collect();
        self.apply_team_limits(&mut candidates);
        self.limit_aged_gangs(&mut candidates);
        for c in candidates.into_iter().filter(|c| c.remaining_tasks > 0) {
            *self.waiting_by_class.entry(c.spec.class.clone()).or_default() += c.remaining_tasks;
            if c.tier.ordered {
                // Within an ordered tier only the queue order counts: neither age nor guarantee nor plug-ins change it.
                let level = (Reverse(c.spec.priority), c.tier, false, false, 0, Reverse(0));
                levels.entry(level).or_default().push(c);
            } else if c.is_overdue && !c.is_aged {
                overdue.push(c);
            } else {
                let is_beyond_guarantee = !self.is_within_guarantee(&c);
                let policy = self.context.policy.for_job(&c.id);
                let score = (policy.score * SCORE_STEPS_PER_UNIT) as i64;
                let level = (
                    Reverse(c.spec.priority),
                    c.tier,
                    is_beyond_guarantee,
                    !c.is_aged,
                    policy.class_order,
                    Reverse(score),
                );
                levels.entry(level).or_default().push(c);
            }
        }
        let mut unplaced = Vec::new();
        for ((_, tier, is_beyond_guarantee, is_not_aged, ..), mut level) in levels {
            if tier.ordered {
                unplaced.extend(self.serve_in_order(level));
                continue;
            }
            self.rotate_jobs(&mut level);
            let (gangs, mut others): (Vec<PlacementCandidate>, Vec<PlacementCandidate>) =
                level.into_iter().partition(|c| c.spec.kind == JobKind::Gang && c.spec.tasks > 1);
            for mut gang in gangs {
                self.place_gang(&mut gang);
                if gang.remaining_tasks > 0 {
                    self.preempt_for_gang(&mut gang, !is_beyond_guarantee);
                }
            }
            self.preempt_for_services(&mut others);
            self.preempt_for_waiting_work(&mut others, !is_beyond_guarantee);
            self.map_candidates(&mut others, true);
            if !is_not_aged {
                // An aged job starts on what is free now, even below the pruning threshold. What remains of it is mapped
                // below, like that of other jobs.
                self.map_candidates(&mut others, false);
                let waiting = others.iter().filter(|c| self.is_full && c.remaining_tasks > 0);
                for c in waiting.collect::<Vec<_>>() {
                    let tasks = if c.spec.kind == JobKind::Array { 1 } else { c.remaining_tasks };
                    self.reserve_capacity(c, tasks, &[None]);
                }
            }
            others.iter_mut().for_each(PlacementCandidate::release_search_memory);
            unplaced.extend(others.into_iter().filter(|c| c.remaining_tasks > 0 && !c.is_deferred));
        }
        self.rotate_jobs(&mut unplaced);
        self.map_candidates(&mut unplaced, false);
        self.record_unplaced(&unplaced);
        self.rotate_jobs(&mut overdue);
        let (gangs, mut overdue): (Vec<PlacementCandidate>, Vec<PlacementCandidate>) =
            overdue.into_iter().partition(|c| c.spec.kind == JobKind::Gang && c.spec.tasks > 1);
        for mut gang in gangs {
            self.place_gang(&mut gang);
        }
        self.map_candidates(&mut overdue, false);
        self.record_unplaced(&overdue);
        self.plan_upcoming_jobs();
    }

    /// Plans machines for jobs whose dependencies are about to finish, so that these are up in time. Capacity that is
    /// left free by all other jobs, or that already boots, is counted on; only the rest is provisioned.
    fn plan_upcoming_jobs(&mut self) {
        if !self.is_full || self.bound_tasks >= self.context.policy.bounds.max_bindings {
            return;
        }
        self.planning_ahead = true;
        let upcoming: Vec<JobId> = self
            .cluster_state
            .upcoming_tasks(self.context.now)
            .into_iter()
            .map(|j| j.id.clone())
            .collect();
        for id in upcoming.into_iter().take(self.context.policy.bounds.max_jobs_per_level) {
            let Some(c) = self.placement_candidate(&id) else { continue };
            *self.waiting_by_class.entry(c.spec.class.clone()).or_default() += c.remaining_tasks;
            let mut single = [c];
            self.map_candidates(&mut single, true);
            self.map_candidates(&mut single, false);
        }
    }

    /// Records the candidates limited by their team's quota that found neither a target nor a machine to provision.
    fn record_unplaced(&mut self, candidates: &[PlacementCandidate]) {
        let is_unplaced = |c: &&PlacementCandidate| {
            c.is_limited_by_quota && c.remaining_tasks > 0 && !c.is_deferred && !c.is_service()
        };
        self.unplaced_jobs.extend(candidates.iter().filter(is_unplaced).map(|c| c.id.clone()));
    }

    /// Lets only the oldest few aged gangs come first. If the aged gangs need more than there is, they would otherwise
    /// all wait as long as the last of them.
    fn limit_aged_gangs(&self, candidates: &mut [PlacementCandidate]) {
        let accepted_at = |c: &PlacementCandidate| {
            self.cluster_state.jobs.get(&c.id).map_or(u64::MAX, |j| j.accepted_wall)
        };
        let mut aged: Vec<&mut PlacementCandidate> =
            candidates.iter_mut().filter(|c| c.is_aged && c.spec.kind == JobKind::Gang).collect();
        aged.sort_by_cached_key(|c| (accepted_at(c), c.id.clone()));
        aged.into_iter().skip(MAX_AGED_GANGS).for_each(|c| c.is_aged = false);
    }

    /// Serves the candidates of an ordered tier one after the other, in queue order: each is placed, with preemption if
    /// needed, before the next is considered. Returns those that still have tasks to place.
    fn serve_in_order(&mut self, mut level: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
        let queue = self.cluster_state.queue_order(&self.context.settings.settings.teams);
        let positions: HashMap<&str, (usize, bool)> = queue
            .iter()
            .enumerate()
            .map(|(n, entry)| (entry.job_id(), (n, entry.is_beyond_guarantee())))
            .collect();
        let position =
            |c: &PlacementCandidate| positions.get(&*c.id).copied().unwrap_or((usize::MAX, true));
        level.sort_by_cached_key(|c| position(c).0);
        level.truncate(self.context.policy.bounds.max_jobs_per_level);
        let mut unplaced = Vec::new();
        for mut c in level {
            let is_beyond_guarantee = position(&c).1;
            if c.spec.kind == JobKind::Gang && c.spec.tasks > 1 {
                self.place_gang(&mut c);
                if c.remaining_tasks > 0 {
                    self.preempt_for_gang(&mut c, !is_beyond_guarantee);
                }
                continue;
            }
            let single = std::slice::from_mut(&mut c);
            self.preempt_for_services(single);
            self.preempt_for_waiting_work(single, !is_beyond_guarantee);
            self.map_candidates(single, true);
            c.release_search_memory();
            if c.remaining_tasks > 0 && !c.is_deferred {
                unplaced.push(c);
            }
        }
        unplaced
    }

    /// If there are more jobs than a cycle may place, keeps a different part of them in each cycle.
    fn rotate_jobs(&self, jobs: &mut Vec<PlacementCandidate>) {
        let max_jobs = self.context.policy.bounds.max_jobs_per_level;
        if jobs.len() > max_jobs {
            let first = self.cluster_state.cycles as usize * max_jobs % jobs.len();
            jobs.rotate_left(first);
            jobs.truncate(max_jobs);
        }
    }
}
