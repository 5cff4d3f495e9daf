//! A follower's side of forwarding as a state machine: the queue of reports, the batches under way, and which reports
//! it may answer by delegation. Sends nothing itself.

use crate::Time;
use crate::constants::{
    FORWARD_BATCH_WINDOW_MS, FORWARD_TIMEOUT_MS, MAX_FORWARD_BATCH, MAX_FORWARD_BATCH_BYTES,
    MAX_FORWARDS_IN_FLIGHT, REPORT_BYTES, TASK_STATUS_BYTES, UNCHANGED_MACHINE_BYTES,
    UNCHANGED_SUMMARY_INTERVAL_MS,
};
use crate::controller::RequestId;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use swiftsail_overload_control::delegated_answering::{DelegatedAnswering, DelegationEvent};
use swiftsail_protocol::controllers::{ForwardedReport, ForwardedReports, LocallyAnsweredReport};
use swiftsail_protocol::workers::StatusReport;

/// A report that waits to be forwarded, or for its answer.
#[derive(Debug)]
pub(super) struct QueuedReport {
    pub request: RequestId,
    pub report: Box<StatusReport>,
    /// Hash of its content without the sequence number.
    pub digest: u64,
    pub queued_at: Time,
    /// Whom it is forwarded to.
    pub leader: String,
    /// The leader has asked for it in full.
    pub must_be_full: bool,
    /// A newer message of the machine has come here before: it says nothing of the present content.
    pub is_stale: bool,
}

/// A batch on its way to the leader.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    pub sent_at: Time,
    /// The highest token known when it was sent: under a later one nobody answers it any more.
    token: u64,
    pub reports: Vec<QueuedReport>,
}

/// A batch to be sent.
pub(super) struct OutgoingBatch {
    pub number: u64,
    pub leader: String,
    pub reports: ForwardedReports,
}

/// The last report of a machine that the leader answered.
#[derive(Debug)]
pub(super) struct AnsweredReport {
    pub digest: u64,
    pub session: u64,
    /// The token of the leader that answered it.
    pub fencing_token: u64,
    /// The machine needs no commands while its content stays the same.
    pub is_settled: bool,
}

impl AnsweredReport {
    /// Whether a report has the same content, from a worker that has seen the answer's token.
    fn is_repeated_by(&self, report: &StatusReport, digest: u64) -> bool {
        (self.digest, self.session, self.fencing_token)
            == (digest, report.session, report.fencing_token)
    }
}

/// Identity of an unchanged report that was answered here.
#[derive(Debug)]
struct SelfAnswered {
    session: u64,
    sequence: u64,
    digest: u64,
}

/// What a follower forwards, and what it answers by delegation.
#[derive(Debug, Default)]
pub(in crate::controller) struct ReportForwarder {
    pub(super) queue: VecDeque<QueuedReport>,
    pub(super) in_flight: BTreeMap<u64, InFlightBatch>,
    last_batch: u64,
    pub(super) answered_reports: HashMap<String, AnsweredReport>,
    pub(super) delegation: DelegatedAnswering,
    /// Unchanged reports answered here of which the leader has not been informed, by machine.
    self_answered: BTreeMap<String, SelfAnswered>,
    summary_sent_at: Time,
    /// Number of reports answered here by delegation.
    pub(super) answered_count: u64,
}

impl ReportForwarder {
    /// Whether fewer than `max_reports` wait.
    pub fn has_room(&self, max_reports: usize) -> bool {
        self.queue.len() < max_reports
    }

    /// Queues a report for the leader. `is_stale`: a newer message of the machine has come here before.
    pub fn push(
        &mut self,
        request: RequestId,
        report: Box<StatusReport>,
        leader: &str,
        is_stale: bool,
        now: Time,
    ) {
        self.queue.push_back(QueuedReport {
            request,
            digest: report_digest(&report),
            report,
            queued_at: now,
            leader: leader.to_string(),
            must_be_full: false,
            is_stale,
        });
    }

    /// Decides whether an unchanged report may be answered by delegation, and returns the token to answer with. The
    /// leader is informed later, and sends what commands it has then in answer to a report that it demands.
    pub(super) fn answer_unchanged(&mut self, report: &StatusReport, now: Time) -> Option<u64> {
        let token = self.delegation.valid_fencing_token(now)?;
        let known = self.answered_reports.get(&report.machine)?;
        let digest = report_digest(report);
        let may_answer = known.is_settled
            && known.is_repeated_by(report, digest)
            && report.fencing_token == token
            && report.reclaim_in_s.is_none();
        if !may_answer {
            return None;
        }
        let StatusReport { session, sequence, .. } = *report;
        let answered = SelfAnswered { session, sequence, digest };
        self.self_answered.insert(report.machine.clone(), answered);
        self.answered_count += 1;
        Some(token)
    }

    /// Ends the delegation, and forgets what only it allowed.
    pub fn drop_delegation(&mut self) {
        self.delegation.apply_event(DelegationEvent::Invalidated);
        self.self_answered.clear();
        for known in self.answered_reports.values_mut() {
            known.is_settled = false;
        }
    }

    /// The next batch, if one is due. `gathers`: the leader distributes workers, so reports wait a little to be sent
    /// together.
    pub(super) fn next_batch(
        &mut self,
        own_name: &str,
        token: u64,
        gathers: bool,
        now: Time,
    ) -> Option<OutgoingBatch> {
        let first = self.queue.front()?;
        let is_due = !gathers
            || first.must_be_full
            || self.queue.len() >= MAX_FORWARD_BATCH
            || now >= first.queued_at + FORWARD_BATCH_WINDOW_MS;
        if !is_due || self.in_flight.len() >= MAX_FORWARDS_IN_FLIGHT {
            return None;
        }
        let leader = first.leader.clone();
        let (mut items, mut reports, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(queued) = self.queue.front() {
            let is_unchanged = self.may_send_as_hash(queued);
            let size = REPORT_BYTES
                + if is_unchanged { 0 } else { TASK_STATUS_BYTES * queued.report.tasks.len() };
            let is_full =
                items.len() >= MAX_FORWARD_BATCH || bytes + size > MAX_FORWARD_BATCH_BYTES;
            if queued.leader != leader || is_full && !items.is_empty() {
                break;
            }
            bytes += size;
            reports.push(queued.to_forwarded(is_unchanged));
            items.extend(self.queue.pop_front());
        }
        let spare_bytes = MAX_FORWARD_BATCH_BYTES - bytes.min(MAX_FORWARD_BATCH_BYTES);
        let batch = ForwardedReports {
            controller: own_name.to_string(),
            reports,
            locally_answered: self.take_self_answered(spare_bytes / UNCHANGED_MACHINE_BYTES, now),
        };
        let number = self.on_batch_sent(items, token, now);
        Some(OutgoingBatch { number, leader, reports: batch })
    }

    fn may_send_as_hash(&self, queued: &QueuedReport) -> bool {
        let report = &queued.report;
        !queued.must_be_full
            && !queued.is_stale
            && report.reclaim_in_s.is_none()
            && self
                .answered_reports
                .get(&report.machine)
                .is_some_and(|known| known.is_repeated_by(report, queued.digest))
    }

    /// A batch without reports, if the leader has not been informed for a while of those answered here: it also asks
    /// for a longer delegation.
    pub(super) fn summary(
        &mut self,
        own_name: &str,
        token: u64,
        leader: &str,
        now: Time,
    ) -> Option<OutgoingBatch> {
        let is_due = now >= self.summary_sent_at + UNCHANGED_SUMMARY_INTERVAL_MS
            && self.in_flight.len() < MAX_FORWARDS_IN_FLIGHT;
        if !is_due || self.delegation.valid_fencing_token(now).is_none() {
            return None;
        }
        let max_machines = MAX_FORWARD_BATCH_BYTES / UNCHANGED_MACHINE_BYTES;
        let reports = ForwardedReports {
            controller: own_name.to_string(),
            reports: Vec::new(),
            locally_answered: self.take_self_answered(max_machines, now),
        };
        let number = self.on_batch_sent(Vec::new(), token, now);
        Some(OutgoingBatch { number, leader: leader.to_string(), reports })
    }

    fn on_batch_sent(&mut self, reports: Vec<QueuedReport>, token: u64, now: Time) -> u64 {
        self.last_batch += 1;
        self.in_flight.insert(self.last_batch, InFlightBatch { sent_at: now, token, reports });
        self.last_batch
    }

    /// Numbers of the batches that nobody will answer: whoever received them has ended or no longer leads. Without
    /// this their workers would wait for 4 s and one more, and a leader that ends a few times in a row would cost them
    /// their leases.
    pub(super) fn lost_batches(&self, token: u64, now: Time) -> Vec<u64> {
        let is_lost = |batch: &InFlightBatch| {
            batch.token < token || now >= batch.sent_at + FORWARD_TIMEOUT_MS
        };
        let lost = self.in_flight.iter().filter(|(_, batch)| is_lost(batch));
        lost.map(|(number, _)| *number).collect()
    }

    /// Takes at most `max_machines` of the reports answered here, to inform the leader of them. Only with each summary
    /// and not with each batch, so that a machine is named once in a while however often it reports.
    fn take_self_answered(&mut self, max_machines: usize, now: Time) -> Vec<LocallyAnsweredReport> {
        if now < self.summary_sent_at + UNCHANGED_SUMMARY_INTERVAL_MS {
            return Vec::new();
        }
        let mut taken = Vec::with_capacity(self.self_answered.len().min(max_machines));
        while taken.len() < max_machines
            && let Some((machine, answered)) = self.self_answered.pop_first()
        {
            let SelfAnswered { session, sequence, digest } = answered;
            taken.push(LocallyAnsweredReport { machine, session, sequence, content_hash: digest });
        }
        if self.self_answered.is_empty() {
            self.summary_sent_at = now;
        }
        taken
    }
}

impl QueuedReport {
    fn to_forwarded(&self, is_unchanged: bool) -> ForwardedReport {
        if !is_unchanged {
            return ForwardedReport::Full {
                report: self.report.clone(),
                content_hash: self.digest,
            };
        }
        ForwardedReport::Unchanged {
            machine: self.report.machine.clone(),
            session: self.report.session,
            sequence: self.report.sequence,
            content_hash: self.digest,
        }
    }
}

/// Hash of a report's content without its session, sequence number, token and spot notice.
fn report_digest(report: &StatusReport) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.tasks.hash(&mut hasher);
    (&report.address, &report.machine_type, &report.zone, report.spot).hash(&mut hasher);
    // Every reader of the wire takes integers below 2^63.
    hasher.finish() >> 1
}
