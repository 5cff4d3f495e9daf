//! One mapping event: prune lines, let tasks choose, fill machines.

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

/// Whether a pass is due: on a change (false), or when a round's time has come (true).
pub fn due_cycle(tables: &ClusterState, pass_ms: u64, round_ms: u64, now: Time) -> Option<bool> {
    if now < tables.last_cycle_at + pass_ms {
        return None;
    }
    if now >= tables.last_round_at + round_ms {
        return Some(true);
    }
    tables.needs_scheduling.then_some(false)
}

/// Plays a mapping event. A full one is the design's round; the other starts, between rounds, what
/// finds free room. A pass that has bound its share goes on in the next. Rooms must be counted.
pub fn plan_cycle(tables: &ClusterState, view: PlanningContext, full: bool) -> CyclePlan {
    let mut round = MappingRound::new(tables, view, full);
    if full {
        round.prune_queues();
    }
    round.index_images();
    round.collect_targets();
    round.reserve_service_room();
    round.requeue_for_free_room();
    round.map_jobs();
    let MappingRound {
        plan: mut out,
        planned_machines: wishes,
        types,
        zones,
        bound_tasks: binds,
        unplaced_jobs: idle,
        ..
    } = round;
    out.cut_short = binds >= view.policy.bounds.max_bindings;
    if full && !out.cut_short {
        let wish =
            |((kind, zone, spot), number): ((usize, usize, bool), u32)| ProvisioningRequest {
                machine_type: types[kind].name.clone(),
                zone: zones[zone].clone(),
                spot,
                count: number,
            };
        out.unplaced_jobs = Some(idle);
        out.provisioning_requests = Some(wishes.into_iter().map(wish).collect());
    }
    out
}

/// Priorities come first, then tiers, then work within its team's guarantee, then what has waited so long that it
/// is to begin; only then what plug-ins prefer.
type PlacementLevel = (Reverse<Priority>, TierAssignment, bool, bool, i64, Reverse<i64>);

impl MappingRound<'_> {
    /// If misses reach the toggle while passing tasks wait, tasks in lines at or below the
    /// threshold leave them.
    fn prune_queues(&mut self) {
        if self.cluster_state.deadline_misses < self.view.policy.dropping_toggle {
            return;
        }
        let waits =
            self.cluster_state.jobs.values().any(|j| is_placeable(j) && self.unqueued_tasks(j) > 0);
        if !waits {
            return;
        }
        for slot in self.plan.run_queues.slots() {
            let Some((kind, mut end)) = self.executing_completion(&slot) else { continue };
            let line: Vec<JobId> = self.plan.run_queues.queue(&slot).cloned().collect();
            let mut keep = Vec::with_capacity(line.len());
            for id in &line {
                let Some(job) = self.cluster_state.jobs.get(id) else { continue };
                let due = job.deadline;
                let threshold = self.view.policy.for_job(id).pruning_threshold;
                let run = self.cluster_state.run_time_history.run_time(
                    id,
                    &job.spec,
                    &self.types[kind].name,
                );
                let before = self.completion_times.get(end);
                let stays = due
                    .is_none_or(|d| before.convolve(&run).probability_before(d as f64) > threshold);
                if stays {
                    end = self.completion_after(end, id, kind);
                }
                keep.push(stays);
            }
            let dropped = self.plan.run_queues.retain(&slot, &keep);
            if dropped > 0 {
                tracing::debug!(machine = %slot.0, dropped, "tasks pruned from a run queue");
            }
        }
    }

    /// Room that has become free beats standing in a line: whoever stands in one and fits chooses
    /// again.
    fn requeue_for_free_room(&mut self) {
        let now = |p: &PlacementTarget| {
            p.target_kind == TargetKind::ReadyMachine && p.free.cpus > AMOUNT_TOLERANCE
        };
        let free: Vec<usize> = (0..self.targets.len()).filter(|n| now(&self.targets[*n])).collect();
        for id in self.plan.run_queues.jobs() {
            let Some(c) = self.placement_candidate(&id) else { continue };
            if free.iter().any(|n| self.is_suitable(&c, &self.targets[*n])) {
                self.plan.run_queues.remove_job(&id);
            }
        }
    }

    /// Lets every job with waiting tasks choose, by priority, guarantee and chance.
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
        let mut choosers: Vec<PlacementCandidate> =
            ids.iter().filter_map(|id| self.placement_candidate(id)).collect();
        self.apply_team_limits(&mut choosers);
        self.limit_aged_gangs(&mut choosers);
        for c in choosers.into_iter().filter(|c| c.remaining_tasks > 0) {
            *self.waiting_by_class.entry(c.spec.class.clone()).or_default() += c.remaining_tasks;
            if c.tier.ordered {
                // The line alone says who is next: no clock, no guess and no plug-in moves it.
                let level = (Reverse(c.spec.priority), c.tier, false, false, 0, Reverse(0));
                levels.entry(level).or_default().push(c);
            } else if c.is_overdue && !c.is_aged {
                overdue.push(c);
            } else {
                let within = self.is_within_guarantee(&c);
                let steered = self.view.policy.for_job(&c.id);
                let score = (steered.score * SCORE_STEPS_PER_UNIT) as i64;
                let beyond = !within;
                let (rank, later) = (Reverse(c.spec.priority), !c.is_aged);
                let level = (rank, c.tier, beyond, later, steered.class_order, Reverse(score));
                levels.entry(level).or_default().push(c);
            }
        }
        let mut rest = Vec::new();
        for ((_, tier, beyond, later, ..), mut level) in levels {
            if tier.ordered {
                rest.extend(self.serve_in_order(level));
                continue;
            }
            self.rotate_jobs(&mut level);
            let (gangs, mut others): (Vec<PlacementCandidate>, Vec<PlacementCandidate>) =
                level.into_iter().partition(|c| c.spec.kind == JobKind::Gang && c.spec.tasks > 1);
            for mut gang in gangs {
                self.place_gang(&mut gang);
                if gang.remaining_tasks > 0 {
                    self.preempt_for_gang(&mut gang, !beyond);
                }
            }
            self.preempt_for_services(&mut others);
            self.preempt_for_waiting_work(&mut others, !beyond);
            self.map_candidates(&mut others, true);
            if !later {
                // Chance or no chance, it begins on what is free now; the rest of it is mapped as ever.
                self.map_candidates(&mut others, false);
                let waits = others.iter().filter(|c| self.is_full && c.remaining_tasks > 0);
                for c in waits.collect::<Vec<_>>() {
                    let tasks = if c.spec.kind == JobKind::Array { 1 } else { c.remaining_tasks };
                    self.reserve_room(c, tasks, &[None]);
                }
            }
            others.iter_mut().for_each(PlacementCandidate::release_search_memory);
            rest.extend(others.into_iter().filter(|c| c.remaining_tasks > 0 && !c.is_deferred));
        }
        self.rotate_jobs(&mut rest);
        self.map_candidates(&mut rest, false);
        self.record_unplaced(&rest);
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

    /// What is about to begin, once those that it awaits are done, finds what it needs booted by then: what is free when
    /// everybody else has chosen, or boots already, is counted on, and the rest is rented.
    fn plan_upcoming_jobs(&mut self) {
        if !self.is_full || self.bound_tasks >= self.view.policy.bounds.max_bindings {
            return;
        }
        self.planning_ahead = true;
        let coming: Vec<JobId> = self
            .cluster_state
            .upcoming_tasks(self.view.now)
            .into_iter()
            .map(|j| j.id.clone())
            .collect();
        for id in coming.into_iter().take(self.view.policy.bounds.max_jobs_per_level) {
            let Some(c) = self.placement_candidate(&id) else { continue };
            *self.waiting_by_class.entry(c.spec.class.clone()).or_default() += c.remaining_tasks;
            let mut one = [c];
            self.map_candidates(&mut one, true);
            self.map_candidates(&mut one, false);
        }
    }

    /// Of those that place what their team's limit leaves, who found no place and nothing to rent.
    fn record_unplaced(&mut self, choosers: &[PlacementCandidate]) {
        let found_none = |c: &&PlacementCandidate| {
            c.is_limited_by_quota && c.remaining_tasks > 0 && !c.is_deferred && !c.is_service()
        };
        self.unplaced_jobs.extend(choosers.iter().filter(found_none).map(|c| c.id.clone()));
    }

    /// Of gangs that have waited long only the oldest few come first at once: where more is wanted than there is, all
    /// would else wait for as long as the longest.
    fn limit_aged_gangs(&self, choosers: &mut [PlacementCandidate]) {
        let accepted = |c: &PlacementCandidate| {
            self.cluster_state.jobs.get(&c.id).map_or(u64::MAX, |j| j.accepted_wall)
        };
        let mut old: Vec<&mut PlacementCandidate> =
            choosers.iter_mut().filter(|c| c.is_aged && c.spec.kind == JobKind::Gang).collect();
        old.sort_by_cached_key(|c| (accepted(c), c.id.clone()));
        old.into_iter().skip(MAX_AGED_GANGS).for_each(|c| c.is_aged = false);
    }

    /// Serves a tier in the order of its line, one job after the other: whoever is ahead has its room, and has
    /// others stopped for it, before the next is looked at. Gives back those that still lack something.
    fn serve_in_order(&mut self, mut level: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
        let places = self.cluster_state.queue_order(&self.view.settings.settings.teams);
        let number: HashMap<&str, (usize, bool)> = places
            .iter()
            .enumerate()
            .map(|(n, p)| (p.job_id(), (n, p.is_beyond_guarantee())))
            .collect();
        let place =
            |c: &PlacementCandidate| number.get(&*c.id).copied().unwrap_or((usize::MAX, true));
        level.sort_by_cached_key(|c| place(c).0);
        level.truncate(self.view.policy.bounds.max_jobs_per_level);
        let mut left = Vec::new();
        for mut c in level {
            let beyond = place(&c).1;
            if c.spec.kind == JobKind::Gang && c.spec.tasks > 1 {
                self.place_gang(&mut c);
                if c.remaining_tasks > 0 {
                    self.preempt_for_gang(&mut c, !beyond);
                }
                continue;
            }
            let one = std::slice::from_mut(&mut c);
            self.preempt_for_services(one);
            self.preempt_for_waiting_work(one, !beyond);
            self.map_candidates(one, true);
            c.release_search_memory();
            if c.remaining_tasks > 0 && !c.is_deferred {
                left.push(c);
            }
        }
        left
    }

    /// Of more jobs than a pass may place, others have their turn with each pass.
    fn rotate_jobs(&self, jobs: &mut Vec<PlacementCandidate>) {
        let most = self.view.policy.bounds.max_jobs_per_level;
        if jobs.len() > most {
            let first = self.cluster_state.cycles as usize * most % jobs.len();
            jobs.rotate_left(first);
            jobs.truncate(most);
        }
    }
}
