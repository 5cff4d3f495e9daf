//! Quota usage of teams during a round, and what their limits leave.

use crate::cluster_state::{ClusterState, quota_per_task};
use crate::job::{JobKind, JobSpec};
use crate::settings::TeamSettings;
use swiftsail_quota::{Quantity, QuotaLimit, ResourceQuantities};

/// Limit, guarantee and usage of a team, updated by what the round plans.
pub(super) struct TeamUsage {
    pub limit: QuotaLimit,
    pub guarantee: ResourceQuantities,
    /// Some team has guaranteed accelerators. They are then counted beside CPUs for all teams, and each one used by a
    /// team without such a guarantee counts as borrowed.
    pub counts_gpus: bool,
    /// Usage, including every task not proved gone and what the round plans.
    pub used: ResourceQuantities,
    /// Part of the usage by replicas of services that are not being stopped.
    pub used_by_services: ResourceQuantities,
    /// Usage of tasks that are being stopped and not proved gone.
    pub being_stopped: ResourceQuantities,
}

impl TeamUsage {
    /// The teams of the settings, in their order.
    pub fn from_cluster(state: &ClusterState, teams: &[TeamSettings]) -> Vec<TeamUsage> {
        let used = state.quota_usage(teams);
        let counts_gpus = teams.iter().any(|t| t.gpus > 0.0);
        let team_usage =
            |((n, team), used): ((usize, &TeamSettings), ResourceQuantities)| TeamUsage {
                limit: state.quota_limit(n, team),
                guarantee: ResourceQuantities::from_limit(team.cpus, team.gpus),
                counts_gpus,
                used,
                used_by_services: ResourceQuantities::default(),
                being_stopped: ResourceQuantities::default(),
            };
        let mut all: Vec<TeamUsage> = teams.iter().enumerate().zip(used).map(team_usage).collect();
        for job in state.jobs.values() {
            let Some(n) = teams.iter().position(|t| t.name == job.spec.team) else { continue };
            let occupying = job.occupying_attempts();
            let stopping =
                if job.is_cancelled() { occupying } else { job.attempts.counts().stopping };
            let each = quota_per_task(&job.spec);
            all[n].being_stopped += each.multiplied_by(stopping as u32);
            if job.spec.kind == JobKind::Service {
                all[n].used_by_services += each.multiplied_by((occupying - stopping) as u32);
            }
        }
        all
    }

    /// Whether its limit allows `more` usage.
    pub fn allows(&self, more: ResourceQuantities) -> bool {
        self.limit.allows(self.used, more)
    }

    /// Whether it would stay within its guarantee with `more` usage.
    pub fn is_within_guarantee(&self, more: ResourceQuantities) -> bool {
        let uses_gpus = self.counts_gpus && more.gpus > Quantity::ZERO;
        self.guarantee.cpus >= self.used.cpus + more.cpus
            && (!uses_gpus || self.guarantee.gpus >= self.used.gpus + more.gpus)
    }

    /// Whether it uses more than its guarantee.
    pub fn is_beyond_guarantee(&self) -> bool {
        self.used.cpus > self.guarantee.cpus
            || self.counts_gpus && self.used.gpus > self.guarantee.gpus
    }

    /// Whether it would still use its whole guarantee with `less` usage. Compares accelerators if `less` includes some,
    /// otherwise CPUs.
    pub fn stays_beyond_guarantee_without(&self, less: ResourceQuantities) -> bool {
        match self.counts_gpus && less.gpus > Quantity::ZERO {
            true => self.used.gpus - less.gpus >= self.guarantee.gpus,
            false => self.used.cpus - less.cpus >= self.guarantee.cpus,
        }
    }

    /// Adds planned usage.
    pub fn add_usage(&mut self, more: ResourceQuantities) {
        self.used += more;
    }

    /// Subtracts usage that the plan frees.
    pub fn subtract_usage(&mut self, less: ResourceQuantities) {
        self.used -= less;
    }
}

/// What the limits of the teams leave for waiting tasks. It decreases as tasks take their part.
pub struct TeamAllowances {
    remaining: Vec<ResourceQuantities>,
}

impl TeamAllowances {
    /// What the limit of each team leaves, given its current usage.
    pub fn from_cluster(state: &ClusterState, teams: &[TeamSettings]) -> TeamAllowances {
        let used = state.quota_usage(teams);
        let remaining = |((n, team), used): ((usize, &TeamSettings), ResourceQuantities)| {
            state.quota_limit(n, team).remaining(used)
        };
        TeamAllowances { remaining: teams.iter().enumerate().zip(used).map(remaining).collect() }
    }

    /// Takes the allowance for tasks of a job: as many as the team's limit allows, at most `waiting` and at most
    /// `fitting`. Returns their number.
    pub fn take_tasks(&mut self, team: usize, spec: &JobSpec, waiting: u32, fitting: u32) -> u32 {
        let each = quota_per_task(spec);
        let tasks = waiting.min(fitting).min(self.remaining[team].fit_count(each));
        self.remaining[team] -= each.multiplied_by(tasks);
        tasks
    }
}
