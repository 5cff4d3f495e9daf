//! Rentals and returns under way, and what the cloud has refused lately.

use super::Tables;
use crate::Time;
use crate::constants::*;
use crate::job::MachineId;
use crate::machine::Standing;
use rustc_hash::FxHashSet;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use swiftsail_failure_detector::constants::DEAF_WINDOW_MS;
use swiftsail_protocol::cloud::Rent;

/// A market: machine type, zone, and whether spot.
pub type Market = (String, String, bool);

/// Machines that are wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub number: u32,
}

impl Wish {
    fn market(&self) -> Market {
        (self.kind.clone(), self.zone.clone(), self.spot)
    }

    /// The request that asks for it.
    pub fn request(&self, charter: &str) -> Rent {
        Rent {
            charter: charter.to_string(),
            hull: self.kind.clone(),
            dock: self.zone.clone(),
            driftwood: self.spot,
            number: self.number,
        }
    }
}

/// A rental asked for and not answered.
#[derive(Debug, Clone)]
pub struct Asked {
    /// What is asked for.
    pub wish: Wish,
    /// When.
    pub at: Time,
    /// It has left at least once: its name then stands for this number of machines.
    pub left: bool,
}

/// Number of a machine's name.
fn number(id: &MachineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Rentals and returns under way.
#[derive(Debug, Default)]
pub struct Rentals {
    charters: u64,
    asked: BTreeMap<String, Asked>,
    refused: HashMap<Market, (Time, u64)>,
    returning: BTreeSet<MachineId>,
    wanted: BTreeSet<MachineId>,
    /// Returns that a cancellation needs: when each was last asked for.
    pressing: BTreeMap<MachineId, Time>,
    returned: VecDeque<u64>,
    /// The same, to be found at once.
    gone: FxHashSet<u64>,
    /// When machines were returned because they do not hear, of late.
    deaf: VecDeque<Time>,
    /// When the machine list was last begun, and whether it is being read.
    pub listed_at: Time,
    /// See `listed_at`.
    pub listing: bool,
    /// When machine types were last asked for.
    pub typed_at: Time,
    /// When idle machines were last looked for.
    pub idle_at: Time,
    /// When a move of replicas was last looked for.
    pub moved_at: Time,
}

impl Rentals {
    /// Rentals asked for and not answered.
    pub fn asked(&self) -> impl Iterator<Item = (&Wish, Time)> {
        self.asked.values().map(|a| (&a.wish, a.at))
    }

    /// Rentals of the same market that have not left yet: their names, and what they may still
    /// take in.
    pub fn growing(&mut self, wish: &Wish) -> impl Iterator<Item = (&String, &mut Asked)> {
        let market = wish.market();
        self.asked.iter_mut().filter(move |(_, a)| !a.left && a.wish.market() == market)
    }

    /// Notes a rental under a name that no node uses again: the token and a counter.
    pub fn ask(&mut self, token: u64, wish: Wish, now: Time) -> String {
        self.charters += 1;
        let charter = format!("s{token}-{}", self.charters);
        self.asked.insert(charter.clone(), Asked { wish, at: now, left: false });
        charter
    }

    /// A rental had no answer: it is asked for again, under the same name. False if unknown.
    pub fn unanswered(&mut self, charter: &str) -> bool {
        self.asked.get_mut(charter).map(|a| a.left = true).is_some()
    }

    /// Whether a machine was returned under this term. Of names a number is kept: at 16,000 of them the chance
    /// that a machine is taken for another is one in a million million.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.gone.contains(&number(id))
    }

    fn note_returned(&mut self, id: &MachineId) {
        let number = number(id);
        if self.gone.insert(number) {
            self.returned.push_back(number);
        }
        if self.returned.len() > RETURNED_MOST
            && let Some(oldest) = self.returned.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }

    /// Machines given up lately because they do not hear.
    pub fn deaf_returned(&self, now: Time) -> usize {
        self.deaf.iter().filter(|at| now < **at + DEAF_WINDOW_MS).count()
    }

    /// One more.
    pub fn give_up_deaf(&mut self, now: Time) {
        self.deaf.retain(|at| now < *at + DEAF_WINDOW_MS);
        self.deaf.push_back(now);
    }

    /// Whether a rental is worth asking for.
    pub fn may_rent(&self, kind: &str, zone: &str, spot: bool, now: Time) -> bool {
        let key = (kind.to_string(), zone.to_string(), spot);
        let waiting = self.asked.values().map(|a| &a.wish);
        let waiting = waiting.filter(|w| w.kind == kind && w.zone == zone && w.spot == spot);
        waiting.count() < RENTALS_OPEN_MOST
            && self.refused.get(&key).is_none_or(|(until, _)| now >= *until)
    }

    fn refuse(&mut self, market: Market, now: Time) {
        let entry = self.refused.entry(market).or_insert((0, 0));
        entry.1 =
            if entry.1 == 0 { NO_CAPACITY_MS } else { (entry.1 * 2).min(NO_CAPACITY_MOST_MS) };
        entry.0 = now + entry.1;
    }

    /// A return is needed in time: it waits for no other, nor for an answer that does not come. Its name may be given to
    /// the cloud any number of times.
    pub fn press(&mut self, id: &MachineId) {
        if (self.wanted.contains(id) || self.returning.contains(id))
            && !self.pressing.contains_key(id)
        {
            self.pressing.insert(id.clone(), 0);
        }
    }

    /// Pressing returns to be asked for now.
    pub fn pressing_returns(&mut self, now: Time) -> Vec<MachineId> {
        let due = self.pressing.iter_mut().filter(|(_, at)| now >= **at + RETURN_AGAIN_MS);
        let batch: Vec<MachineId> = due
            .take(RETURN_MOST)
            .map(|(id, at)| {
                *at = now;
                id.clone()
            })
            .collect();
        for id in &batch {
            self.wanted.remove(id);
            self.returning.insert(id.clone());
        }
        batch
    }

    /// The next batch to return, marked as on its way. One return flies at a time, and takes all
    /// that has come up: a wave of machines lost must not keep rentals waiting for its many calls.
    pub fn next_returns(&mut self) -> Vec<MachineId> {
        if !self.returning.is_empty() {
            return Vec::new();
        }
        let batch: Vec<MachineId> = self.wanted.iter().take(RETURN_MOST).cloned().collect();
        for id in &batch {
            self.wanted.remove(id);
            self.returning.insert(id.clone());
        }
        batch
    }

    /// A return had no answer: it is tried again.
    pub fn not_returned(&mut self, id: MachineId) {
        // Another try of a pressing one may have been answered meanwhile.
        if !self.was_returned(&id) {
            self.returning.remove(&id);
            self.wanted.insert(id);
        }
    }
}

impl Tables {
    /// Marks a machine to be returned. Returns whether it was not before.
    pub fn want_return(&mut self, id: &MachineId, why: &str, now: Time) -> bool {
        let marked = self.machine(id, now).advance(Standing::Returning);
        if marked {
            self.happenings.note("machine", "returning", id, Some(why));
            tracing::debug!(machine = %id, why, "returning machine");
            self.rentals.wanted.insert(id.clone());
        }
        marked
    }

    /// A return was confirmed: the machine and all on it are gone.
    pub fn returned(&mut self, id: &MachineId, now: Time) {
        self.rentals.returning.remove(id);
        self.rentals.wanted.remove(id);
        self.rentals.pressing.remove(id);
        self.rentals.note_returned(id);
        self.machine_gone(id, now);
    }

    /// A rental was answered with these machines, perhaps fewer than asked for. Others are then
    /// planned at once, not with the next round.
    pub fn rented(&mut self, charter: &str, names: &[String], now: Time) {
        let Some(Asked { wish, .. }) = self.rentals.asked.remove(charter) else { return };
        let what = format!("rented {} of {}", names.len(), wish.number);
        self.happenings.note("rental", what, &wish.kind, Some(&wish.zone));
        if (names.len() as u32) < wish.number {
            self.rentals.refuse(wish.market(), now);
            self.plan_again();
        } else {
            self.rentals.refused.remove(&wish.market());
        }
        for name in names {
            let machine = self.machine(&MachineId::from(name.as_str()), now);
            if machine.heard.is_none() {
                machine.recount();
                machine.kind.clone_from(&wish.kind);
                machine.zone.clone_from(&wish.zone);
                machine.spot = wish.spot;
                machine.rented_at = now;
            }
        }
    }

    /// A rental was refused. Others are planned at once.
    pub fn refused(&mut self, charter: &str, now: Time) {
        let Some(Asked { wish, .. }) = self.rentals.asked.remove(charter) else { return };
        self.happenings.note("rental", "no capacity", &wish.kind, Some(&wish.zone));
        tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, "no capacity");
        self.rentals.refuse(wish.market(), now);
        self.plan_again();
    }
}
