//! What is asked of the smallest world.

use super::*;

/// A day of some seconds on which so many jobs come and go.
fn day(seed: u64, jobs: u64, stages: u64, ways: Ways, memory_mb: f64) -> Small {
    let mut small = Small::new(seed, ways, memory_mb);
    if memory_mb < 1.0 {
        // More than are kept for polls: every question is a read of its job's own key.
        (0..200).for_each(|n| small.put(&format!("wk-x{n}"), false));
    }
    small.run(3_000);
    for n in 0..jobs {
        small.submit(3_000 + n * 150, format!("wk-{n}"));
        for stage in 0..stages {
            let before = small.ids.len() - 1;
            small.known_job(format!("wk-{n}s{stage}"), Some(before));
        }
    }
    if seed % 3 == 2 {
        let node = small.rng.random_range(0..NODES);
        let at = BEGIN + 3_000 + small.rng.random_range(0..jobs * 150);
        small.at(at, Ev::Restart(node));
    }
    small.run(3_000 + jobs * 150 + 12_000);
    small
}

fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let range = std::env::var("ANSWERS").ok();
    let range = range.as_deref().and_then(|r| r.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.unwrap_or(default)
}

/// Whatever the order in which the state service carries out and answers calls, and whatever is lost or late: all
/// answers about a job, of all controllers, follow one order.
#[test]
fn answers_of_all_controllers_follow_one_order() {
    one_order(40.0, 0, 0..30);
}

/// The same of jobs that await others: once a job before it is called off, no controller calls one open that has called
/// it off, whatever it keeps and however old that is.
#[test]
fn answers_about_stages_follow_one_order() {
    one_order(40.0, 2, 0..15);
    one_order(0.2, 2, 0..15);
}

/// The same where nothing is kept for polls: questions about one job share a read of its key that began after them.
#[test]
fn answers_from_single_keys_follow_one_order() {
    one_order(0.2, 0, 0..15);
}

fn one_order(memory_mb: f64, stages: u64, days: std::ops::Range<u64>) {
    let least = days.end;
    let mut met: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in seeds(days) {
        let ways = match seed % 3 {
            0 => Ways { slow_ms: 200, lost: 0.0, late: 0.0, refused: 0.0 },
            1 => Ways { slow_ms: 900, lost: 0.05, late: 0.02, refused: 0.01 },
            _ => Ways { slow_ms: 500, lost: 0.15, late: 0.05, refused: 0.03 },
        };
        let small = day(seed, if stages > 0 { 14 } else { 40 }, stages, ways, memory_mb);
        assert!(small.broken.is_empty(), "seed {seed}: {:?}", small.broken);
        for (what, times) in small.met {
            *met.entry(what).or_default() += times;
        }
    }
    println!("{met:?}");
    for what in ["answer lost", "carried out late"] {
        assert!(met[what] > 2 * least, "{what}: {met:?}");
    }
    for what in ["moved while asked about", "ended while asked about"] {
        assert!(met[what] > 10 * least, "{what}: {met:?}");
    }
    assert!(stages == 0 || met["called off"] > 3 * least, "called off: {met:?}");
}

/// A call without an answer says that the state service is away, unless one that left later has its answer.
#[test]
fn one_lost_answer_is_no_outage() {
    use swiftsail_controller::store::{Patience, Store, Urgency};
    for (answered, away) in [(Some(1), false), (Some(0), true), (None, true)] {
        let mut store: Store<u8> = Store::new(100.0, 100.0, 0);
        let mut left = Vec::new();
        for n in 0..3u64 {
            let call = Call::Get(format!("job/wk-{n}"));
            store.push(call, n as u8, Urgency::Work, Patience::Once(9_000));
            left.extend(store.pump(n * 100).0.into_iter().map(|(id, _)| id));
        }
        let silent = if answered == Some(1) { 0 } else { 1 };
        if let Some(n) = answered {
            store.finish(left[n], Outcome::Missing { epoch: 1 }, 400);
        }
        store.finish(left[silent], Outcome::Unknown, 1_700);
        assert_eq!(store.away(), away, "{answered:?} was answered");
        store.finish(left[2], Outcome::Refused, 1_800);
        assert!(store.away(), "a refusal is an answer of now");
    }
}

/// More jobs than a controller keeps for polls: at the moment at which they are too many, who waits reads its job's
/// own key, and no accepted job is unknown.
#[test]
fn more_jobs_than_are_kept_for_polls_are_still_known() {
    for seed in 0..3 {
        let ways = Ways { slow_ms: 60, lost: 0.0, late: 0.0, refused: 0.0 };
        let mut small = Small::new(seed, ways, 0.2);
        small.run(6_000);
        // Nothing of these ends: there is no machine.
        for n in 0..400 {
            small.put(&format!("wk-x{n}"), false);
            if n % 4 == 0 {
                small.run(6_000 + n * 10);
                for node in 0..NODES {
                    let job = small.known(n);
                    small.ask(job, node, What::Poll);
                }
            }
        }
        small.run(14_000);
        assert!(small.broken.is_empty(), "seed {seed}: {:?}", small.broken);
        assert!(small.met("answered") > 200, "{:?}", small.met);
    }
}

/// A controller that begins anew lists the jobs while polls come, more a second than it may read single keys: the
/// listing comes first, and from its end on one read serves all.
#[test]
fn the_listing_does_not_wait_behind_the_polls_that_wait_for_it() {
    for seed in 0..3 {
        let mut small = Small::new(seed, calm(), 40.0);
        small.scripted = true;
        (0..350).for_each(|n| small.put(&format!("wk-x{n}"), false));
        small.run(6_000);
        // The leader may read more.
        let node = (0..NODES).find(|n| !small.nodes[*n].leads()).expect("one leads");
        small.at(BEGIN + 6_000, Ev::Restart(node));
        for n in 0..3_500u64 {
            let job = small.rng.random_range(0..350);
            small.at(BEGIN + 6_100 + n * 8, Ev::Ask(job, node, What::Poll));
        }
        small.run(18_000);
        let early = small.met("turned away");
        assert!(early > 50, "seed {seed}: {early} turned away: there were too few polls");
        small.run(35_000);
        let late = small.met("turned away") - early;
        assert_eq!(late, 0, "seed {seed}: turned away once the jobs could be listed");
        assert!(small.broken.is_empty(), "seed {seed}: {:?}", small.broken);
    }
}

/// A record that this version cannot read belongs to a job that was accepted: nobody says that it is unknown.
#[test]
fn a_record_that_cannot_be_read_is_no_unknown_job() {
    let ways = Ways { slow_ms: 20, lost: 0.0, late: 0.0, refused: 0.0 };
    let mut small = Small::new(1, ways, 40.0);
    small.run(8_000);
    small.put("wk-x0", true);
    small.run(9_000);
    for what in [What::Poll, What::Submit, What::Poll, What::Cancel] {
        for node in 0..NODES {
            let job = small.known(0);
            small.ask(job, node, what);
        }
        small.run(small.now - BEGIN + 1_500);
    }
    assert!(small.broken.is_empty(), "{:?}", small.broken);
    assert!(small.met("turned away") >= 9, "{:?}", small.met);
}

fn calm() -> Ways {
    Ways { slow_ms: 20, lost: 0.0, late: 0.0, refused: 0.0 }
}

/// Whether a transaction accepts a job, or calls one off.
fn accepts_or_cancels(commit: &Commit) -> bool {
    let its = |c: &Change| match c {
        Change::Write { write, value, .. } => write.starts_with(keys::JOBS) && value["e"].is_null(),
        Change::Remove { .. } => false,
    };
    commit.apply.iter().any(its)
}

/// An acceptance and a cancellation are carried out at once and only the answer is lost: the controller that was asked
/// finds out and says so itself, and the others knew it before.
#[test]
fn whoever_is_left_without_an_answer_finds_out() {
    for seed in 0..20 {
        let mut small = Small::new(seed, calm(), 40.0);
        small.run(5_000);
        (small.loses, small.scripted) = (accepts_or_cancels, true);
        for n in 0..6 {
            small.put(&format!("wk-x{n}"), false);
            small.known_job(format!("wk-{n}"), None);
        }
        for (job, node) in (0..12).zip([0, 1, 2, 2, 0, 1, 1, 2, 0, 0, 1, 2]) {
            let at = small.now - BEGIN + 400;
            small.run(at);
            // The latter are new, the former known.
            let what = if job % 2 == 0 { What::Cancel } else { What::Submit };
            small.ask(job, node, what);
            small.run(at + 150);
            for other in (0..NODES).filter(|n| *n != node) {
                small.ask(job, other, What::Poll);
                small.ask(job, other, What::Submit);
            }
            small.run(at + 1_499);
            let told = small.told[job].keys().max().copied();
            let due = if what == What::Cancel { Told::Cancelled } else { Told::Accepted };
            assert_eq!(told, Some(due), "seed {seed}: the others know {}", small.ids[job]);
            small.run(at + 2_400);
            let waits =
                small.asked.iter().any(|((n, _), (j, w, _))| (*n, *j, *w) == (node, job, what));
            assert!(!waits, "seed {seed}: {} is answered", small.ids[job]);
        }
        assert!(small.broken.is_empty(), "seed {seed}: {:?}", small.broken);
        assert_eq!(small.met("turned away"), 0, "seed {seed}: {:?}", small.met);
        assert!(small.met("lost by choice") >= 12, "seed {seed}: {:?}", small.met);
    }
}

/// Records of jobs that are over move two at a time. Of a pair one has moved already, by an earlier try: the other
/// is not forgotten for that.
#[test]
fn what_has_moved_already_keeps_nothing_from_moving() {
    for seed in 0..8 {
        let mut small = Small::new(seed, calm(), 40.0);
        for n in 0..6 {
            small.put(&format!("wk-x{n}"), false);
            small.end_now(n);
        }
        small.moves_first = Some(seed as usize % 2);
        small.run(20_000);
        assert_eq!(small.met("moved first"), 1);
        assert_eq!(small.store.count(keys::JOBS), 0, "seed {seed}: none is left where it ended");
        assert_eq!(small.store.count(keys::FINALS), 6);
    }
}

/// What can never run, lacks a field, or is known already, at every controller: before it knows the machine types and
/// after, and once more when all of it has been said.
#[test]
fn odd_requests_get_the_same_answer_everywhere() {
    for seed in 0..4 {
        let mut small = Small::new(seed, calm(), 40.0);
        small.types_from = BEGIN + 120_000;
        small.put("wk-x0", false);
        small.run(6_000);
        let mut odd: Vec<(serde_json::Value, u16, u16)> = Vec::new();
        let mut add = |field: &str, value: serde_json::Value, before: u16, after: u16| {
            let mut body = job_body(&format!("wk-o{}", odd.len()));
            match value.is_null() {
                true => drop(body.as_object_mut().expect("a map").remove(field)),
                false => body[field] = value,
            }
            odd.push((body, before, after));
        };
        for field in ["jobclass", "crew", "shape", "rank", "shards", "cpus", "accelerators"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        for field in ["memory_gb", "bundle", "pull_gb", "one_zone", "scatter", "driftwood"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        for field in ["eta_s", "mark_s", "stow_s"] {
            add(field, serde_json::Value::Null, 400, 400);
        }
        add("shards", 0.into(), 400, 400);
        add("shards", 100_001.into(), 400, 400);
        add("shards", 1.5.into(), 400, 400);
        add("cpus", (-1.0).into(), 400, 400);
        add("hulls", serde_json::json!([]), 400, 400);
        add("crew", "nobody".into(), 422, 422);
        add("cpus", 10_000.0.into(), 503, 422);
        add("hulls", serde_json::json!(["none"]), 503, 422);
        add("dock", "z".into(), 503, 422);
        // Named twenty times over, and longer than the state service takes a value.
        add("hulls", serde_json::json!(vec!["s4".repeat(90); 64]), 503, 422);
        let long: Vec<String> = (0..64).map(|n| format!("{n}{}", "x".repeat(180))).collect();
        add("hulls", serde_json::json!([vec!["s4".to_string()], long].concat()), 503, 400);
        let numbers: Vec<usize> = odd.iter().map(|(body, ..)| small.odd(body)).collect();
        for (at, after) in [(6_500, false), (60_000, false), (125_000, true), (180_000, true)] {
            assert!(small.now < BEGIN + at);
            small.run(at);
            for (number, (body, before, later)) in numbers.iter().zip(&odd) {
                for n in 0..NODES {
                    let expected = if after { *later } else { *before };
                    let got = small.say(*number, n, body, What::Submit);
                    assert_eq!(got, expected, "seed {seed}, node {n}: {body}");
                    if n == 0 {
                        assert_eq!(small.say(*number, n, body, What::Poll), 404, "never accepted");
                        assert_eq!(
                            small.say(*number, n, body, What::Cancel),
                            404,
                            "never accepted"
                        );
                    }
                }
            }
            // Known: whatever the body says now, its state is told.
            for (body, ..) in &odd {
                let mut body = body.clone();
                body["name_id"] = "wk-x0".into();
                let known = small.known(0);
                for n in 0..NODES {
                    assert_eq!(
                        small.say(known, n, &body, What::Submit),
                        200,
                        "seed {seed}: {body}"
                    );
                }
            }
        }
        assert_eq!(small.store.count(keys::JOBS) + small.store.count(keys::FINALS), 1);
    }
}

impl Small {
    /// A job that nobody accepts, by its submission.
    fn odd(&mut self, body: &serde_json::Value) -> usize {
        self.known_job(body["name_id"].as_str().expect("it has one").into(), None);
        self.ids.len() - 1
    }

    /// Asks and waits for the answer: its status.
    fn say(&mut self, job: usize, n: usize, body: &serde_json::Value, what: What) -> u16 {
        let id = self.ids[job].clone();
        let ask = match what {
            What::Submit => Ask::Submit(rmp_serde::to_vec_named(body).expect("JSON packs")),
            What::Poll => Ask::Poll(id),
            What::Cancel => Ask::Cancel(id),
        };
        self.seq += 1;
        let request = self.seq;
        self.watched = Some((n, request, 0));
        self.handle(n, Event::User(request, ask));
        for _ in 0..150 {
            if let Some((_, _, status)) = self.watched.filter(|w| w.2 != 0) {
                return status;
            }
            let next = self.now - BEGIN + 10;
            self.run(next);
        }
        0
    }

    /// A job's record says that it is done.
    fn end_now(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let last = FinalRecord { ending: Ending::Done, done: 1, at_wall: None };
        let value = serde_json::to_value(last).expect("our own record");
        let apply = vec![Change::Write { write: key, value, mooring: None }];
        self.store.commit(&Commit { when: Vec::new(), apply });
    }

    /// A job's record appears in the state service, as others wrote it.
    fn put(&mut self, id: &str, unreadable: bool) {
        let spec = swiftsail_simulation::world::spec(swiftsail_controller::job::Kind::Array, 1, 1.0, "img");
        let record = JobRecord {
            awaits: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: self.now,
            chunk_tasks: 8,
            nonce: 0,
            tier: None,
            spec,
        };
        let mut value = serde_json::to_value(&record).expect("our own record");
        if unreadable {
            value = serde_json::json!({"of": "a later version"});
        }
        let apply = vec![Change::Write { write: keys::job(id), value, mooring: None }];
        self.store.commit(&Commit { when: Vec::new(), apply });
        self.known_job(id.into(), None);
        self.told.pop();
        self.told.push(BTreeMap::from([(Told::Accepted, 0)]));
        self.wake_follows();
    }

    /// The number of one of those.
    fn known(&self, n: u64) -> usize {
        self.ids.iter().position(|id| *id == format!("wk-x{n}")).expect("it was put")
    }
}
