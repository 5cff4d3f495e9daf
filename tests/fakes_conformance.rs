//! The stand-ins keep to the published protocol: what a mistake there would hide from every other test.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use std::collections::BTreeMap;
use swiftsail_controller::job::{JobKind, JobSpec};
use swiftsail_protocol::cloud::ProvisionMachinesRequest;
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};
use swiftsail_protocol::workers::{Command, CommandKind, ExitCause, HeartbeatResponse, TaskPhase};
use swiftsail_simulation::cluster::SimulatedCluster;
use swiftsail_simulation::constants::MAX_WATCH_HISTORY;
use swiftsail_simulation::simulation::{controller_settings, job_spec, machine_offers};
use swiftsail_simulation::store::{CompactedRevision, FakeStore, TransactionResult};
use swiftsail_simulation::worker::ExecutionPhase;

fn fake_store() -> FakeStore {
    FakeStore::new(controller_settings(0).settings.state.clone(), 0)
}

fn put_transaction(key: &str, value: u64, stamp: u64, mooring: Option<u64>) -> Transaction {
    Transaction {
        preconditions: vec![Precondition { key: key.into(), mod_revision: stamp }],
        mutations: vec![Mutation::Put { key: key.into(), value: json!(value), lease: mooring }],
    }
}

#[test]
fn the_store_is_a_map_with_stamps() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let steps = prop::collection::vec((0..5u8, 0..3u8, any::<bool>()), 1..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut store, mut model) = (fake_store(), BTreeMap::<String, u64>::new());
            for (n, (key, what, fresh)) in steps.into_iter().enumerate() {
                let key = format!("k/{key}");
                let held = model.get(&key).copied().unwrap_or(0);
                let stamp = if fresh { held } else { held + 1 };
                let mut commit = put_transaction(&key, n as u64, stamp, None);
                if what == 0 {
                    commit.mutations = vec![Mutation::Delete { key: key.clone() }];
                }
                match store.apply_transaction(&commit) {
                    TransactionResult::Committed(epoch) => {
                        prop_assert!(fresh, "a condition that does not hold");
                        match what {
                            0 => model.remove(&key),
                            _ => model.insert(key, epoch),
                        };
                    }
                    TransactionResult::PreconditionFailed(keys) => {
                        prop_assert!(!fresh && keys == vec![key])
                    }
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            // Pages of any size tell the same.
            let mut seen = BTreeMap::new();
            let mut from: Option<String> = None;
            loop {
                let page = store.list("k/", from.as_deref(), 2);
                from = page.entries.last().map(|p| p.key.clone());
                seen.extend(page.entries.into_iter().map(|p| (p.key, p.mod_revision)));
                if !page.has_next {
                    break;
                }
            }
            prop_assert_eq!(seen, model);
            Ok(())
        })
        .unwrap();
}

#[test]
fn leases_end_with_their_keys_and_never_in_an_outage() {
    let mut store = fake_store();
    let lease = store.create_lease(5_000, 0).expect("a time to live within bounds");
    assert!(store.create_lease(50, 0).is_none());
    assert!(matches!(
        store.apply_transaction(&put_transaction("term/leader", 1, 0, Some(lease))),
        TransactionResult::Committed(_)
    ));
    store.expire_leases(4_900, false);
    assert!(store.renew_lease(lease, 4_900));
    // An outage gives every lease its full time again.
    store.expire_leases(9_000, true);
    store.expire_leases(13_900, false);
    assert!(store.get("term/leader").is_some());
    let from = store.revision();
    store.expire_leases(14_100, false);
    assert!(store.get("term/leader").is_none());
    let news = store.changes_since("term/", from).expect("kept").expect("a change");
    assert_eq!(news.events[0].deleted_key.as_deref(), Some("term/leader"));
    assert!(!store.renew_lease(lease, 14_100));
    assert_eq!(
        store.apply_transaction(&put_transaction("x", 1, 0, Some(lease))),
        TransactionResult::LeaseNotFound
    );
}

#[test]
fn watches_tell_every_change_or_that_they_cannot() {
    let mut store = fake_store();
    for n in 0..MAX_WATCH_HISTORY as u64 + 10 {
        let stamp = store.get("a/b").map_or(0, |p| p.mod_revision);
        store.apply_transaction(&put_transaction("a/b", n, stamp, None));
    }
    assert_eq!(store.changes_since("a/", 5), Err(CompactedRevision));
    let news = store.changes_since("a/", 11).expect("kept").expect("changes");
    assert_eq!(news.events.len(), MAX_WATCH_HISTORY - 1);
    assert_eq!(store.changes_since("a/", store.revision()), Ok(None));
    assert_eq!(store.changes_since("b/", 100), Ok(None));
}

#[test]
fn limits_are_those_of_the_settings() {
    let limits = controller_settings(0).settings.state.clone();
    let mut store = fake_store();
    let let_through = (0..1_000).filter(|_| store.admit(0, 0)).count();
    assert_eq!(let_through, limits.rps as usize, "a second's worth at once");
    let let_through = (0..1_000).filter(|_| store.admit(1, 1_000)).count();
    assert_eq!(let_through, limits.write_rps as usize);
    let large = json!("x".repeat((limits.value_kb * 1024.0) as usize));
    let apply = vec![Mutation::Put { key: "k".into(), value: large, lease: None }];
    assert!(matches!(
        store.apply_transaction(&Transaction { preconditions: vec![], mutations: apply }),
        TransactionResult::Malformed(_)
    ));
    let apply = (0..=limits.txn_ops).map(|n| Mutation::Delete { key: format!("k{n}") }).collect();
    assert!(matches!(
        store.apply_transaction(&Transaction { preconditions: vec![], mutations: apply }),
        TransactionResult::Malformed(_)
    ));
}

/// A plant with machines of 8 CPUs that are up at once.
struct ClusterFixture {
    cluster: SimulatedCluster,
    machine_names: Vec<String>,
    now: u64,
}

const FENCING_TOKEN: u64 = 7;
const BEGIN_MS: u64 = 10_000;

impl ClusterFixture {
    fn new(machines: u32, job: JobSpec) -> ClusterFixture {
        let platform = controller_settings(0).settings.clone();
        let mut cluster = SimulatedCluster::new(machine_offers(6), platform, 3, 1.0, 5, 0);
        let rent = ProvisionMachinesRequest {
            request_id: "r-1".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
            count: machines,
        };
        let machine_names = cluster.provision(&rent, BEGIN_MS).expect("there are some");
        assert_eq!(
            cluster.provision(&rent, BEGIN_MS).expect("again"),
            machine_names,
            "a name rents once"
        );
        cluster.register_job("wk-1", job, true);
        // Those that come up late are no matter here.
        for worker in cluster.workers.values_mut() {
            worker.up_at = worker.up_at.min(20_000);
        }
        ClusterFixture { cluster, machine_names, now: 20_000 }
    }

    /// Time passes; every report is answered with what is ordered for that machine, once.
    fn run_for(&mut self, ms: u64, mut orders: Vec<(usize, Command)>) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100;
            for n in 0..self.machine_names.len() {
                let name = self.machine_names[n].clone();
                let Some((_, report)) = self.cluster.step_machine(&name, self.now) else {
                    continue;
                };
                let (mine, rest): (Vec<_>, Vec<_>) = orders.drain(..).partition(|(m, _)| *m == n);
                orders = rest;
                let mine = mine.into_iter().map(|(_, c)| c).collect();
                let answer = HeartbeatResponse { fencing_token: FENCING_TOKEN, commands: mine };
                self.cluster.handle_heartbeat_response(
                    &name,
                    &answer,
                    report.session,
                    self.now,
                    self.now,
                );
            }
        }
        assert!(orders.is_empty(), "every machine has reported");
    }

    fn execution_phase(&self, machine: usize) -> Option<ExecutionPhase> {
        let worker = self.cluster.workers.get(&self.machine_names[machine])?;
        worker.tasks.first().map(|t| t.phase())
    }
}

fn task_command(verb: CommandKind, task: u32, ease_s: Option<f64>) -> Command {
    Command { kind: verb, task: format!("wk-1/{task}"), attempt: 3, grace_s: ease_s }
}

fn gang_spec() -> JobSpec {
    JobSpec {
        checkpoint_interval_s: 5.0,
        checkpoint_duration_s: 1.0,
        runtime_estimate_s: 60.0,
        ..job_spec(JobKind::Gang, 2, 2.0, "i")
    }
}

#[test]
fn a_gang_starts_together_and_saves_only_when_all_are_told() {
    let start = |task| (task as usize, task_command(CommandKind::Start, task, None));
    let mut yard = ClusterFixture::new(2, gang_spec());
    yard.run_for(6_000, vec![start(0)]);
    assert!(
        matches!(yard.execution_phase(0), Some(ExecutionPhase::WaitingForGang(_))),
        "{:?}",
        yard.execution_phase(0)
    );
    yard.run_for(6_000, vec![start(1)]);
    assert_eq!(
        (yard.execution_phase(0), yard.execution_phase(1)),
        (Some(ExecutionPhase::Running), Some(ExecutionPhase::Running))
    );
    // Both are told in time: the progress is saved.
    let stop = |task| (task as usize, task_command(CommandKind::Stop, task, Some(3.0)));
    yard.run_for(6_000, vec![stop(0), stop(1)]);
    for n in 0..2 {
        assert_eq!(yard.execution_phase(n), Some(ExecutionPhase::Exited(ExitCause::Stopped, true)));
    }
    // Only one is told: the save fails, and the other notices.
    let mut yard = ClusterFixture::new(2, gang_spec());
    yard.run_for(8_000, vec![start(0), start(1)]);
    assert_eq!(yard.execution_phase(0), Some(ExecutionPhase::Running));
    yard.run_for(9_000, vec![stop(0)]);
    for n in 0..2 {
        let stage = yard.execution_phase(n);
        assert!(matches!(stage, Some(ExecutionPhase::Exited(_, false))), "{n}: {stage:?}");
    }
    // One machine is lost: the other exits within the time that its gang has to notice.
    let mut yard = ClusterFixture::new(2, gang_spec());
    yard.run_for(8_000, vec![start(0), start(1)]);
    let (lost, now) = (yard.machine_names[1].clone(), yard.now);
    yard.cluster.terminate(&[lost], false, now);
    yard.run_for(5_000, vec![]);
    assert_eq!(
        yard.execution_phase(0),
        Some(ExecutionPhase::Exited(ExitCause::GangMemberLost, false))
    );
}

#[test]
fn a_session_ends_with_its_lease_and_old_tokens_are_dropped() {
    let mut yard = ClusterFixture::new(
        1,
        JobSpec { runtime_estimate_s: 500.0, ..job_spec(JobKind::Array, 2, 2.0, "i") },
    );
    yard.run_for(4_000, vec![(0, task_command(CommandKind::Start, 0, None))]);
    assert_eq!(yard.execution_phase(0), Some(ExecutionPhase::Running));
    let name = yard.machine_names[0].clone();
    // Answers with a lower token do not renew the lease.
    let (begin, session) = (yard.now, yard.cluster.workers[&name].session());
    while yard.now < begin + 13_000 {
        yard.now += 100;
        if let Some((_, report)) = yard.cluster.step_machine(&name, yard.now) {
            let old = HeartbeatResponse { fencing_token: FENCING_TOKEN - 1, commands: Vec::new() };
            yard.cluster.handle_heartbeat_response(&name, &old, report.session, yard.now, yard.now);
        }
    }
    let worker = &yard.cluster.workers[&name];
    assert_eq!((worker.session(), worker.tasks_killed), (session + 1, 1));
    assert!(worker.tasks.is_empty());
}

#[test]
fn a_worker_refuses_what_it_cannot_take_and_repeats_nothing() {
    let mut yard = ClusterFixture::new(1, job_spec(JobKind::Array, 9, 5.0, "i"));
    let mut other = task_command(CommandKind::Start, 1, None);
    other.task = "wk-9/0".into();
    yard.run_for(
        2_000,
        vec![
            (0, task_command(CommandKind::Start, 0, None)),
            (0, task_command(CommandKind::Start, 0, None)),
            (0, Command { attempt: 4, ..task_command(CommandKind::Start, 0, None) }),
            (0, task_command(CommandKind::Start, 1, None)),
            (0, other),
        ],
    );
    let name = yard.machine_names[0].clone();
    let now = yard.now;
    let worker = yard.cluster.workers.get_mut(&name).expect("it is there");
    let causes: Vec<Option<ExitCause>> =
        worker.build_report(now).tasks.iter().map(|s| s.exit_cause).collect();
    let refused = [
        None,
        Some(ExitCause::ConflictingAttempt),
        Some(ExitCause::InsufficientResources),
        Some(ExitCause::UnknownJob),
    ];
    assert_eq!(causes, refused);
    yard.run_for(2_000, vec![(0, task_command(CommandKind::Forget, 1, None))]);
    let worker = yard.cluster.workers.get_mut(&name).expect("it is there");
    let report = worker.build_report(now + 9_000);
    assert_eq!(report.tasks.len(), 3);
    assert!(report.tasks.iter().any(|s| s.phase == TaskPhase::Running));
}

#[test]
fn the_machine_list_lags_and_keeps_what_died() {
    let mut yard = ClusterFixture::new(3, gang_spec());
    let cloud = &mut yard.cluster.cloud;
    assert!(
        cloud.list_machines(None, 500, BEGIN_MS + 1_000).machines.is_empty(),
        "not listed at once"
    );
    assert_eq!(cloud.list_machines(None, 500, 60_000).machines.len(), 3);
    let page = cloud.list_machines(None, 2, 60_000);
    assert!(page.has_next && page.machines.len() == 2);
    let names = yard.machine_names.clone();
    cloud.terminate(&names[..1], true, 60_000);
    cloud.terminate(&names[1..2], false, 60_000);
    let listed = cloud.list_machines(None, 500, 200_000).machines;
    assert_eq!(listed.len(), 2, "what was returned is gone, what died is listed as failed");
    assert_eq!(listed[0].status, swiftsail_protocol::cloud::ListedMachineStatus::Failed);
    cloud.terminate(&names[..1], false, 200_000);
    assert_eq!(cloud.list_machines(None, 500, 400_000).machines.len(), 1);
}
