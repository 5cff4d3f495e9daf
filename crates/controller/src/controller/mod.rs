//! One controller: the pure core that turns events and time into state and actions.
//!
//! Nothing here does I/O, reads a clock or draws random numbers by itself: [`Node::handle`] takes
//! an event and the time, and leaves the actions to be done in [`Node::take_actions`].

/// The leader's context, borrowed beside its tables.
macro_rules! ctx {
    ($node:expr) => {
        LeaderContext {
            now: $node.now.monotonic,
            wall_clock: $node.now.wall_clock,
            settings: &$node.settings,
            store: &mut $node.store,
        }
    };
}

mod admin;
mod binding_log;
mod chunks;
mod cpu_accounting;
mod deadline_planning;
mod dependency_lookup;
mod format_upgrade;
mod gpu_lending;
mod isolation;
mod job_cache;
mod leadership;
mod pause_detection;
mod peers;
mod pending_terminations;
mod plugins;
mod policy_evaluation;
mod quota_accounts;
mod replicated_records;
mod report_forwarding;
mod requests;
mod scheduling_cycle;
mod status;
mod store_calls;
mod worker_reports;

pub use admin::AdminRequest;
pub use policy_evaluation::{PolicyContext, steer};
pub use replicated_records::{compile_plan as plan_of_file, tier_table_record as tiers_of_file};
pub use scheduling_cycle::{
    CycleResult as PassOutcome, plan_fleet, plan_provisioning, run_scheduling_cycle,
};
pub use store_calls::CallContext;

use crate::Time;
use crate::cloud::{self, CloudClient};
use crate::cluster_state::ClusterState;
use crate::constants::{
    CLOUD_BACKOFF_MS, HEARTBEAT_INTERVAL_MS, LEASE_TTL_MS, PROCESS_PAUSE_MS, RETRY_AFTER_S,
    STORE_SHARE_ALL, STORE_SHARE_LEADER, STORE_TIMEOUT_MS,
};
use crate::cycle_policy::CyclePolicy;
use crate::job::{FinalRecord, JobId, MachineId, chunk_size, keys};
use crate::leadership::{AnswerAuthority, CancellationQuorum, Leadership, LeadershipPhase};
use crate::machine::MachineType;
use crate::settings::Settings;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreClient, StoreOutcome};
use dependency_lookup::DependencyLookups;
use format_upgrade::FormatUpgrade;
use isolation::Isolation;
use job_cache::JobCache;
use peers::Peer;
use pending_terminations::PendingTerminations;
use plugins::Plugins;
use quota_accounts::QuotaAccounts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use replicated_records::ReplicatedRecords;
use report_forwarding::ReportForwarder;
use requests::Requests;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_overload_control::fleet_limit::CpuLoad;
use swiftsail_overload_control::load_level::LoadMonitor;
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_policy::plugin_host::PluginHost;
use swiftsail_policy::scheduling_policy::SchedulingPolicy;
use swiftsail_protocol::controllers::{ForwardedAnswers, ForwardedReports, Heartbeat};
use swiftsail_protocol::workers::{DirectCommands, StatusReport};
use worker_reports::ForwardingHistory;

/// Steady time and time of day, ms.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Steady time.
    pub monotonic: Time,
    /// Time of day since the epoch.
    pub wall_clock: u64,
}

/// Number of a request that waits for its answer.
pub type RequestId = u64;

/// An answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// When to come back, s.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// An answer with a body.
    pub fn new<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: swiftsail_protocol::encode(body), retry_after: None }
    }
    /// "Come back later."
    pub fn retry_later(why: &str) -> Reply {
        let problem =
            swiftsail_protocol::users::ErrorResponse { error: format!("{why}; try again later") };
        Reply { retry_after: Some(RETRY_AFTER_S), ..Reply::new(503, &problem) }
    }
}

/// What a user asks.
#[derive(Debug)]
pub enum UserRequest {
    /// Submit: the body as it came.
    Submit(Vec<u8>),
    /// The state of a job.
    Poll(String),
    /// The state of a job about which a question was turned away here before.
    RetriedPoll(String),
    /// Cancel a job.
    Cancel(String),
    /// Health.
    Health,
}

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A user's request.
    UserRequest(RequestId, UserRequest),
    /// A worker's report.
    StatusReport(RequestId, Box<StatusReport>),
    /// A worker's answer to a direct command.
    CommandResponse(Box<StatusReport>),
    /// The state service answered, or not.
    StoreResponse(u64, StoreOutcome),
    /// The cloud answered, or not.
    CloudResponse(Box<cloud::CloudCall>, cloud::CloudOutcome),
    /// Reports that another controller passes on.
    ForwardedReports(RequestId, Box<ForwardedReports>),
    /// The leader's answers to reports passed on, or none.
    ForwardedAnswers(u64, Option<ForwardedAnswers>),
    /// Another controller's heartbeat, or its answer to ours.
    Heartbeat(Heartbeat),
    /// An operator's request.
    AdminRequest(RequestId, AdminRequest),
    /// A delivery to a report hook has ended: of which plug-in, and whether it was taken.
    HookDelivered(String, bool),
    /// A machine was asked directly whether it lives: what came of it, and its report if it answered.
    ProbeFinished(MachineId, ProbeOutcome, Option<Box<StatusReport>>),
    /// The process has used so much of a core, us, over so much time, ms.
    CpuUsage(u64, u64),
}

/// What a node wants done.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Reply(RequestId, Reply),
    /// Call the state service.
    CallStore(u64, StoreCall),
    /// Call the cloud.
    CallCloud(cloud::CloudCall),
    /// Send commands straight to a worker.
    SendCommands(String, DirectCommands),
    /// Ask a machine at its address whether it lives.
    ProbeMachine(MachineId, String),
    /// Pass reports on to the controller of that name; the number is of the message.
    ForwardReports(u64, String, Box<ForwardedReports>),
    /// Send a heartbeat to every other controller.
    SendHeartbeat(Heartbeat),
    /// Deliver events to a report hook.
    DeliverEvents(EventDelivery),
}

/// What the leader's functions work with.
pub struct LeaderContext<'a> {
    /// Steady time.
    pub now: Time,
    /// Time of day.
    pub wall_clock: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// The state service.
    pub store: &'a mut StoreClient<CallContext>,
}

/// One controller.
pub struct Controller {
    settings: Arc<Settings>,
    incarnation: u64,
    now: Now,
    rng: StdRng,
    leadership: Leadership,
    store: StoreClient<CallContext>,
    cloud: CloudClient,
    cluster_state: Option<ClusterState>,
    loading_state: Option<ClusterState>,
    machine_types: Option<Arc<Vec<MachineType>>>,
    job_policies: CyclePolicy,
    policy: SchedulingPolicy,
    plugin_host: PluginHost,
    plugins: Plugins,
    /// Attributes of the cluster as the leader last told them.
    cluster_attributes: Vec<f64>,
    scores_computed: u64,
    /// What each part may hold.
    budget: MemoryBudget,
    /// How far behind this node is.
    load_level: LoadMonitor,
    /// How much of its processor it uses.
    cpu_load: CpuLoad,
    /// Of that, what the machines cost, whatever is placed.
    baseline_cpu_load: CpuLoad,
    /// When the platform last told what the process uses.
    cpu_measured_at: Time,
    /// What this node's work has cost by count, us of a whole core: events, and passes.
    event_cost_us: f64,
    cycle_cost_us: f64,
    /// When they were last looked at, and what they were then.
    cost_snapshot: (Time, f64, f64),
    last_tick_at: Time,
    bound_logged_at: Time,
    /// No pass before that: the last one cost as much.
    next_cycle_at: Time,
    status_logged_at: Time,
    requests: Requests,
    /// Questions under way about what comes before a job.
    dependency_lookups: DependencyLookups,
    /// Whether every controller knows the form of records that this one writes.
    format_upgrade: FormatUpgrade,
    job_cache: JobCache,
    final_records: HashMap<JobId, FinalRecord>,
    final_record_order: VecDeque<JobId>,
    task_counts: BTreeMap<String, (u32, u32)>,
    peers: BTreeMap<String, Peer>,
    /// Cancellations held for the leader, and what others hold.
    cancellations: CancellationQuorum,
    answer_authority: AnswerAuthority,
    forwarding_history: HashMap<String, ForwardingHistory>,
    deferred_reports: Vec<(RequestId, Box<StatusReport>)>,
    /// Questions to machines that an earlier lead of this process has asked and that are open.
    open_probes: HashMap<MachineId, u32>,
    report_forwarder: ReportForwarder,
    isolation: Isolation,
    quota_accounts: QuotaAccounts,
    replicated_records: ReplicatedRecords,
    /// Returns that a lead which is over has left undone.
    pending_terminations: PendingTerminations,
    /// Workers by the controller that they report to, this one under its own name.
    workers_by_controller: BTreeMap<Arc<str>, usize>,
    /// Workers are shared among controllers.
    distributes_workers: bool,
    leader_key_read_at: Time,
    heartbeat_sent_at: Time,
    /// When a heartbeat was last made because a user waits for it.
    expedited_heartbeat_at: Time,
    watching_leader_key: bool,
    actions: Vec<Action>,
    pending_commands: Vec<(String, DirectCommands)>,
    machine_types_requested_at: Time,
    /// When the process last woke from a standstill.
    resumed_at: Time,
}

impl Controller {
    /// A node that has just started, without an operators' file.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Now) -> Controller {
        Controller::with_operator_file(settings, &OperatorSettings::default(), seed, now)
    }

    /// A node that has just started. `seed` feeds all its random choices.
    pub fn with_operator_file(
        settings: Arc<Settings>,
        operator: &OperatorSettings,
        seed: u64,
        now: Now,
    ) -> Controller {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rps, write_rps) = store_rates(&settings, false);
        let cloud = CloudClient::new(settings.settings.cloud.rps, now.monotonic);
        let limits = settings.settings.machine_limits.clone();
        let budget = MemoryBudget::divide(limits.mem_mb, limits.max_connections);
        let mut node = Controller {
            incarnation: rng.random::<u64>() >> 1,
            now,
            rng,
            leadership: Leadership::default(),
            store: StoreClient::new(rps, write_rps, now.monotonic).seeded(seed),
            cloud,
            cluster_state: None,
            loading_state: None,
            machine_types: None,
            job_policies: CyclePolicy::default(),
            policy: operator.compiled_policy(),
            plugin_host: PluginHost::default(),
            plugins: Plugins::new(operator.plugins.enabled),
            cluster_attributes: Vec::new(),
            scores_computed: 0,
            budget,
            load_level: LoadMonitor::new(now.monotonic),
            cpu_load: CpuLoad::default(),
            baseline_cpu_load: CpuLoad::default(),
            cpu_measured_at: 0,
            event_cost_us: 0.0,
            cycle_cost_us: 0.0,
            cost_snapshot: (now.monotonic, 0.0, 0.0),
            last_tick_at: 0,
            bound_logged_at: 0,
            next_cycle_at: 0,
            status_logged_at: 0,
            requests: Requests::default(),
            dependency_lookups: DependencyLookups::default(),
            format_upgrade: FormatUpgrade::default(),
            job_cache: JobCache::new(budget.cached_jobs),
            final_records: HashMap::new(),
            final_record_order: VecDeque::new(),
            task_counts: BTreeMap::new(),
            peers: BTreeMap::new(),
            cancellations: CancellationQuorum::default(),
            answer_authority: AnswerAuthority::default(),
            forwarding_history: HashMap::new(),
            deferred_reports: Vec::new(),
            open_probes: HashMap::new(),
            report_forwarder: ReportForwarder::default(),
            isolation: Isolation::default(),
            quota_accounts: QuotaAccounts::new(
                operator.amounts.durable,
                &settings.host_name,
                &settings.settings.teams,
            ),
            replicated_records: ReplicatedRecords::new(
                operator,
                &settings.settings.state,
                now.monotonic,
            ),
            pending_terminations: PendingTerminations::default(),
            workers_by_controller: BTreeMap::new(),
            distributes_workers: false,
            leader_key_read_at: 0,
            heartbeat_sent_at: 0,
            expedited_heartbeat_at: 0,
            watching_leader_key: false,
            actions: Vec::new(),
            pending_commands: Vec::new(),
            machine_types_requested_at: 0,
            resumed_at: 0,
            settings,
        };
        node.read_leader_key();
        node.store.push(
            StoreCall::Get(keys::TYPES.into()),
            CallContext::ReadMachineTypes,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
        node
    }

    /// The actions that have come up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let (calls, late) = self.store.take_due_calls(self.now.monotonic);
        self.actions.extend(calls.into_iter().map(|(id, c)| Action::CallStore(id, c)));
        for end in late {
            self.on_store_response(end);
        }
        // What a leader in doubt asks of the cloud or orders straight would be done under another's lead.
        if self.is_lease_confirmed() {
            let calls = self.cloud.take_due_calls(self.now.monotonic);
            self.actions.extend(calls.into_iter().map(Action::CallCloud));
            self.actions
                .extend(self.pending_commands.drain(..).map(|(to, d)| Action::SendCommands(to, d)));
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Now) {
        let stood_ms = now.monotonic.saturating_sub(self.now.monotonic);
        self.now = now;
        if stood_ms >= PROCESS_PAUSE_MS {
            self.on_resume(stood_ms);
        }
        self.charge_event(&event);
        match event {
            Event::Tick => self.tick(),
            Event::UserRequest(id, ask) => self.on_user_request(id, ask),
            Event::StatusReport(id, report) => self.on_status_report(id, report),
            Event::CommandResponse(report) => self.on_command_response(&report),
            Event::StoreResponse(id, outcome) => {
                if let Some(end) = self.store.finish(id, outcome, now.monotonic) {
                    self.on_store_response(end);
                }
            }
            Event::CloudResponse(call, outcome) => self.on_cloud(&call, &outcome),
            Event::ForwardedReports(id, batch) => self.on_forwarded_reports(id, &batch),
            Event::ForwardedAnswers(number, answers) => self.on_forwarded_answers(number, answers),
            Event::Heartbeat(beat) => self.on_heartbeat(&beat),
            Event::AdminRequest(id, ask) => self.on_admin(id, ask),
            Event::HookDelivered(name, taken) => {
                self.plugin_host.on_delivery_ended(&name, taken, now.monotonic)
            }
            Event::ProbeFinished(id, probe, report) => self.on_probed(&id, probe, report),
            Event::CpuUsage(us, over_ms) => self.on_cpu_usage(us, over_ms),
        }
        self.answer_confirmed_cancellations();
        self.run_cycle_if_due();
        self.forward_queued_reports();
        self.deliver_cluster_events();
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.leadership.phase() == LeadershipPhase::Leading
    }

    /// Scores computed so far: what passes cost, whatever the processor's speed.
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }

    /// The leader's tables, if this node leads.
    pub fn cluster_state(&self) -> Option<&ClusterState> {
        self.cluster_state.as_ref()
    }

    fn tick(&mut self) {
        let now = self.now.monotonic;
        self.update_load_level(now);
        if let LeadershipPhase::Vacant(at) = self.leadership.phase()
            && now >= at
        {
            self.leadership.advance(LeadershipPhase::GrantingLease);
            let purpose = CallContext::GrantLease {
                generation: self.leadership.generation,
                requested_at: now,
            };
            let call = StoreCall::GrantLease { ttl_ms: LEASE_TTL_MS };
            self.store.push(
                call,
                purpose,
                CallPriority::Leadership,
                RetryPolicy::OnceBefore(now + STORE_TIMEOUT_MS),
            );
        }
        if self.leadership.holds_key() && now >= self.leadership.renew_at {
            self.renew_lease();
        }
        // A look at the term now and then also tells whether the store is there.
        if !self.leadership.holds_key()
            && now >= self.leader_key_read_at + 2 * HEARTBEAT_INTERVAL_MS
        {
            self.read_leader_key();
        }
        if self.machine_types.is_none() && now >= self.machine_types_requested_at + CLOUD_BACKOFF_MS
        {
            self.machine_types_requested_at = now;
            self.cloud.enqueue(cloud::CloudCall::ListTypes);
        }
        if now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS {
            self.heartbeat_sent_at = now;
            self.count_workers_by_controller();
            let beat = self.build_heartbeat(false);
            self.actions.push(Action::SendHeartbeat(beat));
        }
        if self.is_lease_confirmed() {
            self.run_leader_tick();
        } else {
            self.recheck_lease();
        }
        self.terminate_pending_machines();
        self.refresh_job_cache();
        self.update_plugins();
        self.update_records();
        self.log_status();
    }

    /// A leader's part of a timer step.
    fn run_leader_tick(&mut self) {
        self.resign_if_isolated();
        self.poll_job_changes();
        self.update_answer_authority();
        if let Some(leader) = &mut self.cluster_state {
            self.pending_commands.extend(leader.stop_commands(self.now.monotonic));
        }
        self.update_quota_accounts();
        self.update_gpu_loans();
        self.update_deadline_plan();
        self.update_dependencies();
        self.manage_fleet();
        self.close_finished_jobs();
        if let Some(leader) = &mut self.cluster_state {
            let mut ctx = ctx!(self);
            leader.write_binding_log(&mut ctx);
            leader.flush_all(&mut ctx);
        }
        self.collect_stale_bindings();
        self.archive_finished_jobs();
    }

    fn remember_final(&mut self, id: &JobId, record: FinalRecord) {
        if self.final_records.insert(id.clone(), record).is_none() {
            self.final_record_order.push_back(id.clone());
            if self.final_record_order.len() > self.budget.cached_final_answers
                && let Some(oldest) = self.final_record_order.pop_front()
            {
                self.final_records.remove(&oldest);
            }
        }
    }

    fn task_counts_of(&self, id: &str) -> (u32, u32) {
        match &self.cluster_state {
            Some(leader) => leader.jobs.get(id).map_or((0, 0), |j| j.task_counts()),
            None => self.task_counts.get(id).copied().unwrap_or((0, 0)),
        }
    }

    fn tasks_per_chunk(&self) -> u32 {
        chunk_size(&self.settings.settings.state)
    }
}

/// Requests and writes a second for a node: together the nodes stay within the limits.
fn store_rates(settings: &Settings, leads: bool) -> (f64, f64) {
    let state = &settings.settings.state;
    let others = settings.others.len();
    let share = if others == 0 {
        STORE_SHARE_ALL
    } else if leads {
        STORE_SHARE_ALL * STORE_SHARE_LEADER
    } else {
        STORE_SHARE_ALL * (1.0 - STORE_SHARE_LEADER) / others as f64
    };
    (state.rps * share, state.write_rps * share)
}
