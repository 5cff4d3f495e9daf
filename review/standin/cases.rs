//! The cases. Each builds a small deployment, lets users do what its `claim.txt` says, and judges what users, workers
//! and the platform have seen.

use crate::services::{Cloud, MachineType, StateLimits, StateService};
use crate::wire::{V, t};
use crate::world::{Controllers, Site, World, any_port, free_address, job};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// No case runs longer, s.
const LIMIT_S: f64 = 112.0;

struct Cluster {
    world: Arc<World>,
    state: Arc<StateService>,
    cloud: Arc<Cloud>,
    controllers: Arc<Controllers>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.controllers.end();
    }
}

/// Starts stand-ins and controllers, and waits until every controller answers `/up` with 200.
fn start(record: &str, site: &Site, types: Vec<MachineType>, running: &[(&str, &str)]) -> Option<Cluster> {
    let fronts = (0..3).map(|_| free_address()).collect();
    let clusters: Vec<_> = (0..3).map(|_| free_address()).collect();
    let world = World::new(record, site, fronts);
    let state_listener = TcpListener::bind(any_port()).ok()?;
    let cloud_listener = TcpListener::bind(any_port()).ok()?;
    let (state_at, cloud_at) = (state_listener.local_addr().ok()?, cloud_listener.local_addr().ok()?);
    let state = StateService::start(state_listener, &site.state);
    let cloud = Cloud::start(cloud_listener, types, site.cloud_rps, site.list_lag_s, world.clone());
    let controllers = Controllers::start(site, &world, &clusters, state_at, cloud_at);
    let cluster = Cluster { world, state, cloud, controllers };
    // A watchdog, should the case itself hang.
    let watched = cluster.controllers.clone();
    std::thread::spawn(move || {
        sleep(Duration::from_secs_f64(LIMIT_S + 5.0));
        watched.end();
        std::process::exit(2);
    });
    running.iter().for_each(|(hull, zone)| cluster.cloud.add_running(hull, zone));
    let healthy = || (0..3).all(|n| cluster.world.ask(n, "GET", "/up", None).0 == 200);
    (0..30)
        .any(|_| {
            sleep(Duration::from_millis(500));
            healthy()
        })
        .then_some(cluster)
}

/// `record`: the file for what was sent, answered and run.
pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    let outcome = match case {
        "1" => huge_gang(record, trouble),
        "2" => many_tasks_on_a_machine(record, trouble),
        "3" => cancel_after_lowered_limits(record, trouble),
        _ => None,
    };
    outcome.unwrap_or(2)
}

fn spec(mut fields: Vec<(String, V)>, more: Vec<(&str, V)>) -> V {
    fields.extend(more.into_iter().map(|(k, v)| (k.to_string(), v)));
    V::Map(fields)
}

/// The small deployment of the cold yards (`kylhall-norrkoping`).
fn cold_yards() -> Site {
    Site {
        zones: ["norrkoping-yard", "gavle-yard", "head-office"],
        teams: vec![("yard-systems", 0.0, 0.0), ("liu-logistics-lab", 0.0, 0.0)],
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 35.0,
        state: StateLimits { rps: 150.0, write_rps: 20.0, value_kb: 32.0, txn_ops: 16 },
        next: None,
        cloud_rps: 4.0,
        list_lag_s: 5.0,
        cores: 0.08,
        mem_mb: 40.0,
        connections: 800,
        back_s: 4.0,
    }
}

fn frost(name: &'static str, cpus: f64, memory_gb: f64, price: f64, spot_price: f64, boot_s: f64, capacity: usize) -> MachineType {
    MachineType { name, cpus, gpus: 0.0, memory_gb, price, spot_price, cache_gb: 60.0, fetch_gb_per_s: 0.2, boot_s, capacity }
}

fn frost_types() -> Vec<MachineType> {
    vec![
        frost("frost-small", 4.0, 32.0, 0.27, 0.06, 30.0, 4),
        frost("frost-medium", 16.0, 32.0, 0.83, 0.21, 25.0, 3),
        frost("frost-large", 64.0, 256.0, 3.33, 0.73, 25.0, 2),
    ]
}

/// Waits until a condition holds or `until_s` seconds have passed since the start.
fn wait_for(world: &World, until_s: f64, condition: impl Fn() -> bool) -> bool {
    loop {
        if condition() {
            return true;
        }
        if world.elapsed() >= until_s {
            return false;
        }
        sleep(Duration::from_millis(500));
    }
}

/// Case 1: a gang of as many tasks as a job may have.
fn huge_gang(record: &str, trouble: bool) -> Option<i32> {
    let cluster = start(record, &cold_yards(), frost_types(), &[("frost-large", "norrkoping-yard"), ("frost-large", "gavle-yard")])?;
    let world = &cluster.world;
    // 60 CPUs and 60 GB at once in either run: the gang fits on one of the two machines.
    let shards = if trouble { 100_000 } else { 100 };
    let each = 60.0 / shards as f64;
    let gang = job("wk-000001", "seismic-tie", "yard-systems", "gang", "standard", shards, each, each, 5.0);
    if world.submit("wk-000001", &spec(gang, vec![]), 5.0) != 201 {
        return None;
    }
    sleep(Duration::from_secs(5));
    // A job of another team, on machines of another type.
    let reads = job("wk-000002", "label-ocr-bits", "liu-logistics-lab", "array", "low", 2, 1.0, 2.0, 5.0);
    let reads = spec(reads, vec![("hulls", V::List(vec![t("frost-small")]))]);
    let accepted = world.submit("wk-000002", &reads, 5.0);
    let done = |id: &str| world.poll(id).as_deref() == Some("done");
    wait_for(world, 90.0, || {
        sleep(Duration::from_secs(2));
        world.note(&format!("memory of the controllers, MB: {:.1?}", cluster.controllers.memory()));
        done("wk-000001") && done("wk-000002")
    });
    let (ends, gang, reads) = (cluster.controllers.ends(), world.counts("wk-000001"), world.counts("wk-000002"));
    world.note(&format!(
        "ends of the controllers: {ends:?}; wk-000001 (gang): {} starts; wk-000002: submission {accepted}, {} starts",
        gang.runs, reads.runs
    ));
    let is_broken = ends.iter().sum::<u64>() > 0 && gang.runs == 0;
    world.note(if is_broken { "BROKEN" } else { "HELD" });
    Some(i32::from(is_broken))
}

/// Case 2: an array of many small tasks, beside a service.
fn many_tasks_on_a_machine(record: &str, trouble: bool) -> Option<i32> {
    // One large machine in each zone. All that is submitted here asks for that of one zone, which is up already.
    let mut types = frost_types();
    types[2].capacity = 1;
    let cluster = start(record, &cold_yards(), types, &[("frost-large", "norrkoping-yard")])?;
    let there = || vec![("hulls", V::List(vec![t("frost-large")])), ("dock", t("norrkoping-yard"))];
    let world = &cluster.world;
    let thermo = job("wk-000001", "yard-thermo", "yard-systems", "service", "production", 1, 4.0, 6.0, 0.0);
    let thermo = spec(thermo, there());
    if world.submit("wk-000001", &thermo, 0.0) != 201 || !wait_for(world, 40.0, || world.counts("wk-000001").runs > 0) {
        return None;
    }
    // 60 CPUs of work at once in either run.
    let (shards, cpus, memory_gb) = if trouble { (3_000, 0.02, 0.08) } else { (240, 0.25, 0.45) };
    let sweep = job("wk-000002", "door-open-sweep", "liu-logistics-lab", "array", "low", shards, cpus, memory_gb, 20.0);
    let sweep = spec(sweep, there());
    if world.submit("wk-000002", &sweep, 20.0) != 201 {
        return None;
    }
    let is_done = wait_for(world, LIMIT_S - 4.0, || {
        sleep(Duration::from_secs(2));
        world.poll("wk-000002").as_deref() == Some("done")
    });
    let (sweep, thermo) = (world.counts("wk-000002"), world.counts("wk-000001"));
    if sweep.runs == 0 {
        return None;
    }
    world.note(&format!(
        "wk-000002: {} starts, {} of {shards} tasks done, {} killed by ended leases, job done: {is_done}",
        sweep.runs,
        sweep.done.len(),
        sweep.killed
    ));
    world.note(&format!("wk-000001 (service): {} starts, {} killed by ended leases", thermo.runs, thermo.killed));
    let is_broken = !is_done && sweep.killed > 0;
    world.note(if is_broken { "BROKEN" } else { "HELD" });
    Some(i32::from(is_broken))
}

/// Case 3: the state service lowers its limits, then a user cancels a job that awaits many others.
fn cancel_after_lowered_limits(record: &str, trouble: bool) -> Option<i32> {
    let lowered = || StateLimits { rps: 120.0, write_rps: 21.0, value_kb: 2.0, txn_ops: 5 };
    let site = Site {
        zones: ["lautoka-shed", "suva-office", "nadi-depot"],
        teams: vec![("field-geology", 120.0, 500.0), ("core-library", 120.0, 900.0)],
        report_s: 3.0,
        lease_s: 14.0,
        cancel_s: 39.0,
        state: StateLimits { rps: 120.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 16 },
        next: Some(lowered()),
        cloud_rps: 2.0,
        list_lag_s: 10.0,
        cores: 0.096,
        mem_mb: 72.0,
        connections: 1200,
        back_s: 3.0,
    };
    let reef = |name, cpus, memory_gb, price, boot_s| MachineType {
        name,
        cpus,
        gpus: 0.0,
        memory_gb,
        price,
        spot_price: price / 2.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 0.1,
        boot_s,
        capacity: 9,
    };
    let types = vec![reef("reef-small", 4.0, 32.0, 0.27, 20.0), reef("reef-medium", 8.0, 32.0, 0.42, 25.0), reef("reef-large", 16.0, 64.0, 0.98, 40.0)];
    let cluster = start(record, &site, types, &[])?;
    let world = &cluster.world;
    const STEPS: usize = 140;
    let ids: Vec<String> = (0..STEPS).map(|n| format!("wk-{:06}", 1000 + n)).collect();
    let submitters: Vec<_> = (0..6)
        .map(|k| {
            let (world, mine) = (world.clone(), ids.iter().skip(k).step_by(6).cloned().collect::<Vec<_>>());
            std::thread::spawn(move || {
                mine.iter().all(|id| {
                    let fields = job(id, "tray-photo-crop", "field-geology", "array", "low", 1, 1.0, 3.2, 3.0);
                    matches!(world.submit(id, &spec(fields, vec![]), 3.0), 200 | 201)
                })
            })
        })
        .collect();
    if !submitters.into_iter().all(|s| s.join().unwrap_or(false)) {
        return None;
    }
    let awaits = || V::List(ids.iter().map(|id| t(id)).collect());
    let release = job("wk-000001", "client-logsheet", "core-library", "array", "high", 3, 1.0, 3.2, 60.0);
    let small = job("wk-000002", "client-logsheet", "core-library", "array", "high", 3, 1.0, 3.2, 60.0);
    let small = spec(small, vec![("awaits", V::List(vec![t(&ids[0])]))]);
    if world.submit("wk-000001", &spec(release, vec![("awaits", awaits())]), 60.0) != 201
        || world.submit("wk-000002", &small, 60.0) != 201
    {
        return None;
    }
    if trouble {
        cluster.state.lower(&lowered());
        world.note("the state service has lowered its limits to those of state.next");
    }
    sleep(Duration::from_secs(2));
    // The user repeats the request as the page says, at the nodes in turn, for 60 s. A second job is called off to see
    // that cancellations are answered at all.
    let cancel = |id: &str, for_s: u64| {
        let until = Instant::now() + Duration::from_secs(for_s);
        let mut node = 0;
        loop {
            let (status, answer) = world.ask(node, "POST", &format!("/v1/jobs/{id}/withdraw"), None);
            let answered = status == 200 && matches!(answer.text("status"), Some("withdrawn" | "done"));
            if answered || Instant::now() >= until {
                return answered;
            }
            node = (node + 1) % 3;
            sleep(Duration::from_secs(1));
        }
    };
    let other_answered = cancel("wk-000002", 30);
    let answered = cancel("wk-000001", 60);
    let still = world.poll("wk-000001").unwrap_or_default();
    let runs = world.counts("wk-000001").runs;
    world.note(&format!(
        "cancellation of wk-000002 answered: {other_answered}; of wk-000001: {answered}, it is now `{still}`, {runs} of its tasks were started; transactions refused as too large: {}",
        cluster.state.too_large()
    ));
    if !other_answered {
        return None;
    }
    world.note(if answered { "HELD" } else { "BROKEN" });
    Some(i32::from(!answered))
}
