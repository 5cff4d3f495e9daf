//! What an earlier version has left, under limits that it did not know: records are brought down step by step, and
//! whoever reads them between two steps finds every task where it is.

use serde_json::json;
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::ClusterState;
use swiftsail_controller::controller::{CallContext, LeaderContext};
use swiftsail_controller::job::{
    AttemptPhase, Binding, BindingChunk, JobId, JobKind, JobRecord, keys,
};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{StoreCall, StoreClient as Client, StoreOutcome};
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_protocol::workers::ExitCause;
use swiftsail_simulation::simulation::{controller_settings, job_spec};
use swiftsail_simulation::store::{FakeStore, TransactionResult};

const JOB: &str = "wk-1";
const TASKS: u32 = 256;

fn put_record(store: &mut FakeStore, key: &str, value: serde_json::Value) -> u64 {
    let apply = vec![Mutation::Put { key: key.into(), value, lease: None }];
    match store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations: apply }) {
        TransactionResult::Committed(epoch) => epoch,
        other => panic!("{other:?}"),
    }
}

fn restore_cluster_state(store: &FakeStore, token: u64) -> ClusterState {
    let mut tables = ClusterState::new(token, 1, 1_000);
    tables.load_jobs(&store.list(keys::JOBS, None, 1_000), 1_000, 1_000);
    tables.load_bindings(&store.list(keys::BINDINGS, None, 1_000), 1_000);
    tables.load_log_segments(&store.list(keys::SHEETS, None, 1_000), 1_000);
    tables.finish_loading(1_000, 1_000);
    tables
}

/// Which attempt of which task is where, as a new leader would have it.
fn tasks_by_attempt(tables: &ClusterState) -> BTreeMap<u32, u64> {
    let attempts = tables.jobs[JOB].attempts.iter();
    attempts.map(|(task, a)| (*task, a.number)).collect()
}

/// A chunk of 8 KiB that holds what no sheet does, and then values of 2 KiB at most: before it is written smaller, what
/// it has no room for is on sheets. A leader may end between any two writes.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn a_chunk_too_large_for_the_limits_to_come_loses_nothing() {
    let before = controller_settings(0);
    let mut store = FakeStore::new(before.settings.state.clone(), 0);
    let token =
        put_record(&mut store, keys::LEADER, json!({"node": "n0", "process": 1, "grant": 1}));
    let record = JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 0,
        chunk_tasks: TASKS,
        write_number: 0,
        tier: None,
        depends_on: Vec::new(),
        spec: job_spec(JobKind::Array, TASKS, 1.0, "img"),
    };
    put_record(&mut store, &keys::job(JOB), serde_json::to_value(record).expect("our own"));
    let bound: Vec<Binding> = (40..240)
        .map(|task| Binding {
            task,
            attempt: u64::from(task) + 100,
            machine: format!("m-{:06}", task / 4).into(),
            worker_session: 1,
        })
        .collect();
    let chunk = BindingChunk {
        write_number: 1,
        covers: 9_999,
        done: vec![(0, 9), (20, 25)],
        bindings: bound,
    };
    put_record(
        &mut store,
        &format!("{}{JOB}/00000", keys::BINDINGS),
        serde_json::to_value(chunk).expect("our own"),
    );
    let mut small: Settings = (*before).clone();
    small.settings.state.value_kb = 2.0;
    small.settings.state.txn_ops = 5;
    store.limit_sizes(2.0, 5);

    let mut tables = restore_cluster_state(&store, token);
    let mut expected = tasks_by_attempt(&tables);
    assert_eq!(expected.len(), 200);
    let mut client: Client<CallContext> = Client::new(1_000.0, 100.0, 1_000);
    let (mut sheets, mut chunks) = (0, 0);
    // Sheets are written late: chunks that could go first do.
    let mut waiting: Vec<(u64, u64, StoreCall)> = Vec::new();
    for step in 0..60 {
        let now = 1_000 + step * 300;
        if step < 20 {
            // Something ends, so that the chunk has to be written.
            let task = 60 + step as u32 * 7;
            let job = tables.jobs.get_mut(JOB).expect("it lives");
            let attempt = job.attempts.get_mut(&task).expect("it is bound");
            attempt.advance(AttemptPhase::Exited(ExitCause::Completed), now);
            job.mark_chunk_dirty(task, now);
        }
        let mut ctx = LeaderContext { now, wall_clock: now, settings: &small, store: &mut client };
        tables.write_binding_log(&mut ctx);
        tables.flush_all(&mut ctx);
        let (calls, late) = client.take_due_calls(now);
        assert!(late.is_empty());
        for (number, call) in calls {
            let StoreCall::Commit(commit) = &call else { panic!("{call:?}") };
            let sheet = commit.preconditions.iter().any(|w| w.key.starts_with(keys::SHEETS));
            waiting.push((if sheet { step + 5 } else { step }, number, call));
        }
        let due: Vec<_> = waiting.extract_if(.., |(at, ..)| *at <= step).collect();
        for (_, number, call) in due {
            let StoreCall::Commit(commit) = &call else { panic!("{call:?}") };
            let outcome = match store.apply_transaction(commit) {
                TransactionResult::Committed(epoch) => StoreOutcome::Committed(epoch),
                other => panic!("step {step}: {other:?}: {call:?}"),
            };
            // A leader that begins now: what is done is done, and nothing that runs is lost or elsewhere.
            let next = restore_cluster_state(&store, token);
            let done = &next.jobs[JOB].done;
            expected.retain(|task, _| !done.contains(task));
            assert_eq!(tasks_by_attempt(&next), expected, "step {step}");
            let end = client.finish(number, outcome, now).expect("it has an outcome");
            let mut ctx =
                LeaderContext { now, wall_clock: now, settings: &small, store: &mut client };
            match &end.context {
                CallContext::WriteBindingLog { .. } => {
                    sheets += 1;
                    assert!(!tables.on_binding_log_written(&end, &mut ctx));
                }
                CallContext::FlushJob { .. } => {
                    chunks += 1;
                    assert!(!tables.on_job_flushed(&JobId::from(JOB), &end, &mut ctx));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(sheets >= 1 && chunks >= 1, "{sheets} sheets, {chunks} chunks were written");
    assert_eq!(expected.len(), 180, "what has ended is recorded as done");
}
