//! The test cases of the answer model.

use super::*;
use crate::common::seeds::seeds_from_environment;

/// Runs a model in which `jobs` jobs are submitted, each followed by a chain of `stages` dependent jobs.
fn run_model(
    seed: u64,
    jobs: u64,
    stages: u64,
    store_faults: StoreFaults,
    memory_mb: f64,
) -> AnswerModel {
    let mut model = AnswerModel::new(seed, store_faults, memory_mb);
    if memory_mb < 1.0 {
        // More jobs than the job cache holds, so that each request reads its job's own key.
        (0..200).for_each(|n| model.put_record(&format!("wk-x{n}"), false));
    }
    model.run_until(3_000);
    for n in 0..jobs {
        model.submit(3_000 + n * 150, format!("wk-{n}"));
        for stage in 0..stages {
            let before = model.ids.len() - 1;
            model.add_job(format!("wk-{n}s{stage}"), Some(before));
        }
    }
    if seed % 3 == 2 {
        let controller = model.rng.random_range(0..CONTROLLER_COUNT);
        let at = START_MS + 3_000 + model.rng.random_range(0..jobs * 150);
        model.schedule(at, ModelEvent::Restart(controller));
    }
    model.run_until(3_000 + jobs * 150 + 12_000);
    model
}

/// The answers of all controllers about a job are linearizable, however the state service delays, reorders or loses
/// calls and responses.
#[test]
fn answers_of_all_controllers_are_linearizable() {
    check_linearizability(40.0, 0, 0..30);
}

/// The same for jobs with dependencies, with and without the job cache: once a dependent job has been reported as
/// cancelled because of a job before it, no controller reports it as unfinished, however old its cached state is.
#[test]
fn answers_about_dependent_jobs_are_linearizable() {
    check_linearizability(40.0, 2, 0..15);
    check_linearizability(0.2, 2, 0..15);
}

/// The same without the job cache, where requests for a job share a read of its key that began after they arrived.
#[test]
fn answers_without_job_cache_are_linearizable() {
    check_linearizability(0.2, 0, 0..15);
}

fn check_linearizability(memory_mb: f64, stages: u64, seeds: std::ops::Range<u64>) {
    let seed_count = seeds.end;
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds_from_environment("ANSWERS").unwrap_or(seeds) {
        let store_faults = match seed % 3 {
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
        let model =
            run_model(seed, if stages > 0 { 14 } else { 40 }, stages, store_faults, memory_mb);
        assert!(model.violations.is_empty(), "seed {seed}: {:?}", model.violations);
        for (name, count) in model.fault_counts {
            *counts.entry(name).or_default() += count;
        }
    }
    println!("{counts:?}");
    for name in ["response lost", "applied late"] {
        assert!(counts[name] > 2 * seed_count, "{name}: {counts:?}");
    }
    for name in ["moved during a request", "finished during a request"] {
        assert!(counts[name] > 10 * seed_count, "{name}: {counts:?}");
    }
    assert!(
        stages == 0 || counts["cancelled by dependency"] > 3 * seed_count,
        "cancelled by dependency: {counts:?}"
    );
}

/// A call without a response marks the state service as unavailable, unless a call made later has been answered. A
/// refusal always does.
#[test]
fn single_lost_response_is_not_an_outage() {
    use swiftsail_controller::store::{CallPriority, RetryPolicy, StoreClient};
    for (answered, is_unavailable) in [(Some(1), false), (Some(0), true), (None, true)] {
        let mut store: StoreClient<u8> = StoreClient::new(100.0, 100.0, 0);
        let mut sent = Vec::new();
        for n in 0..3u64 {
            let call = StoreCall::Get(format!("job/wk-{n}"));
            store.push(call, n as u8, CallPriority::Normal, RetryPolicy::OnceBefore(9_000));
            sent.extend(store.take_due_calls(n * 100).0.into_iter().map(|(id, _)| id));
        }
        let unanswered = if answered == Some(1) { 0 } else { 1 };
        if let Some(n) = answered {
            store.finish(sent[n], StoreOutcome::Missing { revision: 1 }, 400);
        }
        store.finish(sent[unanswered], StoreOutcome::Unknown, 1_700);
        assert_eq!(store.is_unavailable(), is_unavailable, "{answered:?} was answered");
        store.finish(sent[2], StoreOutcome::Unavailable, 1_800);
        assert!(store.is_unavailable(), "a refusal shows the current state");
    }
}

/// When the jobs exceed the capacity of the job cache, the waiting requests read their jobs' own keys, and no accepted
/// job is reported as unknown.
#[test]
fn jobs_beyond_cache_capacity_are_still_known() {
    for seed in 0..3 {
        let store_faults =
            StoreFaults { max_delay_ms: 60, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 };
        let mut model = AnswerModel::new(seed, store_faults, 0.2);
        model.run_until(6_000);
        // None of these jobs finishes, since there are no machines.
        for n in 0..400 {
            model.put_record(&format!("wk-x{n}"), false);
            if n % 4 == 0 {
                model.run_until(6_000 + n * 10);
                for controller in 0..CONTROLLER_COUNT {
                    let job = model.index_of_known_job(n);
                    model.send_request(job, controller, UserAction::Poll);
                }
            }
        }
        model.run_until(14_000);
        assert!(model.violations.is_empty(), "seed {seed}: {:?}", model.violations);
        assert!(model.fault_count("answered") > 200, "{:?}", model.fault_counts);
    }
}

/// A restarted controller lists the jobs while it receives more polls per second than it may read single keys. The
/// listing takes precedence over those reads, and once it is complete one read serves all polls. Guards against a
/// listing that never ends because it is queued behind the polls' own reads.
#[test]
fn cache_listing_takes_precedence_over_polls() {
    for seed in 0..3 {
        let mut model = AnswerModel::new(seed, no_delays(), 40.0);
        model.is_scripted = true;
        (0..350).for_each(|n| model.put_record(&format!("wk-x{n}"), false));
        model.run_until(6_000);
        // A follower, since the leader has a higher request rate.
        let follower = (0..CONTROLLER_COUNT)
            .find(|n| !model.controllers[*n].is_leader())
            .expect("there are followers");
        model.schedule(START_MS + 6_000, ModelEvent::Restart(follower));
        for n in 0..3_500u64 {
            let job = model.rng.random_range(0..350);
            model.schedule(
                START_MS + 6_100 + n * 8,
                ModelEvent::UserRequest(job, follower, UserAction::Poll),
            );
        }
        model.run_until(18_000);
        let early = model.fault_count("rejected");
        assert!(early > 50, "seed {seed}: only {early} polls rejected: there were too few polls");
        model.run_until(35_000);
        let late = model.fault_count("rejected") - early;
        assert_eq!(late, 0, "seed {seed}: polls rejected after the listing was complete");
        assert!(model.violations.is_empty(), "seed {seed}: {:?}", model.violations);
    }
}

/// A record that this version cannot read belongs to an accepted job, so no controller reports the job as unknown.
#[test]
fn unreadable_record_is_not_reported_as_unknown() {
    let store_faults =
        StoreFaults { max_delay_ms: 20, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 };
    let mut model = AnswerModel::new(1, store_faults, 40.0);
    model.run_until(8_000);
    model.put_record("wk-x0", true);
    model.run_until(9_000);
    for action in [UserAction::Poll, UserAction::Submit, UserAction::Poll, UserAction::Cancel] {
        for controller in 0..CONTROLLER_COUNT {
            let job = model.index_of_known_job(0);
            model.send_request(job, controller, action);
        }
        model.run_until(model.now - START_MS + 1_500);
    }
    assert!(model.violations.is_empty(), "{:?}", model.violations);
    assert!(model.fault_count("rejected") >= 9, "{:?}", model.fault_counts);
}

fn no_delays() -> StoreFaults {
    StoreFaults { max_delay_ms: 20, answer_loss: 0.0, late_application: 0.0, refusal: 0.0 }
}

/// Whether a transaction accepts or cancels a job.
fn accepts_or_cancels(transaction: &Transaction) -> bool {
    let writes_live_record = |mutation: &Mutation| match mutation {
        Mutation::Put { key, value, .. } => key.starts_with(keys::JOBS) && value["e"].is_null(),
        Mutation::Delete { .. } => false,
    };
    transaction.mutations.iter().any(writes_live_record)
}

/// If the response to the transaction of an acceptance or a cancellation is lost, the other controllers see its result
/// at once, and the controller that made it reads the record and answers its user.
#[test]
fn lost_store_responses_are_resolved_by_reads() {
    for seed in 0..20 {
        let mut model = AnswerModel::new(seed, no_delays(), 40.0);
        model.run_until(5_000);
        (model.loses_response_to, model.is_scripted) = (accepts_or_cancels, true);
        for n in 0..6 {
            model.put_record(&format!("wk-x{n}"), false);
            model.add_job(format!("wk-{n}"), None);
        }
        for (job, controller) in (0..12).zip([0, 1, 2, 2, 0, 1, 1, 2, 0, 0, 1, 2]) {
            let at = model.now - START_MS + 400;
            model.run_until(at);
            // Jobs with an even number exist already; the others are new.
            let action = if job % 2 == 0 { UserAction::Cancel } else { UserAction::Submit };
            model.send_request(job, controller, action);
            model.run_until(at + 150);
            for other in (0..CONTROLLER_COUNT).filter(|n| *n != controller) {
                model.send_request(job, other, UserAction::Poll);
                model.send_request(job, other, UserAction::Submit);
            }
            model.run_until(at + 1_499);
            let status = model.reported[job].keys().max().copied();
            let expected = if action == UserAction::Cancel {
                ReportedStatus::Cancelled
            } else {
                ReportedStatus::Accepted
            };
            assert_eq!(status, Some(expected), "seed {seed}: the others know {}", model.ids[job]);
            model.run_until(at + 2_400);
            let is_unanswered = model
                .pending_requests
                .iter()
                .any(|((n, _), (j, a, _))| (*n, *j, *a) == (controller, job, action));
            assert!(!is_unanswered, "seed {seed}: {} is answered", model.ids[job]);
        }
        assert!(model.violations.is_empty(), "seed {seed}: {:?}", model.violations);
        assert_eq!(model.fault_count("rejected"), 0, "seed {seed}: {:?}", model.fault_counts);
        assert!(
            model.fault_count("response lost by selection") >= 12,
            "seed {seed}: {:?}",
            model.fault_counts
        );
    }
}

/// The records of finished jobs are moved two per transaction. If one of a pair has already been moved by an earlier
/// attempt, the precondition fails, and the other one must still be moved.
#[test]
fn already_moved_record_does_not_block_archiving() {
    for seed in 0..8 {
        let mut model = AnswerModel::new(seed, no_delays(), 40.0);
        for n in 0..6 {
            model.put_record(&format!("wk-x{n}"), false);
            model.write_final_record(n);
        }
        model.moves_before_transaction = Some(seed as usize % 2);
        model.run_until(20_000);
        assert_eq!(model.fault_count("moved before transaction"), 1);
        assert_eq!(model.store.count_keys(keys::JOBS), 0, "seed {seed}: all records have moved");
        assert_eq!(model.store.count_keys(keys::FINALS), 6);
    }
}

/// Submissions that can never run or lack a field get the same answer from every controller, before and after the machine
/// types are known, and again when they are repeated. A repeat for a known job gets the job's status, whatever its body.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn invalid_submissions_get_the_same_answer_everywhere() {
    for seed in 0..4 {
        let mut model = AnswerModel::new(seed, no_delays(), 40.0);
        model.machine_types_known_at = START_MS + 120_000;
        model.put_record("wk-x0", false);
        model.run_until(6_000);
        let mut invalid: Vec<(serde_json::Value, u16, u16)> = Vec::new();
        let mut add = |field: &str, value: serde_json::Value, before: u16, after: u16| {
            let mut body = one_task_job_body(&format!("wk-o{}", invalid.len()));
            match value.is_null() {
                true => drop(body.as_object_mut().expect("a map").remove(field)),
                false => body[field] = value,
            }
            invalid.push((body, before, after));
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
        // Many duplicates, and a record larger than the state service accepts as a value.
        add("hulls", serde_json::json!(vec!["s4".repeat(90); 64]), 503, 422);
        let long: Vec<String> = (0..64).map(|n| format!("{n}{}", "x".repeat(180))).collect();
        add("hulls", serde_json::json!([vec!["s4".to_string()], long].concat()), 503, 400);
        let numbers: Vec<usize> =
            invalid.iter().map(|(body, ..)| model.add_invalid_job(body)).collect();
        for (at, after) in [(6_500, false), (60_000, false), (125_000, true), (180_000, true)] {
            assert!(model.now < START_MS + at);
            model.run_until(at);
            for (number, (body, before, later)) in numbers.iter().zip(&invalid) {
                for n in 0..CONTROLLER_COUNT {
                    let expected = if after { *later } else { *before };
                    let got = model.request_and_wait(*number, n, body, UserAction::Submit);
                    assert_eq!(got, expected, "seed {seed}, controller {n}: {body}");
                    if n == 0 {
                        assert_eq!(
                            model.request_and_wait(*number, n, body, UserAction::Poll),
                            404,
                            "never accepted"
                        );
                        assert_eq!(
                            model.request_and_wait(*number, n, body, UserAction::Cancel),
                            404,
                            "never accepted"
                        );
                    }
                }
            }
            // Repeats for a known job get its status, whatever their bodies contain.
            for (body, ..) in &invalid {
                let mut body = body.clone();
                body["name_id"] = "wk-x0".into();
                let known = model.index_of_known_job(0);
                for n in 0..CONTROLLER_COUNT {
                    assert_eq!(
                        model.request_and_wait(known, n, &body, UserAction::Submit),
                        200,
                        "seed {seed}: {body}"
                    );
                }
            }
        }
        assert_eq!(model.store.count_keys(keys::JOBS) + model.store.count_keys(keys::FINALS), 1);
    }
}

impl AnswerModel {
    /// Adds a job that no controller accepts, by the body of its submission. Returns its index.
    fn add_invalid_job(&mut self, body: &serde_json::Value) -> usize {
        self.add_job(body["name_id"].as_str().expect("the body has an id").into(), None);
        self.ids.len() - 1
    }

    /// Sends a request and returns the HTTP status of its answer; 0 if there is none within 1.5 s.
    fn request_and_wait(
        &mut self,
        job: usize,
        n: usize,
        body: &serde_json::Value,
        action: UserAction,
    ) -> u16 {
        let id = self.ids[job].clone();
        let user_request = match action {
            UserAction::Submit => UserRequest::Submit(
                rmp_serde::to_vec_named(body).expect("the body is valid MessagePack"),
            ),
            UserAction::Poll => UserRequest::Poll(id),
            UserAction::Cancel => UserRequest::Cancel(id),
        };
        self.event_sequence += 1;
        let request = self.event_sequence;
        self.awaited_request = Some((n, request, 0));
        self.deliver_event(n, Event::UserRequest(request, user_request));
        for _ in 0..150 {
            if let Some((_, _, status)) = self.awaited_request.filter(|a| a.2 != 0) {
                return status;
            }
            let next = self.now - START_MS + 10;
            self.run_until(next);
        }
        0
    }

    /// Replaces a job's record by a final record with the state done.
    fn write_final_record(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let final_record = FinalRecord { state: FinalState::Done, done: 1, ended_wall: None };
        let value = serde_json::to_value(final_record).expect("a final record is valid JSON");
        let mutations = vec![Mutation::Put { key, value, lease: None }];
        self.store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations });
    }

    /// Writes a job's record to the state service, as if another process had accepted the job. `unreadable`: the record
    /// has a format that this version cannot read.
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
        let mut value = serde_json::to_value(&record).expect("a job record is valid JSON");
        if unreadable {
            value = serde_json::json!({"of": "a later version"});
        }
        let mutations = vec![Mutation::Put { key: keys::job(id), value, lease: None }];
        self.store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations });
        self.add_job(id.into(), None);
        self.reported.pop();
        self.reported.push(BTreeMap::from([(ReportedStatus::Accepted, 0)]));
        self.answer_watches();
    }

    /// Index of the job `wk-x{n}`, whose record has been written by [`put_record`](Self::put_record).
    fn index_of_known_job(&self, n: u64) -> usize {
        self.ids
            .iter()
            .position(|id| *id == format!("wk-x{n}"))
            .expect("the record has been written")
    }
}
