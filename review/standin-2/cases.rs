//! The scenarios.

use crate::cluster::{kylhall, vanua, vanua_grown, Cluster, Job};
use crate::record::Record;
use crate::worker::Worker;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Runs a case. Some(true): the rule held; Some(false): it was broken; None: the case could not run.
pub fn run(case: &str, trouble: bool, folders: (&str, &str), record: Arc<Record>) -> Option<bool> {
    match case {
        "start-after-withdraw" => start_after_withdraw(trouble, folders, record),
        "service-stays-short" => service_stays_short(trouble, folders, record),
        "gpu-machine-unused" => gpu_machine_unused(trouble, folders, record),
        "small-job-beside-arrays" => small_job_beside_arrays(trouble, folders, record),
        "job-shuns-machine" => job_shuns_machine(trouble, folders, record),
        "room-held-for-services" => room_held_for_services(trouble, folders, record),
        "machine-stays-cordoned" => machine_stays_cordoned(trouble, folders, record),
        _ => None,
    }
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// An array of one-CPU tasks of a class of the deployment `vanua-core-lautoka`.
fn assay_batch(id: &str, shards: u32, runs_s: f64) -> Job {
    Job {
        id: id.to_string(),
        class: "assay-batch",
        team: "field-geology",
        shape: "array",
        rank: "standard",
        shards,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 3.5,
        image: "img-01",
        image_gb: 0.1,
        hulls: None,
        dock: None,
        scatter: false,
        spot: false,
        eta_s: runs_s,
        due_s: None,
        runs_s: Some(runs_s),
        quiet: false,
    }
}

/// A leader is cut from the state service and the other controllers, not from its workers. A job of which it has bound
/// a task is cancelled through the new leader. Then the machine reports to the old one.
fn start_after_withdraw(trouble: bool, folders: (&str, &str), record: Arc<Record>) -> Option<bool> {
    let cluster = Cluster::start(vanua(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    // A first job brings up a machine, which then stays with the leader.
    cluster.submit(&assay_batch("wk-000001", 1, 3.0), 0);
    let is_done = |id: &str| cluster.runs_of(id).iter().any(|run| run.cause == "done");
    if !cluster.wait(seconds(30.0), || is_done("wk-000001")) {
        return None;
    }
    thread::sleep(seconds(4.0));
    let worker = cluster.workers().into_iter().next()?;
    for attempt in 2..5 {
        let id = format!("wk-{attempt:06}");
        let leader = cluster.leader()?;
        let follower = (leader + 1) % 3;
        // Just after a report, so that the next one is due only after the cancellation: 3 s, plus or minus a quarter.
        let before = worker.reports();
        cluster.wait(seconds(4.0), || worker.reports() > before);
        worker.hold_reports_until(Some(Instant::now() + seconds(10.0)));
        let sent = worker.reports();
        cluster.submit(&assay_batch(&id, 1, 60.0), follower);
        let is_bound = || cluster.state.all("sheet/").iter().any(|(_, v)| v.json().contains(&id));
        let bound = cluster.wait(seconds(1.0), is_bound);
        thread::sleep(seconds(0.1));
        if bound && worker.reports() == sent {
            record.line(format!(
                "{id}/0 is bound by {}; its start was not offered yet",
                cluster.name(leader)
            ));
            if trouble {
                cluster.cut_from_state_and_peers(leader, true);
                cluster.wait(seconds(4.0), || cluster.leader().is_some_and(|n| n != leader));
            }
        }
        let now_leads = cluster.leader()?;
        if trouble {
            record.line(format!("{} leads now", cluster.name(now_leads)));
        }
        let at = if trouble { now_leads } else { follower };
        let confirmed = cluster.withdraw(&id, at)?;
        if !bound || worker.reports() > sent {
            record.line("the worker reported before the cancellation was confirmed: once more");
            worker.hold_reports_until(None);
            cluster.cut_from_state_and_peers(leader, false);
            thread::sleep(seconds(10.0));
            continue;
        }
        record.line(format!("its user was told that {id} is cancelled; no report is under way"));
        worker.hold_reports_until(None);
        cluster.wait(seconds(40.0), || {
            let runs = cluster.runs_of(&id);
            runs.iter().any(|run| run.until_ms.is_some())
                || runs.is_empty() && record.ms() > confirmed + 20_000
        });
        let runs = cluster.runs_of(&id);
        for run in &runs {
            record.line(format!(
                "{} started {} ms after its user was told that the job is cancelled, and ran until {:?} ms after",
                run.task,
                run.from_ms.saturating_sub(confirmed),
                run.until_ms.map(|at| at.saturating_sub(confirmed))
            ));
        }
        cluster.poll(&id, at);
        cluster.keep_logs();
        return Some(runs.is_empty());
    }
    None
}

/// The rule of waiting jobs: none waits for 90 s while a machine that fits has room and its team is under its limit.
/// Watches a job from now on, until it is done (true), or has waited for that long with room at every moment (false).
/// `fits`: whether the job allows a machine. The limits of the teams are far away in these cases.
fn is_not_left_waiting(cluster: &Cluster, job: &Job, fits: impl Fn(&Worker) -> bool) -> bool {
    let record = &cluster.record;
    let starts = || cluster.runs_of(&job.id).len();
    let done = || {
        let runs = cluster.runs_of(&job.id);
        let mut done: Vec<&str> =
            runs.iter().filter(|r| r.cause == "done").map(|r| r.task.as_str()).collect();
        done.sort_unstable();
        done.dedup();
        done.len()
    };
    let (mut waits_since, mut known_starts) = (Instant::now(), starts());
    let mut last_shown = Instant::now();
    loop {
        thread::sleep(seconds(0.1));
        let now_started = starts();
        if done() == job.shards as usize {
            record.line(format!("all tasks of {} are done", job.id));
            return true;
        }
        let running = cluster.runs_of(&job.id).iter().filter(|r| r.until_ms.is_none()).count();
        if job.shape == "service" && running == job.shards as usize {
            record.line(format!("all replicas of {} run", job.id));
            return true;
        }
        let has_room = |w: &Arc<Worker>| {
            let (cpus, memory_gb) = w.free();
            fits(w) && cpus >= job.cpus && memory_gb >= job.memory_gb
        };
        let with_room = cluster.workers().iter().filter(|w| has_room(w)).count();
        let all_placed = done() + running >= job.shards as usize;
        if now_started > known_starts || with_room == 0 || all_placed {
            (waits_since, known_starts) = (Instant::now(), now_started);
        }
        let waited = waits_since.elapsed();
        if last_shown.elapsed() > seconds(10.0) {
            last_shown = Instant::now();
            record.line(format!(
                "{} waits for {:.1} s: {} of {} tasks done, {running} running; {with_room} machines that fit have room",
                job.id,
                waited.as_secs_f64(),
                done(),
                job.shards
            ));
        }
        if waited > seconds(90.0) {
            record.line(format!("{} was left waiting for 90 s beside room", job.id));
            return false;
        }
    }
}

/// A job bound to `reef-large` machines in `suva-office`, of which the deployment has three.
fn pinned(mut job: Job) -> Job {
    job.hulls = Some(vec!["reef-large"]);
    job.dock = Some("suva-office");
    job
}

fn is_in_pool(worker: &Worker) -> bool {
    worker.hull == "reef-large" && worker.dock == "suva-office"
}

/// A service of the deployment `vanua-core-lautoka`.
fn core_catalogue(id: &str) -> Job {
    Job {
        class: "core-catalogue",
        team: "core-library",
        shape: "service",
        rank: "production",
        cpus: 2.0,
        memory_gb: 4.9,
        image: "img-core",
        scatter: true,
        eta_s: 0.0,
        runs_s: None,
        ..assay_batch(id, 1, 0.0)
    }
}

/// Submits services until `count` of them run in the pool. They are numbered from `first`.
fn run_services(cluster: &Cluster, first: usize, count: usize) -> bool {
    let ids: Vec<String> = (first..first + count).map(|n| format!("wk-{n:06}")).collect();
    for id in &ids {
        cluster.submit(&pinned(core_catalogue(id)), 0);
    }
    let all_run = || ids.iter().all(|id| !cluster.runs_of(id).is_empty());
    let run = cluster.wait(seconds(20.0), all_run);
    if !run {
        cluster.keep_logs();
    }
    run
}

fn show_pool(cluster: &Cluster) {
    for worker in cluster.workers().iter().filter(|w| is_in_pool(w)) {
        let (cpus, memory_gb) = worker.free();
        let tasks = worker.task_names().len();
        cluster.record.line(format!(
            "machine {}: {tasks} tasks, free: {cpus} CPUs, {memory_gb:.1} GB",
            worker.name
        ));
    }
}

/// Waits until a machine of the pool is up that has room. Returns it.
fn machine_with_room(cluster: &Cluster) -> Option<Arc<Worker>> {
    let mut found = None;
    cluster.wait(seconds(15.0), || {
        let up = |w: &&Arc<Worker>| is_in_pool(w) && !w.address().is_empty() && w.free().0 >= 3.0;
        found = cluster.workers().iter().find(up).cloned();
        found.is_some()
    });
    found
}

/// One machine fails every task that it starts, for some seconds. A job of which a task failed there is left waiting
/// afterwards, beside that machine, while all others are full.
fn job_shuns_machine(trouble: bool, folders: (&str, &str), record: Arc<Record>) -> Option<bool> {
    let cluster = Cluster::start(vanua(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    // Two of the three machines are full of services.
    if !run_services(&cluster, 1, 16) {
        return None;
    }
    show_pool(&cluster);
    let job = pinned(assay_batch("wk-000100", 8, 3.0));
    let known: Vec<String> = cluster.workers().iter().map(|w| w.name.clone()).collect();
    cluster.submit(&job, 0);
    let mut third = None;
    cluster.wait(seconds(15.0), || {
        third = cluster.workers().into_iter().find(|w| !known.contains(&w.name));
        third.is_some()
    });
    let third = third?;
    if trouble {
        record.line(format!("machine {} now fails every task that it starts", third.name));
        third.set_faulty(true);
        let failed = || cluster.runs_of(&job.id).iter().any(|run| run.cause == "error");
        if !cluster.wait(seconds(20.0), failed) {
            cluster.keep_logs();
            return None;
        }
        thread::sleep(seconds(1.0));
        third.set_faulty(false);
        record.line(format!("the trouble is over: machine {} runs what it starts", third.name));
        // Another job of the same kind shows that it does.
        cluster.submit(&pinned(assay_batch("wk-000101", 1, 3.0)), 1);
    }
    let held = is_not_left_waiting(&cluster, &job, is_in_pool);
    cluster.poll(&job.id, 0);
    show_pool(&cluster);
    for run in cluster.runs_of("wk-000101") {
        record.line(format!("meanwhile {} ran on {}: {}", run.task, run.machine, run.cause));
    }
    cluster.keep_logs();
    Some(held)
}

/// Services arrive twice as often for a moment: two instead of one. An array is then left waiting beside them on
/// machines that have room for it.
fn room_held_for_services(
    trouble: bool,
    folders: (&str, &str),
    record: Arc<Record>,
) -> Option<bool> {
    let cluster = Cluster::start(vanua(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    // The services that are there at the start.
    if !run_services(&cluster, 1, 21) {
        return None;
    }
    let arrivals = if trouble { 2 } else { 1 };
    record.line(format!("{arrivals} more arrive"));
    if !run_services(&cluster, 31, arrivals) {
        return None;
    }
    record.line("all run; no more arrive");
    thread::sleep(seconds(1.0));
    show_pool(&cluster);
    let job = pinned(assay_batch("wk-000100", 6, 3.0));
    cluster.submit(&job, 1);
    let held = is_not_left_waiting(&cluster, &job, is_in_pool);
    cluster.poll(&job.id, 0);
    show_pool(&cluster);
    cluster.keep_logs();
    Some(held)
}

/// A machine on which a service runs fails every task that it starts, for some seconds. A job that comes afterwards is
/// left waiting beside the service, while all other machines are full.
fn machine_stays_cordoned(
    trouble: bool,
    folders: (&str, &str),
    record: Arc<Record>,
) -> Option<bool> {
    let cluster = Cluster::start(vanua(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    // Two of the three machines are full of services, and one runs on the third.
    if !run_services(&cluster, 1, 17) {
        return None;
    }
    show_pool(&cluster);
    let third = machine_with_room(&cluster)?;
    if trouble {
        record.line(format!("machine {} now fails every task that it starts", third.name));
        third.set_faulty(true);
    }
    let ids: Vec<String> = (101..104).map(|n| format!("wk-{n:06}")).collect();
    for id in &ids {
        cluster.submit(&pinned(assay_batch(id, 1, 3.0)), 0);
    }
    let all_ended =
        || ids.iter().all(|id| cluster.runs_of(id).iter().any(|run| run.until_ms.is_some()));
    if !cluster.wait(seconds(20.0), all_ended) {
        cluster.keep_logs();
        return None;
    }
    if trouble {
        // The failures are reported within half a second.
        thread::sleep(seconds(1.0));
        third.set_faulty(false);
        record.line(format!("the trouble is over: machine {} runs what it starts", third.name));
        for id in &ids {
            cluster.withdraw(id, 1);
        }
    }
    let job = pinned(assay_batch("wk-000110", 1, 3.0));
    cluster.submit(&job, 1);
    let held = is_not_left_waiting(&cluster, &job, is_in_pool);
    cluster.poll(&job.id, 0);
    show_pool(&cluster);
    cluster.keep_logs();
    Some(held)
}

/// A few machines fail every task that they start, for some seconds, when a service of five replicas arrives. It never
/// gets all of its replicas afterwards.
fn service_stays_short(trouble: bool, folders: (&str, &str), record: Arc<Record>) -> Option<bool> {
    let cluster = Cluster::start(vanua_grown(), seconds(1.0), folders, record.clone());
    cluster.wait_until_ready();
    let service = Job { shards: 5, image_gb: 0.05, ..core_catalogue("wk-000001") };
    cluster.submit(&service, 0);
    let mut sick: Vec<Arc<Worker>> = Vec::new();
    if trouble {
        let failed_on = || {
            let runs = cluster.runs_of(&service.id);
            let failed = runs.iter().filter(|run| run.cause == "error");
            let mut machines: Vec<String> = failed.map(|run| run.machine.clone()).collect();
            machines.sort_unstable();
            machines.dedup();
            machines.len()
        };
        // Every machine that comes up is sick, eight at most.
        let enough = cluster.wait(seconds(25.0), || {
            for worker in cluster.workers() {
                if sick.len() < 8 && !sick.iter().any(|w| w.name == worker.name) {
                    record.line(format!("machine {} fails every task that it starts", worker.name));
                    worker.set_faulty(true);
                    sick.push(worker);
                }
            }
            failed_on() >= 3
        });
        if !enough {
            cluster.keep_logs();
            return None;
        }
        // What failed is reported at once.
        thread::sleep(seconds(0.2));
        sick.iter().for_each(|w| w.set_faulty(false));
        record.line("the trouble is over: all machines run what they start");
    }
    // At most half of its tasks, rounded up, may be in one zone.
    let fits = |w: &Worker| {
        let runs = cluster.runs_of(&service.id);
        let workers = cluster.workers();
        let is_in_zone = |name: &str| workers.iter().any(|o| o.name == name && o.dock == w.dock);
        let running = runs.iter().filter(|run| run.until_ms.is_none());
        !w.spot && running.filter(|run| is_in_zone(&run.machine)).count() < 3
    };
    let held = is_not_left_waiting(&cluster, &service, fits);
    cluster.poll(&service.id, 0);
    cluster.keep_logs();
    Some(held)
}

/// One array of as many tasks as a job may have comes, of little tasks. A small job of another team is then left waiting
/// beside machines that have room.
fn small_job_beside_arrays(
    trouble: bool,
    folders: (&str, &str),
    record: Arc<Record>,
) -> Option<bool> {
    let cluster = Cluster::start(kylhall(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    let array = Job {
        class: "pallet-recon",
        team: "yard-systems",
        cpus: 0.001,
        memory_gb: 0.001,
        quiet: true,
        ..assay_batch("wk-000001", if trouble { 100_000 } else { 100 }, 6.0)
    };
    cluster.submit(&array, 0);
    let job = Job {
        class: "route-replay",
        team: "liu-logistics-lab",
        rank: "low",
        cpus: 2.0,
        memory_gb: 3.8,
        image: "img-02",
        ..assay_batch("wk-000100", 2, 4.0)
    };
    cluster.submit(&job, 1);
    let held = is_not_left_waiting(&cluster, &job, |w| !w.spot);
    let runs = cluster.runs_of(&array.id);
    let ended = runs.iter().filter(|run| run.until_ms.is_some()).count();
    record.line(format!("{}: {} starts, {ended} of them ended", array.id, runs.len()));
    cluster.poll(&array.id, 0);
    cluster.poll(&job.id, 0);
    cluster.keep_logs();
    Some(held)
}

/// The machines without GPUs in a zone are full. An ordinary job for this zone, of any machine type, is left waiting
/// beside a machine with GPUs that has room.
fn gpu_machine_unused(trouble: bool, folders: (&str, &str), record: Arc<Record>) -> Option<bool> {
    let cluster = Cluster::start(vanua(), seconds(1.5), folders, record.clone());
    cluster.wait_until_ready();
    // A gang with GPUs, which leaves 3 CPUs and 19 GB of its machine.
    let model = Job {
        class: "lithology-model",
        team: "core-library",
        shape: "gang",
        cpus: 21.0,
        gpus: 2.0,
        memory_gb: 77.0,
        image: "img-model",
        dock: Some("suva-office"),
        ..assay_batch("wk-000100", 1, 118.0)
    };
    cluster.submit(&model, 0);
    // 36 services fill the three machines of each of these types.
    let ids: Vec<String> =
        (1..=if trouble { 36 } else { 33 }).map(|n| format!("wk-{n:06}")).collect();
    for id in &ids {
        let service = Job {
            hulls: Some(vec!["reef-medium", "reef-large"]),
            dock: Some("suva-office"),
            scatter: false,
            ..core_catalogue(id)
        };
        cluster.submit(&service, 0);
    }
    let all_run = || {
        let runs = |id: &String| !cluster.runs_of(id).is_empty();
        ids.iter().all(runs) && runs(&model.id)
    };
    if !cluster.wait(seconds(25.0), all_run) {
        cluster.keep_logs();
        return None;
    }
    let show = || {
        for worker in cluster.workers().iter().filter(|w| w.dock == "suva-office") {
            let (cpus, memory_gb) = worker.free();
            record.line(format!(
                "machine {} ({}): free: {cpus} CPUs, {memory_gb:.1} GB",
                worker.name, worker.hull
            ));
        }
    };
    show();
    let job = Job { dock: Some("suva-office"), ..assay_batch("wk-000101", 2, 3.0) };
    cluster.submit(&job, 1);
    let held = is_not_left_waiting(&cluster, &job, |w| !w.spot && w.dock == "suva-office");
    cluster.poll(&job.id, 0);
    show();
    cluster.keep_logs();
    Some(held)
}
