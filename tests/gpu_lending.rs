//! GPU loans: the state machine of a loan, a model check of one loan, and many loans across failovers.

mod common;

use common::cluster::leader_index;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use swiftsail_controller::controller::{AdminRequest, Controller};
use swiftsail_gpu_lending::constants::{
    LOAN_RETURN_TIMEOUT_MS, LOAN_START_TIMEOUT_MS, MAX_PREEMPTIONS_PER_WINDOW,
};
use swiftsail_gpu_lending::{GpuLoans, LenderRecord, LoanAction, LoanObservation, LoanPhase};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_replicated_records::Versioned;
use swiftsail_simulation::model_checker::{Model, check_model};
use swiftsail_simulation::simulation::{
    FaultRates, START_MS, Simulation, gpu_job_body, gpu_machine_offers,
};

/// An observation from one bit for each field.
fn observation(bits: u8) -> LoanObservation {
    let bit = |n: u8| bits & (1 << n) != 0;
    LoanObservation {
        lender_is_live: bit(0),
        borrower_is_live: bit(1),
        borrower_is_waiting: bit(2),
        machine_is_available: bit(3),
        lender_on_machine: bit(4),
        borrower_on_machine: bit(5),
        lender_is_waiting: bit(6),
    }
}

/// One requested loan of a machine, from lender `wk-l` to borrower `wk-b`.
fn requested_loan(now: u64) -> GpuLoans {
    let mut loans = GpuLoans::default();
    assert!(loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], now));
    loans
}

/// For any sequence of observations, by one leader or by several that read its record: a loan's phase never goes back,
/// every phase but serving ends within its timeout, the machine is reserved for one job at a time, and the lender is
/// stopped only in the phase for that, which begins when the record is committed.
#[test]
fn loan_phases_advance_and_end() {
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 400, failure_persistence: None, ..Config::default() },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[35; 32]),
    );
    let history = proptest::collection::vec((any::<u8>(), 1u64..20_000, any::<bool>()), 1..60);
    runner
        .run(&history, |history| {
            let mut now = 1_000_000;
            let mut loans = requested_loan(now);
            let mut last = LoanPhase::Asked;
            for (bits, ms, leader_changes) in history {
                now += ms;
                if leader_changes {
                    // The new leader restores the loans from the record.
                    let record = loans.lender_record("wk-l").map(|record| record.to_record());
                    loans = GpuLoans::default();
                    if let Some(record) = record {
                        loans.restore(
                            "wk-l",
                            LenderRecord::from_record("loan/wk-l", &record).expect("it is valid"),
                        );
                    }
                }
                if bits & 128 != 0 {
                    loans.on_committed("wk-l", now);
                }
                let actions = loans.advance_loans(now, |_, _| observation(bits));
                let reservations = actions
                    .iter()
                    .filter(|action| matches!(action, LoanAction::ReserveMachine { .. }))
                    .count();
                prop_assert!(reservations <= 1, "{actions:?}");
                let Some(loan) =
                    loans.lender_record("wk-l").and_then(|record| record.loans.first())
                else {
                    break;
                };
                prop_assert!(loan.phase() >= last, "{last:?} to {:?}", loan.phase());
                let is_stopped =
                    actions.iter().any(|action| matches!(action, LoanAction::StopLender { .. }));
                prop_assert_eq!(is_stopped, loan.phase() == LoanPhase::Stopping);
                prop_assert!(
                    loan.phase() == LoanPhase::Serving
                        || now
                            <= loan.phase_since_wall
                                + LOAN_START_TIMEOUT_MS.max(LOAN_RETURN_TIMEOUT_MS),
                    "{:?} for {} ms",
                    loan.phase(),
                    now - loan.phase_since_wall
                );
                last = loan.phase();
            }
            Ok(())
        })
        .unwrap();
}

/// A demand for GPUs that comes and goes every minute, under a new leader each time, preempts the same lender only as
/// often as its limit allows.
#[test]
fn preemptions_of_a_lender_are_limited() {
    let (mut loans, mut preemptions) = (GpuLoans::default(), 0);
    for minute in 0..60u64 {
        let now = 10_000_000 + minute * 60_000;
        if loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], now) {
            preemptions += 1;
        }
        loans.on_committed("wk-l", now);
        // The lender leaves, the borrower runs and ends, and the lender returns.
        for bits in [0b0100_1111, 0b0010_1011, 0b0100_1011, 0b0001_1011] {
            loans.advance_loans(now + 1_000, |_, _| observation(bits));
        }
        let record = loans.lender_record("wk-l").map(|record| record.to_record());
        loans = GpuLoans::default();
        if let Some(record) = record {
            loans.restore(
                "wk-l",
                LenderRecord::from_record("loan/wk-l", &record).expect("it is valid"),
            );
        }
    }
    assert_eq!(preemptions, MAX_PREEMPTIONS_PER_WINDOW, "preemptions in an hour");
}

/// Model of one loan with its leader, its record and its machine, for all orders of steps.
#[derive(Clone, Hash)]
struct LoanModel {
    now: u64,
    /// The leader's loans, encoded as their record; empty: it has none.
    leader_record: Option<String>,
    /// The record in the state service, encoded in the same way.
    stored_record: Option<String>,
    lender_running: bool,
    borrower_running: bool,
    borrower_finished: bool,
    /// Whether the lender's task was told to stop.
    stopped: bool,
    stops: u8,
    crashes: u8,
    /// Removes the rule that the lender is stopped only after the record is committed.
    stops_before_record: bool,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum LoanStep {
    /// The leader requests the loan.
    Request,
    /// The leader's record is committed.
    CommitRecord,
    /// The leader advances the loan and executes the actions.
    Advance,
    /// The lender's stopped task ends.
    StopLender,
    /// The borrower's task is bound to the machine and starts.
    BindBorrower,
    /// The borrower ends.
    FinishBorrower,
    /// The leader crashes; the next one reads the record.
    Crash,
    /// 30 s pass.
    Wait,
}

impl LoanModel {
    fn leader_loans(&self) -> GpuLoans {
        let mut loans = GpuLoans::default();
        if let Some(record) = self.leader_record.as_ref().filter(|record| !record.is_empty()) {
            let value: Value = serde_json::from_str(record).expect("it is JSON");
            loans.restore("wk-l", LenderRecord::from_record("l", &value).expect("it is valid"));
        }
        loans
    }

    fn set_leader_loans(&mut self, loans: &GpuLoans) {
        let record = loans.lender_record("wk-l");
        self.leader_record =
            Some(record.map_or(String::new(), |record| record.to_record().to_string()));
    }
}

impl Model for LoanModel {
    type Step = LoanStep;

    fn enabled_steps(&self) -> Vec<LoanStep> {
        let mut steps = vec![LoanStep::CommitRecord, LoanStep::Advance];
        let borrower_waits = !self.borrower_running && !self.borrower_finished;
        if borrower_waits && self.lender_running {
            steps.push(LoanStep::Request);
        }
        if self.lender_running && self.stopped {
            steps.push(LoanStep::StopLender);
        }
        if borrower_waits && !self.lender_running {
            steps.push(LoanStep::BindBorrower);
        }
        if self.borrower_running {
            steps.push(LoanStep::FinishBorrower);
        }
        if self.crashes < 2 {
            steps.push(LoanStep::Crash);
        }
        if self.now < 400_000 {
            steps.push(LoanStep::Wait);
        }
        steps
    }

    fn apply(&mut self, step: &LoanStep) {
        let mut loans = self.leader_loans();
        match step {
            LoanStep::Request => {
                loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], self.now);
                self.set_leader_loans(&loans);
            }
            LoanStep::CommitRecord => self.stored_record = self.leader_record.clone(),
            LoanStep::Advance => {
                if self.stops_before_record || self.stored_record == self.leader_record {
                    loans.on_committed("wk-l", self.now);
                }
                let (lender_on, borrower_on, borrower_finished) =
                    (self.lender_running, self.borrower_running, self.borrower_finished);
                let actions = loans.advance_loans(self.now, |_, _| LoanObservation {
                    lender_is_live: true,
                    borrower_is_live: !borrower_finished,
                    borrower_is_waiting: !borrower_finished && !borrower_on,
                    machine_is_available: true,
                    lender_on_machine: lender_on,
                    borrower_on_machine: borrower_on,
                    lender_is_waiting: !lender_on,
                });
                for action in actions {
                    if matches!(action, LoanAction::StopLender { .. })
                        && self.lender_running
                        && !self.stopped
                    {
                        (self.stopped, self.stops) = (true, self.stops + 1);
                        let stored = self.stored_record.as_ref();
                        let is_recorded = stored.is_some_and(|record| record.contains("wk-b"));
                        if !is_recorded {
                            self.violation = Some(
                                "lender stopped for a loan that the next leader would not know",
                            );
                        }
                    }
                    if let LoanAction::ReserveMachine { job, .. } = action
                        && job == "wk-l"
                        && !self.lender_running
                        && !self.borrower_running
                    {
                        // The lender continues on the machine that is reserved for it.
                        (self.lender_running, self.stopped) = (true, false);
                    }
                }
                self.set_leader_loans(&loans);
            }
            LoanStep::StopLender => self.lender_running = false,
            LoanStep::BindBorrower => self.borrower_running = true,
            LoanStep::FinishBorrower => {
                (self.borrower_running, self.borrower_finished) = (false, true);
            }
            LoanStep::Crash => {
                self.crashes += 1;
                self.leader_record = self.stored_record.clone();
            }
            LoanStep::Wait => self.now += 30_000,
        }
    }

    fn violation(&self) -> Option<String> {
        if self.lender_running && self.borrower_running {
            return Some("lender and borrower run on the same machine".into());
        }
        if usize::from(self.stops) > MAX_PREEMPTIONS_PER_WINDOW {
            return Some("lender preempted too often".into());
        }
        self.violation.map(str::to_string)
    }
}

fn initial_model(stops_before_record: bool) -> LoanModel {
    LoanModel {
        now: 0,
        leader_record: Some(String::new()),
        stored_record: Some(String::new()),
        lender_running: true,
        borrower_running: false,
        borrower_finished: false,
        stopped: false,
        stops: 0,
        crashes: 0,
        stops_before_record,
        violation: None,
    }
}

/// No order of steps violates the model's invariants. Without the rule that the record is committed before the lender is
/// stopped, the checker finds a violation within a few steps.
#[test]
fn model_check_of_one_loan() {
    let result = check_model(initial_model(false), 14, 60_000);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(result.states > 2_000, "{} states", result.states);
    let violation = check_model(initial_model(true), 14, 60_000)
        .violation
        .expect("a violation without the rule");
    assert!(violation.1.len() <= 4, "{violation:?}");
}

fn operator_with_loans() -> OperatorSettings {
    OperatorSettings::parse("loans", "[loans]\ndurable = true\n").expect("the file is valid")
}

/// Number of a job's tasks on machines.
fn running_tasks(world: &Simulation, id: &str) -> usize {
    let live_workers = world.cluster.workers.values().filter(|worker| !worker.is_terminated);
    let tasks = live_workers.flat_map(|worker| &worker.tasks);
    tasks.filter(|task| task.is_on_machine() && task.name.starts_with(&format!("{id}/"))).count()
}

/// When the last of a job's tasks started for the first time, ms since the start of the simulation.
fn last_task_started_ms(world: &Simulation, id: &str) -> Option<u64> {
    let tasks = world
        .cluster
        .first_started_at
        .iter()
        .filter(|(task, _)| task.starts_with(&format!("{id}/")));
    tasks.map(|(_, at)| at - START_MS).max()
}

/// Batch jobs use every GPU. Gangs of one and of several whole machines that are within their team's guarantee start soon
/// all the same, also if the leader crashes meanwhile.
#[test]
fn guaranteed_gangs_preempt_batch_jobs() {
    for seed in 0..3 {
        let mut world =
            Simulation::with_offers(seed, FaultRates::NONE, 400_000, gpu_machine_offers(1));
        for n in 0..4 {
            let id = format!("wk-b{n}");
            world.submit(500 + n * 500, None, gpu_job_body(&id, "array", "lab", 8, 1.0, 400.0));
        }
        world.submit(60_000, None, gpu_job_body("wk-t1", "gang", "tuning", 1, 2.0, 60.0));
        world.submit(62_000, None, gpu_job_body("wk-t2", "gang", "tuning", 2, 2.0, 60.0));
        if seed > 0 {
            world.run_until(67_000);
            if let Some(node) = leader_index(&world) {
                world.schedule_crash(67_000 + seed * 300, node);
            }
        }
        world.run_until(130_000);
        for id in ["wk-t1", "wk-t2"] {
            let at = last_task_started_ms(&world, id);
            assert!(at.is_some_and(|at| at < 115_000), "seed {seed}: {id}: {at:?}");
        }
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Services ask for the GPUs that they are guaranteed while gangs of another team use them. Leaders crash while lenders
/// are stopped, borrowers start, and machines are returned. The replicas run, no invariant is violated, all jobs end, and
/// no loan is left in the cluster state or in the records.
#[test]
fn loans_are_returned_across_failovers() {
    let mut observed_loans = 0;
    for seed in 0..8u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fault_rates = FaultRates {
            message_loss: 0.005,
            message_delay: 0.0,
            crashes: 0,
            outages_and_hangs: 0,
        };
        let fault_rates = if seed < 2 { FaultRates::NONE } else { fault_rates };
        let mut world = Simulation::with_offers(seed, fault_rates, 400_000, gpu_machine_offers(1));
        world.operator = operator_with_loans();
        world.restart_delay_ms = (seed % 3 == 0).then_some(100);
        for n in 0..4 {
            let id = format!("wk-t{n}");
            world.submit(500 + n * 900, None, gpu_job_body(&id, "gang", "tuning", 2, 1.0, 200.0));
        }
        for n in 0..3 {
            let id = format!("wk-s{n}");
            let mut body = gpu_job_body(&id, "service", "serving", 2, 1.0, 0.0);
            body["scatter"] = false.into();
            world.submit(90_000 + n * 2_000, Some(172_000 + n * 4_000), body);
        }
        for until in [150_000u64, 240_000] {
            let mut crash_at = if until < 200_000 { 93_000 } else { 168_000 };
            while seed > 0 && crash_at < until {
                world.run_until(crash_at);
                let states =
                    world.controllers.iter().flatten().filter_map(Controller::cluster_state);
                observed_loans +=
                    states.map(|state| state.gpu_loans.open_loan_count()).sum::<usize>();
                if let Some(node) = leader_index(&world) {
                    world.schedule_crash(crash_at, node);
                }
                crash_at += rng.random_range(9_000..25_000);
            }
            if until < 200_000 {
                world.run_until(167_000);
                let replicas: usize =
                    (0..3).map(|n| running_tasks(&world, &format!("wk-s{n}"))).sum();
                assert!(replicas >= 5, "seed {seed}: {replicas} of 6 replicas run");
            }
        }
        world.run_until(900_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let unfinished = world.jobs.iter().filter(|job| !job.is_over()).map(|job| job.id.as_str());
        let unfinished: Vec<&str> = unfinished.collect();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
        let state = world
            .controllers
            .iter()
            .flatten()
            .find_map(Controller::cluster_state)
            .expect("a leader");
        assert_eq!(state.gpu_loans.open_loan_count(), 0, "seed {seed}");
        let records = world.store.list("order/loan/", None, 100).entries.len();
        assert_eq!(records, 0, "seed {seed}: records of jobs that are over");
    }
    assert!(observed_loans > 0, "no loan was observed");
}

/// Operators can list the loans: the leader replies with them, another controller that it does not lead.
#[test]
fn operators_can_list_loans() {
    let mut world = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    world.operator = operator_with_loans();
    let id = world.schedule_admin_request(20_000, 0, AdminRequest::Loans(None));
    world.run_until(21_000);
    let reply = world.admin_answers.remove(&id).expect("a reply");
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert!(reply.status == 421 || body["loans"].as_array().is_some_and(Vec::is_empty), "{body}");
}
