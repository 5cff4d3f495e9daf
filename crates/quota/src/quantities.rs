//! Amounts as whole numbers. Sums of decimal numbers in binary drift with every addition: a hundred tasks
//! of 0.1 CPUs that come and go leave a limit of 10 a little short, or over.

use crate::constants::{ROUNDING_TOLERANCE, UNITS_PER_RESOURCE};
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// An amount of CPUs or accelerators, in billionths of one. Sums saturate.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Quantity(i64);

impl Quantity {
    /// None.
    pub const ZERO: Quantity = Quantity(0);
    /// More than anything.
    pub const MAX: Quantity = Quantity(i64::MAX);

    /// What a task takes, rounded up: a sum of tasks is never counted too small.
    pub fn from_request(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE - ROUNDING_TOLERANCE).ceil() as i64)
    }

    /// What is allowed, rounded down.
    pub fn from_limit(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE + ROUNDING_TOLERANCE).floor() as i64)
    }

    /// Billionths.
    pub const fn units(self) -> i64 {
        self.0
    }

    /// An amount of so many billionths.
    pub const fn from_units(parts: i64) -> Quantity {
        Quantity(parts)
    }

    /// As a decimal number, for display and estimates: never to be summed up and compared.
    pub fn to_f64(self) -> f64 {
        self.0 as f64 / UNITS_PER_RESOURCE
    }

    /// So many times as much.
    pub fn multiplied_by(self, number: u32) -> Quantity {
        Quantity(self.0.saturating_mul(i64::from(number)))
    }

    /// How many of `each` it holds; none if it is negative, and as many as can be told if `each` is nothing.
    pub fn times_covering(self, each: Quantity) -> u32 {
        match each.0 {
            i64::MIN..=0 => u32::MAX,
            each => u32::try_from((self.0 / each).max(0)).unwrap_or(u32::MAX),
        }
    }
}

impl Add for Quantity {
    type Output = Quantity;
    fn add(self, other: Quantity) -> Quantity {
        Quantity(self.0.saturating_add(other.0))
    }
}

impl Sub for Quantity {
    type Output = Quantity;
    fn sub(self, other: Quantity) -> Quantity {
        Quantity(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Quantity {
    fn add_assign(&mut self, other: Quantity) {
        *self = *self + other;
    }
}

impl SubAssign for Quantity {
    fn sub_assign(&mut self, other: Quantity) {
        *self = *self - other;
    }
}

impl std::iter::Sum for Quantity {
    fn sum<I: Iterator<Item = Quantity>>(all: I) -> Quantity {
        all.fold(Quantity::ZERO, Add::add)
    }
}

/// Amounts of both kinds that limits know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceQuantities {
    /// CPUs.
    pub cpus: Quantity,
    /// Accelerators.
    pub gpus: Quantity,
}

impl ResourceQuantities {
    /// What a task takes.
    pub fn from_request(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities {
            cpus: Quantity::from_request(cpus),
            gpus: Quantity::from_request(gpus),
        }
    }

    /// What is allowed or guaranteed.
    pub fn from_limit(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities { cpus: Quantity::from_limit(cpus), gpus: Quantity::from_limit(gpus) }
    }

    /// Both by the same function.
    pub fn map(self, by: impl Fn(Quantity) -> Quantity) -> ResourceQuantities {
        ResourceQuantities { cpus: by(self.cpus), gpus: by(self.gpus) }
    }

    /// Each kind with the other's.
    pub fn zip_with(
        self,
        other: ResourceQuantities,
        by: impl Fn(Quantity, Quantity) -> Quantity,
    ) -> ResourceQuantities {
        ResourceQuantities { cpus: by(self.cpus, other.cpus), gpus: by(self.gpus, other.gpus) }
    }

    /// So many times as much.
    pub fn multiplied_by(self, number: u32) -> ResourceQuantities {
        self.map(|a| a.multiplied_by(number))
    }

    /// Whether it is at least as much of both.
    pub fn covers(self, other: ResourceQuantities) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus
    }

    /// How many of `each` it holds.
    pub fn times_covering(self, each: ResourceQuantities) -> u32 {
        self.cpus.times_covering(each.cpus).min(self.gpus.times_covering(each.gpus))
    }
}

impl Add for ResourceQuantities {
    type Output = ResourceQuantities;
    fn add(self, other: ResourceQuantities) -> ResourceQuantities {
        self.zip_with(other, Add::add)
    }
}

impl Sub for ResourceQuantities {
    type Output = ResourceQuantities;
    fn sub(self, other: ResourceQuantities) -> ResourceQuantities {
        self.zip_with(other, Sub::sub)
    }
}

impl AddAssign for ResourceQuantities {
    fn add_assign(&mut self, other: ResourceQuantities) {
        *self = *self + other;
    }
}

impl SubAssign for ResourceQuantities {
    fn sub_assign(&mut self, other: ResourceQuantities) {
        *self = *self - other;
    }
}

impl std::iter::Sum for ResourceQuantities {
    fn sum<I: Iterator<Item = ResourceQuantities>>(all: I) -> ResourceQuantities {
        all.fold(ResourceQuantities::default(), Add::add)
    }
}

/// A team's limit: 0 in the settings means that there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLimit(ResourceQuantities);

impl QuotaLimit {
    /// The limit of a team's settings.
    pub fn from_settings(cpus: f64, gpus: f64) -> QuotaLimit {
        let cap = |most: f64| if most > 0.0 { Quantity::from_limit(most) } else { Quantity::MAX };
        QuotaLimit(ResourceQuantities { cpus: cap(cpus), gpus: cap(gpus) })
    }

    /// No more than that either.
    pub fn at_most(self, held: ResourceQuantities) -> QuotaLimit {
        QuotaLimit(self.0.zip_with(held, Quantity::min))
    }

    /// What it leaves. An amount without a limit is left as more than anything.
    pub fn remaining(&self, used: ResourceQuantities) -> ResourceQuantities {
        let left =
            |cap: Quantity, used: Quantity| if cap == Quantity::MAX { cap } else { cap - used };
        self.0.zip_with(used, left)
    }

    /// Whether as much more may be used.
    pub fn allows(&self, used: ResourceQuantities, more: ResourceQuantities) -> bool {
        self.remaining(used).covers(more)
    }

    /// The limit itself.
    pub fn limit(&self) -> ResourceQuantities {
        self.0
    }
}
