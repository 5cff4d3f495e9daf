//! Reports passed on between controllers: gathered, sent together, answered by the leader alone. What
//! shows the same as before goes as a few numbers. Where workers are many, the leader shares them out,
//! so that no controller holds all their connections, and gives the others the duty to answer unchanged
//! reports themselves; a proof and a start are exactly what they are when a worker reports to the leader
//! itself.

use super::{Action, Controller, Reply, RequestId};
use crate::Time;
use crate::cluster_state::ReportSource;
use crate::constants::{
    DISTRIBUTE_ABOVE, DISTRIBUTE_LOAD, DISTRIBUTE_SLACK, FORWARD_BATCH_BYTES, FORWARD_BATCH_MAX,
    FORWARD_GATHER_MS, FORWARD_TIMEOUT_MS, FORWARDING_HISTORY_MAX, FORWARDS_IN_FLIGHT_MAX,
    HEARTBEAT_FRESH_MS, LOAD_SLACK, REDIRECT_AGAIN_MS, REPORT_BYTES, SUMMARY_MS, TASK_STATUS_BYTES,
    UNCHANGED_MACHINE_BYTES,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use swiftsail_overload_control::constants::{
    CONNECTION_KB, MAX_DELEGATION_MS, RESERVED_CONNECTIONS,
};
use swiftsail_overload_control::delegated_answering::{DelegatedAnswering, DelegationEvent};
use swiftsail_protocol::controllers::{
    ForwardedAnswers, ForwardedReport, ForwardedReports, LocallyAnsweredReport,
};
use swiftsail_protocol::workers::{HeartbeatResponse, Redirect, StatusReport};

/// A report that waits to be passed on, or for its answer.
#[derive(Debug)]
struct QueuedReport {
    request: RequestId,
    report: Box<StatusReport>,
    digest: u64,
    since: Time,
    leader: String,
    /// The leader has asked for it whole.
    must_be_full: bool,
    /// Numbers as high have come here before: whatever it is, it says nothing of what is shown now.
    is_stale: bool,
}

/// A message on its way to the leader.
#[derive(Debug)]
struct InFlightBatch {
    sent_at: Time,
    /// The highest token known then: under a later one nobody answers it any more.
    token: u64,
    reports: Vec<QueuedReport>,
}

/// What a machine's last answered report showed.
#[derive(Debug)]
struct AnsweredReport {
    digest: u64,
    watch: u64,
    /// The leader that answered it.
    helm: u64,
    /// Nothing was left to be said to it.
    is_settled: bool,
}

/// Reports passed on by this node, and those that it answers itself.
#[derive(Debug, Default)]
pub(super) struct ReportForwarder {
    queue: VecDeque<QueuedReport>,
    in_flight: BTreeMap<u64, InFlightBatch>,
    next_batch: u64,
    answered_reports: HashMap<String, AnsweredReport>,
    delegation: DelegatedAnswering,
    /// Unchanged reports answered here that the leader has not been told of.
    self_answered: BTreeMap<String, (u64, u64, u64)>,
    summary_sent_at: Time,
    /// Reports answered here so far.
    pub answered_count: u64,
}

impl ReportForwarder {
    /// Whether another report may wait.
    pub fn has_room(&self, most: usize) -> bool {
        self.queue.len() < most
    }

    /// Takes a report to pass on.
    pub fn push(
        &mut self,
        request: RequestId,
        report: Box<StatusReport>,
        leader: &str,
        late: bool,
        now: Time,
    ) {
        let shown = report_digest(&report);
        let (leader, whole) = (leader.to_string(), false);
        self.queue.push_back(QueuedReport {
            request,
            report,
            digest: shown,
            since: now,
            leader,
            must_be_full: whole,
            is_stale: late,
        });
    }

    /// Answers a report that shows what the last one did, if the duty allows it: with which token. The
    /// leader is told later, and whatever it has to say it says to the next one.
    fn answer_same(&mut self, report: &StatusReport, now: Time) -> Option<u64> {
        let token = self.delegation.valid_fencing_token(now)?;
        let known = self.answered_reports.get(&report.machine)?;
        let shown = report_digest(report);
        let same = (known.digest, known.watch, known.helm) == (shown, report.session, token);
        if !same
            || !known.is_settled
            || report.fencing_token != token
            || report.reclaim_in_s.is_some()
        {
            return None;
        }
        self.self_answered.insert(report.machine.clone(), (report.session, report.sequence, shown));
        self.answered_count += 1;
        Some(token)
    }

    /// The duty ends, and with it what only it allowed.
    pub(super) fn drop_delegation(&mut self) {
        self.delegation.apply_event(DelegationEvent::LeaderUnheard);
        self.self_answered.clear();
        for known in self.answered_reports.values_mut() {
            known.is_settled = false;
        }
    }

    /// The next message, if it is time for one.
    fn next(
        &mut self,
        node: &str,
        token: u64,
        gather: bool,
        now: Time,
    ) -> Option<(u64, String, ForwardedReports)> {
        let first = self.queue.front()?;
        let due = !gather
            || first.must_be_full
            || self.queue.len() >= FORWARD_BATCH_MAX
            || now >= first.since + FORWARD_GATHER_MS;
        if !due || self.in_flight.len() >= FORWARDS_IN_FLIGHT_MAX {
            return None;
        }
        let leader = first.leader.clone();
        let (mut items, mut reports, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(item) = self.queue.front() {
            let report = &item.report;
            let same = !item.must_be_full
                && !item.is_stale
                && report.reclaim_in_s.is_none()
                && self.answered_reports.get(&report.machine).is_some_and(|k| {
                    (k.digest, k.watch, k.helm)
                        == (item.digest, report.session, report.fencing_token)
                });
            let size = REPORT_BYTES + if same { 0 } else { TASK_STATUS_BYTES * report.tasks.len() };
            let full = items.len() >= FORWARD_BATCH_MAX || bytes + size > FORWARD_BATCH_BYTES;
            if item.leader != leader || full && !items.is_empty() {
                break;
            }
            bytes += size;
            let (berth, watch) = (report.machine.clone(), report.session);
            reports.push(match same {
                true => ForwardedReport::Unchanged {
                    machine: berth,
                    session: watch,
                    sequence: report.sequence,
                    content_hash: item.digest,
                },
                false => {
                    ForwardedReport::Full { report: report.clone(), content_hash: item.digest }
                }
            });
            items.extend(self.queue.pop_front());
        }
        let room = (FORWARD_BATCH_BYTES - bytes.min(FORWARD_BATCH_BYTES)) / UNCHANGED_MACHINE_BYTES;
        let batch = ForwardedReports {
            controller: node.to_string(),
            reports,
            locally_answered: self.tell(room, now),
        };
        Some((self.send_batch(items, token, now), leader, batch))
    }

    /// A message without reports, if the leader has not been told for a while of those answered here.
    fn summary(
        &mut self,
        node: &str,
        token: u64,
        leader: &str,
        now: Time,
    ) -> Option<(u64, String, ForwardedReports)> {
        let due = now >= self.summary_sent_at + SUMMARY_MS
            && self.in_flight.len() < FORWARDS_IN_FLIGHT_MAX;
        if !due || self.delegation.valid_fencing_token(now).is_none() {
            return None;
        }
        let well = self.tell(FORWARD_BATCH_BYTES / UNCHANGED_MACHINE_BYTES, now);
        let batch = ForwardedReports {
            controller: node.to_string(),
            reports: Vec::new(),
            locally_answered: well,
        };
        Some((self.send_batch(Vec::new(), token, now), leader.to_string(), batch))
    }

    fn send_batch(&mut self, items: Vec<QueuedReport>, token: u64, now: Time) -> u64 {
        self.next_batch += 1;
        self.in_flight
            .insert(self.next_batch, InFlightBatch { sent_at: now, token, reports: items });
        self.next_batch
    }

    /// Messages that nobody will answer: whoever got them has ended, or leads no more. Their workers wait with
    /// them, 4 s and one more, and a leader that ends a few times in a row would cost them their leases.
    fn on_batch_failed(&self, token: u64, now: Time) -> Vec<u64> {
        let vain = |m: &InFlightBatch| m.token < token || now >= m.sent_at + FORWARD_TIMEOUT_MS;
        self.in_flight.iter().filter(|(_, m)| vain(m)).map(|(number, _)| *number).collect()
    }

    /// Takes what the leader is to be told of the reports answered here: with each summary, not with each
    /// message, so that a machine is told of once in a while however often it reports.
    fn tell(&mut self, most: usize, now: Time) -> Vec<LocallyAnsweredReport> {
        if now < self.summary_sent_at + SUMMARY_MS {
            return Vec::new();
        }
        let mut told = Vec::with_capacity(self.self_answered.len().min(most));
        while told.len() < most
            && let Some((berth, (watch, tick, shown))) = self.self_answered.pop_first()
        {
            told.push(LocallyAnsweredReport {
                machine: berth,
                session: watch,
                sequence: tick,
                content_hash: shown,
            });
        }
        if self.self_answered.is_empty() {
            self.summary_sent_at = now;
        }
        told
    }
}

/// Number of what a report shows beside its message number.
fn report_digest(report: &StatusReport) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.tasks.hash(&mut hasher);
    (&report.address, &report.machine_type, &report.zone, report.spot).hash(&mut hasher);
    // Numbers travel as integers below 2^63 everywhere.
    hasher.finish() >> 1
}

impl Controller {
    /// Passes on the reports whose time has come.
    pub(super) fn forward_queued_reports(&mut self) {
        let now = self.now.monotonic;
        self.report_forwarder.delegation.apply_event(DelegationEvent::TimePassed(now));
        let token = self.leadership.highest_token;
        for number in self.report_forwarder.on_batch_failed(token, now) {
            self.on_forwarded_answers(number, None);
        }
        let leader = self.leadership.known_leader.as_ref();
        let peer = leader.and_then(|l| Some((l, self.peers.get(l)?)));
        let gather = peer.is_some_and(|(_, p)| p.distributes_workers);
        let node = &self.settings.host_name;
        while let Some((number, leader, batch)) =
            self.report_forwarder.next(node, token, gather, now)
        {
            self.actions.push(Action::ForwardReports(number, leader, Box::new(batch)));
        }
        if let Some((leader, _)) = peer.filter(|(_, p)| p.distributes_workers && p.is_leader)
            && let Some((number, leader, batch)) =
                self.report_forwarder.summary(node, token, leader, now)
        {
            self.actions.push(Action::ForwardReports(number, leader, Box::new(batch)));
        }
    }

    /// Answers a worker's report under this node's duty, if it says nothing new.
    pub(super) fn answer_delegated(&mut self, id: RequestId, report: &StatusReport) -> bool {
        let Some(helm) = self.report_forwarder.answer_same(report, self.now.monotonic) else {
            return false;
        };
        self.answer(
            id,
            Reply::new(200, &HeartbeatResponse { fencing_token: helm, commands: Vec::new() }),
        );
        true
    }

    /// The leader's answers to reports passed on. Without them each worker is told where to go.
    pub(super) fn on_forwarded_answers(&mut self, number: u64, answers: Option<ForwardedAnswers>) {
        let now = self.now.monotonic;
        let Some(InFlightBatch { sent_at: sent, reports: items, .. }) =
            self.report_forwarder.in_flight.remove(&number)
        else {
            return;
        };
        let Some(answers) = answers.filter(|a| a.commands.len() == items.len()) else {
            // What was told may not have come; the next reports go to the leader, and tell it.
            self.report_forwarder.drop_delegation();
            for item in items {
                let reply = self.redirect_to_leader();
                self.answer(item.request, reply);
            }
            return;
        };
        let ForwardedAnswers {
            fencing_token: helm,
            commands: orders,
            delegable_reports: calm,
            must_forward_machines: look,
            delegation_ms: duty_ms,
        } = answers;
        let turn = match duty_ms {
            0 => DelegationEvent::Refused,
            for_ms => {
                DelegationEvent::Granted { fencing_token: helm, sent_at: sent, duration_ms: for_ms }
            }
        };
        // A newer term ends a duty under an older one, whoever answers.
        let turn = if helm < self.leadership.highest_token {
            DelegationEvent::LeaderUnheard
        } else {
            turn
        };
        self.report_forwarder.delegation.apply_event(turn);
        if self.report_forwarder.answered_reports.len() >= FORWARDING_HISTORY_MAX {
            self.report_forwarder.answered_reports.clear();
        }
        for (n, (mut item, orders)) in items.into_iter().zip(orders).enumerate() {
            match orders {
                Some(orders) => {
                    // The next may go as the same only if the worker then shows the leader's token.
                    let (shown, watch) = (item.digest, item.report.session);
                    let known = AnsweredReport {
                        digest: shown,
                        watch,
                        helm,
                        is_settled: calm.binary_search(&n).is_ok(),
                    };
                    if !item.is_stale {
                        self.report_forwarder.answered_reports.insert(item.report.machine, known);
                    }
                    self.answer(
                        item.request,
                        Reply::new(
                            200,
                            &HeartbeatResponse { fencing_token: helm, commands: orders },
                        ),
                    );
                }
                // Whole it was refused, or there is no time left to pass it on whole.
                None if item.must_be_full || now >= item.since + FORWARD_TIMEOUT_MS => {
                    let reply = self.redirect_to_leader();
                    self.answer(item.request, reply);
                }
                None => {
                    item.must_be_full = true;
                    self.report_forwarder.queue.push_front(item);
                }
            }
        }
        for berth in look {
            if let Some(known) = self.report_forwarder.answered_reports.get_mut(&berth) {
                known.is_settled = false;
            }
        }
    }

    /// Another controller passes reports on. What this node does not lead it does not answer, and
    /// never passes on again: the two could disagree for ever on who leads.
    pub(super) fn on_forwarded_reports(&mut self, request: RequestId, batch: &ForwardedReports) {
        let helms = batch.reports.iter().filter_map(|p| match p {
            ForwardedReport::Full { report, .. } => Some(report.fencing_token),
            ForwardedReport::Unchanged { .. } => None,
        });
        if self.leadership.observe_token(helms.max().unwrap_or(0)) {
            self.step_down("a worker has seen a newer token");
        }
        if !self.is_leader() || !self.may_answer() {
            return self.answer(
                request,
                Reply::retry_later("this node may not answer for the controllers"),
            );
        }
        let (now, from): (Time, Arc<str>) = (self.now.monotonic, batch.controller.as_str().into());
        let types = self.machine_types.clone().unwrap_or_default();
        self.isolation.on_worker_heard(now);
        let Some(leader) = &mut self.cluster_state else { return };
        let mut answers =
            ForwardedAnswers { fencing_token: leader.token, ..ForwardedAnswers::default() };
        let mut look: BTreeSet<String> = leader
            .take_machines_with_commands(&from)
            .into_iter()
            .map(|id| id.to_string())
            .collect();
        for seen in &batch.locally_answered {
            let message = (seen.session, seen.sequence);
            if !leader.on_unchanged_report(&seen.machine, message, seen.content_hash, now) {
                look.insert(seen.machine.clone());
            }
        }
        for (n, passed) in batch.reports.iter().enumerate() {
            match passed {
                ForwardedReport::Full { report, content_hash: shown } => {
                    let found =
                        leader.on_status_report(report, ReportSource::StatusReport, now, &types);
                    // A copy tells nothing of what is shown now, nor of who hears the worker.
                    if let Some(machine) = leader.machine_if_just_heard(report, now) {
                        machine.report_digest = Some(*shown);
                        machine.forwarded_by = Some(from.clone());
                    }
                    if leader.is_settled(&report.machine, now) {
                        answers.delegable_reports.push(n);
                    }
                    answers.commands.push(Some(found.commands));
                }
                ForwardedReport::Unchanged {
                    machine: berth,
                    session: watch,
                    sequence: tick,
                    content_hash: shown,
                } => {
                    let same = leader.on_unchanged_report(berth, (*watch, *tick), *shown, now);
                    if same {
                        answers.delegable_reports.push(n);
                    }
                    answers.commands.push(same.then(Vec::new));
                }
            }
        }
        answers.must_forward_machines = look.into_iter().collect();
        answers.delegation_ms = if self.distributes_workers() { self.delegation_ms() } else { 0 };
        self.answer(request, Reply::new(200, &answers));
        self.close_finished_jobs();
    }

    /// Reports that this node has answered by itself, under its duty.
    pub fn on_self_answered(&self) -> u64 {
        self.report_forwarder.answered_count
    }

    /// Workers whose connections this node's memory allows before they are shared.
    fn max_own_workers(&self) -> usize {
        let kb = self.settings.settings.machine_limits.mem_mb * 1024.0;
        (kb * DISTRIBUTE_ABOVE) as usize / CONNECTION_KB
    }

    /// For how long another controller may answer for this leader: no longer than the leader itself could
    /// be sure that a worker's lease, granted then, ends before any cancellation falls due that it has
    /// not heard of.
    fn delegation_ms(&self) -> u64 {
        self.remaining_answer_ms().min(MAX_DELEGATION_MS)
    }

    /// Whether this node leads and the workers are too many for it alone: by their connections, or by
    /// what they cost its processor.
    pub(super) fn distributes_workers(&self) -> bool {
        self.cluster_state.is_some() && self.distributes_workers
    }

    /// Begins to share workers out, or ceases to well below where it began.
    fn update_worker_distribution(&mut self) {
        let machines = self.cluster_state.as_ref().map_or(0, |l| l.machines.len());
        let upkeep = self.baseline_cpu_load.share().unwrap_or(0.0);
        let (most, busy) = match self.distributes_workers {
            false => (self.max_own_workers(), DISTRIBUTE_LOAD),
            true => (self.max_own_workers() * 3 / 4, DISTRIBUTE_LOAD / 2.0),
        };
        self.distributes_workers =
            self.settings.controllers() > 1 && (machines > most || upkeep > busy);
    }

    /// Counts workers by the controller that they report to.
    pub(super) fn count_workers_by_controller(&mut self) {
        self.workers_by_controller.clear();
        self.update_worker_distribution();
        let Some(leader) = &self.cluster_state else { return };
        let own: Arc<str> = self.settings.host_name.as_str().into();
        for machine in leader.machines.values().filter(|m| m.last_heard_at.is_some()) {
            *self
                .workers_by_controller
                .entry(machine.forwarded_by.clone().unwrap_or(own.clone()))
                .or_default() += 1;
        }
    }

    /// Where a worker that reports to the leader itself should go instead, if the leader has more than
    /// its part and another controller that hears it has fewer.
    pub(super) fn redirect_to_less_loaded(&mut self, report: &StatusReport) -> Option<Reply> {
        if !self.distributes_workers() {
            return None;
        }
        let now = self.now.monotonic;
        let own: Arc<str> = self.settings.host_name.as_str().into();
        let part = self.workers_by_controller.values().sum::<usize>() / self.settings.controllers();
        let mine = self.workers_by_controller.get(&own).copied().unwrap_or(0);
        let able = self.peers.iter().filter(|(_, peer)| {
            let fresh = now.saturating_sub(peer.health.heard_at) <= HEARTBEAT_FRESH_MS;
            fresh && !peer.is_leader && peer.health.highest_token == self.leadership.token
        });
        let load =
            |name: &String| self.workers_by_controller.get(name.as_str()).copied().unwrap_or(0);
        let (to, theirs, busy) =
            able.map(|(name, peer)| (name.clone(), load(name), peer.load)).min_by_key(|p| p.1)?;
        let slack = 1 + part / DISTRIBUTE_SLACK;
        let by_number = mine > part + slack && theirs + slack < mine;
        // Even shares would leave the leader the busiest, since placement is its alone.
        let spare = self.budget.connections.saturating_sub(RESERVED_CONNECTIONS);
        let by_load =
            self.cpu_load.share().zip(busy).is_some_and(|(own, its)| own > its + LOAD_SLACK)
                && mine > slack
                && theirs < spare;
        if !by_number && !by_load {
            return None;
        }
        let machine = self.cluster_state.as_mut()?.machines.get_mut(report.machine.as_str())?;
        // A copy is sent nowhere: its worker is elsewhere.
        if (report.session, report.sequence) <= machine.last_message {
            return None;
        }
        if machine.redirected_at.is_some_and(|at| now < at + REDIRECT_AGAIN_MS) {
            return None;
        }
        machine.redirected_at = Some(now);
        *self.workers_by_controller.entry(own).or_default() -= 1;
        *self.workers_by_controller.entry(to.as_str().into()).or_default() += 1;
        Some(Reply::new(421, &Redirect { controller: Some(to) }))
    }
}
