//! Measures the CPU time of a scheduling cycle with 0, 1 and 10 plug-ins at 800 machines:
//! `cargo run --release --example pass_cost`. The results are recorded in docs/plugins.md.

use std::time::Instant;
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::controller::{self, Now, PolicyContext};
use swiftsail_controller::cycle_policy::CyclePolicy;
use swiftsail_controller::job::{JobKind, JobRecord, keys};
use swiftsail_controller::machine::MachineType;
use swiftsail_controller::placement::PlanningContext;
use swiftsail_policy::plugin::{PluginKind, PluginRecord, PluginState, source_hash};
use swiftsail_policy::plugin_host::PluginHost;
use swiftsail_policy::scheduling_policy::SchedulingPolicy;
use swiftsail_protocol::workers::{StatusReport, TaskPhase, TaskStatus};
use swiftsail_simulation::simulation::{START_MS, controller_settings, job_spec, machine_offers};

const MACHINES: usize = 800;
const JOBS: usize = 190;
const CYCLES: u32 = 20;
const TOKEN: u64 = 40;

fn loaded_cluster_state(types: &[MachineType]) -> ClusterState {
    let mut cluster_state = ClusterState::new(TOKEN, 1, START_MS);
    for n in 0..JOBS {
        let record = JobRecord {
            depends_on: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: START_MS,
            chunk_tasks: 80,
            write_number: 0,
            tier: None,
            spec: job_spec(JobKind::Array, 60, 1.0, &format!("i{}", n % 9)),
        };
        let value = serde_json::to_value(&record).expect("our own record");
        cluster_state.apply_job_record(
            &keys::job(&format!("wk-{n}")),
            &value,
            n as u64 + 1,
            START_MS,
            START_MS,
        );
    }
    report_all_machines(&mut cluster_state, types, 1, START_MS);
    cluster_state
}

/// Lets every machine report that all tasks bound to it run.
fn report_all_machines(
    cluster_state: &mut ClusterState,
    types: &[MachineType],
    sequence: u64,
    now: u64,
) {
    for n in 0..MACHINES {
        let name = format!("m-{n:06}");
        let tasks =
            cluster_state.machines.get(name.as_str()).map(|m| m.tasks.clone()).unwrap_or_default();
        let reports = tasks.iter().map(|((job, task), attempt)| TaskStatus {
            task: format!("{job}/{task}"),
            attempt: *attempt,
            phase: TaskPhase::Running,
            exit_cause: None,
            progress_saved: None,
        });
        let report = StatusReport {
            machine: name,
            address: "127.0.0.1:1".into(),
            machine_type: "m8".into(),
            zone: ["a", "b", "c"][n % 3].into(),
            spot: n % 2 == 0,
            session: 1,
            sequence,
            fencing_token: TOKEN,
            reclaim_in_s: None,
            tasks: reports.collect(),
        };
        cluster_state.on_status_report(&report, ReportSource::StatusReport, now, types);
    }
}

fn host(number: usize) -> PluginHost {
    let source = include_str!("plugins/night-batches.rhai");
    let mut host = PluginHost::default();
    let hooks = host.validate_source(PluginKind::Decision, source).expect("the example is valid");
    let plugins = (0..number).map(|n| {
        let record = PluginRecord {
            name: format!("p{n}"),
            kind: PluginKind::Decision,
            state: PluginState::Active,
            version: 1,
            hash: source_hash(source),
            precedence: 100,
            chunks: 1,
            hooks: hooks.clone(),
            reason: None,
            changed_wall: 0,
        };
        (record, source.to_string())
    });
    host.install(plugins.collect());
    host
}

/// Resident memory of this process, KB.
fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

#[expect(clippy::too_many_lines, reason = "not split yet")]
fn main() {
    let types: Vec<MachineType> =
        machine_offers(6).iter().map(|o| MachineType::from(&o.machine_type)).collect();
    let settings = controller_settings(0);
    println!("plug-ins  policy, ms  cycle, ms  calls/cycle  operations/cycle  plug-in memory, KB");
    // Most plug-ins first: memory that a later host uses may have been freed by an earlier one.
    for number in [10, 1, 0] {
        let before_kb = memory_kb();
        let mut host = host(number);
        let plugin_memory_kb = memory_kb().saturating_sub(before_kb);
        let mut cluster_state = loaded_cluster_state(&types);
        let (mut policy, mut cycle_policy) = (SchedulingPolicy::default(), CyclePolicy::default());
        let (mut policy_s, mut cycle_s, mut now) = (0.0, 0.0, START_MS);
        let (mut targets, mut scores) = (0, 0);
        for n in 0..CYCLES {
            now += 2_000;
            report_all_machines(&mut cluster_state, &types, u64::from(n) + 2, now);
            let started = Instant::now();
            let teams = &settings.settings.teams;
            let at = Now { monotonic: now, wall_clock: now };
            let policy_context = PolicyContext {
                policy: &mut policy,
                plugin_host: &mut host,
                teams,
                machine_types: &types,
                now: at,
            };
            controller::evaluate_job_policies(
                &cluster_state,
                policy_context,
                &mut cycle_policy,
                true,
            );
            policy_s += started.elapsed().as_secs_f64();
            let started = Instant::now();
            let planning_context = PlanningContext {
                now,
                wall_now: 0,
                settings: &settings,
                machine_types: &types,
                policy: &cycle_policy,
            };
            let cycle =
                controller::run_scheduling_cycle(&mut cluster_state, planning_context, true);
            cycle_s += started.elapsed().as_secs_f64();
            host.end_cycle(cycle.scores_computed);
            targets += cycle.targets_evaluated;
            scores += cycle.scores_computed;
        }
        let statuses = host.statuses();
        let calls: u64 = statuses.iter().map(|p| p.calls).sum();
        let ops: u64 = statuses.iter().map(|p| p.ops).sum();
        let cycles = f64::from(CYCLES);
        println!(
            "{number:8}  {:10.2}  {:9.2}  {:11.0}  {:16.0}  {:18}",
            policy_s / cycles * 1e3,
            cycle_s / cycles * 1e3,
            calls as f64 / cycles,
            ops as f64 / cycles,
            plugin_memory_kb
        );
        println!(
            "          a cycle evaluates {} placement targets and computes {} scores",
            targets / u64::from(CYCLES),
            scores / u64::from(CYCLES)
        );
        for plugin in statuses.iter().filter(|p| p.record.state != PluginState::Active) {
            println!(
                "          {} is {:?}: {:?}",
                plugin.record.name, plugin.record.state, plugin.record.reason
            );
        }
    }
}
