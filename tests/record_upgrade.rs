//! Records of an earlier version that exceed the size limits of the state service now in force. They are rewritten step by
//! step, and a controller that loads them between two steps must find every task on its machine.

use serde_json::json;
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::ClusterState;
use swiftsail_controller::controller::{CallContext, LeaderContext};
use swiftsail_controller::job::{
    AttemptPhase, Binding, BindingChunk, JobId, JobKind, JobRecord, keys,
};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{StoreCall, StoreClient, StoreOutcome};
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_protocol::workers::ExitCause;
use swiftsail_simulation::simulation::{controller_settings, job_spec};
use swiftsail_simulation::store::{FakeStore, TransactionResult};

const JOB: &str = "wk-1";
const TASKS: u32 = 256;

fn put_record(store: &mut FakeStore, key: &str, value: serde_json::Value) -> u64 {
    let mutations = vec![Mutation::Put { key: key.into(), value, lease: None }];
    match store.apply_transaction(&Transaction { preconditions: Vec::new(), mutations }) {
        TransactionResult::Committed(revision) => revision,
        other => panic!("{other:?}"),
    }
}

fn restore_cluster_state(store: &FakeStore, token: u64) -> ClusterState {
    let mut state = ClusterState::new(token, 1, 1_000);
    state.load_jobs(&store.list(keys::JOBS, None, 1_000), 1_000, 1_000);
    state.load_bindings(&store.list(keys::BINDINGS, None, 1_000), 1_000);
    state.load_log_segments(&store.list(keys::SHEETS, None, 1_000), 1_000);
    state.finish_loading(1_000, 1_000);
    state
}

/// Returns the number of the current attempt of each task, as a new leader would load it.
fn attempts_by_task(state: &ClusterState) -> BTreeMap<u32, u64> {
    let attempts = state.jobs[JOB].attempts.iter();
    attempts.map(|(task, a)| (*task, a.number)).collect()
}

/// A binding chunk of 8 KiB holds bindings that are in no log segment, and then values are limited to 2 KiB. Before the
/// chunk is rewritten within the limit, the bindings that no longer fit must be in log segments. The leader may crash
/// between any two writes.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet")]
fn oversized_chunk_is_rewritten_without_losing_tasks() {
    let initial_settings = controller_settings(0);
    let mut store = FakeStore::new(initial_settings.settings.state.clone(), 0);
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
    put_record(
        &mut store,
        &keys::job(JOB),
        serde_json::to_value(record).expect("it has a JSON form"),
    );
    let bindings: Vec<Binding> = (40..240)
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
        bindings,
        runs: Vec::new(),
    };
    put_record(
        &mut store,
        &format!("{}{JOB}/00000", keys::BINDINGS),
        serde_json::to_value(chunk).expect("it has a JSON form"),
    );
    let mut settings: Settings = (*initial_settings).clone();
    settings.settings.state.value_kb = 2.0;
    settings.settings.state.txn_ops = 5;
    store.limit_sizes(2.0, 5);

    let mut state = restore_cluster_state(&store, token);
    let mut expected = attempts_by_task(&state);
    assert_eq!(expected.len(), 200);
    let mut client: StoreClient<CallContext> = StoreClient::new(1_000.0, 100.0, 1_000);
    let (mut segment_writes, mut chunk_writes) = (0, 0);
    // Writes of log segments are delayed, so that chunk writes which do not wait for them come first.
    let mut pending: Vec<(u64, u64, StoreCall)> = Vec::new();
    for step in 0..60 {
        let now = 1_000 + step * 300;
        if step < 20 {
            // A task exits, so that the chunk has to be written.
            let task = 60 + step as u32 * 7;
            let job = state.jobs.get_mut(JOB).expect("the job is live");
            let mut attempt = job.attempts.get_mut(&task).expect("the task is bound");
            attempt.advance(AttemptPhase::Exited(ExitCause::Completed), now);
            drop(attempt);
            job.mark_chunk_dirty(task, now);
        }
        let mut ctx =
            LeaderContext { now, wall_clock: now, settings: &settings, store: &mut client };
        state.write_binding_log(&mut ctx);
        state.flush_all(&mut ctx);
        let (calls, expired) = client.take_due_calls(now);
        assert!(expired.is_empty());
        for (number, call) in calls {
            let StoreCall::Commit(transaction) = &call else { panic!("{call:?}") };
            let writes_segment =
                transaction.preconditions.iter().any(|p| p.key.starts_with(keys::SHEETS));
            pending.push((if writes_segment { step + 5 } else { step }, number, call));
        }
        let due: Vec<_> = pending.extract_if(.., |(due_step, ..)| *due_step <= step).collect();
        for (_, number, call) in due {
            let StoreCall::Commit(transaction) = &call else { panic!("{call:?}") };
            let outcome = match store.apply_transaction(transaction) {
                TransactionResult::Committed(revision) => StoreOutcome::Committed(revision),
                other => panic!("step {step}: {other:?}: {call:?}"),
            };
            // A leader that starts now must load all completed tasks as done, and every other task with its attempt.
            let new_leader = restore_cluster_state(&store, token);
            let done = &new_leader.jobs[JOB].done;
            expected.retain(|task, _| !done.contains(task));
            assert_eq!(attempts_by_task(&new_leader), expected, "step {step}");
            let finished = client.finish(number, outcome, now).expect("it has an outcome");
            let mut ctx =
                LeaderContext { now, wall_clock: now, settings: &settings, store: &mut client };
            match &finished.context {
                CallContext::WriteBindingLog { .. } => {
                    segment_writes += 1;
                    assert!(!state.on_binding_log_written(&finished, &mut ctx));
                }
                CallContext::FlushJob { .. } => {
                    chunk_writes += 1;
                    assert!(!state.on_job_flushed(&JobId::from(JOB), &finished, &mut ctx));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(
        segment_writes >= 1 && chunk_writes >= 1,
        "{segment_writes} writes of log segments, {chunk_writes} writes of chunks"
    );
    assert_eq!(expected.len(), 180, "tasks that exited must be recorded as done");
}
