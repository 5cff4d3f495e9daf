//! Plans applied: what placement and fleet want done, checked against the rules once more, on the
//! tables themselves. Nothing else binds a task, and nothing else asks the cloud.

use super::{Action, Controller, LeaderContext};
use crate::Time;
use crate::cloud::{self, CloudCall, CloudClient};
use crate::cluster_state::{ClusterState, ProvisioningRequest, QuotaGuard, RunQueue, usable};
use crate::constants::{
    CYCLE_MS, CYCLE_REST_FACTOR, EVALUATION_US, HEARTBEAT_FRESH_MS, IDLE_CHECK_MS, LEASE_TTL_MS,
    LIVENESS_CHECK_MS, LONG_CYCLE_MS, MOVES_MS, MS_PER_S, RENT_BATCH_MAX, SCORE_US, YIELD_HOLD_MS,
};
use crate::fleet::{self, FleetPlan};
use crate::job::{GangState, Job, JobId, JobSpec, MachineId};
use crate::machine::{Machine, Resources};
use crate::placement::{self, CyclePlan, PlanStep, PlanningContext};
use std::cmp::Reverse;
use std::sync::Arc;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::workers::StatusReport;
use swiftsail_tiers::TierAssignment;

/// What came of a pass.
#[derive(Debug)]
pub struct CycleResult {
    /// Tasks bound.
    pub bound: usize,
    /// Scores computed: what it cost, whatever the processor's speed.
    pub scored: u64,
    /// Places looked at.
    pub looked: u64,
    /// Machines to rent, if the pass was a round and came to its end.
    pub wishes: Option<Vec<ProvisioningRequest>>,
}

/// Plays a pass on the tables: a round (`full`), or what finds free room between rounds.
pub fn run_scheduling_cycle(
    tables: &mut ClusterState,
    view: PlanningContext,
    full: bool,
) -> CycleResult {
    tables.begin_cycle(view.now);
    tables.count_free_resources(view.machine_types);
    let mut guard = QuotaGuard::new(tables, &view.settings.settings.teams, view.machine_types);
    let promoted = promote_reservations(tables, &mut guard, view);
    if promoted > 0 {
        tables.count_free_resources(view.machine_types);
    }
    let mut plan = placement::plan_cycle(tables, view, full);
    let (wishes, scored, looked) =
        (plan.provisioning_requests.take(), plan.scores_computed, plan.targets_examined);
    if let Some(idle) = plan.unplaced_jobs.take() {
        tables.note_starved(idle, view.now);
    }
    let bound = promoted + apply(tables, &mut guard, view, plan);
    if wishes.is_some() {
        tables.last_round_at = view.now;
        tables.misses = 0;
    }
    CycleResult { bound, scored, looked, wishes }
}

/// Asks for machines, the most wanted first. A rental that has not left yet takes more in, since the
/// cloud's calls a second are few.
pub fn plan_provisioning(
    tables: &mut ClusterState,
    cloud: &mut CloudClient,
    wishes: Vec<ProvisioningRequest>,
    now: Time,
) {
    for wish in wishes {
        let mut left = wish.number;
        for (charter, asked) in tables.provisioning.unsent_requests(&wish) {
            let more = left.min(RENT_BATCH_MAX.saturating_sub(asked.request.number));
            if more > 0 && cloud.enlarge_queued_request(charter, asked.request.number + more) {
                asked.request.number += more;
                left -= more;
            }
        }
        while left > 0 {
            let number = left.min(RENT_BATCH_MAX);
            left -= number;
            tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, number, "scale out");
            let part = ProvisioningRequest { number, ..wish.clone() };
            let charter = tables.provisioning.open_request(tables.token, part.clone(), now);
            cloud.enqueue(CloudCall::Provision(part.to_wire(&charter)));
        }
    }
}

/// What the fleet needs, with every timer step. `sure`: the store has answered lately. Gives back the
/// machines to ask directly whether they live.
pub fn plan_fleet(
    tables: &mut ClusterState,
    cloud: &mut CloudClient,
    view: PlanningContext,
    sure: bool,
) -> Vec<MachineId> {
    let now = view.now;
    let ask = match now >= tables.machines_checked_at + LIVENESS_CHECK_MS {
        true => tables.check_machine_liveness(&view.settings.settings, now),
        false => Vec::new(),
    };
    let rentals = &tables.provisioning;
    if now >= rentals.idle_checked_at + IDLE_CHECK_MS || now >= rentals.moves_checked_at + MOVES_MS
    {
        tables.count_free_resources(view.machine_types);
    }
    let plan = fleet::plan_fleet(tables, view, sure);
    if plan.refresh_machine_list {
        tables.provisioning.listed_at = now;
        tables.provisioning.is_listing = true;
        cloud.enqueue(CloudCall::ListMachines(None));
    }
    if plan.refresh_machine_types {
        tables.provisioning.types_requested_at = now;
        cloud.enqueue(CloudCall::ListTypes);
    }
    apply_fleet(tables, plan, now);
    // What waits to leave is not asked for once more.
    let pressing = if cloud.has_queued_return() {
        vec![]
    } else {
        tables.provisioning.next_urgent_returns(now)
    };
    for batch in [pressing, tables.provisioning.next_returns()] {
        if !batch.is_empty() {
            tracing::info!(machines = batch.len(), "scale in");
            cloud.enqueue(CloudCall::Return(batch.iter().map(|id| id.to_string()).collect()));
        }
    }
    ask
}

impl Controller {
    /// Plays a pass, if one is due.
    pub(super) fn run_cycle_if_due(&mut self) {
        let now = self.now.monotonic;
        let may = self.is_lease_confirmed() && now >= self.next_cycle_at;
        let Some(leader) = self.cluster_state.as_ref().filter(|_| may) else { return };
        let round_ms = self.load_level.scaled_period_ms(self.job_policies.round_interval_ms);
        let pass_ms = self.load_level.scaled_period_ms(CYCLE_MS);
        let Some(full) = placement::due_cycle(leader, pass_ms, round_ms, now) else { return };
        self.steer(full);
        self.job_policies.bounds = self.cycle_bounds();
        let Some(leader) = &mut self.cluster_state else { return };
        let Some(types) = self.machine_types.clone() else { return };
        let settings = self.settings.clone();
        let wall = self.now.wall_clock;
        let view = PlanningContext {
            now,
            wall_now: wall,
            settings: &settings,
            machine_types: &types,
            policy: &self.job_policies,
        };
        let passed = run_scheduling_cycle(leader, view, full);
        self.scores_computed += passed.scored;
        // However large the cluster, placement leaves the processor to leases and the term.
        let us = passed.looked as f64 * EVALUATION_US + passed.scored as f64 * SCORE_US;
        self.cycle_cost_us += us;
        let wall_ms = us / MS_PER_S / settings.settings.machine_limits.cores;
        if wall_ms > LONG_CYCLE_MS {
            self.next_cycle_at = now + (wall_ms * CYCLE_REST_FACTOR) as u64;
        }
        self.plugin_host.end_cycle(passed.scored);
        let mut wishes = passed.wishes.unwrap_or_default();
        wishes.sort_by_key(|w| Reverse(w.number));
        self.limit_to_headroom(&mut wishes);
        let Some(leader) = &mut self.cluster_state else { return };
        plan_provisioning(leader, &mut self.cloud, wishes, now);
        if passed.bound > 0 {
            leader.write_binding_log(&mut ctx!(self));
        }
    }

    /// With every timer step: what the fleet needs.
    pub(super) fn manage_fleet(&mut self) {
        let now = self.now.monotonic;
        let crowded = self.is_crowded();
        let Some(leader) = &mut self.cluster_state else { return };
        if crowded {
            self.job_policies.idle_timeout_ms = 0;
        }
        let fresh = |name: &String| {
            let peer = self.peers.get(name);
            peer.is_some_and(|p| now.saturating_sub(p.health.heard_at) <= HEARTBEAT_FRESH_MS)
        };
        let others = self.settings.others.iter().filter(|o| fresh(&o.host_name));
        let own = std::iter::once(&self.settings.site);
        leader.reachable_zones = others.map(|o| &o.site).chain(own).cloned().collect();
        let types = self.machine_types.clone().unwrap_or_default();
        let sure =
            self.store.last_success_at.is_some_and(|at| now.saturating_sub(at) <= LEASE_TTL_MS);
        let settings = self.settings.clone();
        let wall = self.now.wall_clock;
        let view = PlanningContext {
            now,
            wall_now: wall,
            settings: &settings,
            machine_types: &types,
            policy: &self.job_policies,
        };
        for id in plan_fleet(leader, &mut self.cloud, view, sure) {
            let addr = leader.machines.get(&id).map(|m| m.address.clone()).unwrap_or_default();
            if !addr.is_empty() {
                if self.open_probes.contains_key(&id)
                    && let Some(machine) = leader.machines.get_mut(&id)
                {
                    machine.probe_baseline = None;
                }
                self.actions.push(Action::ProbeMachine(id, addr));
            } else {
                // Not in the machine list yet: there is nothing to ask.
                leader.on_probed(&id, ProbeOutcome::Refused, None, now);
            }
        }
    }

    /// A machine was asked directly, and answered or not.
    pub(super) fn on_probed(
        &mut self,
        id: &MachineId,
        probe: ProbeOutcome,
        report: Option<Box<StatusReport>>,
    ) {
        if self.closes_previous_term_probe(id) {
            // Whether this or a later one answers it cannot be told: it says what a report says, and no more.
        } else if let Some(leader) = &mut self.cluster_state {
            leader.on_probed(id, probe, report.as_deref(), self.now.monotonic);
        }
        tracing::debug!(machine = %id, ?probe, "machine probed");
        if let Some(report) = report {
            self.on_command_response(&report);
        }
    }

    /// Whether a question that an earlier lead of this process has asked of a machine is open; one is less.
    fn closes_previous_term_probe(&mut self, id: &MachineId) -> bool {
        let Some(open) = self.open_probes.get_mut(id) else { return false };
        *open -= 1;
        if *open == 0 {
            self.open_probes.remove(id);
        }
        true
    }

    /// The cloud has answered, or not.
    pub(super) fn on_cloud(&mut self, call: &CloudCall, outcome: &cloud::CloudOutcome) {
        use cloud::CloudOutcome;
        let now = self.now.monotonic;
        self.cloud.on_outcome(outcome, now);
        if let CloudOutcome::Types(types) = outcome {
            self.learn_machine_types(types);
            self.store_machine_types(types);
        }
        if let (CloudCall::Return(names), CloudOutcome::Returned) = (call, outcome) {
            self.pending_terminations.on_terminated(names);
        }
        let Some(leader) = &mut self.cluster_state else { return };
        match (call, outcome) {
            (CloudCall::Provision(rent), CloudOutcome::Provisioned(berths)) => {
                leader.on_provisioned(&rent.request_id, &berths.machines, now);
            }
            (CloudCall::Provision(rent), CloudOutcome::NoCapacity | CloudOutcome::Malformed(_)) => {
                leader.on_provisioning_refused(&rent.request_id, now);
            }
            // The same name again: if it was served, the answer is the same and nothing is rented.
            (CloudCall::Provision(rent), _) => {
                if leader.provisioning.mark_unanswered(&rent.request_id) {
                    self.cloud.enqueue(call.clone());
                }
            }
            (CloudCall::Return(names), CloudOutcome::Returned) => {
                for name in names {
                    leader.on_returned(&MachineId::from(name.as_str()), now);
                }
            }
            (CloudCall::Return(names), _) => {
                for name in names {
                    leader.provisioning.on_return_failed(MachineId::from(name.as_str()));
                }
            }
            (CloudCall::ListMachines(_), CloudOutcome::Listed(page)) => {
                for id in leader.apply_machine_list(page, now) {
                    leader.request_return(&id, "it failed", now);
                }
                leader.provisioning.is_listing = page.has_next;
                if let Some(last) = page.machines.last().filter(|_| page.has_next) {
                    self.cloud.enqueue(CloudCall::ListMachines(Some(last.name.clone())));
                }
            }
            (CloudCall::ListMachines(_), _) => leader.provisioning.is_listing = false,
            (CloudCall::ListTypes, _) => {}
        }
    }

    /// Ends the jobs of which nothing is left to do.
    pub(super) fn close_finished_jobs(&mut self) {
        let sure = self.is_lease_confirmed();
        let Some(leader) = self.cluster_state.as_mut().filter(|_| sure) else { return };
        for id in leader.take_maybe_finished() {
            leader.close_if_finished(&id, &mut ctx!(self));
        }
    }
}

/// Whether a replica of an ordered tier waits that could have room on a machine: what stands in a line there, of a
/// later tier or priority, then chooses again behind it. Found by a checker in worlds: lines took what came free
/// before anybody looked who waits.
fn records_requested(
    waiting: &[(Arc<JobSpec>, TierAssignment)],
    machine: &Machine,
    room: &Resources,
    next: &Job,
) -> bool {
    waiting.iter().any(|(spec, tier)| {
        let ahead = (Reverse(spec.priority), *tier) < (Reverse(next.spec.priority), next.tier);
        ahead
            && room.fits_task(spec)
            && (!machine.spot || spec.spot)
            && spec.machine_types.as_ref().is_none_or(|t| t.contains(&machine.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
    })
}

/// The next of a line takes the room that its head has left, unless waiting core work could have it. Those that the
/// rules or the room refuse choose again. Returns how many were bound.
fn promote_reservations(
    tables: &mut ClusterState,
    guard: &mut QuotaGuard,
    view: PlanningContext,
) -> usize {
    let lease = view.lease_ms();
    let mut bound = 0;
    let waits = |j: &&Job| j.tier.ordered && j.has_queued_tasks() && !j.is_cancelled();
    let core: Vec<(Arc<JobSpec>, TierAssignment)> =
        tables.jobs.values().filter(waits).map(|j| (j.spec.clone(), j.tier)).collect();
    for slot in tables.run_queues.slots_without_head(&tables.jobs) {
        let mut line: RunQueue = tables.run_queues.take(&slot);
        let machine = &slot.0;
        if !tables.machines.get(machine).is_some_and(|m| usable(m, view.now, lease)) {
            continue;
        }
        // A line before it may have bound to the same machine.
        tables.count_free_resources(view.machine_types);
        let room =
            tables.machines.get(machine).and_then(|m| m.free_resources()).unwrap_or_default();
        let wanted = |id: &JobId| {
            let (m, j) = (tables.machines.get(machine), tables.jobs.get(id));
            m.zip(j).is_some_and(|(m, j)| records_requested(&core, m, &room, j))
        };
        if line.front().is_some_and(wanted) {
            continue;
        }
        while let Some(id) = line.pop_front() {
            let fits = tables
                .jobs
                .get(&id)
                .is_some_and(|j| room.fits_task(&j.spec) && !j.bad_machines.contains(machine));
            if fits && let Some(task) = bind(tables, guard, view, &id, machine, None) {
                bound += 1;
                tables.run_queues.append_all(&(machine.clone(), id, task), line);
                break;
            }
        }
    }
    bound
}

/// Applies a round's plan. Returns how many tasks were bound.
fn apply(
    tables: &mut ClusterState,
    guard: &mut QuotaGuard,
    view: PlanningContext,
    plan: CyclePlan,
) -> usize {
    let mut bound = 0;
    tables.run_queues = plan.run_queues;
    for step in plan.steps {
        match step {
            PlanStep::Bind(id, machine) => {
                bound += usize::from(bind(tables, guard, view, &id, &machine, None).is_some());
            }
            PlanStep::BindGang(id, machines) => {
                let launch = tables.next_attempt_number();
                let ok = machines
                    .iter()
                    .filter(|m| bind(tables, guard, view, &id, m, Some(launch)).is_some());
                let ok = ok.count();
                bound += ok;
                // A part alone is never offered: it leaves, and the gang is planned anew.
                if ok < machines.len()
                    && let Some(job) = tables.jobs.get_mut(&id)
                {
                    job.set_gang_state(GangState::Stopping);
                }
            }
            PlanStep::Preempt { by, fetch_ms, victims } => {
                for (id, task) in tables.lend(&by, victims, view.wall_now) {
                    tracing::debug!(job = %id, task, by = %by, "task preempted");
                    tables.request_stop(&id, task, view.now);
                }
                tables.preempting.insert(by, (view.now, fetch_ms));
            }
            PlanStep::ReserveForGang(id, machines) => {
                // Who stands in a line there would take what comes free before anybody looks.
                machines.iter().for_each(|m| tables.run_queues.remove_machine(m));
                if let Some(job) = tables.jobs.get_mut(&id) {
                    job.vacated_machines = machines.into_iter().map(|m| (m, view.now)).collect();
                }
            }
            PlanStep::HoldFromLowPriority(machines) => {
                tables.yielding_machines.retain(|_, until| view.now < *until);
                let until = view.now + YIELD_HOLD_MS;
                tables.yielding_machines.extend(machines.into_iter().map(|id| (id, until)));
            }
            PlanStep::PreemptForQuota { by, victims } => {
                tracing::info!(job = %by, tasks = victims.len(), "tasks preempted: the team's limit leaves no room for a service");
                for (id, task) in victims {
                    tables.request_stop(&id, task, view.now);
                }
            }
        }
    }
    tables.needs_scheduling |= plan.cut_short;
    bound
}

/// Binds a job's next waiting task, if the rules allow it. `launch`: the number that a gang shares.
fn bind(
    tables: &mut ClusterState,
    guard: &mut QuotaGuard,
    view: PlanningContext,
    id: &JobId,
    machine: &MachineId,
    launch: Option<u64>,
) -> Option<u32> {
    if let Err(why) = guard.check(tables, id, machine, launch.is_some()) {
        tracing::debug!(job = %id, machine = %machine, ?why, "planned binding rejected");
        return None;
    }
    let value = (view.settings.settings.state.value_kb * 1024.0) as usize;
    let launch = launch.unwrap_or_else(|| tables.next_attempt_number());
    let task = tables.bind(id, machine, launch, value - value / 32, view.now)?;
    if let Some(job) = tables.jobs.get(id) {
        guard.count(&job.spec);
    }
    Some(task)
}

fn apply_fleet(tables: &mut ClusterState, plan: FleetPlan, now: Time) {
    for (id, why) in plan.returns {
        if tables.request_return(&id, why, now)
            && matches!(why, fleet::RETURN_REASON_UNREACHABLE | fleet::RETURN_REASON_NOT_REPORTING)
        {
            tables.provisioning.note_unreachable_return(now);
        }
        if why == fleet::RETURN_REASON_CANCELLED {
            tables.provisioning.mark_urgent(&id);
        }
    }
    for (job, task) in plan.stops {
        tables.request_stop(&job, task, now);
    }
    for (id, standing) in plan.state_changes {
        tables.machine_entry(&id, now).advance(standing);
    }
    if plan.checked_idle_machines {
        tables.provisioning.idle_checked_at = now;
    }
    if plan.checked_consolidation {
        tables.provisioning.moves_checked_at = now;
    }
}
