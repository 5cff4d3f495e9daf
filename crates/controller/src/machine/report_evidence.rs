//! Evidence of a machine's connectivity from the sequence of its reports: whether responses and commands reach it (else
//! it is *unreachable inbound*), and whether its reports arrive while it responds to probes (else its *reports are
//! missing*).

use super::{Machine, MessageOrder};
use crate::Time;
use swiftsail_failure_detector::ReachabilityEvidence;
use swiftsail_failure_detector::constants::{
    ANSWERED_LEASE_SHARE, MIN_ANSWERED_REPORTS, SESSION_LASTED_LEASES, SILENT_RETURN_LEASE_SHARE,
};

/// History of a worker's current session under this leader.
#[derive(Debug)]
pub(super) struct SessionHistory {
    /// When the session was first seen.
    since: Time,
    /// Number of its reports that were answered under this leader's token.
    answered_reports: u32,
}

impl SessionHistory {
    pub(super) fn unanswered(now: Time) -> SessionHistory {
        SessionHistory { since: now, answered_reports: 0 }
    }
}

impl Machine {
    /// Records that a newer report under this leader's token has arrived and is answered. Returns the evidence of the
    /// machine's inbound reachability that its session gives, if any. Must be called before `last_message` is updated.
    pub fn on_answered_report(
        &mut self,
        session: u64,
        lease_ms: f64,
        now: Time,
    ) -> Option<ReachabilityEvidence> {
        if session != self.last_message.session {
            return self.on_new_session(lease_ms, now);
        }
        let history = &mut self.session_history;
        history.answered_reports = history.answered_reports.saturating_add(1);
        // Without responses, the lease would have expired and the session ended.
        let since = history.since.max(self.inbound.since());
        let lasted_ms = now.saturating_sub(since) as f64;
        (!self.inbound.is_reachable() && lasted_ms > lease_ms * SESSION_LASTED_LEASES)
            .then_some(ReachabilityEvidence::SessionOutlastedLease)
    }

    /// The worker's lease has expired and a new session begins. If enough reports were answered until recently, the
    /// responses did not arrive.
    fn on_new_session(&mut self, lease_ms: f64, now: Time) -> Option<ReachabilityEvidence> {
        let answered_before = self.session_history.answered_reports;
        self.session_history = SessionHistory { since: now, answered_reports: 1 };
        let silent_ms = self.last_contact_at.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let had_recent_contact = silent_ms < lease_ms * ANSWERED_LEASE_SHARE;
        (answered_before >= MIN_ANSWERED_REPORTS && had_recent_contact)
            .then_some(ReachabilityEvidence::SessionLostThoughAnswered)
    }

    /// Updates whether its reports are missing while it responds to probes: it then loses its lease again and again,
    /// and no start can be offered to it. Returns whether this has changed.
    pub fn update_reports_missing(&mut self, lease_ms: f64, now: Time) -> bool {
        let no_reports = self.since_last_report_ms(now) > lease_ms * SILENT_RETURN_LEASE_SHARE;
        let is_recent =
            |at: Time| (now.saturating_sub(at) as f64) < lease_ms * ANSWERED_LEASE_SHARE;
        let answers_probes = self.last_contact_at.is_some_and(is_recent);
        let missing = lease_ms > 0.0 && no_reports && answers_probes;
        std::mem::replace(&mut self.reports_missing, missing) != missing
    }

    /// Whether it responds to probes while none of its reports arrives.
    pub fn reports_missing(&self) -> bool {
        self.reports_missing
    }

    /// Time since its last report, or since this leader first knew it if that is later, ms.
    pub fn since_last_report_ms(&self, now: Time) -> f64 {
        now.saturating_sub(self.last_report_at.unwrap_or(0).max(self.known_at)) as f64
    }

    /// Resets what is known of its worker after a restart: sessions and reports are numbered from the start again, and
    /// the image cache is empty.
    pub fn on_worker_restart(&mut self, now: Time) {
        self.last_message = MessageOrder::default();
        self.last_report = MessageOrder::default();
        self.report_digest = None;
        self.session_history = SessionHistory::unanswered(now);
        self.is_restarted = true;
        self.highest_token = 0;
        self.images.clear();
        self.invalidate_free_resources();
    }
}
