//! Rates that belong to all controllers together: requests and changes a second of the state service, calls
//! of the cloud. Each has a base, and lends what it does not use.
//!
//! A loan is a lease without a shared clock: the borrower counts its time from when it *asked*, the lender from
//! when it *heard* that, which is later; so the lender never uses again what the borrower may still use, however
//! late messages come, and what a lost message lent is back after the loan's time. Nothing is recalled:
//! loans are short.

use crate::Time;
use crate::constants::*;
use std::collections::BTreeMap;

/// One controller's part of a rate.
#[derive(Debug, Clone)]
pub struct Rate {
    base: f64,
    lent: BTreeMap<String, Loan>,
    borrowed: BTreeMap<String, Loan>,
    asked_at: BTreeMap<String, Time>,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    rate: f64,
    until: Time,
}

/// What is asked of another controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// More that is wanted, a second.
    pub more: f64,
    /// When it was asked, by the borrower's clock: to be given back with the answer.
    pub at: Time,
}

/// What is lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// How much, a second.
    pub rate: f64,
    /// The time in the question.
    pub at: Time,
}

impl Rate {
    /// A part of a whole that is for so many controllers.
    pub fn new(whole: f64, controllers: usize) -> Rate {
        Rate {
            base: whole / controllers.max(1) as f64,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked_at: BTreeMap::new(),
        }
    }

    /// What may be used a second now.
    pub fn own(&mut self, now: Time) -> f64 {
        self.lent.retain(|_, loan| now < loan.until);
        self.borrowed.retain(|_, loan| now < loan.until);
        let sum = |loans: &BTreeMap<String, Loan>| loans.values().map(|l| l.rate).sum::<f64>();
        (self.base - sum(&self.lent) + sum(&self.borrowed)).max(0.0)
    }

    /// Whom to ask, if more is used than a large part of what there is: each other controller, now and then.
    pub fn ask(&mut self, to: &str, used: f64, wants: f64, now: Time) -> Option<Ask> {
        let own = self.own(now);
        let more = (wants.max(used) * LOAN_SPARE - own).min(self.base * LOAN_MOST);
        let due = self.asked_at.get(to).is_none_or(|at| now >= at + LOAN_AGAIN_MS);
        // Small loans are not worth their messages.
        if !due || more < self.base * LOAN_LEAST {
            return None;
        }
        self.asked_at.insert(to.to_string(), now);
        Some(Ask { more, at: now })
    }

    /// Lends what is not used and not lent already, and never more than a part of the base, so that what comes
    /// here at once finds something. A question asked again while its loan lasts takes that loan's place only
    /// when it is larger: the borrower may still be using it.
    pub fn lend(&mut self, to: &str, ask: Ask, used: f64, now: Time) -> Grant {
        let own = self.own(now);
        let held = self.lent.get(to).map_or(0.0, |l| l.rate);
        let most = self.base * LOAN_MOST - self.lent.values().map(|l| l.rate).sum::<f64>();
        // What was borrowed is not lent on: its time may be over before the loan's.
        let spare = (own.min(self.base) - used * LOAN_SPARE).min(most).max(0.0);
        let rate = (held + spare).min(ask.more).max(0.0);
        if rate < self.base * LOAN_LEAST {
            return Grant { rate: 0.0, at: ask.at };
        }
        // Clocks differ by a little: the lender waits longer.
        let until = now + LOAN_MS + LOAN_MS / LOAN_DRIFT_PART;
        self.lent.insert(to.to_string(), Loan { rate: rate.max(held), until });
        Grant { rate, at: ask.at }
    }

    /// A grant has come. One that is too old is worth nothing; the lender will have it back.
    pub fn granted(&mut self, from: &str, grant: Grant, now: Time) {
        let until = grant.at + LOAN_MS;
        let known = self.borrowed.get(from).map_or(0, |l| l.until);
        if grant.rate > 0.0 && now < until && until > known {
            self.borrowed.insert(from.to_string(), Loan { rate: grant.rate, until });
        }
    }
}
