//! Every record in the state service, in each of its states.

use crate::{Case, compare};
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::LogSegmentRecord;
use swiftsail_controller::job::{
    Binding, BindingChunk, FinalRecord, FinalState, JobKind, JobRecord, JobSpec, Priority,
    StoredJob,
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

/// What a job asks for, with every field different from its neighbours.
pub fn whole_spec() -> JobSpec {
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
    }
}

/// Without what may be left out, and the flags the other way about.
pub fn least_spec() -> JobSpec {
    JobSpec {
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        ..whole_spec()
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
        spec: whole_spec(),
    }
}

fn jobs() -> Vec<Case> {
    let of = |name: &str, record: JobRecord| Case::record(name, &record);
    let with = |kind, priority| JobSpec { kind, priority, ..least_spec() };
    vec![
        of("job live", job()),
        of("job least", JobRecord { spec: least_spec(), ..job() }),
        of(
            "job cancelled",
            JobRecord { cancelled: true, cancelled_wall: 1_700_000_000_502, ..job() },
        ),
        of("job of a tier", JobRecord { tier: Some("core".into()), ..job() }),
        of(
            "job that awaits",
            JobRecord { depends_on: vec!["wk-1".into(), "wk-2".into()], ..job() },
        ),
        of("job array low", JobRecord { spec: with(JobKind::Array, Priority::Low), ..job() }),
        of("job array normal", JobRecord { spec: with(JobKind::Array, Priority::Normal), ..job() }),
        of(
            "job service",
            JobRecord { spec: with(JobKind::Service, Priority::Production), ..job() },
        ),
    ]
}

fn ends() -> Vec<Case> {
    let end = |ending, done, at_wall| FinalRecord { state: ending, done, ended_wall: at_wall };
    vec![
        Case::record("end done", &end(FinalState::Done, 16, Some(1_700_000_000_903))),
        Case::record("end cancelled", &end(FinalState::Cancelled, 3, Some(1_700_000_000_904))),
        Case::record("end of an earlier version", &end(FinalState::Done, 16, None)),
    ]
}

fn bound(task: u32) -> Binding {
    Binding { task, attempt: 1001, machine: "m-000231".into(), worker_session: 2 }
}

fn bindings() -> Vec<Case> {
    let chunk = BindingChunk {
        write_number: 5,
        covers: 1002,
        done: vec![(0, 3), (7, 9)],
        bindings: vec![bound(4)],
    };
    let jobs = [("wk-1", vec![bound(4), bound(5)]), ("wk-2", vec![bound(0)])];
    let sheet = LogSegmentRecord {
        write_number: 6,
        bindings: jobs.map(|(j, b)| (j.to_string(), b)).into(),
    };
    vec![
        Case::record("binding", &bound(4)),
        Case::record("chunk", &chunk),
        Case::record("chunk without anything", &BindingChunk::default()),
        Case::record("sheet", &sheet),
        Case::record("sheet without anything", &LogSegmentRecord::default()),
    ]
}

/// A machine type with every field different from its neighbours.
pub fn hull() -> ListedMachineType {
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

fn term_and_types() -> Vec<Case> {
    let leader = LeaderRecord { node: "berth-2".into(), incarnation: 9_001, lease: 7 };
    vec![
        Case::record("leader", &leader),
        Case::record("types", &MachineTypes { machine_types: vec![hull()] }),
        Case::record("no types", &MachineTypes::default()),
    ]
}

fn amounts() -> Vec<Case> {
    let of = |cpus, gpus| ResourceQuantities {
        cpus: Quantity::from_units(cpus),
        gpus: Quantity::from_units(gpus),
    };
    let kept = TeamQuota { limit: of(40_000_000_000, 2), target: of(30, 1), free: of(7, 5) };
    let by = |team: &str, a| BTreeMap::from([(team.to_string(), a)]);
    let holding = QuotaHolding {
        last_transaction: (41, 3),
        held: by("red", of(11, 12)),
        configured_limits: by("blue", of(13, 14)),
    };
    vec![
        Case::record("pool", &QuotaPool { teams: BTreeMap::from([("red".to_string(), kept)]) }),
        Case::record("pool without teams", &QuotaPool::default()),
        Case::record("holding", &holding),
        Case::record("holding without anything", &QuotaHolding::default()),
    ]
}

fn tiers() -> Vec<Case> {
    let line =
        |name: &str, ordered| TierDefinition { name: name.into(), when: "true".into(), ordered };
    let tiers = vec![line("core", true), line("other", false)];
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
    DeadlinePlan { format_version: 0, version: 3, arrivals: vec![entry, once], chains }
}

fn dispatch() -> Vec<Case> {
    let (at, past) = (1_700_000_600_000, 60_000);
    let steps = |to: &[StepPhase]| {
        let mut step = OccurrenceStep::new("count", 1_700_000_500_000, 1_700_000_400_000);
        for stage in to {
            assert!(step.advance_phase(*stage, Some("wk-1")), "{stage:?}");
            step.accepted_at = 1_700_000_300_000;
        }
        vec![step]
    };
    let (new, begun) = (vec![], vec![StepPhase::Submitted]);
    let done = vec![StepPhase::Submitted, StepPhase::Done];
    let cases = [
        ("arrival foreseen", new.clone(), at - 9, false),
        ("arrival under way", begun.clone(), at - 9, false),
        ("arrival late", begun.clone(), at - 9, true),
        ("arrival ready", done, at - 9, false),
        ("arrival missed", begun, at, false),
        ("arrival past", new, at + past, false),
    ];
    let arrival = |(name, to, now, late): (&str, Vec<StepPhase>, u64, bool)| {
        let mut arrival = Occurrence::new("north", "lists", at, steps(&to));
        arrival.advance_phase(now, late, past);
        arrival.lateness_warning = late.then(|| ("count".into(), "no room".into()));
        Case::versioned(name, &arrival)
    };
    let mut all: Vec<Case> = cases.map(arrival).into();
    all.push(Case::versioned("took", &StepDurations { samples_ms: vec![61_000, 62_000] }));
    all.push(Case::versioned("plan", &plan()));
    all.push(Case::versioned("plan without anything", &DeadlinePlan::default()));
    all
}

/// A loan that has gone through all that is seen of it here: whether lender and borrower are on the machine.
fn lent(confirm: bool, history: &[(bool, bool)]) -> LenderRecord {
    let now = 1_700_000_000_000;
    let mut loans = GpuLoans::default();
    assert!(loans.request_loan("wk-l", "wk-b", &[("m-000231".into(), 2.0)], now));
    if confirm {
        loans.on_committed("wk-l", now + 1);
    }
    let mut lent = loans.lender_record("wk-l").expect("it was asked").clone();
    for (n, (lender_there, borrower_there)) in history.iter().copied().enumerate() {
        let seen = LoanObservation {
            lender_is_live: true,
            borrower_is_live: true,
            borrower_is_waiting: true,
            machine_is_available: lender_there || borrower_there || confirm,
            lender_on_machine: lender_there,
            borrower_on_machine: borrower_there,
            lender_is_waiting: true,
        };
        lent.loans.iter_mut().for_each(|l: &mut GpuLoan| {
            assert!(l.advance_phase(seen, now + 100 + n as u64));
        });
    }
    lent
}

fn loans() -> Vec<Case> {
    let all = [(false, false), (false, true), (false, false), (true, false)];
    vec![
        Case::versioned("loan asked", &lent(false, &[])),
        Case::versioned("loan stopping", &lent(true, &[])),
        Case::versioned("loan gone", &lent(true, &all[..1])),
        Case::versioned("loan serving", &lent(true, &all[..2])),
        Case::versioned("loan ending", &lent(true, &all[..3])),
        Case::versioned("loan back", &lent(true, &all)),
        Case::versioned("loan dropped", &lent(false, &all[..1])),
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
    let report = plugin(PluginKind::EventReceiver, PluginState::Active, None);
    vec![
        Case::record("plug-in offered", &decision(PluginState::Offered)),
        Case::record("plug-in checked", &decision(PluginState::Checked)),
        Case::record("plug-in active", &decision(PluginState::Active)),
        Case::record("plug-in suspended", &suspended),
        Case::record("plug-in removed", &decision(PluginState::Removed)),
        Case::record("plug-in of reports", &report),
    ]
}

#[test]
fn records_are_written_and_read_as_before() {
    let parts = [
        jobs(),
        ends(),
        bindings(),
        term_and_types(),
        amounts(),
        tiers(),
        dispatch(),
        loans(),
        plugins(),
    ];
    let cases: Vec<Case> = parts.into_iter().flatten().collect();
    compare("records.txt", RECORDED, &cases);
}

/// A final record may stand under a live job's key: each is told from the other.
#[test]
fn a_jobs_key_holds_a_live_job_or_its_end() {
    for (name, bytes) in crate::entries(RECORDED) {
        let value = swiftsail_protocol::decode(&bytes).expect("it is MessagePack");
        match (StoredJob::read(&value), name.split(' ').next()) {
            (Some(StoredJob::Live(_)), kind) => assert_eq!(kind, Some("job"), "{name}"),
            (Some(StoredJob::Finished(_)), kind) => assert_eq!(kind, Some("end"), "{name}"),
            (None, kind) => assert!(!matches!(kind, Some("job" | "end")), "{name}"),
        }
    }
}
