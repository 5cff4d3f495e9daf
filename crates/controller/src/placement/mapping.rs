//! Maps the tasks of candidates to targets.

use super::candidate::{NO_SCORE, PlacementCandidate, PlacementScore, TargetRank};
use super::mapping_round::MappingRound;
use super::target::{PlacementTarget, TargetKind};
use crate::constants::MS_PER_S;
use crate::job::{JobId, JobKind};
use crate::machine::Resources;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

impl MappingRound<'_> {
    /// Makes a placement candidate of a job. `None` if the job is unknown.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn placement_candidate(&mut self, id: &JobId) -> Option<PlacementCandidate> {
        let job = self.cluster_state.jobs.get(id)?;
        let spec = job.spec.clone();
        let policy = self.context.policy.for_job(id);
        let mut c = PlacementCandidate {
            id: id.clone(),
            pruning_threshold: policy.pruning_threshold,
            spot_share: policy.spot_share,
            deadline: job.deadline,
            is_overdue: job.missed_deadline,
            remaining_tasks: self.unqueued_tasks(job),
            claims_guarantee: false,
            may_preempt_guaranteed: false,
            is_aged: job.is_overdue_to_start(self.context.now),
            tier: job.tier,
            is_deferred: false,
            excluded_machines: job.bad_machines.iter().cloned().collect(),
            is_limited_by_quota: false,
            team_index: self
                .context
                .settings
                .settings
                .teams
                .iter()
                .position(|t| t.name == spec.team),
            only_zone: None,
            tasks_by_zone: Vec::new(),
            tasks_in_unknown_zone: 0,
            allowed_types: Vec::new(),
            image_index: self.images.index_or_insert(&spec.image),
            new_machine_meets_deadline: vec![None; self.types.len()],
            new_machine_completion: None,
            ranked_targets: BinaryHeap::new(),
            ranked_target_count: 0,
            may_use_queues: false,
            cached_scores: Vec::new(),
            spec,
        };
        let mut allowed: Vec<bool> = self.types.iter().map(|t| t.allows(&c.spec)).collect();
        // Avoided types are only excluded if others are allowed: every accepted job must be able to run.
        let without_avoided: Vec<bool> = allowed
            .iter()
            .zip(self.types)
            .map(|(a, t)| *a && !policy.avoided_types.contains(&t.name))
            .collect();
        if without_avoided.contains(&true) {
            allowed = without_avoided;
        }
        // Types with accelerators that the job does not need are only allowed if there are no others.
        let mut types = allowed.iter().zip(self.types.iter());
        let only_wasteful = !types.any(|(a, t)| *a && !t.is_wasted_on(&c.spec));
        c.allowed_types = allowed
            .iter()
            .zip(self.types.iter())
            .map(|(a, t)| *a && t.is_wasted_on(&c.spec) == only_wasteful)
            .collect();
        if c.spec.spread || c.spec.one_zone {
            let state = self.cluster_state;
            for (machine, tasks) in job.attempts.occupying_by_machine() {
                let zone = state.machines.get(machine).map(|m| m.zone.as_str());
                // A machine in an unknown zone could be in any zone, so it counts in all.
                match zone.filter(|z| !z.is_empty()) {
                    Some(zone) => {
                        let zone = self.zone_index(zone);
                        c.add_tasks_in_zone(zone, tasks);
                    }
                    None => c.tasks_in_unknown_zone += tasks,
                }
            }
        }
        Some(c)
    }

    /// Whether the next task of a candidate may be placed on a target.
    pub fn is_suitable(&self, c: &PlacementCandidate, target: &PlacementTarget) -> bool {
        c.available_resources(target).fits_task(&c.spec)
            && c.is_allowed_on(target.type_index, target.zone_index, target.spot, &self.zones)
            && (c.may_use_queues || !matches!(target.target_kind, TargetKind::RunQueue(_)))
            && (c.excluded_machines.is_empty()
                || target.machine.as_ref().is_none_or(|m| !c.excluded_machines.contains(m)))
    }

    /// Success probability and expected completion of a candidate's next task on a target. Cached by completion id.
    fn score_target(&mut self, c: &mut PlacementCandidate, index: usize) -> PlacementScore {
        let target = &self.targets[index];
        let (completion, type_index) = (target.completion_id, target.type_index);
        let has_image = target.images.contains(&c.image_index);
        let now = self.context.now as f64;
        if let Some((probability, wait_ms)) =
            c.cached_scores.get(completion).map(|s| s[usize::from(has_image)])
            && !wait_ms.is_nan()
        {
            return PlacementScore {
                success_probability: f64::from(probability),
                expected_completion: now + f64::from(wait_ms),
            };
        }
        self.plan.scores_computed += 1;
        let t = &self.types[type_index];
        let fetch_ms = if has_image { 0.0 } else { t.fetch_ms(&c.spec) };
        let start = self.completion_times.get(completion);
        let score = if c.spec.kind == JobKind::Service {
            PlacementScore {
                success_probability: 1.0,
                expected_completion: start.mean() + fetch_ms,
            }
        } else {
            let run_time = self.cluster_state.run_time_history.run_time(&c.id, &c.spec, &t.name);
            let end = start.convolve(&run_time).shifted(fetch_ms);
            PlacementScore {
                success_probability: c.deadline.map_or(1.0, |d| end.probability_before(d as f64)),
                expected_completion: end.mean(),
            }
        };
        if c.cached_scores.len() <= completion {
            c.cached_scores.resize(completion + 1, [NO_SCORE; 2]);
        }
        let packed = (score.success_probability as f32, (score.expected_completion - now) as f32);
        c.cached_scores[completion][usize::from(has_image)] = packed;
        PlacementScore {
            success_probability: f64::from(packed.0),
            expected_completion: now + f64::from(packed.1),
        }
    }

    /// The rank of a target for a candidate, and the completion id by which it was ranked.
    fn rank_target(&mut self, c: &mut PlacementCandidate, index: usize) -> (TargetRank, u32) {
        let score = self.score_target(c, index);
        let target = &self.targets[index];
        // Rounded by adding a half and truncating, which is cheaper than a call of `round`; no value is negative.
        let failure = 50 - (score.success_probability * 50.0 + 0.5).min(50.0) as u64;
        let wait_ms = (score.expected_completion - self.context.now as f64).max(0.0);
        let wait_s = (wait_ms / MS_PER_S + 0.5).min(f64::from((1 << 24) - 1)) as u64;
        let free_millicpus = (target.free.cpus * 1e3).clamp(0.0, f64::from(u32::MAX)) as u64;
        let rank = failure << 56 | wait_s << 32 | free_millicpus;
        (Reverse((rank, index as u32)), target.completion_id as u32)
    }

    /// The best suitable target for a candidate's next task, if there is one. Within a round targets only get fuller and
    /// later, so the rank of a heap entry is a lower bound of the target's current rank.
    pub fn best_target(&mut self, c: &mut PlacementCandidate) -> Option<(usize, PlacementScore)> {
        while c.ranked_target_count < self.targets.len() {
            let index = c.ranked_target_count;
            c.ranked_target_count += 1;
            self.plan.targets_examined += 1;
            if self.is_suitable(c, &self.targets[index]) {
                let entry = self.rank_target(c, index);
                c.ranked_targets.push(entry);
            }
        }
        loop {
            let &(Reverse((_, index)), completion) = c.ranked_targets.peek()?;
            let (index, completion) = (index as usize, completion as usize);
            if !self.is_suitable(c, &self.targets[index]) {
                c.ranked_targets.pop();
            } else if self.targets[index].completion_id != completion {
                // Another task has joined that run queue since.
                c.ranked_targets.pop();
                let entry = self.rank_target(c, index);
                c.ranked_targets.push(entry);
            } else {
                return Some((index, self.score_target(c, index)));
            }
        }
    }

    /// The best target, if it is worth taking: with `only_passing`, its success probability must be above the pruning
    /// threshold.
    fn pick_target(
        &mut self,
        c: &mut PlacementCandidate,
        only_passing: bool,
    ) -> Option<(usize, PlacementScore)> {
        let (index, score) = self.best_target(c)?;
        if only_passing && score.success_probability <= c.pruning_threshold {
            return None;
        }
        // Without a deadline every target passes the threshold. A run queue is then only worth waiting in if a machine
        // provisioned now would not finish the task earlier.
        if c.deadline.is_none()
            && matches!(self.targets[index].target_kind, TargetKind::RunQueue(_))
            && self.completion_on_new_machine(c).is_some_and(|end| end < score.expected_completion)
        {
            return None;
        }
        Some((index, score))
    }

    /// Expected completion of a candidate's task on a machine provisioned now. Computed once per search, since a candidate
    /// may pick again after each of hundreds of placements.
    fn completion_on_new_machine(&mut self, c: &mut PlacementCandidate) -> Option<f64> {
        if let Some(known) = c.new_machine_completion {
            return known;
        }
        let end = self.cheapest_new_machine(c, true).map(|(type_index, ..)| {
            let t = &self.types[type_index];
            let start = self.context.now as f64 + t.boot_ms + t.fetch_ms(&c.spec);
            start + self.run_time(c, type_index).mean()
        });
        c.new_machine_completion = Some(end);
        end
    }

    /// Each candidate picks its target of highest success probability; of these pairs, the one with the earliest expected
    /// completion is placed; repeated until no candidate finds a target. With `only_passing`, targets at or below the
    /// pruning threshold are skipped, and run queues are targets as well. In a mapping round, machines are planned for the
    /// tasks that found no target.
    pub fn map_candidates(&mut self, candidates: &mut [PlacementCandidate], only_passing: bool) {
        for c in candidates.iter_mut() {
            c.start_search(only_passing);
        }
        // A pick stays valid until its target is taken or its candidate places a task, so that hundreds of candidates
        // need not search again after each of hundreds of placements.
        let mut picks: Vec<Option<Option<(usize, PlacementScore)>>> = vec![None; candidates.len()];
        while self.bound_tasks < self.context.policy.bounds.max_bindings {
            let queues_exhausted = self.queued_tasks >= self.context.policy.bounds.max_queue_joins;
            let mut best: Option<(usize, usize, f64)> = None;
            let has_tasks =
                |(_, c): &(usize, &mut PlacementCandidate)| c.remaining_tasks > 0 && !c.is_deferred;
            for (n, c) in candidates.iter_mut().enumerate().filter(has_tasks) {
                let pick = *picks[n].get_or_insert_with(|| self.pick_target(c, only_passing));
                let Some((target, score)) = pick else { continue };
                if queues_exhausted
                    && matches!(self.targets[target].target_kind, TargetKind::RunQueue(_))
                {
                    c.is_deferred = true;
                    continue;
                }
                if best.is_none_or(|(_, _, mean)| score.expected_completion < mean) {
                    best = Some((n, target, score.expected_completion));
                }
            }
            let Some((n, target, _)) = best else { break };
            let is_stale = |(m, pick): &(usize, &mut Option<Option<(usize, PlacementScore)>>)| {
                *m == n || pick.is_some_and(|p| p.is_some_and(|(index, _)| index == target))
            };
            picks.iter_mut().enumerate().filter(is_stale).for_each(|(_, pick)| *pick = None);
            let c = &mut candidates[n];
            let is_queue = matches!(self.targets[target].target_kind, TargetKind::RunQueue(_));
            if !is_queue && !self.is_within_limit(c, 1) {
                // Its team's limit allows no further task on any target. It is not tried again in this round, or the loop
                // would not end.
                c.remaining_tasks = 0;
            } else if !self.assign_task(c, target) {
                c.ranked_targets.pop();
            }
        }
        if !self.is_full || self.bound_tasks >= self.context.policy.bounds.max_bindings {
            return;
        }
        for c in candidates.iter_mut().filter(|c| !c.is_deferred) {
            // Machines for tasks beyond the bound on attempts would stand idle.
            let bindable = u32::try_from(self.attempt_room(c)).unwrap_or(u32::MAX);
            c.remaining_tasks = c.remaining_tasks.min(bindable);
            self.plan_scale_out(c, only_passing);
        }
    }

    /// Places one task of a candidate on a target. Returns false if the task cannot be bound.
    pub fn assign_task(&mut self, c: &mut PlacementCandidate, index: usize) -> bool {
        let target = &self.targets[index];
        let (type_index, zone) = (target.type_index, target.zone_index);
        let each = Resources::for_task(&c.spec);
        match target.target_kind.clone() {
            TargetKind::ReadyMachine => {
                let Some(machine) = target.machine.clone() else { return false };
                if !self.plan_binding(c, machine) {
                    return false;
                }
                self.targets[index].reserved_for_gangs.retain(|g| g.0 != c.id);
                self.targets[index].free.subtract(&each);
            }
            // For an upcoming job the slot counts as capacity, but a task that may not start yet is not queued.
            TargetKind::RunQueue(_) if self.planning_ahead => {
                self.add_planned_usage(c, 1);
                self.targets[index].free = Resources::default();
            }
            TargetKind::RunQueue(slot) => {
                self.queued_tasks += 1;
                self.plan.run_queues.push(slot.clone(), &c.id);
                let completion = self.targets[index].completion_id;
                self.targets[index].completion_id =
                    self.completion_after(completion, &c.id, type_index);
                if !self.plan.run_queues.has_capacity(&slot, self.context.policy.queue_limit) {
                    self.targets[index].free = Resources::default();
                }
            }
            TargetKind::BootingMachine | TargetKind::PlannedMachine => {
                let target = &mut self.targets[index];
                target.free.subtract(&each);
                // Further tasks with the same image need no fetch.
                if !target.images.contains(&c.image_index) {
                    target.images.push(c.image_index);
                }
                self.add_planned_usage(c, 1);
            }
        }
        c.remaining_tasks -= 1;
        c.add_tasks_in_zone(zone, 1);
        if let Some(waiting) = self.waiting_by_class.get_mut(&c.spec.class) {
            *waiting = waiting.saturating_sub(1);
        }
        true
    }
}
