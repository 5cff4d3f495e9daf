//! One-way and delayed faults of machines: machines whose reports arrive but that receive no responses, reports that are
//! duplicated much later, workers that restart.

use super::{Simulation, SimulationEvent};
use rand::Rng;
use swiftsail_controller::controller::Event;
use swiftsail_protocol::workers::StatusReport;

/// A one-way fault: what is sent to some machines does not arrive for a time, while their reports do.
#[derive(Debug, Clone)]
pub struct InboundFailure {
    /// When it starts, ms from the start of the simulation.
    pub from_ms: u64,
    /// Duration, ms.
    pub for_ms: u64,
    /// Affects all machines of this zone, if given.
    pub zone: Option<String>,
    /// Affects these machines, by name.
    pub machines: Vec<String>,
    /// 0: nothing arrives. Otherwise every so many-th response to a report arrives, and so do all direct commands.
    pub delivers_every: u64,
}

impl Simulation {
    /// Whether a message to a machine is lost now because of an [`InboundFailure`]: a response to a report
    /// (`is_response`), or a direct command or probe. Counts the responses.
    pub(super) fn is_inbound_unreachable(&mut self, name: &str, is_response: bool) -> bool {
        let now = self.now - super::START_MS;
        let Some(worker) = self.cluster.workers.get(name) else { return false };
        let matches = |d: &&InboundFailure| {
            (d.from_ms..d.from_ms + d.for_ms).contains(&now)
                && (d.zone.as_deref() == Some(&worker.hardware.zone)
                    || d.machines.iter().any(|n| n == name))
        };
        let Some(delivers_every) =
            self.inbound_failures.iter().find(matches).map(|d| d.delivers_every)
        else {
            return false;
        };
        if delivers_every == 0 || !is_response {
            return delivers_every == 0;
        }
        let message_count = self.messages_to_unreachable.entry(name.to_string()).or_default();
        *message_count += 1;
        !message_count.is_multiple_of(delivers_every)
    }

    /// Schedules a late duplicate of a report, if chance selects the report.
    pub(super) fn maybe_duplicate_report(&mut self, controller: usize, report: &StatusReport) {
        let Some((chance, max_delay_ms)) = self.duplicate_reports else { return };
        if self.are_random_faults_over() || !self.rng.random_bool(chance) {
            return;
        }
        let at = self.now + self.rng.random_range(1_000..max_delay_ms);
        // The duplicate may reach another controller than the original.
        let target = if self.rng.random_bool(0.7) {
            controller
        } else {
            (controller + 1) % super::CONTROLLER_COUNT
        };
        self.schedule(at, SimulationEvent::DuplicateReport(target, Box::new(report.clone())));
    }

    /// Delivers a duplicate report to a controller. Nobody receives the response.
    pub(super) fn deliver_duplicate_report(&mut self, n: usize, report: Box<StatusReport>) {
        if self.controllers[n].is_some() && !self.is_partitioned(n, |c| c.workers) {
            self.next_request += 1;
            let (id, incarnation) = (self.next_request, self.incarnations[n]);
            self.duplicates_delivered += 1;
            self.deliver_to_controller(n, incarnation, Event::StatusReport(id, report));
        }
    }

    /// Schedules a restart of a machine's worker; its session and sequence numbers start again.
    pub fn schedule_worker_restart(&mut self, at_ms: u64, name: &str) {
        self.schedule(super::START_MS + at_ms, SimulationEvent::RestartWorker(name.to_string()));
    }

    /// Names of the machines that have booted and are not terminated.
    pub fn running_machines(&self) -> Vec<String> {
        let up =
            self.cluster.workers.iter().filter(|(_, w)| !w.is_terminated && w.up_at <= self.now);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Ids of accepted jobs that are not over, about which no request was answered for longer than `for_ms`.
    pub fn jobs_without_answer(&self, for_ms: u64) -> Vec<&str> {
        let open = self.jobs.iter().filter(|j| j.accepted && !j.is_over());
        let open = open.filter(|j| self.now > j.last_answered_at + for_ms);
        open.map(|j| j.id.as_str()).collect()
    }

    /// Records a violation if no request about a job was answered for 75 s after all faults ended.
    pub(super) fn check_job_answered(&mut self, job: usize) {
        let Some(faults_end_ms) = self.faults_end_ms else { return };
        let since = self.jobs[job].last_answered_at.max(super::START_MS + faults_end_ms);
        let open = self.jobs[job].accepted && !self.jobs[job].is_over();
        if open && self.now > since + 75_000 {
            let violation = format!("forgotten: {} has no answer for 75 s", self.jobs[job].id);
            if !self.violations.contains(&violation) {
                self.violations.push(violation);
            }
        }
    }
}
