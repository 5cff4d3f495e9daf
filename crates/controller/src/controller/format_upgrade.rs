//! Gate for new record formats during a rolling upgrade. A version that cannot read a record of a new format would
//! ignore it: it would not start a job with dependencies, and would start the tasks of a binding run again. Nothing in a
//! new format is therefore written until every other controller has announced in a heartbeat that it reads the format.
//! This is then recorded in the state service permanently, so that a controller that starts later need not wait for
//! heartbeats from all others.

use super::{CallContext, Controller};
use crate::constants::{
    BINDING_RUNS_FORMAT, DEPENDENCIES_FORMAT, FORMAT_VERSION, USER_STORE_TIMEOUT_MS,
};
use crate::job::keys;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use swiftsail_protocol::state::{Precondition, Transaction};

/// The format record: value of the key `term/form`.
#[derive(Debug, Serialize, Deserialize)]
struct FormatRecord {
    /// Format version that every controller reads.
    #[serde(rename = "form")]
    version: u32,
}

/// State of this controller's write of the format record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum UpgradeStage {
    /// None is in flight.
    #[default]
    Idle,
    /// The record is being raised to this version.
    Raising(u32),
}

/// Which record formats may be written, as far as this controller knows.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    /// Changed only by [`FormatUpgrade::advance`].
    stage: UpgradeStage,
    /// Format version that every controller reads, according to the format record; 0: there is no record.
    recorded_version: u32,
    /// Mod revision of the format record; 0: there is none.
    mod_revision: u64,
    /// Format versions that the latest heartbeats of the other controllers announced, by host name.
    peer_versions: BTreeMap<String, u32>,
}

impl FormatUpgrade {
    /// Changes the stage; the only function that does. Returns false if the change is not allowed: the record is not
    /// written twice at once, and not to a version that is recorded already.
    fn advance(&mut self, to: UpgradeStage) -> bool {
        let allowed = match (self.stage, to) {
            (UpgradeStage::Idle, UpgradeStage::Raising(version)) => version > self.recorded_version,
            (UpgradeStage::Raising(_), UpgradeStage::Idle) => true,
            _ => false,
        };
        if allowed {
            self.stage = to;
        }
        allowed
    }

    /// Handles a read of the format record, with its mod revision. `None`: the key does not exist.
    pub fn on_format_record(&mut self, entry: Option<(&Value, u64)>) {
        let Some((value, mod_revision)) = entry else { return };
        let Ok(record) = FormatRecord::deserialize(value) else { return };
        self.on_recorded(record.version, mod_revision);
    }

    /// Records the version in the format record. A recorded version is never lowered.
    fn on_recorded(&mut self, version: u32, mod_revision: u64) {
        self.recorded_version = self.recorded_version.max(version);
        self.mod_revision = self.mod_revision.max(mod_revision);
    }

    /// Records the format version that another controller announced in a heartbeat.
    pub fn on_peer_version(&mut self, peer: &str, version: u32) {
        match self.peer_versions.get_mut(peer) {
            Some(known) => *known = version,
            None => {
                self.peer_versions.insert(peer.to_string(), version);
            }
        }
    }

    /// Whether jobs with dependencies may be accepted.
    pub fn supports_dependencies(&self) -> bool {
        self.recorded_version >= DEPENDENCIES_FORMAT
    }

    /// Whether binding chunks may contain runs.
    pub fn supports_binding_runs(&self) -> bool {
        self.recorded_version >= BINDING_RUNS_FORMAT
    }

    /// Begins to raise the recorded version to the highest that this controller and all these others read. Returns that
    /// version, or `None` if it is recorded already or a write is in flight.
    fn begin_raising<'a>(&mut self, others: impl Iterator<Item = &'a str>) -> Option<u32> {
        let peer_version = |peer: &str| self.peer_versions.get(peer).copied().unwrap_or(0);
        let version = others.map(peer_version).fold(FORMAT_VERSION, u32::min);
        self.advance(UpgradeStage::Raising(version)).then_some(version)
    }
}

impl Controller {
    /// Writes the format record if every other controller has announced a newer format than is recorded. Called when a
    /// request or a job needs a newer format.
    pub(super) fn request_format_upgrade(&mut self) {
        let others = self.settings.others.iter().map(|other| other.host_name.as_str());
        let Some(version) = self.format_upgrade.begin_raising(others) else { return };
        let transaction = Transaction {
            preconditions: vec![Precondition {
                key: keys::RECORD_FORMAT.into(),
                mod_revision: self.format_upgrade.mod_revision,
            }],
            mutations: vec![super::chunks::put_mutation(
                keys::RECORD_FORMAT.into(),
                &FormatRecord { version },
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

    /// Handles the outcome of the write of the format record. If another controller has written the record, it is read
    /// with the other keys under `term/` within a second.
    pub(super) fn on_format_raised(&mut self, outcome: &StoreOutcome) {
        let UpgradeStage::Raising(version) = self.format_upgrade.stage else { return };
        self.format_upgrade.advance(UpgradeStage::Idle);
        if let StoreOutcome::Committed(revision) = outcome {
            self.format_upgrade.on_recorded(version, *revision);
            tracing::info!(form = version, "format upgraded: every controller reads it");
        }
    }

    /// Lets a leader write binding runs as soon as every controller reads them. Until then, requests the format upgrade
    /// while a gang waits that needs runs.
    pub(super) fn update_binding_encoding(&mut self) {
        let is_supported = self.format_upgrade.supports_binding_runs();
        let Some(state) = &mut self.cluster_state else { return };
        state.writes_binding_runs = is_supported;
        if !is_supported && state.has_waiting_large_gang() {
            self.request_format_upgrade();
        }
    }
}
