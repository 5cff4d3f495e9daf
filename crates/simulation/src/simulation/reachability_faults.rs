//! Troubles of one direction or of another time: machines whose reports arrive and whose answers do not,
//! reports that come again much later, workers that begin anew.

use super::{Simulation, SimulationEvent};
use rand::Rng;
use swiftsail_controller::controller::Event;
use swiftsail_protocol::workers::StatusReport;

/// Machines that do not hear for a time.
#[derive(Debug, Clone)]
pub struct InboundFailure {
    /// From the beginning, ms.
    pub from_ms: u64,
    /// For so long, ms.
    pub for_ms: u64,
    /// All of this zone ...
    pub zone: Option<String>,
    /// ... or these.
    pub machines: Vec<String>,
    /// They hear every so many-th answer yet, and what is sent to them; 0: nothing.
    pub delivers_every: u64,
}

impl Simulation {
    /// Whether a machine does not hear what is said to it now: the answer to a report, or something else.
    pub(super) fn is_inbound_unreachable(&mut self, name: &str, answer: bool) -> bool {
        let now = self.now - super::START_MS;
        let Some(worker) = self.cluster.workers.get(name) else { return false };
        let its = |d: &&InboundFailure| {
            (d.from_ms..d.from_ms + d.for_ms).contains(&now)
                && (d.zone.as_deref() == Some(&worker.hardware.zone)
                    || d.machines.iter().any(|n| n == name))
        };
        let Some(each) = self.inbound_failures.iter().find(its).map(|d| d.delivers_every) else {
            return false;
        };
        if each == 0 || !answer {
            return each == 0;
        }
        let said = self.messages_to_unreachable.entry(name.to_string()).or_default();
        *said += 1;
        !said.is_multiple_of(each)
    }

    /// A report may come again, long after.
    pub(super) fn maybe_duplicate_report(&mut self, node: usize, report: &StatusReport) {
        let Some((chance, most_ms)) = self.duplicate_reports else { return };
        if self.are_random_faults_over() || !self.rng.random_bool(chance) {
            return;
        }
        let at = self.now + self.rng.random_range(1_000..most_ms);
        // It may come to any controller that its worker has tried since.
        let to =
            if self.rng.random_bool(0.7) { node } else { (node + 1) % super::CONTROLLER_COUNT };
        self.schedule(at, SimulationEvent::DuplicateReport(to, Box::new(report.clone())));
    }

    /// A copy comes: whoever sent it waits for no answer.
    pub(super) fn deliver_duplicate_report(&mut self, n: usize, report: Box<StatusReport>) {
        if self.controllers[n].is_some() && !self.is_partitioned(n, |c| c.workers) {
            self.next_request += 1;
            let (id, life) = (self.next_request, self.incarnations[n]);
            self.duplicates_delivered += 1;
            self.deliver_to_controller(n, life, Event::StatusReport(id, report));
        }
    }

    /// A machine's worker begins anew at a time, with numbers from the start.
    pub fn schedule_worker_restart(&mut self, at_ms: u64, name: &str) {
        self.schedule(super::START_MS + at_ms, SimulationEvent::RestartWorker(name.to_string()));
    }

    /// Names of the machines that are up now.
    pub fn running_machines(&self) -> Vec<String> {
        let up =
            self.cluster.workers.iter().filter(|(_, w)| !w.is_terminated && w.up_at <= self.now);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Jobs whose latest question was answered longer ago than that, though they are not over.
    pub fn jobs_without_answer(&self, for_ms: u64) -> Vec<&str> {
        let open = self.jobs.iter().filter(|j| j.accepted && !j.is_over());
        let open = open.filter(|j| self.now > j.last_answered_at + for_ms);
        open.map(|j| j.id.as_str()).collect()
    }

    /// Once all troubles are over, a job about which no question is answered for 75 s is forgotten, however
    /// others fare.
    pub(super) fn check_job_answered(&mut self, job: usize) {
        let Some(over) = self.faults_end_ms else { return };
        let since = self.jobs[job].last_answered_at.max(super::START_MS + over);
        let open = self.jobs[job].accepted && !self.jobs[job].is_over();
        if open && self.now > since + 75_000 {
            let what = format!("forgotten: {} has no answer for 75 s", self.jobs[job].id);
            if !self.violations.contains(&what) {
                self.violations.push(what);
            }
        }
    }
}
