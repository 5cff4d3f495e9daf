//! Reading of the operators' file, with every table and field, and of the files under `deploy/`.

use std::collections::BTreeMap;
use swiftsail::local::LocalConfig;
use swiftsail_controller::controller::{compile_deadline_plan, tier_table_from_settings};
use swiftsail_deadline_planning::{ChainDefinition, DeadlinePlan, ScheduleEntry, StepDefinition};
use swiftsail_policy::operator_settings::{OperatorSettings, PolicySetting};
use swiftsail_protocol::cloud::ListedMachineType;
use swiftsail_tiers::{TierDefinition, TierTableRecord};

const FULL: &str = r#"
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

fn full_settings() -> OperatorSettings {
    OperatorSettings::parse("full", FULL).expect("the file is valid")
}

#[test]
fn every_field_of_the_operators_file_is_read_unchanged() {
    let settings = full_settings();
    assert_eq!(settings.admin.listen.map(|a| a.to_string()), Some("127.0.0.1:8081".into()));
    assert!(settings.plugins.enabled && settings.amounts.durable && settings.loans.durable);
    let spot_share = "if job.gpus > 0.0 { 0.0 } else { 0.9 }";
    let policy = [
        ("threshold", PolicySetting::Number(0.5)),
        ("toggle", PolicySetting::Integer(2)),
        ("spot_share", PolicySetting::Expression(spot_share.into())),
        ("line_cap", PolicySetting::Integer(5)),
        ("round_s", PolicySetting::Number(1.5)),
        ("reserve", PolicySetting::Integer(3)),
        ("idle_s", PolicySetting::Number(20.0)),
    ];
    let policy: BTreeMap<String, PolicySetting> =
        policy.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    assert_eq!(settings.policy, policy);
    let empty = OperatorSettings::parse("empty", "").expect("all tables are optional");
    assert_eq!(empty, OperatorSettings::default());
    for table in ["admin", "plugins", "amounts", "loans"] {
        let text = format!("[{table}]\n");
        assert_eq!(
            OperatorSettings::parse(table, &text).expect("it may be empty"),
            empty,
            "{table}"
        );
        assert!(OperatorSettings::parse(table, &format!("{text}other = 1\n")).is_err(), "{table}");
    }
}

/// Each switch affects only its own setting.
#[test]
fn switches_of_the_operators_file_are_independent() {
    let enable = |table: &str, field: &str| {
        let text = format!("[{table}]\n{field} = true\n");
        let settings = OperatorSettings::parse(table, &text).expect("it is valid");
        (settings.plugins.enabled, settings.amounts.durable, settings.loans.durable)
    };
    assert_eq!(enable("plugins", "enabled"), (true, false, false));
    assert_eq!(enable("amounts", "durable"), (false, true, false));
    assert_eq!(enable("loans", "durable"), (false, false, true));
}

#[test]
fn tiers_of_the_operators_file_are_read_unchanged() {
    let tier_settings = full_settings().tiers.expect("there are tiers");
    let tier = |name: &str, when: &str, ordered| TierDefinition {
        name: name.into(),
        when: when.into(),
        ordered,
    };
    let core = tier("core", r#"job.priority == "production""#, true);
    let tiers = vec![core, tier("other", "true", false)];
    assert_eq!(
        tier_table_from_settings(&tier_settings),
        TierTableRecord { format_version: 0, version: 4, tiers }
    );
}

#[test]
fn the_dispatch_plan_of_the_operators_file_is_read_unchanged() {
    let calendar = compile_deadline_plan(full_settings().dispatch.expect("there is a plan"))
        .expect("it is valid");
    let step = |name: &str, after: &[&str], margin_s| StepDefinition {
        name: name.into(),
        when: format!("job.class == \"{name}\""),
        after: after.iter().map(|a| a.to_string()).collect(),
        margin_s,
    };
    let steps = vec![step("count", &[], 90.0), step("list", &["count"], 60.0)];
    let north = ScheduleEntry {
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
    let once = ScheduleEntry {
        name: "once".into(),
        yard: String::new(),
        haulier: String::new(),
        zone: "UTC".into(),
        days: Vec::new(),
        on: Some("2026-12-23".into()),
        except: Vec::new(),
        ..north.clone()
    };
    let chains = vec![ChainDefinition { name: "lists".into(), steps }];
    assert_eq!(
        *calendar.plan(),
        DeadlinePlan { format_version: 0, version: 5, entries: vec![north, once], chains }
    );
}

#[test]
fn deployed_files_are_read_unchanged() {
    let read =
        |text: &str| OperatorSettings::parse("deploy", text).expect("the deployed file is valid");
    let operator = read(include_str!("../../deploy/operator.toml"));
    assert_eq!((operator.policy.len(), operator.plugins.enabled), (7, false));
    assert!(read(include_str!("../../deploy/amounts.toml")).amounts.durable);
    let tiers = read(include_str!("../../deploy/tiers.toml")).tiers.expect("there are tiers");
    let names: Vec<&str> = tiers.tier.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["core", "production", "high", "whole-machines", "normal"]);
    let plan = read(include_str!("../../deploy/dispatch.toml")).dispatch.expect("there is a plan");
    let plan = compile_deadline_plan(plan).expect("it is valid");
    assert_eq!((plan.plan().entries.len(), plan.plan().chains[0].steps.len()), (2, 2));
}

/// The machine types of the built-in file of `swiftsail local`.
#[test]
fn the_file_of_local_machines_is_read_unchanged() {
    let config = LocalConfig::load(None).expect("the built-in file is valid");
    assert_eq!(config.zones, ["north", "south", "west"]);
    let offers = config.cloud_offers();
    let gpu = ListedMachineType {
        name: "gpu".into(),
        cpus: 24.0,
        gpus: 2.0,
        memory_gb: 96.0,
        cache_gb: 60.0,
        image_fetch_gb_per_s: 1.0,
        price: 6.0,
        spot_price: 2.4,
        boot_s: 12.0,
        zones: vec!["north".into(), "south".into()],
    };
    assert_eq!((offers.len(), &offers[2].machine_type, offers[2].capacity), (3, &gpu, 2));
}
