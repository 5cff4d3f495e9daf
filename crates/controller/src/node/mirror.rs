//! What every controller keeps of the jobs in the state service, so that polls cost it little: one read of
//! what has changed answers all that asked before it began. A poll storm then costs the state service a
//! few requests a second, however many ask, and submissions keep their part.

use super::requests::Waiter;
use super::{Node, Purpose, Reply};
use crate::Time;
use crate::constants::*;
use crate::job::{FinalRecord, JobId, StoredJob, keys};
use crate::store::{Call, Outcome, Patience, Urgency};
use std::collections::HashMap;
use std::sync::Arc;
use swiftsail_dag::{Fate, Seen};
use swiftsail_protocol::state::{Item, Page};

/// How much of the jobs is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Known {
    /// Nothing: polls read their job's own key.
    Nothing,
    /// They are being listed; what has changed since this revision is still to be read.
    Listing(u64),
    /// All of them, as they were at this revision.
    All(u64),
}

/// A job as its key shows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Shown {
    /// Accepted, and not over.
    Live,
    /// Cancelled, and not over: seen at that revision, cancelled at that time of day.
    Cancelled(u64, u64),
    /// Over.
    Over(FinalRecord),
    /// There, and not to be read by this version: its key is read whenever somebody asks.
    Unread,
}

/// The jobs, and who waits for the next read.
#[derive(Debug)]
pub(super) struct Mirror {
    known: Known,
    jobs: HashMap<JobId, Shown>,
    /// What those that are not over await.
    awaits: HashMap<JobId, Arc<[JobId]>>,
    /// Jobs that were seen to be over, for the cache of final answers.
    over: Vec<(JobId, FinalRecord)>,
    most: usize,
    /// Whom the read under way serves.
    current: Option<Vec<(JobId, Waiter)>>,
    /// Who came later and needs a fresh one.
    next: Vec<(JobId, Waiter)>,
    asked_at: Time,
    read_at: Time,
    /// No listing before that: there were more jobs than it holds.
    rests_until: Time,
}

impl Mirror {
    /// A mirror that holds so many jobs at most.
    pub fn new(most: usize) -> Mirror {
        Mirror {
            known: Known::Nothing,
            jobs: HashMap::new(),
            awaits: HashMap::new(),
            over: Vec::new(),
            most,
            current: None,
            next: Vec::new(),
            asked_at: 0,
            read_at: 0,
            rests_until: 0,
        }
    }

    /// The one function that changes how much is known. Everything is known only from a listing on, and
    /// a revision never goes back.
    fn advance(&mut self, to: Known) -> bool {
        let allowed = match (self.known, to) {
            (_, Known::Nothing) | (Known::Nothing, Known::Listing(_)) => true,
            (Known::Listing(from) | Known::All(from), Known::All(to)) => to >= from,
            _ => false,
        };
        if allowed {
            if to == Known::Nothing {
                self.jobs.clear();
                self.awaits.clear();
            }
            self.known = to;
        }
        allowed
    }

    /// Whether polls may wait for the next read.
    pub fn serves(&self) -> bool {
        matches!(self.known, Known::All(_))
    }

    /// Whether a job is known to have been accepted, whatever has become of it since.
    pub fn knows(&self, id: &str) -> bool {
        self.serves() && self.jobs.contains_key(id)
    }

    /// What a job that is not over awaits, if it awaits any.
    pub fn awaits(&self, id: &str) -> Option<Arc<[JobId]>> {
        self.awaits.get(id).cloned()
    }

    /// What the latest read says of a job, for what comes after it; none: nothing.
    pub fn seen(&self, id: &str, wall: u64) -> Option<Seen> {
        match self.jobs.get(id).filter(|_| self.serves())? {
            Shown::Live => {
                Some(Seen::Live(self.awaits(id).as_deref().unwrap_or_default().to_vec()))
            }
            Shown::Cancelled(..) => Some(Seen::Ended(Fate::CalledOff)),
            Shown::Over(record) => Some(Seen::Ended(record.fate(wall))),
            Shown::Unread => None,
        }
    }

    /// Submissions that wait for a look whether they are repeats.
    pub fn creations(&self) -> usize {
        let waiting = self.next.iter().chain(self.current.iter().flatten());
        waiting.filter(|(_, waiter)| waiter.creates()).count()
    }

    /// Takes over a page of the listing.
    fn list(&mut self, page: &Page) {
        if self.known == Known::Nothing {
            self.advance(Known::Listing(page.epoch));
        }
        for pair in &page.pairs {
            self.note(&pair.key, &pair.value, pair.stamp);
        }
        if self.jobs.len() > self.most {
            self.give_up();
        } else if let Known::Listing(from) = self.known
            && !page.has_next
        {
            self.advance(Known::All(from));
        }
    }

    /// Takes over what has changed up to a revision.
    fn take(&mut self, news: &[Item], epoch: u64) {
        for item in news {
            match (&item.write, &item.remove) {
                (Some(key), _) => self.note(key, &item.value, item.stamp),
                (None, Some(key)) => {
                    let id = key.strip_prefix(keys::JOBS).unwrap_or(key);
                    self.jobs.remove(id);
                    self.awaits.remove(id);
                }
                (None, None) => {}
            }
        }
        if self.jobs.len() > self.most {
            self.give_up();
        } else if !self.advance(Known::All(epoch)) {
            self.advance(Known::Nothing);
        }
    }

    /// There are more than it holds: a listing in vain is as many requests as one that is of use, and how many jobs
    /// there are changes slowly.
    fn give_up(&mut self) {
        self.advance(Known::Nothing);
        self.rests_until = self.read_at + MIRROR_FULL_MS;
    }

    fn note(&mut self, key: &str, value: &serde_json::Value, stamp: u64) {
        let Some(id) = key.strip_prefix(keys::JOBS) else { return };
        let read = StoredJob::read(value);
        match &read {
            Some(StoredJob::Live(record)) if !record.awaits.is_empty() => {
                self.awaits.insert(JobId::from(id), record.awaits.as_slice().into());
            }
            _ => drop(self.awaits.remove(id)),
        }
        let shown = match read {
            Some(StoredJob::Live(record)) if record.cancelled => {
                Shown::Cancelled(stamp, record.cancelled_wall)
            }
            Some(StoredJob::Live(_)) => Shown::Live,
            Some(StoredJob::Over(record)) => {
                self.over.push((JobId::from(id), record));
                Shown::Over(record)
            }
            None => Shown::Unread,
        };
        self.jobs.insert(JobId::from(id), shown);
    }
}

impl Node {
    /// A poll waits for the next read of what has changed.
    pub(super) fn ask_mirror(&mut self, id: JobId, waiter: Waiter) {
        self.mirror.next.push((id, waiter));
        self.tend_mirror();
    }

    /// Makes room for a poll that presses, in place of the latest that does not; of those first one whose
    /// job is asked about by another that waits.
    pub(super) fn make_room_for_poll(&mut self) -> bool {
        let next = &mut self.mirror.next;
        let idle = |n: &usize| next[*n].1.gives_way();
        let twice = |n: &usize| next[..*n].iter().any(|(id, _)| *id == next[*n].0);
        // Of very many, the latest are looked at (processor).
        let from = next.len().saturating_sub(DISPLACED_OF);
        let last = (from..next.len()).rev().filter(idle);
        let place = last.clone().find(twice).or_else(|| last.clone().next());
        let Some((_, waiter)) = place.map(|n| next.remove(n)) else { return false };
        self.reply(waiter.request, Reply::later("others have waited longer for the state service"));
        true
    }

    /// Polls that wait for the mirror.
    pub(super) fn mirrored(&self) -> usize {
        self.mirror.next.len() + self.mirror.current.as_ref().map_or(0, Vec::len)
    }

    /// Reads what has changed, if somebody waits for it or it has not been read for a while; begins the
    /// listing where nothing is known.
    pub(super) fn tend_mirror(&mut self) {
        let now = self.now.steady;
        let mirror = &mut self.mirror;
        if mirror.current.is_some() {
            return;
        }
        if self.store.away() {
            // Who asked before that was known has waited for long enough: another controller may reach it.
            if now >= mirror.asked_at + USER_STORE_TIMEOUT_MS {
                for (_, waiter) in std::mem::take(&mut mirror.next) {
                    self.reply(waiter.request, Reply::later("the state service does not answer"));
                }
            }
            return;
        }
        let until = Patience::Once(now + USER_STORE_TIMEOUT_MS);
        match mirror.known {
            // Who has been long away would be told of very much at once: the pages of a listing are bounded.
            Known::All(_) if now >= mirror.read_at + MIRROR_STALE_MS => {
                mirror.advance(Known::Nothing);
                self.read_own_keys(Vec::new());
            }
            Known::All(from) => {
                let pause = if mirror.next.is_empty() { MIRROR_IDLE_MS } else { MIRROR_MS };
                if now < mirror.asked_at + pause {
                    return;
                }
                mirror.asked_at = now;
                mirror.current = Some(std::mem::take(&mut mirror.next));
                let call = Call::News { prefix: keys::JOBS.into(), from };
                // Before single keys: it serves all who wait, and without it each would read a key of its own.
                self.store.push(call, Purpose::ReadNews, Urgency::Bind, until);
            }
            Known::Nothing if now >= mirror.rests_until.max(mirror.asked_at + MIRROR_IDLE_MS) => {
                mirror.asked_at = now;
                self.list_for_mirror(None);
            }
            Known::Nothing | Known::Listing(_) => {}
        }
    }

    fn list_for_mirror(&mut self, from: Option<String>) {
        self.mirror.current = Some(Vec::new());
        let call = Call::List { prefix: keys::JOBS.into(), from };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        // While it lasts polls read single keys, as many as there are: behind those it would never end.
        self.store.push(call, Purpose::ListMirror, Urgency::Bind, Patience::Once(until));
    }

    /// What came of a read for the mirror.
    pub(super) fn on_mirror(&mut self, outcome: &Outcome) {
        let waiting = self.mirror.current.take().unwrap_or_default();
        self.take_in(outcome, waiting);
        // What is over stays as it is: later questions cost nothing, also once the record has moved.
        for (id, record) in std::mem::take(&mut self.mirror.over) {
            self.remember_final(&id, record);
        }
        self.tend_mirror();
    }

    fn take_in(&mut self, outcome: &Outcome, waiting: Vec<(JobId, Waiter)>) {
        match outcome {
            Outcome::Page(page) => {
                self.mirror.read_at = self.now.steady;
                self.mirror.list(page);
                let more = page.pairs.last().filter(|_| page.has_next).map(|p| p.key.clone());
                if let (Known::Listing(_), Some(from)) = (self.mirror.known, more) {
                    self.list_for_mirror(Some(from));
                }
            }
            Outcome::News(news) => {
                self.mirror.read_at = self.now.steady;
                self.mirror.take(&news.news, news.epoch);
                // What is not kept may well be accepted: only of all jobs does absence say anything.
                if !self.mirror.serves() {
                    return self.read_own_keys(waiting);
                }
                for (id, waiter) in waiting {
                    match self.mirror.jobs.get(&id).copied() {
                        Some(shown) => self.tell_shown(&id, shown, waiter),
                        None => self.not_live(&id, waiter),
                    }
                }
            }
            // Too much has changed since: each reads its own key, and the jobs are listed anew.
            Outcome::TooOld => {
                self.mirror.advance(Known::Nothing);
                self.read_own_keys(waiting);
            }
            _ => {
                if matches!(self.mirror.known, Known::Listing(_)) {
                    self.mirror.advance(Known::Nothing);
                }
                for (_, waiter) in waiting {
                    self.reply(waiter.request, Reply::later("the state service does not answer"));
                }
            }
        }
    }

    /// Who waits for a mirror that knows nothing reads its job's own key.
    fn read_own_keys(&mut self, waiting: Vec<(JobId, Waiter)>) {
        let later = std::mem::take(&mut self.mirror.next);
        for (id, waiter) in waiting.into_iter().chain(later) {
            self.read_job(&id, waiter);
        }
    }
}
