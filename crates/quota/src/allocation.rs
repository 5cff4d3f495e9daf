//! Who gets what a team's limit leaves, when its jobs want more: by rank; what runs until it is cancelled
//! first; then every class of jobs its part, so that none is starved by a larger one; within a class the jobs
//! that can still be done by their deadline, the soonest first, then those with least left to do.
//!
//! Least work first puts off the largest, and where work keeps coming that is for ever. So whoever has waited
//! long begins: one task at once, and then a part of its class's part, the oldest first. It is the aging of
//! time-sharing systems (Corbató and others, 1962), by a clock that outlives whoever shares out.
//!
//! Without an order every job of a team at its limit gets a little at a time, and all end late. Which jobs
//! can all be done in time is told by Moore's rule ("An n job, one machine sequencing algorithm for minimizing
//! the number of late jobs", 1968), with the class's part as the machine: in the order of deadlines, and
//! whenever one would be late, the largest so far is put off. It leaves the fewest late. The parts are
//! max-min fair: no class gets less so that one with more gets more yet. Where accelerators are limited too a class's
//! part is counted in the amount of which it takes the largest part (dominant resource fairness; Ghodsi and others,
//! 2011): a class of accelerator work and one of CPU work then each have what they lack most of.

use crate::constants::{
    AGED_JOBS_SHARE, AGING_THRESHOLD_MS, BUSY_TIME_FACTOR, MAX_JOB_TIME_MS,
    RUNNING_TASK_REMAINING_SHARE, TAIL_TASK_FACTOR,
};
use crate::quantities::{Quantity, ResourceQuantities};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a job wants of its team's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaClaim {
    /// Number of its class.
    pub class: usize,
    /// Rank of its priority: the higher the sooner.
    pub priority_rank: u8,
    /// Replicas and the like, that run until they are cancelled: before what ends by itself.
    pub runs_until_cancelled: bool,
    /// Its tasks start together or not at all: what is left is saved up for it.
    pub all_or_nothing: bool,
    /// Time left to its deadline, or to the time within which users want its class done, ms; none: neither, or
    /// over already.
    pub time_to_deadline_ms: Option<f64>,
    /// Tasks that wait for a place.
    pub waiting_tasks: u32,
    /// Tasks that run.
    pub running_tasks: f64,
    /// What each task takes.
    pub per_task: ResourceQuantities,
    /// The same as one number: its part of the amount of which it takes the largest part, in CPUs.
    pub cpu_weight: f64,
    /// How long a task runs, ms.
    pub task_run_ms: f64,
    /// Time since the job was accepted, ms.
    pub age_ms: f64,
    /// Some of its tasks run or have run.
    pub has_started: bool,
}

impl QuotaClaim {
    /// Whether it has waited so long that it comes before what could be done in time.
    fn has_waited_too_long(&self) -> bool {
        self.waiting_tasks > 0 && self.age_ms >= AGING_THRESHOLD_MS
    }

    /// Whether it could start if nothing ran but what runs until it is cancelled: `most` is what that leaves.
    fn fits_after_draining(&self, most: ResourceQuantities) -> bool {
        !self.all_or_nothing || most.covers(self.per_task.multiplied_by(self.waiting_tasks))
    }

    /// What it uses, in CPUs as its weight has it.
    fn used_cpus(&self) -> f64 {
        self.running_tasks * self.cpu_weight
    }

    /// The same with what it wants.
    fn demanded_cpus(&self) -> f64 {
        self.used_cpus() + f64::from(self.waiting_tasks) * self.cpu_weight
    }

    /// What it still needs, in CPU ms as its weight has it.
    fn remaining_work(&self) -> f64 {
        let tasks =
            f64::from(self.waiting_tasks) + self.running_tasks * RUNNING_TASK_REMAINING_SHARE;
        tasks * self.cpu_weight * self.task_run_ms
    }
}

/// Shares out what a team's limit leaves: how many tasks of each claim may start. `most`: what the
/// limit lets the team's finite jobs use at once. Among equals the first comes first.
pub fn allocate_quota(
    left: ResourceQuantities,
    most: ResourceQuantities,
    claims: &[QuotaClaim],
) -> Vec<u32> {
    let mut claims = claims.to_vec();
    let (mut most, mut rate) = (most, most.cpus.to_f64());
    let mut pool = AllocationState {
        remaining: left,
        reserved: ResourceQuantities::default(),
        has_reservation: vec![false; claims.len()],
        granted_tasks: vec![0; claims.len()],
    };
    let mut ranks: Vec<u8> = claims.iter().map(|c| c.priority_rank).collect();
    ranks.sort_unstable_by_key(|r| Reverse(*r));
    ranks.dedup();
    for rank in ranks {
        let of_rank = |endless: bool| {
            let all = claims.iter().enumerate();
            let own =
                all.filter(|(_, c)| c.priority_rank == rank && c.runs_until_cancelled == endless);
            own.map(|(n, _)| n).collect::<Vec<_>>()
        };
        let (replicas, finite) = (of_rank(true), of_rank(false));
        for n in replicas {
            let more = pool.grant_tasks(&claims, n, u32::MAX, most);
            most -= claims[n].per_task.multiplied_by(more);
        }
        // What cannot start while the team's services run wants nothing yet: they end when their users say so, and all
        // that is behind it would wait as long, saved up for it or counted as its part.
        for n in &finite {
            if !claims[*n].fits_after_draining(most) {
                claims[*n].waiting_tasks = 0;
            }
        }
        let claims = &claims[..];
        let own = || finite.iter().copied();
        let mut old: Vec<usize> = own().filter(|n| claims[*n].has_waited_too_long()).collect();
        old.sort_by(|a, b| claims[*b].age_ms.total_cmp(&claims[*a].age_ms).then(a.cmp(b)));
        // Of those that start whole only the oldest is saved up for: what it cannot use yet others may.
        let mut saves = false;
        for &n in old.iter().filter(|n| !claims[**n].has_started) {
            let whole = claims[n].all_or_nothing;
            if !whole || !std::mem::replace(&mut saves, true) {
                let tasks = if whole { u32::MAX } else { 1 };
                pool.grant_tasks(claims, n, tasks, most);
            }
        }
        let mut classes: Vec<usize> = own().map(|n| claims[n].class).collect();
        classes.sort_unstable();
        classes.dedup();
        let of = |class: usize| own().filter(move |n| claims[*n].class == class);
        let wants: Vec<f64> =
            classes.iter().map(|c| of(*c).map(|n| claims[n].demanded_cpus()).sum()).collect();
        for (class, part) in classes.iter().zip(max_min_fair_shares(rate, &wants)) {
            let all: Vec<usize> = of(*class).collect();
            let has = |n: &usize| f64::from(pool.granted_tasks[*n]) * claims[*n].cpu_weight;
            let mut used: f64 = all.iter().map(|n| claims[*n].used_cpus() + has(n)).sum();
            // What starts whole has had its turn above: by age alone small ones would wait for the largest.
            let by_part = |n: &usize| all.contains(n) && !claims[*n].all_or_nothing;
            let own: Vec<usize> = old.iter().copied().filter(by_part).collect();
            let aged: f64 = own.iter().map(|n| claims[*n].used_cpus() + has(n)).sum();
            let mut aged_left = (part * AGED_JOBS_SHARE - aged).max(0.0);
            let rate = if own.is_empty() { part } else { part * (1.0 - AGED_JOBS_SHARE) };
            let by_age = own.iter().map(|n| (*n, true));
            let in_order = service_order(rate, claims, &all).into_iter().map(|n| (n, false));
            for (n, by_age) in by_age.chain(in_order).collect::<Vec<_>>() {
                let each = claims[n].cpu_weight;
                // The last may be more than its part by less than a task: else what is larger than its
                // part would never start.
                let room = if by_age { aged_left.min(part - used) } else { part - used };
                let tasks = (room / each).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
                let tasks = if claims[n].all_or_nothing && tasks > 0 { u32::MAX } else { tasks };
                let given = pool.grant_tasks(claims, n, tasks, most);
                let more = f64::from(given) * each;
                used += more;
                aged_left -= if by_age { more } else { 0.0 };
            }
        }
        rate -= wants.iter().sum::<f64>().min(rate);
    }
    // What higher ranks want and cannot have yet leaves lower ones no part, but something may be left for them.
    let mut rest: Vec<usize> = (0..claims.len()).collect();
    rest.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        b.priority_rank.cmp(&a.priority_rank).then(b.age_ms.total_cmp(&a.age_ms))
    });
    // What starts whole has had its turn; it takes what it fits into, and nothing more is saved up.
    let fits = |pool: &AllocationState, n: usize| {
        pool.remaining.covers(claims[n].per_task.multiplied_by(claims[n].waiting_tasks))
    };
    for n in rest {
        if !claims[n].all_or_nothing || fits(&pool, n) {
            pool.grant_tasks(&claims, n, u32::MAX, most);
        }
    }
    pool.granted_tasks
}

/// What is being shared out.
struct AllocationState {
    /// What is left to be given now.
    remaining: ResourceQuantities,
    /// What those need that start whole and were saved up for, and who they are.
    reserved: ResourceQuantities,
    has_reservation: Vec<bool>,
    /// Tasks that may start, by claim.
    granted_tasks: Vec<u32>,
}

impl AllocationState {
    /// Gives a claim up to so many tasks more of what is left, and says how many. `most`: what the limit lets finite jobs
    /// use at once.
    ///
    /// What starts whole and does not fit is saved up for: others then have what the limit leaves beside it, what runs
    /// of theirs counted, and so never delay it. Not counted is what came sooner or ranks higher and has nothing
    /// waiting: it ends by itself, and nothing takes its place. It is the backfilling of batch schedulers (Lifka, "The
    /// ANL/IBM SP scheduling system", 1995), by amounts instead of times.
    fn grant_tasks(
        &mut self,
        claims: &[QuotaClaim],
        n: usize,
        tasks: u32,
        most: ResourceQuantities,
    ) -> u32 {
        let claim = &claims[n];
        let wants = (claim.waiting_tasks - self.granted_tasks[n]).min(tasks);
        let fits = wants.min(self.remaining.times_covering(claim.per_task));
        if !claim.all_or_nothing || fits == claim.waiting_tasks {
            self.granted_tasks[n] += fits;
            self.remaining -= claim.per_task.multiplied_by(fits);
            return fits;
        }
        // Where nothing is left nothing need be kept from others.
        if wants > 0 && self.remaining.cpus > Quantity::ZERO && !self.has_reservation[n] {
            self.has_reservation[n] = true;
            self.reserved += claim.per_task.multiplied_by(wants);
            let drains =
                |c: &QuotaClaim| c.priority_rank > claim.priority_rank || c.age_ms > claim.age_ms;
            let stays =
                |c: &QuotaClaim| !c.runs_until_cancelled && (c.waiting_tasks > 0 || !drains(c));
            let others = claims.iter().zip(&self.granted_tasks).enumerate();
            let others = others.filter(|(m, (c, _))| *m != n && stays(c));
            let used: ResourceQuantities = others
                .map(|(_, (c, given))| c.per_task.multiplied_by(c.running_tasks as u32 + given))
                .sum();
            let beside = (most - self.reserved - used).map(|a| a.max(Quantity::ZERO));
            self.remaining = self.remaining.zip_with(beside, Quantity::min);
        }
        0
    }
}

/// Max-min fair parts of a whole: each gets what it wants, or as much as any that wants more.
fn max_min_fair_shares(whole: f64, wants: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; wants.len()];
    let mut by_want: Vec<usize> = (0..wants.len()).collect();
    by_want.sort_by(|a, b| wants[*a].total_cmp(&wants[*b]));
    let mut left = whole.max(0.0);
    for (n, of) in by_want.iter().enumerate() {
        parts[*of] = wants[*of].min(left / (wants.len() - n) as f64);
        left -= parts[*of];
    }
    parts
}

/// The order in which some of the claims are served, as their numbers.
fn service_order(rate: f64, claims: &[QuotaClaim], of: &[usize]) -> Vec<usize> {
    let in_time = feasible_deadlines(rate, claims, of);
    let soon = |n: usize| match in_time[n] {
        true => claims[n].time_to_deadline_ms.unwrap_or(f64::MAX),
        false => claims[n].remaining_work(),
    };
    let mut all = of.to_vec();
    all.sort_by(|a, b| {
        let late = in_time[*b].cmp(&in_time[*a]);
        late.then(soon(*a).total_cmp(&soon(*b))).then(a.cmp(b))
    });
    all
}

/// Which claims can all be done in time.
fn feasible_deadlines(rate: f64, claims: &[QuotaClaim], of: &[usize]) -> Vec<bool> {
    let mut on_time = vec![false; claims.len()];
    // A task that could not be done in time even if it began now is not waited for.
    let due = |n: &usize| {
        let c = &claims[*n];
        c.time_to_deadline_ms
            .filter(|l| c.waiting_tasks > 0 && *l >= c.task_run_ms)
            .map(|l| (l, *n))
    };
    let mut by_due: Vec<(f64, usize)> = of.iter().filter_map(due).collect();
    by_due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    // By work, the largest on top; among equals the later is put off.
    let mut taken: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let takes = |n: usize| {
        (claims[n].remaining_work() / rate.max(f64::MIN_POSITIVE)).min(MAX_JOB_TIME_MS) as u64
    };
    // What runs to its end whatever is put off.
    let mut busy: u64 =
        of.iter().filter(|n| claims[**n].waiting_tasks == 0).map(|n| takes(*n)).sum();
    for (due, n) in by_due {
        let ms = takes(n);
        taken.push((ms, n));
        busy += ms;
        on_time[n] = true;
        if busy as f64 * BUSY_TIME_FACTOR + claims[n].task_run_ms * TAIL_TASK_FACTOR > due
            && let Some((ms, put_off)) = taken.pop()
        {
            busy -= ms;
            on_time[put_off] = false;
        }
    }
    on_time
}
