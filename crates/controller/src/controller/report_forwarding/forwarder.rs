//! The follower's side of report forwarding as a state machine without I/O: the queue of reports, the batches in
//! flight, and the decision which reports may be answered by delegation.

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

/// A report that waits to be forwarded or to be answered by the leader.
#[derive(Debug)]
pub(super) struct QueuedReport {
    pub request: RequestId,
    pub report: Box<StatusReport>,
    /// Hash of the report's content, see [`report_digest`].
    pub digest: u64,
    pub queued_at: Time,
    /// Name of the controller to forward the report to.
    pub leader: String,
    /// The leader has requested the report in full.
    pub must_be_full: bool,
    /// This controller has already received a newer message of the machine, so the report does not show the machine's
    /// current state.
    pub is_stale: bool,
}

/// A batch sent to the leader and not yet answered.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    pub sent_at: Time,
    /// Highest fencing token known when the batch was sent. Once a higher one is known the batch is no longer answered.
    token: u64,
    pub reports: Vec<QueuedReport>,
}

/// A batch to be sent to the leader.
pub(super) struct OutgoingBatch {
    pub number: u64,
    pub leader: String,
    pub reports: ForwardedReports,
}

/// The last report of a machine that the leader has answered.
#[derive(Debug)]
pub(super) struct AnsweredReport {
    pub digest: u64,
    pub session: u64,
    /// Fencing token of the leader that answered it.
    pub fencing_token: u64,
    /// The machine needs no commands while the content of its reports stays the same.
    pub is_settled: bool,
}

impl AnsweredReport {
    /// Whether `report` has the same content and comes from a worker that has seen the token of the answer.
    fn is_repeated_by(&self, report: &StatusReport, digest: u64) -> bool {
        (self.digest, self.session, self.fencing_token)
            == (digest, report.session, report.fencing_token)
    }
}

/// An unchanged report that this follower has answered by delegation.
#[derive(Debug)]
struct LocallyAnswered {
    session: u64,
    sequence: u64,
    digest: u64,
}

/// The follower's queue of reports, its batches in flight and its delegation.
#[derive(Debug, Default)]
pub(in crate::controller) struct ReportForwarder {
    pub(super) queue: VecDeque<QueuedReport>,
    /// Batches in flight, by their number.
    pub(super) in_flight: BTreeMap<u64, InFlightBatch>,
    last_batch: u64,
    /// By machine name.
    pub(super) answered_reports: HashMap<String, AnsweredReport>,
    pub(super) delegation: DelegatedAnswering,
    /// Reports answered by delegation of which the leader has not been informed yet, by machine name.
    locally_answered: BTreeMap<String, LocallyAnswered>,
    summary_sent_at: Time,
    /// Number of reports answered by delegation so far.
    pub(super) delegated_answer_count: u64,
}

impl ReportForwarder {
    /// Whether fewer than `max_reports` reports are queued.
    pub fn has_room(&self, max_reports: usize) -> bool {
        self.queue.len() < max_reports
    }

    /// Queues a report for the leader. `is_stale`: this controller has already received a newer message of the machine.
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

    /// Decides whether a report is unchanged and may be answered by delegation, and returns the fencing token to answer
    /// with, or none if it must be forwarded. The leader is informed later by a summary. If it then has commands for the
    /// machine, it requests the machine's next report and answers that with them.
    pub(super) fn answer_unchanged(&mut self, report: &StatusReport, now: Time) -> Option<u64> {
        let token = self.delegation.valid_fencing_token(now)?;
        let last_answered = self.answered_reports.get(&report.machine)?;
        let digest = report_digest(report);
        let may_answer = last_answered.is_settled
            && last_answered.is_repeated_by(report, digest)
            && report.fencing_token == token
            && report.reclaim_in_s.is_none();
        if !may_answer {
            return None;
        }
        let StatusReport { session, sequence, .. } = *report;
        let answered = LocallyAnswered { session, sequence, digest };
        self.locally_answered.insert(report.machine.clone(), answered);
        self.delegated_answer_count += 1;
        Some(token)
    }

    /// Ends the delegation and discards the state that depends on it.
    pub fn drop_delegation(&mut self) {
        self.delegation.apply_event(DelegationEvent::Invalidated);
        self.locally_answered.clear();
        for answered in self.answered_reports.values_mut() {
            answered.is_settled = false;
        }
    }

    /// Takes the next batch from the queue, if one is due. `delays_batches`: the leader distributes workers, so reports
    /// wait up to [`FORWARD_BATCH_WINDOW_MS`] to be sent together.
    pub(super) fn next_batch(
        &mut self,
        own_name: &str,
        token: u64,
        delays_batches: bool,
        now: Time,
    ) -> Option<OutgoingBatch> {
        let first = self.queue.front()?;
        let is_due = !delays_batches
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
            let report_bytes = REPORT_BYTES
                + if is_unchanged { 0 } else { TASK_STATUS_BYTES * queued.report.tasks.len() };
            let is_full =
                items.len() >= MAX_FORWARD_BATCH || bytes + report_bytes > MAX_FORWARD_BATCH_BYTES;
            if queued.leader != leader || is_full && !items.is_empty() {
                break;
            }
            bytes += report_bytes;
            reports.push(queued.to_forwarded(is_unchanged));
            items.extend(self.queue.pop_front());
        }
        let spare_bytes = MAX_FORWARD_BATCH_BYTES - bytes.min(MAX_FORWARD_BATCH_BYTES);
        let batch = ForwardedReports {
            controller: own_name.to_string(),
            reports,
            locally_answered: self
                .take_locally_answered(spare_bytes / UNCHANGED_MACHINE_BYTES, now),
        };
        let number = self.on_batch_sent(items, token, now);
        Some(OutgoingBatch { number, leader, reports: batch })
    }

    /// Whether the leader can be sent the hash of a report instead of the full report.
    fn may_send_as_hash(&self, queued: &QueuedReport) -> bool {
        let report = &queued.report;
        !queued.must_be_full
            && !queued.is_stale
            && report.reclaim_in_s.is_none()
            && self
                .answered_reports
                .get(&report.machine)
                .is_some_and(|answered| answered.is_repeated_by(report, queued.digest))
    }

    /// Returns a batch without reports if the last summary of the reports answered by delegation was sent at least
    /// [`UNCHANGED_SUMMARY_INTERVAL_MS`] ago. The leader's answer to it also extends the delegation.
    pub(super) fn next_summary(
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
            locally_answered: self.take_locally_answered(max_machines, now),
        };
        let number = self.on_batch_sent(Vec::new(), token, now);
        Some(OutgoingBatch { number, leader: leader.to_string(), reports })
    }

    /// Records a batch as in flight and returns its number.
    fn on_batch_sent(&mut self, reports: Vec<QueuedReport>, token: u64, now: Time) -> u64 {
        self.last_batch += 1;
        self.in_flight.insert(self.last_batch, InFlightBatch { sent_at: now, token, reports });
        self.last_batch
    }

    /// Numbers of the batches that will not be answered, because their receiver has terminated or is no longer the
    /// leader. Giving them up early keeps workers from waiting for their timeout of 4 s plus a pause of 1 s: if leaders
    /// failed a few times in a row, those waits would cost the workers their leases.
    pub(super) fn lost_batches(&self, token: u64, now: Time) -> Vec<u64> {
        let is_lost = |batch: &InFlightBatch| {
            batch.token < token || now >= batch.sent_at + FORWARD_TIMEOUT_MS
        };
        let lost = self.in_flight.iter().filter(|(_, batch)| is_lost(batch));
        lost.map(|(number, _)| *number).collect()
    }

    /// Takes up to `max_machines` of the reports answered by delegation, to inform the leader of them. Returns none
    /// until the next summary is due, so that a machine is listed at most once per summary interval and not with every
    /// batch, however often it reports.
    fn take_locally_answered(
        &mut self,
        max_machines: usize,
        now: Time,
    ) -> Vec<LocallyAnsweredReport> {
        if now < self.summary_sent_at + UNCHANGED_SUMMARY_INTERVAL_MS {
            return Vec::new();
        }
        let mut taken = Vec::with_capacity(self.locally_answered.len().min(max_machines));
        while taken.len() < max_machines
            && let Some((machine, answered)) = self.locally_answered.pop_first()
        {
            let LocallyAnswered { session, sequence, digest } = answered;
            taken.push(LocallyAnsweredReport { machine, session, sequence, content_hash: digest });
        }
        if self.locally_answered.is_empty() {
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

/// Hash of a report's content: its tasks, address, machine type, zone and spot flag. The session, the sequence number,
/// the token and the spot interruption notice are not included.
fn report_digest(report: &StatusReport) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.tasks.hash(&mut hasher);
    (&report.address, &report.machine_type, &report.zone, report.spot).hash(&mut hasher);
    // Below 2^63, since not every reader of the wire format accepts larger integers.
    hasher.finish() >> 1
}
