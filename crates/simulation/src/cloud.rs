//! A fake cloud, as a state machine without I/O: provisioning, boot times, capacity, a machine list that lags behind,
//! prices and costs. Times are milliseconds of the caller's monotonic clock.

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

/// A machine type that the cloud offers, with its capacity.
#[derive(Debug, Clone)]
pub struct MachineOffer {
    /// The type as the cloud publishes it.
    pub machine_type: ListedMachineType,
    /// Most machines of the type at a time, in each zone, counted separately for on-demand and spot machines.
    pub capacity: u32,
}

/// A machine that was provisioned.
#[derive(Debug, Clone)]
pub struct CloudMachine {
    /// Index of its offer.
    pub type_index: usize,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address at which its worker receives direct commands.
    pub address: String,
    /// When it was provisioned.
    pub provisioned_at: u64,
    /// When it has booted; `None`: never.
    pub up_at: Option<u64>,
    /// When it was returned or reclaimed, or died.
    pub terminated_at: Option<u64>,
    /// Whether it died: it is listed until it is returned, at first as running and then as failed.
    pub has_failed: bool,
}

/// A fake cloud.
pub struct FakeCloud {
    offers: Vec<MachineOffer>,
    machines: BTreeMap<String, CloudMachine>,
    provisioned_by_request: BTreeMap<String, Vec<String>>,
    limits: Limits,
    rate_limiter: TokenBucket,
    rng: StdRng,
    speed: f64,
    /// When the spot prices were last changed, and the factor on each offer's nominal spot price.
    prices: (u64, Vec<f64>),
    money_spent: f64,
    charged_until: u64,
    last_machine_number: u32,
    /// Probability that a machine never finishes booting.
    pub never_boots_probability: f64,
    /// Factor on all boot times.
    pub boot_time_factor: f64,
    /// If set, every machine boots within this time, ms, drawn uniformly; otherwise by its type's boot time.
    pub fixed_boot_ms: Option<u64>,
}

impl FakeCloud {
    /// A cloud with these offers. `speed` divides the boot times.
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

    /// Whether the rate limit admits a request now. Allows bursts of two seconds' worth of requests.
    pub fn admit(&mut self, now: u64) -> bool {
        let admitted = self.rate_limiter.can_take(1.0, 0.0, now);
        if admitted {
            self.rate_limiter.take(1.0);
        }
        admitted
    }

    /// All machine types with their current prices.
    pub fn list_machine_types(&mut self, now: u64) -> MachineTypes {
        if now >= self.prices.0 + PRICE_INTERVAL_MS {
            self.charge_until(now);
            let rng = &mut self.rng;
            let price = |_: &MachineOffer| 1.0 + rng.random_range(-PRICE_SPREAD..PRICE_SPREAD);
            self.prices = (now, self.offers.iter().map(price).collect());
        }
        let to_listed = |(offer, factor): (&MachineOffer, &f64)| ListedMachineType {
            spot_price: offer.machine_type.spot_price * factor,
            ..offer.machine_type.clone()
        };
        MachineTypes {
            machine_types: self.offers.iter().zip(&self.prices.1).map(to_listed).collect(),
        }
    }

    /// The offers, in the order given to [`FakeCloud::new`].
    pub fn offers(&self) -> &[MachineOffer] {
        &self.offers
    }

    /// Provisions machines and returns their names: fewer than requested, or none, if the capacity is used up. `None` if
    /// the type or zone does not exist or the count is out of range. A repeated request id returns the same names again.
    pub fn provision(
        &mut self,
        request: &ProvisionMachinesRequest,
        now: u64,
    ) -> Option<Vec<String>> {
        if let Some(names) = self.provisioned_by_request.get(&request.request_id) {
            return Some(names.clone());
        }
        self.charge_until(now);
        let type_index =
            self.offers.iter().position(|o| o.machine_type.name == request.machine_type)?;
        let offer = &self.offers[type_index];
        if !offer.machine_type.zones.contains(&request.zone)
            || !(1..=MAX_PROVISION_MACHINES).contains(&request.count)
        {
            return None;
        }
        let active = self.machines.values().filter(|m| {
            m.terminated_at.is_none()
                && m.type_index == type_index
                && m.zone == request.zone
                && m.spot == request.spot
        });
        let count = request.count.min(offer.capacity.saturating_sub(active.count() as u32));
        let boot_ms = offer.machine_type.boot_s * MS_PER_S / self.speed * self.boot_time_factor;
        let mut names = Vec::new();
        for _ in 0..count {
            self.last_machine_number += 1;
            let name = format!("m-{:06}", self.last_machine_number);
            let factor = match self.rng.random_range(0.0..1.0) {
                draw if draw < self.never_boots_probability => None,
                draw if draw < self.never_boots_probability + SLOW_BOOT_SHARE => {
                    Some(self.rng.random_range(2.0..5.0))
                }
                _ => LogNormal::new(0.0, BOOT_TIME_SIGMA).ok().map(|d| d.sample(&mut self.rng)),
            };
            let fixed = self.fixed_boot_ms.map(|limit| now + self.rng.random_range(0..=limit));
            let machine = CloudMachine {
                type_index,
                zone: request.zone.clone(),
                spot: request.spot,
                address: name.clone(),
                provisioned_at: now,
                up_at: fixed.or(factor.map(|f| now + (boot_ms * f) as u64)),
                terminated_at: None,
                has_failed: false,
            };
            self.machines.insert(name.clone(), machine);
            names.push(name);
        }
        if !names.is_empty() {
            self.provisioned_by_request.insert(request.request_id.clone(), names.clone());
        }
        Some(names)
    }

    /// Makes machine numbers continue after `number`, so that no name is reused after a restart.
    pub fn raise_last_machine_number(&mut self, number: u32) {
        self.last_machine_number = self.last_machine_number.max(number);
    }

    /// The number in the name of the latest machine.
    pub fn last_machine_number(&self) -> u32 {
        self.last_machine_number
    }

    /// The machine with this name, terminated or not.
    pub fn machine(&self, name: &str) -> Option<&CloudMachine> {
        self.machines.get(name)
    }

    /// Sets the address at which a machine's worker receives direct commands.
    pub fn set_address(&mut self, name: &str, address: String) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.address = address;
        }
    }

    /// Terminates machines: they die (`has_died`), or are returned or reclaimed.
    pub fn terminate(&mut self, names: &[String], has_died: bool, now: u64) {
        self.charge_until(now);
        for name in names {
            let Some(machine) = self.machines.get_mut(name) else { continue };
            // A dead machine is no longer listed once it is returned.
            machine.has_failed &= has_died;
            if machine.terminated_at.is_none() {
                machine.terminated_at = Some(now);
                machine.has_failed = has_died;
                if !has_died && now < machine.provisioned_at + (MIN_BILLED_S * MS_PER_S) as u64 {
                    let ran_s = now.saturating_sub(machine.provisioned_at) as f64 / MS_PER_S;
                    let (type_index, spot) = (machine.type_index, machine.spot);
                    self.money_spent +=
                        self.price_of(type_index, spot) * (MIN_BILLED_S - ran_s) / 3600.0;
                }
            }
        }
    }

    /// A page of the machine list after the name `from`, as the list was some time ago.
    pub fn list_machines(&mut self, from: Option<&str>, limit: usize, now: u64) -> MachinePage {
        let lag = self.limits.list_lag_s * MS_PER_S;
        let listed_at = now.saturating_sub((lag * self.rng.random_range(0.5..2.0)) as u64);
        let mut machines = Vec::new();
        let mut has_next = false;
        for (name, m) in &self.machines {
            if from.is_some_and(|f| name.as_str() <= f) || m.provisioned_at > listed_at {
                continue;
            }
            let listed_until = m
                .terminated_at
                .map(|at| if m.has_failed { at + DEAD_MACHINE_LISTED_MS } else { at });
            if !m.has_failed && listed_until.is_some_and(|until| until <= listed_at) {
                continue;
            }
            if machines.len() >= limit.min(MAX_MACHINE_PAGE) {
                has_next = true;
                break;
            }
            let status = match m.up_at {
                _ if listed_until.is_some_and(|until| until <= listed_at) => {
                    ListedMachineStatus::Failed
                }
                Some(up) if up <= listed_at => ListedMachineStatus::Running,
                _ => ListedMachineStatus::Booting,
            };
            machines.push(ListedMachine {
                name: name.clone(),
                address: m.address.clone(),
                machine_type: self.offers[m.type_index].machine_type.name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                status,
                age_s: (listed_at - m.provisioned_at) as f64 / MS_PER_S,
            });
        }
        MachinePage { machines, has_next }
    }

    fn price_of(&self, type_index: usize, spot: bool) -> f64 {
        let machine_type = &self.offers[type_index].machine_type;
        if spot { machine_type.spot_price * self.prices.1[type_index] } else { machine_type.price }
    }

    fn charge_until(&mut self, now: u64) {
        let hours = now.saturating_sub(self.charged_until) as f64 / MS_PER_S / 3600.0;
        let active = self.machines.values().filter(|m| m.terminated_at.is_none());
        self.money_spent +=
            active.map(|m| self.price_of(m.type_index, m.spot) * hours).sum::<f64>();
        self.charged_until = now;
    }

    /// Total cost so far.
    pub fn money_spent(&mut self, now: u64) -> f64 {
        self.charge_until(now);
        self.money_spent
    }
}
