//! What controllers themselves keep in the state service: a world in simulated time, with everything switched on that
//! is stored, beside values that such a world held before.

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

/// The kinds of keys, and how each begins.
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

/// The kind of a key: the longest beginning counts.
fn kind(key: &str) -> Option<&'static str> {
    let found = KINDS.iter().filter(|(_, begins)| key.starts_with(begins));
    found.max_by_key(|(_, begins)| begins.len()).map(|(kind, _)| *kind)
}

fn plain<T: Serialize + DeserializeOwned>(value: &Value) -> Option<Value> {
    let found: T = serde_json::from_value(value.clone()).ok()?;
    serde_json::to_value(&found).ok()
}

fn versioned<T: Versioned>(value: &Value) -> Option<Value> {
    T::from_record("key", value).ok().map(|found| found.to_record())
}

/// A value read into today's type of its kind and written again.
fn again(kind: &str, value: &Value) -> Option<Value> {
    match kind {
        "job" => plain::<JobRecord>(value).or_else(|| plain::<FinalRecord>(value)),
        "end" => plain::<FinalRecord>(value),
        "chunk" => plain::<BindingChunk>(value),
        "sheet" => plain::<LogSegmentRecord>(value),
        "plug-in" => plain::<PluginRecord>(value),
        "source" => plain::<String>(value),
        "form" => (*value == json!({"form": 1})).then(|| value.clone()),
        "leader" => plain::<LeaderRecord>(value),
        "types" => plain::<MachineTypes>(value),
        "pool" => plain::<QuotaPool>(value),
        "holding" => plain::<QuotaHolding>(value),
        "tiers" => versioned::<TierTableRecord>(value),
        "plan" => versioned::<DeadlinePlan>(value),
        "arrival" => versioned::<Occurrence>(value),
        "took" => versioned::<StepDurations>(value),
        "loans" => versioned::<LenderRecord>(value),
        _ => None,
    }
}

fn load(world: &mut Simulation) {
    for n in 0..4 {
        let id = format!("wk-b{n}");
        world.submit(500 + n * 500, None, gpu_job_body(&id, "array", "lab", 8, 1.0, 400.0));
    }
    let mut count = job_body("wk-count", "array", "blue", 4, 1.0, 5.0);
    count["jobclass"] = "count".into();
    world.submit(14_000, None, count);
    world.submit(3_000, Some(40_000), job_body("wk-s1", "service", "red", 2, 1.0, 0.0));
    let mut after = job_body("wk-after", "array", "red", 2, 1.0, 30.0);
    after["awaits"] = json!(["wk-count"]);
    world.submit(20_000, None, after);
}

/// Fine-tuning borrows what serving is guaranteed, and gives it back.
fn lend(world: &mut Simulation) {
    for n in 0..4 {
        let id = format!("wk-t{n}");
        world.submit(500 + n * 900, None, gpu_job_body(&id, "gang", "tuning", 2, 1.0, 200.0));
    }
    for n in 0..3 {
        let mut body = gpu_job_body(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
        body["scatter"] = false.into();
        world.submit(90_000 + n * 2_000, Some(172_000 + n * 4_000), body);
    }
}

fn ask(world: &mut Simulation) {
    let node = leader_index(world);
    let node = node.expect("somebody leads");
    let source = "fn priority(job, cluster) { 1 }".to_string();
    let offer = PluginOffer { kind: PluginKind::Decision, source, precedence: 10, enable: true };
    let offer = serde_json::to_vec(&offer).expect("our own type");
    world.schedule_admin_request(8_100, node, AdminRequest::OfferPlugin("evening".into(), offer));
    let at_ms = 1_700_000_000_000 + world.now + 240_000;
    let arrival = json!({"name": "north", "chain": "lists", "at_ms": at_ms}).to_string();
    world.schedule_admin_request(8_200, node, AdminRequest::AddOccurrence(arrival.into_bytes()));
}

type Seen = BTreeMap<String, Vec<Value>>;

/// Plays a world on, and notes all values that each key of the state service holds on the way.
fn watch(world: &mut Simulation, until_ms: u64, seen: &mut Seen) {
    for at in (17..until_ms / 500).map(|n| n * 500) {
        world.run_until(at);
        for pair in world.store.list("", None, 10_000).entries {
            let held = seen.entry(pair.key).or_default();
            if held.last() != Some(&pair.value) {
                held.push(pair.value);
            }
        }
    }
}

/// All values of each key that were seen in the state service of two worlds.
fn seen() -> Seen {
    let mut seen = Seen::new();
    let mut world = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    world.operator = OperatorSettings::parse("test", OPERATOR).expect("the file is sound");
    load(&mut world);
    world.run_until(8_000);
    ask(&mut world);
    watch(&mut world, 90_000, &mut seen);
    let mut world = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    let text = "[loans]\ndurable = true\n";
    world.operator = OperatorSettings::parse("test", text).expect("the file is sound");
    lend(&mut world);
    watch(&mut world, 200_000, &mut seen);
    seen
}

#[test]
fn what_controllers_keep_is_read_and_written_as_it_is() {
    let seen = seen();
    let mut dump = String::new();
    for (of, _) in KINDS {
        let mut keys = seen.iter().filter(|(key, _)| kind(key) == Some(of)).peekable();
        assert!(keys.peek().is_some(), "nothing of kind {of} was kept");
        for (key, values) in keys {
            // The longest: most of what may be left out is there.
            let most = values.iter().max_by_key(|v| v.to_string().len()).expect("a value");
            dump.push_str(&format!(
                "{key}\n{most}\n{}\n\n",
                crate::to_hex(&swiftsail_protocol::encode(most))
            ));
            for value in values {
                assert_eq!(again(of, value).as_ref(), Some(value), "{key}");
            }
        }
    }
    for key in ["amount/0/of/all", "amount/0/of/seen-n0", "plug/evening/1/000", "sheet/000"] {
        assert!(seen.contains_key(key), "{key} is not kept");
    }
    let odd: Vec<&String> = seen.keys().filter(|key| kind(key).is_none()).collect();
    assert!(odd.is_empty(), "keys of no known kind: {odd:?}");
    let path = format!("{}/store.txt", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(path, dump).expect("the folder for trials can be written");
}

/// What a world held before the renaming; what a world holds today need not be the same.
#[test]
fn what_controllers_kept_before_is_read_and_written_as_it_was() {
    let held = crate::entries(RECORDED);
    for (of, _) in KINDS {
        assert!(held.keys().any(|key| kind(key) == Some(of)), "nothing of kind {of} is recorded");
    }
    for (key, bytes) in held {
        let value: Value = swiftsail_protocol::decode(&bytes).expect("it is MessagePack");
        let found = kind(&key).and_then(|of| again(of, &value));
        assert_eq!(found.map(|v| swiftsail_protocol::encode(&v)), Some(bytes), "{key}: {value}");
    }
}
