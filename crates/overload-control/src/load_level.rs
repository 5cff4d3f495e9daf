//! How far behind a controller is, from the time that work waits for the processor, and how much it does and accepts
//! at that level. The idea is CoDel's (Nichols and Jacobson, "Controlling Queue Delay", 2012): a queue that empties now
//! and then does no harm, however long it is for a moment; one whose least delay over an interval stays above a target
//! is a standing queue, and load must be shed.

use crate::Time;
use crate::constants::{
    DELAY_INTERVAL_MS, ELEVATED_DELAY_MS, ELEVATED_PERIOD_FACTOR, ELEVATED_RETRY_AFTER_S,
    ELEVATED_WORK_SHARE, OVERLOADED_DELAY_MS, OVERLOADED_PERIOD_FACTOR, OVERLOADED_RETRY_AFTER_S,
    OVERLOADED_WORK_SHARE, RELIEF_INTERVALS,
};

/// Load level of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// Work is done as it comes.
    Normal,
    /// Scheduling cycles are smaller and rarer, so that nothing else is late.
    Elevated,
    /// Users are rejected for some seconds too: leases, proofs of absence and stops need the whole processor.
    Overloaded,
}

/// Derives the load level from observed delays.
#[derive(Debug)]
pub struct LoadMonitor {
    level: LoadLevel,
    /// Least delay of the interval under way, ms.
    min_delay_ms: Option<u64>,
    /// Start of that interval.
    interval_started_at: Time,
    /// Intervals in a row that would allow a lower level.
    relief_intervals: u32,
}

impl LoadMonitor {
    /// A monitor without observations, at the normal level.
    pub fn new(now: Time) -> LoadMonitor {
        LoadMonitor {
            level: LoadLevel::Normal,
            min_delay_ms: None,
            interval_started_at: now,
            relief_intervals: 0,
        }
    }

    /// The present level.
    pub fn level(&self) -> LoadLevel {
        self.level
    }

    /// Records how long a piece of work waited for the processor, ms. Returns whether the level has changed, which
    /// happens at the end of an interval only.
    pub fn record_delay(&mut self, delay_ms: u64, now: Time) -> bool {
        self.min_delay_ms = Some(self.min_delay_ms.map_or(delay_ms, |least| least.min(delay_ms)));
        if now < self.interval_started_at + DELAY_INTERVAL_MS {
            return false;
        }
        let standing_delay_ms = self.min_delay_ms.take().unwrap_or(0);
        self.interval_started_at = now;
        let before = self.level;
        self.update_level(standing_delay_ms);
        self.level != before
    }

    /// The one function that changes the level: up at once, as far as the delay demands; down one step after
    /// [`RELIEF_INTERVALS`] in a row with at most half of the delay that led there.
    fn update_level(&mut self, standing_delay_ms: u64) {
        let demanded = if standing_delay_ms > OVERLOADED_DELAY_MS {
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
        if demanded > self.level {
            (self.level, self.relief_intervals) = (demanded, 0);
        } else if self.level > LoadLevel::Normal && standing_delay_ms <= relief_delay_ms {
            self.relief_intervals += 1;
            if self.relief_intervals >= RELIEF_INTERVALS {
                (self.level, self.relief_intervals) = (lower, 0);
            }
        } else {
            self.relief_intervals = 0;
        }
    }

    /// The bound of a scheduling cycle at this level; `usual`: at the normal one. Never 0.
    pub fn scaled_work(&self, usual: usize) -> usize {
        let share = match self.level {
            LoadLevel::Normal => return usual,
            LoadLevel::Elevated => ELEVATED_WORK_SHARE,
            LoadLevel::Overloaded => OVERLOADED_WORK_SHARE,
        };
        ((usual as f64 * share) as usize).max(1)
    }

    /// The period of mapping rounds at this level, ms; `usual_ms`: at the normal one.
    pub fn scaled_period_ms(&self, usual_ms: u64) -> u64 {
        let factor = match self.level {
            LoadLevel::Normal => 1,
            LoadLevel::Elevated => ELEVATED_PERIOD_FACTOR,
            LoadLevel::Overloaded => OVERLOADED_PERIOD_FACTOR,
        };
        usual_ms * factor
    }

    /// After how many seconds a rejected user should retry. `jitter`, random from 0 to 1, keeps users that were
    /// rejected together from retrying together.
    pub fn retry_after_s(&self, jitter: f64) -> u32 {
        let max_s = match self.level {
            LoadLevel::Normal => return 1,
            LoadLevel::Elevated => ELEVATED_RETRY_AFTER_S,
            LoadLevel::Overloaded => OVERLOADED_RETRY_AFTER_S,
        };
        1 + (f64::from(max_s) * jitter.clamp(0.0, 1.0)) as u32
    }
}
