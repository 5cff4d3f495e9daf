//! The messages of the published protocol, exactly as its documentation shows them.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use swiftsail_controller::job::{JobKind, JobSpec, Priority};
use swiftsail_protocol::cloud::{
    ListedMachine, ListedMachineStatus, ListedMachineType, MachineNames, MachinePage, MachineTypes,
    ProvisionMachinesRequest,
};
use swiftsail_protocol::state::{
    KeyPage, KeyValue, LeaseRequest, LeaseResponse, Mutation, Precondition, Transaction,
    TransactionResponse, WatchEvent, WatchResponse,
};
use swiftsail_protocol::users::{
    ErrorResponse, JobStatus, JobStatusResponse, read_submission, write_submission,
};
use swiftsail_protocol::workers::{
    Command, CommandKind, DirectCommands, ExitCause, HeartbeatResponse, Redirect, StatusReport,
    TaskPhase, TaskStatus,
};
use swiftsail_protocol::{decode, encode};

/// Whether a written message contains everything that the published one does. Null fields may be omitted, and 8 equals
/// 8.0.
fn contains_all(written: &Value, published: &Value) -> bool {
    match (written, published) {
        (Value::Object(w), Value::Object(p)) => {
            p.iter().all(|(key, value)| contains_all(w.get(key).unwrap_or(&Value::Null), value))
        }
        (Value::Array(w), Value::Array(p)) => {
            w.len() == p.len() && w.iter().zip(p).all(|(w, p)| contains_all(w, p))
        }
        (Value::Number(w), Value::Number(p)) => w.as_f64() == p.as_f64(),
        (written, published) => written == published,
    }
}

/// Asserts that the published message is read as this value, and that this value is written as the published message.
fn assert_published_as<T: Serialize + DeserializeOwned>(value: &T, published: Value) {
    let bytes = rmp_serde::to_vec_named(&published).expect("JSON has a MessagePack form");
    let decoded: T = decode(&bytes).expect("the published message is read");
    assert_eq!(encode(&decoded), encode(value), "{published}");
    let written: Value = decode(&encode(value)).expect("it is MessagePack");
    assert!(contains_all(&written, &published), "{written} for {published}");
}

fn published_spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        runtime_estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_duration_s: 4.0,
        deadline_s: Some(900.0),
        task_name_bytes: 0,
    }
}

fn published_submission() -> Value {
    json!({"name_id":"wk-000412","jobclass":"train","crew":"vision","shape":"gang","rank":"high",
        "shards":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "hulls":["g8"],"dock":null,"one_zone":true,"scatter":false,"driftwood":true,
        "eta_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0})
}

fn assert_submission_published_as(spec: &JobSpec, published: &Value) {
    let bytes = rmp_serde::to_vec_named(published).expect("JSON has a MessagePack form");
    let submission = read_submission(&bytes).expect("it is read");
    assert_eq!(&*submission.id, "wk-000412");
    assert_eq!(&submission.spec.expect("every field is valid"), spec);
    let written: Value = decode(&write_submission("wk-000412", spec, &[])).expect("MessagePack");
    assert!(contains_all(&written, published), "{written} for {published}");
}

#[test]
fn submissions_are_as_published() {
    assert_submission_published_as(&published_spec(), &published_submission());
    let kinds = [("array", JobKind::Array), ("gang", JobKind::Gang), ("service", JobKind::Service)];
    for (shape, kind) in kinds {
        let mut published = published_submission();
        published["shape"] = shape.into();
        assert_submission_published_as(&JobSpec { kind, ..published_spec() }, &published);
    }
    let ranks = [
        ("production", Priority::Production),
        ("high", Priority::High),
        ("standard", Priority::Normal),
        ("low", Priority::Low),
    ];
    for (rank, priority) in ranks {
        let mut published = published_submission();
        published["rank"] = rank.into();
        assert_submission_published_as(&JobSpec { priority, ..published_spec() }, &published);
    }
}

#[test]
fn responses_to_users_are_as_published() {
    let response = |status, tasks_done, tasks_running| JobStatusResponse {
        id: "wk-000412".into(),
        status,
        tasks_done,
        tasks_running,
    };
    let published = json!({"name_id":"wk-000412","status":"running","done":3,"running":13});
    assert_published_as(&response(JobStatus::Running, Some(3), Some(13)), published);
    let statuses = [
        ("pending", JobStatus::Pending),
        ("running", JobStatus::Running),
        ("done", JobStatus::Done),
        ("withdrawn", JobStatus::Cancelled),
    ];
    for (word, status) in statuses {
        assert_published_as(
            &response(status, None, None),
            json!({"name_id":"wk-000412","status":word}),
        );
    }
    for error in ["no capacity", "trouble", "no such lease"] {
        assert_published_as(&ErrorResponse { error: error.into() }, json!({ "error": error }));
    }
}

fn task_status(
    task: &str,
    attempt: u64,
    phase: TaskPhase,
    exit_cause: Option<ExitCause>,
) -> TaskStatus {
    TaskStatus { task: task.into(), attempt, phase, exit_cause, progress_saved: None }
}

#[test]
fn reports_are_as_published() {
    let tasks = vec![
        task_status("wk-000412/3", 2, TaskPhase::Running, None),
        task_status("wk-000398/0", 1, TaskPhase::Exited, Some(ExitCause::Completed)),
    ];
    let report = StatusReport {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        sequence: 88,
        fencing_token: 41,
        reclaim_in_s: None,
        tasks,
    };
    let published = json!({"berth":"m-000231","addr":"10.1.0.232:9000","hull":"g8","dock":"a",
        "driftwood":true,"watch":1,"tick":88,"helm":41,"recall_s":null,
        "shards":[{"shard":"wk-000412/3","launch":2,"status":"running"},
                  {"shard":"wk-000398/0","launch":1,"status":"exited","cause":"done"}]});
    assert_published_as(&report, published);
}

#[test]
fn task_phases_and_exit_causes_are_as_published() {
    let phases = [
        ("fetching", TaskPhase::Fetching),
        ("gathering", TaskPhase::WaitingForGang),
        ("running", TaskPhase::Running),
        ("saving", TaskPhase::Saving),
        ("exited", TaskPhase::Exited),
    ];
    for (word, phase) in phases {
        let published = json!({"shard":"wk-1/0","launch":1,"status":word});
        assert_published_as(&task_status("wk-1/0", 1, phase, None), published);
    }
    let causes = [
        ("done", ExitCause::Completed),
        ("halted", ExitCause::Stopped),
        ("mates_gone", ExitCause::GangMemberLost),
        ("alone", ExitCause::GangIncomplete),
        ("error", ExitCause::Failed),
        ("no_room", ExitCause::InsufficientResources),
        ("in_use", ExitCause::ConflictingAttempt),
        ("no_such", ExitCause::UnknownJob),
    ];
    for (word, cause) in causes {
        let published = json!({"shard":"wk-1/0","launch":1,"status":"exited","cause":word});
        assert_published_as(&task_status("wk-1/0", 1, TaskPhase::Exited, Some(cause)), published);
    }
    let published =
        json!({"shard":"wk-1/0","launch":1,"status":"exited","cause":"halted","stored":true});
    let saved = TaskStatus {
        progress_saved: Some(true),
        ..task_status("wk-1/0", 1, TaskPhase::Exited, Some(ExitCause::Stopped))
    };
    assert_published_as(&saved, published);
}

#[test]
fn commands_are_as_published() {
    let command =
        |kind, task: &str, attempt, grace_s| Command { kind, task: task.into(), attempt, grace_s };
    let commands = vec![
        command(CommandKind::Start, "wk-000412/4", 2, None),
        command(CommandKind::Stop, "wk-000377/1", 1, Some(10.0)),
        command(CommandKind::Forget, "wk-000398/0", 1, None),
    ];
    let published = json!([{"verb":"start","shard":"wk-000412/4","launch":2},
        {"verb":"stop","shard":"wk-000377/1","launch":1,"ease_s":10},
        {"verb":"reap","shard":"wk-000398/0","launch":1}]);
    assert_published_as(
        &HeartbeatResponse { fencing_token: 41, commands: commands.clone() },
        json!({"helm":41,"orders":published}),
    );
    let direct = json!({"helm":41,"watch":1,"orders":published});
    assert_published_as(&DirectCommands { fencing_token: 41, session: 1, commands }, direct);
    assert_published_as(
        &Redirect { controller: Some("berth-2".into()) },
        json!({"harbor":"berth-2"}),
    );
    assert_published_as(&Redirect { controller: None }, json!({}));
}

#[test]
fn messages_of_the_cloud_are_as_published() {
    let machine_type = ListedMachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        image_fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    let published = json!({"hulls":[{"sku":"g8","cpus":96,"accelerators":8,"memory_gb":768,
        "cache_gb":200,"fetch_gb_per_s":1.0,"price":12.0,"market_price":4.5,"boot_s":45,
        "docks":["a","b"]}]});
    assert_published_as(&MachineTypes { machine_types: vec![machine_type] }, published);
    let request = ProvisionMachinesRequest {
        request_id: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let published = json!({"charter":"r-17","hull":"g8","dock":"a","driftwood":true,"number":12});
    assert_published_as(&request, published);
    assert_published_as(
        &MachineNames { machines: vec!["m-000231".into()] },
        json!({"berths":["m-000231"]}),
    );
}

#[test]
fn the_list_of_machines_is_as_published() {
    let states = [
        ("starting", ListedMachineStatus::Booting),
        ("running", ListedMachineStatus::Running),
        ("failed", ListedMachineStatus::Failed),
    ];
    for (word, status) in states {
        let machine = ListedMachine {
            name: "m-000231".into(),
            address: "10.1.0.232:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            status,
            age_s: 61.5,
        };
        let published = json!({"berths":[{"name_id":"m-000231","addr":"10.1.0.232:9000","hull":"g8",
            "dock":"a","driftwood":true,"status":word,"held_s":61.5}],"has_next":false});
        assert_published_as(&MachinePage { machines: vec![machine], has_next: false }, published);
    }
}

#[test]
fn messages_of_the_state_service_are_as_published() {
    let key_value =
        KeyValue { key: "a/b".into(), value: json!({"x":1}), mod_revision: 412, lease: Some(7) };
    let published = json!({"key":"a/b","value":{"x":1},"stamp":412,"mooring":7});
    assert_published_as(&key_value, published.clone());
    let page = KeyPage { entries: vec![key_value], has_next: true, revision: 431 };
    assert_published_as(&page, json!({"pairs":[published],"has_next":true,"epoch":431}));
    let put = Mutation::Put { key: "a/b".into(), value: json!({"x":1}), lease: Some(7) };
    let transaction = Transaction {
        preconditions: vec![Precondition { key: "a/b".into(), mod_revision: 0 }],
        mutations: vec![put, Mutation::Delete { key: "c/d".into() }],
    };
    let published = json!({"when":[{"key":"a/b","stamp":0}],
        "apply":[{"write":"a/b","value":{"x":1},"mooring":7},{"remove":"c/d"}]});
    assert_published_as(&transaction, published);
    assert_published_as(
        &TransactionResponse { revision: 432, failed_keys: vec![] },
        json!({"epoch":432}),
    );
    let conflict = TransactionResponse { revision: 431, failed_keys: vec!["a/b".into()] };
    assert_published_as(&conflict, json!({"failed":["a/b"],"epoch":431}));
    assert_published_as(&LeaseRequest { ttl_ms: 5_000 }, json!({"ttl_ms":5000}));
    assert_published_as(&LeaseResponse { lease: 7 }, json!({"mooring":7}));
    let put = WatchEvent {
        put_key: Some("c/9".into()),
        deleted_key: None,
        value: json!({"x":1}),
        mod_revision: 433,
    };
    let deletion = WatchEvent {
        put_key: None,
        deleted_key: Some("c/d".into()),
        value: Value::Null,
        mod_revision: 432,
    };
    let published = json!({"epoch":433,"news":[{"write":"c/9","value":{"x":1},"stamp":433},
        {"remove":"c/d","stamp":432}]});
    assert_published_as(&WatchResponse { revision: 433, events: vec![put, deletion] }, published);
}
