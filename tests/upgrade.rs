//! What an earlier version has left, under limits that it did not know: records are brought down step by step, and
//! whoever reads them between two steps finds every task where it is.

use serde_json::json;
use std::collections::BTreeMap;
use swiftsail_controller::job::{Bound, Chunk, JobId, JobRecord, Kind, Stage, keys};
use swiftsail_controller::node::{Ctx, Purpose};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{Call, Outcome, Store as Client};
use swiftsail_controller::tables::Tables;
use swiftsail_simulation::store::{Committed, Store};
use swiftsail_simulation::world::{settings, spec};
use swiftsail_protocol::state::{Change, Commit};
use swiftsail_protocol::workers::Cause;

const JOB: &str = "wk-1";
const TASKS: u32 = 256;

fn put(store: &mut Store, key: &str, value: serde_json::Value) -> u64 {
    let apply = vec![Change::Write { write: key.into(), value, mooring: None }];
    match store.commit(&Commit { when: Vec::new(), apply }) {
        Committed::At(epoch) => epoch,
        other => panic!("{other:?}"),
    }
}

fn read(store: &Store, token: u64) -> Tables {
    let mut tables = Tables::new(token, 1, 1_000);
    tables.load_jobs(&store.list(keys::JOBS, None, 1_000), 1_000, 1_000);
    tables.load_bindings(&store.list(keys::BINDINGS, None, 1_000), 1_000);
    tables.load_sheets(&store.list(keys::SHEETS, None, 1_000), 1_000);
    tables.index(1_000, 1_000);
    tables
}

/// Which attempt of which task is where, as a new leader would have it.
fn held(tables: &Tables) -> BTreeMap<u32, u64> {
    let attempts = tables.jobs[JOB].attempts.iter();
    attempts.map(|(task, a)| (*task, a.launch)).collect()
}

/// A chunk of 8 KiB that holds what no sheet does, and then values of 2 KiB at most: before it is written smaller, what
/// it has no room for is on sheets. A leader may end between any two writes.
#[test]
fn a_chunk_too_large_for_the_limits_to_come_loses_nothing() {
    let before = settings(0);
    let mut store = Store::new(before.settings.state.clone(), 0);
    let token = put(&mut store, keys::LEADER, json!({"node": "n0", "process": 1, "grant": 1}));
    let record = JobRecord {
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 0,
        chunk_tasks: TASKS,
        nonce: 0,
        tier: None,
        awaits: Vec::new(),
        spec: spec(Kind::Array, TASKS, 1.0, "img"),
    };
    put(&mut store, &keys::job(JOB), serde_json::to_value(record).expect("our own"));
    let bound: Vec<Bound> = (40..240)
        .map(|task| Bound {
            task,
            launch: u64::from(task) + 100,
            machine: format!("m-{:06}", task / 4).into(),
            watch: 1,
        })
        .collect();
    let chunk = Chunk { nonce: 1, upto: 9_999, done: vec![(0, 9), (20, 25)], bound };
    put(
        &mut store,
        &format!("{}{JOB}/00000", keys::BINDINGS),
        serde_json::to_value(chunk).expect("our own"),
    );
    let mut small: Settings = (*before).clone();
    small.settings.state.value_kb = 2.0;
    small.settings.state.txn_ops = 5;
    store.limit_sizes(2.0, 5);

    let mut tables = read(&store, token);
    let mut expected = held(&tables);
    assert_eq!(expected.len(), 200);
    let mut client: Client<Purpose> = Client::new(1_000.0, 100.0, 1_000);
    let (mut sheets, mut chunks) = (0, 0);
    // Sheets are written late: chunks that could go first do.
    let mut waiting: Vec<(u64, u64, Call)> = Vec::new();
    for step in 0..60 {
        let now = 1_000 + step * 300;
        if step < 20 {
            // Something ends, so that the chunk has to be written.
            let task = 60 + step as u32 * 7;
            let job = tables.jobs.get_mut(JOB).expect("it lives");
            let attempt = job.attempts.get_mut(&task).expect("it is bound");
            attempt.advance(Stage::Exited(Cause::Done), now);
            job.touch(task, now);
        }
        let mut ctx = Ctx { now, wall: now, settings: &small, store: &mut client };
        tables.write_ledger(&mut ctx);
        tables.flush_all(&mut ctx);
        let (calls, late) = client.pump(now);
        assert!(late.is_empty());
        for (number, call) in calls {
            let Call::Commit(commit) = &call else { panic!("{call:?}") };
            let sheet = commit.when.iter().any(|w| w.key.starts_with(keys::SHEETS));
            waiting.push((if sheet { step + 5 } else { step }, number, call));
        }
        let due: Vec<_> = waiting.extract_if(.., |(at, ..)| *at <= step).collect();
        for (_, number, call) in due {
            let Call::Commit(commit) = &call else { panic!("{call:?}") };
            let outcome = match store.commit(commit) {
                Committed::At(epoch) => Outcome::Committed(epoch),
                other => panic!("step {step}: {other:?}: {call:?}"),
            };
            // A leader that begins now: what is done is done, and nothing that runs is lost or elsewhere.
            let next = read(&store, token);
            let done = &next.jobs[JOB].done;
            expected.retain(|task, _| !done.contains(task));
            assert_eq!(held(&next), expected, "step {step}");
            let end = client.finish(number, outcome, now).expect("it has an outcome");
            let mut ctx = Ctx { now, wall: now, settings: &small, store: &mut client };
            match &end.purpose {
                Purpose::Ledger { .. } => {
                    sheets += 1;
                    assert!(!tables.on_ledger(&end, &mut ctx));
                }
                Purpose::Flush { .. } => {
                    chunks += 1;
                    assert!(!tables.on_flushed(&JobId::from(JOB), &end, &mut ctx));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(sheets >= 1 && chunks >= 1, "{sheets} sheets, {chunks} chunks were written");
    assert_eq!(expected.len(), 180, "what has ended is recorded as done");
}
