//! What a pass costs with 0, 1 and 10 plug-ins at 800 machines, on this machine's processor:
//! `cargo run --release --example pass_cost`. Figures go into docs/plugins.md.

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
const PASSES: u32 = 20;
const TOKEN: u64 = 40;

fn tables(types: &[MachineType]) -> ClusterState {
    let mut tables = ClusterState::new(TOKEN, 1, START_MS);
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
        tables.apply_job_record(
            &keys::job(&format!("wk-{n}")),
            &value,
            n as u64 + 1,
            START_MS,
            START_MS,
        );
    }
    report(&mut tables, types, 1, START_MS);
    tables
}

/// Every machine reports that what is bound to it runs.
fn report(tables: &mut ClusterState, types: &[MachineType], tick: u64, now: u64) {
    for n in 0..MACHINES {
        let name = format!("m-{n:06}");
        let held = tables.machines.get(name.as_str()).map(|m| m.tasks.clone()).unwrap_or_default();
        let shards = held.iter().map(|((job, task), launch)| TaskStatus {
            task: format!("{job}/{task}"),
            attempt: *launch,
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
            sequence: tick,
            fencing_token: TOKEN,
            reclaim_in_s: None,
            tasks: shards.collect(),
        };
        tables.on_status_report(&report, ReportSource::StatusReport, now, types);
    }
}

fn host(number: usize) -> PluginHost {
    let source = include_str!("plugins/night-batches.rhai");
    let mut host = PluginHost::default();
    let hooks = host.validate_source(PluginKind::Decision, source).expect("the example is sound");
    let set = (0..number).map(|n| {
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
    host.install(set.collect());
    host
}

/// Memory of this process, KB.
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
    println!(
        "plug-ins  asking, ms  pass, ms  calls a pass  operations a pass  plug-ins' memory, KB"
    );
    // The largest first: what a later one takes may have been given back by an earlier.
    for number in [10, 1, 0] {
        let before = memory_kb();
        let mut host = host(number);
        let held = memory_kb().saturating_sub(before);
        let mut tables = tables(&types);
        let (mut policy, mut steering) = (SchedulingPolicy::default(), CyclePolicy::default());
        let (mut asking_s, mut pass_s, mut now) = (0.0, 0.0, START_MS);
        let (mut looked, mut scored) = (0, 0);
        for n in 0..PASSES {
            now += 2_000;
            report(&mut tables, &types, u64::from(n) + 2, now);
            let begin = Instant::now();
            let teams = &settings.settings.teams;
            let at = Now { monotonic: now, wall_clock: now };
            let asking = PolicyContext {
                policy: &mut policy,
                plugin_host: &mut host,
                teams,
                machine_types: &types,
                now: at,
            };
            controller::evaluate_job_policies(&tables, asking, &mut steering, true);
            asking_s += begin.elapsed().as_secs_f64();
            let begin = Instant::now();
            let view = PlanningContext {
                now,
                wall_now: 0,
                settings: &settings,
                machine_types: &types,
                policy: &steering,
            };
            let passed = controller::run_scheduling_cycle(&mut tables, view, true);
            pass_s += begin.elapsed().as_secs_f64();
            host.end_cycle(passed.scores_computed);
            looked += passed.targets_evaluated;
            scored += passed.scores_computed;
        }
        let shown = host.statuses();
        let calls: u64 = shown.iter().map(|p| p.calls).sum();
        let ops: u64 = shown.iter().map(|p| p.ops).sum();
        let passes = f64::from(PASSES);
        println!(
            "{number:8}  {:10.2}  {:8.2}  {:12.0}  {:17.0}  {:10}",
            asking_s / passes * 1e3,
            pass_s / passes * 1e3,
            calls as f64 / passes,
            ops as f64 / passes,
            held
        );
        println!(
            "          a pass looks at {} places and computes {} scores",
            looked / u64::from(PASSES),
            scored / u64::from(PASSES)
        );
        for plugin in shown.iter().filter(|p| p.record.state != PluginState::Active) {
            println!(
                "          {} is {:?}: {:?}",
                plugin.record.name, plugin.record.state, plugin.record.reason
            );
        }
    }
}
