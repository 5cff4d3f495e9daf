//! The controllers and the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Paths of this interface.
pub mod path {
    /// Keys.
    pub const KV: &str = "/kv";
    /// Transactions.
    pub const COMMIT: &str = "/commit";
    /// Leases.
    pub const GRANTS: &str = "/grants";
    /// Extension of a lease, after its number.
    pub const EXTEND: &str = "extend";
    /// Watches.
    pub const FOLLOW: &str = "/follow";
}

/// One key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(default)]
    pub value: Value,
    /// Revision of its latest change.
    pub stamp: u64,
    /// Lease it is attached to.
    #[serde(default)]
    pub mooring: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys in order.
    #[serde(default)]
    pub pairs: Vec<Pair>,
    /// Whether more follow.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store.
    pub epoch: u64,
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// Conditions.
    pub when: Vec<When>,
    /// Changes.
    pub apply: Vec<Change>,
}

/// A condition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct When {
    /// The key.
    pub key: String,
    /// Its stamp; 0: it does not exist.
    pub stamp: u64,
}

/// A put or a delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Put.
    Write {
        /// The key.
        write: String,
        /// Its value.
        value: Value,
        /// Lease to attach it to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        mooring: Option<u64>,
    },
    /// Delete.
    Remove {
        /// The key.
        remove: String,
    },
}

/// Answer to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Committed {
    /// Revision.
    #[serde(default)]
    pub epoch: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// Time to live.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Granted {
    /// Its number.
    pub mooring: u64,
}

/// Changes seen by a watch.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Revision up to which they are told.
    pub epoch: u64,
    /// The changes.
    #[serde(default)]
    pub news: Vec<Item>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    /// Key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// Value put.
    #[serde(default)]
    pub value: Value,
    /// Revision.
    #[serde(default)]
    pub stamp: u64,
}
