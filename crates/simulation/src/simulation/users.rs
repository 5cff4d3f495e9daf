//! Simulated users: they submit, poll and cancel jobs, and record answers that violate the protocol.

use super::{CONTROLLER_COUNT, Requester, Simulation, SimulationEvent};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::controller::{Controller, Event, Reply, UserRequest};

/// Interval at which a user checks whether the dependencies of a job are accepted, before submitting it, ms.
const DEPENDENCY_RETRY_MS: u64 = 100;

/// A job as its user sees it.
pub struct SimulatedJob {
    /// Its id.
    pub id: String,
    /// The submission.
    pub body: Value,
    /// When it is first submitted, as a simulated time in ms.
    pub submit_at: u64,
    /// When its user cancels it.
    pub cancel_at: Option<u64>,
    /// Whether its user was told that it is accepted.
    pub accepted: bool,
    /// The last status reported to its user.
    pub last_status: Option<String>,
    /// When its user was first told that it is cancelled.
    pub cancellation_told_at: Option<u64>,
    /// The status with which its submission was refused for good.
    pub refused_with: Option<u16>,
    /// For each kind of request (submission, poll, cancellation), when the one without an answer yet was sent. A user
    /// has at most one request of each kind open.
    pub(super) open_requests: [Option<u64>; 3],
    /// When its user was first told that it is over, or 0.
    pub(super) final_status_at: u64,
    /// When a request about it was last answered, or else when it was submitted.
    pub last_answered_at: u64,
    /// When its user was told that it is accepted.
    pub accepted_at: Option<u64>,
    /// Whether its last task has completed on a machine.
    pub(super) has_ended: bool,
    /// Since when it waits although free resources suit it, and how many of its tasks were placed or done then.
    pub(super) waiting_beside_free_resources: Option<(u64, usize)>,
}

impl SimulatedJob {
    /// A text field of the submission; empty if it is missing.
    pub fn text_field(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or("")
    }
    /// A number field of the submission; 0 if it is missing.
    pub fn number_field(&self, field: &str) -> f64 {
        self.body[field].as_f64().unwrap_or(0.0)
    }
    /// Number of its tasks.
    pub fn task_count(&self) -> u32 {
        self.body["shards"].as_u64().unwrap_or(0) as u32
    }
    /// The ids of the jobs that it depends on directly.
    pub fn dependencies(&self) -> impl Iterator<Item = &str> {
        self.body["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str)
    }
    /// Whether its user was told that it is done or cancelled.
    pub fn is_over(&self) -> bool {
        matches!(self.last_status.as_deref(), Some("done" | "withdrawn"))
    }
}

impl Simulation {
    /// Chooses a running controller at random, only among healthy ones if [`Simulation::routes_to_healthy`] and there
    /// are any. `None` if no controller is reachable.
    fn pick_controller(&mut self) -> Option<usize> {
        let is_reachable =
            |n: &usize| self.controllers[*n].is_some() && !self.is_zone_partitioned(*n);
        let mut candidates: Vec<usize> = (0..CONTROLLER_COUNT).filter(is_reachable).collect();
        if self.routes_to_healthy {
            let is_healthy =
                |n: &usize| self.controllers[*n].as_ref().is_some_and(Controller::is_healthy);
            let healthy: Vec<usize> = candidates.iter().copied().filter(is_healthy).collect();
            candidates = if healthy.is_empty() { candidates } else { healthy };
        }
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    /// Counts an answer with status 503, by whether another controller could have served the request.
    pub(super) fn count_unavailable_answer(&mut self, n: usize, kind: u8, reply: &Reply) {
        if reply.status != 503 {
            return;
        }
        let can_serve = |m: &usize| {
            let healthy = self.controllers[*m].as_ref().is_some_and(Controller::is_healthy);
            *m != n && healthy && !self.is_paused(*m) && !self.is_partitioned(*m, |c| c.store)
        };
        let other_available =
            !self.is_store_unavailable() && (0..CONTROLLER_COUNT).any(|m| can_serve(&m));
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let reason =
            body["error"].as_str().unwrap_or("").split(';').next().unwrap_or("").to_string();
        *self.unavailable_answers.entry((kind, reason, other_available)).or_default() += 1;
    }

    /// Sends a user's request to a controller: 0 submits the job, 1 polls it, 2 cancels it.
    pub(super) fn send_user_request(&mut self, job: usize, kind: u8) {
        // A job is submitted as soon as its dependencies are accepted.
        if kind == 0 && self.has_unaccepted_dependency(job) {
            return self
                .schedule(self.now + DEPENDENCY_RETRY_MS, SimulationEvent::UserRequest(job, kind));
        }
        let Some(n) = self.pick_controller() else {
            return self.schedule(self.now + 1_000, SimulationEvent::UserRequest(job, kind));
        };
        let id = self.jobs[job].id.clone();
        let user_request = match kind {
            0 => UserRequest::Submit(
                rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs"),
            ),
            // As at the entry of a real process, a poll repeated after a rejection takes precedence.
            1 if self.rejected_polls[n].take_precedence(&id, self.now) => {
                UserRequest::RetriedPoll(id)
            }
            1 => UserRequest::Poll(id),
            _ => UserRequest::Cancel(id),
        };
        self.jobs[job].open_requests[usize::from(kind)] = Some(self.now);
        self.next_request += 1;
        let request = self.next_request;
        let incarnation = self.incarnations[n];
        self.requesters.insert((n, incarnation, request), Requester::User(job, kind, self.now, n));
        self.deliver_to_controller(n, incarnation, Event::UserRequest(request, user_request));
        // The user's own timeout, since a controller that crashes answers nobody.
        self.schedule(self.now + 5_000, SimulationEvent::UserReply(job, kind + 10, self.now, None));
    }

    /// Processes the answer to a request sent at `sent`, or its loss (`None`). Kinds from 10 on are the user's timeout
    /// of the request of kind `kind - 10`.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn handle_user_reply(
        &mut self,
        job: usize,
        kind: u8,
        sent: u64,
        reply: Option<Reply>,
    ) {
        let now = self.now;
        if kind == 1 {
            self.check_job_answered(job);
        }
        let j = &mut self.jobs[job];
        // Timeout: the request is sent again if its answer is still needed.
        if kind >= 10 {
            let is_needed = match kind - 10 {
                0 => !j.accepted,
                1 => true,
                _ => j.cancellation_told_at.is_none() && !j.is_over(),
            };
            if is_needed && j.open_requests[usize::from(kind - 10)] == Some(sent) {
                self.schedule(now, SimulationEvent::UserRequest(job, kind - 10));
            }
            return;
        }
        // The user ignores an answer that comes after its timeout, and one to a request sent before the final status was
        // known, since that may be older than the final status.
        let late = now >= sent + if kind == 1 { 2_000 } else { 5_000 };
        let Some(reply) = reply.filter(|_| !late && sent >= j.final_status_at) else { return };
        let open_request = &mut j.open_requests[usize::from(kind)];
        *open_request = open_request.filter(|at| *at != sent);
        self.observation_count += 1;
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or(Value::Null);
        let status = body["status"].as_str().unwrap_or("").to_string();
        match reply.status {
            200 | 201 => {
                let newly_accepted = !j.accepted;
                j.accepted = true;
                j.last_answered_at = now;
                j.accepted_at.get_or_insert(now);
                if let Some(last_status) = &j.last_status
                    && matches!(last_status.as_str(), "done" | "withdrawn")
                    && *last_status != status
                {
                    self.violations
                        .push(format!("went_back: {} from {last_status} to {status}", j.id));
                }
                if status == "withdrawn" {
                    j.cancellation_told_at.get_or_insert(now);
                }
                if status == "done" {
                    let id = j.id.clone();
                    let all_finished = (0..j.task_count())
                        .all(|t| self.cluster.finished_tasks.contains(&format!("{id}/{t}")));
                    if !all_finished {
                        self.violations.push(format!("not_done: {id}"));
                    }
                }
                self.check_reported_cancellation(job, &status);
                let j = &mut self.jobs[job];
                j.last_status = Some(status);
                let newly_over = j.is_over() && j.final_status_at == 0;
                if newly_over {
                    j.final_status_at = now;
                }
                let cancel = j.cancel_at.filter(|_| newly_accepted);
                if newly_accepted {
                    self.schedule(
                        now + self.poll_interval_ms,
                        SimulationEvent::UserRequest(job, 1),
                    );
                    if let Some(at) = cancel {
                        let at = if self.should_cancel_at_once() { now } else { at };
                        self.schedule(at, SimulationEvent::UserRequest(job, 2));
                    }
                } else if kind == 1 && !self.jobs[job].is_over() {
                    self.schedule(
                        now + self.poll_interval_ms,
                        SimulationEvent::UserRequest(job, 1),
                    );
                }
                if newly_accepted || newly_over {
                    self.schedule_consistency_probes(job);
                }
            }
            400 | 404 | 422 if j.accepted => {
                self.violations.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            404 | 400 | 422 if kind == 0 => j.refused_with = Some(reply.status),
            404 | 400 | 422 => {}
            _ => {
                let at = now + self.rng.random_range(1_000..3_000);
                let poll_over = kind == 1 && self.jobs[job].is_over();
                if !poll_over && (kind != 0 || !self.jobs[job].accepted) {
                    self.schedule(at, SimulationEvent::UserRequest(job, kind));
                }
            }
        }
    }
}

/// Panics, with `context`, unless no invariant was violated and every job has the final status that its user expects.
pub fn assert_all_jobs_over(sim: &Simulation, context: &str) {
    assert!(sim.violations.is_empty(), "{context}: {:?}", sim.violations);
    for job in &sim.jobs {
        let last_status = job.last_status.as_deref().unwrap_or("no answer");
        let service = job.text_field("shape") == "service";
        let dependency_cancelled = sim.earliest_cancellation_told(&job.id).is_some();
        let as_expected = match job.cancel_at {
            _ if dependency_cancelled => last_status == "withdrawn",
            Some(_) => job.is_over(),
            None if service => last_status == "running",
            None => last_status == "done",
        };
        assert!(
            as_expected,
            "{context}: {} ended as {last_status}: {}",
            job.id,
            sim.describe_job(&job.id)
        );
    }
}
