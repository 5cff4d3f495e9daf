//! Users: they submit, poll and cancel, and note what goes against the rules in the answers.

use super::{Asker, Ev, NODES, World};
use rand::Rng;
use serde_json::Value;
use swiftsail_controller::node::{Ask, Event, Node, Reply};

/// Time between two looks of a user whether the jobs that a next one needs are accepted, ms.
const PIPELINE_MS: u64 = 100;

/// A job as its user sees it.
pub struct UserJob {
    pub id: String,
    pub body: Value,
    pub at: u64,
    pub cancel_at: Option<u64>,
    pub accepted: bool,
    pub last: Option<String>,
    pub told_cancelled: Option<u64>,
    /// When the question of each kind was asked that has no answer yet: a user asks one at a time.
    pub(super) open: [Option<u64>; 3],
    pub(super) final_at: u64,
    /// When a question about it was last answered, or it was first submitted.
    pub answered_at: u64,
    /// When it was accepted.
    pub accepted_at: Option<u64>,
    /// Its last task was seen to have ended.
    pub(super) ended: bool,
    /// Since when it waits beside room that it could use, and how many of its tasks had been placed or done then.
    pub(super) beside_room: Option<(u64, usize)>,
}

impl UserJob {
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or("")
    }
    pub fn number(&self, field: &str) -> f64 {
        self.body[field].as_f64().unwrap_or(0.0)
    }
    pub fn tasks(&self) -> u32 {
        self.body["shards"].as_u64().unwrap_or(0) as u32
    }
    /// The jobs that have to be done before it.
    pub fn awaits(&self) -> impl Iterator<Item = &str> {
        self.body["awaits"].as_array().into_iter().flatten().filter_map(Value::as_str)
    }
    pub fn over(&self) -> bool {
        matches!(self.last.as_deref(), Some("done" | "withdrawn"))
    }
}

impl World {
    fn pick_node(&mut self) -> Option<usize> {
        let reached = |n: &usize| self.nodes[*n].is_some() && !self.zone_away(*n);
        let mut up: Vec<usize> = (0..NODES).filter(reached).collect();
        if self.balanced {
            let well = |n: &usize| self.nodes[*n].as_ref().is_some_and(Node::healthy);
            let able: Vec<usize> = up.iter().copied().filter(well).collect();
            up = if able.is_empty() { up } else { able };
        }
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    /// Counts an answer of 503, and whether another controller could have done better.
    pub(super) fn note_put_off(&mut self, n: usize, what: u8, reply: &Reply) {
        if reply.status != 503 {
            return;
        }
        let reaches = |m: &usize| {
            let well = self.nodes[*m].as_ref().is_some_and(Node::healthy);
            *m != n && well && !self.stands_still(*m) && !self.cut(*m, |c| c.store)
        };
        let another = !self.store_away() && (0..NODES).any(|m| reaches(&m));
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let why = body["error"].as_str().unwrap_or("").split(';').next().unwrap_or("").to_string();
        *self.put_off.entry((what, why, another)).or_default() += 1;
    }

    pub(super) fn user(&mut self, job: usize, what: u8) {
        // A job of a pipeline is submitted as soon as those that it needs are accepted.
        if what == 0 && self.names_unaccepted(job) {
            return self.at(self.now + PIPELINE_MS, Ev::User(job, what));
        }
        let Some(n) = self.pick_node() else {
            return self.at(self.now + 1_000, Ev::User(job, what));
        };
        let id = self.jobs[job].id.clone();
        let ask = match what {
            0 => Ask::Submit(rmp_serde::to_vec_named(&self.jobs[job].body).expect("JSON packs")),
            // As the program's entry does: a second question that was turned away comes first.
            1 if self.turned[n].presses(&id, self.now) => Ask::Press(id),
            1 => Ask::Poll(id),
            _ => Ask::Cancel(id),
        };
        self.jobs[job].open[usize::from(what)] = Some(self.now);
        self.next_request += 1;
        let request = self.next_request;
        let life = self.lives[n];
        self.askers.insert((n, life, request), Asker::User(job, what, self.now, n));
        self.handle(n, life, Event::User(request, ask));
        // A node that ends answers nobody.
        self.at(self.now + 5_000, Ev::UserReply(job, what + 10, self.now, None));
    }

    pub(super) fn user_reply(&mut self, job: usize, what: u8, sent: u64, reply: Option<Reply>) {
        let now = self.now;
        if what == 1 {
            self.look_at_answers(job);
        }
        let j = &mut self.jobs[job];
        // The guard against a silent node: only the first submission or a cancel needs it.
        if what >= 10 {
            let wanted = match what - 10 {
                0 => !j.accepted,
                1 => true,
                _ => j.told_cancelled.is_none() && !j.over(),
            };
            if wanted && j.open[usize::from(what - 10)] == Some(sent) {
                self.at(now, Ev::User(job, what - 10));
            }
            return;
        }
        // Its user has given up on a late answer; and an answer to what was asked before the
        // final word came is no later word.
        let late = now >= sent + if what == 1 { 2_000 } else { 5_000 };
        let Some(reply) = reply.filter(|_| !late && sent >= j.final_at) else { return };
        let open = &mut j.open[usize::from(what)];
        *open = open.filter(|at| *at != sent);
        self.version += 1;
        let body: Value = rmp_serde::from_slice(&reply.body).unwrap_or(Value::Null);
        let status = body["status"].as_str().unwrap_or("").to_string();
        match reply.status {
            200 | 201 => {
                let first = !j.accepted;
                j.accepted = true;
                j.answered_at = now;
                j.accepted_at.get_or_insert(now);
                if let Some(last) = &j.last
                    && matches!(last.as_str(), "done" | "withdrawn")
                    && *last != status
                {
                    self.broken.push(format!("went_back: {} from {last} to {status}", j.id));
                }
                if status == "withdrawn" {
                    j.told_cancelled.get_or_insert(now);
                }
                if status == "done" {
                    let id = j.id.clone();
                    let all =
                        (0..j.tasks()).all(|t| self.plant.done.contains(&format!("{id}/{t}")));
                    if !all {
                        self.broken.push(format!("not_done: {id}"));
                    }
                }
                self.look_at_standing(job, &status);
                let j = &mut self.jobs[job];
                j.last = Some(status);
                let ends = j.over() && j.final_at == 0;
                if ends {
                    j.final_at = now;
                }
                let cancel = j.cancel_at.filter(|_| first);
                if first {
                    self.at(now + self.poll_ms, Ev::User(job, 1));
                    if let Some(at) = cancel {
                        let at = if self.cancels_at_once() { now } else { at };
                        self.at(at, Ev::User(job, 2));
                    }
                } else if what == 1 && !self.jobs[job].over() {
                    self.at(now + self.poll_ms, Ev::User(job, 1));
                }
                if first || ends {
                    self.look_closely(job);
                }
            }
            400 | 404 | 422 if j.accepted => {
                self.broken.push(format!("forgotten: {} got {}", j.id, reply.status));
            }
            404 | 400 | 422 => {}
            _ => {
                let at = now + self.rng.random_range(1_000..3_000);
                let poll_over = what == 1 && self.jobs[job].over();
                if !poll_over && (what != 0 || !self.jobs[job].accepted) {
                    self.at(at, Ev::User(job, what));
                }
            }
        }
    }
}

/// That no rule was broken, and every job has come to the end that its user wants.
pub fn assert_over(world: &World, what: &str) {
    assert!(world.broken.is_empty(), "{what}: {:?}", world.broken);
    for job in &world.jobs {
        let last = job.last.as_deref().unwrap_or("no answer");
        let service = job.text("shape") == "service";
        let off = world.told_before(&job.id).is_some();
        let fine = match job.cancel_at {
            _ if off => last == "withdrawn",
            Some(_) => job.over(),
            None if service => last == "running",
            None => last == "done",
        };
        assert!(fine, "{what}: {} ended as {last}: {}", job.id, world.held(&job.id));
    }
}
