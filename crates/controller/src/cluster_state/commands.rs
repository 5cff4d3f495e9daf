//! Commands to workers: those in responses to their reports, and stop commands sent directly to them. Starts are sent
//! only in responses, after their binding is committed.

use super::status_reports::{ReceivedReport, ReportSource};
use super::{ClusterState, task_name};
use crate::Time;
use crate::constants::{
    COMMAND_OVERHEAD_BYTES, COMMANDS_ENVELOPE_BYTES, STOP_GRACE_EXTRA_S, STOP_RETRY_MS,
};
use crate::job::{Attempt, AttemptPhase, GangState, Job, JobId, JobKind, MachineId};
use crate::machine::{AttemptId, MachineState};
use std::collections::BTreeMap;
use swiftsail_protocol::constants::MAX_BODY_BYTES;
use swiftsail_protocol::workers::{Command, CommandKind, DirectCommands, TaskPhase};

/// Next step of stopping an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopStep {
    /// Nothing now.
    Wait,
    /// Send a stop command.
    Send,
    /// Release its task: the start was never offered, or the binding never written, so the attempt exists nowhere.
    Release,
}

/// Commands of one message to a worker, which keeps to the protocol's largest size.
struct CommandList {
    commands: Vec<Command>,
    /// Bytes left in the message.
    bytes_left: usize,
}

impl Default for CommandList {
    fn default() -> CommandList {
        CommandList { commands: Vec::new(), bytes_left: MAX_BODY_BYTES - COMMANDS_ENVELOPE_BYTES }
    }
}

impl CommandList {
    /// Adds a command if it fits. Returns whether it was added.
    fn push(&mut self, command: Command) -> bool {
        let bytes = COMMAND_OVERHEAD_BYTES + command.task.len();
        let fits = bytes <= self.bytes_left;
        if fits {
            self.bytes_left -= bytes;
            self.commands.push(command);
        }
        fits
    }

    fn into_commands(self) -> Vec<Command> {
        self.commands
    }
}

/// Which stop commands a pass over the jobs adds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopPass {
    /// Those that were never sent directly, and releases.
    First,
    /// Those that were sent before and not answered.
    Repeated,
}

/// The attempts whose stopping advances in one tick.
struct StopBatch {
    /// Stop commands by machine.
    stops: BTreeMap<MachineId, CommandList>,
    /// Tasks to release ([`StopStep::Release`]).
    never_offered: Vec<(JobId, u32)>,
    /// Number of attempts that may still be added.
    attempts_left: usize,
}

impl StopBatch {
    fn new(max_attempts: usize) -> StopBatch {
        StopBatch { stops: BTreeMap::new(), never_offered: Vec::new(), attempts_left: max_attempts }
    }

    /// Marks a job's attempts that are to be stopped, so that responses to reports stop them as well, and adds those that
    /// are due in this pass.
    fn add_job(&mut self, job: &mut Job, pass: StopPass, now: Time) {
        let stop_all = job.is_cancelled() || job.gang_state() == GangState::Stopping;
        if !stop_all && job.attempts.counts().stopping == 0 {
            return;
        }
        let is_never_written = job.tasks_never_written();
        let stopped = StoppedJob {
            id: job.id.clone(),
            grace_s: stop_grace_s(job),
            is_cancelled: job.is_cancelled(),
        };
        job.attempts.for_each_mut(|task, attempt| {
            if !attempt.occupies_resources() || !(stop_all || attempt.stop_requested) {
                return;
            }
            attempt.start_withdrawn = true;
            let is_repeated = attempt.stop_sent_at().is_some();
            if is_repeated != (pass == StopPass::Repeated) {
                return;
            }
            let is_unwritten =
                attempt.phase() == AttemptPhase::Committing && is_never_written(task);
            let step = match is_unwritten {
                true => StopStep::Release,
                false => next_stop_step(attempt, stopped.is_cancelled, now),
            };
            attempt.stop_requested |= step == StopStep::Send;
            self.add_attempt(&stopped, task, attempt, step, now);
        });
    }

    fn add_attempt(
        &mut self,
        job: &StoppedJob,
        task: u32,
        attempt: &mut Attempt,
        step: StopStep,
        now: Time,
    ) {
        if self.attempts_left == 0 {
            return;
        }
        match step {
            StopStep::Wait => return,
            StopStep::Release => self.never_offered.push((job.id.clone(), task)),
            StopStep::Send => {
                let commands = self.stops.entry(attempt.machine().clone()).or_default();
                if !commands.push(stop(&job.id, task, attempt.number, job.grace_s)) {
                    return;
                }
                attempt.on_stop_sent(now);
            }
        }
        self.attempts_left -= 1;
    }
}

/// What the stop commands of one job have in common.
struct StoppedJob {
    id: JobId,
    /// Grace period of its stop commands, s.
    grace_s: f64,
    is_cancelled: bool,
}

impl ClusterState {
    /// The commands of a response: stop commands for orphaned tasks, forget commands, other stop commands, starts. Those
    /// that do not fit into the response follow with the next one.
    pub(super) fn response_commands(&mut self, received: &ReceivedReport) -> Vec<Command> {
        let mut commands = CommandList::default();
        self.add_orphan_commands(received, &mut commands);
        self.add_stops(received.machine, &mut commands);
        self.add_starts(received, &mut commands);
        commands.into_commands()
    }

    fn add_orphan_commands(&self, received: &ReceivedReport, commands: &mut CommandList) {
        let Some(machine) = self.machines.get(received.machine) else { return };
        for AttemptId { job, task, attempt } in machine.orphaned_tasks.keys() {
            commands.push(stop(job, *task, *attempt, 0.0));
        }
        for (AttemptId { job, task, attempt }, status) in &received.listed {
            let is_bound = machine.tasks.get(job, *task) == Some(*attempt);
            if status.phase == TaskPhase::Exited && !is_bound {
                commands.push(command(CommandKind::Forget, job, *task, *attempt));
            }
        }
    }

    /// Repeats stop commands that were sent directly to the worker: a network partition may have lost them.
    fn add_stops(&self, machine: &MachineId, commands: &mut CommandList) {
        let Some(machine) = self.machines.get(machine) else { return };
        for ((job_id, task), number) in machine.tasks.iter() {
            let Some(job) = self.jobs.get(job_id) else { continue };
            let attempt = job.attempts.get(task).filter(|attempt| attempt.number == *number);
            let Some(attempt) = attempt else { continue };
            // Saving a checkpoint is not interrupted, unless the job is cancelled and does not need it.
            let is_saving = attempt.phase() == AttemptPhase::Saving && !job.is_cancelled();
            if attempt.stop_requested && attempt.occupies_resources() && !is_saving {
                commands.push(stop(job_id, *task, *number, stop_grace_s(job)));
            }
        }
    }

    /// Offers starts in the response to a report that shows this leader's token.
    fn add_starts(&mut self, received: &ReceivedReport, commands: &mut CommandList) {
        let report = received.report;
        let Some(machine) = self.machines.get(received.machine) else { return };
        let is_ready = machine.state() == MachineState::Ready && report.fencing_token == self.token;
        if received.source != ReportSource::StatusReport || !is_ready {
            return;
        }
        for ((job_id, task), number) in machine.tasks.iter() {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.is_cancelled() || job.gang_state() != GangState::Whole || !is_all_bound(job) {
                continue;
            }
            let attempt = job.attempts.get_mut(task).filter(|attempt| attempt.number == *number);
            let Some(mut attempt) = attempt else { continue };
            // The start of an attempt bound under an earlier term is not offered again: it may have run and been
            // forgotten by its worker. The next report then confirms that it is gone.
            if attempt.phase() == AttemptPhase::Bound
                && !attempt.start_withdrawn
                && attempt.may_be_unstarted()
                && attempt.worker_session() == report.session
                && commands.push(command(CommandKind::Start, job_id, *task, *number))
            {
                attempt.offer_start(report.sequence);
            }
        }
    }

    /// Advances the stopping of attempts, of at most `max_attempts`: the others follow with later calls. A stop command
    /// is repeated only after every other attempt's first one, so that machines that do not answer delay no others.
    /// Returns the commands to send directly to workers, with the workers' addresses. To be called on every tick.
    pub fn stop_commands(
        &mut self,
        max_attempts: usize,
        now: Time,
    ) -> Vec<(String, DirectCommands)> {
        let mut batch = StopBatch::new(max_attempts);
        for job in self.jobs.values_mut() {
            self.needs_scheduling |= update_gang(job);
            batch.add_job(job, StopPass::First, now);
        }
        for job in self.jobs.values_mut() {
            if batch.attempts_left == 0 {
                break;
            }
            batch.add_job(job, StopPass::Repeated, now);
        }
        for (job, task) in batch.never_offered {
            self.release_lost_task(&job, task, now);
        }
        self.address_commands(batch.stops)
    }

    /// The messages with these commands, by worker address. Machines without an address or a session are left out: they
    /// have not reported yet.
    fn address_commands(
        &self,
        by_machine: BTreeMap<MachineId, CommandList>,
    ) -> Vec<(String, DirectCommands)> {
        let mut messages = Vec::new();
        for (id, commands) in by_machine {
            let Some(machine) = self.machines.get(&id) else { continue };
            let session = machine.last_message.session;
            if machine.address.is_empty() || session == 0 {
                continue;
            }
            let commands = commands.into_commands();
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

/// The next step of an attempt that is to be stopped and whose start is withdrawn.
fn next_stop_step(attempt: &Attempt, is_cancelled: bool, now: Time) -> StopStep {
    match attempt.phase() {
        AttemptPhase::Committing => return StopStep::Wait,
        AttemptPhase::Bound
            if !attempt.is_from_previous_term() && attempt.offered_in().is_none() =>
        {
            return StopStep::Release;
        }
        _ => {}
    }
    // A second stop command, without grace period, would end a task that is saving a checkpoint.
    let is_saving = attempt.phase() == AttemptPhase::Saving && !is_cancelled;
    match attempt.stop_sent_at() {
        Some(sent_at) if is_saving || now < sent_at + STOP_RETRY_MS => StopStep::Wait,
        _ => StopStep::Send,
    }
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
            && job.attempts.counts().committing == 0
}

/// Grace period of a stop command, s: time to save a checkpoint, unless the job saves none or is cancelled.
fn stop_grace_s(job: &Job) -> f64 {
    if job.is_cancelled() || job.spec.checkpoint_interval_s <= 0.0 {
        0.0
    } else {
        job.spec.checkpoint_duration_s + STOP_GRACE_EXTRA_S
    }
}
