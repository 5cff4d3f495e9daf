//! Users who look closely: the same question at all nodes within milliseconds, the submission once more, and
//! requests that are odd. No node may answer what is older than what any node has told before the question.

use super::{CONTROLLER_COUNT, Fault, Requester, Simulation, SimulationEvent, job_body};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::controller::{Event, Reply, UserRequest};

/// Time within which users look, ms.
const PROBE_WITHIN_MS: u64 = 8;
/// Time that a user waits for an answer to a poll and to anything else, ms (protocol).
const ANSWER_TIMEOUTS_MS: [u64; 3] = [5_000, 2_000, 5_000];

impl Simulation {
    fn probes_consistency(&self) -> bool {
        self.active_fault_value(|t| (*t == Fault::ConsistencyProbes).then_some(())).is_some()
    }

    /// Whether a user who will call off does so as soon as the job is accepted.
    pub(super) fn should_cancel_at_once(&mut self) -> bool {
        self.probes_consistency() && self.rng.random_bool(0.25)
    }

    /// A user was told something new: it asks at every node, twice, and repeats the submission.
    pub(super) fn schedule_consistency_probes(&mut self, job: usize) {
        if !self.probes_consistency() {
            return;
        }
        for n in 0..CONTROLLER_COUNT {
            for what in [1, 0, 1] {
                let at = self.now + self.rng.random_range(0..PROBE_WITHIN_MS);
                self.schedule(at, SimulationEvent::ProbeConsistency(job, n, what));
            }
        }
    }

    /// A user's question to a node: 0 the submission once more, 1 a poll, 2 a cancellation.
    pub(super) fn send_consistency_probe(&mut self, job: usize, n: usize, what: u8) {
        if self.controllers[n].is_none() || self.is_zone_partitioned(n) {
            return;
        }
        let id = self.jobs[job].id.clone();
        let ask = match what {
            0 => UserRequest::Submit(
                rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs"),
            ),
            1 => UserRequest::Poll(id),
            _ => UserRequest::Cancel(id),
        };
        self.next_request += 1;
        let (request, life) = (self.next_request, self.incarnations[n]);
        self.requesters
            .insert((n, life, request), Requester::ConsistencyProbe(job, what, self.now));
        self.deliver_to_controller(n, life, Event::UserRequest(request, ask));
    }

    /// Its answer: no older than what was told before it was asked.
    pub(super) fn check_probe_reply(&mut self, job: usize, what: u8, sent: u64, reply: &Reply) {
        let now = self.now;
        if now >= sent + ANSWER_TIMEOUTS_MS[usize::from(what)] {
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
        let all_done = (0..self.jobs[job].task_count())
            .all(|t| self.cluster.finished_tasks.contains(&format!("{}/{t}", self.jobs[job].id)));
        let j = &mut self.jobs[job];
        let known = j.accepted_at.is_some_and(|at| at < sent);
        let over = j.is_over() && j.final_status_at < sent;
        let last = j.last_status.clone().unwrap_or_default();
        let mut broken = Vec::new();
        match reply.status {
            200 | 201 => {
                j.accepted = true;
                j.accepted_at.get_or_insert(now);
                j.last_answered_at = now;
                if over && status != last {
                    broken.push(format!("went_back: {} from {last} to {status}", j.id));
                }
                if status == "done" && !all_done {
                    broken.push(format!("not_done: {}", j.id));
                }
                if matches!(status.as_str(), "done" | "withdrawn") && !j.is_over() {
                    if status == "withdrawn" {
                        j.cancellation_told_at.get_or_insert(now);
                    }
                    (j.last_status, j.final_status_at) = (Some(status), now);
                }
            }
            400 | 404 | 422 if known => {
                broken.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            _ => {}
        }
        self.violations.extend(broken);
    }

    // ---- what is odd ----

    /// One of the odd requests, to some node.
    pub(super) fn send_unusual_request(&mut self) {
        let n = self.rng.random_range(0..CONTROLLER_COUNT);
        if self.controllers[n].is_none() || self.is_zone_partitioned(n) {
            return;
        }
        let kind = self.rng.random_range(0..4);
        let wanted = |j: &&super::SimulatedJob| match kind {
            0 => j.accepted && !j.is_over(),
            _ => j.last_status.as_deref() == Some("done"),
        };
        let picked: Vec<usize> = (0..self.jobs.len()).filter(|j| wanted(&&self.jobs[*j])).collect();
        match kind {
            0 | 1 if picked.is_empty() => {}
            0 | 1 => {
                let job = picked[self.rng.random_range(0..picked.len())];
                self.count_fault(if kind == 0 { "repeated" } else { "cancelled when done" });
                self.send_consistency_probe(job, n, [0, 2][kind]);
            }
            _ => {
                self.unusual_requests_sent += 1;
                let id = format!("wk-9{:05}", self.unusual_requests_sent);
                let mut body = job_body(&id, "array", "blue", 1, 1.0, 5.0);
                let (what, bad) = match (kind, self.unusual_requests_sent % 3) {
                    (2, 0) => ("a task of 10,000 CPUs", ("cpus", Value::from(10_000.0))),
                    (2, 1) => ("an unknown team", ("crew", Value::from("nobody"))),
                    (2, _) => ("an unknown type", ("hulls", Value::from(vec!["none"]))),
                    (_, 0) => ("no shape", ("shape", Value::Null)),
                    (_, 1) => ("no tasks", ("shards", Value::from(0))),
                    (_, _) => ("no team", ("crew", Value::Null)),
                };
                body[bad.0] = bad.1;
                self.count_fault("sent what cannot run");
                self.next_request += 1;
                let (request, life) = (self.next_request, self.incarnations[n]);
                let asker = Requester::UnusualRequest(format!("{id}, {what}"));
                self.requesters.insert((n, life, request), asker);
                let ask = UserRequest::Submit(rmp_serde::to_vec_named(&body).expect("JSON packs"));
                self.deliver_to_controller(n, life, Event::UserRequest(request, ask));
            }
        }
    }

    /// What can never run, or lacks a field, is accepted by nobody.
    pub(super) fn check_unusual_reply(&mut self, what: &str, reply: &Reply) {
        match reply.status {
            200 | 201 => self.violations.push(format!("accepted: {what}")),
            400 | 422 => self.count_fault("refused for good"),
            _ => self.count_fault("odd request put off"),
        }
    }
}
