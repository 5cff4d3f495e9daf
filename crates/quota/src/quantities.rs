//! Fixed-point quantities of CPUs and GPUs. Floating-point sums accumulate rounding errors: after many tasks of 0.1 CPUs
//! have started and ended, the usage counted against a limit of 10 would be slightly wrong.
//!
//! Limits and everything that is stored are whole billionths. Requests of tasks are counted more finely: rounded to
//! billionths, tasks that together use exactly their team's limit, such as 9 of 13.333333333333334 CPUs, would exceed it.

use crate::constants::{
    FRACTIONS_PER_RESOURCE, FRACTIONS_PER_UNIT, REQUEST_TOLERANCE, ROUNDING_TOLERANCE,
    UNITS_PER_RESOURCE,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A number of CPUs or GPUs, in billionths of a billionth. May be negative. Addition, subtraction and multiplication
/// saturate. Stored and sent as [`Quantity::units`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Quantity(i128);

impl Quantity {
    /// Zero.
    pub const ZERO: Quantity = Quantity(0);
    /// The largest quantity, which represents "no limit".
    pub const MAX: Quantity = Quantity(i128::MAX);

    /// A quantity requested by a task. It is smaller than `number` by a few of the latter's floating-point rounding
    /// errors, so that tasks fit into a limit that was divided among them.
    pub fn from_request(number: f64) -> Quantity {
        let fractions = number * FRACTIONS_PER_RESOURCE * (1.0 - REQUEST_TOLERANCE);
        // A number that fits in 64 bits is converted much faster.
        if fractions < i64::MAX as f64 {
            let whole = fractions as i64;
            Quantity(i128::from(whole) + i128::from((whole as f64) < fractions))
        } else {
            Quantity(fractions.ceil() as i128)
        }
    }

    /// A limit or guarantee, rounded down to billionths.
    pub fn from_limit(number: f64) -> Quantity {
        let units = (number * UNITS_PER_RESOURCE + ROUNDING_TOLERANCE).floor();
        Quantity::from_units(units as i64)
    }

    /// This quantity in billionths, rounded up.
    pub const fn units(self) -> i64 {
        let units = self.0.div_euclid(FRACTIONS_PER_UNIT);
        let is_whole = self.0.rem_euclid(FRACTIONS_PER_UNIT) == 0;
        let rounded_up = if is_whole { units } else { units + 1 };
        if rounded_up > i64::MAX as i128 {
            i64::MAX
        } else if rounded_up < i64::MIN as i128 {
            i64::MIN
        } else {
            rounded_up as i64
        }
    }

    /// A quantity given in billionths; `i64::MAX` means [`Quantity::MAX`].
    pub const fn from_units(units: i64) -> Quantity {
        match units {
            i64::MAX => Quantity::MAX,
            units => Quantity(units as i128 * FRACTIONS_PER_UNIT),
        }
    }

    /// This quantity rounded up to billionths, as it can be stored.
    pub const fn rounded_up(self) -> Quantity {
        Quantity::from_units(self.units())
    }

    /// This quantity rounded down to billionths, as it can be stored.
    pub const fn rounded_down(self) -> Quantity {
        Quantity(self.0.saturating_sub(self.0.rem_euclid(FRACTIONS_PER_UNIT)))
    }

    /// This quantity as a floating-point number, for display and estimates only: sums of these accumulate errors.
    pub fn to_f64(self) -> f64 {
        self.units() as f64 / UNITS_PER_RESOURCE
    }

    /// This quantity multiplied by `count`.
    pub fn multiplied_by(self, count: u32) -> Quantity {
        // A product of 64-bit numbers cannot overflow, and needs no check.
        match i64::try_from(self.0) {
            Ok(fractions) => Quantity(i128::from(fractions) * i128::from(count)),
            Err(_) => Quantity(self.0.saturating_mul(i128::from(count))),
        }
    }

    /// How many times `each` fits into this quantity: 0 if this is negative, `u32::MAX` if `each` is not positive.
    pub fn fit_count(self, each: Quantity) -> u32 {
        if each.0 <= 0 {
            return u32::MAX;
        }
        let count = match (u64::try_from(self.0), u64::try_from(each.0)) {
            // Divided much faster than 128-bit numbers.
            (Ok(fractions), Ok(each)) => i128::from(fractions / each),
            _ => (self.0 / each.0).max(0),
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

impl Serialize for Quantity {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.units().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Quantity {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Quantity, D::Error> {
        i64::deserialize(deserializer).map(Quantity::from_units)
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

    /// Quantities requested by a task ([`Quantity::from_request`]).
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
