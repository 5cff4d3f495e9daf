//! Team limits: exact quantities, allocation of quota among a team's jobs, and enforcement by controllers.

mod common;

use common::cluster::leader_index;
use common::property_tests::test_runner;
use proptest::prelude::*;
use swiftsail_controller::controller::{AdminRequest, Controller};
use swiftsail_controller::job::AttemptPhase;
use swiftsail_controller::quota_records;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_quota::allocation::{QuotaClaim, allocate_quota};
use swiftsail_quota::{Quantity, QuotaLimit, ResourceQuantities};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body, submit_mixed_load};

/// With floating-point sums, tasks of 0.1 CPUs that started and ended left a limit of 10 slightly short.
#[test]
fn usage_sums_are_exact() {
    let limit = QuotaLimit::from_settings(10.0, 0.0);
    let each = ResourceQuantities::from_request(0.1, 0.0);
    let mut used = ResourceQuantities::default();
    for _ in 0..1_000 {
        used += each.multiplied_by(99);
        used -= each.multiplied_by(98);
        used -= each;
    }
    assert_eq!(used, ResourceQuantities::default());
    assert!(limit.allows(each.multiplied_by(99), each));
    assert!(!limit.allows(
        each.multiplied_by(100),
        ResourceQuantities { cpus: Quantity::from_units(1), ..used }
    ));
    assert!(
        QuotaLimit::from_settings(0.0, 0.0)
            .allows(each.multiplied_by(u32::MAX), each.multiplied_by(u32::MAX))
    );
}

/// A team's limit divided among a number of tasks, in the ways in which users compute it.
fn divided_limit() -> impl Strategy<Value = (f64, u32, f64)> {
    let limit = prop_oneof![(1..60_000u32).prop_map(f64::from), 0.001..60_000.0f64];
    (limit, 1..100_000u32, 0..3u8).prop_map(|(limit, tasks, way)| {
        let count = f64::from(tasks);
        let each = match way {
            0 => limit / count,
            1 => limit * (1.0 / count),
            _ => format!("{:.13}", limit / count).parse().expect("a number"),
        };
        (limit, tasks, each)
    })
}

/// Tasks that together use no more than their team's limit fit, all at once or one after the other, and no more than that:
/// whatever fits has a sum that exceeds the limit by less than its floating-point error.
#[test]
fn tasks_that_divide_a_limit_fit_and_their_sum_stays_within_it() {
    let result = test_runner(54, 4_000).run(&divided_limit(), |(limit, tasks, each)| {
        let quota = QuotaLimit::from_settings(limit, 0.0);
        // Limits are kept in billionths, rounded down.
        let kept_limit = quota.limit().cpus.to_f64();
        let per_task = ResourceQuantities::from_request(each, 0.0);
        let all = per_task.multiplied_by(tasks);
        let is_admitted = quota.allows(ResourceQuantities::ZERO, all);
        if each * f64::from(tasks) <= kept_limit {
            prop_assert!(is_admitted, "{tasks} x {each:?} of {limit:?}");
        }
        let fitting = quota.remaining(ResourceQuantities::ZERO).fit_count(per_task);
        prop_assert_eq!(is_admitted, fitting >= tasks);
        let fitting = fitting.min(tasks);
        let all_but_one = per_task.multiplied_by(fitting.saturating_sub(1));
        prop_assert!(fitting == 0 || quota.allows(all_but_one, per_task));
        let sum = each * f64::from(fitting);
        prop_assert!(
            sum <= kept_limit * (1.0 + 1e-14),
            "{fitting} x {each:?} = {sum:?} of {limit:?}"
        );
        Ok(())
    });
    result.expect("a divided limit fits");
}

/// Guards against `review/gang-at-limit.toml`: admission and binding counted amounts differently, so that a gang whose
/// tasks use exactly their team's limit was accepted and never started.
#[test]
fn gang_at_its_teams_limit_starts() {
    // Team red has a limit of 40 CPUs. Each is the nearest floating-point number to the exact part.
    for (tasks, cpus) in [(6, 6.666666666666667), (9, 4.444444444444445), (12, 3.3333333333333335)]
    {
        let mut sim = Simulation::new(9, FaultRates::NONE, 1_000);
        let mut gang = job_body("wk-g", "gang", "red", tasks, cpus, 8.0);
        gang["one_zone"] = false.into();
        sim.submit(500, None, gang);
        sim.run_until(120_000);
        let job = &sim.jobs[0];
        assert_eq!(job.last_status.as_deref(), Some("done"), "{tasks} x {cpus}");
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    }
}

/// A job that needs more than its team's limit is refused at submission, also if only by a billionth.
#[test]
fn job_above_its_teams_limit_is_refused() {
    let mut sim = Simulation::new(10, FaultRates::NONE, 1_000);
    for (n, cpus) in [6.666666667667, 6.66666666767, 6.7].into_iter().enumerate() {
        sim.submit(20_000, None, job_body(&format!("wk-g{n}"), "gang", "red", 6, cpus, 8.0));
    }
    sim.submit(20_000, None, job_body("wk-a", "array", "red", 6, 6.7, 8.0));
    sim.run_until(60_000);
    for job in &sim.jobs[..3] {
        assert_eq!(job.refused_with, Some(422), "{}", job.id);
    }
    assert!(sim.jobs[3].accepted, "of an array one task must fit");
}

fn claim_strategy() -> impl Strategy<Value = Vec<QuotaClaim>> {
    let claim = (0..3usize, 0..4u8, 0..12u32, 0..6u32, 1..40u32, any::<bool>(), any::<bool>());
    let claim = (claim, prop::option::of(1_000.0..400_000.0f64), 5_000.0..90_000.0f64);
    let claim = claim.prop_map(
        |((class, rank, waiting, running, cpus_tenths, is_service, is_gang), left, run)| {
            QuotaClaim {
                class,
                priority_rank: rank,
                runs_until_cancelled: is_service,
                all_or_nothing: is_gang && !is_service,
                time_to_deadline_ms: left,
                waiting_tasks: waiting,
                running_tasks: f64::from(running),
                per_task: ResourceQuantities::from_request(f64::from(cpus_tenths) / 10.0, 0.0),
                cpu_weight: f64::from(cpus_tenths) / 10.0,
                task_run_ms: run,
                age_ms: left.unwrap_or(0.0) * 2.0,
                has_started: running > 0,
            }
        },
    );
    prop::collection::vec(claim, 1..12)
}

/// For random claims: the grants never exceed the remaining quota, gangs are granted whole or not at all, and no
/// service of the highest rank is refused a task that would still fit.
#[test]
fn allocation_never_exceeds_remaining_quota() {
    let input = (claim_strategy(), 0..4_000u32);
    test_runner(23, 256)
        .run(&input, |(claims, left)| {
            let left = ResourceQuantities::from_limit(f64::from(left) / 10.0, 0.0);
            let used: ResourceQuantities =
                claims.iter().map(|c| c.per_task.multiplied_by(c.running_tasks as u32)).sum();
            let grants = allocate_quota(left, left + used, &claims);
            let granted: ResourceQuantities =
                claims.iter().zip(&grants).map(|(c, n)| c.per_task.multiplied_by(*n)).sum();
            prop_assert!(left.covers(granted), "{granted:?} of {left:?}");
            for (claim, n) in claims.iter().zip(&grants) {
                prop_assert!(
                    *n <= claim.waiting_tasks
                        && (!claim.all_or_nothing || *n == 0 || *n == claim.waiting_tasks)
                );
            }
            let top = claims.iter().map(|c| c.priority_rank).max();
            let services = claims
                .iter()
                .zip(&grants)
                .filter(|(c, _)| c.runs_until_cancelled && Some(c.priority_rank) == top);
            for (claim, n) in services {
                prop_assert!(*n == claim.waiting_tasks || !(left - granted).covers(claim.per_task));
            }
            Ok(())
        })
        .unwrap();
}

fn array_claim(class: usize, waiting: u32, left_ms: f64) -> QuotaClaim {
    QuotaClaim {
        class,
        priority_rank: 1,
        runs_until_cancelled: false,
        all_or_nothing: false,
        time_to_deadline_ms: Some(left_ms),
        waiting_tasks: waiting,
        running_tasks: 0.0,
        per_task: ResourceQuantities::from_request(1.0, 0.0),
        cpu_weight: 1.0,
        task_run_ms: 10_000.0,
        age_ms: 0.0,
        has_started: false,
    }
}

/// Three jobs with tasks of 10 s share 10 CPUs, and two of them can meet their deadline. The job that would make both
/// late is postponed, although its deadline is the earliest.
#[test]
fn job_that_would_make_others_late_is_postponed() {
    let ten = ResourceQuantities::from_limit(10.0, 0.0);
    let claims =
        [array_claim(0, 30, 30_000.0), array_claim(0, 10, 32_000.0), array_claim(0, 10, 36_000.0)];
    assert_eq!(allocate_quota(ten, ten, &claims), [0, 10, 0]);
    // Without conflict, the job with the earlier deadline is served first.
    let claims = [array_claim(0, 10, 90_000.0), array_claim(0, 10, 50_000.0)];
    assert_eq!(allocate_quota(ten, ten, &claims), [0, 10]);
}

/// Every class gets its share, however much another class demands; and quota is reserved for a gang that is larger than
/// the quota that is free at one time.
#[test]
fn small_classes_and_gangs_are_not_starved() {
    let small = array_claim(1, 4, 300_000.0);
    let (ten, hundred) =
        (ResourceQuantities::from_limit(10.0, 0.0), ResourceQuantities::from_limit(100.0, 0.0));
    let grants = allocate_quota(ten, ten, &[array_claim(0, 500, 60_000.0), small]);
    assert_eq!(grants, [6, 4]);
    let gang = QuotaClaim {
        all_or_nothing: true,
        waiting_tasks: 2,
        per_task: ResourceQuantities::from_request(21.0, 0.0),
        cpu_weight: 21.0,
        ..array_claim(1, 0, 3e5)
    };
    let full = QuotaClaim { running_tasks: 90.0, ..array_claim(0, 500, 60_000.0) };
    for left in [0.0, 10.0, 41.0] {
        let grants = allocate_quota(
            ResourceQuantities::from_limit(left, 0.0),
            hundred,
            &[full.clone(), gang.clone()],
        );
        assert_eq!(grants, [0, 0], "{left} CPUs are reserved for the gang");
    }
    let grants = allocate_quota(ResourceQuantities::from_limit(45.0, 0.0), hundred, &[full, gang]);
    assert_eq!(grants[1], 2);
}

/// No quota is reserved for a gang that does not fit beside the team's services, however long it has waited: other jobs
/// of the team, including a smaller gang, are served. The gang starts once it fits beside the services.
#[test]
fn gang_that_does_not_fit_beside_services_blocks_no_job() {
    let gang = |tasks, age_ms| QuotaClaim {
        all_or_nothing: true,
        age_ms,
        ..array_claim(0, tasks, f64::from(tasks) * 1e6)
    };
    let claims = [gang(10, 900_000.0), gang(6, 800_000.0), array_claim(1, 4, 300_000.0)];
    let cpus = |cpus| ResourceQuantities::from_limit(cpus, 0.0);
    // 8 of 40 CPUs are left beside the service replicas.
    let grants = allocate_quota(cpus(8.0), cpus(8.0), &claims);
    assert_eq!(grants, [0, 6, 2]);
    // Waiting service replicas are served first and reduce the capacity for finite jobs.
    let service =
        QuotaClaim { runs_until_cancelled: true, priority_rank: 2, ..array_claim(2, 3, 1e6) };
    let with = [claims[0].clone(), claims[1].clone(), claims[2].clone(), service];
    assert_eq!(allocate_quota(cpus(8.0), cpus(8.0), &with), [0, 0, 4, 3]);
    // Nor does the gang's demand count for its class's share, of which lower ranks would be deprived.
    let high = QuotaClaim { priority_rank: 2, ..claims[0].clone() };
    assert_eq!(allocate_quota(cpus(8.0), cpus(8.0), &[high, claims[2].clone()]), [0, 4]);
    // If the missing quota is used by finite work, it is reserved for the oldest gang as usual.
    let busy = QuotaClaim { running_tasks: 4.0, ..array_claim(1, 0, 1e6) };
    let with = [claims[0].clone(), claims[1].clone(), claims[2].clone(), busy];
    assert_eq!(allocate_quota(cpus(8.0), cpus(12.0), &with), [0, 0, 0, 0]);
}

/// Quota beside a gang's reservation is granted to other claims, which therefore never delay the gang (backfilling).
#[test]
fn other_jobs_backfill_beside_a_reservation() {
    let cpus = |cpus| ResourceQuantities::from_limit(cpus, 0.0);
    let gang = QuotaClaim { all_or_nothing: true, age_ms: 200_000.0, ..array_claim(0, 12, 1e6) };
    let ahead = QuotaClaim {
        priority_rank: 2,
        running_tasks: 14.0,
        waiting_tasks: 0,
        ..array_claim(1, 0, 1e6)
    };
    let low = |waiting, running| QuotaClaim {
        priority_rank: 0,
        waiting_tasks: waiting,
        running_tasks: running,
        ..array_claim(1, 0, 5e5)
    };
    // 16 CPUs in total, 14 used by a higher rank, 12 reserved for the gang: 4 remain beside it, 2 of them free now.
    let grants = allocate_quota(cpus(2.0), cpus(16.0), &[gang.clone(), ahead.clone(), low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 2]);
    // Running tasks of lower-ranked claims count: with more of them, too little would be left for the gang.
    let grants = allocate_quota(cpus(1.0), cpus(16.0), &[gang.clone(), ahead.clone(), low(5, 4.0)]);
    assert_eq!(grants, [0, 0, 0]);
    // An older claim without waiting tasks ends by itself and is not counted.
    let older = QuotaClaim { age_ms: 300_000.0, ..low(0, 4.0) };
    let grants = allocate_quota(cpus(2.0), cpus(16.0), &[gang.clone(), older, low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 2]);
    // An older claim with waiting tasks is counted: its ending tasks would be replaced.
    let older = QuotaClaim { age_ms: 300_000.0, ..low(100, 4.0) };
    let grants = allocate_quota(cpus(2.0), cpus(16.0), &[gang.clone(), older, low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 0]);
    // The gang starts once it fits, and the other claims get the rest.
    assert_eq!(allocate_quota(cpus(16.0), cpus(16.0), &[gang, low(5, 0.0)]), [12, 4]);
}

fn team_red_usage(
    sim: &Simulation,
    filter: impl Fn(&swiftsail_controller::job::Job) -> bool,
) -> f64 {
    let cluster_state = sim
        .controllers
        .iter()
        .flatten()
        .find_map(Controller::cluster_state)
        .expect("a controller leads");
    let jobs = cluster_state.jobs.values().filter(|j| j.spec.team == "red" && filter(j));
    let running = |j: &swiftsail_controller::job::Job| {
        let attempts = j.attempts.values().filter(|a| a.phase() == AttemptPhase::Running);
        attempts.count() as f64 * j.spec.cpus
    };
    jobs.map(running).sum()
}

/// Service replicas of a team at its limit used to wait until enough of the team's array tasks had ended by themselves.
/// Now just enough array tasks are stopped.
#[test]
fn service_preempts_arrays_of_its_team_at_the_limit() {
    let mut sim = Simulation::with_capacity(4, FaultRates::NONE, 1_000, 20);
    let mut long = job_body("wk-a1", "array", "red", 60, 2.0, 400.0);
    (long["due_s"], long["driftwood"]) = (serde_json::Value::Null, false.into());
    sim.submit(500, None, long);
    sim.run_until(40_000);
    assert_eq!(team_red_usage(&sim, |_| true), 40.0, "the team is at its limit");
    let mut service = job_body("wk-s1", "service", "red", 4, 2.0, 0.0);
    service["scatter"] = false.into();
    sim.submit(40_500, None, service);
    sim.run_until(60_000);
    assert_eq!(
        team_red_usage(&sim, |j| j.id.as_ref() == "wk-s1"),
        8.0,
        "{}",
        sim.describe_job("wk-s1")
    );
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    let stopped = sim.cluster.stopped_tasks.len();
    sim.run_until(90_000);
    assert_eq!(
        (stopped, sim.cluster.stopped_tasks.len()),
        (4, 4),
        "no more tasks are stopped than necessary"
    );
}

/// Machines that only work above its team's limit could use were kept, and paid for, as long as that work waited.
#[test]
fn idle_machines_are_not_kept_for_work_above_a_limit() {
    let mut sim = Simulation::with_capacity(5, FaultRates::NONE, 1_000, 20);
    // The work of team blue leaves many idle machines, while team red waits at its limit.
    let mut blue = job_body("wk-b1", "array", "blue", 120, 2.0, 10.0);
    blue["driftwood"] = false.into();
    let mut red = job_body("wk-a1", "array", "red", 200, 2.0, 400.0);
    (red["driftwood"], red["due_s"]) = (false.into(), serde_json::Value::Null);
    sim.submit(500, None, blue);
    sim.submit(600, None, red);
    let machines =
        |sim: &Simulation| sim.cluster.workers.values().filter(|w| !w.is_terminated).count();
    sim.run_until(25_000);
    let machines_before = machines(&sim);
    sim.run_until(80_000);
    assert_eq!(
        team_red_usage(&sim, |_| true),
        40.0,
        "team red is at its limit and has waiting work"
    );
    let cpus = |w: &swiftsail_simulation::worker::FakeWorker| w.hardware.resources[0];
    let paid_cpus: f64 = sim.cluster.workers.values().filter(|w| !w.is_terminated).map(cpus).sum();
    assert!(
        machines_before > 30 && paid_cpus <= 48.0,
        "{paid_cpus} CPUs are paid for, {machines_before} machines before"
    );
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// The explanation of a waiting job names the team's limit, its usage, and the number of further tasks that the limit
/// allows.
#[test]
fn explanation_names_the_limit_of_a_waiting_job() {
    let mut sim = Simulation::with_capacity(6, FaultRates::NONE, 1_000, 20);
    let mut long = job_body("wk-a1", "array", "red", 60, 2.0, 400.0);
    long["due_s"] = serde_json::Value::Null;
    sim.submit(500, None, long);
    sim.run_until(40_000);
    let requests: Vec<u64> = (0..3)
        .map(|n| sim.schedule_admin_request(40_100, n, AdminRequest::ExplainJob("wk-a1".into())))
        .collect();
    sim.run_until(41_000);
    let reply =
        requests.iter().filter_map(|id| sim.admin_answers.get(id)).find(|r| r.status == 200);
    let explanation: serde_json::Value =
        serde_json::from_slice(&reply.expect("the leader answers").body).expect("JSON");
    assert_eq!(explanation["waits"]["for"], "its team's limit", "{explanation}");
    let limit = &explanation["waits"]["limit"];
    assert_eq!((limit["cpus_used"].as_f64(), limit["more_tasks"].as_u64()), (Some(40.0), Some(0)));
}

/// The records of a page fit into the smallest value size that a platform allows (8 KiB), with long team names and
/// large amounts.
#[test]
fn quota_page_fits_the_smallest_value_size() {
    use swiftsail_controller::quota_records::{MAX_TEAMS_PER_PAGE, divide_into_pages};
    use swiftsail_quota::records::{QuotaHolding, QuotaPool, TeamQuota};
    let name = |n: usize| format!("{n:03}-{}", "x".repeat(40));
    let names: Vec<String> = (0..100).map(name).collect();
    let pages = divide_into_pages(names);
    assert_eq!(pages.iter().map(Vec::len).sum::<usize>(), 100);
    assert!(pages.iter().all(|p| p.len() <= MAX_TEAMS_PER_PAGE));
    let large = ResourceQuantities::from_limit(99_999_999.999, 99_999_999.999);
    let quota = TeamQuota { limit: large, target: large, free: large };
    let pool = QuotaPool { teams: pages[0].iter().map(|t| (t.clone(), quota)).collect() };
    let held = pages[0].iter().map(|t| (t.clone(), large)).collect();
    let configured_limits = pages[0].iter().map(|t| (t.clone(), large)).collect();
    let holding = QuotaHolding { last_transaction: (u64::MAX, u64::MAX), held, configured_limits };
    for bytes in [serde_json::to_vec(&pool), serde_json::to_vec(&holding)] {
        assert!(bytes.expect("JSON").len() <= 8 * 1024);
    }
}

fn simulation_with_durable_records(
    seed: u64,
    faults: FaultRates,
    fault_free_from_ms: u64,
) -> Simulation {
    let mut sim = Simulation::with_capacity(seed, faults, fault_free_from_ms, 20);
    sim.operator = OperatorSettings::parse("test", "[amounts]\ndurable = true\n")
        .expect("the settings are valid");
    sim
}

/// With limits recorded in the state service, message faults, crashes and outages violate no invariant, and all jobs
/// end.
#[test]
fn durable_limits_hold_under_faults() {
    for seed in 0..6 {
        let faults = FaultRates {
            message_loss: 0.03,
            message_delay: 0.01,
            crashes: 4,
            outages_and_hangs: 2,
        };
        let mut sim = simulation_with_durable_records(seed, faults, 90_000);
        submit_mixed_load(&mut sim, 6);
        sim.run_until(300_000);
        assert!(sim.violations.is_empty(), "seed {seed}: {:?}", sim.violations);
        for job in sim.jobs.iter().filter(|j| j.text_field("shape") != "service") {
            assert!(job.is_over(), "seed {seed}: {}", sim.describe_job(&job.id));
        }
        let listed = sim.store.list(quota_records::KEY_PREFIX, None, 1_000);
        let page = quota_records::parse_page(0, &listed);
        assert!(page.is_conserved() && page.holdings.len() == 4, "{page:?}");
    }
}

/// A rolling restart with a lower limit: the lower limit applies once the first controller has it, whichever controller
/// leads, and work above it is stopped. It rises again when the last controller has the higher limit.
#[test]
fn lowest_limit_of_all_controllers_applies() {
    let mut sim = simulation_with_durable_records(7, FaultRates::NONE, 1_000);
    let mut long = job_body("wk-a1", "array", "red", 90, 2.0, 900.0);
    long["due_s"] = serde_json::Value::Null;
    sim.submit(500, None, long);
    sim.run_until(40_000);
    assert_eq!(team_red_usage(&sim, |_| true), 40.0);
    let follower = |sim: &Simulation| {
        (0..3)
            .find(|n| sim.controllers[*n].as_ref().is_some_and(|n| !n.is_leader()))
            .expect("there is a follower")
    };
    let (n, now) = (follower(&sim), 40_000);
    sim.team_red_limits[n] = 24.0;
    sim.schedule_crash(now, n);
    sim.run_until(now + 20_000);
    assert_eq!(
        team_red_usage(&sim, |_| true),
        24.0,
        "although the leader's own settings still have 40"
    );
    // The leader crashes, and another controller with a limit of 40 takes over.
    let leader = leader_index(&sim).expect("there is a leader");
    sim.schedule_crash(60_000, leader);
    sim.run_until(90_000);
    assert_eq!(team_red_usage(&sim, |_| true), 24.0);
    sim.team_red_limits[n] = 40.0;
    sim.schedule_crash(90_000, n);
    sim.run_until(120_000);
    assert_eq!(team_red_usage(&sim, |_| true), 40.0);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}
