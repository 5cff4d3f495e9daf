//! Every type of record in the state service, in each of its states.

use crate::{Case, assert_matches_fixture};
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::LogSegmentRecord;
use swiftsail_controller::job::{
    Binding, BindingChunk, BindingRun, FinalRecord, FinalState, JobKind, JobRecord, JobSpec,
    Priority, StoredJob,
};
use swiftsail_controller::leadership::LeaderRecord;
use swiftsail_deadline_planning::tracker::StepDurations;
use swiftsail_deadline_planning::{
    ChainDefinition, DeadlinePlan, Occurrence, OccurrenceStep, ScheduleEntry, StepDefinition,
    StepPhase,
};
use swiftsail_gpu_lending::{GpuLoan, GpuLoans, LenderRecord, LoanObservation};
use swiftsail_policy::hooks::Hook;
use swiftsail_policy::plugin::{PluginKind, PluginRecord, PluginState};
use swiftsail_protocol::cloud::{ListedMachineType, MachineTypes};
use swiftsail_quota::records::{QuotaHolding, QuotaPool, TeamQuota};
use swiftsail_quota::{Quantity, ResourceQuantities};
use swiftsail_tiers::{TierDefinition, TierTableRecord};

const RECORDED: &str = include_str!("fixtures/records.txt");

/// A job spec with all optional fields, in which neighbouring fields of the same type differ.
pub fn full_spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.5,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
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

/// A job spec without optional fields and with the flags inverted.
pub fn minimal_spec() -> JobSpec {
    JobSpec {
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        task_name_bytes: 0,
        ..full_spec()
    }
}

fn job() -> JobRecord {
    JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_700_000_000_001,
        chunk_tasks: 400,
        write_number: 77,
        tier: None,
        depends_on: Vec::new(),
        spec: full_spec(),
    }
}

fn jobs() -> Vec<Case> {
    let of = |name: &str, record: JobRecord| Case::record(name, &record);
    let spec = |kind, priority| JobSpec { kind, priority, ..minimal_spec() };
    vec![
        of("job live", job()),
        of("job least", JobRecord { spec: minimal_spec(), ..job() }),
        of(
            "job cancelled",
            JobRecord { cancelled: true, cancelled_wall: 1_700_000_000_502, ..job() },
        ),
        of("job of a tier", JobRecord { tier: Some("core".into()), ..job() }),
        of(
            "job that awaits",
            JobRecord { depends_on: vec!["wk-1".into(), "wk-2".into()], ..job() },
        ),
        of("job array low", JobRecord { spec: spec(JobKind::Array, Priority::Low), ..job() }),
        of("job array normal", JobRecord { spec: spec(JobKind::Array, Priority::Normal), ..job() }),
        of(
            "job service",
            JobRecord { spec: spec(JobKind::Service, Priority::Production), ..job() },
        ),
    ]
}

fn final_records() -> Vec<Case> {
    let record = |state, done, ended_wall| FinalRecord { state, done, ended_wall };
    vec![
        Case::record("end done", &record(FinalState::Done, 16, Some(1_700_000_000_903))),
        Case::record("end cancelled", &record(FinalState::Cancelled, 3, Some(1_700_000_000_904))),
        Case::record("end of an earlier version", &record(FinalState::Done, 16, None)),
    ]
}

fn binding(task: u32) -> Binding {
    Binding { task, attempt: 1001, machine: "m-000231".into(), worker_session: 2 }
}

fn bindings() -> Vec<Case> {
    let chunk = BindingChunk {
        write_number: 5,
        covers: 1002,
        done: vec![(0, 3), (7, 9)],
        bindings: vec![binding(4)],
        runs: Vec::new(),
    };
    let runs = vec![BindingRun { first: binding(10), last_task: 41 }];
    let jobs = [("wk-1", vec![binding(4), binding(5)]), ("wk-2", vec![binding(0)])];
    let segment = LogSegmentRecord {
        write_number: 6,
        bindings: jobs.map(|(job, bindings)| (job.to_string(), bindings)).into(),
    };
    vec![
        Case::record("binding", &binding(4)),
        Case::record("chunk", &chunk),
        Case::record("chunk without anything", &BindingChunk::default()),
        Case::record("chunk with a run", &BindingChunk { runs, ..chunk }),
        Case::record("sheet", &segment),
        Case::record("sheet without anything", &LogSegmentRecord::default()),
    ]
}

/// A machine type in which neighbouring fields of the same type differ.
pub fn machine_type() -> ListedMachineType {
    ListedMachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        image_fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn leader_and_machine_types() -> Vec<Case> {
    let leader = LeaderRecord { node: "berth-2".into(), incarnation: 9_001, lease: 7 };
    vec![
        Case::record("leader", &leader),
        Case::record("types", &MachineTypes { machine_types: vec![machine_type()] }),
        Case::record("no types", &MachineTypes::default()),
    ]
}

fn quotas() -> Vec<Case> {
    let quantities = |cpus, gpus| ResourceQuantities {
        cpus: Quantity::from_units(cpus),
        gpus: Quantity::from_units(gpus),
    };
    let quota = TeamQuota {
        limit: quantities(40_000_000_000, 2),
        target: quantities(30, 1),
        free: quantities(7, 5),
    };
    let by_team = |team: &str, quantities| BTreeMap::from([(team.to_string(), quantities)]);
    let holding = QuotaHolding {
        last_transaction: (41, 3),
        held: by_team("red", quantities(11, 12)),
        configured_limits: by_team("blue", quantities(13, 14)),
    };
    vec![
        Case::record("pool", &QuotaPool { teams: BTreeMap::from([("red".to_string(), quota)]) }),
        Case::record("pool without teams", &QuotaPool::default()),
        Case::record("holding", &holding),
        Case::record("holding without anything", &QuotaHolding::default()),
    ]
}

fn tiers() -> Vec<Case> {
    let tier =
        |name: &str, ordered| TierDefinition { name: name.into(), when: "true".into(), ordered };
    let tiers = vec![tier("core", true), tier("other", false)];
    vec![
        Case::versioned("tiers", &TierTableRecord { format_version: 0, version: 7, tiers }),
        Case::versioned("tiers built in", &TierTableRecord::default()),
    ]
}

fn plan() -> DeadlinePlan {
    let entry = ScheduleEntry {
        name: "north".into(),
        yard: "norrkoping".into(),
        haulier: "nord-frakt".into(),
        chain: "lists".into(),
        at: "06:30".into(),
        zone: "Europe/Stockholm".into(),
        days: vec!["mon".into()],
        on: None,
        except: vec!["2026-12-24".into()],
    };
    let once = ScheduleEntry {
        days: vec![],
        on: Some("2026-12-23".into()),
        except: vec![],
        ..entry.clone()
    };
    let step = |name: &str, after: &[&str]| StepDefinition {
        name: name.into(),
        when: "true".into(),
        after: after.iter().map(|a| a.to_string()).collect(),
        margin_s: 120.0,
    };
    let steps = vec![step("count", &[]), step("list", &["count"])];
    let chains = vec![ChainDefinition { name: "lists".into(), steps }];
    DeadlinePlan { format_version: 0, version: 3, entries: vec![entry, once], chains }
}

fn dispatch_records() -> Vec<Case> {
    let (due_at, retention_ms) = (1_700_000_600_000, 60_000);
    let steps = |phases: &[StepPhase]| {
        let mut step = OccurrenceStep::new("count", 1_700_000_500_000, 1_700_000_400_000);
        for phase in phases {
            assert!(step.advance_phase(*phase, Some("wk-1")), "{phase:?}");
            step.accepted_at = 1_700_000_300_000;
        }
        vec![step]
    };
    let (pending, submitted) = (vec![], vec![StepPhase::Submitted]);
    let done = vec![StepPhase::Submitted, StepPhase::Done];
    let cases = [
        ("arrival foreseen", pending.clone(), due_at - 9, false),
        ("arrival under way", submitted.clone(), due_at - 9, false),
        ("arrival late", submitted.clone(), due_at - 9, true),
        ("arrival ready", done, due_at - 9, false),
        ("arrival missed", submitted, due_at, false),
        ("arrival past", pending, due_at + retention_ms, false),
    ];
    let arrival = |(name, phases, now, is_late): (&str, Vec<StepPhase>, u64, bool)| {
        let mut occurrence = Occurrence::new("north", "lists", due_at, steps(&phases));
        occurrence.advance_phase(now, is_late, retention_ms);
        occurrence.lateness_warning = is_late.then(|| ("count".into(), "no room".into()));
        Case::versioned(name, &occurrence)
    };
    let mut cases: Vec<Case> = cases.map(arrival).into();
    cases.push(Case::versioned("took", &StepDurations { samples_ms: vec![61_000, 62_000] }));
    cases.push(Case::versioned("plan", &plan()));
    cases.push(Case::versioned("plan without anything", &DeadlinePlan::default()));
    cases
}

/// Returns the record of a lender with one loan, after these observations of whether lender and borrower are on the
/// machine. `confirm`: the request of the loan was committed before.
fn lender_record(confirm: bool, history: &[(bool, bool)]) -> LenderRecord {
    let now = 1_700_000_000_000;
    let mut loans = GpuLoans::default();
    assert!(loans.request_loan("wk-l", "wk-b", &[("m-000231".into(), 2.0)], now));
    if confirm {
        loans.on_committed("wk-l", now + 1);
    }
    let mut record = loans.lender_record("wk-l").expect("a loan was requested").clone();
    for (n, (lender_on_machine, borrower_on_machine)) in history.iter().copied().enumerate() {
        let observation = LoanObservation {
            lender_is_live: true,
            borrower_is_live: true,
            borrower_is_waiting: true,
            machine_is_available: lender_on_machine || borrower_on_machine || confirm,
            lender_on_machine,
            borrower_on_machine,
            lender_is_waiting: true,
        };
        record.loans.iter_mut().for_each(|loan: &mut GpuLoan| {
            assert!(loan.advance_phase(observation, now + 100 + n as u64));
        });
    }
    record
}

fn loans() -> Vec<Case> {
    let history = [(false, false), (false, true), (false, false), (true, false)];
    vec![
        Case::versioned("loan asked", &lender_record(false, &[])),
        Case::versioned("loan stopping", &lender_record(true, &[])),
        Case::versioned("loan gone", &lender_record(true, &history[..1])),
        Case::versioned("loan serving", &lender_record(true, &history[..2])),
        Case::versioned("loan ending", &lender_record(true, &history[..3])),
        Case::versioned("loan back", &lender_record(true, &history)),
        Case::versioned("loan dropped", &lender_record(false, &history[..1])),
        Case::versioned("nothing lent", &LenderRecord::default()),
    ]
}

/// A plug-in's record.
pub fn plugin(kind: PluginKind, state: PluginState, reason: Option<&str>) -> PluginRecord {
    PluginRecord {
        name: "evening".into(),
        kind,
        state,
        version: 3,
        hash: "ab12".into(),
        precedence: 10,
        chunks: 2,
        hooks: Hook::ALL.into(),
        reason: reason.map(str::to_string),
        changed_wall: 1_700_000_000_777,
    }
}

fn plugins() -> Vec<Case> {
    let decision = |state| plugin(PluginKind::Decision, state, None);
    let suspended = plugin(PluginKind::Decision, PluginState::Suspended, Some("slow"));
    let event_receiver = plugin(PluginKind::EventReceiver, PluginState::Active, None);
    vec![
        Case::record("plug-in offered", &decision(PluginState::Offered)),
        Case::record("plug-in checked", &decision(PluginState::Checked)),
        Case::record("plug-in active", &decision(PluginState::Active)),
        Case::record("plug-in suspended", &suspended),
        Case::record("plug-in removed", &decision(PluginState::Removed)),
        Case::record("plug-in of reports", &event_receiver),
    ]
}

#[test]
fn records_are_written_and_read_unchanged() {
    let parts = [
        jobs(),
        final_records(),
        bindings(),
        leader_and_machine_types(),
        quotas(),
        tiers(),
        dispatch_records(),
        loans(),
        plugins(),
    ];
    let cases: Vec<Case> = parts.into_iter().flatten().collect();
    assert_matches_fixture("records.txt", RECORDED, &cases);
}

/// A final record may be stored under the key of a live job. The two types of record must be distinguished.
#[test]
fn live_jobs_and_final_records_are_distinguished() {
    for (name, bytes) in crate::parse_entries(RECORDED) {
        let value = swiftsail_protocol::decode(&bytes).expect("it is MessagePack");
        match (StoredJob::read(&value), name.split(' ').next()) {
            (Some(StoredJob::Live(_)), kind) => assert_eq!(kind, Some("job"), "{name}"),
            (Some(StoredJob::Finished(_)), kind) => assert_eq!(kind, Some("end"), "{name}"),
            (None, kind) => assert!(!matches!(kind, Some("job" | "end")), "{name}"),
        }
    }
}
