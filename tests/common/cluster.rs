//! Queries of a simulated cluster, machine hangs, and the assertions at the end of a run.

use swiftsail_controller::controller::Controller;
use swiftsail_simulation::simulation::Simulation;

/// Returns the index of the first controller that considers itself the leader, or none.
pub fn leader_index(sim: &Simulation) -> Option<usize> {
    (0..3).find(|n| sim.controllers[*n].as_ref().is_some_and(Controller::is_leader))
}

/// Returns the number of tasks that workers have killed because their leases expired.
pub fn tasks_killed(sim: &Simulation) -> u64 {
    sim.cluster.workers.values().map(|w| w.tasks_killed).sum()
}

/// Returns the names of the machines that have not been terminated and have tasks, even if no controller knows of them.
pub fn machines_with_tasks(sim: &Simulation) -> Vec<String> {
    let workers = sim.cluster.workers.iter().filter(|(_, w)| !w.is_terminated);
    let with_tasks = workers.filter(|(_, w)| w.tasks.iter().any(|t| t.is_on_machine()));
    with_tasks.map(|(name, _)| name.clone()).collect()
}

/// Makes these machines hang for `duration_ms` from now on. Unknown names are ignored.
pub fn hang_machines(sim: &mut Simulation, names: &[String], duration_ms: u64) {
    let until = sim.now + duration_ms;
    for name in names {
        if let Some(worker) = sim.cluster.workers.get_mut(name) {
            worker.hang_until = until;
        }
    }
}

/// Fails the test, with `context` in the message, if an invariant was violated or a job has not ended.
pub fn assert_completed_without_violations(sim: &Simulation, context: &str) {
    assert!(sim.violations.is_empty(), "{context}: {:?}", sim.violations);
    for job in &sim.jobs {
        let status = job.last_status.as_deref().unwrap_or("no answer");
        assert!(
            job.is_over(),
            "{context}: {} has not ended, status {status}: {}",
            job.id,
            sim.describe_job(&job.id)
        );
    }
}
