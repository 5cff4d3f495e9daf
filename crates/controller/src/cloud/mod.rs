//! The cloud's client as a pure machine: order of calls and their rate.

use crate::Time;
use crate::constants::*;
use crate::store::Bucket;
use std::collections::VecDeque;
use swiftsail_protocol::cloud::{Berths, Listing, Rent, Types};

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum Call {
    /// Read the machine types.
    Types,
    /// Rent.
    Rent(Rent),
    /// Return machines.
    Return(Vec<String>),
    /// Read a page of the list, after this name.
    List(Option<String>),
}

/// What came of it.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// Machine types.
    Types(Types),
    /// Machines rented.
    Rented(Berths),
    /// None to be had.
    NoCapacity,
    /// The machines are gone.
    Returned,
    /// A page of the list.
    Listed(Listing),
    /// Refused as malformed: a defect.
    Malformed(String),
    /// Not executed, or unknown.
    Failed,
}

/// The client: returns first, then rentals, then reading.
#[derive(Debug)]
pub struct Cloud {
    bucket: Bucket,
    queue: VecDeque<Call>,
    flying: usize,
    paused_until: Time,
    /// When it last answered.
    pub last_ok: Option<Time>,
    /// When it last did not.
    pub last_fail: Option<Time>,
}

impl Cloud {
    /// A client that keeps within this rate.
    pub fn new(rps: f64, now: Time) -> Cloud {
        Cloud {
            bucket: Bucket::new(rps * CLOUD_SHARE, now),
            queue: VecDeque::new(),
            flying: 0,
            paused_until: 0,
            last_ok: None,
            last_fail: None,
        }
    }

    /// Whether the cloud's interface is known to be away.
    pub fn away(&self) -> bool {
        self.last_fail.is_some() && self.last_fail > self.last_ok
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Asks for a call.
    pub fn push(&mut self, call: Call) {
        match call {
            Call::Return(_) => self.queue.push_front(call),
            Call::Rent(_) => {
                let at =
                    self.queue.iter().take_while(|c| !matches!(c, Call::List(_) | Call::Types));
                let at = at.count();
                self.queue.insert(at, call);
            }
            Call::List(_) | Call::Types => self.queue.push_back(call),
        }
    }

    /// Makes a rental that still waits ask for that many machines. False if it has left.
    pub fn enlarge(&mut self, charter: &str, number: u32) -> bool {
        let waits = self.queue.iter_mut().find_map(|c| match c {
            Call::Rent(rent) if rent.charter == charter => Some(rent),
            _ => None,
        });
        waits.map(|rent| rent.number = number).is_some()
    }

    /// Drops everything that waits.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    /// Calls that may leave now.
    pub fn pump(&mut self, now: Time) -> Vec<Call> {
        let mut out = Vec::new();
        while !self.queue.is_empty()
            && self.flying < CLOUD_IN_FLIGHT_MOST
            && now >= self.paused_until
            && self.bucket.can(1.0, 0.0, now)
        {
            let Some(call) = self.queue.pop_front() else { break };
            self.bucket.take(1.0);
            self.flying += 1;
            out.push(call);
        }
        out
    }

    /// Whether a return waits to leave.
    pub fn returns_wait(&self) -> bool {
        self.queue.iter().any(|c| matches!(c, Call::Return(_)))
    }

    /// A call leaves at once, past those that wait.
    pub fn leave(&mut self) {
        self.bucket.take(1.0);
        self.flying += 1;
    }

    /// Takes note of an outcome. A call that failed is asked for again by the caller.
    pub fn finish(&mut self, outcome: &Outcome, now: Time) {
        self.flying = self.flying.saturating_sub(1);
        if matches!(outcome, Outcome::Failed) {
            self.last_fail = Some(now);
            self.paused_until = now + CLOUD_BACKOFF_MS;
        } else {
            self.last_ok = Some(now);
        }
    }
}
