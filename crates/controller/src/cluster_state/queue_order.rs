//! The line of waiting work in the tables: what of a job's record the tiers and the line are made from.

use super::ClusterState;
use crate::job::{Job, JobKind, JobSpec, JobState, Priority};
use crate::settings::TeamSettings;
use std::collections::HashMap;
use std::rc::Rc;
use swiftsail_tiers::{
    JobAttributes, JobKindAttribute, JobPriorityAttribute, QueuePosition, TierTable, WaitingJob,
    queue_order,
};

/// A job's priority, as tiers name it.
pub fn rank_of(priority: Priority) -> JobPriorityAttribute {
    match priority {
        Priority::Production => JobPriorityAttribute::Production,
        Priority::High => JobPriorityAttribute::High,
        Priority::Normal => JobPriorityAttribute::Normal,
        Priority::Low => JobPriorityAttribute::Low,
    }
}

/// What the expressions of tiers may know of a job.
pub fn facts_of(id: &str, spec: &JobSpec) -> JobAttributes {
    JobAttributes {
        id: id.into(),
        class: spec.class.clone(),
        team: spec.team.clone(),
        kind: match spec.kind {
            JobKind::Array => JobKindAttribute::Array,
            JobKind::Gang => JobKindAttribute::Gang,
            JobKind::Service => JobKindAttribute::Service,
        },
        priority: rank_of(spec.priority),
        tasks: i64::from(spec.tasks),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        image_gb: spec.image_gb,
        estimate_s: spec.runtime_estimate_s,
        spot: spec.spot,
    }
}

/// Whether a job is in the line: it is not cancelled, and awaits no other.
fn is_queueable(job: &Job) -> bool {
    !job.is_cancelled() && job.state() != JobState::Awaiting
}

impl ClusterState {
    /// Another table of tiers is in force: every job finds its place in it, by its record.
    pub fn set_tiers(&mut self, tiers: Rc<TierTable>) {
        self.tiers = tiers;
        for (id, job) in &mut self.jobs {
            job.tier =
                self.tiers.assign_tier(job.accepted_tier.as_deref(), &facts_of(id, &job.spec));
        }
        self.needs_scheduling = true;
    }

    /// The line of all jobs that are not over, from their records and the table of tiers alone.
    pub fn queue_order(&self, teams: &[TeamSettings]) -> Vec<QueuePosition<'_>> {
        let guarantees: HashMap<&str, (f64, f64)> =
            teams.iter().map(|t| (t.name.as_str(), (t.cpus, t.gpus))).collect();
        let entries = self.jobs.iter().filter(|(_, j)| is_queueable(j)).map(|(id, job)| {
            let tasks = f64::from(job.spec.tasks);
            WaitingJob {
                id,
                priority: rank_of(job.spec.priority),
                tier: job.tier.tier,
                accepted_at_wall: job.accepted_wall,
                team: &job.spec.team,
                total_resources: (job.spec.cpus * tasks, job.spec.gpus * tasks),
            }
        });
        queue_order(entries, &guarantees)
    }
}
