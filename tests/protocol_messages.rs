//! Every wire format on generated inputs: round trips, unknown fields, hostile bodies, limits.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use serde_json::{Value, json};
use swiftsail_protocol::users::{is_valid_job_id, read_submission};
use swiftsail_protocol::workers::{Command, CommandKind, HeartbeatResponse, StatusReport};
use swiftsail_protocol::{controllers::Heartbeat, decode, encode, state};

fn encode_value(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("JSON has a MessagePack form")
}

fn valid_submission() -> Value {
    json!({"name_id":"wk-000412","jobclass":"train","crew":"vision","shape":"gang","rank":"high",
        "shards":16,"cpus":8.0,"accelerators":1,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "hulls":["g8"],"dock":null,"one_zone":true,"scatter":false,"driftwood":true,
        "eta_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0,"something_new":{"a":[1]}})
}

#[test]
fn a_sound_submission_is_read_whatever_else_it_holds() {
    let it = read_submission(&encode_value(&valid_submission())).expect("it is sound");
    let spec = it.spec.expect("every field is sound");
    assert_eq!((&*it.id, spec.tasks, spec.gpus), ("wk-000412", 16, 1.0));
    assert_eq!((spec.zone, spec.deadline_s), (None, Some(900.0)));
}

#[test]
fn each_bad_field_is_refused_but_the_id_is_known() {
    let bad = [
        ("shards", json!(0)),
        ("shards", json!(100_001)),
        ("shards", json!(-1)),
        ("shards", json!(1.5)),
        ("cpus", json!(-0.1)),
        ("cpus", json!("8")),
        ("memory_gb", Value::Null),
        ("shape", json!("heap")),
        ("rank", json!("normal")),
        ("hulls", json!("g8")),
        ("hulls", json!([1])),
        ("one_zone", json!(1)),
        ("due_s", json!(-5.0)),
        ("bundle", json!("")),
        ("crew", json!("x".repeat(500))),
    ];
    for (field, value) in bad {
        let mut body = valid_submission();
        body[field] = value.clone();
        let it = read_submission(&encode_value(&body)).expect("the id can be read");
        assert!(it.spec.is_err(), "{field} = {value}");
    }
    let mut nan = valid_submission();
    nan.as_object_mut().expect("a map").remove("cpus");
    let mut bytes = encode_value(&nan);
    bytes[1..3].copy_from_slice(&(nan.as_object().map_or(0, |o| o.len() as u16) + 1).to_be_bytes());
    bytes.extend(b"\xa4cpus\xcb\x7f\xf8\0\0\0\0\0\0");
    if let Ok(it) = read_submission(&bytes) {
        assert!(it.spec.is_err(), "NaN is no amount");
    }
    for id in ["", "wk-", "xx-1", "wk-1/2", "wk 1", "wk-é"] {
        assert!(!is_valid_job_id(id), "{id}");
    }
    assert!(read_submission(&vec![0x80; 70_000]).is_err(), "too large");
    assert!(read_submission(&encode_value(&json!([1, 2]))).is_err(), "not a map");
}

#[test]
fn hostile_bodies_are_refused_without_a_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    test_runner(9, 256)
        .run(&(bytes, 0..200usize, any::<u8>()), |(noise, at, flip)| {
            let _ = read_submission(&noise);
            let _ = decode::<StatusReport>(&noise);
            let _ = decode::<state::WatchResponse>(&noise);
            // A sound body with one byte changed, and one cut short.
            let mut body = encode_value(&valid_submission());
            let at = at % body.len();
            body[at] ^= flip;
            let _ = read_submission(&body);
            let _ = read_submission(&body[..at]);
            Ok(())
        })
        .unwrap();
}

#[test]
fn messages_survive_the_wire() {
    let orders = prop::collection::vec((0..3u8, "[a-z]{1,9}", any::<u64>(), 0.0..99.0f64), 0..20);
    test_runner(9, 256)
        .run(&(orders, any::<u64>(), 0..u64::MAX), |(orders, helm, age)| {
            let orders = orders.into_iter().map(|(verb, name, launch, ease)| Command {
                kind: [CommandKind::Start, CommandKind::Stop, CommandKind::Forget][verb as usize],
                task: format!("wk-{name}/3"),
                attempt: launch,
                grace_s: (verb == 1).then_some(ease),
            });
            let sent = HeartbeatResponse { fencing_token: helm, commands: orders.collect() };
            let got: HeartbeatResponse = decode(&encode(&sent)).expect("our own message is sound");
            prop_assert_eq!(got.fencing_token, sent.fencing_token);
            prop_assert_eq!(got.commands, sent.commands);
            let beat = Heartbeat {
                controller: "n".into(),
                fencing_token: helm,
                since_store_response_ms: age,
                ..Heartbeat::default()
            };
            prop_assert_eq!(decode::<Heartbeat>(&encode(&beat)).expect("sound"), beat);
            let commit = state::Transaction {
                preconditions: vec![state::Precondition { key: "a/b".into(), mod_revision: helm }],
                mutations: vec![
                    state::Mutation::Put {
                        key: "a".into(),
                        value: json!({"x": helm}),
                        lease: None,
                    },
                    state::Mutation::Delete { key: "c".into() },
                ],
            };
            prop_assert_eq!(decode::<state::Transaction>(&encode(&commit)).expect("sound"), commit);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_report_of_a_later_version_is_understood() {
    let body = json!({"berth":"m-1","watch":1,"tick":2,"helm":3,"recall_s":null,"colour":"red",
        "shards":[{"shard":"wk-1/0","launch":7,"status":"dreaming"},
                  {"shard":"wk-1/1","launch":7,"status":"exited","cause":"bored"}]});
    let report: StatusReport =
        decode(&encode_value(&body)).expect("unknown fields and words do no harm");
    assert_eq!(report.tasks.len(), 2);
}
