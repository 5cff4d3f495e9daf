//! The places of a round: free room, lines, machines that boot.

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
use std::collections::HashMap;
use std::sync::Arc;

impl MappingRound<'_> {
    /// The number of a zone.
    pub fn zone_index(&mut self, zone: &str) -> usize {
        match self.zones.iter().position(|z| z == zone) {
            Some(n) => n,
            None => {
                self.zones.push(zone.to_string());
                self.zones.len() - 1
            }
        }
    }

    /// The end "free at a time" on a type.
    pub fn free_time_id(&mut self, kind: usize, time: f64) -> CompletionId {
        let step = (time / COMPLETION_TIME_STEP_MS).max(0.0) as u64;
        self.completion_times.id_or_compute(CompletionKey::FreeAt(kind, step), |_| Pmf::at(time))
    }

    /// The end of a place once another task of a job stands before it.
    pub fn completion_after(&mut self, end: CompletionId, id: &JobId, kind: usize) -> CompletionId {
        let Some(job) = self.cluster_state.jobs.get(id) else { return end };
        let run =
            self.cluster_state.run_time_history.run_time(id, &job.spec, &self.types[kind].name);
        self.completion_times.id_or_compute(
            CompletionKey::AfterQueuedTask(end, id.clone()),
            |all| {
                let end = all[end].convolve(&run);
                job.deadline.map_or(end.clone(), |d| end.clamp_to_deadline(d as f64))
            },
        )
    }

    /// When the head of a slot ends.
    pub fn executing_completion(&mut self, slot: &SlotId) -> Option<(usize, CompletionId)> {
        let now = self.view.now as f64;
        let machine = self.cluster_state.machines.get(&slot.0)?;
        let job = self.cluster_state.jobs.get(&slot.1)?;
        if job.spec.kind == JobKind::Service {
            return None;
        }
        let attempt = job.attempts.get(&slot.2)?;
        let kind = self.types.iter().position(|t| t.name == machine.machine_type)?;
        let step = |at: Time| at / COMPLETION_TIME_STEP_MS as u64;
        let alike = match attempt.running_since {
            Some(at) => CompletionKey::AfterRunningTask(kind, slot.1.clone(), step(at)),
            None => CompletionKey::AfterFetchingTask(kind, slot.1.clone(), step(attempt.bound_at)),
        };
        let t = &self.types[kind];
        let run = self.cluster_state.run_time_history.run_time(&slot.1, &job.spec, &t.name);
        let (ran, since) = (attempt.running_since, attempt.bound_at);
        let end = self.completion_times.id_or_compute(alike, |_| match ran {
            Some(at) => run.remaining(now - at as f64).shifted(now),
            None => {
                let fetch = t.fetch_ms(&job.spec) - (now - since as f64);
                Pmf::clone(&run).shifted(now + fetch.max(0.0))
            }
        });
        Some((kind, end))
    }

    /// Lists the places there are.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn collect_targets(&mut self) {
        let now = self.view.now;
        let lease = self.view.lease_ms();
        let types = self.types;
        let mut slots: Vec<(usize, SlotId, Resources)> = Vec::new();
        let tables = self.cluster_state;
        let mut gangs = room_reserved_for_gangs(tables, now);
        for (id, machine) in &tables.machines {
            let Some(kind) = types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let t = &types[kind];
            let zone = self.zone_index(&machine.zone);
            let mut place = PlacementTarget {
                target_kind: TargetKind::ReadyMachine,
                machine: Some(id.clone()),
                type_index: kind,
                zone_index: zone,
                spot: machine.spot,
                free: t.resources(),
                has_stopping_tasks: false,
                reserved_for_services: Resources::default(),
                reserved_for_gangs: Vec::new(),
                completion_id: 0,
                images: Vec::new(),
            };
            if !is_schedulable(machine, now, lease) {
                let waits =
                    matches!(machine.state(), MachineState::Expected | MachineState::Registering);
                let comes =
                    machine.is_expected_up(t.boot_ms, self.cluster_state.leading_since, now);
                if self.is_full && waits && comes && machine.tasks.is_empty() {
                    let up = (machine.rented_at as f64 + t.boot_ms)
                        .max(now as f64 + LATE_BOOT_ESTIMATE_MS);
                    place.target_kind = TargetKind::BootingMachine;
                    place.completion_id = self.free_time_id(kind, up);
                    self.targets.push(place);
                }
                continue;
            }
            let room = machine.free_resources().unwrap_or_default();
            place.free = room;
            let held = tables.yielding_machines.get(id).is_some_and(|until| now < *until);
            place.has_stopping_tasks = held
                || machine.tasks.keys().any(|(id, task)| {
                    let attempt = tables.jobs.get(id).and_then(|j| j.attempts.get(task));
                    attempt.is_some_and(|a| a.stop_requested.is_some() && a.occupies_resources())
                });
            place.reserved_for_gangs = gangs.remove(id).unwrap_or_default();
            place.images =
                machine.images.names().filter_map(|name| self.images.index_of(name)).collect();
            if self.is_full {
                for (job, task) in machine.tasks.keys() {
                    slots.push((self.targets.len(), (id.clone(), job.clone(), *task), room));
                }
            }
            // A place without room is listed too in a full round: its slots refer to it.
            if self.is_full || room.cpus > 0.0 {
                place.completion_id = self.free_time_id(kind, now as f64);
                self.targets.push(place);
            }
        }
        if !self.is_full {
            return;
        }
        let cap = self.view.policy.queue_limit;
        self.plan.targets_examined += slots.len() as u64;
        let mut lines: Vec<(u64, PlacementTarget)> = Vec::new();
        for (index, slot, free) in slots {
            let Some(head) = self.cluster_state.jobs.get(&slot.1) else { continue };
            let mut size = Resources::for_task(&head.spec);
            size.add(&free);
            if !self.plan.run_queues.has_capacity(&slot, cap) {
                continue;
            }
            let Some((kind, mut end)) = self.executing_completion(&slot) else { continue };
            let line: Vec<JobId> = self.plan.run_queues.queue(&slot).cloned().collect();
            for next in line {
                end = self.completion_after(end, &next, kind);
            }
            let place = PlacementTarget {
                target_kind: TargetKind::RunQueue(slot),
                free: size,
                completion_id: end,
                ..self.targets[index].clone()
            };
            lines.push((self.completion_times.get(end).mean() as u64, place));
        }
        // Every chooser looks at every place: of very many lines the soonest are enough.
        let most = self.view.policy.bounds.max_queues;
        if lines.len() > most {
            lines.select_nth_unstable_by_key(most, |l| l.0);
            lines.truncate(most);
            lines.sort_by(|a, b| a.1.machine.cmp(&b.1.machine).then(a.0.cmp(&b.0)));
        }
        self.targets.extend(lines.into_iter().map(|l| l.1));
        for (wish, asked) in tables.provisioning.open_requests() {
            let Some(kind) = types.iter().position(|t| t.name == wish.machine_type) else {
                continue;
            };
            let up = (asked as f64 + types[kind].boot_ms).max(now as f64);
            let place = PlacementTarget {
                target_kind: TargetKind::BootingMachine,
                machine: None,
                type_index: kind,
                zone_index: self.zone_index(&wish.zone),
                spot: wish.spot,
                free: types[kind].resources(),
                has_stopping_tasks: false,
                reserved_for_services: Resources::default(),
                reserved_for_gangs: Vec::new(),
                completion_id: self.free_time_id(kind, up),
                images: Vec::new(),
            };
            self.targets.extend(std::iter::repeat_n(place, wish.count as usize));
        }
    }

    /// Keeps room for services where their images are, out of reach of other work.
    pub fn reserve_service_room(&mut self) {
        for (image, spec) in std::mem::take(&mut self.service_images) {
            let each = Resources::for_task(&spec);
            let mut left = HEADROOM_TASKS_PER_IMAGE;
            for place in &mut self.targets {
                if left == 0 {
                    break;
                }
                let fits = place.target_kind == TargetKind::ReadyMachine
                    && place.images.contains(&image)
                    && (!place.spot || spec.spot)
                    && self.types[place.type_index].allows(&spec)
                    && !self.types[place.type_index].is_wasted_on(&spec);
                let mut both = place.reserved_for_services;
                both.add(&each);
                if fits && place.free.covers(&both) {
                    place.reserved_for_services = both;
                    left -= 1;
                }
            }
        }
    }

    /// Numbers the images that waiting jobs need, and those that services use most.
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

/// Room kept for gangs on the machines that they have left, for what has waited long on those gathered for it, and
/// for those to whom accelerators were lent.
fn room_reserved_for_gangs(
    tables: &ClusterState,
    now: Time,
) -> HashMap<&MachineId, Vec<(JobId, Priority, Resources)>> {
    let mut kept: HashMap<&MachineId, Vec<_>> = HashMap::new();
    let kept_for = tables.jobs.values().filter(|j| !j.vacated_machines.is_empty());
    for job in kept_for.filter(|j| j.state() == JobState::Live) {
        for machine in job.reserved_machines(now) {
            let each = (job.id.clone(), job.spec.priority, Resources::for_task(&job.spec));
            kept.entry(machine).or_default().push(each);
        }
    }
    kept
}
