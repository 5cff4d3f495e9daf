//! Users who probe consistency: they poll all controllers within milliseconds, repeat submissions, and send unusual
//! requests. No controller may give an answer older than one that any controller gave before the request was sent.

use super::{CONTROLLER_COUNT, Fault, Requester, Simulation, SimulationEvent, job_body};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::controller::{Event, Reply, UserRequest};

/// Time within which the probes after an answer are sent, ms.
const PROBE_WITHIN_MS: u64 = 8;
/// A user's timeout for the answer to a submission, a poll and a cancellation, ms (protocol).
const ANSWER_TIMEOUTS_MS: [u64; 3] = [5_000, 2_000, 5_000];

impl Simulation {
    fn probes_consistency(&self) -> bool {
        self.active_fault_value(|t| (*t == Fault::ConsistencyProbes).then_some(())).is_some()
    }

    /// Decides at random whether a user who will cancel a job does so as soon as it is accepted.
    pub(super) fn should_cancel_at_once(&mut self) -> bool {
        self.probes_consistency() && self.rng.random_bool(0.25)
    }

    /// After a user learned something new about a job: polls it twice at every controller and repeats the submission.
    pub(super) fn schedule_consistency_probes(&mut self, job: usize) {
        if !self.probes_consistency() {
            return;
        }
        for n in 0..CONTROLLER_COUNT {
            for kind in [1, 0, 1] {
                let at = self.now + self.rng.random_range(0..PROBE_WITHIN_MS);
                self.schedule(at, SimulationEvent::ProbeConsistency(job, n, kind));
            }
        }
    }

    /// Sends a probe to a controller: 0 repeats the submission, 1 polls the job, 2 cancels it.
    pub(super) fn send_consistency_probe(&mut self, job: usize, n: usize, kind: u8) {
        if self.controllers[n].is_none() || self.is_zone_partitioned(n) {
            return;
        }
        let id = self.jobs[job].id.clone();
        let user_request = match kind {
            0 => UserRequest::Submit(
                rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs"),
            ),
            1 => UserRequest::Poll(id),
            _ => UserRequest::Cancel(id),
        };
        self.next_request += 1;
        let (request, incarnation) = (self.next_request, self.incarnations[n]);
        self.requesters
            .insert((n, incarnation, request), Requester::ConsistencyProbe(job, kind, self.now));
        self.deliver_to_controller(n, incarnation, Event::UserRequest(request, user_request));
    }

    /// Checks the answer to a probe: it must not be older than what users knew when the probe was sent at `sent`. Ignores
    /// an answer after the user's timeout.
    pub(super) fn check_probe_reply(&mut self, job: usize, kind: u8, sent: u64, reply: &Reply) {
        let now = self.now;
        if now >= sent + ANSWER_TIMEOUTS_MS[usize::from(kind)] {
            return;
        }
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or(Value::Null);
        let status = body["status"].as_str().unwrap_or("").to_string();
        self.observation_count += 1;
        self.count_fault(match reply.status {
            200 | 201 => "look answered",
            _ => "look turned away",
        });
        if matches!(reply.status, 200 | 201) {
            self.check_reported_cancellation(job, &status);
        }
        let all_finished = (0..self.jobs[job].task_count())
            .all(|t| self.cluster.finished_tasks.contains(&format!("{}/{t}", self.jobs[job].id)));
        let j = &mut self.jobs[job];
        let was_accepted = j.accepted_at.is_some_and(|at| at < sent);
        let was_over = j.is_over() && j.final_status_at < sent;
        let last_status = j.last_status.clone().unwrap_or_default();
        let mut found = Vec::new();
        match reply.status {
            200 | 201 => {
                j.accepted = true;
                j.accepted_at.get_or_insert(now);
                j.last_answered_at = now;
                if was_over && status != last_status {
                    found.push(format!("went_back: {} from {last_status} to {status}", j.id));
                }
                if status == "done" && !all_finished {
                    found.push(format!("not_done: {}", j.id));
                }
                if matches!(status.as_str(), "done" | "withdrawn") && !j.is_over() {
                    if status == "withdrawn" {
                        j.cancellation_told_at.get_or_insert(now);
                    }
                    (j.last_status, j.final_status_at) = (Some(status), now);
                }
            }
            400 | 404 | 422 if was_accepted => {
                found.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            _ => {}
        }
        self.violations.extend(found);
    }

    // ---- unusual requests ----

    /// Sends an unusual request to a random controller: a repeated submission, the cancellation of a job that is done, or
    /// a submission that can never run or is malformed.
    pub(super) fn send_unusual_request(&mut self) {
        let n = self.rng.random_range(0..CONTROLLER_COUNT);
        if self.controllers[n].is_none() || self.is_zone_partitioned(n) {
            return;
        }
        let kind = self.rng.random_range(0..4);
        let is_candidate = |j: &&super::SimulatedJob| match kind {
            0 => j.accepted && !j.is_over(),
            _ => j.last_status.as_deref() == Some("done"),
        };
        let candidates: Vec<usize> =
            (0..self.jobs.len()).filter(|j| is_candidate(&&self.jobs[*j])).collect();
        match kind {
            0 | 1 if candidates.is_empty() => {}
            0 | 1 => {
                let job = candidates[self.rng.random_range(0..candidates.len())];
                self.count_fault(if kind == 0 { "repeated" } else { "cancelled when done" });
                self.send_consistency_probe(job, n, [0, 2][kind]);
            }
            _ => {
                self.unusual_requests_sent += 1;
                let id = format!("wk-9{:05}", self.unusual_requests_sent);
                let mut body = job_body(&id, "array", "blue", 1, 1.0, 5.0);
                let (description, field) = match (kind, self.unusual_requests_sent % 3) {
                    (2, 0) => ("a task of 10,000 CPUs", ("cpus", Value::from(10_000.0))),
                    (2, 1) => ("an unknown team", ("crew", Value::from("nobody"))),
                    (2, _) => ("an unknown type", ("hulls", Value::from(vec!["none"]))),
                    (_, 0) => ("no shape", ("shape", Value::Null)),
                    (_, 1) => ("no tasks", ("shards", Value::from(0))),
                    (_, _) => ("no team", ("crew", Value::Null)),
                };
                body[field.0] = field.1;
                self.count_fault("sent what cannot run");
                self.next_request += 1;
                let (request, incarnation) = (self.next_request, self.incarnations[n]);
                let requester = Requester::UnusualRequest(format!("{id}, {description}"));
                self.requesters.insert((n, incarnation, request), requester);
                let user_request =
                    UserRequest::Submit(rmp_serde::to_vec_named(&body).expect("JSON packs"));
                self.deliver_to_controller(
                    n,
                    incarnation,
                    Event::UserRequest(request, user_request),
                );
            }
        }
    }

    /// Checks the answer to a submission that can never run or is malformed: no controller may accept it.
    pub(super) fn check_unusual_reply(&mut self, description: &str, reply: &Reply) {
        match reply.status {
            200 | 201 => self.violations.push(format!("accepted: {description}")),
            400 | 422 => self.count_fault("refused for good"),
            _ => self.count_fault("odd request put off"),
        }
    }
}
