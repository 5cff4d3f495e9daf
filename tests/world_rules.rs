//! The world's own checks: each can fail, and each trouble really comes about.

use serde_json::json;
use swiftsail_simulation::world::{
    BEGIN, Fate, Trouble, Weather, World, assert_over, job, mixed_load, offered,
};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };

fn broke(world: &World, what: &str) -> bool {
    world.broken.iter().any(|b| b.starts_with(what))
}

/// One array of two tasks, accepted and running at 30 s.
fn one(seed: u64, eta_s: f64, cancel_ms: Option<u64>) -> World {
    let mut world = World::new(seed, CALM, 1_000);
    world.submit(500, cancel_ms, job("wk-1", "array", "blue", 2, 1.0, eta_s));
    world
}

#[test]
fn an_answer_older_than_one_given_is_seen() {
    let mut world = one(1, 5.0, None);
    world.spell(0, 300_000, Trouble::CloseLooks);
    world.run(120_000);
    assert_over(&world, "as it is");
    assert!(world.met["look answered"] >= 9, "{:?}", world.met);
    // As if some node had called it cancelled before: what is answered from then on is another thing.
    let mut world = one(1, 5.0, Some(200_000));
    world.run(60_000);
    assert_eq!(world.jobs[0].last.as_deref(), Some("done"));
    world.jobs[0].last = Some("withdrawn".into());
    world.run(200_500);
    assert!(broke(&world, "went_back: wk-1 from withdrawn to done"), "{:?}", world.broken);
    // The same for the question of somebody who looks beside.
    let mut world = one(1, 5.0, None);
    world.run(60_000);
    world.spell(60_000, 100_000, Trouble::OddRequests);
    world.run(90_000);
    assert!(world.met["cancelled when done"] > 0 && world.broken.is_empty(), "{:?}", world.broken);
    world.jobs[0].body["shards"] = json!(3);
    world.run(160_000);
    assert!(broke(&world, "not_done: wk-1"), "{:?}", world.broken);
}

#[test]
fn a_start_after_a_confirmed_cancellation_is_counted() {
    let mut world = one(2, 60.0, Some(25_000));
    world.run(90_000);
    assert!(world.started_cancelled.is_empty(), "{:?}", world.started_cancelled);
    let mut world = one(2, 60.0, None);
    world.run(900);
    world.jobs[0].told_cancelled = Some(BEGIN + 900);
    world.run(40_000);
    assert_eq!(world.started_cancelled.len(), 2);
    assert!(broke(&world, "ran_cancelled"), "{:?}", world.broken);
}

#[test]
fn a_cancelled_task_that_goes_on_after_a_hang_is_seen() {
    let mut world = one(3, 300.0, None);
    world.run(30_000);
    world.cancel_now(30_000, 5, Some(60_000));
    world.run(32_000);
    assert!(world.jobs[0].told_cancelled.is_some());
    assert!((1..=2).contains(&world.met["hung"]), "{:?}", world.met);
    let mut other = one(3, 300.0, None);
    other.run(30_000);
    other.cancel_now(30_000, 5, Some(60_000));
    other.run(32_000);
    (0..3).for_each(|n| other.freeze(32_000, n, 80_000));
    other.run(80_000);
    assert!(broke(&other, "ran_cancelled"), "nobody could end it");
    world.run(120_000);
    assert!(world.broken.is_empty(), "its machine is returned: {:?}", world.broken);
}

#[test]
fn what_cannot_run_or_lacks_a_field_is_told_from_what_can() {
    let mut world = World::new(4, CALM, 1_000);
    mixed_load(&mut world, 3);
    world.spell(500, 120_000, Trouble::OddRequests);
    world.run(250_000);
    assert_over(&world, "odd requests");
    assert!(world.met["refused for good"] > 40 && world.met["repeated"] > 10, "{:?}", world.met);
    // Where there is a machine for it, one of them can run after all.
    let mut large = offered(6);
    (large[0].hull.cpus, large[0].hull.sku) = (20_000.0, "l".into());
    let mut world = World::offering(4, CALM, 1_000, large);
    world.spell(500, 60_000, Trouble::OddRequests);
    world.run(70_000);
    assert!(broke(&world, "accepted: "), "{:?}", world.met);
}

#[test]
fn a_job_left_waiting_beside_room_is_seen() {
    for (frozen_ms, seen) in [(0, false), (170_000, true)] {
        let mut world = one(5, 100_000.0, None);
        world.run(30_000);
        // Room for two more tasks at least on what holds two of one CPU each.
        world.submit(30_500, None, job("wk-2", "array", "blue", 1, 1.0, 20.0));
        world.watches_waiting = true;
        world.troubles_over_ms = Some(31_000);
        let held: Vec<f64> = world
            .plant
            .workers
            .values()
            .filter(|w| !w.gone)
            .map(|w| w.hardware.room[0] - w.tasks.len() as f64)
            .collect();
        assert!(held.iter().any(|left| *left >= 1.0), "{held:?}");
        world.run(30_600);
        assert!(world.jobs[1].accepted);
        (0..3).for_each(|n| world.freeze(30_600, n, frozen_ms));
        world.run(200_000);
        assert_eq!(broke(&world, "left waiting: wk-2"), seen, "{:?}", world.broken);
    }
}

#[test]
fn classes_teams_and_the_largest_that_are_not_served_are_told() {
    let mut world = World::new(6, CALM, 1_000);
    for n in 0..12 {
        let tasks = [20, 10, 1][n.min(2)];
        world.submit(
            500 + n as u64 * 100,
            None,
            job(&format!("wk-{n}"), "array", "blue", tasks, 1.0, 5.0),
        );
    }
    // The two largest fail on every machine.
    world.plant.mistaken.extend(["wk-0".to_string(), "wk-1".into()]);
    world.run(400_000);
    let late = ["wk-0", "wk-1"].map(|id| format!("{id}, one of the largest, begins after 399 s"));
    let told = [late[0].as_str(), &late[1], "the largest of class array: 0 of 2 served"];
    assert_eq!(world.served(), told);
    world.plant.first_run.insert("wk-0/0".into(), BEGIN + 300_000);
    world.plant.first_run.retain(|task, _| !task.starts_with("wk-0/") || task == "wk-0/0");
    assert!(
        world.served().iter().any(|t| t.contains("begins after 299 s")),
        "{:?}",
        world.served()
    );
    for job in &mut world.jobs {
        job.last = Some("pending".into());
    }
    assert!(world.served().contains(&"class array: 0 of 12 served".into()));
    assert!(world.served().contains(&"team blue: 0 of 12 served".into()));
}

#[test]
fn a_task_on_a_type_that_its_job_does_not_allow_is_seen() {
    let mut world = one(7, 100.0, None);
    world.run(30_000);
    assert!(world.broken.is_empty());
    world.jobs[0].body["hulls"] = json!(["none"]);
    world.run(35_000);
    assert!(broke(&world, "wrong_place"), "{:?}", world.broken);
}

/// Every trouble that lasts for a time comes about, and the day ends well.
#[test]
fn each_trouble_comes_about() {
    for seed in 0..3 {
        let mut world = World::new(seed, CALM, 1_000);
        world.plant.cloud.boot_ms = Some(1_500);
        mixed_load(&mut world, 4);
        let zone_away = Trouble::ZoneAway { zone: "b".into(), node: 1 };
        for trouble in [
            Trouble::AnswersLost(0.2),
            Trouble::WritesLate(0.1),
            Trouble::CopiesForNext(0.3),
            Trouble::CloseLooks,
            Trouble::OddRequests,
            Trouble::CancelAtEnd(0.5),
        ] {
            world.spell(5_000, 70_000, trouble);
        }
        world.run(20_000);
        let mute = world.up().into_iter().take(2).collect();
        world.spell(20_000, 8_000, Trouble::Mute(mute));
        world.spell(30_000, 25_000, zone_away);
        world.cancel_now(60_000, 2, Some(5_000));
        (0..3).for_each(|n| world.crash(40_000 + 10_000 * n as u64, n));
        let mut refused = 0;
        world.judge = Some(Box::new(move |ms, _, _| {
            refused += u32::from(ms > 50_000);
            if ms > 50_000 && refused < 3 { Fate::Refused } else { Fate::Usual }
        }));
        world.run(300_000);
        assert_over(&world, &format!("seed {seed}"));
        for what in [
            "answer lost",
            "write late",
            "leader",
            "copy for next",
            "mute",
            "zone cut",
            "cancelled at end",
            "cancelled now",
            "hung",
            "look answered",
        ] {
            assert!(world.met.contains_key(what), "seed {seed}: no {what}: {:?}", world.met);
        }
    }
}

#[test]
fn a_stage_that_begins_too_early_or_is_orphaned_is_seen() {
    let awaiting = |id: &str, awaits: &str| {
        let mut body = job(id, "array", "blue", 1, 1.0, 100.0);
        body["awaits"] = json!([awaits]);
        body
    };
    let two = |cancel_ms| {
        let mut world = one(3, 400.0, cancel_ms);
        world.submit(3_000, None, awaiting("wk-2", "wk-1"));
        world
    };
    let mut world = two(None);
    world.run(80_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert_eq!(world.jobs[1].last.as_deref(), Some("pending"));
    // As if its user had been told 40 s ago that the first is cancelled.
    world.jobs[0].told_cancelled = Some(BEGIN + 40_000);
    world.run(90_000);
    assert!(broke(&world, "orphaned: wk-2"), "{:?}", world.broken);
    // As if it had named the first, though it runs.
    let mut world = one(3, 400.0, None);
    world.submit(500, None, job("wk-2", "array", "blue", 1, 1.0, 100.0));
    world.run(1_200);
    world.jobs[1].body["awaits"] = json!(["wk-1"]);
    world.run(60_000);
    assert!(broke(&world, "too_early: wk-2"), "{:?}", world.broken);
    // As if nobody had ever asked to cancel the first.
    let mut world = two(Some(30_000));
    world.run(30_500);
    world.jobs[0].cancel_at = None;
    world.run(60_000);
    assert!(broke(&world, "went_back: wk-2 was not cancelled, nor anything"), "{:?}", world.broken);
}
