//! Calls that the state service refused: those that no repetition can change, and those that may succeed later.

use super::StoreOutcome;
use serde::Serialize;
use swiftsail_protocol::state::{Mutation, Transaction};

/// Number of calls that the state service refused, since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RefusalCounts {
    /// Refused as malformed, mostly because a limit is exceeded: the same call is always refused again.
    pub permanent: u64,
    /// Refused because a rate was exceeded, or because the service is unavailable, to all or to this node.
    pub temporary: u64,
}

impl RefusalCounts {
    /// Counts the outcome of a call, if it is a refusal.
    pub fn record(&mut self, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Malformed(_) => self.permanent += 1,
            StoreOutcome::RateLimited | StoreOutcome::Unavailable => self.temporary += 1,
            _ => {}
        }
    }
}

/// Size of a transaction in the quantities that the state service limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransactionSize {
    /// The whole transaction as JSON, bytes.
    pub bytes: usize,
    /// Its largest value as JSON, bytes.
    pub largest_value_bytes: usize,
    /// Puts and deletes.
    pub mutations: usize,
    /// Preconditions.
    pub preconditions: usize,
}

impl TransactionSize {
    /// The size of a transaction.
    pub fn of(transaction: &Transaction) -> TransactionSize {
        let value_bytes = |mutation: &Mutation| match mutation {
            Mutation::Put { value, .. } => json_bytes(value),
            Mutation::Delete { .. } => 0,
        };
        TransactionSize {
            bytes: json_bytes(transaction),
            largest_value_bytes: transaction.mutations.iter().map(value_bytes).max().unwrap_or(0),
            mutations: transaction.mutations.len(),
            preconditions: transaction.preconditions.len(),
        }
    }
}

fn json_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len())
}
