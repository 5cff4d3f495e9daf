//! When one controller takes over from another: answers of the state service that come after what they tell of has
//! changed, the same key met again, loans in each stage. One controller, whose answers the tests hold back one by one.

use serde_json::json;
use std::collections::VecDeque;
use swiftsail_controller::cluster_state::ClusterState;
use swiftsail_controller::controller::{Action, Controller, Event, Now};
use swiftsail_controller::job::{JobKind, MachineId, keys};
use swiftsail_controller::quota_records;
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_gpu_lending::{LenderRecord, LoanPhase};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_protocol::state::{KeyPage, KeyValue};
use swiftsail_protocol::workers::StatusReport;
use swiftsail_replicated_records::Versioned;
use swiftsail_replicated_records::{RecordStore, StoreLimits, WriteOutcome as Written};
use swiftsail_simulation::simulation::{START_MS, controller_settings, job_spec};
use swiftsail_simulation::store::{FakeStore, TransactionResult};

// ---- answers that are overtaken ----------------------------------------------------------------

fn record_store() -> RecordStore {
    RecordStore::new(
        "order/",
        StoreLimits {
            writes_per_second: 100.0,
            max_transaction_writes: 16,
            max_value_bytes: 8_192,
        },
        START_MS,
    )
}

/// A watch's answer that a reading has overtaken tells of a record that was removed meanwhile, and the watch goes
/// on behind the removal: it must not bring the record back for good.
#[test]
fn a_watch_that_is_overtaken_brings_nothing_back() {
    let mut book = record_store();
    book.on_page(vec![("a".into(), json!(1), 90)], 100, false);
    // Written at 102, told at once by a slow watch, removed at 104; then all is read at 105.
    book.start_reload();
    book.on_page(vec![("a".into(), json!(1), 90)], 105, false);
    book.on_watch_changes(vec![("loan".into(), Some(json!(2)), 102)], 102);
    assert!(book.get_committed("loan").is_none(), "it was removed at 104");
    book.on_watch_changes(vec![("b".into(), Some(json!(3)), 106)], 106);
    assert_eq!(book.get_committed("b"), Some(&json!(3)));
}

/// The same of what this leader has removed itself: the watch tells of its own earlier writing afterwards.
#[test]
fn what_a_leader_has_removed_does_not_come_back_by_its_own_watch() {
    let mut book = record_store();
    book.on_page(Vec::new(), 100, false);
    let wanted = |book: &mut RecordStore, stamp| {
        let txn = book.next_transaction(START_MS + stamp).expect("something is wanted");
        assert!(!book.on_outcome(txn.id, Written::Committed(stamp)));
    };
    book.put("loan", json!(1));
    wanted(&mut book, 101);
    book.remove("loan");
    wanted(&mut book, 103);
    book.on_watch_changes(vec![("loan".into(), Some(json!(1)), 101)], 101);
    assert!(book.get_committed("loan").is_none(), "its removal is known");
    book.on_watch_changes(vec![("loan".into(), None, 103)], 103);
    assert!(book.get_committed("loan").is_none());
    // Written again by a later leader, it is news.
    book.on_watch_changes(vec![("loan".into(), Some(json!(4)), 105)], 105);
    assert_eq!(book.get_committed("loan"), Some(&json!(4)));
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallFate {
    /// Done and answered at once.
    Immediate,
    /// Done at once; its answer waits.
    AnswerDelayed,
    /// No answer; done when told to.
    AppliedLater,
    /// Neither done nor answered yet.
    Held,
}

/// One controller and the state service, whose answers the test holds back.
struct SingleController {
    controller: Controller,
    now: Now,
    store: FakeStore,
    call_fate: Box<dyn FnMut(&StoreCall) -> CallFate>,
    watches: Vec<(u64, String, u64)>,
    /// Answers that wait.
    delayed_answers: VecDeque<(u64, StoreCall, StoreOutcome)>,
    /// Calls that are yet to be done, and that nobody waits for.
    deferred_calls: VecDeque<StoreCall>,
    /// Calls that are yet to be done and answered.
    held_calls: VecDeque<(u64, StoreCall)>,
    /// Tokens and eras under which it has led.
    leaderships: Vec<(u64, u64)>,
    /// Machines that it has asked directly.
    machines_probed: Vec<MachineId>,
}

impl SingleController {
    fn new(operator: &OperatorSettings) -> SingleController {
        SingleController::with_seed(operator, 1)
    }

    /// Another process of the same controller, if the seed is another.
    fn with_seed(operator: &OperatorSettings, seed: u64) -> SingleController {
        let now = Now { monotonic: START_MS, wall_clock: START_MS };
        let controller =
            Controller::with_operator_settings(controller_settings(0), operator, seed, now);
        let limits = controller_settings(0).settings.state.clone();
        let limits =
            swiftsail_controller::settings::StoreSettings { rps: 1e6, write_rps: 1e6, ..limits };
        let store = FakeStore::new(limits, START_MS);
        let call_fate = Box::new(|_: &StoreCall| CallFate::Immediate);
        let (watches, delayed_answers, deferred_calls) =
            (Vec::new(), VecDeque::new(), VecDeque::new());
        let (held_calls, leaderships, machines_probed) = (VecDeque::new(), Vec::new(), Vec::new());
        SingleController {
            controller,
            now,
            store,
            call_fate,
            watches,
            delayed_answers,
            deferred_calls,
            held_calls,
            leaderships,
            machines_probed,
        }
    }

    fn execute_store_call(&mut self, call: &StoreCall) -> StoreOutcome {
        let now = self.now.monotonic;
        match call {
            StoreCall::Get(key) => match self.store.get(key) {
                Some(pair) => StoreOutcome::Found(pair.clone()),
                None => StoreOutcome::Missing { revision: self.store.revision() },
            },
            StoreCall::List { prefix, from } => {
                StoreOutcome::Page(self.store.list(prefix, from.as_deref(), 9))
            }
            StoreCall::Commit(commit) => match self.store.apply_transaction(commit) {
                TransactionResult::Committed(epoch) => StoreOutcome::Committed(epoch),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(why) => StoreOutcome::Malformed(why),
            },
            StoreCall::GrantLease { ttl_ms } => {
                StoreOutcome::LeaseGranted(self.store.create_lease(*ttl_ms, now).unwrap_or(0))
            }
            StoreCall::RenewLease(id) if self.store.renew_lease(*id, now) => {
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::RenewLease(_) => StoreOutcome::NoSuchLease,
            StoreCall::RevokeLease(id) => {
                self.store.revoke_lease(*id);
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::ReadChanges { prefix, from } | StoreCall::Watch { prefix, from } => {
                match self.store.changes_since(prefix, *from) {
                    Ok(news) => StoreOutcome::Changes(
                        news.unwrap_or_else(|| self.store.empty_watch_response()),
                    ),
                    Err(_) => StoreOutcome::Compacted,
                }
            }
        }
    }

    fn deliver_response(&mut self, id: u64, outcome: StoreOutcome) {
        self.controller.handle(Event::StoreResponse(id, outcome), self.now);
        self.execute_actions();
    }

    /// The first answer that waits to such a call comes now.
    fn release_call(&mut self, which: impl Fn(&StoreCall) -> bool) -> bool {
        let Some(at) = self.delayed_answers.iter().position(|(_, call, _)| which(call)) else {
            return false;
        };
        let Some((id, _, outcome)) = self.delayed_answers.remove(at) else { return false };
        self.deliver_response(id, outcome);
        true
    }

    fn execute_actions(&mut self) {
        loop {
            let actions = self.controller.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                let (id, call) = match action {
                    Action::CallStore(id, call) => (id, call),
                    Action::ProbeMachine(id, _) => {
                        self.machines_probed.push(id);
                        continue;
                    }
                    _ => continue,
                };
                match (self.call_fate)(&call) {
                    CallFate::AppliedLater => {
                        self.controller
                            .handle(Event::StoreResponse(id, StoreOutcome::Unknown), self.now);
                        self.deferred_calls.push_back(call);
                    }
                    CallFate::Held => self.held_calls.push_back((id, call)),
                    CallFate::AnswerDelayed => {
                        let outcome = self.execute_store_call(&call);
                        self.delayed_answers.push_back((id, call, outcome));
                    }
                    CallFate::Immediate => match call {
                        StoreCall::Watch { prefix, from } => self.watches.push((id, prefix, from)),
                        call => {
                            let outcome = self.execute_store_call(&call);
                            self.controller.handle(Event::StoreResponse(id, outcome), self.now);
                        }
                    },
                }
            }
        }
        if let Some(state) = self.controller.cluster_state()
            && self.leaderships.last() != Some(&(state.token, state.generation))
        {
            self.leaderships.push((state.token, state.generation));
        }
    }

    fn run_for(&mut self, ms: u64) {
        for step in 0..ms / 10 {
            (self.now.monotonic, self.now.wall_clock) =
                (self.now.monotonic + 10, self.now.wall_clock + 10);
            self.store.expire_leases(self.now.monotonic, false);
            let follows = std::mem::take(&mut self.watches);
            for (id, prefix, from) in follows {
                match self.store.changes_since(&prefix, from) {
                    Ok(Some(news)) => self
                        .controller
                        .handle(Event::StoreResponse(id, StoreOutcome::Changes(news)), self.now),
                    _ => self.watches.push((id, prefix, from)),
                }
            }
            if step.is_multiple_of(10) {
                self.controller.handle(Event::Tick, self.now);
            }
            self.execute_actions();
        }
    }

    fn leader_token(&self) -> Option<u64> {
        self.controller.cluster_state().map(|t| t.token)
    }
}

fn is_leader_key_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::List { prefix, .. } if prefix == keys::TERM)
}

fn is_leader_key_write(call: &StoreCall) -> bool {
    let StoreCall::Commit(commit) = call else { return false };
    commit.mutations.len() == 1
        && matches!(&commit.mutations[0],
            swiftsail_protocol::state::Mutation::Put { key, .. } if key == keys::LEADER)
}

/// A controller that has begun to lead, while readings of the term made before that still wait for their answers.
fn leader_with_stale_reads() -> SingleController {
    let mut alone = SingleController::new(&OperatorSettings::default());
    let mut readings = 0;
    alone.call_fate = Box::new(move |call| match call {
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        call if is_leader_key_read(call) => {
            readings += 1;
            if readings > 1 { CallFate::AnswerDelayed } else { CallFate::Immediate }
        }
        _ => CallFate::Immediate,
    });
    alone.run_for(2_400);
    assert!(
        alone.delayed_answers.iter().filter(|s| is_leader_key_read(&s.1)).count() >= 2,
        "{:?}",
        alone.delayed_answers
    );
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    assert!(alone.release_call(|call| matches!(call, StoreCall::GrantLease { .. })));
    alone.run_for(200);
    assert!(alone.controller.is_leader());
    alone
}

/// A reading of the term made before the key was written says nothing of it, however late it comes.
#[test]
fn a_reading_made_before_its_lead_does_not_end_it() {
    let mut alone = leader_with_stale_reads();
    assert!(alone.release_call(is_leader_key_read));
    alone.run_for(1_000);
    assert_eq!(alone.leaderships.len(), 1, "it led as {:?}", alone.leaderships);
    assert!(alone.controller.is_leader());
}

/// A controller that has stepped down while its key lives finds that key in a later campaign: it must not lead under
/// the same token again, since launch numbers would come again and workers have shown that token before.
#[test]
fn nobody_leads_twice_under_one_token() {
    let mut alone = leader_with_stale_reads();
    let first = alone.leader_token().expect("it leads");
    // Its watch of jobs is lost; what it reads of the term then is slow, and an old reading shows no key.
    alone.call_fate = Box::new(|call| match call {
        call if is_leader_key_read(call) || is_leader_key_write(call) => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    let (id, ..) = alone.watches.iter().find(|f| f.1 == keys::JOBS).cloned().expect("a watch");
    alone.watches.retain(|f| f.0 != id);
    alone.deliver_response(id, StoreOutcome::Compacted);
    assert!(!alone.controller.is_leader() && alone.store.get(keys::LEADER).is_some());
    assert!(alone.release_call(is_leader_key_read), "the old one");
    alone.run_for(300);
    assert!(alone.delayed_answers.iter().any(|s| is_leader_key_write(&s.1)), "it campaigns");
    // All that waits comes now: its own key is among it.
    while alone.release_call(is_leader_key_read) {}
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    alone.run_for(300);
    while alone.release_call(|_| true) {}
    alone.run_for(5_000);
    let tokens: Vec<u64> = alone.leaderships.iter().map(|l| l.0).collect();
    assert!(tokens.windows(2).all(|t| t[0] < t[1]), "it led under {tokens:?}");
    assert!(alone.controller.is_leader() && alone.leader_token() > Some(first));
}

/// The key is written late, under the grant of a campaign that was given up, while the next one tries: a lead whose
/// grant nobody extends would be lost again within seconds.
#[test]
fn a_key_written_late_by_an_earlier_campaign_is_no_lead() {
    let mut alone = SingleController::new(&OperatorSettings::default());
    let mut tries = 0;
    alone.call_fate = Box::new(move |call| match call {
        call if is_leader_key_write(call) => {
            tries += 1;
            [CallFate::AppliedLater, CallFate::Held][(tries - 1).min(1)]
        }
        _ => CallFate::Immediate,
    });
    alone.run_for(300);
    let late = alone.deferred_calls.pop_front().expect("a campaign without an answer");
    for _ in 0..200 {
        if !alone.held_calls.is_empty() {
            break;
        }
        alone.run_for(10);
    }
    assert!(
        matches!(alone.execute_store_call(&late), StoreOutcome::Committed(_)),
        "its grant still lives"
    );
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    alone.run_for(50);
    let (id, second) = alone.held_calls.pop_front().expect("a second campaign");
    let outcome = alone.execute_store_call(&second);
    alone.deliver_response(id, outcome);
    alone.run_for(8_000);
    assert!(alone.controller.is_leader());
    assert_eq!(alone.leaderships.len(), 1, "a lead was lost again: {:?}", alone.leaderships);
}

fn parse_operator(text: &str) -> OperatorSettings {
    OperatorSettings::parse("test", text).expect("it is sound")
}

/// A reading of the records that a controller began before its lead is overtaken by the one that its lead begins
/// with: what it tells afterwards is older.
#[test]
fn a_new_leader_does_not_go_by_an_earlier_reading_of_the_records() {
    let mut alone = SingleController::new(&parse_operator("[loans]\ndurable = true\n"));
    let lent = json!({"v": 1, "x": [], "l": []});
    let write = |alone: &mut SingleController, key: &str, value: Option<serde_json::Value>| {
        let change = match value {
            Some(value) => {
                swiftsail_protocol::state::Mutation::Put { key: key.into(), value, lease: None }
            }
            None => swiftsail_protocol::state::Mutation::Delete { key: key.into() },
        };
        let commit = swiftsail_protocol::state::Transaction {
            preconditions: Vec::new(),
            mutations: vec![change],
        };
        assert!(matches!(
            alone.execute_store_call(&StoreCall::Commit(commit)),
            StoreOutcome::Committed(_)
        ));
    };
    write(&mut alone, "order/loan/wk-old", Some(lent.clone()));
    let order =
        |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == keys::ORDER);
    let mut first = true;
    alone.call_fate = Box::new(move |call| match call {
        call if order(call) && std::mem::take(&mut first) => CallFate::AnswerDelayed,
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    alone.run_for(400);
    // Its predecessor's last word comes after that reading was made.
    write(&mut alone, "order/loan/wk-old", None);
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    assert!(alone.release_call(|call| matches!(call, StoreCall::GrantLease { .. })));
    alone.run_for(300);
    assert!(alone.controller.is_leader() && alone.release_call(order), "the reading made before");
    alone.run_for(300);
    let known = alone.controller.record_keys();
    assert!(known.is_empty(), "{known:?}");
}

/// A lead that ends while it still reads the records leaves a controller that reads them again.
#[test]
fn a_lead_that_ends_while_it_reads_leaves_no_controller_blind() {
    let mut alone = SingleController::new(&parse_operator("[loans]\ndurable = true\n"));
    let order =
        |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == keys::ORDER);
    let mut readings = 0;
    alone.call_fate = Box::new(move |call| {
        readings += u32::from(order(call));
        if order(call) && readings == 2 { CallFate::AnswerDelayed } else { CallFate::Immediate }
    });
    alone.run_for(400);
    assert!(!alone.controller.is_leader(), "it still reads");
    // Another takes the lead, as a worker tells.
    let report = status_report("m-1", 1, 1, 99);
    alone.controller.handle(Event::StatusReport(1, Box::new(report)), alone.now);
    alone.execute_actions();
    let change = swiftsail_protocol::state::Mutation::Put {
        key: "order/loan/wk-new".into(),
        value: json!({"v": 1, "x": [], "l": []}),
        lease: None,
    };
    let commit = swiftsail_protocol::state::Transaction {
        preconditions: Vec::new(),
        mutations: vec![change],
    };
    alone.execute_store_call(&StoreCall::Commit(commit));
    alone.run_for(3_000);
    assert_eq!(alone.controller.record_keys(), ["loan/wk-new"]);
}

fn status_report(name: &str, watch: u64, tick: u64, helm: u64) -> StatusReport {
    StatusReport {
        machine: name.into(),
        address: format!("{name}:9000"),
        machine_type: "s4".into(),
        zone: "a".into(),
        session: watch,
        sequence: tick,
        fencing_token: helm,
        spot: false,
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Two direct questions to a machine are open, and between them it has reported: the answer to the first comes after
/// that report, with a lower number. It tells of no worker that has begun anew, under one lead or under the next.
#[test]
fn the_answer_to_an_earlier_question_is_no_new_life() {
    for again in [false, true] {
        let mut alone = SingleController::new(&OperatorSettings::default());
        alone.run_for(500);
        let tell = |alone: &mut SingleController, tick| {
            let token = alone.leader_token().expect("it leads");
            let report = status_report("m-1", 1, tick, token);
            alone.controller.handle(Event::StatusReport(tick, Box::new(report)), alone.now);
            alone.execute_actions();
        };
        let quiet = |alone: &mut SingleController, until: usize| {
            for _ in 0..100 {
                if alone.machines_probed.len() >= until {
                    return;
                }
                alone.run_for(100);
            }
            panic!("it was asked {} times", alone.machines_probed.len());
        };
        tell(&mut alone, 50);
        quiet(&mut alone, 1);
        if again {
            let watch = alone.watches.iter().find(|f| f.1 == keys::JOBS).cloned();
            alone.deliver_response(watch.expect("a watch").0, StoreOutcome::Compacted);
            alone.run_for(1_000);
            assert_eq!(alone.leaderships.len(), 2);
        }
        tell(&mut alone, 60);
        quiet(&mut alone, 2);
        let renewed = |alone: &SingleController| {
            let state = alone.controller.cluster_state().expect("it leads");
            state.machines["m-1"].is_restarted
        };
        let answer = |alone: &mut SingleController, tick| {
            let token = alone.leader_token().expect("it leads");
            let report = Box::new(status_report("m-1", 1, tick, token));
            let id = MachineId::from("m-1");
            alone
                .controller
                .handle(Event::ProbeFinished(id, ProbeOutcome::Answered, Some(report)), alone.now);
            alone.execute_actions();
        };
        answer(&mut alone, 51);
        assert!(!renewed(&alone), "again {again}: it was taken for a worker that has begun anew");
        // The answer to the second comes after a later report and a third question.
        tell(&mut alone, 70);
        quiet(&mut alone, 3);
        answer(&mut alone, 61);
        assert!(!renewed(&alone), "again {again}: the second answer was");
        answer(&mut alone, 71);
        assert!(!renewed(&alone));
        // One that has begun anew is still found out.
        quiet(&mut alone, 4);
        answer(&mut alone, 3);
        assert!(renewed(&alone), "again {again}");
    }
}

/// A job's record as the state service holds it.
fn job_record(id: &str, kind: JobKind, tasks: u32) -> KeyValue {
    let record = swiftsail_controller::job::JobRecord {
        depends_on: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_000,
        chunk_tasks: 8,
        write_number: 0,
        tier: None,
        spec: job_spec(kind, tasks, 1.0, "i"),
    };
    let value = serde_json::to_value(record).expect("our own record");
    KeyValue { key: keys::job(id), value, mod_revision: 1, lease: None }
}

/// A new leader has heard no machine yet. That is no sign that a machine which was lent is gone: the loan stands where
/// it stood, in each of its stages, until there was time to report.
#[test]
fn loans_in_each_stage_outlive_their_leader() {
    for (stage, lender_on, borrower_on) in [
        ("a", true, false),
        ("s", true, false),
        ("g", false, false),
        ("v", false, true),
        ("e", false, false),
    ] {
        let (now, wall) = (100_000, 900_000);
        let mut state = ClusterState::new(9, 1, now);
        let pairs =
            vec![job_record("wk-b", JobKind::Gang, 2), job_record("wk-l", JobKind::Gang, 1)];
        state.load_jobs(&KeyPage { entries: pairs, has_next: false, revision: 1 }, now, wall);
        for (id, on) in [("wk-l", lender_on), ("wk-b", borrower_on)] {
            let machine = MachineId::from("m-1");
            let bound = swiftsail_controller::job::Binding {
                task: 0,
                attempt: 7,
                machine,
                worker_session: 1,
            };
            let bound = if on { vec![bound] } else { Vec::new() };
            let chunk = swiftsail_controller::job::BindingChunk {
                write_number: 1,
                covers: 9,
                done: Vec::new(),
                bindings: bound,
            };
            state.jobs.get_mut(id).expect("loaded").restore_chunk(0, &chunk, 1, now);
        }
        state.finish_loading(now, now);
        let record = json!({"v": 1, "x": [], "l":
            [{"to": "wk-b", "on": "m-1", "n": 2.0, "stage": stage, "at": wall - 1_000}]});
        let lent = LenderRecord::from_record("loan/wk-l", &record).expect("a sound record");
        let before = lent.loans[0].phase();
        state.gpu_loans.restore("wk-l", lent);
        for step in 0..40 {
            state.advance_gpu_loans(now + step * 100, wall + step * 100);
        }
        let now_at = |state: &ClusterState| {
            state.gpu_loans.lender_record("wk-l").and_then(|l| l.loans.first()).map(|l| l.phase())
        };
        assert_eq!(now_at(&state), Some(before), "a loan in stage {stage}");
        if !lender_on && !borrower_on {
            // A machine that does not come is gone in the end.
            state.advance_gpu_loans(now + 15_000, wall + 15_000);
            assert!(now_at(&state).is_none_or(LoanPhase::is_final), "a loan in stage {stage}");
        }
    }
}

/// A reading of limits that was made before its lead tells what its predecessor held then: it has given some of it
/// away since.
#[test]
fn a_new_leader_does_not_use_what_its_predecessor_gave_away() {
    let operator = parse_operator("[amounts]\ndurable = true\n");
    let mut first = SingleController::new(&operator);
    first.run_for(8_000);
    let caps = |alone: &SingleController| {
        alone.controller.cluster_state().and_then(|t| t.quota_limits.clone()).expect("limits")
    };
    let before = caps(&first)[0];
    assert!(before.cpus > swiftsail_quota::Quantity::ZERO);
    let mut next = SingleController::with_seed(&operator, 2);
    std::mem::swap(&mut next.store, &mut first.store);
    let amounts = |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == quota_records::KEY_PREFIX);
    next.call_fate = Box::new(move |call| match call {
        call if amounts(call) => CallFate::AnswerDelayed,
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    next.now = first.now;
    // The predecessor's key lives for a while; its last transaction is done after the successor's reading.
    next.run_for(1_000);
    assert!(next.delayed_answers.iter().any(|s| amounts(&s.1)));
    let key = format!("{}0/of/all", quota_records::KEY_PREFIX);
    let mut record = next.store.get(&key).expect("what it holds").value.clone();
    record["has"] = json!({});
    let change = swiftsail_protocol::state::Mutation::Put { key, value: record, lease: None };
    let commit = swiftsail_protocol::state::Transaction {
        preconditions: Vec::new(),
        mutations: vec![change],
    };
    assert!(matches!(
        next.execute_store_call(&StoreCall::Commit(commit)),
        StoreOutcome::Committed(_)
    ));
    assert!(next.release_call(|call| matches!(call, StoreCall::GrantLease { .. })));
    next.run_for(300);
    assert!(next.controller.is_leader());
    let readings = next.delayed_answers.iter().filter(|s| amounts(&s.1)).count();
    assert!(readings >= 2, "{readings} readings, one of them its own");
    assert!(next.release_call(amounts), "the reading made before");
    next.run_for(200);
    let now = caps(&next)[0];
    assert!(
        now.cpus == swiftsail_quota::Quantity::ZERO,
        "{now:?} may be used, as {before:?} before"
    );
}
