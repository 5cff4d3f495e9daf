//! Users' requests. Every answer about a job that is not over comes from a read of the store that
//! began after the request came; identical reads are merged.

use super::mirror::Shown;
use super::{Action, Ask, Node, Purpose, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use std::collections::HashMap;
use swiftsail_protocol::state::{Change, Commit, When};
use swiftsail_protocol::users::{JobAnswer, Problem, Status, read_submission, valid_id};

/// What to do once a job's record is known.
#[derive(Debug)]
enum Intent {
    /// Tell its state.
    Poll {
        /// One about the same job was turned away.
        pressing: bool,
    },
    /// Tell its state if it is known, else give this answer.
    Known(Reply),
    /// Tell its state if it is known, else accept it.
    Create(Box<JobRecord>),
    /// Cancel it.
    Cancel {
        /// Conflicts so far.
        tries: u32,
    },
}

#[derive(Debug)]
pub(super) struct Waiter {
    pub request: RequestId,
    intent: Intent,
}

impl Waiter {
    /// Whether it gives way to a poll that was turned away before.
    pub fn gives_way(&self) -> bool {
        matches!(self.intent, Intent::Poll { pressing: false })
    }

    /// Whether it is a submission.
    pub fn creates(&self) -> bool {
        matches!(self.intent, Intent::Create(_))
    }
}

#[derive(Debug, Default)]
struct Reading {
    /// Whom the read under way serves.
    current: Vec<Waiter>,
    /// Who came later and needs a fresh one.
    next: Vec<Waiter>,
}

/// An answer that a job is cancelled, which waits until enough controllers hold it.
#[derive(Debug)]
struct Untold {
    job: JobId,
    /// Where it was committed or read.
    revision: u64,
    request: RequestId,
    counts: Option<(u32, u32)>,
    until: Time,
}

impl Untold {
    fn new(job: &JobId, revision: u64, request: RequestId, counts: Option<(u32, u32)>) -> Untold {
        Untold { job: job.clone(), revision, request, counts, until: 0 }
    }
}

/// Requests that wait for the store.
#[derive(Debug, Default)]
pub struct Requests {
    reads: HashMap<JobId, Reading>,
    cancels: HashMap<JobId, Vec<(RequestId, u32)>>,
    untold: Vec<Untold>,
}

fn answer(id: &str, status: Status, counts: Option<(u32, u32)>) -> JobAnswer {
    JobAnswer {
        name_id: id.to_string(),
        status,
        done: counts.map(|c| c.0),
        running: counts.map(|c| c.1),
    }
}

pub(super) fn problem(status: u16, error: String) -> Reply {
    Reply::new(status, &Problem { error })
}

impl Node {
    pub(super) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.answer(request, reply);
    }

    pub(super) fn on_user(&mut self, request: RequestId, ask: Ask) {
        match ask {
            Ask::Health => {
                let reply = if self.healthy() {
                    Reply::new(200, &())
                } else {
                    Reply::later("this node is without the state service")
                };
                self.reply(request, reply);
            }
            Ask::Submit(body) => self.on_submit(request, &body),
            Ask::Poll(id) => self.on_known(request, &id, Intent::Poll { pressing: false }),
            Ask::Press(id) => self.on_known(request, &id, Intent::Poll { pressing: true }),
            Ask::Cancel(id) => self.on_known(request, &id, Intent::Cancel { tries: 0 }),
        }
    }

    fn on_known(&mut self, request: RequestId, id: &str, intent: Intent) {
        if !valid_id(id) {
            self.reply(request, unknown(id));
            return;
        }
        let id = JobId::from(id);
        if let Some(record) = self.finals.get(&id).copied() {
            self.reply(request, final_reply(&id, &record));
            return;
        }
        let waiter = Waiter { request, intent };
        let Intent::Poll { pressing } = waiter.intent else {
            return self.read_job(&id, waiter);
        };
        if !self.mirror.serves() {
            return self.read_job(&id, waiter);
        }
        let full = self.mirrored() >= self.budget.polls;
        if self.store.away() || full && !(pressing && self.make_room_for_poll()) {
            return self.reply(request, Reply::later("the state service does not answer"));
        }
        self.ask_mirror(id, waiter);
    }

    fn on_submit(&mut self, request: RequestId, body: &[u8]) {
        let submission = match read_submission(body) {
            Ok(it) => it,
            Err(e) => return self.reply(request, problem(400, e.to_string())),
        };
        let id = submission.id;
        if let Some(record) = self.finals.get(&id).copied() {
            return self.reply(request, final_reply(&id, &record));
        }
        // A known job is answered from its record, whatever this body says.
        let refusal = match &submission.spec {
            Err(e) => Some(problem(400, e.to_string())),
            Ok(spec) => self.judge(spec).or_else(|| self.advised(&id, spec)),
        };
        if let Some(reply) = refusal {
            return self.look_up(id, Waiter { request, intent: Intent::Known(reply) });
        }
        let Ok(spec) = submission.spec else { return };
        if self.mirror.knows(&id) {
            let intent = Intent::Known(Reply::later("the job's record is being written"));
            return self.look_up(id, Waiter { request, intent });
        }
        if !submission.awaits.is_empty() && !self.rollout.raised() {
            self.want_form();
            let intent =
                Intent::Known(Reply::later("a controller of an earlier version still serves"));
            return self.look_up(id, Waiter { request, intent });
        }
        let calls = self.budget.calls.saturating_sub(self.mirror.creations());
        if self.store.away() || !self.store.has_room(calls) {
            return self.reply(request, Reply::later("the state service does not answer"));
        }
        let record = Box::new(JobRecord {
            cancelled: false,
            cancelled_wall: 0,
            awaits: submission.awaits,
            accepted_wall: self.now.wall,
            chunk_tasks: self.chunk_tasks(),
            nonce: 0,
            tier: self.accepts_as(&id, &spec),
            spec,
        });
        // A repeat takes a change for nothing, as many as what is new. Where it would have to wait for its turn, a
        // read that serves all who wait tells the one from the other.
        // What awaits others is looked up in any case: the same read tells what has become of those.
        let waits = !record.awaits.is_empty() || self.store.changes_wait(self.now.steady);
        if waits && self.mirror.serves() && self.mirrored() < self.budget.polls {
            return self.ask_mirror(id, Waiter { request, intent: Intent::Create(record) });
        }
        self.accept(&id, request, record, false);
    }

    /// Accepts a job, unless it is known, or awaits one that is not. `kept`: the reading of what has changed is not older
    /// than the question.
    fn accept(&mut self, id: &JobId, request: RequestId, record: Box<JobRecord>, kept: bool) {
        match record.awaits.is_empty() {
            true => self.create(id, request, &record, Status::Pending),
            false => self.accept_after(id, request, record, kept),
        }
    }

    /// Accepts a job, unless it is known. `status`: what its user is told then.
    pub(super) fn create(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: &JobRecord,
        status: Status,
    ) {
        let commit = Commit {
            when: vec![
                When { key: keys::job(id), stamp: 0 },
                When { key: keys::end(id), stamp: 0 },
            ],
            apply: vec![super::chunks::put(keys::job(id), record)],
        };
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        let purpose = Purpose::Create { request, job: id.clone(), status };
        self.store.push(Call::Commit(commit), purpose, Urgency::Bind, Patience::Once(until));
    }

    /// Tells what is known of a job with the next read of what has changed, or by its own key.
    fn look_up(&mut self, id: JobId, waiter: Waiter) {
        if self.mirror.serves() && !self.store.away() && self.mirrored() < self.budget.polls {
            return self.ask_mirror(id, waiter);
        }
        self.read_job(&id, waiter);
    }

    /// A read of what has changed shows no such job: over and moved, or never accepted.
    pub(super) fn not_live(&mut self, id: &JobId, waiter: Waiter) {
        match waiter.intent {
            Intent::Create(record) => self.accept(id, waiter.request, record, true),
            _ => self.read_final(id, waiter),
        }
    }

    /// What speaks against a job, if anything.
    fn judge(&self, spec: &Spec) -> Option<Reply> {
        let Some(team) = self.settings.team(&spec.team) else {
            let error = format!("team `{}` is unknown; name one of the settings", spec.team);
            return Some(problem(422, error));
        };
        let Some(types) = &self.types else {
            return Some(Reply::later("the machine types are not known yet"));
        };
        if !types.iter().any(|t| t.allows(spec)) {
            let error = "a task fits no allowed machine type; ask for less or allow more types";
            return Some(problem(422, error.into()));
        }
        let count = if spec.kind == Kind::Array { 1.0 } else { f64::from(spec.tasks) };
        let over = |limit: f64, each: f64| limit > 0.0 && each * count > limit + SLACK;
        if over(team.cpus_max, spec.cpus) || over(team.gpus_max, spec.gpus) {
            let error = format!("the job needs more than the limit of team `{}`", spec.team);
            return Some(problem(422, error));
        }
        None
    }

    pub(super) fn read_job(&mut self, id: &JobId, waiter: Waiter) {
        if let Intent::Create(record) = waiter.intent {
            return self.accept(id, waiter.request, record, false);
        }
        if self.store.away() || !self.store.has_room(self.budget.calls) {
            let reply = Reply::later("the state service does not answer");
            return self.reply(waiter.request, reply);
        }
        match self.requests.reads.get_mut(id) {
            Some(reading) => reading.next.push(waiter),
            None => {
                let reading = Reading { current: vec![waiter], next: Vec::new() };
                self.requests.reads.insert(id.clone(), reading);
                self.start_read(id);
            }
        }
    }

    /// Tells what a job's key shows.
    pub(super) fn tell_shown(&mut self, id: &JobId, shown: Shown, waiter: Waiter) {
        match shown {
            Shown::Over(record) => {
                self.remember_final(id, record);
                self.reply(waiter.request, final_reply(id, &record));
            }
            Shown::Cancelled(revision, wall) => {
                let counts = self.counts_of(id);
                let told = Untold::new(id, revision, waiter.request, Some(counts));
                self.tell_cancelled(told, wall);
            }
            Shown::Live => match self.mirror.awaits(id) {
                None => self.tell_live(id, waiter),
                Some(awaits) => self.answer_after(id, &awaits, waiter, true),
            },
            Shown::Unread => self.read_job(id, waiter),
        }
    }

    /// Tells of a job that is neither over nor cancelled nor called off.
    pub(super) fn tell_live(&mut self, id: &JobId, waiter: Waiter) {
        let counts = self.counts_of(id);
        let status = if counts.1 > 0 { Status::Running } else { Status::Pending };
        self.reply(waiter.request, Reply::new(200, &answer(id, status, Some(counts))));
    }

    /// Tells of a job that is called off with one before it. Nothing of it has ever run, nor will: no controller has to
    /// know more than the records say.
    pub(super) fn tell_called_off(&mut self, id: &JobId, waiter: Waiter) {
        let reply = Reply::new(200, &answer(id, Status::Cancelled, Some((0, 0))));
        self.reply(waiter.request, reply);
    }

    /// A submission is refused, unless its job is known: then it is a repeat.
    pub(super) fn refuse_unless_known(&mut self, id: JobId, request: RequestId, refusal: Reply) {
        self.look_up(id, Waiter { request, intent: Intent::Known(refusal) });
    }

    /// A job's key was read and is not there: its final record tells.
    pub(super) fn read_final(&mut self, id: &JobId, waiter: Waiter) {
        match self.requests.reads.get_mut(id) {
            // A read of its key is under way; what it finds may be older than the question.
            Some(reading) => reading.next.push(waiter),
            None => {
                let reading = Reading { current: vec![waiter], next: Vec::new() };
                self.requests.reads.insert(id.clone(), reading);
                self.start_final(id.clone());
            }
        }
    }

    fn start_final(&mut self, id: JobId) {
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        let call = Call::Get(keys::end(&id));
        let purpose = Purpose::ReadFinal(id);
        self.store.push(call, purpose, Urgency::Work, Patience::Once(until));
    }

    fn start_read(&mut self, id: &JobId) {
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        let call = Call::Get(keys::job(id));
        self.store.push(call, Purpose::ReadJob(id.clone()), Urgency::Work, Patience::Once(until));
    }

    pub(super) fn on_user_store(&mut self, end: Finished<Purpose>) {
        match end.purpose {
            Purpose::Create { request, job, status } => match end.outcome {
                Outcome::Committed(_) => {
                    tracing::info!(job = %job, "job accepted");
                    let reply = Reply::new(201, &answer(&job, status, None));
                    self.reply(request, reply);
                }
                Outcome::Conflict(_) => {
                    let otherwise = Reply::later("the job's record is being written");
                    self.look_up(job, Waiter { request, intent: Intent::Known(otherwise) });
                }
                // It may be accepted or not: a read tells, or the user's retry finds out.
                Outcome::Unknown => {
                    let otherwise = Reply::later("the state service did not confirm");
                    self.read_job(&job, Waiter { request, intent: Intent::Known(otherwise) });
                }
                // Too large for the state service, now and ever; but a known job is answered from its record.
                Outcome::Malformed(_) => {
                    let refusal = problem(
                        400,
                        "the job is too large; name fewer types, or fewer jobs that it awaits"
                            .into(),
                    );
                    self.look_up(job, Waiter { request, intent: Intent::Known(refusal) });
                }
                _ => self.reply(request, Reply::later("the state service did not confirm")),
            },
            Purpose::ReadJob(id) => match end.outcome {
                Outcome::Found(pair) => match StoredJob::read(&pair.value) {
                    Some(StoredJob::Live(record)) => self.on_live(&id, *record, pair.stamp),
                    Some(StoredJob::Over(record)) => self.on_over(&id, record),
                    None => self.on_unread(&id),
                },
                // Not live: over, or never accepted. A job goes from the one key to the other in
                // one transaction and never back, so this order of reads misses none.
                Outcome::Missing { .. } => self.start_final(id),
                _ => self.on_unread(&id),
            },
            Purpose::ReadFinal(id) => match end.outcome {
                Outcome::Found(pair) => match serde_json::from_value::<FinalRecord>(pair.value) {
                    Ok(record) => self.on_over(&id, record),
                    Err(_) => self.on_unread(&id),
                },
                Outcome::Missing { .. } => {
                    for waiter in self.read_over(&id) {
                        let reply = match waiter.intent {
                            Intent::Known(otherwise) => otherwise,
                            _ => unknown(&id),
                        };
                        self.reply(waiter.request, reply);
                    }
                }
                _ => self.on_unread(&id),
            },
            Purpose::Cancel(id, wall) => {
                let waiting = self.requests.cancels.remove(&id).unwrap_or_default();
                for (request, tries) in waiting {
                    match end.outcome {
                        Outcome::Committed(revision) => {
                            self.tell_cancelled(Untold::new(&id, revision, request, None), wall);
                        }
                        Outcome::Conflict(_) if tries < CANCEL_TRIES => {
                            let intent = Intent::Cancel { tries: tries + 1 };
                            self.read_job(&id, Waiter { request, intent });
                        }
                        // Committed or not: a read tells, and there is time to try once more.
                        Outcome::Unknown if tries < CANCEL_TRIES => {
                            let intent = Intent::Cancel { tries: CANCEL_TRIES };
                            self.read_job(&id, Waiter { request, intent });
                        }
                        _ => self.reply(request, Reply::later("the state service did not confirm")),
                    }
                }
            }
            _ => {}
        }
    }

    /// Tells a user that a job is cancelled, as soon as enough controllers hold it: a leader that the state
    /// service refuses learns it from them (`term::Held`). Every such answer goes this way but those about jobs
    /// that are over, of which nothing is left on any machine.
    fn tell_cancelled(&mut self, told: Untold, wall: u64) {
        self.held.hold(&told.job, told.revision, wall);
        match &mut self.leader {
            Some(leader) => {
                leader.cancelled_elsewhere(&told.job, wall, self.now.steady, self.now.wall);
            }
            None => self.owe(&told.job, wall),
        }
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        self.requests.untold.push(Untold { until, ..told });
    }

    /// Answers those whose cancellation enough controllers hold by now, and hurries the others on.
    pub(super) fn confirm(&mut self) {
        if self.requests.untold.is_empty() {
            return;
        }
        let (now, all) = (self.now.steady, self.settings.controllers());
        let mut hurry = false;
        for told in std::mem::take(&mut self.requests.untold) {
            if self.held.enough(&told.job, told.revision, all) {
                let reply = Reply::new(200, &answer(&told.job, Status::Cancelled, told.counts));
                self.reply(told.request, reply);
            } else if now >= told.until {
                // Committed it may be; a repeat is answered by what is read then.
                self.reply(told.request, Reply::later("too few controllers are heard"));
            } else {
                hurry |= self.held.uncarried(&told.job);
                self.requests.untold.push(told);
            }
        }
        if hurry && now >= self.hurried_at + BEAT_HURRY_MS {
            self.hurried_at = now;
            let beat = self.beat(true);
            self.actions.push(Action::Beat(beat));
        }
    }

    /// Ends a read: gives those it served, and begins the next for those who came later.
    fn read_over(&mut self, id: &JobId) -> Vec<Waiter> {
        let Some(reading) = self.requests.reads.get_mut(id) else { return Vec::new() };
        let served = std::mem::take(&mut reading.current);
        if reading.next.is_empty() {
            self.requests.reads.remove(id);
        } else {
            reading.current = std::mem::take(&mut reading.next);
            self.start_read(id);
        }
        served
    }

    fn on_over(&mut self, id: &JobId, record: FinalRecord) {
        self.remember_final(id, record);
        for waiter in self.read_over(id) {
            self.reply(waiter.request, final_reply(id, &record));
        }
    }

    fn on_unread(&mut self, id: &JobId) {
        for waiter in self.read_over(id) {
            self.reply(waiter.request, Reply::later("the state service does not answer"));
        }
    }

    fn on_live(&mut self, id: &JobId, record: JobRecord, stamp: u64) {
        let counts = self.counts_of(id);
        let mut cancels = Vec::new();
        for waiter in self.read_over(id) {
            match waiter.intent {
                Intent::Cancel { tries } if !record.cancelled => {
                    cancels.push((waiter.request, tries));
                }
                _ if record.cancelled => {
                    let told = Untold::new(id, stamp, waiter.request, Some(counts));
                    self.tell_cancelled(told, record.cancelled_wall);
                }
                _ if record.awaits.is_empty() => self.tell_live(id, waiter),
                _ => self.answer_after(id, &record.awaits, waiter, false),
            }
        }
        if cancels.is_empty() {
            return;
        }
        if let Some(waiting) = self.requests.cancels.get_mut(id) {
            // The cancellation under way serves these too.
            waiting.extend(cancels);
            return;
        }
        self.requests.cancels.insert(id.clone(), cancels);
        let cancelled = JobRecord { cancelled: true, cancelled_wall: self.now.wall, ..record };
        let commit = Commit {
            when: vec![When { key: keys::job(id), stamp }],
            apply: vec![Change::Write {
                write: keys::job(id),
                value: serde_json::to_value(&cancelled).unwrap_or_default(),
                mooring: None,
            }],
        };
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        let purpose = Purpose::Cancel(id.clone(), cancelled.cancelled_wall);
        self.store.push(Call::Commit(commit), purpose, Urgency::Bind, Patience::Once(until));
    }
}

fn unknown(id: &str) -> Reply {
    let shown: String = id.chars().take(80).collect();
    problem(404, format!("job `{shown}` is unknown; check its id"))
}

fn final_reply(id: &JobId, record: &FinalRecord) -> Reply {
    let status = match record.ending {
        Ending::Done => Status::Done,
        Ending::Cancelled => Status::Cancelled,
    };
    Reply::new(200, &answer(id, status, Some((record.done, 0))))
}
