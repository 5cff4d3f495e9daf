//! Placement candidates: jobs with tasks to place.

use super::target::PlacementTarget;
use crate::Time;
use crate::job::{JobId, JobKind, JobSpec, MachineId, Priority};
use crate::machine::Resources;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use swiftsail_tiers::TierAssignment;

/// Success probability and expected completion time of a task on a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PlacementScore {
    pub success_probability: f64,
    pub expected_completion: f64,
}

/// A cached score: success probability, and ms from now to the expected completion. Packed, since hundreds of
/// candidates cache thousands of scores each: `f32` is exact to about 1e-7, and to the ms for the next few hours.
pub(super) type PackedScore = (f32, f32);
/// Entry of a score that is not computed yet.
pub(super) const NO_SCORE: PackedScore = (f32::NAN, f32::NAN);

/// Order of targets for a candidate: highest success probability, then earliest completion, then least free CPU, so
/// that other machines become empty and can be terminated; then the target's index. Packed to save memory, like
/// [`PackedScore`].
pub(super) type TargetRank = Reverse<(u64, u32)>;

/// A job that has tasks to place.
pub(super) struct PlacementCandidate {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    /// Success probability at or below which its tasks are deferred.
    pub pruning_threshold: f64,
    /// Largest share of CPUs on spot machines at which another one may be provisioned for it.
    pub spot_share: f64,
    pub deadline: Option<Time>,
    pub is_overdue: bool,
    pub remaining_tasks: u32,
    /// It claims capacity by its team's guarantee.
    pub claims_guarantee: bool,
    /// It has waited so long that it may preempt lower-priority gangs that run within their team's guarantee.
    pub may_preempt_guaranteed: bool,
    /// It has waited so long that it comes first within its level and is placed whatever its success probability.
    pub is_aged: bool,
    pub tier: TierAssignment,
    /// Its tasks are left to the next cycle, because this one has appended its share of tasks to run queues.
    pub is_deferred: bool,
    pub excluded_machines: Vec<MachineId>,
    /// Its team's limit leaves less than the team's jobs want; `remaining_tasks` is what it was allocated.
    pub is_limited_by_quota: bool,
    /// Index of its team in the settings.
    pub team_index: Option<usize>,
    /// The only zone that its remaining tasks may use, once a zone is chosen for its gang.
    pub only_zone: Option<usize>,
    /// Tasks not proved gone, by zone index. Tasks in an unknown zone count in every zone.
    pub tasks_by_zone: Vec<u32>,
    pub tasks_in_unknown_zone: u32,
    /// Whether it may use each machine type.
    pub allowed_types: Vec<bool>,
    /// Index of its image in the round.
    pub image_index: u32,
    /// By machine type: whether its tasks pass the pruning threshold on a machine provisioned now. Computed on demand.
    pub new_machine_meets_deadline: Vec<Option<bool>>,
    /// Expected completion of its task on a machine provisioned now; the inner `None` if there is none to provision.
    /// Computed on demand, once per search.
    pub new_machine_completion: Option<Option<f64>>,
    /// Heap of suitable targets, each with the completion id by which it was ranked.
    pub ranked_targets: BinaryHeap<(TargetRank, u32)>,
    /// Number of the round's targets that the search has ranked or rejected so far.
    pub ranked_target_count: usize,
    pub may_use_queues: bool,
    /// By completion id; for each, without and with its image on the machine.
    pub cached_scores: Vec<[PackedScore; 2]>,
}

impl PlacementCandidate {
    /// Starts a new search for targets. `with_queues`: run queues are targets as well.
    pub fn start_search(&mut self, with_queues: bool) {
        self.ranked_targets.clear();
        self.new_machine_completion = None;
        self.ranked_target_count = 0;
        self.may_use_queues =
            with_queues && !self.is_service() && !self.is_overdue && !self.is_limited_by_quota;
    }

    /// Whether its tasks are replicas of a service.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Frees the memory of the last search.
    pub fn release_search_memory(&mut self) {
        self.ranked_targets = BinaryHeap::new();
        self.cached_scores = Vec::new();
        self.ranked_target_count = 0;
    }

    /// Number of its tasks that are or could be in a zone.
    pub fn tasks_possibly_in_zone(&self, zone: usize) -> u32 {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0) + self.tasks_in_unknown_zone
    }

    /// Counts one more of its tasks in a zone.
    pub fn add_tasks_in_zone(&mut self, zone: usize, tasks: u32) {
        if self.tasks_by_zone.len() <= zone {
            self.tasks_by_zone.resize(zone + 1, 0);
        }
        self.tasks_by_zone[zone] += tasks;
    }

    /// Free resources of a target that are not reserved for others.
    pub fn available_resources(&self, target: &PlacementTarget) -> Resources {
        // Resources that preemption is freeing must not be taken by small low-priority tasks one by one.
        if target.has_stopping_tasks && self.spec.priority == Priority::Low {
            return Resources::default();
        }
        let mut available = target.free;
        if self.spec.kind != JobKind::Service {
            available.subtract(&target.reserved_for_services);
        }
        for (gang, priority, each) in &target.reserved_for_gangs {
            if *gang != self.id && *priority >= self.spec.priority {
                available.subtract(each);
            }
        }
        available
    }

    /// Whether a task may run on a machine of this type, zone and spot property, given the zones of the job's other
    /// tasks. `zones` maps zone indices to names.
    pub fn is_allowed_on(
        &self,
        type_index: usize,
        zone: usize,
        spot: bool,
        zones: &[String],
    ) -> bool {
        let spec = &self.spec;
        let has_tasks_elsewhere = || {
            self.tasks_in_unknown_zone > 0
                || self.tasks_by_zone.iter().enumerate().any(|(z, n)| *n > 0 && z != zone)
        };
        (!spot || spec.spot)
            && self.allowed_types.get(type_index).copied().unwrap_or(false)
            && spec.zone.as_ref().is_none_or(|z| zones.get(zone) == Some(z))
            && self.only_zone.is_none_or(|z| z == zone)
            && (!spec.spread || self.tasks_possibly_in_zone(zone) < spec.max_tasks_per_zone())
            && (!spec.one_zone || !has_tasks_elsewhere())
    }
}
