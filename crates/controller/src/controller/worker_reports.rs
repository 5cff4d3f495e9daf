//! Workers' status reports: the leader answers them; a follower forwards them to the leader or redirects the worker.

use super::{Action, Controller, Reply, RequestId};
use crate::Time;
use crate::cluster_state::ReportSource;
use crate::constants::{
    ANSWER_MARGIN_MS, FORWARDING_DURATION_MS, HEARTBEAT_VALIDITY_MS, MAX_FORWARDING_HISTORY,
    MIN_ANSWER_VALIDITY_MS, MS_PER_S, REDIRECT_FAILURE_WINDOW_MS,
};
use crate::leadership::AnswerAuthority;
use swiftsail_protocol::workers::{Redirect, StatusReport};

/// What this follower last did with a worker's reports. Times are 0 if it never happened.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ForwardingHistory {
    forwarded_at: Time,
    redirected_at: Time,
    /// Reports are forwarded without another redirection until then: the worker cannot reach the leader.
    forward_until: Time,
    /// Session and sequence number of the newest report received here.
    latest: (u64, u64),
}

impl Controller {
    /// 421 with the leader to which the worker should report instead, if this controller knows one other than itself.
    pub(super) fn redirect_to_leader(&self) -> Reply {
        let leader = self.leadership.known_leader.clone().filter(|l| *l != self.settings.host_name);
        Reply::new(421, &Redirect { controller: leader })
    }

    /// Handles a worker's status report: answers it as the leader, forwards or redirects it as a follower, or defers
    /// it while this controller does not know whether it may answer.
    pub(super) fn on_status_report(&mut self, id: RequestId, report: Box<StatusReport>) {
        if self.leadership.observe_token(report.fencing_token) {
            self.step_down("a worker has seen a newer token");
        }
        let must_wait =
            self.loading_state.is_some() || !self.is_lease_confirmed() && !self.may_answer();
        if must_wait && self.deferred_reports.len() < self.budget.waiting_reports {
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
        } else if let Some(redirect) = self.redirect_to_less_loaded(&report) {
            redirect
        } else if let Some(state) = &mut self.cluster_state {
            let types = self.machine_types.as_deref().map_or(&[][..], Vec::as_slice);
            self.isolation.on_worker_contact(self.now.monotonic);
            let response = state.on_status_report(
                &report,
                ReportSource::StatusReport,
                self.now.monotonic,
                types,
            );
            if let Some(machine) = state.machine_if_report_accepted(&report, self.now.monotonic) {
                (machine.forwarded_by, machine.report_digest) = (None, None);
            }
            Reply::new(200, &response)
        } else {
            self.redirect_to_leader()
        };
        self.actions.push(Action::Reply(id, reply));
        self.close_finished_jobs();
    }

    /// Forwards a report to the leader, or redirects its worker there. A worker's first report is forwarded, so that
    /// the worker's lease is renewed in any case; the next one is answered with a redirect to the leader. A worker
    /// that returns after a redirect could not reach the leader, for instance because of a network partition between
    /// them, and its reports are forwarded for a while. A forwarded report is always answered by the leader itself.
    /// Only while the leader distributes workers may unchanged reports be answered here, by delegation.
    pub(super) fn forward_or_redirect(&mut self, id: RequestId, report: Box<StatusReport>) {
        let now = self.now.monotonic;
        let reachable_leader = self.leadership.known_leader.as_ref().and_then(|leader| {
            let peer = self.peers.get(leader)?;
            let is_fresh = now.saturating_sub(peer.health.heartbeat_at) <= HEARTBEAT_VALIDITY_MS;
            (is_fresh && peer.is_leader).then(|| (leader.clone(), peer.distributes_workers))
        });
        if self.forwarding_history.len() >= MAX_FORWARDING_HISTORY {
            self.forwarding_history.clear();
        }
        let history = self.forwarding_history.entry(report.machine.clone()).or_default();
        let order = (report.session, report.sequence);
        // A stale report is a duplicate, or comes from a worker that has restarted. Only the leader can tell which,
        // so it is forwarded and changes nothing here.
        let is_stale = order <= history.latest;
        history.latest = history.latest.max(order);
        let is_recent = |at: Time| at > 0 && now.saturating_sub(at) <= REDIRECT_FAILURE_WINDOW_MS;
        let Some((leader, distributes_workers)) = reachable_leader else {
            // If this controller receives no heartbeats from the leader, a worker in the same zone probably cannot
            // reach the leader either. Naming the leader each time would keep such a worker from trying a third
            // controller.
            let has_lost_leader =
                self.leadership.known_leader.as_ref().is_some_and(|l| self.peers.contains_key(l));
            let reply = if has_lost_leader && report.zone == self.settings.site
                || is_recent(history.redirected_at)
            {
                Reply::new(421, &Redirect { controller: None })
            } else {
                history.redirected_at = now;
                self.redirect_to_leader()
            };
            return self.actions.push(Action::Reply(id, reply));
        };
        let has_room = self.report_forwarder.has_room(self.budget.waiting_reports);
        if is_stale && has_room {
            return self.report_forwarder.push(id, report, &leader, true, now);
        }
        if distributes_workers && has_room {
            // Workers that are distributed among the controllers stay with the one that they report to.
            *history = ForwardingHistory { latest: history.latest, ..ForwardingHistory::default() };
            if self.answer_delegated(id, &report) {
                return;
            }
            return self.report_forwarder.push(id, report, &leader, false, now);
        }
        if now >= history.forward_until && is_recent(history.redirected_at) {
            history.forward_until = now + FORWARDING_DURATION_MS;
        } else if now >= history.forward_until && is_recent(history.forwarded_at) {
            *history = ForwardingHistory {
                redirected_at: now,
                latest: history.latest,
                ..ForwardingHistory::default()
            };
            let reply = self.redirect_to_leader();
            return self.actions.push(Action::Reply(id, reply));
        }
        history.forwarded_at = now;
        history.redirected_at = 0;
        self.report_forwarder.push(id, report, &leader, false, now);
    }

    /// Handles a worker's response to commands that this controller sent to it directly, or its report in answer to a
    /// probe.
    pub(super) fn on_command_response(&mut self, report: &StatusReport) {
        if self.leadership.observe_token(report.fencing_token) {
            self.step_down("a worker has seen a newer token");
        }
        if let Some(state) = &mut self.cluster_state {
            let types = self.machine_types.as_deref().map_or(&[][..], Vec::as_slice);
            self.isolation.on_worker_contact(self.now.monotonic);
            state.on_status_report(
                report,
                ReportSource::CommandResponse,
                self.now.monotonic,
                types,
            );
        }
        self.close_finished_jobs();
    }

    /// Time for which a leader may answer workers after the moment as of which it knows every cancellation that was
    /// confirmed to a user, ms. A lease renewed by such an answer expires before a cancellation that the leader has
    /// missed since then is due after `cancel_s`.
    fn answer_validity_ms(&self) -> u64 {
        let workers = &self.settings.settings.workers;
        let slack_ms = ((workers.cancel_s - workers.lease_s) * MS_PER_S) as u64;
        slack_ms.saturating_sub(ANSWER_MARGIN_MS).max(MIN_ANSWER_VALIDITY_MS.min(slack_ms / 2))
    }

    /// Two times for a leader: when it sent its latest successful read of the jobs, and as of when it knows every
    /// cancellation that was confirmed to a user, by that read or by endorsements of its peers.
    fn cancellations_known_as_of(&self) -> (Option<Time>, Option<Time>) {
        // While the lease is unconfirmed, its own reads do not count: another controller may be the leader.
        let read_at = self
            .cluster_state
            .as_ref()
            .filter(|_| self.is_lease_confirmed())
            .map(|state| state.jobs_current_as_of);
        let (from, now) = (self.endorsements_valid_from(), self.now.monotonic);
        let controllers = self.settings.controllers();
        (read_at, self.cancellations.known_as_of(read_at, from, controllers, now))
    }

    /// Time for which this leader may go on answering workers if it receives neither reads nor endorsements, ms.
    pub(super) fn remaining_answer_ms(&self) -> u64 {
        let known_as_of = self.cancellations_known_as_of().1;
        let valid_until = known_as_of.map(|at| at + self.answer_validity_ms());
        valid_until.map_or(0, |until| until.saturating_sub(self.now.monotonic))
    }

    /// Whether this leader may answer workers now.
    pub(super) fn may_answer(&self) -> bool {
        self.remaining_answer_ms() > 0
    }

    /// Updates the grounds on which this leader answers workers, and logs a change.
    pub(super) fn update_answer_authority(&mut self) {
        let Some(state) = &self.cluster_state else { return };
        let fencing_token = state.token;
        let (read_at, known_as_of) = self.cancellations_known_as_of();
        let validity_ms = self.answer_validity_ms();
        let authority = AnswerAuthority::of(read_at, known_as_of, validity_ms, self.now.monotonic);
        if self.answer_authority.advance(authority) {
            let sure_ms = self.remaining_answer_ms();
            match authority {
                AnswerAuthority::Lost => {
                    tracing::warn!(fencing_token, "stopped answering workers")
                }
                _ => tracing::info!(fencing_token, by = ?authority, sure_ms, "answering workers"),
            }
        }
    }

    /// The grounds on which this leader answers workers; `None` if this controller does not lead.
    pub fn answer_authority(&self) -> Option<AnswerAuthority> {
        self.cluster_state.as_ref().map(|_| self.answer_authority)
    }
}
