//! Bad nights: controllers that stand still, that are back at once, that lose a part of the network; users
//! that ask without end, jobs with a mistake, guests. On the pure cores against the stand-in.

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

/// Whoever stands still for 1 to 90 s, at whatever point: it answers no report under a token that it has
/// lost, and nothing that it did not know is told to anybody.
#[test]
fn who_stands_still_proves_its_lead_anew() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = Simulation::new(seed, FaultRates::NONE, 150_000);
        submit_mixed_load(&mut world, 6);
        for _ in 0..6 {
            let for_ms = [1_000, 2_400, 2_600, 7_000, 25_000, 90_000][rng.random_range(0..6)];
            world.schedule_pause(rng.random_range(3_000..90_000), rng.random_range(0..3), for_ms);
        }
        world.run_until(330_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        assert_eq!(world.stale_answers, 0, "seed {seed}: a lease under a lost token");
    }
}

/// A leader that sleeps for longer than its grant is followed no later than one that crashes; a shorter
/// sleep costs no term.
#[test]
fn others_take_over_as_soon_as_after_a_crash() {
    let taken = |for_ms: u64, crash: bool| {
        let mut world = Simulation::new(5, FaultRates::NONE, 60_000);
        world.run_until(10_000);
        let before = leader_index(&world).expect("somebody leads");
        match crash {
            true => world.schedule_crash(10_000, before),
            false => world.schedule_pause(10_000, before, for_ms),
        }
        for at in 100..200 {
            world.run_until(at * 100);
            let others = (0..3).filter(|n| *n != before);
            if others
                .into_iter()
                .any(|n| world.controllers[n].as_ref().is_some_and(Controller::is_leader))
            {
                return Some(at * 100);
            }
        }
        None
    };
    let (crashed, slept) = (taken(0, true), taken(25_000, false));
    assert!(slept.is_some() && slept <= crashed.map(|at| at + 300), "{slept:?} after {crashed:?}");
    assert_eq!(taken(1_500, false), None, "shorter than the grant");
}

/// A leader that is back at once takes the place of its predecessor's key, under a token of its own, and
/// does not wait for that one's grant to end.
#[test]
fn back_at_once_it_need_not_wait_for_its_predecessor() {
    for restart_ms in [50, 200, 1_000] {
        let mut world = Simulation::new(restart_ms, FaultRates::NONE, 60_000);
        world.restart_delay_ms = Some(restart_ms);
        world.run_until(10_000);
        let before = leader_index(&world).expect("somebody leads");
        let token = |world: &Simulation, n: usize| {
            world.controllers[n].as_ref()?.cluster_state().map(|t| t.token)
        };
        let old = token(&world, before).expect("it leads");
        world.schedule_crash(10_000, before);
        world.run_until(10_000 + restart_ms + 500);
        let new = token(&world, before).expect("it leads again");
        assert!(new > old, "{restart_ms} ms: token {new} after {old}");
    }
}

/// Back after a fraction of a second: one, the leader, all, in turn, again and again, in the midst of its
/// start. The predecessor's key and grant are alive then, and its late writes come after the first reading.
#[test]
fn back_within_a_fraction_of_a_second() {
    let mut lost = Vec::new();
    for restart_ms in [50, 200, 1_000] {
        // One day in rough weather, sixteen in fair: with one alone luck decides whether a lease ends.
        for (seed, late) in [(1, 0.05)].into_iter().chain((0..16).map(|seed| (seed, 0.0))) {
            let weather =
                FaultRates { message_loss: late / 2.0, message_delay: late, ..FaultRates::NONE };
            let mut world = Simulation::new(seed, weather, 90_000);
            world.restart_delay_ms = Some(restart_ms);
            submit_mixed_load(&mut world, 6);
            for at in [8_000, 8_010] {
                world.schedule_crash(at, 1);
            }
            (0..3).for_each(|node| world.schedule_crash(20_000, node));
            (0..3).for_each(|node| world.schedule_crash(30_000 + 1_500 * node as u64, node));
            (0..12).for_each(|k| world.schedule_crash(45_000 + k * (restart_ms + 30), 0));
            for at in [55_000, 60_000, 65_000] {
                world.run_until(at);
                if let Some(node) = leader_index(&world) {
                    world.schedule_crash(at + 1, node);
                }
            }
            world.run_until(300_000);
            assert_all_jobs_over(&world, &format!("{restart_ms} ms, late {late}"));
            let killed = tasks_killed(&world);
            if late == 0.0 && killed > 0 {
                lost.push((restart_ms, seed, killed));
            }
        }
    }
    assert!(
        lost.len() <= 2,
        "on more than two of 48 days tasks were lost to their lease: {lost:?}"
    );
}

/// A report passed on to a leader that ends is given back to its worker: at once when another lead is known, and at
/// the latest when its time is over, whether or not anybody says that the message was in vain. Leaders that ended
/// within seconds of each other cost workers two answers in a row, five seconds each, and so their leases.
#[test]
fn a_report_passed_on_to_a_leader_that_ends_is_given_back() {
    let beat = |token| Heartbeat {
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
    let passed_on = || {
        let now = Now { monotonic: START_MS, wall_clock: START_MS };
        let mut node = Controller::new(controller_settings(0), 3, now);
        node.handle(Event::Heartbeat(beat(40)), now);
        node.handle(Event::StatusReport(9, Box::new(report.clone())), now);
        let relayed = node
            .take_actions()
            .iter()
            .any(|a| matches!(a, Action::ForwardReports(_, to, _) if to == "n1"));
        assert!(relayed, "it is passed on to the leader");
        node
    };
    let given_back = |node: &mut Controller| {
        node.take_actions()
            .iter()
            .any(|a| matches!(a, Action::Reply(9, reply) if reply.status == 421))
    };
    let at = |ms: u64| Now { monotonic: START_MS + ms, wall_clock: START_MS + ms };
    let mut node = passed_on();
    node.handle(Event::Heartbeat(beat(40)), at(500));
    assert!(!given_back(&mut node), "the leader may yet answer");
    node.handle(Event::Heartbeat(beat(41)), at(600));
    assert!(given_back(&mut node), "another lead is known");
    let mut node = passed_on();
    for ms in (100..FORWARD_TIMEOUT_MS).step_by(100) {
        node.handle(Event::Tick, at(ms));
        assert!(!given_back(&mut node), "after {ms} ms");
    }
    node.handle(Event::Tick, at(FORWARD_TIMEOUT_MS));
    assert!(given_back(&mut node), "its time is over");
}

/// Idle-hours work fills every machine with small tasks; work that others want done finds its room at once.
#[test]
fn guests_give_their_room_up_at_once() {
    let mut world = Simulation::with_capacity(3, FaultRates::NONE, 400_000, 1);
    let mut guest = job_body("wk-g1", "array", "blue", 400, 0.25, 300.0);
    guest["rank"] = "low".into();
    guest["due_s"] = serde_json::Value::Null;
    world.submit(500, None, guest);
    world.run_until(60_000);
    let runs = |world: &Simulation, id: &str| {
        let tasks =
            world.cluster.workers.values().filter(|w| !w.is_terminated).flat_map(|w| &w.tasks);
        tasks.filter(|t| t.is_on_machine() && t.name.starts_with(id)).count()
    };
    let before = runs(&world, "wk-g1");
    assert!(before >= 250, "the guest has {before}");
    world.submit(60_000, None, job_body("wk-a1", "array", "blue", 6, 3.0, 20.0));
    world.run_until(75_000);
    assert_eq!(runs(&world, "wk-a1"), 6, "beside {} of the guest's", runs(&world, "wk-g1"));
    assert!(runs(&world, "wk-g1") + 6 * 12 + 24 >= before, "no more is stopped than is needed");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Jobs submitted with a mistake beside machines that fail everything: the jobs are tried within a budget,
/// their team's other jobs run, no healthy machine is given up, and the faulty ones are.
#[test]
fn jobs_with_a_mistake_are_told_from_faulty_machines() {
    for seed in 0..6 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 400_000);
        for n in 0..4 {
            let id = format!("wk-m{n}");
            world.cluster.faulty_jobs.insert(id.clone());
            world.submit(1_000 + n * 3_000, None, job_body(&id, "array", "blue", 40, 1.0, 20.0));
            let id = format!("wk-a{n}");
            world.submit(2_000 + n * 9_000, None, job_body(&id, "array", "blue", 12, 1.0, 8.0));
            let id = format!("wk-g{n}");
            world.cluster.faulty_jobs.insert(id.clone());
            world.submit(
                4_000 + n * 5_000,
                Some(200_000),
                job_body(&id, "gang", "blue", 2, 2.0, 9.0),
            );
        }
        world.run_until(40_000);
        let bad: Vec<String> = match seed % 2 {
            0 => Vec::new(),
            _ => {
                world
                    .cluster
                    .make_machines_faulty(2, 40_000 + swiftsail_simulation::simulation::START_MS);
                let workers = world.cluster.workers.iter();
                workers.filter(|(_, w)| w.is_faulty).map(|(name, _)| name.clone()).collect()
            }
        };
        let last = job_body("wk-z", "array", "blue", 40, 1.0, 8.0);
        world.submit(42_000, None, last);
        world.run_until(190_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for (id, tries) in &world.cluster.failures_by_job {
            // Three machines, then two tasks at a time with pauses of 5 to 60 s; a wave that had begun.
            let most = if world.cluster.faulty_jobs.contains(id) { 60 } else { 20 };
            assert!(*tries <= most, "seed {seed}: {id} failed {tries} times");
        }
        let done = |id: &str| world.jobs.iter().any(|j| j.id == id && j.is_over());
        assert!((0..4).all(|n| done(&format!("wk-a{n}"))) && done("wk-z"), "seed {seed}");
        let tables = world
            .controllers
            .iter()
            .flatten()
            .find_map(Controller::cluster_state)
            .expect("a leader");
        let wrong =
            tables.machines.values().filter(|m| m.is_suspect && !bad.contains(&m.id.to_string()));
        assert_eq!(wrong.count(), 0, "seed {seed}: a healthy machine is shunned");
        let kept = bad.iter().filter(|name| {
            tables.machines.get(name.as_str()).is_some_and(|m| !m.is_suspect && !m.tasks.is_empty())
        });
        assert_eq!(kept.count(), 0, "seed {seed}: a faulty machine is trusted");
    }
}

fn partition(node: usize, from_ms: u64, for_ms: u64, parts: [bool; 3]) -> NetworkPartition {
    let [workers, peers, store] = parts;
    NetworkPartition { workers, peers, store, ..NetworkPartition::of(node, from_ms, for_ms) }
}

/// A leader that the state service still hears but nobody else gives the lead to one that reaches the
/// workers, before their leases end, and does not take it back meanwhile.
#[test]
fn a_leader_that_reaches_nobody_gives_the_lead_away() {
    for seed in 0..4 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 120_000);
        submit_mixed_load(&mut world, 4);
        world.run_until(20_000);
        let before = leader_index(&world).expect("somebody leads");
        world.partitions.push(partition(before, 20_000, 60_000, [true, true, false]));
        let mut leaders = Vec::new();
        for at in 21..80 {
            world.run_until(at * 1_000);
            leaders.extend(leader_index(&world));
        }
        leaders.dedup();
        assert!(leaders.len() <= 2 && leaders.last() != Some(&before), "seed {seed}: {leaders:?}");
        let killed = tasks_killed(&world);
        assert_eq!(killed, 0, "seed {seed}: tasks lost to their lease");
        world.run_until(300_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// Every part of the network gone for a controller, alone and together with standstills and ends that are
/// over at once: no rule is broken, and everything ends.
#[test]
fn parts_of_the_network_gone_and_all_else() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed + 100);
        let weather = FaultRates {
            message_loss: 0.01,
            message_delay: 0.01,
            crashes: 3,
            outages_and_hangs: 1,
        };
        let mut world = Simulation::new(seed, weather, 120_000);
        world.restart_delay_ms = (seed % 2 == 0).then_some(200);
        submit_mixed_load(&mut world, 6);
        world.cluster.faulty_jobs.insert("wk-a5".into());
        for _ in 0..8 {
            let parts = [rng.random_bool(0.5), rng.random_bool(0.5), rng.random_bool(0.5)];
            let for_ms = rng.random_range(2_000..45_000);
            let node = rng.random_range(0..3);
            world.partitions.push(partition(node, rng.random_range(3_000..90_000), for_ms, parts));
        }
        for _ in 0..3 {
            let for_ms = rng.random_range(1_000..30_000);
            world.schedule_pause(rng.random_range(3_000..90_000), rng.random_range(0..3), for_ms);
        }
        world.run_until(400_000);
        let own: Vec<_> = world.jobs.iter().filter(|j| j.id != "wk-a5").collect();
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let unfinished = own.iter().filter(|j| j.text_field("shape") != "service" && !j.is_over());
        let names: Vec<&str> = unfinished.map(|j| j.id.as_str()).collect();
        assert!(names.is_empty(), "seed {seed}: {names:?}");
    }
}

/// Machines that come up at once, late, or never, beside lists that are older than the last one: what never
/// comes is returned after a bounded wait and replaced, what is late is not rented twice over.
#[test]
fn machines_that_come_late_at_once_or_never() {
    for (never, slower) in [(0.5, 1.0), (0.0, 0.02), (0.1, 6.0), (0.4, 0.3)] {
        let mut world = Simulation::with_capacity(8, FaultRates::NONE, 600_000, 8);
        (world.cluster.cloud.never_boots_probability, world.cluster.cloud.boot_time_factor) =
            (never, slower);
        for n in 0..6 {
            let id = format!("wk-a{n}");
            world.submit(1_000 + n * 4_000, None, job_body(&id, "array", "blue", 16, 1.0, 15.0));
            let id = format!("wk-s{n}");
            world.submit(500 + n * 3_000, None, job_body(&id, "service", "blue", 2, 1.0, 0.0));
        }
        let mut most = 0;
        for at in 1..60 {
            world.run_until(at * 5_000);
            let now = world.now;
            let held = world.cluster.workers.iter().filter(|(_, w)| !w.is_terminated);
            let machines = held.filter_map(|(name, _)| world.cluster.cloud.machine(name));
            let machines: Vec<_> = machines.collect();
            most = most.max(machines.len());
            // A boot of 5 s is given up after 25 s; a new leader, a list and a return may add to it.
            let dead =
                machines.iter().filter(|m| m.up_at.is_none() && now > m.provisioned_at + 60_000);
            assert_eq!(dead.count(), 0, "{never}, {slower}: never up, and still paid for");
        }
        // 96 tasks of one CPU and 12 replicas fill 27 machines of 4 CPUs at most.
        assert!(most <= 27 + 20, "{never}, {slower}: {most} machines");
        world.run_until(500_000);
        assert_all_jobs_over(&world, &format!("{never}, {slower}"));
    }
}
