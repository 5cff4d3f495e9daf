//! A process that stands still while clocks run on: frozen, swapped out, or starved of its processor. It
//! wakes with its queue and with beliefs as old as its sleep. Whoever held the lead proves it anew before it
//! writes, commands or answers; everybody drops what others vouched for.

use super::{CallContext, Controller, Reply};
use crate::constants::{HEARTBEAT_INTERVAL_MS, LEASE_RENEW_MS, STORE_TIMEOUT_MS};
use crate::leadership::LeaseValidity;
use crate::store::{CallPriority, RetryPolicy, StoreCall};

impl Controller {
    /// The process has stood still for so long.
    pub(super) fn on_resume(&mut self, stood_ms: u64) {
        let now = self.now.monotonic;
        self.resumed_at = now;
        self.report_forwarder.drop_delegation();
        let doubted = self.leadership.on_resume(now);
        tracing::warn!(stood_ms, doubted, "process was paused");
        if doubted {
            self.renew_lease();
            self.read_leader_key();
        }
    }

    /// Asks for more time of the grant.
    pub(super) fn renew_lease(&mut self) {
        let now = self.now.monotonic;
        self.leadership.renew_at = now + LEASE_RENEW_MS;
        let purpose =
            CallContext::RenewLease { generation: self.leadership.generation, requested_at: now };
        let call = StoreCall::RenewLease(self.leadership.lease);
        self.store.push(
            call,
            purpose,
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(now + LEASE_RENEW_MS),
        );
    }

    /// Whether this node does not doubt its own lead.
    pub(super) fn is_lease_confirmed(&self) -> bool {
        self.leadership.lease_validity() == LeaseValidity::Confirmed
    }

    /// Of what others say, only this may be counted on: a heartbeat that was heard in the first moments
    /// after a standstill has waited in a socket for as long as that lasted.
    pub(super) fn endorsements_valid_from(&self) -> u64 {
        if self.resumed_at == 0 { 0 } else { self.resumed_at + HEARTBEAT_INTERVAL_MS }
    }

    /// Reports do not wait for a proof that does not come: their workers look for another controller.
    pub(super) fn recheck_lease(&mut self) {
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

    /// The grant was extended: what waited for it is done now.
    pub(super) fn on_lease_renewed(&mut self, asked: u64) {
        let doubted = !self.is_lease_confirmed();
        self.leadership.on_lease_renewed(asked);
        if !doubted || !self.is_lease_confirmed() {
            return;
        }
        tracing::info!(fencing_token = self.leadership.token, "lease confirmed after pause");
        // A new leader that still reads the store holds them until it has.
        if self.loading_state.is_none() {
            for (id, report) in std::mem::take(&mut self.deferred_reports) {
                self.on_status_report(id, report);
            }
        }
    }
}
