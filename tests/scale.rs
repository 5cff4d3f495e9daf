//! What a leader with a thousand machines and a hundred thousand tasks does, counted in work items
//! and bytes: never in time.

use swiftsail_simulation::world::{self as standin, spec};

use std::collections::BTreeMap;
use std::sync::Arc;
use swiftsail_controller::cloud::{self, Cloud};
use swiftsail_controller::constants::*;
use swiftsail_controller::job::{JobRecord, Kind, Spec, Stage, keys};
use swiftsail_controller::machine::MachineType;
use swiftsail_controller::node::{self, Ctx, Purpose};
use swiftsail_controller::placement::View;
use swiftsail_controller::settings::{Settings, Team};
use swiftsail_controller::steering::Steering;
use swiftsail_controller::store::{Call, Outcome, Store};
use swiftsail_controller::tables::{Source, Tables};
use swiftsail_protocol::cloud::{Listed, ListedState, Listing};
use swiftsail_protocol::state::{Change, Commit};
use swiftsail_protocol::workers::{Phase, Report, Shard};

const TOKEN: u64 = 40;

struct Bench {
    leader: Tables,
    store: Store<Purpose>,
    cloud: Cloud,
    settings: Arc<Settings>,
    types: Arc<Vec<MachineType>>,
    now: u64,
    stamp: u64,
    tick: u64,
}

macro_rules! ctx {
    ($b:expr) => {
        &mut Ctx { now: $b.now, wall: $b.now, settings: &$b.settings, store: &mut $b.store }
    };
}

impl Bench {
    fn new() -> Bench {
        let now = standin::BEGIN;
        let kind = |name: &str, cpus: f64, price: f64| MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch: 0.5,
            price,
            spot_price: price / 3.0,
            boot_ms: 20_000.0,
            zones: vec!["a".into(), "b".into(), "c".into()],
        };
        Bench {
            leader: Tables::new(TOKEN, 1, now),
            store: Store::new(150.0, 30.0, now),
            cloud: Cloud::new(4.0, now),
            settings: standin::settings(0),
            types: Arc::new(vec![kind("s4", 4.0, 0.3), kind("l64", 64.0, 3.3)]),
            now,
            stamp: 100,
            tick: 1,
        }
    }

    fn report(&mut self, name: &str, hull: &str, tick: u64, shards: Vec<Shard>) -> usize {
        let report = Report {
            berth: name.into(),
            addr: "10.0.0.9:1".into(),
            hull: hull.into(),
            dock: if name.starts_with("m-b") { "b" } else { "a" }.into(),
            driftwood: false,
            watch: 1,
            tick,
            helm: TOKEN,
            recall_s: None,
            shards,
        };
        self.leader.on_report(&report, Source::Report, self.now, &self.types).orders.len()
    }

    fn machines(&mut self, number: usize, hull: &str) {
        for n in 0..number {
            self.report(&format!("m-{hull}-{n:05}"), hull, 1, Vec::new());
        }
    }

    fn submit(&mut self, id: &str, spec: Spec) {
        let record = JobRecord {
            awaits: Vec::new(),
            cancelled: false,
            cancelled_wall: 0,
            accepted_wall: self.now,
            chunk_tasks: 80,
            nonce: 0,
            tier: None,
            spec,
        };
        let value = serde_json::to_value(&record).expect("our own record");
        self.stamp += 1;
        self.leader.upsert(&keys::job(id), &value, self.stamp, self.now, self.now);
    }

    fn pass(&mut self) -> u64 {
        self.now += ROUND_MS;
        let steering = Steering::default();
        let (settings, types) = (&self.settings, &self.types);
        let view = View { now: self.now, wall: 0, settings, types, steering: &steering };
        let passed = node::pass(&mut self.leader, view, true);
        let wishes = passed.wishes.unwrap_or_default();
        node::rent(&mut self.leader, &mut self.cloud, wishes, self.now);
        passed.scored
    }

    fn tend(&mut self) {
        let steering = Steering::default();
        let (settings, types) = (&self.settings, &self.types);
        let view = View { now: self.now, wall: 0, settings, types, steering: &steering };
        node::tend(&mut self.leader, &mut self.cloud, view, true);
        self.leader.stops(self.now);
    }

    /// Every machine reports that all bound to it runs.
    fn beat(&mut self) {
        self.tick += 1;
        let machines = self.leader.machines.values();
        let held: Vec<(String, String, Vec<Shard>)> = machines
            .map(|m| {
                let bound = m.tasks.iter().filter(|((job, task), _)| {
                    self.leader.jobs[job].attempts[task].stage() != Stage::Committing
                });
                let shards = bound.map(|((job, task), launch)| Shard {
                    shard: format!("{job}/{task}"),
                    launch: *launch,
                    status: Phase::Running,
                    cause: None,
                    stored: None,
                });
                (m.id.to_string(), m.kind.clone(), shards.collect())
            })
            .collect();
        for (name, hull, shards) in held {
            self.report(&name, &hull, self.tick, shards);
        }
    }

    /// Lets everything that waits for the store be committed, and gives it.
    fn commit(&mut self) -> Vec<Commit> {
        let mut seen = Vec::new();
        for _ in 0..200 {
            self.now += 1_000;
            self.leader.write_ledger(ctx!(self));
            self.leader.flush_all(ctx!(self));
            let (calls, _) = self.store.pump(self.now);
            if calls.is_empty() {
                break;
            }
            for (id, call) in calls {
                if let Call::Commit(commit) = &call {
                    seen.push(commit.clone());
                }
                self.stamp += 1;
                let Some(end) = self.store.finish(id, Outcome::Committed(self.stamp), self.now)
                else {
                    continue;
                };
                match end.purpose.clone() {
                    Purpose::Ledger { .. } => assert!(!self.leader.on_ledger(&end, ctx!(self))),
                    Purpose::Flush { job, .. } => {
                        assert!(!self.leader.on_flushed(&job, &end, ctx!(self)));
                    }
                    _ => {}
                }
            }
        }
        seen
    }
}

#[test]
fn a_pass_does_not_score_each_machine_for_each_job() {
    let scored = |machines: usize| {
        let mut bench = Bench::new();
        bench.machines(machines, "s4");
        for n in 0..40 {
            bench.submit(&format!("wk-{n}"), spec(Kind::Array, 200, 1.0, &format!("i{}", n % 5)));
        }
        (0..3).map(|_| bench.pass()).max().unwrap_or(0)
    };
    let few = scored(50);
    assert!(few > 0, "the work is counted");
    for machines in [800, 2_500, 10_000] {
        let many = scored(machines);
        assert!(many <= 3 * few, "{few} scores for 50 machines, {many} for {machines}");
    }
}

#[test]
fn a_hundred_thousand_tasks_stay_within_the_limits_of_the_store() {
    let mut bench = Bench::new();
    bench.machines(1_000, "l64");
    bench.submit("wk-large", spec(Kind::Array, 100_000, 1.0, "i"));
    let limits = &bench.settings.settings.state.clone();
    let mut bound = 0;
    for _ in 0..20 {
        bench.beat();
        bench.pass();
        let job = &bench.leader.jobs["wk-large"];
        let binding = job.attempts.values().filter(|a| a.stage() == Stage::Committing).count();
        assert!(binding <= PASS_BINDS + 50, "{binding} bound in one pass");
        for commit in bench.commit() {
            assert!(commit.apply.len() <= limits.txn_ops);
            assert!(commit.when.len() <= 4 * limits.txn_ops);
            let size = |c: &Change| serde_json::to_string(c).map_or(0, |s| s.len());
            let sizes: Vec<usize> = commit.apply.iter().map(size).collect();
            let most = (limits.value_kb * 1024.0) as usize + 64;
            assert!(sizes.iter().all(|s| *s <= most), "a value of {sizes:?}");
            assert!(sizes.iter().sum::<usize>() <= 64 * 1024);
        }
        let job = &bench.leader.jobs["wk-large"];
        bound = job.attempts.values().filter(|a| a.stage() != Stage::Committing).count();
        assert!(bench.leader.ledger.len() <= LEDGER_MOST);
    }
    assert!(bound > 4_000, "{bound} tasks bound: chunks take over what the ledger held");
}

#[test]
fn bindings_of_many_jobs_are_one_change() {
    let mut bench = Bench::new();
    bench.machines(100, "s4");
    for n in 0..30 {
        bench.submit(&format!("wk-{n}"), spec(Kind::Array, 3, 1.0, "i"));
    }
    bench.pass();
    bench.leader.write_ledger(ctx!(bench));
    let (calls, _) = bench.store.pump(bench.now);
    let changes: usize =
        calls.iter().map(|(_, c)| if let Call::Commit(c) = c { c.apply.len() } else { 0 }).sum();
    assert!(changes <= 2, "{changes} changes for 90 bindings of 30 jobs");
}

#[test]
fn a_burst_asks_each_market_once_and_for_no_more_than_a_request_holds() {
    let mut bench = Bench::new();
    bench.submit("wk-large", spec(Kind::Array, 100_000, 1.0, "i"));
    bench.pass();
    bench.pass();
    bench.now += 60_000;
    let mut asked: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
    for call in std::iter::from_fn(|| {
        bench.now += 1_000;
        let calls = bench.cloud.pump(bench.now);
        for _ in &calls {
            bench.cloud.finish(&cloud::Outcome::NoCapacity, bench.now);
        }
        (!calls.is_empty()).then_some(calls)
    })
    .flatten()
    {
        if let cloud::Call::Rent(rent) = call {
            assert!(rent.number <= RENT_MOST);
            *asked.entry((rent.hull, rent.dock, rent.driftwood)).or_default() += 1;
        }
    }
    assert!(!asked.is_empty());
    assert!(asked.values().all(|n| *n as usize <= RENTALS_OPEN_MOST), "{asked:?}");
}

#[test]
fn replicas_move_one_at_a_time_and_only_where_they_fit() {
    assert_eq!(moved_in_the_end(3), 1, "the machine that is nearly empty is emptied");
    // Moved, it would be down: the worst 30 s of a deployment of single replicas showed it.
    assert_eq!(moved_in_the_end(1), 0, "a single replica stays");
}

/// Replicas being moved once there is room elsewhere; before, none may be.
fn moved_in_the_end(replicas: u32) -> usize {
    let mut bench = Bench::new();
    bench.machines(2, "l64");
    bench.submit("wk-s", spec(Kind::Service, replicas, 4.0, "i"));
    bench.pass();
    bench.commit();
    let at = |bench: &Bench, job: &str, n: u32| bench.leader.jobs[job].attempts[&n].machine.clone();
    let first = at(&bench, "wk-s", 0);
    let other = if &*first == "m-l64-00000" { "m-l64-00001" } else { "m-l64-00000" };
    assert_eq!(at(&bench, "wk-s", replicas - 1), first, "replicas gather on one machine");
    bench.beat();
    bench.submit("wk-t", spec(Kind::Service, 1, 61.0, "i"));
    bench.pass();
    bench.commit();
    assert_eq!(&*at(&bench, "wk-t", 0), other);
    let stopped = |bench: &Bench| {
        let jobs = bench.leader.jobs.values();
        jobs.flat_map(|j| j.attempts.values()).filter(|a| a.stop.is_some()).count()
    };
    let step = |bench: &mut Bench| {
        bench.now += 5_000;
        bench.beat();
        bench.tend();
    };
    // The other is full: nothing fits there, however costly this one is.
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopped(&bench), 0);
    }
    // A third machine with replicas and room: now they move, one by one.
    bench.report("m-b-00007", "l64", bench.tick, Vec::new());
    bench.submit("wk-u", Spec { zone: Some("b".into()), ..spec(Kind::Service, 8, 6.0, "i") });
    bench.pass();
    bench.commit();
    assert_eq!(&*at(&bench, "wk-u", 7), "m-b-00007");
    bench.beat();
    bench.submit("wk-v", spec(Kind::Service, 1, 1.0, "i"));
    for _ in 0..20 {
        step(&mut bench);
        assert_eq!(stopped(&bench), 0, "a service waits: nothing moves");
    }
    bench.pass();
    bench.commit();
    for _ in 0..20 {
        step(&mut bench);
        assert!(stopped(&bench) <= 1, "one replica at a time");
    }
    stopped(&bench)
}

/// Incident: a new leader read a hundred machines in an old list that its predecessor had returned,
/// took them for machines about to come up, and rented nothing for 75 s while work waited.
#[test]
fn machines_that_only_an_old_list_knows_do_not_keep_from_renting() {
    let mut bench = Bench::new();
    let listed = |n: usize| Listed {
        name_id: format!("m-{n:05}"),
        addr: "10.0.0.9:1".into(),
        hull: "s4".into(),
        dock: "a".into(),
        driftwood: false,
        status: ListedState::Running,
        held_s: 300.0,
    };
    let page = Listing { berths: (0..100).map(listed).collect(), has_next: false };
    bench.leader.on_listing(&page, bench.now);
    bench.submit("wk-1", spec(Kind::Array, 200, 1.0, "i"));
    bench.pass();
    assert!(bench.leader.rentals.asked().next().is_none(), "workers still look for the new leader");
    bench.now += EXPECT_MS;
    bench.pass();
    assert!(bench.leader.rentals.asked().next().is_some(), "none of them was heard");
}

/// A report that shows the same as the last tells only that all goes on. Whatever is bound, stopped or
/// ended there must be seen whole: a proof taken from such a report would be one of nothing.
#[test]
fn only_a_machine_on_which_nothing_changes_may_show_the_same() {
    let mut bench = Bench::new();
    bench.machines(1, "l64");
    bench.submit("wk-1", spec(Kind::Array, 2, 1.0, "i"));
    let id = "m-l64-00000";
    let know = |bench: &mut Bench, shown: u64| {
        bench.leader.machines.get_mut(id).expect("it is known").shown = Some(shown);
    };
    let same = |bench: &mut Bench, tick: u64, shown: u64| {
        bench.now += 1_000;
        let now = bench.now;
        bench.leader.on_same(id, (1, tick), shown, now)
    };
    assert!(!same(&mut bench, 10, 7), "nothing was shown whole through another controller");
    know(&mut bench, 7);
    assert!(same(&mut bench, 11, 7));
    assert_eq!(bench.leader.machines[id].heard, Some(bench.now));
    assert!(!same(&mut bench, 12, 8), "it shows something else");
    assert!(!bench.leader.on_same("m-none", (1, 1), 7, bench.now), "an unknown machine");
    assert!(!bench.leader.on_same(id, (2, 13), 7, bench.now), "another session");
    bench.tick = 20;
    bench.pass();
    assert!(!same(&mut bench, 21, 7), "a binding is being committed: its start must be offered");
    bench.commit();
    assert!(!same(&mut bench, 22, 7), "bound, and not seen yet");
    bench.tick = 30;
    bench.beat();
    know(&mut bench, 9);
    assert!(same(&mut bench, 40, 9), "both run, and were seen");
    assert!(same(&mut bench, 39, 9), "an older one is no news");
    assert_eq!(bench.leader.machines[id].latest, (1, 40));
    let now = bench.now;
    bench.leader.want_stop(&"wk-1".into(), 0, now);
    assert!(!same(&mut bench, 41, 9), "its stop must be repeated until it is gone");
}

/// The cost of a shared worker's report: what does not change is a few bytes, whatever runs there.
#[test]
fn an_unchanged_report_passed_on_is_small() {
    use swiftsail_protocol::controllers::{Batch, Passed};
    let same = |n: u64| Passed::Same {
        berth: format!("m-{n:06}"),
        watch: 1,
        tick: 1_000 + n,
        shown: u64::MAX >> 1,
    };
    let size = |reports: Vec<Passed>| {
        swiftsail_protocol::write(&Batch { node: "berth-0".into(), reports, well: Vec::new() }).len()
    };
    let each = (size((0..65).map(same).collect()) - size(vec![same(0)])) / 64;
    assert!(each <= 60, "{each} bytes for a machine, with 16 tasks or none");
    let shard = |n: u32| Shard {
        shard: format!("wk-000412/{n}"),
        launch: u64::MAX >> 1,
        status: Phase::Running,
        cause: None,
        stored: None,
    };
    let report = Report {
        berth: "m-000231".into(),
        addr: "10.100.100.232:9000".into(),
        hull: "reef-medium".into(),
        dock: "lautoka-shed".into(),
        driftwood: true,
        watch: 100,
        tick: 100_000,
        helm: 1 << 40,
        recall_s: None,
        shards: (0..64).map(shard).collect(),
    };
    let whole = size(vec![Passed::Whole { report: Box::new(report), shown: u64::MAX >> 1 }]);
    // What a message may hold is counted with these, never too low.
    assert!(whole <= REPORT_BYTES + 64 * SHARD_BYTES, "{whole} bytes");
}

/// Teams at their limit make a pass cheaper, however many they are: each job is looked at once for it, and only
/// those that get something look at places.
#[test]
fn many_teams_at_their_limit_cost_no_more_than_few() {
    let cost = |teams: usize, most: f64| {
        let mut bench = Bench::new();
        let mut settings = Settings::clone(&bench.settings);
        let team = |n: usize| Team {
            name: format!("team-{n}"),
            cpus: 2.0,
            cpus_max: most / teams as f64,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        settings.settings.teams = (0..teams).map(team).collect();
        bench.settings = Arc::new(settings);
        bench.machines(300, "s4");
        for n in 0..200 {
            let each = spec(Kind::Array, 60, 1.0, &format!("i{}", n % 9));
            let each = Spec { team: format!("team-{}", n % teams), ..each };
            bench.submit(&format!("wk-{n}"), each);
        }
        let steering = Steering::default();
        bench.now += ROUND_MS;
        let (settings, types) = (bench.settings.clone(), bench.types.clone());
        let view = View {
            now: bench.now,
            wall: 0,
            settings: &settings,
            types: &types,
            steering: &steering,
        };
        let passed = node::pass(&mut bench.leader, view, true);
        (passed.bound, passed.looked)
    };
    let (free, few, many) = (cost(100, 0.0), cost(12, 1_200.0), cost(100, 1_200.0));
    assert!([free, few, many].iter().all(|c| c.0 == PASS_BINDS), "{free:?} {few:?} {many:?}");
    assert!(few.1 < free.1 / 2 && many.1 < free.1, "{free:?} {few:?} {many:?}");
}
