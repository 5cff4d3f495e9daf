//! A simulated cluster whose machines run many long tasks: the state in which tests inject their faults.

use super::cluster::leader_index;
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body};

/// Jobs submitted to a busy cluster, each an array of two tasks.
const JOB_COUNT: u64 = 24;
/// Time from the beginning at which all of them run, ms.
const BUSY_AT_MS: u64 = 40_000;

/// The long jobs of a busy cluster.
pub struct LongJobs {
    /// What the job ids begin with; a number follows.
    pub id_prefix: &'static str,
    /// Run time of each task, s.
    pub run_time_s: f64,
    /// Time at which the first job is cancelled, ms from the beginning.
    pub first_cancel_ms: u64,
    /// Time between the cancellations of one job and the next, ms.
    pub cancel_interval_ms: u64,
}

/// A cluster without random faults in which the tasks of [`LongJobs`] run.
pub struct BusyCluster {
    /// The cluster.
    pub simulation: Simulation,
    /// The controller that leads it.
    pub leader: usize,
    /// The time reached, ms from the beginning.
    pub now_ms: u64,
}

impl BusyCluster {
    /// Runs a cluster until all the jobs run. Fails the test if nobody leads then.
    pub fn run_until_busy(seed: u64, jobs: &LongJobs) -> BusyCluster {
        let mut world = Simulation::new(seed, FaultRates::NONE, 1_000);
        for n in 0..JOB_COUNT {
            let id = format!("{}{n}", jobs.id_prefix);
            let cancel_at = jobs.first_cancel_ms + n * jobs.cancel_interval_ms;
            let body = job_body(&id, "array", "blue", 2, 1.0, jobs.run_time_s);
            world.submit(500 + n * 100, Some(cancel_at), body);
        }
        world.run_until(BUSY_AT_MS);
        let leader = leader_index(&world).expect("somebody leads");
        BusyCluster { simulation: world, leader, now_ms: BUSY_AT_MS }
    }
}
