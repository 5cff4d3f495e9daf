//! A simulated cluster whose machines run many long tasks, into which tests inject faults.

use super::cluster::leader_index;
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};

/// Number of jobs submitted to a busy cluster, each an array of two tasks.
const JOB_COUNT: u64 = 24;
/// Time from the start of the simulation at which all jobs run, ms.
const BUSY_AT_MS: u64 = 40_000;

/// The long jobs of a busy cluster.
pub struct LongJobs {
    /// Prefix of the job ids, which is followed by a number.
    pub id_prefix: &'static str,
    /// Run time of each task, s.
    pub run_time_s: f64,
    /// Time at which the first job is cancelled, ms from the start of the simulation.
    pub first_cancel_ms: u64,
    /// Interval between the cancellations of consecutive jobs, ms.
    pub cancel_interval_ms: u64,
}

/// A cluster without random faults in which the tasks of [`LongJobs`] run.
pub struct BusyCluster {
    /// The simulated cluster.
    pub simulation: Simulation,
    /// Index of the leader.
    pub leader: usize,
    /// Current time, ms from the start of the simulation.
    pub now_ms: u64,
}

impl BusyCluster {
    /// Simulates a cluster until all the jobs run. Fails the test if there is no leader then.
    pub fn run_until_busy(seed: u64, jobs: &LongJobs) -> BusyCluster {
        let mut sim = Simulation::new(seed, FaultRates::NONE, 1_000);
        for n in 0..JOB_COUNT {
            let id = format!("{}{n}", jobs.id_prefix);
            let cancel_at = jobs.first_cancel_ms + n * jobs.cancel_interval_ms;
            let body = job_body(&id, "array", "blue", 2, 1.0, jobs.run_time_s);
            sim.submit(500 + n * 100, Some(cancel_at), body);
        }
        sim.run_until(BUSY_AT_MS);
        let leader = leader_index(&sim).expect("there is a leader");
        BusyCluster { simulation: sim, leader, now_ms: BUSY_AT_MS }
    }
}
