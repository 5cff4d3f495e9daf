//! Termination of machines with cancelled tasks while there is no leader.
//!
//! A leader terminates machines on which a cancelled task is not confirmed gone in time. But leadership can end, or
//! the leader's lease can be unconfirmed, while the state service is down or slow, and then no controller can read
//! where tasks run. The leader therefore names such machines in its heartbeats, and a controller that has lost
//! leadership remembers where tasks ran. These controllers terminate the machines once they know that there is
//! no leader.
//!
//! Termination is the only request to the cloud that needs no leadership. A later leader finds the machine gone, like
//! one that the cloud has reclaimed, and accepts only a 200 response to a request of its own as proof of termination.

use super::{Action, Controller, Peer};
use crate::Time;
use crate::cloud::CloudCall;
use crate::cluster_state::ClusterState;
use crate::constants::{HEARTBEAT_VALIDITY_MS, MAX_TERMINATION_BATCH, TERMINATION_RETRY_MS};
use crate::fleet::cancellation_deadline_ms;
use crate::job::{Job, JobId, MachineId};
use std::collections::BTreeMap;
use swiftsail_protocol::controllers::Heartbeat;

/// Machines with cancelled tasks that are not confirmed gone, and the time of the first cancellation on each.
#[derive(Debug, Default)]
struct CancelledMachines(BTreeMap<MachineId, Time>);

impl CancelledMachines {
    /// Adds a machine. If it is present already, the earlier cancellation counts.
    fn add(&mut self, id: MachineId, cancelled_at: Time) {
        let earliest = self.0.entry(id).or_insert(cancelled_at);
        *earliest = cancelled_at.min(*earliest);
    }
}

impl FromIterator<(MachineId, Time)> for CancelledMachines {
    fn from_iter<I: IntoIterator<Item = (MachineId, Time)>>(entries: I) -> CancelledMachines {
        let mut machines = CancelledMachines::default();
        entries.into_iter().for_each(|(id, cancelled_at)| machines.add(id, cancelled_at));
        machines
    }
}

/// The machines with cancelled tasks that a controller knows of while it does not lead.
#[derive(Debug, Default)]
pub(super) struct PendingTerminations {
    machines: CancelledMachines,
    /// Jobs and the machines of their tasks as of the end of this controller's last leadership.
    last_placements: Vec<(JobId, MachineId)>,
    /// When terminations were last requested.
    requested_at: Time,
}

impl PendingTerminations {
    fn clear(&mut self) {
        self.machines.0.clear();
        self.last_placements.clear();
    }

    /// Adds the machines on which a cancelled job had tasks when this controller's leadership ended: the tasks may
    /// still be there.
    fn on_job_cancelled(&mut self, job: &JobId, cancelled_at: Time) {
        for (_, machine) in self.last_placements.iter().filter(|(id, _)| id == job) {
            self.machines.add(machine.clone(), cancelled_at);
        }
    }

    /// Removes machines whose termination the cloud has confirmed.
    pub fn on_terminated(&mut self, names: &[String]) {
        self.machines.0.retain(|id, _| !names.iter().any(|name| **name == **id));
    }
}

impl ClusterState {
    /// The machines on which tasks are not confirmed gone, with the jobs of these.
    fn occupied_placements(&self) -> Vec<(JobId, MachineId)> {
        let placements = |job: &Job| {
            let machines = job.attempts.occupying_by_machine();
            let placements = machines.map(|(machine, _)| (job.id.clone(), machine.clone()));
            placements.collect::<Vec<_>>()
        };
        self.jobs.values().flat_map(placements).collect()
    }
}

impl Controller {
    /// Records, at the end of leadership, the machines with cancelled tasks and where all tasks run.
    pub(super) fn record_pending_terminations(&mut self) {
        let Some(state) = &self.cluster_state else { return };
        self.pending_terminations.machines = state.machines_with_cancelled_tasks().collect();
        self.pending_terminations.last_placements = state.occupied_placements();
    }

    /// Records that a job was cancelled at this wall-clock time, ms, while this controller does not lead.
    pub(super) fn add_pending_termination(&mut self, job: &JobId, cancelled_wall: u64) {
        let cancelled_at = self.monotonic_of_wall(cancelled_wall);
        self.pending_terminations.on_job_cancelled(job, cancelled_at);
    }

    /// Machines with cancelled tasks for the leader's heartbeat, each with the wall-clock time of the cancellation,
    /// ms.
    pub(super) fn pending_terminations_for_peers(&self) -> Vec<(String, u64)> {
        let Some(state) = &self.cluster_state else { return Vec::new() };
        let machines: CancelledMachines = state.machines_with_cancelled_tasks().collect();
        let (now, wall) = (self.now.monotonic, self.now.wall_clock);
        let wall_of = |cancelled_at: Time| wall.saturating_sub(now.saturating_sub(cancelled_at));
        let machines = machines.0.into_iter().take(MAX_TERMINATION_BATCH);
        machines.map(|(id, cancelled_at)| (id.to_string(), wall_of(cancelled_at))).collect()
    }

    /// Replaces the known machines by those that a leader's heartbeat names.
    pub(super) fn adopt_pending_terminations(&mut self, heartbeat: &Heartbeat) {
        self.pending_terminations.clear();
        for (name, cancelled_wall) in
            heartbeat.pending_terminations.iter().take(MAX_TERMINATION_BATCH)
        {
            let cancelled_at = self.monotonic_of_wall(*cancelled_wall);
            self.pending_terminations.machines.add(name.as_str().into(), cancelled_at);
        }
    }

    /// Converts a wall-clock time in the past to this process's monotonic time.
    fn monotonic_of_wall(&self, wall: u64) -> Time {
        self.now.monotonic.saturating_sub(self.now.wall_clock.saturating_sub(wall))
    }

    /// Whether it is known that there is no leader. A peer whose heartbeats do not arrive may be the leader, unless
    /// the state service is unavailable too: then no controller can have been elected in the meantime.
    fn is_known_leaderless(&self) -> bool {
        let now = self.now.monotonic;
        let from = self.endorsements_valid_from().max(now.saturating_sub(HEARTBEAT_VALIDITY_MS));
        let is_fresh = |peer: &&Peer| peer.health.heartbeat_at >= from;
        let fresh: Vec<&Peer> = self.peers.values().filter(is_fresh).collect();
        let are_all_fresh = fresh.len() == self.settings.others.len();
        let is_conclusive = !fresh.is_empty() && (are_all_fresh || self.store.is_unavailable());
        is_conclusive && !fresh.iter().any(|peer| peer.is_leader)
    }

    /// Terminates machines whose cancelled tasks are due to be gone, if it is known that there is no leader. Called
    /// at every tick.
    pub(super) fn terminate_pending_machines(&mut self) {
        let now = self.now.monotonic;
        if self.cluster_state.is_some() && self.is_lease_confirmed() {
            self.pending_terminations.clear();
            return;
        }
        let may_request = now >= self.pending_terminations.requested_at + TERMINATION_RETRY_MS;
        if !may_request || !self.is_known_leaderless() {
            return;
        }
        let names = self.due_terminations();
        if names.is_empty() {
            return;
        }
        tracing::warn!(
            machines = names.len(),
            "no leader: terminating machines with cancelled tasks"
        );
        self.pending_terminations.requested_at = now;
        self.cloud.count_immediate_call();
        self.actions.push(Action::CallCloud(CloudCall::Return(names)));
    }

    /// Names of the machines to terminate now: sorted, without duplicates, at most one batch.
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
