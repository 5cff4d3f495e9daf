//! The line of waiting work: who comes before whom, from records alone.

use crate::tier_table::JobPriorityAttribute;
use std::collections::HashMap;

/// What the line knows of a job, all of it from its record.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingJob<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its priority.
    pub priority: JobPriorityAttribute,
    /// Its tier.
    pub tier: u8,
    /// Time of day of its acceptance, ms, as its record has it.
    pub accepted_at_wall: u64,
    /// Its team.
    pub team: &'a str,
    /// CPUs and accelerators that all of its tasks take.
    pub total_resources: (f64, f64),
}

/// A job's place: the less the sooner. Priority, tier, whether it is beyond its team's guarantee, time of acceptance,
/// id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition<'a> {
    priority: std::cmp::Reverse<JobPriorityAttribute>,
    tier: u8,
    beyond_guarantee: bool,
    accepted_at_wall: u64,
    id: &'a str,
}

impl<'a> QueuePosition<'a> {
    /// Whether it is beyond its team's guarantee.
    pub fn is_beyond_guarantee(&self) -> bool {
        self.beyond_guarantee
    }

    /// Its id.
    pub fn job_id(&self) -> &'a str {
        self.id
    }
}

/// The line of jobs that are not over. `guarantees`: CPUs and accelerators of each team; 0: none. A job is within
/// its team's guarantee if it fits there together with the team's earlier jobs (protocol), counted in this order.
pub fn queue_order<'a>(
    entries: impl Iterator<Item = WaitingJob<'a>>,
    guarantees: &HashMap<&str, (f64, f64)>,
) -> Vec<QueuePosition<'a>> {
    let mut all: Vec<WaitingJob> = entries.collect();
    let by_age =
        |e: &WaitingJob<'a>| (std::cmp::Reverse(e.priority), e.tier, e.accepted_at_wall, e.id);
    all.sort_by(|a, b| by_age(a).cmp(&by_age(b)));
    let mut used: HashMap<&str, (f64, f64)> = HashMap::new();
    let mut places: Vec<QueuePosition> = all
        .into_iter()
        .map(|e| {
            let used = used.entry(e.team).or_default();
            (used.0, used.1) = (used.0 + e.total_resources.0, used.1 + e.total_resources.1);
            let (cpus, gpus) = guarantees.get(e.team).copied().unwrap_or_default();
            let fits = |used: f64, most: f64| used <= most + 1e-6;
            let within = fits(used.0, cpus) && (fits(used.1, gpus) || e.total_resources.1 <= 0.0);
            QueuePosition {
                priority: std::cmp::Reverse(e.priority),
                tier: e.tier,
                beyond_guarantee: !within,
                accepted_at_wall: e.accepted_at_wall,
                id: e.id,
            }
        })
        .collect();
    places.sort();
    places
}
