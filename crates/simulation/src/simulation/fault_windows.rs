//! Faults that last for a time, and faults of single transactions.

use super::{CONTROLLER_COUNT, START_MS, Simulation, SimulationEvent};
use rand::Rng;
use swiftsail_controller::cloud;
use swiftsail_controller::controller::{Controller, Event};
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_protocol::state::Transaction;
use swiftsail_protocol::workers::StatusReport;

/// A controller's timeout for calls to the state service, ms.
const STORE_CALLER_TIMEOUT_MS: u64 = 1_500;
/// A controller's timeout for calls to the cloud, ms.
const CLOUD_CALLER_TIMEOUT_MS: u64 = 4_000;
/// Most report copies kept for the next leader: those of some seconds from all machines of a simulation.
const MAX_KEPT_REPORTS: usize = 2_000;
/// Most machines that hang when running jobs are cancelled (operators' scenario).
const MAX_HUNG_MACHINES: usize = 8;
/// Time within which users cancel running jobs, ms (operators' scenario).
const CANCEL_WITHIN_MS: u64 = 200;

/// What happens to a controller's transaction on its way to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionFate {
    /// Whatever the fault rates and fault windows of the simulation cause.
    AsConfigured,
    /// It is applied at once, and the response is lost.
    AnswerLost,
    /// It is applied after this time, ms, and the caller gets no response.
    AppliedLate(u64),
    /// It is never applied, and the caller gets no response.
    Dropped,
    /// It is rejected with status 503.
    Refused,
    /// It is rejected with status 400, for this reason.
    Malformed(String),
}

/// Decides what happens to a transaction, given the time since the start in ms, the controller and the transaction.
pub type TransactionInterceptor = Box<dyn FnMut(u64, usize, &Transaction) -> TransactionFate>;

/// A fault that lasts for a time.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// This share of the transactions is applied at once, but the response is lost.
    AnswersLost(f64),
    /// This share of the transactions gets no response and is applied 2 to 12 s later.
    TransactionsLate(f64),
    /// A copy of this share of the status reports is kept, and reaches every controller when a new leader starts.
    DuplicatesForNextLeader(f64),
    /// Nothing that these machines send arrives; what is sent to them does.
    OutboundUnreachable(Vec<String>),
    /// The cloud fails every call.
    CloudUnavailable,
    /// The cloud takes up to this time, ms, to respond. After 4 s the caller has timed out.
    SlowCloud(u64),
    /// This zone is partitioned: its workers and this controller reach each other, and nobody outside it.
    ZonePartition {
        /// The zone.
        zone: String,
        /// The controller.
        controller: usize,
    },
    /// Within milliseconds after a job was accepted or its end reported, users poll it at all controllers and repeat the
    /// submission. One in four of the users who cancel do so as soon as the job is accepted.
    ConsistencyProbes,
    /// Users repeat submissions, cancel jobs that are done, and submit jobs that fit no machine or lack a field.
    UnusualRequests,
    /// Every message takes between half of this time and this time, ms.
    SlowLinks(u64),
    /// This share of the jobs is cancelled within 300 ms after the last task completes.
    CancelAtCompletion(f64),
}

/// A fault with the times at which it starts and ends.
#[derive(Debug, Clone)]
pub struct FaultWindow {
    from: u64,
    until: u64,
    fault: Fault,
}

impl Simulation {
    /// Adds a fault that lasts from `from_ms` after the start for `for_ms`.
    pub fn add_fault_window(&mut self, from_ms: u64, for_ms: u64, fault: Fault) {
        let (from, until) = (START_MS + from_ms, START_MS + from_ms + for_ms);
        if fault == Fault::UnusualRequests {
            for at in (from..until).step_by(700) {
                self.schedule(at, SimulationEvent::UnusualRequest);
            }
        }
        if let Fault::ZonePartition { controller, .. } = &fault {
            // The controller is also cut off from the state service, which looks like an outage to it.
            let partition = super::NetworkPartition {
                store: true,
                ..super::NetworkPartition::of(*controller, from_ms, for_ms)
            };
            self.partitions.push(partition);
        }
        self.fault_windows.push(FaultWindow { from, until, fault });
    }

    /// Schedules the cancellation of up to `count` running jobs, all within a fifth of a second. If `hang_ms` is given,
    /// some of the machines that run them hang for that time.
    pub fn schedule_running_cancellations(
        &mut self,
        at_ms: u64,
        count: usize,
        hang_ms: Option<u64>,
    ) {
        self.schedule(START_MS + at_ms, SimulationEvent::CancelRunningJobs(count, hang_ms));
    }

    /// Schedules the delivery of a duplicate report to a controller. Nobody receives the response.
    pub fn schedule_duplicate_report(
        &mut self,
        at_ms: u64,
        controller: usize,
        report: StatusReport,
    ) {
        self.schedule(
            START_MS + at_ms,
            SimulationEvent::DuplicateReport(controller, Box::new(report)),
        );
    }

    /// The first `Some` that `value` returns for a fault active now.
    pub(super) fn active_fault_value<T>(&self, value: impl Fn(&Fault) -> Option<T>) -> Option<T> {
        let now = self.now;
        let active = self.fault_windows.iter().filter(|s| (s.from..s.until).contains(&now));
        active.filter_map(|s| value(&s.fault)).next()
    }

    /// Counts an occurrence in [`Simulation::fault_counts`]. Tests look these names up.
    pub(super) fn count_fault(&mut self, name: &'static str) {
        *self.fault_counts.entry(name).or_default() += 1;
    }

    // ---- transactions ----

    /// Decides what happens to a transaction of a controller: by the interceptor first, then by the active faults.
    pub(super) fn draw_transaction_fate(
        &mut self,
        n: usize,
        transaction: &Transaction,
    ) -> TransactionFate {
        let ms = self.now - START_MS;
        if let Some(intercept) = &mut self.transaction_interceptor {
            let fate = intercept(ms, n, transaction);
            if fate != TransactionFate::AsConfigured {
                return fate;
            }
        }
        let answer_lost_share = |t: &Fault| match t {
            Fault::AnswersLost(share) => Some(*share),
            _ => None,
        };
        let late_share = |t: &Fault| match t {
            Fault::TransactionsLate(share) => Some(*share),
            _ => None,
        };
        if self
            .active_fault_value(answer_lost_share)
            .is_some_and(|share| self.rng.random_bool(share))
        {
            return TransactionFate::AnswerLost;
        }
        match self.active_fault_value(late_share).is_some_and(|share| self.rng.random_bool(share)) {
            true => TransactionFate::AppliedLate(self.rng.random_range(2_000..12_000)),
            false => TransactionFate::AsConfigured,
        }
    }

    /// Executes a transaction as `fate` says, and schedules the response to its controller.
    pub(super) fn apply_transaction_fate(
        &mut self,
        fate: TransactionFate,
        n: usize,
        incarnation: u64,
        id: u64,
        call: StoreCall,
    ) {
        let mut delay_ms = STORE_CALLER_TIMEOUT_MS;
        let outcome = match fate {
            TransactionFate::AsConfigured | TransactionFate::Dropped => StoreOutcome::Unknown,
            TransactionFate::AnswerLost => {
                self.count_fault("answer lost");
                self.execute_store_call(&call);
                StoreOutcome::Unknown
            }
            TransactionFate::AppliedLate(ms) => {
                self.count_fault("write late");
                // Incarnation 0: the transaction is applied, and nobody receives the response.
                self.schedule(self.now + ms, SimulationEvent::StoreCall(n, 0, 0, call));
                StoreOutcome::Unknown
            }
            TransactionFate::Refused => StoreOutcome::Unavailable,
            TransactionFate::Malformed(reason) => StoreOutcome::Malformed(reason),
        };
        if outcome != StoreOutcome::Unknown {
            delay_ms = self.draw_message_delay();
        }
        self.schedule(
            self.now + delay_ms,
            SimulationEvent::DeliverToController(
                n,
                incarnation,
                Box::new(Event::StoreResponse(id, outcome)),
            ),
        );
        self.answer_watches();
    }

    // ---- reports ----

    /// Whether nothing that a machine sends arrives now.
    pub(super) fn is_outbound_unreachable(&mut self, name: &str) -> bool {
        let of_machine = |t: &Fault| match t {
            Fault::OutboundUnreachable(names) => names.iter().any(|n| n == name).then_some(()),
            _ => None,
        };
        let unreachable = self.active_fault_value(of_machine).is_some();
        if unreachable {
            self.count_fault("mute");
        }
        unreachable
    }

    /// Keeps a copy of a report for the next leader, if such a fault is active and chance selects the report.
    pub(super) fn maybe_keep_for_next_leader(&mut self, report: &StatusReport) {
        let share = self.active_fault_value(|t| match t {
            Fault::DuplicatesForNextLeader(share) => Some(*share),
            _ => None,
        });
        let is_kept = share.is_some_and(|share| self.rng.random_bool(share));
        if is_kept && self.reports_for_next_leader.len() < MAX_KEPT_REPORTS {
            self.reports_for_next_leader.push(report.clone());
        }
    }

    /// Sends the kept report copies to every controller when controller `n` has become a new leader.
    pub(super) fn deliver_kept_reports(&mut self, n: usize) {
        if !self.controllers[n].as_ref().is_some_and(Controller::is_leader) {
            return;
        }
        let incarnation = Some((n, self.incarnations[n]));
        if std::mem::replace(&mut self.last_leader, incarnation) == incarnation {
            return;
        }
        self.count_fault("leader");
        for report in std::mem::take(&mut self.reports_for_next_leader) {
            self.count_fault("copy for next");
            for controller in 0..CONTROLLER_COUNT {
                let at = self.now + self.rng.random_range(0..40);
                self.schedule(
                    at,
                    SimulationEvent::DuplicateReport(controller, Box::new(report.clone())),
                );
            }
        }
    }

    // ---- the cloud ----

    /// If a cloud fault is active, the outcome of a call that its caller receives, and the delay in ms.
    pub(super) fn cloud_fault(
        &mut self,
        call: &cloud::CloudCall,
    ) -> Option<(u64, cloud::CloudOutcome)> {
        let max_delay_ms = self.active_fault_value(|t| match t {
            Fault::SlowCloud(ms) => Some(*ms),
            Fault::CloudUnavailable => Some(0),
            _ => None,
        })?;
        self.count_fault("cloud trouble");
        if max_delay_ms == 0 {
            return Some((self.draw_message_delay(), cloud::CloudOutcome::Failed));
        }
        let delay_ms = self.rng.random_range(0..max_delay_ms);
        match delay_ms < CLOUD_CALLER_TIMEOUT_MS {
            true => Some((delay_ms, self.execute_cloud_call(call))),
            false => {
                // The call may be executed although its caller has timed out.
                if self.rng.random_bool(0.5) {
                    self.execute_cloud_call(call);
                }
                Some((CLOUD_CALLER_TIMEOUT_MS, cloud::CloudOutcome::Failed))
            }
        }
    }

    // ---- zones ----

    fn active_zone_partition(&self) -> Option<(String, usize)> {
        self.active_fault_value(|t| match t {
            Fault::ZonePartition { zone, controller } => Some((zone.clone(), *controller)),
            _ => None,
        })
    }

    /// Whether a controller is inside a partitioned zone.
    pub(super) fn is_zone_partitioned(&self, n: usize) -> bool {
        self.active_zone_partition().is_some_and(|(_, controller)| controller == n)
    }

    /// Whether a zone partition separates two controllers.
    pub(super) fn are_partitioned_by_zone(&self, a: usize, b: usize) -> bool {
        self.active_zone_partition()
            .is_some_and(|(_, controller)| (controller == a) != (controller == b))
    }

    /// Whether a zone partition separates a controller from a machine.
    pub(super) fn is_machine_partitioned(&mut self, n: usize, machine: &str) -> bool {
        let Some((zone, controller)) = self.active_zone_partition() else { return false };
        let inside = self.cluster.workers.get(machine).is_some_and(|w| w.hardware.zone == zone);
        let is_cut_off = inside != (controller == n);
        if is_cut_off && inside {
            self.count_fault("zone cut");
        }
        is_cut_off
    }

    // ---- users ----

    /// Lets users cancel up to `count` running jobs. If `hang_ms` is given, some of their machines hang for that time.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: Option<u64>) {
        let now = self.now;
        let mut machines: Vec<String> = Vec::new();
        let mut selected = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            if selected.len() >= count
                || !job.accepted
                || job.is_over()
                || job.cancellation_told_at.is_some()
            {
                continue;
            }
            let responsive = self.cluster.workers.values().filter(|w| w.is_responsive(now));
            let is_of_job = |t: &&crate::worker::WorkerTask| t.is_on_machine() && t.job() == job.id;
            let hosts: Vec<String> = responsive
                .filter(|w| w.tasks.iter().any(|t| is_of_job(&t)))
                .map(|w| w.name.clone())
                .collect();
            if !hosts.is_empty() {
                selected.push(number);
                machines.extend(hosts);
            }
        }
        for job in selected {
            self.count_fault("cancelled now");
            let at = now + self.rng.random_range(0..CANCEL_WITHIN_MS);
            self.jobs[job].cancel_at = Some(at);
            self.schedule(at, SimulationEvent::UserRequest(job, 2));
        }
        let Some(for_ms) = hang_ms else { return };
        machines.sort();
        machines.dedup();
        for name in machines.into_iter().take(MAX_HUNG_MACHINES) {
            if let Some(worker) = self.cluster.workers.get_mut(&name) {
                worker.hang_until = now + for_ms;
                self.count_fault("hung");
            }
        }
    }

    /// Lets users cancel a share of the jobs whose last task has just completed, if such a fault is active.
    pub(super) fn cancel_at_completion(&mut self) {
        let share = self.active_fault_value(|t| match t {
            Fault::CancelAtCompletion(share) => Some(*share),
            _ => None,
        });
        let Some(share) = share else { return };
        let finished = &self.cluster.finished_tasks;
        let is_complete = |j: &super::SimulatedJob| {
            (0..j.task_count()).all(|t| finished.contains(&format!("{}/{t}", j.id)))
        };
        let active = self.jobs.iter_mut().enumerate().filter(|(_, j)| j.accepted && !j.has_ended);
        let mut completed = Vec::new();
        for (number, job) in active.filter(|(_, j)| j.text_field("shape") != "service") {
            if is_complete(job) {
                job.has_ended = true;
                completed.push(number);
            }
        }
        for job in completed {
            if self.jobs[job].cancellation_told_at.is_none() && self.rng.random_bool(share) {
                self.count_fault("cancelled at end");
                let at = self.now + self.rng.random_range(0..300);
                self.jobs[job].cancel_at = Some(at);
                self.schedule(at, SimulationEvent::UserRequest(job, 2));
            }
        }
    }
}
