//! GPU loans of the leader: observes each loan in the cluster state, executes the actions that follow, and reads and
//! writes the records of the lenders. The loans themselves are in [`swiftsail_gpu_lending`].

use super::Controller;
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::REGISTRATION_GRACE_MS;
use crate::job::{JobId, JobState, MachineId};
use crate::machine::MachineState;
use serde_json::json;
use swiftsail_gpu_lending::{GpuLoan, LenderRecord, LoanAction, LoanObservation};
use swiftsail_replicated_records::Versioned;

/// Prefix of the keys of lenders' records, below the common prefix of all replicated records.
const PREFIX: &str = "loan/";

impl ClusterState {
    /// What the cluster state shows of a loan's jobs and machine.
    fn observe_loan(&self, lender: &str, loan: &GpuLoan, now: Time) -> LoanObservation {
        let live_job = |id: &str| self.jobs.get(id).filter(|job| job.state() == JobState::Live);
        let is_on_machine = |id: &str| {
            let attempts = self.jobs.get(id).into_iter().flat_map(|job| job.attempts.values());
            attempts
                .filter(|attempt| attempt.occupies_resources())
                .any(|attempt| **attempt.machine() == *loan.machine)
        };
        let machine = self.machines.get(loan.machine.as_str());
        // No machine has reported to a new leader yet: that does not show that this one is gone.
        let is_in_grace_period = now < self.leading_since + REGISTRATION_GRACE_MS;
        let may_report_yet = machine.is_none_or(|machine| {
            matches!(machine.state(), MachineState::Expected | MachineState::Registering)
        });
        let is_ready = machine.is_some_and(|machine| {
            machine.state() == MachineState::Ready && machine.may_receive_work()
        });
        let (borrower_job, lender_job) = (live_job(&loan.borrower), live_job(lender));
        LoanObservation {
            lender_is_live: lender_job.is_some(),
            borrower_is_live: borrower_job.is_some(),
            borrower_is_waiting: borrower_job.is_some_and(|job| !job.waiting.is_empty()),
            machine_is_available: is_ready || is_in_grace_period && may_report_yet,
            lender_on_machine: is_on_machine(lender),
            borrower_on_machine: is_on_machine(&loan.borrower),
            lender_is_waiting: lender_job.is_some_and(|job| !job.waiting.is_empty()),
        }
    }

    /// Advances every loan and executes the actions that follow: stops lenders' tasks, and reserves machines for
    /// borrowers or lenders. `now` is monotonic time, `wall` the wall clock, both in ms.
    pub fn advance_gpu_loans(&mut self, now: Time, wall: u64) {
        let mut loans = std::mem::take(&mut self.gpu_loans);
        let actions =
            loans.advance_loans(wall, |lender, loan| self.observe_loan(lender, loan, now));
        self.gpu_loans = loans;
        for action in actions {
            match action {
                LoanAction::StopLender { lender, machine } => {
                    let Some(job) = self.jobs.get(lender.as_str()) else { continue };
                    let is_to_stop = |attempt: &&crate::job::Attempt| {
                        **attempt.machine() == *machine && !attempt.stop_requested
                    };
                    let task = job
                        .attempts
                        .iter()
                        .find(|(_, attempt)| is_to_stop(attempt))
                        .map(|(task, _)| *task);
                    if let Some(task) = task {
                        self.request_stop(&JobId::from(lender), task);
                    }
                }
                LoanAction::ReserveMachine { job, machine } => {
                    if let Some(job) = self.jobs.get_mut(job.as_str()) {
                        job.vacated_machines.insert(MachineId::from(machine), now);
                    }
                }
            }
        }
    }

    /// Requests a loan, for the job `by`, of every machine on which a task of a gang is among the victims of a
    /// preemption. Those tasks are stopped once the loan's record is committed. Returns the other victims, which may be
    /// stopped at once.
    pub fn request_gpu_loans(
        &mut self,
        by: &JobId,
        victims: Vec<(JobId, u32)>,
        wall: u64,
    ) -> Vec<(JobId, u32)> {
        let mut lenders: std::collections::BTreeMap<JobId, Vec<(String, f64)>> = Default::default();
        for (id, task) in &victims {
            let Some(job) =
                self.jobs.get(id).filter(|job| job.spec.kind == crate::job::JobKind::Gang)
            else {
                continue;
            };
            if let Some(attempt) = job.attempts.get(task) {
                let machine = (attempt.machine().to_string(), job.spec.gpus);
                lenders.entry(id.clone()).or_default().push(machine);
            }
        }
        for (lender, machines) in &lenders {
            if self.gpu_loans.request_loan(lender, by, machines, wall) {
                let gpus: f64 = machines.iter().map(|(_, gpus)| gpus).sum();
                tracing::info!(job = %lender, to = %by, machines = machines.len(), gpus, "GPU loan requested");
                self.events.record("job", "lends", lender, Some(by));
            }
        }
        victims.into_iter().filter(|(id, _)| !lenders.contains_key(id)).collect()
    }
}

impl Controller {
    /// Timer step of the leader: advances the loans, and requests writes of the records that have changed. A requested
    /// loan begins once its record is committed, or at once if loans are not held in the state service.
    pub(super) fn update_gpu_loans(&mut self) {
        let now = self.now;
        let Some(state) = &mut self.cluster_state else { return };
        let durable = self.replicated_records.are_loans_durable();
        for lender in state.gpu_loans.lenders_with_requests() {
            let key = format!("{PREFIX}{lender}");
            let is_committed = self.replicated_records.records.get_committed(&key).is_some()
                && self.replicated_records.records.is_committed(&key);
            if !durable || is_committed {
                state.gpu_loans.on_committed(&lender, now.wall_clock);
            }
        }
        state.advance_gpu_loans(now.monotonic, now.wall_clock);
        let changed = state.gpu_loans.take_changed();
        for (lender, record) in changed.into_iter().filter(|_| durable) {
            let key = format!("{PREFIX}{lender}");
            match record {
                Some(record) => {
                    self.replicated_records.records.put(&key, record.to_record());
                }
                None => self.replicated_records.records.remove(&key),
            }
        }
    }

    /// Restores the loans from their records: a new leader completes or ends those of its predecessor.
    pub(super) fn restore_gpu_loans(&mut self) {
        let Some(state) =
            self.cluster_state.as_mut().filter(|_| self.replicated_records.are_loans_durable())
        else {
            return;
        };
        for (key, value) in self.replicated_records.records.get_by_prefix(PREFIX) {
            match LenderRecord::from_record(key, value) {
                Ok(record) => state.gpu_loans.restore(key.trim_start_matches(PREFIX), record),
                Err(e) => tracing::error!(cause = %e, "unreadable loan record ignored"),
            }
        }
    }

    /// The open loans, for operators: all, or those in which this job lends or borrows, with the times at which it was
    /// preempted.
    pub(super) fn describe_loans(&self, job: Option<&str>) -> serde_json::Value {
        let now = self.now.wall_clock;
        let all = self.cluster_state.iter().flat_map(|state| state.gpu_loans.iter());
        let selected =
            all.filter(|(lender, loan)| job.is_none_or(|id| *lender == id || loan.borrower == id));
        let rows = selected.map(|(lender, loan)| {
            json!({
                "lender": lender,
                "borrower": loan.borrower,
                "machine": loan.machine,
                "gpus": loan.gpus,
                "stage": format!("{:?}", loan.phase()).to_lowercase(),
                "for_s": now.saturating_sub(loan.phase_since_wall) / 1_000,
            })
        });
        let rows: Vec<_> = rows.collect();
        let record = job.and_then(|id| self.cluster_state.as_ref()?.gpu_loans.lender_record(id));
        json!({
            "durable": self.replicated_records.are_loans_durable(),
            "loans": rows,
            "stopped_ms": record.map(|record| record.preempted_at.clone()).unwrap_or_default(),
        })
    }
}
