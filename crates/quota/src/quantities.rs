//! Quantities of CPUs and GPUs as whole numbers of billionths. Sums of decimal numbers in binary drift with every
//! addition: a hundred tasks of 0.1 CPUs that come and go leave a limit of 10 a little short, or over.

use crate::constants::{ROUNDING_TOLERANCE, UNITS_PER_RESOURCE};
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A number of CPUs or GPUs, in billionths of one. Sums, differences and products saturate; it may be negative.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Quantity(i64);

impl Quantity {
    /// Nothing.
    pub const ZERO: Quantity = Quantity(0);
    /// The largest quantity: it stands for "no limit".
    pub const MAX: Quantity = Quantity(i64::MAX);

    /// What a task requests, rounded up, so that a sum of tasks is never counted too small.
    pub fn from_request(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE - ROUNDING_TOLERANCE).ceil() as i64)
    }

    /// A limit or guarantee, rounded down.
    pub fn from_limit(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE + ROUNDING_TOLERANCE).floor() as i64)
    }

    /// The quantity in billionths.
    pub const fn units(self) -> i64 {
        self.0
    }

    /// A quantity of so many billionths.
    pub const fn from_units(units: i64) -> Quantity {
        Quantity(units)
    }

    /// As a decimal number, for display and estimates only: sums of these drift.
    pub fn to_f64(self) -> f64 {
        self.0 as f64 / UNITS_PER_RESOURCE
    }

    /// This quantity `count` times.
    pub fn multiplied_by(self, count: u32) -> Quantity {
        Quantity(self.0.saturating_mul(i64::from(count)))
    }

    /// How many times `each` fits: 0 if this is negative, `u32::MAX` if `each` is zero or less.
    pub fn fit_count(self, each: Quantity) -> u32 {
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
    fn sum<I: Iterator<Item = Quantity>>(quantities: I) -> Quantity {
        quantities.fold(Quantity::ZERO, Add::add)
    }
}

/// Quantities of both resources that limits count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceQuantities {
    /// CPUs.
    pub cpus: Quantity,
    /// GPUs.
    pub gpus: Quantity,
}

impl ResourceQuantities {
    /// Nothing of either.
    pub const ZERO: ResourceQuantities =
        ResourceQuantities { cpus: Quantity::ZERO, gpus: Quantity::ZERO };

    /// What a task requests, rounded up.
    pub fn from_request(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities {
            cpus: Quantity::from_request(cpus),
            gpus: Quantity::from_request(gpus),
        }
    }

    /// A limit or guarantee, rounded down.
    pub fn from_limit(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities { cpus: Quantity::from_limit(cpus), gpus: Quantity::from_limit(gpus) }
    }

    /// Applies a function to each resource.
    pub fn map(self, function: impl Fn(Quantity) -> Quantity) -> ResourceQuantities {
        ResourceQuantities { cpus: function(self.cpus), gpus: function(self.gpus) }
    }

    /// Combines each resource with the same one of `other`.
    pub fn zip_with(
        self,
        other: ResourceQuantities,
        function: impl Fn(Quantity, Quantity) -> Quantity,
    ) -> ResourceQuantities {
        ResourceQuantities {
            cpus: function(self.cpus, other.cpus),
            gpus: function(self.gpus, other.gpus),
        }
    }

    /// Whether both resources are exactly zero.
    pub fn is_zero(self) -> bool {
        self == ResourceQuantities::ZERO
    }

    /// By how much each resource exceeds the other's: the difference, but never below zero.
    pub fn excess_over(self, other: ResourceQuantities) -> ResourceQuantities {
        self.zip_with(other, |own, other| (own - other).max(Quantity::ZERO))
    }

    /// These quantities `count` times.
    pub fn multiplied_by(self, count: u32) -> ResourceQuantities {
        self.map(|quantity| quantity.multiplied_by(count))
    }

    /// Whether this is at least as much of both resources.
    pub fn covers(self, other: ResourceQuantities) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus
    }

    /// How many times `each` fits, by the scarcer resource.
    pub fn fit_count(self, each: ResourceQuantities) -> u32 {
        self.cpus.fit_count(each.cpus).min(self.gpus.fit_count(each.gpus))
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
    fn sum<I: Iterator<Item = ResourceQuantities>>(quantities: I) -> ResourceQuantities {
        quantities.fold(ResourceQuantities::default(), Add::add)
    }
}

/// A team's limit, per resource; [`Quantity::MAX`] where there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLimit(ResourceQuantities);

impl QuotaLimit {
    /// The limit that a team's settings name; 0 there means no limit.
    pub fn from_settings(cpus: f64, gpus: f64) -> QuotaLimit {
        let limit =
            |limit: f64| if limit > 0.0 { Quantity::from_limit(limit) } else { Quantity::MAX };
        QuotaLimit(ResourceQuantities { cpus: limit(cpus), gpus: limit(gpus) })
    }

    /// The lower of this limit and `held`, per resource.
    pub fn at_most(self, held: ResourceQuantities) -> QuotaLimit {
        QuotaLimit(self.0.zip_with(held, Quantity::min))
    }

    /// What the limit leaves beside what is used, negative if more is used. An unlimited resource stays unlimited.
    pub fn remaining(&self, used: ResourceQuantities) -> ResourceQuantities {
        self.0.zip_with(
            used,
            |limit, used| {
                if limit == Quantity::MAX { limit } else { limit - used }
            },
        )
    }

    /// Whether `more` may be used in addition.
    pub fn allows(&self, used: ResourceQuantities, more: ResourceQuantities) -> bool {
        self.remaining(used).covers(more)
    }

    /// The limit as quantities; [`Quantity::MAX`] where there is none.
    pub fn limit(&self) -> ResourceQuantities {
        self.0
    }
}
