//! Rates that belong to all controllers together: requests and changes a second of the state service, calls
//! of the cloud. Each has a base, and lends what it does not use.
//!
//! A loan is a lease without a shared clock: the borrower counts its time from when it *asked*, the lender from
//! when it *heard* that, which is later; so the lender never uses again what the borrower may still use, however
//! late messages come, and what a lost message lent is back after the loan's time. Nothing is recalled:
//! loans are short.

use crate::Time;
use crate::constants::{
    MAX_LENT_SHARE, MIN_RATE_LOAN_SHARE, RATE_HEADROOM_FACTOR, RATE_LOAN_CLOCK_DRIFT_DIVISOR,
    RATE_LOAN_MS, RATE_LOAN_REQUEST_INTERVAL_MS,
};
use std::collections::BTreeMap;

/// One controller's part of a rate.
#[derive(Debug, Clone)]
pub struct RateShare {
    base_rate: f64,
    lent_rates: BTreeMap<String, RateLoan>,
    borrowed_rates: BTreeMap<String, RateLoan>,
    requested_at: BTreeMap<String, Time>,
}

#[derive(Debug, Clone, Copy)]
struct RateLoan {
    rate: f64,
    expires_at: Time,
}

/// What is asked of another controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanRequest {
    /// More that is wanted, a second.
    pub wanted_rate: f64,
    /// When it was asked, by the borrower's clock: to be given back with the answer.
    pub requested_at: Time,
}

/// What is lent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanGrant {
    /// How much, a second.
    pub rate: f64,
    /// The time in the question.
    pub requested_at: Time,
}

impl RateShare {
    /// A part of a whole that is for so many controllers.
    pub fn new(whole: f64, controllers: usize) -> RateShare {
        RateShare {
            base_rate: whole / controllers.max(1) as f64,
            lent_rates: BTreeMap::new(),
            borrowed_rates: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// What may be used a second now.
    pub fn available_rate(&mut self, now: Time) -> f64 {
        self.lent_rates.retain(|_, loan| now < loan.expires_at);
        self.borrowed_rates.retain(|_, loan| now < loan.expires_at);
        let sum = |loans: &BTreeMap<String, RateLoan>| loans.values().map(|l| l.rate).sum::<f64>();
        (self.base_rate - sum(&self.lent_rates) + sum(&self.borrowed_rates)).max(0.0)
    }

    /// Whom to ask, if more is used than a large part of what there is: each other controller, now and then.
    pub fn request_loan(
        &mut self,
        to: &str,
        used: f64,
        wants: f64,
        now: Time,
    ) -> Option<RateLoanRequest> {
        let own = self.available_rate(now);
        let more =
            (wants.max(used) * RATE_HEADROOM_FACTOR - own).min(self.base_rate * MAX_LENT_SHARE);
        let due =
            self.requested_at.get(to).is_none_or(|at| now >= at + RATE_LOAN_REQUEST_INTERVAL_MS);
        // Small loans are not worth their messages.
        if !due || more < self.base_rate * MIN_RATE_LOAN_SHARE {
            return None;
        }
        self.requested_at.insert(to.to_string(), now);
        Some(RateLoanRequest { wanted_rate: more, requested_at: now })
    }

    /// Lends what is not used and not lent already, and never more than a part of the base, so that what comes
    /// here at once finds something. A question asked again while its loan lasts takes that loan's place only
    /// when it is larger: the borrower may still be using it.
    pub fn grant_loan(
        &mut self,
        to: &str,
        ask: RateLoanRequest,
        used: f64,
        now: Time,
    ) -> RateLoanGrant {
        let own = self.available_rate(now);
        let held = self.lent_rates.get(to).map_or(0.0, |l| l.rate);
        let most =
            self.base_rate * MAX_LENT_SHARE - self.lent_rates.values().map(|l| l.rate).sum::<f64>();
        // What was borrowed is not lent on: its time may be over before the loan's.
        let spare = (own.min(self.base_rate) - used * RATE_HEADROOM_FACTOR).min(most).max(0.0);
        let rate = (held + spare).min(ask.wanted_rate).max(0.0);
        if rate < self.base_rate * MIN_RATE_LOAN_SHARE {
            return RateLoanGrant { rate: 0.0, requested_at: ask.requested_at };
        }
        // Clocks differ by a little: the lender waits longer.
        let until = now + RATE_LOAN_MS + RATE_LOAN_MS / RATE_LOAN_CLOCK_DRIFT_DIVISOR;
        self.lent_rates
            .insert(to.to_string(), RateLoan { rate: rate.max(held), expires_at: until });
        RateLoanGrant { rate, requested_at: ask.requested_at }
    }

    /// A grant has come. One that is too old is worth nothing; the lender will have it back.
    pub fn on_grant(&mut self, from: &str, grant: RateLoanGrant, now: Time) {
        let until = grant.requested_at + RATE_LOAN_MS;
        let known = self.borrowed_rates.get(from).map_or(0, |l| l.expires_at);
        if grant.rate > 0.0 && now < until && until > known {
            self.borrowed_rates
                .insert(from.to_string(), RateLoan { rate: grant.rate, expires_at: until });
        }
    }
}
