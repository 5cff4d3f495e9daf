//! Cost of a leader with up to ten thousand machines and a hundred thousand tasks, in work items and bytes, not in time.

use swiftsail_simulation::simulation::{self, job_spec};

use std::collections::BTreeMap;
use std::sync::Arc;
use swiftsail_controller::cloud::{self, CloudClient};
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::constants::{
    MAX_CYCLE_BINDINGS, MAX_LOGGED_BINDINGS, MAX_OPEN_PROVISIONING_REQUESTS, MAX_PROVISION_BATCH,
    REGISTRATION_GRACE_MS, REPORT_BYTES, ROUND_INTERVAL_MS, TASK_STATUS_BYTES,
};
use swiftsail_controller::controller::{self, CallContext, LeaderContext};
use swiftsail_controller::cycle_policy::CyclePolicy;
use swiftsail_controller::job::{AttemptPhase, JobKind, JobRecord, JobSpec, keys};
use swiftsail_controller::machine::{MachineType, MessageOrder};
use swiftsail_controller::placement::PlanningContext;
use swiftsail_controller::settings::{Settings, TeamSettings};
use swiftsail_controller::store::{StoreCall, StoreClient, StoreOutcome};
use swiftsail_protocol::cloud::{ListedMachine, ListedMachineStatus, MachinePage};
use swiftsail_protocol::state::{Mutation, Transaction};
use swiftsail_protocol::workers::{StatusReport, TaskPhase, TaskStatus};

const FENCING_TOKEN: u64 = 40;

struct LeaderBench {
    cluster_state: ClusterState,
    store: StoreClient<CallContext>,
    cloud: CloudClient,
    settings: Arc<Settings>,
    machine_types: Arc<Vec<MachineType>>,
    now: u64,
    revision: u64,
    sequence: u64,
}

macro_rules! ctx {
    ($b:expr) => {
        &mut LeaderContext {
            now: $b.now,
            wall_clock: $b.now,
            settings: &$b.settings,
            store: &mut $b.store,
        }
    };
}

impl LeaderBench {
    fn new() -> LeaderBench {
        let now = simulation::START_MS;
        let kind = |name: &str, cpus: f64, price: f64| MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 0.5,
            price,
            spot_price: price / 3.0,
            boot_ms: 20_000.0,
            zones: vec!["a".into(), "b".into(), "c".into()],
        };
        LeaderBench {
            cluster_state: ClusterState::new(FENCING_TOKEN, 1, now),
            store: StoreClient::new(150.0, 30.0, now),
            cloud: CloudClient::new(4.0, now),
            settings: simulation::controller_settings(0),
            machine_types: Arc::new(vec![kind("s4", 4.0, 0.3), kind("l64", 64.0, 3.3)]),
            now,
            revision: 100,
            sequence: 1,
        }
    }

    /// Delivers a status report and returns the number of commands in its response.
    fn send_report(
        &mut self,
        name: &str,
        machine_type: &str,
        sequence: u64,
        tasks: Vec<TaskStatus>,
    ) -> usize {
        let report = StatusReport {
            machine: name.into(),
            address: "10.0.0.9:1".into(),
            machine_type: machine_type.into(),
            zone: if name.starts_with("m-b") { "b" } else { "a" }.into(),
            spot: false,
            session: 1,
            sequence,
            fencing_token: FENCING_TOKEN,
            reclaim_in_s: None,
            tasks,
        };
        self.cluster_state
            .on_status_report(&report, ReportSource::StatusReport, self.now, &self.machine_types)
            .commands
            .len()
    }

    fn add_machines(&mut self, number: usize, machine_type: &str) {
        for n in 0..number {
            self.send_report(&format!("m-{machine_type}-{n:05}"), machine_type, 1, Vec::new());
        }
    }

    fn submit_job(&mut self, id: &str, spec: JobSpec) {
        let record = JobRecord {
            depends_on: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: self.now,
            chunk_tasks: 80,
            write_number: 0,
            tier: None,
            spec,
        };
        let value = serde_json::to_value(&record).expect("a valid record");
        self.revision += 1;
        self.cluster_state.apply_job_record(
            &keys::job(id),
            &value,
            self.revision,
            self.now,
            self.now,
        );
    }

    /// Runs a mapping round and enqueues its provisioning requests. Returns the number of scores computed.
    fn run_scheduling_cycle(&mut self) -> u64 {
        self.now += ROUND_INTERVAL_MS;
        let policy = CyclePolicy::default();
        let (settings, types) = (&self.settings, &self.machine_types);
        let context = PlanningContext {
            now: self.now,
            wall_now: 0,
            settings,
            machine_types: types,
            policy: &policy,
        };
        let result = controller::run_scheduling_cycle(&mut self.cluster_state, context, true);
        let requests = result.provisioning_requests.unwrap_or_default();
        controller::enqueue_provisioning(
            &mut self.cluster_state,
            &mut self.cloud,
            requests,
            self.now,
        );
        result.scores_computed
    }

    fn run_periodic_work(&mut self) {
        let policy = CyclePolicy::default();
        let (settings, types) = (&self.settings, &self.machine_types);
        let context = PlanningContext {
            now: self.now,
            wall_now: 0,
            settings,
            machine_types: types,
            policy: &policy,
        };
        controller::update_fleet(&mut self.cluster_state, &mut self.cloud, context, true);
        self.cluster_state.stop_commands(usize::MAX, self.now);
    }

    /// Lets every machine report that all tasks bound to it run.
    fn send_heartbeat(&mut self) {
        self.sequence += 1;
        let machines = self.cluster_state.machines.values();
        let reports: Vec<(String, String, Vec<TaskStatus>)> = machines
            .map(|m| {
                let bound = m.tasks.iter().filter(|((job, task), _)| {
                    self.cluster_state.jobs[&**job].attempts[task].phase()
                        != AttemptPhase::Committing
                });
                let tasks = bound.map(|((job, task), attempt)| TaskStatus {
                    task: format!("{job}/{task}"),
                    attempt: *attempt,
                    phase: TaskPhase::Running,
                    exit_cause: None,
                    progress_saved: None,
                });
                (m.id.to_string(), m.machine_type.clone(), tasks.collect())
            })
            .collect();
        for (name, machine_type, tasks) in reports {
            self.send_report(&name, &machine_type, self.sequence, tasks);
        }
    }

    /// Commits everything that waits for the store, and returns the transactions.
    fn commit_pending(&mut self) -> Vec<Transaction> {
        let mut committed = Vec::new();
        for _ in 0..200 {
            self.now += 1_000;
            self.cluster_state.write_binding_log(ctx!(self));
            self.cluster_state.flush_all(ctx!(self));
            let (calls, _) = self.store.take_due_calls(self.now);
            if calls.is_empty() {
                break;
            }
            for (id, call) in calls {
                if let StoreCall::Commit(commit) = &call {
                    committed.push(commit.clone());
                }
                self.revision += 1;
                let Some(end) =
                    self.store.finish(id, StoreOutcome::Committed(self.revision), self.now)
                else {
                    continue;
                };
                match end.context.clone() {
                    CallContext::WriteBindingLog { .. } => {
                        assert!(!self.cluster_state.on_binding_log_written(&end, ctx!(self)))
                    }
                    CallContext::FlushJob { job, .. } => {
                        assert!(!self.cluster_state.on_job_flushed(&job, &end, ctx!(self)));
                    }
                    _ => {}
                }
            }
        }
        committed
    }
}

#[test]
fn scores_per_cycle_do_not_grow_with_machines() {
    let scores = |machines: usize| {
        let mut bench = LeaderBench::new();
        bench.add_machines(machines, "s4");
        for n in 0..40 {
            bench.submit_job(
                &format!("wk-{n}"),
                job_spec(JobKind::Array, 200, 1.0, &format!("i{}", n % 5)),
            );
        }
        (0..3).map(|_| bench.run_scheduling_cycle()).max().unwrap_or(0)
    };
    let few = scores(50);
    assert!(few > 0, "no score was counted");
    for machines in [800, 2_500, 10_000] {
        let many = scores(machines);
        assert!(many <= 3 * few, "{few} scores for 50 machines, {many} for {machines}");
    }
}

#[test]
fn array_of_100_000_tasks_stays_within_store_limits() {
    let mut bench = LeaderBench::new();
    bench.add_machines(1_000, "l64");
    bench.submit_job("wk-large", job_spec(JobKind::Array, 100_000, 1.0, "i"));
    let limits = &bench.settings.settings.state.clone();
    let mut bound = 0;
    for _ in 0..20 {
        bench.send_heartbeat();
        bench.run_scheduling_cycle();
        let job = &bench.cluster_state.jobs["wk-large"];
        let binding =
            job.attempts.values().filter(|a| a.phase() == AttemptPhase::Committing).count();
        assert!(binding <= MAX_CYCLE_BINDINGS + 50, "{binding} bound in one cycle");
        for commit in bench.commit_pending() {
            assert!(commit.mutations.len() <= limits.txn_ops);
            assert!(commit.preconditions.len() <= 4 * limits.txn_ops);
            let size = |c: &Mutation| serde_json::to_string(c).map_or(0, |s| s.len());
            let sizes: Vec<usize> = commit.mutations.iter().map(size).collect();
            let max_size = (limits.value_kb * 1024.0) as usize + 64;
            assert!(sizes.iter().all(|s| *s <= max_size), "a value of {sizes:?}");
            assert!(sizes.iter().sum::<usize>() <= 64 * 1024);
        }
        let job = &bench.cluster_state.jobs["wk-large"];
        bound = job.attempts.values().filter(|a| a.phase() != AttemptPhase::Committing).count();
        assert!(bench.cluster_state.binding_log.len() <= MAX_LOGGED_BINDINGS);
    }
    assert!(
        bound > 4_000,
        "only {bound} tasks bound: chunks did not take over bindings from the log"
    );
}

#[test]
fn bindings_of_many_jobs_share_a_mutation() {
    let mut bench = LeaderBench::new();
    bench.add_machines(100, "s4");
    for n in 0..30 {
        bench.submit_job(&format!("wk-{n}"), job_spec(JobKind::Array, 3, 1.0, "i"));
    }
    bench.run_scheduling_cycle();
    bench.cluster_state.write_binding_log(ctx!(bench));
    let (calls, _) = bench.store.take_due_calls(bench.now);
    let mutations: usize = calls
        .iter()
        .map(|(_, c)| if let StoreCall::Commit(c) = c { c.mutations.len() } else { 0 })
        .sum();
    assert!(mutations <= 2, "{mutations} mutations for 90 bindings of 30 jobs");
}

#[test]
fn provisioning_requests_of_a_burst_are_bounded() {
    let mut bench = LeaderBench::new();
    bench.submit_job("wk-large", job_spec(JobKind::Array, 100_000, 1.0, "i"));
    bench.run_scheduling_cycle();
    bench.run_scheduling_cycle();
    bench.now += 60_000;
    let mut requests: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
    for call in std::iter::from_fn(|| {
        bench.now += 1_000;
        let calls = bench.cloud.take_due_calls(bench.now);
        for _ in &calls {
            bench.cloud.on_outcome(&cloud::CloudOutcome::NoCapacity, bench.now);
        }
        (!calls.is_empty()).then_some(calls)
    })
    .flatten()
    {
        if let cloud::CloudCall::Provision(request) = call {
            assert!(request.count <= MAX_PROVISION_BATCH);
            *requests.entry((request.machine_type, request.zone, request.spot)).or_default() += 1;
        }
    }
    assert!(!requests.is_empty());
    assert!(
        requests.values().all(|n| *n as usize <= MAX_OPEN_PROVISIONING_REQUESTS),
        "{requests:?}"
    );
}

#[test]
fn replicas_migrate_one_at_a_time_where_they_fit() {
    assert_eq!(replicas_migrated(3), 1, "the nearly empty machine is drained");
    // A single replica would be down during its migration, as the worst 30 s of a deployment of single replicas showed.
    assert_eq!(replicas_migrated(1), 0, "a single replica is not migrated");
}

/// Number of replicas that are being migrated once other machines have capacity. Checks that none is before.
fn replicas_migrated(replicas: u32) -> usize {
    let mut bench = LeaderBench::new();
    bench.add_machines(2, "l64");
    bench.submit_job("wk-s", job_spec(JobKind::Service, replicas, 4.0, "i"));
    bench.run_scheduling_cycle();
    bench.commit_pending();
    let machine_of = |bench: &LeaderBench, job: &str, n: u32| {
        bench.cluster_state.jobs[job].attempts[&n].machine().clone()
    };
    let first = machine_of(&bench, "wk-s", 0);
    let other = if &*first == "m-l64-00000" { "m-l64-00001" } else { "m-l64-00000" };
    assert_eq!(
        machine_of(&bench, "wk-s", replicas - 1),
        first,
        "replicas are packed on one machine"
    );
    bench.send_heartbeat();
    bench.submit_job("wk-t", job_spec(JobKind::Service, 1, 61.0, "i"));
    bench.run_scheduling_cycle();
    bench.commit_pending();
    assert_eq!(&*machine_of(&bench, "wk-t", 0), other);
    let stopping = |bench: &LeaderBench| {
        let jobs = bench.cluster_state.jobs.values();
        jobs.flat_map(|j| j.attempts.values()).filter(|a| a.stop_requested).count()
    };
    let step = |bench: &mut LeaderBench| {
        bench.now += 5_000;
        bench.send_heartbeat();
        bench.run_periodic_work();
    };
    // The other machine is full: nothing fits there, however much this one costs.
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopping(&bench), 0);
    }
    // A third machine has replicas and free resources: now replicas migrate, one by one.
    bench.send_report("m-b-00007", "l64", bench.sequence, Vec::new());
    bench.submit_job(
        "wk-u",
        JobSpec { zone: Some("b".into()), ..job_spec(JobKind::Service, 8, 6.0, "i") },
    );
    bench.run_scheduling_cycle();
    bench.commit_pending();
    assert_eq!(&*machine_of(&bench, "wk-u", 7), "m-b-00007");
    bench.send_heartbeat();
    bench.submit_job("wk-v", job_spec(JobKind::Service, 1, 1.0, "i"));
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopping(&bench), 0, "nothing migrates while a service waits");
    }
    bench.run_scheduling_cycle();
    bench.commit_pending();
    for _ in 0..20 {
        step(&mut bench);
        assert!(stopping(&bench) <= 1, "one replica at a time");
    }
    stopping(&bench)
}

/// A new leader read an outdated list with a hundred machines that its predecessor had terminated. It took them for booting
/// machines and provisioned nothing for 75 s while work waited.
#[test]
fn terminated_machines_in_old_list_do_not_block_provisioning() {
    let mut bench = LeaderBench::new();
    let listed = |n: usize| ListedMachine {
        name: format!("m-{n:05}"),
        address: "10.0.0.9:1".into(),
        machine_type: "s4".into(),
        zone: "a".into(),
        spot: false,
        status: ListedMachineStatus::Running,
        age_s: 300.0,
    };
    let page = MachinePage { machines: (0..100).map(listed).collect(), has_next: false };
    bench.cluster_state.apply_machine_list(&page, bench.now);
    bench.submit_job("wk-1", job_spec(JobKind::Array, 200, 1.0, "i"));
    bench.run_scheduling_cycle();
    assert!(
        bench.cluster_state.provisioning.open_requests().next().is_none(),
        "provisioned while workers may still look for the new leader"
    );
    bench.now += REGISTRATION_GRACE_MS;
    bench.run_scheduling_cycle();
    assert!(
        bench.cluster_state.provisioning.open_requests().next().is_some(),
        "nothing provisioned although no listed machine reported"
    );
}

/// An unchanged report only says that everything goes on as in the last full report. While bindings, stops or exits on a
/// machine are not yet seen in a full report, an unchanged one must be rejected: it proves nothing about them.
#[test]
fn unchanged_reports_are_rejected_while_tasks_change() {
    let mut bench = LeaderBench::new();
    bench.add_machines(1, "l64");
    bench.submit_job("wk-1", job_spec(JobKind::Array, 2, 1.0, "i"));
    let id = "m-l64-00000";
    let set_digest = |bench: &mut LeaderBench, digest: u64| {
        bench.cluster_state.machines.get_mut(id).expect("a known machine").report_digest =
            Some(digest);
    };
    let accepts = |bench: &mut LeaderBench, sequence: u64, digest: u64| {
        bench.now += 1_000;
        let now = bench.now;
        bench.cluster_state.on_unchanged_report(
            id,
            MessageOrder { session: 1, sequence },
            digest,
            now,
        )
    };
    assert!(!accepts(&mut bench, 10, 7), "no full report was forwarded yet");
    set_digest(&mut bench, 7);
    assert!(accepts(&mut bench, 11, 7));
    assert_eq!(bench.cluster_state.machines[id].last_contact_at, Some(bench.now));
    assert!(!accepts(&mut bench, 12, 8), "another digest");
    assert!(
        !bench.cluster_state.on_unchanged_report(
            "m-none",
            MessageOrder { session: 1, sequence: 1 },
            7,
            bench.now
        ),
        "an unknown machine"
    );
    assert!(
        !bench.cluster_state.on_unchanged_report(
            id,
            MessageOrder { session: 2, sequence: 13 },
            7,
            bench.now
        ),
        "another session"
    );
    bench.sequence = 20;
    bench.run_scheduling_cycle();
    assert!(!accepts(&mut bench, 21, 7), "a binding is being committed, its start must be sent");
    bench.commit_pending();
    assert!(!accepts(&mut bench, 22, 7), "bound, and not reported yet");
    bench.sequence = 30;
    bench.send_heartbeat();
    set_digest(&mut bench, 9);
    assert!(accepts(&mut bench, 40, 9), "both tasks run, and were reported");
    assert!(accepts(&mut bench, 39, 9), "an older report changes nothing");
    assert_eq!(
        bench.cluster_state.machines[id].last_message,
        MessageOrder { session: 1, sequence: 40 }
    );
    bench.cluster_state.request_stop(&"wk-1".into(), 0);
    assert!(!accepts(&mut bench, 41, 9), "the stop must be repeated until the task is gone");
}

/// Stops that no worker answers are repeated only after every other stop was sent. With a bound on the stops of a tick,
/// the repetitions for the first job left the later ones running after their cancellation.
#[test]
fn unanswered_stops_do_not_delay_the_stops_of_other_jobs() {
    const MAX_STOPS: usize = 3;
    const TICK_MS: u64 = 100;
    let mut bench = LeaderBench::new();
    bench.add_machines(4, "l64");
    for (id, tasks) in [("wk-a", 100), ("wk-b", 2)] {
        bench.submit_job(id, job_spec(JobKind::Service, tasks, 1.0, "i"));
    }
    bench.run_scheduling_cycle();
    bench.commit_pending();
    bench.send_heartbeat();
    for id in ["wk-a", "wk-b"] {
        bench.cluster_state.on_remote_cancellation(&id.into(), bench.now, bench.now, bench.now);
    }
    let ticks = 102usize.div_ceil(MAX_STOPS);
    let mut stopped = std::collections::BTreeSet::new();
    for _ in 0..ticks {
        bench.now += TICK_MS;
        let messages = bench.cluster_state.stop_commands(MAX_STOPS, bench.now);
        let commands = messages.into_iter().flat_map(|(_, message)| message.commands);
        stopped.extend(commands.map(|command| command.task));
    }
    assert_eq!(stopped.len(), 102, "each task is told to stop before any is told again");
}

/// A report is answered with the stops of all cancelled tasks on its machine, whatever the bound on direct commands.
#[test]
fn response_carries_the_stops_that_no_direct_command_carried_yet() {
    let mut bench = LeaderBench::new();
    bench.add_machines(1, "l64");
    bench.submit_job("wk-a", job_spec(JobKind::Service, 20, 1.0, "i"));
    bench.run_scheduling_cycle();
    bench.commit_pending();
    bench.send_heartbeat();
    bench.cluster_state.on_remote_cancellation(&"wk-a".into(), bench.now, bench.now, bench.now);
    bench.cluster_state.stop_commands(1, bench.now);
    let (id, machine) = bench.cluster_state.machines.iter().next().expect("a machine");
    let tasks = machine.tasks.iter().map(|((job, task), attempt)| TaskStatus {
        task: format!("{job}/{task}"),
        attempt: *attempt,
        phase: TaskPhase::Running,
        exit_cause: None,
        progress_saved: None,
    });
    let (id, tasks) = (id.to_string(), tasks.collect());
    assert_eq!(bench.send_report(&id, "l64", 50, tasks), 20);
}

/// Work that the bound on attempts keeps waiting gets no machines: they would stand idle.
#[test]
fn nothing_is_provisioned_for_tasks_beyond_the_bound_on_attempts() {
    const MAX_ATTEMPTS: usize = 100;
    let mut bench = LeaderBench::new();
    bench.add_machines(2, "l64");
    bench.submit_job("wk-a", job_spec(JobKind::Array, 3_000, 0.5, "i"));
    let mut policy = CyclePolicy::default();
    policy.bounds.max_attempts = MAX_ATTEMPTS;
    bench.now += ROUND_INTERVAL_MS;
    let context = PlanningContext {
        now: bench.now,
        wall_now: 0,
        settings: &bench.settings,
        machine_types: &bench.machine_types,
        policy: &policy,
    };
    let first = controller::run_scheduling_cycle(&mut bench.cluster_state, context, true);
    assert!(first.bound > 0 && first.bound <= MAX_ATTEMPTS, "{} bound", first.bound);
    let second = controller::run_scheduling_cycle(&mut bench.cluster_state, context, true);
    assert_eq!(second.bound, 0);
    let requests = second.provisioning_requests.expect("it was a mapping round");
    assert!(requests.is_empty(), "{requests:?}");
}

/// A forwarded report that has not changed takes a few bytes, whatever runs on the machine.
#[test]
fn forwarded_unchanged_reports_are_small() {
    use swiftsail_protocol::controllers::{ForwardedReport, ForwardedReports};
    let unchanged = |n: u64| ForwardedReport::Unchanged {
        machine: format!("m-{n:06}"),
        session: 1,
        sequence: 1_000 + n,
        content_hash: u64::MAX >> 1,
    };
    let size = |reports: Vec<ForwardedReport>| {
        swiftsail_protocol::encode(&ForwardedReports {
            controller: "berth-0".into(),
            reports,
            locally_answered: Vec::new(),
        })
        .len()
    };
    let each = (size((0..65).map(unchanged).collect()) - size(vec![unchanged(0)])) / 64;
    assert!(each <= 60, "{each} bytes for a machine");
    let task_status = |n: u32| TaskStatus {
        task: format!("wk-000412/{n}"),
        attempt: u64::MAX >> 1,
        phase: TaskPhase::Running,
        exit_cause: None,
        progress_saved: None,
    };
    let report = StatusReport {
        machine: "m-000231".into(),
        address: "10.100.100.232:9000".into(),
        machine_type: "reef-medium".into(),
        zone: "lautoka-shed".into(),
        spot: true,
        session: 100,
        sequence: 100_000,
        fencing_token: 1 << 40,
        reclaim_in_s: None,
        tasks: (0..64).map(task_status).collect(),
    };
    let full_size =
        size(vec![ForwardedReport::Full { report: Box::new(report), content_hash: u64::MAX >> 1 }]);
    // The sizes of forwarding messages are estimated with these constants, which must not be too low.
    assert!(full_size <= REPORT_BYTES + 64 * TASK_STATUS_BYTES, "{full_size} bytes");
}

/// Teams at their limit make a cycle cheaper, however many teams there are: each of their jobs is visited once, and only
/// jobs with an allocation evaluate targets.
#[test]
fn cycle_cost_does_not_grow_with_teams_at_limit() {
    let cost = |teams: usize, total_cpus: f64| {
        let mut bench = LeaderBench::new();
        let mut settings = Settings::clone(&bench.settings);
        let team = |n: usize| TeamSettings {
            name: format!("team-{n}"),
            cpus: 2.0,
            cpus_max: total_cpus / teams as f64,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        settings.settings.teams = (0..teams).map(team).collect();
        bench.settings = Arc::new(settings);
        bench.add_machines(300, "s4");
        for n in 0..200 {
            let spec = job_spec(JobKind::Array, 60, 1.0, &format!("i{}", n % 9));
            let spec = JobSpec { team: format!("team-{}", n % teams), ..spec };
            bench.submit_job(&format!("wk-{n}"), spec);
        }
        let policy = CyclePolicy::default();
        bench.now += ROUND_INTERVAL_MS;
        let (settings, types) = (bench.settings.clone(), bench.machine_types.clone());
        let context = PlanningContext {
            now: bench.now,
            wall_now: 0,
            settings: &settings,
            machine_types: &types,
            policy: &policy,
        };
        let result = controller::run_scheduling_cycle(&mut bench.cluster_state, context, true);
        (result.bound, result.targets_evaluated)
    };
    let (unlimited, few, many) = (cost(100, 0.0), cost(12, 1_200.0), cost(100, 1_200.0));
    assert!(
        [unlimited, few, many].iter().all(|c| c.0 == MAX_CYCLE_BINDINGS),
        "{unlimited:?} {few:?} {many:?}"
    );
    assert!(few.1 < unlimited.1 / 2 && many.1 < unlimited.1, "{unlimited:?} {few:?} {many:?}");
}
