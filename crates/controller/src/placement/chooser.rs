//! Choosers: jobs with tasks to place.

use super::place::Place;
use crate::Time;
use crate::job::*;
use crate::machine::Room;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use swiftsail_tiers::Tiers;

/// Chance and completion of a task at a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Score {
    pub chance: f64,
    pub mean: f64,
}

/// A score as it is kept, since hundreds of choosers keep thousands: to a ten-millionth, and to the ms
/// for some hours from now. Not a number: not computed.
pub(super) type Packed = (f32, f32);
pub(super) const NO_SCORE: Packed = (f32::NAN, f32::NAN);

/// Order of places for a chooser: highest chance, then soonest, then the fullest machine, so that
/// others can be returned; then the place's number. Packed into a word and a half for the same reason.
pub(super) type Rank = Reverse<(u64, u32)>;

/// A job that has tasks to place.
pub(super) struct Chooser {
    pub id: JobId,
    pub spec: Arc<Spec>,
    /// Pruning threshold.
    pub threshold: f64,
    /// Largest share of CPUs on spot machines when one is rented for it.
    pub spot_share: f64,
    pub due: Option<Time>,
    pub overdue: bool,
    pub left: u32,
    /// It claims room by its team's guarantee.
    pub within: bool,
    /// It has waited so long that what is guaranteed to others of lower priority is stopped for it.
    pub presses: bool,
    /// It has waited so long that it is to begin.
    pub promised: bool,
    /// Its tier.
    pub tier: Tiers,
    /// The pass has let its share of tasks join lines: this one's go on with the next.
    pub set_aside: bool,
    pub bad: Vec<MachineId>,
    /// Its team's limit leaves less than its jobs want: it places what it was given of it.
    pub capped: bool,
    /// Number of its team in the settings.
    pub team: Option<usize>,
    /// The only zone that its gang may still use.
    pub zone: Option<usize>,
    /// Tasks not proved gone in each zone; those of unknown zone count in all.
    pub in_zone: Vec<u32>,
    pub unplaced: u32,
    /// Machine types that it may use.
    pub kinds: Vec<bool>,
    /// Number of its image.
    pub image: u32,
    /// Whether a machine of a type rented now would pass, once computed.
    pub passes: Vec<Option<bool>>,
    /// When its task would end on a machine rented now, once computed in a search.
    pub rented: Option<Option<f64>>,
    pub heap: BinaryHeap<(Rank, u32)>,
    pub known: usize,
    pub lines: bool,
    /// By end, without and with its image there.
    pub scores: Vec<[Packed; 2]>,
}

impl Chooser {
    /// Begins a new search. `lines`: places in lines count too.
    pub fn search(&mut self, lines: bool) {
        self.heap.clear();
        self.rented = None;
        self.known = 0;
        self.lines = lines && !self.is_service() && !self.overdue && !self.capped;
    }

    /// Whether its tasks are replicas of a service.
    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Gives back what a search has taken.
    pub fn rest(&mut self) {
        self.heap = BinaryHeap::new();
        self.scores = Vec::new();
        self.known = 0;
    }

    /// Tasks of it that are in a zone or could be.
    pub fn there(&self, zone: usize) -> u32 {
        self.in_zone.get(zone).copied().unwrap_or(0) + self.unplaced
    }

    /// One more task of it is in a zone.
    pub fn enter(&mut self, zone: usize) {
        if self.in_zone.len() <= zone {
            self.in_zone.resize(zone + 1, 0);
        }
        self.in_zone[zone] += 1;
    }

    /// What of a place's room is not kept from it.
    pub fn room_at(&self, place: &Place) -> Room {
        // Where room is being made, what runs in idle hours does not come back first, a small task at a time.
        if place.leaving && self.spec.priority == Priority::Low {
            return Room::default();
        }
        let mut room = place.room;
        if self.spec.kind != Kind::Service {
            room.take(&place.kept);
        }
        for (gang, priority, each) in &place.gangs {
            if *gang != self.id && *priority >= self.spec.priority {
                room.take(each);
            }
        }
        room
    }

    /// Type, zone, kind, and the zones of the job's other tasks.
    pub fn may_use(&self, kind: usize, zone: usize, spot: bool, zones: &[String]) -> bool {
        let spec = &self.spec;
        let elsewhere = || {
            self.unplaced > 0 || self.in_zone.iter().enumerate().any(|(z, n)| *n > 0 && z != zone)
        };
        (!spot || spec.spot)
            && self.kinds.get(kind).copied().unwrap_or(false)
            && spec.zone.as_ref().is_none_or(|z| zones.get(zone) == Some(z))
            && self.zone.is_none_or(|z| z == zone)
            && (!spec.spread || self.there(zone) < spec.zone_cap())
            && (!spec.one_zone || !elsewhere())
    }
}
