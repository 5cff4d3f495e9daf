//! Bad nights: controllers that stand still, that are back at once, that lose a part of the network; users
//! that ask without end, jobs with a mistake, guests. On the pure cores against the stand-in.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use swiftsail_core::node::Node;
use swiftsail_standin::world::{Weather, World, assert_over, job, mixed_load};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };

fn leader(world: &World) -> Option<usize> {
    (0..3).find(|n| world.nodes[*n].as_ref().is_some_and(Node::leads))
}

/// Whoever stands still for 1 to 90 s, at whatever point: it answers no report under a token that it has
/// lost, and nothing that it did not know is told to anybody.
#[test]
fn who_stands_still_proves_its_lead_anew() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(seed, CALM, 150_000);
        mixed_load(&mut world, 6);
        for _ in 0..6 {
            let for_ms = [1_000, 2_400, 2_600, 7_000, 25_000, 90_000][rng.random_range(0..6)];
            world.freeze(rng.random_range(3_000..90_000), rng.random_range(0..3), for_ms);
        }
        world.run(330_000);
        assert_over(&world, &format!("seed {seed}"));
        assert_eq!(world.stale_answers, 0, "seed {seed}: a lease under a lost token");
    }
}

/// A leader that sleeps for longer than its grant is followed no later than one that crashes; a shorter
/// sleep costs no term.
#[test]
fn others_take_over_as_soon_as_after_a_crash() {
    let taken = |for_ms: u64, crash: bool| {
        let mut world = World::new(5, CALM, 60_000);
        world.run(10_000);
        let before = leader(&world).expect("somebody leads");
        match crash {
            true => world.crash(10_000, before),
            false => world.freeze(10_000, before, for_ms),
        }
        for at in 100..200 {
            world.run(at * 100);
            let others = (0..3).filter(|n| *n != before);
            if others.into_iter().any(|n| world.nodes[n].as_ref().is_some_and(Node::leads)) {
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
        let mut world = World::new(restart_ms, CALM, 60_000);
        world.restart_ms = Some(restart_ms);
        world.run(10_000);
        let before = leader(&world).expect("somebody leads");
        let token = |world: &World, n: usize| world.nodes[n].as_ref()?.tables().map(|t| t.token);
        let old = token(&world, before).expect("it leads");
        world.crash(10_000, before);
        world.run(10_000 + restart_ms + 500);
        let new = token(&world, before).expect("it leads again");
        assert!(new > old, "{restart_ms} ms: token {new} after {old}");
    }
}

/// Back after a fraction of a second: one, the leader, all, in turn, again and again, in the midst of its
/// start. The predecessor's key and grant are alive then, and its late writes come after the first reading.
#[test]
fn back_within_a_fraction_of_a_second() {
    for (n, restart_ms) in [50, 200, 1_000].into_iter().enumerate() {
        for (m, late) in [0.0, 0.05].into_iter().enumerate() {
            let weather = Weather { loss: late / 2.0, late, ..CALM };
            let mut world = World::new((n * 2 + m) as u64, weather, 90_000);
            world.restart_ms = Some(restart_ms);
            mixed_load(&mut world, 6);
            for at in [8_000, 8_010] {
                world.crash(at, 1);
            }
            (0..3).for_each(|node| world.crash(20_000, node));
            (0..3).for_each(|node| world.crash(30_000 + 1_500 * node as u64, node));
            (0..12).for_each(|k| world.crash(45_000 + k * (restart_ms + 30), 0));
            for at in [55_000, 60_000, 65_000] {
                world.run(at);
                if let Some(node) = leader(&world) {
                    world.crash(at + 1, node);
                }
            }
            world.run(300_000);
            assert_over(&world, &format!("{restart_ms} ms, late {late}"));
            let killed: u64 = world.plant.workers.values().map(|w| w.killed).sum();
            assert!(
                late > 0.0 || killed == 0,
                "{restart_ms} ms: {killed} tasks lost to their lease"
            );
        }
    }
}

/// Idle-hours work fills every machine with small tasks; work that others want done finds its room at once.
#[test]
fn guests_give_their_room_up_at_once() {
    let mut world = World::sized(3, CALM, 400_000, 1);
    let mut guest = job("wk-g1", "array", "blue", 400, 0.25, 300.0);
    guest["rank"] = "low".into();
    guest["due_s"] = serde_json::Value::Null;
    world.submit(500, None, guest);
    world.run(60_000);
    let runs = |world: &World, id: &str| {
        let tasks = world.plant.workers.values().filter(|w| !w.gone).flat_map(|w| &w.tasks);
        tasks.filter(|t| t.on_machine() && t.name.starts_with(id)).count()
    };
    let before = runs(&world, "wk-g1");
    assert!(before >= 250, "the guest has {before}");
    world.submit(60_000, None, job("wk-a1", "array", "blue", 6, 3.0, 20.0));
    world.run(75_000);
    assert_eq!(runs(&world, "wk-a1"), 6, "beside {} of the guest's", runs(&world, "wk-g1"));
    assert!(runs(&world, "wk-g1") + 6 * 12 + 24 >= before, "no more is stopped than is needed");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
