//! The controllers and the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Paths of this interface.
pub mod path {
    /// Keys.
    pub const KEYS: &str = "/kv";
    /// Transactions.
    pub const TRANSACTIONS: &str = "/commit";
    /// Leases.
    pub const LEASES: &str = "/grants";
    /// Extension of a lease, after its number.
    pub const LEASE_RENEWAL: &str = "extend";
    /// Watches.
    pub const WATCH: &str = "/follow";
}

/// One key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub value: Value,
    /// Revision of its latest change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// Lease it is attached to.
    #[serde(default)]
    #[serde(rename = "mooring")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// Keys in order.
    #[serde(default)]
    #[serde(rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "when")]
    pub preconditions: Vec<Precondition>,
    /// Changes.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// A condition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Its stamp; 0: it does not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A put or a delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Put.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its value.
        value: Value,
        /// Lease to attach it to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "mooring")]
        lease: Option<u64>,
    },
    /// Delete.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// Answer to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision.
    #[serde(default)]
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its number.
    #[serde(rename = "mooring")]
    pub lease: u64,
}

/// Changes seen by a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which they are told.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "write")]
    pub put_key: Option<String>,
    /// Key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "remove")]
    pub deleted_key: Option<String>,
    /// Value put.
    #[serde(default)]
    pub value: Value,
    /// Revision.
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}
