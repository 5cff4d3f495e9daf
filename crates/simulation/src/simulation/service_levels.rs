//! The service levels checked at the end of a run: at least half of the jobs of each class, of each team, and of the
//! largest jobs of each class are served, and the largest jobs start within four minutes.

use super::{SimulatedJob, Simulation};
use std::collections::BTreeMap;

/// Longest time from the submission of one of a class's largest jobs to its first start, ms (service level objective).
const MAX_START_DELAY_MS: u64 = 240_000;
/// The largest jobs of a class are this fraction of its jobs, rounded up: one in ten.
const LARGEST_JOB_FRACTION: usize = 10;

fn group_name(kind: &str, name: &str) -> String {
    format!("{kind} {name}")
}

impl Simulation {
    /// Describes each service level that is not met now. Jobs that their users cancel do not count.
    pub fn unmet_service_levels(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, Vec<&SimulatedJob>> = BTreeMap::new();
        let counted = self.jobs.iter().filter(|j| j.accepted && j.cancel_at.is_none());
        for job in counted {
            groups.entry(group_name("class", job.text_field("jobclass"))).or_default().push(job);
            groups.entry(group_name("team", job.text_field("crew"))).or_default().push(job);
        }
        let mut unmet = Vec::new();
        let classes: Vec<String> =
            groups.keys().filter(|k| k.starts_with("class ")).cloned().collect();
        for class in classes {
            let mut jobs = groups[&class].clone();
            let total_cpus = |j: &SimulatedJob| f64::from(j.task_count()) * j.number_field("cpus");
            jobs.sort_by(|a, b| total_cpus(b).total_cmp(&total_cpus(a)));
            jobs.truncate(jobs.len().div_ceil(LARGEST_JOB_FRACTION));
            for job in &jobs {
                let first = (0..job.task_count())
                    .filter_map(|t| self.cluster.first_started_at.get(&format!("{}/{t}", job.id)))
                    .min();
                let started_at = first.copied().unwrap_or(self.now);
                if started_at > job.submit_at + MAX_START_DELAY_MS {
                    let delay_s = (started_at - job.submit_at) / 1_000;
                    unmet.push(format!("{}, one of the largest, begins after {delay_s} s", job.id));
                }
            }
            groups.insert(group_name("the largest of", &class), jobs);
        }
        let served = |j: &&&SimulatedJob| match j.text_field("shape") {
            "service" => j.last_status.as_deref() == Some("running"),
            _ => j.last_status.as_deref() == Some("done"),
        };
        for (group, jobs) in &groups {
            let served_count = jobs.iter().filter(served).count();
            if served_count * 2 < jobs.len() {
                unmet.push(format!("{group}: {served_count} of {} served", jobs.len()));
            }
        }
        unmet
    }
}
