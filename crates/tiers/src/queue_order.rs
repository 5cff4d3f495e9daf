//! Queue order of jobs, computed from their records alone.

use crate::tier_table::JobPriorityAttribute;
use std::collections::HashMap;

/// Tolerance when a sum of resources is compared with a guarantee, in CPUs or GPUs: the sums are of floating-point
/// numbers.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// What the queue order depends on for one job, all of it from the job's record.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingJob<'a> {
    /// The job's id.
    pub id: &'a str,
    /// The job's priority.
    pub priority: JobPriorityAttribute,
    /// Index of its tier.
    pub tier: u8,
    /// Wall-clock time of its acceptance, ms since the Unix epoch, as in its record.
    pub accepted_at_wall: u64,
    /// The job's team.
    pub team: &'a str,
    /// CPUs and GPUs of all its tasks together.
    pub total_resources: (f64, f64),
}

/// A job's position in the queue; a lower one is served earlier. Ordered by priority (highest first), tier, whether the
/// job is beyond its team's guarantee, time of acceptance, and id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition<'a> {
    priority: std::cmp::Reverse<JobPriorityAttribute>,
    tier: u8,
    beyond_guarantee: bool,
    accepted_at_wall: u64,
    id: &'a str,
}

impl<'a> QueuePosition<'a> {
    /// Whether the job is beyond its team's guarantee.
    pub fn is_beyond_guarantee(&self) -> bool {
        self.beyond_guarantee
    }

    /// The job's id.
    pub fn job_id(&self) -> &'a str {
        self.id
    }
}

/// Queue positions of these jobs, the first to be served first. `guarantees`: CPUs and GPUs guaranteed to each team;
/// a team that is not in it has no guarantee.
///
/// A job is within its team's guarantee if it fits there together with all earlier jobs of the team, in the order of
/// priority, tier, acceptance and id. The result does not depend on the order of `entries`.
pub fn queue_order<'a>(
    entries: impl Iterator<Item = WaitingJob<'a>>,
    guarantees: &HashMap<&str, (f64, f64)>,
) -> Vec<QueuePosition<'a>> {
    let mut jobs: Vec<WaitingJob> = entries.collect();
    let order_key = |job: &WaitingJob<'a>| {
        (std::cmp::Reverse(job.priority), job.tier, job.accepted_at_wall, job.id)
    };
    jobs.sort_by(|a, b| order_key(a).cmp(&order_key(b)));
    let mut usage_by_team: HashMap<&str, (f64, f64)> = HashMap::new();
    let mut positions: Vec<QueuePosition> = jobs
        .into_iter()
        .map(|job| {
            let used = usage_by_team.entry(job.team).or_default();
            (used.0, used.1) = (used.0 + job.total_resources.0, used.1 + job.total_resources.1);
            let (cpus, gpus) = guarantees.get(job.team).copied().unwrap_or_default();
            let fits = |used: f64, guaranteed: f64| used <= guaranteed + RESOURCE_TOLERANCE;
            let is_within_guarantee =
                fits(used.0, cpus) && (fits(used.1, gpus) || job.total_resources.1 <= 0.0);
            QueuePosition {
                priority: std::cmp::Reverse(job.priority),
                tier: job.tier,
                beyond_guarantee: !is_within_guarantee,
                accepted_at_wall: job.accepted_at_wall,
                id: job.id,
            }
        })
        .collect();
    positions.sort();
    positions
}
