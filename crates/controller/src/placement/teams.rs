//! Teams as a round sees them, and what their limits leave.

use crate::job::*;
use crate::settings::Team;
use crate::tables::{Tables, amounts_of};
use swiftsail_quota::{Amount, Amounts, Cap};

/// A team as a round sees it.
pub(super) struct TeamRoom {
    pub cap: Cap,
    pub guarantee: Amounts,
    /// Accelerators are guaranteed to some team: then they count beside CPUs for all, and a team to which none are
    /// guaranteed has borrowed each.
    pub counts_gpus: bool,
    /// What it uses, everything not proved gone counted, and what the round plans for it.
    pub used: Amounts,
    /// What of that is its replicas'.
    pub endless: Amounts,
    /// What is being stopped and not proved gone.
    pub leaving: Amounts,
}

impl TeamRoom {
    /// All teams of the settings.
    pub fn all(tables: &Tables, teams: &[Team]) -> Vec<TeamRoom> {
        let used = tables.usage(teams);
        let counts_gpus = teams.iter().any(|t| t.gpus > 0.0);
        let room = |((n, team), used): ((usize, &Team), Amounts)| TeamRoom {
            cap: tables.cap(n, team),
            guarantee: Amounts::limit(team.cpus, team.gpus),
            counts_gpus,
            used,
            endless: Amounts::default(),
            leaving: Amounts::default(),
        };
        let mut all: Vec<TeamRoom> = teams.iter().enumerate().zip(used).map(room).collect();
        for job in tables.jobs.values() {
            let Some(n) = teams.iter().position(|t| t.name == job.spec.team) else { continue };
            let held = job.attempts.values().filter(|a| a.occupies());
            let leaves = |a: &&Attempt| a.stop.is_some() || job.cancelled();
            let (leaving, stays): (Vec<&Attempt>, Vec<&Attempt>) = held.partition(leaves);
            let each = amounts_of(&job.spec);
            all[n].leaving += each.times(leaving.len() as u32);
            if job.spec.kind == Kind::Service {
                all[n].endless += each.times(stays.len() as u32);
            }
        }
        all
    }

    /// Whether its limit leaves as much more.
    pub fn allows(&self, more: Amounts) -> bool {
        self.cap.allows(self.used, more)
    }

    /// Whether it would stay within its guarantee with as much more.
    pub fn guaranteed(&self, more: Amounts) -> bool {
        let takes_gpus = self.counts_gpus && more.gpus > Amount::ZERO;
        self.guarantee.cpus >= self.used.cpus + more.cpus
            && (!takes_gpus || self.guarantee.gpus >= self.used.gpus + more.gpus)
    }

    /// Whether it uses more than its guarantee.
    pub fn beyond(&self) -> bool {
        self.used.cpus > self.guarantee.cpus
            || self.counts_gpus && self.used.gpus > self.guarantee.gpus
    }

    /// Whether it would still use all of its guarantee with as much less: of accelerators, if it would lose some.
    pub fn beyond_without(&self, less: Amounts) -> bool {
        match self.counts_gpus && less.gpus > Amount::ZERO {
            true => self.used.gpus - less.gpus >= self.guarantee.gpus,
            false => self.used.cpus - less.cpus >= self.guarantee.cpus,
        }
    }

    /// It will use as much more.
    pub fn take(&mut self, more: Amounts) {
        self.used += more;
    }

    /// It will use as much less.
    pub fn give(&mut self, less: Amounts) {
        self.used -= less;
    }
}

/// What waiting jobs may use at most of their teams' limits, used up as it is given out.
pub struct Allowance {
    left: Vec<Amounts>,
}

impl Allowance {
    /// What each team's limit leaves.
    pub fn of(tables: &Tables, teams: &[Team]) -> Allowance {
        let used = tables.usage(teams);
        let left = |((n, team), used): ((usize, &Team), Amounts)| tables.cap(n, team).left(used);
        Allowance { left: teams.iter().enumerate().zip(used).map(left).collect() }
    }

    /// How many more tasks of a job its team may use, of `number` that fit somewhere and `want` that wait.
    pub fn take(&mut self, team: usize, spec: &Spec, want: u32, number: u32) -> u32 {
        let each = amounts_of(spec);
        let most = want.min(number).min(self.left[team].holds(each));
        self.left[team] -= each.times(most);
        most
    }
}
