//! Two troubles at once: what a leader must know that the state service refuses, on the real cores against the
//! stand-in, and every order of steps of a small world of what controllers hold for each other.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::hash::Hash;
use swiftsail_controller::constants::NOTES_MOST;
use swiftsail_controller::job::{JobId, MachineId};
use swiftsail_controller::node::{Action, Event, Node, Now};
use swiftsail_controller::store::Outcome;
use swiftsail_controller::tables::{Source, Tables};
use swiftsail_controller::term::{Held, Lead, Voice, holders_needed, vouchers_needed};
use swiftsail_failure_detector::Probe;
use swiftsail_simulation::explorer::{Found, Small, explore};
use swiftsail_simulation::world::{BEGIN, Cut, Deafness, Weather, World, job, settings};
use swiftsail_protocol::controllers::Beat;
use swiftsail_protocol::workers::Report;

const CALM: Weather = Weather { loss: 0.0, late: 0.0, crashes: 0, outages: 0 };
const JOB: &str = "wk-000001";

fn leader(world: &World) -> Option<usize> {
    (0..3).find(|n| world.nodes[*n].as_ref().is_some_and(Node::leads))
}

fn refused(node: usize, from_ms: u64, for_ms: u64) -> Cut {
    Cut { store: true, ..Cut::of(node, from_ms, for_ms) }
}

/// A world with many long tasks on their machines, its leader, and the time.
fn busy(seed: u64) -> (World, usize, u64) {
    let mut world = World::new(seed, CALM, 1_000);
    for n in 0..24 {
        let id = format!("wk-a{n}");
        // All are cancelled within some seconds of the 41st.
        world.submit(
            500 + n * 100,
            Some(40_500 + n * 150),
            job(&id, "array", "blue", 2, 1.0, 150.0),
        );
    }
    world.run(40_000);
    let leads = leader(&world).expect("somebody leads");
    (world, leads, 40_000)
}

/// Jobs whose users were told between these times.
fn told(world: &World, from_ms: u64, to_ms: u64) -> usize {
    let times = world.jobs.iter().filter_map(|j| j.told_cancelled);
    times.filter(|at| (BEGIN + from_ms..BEGIN + to_ms).contains(at)).count()
}

/// The state service refuses the leader alone, another controller confirms cancellations, then it is away for
/// all for longer than `cancel_s` while workers report to the old leader.
#[test]
fn what_others_confirmed_ends_in_time_though_the_leader_cannot_read_it() {
    let mut met = 0;
    for seed in 0..6 {
        let (mut world, leads, at) = busy(seed);
        world.cuts.push(refused(leads, at, 14_000));
        world.outage(at + 2_000, 59_000);
        world.run(at + 2_000);
        let before = told(&world, at, at + 2_000);
        met += before;
        assert_eq!(leader(&world), Some(leads), "its grant has not ended yet");
        world.run(at + 60_000);
        let voice = world.nodes[leads].as_ref().and_then(Node::voice);
        assert_eq!(
            voice,
            Some(Voice::Vouched),
            "it has not read for longer than a leader may go on"
        );
        let killed: u64 = world.plant.workers.values().map(|w| w.killed).sum();
        assert_eq!(killed, 0, "seed {seed}: with a majority's word no lease ends");
        world.run(at + 200_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
    assert!(met >= 20, "{met} cancellations were confirmed in the gap");
}

/// Cut off from the state service and the others, with its workers, and then it is away for all: the leader answers
/// until what it read is too old, and no longer; what others confirmed ends in time.
#[test]
fn a_leader_that_learns_nothing_falls_silent() {
    for seed in 0..4 {
        let (mut world, leads, at) = busy(seed);
        world.cuts.push(Cut { peers: true, ..refused(leads, at, 60_000) });
        world.outage(at + 2_000, 58_000);
        let voice = |world: &World| world.nodes[leads].as_ref().and_then(Node::voice);
        world.run(at + 18_000);
        assert_eq!(voice(&world), Some(Voice::Reads), "19 s are left to it");
        world.run(at + 21_000);
        assert_eq!(voice(&world), Some(Voice::Silent));
        world.run(at + 200_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        assert_eq!(told(&world, at, at + 200_000), 24);
    }
}

/// The same with a crash of the one that confirmed, of the other, or of both, once or again, before the outage
/// or in it; and with the refusal of two.
#[test]
fn the_gap_holds_with_crashes_and_second_refusals() {
    let mut met = 0;
    for seed in 0..24u64 {
        let (mut world, leads, at) = busy(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        let other = |n: usize| (leads + 1 + n) % 3;
        world.restart_ms = Some([100, 1_000, 4_000][seed as usize % 3]);
        world.cuts.push(refused(leads, at, rng.random_range(1_500..20_000)));
        let gap = rng.random_range(800..2_200);
        world.outage(at + gap, 59_000);
        for n in 0..2 {
            match rng.random_range(0..4) {
                0 => world.crash(at + rng.random_range(300..gap), other(n)),
                1 => world.crash(at + rng.random_range(gap..20_000), other(n)),
                2 => world.cuts.push(refused(other(n), at + rng.random_range(0..gap), 3_000)),
                _ => {
                    let cut = refused(other(n), at + rng.random_range(0..gap), 30_000);
                    world.cuts.push(Cut { peers: true, store: false, ..cut });
                }
            }
        }
        world.run(at + gap);
        met += told(&world, at, at + gap);
        world.run(at + 250_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
    assert!(met >= 30, "{met} cancellations were confirmed in the gap");
}

/// Controllers that hear no other tell no user that a job is cancelled while any of its tasks is on a machine: only
/// the job's last record, which the leader writes when nothing is left, needs no other's word.
#[test]
fn nobody_is_told_of_a_cancellation_that_one_controller_holds_alone() {
    let (mut world, leads, at) = busy(3);
    for n in 0..3 {
        world.cuts.push(Cut { peers: true, store: false, ..refused(n, at, 20_000) });
    }
    for step in 1..200 {
        world.run(at + step * 100);
        for job in world.jobs.iter().filter(|j| j.told_cancelled.is_some()) {
            let workers = world.plant.workers.values().filter(|w| !w.gone);
            let mut tasks = workers.flat_map(|w| &w.tasks).filter(|t| t.on_machine());
            let its =
                |t: &swiftsail_simulation::worker::Task| t.name.split('/').next() == Some(&job.id);
            assert!(!tasks.any(its), "{} was told of and is there", job.id);
        }
    }
    assert_eq!(told(&world, at, at + 20_000), 24);
    assert_eq!(leader(&world), Some(leads));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn those_that_hold_and_those_that_vouch_meet() {
    for n in 1..=9 {
        assert!(holders_needed(n) + vouchers_needed(n) > n, "{n} controllers");
        assert!(holders_needed(n) <= n && 2 * vouchers_needed(n) > n);
    }
    assert_eq!((holders_needed(1), holders_needed(2), holders_needed(3)), (1, 1, 2));
}

/// A heartbeat of an earlier version says nothing of what its sender holds: it counts for no user and no leader, and a
/// leader that goes by such words is given none.
#[test]
fn an_earlier_versions_heartbeat_says_nothing() {
    let mut held = Held::default();
    held.opened(10);
    let old = Beat { node: "n1".into(), token: 5, store_age_ms: 60_000, ..Beat::default() };
    let lead = Lead { token: 9, read: 50, from: 0 };
    held.fill(&mut Beat::default(), 1_000);
    held.hear("n0", 7, &old, Some(lead));
    assert_eq!(held.known_as_of(Some(400), 0, 2, 2_000), Some(400));
    held.hold(&JobId::from(JOB), 60, 0);
    assert!(!held.enough(JOB, 60, 3), "two of three must hold it");

    let mut now = Now { steady: BEGIN, wall: BEGIN };
    let mut node = Node::new(settings(1), 1, now);
    for _ in 0..60 {
        now.steady += 100;
        for action in node.take_actions() {
            if let Action::Store(id, _) = action {
                node.handle(Event::Store(id, Outcome::Refused), now);
            }
        }
        node.handle(Event::Tick, now);
    }
    let old = Beat { node: "n0".into(), leads: true, ..old };
    for (process, vouches) in [(0, false), (3, true)] {
        node.handle(Event::Beat(Beat { process, number: 1, ..old.clone() }), now);
        assert_eq!(node.beat(true).store_age_ms > 5_000, vouches, "process {process}");
    }
}

/// Whatever a heartbeat names, in whatever numbers: what is held stays bounded, and one that names more than a
/// controller holds is not acknowledged as if all of it were held.
#[test]
fn heartbeats_that_name_very_much_are_bounded() {
    let names = (0..100_000).map(|n| (format!("wk-{n}"), n + 1, 0));
    let many: Vec<(String, u64, u64)> = names.chain([("no id".into(), 1, 0)]).collect();
    for opened in [false, true] {
        let mut held = Held::default();
        if opened {
            held.opened(0);
        }
        for (number, from) in (1..).zip((0..many.len()).step_by(300)) {
            let cancelled = many[from..(from + 300).min(many.len())].to_vec();
            let beat = Beat { node: "n1".into(), process: 3, number, cancelled, ..Beat::default() };
            held.hear("n0", 7, &beat, None);
            assert!(held.notes().count() <= NOTES_MOST);
        }
        let beat = Beat {
            node: "n2".into(),
            process: 4,
            number: 1,
            cancelled: many.clone(),
            ..Beat::default()
        };
        held.hear("n0", 7, &beat, None);
        assert!(held.notes().count() <= NOTES_MOST);
        let mut ours = Beat::default();
        held.fill(&mut ours, 1_000);
        assert!(ours.taken.iter().all(|(node, ..)| node != "n2"), "not all of it is held");
        assert_eq!(ours.taken.iter().any(|t| t.0 == "n1" && t.2 > 300), opened);
        assert!(opened || ours.floor.is_none(), "it has read nothing, and vouches for nobody");
    }
}

// ---- every order of steps ----------------------------------------------------------------------

/// What is left out of the small world to see that the explorer finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// Heartbeats carry no cancellations.
    Notes,
    /// Users are told by whoever commits, alone.
    Holders,
    /// A process that begins anew vouches as if it had read the state service.
    Reading,
    /// A word counts as given when it is heard.
    Asking,
    /// A leader that has not read up to a floor goes on all the same.
    Floors,
}

/// A heartbeat under way: from, to, which process it was sent to, and it.
#[derive(Debug, Clone, PartialEq)]
struct Packet(usize, usize, Beat);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Cancel(usize),
    Look(usize),
    Tell(usize),
    Talk(usize, usize),
    Send(usize, usize),
    Deliver(usize),
    Crash(usize),
    Read,
    Refuse,
    Outage,
}

/// Three controllers, the first of which leads, and one job. Time counts what users were told.
#[derive(Clone)]
struct Gap {
    without: Without,
    store: u64,
    cancelled: Option<u64>,
    reaches: [bool; 3],
    held: [Held; 3],
    process: [u64; 3],
    seen: [bool; 3],
    flying: Vec<Packet>,
    read: (u64, u64),
    told_at: Option<u64>,
    leader_knows: bool,
    now: u64,
    crashes: u8,
}

impl Hash for Gap {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        let flying = format!("{:?}", self.flying);
        (&self.held, &self.process, self.seen, self.store, self.cancelled).hash(state);
        (self.reaches, self.read, self.told_at, self.leader_knows, self.now, flying).hash(state);
    }
}

impl Gap {
    fn new(without: Without) -> Gap {
        let mut gap = Gap {
            without,
            store: 10,
            cancelled: None,
            reaches: [true; 3],
            held: Default::default(),
            process: [1, 2, 3],
            seen: [false; 3],
            flying: Vec::new(),
            read: (10, 0),
            told_at: None,
            leader_knows: false,
            now: 1,
            crashes: 0,
        };
        for held in &mut gap.held {
            held.opened(10);
        }
        // Everybody has heard everybody.
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            gap.talk(a, b);
        }
        gap
    }

    fn beat(&mut self, n: usize) -> Beat {
        let mut beat = Beat {
            node: format!("n{n}"),
            process: self.process[n],
            token: 1,
            store_age_ms: 60_000,
            ..Beat::default()
        };
        self.held[n].fill(&mut beat, self.now);
        if self.without == Without::Notes {
            beat.cancelled.clear();
        }
        beat
    }

    fn take_in(&mut self, to: usize, beat: &Beat) {
        let mut beat = beat.clone();
        let read = if self.without == Without::Floors { u64::MAX } else { self.read.0 };
        let lead = (to == 0).then_some(Lead { token: 1, read, from: 0 });
        if self.without == Without::Asking && to == 0 {
            // As if it answered the latest heartbeat.
            let made = self.beat(0).number;
            beat.taken = vec![("n0".into(), self.process[0], made)];
        }
        let heard = self.held[to].hear(&format!("n{to}"), self.process[to], &beat, lead);
        if to == 0 {
            self.leader_knows |= !heard.cancelled.is_empty();
        }
    }

    /// A question and its answer.
    fn talk(&mut self, from: usize, to: usize) {
        let beat = self.beat(from);
        self.take_in(to, &beat);
        let answer = self.beat(to);
        self.take_in(from, &answer);
    }

    fn open(&mut self, n: usize) {
        if self.reaches[n] || self.without == Without::Reading {
            self.held[n].opened(if self.reaches[n] { self.store } else { 0 });
        }
    }
}

impl Small for Gap {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.cancelled.is_none() && self.reaches[1] {
            steps.push(Step::Cancel(1));
        }
        for n in 1..3 {
            if self.reaches[n] && self.cancelled.is_some() && !self.seen[n] {
                steps.push(Step::Look(n));
            }
            if self.seen[n] && self.told_at.is_none() {
                steps.push(Step::Tell(n));
            }
            if self.crashes < 1 {
                steps.push(Step::Crash(n));
            }
            steps.push(Step::Talk(0, n));
            if self.flying.is_empty() {
                steps.push(Step::Send(n, 0));
            }
        }
        steps.push(Step::Talk(1, 2));
        steps.extend((0..self.flying.len()).map(Step::Deliver));
        if self.reaches[0] {
            steps.extend([Step::Refuse, Step::Read]);
        }
        if self.reaches[1] {
            steps.push(Step::Outage);
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Cancel(n) | Step::Look(n) => {
                if self.cancelled.is_none() {
                    self.store += 1;
                    self.cancelled = Some(self.store);
                }
                let revision = self.cancelled.expect("just cancelled");
                self.seen[n] = self.held[n].hold(&JobId::from(JOB), revision, 0);
            }
            Step::Tell(n) => {
                let revision = self.cancelled.expect("seen");
                let enough = self.held[n].enough(JOB, revision, 3);
                if enough || self.without == Without::Holders {
                    self.told_at = Some(self.now);
                    self.now += 1;
                }
            }
            Step::Talk(from, to) => self.talk(from, to),
            Step::Send(from, to) => {
                let beat = self.beat(from);
                self.flying.push(Packet(from, to, beat));
            }
            Step::Deliver(n) => {
                let Packet(_, to, beat) = self.flying.remove(n);
                self.take_in(to, &beat);
            }
            Step::Crash(n) => {
                self.crashes += 1;
                self.held[n] = Held::default();
                self.process[n] += 10;
                self.seen[n] = false;
                self.open(n);
            }
            Step::Read => {
                self.read = (self.store, self.now);
                self.leader_knows |= self.cancelled.is_some();
                self.held[0].raise(self.store);
            }
            Step::Refuse => self.reaches[0] = false,
            Step::Outage => self.reaches = [false; 3],
        }
    }

    fn broken(&self) -> Option<String> {
        let known = self.held[0].known_as_of(Some(self.read.1), 0, 3, self.now)?;
        let told = self.told_at?;
        (told < known && !self.leader_knows).then(|| "it answers and does not know".into())
    }
}

fn explored(without: Without, depth: usize) -> Found<Step> {
    explore(Gap::new(without), depth, 600_000)
}

#[test]
fn in_every_order_of_steps_a_leader_that_answers_knows_what_users_were_told() {
    let found = explored(Without::Nothing, 7);
    assert!(found.broken.is_none(), "{:?}", found.broken);
    assert!(found.whole && found.worlds > 20_000, "{} worlds", found.worlds);
}

/// Each part of the condition is needed: without it the explorer finds a history that breaks it.
#[test]
fn without_any_part_of_the_condition_a_leader_goes_on_unknowing() {
    let mut shortest = BTreeSet::new();
    for without in
        [Without::Notes, Without::Holders, Without::Reading, Without::Asking, Without::Floors]
    {
        let found = explored(without, 9);
        let (_, history) = found.broken.unwrap_or_else(|| panic!("{without:?} is not found"));
        shortest.insert(history.len());
    }
    assert!(shortest.len() > 1, "not the same history each time");
}

// ---- two troubles at once, at random -----------------------------------------------------------

/// A trouble that begins then, of one of those that two at a time meet.
fn trouble(world: &mut World, kind: usize, at: u64, rng: &mut StdRng) {
    let node = match leader(world).filter(|_| rng.random_bool(0.6)) {
        Some(leads) => leads,
        None => rng.random_range(0..3),
    };
    let for_ms = rng.random_range(1_000..45_000);
    let cut = Cut { hold: rng.random_bool(0.3), ..Cut::of(node, at, for_ms) };
    match kind {
        0 => world.cuts.push(Cut { store: true, ..cut }),
        1 => world.cuts.push(Cut { store: true, peers: true, ..cut }),
        2 => world.cuts.push(Cut { peers: true, ..cut }),
        3 => world.cuts.push(Cut { workers: true, ..cut }),
        4 => world.outage(at, for_ms + 15_000),
        5 => world.crash(at, node),
        6 => (0..3).for_each(|n| world.crash(at + rng.random_range(0..1_500), n)),
        7 => world.freeze(at, node, for_ms.min(25_000)),
        8 => {
            let zone = Some(["a", "b", "c"][rng.random_range(0..3)].to_string());
            let hears_each = rng.random_range(0..4);
            let from_ms = at;
            world.deafness.push(Deafness { from_ms, for_ms, zone, names: vec![], hears_each });
        }
        9 => drop(world.plant.hang(rng.random_range(1..8), for_ms.min(25_000), world.now)),
        10 => {
            for name in world.up().into_iter().take(3) {
                world.reboot(at, &name);
            }
        }
        11 => world.slow(at, for_ms),
        _ => world.copies = Some((0.1, 40_000)),
    }
}

/// One day on which two or three troubles meet, twice, while users cancel and ask.
fn meeting(seed: u64) -> World {
    let mut rng = StdRng::seed_from_u64(seed);
    let late = [0.0, 0.01, 0.03][seed as usize % 3];
    let mut world = World::new(seed, Weather { loss: late, late, crashes: 0, outages: 0 }, 160_000);
    world.restart_ms = [None, Some(100), Some(1_000)][rng.random_range(0..3)];
    if rng.random_bool(0.3) {
        world.memory_mb = 0.2;
    }
    for n in 0..14u64 {
        let cancel = rng.random_bool(0.6).then(|| rng.random_range(30_000..120_000));
        let eta = [8.0, 40.0, 120.0][rng.random_range(0..3)];
        let shape = ["array", "gang", "array", "service"][n as usize % 4];
        let (crew, tasks) = [("red", 6), ("blue", 3)][rng.random_range(0..2)];
        let cancel = cancel.or((shape == "service").then_some(150_000));
        world.submit(
            500 + n * 5_000,
            cancel,
            job(&format!("wk-{n}"), shape, crew, tasks, 2.0, eta),
        );
    }
    for at in [40_000, 95_000] {
        world.run(at);
        let last = 2 + usize::from(rng.random_bool(0.3));
        for _ in 0..last {
            let (kind, after) = (rng.random_range(0..13), rng.random_range(0..3_000));
            trouble(&mut world, kind, at + after, &mut rng);
        }
    }
    world.troubles_over_ms = Some(200_000);
    world.run(420_000);
    world
}

/// Whatever two troubles meet: no rule is broken, and in the end every job is over.
#[test]
fn meetings_of_two_troubles_break_no_rule() {
    let (from, days) = match std::env::var("MEETINGS") {
        Ok(range) => {
            range.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)))
        }
        Err(_) => None,
    }
    .unwrap_or((0, 48));
    let mut told = 0;
    for seed in from..days {
        let world = meeting(seed);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        told += world.jobs.iter().filter(|j| j.told_cancelled.is_some()).count();
        for job in &world.jobs {
            assert!(
                job.over(),
                "seed {seed}: {} ended as {:?}: {}",
                job.id,
                job.last,
                world.held(&job.id)
            );
        }
    }
    assert!(told > 0);
}

/// A worker that has begun anew counts from the start: what its earlier life sent has higher numbers, and was
/// taken as news that what had been started since is gone.
#[test]
fn what_an_earlier_life_of_a_worker_sent_proves_nothing() {
    let (mut tables, now) = (Tables::new(9, 1, 1_000), 2_000);
    let report = |watch, tick, helm| Report {
        berth: "m-1".into(),
        addr: "10.1.0.1:9000".into(),
        hull: "s4".into(),
        dock: "a".into(),
        watch,
        tick,
        helm,
        driftwood: false,
        recall_s: None,
        shards: Vec::new(),
    };
    tables.on_report(&report(1, 60, 8), Source::Report, now, &[]);
    tables.on_report(&report(1, 61, 9), Source::Report, now, &[]);
    let id = MachineId::from("m-1");
    assert!(tables.machines[&id].trusted());
    // Under this term's token another life's higher number is seen through by the token that it shows.
    tables.on_report(&report(2, 5, 8), Source::Report, now, &[]);
    assert_eq!(tables.machines[&id].latest, (1, 61));
    // Of a life that had this term's token nothing can be told: the machine is given no more.
    tables.machines.get_mut(&id).expect("known").asked = Some((1, 61));
    tables.on_probed(&id, Probe::Answered, Some(&report(1, 3, 9)), now);
    assert!(!tables.machines[&id].trusted(), "it is emptied and returned");
}
