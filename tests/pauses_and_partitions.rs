//! Pauses, quick restarts and network partitions of controllers; low-priority jobs, faulty jobs and machines that
//! boot late. Real controllers run against the simulated state service, cloud and workers.

mod common;

use common::cluster::{leader_index, tasks_killed};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftsail_controller::constants::FORWARD_TIMEOUT_MS;
use swiftsail_controller::controller::{Action, Controller, Event, Now};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::workers::StatusReport;
use swiftsail_simulation::simulation::{
    FaultRates, NetworkPartition, START_MS, Simulation, assert_all_jobs_over, controller_settings,
    job_body, submit_mixed_load,
};

/// Controllers are paused for 1 to 90 s at random times. A resumed controller must not answer reports under a fencing
/// token that it has lost, nor reply with stale knowledge.
#[test]
fn paused_controllers_confirm_their_lease() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Simulation::new(seed, FaultRates::NONE, 150_000);
        submit_mixed_load(&mut sim, 6);
        for _ in 0..6 {
            let for_ms = [1_000, 2_400, 2_600, 7_000, 25_000, 90_000][rng.random_range(0..6)];
            sim.schedule_pause(rng.random_range(3_000..90_000), rng.random_range(0..3), for_ms);
        }
        sim.run_until(330_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        assert_eq!(sim.stale_answers, 0, "seed {seed}: reports were answered under a lost token");
    }
}

/// A leader that is paused for longer than its lease is replaced no later than one that crashes. A pause shorter than
/// the lease causes no failover.
#[test]
fn paused_leader_is_replaced_as_soon_as_a_crashed_one() {
    let replaced_at = |for_ms: u64, crash: bool| {
        let mut sim = Simulation::new(5, FaultRates::NONE, 60_000);
        sim.run_until(10_000);
        let before = leader_index(&sim).expect("there is a leader");
        match crash {
            true => sim.schedule_crash(10_000, before),
            false => sim.schedule_pause(10_000, before, for_ms),
        }
        for at in 100..200 {
            sim.run_until(at * 100);
            let others = (0..3).filter(|n| *n != before);
            if others
                .into_iter()
                .any(|n| sim.controllers[n].as_ref().is_some_and(Controller::is_leader))
            {
                return Some(at * 100);
            }
        }
        None
    };
    let (crashed, paused) = (replaced_at(0, true), replaced_at(25_000, false));
    assert!(
        paused.is_some() && paused <= crashed.map(|at| at + 300),
        "replaced at {paused:?} after a pause, at {crashed:?} after a crash"
    );
    assert_eq!(replaced_at(1_500, false), None, "the pause is shorter than the lease");
}

/// A leader whose process restarts quickly replaces the leader's key of its previous process, under a new token, and
/// does not wait for the old lease to expire.
#[test]
fn restarted_leader_replaces_the_key_of_its_previous_process() {
    for restart_ms in [50, 200, 1_000] {
        let mut sim = Simulation::new(restart_ms, FaultRates::NONE, 60_000);
        sim.restart_delay_ms = Some(restart_ms);
        sim.run_until(10_000);
        let before = leader_index(&sim).expect("there is a leader");
        let token = |sim: &Simulation, n: usize| {
            sim.controllers[n].as_ref()?.cluster_state().map(|state| state.token)
        };
        let old = token(&sim, before).expect("the controller leads");
        sim.schedule_crash(10_000, before);
        sim.run_until(10_000 + restart_ms + 500);
        let new = token(&sim, before).expect("the controller leads again");
        assert!(new > old, "{restart_ms} ms: token {new} after {old}");
    }
}

/// Controllers restart within a second: a follower twice in a row, all at once, one after another, one of them again
/// and again while it starts, and the leader. The key and lease of the previous process are still alive then, and its
/// late writes are applied after the new process has read the key.
#[test]
fn quick_restarts_of_controllers() {
    let mut lost = Vec::new();
    for restart_ms in [50, 200, 1_000] {
        // One run with message faults, sixteen without: in a single run it is down to chance whether a worker's lease
        // ends.
        for (seed, late) in [(1, 0.05)].into_iter().chain((0..16).map(|seed| (seed, 0.0))) {
            let fault_rates =
                FaultRates { message_loss: late / 2.0, message_delay: late, ..FaultRates::NONE };
            let mut sim = Simulation::new(seed, fault_rates, 90_000);
            sim.restart_delay_ms = Some(restart_ms);
            submit_mixed_load(&mut sim, 6);
            for at in [8_000, 8_010] {
                sim.schedule_crash(at, 1);
            }
            (0..3).for_each(|node| sim.schedule_crash(20_000, node));
            (0..3).for_each(|node| sim.schedule_crash(30_000 + 1_500 * node as u64, node));
            (0..12).for_each(|k| sim.schedule_crash(45_000 + k * (restart_ms + 30), 0));
            for at in [55_000, 60_000, 65_000] {
                sim.run_until(at);
                if let Some(node) = leader_index(&sim) {
                    sim.schedule_crash(at + 1, node);
                }
            }
            sim.run_until(300_000);
            assert_all_jobs_over(&sim, &format!("{restart_ms} ms, late {late}"));
            let killed = tasks_killed(&sim);
            if late == 0.0 && killed > 0 {
                lost.push((restart_ms, seed, killed));
            }
        }
    }
    assert!(
        lost.len() <= 2,
        "in more than two of 48 runs tasks were killed when their worker's lease ended: {lost:?}"
    );
}

/// A report that was forwarded to a leader which then ends is answered with a redirect: at once when another leader
/// is known, and otherwise at the forwarding timeout, even if no error of the connection is reported. Without this,
/// leaders that ended within seconds of each other cost workers two answers in a row, five seconds each, and so their
/// leases.
#[test]
fn report_forwarded_to_a_leader_that_ends_is_redirected() {
    let heartbeat = |token| Heartbeat {
        controller: "n1".into(),
        fencing_token: token,
        is_leader: true,
        incarnation: 7,
        ..Heartbeat::default()
    };
    let report = StatusReport {
        machine: "m-000001".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "b".into(),
        spot: false,
        session: 1,
        sequence: 5,
        fencing_token: 40,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    let follower_after_forwarding = || {
        let now = Now { monotonic: START_MS, wall_clock: START_MS };
        let mut node = Controller::new(controller_settings(0), 3, now);
        node.handle(Event::Heartbeat(heartbeat(40)), now);
        node.handle(Event::StatusReport(9, Box::new(report.clone())), now);
        let is_forwarded = node
            .take_actions()
            .iter()
            .any(|a| matches!(a, Action::ForwardReports(_, to, _) if to == "n1"));
        assert!(is_forwarded, "the report is forwarded to the leader");
        node
    };
    let is_redirected = |node: &mut Controller| {
        node.take_actions()
            .iter()
            .any(|a| matches!(a, Action::Reply(9, reply) if reply.status == 421))
    };
    let at = |ms: u64| Now { monotonic: START_MS + ms, wall_clock: START_MS + ms };
    let mut node = follower_after_forwarding();
    node.handle(Event::Heartbeat(heartbeat(40)), at(500));
    assert!(!is_redirected(&mut node), "the leader may still answer");
    node.handle(Event::Heartbeat(heartbeat(41)), at(600));
    assert!(is_redirected(&mut node), "another leader is known");
    let mut node = follower_after_forwarding();
    for ms in (100..FORWARD_TIMEOUT_MS).step_by(100) {
        node.handle(Event::Tick, at(ms));
        assert!(!is_redirected(&mut node), "after {ms} ms");
    }
    node.handle(Event::Tick, at(FORWARD_TIMEOUT_MS));
    assert!(is_redirected(&mut node), "the forwarding timeout has passed");
}

/// A low-priority job fills every machine with small tasks. Work of normal priority gets capacity at once, and no
/// more tasks are stopped for it than needed.
#[test]
fn low_priority_tasks_are_preempted_at_once() {
    let mut sim = Simulation::with_capacity(3, FaultRates::NONE, 400_000, 1);
    let mut low_priority = job_body("wk-g1", "array", "blue", 400, 0.25, 300.0);
    low_priority["rank"] = "low".into();
    low_priority["due_s"] = serde_json::Value::Null;
    sim.submit(500, None, low_priority);
    sim.run_until(60_000);
    let running = |sim: &Simulation, id: &str| {
        let tasks =
            sim.cluster.workers.values().filter(|w| !w.is_terminated).flat_map(|w| &w.tasks);
        tasks.filter(|t| t.is_on_machine() && t.name.starts_with(id)).count()
    };
    let before = running(&sim, "wk-g1");
    assert!(before >= 250, "the low-priority job has {before} tasks");
    sim.submit(60_000, None, job_body("wk-a1", "array", "blue", 6, 3.0, 20.0));
    sim.run_until(75_000);
    let after = running(&sim, "wk-g1");
    assert_eq!(running(&sim, "wk-a1"), 6, "beside {after} low-priority tasks");
    assert!(after + 6 * 12 + 24 >= before, "no more tasks are stopped than needed");
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Jobs whose tasks always fail run beside machines on which every task fails. The failing jobs are retried within a
/// budget, their team's other jobs run, no healthy machine is marked suspect, and the faulty ones are.
#[test]
fn faulty_jobs_are_distinguished_from_faulty_machines() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 400_000);
        for n in 0..4 {
            let id = format!("wk-m{n}");
            sim.cluster.faulty_jobs.insert(id.clone());
            sim.submit(1_000 + n * 3_000, None, job_body(&id, "array", "blue", 40, 1.0, 20.0));
            let id = format!("wk-a{n}");
            sim.submit(2_000 + n * 9_000, None, job_body(&id, "array", "blue", 12, 1.0, 8.0));
            let id = format!("wk-g{n}");
            sim.cluster.faulty_jobs.insert(id.clone());
            sim.submit(
                4_000 + n * 5_000,
                Some(200_000),
                job_body(&id, "gang", "blue", 2, 2.0, 9.0),
            );
        }
        sim.run_until(40_000);
        let faulty: Vec<String> = match seed % 2 {
            0 => Vec::new(),
            _ => {
                sim.cluster
                    .make_machines_faulty(2, 40_000 + swiftsail_simulation::simulation::START_MS);
                let workers = sim.cluster.workers.iter();
                workers.filter(|(_, w)| w.is_faulty).map(|(name, _)| name.clone()).collect()
            }
        };
        let last = job_body("wk-z", "array", "blue", 40, 1.0, 8.0);
        sim.submit(42_000, None, last);
        sim.run_until(190_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        for (id, tries) in &sim.cluster.failures_by_job {
            // Attempts on three machines, then of two tasks at a time with backoffs of 5 to 60 s, and the attempts
            // that had already started.
            let max_tries = if sim.cluster.faulty_jobs.contains(id) { 60 } else { 20 };
            assert!(*tries <= max_tries, "seed {seed}: {id} failed {tries} times");
        }
        let done = |id: &str| sim.jobs.iter().any(|j| j.id == id && j.is_over());
        assert!((0..4).all(|n| done(&format!("wk-a{n}"))) && done("wk-z"), "seed {seed}");
        let state =
            sim.controllers.iter().flatten().find_map(Controller::cluster_state).expect("a leader");
        let healthy_suspects =
            state.machines.values().filter(|m| m.is_suspect && !faulty.contains(&m.id.to_string()));
        assert_eq!(healthy_suspects.count(), 0, "seed {seed}: a healthy machine is suspect");
        let undetected = faulty.iter().filter(|name| {
            state.machines.get(name.as_str()).is_some_and(|m| !m.is_suspect && !m.tasks.is_empty())
        });
        assert_eq!(undetected.count(), 0, "seed {seed}: a faulty machine is not suspect");
    }
}

fn partition(node: usize, from_ms: u64, for_ms: u64, parts: [bool; 3]) -> NetworkPartition {
    let [workers, peers, store] = parts;
    NetworkPartition { workers, peers, store, ..NetworkPartition::of(node, from_ms, for_ms) }
}

/// A leader that reaches the state service but neither workers nor peers resigns before the workers' leases end. A
/// controller that reaches the workers takes over, and the isolated one does not become the leader again meanwhile.
#[test]
fn isolated_leader_resigns() {
    for seed in 0..4 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 120_000);
        submit_mixed_load(&mut sim, 4);
        sim.run_until(20_000);
        let before = leader_index(&sim).expect("there is a leader");
        sim.partitions.push(partition(before, 20_000, 60_000, [true, true, false]));
        let mut leaders = Vec::new();
        for at in 21..80 {
            sim.run_until(at * 1_000);
            leaders.extend(leader_index(&sim));
        }
        leaders.dedup();
        assert!(leaders.len() <= 2 && leaders.last() != Some(&before), "seed {seed}: {leaders:?}");
        let killed = tasks_killed(&sim);
        assert_eq!(killed, 0, "seed {seed}: tasks killed when their worker's lease ended");
        sim.run_until(300_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// Controllers lose their connections to workers, peers or the state service in any combination, together with pauses
/// and quick restarts. No invariant is violated, and every job ends.
#[test]
fn partitions_combined_with_pauses_and_restarts() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed + 100);
        let fault_rates = FaultRates {
            message_loss: 0.01,
            message_delay: 0.01,
            crashes: 3,
            outages_and_hangs: 1,
        };
        let mut sim = Simulation::new(seed, fault_rates, 120_000);
        sim.restart_delay_ms = (seed % 2 == 0).then_some(200);
        submit_mixed_load(&mut sim, 6);
        sim.cluster.faulty_jobs.insert("wk-a5".into());
        for _ in 0..8 {
            let parts = [rng.random_bool(0.5), rng.random_bool(0.5), rng.random_bool(0.5)];
            let for_ms = rng.random_range(2_000..45_000);
            let node = rng.random_range(0..3);
            sim.partitions.push(partition(node, rng.random_range(3_000..90_000), for_ms, parts));
        }
        for _ in 0..3 {
            let for_ms = rng.random_range(1_000..30_000);
            sim.schedule_pause(rng.random_range(3_000..90_000), rng.random_range(0..3), for_ms);
        }
        sim.run_until(400_000);
        let own: Vec<_> = sim.jobs.iter().filter(|j| j.id != "wk-a5").collect();
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        let unfinished = own.iter().filter(|j| j.text_field("shape") != "service" && !j.is_over());
        let names: Vec<&str> = unfinished.map(|j| j.id.as_str()).collect();
        assert!(names.is_empty(), "seed {seed}: {names:?}");
    }
}

/// Machines boot at once, late or never, while the cloud's machine lists lag. A machine that never boots is
/// terminated within a bounded time and replaced, and machines that boot late are not provisioned twice.
#[test]
fn machines_that_boot_late_at_once_or_never() {
    for (never, slow) in [(0.5, 1.0), (0.0, 0.02), (0.1, 6.0), (0.4, 0.3)] {
        let mut sim = Simulation::with_capacity(8, FaultRates::NONE, 600_000, 8);
        (sim.cluster.cloud.never_boots_probability, sim.cluster.cloud.boot_time_factor) =
            (never, slow);
        for n in 0..6 {
            let id = format!("wk-a{n}");
            sim.submit(1_000 + n * 4_000, None, job_body(&id, "array", "blue", 16, 1.0, 15.0));
            let id = format!("wk-s{n}");
            sim.submit(500 + n * 3_000, None, job_body(&id, "service", "blue", 2, 1.0, 0.0));
        }
        let mut max_machines = 0;
        for at in 1..60 {
            sim.run_until(at * 5_000);
            let now = sim.now;
            let held = sim.cluster.workers.iter().filter(|(_, w)| !w.is_terminated);
            let machines = held.filter_map(|(name, _)| sim.cluster.cloud.machine(name));
            let machines: Vec<_> = machines.collect();
            max_machines = max_machines.max(machines.len());
            // A boot that should take 5 s is given up after 25 s. A failover, a machine list and the termination add
            // to it.
            let overdue =
                machines.iter().filter(|m| m.up_at.is_none() && now > m.provisioned_at + 60_000);
            assert_eq!(overdue.count(), 0, "{never}, {slow}: a machine never booted and is kept");
        }
        // 96 tasks of one CPU and 12 replicas fill 27 machines of 4 CPUs at most.
        assert!(max_machines <= 27 + 20, "{never}, {slow}: {max_machines} machines");
        sim.run_until(500_000);
        assert_all_jobs_over(&sim, &format!("{never}, {slow}"));
    }
}
