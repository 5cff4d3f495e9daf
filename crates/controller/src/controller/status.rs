//! What the log says now and then of how much waits, runs and is free.

use super::Controller;
use crate::cluster_state::quota_per_task;
use crate::constants::STATUS_LOG_INTERVAL_MS;
use crate::job::AttemptPhase;
use crate::machine::MachineState;
use std::collections::BTreeMap;

impl Controller {
    /// Tells the log now and then how much waits, runs and is free.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn log_status(&mut self) {
        let now = self.now.monotonic;
        let Some(leader) = self
            .cluster_state
            .as_ref()
            .filter(|_| now >= self.status_logged_at + STATUS_LOG_INTERVAL_MS)
        else {
            return;
        };
        self.status_logged_at = now;
        let (mut waiting, mut lined, mut held, mut binding, mut bound) = (0, 0, 0, 0, 0);
        let (mut fetching, mut running, mut exited) = (0, 0, 0);
        for job in leader.jobs.values() {
            waiting += if job.has_queued_tasks() { job.waiting.len() } else { 0 };
            lined += leader.run_queues.queued_tasks(&job.id);
            held += job.backing_off.len();
            for attempt in job.attempts.values() {
                match attempt.phase() {
                    AttemptPhase::Committing => binding += 1,
                    AttemptPhase::Bound => bound += 1,
                    AttemptPhase::Fetching | AttemptPhase::WaitingForGang => fetching += 1,
                    AttemptPhase::Running | AttemptPhase::Saving => running += 1,
                    AttemptPhase::Exited(_) => exited += 1,
                }
            }
        }
        // By type: machines, and CPUs free on them.
        let mut kinds: BTreeMap<(&str, bool), (u32, f64)> = BTreeMap::new();
        for machine in leader.machines.values() {
            let kind = kinds.entry((&machine.machine_type, machine.spot)).or_default();
            kind.0 += 1;
            kind.1 += machine.free_resources().map_or(0.0, |r| r.cpus);
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
        for (n, (team, used)) in teams.iter().zip(leader.quota_usage(teams)).enumerate() {
            let cap = leader.quota_limit(n, team);
            let own = leader.jobs.values().filter(|j| j.spec.team == team.name);
            let back = own.filter(|j| !cap.allows(used, quota_per_task(&j.spec)));
            let back: usize = back.map(|j| j.waiting.len()).sum();
            if back > 0 {
                limits.push(format!("{} {:.0} CPUs, {back} wait", team.name, used.cpus.to_f64()));
            }
        }
        let ready = leader.machines.values().filter(|m| m.state() == MachineState::Ready);
        let free: f64 = ready.clone().filter_map(|m| m.free_resources()).map(|r| r.cpus).sum();
        let ready = ready.count();
        let late = leader.jobs.values().filter(|j| j.missed_deadline).count();
        let mistaken = leader.jobs.values().filter(|j| j.is_job_at_fault()).count();
        let machines = leader.machines.len();
        let queued = self.store.queue_lengths();
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
            ledger = leader.binding_log.len(),
            machines,
            ready,
            free_cpus = free,
            ?queued,
            cloud_queued = self.cloud.queued_calls(),
            level = ?self.load_level.level(),
            load = format!("{:.2}", self.cpu.load().unwrap_or(0.0)),
            upkeep = format!("{:.2}", self.cpu.baseline_load().unwrap_or(0.0)),
            sure_ms = self.remaining_answer_ms(),
            cancelled_held = self.cancellations.pending().count(),
            machines_most = self.max_machines().0,
            kinds = kinds.join(", "),
            at_limit = limits.join(", "),
            "status"
        );
    }
}
