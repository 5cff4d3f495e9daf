//! Loans of accelerators: what the tables show of each, what follows, and their records.

use super::Controller;
use crate::Time;
use crate::cluster_state::ClusterState;
use crate::constants::REGISTRATION_GRACE_MS;
use crate::job::{JobId, JobState, MachineId};
use crate::machine::MachineState;
use serde_json::json;
use swiftsail_gpu_lending::{GpuLoan, LenderRecord, LoanAction, LoanObservation};
use swiftsail_replicated_records::Versioned;

/// Prefix of loans' records among those of the order.
const PREFIX: &str = "loan/";

impl ClusterState {
    /// What the tables show of a loan.
    fn lending_observation(&self, lender: &str, loan: &GpuLoan, now: Time) -> LoanObservation {
        let job = |id: &str| self.jobs.get(id).filter(|j| j.state() == JobState::Live);
        let on = |id: &str| {
            let held = self.jobs.get(id).into_iter().flat_map(|j| j.attempts.values());
            held.filter(|a| a.occupies_resources()).any(|a| *a.machine == *loan.machine)
        };
        let machine = self.machines.get(loan.machine.as_str());
        // A new leader has heard no machine yet: that is no sign that this one is gone.
        let young = now < self.leading_since + REGISTRATION_GRACE_MS;
        let expected = machine.is_none_or(|m| {
            matches!(m.state(), MachineState::Expected | MachineState::Registering)
        });
        let ready =
            machine.is_some_and(|m| m.state() == MachineState::Ready && m.may_receive_work());
        let (to, from) = (job(&loan.borrower), job(lender));
        LoanObservation {
            lender_is_live: from.is_some(),
            borrower_is_live: to.is_some(),
            borrower_is_waiting: to.is_some_and(|j| !j.waiting.is_empty()),
            machine_is_available: ready || young && expected,
            lender_on_machine: on(lender),
            borrower_on_machine: on(&loan.borrower),
            lender_is_waiting: from.is_some_and(|j| !j.waiting.is_empty()),
        }
    }

    /// Lets every loan go on: who is to be stopped is, and room is kept for whose it is.
    pub fn advance_gpu_loans(&mut self, now: Time, wall: u64) {
        let mut loans = std::mem::take(&mut self.gpu_loans);
        let todo =
            loans.advance_loans(wall, |lender, loan| self.lending_observation(lender, loan, now));
        self.gpu_loans = loans;
        for it in todo {
            match it {
                LoanAction::StopLender { lender, machine } => {
                    let Some(job) = self.jobs.get(lender.as_str()) else { continue };
                    let there = |a: &&crate::job::Attempt| {
                        *a.machine == *machine && a.stop_requested.is_none()
                    };
                    let task = job.attempts.iter().find(|(_, a)| there(a)).map(|(t, _)| *t);
                    if let Some(task) = task {
                        self.request_stop(&JobId::from(lender), task, now);
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

    /// Opens a loan for each gang among victims: those are stopped once that is written down. Gives back the others.
    pub fn request_gpu_loans(
        &mut self,
        by: &JobId,
        victims: Vec<(JobId, u32)>,
        wall: u64,
    ) -> Vec<(JobId, u32)> {
        let mut lenders: std::collections::BTreeMap<JobId, Vec<(String, f64)>> = Default::default();
        for (id, task) in &victims {
            let Some(job) = self.jobs.get(id).filter(|j| j.spec.kind == crate::job::JobKind::Gang)
            else {
                continue;
            };
            if let Some(attempt) = job.attempts.get(task) {
                let machine = (attempt.machine.to_string(), job.spec.gpus);
                lenders.entry(id.clone()).or_default().push(machine);
            }
        }
        for (lender, machines) in &lenders {
            if self.gpu_loans.request_loan(lender, by, machines, wall) {
                let gpus: f64 = machines.iter().map(|m| m.1).sum();
                tracing::info!(job = %lender, to = %by, machines = machines.len(), gpus, "accelerators lent");
                self.events.record("job", "lends", lender, Some(by));
            }
        }
        victims.into_iter().filter(|(id, _)| !lenders.contains_key(id)).collect()
    }
}

impl Controller {
    /// With every timer step of a leader: loans go on, and what has changed of them is written down.
    pub(super) fn update_gpu_loans(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.cluster_state else { return };
        let durable = self.replicated_records.lends_gpus();
        for lender in leader.gpu_loans.lenders_with_requests() {
            let key = format!("{PREFIX}{lender}");
            let written = self.replicated_records.records.get_committed(&key).is_some()
                && self.replicated_records.records.is_committed(&key);
            if !durable || written {
                leader.gpu_loans.on_committed(&lender, now.wall_clock);
            }
        }
        leader.advance_gpu_loans(now.monotonic, now.wall_clock);
        let changed = leader.gpu_loans.take_changed();
        for (lender, lent) in changed.into_iter().filter(|_| durable) {
            let key = format!("{PREFIX}{lender}");
            match lent {
                Some(lent) => drop(self.replicated_records.records.put(&key, lent.to_record())),
                None => self.replicated_records.records.remove(&key),
            }
        }
    }

    /// A new leader finishes or undoes what its predecessor has begun.
    pub(super) fn restore_gpu_loans(&mut self) {
        let Some(leader) =
            self.cluster_state.as_mut().filter(|_| self.replicated_records.lends_gpus())
        else {
            return;
        };
        for (key, value) in self.replicated_records.records.get_by_prefix(PREFIX) {
            match LenderRecord::from_record(key, value) {
                Ok(lent) => leader.gpu_loans.restore(key.trim_start_matches(PREFIX), lent),
                Err(e) => tracing::error!(cause = %e, "unreadable loan record ignored"),
            }
        }
    }

    /// All loans, for operators; of one job if it is named.
    pub(super) fn show_loans(&self, of: Option<&str>) -> serde_json::Value {
        let now = self.now.wall_clock;
        let all = self.cluster_state.iter().flat_map(|l| l.gpu_loans.iter());
        let its = all.filter(|(lender, l)| of.is_none_or(|id| *lender == id || l.borrower == id));
        let rows = its.map(|(lender, loan)| {
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
        let stops = of.and_then(|id| self.cluster_state.as_ref()?.gpu_loans.lender_record(id));
        json!({
            "durable": self.replicated_records.lends_gpus(),
            "loans": rows,
            "stopped_ms": stops.map(|l| l.preempted_at.clone()).unwrap_or_default(),
        })
    }
}
