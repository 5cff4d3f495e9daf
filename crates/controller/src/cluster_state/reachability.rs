//! Machines whose connection fails in one direction, or whose worker has restarted: which of their tasks are withdrawn
//! or released. The evidence is evaluated by `swiftsail_failure_detector`.

use super::{ClusterState, parse_task_name};
use crate::Time;
use crate::job::{AttemptPhase, JobId, MachineId};
use crate::machine::MessageOrder;
use std::collections::HashSet;
use swiftsail_failure_detector::{InboundReachability, ProbeOutcome, ReachabilityEvidence};
use swiftsail_protocol::workers::StatusReport;

impl ClusterState {
    /// Applies evidence of whether responses and commands reach a machine. Once that is in doubt, starts that no report
    /// shows are not offered again: the next report proves that they were not executed, and the tasks are placed
    /// elsewhere.
    pub fn on_reachability_evidence(
        &mut self,
        id: &MachineId,
        evidence: Option<ReachabilityEvidence>,
        now: Time,
    ) {
        let (Some(evidence), Some(machine)) = (evidence, self.machines.get_mut(id)) else { return };
        if !machine.inbound.apply_evidence(evidence, now) {
            return;
        }
        let reachability = machine.inbound.reachability();
        tracing::debug!(machine = %id, hearing = ?reachability, sign = ?evidence, "inbound reachability changed");
        self.needs_scheduling = true;
        match reachability {
            InboundReachability::Reachable => return,
            InboundReachability::Suspected => {}
            InboundReachability::Unreachable => {
                tracing::info!(machine = %id, sign = ?evidence, "machine unreachable inbound");
                self.events.record("machine", "deaf", id, None);
            }
        }
        self.withdraw_unreported_starts(id);
        self.run_queues.remove_machine(id);
    }

    /// Handles that a machine's reports have ceased while it responds to probes, or arrive again. In the first case
    /// tasks whose start was never offered would wait for a report: they are released, since their attempts exist
    /// nowhere.
    pub fn on_reports_missing_changed(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        tracing::info!(machine = %id, mute = machine.reports_missing(), "machine's reports have ceased or resumed");
        self.needs_scheduling = true;
        if !machine.reports_missing() {
            return;
        }
        self.events.record("machine", "mute", id, None);
        for (job, task) in self.withdraw_unreported_starts(id) {
            self.release_lost_task(&job, task, now);
        }
        self.run_queues.remove_machine(id);
    }

    /// Withdraws the starts of a machine's attempts that no report shows. Returns the tasks whose start was never
    /// offered: their attempts exist nowhere.
    fn withdraw_unreported_starts(&mut self, id: &MachineId) -> Vec<(JobId, u32)> {
        let Some(machine) = self.machines.get(id) else { return Vec::new() };
        let mut never_offered = Vec::new();
        for ((job, task), number) in machine.tasks.iter() {
            let attempt = self.jobs.get_mut(job).and_then(|job| job.attempts.get_mut(task));
            let unreported = attempt.filter(|a| a.number == *number && a.may_be_unstarted());
            let Some(mut attempt) = unreported else { continue };
            attempt.start_withdrawn = true;
            if attempt.phase() == AttemptPhase::Bound && attempt.offered_in().is_none() {
                never_offered.push((job.clone(), *task));
            }
        }
        never_offered
    }

    /// Handles the outcome of a probe. A response is newer than any message received before the probe was sent: if its
    /// numbers are not, the worker has restarted, and every task that the response does not list is gone.
    pub fn on_probed(
        &mut self,
        id: &MachineId,
        outcome: ProbeOutcome,
        report: Option<&StatusReport>,
        now: Time,
    ) {
        if let Some(failure_detector) = &mut self.failure_detector {
            failure_detector.on_probe_outcome(id, outcome);
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.open_probes = machine.open_probes.saturating_sub(1);
        let baseline = match machine.open_probes {
            0 => machine.probe_baseline.take(),
            _ => machine.probe_baseline,
        };
        if let Some(report) = report
            && baseline.is_some_and(|baseline| MessageOrder::of(report) <= baseline)
        {
            tracing::warn!(machine = %id, watch = report.session, "worker restarted");
            machine.on_worker_restart(now);
            self.release_unreported_tasks(id, report, now);
        }
        let evidence = match outcome {
            ProbeOutcome::Answered => ReachabilityEvidence::ProbeAnswered,
            _ => ReachabilityEvidence::ProbeFailed,
        };
        self.on_reachability_evidence(id, Some(evidence), now);
    }

    /// Withdraws the start of a task's attempt, unless it has exited. Returns whether its binding is committed.
    fn withdraw_start(&mut self, job: &JobId, task: u32) -> bool {
        let attempt = self.jobs.get_mut(job).and_then(|job| job.attempts.get_mut(&task));
        let Some(mut attempt) = attempt.filter(|a| a.occupies_resources()) else { return false };
        attempt.start_withdrawn = true;
        attempt.phase() != AttemptPhase::Committing
    }

    /// Releases the tasks that a restarted worker does not list: it runs no others. Those whose binding is still being
    /// committed are released when a later report lacks them.
    fn release_unreported_tasks(&mut self, id: &MachineId, report: &StatusReport, now: Time) {
        let listed: HashSet<(JobId, u32)> =
            report.tasks.iter().filter_map(|status| parse_task_name(&status.task)).collect();
        let Some(machine) = self.machines.get(id) else { return };
        let bound = machine.tasks.keys().map(|(job, task)| (job.clone(), *task));
        let missing: Vec<(JobId, u32)> = bound.filter(|task| !listed.contains(task)).collect();
        for (job, task) in missing {
            if self.withdraw_start(&job, task) {
                self.release_lost_task(&job, task, now);
            }
        }
    }
}
