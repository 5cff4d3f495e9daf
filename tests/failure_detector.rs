//! Failure detection of machines: each kind of evidence, wrong and late evidence, and the loss of many machines at once
//! in a simulated cluster.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use swiftsail_failure_detector::constants::{MS_PER_S, REDIRECT_GRACE_MS, REPORT_JITTER_SHARE};
use swiftsail_failure_detector::{FailureDetector, Liveness, MachineObservation, ProbeOutcome};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body, submit_mixed_load};

const REPORT_S: f64 = 5.0;
const LEASE_S: f64 = 26.5;
const BEGIN: u64 = 1_000_000;

/// A failure detector for machines in three zones, of which some stop reporting.
struct DetectorSimulation {
    detector: FailureDetector<u32>,
    last_report_at: BTreeMap<u32, Option<u64>>,
    now: u64,
    probes: usize,
}

impl DetectorSimulation {
    fn new(machines: u32) -> DetectorSimulation {
        DetectorSimulation {
            detector: FailureDetector::new(BEGIN, REPORT_S, LEASE_S, 200),
            last_report_at: (0..machines).map(|n| (n, None)).collect(),
            now: BEGIN,
            probes: 0,
        }
    }

    /// The observation of machine `n`. Machines are spread over the zones, and in each zone over three controllers.
    fn observation(
        last_report_at: Option<u64>,
        n: u32,
        reachable_zones: &[bool; 3],
    ) -> MachineObservation<'static> {
        let zone = n as usize % 3;
        let (name, controller) =
            (["a", "b", "c"][zone], [None, Some("n1"), Some("n2")][n as usize / 3 % 3]);
        MachineObservation {
            zone: name,
            reporting_controller: controller,
            zone_is_reachable: reachable_zones[zone],
            last_contact_at: last_report_at,
            has_production_work: n.is_multiple_of(2),
            probe_requested: false,
        }
    }

    /// Advances the time. `reports` tells which machines report, and `probe` the outcome of a probe of each.
    fn run_detector(
        &mut self,
        ms: u64,
        reachable_zones: [bool; 3],
        reports: impl Fn(u32) -> bool,
        probe: impl Fn(u32) -> ProbeOutcome,
    ) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 500;
            let now = self.now;
            for (n, last_report_at) in &mut self.last_report_at {
                if reports(*n)
                    && last_report_at.is_none_or(|at| now >= at + 4_500 + u64::from(*n % 3) * 300)
                {
                    *last_report_at = Some(now);
                }
            }
            let machines = self
                .last_report_at
                .iter()
                .map(|(n, at)| (n, DetectorSimulation::observation(*at, *n, &reachable_zones)));
            let (to_probe, _) = self.detector.check_machines(machines, now);
            self.probes += to_probe.len();
            for n in to_probe {
                self.detector.on_probe_outcome(&n, probe(n));
            }
        }
    }

    fn machine_states(&self) -> BTreeMap<u32, Liveness> {
        let state = |n: &u32| self.detector.get(n).map(|m| m.liveness());
        self.last_report_at.keys().filter_map(|n| Some((*n, state(n)?))).collect()
    }

    /// The machines that should be returned to the cloud now.
    fn machines_to_terminate(&self, reachable_zones: &[bool; 3]) -> Vec<u32> {
        let should_terminate = |(n, at): (&u32, &Option<u64>)| {
            let observation = DetectorSimulation::observation(*at, *n, reachable_zones);
            self.detector.should_terminate(n, observation, self.now).then_some(*n)
        };
        self.last_report_at.iter().filter_map(should_terminate).collect()
    }
}

const ALL_ZONES_REACHABLE: [bool; 3] = [true; 3];

#[test]
fn dead_hung_and_partitioned_machines_are_distinguished() {
    let failed = |n: u32| n < 60;
    let mut crashed = DetectorSimulation::new(90);
    crashed.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    assert!(crashed.machine_states().values().all(|s| *s == Liveness::Alive));
    crashed.run_detector(
        19_000,
        ALL_ZONES_REACHABLE,
        |n| !failed(n),
        |_| ProbeOutcome::NoConnection,
    );
    let states = crashed.machine_states();
    assert!(states.iter().all(|(n, s)| (*s == Liveness::PresumedDead) == failed(*n)), "{states:?}");
    let terminated = crashed.machines_to_terminate(&ALL_ZONES_REACHABLE);
    assert_eq!(
        terminated,
        (0..60).collect::<Vec<_>>(),
        "two thirds of the machines are to be returned within 19 s"
    );

    let mut hung = DetectorSimulation::new(90);
    hung.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    hung.run_detector(12_500, ALL_ZONES_REACHABLE, |n| !failed(n), |_| ProbeOutcome::NoResponse);
    assert!(
        hung.machine_states().iter().all(|(n, s)| (*s == Liveness::PresumedHung) == failed(*n))
    );
    assert!(
        hung.machines_to_terminate(&ALL_ZONES_REACHABLE).is_empty(),
        "machines that hang for 12.5 s are kept"
    );
    hung.run_detector(10_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    assert!(hung.machine_states().values().all(|s| *s == Liveness::Alive));

    // A whole zone is silent: it is presumed partitioned if its controller is unreachable too, and dead otherwise.
    for (controller_reachable, expected) in
        [(false, Liveness::PresumedPartitioned), (true, Liveness::PresumedDead)]
    {
        let mut zone = DetectorSimulation::new(90);
        zone.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
        let reachable_zones = [controller_reachable, true, true];
        zone.run_detector(22_000, reachable_zones, |n| n % 3 != 0, |_| ProbeOutcome::NoConnection);
        let states = zone.machine_states();
        assert!(states.iter().all(|(n, s)| (n % 3 != 0) || *s == expected), "{states:?}");
        assert_eq!(
            zone.machines_to_terminate(&reachable_zones).is_empty(),
            expected == Liveness::PresumedPartitioned
        );
    }
}

/// Guards against an incident: when a network partition of 47 s ended, the first reports ended the presumption for the
/// whole zone, and machines that reported a moment later were returned, since their probes had failed during it.
#[test]
fn machines_get_time_to_report_after_a_partition() {
    let mut zone = DetectorSimulation::new(90);
    zone.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    zone.run_detector(40_000, [false, true, true], |n| n % 3 != 0, |_| ProbeOutcome::NoConnection);
    zone.run_detector(
        3_000,
        ALL_ZONES_REACHABLE,
        |n| n % 3 != 0 || n < 9,
        |n| match n % 3 == 0 {
            true => ProbeOutcome::NoConnection,
            false => ProbeOutcome::Answered,
        },
    );
    assert!(zone.machines_to_terminate(&ALL_ZONES_REACHABLE).is_empty());
    zone.run_detector(2_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    assert!(zone.machine_states().values().all(|s| *s == Liveness::Alive));
}

/// A controller has crashed: all workers that reported to it are silent until they fail over to another.
#[test]
fn workers_of_a_crashed_controller_are_kept() {
    let mut cluster = DetectorSimulation::new(90);
    cluster.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    let failing_over = |n: u32| n / 3 % 3 == 1;
    cluster.run_detector(
        11_000,
        ALL_ZONES_REACHABLE,
        |n| !failing_over(n),
        |_| ProbeOutcome::NoConnection,
    );
    assert!(cluster.machines_to_terminate(&ALL_ZONES_REACHABLE).is_empty());
    assert!(
        cluster
            .machine_states()
            .iter()
            .all(|(n, s)| (*s == Liveness::PresumedPartitioned) == failing_over(*n))
    );
}

/// Under a new leader, half of the machines are dead, and the others need some seconds to find it.
#[test]
fn new_leader_returns_dead_machines_within_seconds_and_keeps_live_ones() {
    let mut cluster = DetectorSimulation::new(1_000);
    let failed = |n: u32| n.is_multiple_of(2);
    let probe =
        |n: u32| if failed(n) { ProbeOutcome::NoConnection } else { ProbeOutcome::Answered };
    cluster.run_detector(4_500, ALL_ZONES_REACHABLE, |_| false, probe);
    assert!(
        cluster.machines_to_terminate(&ALL_ZONES_REACHABLE).is_empty(),
        "no machine is late yet"
    );
    cluster.run_detector(9_500, ALL_ZONES_REACHABLE, |n| !failed(n), probe);
    let terminated = cluster.machines_to_terminate(&ALL_ZONES_REACHABLE);
    assert!(terminated.iter().all(|n| failed(*n)));
    assert!(
        terminated.len() >= 250,
        "{} of 500 dead machines are to be returned within 14 s",
        terminated.len()
    );
    // Two probes of each dead machine, and early ones of the live ones.
    assert!(cluster.probes <= 4 * 1_000, "{} probes", cluster.probes);
}

/// Guards against an incident: the leader could not reach its workers for 37 s. Another controller forwarded their
/// reports once and redirected them to the leader again, so that they were silent for ten seconds, and nine live
/// machines were returned.
#[test]
fn redirected_workers_are_kept() {
    let mut cluster = DetectorSimulation::new(90);
    cluster.run_detector(20_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
    for _ in 0..4 {
        cluster.run_detector(
            7_500,
            ALL_ZONES_REACHABLE,
            |n| !n.is_multiple_of(4),
            |_| ProbeOutcome::NoConnection,
        );
        assert!(cluster.machines_to_terminate(&ALL_ZONES_REACHABLE).is_empty());
        cluster.run_detector(500, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::NoConnection);
    }
}

/// Whatever the evidence, a machine that reports in time is never to be returned, nor is one that may still be failing
/// over to another controller.
#[test]
fn machines_that_report_are_kept_whatever_their_probes_show() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let histories = (prop::collection::vec((0..4u8, any::<u16>()), 4..40), any::<[bool; 3]>());
    TestRunner::new_with_rng(config, rng)
        .run(&histories, |(steps, reachable_zones)| {
            let mut cluster = DetectorSimulation::new(24);
            cluster.run_detector(6_000, ALL_ZONES_REACHABLE, |_| true, |_| ProbeOutcome::Answered);
            for (probe, silent) in steps {
                let probes = [
                    ProbeOutcome::Answered,
                    ProbeOutcome::Refused,
                    ProbeOutcome::NoResponse,
                    ProbeOutcome::NoConnection,
                ];
                let reports = |n: u32| n >= 16 || silent >> n & 1 == 0;
                cluster
                    .run_detector(1_500, reachable_zones, reports, |_| probes[usize::from(probe)]);
                let min_silence_ms =
                    (REPORT_S * MS_PER_S * (1.0 + REPORT_JITTER_SHARE) + REDIRECT_GRACE_MS) as u64;
                for n in cluster.machines_to_terminate(&reachable_zones) {
                    let at = cluster.last_report_at[&n].unwrap_or(BEGIN);
                    prop_assert!(cluster.now > at + min_silence_ms, "machine {}", n);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Two thirds of the machines crash at once, and so does every controller: no invariant is violated, and every accepted
/// job finishes or runs again.
#[test]
fn mass_loss_of_machines_during_a_failover_violates_no_invariant() {
    let faults =
        FaultRates { message_loss: 0.02, message_delay: 0.01, crashes: 2, outages_and_hangs: 1 };
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, faults, 90_000);
        submit_mixed_load(&mut sim, 6);
        sim.submit(300, None, job_body("wk-z", "service", "blue", 6, 1.0, 0.0));
        sim.run_until(40_000);
        let crashed = sim.kill_machines(2, 3);
        assert!(crashed > 3, "seed {seed}: {crashed} machines crashed");
        for node in 0..3 {
            sim.schedule_crash(40_100, node);
        }
        sim.run_until(320_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        for job in sim.jobs.iter().filter(|j| j.cancel_at.is_none()) {
            let status = job.last_status.as_deref().unwrap_or("no answer");
            let is_expected =
                status == if job.text_field("shape") == "service" { "running" } else { "done" };
            assert!(
                is_expected,
                "seed {seed}: {} ended as {status}: {}",
                job.id,
                sim.describe_job(&job.id)
            );
        }
    }
}
