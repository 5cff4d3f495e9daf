//! Jobs that await others: who may begin, what is called off, deadlines along the chain; as pure values against plain
//! re-statements, and on the real cores under crashes, outages and lost answers.

mod common;

use common::cluster::leader_index;
use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use swiftsail_controller::constants::FORMAT_VERSION;
use swiftsail_controller::controller::{Action, Controller, Event, Now, UserRequest};
use swiftsail_controller::job::{FinalRecord, FinalState, JobKind, JobRecord, StoredJob};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_dag::constants::DOWNSTREAM_PROBABILITY;
use swiftsail_dag::{
    DependencyGraph, DependencyState, DependencyTraversal, DependencyVerdict, DurationDistribution,
    JobId, JobOutcome, JobRequirements, VisitedJob, effective_requirements,
};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::state::KeyPage;
use swiftsail_protocol::users::read_submission;
use swiftsail_simulation::simulation::{
    Fault, FaultRates, START_MS, Simulation, assert_all_jobs_over, controller_settings, job_body,
    job_spec,
};

fn job_id(n: usize) -> JobId {
    format!("wk-{n}").into()
}

/// Jobs that each await some of those before them, and how some of the first have ended.
struct RandomDependencies {
    depends_on: Vec<Vec<JobId>>,
    outcomes: BTreeMap<usize, JobOutcome>,
}

fn random_dependencies(seed: u64) -> RandomDependencies {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(2..30);
    let awaits: Vec<Vec<JobId>> = (0..count)
        .map(|n| (0..n).filter(|_| rng.random_bool(0.15)).map(job_id).collect())
        .collect();
    let mut fates = BTreeMap::new();
    for (n, before) in awaits.iter().enumerate() {
        // What awaits something that is not done can't be; anything may be cancelled.
        let may_end = before.iter().all(|a| {
            let number: usize = a[3..].parse().expect("a number");
            matches!(fates.get(&number), Some(JobOutcome::Done(_)))
        });
        if rng.random_bool(0.1) {
            fates.insert(n, JobOutcome::Cancelled);
        } else if may_end && rng.random_bool(0.7) {
            fates.insert(n, JobOutcome::Done(rng.random_range(1..1_000)));
        }
    }
    RandomDependencies { depends_on: awaits, outcomes: fates }
}

impl RandomDependencies {
    /// The rules of the page, read off the drawing.
    fn expected_state(&self, n: usize) -> DependencyState {
        let number = |a: &JobId| a[3..].parse::<usize>().expect("a number");
        let fate = |a: &JobId| self.outcomes.get(&number(a)).copied();
        let off = |a: &JobId| {
            fate(a) == Some(JobOutcome::Cancelled)
                || self.expected_state(number(a)) == DependencyState::CancelledByDependency
        };
        if self.depends_on[n].iter().any(off) {
            return DependencyState::CancelledByDependency;
        }
        let done = |a: &JobId| match fate(a) {
            Some(JobOutcome::Done(at)) => Some(at),
            _ => None,
        };
        let all: Option<Vec<u64>> = self.depends_on[n].iter().map(done).collect();
        match all {
            Some(ends) => DependencyState::Ready(ends.into_iter().max().unwrap_or(0)),
            None => DependencyState::Waiting,
        }
    }
}

/// In whatever order jobs become known and end, each stands where the page says; a reader who walks back from one
/// job says the same of it.
#[test]
fn jobs_stand_where_those_before_them_leave_them() {
    let mut met = [0; 3];
    for seed in 0..400 {
        let drawn = random_dependencies(seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x51);
        let mut graph = DependencyGraph::default();
        let mut events: Vec<(bool, usize)> =
            (0..drawn.depends_on.len()).map(|n| (true, n)).collect();
        events.extend(drawn.outcomes.keys().map(|n| (false, *n)));
        for n in (1..events.len()).rev() {
            events.swap(n, rng.random_range(0..=n));
        }
        let mut told: BTreeMap<JobId, DependencyState> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        for (new, n) in events {
            let mut changed = Vec::new();
            if new {
                graph.add_job(&job_id(n), &drawn.depends_on[n]);
                // As a leader does: what is over already is told again for the newcomer.
                for a in &drawn.depends_on[n] {
                    let number: usize = a[3..].parse().expect("a number");
                    let off = graph.state_of(a) == Some(DependencyState::CancelledByDependency);
                    if ended.contains(&number) {
                        changed.extend(graph.on_job_ended(a, drawn.outcomes[&number]));
                    } else if off {
                        changed.extend(graph.on_job_ended(a, JobOutcome::Cancelled));
                    }
                }
            } else {
                ended.insert(n);
                changed.extend(graph.on_job_ended(&job_id(n), drawn.outcomes[&n]));
            }
            for (job, standing) in changed {
                assert_eq!(told.insert(job.clone(), standing), None, "seed {seed}: {job} twice");
            }
        }
        for n in (0..drawn.depends_on.len()).filter(|n| !drawn.depends_on[*n].is_empty()) {
            let expected = drawn.expected_state(n);
            assert_eq!(graph.state_of(&job_id(n)), Some(expected), "seed {seed}: wk-{n}");
            met[match expected {
                DependencyState::Waiting => 0,
                DependencyState::Ready(_) => 1,
                DependencyState::CancelledByDependency => 2,
            }] += 1;
            let mut walk = DependencyTraversal::new(&drawn.depends_on[n]);
            while let Some(next) = walk.next_job().cloned() {
                let number: usize = next[3..].parse().expect("a number");
                walk.on_job_state(&match drawn.outcomes.get(&number) {
                    Some(fate) => VisitedJob::Ended(*fate),
                    None => VisitedJob::Live(drawn.depends_on[number].clone()),
                });
            }
            let off = walk.verdict() == Some(DependencyVerdict::CancelledByDependency);
            assert_eq!(
                off,
                expected == DependencyState::CancelledByDependency,
                "seed {seed}: wk-{n} by walking"
            );
        }
    }
    assert!(met.iter().all(|n| *n > 200), "{met:?}");
}

/// What was never accepted is told whatever else is cancelled; a record that claims a circle ends no walk never, and
/// its jobs wait.
#[test]
fn odd_records_harm_nobody() {
    let mut walk = DependencyTraversal::new(&[job_id(1), job_id(2), job_id(1)]);
    walk.on_job_state(&VisitedJob::Ended(JobOutcome::Cancelled));
    assert_eq!(walk.next_job(), Some(&job_id(2)), "each that is named must be known");
    walk.on_job_state(&VisitedJob::NeverAccepted);
    assert_eq!(walk.verdict(), Some(DependencyVerdict::UnknownDependency(job_id(2))));
    let mut walk = DependencyTraversal::new(&[job_id(1)]);
    for _ in 0..3 {
        if let Some(next) = walk.next_job().cloned() {
            walk.on_job_state(&VisitedJob::Live(vec![next, job_id(1), job_id(2)]));
        }
    }
    assert_eq!(walk.verdict(), Some(DependencyVerdict::NotCancelled));
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(1), &[job_id(2)]);
    graph.add_job(&job_id(2), &[job_id(1)]);
    graph.add_job(&job_id(3), &[job_id(3)]);
    let asked = |_: &JobId| {
        Some(JobRequirements { deadline: Some(9), priority: 1, duration: FixedDuration(1.0) })
    };
    assert!(!effective_requirements(&graph, 0, asked).is_empty());
    assert_eq!(graph.state_of("wk-1"), Some(DependencyState::Waiting));
    let off = graph.on_job_ended(&job_id(1), JobOutcome::Cancelled);
    assert_eq!(off.len(), 2, "{off:?}");
    graph.remove_job(&job_id(1));
    graph.remove_job(&job_id(2));
    graph.remove_job(&job_id(3));
    assert!(graph.is_empty());
}

#[derive(Debug, Clone)]
struct FixedDuration(f64);

impl DurationDistribution for FixedDuration {
    fn followed_by(&self, next: &FixedDuration) -> FixedDuration {
        FixedDuration(self.0 + next.0)
    }
    fn quantile(&self, chance: f64) -> f64 {
        assert_eq!(chance, DOWNSTREAM_PROBABILITY);
        self.0
    }
}

/// The soonest that any way through what comes after leaves, and the highest priority of it; what is over or called off
/// needs nothing any more; and where time is short for all, each has its part of it.
#[test]
fn deadlines_go_backward_along_every_way() {
    let mut graph = DependencyGraph::default();
    // 1 -> 2 -> 4, 1 -> 3 -> 4 -> 5, 1 -> 6
    for (job, awaits) in [(2, vec![1]), (3, vec![1]), (4, vec![2, 3]), (5, vec![4]), (6, vec![1])] {
        graph.add_job(&job_id(job), &awaits.into_iter().map(job_id).collect::<Vec<_>>());
    }
    let takes = |n: usize| [0.0, 10.0, 20.0, 50.0, 5.0, 8.0, 400.0][n];
    let asked = |job: &JobId| {
        let n: usize = job[3..].parse().expect("a number");
        let due = match n {
            5 => Some(1_000),
            6 => Some(1_390),
            _ => None,
        };
        Some(JobRequirements {
            deadline: due,
            priority: if n == 5 { 7 } else { n % 2 },
            duration: FixedDuration(takes(n)),
        })
    };
    let needed = effective_requirements(&graph, 0, asked);
    let due = |n: usize| needed[&job_id(n)].effective_deadline;
    assert_eq!(due(4), Some(992));
    assert_eq!(due(3), Some(987));
    assert_eq!(due(2), Some(987));
    assert_eq!(due(1), Some(937), "by 3, 4 and 5, not by 6, which leaves it until 990");
    assert_eq!(needed[&job_id(1)].priority, 7);
    assert!(!needed.contains_key(&job_id(6)), "nobody awaits it");
    // At 970 the chain 3, 4, 5 needs 63: each has its part of the 30 that are left, and none is overdue.
    let late = effective_requirements(&graph, 970, asked);
    assert_eq!(late[&job_id(4)].effective_deadline, Some(992));
    assert_eq!(late[&job_id(3)].effective_deadline, Some(993), "50 of 63 of 30, after 970");
    graph.on_job_ended(&job_id(4), JobOutcome::Cancelled);
    let off = effective_requirements(&graph, 0, asked);
    assert!(
        !off.contains_key(&job_id(4)) && off[&job_id(1)].effective_deadline == Some(990),
        "{off:?}"
    );
}

// ---- records and versions ----------------------------------------------------------------------

fn job_record(awaits: &[&str]) -> JobRecord {
    JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_700_000_000_000,
        chunk_tasks: 256,
        write_number: 0,
        tier: None,
        depends_on: awaits.iter().map(|a| JobId::from(*a)).collect(),
        spec: job_spec(JobKind::Array, 4, 1.0, "img"),
    }
}

/// What an earlier version reads of a job's key: the fields that it cannot do without, as it wrote them.
#[derive(serde::Deserialize)]
#[allow(dead_code)]
struct EarlierVersionRecord {
    at: u64,
    c: u32,
    j: Value,
}

/// A job that awaits nothing is written as ever; one that awaits others cannot be read, and so not be started, by an
/// earlier version; both are read again as they were, as is what an earlier version has written.
#[test]
fn an_earlier_version_cannot_read_what_it_would_start_too_early() {
    let plain = serde_json::to_value(job_record(&[])).expect("it has a form");
    let waits = serde_json::to_value(job_record(&["wk-1", "wk-2"])).expect("it has a form");
    assert!(serde_json::from_value::<EarlierVersionRecord>(plain.clone()).is_ok());
    assert!(serde_json::from_value::<EarlierVersionRecord>(waits.clone()).is_err());
    for (value, awaits) in [(plain, &[][..]), (waits.clone(), &["wk-1", "wk-2"][..])] {
        let Some(StoredJob::Live(read)) = StoredJob::read(&value) else { panic!("{value}") };
        assert_eq!(*read, job_record(awaits));
    }
    // As the version in production wrote it.
    let fixture = json!({"at": 1_700_000_000_000_u64, "c": 256, "x": false, "xat": 0, "w": 0,
        "j": serde_json::to_value(job_spec(JobKind::Array, 4, 1.0, "img")).expect("it has a form")});
    assert_eq!(StoredJob::read(&fixture), Some(StoredJob::Live(Box::new(job_record(&[])))));
    let over = StoredJob::read(&json!({"e": "d", "n": 4}));
    let last = FinalRecord { state: FinalState::Done, done: 4, ended_wall: None };
    assert_eq!(over, Some(StoredJob::Finished(last)));
    // Neither, or both: not read, never a panic.
    for field in ["p", "c", "at"] {
        let mut odd = waits.clone();
        odd.as_object_mut().expect("a map").remove(field);
        assert_eq!(StoredJob::read(&odd), None, "without {field}");
    }
    let mut twice = waits.clone();
    twice["j"] = fixture["j"].clone();
    assert_eq!(StoredJob::read(&twice), None);
}

fn job_with_dependencies(name: &str, awaits: &[&str], shards: u32, eta_s: f64) -> Value {
    let mut body = job_body(name, "array", "blue", shards, 1.0, eta_s);
    body["awaits"] = json!(awaits);
    body["due_s"] = Value::Null;
    body
}

fn encode_body(body: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(body).expect("JSON packs")
}

#[test]
fn submissions_name_jobs_or_are_malformed() {
    let read = |awaits: Value| {
        let mut body = job_with_dependencies("wk-9", &[], 1, 1.0);
        body["awaits"] = awaits;
        read_submission(&encode_body(&body)).expect("the id can be read")
    };
    let names = |awaits: Value| -> Vec<String> {
        let it = read(awaits);
        assert!(it.spec.is_ok());
        it.depends_on.iter().map(|a| a.to_string()).collect()
    };
    assert_eq!(names(json!(["wk-1", "wk-2", "wk-1"])), ["wk-1", "wk-2"]);
    assert!(names(json!([])).is_empty() && names(Value::Null).is_empty());
    assert_eq!(names(json!(["no id at all"])), ["no id at all"], "known to nobody: not malformed");
    let many: Vec<String> = (0..257).map(|n| format!("wk-{n}")).collect();
    for bad in [json!("wk-1"), json!([1]), json!([null]), json!({}), json!([""]), json!(many)] {
        assert!(read(bad.clone()).spec.is_err(), "{bad}");
    }
}

/// Until each other controller has said that its version knows such jobs, none is accepted; then that is noted once,
/// and one who reads the note needs no other word.
#[test]
fn no_such_job_is_accepted_while_an_earlier_version_may_serve() {
    let now = Now { monotonic: START_MS, wall_clock: START_MS };
    let beat = |node: &str, form| Heartbeat {
        controller: node.into(),
        incarnation: 7,
        format_version: form,
        ..Heartbeat::default()
    };
    let ask = |node: &mut Controller, n: u64| {
        let body = encode_body(&job_with_dependencies("wk-9", &["wk-1"], 1, 1.0));
        node.handle(Event::UserRequest(n, UserRequest::Submit(body)), now);
        let actions = node.take_actions();
        let raises = actions.iter().any(|a| match a {
            Action::CallStore(_, StoreCall::Commit(c)) => {
                c.preconditions.iter().any(|w| w.key == "term/form")
            }
            _ => false,
        });
        let reads = actions.iter().any(
            |a| matches!(a, Action::CallStore(_, StoreCall::Get(key)) if key.ends_with("wk-1")),
        );
        (raises, reads)
    };
    let ready = || {
        let mut node = Controller::new(controller_settings(0), 3, now);
        let types = swiftsail_simulation::simulation::machine_offers(1)
            .into_iter()
            .map(|o| o.machine_type)
            .collect();
        let types = swiftsail_protocol::cloud::MachineTypes { machine_types: types };
        let call = Box::new(swiftsail_controller::cloud::CloudCall::ListTypes);
        node.handle(
            Event::CloudResponse(call, swiftsail_controller::cloud::CloudOutcome::Types(types)),
            now,
        );
        node.take_actions();
        node
    };
    let mut node = ready();
    assert_eq!(ask(&mut node, 1), (false, false), "nobody was heard");
    node.handle(Event::Heartbeat(beat("n1", FORMAT_VERSION)), now);
    assert_eq!(ask(&mut node, 2), (false, false), "n2 was not heard");
    node.handle(Event::Heartbeat(beat("n2", 0)), now);
    assert_eq!(ask(&mut node, 3), (false, false), "n2 is of an earlier version");
    node.handle(Event::Heartbeat(beat("n2", FORMAT_VERSION)), now);
    node.handle(Event::Heartbeat(beat("n1", 0)), now);
    assert_eq!(ask(&mut node, 4), (false, false), "n1 has gone back");
    node.handle(Event::Heartbeat(beat("n1", FORMAT_VERSION)), now);
    assert_eq!(ask(&mut node, 5), (true, false), "all know it");
    // The note of another is enough.
    let mut node = ready();
    let pair = |key: &str, value| swiftsail_protocol::state::KeyValue {
        key: key.into(),
        value,
        mod_revision: 5,
        lease: None,
    };
    let pairs = vec![pair("term/form", json!({ "form": FORMAT_VERSION }))];
    let page = KeyPage { entries: pairs, has_next: false, revision: 9 };
    node.handle(Event::StoreResponse(1, StoreOutcome::Page(page)), now);
    assert_eq!(ask(&mut node, 6), (false, true), "what it awaits is looked up");
}

// ---- on the real cores -------------------------------------------------------------------------

/// Four stages, of which the second has three jobs, and what users set on the last.
fn submit_pipeline(world: &mut Simulation, name: &str, at_ms: u64, cancel: Option<(usize, u64)>) {
    let ids: Vec<String> = (0..6).map(|n| format!("wk-{name}{n}")).collect();
    let stages: [(&[usize], u32, f64); 6] = [
        (&[], 3, 4.0),
        (&[0], 8, 5.0),
        (&[0], 6, 4.0),
        (&[0], 5, 3.0),
        (&[1, 2, 3], 2, 4.0),
        (&[4], 2, 3.0),
    ];
    for (n, (awaits, shards, eta_s)) in stages.into_iter().enumerate() {
        let awaits: Vec<&str> = awaits.iter().map(|a| ids[*a].as_str()).collect();
        let mut body = job_with_dependencies(&ids[n], &awaits, shards, eta_s);
        body["rank"] = if n == 5 { "high" } else { "low" }.into();
        if n == 5 {
            body["due_s"] = json!(90.0);
        }
        let cancel = cancel.filter(|(of, _)| *of == n).map(|(_, at)| at);
        world.submit(at_ms + n as u64 * 400, cancel, body);
    }
}

fn last_status(world: &Simulation, id: &str) -> String {
    let job = world.jobs.iter().find(|j| j.id == id).expect("it was submitted");
    job.last_status.clone().unwrap_or_default()
}

/// While one controller is of an earlier version pipelines are put off, at every controller and whoever ends; all else is
/// served; and once it has been replaced they are taken and run.
#[test]
fn pipelines_are_put_off_while_versions_mix() {
    for seed in 0..6 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        world.old_version_until_ms[seed as usize % 3] = 70_000;
        world.schedule_crash(40_000, (seed as usize + 1) % 3);
        submit_pipeline(&mut world, "a", 20_000, None);
        world.submit(20_000, None, job_body("wk-p", "array", "blue", 3, 1.0, 5.0));
        world.run_until(70_000);
        let accepted =
            |world: &Simulation, id: &str| world.jobs.iter().any(|j| j.id == id && j.accepted);
        assert!(
            accepted(&world, "wk-a0") && last_status(&world, "wk-p") == "done",
            "seed {seed}: others are served"
        );
        for n in 1..6 {
            assert!(!accepted(&world, &format!("wk-a{n}")), "seed {seed}: wk-a{n} was accepted");
        }
        world.run_until(200_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
    }
}

/// Stages run one after the other, and the next begins soon after the one before it.
#[test]
fn a_pipeline_runs_in_order_and_without_delay() {
    let mut world = Simulation::new(1, FaultRates::NONE, 1_000);
    world.submit(500, None, job_body("wk-s", "array", "blue", 30, 1.0, 60.0));
    submit_pipeline(&mut world, "a", 30_000, None);
    world.run_until(120_000);
    assert_all_jobs_over(&world, "calm");
    let ended = world.jobs.iter().find(|j| j.id == "wk-a5").and_then(|j| j.accepted_at);
    assert!(ended.is_some());
    // 4, 5, 4 and 3 s of work, a few fetches and hand-overs.
    let at = world.jobs.iter().map(|j| j.last_answered_at).max().expect("answered");
    assert!(at < START_MS + 120_000, "{}", at - START_MS);
}

/// A cancellation takes all that needs the job with it, through others too, at whatever point it comes, and nothing
/// else; what names a cancelled job later is accepted and called off; one answered `done` calls nothing off.
#[test]
fn a_cancellation_takes_with_it_what_needs_the_job() {
    let (mut off, mut done) = (0, 0);
    for seed in 0..24 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        let which = seed as usize % 5;
        submit_pipeline(&mut world, "a", 15_000, Some((which, 15_500 + seed * 1_500)));
        submit_pipeline(&mut world, "b", 16_000, None);
        let named = format!("wk-a{which}");
        world.submit(80_000, None, job_with_dependencies("wk-late", &[&named, "wk-b0"], 2, 3.0));
        world.submit(80_500, None, job_with_dependencies("wk-later", &["wk-late"], 2, 3.0));
        world.submit(80_500, None, job_with_dependencies("wk-fine", &["wk-b5", "wk-b1"], 2, 3.0));
        world.run_until(200_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        assert_eq!(last_status(&world, "wk-fine"), "done");
        let told = last_status(&world, &named);
        match told.as_str() {
            "done" => done += 1,
            _ => off += 1,
        }
        let after: &[usize] = [&[1, 2, 3, 4, 5][..], &[4, 5], &[4, 5], &[4, 5], &[5]][which];
        for n in 0..6 {
            let expected = if after.contains(&n) || n == which { told.as_str() } else { "done" };
            assert_eq!(last_status(&world, &format!("wk-a{n}")), expected, "seed {seed}: wk-a{n}");
        }
        let late = if told == "done" { "done" } else { "withdrawn" };
        assert_eq!(
            (last_status(&world, "wk-late"), last_status(&world, "wk-later")),
            (late.into(), late.into())
        );
    }
    assert!(off >= 6 && done >= 4, "{off} cancelled in time, {done} not");
}

/// A hundred jobs after one, which is cancelled as the leader ends: whoever is asked says so in time.
#[test]
fn a_hundred_jobs_after_a_cancelled_one() {
    for seed in 0..3 {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        world.submit(500, Some(60_000), job_body("wk-1", "array", "blue", 2, 1.0, 300.0));
        for n in 0..100 {
            let before = if n % 4 == 3 { format!("wk-x{}", n - 1) } else { "wk-1".to_string() };
            world.submit(
                10_000 + n * 150,
                None,
                job_with_dependencies(&format!("wk-x{n}"), &[&before], 3, 4.0),
            );
        }
        world.run_until(60_000);
        if let Some(node) = leader_index(&world) {
            world.schedule_crash(60_020, node);
        }
        world.run_until(160_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        let open = world
            .controllers
            .iter()
            .flatten()
            .find_map(Controller::cluster_state)
            .expect("somebody leads");
        assert!(open.jobs.is_empty(), "{} are still to be ended", open.jobs.len());
    }
}

/// What is named must have been accepted: else 422 at every controller, and a repeat of an accepted job is answered
/// from its record whatever it names.
#[test]
fn only_what_was_accepted_may_be_awaited() {
    let mut world = Simulation::new(4, FaultRates::NONE, 1_000);
    world.submit(500, None, job_body("wk-1", "array", "blue", 1, 1.0, 5.0));
    for n in 0..6 {
        let name = format!("wk-n{n}");
        let itself = [name.as_str()];
        let awaits = match n % 4 {
            0 => &["wk-none"][..],
            1 => &["wk-1", "wk-none"],
            2 => &itself,
            _ => &["not an id"],
        };
        world.submit(20_000 + n as u64 * 700, None, job_with_dependencies(&name, awaits, 1, 2.0));
    }
    world.submit(60_000, None, job_with_dependencies("wk-2", &["wk-1"], 1, 2.0));
    world.submit(90_000, None, job_with_dependencies("wk-2", &["wk-none"], 1, 2.0));
    world.run_until(130_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(last_status(&world, "wk-2"), "done");
    for n in 0..6 {
        let job = world.jobs.iter().find(|j| j.id == format!("wk-n{n}")).expect("submitted");
        assert!(!job.accepted, "{} was accepted", job.id);
    }
    assert!(world.jobs.last().expect("submitted").accepted, "a repeat of a known job");
}

/// While it waits a job holds no part of its team's limit, however much it will take.
#[test]
fn what_waits_holds_nothing_of_a_limit() {
    let mut world = Simulation::new(6, FaultRates::NONE, 1_000);
    let mut long = job_body("wk-1", "array", "red", 1, 1.0, 100.0);
    long["due_s"] = Value::Null;
    world.submit(500, None, long);
    let mut big = job_with_dependencies("wk-2", &["wk-1"], 9, 4.0);
    (big["crew"], big["cpus"]) = ("red".into(), json!(4.0));
    world.submit(2_000, None, big);
    let mut other = job_body("wk-3", "array", "red", 9, 4.0, 5.0);
    other["due_s"] = Value::Null;
    world.submit(3_000, None, other);
    world.run_until(60_000);
    assert_eq!(
        last_status(&world, "wk-3"),
        "done",
        "{:?}",
        world.jobs.iter().map(|j| &j.last_status).collect::<Vec<_>>()
    );
    assert_eq!(last_status(&world, "wk-2"), "pending");
    world.run_until(200_000);
    assert_all_jobs_over(&world, "in the end");
}

/// Pipelines in rough weather: crashes of one and all, outages, lost and late answers, cancellations anywhere; last
/// jobs submitted when the others are long over and moved to their last place, under other leaders.
#[test]
fn pipelines_hold_in_rough_weather() {
    let mut called_off = 0;
    for seed in seeds_from_environment("PIPELINES").unwrap_or(0..12) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xa7);
        let rough = seed % 2 == 0;
        let weather = FaultRates {
            message_loss: if rough { 0.03 } else { 0.0 },
            message_delay: if rough { 0.02 } else { 0.0 },
            crashes: rng.random_range(0..5),
            outages_and_hangs: rng.random_range(0..3),
        };
        let mut world = Simulation::new(seed, weather, 150_000);
        world.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
        if rng.random_bool(0.5) {
            world.add_fault_window(20_000, 120_000, Fault::ConsistencyProbes);
        }
        for n in 0..5 {
            let at = rng.random_range(5_000..110_000);
            let cancel = rng
                .random_bool(0.6)
                .then(|| (rng.random_range(0..6), at + rng.random_range(2_500..40_000)));
            submit_pipeline(&mut world, ["a", "b", "c", "d", "e"][n], at, cancel);
        }
        (0..3).for_each(|n| world.schedule_crash(rng.random_range(60_000..140_000), n));
        world.submit(170_000, None, job_with_dependencies("wk-z", &["wk-a5", "wk-b0"], 2, 3.0));
        world.run_until(420_000);
        assert_all_jobs_over(&world, &format!("seed {seed}"));
        called_off += world
            .jobs
            .iter()
            .filter(|j| j.cancel_at.is_none() && j.last_status.as_deref() == Some("withdrawn"))
            .count();
    }
    assert!(called_off > 8, "{called_off} jobs were called off");
}

/// Machines for what is about to begin are booted by then, and not long before; nothing of it is bound meanwhile.
#[test]
fn machines_are_up_when_the_next_stage_begins() {
    let mut world = Simulation::with_capacity(8, FaultRates::NONE, 1_000, 40);
    // From these it learns how far its class keeps to its estimates.
    for n in 0..4 {
        world.submit(300, None, job_body(&format!("wk-t{n}"), "array", "blue", 10, 0.5, 4.0));
    }
    world.submit(60_000, None, job_body("wk-1", "array", "blue", 2, 1.0, 100.0));
    let mut next = job_with_dependencies("wk-2", &["wk-1"], 40, 6.0);
    next["cpus"] = json!(4.0);
    world.submit(62_000, None, next);
    let up =
        |world: &Simulation| world.cluster.workers.values().filter(|w| !w.is_terminated).count();
    world.run_until(110_000);
    let (before, mut rented, mut done) = (up(&world), None, None);
    assert!(before <= 6, "{before} machines for two tasks");
    for at in (110_000..300_000).step_by(200) {
        world.run_until(at);
        if up(&world) >= 20 {
            rented.get_or_insert(at);
        }
        if (0..2).all(|t| world.cluster.finished_tasks.contains(&format!("wk-1/{t}"))) {
            done.get_or_insert(at);
        }
    }
    assert_all_jobs_over(&world, "in the end");
    let (rented, done) = (rented.expect("machines were rented"), done.expect("it was done"));
    assert!(rented < done && done - rented < 60_000, "rented at {rented}, awaited until {done}");
}

// ---- limits to come ----------------------------------------------------------------------------

/// The lower of the limits that hold and those to come is kept to; nonsense to come is not believed.
#[test]
fn the_lower_of_the_limits_is_kept_to() {
    let text = |next: &str| {
        format!(
            "host_name = \"n0\"\nfront = \"127.0.0.1:1\"\ncluster_listen = \"127.0.0.1:2\"\n\
             [endpoints]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n[settings]\n\
             [settings.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 35.0\n\
             [settings.state]\nrps = 150.0\nwrite_rps = 20.0\nvalue_kb = 32.0\ntxn_ops = 16\n{next}\
             [settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n\
             [settings.machine_limits]\ncores = 0.1\nmem_mb = 40.0\nmax_connections = 500\n"
        )
    };
    let read = |next: &str| {
        let state = Settings::parse("a test", &text(next)).expect("sound").settings.state;
        (state.rps, state.write_rps, state.value_kb, state.txn_ops)
    };
    let as_now = (150.0, 20.0, 32.0, 16);
    assert_eq!(read(""), as_now);
    let next = "[settings.state.next]\n";
    assert_eq!(read(next), as_now);
    assert_eq!(
        read(&format!("{next}write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\n")),
        (150.0, 15.0, 2.0, 5)
    );
    assert_eq!(read(&format!("{next}rps = 900.0\nvalue_kb = 64.0\ntxn_ops = 16\n")), as_now);
    assert_eq!(
        read(&format!("{next}rps = 0.0\nwrite_rps = -3.0\nvalue_kb = nan\ntxn_ops = 0\n")),
        as_now
    );
}

/// Ids are shared, not copied, however many jobs await one.
#[test]
fn a_thousand_jobs_after_one_cost_little() {
    let mut graph = DependencyGraph::default();
    let first = job_id(0);
    for n in 1..=1_000 {
        graph.add_job(&job_id(n), std::slice::from_ref(&first));
    }
    assert!(graph.unfinished_dependencies("wk-7").all(|a| Arc::ptr_eq(a, &first)));
    assert_eq!(graph.on_job_ended(&first, JobOutcome::Done(5)).len(), 1_000);
    assert!(graph.is_empty());
}
