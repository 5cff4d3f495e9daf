//! Dispatch deadlines: calendars across daylight saving, chains planned backward, and arrivals that no failure of
//! controllers forgets.

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

/// An arrival keeps its time of day when the clocks change; the hour that a night does not have is taken as long
/// after the change, of the one that it has twice the first counts; exceptions and days of the week hold.
#[test]
fn arrivals_keep_their_time_of_day() {
    let calendar = parse_plan(&plan_with_arrival("at = \"02:30\"")).expect("it is sound");
    let spring = calendar.occurrences_between(
        0,
        parse_ms("2026-03-28T00:00:00Z"),
        parse_ms("2026-03-31T00:00:00Z"),
    );
    let expected = ["2026-03-28T01:30:00Z", "2026-03-29T01:30:00Z", "2026-03-30T00:30:00Z"];
    assert_eq!(spring, expected.map(parse_ms), "02:30 is 03:30 in the night that has none");
    let autumn = calendar.occurrences_between(
        0,
        parse_ms("2026-10-24T12:00:00Z"),
        parse_ms("2026-10-26T12:00:00Z"),
    );
    assert_eq!(autumn, ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"].map(parse_ms));
    let days = "at = \"06:30\"\ndays = [\"mon\", \"wed\"]\nexcept = [\"2026-12-02\"]";
    let calendar = parse_plan(&plan_with_arrival(days)).expect("it is sound");
    let week = calendar.occurrences_between(
        0,
        parse_ms("2026-11-29T23:00:00Z"),
        parse_ms("2026-12-10T23:00:00Z"),
    );
    let expected = ["2026-11-30T05:30:00Z", "2026-12-07T05:30:00Z", "2026-12-09T05:30:00Z"];
    assert_eq!(week, expected.map(parse_ms));
}

/// Each flaw names what it is about and the remedy; the file under `deploy/` is sound.
#[test]
fn a_plan_that_is_not_sound_is_refused() {
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
    for (text, part) in cases {
        let refused = parse_plan(&text).expect_err(part);
        assert!(refused.contains(part), "{part}: {refused}");
    }
    let one = "[[arrival]]\nname = \"a\"\nchain = \"lists\"\nzone = \"UTC\"\nat = \"06:30\"\n";
    let many = format!("{CHAIN}\n{}", one.repeat(100_000));
    assert!(parse_plan(&many).expect_err("too many").contains("200 at most"));
    let text = include_str!("../deploy/dispatch.toml");
    let operator = OperatorSettings::parse("deploy/dispatch.toml", text).expect("it is sound");
    swiftsail_controller::controller::compile_deadline_plan(operator.dispatch.expect("a plan"))
        .expect("it is sound");
    assert!(matches!(
        DeadlinePlan::from_record("dispatch", &json!({"v": 7})),
        Err(swiftsail_replicated_records::RecordReadError::UnsupportedFormat { .. })
    ));
}

/// Generated chains: every step is to be done a margin before the latest start of all that waits for it, and begins
/// as long before as it takes; an arrival that moves moves all by as much.
#[test]
fn a_chain_is_planned_backward() {
    let steps = prop::collection::vec((0u8..255, 0u32..900, 1u64..5_000_000), 1..10);
    test_runner(36, 200)
        .run(&steps, |steps| {
            let line = |(n, (bits, margin, _)): (usize, &(u8, u32, u64))| StepDefinition {
                name: format!("s{n}"),
                when: "true".into(),
                after: (0..n.min(8))
                    .filter(|m| bits & (1 << m) != 0)
                    .map(|m| format!("s{m}"))
                    .collect(),
                margin_s: f64::from(*margin),
            };
            let chain = ChainDefinition {
                name: "c".into(),
                steps: steps.iter().enumerate().map(line).collect(),
            };
            let order: Vec<usize> = (0..steps.len()).collect();
            let takes: Vec<u64> = steps.iter().map(|s| s.2).collect();
            let at = 1_000_000_000_000;
            let times = plan_backward(&chain, &order, at, &takes);
            for (n, step) in chain.steps.iter().enumerate() {
                prop_assert_eq!(times[n].latest_start + takes[n], times[n].deadline);
                let margin = (step.margin_s * 1_000.0) as u64;
                prop_assert!(times[n].deadline + margin <= at);
                for name in &step.after {
                    let before = chain.steps.iter().position(|s| s.name == *name).unwrap();
                    let spare = (chain.steps[before].margin_s * 1_000.0) as u64;
                    prop_assert!(times[before].deadline + spare <= times[n].latest_start);
                }
            }
            let later = plan_backward(&chain, &order, at + 77, &takes);
            prop_assert!(times.iter().zip(&later).all(|(a, b)| b.deadline == a.deadline + 77));
            Ok(())
        })
        .unwrap();
    assert_eq!(quantile(&[5, 1, 9, 3], 0.75), Some(5));
    assert_eq!(quantile(&[], 0.75), None);
}

fn completed_work(class: &str, accepted_wall: u64, ends_wall: Option<u64>) -> StepJob {
    let facts = JobAttributes {
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
        facts,
        accepted_at_wall: accepted_wall,
        expected_end_wall: ends_wall,
        wait_reason: "its tasks wait for a place".into(),
    }
}

/// A board as the next leader reads it.
fn hand_over(board: &DeadlineTracker, took: &BTreeMap<String, StepDurations>) -> DeadlineTracker {
    let mut next = DeadlineTracker::default();
    for (key, arrival) in board.occurrences() {
        let read = Occurrence::from_record(key, &arrival.to_record()).expect("it is sound");
        next.restore(key, read);
    }
    for (step, took) in took {
        next.restore_durations(
            step,
            StepDurations::from_record(step, &took.to_record()).expect("it is sound"),
        );
    }
    next
}

/// Seven days with a change to summer time in them, two arrivals a day, and a new leader every few minutes to hours:
/// no arrival is forgotten or planned twice, no deadline moves by a millisecond, what nobody submits is warned of an
/// hour before its latest start, and what is submitted in time is ready.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn a_week_of_arrivals_survives_its_leaders() {
    let two = plan_with_arrival("at = \"06:30\"")
        + "[[arrival]]\nname = \"b\"\nchain = \"lists\"\nzone = \"Europe/Stockholm\"\nat = \"02:30\"\n";
    let calendar = parse_plan(&two).expect("it is sound");
    let (begin, end) = (parse_ms("2026-03-26T12:00:00Z"), parse_ms("2026-04-02T12:00:00Z"));
    let mut expected: BTreeMap<String, u64> = BTreeMap::new();
    for (n, name) in ["a", "b"].iter().enumerate() {
        for at in calendar.occurrences_between(n, begin, end) {
            expected.insert(Occurrence::key(name, at), at);
        }
    }
    assert_eq!(expected.len(), 14);
    for seed in 0..4u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut board, mut took) = (DeadlineTracker::default(), BTreeMap::new());
        let mut jobs: BTreeMap<String, (StepJob, u64)> = BTreeMap::new();
        let mut done: BTreeMap<String, bool> = BTreeMap::new();
        let mut deadlines: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        let mut last: BTreeMap<String, OccurrencePhase> = BTreeMap::new();
        let mut warned: BTreeMap<String, u64> = BTreeMap::new();
        let mut submitted: BTreeMap<(String, &str), String> = BTreeMap::new();
        let (mut now, mut leaders) = (begin, 0);
        while now < end + HOUR_MS {
            now += rng.random_range(60_000..300_000);
            if rng.random_bool(0.2) {
                board = hand_over(&board, &took);
                leaders += 1;
            }
            board.sync_with_schedule(&calendar, now);
            // Users submit both jobs two hours ahead, but for every fifth arrival, whose list nobody submits.
            for (n, (key, at)) in expected.iter().enumerate() {
                for (step, class) in [("count", "count"), ("list", "list")] {
                    let left_out = n % 5 == 4 && step == "list";
                    let due = now + 2 * HOUR_MS >= *at && now < *at;
                    if due && !left_out && !submitted.contains_key(&(key.clone(), step)) {
                        let id = format!("wk-{}", submitted.len());
                        let ends = now + rng.random_range(120_000..400_000);
                        jobs.insert(id.clone(), (completed_work(class, now, Some(ends)), ends));
                        submitted.insert((key.clone(), step), id);
                    }
                }
            }
            let over: Vec<String> =
                jobs.iter().filter(|(_, j)| now >= j.1).map(|(id, _)| id.clone()).collect();
            for id in over {
                jobs.remove(&id);
                done.insert(id, true);
            }
            let known: BTreeMap<&str, StepJob> =
                jobs.iter().map(|(id, (w, _))| (id.as_str(), w.clone())).collect();
            let told = board.update(&calendar, &known, |id| done.get(id).copied(), now);
            for it in told.into_iter().filter(|t| t.lateness_cause.is_some()) {
                warned.entry(it.key).or_insert(now);
            }
            for (step, t) in board.take_changed_durations() {
                took.insert(step, t);
            }
            for (key, arrival) in board.occurrences() {
                let times: Vec<u64> = arrival.steps.iter().map(|s| s.deadline).collect();
                assert_eq!(*deadlines.entry(key.clone()).or_insert(times.clone()), times, "{key}");
                last.insert(key.clone(), arrival.phase());
            }
        }
        assert!(leaders > 100, "{leaders} leaders");
        let missed = expected.keys().filter(|k| !last.contains_key(*k)).count();
        assert_eq!(missed, 0, "seed {seed}: arrivals forgotten");
        let early = last.keys().filter(|k| !expected.contains_key(*k));
        assert!(early.into_iter().all(|k| deadlines[k][1] > end - HOUR_MS), "seed {seed}: made up");
        for (n, key) in expected.keys().enumerate() {
            let phase = last[key];
            if n % 5 != 4 {
                assert_eq!(phase, OccurrencePhase::Ready, "seed {seed}: {key}");
                continue;
            }
            assert_eq!(phase, OccurrencePhase::Missed, "seed {seed}: {key}");
            let ahead = expected[key].saturating_sub(warned[key]);
            assert!(ahead >= HOUR_MS, "seed {seed}: {key} was warned of {ahead} ms ahead");
        }
    }
}

/// A step's job that is cancelled leaves the step to another; one that ends late is told with its cause; what waits
/// for a step that ends late keeps the arrival's own time.
#[test]
fn late_and_cancelled_steps_are_told() {
    let calendar = parse_plan(&plan_with_arrival("at = \"06:30\"")).expect("it is sound");
    let now = parse_ms("2026-12-03T04:30:00Z");
    let mut board = DeadlineTracker::default();
    board.sync_with_schedule(&calendar, now);
    let key = board.occurrences().next().expect("one").0.clone();
    let none = |_: &str| None;
    let at = |board: &DeadlineTracker| {
        board.occurrences().find(|(k, _)| **k == key).expect("it is there").1.clone()
    };
    let first = completed_work("count", now, Some(now + 60_000));
    board.update(&calendar, &BTreeMap::from([("wk-1", first)]), none, now);
    assert_eq!(at(&board).steps[0].job.as_deref(), Some("wk-1"));
    let plans: Vec<u64> = at(&board).steps.iter().map(|s| s.deadline).collect();
    // Cancelled: another takes its place.
    board.update(&calendar, &BTreeMap::new(), |_| Some(false), now + 1_000);
    assert_eq!(at(&board).steps[0].phase(), StepPhase::Awaited);
    let late = completed_work("count", now + 2_000, Some(plans[0] + 90_000));
    let told = board.update(&calendar, &BTreeMap::from([("wk-2", late)]), none, now + 3_000);
    let why = told
        .iter()
        .find(|t| t.key == key)
        .and_then(|t| t.lateness_cause.clone())
        .expect("it is told");
    assert!(why.0 == "count" && why.1.contains("90 s late"), "{why:?}");
    assert_eq!(at(&board).phase(), OccurrencePhase::Late);
    let after: Vec<u64> = at(&board).steps.iter().map(|s| s.deadline).collect();
    assert_eq!(plans, after, "the arrival's own times stay");
}

/// On three controllers that fail at every step: the arrival that an operator has added, its steps' jobs and their
/// deadlines are what they were, and it is ready in the end.
#[test]
fn no_failure_of_controllers_forgets_a_deadline() {
    let text = CHAIN
        .replace("[[chain", "[[dispatch.chain")
        .replace("version = 1", "[dispatch]\nversion = 1");
    let operator = OperatorSettings::parse("dispatch", &text).expect("it is sound");
    for seed in 0..5u64 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 200_000);
        world.operator = operator.clone();
        world.restart_delay_ms = (seed % 2 == 0).then_some(100);
        world.run_until(8_000);
        let leads = |world: &Simulation| leader_index(world).expect("somebody leads");
        let at_ms = 1_700_000_000_000 + world.now + 240_000;
        let body = json!({"name": "north", "chain": "lists", "at_ms": at_ms}).to_string();
        let node = leads(&world);
        let asked = world.schedule_admin_request(
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
        let mut times: Option<Value> = None;
        for at in (1..17).map(|n| 8_000 + n * 9_000) {
            world.run_until(at);
            let node = leads(&world);
            let shown = world.schedule_admin_request(
                at,
                node,
                AdminRequest::Occurrences(Some("north".into())),
            );
            world.run_until(at + 200);
            let reply = world.admin_answers.remove(&shown).expect("an answer");
            let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
            let all = body["arrivals"].as_array().cloned().unwrap_or_default();
            assert_eq!(all.len(), 1, "seed {seed} at {at}: {body}");
            let steps = all[0]["steps"].as_array().expect("steps");
            let now: Vec<&Value> = steps.iter().map(|s| &s["deadline_ms"]).collect();
            let now = json!(now);
            assert_eq!(*times.get_or_insert(now.clone()), now, "seed {seed} at {at}");
            if seed > 0 && at < 130_000 {
                match seed % 3 {
                    0 => (0..3).for_each(|n| world.schedule_crash(at + 300, n)),
                    _ => world.schedule_crash(at + 300, leads(&world)),
                }
                world.run_until(at + 8_900);
            }
            if at > 150_000 {
                assert_eq!(all[0]["phase"], json!("ready"), "seed {seed}: {}", all[0]);
            }
        }
        assert_eq!(world.admin_answers.remove(&asked).map(|r| r.status), Some(200), "seed {seed}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        // The deadline that the arrival gives its job is sooner than the job's own.
        assert!(world.jobs.iter().all(|j| j.is_over()), "seed {seed}");
    }
}
