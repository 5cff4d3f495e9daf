//! The machine types that the cloud offers: read from the cloud, and stored in the state service for controllers that
//! start while the cloud is unavailable.

use super::{CallContext, Controller, chunks};
use crate::constants::MACHINE_TYPES_INTERVAL_MS;
use crate::job::keys;
use crate::machine::MachineType;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use std::sync::Arc;
use swiftsail_protocol::cloud::MachineTypes;
use swiftsail_protocol::state::{Precondition, Transaction};

impl Controller {
    /// Replaces the known machine types. An empty list is ignored.
    pub(super) fn set_machine_types(&mut self, types: &MachineTypes) {
        if !types.machine_types.is_empty() {
            let types = types.machine_types.iter().map(MachineType::from).collect();
            self.machine_types = Some(Arc::new(types));
        }
    }

    /// Makes the next tick request the machine types from the cloud, if they are not known.
    pub(super) fn request_machine_types(&mut self) {
        if self.machine_types.is_none() {
            self.machine_types_requested_at = 0;
        }
    }

    /// Stores the machine types in the state service. Does nothing unless this controller leads.
    pub(super) fn store_machine_types(&mut self, types: &MachineTypes) {
        let Some(state) = &self.cluster_state else { return };
        let is_leader = Precondition { key: keys::LEADER.into(), mod_revision: state.token };
        let transaction = Transaction {
            preconditions: vec![is_leader],
            mutations: vec![chunks::put_mutation(keys::MACHINE_TYPES.into(), types)],
        };
        let context = CallContext::WriteMachineTypes { generation: state.generation };
        let retry_policy = RetryPolicy::OnceBefore(self.now.monotonic + MACHINE_TYPES_INTERVAL_MS);
        self.store.push(StoreCall::Commit(transaction), context, CallPriority::Low, retry_policy);
    }

    /// Handles the read of the stored machine types, which are used until the cloud has returned them.
    pub(super) fn on_stored_machine_types(&mut self, outcome: StoreOutcome) {
        if let StoreOutcome::Found(entry) = outcome
            && self.machine_types.is_none()
            && let Ok(types) = serde_json::from_value::<MachineTypes>(entry.value)
        {
            self.set_machine_types(&types);
        }
    }
}
