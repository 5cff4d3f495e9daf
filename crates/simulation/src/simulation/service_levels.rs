//! Who is served by the end of a day: half of each class, of each team and of each class's largest jobs at the least,
//! and the largest begin within four minutes.

use super::{SimulatedJob, Simulation};
use std::collections::BTreeMap;

/// Longest time until one of a class's largest jobs begins, ms (the operators' page).
const MAX_START_DELAY_MS: u64 = 240_000;
/// One in so many jobs of a class counts as one of its largest.
const LARGEST_JOB_FRACTION: usize = 10;

fn group_name(kind: &str, of: &str) -> String {
    format!("{kind} {of}")
}

impl Simulation {
    /// What of it does not hold now. Jobs that were called off count for nobody.
    pub fn unmet_service_levels(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, Vec<&SimulatedJob>> = BTreeMap::new();
        let counted = self.jobs.iter().filter(|j| j.accepted && j.cancel_at.is_none());
        for job in counted {
            groups.entry(group_name("class", job.text_field("jobclass"))).or_default().push(job);
            groups.entry(group_name("team", job.text_field("crew"))).or_default().push(job);
        }
        let mut found = Vec::new();
        let classes: Vec<String> =
            groups.keys().filter(|k| k.starts_with("class ")).cloned().collect();
        for class in classes {
            let mut jobs = groups[&class].clone();
            let size = |j: &SimulatedJob| f64::from(j.task_count()) * j.number_field("cpus");
            jobs.sort_by(|a, b| size(b).total_cmp(&size(a)));
            jobs.truncate(jobs.len().div_ceil(LARGEST_JOB_FRACTION));
            for job in &jobs {
                let first = (0..job.task_count())
                    .filter_map(|t| self.cluster.first_started_at.get(&format!("{}/{t}", job.id)))
                    .min();
                let began = first.copied().unwrap_or(self.now);
                if began > job.submit_at + MAX_START_DELAY_MS {
                    let s = (began - job.submit_at) / 1_000;
                    found.push(format!("{}, one of the largest, begins after {s} s", job.id));
                }
            }
            groups.insert(group_name("the largest of", &class), jobs);
        }
        let served = |j: &&&SimulatedJob| match j.text_field("shape") {
            "service" => j.last_status.as_deref() == Some("running"),
            _ => j.last_status.as_deref() == Some("done"),
        };
        for (group, jobs) in &groups {
            let good = jobs.iter().filter(served).count();
            if good * 2 < jobs.len() {
                found.push(format!("{group}: {good} of {} served", jobs.len()));
            }
        }
        found
    }
}
