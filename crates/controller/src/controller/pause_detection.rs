//! Pauses of the process during which clocks run on: it was frozen, swapped out or got no processor time. After a
//! pause its queue of messages and its knowledge of the cluster are as old as the pause. A leader whose lease may
//! have expired confirms it before it writes, commands workers or answers them; every controller disregards
//! endorsements from before the pause.

use super::{CallContext, Controller, Reply};
use crate::constants::{HEARTBEAT_INTERVAL_MS, LEASE_RENEW_INTERVAL_MS, STORE_TIMEOUT_MS};
use crate::leadership::LeaseValidity;
use crate::store::{CallPriority, RetryPolicy, StoreCall};

impl Controller {
    /// Handles the end of a pause of the process. A leader whose lease may have expired renews it and reads the
    /// leader's key.
    pub(super) fn on_resume(&mut self, paused_ms: u64) {
        let now = self.now.monotonic;
        self.resumed_at = now;
        self.report_forwarder.drop_delegation();
        let needs_confirmation = self.leadership.on_resume(now);
        tracing::warn!(paused_ms, needs_confirmation, "process was paused");
        if needs_confirmation {
            self.renew_lease();
            self.read_leader_key();
        }
    }

    /// Requests a renewal of the leader's lease.
    pub(super) fn renew_lease(&mut self) {
        let now = self.now.monotonic;
        self.leadership.renew_at = now + LEASE_RENEW_INTERVAL_MS;
        let context =
            CallContext::RenewLease { generation: self.leadership.generation, requested_at: now };
        let call = StoreCall::RenewLease(self.leadership.lease);
        self.store.push(
            call,
            context,
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(now + LEASE_RENEW_INTERVAL_MS),
        );
    }

    /// Whether this controller's lease, if it has one, is known to be valid. False only after a long pause, until a
    /// renewal requested after the pause succeeds.
    pub(super) fn is_lease_confirmed(&self) -> bool {
        self.leadership.lease_validity() == LeaseValidity::Confirmed
    }

    /// Time from which on heartbeats of peers count, and endorsements in them; 0 if the process was never paused. A
    /// heartbeat that is handled directly after a pause may have waited in a socket for the whole pause.
    pub(super) fn endorsements_valid_from(&self) -> u64 {
        if self.resumed_at == 0 { 0 } else { self.resumed_at + HEARTBEAT_INTERVAL_MS }
    }

    /// Answers deferred reports with 503 if the lease is still unconfirmed a store timeout after the pause, so that
    /// their workers try another controller.
    pub(super) fn reject_deferred_reports_if_unconfirmed(&mut self) {
        if let LeaseValidity::Unconfirmed(since) = self.leadership.lease_validity()
            && self.now.monotonic >= since + STORE_TIMEOUT_MS
        {
            for (id, _) in std::mem::take(&mut self.deferred_reports) {
                self.answer(
                    id,
                    Reply::retry_later("this node does not know whether it still leads"),
                );
            }
        }
    }

    /// Handles the renewal of the lease by a request sent at `requested_at`. If that confirms the lease, the reports
    /// that waited for it are handled.
    pub(super) fn on_lease_renewed(&mut self, requested_at: u64) {
        let was_confirmed = self.is_lease_confirmed();
        self.leadership.on_lease_renewed(requested_at);
        if was_confirmed || !self.is_lease_confirmed() {
            return;
        }
        tracing::info!(fencing_token = self.leadership.token, "lease confirmed after pause");
        // While a new leader is loading, reports stay deferred until it has finished.
        if self.loading_state.is_none() {
            for (id, report) in std::mem::take(&mut self.deferred_reports) {
                self.on_status_report(id, report);
            }
        }
    }
}
