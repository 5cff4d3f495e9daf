//! Cancellations that meet machines which can't be reached: teams at their limit, work that changes hands, machines that
//! report to nobody, transactions refused for their size. On the real cores against the stand-in, in simulated time.

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

fn leader_state(world: &Simulation) -> Option<&ClusterState> {
    world.controllers.iter().flatten().find_map(Controller::cluster_state)
}

// ---- teams at their limit ----------------------------------------------------------------------

/// Teams whose limit leaves their next task nothing, while a cancelled task of theirs is not proved gone.
fn machines_held_back(tables: &ClusterState) -> BTreeSet<String> {
    let all = controller_settings(0).settings.teams.clone();
    let usage = tables.quota_usage(&all);
    let mut found = BTreeSet::new();
    for (n, team) in all.iter().enumerate() {
        let its = || tables.jobs.values().filter(|j| j.spec.team == team.name);
        let cap = tables.quota_limit(n, team);
        let waits = its().filter(|j| !j.is_cancelled() && !j.waiting.is_empty());
        let each = |j: &swiftsail_controller::job::Job| {
            swiftsail_quota::ResourceQuantities::from_request(j.spec.cpus, j.spec.gpus)
        };
        let full = waits.map(each).any(|each| !cap.allows(usage[n], each));
        let mut cancelled = its().filter(|j| j.is_cancelled());
        let there = cancelled.any(|j| j.attempts.values().any(Attempt::occupies_resources));
        if full && there {
            found.insert(team.name.clone());
        }
    }
    found
}

/// A world in which three teams are at their limits and want more.
fn run_with_full_teams(seed: u64) -> Simulation {
    let mut world = Simulation::with_offers(seed, FaultRates::NONE, 1_000, gpu_machine_offers(8));
    for n in 0..10 {
        let id = format!("wk-r{n}");
        world.submit(500 + n * 100, None, job_body(&id, "array", "red", 8, 2.0, 60.0));
    }
    for n in 0..8 {
        for crew in ["tuning", "serving"] {
            let id = format!("wk-{}{n}", &crew[..1]);
            let mut body = gpu_job_body(&id, "array", crew, 4, 1.0, 60.0);
            body["rank"] = "standard".into();
            world.submit(600 + n * 100, None, body);
        }
    }
    world
}

/// Every team is at its limit, jobs are cancelled whose machines are cut off or hang, and the leader changes: what is
/// not proved gone counts, and no team stands still for ever behind a machine that never answers.
#[test]
fn teams_at_their_limit_count_what_is_not_proved_gone() {
    let (mut met, mut crews) = (0, BTreeSet::new());
    for seed in 0..8u64 {
        let mut world = run_with_full_teams(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        world.run_until(45_000);
        let leads = leader_index(&world).expect("somebody leads");
        let all = machines_with_tasks(&world);
        let part: Vec<String> = all.iter().filter(|_| rng.random_bool(0.5)).cloned().collect();
        let for_ms = [8_000, 20_000, 60_000, 1_000_000][rng.random_range(0..4)];
        match seed % 4 {
            0 => hang_machines(&mut world, &part, for_ms),
            1 => world.inbound_failures.push(InboundFailure {
                from_ms: 45_000,
                for_ms,
                zone: None,
                machines: part,
                delivers_every: 0,
            }),
            2 => world.add_fault_window(
                45_000,
                for_ms.min(100_000),
                Fault::OutboundUnreachable(part),
            ),
            _ => {
                for n in 0..3 {
                    let cut = NetworkPartition {
                        workers: true,
                        holds_messages: rng.random_bool(0.5),
                        ..NetworkPartition::of(n, 45_000, 20_000)
                    };
                    world.partitions.push(cut);
                }
            }
        }
        world.schedule_running_cancellations(45_000 + rng.random_range(0..1_500), 9, None);
        match seed % 3 {
            0 => world.schedule_crash(45_000 + rng.random_range(0..3_000), leads),
            1 => world.schedule_pause(45_000 + rng.random_range(0..3_000), leads, 20_000),
            _ => world.partitions.push(NetworkPartition {
                store: true,
                ..NetworkPartition::of(leads, 45_500, 20_000)
            }),
        }
        for step in 0..400 {
            world.run_until(45_000 + step * 200);
            if leader_index(&world).is_some_and(|n| n != leads)
                && let Some(tables) = leader_state(&world)
            {
                let found = machines_held_back(tables);
                met += found.len();
                crews.extend(found);
            }
        }
        world.run_until(600_000);
        assert_completed_without_violations(&world, &format!("seed {seed}"));
    }
    assert!(met >= 100, "{met} moments at which a new leader counted a cancelled task at a limit");
    assert_eq!(crews.len(), 3, "{crews:?}");
}

// ---- work that changes hands -------------------------------------------------------------------

/// Jobs are cancelled in the seconds in which a controller's work changes hands: workers are shared, reports are passed
/// on and answered under duties, and the leader crashes, stands still, or is cut off from the others or the store.
#[test]
fn cancelled_as_work_changes_hands() {
    let (mut told, mut shared, mut by_duty) = (0, 0, 0);
    for seed in 0..15u64 {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x4a);
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        world.memory_mb = 0.2;
        world.restart_delay_ms = [None, Some(100), Some(1_000)][seed as usize % 3];
        let at = 40_000;
        for n in 0..24 {
            let id = format!("wk-h{n}");
            let cancel = at + rng.random_range(0..4_000);
            world.submit(
                500 + n * 100,
                Some(cancel),
                job_body(&id, "array", "blue", 2, 1.0, 150.0),
            );
        }
        world.run_until(at);
        let leads = leader_index(&world).expect("somebody leads");
        let known = leader_state(&world).expect("it leads").machines.values();
        shared += known.filter(|m| m.forwarded_by.is_some()).count();
        let duties: u64 =
            world.controllers.iter().flatten().map(Controller::delegated_answer_count).sum();
        let when = at + rng.random_range(500..2_000);
        let for_ms = rng.random_range(2_600..15_000);
        let hold = rng.random_bool(0.5);
        let cut =
            NetworkPartition { holds_messages: hold, ..NetworkPartition::of(leads, when, for_ms) };
        match seed % 5 {
            0 => world.schedule_crash(when, leads),
            1 => world.schedule_pause(when, leads, for_ms),
            2 => world.partitions.push(NetworkPartition { peers: true, store: true, ..cut }),
            // Its commands arrive nowhere: stops come with the answers that others pass on.
            3 => world.partitions.push(NetworkPartition {
                workers: true,
                ..NetworkPartition::of(leads, at, 60_000)
            }),
            _ => {
                // Then it ends, and nobody can follow it: what others answer for it must end.
                world.partitions.push(NetworkPartition {
                    workers: true,
                    ..NetworkPartition::of(leads, at, 60_000)
                });
                world.restart_delay_ms = Some(50_000);
                world.schedule_crash(when + 1_000, leads);
                world.schedule_store_outage(when + 900, 58_000);
            }
        }
        if seed % 5 == 3 {
            world.run_until(at + 12_000);
            let there: Vec<String> = machines_with_tasks(&world);
            assert!(there.is_empty(), "seed {seed}: cancelled 8 s ago, and there: {there:?}");
        }
        world.run_until(at + 40_000);
        told += world.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
        by_duty += duties;
        world.run_until(at + 200_000);
        assert_completed_without_violations(&world, &format!("seed {seed}"));
    }
    assert!(told >= 15 * 20, "{told} were told");
    assert!(shared >= 12, "{shared} machines reported through another controller");
    assert!(by_duty >= 500, "{by_duty} reports were answered under a duty");
}

// ---- machines that report to nobody ------------------------------------------------------------

/// Workers can't open connections to any controller, while direct commands still reach them: their leases end, cancelled
/// tasks are stopped by command, nothing is given to them meanwhile, and the work goes on elsewhere.
#[test]
fn what_reports_to_nobody_is_given_nothing() {
    let (mut cancelled, mut asked) = (0, 0);
    for seed in 0..6u64 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        for n in 0..16 {
            let id = format!("wk-m{n}");
            let cancel = (n % 2 == 0).then_some(41_000 + n * 500);
            world.submit(500 + n * 100, cancel, job_body(&id, "array", "blue", 2, 2.0, 60.0));
        }
        world.run_until(40_000);
        let mute: Vec<String> = machines_with_tasks(&world).into_iter().step_by(2).collect();
        world.add_fault_window(40_000, 90_000, Fault::OutboundUnreachable(mute.clone()));
        if seed % 2 == 1 {
            world.schedule_crash(40_500, leader_index(&world).expect("somebody leads"));
        }
        // More work comes while they are mute.
        for n in 0..16 {
            world.submit(
                52_000 + n * 500,
                None,
                job_body(&format!("wk-n{n}"), "array", "blue", 2, 2.0, 10.0),
            );
        }
        for step in 0..80 {
            world.run_until(55_000 + step * 1_000);
            let Some(tables) = leader_state(&world) else { continue };
            for name in &mute {
                let id = MachineId::from(name.as_str());
                let Some(machine) = tables.machines.get(&id) else { continue };
                asked +=
                    usize::from(machine.last_contact_at.is_some_and(|at| at + 3_000 > world.now));
                let waits = |a: &Attempt| {
                    a.machine == id && !a.is_reported && a.bound_at + 12_000 < world.now
                };
                let bound = tables.jobs.values().flat_map(|j| j.attempts.values());
                assert!(
                    !bound.filter(|a| !a.from_previous_term).any(waits),
                    "seed {seed}: bound to {name}, and never offered"
                );
            }
        }
        let late = world.jobs.iter().filter(|j| j.id.starts_with("wk-n") && !j.is_over());
        let late: Vec<&str> = late.map(|j| j.id.as_str()).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?} wait for machines that report to nobody");
        cancelled += world.fault_counts.get("mute").copied().unwrap_or(0);
        world.run_until(300_000);
        assert_completed_without_violations(&world, &format!("seed {seed}"));
    }
    assert!(cancelled >= 100, "{cancelled} reports came nowhere");
    assert!(asked >= 100, "{asked} answers to questions");
}

/// What was bound and never offered to a machine that has ceased to report need not wait until its lease has ended, or
/// for ever where some other controller keeps that alive; what was offered waits for proof.
#[test]
fn what_was_never_offered_moves_on() {
    let (mut tables, mut now) = (ClusterState::new(9, 1, 1_000), 2_000);
    tables.lease_ms = 10_000.0;
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
    let value = serde_json::to_value(&record).expect("a record has a JSON form");
    tables.apply_job_record(&keys::job("wk-000001"), &value, 5, now, 0);
    let (job, machine) = (JobId::from("wk-000001"), MachineId::from("m-1"));
    let report = |tick| StatusReport {
        machine: "m-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "s4".into(),
        zone: "a".into(),
        session: 1,
        sequence: tick,
        fencing_token: 9,
        spot: true,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    tables.on_status_report(&report(1), ReportSource::StatusReport, now, &[]);
    for task in 0..2 {
        let launch = tables.next_attempt_number();
        assert_eq!(tables.bind(&job, &machine, launch, 8_000, now), Some(task));
        let attempts = &mut tables.jobs.get_mut(&job).expect("known").attempts;
        attempts.get_mut(&task).expect("bound").advance(AttemptPhase::Bound, now);
        if task == 0 {
            let orders = tables.on_status_report(&report(2), ReportSource::StatusReport, now, &[]);
            assert_eq!(orders.commands.len(), 1, "the first is offered");
        }
    }
    for tick in 3..8 {
        now += 2_000;
        tables.on_status_report(&report(tick), ReportSource::CommandResponse, now, &[]);
        tables.check_machine_liveness(&controller_settings(0).settings, now);
    }
    assert!(
        tables.machines[&machine].reports_missing()
            && !tables.machines[&machine].may_receive_work()
    );
    let held = &tables.jobs[&job];
    assert_eq!(held.waiting.iter().copied().collect::<Vec<_>>(), [1], "the other was offered");
    tables.on_status_report(&report(9), ReportSource::StatusReport, now, &[]);
    tables.check_machine_liveness(&controller_settings(0).settings, now);
    assert!(tables.machines[&machine].may_receive_work(), "it reports again");
}

// ---- transactions that are refused for their size ----------------------------------------------

/// The state service takes smaller values and transactions from one moment on, without notice: nothing more can be
/// bound. What is cancelled is stopped all the same, and its machine is returned where it does not answer.
#[test]
fn refused_for_their_size_transactions_keep_nothing_alive() {
    let (mut told, mut refused) = (0, 0);
    for seed in 0..8u64 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 12);
        for n in 0..30 {
            let id = format!("wk-q{n}");
            let cancel = (n % 2 == 0).then_some(42_000 + n * 1_500);
            world.submit(500 + n * 100, cancel, job_body(&id, "array", "blue", 6, 1.0, 90.0));
        }
        world.run_until(40_000);
        world.store.limit_sizes([0.6, 1.0][seed as usize % 2], [1, 5][seed as usize / 2 % 2]);
        // More comes, and cannot be bound.
        for n in 0..20 {
            let id = format!("wk-z{n}");
            world.submit(
                41_000 + n * 700,
                Some(120_000),
                job_body(&id, "array", "blue", 40, 1.0, 20.0),
            );
        }
        let all = machines_with_tasks(&world);
        if seed % 2 == 0 {
            let hung: Vec<String> = all.into_iter().step_by(3).collect();
            hang_machines(&mut world, &hung, 200_000);
        }
        if seed % 4 >= 2 {
            world.schedule_crash(60_000, leader_index(&world).expect("somebody leads"));
        }
        world.run_until(180_000);
        refused += world.fault_counts.get("malformed").copied().unwrap_or(0);
        told += world.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        world.store.limit_sizes(8.0, 16);
        world.run_until(700_000);
        assert_completed_without_violations(&world, &format!("seed {seed}"));
    }
    assert!(refused >= 200, "{refused} transactions were refused for their size");
    assert!(told >= 8 * 20, "{told} were told");
}
