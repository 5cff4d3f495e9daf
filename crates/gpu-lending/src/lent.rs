//! Loans by the job that lends.

use crate::constants::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_replicated_records::Versioned;

/// Where a loan stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
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

impl Stage {
    /// Whether nothing is left to be done.
    pub fn over(self) -> bool {
        matches!(self, Stage::Back | Stage::Dropped)
    }
}

/// One machine lent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The job that it is for.
    #[serde(rename = "to")]
    pub borrower: String,
    /// The machine.
    #[serde(rename = "on")]
    pub machine: String,
    /// Accelerators.
    #[serde(rename = "n")]
    pub gpus: f64,
    stage: Stage,
    /// Time of day since which it stands there, ms.
    #[serde(rename = "at")]
    pub since_wall: u64,
}

/// What is seen of a loan now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The lender is not over or cancelled.
    pub lender_lives: bool,
    /// The borrower is not over or cancelled.
    pub borrower_lives: bool,
    /// Tasks of the borrower wait for a place.
    pub borrower_waits: bool,
    /// The machine is known and may be given work.
    pub machine_there: bool,
    /// A task of the lender is on the machine and not proved gone.
    pub lender_there: bool,
    /// A task of the borrower is bound to the machine.
    pub borrower_there: bool,
    /// Tasks of the lender wait for a place.
    pub lender_waits: bool,
}

impl Loan {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The one function that changes where a loan stands, but for [`Loans::confirm`]: by what is seen and the time of
    /// day, neither of which belongs to one leader. True if it stands elsewhere now. No stage lasts for ever but serving, which ends with
    /// the borrower.
    pub fn advance(&mut self, seen: Seen, now_wall: u64) -> bool {
        use Stage::*;
        let for_ms = now_wall.saturating_sub(self.since_wall);
        let to = match self.stage {
            Back | Dropped => return false,
            _ if !seen.machine_there && !seen.lender_there && !seen.borrower_there => Dropped,
            Asked if !seen.borrower_lives || !seen.borrower_waits || for_ms > TAKE_MS => Dropped,
            Asked if !seen.lender_there => Dropped,
            Stopping | Gone if seen.borrower_there && !seen.lender_there => Serving,
            Stopping | Gone if !seen.borrower_lives || !seen.borrower_waits => Ending,
            Stopping | Gone if for_ms > TAKE_MS => Ending,
            Stopping if !seen.lender_there => Gone,
            Serving if !seen.borrower_there => Ending,
            Ending if seen.lender_there => Back,
            Ending if !seen.lender_lives || !seen.lender_waits && for_ms > BACK_MS => Dropped,
            Ending if for_ms > BACK_MS => Dropped,
            same => same,
        };
        // A lender that is over is owed nothing; what its room is used for goes on.
        let to = if to == Ending && !seen.lender_lives { Dropped } else { to };
        let moved = to != self.stage;
        if moved {
            (self.stage, self.since_wall) = (to, now_wall);
        }
        moved
    }
}

/// What one job has lent, as its record holds it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Lent {
    /// Times of day of its stops, ms, the latest last.
    #[serde(rename = "x", default)]
    pub stops: Vec<u64>,
    /// Its loans that are not over.
    #[serde(rename = "l", default)]
    pub loans: Vec<Loan>,
}

impl Versioned for Lent {
    const FORM: u32 = 1;
}

/// What is to be done about a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Todo {
    /// Stop the lender: again, if an earlier leader's word was lost.
    Stop {
        /// The lender.
        lender: String,
        /// The machine on which its task is.
        machine: String,
    },
    /// The room on a machine is this job's, and nobody of its priority or below takes it.
    Keep {
        /// The job.
        job: String,
        /// The machine.
        machine: String,
    },
}

/// All loans, by lender.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Loans {
    lent: BTreeMap<String, Lent>,
    /// Lenders whose record differs from what was last taken.
    changed: BTreeSet<String>,
}

impl Loans {
    /// Takes over a lender's record.
    pub fn restore(&mut self, lender: &str, lent: Lent) {
        self.lent.insert(lender.to_string(), lent);
    }

    /// All of them: lender, loan.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Loan)> {
        self.lent.iter().flat_map(|(lender, l)| l.loans.iter().map(move |loan| (&**lender, loan)))
    }

    /// Loans that are not over.
    pub fn open(&self) -> usize {
        self.lent.values().map(|l| l.loans.len()).sum()
    }

    /// What a job has lent.
    pub fn of(&self, lender: &str) -> Option<&Lent> {
        self.lent.get(lender)
    }

    /// Whether a job may be stopped for others now: not too often, and not while it is owed what it has lent.
    pub fn may_stop(&self, lender: &str, now_wall: u64) -> bool {
        let Some(lent) = self.lent.get(lender) else { return self.lent.len() < LENDERS_MOST };
        let lately = lent.stops.iter().filter(|at| now_wall < **at + STOPS_WINDOW_MS);
        let last = lent.stops.last().is_none_or(|at| now_wall >= at + STOP_AGAIN_MS);
        lately.count() < STOPS_MOST && last && lent.loans.is_empty()
    }

    /// A job's tasks on these machines are stopped for another. False: it may not be.
    pub fn ask(
        &mut self,
        lender: &str,
        borrower: &str,
        machines: &[(String, f64)],
        now_wall: u64,
    ) -> bool {
        if machines.len() > LOANS_MOST || !self.may_stop(lender, now_wall) {
            return false;
        }
        let lent = self.lent.entry(lender.to_string()).or_default();
        lent.stops.retain(|at| now_wall < *at + STOPS_WINDOW_MS);
        lent.stops.push(now_wall);
        let loan = |(machine, gpus): &(String, f64)| Loan {
            borrower: borrower.to_string(),
            machine: machine.clone(),
            gpus: *gpus,
            stage: Stage::Asked,
            since_wall: now_wall,
        };
        lent.loans = machines.iter().map(loan).collect();
        self.changed.insert(lender.to_string());
        true
    }

    /// A lender's record is committed as it stands: what was asked of it may begin. True if anything does.
    pub fn confirm(&mut self, lender: &str, now_wall: u64) -> bool {
        let mut begun = false;
        let loans = self.lent.get_mut(lender).into_iter().flat_map(|l| &mut l.loans);
        for loan in loans.filter(|l| l.stage == Stage::Asked) {
            (loan.stage, loan.since_wall, begun) = (Stage::Stopping, now_wall, true);
        }
        if begun {
            self.changed.insert(lender.to_string());
        }
        begun
    }

    /// Lenders of which something is asked and not begun.
    pub fn asked(&self) -> Vec<String> {
        let asks = |l: &Lent| l.loans.iter().any(|loan| loan.stage == Stage::Asked);
        self.lent.iter().filter(|(_, l)| asks(l)).map(|(lender, _)| lender.clone()).collect()
    }

    /// Lets every loan go on by what is seen of it (lender, loan), and says what is to be done. Loans that are over
    /// leave; stops are remembered while the lender lives.
    pub fn step(&mut self, now_wall: u64, seen: impl Fn(&str, &Loan) -> Seen) -> Vec<Todo> {
        let mut todo = Vec::new();
        let mut gone = Vec::new();
        for (lender, lent) in &mut self.lent {
            let mut lives = true;
            for loan in &mut lent.loans {
                let now = seen(lender, loan);
                lives = now.lender_lives;
                if loan.advance(now, now_wall) {
                    self.changed.insert(lender.clone());
                }
                let machine = loan.machine.clone();
                match loan.stage {
                    Stage::Stopping => {
                        todo.push(Todo::Stop { lender: lender.clone(), machine: machine.clone() });
                        todo.push(Todo::Keep { job: loan.borrower.clone(), machine });
                    }
                    Stage::Asked | Stage::Gone => {
                        todo.push(Todo::Keep { job: loan.borrower.clone(), machine })
                    }
                    Stage::Ending => todo.push(Todo::Keep { job: lender.clone(), machine }),
                    _ => {}
                }
            }
            lent.loans.retain(|l| !l.stage.over());
            let old = lent.stops.last().is_none_or(|at| now_wall >= at + STOPS_WINDOW_MS);
            if lent.loans.is_empty() && (old || !lives) {
                gone.push(lender.clone());
            }
        }
        for lender in gone {
            self.lent.remove(&lender);
            self.changed.insert(lender);
        }
        todo
    }

    /// A job is over: nothing is owed to it, and its record may go.
    pub fn forget(&mut self, lender: &str) {
        if self.lent.remove(lender).is_some() {
            self.changed.insert(lender.to_string());
        }
    }

    /// Lenders whose records are to be written, and what they are now; none: nothing.
    pub fn take_changed(&mut self) -> Vec<(String, Option<Lent>)> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .into_iter()
            .map(|lender| (lender.clone(), self.lent.get(&lender).cloned()))
            .collect()
    }
}
