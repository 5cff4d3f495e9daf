//! Returns that a cancellation needs while nobody leads. A leader returns the machines on which a cancelled task is not
//! proved gone in time; but a lead can end, or be in doubt, while the state service is away or answers slowly, and nobody
//! can read what is where then. So a leader tells the others which machines these are, and whoever has lost its lead
//! remembers what was where. They return them while they hear that nobody leads.
//!
//! A return is the one order that needs no lead: whoever leads later finds the machine gone, as one that the cloud has
//! taken, and takes nothing but a 200 of its own for proof.

use super::Node;
use crate::Time;
use crate::cloud::Call;
use crate::constants::*;
use crate::fleet::cancelled_limit_ms;
use crate::job::{Attempt, JobId, MachineId};
use crate::tables::Tables;
use std::collections::BTreeMap;
use swiftsail_protocol::controllers::Beat;

/// Machines with cancelled tasks that are not proved gone, and when the first of them was cancelled.
#[derive(Debug, Default)]
pub(super) struct Owed {
    machines: BTreeMap<MachineId, Time>,
    /// Of a lead that is over: what was where.
    there: Vec<(JobId, MachineId)>,
    asked_at: Time,
}

impl Owed {
    fn note(&mut self, id: MachineId, at: Time) {
        let known = self.machines.entry(id).or_insert(at);
        *known = at.min(*known);
    }

    /// A job was cancelled then: its tasks may be where they were when the lead ended.
    fn cancelled(&mut self, job: &JobId, at: Time) {
        let its = self.there.iter().filter(|(id, _)| id == job);
        let machines: Vec<MachineId> = its.map(|(_, machine)| machine.clone()).collect();
        machines.into_iter().for_each(|id| self.note(id, at));
    }

    /// The cloud has confirmed that these are gone.
    pub fn returned(&mut self, names: &[String]) {
        self.machines.retain(|id, _| !names.iter().any(|name| **name == **id));
    }
}

impl Tables {
    /// Every machine that a task not proved gone is on.
    fn all_there(&self) -> Vec<(JobId, MachineId)> {
        let its = |job: &crate::job::Job| {
            let held: Vec<&Attempt> = job.attempts.values().filter(|a| a.occupies()).collect();
            held.into_iter().map(|a| (job.id.clone(), a.machine.clone())).collect::<Vec<_>>()
        };
        self.jobs.values().flat_map(its).collect()
    }
}

impl Node {
    /// The lead is over.
    pub(super) fn remember_owed(&mut self) {
        let Some(leader) = &self.leader else { return };
        self.owed.machines.clear();
        for (id, at) in leader.cancelled_there() {
            self.owed.note(id, at);
        }
        self.owed.there = leader.all_there();
    }

    /// A job was cancelled at that time of day.
    pub(super) fn owe(&mut self, job: &JobId, wall: u64) {
        let passed = self.now.wall.saturating_sub(wall);
        self.owed.cancelled(job, self.now.steady.saturating_sub(passed));
    }

    /// What a leader tells the others.
    pub(super) fn tell_owed(&self) -> Vec<(String, u64)> {
        let Some(leader) = &self.leader else { return Vec::new() };
        let mut told: BTreeMap<MachineId, Time> = BTreeMap::new();
        for (id, at) in leader.cancelled_there() {
            let known = told.entry(id).or_insert(at);
            *known = at.min(*known);
        }
        let (now, wall) = (self.now.steady, self.now.wall);
        let told = told.into_iter().take(RETURN_MOST);
        told.map(|(id, at)| (id.to_string(), wall.saturating_sub(now.saturating_sub(at)))).collect()
    }

    /// Another controller leads, and tells: whatever was owed before is its own now.
    pub(super) fn hear_owed(&mut self, beat: &Beat) {
        self.owed.there.clear();
        self.owed.machines.clear();
        for (name, wall) in beat.owed.iter().take(RETURN_MOST) {
            let passed = self.now.wall.saturating_sub(*wall);
            self.owed.note(name.as_str().into(), self.now.steady.saturating_sub(passed));
        }
    }

    /// With every timer step of a controller that does not lead, or does not know whether it still does.
    pub(super) fn tend_owed(&mut self) {
        let now = self.now.steady;
        if self.leader.is_some() && self.sure() {
            self.owed.machines.clear();
            self.owed.there.clear();
            return;
        }
        if now < self.owed.asked_at + RETURN_AGAIN_MS {
            return;
        }
        let from = self.vouched_from().max(now.saturating_sub(BEAT_FRESH_MS));
        let fresh = |p: &&super::Peer| p.voucher.heard >= from;
        let fresh: Vec<&super::Peer> = self.peers.values().filter(fresh).collect();
        // One that is not heard may lead. Where the state service is away too, nobody has begun to since.
        let all = fresh.len() == self.settings.others.len();
        let nobody = !fresh.is_empty() && (all || self.store.away());
        if !nobody || fresh.iter().any(|p| p.leads) {
            return;
        }
        let limit = cancelled_limit_ms(self.settings.settings.workers.cancel_s);
        let own = self.leader.iter().flat_map(Tables::cancelled_there);
        let owed = self.owed.machines.iter().map(|(id, at)| (id.clone(), *at)).chain(own);
        let due = owed.filter(|(_, at)| now >= at + limit).map(|(id, _)| id.to_string());
        let mut names: Vec<String> = due.collect();
        names.sort();
        names.dedup();
        names.truncate(RETURN_MOST);
        if !names.is_empty() {
            tracing::warn!(
                machines = names.len(),
                "nobody leads: machines with cancelled tasks are returned"
            );
            self.owed.asked_at = now;
            let call = Call::Return(names);
            self.cloud.leave();
            self.actions.push(super::Action::Cloud(call));
        }
    }
}
