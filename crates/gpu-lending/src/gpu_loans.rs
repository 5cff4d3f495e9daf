//! Loans by the job that lends.

use crate::constants::{
    LOAN_RETURN_TIMEOUT_MS, LOAN_START_TIMEOUT_MS, MAX_LENDERS, MAX_LOANS_PER_LENDER,
    MAX_PREEMPTIONS_PER_WINDOW, MIN_PREEMPTION_INTERVAL_MS, PREEMPTION_WINDOW_MS,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;

/// Where a loan stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoanPhase {
    /// It is written down first: nobody is stopped for what the next leader would not know.
    #[serde(rename = "a")]
    Asked,
    /// The lender's task is being stopped; nothing proves it gone yet.
    #[serde(rename = "s")]
    Stopping,
    /// It is proved gone: the room is the borrower's and nobody else's.
    #[serde(rename = "g")]
    Gone,
    /// The borrower has it.
    #[serde(rename = "v")]
    Serving,
    /// The borrower is gone: the lender goes on first.
    #[serde(rename = "e")]
    Ending,
    /// The lender is back.
    #[serde(rename = "b")]
    Back,
    /// It came to nothing: the borrower or the lender is over, the machine is gone, or time has run out.
    #[serde(rename = "d")]
    Dropped,
}

impl LoanPhase {
    /// Whether nothing is left to be done.
    pub fn is_final(self) -> bool {
        matches!(self, LoanPhase::Back | LoanPhase::Dropped)
    }
}

/// One machine lent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GpuLoan {
    /// The job that it is for.
    #[serde(rename = "to")]
    pub borrower: String,
    /// The machine.
    #[serde(rename = "on")]
    pub machine: String,
    /// Accelerators.
    #[serde(rename = "n")]
    pub gpus: f64,
    #[serde(rename = "stage")]
    phase: LoanPhase,
    /// Time of day since which it stands there, ms.
    #[serde(rename = "at")]
    pub phase_since_wall: u64,
}

/// What is seen of a loan now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanObservation {
    /// The lender is not over or cancelled.
    pub lender_is_live: bool,
    /// The borrower is not over or cancelled.
    pub borrower_is_live: bool,
    /// Tasks of the borrower wait for a place.
    pub borrower_is_waiting: bool,
    /// The machine is known and may be given work.
    pub machine_is_available: bool,
    /// A task of the lender is on the machine and not proved gone.
    pub lender_on_machine: bool,
    /// A task of the borrower is bound to the machine.
    pub borrower_on_machine: bool,
    /// Tasks of the lender wait for a place.
    pub lender_is_waiting: bool,
}

impl GpuLoan {
    /// Where it stands.
    pub fn phase(&self) -> LoanPhase {
        self.phase
    }

    /// The one function that changes where a loan stands, but for [`GpuLoans::on_committed`]: by what is seen and the time of
    /// day, neither of which belongs to one leader. True if it stands elsewhere now. No stage lasts for ever but serving, which ends with
    /// the borrower.
    pub fn advance_phase(&mut self, seen: LoanObservation, now_wall: u64) -> bool {
        use LoanPhase::*;
        let for_ms = now_wall.saturating_sub(self.phase_since_wall);
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
                    || for_ms > LOAN_START_TIMEOUT_MS =>
            {
                Dropped
            }
            Asked if !seen.lender_on_machine => Dropped,
            Stopping | Gone if seen.borrower_on_machine && !seen.lender_on_machine => Serving,
            Stopping | Gone if !seen.borrower_is_live || !seen.borrower_is_waiting => Ending,
            Stopping | Gone if for_ms > LOAN_START_TIMEOUT_MS => Ending,
            Stopping if !seen.lender_on_machine => Gone,
            Serving if !seen.borrower_on_machine => Ending,
            Ending if seen.lender_on_machine => Back,
            Ending
                if !seen.lender_is_live
                    || !seen.lender_is_waiting && for_ms > LOAN_RETURN_TIMEOUT_MS =>
            {
                Dropped
            }
            Ending if for_ms > LOAN_RETURN_TIMEOUT_MS => Dropped,
            same => same,
        };
        // A lender that is over is owed nothing; what its room is used for goes on.
        let to = if to == Ending && !seen.lender_is_live { Dropped } else { to };
        let moved = to != self.phase;
        if moved {
            (self.phase, self.phase_since_wall) = (to, now_wall);
        }
        moved
    }
}

/// What one job has lent, as its record holds it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LenderRecord {
    /// Times of day of its stops, ms, the latest last.
    #[serde(rename = "x", default)]
    pub preempted_at: Vec<u64>,
    /// Its loans that are not over.
    #[serde(rename = "l", default)]
    pub loans: Vec<GpuLoan>,
}

impl Versioned for LenderRecord {
    const FORMAT_VERSION: u32 = 1;
}

/// What is to be done about a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanAction {
    /// Stop the lender: again, if an earlier leader's word was lost.
    StopLender {
        /// The lender.
        lender: String,
        /// The machine on which its task is.
        machine: String,
    },
    /// The room on a machine is this job's, and nobody of its priority or below takes it.
    ReserveMachine {
        /// The job.
        job: String,
        /// The machine.
        machine: String,
    },
}

/// All loans, by lender.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GpuLoans {
    lenders: BTreeMap<String, LenderRecord>,
    /// Lenders whose record differs from what was last taken.
    changed: BTreeSet<String>,
}

impl GpuLoans {
    /// Takes over a lender's record.
    pub fn restore(&mut self, lender: &str, lent: LenderRecord) {
        self.lenders.insert(lender.to_string(), lent);
    }

    /// All of them: lender, loan.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &GpuLoan)> {
        self.lenders
            .iter()
            .flat_map(|(lender, l)| l.loans.iter().map(move |loan| (&**lender, loan)))
    }

    /// Loans that are not over.
    pub fn open_loan_count(&self) -> usize {
        self.lenders.values().map(|l| l.loans.len()).sum()
    }

    /// What a job has lent.
    pub fn lender_record(&self, lender: &str) -> Option<&LenderRecord> {
        self.lenders.get(lender)
    }

    /// Whether a job may be stopped for others now: not too often, and not while it is owed what it has lent.
    pub fn may_preempt(&self, lender: &str, now_wall: u64) -> bool {
        let Some(lent) = self.lenders.get(lender) else { return self.lenders.len() < MAX_LENDERS };
        let lately = lent.preempted_at.iter().filter(|at| now_wall < **at + PREEMPTION_WINDOW_MS);
        let last =
            lent.preempted_at.last().is_none_or(|at| now_wall >= at + MIN_PREEMPTION_INTERVAL_MS);
        lately.count() < MAX_PREEMPTIONS_PER_WINDOW && last && lent.loans.is_empty()
    }

    /// A job's tasks on these machines are stopped for another. False: it may not be.
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
        let lent = self.lenders.entry(lender.to_string()).or_default();
        lent.preempted_at.retain(|at| now_wall < *at + PREEMPTION_WINDOW_MS);
        lent.preempted_at.push(now_wall);
        let loan = |(machine, gpus): &(String, f64)| GpuLoan {
            borrower: borrower.to_string(),
            machine: machine.clone(),
            gpus: *gpus,
            phase: LoanPhase::Asked,
            phase_since_wall: now_wall,
        };
        lent.loans = machines.iter().map(loan).collect();
        self.changed.insert(lender.to_string());
        true
    }

    /// A lender's record is committed as it stands: what was asked of it may begin. True if anything does.
    pub fn on_committed(&mut self, lender: &str, now_wall: u64) -> bool {
        let mut begun = false;
        let loans = self.lenders.get_mut(lender).into_iter().flat_map(|l| &mut l.loans);
        for loan in loans.filter(|l| l.phase == LoanPhase::Asked) {
            (loan.phase, loan.phase_since_wall, begun) = (LoanPhase::Stopping, now_wall, true);
        }
        if begun {
            self.changed.insert(lender.to_string());
        }
        begun
    }

    /// Lenders of which something is asked and not begun.
    pub fn lenders_with_requests(&self) -> Vec<String> {
        let asks = |l: &LenderRecord| l.loans.iter().any(|loan| loan.phase == LoanPhase::Asked);
        self.lenders.iter().filter(|(_, l)| asks(l)).map(|(lender, _)| lender.clone()).collect()
    }

    /// Lets every loan go on by what is seen of it (lender, loan), and says what is to be done. Loans that are over
    /// leave; stops are remembered while the lender lives.
    pub fn advance_loans(
        &mut self,
        now_wall: u64,
        seen: impl Fn(&str, &GpuLoan) -> LoanObservation,
    ) -> Vec<LoanAction> {
        let mut todo = Vec::new();
        let mut gone = Vec::new();
        for (lender, lent) in &mut self.lenders {
            let mut lives = true;
            for loan in &mut lent.loans {
                let now = seen(lender, loan);
                lives = now.lender_is_live;
                if loan.advance_phase(now, now_wall) {
                    self.changed.insert(lender.clone());
                }
                let machine = loan.machine.clone();
                match loan.phase {
                    LoanPhase::Stopping => {
                        todo.push(LoanAction::StopLender {
                            lender: lender.clone(),
                            machine: machine.clone(),
                        });
                        todo.push(LoanAction::ReserveMachine {
                            job: loan.borrower.clone(),
                            machine,
                        });
                    }
                    LoanPhase::Asked | LoanPhase::Gone => todo
                        .push(LoanAction::ReserveMachine { job: loan.borrower.clone(), machine }),
                    LoanPhase::Ending => {
                        todo.push(LoanAction::ReserveMachine { job: lender.clone(), machine })
                    }
                    _ => {}
                }
            }
            lent.loans.retain(|l| !l.phase.is_final());
            let old =
                lent.preempted_at.last().is_none_or(|at| now_wall >= at + PREEMPTION_WINDOW_MS);
            if lent.loans.is_empty() && (old || !lives) {
                gone.push(lender.clone());
            }
        }
        for lender in gone {
            self.lenders.remove(&lender);
            self.changed.insert(lender);
        }
        todo
    }

    /// A job is over: nothing is owed to it, and its record may go.
    pub fn remove_lender(&mut self, lender: &str) {
        if self.lenders.remove(lender).is_some() {
            self.changed.insert(lender.to_string());
        }
    }

    /// Lenders whose records are to be written, and what they are now; none: nothing.
    pub fn take_changed(&mut self) -> Vec<(String, Option<LenderRecord>)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|lender| (lender.clone(), self.lenders.get(&lender).cloned()))
            .collect()
    }
}
