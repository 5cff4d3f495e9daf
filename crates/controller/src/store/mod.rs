//! The state service's client as a pure machine: budget, order, retries, unknown outcomes.

use crate::Time;
use crate::constants::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{HashMap, VecDeque};
use swiftsail_overload_control::retry::{RetryBudget, pause_ms};
use swiftsail_protocol::state::{Commit, News, Page, Pair};

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read one key.
    Get(String),
    /// Read a page of keys.
    List {
        /// Prefix.
        prefix: String,
        /// Begin after this key.
        from: Option<String>,
    },
    /// A transaction.
    Commit(Commit),
    /// A new lease.
    Grant {
        /// Time to live, ms.
        ttl_ms: u64,
    },
    /// Extend a lease.
    Extend(u64),
    /// End a lease at once.
    Release(u64),
    /// Read what has changed, without waiting.
    News {
        /// Prefix.
        prefix: String,
        /// After this revision.
        from: u64,
    },
    /// Wait for changes.
    Follow {
        /// Prefix.
        prefix: String,
        /// After this revision.
        from: u64,
    },
}

impl Call {
    fn writes(&self) -> f64 {
        match self {
            Call::Commit(c) => c.apply.len() as f64,
            _ => 0.0,
        }
    }
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The key.
    Found(Pair),
    /// No such key.
    Missing {
        /// Revision of the store.
        epoch: u64,
    },
    /// A page.
    Page(Page),
    /// Committed at this revision.
    Committed(u64),
    /// A condition failed.
    Conflict(Vec<String>),
    /// The lease named does not exist.
    NoGrant,
    /// A lease.
    Granted(u64),
    /// Changes.
    News(News),
    /// The watch asked for changes that are no longer kept.
    TooOld,
    /// Not executed: over a limit.
    Limited,
    /// Not executed: the service is away, or refuses this node.
    Refused,
    /// The request is malformed: a defect.
    Malformed(String),
    /// May have been executed, or may yet be.
    Unknown,
}

impl Outcome {
    /// Whether the service did its work.
    pub fn answered(&self) -> bool {
        !matches!(self, Outcome::Refused | Outcome::Unknown | Outcome::Limited)
    }
}

/// Order in which calls leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The term.
    Term,
    /// Submissions and cancellations, bindings of tasks that are to start (those leave half of the changes), and the
    /// reads that serve all polls.
    Bind,
    /// Polls, ends, and what else somebody waits for.
    Work,
    /// What nothing waits for.
    Tidy,
    /// What may wait until the service has nothing else to do for this node.
    Idle,
}

/// How long a call is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Once, and only if it leaves before this time.
    Once(Time),
    /// Until it has a definite outcome.
    Always,
}

#[derive(Debug)]
struct Pending<P> {
    call: Call,
    purpose: P,
    urgency: Urgency,
    patience: Patience,
    not_before: Time,
    tries: u32,
    uncertain: bool,
    /// When it last left.
    left: Time,
}

/// Part of the budget that a call leaves to more urgent ones, by its urgency.
const SPARE: [f64; 5] = [0.0, 0.05, 0.1, 0.4, 0.7];

/// A call's end, for the one that asked.
#[derive(Debug)]
pub struct Finished<P> {
    /// What it was for.
    pub purpose: P,
    /// What came of it.
    pub outcome: Outcome,
    /// An earlier try had no answer: a conflict may be with that try itself.
    pub uncertain: bool,
}

/// Tokens that fill at a rate, up to a burst.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    most: f64,
    held: f64,
    at: Time,
}

impl Bucket {
    /// A full bucket that holds one second's worth.
    pub fn new(rate: f64, now: Time) -> Bucket {
        Bucket::lasting(rate, 1.0, now)
    }
    /// A full bucket that holds so many seconds' worth.
    pub fn lasting(rate: f64, seconds: f64, now: Time) -> Bucket {
        let most = (rate * seconds).max(1.0);
        Bucket { rate, most, held: most, at: now }
    }
    /// Changes the rate.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.fill(now);
        (self.rate, self.most) = (rate, rate.max(1.0));
        self.held = self.held.min(self.most);
    }
    fn fill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at) as f64 / MS_PER_S;
        self.held = (self.held + passed * self.rate).min(self.most);
        self.at = now;
    }
    /// Whether that many may be taken now, leaving `spare` for more urgent ones. More than the
    /// bucket can ever hold passes when it is full, and leaves a debt.
    pub fn can(&mut self, wanted: f64, spare: f64, now: Time) -> bool {
        self.fill(now);
        self.held + 1e-9 >= (wanted + spare).min(self.most)
    }
    /// Takes them.
    pub fn take(&mut self, wanted: f64) {
        self.held -= wanted;
    }
}

/// The client.
#[derive(Debug)]
pub struct Store<P> {
    requests: Bucket,
    writes: Bucket,
    queues: [VecDeque<Pending<P>>; 5],
    flying: HashMap<u64, Pending<P>>,
    follows: usize,
    next: u64,
    paused_until: Time,
    pause: u64,
    repeats: RetryBudget,
    rng: StdRng,
    rps: f64,
    write_rps: f64,
    /// When the service last did its work for this node.
    pub last_ok: Option<Time>,
    /// When it last did not.
    pub last_fail: Option<Time>,
    /// When the latest call left that has an answer.
    answered_left: Option<Time>,
}

impl<P> Store<P> {
    /// A client that keeps within these rates.
    pub fn new(rps: f64, write_rps: f64, now: Time) -> Store<P> {
        Store {
            requests: Bucket::new(rps, now),
            writes: Bucket::new(write_rps, now),
            queues: [const { VecDeque::new() }; 5],
            flying: HashMap::new(),
            follows: 0,
            next: 1,
            paused_until: 0,
            pause: STORE_BACKOFF_MS,
            repeats: RetryBudget::new(now),
            rng: StdRng::seed_from_u64(0),
            rps,
            write_rps,
            last_ok: None,
            last_fail: None,
            answered_left: None,
        }
    }

    /// With its own seed, so that nodes that fail together do not come back together.
    pub fn seeded(mut self, seed: u64) -> Store<P> {
        self.rng = StdRng::seed_from_u64(seed);
        self
    }

    /// Sets this node's share.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64, now: Time) {
        if rps != self.rps || write_rps != self.write_rps {
            (self.rps, self.write_rps) = (rps, write_rps);
            self.requests.set_rate(rps, now);
            self.writes.set_rate(write_rps, now);
        }
    }

    /// Changes a second that this node may make.
    pub fn write_rate(&self) -> f64 {
        self.write_rps.max(1.0)
    }

    /// Whether the service is known to be away: its latest word was a refusal.
    pub fn away(&self) -> bool {
        self.last_fail.is_some() && self.last_fail > self.last_ok
    }

    /// Whether the queues have room for another user's call, of so many.
    pub fn has_room(&self, most: usize) -> bool {
        self.queues.iter().map(VecDeque::len).sum::<usize>() < most
    }

    /// Whether a user's change that is asked for now would have to wait for its turn.
    pub fn changes_wait(&mut self, now: Time) -> bool {
        let level = Urgency::Bind as usize;
        let spare = SPARE[level] * self.write_rps;
        !self.queues[level].is_empty() || !self.writes.can(1.0, spare, now)
    }

    /// Calls that wait, by urgency.
    pub fn queued(&self) -> [usize; 5] {
        [0, 1, 2, 3, 4].map(|level: usize| self.queues[level].len())
    }

    /// Asks for a call.
    pub fn push(&mut self, call: Call, purpose: P, urgency: Urgency, patience: Patience) {
        let pending = Pending {
            call,
            purpose,
            urgency,
            patience,
            not_before: 0,
            tries: 0,
            uncertain: false,
            left: 0,
        };
        self.queues[urgency as usize].push_back(pending);
    }

    /// Drops what waits and no longer matters. Calls in flight still end with an outcome.
    pub fn forget(&mut self, matters: impl Fn(&P) -> bool) {
        for queue in &mut self.queues {
            queue.retain(|p| matters(&p.purpose));
        }
    }

    /// Calls that may leave now, and those whose time has run out.
    pub fn pump(&mut self, now: Time) -> (Vec<(u64, Call)>, Vec<Finished<P>>) {
        let (mut out, mut late) = (Vec::new(), Vec::new());
        // A transaction of several changes that waits for its turn has it: else those of one change that
        // came later would take what it waits for, for as long as there are any.
        let mut starved = false;
        for level in 0..self.queues.len() {
            let mut kept = VecDeque::new();
            while let Some(mut pending) = self.queues[level].pop_front() {
                if let Patience::Once(until) = pending.patience
                    && now >= until
                {
                    late.push(finished(pending, Outcome::Refused));
                    continue;
                }
                let writes = pending.call.writes();
                if writes > 0.0 && starved || !self.may_leave(&pending, now) {
                    let ready = now >= pending.not_before && now >= self.paused_until;
                    starved |= writes > 0.0 && ready;
                    kept.push_back(pending);
                    continue;
                }
                let follow = matches!(pending.call, Call::Follow { .. });
                self.follows += usize::from(follow);
                self.requests.take(1.0);
                self.writes.take(pending.call.writes());
                pending.tries += 1;
                pending.left = now;
                let id = self.next;
                self.next += 1;
                out.push((id, pending.call.clone()));
                self.flying.insert(id, pending);
            }
            self.queues[level] = kept;
        }
        (out, late)
    }

    fn may_leave(&mut self, pending: &Pending<P>, now: Time) -> bool {
        let spare = SPARE[pending.urgency as usize];
        let term = pending.urgency == Urgency::Term;
        now >= pending.not_before
            && (term || now >= self.paused_until)
            && (term || self.flying.len() - self.follows < STORE_IN_FLIGHT_MOST)
            && self.requests.can(1.0, spare * self.rps, now)
            && (pending.call.writes() == 0.0
                || self.writes.can(pending.call.writes(), spare * self.write_rps, now))
    }

    /// Takes the outcome of a call that left. None if it will be tried again.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Time) -> Option<Finished<P>> {
        let mut pending = self.flying.remove(&id)?;
        let follow = matches!(pending.call, Call::Follow { .. });
        self.follows -= usize::from(follow);
        if outcome.answered() {
            self.last_ok = Some(now);
            self.answered_left = self.answered_left.max(Some(pending.left));
            self.pause = STORE_BACKOFF_MS;
            self.paused_until = 0;
            self.repeats.earn();
            return Some(finished(pending, outcome));
        }
        // A follow that times out or ends says nothing of the service: it blocks by nature. Nor does silence if a
        // call that left later has its answer: one was lost, and who asks now is not to be sent away for it.
        let lost = outcome == Outcome::Unknown && self.answered_left > Some(pending.left);
        if outcome != Outcome::Limited && !follow && !lost {
            self.last_fail = Some(now);
        }
        if !follow && !lost {
            self.paused_until = now + self.pause;
            self.pause = (self.pause * 2).min(STORE_BACKOFF_MOST_MS);
        }
        pending.uncertain |= outcome == Outcome::Unknown;
        match pending.patience {
            Patience::Always => {
                // Without a repeat left it waits longest: what fails is not asked ever more often.
                let tries = if self.repeats.take(now) { pending.tries } else { u32::MAX };
                let wait = pause_ms(STORE_BACKOFF_MS, tries, STORE_BACKOFF_MOST_MS, &mut self.rng);
                pending.not_before = now + wait;
                self.queues[pending.urgency as usize].push_back(pending);
                None
            }
            Patience::Once(_) => Some(finished(pending, outcome)),
        }
    }
}

fn finished<P>(pending: Pending<P>, outcome: Outcome) -> Finished<P> {
    Finished { purpose: pending.purpose, outcome, uncertain: pending.uncertain }
}
