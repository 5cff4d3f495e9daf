//! Whether every controller knows the form of records that this one writes. A version that does not know of jobs which
//! await others would not start them, since it cannot read their records; but it would take bindings of theirs for
//! left-overs. So none is accepted until each other controller has said in a heartbeat that its version knows them. That
//! is noted in the state service, once and for good: whoever begins later need not hear them all again.

use super::{CallContext, Controller};
use crate::constants::{FORMAT_VERSION, USER_STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{Precondition, Transaction};

/// Where the form stands, as this controller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum UpgradeStage {
    /// An earlier version may still serve.
    #[default]
    Mixed,
    /// The note is being written.
    Raising,
    /// Every controller knows it.
    Raised,
}

/// What the state service holds of it.
#[derive(Debug, Serialize, Deserialize)]
struct FormatRecord {
    /// The form that every controller reads.
    form: u32,
}

/// The form of records in use.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    stage: UpgradeStage,
    /// Other controllers whose latest heartbeat was of a version that knows it.
    heard: BTreeSet<String>,
}

impl FormatUpgrade {
    /// The one function that changes where it stands. What is raised is never lowered.
    fn advance(&mut self, to: UpgradeStage) -> bool {
        let again = self.stage == UpgradeStage::Raising && to == UpgradeStage::Raising;
        let allowed = self.stage != UpgradeStage::Raised && !again;
        if allowed {
            self.stage = to;
        }
        allowed
    }

    /// What the state service holds was read.
    pub fn on_format_record(&mut self, value: Option<&Value>) {
        let record = value.and_then(|v| FormatRecord::deserialize(v).ok());
        if record.is_some_and(|r| r.form >= FORMAT_VERSION) {
            self.advance(UpgradeStage::Raised);
        }
    }

    /// Another controller has told the form that its version knows.
    pub fn on_peer_version(&mut self, node: &str, form: u32) {
        if form >= FORMAT_VERSION {
            if !self.heard.contains(node) {
                self.heard.insert(node.to_string());
            }
        } else {
            self.heard.remove(node);
        }
    }

    /// Whether jobs that await others may be accepted.
    pub fn is_raised(&self) -> bool {
        self.stage == UpgradeStage::Raised
    }
}

impl Controller {
    /// Somebody wants what only the new form can say: it is raised if no earlier version serves any more.
    pub(super) fn request_format_upgrade(&mut self) {
        let all =
            self.settings.others.iter().all(|o| self.format_upgrade.heard.contains(&o.host_name));
        if !all || !self.format_upgrade.advance(UpgradeStage::Raising) {
            return;
        }
        let commit = Transaction {
            preconditions: vec![Precondition { key: keys::FORM.into(), mod_revision: 0 }],
            mutations: vec![super::chunks::put_change(
                keys::FORM.into(),
                &FormatRecord { form: FORMAT_VERSION },
            )],
        };
        let until = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        self.store.push(
            StoreCall::Commit(commit),
            CallContext::RaiseFormatVersion,
            CallPriority::High,
            until,
        );
    }

    /// The note was written, by this controller or by another before it; or it is not known.
    pub(super) fn on_format_raised(&mut self, outcome: &StoreOutcome) {
        let to = match outcome {
            StoreOutcome::Committed(_) => UpgradeStage::Raised,
            // Another's: the term is read anew every second, and the note with it.
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
