//! Jobs that were accepted while the state service took larger values than it takes now. They can be cancelled, and those
//! that are not cancelled run to their end. The limits fall before, during or after a cancellation, announced in the
//! settings or not.

mod common;

use common::cluster::assert_completed_without_violations;
use common::property_tests::test_runner;
use common::seeds::seeds_from_environment;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use swiftsail_controller::controller::AdminRequest;
use swiftsail_controller::job::{CancelledForm, JobKind, JobRecord, StoredJob, keys};
use swiftsail_controller::store::TransactionSize;
use swiftsail_protocol::state::Mutation;
use swiftsail_protocol::users::JobSpec;
use swiftsail_simulation::simulation::{
    FaultRates, START_MS, Simulation, TransactionFate, job_body, job_spec,
};

/// The lowered limits.
const VALUE_KB: f64 = 2.0;
const TXN_OPS: usize = 5;
/// The job that is cancelled, and one of the same size that is not.
const CANCELLED_JOB: &str = "wk-cancelled";
const KEPT_JOB: &str = "wk-kept";
/// Jobs that the largest of the random jobs awaits.
const DEPENDENCIES: usize = 220;
/// When the user cancels, ms from the start.
const CANCEL_AT_MS: u64 = 50_000;
/// Time within which the cancellation must be answered once the controllers run, ms.
const ANSWER_WITHIN_MS: u64 = 8_000;

/// What makes a job's record large.
#[derive(Debug, Clone, Copy)]
enum LargePart {
    /// This many jobs that it awaits.
    Dependencies(usize),
    /// This many allowed machine types.
    MachineTypes(usize),
    /// Names of this many characters that need six bytes each as JSON.
    Texts(usize),
}

impl LargePart {
    fn dependencies(self) -> usize {
        match self {
            LargePart::Dependencies(count) => count,
            _ => 0,
        }
    }

    fn body(self, id: &str) -> Value {
        let mut body = job_body(id, "array", "blue", 3, 1.0, 4.0);
        body["due_s"] = Value::Null;
        match self {
            LargePart::Dependencies(count) => {
                body["awaits"] = (0..count).map(dependency_id).collect();
            }
            LargePart::MachineTypes(count) => {
                let others = (0..count).map(|n| format!("type-that-nobody-offers-{n:03}"));
                body["hulls"] = others.chain(["s4".to_string()]).collect();
                // It runs when its user cancels it.
                body["eta_s"] = json!(if id == CANCELLED_JOB { 300.0 } else { 4.0 });
            }
            LargePart::Texts(length) => {
                body["jobclass"] = "\u{1}".repeat(length).into();
                body["bundle"] = "\u{2}".repeat(length).into();
                body["eta_s"] = json!(if id == CANCELLED_JOB { 300.0 } else { 4.0 });
            }
        }
        body
    }
}

fn dependency_id(number: usize) -> String {
    format!("wk-{:06}", 1_000 + number)
}

/// A cluster with a large job that is cancelled and one that is not. The last job that both await runs until after the
/// cancellation.
fn cluster_with_large_jobs(part: LargePart, seed: u64) -> Simulation {
    let mut sim = Simulation::with_capacity(seed, FaultRates::NONE, 1_000, 12);
    for n in 0..part.dependencies() {
        let eta_s = if n == 0 { 70.0 } else { 1.0 };
        let mut body = job_body(&dependency_id(n), "array", "blue", 1, 0.2, eta_s);
        body["due_s"] = Value::Null;
        sim.submit(500 + n as u64 * 20, None, body);
    }
    sim.submit(15_000, Some(CANCEL_AT_MS), part.body(CANCELLED_JOB));
    sim.submit(15_000, None, part.body(KEPT_JOB));
    sim
}

/// Runs until the user is told that the job is cancelled, and returns how long that took from `from_ms` on.
fn run_until_cancelled(sim: &mut Simulation, from_ms: u64, context: &str) -> u64 {
    for at in (from_ms..from_ms + ANSWER_WITHIN_MS).step_by(20) {
        sim.run_until(at);
        let told_at = simulated_job(sim, CANCELLED_JOB).cancellation_told_at;
        if let Some(told_at) = told_at {
            return told_at.saturating_sub(START_MS + from_ms);
        }
    }
    panic!("{context}: the cancellation was not answered within {ANSWER_WITHIN_MS} ms");
}

fn simulated_job<'a>(
    sim: &'a Simulation,
    id: &str,
) -> &'a swiftsail_simulation::simulation::SimulatedJob {
    sim.jobs.iter().find(|job| job.id == id).expect("it was submitted")
}

/// Parts with records of 1 to 7.5 KiB, some of them a few bytes below or above the lowered limit.
const LARGE_PARTS: [LargePart; 9] = [
    LargePart::Dependencies(60),
    LargePart::Dependencies(140),
    LargePart::Dependencies(150),
    LargePart::Dependencies(256),
    LargePart::MachineTypes(50),
    LargePart::MachineTypes(56),
    LargePart::MachineTypes(240),
    LargePart::Texts(130),
    LargePart::Texts(200),
];

/// Guards against review/3: the cancellation wrote the whole record again, which the state service then refused for good,
/// so that it was never answered and the tasks started. All controllers end right after the confirmation.
#[test]
fn large_job_is_cancelled_after_limits_fall() {
    for (seed, part) in LARGE_PARTS.into_iter().enumerate() {
        for is_announced in [true, false] {
            let context = format!("{part:?}, announced {is_announced}");
            let mut sim = cluster_with_large_jobs(part, seed as u64);
            if is_announced {
                sim.announce_store_sizes(VALUE_KB, TXN_OPS);
            }
            sim.run_until(CANCEL_AT_MS - 2_000);
            assert!(simulated_job(&sim, CANCELLED_JOB).accepted, "{context}");
            sim.store.limit_sizes(VALUE_KB, TXN_OPS);
            sim.run_until(CANCEL_AT_MS);
            let took_ms = run_until_cancelled(&mut sim, CANCEL_AT_MS, &context);
            // Controllers that start now know the limits.
            sim.announce_store_sizes(VALUE_KB, TXN_OPS);
            let crash_at = CANCEL_AT_MS + took_ms + 1;
            (0..3).for_each(|controller| sim.schedule_crash(crash_at, controller));
            sim.run_until(240_000);
            assert_completed_without_violations(&sim, &context);
            assert!(sim.starts_after_cancellation.is_empty(), "{context}");
            assert_eq!(
                simulated_job(&sim, KEPT_JOB).last_status.as_deref(),
                Some("done"),
                "{context}"
            );
        }
    }
}

/// The limits fall within the milliseconds around the cancellation's write, or after it.
#[test]
fn limits_may_fall_while_a_cancellation_is_written() {
    for fall_after_ms in [0, 1, 3, 6, 9, 12, 20, 40, 2_000] {
        for part in [LargePart::Dependencies(200), LargePart::MachineTypes(240)] {
            for is_announced in [true, false] {
                let context =
                    format!("{part:?}, {fall_after_ms} ms after, announced {is_announced}");
                let mut sim = cluster_with_large_jobs(part, fall_after_ms);
                if is_announced {
                    sim.announce_store_sizes(VALUE_KB, TXN_OPS);
                }
                sim.run_until(CANCEL_AT_MS + fall_after_ms);
                sim.store.limit_sizes(VALUE_KB, TXN_OPS);
                run_until_cancelled(&mut sim, CANCEL_AT_MS + fall_after_ms, &context);
                sim.run_until(200_000);
                assert!(sim.violations.is_empty(), "{context}: {:?}", sim.violations);
                assert!(sim.starts_after_cancellation.is_empty(), "{context}");
            }
        }
    }
}

/// A record may fill the largest value to the last byte when it is accepted. Its cancellation needs some bytes more.
#[test]
fn job_that_fills_the_largest_value_can_be_cancelled() {
    let record_bytes = |body: &Value| {
        let encoded = rmp_serde::to_vec_named(body).expect("JSON packs");
        let submission =
            swiftsail_protocol::users::read_submission(&encoded).expect("it is readable");
        job_record(submission.spec.expect("it is valid"), &[]).encoded_bytes()
    };
    let largest = (VALUE_KB * 1024.0) as usize;
    let base = record_bytes(&LargePart::MachineTypes(40).body(CANCELLED_JOB));
    for missing in 0..16 {
        let mut body = LargePart::MachineTypes(40).body(CANCELLED_JOB);
        let padding = largest - missing - base;
        let names: Vec<String> = body["hulls"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|name| name.as_str().map(String::from))
            .collect();
        // The first names take up the rest, each up to the longest text.
        let mut left = padding;
        let padded = names.iter().map(|name| {
            let added = if name == "s4" { 0 } else { left.min(170) };
            left -= added;
            format!("{name}{}", "x".repeat(added))
        });
        body["hulls"] = padded.collect();
        assert_eq!(record_bytes(&body), largest - missing);
        let mut sim = Simulation::new(missing as u64, FaultRates::NONE, 1_000);
        sim.announce_store_sizes(VALUE_KB, TXN_OPS);
        sim.store.limit_sizes(VALUE_KB, TXN_OPS);
        sim.submit(10_000, Some(CANCEL_AT_MS), body);
        sim.run_until(CANCEL_AT_MS);
        assert!(simulated_job(&sim, CANCELLED_JOB).accepted, "{missing} bytes below the limit");
        run_until_cancelled(&mut sim, CANCEL_AT_MS, &format!("{missing} bytes below the limit"));
    }
}

/// A job too large for the limits in force gets a final answer, not 503 for good, and so does a repeated submission of one
/// that was accepted before.
#[test]
fn submissions_after_limits_fall_get_a_final_answer() {
    for part in [LargePart::Dependencies(200), LargePart::MachineTypes(240)] {
        let mut sim = cluster_with_large_jobs(part, 3);
        sim.announce_store_sizes(VALUE_KB, TXN_OPS);
        sim.run_until(30_000);
        sim.store.limit_sizes(VALUE_KB, TXN_OPS);
        let unavailable_before = sim.unavailable_answers.clone();
        sim.submit(31_000, None, part.body("wk-later"));
        sim.submit(31_000, None, part.body(KEPT_JOB));
        sim.run_until(45_000);
        let later = simulated_job(&sim, "wk-later");
        assert!(!later.accepted && later.refused_with == Some(400), "{part:?}");
        let repeated = sim.jobs.last().expect("it was submitted");
        assert!(repeated.accepted && repeated.refused_with.is_none(), "{part:?}");
        assert_eq!(sim.unavailable_answers, unavailable_before, "{part:?}");
    }
}

/// Calls that the state service will always refuse are counted apart from those that may succeed later.
#[test]
fn permanent_refusals_are_counted_apart_from_temporary_ones() {
    let refusals = |sim: &Simulation, request: u64| {
        let reply = &sim.admin_answers[&request];
        let metrics: Value = serde_json::from_slice(&reply.body).expect("it is JSON");
        let count = |kind: &str| metrics["store_refusals"][kind].as_u64().expect("a count");
        (count("permanent"), count("temporary"))
    };
    let mut sim = cluster_with_large_jobs(LargePart::MachineTypes(240), 1);
    let before: Vec<u64> =
        (0..3).map(|n| sim.schedule_admin_request(30_000, n, AdminRequest::Metrics)).collect();
    let after_outage: Vec<u64> =
        (0..3).map(|n| sim.schedule_admin_request(45_000, n, AdminRequest::Metrics)).collect();
    let after_cancellation: Vec<u64> =
        (0..3).map(|n| sim.schedule_admin_request(60_000, n, AdminRequest::Metrics)).collect();
    sim.schedule_store_outage(32_000, 5_000);
    sim.run_until(47_000);
    sim.store.limit_sizes(VALUE_KB, TXN_OPS);
    sim.run_until(62_000);
    let total = |requests: &[u64]| {
        let counts = requests.iter().map(|request| refusals(&sim, *request));
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    };
    assert_eq!(total(&before), (0, 0));
    let (permanent, temporary) = total(&after_outage);
    assert!(permanent == 0 && temporary > 0, "{permanent}, {temporary}");
    // The whole record of the cancelled job was refused once, and nothing else.
    assert_eq!(total(&after_cancellation), (1, temporary));
}

/// A random part that makes a record larger than the lowered limit, or not quite.
fn random_part(rng: &mut StdRng) -> LargePart {
    match rng.random_range(0..3) {
        0 => LargePart::Dependencies(rng.random_range(1..=DEPENDENCIES)),
        1 => LargePart::MachineTypes(rng.random_range(40..250)),
        _ => LargePart::Texts(rng.random_range(100..=200)),
    }
}

/// Records, from now on, the keys that transactions write beyond the announced limits. Submissions may: they are accepted
/// as long as the limits in force take them.
fn record_oversized_writes(sim: &mut Simulation) -> Rc<RefCell<BTreeSet<String>>> {
    let oversized = Rc::new(RefCell::new(BTreeSet::new()));
    let recorded = oversized.clone();
    sim.transaction_interceptor = Some(Box::new(move |_, _, transaction| {
        let size = TransactionSize::of(transaction);
        let is_submission = transaction
            .preconditions
            .iter()
            .any(|condition| condition.key.starts_with(keys::JOBS) && condition.mod_revision == 0);
        let is_oversized = size.largest_value_bytes > (VALUE_KB * 1024.0) as usize
            || size.mutations > TXN_OPS
            || size.preconditions > 4 * TXN_OPS;
        if is_oversized && !is_submission {
            let keys = transaction.mutations.iter().map(|mutation| match mutation {
                Mutation::Put { key, .. } | Mutation::Delete { key } => key.clone(),
            });
            recorded.borrow_mut().extend(keys);
        }
        TransactionFate::AsConfigured
    }));
    oversized
}

/// Large jobs are submitted and cancelled at random while controllers crash, the state service is away and messages are
/// lost, and the limits fall meanwhile. Every accepted job ends as its user expects, and nothing but a submission is ever
/// written beyond the announced limits.
#[test]
fn large_jobs_end_under_faults_while_limits_fall() {
    let mut cancelled = 0;
    for seed in seeds_from_environment("LOWERED_LIMITS").unwrap_or(0..8) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x57);
        let has_message_faults = seed % 2 == 0;
        let faults = FaultRates {
            message_loss: if has_message_faults { 0.03 } else { 0.0 },
            message_delay: if has_message_faults { 0.02 } else { 0.0 },
            crashes: rng.random_range(0..5),
            outages_and_hangs: rng.random_range(0..3),
        };
        let mut sim = Simulation::with_capacity(seed, faults, 150_000, 12);
        sim.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
        sim.announce_store_sizes(VALUE_KB, TXN_OPS);
        let oversized = record_oversized_writes(&mut sim);
        for n in 0..DEPENDENCIES {
            let mut body = job_body(&dependency_id(n), "array", "blue", 1, 0.2, 2.0);
            body["due_s"] = Value::Null;
            sim.submit(500 + n as u64 * 40, None, body);
        }
        for n in 0..8 {
            let at = rng.random_range(12_000..60_000);
            let cancel_at = rng.random_bool(0.7).then(|| at + rng.random_range(500..90_000));
            let mut body = random_part(&mut rng).body(&format!("wk-l{n}"));
            body["eta_s"] = json!(rng.random_range(4.0..90.0));
            sim.submit(at, cancel_at, body);
        }
        if rng.random_bool(0.5) {
            let all_crash_at = rng.random_range(40_000..140_000);
            (0..3).for_each(|n| sim.schedule_crash(all_crash_at, n));
        }
        sim.run_until(rng.random_range(20_000..120_000));
        sim.store.limit_sizes(VALUE_KB, TXN_OPS);
        sim.run_until(420_000);
        let context = format!("seed {seed}");
        assert!(sim.violations.is_empty(), "{context}: {:?}", sim.violations);
        assert!(oversized.borrow().is_empty(), "{context}: {:?}", oversized.borrow());
        for job in &sim.jobs {
            let has_ended = if job.accepted { job.is_over() } else { job.refused_with.is_some() };
            assert!(has_ended, "{context}: {}", sim.describe_job(&job.id));
        }
        cancelled += sim.jobs.iter().filter(|job| job.cancellation_told_at.is_some()).count();
    }
    assert!(cancelled >= 16, "{cancelled} jobs were cancelled");
}

// ---- records -----------------------------------------------------------------------------------

fn job_record(spec: JobSpec, depends_on: &[String]) -> JobRecord {
    JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_700_000_000_000,
        chunk_tasks: 256,
        write_number: 0,
        tier: None,
        depends_on: depends_on.iter().map(|id| id.as_str().into()).collect(),
        spec,
    }
}

/// The fields that the version in production requires in a record and in a specification.
#[derive(serde::Deserialize)]
struct EarlierVersionRecord {
    #[serde(rename = "x")]
    cancelled: bool,
    #[serde(rename = "xat")]
    cancelled_wall: u64,
    #[serde(rename = "j")]
    spec: JobSpec,
}

prop_compose! {
    fn any_record()(
        types in proptest::option::of(proptest::collection::vec("[ -~]{1,200}", 1..60)),
        zone in proptest::option::of("\\PC{1,60}"),
        class in "[\u{1}-\u{ff}]{1,100}",
        image in "[\u{1}-\u{ff}]{1,100}",
        tier in proptest::option::of("[a-z]{1,200}"),
        depends_on in proptest::collection::vec("wk-[0-9]{6,110}", 0..60),
        (tasks, cpus, deadline_s) in (1..100_000u32, 0.0..1e6f64, proptest::option::of(0.0..1e9f64)),
        kind in prop_oneof![Just(JobKind::Array), Just(JobKind::Gang), Just(JobKind::Service)],
    ) -> JobRecord {
        let spec = JobSpec {
            class, image, zone, machine_types: types, tasks, deadline_s,
            ..job_spec(kind, tasks, cpus, "img")
        };
        JobRecord { tier, ..job_record(spec, &depends_on) }
    }
}

/// Whatever a record holds, its cancelled form fits, keeps what stopping the tasks needs, and is whole if that fits. Where
/// it is not whole, the version in production reads it as that of a cancelled job.
#[test]
fn cancelled_record_fits_the_largest_value() {
    let runner = &mut test_runner(57, 300);
    let result = runner.run(&(any_record(), 700..9_000usize), |(record, max_bytes)| {
        let whole = JobRecord { cancelled: true, cancelled_wall: 17, ..record.clone() };
        let cancelled = record.clone().into_cancelled(17, CancelledForm::AtMost(max_bytes));
        prop_assert!(cancelled.encoded_bytes() <= max_bytes, "{}", cancelled.encoded_bytes());
        prop_assert!(cancelled.cancelled && cancelled.cancelled_wall == 17);
        prop_assert_eq!(cancelled.accepted_wall, record.accepted_wall);
        prop_assert_eq!(cancelled.chunk_tasks, record.chunk_tasks);
        let kept = |spec: &JobSpec| {
            (spec.team.clone(), spec.tasks, spec.kind, spec.priority, spec.cpus, spec.gpus)
        };
        prop_assert_eq!(kept(&cancelled.spec), kept(&record.spec));
        prop_assert_eq!(cancelled.spec.checkpoint_duration_s, record.spec.checkpoint_duration_s);
        let stored = serde_json::to_value(&cancelled).expect("it has a JSON form");
        let read = StoredJob::read(&stored);
        prop_assert_eq!(read, Some(StoredJob::Live(Box::new(cancelled.clone()))));
        if whole.encoded_bytes() <= max_bytes {
            prop_assert_eq!(cancelled, whole);
        } else {
            let earlier: EarlierVersionRecord =
                serde_json::from_value(stored).expect("the version in production reads it");
            prop_assert!(earlier.cancelled && earlier.cancelled_wall == 17);
            prop_assert_eq!(earlier.spec, cancelled.spec);
        }
        let smallest = record.into_cancelled(17, CancelledForm::Smallest);
        prop_assert!(smallest.encoded_bytes() <= 700 && smallest.depends_on.is_empty());
        Ok(())
    });
    result.expect("every record has a cancelled form that fits");
}
