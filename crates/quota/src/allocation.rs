//! Divides a team's remaining quota among its jobs when they request more than that.
//!
//! Jobs are served by priority. Within a priority, jobs that run until they are cancelled (services) come first. Then
//! each job class gets its share, so that a large class does not starve the others. Within a class, jobs that can still
//! meet their deadline are served by earliest deadline, then the other jobs by least remaining work.
//!
//! Serving the least remaining work first starves the largest jobs while new work keeps arriving. Jobs above an age
//! threshold are therefore served first: each starts with one task, and a fraction of their class's share is reserved
//! for them, oldest first. This is the aging of time-sharing systems (Corbató et al., 1962). Ages are based on the
//! acceptance time and so survive changes of leader.
//!
//! If all jobs of a team at its limit made progress at once, all would finish late. The jobs that can meet their
//! deadlines are selected by Moore's algorithm ("An n job, one machine sequencing algorithm for minimizing the number
//! of late jobs", 1968), with the class's share as the machine: jobs are added by deadline, and whenever one would be
//! late, the one with the most remaining work so far is postponed. This minimises the number of late jobs.
//!
//! Shares are max-min fair: no class's share is reduced to give more to a class that already has more. If GPUs are
//! limited too, a class's share is counted in its dominant resource (dominant resource fairness, Ghodsi et al., 2011),
//! so that classes of GPU work and of CPU work each get a share of the resource that they need most.

use crate::constants::{
    AGED_JOBS_SHARE, AGING_THRESHOLD_MS, BUSY_TIME_FACTOR, MAX_JOB_TIME_MS,
    RUNNING_TASK_REMAINING_SHARE, TAIL_TASK_FACTOR,
};
use crate::quantities::{Quantity, ResourceQuantities};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A job's usage of and demand on its team's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaClaim {
    /// Number that identifies its job class.
    pub class: usize,
    /// Rank of its priority; higher ranks are served first.
    pub priority_rank: u8,
    /// Whether its tasks are service replicas, which run until they are cancelled. They are served before finite jobs.
    pub runs_until_cancelled: bool,
    /// Whether its tasks start together or not at all (a gang). Quota can be reserved for it until all of them fit.
    pub all_or_nothing: bool,
    /// Time to its deadline, or else to the objective of its class, ms; `None` if it has neither or the time has
    /// passed.
    pub time_to_deadline_ms: Option<f64>,
    /// Number of tasks that wait to be placed.
    pub waiting_tasks: u32,
    /// Number of running tasks.
    pub running_tasks: f64,
    /// Resources of each task.
    pub per_task: ResourceQuantities,
    /// Resources of each task as one number: its share of the dominant resource, converted to CPUs.
    pub cpu_weight: f64,
    /// Mean run time of a task, ms.
    pub task_run_ms: f64,
    /// Time since the job was accepted, ms.
    pub age_ms: f64,
    /// Whether at least one of its tasks runs or has run.
    pub has_started: bool,
}

impl QuotaClaim {
    /// Whether it has waiting tasks and has reached [`AGING_THRESHOLD_MS`].
    fn has_waited_too_long(&self) -> bool {
        self.waiting_tasks > 0 && self.age_ms >= AGING_THRESHOLD_MS
    }

    /// Whether it could start if only service replicas ran; they leave `finite_capacity`.
    fn fits_beside_services(&self, finite_capacity: ResourceQuantities) -> bool {
        !self.all_or_nothing
            || finite_capacity.covers(self.per_task.multiplied_by(self.waiting_tasks))
    }

    /// CPUs that its running tasks use, by weight.
    fn used_cpus(&self) -> f64 {
        self.running_tasks * self.cpu_weight
    }

    /// CPUs that its running and waiting tasks need, by weight.
    fn demanded_cpus(&self) -> f64 {
        self.used_cpus() + f64::from(self.waiting_tasks) * self.cpu_weight
    }

    /// Estimated remaining work, in CPU milliseconds by weight.
    fn remaining_work(&self) -> f64 {
        let tasks =
            f64::from(self.waiting_tasks) + self.running_tasks * RUNNING_TASK_REMAINING_SHARE;
        tasks * self.cpu_weight * self.task_run_ms
    }
}

/// Divides a team's `remaining` quota among its jobs. Returns the number of tasks that may start, per claim in the
/// order of `claims`. `finite_capacity` is the quota that the team's finite jobs may use at a time, including their
/// running tasks. Equal claims are served in the given order.
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

/// Serves the claims of one priority rank.
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

/// State of the allocation of one team's quota. Claims are identified by their index.
struct Allocation {
    claims: Vec<QuotaClaim>,
    /// Quota that may still be granted.
    remaining: ResourceQuantities,
    /// Quota that finite jobs may use at a time, without the service replicas granted so far.
    finite_capacity: ResourceQuantities,
    /// CPUs not demanded by higher priorities, to be divided into shares.
    unclaimed_cpus: f64,
    /// Quota reserved for all-or-nothing claims.
    reserved: ResourceQuantities,
    /// Whether quota is reserved for a claim, by claim.
    has_reservation: Vec<bool>,
    /// Number of tasks that may start, by claim.
    granted_tasks: Vec<u32>,
}

impl Allocation {
    fn indices_where(&self, condition: impl Fn(&QuotaClaim) -> bool) -> Vec<usize> {
        (0..self.claims.len()).filter(|index| condition(&self.claims[*index])).collect()
    }

    /// Ignores the demand of claims that cannot start while the team's services run. Services run until their users
    /// cancel them, and all later claims would wait that long if quota were reserved for such a claim or counted as its
    /// share.
    fn drop_blocked_demand(&mut self, finite: &[usize]) {
        for index in finite {
            let claim = &mut self.claims[*index];
            if !claim.fits_beside_services(self.finite_capacity) {
                claim.waiting_tasks = 0;
            }
        }
    }

    /// The claims among `indices` that have waited too long, oldest first.
    fn aged_by_age(&self, indices: &[usize]) -> Vec<usize> {
        let claims = &self.claims;
        let mut aged: Vec<usize> =
            indices.iter().copied().filter(|index| claims[*index].has_waited_too_long()).collect();
        aged.sort_by(|a, b| claims[*b].age_ms.total_cmp(&claims[*a].age_ms).then(a.cmp(b)));
        aged
    }

    /// Grants one task to every aged claim that has not started. Of the all-or-nothing claims only the oldest is served
    /// here, and has quota reserved if it does not fit.
    fn start_aged(&mut self, aged: &[usize]) {
        let mut gang_served = false;
        for &index in aged {
            let claim = &self.claims[index];
            if claim.has_started {
                continue;
            }
            if !claim.all_or_nothing {
                self.grant_tasks(index, 1);
            } else if !gang_served {
                gang_served = true;
                self.grant_tasks(index, u32::MAX);
            }
        }
    }

    /// Divides a class's share: a fraction of it among aged claims by age, then the rest in service order.
    fn grant_class(&mut self, members: &[usize], share: f64, aged: &[usize]) {
        let mut used_cpus = self.used_or_granted_cpus(members);
        // All-or-nothing claims are not served by age again: otherwise small ones would wait for the largest.
        let aged: Vec<usize> = aged
            .iter()
            .copied()
            .filter(|index| members.contains(index) && !self.claims[*index].all_or_nothing)
            .collect();
        let mut aged_cpus_left =
            (share * AGED_JOBS_SHARE - self.used_or_granted_cpus(&aged)).max(0.0);
        let rate = if aged.is_empty() { share } else { share * (1.0 - AGED_JOBS_SHARE) };
        let in_service_order = service_order(rate, &self.claims, members);
        for index in aged {
            let granted_cpus = self.grant_cpus(index, aged_cpus_left.min(share - used_cpus));
            used_cpus += granted_cpus;
            aged_cpus_left -= granted_cpus;
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

    /// Grants tasks of a claim for up to `max_cpus`, and returns the CPUs of the granted tasks. The last task may
    /// exceed `max_cpus`: otherwise a task larger than its class's share would never start.
    fn grant_cpus(&mut self, index: usize, max_cpus: f64) -> f64 {
        let claim = &self.claims[index];
        let cpus_per_task = claim.cpu_weight;
        let tasks = (max_cpus / cpus_per_task).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
        let tasks = if claim.all_or_nothing && tasks > 0 { u32::MAX } else { tasks };
        f64::from(self.grant_tasks(index, tasks)) * cpus_per_task
    }

    /// Grants a claim up to `max_tasks` further tasks from the remaining quota, and returns the number granted.
    ///
    /// If an all-or-nothing claim does not fit, quota is reserved for it: the other claims may then use only the quota
    /// beside the reservation, with their running tasks counted, and so never delay it. Older or higher-ranked claims
    /// without waiting tasks are not counted, since they end by themselves and no other task replaces theirs. This is
    /// the backfilling of batch schedulers (Lifka, "The ANL/IBM SP scheduling system", 1995), with quantities instead
    /// of times.
    fn grant_tasks(&mut self, index: usize, max_tasks: u32) -> u32 {
        let claim = &self.claims[index];
        let wanted = (claim.waiting_tasks - self.granted_tasks[index]).min(max_tasks);
        let fitting = wanted.min(self.remaining.fit_count(claim.per_task));
        if !claim.all_or_nothing || fitting == claim.waiting_tasks {
            self.granted_tasks[index] += fitting;
            self.remaining -= claim.per_task.multiplied_by(fitting);
            return fitting;
        }
        // Without remaining quota there is nothing to withhold from other claims.
        if wanted > 0 && self.remaining.cpus > Quantity::ZERO && !self.has_reservation[index] {
            self.has_reservation[index] = true;
            self.reserved += claim.per_task.multiplied_by(wanted);
            let others_may_use =
                (self.finite_capacity - self.reserved).excess_over(self.lasting_usage(index));
            self.remaining = self.remaining.zip_with(others_may_use, Quantity::min);
        }
        0
    }

    /// Quota that the other finite claims use or were granted, without the claims that will have ended by the time this
    /// one starts.
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

    /// Grants the quota that is still left, by priority and age. Demand of higher priorities that cannot be granted yet
    /// leaves lower priorities no share, but quota may be left for them. All-or-nothing claims are granted here only if
    /// they fit; nothing more is reserved.
    fn grant_leftovers(&mut self) {
        let claims = &self.claims;
        let mut order: Vec<usize> = (0..claims.len()).collect();
        order.sort_by(|a, b| {
            let (a, b) = (&claims[*a], &claims[*b]);
            b.priority_rank.cmp(&a.priority_rank).then(b.age_ms.total_cmp(&a.age_ms))
        });
        for index in order {
            let claim = &self.claims[index];
            let all_waiting = claim.per_task.multiplied_by(claim.waiting_tasks);
            if !claim.all_or_nothing || self.remaining.covers(all_waiting) {
                self.grant_tasks(index, u32::MAX);
            }
        }
    }
}

/// Max-min fair shares of `total`: each demand is met, or gets as much as any larger demand.
fn max_min_fair_shares(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = total.max(0.0);
    for (served, index) in by_demand.iter().enumerate() {
        shares[*index] = demands[*index].min(left / (demands.len() - served) as f64);
        left -= shares[*index];
    }
    shares
}

/// The order in which the claims among `indices` are served: those that can meet their deadline, by deadline, then the
/// others, by remaining work. `rate` is the number of CPUs available to them.
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

/// Whether each claim belongs to the claims among `indices` that can meet their deadlines together, by Moore's
/// algorithm. Indexed like `claims`; false for claims not in `indices`.
fn feasible_deadlines(rate: f64, claims: &[QuotaClaim], indices: &[usize]) -> Vec<bool> {
    let mut is_feasible = vec![false; claims.len()];
    // A claim is excluded if a task of it could not end in time even if it started now.
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
    // Claims without waiting tasks run to their end in any case.
    let mut busy_ms: u64 = indices
        .iter()
        .filter(|index| claims[**index].waiting_tasks == 0)
        .map(|index| run_ms(*index))
        .sum();
    // A max-heap by estimated run time; among equals the later claim is postponed.
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
