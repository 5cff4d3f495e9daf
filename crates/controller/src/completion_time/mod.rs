//! Completion-time estimation: run-time histograms, and the arithmetic of probability mass functions of the PAM thesis.

mod run_times;

pub use run_times::{JobRunTimes, RunTimeHistory};

use crate::constants::PMF_BINS;
use swiftsail_dag::DurationDistribution;

/// A probability mass function (PMF) over time: `mass[k]` is the probability of `origin + k * step` ms. The last bin also
/// holds all probability beyond it.
#[derive(Debug, Clone, PartialEq)]
pub struct Pmf {
    /// Time of the first bin, ms.
    pub origin: f64,
    /// Width of a bin, ms.
    pub step: f64,
    /// Probability of each bin; the sum is 1.
    pub mass: Vec<f32>,
}

impl Pmf {
    /// All mass at one time.
    pub fn at(time: f64) -> Pmf {
        Pmf { origin: time, step: 1.0, mass: vec![1.0] }
    }

    /// Mass spread evenly from `low` to `high`.
    pub fn uniform(low: f64, high: f64) -> Pmf {
        if high <= low {
            return Pmf::at(low);
        }
        let step = (high - low) / PMF_BINS as f64;
        Pmf { origin: low + step / 2.0, step, mass: vec![1.0 / PMF_BINS as f32; PMF_BINS] }
    }

    /// PMF of weighted times, as pairs of time in ms and weight. Without any weight, all mass is at 0. If all times lie
    /// within 1 ms, all mass is at the first.
    pub fn from_points(points: &[(f64, f64)]) -> Pmf {
        Pmf::from_weights(points, 1.0)
    }

    /// PMF of weighted values. If all values lie within `min_span`, all mass is at the lowest.
    fn from_weights(points: &[(f64, f64)], min_span: f64) -> Pmf {
        let total: f64 = points.iter().map(|p| p.1).sum();
        if total <= 0.0 {
            return Pmf::at(0.0);
        }
        let weighted = points.iter().filter(|p| p.1 > 0.0);
        let (low, high) =
            weighted.clone().fold((f64::MAX, f64::MIN), |(l, h), p| (l.min(p.0), h.max(p.0)));
        if high - low <= min_span {
            return Pmf::at(low);
        }
        let step = (high - low) / (PMF_BINS - 1) as f64;
        let mut mass = vec![0.0; PMF_BINS];
        for &(time, weight) in weighted {
            let bin = (((time - low) / step).round() as usize).min(PMF_BINS - 1);
            mass[bin] += (weight / total) as f32;
        }
        Pmf { origin: low, step, mass }
    }

    /// Times with their probabilities, without empty bins.
    fn points(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        let occupied = self.mass.iter().enumerate().filter(|(_, m)| **m > 0.0);
        occupied.map(|(k, m)| (self.origin + k as f64 * self.step, f64::from(*m)))
    }

    /// The PMF of the time multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Pmf {
        Pmf { origin: self.origin * factor, step: self.step * factor, mass: self.mass.clone() }
    }

    /// The PMF of the time plus `by_ms`.
    pub fn shifted(mut self, by_ms: f64) -> Pmf {
        self.origin += by_ms;
        self
    }

    /// The PMF of the sum of two independent times (PAM thesis, equation 3.1).
    pub fn convolve(&self, other: &Pmf) -> Pmf {
        if self.mass.len() == 1 {
            return other.clone().shifted(self.origin);
        }
        if other.mass.len() == 1 {
            return self.clone().shifted(other.origin);
        }
        let low = self.origin + other.origin;
        let span =
            (self.mass.len() - 1) as f64 * self.step + (other.mass.len() - 1) as f64 * other.step;
        let step = span / (PMF_BINS - 1) as f64;
        let mut mass = vec![0.0; PMF_BINS];
        for (i, a) in self.mass.iter().enumerate().filter(|(_, a)| **a > 0.0) {
            let base = i as f64 * self.step;
            for (j, b) in other.mass.iter().enumerate() {
                // Rounded by adding a half and truncating, which is cheaper than a call of `round`; never negative.
                let bin = ((base + j as f64 * other.step) / step + 0.5) as usize;
                mass[bin.min(PMF_BINS - 1)] += a * b;
            }
        }
        Pmf { origin: low, step, mass }
    }

    /// Moves all mass beyond `deadline` to it: a task that misses its deadline is dropped then, so the next task of the run
    /// queue starts at the deadline at the latest (PAM thesis, equations 3.2 to 3.4).
    pub fn clamp_to_deadline(self, deadline: f64) -> Pmf {
        let last = self.origin + (self.mass.len() - 1) as f64 * self.step;
        if last <= deadline {
            return self;
        }
        let points: Vec<(f64, f64)> = self.points().map(|(t, m)| (t.min(deadline), m)).collect();
        Pmf::from_points(&points)
    }

    /// The PMF of the remaining time, given that `elapsed` ms have passed: times up to `elapsed` are dropped. If these are
    /// all, the remaining time is estimated as the width of one bin.
    pub fn remaining(&self, elapsed: f64) -> Pmf {
        let points: Vec<(f64, f64)> =
            self.points().filter(|(t, _)| *t > elapsed).map(|(t, m)| (t - elapsed, m)).collect();
        if points.is_empty() { Pmf::at(self.step.max(1.0)) } else { Pmf::from_points(&points) }
    }

    /// Probability of a time before `deadline`, ms (PAM thesis, equation 3.5).
    pub fn probability_before(&self, deadline: f64) -> f64 {
        let before: f64 = self.points().filter(|(t, _)| *t < deadline).map(|(_, m)| m).sum();
        before.min(1.0)
    }

    /// The earliest time, ms, up to which the cumulative probability is at least `probability`.
    pub fn quantile(&self, probability: f64) -> f64 {
        let mut sum = 0.0;
        let mut last = self.origin;
        for (time, mass) in self.points() {
            (sum, last) = (sum + mass, time);
            if sum + 1e-6 >= probability {
                break;
            }
        }
        last
    }

    /// The PMF of the maximum of `count` independent times.
    pub fn maximum_of(&self, count: u32) -> Pmf {
        let (mut sum, mut below) = (0.0_f64, 0.0_f64);
        let maximum_mass = |m: &f32| {
            sum = (sum + f64::from(*m)).min(1.0);
            let cumulative = sum.powi(count.clamp(1, i32::MAX as u32) as i32);
            (cumulative - std::mem::replace(&mut below, cumulative)) as f32
        };
        let mut mass: Vec<f32> = self.mass.iter().map(maximum_mass).collect();
        // The last bin gets what rounding leaves over.
        if let Some(last) = mass.last_mut() {
            *last += (1.0 - below) as f32;
        }
        Pmf { mass, ..*self }
    }

    /// The expected time, ms.
    pub fn mean(&self) -> f64 {
        self.points().map(|(t, m)| t * m).sum()
    }
}

impl DurationDistribution for Pmf {
    fn followed_by(&self, next: &Pmf) -> Pmf {
        self.convolve(next)
    }
    fn quantile(&self, probability: f64) -> f64 {
        Pmf::quantile(self, probability)
    }
}
