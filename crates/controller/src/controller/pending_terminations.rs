//! Terminations of machines that a cancellation needs while nobody leads. A leader terminates the machines on which a
//! cancelled task is not confirmed gone in time. Leadership can end, or its lease can be unconfirmed, while the store is
//! down or slow and nobody can read where tasks run. So the leader names these machines in its heartbeats, and a
//! controller that has lost leadership remembers where tasks ran. They terminate the machines while they hear no leader.
//!
//! A termination is the only request that needs no leadership: a later leader finds the machine gone, as one that the
//! cloud has reclaimed, and takes nothing but a 200 to a request of its own for proof.

use super::{Action, Controller, Peer};
use crate::Time;
use crate::cloud::CloudCall;
use crate::cluster_state::ClusterState;
use crate::constants::{HEARTBEAT_VALIDITY_MS, MAX_TERMINATION_BATCH, TERMINATION_RETRY_MS};
use crate::fleet::cancellation_deadline_ms;
use crate::job::{Job, JobId, MachineId};
use std::collections::BTreeMap;
use swiftsail_protocol::controllers::Heartbeat;

/// Machines with cancelled tasks that are not confirmed gone, with the time of the first cancellation.
#[derive(Debug, Default)]
struct CancelledMachines(BTreeMap<MachineId, Time>);

impl CancelledMachines {
    /// Adds a machine; the earliest cancellation counts.
    fn add(&mut self, id: MachineId, cancelled_at: Time) {
        let first = self.0.entry(id).or_insert(cancelled_at);
        *first = cancelled_at.min(*first);
    }
}

impl FromIterator<(MachineId, Time)> for CancelledMachines {
    fn from_iter<I: IntoIterator<Item = (MachineId, Time)>>(found: I) -> CancelledMachines {
        let mut machines = CancelledMachines::default();
        found.into_iter().for_each(|(id, cancelled_at)| machines.add(id, cancelled_at));
        machines
    }
}

/// What a controller that does not lead knows of machines with cancelled tasks.
#[derive(Debug, Default)]
pub(super) struct PendingTerminations {
    machines: CancelledMachines,
    /// Where tasks ran when this controller's leadership ended.
    last_placements: Vec<(JobId, MachineId)>,
    requested_at: Time,
}

impl PendingTerminations {
    fn clear(&mut self) {
        self.machines.0.clear();
        self.last_placements.clear();
    }

    /// A job was cancelled at this time: its tasks may be where they were when this controller's leadership ended.
    fn on_job_cancelled(&mut self, job: &JobId, cancelled_at: Time) {
        for (_, machine) in self.last_placements.iter().filter(|(id, _)| id == job) {
            self.machines.add(machine.clone(), cancelled_at);
        }
    }

    /// The cloud confirmed that these machines are gone.
    pub fn on_terminated(&mut self, names: &[String]) {
        self.machines.0.retain(|id, _| !names.iter().any(|name| **name == **id));
    }
}

impl ClusterState {
    /// Every machine with a task that is not confirmed gone, by job.
    fn occupied_placements(&self) -> Vec<(JobId, MachineId)> {
        let placements = |job: &Job| {
            let attempts = job.attempts.values().filter(|attempt| attempt.occupies_resources());
            let machines = attempts.map(|attempt| (job.id.clone(), attempt.machine.clone()));
            machines.collect::<Vec<_>>()
        };
        self.jobs.values().flat_map(placements).collect()
    }
}

impl Controller {
    /// Leadership ends: remembers which machines it would have had to terminate, and where tasks run.
    pub(super) fn record_pending_terminations(&mut self) {
        let Some(state) = &self.cluster_state else { return };
        self.pending_terminations.machines = state.machines_with_cancelled_tasks().collect();
        self.pending_terminations.last_placements = state.occupied_placements();
    }

    /// A job was cancelled at this wall-clock time, ms.
    pub(super) fn add_pending_termination(&mut self, job: &JobId, cancelled_wall: u64) {
        let cancelled_at = self.monotonic_of_wall(cancelled_wall);
        self.pending_terminations.on_job_cancelled(job, cancelled_at);
    }

    /// What a leader's heartbeat names: machines with the wall-clock time of the cancellation, ms.
    pub(super) fn pending_terminations_for_peers(&self) -> Vec<(String, u64)> {
        let Some(state) = &self.cluster_state else { return Vec::new() };
        let machines: CancelledMachines = state.machines_with_cancelled_tasks().collect();
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let wall_of = |cancelled_at: Time| wall.saturating_sub(now.saturating_sub(cancelled_at));
        let machines = machines.0.into_iter().take(MAX_TERMINATION_BATCH);
        machines.map(|(id, cancelled_at)| (id.to_string(), wall_of(cancelled_at))).collect()
    }

    /// A leader's heartbeat arrived: what it names replaces what was known.
    pub(super) fn adopt_pending_terminations(&mut self, heartbeat: &Heartbeat) {
        self.pending_terminations.clear();
        for (name, cancelled_wall) in
            heartbeat.pending_terminations.iter().take(MAX_TERMINATION_BATCH)
        {
            let cancelled_at = self.monotonic_of_wall(*cancelled_wall);
            self.pending_terminations.machines.add(name.as_str().into(), cancelled_at);
        }
    }

    /// The monotonic time of this process at a wall-clock time in the past.
    fn monotonic_of_wall(&self, wall: u64) -> Time {
        self.now.monotonic.saturating_sub(self.now.wall_clock.saturating_sub(wall))
    }

    /// Whether it is known that nobody leads. A peer that is not heard may lead, unless the store is unavailable too:
    /// then nobody has been elected since.
    fn hears_no_leader(&self) -> bool {
        let now = self.now.monotonic;
        let from = self.endorsements_valid_from().max(now.saturating_sub(HEARTBEAT_VALIDITY_MS));
        let is_fresh = |peer: &&Peer| peer.health.heartbeat_at >= from;
        let fresh: Vec<&Peer> = self.peers.values().filter(is_fresh).collect();
        let hears_all = fresh.len() == self.settings.others.len();
        let is_conclusive = !fresh.is_empty() && (hears_all || self.store.is_unavailable());
        is_conclusive && !fresh.iter().any(|peer| peer.is_leader)
    }

    /// Terminates machines whose cancelled tasks are due, while nobody leads. Called with every tick.
    pub(super) fn terminate_pending_machines(&mut self) {
        let now = self.now.monotonic;
        if self.cluster_state.is_some() && self.is_lease_confirmed() {
            self.pending_terminations.clear();
            return;
        }
        let may_request = now >= self.pending_terminations.requested_at + TERMINATION_RETRY_MS;
        if !may_request || !self.hears_no_leader() {
            return;
        }
        let names = self.due_terminations();
        if names.is_empty() {
            return;
        }
        tracing::warn!(
            machines = names.len(),
            "no leader: terminating machines that hold cancelled tasks"
        );
        self.pending_terminations.requested_at = now;
        self.cloud.count_immediate_call();
        self.actions.push(Action::CallCloud(CloudCall::Return(names)));
    }

    /// Names of the machines to terminate now, in order, at most one batch.
    fn due_terminations(&self) -> Vec<String> {
        let now = self.now.monotonic;
        let limit_ms = cancellation_deadline_ms(self.settings.settings.workers.cancel_s);
        let state = self.cluster_state.iter();
        let own = state.flat_map(ClusterState::machines_with_cancelled_tasks);
        let pending = self.pending_terminations.machines.0.iter();
        let pending = pending.map(|(id, cancelled_at)| (id.clone(), *cancelled_at));
        let is_due = |(_, cancelled_at): &(MachineId, Time)| now >= cancelled_at + limit_ms;
        let due = pending.chain(own).filter(is_due);
        let mut names: Vec<String> = due.map(|(id, _)| id.to_string()).collect();
        names.sort();
        names.dedup();
        names.truncate(MAX_TERMINATION_BATCH);
        names
    }
}
