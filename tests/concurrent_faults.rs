//! Two troubles at once: what a leader must know that the state service refuses, on the real cores against the
//! stand-in, and every order of steps of a small world of what controllers hold for each other.

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

/// All are cancelled within some seconds of the 41st.
const LONG_JOBS: LongJobs = LongJobs {
    id_prefix: "wk-a",
    run_time_s: 150.0,
    first_cancel_ms: 40_500,
    cancel_interval_ms: 150,
};

const JOB: &str = "wk-000001";

fn store_partition(node: usize, from_ms: u64, for_ms: u64) -> NetworkPartition {
    NetworkPartition { store: true, ..NetworkPartition::of(node, from_ms, for_ms) }
}

/// Jobs whose users were told between these times.
fn cancellations_told(world: &Simulation, from_ms: u64, to_ms: u64) -> usize {
    let times = world.jobs.iter().filter_map(|j| j.cancellation_told_at);
    times.filter(|at| (START_MS + from_ms..START_MS + to_ms).contains(at)).count()
}

/// The state service refuses the leader alone, another controller confirms cancellations, then it is away for
/// all for longer than `cancel_s` while workers report to the old leader.
#[test]
fn what_others_confirmed_ends_in_time_though_the_leader_cannot_read_it() {
    let mut met = 0;
    for seed in 0..6 {
        let BusyCluster { simulation: mut world, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        world.partitions.push(store_partition(leader, now_ms, 14_000));
        world.schedule_store_outage(now_ms + 2_000, 59_000);
        world.run_until(now_ms + 2_000);
        let before = cancellations_told(&world, now_ms, now_ms + 2_000);
        met += before;
        assert_eq!(leader_index(&world), Some(leader), "its grant has not ended yet");
        world.run_until(now_ms + 60_000);
        let voice = world.controllers[leader].as_ref().and_then(Controller::answer_authority);
        assert_eq!(
            voice,
            Some(AnswerAuthority::Endorsed),
            "it has not read for longer than a leader may go on"
        );
        let killed = tasks_killed(&world);
        assert_eq!(killed, 0, "seed {seed}: with a majority's word no lease ends");
        world.run_until(now_ms + 200_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
    assert!(met >= 20, "{met} cancellations were confirmed in the gap");
}

/// Cut off from the state service and the others, with its workers, and then it is away for all: the leader answers
/// until what it read is too old, and no longer; what others confirmed ends in time.
#[test]
fn a_leader_that_learns_nothing_falls_silent() {
    for seed in 0..4 {
        let BusyCluster { simulation: mut world, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        world
            .partitions
            .push(NetworkPartition { peers: true, ..store_partition(leader, now_ms, 60_000) });
        world.schedule_store_outage(now_ms + 2_000, 58_000);
        let voice = |world: &Simulation| {
            world.controllers[leader].as_ref().and_then(Controller::answer_authority)
        };
        world.run_until(now_ms + 18_000);
        assert_eq!(voice(&world), Some(AnswerAuthority::OwnReads), "19 s are left to it");
        world.run_until(now_ms + 21_000);
        assert_eq!(voice(&world), Some(AnswerAuthority::Lost));
        world.run_until(now_ms + 200_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(cancellations_told(&world, now_ms, now_ms + 200_000), 24);
    }
}

/// The same with a crash of the one that confirmed, of the other, or of both, once or again, before the outage
/// or in it; and with the refusal of two.
#[test]
fn the_gap_holds_with_crashes_and_second_refusals() {
    let mut met = 0;
    for seed in 0..24u64 {
        let BusyCluster { simulation: mut world, leader, now_ms } =
            BusyCluster::run_until_busy(seed, &LONG_JOBS);
        let mut rng = StdRng::seed_from_u64(seed);
        let other = |n: usize| (leader + 1 + n) % 3;
        world.restart_delay_ms = Some([100, 1_000, 4_000][seed as usize % 3]);
        world.partitions.push(store_partition(leader, now_ms, rng.random_range(1_500..20_000)));
        let gap = rng.random_range(800..2_200);
        world.schedule_store_outage(now_ms + gap, 59_000);
        for n in 0..2 {
            match rng.random_range(0..4) {
                0 => world.schedule_crash(now_ms + rng.random_range(300..gap), other(n)),
                1 => world.schedule_crash(now_ms + rng.random_range(gap..20_000), other(n)),
                2 => world.partitions.push(store_partition(
                    other(n),
                    now_ms + rng.random_range(0..gap),
                    3_000,
                )),
                _ => {
                    let cut = store_partition(other(n), now_ms + rng.random_range(0..gap), 30_000);
                    world.partitions.push(NetworkPartition { peers: true, store: false, ..cut });
                }
            }
        }
        world.run_until(now_ms + gap);
        met += cancellations_told(&world, now_ms, now_ms + gap);
        world.run_until(now_ms + 250_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
    assert!(met >= 30, "{met} cancellations were confirmed in the gap");
}

/// Controllers that hear no other tell no user that a job is cancelled while any of its tasks is on a machine: only
/// the job's last record, which the leader writes when nothing is left, needs no other's word.
#[test]
fn nobody_is_told_of_a_cancellation_that_one_controller_holds_alone() {
    let BusyCluster { simulation: mut world, leader, now_ms } =
        BusyCluster::run_until_busy(3, &LONG_JOBS);
    for n in 0..3 {
        world.partitions.push(NetworkPartition {
            peers: true,
            store: false,
            ..store_partition(n, now_ms, 20_000)
        });
    }
    for step in 1..200 {
        world.run_until(now_ms + step * 100);
        for job in world.jobs.iter().filter(|j| j.cancellation_told_at.is_some()) {
            let workers = world.cluster.workers.values().filter(|w| !w.is_terminated);
            let mut tasks = workers.flat_map(|w| &w.tasks).filter(|t| t.is_on_machine());
            let its = |t: &swiftsail_simulation::worker::WorkerTask| {
                t.name.split('/').next() == Some(&job.id)
            };
            assert!(!tasks.any(its), "{} was told of and is there", job.id);
        }
    }
    assert_eq!(cancellations_told(&world, now_ms, now_ms + 20_000), 24);
    assert_eq!(leader_index(&world), Some(leader));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn those_that_hold_and_those_that_vouch_meet() {
    for n in 1..=9 {
        assert!(replicas_needed(n) + endorsements_needed(n) > n, "{n} controllers");
        assert!(replicas_needed(n) <= n && 2 * endorsements_needed(n) > n);
    }
    assert_eq!((replicas_needed(1), replicas_needed(2), replicas_needed(3)), (1, 1, 2));
}

/// A heartbeat of an earlier version says nothing of what its sender holds: it counts for no user and no leader, and a
/// leader that goes by such words is given none.
#[test]
fn an_earlier_versions_heartbeat_says_nothing() {
    let mut held = CancellationQuorum::default();
    held.on_store_read(10);
    let old = Heartbeat {
        controller: "n1".into(),
        fencing_token: 5,
        since_store_response_ms: 60_000,
        ..Heartbeat::default()
    };
    let lead = LeaderProgress { token: 9, read_revision: 50, endorsements_from: 0 };
    held.fill_heartbeat(&mut Heartbeat::default(), 1_000);
    held.on_heartbeat("n0", 7, &old, Some(lead));
    assert_eq!(held.known_as_of(Some(400), 0, 2, 2_000), Some(400));
    held.record_cancellation(&JobId::from(JOB), 60, 0);
    assert!(!held.is_replicated(JOB, 60, 3), "two of three must hold it");

    let mut now = Now { monotonic: START_MS, wall_clock: START_MS };
    let mut node = Controller::new(controller_settings(1), 1, now);
    for _ in 0..60 {
        now.monotonic += 100;
        for action in node.take_actions() {
            if let Action::CallStore(id, _) = action {
                node.handle(Event::StoreResponse(id, StoreOutcome::Unavailable), now);
            }
        }
        node.handle(Event::Tick, now);
    }
    let old = Heartbeat { controller: "n0".into(), is_leader: true, ..old };
    for (process, vouches) in [(0, false), (3, true)] {
        node.handle(
            Event::Heartbeat(Heartbeat { incarnation: process, sequence: 1, ..old.clone() }),
            now,
        );
        assert_eq!(
            node.build_heartbeat(true).since_store_response_ms > 5_000,
            vouches,
            "process {process}"
        );
    }
}

/// Whatever a heartbeat names, in whatever numbers: what is held stays bounded, and one that names more than a
/// controller holds is not acknowledged as if all of it were held.
#[test]
fn heartbeats_that_name_very_much_are_bounded() {
    let names = (0..100_000).map(|n| (format!("wk-{n}"), n + 1, 0));
    let many: Vec<(String, u64, u64)> = names.chain([("no id".into(), 1, 0)]).collect();
    for opened in [false, true] {
        let mut held = CancellationQuorum::default();
        if opened {
            held.on_store_read(0);
        }
        for (number, from) in (1..).zip((0..many.len()).step_by(300)) {
            let cancelled = many[from..(from + 300).min(many.len())].to_vec();
            let beat = Heartbeat {
                controller: "n1".into(),
                incarnation: 3,
                sequence: number,
                pending_cancellations: cancelled,
                ..Heartbeat::default()
            };
            held.on_heartbeat("n0", 7, &beat, None);
            assert!(held.pending().count() <= MAX_PENDING_CANCELLATIONS);
        }
        let beat = Heartbeat {
            controller: "n2".into(),
            incarnation: 4,
            sequence: 1,
            pending_cancellations: many.clone(),
            ..Heartbeat::default()
        };
        held.on_heartbeat("n0", 7, &beat, None);
        assert!(held.pending().count() <= MAX_PENDING_CANCELLATIONS);
        let mut ours = Heartbeat::default();
        held.fill_heartbeat(&mut ours, 1_000);
        assert!(
            ours.acknowledged_heartbeats.iter().all(|(node, ..)| node != "n2"),
            "not all of it is held"
        );
        assert_eq!(ours.acknowledged_heartbeats.iter().any(|t| t.0 == "n1" && t.2 > 300), opened);
        assert!(
            opened || ours.required_leader_revision.is_none(),
            "it has read nothing, and vouches for nobody"
        );
    }
}

// ---- every order of steps ----------------------------------------------------------------------

/// What is left out of the small world to see that the explorer finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RemovedGuard {
    None,
    /// Heartbeats carry no cancellations.
    CancellationNotes,
    /// Users are told by whoever commits, alone.
    CancellationQuorum,
    /// A process that begins anew vouches as if it had read the state service.
    ReadBeforeEndorsing,
    /// A word counts as given when it is heard.
    FreshEndorsement,
    /// A leader that has not read up to a floor goes on all the same.
    ReplicationFloor,
}

/// A heartbeat under way: from, to, which process it was sent to, and it.
#[derive(Debug, Clone, PartialEq)]
struct HeartbeatInFlight(usize, usize, Heartbeat);

#[derive(Debug, Clone, Copy, PartialEq)]
enum GapStep {
    Cancel(usize),
    PollStatus(usize),
    TellUser(usize),
    ExchangeHeartbeats(usize, usize),
    SendHeartbeat(usize, usize),
    Deliver(usize),
    Crash(usize),
    Read,
    Refuse,
    Outage,
}

/// Three controllers, the first of which leads, and one job. Time counts what users were told.
#[derive(Clone)]
struct CancellationModel {
    removed_guard: RemovedGuard,
    store: u64,
    cancelled: Option<u64>,
    store_reachable: [bool; 3],
    cancellation_quorums: [CancellationQuorum; 3],
    incarnations: [u64; 3],
    has_read_store: [bool; 3],
    heartbeats_in_flight: Vec<HeartbeatInFlight>,
    leader_read: (u64, u64),
    cancellation_told_at: Option<u64>,
    leader_knows: bool,
    now: u64,
    crashes: u8,
}

impl Hash for CancellationModel {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        let flying = format!("{:?}", self.heartbeats_in_flight);
        (
            &self.cancellation_quorums,
            &self.incarnations,
            self.has_read_store,
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
            flying,
        )
            .hash(state);
    }
}

impl CancellationModel {
    fn new(without: RemovedGuard) -> CancellationModel {
        let mut gap = CancellationModel {
            removed_guard: without,
            store: 10,
            cancelled: None,
            store_reachable: [true; 3],
            cancellation_quorums: Default::default(),
            incarnations: [1, 2, 3],
            has_read_store: [false; 3],
            heartbeats_in_flight: Vec::new(),
            leader_read: (10, 0),
            cancellation_told_at: None,
            leader_knows: false,
            now: 1,
            crashes: 0,
        };
        for held in &mut gap.cancellation_quorums {
            held.on_store_read(10);
        }
        // Everybody has heard everybody.
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            gap.exchange_heartbeats(a, b);
        }
        gap
    }

    fn build_heartbeat(&mut self, n: usize) -> Heartbeat {
        let mut beat = Heartbeat {
            controller: format!("n{n}"),
            incarnation: self.incarnations[n],
            fencing_token: 1,
            since_store_response_ms: 60_000,
            ..Heartbeat::default()
        };
        self.cancellation_quorums[n].fill_heartbeat(&mut beat, self.now);
        if self.removed_guard == RemovedGuard::CancellationNotes {
            beat.pending_cancellations.clear();
        }
        beat
    }

    fn receive_heartbeat(&mut self, to: usize, beat: &Heartbeat) {
        let mut beat = beat.clone();
        let read = if self.removed_guard == RemovedGuard::ReplicationFloor {
            u64::MAX
        } else {
            self.leader_read.0
        };
        let lead = (to == 0).then_some(LeaderProgress {
            token: 1,
            read_revision: read,
            endorsements_from: 0,
        });
        if self.removed_guard == RemovedGuard::FreshEndorsement && to == 0 {
            // As if it answered the latest heartbeat.
            let made = self.build_heartbeat(0).sequence;
            beat.acknowledged_heartbeats = vec![("n0".into(), self.incarnations[0], made)];
        }
        let heard = self.cancellation_quorums[to].on_heartbeat(
            &format!("n{to}"),
            self.incarnations[to],
            &beat,
            lead,
        );
        if to == 0 {
            self.leader_knows |= !heard.cancelled.is_empty();
        }
    }

    /// A question and its answer.
    fn exchange_heartbeats(&mut self, from: usize, to: usize) {
        let beat = self.build_heartbeat(from);
        self.receive_heartbeat(to, &beat);
        let answer = self.build_heartbeat(to);
        self.receive_heartbeat(from, &answer);
    }

    fn release_cancellation(&mut self, n: usize) {
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
    type Step = GapStep;

    fn enabled_steps(&self) -> Vec<GapStep> {
        let mut steps = Vec::new();
        if self.cancelled.is_none() && self.store_reachable[1] {
            steps.push(GapStep::Cancel(1));
        }
        for n in 1..3 {
            if self.store_reachable[n] && self.cancelled.is_some() && !self.has_read_store[n] {
                steps.push(GapStep::PollStatus(n));
            }
            if self.has_read_store[n] && self.cancellation_told_at.is_none() {
                steps.push(GapStep::TellUser(n));
            }
            if self.crashes < 1 {
                steps.push(GapStep::Crash(n));
            }
            steps.push(GapStep::ExchangeHeartbeats(0, n));
            if self.heartbeats_in_flight.is_empty() {
                steps.push(GapStep::SendHeartbeat(n, 0));
            }
        }
        steps.push(GapStep::ExchangeHeartbeats(1, 2));
        steps.extend((0..self.heartbeats_in_flight.len()).map(GapStep::Deliver));
        if self.store_reachable[0] {
            steps.extend([GapStep::Refuse, GapStep::Read]);
        }
        if self.store_reachable[1] {
            steps.push(GapStep::Outage);
        }
        steps
    }

    fn apply(&mut self, step: &GapStep) {
        match *step {
            GapStep::Cancel(n) | GapStep::PollStatus(n) => {
                if self.cancelled.is_none() {
                    self.store += 1;
                    self.cancelled = Some(self.store);
                }
                let revision = self.cancelled.expect("just cancelled");
                self.has_read_store[n] = self.cancellation_quorums[n].record_cancellation(
                    &JobId::from(JOB),
                    revision,
                    0,
                );
            }
            GapStep::TellUser(n) => {
                let revision = self.cancelled.expect("seen");
                let enough = self.cancellation_quorums[n].is_replicated(JOB, revision, 3);
                if enough || self.removed_guard == RemovedGuard::CancellationQuorum {
                    self.cancellation_told_at = Some(self.now);
                    self.now += 1;
                }
            }
            GapStep::ExchangeHeartbeats(from, to) => self.exchange_heartbeats(from, to),
            GapStep::SendHeartbeat(from, to) => {
                let beat = self.build_heartbeat(from);
                self.heartbeats_in_flight.push(HeartbeatInFlight(from, to, beat));
            }
            GapStep::Deliver(n) => {
                let HeartbeatInFlight(_, to, beat) = self.heartbeats_in_flight.remove(n);
                self.receive_heartbeat(to, &beat);
            }
            GapStep::Crash(n) => {
                self.crashes += 1;
                self.cancellation_quorums[n] = CancellationQuorum::default();
                self.incarnations[n] += 10;
                self.has_read_store[n] = false;
                self.release_cancellation(n);
            }
            GapStep::Read => {
                self.leader_read = (self.store, self.now);
                self.leader_knows |= self.cancelled.is_some();
                self.cancellation_quorums[0].advance_required_revision(self.store);
            }
            GapStep::Refuse => self.store_reachable[0] = false,
            GapStep::Outage => self.store_reachable = [false; 3],
        }
    }

    fn violation(&self) -> Option<String> {
        let known =
            self.cancellation_quorums[0].known_as_of(Some(self.leader_read.1), 0, 3, self.now)?;
        let told = self.cancellation_told_at?;
        (told < known && !self.leader_knows).then(|| "it answers and does not know".into())
    }
}

fn check_gap_model(without: RemovedGuard, depth: usize) -> CheckResult<GapStep> {
    check_model(CancellationModel::new(without), depth, 600_000)
}

#[test]
fn in_every_order_of_steps_a_leader_that_answers_knows_what_users_were_told() {
    let found = check_gap_model(RemovedGuard::None, 7);
    assert!(found.violation.is_none(), "{:?}", found.violation);
    assert!(found.is_exhaustive && found.states > 20_000, "{} worlds", found.states);
}

/// Each part of the condition is needed: without it the explorer finds a history that breaks it.
#[test]
fn without_any_part_of_the_condition_a_leader_goes_on_unknowing() {
    let mut shortest = BTreeSet::new();
    for without in [
        RemovedGuard::CancellationNotes,
        RemovedGuard::CancellationQuorum,
        RemovedGuard::ReadBeforeEndorsing,
        RemovedGuard::FreshEndorsement,
        RemovedGuard::ReplicationFloor,
    ] {
        let found = check_gap_model(without, 9);
        let (_, history) = found.violation.unwrap_or_else(|| panic!("{without:?} is not found"));
        shortest.insert(history.len());
    }
    assert!(shortest.len() > 1, "not the same history each time");
}

// ---- two troubles at once, at random -----------------------------------------------------------

/// A trouble that begins then, of one of those that two at a time meet.
fn inject_fault(world: &mut Simulation, kind: usize, at: u64, rng: &mut StdRng) {
    let node = match leader_index(world).filter(|_| rng.random_bool(0.6)) {
        Some(leads) => leads,
        None => rng.random_range(0..3),
    };
    let for_ms = rng.random_range(1_000..45_000);
    let cut = NetworkPartition {
        holds_messages: rng.random_bool(0.3),
        ..NetworkPartition::of(node, at, for_ms)
    };
    match kind {
        0 => world.partitions.push(NetworkPartition { store: true, ..cut }),
        1 => world.partitions.push(NetworkPartition { store: true, peers: true, ..cut }),
        2 => world.partitions.push(NetworkPartition { peers: true, ..cut }),
        3 => world.partitions.push(NetworkPartition { workers: true, ..cut }),
        4 => world.schedule_store_outage(at, for_ms + 15_000),
        5 => world.schedule_crash(at, node),
        6 => (0..3).for_each(|n| world.schedule_crash(at + rng.random_range(0..1_500), n)),
        7 => world.schedule_pause(at, node, for_ms.min(25_000)),
        8 => {
            let zone = Some(["a", "b", "c"][rng.random_range(0..3)].to_string());
            let hears_each = rng.random_range(0..4);
            let from_ms = at;
            world.inbound_failures.push(InboundFailure {
                from_ms,
                for_ms,
                zone,
                machines: vec![],
                delivers_every: hears_each,
            });
        }
        9 => {
            world.cluster.hang_machines(rng.random_range(1..8), for_ms.min(25_000), world.now);
        }
        10 => {
            for name in world.running_machines().into_iter().take(3) {
                world.schedule_worker_restart(at, &name);
            }
        }
        11 => world.schedule_store_slowdown(at, for_ms),
        _ => world.duplicate_reports = Some((0.1, 40_000)),
    }
}

/// One day on which two or three troubles meet, twice, while users cancel and ask.
fn run_with_two_faults(seed: u64) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let late = [0.0, 0.01, 0.03][seed as usize % 3];
    let mut world = Simulation::new(
        seed,
        FaultRates { message_loss: late, message_delay: late, crashes: 0, outages_and_hangs: 0 },
        160_000,
    );
    world.restart_delay_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
    if rng.random_bool(0.3) {
        world.memory_mb = 0.2;
    }
    for n in 0..14u64 {
        let cancel = rng.random_bool(0.6).then(|| rng.random_range(30_000..120_000));
        let eta = [8.0, 40.0, 120.0][rng.random_range(0..3)];
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (crew, tasks) = [("red", 6), ("blue", 3)][rng.random_range(0..2)];
        let cancel = cancel.or((shape == "service").then_some(150_000));
        world.submit(
            500 + n * 5_000,
            cancel,
            job_body(&format!("wk-{n}"), shape, crew, tasks, 2.0, eta),
        );
    }
    for at in [40_000, 95_000] {
        world.run_until(at);
        let last = 2 + usize::from(rng.random_bool(0.3));
        for _ in 0..last {
            let (kind, after) = (rng.random_range(0..13), rng.random_range(0..3_000));
            inject_fault(&mut world, kind, at + after, &mut rng);
        }
    }
    world.faults_end_ms = Some(200_000);
    world.run_until(420_000);
    world
}

/// Whatever two troubles meet: no rule is broken, and in the end every job is over.
#[test]
fn meetings_of_two_troubles_break_no_rule() {
    let mut told = 0;
    for seed in seeds_from_environment("MEETINGS").unwrap_or(0..48) {
        let world = run_with_two_faults(seed);
        assert_completed_without_violations(&world, &format!("seed {seed}"));
        told += world.jobs.iter().filter(|j| j.cancellation_told_at.is_some()).count();
    }
    assert!(told > 0);
}

/// A worker that has begun anew counts from the start: what its earlier life sent has higher numbers, and was
/// taken as news that what had been started since is gone.
#[test]
fn what_an_earlier_life_of_a_worker_sent_proves_nothing() {
    let (mut tables, now) = (ClusterState::new(9, 1, 1_000), 2_000);
    let report = |watch, tick, helm| StatusReport {
        machine: "m-1".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "s4".into(),
        zone: "a".into(),
        session: watch,
        sequence: tick,
        fencing_token: helm,
        spot: false,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    tables.on_status_report(&report(1, 60, 8), ReportSource::StatusReport, now, &[]);
    tables.on_status_report(&report(1, 61, 9), ReportSource::StatusReport, now, &[]);
    let id = MachineId::from("m-1");
    assert!(tables.machines[&id].may_receive_work());
    // Under this term's token another life's higher number is seen through by the token that it shows.
    tables.on_status_report(&report(2, 5, 8), ReportSource::StatusReport, now, &[]);
    assert_eq!(tables.machines[&id].last_message, MessageOrder { session: 1, sequence: 61 });
    // Of a life that had this term's token nothing can be told: the machine is given no more.
    tables.machines.get_mut(&id).expect("known").probe_baseline =
        Some(MessageOrder { session: 1, sequence: 61 });
    tables.on_probed(&id, ProbeOutcome::Answered, Some(&report(1, 3, 9)), now);
    assert!(!tables.machines[&id].may_receive_work(), "it is emptied and returned");
}
