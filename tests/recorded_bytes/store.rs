//! The values that controllers store in the state service. A simulation with all stored features enabled checks that the
//! current types read and write them without loss; values recorded from an earlier simulation check compatibility.

use crate::common::cluster::leader_index;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::LogSegmentRecord;
use swiftsail_controller::controller::AdminRequest;
use swiftsail_controller::job::{BindingChunk, FinalRecord, JobRecord};
use swiftsail_controller::leadership::LeaderRecord;
use swiftsail_deadline_planning::tracker::StepDurations;
use swiftsail_deadline_planning::{DeadlinePlan, Occurrence};
use swiftsail_gpu_lending::LenderRecord;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::plugin::{PluginKind, PluginOffer, PluginRecord};
use swiftsail_protocol::cloud::MachineTypes;
use swiftsail_quota::records::{QuotaHolding, QuotaPool};
use swiftsail_replicated_records::Versioned;
use swiftsail_simulation::simulation::{
    FaultRates, Simulation, gpu_job_body, gpu_machine_offers, job_body,
};
use swiftsail_tiers::TierTableRecord;

const RECORDED: &str = include_str!("fixtures/store.txt");
const OPERATOR: &str = r#"
[plugins]
enabled = true
[amounts]
durable = true
[loans]
durable = true
[tiers]
version = 1
[[tiers.tier]]
name = "core"
when = 'job.priority == "production" && job.kind == "service"'
ordered = true
[dispatch]
version = 1
[[dispatch.chain]]
name = "lists"
[[dispatch.chain.step]]
name = "count"
when = 'job.class == "count"'
"#;

/// The kinds of keys and their prefixes.
const KINDS: [(&str, &str); 16] = [
    ("job", "job/"),
    ("end", "end/"),
    ("chunk", "bind/"),
    ("sheet", "sheet/"),
    ("plug-in", "plug/evening"),
    ("source", "plug/evening/"),
    ("form", "term/form"),
    ("leader", "term/leader"),
    ("types", "types/all"),
    ("pool", "amount/0/pool"),
    ("holding", "amount/0/of/"),
    ("tiers", "order/tiers"),
    ("plan", "order/dispatch"),
    ("arrival", "order/due/"),
    ("took", "order/took/"),
    ("loans", "order/loan/"),
];

/// Returns the kind of a key, by the longest matching prefix.
fn kind_of(key: &str) -> Option<&'static str> {
    let matching = KINDS.iter().filter(|(_, prefix)| key.starts_with(prefix));
    matching.max_by_key(|(_, prefix)| prefix.len()).map(|(kind, _)| *kind)
}

fn reencode_plain<T: Serialize + DeserializeOwned>(value: &Value) -> Option<Value> {
    let record: T = serde_json::from_value(value.clone()).ok()?;
    serde_json::to_value(&record).ok()
}

fn reencode_versioned<T: Versioned>(value: &Value) -> Option<Value> {
    T::from_record("key", value).ok().map(|record| record.to_record())
}

/// Reads a value into the current type of its kind and writes it again. Returns none if it cannot be read.
fn reencode(kind: &str, value: &Value) -> Option<Value> {
    match kind {
        "job" => {
            reencode_plain::<JobRecord>(value).or_else(|| reencode_plain::<FinalRecord>(value))
        }
        "end" => reencode_plain::<FinalRecord>(value),
        "chunk" => reencode_plain::<BindingChunk>(value),
        "sheet" => reencode_plain::<LogSegmentRecord>(value),
        "plug-in" => reencode_plain::<PluginRecord>(value),
        "source" => reencode_plain::<String>(value),
        // Version 1 added jobs with dependencies, version 2 runs of bindings.
        "form" => {
            let known = [json!({"form": 1}), json!({"form": 2})];
            known.contains(value).then(|| value.clone())
        }
        "leader" => reencode_plain::<LeaderRecord>(value),
        "types" => reencode_plain::<MachineTypes>(value),
        "pool" => reencode_plain::<QuotaPool>(value),
        "holding" => reencode_plain::<QuotaHolding>(value),
        "tiers" => reencode_versioned::<TierTableRecord>(value),
        "plan" => reencode_versioned::<DeadlinePlan>(value),
        "arrival" => reencode_versioned::<Occurrence>(value),
        "took" => reencode_versioned::<StepDurations>(value),
        "loans" => reencode_versioned::<LenderRecord>(value),
        _ => None,
    }
}

fn submit_jobs(sim: &mut Simulation) {
    for n in 0..4 {
        let id = format!("wk-b{n}");
        sim.submit(500 + n * 500, None, gpu_job_body(&id, "array", "lab", 8, 1.0, 400.0));
    }
    let mut count = job_body("wk-count", "array", "blue", 4, 1.0, 5.0);
    count["jobclass"] = "count".into();
    sim.submit(14_000, None, count);
    sim.submit(3_000, Some(40_000), job_body("wk-s1", "service", "red", 2, 1.0, 0.0));
    let mut after = job_body("wk-after", "array", "red", 2, 1.0, 30.0);
    after["awaits"] = json!(["wk-count"]);
    sim.submit(20_000, None, after);
}

/// Submits fine-tuning jobs that borrow the guaranteed GPUs of serving jobs, and serving jobs that take them back.
fn submit_lending_jobs(sim: &mut Simulation) {
    for n in 0..4 {
        let id = format!("wk-t{n}");
        sim.submit(500 + n * 900, None, gpu_job_body(&id, "gang", "tuning", 2, 1.0, 200.0));
    }
    for n in 0..3 {
        let mut body = gpu_job_body(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
        body["scatter"] = false.into();
        sim.submit(90_000 + n * 2_000, Some(172_000 + n * 4_000), body);
    }
}

/// Sends the leader a plug-in and an arrival.
fn send_admin_requests(sim: &mut Simulation) {
    let node = leader_index(sim);
    let node = node.expect("there is a leader");
    let source = "fn priority(job, cluster) { 1 }".to_string();
    let offer = PluginOffer { kind: PluginKind::Decision, source, precedence: 10, enable: true };
    let offer = serde_json::to_vec(&offer).expect("it has a JSON form");
    sim.schedule_admin_request(8_100, node, AdminRequest::OfferPlugin("evening".into(), offer));
    let at_ms = 1_700_000_000_000 + sim.now + 240_000;
    let arrival = json!({"name": "north", "chain": "lists", "at_ms": at_ms}).to_string();
    sim.schedule_admin_request(8_200, node, AdminRequest::AddOccurrence(arrival.into_bytes()));
}

type ValuesByKey = BTreeMap<String, Vec<Value>>;

/// Runs a simulation until `until_ms`, and records every value of each key of the state service at intervals of 500 ms.
fn record_values(sim: &mut Simulation, until_ms: u64, values: &mut ValuesByKey) {
    for now in (17..until_ms / 500).map(|n| n * 500) {
        sim.run_until(now);
        for pair in sim.store.list("", None, 10_000).entries {
            let history = values.entry(pair.key).or_default();
            if history.last() != Some(&pair.value) {
                history.push(pair.value);
            }
        }
    }
}

/// Returns all values of each key that two simulations stored in the state service.
fn simulated_values() -> ValuesByKey {
    let mut values = ValuesByKey::new();
    let mut sim = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    sim.operator = OperatorSettings::parse("test", OPERATOR).expect("the file is valid");
    submit_jobs(&mut sim);
    sim.run_until(8_000);
    send_admin_requests(&mut sim);
    record_values(&mut sim, 90_000, &mut values);
    let mut sim = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    let text = "[loans]\ndurable = true\n";
    sim.operator = OperatorSettings::parse("test", text).expect("the file is valid");
    submit_lending_jobs(&mut sim);
    record_values(&mut sim, 200_000, &mut values);
    values
}

#[test]
fn stored_values_round_trip() {
    let values_by_key = simulated_values();
    let mut dump = String::new();
    for (kind, _) in KINDS {
        let mut keys =
            values_by_key.iter().filter(|(key, _)| kind_of(key) == Some(kind)).peekable();
        assert!(keys.peek().is_some(), "no value of kind {kind} was stored");
        for (key, values) in keys {
            // The longest value has most of the optional fields.
            let longest = values.iter().max_by_key(|v| v.to_string().len()).expect("a value");
            dump.push_str(&format!(
                "{key}\n{longest}\n{}\n\n",
                crate::to_hex(&swiftsail_protocol::encode(longest))
            ));
            for value in values {
                assert_eq!(reencode(kind, value).as_ref(), Some(value), "{key}");
            }
        }
    }
    for key in ["amount/0/of/all", "amount/0/of/seen-n0", "plug/evening/1/000", "sheet/000"] {
        assert!(values_by_key.contains_key(key), "no value of {key} was stored");
    }
    // What is recorded may have an earlier version; what is written now has the latest.
    assert_eq!(values_by_key["term/form"], [json!({"form": 2})]);
    let unknown: Vec<&String> = values_by_key.keys().filter(|key| kind_of(key).is_none()).collect();
    assert!(unknown.is_empty(), "keys of unknown kinds: {unknown:?}");
    let path = format!("{}/store.txt", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(path, dump).expect("the temporary folder is writable");
}

/// The values that a simulation stored before types were renamed. A simulation today need not store the same values.
#[test]
fn recorded_values_round_trip() {
    let recorded = crate::parse_entries(RECORDED);
    for (kind, _) in KINDS {
        let is_recorded = recorded.keys().any(|key| kind_of(key) == Some(kind));
        assert!(is_recorded, "no value of kind {kind} is recorded");
    }
    for (key, bytes) in recorded {
        let value: Value = swiftsail_protocol::decode(&bytes).expect("it is MessagePack");
        let reencoded = kind_of(&key).and_then(|kind| reencode(kind, &value));
        assert_eq!(
            reencoded.map(|v| swiftsail_protocol::encode(&v)),
            Some(bytes),
            "{key}: {value}"
        );
    }
}
