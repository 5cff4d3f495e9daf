//! The loans of each lender: their phases, their record, and the actions that follow from what is observed.

use crate::constants::{
    LOAN_RETURN_TIMEOUT_MS, LOAN_START_TIMEOUT_MS, MAX_LENDERS, MAX_LOANS_PER_LENDER,
    MAX_PREEMPTIONS_PER_WINDOW, MIN_PREEMPTION_INTERVAL_MS, PREEMPTION_WINDOW_MS,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;

/// Phase of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoanPhase {
    /// Requested. The lender is not stopped until the record is committed, so that the next leader knows of the loan.
    #[serde(rename = "a")]
    Asked,
    /// The lender's task is being stopped and not proved gone yet.
    #[serde(rename = "s")]
    Stopping,
    /// The lender's task is proved gone; the machine is reserved for the borrower.
    #[serde(rename = "g")]
    Gone,
    /// A task of the borrower is bound to the machine.
    #[serde(rename = "v")]
    Serving,
    /// The borrower does not use the machine any more, or did not take it in time; it is reserved for the lender.
    #[serde(rename = "e")]
    Ending,
    /// A task of the lender is on the machine again.
    #[serde(rename = "b")]
    Back,
    /// Ended without a return of the machine to the lender: the borrower did not need it any more before the lender was
    /// stopped, the lender is over, the machine is gone, or a timeout has passed.
    #[serde(rename = "d")]
    Dropped,
}

impl LoanPhase {
    /// Whether the loan is over.
    pub fn is_final(self) -> bool {
        matches!(self, LoanPhase::Back | LoanPhase::Dropped)
    }
}

/// The loan of the GPUs of one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GpuLoan {
    /// Id of the job that borrows.
    #[serde(rename = "to")]
    pub borrower: String,
    /// Id of the machine.
    #[serde(rename = "on")]
    pub machine: String,
    /// Number of GPUs.
    #[serde(rename = "n")]
    pub gpus: f64,
    #[serde(rename = "stage")]
    phase: LoanPhase,
    /// Wall-clock time at which the current phase began, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub phase_since_wall: u64,
}

/// What the leader observes of a loan's jobs and machine; input of [`GpuLoan::advance_phase`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanObservation {
    /// The lender is neither over nor cancelled.
    pub lender_is_live: bool,
    /// The borrower is neither over nor cancelled.
    pub borrower_is_live: bool,
    /// The borrower has tasks that wait for a machine.
    pub borrower_is_waiting: bool,
    /// The machine may be given work, or is expected to report soon.
    pub machine_is_available: bool,
    /// A task of the lender is on the machine and not proved gone.
    pub lender_on_machine: bool,
    /// A task of the borrower is bound to the machine.
    pub borrower_on_machine: bool,
    /// The lender has tasks that wait for a machine.
    pub lender_is_waiting: bool,
}

impl GpuLoan {
    /// Phase of the loan.
    pub fn phase(&self) -> LoanPhase {
        self.phase
    }

    /// Changes the phase, if that follows from the observation and the wall clock, ms since the Unix epoch. Returns
    /// whether it changed. Neither depends on which controller leads. Apart from [`GpuLoans::on_committed`] no other
    /// function changes the phase. Every phase but [`LoanPhase::Serving`] has a timeout; that one ends with the borrower.
    pub fn advance_phase(&mut self, seen: LoanObservation, now_wall: u64) -> bool {
        use LoanPhase::*;
        let phase_ms = now_wall.saturating_sub(self.phase_since_wall);
        let to = match self.phase {
            Back | Dropped => return false,
            _ if !seen.machine_is_available
                && !seen.lender_on_machine
                && !seen.borrower_on_machine =>
            {
                Dropped
            }
            Asked
                if !seen.borrower_is_live
                    || !seen.borrower_is_waiting
                    || phase_ms > LOAN_START_TIMEOUT_MS =>
            {
                Dropped
            }
            Asked if !seen.lender_on_machine => Dropped,
            Stopping | Gone if seen.borrower_on_machine && !seen.lender_on_machine => Serving,
            Stopping | Gone if !seen.borrower_is_live || !seen.borrower_is_waiting => Ending,
            Stopping | Gone if phase_ms > LOAN_START_TIMEOUT_MS => Ending,
            Stopping if !seen.lender_on_machine => Gone,
            Serving if !seen.borrower_on_machine => Ending,
            Ending if seen.lender_on_machine => Back,
            Ending
                if !seen.lender_is_live
                    || !seen.lender_is_waiting && phase_ms > LOAN_RETURN_TIMEOUT_MS =>
            {
                Dropped
            }
            Ending if phase_ms > LOAN_RETURN_TIMEOUT_MS => Dropped,
            unchanged => unchanged,
        };
        // Nothing is reserved for a lender that is over. A borrower that is still on the machine goes on.
        let to = if to == Ending && !seen.lender_is_live { Dropped } else { to };
        let is_changed = to != self.phase;
        if is_changed {
            (self.phase, self.phase_since_wall) = (to, now_wall);
        }
        is_changed
    }
}

/// The stored record of one lender: its recent preemptions and its open loans.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// Wall-clock times of its preemptions, ms since the Unix epoch, the latest last.
    #[serde(rename = "x", default)]
    pub preempted_at: Vec<u64>,
    /// Its loans that are not over.
    #[serde(rename = "l", default)]
    pub loans: Vec<GpuLoan>,
}

impl Versioned for LenderRecord {
    const FORMAT_VERSION: u32 = 1;
}

/// What the leader is to do about a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanAction {
    /// Stop the lender's task on a machine. Returned throughout [`LoanPhase::Stopping`], since the request of an earlier
    /// leader may have been lost.
    StopLender {
        /// Id of the lender.
        lender: String,
        /// Id of the machine.
        machine: String,
    },
    /// Reserve a machine's free resources for a job: no other job of the same or a lower priority may take them.
    ReserveMachine {
        /// Id of the job.
        job: String,
        /// Id of the machine.
        machine: String,
    },
}

/// All loans, by lender.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GpuLoans {
    lenders: BTreeMap<String, LenderRecord>,
    /// Lenders whose record has changed since the last [`GpuLoans::take_changed`].
    changed: BTreeSet<String>,
}

impl GpuLoans {
    /// Restores the record of a lender.
    pub fn restore(&mut self, lender: &str, record: LenderRecord) {
        self.lenders.insert(lender.to_string(), record);
    }

    /// All loans with the ids of their lenders.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &GpuLoan)> {
        self.lenders
            .iter()
            .flat_map(|(lender, record)| record.loans.iter().map(move |loan| (&**lender, loan)))
    }

    /// Number of loans that are not over.
    pub fn open_loan_count(&self) -> usize {
        self.lenders.values().map(|record| record.loans.len()).sum()
    }

    /// The record of a lender, if it has one.
    pub fn lender_record(&self, lender: &str) -> Option<&LenderRecord> {
        self.lenders.get(lender)
    }

    /// Whether a job may be preempted for others now: not too often, and not while one of its loans is open.
    pub fn may_preempt(&self, lender: &str, now_wall: u64) -> bool {
        let Some(record) = self.lenders.get(lender) else {
            return self.lenders.len() < MAX_LENDERS;
        };
        let recent = record.preempted_at.iter().filter(|at| now_wall < **at + PREEMPTION_WINDOW_MS);
        let is_interval_over =
            record.preempted_at.last().is_none_or(|at| now_wall >= at + MIN_PREEMPTION_INTERVAL_MS);
        recent.count() < MAX_PREEMPTIONS_PER_WINDOW && is_interval_over && record.loans.is_empty()
    }

    /// Requests that a lender's tasks on these machines (id and number of GPUs) be preempted for the borrower. Returns
    /// false, and requests nothing, if the lender may not be preempted now or has too many machines.
    pub fn request_loan(
        &mut self,
        lender: &str,
        borrower: &str,
        machines: &[(String, f64)],
        now_wall: u64,
    ) -> bool {
        if machines.len() > MAX_LOANS_PER_LENDER || !self.may_preempt(lender, now_wall) {
            return false;
        }
        let record = self.lenders.entry(lender.to_string()).or_default();
        record.preempted_at.retain(|at| now_wall < *at + PREEMPTION_WINDOW_MS);
        record.preempted_at.push(now_wall);
        let new_loan = |(machine, gpus): &(String, f64)| GpuLoan {
            borrower: borrower.to_string(),
            machine: machine.clone(),
            gpus: *gpus,
            phase: LoanPhase::Asked,
            phase_since_wall: now_wall,
        };
        record.loans = machines.iter().map(new_loan).collect();
        self.changed.insert(lender.to_string());
        true
    }

    /// A lender's current record has been committed: its requested loans advance to [`LoanPhase::Stopping`]. Returns
    /// whether there were any.
    pub fn on_committed(&mut self, lender: &str, now_wall: u64) -> bool {
        let mut is_changed = false;
        let loans = self.lenders.get_mut(lender).into_iter().flat_map(|record| &mut record.loans);
        for loan in loans.filter(|loan| loan.phase == LoanPhase::Asked) {
            (loan.phase, loan.phase_since_wall, is_changed) = (LoanPhase::Stopping, now_wall, true);
        }
        if is_changed {
            self.changed.insert(lender.to_string());
        }
        is_changed
    }

    /// Lenders with loans in [`LoanPhase::Asked`].
    pub fn lenders_with_requests(&self) -> Vec<String> {
        let has_requests =
            |record: &LenderRecord| record.loans.iter().any(|loan| loan.phase == LoanPhase::Asked);
        let with_requests = self.lenders.iter().filter(|(_, record)| has_requests(record));
        with_requests.map(|(lender, _)| lender.clone()).collect()
    }

    /// Advances every loan by what `observe` returns for it and its lender's id. Returns the actions that follow. Loans
    /// that are over are removed. A lender's record is kept for its preemptions until the latest is older than
    /// [`PREEMPTION_WINDOW_MS`].
    pub fn advance_loans(
        &mut self,
        now_wall: u64,
        observe: impl Fn(&str, &GpuLoan) -> LoanObservation,
    ) -> Vec<LoanAction> {
        let mut actions = Vec::new();
        let mut removed_lenders = Vec::new();
        for (lender, record) in &mut self.lenders {
            let mut lender_is_live = true;
            for loan in &mut record.loans {
                let seen = observe(lender, loan);
                lender_is_live = seen.lender_is_live;
                if loan.advance_phase(seen, now_wall) {
                    self.changed.insert(lender.clone());
                }
                let machine = loan.machine.clone();
                match loan.phase {
                    LoanPhase::Stopping => {
                        actions.push(LoanAction::StopLender {
                            lender: lender.clone(),
                            machine: machine.clone(),
                        });
                        actions.push(LoanAction::ReserveMachine {
                            job: loan.borrower.clone(),
                            machine,
                        });
                    }
                    LoanPhase::Asked | LoanPhase::Gone => actions
                        .push(LoanAction::ReserveMachine { job: loan.borrower.clone(), machine }),
                    LoanPhase::Ending => {
                        actions.push(LoanAction::ReserveMachine { job: lender.clone(), machine })
                    }
                    _ => {}
                }
            }
            record.loans.retain(|loan| !loan.phase.is_final());
            let no_recent_preemption =
                record.preempted_at.last().is_none_or(|at| now_wall >= at + PREEMPTION_WINDOW_MS);
            if record.loans.is_empty() && (no_recent_preemption || !lender_is_live) {
                removed_lenders.push(lender.clone());
            }
        }
        for lender in removed_lenders {
            self.lenders.remove(&lender);
            self.changed.insert(lender);
        }
        actions
    }

    /// Removes the record of a lender that is over, with its loans.
    pub fn remove_lender(&mut self, lender: &str) {
        if self.lenders.remove(lender).is_some() {
            self.changed.insert(lender.to_string());
        }
    }

    /// Lenders whose record has changed since the last call, each with its record to write; none: the record is to be
    /// deleted.
    pub fn take_changed(&mut self) -> Vec<(String, Option<LenderRecord>)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|lender| (lender.clone(), self.lenders.get(&lender).cloned()))
            .collect()
    }
}
