//! Heap memory of a leader with a job of 100,000 tasks, the most that the protocol allows. The tests measure what the
//! whole program allocates, so they run one after the other.

use peak_alloc::PeakAlloc;
use serde_json::json;
use std::sync::{Mutex, MutexGuard, PoisonError};
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::controller;
use swiftsail_controller::cycle_policy::CyclePolicy;
use swiftsail_controller::job::{JobKind, JobRecord, JobSpec, keys};
use swiftsail_controller::machine::MachineType;
use swiftsail_controller::placement::PlanningContext;
use swiftsail_overload_control::constants::{
    BASE_MEMORY_MB, CLUSTER_STATE_SHARE, SCHEDULING_CYCLE_SHARE,
};
use swiftsail_protocol::state::{KeyPage, KeyValue};
use swiftsail_protocol::workers::{StatusReport, TaskPhase, TaskStatus};
use swiftsail_simulation::simulation::{START_MS, controller_settings, job_spec};

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

const TOKEN: u64 = 40;
const TASKS: u32 = 100_000;
const MACHINES: u32 = 200;
const TASKS_PER_MACHINE: u32 = TASKS / MACHINES;
const JOB: &str = "wk-000001";
const MB: f64 = 1024.0 * 1024.0;
fn begin() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A share of the memory that the settings of a simulated controller allow, MB.
fn share_mb(share: f64) -> f64 {
    (controller_settings(0).settings.machine_limits.mem_mb - BASE_MEMORY_MB) * share
}

fn used_mb() -> f64 {
    HEAP.current_usage() as f64 / MB
}

/// The peak since [`PeakAlloc::reset_peak_usage`], MB.
fn peak_mb() -> f64 {
    HEAP.peak_usage() as f64 / MB
}

fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "l64".into(),
        cpus: 64.0,
        gpus: 0.0,
        memory_gb: 256.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 3.3,
        spot_price: 1.1,
        boot_ms: 20_000.0,
        zones: vec!["a".into()],
    }]
}

fn machine_name(number: u32) -> String {
    format!("m-{number:06}")
}

fn small_task_spec(kind: JobKind) -> JobSpec {
    JobSpec { memory_gb: 0.0006, ..job_spec(kind, TASKS, 0.0006, "i") }
}

fn submit(state: &mut ClusterState, id: &str, revision: u64, spec: JobSpec) {
    let record = JobRecord {
        depends_on: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: START_MS,
        chunk_tasks: 256,
        write_number: 0,
        tier: None,
        spec,
    };
    let value = serde_json::to_value(&record).expect("a valid record");
    state.apply_job_record(&keys::job(id), &value, revision, START_MS, START_MS);
}

/// Lets a machine report these tasks as running. Returns the number of commands in the response.
fn report(state: &mut ClusterState, machine: u32, sequence: u64, tasks: Vec<TaskStatus>) -> usize {
    let report = StatusReport {
        machine: machine_name(machine),
        address: "10.0.0.9:1".into(),
        machine_type: "l64".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        sequence,
        fencing_token: TOKEN,
        reclaim_in_s: None,
        tasks,
    };
    let source = ReportSource::StatusReport;
    state.on_status_report(&report, source, START_MS, &machine_types()).commands.len()
}

fn run_mapping_round(state: &mut ClusterState) -> usize {
    let settings = controller_settings(0);
    let context = PlanningContext {
        now: START_MS + 1_000,
        wall_now: START_MS,
        settings: &settings,
        machine_types: &machine_types(),
        policy: &CyclePolicy::default(),
    };
    controller::run_scheduling_cycle(state, context, true).bound
}

/// A state with all tasks of an array running, restored from binding chunks.
fn state_with_running_array() -> ClusterState {
    let mut state = ClusterState::new(TOKEN, 1, START_MS);
    submit(&mut state, JOB, 1, small_task_spec(JobKind::Array));
    for chunk in 0..TASKS.div_ceil(256) {
        let tasks = chunk * 256..((chunk + 1) * 256).min(TASKS);
        let bindings: Vec<_> = tasks
            .map(|task| json!([task, 1_000 + task, machine_name(task / TASKS_PER_MACHINE), 1]))
            .collect();
        let value = json!({"w": 1, "l": 900_000, "d": [], "b": bindings});
        let key = format!("{}{JOB}/{chunk:05}", keys::BINDINGS);
        let entries = vec![KeyValue { key, value, mod_revision: 2, lease: None }];
        let page = KeyPage { entries, has_next: false, revision: 2 };
        state.load_bindings(&page, START_MS);
    }
    state.finish_loading(START_MS, START_MS);
    for machine in 0..MACHINES {
        let tasks = machine * TASKS_PER_MACHINE..(machine + 1) * TASKS_PER_MACHINE;
        let statuses = tasks.map(|task| TaskStatus {
            task: format!("{JOB}/{task}"),
            attempt: u64::from(1_000 + task),
            phase: TaskPhase::Running,
            exit_cause: None,
            progress_saved: None,
        });
        report(&mut state, machine, 1, statuses.collect());
    }
    state
}

/// The binding of a gang of 100,000 tasks, in one step, took 45 to 58 MB of a leader that has 40 MB: each leader ended
/// for memory, one after the other.
#[test]
fn binding_a_gang_of_the_largest_size_takes_the_share_of_the_cluster_state() {
    let _running = begin();
    let mut state = ClusterState::new(TOKEN, 1, START_MS);
    state.writes_binding_runs = true;
    for machine in 0..MACHINES {
        report(&mut state, machine, 1, Vec::new());
    }
    submit(&mut state, JOB, 1, JobSpec { one_zone: true, ..small_task_spec(JobKind::Gang) });
    let before = used_mb();
    HEAP.reset_peak_usage();
    assert_eq!(run_mapping_round(&mut state), TASKS as usize, "the gang is bound as a whole");
    let (held, peak) = (used_mb() - before, peak_mb() - before);
    println!("bound: {held:.1} MB held, {peak:.1} MB at the peak");
    assert!(held <= share_mb(CLUSTER_STATE_SHARE), "{held:.1} MB held");
    let share = CLUSTER_STATE_SHARE + SCHEDULING_CYCLE_SHARE;
    assert!(peak <= share_mb(share), "{peak:.1} MB at the peak");
}

/// What a new leader holds of a running job of the largest size, and what a mapping round takes in addition: a target
/// for each running task was built, with some 300 bytes each, before most were dropped.
#[test]
fn mapping_round_beside_running_tasks_takes_its_share() {
    let _running = begin();
    let before = used_mb();
    let mut state = state_with_running_array();
    let held = used_mb() - before;
    submit(&mut state, "wk-000002", 3, job_spec(JobKind::Array, 50, 1.0, "i"));
    let before_round = used_mb();
    HEAP.reset_peak_usage();
    run_mapping_round(&mut state);
    let peak = peak_mb() - before_round;
    println!("restored: {held:.1} MB held; mapping round: {peak:.1} MB more at the peak");
    assert!(peak <= share_mb(SCHEDULING_CYCLE_SHARE), "{peak:.1} MB in a mapping round");
}

/// A waiting job costs a leader the same, whatever the number of its tasks.
#[test]
fn memory_of_a_waiting_job_does_not_grow_with_its_tasks() {
    let _running = begin();
    const JOBS: u64 = 70;
    const MAX_WAITING_JOB_MB: f64 = 0.02;
    let mut state = ClusterState::new(TOKEN, 1, START_MS);
    let before = used_mb();
    for n in 0..JOBS {
        submit(&mut state, &format!("wk-{n:06}"), n + 1, small_task_spec(JobKind::Array));
    }
    let held = used_mb() - before;
    println!("{JOBS} waiting arrays of {TASKS} tasks: {held:.2} MB");
    assert!(held <= MAX_WAITING_JOB_MB * JOBS as f64, "{held:.2} MB for {JOBS} arrays");
}
