//! Pauses of the process while clocks run on: frozen, swapped out, or starved of its processor. It resumes with a queue of
//! old messages and with beliefs as old as the pause. A leader then confirms its lease before it writes, commands or
//! answers; every controller drops endorsements from before the pause.

use super::{CallContext, Controller, Reply};
use crate::constants::{HEARTBEAT_INTERVAL_MS, LEASE_RENEW_MS, STORE_TIMEOUT_MS};
use crate::leadership::LeaseValidity;
use crate::store::{CallPriority, RetryPolicy, StoreCall};

impl Controller {
    /// The process resumed after a pause of this length.
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

    /// Renews the leader's lease.
    pub(super) fn renew_lease(&mut self) {
        let now = self.now.monotonic;
        self.leadership.renew_at = now + LEASE_RENEW_MS;
        let context =
            CallContext::RenewLease { generation: self.leadership.generation, requested_at: now };
        let call = StoreCall::RenewLease(self.leadership.lease);
        self.store.push(
            call,
            context,
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(now + LEASE_RENEW_MS),
        );
    }

    /// Whether this controller's lease, if it has one, is known to be valid. False only after a long pause, until the lease
    /// was renewed since.
    pub(super) fn is_lease_confirmed(&self) -> bool {
        self.leadership.lease_validity() == LeaseValidity::Confirmed
    }

    /// Time from which on peers' heartbeats count. One handled in the first moments after a pause may have waited in a socket
    /// for as long as that lasted.
    pub(super) fn endorsements_valid_from(&self) -> u64 {
        if self.resumed_at == 0 { 0 } else { self.resumed_at + HEARTBEAT_INTERVAL_MS }
    }

    /// Answers deferred reports with 503 if the lease is not confirmed in time, so that their workers try another
    /// controller.
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

    /// The lease was renewed by a request sent at this time: reports that waited for its confirmation are handled.
    pub(super) fn on_lease_renewed(&mut self, requested_at: u64) {
        let was_confirmed = self.is_lease_confirmed();
        self.leadership.on_lease_renewed(requested_at);
        if was_confirmed || !self.is_lease_confirmed() {
            return;
        }
        tracing::info!(fencing_token = self.leadership.token, "lease confirmed after pause");
        // A new leader that is still loading defers them until it has loaded.
        if self.loading_state.is_none() {
            for (id, report) in std::mem::take(&mut self.deferred_reports) {
                self.on_status_report(id, report);
            }
        }
    }
}
