//! The simulated deployment: settings, machine offers and jobs.

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

/// The settings of a controller of the simulated deployment, by its index.
pub fn controller_settings(controller: usize) -> Arc<Settings> {
    let other_controllers: Vec<String> = (0..CONTROLLER_COUNT)
        .filter(|n| *n != controller)
        .map(|n| {
            format!(
                "[[others]]\nhost_name = \"n{n}\"\nsite = \"a\"\naddress = \"127.0.0.1:{}\"\n",
                7000 + n
            )
        })
        .collect();
    let text = format!(
        "host_name = \"n{controller}\"\nsite = \"a\"\nfront = \"127.0.0.1:{}\"\ncluster_listen = \"127.0.0.1:{}\"\n\
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
        6000 + controller,
        7000 + controller,
        other_controllers.concat(),
    );
    Arc::new(
        Settings::parse("simulated settings", &text)
            .expect("the settings of the simulated deployment are valid"),
    )
}

/// A specification of a job of a kind; its class is named after the kind.
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
        task_name_bytes: 0,
    }
}

/// Limits of the fake store that no test reaches: controllers limit their own rates by their settings.
pub(super) fn unlimited_store_rates() -> StoreSettings {
    let limits = controller_settings(0).settings.state.clone();
    StoreSettings { rps: 1e6, write_rps: 1e6, ..limits }
}

/// Two machine types in three zones. `capacity` holds for each type and zone, on-demand and spot separately.
pub fn machine_offers(capacity: u32) -> Vec<MachineOffer> {
    let listed_type = |name: &str, cpus: f64, price: f64| ListedMachineType {
        name: name.into(),
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
    let types = [listed_type("s4", 4.0, 0.3), listed_type("m8", 8.0, 0.5)];
    types.into_iter().map(|machine_type| MachineOffer { machine_type, capacity }).collect()
}

/// The offers of [`machine_offers`] with capacity 2, and a type with two GPUs. `capacity` is that of the GPU type, in each
/// zone, on-demand and spot separately.
pub fn gpu_machine_offers(capacity: u32) -> Vec<MachineOffer> {
    let mut offers = machine_offers(2);
    let mut listed_type = offers[1].machine_type.clone();
    (listed_type.name, listed_type.cpus, listed_type.gpus) = ("g2".into(), 24.0, 2.0);
    (listed_type.price, listed_type.spot_price) = (6.0, 2.4);
    offers.push(MachineOffer { machine_type: listed_type, capacity });
    offers
}

/// The submission of a job that uses GPUs.
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

/// The submission of a job: its id, kind, team, number of tasks, CPUs per task and estimated run time in s.
pub fn job_body(id: &str, shape: &str, crew: &str, shards: u32, cpus: f64, eta_s: f64) -> Value {
    json!({"name_id": id, "jobclass": shape, "crew": crew, "shape": shape,
        "rank": if shape == "service" { "production" } else { "standard" },
        "shards": shards, "cpus": cpus, "accelerators": 0.0, "memory_gb": 1.0,
        "bundle": "img", "pull_gb": 0.5, "hulls": null, "dock": null, "one_zone": shape == "gang",
        "scatter": shape == "service", "driftwood": shape != "service" || id.ends_with('2'),
        "eta_s": eta_s, "mark_s": if shape == "gang" { 5.0 } else { 0.0 }, "stow_s": 1.0,
        "due_s": if shape == "array" { json!(eta_s * 4.0 + 60.0) } else { Value::Null }})
}

/// Submits `number` arrays, gangs and services each; some of them are cancelled.
pub fn submit_mixed_load(sim: &mut Simulation, number: u64) {
    for n in 0..number {
        let id = format!("wk-a{n}");
        let cancel = (n % 3 == 2).then_some(20_000 + n * 5_000);
        sim.submit(500 + n * 4_000, cancel, job_body(&id, "array", "red", 8, 2.0, 6.0));
        let id = format!("wk-g{n}");
        sim.submit(1_000 + n * 5_000, None, job_body(&id, "gang", "blue", 3, 2.0, 8.0));
        let id = format!("wk-s{n}");
        let cancel = (n % 2 == 1).then_some(45_000 + n * 3_000);
        sim.submit(200 + n * 2_000, cancel, job_body(&id, "service", "blue", 2, 1.0, 0.0));
    }
}
