//! Accelerators taken for others and given back: the state machine of a loan, every order of steps of a small one,
//! and controllers that fail in the midst of many.

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

fn loan_facts(bits: u8) -> LoanObservation {
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

fn open_loan(now: u64) -> GpuLoans {
    let mut loans = GpuLoans::default();
    assert!(loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], now));
    loans
}

/// Whatever is seen in whatever order, by one leader or by several that read its record: stages never go back, none
/// but serving lasts for ever, room is kept for one job at a time, and nobody is stopped before that is written down.
#[test]
fn a_loan_goes_one_way_and_ends() {
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 400, failure_persistence: None, ..Config::default() },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[35; 32]),
    );
    let history = proptest::collection::vec((any::<u8>(), 1u64..20_000, any::<bool>()), 1..60);
    runner
        .run(&history, |history| {
            let mut now = 1_000_000;
            let mut loans = open_loan(now);
            let mut last = LoanPhase::Asked;
            for (bits, ms, handed) in history {
                now += ms;
                if handed {
                    // A new leader reads what was written.
                    let lent = loans.lender_record("wk-l").map(|l| l.to_record());
                    loans = GpuLoans::default();
                    if let Some(record) = lent {
                        loans.restore(
                            "wk-l",
                            LenderRecord::from_record("loan/wk-l", &record).expect("it is sound"),
                        );
                    }
                }
                if bits & 128 != 0 {
                    loans.on_committed("wk-l", now);
                }
                let todo = loans.advance_loans(now, |_, _| loan_facts(bits));
                let keeps =
                    todo.iter().filter(|t| matches!(t, LoanAction::ReserveMachine { .. })).count();
                prop_assert!(keeps <= 1, "{todo:?}");
                let Some(loan) = loans.lender_record("wk-l").and_then(|l| l.loans.first()) else {
                    break;
                };
                prop_assert!(loan.phase() >= last, "{last:?} to {:?}", loan.phase());
                let stops = todo.iter().any(|t| matches!(t, LoanAction::StopLender { .. }));
                prop_assert_eq!(stops, loan.phase() == LoanPhase::Stopping);
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

/// A job is not stopped again and again, whoever leads.
#[test]
fn surges_that_come_and_go_do_not_make_work_swing() {
    let (mut loans, mut stops) = (GpuLoans::default(), 0);
    for minute in 0..60u64 {
        let now = 10_000_000 + minute * 60_000;
        if loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], now) {
            stops += 1;
        }
        loans.on_committed("wk-l", now);
        // Given back at once each time.
        for bits in [0b0100_1111, 0b0010_1011, 0b0100_1011, 0b0001_1011] {
            loans.advance_loans(now + 1_000, |_, _| loan_facts(bits));
        }
        let record = loans.lender_record("wk-l").map(|l| l.to_record());
        loans = GpuLoans::default();
        if let Some(record) = record {
            loans.restore(
                "wk-l",
                LenderRecord::from_record("loan/wk-l", &record).expect("it is sound"),
            );
        }
    }
    assert_eq!(stops, MAX_PREEMPTIONS_PER_WINDOW, "stops in an hour");
}

/// One loan with its leader, its record and its machine: every order of asking, writing, confirming, stopping,
/// binding, ending, crashing and waiting.
#[derive(Clone, Hash)]
struct LoanModel {
    now: u64,
    /// What the leader knows, as its record would be; none: no leader has read it yet.
    leader_record: Option<String>,
    /// What the state service holds.
    stored_record: Option<String>,
    lender_running: bool,
    borrower_running: bool,
    borrower_finished: bool,
    stopped: bool,
    stops: u8,
    crashes: u8,
    /// The guard is taken away: the stop does not wait for the record.
    stops_before_record: bool,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug)]
enum LoanStep {
    Ask,
    Write,
    Step,
    Leave,
    Bind,
    End,
    Crash,
    Wait,
}

impl LoanModel {
    fn read_loans(&self) -> GpuLoans {
        let mut loans = GpuLoans::default();
        if let Some(held) = self.leader_record.as_ref().filter(|h| !h.is_empty()) {
            let value: Value = serde_json::from_str(held).expect("it is JSON");
            loans.restore("wk-l", LenderRecord::from_record("l", &value).expect("it is sound"));
        }
        loans
    }

    fn record_loans(&mut self, loans: &GpuLoans) {
        self.leader_record =
            Some(loans.lender_record("wk-l").map_or(String::new(), |l| l.to_record().to_string()));
    }
}

impl Model for LoanModel {
    type Step = LoanStep;

    fn enabled_steps(&self) -> Vec<LoanStep> {
        let mut all = vec![LoanStep::Write, LoanStep::Step];
        let waits = !self.borrower_running && !self.borrower_finished;
        if waits && self.lender_running {
            all.push(LoanStep::Ask);
        }
        if self.lender_running && self.stopped {
            all.push(LoanStep::Leave);
        }
        if waits && !self.lender_running {
            all.push(LoanStep::Bind);
        }
        if self.borrower_running {
            all.push(LoanStep::End);
        }
        if self.crashes < 2 {
            all.push(LoanStep::Crash);
        }
        if self.now < 400_000 {
            all.push(LoanStep::Wait);
        }
        all
    }

    fn apply(&mut self, step: &LoanStep) {
        let mut loans = self.read_loans();
        match step {
            LoanStep::Ask => {
                loans.request_loan("wk-l", "wk-b", &[("m-1".into(), 2.0)], self.now);
                self.record_loans(&loans);
            }
            LoanStep::Write => self.stored_record = self.leader_record.clone(),
            LoanStep::Step => {
                if self.stops_before_record || self.stored_record == self.leader_record {
                    loans.on_committed("wk-l", self.now);
                }
                let (lender_on, borrower_on, over) =
                    (self.lender_running, self.borrower_running, self.borrower_finished);
                let todo = loans.advance_loans(self.now, |_, _| LoanObservation {
                    lender_is_live: true,
                    borrower_is_live: !over,
                    borrower_is_waiting: !over && !borrower_on,
                    machine_is_available: true,
                    lender_on_machine: lender_on,
                    borrower_on_machine: borrower_on,
                    lender_is_waiting: !lender_on,
                });
                for it in todo {
                    if matches!(it, LoanAction::StopLender { .. })
                        && self.lender_running
                        && !self.stopped
                    {
                        (self.stopped, self.stops) = (true, self.stops + 1);
                        let known = self.stored_record.as_ref().is_some_and(|w| w.contains("wk-b"));
                        if !known {
                            self.violation =
                                Some("stopped for what the next leader would not know");
                        }
                    }
                    if let LoanAction::ReserveMachine { job, .. } = it
                        && job == "wk-l"
                        && !self.lender_running
                        && !self.borrower_running
                    {
                        // It goes on where it was.
                        (self.lender_running, self.stopped) = (true, false);
                    }
                }
                self.record_loans(&loans);
            }
            LoanStep::Leave => self.lender_running = false,
            LoanStep::Bind => self.borrower_running = true,
            LoanStep::End => (self.borrower_running, self.borrower_finished) = (false, true),
            LoanStep::Crash => {
                self.crashes += 1;
                self.leader_record = self.stored_record.clone();
            }
            LoanStep::Wait => self.now += 30_000,
        }
    }

    fn violation(&self) -> Option<String> {
        if self.lender_running && self.borrower_running {
            return Some("two on one machine".into());
        }
        if usize::from(self.stops) > MAX_PREEMPTIONS_PER_WINDOW {
            return Some("it swings".into());
        }
        self.violation.map(str::to_string)
    }
}

fn check_one_loan(hasty: bool) -> LoanModel {
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
        stops_before_record: hasty,
        violation: None,
    }
}

/// Nothing breaks in any order; without the rule that the record comes first, it does within a few steps.
#[test]
fn every_order_of_one_loan() {
    let found = check_model(check_one_loan(false), 14, 60_000);
    assert!(found.violation.is_none(), "{:?}", found.violation);
    assert!(found.states > 2_000, "{} worlds", found.states);
    let hasty =
        check_model(check_one_loan(true), 14, 60_000).violation.expect("the guard is needed");
    assert!(hasty.1.len() <= 4, "{hasty:?}");
}

fn operator_with_loans() -> OperatorSettings {
    OperatorSettings::parse("loans", "[loans]\ndurable = true\n").expect("it is sound")
}

fn running_tasks(world: &Simulation, id: &str) -> usize {
    let tasks = world.cluster.workers.values().filter(|w| !w.is_terminated).flat_map(|w| &w.tasks);
    tasks.filter(|t| t.is_on_machine() && t.name.starts_with(&format!("{id}/"))).count()
}

/// When the last of a job's tasks started for the first time, ms from the beginning.
fn last_task_started_ms(world: &Simulation, id: &str) -> Option<u64> {
    let own = world
        .cluster
        .first_started_at
        .iter()
        .filter(|(task, _)| task.starts_with(&format!("{id}/")));
    own.map(|(_, at)| at - START_MS).max()
}

/// Idle-hours batches fill every accelerator. Fine-tuning within its guarantee, gangs of one and of several whole
/// machines in one zone, begins soon all the same.
#[test]
fn fine_tuning_takes_its_guarantee_from_batches() {
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

/// Serving surges while fine-tuning has borrowed what serving is guaranteed; leaders crash in the midst of stops,
/// starts and returns. Replicas run, nothing breaks, the lenders go on from what they have saved, and in the end
/// nothing is lent any more, in tables and records alike.
#[test]
fn what_was_lent_is_given_back_whoever_leads() {
    let mut lent = 0;
    for seed in 0..8u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let weather = FaultRates {
            message_loss: 0.005,
            message_delay: 0.0,
            crashes: 0,
            outages_and_hangs: 0,
        };
        let weather = if seed < 2 { FaultRates::NONE } else { weather };
        let mut world = Simulation::with_offers(seed, weather, 400_000, gpu_machine_offers(1));
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
            let mut crash = if until < 200_000 { 93_000 } else { 168_000 };
            while seed > 0 && crash < until {
                world.run_until(crash);
                let tables =
                    world.controllers.iter().flatten().filter_map(Controller::cluster_state);
                lent += tables.map(|t| t.gpu_loans.open_loan_count()).sum::<usize>();
                if let Some(node) = leader_index(&world) {
                    world.schedule_crash(crash, node);
                }
                crash += rng.random_range(9_000..25_000);
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
        let unfinished = world.jobs.iter().filter(|j| !j.is_over()).map(|j| j.id.as_str());
        let unfinished: Vec<&str> = unfinished.collect();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
        let tables = world
            .controllers
            .iter()
            .flatten()
            .find_map(Controller::cluster_state)
            .expect("a leader");
        assert_eq!(tables.gpu_loans.open_loan_count(), 0, "seed {seed}");
        let records = world.store.list("order/loan/", None, 100).entries.len();
        assert_eq!(records, 0, "seed {seed}: records of jobs that are over");
    }
    assert!(lent > 0, "nothing was ever lent");
}

/// Operators see what is lent, and by whom.
#[test]
fn operators_see_what_is_lent() {
    let mut world = Simulation::with_offers(1, FaultRates::NONE, 400_000, gpu_machine_offers(1));
    world.operator = operator_with_loans();
    let id = world.schedule_admin_request(20_000, 0, AdminRequest::Loans(None));
    world.run_until(21_000);
    let reply = world.admin_answers.remove(&id).expect("an answer");
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert!(reply.status == 421 || body["loans"].as_array().is_some_and(Vec::is_empty), "{body}");
}
