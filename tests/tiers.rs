//! Priority tiers: validation of tier tables, the queue order, the store of replicated records, and their behaviour
//! across failovers.

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

/// Each invalid table is rejected with an error that names the tier and the cause.
#[test]
fn invalid_tier_tables_are_rejected() {
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
    for (tiers, expected) in cases {
        let error = TierTable::new(tier_table(tiers)).expect_err(expected).to_string();
        assert!(error.contains(expected) && error.contains("tier "), "{expected}: {error}");
    }
    let too_many: Vec<(String, &str)> = (0..40).map(|n| (format!("t{n}"), production)).collect();
    let too_many: Vec<(&str, &str)> =
        too_many.iter().map(|(name, when)| (name.as_str(), *when)).collect();
    assert!(TierTable::new(tier_table(&too_many)).is_err());
    TierTable::new(TierTableRecord::default()).expect("the built-in table is valid");
}

/// The tier table under `deploy/` is valid.
#[test]
fn deployed_tier_table_is_valid() {
    let text = include_str!("../deploy/tiers.toml");
    let operator = OperatorSettings::parse("deploy/tiers.toml", text).expect("the file is valid");
    let record = swiftsail_controller::controller::tier_table_from_settings(
        operator.tiers.as_ref().expect("a table"),
    );
    TierTable::new(record).expect("the table is valid");
}

/// The queue order of generated jobs: by priority, tier and guarantee, and within these by acceptance, whatever the order
/// in which the jobs are passed in.
#[test]
fn queue_order_depends_on_records_alone() {
    let jobs = prop::collection::vec((0..4usize, 0..3u8, 0..5u64, 0..2usize, 1..9u32), 1..30);
    let teams = ["red", "blue"];
    test_runner(34, 200)
        .run(&(jobs, any::<u64>()), |(jobs, seed)| {
            let ids: Vec<String> = (0..jobs.len()).map(|n| format!("wk-{n}")).collect();
            let waiting_job = |index: usize| {
                let (priority, tier, accepted_wall, team, cpus) = jobs[index];
                WaitingJob {
                    id: &ids[index],
                    priority: JobPriorityAttribute::ALL[priority],
                    tier,
                    accepted_at_wall: accepted_wall,
                    team: teams[team],
                    total_resources: (f64::from(cpus), 0.0),
                }
            };
            let guarantees: HashMap<&str, (f64, f64)> = HashMap::from([("red", (12.0, 0.0))]);
            let queue = queue_order((0..jobs.len()).map(waiting_job), &guarantees);
            let mut shuffled: Vec<usize> = (0..jobs.len()).collect();
            shuffled.rotate_left(seed as usize % jobs.len());
            shuffled.reverse();
            prop_assert_eq!(
                &queue,
                &queue_order(shuffled.into_iter().map(waiting_job), &guarantees)
            );
            let index_of = |position: &swiftsail_tiers::QueuePosition| {
                ids.iter().position(|id| id == position.job_id())
            };
            for pair in queue.windows(2) {
                let (a, b) = (jobs[index_of(&pair[0]).unwrap()], jobs[index_of(&pair[1]).unwrap()]);
                prop_assert!(a.0 >= b.0, "not ordered by priority");
                prop_assert!(a.0 > b.0 || a.1 <= b.1, "not ordered by tier within a priority");
                let is_same = (a.0, a.1, pair[0].is_beyond_guarantee())
                    == (b.0, b.1, pair[1].is_beyond_guarantee());
                prop_assert!(!is_same || a.2 <= b.2, "not ordered by acceptance");
            }
            Ok(())
        })
        .unwrap();
}

/// A record store and a state service with late and repeated watch changes, conflicts, writes by others, and requests that
/// change: in the end every requested value is committed and nothing is pending, the store never writes faster than its
/// tenth of the deployment's rate allows, and an unchanged store writes nothing.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn record_store_commits_requested_values() {
    let steps = prop::collection::vec((0..4usize, 0..6u8, 0..5u8), 1..60);
    let limits =
        StoreLimits { writes_per_second: 20.0, max_transaction_writes: 16, max_value_bytes: 8_192 };
    test_runner(34, 200)
        .run(&steps, |steps| {
            let (mut now, mut revision) = (1_000, 1u64);
            let mut records = RecordStore::new("order/", limits, now);
            // The state service: value and mod revision by full key.
            let mut service: BTreeMap<String, (Value, u64)> = BTreeMap::new();
            let mut changes: Vec<(String, Option<Value>, u64)> = Vec::new();
            let page = |service: &BTreeMap<String, (Value, u64)>| {
                let own_key = |key: &String| key.strip_prefix("order/").unwrap().to_string();
                service
                    .iter()
                    .map(|(key, (value, mod_revision))| {
                        (own_key(key), value.clone(), *mod_revision)
                    })
                    .collect::<Vec<_>>()
            };
            records.on_page(page(&service), revision, false);
            let (mut written, begin) = (0u64, now);
            let mut requested: BTreeMap<String, u8> = BTreeMap::new();
            let mut steps = steps.clone();
            steps.extend([(1, 0, 0); 60]);
            for (action, key, value) in steps {
                now += 700;
                let key = format!("k{key}");
                match action {
                    0 => {
                        requested.insert(key.clone(), value);
                        records.put(&key, json!(value));
                    }
                    2 => records.on_watch_changes(changes.clone(), revision),
                    3 => {
                        // A late write by another controller, which the watch has not delivered.
                        revision += 1;
                        service.insert(format!("order/{key}"), (json!(99), revision));
                        requested.entry(key).or_insert(99);
                    }
                    _ => {
                        let Some(transaction) = records.next_transaction(now) else { continue };
                        let mod_revision =
                            |key: &String| service.get(key).map_or(0, |entry| entry.1);
                        let mut conditions = transaction.conditions.iter();
                        if conditions.any(|(key, expected)| mod_revision(key) != *expected) {
                            prop_assert!(
                                records.on_outcome(transaction.id, WriteOutcome::Conflict)
                            );
                            records.on_page(page(&service), revision, false);
                            continue;
                        }
                        revision += 1;
                        written += transaction.writes.len() as u64;
                        for (key, value) in &transaction.writes {
                            let own_key = key.strip_prefix("order/").unwrap().to_string();
                            changes.push((own_key, value.clone(), revision));
                            service.insert(key.clone(), (value.clone().unwrap(), revision));
                        }
                        prop_assert!(
                            !records.on_outcome(transaction.id, WriteOutcome::Committed(revision))
                        );
                        prop_assert!(
                            !records.on_outcome(transaction.id, WriteOutcome::Conflict),
                            "a second outcome of the same transaction counted"
                        );
                    }
                }
                let allowed = 20.0 + (now - begin) as f64 / 1_000.0 * 2.0;
                prop_assert!(written as f64 <= allowed, "{written} writes by {now} ms");
            }
            prop_assert!(
                records.pending_keys().is_empty(),
                "still pending: {:?}",
                records.pending_keys()
            );
            prop_assert!(
                records.next_transaction(now + 60_000).is_none(),
                "a transaction without a change"
            );
            for (key, value) in requested.iter().filter(|(_, value)| **value != 99) {
                let stored = service.get(&format!("order/{key}")).map(|entry| entry.0.clone());
                let is_overwritten = stored == Some(json!(99));
                prop_assert!(
                    is_overwritten || stored == Some(json!(value)),
                    "{key}: {stored:?}, requested {value}"
                );
            }
            Ok(())
        })
        .unwrap();
}

/// A record of a later format version and one with missing fields are rejected with different errors, so that an older
/// release never overwrites a record that it cannot read.
#[test]
fn unreadable_records_are_rejected() {
    let later = json!({"v": 9, "version": 3, "tier": []});
    assert!(matches!(
        TierTableRecord::from_record("tiers", &later),
        Err(RecordReadError::UnsupportedFormat { found: 9, .. })
    ));
    let incomplete = json!({"v": 1, "version": 3});
    assert!(matches!(
        TierTableRecord::from_record("tiers", &incomplete),
        Err(RecordReadError::Malformed { .. })
    ));
    let readable = tier_table(&[("core", "true")]);
    assert_eq!(
        TierTableRecord::from_record("tiers", &readable.to_record()).map(|record| record.tiers),
        Ok(readable.tiers)
    );
}

/// Ids of a controller's jobs in queue order; empty if it does not lead.
fn queued_job_ids(controller: &Controller) -> Vec<String> {
    let settings: std::sync::Arc<Settings> = controller_settings(0);
    let Some(state) = controller.cluster_state() else { return Vec::new() };
    let queue = state.queue_order(&settings.settings.teams);
    queue.iter().map(|position| position.job_id().to_string()).collect()
}

/// Leaders crash in generated histories. The queue order of the next leader, which it computes from records, is that of
/// the crashed one for all jobs that both know: nothing that only the old leader had in memory affects it.
#[test]
fn failovers_keep_queue_order() {
    let operator =
        OperatorSettings::parse("deploy/tiers.toml", include_str!("../deploy/tiers.toml"));
    let operator = operator.expect("the file is valid");
    let mut compared = 0;
    for seed in 0..6u64 {
        let fault_rates = FaultRates {
            message_loss: 0.01,
            message_delay: 0.01,
            crashes: 0,
            outages_and_hangs: 0,
        };
        let mut world = Simulation::with_capacity(seed, fault_rates, 150_000, 2);
        world.operator = if seed % 2 == 0 { operator.clone() } else { OperatorSettings::default() };
        world.restart_delay_ms = (seed % 3 == 0).then_some(50);
        submit_mixed_load(&mut world, 6);
        for n in 0..12u64 {
            let id = format!("wk-x{n}");
            world.submit(3_000 + n * 3_100, None, job_body(&id, "service", "blue", 2, 2.0, 0.0));
        }
        for crash in 0..9 {
            let crash_at = 8_000 + crash * 7_300 + seed * 400;
            world.run_until(crash_at);
            let Some(node) = leader_index(&world) else { continue };
            let before = queued_job_ids(world.controllers[node].as_ref().expect("it leads"));
            world.schedule_crash(crash_at, node);
            for ms in (0..7_000).step_by(100) {
                world.run_until(crash_at + ms);
                let Some(next) = leader_index(&world) else { continue };
                let after = queued_job_ids(world.controllers[next].as_ref().expect("it leads"));
                let common = |one: &[String], other: &[String]| -> Vec<String> {
                    one.iter().filter(|id| other.contains(id)).cloned().collect()
                };
                assert_eq!(
                    common(&before, &after),
                    common(&after, &before),
                    "seed {seed} at {crash_at}"
                );
                compared += common(&before, &after).len();
                break;
            }
        }
        world.run_until(420_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
    assert!(compared > 300, "{compared} positions compared");
}

/// Controllers whose files have a table of a lower version than the stored one: the highest version stays in force, also
/// after all controllers have crashed. Tables that are invalid or not of a higher version are rejected.
#[test]
fn highest_tier_table_version_stays_in_force() {
    let mut world = Simulation::new(3, FaultRates::NONE, 100_000);
    let text = include_str!("../deploy/tiers.toml");
    world.operator = OperatorSettings::parse("old", text).expect("the file is valid");
    submit_mixed_load(&mut world, 2);
    world.run_until(10_000);
    let send = |world: &mut Simulation, at: u64, request: AdminRequest| {
        let leader = leader_index(world).expect("a leader");
        let id = world.schedule_admin_request(at, leader, request);
        world.run_until(at + 9_000);
        let reply = world.admin_answers.remove(&id).expect("a reply");
        (reply.status, serde_json::from_slice::<Value>(&reply.body).unwrap_or_default())
    };
    let newer = tier_table(&[("core", r#"job.priority == "production""#)]);
    let newer = TierTableRecord { version: 7, ..newer };
    let body = serde_json::to_vec(&newer).expect("it is JSON");
    assert_eq!(send(&mut world, 10_000, AdminRequest::SetTiers(body.clone())).0, 200);
    assert_eq!(send(&mut world, 20_000, AdminRequest::SetTiers(body)).0, 409, "version not higher");
    let invalid =
        serde_json::to_vec(&tier_table(&[("batch", r#"job.kind == "array""#)])).expect("JSON");
    assert_eq!(send(&mut world, 30_000, AdminRequest::SetTiers(invalid)).0, 422);
    assert_eq!(send(&mut world, 40_000, AdminRequest::SetTiers(b"{".to_vec())).0, 422);
    (0..3).for_each(|node| world.schedule_crash(50_000, node));
    world.run_until(60_000);
    let (_, tiers) = send(&mut world, 60_000, AdminRequest::Tiers);
    assert_eq!((&tiers["version"], &tiers["file"]), (&json!(7), &json!(1)), "{tiers}");
    let (status, explanation) = send(&mut world, 70_000, AdminRequest::ExplainTier("wk-s0".into()));
    assert_eq!((status, &explanation["tier"]), (200, &json!("core")), "{explanation}");
    world.run_until(300_000);
    assert_all_jobs_over(&world, "tiers");
}

/// On machines that arrays keep full, with leaders that crash: no array task is bound to resources that a waiting service
/// replica could have had, for longer than one scheduling cycle.
#[test]
fn waiting_core_jobs_are_not_overtaken() {
    let mut cycles = 0;
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
                cycles += world.controllers[node]
                    .as_ref()
                    .and_then(Controller::cluster_state)
                    .map_or(0, |state| state.cycles);
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
    assert!(cycles > 500, "{cycles} cycles");
}
