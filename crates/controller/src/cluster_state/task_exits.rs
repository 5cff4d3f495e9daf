//! Exits of attempts: success, failure and its attribution to the job or the machine, and the effect of an exit on a
//! gang.

use super::{ClusterState, task_name};
use crate::Time;
use crate::constants::{SUSPECT_MACHINE_JOBS, SUSPECT_MACHINE_UNPROVEN_JOBS};
use crate::job::{FailureAttribution, GangState, Job, JobId, JobKind, MachineId};
use swiftsail_protocol::workers::ExitCause;

impl ClusterState {
    /// Handles the exit of an attempt whose phase has already been updated.
    pub(super) fn on_exit(&mut self, id: &JobId, task: u32, cause: ExitCause, now: Time) {
        let attempt = self.jobs.get(id).and_then(|job| job.attempts.get(&task));
        let Some(machine_id) = attempt.map(|attempt| attempt.machine().clone()) else { return };
        self.needs_scheduling = true;
        self.events.record("task", cause.event_name(), task_name(id, task), Some(&machine_id));
        if cause == ExitCause::Completed {
            self.on_task_completed(id, task, &machine_id, now);
            return;
        }
        tracing::debug!(job = %id, task, machine = %machine_id, ?cause, "task exited");
        if matches!(cause, ExitCause::Failed | ExitCause::Other) {
            self.attribute_failure(id, &machine_id, now);
        }
        self.release(id, task, now);
        let must_back_off = matches!(
            cause,
            ExitCause::Failed
                | ExitCause::UnknownJob
                | ExitCause::Other
                | ExitCause::InsufficientResources
                | ExitCause::ConflictingAttempt
        );
        if must_back_off && let Some(job) = self.jobs.get_mut(id) {
            job.back_off(task, now);
        }
        // A gang of which only some machines have fetched the image is not stopped: a stop would abort the other
        // fetches, and the gang would start over and time out again, indefinitely.
        let waits_for_fetch = |job: &Job| {
            job.spec.kind == JobKind::Gang
                && cause == ExitCause::GangIncomplete
                && job.is_fetching()
        };
        match self.jobs.get_mut(id).filter(|job| waits_for_fetch(job)) {
            Some(job) => {
                job.set_gang_state(GangState::Fetching);
            }
            None => self.stop_gang_after_loss(id),
        }
    }

    /// Handles a task that has ended with success.
    fn on_task_completed(&mut self, id: &JobId, task: u32, machine_id: &MachineId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get(&task) else { return };
        // Of an attempt started under an earlier leader only the last part was observed: its run time is not known, and
        // recording that part would bias the estimates towards short run times.
        let running_since = attempt.running_since().filter(|_| !attempt.is_from_previous_term());
        let ran_ms = running_since.map(|since| now.saturating_sub(since));
        job.mark_chunk_dirty(task, now);
        job.on_task_succeeded();
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failed_jobs.clear();
            if let Some(ran_ms) = ran_ms {
                let machine_type = &machine.machine_type;
                self.run_time_history.record_finish(id, &job.spec, machine_type, ran_ms);
            }
        }
        self.maybe_finished.insert(id.clone());
    }

    /// Attributes the failure of a task to its job or its machine.
    fn attribute_failure(&mut self, id: &JobId, machine_id: &MachineId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.is_job_at_fault() {
            job.record_bad_machine(machine_id);
        }
        if job.on_task_failed(now) {
            self.on_job_at_fault(id);
            return;
        }
        if !job.is_job_at_fault() {
            self.count_failure_on_machine(id, machine_id);
        }
    }

    /// Handles that a job is now held at fault: its failures count against no machine, and it avoids none.
    fn on_job_at_fault(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let blamed_machines = std::mem::take(&mut job.bad_machines);
        tracing::warn!(job = %id, machines = blamed_machines.len(), "job fails on every machine, limiting retries");
        self.events.record("job", "mistaken", id, None);
        self.run_queues.remove_job(id);
        for name in &blamed_machines {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            machine.failed_jobs.remove(id);
            machine.is_suspect &= machine.failed_jobs.len() >= SUSPECT_MACHINE_JOBS;
        }
    }

    /// Counts a failure against a machine. It becomes suspect once several jobs have failed on it since the last
    /// success, and fewer jobs suffice if one of them has succeeded elsewhere.
    fn count_failure_on_machine(&mut self, id: &JobId, machine_id: &MachineId) {
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        machine.failed_jobs.insert(id.clone());
        let is_proven = |id: &JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.failure_attribution() == FailureAttribution::Proven)
        };
        let threshold = match machine.failed_jobs.iter().any(is_proven) {
            true => SUSPECT_MACHINE_JOBS,
            false => SUSPECT_MACHINE_UNPROVEN_JOBS,
        };
        if machine.failed_jobs.len() >= threshold && !machine.is_suspect {
            machine.is_suspect = true;
            self.events.record("machine", "suspected", machine_id, None);
            tracing::warn!(machine = %machine_id, "machine cordoned: tasks of several jobs failed on it");
        }
    }
}
