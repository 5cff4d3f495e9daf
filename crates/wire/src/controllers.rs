//! Between controllers.

use serde::{Deserialize, Serialize};

/// Paths of this interface.
pub mod path {
    /// Heartbeats.
    pub const BEAT: &str = "/beat";
    /// A worker's report passed on to the leader; its answer goes back as it is.
    pub const RELAY: &str = "/relay";
}

/// Heartbeat: what a controller knows of the term and of the state service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Who sends it.
    pub node: String,
    /// Highest token it has seen.
    pub token: u64,
    /// Whether it leads under that token.
    pub leads: bool,
    /// Time since the state service last answered it, ms.
    pub store_age_ms: u64,
    /// Of the leader: counts for display, as (job, done, running).
    #[serde(default)]
    pub counts: Vec<(String, u32, u32)>,
    /// Of the leader, where plug-ins advise on admission: attributes of the cluster, in the order in
    /// which they are documented.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cluster: Vec<f64>,
}
