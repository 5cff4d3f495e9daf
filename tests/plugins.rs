//! Plug-ins and policies: whatever they say, loop or leave out, the rules hold and services keep
//! their timing.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use std::collections::BTreeMap;
use swiftsail_controller::controller::AdminRequest;
use swiftsail_policy::attributes::{AttributeValues, CLUSTER_ATTRIBUTES, JOB_ATTRIBUTES};
use swiftsail_policy::constants::{
    MAX_CALL_OPS, MAX_DELIVERY_EVENTS, MAX_OUTBOX_EVENTS, MAX_PLUGIN_OPS_PER_S, MAX_SCORE,
    MAX_SLOW_CYCLES, MIN_DELIVERY_INTERVAL_MS,
};
use swiftsail_policy::hooks::{Hook, HookAnswer, compose_answers};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::outbox::{EventOutbox, EventReceiver, ReportedEvent};
use swiftsail_policy::plugin::{
    PluginKind, PluginOffer, PluginRecord, PluginState, PluginTransition, source_hash,
    split_into_chunks,
};
use swiftsail_policy::plugin_host::{HookContext, PluginHost};
use swiftsail_simulation::simulation::{FaultRates, Simulation, job_body, submit_mixed_load};

/// It never ends.
const ENDLESS_LOOP: &str = "fn priority(job, cluster) { let n = 0; while true { n += 1; } n }";
/// It fails on every call.
const FAILING_HOOK: &str = "fn spot_share(job, cluster) { throw \"not today\" }";
/// It answers nonsense.
const INVALID_RESULT: &str = "fn class_order(class, cluster) { \"soon\" }";

fn parse_operator(policy: &str) -> OperatorSettings {
    let text = format!("[plugins]\nenabled = true\n[policy]\n{policy}");
    OperatorSettings::parse("test", &text).expect("the test's file is sound")
}

fn offer_plugin(name: &str, source: &str, precedence: u32) -> AdminRequest {
    let offer =
        PluginOffer { kind: PluginKind::Decision, source: source.into(), precedence, enable: true };
    AdminRequest::OfferPlugin(name.into(), serde_json::to_vec(&offer).expect("our own type"))
}

fn admin_answer_body(world: &Simulation, answer: u64) -> serde_json::Value {
    let reply = world.admin_answers.get(&answer).expect("an answer came");
    serde_json::from_slice(&reply.body).expect("answers are JSON")
}

/// Services like the yard's temperature watch, and arrays beside them.
fn submit_services_and_arrays(world: &mut Simulation) {
    for n in 0..8u64 {
        let id = format!("wk-s{n}");
        world.submit(1_000 + n * 6_000, None, job_body(&id, "service", "blue", 1, 2.0, 0.0));
        let id = format!("wk-a{n}");
        let mut array = job_body(&id, "array", "blue", 6, 1.0, 20.0);
        // No service preempts it, so whatever stops it would be for a plug-in's sake.
        array["rank"] = "production".into();
        world.submit(500 + n * 5_000, None, array);
    }
    // It never finds room, so plug-ins are asked about it in every round.
    world.submit(3_000, None, job_body("wk-g0", "gang", "blue", 300, 1.0, 20.0));
}

#[test]
fn faulty_plugins_are_suspended_and_services_keep_their_timing() {
    let play = |plugins: bool| {
        let mut world = Simulation::new(8, FaultRates::NONE, 1_000);
        world.operator = parse_operator("");
        submit_services_and_arrays(&mut world);
        let mut answers = Vec::new();
        if plugins {
            for (n, source) in [ENDLESS_LOOP, FAILING_HOOK, INVALID_RESULT].into_iter().enumerate()
            {
                let name = ["loops", "fails", "nonsense"][n];
                answers.push(world.schedule_admin_request(
                    5_000 + n as u64 * 200,
                    n,
                    offer_plugin(name, source, 10),
                ));
            }
        }
        world.run_until(60_000);
        for answer in answers {
            assert_eq!(
                world.admin_answers[&answer].status,
                200,
                "{:?}",
                admin_answer_body(&world, answer)
            );
        }
        let list = world.schedule_admin_request(60_500, 2, AdminRequest::Plugins);
        world.run_until(61_000);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        (world, list)
    };
    let ((without, _), (with, list)) = (play(false), play(true));
    // None waits longer, none is stopped, for their sake.
    assert!(with.cluster.stopped_tasks.is_empty(), "{:?}", with.cluster.stopped_tasks);
    let services =
        without.cluster.first_started_at.iter().filter(|(name, _)| name.starts_with("wk-s"));
    let mut compared = 0;
    for (name, at) in services {
        let beside = with.cluster.first_started_at.get(name).expect("it runs beside plug-ins too");
        assert!(beside.abs_diff(*at) <= 1_000, "{name}: {} ms", beside.abs_diff(*at));
        compared += 1;
    }
    assert_eq!(compared, 8);
    let shown = admin_answer_body(&with, list);
    let shown = shown["plugins"].as_array().expect("a list");
    assert_eq!(shown.len(), 3);
    for plugin in shown {
        assert_eq!(plugin["state"], "suspended", "{plugin}");
        assert!(plugin["reason"].as_str().is_some_and(|r| r.contains("faults")), "{plugin}");
    }
}

#[test]
fn plugins_outlive_leaders_and_leave_nothing_behind() {
    let mut world = Simulation::new(21, FaultRates::NONE, 1_000);
    world.operator = parse_operator("");
    submit_services_and_arrays(&mut world);
    // Longer than one value of the state service holds.
    let long = format!("fn priority(job, cluster) {{ 5 }}\n// {}", "x".repeat(15_000));
    let added = world.schedule_admin_request(4_000, 1, offer_plugin("long", &long, 10));
    world.run_until(8_000);
    assert_eq!(world.admin_answers[&added].status, 200, "{}", admin_answer_body(&world, added));
    let leader = world.controllers.iter().flatten().position(|n| n.is_leader()).expect("one leads");
    world.schedule_crash(9_000, leader);
    world.run_until(20_000);
    let other = (leader + 1) % 3;
    let asks: Vec<u64> = (0..3)
        .map(|n| world.schedule_admin_request(20_100, n, AdminRequest::ExplainJob("wk-s1".into())))
        .collect();
    world.run_until(21_000);
    // The new leader has the set; the others name it.
    let replies = asks.iter().map(|a| world.admin_answers[a].status);
    assert_eq!(replies.filter(|s| *s == 200).count(), 1);
    let found = asks.iter().find(|a| world.admin_answers[*a].status == 200).expect("one leads");
    let found = admin_answer_body(&world, *found);
    assert_eq!(found["taken"]["priority"], 5.0, "{found}");
    assert_eq!(found["hooks"]["priority"]["said"][0]["plugin"], "long");
    let off = world.schedule_admin_request(
        21_100,
        other,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Disable),
    );
    let gone = world.schedule_admin_request(
        24_000,
        leader,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Remove),
    );
    let again = world.schedule_admin_request(
        26_000,
        other,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Enable),
    );
    world.run_until(28_000);
    assert_eq!(world.admin_answers[&off].status, 200, "{}", admin_answer_body(&world, off));
    assert_eq!(world.admin_answers[&gone].status, 200, "{}", admin_answer_body(&world, gone));
    assert_eq!(world.admin_answers[&again].status, 404);
    assert_eq!(world.store.count_keys("plug/"), 1, "its record alone says that it was there");
    assert!(world.store.largest_value <= 8 * 1024);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// A plug-in that avoids every machine but the costliest would keep a service waiting for a boot.
#[test]
fn where_production_work_goes_is_not_narrowed() {
    let mut world = Simulation::new(31, FaultRates::NONE, 1_000);
    world.operator = parse_operator("");
    submit_services_and_arrays(&mut world);
    let mut array = job_body("wk-n1", "array", "blue", 4, 1.0, 60.0);
    array["due_s"] = serde_json::Value::Null;
    world.submit(9_000, None, array);
    let source = "fn avoid_types(job, types) { types }\nfn spot_share(job, cluster) { 0 }\n\
                  fn admit(job, cluster) { 30 }";
    world.schedule_admin_request(4_000, 0, offer_plugin("narrow", source, 1));
    world.run_until(20_000);
    let asks: Vec<u64> = (0..3)
        .map(|n| world.schedule_admin_request(20_100, n, AdminRequest::ExplainJob("wk-s1".into())))
        .collect();
    world.run_until(21_000);
    let found = asks.iter().find(|a| world.admin_answers[*a].status == 200).expect("one leads");
    let found = admin_answer_body(&world, *found);
    assert_eq!(found["taken"]["avoid_types"].as_array().map(Vec::len), Some(0), "{found}");
    assert_eq!(found["taken"]["spot_share"], 1.0);
    let accepted = |id: &str| world.jobs.iter().any(|j| j.id == id && j.accepted);
    assert!(accepted("wk-s2"), "a service is never asked to come back");
    assert!(!accepted("wk-n1"), "what is not production work may be");
}

/// Sources of plug-ins, sound and not, and what they advise.
fn plugin_source() -> impl Strategy<Value = String> {
    prop_oneof![
        (-100i32..100).prop_map(|n| format!("fn priority(job, cluster) {{ {n} }}")),
        (0i32..200).prop_map(|n| format!(
            "fn priority(job, cluster) {{ if job.waiting > {n} {{ 100 }} else {{ -100 }} }}\n\
             fn avoid_types(job, types) {{ types }}"
        )),
        (0i32..1000).prop_map(|n| format!("fn class_order(class, cluster) {{ {n} }}")),
        (0i32..10).prop_map(|n| format!("fn spot_share(job, cluster) {{ 0.{n} }}")),
        (0i32..40).prop_map(|n| format!("fn admit(job, cluster) {{ if job.tasks > 7 {{ {n} }} }}")),
        Just("fn avoid_types(job, types) { [\"m8\"] }".to_string()),
        Just("fn admit(job, cluster) { job.left_s / 0 }".to_string()),
        Just(ENDLESS_LOOP.to_string()),
        Just(FAILING_HOOK.to_string()),
        Just(INVALID_RESULT.to_string()),
        Just("fn priority(job, cluster) { priority(job, cluster) }".to_string()),
        Just("fn priority(job, cluster) { let a = \"x\"; loop { a += a; } }".to_string()),
    ]
}

fn policy_source() -> impl Strategy<Value = String> {
    (0..100u32, 1..12u32, 5..60u32, 0..8u32, 0..=10u32).prop_map(
        |(threshold, cap, round, reserve, spot)| {
            format!(
                "threshold = \"if job.waiting > 3 {{ {} }} else {{ 0.75 }}\"\n\
                 line_cap = {cap}\nround_s = {}\nreserve = \"{reserve} + cluster.late % 2\"\n\
                 spot_share = {}\ntoggle = 3\nidle_s = 5.5\n",
                f64::from(threshold) / 100.0,
                f64::from(round) / 10.0,
                f64::from(spot) / 10.0
            )
        },
    )
}

#[test]
fn whatever_plugins_and_policies_say_no_rule_is_broken() {
    let one = (plugin_source(), 0..60_000u64, 0..60_000u64, 0..3usize, 0..3u32);
    let all = (0..1_000u64, policy_source(), prop::collection::vec(one, 1..5));
    type Plugin = (String, u64, u64, usize, u32);
    let play = |(seed, policy, plugins): (u64, String, Vec<Plugin>)| {
        let mut world = Simulation::new(seed, FaultRates::MANY, 90_000);
        world.operator = parse_operator(&policy);
        submit_mixed_load(&mut world, 5);
        for (n, (source, add, remove, node, precedence)) in plugins.into_iter().enumerate() {
            world.schedule_admin_request(
                add,
                node,
                offer_plugin(&format!("p{n}"), &source, precedence),
            );
            let gone = AdminRequest::ChangePlugin(format!("p{n}"), PluginTransition::Remove);
            world.schedule_admin_request(add + remove, (node + 1) % 3, gone);
        }
        world.run_until(330_000);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        for job in &world.jobs {
            let last = job.last_status.as_deref().unwrap_or("no answer");
            // A user gives up after its retries only in the bench: here advice delays it, no more.
            let fine = if job.cancel_at.is_some() {
                job.is_over()
            } else if job.text_field("shape") == "service" {
                last == "running"
            } else {
                last == "done"
            };
            prop_assert!(fine, "{} ended as {last}: {}", job.id, world.describe_job(&job.id));
        }
        Ok(())
    };
    test_runner(3, 12).run(&all, play).unwrap();
}

#[test]
fn a_plugin_that_makes_passes_slow_is_suspended() {
    let mut host = PluginHost::default();
    let source = "fn priority(job, cluster) { let n = 0; for i in 0..150 { n += i; } 1 }";
    host.install(vec![(plugin_record("busy", source, 1), source.into())]);
    let (job, second) = (
        AttributeValues::sample(JOB_ATTRIBUTES, 0),
        HookContext::Cluster(AttributeValues::sample(CLUSTER_ATTRIBUTES, 0)),
    );
    let mut passes = 0;
    while host.take_newly_suspended().is_empty() {
        passes += 1;
        assert!(passes <= 2 * MAX_SLOW_CYCLES, "it is found within some passes");
        host.begin_cycle(passes as u64 * 2_000);
        for _ in 0..100 {
            host.run_hook(Hook::Priority, &job, &second, passes as u64 * 2_000);
        }
        host.end_cycle(20);
    }
    assert_eq!(host.statuses()[0].record.state, PluginState::Suspended);
    assert!(
        host.statuses()[0].record.reason.as_ref().is_some_and(|r| r.contains("work of passes"))
    );
    // Beyond its second's operations it was not called at all.
    assert!(host.statuses()[0].ops <= passes as u64 * (MAX_PLUGIN_OPS_PER_S + MAX_CALL_OPS));
}

fn plugin_record(name: &str, source: &str, precedence: u32) -> PluginRecord {
    PluginRecord {
        name: name.into(),
        kind: PluginKind::Decision,
        state: PluginState::Active,
        version: 1,
        hash: source_hash(source),
        precedence,
        chunks: 1,
        hooks: PluginHost::default().validate_source(PluginKind::Decision, source).expect("sound"),
        reason: None,
        changed_wall: 0,
    }
}

#[test]
fn two_that_disagree_are_composed_by_the_documented_rule() {
    let play = |hook: Hook, sources: &[(&str, u32)]| {
        let mut host = PluginHost::default();
        let named = sources.iter().enumerate().map(|(n, (source, precedence))| {
            (plugin_record(&format!("p{n}"), source, *precedence), source.to_string())
        });
        host.install(named.collect());
        let job = AttributeValues::sample(JOB_ATTRIBUTES, 0);
        let second = match hook {
            Hook::AvoidTypes => HookContext::MachineTypes(vec!["s".into(), "m".into()]),
            _ => HookContext::Cluster(AttributeValues::sample(CLUSTER_ATTRIBUTES, 0)),
        };
        let first = if hook == Hook::ClassOrder {
            AttributeValues::sample(swiftsail_policy::attributes::CLASS_ATTRIBUTES, 0)
        } else {
            job
        };
        host.run_hook(hook, &first, &second, 0)
    };
    let priority = |n: i32| format!("fn priority(job, cluster) {{ {n} }}");
    let (a, b) = (priority(80), priority(70));
    let sum = play(Hook::Priority, &[(&a, 2), (&b, 1)]);
    assert_eq!(sum.composed, Some(HookAnswer::Score(MAX_SCORE)));
    assert_eq!(sum.responses[0].plugin, "p1", "the stronger speaks first");
    let order = |n: i32| format!("fn class_order(class, cluster) {{ {n} }}");
    let (silent, c) = ("fn class_order(class, cluster) { }", order(7));
    let first = play(Hook::ClassOrder, &[(&order(9), 5), (silent, 1), (&c, 2)]);
    assert_eq!(first.composed, Some(HookAnswer::ClassOrder(7)));
    let share = |n: &str| format!("fn spot_share(job, cluster) {{ {n} }}");
    let least = play(Hook::SpotShare, &[(&share("0.4"), 1), (&share("0.2"), 9)]);
    assert_eq!(least.composed, Some(HookAnswer::SpotShare(0.2)));
    let avoid = |n: &str| format!("fn avoid_types(job, types) {{ [\"{n}\"] }}");
    let both = play(Hook::AvoidTypes, &[(&avoid("s"), 1), (&avoid("m"), 2)]);
    let names = ["m", "s"].map(String::from).into_iter().collect();
    assert_eq!(both.composed, Some(HookAnswer::AvoidTypes(names)));
    assert_eq!(
        compose_answers(Hook::Admit, &[HookAnswer::RetryAfterS(2.0), HookAnswer::RetryAfterS(9.0)]),
        Some(HookAnswer::RetryAfterS(9.0))
    );
    assert_eq!(compose_answers(Hook::Admit, &[]), None);
}

#[test]
fn the_life_of_a_plugin_keeps_to_its_states() {
    let steps = [
        PluginTransition::Check,
        PluginTransition::Enable,
        PluginTransition::Disable,
        PluginTransition::Suspend,
        PluginTransition::Offer,
        PluginTransition::Remove,
    ];
    test_runner(4, 256)
        .run(&prop::collection::vec(0..steps.len(), 1..30), |taken| {
            let mut state = PluginState::Offered;
            let mut checked = false;
            for n in taken {
                let Some(next) = state.transition(steps[n]) else { continue };
                if steps[n] == PluginTransition::Offer {
                    checked = false;
                }
                checked |= steps[n] == PluginTransition::Check;
                // Nothing unchecked is ever asked; only what was asked is suspended.
                prop_assert!(next != PluginState::Active || checked);
                prop_assert!(next != PluginState::Suspended || state == PluginState::Active);
                prop_assert!(state != PluginState::Removed || next == PluginState::Offered);
                state = next;
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn policies_are_refused_by_name_and_place() {
    let refused = |line: &str| {
        let text = format!("[plugins]\nenabled = true\n\n[policy]\n{line}\n");
        OperatorSettings::parse("file", &text).expect_err(line).to_string()
    };
    for (line, words) in [
        (
            "threshold = 'if job.pririty == \"low\" { 0.5 } else { 0.7 }'",
            "line 5, column 21: policy `threshold`: unknown attribute of job: `pririty`; did you mean `priority`?",
        ),
        ("line_cap = 'if cluster.ready > 2 { 6 } else { cluster.redy }'", "did you mean `ready`?"),
        (
            "treshold = 0.5",
            "line 5, column 1: policy `treshold`: unknown setting of the policy: `treshold`; did you mean `threshold`?",
        ),
        ("threshold = 1.5", "gives 1.5; a number from 0 to 1 is expected"),
        ("threshold = 'job.spot'", "gives bool; a number is expected"),
        ("line_cap = 6.5", "gives 6.5; a whole number is expected"),
        ("round_s = 'job.waiting'", "unknown name `job`"),
        ("threshold = '1 +'", "policy `threshold`"),
        ("threshold = true", "a number, or an expression in quotes, is expected"),
        ("threshold = 'eval(\"0.5\")'", "eval"),
    ] {
        let found = refused(line);
        assert!(found.contains(words), "{line}: {found}");
    }
    let costly = format!("threshold = '{}0.5'", "job.cpus * 0.0 + ".repeat(400));
    assert!(refused(&costly).contains("policy `threshold`"), "an expression too costly");
}

#[test]
fn hostile_sources_and_files_are_refused_without_a_panic() {
    test_runner(5, 400)
        .run(&"[ -~\n]{0,120}", |text| {
            let _ = OperatorSettings::parse("file", &text);
            let _ = OperatorSettings::parse("file", &format!("[policy]\nthreshold = '''{text}'''"));
            let _ = PluginHost::default().validate_source(PluginKind::Decision, &text);
            let _ = PluginHost::default().validate_source(PluginKind::EventReceiver, &text);
            let source = format!("fn priority(job, cluster) {{ {text} }}");
            let _ = swiftsail_policy::plugin_host::try_hook(&source, Hook::Priority);
            let parts = split_into_chunks(&text, 7);
            prop_assert!(parts.iter().all(|p| p.len() <= 7));
            prop_assert_eq!(parts.concat(), text);
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_examples_and_the_deployed_file_are_sound() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    OperatorSettings::load(&root.join("deploy/operator.toml")).expect("the deployed file is sound");
    let mut seen = 0;
    for entry in std::fs::read_dir(root.join("examples/plugins")).expect("there are examples") {
        let path = entry.expect("readable").path();
        let source = std::fs::read_to_string(&path).expect("readable");
        let toml = path.extension().is_some_and(|e| e == "toml");
        let kind = if toml { PluginKind::EventReceiver } else { PluginKind::Decision };
        let hooks = PluginHost::default().validate_source(kind, &source).expect("sound");
        for hook in hooks {
            swiftsail_policy::plugin_host::try_hook(&source, hook).expect("it answers on samples");
        }
        seen += 1;
    }
    assert!(seen >= 3);
}

#[test]
fn the_deployed_policy_is_the_built_in_one() {
    use swiftsail_policy::scheduling_policy::{PolicyParameter, default_value};
    let text = include_str!("../deploy/operator.toml");
    let mut deployed = OperatorSettings::parse("file", text).expect("sound").compiled_policy();
    let none = AttributeValues::sample(CLUSTER_ATTRIBUTES, 0);
    for knob in [
        PolicyParameter::DroppingToggle,
        PolicyParameter::QueueLimit,
        PolicyParameter::RoundIntervalS,
        PolicyParameter::ServiceHeadroom,
        PolicyParameter::IdleTimeoutS,
    ] {
        assert_eq!(deployed.cluster_value(knob, &none), default_value(knob), "{knob:?}");
    }
    for knob in [PolicyParameter::PruningThreshold, PolicyParameter::SpotShare] {
        assert_eq!(deployed.job_value(knob, &none, &none, &none), default_value(knob), "{knob:?}");
    }
    use swiftsail_controller::cycle_policy::CyclePolicy;
    let built_in = CyclePolicy::default();
    assert_eq!(
        default_value(PolicyParameter::PruningThreshold),
        built_in.default_job.pruning_threshold
    );
    assert_eq!(default_value(PolicyParameter::QueueLimit), built_in.queue_limit as f64);
    assert_eq!(
        default_value(PolicyParameter::RoundIntervalS) * 1000.0,
        built_in.round_interval_ms as f64
    );
    assert_eq!(
        default_value(PolicyParameter::IdleTimeoutS) * 1000.0,
        built_in.idle_timeout_ms as f64
    );
    assert_eq!(default_value(PolicyParameter::ServiceHeadroom), f64::from(built_in.headroom_tasks));
}

#[test]
fn a_policy_that_fails_at_run_time_falls_back_and_is_told_once() {
    let policy = BTreeMap::from([(
        "threshold".to_string(),
        "if job.cpus == 12345.0 { job.cpus } else { 0.5 }".to_string(),
    )]);
    // On samples it is sound; a job of so many CPUs is none of them.
    let mut policy = swiftsail_policy::scheduling_policy::SchedulingPolicy::new(&policy)
        .expect("sound on samples");
    let mut values = JOB_ATTRIBUTES.iter().map(|(_, kind, _)| match kind {
        swiftsail_policy::attributes::AttributeType::Text => {
            swiftsail_policy::attributes::AttributeValue::Text("x".into())
        }
        swiftsail_policy::attributes::AttributeType::Boolean => {
            swiftsail_policy::attributes::AttributeValue::Boolean(true)
        }
        swiftsail_policy::attributes::AttributeType::Integer => {
            swiftsail_policy::attributes::AttributeValue::Integer(1)
        }
        swiftsail_policy::attributes::AttributeType::Number => {
            swiftsail_policy::attributes::AttributeValue::Number(12_345.0)
        }
    });
    let job = AttributeValues::new(JOB_ATTRIBUTES, values.by_ref().collect());
    let none = AttributeValues::sample(CLUSTER_ATTRIBUTES, 0);
    let team = AttributeValues::sample(swiftsail_policy::attributes::TEAM_ATTRIBUTES, 0);
    for _ in 0..3 {
        let value = policy.job_value(
            swiftsail_policy::scheduling_policy::PolicyParameter::PruningThreshold,
            &job,
            &team,
            &none,
        );
        assert_eq!(value, 0.75);
    }
    assert_eq!(policy.take_new_failures().len(), 1);
    assert!(policy.take_new_failures().is_empty(), "told once");
}

#[test]
fn a_slow_receiver_costs_no_more_than_its_outbox() {
    let hook = EventReceiver::parse("to = \"127.0.0.1:9\"\nevents = [\"task\"]").expect("sound");
    let mut outbox = EventOutbox::new(hook);
    let event = |kind: &str, n: usize| ReportedEvent {
        kind: kind.into(),
        what: "runs".into(),
        of: n.to_string(),
        detail: None,
        at_ms: 0,
    };
    let mut tries = 0;
    for n in 0..10_000 {
        outbox.enqueue(&event("task", n));
        outbox.enqueue(&event("machine", n));
        if outbox.next_delivery("p", n as u64 * 100).is_some() {
            tries += 1;
            outbox.on_delivery_ended(false, n as u64 * 100);
        }
    }
    assert_eq!(outbox.counts().waiting, MAX_OUTBOX_EVENTS);
    assert_eq!(outbox.counts().dropped, 10_000 - MAX_OUTBOX_EVENTS as u64);
    assert!(tries < 25, "{tries} tries in 1,000 s: the pauses grow");
    // It comes back: everything held is delivered, in order, each once.
    let (mut now, mut got) = (2_000_000, Vec::new());
    while let Some(delivery) = outbox.next_delivery("p", now) {
        let sent: serde_json::Value = serde_json::from_slice(&delivery.body).expect("JSON");
        let events = sent["events"].as_array().expect("a list").clone();
        assert!(events.len() <= MAX_DELIVERY_EVENTS);
        got.extend(events.iter().map(|e| e["of"].as_str().unwrap_or("").to_string()));
        outbox.on_delivery_ended(true, now);
        now += MIN_DELIVERY_INTERVAL_MS;
    }
    let expected: Vec<String> =
        (10_000 - MAX_OUTBOX_EVENTS..10_000).map(|n| n.to_string()).collect();
    assert_eq!(got, expected);
}
