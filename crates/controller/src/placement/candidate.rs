//! Choosers: jobs with tasks to place.

use super::target::PlacementTarget;
use crate::Time;
use crate::job::{JobId, JobKind, JobSpec, MachineId, Priority};
use crate::machine::Resources;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use swiftsail_tiers::TierAssignment;

/// Chance and completion of a task at a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PlacementScore {
    pub success_probability: f64,
    pub expected_completion: f64,
}

/// A score as it is kept, since hundreds of choosers keep thousands: to a ten-millionth, and to the ms
/// for some hours from now. Not a number: not computed.
pub(super) type PackedScore = (f32, f32);
pub(super) const NO_SCORE: PackedScore = (f32::NAN, f32::NAN);

/// Order of places for a chooser: highest chance, then soonest, then the fullest machine, so that
/// others can be returned; then the place's number. Packed into a word and a half for the same reason.
pub(super) type TargetRank = Reverse<(u64, u32)>;

/// A job that has tasks to place.
pub(super) struct PlacementCandidate {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    /// Pruning threshold.
    pub pruning_threshold: f64,
    /// Largest share of CPUs on spot machines when one is rented for it.
    pub spot_share: f64,
    pub deadline: Option<Time>,
    pub is_overdue: bool,
    pub remaining_tasks: u32,
    /// It claims room by its team's guarantee.
    pub claims_guarantee: bool,
    /// It has waited so long that what is guaranteed to others of lower priority is stopped for it.
    pub may_preempt_guaranteed: bool,
    /// It has waited so long that it is to begin.
    pub is_aged: bool,
    /// Its tier.
    pub tier: TierAssignment,
    /// The pass has let its share of tasks join lines: this one's go on with the next.
    pub is_deferred: bool,
    pub excluded_machines: Vec<MachineId>,
    /// Its team's limit leaves less than its jobs want: it places what it was given of it.
    pub is_limited_by_quota: bool,
    /// Number of its team in the settings.
    pub team_index: Option<usize>,
    /// The only zone that its gang may still use.
    pub only_zone: Option<usize>,
    /// Tasks not proved gone in each zone; those of unknown zone count in all.
    pub tasks_by_zone: Vec<u32>,
    pub tasks_in_unknown_zone: u32,
    /// Machine types that it may use.
    pub allowed_types: Vec<bool>,
    /// Number of its image.
    pub image_index: u32,
    /// Whether a machine of a type rented now would pass, once computed.
    pub new_machine_meets_deadline: Vec<Option<bool>>,
    /// When its task would end on a machine rented now, once computed in a search.
    pub new_machine_completion: Option<Option<f64>>,
    pub ranked_targets: BinaryHeap<(TargetRank, u32)>,
    pub ranked_target_count: usize,
    pub may_use_queues: bool,
    /// By end, without and with its image there.
    pub cached_scores: Vec<[PackedScore; 2]>,
}

impl PlacementCandidate {
    /// Begins a new search. `lines`: places in lines count too.
    pub fn start_search(&mut self, lines: bool) {
        self.ranked_targets.clear();
        self.new_machine_completion = None;
        self.ranked_target_count = 0;
        self.may_use_queues =
            lines && !self.is_service() && !self.is_overdue && !self.is_limited_by_quota;
    }

    /// Whether its tasks are replicas of a service.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Gives back what a search has taken.
    pub fn release_search_memory(&mut self) {
        self.ranked_targets = BinaryHeap::new();
        self.cached_scores = Vec::new();
        self.ranked_target_count = 0;
    }

    /// Tasks of it that are in a zone or could be.
    pub fn tasks_possibly_in_zone(&self, zone: usize) -> u32 {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0) + self.tasks_in_unknown_zone
    }

    /// One more task of it is in a zone.
    pub fn add_task_in_zone(&mut self, zone: usize) {
        if self.tasks_by_zone.len() <= zone {
            self.tasks_by_zone.resize(zone + 1, 0);
        }
        self.tasks_by_zone[zone] += 1;
    }

    /// What of a place's room is not kept from it.
    pub fn available_room(&self, place: &PlacementTarget) -> Resources {
        // Where room is being made, what runs in idle hours does not come back first, a small task at a time.
        if place.has_stopping_tasks && self.spec.priority == Priority::Low {
            return Resources::default();
        }
        let mut room = place.free;
        if self.spec.kind != JobKind::Service {
            room.subtract(&place.reserved_for_services);
        }
        for (gang, priority, each) in &place.reserved_for_gangs {
            if *gang != self.id && *priority >= self.spec.priority {
                room.subtract(each);
            }
        }
        room
    }

    /// Type, zone, kind, and the zones of the job's other tasks.
    pub fn is_allowed_on(&self, kind: usize, zone: usize, spot: bool, zones: &[String]) -> bool {
        let spec = &self.spec;
        let elsewhere = || {
            self.tasks_in_unknown_zone > 0
                || self.tasks_by_zone.iter().enumerate().any(|(z, n)| *n > 0 && z != zone)
        };
        (!spot || spec.spot)
            && self.allowed_types.get(kind).copied().unwrap_or(false)
            && spec.zone.as_ref().is_none_or(|z| zones.get(zone) == Some(z))
            && self.only_zone.is_none_or(|z| z == zone)
            && (!spec.spread || self.tasks_possibly_in_zone(zone) < spec.max_tasks_per_zone())
            && (!spec.one_zone || !elsewhere())
    }
}
