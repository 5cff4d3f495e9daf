//! Every message between processes, with and without its optional fields.

use crate::records::{hull, least_spec, whole_spec};
use crate::{Case, compare};
use serde_json::json;
use swiftsail_controller::job::{JobKind, JobSpec, Priority};
use swiftsail_protocol::cloud::{
    ListedMachine, ListedMachineStatus, MachineNames, MachinePage, MachineTypes,
    ProvisionMachinesRequest,
};
use swiftsail_protocol::controllers::{
    ForwardedAnswers, ForwardedReport, ForwardedReports, Heartbeat,
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

const RECORDED: &str = include_str!("fixtures/messages.txt");

/// A report with every field set.
pub fn report() -> StatusReport {
    StatusReport {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        sequence: 88,
        fencing_token: 41,
        reclaim_in_s: Some(30.5),
        tasks: shards(),
    }
}

fn shards() -> Vec<TaskStatus> {
    use ExitCause::*;
    let phases = [
        TaskPhase::Fetching,
        TaskPhase::WaitingForGang,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Unknown,
    ];
    let of = |n: usize, status, cause, stored| TaskStatus {
        task: format!("wk-000412/{n}"),
        attempt: 2,
        phase: status,
        exit_cause: cause,
        progress_saved: stored,
    };
    let mut all: Vec<TaskStatus> =
        phases.iter().enumerate().map(|(n, p)| of(n, *p, None, None)).collect();
    let causes = [
        Completed,
        Stopped,
        GangMemberLost,
        GangIncomplete,
        Failed,
        InsufficientResources,
        ConflictingAttempt,
        UnknownJob,
        Other,
    ];
    for (n, cause) in causes.into_iter().enumerate() {
        all.push(of(5 + n, TaskPhase::Exited, Some(cause), (cause == Stopped).then_some(true)));
    }
    all
}

/// A report without what may be left out.
pub fn short_report() -> StatusReport {
    StatusReport { spot: false, reclaim_in_s: None, tasks: Vec::new(), ..report() }
}

fn commands() -> Vec<Command> {
    let of = |verb, shard: &str, launch, ease_s| Command {
        kind: verb,
        task: shard.into(),
        attempt: launch,
        grace_s: ease_s,
    };
    vec![
        of(CommandKind::Start, "wk-000412/4", 2, None),
        of(CommandKind::Stop, "wk-000377/1", 1, Some(10.0)),
        of(CommandKind::Forget, "wk-000398/0", 1, None),
    ]
}

fn whole_beat() -> Heartbeat {
    Heartbeat {
        controller: "berth-1".into(),
        fencing_token: 41,
        is_leader: true,
        since_store_response_ms: 120,
        distributes_workers: true,
        cpu_load_permille: Some(310),
        machine_cpu_load_permille: Some(42),
        job_counts: vec![("wk-1".into(), 3, 13)],
        cluster_attributes: vec![1.0, 2.5],
        incarnation: 9_001,
        sequence: 17,
        required_leader_revision: Some(430),
        applied_through: 431,
        pending_cancellations: vec![("wk-2".into(), 432, 1_700_000_000_001)],
        pending_terminations: vec![("m-000231".into(), 1_700_000_000_002)],
        acknowledged_heartbeats: vec![("berth-2".into(), 9_002, 18)],
        format_version: 2,
        is_abridged: true,
    }
}

fn controllers() -> Vec<Case> {
    let whole = ForwardedReport::Full { report: Box::new(report()), content_hash: 5 };
    let same = ForwardedReport::Unchanged {
        machine: "m-000231".into(),
        session: 1,
        sequence: 89,
        content_hash: 6,
    };
    let batch = ForwardedReports {
        controller: "berth-1".into(),
        reports: vec![whole, same],
        locally_answered: Vec::new(),
    };
    let well = ForwardedReports {
        locally_answered: vec![("m-000232".to_string(), 1, 90, 7).into()],
        ..batch.clone()
    };
    let orders = vec![Some(commands()), Some(Vec::new()), None];
    let answers = ForwardedAnswers {
        fencing_token: 41,
        commands: orders,
        delegable_reports: vec![1],
        must_forward_machines: vec!["m-9".into()],
        delegation_ms: 800,
    };
    let least = ForwardedAnswers {
        delegable_reports: Vec::new(),
        must_forward_machines: Vec::new(),
        delegation_ms: 0,
        ..answers.clone()
    };
    vec![
        Case::message("beat", &whole_beat()),
        Case::message(
            "beat least",
            &Heartbeat { controller: "berth-1".into(), ..Heartbeat::default() },
        ),
        Case::message("batch", &batch),
        Case::message("batch with well machines", &well),
        Case::message("batch without anything", &ForwardedReports::default()),
        Case::message("answers", &answers),
        Case::message("answers least", &least),
    ]
}

fn workers() -> Vec<Case> {
    let redirect = |harbor: Option<&str>| Redirect { controller: harbor.map(str::to_string) };
    vec![
        Case::message("report", &report()),
        Case::message("report least", &short_report()),
        Case::message("orders", &HeartbeatResponse { fencing_token: 41, commands: commands() }),
        Case::message(
            "direct",
            &DirectCommands { fencing_token: 41, session: 1, commands: commands() },
        ),
        Case::message("redirect", &redirect(Some("berth-2"))),
        Case::message("redirect to nobody", &redirect(None)),
    ]
}

fn cloud() -> Vec<Case> {
    let rent = ProvisionMachinesRequest {
        request_id: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let listed = |status| ListedMachine {
        name: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        status,
        age_s: 61.5,
    };
    use ListedMachineStatus::*;
    let berths = [Booting, Running, Failed, Unknown].map(listed).into();
    vec![
        Case::message("machine types", &MachineTypes { machine_types: vec![hull()] }),
        Case::message("rental", &rent),
        Case::message("machines rented", &MachineNames { machines: vec!["m-000231".into()] }),
        Case::message("machine list", &MachinePage { machines: berths, has_next: true }),
        Case::message("machine list without anything", &MachinePage::default()),
    ]
}

fn state() -> Vec<Case> {
    let pair = |mooring| KeyValue {
        key: "a/b".into(),
        value: json!({"x": 1}),
        mod_revision: 412,
        lease: mooring,
    };
    let page = KeyPage { entries: vec![pair(Some(7)), pair(None)], has_next: true, revision: 431 };
    let put = |mooring| Mutation::Put { key: "a/b".into(), value: json!({"x": 1}), lease: mooring };
    let commit = Transaction {
        preconditions: vec![Precondition { key: "a/b".into(), mod_revision: 9 }],
        mutations: vec![put(Some(7)), put(None), Mutation::Delete { key: "c/d".into() }],
    };
    let item = |write: Option<&str>, remove: Option<&str>| WatchEvent {
        put_key: write.map(str::to_string),
        deleted_key: remove.map(str::to_string),
        value: write.map_or(json!(null), |_| json!({"x": 1})),
        mod_revision: 433,
    };
    let news = WatchResponse {
        revision: 434,
        events: vec![item(Some("c/9"), None), item(None, Some("c/d"))],
    };
    vec![
        Case::message("pair", &pair(Some(7))),
        Case::message("page", &page),
        Case::message("transaction", &commit),
        Case::message(
            "transaction taken",
            &TransactionResponse { revision: 432, failed_keys: vec!["a/b".into()] },
        ),
        Case::message("lease asked", &LeaseRequest { ttl_ms: 5_000 }),
        Case::message("lease", &LeaseResponse { lease: 7 }),
        Case::message("news", &news),
    ]
}

fn users() -> Vec<Case> {
    let answer = |status, done, running| JobStatusResponse {
        id: "wk-1".into(),
        status,
        tasks_done: done,
        tasks_running: running,
    };
    let spec = |kind, priority| JobSpec { kind, priority, ..least_spec() };
    let sent = |name: &str, spec: &JobSpec, awaits: &[&str]| {
        let awaits: Vec<_> = awaits.iter().map(|id| (*id).into()).collect();
        let mut case = Case::bytes(name, write_submission("wk-1", spec, &awaits));
        case.again = Some(Box::new(|bytes| {
            let found = read_submission(bytes).map_err(|e| e.to_string())?;
            let spec = found.spec.map_err(|e| e.to_string())?;
            Ok(write_submission(&found.id, &spec, &found.depends_on))
        }));
        case
    };
    vec![
        sent("submission", &whole_spec(), &[]),
        sent("submission that awaits", &whole_spec(), &["wk-2", "wk-3"]),
        sent("submission least", &least_spec(), &[]),
        sent("submission array low", &spec(JobKind::Array, Priority::Low), &[]),
        sent("submission array normal", &spec(JobKind::Array, Priority::Normal), &[]),
        sent("submission service", &spec(JobKind::Service, Priority::Production), &[]),
        Case::message("job pending", &answer(JobStatus::Pending, None, None)),
        Case::message("job running", &answer(JobStatus::Running, Some(3), Some(13))),
        Case::message("job done", &answer(JobStatus::Done, Some(16), Some(0))),
        Case::message("job withdrawn", &answer(JobStatus::Cancelled, None, None)),
        Case::message("problem", &ErrorResponse { error: "no such job".into() }),
    ]
}

#[test]
fn messages_are_written_and_read_as_before() {
    let parts = [controllers(), workers(), cloud(), state(), users()];
    let cases: Vec<Case> = parts.into_iter().flatten().collect();
    compare("messages.txt", RECORDED, &cases);
}
