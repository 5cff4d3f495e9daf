//! Rates that belong to all controllers together: requests and writes per second of the state service, calls of the
//! cloud. Each controller has an equal base share, and lends what it does not use.
//!
//! A loan is a lease without a shared clock: the borrower counts its time from when it *sent* the request, the lender
//! from when it *received* it, which is later. So the lender never uses again what the borrower may still use, however
//! late messages arrive, and what was lent in a lost message is back after the loan's time. Loans are never revoked: they
//! are short.

use crate::Time;
use crate::constants::{
    MAX_LENT_SHARE, MIN_RATE_LOAN_SHARE, RATE_HEADROOM_FACTOR, RATE_LOAN_CLOCK_DRIFT_DIVISOR,
    RATE_LOAN_MS, RATE_LOAN_REQUEST_INTERVAL_MS,
};
use std::collections::BTreeMap;

/// One controller's share of a rate, with its loans to and from other controllers.
#[derive(Debug, Clone)]
pub struct RateShare {
    base_rate: f64,
    lent_rates: BTreeMap<String, RateLoan>,
    borrowed_rates: BTreeMap<String, RateLoan>,
    /// When each other controller was last asked.
    requested_at: BTreeMap<String, Time>,
}

#[derive(Debug, Clone, Copy)]
struct RateLoan {
    rate: f64,
    expires_at: Time,
}

/// A request to another controller for a part of its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanRequest {
    /// The rate that is wanted, per second.
    pub wanted_rate: f64,
    /// When it was sent, by the borrower's monotonic clock; the answer repeats it.
    pub requested_at: Time,
}

/// The answer to a [`RateLoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanGrant {
    /// The rate that is lent, per second; 0: nothing.
    pub rate: f64,
    /// [`RateLoanRequest::requested_at`] of the request.
    pub requested_at: Time,
}

impl RateShare {
    /// An equal share of a rate that so many controllers have together.
    pub fn new(total_rate: f64, controllers: usize) -> RateShare {
        RateShare {
            base_rate: total_rate / controllers.max(1) as f64,
            lent_rates: BTreeMap::new(),
            borrowed_rates: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// The rate that this controller may use now, per second.
    pub fn available_rate(&mut self, now: Time) -> f64 {
        self.lent_rates.retain(|_, loan| now < loan.expires_at);
        self.borrowed_rates.retain(|_, loan| now < loan.expires_at);
        (self.base_rate - total_rate(&self.lent_rates) + total_rate(&self.borrowed_rates)).max(0.0)
    }

    /// A request to send to another controller, if clearly more is used or wanted than there is. None: it is not worth
    /// a message, or that controller was asked less than [`RATE_LOAN_REQUEST_INTERVAL_MS`] ago.
    pub fn request_loan(
        &mut self,
        to: &str,
        used: f64,
        wanted: f64,
        now: Time,
    ) -> Option<RateLoanRequest> {
        let available = self.available_rate(now);
        let wanted_rate = (wanted.max(used) * RATE_HEADROOM_FACTOR - available)
            .min(self.base_rate * MAX_LENT_SHARE);
        let may_ask =
            self.requested_at.get(to).is_none_or(|at| now >= at + RATE_LOAN_REQUEST_INTERVAL_MS);
        if !may_ask || wanted_rate < self.min_loan_rate() {
            return None;
        }
        self.requested_at.insert(to.to_string(), now);
        Some(RateLoanRequest { wanted_rate, requested_at: now })
    }

    /// Answers a request: lends what is neither used nor lent, and never more than [`MAX_LENT_SHARE`] of the base, so
    /// that requests arriving here suddenly find something. A repeated request while its loan lasts never lowers that
    /// loan: the borrower may still be using it.
    pub fn grant_loan(
        &mut self,
        to: &str,
        request: RateLoanRequest,
        used: f64,
        now: Time,
    ) -> RateLoanGrant {
        let available = self.available_rate(now);
        let lent_to_borrower = self.lent_rates.get(to).map_or(0.0, |loan| loan.rate);
        let lendable = self.base_rate * MAX_LENT_SHARE - total_rate(&self.lent_rates);
        // What was borrowed is not lent on: its time may be over before the loan's.
        let spare =
            (available.min(self.base_rate) - used * RATE_HEADROOM_FACTOR).min(lendable).max(0.0);
        let rate = (lent_to_borrower + spare).min(request.wanted_rate).max(0.0);
        if rate < self.min_loan_rate() {
            return RateLoanGrant { rate: 0.0, requested_at: request.requested_at };
        }
        // Clocks drift: the lender waits a little longer than the borrower.
        let expires_at = now + RATE_LOAN_MS + RATE_LOAN_MS / RATE_LOAN_CLOCK_DRIFT_DIVISOR;
        let loan = RateLoan { rate: rate.max(lent_to_borrower), expires_at };
        self.lent_rates.insert(to.to_string(), loan);
        RateLoanGrant { rate, requested_at: request.requested_at }
    }

    /// The rate below which a loan is not worth its messages.
    fn min_loan_rate(&self) -> f64 {
        self.base_rate * MIN_RATE_LOAN_SHARE
    }

    /// Takes a grant. One whose time is over, or that ends no later than the loan already held, is ignored; the lender
    /// has it back by itself.
    pub fn on_grant(&mut self, from: &str, grant: RateLoanGrant, now: Time) {
        let expires_at = grant.requested_at + RATE_LOAN_MS;
        let known_expiry = self.borrowed_rates.get(from).map_or(0, |loan| loan.expires_at);
        if grant.rate > 0.0 && now < expires_at && expires_at > known_expiry {
            self.borrowed_rates.insert(from.to_string(), RateLoan { rate: grant.rate, expires_at });
        }
    }
}

fn total_rate(loans: &BTreeMap<String, RateLoan>) -> f64 {
    loans.values().map(|loan| loan.rate).sum()
}
