//! Rate limits shared by all controllers: requests and writes per second to the state service, and calls to the cloud
//! API. Each controller has an equal base share and lends the rate that it does not use.
//!
//! A loan is a lease that needs no synchronised clocks: the borrower measures its duration from *sending* the request,
//! the lender from *receiving* it, which is later. So the lender never reclaims rate that the borrower may still use,
//! however late messages arrive, and if the grant is lost the lender has the rate back when the loan expires. Loans are
//! short and never revoked.

use crate::Time;
use crate::constants::{
    MAX_LENT_SHARE, MIN_RATE_LOAN_SHARE, RATE_HEADROOM_FACTOR, RATE_LOAN_CLOCK_DRIFT_DIVISOR,
    RATE_LOAN_DURATION_MS, RATE_LOAN_REQUEST_INTERVAL_MS,
};
use std::collections::BTreeMap;

/// One controller's share of a rate, with its loans to and from other controllers.
#[derive(Debug, Clone)]
pub struct RateShare {
    base_rate: f64,
    lent_rates: BTreeMap<String, RateLoan>,
    borrowed_rates: BTreeMap<String, RateLoan>,
    /// Time of the last loan request to each other controller.
    requested_at: BTreeMap<String, Time>,
}

#[derive(Debug, Clone, Copy)]
struct RateLoan {
    rate: f64,
    expires_at: Time,
}

/// A request for a loan from another controller's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanRequest {
    /// The wanted rate, per second.
    pub wanted_rate: f64,
    /// Send time by the borrower's monotonic clock, repeated in the grant.
    pub requested_at: Time,
}

/// The answer to a [`RateLoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLoanGrant {
    /// The lent rate, per second; 0 if nothing is lent.
    pub rate: f64,
    /// [`RateLoanRequest::requested_at`] of the request.
    pub requested_at: Time,
}

impl RateShare {
    /// One controller's equal share of `total_rate`.
    pub fn new(total_rate: f64, controllers: usize) -> RateShare {
        RateShare {
            base_rate: total_rate / controllers.max(1) as f64,
            lent_rates: BTreeMap::new(),
            borrowed_rates: BTreeMap::new(),
            requested_at: BTreeMap::new(),
        }
    }

    /// The rate that this controller may use now, per second: its base rate without loans given, plus loans received.
    pub fn available_rate(&mut self, now: Time) -> f64 {
        self.lent_rates.retain(|_, loan| now < loan.expires_at);
        self.borrowed_rates.retain(|_, loan| now < loan.expires_at);
        (self.base_rate - total_rate(&self.lent_rates) + total_rate(&self.borrowed_rates)).max(0.0)
    }

    /// A loan request to send to another controller, if clearly more rate is used or wanted than is available. Returns
    /// `None` if the missing rate is not worth a message, or if that controller received a request less than
    /// [`RATE_LOAN_REQUEST_INTERVAL_MS`] ago.
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
        let may_request =
            self.requested_at.get(to).is_none_or(|at| now >= at + RATE_LOAN_REQUEST_INTERVAL_MS);
        if !may_request || wanted_rate < self.min_loan_rate() {
            return None;
        }
        self.requested_at.insert(to.to_string(), now);
        Some(RateLoanRequest { wanted_rate, requested_at: now })
    }

    /// Answers a loan request: lends rate that is neither used nor lent, in total at most [`MAX_LENT_SHARE`] of the
    /// base rate, so that some is left for a sudden load on this controller. A repeated request never lowers a running
    /// loan, since the borrower may still be using it.
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
        // Borrowed rate is not lent on: that loan may expire before the new one.
        let spare =
            (available.min(self.base_rate) - used * RATE_HEADROOM_FACTOR).min(lendable).max(0.0);
        let rate = (lent_to_borrower + spare).min(request.wanted_rate).max(0.0);
        if rate < self.min_loan_rate() {
            return RateLoanGrant { rate: 0.0, requested_at: request.requested_at };
        }
        // The lender's loan lasts longer than the borrower's, to allow for clock drift.
        let expires_at =
            now + RATE_LOAN_DURATION_MS + RATE_LOAN_DURATION_MS / RATE_LOAN_CLOCK_DRIFT_DIVISOR;
        let loan = RateLoan { rate: rate.max(lent_to_borrower), expires_at };
        self.lent_rates.insert(to.to_string(), loan);
        RateLoanGrant { rate, requested_at: request.requested_at }
    }

    /// The rate below which a loan is not worth its messages.
    fn min_loan_rate(&self) -> f64 {
        self.base_rate * MIN_RATE_LOAN_SHARE
    }

    /// Handles a grant. It is ignored if it has expired, or expires no later than the current loan from the same
    /// controller; on the lender's side it expires by itself.
    pub fn on_grant(&mut self, from: &str, grant: RateLoanGrant, now: Time) {
        let expires_at = grant.requested_at + RATE_LOAN_DURATION_MS;
        let known_expiry = self.borrowed_rates.get(from).map_or(0, |loan| loan.expires_at);
        if grant.rate > 0.0 && now < expires_at && expires_at > known_expiry {
            self.borrowed_rates.insert(from.to_string(), RateLoan { rate: grant.rate, expires_at });
        }
    }
}

fn total_rate(loans: &BTreeMap<String, RateLoan>) -> f64 {
    loans.values().map(|loan| loan.rate).sum()
}
