//! State service and cloud, and what becomes of calls on the way.

use super::{Ev, Fate, NODES, World};
use crate::constants::*;
use crate::store::{Committed, TooOld};
use rand::Rng;
use std::collections::BTreeSet;
use swiftsail_controller::cloud;
use swiftsail_controller::node::Event;
use swiftsail_controller::store::{Call, Outcome};
use swiftsail_protocol::cloud::Berths;

impl World {
    pub(super) fn store_call(&mut self, n: usize, life: u64, id: u64, call: Call) {
        let away = self.store_away() || self.cut(n, |c| c.store) && life != 0;
        if let Call::Follow { prefix, from } = &call {
            self.follows.push((n, life, id, prefix.clone(), *from, self.now + 10_000));
            return self.wake_follows();
        }
        if let Some(until) = self.held_until(n, |c| c.store).filter(|_| life != 0) {
            let outcome = Event::Store(id, Outcome::Unknown);
            self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
            if matches!(call, Call::Commit(_)) {
                self.at(until, Ev::StoreCall(n, 0, 0, call));
            }
            return;
        }
        if !away
            && life != 0
            && let Call::Commit(commit) = &call
        {
            match self.fate(n, commit) {
                Fate::Usual => {}
                fate => return self.commit_by(fate, n, life, id, call),
            }
        }
        let back = self.now + self.delay();
        // Slow answers: some come after their caller has given up, of what was done at once or only then.
        if self.slow.iter().any(|(from, to)| (*from..*to).contains(&self.now)) && life != 0 && !away
        {
            let after = self.rng.random_range(0..3_000);
            if after > 1_500 {
                let outcome = Event::Store(id, Outcome::Unknown);
                self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
                if matches!(call, Call::Commit(_)) {
                    self.at(self.now + after * 4, Ev::StoreCall(n, 0, 0, call));
                }
                return;
            }
            let outcome = Event::Store(id, self.serve(&call));
            self.at(self.now + after, Ev::ToNode(n, life, Box::new(outcome)));
            return self.wake_follows();
        }
        if away {
            let event = Event::Store(id, Outcome::Refused);
            return self.at(back, Ev::ToNode(n, life, Box::new(event)));
        }
        if self.store_limited && life != 0 {
            let changes = match &call {
                Call::Commit(commit) => commit.apply.len(),
                _ => 0,
            };
            if !self.store.admit(changes, self.now) {
                *self.met.entry("limited").or_default() += 1;
                return self
                    .at(back, Ev::ToNode(n, life, Box::new(Event::Store(id, Outcome::Limited))));
            }
        }
        // Lost on the way, lost on the way back, or applied late after the caller gave up.
        let fate = if self.calm() { 1.0 } else { self.rng.random_range(0.0..1.0) };
        if fate < self.weather.loss {
            let outcome = Event::Store(id, Outcome::Unknown);
            self.at(self.now + 1_500, Ev::ToNode(n, life, Box::new(outcome)));
            if fate < self.weather.loss / 2.0 && matches!(call, Call::Commit(_)) {
                let at = self.now + self.rng.random_range(1..20_000);
                // To a life that never was: applied, told to nobody.
                return self.at(at, Ev::StoreCall(n, 0, 0, call));
            }
            return;
        }
        let outcome = self.serve(&call);
        let lost = self.lost();
        let (at, outcome) =
            if lost { (self.now + 1_500, Outcome::Unknown) } else { (back, outcome) };
        self.at(at, Ev::ToNode(n, life, Box::new(Event::Store(id, outcome))));
        self.wake_follows();
    }

    /// The store's answer to a call.
    pub(super) fn serve(&mut self, call: &Call) -> Outcome {
        let now = self.now;
        self.store.expire(now, false);
        let reads = matches!(call, Call::Get(_) | Call::List { .. } | Call::News { .. });
        self.store.reads += usize::from(reads);
        match call {
            Call::Get(key) => match self.store.get(key) {
                Some(pair) => Outcome::Found(pair.clone()),
                None => Outcome::Missing { epoch: self.store.epoch() },
            },
            // A small page, so that paging is exercised.
            Call::List { prefix, from } => {
                Outcome::Page(self.store.list(prefix, from.as_deref(), 7))
            }
            Call::Commit(commit) => match self.store.commit(commit) {
                Committed::At(epoch) => Outcome::Committed(epoch),
                Committed::Failed(keys) => Outcome::Conflict(keys),
                Committed::NoGrant => Outcome::NoGrant,
                Committed::Malformed(why) => {
                    self.count("malformed");
                    Outcome::Malformed(why)
                }
            },
            Call::Grant { ttl_ms } => match self.store.grant(*ttl_ms, now) {
                Some(id) => Outcome::Granted(id),
                None => Outcome::Malformed("no such time to live".into()),
            },
            Call::Extend(id) if self.store.extend(*id, now) => Outcome::Granted(*id),
            Call::Extend(_) => Outcome::NoGrant,
            Call::Release(id) => {
                self.store.end_grant(*id);
                Outcome::Granted(*id)
            }
            Call::News { prefix, from } => match self.store.news(prefix, *from) {
                Err(TooOld) => Outcome::TooOld,
                Ok(news) => Outcome::News(news.unwrap_or_else(|| self.store.no_news())),
            },
            Call::Follow { .. } => Outcome::Unknown,
        }
    }

    pub(super) fn cloud_call(&mut self, call: &cloud::Call) -> cloud::Outcome {
        use cloud::{Call, Outcome};
        let now = self.now;
        match call {
            Call::Types => Outcome::Types(self.plant.cloud.types(now)),
            Call::Rent(rent) => {
                let before: BTreeSet<String> = self.plant.workers.keys().cloned().collect();
                let Some(names) = self.plant.rent(rent, now) else {
                    return Outcome::Malformed("no such type".into());
                };
                for name in names.iter().filter(|n| !before.contains(*n)) {
                    let at = self.plant.workers[name].up_at;
                    if at < u64::MAX {
                        self.at(at, Ev::WorkerStep(name.clone()));
                    }
                }
                match names.is_empty() {
                    true => Outcome::NoCapacity,
                    false => Outcome::Rented(Berths { berths: names }),
                }
            }
            Call::Return(names) => {
                self.plant.gone(names, false, now);
                Outcome::Returned
            }
            Call::List(from) => {
                Outcome::Listed(self.plant.cloud.list(from.as_deref(), LIST_MOST, now))
            }
        }
    }

    pub(super) fn wake_follows(&mut self) {
        // An open watch waits through an outage, and through a refusal of its controller.
        if self.store_away() {
            return;
        }
        let refused: Vec<usize> = (0..NODES).filter(|n| self.cut(*n, |c| c.store)).collect();
        let mut ready = Vec::new();
        let (store, now) = (&self.store, self.now);
        self.follows.retain(|(n, life, id, prefix, from, until)| {
            if refused.contains(n) {
                return true;
            }
            let outcome = match store.news(prefix, *from) {
                Err(TooOld) => Outcome::TooOld,
                Ok(Some(news)) => Outcome::News(news),
                Ok(None) if now >= *until => Outcome::News(store.no_news()),
                Ok(None) => return true,
            };
            ready.push((*n, *life, *id, outcome));
            false
        });
        for (n, life, id, outcome) in ready {
            let at = self.now + self.delay();
            self.at(at, Ev::ToNode(n, life, Box::new(Event::Store(id, outcome))));
        }
    }
}
