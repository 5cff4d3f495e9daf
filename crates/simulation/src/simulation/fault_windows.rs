//! Troubles that last for a time, and what becomes of single transactions.

use super::{CONTROLLER_COUNT, START_MS, Simulation, SimulationEvent};
use rand::Rng;
use swiftsail_controller::cloud;
use swiftsail_controller::controller::{Controller, Event};
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_protocol::state::Transaction;
use swiftsail_protocol::workers::StatusReport;

/// Time after which a controller gives a call to the state service up, ms.
const STORE_CALLER_TIMEOUT_MS: u64 = 1_500;
/// Time after which a controller gives a call to the cloud up, ms.
const CLOUD_CALLER_TIMEOUT_MS: u64 = 4_000;
/// Reports kept for the next leader at most: those of some seconds of all machines of a world.
const MAX_KEPT_REPORTS: usize = 2_000;
/// Machines that hang at most when jobs are called off (the operators' page).
const MAX_HUNG_MACHINES: usize = 8;
/// Time within which users call off, ms (the operators' page).
const CANCEL_WITHIN_MS: u64 = 200;

/// What becomes of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionFate {
    /// What becomes of it by the weather.
    AsConfigured,
    /// It is carried out at once, and its answer is lost.
    AnswerLost,
    /// It gets no answer, and is carried out so much later, ms.
    AppliedLate(u64),
    /// It gets no answer, and is never carried out.
    Dropped,
    /// It is refused with 503.
    Refused,
    /// It is refused with 400, for this reason.
    Malformed(String),
}

/// Says what becomes of a transaction: time from the beginning in ms, the controller, and it.
pub type TransactionInterceptor = Box<dyn FnMut(u64, usize, &Transaction) -> TransactionFate>;

/// A trouble that lasts for a time.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// That share of the transactions is carried out at once, and only the answer is lost.
    AnswersLost(f64),
    /// That share of the transactions gets no answer and is carried out 2 to 12 s later.
    TransactionsLate(f64),
    /// Of that share of the reports a copy is kept, which reaches every controller as a new leader begins.
    DuplicatesForNextLeader(f64),
    /// These machines reach no controller; what is sent to them reaches them.
    OutboundUnreachable(Vec<String>),
    /// The cloud refuses everything.
    CloudUnavailable,
    /// The cloud answers only after so long at most, ms: beyond 4 s its caller has given up.
    SlowCloud(u64),
    /// The workers of this zone and this controller reach each other and nobody else.
    ZonePartition {
        /// The zone.
        zone: String,
        /// The controller.
        controller: usize,
    },
    /// Users ask at all nodes within milliseconds after a job was accepted or over, and repeat the submission; of
    /// those who call off, one in four does so at once.
    ConsistencyProbes,
    /// Users repeat submissions, cancel what is done, and send jobs that fit no machine or lack a field.
    UnusualRequests,
    /// Every message takes from half of this time to this time, ms.
    SlowLinks(u64),
    /// That share of the jobs that end is called off at the moment of the end.
    CancelAtCompletion(f64),
}

/// A trouble, from a time on, for so long.
#[derive(Debug, Clone)]
pub struct FaultWindow {
    from: u64,
    until: u64,
    fault: Fault,
}

impl Simulation {
    /// A trouble begins at a time and lasts for so long.
    pub fn add_fault_window(&mut self, from_ms: u64, for_ms: u64, trouble: Fault) {
        let (from, until) = (START_MS + from_ms, START_MS + from_ms + for_ms);
        if trouble == Fault::UnusualRequests {
            for at in (from..until).step_by(700) {
                self.schedule(at, SimulationEvent::UnusualRequest);
            }
        }
        if let Fault::ZonePartition { controller: node, .. } = &trouble {
            // It loses the state service too, which refuses it as an outage would.
            let cut = super::NetworkPartition {
                store: true,
                ..super::NetworkPartition::of(*node, from_ms, for_ms)
            };
            self.partitions.push(cut);
        }
        self.fault_windows.push(FaultWindow { from, until, fault: trouble });
    }

    /// Users call off so many jobs that run, within a fifth of a second; some of their machines hang for so long.
    pub fn schedule_running_cancellations(
        &mut self,
        at_ms: u64,
        count: usize,
        hang_ms: Option<u64>,
    ) {
        self.schedule(START_MS + at_ms, SimulationEvent::CancelRunningJobs(count, hang_ms));
    }

    /// A copy of a report arrives at a controller: nobody waits for its answer.
    pub fn schedule_duplicate_report(&mut self, at_ms: u64, node: usize, report: StatusReport) {
        self.schedule(START_MS + at_ms, SimulationEvent::DuplicateReport(node, Box::new(report)));
    }

    /// A number that a trouble of now has.
    pub(super) fn active_fault_value<T>(&self, of: impl Fn(&Fault) -> Option<T>) -> Option<T> {
        let now = self.now;
        let open = self.fault_windows.iter().filter(|s| (s.from..s.until).contains(&now));
        open.filter_map(|s| of(&s.fault)).next()
    }

    pub(super) fn count_fault(&mut self, what: &'static str) {
        *self.fault_counts.entry(what).or_default() += 1;
    }

    // ---- transactions ----

    pub(super) fn draw_transaction_fate(
        &mut self,
        n: usize,
        commit: &Transaction,
    ) -> TransactionFate {
        let ms = self.now - START_MS;
        if let Some(judge) = &mut self.transaction_interceptor {
            let fate = judge(ms, n, commit);
            if fate != TransactionFate::AsConfigured {
                return fate;
            }
        }
        let lost = |t: &Fault| match t {
            Fault::AnswersLost(share) => Some(*share),
            _ => None,
        };
        let late = |t: &Fault| match t {
            Fault::TransactionsLate(share) => Some(*share),
            _ => None,
        };
        if self.active_fault_value(lost).is_some_and(|share| self.rng.random_bool(share)) {
            return TransactionFate::AnswerLost;
        }
        match self.active_fault_value(late).is_some_and(|share| self.rng.random_bool(share)) {
            true => TransactionFate::AppliedLate(self.rng.random_range(2_000..12_000)),
            false => TransactionFate::AsConfigured,
        }
    }

    pub(super) fn apply_transaction_fate(
        &mut self,
        fate: TransactionFate,
        n: usize,
        life: u64,
        id: u64,
        call: StoreCall,
    ) {
        let mut after = STORE_CALLER_TIMEOUT_MS;
        let outcome = match fate {
            TransactionFate::AsConfigured | TransactionFate::Dropped => StoreOutcome::Unknown,
            TransactionFate::AnswerLost => {
                self.count_fault("answer lost");
                self.execute_store_call(&call);
                StoreOutcome::Unknown
            }
            TransactionFate::AppliedLate(ms) => {
                self.count_fault("write late");
                // To a life that never was: carried out, told to nobody.
                self.schedule(self.now + ms, SimulationEvent::StoreCall(n, 0, 0, call));
                StoreOutcome::Unknown
            }
            TransactionFate::Refused => StoreOutcome::Unavailable,
            TransactionFate::Malformed(why) => StoreOutcome::Malformed(why),
        };
        if outcome != StoreOutcome::Unknown {
            after = self.draw_message_delay();
        }
        self.schedule(
            self.now + after,
            SimulationEvent::DeliverToController(
                n,
                life,
                Box::new(Event::StoreResponse(id, outcome)),
            ),
        );
        self.answer_watches();
    }

    // ---- reports ----

    pub(super) fn is_outbound_unreachable(&mut self, name: &str) -> bool {
        let its = |t: &Fault| match t {
            Fault::OutboundUnreachable(names) => names.iter().any(|n| n == name).then_some(()),
            _ => None,
        };
        let mute = self.active_fault_value(its).is_some();
        if mute {
            self.count_fault("mute");
        }
        mute
    }

    pub(super) fn maybe_keep_for_next_leader(&mut self, report: &StatusReport) {
        let share = self.active_fault_value(|t| match t {
            Fault::DuplicatesForNextLeader(share) => Some(*share),
            _ => None,
        });
        let kept = share.is_some_and(|share| self.rng.random_bool(share));
        if kept && self.reports_for_next_leader.len() < MAX_KEPT_REPORTS {
            self.reports_for_next_leader.push(report.clone());
        }
    }

    /// As a new leader begins, the copies kept for it reach every controller.
    pub(super) fn deliver_kept_reports(&mut self, n: usize) {
        if !self.controllers[n].as_ref().is_some_and(Controller::is_leader) {
            return;
        }
        let life = Some((n, self.incarnations[n]));
        if std::mem::replace(&mut self.last_leader, life) == life {
            return;
        }
        self.count_fault("leader");
        for report in std::mem::take(&mut self.reports_for_next_leader) {
            self.count_fault("copy for next");
            for node in 0..CONTROLLER_COUNT {
                let at = self.now + self.rng.random_range(0..40);
                self.schedule(at, SimulationEvent::DuplicateReport(node, Box::new(report.clone())));
            }
        }
    }

    // ---- the cloud ----

    /// What becomes of a call to the cloud, in a trouble of it: none, or what its caller hears, and after how long.
    pub(super) fn cloud_fault(
        &mut self,
        call: &cloud::CloudCall,
    ) -> Option<(u64, cloud::CloudOutcome)> {
        let slow = self.active_fault_value(|t| match t {
            Fault::SlowCloud(ms) => Some(*ms),
            Fault::CloudUnavailable => Some(0),
            _ => None,
        })?;
        self.count_fault("cloud trouble");
        if slow == 0 {
            return Some((self.draw_message_delay(), cloud::CloudOutcome::Failed));
        }
        let after = self.rng.random_range(0..slow);
        match after < CLOUD_CALLER_TIMEOUT_MS {
            true => Some((after, self.execute_cloud_call(call))),
            false => {
                // It may be carried out after its caller has given up.
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
            Fault::ZonePartition { zone, controller: node } => Some((zone.clone(), *node)),
            _ => None,
        })
    }

    /// Whether a controller is in a zone that is cut off.
    pub(super) fn is_zone_partitioned(&self, n: usize) -> bool {
        self.active_zone_partition().is_some_and(|(_, node)| node == n)
    }

    /// Whether a cut of a zone is between two controllers.
    pub(super) fn are_partitioned_by_zone(&self, a: usize, b: usize) -> bool {
        self.active_zone_partition().is_some_and(|(_, node)| (node == a) != (node == b))
    }

    /// Whether a cut of a zone is between a controller and a machine.
    pub(super) fn is_machine_partitioned(&mut self, n: usize, machine: &str) -> bool {
        let Some((zone, node)) = self.active_zone_partition() else { return false };
        let inside = self.cluster.workers.get(machine).is_some_and(|w| w.hardware.zone == zone);
        let cut = inside != (node == n);
        if cut && inside {
            self.count_fault("zone cut");
        }
        cut
    }

    // ---- users ----

    /// Jobs that run are called off now.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: Option<u64>) {
        let now = self.now;
        let mut machines: Vec<String> = Vec::new();
        let mut picked = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            if picked.len() >= count
                || !job.accepted
                || job.is_over()
                || job.cancellation_told_at.is_some()
            {
                continue;
            }
            let up = self.cluster.workers.values().filter(|w| w.is_responsive(now));
            let its = |t: &&crate::worker::WorkerTask| t.is_on_machine() && t.job() == job.id;
            let on: Vec<String> =
                up.filter(|w| w.tasks.iter().any(|t| its(&t))).map(|w| w.name.clone()).collect();
            if !on.is_empty() {
                picked.push(number);
                machines.extend(on);
            }
        }
        for job in picked {
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

    /// What has just ended may be called off at that moment.
    pub(super) fn cancel_at_completion(&mut self) {
        let share = self.active_fault_value(|t| match t {
            Fault::CancelAtCompletion(share) => Some(*share),
            _ => None,
        });
        let Some(share) = share else { return };
        let done = &self.cluster.finished_tasks;
        let over = |j: &super::SimulatedJob| {
            (0..j.task_count()).all(|t| done.contains(&format!("{}/{t}", j.id)))
        };
        let open = self.jobs.iter_mut().enumerate().filter(|(_, j)| j.accepted && !j.has_ended);
        let mut ended = Vec::new();
        for (number, job) in open.filter(|(_, j)| j.text_field("shape") != "service") {
            if over(job) {
                job.has_ended = true;
                ended.push(number);
            }
        }
        for job in ended {
            if self.jobs[job].cancellation_told_at.is_none() && self.rng.random_bool(share) {
                self.count_fault("cancelled at end");
                let at = self.now + self.rng.random_range(0..300);
                self.jobs[job].cancel_at = Some(at);
                self.schedule(at, SimulationEvent::UserRequest(job, 2));
            }
        }
    }
}
