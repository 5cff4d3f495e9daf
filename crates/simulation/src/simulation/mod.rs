//! A deterministic simulation in simulated time: the state machines of three real controllers, fakes of the services
//! around them, and users, with crashes, delays, duplicated messages and lost responses. The invariants of the protocol
//! are checked as the simulation runs. Every random choice derives from one seed.

mod actions;
mod consistency_probes;
mod dependencies;
mod event_handlers;
mod fault_windows;
mod invariants;
mod message_sizes;
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

/// Time of the monotonic clock at the start of a simulation, ms.
pub const START_MS: u64 = 1_000_000_000;
/// Longest time between two checks of the invariants while events occur, ms.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval at which a machine is advanced, ms.
const WORKER_STEP_MS: u64 = 200;

/// An event in the queue. Its handler is [`Simulation::handle_simulation_event`]. A `usize` is the index of a controller
/// or a job; a `u64` after a controller's index is the incarnation that the event belongs to. A `u8` is the kind of a
/// user's request: 0 submission, 1 poll, 2 cancellation.
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
    /// A controller's CPU is free again.
    ProcessorFree(usize, u64),
    /// A controller is paused until this time.
    PauseController(usize, u64),
    /// A paused controller resumes.
    ResumeController(usize, u64),
    /// A duplicate of a report arrives at a controller.
    DuplicateReport(usize, Box<StatusReport>),
    /// A machine's worker restarts.
    RestartWorker(String),
    /// A user sends a consistency probe about a job to a controller.
    ProbeConsistency(usize, usize, u8),
    /// The answer to a consistency probe: job, kind of request, when it was sent, and the reply.
    ProbeReply(usize, u8, u64, Reply),
    /// A user sends an unusual request.
    UnusualRequest,
    /// The answer to a submission that can never run or is malformed, with a description of it.
    UnusualReply(String, Reply),
    /// Users cancel up to this number of running jobs; some of their machines hang for this time, ms.
    CancelRunningJobs(usize, Option<u64>),
}

/// Who sent a request to a controller, and what is needed to deliver the reply.
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
    /// Probability that a message is lost.
    pub message_loss: f64,
    /// Probability that a message is delivered 2 to 20 s late.
    pub message_delay: f64,
    /// Number of crashes of controllers.
    pub crashes: u32,
    /// Number of outages of the state service. Unless it is 0, machines also hang and spot machines are reclaimed at
    /// random.
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

/// A network partition that cuts one controller off from some of its peers for a time.
#[derive(Debug, Clone, Copy)]
pub struct NetworkPartition {
    /// The controller.
    pub controller: usize,
    /// When it starts, ms from the start of the simulation.
    pub from_ms: u64,
    /// Duration, ms.
    pub for_ms: u64,
    /// Whether it cuts the controller off from the workers.
    pub workers: bool,
    /// Whether it cuts the controller off from the other controllers.
    pub peers: bool,
    /// Whether it cuts the controller off from the state service, which then refuses the controller's calls.
    pub store: bool,
    /// Whether messages sent during the partition are delivered when it ends, after their senders have timed out, rather
    /// than lost.
    pub holds_messages: bool,
}

impl NetworkPartition {
    /// A partition that affects nothing yet: the flags are unset.
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
    /// The controllers; `None`: its process is not running.
    pub controllers: Vec<Option<Controller>>,
    incarnations: [u64; CONTROLLER_COUNT],
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    queued_events: HashMap<usize, SimulationEvent>,
    event_sequence: u64,
    /// The state service.
    pub store: FakeStore,
    /// Open watches: controller, incarnation, call id, prefix, revision, and when the watch times out.
    watches: Vec<(usize, u64, u64, String, u64, u64)>,
    /// The cloud, the machines and the tasks on them.
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
    /// The events delivered to event receivers.
    pub delivered_events: Vec<EventDelivery>,
    /// The share of a core that each controller has; `None`: events take no CPU time.
    pub cores_per_controller: Option<f64>,
    processors: [SimulatedCpu; CONTROLLER_COUNT],
    /// The network partitions, past and future ones included.
    pub partitions: Vec<NetworkPartition>,
    /// For each controller, until when it is paused, and the events that have arrived meanwhile.
    paused: [(u64, Vec<Event>); CONTROLLER_COUNT],
    /// Delay before a crashed controller restarts, ms; `None`: 2 to 6 s at random.
    pub restart_delay_ms: Option<u64>,
    /// Interval at which a user polls a job, ms.
    pub poll_interval_ms: u64,
    /// Number of responses to reports that a leader gave with a fencing token that is no longer that of the leader key.
    pub stale_answers: u32,
    /// Number of requests that admission gates have refused.
    pub refused_requests: u64,
    /// The memory in the settings of each controller that starts, MB. With less memory, workers are distributed among
    /// controllers sooner.
    pub memory_mb: f64,
    /// The CPU limit of team red in each controller's settings, from its next start on.
    pub team_red_limits: [f64; CONTROLLER_COUNT],
    /// The operator settings of each controller that starts.
    pub operator: OperatorSettings,
    /// Replies to administrative requests, by the request ids of [`Simulation::schedule_admin_request`].
    pub admin_answers: BTreeMap<u64, Reply>,
    /// One-way faults of machines, past and future ones included.
    pub inbound_failures: Vec<InboundFailure>,
    /// Number of responses sent so far to each machine during an inbound failure.
    messages_to_unreachable: BTreeMap<String, u64>,
    /// Probability that a report is duplicated, and the longest delay of the duplicate, ms.
    pub duplicate_reports: Option<(f64, u64)>,
    /// Number of duplicate reports delivered.
    pub duplicates_delivered: u64,
    /// Whether users' requests go only to controllers that report themselves healthy, if any do, as a load balancer does.
    pub routes_to_healthy: bool,
    /// When the last fault ends, ms from the start. From then on the checks that depend on it apply: work conservation,
    /// and that requests about every job are answered.
    pub faults_end_ms: Option<u64>,
    rejected_polls: [RejectedPolls; CONTROLLER_COUNT],
    /// Whether to check for priority inversions after each scheduling cycle of a leader.
    pub checks_priority_inversions: bool,
    /// The priority inversions found.
    pub priority_inversions: Vec<String>,
    waiting_in_last_cycle: BTreeSet<JobId>,
    last_checked_cycle: Option<(usize, u64, u64)>,
    last_check_at: u64,
    /// Descriptions of the violations of invariants found.
    pub violations: Vec<String>,
    /// Faults that last for a time: added by [`Simulation::add_fault_window`].
    fault_windows: Vec<FaultWindow>,
    /// Decides what happens to each transaction of a controller, if set.
    pub transaction_interceptor: Option<TransactionInterceptor>,
    /// How often each kind of fault has had an effect, by name.
    pub fault_counts: BTreeMap<&'static str, u64>,
    /// Reports kept for the next leader.
    reports_for_next_leader: Vec<StatusReport>,
    /// The controller that became leader last, with its incarnation.
    last_leader: Option<(usize, u64)>,
    /// Whether the state service answers 429 beyond its rate limits: see [`Simulation::limit_store`].
    pub store_limited: bool,
    /// Requests and mutations per second in the settings of each controller that starts; `None`: the default settings.
    announced_store_rates: Option<(f64, f64)>,
    /// Largest value (KiB) and number of mutations in a transaction in the settings of each controller that starts;
    /// `None`: the default settings.
    announced_store_sizes: Option<(f64, usize)>,
    /// Number of users' requests answered with 503, by kind of request (0 submission, 1 poll, 2 cancellation), reason,
    /// and whether another controller could have served them.
    pub unavailable_answers: BTreeMap<(u8, String, bool), u64>,
    /// Tasks that started after their user was told that the job is cancelled.
    pub starts_after_cancellation: Vec<String>,
    /// The latest attempt of each task seen on a machine.
    latest_attempts: HashMap<String, u64>,
    /// Whether to check work conservation once all faults have ended ([`Simulation::faults_end_ms`]).
    pub checks_work_conservation: bool,
    unusual_requests_sent: u64,
    /// Until when each controller sends and reads heartbeats as a version without job dependencies, ms from the start.
    pub old_version_until_ms: [u64; CONTROLLER_COUNT],
    /// Receives every message that controllers send, if set.
    pub recorder: Option<Recorder>,
}

impl Simulation {
    /// A simulation with these fault rates until `random_faults_end_ms`, whose cloud has a capacity of six machines of
    /// each type, in each zone, on-demand and spot separately.
    pub fn new(seed: u64, fault_rates: FaultRates, random_faults_end_ms: u64) -> Simulation {
        Simulation::with_capacity(seed, fault_rates, random_faults_end_ms, 6)
    }

    /// A simulation whose cloud has this capacity of each type, in each zone, on-demand and spot separately.
    pub fn with_capacity(
        seed: u64,
        fault_rates: FaultRates,
        random_faults_end_ms: u64,
        capacity: u32,
    ) -> Simulation {
        Simulation::with_offers(seed, fault_rates, random_faults_end_ms, machine_offers(capacity))
    }

    /// A simulation whose cloud offers these machines.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn with_offers(
        seed: u64,
        fault_rates: FaultRates,
        random_faults_end_ms: u64,
        offers: Vec<MachineOffer>,
    ) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Simulation {
            now: START_MS,
            controllers: Vec::new(),
            incarnations: [0; CONTROLLER_COUNT],
            event_queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            event_sequence: 0,
            store: FakeStore::new(unlimited_store_rates(), START_MS),
            watches: Vec::new(),
            cluster: SimulatedCluster::new(
                offers,
                controller_settings(0).settings.clone(),
                CONTROLLER_COUNT,
                1.0,
                seed,
                START_MS,
            ),
            jobs: Vec::new(),
            requesters: HashMap::new(),
            next_request: 1,
            fault_rates,
            store_outages: Vec::new(),
            store_slowdowns: Vec::new(),
            random_faults_end_at: START_MS + random_faults_end_ms,
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
            announced_store_sizes: None,
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
            sim.controllers.push(None);
            sim.schedule(START_MS + n as u64, SimulationEvent::Restart(n));
        }
        for _ in 0..fault_rates.crashes {
            let at = START_MS + rng.random_range(3_000..random_faults_end_ms);
            sim.schedule(at, SimulationEvent::Crash(rng.random_range(0..CONTROLLER_COUNT)));
        }
        for _ in 0..fault_rates.outages_and_hangs {
            let at = START_MS + rng.random_range(3_000..random_faults_end_ms);
            sim.store_outages.push((at, at + rng.random_range(2_000..15_000)));
        }
        sim
    }

    fn schedule(&mut self, time: u64, event: SimulationEvent) {
        self.event_sequence += 1;
        self.queued_events.insert(self.event_sequence as usize, event);
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

    /// Schedules the submission of a job at `at_ms` and its cancellation at `cancel_ms`, if given. Panics if the body is
    /// no valid submission.
    pub fn submit(&mut self, at_ms: u64, cancel_ms: Option<u64>, body: Value) {
        let at = START_MS + at_ms;
        let id = body["name_id"].as_str().expect("a job has an id").to_string();
        let cancel_at = cancel_ms.map(|c| START_MS + c);
        let encoded = rmp_serde::to_vec_named(&body).expect("JSON packs");
        let submission =
            wire::users::read_submission(&encoded).expect("a test submits a readable job");
        if let Ok(spec) = submission.spec {
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
            refused_with: None,
            open_requests: [None; 3],
            final_status_at: 0,
            last_answered_at: at,
            accepted_at: None,
            has_ended: false,
            waiting_beside_free_resources: None,
        });
        self.schedule(at, SimulationEvent::UserRequest(self.jobs.len() - 1, 0));
    }

    /// Limits the requests and mutations per second of the state service. Controllers that start have these limits in
    /// their settings.
    pub fn limit_store(&mut self, rps: f64, write_rps: f64) {
        self.store_limited = true;
        self.announced_store_rates = Some((rps, write_rps));
        self.store.limit_rates(rps, write_rps, self.now);
    }

    /// Announces size limits of the state service to controllers that start from now on: the largest value, in KiB, and
    /// the number of mutations in a transaction. [`FakeStore::limit_sizes`] puts limits in force.
    pub fn announce_store_sizes(&mut self, value_kb: f64, txn_ops: usize) {
        self.announced_store_sizes = Some((value_kb, txn_ops));
    }

    /// Schedules an outage of the state service for all its clients.
    pub fn schedule_store_outage(&mut self, at_ms: u64, for_ms: u64) {
        self.store_outages.push((START_MS + at_ms, START_MS + at_ms + for_ms));
    }

    /// Schedules a time during which the state service responds slowly, in part after its callers have timed out.
    pub fn schedule_store_slowdown(&mut self, at_ms: u64, for_ms: u64) {
        self.store_slowdowns.push((START_MS + at_ms, START_MS + at_ms + for_ms));
    }

    /// Schedules a crash of a controller. It restarts after [`Simulation::restart_delay_ms`].
    pub fn schedule_crash(&mut self, at_ms: u64, controller: usize) {
        self.schedule(START_MS + at_ms, SimulationEvent::Crash(controller));
    }

    /// Schedules a pause of a controller, while its clocks go on: events for it wait until it resumes.
    pub fn schedule_pause(&mut self, at_ms: u64, controller: usize, for_ms: u64) {
        self.schedule(
            START_MS + at_ms,
            SimulationEvent::PauseController(controller, START_MS + at_ms + for_ms),
        );
    }

    /// Kills `killed` out of every `out_of` machines that are up, with all their tasks. Returns how many died.
    pub fn kill_machines(&mut self, killed: usize, out_of: usize) -> usize {
        let now = self.now;
        let up = self.cluster.workers.iter().filter(|(_, w)| !w.is_terminated && w.up_at <= now);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        let names: Vec<String> = names
            .into_iter()
            .enumerate()
            .filter(|(n, _)| n % out_of < killed)
            .map(|(_, n)| n)
            .collect();
        self.cluster.terminate(&names, true, now);
        names.len()
    }

    /// Schedules an administrative request to a controller. Returns its key in [`Simulation::admin_answers`].
    pub fn schedule_admin_request(
        &mut self,
        at_ms: u64,
        controller: usize,
        request: AdminRequest,
    ) -> u64 {
        self.next_request += 1;
        let id = self.next_request;
        self.schedule(
            START_MS + at_ms,
            SimulationEvent::AdminRequest(controller, id, Box::new(request)),
        );
        id
    }

    /// Runs the simulation until `until_ms` from the start.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((time, _, _))) = self.event_queue.peek() {
            if *time > START_MS + until_ms {
                break;
            }
            let Some(Reverse((time, _, key))) = self.event_queue.pop() else { break };
            self.now = time;
            if let Some(event) = self.queued_events.remove(&key) {
                // Only these events change the tasks on a machine or what a user was told.
                let may_change_state = matches!(
                    event,
                    SimulationEvent::WorkerStep(_)
                        | SimulationEvent::ReportAnswered(..)
                        | SimulationEvent::DirectCommands(..)
                        | SimulationEvent::UserReply(..)
                );
                let before = (self.observation_count, self.cluster.change_count);
                self.handle_simulation_event(event);
                if may_change_state && before.1 != self.cluster.change_count {
                    self.cancel_at_completion();
                }
                // Without any change a violation can still arise as deadlines pass, hence the periodic check.
                let due = self.now >= self.last_check_at + CHECK_INTERVAL_MS;
                if due
                    || may_change_state
                        && before != (self.observation_count, self.cluster.change_count)
                {
                    self.last_check_at = self.now;
                    self.check_invariants();
                }
            }
        }
        self.now = START_MS + until_ms;
    }

    /// Delivers an event to this incarnation of a controller: held back while it is paused, queued if its CPU is limited.
    fn deliver_to_controller(&mut self, n: usize, incarnation: u64, event: Event) {
        match self.cores_per_controller {
            _ if self.incarnations[n] != incarnation => {}
            _ if self.is_paused(n) => self.paused[n].1.push(event),
            None => self.process_event(n, incarnation, event),
            Some(_) => self.enqueue_event(n, incarnation, event),
        }
    }

    /// Whether a partition that `affects` selects cuts the controller off now.
    fn is_partitioned(&self, n: usize, affects: impl Fn(&NetworkPartition) -> bool) -> bool {
        let now = self.now - START_MS;
        let is_active = |c: &&NetworkPartition| {
            c.controller == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now)
        };
        self.partitions.iter().filter(is_active).any(affects)
    }

    /// When messages held back by a partition that `affects` selects are delivered, if there is such a partition now.
    fn partition_releases_at(
        &self,
        n: usize,
        affects: impl Fn(&NetworkPartition) -> bool,
    ) -> Option<u64> {
        let now = self.now - START_MS;
        let is_active = |c: &&NetworkPartition| {
            c.controller == n && (c.from_ms..c.from_ms + c.for_ms).contains(&now)
        };
        let holding =
            self.partitions.iter().filter(is_active).filter(|c| c.holds_messages && affects(c));
        holding.map(|c| START_MS + c.from_ms + c.for_ms).max()
    }

    /// Whether two controllers cannot reach each other now.
    fn are_controllers_partitioned(&self, a: usize, b: usize) -> bool {
        self.is_partitioned(a, |c| c.peers)
            || self.is_partitioned(b, |c| c.peers)
            || self.are_partitioned_by_zone(a, b)
    }

    fn is_paused(&self, n: usize) -> bool {
        self.now < self.paused[n].0
    }

    /// Lets a controller handle an event, executes the actions that result, and runs the checks that follow an event.
    fn process_event(&mut self, n: usize, incarnation: u64, event: Event) {
        let now =
            Now { monotonic: self.now, wall_clock: 1_700_000_000_000 + self.now + n as u64 * 7 };
        let Some(controller) = self.controllers[n].as_mut() else { return };
        controller.handle(event, now);
        loop {
            let actions =
                self.controllers[n].as_mut().map(Controller::take_actions).unwrap_or_default();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute_action(n, incarnation, action);
            }
        }
        self.check_priority_inversions(n);
        self.deliver_kept_reports(n);
    }
}
