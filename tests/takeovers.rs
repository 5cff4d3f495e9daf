//! Leaders that change: with copies of old reports kept for the next one, under machines that have just come up, ten
//! times in two minutes and in an outage, while a zone or everybody is away for longer than a lease, and while each
//! kind of transaction comes late. On the real cores against the stand-in.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use swiftsail_controller::job::keys;
use swiftsail_controller::node::Node;
use swiftsail_policy::operator::Operator;
use swiftsail_simulation::world::{
    BEGIN, Cut, Deafness, Fate, Trouble, Weather, World, accelerated, assert_over, gpu_job, job,
};
use swiftsail_protocol::state::{Change, Commit};

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };

fn leader(world: &World) -> Option<usize> {
    (0..3).find(|n| world.nodes[*n].as_ref().is_some_and(Node::leads))
}

fn met(world: &World, what: &str) -> u64 {
    world.met.get(what).copied().unwrap_or(0)
}

fn killed(world: &World) -> u64 {
    world.plant.workers.values().map(|w| w.killed).sum()
}

/// Arrays, gangs and services, long and short, some of them cancelled.
fn load(world: &mut World, number: u64, until_ms: u64) {
    for n in 0..number {
        let at = 500 + n * until_ms / number;
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (crew, tasks) = [("red", 6), ("blue", 3), ("blue", 2)][n as usize % 3];
        let eta = [8.0, 60.0, 25.0, 120.0][(n / 3) as usize % 4];
        let cancel = (n % 5 == 3 || shape == "service").then_some(at + 45_000 + n * 1_700);
        world.submit(at, cancel, job(&format!("wk-{n}"), shape, crew, tasks, 2.0, eta));
    }
}

/// Under which tokens who has led: nobody twice under one, by whatever way a controller comes to lead again.
#[derive(Default)]
struct Leads(BTreeMap<u64, (usize, u64)>);

impl Leads {
    fn look(&mut self, world: &mut World) {
        for (n, node) in world.nodes.iter().enumerate() {
            let Some(tables) = node.as_ref().and_then(Node::tables) else { continue };
            let own = (n, tables.era);
            if *self.0.entry(tables.token).or_insert(own) != own {
                world.broken.push(format!("token {} led twice", tables.token));
            }
        }
    }

    /// Lets time pass with a look every 100 ms.
    fn run(&mut self, world: &mut World, until_ms: u64) {
        let mut at = world.now - BEGIN;
        while at < until_ms {
            at = (at + 100).min(until_ms);
            world.run(at);
            self.look(world);
        }
    }
}

/// Machines that hold tasks and from which the leader that has just begun has heard nothing.
fn unheard_with_tasks(world: &World) -> usize {
    let tables = world.nodes.iter().flatten().find_map(Node::tables);
    let machines = tables.into_iter().flat_map(|t| t.machines.values());
    machines.filter(|m| m.latest == (0, 0) && !m.tasks.is_empty()).count()
}

/// Every second report is kept and comes again, to every controller, just as a new leader begins, before most machines
/// have reported to it: some of them cannot.
#[test]
fn copies_kept_for_the_next_leader_prove_nothing() {
    let (mut copies, mut first) = (0, 0);
    for seed in 0..10u64 {
        let mut world = World::sized(seed, CALM, 200_000, 4);
        world.memory_mb = if seed.is_multiple_of(3) { 0.2 } else { 40.0 };
        world.restart_ms = [Some(100), None, Some(1_000)][seed as usize % 3];
        world.spell(5_000, 130_000, Trouble::CopiesForNext(0.5));
        if seed.is_multiple_of(2) {
            world.spell(20_000, 100_000, Trouble::AnswersLost(0.2));
        }
        load(&mut world, 18, 90_000);
        let mut leads = Leads::default();
        for round in 0..7 {
            let at = 20_000 + round * 15_000 + seed * 300;
            leads.run(&mut world, at);
            let Some(node) = leader(&world) else { continue };
            // A third of the machines cannot report for a while, or hear nothing.
            let names: Vec<String> = world.up().into_iter().step_by(3).collect();
            match round % 3 {
                0 => world.spell(at, 9_000, Trouble::Mute(names)),
                1 => {
                    let (zone, hears_each) = (None, 0);
                    let (from_ms, for_ms) = (at, 9_000);
                    world.deafness.push(Deafness { from_ms, for_ms, zone, names, hears_each });
                }
                _ => drop(world.plant.hang(2, 9_000, world.now)),
            }
            world.crash(at + 10, node);
            let begun = met(&world, "leader");
            for ms in (0..6_000).step_by(20) {
                world.run(at + ms);
                if met(&world, "leader") > begun {
                    first += unheard_with_tasks(&world);
                    break;
                }
            }
        }
        leads.run(&mut world, 150_000);
        world.run(420_000);
        assert_over(&world, &format!("seed {seed}"));
        copies += met(&world, "copy for next");
    }
    assert!(copies > 1_500, "{copies} copies were kept");
    assert!(first > 100, "{first} machines with tasks were not heard yet as copies came");
}

/// Machines are up within two seconds and have work at once, while transactions come late and leaders end: those after
/// them meet machines that no list has yet, or as `starting`.
#[test]
fn machines_that_have_just_come_up_outlive_their_leader() {
    let (mut young, mut unlisted, mut unanswered) = (0, 0, 0);
    for seed in 0..30u64 {
        let late = [0.0, 0.03][seed as usize / 2 % 2];
        let weather = Weather { loss: late, late, ..CALM };
        let mut world = World::sized(seed, weather, 120_000, 8);
        world.plant.cloud.boot_ms = Some(2_000);
        world.restart_ms = [Some(200), None][seed as usize % 2];
        world.spell(3_000, 100_000, Trouble::WritesLate(0.25));
        if seed.is_multiple_of(3) {
            world.spell(3_000, 100_000, Trouble::AnswersLost(0.2));
        }
        load(&mut world, 10, 60_000);
        let mut leads = Leads::default();
        for n in 0..6u64 {
            // A burst that needs new machines, and the leader ends as soon as one of them has work.
            let at = 8_000 + n * 16_000;
            let id = format!("wk-n{n}");
            world.submit(
                at,
                None,
                job(&id, ["array", "gang"][n as usize % 2], "blue", 5, 4.0, 14.0),
            );
            for ms in (0..7_000).step_by(50) {
                world.run(at + ms);
                leads.look(&mut world);
                let Some(node) = leader(&world).filter(|_| ms > 500) else { continue };
                let now = world.now;
                let fresh = world.plant.workers.values().filter(|w| {
                    !w.gone && w.up_at <= now && now < w.up_at + 3_000 && !w.tasks.is_empty()
                });
                let fresh: Vec<String> = fresh.map(|w| w.name.clone()).collect();
                // Or as soon as a rental has left that is not answered.
                let tables = world.nodes[node].as_ref().and_then(Node::tables);
                let asked = tables.map_or(0, |t| t.rentals.asked().count());
                if fresh.is_empty() && (n % 3 != 2 || asked == 0) {
                    continue;
                }
                unanswered += asked;
                young += fresh.len();
                let list = world.plant.cloud.list(None, 500, now);
                let running = |name: &String| {
                    let listed = list.berths.iter().find(|b| b.name_id == *name);
                    listed.is_some_and(|b| b.status == swiftsail_protocol::cloud::ListedState::Running)
                };
                unlisted += fresh.iter().filter(|name| !running(name)).count();
                world.crash(at + ms + 10, node);
                break;
            }
        }
        leads.run(&mut world, 120_000);
        world.run(420_000);
        assert_over(&world, &format!("seed {seed}"));
    }
    assert!(young > 40, "{young} machines had work within three seconds of coming up");
    assert!(unlisted > 30, "{unlisted} of them were in no list as running when the leader ended");
    assert!(unanswered > 20, "{unanswered} rentals had no answer then");
}

/// What workers send to a controller is held back, until that controller leads and has acted on what came to it by way
/// of the others: then it arrives.
#[test]
fn reports_held_back_until_the_new_leader_has_acted() {
    let (mut held, mut acted) = (0, 0);
    for seed in 0..10u64 {
        let mut world = World::sized(seed, CALM, 200_000, 4);
        world.restart_ms = Some(3_500);
        load(&mut world, 18, 60_000);
        let mut leads = Leads::default();
        leads.run(&mut world, 40_000);
        let old = leader(&world).expect("somebody leads");
        let next = (old + 1 + seed as usize % 2) % 3;
        let cut = Cut::of(next, 40_000, 15_000);
        world.cuts.push(Cut { workers: true, hold: true, ..cut });
        (0..3).filter(|n| *n != next).for_each(|n| world.crash(40_500, n));
        leads.run(&mut world, 54_900);
        let launches = |world: &World| {
            let tables = world.nodes[next].as_ref().and_then(Node::tables);
            tables.map_or(0, |t| t.last_launch() - (t.token << 24))
        };
        let (before, done) = (world.copied, launches(&world));
        leads.run(&mut world, 56_000);
        if leader(&world) == Some(next) && done > 0 {
            held += world.copied - before;
            acted += done;
        }
        leads.run(&mut world, 120_000);
        world.run(400_000);
        assert_over(&world, &format!("seed {seed}"));
    }
    assert!(held > 60 && acted > 20, "{held} reports came to leaders that had bound {acted} tasks");
}

fn records() -> Operator {
    let text = "[loans]\ndurable = true\n[amounts]\ndurable = true\n[dispatch]\nversion = 1\n\
        [tiers]\nversion = 1\n[[tiers.tier]]\nname = \"core\"\nwhen = \"job.priority == \\\"production\\\"\"\nordered = true\n";
    Operator::parse("records", text).expect("it is sound")
}

/// Fine-tuning that has borrowed, batches, and services that take it back: loans open and close all the time.
fn borrowing(world: &mut World) {
    for n in 0..4 {
        let id = format!("wk-t{n}");
        world.submit(500 + n * 900, None, gpu_job(&id, "gang", "tuning", 2, 1.0, 200.0));
    }
    for n in 0..3 {
        let mut body = gpu_job(&format!("wk-s{n}"), "service", "serving", 2, 1.0, 0.0);
        body["scatter"] = false.into();
        world.submit(75_000 + n * 2_000, Some(135_000 + n * 4_000), body);
    }
}

/// Once all is calm each controller knows the records that there are, and loans are over where their jobs are.
fn assert_records(world: &World, what: &str) {
    let page = world.store.list(keys::ORDER, None, 1_000);
    let there: BTreeSet<String> =
        page.pairs.iter().filter_map(|p| Some(p.key.strip_prefix(keys::ORDER)?.into())).collect();
    for (n, node) in world.nodes.iter().enumerate() {
        let Some(node) = node else { continue };
        let known: BTreeSet<String> = node.records().into_iter().collect();
        assert_eq!(known, there, "{what}: what controller {n} knows, and what is there");
    }
    assert!(!there.iter().any(|k| k.starts_with("loan/")), "{what}: {there:?}");
    // Nothing of a limit is lost or made: what is free and what is held is all there is.
    let pool = world.store.get("amount/0/pool").map(|p| p.value.clone()).unwrap_or_default();
    let all = world.store.get("amount/0/of/all").map(|p| p.value.clone()).unwrap_or_default();
    let teams = pool["teams"].as_object().cloned().unwrap_or_default();
    assert!(!teams.is_empty(), "{what}: {pool}");
    for (team, kept) in teams {
        for part in ["cpus", "gpus"] {
            let of = |v: &Value| v[part].as_i64().unwrap_or(0);
            let sum = of(&kept["free"]) + of(&all["has"][&team]);
            assert_eq!(sum, of(&kept["limit"]), "{what}: {part} of {team}: {kept} and {all}");
        }
    }
}

/// Leaders end ten times in two minutes, back after a tenth of a second or later, also in an outage, while loans are in
/// every stage: tokens only rise, records are whole, and everything ends.
#[test]
fn ten_leaders_in_two_minutes() {
    let (mut leaders, mut lent, mut in_outage) = (0, 0, 0);
    for seed in 0..9u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = match seed % 3 {
            0 => World::offering(seed, CALM, 300_000, accelerated(1)),
            _ => World::sized(seed, CALM, 300_000, 4),
        };
        world.operator = records();
        world.restart_ms = [Some(100), Some(200), None][(seed / 3) as usize];
        match seed % 3 {
            0 => borrowing(&mut world),
            _ => load(&mut world, 16, 100_000),
        }
        if seed % 2 == 1 {
            world.outage(62_000, 24_000);
        }
        if seed % 3 == 2 {
            world.slow(30_000, 40_000);
        }
        let mut leads = Leads::default();
        let mut at = 40_000;
        while at < 160_000 {
            leads.run(&mut world, at);
            lent += world
                .nodes
                .iter()
                .flatten()
                .filter_map(Node::tables)
                .map(|t| t.loans.open())
                .sum::<usize>();
            match (leader(&world), rng.random_range(0..5)) {
                (_, 0) => (0..3).for_each(|n| world.crash(at + n as u64 * 90, n)),
                (Some(node), 1) => {
                    // It hands over while it goes on, and comes back into the campaign.
                    let cut = Cut::of(node, at, rng.random_range(2_600..5_000));
                    world.cuts.push(Cut { store: true, hold: rng.random_bool(0.5), ..cut });
                }
                (Some(node), _) => world.crash(at, node),
                (None, _) => {}
            }
            in_outage += usize::from(seed % 2 == 1 && (62_000..86_000).contains(&at));
            at += rng.random_range(4_000..11_000);
        }
        leads.run(&mut world, 180_000);
        world.troubles_over_ms = Some(180_000);
        world.run(600_000);
        leaders += leads.0.len();
        assert!(leads.0.len() >= 7, "seed {seed}: {} leaders", leads.0.len());
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        let open: Vec<&str> =
            world.jobs.iter().filter(|j| !j.over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records(&world, &format!("seed {seed}"));
    }
    assert!(leaders >= 100 && lent > 0 && in_outage > 5, "{leaders}, {lent}, {in_outage}");
}

/// A zone with workers and a controller is cut off for longer than a lease, the leader within it or outside; or all
/// controllers are away for longer than that: arrays and gangs begin anew, nothing runs twice.
#[test]
fn a_zone_or_everybody_away_for_longer_than_a_lease() {
    let (mut zone_cuts, mut ended, mut silent) = (0, 0, 0);
    for seed in 0..12u64 {
        let mut world = World::sized(seed, CALM, 300_000, 5);
        world.restart_ms = [Some(200), Some(16_000), None][seed as usize % 3];
        load(&mut world, 18, 90_000);
        world.run(45_000);
        let mut leads = Leads::default();
        let leads_now = leader(&world).expect("somebody leads");
        match seed % 4 {
            0 | 1 => {
                let node = if seed.is_multiple_of(4) { leads_now } else { (leads_now + 1) % 3 };
                let zone = ["a", "b", "c"][seed as usize / 4].to_string();
                world.spell(45_000, 12_000 + seed * 3_000, Trouble::ZoneAway { zone, node });
                world.crash(58_000, (node + 1) % 3);
            }
            2 => (0..3).for_each(|n| world.freeze(45_000, n, 13_000 + seed * 400)),
            _ => {
                for n in 0..3 {
                    let cut = Cut::of(n, 45_000, 14_000 + seed * 400);
                    world.cuts.push(Cut { workers: true, hold: seed > 6, ..cut });
                }
                world.crash(59_000, leads_now);
            }
        }
        leads.run(&mut world, 57_000);
        silent += usize::from(seed % 4 > 1);
        leads.run(&mut world, 130_000);
        world.troubles_over_ms = Some(130_000);
        world.run(500_000);
        zone_cuts += met(&world, "zone cut");
        ended += killed(&world);
        assert_over(&world, &format!("seed {seed}"));
    }
    assert!(zone_cuts > 100 && silent == 6, "{zone_cuts}, {silent}");
    assert!(ended > 60, "{ended} tasks ended with their leases");
}

// ---- transactions that come late, one kind after the other ---------------------------------------

/// The kinds of transactions, as docs/meetings.md lists them.
fn kind_of(commit: &Commit) -> &'static str {
    let first = commit.apply.first();
    let (key, value) = match first {
        Some(Change::Write { write, value, .. }) => (write.as_str(), Some(value)),
        Some(Change::Remove { remove }) => (remove.as_str(), None),
        None => return "nothing",
    };
    let led = commit.when.iter().any(|w| w.key == keys::LEADER);
    let begins = |prefix: &str| key.starts_with(prefix);
    match value {
        Some(_) if key == keys::LEADER => "leader's key",
        Some(_) if begins(keys::JOBS) && led => "end",
        Some(value) if begins(keys::JOBS) && value["x"].as_bool() == Some(true) => "cancellation",
        Some(_) if begins(keys::JOBS) => "acceptance",
        Some(_) if begins(keys::SHEETS) => "binding",
        Some(_) if begins(keys::BINDINGS) => "chunk",
        None if begins(keys::JOBS) => "move",
        None if begins(keys::BINDINGS) => "sweep",
        Some(_) if key == keys::TYPES => "types",
        _ if begins("order/loan") => "loan",
        _ if begins(keys::ORDER) => "tiers and arrivals",
        _ if begins("amount/") => "amounts",
        _ => "other",
    }
}

/// What became late of each kind.
type Late = Rc<RefCell<BTreeMap<&'static str, u64>>>;

/// Every second transaction of these kinds gets no answer, and comes 2 to 9 s later or at once.
fn judge(world: &mut World, kinds: &'static [&'static str], seed: u64, until_ms: u64) -> Late {
    let late: Late = Rc::default();
    let (counted, mut rng) = (late.clone(), StdRng::seed_from_u64(seed));
    world.judge = Some(Box::new(move |ms, _, commit| {
        let kind = kind_of(commit);
        if ms > until_ms || !kinds.contains(&kind) || rng.random_bool(0.5) {
            return Fate::Usual;
        }
        *counted.borrow_mut().entry(kind).or_default() += 1;
        match rng.random_range(0..3) {
            0 => Fate::AnswerLost,
            _ => Fate::Late(rng.random_range(2_000..9_000)),
        }
    }));
    late
}

const KINDS: [&[&str]; 6] = [
    &["acceptance", "cancellation"],
    &["binding"],
    &["chunk", "sweep"],
    &["end", "move"],
    &["leader's key", "types"],
    &["binding", "chunk", "end"],
];

/// Each kind of transaction of the list comes late while leaders change and jobs are cancelled.
#[test]
fn each_kind_of_transaction_comes_late() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..72u64 {
        let mut world = World::sized(seed, CALM, 300_000, 4);
        world.restart_ms = [Some(100), None][(seed / 6) as usize % 2];
        let judged = judge(&mut world, KINDS[seed as usize % 6], seed, 130_000);
        load(&mut world, 14, 90_000);
        // Many tasks in few chunks, so that chunks are written.
        world.submit(4_000, None, job("wk-many", "array", "blue", 40, 0.5, 9.0));
        let mut leads = Leads::default();
        for n in 1..6 {
            let at = n * 22_000 + seed * 130;
            leads.run(&mut world, at);
            if let Some(node) = leader(&world) {
                world.crash(at, node);
            }
        }
        leads.run(&mut world, 150_000);
        world.troubles_over_ms = Some(150_000);
        world.run(450_000);
        assert_over(&world, &format!("seed {seed}"));
        for (kind, n) in judged.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    for kind in KINDS.iter().flat_map(|k| k.iter()).filter(|k| **k != "types") {
        assert!(late.get(kind).is_some_and(|n| *n >= 10), "{kind}: {late:?}");
    }
}

/// The same for the records of tiers, arrivals, loans and amounts.
#[test]
fn records_written_late_stay_whole() {
    let mut late: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..8u64 {
        let mut world = World::offering(seed, CALM, 300_000, accelerated(1));
        world.operator = records();
        world.restart_ms = [Some(100), None][seed as usize % 2];
        const ALL: &[&str] = &["loan", "tiers and arrivals", "amounts"];
        let judged = judge(&mut world, ALL, seed, 170_000);
        borrowing(&mut world);
        // A controller whose settings name a lower limit for a while: amounts move.
        world.red_most[seed as usize % 3] = 24.0;
        let mut leads = Leads::default();
        for n in 1..8 {
            let at = n * 21_000 + seed * 170;
            leads.run(&mut world, at);
            world.red_most[seed as usize % 3] = [40.0, 24.0][n as usize % 2];
            let node = if n.is_multiple_of(2) { leader(&world) } else { Some(seed as usize % 3) };
            if let Some(node) = node {
                world.crash(at, node);
            }
        }
        world.red_most = [40.0; 3];
        (0..3).for_each(|n| world.crash(175_000 + n as u64 * 4_000, n));
        leads.run(&mut world, 190_000);
        world.troubles_over_ms = Some(190_000);
        world.run(700_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        let open: Vec<&str> =
            world.jobs.iter().filter(|j| !j.over()).map(|j| j.id.as_str()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert_records(&world, &format!("seed {seed}"));
        for (kind, n) in judged.borrow().iter() {
            *late.entry(kind).or_default() += n;
        }
    }
    assert!(late.values().all(|n| *n >= 10) && late.len() == 3, "{late:?}");
}

/// Jobs of two or three tasks that end far apart, one of them before and one after a change of leader, while what is
/// written of them comes late.
#[test]
fn tasks_that_end_far_apart_across_leaders() {
    let (mut apart, mut written) = (0, 0);
    for seed in 0..24u64 {
        // Six machines that hold one task each: the tasks of a job come one after another.
        let mut world = World::sized(seed, CALM, 300_000, 1);
        world.restart_ms = [Some(100), Some(1_000), None][seed as usize % 3];
        let late = judge(&mut world, &["binding", "chunk", "end"], seed, 200_000);
        for n in 0..7u64 {
            let shape = if n % 4 == 3 { "gang" } else { "array" };
            let tasks = if shape == "gang" { 2 } else { 2 + n as u32 % 2 };
            let cancel = (n == 5).then_some(70_000);
            let body = job(&format!("wk-{n}"), shape, "blue", tasks, 8.0, 8.0 + n as f64 * 4.0);
            world.submit(500 + n * 6_000, cancel, body);
        }
        let mut leads = Leads::default();
        for n in 1..12 {
            let at = n * 13_000 + seed * 210;
            leads.run(&mut world, at);
            let done = |job: &swiftsail_simulation::world::UserJob| {
                let own = |t: &u32| world.plant.done.contains(&format!("{}/{t}", job.id));
                (0..job.tasks()).filter(own).count()
            };
            let part = |j: &&swiftsail_simulation::world::UserJob| {
                (1..j.tasks() as usize).contains(&done(j)) && !j.over()
            };
            apart += world.jobs.iter().filter(part).count();
            if let Some(node) = leader(&world) {
                world.crash(at, node);
            }
        }
        leads.run(&mut world, 200_000);
        world.troubles_over_ms = Some(210_000);
        world.run(600_000);
        assert_over(&world, &format!("seed {seed}"));
        written += late.borrow().values().sum::<u64>();
    }
    assert!(
        apart > 40 && written > 60,
        "{apart} jobs done in part as their leader ended, {written}"
    );
}
