//! Observed run times by job and machine type, and the error of run-time estimates by job class.

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
    /// Used before any task has finished, and as part of the estimate afterwards.
    prior: Pmf,
    histograms_by_type: HashMap<String, Histogram<u16>>,
    cached_pmfs: RefCell<HashMap<String, Arc<Pmf>>>,
}

impl JobRunTimes {
    /// A history without observations, so that run times follow the prior.
    pub fn new(prior: Pmf) -> JobRunTimes {
        JobRunTimes { prior, histograms_by_type: HashMap::new(), cached_pmfs: RefCell::default() }
    }

    /// Records the run time of a task that has finished.
    pub fn record_run(&mut self, machine_type: &str, run_ms: u64) {
        if !self.histograms_by_type.contains_key(machine_type) {
            // One significant digit suffices, since the bins of a PMF are coarser.
            let Ok(histogram) = Histogram::new_with_bounds(1, MAX_RUN_TIME_UNITS, 1) else {
                return;
            };
            self.histograms_by_type.insert(machine_type.to_string(), histogram);
        }
        if let Some(histogram) = self.histograms_by_type.get_mut(machine_type) {
            histogram.saturating_record((run_ms / RUN_TIME_UNIT_MS).clamp(1, MAX_RUN_TIME_UNITS));
        }
        self.cached_pmfs.borrow_mut().clear();
    }

    /// PMF of the run time of a task on a machine type, from the prior and the observations. Cached until the next
    /// observation.
    pub fn run_time(&self, machine_type: &str) -> Arc<Pmf> {
        if let Some(cached) = self.cached_pmfs.borrow().get(machine_type) {
            return cached.clone();
        }
        let pmf = Arc::new(self.compute(machine_type));
        self.cached_pmfs.borrow_mut().insert(machine_type.to_string(), pmf.clone());
        pmf
    }

    fn compute(&self, machine_type: &str) -> Pmf {
        let observed = self.histograms_by_type.get(machine_type).filter(|h| !h.is_empty());
        // Machine types differ little in speed, so without observations of this type those of another are used.
        let Some(observed) =
            observed.or_else(|| self.histograms_by_type.values().max_by_key(|h| h.len()))
        else {
            return self.prior.clone();
        };
        let mut points: Vec<(f64, f64)> =
            self.prior.points().map(|(t, m)| (t, m * PRIOR_WEIGHT)).collect();
        points.extend(observed.iter_recorded().map(|v| {
            ((v.value_iterated_to() * RUN_TIME_UNIT_MS) as f64, v.count_at_value() as f64)
        }));
        Pmf::from_points(&points)
    }
}

/// Ratios of run time to estimate of the tasks of a job class.
#[derive(Debug)]
struct EstimateRatios {
    histogram: Histogram<u32>,
    /// PMF of the histogram and the prior. Updated when the number of samples has grown by an eighth.
    pmf: Pmf,
    /// Samples in the histogram when `pmf` was computed.
    pmf_sample_count: u64,
}

/// Run times of all jobs, and the estimate ratios of each job class.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    /// Run times of each job, and the number of its finished tasks.
    by_job: RefCell<HashMap<JobId, (JobRunTimes, u32)>>,
    by_class: HashMap<String, EstimateRatios>,
}

impl RunTimeHistory {
    /// PMF of the run time of a job's tasks on a machine type. The job keeps the prior that its class had at the first
    /// call for the job.
    pub fn run_time(&self, id: &JobId, spec: &JobSpec, machine_type: &str) -> Arc<Pmf> {
        self.with_job(id, spec, |run_times, _| run_times.run_time(machine_type))
    }

    fn with_job<T>(
        &self,
        id: &JobId,
        spec: &JobSpec,
        f: impl FnOnce(&mut JobRunTimes, &mut u32) -> T,
    ) -> T {
        let mut by_job = self.by_job.borrow_mut();
        let (run_times, finished_tasks) = match by_job.get_mut(id) {
            Some(known) => known,
            None => {
                let prior = self.prior(&spec.class, spec.runtime_estimate_s);
                by_job.entry(id.clone()).or_insert((JobRunTimes::new(prior), 0))
            }
        };
        f(run_times, finished_tasks)
    }

    /// PMF of the run time of a job of which only the estimate is known: uniform from half to three times the estimate, or
    /// by the ratios of its class once there are enough.
    pub fn prior(&self, class: &str, estimate_s: f64) -> Pmf {
        let estimate = estimate_s * MS_PER_S;
        match self.by_class.get(class).filter(|r| r.histogram.len() >= MIN_CLASS_RATIOS) {
            Some(ratios) => ratios.pmf.scaled(estimate),
            None => Pmf::uniform(estimate * PRIOR_MIN_FACTOR, estimate * PRIOR_MAX_FACTOR),
        }
    }

    /// Records the run time of a job's task that has finished, ms.
    pub fn record_finish(&mut self, id: &JobId, spec: &JobSpec, machine_type: &str, ms: u64) {
        // The tasks of a job share the error of its estimate, so only a few of them count for its class.
        let counts_for_class = self.with_job(id, spec, |run_times, finished_tasks| {
            run_times.record_run(machine_type, ms);
            *finished_tasks += 1;
            spec.runtime_estimate_s > 0.0 && *finished_tasks <= MAX_RATIOS_PER_JOB
        });
        if !counts_for_class {
            return;
        }
        let (class, estimate_s) = (spec.class.as_str(), spec.runtime_estimate_s);
        if !self.by_class.contains_key(class) && self.by_class.len() < MAX_CLASS_HISTOGRAMS {
            let Ok(histogram) = Histogram::new_with_bounds(1, MAX_RATIO_STEPS, 2) else { return };
            let ratios = EstimateRatios {
                histogram,
                pmf: Pmf::uniform(PRIOR_MIN_FACTOR, PRIOR_MAX_FACTOR),
                pmf_sample_count: 0,
            };
            self.by_class.insert(class.to_string(), ratios);
        }
        if let Some(ratios) = self.by_class.get_mut(class) {
            let ratio = ms as f64 / (estimate_s * MS_PER_S) * RATIO_STEPS_PER_UNIT;
            ratios.histogram.saturating_record((ratio as u64).clamp(1, MAX_RATIO_STEPS));
            if ratios.histogram.len() > ratios.pmf_sample_count + ratios.pmf_sample_count / 8 {
                ratios.pmf_sample_count = ratios.histogram.len();
                let prior = Pmf::uniform(PRIOR_MIN_FACTOR, PRIOR_MAX_FACTOR);
                let mut points: Vec<(f64, f64)> =
                    prior.points().map(|(t, m)| (t, m * RATIO_PRIOR_WEIGHT)).collect();
                points.extend(ratios.histogram.iter_recorded().map(|v| {
                    (v.value_iterated_to() as f64 / RATIO_STEPS_PER_UNIT, v.count_at_value() as f64)
                }));
                ratios.pmf = Pmf::from_weights(&points, 0.0);
            }
        }
    }

    /// Discards the run times of a job that has ended.
    pub fn remove_job(&mut self, id: &JobId) {
        self.by_job.get_mut().remove(id);
    }
}
