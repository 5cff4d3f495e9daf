//! Returns that a cancellation needs while nobody leads. A leader returns the machines on which a cancelled task is not
//! proved gone in time; but a lead can end, or be in doubt, while the state service is away or answers slowly, and nobody
//! can read what is where then. So a leader tells the others which machines these are, and whoever has lost its lead
//! remembers what was where. They return them while they hear that nobody leads.
//!
//! A return is the one order that needs no lead: whoever leads later finds the machine gone, as one that the cloud has
//! taken, and takes nothing but a 200 of its own for proof.

use super::Controller;
use crate::Time;
use crate::cloud::CloudCall;
use crate::cluster_state::ClusterState;
use crate::constants::{HEARTBEAT_FRESH_MS, RETURN_AGAIN_MS, RETURN_BATCH_MAX};
use crate::fleet::cancellation_deadline_ms;
use crate::job::{Attempt, JobId, MachineId};
use std::collections::BTreeMap;
use swiftsail_protocol::controllers::Heartbeat;

/// Machines with cancelled tasks that are not proved gone, and when the first of them was cancelled.
#[derive(Debug, Default)]
pub(super) struct PendingTerminations {
    machines: BTreeMap<MachineId, Time>,
    /// Of a lead that is over: what was where.
    last_placements: Vec<(JobId, MachineId)>,
    requested_at: Time,
}

impl PendingTerminations {
    fn add(&mut self, id: MachineId, at: Time) {
        let known = self.machines.entry(id).or_insert(at);
        *known = at.min(*known);
    }

    /// A job was cancelled then: its tasks may be where they were when the lead ended.
    fn on_job_cancelled(&mut self, job: &JobId, at: Time) {
        let its = self.last_placements.iter().filter(|(id, _)| id == job);
        let machines: Vec<MachineId> = its.map(|(_, machine)| machine.clone()).collect();
        machines.into_iter().for_each(|id| self.add(id, at));
    }

    /// The cloud has confirmed that these are gone.
    pub fn on_terminated(&mut self, names: &[String]) {
        self.machines.retain(|id, _| !names.iter().any(|name| **name == **id));
    }
}

impl ClusterState {
    /// Every machine that a task not proved gone is on.
    fn occupied_placements(&self) -> Vec<(JobId, MachineId)> {
        let its = |job: &crate::job::Job| {
            let held: Vec<&Attempt> =
                job.attempts.values().filter(|a| a.occupies_resources()).collect();
            held.into_iter().map(|a| (job.id.clone(), a.machine.clone())).collect::<Vec<_>>()
        };
        self.jobs.values().flat_map(its).collect()
    }
}

impl Controller {
    /// The lead is over.
    pub(super) fn record_pending_terminations(&mut self) {
        let Some(leader) = &self.cluster_state else { return };
        self.pending_terminations.machines.clear();
        for (id, at) in leader.machines_with_cancelled_tasks() {
            self.pending_terminations.add(id, at);
        }
        self.pending_terminations.last_placements = leader.occupied_placements();
    }

    /// A job was cancelled at that time of day.
    pub(super) fn add_pending_termination(&mut self, job: &JobId, wall: u64) {
        let passed = self.now.wall_clock.saturating_sub(wall);
        self.pending_terminations.on_job_cancelled(job, self.now.monotonic.saturating_sub(passed));
    }

    /// What a leader tells the others.
    pub(super) fn pending_terminations_for_peers(&self) -> Vec<(String, u64)> {
        let Some(leader) = &self.cluster_state else { return Vec::new() };
        let mut told: BTreeMap<MachineId, Time> = BTreeMap::new();
        for (id, at) in leader.machines_with_cancelled_tasks() {
            let known = told.entry(id).or_insert(at);
            *known = at.min(*known);
        }
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let told = told.into_iter().take(RETURN_BATCH_MAX);
        told.map(|(id, at)| (id.to_string(), wall.saturating_sub(now.saturating_sub(at)))).collect()
    }

    /// Another controller leads, and tells: whatever was owed before is its own now.
    pub(super) fn adopt_pending_terminations(&mut self, beat: &Heartbeat) {
        self.pending_terminations.last_placements.clear();
        self.pending_terminations.machines.clear();
        for (name, wall) in beat.pending_terminations.iter().take(RETURN_BATCH_MAX) {
            let passed = self.now.wall_clock.saturating_sub(*wall);
            self.pending_terminations
                .add(name.as_str().into(), self.now.monotonic.saturating_sub(passed));
        }
    }

    /// With every timer step of a controller that does not lead, or does not know whether it still does.
    pub(super) fn terminate_pending_machines(&mut self) {
        let now = self.now.monotonic;
        if self.cluster_state.is_some() && self.is_lease_confirmed() {
            self.pending_terminations.machines.clear();
            self.pending_terminations.last_placements.clear();
            return;
        }
        if now < self.pending_terminations.requested_at + RETURN_AGAIN_MS {
            return;
        }
        let from = self.endorsements_valid_from().max(now.saturating_sub(HEARTBEAT_FRESH_MS));
        let fresh = |p: &&super::Peer| p.health.heard_at >= from;
        let fresh: Vec<&super::Peer> = self.peers.values().filter(fresh).collect();
        // One that is not heard may lead. Where the state service is away too, nobody has begun to since.
        let all = fresh.len() == self.settings.others.len();
        let nobody = !fresh.is_empty() && (all || self.store.is_unavailable());
        if !nobody || fresh.iter().any(|p| p.is_leader) {
            return;
        }
        let limit = cancellation_deadline_ms(self.settings.settings.workers.cancel_s);
        let own = self.cluster_state.iter().flat_map(ClusterState::machines_with_cancelled_tasks);
        let owed =
            self.pending_terminations.machines.iter().map(|(id, at)| (id.clone(), *at)).chain(own);
        let due = owed.filter(|(_, at)| now >= at + limit).map(|(id, _)| id.to_string());
        let mut names: Vec<String> = due.collect();
        names.sort();
        names.dedup();
        names.truncate(RETURN_BATCH_MAX);
        if !names.is_empty() {
            tracing::warn!(
                machines = names.len(),
                "no leader: terminating machines that hold cancelled tasks"
            );
            self.pending_terminations.requested_at = now;
            let call = CloudCall::Return(names);
            self.cloud.count_immediate_call();
            self.actions.push(super::Action::CallCloud(call));
        }
    }
}
