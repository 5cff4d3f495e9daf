//! JSON for operators, report hooks and `swiftsail local`.

use crate::records::plugin;
use crate::{Case, compare};
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

/// What a report hook is sent, after one event found no room.
fn delivery() -> Case {
    let hook = EventReceiver::parse("to = \"127.0.0.1:9\"\npath = \"/in\"\nevents = [\"task\"]\n");
    let mut outbox = EventOutbox::new(hook.expect("the hook is sound"));
    outbox.enqueue(&event(Some("m-000231")));
    outbox.enqueue(&event(None));
    let sent = outbox.next_delivery("evening", 0).expect("it may leave");
    assert_eq!((sent.to.port(), sent.path.as_str()), (9, "/in"));
    let body: serde_json::Value = serde_json::from_slice(&sent.body).expect("it is JSON");
    let mut case = Case::json("delivery to a report hook", &body);
    case.bytes = sent.body;
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
    let shown = |delivery| PluginStatus {
        record: plugin(PluginKind::EventReceiver, PluginState::Suspended, Some("slow")),
        calls: 5,
        ops: 6,
        faults: vec!["admit fails".into()],
        delivery,
    };
    vec![
        Case::json_both("event", &event(Some("m-000231"))),
        Case::json_both("event least", &event(None)),
        delivery(),
        Case::json_both("offer", &offer(true)),
        Case::json_both("offer not enabled", &offer(false)),
        Case::json("counts", &counts),
        Case::json("plug-in shown", &shown(Some(counts))),
        Case::json("plug-in shown without deliveries", &shown(None)),
        Case::json_both("hooks", &Hook::ALL.to_vec()),
    ]
}

fn verdict() -> Case {
    let avoided = BTreeSet::from(["g8".to_string()]);
    let answers = [
        Some(HookAnswer::Score(1.5)),
        Some(HookAnswer::ClassOrder(2)),
        Some(HookAnswer::SpotShare(0.5)),
        Some(HookAnswer::AvoidTypes(avoided)),
        Some(HookAnswer::RetryAfterS(4.0)),
        None,
    ];
    let said = answers.into_iter().map(|answer| HookResponse {
        plugin: "evening".into(),
        fault: answer.is_none().then(|| "it loops".into()),
        answer,
    });
    Case::json(
        "verdict",
        &HookResult { responses: said.collect(), composed: Some(HookAnswer::Score(3.5)) },
    )
}

fn knobs() -> Case {
    use PolicyParameter::*;
    Case::json_both(
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
    let mut all: Vec<Case> = faults.iter().map(|(n, f)| Case::json_both(n, f)).collect();
    let standing = EmulatorStatus {
        leader: Some("node-0".into()),
        jobs: 1,
        machines: 2,
        machines_up: 3,
        tasks: 4,
        tasks_done: 5,
        tasks_killed: 6,
        money_spent: 7.5,
    };
    all.push(Case::json("standing", &standing));
    all
}

#[test]
fn what_operators_and_hooks_see_is_as_before() {
    let cases: Vec<Case> =
        plugins().into_iter().chain([verdict(), knobs()]).chain(local()).collect();
    compare("shown.txt", RECORDED, &cases);
}

/// The name of a hook's function and its name in records are the same, and so are those of knobs.
#[test]
fn names_of_hooks_and_knobs_are_as_before() {
    let hooks = ["priority", "class_order", "spot_share", "avoid_types", "admit"];
    assert_eq!(Hook::ALL.map(Hook::name), hooks);
    let knobs = ["threshold", "spot_share", "toggle", "line_cap", "round_s", "reserve", "idle_s"];
    assert_eq!(parameter_names().collect::<Vec<_>>(), knobs);
}

/// A report hook's source names all that it may; nothing else is taken.
#[test]
fn a_report_hook_is_read_as_before() {
    let hook = EventReceiver::parse("to = \"127.0.0.1:9\"").expect("the least is sound");
    assert_eq!((hook.path.as_str(), hook.events.len()), ("/", 0));
    assert!(EventReceiver::parse("to = \"127.0.0.1:9\"\nother = 1").is_err());
    assert_eq!(swiftsail_policy::outbox::EVENT_KINDS, ["task", "job", "machine", "term", "rental"]);
    let least = br#"{"kind":"report","source":"x"}"#;
    let offer: PluginOffer = serde_json::from_slice(least).expect("the least is sound");
    assert_eq!(
        (offer.kind, offer.precedence, offer.enable),
        (PluginKind::EventReceiver, 100, false)
    );
}
