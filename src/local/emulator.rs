//! The actor that owns the emulated state service, cloud and machines of `swiftsail local`, which are pure state machines.
//! It reads the clock, applies faults, and sends the workers' reports to the controllers.

use super::config::{LocalConfig, PortPlan, controller_number, zone_of_controller};
use super::faults::Fault;
use super::persistence::Persistence;
use crate::constants::{
    EXIT_STATUS_REJECTED, LOCAL_MAX_MACHINES, LOCAL_PARTITION_HOLD_MS, LOCAL_RECLAIM_NOTICE_MS,
    LOCAL_STEP_INTERVAL_MS,
};
use actix::prelude::*;
use awc::Client;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use swiftsail_controller::job::{JobRecord, keys};
use swiftsail_controller::leadership::LeaderRecord;
use swiftsail_protocol::cloud::{MachineNames, NO_CAPACITY, ProvisionMachinesRequest};
use swiftsail_protocol::state::{self, LeaseResponse, Transaction};
use swiftsail_protocol::workers::{
    CommandKind, DirectCommands, HeartbeatResponse, Redirect, StatusReport, path,
};
use swiftsail_protocol::{decode, encode};
use swiftsail_simulation::cluster::SimulatedCluster;
use swiftsail_simulation::constants::MAX_WATCH_WAIT_MS;
use swiftsail_simulation::store::{CompactedRevision, FakeStore, TransactionResult};
use tokio::sync::{mpsc, oneshot, watch};

/// A response: HTTP status and body.
pub type RawResponse = (u16, Vec<u8>);

/// A call to the emulated state service, cloud or workers.
#[derive(Debug)]
pub enum EmulatorCall {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List { prefix: String, from: Option<String>, limit: usize },
    /// Apply a transaction.
    Commit(Box<Transaction>),
    /// Create a lease with this time to live, ms.
    CreateLease(u64),
    /// Renew the lease of this id.
    RenewLease(u64),
    /// Revoke the lease of this id.
    RevokeLease(u64),
    /// Read changes, or wait for them for up to `block_ms` ms.
    Watch { prefix: String, from_revision: u64, block_ms: u64 },
    /// List the machine types.
    ListMachineTypes,
    /// Provision machines.
    ProvisionMachines(ProvisionMachinesRequest),
    /// Terminate machines of these names.
    ReleaseMachines(Vec<String>),
    /// Read a page of the machine list.
    ListMachines { from: Option<String>, limit: usize },
    /// Send commands directly to the worker with this socket number.
    SendCommands(usize, Box<DirectCommands>),
    /// Request a status report from the worker with this socket number.
    ProbeWorker(usize),
}

/// A call, with the number of the calling controller if it is known.
#[derive(Message)]
#[rtype(result = "RawResponse")]
pub struct EmulatorRequest(pub Option<usize>, pub EmulatorCall);

/// Injects a fault.
#[derive(Message)]
#[rtype(result = "RawResponse")]
pub struct InjectFault(pub Fault);

/// Requests the status of the emulated cluster.
#[derive(Message)]
#[rtype(result = "EmulatorStatus")]
pub struct GetEmulatorStatus;

/// Status of the emulated cluster.
#[derive(Debug, Clone, Serialize)]
pub struct EmulatorStatus {
    /// Name of the leader.
    pub leader: Option<String>,
    /// Number of jobs that have not ended.
    pub jobs: usize,
    /// Number of provisioned machines.
    pub machines: usize,
    /// Number of provisioned machines that have booted.
    #[serde(rename = "up")]
    pub machines_up: usize,
    /// Number of tasks on machines.
    pub tasks: usize,
    /// Number of tasks that have completed.
    #[serde(rename = "done")]
    pub tasks_done: usize,
    /// Number of tasks killed because a worker's lease expired.
    #[serde(rename = "killed")]
    pub tasks_killed: u64,
    /// Total cost of the machines, in the currency unit of the machine prices.
    #[serde(rename = "spent")]
    pub money_spent: f64,
}

#[derive(Message)]
#[rtype(result = "()")]
struct ReportAnswered {
    worker: String,
    session: u64,
    sent_at: u64,
    /// `None` if the controller did not respond.
    response: Option<RawResponse>,
}

/// A watch that waits for changes.
struct PendingWatch {
    response_sender: oneshot::Sender<RawResponse>,
    controller: Option<usize>,
    prefix: String,
    from_revision: u64,
    expires_at: u64,
}

/// The emulated state service, cloud and machines.
pub struct Emulator {
    store: FakeStore,
    persistence: Option<Persistence>,
    cluster: SimulatedCluster,
    ports: PortPlan,
    zones: Vec<String>,
    controller_count: usize,
    client: Client,
    started_at: Instant,
    /// End of the state service's outage, ms after the start.
    store_outage_until: u64,
    /// End of the state service's outage for single controllers, ms after the start.
    store_outage_until_by_controller: BTreeMap<usize, u64>,
    /// End of the cloud's outage, ms after the start.
    cloud_outage_until: u64,
    /// The partitioned zone, and the end of the partition, ms after the start.
    zone_partition: Option<(String, u64)>,
    partitioned_zones: watch::Sender<BTreeSet<String>>,
    crash_requests: mpsc::UnboundedSender<usize>,
    /// Numbers of the workers' sockets that no machine uses.
    free_sockets: Vec<usize>,
    /// Names of the machines that use the other sockets.
    machine_by_socket: BTreeMap<usize, String>,
    pending_watches: Vec<PendingWatch>,
}

fn unavailable() -> RawResponse {
    (503, encode(&json!({ "error": "trouble" })))
}

/// Stops the process, because a change that is not on disk must not be confirmed.
fn persistence_failure(cause: &redb::Error) -> RawResponse {
    tracing::error!(%cause, "cannot write to the data folder; stopping. Free disk space, then restart");
    System::current().stop_with_code(i32::from(EXIT_STATUS_REJECTED));
    unavailable()
}

fn malformed(cause: &str) -> RawResponse {
    (400, encode(&json!({ "error": cause })))
}

impl Emulator {
    /// Creates an emulator with the contents of `persistence`, if there are any, or an empty one. Sends the partitioned
    /// zones to `partitioned_zones`, and the numbers of controllers to be killed to `crash_requests`.
    pub fn new(
        config: &LocalConfig,
        ports: PortPlan,
        controller_count: usize,
        (speed, seed): (f64, u64),
        persistence: Option<Persistence>,
        partitioned_zones: watch::Sender<BTreeSet<String>>,
        crash_requests: mpsc::UnboundedSender<usize>,
    ) -> Result<Emulator, redb::Error> {
        let platform = config.platform();
        let (pairs, revision) =
            persistence.as_ref().map(Persistence::load).transpose()?.unwrap_or_default();
        let offers = config.cloud_offers();
        let mut cluster =
            SimulatedCluster::new(offers, platform.clone(), controller_count, speed, seed, 0);
        let last_machine_number =
            persistence.as_ref().map(Persistence::last_machine_number).transpose()?.unwrap_or(0);
        cluster.cloud.raise_last_machine_number(last_machine_number);
        let timeout =
            Duration::from_millis(swiftsail_simulation::constants::WORKER_ANSWER_TIMEOUT_MS);
        Ok(Emulator {
            store: FakeStore::restore(platform.state.clone(), 0, pairs, revision),
            persistence,
            cluster,
            ports,
            zones: config.zones.clone(),
            controller_count,
            client: Client::builder().disable_redirects().timeout(timeout).finish(),
            started_at: Instant::now(),
            store_outage_until: 0,
            store_outage_until_by_controller: BTreeMap::new(),
            cloud_outage_until: 0,
            zone_partition: None,
            partitioned_zones,
            crash_requests,
            free_sockets: (0..config.max_machines().min(LOCAL_MAX_MACHINES)).rev().collect(),
            machine_by_socket: BTreeMap::new(),
            pending_watches: Vec::new(),
        })
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Whether a partition separates a zone from a controller.
    fn is_partitioned_from_zone(&self, zone: &str, node: usize) -> bool {
        let controller_zone = zone_of_controller(&self.zones, node);
        let partition =
            self.zone_partition.as_ref().filter(|(_, until)| self.elapsed_ms() < *until);
        partition.is_some_and(|(partitioned, _)| {
            zone != controller_zone && (zone == partitioned || controller_zone == *partitioned)
        })
    }

    /// Whether a partition separates a controller from the state service and the cloud, which are in no zone.
    fn is_isolated(&self, node: Option<usize>) -> bool {
        let partition =
            self.zone_partition.as_ref().filter(|(_, until)| self.elapsed_ms() < *until);
        node.is_some_and(|n| {
            partition.is_some_and(|(zone, _)| *zone == zone_of_controller(&self.zones, n))
        })
    }

    /// Executes a call to the state service. Gives any other call back as the error.
    fn store_call(
        &mut self,
        node: Option<usize>,
        call: EmulatorCall,
    ) -> Result<RawResponse, EmulatorCall> {
        let now = self.elapsed_ms();
        let is_unavailable_to_caller = node
            .and_then(|n| self.store_outage_until_by_controller.get(&n))
            .is_some_and(|until| now < *until);
        if now < self.store_outage_until || is_unavailable_to_caller {
            return Ok(unavailable());
        }
        let mutation_count = match &call {
            EmulatorCall::Commit(transaction) => transaction.mutations.len(),
            _ => 0,
        };
        if !self.store.admit(mutation_count, now) {
            return Ok((429, encode(&json!({ "error": "too many requests" }))));
        }
        let no_such_lease = || (404, encode(&json!({ "error": "no such lease" })));
        Ok(match call {
            EmulatorCall::Get(key) => match self.store.get(&key) {
                Some(pair) => (200, encode(pair)),
                None => (404, encode(&json!({ "epoch": self.store.revision() }))),
            },
            EmulatorCall::List { prefix, from, limit } => {
                (200, encode(&self.store.list(&prefix, from.as_deref(), limit)))
            }
            EmulatorCall::Commit(transaction) => self.commit(&transaction),
            EmulatorCall::CreateLease(ttl_ms) => match self.store.create_lease(ttl_ms, now) {
                Some(lease) => (200, encode(&LeaseResponse { lease })),
                None => malformed("ttl_ms is from 100 to 600000"),
            },
            EmulatorCall::RenewLease(id) if self.store.renew_lease(id, now) => {
                (200, encode(&json!({})))
            }
            EmulatorCall::RenewLease(_) => no_such_lease(),
            EmulatorCall::RevokeLease(id) => {
                self.store.revoke_lease(id);
                (200, encode(&json!({})))
            }
            other => return Err(other),
        })
    }

    /// Applies a transaction, and records it on disk before it is confirmed.
    fn commit(&mut self, transaction: &Transaction) -> RawResponse {
        match self.store.apply_transaction(transaction) {
            TransactionResult::Committed(revision) => {
                let store = &self.store;
                let persistence =
                    self.persistence.as_ref().filter(|_| !transaction.mutations.is_empty());
                let recorded = persistence.map(|p| {
                    p.record_transaction(transaction, revision, |key| store.get(key).cloned())
                });
                if let Some(Err(e)) = recorded {
                    return persistence_failure(&e);
                }
                (200, encode(&state::TransactionResponse { revision, failed_keys: Vec::new() }))
            }
            TransactionResult::PreconditionFailed(failed_keys) => (
                409,
                encode(&state::TransactionResponse {
                    revision: self.store.revision(),
                    failed_keys,
                }),
            ),
            TransactionResult::LeaseNotFound => malformed("no such lease"),
            TransactionResult::Malformed(cause) => malformed(&cause),
        }
    }

    /// Executes a call to the cloud.
    fn cloud_call(&mut self, call: EmulatorCall) -> RawResponse {
        let now = self.elapsed_ms();
        if now < self.cloud_outage_until {
            return unavailable();
        }
        if !self.cluster.cloud.admit(now) {
            return (429, encode(&json!({ "error": "too many requests" })));
        }
        match call {
            EmulatorCall::ListMachineTypes => {
                (200, encode(&self.cluster.cloud.list_machine_types(now)))
            }
            EmulatorCall::ProvisionMachines(request) => match self.cluster.provision(&request, now)
            {
                None => malformed("no such type or zone, or a number that is not from 1 to 50"),
                Some(names) if names.is_empty() => (503, encode(&json!({ "error": NO_CAPACITY }))),
                Some(names) => {
                    names.iter().for_each(|name| self.assign_socket(name));
                    let number = self.cluster.cloud.last_machine_number();
                    let recorded =
                        self.persistence.as_ref().map(|p| p.record_last_machine_number(number));
                    if let Some(Err(e)) = recorded {
                        return persistence_failure(&e);
                    }
                    (200, encode(&MachineNames { machines: names }))
                }
            },
            EmulatorCall::ReleaseMachines(names)
                if names.len() > swiftsail_simulation::constants::MAX_RELEASE_MACHINES =>
            {
                malformed("more than 100 names")
            }
            EmulatorCall::ReleaseMachines(names) => {
                self.cluster.terminate(&names, false, now);
                self.release_sockets();
                (200, encode(&json!({})))
            }
            EmulatorCall::ListMachines { from, limit } => {
                (200, encode(&self.cluster.cloud.list_machines(from.as_deref(), limit, now)))
            }
            _ => malformed("no such call"),
        }
    }

    /// Assigns a free socket to the worker of a new machine.
    fn assign_socket(&mut self, name: &str) {
        let Some(worker) = self.cluster.workers.get_mut(name) else { return };
        if self.machine_by_socket.values().any(|n| n == name) {
            return;
        }
        if let Some(socket) = self.free_sockets.pop() {
            worker.address = self.ports.worker(socket).to_string();
            self.cluster.cloud.set_address(name, worker.address.clone());
            self.machine_by_socket.insert(socket, name.to_string());
        }
    }

    /// Removes the workers of terminated machines and frees their sockets.
    fn release_sockets(&mut self) {
        let is_terminated =
            |name: &String| self.cluster.workers.get(name).is_none_or(|w| w.is_terminated);
        let free: Vec<usize> = self
            .machine_by_socket
            .iter()
            .filter(|(_, n)| is_terminated(n))
            .map(|(s, _)| *s)
            .collect();
        for socket in free {
            self.machine_by_socket.remove(&socket);
            self.free_sockets.insert(0, socket);
        }
        self.cluster.workers.retain(|_, w| !w.is_terminated);
    }

    /// Returns the name of the leader, according to the state service.
    fn leader_name(&self) -> Option<String> {
        let pair = self.store.get(keys::LEADER)?;
        serde_json::from_value::<LeaderRecord>(pair.value.clone()).ok().map(|r| r.node)
    }

    /// Executes a call to a worker. The caller is taken to be the leader. Returns none if the worker does not answer.
    fn worker_call(&mut self, socket: usize, call: EmulatorCall) -> Option<RawResponse> {
        let now = self.elapsed_ms();
        let name = self.machine_by_socket.get(&socket)?.clone();
        let zone = self.cluster.workers.get(&name)?.hardware.zone.clone();
        let leader = self.leader_name().and_then(|l| controller_number(&l));
        if leader.is_some_and(|n| self.is_partitioned_from_zone(&zone, n)) {
            return None;
        }
        match call {
            EmulatorCall::SendCommands(_, commands) => {
                let (executed, report) =
                    self.cluster.handle_direct_commands(&name, &commands, now)?;
                Some((if executed { 200 } else { 409 }, encode(&report)))
            }
            _ => {
                let worker =
                    self.cluster.workers.get_mut(&name).filter(|w| w.is_responsive(now))?;
                Some((200, encode(&worker.build_report(now))))
            }
        }
    }

    /// Registers the specs of the jobs whose tasks these commands start. Workers fetch a spec that users have uploaded; the
    /// emulator takes it from the job's record in the state service.
    fn register_job_specs(&mut self, response: &HeartbeatResponse) {
        for command in response.commands.iter().filter(|c| c.kind == CommandKind::Start) {
            let Some((job, _)) = command.task.rsplit_once('/') else { continue };
            if self.cluster.has_job(job) {
                continue;
            }
            let record = self.store.get(&keys::job(job)).map(|p| p.value.clone());
            let record = record.and_then(|v| serde_json::from_value::<JobRecord>(v).ok());
            if let Some(record) = record {
                self.cluster.register_job(job, record.spec, false);
            }
        }
    }

    /// Advances the state service and all machines to the current time, and sends the reports that are due.
    fn run_step(&mut self, ctx: &mut Context<Self>) {
        let now = self.elapsed_ms();
        self.store.expire_leases(now, now < self.store_outage_until);
        if self.zone_partition.as_ref().is_some_and(|(_, until)| now >= *until) {
            self.zone_partition = None;
            self.partitioned_zones.send_modify(BTreeSet::clear);
        }
        let names: Vec<String> = self.cluster.workers.keys().cloned().collect();
        for name in names {
            let Some((node, report)) = self.cluster.step_machine(&name, now) else { continue };
            let zone = report.zone.clone();
            if self.is_partitioned_from_zone(&zone, node) {
                continue;
            }
            self.send_report(node, report, now, ctx);
        }
        self.release_sockets();
        self.answer_watches();
    }

    /// Sends a worker's report to a controller. The response arrives as a [`ReportAnswered`] message.
    fn send_report(
        &self,
        node: usize,
        report: StatusReport,
        sent_at: u64,
        ctx: &mut Context<Self>,
    ) {
        let url = format!("http://{}{}", self.ports.http(node), path::REPORT);
        let (client, actor) = (self.client.clone(), ctx.address());
        actix::spawn(async move {
            let request = client.post(url).insert_header(("Content-Type", "application/msgpack"));
            let response = match request.send_body(encode(&report)).await {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    response.body().await.ok().map(|body| (status, body.to_vec()))
                }
                Err(_) => None,
            };
            actor.do_send(ReportAnswered {
                worker: report.machine,
                session: report.session,
                sent_at,
                response,
            });
        });
    }

    /// Responds to the waiting watches for which there are changes, or whose time is over.
    fn answer_watches(&mut self) {
        let now = self.elapsed_ms();
        for n in (0..self.pending_watches.len()).rev() {
            let PendingWatch { controller, prefix, from_revision, expires_at, .. } =
                &self.pending_watches[n];
            let is_unavailable_to_caller = controller
                .and_then(|n| self.store_outage_until_by_controller.get(&n))
                .is_some_and(|until| now < *until);
            // Open watches stay open during an outage.
            if now < self.store_outage_until || is_unavailable_to_caller {
                continue;
            }
            let response = match self.store.changes_since(prefix, *from_revision) {
                Err(CompactedRevision) => (410, encode(&json!({ "error": "too old" }))),
                Ok(Some(changes)) => (200, encode(&changes)),
                Ok(None) if now >= *expires_at => (200, encode(&self.store.empty_watch_response())),
                Ok(None) => continue,
            };
            let _ = self.pending_watches.swap_remove(n).response_sender.send(response);
        }
    }

    /// Starts a fault. Responds with a description of it, or with the reason why it is invalid.
    fn inject_fault(&mut self, fault: Fault) -> RawResponse {
        if let Some(error) = fault.validation_error(self.controller_count, &self.zones) {
            return (422, serde_json::to_vec(&json!({ "error": error })).unwrap_or_default());
        }
        let now = self.elapsed_ms();
        let end = |seconds: f64| now + (seconds * 1000.0) as u64;
        tracing::warn!(?fault, "fault requested");
        let description = match fault {
            Fault::Crash { node } => {
                let _ = self.crash_requests.send(node);
                format!("controller {node} is killed, and starts again in 3 s")
            }
            Fault::Store { seconds, node: Some(node) } => {
                self.store_outage_until_by_controller.insert(node, end(seconds));
                format!("the state service refuses controller {node} for {seconds} s")
            }
            Fault::Store { seconds, node: None } => {
                self.store_outage_until = end(seconds);
                format!("the state service is away for {seconds} s")
            }
            Fault::Cloud { seconds } => {
                self.cloud_outage_until = end(seconds);
                format!("the cloud's interface is away for {seconds} s")
            }
            Fault::Zone { zone, seconds } => {
                self.partitioned_zones.send_modify(|zones| *zones = BTreeSet::from([zone.clone()]));
                self.zone_partition = Some((zone.clone(), end(seconds)));
                format!("zone {zone} is cut off for {seconds} s")
            }
            Fault::Spot { number } => {
                let reclaimed =
                    self.cluster.reclaim_spot_machines(number, LOCAL_RECLAIM_NOTICE_MS, now);
                format!("{reclaimed} spot machines are being taken")
            }
            Fault::Hang { number, seconds } => {
                let hung = self.cluster.hang_machines(number, (seconds * 1000.0) as u64, now);
                format!("{hung} machines hang for {seconds} s")
            }
            Fault::Spoil { number } => {
                format!(
                    "{} machines fail what they start",
                    self.cluster.make_machines_faulty(number, now)
                )
            }
        };
        (200, serde_json::to_vec(&json!({ "done": description })).unwrap_or_default())
    }
}

impl Actor for Emulator {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(LOCAL_STEP_INTERVAL_MS), |emulator, ctx| {
            emulator.run_step(ctx)
        });
    }
}

impl Handler<EmulatorRequest> for Emulator {
    type Result = ResponseFuture<RawResponse>;

    fn handle(&mut self, msg: EmulatorRequest, _: &mut Self::Context) -> Self::Result {
        let EmulatorRequest(node, call) = msg;
        // A request across a partition is held for longer than its sender waits.
        let no_response = || -> ResponseFuture<RawResponse> {
            Box::pin(async {
                actix_rt::time::sleep(Duration::from_millis(LOCAL_PARTITION_HOLD_MS)).await;
                unavailable()
            })
        };
        if self.is_isolated(node) {
            return no_response();
        }
        let response = match call {
            EmulatorCall::SendCommands(socket, _) | EmulatorCall::ProbeWorker(socket) => {
                match self.worker_call(socket, call) {
                    Some(response) => response,
                    None => return no_response(),
                }
            }
            EmulatorCall::Watch { prefix, from_revision, block_ms } => {
                let now = self.elapsed_ms();
                if now < self.store_outage_until || !self.store.admit(0, now) {
                    return Box::pin(std::future::ready(unavailable()));
                }
                let (response_sender, response) = oneshot::channel();
                let expires_at = now + block_ms.min(MAX_WATCH_WAIT_MS);
                self.pending_watches.push(PendingWatch {
                    response_sender,
                    controller: node,
                    prefix,
                    from_revision,
                    expires_at,
                });
                self.answer_watches();
                return Box::pin(async move { response.await.unwrap_or_else(|_| unavailable()) });
            }
            EmulatorCall::ListMachineTypes
            | EmulatorCall::ProvisionMachines(_)
            | EmulatorCall::ReleaseMachines(_)
            | EmulatorCall::ListMachines { .. } => self.cloud_call(call),
            other => {
                let response =
                    self.store_call(node, other).unwrap_or_else(|_| malformed("no such call"));
                // A transaction may have changed what waiting watches observe.
                self.answer_watches();
                response
            }
        };
        Box::pin(std::future::ready(response))
    }
}

impl Handler<ReportAnswered> for Emulator {
    type Result = ();

    fn handle(&mut self, msg: ReportAnswered, _: &mut Self::Context) {
        let now = self.elapsed_ms();
        let ReportAnswered { worker: name, session, sent_at, response } = msg;
        if let Some((200, body)) = &response
            && let Ok(commands) = decode::<HeartbeatResponse>(body)
        {
            self.register_job_specs(&commands);
            return self.cluster.handle_heartbeat_response(&name, &commands, session, sent_at, now);
        }
        let Some(worker) = self.cluster.workers.get_mut(&name) else { return };
        match response {
            Some((421, body)) => {
                let target = decode::<Redirect>(&body).ok().and_then(|r| r.controller);
                worker.handle_redirect(
                    sent_at,
                    target.and_then(|name| controller_number(&name)),
                    now,
                );
            }
            _ => worker.handle_report_timeout(sent_at, now),
        }
    }
}

impl Handler<InjectFault> for Emulator {
    type Result = MessageResult<InjectFault>;

    fn handle(&mut self, msg: InjectFault, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.inject_fault(msg.0))
    }
}

impl Handler<GetEmulatorStatus> for Emulator {
    type Result = MessageResult<GetEmulatorStatus>;

    fn handle(&mut self, _: GetEmulatorStatus, _: &mut Self::Context) -> Self::Result {
        let now = self.elapsed_ms();
        let workers = || self.cluster.workers.values().filter(|w| !w.is_terminated);
        let status = EmulatorStatus {
            leader: self.leader_name(),
            jobs: self.store.count_keys(keys::JOBS),
            machines: workers().count(),
            machines_up: workers().filter(|w| now >= w.up_at).count(),
            tasks: workers().flat_map(|w| &w.tasks).filter(|t| t.is_on_machine()).count(),
            tasks_done: self.cluster.finished_tasks.len(),
            tasks_killed: workers().map(|w| w.tasks_killed).sum(),
            money_spent: self.cluster.cloud.money_spent(now),
        };
        MessageResult(status)
    }
}
