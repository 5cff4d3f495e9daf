//! Room on machines, what teams use, and the last check of the rules before a task is bound.

use super::Tables;
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::machine::{Machine, MachineType, Room, Standing};
use crate::settings::Team;
use std::collections::BTreeMap;
use swiftsail_quota::{Amounts, Cap};

impl Tables {
    /// Counts the free room of the machines whose work has changed.
    pub fn count_rooms(&mut self, types: &[MachineType]) {
        for machine in self.machines.values_mut().filter(|m| m.free().is_none()) {
            if let Some(kind) = types.iter().find(|t| t.name == machine.kind) {
                let (free, anchored) = free_room(&self.jobs, machine, kind);
                machine.counted(free, anchored);
            }
        }
    }

    /// What each team's tasks take, counting everything not proved gone.
    pub fn usage(&self, teams: &[Team]) -> Vec<Amounts> {
        let mut usage = vec![Amounts::default(); teams.len()];
        for job in self.jobs.values() {
            let held = job.attempts.values().filter(|a| a.occupies()).count() as u32;
            if let Some(team) = teams.iter().position(|t| held > 0 && t.name == job.spec.team) {
                usage[team] += amounts_of(&job.spec).times(held);
            }
        }
        usage
    }

    /// What a team may use: by the settings, and by what the leader holds of its limit.
    pub fn cap(&self, number: usize, team: &Team) -> Cap {
        let cap = Cap::of_settings(team.cpus_max, team.gpus_max);
        let held = self.caps.as_ref().map(|caps| caps.get(number).copied().unwrap_or_default());
        held.map_or(cap, |held| cap.at_most(held))
    }
}

/// What one task takes of its team's limit.
pub fn amounts_of(spec: &Spec) -> Amounts {
    Amounts::need(spec.cpus, spec.gpus)
}

/// Room left on a machine, and whether replicas are on it, counted from the tables.
fn free_room(jobs: &BTreeMap<JobId, Job>, machine: &Machine, kind: &MachineType) -> (Room, bool) {
    let (mut room, mut anchored) = (kind.room(), false);
    for (job, task) in machine.tasks.keys() {
        if let Some(job) = jobs.get(job)
            && job.attempts.get(task).is_some_and(Attempt::occupies)
        {
            room.take(&Room::of(&job.spec));
            anchored |= job.spec.kind == Kind::Service;
        }
    }
    for stray in machine.strays.values() {
        // What a stray takes is not always known: then the machine has no room.
        match stray {
            Some(each) => room.take(each),
            None => room = Room::default(),
        }
    }
    (room, anchored)
}

/// Whether a machine may be given work: it is heard under this term, and lately. One that answers and reports nothing is
/// found out by [`Machine::weigh_reports`]; going by its reports here as well, every report that a loaded leader takes in
/// late made its machine unusable, and passes longer, until the leader lost its grant.
pub fn usable(machine: &Machine, now: Time, lease_ms: f64) -> bool {
    let quiet =
        machine.heard.is_none_or(|at| now.saturating_sub(at) as f64 > lease_ms * QUIET_SHARE);
    machine.standing() == Standing::Ready
        && machine.trusted()
        && machine.recall_at.is_none()
        && !quiet
}

/// Why the rules refuse a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
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
pub struct Guard<'a> {
    teams: &'a [Team],
    types: &'a [MachineType],
    usage: Vec<Amounts>,
    caps: Vec<Cap>,
}

impl<'a> Guard<'a> {
    /// Counts what teams use now.
    pub fn new(tables: &Tables, teams: &'a [Team], types: &'a [MachineType]) -> Guard<'a> {
        let caps = teams.iter().enumerate().map(|(n, team)| tables.cap(n, team)).collect();
        Guard { teams, types, usage: tables.usage(teams), caps }
    }

    /// Whether the rules let a job's next waiting task go to a machine. A `gang` is bound whole, even
    /// if it overfills the ledger.
    pub fn check(
        &self,
        tables: &Tables,
        id: &JobId,
        machine: &MachineId,
        gang: bool,
    ) -> Result<(), Refusal> {
        let job = tables.jobs.get(id).ok_or(Refusal::Closed)?;
        if job.state() != JobState::Live || job.muster() != Muster::Whole || job.waiting.is_empty()
        {
            return Err(Refusal::Closed);
        }
        let machine = tables.machines.get(machine).ok_or(Refusal::Machine)?;
        if machine.standing() != Standing::Ready {
            return Err(Refusal::Machine);
        }
        let spec = &job.spec;
        let kind = self.types.iter().find(|t| t.name == machine.kind).ok_or(Refusal::Machine)?;
        if machine.spot && !spec.spot
            || !kind.allows(spec)
            || spec.zone.as_ref().is_some_and(|z| *z != machine.zone)
        {
            return Err(Refusal::Place);
        }
        if spec.spread || spec.one_zone {
            // A machine whose zone is not known could be in any: it counts in all.
            let zone_of = |m: &MachineId| {
                let zone = tables.machines.get(m).map(|m| m.zone.as_str());
                zone.filter(|z| !z.is_empty())
            };
            let there = job.in_zone(zone_of, &machine.zone);
            let held = job.attempts.values().filter(|a| a.occupies()).count() as u32;
            let sure = job.attempts.values().filter(|a| a.occupies());
            let sure = sure.filter(|a| zone_of(&a.machine) == Some(&machine.zone)).count() as u32;
            if spec.spread && there >= spec.zone_cap() || spec.one_zone && sure < held {
                return Err(Refusal::Place);
            }
        }
        let Some(team) = self.teams.iter().position(|t| t.name == spec.team) else {
            return Err(Refusal::Limit);
        };
        if !self.caps[team].allows(self.usage[team], amounts_of(spec)) {
            return Err(Refusal::Limit);
        }
        if !gang && tables.ledger.room() == 0 {
            return Err(Refusal::Ledger);
        }
        Ok(())
    }

    /// Counts a task just bound.
    pub fn count(&mut self, spec: &Spec) {
        if let Some(team) = self.teams.iter().position(|t| t.name == spec.team) {
            self.usage[team] += amounts_of(spec);
        }
    }
}
