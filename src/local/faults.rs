//! Faults that can be injected while `swiftsail local` runs.

use crate::constants::LOCAL_MAX_FAULT_S;
use clap::Subcommand;
use serde::{Deserialize, Serialize};

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Subcommand, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Crash a controller; it restarts after a few seconds
    Crash {
        /// Number of the controller, from 0
        node: usize,
    },
    /// Make the state service unavailable, for all controllers or for one
    Store {
        /// Duration, s
        seconds: f64,
        /// Number of the only controller affected
        #[arg(long)]
        node: Option<usize>,
    },
    /// Make the cloud's API unavailable
    Cloud {
        /// Duration, s
        seconds: f64,
    },
    /// Partition a zone from the other zones, the state service and the cloud
    Zone {
        /// Name of the zone
        zone: String,
        /// Duration, s
        seconds: f64,
    },
    /// Make the cloud reclaim spot machines
    Spot {
        /// Number of machines
        number: usize,
    },
    /// Make machines hang
    Hang {
        /// Number of machines
        number: usize,
        /// Duration, s
        seconds: f64,
    },
    /// Make machines fail every task that they start from now on
    Spoil {
        /// Number of machines
        number: usize,
    },
}

impl Fault {
    /// Returns why the fault is invalid for this number of controllers and these zones, or none if it is valid. The
    /// message is sent to the requester.
    pub fn validation_error(&self, controller_count: usize, zones: &[String]) -> Option<String> {
        let (node, seconds) = match self {
            Fault::Crash { node } => (Some(*node), None),
            Fault::Store { seconds, node } => (*node, Some(*seconds)),
            Fault::Cloud { seconds } | Fault::Hang { seconds, .. } => (None, Some(*seconds)),
            Fault::Zone { zone, .. } if !zones.contains(zone) => {
                return Some(format!("zone `{zone}` is unknown; there are {}", zones.join(", ")));
            }
            Fault::Zone { seconds, .. } => (None, Some(*seconds)),
            Fault::Spot { .. } | Fault::Spoil { .. } => (None, None),
        };
        if let Some(node) = node.filter(|n| *n >= controller_count) {
            return Some(format!(
                "controller {node} is unknown; there are 0 to {}",
                controller_count - 1
            ));
        }
        let is_invalid = |s: &f64| !(s.is_finite() && *s > 0.0 && *s <= LOCAL_MAX_FAULT_S);
        let invalid_seconds = seconds.filter(is_invalid)?;
        Some(format!("{invalid_seconds} s is not a time above 0 and up to {LOCAL_MAX_FAULT_S} s"))
    }
}
