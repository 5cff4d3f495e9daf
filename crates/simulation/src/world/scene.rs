//! The stand-in's deployment and its jobs.

use super::World;
use crate::cloud::Offered;
use serde_json::{Value, json};
use std::sync::Arc;
use swiftsail_controller::job::{Kind, Priority, Spec};
use swiftsail_controller::settings::{Settings, State};
use swiftsail_protocol::cloud::Hull;

/// Controllers of the deployment.
pub(super) const NODES: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Settings of the stand-in's deployment, for a node.
pub fn settings(node: usize) -> Arc<Settings> {
    let others: Vec<String> = (0..NODES)
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
pub fn spec(kind: Kind, tasks: u32, cpus: f64, image: &str) -> Spec {
    Spec {
        class: format!("{kind:?}"),
        team: "blue".into(),
        kind,
        priority: if kind == Kind::Service { Priority::Production } else { Priority::Normal },
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 0.5,
        image: image.into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: kind == Kind::Gang,
        spread: false,
        spot: kind != Kind::Service,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: (kind == Kind::Array).then_some(600.0),
    }
}

/// Limits that no test runs into: the node keeps its own.
pub(super) fn free_limits() -> State {
    let limits = settings(0).settings.state.clone();
    State { rps: 1e6, write_rps: 1e6, ..limits }
}

/// Two machine types in three zones, so many of each, zone and kind.
pub fn offered(capacity: u32) -> Vec<Offered> {
    let hull = |sku: &str, cpus: f64, price: f64| Hull {
        sku: sku.into(),
        cpus,
        accelerators: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 0.5,
        price,
        market_price: price / 3.0,
        boot_s: 5.0,
        docks: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    let types = [hull("s4", 4.0, 0.3), hull("m8", 8.0, 0.5)];
    types.into_iter().map(|hull| Offered { hull, capacity }).collect()
}

/// Machines with two accelerators beside the usual ones, so many in each zone, ordinary and spot each.
pub fn accelerated(capacity: u32) -> Vec<Offered> {
    let mut all = offered(2);
    let mut hull = all[1].hull.clone();
    (hull.sku, hull.cpus, hull.accelerators) = ("g2".into(), 24.0, 2.0);
    (hull.price, hull.market_price) = (6.0, 2.4);
    all.push(Offered { hull, capacity });
    all
}

/// A job that takes accelerators.
pub fn gpu_job(id: &str, shape: &str, crew: &str, shards: u32, gpus: f64, eta_s: f64) -> Value {
    let mut body = job(id, shape, crew, shards, 4.0, eta_s);
    body["accelerators"] = gpus.into();
    body["bundle"] = format!("weights-{crew}").into();
    body["due_s"] = Value::Null;
    if crew == "lab" {
        body["rank"] = "low".into();
    }
    body
}

/// A job of a shape, with what the tests vary.
pub fn job(id: &str, shape: &str, crew: &str, shards: u32, cpus: f64, eta_s: f64) -> Value {
    json!({"name_id": id, "jobclass": shape, "crew": crew, "shape": shape,
        "rank": if shape == "service" { "production" } else { "standard" },
        "shards": shards, "cpus": cpus, "accelerators": 0.0, "memory_gb": 1.0,
        "bundle": "img", "pull_gb": 0.5, "hulls": null, "dock": null, "one_zone": shape == "gang",
        "scatter": shape == "service", "driftwood": shape != "service" || id.ends_with('2'),
        "eta_s": eta_s, "mark_s": if shape == "gang" { 5.0 } else { 0.0 }, "stow_s": 1.0,
        "due_s": if shape == "array" { json!(eta_s * 4.0 + 60.0) } else { Value::Null }})
}

/// A mixed load: as many arrays, gangs and services, some of them cancelled.
pub fn mixed_load(world: &mut World, number: u64) {
    for n in 0..number {
        let id = format!("wk-a{n}");
        let cancel = (n % 3 == 2).then_some(20_000 + n * 5_000);
        world.submit(500 + n * 4_000, cancel, job(&id, "array", "red", 8, 2.0, 6.0));
        let id = format!("wk-g{n}");
        world.submit(1_000 + n * 5_000, None, job(&id, "gang", "blue", 3, 2.0, 8.0));
        let id = format!("wk-s{n}");
        let cancel = (n % 2 == 1).then_some(45_000 + n * 3_000);
        world.submit(200 + n * 2_000, cancel, job(&id, "service", "blue", 2, 1.0, 0.0));
    }
}
