//! Rate limits that controllers share by loans, with drifting clocks and delayed or lost messages.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftsail_quota::rate_loans::{RateLoanGrant, RateLoanRequest, RateShare};

/// Controllers share a rate limit while their demand rises and falls, and messages are delayed or lost. Together they never
/// exceed the limit, and a controller that is the only one with demand gets most of it.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn rate_loans_never_exceed_the_limit() {
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let number = [3, 5, 8][seed as usize % 3];
        let limit = 60.0;
        // Each controller has a clock of its own, with a drift of up to 0.05%.
        let clock = |n: usize, now: u64| 1_000_000 * n as u64 + now + now * (n as u64 % 2) / 2_000;
        let mut rates: Vec<RateShare> =
            (0..number).map(|_| RateShare::new(limit, number)).collect();
        let mut messages: Vec<(u64, usize, usize, Result<RateLoanRequest, RateLoanGrant>)> =
            Vec::new();
        let (mut max_total, mut max_alone): (f64, f64) = (0.0, 0.0);
        for now in (0..60_000u64).step_by(100) {
            let demand = |n: usize| match now / 20_000 {
                0 => 40.0,
                1 => {
                    if n == 0 {
                        60.0
                    } else {
                        0.5
                    }
                }
                _ => {
                    if n.is_multiple_of(2) {
                        60.0
                    } else {
                        1.0
                    }
                }
            };
            for (n, rate) in rates.iter_mut().enumerate() {
                let at = clock(n, now);
                let used = rate.available_rate(at).min(demand(n));
                for to in (0..number).filter(|to| *to != n) {
                    if let Some(request) = rate.request_loan(&to.to_string(), used, demand(n), at) {
                        messages.push((now, n, to, Ok(request)));
                    }
                }
            }
            let (due, later) = messages.into_iter().partition::<Vec<_>, _>(|m| m.0 <= now);
            messages = later;
            for (_, from, to, message) in due {
                let at = clock(to, now);
                let used = rates[to].available_rate(at).min(demand(to));
                let delay_ms =
                    if rng.random_bool(0.1) { rng.random_range(1_000..30_000) } else { 100 };
                match message {
                    Ok(request) => {
                        let grant = rates[to].grant_loan(&from.to_string(), request, used, at);
                        if rng.random_bool(0.9) {
                            messages.push((now + delay_ms, to, from, Err(grant)));
                        }
                    }
                    Err(grant) => rates[to].on_grant(&from.to_string(), grant, at),
                }
            }
            let available: Vec<f64> =
                (0..number).map(|n| rates[n].available_rate(clock(n, now))).collect();
            max_total = max_total.max(available.iter().sum());
            if (30_000..40_000).contains(&now) {
                max_alone = max_alone.max(available[0]);
            }
        }
        assert!(max_total <= limit + 1e-6, "seed {seed}: {max_total} of {limit}");
        assert!(
            max_alone >= 0.6 * limit,
            "seed {seed}: the only controller with demand has {max_alone} of {limit}"
        );
    }
}
