//! What the log says now and then of how much waits, runs and is free.

use super::Node;
use crate::constants::*;
use crate::job::Stage;
use crate::machine::Standing;
use crate::tables::amounts_of;
use std::collections::BTreeMap;

impl Node {
    /// Tells the log now and then how much waits, runs and is free.
    pub(super) fn status(&mut self) {
        let now = self.now.steady;
        let Some(leader) = self.leader.as_ref().filter(|_| now >= self.status_at + STATUS_MS)
        else {
            return;
        };
        self.status_at = now;
        let (mut waiting, mut lined, mut held, mut binding, mut bound) = (0, 0, 0, 0, 0);
        let (mut fetching, mut running, mut exited) = (0, 0, 0);
        for job in leader.jobs.values() {
            waiting += if job.queued() { job.waiting.len() } else { 0 };
            lined += leader.lines.of(&job.id);
            held += job.held.len();
            for attempt in job.attempts.values() {
                match attempt.stage() {
                    Stage::Committing => binding += 1,
                    Stage::Bound => bound += 1,
                    Stage::Fetching | Stage::Waiting => fetching += 1,
                    Stage::Running | Stage::Saving => running += 1,
                    Stage::Exited(_) => exited += 1,
                }
            }
        }
        // By type: machines, and CPUs free on them.
        let mut kinds: BTreeMap<(&str, bool), (u32, f64)> = BTreeMap::new();
        for machine in leader.machines.values() {
            let kind = kinds.entry((&machine.kind, machine.spot)).or_default();
            kind.0 += 1;
            kind.1 += machine.free().map_or(0.0, |r| r.cpus);
        }
        let kinds: Vec<String> = kinds
            .iter()
            .map(|((kind, spot), (n, free))| {
                format!("{n} {kind}{} {free:.0} free", if *spot { " spot" } else { "" })
            })
            .collect();
        // Teams that their limit holds back: what they use, and how many of their tasks wait.
        let teams = &self.settings.settings.teams;
        let mut limits = Vec::new();
        for (n, (team, used)) in teams.iter().zip(leader.usage(teams)).enumerate() {
            let cap = leader.cap(n, team);
            let own = leader.jobs.values().filter(|j| j.spec.team == team.name);
            let back = own.filter(|j| !cap.allows(used, amounts_of(&j.spec)));
            let back: usize = back.map(|j| j.waiting.len()).sum();
            if back > 0 {
                limits.push(format!("{} {:.0} CPUs, {back} wait", team.name, used.cpus.number()));
            }
        }
        let ready = leader.machines.values().filter(|m| m.standing() == Standing::Ready);
        let free: f64 = ready.clone().filter_map(|m| m.free()).map(|r| r.cpus).sum();
        let ready = ready.count();
        let late = leader.jobs.values().filter(|j| j.missed).count();
        let mistaken = leader.jobs.values().filter(|j| j.mistaken()).count();
        let machines = leader.machines.len();
        let queued = self.store.queued();
        tracing::info!(
            jobs = leader.jobs.len(),
            late,
            mistaken,
            waiting,
            lined,
            held,
            binding,
            bound,
            fetching,
            running,
            exited,
            ledger = leader.ledger.len(),
            machines,
            ready,
            free_cpus = free,
            ?queued,
            cloud_queued = self.cloud.queued(),
            level = ?self.pressure.level(),
            load = format!("{:.2}", self.load.share().unwrap_or(0.0)),
            upkeep = format!("{:.2}", self.upkeep.share().unwrap_or(0.0)),
            sure_ms = self.sure_ms(),
            cancelled_held = self.held.notes().count(),
            machines_most = self.machines_most().0,
            kinds = kinds.join(", "),
            at_limit = limits.join(", "),
            "status"
        );
    }
}
