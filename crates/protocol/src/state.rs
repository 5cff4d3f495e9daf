//! Messages between the controllers and the state service, a key-value store with compare-and-swap transactions,
//! leases and watches. Types only. The store's revision (`epoch` on the wire) counts every change; a key's
//! mod revision (`stamp`) is the revision of its latest one.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Paths of this interface, below the state service's address.
pub mod path {
    /// `GET`: one key ([`KeyValue`](super::KeyValue)), or a page of those with a prefix
    /// ([`KeyPage`](super::KeyPage)).
    pub const KEYS: &str = "/kv";
    /// `POST`: a [`Transaction`](super::Transaction).
    pub const TRANSACTIONS: &str = "/commit";
    /// `POST` grants a lease; `DELETE` of its number below this path ends it.
    pub const LEASES: &str = "/grants";
    /// `POST`: last part of the path that renews a lease, after the lease's number.
    pub const LEASE_RENEWAL: &str = "extend";
    /// `GET`: a watch (long poll), answered by a [`WatchResponse`](super::WatchResponse).
    pub const WATCH: &str = "/follow";
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub value: Value,
    /// Revision of its latest change. Wire: `stamp`.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// The lease it is attached to: when that ends, the key is deleted. Wire: `mooring`.
    #[serde(default, rename = "mooring")]
    pub lease: Option<u64>,
}

/// A page of keys with a common prefix.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// Keys in their order. Wire: `pairs`.
    #[serde(default, rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// Whether another page follows after the last key of this one.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store as of which the page was read. Wire: `epoch`.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A transaction: all mutations are applied if every precondition holds, else none
/// (compare-and-swap).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold. Wire: `when`.
    #[serde(rename = "when")]
    pub preconditions: Vec<Precondition>,
    /// What is changed. All of it gets one revision. Empty: the transaction only compares.
    /// Wire: `apply`.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// A precondition of a transaction: a key is at a known revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision of its latest change; 0: the key does not exist. Wire: `stamp`.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change that a transaction makes to one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a value.
    Put {
        /// The key. Wire: `write`.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        value: Value,
        /// Lease to attach the key to; without it the key is detached from any. Wire: `mooring`.
        #[serde(default, skip_serializing_if = "Option::is_none", rename = "mooring")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key. Wire: `remove`.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// Response to a transaction, committed (200) or with a precondition that failed (409).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store: of the commit, or as of the comparison that failed. Wire: `epoch`.
    #[serde(default, rename = "epoch")]
    pub revision: u64,
    /// Keys whose precondition failed. Wire: `failed`.
    #[serde(default, rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live of the lease without a renewal, ms.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Number of the lease. Wire: `mooring`.
    #[serde(rename = "mooring")]
    pub lease: u64,
}

/// Changes under a prefix after a given revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which `events` holds every change. Wire: `epoch`.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, oldest first. Wire: `news`.
    #[serde(default, rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// The latest change of a key: exactly one of `put_key` and `deleted_key` is set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was put. Wire: `write`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "write")]
    pub put_key: Option<String>,
    /// The key, if it was deleted. Wire: `remove`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "remove")]
    pub deleted_key: Option<String>,
    /// The value put.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change. Wire: `stamp`.
    #[serde(default, rename = "stamp")]
    pub mod_revision: u64,
}
