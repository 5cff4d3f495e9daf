//! Faults that can be asked for while `swiftsail local` runs.

use crate::constants::LOCAL_MAX_FAULT_S;
use clap::Subcommand;
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Debug, Clone, PartialEq, Subcommand, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Crash a controller; it starts again after some seconds
    Crash {
        /// Its number, from 0
        node: usize,
    },
    /// Stop the state service, for all or for one controller
    Store {
        /// How long, s
        seconds: f64,
        /// Only for this controller
        #[arg(long)]
        node: Option<usize>,
    },
    /// Stop the cloud's interface
    Cloud {
        /// How long, s
        seconds: f64,
    },
    /// Cut a zone off from everything
    Zone {
        /// Its name
        zone: String,
        /// How long, s
        seconds: f64,
    },
    /// The cloud takes spot machines back
    Spot {
        /// How many
        number: usize,
    },
    /// Machines hang
    Hang {
        /// How many
        number: usize,
        /// How long, s
        seconds: f64,
    },
    /// Machines fail every task that they start
    Spoil {
        /// How many
        number: usize,
    },
}

impl Fault {
    /// What is impossible about it, if anything.
    pub fn validation_error(&self, nodes: usize, zones: &[String]) -> Option<String> {
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
        if let Some(node) = node.filter(|n| *n >= nodes) {
            return Some(format!("controller {node} is unknown; there are 0 to {}", nodes - 1));
        }
        let odd = |s: &f64| !(s.is_finite() && *s > 0.0 && *s <= LOCAL_MAX_FAULT_S);
        let odd = seconds.filter(odd)?;
        Some(format!("{odd} s is not a time above 0 and up to {LOCAL_MAX_FAULT_S} s"))
    }
}
