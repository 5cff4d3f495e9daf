//! How far behind a controller is. The idea is CoDel's (Nichols and Jacobson, "Controlling Queue
//! Delay", 2012): a queue that empties now and then does no harm, however long it is for a moment; one
//! whose least delay over an interval stays above a target stands, and something must be shed.

use crate::Time;
use crate::constants::*;

/// How pressed a controller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Work is done as it comes.
    Calm,
    /// Placement yields, so that nothing else is late.
    Pressed,
    /// Users are sent away for some seconds too: leases, proofs and stops need all there is.
    Overloaded,
}

/// The delay-based controller.
#[derive(Debug)]
pub struct Pressure {
    level: Level,
    /// Least delay of the interval under way, ms.
    least: Option<u64>,
    /// When that interval began.
    since: Time,
    /// Intervals in a row that would allow a lower level.
    relieved: u32,
}

impl Pressure {
    /// A controller without any load yet.
    pub fn new(now: Time) -> Pressure {
        Pressure { level: Level::Calm, least: None, since: now, relieved: 0 }
    }

    /// The level now.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Notes how long a piece of work waited for the processor, ms. True if the level has changed.
    pub fn sample(&mut self, delay_ms: u64, now: Time) -> bool {
        self.least = Some(self.least.map_or(delay_ms, |l| l.min(delay_ms)));
        if now < self.since + INTERVAL_MS {
            return false;
        }
        let standing = self.least.take().unwrap_or(0);
        self.since = now;
        let before = self.level;
        self.advance(standing);
        self.level != before
    }

    /// The one function that changes the level: up at once, as far as the delay says; down one step
    /// after some intervals with less than half of what led there.
    fn advance(&mut self, standing: u64) {
        let called = match standing {
            s if s > OVERLOADED_MS => Level::Overloaded,
            s if s > PRESSED_MS => Level::Pressed,
            _ => Level::Calm,
        };
        let (half, lower) = match self.level {
            Level::Calm => (0, Level::Calm),
            Level::Pressed => (PRESSED_MS / 2, Level::Calm),
            Level::Overloaded => (OVERLOADED_MS / 2, Level::Pressed),
        };
        if called > self.level {
            (self.level, self.relieved) = (called, 0);
        } else if self.level > Level::Calm && standing <= half {
            self.relieved += 1;
            if self.relieved >= RELIEF_INTERVALS {
                (self.level, self.relieved) = (lower, 0);
            }
        } else {
            self.relieved = 0;
        }
    }

    /// A usual bound of a pass, as small as the pressure asks; never 0.
    pub fn shrunk(&self, usual: usize) -> usize {
        let share = match self.level {
            Level::Calm => return usual,
            Level::Pressed => SHRINK_PRESSED,
            Level::Overloaded => SHRINK_OVERLOADED,
        };
        ((usual as f64 * share) as usize).max(1)
    }

    /// A usual period, as long as the pressure asks.
    pub fn stretched(&self, usual_ms: u64) -> u64 {
        usual_ms
            * match self.level {
                Level::Calm => 1,
                Level::Pressed => STRETCH_PRESSED,
                Level::Overloaded => STRETCH_OVERLOADED,
            }
    }

    /// When a user sent away should come back, s; `spread` from 0 to 1 keeps them from coming together.
    pub fn back_s(&self, spread: f64) -> u32 {
        let most = match self.level {
            Level::Calm => return 1,
            Level::Pressed => BACK_PRESSED_S,
            Level::Overloaded => BACK_OVERLOADED_S,
        };
        1 + (f64::from(most) * spread.clamp(0.0, 1.0)) as u32
    }
}
