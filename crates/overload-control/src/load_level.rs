//! How far behind a controller is. The idea is CoDel's (Nichols and Jacobson, "Controlling Queue
//! Delay", 2012): a queue that empties now and then does no harm, however long it is for a moment; one
//! whose least delay over an interval stays above a target stands, and something must be shed.

use crate::Time;
use crate::constants::{
    DELAY_INTERVAL_MS, ELEVATED_DELAY_MS, ELEVATED_PERIOD_FACTOR, ELEVATED_RETRY_AFTER_S,
    ELEVATED_WORK_SHARE, OVERLOADED_DELAY_MS, OVERLOADED_PERIOD_FACTOR, OVERLOADED_RETRY_AFTER_S,
    OVERLOADED_WORK_SHARE, RELIEF_INTERVALS,
};

/// How pressed a controller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// Work is done as it comes.
    Normal,
    /// Placement yields, so that nothing else is late.
    Elevated,
    /// Users are sent away for some seconds too: leases, proofs and stops need all there is.
    Overloaded,
}

/// The delay-based controller.
#[derive(Debug)]
pub struct LoadMonitor {
    level: LoadLevel,
    /// Least delay of the interval under way, ms.
    min_delay_ms: Option<u64>,
    /// When that interval began.
    interval_started_at: Time,
    /// Intervals in a row that would allow a lower level.
    relief_intervals: u32,
}

impl LoadMonitor {
    /// A controller without any load yet.
    pub fn new(now: Time) -> LoadMonitor {
        LoadMonitor {
            level: LoadLevel::Normal,
            min_delay_ms: None,
            interval_started_at: now,
            relief_intervals: 0,
        }
    }

    /// The level now.
    pub fn level(&self) -> LoadLevel {
        self.level
    }

    /// Notes how long a piece of work waited for the processor, ms. True if the level has changed.
    pub fn record_delay(&mut self, delay_ms: u64, now: Time) -> bool {
        self.min_delay_ms = Some(self.min_delay_ms.map_or(delay_ms, |l| l.min(delay_ms)));
        if now < self.interval_started_at + DELAY_INTERVAL_MS {
            return false;
        }
        let standing = self.min_delay_ms.take().unwrap_or(0);
        self.interval_started_at = now;
        let before = self.level;
        self.update_level(standing);
        self.level != before
    }

    /// The one function that changes the level: up at once, as far as the delay says; down one step
    /// after some intervals with less than half of what led there.
    fn update_level(&mut self, standing: u64) {
        let called = match standing {
            s if s > OVERLOADED_DELAY_MS => LoadLevel::Overloaded,
            s if s > ELEVATED_DELAY_MS => LoadLevel::Elevated,
            _ => LoadLevel::Normal,
        };
        let (half, lower) = match self.level {
            LoadLevel::Normal => (0, LoadLevel::Normal),
            LoadLevel::Elevated => (ELEVATED_DELAY_MS / 2, LoadLevel::Normal),
            LoadLevel::Overloaded => (OVERLOADED_DELAY_MS / 2, LoadLevel::Elevated),
        };
        if called > self.level {
            (self.level, self.relief_intervals) = (called, 0);
        } else if self.level > LoadLevel::Normal && standing <= half {
            self.relief_intervals += 1;
            if self.relief_intervals >= RELIEF_INTERVALS {
                (self.level, self.relief_intervals) = (lower, 0);
            }
        } else {
            self.relief_intervals = 0;
        }
    }

    /// A usual bound of a pass, as small as the pressure asks; never 0.
    pub fn scaled_work(&self, usual: usize) -> usize {
        let share = match self.level {
            LoadLevel::Normal => return usual,
            LoadLevel::Elevated => ELEVATED_WORK_SHARE,
            LoadLevel::Overloaded => OVERLOADED_WORK_SHARE,
        };
        ((usual as f64 * share) as usize).max(1)
    }

    /// A usual period, as long as the pressure asks.
    pub fn scaled_period_ms(&self, usual_ms: u64) -> u64 {
        usual_ms
            * match self.level {
                LoadLevel::Normal => 1,
                LoadLevel::Elevated => ELEVATED_PERIOD_FACTOR,
                LoadLevel::Overloaded => OVERLOADED_PERIOD_FACTOR,
            }
    }

    /// When a user sent away should come back, s; `spread` from 0 to 1 keeps them from coming together.
    pub fn retry_after_s(&self, spread: f64) -> u32 {
        let most = match self.level {
            LoadLevel::Normal => return 1,
            LoadLevel::Elevated => ELEVATED_RETRY_AFTER_S,
            LoadLevel::Overloaded => OVERLOADED_RETRY_AFTER_S,
        };
        1 + (f64::from(most) * spread.clamp(0.0, 1.0)) as u32
    }
}
