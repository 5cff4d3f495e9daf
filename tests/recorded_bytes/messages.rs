//! Every message between processes, with and without its optional fields.

use crate::records::{hull, least_spec, whole_spec};
use crate::{Case, compare};
use serde_json::json;
use swiftsail_controller::job::{Kind, Priority, Spec};
use swiftsail_protocol::cloud::{Berths, Listed, ListedState, Listing, Rent, Types};
use swiftsail_protocol::controllers::{Answers, Batch, Beat, Passed};
use swiftsail_protocol::state::{
    Ask, Change, Commit, Committed, Granted, Item, News, Page, Pair, When,
};
use swiftsail_protocol::users::{JobAnswer, Problem, Status, read_submission, write_submission};
use swiftsail_protocol::workers::{
    Cause, Command, Direct, Orders, Phase, Redirect, Report, Shard, Verb,
};

const RECORDED: &str = include_str!("fixtures/messages.txt");

/// A report with every field set.
pub fn report() -> Report {
    Report {
        berth: "m-000231".into(),
        addr: "10.1.0.232:9000".into(),
        hull: "g8".into(),
        dock: "a".into(),
        driftwood: true,
        watch: 1,
        tick: 88,
        helm: 41,
        recall_s: Some(30.5),
        shards: shards(),
    }
}

fn shards() -> Vec<Shard> {
    use Cause::*;
    let phases = [Phase::Fetching, Phase::Waiting, Phase::Running, Phase::Saving, Phase::Unknown];
    let of = |n: usize, status, cause, stored| Shard {
        shard: format!("wk-000412/{n}"),
        launch: 2,
        status,
        cause,
        stored,
    };
    let mut all: Vec<Shard> =
        phases.iter().enumerate().map(|(n, p)| of(n, *p, None, None)).collect();
    let causes = [Done, Stopped, PeersGone, Alone, Error, NoRoom, InUse, NoSuch, Other];
    for (n, cause) in causes.into_iter().enumerate() {
        all.push(of(5 + n, Phase::Exited, Some(cause), (cause == Stopped).then_some(true)));
    }
    all
}

/// A report without what may be left out.
pub fn short_report() -> Report {
    Report { driftwood: false, recall_s: None, shards: Vec::new(), ..report() }
}

fn commands() -> Vec<Command> {
    let of =
        |verb, shard: &str, launch, ease_s| Command { verb, shard: shard.into(), launch, ease_s };
    vec![
        of(Verb::Start, "wk-000412/4", 2, None),
        of(Verb::Stop, "wk-000377/1", 1, Some(10.0)),
        of(Verb::Forget, "wk-000398/0", 1, None),
    ]
}

fn whole_beat() -> Beat {
    Beat {
        node: "berth-1".into(),
        token: 41,
        leads: true,
        store_age_ms: 120,
        shares: true,
        load: Some(310),
        upkeep: Some(42),
        counts: vec![("wk-1".into(), 3, 13)],
        cluster: vec![1.0, 2.5],
        process: 9_001,
        number: 17,
        floor: Some(430),
        read: 431,
        cancelled: vec![("wk-2".into(), 432, 1_700_000_000_001)],
        owed: vec![("m-000231".into(), 1_700_000_000_002)],
        taken: vec![("berth-2".into(), 9_002, 18)],
        form: 2,
        brief: true,
    }
}

fn controllers() -> Vec<Case> {
    let whole = Passed::Whole { report: Box::new(report()), shown: 5 };
    let same = Passed::Same { berth: "m-000231".into(), watch: 1, tick: 89, shown: 6 };
    let batch = Batch { node: "berth-1".into(), reports: vec![whole, same], well: Vec::new() };
    let well = Batch { well: vec![("m-000232".into(), 1, 90, 7)], ..batch.clone() };
    let orders = vec![Some(commands()), Some(Vec::new()), None];
    let answers =
        Answers { helm: 41, orders, calm: vec![1], look: vec!["m-9".into()], duty_ms: 800 };
    let least = Answers { calm: Vec::new(), look: Vec::new(), duty_ms: 0, ..answers.clone() };
    vec![
        Case::message("beat", &whole_beat()),
        Case::message("beat least", &Beat { node: "berth-1".into(), ..Beat::default() }),
        Case::message("batch", &batch),
        Case::message("batch with well machines", &well),
        Case::message("batch without anything", &Batch::default()),
        Case::message("answers", &answers),
        Case::message("answers least", &least),
    ]
}

fn workers() -> Vec<Case> {
    let redirect = |harbor: Option<&str>| Redirect { harbor: harbor.map(str::to_string) };
    vec![
        Case::message("report", &report()),
        Case::message("report least", &short_report()),
        Case::message("orders", &Orders { helm: 41, orders: commands() }),
        Case::message("direct", &Direct { helm: 41, watch: 1, orders: commands() }),
        Case::message("redirect", &redirect(Some("berth-2"))),
        Case::message("redirect to nobody", &redirect(None)),
    ]
}

fn cloud() -> Vec<Case> {
    let rent = Rent {
        charter: "r-17".into(),
        hull: "g8".into(),
        dock: "a".into(),
        driftwood: true,
        number: 12,
    };
    let listed = |status| Listed {
        name_id: "m-000231".into(),
        addr: "10.1.0.232:9000".into(),
        hull: "g8".into(),
        dock: "a".into(),
        driftwood: true,
        status,
        held_s: 61.5,
    };
    use ListedState::*;
    let berths = [Booting, Running, Failed, Unknown].map(listed).into();
    vec![
        Case::message("machine types", &Types { hulls: vec![hull()] }),
        Case::message("rental", &rent),
        Case::message("machines rented", &Berths { berths: vec!["m-000231".into()] }),
        Case::message("machine list", &Listing { berths, has_next: true }),
        Case::message("machine list without anything", &Listing::default()),
    ]
}

fn state() -> Vec<Case> {
    let pair = |mooring| Pair { key: "a/b".into(), value: json!({"x": 1}), stamp: 412, mooring };
    let page = Page { pairs: vec![pair(Some(7)), pair(None)], has_next: true, epoch: 431 };
    let put = |mooring| Change::Write { write: "a/b".into(), value: json!({"x": 1}), mooring };
    let commit = Commit {
        when: vec![When { key: "a/b".into(), stamp: 9 }],
        apply: vec![put(Some(7)), put(None), Change::Remove { remove: "c/d".into() }],
    };
    let item = |write: Option<&str>, remove: Option<&str>| Item {
        write: write.map(str::to_string),
        remove: remove.map(str::to_string),
        value: write.map_or(json!(null), |_| json!({"x": 1})),
        stamp: 433,
    };
    let news = News { epoch: 434, news: vec![item(Some("c/9"), None), item(None, Some("c/d"))] };
    vec![
        Case::message("pair", &pair(Some(7))),
        Case::message("page", &page),
        Case::message("transaction", &commit),
        Case::message("transaction taken", &Committed { epoch: 432, failed: vec!["a/b".into()] }),
        Case::message("lease asked", &Ask { ttl_ms: 5_000 }),
        Case::message("lease", &Granted { mooring: 7 }),
        Case::message("news", &news),
    ]
}

fn users() -> Vec<Case> {
    let answer =
        |status, done, running| JobAnswer { name_id: "wk-1".into(), status, done, running };
    let spec = |kind, priority| Spec { kind, priority, ..least_spec() };
    let sent = |name: &str, spec: &Spec, awaits: &[&str]| {
        let awaits: Vec<_> = awaits.iter().map(|id| (*id).into()).collect();
        let mut case = Case::bytes(name, write_submission("wk-1", spec, &awaits));
        case.again = Some(Box::new(|bytes| {
            let found = read_submission(bytes).map_err(|e| e.to_string())?;
            let spec = found.spec.map_err(|e| e.to_string())?;
            Ok(write_submission(&found.id, &spec, &found.awaits))
        }));
        case
    };
    vec![
        sent("submission", &whole_spec(), &[]),
        sent("submission that awaits", &whole_spec(), &["wk-2", "wk-3"]),
        sent("submission least", &least_spec(), &[]),
        sent("submission array low", &spec(Kind::Array, Priority::Low), &[]),
        sent("submission array normal", &spec(Kind::Array, Priority::Normal), &[]),
        sent("submission service", &spec(Kind::Service, Priority::Production), &[]),
        Case::message("job pending", &answer(Status::Pending, None, None)),
        Case::message("job running", &answer(Status::Running, Some(3), Some(13))),
        Case::message("job done", &answer(Status::Done, Some(16), Some(0))),
        Case::message("job withdrawn", &answer(Status::Cancelled, None, None)),
        Case::message("problem", &Problem { error: "no such job".into() }),
    ]
}

#[test]
fn messages_are_written_and_read_as_before() {
    let parts = [controllers(), workers(), cloud(), state(), users()];
    let cases: Vec<Case> = parts.into_iter().flatten().collect();
    compare("messages.txt", RECORDED, &cases);
}
