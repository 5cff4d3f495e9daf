//! The stand-ins keep to the published protocol: what a mistake there would hide from every other test.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use std::collections::BTreeMap;
use swiftsail_controller::job::{Kind, Spec};
use swiftsail_simulation::constants::CHANGES_KEPT;
use swiftsail_simulation::plant::Plant;
use swiftsail_simulation::store::{Committed, Store, TooOld};
use swiftsail_simulation::worker::Stage;
use swiftsail_simulation::world::{offered, settings, spec};
use swiftsail_protocol::cloud::Rent;
use swiftsail_protocol::state::{Change, Commit, When};
use swiftsail_protocol::workers::{Cause, Command, Orders, Phase, Verb};

fn store() -> Store {
    Store::new(settings(0).settings.state.clone(), 0)
}

fn write(key: &str, value: u64, stamp: u64, mooring: Option<u64>) -> Commit {
    Commit {
        when: vec![When { key: key.into(), stamp }],
        apply: vec![Change::Write { write: key.into(), value: json!(value), mooring }],
    }
}

#[test]
fn the_store_is_a_map_with_stamps() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let steps = prop::collection::vec((0..5u8, 0..3u8, any::<bool>()), 1..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut store, mut model) = (store(), BTreeMap::<String, u64>::new());
            for (n, (key, what, fresh)) in steps.into_iter().enumerate() {
                let key = format!("k/{key}");
                let held = model.get(&key).copied().unwrap_or(0);
                let stamp = if fresh { held } else { held + 1 };
                let mut commit = write(&key, n as u64, stamp, None);
                if what == 0 {
                    commit.apply = vec![Change::Remove { remove: key.clone() }];
                }
                match store.commit(&commit) {
                    Committed::At(epoch) => {
                        prop_assert!(fresh, "a condition that does not hold");
                        match what {
                            0 => model.remove(&key),
                            _ => model.insert(key, epoch),
                        };
                    }
                    Committed::Failed(keys) => prop_assert!(!fresh && keys == vec![key]),
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            // Pages of any size tell the same.
            let mut seen = BTreeMap::new();
            let mut from: Option<String> = None;
            loop {
                let page = store.list("k/", from.as_deref(), 2);
                from = page.pairs.last().map(|p| p.key.clone());
                seen.extend(page.pairs.into_iter().map(|p| (p.key, p.stamp)));
                if !page.has_next {
                    break;
                }
            }
            prop_assert_eq!(seen, model);
            Ok(())
        })
        .unwrap();
}

#[test]
fn leases_end_with_their_keys_and_never_in_an_outage() {
    let mut store = store();
    let lease = store.grant(5_000, 0).expect("a time to live within bounds");
    assert!(store.grant(50, 0).is_none());
    assert!(matches!(store.commit(&write("term/leader", 1, 0, Some(lease))), Committed::At(_)));
    store.expire(4_900, false);
    assert!(store.extend(lease, 4_900));
    // An outage gives every lease its full time again.
    store.expire(9_000, true);
    store.expire(13_900, false);
    assert!(store.get("term/leader").is_some());
    let from = store.epoch();
    store.expire(14_100, false);
    assert!(store.get("term/leader").is_none());
    let news = store.news("term/", from).expect("kept").expect("a change");
    assert_eq!(news.news[0].remove.as_deref(), Some("term/leader"));
    assert!(!store.extend(lease, 14_100));
    assert_eq!(store.commit(&write("x", 1, 0, Some(lease))), Committed::NoGrant);
}

#[test]
fn watches_tell_every_change_or_that_they_cannot() {
    let mut store = store();
    for n in 0..CHANGES_KEPT as u64 + 10 {
        let stamp = store.get("a/b").map_or(0, |p| p.stamp);
        store.commit(&write("a/b", n, stamp, None));
    }
    assert_eq!(store.news("a/", 5), Err(TooOld));
    let news = store.news("a/", 11).expect("kept").expect("changes");
    assert_eq!(news.news.len(), CHANGES_KEPT - 1);
    assert_eq!(store.news("a/", store.epoch()), Ok(None));
    assert_eq!(store.news("b/", 100), Ok(None));
}

#[test]
fn limits_are_those_of_the_settings() {
    let limits = settings(0).settings.state.clone();
    let mut store = store();
    let let_through = (0..1_000).filter(|_| store.admit(0, 0)).count();
    assert_eq!(let_through, limits.rps as usize, "a second's worth at once");
    let let_through = (0..1_000).filter(|_| store.admit(1, 1_000)).count();
    assert_eq!(let_through, limits.write_rps as usize);
    let large = json!("x".repeat((limits.value_kb * 1024.0) as usize));
    let apply = vec![Change::Write { write: "k".into(), value: large, mooring: None }];
    assert!(matches!(store.commit(&Commit { when: vec![], apply }), Committed::Malformed(_)));
    let apply = (0..=limits.txn_ops).map(|n| Change::Remove { remove: format!("k{n}") }).collect();
    assert!(matches!(store.commit(&Commit { when: vec![], apply }), Committed::Malformed(_)));
}

/// A plant with machines of 8 CPUs that are up at once.
struct Yard {
    plant: Plant,
    names: Vec<String>,
    now: u64,
}

const TOKEN: u64 = 7;
const RENTED: u64 = 10_000;

impl Yard {
    fn new(machines: u32, job: Spec) -> Yard {
        let platform = settings(0).settings.clone();
        let mut plant = Plant::new(offered(6), platform, 3, 1.0, 5, 0);
        let rent = Rent {
            charter: "r-1".into(),
            hull: "m8".into(),
            dock: "a".into(),
            driftwood: false,
            number: machines,
        };
        let names = plant.rent(&rent, RENTED).expect("there are some");
        assert_eq!(plant.rent(&rent, RENTED).expect("again"), names, "a name rents once");
        plant.describe("wk-1", job, true);
        // Those that come up late are no matter here.
        for worker in plant.workers.values_mut() {
            worker.up_at = worker.up_at.min(20_000);
        }
        Yard { plant, names, now: 20_000 }
    }

    /// Time passes; every report is answered with what is ordered for that machine, once.
    fn run(&mut self, ms: u64, mut orders: Vec<(usize, Command)>) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100;
            for n in 0..self.names.len() {
                let name = self.names[n].clone();
                let Some((_, report)) = self.plant.step(&name, self.now) else { continue };
                let (mine, rest): (Vec<_>, Vec<_>) = orders.drain(..).partition(|(m, _)| *m == n);
                orders = rest;
                let mine = mine.into_iter().map(|(_, c)| c).collect();
                let answer = Orders { helm: TOKEN, orders: mine };
                self.plant.answered(&name, &answer, report.watch, self.now, self.now);
            }
        }
        assert!(orders.is_empty(), "every machine has reported");
    }

    fn stage(&self, machine: usize) -> Option<Stage> {
        let worker = self.plant.workers.get(&self.names[machine])?;
        worker.tasks.first().map(|t| t.stage())
    }
}

fn command(verb: Verb, task: u32, ease_s: Option<f64>) -> Command {
    Command { verb, shard: format!("wk-1/{task}"), launch: 3, ease_s }
}

fn gang() -> Spec {
    Spec { checkpoint_s: 5.0, save_s: 1.0, estimate_s: 60.0, ..spec(Kind::Gang, 2, 2.0, "i") }
}

#[test]
fn a_gang_starts_together_and_saves_only_when_all_are_told() {
    let start = |task| (task as usize, command(Verb::Start, task, None));
    let mut yard = Yard::new(2, gang());
    yard.run(6_000, vec![start(0)]);
    assert!(matches!(yard.stage(0), Some(Stage::Gathering(_))), "{:?}", yard.stage(0));
    yard.run(6_000, vec![start(1)]);
    assert_eq!((yard.stage(0), yard.stage(1)), (Some(Stage::Running), Some(Stage::Running)));
    // Both are told in time: the progress is saved.
    let stop = |task| (task as usize, command(Verb::Stop, task, Some(3.0)));
    yard.run(6_000, vec![stop(0), stop(1)]);
    for n in 0..2 {
        assert_eq!(yard.stage(n), Some(Stage::Exited(Cause::Stopped, true)));
    }
    // Only one is told: the save fails, and the other notices.
    let mut yard = Yard::new(2, gang());
    yard.run(8_000, vec![start(0), start(1)]);
    assert_eq!(yard.stage(0), Some(Stage::Running));
    yard.run(9_000, vec![stop(0)]);
    for n in 0..2 {
        let stage = yard.stage(n);
        assert!(matches!(stage, Some(Stage::Exited(_, false))), "{n}: {stage:?}");
    }
    // One machine is lost: the other exits within the time that its gang has to notice.
    let mut yard = Yard::new(2, gang());
    yard.run(8_000, vec![start(0), start(1)]);
    let (lost, now) = (yard.names[1].clone(), yard.now);
    yard.plant.gone(&[lost], false, now);
    yard.run(5_000, vec![]);
    assert_eq!(yard.stage(0), Some(Stage::Exited(Cause::PeersGone, false)));
}

#[test]
fn a_session_ends_with_its_lease_and_old_tokens_are_dropped() {
    let mut yard = Yard::new(1, Spec { estimate_s: 500.0, ..spec(Kind::Array, 2, 2.0, "i") });
    yard.run(4_000, vec![(0, command(Verb::Start, 0, None))]);
    assert_eq!(yard.stage(0), Some(Stage::Running));
    let name = yard.names[0].clone();
    // Answers with a lower token do not renew the lease.
    let (begin, session) = (yard.now, yard.plant.workers[&name].session());
    while yard.now < begin + 13_000 {
        yard.now += 100;
        if let Some((_, report)) = yard.plant.step(&name, yard.now) {
            let old = Orders { helm: TOKEN - 1, orders: Vec::new() };
            yard.plant.answered(&name, &old, report.watch, yard.now, yard.now);
        }
    }
    let worker = &yard.plant.workers[&name];
    assert_eq!((worker.session(), worker.killed), (session + 1, 1));
    assert!(worker.tasks.is_empty());
}

#[test]
fn a_worker_refuses_what_it_cannot_take_and_repeats_nothing() {
    let mut yard = Yard::new(1, spec(Kind::Array, 9, 5.0, "i"));
    let mut other = command(Verb::Start, 1, None);
    other.shard = "wk-9/0".into();
    yard.run(
        2_000,
        vec![
            (0, command(Verb::Start, 0, None)),
            (0, command(Verb::Start, 0, None)),
            (0, Command { launch: 4, ..command(Verb::Start, 0, None) }),
            (0, command(Verb::Start, 1, None)),
            (0, other),
        ],
    );
    let name = yard.names[0].clone();
    let now = yard.now;
    let worker = yard.plant.workers.get_mut(&name).expect("it is there");
    let causes: Vec<Option<Cause>> = worker.report(now).shards.iter().map(|s| s.cause).collect();
    let refused = [None, Some(Cause::InUse), Some(Cause::NoRoom), Some(Cause::NoSuch)];
    assert_eq!(causes, refused);
    yard.run(2_000, vec![(0, command(Verb::Forget, 1, None))]);
    let worker = yard.plant.workers.get_mut(&name).expect("it is there");
    let report = worker.report(now + 9_000);
    assert_eq!(report.shards.len(), 3);
    assert!(report.shards.iter().any(|s| s.status == Phase::Running));
}

#[test]
fn the_machine_list_lags_and_keeps_what_died() {
    let mut yard = Yard::new(3, gang());
    let cloud = &mut yard.plant.cloud;
    assert!(cloud.list(None, 500, RENTED + 1_000).berths.is_empty(), "not listed at once");
    assert_eq!(cloud.list(None, 500, 60_000).berths.len(), 3);
    let page = cloud.list(None, 2, 60_000);
    assert!(page.has_next && page.berths.len() == 2);
    let names = yard.names.clone();
    cloud.gone(&names[..1], true, 60_000);
    cloud.gone(&names[1..2], false, 60_000);
    let listed = cloud.list(None, 500, 200_000).berths;
    assert_eq!(listed.len(), 2, "what was returned is gone, what died is listed as failed");
    assert_eq!(listed[0].status, swiftsail_protocol::cloud::ListedState::Failed);
    cloud.gone(&names[..1], false, 200_000);
    assert_eq!(cloud.list(None, 500, 400_000).berths.len(), 1);
}
