//! Messages between the controllers and the state service, a key-value store with compare-and-swap transactions, leases
//! and watches. Types only. The store's revision (`epoch` on the wire) increases with every change. A key's mod revision
//! (`stamp`) is the revision of its latest change.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Paths of this interface, relative to the state service's address.
pub mod path {
    /// `GET`: one key ([`KeyValue`](super::KeyValue)), or a page of the keys with a prefix
    /// ([`KeyPage`](super::KeyPage)).
    pub const KEYS: &str = "/kv";
    /// `POST`: a [`Transaction`](super::Transaction).
    pub const TRANSACTIONS: &str = "/commit";
    /// `POST` grants a lease; `DELETE` of this path followed by the lease's number revokes it.
    pub const LEASES: &str = "/grants";
    /// `POST` renews a lease: the last segment of the path, after the lease's number.
    pub const LEASE_RENEWAL: &str = "extend";
    /// `GET`: a watch (long poll). The response is a [`WatchResponse`](super::WatchResponse).
    pub const WATCH: &str = "/follow";
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(default)]
    pub key: String,
    /// The value.
    #[serde(default)]
    pub value: Value,
    /// Revision of the key's latest change. Wire: `stamp`.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// Lease to which the key is attached, if any. When the lease ends, the key is deleted. Wire: `mooring`.
    #[serde(default, rename = "mooring")]
    pub lease: Option<u64>,
}

/// A page of keys with a common prefix.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyPage {
    /// The entries, ordered by key. Wire: `pairs`.
    #[serde(default, rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// Whether another page follows, starting after the last key of this one.
    #[serde(default)]
    pub has_next: bool,
    /// Store revision at which the page was read. Wire: `epoch`.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A transaction (compare-and-swap): all mutations are applied if all preconditions hold, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions. Wire: `when`.
    #[serde(rename = "when")]
    pub preconditions: Vec<Precondition>,
    /// The mutations, which all get the same revision. If empty, the transaction only checks the preconditions.
    /// Wire: `apply`.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// A precondition of a transaction: a key is at the given mod revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The expected mod revision; 0: the key must not exist. Wire: `stamp`.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change of one key by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a value.
    Put {
        /// The key. Wire: `write`.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        value: Value,
        /// Lease to which to attach the key. None: the key is detached from any lease. Wire: `mooring`.
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

/// Response to a transaction that was committed (200) or in which a precondition failed (409).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Store revision of the commit, or at which the preconditions were checked. Wire: `epoch`.
    #[serde(default, rename = "epoch")]
    pub revision: u64,
    /// Keys whose precondition failed. Wire: `failed`.
    #[serde(default, rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is renewed, ms.
    pub ttl_ms: u64,
}

/// A lease that was granted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease. Wire: `mooring`.
    #[serde(rename = "mooring")]
    pub lease: u64,
}

/// Changes of the keys with a prefix after a given revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which `events` contains all changes. Wire: `epoch`.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, oldest first. Wire: `news`.
    #[serde(default, rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// The latest change of a key. Exactly one of `put_key` and `deleted_key` is set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was put. Wire: `write`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "write")]
    pub put_key: Option<String>,
    /// The key, if it was deleted. Wire: `remove`.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "remove")]
    pub deleted_key: Option<String>,
    /// The new value, if the key was put.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change. Wire: `stamp`.
    #[serde(default, rename = "stamp")]
    pub mod_revision: u64,
}
