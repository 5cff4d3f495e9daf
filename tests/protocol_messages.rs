//! Wire formats on generated inputs: round trips, unknown fields, malformed bodies and limits.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use serde_json::{Value, json};
use swiftsail_protocol::users::{is_valid_job_id, read_submission};
use swiftsail_protocol::workers::{Command, CommandKind, HeartbeatResponse, StatusReport};
use swiftsail_protocol::{controllers::Heartbeat, decode, encode, state};

fn encode_value(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("JSON can be encoded as MessagePack")
}

fn valid_submission() -> Value {
    json!({"name_id":"wk-000412","jobclass":"train","crew":"vision","shape":"gang","rank":"high",
        "shards":16,"cpus":8.0,"accelerators":1,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "hulls":["g8"],"dock":null,"one_zone":true,"scatter":false,"driftwood":true,
        "eta_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0,"something_new":{"a":[1]}})
}

#[test]
fn valid_submission_with_unknown_fields_is_accepted() {
    let submission = read_submission(&encode_value(&valid_submission())).expect("the id is valid");
    let spec = submission.spec.expect("all fields are valid");
    assert_eq!((&*submission.id, spec.tasks, spec.gpus), ("wk-000412", 16, 1.0));
    assert_eq!((spec.zone, spec.deadline_s), (None, Some(900.0)));
}

#[test]
fn invalid_fields_are_rejected_and_id_is_kept() {
    let invalid = [
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
    for (field, value) in invalid {
        let mut body = valid_submission();
        body[field] = value.clone();
        let submission = read_submission(&encode_value(&body)).expect("the id can be read");
        assert!(submission.spec.is_err(), "{field} = {value}");
    }
    // JSON has no NaN, so the field is appended to the encoded map.
    let mut without_cpus = valid_submission();
    without_cpus.as_object_mut().expect("a map").remove("cpus");
    let mut bytes = encode_value(&without_cpus);
    bytes[1..3].copy_from_slice(
        &(without_cpus.as_object().map_or(0, |o| o.len() as u16) + 1).to_be_bytes(),
    );
    bytes.extend(b"\xa4cpus\xcb\x7f\xf8\0\0\0\0\0\0");
    if let Ok(submission) = read_submission(&bytes) {
        assert!(submission.spec.is_err(), "NaN is not a valid amount");
    }
    for id in ["", "wk-", "xx-1", "wk-1/2", "wk 1", "wk-é"] {
        assert!(!is_valid_job_id(id), "{id}");
    }
    assert!(read_submission(&vec![0x80; 70_000]).is_err(), "too large");
    assert!(read_submission(&encode_value(&json!([1, 2]))).is_err(), "not a map");
}

#[test]
fn malformed_bodies_do_not_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    test_runner(9, 256)
        .run(&(bytes, 0..200usize, any::<u8>()), |(noise, at, flip)| {
            let _ = read_submission(&noise);
            let _ = decode::<StatusReport>(&noise);
            let _ = decode::<state::WatchResponse>(&noise);
            // A valid body with one byte changed, and the same one truncated.
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
fn messages_round_trip() {
    let commands = prop::collection::vec((0..3u8, "[a-z]{1,9}", any::<u64>(), 0.0..99.0f64), 0..20);
    test_runner(9, 256)
        .run(&(commands, any::<u64>(), 0..u64::MAX), |(commands, token, age)| {
            let commands = commands.into_iter().map(|(kind, name, attempt, grace_s)| Command {
                kind: [CommandKind::Start, CommandKind::Stop, CommandKind::Forget][kind as usize],
                task: format!("wk-{name}/3"),
                attempt,
                grace_s: (kind == 1).then_some(grace_s),
            });
            let sent = HeartbeatResponse { fencing_token: token, commands: commands.collect() };
            let received: HeartbeatResponse = decode(&encode(&sent)).expect("valid message");
            prop_assert_eq!(received.fencing_token, sent.fencing_token);
            prop_assert_eq!(received.commands, sent.commands);
            let heartbeat = Heartbeat {
                controller: "n".into(),
                fencing_token: token,
                since_store_response_ms: age,
                ..Heartbeat::default()
            };
            prop_assert_eq!(
                decode::<Heartbeat>(&encode(&heartbeat)).expect("valid message"),
                heartbeat
            );
            let transaction = state::Transaction {
                preconditions: vec![state::Precondition { key: "a/b".into(), mod_revision: token }],
                mutations: vec![
                    state::Mutation::Put {
                        key: "a".into(),
                        value: json!({"x": token}),
                        lease: None,
                    },
                    state::Mutation::Delete { key: "c".into() },
                ],
            };
            let decoded: state::Transaction = decode(&encode(&transaction)).expect("valid message");
            prop_assert_eq!(decoded, transaction);
            Ok(())
        })
        .unwrap();
}

#[test]
fn report_of_later_version_is_accepted() {
    let body = json!({"berth":"m-1","watch":1,"tick":2,"helm":3,"recall_s":null,"colour":"red",
        "shards":[{"shard":"wk-1/0","launch":7,"status":"dreaming"},
                  {"shard":"wk-1/1","launch":7,"status":"exited","cause":"bored"}]});
    let report: StatusReport =
        decode(&encode_value(&body)).expect("unknown fields and values are ignored");
    assert_eq!(report.tasks.len(), 2);
}
