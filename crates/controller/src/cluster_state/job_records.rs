//! Applies job records read from the store: those that a new leader loads, and those that the watch delivers.

use super::{ClusterState, job_attributes};
use crate::Time;
use crate::job::{FinalRecord, Job, JobId, JobRecord, JobState, StoredJob, keys};
use crate::machine::Machine;
use swiftsail_dag::JobOutcome;
use swiftsail_protocol::state::{KeyPage, WatchResponse};

impl ClusterState {
    /// Applies a page of jobs that a new leader has read. `now` is the monotonic time and `wall` the wall clock, both
    /// in ms.
    pub fn load_jobs(&mut self, page: &KeyPage, now: Time, wall: u64) {
        if self.watched_revision == 0 {
            self.watched_revision = page.revision;
        }
        for pair in &page.entries {
            self.apply_job_record(&pair.key, &pair.value, pair.mod_revision, now, wall);
        }
    }

    /// Completes the loading of a new leader's state: adds the machines that bindings name, and applies known outcomes
    /// to jobs with dependencies.
    pub fn finish_loading(&mut self, now: Time, wall: u64) {
        self.is_loading = false;
        self.settle_dependencies(now, wall);
        for (id, job) in &self.jobs {
            for (task, attempt) in job.attempts.iter() {
                let machine = self
                    .machines
                    .entry(attempt.machine().clone())
                    .or_insert_with(|| Machine::new(attempt.machine().clone(), now));
                machine.add_task(id, *task, attempt.number);
            }
        }
    }

    /// Applies a record read from the store. Keys other than those of jobs are ignored.
    pub fn apply_job_record(
        &mut self,
        key: &str,
        value: &serde_json::Value,
        mod_revision: u64,
        now: Time,
        wall: u64,
    ) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let id = JobId::from(id);
        match StoredJob::read(value) {
            Some(StoredJob::Live(record)) => {
                self.apply_live_record(&id, &record, mod_revision, now, wall);
            }
            Some(StoredJob::Finished(record)) => {
                self.apply_final_record(id, record, mod_revision, now, wall);
            }
            None => tracing::error!(key, "job record cannot be decoded"),
        }
    }

    /// Applies a final record that is not archived yet. One that a new leader reads is from its predecessor and is to
    /// be archived. The jobs that this leader has finished itself are removed already, but the watch may have added
    /// such a job again with an earlier change: it is removed again.
    fn apply_final_record(
        &mut self,
        id: JobId,
        record: FinalRecord,
        mod_revision: u64,
        now: Time,
        wall: u64,
    ) {
        let was_added_again = |job: &Job| {
            job.mod_revision < mod_revision && job.in_flight.is_none() && job.attempts.is_empty()
        };
        if self.is_loading {
            self.unarchived_jobs.push_back((id, mod_revision, record));
        } else if self.jobs.get(&id).is_some_and(was_added_again) {
            self.jobs.remove(&id);
            self.run_queues.remove_job(&id);
            self.on_dependency_finished(&id, record.outcome(wall), now, wall);
            self.dependencies.remove_job(&id);
        }
    }

    fn apply_live_record(
        &mut self,
        id: &JobId,
        record: &JobRecord,
        mod_revision: u64,
        now: Time,
        wall: u64,
    ) {
        self.dependencies.add_job(id, &record.depends_on);
        let job = self.jobs.entry(id.clone()).or_insert_with(|| {
            tracing::debug!(job = %id, tasks = record.spec.tasks, "job loaded");
            self.events.record("job", "accepted", id, Some(&record.spec.class));
            let mut job = Job::new(id.clone(), record, mod_revision, now, wall);
            job.tier =
                self.tiers.assign_tier(record.tier.as_deref(), &job_attributes(id, &record.spec));
            job
        });
        if mod_revision >= job.mod_revision {
            job.mod_revision = mod_revision;
            if record.cancelled && !job.is_cancelled() {
                let age_ms = wall.saturating_sub(record.cancelled_wall);
                job.advance(JobState::Cancelling, now.saturating_sub(age_ms));
            }
            self.needs_scheduling = true;
        }
        if job.is_cancelled() {
            self.on_dependency_finished(id, JobOutcome::Cancelled, now, wall);
        }
        if !self.is_loading && !record.depends_on.is_empty() {
            self.cancel_dependents(id, now, wall);
        }
    }

    /// Applies changes of jobs from the watch, or from a read in addition to it. Changes up to the known revision are
    /// skipped: else one source could add a job again that was closed after the other had delivered the change.
    pub fn apply_job_changes(&mut self, changes: &WatchResponse, now: Time, wall: u64) {
        let known = self.watched_revision;
        for event in changes.events.iter().filter(|event| event.mod_revision > known) {
            if let Some(key) = &event.put_key {
                self.apply_job_record(key, &event.value, event.mod_revision, now, wall);
            }
        }
        self.watched_revision = self.watched_revision.max(changes.revision);
    }

    /// Cancels a job whose committed cancellation, at `cancelled_wall` (wall clock, ms), another controller has
    /// reported: its tasks are stopped at once. The changed record is still to be read from the state service.
    pub fn on_remote_cancellation(
        &mut self,
        id: &JobId,
        cancelled_wall: u64,
        now: Time,
        wall: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_cancelled()) else { return };
        let age_ms = wall.saturating_sub(cancelled_wall);
        if job.advance(JobState::Cancelling, now.saturating_sub(age_ms)) {
            tracing::info!(job = %id, "job cancelled, reported by another controller");
            self.needs_scheduling = true;
            self.on_dependency_finished(id, JobOutcome::Cancelled, now, wall);
        }
    }
}
