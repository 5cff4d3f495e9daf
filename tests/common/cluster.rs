//! Questions about a simulated cluster, faults of its machines, and what must hold at the end of a run.

use swiftsail_controller::controller::Controller;
use swiftsail_simulation::simulation::Simulation;

/// The index of the first controller that leads, if any does.
pub fn leader_index(world: &Simulation) -> Option<usize> {
    (0..3).find(|n| world.controllers[*n].as_ref().is_some_and(Controller::is_leader))
}

/// Tasks that workers killed since the beginning, because their leases ended.
pub fn tasks_killed(world: &Simulation) -> u64 {
    world.cluster.workers.values().map(|w| w.tasks_killed).sum()
}

/// The machines, not returned to the cloud, that hold tasks, whatever the controllers know of them.
pub fn machines_with_tasks(world: &Simulation) -> Vec<String> {
    let workers = world.cluster.workers.iter().filter(|(_, w)| !w.is_terminated);
    let occupied = workers.filter(|(_, w)| w.tasks.iter().any(|t| t.is_on_machine()));
    occupied.map(|(name, _)| name.clone()).collect()
}

/// Makes these machines hang from now on, for this time in ms. Names of no machine are passed over.
pub fn hang_machines(world: &mut Simulation, names: &[String], for_ms: u64) {
    let until = world.now + for_ms;
    for name in names {
        if let Some(worker) = world.cluster.workers.get_mut(name) {
            worker.hang_until = until;
        }
    }
}

/// Fails the test, with `context`, unless no invariant was violated and every job is over.
pub fn assert_completed_without_violations(world: &Simulation, context: &str) {
    assert!(world.violations.is_empty(), "{context}: {:?}", world.violations);
    for job in &world.jobs {
        let end = job.last_status.as_deref().unwrap_or("no answer");
        assert!(
            job.is_over(),
            "{context}: {} ended as {end}: {}",
            job.id,
            world.describe_job(&job.id)
        );
    }
}
