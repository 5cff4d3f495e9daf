//! Periodic log event of the leader with the numbers of waiting and running tasks, free capacity and load.

use super::Controller;
use crate::cluster_state::quota_per_task;
use crate::constants::STATUS_LOG_INTERVAL_MS;
use crate::job::AttemptPhase;
use crate::machine::MachineState;
use std::collections::BTreeMap;

impl Controller {
    /// Logs a `status` event if this controller leads and the last event is long enough ago.
    #[expect(clippy::too_many_lines, reason = "one log event with many fields")]
    pub(super) fn log_status(&mut self) {
        let now = self.now.monotonic;
        let Some(state) = self
            .cluster_state
            .as_ref()
            .filter(|_| now >= self.status_logged_at + STATUS_LOG_INTERVAL_MS)
        else {
            return;
        };
        self.status_logged_at = now;
        let (mut waiting, mut queued, mut backing_off, mut committing, mut bound) = (0, 0, 0, 0, 0);
        let (mut fetching, mut running, mut exited) = (0, 0, 0);
        for job in state.jobs.values() {
            waiting += if job.has_queued_tasks() { job.waiting.len() } else { 0 };
            queued += state.run_queues.queued_tasks(&job.id);
            backing_off += job.backing_off.len();
            for attempt in job.attempts.values() {
                match attempt.phase() {
                    AttemptPhase::Committing => committing += 1,
                    AttemptPhase::Bound => bound += 1,
                    AttemptPhase::Fetching | AttemptPhase::WaitingForGang => fetching += 1,
                    AttemptPhase::Running | AttemptPhase::Saving => running += 1,
                    AttemptPhase::Exited(_) => exited += 1,
                }
            }
        }
        // Number of machines and free CPUs by machine type and whether it is spot.
        let mut machine_types: BTreeMap<(&str, bool), (u32, f64)> = BTreeMap::new();
        for machine in state.machines.values() {
            let totals = machine_types.entry((&machine.machine_type, machine.spot)).or_default();
            totals.0 += 1;
            totals.1 += machine.free_resources().map_or(0.0, |r| r.cpus);
        }
        let machine_types: Vec<String> = machine_types
            .iter()
            .map(|((name, spot), (machines, free_cpus))| {
                let spot = if *spot { " spot" } else { "" };
                format!("{machines} {name}{spot} {free_cpus:.0} free")
            })
            .collect();
        // Teams with tasks that wait because of the team's quota limit: CPUs used and number of waiting tasks.
        let teams = &self.settings.settings.teams;
        let mut teams_at_limit = Vec::new();
        for (n, (team, used)) in teams.iter().zip(state.quota_usage(teams)).enumerate() {
            let limit = state.quota_limit(n, team);
            let own_jobs = state.jobs.values().filter(|job| job.spec.team == team.name);
            let limited_jobs =
                own_jobs.filter(|job| !limit.allows(used, quota_per_task(&job.spec)));
            let limited_tasks: usize = limited_jobs.map(|job| job.waiting.len()).sum();
            if limited_tasks > 0 {
                let cpus = used.cpus.to_f64();
                teams_at_limit.push(format!("{} {cpus:.0} CPUs, {limited_tasks} wait", team.name));
            }
        }
        let ready = state.machines.values().filter(|m| m.state() == MachineState::Ready);
        let free_cpus: f64 = ready.clone().filter_map(|m| m.free_resources()).map(|r| r.cpus).sum();
        let ready = ready.count();
        let late = state.jobs.values().filter(|job| job.missed_deadline).count();
        let at_fault = state.jobs.values().filter(|job| job.is_job_at_fault()).count();
        let machines = state.machines.len();
        tracing::info!(
            jobs = state.jobs.len(),
            late,
            mistaken = at_fault,
            waiting,
            lined = queued,
            held = backing_off,
            binding = committing,
            bound,
            fetching,
            running,
            exited,
            ledger = state.binding_log.len(),
            machines,
            ready,
            free_cpus,
            queued = ?self.store.queue_lengths(),
            cloud_queued = self.cloud.queued_calls(),
            store_refused_permanently = self.store.refusals.permanent,
            store_refused_temporarily = self.store.refusals.temporary,
            level = ?self.load_level.level(),
            load = format!("{:.2}", self.cpu.load().unwrap_or(0.0)),
            upkeep = format!("{:.2}", self.cpu.baseline_load().unwrap_or(0.0)),
            sure_ms = self.remaining_answer_ms(),
            cancelled_held = self.cancellations.pending().count(),
            machines_most = self.max_machines().0,
            attempts = state.jobs.values().map(|job| job.attempts.len()).sum::<usize>(),
            attempts_most = self.max_attempts(),
            kinds = machine_types.join(", "),
            at_limit = teams_at_limit.join(", "),
            "status"
        );
    }
}
