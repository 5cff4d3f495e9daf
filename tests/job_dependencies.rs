//! Jobs with dependencies: readiness, cancellation by dependency and effective deadlines. The dag crate is compared
//! with a naive implementation of the rules, and simulations run the real controllers under crashes, outages and lost
//! messages.

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

/// Jobs that each depend on some of the previous jobs, and the outcomes of the jobs that have ended.
struct RandomDependencies {
    depends_on: Vec<Vec<JobId>>,
    outcomes: BTreeMap<usize, JobOutcome>,
}

fn random_dependencies(seed: u64) -> RandomDependencies {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.random_range(2..30);
    let depends_on: Vec<Vec<JobId>> = (0..count)
        .map(|n| (0..n).filter(|_| rng.random_bool(0.15)).map(job_id).collect())
        .collect();
    let mut outcomes = BTreeMap::new();
    for (n, dependencies) in depends_on.iter().enumerate() {
        // A job can be done only if all its dependencies are; any job can be cancelled.
        let can_be_done = dependencies.iter().all(|a| {
            let number: usize = a[3..].parse().expect("a number");
            matches!(outcomes.get(&number), Some(JobOutcome::Done(_)))
        });
        if rng.random_bool(0.1) {
            outcomes.insert(n, JobOutcome::Cancelled);
        } else if can_be_done && rng.random_bool(0.7) {
            outcomes.insert(n, JobOutcome::Done(rng.random_range(1..1_000)));
        }
    }
    RandomDependencies { depends_on, outcomes }
}

impl RandomDependencies {
    /// The expected state of a job, by a naive implementation of the rules.
    fn expected_state(&self, n: usize) -> DependencyState {
        let number = |a: &JobId| a[3..].parse::<usize>().expect("a number");
        let outcome = |a: &JobId| self.outcomes.get(&number(a)).copied();
        let is_cancelled = |a: &JobId| {
            outcome(a) == Some(JobOutcome::Cancelled)
                || self.expected_state(number(a)) == DependencyState::CancelledByDependency
        };
        if self.depends_on[n].iter().any(is_cancelled) {
            return DependencyState::CancelledByDependency;
        }
        let done = |a: &JobId| match outcome(a) {
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

/// In whatever order jobs are added and end, each has the state that the rules require, and a traversal from the job
/// comes to the same result.
#[test]
fn graph_and_traversal_match_the_naive_rules() {
    let mut state_counts = [0; 3];
    for seed in 0..400 {
        let jobs = random_dependencies(seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x51);
        let mut graph = DependencyGraph::default();
        let mut events: Vec<(bool, usize)> =
            (0..jobs.depends_on.len()).map(|n| (true, n)).collect();
        events.extend(jobs.outcomes.keys().map(|n| (false, *n)));
        for n in (1..events.len()).rev() {
            events.swap(n, rng.random_range(0..=n));
        }
        let mut reported: BTreeMap<JobId, DependencyState> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        for (is_addition, n) in events {
            let mut changed = Vec::new();
            if is_addition {
                graph.add_job(&job_id(n), &jobs.depends_on[n]);
                // Like a leader, repeats the outcomes of dependencies that have already ended.
                for a in &jobs.depends_on[n] {
                    let number: usize = a[3..].parse().expect("a number");
                    let cancelled =
                        graph.state_of(a) == Some(DependencyState::CancelledByDependency);
                    if ended.contains(&number) {
                        changed.extend(graph.on_job_ended(a, jobs.outcomes[&number]));
                    } else if cancelled {
                        changed.extend(graph.on_job_ended(a, JobOutcome::Cancelled));
                    }
                }
            } else {
                ended.insert(n);
                changed.extend(graph.on_job_ended(&job_id(n), jobs.outcomes[&n]));
            }
            for (job, state) in changed {
                assert_eq!(reported.insert(job.clone(), state), None, "seed {seed}: {job} twice");
            }
        }
        for n in (0..jobs.depends_on.len()).filter(|n| !jobs.depends_on[*n].is_empty()) {
            let expected = jobs.expected_state(n);
            assert_eq!(graph.state_of(&job_id(n)), Some(expected), "seed {seed}: wk-{n}");
            state_counts[match expected {
                DependencyState::Waiting => 0,
                DependencyState::Ready(_) => 1,
                DependencyState::CancelledByDependency => 2,
            }] += 1;
            let mut traversal = DependencyTraversal::new(&jobs.depends_on[n]);
            while let Some(next) = traversal.next_job().cloned() {
                let number: usize = next[3..].parse().expect("a number");
                traversal.on_job_state(&match jobs.outcomes.get(&number) {
                    Some(outcome) => VisitedJob::Ended(*outcome),
                    None => VisitedJob::Live(jobs.depends_on[number].clone()),
                });
            }
            let cancelled = traversal.verdict() == Some(DependencyVerdict::CancelledByDependency);
            assert_eq!(
                cancelled,
                expected == DependencyState::CancelledByDependency,
                "seed {seed}: wk-{n} by traversal"
            );
        }
    }
    assert!(state_counts.iter().all(|n| *n > 200), "{state_counts:?}");
}

/// A direct dependency that was never accepted is reported even if another one is cancelled. Corrupt records that form
/// a cycle do not keep a traversal or the deadline search from ending, and the jobs of the cycle wait.
#[test]
fn unknown_dependencies_and_cycles_are_handled() {
    let mut traversal = DependencyTraversal::new(&[job_id(1), job_id(2), job_id(1)]);
    traversal.on_job_state(&VisitedJob::Ended(JobOutcome::Cancelled));
    assert_eq!(traversal.next_job(), Some(&job_id(2)), "every direct dependency is visited");
    traversal.on_job_state(&VisitedJob::NeverAccepted);
    assert_eq!(traversal.verdict(), Some(DependencyVerdict::UnknownDependency(job_id(2))));
    let mut traversal = DependencyTraversal::new(&[job_id(1)]);
    for _ in 0..3 {
        if let Some(next) = traversal.next_job().cloned() {
            traversal.on_job_state(&VisitedJob::Live(vec![next, job_id(1), job_id(2)]));
        }
    }
    assert_eq!(traversal.verdict(), Some(DependencyVerdict::NotCancelled));
    let mut graph = DependencyGraph::default();
    graph.add_job(&job_id(1), &[job_id(2)]);
    graph.add_job(&job_id(2), &[job_id(1)]);
    graph.add_job(&job_id(3), &[job_id(3)]);
    let required = |_: &JobId| {
        Some(JobRequirements { deadline: Some(9), priority: 1, duration: FixedDuration(1.0) })
    };
    assert!(!effective_requirements(&graph, 0, required).is_empty());
    assert_eq!(graph.state_of("wk-1"), Some(DependencyState::Waiting));
    let changed = graph.on_job_ended(&job_id(1), JobOutcome::Cancelled);
    assert_eq!(changed.len(), 2, "{changed:?}");
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
    fn quantile(&self, probability: f64) -> f64 {
        assert_eq!(probability, DOWNSTREAM_PROBABILITY);
        self.0
    }
}

/// A job inherits the earliest deadline over all downstream paths and the highest downstream priority. Ended and
/// cancelled jobs require nothing. If too little time is left for a path, it is divided in proportion to the durations.
#[test]
fn deadlines_propagate_backward_along_all_paths() {
    let mut graph = DependencyGraph::default();
    // 1 -> 2 -> 4, 1 -> 3 -> 4 -> 5, 1 -> 6
    for (job, depends_on) in
        [(2, vec![1]), (3, vec![1]), (4, vec![2, 3]), (5, vec![4]), (6, vec![1])]
    {
        graph.add_job(&job_id(job), &depends_on.into_iter().map(job_id).collect::<Vec<_>>());
    }
    let duration = |n: usize| [0.0, 10.0, 20.0, 50.0, 5.0, 8.0, 400.0][n];
    let required = |job: &JobId| {
        let n: usize = job[3..].parse().expect("a number");
        let deadline = match n {
            5 => Some(1_000),
            6 => Some(1_390),
            _ => None,
        };
        Some(JobRequirements {
            deadline,
            priority: if n == 5 { 7 } else { n % 2 },
            duration: FixedDuration(duration(n)),
        })
    };
    let effective = effective_requirements(&graph, 0, required);
    let deadline = |n: usize| effective[&job_id(n)].effective_deadline;
    assert_eq!(deadline(4), Some(992));
    assert_eq!(deadline(3), Some(987));
    assert_eq!(deadline(2), Some(987));
    assert_eq!(deadline(1), Some(937), "by the path over 3, 4 and 5; 6 alone would allow 990");
    assert_eq!(effective[&job_id(1)].priority, 7);
    assert!(!effective.contains_key(&job_id(6)), "it has no dependents");
    // At 970 the chain 3, 4, 5 takes 63 ms: the remaining 30 ms are divided, and no job counts as overdue.
    let late = effective_requirements(&graph, 970, required);
    assert_eq!(late[&job_id(4)].effective_deadline, Some(992));
    assert_eq!(late[&job_id(3)].effective_deadline, Some(993), "970 plus 50/63 of 30");
    graph.on_job_ended(&job_id(4), JobOutcome::Cancelled);
    let after_cancellation = effective_requirements(&graph, 0, required);
    assert!(
        !after_cancellation.contains_key(&job_id(4))
            && after_cancellation[&job_id(1)].effective_deadline == Some(990),
        "{after_cancellation:?}"
    );
}

// ---- records and versions ----------------------------------------------------------------------

fn job_record(depends_on: &[&str]) -> JobRecord {
    JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_700_000_000_000,
        chunk_tasks: 256,
        write_number: 0,
        tier: None,
        depends_on: depends_on.iter().map(|a| JobId::from(*a)).collect(),
        spec: job_spec(JobKind::Array, 4, 1.0, "img"),
    }
}

/// The fields that an earlier version requires in a job record.
#[derive(serde::Deserialize)]
#[allow(dead_code)]
struct EarlierVersionRecord {
    at: u64,
    c: u32,
    j: Value,
}

/// The record of a job without dependencies can be read by an earlier version. That of a job with dependencies cannot,
/// so that an earlier version does not start it too early. This version reads both, and records of earlier versions.
#[test]
fn earlier_version_cannot_read_jobs_with_dependencies() {
    let plain = serde_json::to_value(job_record(&[])).expect("it can be serialised");
    let dependent =
        serde_json::to_value(job_record(&["wk-1", "wk-2"])).expect("it can be serialised");
    assert!(serde_json::from_value::<EarlierVersionRecord>(plain.clone()).is_ok());
    assert!(serde_json::from_value::<EarlierVersionRecord>(dependent.clone()).is_err());
    for (value, depends_on) in [(plain, &[][..]), (dependent.clone(), &["wk-1", "wk-2"][..])] {
        let Some(StoredJob::Live(read)) = StoredJob::read(&value) else { panic!("{value}") };
        assert_eq!(*read, job_record(depends_on));
    }
    // As written by the version in production.
    let fixture = json!({"at": 1_700_000_000_000_u64, "c": 256, "x": false, "xat": 0, "w": 0,
        "j": serde_json::to_value(job_spec(JobKind::Array, 4, 1.0, "img")).expect("it can be serialised")});
    assert_eq!(StoredJob::read(&fixture), Some(StoredJob::Live(Box::new(job_record(&[])))));
    let finished = StoredJob::read(&json!({"e": "d", "n": 4}));
    let final_record = FinalRecord { state: FinalState::Done, done: 4, ended_wall: None };
    assert_eq!(finished, Some(StoredJob::Finished(final_record)));
    // Records with missing fields, or with fields of both formats, are rejected without a panic.
    for field in ["p", "c", "at"] {
        let mut invalid = dependent.clone();
        invalid.as_object_mut().expect("a map").remove(field);
        assert_eq!(StoredJob::read(&invalid), None, "without {field}");
    }
    let mut both = dependent.clone();
    both["j"] = fixture["j"].clone();
    assert_eq!(StoredJob::read(&both), None);
}

fn job_with_dependencies(name: &str, depends_on: &[&str], tasks: u32, eta_s: f64) -> Value {
    let mut body = job_body(name, "array", "blue", tasks, 1.0, eta_s);
    body["awaits"] = json!(depends_on);
    body["due_s"] = Value::Null;
    body
}

fn encode_body(body: &Value) -> Vec<u8> {
    rmp_serde::to_vec_named(body).expect("JSON can be encoded")
}

/// Dependencies in a submission must be a list of non-empty names, at most 256.
#[test]
fn malformed_dependencies_are_rejected() {
    let read = |awaits: Value| {
        let mut body = job_with_dependencies("wk-9", &[], 1, 1.0);
        body["awaits"] = awaits;
        read_submission(&encode_body(&body)).expect("the id can be read")
    };
    let names = |awaits: Value| -> Vec<String> {
        let submission = read(awaits);
        assert!(submission.spec.is_ok());
        submission.depends_on.iter().map(|a| a.to_string()).collect()
    };
    assert_eq!(names(json!(["wk-1", "wk-2", "wk-1"])), ["wk-1", "wk-2"]);
    assert!(names(json!([])).is_empty() && names(Value::Null).is_empty());
    assert_eq!(
        names(json!(["no id at all"])),
        ["no id at all"],
        "an unknown name is not malformed"
    );
    let many: Vec<String> = (0..257).map(|n| format!("wk-{n}")).collect();
    for malformed in [json!("wk-1"), json!([1]), json!([null]), json!({}), json!([""]), json!(many)]
    {
        assert!(read(malformed.clone()).spec.is_err(), "{malformed}");
    }
}

/// Jobs with dependencies are accepted only after every other controller has reported a version that supports them.
/// This is then recorded in the state service, and the record alone is sufficient for other controllers.
#[test]
fn dependencies_are_rejected_while_an_earlier_version_may_run() {
    let now = Now { monotonic: START_MS, wall_clock: START_MS };
    let heartbeat = |node: &str, form| Heartbeat {
        controller: node.into(),
        incarnation: 7,
        format_version: form,
        ..Heartbeat::default()
    };
    let submit = |node: &mut Controller, n: u64| {
        let body = encode_body(&job_with_dependencies("wk-9", &["wk-1"], 1, 1.0));
        node.handle(Event::UserRequest(n, UserRequest::Submit(body)), now);
        let actions = node.take_actions();
        let records_format = actions.iter().any(|a| match a {
            Action::CallStore(_, StoreCall::Commit(c)) => {
                c.preconditions.iter().any(|w| w.key == "term/form")
            }
            _ => false,
        });
        let reads_dependency = actions.iter().any(
            |a| matches!(a, Action::CallStore(_, StoreCall::Get(key)) if key.ends_with("wk-1")),
        );
        (records_format, reads_dependency)
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
    assert_eq!(submit(&mut node, 1), (false, false), "no heartbeat received");
    node.handle(Event::Heartbeat(heartbeat("n1", FORMAT_VERSION)), now);
    assert_eq!(submit(&mut node, 2), (false, false), "no heartbeat of n2");
    node.handle(Event::Heartbeat(heartbeat("n2", 0)), now);
    assert_eq!(submit(&mut node, 3), (false, false), "n2 has an earlier version");
    node.handle(Event::Heartbeat(heartbeat("n2", FORMAT_VERSION)), now);
    node.handle(Event::Heartbeat(heartbeat("n1", 0)), now);
    assert_eq!(submit(&mut node, 4), (false, false), "n1 was downgraded");
    node.handle(Event::Heartbeat(heartbeat("n1", FORMAT_VERSION)), now);
    assert_eq!(submit(&mut node, 5), (true, false), "all controllers support it");
    // A format version recorded by another controller is sufficient.
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
    assert_eq!(submit(&mut node, 6), (false, true), "its dependency is read");
}

// ---- simulations -------------------------------------------------------------------------------

/// Submits a pipeline of four stages, of which the second has three jobs and the last has a deadline and a higher
/// priority.
fn submit_pipeline(sim: &mut Simulation, name: &str, at_ms: u64, cancel: Option<(usize, u64)>) {
    let ids: Vec<String> = (0..6).map(|n| format!("wk-{name}{n}")).collect();
    let stages: [(&[usize], u32, f64); 6] = [
        (&[], 3, 4.0),
        (&[0], 8, 5.0),
        (&[0], 6, 4.0),
        (&[0], 5, 3.0),
        (&[1, 2, 3], 2, 4.0),
        (&[4], 2, 3.0),
    ];
    for (n, (depends_on, tasks, eta_s)) in stages.into_iter().enumerate() {
        let depends_on: Vec<&str> = depends_on.iter().map(|a| ids[*a].as_str()).collect();
        let mut body = job_with_dependencies(&ids[n], &depends_on, tasks, eta_s);
        body["rank"] = if n == 5 { "high" } else { "low" }.into();
        if n == 5 {
            body["due_s"] = json!(90.0);
        }
        let cancel = cancel.filter(|(of, _)| *of == n).map(|(_, at)| at);
        sim.submit(at_ms + n as u64 * 400, cancel, body);
    }
}

fn last_status(sim: &Simulation, id: &str) -> String {
    let job = sim.jobs.iter().find(|j| j.id == id).expect("it was submitted");
    job.last_status.clone().unwrap_or_default()
}

/// While one controller has an earlier version, jobs with dependencies are not accepted by any controller, also after a
/// crash, and all other jobs are served. After the upgrade they are accepted and run.
#[test]
fn pipelines_are_deferred_during_rolling_upgrade() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        sim.old_version_until_ms[seed as usize % 3] = 70_000;
        sim.schedule_crash(40_000, (seed as usize + 1) % 3);
        submit_pipeline(&mut sim, "a", 20_000, None);
        sim.submit(20_000, None, job_body("wk-p", "array", "blue", 3, 1.0, 5.0));
        sim.run_until(70_000);
        let accepted =
            |sim: &Simulation, id: &str| sim.jobs.iter().any(|j| j.id == id && j.accepted);
        assert!(
            accepted(&sim, "wk-a0") && last_status(&sim, "wk-p") == "done",
            "seed {seed}: jobs without dependencies are served"
        );
        for n in 1..6 {
            assert!(!accepted(&sim, &format!("wk-a{n}")), "seed {seed}: wk-a{n} was accepted");
        }
        sim.run_until(200_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
    }
}

/// Stages run one after another, and each starts soon after the previous one.
#[test]
fn pipeline_stages_run_in_order_without_delay() {
    let mut sim = Simulation::new(1, FaultRates::NONE, 1_000);
    sim.submit(500, None, job_body("wk-s", "array", "blue", 30, 1.0, 60.0));
    submit_pipeline(&mut sim, "a", 30_000, None);
    sim.run_until(120_000);
    assert_all_jobs_over(&sim, "no faults");
    let accepted_at = sim.jobs.iter().find(|j| j.id == "wk-a5").and_then(|j| j.accepted_at);
    assert!(accepted_at.is_some());
    // 4, 5, 4 and 3 s of run time, image fetches and the delays between stages.
    let last_answer_at = sim.jobs.iter().map(|j| j.last_answered_at).max().expect("answered");
    assert!(last_answer_at < START_MS + 120_000, "{}", last_answer_at - START_MS);
}

/// Cancelling a job at any time cancels exactly its direct and transitive dependents. Later submissions that depend on
/// a cancelled job are accepted and cancelled. If the cancellation comes too late and is answered with `done`, nothing
/// is cancelled.
#[test]
fn cancellation_reaches_exactly_the_dependents() {
    let (mut cancelled_count, mut done_count) = (0, 0);
    for seed in 0..24 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        let cancelled = seed as usize % 5;
        submit_pipeline(&mut sim, "a", 15_000, Some((cancelled, 15_500 + seed * 1_500)));
        submit_pipeline(&mut sim, "b", 16_000, None);
        let cancelled_id = format!("wk-a{cancelled}");
        sim.submit(
            80_000,
            None,
            job_with_dependencies("wk-late", &[&cancelled_id, "wk-b0"], 2, 3.0),
        );
        sim.submit(80_500, None, job_with_dependencies("wk-later", &["wk-late"], 2, 3.0));
        sim.submit(80_500, None, job_with_dependencies("wk-fine", &["wk-b5", "wk-b1"], 2, 3.0));
        sim.run_until(200_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        assert_eq!(last_status(&sim, "wk-fine"), "done");
        let status = last_status(&sim, &cancelled_id);
        match status.as_str() {
            "done" => done_count += 1,
            _ => cancelled_count += 1,
        }
        let dependents: &[usize] =
            [&[1, 2, 3, 4, 5][..], &[4, 5], &[4, 5], &[4, 5], &[5]][cancelled];
        for n in 0..6 {
            let expected =
                if dependents.contains(&n) || n == cancelled { status.as_str() } else { "done" };
            assert_eq!(last_status(&sim, &format!("wk-a{n}")), expected, "seed {seed}: wk-a{n}");
        }
        let late_status = if status == "done" { "done" } else { "withdrawn" };
        assert_eq!(
            (last_status(&sim, "wk-late"), last_status(&sim, "wk-later")),
            (late_status.into(), late_status.into())
        );
    }
    assert!(
        cancelled_count >= 6 && done_count >= 4,
        "{cancelled_count} cancelled in time, {done_count} not"
    );
}

/// A job with a hundred dependents is cancelled just before the leader crashes: every controller reports the dependents
/// as cancelled in time, and no job stays open.
#[test]
fn cancellation_with_many_dependents_survives_leader_crash() {
    for seed in 0..3 {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        sim.submit(500, Some(60_000), job_body("wk-1", "array", "blue", 2, 1.0, 300.0));
        for n in 0..100 {
            let dependency = if n % 4 == 3 { format!("wk-x{}", n - 1) } else { "wk-1".to_string() };
            sim.submit(
                10_000 + n * 150,
                None,
                job_with_dependencies(&format!("wk-x{n}"), &[&dependency], 3, 4.0),
            );
        }
        sim.run_until(60_000);
        if let Some(node) = leader_index(&sim) {
            sim.schedule_crash(60_020, node);
        }
        sim.run_until(160_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        let cluster_state = sim
            .controllers
            .iter()
            .flatten()
            .find_map(Controller::cluster_state)
            .expect("a controller leads");
        assert!(cluster_state.jobs.is_empty(), "{} jobs are still open", cluster_state.jobs.len());
    }
}

/// A dependency must be an accepted job; otherwise every controller answers 422. A repeated submission of an accepted
/// job is answered from its record, whatever dependencies it names.
#[test]
fn dependencies_must_be_accepted_jobs() {
    let mut sim = Simulation::new(4, FaultRates::NONE, 1_000);
    sim.submit(500, None, job_body("wk-1", "array", "blue", 1, 1.0, 5.0));
    for n in 0..6 {
        let name = format!("wk-n{n}");
        let itself = [name.as_str()];
        let depends_on = match n % 4 {
            0 => &["wk-none"][..],
            1 => &["wk-1", "wk-none"],
            2 => &itself,
            _ => &["not an id"],
        };
        sim.submit(20_000 + n as u64 * 700, None, job_with_dependencies(&name, depends_on, 1, 2.0));
    }
    sim.submit(60_000, None, job_with_dependencies("wk-2", &["wk-1"], 1, 2.0));
    sim.submit(90_000, None, job_with_dependencies("wk-2", &["wk-none"], 1, 2.0));
    sim.run_until(130_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    assert_eq!(last_status(&sim, "wk-2"), "done");
    for n in 0..6 {
        let job = sim.jobs.iter().find(|j| j.id == format!("wk-n{n}")).expect("submitted");
        assert!(!job.accepted, "{} was accepted", job.id);
    }
    assert!(
        sim.jobs.last().expect("submitted").accepted,
        "a repeated submission of an accepted job"
    );
}

/// A job that waits for its dependencies uses nothing of its team's limit, however large it is.
#[test]
fn waiting_job_uses_no_quota() {
    let mut sim = Simulation::new(6, FaultRates::NONE, 1_000);
    let mut long = job_body("wk-1", "array", "red", 1, 1.0, 100.0);
    long["due_s"] = Value::Null;
    sim.submit(500, None, long);
    let mut big = job_with_dependencies("wk-2", &["wk-1"], 9, 4.0);
    (big["crew"], big["cpus"]) = ("red".into(), json!(4.0));
    sim.submit(2_000, None, big);
    let mut other = job_body("wk-3", "array", "red", 9, 4.0, 5.0);
    other["due_s"] = Value::Null;
    sim.submit(3_000, None, other);
    sim.run_until(60_000);
    assert_eq!(
        last_status(&sim, "wk-3"),
        "done",
        "{:?}",
        sim.jobs.iter().map(|j| &j.last_status).collect::<Vec<_>>()
    );
    assert_eq!(last_status(&sim, "wk-2"), "pending");
    sim.run_until(200_000);
    assert_all_jobs_over(&sim, "at the end");
}

/// Pipelines under crashes of single and all controllers, outages, lost and late messages, and cancellations of any
/// job. A last job is submitted when its dependencies have long ended and their records are archived, under another
/// leader.
#[test]
fn pipelines_complete_under_faults() {
    let mut cancelled_by_dependency = 0;
    for seed in seeds_from_environment("PIPELINES").unwrap_or(0..12) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xa7);
        let has_message_faults = seed % 2 == 0;
        let faults = FaultRates {
            message_loss: if has_message_faults { 0.03 } else { 0.0 },
            message_delay: if has_message_faults { 0.02 } else { 0.0 },
            crashes: rng.random_range(0..5),
            outages_and_hangs: rng.random_range(0..3),
        };
        let mut sim = Simulation::new(seed, faults, 150_000);
        sim.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
        if rng.random_bool(0.5) {
            sim.add_fault_window(20_000, 120_000, Fault::ConsistencyProbes);
        }
        for n in 0..5 {
            let at = rng.random_range(5_000..110_000);
            let cancel = rng
                .random_bool(0.6)
                .then(|| (rng.random_range(0..6), at + rng.random_range(2_500..40_000)));
            submit_pipeline(&mut sim, ["a", "b", "c", "d", "e"][n], at, cancel);
        }
        (0..3).for_each(|n| sim.schedule_crash(rng.random_range(60_000..140_000), n));
        sim.submit(170_000, None, job_with_dependencies("wk-z", &["wk-a5", "wk-b0"], 2, 3.0));
        sim.run_until(420_000);
        assert_all_jobs_over(&sim, &format!("seed {seed}"));
        cancelled_by_dependency += sim
            .jobs
            .iter()
            .filter(|j| j.cancel_at.is_none() && j.last_status.as_deref() == Some("withdrawn"))
            .count();
    }
    assert!(cancelled_by_dependency > 8, "{cancelled_by_dependency} jobs cancelled by dependency");
}

/// Machines for a dependent job are rented before its dependency ends, but not long before.
#[test]
fn machines_are_rented_ahead_of_the_next_stage() {
    let mut sim = Simulation::with_capacity(8, FaultRates::NONE, 1_000, 40);
    // These jobs let the controllers learn how accurate the estimates of the class are.
    for n in 0..4 {
        sim.submit(300, None, job_body(&format!("wk-t{n}"), "array", "blue", 10, 0.5, 4.0));
    }
    sim.submit(60_000, None, job_body("wk-1", "array", "blue", 2, 1.0, 100.0));
    let mut next = job_with_dependencies("wk-2", &["wk-1"], 40, 6.0);
    next["cpus"] = json!(4.0);
    sim.submit(62_000, None, next);
    let machine_count =
        |sim: &Simulation| sim.cluster.workers.values().filter(|w| !w.is_terminated).count();
    sim.run_until(110_000);
    let (before, mut rented, mut done) = (machine_count(&sim), None, None);
    assert!(before <= 6, "{before} machines for two tasks");
    for at in (110_000..300_000).step_by(200) {
        sim.run_until(at);
        if machine_count(&sim) >= 20 {
            rented.get_or_insert(at);
        }
        if (0..2).all(|t| sim.cluster.finished_tasks.contains(&format!("wk-1/{t}"))) {
            done.get_or_insert(at);
        }
    }
    assert_all_jobs_over(&sim, "at the end");
    let (rented, done) = (rented.expect("machines were rented"), done.expect("it was done"));
    assert!(
        rented < done && done - rented < 60_000,
        "rented at {rented}, dependency done at {done}"
    );
}

// ---- announced limits --------------------------------------------------------------------------

/// The lower of the current and the announced limits of the state service applies; invalid announced limits are
/// ignored.
#[test]
fn lower_of_current_and_announced_limits_applies() {
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
        let state =
            Settings::parse("a test", &text(next)).expect("the settings are valid").settings.state;
        (state.rps, state.write_rps, state.value_kb, state.txn_ops)
    };
    let current = (150.0, 20.0, 32.0, 16);
    assert_eq!(read(""), current);
    let next = "[settings.state.next]\n";
    assert_eq!(read(next), current);
    assert_eq!(
        read(&format!("{next}write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\n")),
        (150.0, 15.0, 2.0, 5)
    );
    assert_eq!(read(&format!("{next}rps = 900.0\nvalue_kb = 64.0\ntxn_ops = 16\n")), current);
    assert_eq!(
        read(&format!("{next}rps = 0.0\nwrite_rps = -3.0\nvalue_kb = nan\ntxn_ops = 0\n")),
        current
    );
}

/// The id of a job with many dependents is shared, not copied.
#[test]
fn dependency_ids_are_shared() {
    let mut graph = DependencyGraph::default();
    let first = job_id(0);
    for n in 1..=1_000 {
        graph.add_job(&job_id(n), std::slice::from_ref(&first));
    }
    assert!(graph.unfinished_dependencies("wk-7").all(|a| Arc::ptr_eq(a, &first)));
    assert_eq!(graph.on_job_ended(&first, JobOutcome::Done(5)).len(), 1_000);
    assert!(graph.is_empty());
}
