//! Intake of worker messages: which are news, and which prove that a worker lives. What a message then changes is done by
//! `reconciliation`, `reachability` and `task_exits`; what its response says, by `commands`.

use super::{ClusterState, parse_task_name};
use crate::Time;
use crate::job::{JobId, MachineId};
use crate::machine::{AttemptId, Machine, MachineState, MachineType, MessageOrder};
use std::collections::HashMap;
use swiftsail_protocol::workers::{HeartbeatResponse, StatusReport, TaskStatus};

/// What a worker's message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// A status report: its response may carry starts, and it proves absent what it lacks.
    StatusReport,
    /// The answer to a direct command or a probe.
    CommandResponse,
}

/// A message that is news, with what it is reconciled by.
pub(super) struct ReceivedReport<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) report: &'a StatusReport,
    pub(super) source: ReportSource,
    /// The attempts that it shows.
    pub(super) listed: HashMap<AttemptId, &'a TaskStatus>,
    pub(super) now: Time,
    pub(super) types: &'a [MachineType],
}

impl ClusterState {
    /// Takes in a worker's message and returns the response with its commands. A message that is not newer than the last
    /// one changes nothing and gets an empty response.
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
        self.add_commands(&received, &mut response.commands);
        response
    }

    /// Notes the arrival of a message. Returns whether it is news.
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
            // A network partition may hold a report back until its machine is long returned. A worker that lives shows
            // this leader's token in its next report, since the response carries it.
            if self.provisioning.was_returned(id) || is_report && !acknowledged {
                return false;
            }
            tracing::debug!(machine = %id, "unknown machine reported");
        }
        let lease_ms = self.lease_ms;
        let machine = self.machine_entry(id, now);
        // A worker that has shown a token shows no lower one: a higher number under a lower token was sent before its
        // worker restarted, and has been on its way since.
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
        self.note_message(id, report, source, now);
        true
    }

    /// A message is its machine's newest. A copy of a report, however late, proves no life: a worker that shows this
    /// leader's token has been answered by it, and one that answers a probe of this controller lives; anything else may
    /// have been sent at any time.
    fn note_message(
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
            tracing::debug!(machine = %id, "machine up");
        }
    }

    /// A machine that reports becomes ready once it shows this leader's token.
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

    /// The machine of a report, if that report has just been accepted as news and as proof of life.
    pub fn machine_if_report_accepted(
        &mut self,
        report: &StatusReport,
        now: Time,
    ) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(report.machine.as_str())?;
        let is_newest = machine.last_message == MessageOrder::of(report);
        (is_newest && machine.last_contact_at == Some(now)).then_some(machine)
    }

    /// Takes in a report that shows the same as the machine's last full one, of which `digest` is the hash. Returns false
    /// if the report must come in full: there is a command for the machine, or this leader does not know what the last
    /// one showed. Else nothing is to be answered.
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
        // A report that is not newer changes nothing.
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

    /// Whether a machine was heard now, has acknowledged this leader, and needs no command until something is bound,
    /// stopped or ends there.
    pub fn is_settled(&self, id: &str, now: Time) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| m.last_contact_at == Some(now) && self.has_no_commands(m))
    }

    fn has_no_commands(&self, machine: &Machine) -> bool {
        let needs_none = |((job, task), number): (&(JobId, u32), &u64)| {
            let attempt = self.jobs.get(job).and_then(|job| job.attempts.get(task));
            attempt.is_some_and(|attempt| {
                attempt.number == *number
                    && attempt.is_reported
                    && attempt.stop_requested.is_none()
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
