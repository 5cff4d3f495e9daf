//! The cloud's client as a pure machine: order of calls and their rate.

use crate::Time;
use crate::constants::{CLOUD_BACKOFF_MS, CLOUD_RATE_SHARE, MAX_CLOUD_CALLS_IN_FLIGHT};
use crate::store::TokenBucket;
use std::collections::VecDeque;
use swiftsail_protocol::cloud::{
    MachineNames, MachinePage, MachineTypes, ProvisionMachinesRequest,
};

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum CloudCall {
    /// Read the machine types.
    ListTypes,
    /// Rent.
    Provision(ProvisionMachinesRequest),
    /// Return machines.
    Return(Vec<String>),
    /// Read a page of the list, after this name.
    ListMachines(Option<String>),
}

/// What came of it.
#[derive(Debug, Clone)]
pub enum CloudOutcome {
    /// Machine types.
    Types(MachineTypes),
    /// Machines rented.
    Provisioned(MachineNames),
    /// None to be had.
    NoCapacity,
    /// The machines are gone.
    Returned,
    /// A page of the list.
    Listed(MachinePage),
    /// Refused as malformed: a defect.
    Malformed(String),
    /// Not executed, or unknown.
    Failed,
}

/// The client: returns first, then rentals, then reading.
#[derive(Debug)]
pub struct CloudClient {
    rate_limiter: TokenBucket,
    queue: VecDeque<CloudCall>,
    in_flight: usize,
    paused_until: Time,
    /// When it last answered.
    pub last_success_at: Option<Time>,
    /// When it last did not.
    pub last_failure_at: Option<Time>,
}

impl CloudClient {
    /// A client that keeps within this rate.
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

    /// Whether the cloud's interface is known to be away.
    pub fn is_unavailable(&self) -> bool {
        self.last_failure_at.is_some() && self.last_failure_at > self.last_success_at
    }

    /// Calls that wait.
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Asks for a call.
    pub fn enqueue(&mut self, call: CloudCall) {
        match call {
            CloudCall::Return(_) => self.queue.push_front(call),
            CloudCall::Provision(_) => {
                let at = self.queue.iter().take_while(|c| {
                    !matches!(c, CloudCall::ListMachines(_) | CloudCall::ListTypes)
                });
                let at = at.count();
                self.queue.insert(at, call);
            }
            CloudCall::ListMachines(_) | CloudCall::ListTypes => self.queue.push_back(call),
        }
    }

    /// Makes a rental that still waits ask for that many machines. False if it has left.
    pub fn enlarge_queued_request(&mut self, charter: &str, number: u32) -> bool {
        let waits = self.queue.iter_mut().find_map(|c| match c {
            CloudCall::Provision(rent) if rent.request_id == charter => Some(rent),
            _ => None,
        });
        waits.map(|rent| rent.count = number).is_some()
    }

    /// Drops everything that waits.
    pub fn clear_queue(&mut self) {
        self.queue.clear();
    }

    /// Calls that may leave now.
    pub fn take_due_calls(&mut self, now: Time) -> Vec<CloudCall> {
        let mut out = Vec::new();
        while !self.queue.is_empty()
            && self.in_flight < MAX_CLOUD_CALLS_IN_FLIGHT
            && now >= self.paused_until
            && self.rate_limiter.can_take(1.0, 0.0, now)
        {
            let Some(call) = self.queue.pop_front() else { break };
            self.rate_limiter.take(1.0);
            self.in_flight += 1;
            out.push(call);
        }
        out
    }

    /// Whether a return waits to leave.
    pub fn has_queued_return(&self) -> bool {
        self.queue.iter().any(|c| matches!(c, CloudCall::Return(_)))
    }

    /// A call leaves at once, past those that wait.
    pub fn count_immediate_call(&mut self) {
        self.rate_limiter.take(1.0);
        self.in_flight += 1;
    }

    /// Takes note of an outcome. A call that failed is asked for again by the caller.
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
