//! The fixed scenarios: how each simulation is set up, and what happens in it.

use serde_json::{Value, json};
use swiftsail_controller::controller::{AdminRequest, Controller};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::plugin::{PluginKind, PluginOffer};
use swiftsail_simulation::simulation::{
    Fault, FaultRates, InboundFailure, NetworkPartition, Simulation, gpu_job_body,
    gpu_machine_offers, job_body, submit_mixed_load,
};

/// Seeds with which every scenario runs.
pub const SEEDS: [u64; 3] = [1, 2, 3];

const CHAIN: &str = r#"
[dispatch]
version = 1
[[dispatch.chain]]
name = "lists"
[[dispatch.chain.step]]
name = "count"
when = 'job.class == "count"'
margin_s = 60.0
[[dispatch.chain.step]]
name = "list"
when = 'job.class == "list"'
after = ["count"]
margin_s = 300.0
"#;
const REPORT_HOOK: &str = "to = \"127.0.0.1:9\"\npath = \"/events\"\n";

/// A simulated scenario.
pub struct Scenario {
    /// Its name in the output.
    pub name: &'static str,
    /// Sets up the simulation for a seed.
    pub build: fn(u64) -> Simulation,
    /// Runs the simulation to its end.
    pub play: fn(&mut Simulation),
}

/// All scenarios, in a fixed order.
#[rustfmt::skip]
pub fn all() -> Vec<Scenario> {
    vec![
        Scenario { name: "calm", build: without_faults, play: |w| mixed(w, 180_000) },
        Scenario { name: "faults", build: |s| with_faults(s, 0.03, 0.01, 4, 2), play: |w| mixed(w, 240_000) },
        Scenario { name: "late-messages", build: |s| with_faults(s, 0.02, 0.05, 0, 0), play: |w| mixed(w, 240_000) },
        Scenario { name: "leader-crashes", build: without_faults, play: leader_crashes },
        Scenario { name: "network-cuts", build: without_faults, play: network_partitions },
        Scenario { name: "zone-away", build: without_faults, play: zone_partition },
        Scenario { name: "store-outages", build: without_faults, play: store_outages },
        Scenario { name: "store-limits", build: without_faults, play: store_limits },
        Scenario { name: "lost-and-late-writes", build: without_faults, play: lost_and_late_writes },
        Scenario { name: "cloud-trouble", build: without_faults, play: cloud_faults },
        Scenario { name: "frozen-controllers", build: without_faults, play: pause_controllers },
        Scenario { name: "rolling-restarts", build: durable, play: rolling_restarts },
        Scenario { name: "two-controllers", build: without_faults, play: |w| without_controllers(w, &[2]) },
        Scenario { name: "one-controller", build: without_faults, play: |w| without_controllers(w, &[1, 2]) },
        Scenario { name: "memory-pressure", build: without_faults, play: memory_pressure },
        Scenario { name: "memory-pressure-one", build: without_faults, play: memory_pressure_one },
        Scenario { name: "scarce-processor", build: without_faults, play: scarce_processor },
        Scenario { name: "gangs", build: without_faults, play: gangs },
        Scenario { name: "pipelines", build: without_faults, play: pipelines },
        Scenario { name: "mixed-versions", build: without_faults, play: mixed_versions },
        Scenario { name: "tiers", build: tiers, play: leader_crashes },
        Scenario { name: "dispatch-deadlines", build: deadline_plan, play: dispatch_deadlines },
        Scenario { name: "gpu-loans", build: gpus, play: gpu_loans },
        Scenario { name: "plugins", build: plugins, play: play_plugins },
        Scenario { name: "durable-limits", build: durable, play: binding_limits },
        Scenario { name: "binding-limits", build: without_faults, play: binding_limits },
        Scenario { name: "odd-users", build: without_faults, play: unusual_users },
        Scenario { name: "deaf-machines", build: without_faults, play: fail_inbound },
    ]
}

// ---- set-up --------------------------------------------------------------------------------------

fn without_faults(seed: u64) -> Simulation {
    Simulation::new(seed, FaultRates::NONE, 150_000)
}

fn with_faults(
    seed: u64,
    message_loss: f64,
    message_delay: f64,
    crashes: u32,
    outages: u32,
) -> Simulation {
    Simulation::new(
        seed,
        FaultRates { message_loss, message_delay, crashes, outages_and_hangs: outages },
        90_000,
    )
}

fn with_operator_settings(seed: u64, text: &str) -> Simulation {
    let mut sim = without_faults(seed);
    sim.operator = OperatorSettings::parse("trace", text).expect("the settings are valid");
    sim
}

fn durable(seed: u64) -> Simulation {
    with_operator_settings(seed, "[amounts]\ndurable = true\n")
}

fn tiers(seed: u64) -> Simulation {
    with_operator_settings(seed, include_str!("../../deploy/tiers.toml"))
}

fn deadline_plan(seed: u64) -> Simulation {
    with_operator_settings(seed, CHAIN)
}

fn plugins(seed: u64) -> Simulation {
    with_operator_settings(seed, "[plugins]\nenabled = true\n")
}

fn gpus(seed: u64) -> Simulation {
    let mut sim = Simulation::with_offers(seed, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    sim.operator = OperatorSettings::parse("trace", "[loans]\ndurable = true\n")
        .expect("the settings are valid");
    sim
}

// ---- what happens --------------------------------------------------------------------------------

fn leader(sim: &Simulation) -> Option<usize> {
    (0..3).find(|n| sim.controllers[*n].as_ref().is_some_and(Controller::is_leader))
}

fn crash_leader(sim: &mut Simulation, at_ms: u64) {
    sim.run_until(at_ms);
    if let Some(controller) = leader(sim) {
        sim.schedule_crash(at_ms, controller);
    }
}

fn mixed(sim: &mut Simulation, until_ms: u64) {
    submit_mixed_load(sim, 6);
    sim.run_until(until_ms);
}

fn leader_crashes(sim: &mut Simulation) {
    submit_mixed_load(sim, 6);
    (1..6).for_each(|n| crash_leader(sim, n * 14_000));
    sim.run_until(180_000);
}

fn network_partitions(sim: &mut Simulation) {
    let partition = |controller, from_ms| NetworkPartition::of(controller, from_ms, 15_000);
    sim.partitions.push(NetworkPartition { workers: true, ..partition(0, 10_000) });
    sim.partitions.push(NetworkPartition { peers: true, ..partition(1, 30_000) });
    sim.partitions.push(NetworkPartition { store: true, ..partition(2, 50_000) });
    sim.partitions.push(NetworkPartition {
        workers: true,
        peers: true,
        holds_messages: true,
        ..partition(0, 70_000)
    });
    mixed(sim, 200_000);
}

fn zone_partition(sim: &mut Simulation) {
    sim.add_fault_window(30_000, 30_000, Fault::ZonePartition { zone: "b".into(), controller: 1 });
    mixed(sim, 180_000);
}

fn store_outages(sim: &mut Simulation) {
    sim.schedule_store_outage(20_000, 12_000);
    sim.schedule_store_slowdown(45_000, 20_000);
    sim.schedule_store_outage(80_000, 4_000);
    mixed(sim, 200_000);
}

fn store_limits(sim: &mut Simulation) {
    sim.limit_store(40.0, 12.0);
    mixed(sim, 200_000);
}

fn lost_and_late_writes(sim: &mut Simulation) {
    sim.add_fault_window(10_000, 40_000, Fault::AnswersLost(0.2));
    sim.add_fault_window(60_000, 40_000, Fault::TransactionsLate(0.1));
    mixed(sim, 200_000);
}

fn cloud_faults(sim: &mut Simulation) {
    sim.add_fault_window(2_000, 20_000, Fault::SlowCloud(6_000));
    sim.add_fault_window(40_000, 20_000, Fault::CloudUnavailable);
    mixed(sim, 180_000);
}

fn pause_controllers(sim: &mut Simulation) {
    for (n, for_ms) in [1_000, 2_600, 25_000, 7_000].into_iter().enumerate() {
        sim.schedule_pause(12_000 + n as u64 * 22_000, n % 3, for_ms);
    }
    mixed(sim, 200_000);
}

fn rolling_restarts(sim: &mut Simulation) {
    sim.restart_delay_ms = Some(800);
    for controller in 0..3 {
        sim.schedule_crash(30_000 + controller as u64 * 15_000, controller);
    }
    mixed(sim, 180_000);
}

fn without_controllers(sim: &mut Simulation, controllers: &[usize]) {
    sim.restart_delay_ms = Some(10_000_000);
    controllers.iter().for_each(|controller| sim.schedule_crash(500, *controller));
    mixed(sim, 180_000);
}

fn memory_pressure(sim: &mut Simulation) {
    sim.memory_mb = 0.2;
    mixed(sim, 180_000);
}

fn memory_pressure_one(sim: &mut Simulation) {
    sim.memory_mb = 0.2;
    without_controllers(sim, &[0, 2]);
}

fn scarce_processor(sim: &mut Simulation) {
    sim.cores_per_controller = Some(0.02);
    mixed(sim, 150_000);
}

fn gangs(sim: &mut Simulation) {
    for n in 0..8u64 {
        let body = job_body(&format!("wk-g{n}"), "gang", "blue", 2 + n as u32, 4.0, 12.0);
        sim.submit(500 + n * 4_000, (n == 5).then_some(40_000), body);
    }
    sim.run_until(40_000);
    let now = sim.now;
    sim.cluster.hang_machines(2, 13_000, now);
    sim.run_until(60_000);
    sim.kill_machines(1, 4);
    crash_leader(sim, 75_000);
    sim.run_until(180_000);
}

fn dependent_body(id: &str, awaits: &[&str], tasks: u32) -> Value {
    let mut body = job_body(id, "array", "blue", tasks, 1.0, 4.0);
    (body["awaits"], body["due_s"]) = (json!(awaits), Value::Null);
    body
}

fn submit_pipelines(sim: &mut Simulation) {
    for (n, line) in ["a", "b", "c"].into_iter().enumerate() {
        let id = |k: u32| format!("wk-{line}{k}");
        let at = 6_000 + n as u64 * 9_000;
        sim.submit(at, None, dependent_body(&id(0), &[], 6));
        sim.submit(at + 200, None, dependent_body(&id(1), &[&id(0)], 3));
        let cancel = (n == 1).then_some(at + 9_000);
        sim.submit(at + 400, cancel, dependent_body(&id(2), &[&id(0)], 4));
        sim.submit(at + 600, None, dependent_body(&id(3), &[&id(1), &id(2)], 2));
    }
}

fn pipelines(sim: &mut Simulation) {
    submit_pipelines(sim);
    crash_leader(sim, 20_000);
    crash_leader(sim, 32_000);
    sim.run_until(150_000);
}

fn mixed_versions(sim: &mut Simulation) {
    sim.old_version_until_ms[1] = 40_000;
    sim.schedule_crash(30_000, 2);
    submit_pipelines(sim);
    sim.run_until(150_000);
}

fn dispatch_deadlines(sim: &mut Simulation) {
    sim.run_until(8_000);
    let at_ms = 1_700_000_000_000 + sim.now + 240_000;
    let body = json!({"name": "north", "chain": "lists", "at_ms": at_ms}).to_string();
    (0..3).for_each(|controller| {
        sim.schedule_admin_request(
            8_000,
            controller,
            AdminRequest::AddOccurrence(body.clone().into_bytes()),
        );
        sim.schedule_admin_request(60_000, controller, AdminRequest::Occurrences(None));
    });
    for (n, class) in ["count", "list"].into_iter().enumerate() {
        let mut body = job_body(&format!("wk-{class}"), "array", "blue", 4, 1.0, 20.0);
        (body["jobclass"], body["due_s"]) = (class.into(), 3_000.0.into());
        sim.submit(14_000 + n as u64 * 45_000, None, body);
    }
    [20_000, 40_000, 75_000].into_iter().for_each(|at| crash_leader(sim, at));
    sim.run_until(160_000);
}

fn gpu_loans(sim: &mut Simulation) {
    for n in 0..4u64 {
        let body = gpu_job_body(&format!("wk-t{n}"), "gang", "tuning", 2, 1.0, 200.0);
        sim.submit(500 + n * 900, None, body);
        let body = gpu_job_body(&format!("wk-b{n}"), "array", "lab", 4, 1.0, 60.0);
        sim.submit(30_000 + n * 500, None, body);
    }
    for n in 0..3u64 {
        let mut body = gpu_job_body(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
        body["scatter"] = false.into();
        sim.submit(90_000 + n * 2_000, Some(172_000 + n * 4_000), body);
    }
    for controller in 0..3 {
        sim.schedule_admin_request(120_000, controller, AdminRequest::Loans(None));
    }
    [100_000, 130_000, 180_000].into_iter().for_each(|at| crash_leader(sim, at));
    sim.run_until(400_000);
}

fn offer(name: &str, kind: PluginKind, source: &str) -> AdminRequest {
    let offer = PluginOffer { kind, source: source.into(), precedence: 10, enable: true };
    AdminRequest::OfferPlugin(name.into(), serde_json::to_vec(&offer).expect("our own type"))
}

fn play_plugins(sim: &mut Simulation) {
    let advice = "fn priority(job, cluster) { if job.waiting > 3 { 50 } else { -50 } }\n\
                  fn spot_share(job, cluster) { 0.5 }";
    sim.schedule_admin_request(5_000, 0, offer("advice", PluginKind::Decision, advice));
    sim.schedule_admin_request(
        5_500,
        1,
        offer("faulty", PluginKind::Decision, "fn class_order(c, l) { \"soon\" }"),
    );
    sim.schedule_admin_request(6_000, 2, offer("events", PluginKind::EventReceiver, REPORT_HOOK));
    for controller in 0..3 {
        sim.schedule_admin_request(30_000, controller, AdminRequest::Plugins);
        sim.schedule_admin_request(31_000, controller, AdminRequest::ExplainJob("wk-s0".into()));
    }
    submit_mixed_load(sim, 6);
    crash_leader(sim, 40_000);
    sim.run_until(150_000);
    assert!(!sim.delivered_events.is_empty(), "the report hook was sent nothing");
}

fn binding_limits(sim: &mut Simulation) {
    let mut long = job_body("wk-long", "array", "red", 90, 2.0, 30.0);
    long["due_s"] = Value::Null;
    sim.submit(500, None, long);
    submit_mixed_load(sim, 4);
    sim.run_until(40_000);
    sim.team_red_limits[1] = 24.0;
    sim.schedule_crash(40_000, 1);
    crash_leader(sim, 70_000);
    sim.run_until(160_000);
}

fn unusual_users(sim: &mut Simulation) {
    sim.add_fault_window(5_000, 60_000, Fault::UnusualRequests);
    sim.add_fault_window(5_000, 60_000, Fault::ConsistencyProbes);
    sim.add_fault_window(5_000, 90_000, Fault::CancelAtCompletion(0.3));
    sim.schedule_running_cancellations(45_000, 3, Some(6_000));
    mixed(sim, 180_000);
}

fn fail_inbound(sim: &mut Simulation) {
    let zone = Some("a".to_string());
    let names = Vec::new();
    sim.inbound_failures.push(InboundFailure {
        from_ms: 25_000,
        for_ms: 20_000,
        zone,
        machines: names,
        delivers_every: 0,
    });
    sim.duplicate_reports = Some((0.05, 20_000));
    sim.add_fault_window(60_000, 40_000, Fault::SlowLinks(300));
    mixed(sim, 180_000);
}
