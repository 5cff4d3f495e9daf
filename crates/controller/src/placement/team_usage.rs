//! Teams as a round sees them, and what their limits leave.

use crate::cluster_state::{ClusterState, quota_per_task};
use crate::job::{Attempt, JobKind, JobSpec};
use crate::settings::TeamSettings;
use swiftsail_quota::{Quantity, QuotaLimit, ResourceQuantities};

/// A team as a round sees it.
pub(super) struct TeamUsage {
    pub limit: QuotaLimit,
    pub guarantee: ResourceQuantities,
    /// Accelerators are guaranteed to some team: then they count beside CPUs for all, and a team to which none are
    /// guaranteed has borrowed each.
    pub counts_gpus: bool,
    /// What it uses, everything not proved gone counted, and what the round plans for it.
    pub used: ResourceQuantities,
    /// What of that is its replicas'.
    pub used_by_services: ResourceQuantities,
    /// What is being stopped and not proved gone.
    pub being_stopped: ResourceQuantities,
}

impl TeamUsage {
    /// All teams of the settings.
    pub fn from_cluster(tables: &ClusterState, teams: &[TeamSettings]) -> Vec<TeamUsage> {
        let used = tables.quota_usage(teams);
        let counts_gpus = teams.iter().any(|t| t.gpus > 0.0);
        let room = |((n, team), used): ((usize, &TeamSettings), ResourceQuantities)| TeamUsage {
            limit: tables.quota_limit(n, team),
            guarantee: ResourceQuantities::from_limit(team.cpus, team.gpus),
            counts_gpus,
            used,
            used_by_services: ResourceQuantities::default(),
            being_stopped: ResourceQuantities::default(),
        };
        let mut all: Vec<TeamUsage> = teams.iter().enumerate().zip(used).map(room).collect();
        for job in tables.jobs.values() {
            let Some(n) = teams.iter().position(|t| t.name == job.spec.team) else { continue };
            let held = job.attempts.values().filter(|a| a.occupies_resources());
            let leaves = |a: &&Attempt| a.stop_requested.is_some() || job.is_cancelled();
            let (leaving, stays): (Vec<&Attempt>, Vec<&Attempt>) = held.partition(leaves);
            let each = quota_per_task(&job.spec);
            all[n].being_stopped += each.multiplied_by(leaving.len() as u32);
            if job.spec.kind == JobKind::Service {
                all[n].used_by_services += each.multiplied_by(stays.len() as u32);
            }
        }
        all
    }

    /// Whether its limit leaves as much more.
    pub fn allows(&self, more: ResourceQuantities) -> bool {
        self.limit.allows(self.used, more)
    }

    /// Whether it would stay within its guarantee with as much more.
    pub fn is_within_guarantee(&self, more: ResourceQuantities) -> bool {
        let takes_gpus = self.counts_gpus && more.gpus > Quantity::ZERO;
        self.guarantee.cpus >= self.used.cpus + more.cpus
            && (!takes_gpus || self.guarantee.gpus >= self.used.gpus + more.gpus)
    }

    /// Whether it uses more than its guarantee.
    pub fn is_beyond_guarantee(&self) -> bool {
        self.used.cpus > self.guarantee.cpus
            || self.counts_gpus && self.used.gpus > self.guarantee.gpus
    }

    /// Whether it would still use all of its guarantee with as much less: of accelerators, if it would lose some.
    pub fn stays_beyond_guarantee_without(&self, less: ResourceQuantities) -> bool {
        match self.counts_gpus && less.gpus > Quantity::ZERO {
            true => self.used.gpus - less.gpus >= self.guarantee.gpus,
            false => self.used.cpus - less.cpus >= self.guarantee.cpus,
        }
    }

    /// It will use as much more.
    pub fn add_usage(&mut self, more: ResourceQuantities) {
        self.used += more;
    }

    /// It will use as much less.
    pub fn subtract_usage(&mut self, less: ResourceQuantities) {
        self.used -= less;
    }
}

/// What waiting jobs may use at most of their teams' limits, used up as it is given out.
pub struct TeamAllowances {
    remaining: Vec<ResourceQuantities>,
}

impl TeamAllowances {
    /// What each team's limit leaves.
    pub fn from_cluster(tables: &ClusterState, teams: &[TeamSettings]) -> TeamAllowances {
        let used = tables.quota_usage(teams);
        let left = |((n, team), used): ((usize, &TeamSettings), ResourceQuantities)| {
            tables.quota_limit(n, team).remaining(used)
        };
        TeamAllowances { remaining: teams.iter().enumerate().zip(used).map(left).collect() }
    }

    /// How many more tasks of a job its team may use, of `number` that fit somewhere and `want` that wait.
    pub fn take_tasks(&mut self, team: usize, spec: &JobSpec, want: u32, number: u32) -> u32 {
        let each = quota_per_task(spec);
        let most = want.min(number).min(self.remaining[team].times_covering(each));
        self.remaining[team] -= each.multiplied_by(most);
        most
    }
}
