//! When one controller takes over from another: answers of the state service that come after what they tell of has
//! changed, the same key met again, loans in each stage. One controller, whose answers the tests hold back one by one.

use serde_json::json;
use std::collections::VecDeque;
use swiftsail_controller::accounts;
use swiftsail_controller::job::{Kind, MachineId, keys};
use swiftsail_controller::node::{Action, Event, Node, Now};
use swiftsail_controller::store::{Call, Outcome};
use swiftsail_controller::tables::Tables;
use swiftsail_gpu_lending::{Lent, Stage};
use swiftsail_failure_detector::Probe;
use swiftsail_replicated_records::Versioned;
use swiftsail_replicated_records::{Book, Limits, Outcome as Written};
use swiftsail_policy::operator::Operator;
use swiftsail_simulation::store::{Committed, Store};
use swiftsail_simulation::world::{BEGIN, settings, spec};
use swiftsail_protocol::state::{Page, Pair};
use swiftsail_protocol::workers::Report;

// ---- answers that are overtaken ----------------------------------------------------------------

fn book() -> Book {
    Book::new("order/", Limits { changes: 100.0, txn_ops: 16, value_bytes: 8_192 }, BEGIN)
}

/// A watch's answer that a reading has overtaken tells of a record that was removed meanwhile, and the watch goes
/// on behind the removal: it must not bring the record back for good.
#[test]
fn a_watch_that_is_overtaken_brings_nothing_back() {
    let mut book = book();
    book.on_page(vec![("a".into(), json!(1), 90)], 100, false);
    // Written at 102, told at once by a slow watch, removed at 104; then all is read at 105.
    book.reread();
    book.on_page(vec![("a".into(), json!(1), 90)], 105, false);
    book.on_news(vec![("loan".into(), Some(json!(2)), 102)], 102);
    assert!(book.committed("loan").is_none(), "it was removed at 104");
    book.on_news(vec![("b".into(), Some(json!(3)), 106)], 106);
    assert_eq!(book.committed("b"), Some(&json!(3)));
}

/// The same of what this leader has removed itself: the watch tells of its own earlier writing afterwards.
#[test]
fn what_a_leader_has_removed_does_not_come_back_by_its_own_watch() {
    let mut book = book();
    book.on_page(Vec::new(), 100, false);
    let wanted = |book: &mut Book, stamp| {
        let txn = book.next(BEGIN + stamp).expect("something is wanted");
        assert!(!book.on_outcome(txn.nonce, Written::Committed(stamp)));
    };
    book.put("loan", json!(1));
    wanted(&mut book, 101);
    book.remove("loan");
    wanted(&mut book, 103);
    book.on_news(vec![("loan".into(), Some(json!(1)), 101)], 101);
    assert!(book.committed("loan").is_none(), "its removal is known");
    book.on_news(vec![("loan".into(), None, 103)], 103);
    assert!(book.committed("loan").is_none());
    // Written again by a later leader, it is news.
    book.on_news(vec![("loan".into(), Some(json!(4)), 105)], 105);
    assert_eq!(book.committed("loan"), Some(&json!(4)));
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Done and answered at once.
    Usual,
    /// Done at once; its answer waits.
    Slow,
    /// No answer; done when told to.
    Later,
    /// Neither done nor answered yet.
    Held,
}

/// One controller and the state service, whose answers the test holds back.
struct Alone {
    node: Node,
    now: Now,
    store: Store,
    way: Box<dyn FnMut(&Call) -> Way>,
    follows: Vec<(u64, String, u64)>,
    /// Answers that wait.
    slow: VecDeque<(u64, Call, Outcome)>,
    /// Calls that are yet to be done, and that nobody waits for.
    later: VecDeque<Call>,
    /// Calls that are yet to be done and answered.
    held: VecDeque<(u64, Call)>,
    /// Tokens and eras under which it has led.
    led: Vec<(u64, u64)>,
    /// Machines that it has asked directly.
    asked: Vec<MachineId>,
}

impl Alone {
    fn new(operator: &Operator) -> Alone {
        Alone::seeded(operator, 1)
    }

    /// Another process of the same controller, if the seed is another.
    fn seeded(operator: &Operator, seed: u64) -> Alone {
        let now = Now { steady: BEGIN, wall: BEGIN };
        let node = Node::operated(settings(0), operator, seed, now);
        let limits = settings(0).settings.state.clone();
        let limits = swiftsail_controller::settings::State { rps: 1e6, write_rps: 1e6, ..limits };
        let store = Store::new(limits, BEGIN);
        let way = Box::new(|_: &Call| Way::Usual);
        let (follows, slow, later) = (Vec::new(), VecDeque::new(), VecDeque::new());
        let (held, led, asked) = (VecDeque::new(), Vec::new(), Vec::new());
        Alone { node, now, store, way, follows, slow, later, held, led, asked }
    }

    fn serve(&mut self, call: &Call) -> Outcome {
        let now = self.now.steady;
        match call {
            Call::Get(key) => match self.store.get(key) {
                Some(pair) => Outcome::Found(pair.clone()),
                None => Outcome::Missing { epoch: self.store.epoch() },
            },
            Call::List { prefix, from } => {
                Outcome::Page(self.store.list(prefix, from.as_deref(), 9))
            }
            Call::Commit(commit) => match self.store.commit(commit) {
                Committed::At(epoch) => Outcome::Committed(epoch),
                Committed::Failed(keys) => Outcome::Conflict(keys),
                Committed::NoGrant => Outcome::NoGrant,
                Committed::Malformed(why) => Outcome::Malformed(why),
            },
            Call::Grant { ttl_ms } => Outcome::Granted(self.store.grant(*ttl_ms, now).unwrap_or(0)),
            Call::Extend(id) if self.store.extend(*id, now) => Outcome::Granted(*id),
            Call::Extend(_) => Outcome::NoGrant,
            Call::Release(id) => {
                self.store.end_grant(*id);
                Outcome::Granted(*id)
            }
            Call::News { prefix, from } | Call::Follow { prefix, from } => {
                match self.store.news(prefix, *from) {
                    Ok(news) => Outcome::News(news.unwrap_or_else(|| self.store.no_news())),
                    Err(_) => Outcome::TooOld,
                }
            }
        }
    }

    fn tell(&mut self, id: u64, outcome: Outcome) {
        self.node.handle(Event::Store(id, outcome), self.now);
        self.act();
    }

    /// The first answer that waits to such a call comes now.
    fn release(&mut self, which: impl Fn(&Call) -> bool) -> bool {
        let Some(at) = self.slow.iter().position(|(_, call, _)| which(call)) else { return false };
        let Some((id, _, outcome)) = self.slow.remove(at) else { return false };
        self.tell(id, outcome);
        true
    }

    fn act(&mut self) {
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                let (id, call) = match action {
                    Action::Store(id, call) => (id, call),
                    Action::Probe(id, _) => {
                        self.asked.push(id);
                        continue;
                    }
                    _ => continue,
                };
                match (self.way)(&call) {
                    Way::Later => {
                        self.node.handle(Event::Store(id, Outcome::Unknown), self.now);
                        self.later.push_back(call);
                    }
                    Way::Held => self.held.push_back((id, call)),
                    Way::Slow => {
                        let outcome = self.serve(&call);
                        self.slow.push_back((id, call, outcome));
                    }
                    Way::Usual => match call {
                        Call::Follow { prefix, from } => self.follows.push((id, prefix, from)),
                        call => {
                            let outcome = self.serve(&call);
                            self.node.handle(Event::Store(id, outcome), self.now);
                        }
                    },
                }
            }
        }
        if let Some(tables) = self.node.tables()
            && self.led.last() != Some(&(tables.token, tables.era))
        {
            self.led.push((tables.token, tables.era));
        }
    }

    fn run(&mut self, ms: u64) {
        for step in 0..ms / 10 {
            (self.now.steady, self.now.wall) = (self.now.steady + 10, self.now.wall + 10);
            self.store.expire(self.now.steady, false);
            let follows = std::mem::take(&mut self.follows);
            for (id, prefix, from) in follows {
                match self.store.news(&prefix, from) {
                    Ok(Some(news)) => {
                        self.node.handle(Event::Store(id, Outcome::News(news)), self.now)
                    }
                    _ => self.follows.push((id, prefix, from)),
                }
            }
            if step.is_multiple_of(10) {
                self.node.handle(Event::Tick, self.now);
            }
            self.act();
        }
    }

    fn token(&self) -> Option<u64> {
        self.node.tables().map(|t| t.token)
    }
}

fn reads_term(call: &Call) -> bool {
    matches!(call, Call::List { prefix, .. } if prefix == keys::TERM)
}

fn takes_lead(call: &Call) -> bool {
    let Call::Commit(commit) = call else { return false };
    commit.apply.len() == 1
        && matches!(&commit.apply[0],
            swiftsail_protocol::state::Change::Write { write, .. } if write == keys::LEADER)
}

/// A controller that has begun to lead, while readings of the term made before that still wait for their answers.
fn leads_with_old_readings() -> Alone {
    let mut alone = Alone::new(&Operator::default());
    let mut readings = 0;
    alone.way = Box::new(move |call| match call {
        Call::Grant { .. } => Way::Slow,
        call if reads_term(call) => {
            readings += 1;
            if readings > 1 { Way::Slow } else { Way::Usual }
        }
        _ => Way::Usual,
    });
    alone.run(2_400);
    assert!(alone.slow.iter().filter(|s| reads_term(&s.1)).count() >= 2, "{:?}", alone.slow);
    alone.way = Box::new(|_| Way::Usual);
    assert!(alone.release(|call| matches!(call, Call::Grant { .. })));
    alone.run(200);
    assert!(alone.node.leads());
    alone
}

/// A reading of the term made before the key was written says nothing of it, however late it comes.
#[test]
fn a_reading_made_before_its_lead_does_not_end_it() {
    let mut alone = leads_with_old_readings();
    assert!(alone.release(reads_term));
    alone.run(1_000);
    assert_eq!(alone.led.len(), 1, "it led as {:?}", alone.led);
    assert!(alone.node.leads());
}

/// A controller that has stepped down while its key lives finds that key in a later campaign: it must not lead under
/// the same token again, since launch numbers would come again and workers have shown that token before.
#[test]
fn nobody_leads_twice_under_one_token() {
    let mut alone = leads_with_old_readings();
    let first = alone.token().expect("it leads");
    // Its watch of jobs is lost; what it reads of the term then is slow, and an old reading shows no key.
    alone.way = Box::new(|call| match call {
        call if reads_term(call) || takes_lead(call) => Way::Slow,
        _ => Way::Usual,
    });
    let (id, ..) = alone.follows.iter().find(|f| f.1 == keys::JOBS).cloned().expect("a watch");
    alone.follows.retain(|f| f.0 != id);
    alone.tell(id, Outcome::TooOld);
    assert!(!alone.node.leads() && alone.store.get(keys::LEADER).is_some());
    assert!(alone.release(reads_term), "the old one");
    alone.run(300);
    assert!(alone.slow.iter().any(|s| takes_lead(&s.1)), "it campaigns");
    // All that waits comes now: its own key is among it.
    while alone.release(reads_term) {}
    alone.way = Box::new(|_| Way::Usual);
    alone.run(300);
    while alone.release(|_| true) {}
    alone.run(5_000);
    let tokens: Vec<u64> = alone.led.iter().map(|l| l.0).collect();
    assert!(tokens.windows(2).all(|t| t[0] < t[1]), "it led under {tokens:?}");
    assert!(alone.node.leads() && alone.token() > Some(first));
}

/// The key is written late, under the grant of a campaign that was given up, while the next one tries: a lead whose
/// grant nobody extends would be lost again within seconds.
#[test]
fn a_key_written_late_by_an_earlier_campaign_is_no_lead() {
    let mut alone = Alone::new(&Operator::default());
    let mut tries = 0;
    alone.way = Box::new(move |call| match call {
        call if takes_lead(call) => {
            tries += 1;
            [Way::Later, Way::Held][(tries - 1).min(1)]
        }
        _ => Way::Usual,
    });
    alone.run(300);
    let late = alone.later.pop_front().expect("a campaign without an answer");
    for _ in 0..200 {
        if !alone.held.is_empty() {
            break;
        }
        alone.run(10);
    }
    assert!(matches!(alone.serve(&late), Outcome::Committed(_)), "its grant still lives");
    alone.way = Box::new(|_| Way::Usual);
    alone.run(50);
    let (id, second) = alone.held.pop_front().expect("a second campaign");
    let outcome = alone.serve(&second);
    alone.tell(id, outcome);
    alone.run(8_000);
    assert!(alone.node.leads());
    assert_eq!(alone.led.len(), 1, "a lead was lost again: {:?}", alone.led);
}

fn operator(text: &str) -> Operator {
    Operator::parse("test", text).expect("it is sound")
}

/// A reading of the records that a controller began before its lead is overtaken by the one that its lead begins
/// with: what it tells afterwards is older.
#[test]
fn a_new_leader_does_not_go_by_an_earlier_reading_of_the_records() {
    let mut alone = Alone::new(&operator("[loans]\ndurable = true\n"));
    let lent = json!({"v": 1, "x": [], "l": []});
    let write = |alone: &mut Alone, key: &str, value: Option<serde_json::Value>| {
        let change = match value {
            Some(value) => {
                swiftsail_protocol::state::Change::Write { write: key.into(), value, mooring: None }
            }
            None => swiftsail_protocol::state::Change::Remove { remove: key.into() },
        };
        let commit = swiftsail_protocol::state::Commit { when: Vec::new(), apply: vec![change] };
        assert!(matches!(alone.serve(&Call::Commit(commit)), Outcome::Committed(_)));
    };
    write(&mut alone, "order/loan/wk-old", Some(lent.clone()));
    let order = |call: &Call| matches!(call, Call::List { prefix, .. } if prefix == keys::ORDER);
    let mut first = true;
    alone.way = Box::new(move |call| match call {
        call if order(call) && std::mem::take(&mut first) => Way::Slow,
        Call::Grant { .. } => Way::Slow,
        _ => Way::Usual,
    });
    alone.run(400);
    // Its predecessor's last word comes after that reading was made.
    write(&mut alone, "order/loan/wk-old", None);
    alone.way = Box::new(|_| Way::Usual);
    assert!(alone.release(|call| matches!(call, Call::Grant { .. })));
    alone.run(300);
    assert!(alone.node.leads() && alone.release(order), "the reading made before");
    alone.run(300);
    let known = alone.node.records();
    assert!(known.is_empty(), "{known:?}");
}

/// A lead that ends while it still reads the records leaves a controller that reads them again.
#[test]
fn a_lead_that_ends_while_it_reads_leaves_no_controller_blind() {
    let mut alone = Alone::new(&operator("[loans]\ndurable = true\n"));
    let order = |call: &Call| matches!(call, Call::List { prefix, .. } if prefix == keys::ORDER);
    let mut readings = 0;
    alone.way = Box::new(move |call| {
        readings += u32::from(order(call));
        if order(call) && readings == 2 { Way::Slow } else { Way::Usual }
    });
    alone.run(400);
    assert!(!alone.node.leads(), "it still reads");
    // Another takes the lead, as a worker tells.
    let report = report("m-1", 1, 1, 99);
    alone.node.handle(Event::Report(1, Box::new(report)), alone.now);
    alone.act();
    let change = swiftsail_protocol::state::Change::Write {
        write: "order/loan/wk-new".into(),
        value: json!({"v": 1, "x": [], "l": []}),
        mooring: None,
    };
    let commit = swiftsail_protocol::state::Commit { when: Vec::new(), apply: vec![change] };
    alone.serve(&Call::Commit(commit));
    alone.run(3_000);
    assert_eq!(alone.node.records(), ["loan/wk-new"]);
}

fn report(name: &str, watch: u64, tick: u64, helm: u64) -> Report {
    Report {
        berth: name.into(),
        addr: format!("{name}:9000"),
        hull: "s4".into(),
        dock: "a".into(),
        watch,
        tick,
        helm,
        driftwood: false,
        recall_s: None,
        shards: Vec::new(),
    }
}

/// Two direct questions to a machine are open, and between them it has reported: the answer to the first comes after
/// that report, with a lower number. It tells of no worker that has begun anew, under one lead or under the next.
#[test]
fn the_answer_to_an_earlier_question_is_no_new_life() {
    for again in [false, true] {
        let mut alone = Alone::new(&Operator::default());
        alone.run(500);
        let tell = |alone: &mut Alone, tick| {
            let token = alone.token().expect("it leads");
            let report = report("m-1", 1, tick, token);
            alone.node.handle(Event::Report(tick, Box::new(report)), alone.now);
            alone.act();
        };
        let quiet = |alone: &mut Alone, until: usize| {
            for _ in 0..100 {
                if alone.asked.len() >= until {
                    return;
                }
                alone.run(100);
            }
            panic!("it was asked {} times", alone.asked.len());
        };
        tell(&mut alone, 50);
        quiet(&mut alone, 1);
        if again {
            let watch = alone.follows.iter().find(|f| f.1 == keys::JOBS).cloned();
            alone.tell(watch.expect("a watch").0, Outcome::TooOld);
            alone.run(1_000);
            assert_eq!(alone.led.len(), 2);
        }
        tell(&mut alone, 60);
        quiet(&mut alone, 2);
        let renewed = |alone: &Alone| {
            let tables = alone.node.tables().expect("it leads");
            tables.machines["m-1"].renewed
        };
        let answer = |alone: &mut Alone, tick| {
            let token = alone.token().expect("it leads");
            let report = Box::new(report("m-1", 1, tick, token));
            let id = MachineId::from("m-1");
            alone.node.handle(Event::Probed(id, Probe::Answered, Some(report)), alone.now);
            alone.act();
        };
        answer(&mut alone, 51);
        assert!(!renewed(&alone), "again {again}: it was taken for a worker that has begun anew");
        // The answer to the second comes after a later report and a third question.
        tell(&mut alone, 70);
        quiet(&mut alone, 3);
        answer(&mut alone, 61);
        assert!(!renewed(&alone), "again {again}: the second answer was");
        answer(&mut alone, 71);
        assert!(!renewed(&alone));
        // One that has begun anew is still found out.
        quiet(&mut alone, 4);
        answer(&mut alone, 3);
        assert!(renewed(&alone), "again {again}");
    }
}

/// A job's record as the state service holds it.
fn live(id: &str, kind: Kind, tasks: u32) -> Pair {
    let record = swiftsail_controller::job::JobRecord {
        awaits: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_000,
        chunk_tasks: 8,
        nonce: 0,
        tier: None,
        spec: spec(kind, tasks, 1.0, "i"),
    };
    let value = serde_json::to_value(record).expect("our own record");
    Pair { key: keys::job(id), value, stamp: 1, mooring: None }
}

/// A new leader has heard no machine yet. That is no sign that a machine which was lent is gone: the loan stands where
/// it stood, in each of its stages, until there was time to report.
#[test]
fn loans_in_each_stage_outlive_their_leader() {
    for (stage, lender_on, borrower_on) in [
        ("a", true, false),
        ("s", true, false),
        ("g", false, false),
        ("v", false, true),
        ("e", false, false),
    ] {
        let (now, wall) = (100_000, 900_000);
        let mut tables = Tables::new(9, 1, now);
        let pairs = vec![live("wk-b", Kind::Gang, 2), live("wk-l", Kind::Gang, 1)];
        tables.load_jobs(&Page { pairs, has_next: false, epoch: 1 }, now, wall);
        for (id, on) in [("wk-l", lender_on), ("wk-b", borrower_on)] {
            let machine = MachineId::from("m-1");
            let bound = swiftsail_controller::job::Bound { task: 0, launch: 7, machine, watch: 1 };
            let bound = if on { vec![bound] } else { Vec::new() };
            let chunk = swiftsail_controller::job::Chunk { nonce: 1, upto: 9, done: Vec::new(), bound };
            tables.jobs.get_mut(id).expect("loaded").restore(0, &chunk, 1, now);
        }
        tables.index(now, now);
        let record = json!({"v": 1, "x": [], "l":
            [{"to": "wk-b", "on": "m-1", "n": 2.0, "stage": stage, "at": wall - 1_000}]});
        let lent = Lent::read("loan/wk-l", &record).expect("a sound record");
        let before = lent.loans[0].stage();
        tables.loans.restore("wk-l", lent);
        for step in 0..40 {
            tables.step_loans(now + step * 100, wall + step * 100);
        }
        let now_at = |tables: &Tables| {
            tables.loans.of("wk-l").and_then(|l| l.loans.first()).map(|l| l.stage())
        };
        assert_eq!(now_at(&tables), Some(before), "a loan in stage {stage}");
        if !lender_on && !borrower_on {
            // A machine that does not come is gone in the end.
            tables.step_loans(now + 15_000, wall + 15_000);
            assert!(now_at(&tables).is_none_or(Stage::over), "a loan in stage {stage}");
        }
    }
}

/// A reading of limits that was made before its lead tells what its predecessor held then: it has given some of it
/// away since.
#[test]
fn a_new_leader_does_not_use_what_its_predecessor_gave_away() {
    let operator = operator("[amounts]\ndurable = true\n");
    let mut first = Alone::new(&operator);
    first.run(8_000);
    let caps = |alone: &Alone| alone.node.tables().and_then(|t| t.caps.clone()).expect("limits");
    let before = caps(&first)[0];
    assert!(before.cpus > swiftsail_quota::Amount::ZERO);
    let mut next = Alone::seeded(&operator, 2);
    std::mem::swap(&mut next.store, &mut first.store);
    let amounts =
        |call: &Call| matches!(call, Call::List { prefix, .. } if prefix == accounts::PREFIX);
    next.way = Box::new(move |call| match call {
        call if amounts(call) => Way::Slow,
        Call::Grant { .. } => Way::Slow,
        _ => Way::Usual,
    });
    next.now = first.now;
    // The predecessor's key lives for a while; its last transaction is done after the successor's reading.
    next.run(1_000);
    assert!(next.slow.iter().any(|s| amounts(&s.1)));
    let key = format!("{}0/of/all", accounts::PREFIX);
    let mut record = next.store.get(&key).expect("what it holds").value.clone();
    record["has"] = json!({});
    let change = swiftsail_protocol::state::Change::Write { write: key, value: record, mooring: None };
    let commit = swiftsail_protocol::state::Commit { when: Vec::new(), apply: vec![change] };
    assert!(matches!(next.serve(&Call::Commit(commit)), Outcome::Committed(_)));
    assert!(next.release(|call| matches!(call, Call::Grant { .. })));
    next.run(300);
    assert!(next.node.leads());
    let readings = next.slow.iter().filter(|s| amounts(&s.1)).count();
    assert!(readings >= 2, "{readings} readings, one of them its own");
    assert!(next.release(amounts), "the reading made before");
    next.run(200);
    let now = caps(&next)[0];
    assert!(
        now.cpus == swiftsail_quota::Amount::ZERO,
        "{now:?} may be used, as {before:?} before"
    );
}
