//! Client of the state service as a state machine without I/O: rate limits, priorities, retries, unknown outcomes. The
//! runtime sends the calls that [`StoreClient::take_due_calls`] returns, and passes each outcome to
//! [`StoreClient::finish`].

mod refusals;

pub use refusals::{RefusalCounts, TransactionSize};

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
    /// Read a page of the keys with a prefix.
    List {
        /// Prefix.
        prefix: String,
        /// The page begins after this key; none: at the first.
        from: Option<String>,
    },
    /// Execute a transaction.
    Commit(Transaction),
    /// Create a lease.
    GrantLease {
        /// Time to live, ms.
        ttl_ms: u64,
    },
    /// Extend a lease.
    RenewLease(u64),
    /// End a lease at once.
    RevokeLease(u64),
    /// Read the changes of keys with a prefix, without waiting for any.
    ReadChanges {
        /// Prefix.
        prefix: String,
        /// Only changes after this revision.
        from: u64,
    },
    /// Wait for changes of keys with a prefix.
    Watch {
        /// Prefix.
        prefix: String,
        /// Only changes after this revision.
        from: u64,
    },
}

impl StoreCall {
    /// Mutations that count against the write rate.
    fn write_count(&self) -> f64 {
        match self {
            StoreCall::Commit(transaction) => transaction.mutations.len() as f64,
            _ => 0.0,
        }
    }
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOutcome {
    /// The key and its value.
    Found(KeyValue),
    /// The key does not exist.
    Missing {
        /// Revision of the store.
        revision: u64,
    },
    /// A page of keys.
    Page(KeyPage),
    /// Committed at this revision.
    Committed(u64),
    /// Not executed: preconditions on these keys failed.
    Conflict(Vec<String>),
    /// The lease named does not exist.
    NoSuchLease,
    /// The lease granted.
    LeaseGranted(u64),
    /// Changes since the revision asked for.
    Changes(WatchResponse),
    /// The changes asked for have been compacted.
    Compacted,
    /// Not executed: a rate limit was exceeded.
    RateLimited,
    /// Not executed: the service is unavailable, or refuses this node.
    Unavailable,
    /// Not executed: the request is malformed, or exceeds a limit of the service. The same request is always refused
    /// again.
    Malformed(String),
    /// No response: the call may have been executed, or may yet be.
    Unknown,
}

impl StoreOutcome {
    /// Whether the service processed the call and responded.
    pub fn is_answered(&self) -> bool {
        !matches!(
            self,
            StoreOutcome::Unavailable | StoreOutcome::Unknown | StoreOutcome::RateLimited
        )
    }
}

/// Priority of a call, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Calls that leadership depends on.
    Leadership,
    /// Submissions, cancellations, bindings of tasks to be started (which leave half of the write rate to others), and
    /// the reads that serve all polls.
    High,
    /// Polls, final records, and other calls that somebody waits for.
    Normal,
    /// Calls that nothing waits for.
    Low,
    /// Calls that may wait until this node has no others.
    Background,
}

/// How often and for how long a call is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Once, and only if it can be sent before this time.
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
    attempts: u32,
    /// An attempt had no response: it may have been executed.
    uncertain: bool,
    /// When it was last sent.
    sent_at: Time,
}

/// Share of each rate limit that a call leaves to those of higher priority, by [`CallPriority`].
const RESERVED_SHARE: [f64; 5] = [0.0, 0.05, 0.1, 0.4, 0.7];

/// A finished call and its outcome.
#[derive(Debug)]
pub struct FinishedCall<P> {
    /// Passed to [`StoreClient::push`] with the call.
    pub context: P,
    /// Its outcome.
    pub outcome: StoreOutcome,
    /// An earlier attempt had no response: a conflict may be with that attempt itself.
    pub uncertain: bool,
    /// Size of the transaction, if the service refused it as malformed.
    pub refused_size: Option<TransactionSize>,
}

/// Token bucket: tokens are added at a rate, up to a capacity.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added a second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket with a capacity of one second's tokens. `rate` is in tokens a second.
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket::with_burst_seconds(rate, 1.0, now)
    }

    /// A full bucket with a capacity of `seconds` seconds' tokens.
    pub fn with_burst_seconds(rate: f64, seconds: f64, now: Time) -> TokenBucket {
        let capacity = (rate * seconds).max(1.0);
        TokenBucket { rate, capacity, tokens: capacity, refilled_at: now }
    }

    /// Changes the rate, in tokens a second. The capacity becomes one second's tokens.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        (self.rate, self.capacity) = (rate, rate.max(1.0));
        self.tokens = self.tokens.min(self.capacity);
    }

    fn refill(&mut self, now: Time) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MS_PER_S;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether `wanted` tokens may be taken now, leaving `reserved` for calls of higher priority. More than the
    /// capacity may be taken from a full bucket, which then has a negative balance.
    pub fn can_take(&mut self, wanted: f64, reserved: f64, now: Time) -> bool {
        self.refill(now);
        self.tokens + 1e-9 >= (wanted + reserved).min(self.capacity)
    }

    /// Takes tokens. To be called after [`TokenBucket::can_take`] has allowed it.
    pub fn take(&mut self, wanted: f64) {
        self.tokens -= wanted;
    }
}

/// Client of the state service. `P` is the caller's context of a call, returned with its outcome.
#[derive(Debug)]
pub struct StoreClient<P> {
    requests: TokenBucket,
    writes: TokenBucket,
    queues: [VecDeque<PendingCall<P>>; 5],
    in_flight: HashMap<u64, PendingCall<P>>,
    /// Watches in flight: they do not count against [`MAX_STORE_CALLS_IN_FLIGHT`].
    watches_in_flight: usize,
    next_id: u64,
    /// After a failure: only calls of [`CallPriority::Leadership`] are sent before this.
    paused_until: Time,
    /// Length of the next pause, ms.
    pause_ms: u64,
    retry_budget: RetryBudget,
    rng: StdRng,
    rps: f64,
    write_rps: f64,
    /// When a call was last answered ([`StoreOutcome::is_answered`]).
    pub last_success_at: Option<Time>,
    /// When the service last refused a call or did not respond. Rate limits, watches and single lost responses do not
    /// count.
    pub last_failure_at: Option<Time>,
    /// When the latest sent of the answered calls was sent.
    last_answered_sent_at: Option<Time>,
    /// Calls that the service refused.
    pub refusals: RefusalCounts,
}

impl<P> StoreClient<P> {
    /// A client that keeps within `rps` calls and `write_rps` mutations a second.
    pub fn new(rps: f64, write_rps: f64, now: Time) -> StoreClient<P> {
        StoreClient {
            requests: TokenBucket::new(rps, now),
            writes: TokenBucket::new(write_rps, now),
            queues: [const { VecDeque::new() }; 5],
            in_flight: HashMap::new(),
            watches_in_flight: 0,
            next_id: 1,
            paused_until: 0,
            pause_ms: STORE_INITIAL_BACKOFF_MS,
            retry_budget: RetryBudget::new(now),
            rng: StdRng::seed_from_u64(0),
            rps,
            write_rps,
            last_success_at: None,
            last_failure_at: None,
            last_answered_sent_at: None,
            refusals: RefusalCounts::default(),
        }
    }

    /// Sets the seed of the backoffs' jitter, so that nodes that fail together do not retry together.
    pub fn seeded(mut self, seed: u64) -> StoreClient<P> {
        self.rng = StdRng::seed_from_u64(seed);
        self
    }

    /// Sets this node's share of the platform's rates: calls and mutations a second.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64, now: Time) {
        if rps != self.rps || write_rps != self.write_rps {
            (self.rps, self.write_rps) = (rps, write_rps);
            self.requests.set_rate(rps, now);
            self.writes.set_rate(write_rps, now);
        }
    }

    /// Mutations a second that this node may make.
    pub fn write_rate(&self) -> f64 {
        self.write_rps.max(1.0)
    }

    /// Whether the service is known to be unavailable: its last failure is later than its last success.
    pub fn is_unavailable(&self) -> bool {
        self.last_failure_at.is_some() && self.last_failure_at > self.last_success_at
    }

    /// Whether fewer than `max_calls` calls are queued, so that another user's call may be.
    pub fn has_queue_capacity(&self, max_calls: usize) -> bool {
        self.queues.iter().map(VecDeque::len).sum::<usize>() < max_calls
    }

    /// Whether a user's write that is queued now would have to wait.
    pub fn has_waiting_writes(&mut self, now: Time) -> bool {
        let level = CallPriority::High as usize;
        let reserved = RESERVED_SHARE[level] * self.write_rps;
        !self.queues[level].is_empty() || !self.writes.can_take(1.0, reserved, now)
    }

    /// Number of queued calls, by [`CallPriority`].
    pub fn queue_lengths(&self) -> [usize; 5] {
        [0, 1, 2, 3, 4].map(|level: usize| self.queues[level].len())
    }

    /// Queues a call.
    pub fn push(
        &mut self,
        call: StoreCall,
        context: P,
        priority: CallPriority,
        retry_policy: RetryPolicy,
    ) {
        let pending = PendingCall {
            call,
            context,
            priority,
            retry_policy,
            not_before: 0,
            attempts: 0,
            uncertain: false,
            sent_at: 0,
        };
        self.queues[priority as usize].push_back(pending);
    }

    /// Drops the queued calls whose context does not satisfy `keep`. Calls in flight still end with an outcome.
    pub fn retain_pending(&mut self, keep: impl Fn(&P) -> bool) {
        for queue in &mut self.queues {
            queue.retain(|pending| keep(&pending.context));
        }
    }

    /// Returns the calls to be sent now, each with the id for [`StoreClient::finish`], and those that could not be sent
    /// before their time ([`RetryPolicy::OnceBefore`]).
    pub fn take_due_calls(&mut self, now: Time) -> (Vec<(u64, StoreCall)>, Vec<FinishedCall<P>>) {
        let (mut due, mut expired) = (Vec::new(), Vec::new());
        // While a transaction waits for write tokens, no later write is sent: else transactions of a single mutation
        // would keep taking the tokens that one of several waits for.
        let mut write_is_waiting = false;
        for level in 0..self.queues.len() {
            let mut waiting = VecDeque::new();
            while let Some(mut pending) = self.queues[level].pop_front() {
                if let RetryPolicy::OnceBefore(until) = pending.retry_policy
                    && now >= until
                {
                    expired.push(finished(pending, StoreOutcome::Unavailable));
                    continue;
                }
                let writes = pending.call.write_count();
                if writes > 0.0 && write_is_waiting || !self.may_send(&pending, now) {
                    let is_due = now >= pending.not_before && now >= self.paused_until;
                    write_is_waiting |= writes > 0.0 && is_due;
                    waiting.push_back(pending);
                    continue;
                }
                let is_watch = matches!(pending.call, StoreCall::Watch { .. });
                self.watches_in_flight += usize::from(is_watch);
                self.requests.take(1.0);
                self.writes.take(pending.call.write_count());
                pending.attempts += 1;
                pending.sent_at = now;
                let id = self.next_id;
                self.next_id += 1;
                due.push((id, pending.call.clone()));
                self.in_flight.insert(id, pending);
            }
            self.queues[level] = waiting;
        }
        (due, expired)
    }

    fn may_send(&mut self, pending: &PendingCall<P>, now: Time) -> bool {
        let reserved_share = RESERVED_SHARE[pending.priority as usize];
        let is_leadership = pending.priority == CallPriority::Leadership;
        now >= pending.not_before
            && (is_leadership || now >= self.paused_until)
            && (is_leadership
                || self.in_flight.len() - self.watches_in_flight < MAX_STORE_CALLS_IN_FLIGHT)
            && self.requests.can_take(1.0, reserved_share * self.rps, now)
            && (pending.call.write_count() == 0.0
                || self.writes.can_take(
                    pending.call.write_count(),
                    reserved_share * self.write_rps,
                    now,
                ))
    }

    /// Takes the outcome of a call that was sent. Returns none if the call is retried, or its id is not known.
    pub fn finish(&mut self, id: u64, outcome: StoreOutcome, now: Time) -> Option<FinishedCall<P>> {
        let mut pending = self.in_flight.remove(&id)?;
        let is_watch = matches!(pending.call, StoreCall::Watch { .. });
        self.watches_in_flight -= usize::from(is_watch);
        self.refusals.record(&outcome);
        if outcome.is_answered() {
            self.last_success_at = Some(now);
            self.last_answered_sent_at = self.last_answered_sent_at.max(Some(pending.sent_at));
            self.pause_ms = STORE_INITIAL_BACKOFF_MS;
            self.paused_until = 0;
            self.retry_budget.on_success();
            return Some(finished(pending, outcome));
        }
        // A watch that times out or ends proves nothing of the service, since it blocks by design. Nor does a missing
        // response if a call sent later was answered: a single message was lost, and users must not be turned away for
        // it.
        let is_single_loss =
            outcome == StoreOutcome::Unknown && self.last_answered_sent_at > Some(pending.sent_at);
        if outcome != StoreOutcome::RateLimited && !is_watch && !is_single_loss {
            self.last_failure_at = Some(now);
        }
        if !is_watch && !is_single_loss {
            self.paused_until = now + self.pause_ms;
            self.pause_ms = (self.pause_ms * 2).min(STORE_MAX_BACKOFF_MS);
        }
        pending.uncertain |= outcome == StoreOutcome::Unknown;
        match pending.retry_policy {
            RetryPolicy::UntilDefinite => {
                // With the retry budget exhausted it gets the longest backoff: a failing service is not loaded further.
                let attempts =
                    if self.retry_budget.try_take(now) { pending.attempts } else { u32::MAX };
                let wait_ms = backoff_ms(
                    STORE_INITIAL_BACKOFF_MS,
                    attempts,
                    STORE_MAX_BACKOFF_MS,
                    &mut self.rng,
                );
                pending.not_before = now + wait_ms;
                self.queues[pending.priority as usize].push_back(pending);
                None
            }
            RetryPolicy::OnceBefore(_) => Some(finished(pending, outcome)),
        }
    }
}

fn finished<P>(pending: PendingCall<P>, outcome: StoreOutcome) -> FinishedCall<P> {
    let refused_size = match (&outcome, &pending.call) {
        (StoreOutcome::Malformed(_), StoreCall::Commit(transaction)) => {
            Some(TransactionSize::of(transaction))
        }
        _ => None,
    };
    let PendingCall { context, uncertain, .. } = pending;
    FinishedCall { context, outcome, uncertain, refused_size }
}
