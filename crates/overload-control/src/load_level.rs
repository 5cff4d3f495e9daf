//! Load level of a controller, derived from how long work waits for the processor, and the amount of work that it does
//! and accepts at each level. This follows CoDel (Nichols and Jacobson, "Controlling Queue Delay", 2012): a queue that
//! empties now and then is harmless, however long it is for a moment. A queue whose minimum delay over an interval stays
//! above a target is a standing queue, and load must be shed.

use crate::Time;
use crate::constants::{
    DELAY_INTERVAL_MS, ELEVATED_DELAY_MS, ELEVATED_PERIOD_FACTOR, ELEVATED_RETRY_AFTER_S,
    ELEVATED_WORK_SHARE, OVERLOADED_DELAY_MS, OVERLOADED_PERIOD_FACTOR, OVERLOADED_RETRY_AFTER_S,
    OVERLOADED_WORK_SHARE, RELIEF_INTERVALS,
};

/// Load level of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// All work is done as it arrives.
    Normal,
    /// Scheduling cycles are smaller and less frequent, so that other work is not delayed.
    Elevated,
    /// In addition, users' requests are rejected for some seconds, because lease renewals, proofs of task absence and
    /// stops need the whole processor.
    Overloaded,
}

/// Derives the load level from the observed delays.
#[derive(Debug)]
pub struct LoadMonitor {
    level: LoadLevel,
    /// Minimum delay in the current interval, ms.
    min_delay_ms: Option<u64>,
    /// Start of the current interval.
    interval_started_at: Time,
    /// Number of consecutive intervals that would allow a lower level.
    relief_intervals: u32,
}

impl LoadMonitor {
    /// Creates a monitor without observations, at the normal level.
    pub fn new(now: Time) -> LoadMonitor {
        LoadMonitor {
            level: LoadLevel::Normal,
            min_delay_ms: None,
            interval_started_at: now,
            relief_intervals: 0,
        }
    }

    /// The current level.
    pub fn level(&self) -> LoadLevel {
        self.level
    }

    /// Records how long a piece of work waited for the processor, ms. Returns whether the level has changed, which is
    /// possible only at the end of an interval.
    pub fn record_delay(&mut self, delay_ms: u64, now: Time) -> bool {
        self.min_delay_ms = Some(self.min_delay_ms.map_or(delay_ms, |min| min.min(delay_ms)));
        if now < self.interval_started_at + DELAY_INTERVAL_MS {
            return false;
        }
        let standing_delay_ms = self.min_delay_ms.take().unwrap_or(0);
        self.interval_started_at = now;
        let before = self.level;
        self.update_level(standing_delay_ms);
        self.level != before
    }

    /// Updates the level at the end of an interval. The level rises at once to that of the standing delay. It falls by
    /// one step after [`RELIEF_INTERVALS`] consecutive intervals with at most half of the delay threshold of the level.
    fn update_level(&mut self, standing_delay_ms: u64) {
        let target = if standing_delay_ms > OVERLOADED_DELAY_MS {
            LoadLevel::Overloaded
        } else if standing_delay_ms > ELEVATED_DELAY_MS {
            LoadLevel::Elevated
        } else {
            LoadLevel::Normal
        };
        let (relief_delay_ms, lower) = match self.level {
            LoadLevel::Normal => (0, LoadLevel::Normal),
            LoadLevel::Elevated => (ELEVATED_DELAY_MS / 2, LoadLevel::Normal),
            LoadLevel::Overloaded => (OVERLOADED_DELAY_MS / 2, LoadLevel::Elevated),
        };
        if target > self.level {
            (self.level, self.relief_intervals) = (target, 0);
        } else if self.level > LoadLevel::Normal && standing_delay_ms <= relief_delay_ms {
            self.relief_intervals += 1;
            if self.relief_intervals >= RELIEF_INTERVALS {
                (self.level, self.relief_intervals) = (lower, 0);
            }
        } else {
            self.relief_intervals = 0;
        }
    }

    /// Scales a limit on the work of a scheduling cycle to the current level. `usual` is the limit at the normal level.
    /// The result is at least 1, except at the normal level, which returns `usual` itself.
    pub fn scaled_work(&self, usual: usize) -> usize {
        let share = match self.level {
            LoadLevel::Normal => return usual,
            LoadLevel::Elevated => ELEVATED_WORK_SHARE,
            LoadLevel::Overloaded => OVERLOADED_WORK_SHARE,
        };
        ((usual as f64 * share) as usize).max(1)
    }

    /// The period of mapping rounds at the current level, ms. `usual_ms` is the period at the normal level.
    pub fn scaled_period_ms(&self, usual_ms: u64) -> u64 {
        let factor = match self.level {
            LoadLevel::Normal => 1,
            LoadLevel::Elevated => ELEVATED_PERIOD_FACTOR,
            LoadLevel::Overloaded => OVERLOADED_PERIOD_FACTOR,
        };
        usual_ms * factor
    }

    /// Number of seconds after which a rejected user should retry. `jitter` is a random number from 0 to 1 that keeps
    /// users that were rejected together from retrying together.
    pub fn retry_after_s(&self, jitter: f64) -> u32 {
        let max_s = match self.level {
            LoadLevel::Normal => return 1,
            LoadLevel::Elevated => ELEVATED_RETRY_AFTER_S,
            LoadLevel::Overloaded => OVERLOADED_RETRY_AFTER_S,
        };
        1 + (f64::from(max_s) * jitter.clamp(0.0, 1.0)) as u32
    }
}
