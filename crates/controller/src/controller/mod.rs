//! One controller as a pure state machine: events and the time go in, actions come out.
//!
//! Nothing here does I/O, reads a clock or draws random numbers that its seed does not give. The runtime calls
//! [`Controller::handle`] with an event and the time, and then executes what [`Controller::take_actions`] returns.
//!
//! This module routes an event to the part that it concerns. The parts:
//!
//! - leadership: `leadership` (election, loading of the state), `peers` (heartbeats), `isolation`, `pause_detection`,
//!   `format_upgrade`, `pending_terminations`
//! - users: `requests`, `job_cache`, `dependency_lookup`, `final_records`
//! - workers: `worker_reports`, `report_forwarding`
//! - the leader's writes: `binding_log`, `chunks`; `store_calls` routes every response of the state service
//! - the leader's decisions: `scheduling_cycle`, `policy_evaluation`, `gpu_lending`, `deadline_planning`,
//!   `quota_accounts`
//! - records and operators: `replicated_records`, `plugins`, `admin`, `status`
//! - `cpu_accounting`: how much a cycle may do

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

/// One controller. See the module's documentation for its parts.
pub struct Controller {
    settings: Arc<Settings>,
    /// Random number of this process: tells its messages and keys from those of its predecessor.
    incarnation: u64,
    /// The clocks as of the event being handled.
    now: Now,
    rng: StdRng,
    /// Client of the state service.
    store: StoreClient<CallContext>,
    /// Client of the cloud.
    cloud: CloudClient,
    /// Actions to be executed after this event.
    actions: Vec<Action>,
    /// Commands to be sent directly to workers, by address, while the lease is confirmed.
    pending_commands: Vec<(String, DirectCommands)>,

    /// This controller's view of who leads.
    leadership: Leadership,
    /// When the leader's key was last read.
    leader_key_read_at: Time,
    /// Whether a watch of the leader's key is open.
    watching_leader_key: bool,
    /// The leader's state; none while this controller does not lead.
    cluster_state: Option<ClusterState>,
    /// The state that a new leader is reading from the store.
    loading_state: Option<ClusterState>,
    /// Cancellations that users may have been told of, and which controllers hold them.
    cancellations: CancellationQuorum,
    /// By what a leader answers its workers, as last logged.
    answer_authority: AnswerAuthority,
    /// Detects that this leader reaches nobody.
    isolation: Isolation,
    /// Machines to terminate for cancelled tasks while nobody leads.
    pending_terminations: PendingTerminations,
    /// Whether every controller reads the record format that this one writes.
    format_upgrade: FormatUpgrade,
    /// When the process last resumed after a pause.
    resumed_at: Time,

    /// The other controllers, by name, as of their last heartbeats.
    peers: BTreeMap<String, Peer>,
    heartbeat_sent_at: Time,
    /// When a heartbeat was last sent early because a user waits for a cancellation to be replicated.
    expedited_heartbeat_at: Time,
    /// Attributes of the cluster as the leader last told them, for admission plug-ins.
    cluster_attributes: Vec<f64>,
    /// Tasks done and running by job as the leader last told them, for display.
    task_counts: BTreeMap<String, (u32, u32)>,

    /// Users' requests that wait for the store.
    requests: Requests,
    /// Dependency look-ups under way for users' requests.
    dependency_lookups: DependencyLookups,
    job_cache: JobCache,
    final_records: FinalRecordCache,

    /// Status reports that wait until this controller knows whether it may answer them.
    deferred_reports: Vec<(RequestId, Box<StatusReport>)>,
    report_forwarder: ReportForwarder,
    /// What this follower has done with each worker's reports.
    forwarding_history: HashMap<String, ForwardingHistory>,
    /// Probes by machine that this process sent under an earlier leadership and that are still open.
    open_probes: HashMap<MachineId, u32>,
    /// Workers by the controller that they report to, this one under its own name.
    workers_by_controller: BTreeMap<Arc<str>, usize>,
    /// Whether workers are distributed among the controllers.
    distributes_workers: bool,

    /// Machine types of the cloud; none: not known yet.
    machine_types: Option<Arc<Vec<MachineType>>>,
    machine_types_requested_at: Time,
    /// Results of the policy for the next scheduling cycle.
    job_policies: CyclePolicy,
    /// The operators' compiled policy.
    policy: SchedulingPolicy,
    plugin_host: PluginHost,
    plugins: Plugins,
    quota_accounts: QuotaAccounts,
    replicated_records: ReplicatedRecords,
    /// No scheduling cycle before this time: the last one was long.
    next_cycle_at: Time,
    /// Scores computed so far.
    scores_computed: u64,

    /// What each part may hold in memory.
    budget: MemoryBudget,
    /// How far this controller is behind its timer.
    load_level: LoadMonitor,
    /// Processor time used by this controller.
    cpu: CpuAccounting,
    last_tick_at: Time,
    status_logged_at: Time,
    /// When a bound of the number of machines was last logged.
    bound_logged_at: Time,
}

impl Controller {
    /// A controller that has just started, without an operators' file.
    pub fn new(settings: Arc<Settings>, seed: u64, now: Now) -> Controller {
        Controller::with_operator_file(settings, &OperatorSettings::default(), seed, now)
    }

    /// A controller that has just started, with an operators' file. `seed` determines all its random choices.
    #[expect(clippy::too_many_lines, reason = "one field a line")]
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
            bound_logged_at: 0,
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
        controller.read_leader_key();
        controller.store.push(
            StoreCall::Get(keys::MACHINE_TYPES.into()),
            CallContext::ReadMachineTypes,
            CallPriority::Normal,
            RetryPolicy::UntilDefinite,
        );
        controller
    }

    /// Takes the actions that have come up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let (calls, expired) = self.store.take_due_calls(self.now.monotonic);
        self.actions.extend(calls.into_iter().map(|(id, call)| Action::CallStore(id, call)));
        for call in expired {
            self.on_store_response(call);
        }
        // While the lease is not confirmed another controller may lead: nothing is asked of the cloud, and no command is
        // sent.
        if self.is_lease_confirmed() {
            let calls = self.cloud.take_due_calls(self.now.monotonic);
            self.actions.extend(calls.into_iter().map(Action::CallCloud));
            let commands = self.pending_commands.drain(..);
            self.actions.extend(commands.map(|(to, commands)| Action::SendCommands(to, commands)));
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles an event. Time must not go back from one event to the next.
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

    /// Hands an event to the part that it concerns.
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
            Event::CloudResponse(call, outcome) => self.on_cloud(&call, &outcome),
            Event::ForwardedReports(id, reports) => self.on_forwarded_reports(id, &reports),
            Event::ForwardedAnswers(batch, answers) => self.on_forwarded_answers(batch, answers),
            Event::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            Event::AdminRequest(id, request) => self.on_admin(id, request),
            Event::DeliveryEnded(plugin, accepted) => {
                self.plugin_host.on_delivery_ended(&plugin, accepted, now);
            }
            Event::ProbeFinished(id, outcome, report) => self.on_probed(&id, outcome, report),
            Event::CpuUsage(used_us, over_ms) => self.on_cpu_usage(used_us, over_ms),
        }
    }

    /// Whether this controller leads: it holds the leader's key and has loaded the cluster state.
    pub fn is_leader(&self) -> bool {
        self.leadership.phase() == LeadershipPhase::Leading
    }

    /// Scores computed so far: the cost of scheduling, whatever the processor's speed.
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }

    /// The leader's cluster state; none if this controller does not lead.
    pub fn cluster_state(&self) -> Option<&ClusterState> {
        self.cluster_state.as_ref()
    }

    /// Runs a function on the leader's cluster state with its context; none if this controller does not lead.
    fn with_cluster_state<R>(
        &mut self,
        run: impl FnOnce(&mut ClusterState, &mut LeaderContext) -> R,
    ) -> Option<R> {
        let state = self.cluster_state.as_mut()?;
        let mut context = LeaderContext {
            now: self.now.monotonic,
            wall_clock: self.now.wall_clock,
            settings: &self.settings,
            store: &mut self.store,
        };
        Some(run(state, &mut context))
    }

    /// Periodic work of every controller.
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
            self.recheck_lease();
        }
        self.terminate_pending_machines();
        self.refresh_job_cache();
        self.update_plugins();
        self.update_records();
        self.log_status();
    }

    /// Asks for a lease when nobody leads and this controller's election delay is over.
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

    /// Renews the lease of a leader. Another controller reads the leader's key now and then, beside its watch: this also
    /// shows whether the store responds.
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

    /// Periodic work of the leader. The order matters: what is decided earlier counts for what comes later, and the
    /// bindings of all are written together.
    fn run_leader_tick(&mut self) {
        self.resign_if_isolated();
        self.poll_job_changes();
        self.update_answer_authority();
        if let Some(state) = &mut self.cluster_state {
            self.pending_commands.extend(state.stop_commands(self.now.monotonic));
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

    fn cache_final_record(&mut self, id: &JobId, record: FinalRecord) {
        self.final_records.insert(id, record);
    }

    /// Tasks of a job that are done and that run, for display. A follower knows them from the leader's heartbeats.
    fn task_counts_of(&self, id: &str) -> (u32, u32) {
        match &self.cluster_state {
            Some(state) => state.jobs.get(id).map_or((0, 0), |job| job.task_counts()),
            None => self.task_counts.get(id).copied().unwrap_or((0, 0)),
        }
    }

    /// Tasks in one binding chunk of a job accepted now.
    fn tasks_per_chunk(&self) -> u32 {
        chunk_size(&self.settings.settings.state)
    }
}

/// Store requests and writes a second that a controller may make: together the controllers stay within the platform's
/// limits.
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
