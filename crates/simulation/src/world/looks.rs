//! Users who look closely: the same question at all nodes within milliseconds, the submission once more, and
//! requests that are odd. No node may answer what is older than what any node has told before the question.

use super::{Asker, Ev, NODES, Trouble, World, job};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::node::{Ask, Event, Reply};

/// Time within which users look, ms.
const LOOK_WITHIN_MS: u64 = 8;
/// Time that a user waits for an answer to a poll and to anything else, ms (protocol).
const WAITS_MS: [u64; 3] = [5_000, 2_000, 5_000];

impl World {
    fn looks(&self) -> bool {
        self.spelled(|t| (*t == Trouble::CloseLooks).then_some(())).is_some()
    }

    /// Whether a user who will call off does so as soon as the job is accepted.
    pub(super) fn cancels_at_once(&mut self) -> bool {
        self.looks() && self.rng.random_bool(0.25)
    }

    /// A user was told something new: it asks at every node, twice, and repeats the submission.
    pub(super) fn look_closely(&mut self, job: usize) {
        if !self.looks() {
            return;
        }
        for n in 0..NODES {
            for what in [1, 0, 1] {
                let at = self.now + self.rng.random_range(0..LOOK_WITHIN_MS);
                self.at(at, Ev::Look(job, n, what));
            }
        }
    }

    /// A user's question to a node: 0 the submission once more, 1 a poll, 2 a cancellation.
    pub(super) fn look(&mut self, job: usize, n: usize, what: u8) {
        if self.nodes[n].is_none() || self.zone_away(n) {
            return;
        }
        let id = self.jobs[job].id.clone();
        let ask = match what {
            0 => Ask::Submit(rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs")),
            1 => Ask::Poll(id),
            _ => Ask::Cancel(id),
        };
        self.next_request += 1;
        let (request, life) = (self.next_request, self.lives[n]);
        self.askers.insert((n, life, request), Asker::Look(job, what, self.now));
        self.handle(n, life, Event::User(request, ask));
    }

    /// Its answer: no older than what was told before it was asked.
    pub(super) fn look_reply(&mut self, job: usize, what: u8, sent: u64, reply: &Reply) {
        let now = self.now;
        if now >= sent + WAITS_MS[usize::from(what)] {
            return;
        }
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or(Value::Null);
        let status = body["status"].as_str().unwrap_or("").to_string();
        self.version += 1;
        self.count(match reply.status {
            200 | 201 => "look answered",
            _ => "look turned away",
        });
        if matches!(reply.status, 200 | 201) {
            self.look_at_standing(job, &status);
        }
        let all_done = (0..self.jobs[job].tasks())
            .all(|t| self.plant.done.contains(&format!("{}/{t}", self.jobs[job].id)));
        let j = &mut self.jobs[job];
        let known = j.accepted_at.is_some_and(|at| at < sent);
        let over = j.over() && j.final_at < sent;
        let last = j.last.clone().unwrap_or_default();
        let mut broken = Vec::new();
        match reply.status {
            200 | 201 => {
                j.accepted = true;
                j.accepted_at.get_or_insert(now);
                j.answered_at = now;
                if over && status != last {
                    broken.push(format!("went_back: {} from {last} to {status}", j.id));
                }
                if status == "done" && !all_done {
                    broken.push(format!("not_done: {}", j.id));
                }
                if matches!(status.as_str(), "done" | "withdrawn") && !j.over() {
                    if status == "withdrawn" {
                        j.told_cancelled.get_or_insert(now);
                    }
                    (j.last, j.final_at) = (Some(status), now);
                }
            }
            400 | 404 | 422 if known => {
                broken.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            _ => {}
        }
        self.broken.extend(broken);
    }

    // ---- what is odd ----

    /// One of the odd requests, to some node.
    pub(super) fn odd(&mut self) {
        let n = self.rng.random_range(0..NODES);
        if self.nodes[n].is_none() || self.zone_away(n) {
            return;
        }
        let kind = self.rng.random_range(0..4);
        let wanted = |j: &&super::UserJob| match kind {
            0 => j.accepted && !j.over(),
            _ => j.last.as_deref() == Some("done"),
        };
        let picked: Vec<usize> = (0..self.jobs.len()).filter(|j| wanted(&&self.jobs[*j])).collect();
        match kind {
            0 | 1 if picked.is_empty() => {}
            0 | 1 => {
                let job = picked[self.rng.random_range(0..picked.len())];
                self.count(if kind == 0 { "repeated" } else { "cancelled when done" });
                self.look(job, n, [0, 2][kind]);
            }
            _ => {
                self.odd += 1;
                let id = format!("wk-9{:05}", self.odd);
                let mut body = job(&id, "array", "blue", 1, 1.0, 5.0);
                let (what, bad) = match (kind, self.odd % 3) {
                    (2, 0) => ("a task of 10,000 CPUs", ("cpus", Value::from(10_000.0))),
                    (2, 1) => ("an unknown team", ("crew", Value::from("nobody"))),
                    (2, _) => ("an unknown type", ("hulls", Value::from(vec!["none"]))),
                    (_, 0) => ("no shape", ("shape", Value::Null)),
                    (_, 1) => ("no tasks", ("shards", Value::from(0))),
                    (_, _) => ("no team", ("crew", Value::Null)),
                };
                body[bad.0] = bad.1;
                self.count("sent what cannot run");
                self.next_request += 1;
                let (request, life) = (self.next_request, self.lives[n]);
                let asker = Asker::Odd(format!("{id}, {what}"));
                self.askers.insert((n, life, request), asker);
                let ask = Ask::Submit(rmp_serde::to_vec_named(&body).expect("JSON packs"));
                self.handle(n, life, Event::User(request, ask));
            }
        }
    }

    /// What can never run, or lacks a field, is accepted by nobody.
    pub(super) fn odd_reply(&mut self, what: &str, reply: &Reply) {
        match reply.status {
            200 | 201 => self.broken.push(format!("accepted: {what}")),
            400 | 422 => self.count("refused for good"),
            _ => self.count("odd request put off"),
        }
    }
}
