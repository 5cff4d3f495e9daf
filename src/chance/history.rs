//! Run times seen, per job and machine type.

use super::Pmf;
use crate::constants::*;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// Histograms of the run times of one job's tasks.
#[derive(Debug, Default)]
pub struct History {
    by_type: HashMap<String, Histogram<u16>>,
    cached: HashMap<String, Pmf>,
}

impl History {
    /// Notes a finish.
    pub fn record(&mut self, machine_type: &str, run_ms: u64) {
        if !self.by_type.contains_key(machine_type) {
            // One significant digit: the bins of the chance arithmetic are coarser still.
            let Ok(fresh) = Histogram::new_with_bounds(1, RUN_MOST, 1) else { return };
            self.by_type.insert(machine_type.to_string(), fresh);
        }
        if let Some(held) = self.by_type.get_mut(machine_type) {
            held.saturating_record((run_ms / RUN_UNIT_MS).clamp(1, RUN_MOST));
        }
        self.cached.clear();
    }

    /// The run time of a task on a machine type: evenly from half to three times the estimate,
    /// and what was seen.
    pub fn run_time(&mut self, machine_type: &str, estimate_s: f64) -> &Pmf {
        if !self.cached.contains_key(machine_type) {
            let fresh = self.compute(machine_type, estimate_s);
            self.cached.insert(machine_type.to_string(), fresh);
        }
        &self.cached[machine_type]
    }

    /// The run time last computed for a machine type, if any.
    pub fn known(&self, machine_type: &str) -> Option<&Pmf> {
        self.cached.get(machine_type)
    }

    /// The run time before anything is known but the estimate.
    pub fn prior(estimate_s: f64) -> Pmf {
        let estimate = estimate_s * MS_PER_S;
        Pmf::even(estimate * PRIOR_LOW, estimate * PRIOR_HIGH)
    }

    fn compute(&self, machine_type: &str, estimate_s: f64) -> Pmf {
        let prior = History::prior(estimate_s);
        let seen = self.by_type.get(machine_type).filter(|h| !h.is_empty());
        // Types differ little in speed: without a finish on this one, another's serve.
        let Some(seen) = seen.or_else(|| self.by_type.values().max_by_key(|h| h.len())) else {
            return prior;
        };
        let each = PRIOR_WEIGHT / prior.mass.len() as f64;
        let mut points: Vec<(f64, f64)> = prior.points().map(|(t, _)| (t, each)).collect();
        points
            .extend(seen.iter_recorded().map(|v| {
                ((v.value_iterated_to() * RUN_UNIT_MS) as f64, v.count_at_value() as f64)
            }));
        Pmf::from_points(&points)
    }
}
