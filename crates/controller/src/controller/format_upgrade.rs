//! The gate for a new record format during a rolling upgrade. A version that does not read jobs with dependencies would not
//! start them, and would take their bindings for stale ones. So none is accepted until every other controller has
//! announced in a heartbeat that it reads the format. That is recorded in the state service once and for good, so that a
//! controller that starts later need not hear all the others again.

use super::{CallContext, Controller};
use crate::constants::{FORMAT_VERSION, USER_STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{Precondition, Transaction};

/// Progress of the upgrade, as this controller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum UpgradeStage {
    /// A controller of an earlier version may be running.
    #[default]
    Mixed,
    /// The record is being written.
    Raising,
    /// Every controller reads the format.
    Raised,
}

/// Value of the key `term/form`.
#[derive(Debug, Serialize, Deserialize)]
struct FormatRecord {
    /// Format version that every controller reads.
    form: u32,
}

/// Which record format may be written.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    stage: UpgradeStage,
    /// Other controllers whose latest heartbeat announced the format.
    heard: BTreeSet<String>,
}

impl FormatUpgrade {
    /// The only transition function. A raised format is never lowered.
    fn advance(&mut self, to: UpgradeStage) -> bool {
        let is_repeat = self.stage == UpgradeStage::Raising && to == UpgradeStage::Raising;
        let allowed = self.stage != UpgradeStage::Raised && !is_repeat;
        if allowed {
            self.stage = to;
        }
        allowed
    }

    /// The format record was read; none: there is no such key.
    pub fn on_format_record(&mut self, value: Option<&Value>) {
        let record = value.and_then(|v| FormatRecord::deserialize(v).ok());
        if record.is_some_and(|r| r.form >= FORMAT_VERSION) {
            self.advance(UpgradeStage::Raised);
        }
    }

    /// Another controller announced the format that it reads.
    pub fn on_peer_version(&mut self, node: &str, form: u32) {
        if form >= FORMAT_VERSION {
            if !self.heard.contains(node) {
                self.heard.insert(node.to_string());
            }
        } else {
            self.heard.remove(node);
        }
    }

    /// Whether jobs with dependencies may be accepted.
    pub fn is_raised(&self) -> bool {
        self.stage == UpgradeStage::Raised
    }
}

impl Controller {
    /// A request needs the new format: it is raised if every other controller has announced it.
    pub(super) fn request_format_upgrade(&mut self) {
        let all = self
            .settings
            .others
            .iter()
            .all(|other| self.format_upgrade.heard.contains(&other.host_name));
        if !all || !self.format_upgrade.advance(UpgradeStage::Raising) {
            return;
        }
        let transaction = Transaction {
            preconditions: vec![Precondition { key: keys::RECORD_FORMAT.into(), mod_revision: 0 }],
            mutations: vec![super::chunks::put_mutation(
                keys::RECORD_FORMAT.into(),
                &FormatRecord { form: FORMAT_VERSION },
            )],
        };
        let until = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        self.store.push(
            StoreCall::Commit(transaction),
            CallContext::RaiseFormatVersion,
            CallPriority::High,
            until,
        );
    }

    /// The write of the format record ended.
    pub(super) fn on_format_raised(&mut self, outcome: &StoreOutcome) {
        let to = match outcome {
            StoreOutcome::Committed(_) => UpgradeStage::Raised,
            // Another controller's write, if any, is read with `term/` within a second.
            _ => UpgradeStage::Mixed,
        };
        if self.format_upgrade.advance(to) && to == UpgradeStage::Raised {
            tracing::info!(
                form = FORMAT_VERSION,
                "format upgraded: every controller reads jobs with dependencies"
            );
        }
    }
}
