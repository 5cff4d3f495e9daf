//! How many machines these controllers can hear and lead, from what leading the present ones costs.

use crate::constants::*;

/// A controller's load: the share of its processor that it used, smoothed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    share: f64,
    known_ms: f64,
}

impl Load {
    /// Notes that `share` of the processor was used over the last `over_ms`.
    pub fn note(&mut self, share: f64, over_ms: f64) {
        if !(share.is_finite() && over_ms.is_finite() && over_ms > 0.0) {
            return;
        }
        // Until a time constant has passed it is the plain mean.
        self.known_ms = (self.known_ms + over_ms).min(LOAD_SMOOTH_MS);
        let weight = (over_ms / self.known_ms).min(1.0);
        self.share += (share.max(0.0) - self.share) * weight;
    }

    /// The load, if it has been seen for long enough to conclude from.
    pub fn share(&self) -> Option<f64> {
        (self.known_ms >= LOAD_SMOOTH_MS).then_some(self.share)
    }
}

/// What bounds the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// A controller's processor.
    Processor,
    /// Connections of the controllers that are left if one ends.
    Connections,
    /// The leader's tables.
    Tables,
}

/// Machines that can be led, and what bounds them. `machines` are led now; `loads` are the smoothed
/// loads of all controllers that are heard, and while there are none `guess` machines are taken to be
/// what processors can hear; `controllers` are there in all, each with `connections` and room for `tables`
/// machines.
pub fn machines_most(
    machines: usize,
    loads: &[f64],
    guess: usize,
    controllers: usize,
    connections: usize,
    tables: usize,
) -> (usize, Bound) {
    let left = controllers.saturating_sub(1).max(1);
    let heard = connections.saturating_sub(CONNECTIONS_SPARE).max(PART_LEAST) * left;
    let mut found = (heard, Bound::Connections);
    if tables < found.0 {
        found = (tables, Bound::Tables);
    }
    if loads.is_empty() && guess < found.0 {
        found = (guess, Bound::Processor);
    }
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    if busiest > LOAD_LEAST {
        let led = (machines as f64 * LOAD_MOST / busiest).round() as usize;
        if led < found.0 {
            found = (led, Bound::Processor);
        }
    }
    (found.0.max(MACHINES_LEAST), found.1)
}
