//! A world in simulated time: the stand-ins around the pure cores of three controllers, and users;
//! with crashes, delays, duplicates and lost answers. The protocol's rules are checked after every
//! step. Every choice comes from one seed.

mod actions;
mod consistency_probes;
mod dependencies;
mod event_handlers;
mod fault_windows;
mod invariants;
mod priority_inversions;
mod reachability_faults;
mod record;
mod scenario;
mod service_levels;
mod services;
mod simulated_cpu;
mod users;
mod work_conservation;

pub use fault_windows::{Fault, FaultWindow, TransactionFate, TransactionInterceptor};
pub use reachability_faults::InboundFailure;
pub use record::Recorder;
use scenario::{CONTROLLER_COUNT, unlimited_store_rates};
pub use scenario::{
    controller_settings, gpu_job_body, gpu_machine_offers, job_body, job_spec, machine_offers,
    submit_mixed_load,
};
use simulated_cpu::SimulatedCpu;
pub use users::{SimulatedJob, assert_all_jobs_over};

use crate::cloud::MachineOffer;
use crate::cluster::SimulatedCluster;
use crate::store::FakeStore;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use swiftsail_controller::cloud;
use swiftsail_controller::controller::{AdminRequest, Controller, Event, Now, Reply};
use swiftsail_controller::job::JobId;
use swiftsail_controller::store::StoreCall;
use swiftsail_overload_control::rejected_polls::RejectedPolls;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::{ForwardedReports, Heartbeat};
use swiftsail_protocol::workers::{DirectCommands, StatusReport};

/// Where the steady clock of the stand-in begins.
pub const START_MS: u64 = 1_000_000_000;
/// Most time between two checks of the rules, ms.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Time between two looks at a machine, ms.
const WORKER_STEP_MS: u64 = 200;

#[derive(Debug)]
enum SimulationEvent {
    Tick(usize, u64),
    DeliverToController(usize, u64, Box<Event>),
    StoreCall(usize, u64, u64, StoreCall),
    CloudCall(usize, u64, Box<cloud::CloudCall>),
    DirectCommands(usize, u64, String, Box<DirectCommands>),
    Heartbeat(usize, u64, usize, Heartbeat),
    WorkerStep(String),
    ForwardReports(usize, u64, u64, usize, Box<ForwardedReports>),
    StatusReport(usize, Box<StatusReport>, u64),
    ReportAnswered(String, u64, u64, Option<Box<Reply>>),
    UserRequest(usize, u8),
    UserReply(usize, u8, u64, Option<Reply>),
    Restart(usize),
    Crash(usize),
    AdminRequest(usize, u64, Box<AdminRequest>),
    /// A node's processor is free again.
    ProcessorFree(usize, u64),
    /// A node stands still until that time.
    PauseController(usize, u64),
    /// It goes on.
    ResumeController(usize, u64),
    /// A copy of a report comes, to whoever is there.
    DuplicateReport(usize, Box<StatusReport>),
    /// A worker begins anew.
    RestartWorker(String),
    /// A user asks a controller beside its usual questions.
    ProbeConsistency(usize, usize, u8),
    /// Its answer: to what, and when it was asked.
    ProbeReply(usize, u8, u64, Reply),
    /// Users send something odd.
    UnusualRequest,
    /// What came of a submission that can never run, or that lacks a field.
    UnusualReply(String, Reply),
    /// Users call off so many jobs that run; some of their machines hang for so long.
    CancelRunningJobs(usize, Option<u64>),
}

enum Requester {
    ForwardingController(usize, u64, u64),
    Worker(String, u64, u64),
    User(usize, u8, u64, usize),
    ConsistencyProbe(usize, u8, u64),
    UnusualRequest(String),
    Operator(u64),
}

/// How often random faults happen in a run.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    /// Chance that a message or its answer is lost.
    pub message_loss: f64,
    /// Chance that a message is delivered many seconds late.
    pub message_delay: f64,
    /// Crashes of a controller, in all.
    pub crashes: u32,
    /// Times the state service is away, and hangs of machines, in all.
    pub outages_and_hangs: u32,
}

impl FaultRates {
    /// No random fault: only what a test injects.
    pub const NONE: FaultRates =
        FaultRates { message_loss: 0.0, message_delay: 0.0, crashes: 0, outages_and_hangs: 0 };
    /// Every kind of random fault, several times in a run.
    pub const MANY: FaultRates =
        FaultRates { message_loss: 0.03, message_delay: 0.01, crashes: 4, outages_and_hangs: 2 };
}

/// A part of the network that is gone for a controller, for a time.
#[derive(Debug, Clone, Copy)]
pub struct NetworkPartition {
    /// The controller.
    pub controller: usize,
    /// From the beginning, ms.
    pub from_ms: u64,
    /// For so long, ms.
    pub for_ms: u64,
    /// It is without the workers.
    pub workers: bool,
    /// It is without the other controllers.
    pub peers: bool,
    /// It is without the state service, which refuses it.
    pub store: bool,
    /// What is sent in the meantime arrives, in order, when it is over: nobody waits for it any more.
    pub holds_messages: bool,
}

impl NetworkPartition {
    /// A cut that cuts nothing yet.
    pub fn of(controller: usize, from_ms: u64, for_ms: u64) -> NetworkPartition {
        let (workers, peers, store, holds_messages) = (false, false, false, false);
        NetworkPartition { controller, from_ms, for_ms, workers, peers, store, holds_messages }
    }
}

/// A deterministic simulation of controllers and everything around them: the same seed gives the same run.
pub struct Simulation {
    /// Simulated time, ms.
    pub now: u64,
    rng: StdRng,
    /// The controllers; none: its process is not running.
    pub controllers: Vec<Option<Controller>>,
    incarnations: [u64; CONTROLLER_COUNT],
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    queued_events: HashMap<usize, SimulationEvent>,
    event_sequence: u64,
    /// The state service.
    pub store: FakeStore,
    /// Watches: node, life, call, prefix, revision, end.
    watches: Vec<(usize, u64, u64, String, u64, u64)>,
    /// Cloud, machines and their work.
    pub cluster: SimulatedCluster,
    /// Jobs as their users see them.
    pub jobs: Vec<SimulatedJob>,
    requesters: HashMap<(usize, u64, u64), Requester>,
    next_request: u64,
    fault_rates: FaultRates,
    store_outages: Vec<(u64, u64)>,
    store_slowdowns: Vec<(u64, u64)>,
    random_faults_end_at: u64,
    observation_count: u64,
    /// What report hooks were sent.
    pub delivered_events: Vec<EventDelivery>,
    /// Share of a core that every node has, if its work is to take time.
    pub cores_per_controller: Option<f64>,
    processors: [SimulatedCpu; CONTROLLER_COUNT],
    /// Parts of the network that are gone, some time.
    pub partitions: Vec<NetworkPartition>,
    /// Until when a node stands still, and what has come for it meanwhile.
    paused: [(u64, Vec<Event>); CONTROLLER_COUNT],
    /// Time after which an ended controller is started again, ms; none: some seconds.
    pub restart_delay_ms: Option<u64>,
    /// Time between two polls of a user, ms.
    pub poll_interval_ms: u64,
    /// Reports answered with a token that the state service no longer holds.
    pub stale_answers: u32,
    /// Requests that the gate has refused.
    pub refused_requests: u64,
    /// Memory that every node that starts is told it has, MB: with less, workers are shared sooner.
    pub memory_mb: f64,
    /// The limit of team red in each controller's settings, from its next start on.
    pub team_red_limits: [f64; CONTROLLER_COUNT],
    /// The operators' file of every node that starts.
    pub operator: OperatorSettings,
    /// Answers to operators, with the numbers of their requests.
    pub admin_answers: BTreeMap<u64, Reply>,
    /// Machines that do not hear, some time.
    pub inbound_failures: Vec<InboundFailure>,
    /// What was said to each such machine so far.
    messages_to_unreachable: BTreeMap<String, u64>,
    /// Chance that a report comes again, and how much later at most, ms.
    pub duplicate_reports: Option<(f64, u64)>,
    /// Copies that have come.
    pub duplicates_delivered: u64,
    /// Users are sent to controllers that call themselves healthy, as a load balancer does.
    pub routes_to_healthy: bool,
    /// When the last trouble is over, ms from the beginning: from then on every job's questions are watched.
    pub faults_end_ms: Option<u64>,
    rejected_polls: [RejectedPolls; CONTROLLER_COUNT],
    /// After each pass of a leader it is checked whether waiting core work was passed over.
    pub checks_priority_inversions: bool,
    /// Where it was.
    pub priority_inversions: Vec<String>,
    waiting_in_last_cycle: BTreeSet<JobId>,
    last_checked_cycle: Option<(usize, u64, u64)>,
    last_check_at: u64,
    /// Rules broken, in words.
    pub violations: Vec<String>,
    /// Troubles that last for a time: changed by [`World::spell`].
    fault_windows: Vec<FaultWindow>,
    /// Says what becomes of a transaction: time from the beginning in ms, the controller, and it.
    pub transaction_interceptor: Option<TransactionInterceptor>,
    /// How often each trouble has really come about.
    pub fault_counts: BTreeMap<&'static str, u64>,
    /// Reports kept for the next leader, and who led last, in which life.
    reports_for_next_leader: Vec<StatusReport>,
    last_leader: Option<(usize, u64)>,
    /// The state service answers 429 beyond its rates: see [`Simulation::limit_store`].
    pub store_limited: bool,
    /// Requests and changes a second that every controller which starts is told; none: the settings' own.
    announced_store_rates: Option<(f64, f64)>,
    /// Users' requests answered with 503: what was asked, why, and whether another controller reached the state
    /// service then.
    pub unavailable_answers: BTreeMap<(u8, String, bool), u64>,
    /// Starts of tasks after their user was told that the job is cancelled.
    pub starts_after_cancellation: Vec<String>,
    /// The latest launch of each task that was seen on a machine.
    latest_attempts: HashMap<String, u64>,
    /// Once the troubles are over no job may wait for long beside room: see `beside_room`.
    pub checks_work_conservation: bool,
    unusual_requests_sent: u64,
    /// Until when each controller's heartbeats are those of a version that knows no pipelines, ms from the beginning.
    pub old_version_until_ms: [u64; CONTROLLER_COUNT],
    /// Is given all that controllers send; none: nothing is recorded.
    pub recorder: Option<Recorder>,
}

impl Simulation {
    /// A simulation with these fault rates until `calm_after_ms`, in a cloud with room for six machines of each offer.
    pub fn new(seed: u64, fault_rates: FaultRates, calm_after_ms: u64) -> Simulation {
        Simulation::with_capacity(seed, fault_rates, calm_after_ms, 6)
    }

    /// A world whose cloud has so many machines of each type, zone and kind.
    pub fn with_capacity(
        seed: u64,
        weather: FaultRates,
        calm_after_ms: u64,
        capacity: u32,
    ) -> Simulation {
        Simulation::with_offers(seed, weather, calm_after_ms, machine_offers(capacity))
    }

    /// A world whose cloud offers these machines.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn with_offers(
        seed: u64,
        weather: FaultRates,
        calm_after_ms: u64,
        offered: Vec<MachineOffer>,
    ) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = Simulation {
            now: START_MS,
            controllers: Vec::new(),
            incarnations: [0; CONTROLLER_COUNT],
            event_queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            event_sequence: 0,
            store: FakeStore::new(unlimited_store_rates(), START_MS),
            watches: Vec::new(),
            cluster: SimulatedCluster::new(
                offered,
                controller_settings(0).settings.clone(),
                CONTROLLER_COUNT,
                1.0,
                seed,
                START_MS,
            ),
            jobs: Vec::new(),
            requesters: HashMap::new(),
            next_request: 1,
            fault_rates: weather,
            store_outages: Vec::new(),
            store_slowdowns: Vec::new(),
            random_faults_end_at: START_MS + calm_after_ms,
            observation_count: 0,
            delivered_events: Vec::new(),
            cores_per_controller: None,
            processors: Default::default(),
            partitions: Vec::new(),
            paused: Default::default(),
            restart_delay_ms: None,
            poll_interval_ms: 5_000,
            stale_answers: 0,
            refused_requests: 0,
            memory_mb: 40.0,
            team_red_limits: [40.0; CONTROLLER_COUNT],
            operator: OperatorSettings::default(),
            admin_answers: BTreeMap::new(),
            inbound_failures: Vec::new(),
            messages_to_unreachable: BTreeMap::new(),
            duplicate_reports: None,
            duplicates_delivered: 0,
            routes_to_healthy: false,
            faults_end_ms: None,
            rejected_polls: Default::default(),
            checks_priority_inversions: false,
            priority_inversions: Vec::new(),
            waiting_in_last_cycle: BTreeSet::new(),
            last_checked_cycle: None,
            last_check_at: 0,
            violations: Vec::new(),
            fault_windows: Vec::new(),
            transaction_interceptor: None,
            fault_counts: BTreeMap::new(),
            reports_for_next_leader: Vec::new(),
            last_leader: None,
            store_limited: false,
            announced_store_rates: None,
            unavailable_answers: BTreeMap::new(),
            starts_after_cancellation: Vec::new(),
            latest_attempts: HashMap::new(),
            checks_work_conservation: false,
            unusual_requests_sent: 0,
            old_version_until_ms: [0; CONTROLLER_COUNT],
            recorder: None,
            rng: StdRng::seed_from_u64(seed ^ 0xabcd),
        };
        for n in 0..CONTROLLER_COUNT {
            world.controllers.push(None);
            world.schedule(START_MS + n as u64, SimulationEvent::Restart(n));
        }
        for _ in 0..weather.crashes {
            let at = START_MS + rng.random_range(3_000..calm_after_ms);
            world.schedule(at, SimulationEvent::Crash(rng.random_range(0..CONTROLLER_COUNT)));
        }
        for _ in 0..weather.outages_and_hangs {
            let at = START_MS + rng.random_range(3_000..calm_after_ms);
            world.store_outages.push((at, at + rng.random_range(2_000..15_000)));
        }
        world
    }

    fn schedule(&mut self, time: u64, ev: SimulationEvent) {
        self.event_sequence += 1;
        self.queued_events.insert(self.event_sequence as usize, ev);
        self.event_queue.push(Reverse((
            time.max(self.now),
            self.event_sequence,
            self.event_sequence as usize,
        )));
    }

    fn are_random_faults_over(&self) -> bool {
        self.now >= self.random_faults_end_at
    }

    fn is_message_lost(&mut self) -> bool {
        !self.are_random_faults_over() && self.rng.random_bool(self.fault_rates.message_loss)
    }

    fn draw_message_delay(&mut self) -> u64 {
        if !self.are_random_faults_over() && self.rng.random_bool(self.fault_rates.message_delay) {
            return self.rng.random_range(2_000..20_000);
        }
        match self
            .active_fault_value(|t| if let Fault::SlowLinks(ms) = t { Some(*ms) } else { None })
        {
            Some(ms) => self.rng.random_range(ms / 2..=ms),
            None => self.rng.random_range(1..15),
        }
    }

    fn is_store_unavailable(&self) -> bool {
        self.store_outages.iter().any(|(from, to)| (*from..*to).contains(&self.now))
    }

    /// A user submits a job at a time, and cancels it later if told to.
    pub fn submit(&mut self, at_ms: u64, cancel_ms: Option<u64>, body: Value) {
        let at = START_MS + at_ms;
        let id = body["name_id"].as_str().expect("a job has an id").to_string();
        let cancel_at = cancel_ms.map(|c| START_MS + c);
        let packed = rmp_serde::to_vec_named(&body).expect("JSON packs");
        let read = wire::users::read_submission(&packed).expect("the stand-in's jobs are sound");
        if let Ok(spec) = read.spec {
            self.cluster.register_job(&id, spec, true);
        }
        self.jobs.push(SimulatedJob {
            id,
            body,
            submit_at: at,
            cancel_at,
            accepted: false,
            last_status: None,
            cancellation_told_at: None,
            open_requests: [None; 3],
            final_status_at: 0,
            last_answered_at: at,
            accepted_at: None,
            has_ended: false,
            waiting_beside_free_resources: None,
        });
        self.schedule(at, SimulationEvent::UserRequest(self.jobs.len() - 1, 0));
    }

    /// The state service takes so many requests and changes a second, and controllers that start are told so.
    pub fn limit_store(&mut self, rps: f64, write_rps: f64) {
        self.store_limited = true;
        self.announced_store_rates = Some((rps, write_rps));
        self.store.limit_rates(rps, write_rps, self.now);
    }

    /// The state service is away for all from a time on, for so long.
    pub fn schedule_store_outage(&mut self, at_ms: u64, for_ms: u64) {
        self.store_outages.push((START_MS + at_ms, START_MS + at_ms + for_ms));
    }

    /// The state service answers slowly from a time on, for so long.
    pub fn schedule_store_slowdown(&mut self, at_ms: u64, for_ms: u64) {
        self.store_slowdowns.push((START_MS + at_ms, START_MS + at_ms + for_ms));
    }

    /// A controller crashes at a time.
    pub fn schedule_crash(&mut self, at_ms: u64, node: usize) {
        self.schedule(START_MS + at_ms, SimulationEvent::Crash(node));
    }

    /// A controller stands still from a time on, for so long, while clocks run on: what comes for it waits.
    pub fn schedule_pause(&mut self, at_ms: u64, node: usize, for_ms: u64) {
        self.schedule(
            START_MS + at_ms,
            SimulationEvent::PauseController(node, START_MS + at_ms + for_ms),
        );
    }

    /// So many `of` so many machines that are up die now, with all that is on them. Returns how many.
    pub fn kill_machines(&mut self, part: usize, of: usize) -> usize {
        let now = self.now;
        let up = self.cluster.workers.iter().filter(|(_, w)| !w.is_terminated && w.up_at <= now);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        let names: Vec<String> =
            names.into_iter().enumerate().filter(|(n, _)| n % of < part).map(|(_, n)| n).collect();
        self.cluster.terminate(&names, true, now);
        names.len()
    }

    /// An operator asks a controller something at a time. Returns the number of the answer.
    pub fn schedule_admin_request(&mut self, at_ms: u64, node: usize, ask: AdminRequest) -> u64 {
        self.next_request += 1;
        let id = self.next_request;
        self.schedule(START_MS + at_ms, SimulationEvent::AdminRequest(node, id, Box::new(ask)));
        id
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((time, _, _))) = self.event_queue.peek() {
            if *time > START_MS + until_ms {
                break;
            }
            let Some(Reverse((time, _, key))) = self.event_queue.pop() else { break };
            self.now = time;
            if let Some(ev) = self.queued_events.remove(&key) {
                // Only these change what is on a machine, or what its user was told.
                let matters = matches!(
                    ev,
                    SimulationEvent::WorkerStep(_)
                        | SimulationEvent::ReportAnswered(..)
                        | SimulationEvent::DirectCommands(..)
                        | SimulationEvent::UserReply(..)
                );
                let before = (self.observation_count, self.cluster.change_count);
                self.handle_simulation_event(ev);
                if matters && before.1 != self.cluster.change_count {
                    self.cancel_at_completion();
                }
                // What stays where it is may be too late there.
                let due = self.now >= self.last_check_at + CHECK_INTERVAL_MS;
                if due || matters && before != (self.observation_count, self.cluster.change_count) {
                    self.last_check_at = self.now;
                    self.check_invariants();
                }
            }
        }
        self.now = START_MS + until_ms;
    }

    fn deliver_to_controller(&mut self, n: usize, life: u64, event: Event) {
        match self.cores_per_controller {
            _ if self.incarnations[n] != life => {}
            _ if self.is_paused(n) => self.paused[n].1.push(event),
            None => self.process_event(n, life, event),
            Some(_) => self.enqueue_event(n, life, event),
        }
    }

    /// Whether a controller is without a part of the network now.
    fn is_partitioned(&self, n: usize, part: impl Fn(&NetworkPartition) -> bool) -> bool {
        let now = self.now - START_MS;
        let its = |c: &&NetworkPartition| {
            c.controller == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now)
        };
        self.partitions.iter().filter(its).any(part)
    }

    /// When what is held back for that part of a controller's network arrives, if it is held back now.
    fn partition_releases_at(
        &self,
        n: usize,
        part: impl Fn(&NetworkPartition) -> bool,
    ) -> Option<u64> {
        let now = self.now - START_MS;
        let its = |c: &&NetworkPartition| {
            c.controller == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now)
        };
        let held = self.partitions.iter().filter(its).filter(|c| c.holds_messages && part(c));
        held.map(|c| START_MS + c.from_ms + c.for_ms).max()
    }

    /// Whether two controllers do not reach each other now.
    fn are_controllers_partitioned(&self, a: usize, b: usize) -> bool {
        self.is_partitioned(a, |c| c.peers)
            || self.is_partitioned(b, |c| c.peers)
            || self.are_partitioned_by_zone(a, b)
    }

    fn is_paused(&self, n: usize) -> bool {
        self.now < self.paused[n].0
    }

    fn process_event(&mut self, n: usize, life: u64, event: Event) {
        let now =
            Now { monotonic: self.now, wall_clock: 1_700_000_000_000 + self.now + n as u64 * 7 };
        let Some(node) = self.controllers[n].as_mut() else { return };
        node.handle(event, now);
        loop {
            let actions =
                self.controllers[n].as_mut().map(Controller::take_actions).unwrap_or_default();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute_action(n, life, action);
            }
        }
        self.check_priority_inversions(n);
        self.deliver_kept_reports(n);
    }
}
