//! The cloud as a pure machine: rentals, boot times, capacity, a list that lags, prices, money.

use crate::constants::{
    BOOT_TIME_SIGMA, DEAD_MACHINE_LISTED_MS, FAILED_BOOT_SHARE, MAX_MACHINE_PAGE,
    MAX_PROVISION_MACHINES, MIN_BILLED_S, MS_PER_S, PRICE_INTERVAL_MS, PRICE_SPREAD,
    SLOW_BOOT_SHARE,
};
use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::BTreeMap;
use swiftsail_controller::settings::CloudSettings as Limits;
use swiftsail_controller::store::TokenBucket;
use swiftsail_protocol::cloud::{
    ListedMachine, ListedMachineStatus, ListedMachineType, MachinePage, MachineTypes,
    ProvisionMachinesRequest,
};

/// A machine type with what is to be had of it.
#[derive(Debug, Clone)]
pub struct MachineOffer {
    /// The type as the cloud publishes it.
    pub machine_type: ListedMachineType,
    /// Machines of it in each zone, ordinary and spot each.
    pub capacity: u32,
}

/// A machine that was rented.
#[derive(Debug, Clone)]
pub struct CloudMachine {
    /// Number of its type among those offered.
    pub type_index: usize,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Its worker's address.
    pub address: String,
    /// When it was rented.
    pub provisioned_at: u64,
    /// When it comes up; none: never.
    pub up_at: Option<u64>,
    /// When it was returned or taken, or died.
    pub terminated_at: Option<u64>,
    /// It died, and is listed for a while.
    pub has_failed: bool,
}

/// The cloud.
pub struct FakeCloud {
    offers: Vec<MachineOffer>,
    machines: BTreeMap<String, CloudMachine>,
    provisioned_by_request: BTreeMap<String, Vec<String>>,
    limits: Limits,
    rate_limiter: TokenBucket,
    rng: StdRng,
    speed: f64,
    /// Spot prices as shares of the nominal ones, and when they were made.
    prices: (u64, Vec<f64>),
    money_spent: f64,
    charged_until: u64,
    last_machine_number: u32,
    /// Share of the machines that never come up.
    pub never_boots_probability: f64,
    /// Boots take this many times as long as usual.
    pub boot_time_factor: f64,
    /// Every machine is up within so long, ms; none: after its usual time.
    pub fixed_boot_ms: Option<u64>,
}

impl FakeCloud {
    /// A cloud that offers these types. `speed`: how many times as fast machines boot.
    pub fn new(
        offers: Vec<MachineOffer>,
        limits: Limits,
        rng: StdRng,
        speed: f64,
        now: u64,
    ) -> FakeCloud {
        FakeCloud {
            prices: (now, vec![1.0; offers.len()]),
            offers,
            machines: BTreeMap::new(),
            provisioned_by_request: BTreeMap::new(),
            rate_limiter: TokenBucket::with_burst_seconds(limits.rps, 2.0, now),
            limits,
            rng,
            speed,
            money_spent: 0.0,
            charged_until: now,
            last_machine_number: 0,
            never_boots_probability: FAILED_BOOT_SHARE,
            boot_time_factor: 1.0,
            fixed_boot_ms: None,
        }
    }

    /// Whether the limit lets a request through: bursts worth two seconds.
    pub fn admit(&mut self, now: u64) -> bool {
        let open = self.rate_limiter.can_take(1.0, 0.0, now);
        if open {
            self.rate_limiter.take(1.0);
        }
        open
    }

    /// All types, with their prices now.
    pub fn list_machine_types(&mut self, now: u64) -> MachineTypes {
        if now >= self.prices.0 + PRICE_INTERVAL_MS {
            self.charge_until(now);
            let rng = &mut self.rng;
            let price = |_: &MachineOffer| 1.0 + rng.random_range(-PRICE_SPREAD..PRICE_SPREAD);
            self.prices = (now, self.offers.iter().map(price).collect());
        }
        let with = |(o, share): (&MachineOffer, &f64)| ListedMachineType {
            spot_price: o.machine_type.spot_price * share,
            ..o.machine_type.clone()
        };
        MachineTypes { machine_types: self.offers.iter().zip(&self.prices.1).map(with).collect() }
    }

    /// The types as offered.
    pub fn offers(&self) -> &[MachineOffer] {
        &self.offers
    }

    /// Rents. None: no such type or zone, or a malformed number. Empty: no capacity.
    pub fn provision(&mut self, rent: &ProvisionMachinesRequest, now: u64) -> Option<Vec<String>> {
        if let Some(names) = self.provisioned_by_request.get(&rent.request_id) {
            return Some(names.clone());
        }
        self.charge_until(now);
        let kind = self.offers.iter().position(|o| o.machine_type.name == rent.machine_type)?;
        let offered = &self.offers[kind];
        if !offered.machine_type.zones.contains(&rent.zone)
            || !(1..=MAX_PROVISION_MACHINES).contains(&rent.count)
        {
            return None;
        }
        let held = self.machines.values().filter(|m| {
            m.terminated_at.is_none()
                && m.type_index == kind
                && m.zone == rent.zone
                && m.spot == rent.spot
        });
        let number = rent.count.min(offered.capacity.saturating_sub(held.count() as u32));
        let boot_ms =
            offered.machine_type.boot_s * MS_PER_S / self.speed * self.boot_time_factor;
        let mut names = Vec::new();
        for _ in 0..number {
            self.last_machine_number += 1;
            let name = format!("m-{:06}", self.last_machine_number);
            let factor = match self.rng.random_range(0.0..1.0) {
                at if at < self.never_boots_probability => None,
                at if at < self.never_boots_probability + SLOW_BOOT_SHARE => {
                    Some(self.rng.random_range(2.0..5.0))
                }
                _ => LogNormal::new(0.0, BOOT_TIME_SIGMA).ok().map(|d| d.sample(&mut self.rng)),
            };
            let quick = self.fixed_boot_ms.map(|most| now + self.rng.random_range(0..=most));
            let machine = CloudMachine {
                type_index: kind,
                zone: rent.zone.clone(),
                spot: rent.spot,
                address: name.clone(),
                provisioned_at: now,
                up_at: quick.or(factor.map(|f| now + (boot_ms * f) as u64)),
                terminated_at: None,
                has_failed: false,
            };
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        if !names.is_empty() {
            self.provisioned_by_request.insert(rent.request_id.clone(), names.clone());
        }
        Some(names)
    }

    /// Names of machines go on from a number: none is given twice, restarts included.
    pub fn raise_last_machine_number(&mut self, number: u32) {
        self.last_machine_number = self.last_machine_number.max(number);
    }

    /// Number of the last machine named.
    pub fn last_machine_number(&self) -> u32 {
        self.last_machine_number
    }

    /// A machine.
    pub fn machine(&self, name: &str) -> Option<&CloudMachine> {
        self.machines.get(name)
    }

    /// Names where its worker takes commands.
    pub fn set_address(&mut self, name: &str, addr: String) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.address = addr;
        }
    }

    /// Machines returned, taken (`died` false) or dead: gone from now on.
    pub fn terminate(&mut self, names: &[String], died: bool, now: u64) {
        self.charge_until(now);
        for name in names {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            // A dead machine that is returned is no longer listed.
            machine.has_failed &= died;
            if machine.terminated_at.is_none() {
                machine.terminated_at = Some(now);
                machine.has_failed = died;
                if !died && now < machine.provisioned_at + (MIN_BILLED_S * MS_PER_S) as u64 {
                    let ran = now.saturating_sub(machine.provisioned_at) as f64 / MS_PER_S;
                    let (kind, spot) = (machine.type_index, machine.spot);
                    self.money_spent += self.price_of(kind, spot) * (MIN_BILLED_S - ran) / 3600.0;
                }
            }
        }
    }

    /// A page of the list, as it was a while ago.
    pub fn list_machines(&mut self, from: Option<&str>, most: usize, now: u64) -> MachinePage {
        let lag = self.limits.list_lag_s * MS_PER_S;
        let then = now.saturating_sub((lag * self.rng.random_range(0.5..2.0)) as u64);
        let mut berths = Vec::new();
        let mut has_next = false;
        for (name, m) in &self.machines {
            if from.is_some_and(|f| name.as_str() <= f) || m.provisioned_at > then {
                continue;
            }
            let listed_until = m
                .terminated_at
                .map(|at| if m.has_failed { at + DEAD_MACHINE_LISTED_MS } else { at });
            if !m.has_failed && listed_until.is_some_and(|until| until <= then) {
                continue;
            }
            if berths.len() >= most.min(MAX_MACHINE_PAGE) {
                has_next = true;
                break;
            }
            let status = match m.up_at {
                _ if listed_until.is_some_and(|until| until <= then) => ListedMachineStatus::Failed,
                Some(up) if up <= then => ListedMachineStatus::Running,
                _ => ListedMachineStatus::Booting,
            };
            berths.push(ListedMachine {
                name: name.clone(),
                address: m.address.clone(),
                machine_type: self.offers[m.type_index].machine_type.name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                status,
                age_s: (then - m.provisioned_at) as f64 / MS_PER_S,
            });
        }
        MachinePage { machines: berths, has_next }
    }

    fn price_of(&self, kind: usize, spot: bool) -> f64 {
        let hull = &self.offers[kind].machine_type;
        if spot { hull.spot_price * self.prices.1[kind] } else { hull.price }
    }

    fn charge_until(&mut self, now: u64) {
        let hours = now.saturating_sub(self.charged_until) as f64 / MS_PER_S / 3600.0;
        let held = self.machines.values().filter(|m| m.terminated_at.is_none());
        self.money_spent += held.map(|m| self.price_of(m.type_index, m.spot) * hours).sum::<f64>();
        self.charged_until = now;
    }

    /// Money spent so far.
    pub fn money_spent(&mut self, now: u64) -> f64 {
        self.charge_until(now);
        self.money_spent
    }
}
