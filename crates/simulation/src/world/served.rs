//! Who is served by the end of a day: half of each class, of each team and of each class's largest jobs at the least,
//! and the largest begin within four minutes.

use super::{UserJob, World};
use std::collections::BTreeMap;

/// Longest time until one of a class's largest jobs begins, ms (the operators' page).
const BEGIN_MOST_MS: u64 = 240_000;
/// One in so many jobs of a class counts as one of its largest.
const LARGEST_OF: usize = 10;

fn name(kind: &str, of: &str) -> String {
    format!("{kind} {of}")
}

impl World {
    /// What of it does not hold now. Jobs that were called off count for nobody.
    pub fn served(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, Vec<&UserJob>> = BTreeMap::new();
        let counted = self.jobs.iter().filter(|j| j.accepted && j.cancel_at.is_none());
        for job in counted {
            groups.entry(name("class", job.text("jobclass"))).or_default().push(job);
            groups.entry(name("team", job.text("crew"))).or_default().push(job);
        }
        let mut found = Vec::new();
        let classes: Vec<String> =
            groups.keys().filter(|k| k.starts_with("class ")).cloned().collect();
        for class in classes {
            let mut jobs = groups[&class].clone();
            let size = |j: &UserJob| f64::from(j.tasks()) * j.number("cpus");
            jobs.sort_by(|a, b| size(b).total_cmp(&size(a)));
            jobs.truncate(jobs.len().div_ceil(LARGEST_OF));
            for job in &jobs {
                let first = (0..job.tasks())
                    .filter_map(|t| self.plant.first_run.get(&format!("{}/{t}", job.id)))
                    .min();
                let began = first.copied().unwrap_or(self.now);
                if began > job.at + BEGIN_MOST_MS {
                    let s = (began - job.at) / 1_000;
                    found.push(format!("{}, one of the largest, begins after {s} s", job.id));
                }
            }
            groups.insert(name("the largest of", &class), jobs);
        }
        let served = |j: &&&UserJob| match j.text("shape") {
            "service" => j.last.as_deref() == Some("running"),
            _ => j.last.as_deref() == Some("done"),
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
