//! Room on machines, what teams use, and the last check of the rules before a task is bound.

use super::ClusterState;
use crate::Time;
use crate::constants::QUIET_SHARE;
use crate::job::{Attempt, GangState, Job, JobId, JobKind, JobSpec, JobState, MachineId};
use crate::machine::{Machine, MachineState, MachineType, Resources};
use crate::settings::TeamSettings;
use std::collections::BTreeMap;
use swiftsail_quota::{QuotaLimit, ResourceQuantities};

impl ClusterState {
    /// Counts the free room of the machines whose work has changed.
    pub fn count_free_resources(&mut self, types: &[MachineType]) {
        for machine in self.machines.values_mut().filter(|m| m.free_resources().is_none()) {
            if let Some(kind) = types.iter().find(|t| t.name == machine.machine_type) {
                let (free, anchored) = free_room(&self.jobs, machine, kind);
                machine.set_free_resources(free, anchored);
            }
        }
    }

    /// What each team's tasks take, counting everything not proved gone.
    pub fn usage(&self, teams: &[TeamSettings]) -> Vec<ResourceQuantities> {
        let mut usage = vec![ResourceQuantities::default(); teams.len()];
        for job in self.jobs.values() {
            let held = job.attempts.values().filter(|a| a.occupies_resources()).count() as u32;
            if let Some(team) = teams.iter().position(|t| held > 0 && t.name == job.spec.team) {
                usage[team] += team_amounts(&job.spec).multiplied_by(held);
            }
        }
        usage
    }

    /// What a team may use: by the settings, and by what the leader holds of its limit.
    pub fn cap(&self, number: usize, team: &TeamSettings) -> QuotaLimit {
        let cap = QuotaLimit::from_settings(team.cpus_max, team.gpus_max);
        let held =
            self.quota_limits.as_ref().map(|caps| caps.get(number).copied().unwrap_or_default());
        held.map_or(cap, |held| cap.at_most(held))
    }
}

/// What one task takes of its team's limit.
pub fn team_amounts(spec: &JobSpec) -> ResourceQuantities {
    ResourceQuantities::from_request(spec.cpus, spec.gpus)
}

/// Room left on a machine, and whether replicas are on it, counted from the tables.
fn free_room(
    jobs: &BTreeMap<JobId, Job>,
    machine: &Machine,
    kind: &MachineType,
) -> (Resources, bool) {
    let (mut room, mut anchored) = (kind.resources(), false);
    for (job, task) in machine.tasks.keys() {
        if let Some(job) = jobs.get(job)
            && job.attempts.get(task).is_some_and(Attempt::occupies_resources)
        {
            room.subtract(&Resources::for_task(&job.spec));
            anchored |= job.spec.kind == JobKind::Service;
        }
    }
    for stray in machine.orphaned_tasks.values() {
        // What a stray takes is not always known: then the machine has no room.
        match stray {
            Some(each) => room.subtract(each),
            None => room = Resources::default(),
        }
    }
    (room, anchored)
}

/// Whether a machine may be given work: it is heard under this term, and lately. One that answers and reports nothing is
/// found out by [`Machine::weigh_reports`]; going by its reports here as well, every report that a loaded leader takes in
/// late made its machine unusable, and passes longer, until the leader lost its grant.
pub fn usable(machine: &Machine, now: Time, lease_ms: f64) -> bool {
    let quiet = machine
        .last_heard_at
        .is_none_or(|at| now.saturating_sub(at) as f64 > lease_ms * QUIET_SHARE);
    machine.state() == MachineState::Ready
        && machine.may_receive_work()
        && machine.reclaimed_at.is_none()
        && !quiet
}

/// Why the rules refuse a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The job is over, cancelled, leaving whole, or has no task that waits.
    Closed,
    /// The machine is not known, or not ready under this term.
    Machine,
    /// The job does not allow its type, zone or kind, given the job's other tasks.
    Place,
    /// The team's limit leaves no room.
    Limit,
    /// The ledger is full: chunks must take some of it over first.
    Ledger,
}

/// The rules themselves, read from the tables at the moment of binding, whoever planned it: no
/// plan, policy or plug-in gets past this.
pub struct QuotaGuard<'a> {
    teams: &'a [TeamSettings],
    types: &'a [MachineType],
    usage: Vec<ResourceQuantities>,
    caps: Vec<QuotaLimit>,
}

impl<'a> QuotaGuard<'a> {
    /// Counts what teams use now.
    pub fn new(
        tables: &ClusterState,
        teams: &'a [TeamSettings],
        types: &'a [MachineType],
    ) -> QuotaGuard<'a> {
        let caps = teams.iter().enumerate().map(|(n, team)| tables.cap(n, team)).collect();
        QuotaGuard { teams, types, usage: tables.usage(teams), caps }
    }

    /// Whether the rules let a job's next waiting task go to a machine. A `gang` is bound whole, even
    /// if it overfills the ledger.
    pub fn check(
        &self,
        tables: &ClusterState,
        id: &JobId,
        machine: &MachineId,
        gang: bool,
    ) -> Result<(), QuotaRefusal> {
        let job = tables.jobs.get(id).ok_or(QuotaRefusal::Closed)?;
        if job.state() != JobState::Live
            || job.gang_state() != GangState::Whole
            || job.waiting.is_empty()
        {
            return Err(QuotaRefusal::Closed);
        }
        let machine = tables.machines.get(machine).ok_or(QuotaRefusal::Machine)?;
        if machine.state() != MachineState::Ready {
            return Err(QuotaRefusal::Machine);
        }
        let spec = &job.spec;
        let kind = self
            .types
            .iter()
            .find(|t| t.name == machine.machine_type)
            .ok_or(QuotaRefusal::Machine)?;
        if machine.spot && !spec.spot
            || !kind.allows(spec)
            || spec.zone.as_ref().is_some_and(|z| *z != machine.zone)
        {
            return Err(QuotaRefusal::Place);
        }
        if spec.spread || spec.one_zone {
            // A machine whose zone is not known could be in any: it counts in all.
            let zone_of = |m: &MachineId| {
                let zone = tables.machines.get(m).map(|m| m.zone.as_str());
                zone.filter(|z| !z.is_empty())
            };
            let there = job.tasks_in_zone(zone_of, &machine.zone);
            let held = job.attempts.values().filter(|a| a.occupies_resources()).count() as u32;
            let sure = job.attempts.values().filter(|a| a.occupies_resources());
            let sure = sure.filter(|a| zone_of(&a.machine) == Some(&machine.zone)).count() as u32;
            if spec.spread && there >= spec.max_tasks_per_zone() || spec.one_zone && sure < held {
                return Err(QuotaRefusal::Place);
            }
        }
        let Some(team) = self.teams.iter().position(|t| t.name == spec.team) else {
            return Err(QuotaRefusal::Limit);
        };
        if !self.caps[team].allows(self.usage[team], team_amounts(spec)) {
            return Err(QuotaRefusal::Limit);
        }
        if !gang && tables.binding_log.room() == 0 {
            return Err(QuotaRefusal::Ledger);
        }
        Ok(())
    }

    /// Counts a task just bound.
    pub fn count(&mut self, spec: &JobSpec) {
        if let Some(team) = self.teams.iter().position(|t| t.name == spec.team) {
            self.usage[team] += team_amounts(spec);
        }
    }
}
