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

use crate::constants::*;
use crate::fixed::{Amount, Amounts};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a job wants of its team's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Number of its class.
    pub class: usize,
    /// Rank of its priority: the higher the sooner.
    pub rank: u8,
    /// Replicas and the like, that run until they are cancelled: before what ends by itself.
    pub endless: bool,
    /// Its tasks start together or not at all: what is left is saved up for it.
    pub whole: bool,
    /// Time left to its deadline, or to the time within which users want its class done, ms; none: neither, or
    /// over already.
    pub left_ms: Option<f64>,
    /// Tasks that wait for a place.
    pub waiting: u32,
    /// Tasks that run.
    pub running: f64,
    /// What each task takes.
    pub each: Amounts,
    /// The same as one number: its part of the amount of which it takes the largest part, in CPUs.
    pub weight: f64,
    /// How long a task runs, ms.
    pub run_ms: f64,
    /// Time since the job was accepted, ms.
    pub age_ms: f64,
    /// Some of its tasks run or have run.
    pub begun: bool,
}

impl Claim {
    /// Whether it has waited so long that it comes before what could be done in time.
    fn old(&self) -> bool {
        self.waiting > 0 && self.age_ms >= OLD_MS
    }

    /// Whether it could start if nothing ran but what runs until it is cancelled: `most` is what that leaves.
    fn can_start(&self, most: Amounts) -> bool {
        !self.whole || most.covers(self.each.times(self.waiting))
    }

    /// What it uses, in CPUs as its weight has it.
    fn uses(&self) -> f64 {
        self.running * self.weight
    }

    /// The same with what it wants.
    fn wants(&self) -> f64 {
        self.uses() + f64::from(self.waiting) * self.weight
    }

    /// What it still needs, in CPU ms as its weight has it.
    fn work(&self) -> f64 {
        let tasks = f64::from(self.waiting) + self.running * LEFT_OF_RUNNING;
        tasks * self.weight * self.run_ms
    }
}

/// Shares out what a team's limit leaves: how many tasks of each claim may start. `most`: what the
/// limit lets the team's finite jobs use at once. Among equals the first comes first.
pub fn share_out(left: Amounts, most: Amounts, claims: &[Claim]) -> Vec<u32> {
    let mut claims = claims.to_vec();
    let (mut most, mut rate) = (most, most.cpus.number());
    let mut pool = Pool {
        left,
        saved: Amounts::default(),
        saved_for: vec![false; claims.len()],
        grants: vec![0; claims.len()],
    };
    let mut ranks: Vec<u8> = claims.iter().map(|c| c.rank).collect();
    ranks.sort_unstable_by_key(|r| Reverse(*r));
    ranks.dedup();
    for rank in ranks {
        let of_rank = |endless: bool| {
            let all = claims.iter().enumerate();
            let own = all.filter(|(_, c)| c.rank == rank && c.endless == endless);
            own.map(|(n, _)| n).collect::<Vec<_>>()
        };
        let (replicas, finite) = (of_rank(true), of_rank(false));
        for n in replicas {
            let more = pool.grant(&claims, n, u32::MAX, most);
            most -= claims[n].each.times(more);
        }
        // What cannot start while the team's services run wants nothing yet: they end when their users say so, and all
        // that is behind it would wait as long, saved up for it or counted as its part.
        for n in &finite {
            if !claims[*n].can_start(most) {
                claims[*n].waiting = 0;
            }
        }
        let claims = &claims[..];
        let own = || finite.iter().copied();
        let mut old: Vec<usize> = own().filter(|n| claims[*n].old()).collect();
        old.sort_by(|a, b| claims[*b].age_ms.total_cmp(&claims[*a].age_ms).then(a.cmp(b)));
        // Of those that start whole only the oldest is saved up for: what it cannot use yet others may.
        let mut saves = false;
        for &n in old.iter().filter(|n| !claims[**n].begun) {
            let whole = claims[n].whole;
            if !whole || !std::mem::replace(&mut saves, true) {
                let tasks = if whole { u32::MAX } else { 1 };
                pool.grant(claims, n, tasks, most);
            }
        }
        let mut classes: Vec<usize> = own().map(|n| claims[n].class).collect();
        classes.sort_unstable();
        classes.dedup();
        let of = |class: usize| own().filter(move |n| claims[*n].class == class);
        let wants: Vec<f64> =
            classes.iter().map(|c| of(*c).map(|n| claims[n].wants()).sum()).collect();
        for (class, part) in classes.iter().zip(parts(rate, &wants)) {
            let all: Vec<usize> = of(*class).collect();
            let has = |n: &usize| f64::from(pool.grants[*n]) * claims[*n].weight;
            let mut used: f64 = all.iter().map(|n| claims[*n].uses() + has(n)).sum();
            // What starts whole has had its turn above: by age alone small ones would wait for the largest.
            let by_part = |n: &usize| all.contains(n) && !claims[*n].whole;
            let own: Vec<usize> = old.iter().copied().filter(by_part).collect();
            let aged: f64 = own.iter().map(|n| claims[*n].uses() + has(n)).sum();
            let mut aged_left = (part * OLD_PART - aged).max(0.0);
            let rate = if own.is_empty() { part } else { part * (1.0 - OLD_PART) };
            let by_age = own.iter().map(|n| (*n, true));
            let in_order = order(rate, claims, &all).into_iter().map(|n| (n, false));
            for (n, by_age) in by_age.chain(in_order).collect::<Vec<_>>() {
                let each = claims[n].weight;
                // The last may be more than its part by less than a task: else what is larger than its
                // part would never start.
                let room = if by_age { aged_left.min(part - used) } else { part - used };
                let tasks = (room / each).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
                let tasks = if claims[n].whole && tasks > 0 { u32::MAX } else { tasks };
                let given = pool.grant(claims, n, tasks, most);
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
        b.rank.cmp(&a.rank).then(b.age_ms.total_cmp(&a.age_ms))
    });
    // What starts whole has had its turn; it takes what it fits into, and nothing more is saved up.
    let fits = |pool: &Pool, n: usize| pool.left.covers(claims[n].each.times(claims[n].waiting));
    for n in rest {
        if !claims[n].whole || fits(&pool, n) {
            pool.grant(&claims, n, u32::MAX, most);
        }
    }
    pool.grants
}

/// What is being shared out.
struct Pool {
    /// What is left to be given now.
    left: Amounts,
    /// What those need that start whole and were saved up for, and who they are.
    saved: Amounts,
    saved_for: Vec<bool>,
    /// Tasks that may start, by claim.
    grants: Vec<u32>,
}

impl Pool {
    /// Gives a claim up to so many tasks more of what is left, and says how many. `most`: what the limit lets finite jobs
    /// use at once.
    ///
    /// What starts whole and does not fit is saved up for: others then have what the limit leaves beside it, what runs
    /// of theirs counted, and so never delay it. Not counted is what came sooner or ranks higher and has nothing
    /// waiting: it ends by itself, and nothing takes its place. It is the backfilling of batch schedulers (Lifka, "The
    /// ANL/IBM SP scheduling system", 1995), by amounts instead of times.
    fn grant(&mut self, claims: &[Claim], n: usize, tasks: u32, most: Amounts) -> u32 {
        let claim = &claims[n];
        let wants = (claim.waiting - self.grants[n]).min(tasks);
        let fits = wants.min(self.left.holds(claim.each));
        if !claim.whole || fits == claim.waiting {
            self.grants[n] += fits;
            self.left -= claim.each.times(fits);
            return fits;
        }
        // Where nothing is left nothing need be kept from others.
        if wants > 0 && self.left.cpus > Amount::ZERO && !self.saved_for[n] {
            self.saved_for[n] = true;
            self.saved += claim.each.times(wants);
            let drains = |c: &Claim| c.rank > claim.rank || c.age_ms > claim.age_ms;
            let stays = |c: &Claim| !c.endless && (c.waiting > 0 || !drains(c));
            let others = claims.iter().zip(&self.grants).enumerate();
            let others = others.filter(|(m, (c, _))| *m != n && stays(c));
            let used: Amounts =
                others.map(|(_, (c, given))| c.each.times(c.running as u32 + given)).sum();
            let beside = (most - self.saved - used).map(|a| a.max(Amount::ZERO));
            self.left = self.left.with(beside, Amount::min);
        }
        0
    }
}

/// Max-min fair parts of a whole: each gets what it wants, or as much as any that wants more.
fn parts(whole: f64, wants: &[f64]) -> Vec<f64> {
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
fn order(rate: f64, claims: &[Claim], of: &[usize]) -> Vec<usize> {
    let in_time = in_time(rate, claims, of);
    let soon = |n: usize| match in_time[n] {
        true => claims[n].left_ms.unwrap_or(f64::MAX),
        false => claims[n].work(),
    };
    let mut all = of.to_vec();
    all.sort_by(|a, b| {
        let late = in_time[*b].cmp(&in_time[*a]);
        late.then(soon(*a).total_cmp(&soon(*b))).then(a.cmp(b))
    });
    all
}

/// Which claims can all be done in time.
fn in_time(rate: f64, claims: &[Claim], of: &[usize]) -> Vec<bool> {
    let mut on_time = vec![false; claims.len()];
    // A task that could not be done in time even if it began now is not waited for.
    let due = |n: &usize| {
        let c = &claims[*n];
        c.left_ms.filter(|l| c.waiting > 0 && *l >= c.run_ms).map(|l| (l, *n))
    };
    let mut by_due: Vec<(f64, usize)> = of.iter().filter_map(due).collect();
    by_due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    // By work, the largest on top; among equals the later is put off.
    let mut taken: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let takes = |n: usize| (claims[n].work() / rate.max(f64::MIN_POSITIVE)).min(MOST_MS) as u64;
    // What runs to its end whatever is put off.
    let mut busy: u64 = of.iter().filter(|n| claims[**n].waiting == 0).map(|n| takes(*n)).sum();
    for (due, n) in by_due {
        let ms = takes(n);
        taken.push((ms, n));
        busy += ms;
        on_time[n] = true;
        if busy as f64 * BUSY_MARGIN + claims[n].run_ms * TAIL_MARGIN > due
            && let Some((ms, put_off)) = taken.pop()
        {
            busy -= ms;
            on_time[put_off] = false;
        }
    }
    on_time
}
