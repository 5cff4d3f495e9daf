//! Client of the cloud API as a pure state machine: it orders calls and limits their rate, and its caller executes them.

use crate::Time;
use crate::constants::{CLOUD_BACKOFF_MS, CLOUD_RATE_SHARE, MAX_CLOUD_CALLS_IN_FLIGHT};
use crate::store::TokenBucket;
use std::collections::VecDeque;
use swiftsail_protocol::cloud::{
    MachineNames, MachinePage, MachineTypes, ProvisionMachinesRequest,
};

/// A call to the cloud API.
#[derive(Debug, Clone)]
pub enum CloudCall {
    /// List the machine types.
    ListTypes,
    /// Provision machines.
    Provision(ProvisionMachinesRequest),
    /// Terminate the machines with these names.
    Return(Vec<String>),
    /// Read a page of the machine list, after this name if one is given.
    ListMachines(Option<String>),
}

/// Outcome of a call.
#[derive(Debug, Clone)]
pub enum CloudOutcome {
    /// The machine types.
    Types(MachineTypes),
    /// The provisioned machines, possibly fewer than requested.
    Provisioned(MachineNames),
    /// The cloud has no capacity for the requested offer.
    NoCapacity,
    /// The machines are terminated.
    Returned,
    /// A page of the machine list.
    Listed(MachinePage),
    /// Rejected as malformed, which is a bug in the controller; with the reason.
    Malformed(String),
    /// Not executed, or the outcome is unknown.
    Failed,
}

/// The client. Terminations come first, then provisioning, then reads.
#[derive(Debug)]
pub struct CloudClient {
    rate_limiter: TokenBucket,
    queue: VecDeque<CloudCall>,
    in_flight: usize,
    paused_until: Time,
    /// When the cloud last answered a call, even with a refusal.
    pub last_success_at: Option<Time>,
    /// When a call last failed.
    pub last_failure_at: Option<Time>,
}

impl CloudClient {
    /// A client that uses its share of a limit of `rps` requests per second.
    pub fn new(rps: f64, now: Time) -> CloudClient {
        CloudClient {
            rate_limiter: TokenBucket::new(rps * CLOUD_RATE_SHARE, now),
            queue: VecDeque::new(),
            in_flight: 0,
            paused_until: 0,
            last_success_at: None,
            last_failure_at: None,
        }
    }

    /// Whether the cloud API is considered unavailable: its last call failed.
    pub fn is_unavailable(&self) -> bool {
        self.last_failure_at.is_some() && self.last_failure_at > self.last_success_at
    }

    /// Number of queued calls.
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Queues a call according to its priority.
    pub fn enqueue(&mut self, call: CloudCall) {
        match call {
            CloudCall::Return(_) => self.queue.push_front(call),
            CloudCall::Provision(_) => {
                let before = self.queue.iter().take_while(|c| {
                    !matches!(c, CloudCall::ListMachines(_) | CloudCall::ListTypes)
                });
                let position = before.count();
                self.queue.insert(position, call);
            }
            CloudCall::ListMachines(_) | CloudCall::ListTypes => self.queue.push_back(call),
        }
    }

    /// Sets the number of machines of a provisioning request that is still queued. Returns false if it has been sent.
    pub fn enlarge_queued_request(&mut self, request_id: &str, count: u32) -> bool {
        let queued = self.queue.iter_mut().find_map(|c| match c {
            CloudCall::Provision(request) if request.request_id == request_id => Some(request),
            _ => None,
        });
        queued.map(|request| request.count = count).is_some()
    }

    /// Discards all queued calls.
    pub fn clear_queue(&mut self) {
        self.queue.clear();
    }

    /// Takes the queued calls that may be sent now, by rate limit, backoff and concurrency.
    pub fn take_due_calls(&mut self, now: Time) -> Vec<CloudCall> {
        let mut due = Vec::new();
        while !self.queue.is_empty()
            && self.in_flight < MAX_CLOUD_CALLS_IN_FLIGHT
            && now >= self.paused_until
            && self.rate_limiter.can_take(1.0, 0.0, now)
        {
            let Some(call) = self.queue.pop_front() else { break };
            self.rate_limiter.take(1.0);
            self.in_flight += 1;
            due.push(call);
        }
        due
    }

    /// Whether a termination is queued.
    pub fn has_queued_return(&self) -> bool {
        self.queue.iter().any(|c| matches!(c, CloudCall::Return(_)))
    }

    /// Accounts for a call that the caller sends at once, bypassing the queue.
    pub fn count_immediate_call(&mut self) {
        self.rate_limiter.take(1.0);
        self.in_flight += 1;
    }

    /// Records the outcome of a call. The caller decides whether to queue a failed call again.
    pub fn on_outcome(&mut self, outcome: &CloudOutcome, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if matches!(outcome, CloudOutcome::Failed) {
            self.last_failure_at = Some(now);
            self.paused_until = now + CLOUD_BACKOFF_MS;
        } else {
            self.last_success_at = Some(now);
        }
    }
}
