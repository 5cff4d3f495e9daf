//! Plug-ins and policies: whatever they say, loop or leave out, the rules hold and services keep
//! their timing.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use swiftsail_controller::node::AdminAsk;
use swiftsail_policy::constants::*;
use swiftsail_policy::facts::{CLUSTER, Facts, JOB};
use swiftsail_policy::hooks::{Answer, Hook, compose};
use swiftsail_policy::host::{Host, Second};
use swiftsail_policy::operator::Operator;
use swiftsail_policy::outbox::{Event, Outbox, ReportHook};
use swiftsail_policy::plugin::{Kind, Offer, PluginRecord, State, Step, chunks, hash};
use swiftsail_simulation::world::{Weather, World, job, mixed_load};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };
const ROUGH: Weather = Weather { loss: 0.03, late: 0.01, crashes: 4, outages: 2 };

/// It never ends.
const LOOPS: &str = "fn priority(job, cluster) { let n = 0; while true { n += 1; } n }";
/// It fails on every call.
const FAILS: &str = "fn spot_share(job, cluster) { throw \"not today\" }";
/// It answers nonsense.
const NONSENSE: &str = "fn class_order(class, cluster) { \"soon\" }";

fn operator(policy: &str) -> Operator {
    let text = format!("[plugins]\nenabled = true\n[policy]\n{policy}");
    Operator::parse("test", &text).expect("the test's file is sound")
}

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

fn offer(name: &str, source: &str, precedence: u32) -> AdminAsk {
    let offer = Offer { kind: Kind::Decision, source: source.into(), precedence, enable: true };
    AdminAsk::Offer(name.into(), serde_json::to_vec(&offer).expect("our own type"))
}

fn body(world: &World, answer: u64) -> serde_json::Value {
    let reply = world.answers.get(&answer).expect("an answer came");
    serde_json::from_slice(&reply.body).expect("answers are JSON")
}

/// Services like the yard's temperature watch, and arrays beside them.
fn yard(world: &mut World) {
    for n in 0..8u64 {
        let id = format!("wk-s{n}");
        world.submit(1_000 + n * 6_000, None, job(&id, "service", "blue", 1, 2.0, 0.0));
        let id = format!("wk-a{n}");
        let mut array = job(&id, "array", "blue", 6, 1.0, 20.0);
        // No service preempts it, so whatever stops it would be for a plug-in's sake.
        array["rank"] = "production".into();
        world.submit(500 + n * 5_000, None, array);
    }
    // It never finds room, so plug-ins are asked about it in every round.
    world.submit(3_000, None, job("wk-g0", "gang", "blue", 300, 1.0, 20.0));
}

#[test]
fn faulty_plugins_are_suspended_and_services_keep_their_timing() {
    let play = |plugins: bool| {
        let mut world = World::new(8, CALM, 1_000);
        world.operator = operator("");
        yard(&mut world);
        let mut answers = Vec::new();
        if plugins {
            for (n, source) in [LOOPS, FAILS, NONSENSE].into_iter().enumerate() {
                let name = ["loops", "fails", "nonsense"][n];
                answers.push(world.ask(5_000 + n as u64 * 200, n, offer(name, source, 10)));
            }
        }
        world.run(60_000);
        for answer in answers {
            assert_eq!(world.answers[&answer].status, 200, "{:?}", body(&world, answer));
        }
        let list = world.ask(60_500, 2, AdminAsk::Plugins);
        world.run(61_000);
        assert!(world.broken.is_empty(), "{:?}", world.broken);
        (world, list)
    };
    let ((without, _), (with, list)) = (play(false), play(true));
    // None waits longer, none is stopped, for their sake.
    assert!(with.plant.halted.is_empty(), "{:?}", with.plant.halted);
    let services = without.plant.first_run.iter().filter(|(name, _)| name.starts_with("wk-s"));
    let mut compared = 0;
    for (name, at) in services {
        let beside = with.plant.first_run.get(name).expect("it runs beside plug-ins too");
        assert!(beside.abs_diff(*at) <= 1_000, "{name}: {} ms", beside.abs_diff(*at));
        compared += 1;
    }
    assert_eq!(compared, 8);
    let shown = body(&with, list);
    let shown = shown["plugins"].as_array().expect("a list");
    assert_eq!(shown.len(), 3);
    for plugin in shown {
        assert_eq!(plugin["state"], "suspended", "{plugin}");
        assert!(plugin["reason"].as_str().is_some_and(|r| r.contains("faults")), "{plugin}");
    }
}

#[test]
fn plugins_outlive_leaders_and_leave_nothing_behind() {
    let mut world = World::new(21, CALM, 1_000);
    world.operator = operator("");
    yard(&mut world);
    // Longer than one value of the state service holds.
    let long = format!("fn priority(job, cluster) {{ 5 }}\n// {}", "x".repeat(15_000));
    let added = world.ask(4_000, 1, offer("long", &long, 10));
    world.run(8_000);
    assert_eq!(world.answers[&added].status, 200, "{}", body(&world, added));
    let leader = world.nodes.iter().flatten().position(|n| n.leads()).expect("one leads");
    world.crash(9_000, leader);
    world.run(20_000);
    let other = (leader + 1) % 3;
    let asks: Vec<u64> =
        (0..3).map(|n| world.ask(20_100, n, AdminAsk::Explain("wk-s1".into()))).collect();
    world.run(21_000);
    // The new leader has the set; the others name it.
    let replies = asks.iter().map(|a| world.answers[a].status);
    assert_eq!(replies.filter(|s| *s == 200).count(), 1);
    let found = asks.iter().find(|a| world.answers[*a].status == 200).expect("one leads");
    let found = body(&world, *found);
    assert_eq!(found["taken"]["priority"], 5.0, "{found}");
    assert_eq!(found["hooks"]["priority"]["said"][0]["plugin"], "long");
    let off = world.ask(21_100, other, AdminAsk::Change("long".into(), Step::Disable));
    let gone = world.ask(24_000, leader, AdminAsk::Change("long".into(), Step::Remove));
    let again = world.ask(26_000, other, AdminAsk::Change("long".into(), Step::Enable));
    world.run(28_000);
    assert_eq!(world.answers[&off].status, 200, "{}", body(&world, off));
    assert_eq!(world.answers[&gone].status, 200, "{}", body(&world, gone));
    assert_eq!(world.answers[&again].status, 404);
    assert_eq!(world.store.count("plug/"), 1, "its record alone says that it was there");
    assert!(world.store.largest_value <= 8 * 1024);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// A plug-in that avoids every machine but the costliest would keep a service waiting for a boot.
#[test]
fn where_production_work_goes_is_not_narrowed() {
    let mut world = World::new(31, CALM, 1_000);
    world.operator = operator("");
    yard(&mut world);
    let mut array = job("wk-n1", "array", "blue", 4, 1.0, 60.0);
    array["due_s"] = serde_json::Value::Null;
    world.submit(9_000, None, array);
    let source = "fn avoid_types(job, types) { types }\nfn spot_share(job, cluster) { 0 }\n\
                  fn admit(job, cluster) { 30 }";
    world.ask(4_000, 0, offer("narrow", source, 1));
    world.run(20_000);
    let asks: Vec<u64> =
        (0..3).map(|n| world.ask(20_100, n, AdminAsk::Explain("wk-s1".into()))).collect();
    world.run(21_000);
    let found = asks.iter().find(|a| world.answers[*a].status == 200).expect("one leads");
    let found = body(&world, *found);
    assert_eq!(found["taken"]["avoid_types"].as_array().map(Vec::len), Some(0), "{found}");
    assert_eq!(found["taken"]["spot_share"], 1.0);
    let accepted = |id: &str| world.jobs.iter().any(|j| j.id == id && j.accepted);
    assert!(accepted("wk-s2"), "a service is never asked to come back");
    assert!(!accepted("wk-n1"), "what is not production work may be");
}

/// Sources of plug-ins, sound and not, and what they advise.
fn source() -> impl Strategy<Value = String> {
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
        Just(LOOPS.to_string()),
        Just(FAILS.to_string()),
        Just(NONSENSE.to_string()),
        Just("fn priority(job, cluster) { priority(job, cluster) }".to_string()),
        Just("fn priority(job, cluster) { let a = \"x\"; loop { a += a; } }".to_string()),
    ]
}

fn policy() -> impl Strategy<Value = String> {
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
    let one = (source(), 0..60_000u64, 0..60_000u64, 0..3usize, 0..3u32);
    let all = (0..1_000u64, policy(), prop::collection::vec(one, 1..5));
    type Plugin = (String, u64, u64, usize, u32);
    let play = |(seed, policy, plugins): (u64, String, Vec<Plugin>)| {
        let mut world = World::new(seed, ROUGH, 90_000);
        world.operator = operator(&policy);
        mixed_load(&mut world, 5);
        for (n, (source, add, remove, node, precedence)) in plugins.into_iter().enumerate() {
            world.ask(add, node, offer(&format!("p{n}"), &source, precedence));
            let gone = AdminAsk::Change(format!("p{n}"), Step::Remove);
            world.ask(add + remove, (node + 1) % 3, gone);
        }
        world.run(330_000);
        prop_assert!(world.broken.is_empty(), "{:?}", world.broken);
        for job in &world.jobs {
            let last = job.last.as_deref().unwrap_or("no answer");
            // A user gives up after its retries only in the bench: here advice delays it, no more.
            let fine = if job.cancel_at.is_some() {
                job.over()
            } else if job.text("shape") == "service" {
                last == "running"
            } else {
                last == "done"
            };
            prop_assert!(fine, "{} ended as {last}: {}", job.id, world.held(&job.id));
        }
        Ok(())
    };
    runner(3, 12).run(&all, play).unwrap();
}

#[test]
fn a_plugin_that_makes_passes_slow_is_suspended() {
    let mut host = Host::default();
    let source = "fn priority(job, cluster) { let n = 0; for i in 0..150 { n += i; } 1 }";
    host.install(vec![(record("busy", source, 1), source.into())]);
    let (job, second) = (Facts::sample(JOB, 0), Second::Cluster(Facts::sample(CLUSTER, 0)));
    let mut passes = 0;
    while host.take_suspended().is_empty() {
        passes += 1;
        assert!(passes <= 2 * SLOW_PASSES, "it is found within some passes");
        host.begin_pass(passes as u64 * 2_000);
        for _ in 0..100 {
            host.play(Hook::Priority, &job, &second, passes as u64 * 2_000);
        }
        host.end_pass(20);
    }
    assert_eq!(host.show()[0].record.state, State::Suspended);
    assert!(host.show()[0].record.reason.as_ref().is_some_and(|r| r.contains("work of passes")));
    // Beyond its second's operations it was not called at all.
    assert!(host.show()[0].ops <= passes as u64 * (OPS_PER_S + CALL_OPS));
}

fn record(name: &str, source: &str, precedence: u32) -> PluginRecord {
    PluginRecord {
        name: name.into(),
        kind: Kind::Decision,
        state: State::Active,
        version: 1,
        hash: hash(source),
        precedence,
        chunks: 1,
        hooks: Host::default().check(Kind::Decision, source).expect("sound"),
        reason: None,
        changed_wall: 0,
    }
}

#[test]
fn two_that_disagree_are_composed_by_the_documented_rule() {
    let play = |hook: Hook, sources: &[(&str, u32)]| {
        let mut host = Host::default();
        let named = sources.iter().enumerate().map(|(n, (source, precedence))| {
            (record(&format!("p{n}"), source, *precedence), source.to_string())
        });
        host.install(named.collect());
        let job = Facts::sample(JOB, 0);
        let second = match hook {
            Hook::AvoidTypes => Second::Types(vec!["s".into(), "m".into()]),
            _ => Second::Cluster(Facts::sample(CLUSTER, 0)),
        };
        let first = if hook == Hook::ClassOrder {
            Facts::sample(swiftsail_policy::facts::CLASS, 0)
        } else {
            job
        };
        host.play(hook, &first, &second, 0)
    };
    let priority = |n: i32| format!("fn priority(job, cluster) {{ {n} }}");
    let (a, b) = (priority(80), priority(70));
    let sum = play(Hook::Priority, &[(&a, 2), (&b, 1)]);
    assert_eq!(sum.taken, Some(Answer::Score(SCORE_MOST)));
    assert_eq!(sum.said[0].plugin, "p1", "the stronger speaks first");
    let order = |n: i32| format!("fn class_order(class, cluster) {{ {n} }}");
    let (silent, c) = ("fn class_order(class, cluster) { }", order(7));
    let first = play(Hook::ClassOrder, &[(&order(9), 5), (silent, 1), (&c, 2)]);
    assert_eq!(first.taken, Some(Answer::Order(7)));
    let share = |n: &str| format!("fn spot_share(job, cluster) {{ {n} }}");
    let least = play(Hook::SpotShare, &[(&share("0.4"), 1), (&share("0.2"), 9)]);
    assert_eq!(least.taken, Some(Answer::Share(0.2)));
    let avoid = |n: &str| format!("fn avoid_types(job, types) {{ [\"{n}\"] }}");
    let both = play(Hook::AvoidTypes, &[(&avoid("s"), 1), (&avoid("m"), 2)]);
    let names = ["m", "s"].map(String::from).into_iter().collect();
    assert_eq!(both.taken, Some(Answer::Avoid(names)));
    assert_eq!(
        compose(Hook::Admit, &[Answer::Later(2.0), Answer::Later(9.0)]),
        Some(Answer::Later(9.0))
    );
    assert_eq!(compose(Hook::Admit, &[]), None);
}

#[test]
fn the_life_of_a_plugin_keeps_to_its_states() {
    let steps =
        [Step::Check, Step::Enable, Step::Disable, Step::Suspend, Step::Offer, Step::Remove];
    runner(4, 256)
        .run(&prop::collection::vec(0..steps.len(), 1..30), |taken| {
            let mut state = State::Offered;
            let mut checked = false;
            for n in taken {
                let Some(next) = state.after(steps[n]) else { continue };
                if steps[n] == Step::Offer {
                    checked = false;
                }
                checked |= steps[n] == Step::Check;
                // Nothing unchecked is ever asked; only what was asked is suspended.
                prop_assert!(next != State::Active || checked);
                prop_assert!(next != State::Suspended || state == State::Active);
                prop_assert!(state != State::Removed || next == State::Offered);
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
        Operator::parse("file", &text).expect_err(line).to_string()
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
    runner(5, 400)
        .run(&"[ -~\n]{0,120}", |text| {
            let _ = Operator::parse("file", &text);
            let _ = Operator::parse("file", &format!("[policy]\nthreshold = '''{text}'''"));
            let _ = Host::default().check(Kind::Decision, &text);
            let _ = Host::default().check(Kind::Report, &text);
            let source = format!("fn priority(job, cluster) {{ {text} }}");
            let _ = swiftsail_policy::host::try_hook(&source, Hook::Priority);
            let parts = chunks(&text, 7);
            prop_assert!(parts.iter().all(|p| p.len() <= 7));
            prop_assert_eq!(parts.concat(), text);
            Ok(())
        })
        .unwrap();
}

#[test]
fn the_examples_and_the_deployed_file_are_sound() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    Operator::load(&root.join("deploy/operator.toml")).expect("the deployed file is sound");
    let mut seen = 0;
    for entry in std::fs::read_dir(root.join("examples/plugins")).expect("there are examples") {
        let path = entry.expect("readable").path();
        let source = std::fs::read_to_string(&path).expect("readable");
        let toml = path.extension().is_some_and(|e| e == "toml");
        let kind = if toml { Kind::Report } else { Kind::Decision };
        let hooks = Host::default().check(kind, &source).expect("sound");
        for hook in hooks {
            swiftsail_policy::host::try_hook(&source, hook).expect("it answers on samples");
        }
        seen += 1;
    }
    assert!(seen >= 3);
}

#[test]
fn the_deployed_policy_is_the_built_in_one() {
    use swiftsail_policy::policy::{Knob, default_of};
    let text = include_str!("../deploy/operator.toml");
    let mut deployed = Operator::parse("file", text).expect("sound").policy();
    let none = Facts::sample(CLUSTER, 0);
    for knob in [Knob::Toggle, Knob::LineCap, Knob::RoundS, Knob::Reserve, Knob::IdleS] {
        assert_eq!(deployed.cluster(knob, &none), default_of(knob), "{knob:?}");
    }
    for knob in [Knob::Threshold, Knob::SpotShare] {
        assert_eq!(deployed.job(knob, &none, &none, &none), default_of(knob), "{knob:?}");
    }
    use swiftsail_controller::steering::Steering;
    let built_in = Steering::default();
    assert_eq!(default_of(Knob::Threshold), built_in.usual.threshold);
    assert_eq!(default_of(Knob::LineCap), built_in.line_cap as f64);
    assert_eq!(default_of(Knob::RoundS) * 1000.0, built_in.round_ms as f64);
    assert_eq!(default_of(Knob::IdleS) * 1000.0, built_in.idle_ms as f64);
    assert_eq!(default_of(Knob::Reserve), f64::from(built_in.reserve));
}

#[test]
fn a_policy_that_fails_at_run_time_falls_back_and_is_told_once() {
    let policy = BTreeMap::from([(
        "threshold".to_string(),
        "if job.cpus == 12345.0 { job.cpus } else { 0.5 }".to_string(),
    )]);
    // On samples it is sound; a job of so many CPUs is none of them.
    let mut policy = swiftsail_policy::policy::Policy::new(&policy).expect("sound on samples");
    let mut values = JOB.iter().map(|(_, kind, _)| match kind {
        swiftsail_policy::facts::Type::Text => swiftsail_policy::facts::Value::Text("x".into()),
        swiftsail_policy::facts::Type::Flag => swiftsail_policy::facts::Value::Flag(true),
        swiftsail_policy::facts::Type::Count => swiftsail_policy::facts::Value::Count(1),
        swiftsail_policy::facts::Type::Number => swiftsail_policy::facts::Value::Number(12_345.0),
    });
    let job = Facts::new(JOB, values.by_ref().collect());
    let none = Facts::sample(CLUSTER, 0);
    let team = Facts::sample(swiftsail_policy::facts::TEAM, 0);
    for _ in 0..3 {
        let value = policy.job(swiftsail_policy::policy::Knob::Threshold, &job, &team, &none);
        assert_eq!(value, 0.75);
    }
    assert_eq!(policy.failures().len(), 1);
    assert!(policy.failures().is_empty(), "told once");
}

#[test]
fn a_slow_receiver_costs_no_more_than_its_outbox() {
    let hook = ReportHook::parse("to = \"127.0.0.1:9\"\nevents = [\"task\"]").expect("sound");
    let mut outbox = Outbox::new(hook);
    let event = |kind: &str, n: usize| Event {
        kind: kind.into(),
        what: "runs".into(),
        of: n.to_string(),
        detail: None,
        at_ms: 0,
    };
    let mut tries = 0;
    for n in 0..10_000 {
        outbox.push(&event("task", n));
        outbox.push(&event("machine", n));
        if outbox.next("p", n as u64 * 100).is_some() {
            tries += 1;
            outbox.ended(false, n as u64 * 100);
        }
    }
    assert_eq!(outbox.counts().waiting, OUTBOX_MOST);
    assert_eq!(outbox.counts().dropped, 10_000 - OUTBOX_MOST as u64);
    assert!(tries < 25, "{tries} tries in 1,000 s: the pauses grow");
    // It comes back: everything held is delivered, in order, each once.
    let (mut now, mut got) = (2_000_000, Vec::new());
    while let Some(delivery) = outbox.next("p", now) {
        let sent: serde_json::Value = serde_json::from_slice(&delivery.body).expect("JSON");
        let events = sent["events"].as_array().expect("a list").clone();
        assert!(events.len() <= BATCH_MOST);
        got.extend(events.iter().map(|e| e["of"].as_str().unwrap_or("").to_string()));
        outbox.ended(true, now);
        now += HOOK_EVERY_MS;
    }
    let expected: Vec<String> = (10_000 - OUTBOX_MOST..10_000).map(|n| n.to_string()).collect();
    assert_eq!(got, expected);
}
