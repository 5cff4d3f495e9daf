//! Commands to workers: those in responses to their reports, and stop commands sent directly to them. Starts are sent
//! only in responses, after their binding is committed.

use super::status_reports::{ReceivedReport, ReportSource};
use super::{ClusterState, task_name};
use crate::Time;
use crate::constants::{STOP_GRACE_EXTRA_S, STOP_RETRY_MS};
use crate::job::{Attempt, AttemptPhase, GangState, Job, JobId, JobKind, MachineId, StopRequest};
use crate::machine::{AttemptId, MachineState, MessageOrder};
use std::collections::BTreeMap;
use swiftsail_protocol::workers::{Command, CommandKind, DirectCommands, TaskPhase};

/// Next step of stopping an attempt.
enum StopStep {
    /// Nothing now.
    Wait,
    /// Send a stop command.
    Send,
    /// Release its task: the start was never offered, so the attempt exists nowhere.
    Release,
}

impl ClusterState {
    /// Appends the commands of a response: stop commands for orphaned tasks, forget commands, other stop commands,
    /// starts.
    pub(super) fn add_commands(&mut self, received: &ReceivedReport, commands: &mut Vec<Command>) {
        self.add_orphan_commands(received, commands);
        self.add_stops(received.machine, commands);
        self.add_starts(received, commands);
    }

    fn add_orphan_commands(&self, received: &ReceivedReport, commands: &mut Vec<Command>) {
        let Some(machine) = self.machines.get(received.machine) else { return };
        for AttemptId { job, task, attempt } in machine.orphaned_tasks.keys() {
            commands.push(stop(job, *task, *attempt, 0.0));
        }
        for (AttemptId { job, task, attempt }, status) in &received.listed {
            let is_bound = machine.tasks.get(&(job.clone(), *task)) == Some(attempt);
            if status.phase == TaskPhase::Exited && !is_bound {
                commands.push(command(CommandKind::Forget, job, *task, *attempt));
            }
        }
    }

    /// Repeats stop commands that were sent directly to the worker: a network partition may have lost them.
    fn add_stops(&self, machine: &MachineId, commands: &mut Vec<Command>) {
        let Some(machine) = self.machines.get(machine) else { return };
        for ((job_id, task), number) in &machine.tasks {
            let Some(job) = self.jobs.get(job_id) else { continue };
            let attempt = job.attempts.get(task).filter(|attempt| attempt.number == *number);
            let Some(attempt) = attempt else { continue };
            // Saving a checkpoint is not interrupted, unless the job is cancelled and does not need it.
            let is_saving = attempt.phase() == AttemptPhase::Saving && !job.is_cancelled();
            if attempt.stop_requested.is_some() && attempt.occupies_resources() && !is_saving {
                commands.push(stop(job_id, *task, *number, stop_grace_s(job)));
            }
        }
    }

    /// Offers starts in the response to a report that shows this leader's token.
    fn add_starts(&mut self, received: &ReceivedReport, commands: &mut Vec<Command>) {
        let report = received.report;
        let Some(machine) = self.machines.get(received.machine) else { return };
        let is_ready = machine.state() == MachineState::Ready && report.fencing_token == self.token;
        if received.source != ReportSource::StatusReport || !is_ready {
            return;
        }
        for ((job_id, task), number) in &machine.tasks {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.is_cancelled() || job.gang_state() != GangState::Whole || !is_all_bound(job) {
                continue;
            }
            let attempt = job.attempts.get_mut(task).filter(|attempt| attempt.number == *number);
            let Some(attempt) = attempt else { continue };
            // The start of an attempt bound under an earlier term is not offered again: it may have run and been
            // forgotten by its worker. The next report then confirms that it is gone.
            if attempt.phase() == AttemptPhase::Bound
                && !attempt.start_withdrawn
                && attempt.may_be_unstarted()
                && attempt.worker_session == report.session
            {
                attempt.offered_in = Some(MessageOrder::of(report));
                commands.push(command(CommandKind::Start, job_id, *task, *number));
            }
        }
    }

    /// Advances the stopping of attempts. Returns the commands to send directly to workers, with the workers'
    /// addresses. To be called on every tick.
    pub fn stop_commands(&mut self, now: Time) -> Vec<(String, DirectCommands)> {
        let mut stops: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        let mut never_offered = Vec::new();
        for (id, job) in &mut self.jobs {
            self.needs_scheduling |= update_gang(job);
            let stop_all = job.is_cancelled() || job.gang_state() == GangState::Stopping;
            if !stop_all && job.attempts.values().all(|a| a.stop_requested.is_none()) {
                continue;
            }
            let grace_s = stop_grace_s(job);
            let is_cancelled = job.is_cancelled();
            for (task, attempt) in &mut job.attempts {
                if !attempt.occupies_resources() || !(stop_all || attempt.stop_requested.is_some())
                {
                    continue;
                }
                match next_stop_step(attempt, is_cancelled, now) {
                    StopStep::Wait => {}
                    StopStep::Release => never_offered.push((id.clone(), *task)),
                    StopStep::Send => stops.entry(attempt.machine.clone()).or_default().push(stop(
                        id,
                        *task,
                        attempt.number,
                        grace_s,
                    )),
                }
            }
        }
        for (job, task) in never_offered {
            self.release_lost_task(&job, task, now);
        }
        self.address_commands(stops)
    }

    /// The messages with these commands, by worker address. Machines without an address or a session are left out: they
    /// have not reported yet.
    fn address_commands(
        &self,
        by_machine: BTreeMap<MachineId, Vec<Command>>,
    ) -> Vec<(String, DirectCommands)> {
        let mut messages = Vec::new();
        for (id, commands) in by_machine {
            let Some(machine) = self.machines.get(&id) else { continue };
            let session = machine.last_message.session;
            if machine.address.is_empty() || session == 0 {
                continue;
            }
            let message = DirectCommands { fencing_token: self.token, session, commands };
            messages.push((machine.address.clone(), message));
        }
        messages
    }
}

/// Advances the state of a job's gang. Returns whether it has become whole again and is to be placed again.
fn update_gang(job: &mut Job) -> bool {
    // The last attempt of a gang may also end with success, which releases nothing; so this is checked on every tick.
    let is_whole_again =
        job.gang_state() != GangState::Whole && job.set_gang_state(GangState::Whole);
    if job.gang_state() == GangState::Fetching && !job.is_fetching() {
        job.set_gang_state(GangState::Stopping);
    }
    is_whole_again
}

/// Withdraws the start of an attempt that is to be stopped, and returns the next step. If that is to send a stop
/// command, the attempt is marked accordingly.
fn next_stop_step(attempt: &mut Attempt, is_cancelled: bool, now: Time) -> StopStep {
    attempt.start_withdrawn = true;
    match attempt.phase() {
        AttemptPhase::Committing => return StopStep::Wait,
        AttemptPhase::Bound if !attempt.from_previous_term && attempt.offered_in.is_none() => {
            return StopStep::Release;
        }
        _ => {}
    }
    let mut request = attempt.stop_requested.unwrap_or(StopRequest::unsent(now));
    // A second stop command, without grace period, would end a task that is saving a checkpoint.
    let is_saving = attempt.phase() == AttemptPhase::Saving && !is_cancelled;
    if now < request.sent_at.unwrap_or(0) + STOP_RETRY_MS
        || (is_saving && request.sent_at.is_some())
    {
        return StopStep::Wait;
    }
    request.sent_at = Some(now);
    attempt.stop_requested = Some(request);
    StopStep::Send
}

fn command(kind: CommandKind, job: &JobId, task: u32, attempt: u64) -> Command {
    Command { kind, task: task_name(job, task), attempt, grace_s: None }
}

fn stop(job: &JobId, task: u32, attempt: u64, grace_s: f64) -> Command {
    Command { grace_s: Some(grace_s), ..command(CommandKind::Stop, job, task, attempt) }
}

/// Whether a job's starts may be offered. Those of a gang may be once all its bindings are committed: a gang larger
/// than one transaction is committed in parts, and a part alone would only wait for the others until it times out.
fn is_all_bound(job: &Job) -> bool {
    job.spec.kind != JobKind::Gang
        || job.attempts.len() + job.done.len() == job.spec.tasks as usize
            && job.attempts.values().all(|attempt| attempt.phase() != AttemptPhase::Committing)
}

/// Grace period of a stop command, s: time to save a checkpoint, unless the job saves none or is cancelled.
fn stop_grace_s(job: &Job) -> f64 {
    if job.is_cancelled() || job.spec.checkpoint_interval_s <= 0.0 {
        0.0
    } else {
        job.spec.checkpoint_duration_s + STOP_GRACE_EXTRA_S
    }
}
