//! Receipt of worker messages: which are newer than the last one, and which prove that a worker is alive. Their effects
//! are applied by `reconciliation`, `reachability` and `task_exits`; the commands of the response come from `commands`.

use super::{ClusterState, parse_task_name};
use crate::Time;
use crate::job::{JobId, MachineId};
use crate::machine::{AttemptId, Machine, MachineState, MachineType, MessageOrder};
use std::collections::HashMap;
use swiftsail_protocol::workers::{HeartbeatResponse, StatusReport, TaskStatus};

/// Kind of a worker's message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// A status report: its response may carry starts, and it proves that starts offered before it were not executed if
    /// it lacks their attempts.
    StatusReport,
    /// The response to a direct command or a probe.
    CommandResponse,
}

/// An accepted message, with the data for its reconciliation.
pub(super) struct ReceivedReport<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) report: &'a StatusReport,
    pub(super) source: ReportSource,
    /// The attempts that it lists.
    pub(super) listed: HashMap<AttemptId, &'a TaskStatus>,
    pub(super) now: Time,
    pub(super) types: &'a [MachineType],
}

impl ClusterState {
    /// Processes a worker's message and returns the response with its commands. A message that is not newer than the
    /// last one changes nothing and gets a response without commands.
    pub fn on_status_report(
        &mut self,
        report: &StatusReport,
        source: ReportSource,
        now: Time,
        types: &[MachineType],
    ) -> HeartbeatResponse {
        let machine = MachineId::from(report.machine.as_str());
        let mut response = HeartbeatResponse { fencing_token: self.token, commands: Vec::new() };
        if !self.accept_message(&machine, report, source, now) {
            return response;
        }
        let listed = listed_attempts(report);
        let received = ReceivedReport { machine: &machine, report, source, listed, now, types };
        self.reconcile(&received);
        self.track_orphaned_tasks(&received);
        response.commands = self.response_commands(&received);
        response
    }

    /// Accepts a message unless it is outdated. Returns whether it was accepted.
    fn accept_message(
        &mut self,
        id: &MachineId,
        report: &StatusReport,
        source: ReportSource,
        now: Time,
    ) -> bool {
        let is_report = source == ReportSource::StatusReport;
        let acknowledged = report.fencing_token == self.token;
        if !self.machines.contains_key(id) {
            // A network partition may delay a report until long after its machine was returned. A live worker shows
            // this leader's token in its next report, since the response carries it.
            if self.provisioning.was_returned(id) || is_report && !acknowledged {
                return false;
            }
            tracing::debug!(machine = %id, "report from an unknown machine");
        }
        let lease_ms = self.lease_ms;
        let machine = self.machine_entry(id, now);
        // A worker that has shown a token never shows a lower one: a message with a higher number and a lower token was
        // sent before the worker restarted, and delayed.
        if MessageOrder::of(report) <= machine.last_message
            || report.fencing_token < machine.highest_token
        {
            return false;
        }
        machine.highest_token = report.fencing_token;
        if is_report && acknowledged {
            let evidence = machine.on_answered_report(report.session, lease_ms, now);
            self.on_reachability_evidence(id, evidence.filter(|_| lease_ms > 0.0), now);
        }
        self.record_message(id, report, source, now);
        true
    }

    /// Records an accepted message as its machine's newest. Not every one proves that the worker is alive, since a
    /// duplicate report may arrive arbitrarily late. A worker that shows this leader's token has received a response
    /// from it, and one that responds to a command or probe is alive; any other message may have been sent at any time.
    fn record_message(
        &mut self,
        id: &MachineId,
        report: &StatusReport,
        source: ReportSource,
        now: Time,
    ) {
        let is_report = source == ReportSource::StatusReport;
        let acknowledged = report.fencing_token == self.token;
        let Some(machine) = self.machines.get_mut(id) else { return };
        let is_first = machine.last_contact_at.is_none();
        machine.last_message = MessageOrder::of(report);
        if acknowledged || !is_report {
            machine.last_contact_at = Some(now);
        }
        if acknowledged && is_report {
            machine.last_report_at = Some(now);
        }
        machine.register(report, now);
        if is_report {
            machine.last_report = MessageOrder::of(report);
        }
        let is_up = is_first && machine.last_contact_at.is_some();
        self.advance_registration(id, report, now);
        if is_up {
            tracing::debug!(machine = %id, "first contact with machine");
        }
    }

    /// Advances the state of a machine that reports: it becomes ready once it shows this leader's token.
    fn advance_registration(&mut self, id: &MachineId, report: &StatusReport, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if report.fencing_token != self.token {
            if machine.state() == MachineState::Expected {
                machine.advance(MachineState::Registering);
            }
            return;
        }
        if matches!(machine.state(), MachineState::Expected | MachineState::Registering) {
            machine.advance(MachineState::Ready);
            machine.idle_since = now;
            self.needs_scheduling = true;
            self.events.record("machine", "ready", id, Some(&report.machine_type));
            tracing::debug!(machine = %id, kind = %report.machine_type, zone = %report.zone, "machine ready");
        }
    }

    /// The machine of a report, if that report has just been accepted as its newest message and as proof that it is
    /// alive.
    pub fn machine_if_report_accepted(
        &mut self,
        report: &StatusReport,
        now: Time,
    ) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(report.machine.as_str())?;
        let is_newest = machine.last_message == MessageOrder::of(report);
        (is_newest && machine.last_contact_at == Some(now)).then_some(machine)
    }

    /// Processes a forwarded report whose content is that of the machine's last full one, of which `digest` is the
    /// hash. Returns false if the report must be sent in full: there is a command for the machine, or this leader does
    /// not know the content. Otherwise the response carries no commands.
    pub fn on_unchanged_report(
        &mut self,
        id: &str,
        order: MessageOrder,
        digest: u64,
        now: Time,
    ) -> bool {
        let is_same = self.machines.get(id).is_some_and(|machine| {
            machine.report_digest == Some(digest)
                && machine.last_message.session == order.session
                && self.has_no_commands(machine)
        });
        let Some(machine) = self.machines.get_mut(id) else { return false };
        // A report that is not newer than the last message changes nothing.
        if is_same && order > machine.last_message {
            let evidence = machine.on_answered_report(order.session, self.lease_ms, now);
            machine.last_message = order;
            machine.last_report = order;
            machine.last_contact_at = Some(now);
            machine.last_report_at = Some(now);
            let id = machine.id.clone();
            self.on_reachability_evidence(&id, evidence.filter(|_| self.lease_ms > 0.0), now);
        }
        is_same
    }

    /// Whether a machine's message has just been accepted, and it needs no commands until a task is bound, stopped or
    /// ends on it.
    pub fn is_settled(&self, id: &str, now: Time) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| m.last_contact_at == Some(now) && self.has_no_commands(m))
    }

    fn has_no_commands(&self, machine: &Machine) -> bool {
        let needs_none = |((job, task), number): ((&JobId, &u32), &u64)| {
            let attempt = self.jobs.get(job).and_then(|job| job.attempts.get(task));
            attempt.is_some_and(|attempt| {
                attempt.number == *number
                    && attempt.is_reported
                    && !attempt.stop_requested
                    && attempt.occupies_resources()
                    && !attempt.start_withdrawn
            })
        };
        machine.state() == MachineState::Ready
            && machine.orphaned_tasks.is_empty()
            && machine.reclaimed_at.is_none()
            && machine.tasks.iter().all(needs_none)
    }
}

fn listed_attempts(report: &StatusReport) -> HashMap<AttemptId, &TaskStatus> {
    let parsed = report.tasks.iter().filter_map(|status| {
        let (job, task) = parse_task_name(&status.task)?;
        Some((AttemptId { job, task, attempt: status.attempt }, status))
    });
    parsed.collect()
}
