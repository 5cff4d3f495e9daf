//! The cloud as a pure machine: rentals, boot times, capacity, a list that lags, prices, money.

use crate::constants::*;
use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::BTreeMap;
use swiftsail_controller::settings::Cloud as Limits;
use swiftsail_controller::store::Bucket;
use swiftsail_protocol::cloud::{Hull, Listed, ListedState, Listing, Rent, Types};

/// A machine type with what is to be had of it.
#[derive(Debug, Clone)]
pub struct Offered {
    /// The type as the cloud publishes it.
    pub hull: Hull,
    /// Machines of it in each zone, ordinary and spot each.
    pub capacity: u32,
}

/// A machine that was rented.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Number of its type among those offered.
    pub kind: usize,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Its worker's address.
    pub addr: String,
    /// When it was rented.
    pub rented_at: u64,
    /// When it comes up; none: never.
    pub up_at: Option<u64>,
    /// When it was returned or taken, or died.
    pub gone_at: Option<u64>,
    /// It died, and is listed for a while.
    pub died: bool,
}

/// The cloud.
pub struct Cloud {
    offered: Vec<Offered>,
    machines: BTreeMap<String, Machine>,
    served: BTreeMap<String, Vec<String>>,
    limits: Limits,
    bucket: Bucket,
    rng: StdRng,
    speed: f64,
    /// Spot prices as shares of the nominal ones, and when they were made.
    prices: (u64, Vec<f64>),
    spent: f64,
    spent_at: u64,
    next: u32,
    /// Share of the machines that never come up.
    pub never: f64,
    /// Boots take this many times as long as usual.
    pub slower: f64,
    /// Every machine is up within so long, ms; none: after its usual time.
    pub boot_ms: Option<u64>,
}

impl Cloud {
    /// A cloud that offers these types. `speed`: how many times as fast machines boot.
    pub fn new(offered: Vec<Offered>, limits: Limits, rng: StdRng, speed: f64, now: u64) -> Cloud {
        Cloud {
            prices: (now, vec![1.0; offered.len()]),
            offered,
            machines: BTreeMap::new(),
            served: BTreeMap::new(),
            bucket: Bucket::lasting(limits.rps, 2.0, now),
            limits,
            rng,
            speed,
            spent: 0.0,
            spent_at: now,
            next: 0,
            never: BOOT_NEVER,
            slower: 1.0,
            boot_ms: None,
        }
    }

    /// Whether the limit lets a request through: bursts worth two seconds.
    pub fn admit(&mut self, now: u64) -> bool {
        let open = self.bucket.can(1.0, 0.0, now);
        if open {
            self.bucket.take(1.0);
        }
        open
    }

    /// All types, with their prices now.
    pub fn types(&mut self, now: u64) -> Types {
        if now >= self.prices.0 + PRICE_MS {
            self.charge(now);
            let rng = &mut self.rng;
            let price = |_: &Offered| 1.0 + rng.random_range(-PRICE_SPREAD..PRICE_SPREAD);
            self.prices = (now, self.offered.iter().map(price).collect());
        }
        let with = |(o, share): (&Offered, &f64)| Hull {
            market_price: o.hull.market_price * share,
            ..o.hull.clone()
        };
        Types { hulls: self.offered.iter().zip(&self.prices.1).map(with).collect() }
    }

    /// The types as offered.
    pub fn offered(&self) -> &[Offered] {
        &self.offered
    }

    /// Rents. None: no such type or zone, or a malformed number. Empty: no capacity.
    pub fn rent(&mut self, rent: &Rent, now: u64) -> Option<Vec<String>> {
        if let Some(names) = self.served.get(&rent.charter) {
            return Some(names.clone());
        }
        self.charge(now);
        let kind = self.offered.iter().position(|o| o.hull.sku == rent.hull)?;
        let offered = &self.offered[kind];
        if !offered.hull.docks.contains(&rent.dock) || !(1..=RENT_MOST).contains(&rent.number) {
            return None;
        }
        let held = self.machines.values().filter(|m| {
            m.gone_at.is_none() && m.kind == kind && m.zone == rent.dock && m.spot == rent.driftwood
        });
        let number = rent.number.min(offered.capacity.saturating_sub(held.count() as u32));
        let boot_ms = offered.hull.boot_s * MS_PER_S / self.speed * self.slower;
        let mut names = Vec::new();
        for _ in 0..number {
            self.next += 1;
            let name = format!("m-{:06}", self.next);
            let factor = match self.rng.random_range(0.0..1.0) {
                at if at < self.never => None,
                at if at < self.never + BOOT_SLOW => Some(self.rng.random_range(2.0..5.0)),
                _ => LogNormal::new(0.0, BOOT_SIGMA).ok().map(|d| d.sample(&mut self.rng)),
            };
            let quick = self.boot_ms.map(|most| now + self.rng.random_range(0..=most));
            let machine = Machine {
                kind,
                zone: rent.dock.clone(),
                spot: rent.driftwood,
                addr: name.clone(),
                rented_at: now,
                up_at: quick.or(factor.map(|f| now + (boot_ms * f) as u64)),
                gone_at: None,
                died: false,
            };
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        if !names.is_empty() {
            self.served.insert(rent.charter.clone(), names.clone());
        }
        Some(names)
    }

    /// Names of machines go on from a number: none is given twice, restarts included.
    pub fn name_from(&mut self, number: u32) {
        self.next = self.next.max(number);
    }

    /// Number of the last machine named.
    pub fn named(&self) -> u32 {
        self.next
    }

    /// A machine.
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Names where its worker takes commands.
    pub fn address(&mut self, name: &str, addr: String) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.addr = addr;
        }
    }

    /// Machines returned, taken (`died` false) or dead: gone from now on.
    pub fn gone(&mut self, names: &[String], died: bool, now: u64) {
        self.charge(now);
        for name in names {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            // A dead machine that is returned is no longer listed.
            machine.died &= died;
            if machine.gone_at.is_none() {
                machine.gone_at = Some(now);
                machine.died = died;
                if !died && now < machine.rented_at + (LEAST_COST_S * MS_PER_S) as u64 {
                    let ran = now.saturating_sub(machine.rented_at) as f64 / MS_PER_S;
                    let (kind, spot) = (machine.kind, machine.spot);
                    self.spent += self.price(kind, spot) * (LEAST_COST_S - ran) / 3600.0;
                }
            }
        }
    }

    /// A page of the list, as it was a while ago.
    pub fn list(&mut self, from: Option<&str>, most: usize, now: u64) -> Listing {
        let lag = self.limits.list_lag_s * MS_PER_S;
        let then = now.saturating_sub((lag * self.rng.random_range(0.5..2.0)) as u64);
        let mut berths = Vec::new();
        let mut has_next = false;
        for (name, m) in &self.machines {
            if from.is_some_and(|f| name.as_str() <= f) || m.rented_at > then {
                continue;
            }
            let listed_until = m.gone_at.map(|at| if m.died { at + DEAD_LISTED_MS } else { at });
            if !m.died && listed_until.is_some_and(|until| until <= then) {
                continue;
            }
            if berths.len() >= most.min(LIST_MOST) {
                has_next = true;
                break;
            }
            let status = match m.up_at {
                _ if listed_until.is_some_and(|until| until <= then) => ListedState::Failed,
                Some(up) if up <= then => ListedState::Running,
                _ => ListedState::Booting,
            };
            berths.push(Listed {
                name_id: name.clone(),
                addr: m.addr.clone(),
                hull: self.offered[m.kind].hull.sku.clone(),
                dock: m.zone.clone(),
                driftwood: m.spot,
                status,
                held_s: (then - m.rented_at) as f64 / MS_PER_S,
            });
        }
        Listing { berths, has_next }
    }

    fn price(&self, kind: usize, spot: bool) -> f64 {
        let hull = &self.offered[kind].hull;
        if spot { hull.market_price * self.prices.1[kind] } else { hull.price }
    }

    fn charge(&mut self, now: u64) {
        let hours = now.saturating_sub(self.spent_at) as f64 / MS_PER_S / 3600.0;
        let held = self.machines.values().filter(|m| m.gone_at.is_none());
        self.spent += held.map(|m| self.price(m.kind, m.spot) * hours).sum::<f64>();
        self.spent_at = now;
    }

    /// Money spent so far.
    pub fn spent(&mut self, now: u64) -> f64 {
        self.charge(now);
        self.spent
    }
}
