//! The rules of the protocol, on the pure cores of three controllers against the stand-in.

use swiftsail_simulation::world as standin;

use standin::{Weather, World, assert_over, job, mixed_load};
use swiftsail_controller::node::{Action, Event, Node, Now};
use swiftsail_protocol::controllers::Beat;
use swiftsail_protocol::read;
use swiftsail_protocol::workers::{Redirect, Report};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };
const ROUGH: Weather = Weather { loss: 0.03, late: 0.01, crashes: 4, outages: 2 };

#[test]
fn a_calm_day_runs_everything() {
    let mut world = World::new(1, CALM, 1_000);
    mixed_load(&mut world, 6);
    world.run(150_000);
    assert_over(&world, "calm");
    assert_eq!(world.store.count("bind/"), 3, "only services that run are bound");
}

#[test]
fn rough_days_break_no_rule_and_everything_ends() {
    for seed in (0..16).chain([147]) {
        let mut world = World::new(seed, ROUGH, 90_000);
        mixed_load(&mut world, 6);
        world.run(300_000);
        assert_over(&world, &format!("seed {seed}"));
        assert!(world.store.largest_value <= 8 * 1024, "value of {}", world.store.largest_value);
        assert!(world.store.largest_txn <= 64 * 1024 && world.store.most_ops <= 16);
    }
}

/// With so little memory that a handful of workers is too many, they are shared among controllers and
/// their reports passed on together; leaders crash in the midst of it.
#[test]
fn rough_days_with_workers_shared_break_no_rule() {
    let mut passed_on = 0;
    for seed in 0..8 {
        let mut world = World::new(seed, ROUGH, 90_000);
        world.memory_mb = 0.2;
        mixed_load(&mut world, 6);
        for at in 1..10 {
            world.run(at * 10_000);
            let leader = world.nodes.iter().flatten().find_map(Node::tables);
            let machines = leader.iter().flat_map(|l| l.machines.values());
            passed_on += machines.filter(|m| m.via.is_some()).count();
        }
        world.run(300_000);
        assert_over(&world, &format!("seed {seed}"));
    }
    assert!(passed_on > 200, "{passed_on} workers report through another controller");
}

#[test]
fn the_checks_can_fail() {
    let mut world = World::new(3, CALM, 1_000);
    mixed_load(&mut world, 6);
    world.run(40_000);
    assert!(world.broken.is_empty());
    assert!(world.plant_second_run(), "something runs by now");
    world.check();
    assert!(world.broken.iter().any(|b| b.starts_with("ran_twice")), "{:?}", world.broken);
}

#[test]
fn a_gang_larger_than_a_transaction_starts_whole() {
    let mut world = World::new(5, CALM, 1_000);
    let mut gang = job("wk-g1", "gang", "blue", 700, 0.05, 4.0);
    gang["memory_gb"] = 0.05.into();
    world.submit(500, None, gang);
    world.run(90_000);
    assert_over(&world, "large gang");
    assert!(world.store.largest_txn <= 64 * 1024, "transaction of {}", world.store.largest_txn);
    assert!(world.store.largest_value <= 8 * 1024);
}

/// Two zones that cannot reach each other: a worker that its own zone's controller keeps sending
/// to the unreachable leader would never try the controller that reaches both.
#[test]
fn a_controller_that_lost_the_leader_does_not_name_it_to_its_own_zone() {
    let mut now = Now { steady: standin::BEGIN, wall: 1_000_000 };
    let mut node = Node::new(standin::settings(1), 7, now);
    let beat = Beat { node: "n0".into(), token: 9, leads: true, ..Beat::default() };
    node.handle(Event::Beat(beat), now);
    node.take_actions();
    let answer = |node: &mut Node, berth: &str, dock: &str, now: Now| {
        let report = Report {
            berth: berth.into(),
            addr: String::new(),
            hull: "s4".into(),
            dock: dock.into(),
            driftwood: false,
            watch: 1,
            tick: now.steady,
            helm: 9,
            recall_s: None,
            shards: Vec::new(),
        };
        node.handle(Event::Report(1, Box::new(report)), now);
        node.take_actions().into_iter().find_map(|action| match action {
            Action::Reply(1, reply) => {
                assert_eq!(reply.status, 421);
                let redirect = read::<Redirect>(&reply.body).expect("our own message");
                Some(redirect.harbor.unwrap_or("next".into()))
            }
            Action::Relay(_, to, _) => Some(format!("relayed to {to}")),
            _ => None,
        })
    };
    let to = |text: &str| Some(text.to_string());
    assert_eq!(answer(&mut node, "m-1", "a", now), to("relayed to n0"));
    now.steady += 60_000;
    assert_eq!(answer(&mut node, "m-1", "a", now), to("next"), "a worker of this zone");
    assert_eq!(answer(&mut node, "m-2", "b", now), to("n0"), "another may reach the leader");
    now.steady += 6_000;
    assert_eq!(answer(&mut node, "m-2", "b", now), to("next"), "it came back: it could not");
}
