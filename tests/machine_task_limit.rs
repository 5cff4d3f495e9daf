//! The number of tasks on a machine is limited by the size of its status report, with real controllers in the simulated
//! cluster.

mod common;

use common::cluster::{assert_completed_without_violations, tasks_killed};
use swiftsail_controller::job::JobKind;
use swiftsail_simulation::cloud::MachineOffer;
use swiftsail_simulation::simulation::{
    FaultRates, Simulation, job_body, job_spec, machine_offers,
};

/// Machines with room for many small tasks, of which the cloud has this number in each zone, on demand and spot.
fn large_machines(capacity: u32) -> Vec<MachineOffer> {
    let mut offers = machine_offers(capacity);
    offers.truncate(1);
    offers[0].machine_type.name = "l64".into();
    offers[0].machine_type.cpus = 64.0;
    offers[0].machine_type.memory_gb = 256.0;
    offers
}

/// A machine got as many tasks as fit by CPUs and memory. Its reports were larger than 64 KiB and refused, its lease
/// ended, and everything on it was killed, a production replica too, over and over.
#[test]
fn machine_gets_no_more_tasks_than_its_report_may_carry() {
    let mut sim = Simulation::with_offers(1, FaultRates::NONE, 1_000, large_machines(1));
    let mut replica = job_body("wk-s1", "service", "serving", 1, 4.0, 0.0);
    replica["dock"] = "a".into();
    sim.submit(1_000, Some(200_000), replica);
    let mut array = job_body("wk-a", "array", "blue", 3_000, 0.02, 10.0);
    (array["memory_gb"], array["dock"]) = (0.08.into(), "a".into());
    sim.submit(30_000, None, array);
    sim.run_until(300_000);
    assert_completed_without_violations(&sim, "many small tasks beside a replica");
    assert_eq!(tasks_killed(&sim), 0, "no lease may end");
}

/// A service whose replicas do not fit on one machine by the size of its report gets another machine.
#[test]
fn more_machines_are_provisioned_for_what_a_report_cannot_carry() {
    let mut sim = Simulation::with_offers(2, FaultRates::NONE, 1_000, large_machines(2));
    let mut service = job_body("wk-s1", "service", "serving", 1_000, 0.02, 0.0);
    (service["memory_gb"], service["scatter"]) = (0.08.into(), false.into());
    sim.submit(1_000, Some(150_000), service);
    sim.run_until(140_000);
    let workers = sim.cluster.workers.values().filter(|worker| !worker.is_terminated);
    let by_machine: Vec<usize> = workers
        .map(|worker| worker.tasks.iter().filter(|task| task.is_on_machine()).count())
        .filter(|tasks| *tasks > 0)
        .collect();
    assert_eq!(by_machine.iter().sum::<usize>(), 1_000, "replicas by machine: {by_machine:?}");
    assert!(by_machine.len() >= 2, "replicas by machine: {by_machine:?}");
    sim.run_until(250_000);
    assert_completed_without_violations(&sim, "many small replicas");
    assert_eq!(tasks_killed(&sim), 0, "no lease may end");
}

/// A task that needs no resources still takes its place in a report.
#[test]
fn task_without_resources_counts_in_the_report() {
    let spec = job_spec(JobKind::Array, 100, 0.0, "img");
    let resources = swiftsail_controller::machine::Resources::for_task(&spec);
    assert!(resources.report_bytes > 0.0);
    let machine = swiftsail_controller::machine::Resources::of_machine(64.0, 0.0, 256.0);
    assert!(machine.task_count(&resources) < 1_000);
}
