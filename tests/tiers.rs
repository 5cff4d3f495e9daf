//! Tiers and the line: the table and its checker, records, and an order that no change of leader moves.

mod common;

use common::cluster::leader_index;
use common::property_tests::test_runner;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use swiftsail_controller::controller::{AdminRequest, Controller};
use swiftsail_controller::settings::Settings;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_replicated_records::{
    RecordReadError, RecordStore, StoreLimits, Versioned, WriteOutcome,
};
use swiftsail_simulation::simulation::{
    FaultRates, Simulation, assert_all_jobs_over, controller_settings, job_body, submit_mixed_load,
};
use swiftsail_tiers::{
    JobPriorityAttribute, TierDefinition, TierTable, TierTableRecord, WaitingJob, queue_order,
};

fn tier_table(tiers: &[(&str, &str)]) -> TierTableRecord {
    let tier = |(name, when): &(&str, &str)| TierDefinition {
        name: name.to_string(),
        when: when.to_string(),
        ordered: false,
    };
    TierTableRecord { format_version: 0, version: 1, tiers: tiers.iter().map(tier).collect() }
}

/// Each flaw is refused with the tier, the place where there is one, and the remedy.
#[test]
fn a_table_that_is_not_sound_is_refused() {
    let production = r#"job.priority == "production""#;
    let cases: [(&[(&str, &str)], &str); 9] = [
        (&[("core", r#"job.clas == "x""#)], "did you mean `class`"),
        (&[("core", "job.age_s > 5.0")], "changes while a job waits"),
        (&[("core", "job.cpus > ")], "line 1"),
        (&[("core", "1 + 1")], "true or false is expected"),
        (&[("core", production), ("more", production)], "no job can be of it"),
        (&[("core", r#"job.cpus > 4.0 && job.cpus < 2.0"#)], "no job can be of it"),
        (&[("batch", r#"job.kind == "array""#)], "above priority"),
        (&[("core", production), ("core", "true")], "its name is taken"),
        (&[("Core", production)], "lower-case"),
    ];
    for (tiers, part) in cases {
        let refused = TierTable::new(tier_table(tiers)).expect_err(part).to_string();
        assert!(refused.contains(part) && refused.contains("tier "), "{part}: {refused}");
    }
    let many: Vec<(String, &str)> = (0..40).map(|n| (format!("t{n}"), production)).collect();
    let many: Vec<(&str, &str)> = many.iter().map(|(n, w)| (n.as_str(), *w)).collect();
    assert!(TierTable::new(tier_table(&many)).is_err());
    TierTable::new(TierTableRecord::default()).expect("the built-in table is sound");
}

/// The file under `deploy/` is sound, and a flaw in such a file is told with its line.
#[test]
fn the_deployed_table_is_sound() {
    let text = include_str!("../deploy/tiers.toml");
    let operator = OperatorSettings::parse("deploy/tiers.toml", text).expect("it is sound");
    let record = swiftsail_controller::controller::tier_table_from_settings(
        operator.tiers.as_ref().expect("a table"),
    );
    TierTable::new(record).expect("its tiers are sound");
}

/// The line of generated jobs: by priority, tier, guarantee, acceptance; the same whatever the order in which
/// they are told; nobody earlier of the same standing comes later.
#[test]
fn the_line_is_a_function_of_records() {
    let jobs = prop::collection::vec((0..4usize, 0..3u8, 0..5u64, 0..2usize, 1..9u32), 1..30);
    let teams = ["red", "blue"];
    test_runner(34, 200)
        .run(&(jobs, any::<u64>()), |(jobs, seed)| {
            let ids: Vec<String> = (0..jobs.len()).map(|n| format!("wk-{n}")).collect();
            let entry = |n: usize| {
                let (rank, tier, accepted_wall, team, cpus) = jobs[n];
                let whole = (f64::from(cpus), 0.0);
                let (rank, team) = (JobPriorityAttribute::ALL[rank], teams[team]);
                WaitingJob {
                    id: &ids[n],
                    priority: rank,
                    tier,
                    accepted_at_wall: accepted_wall,
                    team,
                    total_resources: whole,
                }
            };
            let guarantees: HashMap<&str, (f64, f64)> = HashMap::from([("red", (12.0, 0.0))]);
            let first = queue_order((0..jobs.len()).map(entry), &guarantees);
            let mut turned: Vec<usize> = (0..jobs.len()).collect();
            turned.rotate_left(seed as usize % jobs.len());
            turned.reverse();
            prop_assert_eq!(&first, &queue_order(turned.into_iter().map(entry), &guarantees));
            let number =
                |p: &swiftsail_tiers::QueuePosition| ids.iter().position(|i| i == p.job_id());
            for pair in first.windows(2) {
                let (a, b) = (jobs[number(&pair[0]).unwrap()], jobs[number(&pair[1]).unwrap()]);
                prop_assert!(a.0 >= b.0, "priority first");
                prop_assert!(a.0 > b.0 || a.1 <= b.1, "then tiers");
                let same = (a.0, a.1, pair[0].is_beyond_guarantee())
                    == (b.0, b.1, pair[1].is_beyond_guarantee());
                prop_assert!(!same || a.2 <= b.2, "then acceptance");
            }
            Ok(())
        })
        .unwrap();
}

/// A book and a store under it, with news that come late or twice, conflicts and changes of what is wanted: in the
/// end what is wanted stands, each value was written once, and never more than a tenth of the changes were used.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn a_book_brings_what_is_wanted_to_stand() {
    let steps = prop::collection::vec((0..4usize, 0..6u8, 0..5u8), 1..60);
    let limits =
        StoreLimits { writes_per_second: 20.0, max_transaction_writes: 16, max_value_bytes: 8_192 };
    test_runner(34, 200)
        .run(&steps, |steps| {
            let (mut now, mut epoch) = (1_000, 1u64);
            let mut book = RecordStore::new("order/", limits, now);
            let mut store: BTreeMap<String, (Value, u64)> = BTreeMap::new();
            let mut news: Vec<(String, Option<Value>, u64)> = Vec::new();
            let page = |store: &BTreeMap<String, (Value, u64)>| {
                let own = |k: &String| k.strip_prefix("order/").unwrap().to_string();
                store.iter().map(|(k, (v, s))| (own(k), v.clone(), *s)).collect::<Vec<_>>()
            };
            book.on_page(page(&store), epoch, false);
            let (mut written, begin) = (0u64, now);
            let mut want: BTreeMap<String, u8> = BTreeMap::new();
            let mut ends = steps.clone();
            ends.extend([(1, 0, 0); 60]);
            for (what, key, value) in ends {
                now += 700;
                let key = format!("k{key}");
                match what {
                    0 => {
                        want.insert(key.clone(), value);
                        book.put(&key, json!(value));
                    }
                    2 => book.on_watch_changes(news.clone(), epoch),
                    3 => {
                        // A late write of somebody else's.
                        epoch += 1;
                        store.insert(format!("order/{key}"), (json!(99), epoch));
                        want.entry(key).or_insert(99);
                    }
                    _ => {
                        let Some(txn) = book.next_transaction(now) else { continue };
                        let stamp = |k: &String| store.get(k).map_or(0, |s| s.1);
                        if txn.conditions.iter().any(|(k, s)| stamp(k) != *s) {
                            prop_assert!(book.on_outcome(txn.id, WriteOutcome::Conflict));
                            book.on_page(page(&store), epoch, false);
                            continue;
                        }
                        epoch += 1;
                        written += txn.writes.len() as u64;
                        for (k, v) in &txn.writes {
                            let own = k.strip_prefix("order/").unwrap().to_string();
                            news.push((own, v.clone(), epoch));
                            store.insert(k.clone(), (v.clone().unwrap(), epoch));
                        }
                        prop_assert!(!book.on_outcome(txn.id, WriteOutcome::Committed(epoch)));
                        prop_assert!(
                            !book.on_outcome(txn.id, WriteOutcome::Conflict),
                            "told twice"
                        );
                    }
                }
                let allowed = 20.0 + (now - begin) as f64 / 1_000.0 * 2.0;
                prop_assert!(written as f64 <= allowed, "{written} changes by {now}");
            }
            prop_assert!(
                book.pending_keys().is_empty(),
                "{:?} is still wanted",
                book.pending_keys()
            );
            prop_assert!(
                book.next_transaction(now + 60_000).is_none(),
                "nothing changes, nothing is written"
            );
            for (key, value) in want.iter().filter(|(_, v)| **v != 99) {
                let held = store.get(&format!("order/{key}")).map(|s| s.0.clone());
                let late = held == Some(json!(99));
                prop_assert!(late || held == Some(json!(value)), "{key}: {held:?}, wanted {value}");
            }
            Ok(())
        })
        .unwrap();
}

/// A record of a later form, and one half written, are told apart and left as they are.
#[test]
fn records_of_later_programs_are_left_alone() {
    let later = json!({"v": 9, "version": 3, "tier": []});
    assert!(matches!(
        TierTableRecord::from_record("tiers", &later),
        Err(RecordReadError::UnsupportedFormat { found: 9, .. })
    ));
    let half = json!({"v": 1, "version": 3});
    assert!(matches!(
        TierTableRecord::from_record("tiers", &half),
        Err(RecordReadError::Malformed { .. })
    ));
    let whole = tier_table(&[("core", "true")]);
    assert_eq!(
        TierTableRecord::from_record("tiers", &whole.to_record()).map(|t| t.tiers),
        Ok(whole.tiers)
    );
}

fn run_queue_names(node: &Controller) -> Vec<String> {
    let settings: std::sync::Arc<Settings> = controller_settings(0);
    let Some(tables) = node.cluster_state() else { return Vec::new() };
    tables.queue_order(&settings.settings.teams).iter().map(|p| p.job_id().to_string()).collect()
}

/// At every crash point of generated histories the line that the next leader reads is the old one's, for all
/// jobs that both know: whatever the old one had in memory.
#[test]
fn no_change_of_leader_reorders_the_line() {
    let operator =
        OperatorSettings::parse("deploy/tiers.toml", include_str!("../deploy/tiers.toml"));
    let operator = operator.expect("it is sound");
    let mut compared = 0;
    for seed in 0..6u64 {
        let weather = FaultRates {
            message_loss: 0.01,
            message_delay: 0.01,
            crashes: 0,
            outages_and_hangs: 0,
        };
        let mut world = Simulation::with_capacity(seed, weather, 150_000, 2);
        world.operator = if seed % 2 == 0 { operator.clone() } else { OperatorSettings::default() };
        world.restart_delay_ms = (seed % 3 == 0).then_some(50);
        submit_mixed_load(&mut world, 6);
        for n in 0..12u64 {
            let id = format!("wk-x{n}");
            world.submit(3_000 + n * 3_100, None, job_body(&id, "service", "blue", 2, 2.0, 0.0));
        }
        for at in 0..9 {
            world.run_until(8_000 + at * 7_300 + seed * 400);
            let Some(node) = leader_index(&world) else { continue };
            let before = run_queue_names(world.controllers[node].as_ref().expect("it leads"));
            world.schedule_crash(8_000 + at * 7_300 + seed * 400, node);
            let until = 8_000 + at * 7_300 + seed * 400;
            for ms in (0..7_000).step_by(100) {
                world.run_until(until + ms);
                let Some(next) = leader_index(&world) else { continue };
                let after = run_queue_names(world.controllers[next].as_ref().expect("it leads"));
                let both = |one: &[String], other: &[String]| -> Vec<String> {
                    one.iter().filter(|id| other.contains(id)).cloned().collect()
                };
                assert_eq!(both(&before, &after), both(&after, &before), "seed {seed} at {until}");
                compared += both(&before, &after).len();
                break;
            }
        }
        world.run_until(420_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
    assert!(compared > 300, "{compared} places were compared");
}

/// Controllers with different files: the highest version counts for all, whoever leads, and stays.
#[test]
fn the_highest_table_counts_and_stays() {
    let mut world = Simulation::new(3, FaultRates::NONE, 100_000);
    let text = include_str!("../deploy/tiers.toml");
    world.operator = OperatorSettings::parse("old", text).expect("it is sound");
    submit_mixed_load(&mut world, 2);
    world.run_until(10_000);
    let ask = |world: &mut Simulation, at: u64, ask: AdminRequest| {
        let node = leader_index(world).expect("somebody leads");
        let id = world.schedule_admin_request(at, node, ask);
        world.run_until(at + 9_000);
        let reply = world.admin_answers.remove(&id).expect("an answer");
        (reply.status, serde_json::from_slice::<Value>(&reply.body).unwrap_or_default())
    };
    let newer = tier_table(&[("core", r#"job.priority == "production""#)]);
    let newer = TierTableRecord { version: 7, ..newer };
    let body = serde_json::to_vec(&newer).expect("it is JSON");
    assert_eq!(ask(&mut world, 10_000, AdminRequest::SetTiers(body.clone())).0, 200);
    assert_eq!(ask(&mut world, 20_000, AdminRequest::SetTiers(body)).0, 409, "not higher");
    let bad =
        serde_json::to_vec(&tier_table(&[("batch", r#"job.kind == "array""#)])).expect("JSON");
    assert_eq!(ask(&mut world, 30_000, AdminRequest::SetTiers(bad)).0, 422);
    assert_eq!(ask(&mut world, 40_000, AdminRequest::SetTiers(b"{".to_vec())).0, 422);
    (0..3).for_each(|node| world.schedule_crash(50_000, node));
    world.run_until(60_000);
    let (_, shown) = ask(&mut world, 60_000, AdminRequest::Tiers);
    assert_eq!((&shown["version"], &shown["file"]), (&json!(7), &json!(1)), "{shown}");
    let (status, why) = ask(&mut world, 70_000, AdminRequest::ExplainTier("wk-s0".into()));
    assert_eq!((status, &why["tier"]), (200, &json!("core")), "{why}");
    world.run_until(300_000);
    assert_all_jobs_over(&world, "tiers");
}

/// On machines that arrays keep full, with leaders that crash: no array's task is bound to room that a replica which
/// waits could have had, beyond one pass.
#[test]
fn waiting_core_work_is_not_passed_over() {
    let mut passes = 0;
    for seed in 0..6u64 {
        let mut world = Simulation::with_capacity(seed, FaultRates::NONE, 200_000, 1);
        world.checks_priority_inversions = true;
        world.restart_delay_ms = (seed % 2 == 0).then_some(100);
        for n in 0..30u64 {
            let id = format!("wk-a{n}");
            world.submit(500 + n * 5_000, None, job_body(&id, "array", "blue", 30, 1.0, 14.0));
            let id = format!("wk-s{n}");
            let cancel = Some(60_000 + n * 5_000);
            world.submit(900 + n * 4_700, cancel, job_body(&id, "service", "blue", 2, 2.0, 0.0));
        }
        for at in (1..8).map(|n| n * 20_000) {
            world.run_until(at);
            if let Some(node) = leader_index(&world) {
                passes += world.controllers[node]
                    .as_ref()
                    .and_then(Controller::cluster_state)
                    .map_or(0, |t| t.cycles);
                if seed > 1 {
                    world.schedule_crash(at + seed * 77, node);
                }
            }
        }
        world.run_until(190_000);
        assert!(
            world.priority_inversions.is_empty(),
            "seed {seed}: {:?}",
            &world.priority_inversions[..3.min(world.priority_inversions.len())]
        );
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
    assert!(passes > 500, "{passes} passes");
}
