//! Fixed-point quantities of CPUs and GPUs, in billionths. Floating-point sums accumulate rounding errors: after many
//! tasks of 0.1 CPUs have started and ended, the usage counted against a limit of 10 would be slightly wrong.

use crate::constants::{ROUNDING_TOLERANCE, UNITS_PER_RESOURCE};
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A number of CPUs or GPUs, in billionths. May be negative. Addition, subtraction and multiplication saturate.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Quantity(i64);

impl Quantity {
    /// Zero.
    pub const ZERO: Quantity = Quantity(0);
    /// The largest quantity, which represents "no limit".
    pub const MAX: Quantity = Quantity(i64::MAX);

    /// A quantity requested by a task, rounded up, so that the usage of many tasks is never underestimated.
    pub fn from_request(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE - ROUNDING_TOLERANCE).ceil() as i64)
    }

    /// A limit or guarantee, rounded down.
    pub fn from_limit(number: f64) -> Quantity {
        Quantity((number * UNITS_PER_RESOURCE + ROUNDING_TOLERANCE).floor() as i64)
    }

    /// This quantity, in billionths.
    pub const fn units(self) -> i64 {
        self.0
    }

    /// A quantity given in billionths.
    pub const fn from_units(units: i64) -> Quantity {
        Quantity(units)
    }

    /// This quantity as a floating-point number, for display and estimates only: sums of these accumulate errors.
    pub fn to_f64(self) -> f64 {
        self.0 as f64 / UNITS_PER_RESOURCE
    }

    /// This quantity multiplied by `count`.
    pub fn multiplied_by(self, count: u32) -> Quantity {
        Quantity(self.0.saturating_mul(i64::from(count)))
    }

    /// How many times `each` fits into this quantity: 0 if this is negative, `u32::MAX` if `each` is not positive.
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

/// Quantities of the resources that are subject to quota.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceQuantities {
    /// Number of CPUs.
    pub cpus: Quantity,
    /// Number of GPUs.
    pub gpus: Quantity,
}

impl ResourceQuantities {
    /// Zero of both resources.
    pub const ZERO: ResourceQuantities =
        ResourceQuantities { cpus: Quantity::ZERO, gpus: Quantity::ZERO };

    /// Quantities requested by a task, rounded up.
    pub fn from_request(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities {
            cpus: Quantity::from_request(cpus),
            gpus: Quantity::from_request(gpus),
        }
    }

    /// Limits or guarantees, rounded down.
    pub fn from_limit(cpus: f64, gpus: f64) -> ResourceQuantities {
        ResourceQuantities { cpus: Quantity::from_limit(cpus), gpus: Quantity::from_limit(gpus) }
    }

    /// Applies `function` to each resource.
    pub fn map(self, function: impl Fn(Quantity) -> Quantity) -> ResourceQuantities {
        ResourceQuantities { cpus: function(self.cpus), gpus: function(self.gpus) }
    }

    /// Combines each resource with the same resource of `other` by `function`.
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

    /// The difference to `other` per resource, or zero where `other` is larger.
    pub fn excess_over(self, other: ResourceQuantities) -> ResourceQuantities {
        self.zip_with(other, |own, other| (own - other).max(Quantity::ZERO))
    }

    /// These quantities multiplied by `count`.
    pub fn multiplied_by(self, count: u32) -> ResourceQuantities {
        self.map(|quantity| quantity.multiplied_by(count))
    }

    /// Whether both resources are at least those of `other`.
    pub fn covers(self, other: ResourceQuantities) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus
    }

    /// How many times `each` fits into these quantities; the scarcer resource decides.
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

/// A team's limit, per resource; [`Quantity::MAX`] means no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLimit(ResourceQuantities);

impl QuotaLimit {
    /// The limit from a team's settings, where 0 means no limit.
    pub fn from_settings(cpus: f64, gpus: f64) -> QuotaLimit {
        let limit =
            |limit: f64| if limit > 0.0 { Quantity::from_limit(limit) } else { Quantity::MAX };
        QuotaLimit(ResourceQuantities { cpus: limit(cpus), gpus: limit(gpus) })
    }

    /// The lower of this limit and `held`, per resource.
    pub fn at_most(self, held: ResourceQuantities) -> QuotaLimit {
        QuotaLimit(self.0.zip_with(held, Quantity::min))
    }

    /// The quota that remains beside `used`, negative if `used` exceeds the limit. A resource without a limit stays
    /// [`Quantity::MAX`].
    pub fn remaining(&self, used: ResourceQuantities) -> ResourceQuantities {
        self.0.zip_with(
            used,
            |limit, used| {
                if limit == Quantity::MAX { limit } else { limit - used }
            },
        )
    }

    /// Whether `more` may be used in addition to `used`.
    pub fn allows(&self, used: ResourceQuantities, more: ResourceQuantities) -> bool {
        self.remaining(used).covers(more)
    }

    /// The limit per resource; [`Quantity::MAX`] means no limit.
    pub fn limit(&self) -> ResourceQuantities {
        self.0
    }
}
