//! Queue order of the unfinished jobs: assigns each to a tier and converts it for `swiftsail_tiers`, which orders them.
//! No state is kept here; the tier of a job is stored with it.

use super::ClusterState;
use crate::job::{Job, JobKind, JobSpec, JobState, Priority};
use crate::settings::TeamSettings;
use std::collections::HashMap;
use std::rc::Rc;
use swiftsail_tiers::{
    JobAttributes, JobKindAttribute, JobPriorityAttribute, QueuePosition, TierTable, WaitingJob,
    queue_order,
};

/// The attribute by which tier expressions refer to a priority.
pub fn priority_attribute(priority: Priority) -> JobPriorityAttribute {
    match priority {
        Priority::Production => JobPriorityAttribute::Production,
        Priority::High => JobPriorityAttribute::High,
        Priority::Normal => JobPriorityAttribute::Normal,
        Priority::Low => JobPriorityAttribute::Low,
    }
}

/// The attributes of a job that tier expressions can refer to.
pub fn job_attributes(id: &str, spec: &JobSpec) -> JobAttributes {
    JobAttributes {
        id: id.into(),
        class: spec.class.clone(),
        team: spec.team.clone(),
        kind: match spec.kind {
            JobKind::Array => JobKindAttribute::Array,
            JobKind::Gang => JobKindAttribute::Gang,
            JobKind::Service => JobKindAttribute::Service,
        },
        priority: priority_attribute(spec.priority),
        tasks: i64::from(spec.tasks),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        image_gb: spec.image_gb,
        estimate_s: spec.runtime_estimate_s,
        spot: spec.spot,
    }
}

/// Whether a job has a place in the queue: it is not cancelled, and its dependencies are done.
fn is_queueable(job: &Job) -> bool {
    !job.is_cancelled() && job.state() != JobState::Awaiting
}

impl ClusterState {
    /// Replaces the tier table: every job is assigned to one of its tiers, according to the job's record.
    pub fn set_tiers(&mut self, tiers: Rc<TierTable>) {
        self.tiers = tiers;
        for (id, job) in &mut self.jobs {
            job.tier = self
                .tiers
                .assign_tier(job.accepted_tier.as_deref(), &job_attributes(id, &job.spec));
        }
        self.needs_scheduling = true;
    }

    /// Queue positions of all jobs that are neither cancelled nor awaiting dependencies. They follow only from the
    /// jobs' records, the tier table and the teams' guarantees, so every leader computes the same.
    pub fn queue_order(&self, teams: &[TeamSettings]) -> Vec<QueuePosition<'_>> {
        let guarantees: HashMap<&str, (f64, f64)> =
            teams.iter().map(|team| (team.name.as_str(), (team.cpus, team.gpus))).collect();
        let queueable = self.jobs.iter().filter(|(_, job)| is_queueable(job));
        let waiting = queueable.map(|(id, job)| {
            let tasks = f64::from(job.spec.tasks);
            WaitingJob {
                id,
                priority: priority_attribute(job.spec.priority),
                tier: job.tier.tier,
                accepted_at_wall: job.accepted_wall,
                team: &job.spec.team,
                total_resources: (job.spec.cpus * tasks, job.spec.gpus * tasks),
            }
        });
        queue_order(waiting, &guarantees)
    }
}
