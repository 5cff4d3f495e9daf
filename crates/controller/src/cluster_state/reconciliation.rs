//! Reconciliation of a worker's message with the attempts bound to its machine. A task is placed again only after its
//! attempt is confirmed gone: by a newer report that lacks it, a later session, or an exit. Elapsed time proves
//! nothing.

use super::status_reports::{ReceivedReport, ReportSource};
use super::{ClusterState, task_name};
use crate::Time;
use crate::job::{Attempt, AttemptPhase, Binding, JobId};
use crate::machine::{AttemptId, MessageOrder, Resources};
use swiftsail_failure_detector::ReachabilityEvidence;
use swiftsail_protocol::workers::{ExitCause, TaskPhase, TaskStatus};

/// What a message shows about the starts that were offered to its machine.
#[derive(Default)]
struct StartOutcomes {
    /// A start was executed.
    any_executed: bool,
    /// A start was offered in this session, and a later report lacks its attempt.
    any_ignored: bool,
}

impl StartOutcomes {
    fn evidence(&self) -> Option<ReachabilityEvidence> {
        if self.any_executed {
            return Some(ReachabilityEvidence::CommandExecuted);
        }
        self.any_ignored.then_some(ReachabilityEvidence::CommandIgnored)
    }
}

/// Phase of an attempt as a worker reports it.
fn reported_phase(status: &TaskStatus) -> AttemptPhase {
    match status.phase {
        TaskPhase::Fetching => AttemptPhase::Fetching,
        TaskPhase::WaitingForGang => AttemptPhase::WaitingForGang,
        TaskPhase::Running | TaskPhase::Unknown => AttemptPhase::Running,
        TaskPhase::Saving => AttemptPhase::Saving,
        TaskPhase::Exited => AttemptPhase::Exited(status.exit_cause.unwrap_or(ExitCause::Other)),
    }
}

impl ClusterState {
    /// Compares the attempts that a message lists with those bound to its machine.
    pub(super) fn reconcile(&mut self, received: &ReceivedReport) {
        let Some(machine) = self.machines.get(received.machine) else { return };
        let bound: Vec<AttemptId> = machine
            .tasks
            .iter()
            .map(|((job, task), number)| AttemptId {
                job: job.clone(),
                task: *task,
                attempt: *number,
            })
            .collect();
        let mut starts = StartOutcomes::default();
        for id in &bound {
            match received.listed.get(id) {
                Some(status) => self.on_attempt_listed(id, status, received, &mut starts),
                None => self.on_attempt_missing(id, received, &mut starts),
            }
        }
        self.on_reachability_evidence(received.machine, starts.evidence(), received.now);
    }

    /// Handles a bound attempt that a message lists: it gets the reported phase.
    fn on_attempt_listed(
        &mut self,
        id: &AttemptId,
        status: &TaskStatus,
        received: &ReceivedReport,
        starts: &mut StartOutcomes,
    ) {
        let phase = reported_phase(status);
        if !self.advance_listed_attempt(id, phase, received.now, starts) {
            return;
        }
        match phase {
            AttemptPhase::Running => {
                self.record_running(id, received);
                self.record_cached_image(&id.job, received);
            }
            AttemptPhase::WaitingForGang => self.record_cached_image(&id.job, received),
            AttemptPhase::Exited(cause) => {
                if let Some(machine) = self.machines.get_mut(received.machine) {
                    machine.invalidate_free_resources();
                }
                self.on_exit(&id.job, id.task, cause, received.now);
            }
            _ => {}
        }
    }

    /// Advances a listed attempt to the reported phase. Returns whether its phase has changed.
    fn advance_listed_attempt(
        &mut self,
        id: &AttemptId,
        phase: AttemptPhase,
        now: Time,
        starts: &mut StartOutcomes,
    ) -> bool {
        let job = self.jobs.get_mut(&id.job);
        let attempt = job.and_then(|job| job.attempts.get_mut(&id.task));
        let Some(mut attempt) = attempt.filter(|a| a.number == id.attempt) else { return false };
        starts.any_executed |= !attempt.is_reported && attempt.offered_in().is_some();
        attempt.is_reported = true;
        attempt.advance(phase, now)
    }

    fn record_running(&mut self, id: &AttemptId, received: &ReceivedReport) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(attempt) = job.attempts.get(&id.task) else { return };
        self.events.record("task", "runs", task_name(&id.job, id.task), Some(received.machine));
        let waited_ms = received.now.saturating_sub(job.eligible_at);
        let bound_ms = received.now.saturating_sub(attempt.bound_at());
        tracing::debug!(job = %id.job, task = id.task, machine = %received.machine, class = %job.spec.class, waited_ms, bound_ms, "task started");
    }

    /// Records that the machine has the image of a job, since a task of it has finished the fetch.
    fn record_cached_image(&mut self, job: &JobId, received: &ReceivedReport) {
        let Some(job) = self.jobs.get(job) else { return };
        let Some(machine) = self.machines.get_mut(received.machine) else { return };
        let machine_type = received.types.iter().find(|t| t.name == machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.images.record_use(&job.spec.image, job.spec.image_gb, cache_gb);
    }

    /// Handles a bound attempt that a message lacks: if that confirms it gone, its task is released.
    fn on_attempt_missing(
        &mut self,
        id: &AttemptId,
        received: &ReceivedReport,
        starts: &mut StartOutcomes,
    ) {
        if !self.is_missing_attempt_gone(id, received, starts) {
            return;
        }
        let AttemptId { job, task, attempt } = id;
        self.events.record("task", "gone", task_name(job, *task), Some(received.machine));
        tracing::debug!(job = %job, task, launch = attempt, machine = %received.machine, "attempt confirmed gone");
        self.release_lost_task(job, *task, received.now);
    }

    /// Whether a message that lacks an attempt confirms that it is gone.
    fn is_missing_attempt_gone(
        &mut self,
        id: &AttemptId,
        received: &ReceivedReport,
        starts: &mut StartOutcomes,
    ) -> bool {
        let token = self.token;
        let job = self.jobs.get_mut(&id.job);
        let attempt = job.and_then(|job| job.attempts.get_mut(&id.task));
        let Some(mut attempt) = attempt.filter(|a| a.number == id.attempt) else { return false };
        !matches!(attempt.phase(), AttemptPhase::Exited(_))
            && is_confirmed_gone(&mut attempt, received, token, starts)
    }

    /// Releases a task whose attempt is confirmed gone: the task waits again, and a gang is stopped as a whole.
    pub(super) fn release_lost_task(&mut self, job: &JobId, task: u32, now: Time) {
        self.release(job, task, now);
        self.stop_gang_after_loss(job);
    }

    /// Handles attempts that a message lists and that have no binding. One whose task still waits is adopted, an exited
    /// one is only to be forgotten by the worker, and any other occupies resources and is stopped until a report lacks
    /// it.
    pub(super) fn track_orphaned_tasks(&mut self, received: &ReceivedReport) {
        let Some(machine) = self.machines.get_mut(received.machine) else { return };
        if !machine.orphaned_tasks.is_empty() {
            machine.orphaned_tasks.retain(|id, _| received.listed.contains_key(id));
            machine.invalidate_free_resources();
        }
        for (id, status) in &received.listed {
            let Some(machine) = self.machines.get_mut(received.machine) else { return };
            let is_bound = machine.tasks.get(&id.job, id.task) == Some(id.attempt);
            if is_bound || status.phase == TaskPhase::Exited {
                machine.orphaned_tasks.remove(id);
            } else if !self.adopt_task(id, status, received) {
                let job = self.jobs.get(&id.job);
                let resources = job.map(|job| Resources::for_task(&job.spec));
                if let Some(machine) = self.machines.get_mut(received.machine) {
                    machine.orphaned_tasks.insert(id.clone(), resources);
                    machine.invalidate_free_resources();
                }
            }
        }
    }

    /// Adopts an attempt without a binding as that of its task, if the task waits. Its start is never offered again.
    /// Returns whether it was adopted.
    fn adopt_task(
        &mut self,
        id: &AttemptId,
        status: &TaskStatus,
        received: &ReceivedReport,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(received.machine) else { return false };
        let Some(job) = self.jobs.get_mut(&id.job) else { return false };
        if !job.waiting.remove(&id.task) && job.backing_off.remove(&id.task).is_none() {
            return false;
        }
        tracing::warn!(job = %id.job, task = id.task, launch = id.attempt, machine = %received.machine, "adopted task without a binding record");
        let binding = Binding {
            task: id.task,
            attempt: id.attempt,
            machine: received.machine.clone(),
            worker_session: received.report.session,
        };
        let mut attempt = Attempt::restored(&binding, received.now);
        attempt.is_reported = true;
        attempt.start_withdrawn = true;
        attempt.advance(reported_phase(status), received.now);
        job.attempts.insert(id.task, attempt);
        job.mark_chunk_dirty(id.task, received.now);
        machine.add_task(&id.job, id.task, id.attempt);
        true
    }
}

/// Whether a message that lacks an attempt proves that it is gone and will not start later.
fn is_confirmed_gone(
    attempt: &mut Attempt,
    received: &ReceivedReport,
    token: u64,
    starts: &mut StartOutcomes,
) -> bool {
    let committed = attempt.phase() != AttemptPhase::Committing;
    if received.report.session > attempt.worker_session() {
        return committed;
    }
    if attempt.is_reported {
        return true;
    }
    if attempt.is_from_previous_term() {
        return received.report.fencing_token == token;
    }
    let Some(offered_in) = attempt.offered_in() else {
        return attempt.start_withdrawn && committed;
    };
    // The response that carried the start may still be in flight when a direct command is answered: only a later report
    // proves that the start was not executed.
    let not_executed = received.source == ReportSource::StatusReport
        && MessageOrder::of(received.report) > offered_in;
    starts.any_ignored |= not_executed && received.report.session == offered_in.session;
    if not_executed && !attempt.start_withdrawn {
        attempt.retract_offer();
    }
    not_executed && attempt.start_withdrawn
}
