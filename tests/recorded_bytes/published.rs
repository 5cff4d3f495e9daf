//! The messages of the published protocol, word for word as its page shows them.

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

/// Whether what is written says all that is shown; null may be left out, and 8 is 8.0.
fn says(written: &Value, shown: &Value) -> bool {
    match (written, shown) {
        (Value::Object(w), Value::Object(s)) => {
            s.iter().all(|(key, value)| says(w.get(key).unwrap_or(&Value::Null), value))
        }
        (Value::Array(w), Value::Array(s)) => {
            w.len() == s.len() && w.iter().zip(s).all(|(w, s)| says(w, s))
        }
        (Value::Number(w), Value::Number(s)) => w.as_f64() == s.as_f64(),
        (written, shown) => written == shown,
    }
}

/// The message shown is read as this value, and this value is written as the message shown.
fn is_shown_as<T: Serialize + DeserializeOwned>(value: &T, shown: Value) {
    let bytes = rmp_serde::to_vec_named(&shown).expect("JSON has a MessagePack form");
    let found: T = decode(&bytes).expect("the published message is read");
    assert_eq!(encode(&found), encode(value), "{shown}");
    let written: Value = decode(&encode(value)).expect("it is MessagePack");
    assert!(says(&written, &shown), "{written} for {shown}");
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
    }
}

fn shown_submission() -> Value {
    json!({"name_id":"wk-000412","jobclass":"train","crew":"vision","shape":"gang","rank":"high",
        "shards":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "hulls":["g8"],"dock":null,"one_zone":true,"scatter":false,"driftwood":true,
        "eta_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0})
}

fn check_submission(spec: &JobSpec, shown: &Value) {
    let bytes = rmp_serde::to_vec_named(shown).expect("JSON has a MessagePack form");
    let found = read_submission(&bytes).expect("it is read");
    assert_eq!(&*found.id, "wk-000412");
    assert_eq!(&found.spec.expect("every field is sound"), spec);
    let written: Value = decode(&write_submission("wk-000412", spec, &[])).expect("MessagePack");
    assert!(says(&written, shown), "{written} for {shown}");
}

#[test]
fn submissions_are_as_published() {
    check_submission(&published_spec(), &shown_submission());
    let kinds = [("array", JobKind::Array), ("gang", JobKind::Gang), ("service", JobKind::Service)];
    for (shape, kind) in kinds {
        let mut shown = shown_submission();
        shown["shape"] = shape.into();
        check_submission(&JobSpec { kind, ..published_spec() }, &shown);
    }
    let ranks = [
        ("production", Priority::Production),
        ("high", Priority::High),
        ("standard", Priority::Normal),
        ("low", Priority::Low),
    ];
    for (rank, priority) in ranks {
        let mut shown = shown_submission();
        shown["rank"] = rank.into();
        check_submission(&JobSpec { priority, ..published_spec() }, &shown);
    }
}

#[test]
fn answers_to_users_are_as_published() {
    let of = |status, done, running| JobStatusResponse {
        id: "wk-000412".into(),
        status,
        tasks_done: done,
        tasks_running: running,
    };
    let shown = json!({"name_id":"wk-000412","status":"running","done":3,"running":13});
    is_shown_as(&of(JobStatus::Running, Some(3), Some(13)), shown);
    let statuses = [
        ("pending", JobStatus::Pending),
        ("running", JobStatus::Running),
        ("done", JobStatus::Done),
        ("withdrawn", JobStatus::Cancelled),
    ];
    for (shown, status) in statuses {
        is_shown_as(&of(status, None, None), json!({"name_id":"wk-000412","status":shown}));
    }
    for error in ["no capacity", "trouble", "no such lease"] {
        is_shown_as(&ErrorResponse { error: error.into() }, json!({ "error": error }));
    }
}

fn shard(shard: &str, launch: u64, status: TaskPhase, cause: Option<ExitCause>) -> TaskStatus {
    TaskStatus {
        task: shard.into(),
        attempt: launch,
        phase: status,
        exit_cause: cause,
        progress_saved: None,
    }
}

#[test]
fn reports_are_as_published() {
    let shards = vec![
        shard("wk-000412/3", 2, TaskPhase::Running, None),
        shard("wk-000398/0", 1, TaskPhase::Exited, Some(ExitCause::Completed)),
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
        tasks: shards,
    };
    let shown = json!({"berth":"m-000231","addr":"10.1.0.232:9000","hull":"g8","dock":"a",
        "driftwood":true,"watch":1,"tick":88,"helm":41,"recall_s":null,
        "shards":[{"shard":"wk-000412/3","launch":2,"status":"running"},
                  {"shard":"wk-000398/0","launch":1,"status":"exited","cause":"done"}]});
    is_shown_as(&report, shown);
}

#[test]
fn states_and_causes_of_tasks_are_as_published() {
    let phases = [
        ("fetching", TaskPhase::Fetching),
        ("gathering", TaskPhase::WaitingForGang),
        ("running", TaskPhase::Running),
        ("saving", TaskPhase::Saving),
        ("exited", TaskPhase::Exited),
    ];
    for (word, phase) in phases {
        let shown = json!({"shard":"wk-1/0","launch":1,"status":word});
        is_shown_as(&shard("wk-1/0", 1, phase, None), shown);
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
        let shown = json!({"shard":"wk-1/0","launch":1,"status":"exited","cause":word});
        is_shown_as(&shard("wk-1/0", 1, TaskPhase::Exited, Some(cause)), shown);
    }
    let shown =
        json!({"shard":"wk-1/0","launch":1,"status":"exited","cause":"halted","stored":true});
    let saved = TaskStatus {
        progress_saved: Some(true),
        ..shard("wk-1/0", 1, TaskPhase::Exited, Some(ExitCause::Stopped))
    };
    is_shown_as(&saved, shown);
}

#[test]
fn commands_are_as_published() {
    let of = |verb, shard: &str, launch, ease_s| Command {
        kind: verb,
        task: shard.into(),
        attempt: launch,
        grace_s: ease_s,
    };
    let orders = vec![
        of(CommandKind::Start, "wk-000412/4", 2, None),
        of(CommandKind::Stop, "wk-000377/1", 1, Some(10.0)),
        of(CommandKind::Forget, "wk-000398/0", 1, None),
    ];
    let shown = json!([{"verb":"start","shard":"wk-000412/4","launch":2},
        {"verb":"stop","shard":"wk-000377/1","launch":1,"ease_s":10},
        {"verb":"reap","shard":"wk-000398/0","launch":1}]);
    is_shown_as(
        &HeartbeatResponse { fencing_token: 41, commands: orders.clone() },
        json!({"helm":41,"orders":shown}),
    );
    let direct = json!({"helm":41,"watch":1,"orders":shown});
    is_shown_as(&DirectCommands { fencing_token: 41, session: 1, commands: orders }, direct);
    is_shown_as(&Redirect { controller: Some("berth-2".into()) }, json!({"harbor":"berth-2"}));
    is_shown_as(&Redirect { controller: None }, json!({}));
}

#[test]
fn messages_of_the_cloud_are_as_published() {
    let hull = ListedMachineType {
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
    let shown = json!({"hulls":[{"sku":"g8","cpus":96,"accelerators":8,"memory_gb":768,
        "cache_gb":200,"fetch_gb_per_s":1.0,"price":12.0,"market_price":4.5,"boot_s":45,
        "docks":["a","b"]}]});
    is_shown_as(&MachineTypes { machine_types: vec![hull] }, shown);
    let (hull, dock) = ("g8".to_string(), "a".to_string());
    let rent = ProvisionMachinesRequest {
        request_id: "r-17".into(),
        machine_type: hull,
        zone: dock,
        spot: true,
        count: 12,
    };
    let shown = json!({"charter":"r-17","hull":"g8","dock":"a","driftwood":true,"number":12});
    is_shown_as(&rent, shown);
    is_shown_as(
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
        let listed = ListedMachine {
            name: "m-000231".into(),
            address: "10.1.0.232:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            status,
            age_s: 61.5,
        };
        let shown = json!({"berths":[{"name_id":"m-000231","addr":"10.1.0.232:9000","hull":"g8",
            "dock":"a","driftwood":true,"status":word,"held_s":61.5}],"has_next":false});
        is_shown_as(&MachinePage { machines: vec![listed], has_next: false }, shown);
    }
}

#[test]
fn messages_of_the_state_service_are_as_published() {
    let pair =
        KeyValue { key: "a/b".into(), value: json!({"x":1}), mod_revision: 412, lease: Some(7) };
    let shown = json!({"key":"a/b","value":{"x":1},"stamp":412,"mooring":7});
    is_shown_as(&pair, shown.clone());
    let page = KeyPage { entries: vec![pair], has_next: true, revision: 431 };
    is_shown_as(&page, json!({"pairs":[shown],"has_next":true,"epoch":431}));
    let put = Mutation::Put { key: "a/b".into(), value: json!({"x":1}), lease: Some(7) };
    let commit = Transaction {
        preconditions: vec![Precondition { key: "a/b".into(), mod_revision: 0 }],
        mutations: vec![put, Mutation::Delete { key: "c/d".into() }],
    };
    let shown = json!({"when":[{"key":"a/b","stamp":0}],
        "apply":[{"write":"a/b","value":{"x":1},"mooring":7},{"remove":"c/d"}]});
    is_shown_as(&commit, shown);
    is_shown_as(&TransactionResponse { revision: 432, failed_keys: vec![] }, json!({"epoch":432}));
    let refused = TransactionResponse { revision: 431, failed_keys: vec!["a/b".into()] };
    is_shown_as(&refused, json!({"failed":["a/b"],"epoch":431}));
    is_shown_as(&LeaseRequest { ttl_ms: 5_000 }, json!({"ttl_ms":5000}));
    is_shown_as(&LeaseResponse { lease: 7 }, json!({"mooring":7}));
    let put = WatchEvent {
        put_key: Some("c/9".into()),
        deleted_key: None,
        value: json!({"x":1}),
        mod_revision: 433,
    };
    let gone = WatchEvent {
        put_key: None,
        deleted_key: Some("c/d".into()),
        value: Value::Null,
        mod_revision: 432,
    };
    let shown = json!({"epoch":433,"news":[{"write":"c/9","value":{"x":1},"stamp":433},
        {"remove":"c/d","stamp":432}]});
    is_shown_as(&WatchResponse { revision: 433, events: vec![put, gone] }, shown);
}
