//! Deadline planning on the leader: passes the state of jobs to the tracker of occurrences, applies the deadlines that
//! follow, logs warnings, and reads and writes the records of plan, occurrences and step durations. Also operators'
//! requests about them. Planning itself is in [`swiftsail_deadline_planning`].

use super::dependency_lookup::JobReadOutcome;
use super::plugins::admin_error_reply;
use super::{CallContext, Controller, Reply, RequestId};
use crate::cluster_state::{ClusterState, job_attributes};
use crate::constants::{DEADLINE_PLAN_INTERVAL_MS, DEFAULT_BOOT_MS, STORE_TIMEOUT_MS};
use crate::job::{AttemptPhase, FinalState, Job, JobId, JobState, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use swiftsail_dag::VisitedJob;
use swiftsail_deadline_planning::constants::DURATION_QUANTILE;
use swiftsail_deadline_planning::tracker::StepDurations;
use swiftsail_deadline_planning::{
    DeadlinePlan, DeadlineSchedule, DeadlineTracker, Occurrence, OccurrencePhase, StepJob,
};
use swiftsail_replicated_records::Versioned;

/// Key of the deadline plan, below the common prefix of all replicated records.
const PLAN_KEY: &str = "dispatch";
/// Prefix of the keys of occurrences, by the time when each is due.
const DUE: &str = "due/";
/// Prefix of the keys of step durations: how long each step took.
const TOOK: &str = "took/";

impl ClusterState {
    /// Time until a job is expected to be done, ms, at [`DURATION_QUANTILE`], and what it waits for. None for a service.
    /// Waiting tasks are assumed to find a machine and to start after [`DEFAULT_BOOT_MS`], tasks that are bound and not
    /// running after half of it.
    fn predicted_run_time(&self, job: &Job, now: u64) -> (Option<f64>, &'static str) {
        if job.spec.kind == crate::job::JobKind::Service {
            return (None, "it runs until it is cancelled");
        }
        let run_time =
            |machine_type: &str| self.run_time_history.run_time(&job.id, &job.spec, machine_type);
        let mut longest_ms: f64 = 0.0;
        for attempt in job.attempts.values().filter(|attempt| attempt.occupies_resources()) {
            let machine = self.machines.get(attempt.machine());
            let machine_type = machine.map_or("", |machine| machine.machine_type.as_str());
            let remaining = match (attempt.phase(), attempt.running_since()) {
                (AttemptPhase::Running, Some(at)) => {
                    run_time(machine_type).remaining(now.saturating_sub(at) as f64)
                }
                _ => crate::completion_time::Pmf::clone(&run_time(machine_type))
                    .shifted(DEFAULT_BOOT_MS / 2.0),
            };
            longest_ms = longest_ms.max(remaining.quantile(DURATION_QUANTILE));
        }
        if job.waiting.is_empty() && job.backing_off.is_empty() {
            return (Some(longest_ms), "it runs");
        }
        let waiting_ms = run_time("").quantile(DURATION_QUANTILE) + DEFAULT_BOOT_MS;
        let wait_reason = if job.is_job_at_fault() {
            "it fails on every machine"
        } else {
            "its tasks wait for a place"
        };
        (Some(longest_ms.max(waiting_ms)), wait_reason)
    }
}

impl Controller {
    /// Restores occurrences and step durations of a new leader from their records, so that every deadline is exactly
    /// that of the predecessor. Unreadable records are left unchanged and ignored.
    pub(super) fn restore_deadline_plan(&mut self) {
        let mut tracker = DeadlineTracker::default();
        for (key, value) in self.replicated_records.records.get_by_prefix(DUE) {
            match Occurrence::from_record(key, value) {
                Ok(occurrence) => {
                    tracker.restore(key.trim_start_matches(DUE), occurrence);
                }
                Err(e) => tracing::error!(cause = %e, "unreadable occurrence record ignored"),
            }
        }
        for (key, value) in self.replicated_records.records.get_by_prefix(TOOK) {
            if let Ok(durations) = StepDurations::from_record(key, value) {
                tracker.restore_durations(key.trim_start_matches(TOOK), durations);
            }
        }
        self.replicated_records.deadline_tracker = tracker;
        self.replicated_records.deadlines_checked_at = 0;
    }

    /// Timer step of the leader, every [`DEADLINE_PLAN_INTERVAL_MS`]: updates the occurrences, gives jobs the deadlines
    /// that follow, and requests writes of the records that have changed.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn update_deadline_plan(&mut self) {
        let now = self.now;
        let Some(schedule) = self.replicated_records.schedule.clone() else { return };
        if now.monotonic < self.replicated_records.deadlines_checked_at + DEADLINE_PLAN_INTERVAL_MS
            || !self.replicated_records.records.is_loaded()
        {
            return;
        }
        let Some(state) = &mut self.cluster_state else { return };
        self.replicated_records.deadlines_checked_at = now.monotonic;
        let tracker = &mut self.replicated_records.deadline_tracker;
        tracker.sync_with_schedule(&schedule, now.wall_clock);
        let mut jobs: BTreeMap<&str, StepJob> = BTreeMap::new();
        for (id, job) in state.jobs.iter().filter(|(_, job)| job.state() == JobState::Live) {
            let (remaining_ms, wait_reason) = state.predicted_run_time(job, now.monotonic);
            let step_job = StepJob {
                attributes: job_attributes(id, &job.spec),
                accepted_at_wall: job.accepted_wall,
                expected_end_wall: remaining_ms.map(|ms| now.wall_clock + ms.max(0.0) as u64),
                wait_reason: wait_reason.into(),
            };
            jobs.insert(id, step_job);
        }
        let final_records = &self.final_records;
        let outcome =
            |id: &str| final_records.get(id).map(|record| record.state == FinalState::Done);
        let events = tracker.update(&schedule, &jobs, outcome, now.wall_clock);
        for event in events {
            let (step, cause) = event.lateness_cause.unwrap_or_default();
            match event.phase {
                OccurrencePhase::Late | OccurrencePhase::Missed => {
                    tracing::warn!(arrival = %event.key, phase = ?event.phase, step, cause, "deadline missed or at risk");
                }
                phase => tracing::info!(arrival = %event.key, ?phase, "occurrence changed phase"),
            }
            state.events.record(
                "arrival",
                format!("{:?}", event.phase).to_lowercase(),
                &event.key,
                Some(&cause),
            );
        }
        // A job is scheduled by the earlier of its own deadline and that of the occurrence.
        let to_monotonic = |wall: u64| (now.monotonic + wall).saturating_sub(now.wall_clock);
        let deadlines: Vec<(JobId, Option<u64>)> = state
            .jobs
            .keys()
            .map(|id| (id.clone(), tracker.deadline_of(id).map(to_monotonic)))
            .collect();
        for (id, deadline) in deadlines {
            if let Some(job) = state.jobs.get_mut(&id) {
                job.set_occurrence_deadline(deadline);
            }
        }
        for (key, occurrence) in tracker.take_changed_occurrences() {
            let key = format!("{DUE}{key}");
            match occurrence {
                Some(occurrence) => {
                    self.replicated_records.records.put(&key, occurrence.to_record());
                }
                None => self.replicated_records.records.remove(&key),
            }
        }
        for (step, durations) in tracker.take_changed_durations() {
            let key = format!("{TOOK}{step}");
            self.replicated_records.records.put(&key, durations.to_record());
        }
        // The outcome of a job that ended under another leader is in its final record, which is to be read.
        let unknown: Vec<JobId> = tracker
            .jobs_of_submitted_steps()
            .filter(|id| !state.jobs.contains_key(*id) && !self.final_records.contains_key(id))
            .map(JobId::from)
            .collect();
        for id in unknown {
            self.read_occurrence_job(id, true);
        }
    }

    /// Reads the record of a job that performs a step: under the key of archived final records (`final_key`), or under the
    /// job's own key, which holds a live job, or a final record that is not archived yet.
    fn read_occurrence_job(&mut self, id: JobId, final_key: bool) {
        let key = keys::job_or_final_record(&id, final_key);
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        let context = CallContext::ReadOccurrenceJob { job: id, final_key };
        self.store.push(StoreCall::Get(key), context, CallPriority::Low, policy);
    }

    /// The read of a job that performs a step has ended; a final record is cached. The key of archived records is read
    /// first; a job that is not found there is read under its own key. If its record is archived between the two reads,
    /// the reads after the next update find it.
    pub(super) fn on_occurrence_job_read(
        &mut self,
        id: &JobId,
        final_key: bool,
        outcome: &StoreOutcome,
    ) {
        let read = self.process_job_read(id, final_key, outcome);
        if let JobReadOutcome::Found(VisitedJob::NeverAccepted) = read {
            self.read_occurrence_job(id.clone(), false);
        }
    }

    /// Puts the stored deadline plan in force, if it differs from the one in force. If this controller leads and its own
    /// file has a plan of a higher version, requests a write of that one. A stored plan that cannot be read is never
    /// overwritten.
    pub(super) fn apply_deadline_plan(&mut self) {
        let value = self.replicated_records.records.get_committed(PLAN_KEY);
        let stored = value.map(|value| DeadlinePlan::from_record(PLAN_KEY, value));
        if let Some(Err(e)) = &stored {
            tracing::error!(cause = %e, "new dispatch plan rejected, keeping the active one");
            return;
        }
        let stored_version =
            stored.as_ref().and_then(|plan| plan.as_ref().ok()).map_or(0, |plan| plan.version);
        if let Some(Ok(plan)) = stored
            && self.replicated_records.schedule.as_ref().is_none_or(|active| *active.plan() != plan)
        {
            let version = plan.version;
            match DeadlineSchedule::new(plan) {
                Ok(schedule) => {
                    tracing::info!(version, "dispatch plan activated");
                    self.replicated_records.schedule = Some(Rc::new(schedule));
                }
                Err(e) => {
                    tracing::error!(cause = %e, "new dispatch plan rejected, keeping the active one")
                }
            }
        }
        let own = self
            .replicated_records
            .own_schedule
            .clone()
            .filter(|_| self.replicated_records.records.is_loaded());
        let Some(own) =
            own.filter(|own| own.plan().version > stored_version && self.cluster_state.is_some())
        else {
            return;
        };
        self.replicated_records.records.put(PLAN_KEY, own.plan().to_record());
    }

    /// Handles an operator's request to replace the deadline plan, which must be valid and of a higher version. The
    /// operator is answered once it is committed.
    pub(super) fn set_deadline_plan(&mut self, request: RequestId, body: &[u8]) {
        let error_reply = self.deadline_planning_unavailable();
        if let Some(reply) = error_reply {
            return self.answer(request, reply);
        }
        let offered = serde_json::from_slice::<DeadlinePlan>(body).map_err(|e| {
            format!("the plan cannot be read: {e}; send JSON with version, arrival, chain")
        });
        let schedule =
            offered.and_then(|plan| DeadlineSchedule::new(plan).map_err(|e| e.to_string()));
        let schedule = match schedule {
            Ok(schedule) => schedule,
            Err(error) => return self.answer(request, admin_error_reply(422, error)),
        };
        let active = self.replicated_records.schedule.as_ref();
        let active_version = active.map_or(0, |active| active.plan().version);
        if schedule.plan().version <= active_version {
            let error = format!("plan {active_version} is in force; give yours a higher version");
            return self.answer(request, admin_error_reply(409, error));
        }
        self.submit_record_write(request, PLAN_KEY, schedule.plan().to_record());
    }

    /// The error reply to an operator if this controller cannot serve requests about deadlines: they are disabled, or it
    /// does not lead.
    fn deadline_planning_unavailable(&self) -> Option<Reply> {
        if self.replicated_records.schedule.is_none() {
            let error = "dispatch is switched off; give the operators' file a [dispatch] table";
            return Some(admin_error_reply(409, error));
        }
        self.cluster_state.is_none().then(|| self.reply_not_leader())
    }

    /// Handles an operator's request to add one occurrence: JSON with `name`, `chain` and `at_ms`, the wall-clock time
    /// when it is due, ms since the Unix epoch. The operator is answered once it is committed.
    pub(super) fn add_occurrence(&mut self, request: RequestId, body: &[u8]) {
        #[derive(serde::Deserialize)]
        struct NewOccurrence {
            name: String,
            chain: String,
            at_ms: u64,
        }
        if let Some(reply) = self.deadline_planning_unavailable() {
            return self.answer(request, reply);
        }
        let new_occurrence = match serde_json::from_slice::<NewOccurrence>(body) {
            Ok(new_occurrence) => new_occurrence,
            Err(e) => {
                let error =
                    format!("the arrival cannot be read: {e}; send JSON with name, chain, at_ms");
                return self.answer(request, admin_error_reply(400, error));
            }
        };
        let NewOccurrence { name, chain, at_ms } = new_occurrence;
        let is_valid_name = !name.is_empty()
            && name.len() <= swiftsail_deadline_planning::constants::MAX_NAME_BYTES
            && name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
        if !is_valid_name || at_ms <= self.now.wall_clock {
            let error =
                "a name has 1 to 40 lower-case letters, digits and dashes, and the time is to come";
            return self.answer(request, admin_error_reply(422, error));
        }
        let Some(schedule) = self.replicated_records.schedule.clone() else { return };
        let Some(key) = self
            .replicated_records
            .deadline_tracker
            .add_occurrence(&schedule, &name, &chain, at_ms)
        else {
            let error =
                format!("no chain `{chain}`, or too many arrivals are open; see dispatch show");
            return self.answer(request, admin_error_reply(422, error));
        };
        let record = self
            .replicated_records
            .deadline_tracker
            .occurrences()
            .find(|(other, _)| **other == key)
            .map(|(_, occurrence)| occurrence.to_record());
        let key = format!("{DUE}{key}");
        self.submit_record_write(request, &key, record.unwrap_or_default());
    }

    /// The open occurrences with their steps, for operators: all, or those with this key or entry name.
    pub(super) fn occurrences_reply(&self, selected: Option<&str>) -> Reply {
        if let Some(reply) = self.deadline_planning_unavailable() {
            return reply;
        }
        let now = self.now.wall_clock;
        let is_selected = |key: &str, occurrence: &Occurrence| {
            let entry_name = &occurrence.entry_name;
            selected.is_none_or(|name| {
                name == key || name == entry_name || name == entry_name.trim_start_matches('+')
            })
        };
        let rows = self
            .replicated_records
            .deadline_tracker
            .occurrences()
            .filter(|(key, occurrence)| is_selected(key, occurrence))
            .map(|(key, occurrence)| {
                let steps = occurrence.steps.iter().map(|step| {
                    json!({
                        "step": step.name,
                        "stage": format!("{:?}", step.phase()).to_lowercase(),
                        "job": step.job,
                        "deadline_ms": step.deadline,
                        "latest_start_ms": step.latest_start,
                        "left_s": (step.deadline as i64 - now as i64) / 1_000,
                    })
                });
                let warning = occurrence.lateness_warning.as_ref();
                json!({
                    "arrival": key,
                    "name": occurrence.entry_name,
                    "chain": occurrence.chain,
                    "phase": format!("{:?}", occurrence.phase()).to_lowercase(),
                    "in_s": (occurrence.due_at as i64 - now as i64) / 1_000,
                    "stuck_at": warning.map(|(step, _)| step),
                    "why": warning.map(|(_, cause)| cause),
                    "steps": steps.collect::<Vec<_>>(),
                })
            });
        let version = self.replicated_records.schedule.as_ref().map(|active| active.plan().version);
        Reply::json(200, &json!({ "version": version, "arrivals": rows.collect::<Vec<_>>() }))
    }
}
