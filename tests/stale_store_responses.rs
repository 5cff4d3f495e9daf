//! Stale responses of the state service around a failover, leader's keys of earlier elections, and GPU loans that
//! outlive their leader. Most tests run a single controller and delay individual responses of its state service.

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
use swiftsail_replicated_records::{RecordStore, StoreLimits, WriteOutcome};
use swiftsail_simulation::simulation::{START_MS, controller_settings, job_spec};
use swiftsail_simulation::store::{FakeStore, TransactionResult};

// ---- stale responses ---------------------------------------------------------------------------

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

/// A slow watch response puts a record that a later read has shown to be removed, and the next watch begins after the
/// removal. The record must not be restored.
#[test]
fn stale_watch_response_does_not_restore_a_removed_record() {
    let mut records = record_store();
    records.on_page(vec![("a".into(), json!(1), 90)], 100, false);
    // The record is written at 102 and removed at 104. All records are read at 105, before the slow watch returns
    // 102.
    records.start_reload();
    records.on_page(vec![("a".into(), json!(1), 90)], 105, false);
    records.on_watch_changes(vec![("loan".into(), Some(json!(2)), 102)], 102);
    assert!(records.get_committed("loan").is_none(), "the record was removed at 104");
    records.on_watch_changes(vec![("b".into(), Some(json!(3)), 106)], 106);
    assert_eq!(records.get_committed("b"), Some(&json!(3)));
}

/// The same for a record that this leader has written and removed itself: its watch returns the earlier write
/// afterwards.
#[test]
fn watch_does_not_restore_a_record_that_the_leader_removed() {
    let mut records = record_store();
    records.on_page(Vec::new(), 100, false);
    let commit_next = |records: &mut RecordStore, revision| {
        let txn = records.next_transaction(START_MS + revision).expect("a pending write");
        assert!(!records.on_outcome(txn.id, WriteOutcome::Committed(revision)));
    };
    records.put("loan", json!(1));
    commit_next(&mut records, 101);
    records.remove("loan");
    commit_next(&mut records, 103);
    records.on_watch_changes(vec![("loan".into(), Some(json!(1)), 101)], 101);
    assert!(records.get_committed("loan").is_none(), "the leader knows of the removal");
    records.on_watch_changes(vec![("loan".into(), None, 103)], 103);
    assert!(records.get_committed("loan").is_none());
    // A later leader writes the record again.
    records.on_watch_changes(vec![("loan".into(), Some(json!(4)), 105)], 105);
    assert_eq!(records.get_committed("loan"), Some(&json!(4)));
}

/// How the state service treats a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallFate {
    /// The call is executed and answered at once.
    Immediate,
    /// The call is executed at once; its response is delayed.
    AnswerDelayed,
    /// The call's outcome is unknown to the controller; the test executes it later.
    AppliedLater,
    /// The call is neither executed nor answered until the test does so.
    Held,
}

/// One controller with a state service whose responses the test can delay.
struct SingleController {
    controller: Controller,
    now: Now,
    store: FakeStore,
    call_fate: Box<dyn FnMut(&StoreCall) -> CallFate>,
    /// Open watches: call id, prefix and the revision after which they begin.
    watches: Vec<(u64, String, u64)>,
    /// Delayed responses.
    delayed_answers: VecDeque<(u64, StoreCall, StoreOutcome)>,
    /// Calls not executed yet that the controller has given up.
    deferred_calls: VecDeque<StoreCall>,
    /// Calls not executed yet that the controller waits for.
    held_calls: VecDeque<(u64, StoreCall)>,
    /// Fencing tokens and generations under which the controller has led.
    leaderships: Vec<(u64, u64)>,
    /// Machines that the controller has probed.
    machines_probed: Vec<MachineId>,
}

impl SingleController {
    fn new(operator: &OperatorSettings) -> SingleController {
        SingleController::with_seed(operator, 1)
    }

    /// A controller whose incarnation depends on the seed: with another seed it is another process on the same host.
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
                TransactionResult::Committed(revision) => StoreOutcome::Committed(revision),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(reason) => StoreOutcome::Malformed(reason),
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
                    Ok(changes) => StoreOutcome::Changes(
                        changes.unwrap_or_else(|| self.store.empty_watch_response()),
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

    /// Delivers the first delayed response to a matching call. False if there is none.
    fn release_response(&mut self, matches: impl Fn(&StoreCall) -> bool) -> bool {
        let Some(index) = self.delayed_answers.iter().position(|(_, call, _)| matches(call)) else {
            return false;
        };
        let Some((id, _, outcome)) = self.delayed_answers.remove(index) else { return false };
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
            let watches = std::mem::take(&mut self.watches);
            for (id, prefix, from) in watches {
                match self.store.changes_since(&prefix, from) {
                    Ok(Some(changes)) => self
                        .controller
                        .handle(Event::StoreResponse(id, StoreOutcome::Changes(changes)), self.now),
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
        self.controller.cluster_state().map(|state| state.token)
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

/// A controller that has become the leader while the responses to earlier reads of the leader's key are still
/// delayed.
fn leader_with_stale_reads() -> SingleController {
    let mut alone = SingleController::new(&OperatorSettings::default());
    let mut reads = 0;
    alone.call_fate = Box::new(move |call| match call {
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        call if is_leader_key_read(call) => {
            reads += 1;
            if reads > 1 { CallFate::AnswerDelayed } else { CallFate::Immediate }
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
    assert!(alone.release_response(|call| matches!(call, StoreCall::GrantLease { .. })));
    alone.run_for(200);
    assert!(alone.controller.is_leader());
    alone
}

/// A read of the leader's key that was executed before the key was written must not end the leadership when its
/// response arrives later.
#[test]
fn read_from_before_the_election_does_not_end_leadership() {
    let mut alone = leader_with_stale_reads();
    assert!(alone.release_response(is_leader_key_read));
    alone.run_for(1_000);
    assert_eq!(alone.leaderships.len(), 1, "leaderships: {:?}", alone.leaderships);
    assert!(alone.controller.is_leader());
}

/// A controller that has stepped down while its key still exists finds that key during a later election. It must not
/// lead under the same token again: attempt numbers would be reused, and workers have already reported that token.
#[test]
fn no_two_leaderships_share_a_fencing_token() {
    let mut alone = leader_with_stale_reads();
    let first = alone.leader_token().expect("the controller leads");
    // Its watch of jobs is compacted. Reads of the leader's key are slow then, and an old one shows no key.
    alone.call_fate = Box::new(|call| match call {
        call if is_leader_key_read(call) || is_leader_key_write(call) => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    let (id, ..) = alone.watches.iter().find(|f| f.1 == keys::JOBS).cloned().expect("a watch");
    alone.watches.retain(|f| f.0 != id);
    alone.deliver_response(id, StoreOutcome::Compacted);
    assert!(!alone.controller.is_leader() && alone.store.get(keys::LEADER).is_some());
    assert!(alone.release_response(is_leader_key_read), "the old read");
    alone.run_for(300);
    assert!(alone.delayed_answers.iter().any(|s| is_leader_key_write(&s.1)), "it campaigns");
    // All delayed responses are delivered now, among them one with its own earlier key.
    while alone.release_response(is_leader_key_read) {}
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    alone.run_for(300);
    while alone.release_response(|_| true) {}
    alone.run_for(5_000);
    let tokens: Vec<u64> = alone.leaderships.iter().map(|l| l.0).collect();
    assert!(tokens.windows(2).all(|t| t[0] < t[1]), "fencing tokens: {tokens:?}");
    assert!(alone.controller.is_leader() && alone.leader_token() > Some(first));
}

/// The leader's key is written late, under the lease of a campaign that was given up, during the next campaign. It
/// must not make the controller the leader: nobody renews that lease, so leadership would be lost again within
/// seconds.
#[test]
fn key_of_an_earlier_campaign_does_not_make_a_leader() {
    let mut alone = SingleController::new(&OperatorSettings::default());
    let mut attempts = 0;
    alone.call_fate = Box::new(move |call| match call {
        call if is_leader_key_write(call) => {
            attempts += 1;
            [CallFate::AppliedLater, CallFate::Held][(attempts - 1).min(1)]
        }
        _ => CallFate::Immediate,
    });
    alone.run_for(300);
    let late = alone.deferred_calls.pop_front().expect("a campaign without a response");
    for _ in 0..200 {
        if !alone.held_calls.is_empty() {
            break;
        }
        alone.run_for(10);
    }
    assert!(
        matches!(alone.execute_store_call(&late), StoreOutcome::Committed(_)),
        "its lease is still alive"
    );
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    alone.run_for(50);
    let (id, second) = alone.held_calls.pop_front().expect("a second campaign");
    let outcome = alone.execute_store_call(&second);
    alone.deliver_response(id, outcome);
    alone.run_for(8_000);
    assert!(alone.controller.is_leader());
    assert_eq!(alone.leaderships.len(), 1, "leadership was lost: {:?}", alone.leaderships);
}

fn parse_operator(text: &str) -> OperatorSettings {
    OperatorSettings::parse("test", text).expect("valid operator settings")
}

/// A read of the replicated records that a controller began before it became the leader returns after the read that
/// its leadership began with. The older result must be ignored.
#[test]
fn new_leader_ignores_an_earlier_read_of_the_records() {
    let mut alone = SingleController::new(&parse_operator("[loans]\ndurable = true\n"));
    let loan = json!({"v": 1, "x": [], "l": []});
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
    write(&mut alone, "order/loan/wk-old", Some(loan.clone()));
    let is_record_read = |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == keys::REPLICATED_RECORDS);
    let mut first = true;
    alone.call_fate = Box::new(move |call| match call {
        call if is_record_read(call) && std::mem::take(&mut first) => CallFate::AnswerDelayed,
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    alone.run_for(400);
    // The previous leader's last write is applied after that read.
    write(&mut alone, "order/loan/wk-old", None);
    alone.call_fate = Box::new(|_| CallFate::Immediate);
    assert!(alone.release_response(|call| matches!(call, StoreCall::GrantLease { .. })));
    alone.run_for(300);
    assert!(
        alone.controller.is_leader() && alone.release_response(is_record_read),
        "the read from before the election"
    );
    alone.run_for(300);
    let known = alone.controller.record_keys();
    assert!(known.is_empty(), "{known:?}");
}

/// A controller whose leadership ends while it is loading the replicated records reads them again as a follower.
#[test]
fn records_are_read_again_after_leadership_ends_while_loading() {
    let mut alone = SingleController::new(&parse_operator("[loans]\ndurable = true\n"));
    let is_record_read = |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == keys::REPLICATED_RECORDS);
    let mut reads = 0;
    alone.call_fate = Box::new(move |call| {
        reads += u32::from(is_record_read(call));
        match is_record_read(call) && reads == 2 {
            true => CallFate::AnswerDelayed,
            false => CallFate::Immediate,
        }
    });
    alone.run_for(400);
    assert!(!alone.controller.is_leader(), "it is still loading");
    // A worker reports the token of a newer leader.
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

fn status_report(name: &str, session: u64, sequence: u64, fencing_token: u64) -> StatusReport {
    StatusReport {
        machine: name.into(),
        address: format!("{name}:9000"),
        machine_type: "s4".into(),
        zone: "a".into(),
        session,
        sequence,
        fencing_token,
        spot: false,
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Two probes of a machine are open, and the worker has reported between them. The answer to the first probe arrives
/// after that report, with a lower sequence number. It must not be taken for that of a restarted worker, neither in
/// the same term nor after the leader was elected again (`reelected`).
#[test]
fn late_probe_answer_is_not_taken_for_a_restart() {
    for reelected in [false, true] {
        let mut alone = SingleController::new(&OperatorSettings::default());
        alone.run_for(500);
        let send_report = |alone: &mut SingleController, sequence| {
            let token = alone.leader_token().expect("the controller leads");
            let report = status_report("m-1", 1, sequence, token);
            alone.controller.handle(Event::StatusReport(sequence, Box::new(report)), alone.now);
            alone.execute_actions();
        };
        let await_probes = |alone: &mut SingleController, probes: usize| {
            for _ in 0..100 {
                if alone.machines_probed.len() >= probes {
                    return;
                }
                alone.run_for(100);
            }
            panic!("the machine was probed {} times", alone.machines_probed.len());
        };
        send_report(&mut alone, 50);
        await_probes(&mut alone, 1);
        if reelected {
            let watch = alone.watches.iter().find(|f| f.1 == keys::JOBS).cloned();
            alone.deliver_response(watch.expect("a watch").0, StoreOutcome::Compacted);
            alone.run_for(1_000);
            assert_eq!(alone.leaderships.len(), 2);
        }
        send_report(&mut alone, 60);
        await_probes(&mut alone, 2);
        let is_restarted = |alone: &SingleController| {
            let state = alone.controller.cluster_state().expect("the controller leads");
            state.machines["m-1"].is_restarted
        };
        let answer_probe = |alone: &mut SingleController, sequence| {
            let token = alone.leader_token().expect("the controller leads");
            let report = Box::new(status_report("m-1", 1, sequence, token));
            let id = MachineId::from("m-1");
            alone
                .controller
                .handle(Event::ProbeFinished(id, ProbeOutcome::Answered, Some(report)), alone.now);
            alone.execute_actions();
        };
        answer_probe(&mut alone, 51);
        assert!(!is_restarted(&alone), "reelected {reelected}: first answer taken for a restart");
        // The answer to the second probe arrives after a later report and a third probe.
        send_report(&mut alone, 70);
        await_probes(&mut alone, 3);
        answer_probe(&mut alone, 61);
        assert!(!is_restarted(&alone), "reelected {reelected}: second answer taken for a restart");
        answer_probe(&mut alone, 71);
        assert!(!is_restarted(&alone));
        // A restarted worker is still detected.
        await_probes(&mut alone, 4);
        answer_probe(&mut alone, 3);
        assert!(is_restarted(&alone), "reelected {reelected}");
    }
}

/// A job's record as stored in the state service.
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
    let value = serde_json::to_value(record).expect("a job record serializes");
    KeyValue { key: keys::job(id), value, mod_revision: 1, lease: None }
}

/// No machine has reported to a new leader yet. This must not be taken as a sign that a lent machine is gone: the
/// loan stays in its stage, whichever it is, until the machines have had time to report.
#[test]
fn gpu_loans_in_each_stage_survive_a_failover() {
    for (stage, lender_on, borrower_on) in [
        ("a", true, false),
        ("s", true, false),
        ("g", false, false),
        ("v", false, true),
        ("e", false, false),
    ] {
        let (now, wall) = (100_000, 900_000);
        let mut state = ClusterState::new(9, 1, now);
        let entries =
            vec![job_record("wk-b", JobKind::Gang, 2), job_record("wk-l", JobKind::Gang, 1)];
        state.load_jobs(&KeyPage { entries, has_next: false, revision: 1 }, now, wall);
        for (id, on) in [("wk-l", lender_on), ("wk-b", borrower_on)] {
            let machine = MachineId::from("m-1");
            let binding = swiftsail_controller::job::Binding {
                task: 0,
                attempt: 7,
                machine,
                worker_session: 1,
            };
            let bindings = if on { vec![binding] } else { Vec::new() };
            let chunk = swiftsail_controller::job::BindingChunk {
                write_number: 1,
                covers: 9,
                done: Vec::new(),
                bindings,
                runs: Vec::new(),
            };
            state.jobs.get_mut(id).expect("loaded").restore_chunk(0, &chunk, 1, now);
        }
        state.finish_loading(now, now);
        let record = json!({"v": 1, "x": [], "l":
            [{"to": "wk-b", "on": "m-1", "n": 2.0, "stage": stage, "at": wall - 1_000}]});
        let lender = LenderRecord::from_record("loan/wk-l", &record).expect("a valid record");
        let before = lender.loans[0].phase();
        state.gpu_loans.restore("wk-l", lender);
        for step in 0..40 {
            state.advance_gpu_loans(now + step * 100, wall + step * 100);
        }
        let loan_phase = |state: &ClusterState| {
            state.gpu_loans.lender_record("wk-l").and_then(|l| l.loans.first()).map(|l| l.phase())
        };
        assert_eq!(loan_phase(&state), Some(before), "a loan in stage {stage}");
        if !lender_on && !borrower_on {
            // A machine that does not report within that time counts as gone.
            state.advance_gpu_loans(now + 15_000, wall + 15_000);
            assert!(loan_phase(&state).is_none_or(LoanPhase::is_final), "a loan in stage {stage}");
        }
    }
}

/// A read of the quota accounts from before the election shows what the previous leader held then, some of which it
/// has given up since. The new leader must not use that quota.
#[test]
fn new_leader_does_not_use_quota_that_its_predecessor_gave_up() {
    let operator = parse_operator("[amounts]\ndurable = true\n");
    let mut first = SingleController::new(&operator);
    first.run_for(8_000);
    let limits = |alone: &SingleController| {
        alone.controller.cluster_state().and_then(|t| t.quota_limits.clone()).expect("limits")
    };
    let before = limits(&first)[0];
    assert!(before.cpus > swiftsail_quota::Quantity::ZERO);
    let mut next = SingleController::with_seed(&operator, 2);
    std::mem::swap(&mut next.store, &mut first.store);
    let is_quota_read = |call: &StoreCall| matches!(call, StoreCall::List { prefix, .. } if prefix == quota_records::KEY_PREFIX);
    next.call_fate = Box::new(move |call| match call {
        call if is_quota_read(call) => CallFate::AnswerDelayed,
        StoreCall::GrantLease { .. } => CallFate::AnswerDelayed,
        _ => CallFate::Immediate,
    });
    next.now = first.now;
    // The previous leader's key still exists for a while. Its last transaction is applied after the new leader's
    // read.
    next.run_for(1_000);
    assert!(next.delayed_answers.iter().any(|s| is_quota_read(&s.1)));
    let key = format!("{}0/of/all", quota_records::KEY_PREFIX);
    let mut record = next.store.get(&key).expect("the leader's quota account").value.clone();
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
    assert!(next.release_response(|call| matches!(call, StoreCall::GrantLease { .. })));
    next.run_for(300);
    assert!(next.controller.is_leader());
    let reads = next.delayed_answers.iter().filter(|s| is_quota_read(&s.1)).count();
    assert!(reads >= 2, "{reads} reads, one of them made as the leader");
    assert!(next.release_response(is_quota_read), "the read from before the election");
    next.run_for(200);
    let after = limits(&next)[0];
    assert!(
        after.cpus == swiftsail_quota::Quantity::ZERO,
        "limit of the new leader {after:?}, of the previous one {before:?}"
    );
}
