//! Which cancellations whoever answers workers must know, stated once.
//!
//! *Whoever answers a report under a token knows every cancellation that any user was told of more than
//! `cancel_s - lease_s` less a margin ago.* Two counts see to it, whose sum is above the number of controllers:
//!
//! - a user is told only once [`holders_needed`] controllers *hold* the cancellation;
//! - a leader that cannot read the state service goes on only on the word of [`vouchers_needed`] controllers,
//!   itself among them, each given after the leader asked for it, and each with all that it holds.
//!
//! So one of those that vouch holds what was told, and says so. A controller holds a cancellation as a *note*,
//! or by its *floor*: the revision up to which it leaves the leader to have read for itself. It vouches only
//! for a leader that has read up to its floor. A process that begins anew has lost its notes; its floor is the
//! first revision that it reads, and whatever its predecessor held is older. Notes may therefore be dropped at
//! any time by raising the floor: that costs a leader its vouchers, never a user the promise.

use crate::Time;
use crate::constants::*;
use crate::job::JobId;
use std::collections::{BTreeMap, VecDeque};
use swiftsail_protocol::controllers::Beat;
use swiftsail_protocol::users::valid_id;

/// Controllers, the leader among them, on whose word it may go on.
pub fn vouchers_needed(controllers: usize) -> usize {
    controllers / 2 + 1
}

/// Controllers that hold a cancellation before its user is told.
pub fn holders_needed(controllers: usize) -> usize {
    controllers - controllers / 2
}

/// A cancellation that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Note {
    /// Revision at which it was committed, or a later one at which it was read.
    pub revision: u64,
    /// Time of day of it, ms.
    pub wall: u64,
    /// Heartbeats made before it came: each later one carries it.
    after: u64,
}

/// What this node, leading, has read.
#[derive(Debug, Clone, Copy)]
pub struct Lead {
    /// Its token.
    pub token: u64,
    /// The revision up to which it has taken in all changes of jobs.
    pub read: u64,
    /// Words asked for before that time do not count.
    pub from: Time,
}

/// What is known of another controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Other {
    /// The highest floor it has told of.
    floor: u64,
    /// The latest of our heartbeats that it has taken in.
    taken: u64,
    /// The latest of its own that was taken in: of which process, and its number.
    latest: (u64, u64),
    /// When the latest word was asked for that counts for this node's lead.
    vouched: Option<Time>,
    /// Its version tells what it holds. One that does not could have told a user of anything.
    tells: bool,
}

/// A heartbeat, once taken in.
#[derive(Debug, Default)]
pub struct Heard {
    /// The cancellations in it, with their times of day.
    pub cancelled: Vec<(JobId, u64)>,
    /// A later one of the same process came before.
    pub late: bool,
}

/// The cancellations that this controller holds, and what the others do.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Held {
    floor: Option<u64>,
    notes: BTreeMap<JobId, Note>,
    made: u64,
    sent: VecDeque<(u64, Time)>,
    others: BTreeMap<String, Other>,
}

impl Held {
    /// The state service was read at this revision: whatever an earlier process here held is older.
    pub fn opened(&mut self, revision: u64) {
        self.floor.get_or_insert(revision);
    }

    /// The leader has read up to this revision: what is older need not be held for it.
    pub fn raise(&mut self, revision: u64) {
        if let Some(floor) = self.floor.as_mut().filter(|f| **f < revision) {
            *floor = revision;
            self.notes.retain(|_, note| note.revision > revision);
        }
    }

    /// Holds a committed cancellation. False if there is no room, which only a process that has not read the
    /// state service runs out of.
    pub fn hold(&mut self, job: &JobId, revision: u64, wall: u64) -> bool {
        if self.floor.is_some_and(|f| f >= revision) || self.notes.contains_key(job) {
            return true;
        }
        if self.notes.len() >= NOTES_MOST {
            let Some(oldest) = self.notes.values().map(|n| n.revision).min() else { return false };
            if self.floor.is_none() {
                return false;
            }
            self.raise(oldest);
        }
        self.notes.insert(job.clone(), Note { revision, wall, after: self.made });
        true
    }

    /// The cancellations held as notes.
    pub fn notes(&self) -> impl Iterator<Item = (&JobId, &Note)> {
        self.notes.iter()
    }

    /// Whether so many controllers hold a cancellation, seen at this revision, that its user may be told.
    pub fn enough(&self, job: &str, revision: u64, controllers: usize) -> bool {
        let note = self.notes.get(job);
        let revision = note.map_or(revision, |n| n.revision);
        let own = note.is_some() || self.floor.is_some_and(|f| f >= revision);
        let holds = |o: &&Other| o.floor >= revision || note.is_some_and(|n| n.after < o.taken);
        let others = self.others.values().filter(holds).count();
        own && others + 1 >= holders_needed(controllers)
    }

    /// Whether no heartbeat has carried this cancellation yet.
    pub fn uncarried(&self, job: &str) -> bool {
        self.notes.get(job).is_some_and(|n| n.after == self.made)
    }

    /// Numbers a heartbeat that is made now, and puts in what is held.
    pub fn fill(&mut self, beat: &mut Beat, now: Time) {
        self.made += 1;
        self.sent.push_back((self.made, now));
        if self.sent.len() > BEATS_KNOWN {
            self.sent.pop_front();
        }
        beat.number = self.made;
        beat.floor = self.floor;
        let told = |(job, n): (&JobId, &Note)| (job.to_string(), n.revision, n.wall);
        beat.cancelled = self.notes.iter().map(told).collect();
        let taken = self.others.iter().filter(|(_, o)| o.latest.0 != 0);
        beat.taken = taken.map(|(node, o)| (node.clone(), o.latest.0, o.latest.1)).collect();
    }

    /// Takes in a heartbeat of another controller; `lead`, if this node leads.
    pub fn hear(&mut self, me: &str, process: u64, beat: &Beat, lead: Option<Lead>) -> Heard {
        let mut heard = Heard::default();
        // More than a controller holds is not taken in as if it were all.
        let mut whole = beat.cancelled.len() <= NOTES_MOST;
        for (id, revision, wall) in beat.cancelled.iter().take(NOTES_MOST) {
            if valid_id(id) {
                let job = JobId::from(id.as_str());
                whole &= self.hold(&job, *revision, *wall);
                heard.cancelled.push((job, *wall));
            }
        }
        let Held { others, sent, .. } = self;
        let other = others.entry(beat.node.clone()).or_default();
        other.tells = beat.process != 0;
        if !other.tells {
            return heard;
        }
        heard.late = other.latest.0 == beat.process && beat.number < other.latest.1;
        if whole && !heard.late {
            other.latest = (beat.process, beat.number);
        }
        // By name and not by process: whoever begins anew has a floor above all that was held before.
        other.floor = other.floor.max(beat.floor.unwrap_or(0));
        let ours = |(node, of, _): &&(String, u64, u64)| node == me && *of == process;
        let Some((_, _, number)) = beat.taken.iter().find(ours) else { return heard };
        other.taken = other.taken.max(*number);
        let asked = sent.iter().find(|(n, _)| n == number).map(|(_, at)| *at);
        let vouches = |lead: &Lead| {
            whole
                && beat.floor.is_some_and(|floor| floor <= lead.read)
                && beat.token <= lead.token
                // While it has the state service others are led by whoever has it too.
                && beat.store_age_ms > STORE_TIMEOUT_MS
        };
        if let Some(lead) = lead.filter(vouches) {
            other.vouched = other.vouched.max(asked.filter(|at| *at >= lead.from));
        }
        heard
    }

    /// Whether that controller was heard, and its version tells nothing of what it holds.
    pub fn is_silent(&self, node: &str) -> bool {
        self.others.get(node).is_some_and(|o| !o.tells)
    }

    /// The lead is over, or begins: nobody has vouched for it.
    pub fn forget_vouchers(&mut self) {
        for other in self.others.values_mut() {
            other.vouched = None;
        }
    }

    /// As of when this node, leading, knows every cancellation that any user was told of: it had read up to
    /// then, or enough others vouched then.
    pub fn known_as_of(
        &self,
        read: Option<Time>,
        from: Time,
        controllers: usize,
        now: Time,
    ) -> Option<Time> {
        let needed = vouchers_needed(controllers) - 1;
        let Some(place) = needed.checked_sub(1) else { return Some(now) };
        // One that is not heard of, or whose version tells nothing, may have told a user alone.
        let all_tell = self.others.values().filter(|o| o.tells).count() + 1 >= controllers;
        let vouched = self.others.values().filter_map(|o| o.vouched).filter(|at| *at >= from);
        let mut vouched: Vec<Time> = vouched.filter(|_| all_tell).collect();
        vouched.sort_unstable_by(|a, b| b.cmp(a));
        read.max(vouched.get(place).copied())
    }
}
