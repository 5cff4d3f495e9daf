//! Workers' reports: answered by the leader, passed on or sent on by the others.

use super::{Action, Controller, Reply, RequestId};
use crate::Time;
use crate::cluster_state::ReportSource;
use crate::constants::{
    ANSWER_MARGIN_MS, FORWARDING_DURATION_MS, HEARTBEAT_VALIDITY_MS, MAX_FORWARDING_HISTORY,
    MIN_ANSWER_VALIDITY_MS, MS_PER_S, REDIRECT_FAILURE_WINDOW_MS,
};
use crate::leadership::AnswerAuthority;
use swiftsail_protocol::workers::{Redirect, StatusReport};

/// What this node, not leading, has done with a worker's reports.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ForwardingHistory {
    forwarded_at: Time,
    redirected_at: Time,
    forward_until: Time,
    /// Newest (session, tick) that has come here.
    latest: (u64, u64),
}

impl Controller {
    /// Where a worker should report instead.
    pub(super) fn redirect_to_leader(&self) -> Reply {
        let leader = self.leadership.known_leader.clone().filter(|l| *l != self.settings.host_name);
        Reply::new(421, &Redirect { controller: leader })
    }

    pub(super) fn on_status_report(&mut self, id: RequestId, report: Box<StatusReport>) {
        if self.leadership.observe_token(report.fencing_token) {
            self.step_down("a worker has seen a newer token");
        }
        let waits =
            self.loading_state.is_some() || !self.is_lease_confirmed() && !self.may_answer();
        if waits && self.deferred_reports.len() < self.budget.waiting_reports {
            self.deferred_reports.push((id, report));
            return;
        }
        if !self.is_leader() {
            return self.forward_or_redirect(id, report);
        }
        let reply = if !self.may_answer() {
            Reply::retry_later(
                "without the state service this node may not answer for the controllers",
            )
        } else if let Some(elsewhere) = self.redirect_to_less_loaded(&report) {
            elsewhere
        } else if let Some(leader) = &mut self.cluster_state {
            let types = self.machine_types.as_deref().map_or(&[][..], Vec::as_slice);
            self.isolation.on_worker_contact(self.now.monotonic);
            let orders = leader.on_status_report(
                &report,
                ReportSource::StatusReport,
                self.now.monotonic,
                types,
            );
            if let Some(machine) = leader.machine_if_report_accepted(&report, self.now.monotonic) {
                (machine.forwarded_by, machine.report_digest) = (None, None);
            }
            Reply::new(200, &orders)
        } else {
            self.redirect_to_leader()
        };
        self.actions.push(Action::Reply(id, reply));
        self.close_finished_jobs();
    }

    /// Not leading: a worker's first report is passed on to the leader, so that its lease lives;
    /// the next is answered with the way there. A worker that comes back could not reach the
    /// leader (a cut between them) and is served through this node for a while. The answer passed
    /// on is always the leader's own.
    pub(super) fn forward_or_redirect(&mut self, id: RequestId, report: Box<StatusReport>) {
        let now = self.now.monotonic;
        let near = self.leadership.known_leader.as_ref().and_then(|l| {
            let peer = self.peers.get(l)?;
            let fresh = now.saturating_sub(peer.health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS;
            (fresh && peer.is_leader).then(|| (l.clone(), peer.distributes_workers))
        });
        if self.forwarding_history.len() >= MAX_FORWARDING_HISTORY {
            self.forwarding_history.clear();
        }
        let passed = self.forwarding_history.entry(report.machine.clone()).or_default();
        let at = (report.session, report.sequence);
        // A copy, or a worker that has begun anew: the leader can tell, and nothing is learnt from it here.
        let late = at <= passed.latest;
        passed.latest = passed.latest.max(at);
        let recent = |at: Time| at > 0 && now.saturating_sub(at) <= REDIRECT_FAILURE_WINDOW_MS;
        let Some((leader, shares)) = near else {
            // Where this node has lost the leader, a worker of its zone will not reach it either:
            // named again and again, the leader would keep it from ever trying the third node.
            let lost =
                self.leadership.known_leader.as_ref().is_some_and(|l| self.peers.contains_key(l));
            let reply = if lost && report.zone == self.settings.site || recent(passed.redirected_at)
            {
                Reply::new(421, &Redirect { controller: None })
            } else {
                passed.redirected_at = now;
                self.redirect_to_leader()
            };
            return self.actions.push(Action::Reply(id, reply));
        };
        let room = self.report_forwarder.has_room(self.budget.waiting_reports);
        if late && room {
            return self.report_forwarder.push(id, report, &leader, true, now);
        }
        if shares && room {
            // Where workers are shared each stays with the node that it has found.
            *passed = ForwardingHistory { latest: passed.latest, ..ForwardingHistory::default() };
            if self.answer_delegated(id, &report) {
                return;
            }
            return self.report_forwarder.push(id, report, &leader, false, now);
        }
        if now >= passed.forward_until && recent(passed.redirected_at) {
            passed.forward_until = now + FORWARDING_DURATION_MS;
        } else if now >= passed.forward_until && recent(passed.forwarded_at) {
            *passed = ForwardingHistory {
                redirected_at: now,
                latest: passed.latest,
                ..ForwardingHistory::default()
            };
            let reply = self.redirect_to_leader();
            return self.actions.push(Action::Reply(id, reply));
        }
        passed.forwarded_at = now;
        passed.redirected_at = 0;
        self.report_forwarder.push(id, report, &leader, false, now);
    }

    pub(super) fn on_command_response(&mut self, report: &StatusReport) {
        if self.leadership.observe_token(report.fencing_token) {
            self.step_down("a worker has seen a newer token");
        }
        if let Some(leader) = &mut self.cluster_state {
            let types = self.machine_types.as_deref().map_or(&[][..], Vec::as_slice);
            self.isolation.on_worker_contact(self.now.monotonic);
            leader.on_status_report(
                report,
                ReportSource::CommandResponse,
                self.now.monotonic,
                types,
            );
        }
        self.close_finished_jobs();
    }

    /// Time for which this node may answer reports after it knew of every cancellation that a user was told of,
    /// whatever happens elsewhere, ms: a lease granted then ends before any falls due.
    fn answer_validity_ms(&self) -> u64 {
        let workers = &self.settings.settings.workers;
        let spare = ((workers.cancel_s - workers.lease_s) * MS_PER_S) as u64;
        spare.saturating_sub(ANSWER_MARGIN_MS).max(MIN_ANSWER_VALIDITY_MS.min(spare / 2))
    }

    /// When this node, leading, asked for what it has read of the jobs; and as of when it knows every cancellation
    /// that a user was told of, by that or by others' word.
    fn cancellations_known_as_of(&self) -> (Option<Time>, Option<Time>) {
        // In doubt of its lead, a node has only others' word.
        let read = self
            .cluster_state
            .as_ref()
            .filter(|_| self.is_lease_confirmed())
            .map(|l| l.jobs_current_as_of);
        let (from, now) = (self.endorsements_valid_from(), self.now.monotonic);
        (read, self.cancellations.known_as_of(read, from, self.settings.controllers(), now))
    }

    /// For how long this node, leading, may go on answering if it learns nothing more, ms.
    pub(super) fn remaining_answer_ms(&self) -> u64 {
        let known = self.cancellations_known_as_of().1;
        known.map_or(0, |at| (at + self.answer_validity_ms()).saturating_sub(self.now.monotonic))
    }

    pub(super) fn may_answer(&self) -> bool {
        self.remaining_answer_ms() > 0
    }

    /// Tells those on call by what this leader answers its workers, when that changes.
    pub(super) fn update_answer_authority(&mut self) {
        let Some(leader) = &self.cluster_state else { return };
        let fencing_token = leader.token;
        let (read, known) = self.cancellations_known_as_of();
        let to = AnswerAuthority::of(read, known, self.answer_validity_ms(), self.now.monotonic);
        if self.answer_authority.advance(to) {
            let sure_ms = self.remaining_answer_ms();
            match to {
                AnswerAuthority::Lost => {
                    tracing::warn!(fencing_token, "stopped answering workers")
                }
                _ => tracing::info!(fencing_token, by = ?to, sure_ms, "answering workers"),
            }
        }
    }

    /// By what this node, leading, answers its workers.
    pub fn answer_authority(&self) -> Option<AnswerAuthority> {
        self.cluster_state.as_ref().map(|_| self.answer_authority)
    }
}
