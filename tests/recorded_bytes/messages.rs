//! Every message between processes, with and without its optional fields.

use crate::records::{full_spec, machine_type, minimal_spec};
use crate::{Case, assert_matches_fixture};
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

/// A status report with every field set.
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
        tasks: task_statuses(),
    }
}

fn task_statuses() -> Vec<TaskStatus> {
    use ExitCause::*;
    let phases = [
        TaskPhase::Fetching,
        TaskPhase::WaitingForGang,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Unknown,
    ];
    let status = |n: usize, phase, exit_cause, progress_saved| TaskStatus {
        task: format!("wk-000412/{n}"),
        attempt: 2,
        phase,
        exit_cause,
        progress_saved,
    };
    let mut statuses: Vec<TaskStatus> =
        phases.iter().enumerate().map(|(n, phase)| status(n, *phase, None, None)).collect();
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
        let progress_saved = (cause == Stopped).then_some(true);
        statuses.push(status(5 + n, TaskPhase::Exited, Some(cause), progress_saved));
    }
    statuses
}

/// A status report without optional fields.
pub fn minimal_report() -> StatusReport {
    StatusReport { spot: false, reclaim_in_s: None, tasks: Vec::new(), ..report() }
}

fn commands() -> Vec<Command> {
    let command =
        |kind, task: &str, attempt, grace_s| Command { kind, task: task.into(), attempt, grace_s };
    vec![
        command(CommandKind::Start, "wk-000412/4", 2, None),
        command(CommandKind::Stop, "wk-000377/1", 1, Some(10.0)),
        command(CommandKind::Forget, "wk-000398/0", 1, None),
    ]
}

fn full_heartbeat() -> Heartbeat {
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
    let full = ForwardedReport::Full { report: Box::new(report()), content_hash: 5 };
    let unchanged = ForwardedReport::Unchanged {
        machine: "m-000231".into(),
        session: 1,
        sequence: 89,
        content_hash: 6,
    };
    let batch = ForwardedReports {
        controller: "berth-1".into(),
        reports: vec![full, unchanged],
        locally_answered: Vec::new(),
    };
    let with_local_answers = ForwardedReports {
        locally_answered: vec![("m-000232".to_string(), 1, 90, 7).into()],
        ..batch.clone()
    };
    let commands = vec![Some(commands()), Some(Vec::new()), None];
    let answers = ForwardedAnswers {
        fencing_token: 41,
        commands,
        delegable_reports: vec![1],
        must_forward_machines: vec!["m-9".into()],
        delegation_ms: 800,
    };
    let minimal = ForwardedAnswers {
        delegable_reports: Vec::new(),
        must_forward_machines: Vec::new(),
        delegation_ms: 0,
        ..answers.clone()
    };
    vec![
        Case::message("beat", &full_heartbeat()),
        Case::message(
            "beat least",
            &Heartbeat { controller: "berth-1".into(), ..Heartbeat::default() },
        ),
        Case::message("batch", &batch),
        Case::message("batch with well machines", &with_local_answers),
        Case::message("batch without anything", &ForwardedReports::default()),
        Case::message("answers", &answers),
        Case::message("answers least", &minimal),
    ]
}

fn workers() -> Vec<Case> {
    let redirect =
        |controller: Option<&str>| Redirect { controller: controller.map(str::to_string) };
    vec![
        Case::message("report", &report()),
        Case::message("report least", &minimal_report()),
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
    let request = ProvisionMachinesRequest {
        request_id: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let machine = |status| ListedMachine {
        name: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        status,
        age_s: 61.5,
    };
    use ListedMachineStatus::*;
    let machines = [Booting, Running, Failed, Unknown].map(machine).into();
    vec![
        Case::message("machine types", &MachineTypes { machine_types: vec![machine_type()] }),
        Case::message("rental", &request),
        Case::message("machines rented", &MachineNames { machines: vec!["m-000231".into()] }),
        Case::message("machine list", &MachinePage { machines, has_next: true }),
        Case::message("machine list without anything", &MachinePage::default()),
    ]
}

fn state() -> Vec<Case> {
    let key_value =
        |lease| KeyValue { key: "a/b".into(), value: json!({"x": 1}), mod_revision: 412, lease };
    let page = KeyPage {
        entries: vec![key_value(Some(7)), key_value(None)],
        has_next: true,
        revision: 431,
    };
    let put = |lease| Mutation::Put { key: "a/b".into(), value: json!({"x": 1}), lease };
    let transaction = Transaction {
        preconditions: vec![Precondition { key: "a/b".into(), mod_revision: 9 }],
        mutations: vec![put(Some(7)), put(None), Mutation::Delete { key: "c/d".into() }],
    };
    let event = |put_key: Option<&str>, deleted_key: Option<&str>| WatchEvent {
        put_key: put_key.map(str::to_string),
        deleted_key: deleted_key.map(str::to_string),
        value: put_key.map_or(json!(null), |_| json!({"x": 1})),
        mod_revision: 433,
    };
    let changes = WatchResponse {
        revision: 434,
        events: vec![event(Some("c/9"), None), event(None, Some("c/d"))],
    };
    vec![
        Case::message("pair", &key_value(Some(7))),
        Case::message("page", &page),
        Case::message("transaction", &transaction),
        Case::message(
            "transaction taken",
            &TransactionResponse { revision: 432, failed_keys: vec!["a/b".into()] },
        ),
        Case::message("lease asked", &LeaseRequest { ttl_ms: 5_000 }),
        Case::message("lease", &LeaseResponse { lease: 7 }),
        Case::message("news", &changes),
    ]
}

fn users() -> Vec<Case> {
    let response = |status, tasks_done, tasks_running| JobStatusResponse {
        id: "wk-1".into(),
        status,
        tasks_done,
        tasks_running,
    };
    let spec = |kind, priority| JobSpec { kind, priority, ..minimal_spec() };
    let submission = |name: &str, spec: &JobSpec, depends_on: &[&str]| {
        let depends_on: Vec<_> = depends_on.iter().map(|id| (*id).into()).collect();
        let mut case = Case::bytes(name, write_submission("wk-1", spec, &depends_on));
        case.reencode = Some(Box::new(|bytes| {
            let submission = read_submission(bytes).map_err(|e| e.to_string())?;
            let spec = submission.spec.map_err(|e| e.to_string())?;
            Ok(write_submission(&submission.id, &spec, &submission.depends_on))
        }));
        case
    };
    vec![
        submission("submission", &full_spec(), &[]),
        submission("submission that awaits", &full_spec(), &["wk-2", "wk-3"]),
        submission("submission least", &minimal_spec(), &[]),
        submission("submission array low", &spec(JobKind::Array, Priority::Low), &[]),
        submission("submission array normal", &spec(JobKind::Array, Priority::Normal), &[]),
        submission("submission service", &spec(JobKind::Service, Priority::Production), &[]),
        Case::message("job pending", &response(JobStatus::Pending, None, None)),
        Case::message("job running", &response(JobStatus::Running, Some(3), Some(13))),
        Case::message("job done", &response(JobStatus::Done, Some(16), Some(0))),
        Case::message("job withdrawn", &response(JobStatus::Cancelled, None, None)),
        Case::message("problem", &ErrorResponse { error: "no such job".into() }),
    ]
}

#[test]
fn messages_are_written_and_read_unchanged() {
    let parts = [controllers(), workers(), cloud(), state(), users()];
    let cases: Vec<Case> = parts.into_iter().flatten().collect();
    assert_matches_fixture("messages.txt", RECORDED, &cases);
}
