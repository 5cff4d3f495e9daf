//! Run times seen, per job and machine type; and how far classes of jobs miss their estimates.

use super::Pmf;
use crate::constants::{
    MAX_CLASS_HISTOGRAMS, MAX_RATIO_STEPS, MAX_RATIOS_PER_JOB, MAX_RUN_TIME_UNITS,
    MIN_CLASS_RATIOS, MS_PER_S, PRIOR_MAX_FACTOR, PRIOR_MIN_FACTOR, PRIOR_WEIGHT,
    RATIO_PRIOR_WEIGHT, RATIO_STEPS_PER_UNIT, RUN_TIME_UNIT_MS,
};
use crate::job::{JobId, JobSpec};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

/// Histograms of the run times of one job's tasks.
#[derive(Debug)]
pub struct JobRunTimes {
    prior: Pmf,
    histograms_by_type: HashMap<String, Histogram<u16>>,
    cached_pmfs: RefCell<HashMap<String, Arc<Pmf>>>,
}

impl JobRunTimes {
    /// Nothing seen yet: the run time lies where the prior says.
    pub fn new(prior: Pmf) -> JobRunTimes {
        JobRunTimes { prior, histograms_by_type: HashMap::new(), cached_pmfs: RefCell::default() }
    }

    /// Notes a finish.
    pub fn record_run(&mut self, machine_type: &str, run_ms: u64) {
        if !self.histograms_by_type.contains_key(machine_type) {
            // One significant digit: the bins of the chance arithmetic are coarser still.
            let Ok(fresh) = Histogram::new_with_bounds(1, MAX_RUN_TIME_UNITS, 1) else { return };
            self.histograms_by_type.insert(machine_type.to_string(), fresh);
        }
        if let Some(held) = self.histograms_by_type.get_mut(machine_type) {
            held.saturating_record((run_ms / RUN_TIME_UNIT_MS).clamp(1, MAX_RUN_TIME_UNITS));
        }
        self.cached_pmfs.borrow_mut().clear();
    }

    /// The run time of a task on a machine type: the prior, and what was seen. Computed once until
    /// another finish is noted.
    pub fn run_time(&self, machine_type: &str) -> Arc<Pmf> {
        if let Some(known) = self.cached_pmfs.borrow().get(machine_type) {
            return known.clone();
        }
        let fresh = Arc::new(self.compute(machine_type));
        self.cached_pmfs.borrow_mut().insert(machine_type.to_string(), fresh.clone());
        fresh
    }

    fn compute(&self, machine_type: &str) -> Pmf {
        let seen = self.histograms_by_type.get(machine_type).filter(|h| !h.is_empty());
        // Types differ little in speed: without a finish on this one, another's serve.
        let Some(seen) = seen.or_else(|| self.histograms_by_type.values().max_by_key(|h| h.len()))
        else {
            return self.prior.clone();
        };
        let mut points: Vec<(f64, f64)> =
            self.prior.points().map(|(t, m)| (t, m * PRIOR_WEIGHT)).collect();
        points.extend(seen.iter_recorded().map(|v| {
            ((v.value_iterated_to() * RUN_TIME_UNIT_MS) as f64, v.count_at_value() as f64)
        }));
        Pmf::from_points(&points)
    }
}

/// How many times the estimate the tasks of a class take.
#[derive(Debug)]
struct EstimateRatios {
    histogram: Histogram<u32>,
    pmf: Pmf,
    pmf_sample_count: u64,
}

/// Run times of all jobs, and what each class has taught.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    by_job: RefCell<HashMap<JobId, (JobRunTimes, u32)>>,
    by_class: HashMap<String, EstimateRatios>,
}

impl RunTimeHistory {
    /// The run time of a job's tasks on a machine type. What its class has taught by the time that it
    /// is first asked for stays the job's prior.
    pub fn run_time(&self, id: &JobId, spec: &JobSpec, machine_type: &str) -> Arc<Pmf> {
        self.with_job(id, spec, |history, _| history.run_time(machine_type))
    }

    fn with_job<T>(
        &self,
        id: &JobId,
        spec: &JobSpec,
        f: impl FnOnce(&mut JobRunTimes, &mut u32) -> T,
    ) -> T {
        let mut all = self.by_job.borrow_mut();
        let (history, noted) = match all.get_mut(id) {
            Some(known) => known,
            None => {
                let prior = self.prior(&spec.class, spec.runtime_estimate_s);
                all.entry(id.clone()).or_insert((JobRunTimes::new(prior), 0))
            }
        };
        f(history, noted)
    }

    /// The run time before anything is known of the job but its estimate: evenly from half to
    /// three times the estimate, or as other jobs of its class have turned out.
    pub fn prior(&self, class: &str, estimate_s: f64) -> Pmf {
        let estimate = estimate_s * MS_PER_S;
        match self.by_class.get(class).filter(|r| r.histogram.len() >= MIN_CLASS_RATIOS) {
            Some(ratios) => ratios.pmf.scaled(estimate),
            None => Pmf::uniform(estimate * PRIOR_MIN_FACTOR, estimate * PRIOR_MAX_FACTOR),
        }
    }

    /// Notes a finish.
    pub fn record_finish(&mut self, id: &JobId, spec: &JobSpec, machine_type: &str, ms: u64) {
        // A job misses its estimate with all its tasks: no job teaches its class more than a few.
        let teaches = self.with_job(id, spec, |history, noted| {
            history.record_run(machine_type, ms);
            *noted += 1;
            spec.runtime_estimate_s > 0.0 && *noted <= MAX_RATIOS_PER_JOB
        });
        if !teaches {
            return;
        }
        let (class, estimate_s) = (spec.class.as_str(), spec.runtime_estimate_s);
        if !self.by_class.contains_key(class) && self.by_class.len() < MAX_CLASS_HISTOGRAMS {
            let Ok(seen) = Histogram::new_with_bounds(1, MAX_RATIO_STEPS, 2) else { return };
            let fresh = EstimateRatios {
                histogram: seen,
                pmf: Pmf::uniform(PRIOR_MIN_FACTOR, PRIOR_MAX_FACTOR),
                pmf_sample_count: 0,
            };
            self.by_class.insert(class.to_string(), fresh);
        }
        if let Some(ratios) = self.by_class.get_mut(class) {
            let ratio = ms as f64 / (estimate_s * MS_PER_S) * RATIO_STEPS_PER_UNIT;
            ratios.histogram.saturating_record((ratio as u64).clamp(1, MAX_RATIO_STEPS));
            if ratios.histogram.len() > ratios.pmf_sample_count + ratios.pmf_sample_count / 8 {
                ratios.pmf_sample_count = ratios.histogram.len();
                let even = Pmf::uniform(PRIOR_MIN_FACTOR, PRIOR_MAX_FACTOR);
                let mut points: Vec<(f64, f64)> =
                    even.points().map(|(t, m)| (t, m * RATIO_PRIOR_WEIGHT)).collect();
                points.extend(ratios.histogram.iter_recorded().map(|v| {
                    (v.value_iterated_to() as f64 / RATIO_STEPS_PER_UNIT, v.count_at_value() as f64)
                }));
                ratios.pmf = Pmf::from_weights(&points, 0.0);
            }
        }
    }

    /// A job is over.
    pub fn remove_job(&mut self, id: &JobId) {
        self.by_job.get_mut().remove(id);
    }
}
