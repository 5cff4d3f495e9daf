//! Plug-ins and policy expressions: whatever they return, and even if they loop or fail, the invariants hold and
//! services start on time.

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

/// A hook that never ends.
const ENDLESS_LOOP: &str = "fn priority(job, cluster) { let n = 0; while true { n += 1; } n }";
/// A hook that fails on every call.
const FAILING_HOOK: &str = "fn spot_share(job, cluster) { throw \"not today\" }";
/// A hook that returns a value of the wrong type.
const INVALID_RESULT: &str = "fn class_order(class, cluster) { \"soon\" }";

fn parse_operator(policy: &str) -> OperatorSettings {
    let text = format!("[plugins]\nenabled = true\n[policy]\n{policy}");
    OperatorSettings::parse("test", &text).expect("the test's settings are valid")
}

fn offer_plugin(name: &str, source: &str, precedence: u32) -> AdminRequest {
    let offer =
        PluginOffer { kind: PluginKind::Decision, source: source.into(), precedence, enable: true };
    AdminRequest::OfferPlugin(
        name.into(),
        serde_json::to_vec(&offer).expect("an offer can be serialised"),
    )
}

fn admin_answer_body(sim: &Simulation, answer: u64) -> serde_json::Value {
    let reply = sim.admin_answers.get(&answer).expect("there is an answer");
    serde_json::from_slice(&reply.body).expect("answers are JSON")
}

/// Submits single-replica services and array jobs, and a gang that never fits.
fn submit_services_and_arrays(sim: &mut Simulation) {
    for n in 0..8u64 {
        let id = format!("wk-s{n}");
        sim.submit(1_000 + n * 6_000, None, job_body(&id, "service", "blue", 1, 2.0, 0.0));
        let id = format!("wk-a{n}");
        let mut array = job_body(&id, "array", "blue", 6, 1.0, 20.0);
        // Services do not preempt production work, so only a plug-in could cause it to be stopped.
        array["rank"] = "production".into();
        sim.submit(500 + n * 5_000, None, array);
    }
    // It can never be placed, so plug-ins are called for it in every mapping round.
    sim.submit(3_000, None, job_body("wk-g0", "gang", "blue", 300, 1.0, 20.0));
}

/// Plug-ins that loop, fail or return invalid values are suspended, and delay or stop no work meanwhile.
#[test]
fn faulty_plugins_are_suspended_without_delaying_services() {
    let run = |plugins: bool| {
        let mut sim = Simulation::new(8, FaultRates::NONE, 1_000);
        sim.operator = parse_operator("");
        submit_services_and_arrays(&mut sim);
        let mut answers = Vec::new();
        if plugins {
            for (n, source) in [ENDLESS_LOOP, FAILING_HOOK, INVALID_RESULT].into_iter().enumerate()
            {
                let name = ["loops", "fails", "nonsense"][n];
                answers.push(sim.schedule_admin_request(
                    5_000 + n as u64 * 200,
                    n,
                    offer_plugin(name, source, 10),
                ));
            }
        }
        sim.run_until(60_000);
        for answer in answers {
            assert_eq!(
                sim.admin_answers[&answer].status,
                200,
                "{:?}",
                admin_answer_body(&sim, answer)
            );
        }
        let list = sim.schedule_admin_request(60_500, 2, AdminRequest::Plugins);
        sim.run_until(61_000);
        assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        (sim, list)
    };
    let ((without, _), (with, list)) = (run(false), run(true));
    // The plug-ins cause no task to be stopped and no service to start more than 1 s later.
    assert!(with.cluster.stopped_tasks.is_empty(), "{:?}", with.cluster.stopped_tasks);
    let services =
        without.cluster.first_started_at.iter().filter(|(name, _)| name.starts_with("wk-s"));
    let mut compared = 0;
    for (name, at) in services {
        let with_plugins_at =
            with.cluster.first_started_at.get(name).expect("it also starts with plug-ins");
        assert!(
            with_plugins_at.abs_diff(*at) <= 1_000,
            "{name}: {} ms",
            with_plugins_at.abs_diff(*at)
        );
        compared += 1;
    }
    assert_eq!(compared, 8);
    let list = admin_answer_body(&with, list);
    let listed = list["plugins"].as_array().expect("a list");
    assert_eq!(listed.len(), 3);
    for plugin in listed {
        assert_eq!(plugin["state"], "suspended", "{plugin}");
        assert!(plugin["reason"].as_str().is_some_and(|r| r.contains("faults")), "{plugin}");
    }
}

/// Plug-ins survive a change of leader. After removal only the record is left in the state service.
#[test]
fn plugins_survive_leader_change_and_are_removed_completely() {
    let mut sim = Simulation::new(21, FaultRates::NONE, 1_000);
    sim.operator = parse_operator("");
    submit_services_and_arrays(&mut sim);
    // Longer than the maximum value size of the state service.
    let long = format!("fn priority(job, cluster) {{ 5 }}\n// {}", "x".repeat(15_000));
    let added = sim.schedule_admin_request(4_000, 1, offer_plugin("long", &long, 10));
    sim.run_until(8_000);
    assert_eq!(sim.admin_answers[&added].status, 200, "{}", admin_answer_body(&sim, added));
    let leader =
        sim.controllers.iter().flatten().position(|n| n.is_leader()).expect("there is a leader");
    sim.schedule_crash(9_000, leader);
    sim.run_until(20_000);
    let other = (leader + 1) % 3;
    let requests: Vec<u64> = (0..3)
        .map(|n| sim.schedule_admin_request(20_100, n, AdminRequest::ExplainJob("wk-s1".into())))
        .collect();
    sim.run_until(21_000);
    // The new leader has the plug-in; the other controllers refer to the leader.
    let replies = requests.iter().map(|a| sim.admin_answers[a].status);
    assert_eq!(replies.filter(|s| *s == 200).count(), 1);
    let answered =
        requests.iter().find(|a| sim.admin_answers[*a].status == 200).expect("the leader answers");
    let explanation = admin_answer_body(&sim, *answered);
    assert_eq!(explanation["taken"]["priority"], 5.0, "{explanation}");
    assert_eq!(explanation["hooks"]["priority"]["said"][0]["plugin"], "long");
    let disabled = sim.schedule_admin_request(
        21_100,
        other,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Disable),
    );
    let removed = sim.schedule_admin_request(
        24_000,
        leader,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Remove),
    );
    let reenabled = sim.schedule_admin_request(
        26_000,
        other,
        AdminRequest::ChangePlugin("long".into(), PluginTransition::Enable),
    );
    sim.run_until(28_000);
    assert_eq!(sim.admin_answers[&disabled].status, 200, "{}", admin_answer_body(&sim, disabled));
    assert_eq!(sim.admin_answers[&removed].status, 200, "{}", admin_answer_body(&sim, removed));
    assert_eq!(sim.admin_answers[&reenabled].status, 404);
    assert_eq!(sim.store.count_keys("plug/"), 1, "only its record remains");
    assert!(sim.store.largest_value <= 8 * 1024);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// Guards against a plug-in whose removal deletes more chunks than the lowered limits allow in a transaction, so that it
/// was refused for good.
#[test]
fn plugin_with_many_chunks_is_removed_after_limits_fall() {
    let mut sim = Simulation::new(22, FaultRates::NONE, 1_000);
    sim.operator = parse_operator("");
    let long = format!("fn priority(job, cluster) {{ 5 }}\n// {}", "x".repeat(24_000));
    let added = sim.schedule_admin_request(4_000, 1, offer_plugin("long", &long, 10));
    sim.run_until(8_000);
    assert_eq!(sim.admin_answers[&added].status, 200, "{}", admin_answer_body(&sim, added));
    sim.announce_store_sizes(2.0, 5);
    (0..3).for_each(|n| sim.schedule_crash(9_000 + n * 8_000, n as usize));
    sim.run_until(40_000);
    sim.store.limit_sizes(2.0, 5);
    let change = |transition| AdminRequest::ChangePlugin("long".into(), transition);
    let removed = sim.schedule_admin_request(40_500, 1, change(PluginTransition::Remove));
    let enabled = sim.schedule_admin_request(44_000, 2, change(PluginTransition::Enable));
    sim.run_until(48_000);
    assert_eq!(sim.admin_answers[&removed].status, 200, "{}", admin_answer_body(&sim, removed));
    assert_eq!(sim.admin_answers[&enabled].status, 404);
}

/// Plug-ins must not restrict the placement or admission of production work: avoiding most machine types would make a
/// service wait for a machine to boot.
#[test]
fn plugins_do_not_restrict_production_work() {
    let mut sim = Simulation::new(31, FaultRates::NONE, 1_000);
    sim.operator = parse_operator("");
    submit_services_and_arrays(&mut sim);
    let mut array = job_body("wk-n1", "array", "blue", 4, 1.0, 60.0);
    array["due_s"] = serde_json::Value::Null;
    sim.submit(9_000, None, array);
    let source = "fn avoid_types(job, types) { types }\nfn spot_share(job, cluster) { 0 }\n\
                  fn admit(job, cluster) { 30 }";
    sim.schedule_admin_request(4_000, 0, offer_plugin("narrow", source, 1));
    sim.run_until(20_000);
    let requests: Vec<u64> = (0..3)
        .map(|n| sim.schedule_admin_request(20_100, n, AdminRequest::ExplainJob("wk-s1".into())))
        .collect();
    sim.run_until(21_000);
    let answered =
        requests.iter().find(|a| sim.admin_answers[*a].status == 200).expect("the leader answers");
    let explanation = admin_answer_body(&sim, *answered);
    assert_eq!(
        explanation["taken"]["avoid_types"].as_array().map(Vec::len),
        Some(0),
        "{explanation}"
    );
    assert_eq!(explanation["taken"]["spot_share"], 1.0);
    let accepted = |id: &str| sim.jobs.iter().any(|j| j.id == id && j.accepted);
    assert!(accepted("wk-s2"), "a service is never asked to retry later");
    assert!(!accepted("wk-n1"), "other work may be asked to retry later");
}

/// Sources of valid and faulty plug-ins, with various answers.
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

/// Random plug-ins and policies under faults violate no invariant, and all jobs reach their expected state.
#[test]
fn invariants_hold_with_arbitrary_plugins_and_policies() {
    let one = (plugin_source(), 0..60_000u64, 0..60_000u64, 0..3usize, 0..3u32);
    let all = (0..1_000u64, policy_source(), prop::collection::vec(one, 1..5));
    type Plugin = (String, u64, u64, usize, u32);
    let run = |(seed, policy, plugins): (u64, String, Vec<Plugin>)| {
        let mut sim = Simulation::new(seed, FaultRates::MANY, 90_000);
        sim.operator = parse_operator(&policy);
        submit_mixed_load(&mut sim, 5);
        for (n, (source, add, remove, node, precedence)) in plugins.into_iter().enumerate() {
            sim.schedule_admin_request(
                add,
                node,
                offer_plugin(&format!("p{n}"), &source, precedence),
            );
            let removal = AdminRequest::ChangePlugin(format!("p{n}"), PluginTransition::Remove);
            sim.schedule_admin_request(add + remove, (node + 1) % 3, removal);
        }
        sim.run_until(330_000);
        prop_assert!(sim.violations.is_empty(), "{:?}", sim.violations);
        for job in &sim.jobs {
            let last = job.last_status.as_deref().unwrap_or("no answer");
            // Simulated users retry without limit here, so that advice to retry later only delays a job.
            let is_as_expected = if job.cancel_at.is_some() {
                job.is_over()
            } else if job.text_field("shape") == "service" {
                last == "running"
            } else {
                last == "done"
            };
            prop_assert!(
                is_as_expected,
                "{} ended as {last}: {}",
                job.id,
                sim.describe_job(&job.id)
            );
        }
        Ok(())
    };
    test_runner(3, 12).run(&all, run).unwrap();
}

/// A plug-in that takes most of the work of scheduling cycles is suspended.
#[test]
fn plugin_that_slows_cycles_is_suspended() {
    let mut host = PluginHost::default();
    let source = "fn priority(job, cluster) { let n = 0; for i in 0..150 { n += i; } 1 }";
    host.install(vec![(plugin_record("busy", source, 1), source.into())]);
    let (job, second) = (
        AttributeValues::sample(JOB_ATTRIBUTES, 0),
        HookContext::Cluster(AttributeValues::sample(CLUSTER_ATTRIBUTES, 0)),
    );
    let mut cycles = 0;
    while host.take_newly_suspended().is_empty() {
        cycles += 1;
        assert!(cycles <= 2 * MAX_SLOW_CYCLES, "it is suspended within a few cycles");
        host.begin_cycle(cycles as u64 * 2_000);
        for _ in 0..100 {
            host.run_hook(Hook::Priority, &job, &second, cycles as u64 * 2_000);
        }
        host.end_cycle(20);
    }
    assert_eq!(host.statuses()[0].record.state, PluginState::Suspended);
    assert!(
        host.statuses()[0].record.reason.as_ref().is_some_and(|r| r.contains("work of passes"))
    );
    // It was not called once its budget for a second was used up.
    assert!(host.statuses()[0].ops <= cycles as u64 * (MAX_PLUGIN_OPS_PER_S + MAX_CALL_OPS));
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
        hooks: PluginHost::default()
            .validate_source(PluginKind::Decision, source)
            .expect("the source is valid"),
        reason: None,
        changed_wall: 0,
    }
}

#[test]
fn answers_are_composed_by_the_rule_of_the_hook() {
    let run = |hook: Hook, sources: &[(&str, u32)]| {
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
    let sum = run(Hook::Priority, &[(&a, 2), (&b, 1)]);
    assert_eq!(sum.composed, Some(HookAnswer::Score(MAX_SCORE)));
    assert_eq!(sum.responses[0].plugin, "p1", "the lower precedence number comes first");
    let order = |n: i32| format!("fn class_order(class, cluster) {{ {n} }}");
    let (no_answer, c) = ("fn class_order(class, cluster) { }", order(7));
    let first = run(Hook::ClassOrder, &[(&order(9), 5), (no_answer, 1), (&c, 2)]);
    assert_eq!(first.composed, Some(HookAnswer::ClassOrder(7)));
    let share = |n: &str| format!("fn spot_share(job, cluster) {{ {n} }}");
    let minimum = run(Hook::SpotShare, &[(&share("0.4"), 1), (&share("0.2"), 9)]);
    assert_eq!(minimum.composed, Some(HookAnswer::SpotShare(0.2)));
    let avoid = |n: &str| format!("fn avoid_types(job, types) {{ [\"{n}\"] }}");
    let both = run(Hook::AvoidTypes, &[(&avoid("s"), 1), (&avoid("m"), 2)]);
    let names = ["m", "s"].map(String::from).into_iter().collect();
    assert_eq!(both.composed, Some(HookAnswer::AvoidTypes(names)));
    assert_eq!(
        compose_answers(Hook::Admit, &[HookAnswer::RetryAfterS(2.0), HookAnswer::RetryAfterS(9.0)]),
        Some(HookAnswer::RetryAfterS(9.0))
    );
    assert_eq!(compose_answers(Hook::Admit, &[]), None);
}

/// In random sequences of transitions a plug-in is never enabled without validation, is suspended only while active,
/// and leaves the removed state only by a new offer.
#[test]
fn plugin_states_follow_the_life_cycle() {
    let transitions = [
        PluginTransition::Check,
        PluginTransition::Enable,
        PluginTransition::Disable,
        PluginTransition::Suspend,
        PluginTransition::Offer,
        PluginTransition::Remove,
    ];
    test_runner(4, 256)
        .run(&prop::collection::vec(0..transitions.len(), 1..30), |taken| {
            let mut state = PluginState::Offered;
            let mut checked = false;
            for n in taken {
                let Some(next) = state.transition(transitions[n]) else { continue };
                if transitions[n] == PluginTransition::Offer {
                    checked = false;
                }
                checked |= transitions[n] == PluginTransition::Check;
                prop_assert!(next != PluginState::Active || checked);
                prop_assert!(next != PluginState::Suspended || state == PluginState::Active);
                prop_assert!(state != PluginState::Removed || next == PluginState::Offered);
                state = next;
            }
            Ok(())
        })
        .unwrap();
}

/// Errors in policy expressions name the parameter, the position and, where possible, the expected input.
#[test]
fn policy_errors_name_parameter_and_position() {
    let error_for = |line: &str| {
        let text = format!("[plugins]\nenabled = true\n\n[policy]\n{line}\n");
        OperatorSettings::parse("file", &text).expect_err(line).to_string()
    };
    for (line, expected) in [
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
        let error = error_for(line);
        assert!(error.contains(expected), "{line}: {error}");
    }
    let costly = format!("threshold = '{}0.5'", "job.cpus * 0.0 + ".repeat(400));
    assert!(
        error_for(&costly).contains("policy `threshold`"),
        "an expression with too many operations is rejected"
    );
}

#[test]
fn arbitrary_sources_and_files_cause_no_panic() {
    test_runner(5, 400)
        .run(&"[ -~\n]{0,120}", |text| {
            let _ = OperatorSettings::parse("file", &text);
            let _ = OperatorSettings::parse("file", &format!("[policy]\nthreshold = '''{text}'''"));
            let _ = PluginHost::default().validate_source(PluginKind::Decision, &text);
            let _ = PluginHost::default().validate_source(PluginKind::EventReceiver, &text);
            let source = format!("fn priority(job, cluster) {{ {text} }}");
            let _ = swiftsail_policy::plugin_host::try_hook(&source, Hook::Priority);
            let chunks = split_into_chunks(&text, 7);
            prop_assert!(chunks.iter().all(|c| c.len() <= 7));
            prop_assert_eq!(chunks.concat(), text);
            Ok(())
        })
        .unwrap();
}

#[test]
fn examples_and_deployed_file_are_valid() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    OperatorSettings::load(&root.join("deploy/operator.toml")).expect("the deployed file is valid");
    let mut examples = 0;
    for entry in std::fs::read_dir(root.join("examples/plugins")).expect("there are examples") {
        let path = entry.expect("readable").path();
        let source = std::fs::read_to_string(&path).expect("readable");
        let toml = path.extension().is_some_and(|e| e == "toml");
        let kind = if toml { PluginKind::EventReceiver } else { PluginKind::Decision };
        let hooks =
            PluginHost::default().validate_source(kind, &source).expect("the example is valid");
        for hook in hooks {
            swiftsail_policy::plugin_host::try_hook(&source, hook)
                .expect("the hook answers on samples");
        }
        examples += 1;
    }
    assert!(examples >= 3);
}

#[test]
fn deployed_policy_equals_the_built_in_policy() {
    use swiftsail_policy::scheduling_policy::{PolicyParameter, default_value};
    let text = include_str!("../deploy/operator.toml");
    let mut deployed =
        OperatorSettings::parse("file", text).expect("the file is valid").compiled_policy();
    let none = AttributeValues::sample(CLUSTER_ATTRIBUTES, 0);
    for parameter in [
        PolicyParameter::DroppingToggle,
        PolicyParameter::QueueLimit,
        PolicyParameter::RoundIntervalS,
        PolicyParameter::ServiceHeadroom,
        PolicyParameter::IdleTimeoutS,
    ] {
        assert_eq!(
            deployed.cluster_value(parameter, &none),
            default_value(parameter),
            "{parameter:?}"
        );
    }
    for parameter in [PolicyParameter::PruningThreshold, PolicyParameter::SpotShare] {
        assert_eq!(
            deployed.job_value(parameter, &none, &none, &none),
            default_value(parameter),
            "{parameter:?}"
        );
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

/// An expression that fails at run time is replaced by the built-in default, and the failure is reported once.
#[test]
fn failing_policy_falls_back_and_is_reported_once() {
    let policy = BTreeMap::from([(
        "threshold".to_string(),
        "if job.cpus == 12345.0 { job.cpus } else { 0.5 }".to_string(),
    )]);
    // Validation does not detect the fault, since no sample job has 12345 CPUs.
    let mut policy = swiftsail_policy::scheduling_policy::SchedulingPolicy::new(&policy)
        .expect("it is valid on samples");
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
    assert!(policy.take_new_failures().is_empty(), "reported once");
}

/// A failing receiver loses only events beyond the bounded outbox, and receives the rest in order when it recovers.
#[test]
fn outbox_of_a_failing_receiver_is_bounded() {
    let hook = EventReceiver::parse("to = \"127.0.0.1:9\"\nevents = [\"task\"]")
        .expect("the source is valid");
    let mut outbox = EventOutbox::new(hook);
    let event = |kind: &str, n: usize| ReportedEvent {
        kind: kind.into(),
        event: "runs".into(),
        subject: n.to_string(),
        detail: None,
        at_ms: 0,
    };
    let mut attempts = 0;
    for n in 0..10_000 {
        outbox.enqueue(&event("task", n));
        outbox.enqueue(&event("machine", n));
        if outbox.next_delivery("p", n as u64 * 100).is_some() {
            attempts += 1;
            outbox.on_delivery_ended(false, n as u64 * 100);
        }
    }
    assert_eq!(outbox.counts().waiting, MAX_OUTBOX_EVENTS);
    assert_eq!(outbox.counts().dropped, 10_000 - MAX_OUTBOX_EVENTS as u64);
    assert!(attempts < 25, "{attempts} attempts in 1,000 s despite exponential backoff");
    // When the receiver recovers, all queued events are delivered once and in order.
    let (mut now, mut received) = (2_000_000, Vec::new());
    while let Some(delivery) = outbox.next_delivery("p", now) {
        let sent: serde_json::Value = serde_json::from_slice(&delivery.body).expect("JSON");
        let events = sent["events"].as_array().expect("a list").clone();
        assert!(events.len() <= MAX_DELIVERY_EVENTS);
        received.extend(events.iter().map(|e| e["of"].as_str().unwrap_or("").to_string()));
        outbox.on_delivery_ended(true, now);
        now += MIN_DELIVERY_INTERVAL_MS;
    }
    let expected: Vec<String> =
        (10_000 - MAX_OUTBOX_EVENTS..10_000).map(|n| n.to_string()).collect();
    assert_eq!(received, expected);
}
