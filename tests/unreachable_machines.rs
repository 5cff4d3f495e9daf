//! Cancellations of jobs on machines that are unreachable: with teams at their limit, during failovers and forwarding,
//! with machines whose reports reach no controller, and with transactions refused for their size. The controllers' real
//! state machines run against simulated platform services, in simulated time.

mod common;

use common::cluster::{
    assert_completed_without_violations, hang_machines, leader_index, machines_with_tasks,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::controller::Controller;
use swiftsail_controller::job::{
    Attempt, AttemptPhase, JobId, JobKind, JobRecord, MachineId, keys,
};
use swiftsail_protocol::workers::StatusReport;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, InboundFailure, NetworkPartition, Simulation, controller_settings,
    gpu_job_body, gpu_machine_offers, job_body, job_spec,
};

fn leader_state(sim: &Simulation) -> Option<&ClusterState> {
    sim.controllers.iter().flatten().find_map(Controller::cluster_state)
}

// ---- teams at their limit ----------------------------------------------------------------------

/// Teams that are at their limit with tasks waiting, while a cancelled task of theirs is not confirmed gone.
fn teams_blocked_by_cancelled_tasks(cluster_state: &ClusterState) -> BTreeSet<String> {
    let teams = controller_settings(0).settings.teams.clone();
    let usage = cluster_state.quota_usage(&teams);
    let mut blocked = BTreeSet::new();
    for (n, team) in teams.iter().enumerate() {
        let team_jobs = || cluster_state.jobs.values().filter(|j| j.spec.team == team.name);
        let limit = cluster_state.quota_limit(n, team);
        let waiting = team_jobs().filter(|j| !j.is_cancelled() && !j.waiting.is_empty());
        let amounts_of = |job: &swiftsail_controller::job::Job| {
            swiftsail_quota::ResourceQuantities::from_request(job.spec.cpus, job.spec.gpus)
        };
        let is_at_limit = waiting.map(amounts_of).any(|amounts| !limit.allows(usage[n], amounts));
        let mut cancelled = team_jobs().filter(|j| j.is_cancelled());
        let has_cancelled_tasks =
            cancelled.any(|j| j.attempts.values().any(Attempt::occupies_resources));
        if is_at_limit && has_cancelled_tasks {
            blocked.insert(team.name.clone());
        }
    }
    blocked
}

/// A simulated cluster in which three teams are at their limits with tasks waiting.
fn run_with_full_teams(seed: u64) -> Simulation {
    let mut sim = Simulation::with_offers(seed, FaultRates::NONE, 1_000, gpu_machine_offers(8));
    for n in 0..10 {
        let id = format!("wk-r{n}");
        sim.submit(500 + n * 100, None, job_body(&id, "array", "red", 8, 2.0, 60.0));
    }
    for n in 0..8 {
        for team in ["tuning", "serving"] {
            let id = format!("wk-{}{n}", &team[..1]);
            let mut body = gpu_job_body(&id, "array", team, 4, 1.0, 60.0);
            body["rank"] = "standard".into();
            sim.submit(600 + n * 100, None, body);
        }
    }
    sim
}

/// Every team is at its limit, jobs on unreachable or hanging machines are cancelled, and the leader changes. Attempts
/// not confirmed gone count against the limit, and no team is blocked forever by a machine that never responds.
#[test]
fn unconfirmed_attempts_count_against_team_limits() {
    let (mut observed, mut blocked_teams) = (0, BTreeSet::new());
    for seed in 0..8u64 {
        let mut sim = run_with_full_teams(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        sim.run_until(45_000);
        let leader = leader_index(&sim).expect("a controller leads");
        let all = machines_with_tasks(&sim);
        let names: Vec<String> = all.iter().filter(|_| rng.random_bool(0.5)).cloned().collect();
        let for_ms = [8_000, 20_000, 60_000, 1_000_000][rng.random_range(0..4)];
        match seed % 4 {
            0 => hang_machines(&mut sim, &names, for_ms),
            1 => sim.inbound_failures.push(InboundFailure {
                from_ms: 45_000,
                for_ms,
                zone: None,
                machines: names,
                delivers_every: 0,
            }),
            2 => {
                sim.add_fault_window(45_000, for_ms.min(100_000), Fault::OutboundUnreachable(names))
            }
            _ => {
                for n in 0..3 {
                    let partition = NetworkPartition {
                        workers: true,
                        holds_messages: rng.random_bool(0.5),
                        ..NetworkPartition::of(n, 45_000, 20_000)
                    };
                    sim.partitions.push(partition);
                }
            }
        }
        sim.schedule_running_cancellations(45_000 + rng.random_range(0..1_500), 9, None);
        match seed % 3 {
            0 => sim.schedule_crash(45_000 + rng.random_range(0..3_000), leader),
            1 => sim.schedule_pause(45_000 + rng.random_range(0..3_000), leader, 20_000),
            _ => sim.partitions.push(NetworkPartition {
                store: true,
                ..NetworkPartition::of(leader, 45_500, 20_000)
            }),
        }
        for step in 0..400 {
            sim.run_until(45_000 + step * 200);
            if leader_index(&sim).is_some_and(|n| n != leader)
                && let Some(cluster_state) = leader_state(&sim)
            {
                let blocked = teams_blocked_by_cancelled_tasks(cluster_state);
                observed += blocked.len();
                blocked_teams.extend(blocked);
            }
        }
        sim.run_until(600_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
    }
    assert!(observed >= 100, "a new leader had a blocked team {observed} times");
    assert_eq!(blocked_teams.len(), 3, "{blocked_teams:?}");
}

// ---- failovers and forwarding ------------------------------------------------------------------

/// Jobs are cancelled while workers report through other controllers, which forward reports or answer them by
/// delegation, and the leader crashes, is paused, or is partitioned from the other controllers, the store or the
/// workers.
#[test]
fn jobs_cancelled_during_failovers_and_forwarding_end() {
    let (mut confirmed, mut forwarded, mut delegated) = (0, 0, 0);
    for seed in 0..15u64 {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x4a);
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        sim.memory_mb = 0.2;
        sim.restart_delay_ms = [None, Some(100), Some(1_000)][seed as usize % 3];
        let at = 40_000;
        for n in 0..24 {
            let id = format!("wk-h{n}");
            let cancel = at + rng.random_range(0..4_000);
            sim.submit(500 + n * 100, Some(cancel), job_body(&id, "array", "blue", 2, 1.0, 150.0));
        }
        sim.run_until(at);
        let leader = leader_index(&sim).expect("a controller leads");
        let machines = leader_state(&sim).expect("it leads").machines.values();
        forwarded += machines.filter(|m| m.forwarded_by.is_some()).count();
        let delegated_answers: u64 =
            sim.controllers.iter().flatten().map(Controller::delegated_answer_count).sum();
        let when = at + rng.random_range(500..2_000);
        let for_ms = rng.random_range(2_600..15_000);
        let holds_messages = rng.random_bool(0.5);
        let partition =
            NetworkPartition { holds_messages, ..NetworkPartition::of(leader, when, for_ms) };
        match seed % 5 {
            0 => sim.schedule_crash(when, leader),
            1 => sim.schedule_pause(when, leader, for_ms),
            2 => sim.partitions.push(NetworkPartition { peers: true, store: true, ..partition }),
            // Its direct commands reach no worker: stop commands arrive in responses through other controllers.
            3 => sim.partitions.push(NetworkPartition {
                workers: true,
                ..NetworkPartition::of(leader, at, 60_000)
            }),
            _ => {
                // It then crashes, and no other can become leader: the others must stop answering for it.
                sim.partitions.push(NetworkPartition {
                    workers: true,
                    ..NetworkPartition::of(leader, at, 60_000)
                });
                sim.restart_delay_ms = Some(50_000);
                sim.schedule_crash(when + 1_000, leader);
                sim.schedule_store_outage(when + 900, 58_000);
            }
        }
        if seed % 5 == 3 {
            sim.run_until(at + 12_000);
            let occupied: Vec<String> = machines_with_tasks(&sim);
            assert!(
                occupied.is_empty(),
                "seed {seed}: tasks run 8 s after their cancellation on {occupied:?}"
            );
        }
        sim.run_until(at + 40_000);
        confirmed += sim.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
        delegated += delegated_answers;
        sim.run_until(at + 200_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
    }
    assert!(confirmed >= 15 * 20, "{confirmed} cancellations were confirmed");
    assert!(forwarded >= 12, "{forwarded} machines reported through another controller");
    assert!(delegated >= 500, "{delegated} reports were answered by delegation");
}

// ---- machines whose reports reach no controller ------------------------------------------------

/// Workers cannot open connections to any controller, while direct commands still reach them: their leases expire,
/// cancelled tasks are stopped by direct commands, no tasks are bound to them meanwhile, and their work continues
/// elsewhere.
#[test]
fn machines_whose_reports_are_missing_get_no_tasks() {
    let (mut lost_reports, mut probed) = (0, 0);
    for seed in 0..6u64 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        for n in 0..16 {
            let id = format!("wk-m{n}");
            let cancel = (n % 2 == 0).then_some(41_000 + n * 500);
            sim.submit(500 + n * 100, cancel, job_body(&id, "array", "blue", 2, 2.0, 60.0));
        }
        sim.run_until(40_000);
        let names: Vec<String> = machines_with_tasks(&sim).into_iter().step_by(2).collect();
        sim.add_fault_window(40_000, 90_000, Fault::OutboundUnreachable(names.clone()));
        if seed % 2 == 1 {
            sim.schedule_crash(40_500, leader_index(&sim).expect("a controller leads"));
        }
        // More jobs are submitted while their reports are missing.
        for n in 0..16 {
            sim.submit(
                52_000 + n * 500,
                None,
                job_body(&format!("wk-n{n}"), "array", "blue", 2, 2.0, 10.0),
            );
        }
        for step in 0..80 {
            sim.run_until(55_000 + step * 1_000);
            let Some(cluster_state) = leader_state(&sim) else { continue };
            for name in &names {
                let id = MachineId::from(name.as_str());
                let Some(machine) = cluster_state.machines.get(&id) else { continue };
                probed +=
                    usize::from(machine.last_contact_at.is_some_and(|at| at + 3_000 > sim.now));
                let is_waiting = |a: &Attempt| {
                    *a.machine() == id && !a.is_reported && a.bound_at() + 12_000 < sim.now
                };
                let bound = cluster_state.jobs.values().flat_map(|j| j.attempts.values());
                assert!(
                    !bound.filter(|a| !a.is_from_previous_term()).any(is_waiting),
                    "seed {seed}: a task bound to {name} was never offered"
                );
            }
        }
        let late = sim.jobs.iter().filter(|j| j.id.starts_with("wk-n") && !j.is_over());
        let late: Vec<&str> = late.map(|j| j.id.as_str()).collect();
        assert!(
            late.is_empty(),
            "seed {seed}: {late:?} wait for machines whose reports are missing"
        );
        lost_reports += sim.fault_counts.get("mute").copied().unwrap_or(0);
        sim.run_until(300_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
    }
    assert!(lost_reports >= 100, "{lost_reports} reports reached no controller");
    assert!(
        probed >= 100,
        "{probed} checks found a machine that had recently responded to a probe"
    );
}

/// A task bound to a machine whose reports have ceased and whose start was never offered is released at once: it must
/// not wait for the lease to expire, which another controller may renew forever. A task whose start was offered stays
/// bound until its attempt is confirmed gone.
#[test]
fn tasks_never_offered_are_released_when_reports_cease() {
    let (mut cluster_state, mut now) = (ClusterState::new(9, 1, 1_000), 2_000);
    cluster_state.lease_ms = 10_000.0;
    let record = JobRecord {
        depends_on: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 0,
        chunk_tasks: 64,
        write_number: 0,
        tier: None,
        spec: job_spec(JobKind::Array, 2, 1.0, "img"),
    };
    let value = serde_json::to_value(&record).expect("the record is encodable");
    cluster_state.apply_job_record(&keys::job("wk-000001"), &value, 5, now, 0);
    let (job, machine) = (JobId::from("wk-000001"), MachineId::from("m-1"));
    let report = |sequence| StatusReport {
        machine: "m-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "s4".into(),
        zone: "a".into(),
        session: 1,
        sequence,
        fencing_token: 9,
        spot: true,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    cluster_state.on_status_report(&report(1), ReportSource::StatusReport, now, &[]);
    for task in 0..2 {
        let attempt = cluster_state.next_attempt_number();
        assert_eq!(cluster_state.bind(&job, &machine, attempt, 8_000, now), Some(task));
        let attempts = &mut cluster_state.jobs.get_mut(&job).expect("known").attempts;
        attempts.get_mut(&task).expect("bound").advance(AttemptPhase::Bound, now);
        if task == 0 {
            let response =
                cluster_state.on_status_report(&report(2), ReportSource::StatusReport, now, &[]);
            assert_eq!(response.commands.len(), 1, "the first start is offered");
        }
    }
    for sequence in 3..8 {
        now += 2_000;
        cluster_state.on_status_report(&report(sequence), ReportSource::CommandResponse, now, &[]);
        cluster_state.check_machine_liveness(&controller_settings(0).settings, now);
    }
    assert!(
        cluster_state.machines[&machine].reports_missing()
            && !cluster_state.machines[&machine].may_receive_work()
    );
    let waiting = &cluster_state.jobs[&job].waiting;
    assert_eq!(waiting.iter().collect::<Vec<_>>(), [1], "the start of task 0 was offered");
    cluster_state.on_status_report(&report(9), ReportSource::StatusReport, now, &[]);
    cluster_state.check_machine_liveness(&controller_settings(0).settings, now);
    assert!(cluster_state.machines[&machine].may_receive_work(), "it reports again");
}

// ---- transactions that are refused for their size ----------------------------------------------

/// The state service suddenly accepts only smaller values and transactions, so that no more tasks can be bound. Tasks
/// of cancelled jobs are stopped all the same, and their machines are returned if they do not respond.
#[test]
fn cancelled_jobs_end_while_transactions_are_refused_for_their_size() {
    let (mut confirmed, mut refused) = (0, 0);
    for seed in 0..8u64 {
        let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 12);
        for n in 0..30 {
            let id = format!("wk-q{n}");
            let cancel = (n % 2 == 0).then_some(42_000 + n * 1_500);
            sim.submit(500 + n * 100, cancel, job_body(&id, "array", "blue", 6, 1.0, 90.0));
        }
        sim.run_until(40_000);
        sim.store.limit_sizes([0.6, 1.0][seed as usize % 2], [1, 5][seed as usize / 2 % 2]);
        // More jobs are submitted whose tasks cannot be bound.
        for n in 0..20 {
            let id = format!("wk-z{n}");
            sim.submit(
                41_000 + n * 700,
                Some(120_000),
                job_body(&id, "array", "blue", 40, 1.0, 20.0),
            );
        }
        let all = machines_with_tasks(&sim);
        if seed % 2 == 0 {
            let hung: Vec<String> = all.into_iter().step_by(3).collect();
            hang_machines(&mut sim, &hung, 200_000);
        }
        if seed % 4 >= 2 {
            sim.schedule_crash(60_000, leader_index(&sim).expect("a controller leads"));
        }
        sim.run_until(180_000);
        refused += sim.fault_counts.get("malformed").copied().unwrap_or(0);
        confirmed += sim.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        sim.store.limit_sizes(8.0, 16);
        sim.run_until(700_000);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
    }
    assert!(refused >= 200, "{refused} transactions were refused for their size");
    assert!(confirmed >= 8 * 20, "{confirmed} cancellations were confirmed");
}
