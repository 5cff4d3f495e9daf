//! Free resources of machines, quota used by teams, and [`BindingGuard`]: the check that every binding must pass at the
//! moment it is made, whatever planned it.

use super::ClusterState;
use crate::Time;
use crate::constants::SILENT_LEASE_SHARE;
use crate::job::{Attempt, GangState, Job, JobId, JobKind, JobSpec, JobState, MachineId};
use crate::machine::{Machine, MachineState, MachineType, Resources};
use crate::settings::TeamSettings;
use std::collections::BTreeMap;
use swiftsail_quota::{QuotaLimit, ResourceQuantities};

impl ClusterState {
    /// Counts the free resources of the machines on which they have changed.
    pub fn count_free_resources(&mut self, types: &[MachineType]) {
        for machine in self.machines.values_mut().filter(|m| m.free_resources().is_none()) {
            if let Some(machine_type) = types.iter().find(|t| t.name == machine.machine_type) {
                let occupancy = count_occupancy(&self.jobs, machine, machine_type);
                machine.set_free_resources(occupancy.free, occupancy.has_replicas);
            }
        }
    }

    /// Quota used by each team, in the order of `teams`. Every attempt that is not confirmed gone counts.
    pub fn quota_usage(&self, teams: &[TeamSettings]) -> Vec<ResourceQuantities> {
        let mut usage = vec![ResourceQuantities::default(); teams.len()];
        for job in self.jobs.values() {
            let attempts = job.occupying_attempts() as u32;
            if let Some(team) = teams.iter().position(|t| attempts > 0 && t.name == job.spec.team) {
                usage[team] += quota_per_task(&job.spec).multiplied_by(attempts);
            }
        }
        usage
    }

    /// The limit of a team, which has the given index in the settings: the limit in the settings or, if limits are
    /// divided among controllers in the state service, the leader's allocation if that is lower.
    pub fn quota_limit(&self, index: usize, team: &TeamSettings) -> QuotaLimit {
        let configured = QuotaLimit::from_settings(team.cpus_max, team.gpus_max);
        let allocation = self
            .quota_limits
            .as_ref()
            .map(|allocations| allocations.get(index).copied().unwrap_or_default());
        allocation.map_or(configured, |allocation| configured.at_most(allocation))
    }
}

/// The quota of its team that one task of a job uses.
pub fn quota_per_task(spec: &JobSpec) -> ResourceQuantities {
    ResourceQuantities::from_request(spec.cpus, spec.gpus)
}

/// How a machine is occupied.
struct Occupancy {
    /// Resources that no attempt occupies.
    free: Resources,
    /// Service replicas run on it.
    has_replicas: bool,
}

fn count_occupancy(
    jobs: &BTreeMap<JobId, Job>,
    machine: &Machine,
    machine_type: &MachineType,
) -> Occupancy {
    let mut occupancy = Occupancy { free: machine_type.resources(), has_replicas: false };
    for (job, task) in machine.tasks.keys() {
        let Some(job) = jobs.get(job) else { continue };
        if job.attempts.get(task).is_some_and(Attempt::occupies_resources) {
            occupancy.free.subtract(&Resources::for_task(&job.spec));
            occupancy.has_replicas |= job.spec.kind == JobKind::Service;
        } else {
            // Its worker reports it until its exit is committed.
            occupancy.free.subtract(&Resources::report_space_of(&job.spec));
        }
    }
    for orphan in machine.orphaned_tasks.values() {
        // The resources of an orphaned task are not always known: then nothing counts as free.
        match orphan {
            Some(resources) => occupancy.free.subtract(resources),
            None => occupancy.free = Resources::default(),
        }
    }
    occupancy
}

/// Whether tasks may be placed on a machine: it is ready, may receive work, is not about to be reclaimed, and was in
/// contact recently. Whether its reports arrive is checked by [`Machine::update_reports_missing`], not here: if this
/// considered the time of the last report, every report that an overloaded leader processes late would make its machine
/// unschedulable and lengthen the scheduling cycles, until the leader loses its lease.
pub fn is_schedulable(machine: &Machine, now: Time, lease_ms: f64) -> bool {
    let is_silent = machine.last_contact_at.is_none_or(|contact_at| {
        now.saturating_sub(contact_at) as f64 > lease_ms * SILENT_LEASE_SHARE
    });
    machine.state() == MachineState::Ready
        && machine.may_receive_work()
        && machine.reclaimed_at.is_none()
        && !is_silent
}

/// Why [`BindingGuard`] refuses a binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingRefusal {
    /// The job is finished, cancelled or awaiting dependencies, its gang is not whole, or none of its tasks waits.
    JobNotReady,
    /// The machine or its type is not known, or the machine is not ready.
    MachineNotReady,
    /// The job does not allow the machine's type, zone or market, given the zones of its other tasks.
    PlacementConstraint,
    /// The team's limit would be exceeded, or the team is not known.
    QuotaExceeded,
    /// The binding log is full: chunks must take over some bindings first.
    BindingLogFull,
}

/// Checks each binding against the cluster state at the moment it is made. No plan, policy or plug-in can bypass it.
pub struct BindingGuard<'a> {
    teams: &'a [TeamSettings],
    types: &'a [MachineType],
    /// Quota used by each team, including the bindings just made.
    usage: Vec<ResourceQuantities>,
    limits: Vec<QuotaLimit>,
}

impl<'a> BindingGuard<'a> {
    /// A guard with the teams' current usage and limits.
    pub fn new(
        cluster_state: &ClusterState,
        teams: &'a [TeamSettings],
        types: &'a [MachineType],
    ) -> BindingGuard<'a> {
        let limits =
            teams.iter().enumerate().map(|(n, team)| cluster_state.quota_limit(n, team)).collect();
        BindingGuard { teams, types, usage: cluster_state.quota_usage(teams), limits }
    }

    /// Checks whether a job's next waiting tasks may be bound to a machine, `tasks` of them.
    pub fn check(
        &self,
        cluster_state: &ClusterState,
        id: &JobId,
        machine: &MachineId,
        tasks: u32,
    ) -> Result<(), BindingRefusal> {
        let job = cluster_state.jobs.get(id).ok_or(BindingRefusal::JobNotReady)?;
        if job.state() != JobState::Live
            || job.gang_state() != GangState::Whole
            || job.waiting.len() < tasks as usize
        {
            return Err(BindingRefusal::JobNotReady);
        }
        let machine = cluster_state.machines.get(machine).ok_or(BindingRefusal::MachineNotReady)?;
        if machine.state() != MachineState::Ready {
            return Err(BindingRefusal::MachineNotReady);
        }
        self.check_machine(&job.spec, machine)?;
        check_zones(cluster_state, job, machine, tasks)?;
        self.check_limit(&job.spec, tasks)?;
        // A gang is bound as a whole, so its tasks are counted when it is planned.
        if job.spec.kind != JobKind::Gang && cluster_state.binding_log.remaining_capacity() == 0 {
            return Err(BindingRefusal::BindingLogFull);
        }
        Ok(())
    }

    /// Checks that the job allows the machine's type, market and zone.
    fn check_machine(&self, spec: &JobSpec, machine: &Machine) -> Result<(), BindingRefusal> {
        let machine_type = self.types.iter().find(|t| t.name == machine.machine_type);
        let machine_type = machine_type.ok_or(BindingRefusal::MachineNotReady)?;
        if machine.spot && !spec.spot
            || !machine_type.allows(spec)
            || spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone)
        {
            return Err(BindingRefusal::PlacementConstraint);
        }
        Ok(())
    }

    fn check_limit(&self, spec: &JobSpec, tasks: u32) -> Result<(), BindingRefusal> {
        let team = self.teams.iter().position(|t| t.name == spec.team);
        let team = team.ok_or(BindingRefusal::QuotaExceeded)?;
        if self.limits[team].allows(self.usage[team], quota_per_task(spec).multiplied_by(tasks)) {
            Ok(())
        } else {
            Err(BindingRefusal::QuotaExceeded)
        }
    }

    /// Adds tasks just bound to their team's usage.
    pub fn count(&mut self, spec: &JobSpec, tasks: u32) {
        if let Some(team) = self.teams.iter().position(|t| t.name == spec.team) {
            self.usage[team] += quota_per_task(spec).multiplied_by(tasks);
        }
    }
}

/// Checks whether a job that must spread over zones, or stay in one, may have `tasks` more tasks in a machine's zone.
fn check_zones(
    cluster_state: &ClusterState,
    job: &Job,
    machine: &Machine,
    tasks: u32,
) -> Result<(), BindingRefusal> {
    let spec = &job.spec;
    if !spec.spread && !spec.one_zone {
        return Ok(());
    }
    let zone_of = |id: &MachineId| {
        let zone = cluster_state.machines.get(id).map(|m| m.zone.as_str());
        zone.filter(|zone| !zone.is_empty())
    };
    // A machine of unknown zone could be in any. It counts as inside this zone for spreading, and as outside it for
    // staying in one zone.
    let max_in_zone = job.max_attempts_in_zone(zone_of, &machine.zone);
    let mut occupied = job.attempts.occupying_by_machine();
    let any_may_be_outside = occupied.any(|(id, _)| zone_of(id) != Some(&machine.zone));
    if spec.spread && max_in_zone + tasks > spec.max_tasks_per_zone()
        || spec.one_zone && any_may_be_outside
    {
        return Err(BindingRefusal::PlacementConstraint);
    }
    Ok(())
}
