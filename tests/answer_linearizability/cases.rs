//! What is asked of the smallest world.

use super::*;
use crate::common::seeds::seeds_from_environment;

/// A day of some seconds on which so many jobs come and go.
fn run_day(seed: u64, jobs: u64, stages: u64, ways: StoreFaults, memory_mb: f64) -> AnswerModel {
    let mut small = AnswerModel::new(seed, ways, memory_mb);
    if memory_mb < 1.0 {
        // More than are kept for polls: every question is a read of its job's own key.
        (0..200).for_each(|n| small.put_record(&format!("wk-x{n}"), false));
    }
    small.run_until(3_000);
    for n in 0..jobs {
        small.submit(3_000 + n * 150, format!("wk-{n}"));
        for stage in 0..stages {
            let before = small.ids.len() - 1;
            small.add_job(format!("wk-{n}s{stage}"), Some(before));
        }
    }
    if seed % 3 == 2 {
        let node = small.rng.random_range(0..CONTROLLER_COUNT);
        let at = START_MS + 3_000 + small.rng.random_range(0..jobs * 150);
        small.schedule(at, ModelEvent::Restart(node));
    }
    small.run_until(3_000 + jobs * 150 + 12_000);
    small
}

/// Whatever the order in which the state service carries out and answers calls, and whatever is lost or late: all
/// answers about a job, of all controllers, follow one order.
#[test]
fn answers_of_all_controllers_follow_one_order() {
    check_one_order(40.0, 0, 0..30);
}

/// The same of jobs that await others: once a job before it is called off, no controller calls one open that has called
/// it off, whatever it keeps and however old that is.
#[test]
fn answers_about_stages_follow_one_order() {
    check_one_order(40.0, 2, 0..15);
    check_one_order(0.2, 2, 0..15);
}

/// The same where nothing is kept for polls: questions about one job share a read of its key that began after them.
#[test]
fn answers_from_single_keys_follow_one_order() {
    check_one_order(0.2, 0, 0..15);
}

fn check_one_order(memory_mb: f64, stages: u64, days: std::ops::Range<u64>) {
    let least = days.end;
    let mut met: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds_from_environment("ANSWERS").unwrap_or(days) {
        let ways = match seed % 3 {
            0 => StoreFaults {
                max_delay_ms: 200,
                answer_loss: 0.0,
                late_application: 0.0,
                refusal: 0.0,
            },
            1 => StoreFaults {
                max_delay_ms: 900,
                answer_loss: 0.05,
                late_application: 0.02,
                refusal: 0.01,
            },
            _ => StoreFaults {
                max_delay_ms: 500,
                answer_loss: 0.15,
                late_application: 0.05,
                refusal: 0.03,
            },
        };
        let small = run_day(seed, if stages > 0 { 14 } else { 40 }, stages, ways, memory_mb);
        assert!(small.violations.is_empty(), "seed {seed}: {:?}", small.violations);
        for (what, times) in small.fault_counts {
            *met.entry(what).or_default() += times;
        }
    }
    println!("{met:?}");
    for what in ["answer lost", "carried out late"] {
        assert!(met[what] > 2 * least, "{what}: {met:?}");
    }
    for what in ["moved while asked about", "ended while asked about"] {
        assert!(met[what] > 10 * least, "{what}: {met:?}");
    }
    assert!(stages == 0 || met["called off"] > 3 * least, "called off: {met:?}");
}

/// A call without an answer says that the state service is away, unless one that left later has its answer.
#[test]
fn one_lost_answer_is_no_outage() {
    use swiftsail_controller::store::{CallPriority, RetryPolicy, StoreClient};
    for (answered, away) in [(Some(1), false), (Some(0), true), (None, true)] {
        let mut store: StoreClient<u8> = StoreClient::new(100.0, 100.0, 0);
        let mut left = Vec::new();
        for n in 0..3u64 {
            let call = StoreCall::Get(format!("job/wk-{n}"));
            store.push(call, n as u8, CallPriority::Normal, RetryPolicy::OnceBefore(9_000));
            left.extend(store.take_due_calls(n * 100).0.into_iter().map(|(id, _)| id));
        }
        let silent = if answered == Some(1) { 0 } else { 1 };
        if let Some(n) = answered {
            store.finish(left[n], StoreOutcome::Missing { revision: 1 }, 400);
        }
        store.finish(left[silent], StoreOutcome::Unknown, 1_700);
        assert_eq!(store.is_unavailable(), away, "{answered:?} was answered");
        store.finish(left[2], StoreOutcome::Unavailable, 1_800);
        assert!(store.is_unavailable(), "a refusal is an answer of now");
    }
}

/// More jobs than a controller keeps for polls: at the moment at which they are too many, who waits reads its job's
/// own key, and no accepted job is unknown.
#[test]
fn more_jobs_than_are_kept_for_polls_are_still_known() {
    for seed in 0..3 {
        let ways =
            StoreFaults { max_delay_ms: 60, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 };
        let mut small = AnswerModel::new(seed, ways, 0.2);
        small.run_until(6_000);
        // Nothing of these ends: there is no machine.
        for n in 0..400 {
            small.put_record(&format!("wk-x{n}"), false);
            if n % 4 == 0 {
                small.run_until(6_000 + n * 10);
                for node in 0..CONTROLLER_COUNT {
                    let job = small.jobs_known(n);
                    small.send_request(job, node, UserAction::Poll);
                }
            }
        }
        small.run_until(14_000);
        assert!(small.violations.is_empty(), "seed {seed}: {:?}", small.violations);
        assert!(small.fault_count("answered") > 200, "{:?}", small.fault_counts);
    }
}

/// A controller that begins anew lists the jobs while polls come, more a second than it may read single keys: the
/// listing comes first, and from its end on one read serves all.
#[test]
fn the_listing_does_not_wait_behind_the_polls_that_wait_for_it() {
    for seed in 0..3 {
        let mut small = AnswerModel::new(seed, no_delays(), 40.0);
        small.is_scripted = true;
        (0..350).for_each(|n| small.put_record(&format!("wk-x{n}"), false));
        small.run_until(6_000);
        // The leader may read more.
        let node =
            (0..CONTROLLER_COUNT).find(|n| !small.controllers[*n].is_leader()).expect("one leads");
        small.schedule(START_MS + 6_000, ModelEvent::Restart(node));
        for n in 0..3_500u64 {
            let job = small.rng.random_range(0..350);
            small.schedule(
                START_MS + 6_100 + n * 8,
                ModelEvent::UserRequest(job, node, UserAction::Poll),
            );
        }
        small.run_until(18_000);
        let early = small.fault_count("turned away");
        assert!(early > 50, "seed {seed}: {early} turned away: there were too few polls");
        small.run_until(35_000);
        let late = small.fault_count("turned away") - early;
        assert_eq!(late, 0, "seed {seed}: turned away once the jobs could be listed");
        assert!(small.violations.is_empty(), "seed {seed}: {:?}", small.violations);
    }
}

/// A record that this version cannot read belongs to a job that was accepted: nobody says that it is unknown.
#[test]
fn a_record_that_cannot_be_read_is_no_unknown_job() {
    let ways =
        StoreFaults { max_delay_ms: 20, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 };
    let mut small = AnswerModel::new(1, ways, 40.0);
    small.run_until(8_000);
    small.put_record("wk-x0", true);
    small.run_until(9_000);
    for what in [UserAction::Poll, UserAction::Submit, UserAction::Poll, UserAction::Cancel] {
        for node in 0..CONTROLLER_COUNT {
            let job = small.jobs_known(0);
            small.send_request(job, node, what);
        }
        small.run_until(small.now - START_MS + 1_500);
    }
    assert!(small.violations.is_empty(), "{:?}", small.violations);
    assert!(small.fault_count("turned away") >= 9, "{:?}", small.fault_counts);
}

fn no_delays() -> StoreFaults {
    StoreFaults { max_delay_ms: 20, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 }
}

/// Whether a transaction accepts a job, or calls one off.
fn accepts_or_cancels(commit: &Transaction) -> bool {
    let its = |c: &Mutation| match c {
        Mutation::Put { key: write, value, .. } => {
            write.starts_with(keys::JOBS) && value["e"].is_null()
        }
        Mutation::Delete { .. } => false,
    };
    commit.mutations.iter().any(its)
}

/// An acceptance and a cancellation are carried out at once and only the answer is lost: the controller that was asked
/// finds out and says so itself, and the others knew it before.
#[test]
fn whoever_is_left_without_an_answer_finds_out() {
    for seed in 0..20 {
        let mut small = AnswerModel::new(seed, no_delays(), 40.0);
        small.run_until(5_000);
        (small.loses_answer_of, small.is_scripted) = (accepts_or_cancels, true);
        for n in 0..6 {
            small.put_record(&format!("wk-x{n}"), false);
            small.add_job(format!("wk-{n}"), None);
        }
        for (job, node) in (0..12).zip([0, 1, 2, 2, 0, 1, 1, 2, 0, 0, 1, 2]) {
            let at = small.now - START_MS + 400;
            small.run_until(at);
            // The latter are new, the former known.
            let what = if job % 2 == 0 { UserAction::Cancel } else { UserAction::Submit };
            small.send_request(job, node, what);
            small.run_until(at + 150);
            for other in (0..CONTROLLER_COUNT).filter(|n| *n != node) {
                small.send_request(job, other, UserAction::Poll);
                small.send_request(job, other, UserAction::Submit);
            }
            small.run_until(at + 1_499);
            let told = small.told[job].keys().max().copied();
            let due = if what == UserAction::Cancel {
                ReportedStatus::Cancelled
            } else {
                ReportedStatus::Accepted
            };
            assert_eq!(told, Some(due), "seed {seed}: the others know {}", small.ids[job]);
            small.run_until(at + 2_400);
            let waits = small
                .pending_requests
                .iter()
                .any(|((n, _), (j, w, _))| (*n, *j, *w) == (node, job, what));
            assert!(!waits, "seed {seed}: {} is answered", small.ids[job]);
        }
        assert!(small.violations.is_empty(), "seed {seed}: {:?}", small.violations);
        assert_eq!(small.fault_count("turned away"), 0, "seed {seed}: {:?}", small.fault_counts);
        assert!(small.fault_count("lost by choice") >= 12, "seed {seed}: {:?}", small.fault_counts);
    }
}

/// Records of jobs that are over move two at a time. Of a pair one has moved already, by an earlier try: the other
/// is not forgotten for that.
#[test]
fn what_has_moved_already_keeps_nothing_from_moving() {
    for seed in 0..8 {
        let mut small = AnswerModel::new(seed, no_delays(), 40.0);
        for n in 0..6 {
            small.put_record(&format!("wk-x{n}"), false);
            small.end_job_now(n);
        }
        small.moves_before_transaction = Some(seed as usize % 2);
        small.run_until(20_000);
        assert_eq!(small.fault_count("moved first"), 1);
        assert_eq!(
            small.store.count_keys(keys::JOBS),
            0,
            "seed {seed}: none is left where it ended"
        );
        assert_eq!(small.store.count_keys(keys::FINALS), 6);
    }
}

/// What can never run, lacks a field, or is known already, at every controller: before it knows the machine types and
/// after, and once more when all of it has been said.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn odd_requests_get_the_same_answer_everywhere() {
    for seed in 0..4 {
        let mut small = AnswerModel::new(seed, no_delays(), 40.0);
        small.machine_types_known_at = START_MS + 120_000;
        small.put_record("wk-x0", false);
        small.run_until(6_000);
        let mut odd: Vec<(serde_json::Value, u16, u16)> = Vec::new();
        let mut add = |field: &str, value: serde_json::Value, before: u16, after: u16| {
            let mut body = one_task_job_body(&format!("wk-o{}", odd.len()));
            match value.is_null() {
                true => drop(body.as_object_mut().expect("a map").remove(field)),
                false => body[field] = value,
            }
            odd.push((body, before, after));
        };
        for field in ["jobclass", "crew", "shape", "rank", "shards", "cpus", "accelerators"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        for field in ["memory_gb", "bundle", "pull_gb", "one_zone", "scatter", "driftwood"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        for field in ["eta_s", "mark_s", "stow_s"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        add("shards", 0.into(), 400, 400);
        add("shards", 100_001.into(), 400, 400);
        add("shards", 1.5.into(), 400, 400);
        add("cpus", (-1.0).into(), 400, 400);
        add("hulls", serde_json::json!([]), 400, 400);
        add("crew", "nobody".into(), 422, 422);
        add("cpus", 10_000.0.into(), 503, 422);
        add("hulls", serde_json::json!(["none"]), 503, 422);
        add("dock", "z".into(), 503, 422);
        // Named twenty times over, and longer than the state service takes a value.
        add("hulls", serde_json::json!(vec!["s4".repeat(90); 64]), 503, 422);
        let long: Vec<String> = (0..64).map(|n| format!("{n}{}", "x".repeat(180))).collect();
        add("hulls", serde_json::json!([vec!["s4".to_string()], long].concat()), 503, 400);
        let numbers: Vec<usize> = odd.iter().map(|(body, ..)| small.submit_unusual(body)).collect();
        for (at, after) in [(6_500, false), (60_000, false), (125_000, true), (180_000, true)] {
            assert!(small.now < START_MS + at);
            small.run_until(at);
            for (number, (body, before, later)) in numbers.iter().zip(&odd) {
                for n in 0..CONTROLLER_COUNT {
                    let expected = if after { *later } else { *before };
                    let got = small.request_and_wait(*number, n, body, UserAction::Submit);
                    assert_eq!(got, expected, "seed {seed}, node {n}: {body}");
                    if n == 0 {
                        assert_eq!(
                            small.request_and_wait(*number, n, body, UserAction::Poll),
                            404,
                            "never accepted"
                        );
                        assert_eq!(
                            small.request_and_wait(*number, n, body, UserAction::Cancel),
                            404,
                            "never accepted"
                        );
                    }
                }
            }
            // Known: whatever the body says now, its state is told.
            for (body, ..) in &odd {
                let mut body = body.clone();
                body["name_id"] = "wk-x0".into();
                let known = small.jobs_known(0);
                for n in 0..CONTROLLER_COUNT {
                    assert_eq!(
                        small.request_and_wait(known, n, &body, UserAction::Submit),
                        200,
                        "seed {seed}: {body}"
                    );
                }
            }
        }
        assert_eq!(small.store.count_keys(keys::JOBS) + small.store.count_keys(keys::FINALS), 1);
    }
}

impl AnswerModel {
    /// A job that nobody accepts, by its submission.
    fn submit_unusual(&mut self, body: &serde_json::Value) -> usize {
        self.add_job(body["name_id"].as_str().expect("it has one").into(), None);
        self.ids.len() - 1
    }

    /// Asks and waits for the answer: its status.
    fn request_and_wait(
        &mut self,
        job: usize,
        n: usize,
        body: &serde_json::Value,
        what: UserAction,
    ) -> u16 {
        let id = self.ids[job].clone();
        let ask = match what {
            UserAction::Submit => {
                UserRequest::Submit(rmp_serde::to_vec_named(body).expect("JSON packs"))
            }
            UserAction::Poll => UserRequest::Poll(id),
            UserAction::Cancel => UserRequest::Cancel(id),
        };
        self.event_sequence += 1;
        let request = self.event_sequence;
        self.watched = Some((n, request, 0));
        self.deliver_event(n, Event::UserRequest(request, ask));
        for _ in 0..150 {
            if let Some((_, _, status)) = self.watched.filter(|w| w.2 != 0) {
                return status;
            }
            let next = self.now - START_MS + 10;
            self.run_until(next);
        }
        0
    }

    /// A job's record says that it is done.
    fn end_job_now(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let last = FinalRecord { state: FinalState::Done, done: 1, ended_wall: None };
        let value = serde_json::to_value(last).expect("our own record");
        let apply = vec![Mutation::Put { key, value, lease: None }];
        self.store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations: apply });
    }

    /// A job's record appears in the state service, as others wrote it.
    fn put_record(&mut self, id: &str, unreadable: bool) {
        let spec = swiftsail_simulation::simulation::job_spec(
            swiftsail_controller::job::JobKind::Array,
            1,
            1.0,
            "img",
        );
        let record = JobRecord {
            depends_on: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: self.now,
            chunk_tasks: 8,
            write_number: 0,
            tier: None,
            spec,
        };
        let mut value = serde_json::to_value(&record).expect("our own record");
        if unreadable {
            value = serde_json::json!({"of": "a later version"});
        }
        let apply = vec![Mutation::Put { key: keys::job(id), value, lease: None }];
        self.store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations: apply });
        self.add_job(id.into(), None);
        self.told.pop();
        self.told.push(BTreeMap::from([(ReportedStatus::Accepted, 0)]));
        self.answer_watches();
    }

    /// The number of one of those.
    fn jobs_known(&self, n: u64) -> usize {
        self.ids.iter().position(|id| *id == format!("wk-x{n}")).expect("it was put")
    }
}
