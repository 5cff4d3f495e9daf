//! The operators' file, with every table and field, and the files under `deploy/`.

use std::collections::BTreeMap;
use swiftsail::local::Model;
use swiftsail_controller::node::{plan_of_file, tiers_of_file};
use swiftsail_deadline_planning::{ChainLine, Entry, Plan, StepLine};
use swiftsail_policy::operator::{Operator, Setting};
use swiftsail_tiers::{TableRecord, TierLine};
use swiftsail_protocol::cloud::Hull;

const WHOLE: &str = r#"
[admin]
listen = "127.0.0.1:8081"
[plugins]
enabled = true
[amounts]
durable = true
[loans]
durable = true
[tiers]
version = 4
[[tiers.tier]]
name = "core"
when = 'job.priority == "production"'
ordered = true
[[tiers.tier]]
name = "other"
when = "true"
[dispatch]
version = 5
[[dispatch.chain]]
name = "lists"
[[dispatch.chain.step]]
name = "count"
when = 'job.class == "count"'
margin_s = 90.0
[[dispatch.chain.step]]
name = "list"
when = 'job.class == "list"'
after = ["count"]
[[dispatch.arrival]]
name = "north"
yard = "norrkoping"
haulier = "nord-frakt"
chain = "lists"
at = "06:30"
zone = "Europe/Stockholm"
days = ["mon"]
except = ["2026-12-24"]
[[dispatch.arrival]]
name = "once"
chain = "lists"
at = "06:30"
zone = "UTC"
on = "2026-12-23"
[policy]
threshold = 0.5
toggle = 2
spot_share = 'if job.gpus > 0.0 { 0.0 } else { 0.9 }'
line_cap = 5
round_s = 1.5
reserve = 3
idle_s = 20.0
"#;

fn whole() -> Operator {
    Operator::parse("whole", WHOLE).expect("the file is sound")
}

#[test]
fn every_field_of_the_operators_file_is_read_as_before() {
    let found = whole();
    assert_eq!(found.admin.listen.map(|a| a.to_string()), Some("127.0.0.1:8081".into()));
    assert!(found.plugins.enabled && found.amounts.durable && found.loans.durable);
    let share = "if job.gpus > 0.0 { 0.0 } else { 0.9 }";
    let policy = [
        ("threshold", Setting::Number(0.5)),
        ("toggle", Setting::Whole(2)),
        ("spot_share", Setting::Expression(share.into())),
        ("line_cap", Setting::Whole(5)),
        ("round_s", Setting::Number(1.5)),
        ("reserve", Setting::Whole(3)),
        ("idle_s", Setting::Number(20.0)),
    ];
    let policy: BTreeMap<String, Setting> =
        policy.into_iter().map(|(name, set)| (name.to_string(), set)).collect();
    assert_eq!(found.policy, policy);
    let none = Operator::parse("none", "").expect("all may be left out");
    assert_eq!(none, Operator::default());
    for table in ["admin", "plugins", "amounts", "loans"] {
        let text = format!("[{table}]\n");
        assert_eq!(Operator::parse(table, &text).expect("it may be empty"), none, "{table}");
        assert!(Operator::parse(table, &format!("{text}other = 1\n")).is_err(), "{table}");
    }
}

/// Each switch stands for itself: none for another.
#[test]
fn switches_of_the_operators_file_are_told_apart() {
    let on = |table: &str, field: &str| {
        let text = format!("[{table}]\n{field} = true\n");
        let found = Operator::parse(table, &text).expect("it is sound");
        (found.plugins.enabled, found.amounts.durable, found.loans.durable)
    };
    assert_eq!(on("plugins", "enabled"), (true, false, false));
    assert_eq!(on("amounts", "durable"), (false, true, false));
    assert_eq!(on("loans", "durable"), (false, false, true));
}

#[test]
fn tiers_of_the_operators_file_are_read_as_before() {
    let found = whole().tiers.expect("there are tiers");
    let line = |name: &str, when: &str, ordered| TierLine {
        name: name.into(),
        when: when.into(),
        ordered,
    };
    let core = line("core", r#"job.priority == "production""#, true);
    let tiers = vec![core, line("other", "true", false)];
    assert_eq!(tiers_of_file(&found), TableRecord { form: 0, version: 4, tiers });
}

#[test]
fn the_plan_of_the_operators_file_is_read_as_before() {
    let found = plan_of_file(whole().dispatch.expect("there is a plan")).expect("it is sound");
    let step = |name: &str, after: &[&str], margin_s| StepLine {
        name: name.into(),
        when: format!("job.class == \"{name}\""),
        after: after.iter().map(|a| a.to_string()).collect(),
        margin_s,
    };
    let steps = vec![step("count", &[], 90.0), step("list", &["count"], 60.0)];
    let north = Entry {
        name: "north".into(),
        yard: "norrkoping".into(),
        haulier: "nord-frakt".into(),
        chain: "lists".into(),
        at: "06:30".into(),
        zone: "Europe/Stockholm".into(),
        days: vec!["mon".into()],
        on: None,
        except: vec!["2026-12-24".into()],
    };
    let once = Entry {
        name: "once".into(),
        yard: String::new(),
        haulier: String::new(),
        zone: "UTC".into(),
        days: Vec::new(),
        on: Some("2026-12-23".into()),
        except: Vec::new(),
        ..north.clone()
    };
    let chains = vec![ChainLine { name: "lists".into(), steps }];
    assert_eq!(*found.plan(), Plan { form: 0, version: 5, arrivals: vec![north, once], chains });
}

#[test]
fn deployed_files_are_read_as_before() {
    let read = |text: &str| Operator::parse("deploy", text).expect("the deployed file is sound");
    let usual = read(include_str!("../../deploy/operator.toml"));
    assert_eq!((usual.policy.len(), usual.plugins.enabled), (7, false));
    assert!(read(include_str!("../../deploy/amounts.toml")).amounts.durable);
    let tiers = read(include_str!("../../deploy/tiers.toml")).tiers.expect("there are tiers");
    let names: Vec<&str> = tiers.tier.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["core", "production", "high", "whole-machines", "normal"]);
    let plan = read(include_str!("../../deploy/dispatch.toml")).dispatch.expect("there is a plan");
    let plan = plan_of_file(plan).expect("it is sound");
    assert_eq!((plan.plan().arrivals.len(), plan.plan().chains[0].steps.len()), (2, 2));
}

/// The machines that `swiftsail local` offers, as its built-in file names them.
#[test]
fn the_file_of_local_machines_is_read_as_before() {
    let model = Model::load(None).expect("the built-in file is sound");
    assert_eq!(model.zones, ["north", "south", "west"]);
    let offered = model.offered();
    let gpu = Hull {
        sku: "gpu".into(),
        cpus: 24.0,
        accelerators: 2.0,
        memory_gb: 96.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 1.0,
        price: 6.0,
        market_price: 2.4,
        boot_s: 12.0,
        docks: vec!["north".into(), "south".into()],
    };
    assert_eq!((offered.len(), &offered[2].hull, offered[2].capacity), (3, &gpu, 2));
}
