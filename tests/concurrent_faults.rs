//! Two concurrent faults: a leader that cannot reach the state service must still know every cancellation that users
//! were told of. Checked with the controllers' real state machines in a simulation, and with a model checker on every
//! order of steps of a small model of the cancellation quorum. `MEETINGS=0..300` sets the seeds of the random runs.

mod common;

use common::busy_cluster::{BusyCluster, LongJobs};
use common::cluster::{assert_completed_without_violations, leader_index, tasks_killed};
use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::hash::Hash;
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::constants::MAX_PENDING_CANCELLATIONS;
use swiftsail_controller::controller::{Action, Controller, Event, Now};
use swiftsail_controller::job::{JobId, MachineId};
use swiftsail_controller::leadership::{
    AnswerAuthority, CancellationQuorum, LeaderProgress, endorsements_needed, replicas_needed,
};
use swiftsail_controller::machine::MessageOrder;
use swiftsail_controller::store::StoreOutcome;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::workers::StatusReport;
use swiftsail_simulation::model_checker::{CheckResult, Model, check_model};
use swiftsail_simulation::simulation::{
    FaultRates, InboundFailure, NetworkPartition, START_MS, Simulation, controller_settings,
    job_body,
};

/// Long jobs that are all cancelled within a few seconds, from 40.5 s on.
const LONG_JOBS: LongJobs = LongJobs {
    id_prefix: "wk-a",
    run_time_s: 150.0,
    first_cancel_ms: 40_500,
    cancel_interval_ms: 150,
};

const JOB: &str = "wk-000001";

fn store_partition(controller: usize, from_ms: u64, for_ms: u64) -> NetworkPartition {
    NetworkPartition { store: true, ..NetworkPartition::of(controller, from_ms, for_ms) }
}

/// Number of jobs whose users were told of the cancellation between these times, ms from the start.
fn cancellations_told(sim: &Simulation, from_ms: u64, to_ms: u64) -> usize {
    let times = sim.jobs.iter().filter_map(|j| j.cancellation_told_at);
    times.filter(|at| (START_MS + from_ms..START_MS + to_ms).contains(at)).count()
}

/// The leader alone loses the state service, another controller confirms cancellations, and then the state service is
/// unavailable for all for longer than `cancel_s` while workers report to the old leader. The tasks of the confirmed
/// cancellations must still end in time.
#[test]
fn cancellations_confirmed_by_others_end_in_time_when_the_leader_cannot_read_the_store() {
    let mut confirmed = 0;
    for seed in 0..6 {
        let BusyCluster { simulation: mut sim, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        sim.partitions.push(store_partition(leader, now_ms, 14_000));
        sim.schedule_store_outage(now_ms + 2_000, 59_000);
        sim.run_until(now_ms + 2_000);
        let before = cancellations_told(&sim, now_ms, now_ms + 2_000);
        confirmed += before;
        assert_eq!(leader_index(&sim), Some(leader), "its leadership has not ended yet");
        sim.run_until(now_ms + 60_000);
        let authority = sim.controllers[leader].as_ref().and_then(Controller::answer_authority);
        assert_eq!(
            authority,
            Some(AnswerAuthority::Endorsed),
            "its last read is older than a leader may rely on without endorsements"
        );
        let killed = tasks_killed(&sim);
        assert_eq!(killed, 0, "seed {seed}: with endorsements by a majority no worker lease ends");
        sim.run_until(now_ms + 200_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
    }
    assert!(confirmed >= 20, "{confirmed} cancellations were confirmed before the outage");
}

/// The leader, with its workers, is cut off from the state service and the other controllers, and then the state service
/// is unavailable for all. The leader may answer only until its last read is too old; cancellations that others confirmed
/// must end in time.
#[test]
fn an_isolated_leader_stops_answering_when_its_state_is_too_old() {
    for seed in 0..4 {
        let BusyCluster { simulation: mut sim, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        sim.partitions
            .push(NetworkPartition { peers: true, ..store_partition(leader, now_ms, 60_000) });
        sim.schedule_store_outage(now_ms + 2_000, 58_000);
        let authority = |sim: &Simulation| {
            sim.controllers[leader].as_ref().and_then(Controller::answer_authority)
        };
        sim.run_until(now_ms + 18_000);
        assert_eq!(
            authority(&sim),
            Some(AnswerAuthority::OwnReads),
            "it may rely on its last read for 19 s"
        );
        sim.run_until(now_ms + 21_000);
        assert_eq!(authority(&sim), Some(AnswerAuthority::Lost));
        sim.run_until(now_ms + 200_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        assert_eq!(cancellations_told(&sim, now_ms, now_ms + 200_000), 24);
    }
}

/// As above, with crashes of the other controllers before or during the outage, or with a second controller cut off from
/// the state service or from its peers.
#[test]
fn confirmed_cancellations_end_in_time_with_crashes_and_further_partitions() {
    let mut confirmed = 0;
    for seed in 0..24u64 {
        let BusyCluster { simulation: mut sim, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        let mut rng = StdRng::seed_from_u64(seed);
        let other = |n: usize| (leader + 1 + n) % 3;
        sim.restart_delay_ms = Some([100, 1_000, 4_000][seed as usize % 3]);
        sim.partitions.push(store_partition(leader, now_ms, rng.random_range(1_500..20_000)));
        let outage_delay_ms = rng.random_range(800..2_200);
        sim.schedule_store_outage(now_ms + outage_delay_ms, 59_000);
        for n in 0..2 {
            match rng.random_range(0..4) {
                0 => sim.schedule_crash(now_ms + rng.random_range(300..outage_delay_ms), other(n)),
                1 => {
                    sim.schedule_crash(now_ms + rng.random_range(outage_delay_ms..20_000), other(n))
                }
                2 => sim.partitions.push(store_partition(
                    other(n),
                    now_ms + rng.random_range(0..outage_delay_ms),
                    3_000,
                )),
                _ => {
                    let partition = store_partition(
                        other(n),
                        now_ms + rng.random_range(0..outage_delay_ms),
                        30_000,
                    );
                    sim.partitions.push(NetworkPartition {
                        peers: true,
                        store: false,
                        ..partition
                    });
                }
            }
        }
        sim.run_until(now_ms + outage_delay_ms);
        confirmed += cancellations_told(&sim, now_ms, now_ms + outage_delay_ms);
        sim.run_until(now_ms + 250_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
    }
    assert!(confirmed >= 30, "{confirmed} cancellations were confirmed before the outage");
}

/// Controllers cut off from each other must not tell a user that a job is cancelled while any of its tasks is on a
/// machine: only the job's final record, which the leader writes once no task is left, needs no confirmation by others.
#[test]
fn a_cancellation_known_to_one_controller_is_not_confirmed_while_tasks_run() {
    let BusyCluster { simulation: mut sim, leader, now_ms } =
        BusyCluster::run_until_busy(3, &LONG_JOBS);
    for n in 0..3 {
        sim.partitions.push(NetworkPartition {
            peers: true,
            store: false,
            ..store_partition(n, now_ms, 20_000)
        });
    }
    for step in 1..200 {
        sim.run_until(now_ms + step * 100);
        for job in sim.jobs.iter().filter(|j| j.cancellation_told_at.is_some()) {
            let workers = sim.cluster.workers.values().filter(|w| !w.is_terminated);
            let mut tasks = workers.flat_map(|w| &w.tasks).filter(|t| t.is_on_machine());
            let is_of_job = |t: &swiftsail_simulation::worker::WorkerTask| {
                t.name.split('/').next() == Some(&job.id)
            };
            assert!(
                !tasks.any(is_of_job),
                "{} was reported as cancelled while a task is on a machine",
                job.id
            );
        }
    }
    assert_eq!(cancellations_told(&sim, now_ms, now_ms + 20_000), 24);
    assert_eq!(leader_index(&sim), Some(leader));
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

#[test]
fn replica_and_endorsement_quorums_intersect() {
    for n in 1..=9 {
        assert!(replicas_needed(n) + endorsements_needed(n) > n, "{n} controllers");
        assert!(replicas_needed(n) <= n && 2 * endorsements_needed(n) > n);
    }
    assert_eq!((replicas_needed(1), replicas_needed(2), replicas_needed(3)), (1, 1, 2));
}

/// A heartbeat of an earlier version says nothing of the cancellations that its sender has recorded. It must count
/// neither as a replica of a cancellation nor as an endorsement, and a leader of such a version is not endorsed.
#[test]
fn heartbeats_of_an_earlier_version_endorse_nothing() {
    let mut quorum = CancellationQuorum::default();
    quorum.on_store_read(10);
    let old = Heartbeat {
        controller: "n1".into(),
        fencing_token: 5,
        since_store_response_ms: 60_000,
        ..Heartbeat::default()
    };
    let progress = LeaderProgress { token: 9, read_revision: 50, endorsements_from: 0 };
    quorum.fill_heartbeat(&mut Heartbeat::default(), 1_000);
    quorum.on_heartbeat("n0", 7, &old, Some(progress));
    assert_eq!(quorum.known_as_of(Some(400), 0, 2, 2_000), Some(400));
    quorum.record_cancellation(&JobId::from(JOB), 60, 0);
    assert!(!quorum.is_replicated(JOB, 60, 3), "two of three must have recorded it");

    let mut now = Now { monotonic: START_MS, wall_clock: START_MS };
    let mut controller = Controller::new(controller_settings(1), 1, now);
    for _ in 0..60 {
        now.monotonic += 100;
        for action in controller.take_actions() {
            if let Action::CallStore(id, _) = action {
                controller.handle(Event::StoreResponse(id, StoreOutcome::Unavailable), now);
            }
        }
        controller.handle(Event::Tick, now);
    }
    let old = Heartbeat { controller: "n0".into(), is_leader: true, ..old };
    for (incarnation, endorses) in [(0, false), (3, true)] {
        controller
            .handle(Event::Heartbeat(Heartbeat { incarnation, sequence: 1, ..old.clone() }), now);
        assert_eq!(
            controller.build_heartbeat(true).since_store_response_ms > 5_000,
            endorses,
            "incarnation {incarnation}"
        );
    }
}

/// Whatever number of cancellations heartbeats carry, the number recorded stays bounded, and a heartbeat with more of
/// them than a controller can record is not acknowledged.
#[test]
fn pending_cancellations_from_heartbeats_are_bounded() {
    let names = (0..100_000).map(|n| (format!("wk-{n}"), n + 1, 0));
    let cancellations: Vec<(String, u64, u64)> = names.chain([("no id".into(), 1, 0)]).collect();
    for has_read_store in [false, true] {
        let mut quorum = CancellationQuorum::default();
        if has_read_store {
            quorum.on_store_read(0);
        }
        for (number, from) in (1..).zip((0..cancellations.len()).step_by(300)) {
            let cancelled = cancellations[from..(from + 300).min(cancellations.len())].to_vec();
            let heartbeat = Heartbeat {
                controller: "n1".into(),
                incarnation: 3,
                sequence: number,
                pending_cancellations: cancelled,
                ..Heartbeat::default()
            };
            quorum.on_heartbeat("n0", 7, &heartbeat, None);
            assert!(quorum.pending().count() <= MAX_PENDING_CANCELLATIONS);
        }
        let heartbeat = Heartbeat {
            controller: "n2".into(),
            incarnation: 4,
            sequence: 1,
            pending_cancellations: cancellations.clone(),
            ..Heartbeat::default()
        };
        quorum.on_heartbeat("n0", 7, &heartbeat, None);
        assert!(quorum.pending().count() <= MAX_PENDING_CANCELLATIONS);
        let mut own_heartbeat = Heartbeat::default();
        quorum.fill_heartbeat(&mut own_heartbeat, 1_000);
        assert!(
            own_heartbeat.acknowledged_heartbeats.iter().all(|(controller, ..)| controller != "n2"),
            "not all of it was recorded"
        );
        assert_eq!(
            own_heartbeat.acknowledged_heartbeats.iter().any(|t| t.0 == "n1" && t.2 > 300),
            has_read_store
        );
        assert!(
            has_read_store || own_heartbeat.required_leader_revision.is_none(),
            "without a read it endorses nobody"
        );
    }
}

// ---- every order of steps ----------------------------------------------------------------------

/// A safeguard that the model leaves out, to show that the model checker then finds a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RemovedGuard {
    None,
    /// Heartbeats carry no cancellations.
    CancellationNotes,
    /// The controller that commits a cancellation tells the user without confirmation by others.
    CancellationQuorum,
    /// A restarted process endorses the leader as if it had read the state service.
    ReadBeforeEndorsing,
    /// An endorsement counts from when it is received, not from when the heartbeat that it acknowledges was sent.
    FreshEndorsement,
    /// A leader that has not read up to the required revision goes on answering.
    ReplicationFloor,
}

/// A heartbeat in flight: sender, receiver and message.
#[derive(Debug, Clone, PartialEq)]
struct HeartbeatInFlight(usize, usize, Heartbeat);

#[derive(Debug, Clone, Copy, PartialEq)]
enum CancellationStep {
    Cancel(usize),
    PollStatus(usize),
    TellUser(usize),
    ExchangeHeartbeats(usize, usize),
    SendHeartbeat(usize, usize),
    Deliver(usize),
    Crash(usize),
    Read,
    PartitionLeader,
    Outage,
}

/// Three controllers, the first of which leads, and one job. Time advances when the user is told of the cancellation.
#[derive(Clone)]
struct CancellationModel {
    removed_guard: RemovedGuard,
    store: u64,
    cancelled: Option<u64>,
    store_reachable: [bool; 3],
    cancellation_quorums: [CancellationQuorum; 3],
    incarnations: [u64; 3],
    knows_cancellation: [bool; 3],
    heartbeats_in_flight: Vec<HeartbeatInFlight>,
    leader_read: (u64, u64),
    cancellation_told_at: Option<u64>,
    leader_knows: bool,
    now: u64,
    crashes: u8,
}

impl Hash for CancellationModel {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        let in_flight = format!("{:?}", self.heartbeats_in_flight);
        (
            &self.cancellation_quorums,
            &self.incarnations,
            self.knows_cancellation,
            self.store,
            self.cancelled,
        )
            .hash(state);
        (
            self.store_reachable,
            self.leader_read,
            self.cancellation_told_at,
            self.leader_knows,
            self.now,
            in_flight,
        )
            .hash(state);
    }
}

impl CancellationModel {
    fn new(removed_guard: RemovedGuard) -> CancellationModel {
        let mut model = CancellationModel {
            removed_guard,
            store: 10,
            cancelled: None,
            store_reachable: [true; 3],
            cancellation_quorums: Default::default(),
            incarnations: [1, 2, 3],
            knows_cancellation: [false; 3],
            heartbeats_in_flight: Vec::new(),
            leader_read: (10, 0),
            cancellation_told_at: None,
            leader_knows: false,
            now: 1,
            crashes: 0,
        };
        for quorum in &mut model.cancellation_quorums {
            quorum.on_store_read(10);
        }
        // All controllers have exchanged heartbeats.
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            model.exchange_heartbeats(a, b);
        }
        model
    }

    fn build_heartbeat(&mut self, n: usize) -> Heartbeat {
        let mut heartbeat = Heartbeat {
            controller: format!("n{n}"),
            incarnation: self.incarnations[n],
            fencing_token: 1,
            since_store_response_ms: 60_000,
            ..Heartbeat::default()
        };
        self.cancellation_quorums[n].fill_heartbeat(&mut heartbeat, self.now);
        if self.removed_guard == RemovedGuard::CancellationNotes {
            heartbeat.pending_cancellations.clear();
        }
        heartbeat
    }

    fn receive_heartbeat(&mut self, to: usize, heartbeat: &Heartbeat) {
        let mut heartbeat = heartbeat.clone();
        let read_revision = if self.removed_guard == RemovedGuard::ReplicationFloor {
            u64::MAX
        } else {
            self.leader_read.0
        };
        let progress =
            (to == 0).then_some(LeaderProgress { token: 1, read_revision, endorsements_from: 0 });
        if self.removed_guard == RemovedGuard::FreshEndorsement && to == 0 {
            // As if the heartbeat acknowledged the leader's latest one.
            let sequence = self.build_heartbeat(0).sequence;
            heartbeat.acknowledged_heartbeats = vec![("n0".into(), self.incarnations[0], sequence)];
        }
        let outcome = self.cancellation_quorums[to].on_heartbeat(
            &format!("n{to}"),
            self.incarnations[to],
            &heartbeat,
            progress,
        );
        if to == 0 {
            self.leader_knows |= !outcome.cancelled.is_empty();
        }
    }

    /// A heartbeat and the heartbeat that answers it.
    fn exchange_heartbeats(&mut self, from: usize, to: usize) {
        let heartbeat = self.build_heartbeat(from);
        self.receive_heartbeat(to, &heartbeat);
        let answer = self.build_heartbeat(to);
        self.receive_heartbeat(from, &answer);
    }

    fn read_store_after_restart(&mut self, n: usize) {
        if self.store_reachable[n] || self.removed_guard == RemovedGuard::ReadBeforeEndorsing {
            self.cancellation_quorums[n].on_store_read(if self.store_reachable[n] {
                self.store
            } else {
                0
            });
        }
    }
}

impl Model for CancellationModel {
    type Step = CancellationStep;

    fn enabled_steps(&self) -> Vec<CancellationStep> {
        let mut steps = Vec::new();
        if self.cancelled.is_none() && self.store_reachable[1] {
            steps.push(CancellationStep::Cancel(1));
        }
        for n in 1..3 {
            if self.store_reachable[n] && self.cancelled.is_some() && !self.knows_cancellation[n] {
                steps.push(CancellationStep::PollStatus(n));
            }
            if self.knows_cancellation[n] && self.cancellation_told_at.is_none() {
                steps.push(CancellationStep::TellUser(n));
            }
            if self.crashes < 1 {
                steps.push(CancellationStep::Crash(n));
            }
            steps.push(CancellationStep::ExchangeHeartbeats(0, n));
            if self.heartbeats_in_flight.is_empty() {
                steps.push(CancellationStep::SendHeartbeat(n, 0));
            }
        }
        steps.push(CancellationStep::ExchangeHeartbeats(1, 2));
        steps.extend((0..self.heartbeats_in_flight.len()).map(CancellationStep::Deliver));
        if self.store_reachable[0] {
            steps.extend([CancellationStep::PartitionLeader, CancellationStep::Read]);
        }
        if self.store_reachable[1] {
            steps.push(CancellationStep::Outage);
        }
        steps
    }

    fn apply(&mut self, step: &CancellationStep) {
        match *step {
            CancellationStep::Cancel(n) | CancellationStep::PollStatus(n) => {
                if self.cancelled.is_none() {
                    self.store += 1;
                    self.cancelled = Some(self.store);
                }
                let revision = self.cancelled.expect("just cancelled");
                self.knows_cancellation[n] = self.cancellation_quorums[n].record_cancellation(
                    &JobId::from(JOB),
                    revision,
                    0,
                );
            }
            CancellationStep::TellUser(n) => {
                let revision = self.cancelled.expect("seen");
                let is_confirmed = self.cancellation_quorums[n].is_replicated(JOB, revision, 3);
                if is_confirmed || self.removed_guard == RemovedGuard::CancellationQuorum {
                    self.cancellation_told_at = Some(self.now);
                    self.now += 1;
                }
            }
            CancellationStep::ExchangeHeartbeats(from, to) => self.exchange_heartbeats(from, to),
            CancellationStep::SendHeartbeat(from, to) => {
                let heartbeat = self.build_heartbeat(from);
                self.heartbeats_in_flight.push(HeartbeatInFlight(from, to, heartbeat));
            }
            CancellationStep::Deliver(n) => {
                let HeartbeatInFlight(_, to, heartbeat) = self.heartbeats_in_flight.remove(n);
                self.receive_heartbeat(to, &heartbeat);
            }
            CancellationStep::Crash(n) => {
                self.crashes += 1;
                self.cancellation_quorums[n] = CancellationQuorum::default();
                self.incarnations[n] += 10;
                self.knows_cancellation[n] = false;
                self.read_store_after_restart(n);
            }
            CancellationStep::Read => {
                self.leader_read = (self.store, self.now);
                self.leader_knows |= self.cancelled.is_some();
                self.cancellation_quorums[0].advance_required_revision(self.store);
            }
            CancellationStep::PartitionLeader => self.store_reachable[0] = false,
            CancellationStep::Outage => self.store_reachable = [false; 3],
        }
    }

    fn violation(&self) -> Option<String> {
        let known =
            self.cancellation_quorums[0].known_as_of(Some(self.leader_read.1), 0, 3, self.now)?;
        let told = self.cancellation_told_at?;
        (told < known && !self.leader_knows)
            .then(|| "the leader answers without knowing a confirmed cancellation".into())
    }
}

fn check_cancellation_model(
    removed_guard: RemovedGuard,
    depth: usize,
) -> CheckResult<CancellationStep> {
    check_model(CancellationModel::new(removed_guard), depth, 600_000)
}

#[test]
fn an_answering_leader_knows_every_confirmed_cancellation_in_every_order_of_steps() {
    let result = check_cancellation_model(RemovedGuard::None, 7);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(result.is_exhaustive && result.states > 20_000, "{} states", result.states);
}

/// Without any one of the safeguards the model checker finds a violation.
#[test]
fn each_safeguard_is_needed_for_an_answering_leader_to_know_confirmed_cancellations() {
    let mut shortest = BTreeSet::new();
    for removed_guard in [
        RemovedGuard::CancellationNotes,
        RemovedGuard::CancellationQuorum,
        RemovedGuard::ReadBeforeEndorsing,
        RemovedGuard::FreshEndorsement,
        RemovedGuard::ReplicationFloor,
    ] {
        let result = check_cancellation_model(removed_guard, 9);
        let (_, history) =
            result.violation.unwrap_or_else(|| panic!("{removed_guard:?} is not found"));
        shortest.insert(history.len());
    }
    assert!(shortest.len() > 1, "the histories differ");
}

// ---- two concurrent faults at random -----------------------------------------------------------

/// Injects a fault of this kind that starts at `at`, ms from the start.
fn inject_fault(sim: &mut Simulation, kind: usize, at: u64, rng: &mut StdRng) {
    let controller = match leader_index(sim).filter(|_| rng.random_bool(0.6)) {
        Some(leads) => leads,
        None => rng.random_range(0..3),
    };
    let for_ms = rng.random_range(1_000..45_000);
    let partition = NetworkPartition {
        holds_messages: rng.random_bool(0.3),
        ..NetworkPartition::of(controller, at, for_ms)
    };
    match kind {
        0 => sim.partitions.push(NetworkPartition { store: true, ..partition }),
        1 => sim.partitions.push(NetworkPartition { store: true, peers: true, ..partition }),
        2 => sim.partitions.push(NetworkPartition { peers: true, ..partition }),
        3 => sim.partitions.push(NetworkPartition { workers: true, ..partition }),
        4 => sim.schedule_store_outage(at, for_ms + 15_000),
        5 => sim.schedule_crash(at, controller),
        6 => (0..3).for_each(|n| sim.schedule_crash(at + rng.random_range(0..1_500), n)),
        7 => sim.schedule_pause(at, controller, for_ms.min(25_000)),
        8 => {
            let zone = Some(["a", "b", "c"][rng.random_range(0..3)].to_string());
            let delivers_every = rng.random_range(0..4);
            let from_ms = at;
            sim.inbound_failures.push(InboundFailure {
                from_ms,
                for_ms,
                zone,
                machines: vec![],
                delivers_every,
            });
        }
        9 => {
            sim.cluster.hang_machines(rng.random_range(1..8), for_ms.min(25_000), sim.now);
        }
        10 => {
            for name in sim.running_machines().into_iter().take(3) {
                sim.schedule_worker_restart(at, &name);
            }
        }
        11 => sim.schedule_store_slowdown(at, for_ms),
        _ => sim.duplicate_reports = Some((0.1, 40_000)),
    }
}

/// Runs a simulation in which two or three faults overlap, twice, while users cancel and poll jobs.
fn run_with_two_faults(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let fault_rate = [0.0, 0.01, 0.03][seed as usize % 3];
    let mut sim = Simulation::new(
        seed,
        FaultRates {
            message_loss: fault_rate,
            message_delay: fault_rate,
            crashes: 0,
            outages_and_hangs: 0,
        },
        160_000,
    );
    sim.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
    if rng.random_bool(0.3) {
        sim.memory_mb = 0.2;
    }
    for n in 0..14u64 {
        let cancel = rng.random_bool(0.6).then(|| rng.random_range(30_000..120_000));
        let run_time_s = [8.0, 40.0, 120.0][rng.random_range(0..3)];
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (crew, tasks) = [("red", 6), ("blue", 3)][rng.random_range(0..2)];
        let cancel = cancel.or((shape == "service").then_some(150_000));
        sim.submit(
            500 + n * 5_000,
            cancel,
            job_body(&format!("wk-{n}"), shape, crew, tasks, 2.0, run_time_s),
        );
    }
    for at in [40_000, 95_000] {
        sim.run_until(at);
        let fault_count = 2 + usize::from(rng.random_bool(0.3));
        for _ in 0..fault_count {
            let (kind, after) = (rng.random_range(0..13), rng.random_range(0..3_000));
            inject_fault(&mut sim, kind, at + after, &mut rng);
        }
    }
    sim.faults_end_ms = Some(200_000);
    sim.run_until(420_000);
    sim
}

/// Whichever faults overlap, no invariant is violated, and in the end every job is over.
#[test]
fn random_runs_with_two_concurrent_faults_violate_no_invariant() {
    let mut told = 0;
    for seed in seeds_from_environment("MEETINGS").unwrap_or(0..48) {
        let sim = run_with_two_faults(seed);
        assert_completed_without_violations(&sim, &format!("seed {seed}"));
        told += sim.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
    }
    assert!(told > 0);
}

/// A restarted worker counts sessions and sequence numbers from the start. Delayed reports from before the restart have
/// higher numbers, and were once taken as current: as proof that tasks started since were gone.
#[test]
fn reports_from_before_a_worker_restart_are_not_taken_as_current() {
    let (mut cluster_state, now) = (ClusterState::new(9, 1, 1_000), 2_000);
    let report = |session, sequence, fencing_token| StatusReport {
        machine: "m-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "s4".into(),
        zone: "a".into(),
        session,
        sequence,
        fencing_token,
        spot: false,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    cluster_state.on_status_report(&report(1, 60, 8), ReportSource::StatusReport, now, &[]);
    cluster_state.on_status_report(&report(1, 61, 9), ReportSource::StatusReport, now, &[]);
    let id = MachineId::from("m-1");
    assert!(cluster_state.machines[&id].may_receive_work());
    // A report that shows an older fencing token than the worker has is recognized as stale despite its higher session.
    cluster_state.on_status_report(&report(2, 5, 8), ReportSource::StatusReport, now, &[]);
    assert_eq!(cluster_state.machines[&id].last_message, MessageOrder { session: 1, sequence: 61 });
    // Delayed messages from before a restart that carry the current token cannot be told from later ones, so the machine
    // gets no more work.
    cluster_state.machines.get_mut(&id).expect("known").probe_baseline =
        Some(MessageOrder { session: 1, sequence: 61 });
    cluster_state.on_probed(&id, ProbeOutcome::Answered, Some(&report(1, 3, 9)), now);
    assert!(!cluster_state.machines[&id].may_receive_work(), "it is drained and returned");
}
