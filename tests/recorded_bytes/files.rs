//! The settings file and the database of `swiftsail local`.

use crate::{entries, same, to_hex};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde_json::json;
use swiftsail::local::persistence::Persistence;
use swiftsail::local::{LocalConfig, PortPlan, write_controller_config};
use swiftsail_controller::settings::Settings;
use swiftsail_protocol::state::{KeyValue, Mutation, Transaction};

const WHOLE: &str = include_str!("fixtures/settings.toml");
const PAIRS: TableDefinition<&str, &[u8]> = TableDefinition::new("pairs");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

#[test]
fn every_field_of_the_settings_file_is_read_as_before() {
    let found = Settings::parse("whole", WHOLE).expect("the file is sound");
    assert_eq!((found.host_name.as_str(), found.site.as_str()), ("n0", "a"));
    let addresses = [
        (found.front, 6000),
        (found.cluster_listen, 7000),
        (found.others[0].address, 7001),
        (found.endpoints.cloud, 1),
        (found.endpoints.state, 2),
    ];
    addresses.iter().for_each(|(address, port)| assert_eq!(address.port(), *port));
    let other = &found.others[0];
    assert_eq!((other.host_name.as_str(), other.site.as_str()), ("n1", "b"));
    let p = &found.settings;
    assert_eq!((p.zones.as_slice(), p.clock_off_ms), (["a".into(), "b".into()].as_slice(), 20.0));
    let t = &p.teams[0];
    assert_eq!(t.name, "red");
    assert_eq!((t.cpus, t.cpus_max, t.gpus, t.gpus_max), (10.0, 40.0, 1.0, 4.0));
    let o = &p.objectives[0];
    assert_eq!((o.kind.as_str(), o.class.as_deref()), ("wait", Some("train")));
    assert_eq!((o.within_s, o.share), (Some(60.0), Some(0.9)));
    let o = &p.objectives[1];
    assert_eq!((o.class.as_deref(), o.within_s, o.share), (None, None, None));
    let w = &p.workers;
    assert_eq!((w.report_s, w.lease_s, w.cancel_s), (1.0, 10.0, 35.0));
    assert_eq!((w.gang_wait_s, w.gang_peer_s), (30.0, 4.0));
    assert_eq!((p.cloud.rps, p.cloud.list_lag_s), (5.0, 6.0));
    let m = &p.machine_limits;
    assert_eq!((m.cores, m.mem_mb, m.max_connections), (0.1, 41.0, 500));
}

/// The limits to come count where they are lower; each is told from the others.
#[test]
fn limits_of_the_state_service_are_read_as_before() {
    let state = |text: &str| Settings::parse("whole", text).expect("it is sound").settings.state;
    let now = state(&WHOLE.replace("[settings.state.next]", "[settings.unknown]"));
    assert_eq!((now.rps, now.write_rps, now.value_kb, now.txn_ops), (150.0, 40.0, 8.0, 16));
    assert!(now.next.is_none());
    let lower = state(WHOLE);
    assert_eq!((lower.rps, lower.write_rps, lower.value_kb, lower.txn_ops), (90.0, 30.0, 7.0, 12));
    let next = lower.next.expect("limits to come");
    assert_eq!((next.rps, next.write_rps), (Some(90.0), Some(30.0)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(7.0), Some(12)));
}

/// The names of all settings that are written, and their order, at every level.
#[test]
fn settings_are_written_as_before() {
    let found = Settings::parse("whole", WHOLE).expect("the file is sound");
    let text = serde_json::to_string(&found.settings).expect("they have a JSON form");
    same("platform.json", include_str!("fixtures/platform.json"), &text);
    let again = serde_json::from_str::<swiftsail_controller::settings::PlatformSettings>(&text);
    let again = serde_json::to_string(&again.expect("it is read")).expect("it is written");
    assert_eq!(again, text);
}

/// The files that `swiftsail local` writes for its controllers.
#[test]
fn files_of_local_controllers_are_written_as_before() {
    let folder = tempfile::tempdir().expect("a folder for trials");
    let model = LocalConfig::load(None).expect("the built-in file is sound");
    let (config, operator) =
        write_controller_config(&model, PortPlan::from(7000), 1, 3, folder.path())
            .expect("they are written");
    assert!(config.ends_with("node-1.toml") && operator.ends_with("node-1-operator.toml"));
    let text = |path| std::fs::read_to_string(path).expect("it was written");
    same("local-settings.toml", include_str!("fixtures/local-settings.toml"), &text(config));
    same("local-operator.toml", include_str!("fixtures/local-operator.toml"), &text(operator));
}

fn pair(key: &str, stamp: u64, mooring: Option<u64>) -> KeyValue {
    KeyValue { key: key.into(), value: json!({"x": 1}), mod_revision: stamp, lease: mooring }
}

fn put(key: &str) -> Mutation {
    Mutation::Put { key: key.into(), value: json!({"x": 1}), lease: None }
}

/// A transaction of a key that stays, one that hangs on a lease, and one that is removed.
fn note(keep: &Persistence) {
    let gone = Mutation::Delete { key: "a/gone".into() };
    let commit = Transaction {
        preconditions: vec![],
        mutations: vec![put("a/stays"), put("a/leased"), gone],
    };
    let now = |key: &str| match key {
        "a/stays" => Some(pair(key, 432, None)),
        "a/leased" => Some(pair(key, 432, Some(7))),
        _ => None,
    };
    keep.record_transaction(&commit, 432, now).expect("it is kept");
    keep.record_last_machine_number(17).expect("it is kept");
}

#[test]
fn the_local_database_is_written_as_before() {
    let folder = tempfile::tempdir().expect("a folder for trials");
    let path = folder.path().join("kept");
    note(&Persistence::open(&path).expect("it is made"));
    let base = Database::open(&path).expect("it is there");
    let txn = base.begin_read().expect("it is read");
    let mut found = String::new();
    let pairs = txn.open_table(PAIRS).expect("the table of pairs");
    for entry in pairs.iter().expect("its entries") {
        let (key, value) = entry.expect("an entry");
        let json: serde_json::Value =
            swiftsail_protocol::decode(value.value()).expect("MessagePack");
        found.push_str(&format!("{}\n{json}\n{}\n\n", key.value(), to_hex(value.value())));
    }
    same("kept.txt", include_str!("fixtures/kept.txt"), &found);
    let meta = txn.open_table(META).expect("the table of numbers");
    let mut numbers = Vec::new();
    for entry in meta.iter().expect("its entries") {
        let (key, value) = entry.expect("an entry");
        numbers.push((key.value().to_string(), value.value()));
    }
    assert_eq!(numbers, [("epoch".to_string(), 432), ("machines".to_string(), 17)]);
}

/// A database made outside, by the recorded names and bytes, is read.
#[test]
fn the_local_database_is_read_as_before() {
    let folder = tempfile::tempdir().expect("a folder for trials");
    let path = folder.path().join("kept");
    let base = Database::create(&path).expect("it is made");
    let txn = base.begin_write().expect("it is written");
    for (key, bytes) in entries(include_str!("fixtures/kept.txt")) {
        let mut pairs = txn.open_table(PAIRS).expect("the table of pairs");
        pairs.insert(key.as_str(), bytes.as_slice()).expect("it is written");
    }
    {
        let mut meta = txn.open_table(META).expect("the table of numbers");
        meta.insert("epoch", 432).expect("it is written");
        meta.insert("machines", 17).expect("it is written");
    }
    txn.commit().expect("it is written");
    drop(base);
    let keep = Persistence::open(&path).expect("it is there");
    assert_eq!(keep.load().expect("it is read"), (vec![pair("a/stays", 432, None)], 432));
    assert_eq!(keep.last_machine_number().expect("it is read"), 17);
}
