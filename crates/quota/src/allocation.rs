//! Divides what a team's limit leaves among its jobs, when they want more than that.
//!
//! By priority; within a priority what runs until it is cancelled first; then every job class its share, so that a
//! larger class starves none; within a class the jobs that can still meet their deadline, the soonest first, then
//! those with least work left.
//!
//! Least work first postpones the largest jobs, and for ever where work keeps coming. So jobs that have waited long
//! are served first: each one task at once, and then a part of their class's share, the oldest first. It is the aging
//! of time-sharing systems (Corbató and others, 1962), by a clock that survives changes of leader.
//!
//! Without an order every job of a team at its limit would get a little at a time, and all would end late. Which jobs
//! can all be done in time is decided by Moore's rule ("An n job, one machine sequencing algorithm for minimizing the
//! number of late jobs", 1968), with the class's share as the machine: in the order of deadlines, and whenever one
//! would be late, the largest so far is postponed. It leaves the fewest late. The shares are max-min fair: no class
//! gets less so that one with more gets more yet. Where GPUs are limited too, a class's share is counted in the
//! resource of which it takes the largest part (dominant resource fairness; Ghodsi and others, 2011): a class of GPU
//! work and one of CPU work then each have what they lack most of.

use crate::constants::{
    AGED_JOBS_SHARE, AGING_THRESHOLD_MS, BUSY_TIME_FACTOR, MAX_JOB_TIME_MS,
    RUNNING_TASK_REMAINING_SHARE, TAIL_TASK_FACTOR,
};
use crate::quantities::{Quantity, ResourceQuantities};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a job uses and wants of its team's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaClaim {
    /// Number that stands for its job class.
    pub class: usize,
    /// Rank of its priority: the highest is served first.
    pub priority_rank: u8,
    /// Its tasks are replicas that run until they are cancelled; they are served before what ends by itself.
    pub runs_until_cancelled: bool,
    /// Its tasks start together or not at all, so what is left is reserved for it until all fit.
    pub all_or_nothing: bool,
    /// Time left to its deadline, or else to the objective of its class, ms; none: it has neither, or it has passed.
    pub time_to_deadline_ms: Option<f64>,
    /// Tasks that wait to be placed.
    pub waiting_tasks: u32,
    /// Tasks that run.
    pub running_tasks: f64,
    /// Resources that each task takes.
    pub per_task: ResourceQuantities,
    /// The same as one number, in CPUs: its part of the resource of which it takes the largest part.
    pub cpu_weight: f64,
    /// Mean run time of a task, ms.
    pub task_run_ms: f64,
    /// Time since the job was accepted, ms.
    pub age_ms: f64,
    /// At least one of its tasks runs or has run.
    pub has_started: bool,
}

impl QuotaClaim {
    /// Whether it has waited so long that it is served before jobs that could meet their deadline.
    fn has_waited_too_long(&self) -> bool {
        self.waiting_tasks > 0 && self.age_ms >= AGING_THRESHOLD_MS
    }

    /// Whether it could start if only replicas ran; `finite_capacity` is what those leave.
    fn fits_after_draining(&self, finite_capacity: ResourceQuantities) -> bool {
        !self.all_or_nothing
            || finite_capacity.covers(self.per_task.multiplied_by(self.waiting_tasks))
    }

    /// What it uses, in CPUs by its weight.
    fn used_cpus(&self) -> f64 {
        self.running_tasks * self.cpu_weight
    }

    /// What it uses and wants, in CPUs by its weight.
    fn demanded_cpus(&self) -> f64 {
        self.used_cpus() + f64::from(self.waiting_tasks) * self.cpu_weight
    }

    /// What it still has to compute, in CPU milliseconds by its weight.
    fn remaining_work(&self) -> f64 {
        let tasks =
            f64::from(self.waiting_tasks) + self.running_tasks * RUNNING_TASK_REMAINING_SHARE;
        tasks * self.cpu_weight * self.task_run_ms
    }
}

/// Divides `remaining`, what a team's limit leaves, among its jobs: how many tasks of each claim may start, by the
/// claims' indices. `finite_capacity` is what the limit lets the team's finite jobs use at once. Among equal claims
/// the first is served first.
pub fn allocate_quota(
    remaining: ResourceQuantities,
    finite_capacity: ResourceQuantities,
    claims: &[QuotaClaim],
) -> Vec<u32> {
    let mut allocation = Allocation {
        claims: claims.to_vec(),
        remaining,
        finite_capacity,
        unclaimed_cpus: finite_capacity.cpus.to_f64(),
        reserved: ResourceQuantities::ZERO,
        has_reservation: vec![false; claims.len()],
        granted_tasks: vec![0; claims.len()],
    };
    let mut ranks: Vec<u8> = claims.iter().map(|claim| claim.priority_rank).collect();
    ranks.sort_unstable_by_key(|rank| Reverse(*rank));
    ranks.dedup();
    for rank in ranks {
        allocate_rank(&mut allocation, rank);
    }
    allocation.grant_leftovers();
    allocation.granted_tasks
}

/// Serves the claims of one priority.
fn allocate_rank(allocation: &mut Allocation, rank: u8) {
    for index in
        allocation.indices_where(|claim| claim.priority_rank == rank && claim.runs_until_cancelled)
    {
        let granted = allocation.grant_tasks(index, u32::MAX);
        allocation.finite_capacity -= allocation.claims[index].per_task.multiplied_by(granted);
    }
    let finite = allocation
        .indices_where(|claim| claim.priority_rank == rank && !claim.runs_until_cancelled);
    allocation.drop_blocked_demand(&finite);
    let aged = allocation.aged_by_age(&finite);
    allocation.start_aged(&aged);
    let mut classes: Vec<usize> =
        finite.iter().map(|index| allocation.claims[*index].class).collect();
    classes.sort_unstable();
    classes.dedup();
    let claims_by_class: Vec<Vec<usize>> = classes
        .iter()
        .map(|class| {
            let is_member = |index: &usize| allocation.claims[*index].class == *class;
            finite.iter().copied().filter(is_member).collect()
        })
        .collect();
    let demands: Vec<f64> = claims_by_class
        .iter()
        .map(|members| members.iter().map(|index| allocation.claims[*index].demanded_cpus()).sum())
        .collect();
    let shares = max_min_fair_shares(allocation.unclaimed_cpus, &demands);
    for (members, share) in claims_by_class.iter().zip(shares) {
        allocation.grant_class(members, share, &aged);
    }
    allocation.unclaimed_cpus -= demands.iter().sum::<f64>().min(allocation.unclaimed_cpus);
}

/// The division of one team's quota while it is being worked out. Claims go by their index.
struct Allocation {
    claims: Vec<QuotaClaim>,
    /// What may still be granted now.
    remaining: ResourceQuantities,
    /// What the limit lets finite jobs use at once, beside the replicas granted so far.
    finite_capacity: ResourceQuantities,
    /// CPUs that higher priorities leave to be divided into shares.
    unclaimed_cpus: f64,
    /// What all-or-nothing claims with a reservation need, and which claims those are.
    reserved: ResourceQuantities,
    has_reservation: Vec<bool>,
    /// Tasks that may start, by claim.
    granted_tasks: Vec<u32>,
}

impl Allocation {
    fn indices_where(&self, condition: impl Fn(&QuotaClaim) -> bool) -> Vec<usize> {
        (0..self.claims.len()).filter(|index| condition(&self.claims[*index])).collect()
    }

    /// What cannot start while the team's services run wants nothing yet. Services end when their users say so, and
    /// all claims behind it would wait as long if quota were reserved for it or counted as its share.
    fn drop_blocked_demand(&mut self, finite: &[usize]) {
        for index in finite {
            let claim = &mut self.claims[*index];
            if !claim.fits_after_draining(self.finite_capacity) {
                claim.waiting_tasks = 0;
            }
        }
    }

    /// Those of some claims that have waited too long, the oldest first.
    fn aged_by_age(&self, indices: &[usize]) -> Vec<usize> {
        let claims = &self.claims;
        let mut aged: Vec<usize> =
            indices.iter().copied().filter(|index| claims[*index].has_waited_too_long()).collect();
        aged.sort_by(|a, b| claims[*b].age_ms.total_cmp(&claims[*a].age_ms).then(a.cmp(b)));
        aged
    }

    /// Lets every aged claim that has not started begin with one task. Of the all-or-nothing claims only the oldest
    /// has quota reserved: what it cannot use yet others may.
    fn start_aged(&mut self, aged: &[usize]) {
        let mut has_reserved = false;
        for &index in aged {
            let claim = &self.claims[index];
            if claim.has_started {
                continue;
            }
            if !claim.all_or_nothing {
                self.grant_tasks(index, 1);
            } else if !has_reserved {
                has_reserved = true;
                self.grant_tasks(index, u32::MAX);
            }
        }
    }

    /// Divides a class's share: a part of it by age, then all of it in service order.
    fn grant_class(&mut self, members: &[usize], share: f64, aged: &[usize]) {
        let mut used_cpus = self.used_or_granted_cpus(members);
        // All-or-nothing claims have had their turn by age: otherwise small ones would wait for the largest.
        let aged: Vec<usize> = aged
            .iter()
            .copied()
            .filter(|index| members.contains(index) && !self.claims[*index].all_or_nothing)
            .collect();
        let mut aged_room = (share * AGED_JOBS_SHARE - self.used_or_granted_cpus(&aged)).max(0.0);
        let rate = if aged.is_empty() { share } else { share * (1.0 - AGED_JOBS_SHARE) };
        let in_service_order = service_order(rate, &self.claims, members);
        for index in aged {
            let granted_cpus = self.grant_cpus(index, aged_room.min(share - used_cpus));
            used_cpus += granted_cpus;
            aged_room -= granted_cpus;
        }
        for index in in_service_order {
            used_cpus += self.grant_cpus(index, share - used_cpus);
        }
    }

    fn used_or_granted_cpus(&self, indices: &[usize]) -> f64 {
        let cpus = |index: &usize| {
            let claim = &self.claims[*index];
            claim.used_cpus() + f64::from(self.granted_tasks[*index]) * claim.cpu_weight
        };
        indices.iter().map(cpus).sum()
    }

    /// Grants tasks for so many CPUs, and returns the CPUs of those granted. The last task may exceed `room` by less
    /// than itself: otherwise a task larger than its share would never start.
    fn grant_cpus(&mut self, index: usize, room: f64) -> f64 {
        let claim = &self.claims[index];
        let cpus_per_task = claim.cpu_weight;
        let tasks = (room / cpus_per_task).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
        let tasks = if claim.all_or_nothing && tasks > 0 { u32::MAX } else { tasks };
        f64::from(self.grant_tasks(index, tasks)) * cpus_per_task
    }

    /// Grants a claim up to so many tasks more of what remains, and returns how many.
    ///
    /// For an all-or-nothing claim that does not fit, quota is reserved: others then have what the limit leaves beside
    /// it, their running tasks counted, and so never delay it. Not counted are claims that came sooner or rank higher
    /// and have nothing waiting: they end by themselves, and nothing takes their place. It is the backfilling of batch
    /// schedulers (Lifka, "The ANL/IBM SP scheduling system", 1995), by quantities instead of times.
    fn grant_tasks(&mut self, index: usize, max_tasks: u32) -> u32 {
        let claim = &self.claims[index];
        let wanted = (claim.waiting_tasks - self.granted_tasks[index]).min(max_tasks);
        let fitting = wanted.min(self.remaining.fit_count(claim.per_task));
        if !claim.all_or_nothing || fitting == claim.waiting_tasks {
            self.granted_tasks[index] += fitting;
            self.remaining -= claim.per_task.multiplied_by(fitting);
            return fitting;
        }
        // Where nothing is left nothing need be kept from others.
        if wanted > 0 && self.remaining.cpus > Quantity::ZERO && !self.has_reservation[index] {
            self.has_reservation[index] = true;
            self.reserved += claim.per_task.multiplied_by(wanted);
            let others_may_use =
                (self.finite_capacity - self.reserved).excess_over(self.lasting_usage(index));
            self.remaining = self.remaining.zip_with(others_may_use, Quantity::min);
        }
        0
    }

    /// What the finite claims other than this one use or were granted, without those that will be gone by the time it
    /// starts.
    fn lasting_usage(&self, index: usize) -> ResourceQuantities {
        let claim = &self.claims[index];
        let ends_first = |other: &QuotaClaim| {
            other.waiting_tasks == 0
                && (other.priority_rank > claim.priority_rank || other.age_ms > claim.age_ms)
        };
        let others = self.claims.iter().zip(&self.granted_tasks).enumerate();
        others
            .filter(|(other_index, (other, _))| {
                *other_index != index && !other.runs_until_cancelled && !ends_first(other)
            })
            .map(|(_, (other, granted))| {
                other.per_task.multiplied_by(other.running_tasks as u32 + granted)
            })
            .sum()
    }

    /// Grants what is still left, by priority and age: what higher priorities want and cannot have yet leaves lower
    /// ones no share, but something may be left for them. All-or-nothing claims have had their turn: now they take
    /// only what they fit into, and nothing more is reserved.
    fn grant_leftovers(&mut self) {
        let claims = &self.claims;
        let mut order: Vec<usize> = (0..claims.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&claims[*a], &claims[*b]);
            b.priority_rank.cmp(&a.priority_rank).then(b.age_ms.total_cmp(&a.age_ms))
        });
        for index in order {
            let claim = &self.claims[index];
            let whole = claim.per_task.multiplied_by(claim.waiting_tasks);
            if !claim.all_or_nothing || self.remaining.covers(whole) {
                self.grant_tasks(index, u32::MAX);
            }
        }
    }
}

/// Max-min fair shares of a whole: each gets what it demands, or as much as any that demands more.
fn max_min_fair_shares(whole: f64, demands: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = whole.max(0.0);
    for (served, index) in by_demand.iter().enumerate() {
        shares[*index] = demands[*index].min(left / (demands.len() - served) as f64);
        left -= shares[*index];
    }
    shares
}

/// The order in which some of the claims are served: those that can meet their deadline, by deadline, then the others,
/// by remaining work. `rate`: CPUs at which they are worked off.
fn service_order(rate: f64, claims: &[QuotaClaim], indices: &[usize]) -> Vec<usize> {
    let is_feasible = feasible_deadlines(rate, claims, indices);
    let sort_key = |index: usize| match is_feasible[index] {
        true => claims[index].time_to_deadline_ms.unwrap_or(f64::MAX),
        false => claims[index].remaining_work(),
    };
    let mut order = indices.to_vec();
    order.sort_by(|a, b| {
        let feasible_first = is_feasible[*b].cmp(&is_feasible[*a]);
        feasible_first.then(sort_key(*a).total_cmp(&sort_key(*b))).then(a.cmp(b))
    });
    order
}

/// Which of some claims can all meet their deadline, by Moore's rule; by index, false for all others.
fn feasible_deadlines(rate: f64, claims: &[QuotaClaim], indices: &[usize]) -> Vec<bool> {
    let mut is_feasible = vec![false; claims.len()];
    // A claim whose task could not end in time even if it began now is not waited for.
    let time_left = |index: &usize| {
        let claim = &claims[*index];
        let time_left_ms = claim.time_to_deadline_ms?;
        (claim.waiting_tasks > 0 && time_left_ms >= claim.task_run_ms)
            .then_some((time_left_ms, *index))
    };
    let mut by_deadline: Vec<(f64, usize)> = indices.iter().filter_map(time_left).collect();
    by_deadline.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let run_ms = |index: usize| {
        let work = claims[index].remaining_work();
        (work / rate.max(f64::MIN_POSITIVE)).min(MAX_JOB_TIME_MS) as u64
    };
    // What has nothing waiting runs to its end whatever is postponed.
    let mut busy_ms: u64 = indices
        .iter()
        .filter(|index| claims[**index].waiting_tasks == 0)
        .map(|index| run_ms(*index))
        .sum();
    // The claim with most work on top; among equals the later is postponed.
    let mut accepted: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    for (time_left_ms, index) in by_deadline {
        let own_ms = run_ms(index);
        accepted.push((own_ms, index));
        busy_ms += own_ms;
        is_feasible[index] = true;
        let end_ms =
            busy_ms as f64 * BUSY_TIME_FACTOR + claims[index].task_run_ms * TAIL_TASK_FACTOR;
        if end_ms > time_left_ms
            && let Some((postponed_ms, postponed)) = accepted.pop()
        {
            busy_ms -= postponed_ms;
            is_feasible[postponed] = false;
        }
    }
    is_feasible
}
