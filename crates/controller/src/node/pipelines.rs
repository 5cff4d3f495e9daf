//! Jobs that await others: accepted once those are known, and answered about by what comes before them. Whether such a
//! job is called off follows from the records before it, so any controller can tell, by reads of its own that began
//! after the question; the leader writes the end down later.

use super::requests::Waiter;
use super::{Node, Purpose, Reply, RequestId};
use crate::constants::*;
use crate::job::{FinalRecord, JobId, JobRecord, StoredJob, keys};
use crate::store::{Call, Outcome, Patience, Urgency};
use crate::tables::Tables;
use std::collections::HashMap;
use swiftsail_dag::{Fate, Seen, Verdict, Walk};
use swiftsail_protocol::users::{Status, valid_id};

/// Whom a walk serves.
#[derive(Debug)]
enum Asker {
    /// A submission, whose job is accepted if those that it awaits are known.
    Accept(RequestId, Box<JobRecord>),
    /// Somebody who asks about a job that was read and found neither over nor cancelled.
    Answer(Waiter),
}

#[derive(Debug)]
struct Walker {
    job: JobId,
    walk: Walk,
    asker: Asker,
    /// The question waited for the reading of what has changed that is kept: it tells what is open, too. Else only what
    /// is final may be taken from it, for it may be older than the question.
    kept: bool,
}

/// Questions under way.
#[derive(Debug, Default)]
pub(super) struct Walks {
    open: HashMap<u64, Walker>,
    next: u64,
}

impl Node {
    /// A job that awaits others is submitted, and not known so far. Those must have been accepted, by whomever.
    pub(super) fn accept_after(
        &mut self,
        id: &JobId,
        request: RequestId,
        record: Box<JobRecord>,
        kept: bool,
    ) {
        let walk = Walk::new(&record.awaits);
        self.walk(Walker { job: id.clone(), walk, asker: Asker::Accept(request, record), kept });
    }

    /// Somebody asks about a job that awaits others, and that a read begun since has found to be open: the one of what is
    /// `kept`, or one of its own.
    pub(super) fn answer_after(
        &mut self,
        id: &JobId,
        awaits: &[JobId],
        waiter: Waiter,
        kept: bool,
    ) {
        let (walk, asker) = (Walk::new(awaits), Asker::Answer(waiter));
        self.walk(Walker { job: id.clone(), walk, asker, kept });
    }

    /// Goes on with a question, as far as what is known answers it; then a job is read.
    fn walk(&mut self, mut walker: Walker) {
        while let Some(id) = walker.walk.next().cloned() {
            let seen =
                if valid_id(&id) { self.seen_here(&id, walker.kept) } else { Some(Seen::Never) };
            match seen {
                Some(seen) => walker.walk.tell(&seen),
                None if !self.may_walk() => {
                    let reply = Reply::later("the state service does not answer");
                    return self.walk_ends(walker, reply);
                }
                None => {
                    self.walks.next += 1;
                    let number = self.walks.next;
                    self.walks.open.insert(number, walker);
                    return self.read_for_walk(number, id, false);
                }
            }
        }
        let verdict = walker.walk.verdict().unwrap_or(Verdict::Stands);
        let Walker { job, asker, .. } = walker;
        match (asker, verdict) {
            (Asker::Accept(request, _), Verdict::Never(id)) => {
                let error =
                    format!("it awaits `{id}`, which was never accepted; submit that first");
                let reply = super::requests::problem(422, error);
                self.refuse_unless_known(job, request, reply);
            }
            (Asker::Accept(request, record), verdict) => {
                let status = match verdict {
                    Verdict::CalledOff => Status::Cancelled,
                    _ => Status::Pending,
                };
                self.create(&job, request, &record, status);
            }
            (Asker::Answer(waiter), Verdict::CalledOff) => self.tell_called_off(&job, waiter),
            (Asker::Answer(waiter), _) => self.tell_live(&job, waiter),
        }
    }

    /// Whether another read for a question may wait.
    fn may_walk(&self) -> bool {
        let room = self.walks.open.len() < WALKS_MOST && self.store.has_room(self.budget.calls);
        room && !self.store.away()
    }

    fn walk_ends(&mut self, walker: Walker, reply: Reply) {
        let request = match walker.asker {
            Asker::Accept(request, _) => request,
            Asker::Answer(waiter) => waiter.request,
        };
        self.reply(request, reply);
    }

    /// What this controller knows of a job without a read: what is over or cancelled stays so, and what is open may be
    /// told by a reading that began after the question.
    fn seen_here(&self, id: &JobId, kept: bool) -> Option<Seen> {
        let seen = match self.finals.get(id) {
            Some(record) => Some(Seen::Ended(record.fate(self.now.wall))),
            None => self.mirror.seen(id, self.now.wall),
        };
        seen.filter(|seen| kept || matches!(seen, Seen::Ended(_)))
    }

    fn read_for_walk(&mut self, walk: u64, job: JobId, last_place: bool) {
        let key = keys::place(&job, last_place);
        let until = Patience::Once(self.now.steady + USER_STORE_TIMEOUT_MS);
        let purpose = Purpose::WalkTo { walk, job, last_place };
        self.store.push(Call::Get(key), purpose, Urgency::Work, until);
    }

    /// A job before another has been read.
    pub(super) fn walked_to(&mut self, walk: u64, id: &JobId, last_place: bool, outcome: &Outcome) {
        let seen = match self.read_place(id, last_place, outcome) {
            Place::Is(seen) => seen,
            Place::Elsewhere => return self.read_for_walk(walk, id.clone(), true),
            Place::Unread => {
                if let Some(walker) = self.walks.open.remove(&walk) {
                    let reply = Reply::later("the state service does not answer");
                    self.walk_ends(walker, reply);
                }
                return;
            }
        };
        if let Some(mut walker) = self.walks.open.remove(&walk) {
            walker.walk.tell(&seen);
            self.walk(walker);
        }
    }

    /// What a read of one of a job's two places says of it. A job goes from the first to the last in one transaction and
    /// never back, so reading them in this order misses none.
    fn read_place(&mut self, id: &JobId, last_place: bool, outcome: &Outcome) -> Place {
        let over = |record: FinalRecord, wall| Place::Is(Seen::Ended(record.fate(wall)));
        let wall = self.now.wall;
        match outcome {
            Outcome::Found(pair) if last_place => {
                match serde_json::from_value(pair.value.clone()) {
                    Ok(record) => {
                        self.remember_final(id, record);
                        over(record, wall)
                    }
                    Err(_) => Place::Unread,
                }
            }
            Outcome::Found(pair) => match StoredJob::read(&pair.value) {
                Some(StoredJob::Over(record)) => {
                    self.remember_final(id, record);
                    over(record, wall)
                }
                Some(StoredJob::Live(record)) if record.cancelled => {
                    Place::Is(Seen::Ended(Fate::CalledOff))
                }
                Some(StoredJob::Live(record)) => Place::Is(Seen::Live(record.awaits)),
                None => Place::Unread,
            },
            Outcome::Missing { .. } if last_place => Place::Is(Seen::Never),
            Outcome::Missing { .. } => Place::Elsewhere,
            _ => Place::Unread,
        }
    }

    /// A leader's part: reads the ends of jobs that others await and that it knows nothing of, and works out what
    /// pipelines need.
    pub(super) fn tend_pipelines(&mut self) {
        let types = self.types.clone().unwrap_or_default();
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(leader) = &mut self.leader else { return };
        leader.need_for_pipelines(&types, now);
        for id in leader.strangers(now) {
            match self.finals.get(&id) {
                Some(record) => leader.after_end(&id, record.fate(wall), now, wall),
                None => read_awaited(&mut self.store, leader, id, false),
            }
        }
    }

    /// The end of a job that others await has been read, by a leader.
    pub(super) fn awaited_read(&mut self, id: &JobId, last_place: bool, outcome: &Outcome) {
        let place = self.read_place(id, last_place, outcome);
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(leader) = &mut self.leader else { return };
        match place {
            Place::Is(Seen::Ended(fate)) => leader.after_end(id, fate, now, wall),
            Place::Elsewhere => read_awaited(&mut self.store, leader, id.clone(), true),
            // It is known meanwhile, or not readable for now.
            Place::Is(_) | Place::Unread => leader.ask_again(id, now),
        }
    }
}

/// What a read says of a job.
enum Place {
    Is(Seen),
    /// It is not in its first place.
    Elsewhere,
    /// Nothing.
    Unread,
}

fn read_awaited(
    store: &mut crate::store::Store<Purpose>,
    leader: &Tables,
    job: JobId,
    last_place: bool,
) {
    let key = keys::place(&job, last_place);
    let purpose = Purpose::ReadAwaited { era: leader.era, job, last_place };
    store.push(Call::Get(key), purpose, Urgency::Work, Patience::Always);
}
