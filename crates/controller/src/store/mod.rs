//! The state service's client as a pure machine: budget, order, retries, unknown outcomes.

use crate::Time;
use crate::constants::{
    MAX_STORE_CALLS_IN_FLIGHT, MS_PER_S, STORE_INITIAL_BACKOFF_MS, STORE_MAX_BACKOFF_MS,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{HashMap, VecDeque};
use swiftsail_overload_control::retry_budget::{RetryBudget, backoff_ms};
use swiftsail_protocol::state::{KeyPage, KeyValue, Transaction, WatchResponse};

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
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
    Commit(Transaction),
    /// A new lease.
    GrantLease {
        /// Time to live, ms.
        ttl_ms: u64,
    },
    /// Extend a lease.
    RenewLease(u64),
    /// End a lease at once.
    RevokeLease(u64),
    /// Read what has changed, without waiting.
    ReadChanges {
        /// Prefix.
        prefix: String,
        /// After this revision.
        from: u64,
    },
    /// Wait for changes.
    Watch {
        /// Prefix.
        prefix: String,
        /// After this revision.
        from: u64,
    },
}

impl StoreCall {
    fn write_count(&self) -> f64 {
        match self {
            StoreCall::Commit(c) => c.mutations.len() as f64,
            _ => 0.0,
        }
    }
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOutcome {
    /// The key.
    Found(KeyValue),
    /// No such key.
    Missing {
        /// Revision of the store.
        revision: u64,
    },
    /// A page.
    Page(KeyPage),
    /// Committed at this revision.
    Committed(u64),
    /// A condition failed.
    Conflict(Vec<String>),
    /// The lease named does not exist.
    NoSuchLease,
    /// A lease.
    LeaseGranted(u64),
    /// Changes.
    Changes(WatchResponse),
    /// The watch asked for changes that are no longer kept.
    Compacted,
    /// Not executed: over a limit.
    RateLimited,
    /// Not executed: the service is away, or refuses this node.
    Unavailable,
    /// The request is malformed: a defect.
    Malformed(String),
    /// May have been executed, or may yet be.
    Unknown,
}

impl StoreOutcome {
    /// Whether the service did its work.
    pub fn is_answered(&self) -> bool {
        !matches!(
            self,
            StoreOutcome::Unavailable | StoreOutcome::Unknown | StoreOutcome::RateLimited
        )
    }
}

/// Order in which calls leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// The term.
    Leadership,
    /// Submissions and cancellations, bindings of tasks that are to start (those leave half of the changes), and the
    /// reads that serve all polls.
    High,
    /// Polls, ends, and what else somebody waits for.
    Normal,
    /// What nothing waits for.
    Low,
    /// What may wait until the service has nothing else to do for this node.
    Background,
}

/// How long a call is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Once, and only if it leaves before this time.
    OnceBefore(Time),
    /// Until it has a definite outcome.
    UntilDefinite,
}

#[derive(Debug)]
struct PendingCall<P> {
    call: StoreCall,
    context: P,
    priority: CallPriority,
    retry_policy: RetryPolicy,
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
pub struct FinishedCall<P> {
    /// What it was for.
    pub context: P,
    /// What came of it.
    pub outcome: StoreOutcome,
    /// An earlier try had no answer: a conflict may be with that try itself.
    pub uncertain: bool,
}

/// Tokens that fill at a rate, up to a burst.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    held: f64,
    at: Time,
}

impl TokenBucket {
    /// A full bucket that holds one second's worth.
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket::with_burst_seconds(rate, 1.0, now)
    }
    /// A full bucket that holds so many seconds' worth.
    pub fn with_burst_seconds(rate: f64, seconds: f64, now: Time) -> TokenBucket {
        let most = (rate * seconds).max(1.0);
        TokenBucket { rate, most, held: most, at: now }
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
    pub fn can_take(&mut self, wanted: f64, spare: f64, now: Time) -> bool {
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
pub struct StoreClient<P> {
    requests: TokenBucket,
    writes: TokenBucket,
    queues: [VecDeque<PendingCall<P>>; 5],
    flying: HashMap<u64, PendingCall<P>>,
    follows: usize,
    next: u64,
    paused_until: Time,
    pause: u64,
    repeats: RetryBudget,
    rng: StdRng,
    rps: f64,
    write_rps: f64,
    /// When the service last did its work for this node.
    pub last_success_at: Option<Time>,
    /// When it last did not.
    pub last_failure_at: Option<Time>,
    /// When the latest call left that has an answer.
    answered_left: Option<Time>,
}

impl<P> StoreClient<P> {
    /// A client that keeps within these rates.
    pub fn new(rps: f64, write_rps: f64, now: Time) -> StoreClient<P> {
        StoreClient {
            requests: TokenBucket::new(rps, now),
            writes: TokenBucket::new(write_rps, now),
            queues: [const { VecDeque::new() }; 5],
            flying: HashMap::new(),
            follows: 0,
            next: 1,
            paused_until: 0,
            pause: STORE_INITIAL_BACKOFF_MS,
            repeats: RetryBudget::new(now),
            rng: StdRng::seed_from_u64(0),
            rps,
            write_rps,
            last_success_at: None,
            last_failure_at: None,
            answered_left: None,
        }
    }

    /// With its own seed, so that nodes that fail together do not come back together.
    pub fn seeded(mut self, seed: u64) -> StoreClient<P> {
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
    pub fn is_unavailable(&self) -> bool {
        self.last_failure_at.is_some() && self.last_failure_at > self.last_success_at
    }

    /// Whether the queues have room for another user's call, of so many.
    pub fn has_queue_capacity(&self, most: usize) -> bool {
        self.queues.iter().map(VecDeque::len).sum::<usize>() < most
    }

    /// Whether a user's change that is asked for now would have to wait for its turn.
    pub fn has_waiting_writes(&mut self, now: Time) -> bool {
        let level = CallPriority::High as usize;
        let spare = SPARE[level] * self.write_rps;
        !self.queues[level].is_empty() || !self.writes.can_take(1.0, spare, now)
    }

    /// Calls that wait, by urgency.
    pub fn queue_lengths(&self) -> [usize; 5] {
        [0, 1, 2, 3, 4].map(|level: usize| self.queues[level].len())
    }

    /// Asks for a call.
    pub fn push(
        &mut self,
        call: StoreCall,
        purpose: P,
        urgency: CallPriority,
        patience: RetryPolicy,
    ) {
        let pending = PendingCall {
            call,
            context: purpose,
            priority: urgency,
            retry_policy: patience,
            not_before: 0,
            tries: 0,
            uncertain: false,
            left: 0,
        };
        self.queues[urgency as usize].push_back(pending);
    }

    /// Drops what waits and no longer matters. Calls in flight still end with an outcome.
    pub fn retain_pending(&mut self, matters: impl Fn(&P) -> bool) {
        for queue in &mut self.queues {
            queue.retain(|p| matters(&p.context));
        }
    }

    /// Calls that may leave now, and those whose time has run out.
    pub fn take_due_calls(&mut self, now: Time) -> (Vec<(u64, StoreCall)>, Vec<FinishedCall<P>>) {
        let (mut out, mut late) = (Vec::new(), Vec::new());
        // A transaction of several changes that waits for its turn has it: else those of one change that
        // came later would take what it waits for, for as long as there are any.
        let mut starved = false;
        for level in 0..self.queues.len() {
            let mut kept = VecDeque::new();
            while let Some(mut pending) = self.queues[level].pop_front() {
                if let RetryPolicy::OnceBefore(until) = pending.retry_policy
                    && now >= until
                {
                    late.push(finished(pending, StoreOutcome::Unavailable));
                    continue;
                }
                let writes = pending.call.write_count();
                if writes > 0.0 && starved || !self.may_send(&pending, now) {
                    let ready = now >= pending.not_before && now >= self.paused_until;
                    starved |= writes > 0.0 && ready;
                    kept.push_back(pending);
                    continue;
                }
                let follow = matches!(pending.call, StoreCall::Watch { .. });
                self.follows += usize::from(follow);
                self.requests.take(1.0);
                self.writes.take(pending.call.write_count());
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

    fn may_send(&mut self, pending: &PendingCall<P>, now: Time) -> bool {
        let spare = SPARE[pending.priority as usize];
        let term = pending.priority == CallPriority::Leadership;
        now >= pending.not_before
            && (term || now >= self.paused_until)
            && (term || self.flying.len() - self.follows < MAX_STORE_CALLS_IN_FLIGHT)
            && self.requests.can_take(1.0, spare * self.rps, now)
            && (pending.call.write_count() == 0.0
                || self.writes.can_take(pending.call.write_count(), spare * self.write_rps, now))
    }

    /// Takes the outcome of a call that left. None if it will be tried again.
    pub fn finish(&mut self, id: u64, outcome: StoreOutcome, now: Time) -> Option<FinishedCall<P>> {
        let mut pending = self.flying.remove(&id)?;
        let follow = matches!(pending.call, StoreCall::Watch { .. });
        self.follows -= usize::from(follow);
        if outcome.is_answered() {
            self.last_success_at = Some(now);
            self.answered_left = self.answered_left.max(Some(pending.left));
            self.pause = STORE_INITIAL_BACKOFF_MS;
            self.paused_until = 0;
            self.repeats.on_success();
            return Some(finished(pending, outcome));
        }
        // A follow that times out or ends says nothing of the service: it blocks by nature. Nor does silence if a
        // call that left later has its answer: one was lost, and who asks now is not to be sent away for it.
        let lost = outcome == StoreOutcome::Unknown && self.answered_left > Some(pending.left);
        if outcome != StoreOutcome::RateLimited && !follow && !lost {
            self.last_failure_at = Some(now);
        }
        if !follow && !lost {
            self.paused_until = now + self.pause;
            self.pause = (self.pause * 2).min(STORE_MAX_BACKOFF_MS);
        }
        pending.uncertain |= outcome == StoreOutcome::Unknown;
        match pending.retry_policy {
            RetryPolicy::UntilDefinite => {
                // Without a repeat left it waits longest: what fails is not asked ever more often.
                let tries = if self.repeats.try_take(now) { pending.tries } else { u32::MAX };
                let wait = backoff_ms(
                    STORE_INITIAL_BACKOFF_MS,
                    tries,
                    STORE_MAX_BACKOFF_MS,
                    &mut self.rng,
                );
                pending.not_before = now + wait;
                self.queues[pending.priority as usize].push_back(pending);
                None
            }
            RetryPolicy::OnceBefore(_) => Some(finished(pending, outcome)),
        }
    }
}

fn finished<P>(pending: PendingCall<P>, outcome: StoreOutcome) -> FinishedCall<P> {
    FinishedCall { context: pending.context, outcome, uncertain: pending.uncertain }
}
