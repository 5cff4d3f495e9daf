//! Users: they submit, poll and cancel, and note what goes against the rules in the answers.

use super::{CONTROLLER_COUNT, Requester, Simulation, SimulationEvent};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::controller::{Controller, Event, Reply, UserRequest};

/// Time between two looks of a user whether the jobs that a next one needs are accepted, ms.
const DEPENDENCY_RETRY_MS: u64 = 100;

/// A job as its user sees it.
pub struct SimulatedJob {
    /// Its id.
    pub id: String,
    /// The submission.
    pub body: Value,
    /// When it is first submitted, ms.
    pub submit_at: u64,
    /// When its user cancels it, ms.
    pub cancel_at: Option<u64>,
    /// Whether its user was told that it is accepted.
    pub accepted: bool,
    /// The status that its user was told last.
    pub last_status: Option<String>,
    /// When its user was told that it is cancelled, ms.
    pub cancellation_told_at: Option<u64>,
    /// When the question of each kind was asked that has no answer yet: a user asks one at a time.
    pub(super) open_requests: [Option<u64>; 3],
    pub(super) final_status_at: u64,
    /// When a question about it was last answered, or it was first submitted.
    pub last_answered_at: u64,
    /// When it was accepted.
    pub accepted_at: Option<u64>,
    /// Its last task was seen to have ended.
    pub(super) has_ended: bool,
    /// Since when it waits beside room that it could use, and how many of its tasks had been placed or done then.
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
    /// The jobs that have to be done before it.
    pub fn dependencies(&self) -> impl Iterator<Item = &str> {
        self.body["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str)
    }
    /// Whether its user was told that it is done or cancelled.
    pub fn is_over(&self) -> bool {
        matches!(self.last_status.as_deref(), Some("done" | "withdrawn"))
    }
}

impl Simulation {
    fn pick_controller(&mut self) -> Option<usize> {
        let reached = |n: &usize| self.controllers[*n].is_some() && !self.is_zone_partitioned(*n);
        let mut up: Vec<usize> = (0..CONTROLLER_COUNT).filter(reached).collect();
        if self.routes_to_healthy {
            let well =
                |n: &usize| self.controllers[*n].as_ref().is_some_and(Controller::is_healthy);
            let able: Vec<usize> = up.iter().copied().filter(well).collect();
            up = if able.is_empty() { up } else { able };
        }
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    /// Counts an answer of 503, and whether another controller could have done better.
    pub(super) fn count_unavailable_answer(&mut self, n: usize, what: u8, reply: &Reply) {
        if reply.status != 503 {
            return;
        }
        let reaches = |m: &usize| {
            let well = self.controllers[*m].as_ref().is_some_and(Controller::is_healthy);
            *m != n && well && !self.is_paused(*m) && !self.is_partitioned(*m, |c| c.store)
        };
        let another = !self.is_store_unavailable() && (0..CONTROLLER_COUNT).any(|m| reaches(&m));
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let why = body["error"].as_str().unwrap_or("").split(';').next().unwrap_or("").to_string();
        *self.unavailable_answers.entry((what, why, another)).or_default() += 1;
    }

    pub(super) fn send_user_request(&mut self, job: usize, what: u8) {
        // A job of a pipeline is submitted as soon as those that it needs are accepted.
        if what == 0 && self.has_unaccepted_dependency(job) {
            return self
                .schedule(self.now + DEPENDENCY_RETRY_MS, SimulationEvent::UserRequest(job, what));
        }
        let Some(n) = self.pick_controller() else {
            return self.schedule(self.now + 1_000, SimulationEvent::UserRequest(job, what));
        };
        let id = self.jobs[job].id.clone();
        let ask = match what {
            0 => UserRequest::Submit(
                rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs"),
            ),
            // As the program's entry does: a second question that was turned away comes first.
            1 if self.rejected_polls[n].take_precedence(&id, self.now) => {
                UserRequest::RetriedPoll(id)
            }
            1 => UserRequest::Poll(id),
            _ => UserRequest::Cancel(id),
        };
        self.jobs[job].open_requests[usize::from(what)] = Some(self.now);
        self.next_request += 1;
        let request = self.next_request;
        let life = self.incarnations[n];
        self.requesters.insert((n, life, request), Requester::User(job, what, self.now, n));
        self.deliver_to_controller(n, life, Event::UserRequest(request, ask));
        // A node that ends answers nobody.
        self.schedule(self.now + 5_000, SimulationEvent::UserReply(job, what + 10, self.now, None));
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn handle_user_reply(
        &mut self,
        job: usize,
        what: u8,
        sent: u64,
        reply: Option<Reply>,
    ) {
        let now = self.now;
        if what == 1 {
            self.check_job_answered(job);
        }
        let j = &mut self.jobs[job];
        // The guard against a silent node: only the first submission or a cancel needs it.
        if what >= 10 {
            let wanted = match what - 10 {
                0 => !j.accepted,
                1 => true,
                _ => j.cancellation_told_at.is_none() && !j.is_over(),
            };
            if wanted && j.open_requests[usize::from(what - 10)] == Some(sent) {
                self.schedule(now, SimulationEvent::UserRequest(job, what - 10));
            }
            return;
        }
        // Its user has given up on a late answer; and an answer to what was asked before the
        // final word came is no later word.
        let late = now >= sent + if what == 1 { 2_000 } else { 5_000 };
        let Some(reply) = reply.filter(|_| !late && sent >= j.final_status_at) else { return };
        let open = &mut j.open_requests[usize::from(what)];
        *open = open.filter(|at| *at != sent);
        self.observation_count += 1;
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or(Value::Null);
        let status = body["status"].as_str().unwrap_or("").to_string();
        match reply.status {
            200 | 201 => {
                let first = !j.accepted;
                j.accepted = true;
                j.last_answered_at = now;
                j.accepted_at.get_or_insert(now);
                if let Some(last) = &j.last_status
                    && matches!(last.as_str(), "done" | "withdrawn")
                    && *last != status
                {
                    self.violations.push(format!("went_back: {} from {last} to {status}", j.id));
                }
                if status == "withdrawn" {
                    j.cancellation_told_at.get_or_insert(now);
                }
                if status == "done" {
                    let id = j.id.clone();
                    let all = (0..j.task_count())
                        .all(|t| self.cluster.finished_tasks.contains(&format!("{id}/{t}")));
                    if !all {
                        self.violations.push(format!("not_done: {id}"));
                    }
                }
                self.check_reported_cancellation(job, &status);
                let j = &mut self.jobs[job];
                j.last_status = Some(status);
                let ends = j.is_over() && j.final_status_at == 0;
                if ends {
                    j.final_status_at = now;
                }
                let cancel = j.cancel_at.filter(|_| first);
                if first {
                    self.schedule(
                        now + self.poll_interval_ms,
                        SimulationEvent::UserRequest(job, 1),
                    );
                    if let Some(at) = cancel {
                        let at = if self.should_cancel_at_once() { now } else { at };
                        self.schedule(at, SimulationEvent::UserRequest(job, 2));
                    }
                } else if what == 1 && !self.jobs[job].is_over() {
                    self.schedule(
                        now + self.poll_interval_ms,
                        SimulationEvent::UserRequest(job, 1),
                    );
                }
                if first || ends {
                    self.schedule_consistency_probes(job);
                }
            }
            400 | 404 | 422 if j.accepted => {
                self.violations.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            404 | 400 | 422 => {}
            _ => {
                let at = now + self.rng.random_range(1_000..3_000);
                let poll_over = what == 1 && self.jobs[job].is_over();
                if !poll_over && (what != 0 || !self.jobs[job].accepted) {
                    self.schedule(at, SimulationEvent::UserRequest(job, what));
                }
            }
        }
    }
}

/// That no rule was broken, and every job has come to the end that its user wants.
pub fn assert_all_jobs_over(world: &Simulation, what: &str) {
    assert!(world.violations.is_empty(), "{what}: {:?}", world.violations);
    for job in &world.jobs {
        let last = job.last_status.as_deref().unwrap_or("no answer");
        let service = job.text_field("shape") == "service";
        let off = world.earliest_cancellation_told(&job.id).is_some();
        let fine = match job.cancel_at {
            _ if off => last == "withdrawn",
            Some(_) => job.is_over(),
            None if service => last == "running",
            None => last == "done",
        };
        assert!(fine, "{what}: {} ended as {last}: {}", job.id, world.describe_job(&job.id));
    }
}
