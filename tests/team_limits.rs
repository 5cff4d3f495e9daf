//! Teams at their limit: exact amounts, the order in which jobs get them, and one controller's behaviour.

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

/// Tasks of 0.1 CPUs that came and went left a limit of 10 a little short when sums were binary.
#[test]
fn fractions_do_not_drift() {
    let cap = QuotaLimit::from_settings(10.0, 0.0);
    let each = ResourceQuantities::from_request(0.1, 0.0);
    let mut used = ResourceQuantities::default();
    for _ in 0..1_000 {
        used += each.multiplied_by(99);
        used -= each.multiplied_by(98);
        used -= each;
    }
    assert_eq!(used, ResourceQuantities::default());
    assert!(cap.allows(each.multiplied_by(99), each));
    assert!(!cap.allows(
        each.multiplied_by(100),
        ResourceQuantities { cpus: Quantity::from_units(1), ..used }
    ));
    assert!(
        QuotaLimit::from_settings(0.0, 0.0)
            .allows(each.multiplied_by(u32::MAX), each.multiplied_by(u32::MAX))
    );
}

fn claim_strategy() -> impl Strategy<Value = Vec<QuotaClaim>> {
    let claim = (0..3usize, 0..4u8, 0..12u32, 0..6u32, 1..40u32, any::<bool>(), any::<bool>());
    let claim = (claim, prop::option::of(1_000.0..400_000.0f64), 5_000.0..90_000.0f64);
    let claim =
        claim.prop_map(|((class, rank, waiting, running, each, endless, whole), left, run)| {
            QuotaClaim {
                class,
                priority_rank: rank,
                runs_until_cancelled: endless,
                all_or_nothing: whole && !endless,
                time_to_deadline_ms: left,
                waiting_tasks: waiting,
                running_tasks: f64::from(running),
                per_task: ResourceQuantities::from_request(f64::from(each) / 10.0, 0.0),
                cpu_weight: f64::from(each) / 10.0,
                task_run_ms: run,
                age_ms: left.unwrap_or(0.0) * 2.0,
                has_started: running > 0,
            }
        });
    prop::collection::vec(claim, 1..12)
}

/// Whatever is asked: never more than is left, never part of a gang, and nothing is left standing that
/// a claim of the highest rank could take whole.
#[test]
fn what_is_shared_out_is_never_more_than_is_left() {
    let input = (claim_strategy(), 0..4_000u32);
    test_runner(23, 256)
        .run(&input, |(claims, left)| {
            let left = ResourceQuantities::from_limit(f64::from(left) / 10.0, 0.0);
            let used: ResourceQuantities =
                claims.iter().map(|c| c.per_task.multiplied_by(c.running_tasks as u32)).sum();
            let grants = allocate_quota(left, left + used, &claims);
            let given: ResourceQuantities =
                claims.iter().zip(&grants).map(|(c, n)| c.per_task.multiplied_by(*n)).sum();
            prop_assert!(left.covers(given), "{given:?} of {left:?}");
            for (claim, n) in claims.iter().zip(&grants) {
                prop_assert!(
                    *n <= claim.waiting_tasks
                        && (!claim.all_or_nothing || *n == 0 || *n == claim.waiting_tasks)
                );
            }
            let top = claims.iter().map(|c| c.priority_rank).max();
            let endless = claims
                .iter()
                .zip(&grants)
                .filter(|(c, _)| c.runs_until_cancelled && Some(c.priority_rank) == top);
            for (claim, n) in endless {
                prop_assert!(*n == claim.waiting_tasks || !(left - given).covers(claim.per_task));
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

/// Three jobs of 10 s and 10 CPUs in all: two can be done in time. The one that would make both late is
/// put off, though its deadline is the soonest.
#[test]
fn the_job_that_would_make_others_late_is_put_off() {
    let ten = ResourceQuantities::from_limit(10.0, 0.0);
    let claims =
        [array_claim(0, 30, 30_000.0), array_claim(0, 10, 32_000.0), array_claim(0, 10, 36_000.0)];
    assert_eq!(allocate_quota(ten, ten, &claims), [0, 10, 0]);
    // Alone it would be in time, and its deadline is the soonest.
    let claims = [array_claim(0, 10, 90_000.0), array_claim(0, 10, 50_000.0)];
    assert_eq!(allocate_quota(ten, ten, &claims), [0, 10]);
}

/// Every class has its part, however much another wants; and a gang larger than what comes free at once
/// is saved up for.
#[test]
fn no_class_is_starved_by_a_larger_one() {
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
        assert_eq!(grants, [0, 0], "{left} is saved up");
    }
    let grants = allocate_quota(ResourceQuantities::from_limit(45.0, 0.0), hundred, &[full, gang]);
    assert_eq!(grants[1], 2);
}

/// A gang that the team's services leave no room for is not saved up for, however long it has waited: others of the
/// team go on, a smaller gang and an array among them; and it starts as soon as the services leave room.
#[test]
fn what_services_leave_no_room_for_holds_nobody_up() {
    let gang = |tasks, age_ms| QuotaClaim {
        all_or_nothing: true,
        age_ms,
        ..array_claim(0, tasks, f64::from(tasks) * 1e6)
    };
    let claims = [gang(10, 900_000.0), gang(6, 800_000.0), array_claim(1, 4, 300_000.0)];
    let of = |cpus| ResourceQuantities::from_limit(cpus, 0.0);
    // 8 of 40 CPUs are left, the others are replicas'.
    let grants = allocate_quota(of(8.0), of(8.0), &claims);
    assert_eq!(grants, [0, 6, 2]);
    // Replicas that want what is left come first, and then leave as much less.
    let service =
        QuotaClaim { runs_until_cancelled: true, priority_rank: 2, ..array_claim(2, 3, 1e6) };
    let with = [claims[0].clone(), claims[1].clone(), claims[2].clone(), service];
    assert_eq!(allocate_quota(of(8.0), of(8.0), &with), [0, 0, 4, 3]);
    // Nor does it count as its class's part, which lower ranks would go without.
    let high = QuotaClaim { priority_rank: 2, ..claims[0].clone() };
    assert_eq!(allocate_quota(of(8.0), of(8.0), &[high, claims[2].clone()]), [0, 4]);
    // If as much is finite work's, the oldest is saved up for as ever.
    let busy = QuotaClaim { running_tasks: 4.0, ..array_claim(1, 0, 1e6) };
    let with = [claims[0].clone(), claims[1].clone(), claims[2].clone(), busy];
    assert_eq!(allocate_quota(of(8.0), of(12.0), &with), [0, 0, 0, 0]);
}

/// What is saved up for one that starts whole is not kept from others that leave it its room all the same: they run
/// beside it, and never delay it.
#[test]
fn others_run_beside_what_is_saved_up_for() {
    let of = |cpus| ResourceQuantities::from_limit(cpus, 0.0);
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
    // 16 in all, 14 run of a higher rank, and 12 are saved up for: 4 remain beside it, 2 of them free now.
    let grants = allocate_quota(of(2.0), of(16.0), &[gang.clone(), ahead.clone(), low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 2]);
    // What runs of theirs already counts: nothing more would be left for the gang.
    let grants = allocate_quota(of(1.0), of(16.0), &[gang.clone(), ahead.clone(), low(5, 4.0)]);
    assert_eq!(grants, [0, 0, 0]);
    // Whoever came before it ends by itself and is not counted.
    let older = QuotaClaim { age_ms: 300_000.0, ..low(0, 4.0) };
    let grants = allocate_quota(of(2.0), of(16.0), &[gang.clone(), older, low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 2]);
    // One of them that has more waiting does not: what of it ends would be replaced.
    let older = QuotaClaim { age_ms: 300_000.0, ..low(100, 4.0) };
    let grants = allocate_quota(of(2.0), of(16.0), &[gang.clone(), older, low(5, 0.0)]);
    assert_eq!(grants, [0, 0, 0]);
    // It starts as soon as it fits, and the others have what it leaves.
    assert_eq!(allocate_quota(of(16.0), of(16.0), &[gang, low(5, 0.0)]), [12, 4]);
}

fn team_red_usage(
    world: &Simulation,
    what: impl Fn(&swiftsail_controller::job::Job) -> bool,
) -> f64 {
    let tables = world
        .controllers
        .iter()
        .flatten()
        .find_map(Controller::cluster_state)
        .expect("somebody leads");
    let jobs = tables.jobs.values().filter(|j| j.spec.team == "red" && what(j));
    let running = |j: &swiftsail_controller::job::Job| {
        let attempts = j.attempts.values().filter(|a| a.phase() == AttemptPhase::Running);
        attempts.count() as f64 * j.spec.cpus
    };
    jobs.map(running).sum()
}

/// A replica of a team at its limit used to wait until enough of its team's arrays had ended by themselves.
#[test]
fn a_replica_does_not_wait_for_its_own_teams_arrays() {
    let mut world = Simulation::with_capacity(4, FaultRates::NONE, 1_000, 20);
    let mut long = job_body("wk-a1", "array", "red", 60, 2.0, 400.0);
    (long["due_s"], long["driftwood"]) = (serde_json::Value::Null, false.into());
    world.submit(500, None, long);
    world.run_until(40_000);
    assert_eq!(team_red_usage(&world, |_| true), 40.0, "the team is at its limit");
    let mut service = job_body("wk-s1", "service", "red", 4, 2.0, 0.0);
    service["scatter"] = false.into();
    world.submit(40_500, None, service);
    world.run_until(60_000);
    assert_eq!(
        team_red_usage(&world, |j| j.id.as_ref() == "wk-s1"),
        8.0,
        "{}",
        world.describe_job("wk-s1")
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let first = world.cluster.stopped_tasks.len();
    world.run_until(90_000);
    assert_eq!(
        (first, world.cluster.stopped_tasks.len()),
        (4, 4),
        "only as much is stopped as it lacks"
    );
}

/// Machines that only work over its team's limit could use were kept, and paid for, as long as it waited.
#[test]
fn machines_that_nobody_may_use_go_back() {
    let mut world = Simulation::with_capacity(5, FaultRates::NONE, 1_000, 20);
    // Blue's work leaves many machines behind, and red waits at its limit all the while.
    let mut blue = job_body("wk-b1", "array", "blue", 120, 2.0, 10.0);
    blue["driftwood"] = false.into();
    let mut red = job_body("wk-a1", "array", "red", 200, 2.0, 400.0);
    (red["driftwood"], red["due_s"]) = (false.into(), serde_json::Value::Null);
    world.submit(500, None, blue);
    world.submit(600, None, red);
    let machines =
        |world: &Simulation| world.cluster.workers.values().filter(|w| !w.is_terminated).count();
    world.run_until(25_000);
    let most = machines(&world);
    world.run_until(80_000);
    assert_eq!(team_red_usage(&world, |_| true), 40.0, "red is at its limit, and more of it waits");
    let cpus = |w: &swiftsail_simulation::worker::FakeWorker| w.hardware.resources[0];
    let up: f64 = world.cluster.workers.values().filter(|w| !w.is_terminated).map(cpus).sum();
    assert!(most > 30 && up <= 48.0, "{up} CPUs are paid for, {most} machines before");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// "Why is it waiting?" names the limit, what the team uses of it, and how many more tasks it leaves.
#[test]
fn operators_are_told_that_a_limit_holds_work_back() {
    let mut world = Simulation::with_capacity(6, FaultRates::NONE, 1_000, 20);
    let mut long = job_body("wk-a1", "array", "red", 60, 2.0, 400.0);
    long["due_s"] = serde_json::Value::Null;
    world.submit(500, None, long);
    world.run_until(40_000);
    let asks: Vec<u64> = (0..3)
        .map(|n| world.schedule_admin_request(40_100, n, AdminRequest::ExplainJob("wk-a1".into())))
        .collect();
    world.run_until(41_000);
    let found = asks.iter().filter_map(|id| world.admin_answers.get(id)).find(|r| r.status == 200);
    let told: serde_json::Value =
        serde_json::from_slice(&found.expect("the leader answers").body).expect("JSON");
    assert_eq!(told["waits"]["for"], "its team's limit", "{told}");
    let limit = &told["waits"]["limit"];
    assert_eq!((limit["cpus_used"].as_f64(), limit["more_tasks"].as_u64()), (Some(40.0), Some(0)));
}

/// A page of teams fits the smallest value that a platform allows, with long names and any amounts.
#[test]
fn a_page_of_teams_fits_a_value() {
    use swiftsail_controller::quota_records::{MAX_TEAMS_PER_PAGE, divide_into_pages};
    use swiftsail_quota::records::{QuotaHolding, QuotaPool, TeamQuota};
    let name = |n: usize| format!("{n:03}-{}", "x".repeat(40));
    let names: Vec<String> = (0..100).map(name).collect();
    let pages = divide_into_pages(names);
    assert_eq!(pages.iter().map(Vec::len).sum::<usize>(), 100);
    assert!(pages.iter().all(|p| p.len() <= MAX_TEAMS_PER_PAGE));
    let much = ResourceQuantities::from_limit(99_999_999.999, 99_999_999.999);
    let kept = TeamQuota { limit: much, target: much, free: much };
    let pool = QuotaPool { teams: pages[0].iter().map(|t| (t.clone(), kept)).collect() };
    let has = pages[0].iter().map(|t| (t.clone(), much)).collect();
    let sees = pages[0].iter().map(|t| (t.clone(), much)).collect();
    let holding =
        QuotaHolding { last_transaction: (u64::MAX, u64::MAX), held: has, configured_limits: sees };
    for bytes in [serde_json::to_vec(&pool), serde_json::to_vec(&holding)] {
        assert!(bytes.expect("JSON").len() <= 8 * 1024);
    }
}

fn simulation_with_durable_records(seed: u64, weather: FaultRates, calm_ms: u64) -> Simulation {
    let mut world = Simulation::with_capacity(seed, weather, calm_ms, 20);
    world.operator =
        OperatorSettings::parse("test", "[amounts]\ndurable = true\n").expect("it is sound");
    world
}

/// With limits held in the state service, rough days break no rule either, and everything ends.
#[test]
fn rough_days_with_durable_limits_break_no_rule() {
    for seed in 0..6 {
        let rough = FaultRates {
            message_loss: 0.03,
            message_delay: 0.01,
            crashes: 4,
            outages_and_hangs: 2,
        };
        let mut world = simulation_with_durable_records(seed, rough, 90_000);
        submit_mixed_load(&mut world, 6);
        world.run_until(300_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for job in world.jobs.iter().filter(|j| j.text_field("shape") != "service") {
            assert!(job.is_over(), "seed {seed}: {}", world.describe_job(&job.id));
        }
        let listed = world.store.list(quota_records::KEY_PREFIX, None, 1_000);
        let page = quota_records::parse_page(0, &listed);
        assert!(page.is_conserved() && page.holdings.len() == 4, "{page:?}");
    }
}

/// A rolling restart with a lower limit: the lower counts from the first controller that names it on, whoever
/// leads, and work that is over it is stopped; it rises again when the last names the higher.
#[test]
fn the_lowest_limit_of_all_controllers_counts() {
    let mut world = simulation_with_durable_records(7, FaultRates::NONE, 1_000);
    let mut long = job_body("wk-a1", "array", "red", 90, 2.0, 900.0);
    long["due_s"] = serde_json::Value::Null;
    world.submit(500, None, long);
    world.run_until(40_000);
    assert_eq!(team_red_usage(&world, |_| true), 40.0);
    let follower = |world: &Simulation| {
        (0..3)
            .find(|n| world.controllers[*n].as_ref().is_some_and(|n| !n.is_leader()))
            .expect("one follows")
    };
    let (n, now) = (follower(&world), 40_000);
    world.team_red_limits[n] = 24.0;
    world.schedule_crash(now, n);
    world.run_until(now + 20_000);
    assert_eq!(team_red_usage(&world, |_| true), 24.0, "the leader's own settings still say 40");
    // The leader ends, and another that says 40 leads.
    let leader = leader_index(&world).expect("one leads");
    world.schedule_crash(60_000, leader);
    world.run_until(90_000);
    assert_eq!(team_red_usage(&world, |_| true), 24.0);
    world.team_red_limits[n] = 40.0;
    world.schedule_crash(90_000, n);
    world.run_until(120_000);
    assert_eq!(team_red_usage(&world, |_| true), 40.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
