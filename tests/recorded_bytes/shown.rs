//! JSON output for operators, event receivers and `swiftsail local`.

use crate::records::plugin;
use crate::{Case, assert_matches_fixture};
use std::collections::BTreeSet;
use swiftsail::local::{EmulatorStatus, Fault};
use swiftsail_policy::hooks::{Hook, HookAnswer};
use swiftsail_policy::outbox::{DeliveryCounts, EventOutbox, EventReceiver, ReportedEvent};
use swiftsail_policy::plugin::{PluginKind, PluginOffer, PluginState};
use swiftsail_policy::plugin_host::{HookResponse, HookResult, PluginStatus};
use swiftsail_policy::scheduling_policy::{PolicyParameter, parameter_names};

const RECORDED: &str = include_str!("fixtures/shown.txt");

fn event(detail: Option<&str>) -> ReportedEvent {
    ReportedEvent {
        kind: "task".into(),
        event: "runs".into(),
        subject: "wk-1/0".into(),
        detail: detail.map(str::to_string),
        at_ms: 1_700_000_000_001,
    }
}

/// The body of a delivery to an event receiver.
fn delivery() -> Case {
    let receiver =
        EventReceiver::parse("to = \"127.0.0.1:9\"\npath = \"/in\"\nevents = [\"task\"]\n");
    let mut outbox = EventOutbox::new(receiver.expect("the receiver is valid"));
    outbox.enqueue(&event(Some("m-000231")));
    outbox.enqueue(&event(None));
    let delivery = outbox.next_delivery("evening", 0).expect("a delivery is due");
    assert_eq!((delivery.to.port(), delivery.path.as_str()), (9, "/in"));
    let body: serde_json::Value = serde_json::from_slice(&delivery.body).expect("it is JSON");
    let mut case = Case::json("delivery to a report hook", &body);
    case.bytes = delivery.body;
    case
}

fn plugins() -> Vec<Case> {
    let offer = |enable| PluginOffer {
        kind: PluginKind::Decision,
        source: "fn admit(job, cluster) { true }".into(),
        precedence: 10,
        enable,
    };
    let counts = DeliveryCounts { waiting: 1, delivered: 2, dropped: 3, failures: 4 };
    let status = |delivery| PluginStatus {
        record: plugin(PluginKind::EventReceiver, PluginState::Suspended, Some("slow")),
        calls: 5,
        ops: 6,
        faults: vec!["admit fails".into()],
        delivery,
    };
    vec![
        Case::json_round_trip("event", &event(Some("m-000231"))),
        Case::json_round_trip("event least", &event(None)),
        delivery(),
        Case::json_round_trip("offer", &offer(true)),
        Case::json_round_trip("offer not enabled", &offer(false)),
        Case::json("counts", &counts),
        Case::json("plug-in shown", &status(Some(counts))),
        Case::json("plug-in shown without deliveries", &status(None)),
        Case::json_round_trip("hooks", &Hook::ALL.to_vec()),
    ]
}

fn hook_result() -> Case {
    let avoided_types = BTreeSet::from(["g8".to_string()]);
    let answers = [
        Some(HookAnswer::Score(1.5)),
        Some(HookAnswer::ClassOrder(2)),
        Some(HookAnswer::SpotShare(0.5)),
        Some(HookAnswer::AvoidTypes(avoided_types)),
        Some(HookAnswer::RetryAfterS(4.0)),
        None,
    ];
    let responses = answers.into_iter().map(|answer| HookResponse {
        plugin: "evening".into(),
        fault: answer.is_none().then(|| "it loops".into()),
        answer,
    });
    Case::json(
        "verdict",
        &HookResult { responses: responses.collect(), composed: Some(HookAnswer::Score(3.5)) },
    )
}

fn policy_parameters() -> Case {
    use PolicyParameter::*;
    Case::json_round_trip(
        "knobs",
        &vec![
            PruningThreshold,
            SpotShare,
            DroppingToggle,
            QueueLimit,
            RoundIntervalS,
            ServiceHeadroom,
            IdleTimeoutS,
        ],
    )
}

fn local() -> Vec<Case> {
    let seconds = 20.5;
    let faults = [
        ("fault crash", Fault::Crash { node: 1 }),
        ("fault store", Fault::Store { seconds, node: Some(2) }),
        ("fault store for all", Fault::Store { seconds, node: None }),
        ("fault cloud", Fault::Cloud { seconds }),
        ("fault zone", Fault::Zone { zone: "north".into(), seconds }),
        ("fault spot", Fault::Spot { number: 3 }),
        ("fault hang", Fault::Hang { number: 4, seconds }),
        ("fault spoil", Fault::Spoil { number: 5 }),
    ];
    let mut cases: Vec<Case> =
        faults.iter().map(|(name, fault)| Case::json_round_trip(name, fault)).collect();
    let status = EmulatorStatus {
        leader: Some("node-0".into()),
        jobs: 1,
        machines: 2,
        machines_up: 3,
        tasks: 4,
        tasks_done: 5,
        tasks_killed: 6,
        money_spent: 7.5,
    };
    cases.push(Case::json("standing", &status));
    cases
}

#[test]
fn json_for_operators_and_event_receivers_is_unchanged() {
    let cases: Vec<Case> =
        plugins().into_iter().chain([hook_result(), policy_parameters()]).chain(local()).collect();
    assert_matches_fixture("shown.txt", RECORDED, &cases);
}

/// Names of hooks and policy parameters. The name of a hook's function is also its name in records.
#[test]
fn names_of_hooks_and_policy_parameters_are_unchanged() {
    let hooks = ["priority", "class_order", "spot_share", "avoid_types", "admit"];
    assert_eq!(Hook::ALL.map(Hook::name), hooks);
    let parameters =
        ["threshold", "spot_share", "toggle", "line_cap", "round_s", "reserve", "idle_s"];
    assert_eq!(parameter_names().collect::<Vec<_>>(), parameters);
}

/// The optional fields of an event receiver and of a plug-in offer have the same defaults, and unknown fields of an event
/// receiver are rejected.
#[test]
fn event_receivers_are_read_unchanged() {
    let receiver =
        EventReceiver::parse("to = \"127.0.0.1:9\"").expect("optional fields may be omitted");
    assert_eq!((receiver.path.as_str(), receiver.events.len()), ("/", 0));
    assert!(EventReceiver::parse("to = \"127.0.0.1:9\"\nother = 1").is_err());
    assert_eq!(swiftsail_policy::outbox::EVENT_KINDS, ["task", "job", "machine", "term", "rental"]);
    let minimal = br#"{"kind":"report","source":"x"}"#;
    let offer: PluginOffer =
        serde_json::from_slice(minimal).expect("optional fields may be omitted");
    assert_eq!(
        (offer.kind, offer.precedence, offer.enable),
        (PluginKind::EventReceiver, 100, false)
    );
}
