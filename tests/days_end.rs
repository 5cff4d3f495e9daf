//! What a day's end is checked for: machines that report and do not hear, reports that come again much later,
//! workers that begin anew, controllers that are left with their workers alone, and questions that must all
//! find an answer. On the pure cores against the stand-in.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use swiftsail_controller::node::Node;
use swiftsail_failure_detector::{Ear, Hearing, Sign};
use swiftsail_overload_control::turned::Turned;
use swiftsail_simulation::world::{
    BEGIN, Cut, Deafness, Weather, World, assert_over, job, mixed_load,
};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };

fn leader(world: &World) -> Option<usize> {
    (0..3).find(|n| world.nodes[*n].as_ref().is_some_and(Node::leads))
}

fn killed(world: &World) -> u64 {
    world.plant.workers.values().map(|w| w.killed).sum()
}

fn deaf(from_ms: u64, for_ms: u64, names: Vec<String>) -> Deafness {
    Deafness { from_ms, for_ms, zone: None, names, hears_each: 0 }
}

/// Whatever signs come in whatever order: a machine that does what it is told hears, one that loses leases
/// again and again on answered reports is deaf whatever direct questions say, and nobody is deaf for one
/// answer lost.
#[test]
fn hearing_goes_by_the_signs() {
    let signs =
        [Sign::Heeded, Sign::Unheeded, Sign::Rose, Sign::Lasted, Sign::Reached, Sign::Unreached];
    let mut runner = TestRunner::new_with_rng(
        Config { failure_persistence: None, ..Config::with_cases(400) },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[33; 32]),
    );
    let histories = proptest::collection::vec((0..signs.len(), 1u64..20_000), 1..40);
    runner
        .run(&histories, |history| {
            let (mut ear, mut now, mut rows) = (Ear::default(), 1_000, 0);
            for (n, ms) in history {
                now += ms;
                let before = ear;
                let moved = ear.advance(signs[n], now);
                prop_assert_eq!(moved, before.hearing() != ear.hearing());
                prop_assert!(!moved || ear.since() == now);
                rows = if signs[n] == Sign::Unheeded { rows + 1 } else { 0 };
                match signs[n] {
                    Sign::Heeded | Sign::Lasted => prop_assert!(ear.hears()),
                    Sign::Rose => prop_assert!(!ear.hears()),
                    Sign::Unheeded if before.hears() && rows == 1 && before == Ear::default() => {
                        prop_assert!(ear.hears());
                    }
                    _ => {}
                }
                if before.hears() && !ear.hears() && signs[n] != Sign::Rose {
                    prop_assert_eq!(ear.hearing(), Hearing::Doubted);
                }
            }
            Ok(())
        })
        .expect("every history keeps to it");
    let mut ear = Ear::default();
    for _ in 0..2 {
        ear.advance(Sign::Rose, 1_000);
        ear.advance(Sign::Reached, 2_000);
    }
    assert_eq!(ear.hearing(), Hearing::Deaf, "a question answered is no hearing after a relapse");
}

/// Three of the machines in use do not hear any more: they report as ever. Their work goes on elsewhere after
/// one lease, nothing more is placed there, and they are returned; without the guard each costs a lease a task.
#[test]
fn machines_that_do_not_hear_are_told_from_others() {
    for seed in 0..6 {
        let mut world = World::new(seed, CALM, 400_000);
        for n in 0..6 {
            world.submit(
                500 + n * 500,
                None,
                job(&format!("wk-s{n}"), "service", "blue", 2, 1.0, 0.0),
            );
            let id = format!("wk-a{n}");
            world.submit(2_000 + n * 15_000, None, job(&id, "array", "blue", 12, 1.0, 12.0));
        }
        world.run(30_000);
        let names: Vec<String> = world.up().into_iter().take(3).collect();
        world.deafness.push(deaf(30_000, 370_000, names.clone()));
        // What is bound there waits for a lease that ends, whoever is told to start it.
        let mut bound = BTreeSet::new();
        for at in 30..90 {
            world.run(at * 2_000);
            let Some(tables) = world.nodes.iter().flatten().find_map(Node::tables) else {
                continue;
            };
            let there = tables.machines.values().filter(|m| names.iter().any(|n| **n == *m.id));
            bound.extend(there.flat_map(|m| m.tasks.values().copied()));
        }
        assert!(
            bound.len() <= 3,
            "seed {seed}: {} tasks bound where nothing is heard",
            bound.len()
        );
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        let held = names.iter().filter(|n| world.plant.workers.get(*n).is_some_and(|w| !w.gone));
        assert_eq!(held.count(), 0, "seed {seed}: what does not hear is still paid for");
        world.run(240_000);
        assert_over(&world, &format!("seed {seed}"));
    }
}

/// The way back of a whole zone is lost for a while: its machines are not all given up, what is cancelled
/// there ends in time, and they are used again afterwards.
#[test]
fn a_zone_whose_way_back_is_lost_does_not_empty_the_fleet() {
    for seed in 0..4 {
        let mut world = World::sized(seed, CALM, 400_000, 12);
        for n in 0..14 {
            let id = format!("wk-s{n}");
            let cancel = (n % 3 == 0).then_some(62_000 + n * 1_000);
            world.submit(500 + n * 500, cancel, job(&id, "service", "blue", 2, 2.0, 0.0));
            let id = format!("wk-a{n}");
            world.submit(2_000 + n * 9_000, None, job(&id, "array", "blue", 8, 1.0, 15.0));
        }
        world.run(60_000);
        let there = |world: &World| {
            let own = world.plant.workers.values().filter(|w| !w.gone && w.hardware.zone == "a");
            own.count()
        };
        let before = there(&world);
        world.deafness.push(Deafness {
            from_ms: 60_000,
            for_ms: 60_000,
            zone: Some("a".into()),
            names: Vec::new(),
            hears_each: 0,
        });
        world.run(119_000);
        assert!(
            there(&world) + 4 >= before.min(8),
            "seed {seed}: {} of {before} left",
            there(&world)
        );
        world.run(300_000);
        assert_over(&world, &format!("seed {seed}"));
    }
}

/// Half deaf: every second answer is lost. Such a machine goes on with what it is given; no lease ends.
#[test]
fn every_second_answer_lost_costs_no_lease() {
    for seed in 0..4 {
        let mut world = World::new(seed, CALM, 400_000);
        mixed_load(&mut world, 5);
        world.run(20_000);
        let names = world.up();
        let half = Deafness { hears_each: 2, ..deaf(20_000, 100_000, names) };
        world.deafness.push(half);
        world.run(300_000);
        assert_over(&world, &format!("seed {seed}"));
        assert_eq!(killed(&world), 0, "seed {seed}");
    }
}

/// Reports come again, from a second to several leases later, to any controller, through changes of leader and
/// mass returns: nothing that is gone is taken for there, nothing runs twice, and no machine is believed to be
/// alive by a copy.
#[test]
fn late_copies_prove_nothing() {
    let mut copied = 0;
    for seed in 0..10 {
        let weather = Weather { loss: 0.01, late: 0.02, crashes: (seed % 4) as u32, outages: 1 };
        let mut world = World::new(seed, weather, 140_000);
        world.memory_mb = if seed % 2 == 0 { 0.5 } else { 40.0 };
        world.copies = Some((0.2, 60_000));
        mixed_load(&mut world, 6);
        let mut gone: BTreeMap<String, u64> = BTreeMap::new();
        for at in (5..42).map(|n| n * 5_000) {
            world.run(at);
            if [30_000, 60_000, 90_000].contains(&at) {
                world.die(1, 4);
                if let Some(node) = leader(&world).filter(|_| seed % 2 == 0) {
                    world.crash(at + 500, node);
                }
            }
            let workers = world.plant.workers.iter().filter(|(_, w)| w.gone);
            let names: Vec<String> = workers.map(|(n, _)| n.clone()).collect();
            for name in names {
                gone.entry(name).or_insert(at);
            }
            let Some(tables) = world.nodes.iter().flatten().find_map(Node::tables) else {
                continue;
            };
            let known = |name: &str| tables.machines.contains_key(name);
            let raised: Vec<_> =
                gone.iter().filter(|(n, t)| at > **t + 45_000 && known(n)).collect();
            assert!(raised.is_empty(), "seed {seed}: gone, and known at {at}: {raised:?}");
        }
        // Whatever the tables hold as alive now is there.
        if let Some(tables) = world.nodes.iter().flatten().find_map(Node::tables) {
            let now = world.now;
            let ghosts = tables.machines.values().filter(|m| {
                let lately = m.heard.is_some_and(|at| now < at + 3_000);
                lately && world.plant.workers.get(&*m.id).is_none_or(|w| w.gone)
            });
            let ghosts: Vec<_> = ghosts.map(|m| m.id.to_string()).collect();
            assert!(ghosts.is_empty(), "seed {seed}: {ghosts:?}");
        }
        world.run(420_000);
        assert_over(&world, &format!("seed {seed}"));
        copied += world.copied;
    }
    assert!(copied > 1_000, "{copied} copies came");
}

/// A new leader that knows nothing newer is told by copies alone of machines that have died with the old one:
/// they are not life, and the dead are returned as soon as without them.
#[test]
fn copies_do_not_raise_the_dead() {
    let returned_at = |copies: bool| {
        let mut world = World::new(11, CALM, 300_000);
        for n in 0..8 {
            let id = format!("wk-s{n}");
            world.submit(500 + n * 300, None, job(&id, "service", "blue", 2, 2.0, 0.0));
        }
        world.run(25_000);
        // From here on every report comes again within a minute.
        world.copies = copies.then_some((1.0, 60_000));
        world.run(40_000);
        let names = world.up();
        world.copies = None;
        let died = world.die(1, 2);
        assert!(died >= 2);
        (0..3).for_each(|n| world.crash(40_000, n));
        let dead: Vec<String> = names.into_iter().filter(|n| world.plant.workers[n].gone).collect();
        for at in 41..120 {
            world.run(at * 1_000);
            let Some(node) = leader(&world) else { continue };
            let tables = world.nodes[node].as_ref().and_then(Node::tables);
            if tables.is_some_and(|t| !dead.iter().any(|n| t.machines.contains_key(n.as_str()))) {
                return at;
            }
        }
        120
    };
    let (with, without) = (returned_at(true), returned_at(false));
    assert!(with <= without + 3, "the dead are gone after {with} s, without copies {without}");
}

/// Whoever has been up for two seconds at that time has been heard of late.
fn unheard(world: &mut World, at: u64, seed: u64) {
    world.run(at);
    let tables = world.nodes.iter().flatten().find_map(Node::tables).expect("a leader");
    let now = world.now;
    let late = |name: &String| {
        let machine = tables.machines.get(name.as_str());
        machine.and_then(|m| m.heard).is_none_or(|at| now >= at + 6_000)
    };
    // Who came up a moment ago has sent nothing yet.
    let long = |name: &String| now >= world.plant.workers[name].up_at + 2_000;
    let names: Vec<String> = world.up().into_iter().filter(|n| long(n) && late(n)).collect();
    assert!(names.is_empty(), "seed {seed}: at {at} {names:?} report, and are not heard");
}

/// A worker begins anew within a fraction of a second, again and again, in the midst of elections: its
/// numbers count from the start, and it is heard all the same; what it held starts elsewhere.
#[test]
fn a_worker_that_begins_anew_is_heard() {
    for seed in 0..6 {
        let mut world = World::new(seed, CALM, 150_000);
        world.restart_ms = Some(50);
        world.copies = (seed % 2 == 1).then_some((0.1, 30_000));
        mixed_load(&mut world, 6);
        for at in [25_000, 26_000, 50_000, 80_000] {
            world.run(at);
            let up = world.up();
            for name in up.iter().skip(seed as usize % 2).step_by(2) {
                world.reboot(at + 100, name);
            }
            if at == 26_000 {
                unheard(&mut world, 36_000, seed);
            }
            if let Some(node) = leader(&world).filter(|_| at > 26_000) {
                world.crash(at + 50, node);
                world.crash(at + 300, node);
            }
        }
        unheard(&mut world, 125_000, seed);
        world.run(330_000);
        assert_over(&world, &format!("seed {seed}"));
    }
}

/// A controller without the state service and the other controllers, with its workers: no lease ends, and
/// users are sent to the others at once.
#[test]
fn with_its_workers_alone_a_controller_sends_users_away() {
    for seed in 0..6 {
        let mut world = World::new(seed, CALM, 200_000);
        world.balanced = true;
        mixed_load(&mut world, 3);
        world.run(20_000);
        let node = match seed % 2 {
            0 => leader(&world).expect("somebody leads"),
            _ => (leader(&world).expect("somebody leads") + 1) % 3,
        };
        world.cuts.push(Cut {
            node,
            from_ms: 20_000,
            for_ms: 60_000,
            workers: false,
            peers: true,
            store: true,
            hold: false,
        });
        let mut late = Vec::new();
        for n in 0..100 {
            let at = 24_000 + n * 500;
            world.submit(at, None, job(&format!("wk-n{n}"), "array", "blue", 1, 0.1, 2.0));
            late.push((format!("wk-n{n}"), BEGIN + at));
        }
        world.run(90_000);
        let accepted =
            |id: &str| world.jobs.iter().find(|j| j.id == id).and_then(|j| j.accepted_at);
        let in_time = late.iter().filter(|(id, at)| accepted(id).is_some_and(|a| a <= at + 1_000));
        let in_time = in_time.count();
        assert!(in_time >= 97, "seed {seed}: {in_time} of 100 accepted within a second");
        assert_eq!(killed(&world), 0, "seed {seed}");
        world.run(330_000);
        assert_over(&world, &format!("seed {seed}"));
    }
}

/// Outage, cut, crash of all and a storm of polls together: within 20 s of the end every job's question has an
/// answer, and none is without one for 75 s ever after.
#[test]
fn every_question_is_answered_soon_after_the_troubles() {
    for seed in 0..3 {
        let mut world = World::sized(seed, CALM, 120_000, 12);
        world.memory_mb = 6.0;
        world.cores = Some(0.08);
        world.poll_ms = 700;
        let mut rng = StdRng::seed_from_u64(seed);
        for n in 0..160u64 {
            let mut body = job(&format!("wk-p{n}"), "array", "blue", 1, 0.2, 900.0);
            body["due_s"] = serde_json::Value::Null;
            world.submit(500 + n * 150, None, body);
        }
        world.run(45_000);
        for node in 0..3 {
            world.cuts.push(Cut {
                node,
                from_ms: 45_000,
                for_ms: 25_000,
                workers: false,
                peers: node == 0,
                store: true,
                hold: false,
            });
            world.crash(50_000 + rng.random_range(0..400), node);
        }
        world.troubles_over_ms = Some(70_000);
        world.run(90_000);
        let left = world.unanswered(20_000);
        assert!(left.is_empty(), "seed {seed}: no answer yet for {left:?}");
        world.run(200_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

/// Who was turned away comes first when it asks again, a bounded number a second; who is answered, or has not
/// asked for long, does not.
#[test]
fn who_was_turned_away_comes_first() {
    let mut turned = Turned::default();
    turned.away("wk-1", 10_000);
    assert!(!turned.presses("wk-1", 11_000) && !turned.presses("wk-2", 15_000));
    assert!(turned.presses("wk-1", 15_000));
    turned.answered("wk-1");
    assert!(!turned.presses("wk-1", 16_000) && turned.is_empty());
    for n in 0..10_000 {
        turned.away(&format!("wk-{n}"), 20_000);
    }
    assert!(turned.len() <= swiftsail_overload_control::constants::TURNED_MOST);
    let let_in = (0..10_000).filter(|n| turned.presses(&format!("wk-{n}"), 30_000)).count();
    assert_eq!(let_in as u32, swiftsail_overload_control::constants::PRESSING_PER_S);
    turned.away("wk-x", 200_000);
    assert!(!turned.presses("wk-0", 204_000), "what was long ago is forgotten");
}

/// When the first task of a job was on its machine, ms from the beginning.
fn begun(world: &World, id: &str) -> Option<u64> {
    let own = world.plant.first_run.iter().filter(|(task, _)| task.starts_with(&format!("{id}/")));
    own.map(|(_, at)| at - BEGIN).min()
}

/// A team at its limit whose small jobs keep coming: the largest begin within four minutes all the same, however
/// often the leader ends. Least work first puts them off for ever.
#[test]
fn the_largest_begin_at_their_teams_limit() {
    for seed in 0..3 {
        let mut world = World::sized(seed, CALM, 400_000, 12);
        for n in 0..90u64 {
            let id = format!("wk-a{n}");
            world.submit(500 + n * 4_000, None, job(&id, "array", "red", 12, 2.0, 9.0));
        }
        for n in 0..3u64 {
            let id = format!("wk-z{n}");
            world.submit(20_000 + n * 30_000, None, job(&id, "array", "red", 150, 2.0, 9.0));
        }
        for at in [60_000, 120_000, 180_000, 240_000] {
            world.run(at);
            if let Some(node) = leader(&world).filter(|_| seed > 0) {
                world.crash(at, node);
            }
        }
        world.run(340_000);
        for n in 0..3u64 {
            let waited = begun(&world, &format!("wk-z{n}")).map(|at| at - (20_000 + n * 30_000));
            assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: wk-z{n}: {waited:?}");
        }
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

/// Every machine is kept full of small tasks by jobs that all would be in time: a gang that needs two whole
/// machines of one zone has them gathered, across changes of leader.
#[test]
fn room_is_gathered_for_the_largest() {
    for seed in 0..3 {
        let mut world = World::sized(seed, CALM, 400_000, 2);
        for n in 0..170u64 {
            let id = format!("wk-a{n}");
            let mut body = job(&id, "array", "blue", 60, 1.0, 14.0);
            body["due_s"] = 900.0.into();
            world.submit(500 + n * 2_500, None, body);
        }
        let mut gang = job("wk-g1", "gang", "blue", 2, 8.0, 20.0);
        gang["hulls"] = serde_json::json!(["m8"]);
        world.submit(40_000, None, gang);
        for at in [90_000, 150_000, 210_000] {
            world.run(at);
            if let Some(node) = leader(&world).filter(|_| seed > 0) {
                world.crash(at, node);
            }
        }
        world.run(300_000);
        let waited = begun(&world, "wk-g1").map(|at| at - 40_000);
        assert!(waited.is_some_and(|ms| ms < 240_000), "seed {seed}: {waited:?}");
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}
