//! Gate for a new record format during a rolling upgrade. A version that cannot read jobs with dependencies would not
//! start them, and would treat their bindings as stale. No such job is therefore accepted until every other
//! controller has announced in a heartbeat that it reads the format. This is then recorded in the state service
//! permanently, so that a controller that starts later need not wait for heartbeats from all others.

use super::{CallContext, Controller};
use crate::constants::{FORMAT_VERSION, USER_STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{Precondition, Transaction};

/// Progress of the upgrade, as far as this controller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum UpgradeStage {
    /// A controller of an earlier version may be running.
    #[default]
    Mixed,
    /// The format record is being written.
    Raising,
    /// Every controller reads the new format.
    Raised,
}

/// The format record: value of the key `term/form`.
#[derive(Debug, Serialize, Deserialize)]
struct FormatRecord {
    /// Format version that every controller reads.
    #[serde(rename = "form")]
    version: u32,
}

/// Whether records in the new format may be written.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    stage: UpgradeStage,
    /// Host names of the other controllers whose latest heartbeat announced the new format.
    upgraded_peers: BTreeSet<String>,
}

impl FormatUpgrade {
    /// Changes the stage; the only function that does. Returns false if the change is not allowed: a raised format is
    /// never lowered, and the record is not written twice at once.
    fn advance(&mut self, to: UpgradeStage) -> bool {
        let is_repeat = self.stage == UpgradeStage::Raising && to == UpgradeStage::Raising;
        let allowed = self.stage != UpgradeStage::Raised && !is_repeat;
        if allowed {
            self.stage = to;
        }
        allowed
    }

    /// Handles a read of the format record. `None`: the key does not exist.
    pub fn on_format_record(&mut self, value: Option<&Value>) {
        let record = value.and_then(|v| FormatRecord::deserialize(v).ok());
        if record.is_some_and(|record| record.version >= FORMAT_VERSION) {
            self.advance(UpgradeStage::Raised);
        }
    }

    /// Records the format version that another controller announced in a heartbeat.
    pub fn on_peer_version(&mut self, peer: &str, version: u32) {
        if version >= FORMAT_VERSION {
            if !self.upgraded_peers.contains(peer) {
                self.upgraded_peers.insert(peer.to_string());
            }
        } else {
            self.upgraded_peers.remove(peer);
        }
    }

    /// Whether jobs with dependencies may be accepted.
    pub fn is_raised(&self) -> bool {
        self.stage == UpgradeStage::Raised
    }
}

impl Controller {
    /// Writes the format record if every other controller has announced the new format. Called for a request that
    /// needs it.
    pub(super) fn request_format_upgrade(&mut self) {
        let all_peers_upgraded = self
            .settings
            .others
            .iter()
            .all(|other| self.format_upgrade.upgraded_peers.contains(&other.host_name));
        if !all_peers_upgraded || !self.format_upgrade.advance(UpgradeStage::Raising) {
            return;
        }
        let transaction = Transaction {
            preconditions: vec![Precondition { key: keys::RECORD_FORMAT.into(), mod_revision: 0 }],
            mutations: vec![super::chunks::put_mutation(
                keys::RECORD_FORMAT.into(),
                &FormatRecord { version: FORMAT_VERSION },
            )],
        };
        let retry_policy = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        self.store.push(
            StoreCall::Commit(transaction),
            CallContext::RaiseFormatVersion,
            CallPriority::High,
            retry_policy,
        );
    }

    /// Handles the outcome of the write of the format record.
    pub(super) fn on_format_raised(&mut self, outcome: &StoreOutcome) {
        let stage = match outcome {
            StoreOutcome::Committed(_) => UpgradeStage::Raised,
            // If another controller has written the record, it is read with the other keys under `term/` within a
            // second.
            _ => UpgradeStage::Mixed,
        };
        if self.format_upgrade.advance(stage) && stage == UpgradeStage::Raised {
            tracing::info!(
                form = FORMAT_VERSION,
                "format upgraded: every controller reads jobs with dependencies"
            );
        }
    }
}
