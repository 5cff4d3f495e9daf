//! Chances: run-time histograms, completion and pruning arithmetic of the thesis's PAM.

mod run_times;

pub use run_times::{JobRunTimes, RunTimeHistory};

use crate::constants::PMF_BINS;
use swiftsail_dag::DurationDistribution;

/// A probability mass function over time: mass `k` lies at `origin + k * step` ms. Its last bin
/// also holds all that lies beyond.
#[derive(Debug, Clone, PartialEq)]
pub struct Pmf {
    /// Time of the first bin, ms.
    pub origin: f64,
    /// Width of a bin, ms.
    pub step: f64,
    /// Mass of each bin; the sum is 1.
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

    /// From weighted times. Without any weight: all at 0. Times less than 1 ms apart are one.
    pub fn from_points(points: &[(f64, f64)]) -> Pmf {
        Pmf::from_weights(points, 1.0)
    }

    /// From weighted values; those within `least` are one.
    fn from_weights(points: &[(f64, f64)], least: f64) -> Pmf {
        let total: f64 = points.iter().map(|p| p.1).sum();
        if total <= 0.0 {
            return Pmf::at(0.0);
        }
        let held = points.iter().filter(|p| p.1 > 0.0);
        let (low, high) =
            held.clone().fold((f64::MAX, f64::MIN), |(l, h), p| (l.min(p.0), h.max(p.0)));
        if high - low <= least {
            return Pmf::at(low);
        }
        let step = (high - low) / (PMF_BINS - 1) as f64;
        let mut mass = vec![0.0; PMF_BINS];
        for &(time, weight) in held {
            let bin = (((time - low) / step).round() as usize).min(PMF_BINS - 1);
            mass[bin] += (weight / total) as f32;
        }
        Pmf { origin: low, step, mass }
    }

    fn points(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        let held = self.mass.iter().enumerate().filter(|(_, m)| **m > 0.0);
        held.map(|(k, m)| (self.origin + k as f64 * self.step, f64::from(*m)))
    }

    /// Each value `by` times as large.
    pub fn scaled(&self, by: f64) -> Pmf {
        Pmf { origin: self.origin * by, step: self.step * by, mass: self.mass.clone() }
    }

    /// The same, `by` ms later.
    pub fn shifted(mut self, by: f64) -> Pmf {
        self.origin += by;
        self
    }

    /// The sum of two independent times (thesis, equation 3.1).
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
                // Never below 0: adding a half and cutting rounds, without a call.
                let bin = ((base + j as f64 * other.step) / step + 0.5) as usize;
                mass[bin.min(PMF_BINS - 1)] += a * b;
            }
        }
        Pmf { origin: low, step, mass }
    }

    /// Moves mass past `deadline` onto it: a task that misses is dropped there, and what follows
    /// in its line starts then at the latest (thesis, equations 3.2 to 3.4).
    pub fn clamp_to_deadline(self, deadline: f64) -> Pmf {
        let last = self.origin + (self.mass.len() - 1) as f64 * self.step;
        if last <= deadline {
            return self;
        }
        let points: Vec<(f64, f64)> = self.points().map(|(t, m)| (t.min(deadline), m)).collect();
        Pmf::from_points(&points)
    }

    /// Of a time known to be above `elapsed`: what then remains (design: a running task's
    /// histogram drops times already elapsed). Past all of it, the longest time is the guess.
    pub fn remaining(&self, elapsed: f64) -> Pmf {
        let points: Vec<(f64, f64)> =
            self.points().filter(|(t, _)| *t > elapsed).map(|(t, m)| (t - elapsed, m)).collect();
        if points.is_empty() { Pmf::at(self.step.max(1.0)) } else { Pmf::from_points(&points) }
    }

    /// The chance to end before `deadline` (thesis, equation 3.5).
    pub fn probability_before(&self, deadline: f64) -> f64 {
        let before: f64 = self.points().filter(|(t, _)| *t < deadline).map(|(_, m)| m).sum();
        before.min(1.0)
    }

    /// The least time within which it ends with that chance at least.
    pub fn quantile(&self, chance: f64) -> f64 {
        let mut sum = 0.0;
        let mut last = self.origin;
        for (time, mass) in self.points() {
            (sum, last) = (sum + mass, time);
            if sum + 1e-6 >= chance {
                break;
            }
        }
        last
    }

    /// The longest of so many independent times.
    pub fn maximum_of(&self, count: u32) -> Pmf {
        let (mut sum, mut below) = (0.0_f64, 0.0_f64);
        let longest = |m: &f32| {
            sum = (sum + f64::from(*m)).min(1.0);
            let upto = sum.powi(count.clamp(1, i32::MAX as u32) as i32);
            (upto - std::mem::replace(&mut below, upto)) as f32
        };
        let mut mass: Vec<f32> = self.mass.iter().map(longest).collect();
        // What rounding leaves over lies with the last.
        if let Some(last) = mass.last_mut() {
            *last += (1.0 - below) as f32;
        }
        Pmf { mass, ..*self }
    }

    /// The expected time.
    pub fn mean(&self) -> f64 {
        self.points().map(|(t, m)| t * m).sum()
    }
}

impl DurationDistribution for Pmf {
    fn followed_by(&self, next: &Pmf) -> Pmf {
        self.convolve(next)
    }
    fn quantile(&self, chance: f64) -> f64 {
        Pmf::quantile(self, chance)
    }
}
