//! What a leader with a thousand machines and a hundred thousand tasks does, counted in work items
//! and bytes: never in time.

use swiftsail_simulation::simulation::{self as standin, job_spec};

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
        let now = standin::START_MS;
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
            settings: standin::controller_settings(0),
            machine_types: Arc::new(vec![kind("s4", 4.0, 0.3), kind("l64", 64.0, 3.3)]),
            now,
            revision: 100,
            sequence: 1,
        }
    }

    fn send_report(&mut self, name: &str, hull: &str, tick: u64, shards: Vec<TaskStatus>) -> usize {
        let report = StatusReport {
            machine: name.into(),
            address: "10.0.0.9:1".into(),
            machine_type: hull.into(),
            zone: if name.starts_with("m-b") { "b" } else { "a" }.into(),
            spot: false,
            session: 1,
            sequence: tick,
            fencing_token: FENCING_TOKEN,
            reclaim_in_s: None,
            tasks: shards,
        };
        self.cluster_state
            .on_status_report(&report, ReportSource::StatusReport, self.now, &self.machine_types)
            .commands
            .len()
    }

    fn add_machines(&mut self, number: usize, hull: &str) {
        for n in 0..number {
            self.send_report(&format!("m-{hull}-{n:05}"), hull, 1, Vec::new());
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
        let value = serde_json::to_value(&record).expect("our own record");
        self.revision += 1;
        self.cluster_state.apply_job_record(
            &keys::job(id),
            &value,
            self.revision,
            self.now,
            self.now,
        );
    }

    fn run_scheduling_cycle(&mut self) -> u64 {
        self.now += ROUND_INTERVAL_MS;
        let steering = CyclePolicy::default();
        let (settings, types) = (&self.settings, &self.machine_types);
        let view = PlanningContext {
            now: self.now,
            wall_now: 0,
            settings,
            machine_types: types,
            policy: &steering,
        };
        let passed = controller::run_scheduling_cycle(&mut self.cluster_state, view, true);
        let wishes = passed.provisioning_requests.unwrap_or_default();
        controller::enqueue_provisioning(
            &mut self.cluster_state,
            &mut self.cloud,
            wishes,
            self.now,
        );
        passed.scores_computed
    }

    fn run_periodic_work(&mut self) {
        let steering = CyclePolicy::default();
        let (settings, types) = (&self.settings, &self.machine_types);
        let view = PlanningContext {
            now: self.now,
            wall_now: 0,
            settings,
            machine_types: types,
            policy: &steering,
        };
        controller::update_fleet(&mut self.cluster_state, &mut self.cloud, view, true);
        self.cluster_state.stop_commands(self.now);
    }

    /// Every machine reports that all bound to it runs.
    fn send_heartbeat(&mut self) {
        self.sequence += 1;
        let machines = self.cluster_state.machines.values();
        let held: Vec<(String, String, Vec<TaskStatus>)> = machines
            .map(|m| {
                let bound = m.tasks.iter().filter(|((job, task), _)| {
                    self.cluster_state.jobs[job].attempts[task].phase() != AttemptPhase::Committing
                });
                let shards = bound.map(|((job, task), launch)| TaskStatus {
                    task: format!("{job}/{task}"),
                    attempt: *launch,
                    phase: TaskPhase::Running,
                    exit_cause: None,
                    progress_saved: None,
                });
                (m.id.to_string(), m.machine_type.clone(), shards.collect())
            })
            .collect();
        for (name, hull, shards) in held {
            self.send_report(&name, &hull, self.sequence, shards);
        }
    }

    /// Lets everything that waits for the store be committed, and gives it.
    fn commit_pending(&mut self) -> Vec<Transaction> {
        let mut seen = Vec::new();
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
                    seen.push(commit.clone());
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
        seen
    }
}

#[test]
fn a_pass_does_not_score_each_machine_for_each_job() {
    let scored = |machines: usize| {
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
    let few = scored(50);
    assert!(few > 0, "the work is counted");
    for machines in [800, 2_500, 10_000] {
        let many = scored(machines);
        assert!(many <= 3 * few, "{few} scores for 50 machines, {many} for {machines}");
    }
}

#[test]
fn a_hundred_thousand_tasks_stay_within_the_limits_of_the_store() {
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
        assert!(binding <= MAX_CYCLE_BINDINGS + 50, "{binding} bound in one pass");
        for commit in bench.commit_pending() {
            assert!(commit.mutations.len() <= limits.txn_ops);
            assert!(commit.preconditions.len() <= 4 * limits.txn_ops);
            let size = |c: &Mutation| serde_json::to_string(c).map_or(0, |s| s.len());
            let sizes: Vec<usize> = commit.mutations.iter().map(size).collect();
            let most = (limits.value_kb * 1024.0) as usize + 64;
            assert!(sizes.iter().all(|s| *s <= most), "a value of {sizes:?}");
            assert!(sizes.iter().sum::<usize>() <= 64 * 1024);
        }
        let job = &bench.cluster_state.jobs["wk-large"];
        bound = job.attempts.values().filter(|a| a.phase() != AttemptPhase::Committing).count();
        assert!(bench.cluster_state.binding_log.len() <= MAX_LOGGED_BINDINGS);
    }
    assert!(bound > 4_000, "{bound} tasks bound: chunks take over what the ledger held");
}

#[test]
fn bindings_of_many_jobs_are_one_change() {
    let mut bench = LeaderBench::new();
    bench.add_machines(100, "s4");
    for n in 0..30 {
        bench.submit_job(&format!("wk-{n}"), job_spec(JobKind::Array, 3, 1.0, "i"));
    }
    bench.run_scheduling_cycle();
    bench.cluster_state.write_binding_log(ctx!(bench));
    let (calls, _) = bench.store.take_due_calls(bench.now);
    let changes: usize = calls
        .iter()
        .map(|(_, c)| if let StoreCall::Commit(c) = c { c.mutations.len() } else { 0 })
        .sum();
    assert!(changes <= 2, "{changes} changes for 90 bindings of 30 jobs");
}

#[test]
fn a_burst_asks_each_market_once_and_for_no_more_than_a_request_holds() {
    let mut bench = LeaderBench::new();
    bench.submit_job("wk-large", job_spec(JobKind::Array, 100_000, 1.0, "i"));
    bench.run_scheduling_cycle();
    bench.run_scheduling_cycle();
    bench.now += 60_000;
    let mut asked: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
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
        if let cloud::CloudCall::Provision(rent) = call {
            assert!(rent.count <= MAX_PROVISION_BATCH);
            *asked.entry((rent.machine_type, rent.zone, rent.spot)).or_default() += 1;
        }
    }
    assert!(!asked.is_empty());
    assert!(asked.values().all(|n| *n as usize <= MAX_OPEN_PROVISIONING_REQUESTS), "{asked:?}");
}

#[test]
fn replicas_move_one_at_a_time_and_only_where_they_fit() {
    assert_eq!(replicas_migrated(3), 1, "the machine that is nearly empty is emptied");
    // Moved, it would be down: the worst 30 s of a deployment of single replicas showed it.
    assert_eq!(replicas_migrated(1), 0, "a single replica stays");
}

/// Replicas being moved once there is room elsewhere; before, none may be.
fn replicas_migrated(replicas: u32) -> usize {
    let mut bench = LeaderBench::new();
    bench.add_machines(2, "l64");
    bench.submit_job("wk-s", job_spec(JobKind::Service, replicas, 4.0, "i"));
    bench.run_scheduling_cycle();
    bench.commit_pending();
    let at = |bench: &LeaderBench, job: &str, n: u32| {
        bench.cluster_state.jobs[job].attempts[&n].machine.clone()
    };
    let first = at(&bench, "wk-s", 0);
    let other = if &*first == "m-l64-00000" { "m-l64-00001" } else { "m-l64-00000" };
    assert_eq!(at(&bench, "wk-s", replicas - 1), first, "replicas gather on one machine");
    bench.send_heartbeat();
    bench.submit_job("wk-t", job_spec(JobKind::Service, 1, 61.0, "i"));
    bench.run_scheduling_cycle();
    bench.commit_pending();
    assert_eq!(&*at(&bench, "wk-t", 0), other);
    let stopped = |bench: &LeaderBench| {
        let jobs = bench.cluster_state.jobs.values();
        jobs.flat_map(|j| j.attempts.values()).filter(|a| a.stop_requested.is_some()).count()
    };
    let step = |bench: &mut LeaderBench| {
        bench.now += 5_000;
        bench.send_heartbeat();
        bench.run_periodic_work();
    };
    // The other is full: nothing fits there, however costly this one is.
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopped(&bench), 0);
    }
    // A third machine with replicas and room: now they move, one by one.
    bench.send_report("m-b-00007", "l64", bench.sequence, Vec::new());
    bench.submit_job(
        "wk-u",
        JobSpec { zone: Some("b".into()), ..job_spec(JobKind::Service, 8, 6.0, "i") },
    );
    bench.run_scheduling_cycle();
    bench.commit_pending();
    assert_eq!(&*at(&bench, "wk-u", 7), "m-b-00007");
    bench.send_heartbeat();
    bench.submit_job("wk-v", job_spec(JobKind::Service, 1, 1.0, "i"));
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopped(&bench), 0, "a service waits: nothing moves");
    }
    bench.run_scheduling_cycle();
    bench.commit_pending();
    for _ in 0..20 {
        step(&mut bench);
        assert!(stopped(&bench) <= 1, "one replica at a time");
    }
    stopped(&bench)
}

/// Incident: a new leader read a hundred machines in an old list that its predecessor had returned,
/// took them for machines about to come up, and rented nothing for 75 s while work waited.
#[test]
fn machines_that_only_an_old_list_knows_do_not_keep_from_renting() {
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
        "workers still look for the new leader"
    );
    bench.now += REGISTRATION_GRACE_MS;
    bench.run_scheduling_cycle();
    assert!(
        bench.cluster_state.provisioning.open_requests().next().is_some(),
        "none of them was heard"
    );
}

/// A report that shows the same as the last tells only that all goes on. Whatever is bound, stopped or
/// ended there must be seen whole: a proof taken from such a report would be one of nothing.
#[test]
fn only_a_machine_on_which_nothing_changes_may_show_the_same() {
    let mut bench = LeaderBench::new();
    bench.add_machines(1, "l64");
    bench.submit_job("wk-1", job_spec(JobKind::Array, 2, 1.0, "i"));
    let id = "m-l64-00000";
    let know = |bench: &mut LeaderBench, shown: u64| {
        bench.cluster_state.machines.get_mut(id).expect("it is known").report_digest = Some(shown);
    };
    let same = |bench: &mut LeaderBench, tick: u64, shown: u64| {
        bench.now += 1_000;
        let now = bench.now;
        bench.cluster_state.on_unchanged_report(
            id,
            MessageOrder { session: 1, sequence: tick },
            shown,
            now,
        )
    };
    assert!(!same(&mut bench, 10, 7), "nothing was shown whole through another controller");
    know(&mut bench, 7);
    assert!(same(&mut bench, 11, 7));
    assert_eq!(bench.cluster_state.machines[id].last_contact_at, Some(bench.now));
    assert!(!same(&mut bench, 12, 8), "it shows something else");
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
    assert!(!same(&mut bench, 21, 7), "a binding is being committed: its start must be offered");
    bench.commit_pending();
    assert!(!same(&mut bench, 22, 7), "bound, and not seen yet");
    bench.sequence = 30;
    bench.send_heartbeat();
    know(&mut bench, 9);
    assert!(same(&mut bench, 40, 9), "both run, and were seen");
    assert!(same(&mut bench, 39, 9), "an older one is no news");
    assert_eq!(
        bench.cluster_state.machines[id].last_message,
        MessageOrder { session: 1, sequence: 40 }
    );
    let now = bench.now;
    bench.cluster_state.request_stop(&"wk-1".into(), 0, now);
    assert!(!same(&mut bench, 41, 9), "its stop must be repeated until it is gone");
}

/// The cost of a shared worker's report: what does not change is a few bytes, whatever runs there.
#[test]
fn an_unchanged_report_passed_on_is_small() {
    use swiftsail_protocol::controllers::{ForwardedReport, ForwardedReports};
    let same = |n: u64| ForwardedReport::Unchanged {
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
    let each = (size((0..65).map(same).collect()) - size(vec![same(0)])) / 64;
    assert!(each <= 60, "{each} bytes for a machine, with 16 tasks or none");
    let shard = |n: u32| TaskStatus {
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
        tasks: (0..64).map(shard).collect(),
    };
    let whole =
        size(vec![ForwardedReport::Full { report: Box::new(report), content_hash: u64::MAX >> 1 }]);
    // What a message may hold is counted with these, never too low.
    assert!(whole <= REPORT_BYTES + 64 * TASK_STATUS_BYTES, "{whole} bytes");
}

/// Teams at their limit make a pass cheaper, however many they are: each job is looked at once for it, and only
/// those that get something look at places.
#[test]
fn many_teams_at_their_limit_cost_no_more_than_few() {
    let cost = |teams: usize, most: f64| {
        let mut bench = LeaderBench::new();
        let mut settings = Settings::clone(&bench.settings);
        let team = |n: usize| TeamSettings {
            name: format!("team-{n}"),
            cpus: 2.0,
            cpus_max: most / teams as f64,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        settings.settings.teams = (0..teams).map(team).collect();
        bench.settings = Arc::new(settings);
        bench.add_machines(300, "s4");
        for n in 0..200 {
            let each = job_spec(JobKind::Array, 60, 1.0, &format!("i{}", n % 9));
            let each = JobSpec { team: format!("team-{}", n % teams), ..each };
            bench.submit_job(&format!("wk-{n}"), each);
        }
        let steering = CyclePolicy::default();
        bench.now += ROUND_INTERVAL_MS;
        let (settings, types) = (bench.settings.clone(), bench.machine_types.clone());
        let view = PlanningContext {
            now: bench.now,
            wall_now: 0,
            settings: &settings,
            machine_types: &types,
            policy: &steering,
        };
        let passed = controller::run_scheduling_cycle(&mut bench.cluster_state, view, true);
        (passed.bound, passed.targets_evaluated)
    };
    let (free, few, many) = (cost(100, 0.0), cost(12, 1_200.0), cost(100, 1_200.0));
    assert!(
        [free, few, many].iter().all(|c| c.0 == MAX_CYCLE_BINDINGS),
        "{free:?} {few:?} {many:?}"
    );
    assert!(few.1 < free.1 / 2 && many.1 < free.1, "{free:?} {few:?} {many:?}");
}
