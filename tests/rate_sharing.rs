//! Rates that controllers lend each other, with clocks of their own and messages that come late or never.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftsail_quota::rate_loans::{RateLoanGrant, RateLoanRequest, RateShare};

/// Controllers that share a rate, with needs that come all at once and go, and messages that come late or
/// never: together they never use more than there is, and one that is alone has most of it.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn a_rate_is_lent_and_never_used_twice() {
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let number = [3, 5, 8][seed as usize % 3];
        let whole = 60.0;
        // Clocks of their own, and a drift of up to 0.05%.
        let clock = |n: usize, now: u64| 1_000_000 * n as u64 + now + now * (n as u64 % 2) / 2_000;
        let mut rates: Vec<RateShare> =
            (0..number).map(|_| RateShare::new(whole, number)).collect();
        let mut mail: Vec<(u64, usize, usize, Result<RateLoanRequest, RateLoanGrant>)> = Vec::new();
        let (mut most, mut alone): (f64, f64) = (0.0, 0.0);
        for now in (0..60_000u64).step_by(100) {
            let wants = |n: usize| match now / 20_000 {
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
                let used = rate.available_rate(at).min(wants(n));
                for to in (0..number).filter(|to| *to != n) {
                    if let Some(ask) = rate.request_loan(&to.to_string(), used, wants(n), at) {
                        mail.push((now, n, to, Ok(ask)));
                    }
                }
            }
            let (due, later) = mail.into_iter().partition::<Vec<_>, _>(|m| m.0 <= now);
            mail = later;
            for (_, from, to, what) in due {
                let at = clock(to, now);
                let used = rates[to].available_rate(at).min(wants(to));
                let late = if rng.random_bool(0.1) { rng.random_range(1_000..30_000) } else { 100 };
                match what {
                    Ok(ask) => {
                        let grant = rates[to].grant_loan(&from.to_string(), ask, used, at);
                        if rng.random_bool(0.9) {
                            mail.push((now + late, to, from, Err(grant)));
                        }
                    }
                    Err(grant) => rates[to].on_grant(&from.to_string(), grant, at),
                }
            }
            let own: Vec<f64> =
                (0..number).map(|n| rates[n].available_rate(clock(n, now))).collect();
            most = most.max(own.iter().sum());
            if (30_000..40_000).contains(&now) {
                alone = alone.max(own[0]);
            }
        }
        assert!(most <= whole + 1e-6, "seed {seed}: {most} of {whole}");
        assert!(
            alone >= 0.6 * whole,
            "seed {seed}: the only one that wants has {alone} of {whole}"
        );
    }
}
