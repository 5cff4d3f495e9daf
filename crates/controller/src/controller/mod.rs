//! One controller as a deterministic state machine: events and the current time go in, actions come out.
//!
//! Nothing here does I/O or reads a clock, and all random choices derive from a seed. The runtime calls
//! [`Controller::handle`] with an event and the time, and then executes the actions that
//! [`Controller::take_actions`] returns.
//!
//! This module holds the controller's state, dispatches events and runs the periodic work. Submodules by concern:
//!
//! - leadership: `leadership` (election, stepping down), `state_loading` (a new leader's reads), `peers`
//!   (heartbeats), `isolation`, `pause_detection`, `pending_terminations`
//! - users: `requests`, `job_cache`, `dependency_lookup`, `final_records`
//! - workers: `worker_reports`, `report_forwarding`
//! - the leader's writes to the state service: `binding_log`, `chunks`, `archiving`
//! - the leader's decisions: `scheduling_cycle`, `plan_application`, `fleet_management`, `policy_evaluation`,
//!   `gpu_lending`, `deadline_planning`, `quota_accounts`
//! - replicated records and operators: `replicated_records`, `plugins`, `admin`, `status`
//! - responses of the state service: `store_calls` routes each to its caller
//! - limits: `capacity` and `cpu_accounting` bound scheduling cycles and the size of the fleet
//! - `format_upgrade`: gates new record formats during a rolling upgrade; `machine_types`: the cloud's machine types
//! - `messages`: events, actions and replies

mod admin;
mod archiving;
mod binding_log;
mod capacity;
mod chunks;
mod cpu_accounting;
mod deadline_planning;
mod dependency_lookup;
mod final_records;
mod fleet_management;
mod format_upgrade;
mod gpu_lending;
mod isolation;
mod job_cache;
mod leadership;
mod machine_types;
mod messages;
mod pause_detection;
mod peers;
mod pending_terminations;
mod plan_application;
mod plugins;
mod policy_evaluation;
mod quota_accounts;
mod replicated_records;
mod report_forwarding;
mod requests;
mod scheduling_cycle;
mod state_loading;
mod status;
mod store_calls;
mod worker_reports;

pub use admin::AdminRequest;
pub use fleet_management::{enqueue_provisioning, update_fleet};
pub use messages::{
    Action, Event, ForwardBatchId, LeaderContext, Now, Reply, RequestId, StoreCallId, UserRequest,
};
pub use policy_evaluation::{PolicyContext, evaluate_job_policies};
pub use replicated_records::{compile_deadline_plan, tier_table_from_settings};
pub use scheduling_cycle::{CycleResult, run_scheduling_cycle};
pub use store_calls::CallContext;

use crate::Time;
use crate::cloud::{self, CloudClient};
use crate::cluster_state::ClusterState;
use crate::constants::{
    CLOUD_BACKOFF_MS, HEARTBEAT_INTERVAL_MS, LEADER_STORE_RATE_SHARE, LEASE_TTL_MS,
    PROCESS_PAUSE_THRESHOLD_MS, STORE_RATE_SHARE, STORE_TIMEOUT_MS,
};
use crate::cycle_policy::CyclePolicy;
use crate::job::{FinalRecord, JobId, MachineId, chunk_size, keys};
use crate::leadership::{AnswerAuthority, CancellationQuorum, Leadership, LeadershipPhase};
use crate::machine::MachineType;
use crate::settings::Settings;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreClient};
use cpu_accounting::CpuAccounting;
use dependency_lookup::DependencyLookups;
use final_records::FinalRecordCache;
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
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use swiftsail_overload_control::load_level::LoadMonitor;
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::plugin_host::PluginHost;
use swiftsail_policy::scheduling_policy::SchedulingPolicy;
use swiftsail_protocol::workers::{DirectCommands, StatusReport};
use worker_reports::ForwardingHistory;

/// One controller. The module documentation lists what each submodule does with it.
pub struct Controller {
    settings: Arc<Settings>,
    /// Random identifier of this process. Distinguishes its messages and keys from those of an earlier process with
    /// the same host name.
    incarnation: u64,
    /// Clock readings at the event being handled.
    now: Now,
    rng: StdRng,
    /// Client of the state service.
    store: StoreClient<CallContext>,
    /// Client of the cloud provider.
    cloud: CloudClient,
    /// Actions produced by the current event and not yet taken by the runtime.
    actions: Vec<Action>,
    /// Commands to be sent directly to workers, by address. Sent only while the lease is confirmed.
    pending_commands: Vec<(String, DirectCommands)>,

    /// This controller's view of who leads.
    leadership: Leadership,
    /// When the leader's key was last read.
    leader_key_read_at: Time,
    /// Whether a watch of the leader's key is open.
    watching_leader_key: bool,
    /// The leader's state; `None` while this controller does not lead.
    cluster_state: Option<ClusterState>,
    /// The state that a new leader is reading from the state service; `None` otherwise.
    loading_state: Option<ClusterState>,
    /// Cancellations that may have been confirmed to users, and which controllers hold them.
    cancellations: CancellationQuorum,
    /// On what grounds this leader answers workers, as last logged.
    answer_authority: AnswerAuthority,
    /// Detects a leader that reaches neither workers nor peers.
    isolation: Isolation,
    /// Machines with cancelled tasks, to be terminated while there is no leader.
    pending_terminations: PendingTerminations,
    /// Whether every controller reads the record format that this one writes.
    format_upgrade: FormatUpgrade,
    /// When the process last resumed after a pause; 0 if it was never paused.
    resumed_at: Time,

    /// The other controllers by host name, as of their latest heartbeats.
    peers: BTreeMap<String, Peer>,
    heartbeat_sent_at: Time,
    /// When a heartbeat was last sent early because a user waits for a cancellation to be replicated.
    expedited_heartbeat_at: Time,
    /// Cluster attributes from the leader's latest heartbeat, for admission plug-ins.
    cluster_attributes: Vec<f64>,
    /// Numbers of done and running tasks by job from the leader's latest heartbeat, for display.
    task_counts: BTreeMap<String, (u32, u32)>,

    /// Users' requests that wait for the state service.
    requests: Requests,
    /// Dependency look-ups in progress for users' requests.
    dependency_lookups: DependencyLookups,
    job_cache: JobCache,
    final_records: FinalRecordCache,

    /// Status reports held until this controller knows whether it may answer them.
    deferred_reports: Vec<(RequestId, Box<StatusReport>)>,
    report_forwarder: ReportForwarder,
    /// What this follower last did with each worker's reports, by machine name.
    forwarding_history: HashMap<String, ForwardingHistory>,
    /// Number of unfinished probes by machine that this process sent in an earlier term as leader.
    previous_term_probes: HashMap<MachineId, u32>,
    /// Number of workers by the controller that they report to, this one included.
    workers_by_controller: BTreeMap<Arc<str>, usize>,
    /// Whether the leader distributes workers among the controllers.
    distributes_workers: bool,

    /// Machine types offered by the cloud; `None` until they are known.
    machine_types: Option<Arc<Vec<MachineType>>>,
    machine_types_requested_at: Time,
    /// Results of the policies for the next scheduling cycle.
    job_policies: CyclePolicy,
    /// The operators' scheduling policy, compiled.
    policy: SchedulingPolicy,
    plugin_host: PluginHost,
    plugins: Plugins,
    quota_accounts: QuotaAccounts,
    replicated_records: ReplicatedRecords,
    /// Earliest start of the next scheduling cycle: a long cycle is followed by a pause.
    next_cycle_at: Time,
    /// Number of scores computed since the process started.
    scores_computed: u64,

    /// What each consumer of memory in this controller may hold.
    budget: MemoryBudget,
    /// Load level, derived from how late timer ticks are handled.
    load_level: LoadMonitor,
    /// Processor time used by this controller.
    cpu: CpuAccounting,
    last_tick_at: Time,
    status_logged_at: Time,
    /// When a scale-out limited by controller capacity was last logged.
    scale_out_limit_logged_at: Time,
}

impl Controller {
    /// Creates a controller with default operator settings. `seed` determines all its random choices.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Now) -> Controller {
        Controller::with_operator_settings(settings, &OperatorSettings::default(), seed, now)
    }

    /// Creates a controller with the given operator settings and requests its first reads from the state service.
    /// `seed` determines all its random choices.
    #[expect(clippy::too_many_lines, reason = "one field a line")]
    pub fn with_operator_settings(
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
        let mut controller = Controller {
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
            cpu: CpuAccounting::new(limits.cores, now.monotonic),
            last_tick_at: 0,
            scale_out_limit_logged_at: 0,
            next_cycle_at: 0,
            status_logged_at: 0,
            requests: Requests::default(),
            dependency_lookups: DependencyLookups::default(),
            format_upgrade: FormatUpgrade::default(),
            job_cache: JobCache::new(budget.cached_jobs),
            final_records: FinalRecordCache::new(budget.cached_final_records),
            task_counts: BTreeMap::new(),
            peers: BTreeMap::new(),
            cancellations: CancellationQuorum::default(),
            answer_authority: AnswerAuthority::default(),
            forwarding_history: HashMap::new(),
            deferred_reports: Vec::new(),
            previous_term_probes: HashMap::new(),
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
        controller.read_leader_key();
        controller.store.push(
            StoreCall::Get(keys::MACHINE_TYPES.into()),
            CallContext::ReadMachineTypes,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
        controller
    }

    /// Takes the actions produced since the last call, and handles calls to the state service that expired unsent.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let (calls, expired) = self.store.take_due_calls(self.now.monotonic);
        self.actions.extend(calls.into_iter().map(|(id, call)| Action::CallStore(id, call)));
        for call in expired {
            self.on_store_response(call);
        }
        // While the lease is unconfirmed another controller may be the leader, so neither cloud calls nor commands to
        // workers are sent.
        if self.is_lease_confirmed() {
            let calls = self.cloud.take_due_calls(self.now.monotonic);
            self.actions.extend(calls.into_iter().map(Action::CallCloud));
            let commands = self.pending_commands.drain(..);
            self.actions.extend(commands.map(|(to, commands)| Action::SendCommands(to, commands)));
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles an event. `now` must not be earlier than that of the previous event. The resulting actions are
    /// returned by [`Controller::take_actions`].
    pub fn handle(&mut self, event: Event, now: Now) {
        let elapsed_ms = now.monotonic.saturating_sub(self.now.monotonic);
        self.now = now;
        if elapsed_ms >= PROCESS_PAUSE_THRESHOLD_MS {
            self.on_resume(elapsed_ms);
        }
        self.cpu.charge_event(&event, self.machine_count());
        self.route(event);
        self.answer_replicated_cancellations();
        self.run_cycle_if_due();
        self.forward_queued_reports();
        self.deliver_cluster_events();
    }

    /// Dispatches an event to its handler.
    fn route(&mut self, event: Event) {
        let now = self.now.monotonic;
        match event {
            Event::Tick => self.tick(),
            Event::UserRequest(id, request) => self.on_user_request(id, request),
            Event::StatusReport(id, report) => self.on_status_report(id, report),
            Event::CommandResponse(report) => self.on_command_response(&report),
            Event::StoreResponse(id, outcome) => {
                if let Some(call) = self.store.finish(id, outcome, now) {
                    self.on_store_response(call);
                }
            }
            Event::CloudResponse(call, outcome) => self.on_cloud_response(&call, &outcome),
            Event::ForwardedReports(id, reports) => self.on_forwarded_reports(id, &reports),
            Event::ForwardedAnswers(batch, answers) => self.on_forwarded_answers(batch, answers),
            Event::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            Event::AdminRequest(id, request) => self.on_admin(id, request),
            Event::DeliveryEnded(plugin, accepted) => {
                self.plugin_host.on_delivery_ended(&plugin, accepted, now);
            }
            Event::ProbeFinished(id, outcome, report) => {
                self.on_probe_finished(&id, outcome, report);
            }
            Event::CpuUsage(used_us, over_ms) => self.on_cpu_usage(used_us, over_ms),
        }
    }

    /// Whether this controller leads: it holds the leader's key and has loaded the cluster state.
    pub fn is_leader(&self) -> bool {
        self.leadership.phase() == LeadershipPhase::Leading
    }

    /// Number of scores computed since the process started: a measure of scheduling cost that does not depend on the
    /// processor's speed.
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }

    /// The leader's cluster state; `None` if this controller does not lead.
    pub fn cluster_state(&self) -> Option<&ClusterState> {
        self.cluster_state.as_ref()
    }

    /// Calls a function with the leader's cluster state and its context. Returns `None` without calling it if this
    /// controller does not lead.
    fn with_cluster_state<R>(
        &mut self,
        function: impl FnOnce(&mut ClusterState, &mut LeaderContext) -> R,
    ) -> Option<R> {
        let state = self.cluster_state.as_mut()?;
        let mut context = LeaderContext {
            now: self.now.monotonic,
            wall_clock: self.now.wall_clock,
            settings: &self.settings,
            store: &mut self.store,
        };
        Some(function(state, &mut context))
    }

    /// Periodic work of every controller, called at each timer tick.
    fn tick(&mut self) {
        let now = self.now.monotonic;
        self.update_load_level(now);
        self.start_election_if_due();
        self.maintain_leader_key();
        if self.machine_types.is_none() && now >= self.machine_types_requested_at + CLOUD_BACKOFF_MS
        {
            self.machine_types_requested_at = now;
            self.cloud.enqueue(cloud::CloudCall::ListTypes);
        }
        if now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS {
            self.heartbeat_sent_at = now;
            self.count_workers_by_controller();
            let heartbeat = self.build_heartbeat(false);
            self.actions.push(Action::SendHeartbeat(heartbeat));
        }
        if self.is_lease_confirmed() {
            self.run_leader_tick();
        } else {
            self.reject_deferred_reports_if_unconfirmed();
        }
        self.terminate_pending_machines();
        self.refresh_job_cache();
        self.update_plugins();
        self.update_records();
        self.log_status();
    }

    /// Starts an election by requesting a lease, if there is no leader and this controller's election delay has
    /// passed.
    fn start_election_if_due(&mut self) {
        let now = self.now.monotonic;
        let LeadershipPhase::Vacant(campaign_at) = self.leadership.phase() else { return };
        if now < campaign_at {
            return;
        }
        self.leadership.advance(LeadershipPhase::GrantingLease);
        let generation = self.leadership.generation;
        self.store.push(
            StoreCall::GrantLease { ttl_ms: LEASE_TTL_MS },
            CallContext::GrantLease { generation, requested_at: now },
            CallPriority::Leadership,
            RetryPolicy::OnceBefore(now + STORE_TIMEOUT_MS),
        );
    }

    /// Renews the lease if this controller holds the leader's key. Otherwise reads the key periodically in addition
    /// to watching it, which also shows whether the state service responds.
    fn maintain_leader_key(&mut self) {
        let now = self.now.monotonic;
        if self.leadership.holds_key() {
            if now >= self.leadership.renew_at {
                self.renew_lease();
            }
        } else if now >= self.leader_key_read_at + 2 * HEARTBEAT_INTERVAL_MS {
            self.read_leader_key();
        }
    }

    /// Periodic work of the leader. The order matters: later steps use the results of earlier ones, and the bindings
    /// made by all of them are written together.
    fn run_leader_tick(&mut self) {
        self.resign_if_isolated();
        self.poll_job_changes();
        self.update_answer_authority();
        self.update_binding_encoding();
        // While the lease is unconfirmed commands are not sent, and must not pile up.
        let max_stops =
            if self.pending_commands.is_empty() { self.max_stops_per_tick() } else { 0 };
        if let Some(state) = &mut self.cluster_state {
            self.pending_commands.extend(state.stop_commands(max_stops, self.now.monotonic));
        }
        self.update_quota_accounts();
        self.update_gpu_loans();
        self.update_deadline_plan();
        self.update_dependencies();
        self.manage_fleet();
        self.close_finished_jobs();
        self.with_cluster_state(|state, context| {
            state.write_binding_log(context);
            state.flush_all(context);
        });
        self.collect_stale_bindings();
        self.archive_finished_jobs();
    }

    /// Caches the final record of a job, to answer polls of it.
    fn cache_final_record(&mut self, id: &JobId, record: FinalRecord) {
        self.final_records.insert(id, record);
    }

    /// Numbers of done and running tasks of a job, for display. A follower has them from the leader's heartbeats.
    fn task_counts_of(&self, id: &str) -> (u32, u32) {
        match &self.cluster_state {
            Some(state) => state.jobs.get(id).map_or((0, 0), |job| job.task_counts()),
            None => self.task_counts.get(id).copied().unwrap_or((0, 0)),
        }
    }

    /// Number of tasks per binding chunk for a newly accepted job.
    fn tasks_per_chunk(&self) -> u32 {
        chunk_size(&self.settings.settings.state)
    }
}

/// Requests and writes per second that this controller may send to the state service. The leader has a fixed share
/// and the others divide the rest, so that all controllers together stay within the platform's limits.
fn store_rates(settings: &Settings, is_leader: bool) -> (f64, f64) {
    let state = &settings.settings.state;
    let others = settings.others.len();
    let share = if others == 0 {
        STORE_RATE_SHARE
    } else if is_leader {
        STORE_RATE_SHARE * LEADER_STORE_RATE_SHARE
    } else {
        STORE_RATE_SHARE * (1.0 - LEADER_STORE_RATE_SHARE) / others as f64
    };
    (state.rps * share, state.write_rps * share)
}
