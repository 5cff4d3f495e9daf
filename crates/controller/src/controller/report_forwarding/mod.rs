//! Forwarding of workers' reports between controllers. A follower batches the reports that it receives, sends them to
//! the leader and returns the leader's answers. A report with the same content as the previous one is sent as a hash.
//! If there are many workers, the leader distributes them, so that no controller holds all their connections, and lets
//! followers answer unchanged reports on its behalf for a limited time (delegated answering). A forwarded report proves
//! the absence of a task, or leads to the start of one, under the same conditions as a report sent to the leader itself.
//!
//! - [`forwarder`]: the follower's queue, its batches in flight and its delegation
//! - [`worker_distribution`]: when the leader distributes workers, and which of them it redirects
//! - this module: the messages between controllers in both directions

mod forwarder;
mod worker_distribution;

use super::requests::replies::http_status;
use super::{Action, Controller, Reply, RequestId};
use crate::Time;
use crate::cluster_state::{ClusterState, ReportSource};
use crate::constants::{FORWARD_TIMEOUT_MS, MAX_FORWARDING_HISTORY};
use crate::machine::MachineType;
use crate::machine::MessageOrder;
pub(super) use forwarder::ReportForwarder;
use forwarder::{AnsweredReport, InFlightBatch, OutgoingBatch, QueuedReport};
use std::collections::BTreeSet;
use std::sync::Arc;
use swiftsail_overload_control::constants::MAX_DELEGATION_MS;
use swiftsail_overload_control::delegated_answering::DelegationEvent;
use swiftsail_protocol::controllers::{ForwardedAnswers, ForwardedReport, ForwardedReports};
use swiftsail_protocol::workers::{Command, HeartbeatResponse, StatusReport};

/// The follower's side: sends reports to the leader and passes its answers on to the workers.
impl Controller {
    /// Sends the batches that are due and gives up those that will not be answered.
    pub(super) fn forward_queued_reports(&mut self) {
        let now = self.now.monotonic;
        self.report_forwarder.delegation.apply_event(DelegationEvent::TimePassed(now));
        let token = self.leadership.highest_token;
        for number in self.report_forwarder.lost_batches(token, now) {
            self.on_forwarded_answers(number, None);
        }
        let leader = self.leadership.known_leader.as_ref();
        let peer = leader.and_then(|leader| Some((leader, self.peers.get(leader)?)));
        let delays_batches = peer.is_some_and(|(_, peer)| peer.distributes_workers);
        let own_name = &self.settings.host_name;
        while let Some(outgoing) =
            self.report_forwarder.next_batch(own_name, token, delays_batches, now)
        {
            self.actions.push(outgoing.into_action());
        }
        if let Some((leader, _)) =
            peer.filter(|(_, peer)| peer.distributes_workers && peer.is_leader)
            && let Some(outgoing) = self.report_forwarder.next_summary(own_name, token, leader, now)
        {
            self.actions.push(outgoing.into_action());
        }
    }

    /// Answers an unchanged report by delegation. Returns false if the report must be forwarded to the leader.
    pub(super) fn answer_delegated(&mut self, id: RequestId, report: &StatusReport) -> bool {
        let now = self.now.monotonic;
        let Some(fencing_token) = self.report_forwarder.answer_unchanged(report, now) else {
            return false;
        };
        self.answer(id, heartbeat_reply(fencing_token, Vec::new()));
        true
    }

    /// Passes the leader's answers to a batch on to the workers. `answers` is none if the batch will not be answered:
    /// then each worker is redirected to the current leader.
    pub(super) fn on_forwarded_answers(&mut self, number: u64, answers: Option<ForwardedAnswers>) {
        let Some(batch) = self.report_forwarder.in_flight.remove(&number) else { return };
        let Some(answers) = answers.filter(|a| a.commands.len() == batch.reports.len()) else {
            return self.on_batch_unanswered(batch);
        };
        self.apply_delegation(&answers, batch.sent_at);
        if self.report_forwarder.answered_reports.len() >= MAX_FORWARDING_HISTORY {
            self.report_forwarder.answered_reports.clear();
        }
        let delegable = &answers.delegable_reports;
        for (index, (queued, commands)) in
            batch.reports.into_iter().zip(answers.commands).enumerate()
        {
            match commands {
                Some(commands) => {
                    let is_settled = delegable.binary_search(&index).is_ok();
                    self.on_report_answered(queued, answers.fencing_token, commands, is_settled);
                }
                None => self.forward_in_full(queued),
            }
        }
        for machine in answers.must_forward_machines {
            if let Some(answered) = self.report_forwarder.answered_reports.get_mut(&machine) {
                answered.is_settled = false;
            }
        }
    }

    fn on_batch_unanswered(&mut self, batch: InFlightBatch) {
        // The leader may not have been informed of the machines answered by delegation, so their next reports are
        // forwarded to it.
        self.report_forwarder.drop_delegation();
        for queued in batch.reports {
            let reply = self.redirect_to_leader();
            self.answer(queued.request, reply);
        }
    }

    /// Applies the delegation granted by the leader's answer to a batch. Its duration is counted from `sent_at`, when
    /// that batch was sent.
    fn apply_delegation(&mut self, answers: &ForwardedAnswers, sent_at: Time) {
        let ForwardedAnswers { fencing_token, delegation_ms, .. } = *answers;
        // A newer token ends any delegation under an older one.
        let event = if fencing_token < self.leadership.highest_token {
            DelegationEvent::Invalidated
        } else if delegation_ms == 0 {
            DelegationEvent::Refused
        } else {
            DelegationEvent::Granted { fencing_token, sent_at, duration_ms: delegation_ms }
        };
        self.report_forwarder.delegation.apply_event(event);
    }

    fn on_report_answered(
        &mut self,
        queued: QueuedReport,
        fencing_token: u64,
        commands: Vec<Command>,
        is_settled: bool,
    ) {
        // The worker's next report may be sent as a hash only if it contains this token.
        let answered = AnsweredReport {
            digest: queued.digest,
            session: queued.report.session,
            fencing_token,
            is_settled,
        };
        if !queued.is_stale {
            self.report_forwarder.answered_reports.insert(queued.report.machine, answered);
        }
        self.answer(queued.request, heartbeat_reply(fencing_token, commands));
    }

    /// Queues a report again, to be sent in full, because the leader does not know the content behind its hash.
    fn forward_in_full(&mut self, mut queued: QueuedReport) {
        // It has already been sent in full, or its worker will have timed out by the time of the answer.
        if queued.must_be_full || self.now.monotonic >= queued.queued_at + FORWARD_TIMEOUT_MS {
            let reply = self.redirect_to_leader();
            return self.answer(queued.request, reply);
        }
        queued.must_be_full = true;
        self.report_forwarder.queue.push_front(queued);
    }

    /// Number of reports that this controller has answered by delegation so far.
    pub fn delegated_answer_count(&self) -> u64 {
        self.report_forwarder.delegated_answer_count
    }
}

/// The leader's side: answers forwarded reports.
impl Controller {
    /// Answers a batch of a follower. A controller that does not lead rejects it and never forwards it again: otherwise
    /// two controllers that disagree on who leads would send it back and forth.
    pub(super) fn on_forwarded_reports(&mut self, request: RequestId, batch: &ForwardedReports) {
        let worker_tokens = batch.reports.iter().filter_map(|forwarded| match forwarded {
            ForwardedReport::Full { report, .. } => Some(report.fencing_token),
            ForwardedReport::Unchanged { .. } => None,
        });
        if self.leadership.observe_token(worker_tokens.max().unwrap_or(0)) {
            self.step_down("a worker has seen a newer token");
        }
        if !self.is_leader() || !self.may_answer() {
            let reply = Reply::retry_later("this node may not answer for the controllers");
            return self.answer(request, reply);
        }
        let now = self.now.monotonic;
        let types = self.machine_types.clone().unwrap_or_default();
        self.isolation.on_worker_contact(now);
        let Some(state) = &mut self.cluster_state else { return };
        let mut answers = state.answer_forwarded(batch, &types, now);
        answers.delegation_ms = if self.distributes_workers() { self.delegation_ms() } else { 0 };
        self.answer(request, Reply::new(http_status::OK, &answers));
        self.close_finished_jobs();
    }

    /// Time for which a follower may answer for this leader, ms. A worker's lease granted at the end of it still expires
    /// before any cancellation that the leader does not know must have taken effect.
    fn delegation_ms(&self) -> u64 {
        self.remaining_answer_ms().min(MAX_DELEGATION_MS)
    }
}

impl ClusterState {
    /// Applies a follower's batch and returns the answers, except for the duration of the delegation.
    fn answer_forwarded(
        &mut self,
        batch: &ForwardedReports,
        types: &[MachineType],
        now: Time,
    ) -> ForwardedAnswers {
        let follower: Arc<str> = batch.controller.as_str().into();
        let mut answers =
            ForwardedAnswers { fencing_token: self.token, ..ForwardedAnswers::default() };
        let with_commands = self.take_machines_with_commands(&follower);
        let mut must_forward: BTreeSet<String> =
            with_commands.into_iter().map(|id| id.to_string()).collect();
        for answered in &batch.locally_answered {
            let message = MessageOrder { session: answered.session, sequence: answered.sequence };
            if !self.on_unchanged_report(&answered.machine, message, answered.content_hash, now) {
                must_forward.insert(answered.machine.clone());
            }
        }
        for (index, forwarded) in batch.reports.iter().enumerate() {
            let answer = match forwarded {
                ForwardedReport::Full { report, content_hash } => {
                    Some(self.answer_full_report(report, *content_hash, &follower, types, now))
                }
                ForwardedReport::Unchanged { machine, session, sequence, content_hash } => self
                    .on_unchanged_report(
                        machine,
                        MessageOrder { session: *session, sequence: *sequence },
                        *content_hash,
                        now,
                    )
                    .then(|| ReportAnswer { commands: Vec::new(), is_settled: true }),
            };
            if answer.as_ref().is_some_and(|answer| answer.is_settled) {
                answers.delegable_reports.push(index);
            }
            answers.commands.push(answer.map(|answer| answer.commands));
        }
        answers.must_forward_machines = must_forward.into_iter().collect();
        answers
    }

    fn answer_full_report(
        &mut self,
        report: &StatusReport,
        content_hash: u64,
        follower: &Arc<str>,
        types: &[MachineType],
        now: Time,
    ) -> ReportAnswer {
        let response = self.on_status_report(report, ReportSource::StatusReport, now, types);
        // A stale copy shows neither the current content nor the controller to which the worker reports.
        if let Some(machine) = self.machine_if_report_accepted(report, now) {
            machine.report_digest = Some(content_hash);
            machine.forwarded_by = Some(follower.clone());
        }
        let is_settled = self.is_settled(&report.machine, now);
        ReportAnswer { commands: response.commands, is_settled }
    }
}

/// The leader's answer to one forwarded report.
struct ReportAnswer {
    commands: Vec<Command>,
    /// The machine needs no commands, so its unchanged reports may be answered by delegation.
    is_settled: bool,
}

fn heartbeat_reply(fencing_token: u64, commands: Vec<Command>) -> Reply {
    Reply::new(http_status::OK, &HeartbeatResponse { fencing_token, commands })
}

impl OutgoingBatch {
    fn into_action(self) -> Action {
        Action::ForwardReports(self.number, self.leader, Box::new(self.reports))
    }
}
