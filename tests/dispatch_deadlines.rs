//! Deadline planning: schedules across daylight saving time, chains planned backward, and occurrences across failures of
//! controllers.

mod common;

use common::cluster::leader_index;
use common::property_tests::test_runner;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use swiftsail_controller::controller::AdminRequest;
use swiftsail_deadline_planning::backward_planning::{plan_backward, quantile};
use swiftsail_deadline_planning::tracker::StepDurations;
use swiftsail_deadline_planning::{
    ChainDefinition, DeadlinePlan, DeadlineSchedule, DeadlineTracker, Occurrence, OccurrencePhase,
    StepDefinition, StepJob, StepPhase,
};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_replicated_records::Versioned;
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};
use swiftsail_tiers::{JobAttributes, JobKindAttribute, JobPriorityAttribute};

const HOUR_MS: u64 = 3_600_000;

/// Compiles a plan from TOML; an error is its text.
fn parse_plan(text: &str) -> Result<DeadlineSchedule, String> {
    let table: toml::Table = toml::from_str(text).expect("it is TOML");
    swiftsail_controller::controller::compile_deadline_plan(table)
}

const CHAIN: &str = r#"
version = 1
[[chain]]
name = "lists"
[[chain.step]]
name = "count"
when = 'job.class == "count"'
margin_s = 60.0
[[chain.step]]
name = "list"
when = 'job.class == "list"'
after = ["count"]
margin_s = 300.0
"#;

fn plan_with_arrival(arrival: &str) -> String {
    format!(
        "{CHAIN}\n[[arrival]]\nname = \"a\"\nchain = \"lists\"\nzone = \"Europe/Stockholm\"\n{arrival}\n"
    )
}

fn parse_ms(text: &str) -> u64 {
    text.parse::<jiff::Timestamp>().expect("a time").as_millisecond() as u64
}

/// An entry keeps its local time when daylight saving time begins or ends: a skipped local time moves forward by the
/// length of the gap, of a repeated one the first counts. Days of the week and excluded dates are respected.
#[test]
fn occurrences_keep_local_time_across_dst() {
    let schedule = parse_plan(&plan_with_arrival("at = \"02:30\"")).expect("the plan is valid");
    let spring = schedule.occurrences_between(
        0,
        parse_ms("2026-03-28T00:00:00Z"),
        parse_ms("2026-03-31T00:00:00Z"),
    );
    let expected = ["2026-03-28T01:30:00Z", "2026-03-29T01:30:00Z", "2026-03-30T00:30:00Z"];
    assert_eq!(spring, expected.map(parse_ms), "02:30 becomes 03:30 where it is skipped");
    let autumn = schedule.occurrences_between(
        0,
        parse_ms("2026-10-24T12:00:00Z"),
        parse_ms("2026-10-26T12:00:00Z"),
    );
    assert_eq!(autumn, ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"].map(parse_ms));
    let days = "at = \"06:30\"\ndays = [\"mon\", \"wed\"]\nexcept = [\"2026-12-02\"]";
    let schedule = parse_plan(&plan_with_arrival(days)).expect("the plan is valid");
    let week = schedule.occurrences_between(
        0,
        parse_ms("2026-11-29T23:00:00Z"),
        parse_ms("2026-12-10T23:00:00Z"),
    );
    let expected = ["2026-11-30T05:30:00Z", "2026-12-07T05:30:00Z", "2026-12-09T05:30:00Z"];
    assert_eq!(week, expected.map(parse_ms));
}

/// Each invalid plan is rejected with an error that names the cause, and so is a record of a later format version. The
/// plan under `deploy/` is valid.
#[test]
fn invalid_deadline_plans_are_rejected() {
    let cases = [
        (plan_with_arrival("at = \"25:10\""), "no time of day"),
        (plan_with_arrival("at = \"06:30\"\ndays = [\"mod\"]"), "did you mean `mon`"),
        (plan_with_arrival("at = \"06:30\"\non = \"2026-02-30\""), "no date"),
        (plan_with_arrival("at = \"06:30\"").replace("Stockholm", "Stokholm"), "no time zone"),
        (
            plan_with_arrival("at = \"06:30\"").replace("chain = \"lists\"", "chain = \"list\""),
            "did you mean `lists`",
        ),
        (CHAIN.replace("after = [\"count\"]", "after = [\"cuont\"]"), "did you mean `count`"),
        (CHAIN.replace("margin_s = 60.0", "after = [\"list\"]"), "circle"),
        (CHAIN.replace("job.class == \"count\"", "job.clas == \"count\""), "did you mean `class`"),
        (CHAIN.replace("job.class == \"count\"", "job.waiting > 2"), "changes while a job waits"),
    ];
    for (text, expected) in cases {
        let error = parse_plan(&text).expect_err(expected);
        assert!(error.contains(expected), "{expected}: {error}");
    }
    let entry = "[[arrival]]\nname = \"a\"\nchain = \"lists\"\nzone = \"UTC\"\nat = \"06:30\"\n";
    let too_many = format!("{CHAIN}\n{}", entry.repeat(100_000));
    assert!(parse_plan(&too_many).expect_err("too many").contains("200 at most"));
    let text = include_str!("../deploy/dispatch.toml");
    let operator =
        OperatorSettings::parse("deploy/dispatch.toml", text).expect("the file is valid");
    swiftsail_controller::controller::compile_deadline_plan(operator.dispatch.expect("a plan"))
        .expect("the plan is valid");
    assert!(matches!(
        DeadlinePlan::from_record("dispatch", &json!({"v": 7})),
        Err(swiftsail_replicated_records::RecordReadError::UnsupportedFormat { .. })
    ));
}

/// Generated chains: every step must be done by its margin before the latest start of all steps that depend on it, and
/// its latest start is its duration before its deadline. Moving the due time moves all deadlines by as much.
#[test]
fn chains_are_planned_backward() {
    let steps = prop::collection::vec((0u8..255, 0u32..900, 1u64..5_000_000), 1..10);
    test_runner(36, 200)
        .run(&steps, |steps| {
            let definition =
                |(index, (bits, margin_s, _)): (usize, &(u8, u32, u64))| StepDefinition {
                    name: format!("s{index}"),
                    when: "true".into(),
                    after: (0..index.min(8))
                        .filter(|earlier| bits & (1 << earlier) != 0)
                        .map(|earlier| format!("s{earlier}"))
                        .collect(),
                    margin_s: f64::from(*margin_s),
                };
            let chain = ChainDefinition {
                name: "c".into(),
                steps: steps.iter().enumerate().map(definition).collect(),
            };
            let order: Vec<usize> = (0..steps.len()).collect();
            let durations_ms: Vec<u64> = steps.iter().map(|step| step.2).collect();
            let due_at = 1_000_000_000_000;
            let times = plan_backward(&chain, &order, due_at, &durations_ms);
            for (index, step) in chain.steps.iter().enumerate() {
                prop_assert_eq!(
                    times[index].latest_start + durations_ms[index],
                    times[index].deadline
                );
                let margin_ms = (step.margin_s * 1_000.0) as u64;
                prop_assert!(times[index].deadline + margin_ms <= due_at);
                for name in &step.after {
                    let before = chain.steps.iter().position(|step| step.name == *name).unwrap();
                    let margin_ms = (chain.steps[before].margin_s * 1_000.0) as u64;
                    prop_assert!(times[before].deadline + margin_ms <= times[index].latest_start);
                }
            }
            let later = plan_backward(&chain, &order, due_at + 77, &durations_ms);
            prop_assert!(times.iter().zip(&later).all(|(a, b)| b.deadline == a.deadline + 77));
            Ok(())
        })
        .unwrap();
    assert_eq!(quantile(&[5, 1, 9, 3], 0.75), Some(5));
    assert_eq!(quantile(&[], 0.75), None);
}

fn step_job(class: &str, accepted_wall: u64, expected_end_wall: Option<u64>) -> StepJob {
    let attributes = JobAttributes {
        id: String::new(),
        class: class.into(),
        team: "yard".into(),
        kind: JobKindAttribute::Array,
        priority: JobPriorityAttribute::Normal,
        tasks: 4,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image_gb: 1.0,
        estimate_s: 60.0,
        spot: true,
    };
    StepJob {
        attributes,
        accepted_at_wall: accepted_wall,
        expected_end_wall,
        wait_reason: "its tasks wait for a place".into(),
    }
}

/// A tracker restored from the records of another one, as by the next leader.
fn fail_over(
    tracker: &DeadlineTracker,
    durations: &BTreeMap<String, StepDurations>,
) -> DeadlineTracker {
    let mut next = DeadlineTracker::default();
    for (key, occurrence) in tracker.occurrences() {
        let restored =
            Occurrence::from_record(key, &occurrence.to_record()).expect("the record is valid");
        next.restore(key, restored);
    }
    for (step, durations) in durations {
        next.restore_durations(
            step,
            StepDurations::from_record(step, &durations.to_record()).expect("the record is valid"),
        );
    }
    next
}

/// Seven days with a change to daylight saving time in them, two occurrences a day, and a failover every few minutes to
/// hours: no occurrence is lost or planned twice, no deadline moves by a millisecond, of a job that nobody submits a
/// warning is given an hour ahead, and occurrences whose jobs are submitted in time are ready.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn occurrences_survive_a_week_of_failovers() {
    let two_entries = plan_with_arrival("at = \"06:30\"")
        + "[[arrival]]\nname = \"b\"\nchain = \"lists\"\nzone = \"Europe/Stockholm\"\nat = \"02:30\"\n";
    let schedule = parse_plan(&two_entries).expect("the plan is valid");
    let (begin, end) = (parse_ms("2026-03-26T12:00:00Z"), parse_ms("2026-04-02T12:00:00Z"));
    let mut expected: BTreeMap<String, u64> = BTreeMap::new();
    for (index, name) in ["a", "b"].iter().enumerate() {
        for due_at in schedule.occurrences_between(index, begin, end) {
            expected.insert(Occurrence::key(name, due_at), due_at);
        }
    }
    assert_eq!(expected.len(), 14);
    for seed in 0..4u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut tracker, mut durations) = (DeadlineTracker::default(), BTreeMap::new());
        // Live jobs with the time of their end.
        let mut jobs: BTreeMap<String, (StepJob, u64)> = BTreeMap::new();
        let mut done: BTreeMap<String, bool> = BTreeMap::new();
        let mut deadlines: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        let mut last_phases: BTreeMap<String, OccurrencePhase> = BTreeMap::new();
        let mut first_warnings: BTreeMap<String, u64> = BTreeMap::new();
        let mut submitted: BTreeMap<(String, &str), String> = BTreeMap::new();
        let (mut now, mut failovers) = (begin, 0);
        while now < end + HOUR_MS {
            now += rng.random_range(60_000..300_000);
            if rng.random_bool(0.2) {
                tracker = fail_over(&tracker, &durations);
                failovers += 1;
            }
            tracker.sync_with_schedule(&schedule, now);
            // Users submit both jobs two hours ahead, but the list job of every fifth occurrence is never submitted.
            for (index, (key, due_at)) in expected.iter().enumerate() {
                for (step, class) in [("count", "count"), ("list", "list")] {
                    let is_left_out = index % 5 == 4 && step == "list";
                    let is_time = now + 2 * HOUR_MS >= *due_at && now < *due_at;
                    if is_time && !is_left_out && !submitted.contains_key(&(key.clone(), step)) {
                        let id = format!("wk-{}", submitted.len());
                        let end_at = now + rng.random_range(120_000..400_000);
                        jobs.insert(id.clone(), (step_job(class, now, Some(end_at)), end_at));
                        submitted.insert((key.clone(), step), id);
                    }
                }
            }
            let over: Vec<String> = jobs
                .iter()
                .filter(|(_, (_, end_at))| now >= *end_at)
                .map(|(id, _)| id.clone())
                .collect();
            for id in over {
                jobs.remove(&id);
                done.insert(id, true);
            }
            let live: BTreeMap<&str, StepJob> =
                jobs.iter().map(|(id, (job, _))| (id.as_str(), job.clone())).collect();
            let events = tracker.update(&schedule, &live, |id| done.get(id).copied(), now);
            for event in events.into_iter().filter(|event| event.lateness_cause.is_some()) {
                first_warnings.entry(event.key).or_insert(now);
            }
            for (step, samples) in tracker.take_changed_durations() {
                durations.insert(step, samples);
            }
            for (key, occurrence) in tracker.occurrences() {
                let times: Vec<u64> = occurrence.steps.iter().map(|step| step.deadline).collect();
                assert_eq!(*deadlines.entry(key.clone()).or_insert(times.clone()), times, "{key}");
                last_phases.insert(key.clone(), occurrence.phase());
            }
        }
        assert!(failovers > 100, "{failovers} failovers");
        let lost = expected.keys().filter(|key| !last_phases.contains_key(*key)).count();
        assert_eq!(lost, 0, "seed {seed}: occurrences lost");
        // The tracker also plans occurrences after the end, within its horizon; there must be no others.
        let others = last_phases.keys().filter(|key| !expected.contains_key(*key));
        assert!(
            others.into_iter().all(|key| deadlines[key][1] > end - HOUR_MS),
            "seed {seed}: unexpected occurrences"
        );
        for (index, key) in expected.keys().enumerate() {
            let phase = last_phases[key];
            if index % 5 != 4 {
                assert_eq!(phase, OccurrencePhase::Ready, "seed {seed}: {key}");
                continue;
            }
            assert_eq!(phase, OccurrencePhase::Missed, "seed {seed}: {key}");
            let ahead_ms = expected[key].saturating_sub(first_warnings[key]);
            assert!(ahead_ms >= HOUR_MS, "seed {seed}: {key}: warning {ahead_ms} ms ahead");
        }
    }
}

/// A step whose job is cancelled is performed by another job. A job that is predicted to end late is reported with the
/// cause, and does not move the occurrence's planned times.
#[test]
fn late_and_cancelled_steps_are_reported() {
    let schedule = parse_plan(&plan_with_arrival("at = \"06:30\"")).expect("the plan is valid");
    let now = parse_ms("2026-12-03T04:30:00Z");
    let mut tracker = DeadlineTracker::default();
    tracker.sync_with_schedule(&schedule, now);
    let key = tracker.occurrences().next().expect("one").0.clone();
    let unknown = |_: &str| None;
    let occurrence = |tracker: &DeadlineTracker| {
        tracker.occurrences().find(|(other, _)| **other == key).expect("it is open").1.clone()
    };
    let first = step_job("count", now, Some(now + 60_000));
    tracker.update(&schedule, &BTreeMap::from([("wk-1", first)]), unknown, now);
    assert_eq!(occurrence(&tracker).steps[0].job.as_deref(), Some("wk-1"));
    let planned: Vec<u64> = occurrence(&tracker).steps.iter().map(|step| step.deadline).collect();
    // The job is cancelled: another one may perform the step.
    tracker.update(&schedule, &BTreeMap::new(), |_| Some(false), now + 1_000);
    assert_eq!(occurrence(&tracker).steps[0].phase(), StepPhase::Awaited);
    let late = step_job("count", now + 2_000, Some(planned[0] + 90_000));
    let events = tracker.update(&schedule, &BTreeMap::from([("wk-2", late)]), unknown, now + 3_000);
    let cause = events
        .iter()
        .find(|event| event.key == key)
        .and_then(|event| event.lateness_cause.clone())
        .expect("it is reported");
    assert!(cause.0 == "count" && cause.1.contains("90 s late"), "{cause:?}");
    assert_eq!(occurrence(&tracker).phase(), OccurrencePhase::Late);
    let after: Vec<u64> = occurrence(&tracker).steps.iter().map(|step| step.deadline).collect();
    assert_eq!(planned, after, "planned times have moved");
}

/// Three controllers that crash again and again: an occurrence that an operator has added, the jobs of its steps and their
/// deadlines stay what they were, and it is ready in the end.
#[test]
fn controller_failures_lose_no_deadline() {
    let text = CHAIN
        .replace("[[chain", "[[dispatch.chain")
        .replace("version = 1", "[dispatch]\nversion = 1");
    let operator = OperatorSettings::parse("dispatch", &text).expect("the file is valid");
    for seed in 0..5u64 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 200_000);
        world.operator = operator.clone();
        world.restart_delay_ms = (seed % 2 == 0).then_some(100);
        world.run_until(8_000);
        let leader = |world: &Simulation| leader_index(world).expect("a leader");
        let at_ms = 1_700_000_000_000 + world.now + 240_000;
        let body = json!({"name": "north", "chain": "lists", "at_ms": at_ms}).to_string();
        let node = leader(&world);
        let add_request = world.schedule_admin_request(
            8_000,
            node,
            AdminRequest::AddOccurrence(body.into_bytes()),
        );
        for (n, class) in ["count", "list"].iter().enumerate() {
            let mut body = job_body(&format!("wk-{class}"), "array", "blue", 4, 1.0, 20.0);
            body["jobclass"] = (*class).into();
            body["due_s"] = 3_000.0.into();
            world.submit(14_000 + n as u64 * 45_000, None, body);
        }
        let mut deadlines: Option<Value> = None;
        for at in (1..17).map(|n| 8_000 + n * 9_000) {
            world.run_until(at);
            let node = leader(&world);
            let list_request = world.schedule_admin_request(
                at,
                node,
                AdminRequest::Occurrences(Some("north".into())),
            );
            world.run_until(at + 200);
            let reply = world.admin_answers.remove(&list_request).expect("a reply");
            let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
            let occurrences = body["arrivals"].as_array().cloned().unwrap_or_default();
            assert_eq!(occurrences.len(), 1, "seed {seed} at {at}: {body}");
            let steps = occurrences[0]["steps"].as_array().expect("steps");
            let current: Vec<&Value> = steps.iter().map(|step| &step["deadline_ms"]).collect();
            let current = json!(current);
            assert_eq!(*deadlines.get_or_insert(current.clone()), current, "seed {seed} at {at}");
            if seed > 0 && at < 130_000 {
                match seed % 3 {
                    0 => (0..3).for_each(|n| world.schedule_crash(at + 300, n)),
                    _ => world.schedule_crash(at + 300, leader(&world)),
                }
                world.run_until(at + 8_900);
            }
            if at > 150_000 {
                let occurrence = &occurrences[0];
                assert_eq!(occurrence["phase"], json!("ready"), "seed {seed}: {occurrence}");
            }
        }
        let add_status = world.admin_answers.remove(&add_request).map(|reply| reply.status);
        assert_eq!(add_status, Some(200), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        // The deadline that the occurrence gives its jobs is earlier than the jobs' own.
        assert!(world.jobs.iter().all(|job| job.is_over()), "seed {seed}");
    }
}
