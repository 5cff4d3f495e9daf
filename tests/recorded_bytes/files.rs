//! The settings file and the database of `swiftsail local`.

use crate::{assert_same_text, parse_entries, to_hex};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde_json::json;
use swiftsail::local::persistence::Persistence;
use swiftsail::local::{LocalConfig, PortPlan, write_controller_config};
use swiftsail_controller::settings::Settings;
use swiftsail_protocol::state::{KeyValue, Mutation, Transaction};

const FULL: &str = include_str!("fixtures/settings.toml");
const PAIRS: TableDefinition<&str, &[u8]> = TableDefinition::new("pairs");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

#[test]
fn every_field_of_the_settings_file_is_read_unchanged() {
    let settings = Settings::parse("full", FULL).expect("the file is valid");
    assert_eq!((settings.host_name.as_str(), settings.site.as_str()), ("n0", "a"));
    let addresses = [
        (settings.front, 6000),
        (settings.cluster_listen, 7000),
        (settings.others[0].address, 7001),
        (settings.endpoints.cloud, 1),
        (settings.endpoints.state, 2),
    ];
    addresses.iter().for_each(|(address, port)| assert_eq!(address.port(), *port));
    let other = &settings.others[0];
    assert_eq!((other.host_name.as_str(), other.site.as_str()), ("n1", "b"));
    let platform = &settings.settings;
    assert_eq!(
        (platform.zones.as_slice(), platform.clock_off_ms),
        (["a".into(), "b".into()].as_slice(), 20.0)
    );
    let team = &platform.teams[0];
    assert_eq!(team.name, "red");
    assert_eq!((team.cpus, team.cpus_max, team.gpus, team.gpus_max), (10.0, 40.0, 1.0, 4.0));
    let objective = &platform.objectives[0];
    assert_eq!((objective.kind.as_str(), objective.class.as_deref()), ("wait", Some("train")));
    assert_eq!((objective.within_s, objective.share), (Some(60.0), Some(0.9)));
    let objective = &platform.objectives[1];
    assert_eq!(
        (objective.class.as_deref(), objective.within_s, objective.share),
        (None, None, None)
    );
    let workers = &platform.workers;
    assert_eq!((workers.report_s, workers.lease_s, workers.cancel_s), (1.0, 10.0, 35.0));
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (30.0, 4.0));
    assert_eq!((platform.cloud.rps, platform.cloud.list_lag_s), (5.0, 6.0));
    let limits = &platform.machine_limits;
    assert_eq!((limits.cores, limits.mem_mb, limits.max_connections), (0.1, 41.0, 500));
}

/// An announced limit in `settings.state.next` applies where it is lower than the present one.
#[test]
fn limits_of_the_state_service_are_read_unchanged() {
    let state = |text: &str| Settings::parse("full", text).expect("it is valid").settings.state;
    let present = state(&FULL.replace("[settings.state.next]", "[settings.unknown]"));
    assert_eq!(
        (present.rps, present.write_rps, present.value_kb, present.txn_ops),
        (150.0, 40.0, 8.0, 16)
    );
    assert!(present.next.is_none());
    let effective = state(FULL);
    assert_eq!(
        (effective.rps, effective.write_rps, effective.value_kb, effective.txn_ops),
        (90.0, 30.0, 7.0, 12)
    );
    let next = effective.next.expect("announced limits");
    assert_eq!((next.rps, next.write_rps), (Some(90.0), Some(30.0)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(7.0), Some(12)));
}

/// The names and the order of all settings that are written, at every level.
#[test]
fn settings_are_written_unchanged() {
    let settings = Settings::parse("full", FULL).expect("the file is valid");
    let text = serde_json::to_string(&settings.settings).expect("they have a JSON form");
    assert_same_text("platform.json", include_str!("fixtures/platform.json"), &text);
    let read = serde_json::from_str::<swiftsail_controller::settings::PlatformSettings>(&text);
    let written = serde_json::to_string(&read.expect("it is read")).expect("it is written");
    assert_eq!(written, text);
}

/// The files that `swiftsail local` writes for its controllers.
#[test]
fn files_of_local_controllers_are_written_unchanged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let local_config = LocalConfig::load(None).expect("the built-in file is valid");
    let (settings, operator) =
        write_controller_config(&local_config, PortPlan::from(7000), 1, 3, folder.path())
            .expect("they are written");
    assert!(settings.ends_with("node-1.toml") && operator.ends_with("node-1-operator.toml"));
    let text = |path| std::fs::read_to_string(path).expect("it was written");
    assert_same_text(
        "local-settings.toml",
        include_str!("fixtures/local-settings.toml"),
        &text(settings),
    );
    assert_same_text(
        "local-operator.toml",
        include_str!("fixtures/local-operator.toml"),
        &text(operator),
    );
}

fn key_value(key: &str, mod_revision: u64, lease: Option<u64>) -> KeyValue {
    KeyValue { key: key.into(), value: json!({"x": 1}), mod_revision, lease }
}

fn put(key: &str) -> Mutation {
    Mutation::Put { key: key.into(), value: json!({"x": 1}), lease: None }
}

/// Records a transaction of a key that is stored, one that is attached to a lease, and one that is deleted.
fn record_changes(persistence: &Persistence) {
    let delete = Mutation::Delete { key: "a/gone".into() };
    let transaction = Transaction {
        preconditions: vec![],
        mutations: vec![put("a/stays"), put("a/leased"), delete],
    };
    let current = |key: &str| match key {
        "a/stays" => Some(key_value(key, 432, None)),
        "a/leased" => Some(key_value(key, 432, Some(7))),
        _ => None,
    };
    persistence.record_transaction(&transaction, 432, current).expect("it is stored");
    persistence.record_last_machine_number(17).expect("it is stored");
}

#[test]
fn the_local_database_is_written_unchanged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("database");
    record_changes(&Persistence::open(&path).expect("it is created"));
    let database = Database::open(&path).expect("it exists");
    let txn = database.begin_read().expect("it is read");
    let mut text = String::new();
    let pairs = txn.open_table(PAIRS).expect("the table of pairs");
    for entry in pairs.iter().expect("its entries") {
        let (key, value) = entry.expect("an entry");
        let json: serde_json::Value =
            swiftsail_protocol::decode(value.value()).expect("MessagePack");
        text.push_str(&format!("{}\n{json}\n{}\n\n", key.value(), to_hex(value.value())));
    }
    assert_same_text("kept.txt", include_str!("fixtures/kept.txt"), &text);
    let meta = txn.open_table(META).expect("the table of numbers");
    let mut numbers = Vec::new();
    for entry in meta.iter().expect("its entries") {
        let (key, value) = entry.expect("an entry");
        numbers.push((key.value().to_string(), value.value()));
    }
    assert_eq!(numbers, [("epoch".to_string(), 432), ("machines".to_string(), 17)]);
}

/// A database that is created with the recorded names and bytes, not by the program, is read.
#[test]
fn the_local_database_is_read_unchanged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("database");
    let database = Database::create(&path).expect("it is created");
    let txn = database.begin_write().expect("it is written");
    for (key, bytes) in parse_entries(include_str!("fixtures/kept.txt")) {
        let mut pairs = txn.open_table(PAIRS).expect("the table of pairs");
        pairs.insert(key.as_str(), bytes.as_slice()).expect("it is written");
    }
    {
        let mut meta = txn.open_table(META).expect("the table of numbers");
        meta.insert("epoch", 432).expect("it is written");
        meta.insert("machines", 17).expect("it is written");
    }
    txn.commit().expect("it is written");
    drop(database);
    let persistence = Persistence::open(&path).expect("it exists");
    let stored = vec![key_value("a/stays", 432, None)];
    assert_eq!(persistence.load().expect("it is read"), (stored, 432));
    assert_eq!(persistence.last_machine_number().expect("it is read"), 17);
}
