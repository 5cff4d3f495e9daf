//! The mapping of choosers' tasks to places.

use super::candidate::{NO_SCORE, PlacementCandidate, PlacementScore, TargetRank};
use super::mapping_round::MappingRound;
use super::target::{PlacementTarget, TargetKind};
use crate::constants::MS_PER_S;
use crate::job::{JobId, JobKind};
use crate::machine::Resources;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

impl MappingRound<'_> {
    /// A job as a chooser.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn placement_candidate(&mut self, id: &JobId) -> Option<PlacementCandidate> {
        let job = self.cluster_state.jobs.get(id)?;
        let spec = job.spec.clone();
        let steered = self.view.policy.for_job(id);
        let mut c = PlacementCandidate {
            id: id.clone(),
            pruning_threshold: steered.pruning_threshold,
            spot_share: steered.spot_share,
            deadline: job.deadline,
            is_overdue: job.missed_deadline,
            remaining_tasks: self.unqueued_tasks(job),
            claims_guarantee: false,
            may_preempt_guaranteed: false,
            is_aged: job.is_overdue_to_start(self.view.now),
            tier: job.tier,
            is_deferred: false,
            excluded_machines: job.bad_machines.iter().cloned().collect(),
            is_limited_by_quota: false,
            team_index: self.view.settings.settings.teams.iter().position(|t| t.name == spec.team),
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
        // What is to be avoided is, unless nothing else is allowed: every accepted job must run.
        let kept: Vec<bool> = allowed
            .iter()
            .zip(self.types)
            .map(|(a, t)| *a && !steered.avoided_types.contains(&t.name))
            .collect();
        if kept.contains(&true) {
            allowed = kept;
        }
        // Every type that the job allows has accelerators that it does not need, or only the
        // others count.
        let mut both = allowed.iter().zip(self.types.iter());
        let only_wasteful = !both.any(|(a, t)| *a && !t.is_wasted_on(&c.spec));
        c.allowed_types = allowed
            .iter()
            .zip(self.types.iter())
            .map(|(a, t)| *a && t.is_wasted_on(&c.spec) == only_wasteful)
            .collect();
        if c.spec.spread || c.spec.one_zone {
            let held = job.attempts.values().filter(|a| a.occupies_resources());
            let zones: Vec<Option<String>> = held
                .map(|a| self.cluster_state.machines.get(&a.machine).map(|m| m.zone.clone()))
                .collect();
            for zone in zones {
                // A machine whose zone is not known could be in any: it counts in all.
                match zone.filter(|z| !z.is_empty()) {
                    Some(zone) => {
                        let number = self.zone_index(&zone);
                        c.add_task_in_zone(number);
                    }
                    None => c.tasks_in_unknown_zone += 1,
                }
            }
        }
        Some(c)
    }

    /// Whether a chooser's next task may go to a place.
    pub fn is_suitable(&self, c: &PlacementCandidate, place: &PlacementTarget) -> bool {
        c.available_room(place).fits_task(&c.spec)
            && c.is_allowed_on(place.type_index, place.zone_index, place.spot, &self.zones)
            && (c.may_use_queues || !matches!(place.target_kind, TargetKind::RunQueue(_)))
            && (c.excluded_machines.is_empty()
                || place.machine.as_ref().is_none_or(|m| !c.excluded_machines.contains(m)))
    }

    /// Chance and completion of a chooser's next task at a place.
    fn score_target(&mut self, c: &mut PlacementCandidate, index: usize) -> PlacementScore {
        let place = &self.targets[index];
        let (end, kind) = (place.completion_id, place.type_index);
        let here = place.images.contains(&c.image_index);
        let now = self.view.now as f64;
        if let Some((chance, wait)) = c.cached_scores.get(end).map(|s| s[usize::from(here)])
            && !wait.is_nan()
        {
            return PlacementScore {
                success_probability: f64::from(chance),
                expected_completion: now + f64::from(wait),
            };
        }
        self.plan.scores_computed += 1;
        let t = &self.types[kind];
        let fetch = if here { 0.0 } else { t.fetch_ms(&c.spec) };
        let before = self.completion_times.get(end);
        let score = if c.spec.kind == JobKind::Service {
            PlacementScore { success_probability: 1.0, expected_completion: before.mean() + fetch }
        } else {
            let run = self.cluster_state.run_time_history.run_time(&c.id, &c.spec, &t.name);
            let end = before.convolve(&run).shifted(fetch);
            PlacementScore {
                success_probability: c.deadline.map_or(1.0, |d| end.probability_before(d as f64)),
                expected_completion: end.mean(),
            }
        };
        if c.cached_scores.len() <= end {
            c.cached_scores.resize(end + 1, [NO_SCORE; 2]);
        }
        let packed = (score.success_probability as f32, (score.expected_completion - now) as f32);
        c.cached_scores[end][usize::from(here)] = packed;
        PlacementScore {
            success_probability: f64::from(packed.0),
            expected_completion: now + f64::from(packed.1),
        }
    }

    fn rank_target(&mut self, c: &mut PlacementCandidate, index: usize) -> (TargetRank, u32) {
        let score = self.score_target(c, index);
        let place = &self.targets[index];
        // None is below 0: adding a half and cutting rounds, without a call.
        let missed = 50 - (score.success_probability * 50.0 + 0.5).min(50.0) as u64;
        let wait = (score.expected_completion - self.view.now as f64).max(0.0);
        let wait = (wait / MS_PER_S + 0.5).min(f64::from((1 << 24) - 1)) as u64;
        let room = (place.free.cpus * 1e3).clamp(0.0, f64::from(u32::MAX)) as u64;
        (Reverse((missed << 56 | wait << 32 | room, index as u32)), place.completion_id as u32)
    }

    /// The best place for a chooser's next task, if any suits. Places only get fuller and later
    /// within a round, so the order of the heap stays a lower bound.
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
            let &(Reverse((_, index)), end) = c.ranked_targets.peek()?;
            let (index, end) = (index as usize, end as usize);
            if !self.is_suitable(c, &self.targets[index]) {
                c.ranked_targets.pop();
            } else if self.targets[index].completion_id != end {
                // Another has joined that line since.
                c.ranked_targets.pop();
                let entry = self.rank_target(c, index);
                c.ranked_targets.push(entry);
            } else {
                return Some((index, self.score_target(c, index)));
            }
        }
    }

    /// The best place above the threshold; without `passing`, the best.
    fn pick_target(
        &mut self,
        c: &mut PlacementCandidate,
        passing: bool,
    ) -> Option<(usize, PlacementScore)> {
        let (index, score) = self.best_target(c)?;
        if passing && score.success_probability <= c.pruning_threshold {
            return None;
        }
        // Without a deadline every place passes: a line is worth waiting in only if a machine
        // rented now would not be sooner.
        if c.deadline.is_none()
            && matches!(self.targets[index].target_kind, TargetKind::RunQueue(_))
            && self.completion_on_new_machine(c).is_some_and(|end| end < score.expected_completion)
        {
            return None;
        }
        Some((index, score))
    }

    /// When a chooser's task would end on a machine rented now: worked out once in a search, since a chooser
    /// picks anew with each task that any of hundreds places.
    fn completion_on_new_machine(&mut self, c: &mut PlacementCandidate) -> Option<f64> {
        if let Some(known) = c.new_machine_completion {
            return known;
        }
        let end = self.cheapest_new_machine(c, true).map(|(kind, ..)| {
            let t = &self.types[kind];
            let up = self.view.now as f64 + t.boot_ms + t.fetch_ms(&c.spec);
            up + self.run_time(c, kind).mean()
        });
        c.new_machine_completion = Some(end);
        end
    }

    /// Each chooser picks its place of highest chance; the one of least completion time takes
    /// its own; until nobody finds a place. `passing`: only above the threshold. Otherwise those
    /// left take what nobody passing wanted, and plan rentals for what finds nothing.
    pub fn map_candidates(&mut self, choosers: &mut [PlacementCandidate], passing: bool) {
        for c in choosers.iter_mut() {
            c.start_search(passing);
        }
        // A pick holds until its place is taken or its chooser takes one: hundreds of choosers need not look
        // again at each of hundreds of tasks.
        let mut picks: Vec<Option<Option<(usize, PlacementScore)>>> = vec![None; choosers.len()];
        while self.bound_tasks < self.view.policy.bounds.max_bindings {
            let joined = self.queued_tasks >= self.view.policy.bounds.max_queue_joins;
            let mut best: Option<(usize, usize, f64)> = None;
            let open =
                |(_, c): &(usize, &mut PlacementCandidate)| c.remaining_tasks > 0 && !c.is_deferred;
            for (n, c) in choosers.iter_mut().enumerate().filter(open) {
                let pick = *picks[n].get_or_insert_with(|| self.pick_target(c, passing));
                let Some((place, score)) = pick else { continue };
                if joined && matches!(self.targets[place].target_kind, TargetKind::RunQueue(_)) {
                    c.is_deferred = true;
                    continue;
                }
                if best.is_none_or(|(_, _, mean)| score.expected_completion < mean) {
                    best = Some((n, place, score.expected_completion));
                }
            }
            let Some((n, place, _)) = best else { break };
            let stale = |(m, pick): &(usize, &mut Option<Option<(usize, PlacementScore)>>)| {
                *m == n || pick.is_some_and(|p| p.is_some_and(|(index, _)| index == place))
            };
            picks.iter_mut().enumerate().filter(stale).for_each(|(_, pick)| *pick = None);
            let c = &mut choosers[n];
            let lined = matches!(self.targets[place].target_kind, TargetKind::RunQueue(_));
            if !lined && !self.is_within_limit(c, 1) {
                // Nothing more of it fits its team's limit, wherever: not tried again in this
                // round, or a job at the limit would try for ever.
                c.remaining_tasks = 0;
            } else if !self.assign_task(c, place) {
                c.ranked_targets.pop();
            }
        }
        if !self.is_full || self.bound_tasks >= self.view.policy.bounds.max_bindings {
            return;
        }
        for c in choosers.iter_mut().filter(|c| !c.is_deferred) {
            self.plan_scale_out(c, passing);
        }
    }

    /// One task of the chooser takes a place. False if it cannot.
    pub fn assign_task(&mut self, c: &mut PlacementCandidate, index: usize) -> bool {
        let place = &self.targets[index];
        let (kind, zone) = (place.type_index, place.zone_index);
        let each = Resources::for_task(&c.spec);
        match place.target_kind.clone() {
            TargetKind::ReadyMachine => {
                let Some(machine) = place.machine.clone() else { return false };
                if !self.plan_binding(c, machine) {
                    return false;
                }
                self.targets[index].reserved_for_gangs.retain(|g| g.0 != c.id);
                self.targets[index].free.subtract(&each);
            }
            // What ends by then is counted on as well; but nobody stands in a line who may not begin.
            TargetKind::RunQueue(_) if self.planning_ahead => {
                self.add_planned_usage(c);
                self.targets[index].free = Resources::default();
            }
            TargetKind::RunQueue(slot) => {
                self.queued_tasks += 1;
                self.plan.run_queues.push(slot.clone(), &c.id);
                let end = self.completion_after(self.targets[index].completion_id, &c.id, kind);
                self.targets[index].completion_id = end;
                if !self.plan.run_queues.has_capacity(&slot, self.view.policy.queue_limit) {
                    self.targets[index].free = Resources::default();
                }
            }
            TargetKind::BootingMachine | TargetKind::PlannedMachine => {
                let place = &mut self.targets[index];
                place.free.subtract(&each);
                // The same image is fetched once.
                if !place.images.contains(&c.image_index) {
                    place.images.push(c.image_index);
                }
                self.add_planned_usage(c);
            }
        }
        c.remaining_tasks -= 1;
        c.add_task_in_zone(zone);
        if let Some(d) = self.waiting_by_class.get_mut(&c.spec.class) {
            *d = d.saturating_sub(1);
        }
        true
    }
}
