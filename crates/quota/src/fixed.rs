//! Amounts as whole numbers. Sums of decimal numbers in binary drift with every addition: a hundred tasks
//! of 0.1 CPUs that come and go leave a limit of 10 a little short, or over.

use crate::constants::{PART_SLACK, PARTS};
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// An amount of CPUs or accelerators, in billionths of one. Sums saturate.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(i64);

impl Amount {
    /// None.
    pub const ZERO: Amount = Amount(0);
    /// More than anything.
    pub const MAX: Amount = Amount(i64::MAX);

    /// What a task takes, rounded up: a sum of tasks is never counted too small.
    pub fn need(number: f64) -> Amount {
        Amount((number * PARTS - PART_SLACK).ceil() as i64)
    }

    /// What is allowed, rounded down.
    pub fn limit(number: f64) -> Amount {
        Amount((number * PARTS + PART_SLACK).floor() as i64)
    }

    /// Billionths.
    pub const fn parts(self) -> i64 {
        self.0
    }

    /// An amount of so many billionths.
    pub const fn of_parts(parts: i64) -> Amount {
        Amount(parts)
    }

    /// As a decimal number, for display and estimates: never to be summed up and compared.
    pub fn number(self) -> f64 {
        self.0 as f64 / PARTS
    }

    /// So many times as much.
    pub fn times(self, number: u32) -> Amount {
        Amount(self.0.saturating_mul(i64::from(number)))
    }

    /// How many of `each` it holds; none if it is negative, and as many as can be told if `each` is nothing.
    pub fn holds(self, each: Amount) -> u32 {
        match each.0 {
            i64::MIN..=0 => u32::MAX,
            each => u32::try_from((self.0 / each).max(0)).unwrap_or(u32::MAX),
        }
    }
}

impl Add for Amount {
    type Output = Amount;
    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl Sub for Amount {
    type Output = Amount;
    fn sub(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        *self = *self - other;
    }
}

impl std::iter::Sum for Amount {
    fn sum<I: Iterator<Item = Amount>>(all: I) -> Amount {
        all.fold(Amount::ZERO, Add::add)
    }
}

/// Amounts of both kinds that limits know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amounts {
    /// CPUs.
    pub cpus: Amount,
    /// Accelerators.
    pub gpus: Amount,
}

impl Amounts {
    /// What a task takes.
    pub fn need(cpus: f64, gpus: f64) -> Amounts {
        Amounts { cpus: Amount::need(cpus), gpus: Amount::need(gpus) }
    }

    /// What is allowed or guaranteed.
    pub fn limit(cpus: f64, gpus: f64) -> Amounts {
        Amounts { cpus: Amount::limit(cpus), gpus: Amount::limit(gpus) }
    }

    /// Both by the same function.
    pub fn map(self, by: impl Fn(Amount) -> Amount) -> Amounts {
        Amounts { cpus: by(self.cpus), gpus: by(self.gpus) }
    }

    /// Each kind with the other's.
    pub fn with(self, other: Amounts, by: impl Fn(Amount, Amount) -> Amount) -> Amounts {
        Amounts { cpus: by(self.cpus, other.cpus), gpus: by(self.gpus, other.gpus) }
    }

    /// So many times as much.
    pub fn times(self, number: u32) -> Amounts {
        self.map(|a| a.times(number))
    }

    /// Whether it is at least as much of both.
    pub fn covers(self, other: Amounts) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus
    }

    /// How many of `each` it holds.
    pub fn holds(self, each: Amounts) -> u32 {
        self.cpus.holds(each.cpus).min(self.gpus.holds(each.gpus))
    }
}

impl Add for Amounts {
    type Output = Amounts;
    fn add(self, other: Amounts) -> Amounts {
        self.with(other, Add::add)
    }
}

impl Sub for Amounts {
    type Output = Amounts;
    fn sub(self, other: Amounts) -> Amounts {
        self.with(other, Sub::sub)
    }
}

impl AddAssign for Amounts {
    fn add_assign(&mut self, other: Amounts) {
        *self = *self + other;
    }
}

impl SubAssign for Amounts {
    fn sub_assign(&mut self, other: Amounts) {
        *self = *self - other;
    }
}

impl std::iter::Sum for Amounts {
    fn sum<I: Iterator<Item = Amounts>>(all: I) -> Amounts {
        all.fold(Amounts::default(), Add::add)
    }
}

/// A team's limit: 0 in the settings means that there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cap(Amounts);

impl Cap {
    /// The limit of a team's settings.
    pub fn of_settings(cpus: f64, gpus: f64) -> Cap {
        let cap = |most: f64| if most > 0.0 { Amount::limit(most) } else { Amount::MAX };
        Cap(Amounts { cpus: cap(cpus), gpus: cap(gpus) })
    }

    /// No more than that either.
    pub fn at_most(self, held: Amounts) -> Cap {
        Cap(self.0.with(held, Amount::min))
    }

    /// What it leaves. An amount without a limit is left as more than anything.
    pub fn left(&self, used: Amounts) -> Amounts {
        let left = |cap: Amount, used: Amount| if cap == Amount::MAX { cap } else { cap - used };
        self.0.with(used, left)
    }

    /// Whether as much more may be used.
    pub fn allows(&self, used: Amounts, more: Amounts) -> bool {
        self.left(used).covers(more)
    }

    /// The limit itself.
    pub fn most(&self) -> Amounts {
        self.0
    }
}
