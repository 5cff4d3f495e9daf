//! The stand-in's deployment and its jobs.

use super::Simulation;
use crate::cloud::MachineOffer;
use serde_json::{Value, json};
use std::sync::Arc;
use swiftsail_controller::job::{JobKind, JobSpec, Priority};
use swiftsail_controller::settings::{Settings, StoreSettings};
use swiftsail_protocol::cloud::ListedMachineType;

/// Controllers of the deployment.
pub(super) const CONTROLLER_COUNT: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Settings of the stand-in's deployment, for a node.
pub fn controller_settings(node: usize) -> Arc<Settings> {
    let others: Vec<String> = (0..CONTROLLER_COUNT)
        .filter(|n| *n != node)
        .map(|n| {
            format!(
                "[[others]]\nhost_name = \"n{n}\"\nsite = \"a\"\naddress = \"127.0.0.1:{}\"\n",
                7000 + n
            )
        })
        .collect();
    let text = format!(
        "host_name = \"n{node}\"\nsite = \"a\"\nfront = \"127.0.0.1:{}\"\ncluster_listen = \"127.0.0.1:{}\"\n\
         future = 1\n{}\
         [endpoints]\ncloud = \"127.0.0.1:1\"\nstate = \"127.0.0.1:2\"\n\
         [settings]\nzones = [\"a\",\"b\",\"c\"]\nclock_off_ms = 20.0\n\
         [[settings.teams]]\nname = \"red\"\ncpus = 10.0\ncpus_max = 40.0\n\
         [[settings.teams]]\nname = \"blue\"\n\
         [[settings.teams]]\nname = \"serving\"\ncpus = 40.0\ncpus_max = 400.0\ngpus = 6.0\ngpus_max = 16.0\n\
         [[settings.teams]]\nname = \"tuning\"\ncpus = 40.0\ncpus_max = 400.0\ngpus = 6.0\ngpus_max = 16.0\n\
         [[settings.teams]]\nname = \"lab\"\ncpus = 0.0\ncpus_max = 400.0\ngpus = 0.0\ngpus_max = 16.0\n\
         [settings.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 35.0\n\
         [settings.state]\nrps = 150.0\nwrite_rps = 40.0\nvalue_kb = 8.0\ntxn_ops = 16\n\
         [settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n\
         [settings.machine_limits]\ncores = 0.1\nmem_mb = 40.0\nmax_connections = 500\n",
        6000 + node,
        7000 + node,
        others.concat(),
    );
    Arc::new(Settings::parse("stand-in", &text).expect("the stand-in's settings are sound"))
}

/// What a job of a kind asks for: the class is named after the kind.
pub fn job_spec(kind: JobKind, tasks: u32, cpus: f64, image: &str) -> JobSpec {
    JobSpec {
        class: format!("{kind:?}"),
        team: "blue".into(),
        kind,
        priority: if kind == JobKind::Service { Priority::Production } else { Priority::Normal },
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 0.5,
        image: image.into(),
        image_gb: 0.1,
        machine_types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread: false,
        spot: kind != JobKind::Service,
        runtime_estimate_s: 30.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: (kind == JobKind::Array).then_some(600.0),
    }
}

/// Limits that no test runs into: the node keeps its own.
pub(super) fn unlimited_store_rates() -> StoreSettings {
    let limits = controller_settings(0).settings.state.clone();
    StoreSettings { rps: 1e6, write_rps: 1e6, ..limits }
}

/// Two machine types in three zones, so many of each, zone and kind.
pub fn machine_offers(capacity: u32) -> Vec<MachineOffer> {
    let hull = |sku: &str, cpus: f64, price: f64| ListedMachineType {
        name: sku.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        image_fetch_gb_per_s: 0.5,
        price,
        spot_price: price / 3.0,
        boot_s: 5.0,
        zones: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    let types = [hull("s4", 4.0, 0.3), hull("m8", 8.0, 0.5)];
    types.into_iter().map(|hull| MachineOffer { machine_type: hull, capacity }).collect()
}

/// Machines with two accelerators beside the usual ones, so many in each zone, ordinary and spot each.
pub fn gpu_machine_offers(capacity: u32) -> Vec<MachineOffer> {
    let mut all = machine_offers(2);
    let mut hull = all[1].machine_type.clone();
    (hull.name, hull.cpus, hull.gpus) = ("g2".into(), 24.0, 2.0);
    (hull.price, hull.spot_price) = (6.0, 2.4);
    all.push(MachineOffer { machine_type: hull, capacity });
    all
}

/// A job that takes accelerators.
pub fn gpu_job_body(
    id: &str,
    shape: &str,
    crew: &str,
    shards: u32,
    gpus: f64,
    eta_s: f64,
) -> Value {
    let mut body = job_body(id, shape, crew, shards, 4.0, eta_s);
    body["accelerators"] = gpus.into();
    body["bundle"] = format!("weights-{crew}").into();
    body["due_s"] = Value::Null;
    if crew == "lab" {
        body["rank"] = "low".into();
    }
    body
}

/// A job of a shape, with what the tests vary.
pub fn job_body(id: &str, shape: &str, crew: &str, shards: u32, cpus: f64, eta_s: f64) -> Value {
    json!({"name_id": id, "jobclass": shape, "crew": crew, "shape": shape,
        "rank": if shape == "service" { "production" } else { "standard" },
        "shards": shards, "cpus": cpus, "accelerators": 0.0, "memory_gb": 1.0,
        "bundle": "img", "pull_gb": 0.5, "hulls": null, "dock": null, "one_zone": shape == "gang",
        "scatter": shape == "service", "driftwood": shape != "service" || id.ends_with('2'),
        "eta_s": eta_s, "mark_s": if shape == "gang" { 5.0 } else { 0.0 }, "stow_s": 1.0,
        "due_s": if shape == "array" { json!(eta_s * 4.0 + 60.0) } else { Value::Null }})
}

/// A mixed load: as many arrays, gangs and services, some of them cancelled.
pub fn submit_mixed_load(world: &mut Simulation, number: u64) {
    for n in 0..number {
        let id = format!("wk-a{n}");
        let cancel = (n % 3 == 2).then_some(20_000 + n * 5_000);
        world.submit(500 + n * 4_000, cancel, job_body(&id, "array", "red", 8, 2.0, 6.0));
        let id = format!("wk-g{n}");
        world.submit(1_000 + n * 5_000, None, job_body(&id, "gang", "blue", 3, 2.0, 8.0));
        let id = format!("wk-s{n}");
        let cancel = (n % 2 == 1).then_some(45_000 + n * 3_000);
        world.submit(200 + n * 2_000, cancel, job_body(&id, "service", "blue", 2, 1.0, 0.0));
    }
}
