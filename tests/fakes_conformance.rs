//! Checks the fakes against the published protocol: an error in a fake could hide faults from all other tests.

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

fn put_transaction(key: &str, value: u64, revision: u64, lease: Option<u64>) -> Transaction {
    Transaction {
        preconditions: vec![Precondition { key: key.into(), mod_revision: revision }],
        mutations: vec![Mutation::Put { key: key.into(), value: json!(value), lease }],
    }
}

#[test]
fn the_store_is_a_map_with_revisions() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let steps = prop::collection::vec((0..5u8, 0..3u8, any::<bool>()), 1..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut store, mut model) = (fake_store(), BTreeMap::<String, u64>::new());
            for (n, (key, operation, is_current)) in steps.into_iter().enumerate() {
                let key = format!("k/{key}");
                let current = model.get(&key).copied().unwrap_or(0);
                let revision = if is_current { current } else { current + 1 };
                let mut transaction = put_transaction(&key, n as u64, revision, None);
                if operation == 0 {
                    transaction.mutations = vec![Mutation::Delete { key: key.clone() }];
                }
                match store.apply_transaction(&transaction) {
                    TransactionResult::Committed(revision) => {
                        prop_assert!(is_current, "committed although a precondition does not hold");
                        match operation {
                            0 => model.remove(&key),
                            _ => model.insert(key, revision),
                        };
                    }
                    TransactionResult::PreconditionFailed(keys) => {
                        prop_assert!(!is_current && keys == vec![key])
                    }
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            // Reading page by page returns the same entries.
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
fn expired_leases_delete_their_keys_and_none_expires_in_an_outage() {
    let mut store = fake_store();
    let lease = store.create_lease(5_000, 0).expect("a time to live within bounds");
    assert!(store.create_lease(50, 0).is_none());
    assert!(matches!(
        store.apply_transaction(&put_transaction("term/leader", 1, 0, Some(lease))),
        TransactionResult::Committed(_)
    ));
    store.expire_leases(4_900, false);
    assert!(store.renew_lease(lease, 4_900));
    // After an outage every lease has its full time to live again.
    store.expire_leases(9_000, true);
    store.expire_leases(13_900, false);
    assert!(store.get("term/leader").is_some());
    let from = store.revision();
    store.expire_leases(14_100, false);
    assert!(store.get("term/leader").is_none());
    let changes =
        store.changes_since("term/", from).expect("still in the history").expect("a change");
    assert_eq!(changes.events[0].deleted_key.as_deref(), Some("term/leader"));
    assert!(!store.renew_lease(lease, 14_100));
    assert_eq!(
        store.apply_transaction(&put_transaction("x", 1, 0, Some(lease))),
        TransactionResult::LeaseNotFound
    );
}

#[test]
fn watches_return_every_change_or_report_compaction() {
    let mut store = fake_store();
    for n in 0..MAX_WATCH_HISTORY as u64 + 10 {
        let revision = store.get("a/b").map_or(0, |p| p.mod_revision);
        store.apply_transaction(&put_transaction("a/b", n, revision, None));
    }
    assert_eq!(store.changes_since("a/", 5), Err(CompactedRevision));
    let changes = store.changes_since("a/", 11).expect("still in the history").expect("changes");
    assert_eq!(changes.events.len(), MAX_WATCH_HISTORY - 1);
    assert_eq!(store.changes_since("a/", store.revision()), Ok(None));
    assert_eq!(store.changes_since("b/", 100), Ok(None));
}

#[test]
fn store_limits_follow_the_settings() {
    let limits = controller_settings(0).settings.state.clone();
    let mut store = fake_store();
    let admitted = (0..1_000).filter(|_| store.admit(0, 0)).count();
    assert_eq!(admitted, limits.rps as usize, "a second's worth at once");
    let admitted = (0..1_000).filter(|_| store.admit(1, 1_000)).count();
    assert_eq!(admitted, limits.write_rps as usize);
    let large = json!("x".repeat((limits.value_kb * 1024.0) as usize));
    let mutations = vec![Mutation::Put { key: "k".into(), value: large, lease: None }];
    assert!(matches!(
        store.apply_transaction(&Transaction { preconditions: vec![], mutations }),
        TransactionResult::Malformed(_)
    ));
    let mutations =
        (0..=limits.txn_ops).map(|n| Mutation::Delete { key: format!("k{n}") }).collect();
    assert!(matches!(
        store.apply_transaction(&Transaction { preconditions: vec![], mutations }),
        TransactionResult::Malformed(_)
    ));
}

/// A cluster with machines of 8 CPUs that have all booted.
struct ClusterFixture {
    cluster: SimulatedCluster,
    machine_names: Vec<String>,
    now: u64,
}

const FENCING_TOKEN: u64 = 7;
const PROVISIONED_AT_MS: u64 = 10_000;

impl ClusterFixture {
    fn new(machines: u32, job: JobSpec) -> ClusterFixture {
        let platform = controller_settings(0).settings.clone();
        let mut cluster = SimulatedCluster::new(machine_offers(6), platform, 3, 1.0, 5, 0);
        let request = ProvisionMachinesRequest {
            request_id: "r-1".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
            count: machines,
        };
        let machine_names =
            cluster.provision(&request, PROVISIONED_AT_MS).expect("the type and zone are offered");
        assert_eq!(
            cluster.provision(&request, PROVISIONED_AT_MS).expect("again"),
            machine_names,
            "a repeated request id provisions nothing new"
        );
        cluster.register_job("wk-1", job, true);
        // Slow and failed boots are not tested here.
        for worker in cluster.workers.values_mut() {
            worker.up_at = worker.up_at.min(20_000);
        }
        ClusterFixture { cluster, machine_names, now: 20_000 }
    }

    /// Advances the time by `ms`. Every report is answered; the first of each machine with that machine's commands, given
    /// as pairs of machine index and command. Panics if commands remain.
    fn run_for(&mut self, ms: u64, mut commands: Vec<(usize, Command)>) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100;
            for n in 0..self.machine_names.len() {
                let name = self.machine_names[n].clone();
                let Some((_, report)) = self.cluster.step_machine(&name, self.now) else {
                    continue;
                };
                let (own, rest): (Vec<_>, Vec<_>) = commands.drain(..).partition(|(m, _)| *m == n);
                commands = rest;
                let own = own.into_iter().map(|(_, c)| c).collect();
                let answer = HeartbeatResponse { fencing_token: FENCING_TOKEN, commands: own };
                self.cluster.handle_heartbeat_response(
                    &name,
                    &answer,
                    report.session,
                    self.now,
                    self.now,
                );
            }
        }
        assert!(commands.is_empty(), "every machine has reported");
    }

    fn execution_phase(&self, machine: usize) -> Option<ExecutionPhase> {
        let worker = self.cluster.workers.get(&self.machine_names[machine])?;
        worker.tasks.first().map(|t| t.phase())
    }
}

fn task_command(kind: CommandKind, task: u32, grace_s: Option<f64>) -> Command {
    Command { kind, task: format!("wk-1/{task}"), attempt: 3, grace_s }
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
fn a_gang_starts_together_and_saves_only_if_all_members_are_stopped() {
    let start = |task| (task as usize, task_command(CommandKind::Start, task, None));
    let mut fixture = ClusterFixture::new(2, gang_spec());
    fixture.run_for(6_000, vec![start(0)]);
    assert!(
        matches!(fixture.execution_phase(0), Some(ExecutionPhase::WaitingForGang(_))),
        "{:?}",
        fixture.execution_phase(0)
    );
    fixture.run_for(6_000, vec![start(1)]);
    assert_eq!(
        (fixture.execution_phase(0), fixture.execution_phase(1)),
        (Some(ExecutionPhase::Running), Some(ExecutionPhase::Running))
    );
    // Both members are told to stop in time: the progress is saved.
    let stop = |task| (task as usize, task_command(CommandKind::Stop, task, Some(3.0)));
    fixture.run_for(6_000, vec![stop(0), stop(1)]);
    for n in 0..2 {
        assert_eq!(
            fixture.execution_phase(n),
            Some(ExecutionPhase::Exited(ExitCause::Stopped, true))
        );
    }
    // Only one member is told to stop: its checkpoint fails, and the other member exits too.
    let mut fixture = ClusterFixture::new(2, gang_spec());
    fixture.run_for(8_000, vec![start(0), start(1)]);
    assert_eq!(fixture.execution_phase(0), Some(ExecutionPhase::Running));
    fixture.run_for(9_000, vec![stop(0)]);
    for n in 0..2 {
        let phase = fixture.execution_phase(n);
        assert!(matches!(phase, Some(ExecutionPhase::Exited(_, false))), "{n}: {phase:?}");
    }
    // One machine is lost: the other member exits within the time in which a gang detects the loss of a member.
    let mut fixture = ClusterFixture::new(2, gang_spec());
    fixture.run_for(8_000, vec![start(0), start(1)]);
    let (lost, now) = (fixture.machine_names[1].clone(), fixture.now);
    fixture.cluster.terminate(&[lost], false, now);
    fixture.run_for(5_000, vec![]);
    assert_eq!(
        fixture.execution_phase(0),
        Some(ExecutionPhase::Exited(ExitCause::GangMemberLost, false))
    );
}

#[test]
fn a_session_ends_with_its_lease_and_stale_tokens_do_not_renew_it() {
    let mut fixture = ClusterFixture::new(
        1,
        JobSpec { runtime_estimate_s: 500.0, ..job_spec(JobKind::Array, 2, 2.0, "i") },
    );
    fixture.run_for(4_000, vec![(0, task_command(CommandKind::Start, 0, None))]);
    assert_eq!(fixture.execution_phase(0), Some(ExecutionPhase::Running));
    let name = fixture.machine_names[0].clone();
    // Responses with a lower fencing token do not renew the lease.
    let (start_at, session) = (fixture.now, fixture.cluster.workers[&name].session());
    while fixture.now < start_at + 13_000 {
        fixture.now += 100;
        if let Some((_, report)) = fixture.cluster.step_machine(&name, fixture.now) {
            let stale_response =
                HeartbeatResponse { fencing_token: FENCING_TOKEN - 1, commands: Vec::new() };
            fixture.cluster.handle_heartbeat_response(
                &name,
                &stale_response,
                report.session,
                fixture.now,
                fixture.now,
            );
        }
    }
    let worker = &fixture.cluster.workers[&name];
    assert_eq!((worker.session(), worker.tasks_killed), (session + 1, 1));
    assert!(worker.tasks.is_empty());
}

#[test]
fn a_worker_rejects_invalid_starts_and_ignores_repeated_ones() {
    let mut fixture = ClusterFixture::new(1, job_spec(JobKind::Array, 9, 5.0, "i"));
    let mut unknown_job = task_command(CommandKind::Start, 1, None);
    unknown_job.task = "wk-9/0".into();
    fixture.run_for(
        2_000,
        vec![
            (0, task_command(CommandKind::Start, 0, None)),
            (0, task_command(CommandKind::Start, 0, None)),
            (0, Command { attempt: 4, ..task_command(CommandKind::Start, 0, None) }),
            (0, task_command(CommandKind::Start, 1, None)),
            (0, unknown_job),
        ],
    );
    let name = fixture.machine_names[0].clone();
    let now = fixture.now;
    let worker = fixture.cluster.workers.get_mut(&name).expect("the machine has a worker");
    let causes: Vec<Option<ExitCause>> =
        worker.build_report(now).tasks.iter().map(|s| s.exit_cause).collect();
    let expected = [
        None,
        Some(ExitCause::ConflictingAttempt),
        Some(ExitCause::InsufficientResources),
        Some(ExitCause::UnknownJob),
    ];
    assert_eq!(causes, expected);
    fixture.run_for(2_000, vec![(0, task_command(CommandKind::Forget, 1, None))]);
    let worker = fixture.cluster.workers.get_mut(&name).expect("the machine has a worker");
    let report = worker.build_report(now + 9_000);
    assert_eq!(report.tasks.len(), 3);
    assert!(report.tasks.iter().any(|s| s.phase == TaskPhase::Running));
}

#[test]
fn the_machine_list_lags_and_keeps_dead_machines() {
    let mut fixture = ClusterFixture::new(3, gang_spec());
    let cloud = &mut fixture.cluster.cloud;
    assert!(
        cloud.list_machines(None, 500, PROVISIONED_AT_MS + 1_000).machines.is_empty(),
        "not listed at once"
    );
    assert_eq!(cloud.list_machines(None, 500, 60_000).machines.len(), 3);
    let page = cloud.list_machines(None, 2, 60_000);
    assert!(page.has_next && page.machines.len() == 2);
    let names = fixture.machine_names.clone();
    cloud.terminate(&names[..1], true, 60_000);
    cloud.terminate(&names[1..2], false, 60_000);
    let listed = cloud.list_machines(None, 500, 200_000).machines;
    assert_eq!(
        listed.len(),
        2,
        "a returned machine is no longer listed, a dead one is listed as failed"
    );
    assert_eq!(listed[0].status, swiftsail_protocol::cloud::ListedMachineStatus::Failed);
    cloud.terminate(&names[..1], false, 200_000);
    assert_eq!(cloud.list_machines(None, 500, 400_000).machines.len(), 1);
}
