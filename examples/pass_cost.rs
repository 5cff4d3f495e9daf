//! What a pass costs with 0, 1 and 10 plug-ins at 800 machines, on this machine's processor:
//! `cargo run --release --example pass_cost`. Figures go into docs/plugins.md.

use std::time::Instant;
use swiftsail_controller::job::{JobRecord, Kind, keys};
use swiftsail_controller::machine::MachineType;
use swiftsail_controller::node::{self, Asking, Now};
use swiftsail_controller::placement::View;
use swiftsail_controller::steering::Steering;
use swiftsail_controller::tables::{Source, Tables};
use swiftsail_policy::host::Host;
use swiftsail_policy::plugin::{Kind as PluginKind, PluginRecord, State, hash};
use swiftsail_policy::policy::Policy;
use swiftsail_simulation::world::{BEGIN, offered, settings, spec};
use swiftsail_protocol::workers::{Phase, Report, Shard};

const MACHINES: usize = 800;
const JOBS: usize = 190;
const PASSES: u32 = 20;
const TOKEN: u64 = 40;

fn tables(types: &[MachineType]) -> Tables {
    let mut tables = Tables::new(TOKEN, 1, BEGIN);
    for n in 0..JOBS {
        let record = JobRecord {
            awaits: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: BEGIN,
            chunk_tasks: 80,
            nonce: 0,
            tier: None,
            spec: spec(Kind::Array, 60, 1.0, &format!("i{}", n % 9)),
        };
        let value = serde_json::to_value(&record).expect("our own record");
        tables.upsert(&keys::job(&format!("wk-{n}")), &value, n as u64 + 1, BEGIN, BEGIN);
    }
    report(&mut tables, types, 1, BEGIN);
    tables
}

/// Every machine reports that what is bound to it runs.
fn report(tables: &mut Tables, types: &[MachineType], tick: u64, now: u64) {
    for n in 0..MACHINES {
        let name = format!("m-{n:06}");
        let held = tables.machines.get(name.as_str()).map(|m| m.tasks.clone()).unwrap_or_default();
        let shards = held.iter().map(|((job, task), launch)| Shard {
            shard: format!("{job}/{task}"),
            launch: *launch,
            status: Phase::Running,
            cause: None,
            stored: None,
        });
        let report = Report {
            berth: name,
            addr: "127.0.0.1:1".into(),
            hull: "m8".into(),
            dock: ["a", "b", "c"][n % 3].into(),
            driftwood: n % 2 == 0,
            watch: 1,
            tick,
            helm: TOKEN,
            recall_s: None,
            shards: shards.collect(),
        };
        tables.on_report(&report, Source::Report, now, types);
    }
}

fn host(number: usize) -> Host {
    let source = include_str!("plugins/night-batches.rhai");
    let mut host = Host::default();
    let hooks = host.check(PluginKind::Decision, source).expect("the example is sound");
    let set = (0..number).map(|n| {
        let record = PluginRecord {
            name: format!("p{n}"),
            kind: PluginKind::Decision,
            state: State::Active,
            version: 1,
            hash: hash(source),
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

fn main() {
    let types: Vec<MachineType> = offered(6).iter().map(|o| MachineType::from(&o.hull)).collect();
    let settings = settings(0);
    println!(
        "plug-ins  asking, ms  pass, ms  calls a pass  operations a pass  plug-ins' memory, KB"
    );
    // The largest first: what a later one takes may have been given back by an earlier.
    for number in [10, 1, 0] {
        let before = memory_kb();
        let mut host = host(number);
        let held = memory_kb().saturating_sub(before);
        let mut tables = tables(&types);
        let (mut policy, mut steering) = (Policy::default(), Steering::default());
        let (mut asking_s, mut pass_s, mut now) = (0.0, 0.0, BEGIN);
        let (mut looked, mut scored) = (0, 0);
        for n in 0..PASSES {
            now += 2_000;
            report(&mut tables, &types, u64::from(n) + 2, now);
            let begin = Instant::now();
            let teams = &settings.settings.teams;
            let at = Now { steady: now, wall: now };
            let asking =
                Asking { policy: &mut policy, host: &mut host, teams, types: &types, now: at };
            node::steer(&tables, asking, &mut steering, true);
            asking_s += begin.elapsed().as_secs_f64();
            let begin = Instant::now();
            let view =
                View { now, wall: 0, settings: &settings, types: &types, steering: &steering };
            let passed = node::pass(&mut tables, view, true);
            pass_s += begin.elapsed().as_secs_f64();
            host.end_pass(passed.scored);
            looked += passed.looked;
            scored += passed.scored;
        }
        let shown = host.show();
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
        for plugin in shown.iter().filter(|p| p.record.state != State::Active) {
            println!(
                "          {} is {:?}: {:?}",
                plugin.record.name, plugin.record.state, plugin.record.reason
            );
        }
    }
}
