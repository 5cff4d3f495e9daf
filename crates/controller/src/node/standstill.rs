//! A process that stands still while clocks run on: frozen, swapped out, or starved of its processor. It
//! wakes with its queue and with beliefs as old as its sleep. Whoever held the lead proves it anew before it
//! writes, commands or answers; everybody drops what others vouched for.

use super::{Node, Purpose, Reply};
use crate::constants::*;
use crate::store::{Call, Patience, Urgency};
use crate::term::Proof;

impl Node {
    /// The process has stood still for so long.
    pub(super) fn wake(&mut self, stood_ms: u64) {
        let now = self.now.steady;
        self.woke_at = now;
        self.relays.lose_duty();
        let doubted = self.term.wake(now);
        tracing::warn!(stood_ms, doubted, "this process has stood still");
        if doubted {
            self.extend();
            self.read_term();
        }
    }

    /// Asks for more time of the grant.
    pub(super) fn extend(&mut self) {
        let now = self.now.steady;
        self.term.extend_at = now + GRANT_EXTEND_MS;
        let purpose = Purpose::Extend { era: self.term.era, asked: now };
        let call = Call::Extend(self.term.grant);
        self.store.push(call, purpose, Urgency::Term, Patience::Once(now + GRANT_EXTEND_MS));
    }

    /// Whether this node does not doubt its own lead.
    pub(super) fn sure(&self) -> bool {
        self.term.proof() == Proof::Held
    }

    /// Of what others say, only this may be counted on: a heartbeat that was heard in the first moments
    /// after a standstill has waited in a socket for as long as that lasted.
    pub(super) fn vouched_from(&self) -> u64 {
        if self.woke_at == 0 { 0 } else { self.woke_at + BEAT_MS }
    }

    /// Reports do not wait for a proof that does not come: their workers look for another controller.
    pub(super) fn doubt_on(&mut self) {
        if let Proof::Doubted(since) = self.term.proof()
            && self.now.steady >= since + STORE_TIMEOUT_MS
        {
            for (id, _) in std::mem::take(&mut self.held_reports) {
                self.answer(id, Reply::later("this node does not know whether it still leads"));
            }
        }
    }

    /// The grant was extended: what waited for it is done now.
    pub(super) fn proved(&mut self, asked: u64) {
        let doubted = !self.sure();
        self.term.extended(asked);
        if !doubted || !self.sure() {
            return;
        }
        tracing::info!(term = self.term.token, "the lead is proved anew");
        // A new leader that still reads the store holds them until it has.
        if self.loading.is_none() {
            for (id, report) in std::mem::take(&mut self.held_reports) {
                self.on_report(id, report);
            }
        }
    }
}
