//! Arrivals in the state service: what the board is told of jobs, what it makes of that, and its records.

use super::dependency_lookup::JobReadOutcome;
use super::plugins::plugin_error_reply;
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

/// Keys among the records of the order.
const PLAN: &str = "dispatch";
const DUE: &str = "due/";
const TOOK: &str = "took/";

impl ClusterState {
    /// When a job will be done, at the stated chance, and what it waits for. What waits for a place is taken to find
    /// one after a boot and a fetch.
    fn predicted_run_time(&self, job: &Job, now: u64) -> (Option<f64>, &'static str) {
        if job.spec.kind == crate::job::JobKind::Service {
            return (None, "it runs until it is cancelled");
        }
        let run = |kind: &str| self.run_time_history.run_time(&job.id, &job.spec, kind);
        let mut last: f64 = 0.0;
        for attempt in job.attempts.values().filter(|a| a.occupies_resources()) {
            let kind = self.machines.get(&attempt.machine).map_or("", |m| m.machine_type.as_str());
            let left = match (attempt.phase(), attempt.running_since) {
                (AttemptPhase::Running, Some(at)) => {
                    run(kind).remaining(now.saturating_sub(at) as f64)
                }
                _ => crate::completion_time::Pmf::clone(&run(kind)).shifted(DEFAULT_BOOT_MS / 2.0),
            };
            last = last.max(left.quantile(DURATION_QUANTILE));
        }
        if job.waiting.is_empty() && job.backing_off.is_empty() {
            return (Some(last), "it runs");
        }
        let waits = run("").quantile(DURATION_QUANTILE) + DEFAULT_BOOT_MS;
        let why = if job.is_job_at_fault() {
            "it fails on every machine"
        } else {
            "its tasks wait for a place"
        };
        (Some(last.max(waits)), why)
    }
}

impl Controller {
    /// A new leader has the arrivals of its predecessor, to the millisecond.
    pub(super) fn restore_deadline_plan(&mut self) {
        let mut board = DeadlineTracker::default();
        for (key, value) in self.replicated_records.records.get_by_prefix(DUE) {
            match Occurrence::from_record(key, value) {
                Ok(arrival) => board.restore(key.trim_start_matches(DUE), arrival),
                Err(e) => tracing::error!(cause = %e, "unreadable occurrence record ignored"),
            }
        }
        for (key, value) in self.replicated_records.records.get_by_prefix(TOOK) {
            if let Ok(took) = StepDurations::from_record(key, value) {
                board.restore_durations(key.trim_start_matches(TOOK), took);
            }
        }
        self.replicated_records.deadline_tracker = board;
        self.replicated_records.deadlines_checked_at = 0;
    }

    /// With every timer step of a leader, now and then: arrivals go on.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn update_deadline_plan(&mut self) {
        let now = self.now;
        let Some(calendar) = self.replicated_records.calendar.clone() else { return };
        if now.monotonic < self.replicated_records.deadlines_checked_at + DEADLINE_PLAN_INTERVAL_MS
            || !self.replicated_records.records.is_loaded()
        {
            return;
        }
        let Some(leader) = &mut self.cluster_state else { return };
        self.replicated_records.deadlines_checked_at = now.monotonic;
        let board = &mut self.replicated_records.deadline_tracker;
        board.sync_with_schedule(&calendar, now.wall_clock);
        let mut jobs: BTreeMap<&str, StepJob> = BTreeMap::new();
        for (id, job) in leader.jobs.iter().filter(|(_, j)| j.state() == JobState::Live) {
            let (left, why) = leader.predicted_run_time(job, now.monotonic);
            let work = StepJob {
                facts: job_attributes(id, &job.spec),
                accepted_at_wall: job.accepted_wall,
                expected_end_wall: left.map(|ms| now.wall_clock + ms.max(0.0) as u64),
                wait_reason: why.into(),
            };
            jobs.insert(id, work);
        }
        let finals = &self.final_records;
        let ended = |id: &str| finals.get(id).map(|r| r.state == FinalState::Done);
        let told = board.update(&calendar, &jobs, ended, now.wall_clock);
        for it in told {
            let (step, cause) = it.lateness_cause.unwrap_or_default();
            match it.phase {
                OccurrencePhase::Late | OccurrencePhase::Missed => {
                    tracing::warn!(arrival = %it.key, phase = ?it.phase, step, cause, "dispatch deadline at risk");
                }
                phase => tracing::info!(arrival = %it.key, ?phase, "occurrence changed phase"),
            }
            leader.events.record(
                "arrival",
                format!("{:?}", it.phase).to_lowercase(),
                &it.key,
                Some(&cause),
            );
        }
        // The sooner of its own deadline and the arrival's is what a job is judged by.
        let steady = |wall: u64| (now.monotonic + wall).saturating_sub(now.wall_clock);
        let dues: Vec<(JobId, Option<u64>)> =
            leader.jobs.keys().map(|id| (id.clone(), board.deadline_of(id).map(steady))).collect();
        for (id, due) in dues {
            if let Some(job) = leader.jobs.get_mut(&id) {
                job.set_occurrence_deadline(due);
            }
        }
        for (key, arrival) in board.take_changed_occurrences() {
            let key = format!("{DUE}{key}");
            match arrival {
                Some(arrival) => {
                    self.replicated_records.records.put(&key, arrival.to_record());
                }
                None => self.replicated_records.records.remove(&key),
            }
        }
        for (step, took) in board.take_changed_durations() {
            self.replicated_records.records.put(&format!("{TOOK}{step}"), took.to_record());
        }
        // What became of a job that ended under another leader stands in its final record.
        let open: Vec<JobId> = board
            .jobs_of_submitted_steps()
            .filter(|id| !leader.jobs.contains_key(*id) && !self.final_records.contains_key(id))
            .map(JobId::from)
            .collect();
        for id in open {
            self.read_occurrence_job(id, true);
        }
    }

    fn read_occurrence_job(&mut self, id: JobId, final_key: bool) {
        let key = keys::job_or_final_record(&id, final_key);
        let until = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        let purpose = CallContext::ReadOccurrenceJob { job: id, final_key };
        self.store.push(StoreCall::Get(key), purpose, CallPriority::Low, until);
    }

    /// The read of an occurrence's job has ended; what is over is remembered. The last place was read first, so a job
    /// that is not there may still stand in its first place.
    pub(super) fn on_occurrence_job_read(
        &mut self,
        id: &JobId,
        final_key: bool,
        outcome: &StoreOutcome,
    ) {
        let location = self.process_job_read(id, final_key, outcome);
        if let JobReadOutcome::Found(VisitedJob::NeverAccepted) = location {
            self.read_occurrence_job(id.clone(), false);
        }
    }

    /// The plan of the highest version counts, as with tiers.
    pub(super) fn read_plan(&mut self) {
        let found = self.replicated_records.records.get_committed(PLAN);
        let held = found.map(|value| DeadlinePlan::from_record(PLAN, value));
        if let Some(Err(e)) = &held {
            tracing::error!(cause = %e, "new dispatch plan rejected, keeping the active one");
            return;
        }
        let there = held.as_ref().and_then(|h| h.as_ref().ok()).map_or(0, |p| p.version);
        if let Some(Ok(plan)) = held
            && self.replicated_records.calendar.as_ref().is_none_or(|c| *c.plan() != plan)
        {
            let version = plan.version;
            match DeadlineSchedule::new(plan) {
                Ok(calendar) => {
                    tracing::info!(version, "dispatch plan activated");
                    self.replicated_records.calendar = Some(Rc::new(calendar));
                }
                Err(e) => {
                    tracing::error!(cause = %e, "new dispatch plan rejected, keeping the active one")
                }
            }
        }
        let own = self
            .replicated_records
            .own_plan
            .clone()
            .filter(|_| self.replicated_records.records.is_loaded());
        let Some(own) =
            own.filter(|own| own.plan().version > there && self.cluster_state.is_some())
        else {
            return;
        };
        self.replicated_records.records.put(PLAN, own.plan().to_record());
    }

    /// An operator offers another plan.
    pub(super) fn set_plan(&mut self, request: RequestId, body: &[u8]) {
        let refused = self.dispatch_refusal();
        if let Some(reply) = refused {
            return self.answer(request, reply);
        }
        let offered = serde_json::from_slice::<DeadlinePlan>(body).map_err(|e| {
            format!("the plan cannot be read: {e}; send JSON with version, arrival, chain")
        });
        let calendar = offered.and_then(|p| DeadlineSchedule::new(p).map_err(|e| e.to_string()));
        let calendar = match calendar {
            Ok(calendar) => calendar,
            Err(why) => return self.answer(request, plugin_error_reply(422, why)),
        };
        let there = self.replicated_records.calendar.as_ref().map_or(0, |c| c.plan().version);
        if calendar.plan().version <= there {
            let why = format!("plan {there} is in force; give yours a higher version");
            return self.answer(request, plugin_error_reply(409, why));
        }
        self.submit_record_write(request, PLAN, calendar.plan().to_record());
    }

    fn dispatch_refusal(&self) -> Option<Reply> {
        if self.replicated_records.calendar.is_none() {
            let why = "dispatch is switched off; give the operators' file a [dispatch] table";
            return Some(plugin_error_reply(409, why));
        }
        self.cluster_state.is_none().then(|| self.reply_not_leader())
    }

    /// An operator adds one arrival: JSON with name, chain and at_ms, the time of day.
    pub(super) fn add_occurrence(&mut self, request: RequestId, body: &[u8]) {
        #[derive(serde::Deserialize)]
        struct SingleJob {
            name: String,
            chain: String,
            at_ms: u64,
        }
        if let Some(reply) = self.dispatch_refusal() {
            return self.answer(request, reply);
        }
        let single = match serde_json::from_slice::<SingleJob>(body) {
            Ok(single) => single,
            Err(e) => {
                let why =
                    format!("the arrival cannot be read: {e}; send JSON with name, chain, at_ms");
                return self.answer(request, plugin_error_reply(400, why));
            }
        };
        let SingleJob { name, chain, at_ms } = single;
        let named = !name.is_empty()
            && name.len() <= swiftsail_deadline_planning::constants::MAX_NAME_BYTES
            && name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
        if !named || at_ms <= self.now.wall_clock {
            let why =
                "a name has 1 to 40 lower-case letters, digits and dashes, and the time is to come";
            return self.answer(request, plugin_error_reply(422, why));
        }
        let Some(calendar) = self.replicated_records.calendar.clone() else { return };
        let Some(key) = self
            .replicated_records
            .deadline_tracker
            .add_occurrence(&calendar, &name, &chain, at_ms)
        else {
            let why =
                format!("no chain `{chain}`, or too many arrivals are open; see dispatch show");
            return self.answer(request, plugin_error_reply(422, why));
        };
        let arrival = self
            .replicated_records
            .deadline_tracker
            .occurrences()
            .find(|(k, _)| **k == key)
            .map(|(_, a)| a.to_record());
        self.submit_record_write(request, &format!("{DUE}{key}"), arrival.unwrap_or_default());
    }

    /// All arrivals and their steps, for operators; of one if it is named.
    pub(super) fn show_dispatch(&self, of: Option<&str>) -> Reply {
        if let Some(reply) = self.dispatch_refusal() {
            return reply;
        }
        let now = self.now.wall_clock;
        let its = |key: &str, a: &Occurrence| {
            of.is_none_or(|id| {
                id == key || id == a.entry_name || id == a.entry_name.trim_start_matches('+')
            })
        };
        let rows = self
            .replicated_records
            .deadline_tracker
            .occurrences()
            .filter(|(key, a)| its(key, a))
            .map(|(key, a)| {
                let steps = a.steps.iter().map(|s| {
                    json!({
                        "step": s.name,
                        "stage": format!("{:?}", s.phase()).to_lowercase(),
                        "job": s.job,
                        "deadline_ms": s.deadline,
                        "latest_start_ms": s.latest_start,
                        "left_s": (s.deadline as i64 - now as i64) / 1_000,
                    })
                });
                json!({
                    "arrival": key,
                    "name": a.entry_name,
                    "chain": a.chain,
                    "phase": format!("{:?}", a.phase()).to_lowercase(),
                    "in_s": (a.due_at as i64 - now as i64) / 1_000,
                    "stuck_at": a.lateness_warning.as_ref().map(|w| &w.0),
                    "why": a.lateness_warning.as_ref().map(|w| &w.1),
                    "steps": steps.collect::<Vec<_>>(),
                })
            });
        let version = self.replicated_records.calendar.as_ref().map(|c| c.plan().version);
        Reply::json(200, &json!({ "version": version, "arrivals": rows.collect::<Vec<_>>() }))
    }
}
