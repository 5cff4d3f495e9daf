//! The line of waiting work in the tables: what of a job's record the tiers and the line are made from.

use super::Tables;
use crate::job::*;
use crate::settings::Team;
use std::collections::HashMap;
use std::rc::Rc;
use swiftsail_tiers::{Entry, Facts, Place, Rank, Shape, Table, line};

/// A job's priority, as tiers name it.
pub fn rank_of(priority: Priority) -> Rank {
    match priority {
        Priority::Production => Rank::Production,
        Priority::High => Rank::High,
        Priority::Normal => Rank::Normal,
        Priority::Low => Rank::Low,
    }
}

/// What the expressions of tiers may know of a job.
pub fn facts_of(id: &str, spec: &Spec) -> Facts {
    Facts {
        id: id.into(),
        class: spec.class.clone(),
        team: spec.team.clone(),
        kind: match spec.kind {
            Kind::Array => Shape::Array,
            Kind::Gang => Shape::Gang,
            Kind::Service => Shape::Service,
        },
        priority: rank_of(spec.priority),
        tasks: i64::from(spec.tasks),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
        image_gb: spec.image_gb,
        estimate_s: spec.estimate_s,
        spot: spec.spot,
    }
}

/// Whether a job is in the line: it is not cancelled, and awaits no other.
fn may_wait(job: &Job) -> bool {
    !job.cancelled() && job.state() != JobState::Awaiting
}

impl Tables {
    /// Another table of tiers is in force: every job finds its place in it, by its record.
    pub fn set_tiers(&mut self, tiers: Rc<Table>) {
        self.tiers = tiers;
        for (id, job) in &mut self.jobs {
            job.tier = self.tiers.place(job.accepted_as.as_deref(), &facts_of(id, &job.spec));
        }
        self.stir = true;
    }

    /// The line of all jobs that are not over, from their records and the table of tiers alone.
    pub fn line(&self, teams: &[Team]) -> Vec<Place<'_>> {
        let guarantees: HashMap<&str, (f64, f64)> =
            teams.iter().map(|t| (t.name.as_str(), (t.cpus, t.gpus))).collect();
        let entries = self.jobs.iter().filter(|(_, j)| may_wait(j)).map(|(id, job)| {
            let tasks = f64::from(job.spec.tasks);
            Entry {
                id,
                rank: rank_of(job.spec.priority),
                tier: job.tier.tier,
                accepted_wall: job.accepted_wall,
                team: &job.spec.team,
                whole: (job.spec.cpus * tasks, job.spec.gpus * tasks),
            }
        });
        line(entries, &guarantees)
    }
}
