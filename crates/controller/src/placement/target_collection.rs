//! Collects the placement targets of a cycle: free resources, run queues, and machines that boot.

use super::completion_times::{CompletionId, CompletionKey};
use super::mapping_round::MappingRound;
use super::target::{PlacementTarget, TargetKind};
use crate::Time;
use crate::cluster_state::{ClusterState, SlotId, is_schedulable};
use crate::completion_time::Pmf;
use crate::constants::{
    COMPLETION_TIME_STEP_MS, HEADROOM_TASKS_PER_IMAGE, LATE_BOOT_ESTIMATE_MS, MAX_HEADROOM_IMAGES,
};
use crate::job::{JobId, JobKind, JobSpec, JobState, MachineId, Priority};
use crate::machine::{MachineState, Resources};
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

/// A run queue that may become a target. Ordered by when it ends, then in the order of collection.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueCandidate {
    free_at_ms: u64,
    order: usize,
    slot: SlotId,
    /// Index of its machine among the targets.
    target: usize,
    completion: CompletionId,
}

impl MappingRound<'_> {
    /// The index of a zone. A new zone gets the next one.
    pub fn zone_index(&mut self, zone: &str) -> usize {
        match self.zones.iter().position(|z| z == zone) {
            Some(n) => n,
            None => {
                self.zones.push(zone.to_string());
                self.zones.len() - 1
            }
        }
    }

    /// The completion time of a machine of a type that is free at `time`, ms.
    pub fn free_time_id(&mut self, type_index: usize, time: f64) -> CompletionId {
        let step = (time / COMPLETION_TIME_STEP_MS).max(0.0) as u64;
        self.completion_times
            .id_or_compute(CompletionKey::FreeAt(type_index, step), |_| Pmf::at(time))
    }

    /// The completion time of a target behind `completion` and one more queued task of a job.
    pub fn completion_after(
        &mut self,
        completion: CompletionId,
        id: &JobId,
        type_index: usize,
    ) -> CompletionId {
        let Some(job) = self.cluster_state.jobs.get(id) else { return completion };
        let machine_type = &self.types[type_index].name;
        let run_time = self.cluster_state.run_time_history.run_time(id, &job.spec, machine_type);
        self.completion_times.id_or_compute(
            CompletionKey::AfterQueuedTask(completion, id.clone()),
            |distributions| {
                let end = distributions[completion].convolve(&run_time);
                job.deadline.map_or(end.clone(), |d| end.clamp_to_deadline(d as f64))
            },
        )
    }

    /// The completion time of the executing task of a slot, with the index of its machine type. `None` for a service,
    /// which does not end by itself.
    pub fn executing_completion(&mut self, slot: &SlotId) -> Option<(usize, CompletionId)> {
        let now = self.context.now as f64;
        let machine = self.cluster_state.machines.get(&slot.0)?;
        let job = self.cluster_state.jobs.get(&slot.1)?;
        if job.spec.kind == JobKind::Service {
            return None;
        }
        let attempt = job.attempts.get(&slot.2)?;
        let type_index = self.types.iter().position(|t| t.name == machine.machine_type)?;
        let step = |at: Time| at / COMPLETION_TIME_STEP_MS as u64;
        let key = match attempt.running_since() {
            Some(at) => CompletionKey::AfterRunningTask(type_index, slot.1.clone(), step(at)),
            None => CompletionKey::AfterFetchingTask(
                type_index,
                slot.1.clone(),
                step(attempt.bound_at()),
            ),
        };
        let t = &self.types[type_index];
        let run_time = self.cluster_state.run_time_history.run_time(&slot.1, &job.spec, &t.name);
        let (running_since, bound_at) = (attempt.running_since(), attempt.bound_at());
        let completion = self.completion_times.id_or_compute(key, |_| match running_since {
            Some(at) => run_time.remaining(now - at as f64).shifted(now),
            None => {
                let remaining_fetch_ms = t.fetch_ms(&job.spec) - (now - bound_at as f64);
                Pmf::clone(&run_time).shifted(now + remaining_fetch_ms.max(0.0))
            }
        });
        Some((type_index, completion))
    }

    /// Collects the targets. Run queues and machines that boot are only collected in a mapping round.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn collect_targets(&mut self) {
        let now = self.context.now;
        let lease_ms = self.context.lease_ms();
        let types = self.types;
        let state = self.cluster_state;
        let mut reserved = capacity_reserved_for_gangs(state, now);
        for (id, machine) in &state.machines {
            let Some(type_index) = types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let t = &types[type_index];
            let zone = self.zone_index(&machine.zone);
            let mut target = PlacementTarget {
                target_kind: TargetKind::ReadyMachine,
                machine: Some(id.clone()),
                type_index,
                zone_index: zone,
                spot: machine.spot,
                free: t.resources(),
                has_stopping_tasks: false,
                reserved_for_services: Resources::default(),
                reserved_for_gangs: Vec::new(),
                completion_id: 0,
                images: Vec::new(),
            };
            if !is_schedulable(machine, now, lease_ms) {
                let is_booting =
                    matches!(machine.state(), MachineState::Expected | MachineState::Registering);
                let is_expected =
                    machine.is_expected_up(t.boot_ms, self.cluster_state.leading_since, now);
                if self.is_full && is_booting && is_expected && machine.tasks.is_empty() {
                    let ready_at = (machine.rented_at as f64 + t.boot_ms)
                        .max(now as f64 + LATE_BOOT_ESTIMATE_MS);
                    target.target_kind = TargetKind::BootingMachine;
                    target.completion_id = self.free_time_id(type_index, ready_at);
                    self.targets.push(target);
                }
                continue;
            }
            let free = machine.free_resources().unwrap_or_default();
            target.free = free;
            let is_held = state.yielding_machines.get(id).is_some_and(|until| now < *until);
            target.has_stopping_tasks = is_held
                || machine.tasks.keys().any(|(id, task)| {
                    let attempt = state.jobs.get(id).and_then(|j| j.attempts.get(task));
                    attempt.is_some_and(|a| a.stop_requested && a.occupies_resources())
                });
            target.reserved_for_gangs = reserved.remove(id).unwrap_or_default();
            target.images =
                machine.images.names().filter_map(|name| self.images.index_of(name)).collect();
            // In a mapping round, machines without free resources are targets too: their slots refer to them.
            if self.is_full || free.cpus > 0.0 {
                target.completion_id = self.free_time_id(type_index, now as f64);
                self.targets.push(target);
            }
        }
        if !self.is_full {
            return;
        }
        self.collect_queue_targets();
        for (request, requested_at) in state.provisioning.open_requests() {
            let Some(type_index) = types.iter().position(|t| t.name == request.machine_type) else {
                continue;
            };
            let ready_at = (requested_at as f64 + types[type_index].boot_ms).max(now as f64);
            let target = PlacementTarget {
                target_kind: TargetKind::BootingMachine,
                machine: None,
                type_index,
                zone_index: self.zone_index(&request.zone),
                spot: request.spot,
                free: types[type_index].resources(),
                has_stopping_tasks: false,
                reserved_for_services: Resources::default(),
                reserved_for_gangs: Vec::new(),
                completion_id: self.free_time_id(type_index, ready_at),
                images: Vec::new(),
            };
            self.targets.extend(std::iter::repeat_n(target, request.count as usize));
        }
    }

    /// Adds the run queues of the ready machines as targets, at most `max_queues`, those that become free soonest. Every
    /// candidate evaluates every target, so the soonest queues are enough. There may be one slot for each running task,
    /// so a target is built only for the queues that are kept.
    fn collect_queue_targets(&mut self) {
        let max_queues = self.context.policy.bounds.max_queues;
        let mut soonest: BinaryHeap<QueueCandidate> = BinaryHeap::new();
        let mut slots_seen = 0;
        for target in 0..self.targets.len() {
            if self.targets[target].target_kind != TargetKind::ReadyMachine {
                continue;
            }
            let machine = self.targets[target].machine.as_ref();
            let machine = machine.and_then(|id| self.cluster_state.machines.get(id));
            let Some(machine) = machine else { continue };
            for (job, task) in machine.tasks.keys() {
                slots_seen += 1;
                let slot = (machine.id.clone(), job.clone(), *task);
                let Some((free_at_ms, completion)) = self.queue_end(&slot) else { continue };
                let latest = soonest.peek().filter(|_| soonest.len() >= max_queues);
                if latest.is_some_and(|latest| latest.free_at_ms <= free_at_ms) {
                    continue;
                }
                soonest.push(QueueCandidate {
                    free_at_ms,
                    order: slots_seen,
                    slot,
                    target,
                    completion,
                });
                if soonest.len() > max_queues {
                    soonest.pop();
                }
            }
        }
        self.plan.targets_examined += slots_seen as u64;
        let is_truncated = soonest.len() == max_queues;
        let mut soonest = soonest.into_vec();
        soonest.sort_unstable_by_key(|candidate| {
            let free_at_ms = if is_truncated { candidate.free_at_ms } else { 0 };
            (candidate.target, free_at_ms, candidate.order)
        });
        for QueueCandidate { slot, target, completion, .. } in soonest {
            let Some(head) = self.cluster_state.jobs.get(&slot.1) else { continue };
            let mut free = Resources::for_task(&head.spec);
            free.add(&self.targets[target].free);
            let target = PlacementTarget {
                target_kind: TargetKind::RunQueue(slot),
                free,
                completion_id: completion,
                ..self.targets[target].clone()
            };
            self.targets.push(target);
        }
    }

    /// When a slot's run queue ends, ms, and the completion time of its last task. `None` if the queue is full, or its
    /// executing task does not end by itself.
    fn queue_end(&mut self, slot: &SlotId) -> Option<(u64, CompletionId)> {
        if !self.plan.run_queues.has_capacity(slot, self.context.policy.queue_limit) {
            return None;
        }
        let (type_index, mut completion) = self.executing_completion(slot)?;
        let queue: Vec<JobId> = self.plan.run_queues.queue(slot).cloned().collect();
        for next in queue {
            completion = self.completion_after(completion, &next, type_index);
        }
        Some((self.completion_times.get(completion).mean() as u64, completion))
    }

    /// Reserves headroom for services on machines that have their images cached.
    pub fn reserve_service_capacity(&mut self) {
        for (image, spec) in std::mem::take(&mut self.service_images) {
            let each = Resources::for_task(&spec);
            let mut remaining = HEADROOM_TASKS_PER_IMAGE;
            for target in &mut self.targets {
                if remaining == 0 {
                    break;
                }
                let is_suitable = target.target_kind == TargetKind::ReadyMachine
                    && target.images.contains(&image)
                    && (!target.spot || spec.spot)
                    && self.types[target.type_index].allows(&spec)
                    && !self.types[target.type_index].is_wasted_on(&spec);
                let mut reserved = target.reserved_for_services;
                reserved.add(&each);
                if is_suitable && target.free.covers(&reserved) {
                    target.reserved_for_services = reserved;
                    remaining -= 1;
                }
            }
        }
    }

    /// Assigns indices to the images that waiting jobs need, and to those that services use most.
    pub fn index_images(&mut self) {
        let mut used: HashMap<&str, (u32, &Arc<JobSpec>)> = HashMap::new();
        for job in self.cluster_state.jobs.values() {
            if job.spec.kind == JobKind::Service && !job.is_cancelled() {
                used.entry(&job.spec.image).or_insert((0, &job.spec)).0 += job.spec.tasks;
            }
            if job.has_queued_tasks() {
                self.images.index_or_insert(&job.spec.image);
            }
        }
        let mut used: Vec<(u32, &Arc<JobSpec>)> = used.into_values().collect();
        used.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.image.cmp(&b.1.image)));
        for (_, spec) in used.into_iter().take(MAX_HEADROOM_IMAGES) {
            let image = self.images.index_or_insert(&spec.image);
            self.service_images.push((image, spec.clone()));
        }
    }
}

/// Resources reserved by machine: for gangs on the machines that they have vacated, for aged jobs and jobs that others
/// were preempted for on the machines reserved for them, and for lenders on machines whose accelerators they lent.
fn capacity_reserved_for_gangs(
    state: &ClusterState,
    now: Time,
) -> HashMap<&MachineId, Vec<(JobId, Priority, Resources)>> {
    let mut reserved: HashMap<&MachineId, Vec<_>> = HashMap::new();
    let jobs = state.jobs.values().filter(|j| !j.vacated_machines.is_empty());
    for job in jobs.filter(|j| j.state() == JobState::Live) {
        for machine in job.reserved_machines(now) {
            let each = (job.id.clone(), job.spec.priority, Resources::for_task(&job.spec));
            reserved.entry(machine).or_default().push(each);
        }
    }
    reserved
}
