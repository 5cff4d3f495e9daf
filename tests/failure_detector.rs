//! Which machines live: each kind of evidence, wrong and late evidence, and mass losses on the cores.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use swiftsail_failure_detector::constants::{MS_PER_S, REDIRECT_GRACE_MS, REPORT_JITTER_SHARE};
use swiftsail_failure_detector::{FailureDetector, Liveness, MachineObservation, ProbeOutcome};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body, submit_mixed_load};

const REPORT_S: f64 = 5.0;
const LEASE_S: f64 = 26.5;
const BEGIN: u64 = 1_000_000;

/// A cluster of machines in three zones, of which some stop reporting.
struct DetectorSimulation {
    detector: FailureDetector<u32>,
    heard: BTreeMap<u32, Option<u64>>,
    now: u64,
    asked: usize,
}

impl DetectorSimulation {
    fn new(machines: u32) -> DetectorSimulation {
        DetectorSimulation {
            detector: FailureDetector::new(BEGIN, REPORT_S, LEASE_S, 200),
            heard: (0..machines).map(|n| (n, None)).collect(),
            now: BEGIN,
            asked: 0,
        }
    }

    fn evidence(heard: Option<u64>, n: u32, reached: &[bool; 3]) -> MachineObservation<'static> {
        let zone = n as usize % 3;
        let (name, via) =
            (["a", "b", "c"][zone], [None, Some("n1"), Some("n2")][n as usize / 3 % 3]);
        MachineObservation {
            zone: name,
            reporting_controller: via,
            zone_is_reachable: reached[zone],
            last_contact_at: heard,
            has_production_work: n.is_multiple_of(2),
            probe_requested: false,
        }
    }

    /// Lets time pass. `reports` says which machines do; what is asked finds `probe`.
    fn run_detector(
        &mut self,
        ms: u64,
        reached: [bool; 3],
        reports: impl Fn(u32) -> bool,
        probe: impl Fn(u32) -> ProbeOutcome,
    ) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 500;
            let now = self.now;
            for (n, heard) in &mut self.heard {
                if reports(*n) && heard.is_none_or(|at| now >= at + 4_500 + u64::from(*n % 3) * 300)
                {
                    *heard = Some(now);
                }
            }
            let machines = self
                .heard
                .iter()
                .map(|(n, at)| (n, DetectorSimulation::evidence(*at, *n, &reached)));
            let (ask, _) = self.detector.check_machines(machines, now);
            self.asked += ask.len();
            for n in ask {
                self.detector.on_probe_outcome(&n, probe(n));
            }
        }
    }

    fn machine_states(&self) -> BTreeMap<u32, Liveness> {
        let state = |n: &u32| self.detector.get(n).map(|m| m.liveness());
        self.heard.keys().filter_map(|n| Some((*n, state(n)?))).collect()
    }

    fn machines_declared_dead(&self, reached: &[bool; 3]) -> Vec<u32> {
        let up = |(n, at): (&u32, &Option<u64>)| {
            let seen = DetectorSimulation::evidence(*at, *n, reached);
            self.detector.should_terminate(n, seen, self.now).then_some(*n)
        };
        self.heard.iter().filter_map(up).collect()
    }
}

const ALL_REACHED: [bool; 3] = [true; 3];

#[test]
fn the_dead_are_told_from_the_hung_and_the_cut_off() {
    let dead = |n: u32| n < 60;
    let mut scattered = DetectorSimulation::new(90);
    scattered.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    assert!(scattered.machine_states().values().all(|s| *s == Liveness::Alive));
    scattered.run_detector(19_000, ALL_REACHED, |n| !dead(n), |_| ProbeOutcome::NoConnection);
    let states = scattered.machine_states();
    assert!(states.iter().all(|(n, s)| (*s == Liveness::PresumedDead) == dead(*n)), "{states:?}");
    let gone = scattered.machines_declared_dead(&ALL_REACHED);
    assert_eq!(gone, (0..60).collect::<Vec<_>>(), "two thirds of the machines within 19 s");

    let mut hung = DetectorSimulation::new(90);
    hung.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    hung.run_detector(12_500, ALL_REACHED, |n| !dead(n), |_| ProbeOutcome::NoResponse);
    assert!(hung.machine_states().iter().all(|(n, s)| (*s == Liveness::PresumedHung) == dead(*n)));
    assert!(hung.machines_declared_dead(&ALL_REACHED).is_empty(), "what hangs for 15 s goes on");
    hung.run_detector(10_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    assert!(hung.machine_states().values().all(|s| *s == Liveness::Alive));

    // A whole zone is silent, its controller with it: cut off. Its controller is heard: dead.
    for (reached, expected) in
        [(false, Liveness::PresumedPartitioned), (true, Liveness::PresumedDead)]
    {
        let mut zone = DetectorSimulation::new(90);
        zone.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
        let reached = [reached, true, true];
        zone.run_detector(22_000, reached, |n| n % 3 != 0, |_| ProbeOutcome::NoConnection);
        let states = zone.machine_states();
        assert!(states.iter().all(|(n, s)| (n % 3 != 0) || *s == expected), "{states:?}");
        assert_eq!(
            zone.machines_declared_dead(&reached).is_empty(),
            expected == Liveness::PresumedPartitioned
        );
    }
}

/// Incident: when a cut of 47 s ended, the first machines heard broke the pattern, and those heard a moment
/// later were returned, since their probes had failed for as long.
#[test]
fn the_end_of_a_cut_gives_the_others_time_to_report() {
    let mut zone = DetectorSimulation::new(90);
    zone.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    zone.run_detector(40_000, [false, true, true], |n| n % 3 != 0, |_| ProbeOutcome::NoConnection);
    zone.run_detector(
        3_000,
        ALL_REACHED,
        |n| n % 3 != 0 || n < 9,
        |n| match n % 3 == 0 {
            true => ProbeOutcome::NoConnection,
            false => ProbeOutcome::Answered,
        },
    );
    assert!(zone.machines_declared_dead(&ALL_REACHED).is_empty());
    zone.run_detector(2_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    assert!(zone.machine_states().values().all(|s| *s == Liveness::Alive));
}

/// A controller ended: all whom it heard are silent until they find another.
#[test]
fn workers_of_a_controller_that_ended_are_not_given_up() {
    let mut cluster = DetectorSimulation::new(90);
    cluster.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    let moving = |n: u32| n / 3 % 3 == 1;
    cluster.run_detector(11_000, ALL_REACHED, |n| !moving(n), |_| ProbeOutcome::NoConnection);
    assert!(cluster.machines_declared_dead(&ALL_REACHED).is_empty());
    assert!(
        cluster
            .machine_states()
            .iter()
            .all(|(n, s)| (*s == Liveness::PresumedPartitioned) == moving(*n))
    );
}

/// A new leader: half of the machines are dead, the others need some seconds to find it.
#[test]
fn a_new_leader_finds_the_dead_within_seconds_and_returns_nobody_alive() {
    let mut cluster = DetectorSimulation::new(1_000);
    let dead = |n: u32| n.is_multiple_of(2);
    let probe = |n: u32| if dead(n) { ProbeOutcome::NoConnection } else { ProbeOutcome::Answered };
    cluster.run_detector(4_500, ALL_REACHED, |_| false, probe);
    assert!(cluster.machines_declared_dead(&ALL_REACHED).is_empty(), "nobody is late yet");
    cluster.run_detector(9_500, ALL_REACHED, |n| !dead(n), probe);
    let gone = cluster.machines_declared_dead(&ALL_REACHED);
    assert!(gone.iter().all(|n| dead(*n)));
    assert!(gone.len() >= 250, "{} of 500 dead within 14 s", gone.len());
    // Two probes each, early ones for the living, and no more.
    assert!(cluster.asked <= 4 * 1_000, "{} probes", cluster.asked);
}

/// Incident: the leader lost its workers for 37 s. They were relayed once, sent to the leader again, and
/// came back ten seconds later, by when nine of them had been returned alive.
#[test]
fn a_worker_on_a_detour_is_not_given_up() {
    let mut cluster = DetectorSimulation::new(90);
    cluster.run_detector(20_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
    for _ in 0..4 {
        cluster.run_detector(
            7_500,
            ALL_REACHED,
            |n| !n.is_multiple_of(4),
            |_| ProbeOutcome::NoConnection,
        );
        assert!(cluster.machines_declared_dead(&ALL_REACHED).is_empty());
        cluster.run_detector(500, ALL_REACHED, |_| true, |_| ProbeOutcome::NoConnection);
    }
}

/// Whatever the evidence: a machine that reports in time is never given up, whatever its probes say, and
/// none is while it may still be on its way to another controller.
#[test]
fn no_evidence_gives_up_a_machine_that_reports() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let days = (prop::collection::vec((0..4u8, any::<u16>()), 4..40), any::<[bool; 3]>());
    TestRunner::new_with_rng(config, rng)
        .run(&days, |(steps, reached)| {
            let mut cluster = DetectorSimulation::new(24);
            cluster.run_detector(6_000, ALL_REACHED, |_| true, |_| ProbeOutcome::Answered);
            for (probe, silent) in steps {
                let probes = [
                    ProbeOutcome::Answered,
                    ProbeOutcome::Refused,
                    ProbeOutcome::NoResponse,
                    ProbeOutcome::NoConnection,
                ];
                let reports = |n: u32| n >= 16 || silent >> n & 1 == 0;
                cluster.run_detector(1_500, reached, reports, |_| probes[usize::from(probe)]);
                let least =
                    (REPORT_S * MS_PER_S * (1.0 + REPORT_JITTER_SHARE) + REDIRECT_GRACE_MS) as u64;
                for n in cluster.machines_declared_dead(&reached) {
                    let at = cluster.heard[&n].unwrap_or(BEGIN);
                    prop_assert!(cluster.now > at + least, "machine {}", n);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Two thirds of the machines die at once and every controller crashes: no rule breaks, and everything
/// that was accepted ends or runs again.
#[test]
fn a_mass_loss_in_the_midst_of_a_change_of_leader_breaks_no_rule() {
    let rough =
        FaultRates { message_loss: 0.02, message_delay: 0.01, crashes: 2, outages_and_hangs: 1 };
    for seed in 0..6 {
        let mut world = Simulation::new(seed, rough, 90_000);
        submit_mixed_load(&mut world, 6);
        world.submit(300, None, job_body("wk-z", "service", "blue", 6, 1.0, 0.0));
        world.run_until(40_000);
        let lost = world.kill_machines(2, 3);
        assert!(lost > 3, "seed {seed}: {lost} machines died");
        for node in 0..3 {
            world.schedule_crash(40_100, node);
        }
        world.run_until(320_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in world.jobs.iter().filter(|j| j.cancel_at.is_none()) {
            let last = job.last_status.as_deref().unwrap_or("no answer");
            let fine =
                last == if job.text_field("shape") == "service" { "running" } else { "done" };
            assert!(
                fine,
                "seed {seed}: {} ended as {last}: {}",
                job.id,
                world.describe_job(&job.id)
            );
        }
    }
}
