//! The actor that owns the pure machines of `swiftsail local`: state service, cloud and plant. It
//! reads the clock, applies faults, and carries workers' reports to the controllers.

use super::config::{LocalConfig, PortPlan, controller_number, zone_of_controller};
use super::faults::Fault;
use super::persistence::Persistence;
use crate::constants::{
    EXIT_STATUS_REFUSED, LOCAL_MAX_MACHINES, LOCAL_PARTITION_HOLD_MS, LOCAL_RECLAIM_NOTICE_MS,
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

/// An answer: status and body.
pub type RawResponse = (u16, Vec<u8>);

/// What is asked of the world outside the controllers.
#[derive(Debug)]
pub enum EmulatorCall {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List { prefix: String, from: Option<String>, limit: usize },
    /// A transaction.
    Commit(Box<Transaction>),
    /// A new lease.
    CreateLease(u64),
    /// Extend a lease.
    RenewLease(u64),
    /// End a lease.
    RevokeLease(u64),
    /// Wait for changes.
    Watch { prefix: String, from_revision: u64, block_ms: u64 },
    /// Machine types.
    ListMachineTypes,
    /// Rent.
    ProvisionMachines(ProvisionMachinesRequest),
    /// Return.
    ReleaseMachines(Vec<String>),
    /// The machine list.
    ListMachines { from: Option<String>, limit: usize },
    /// Commands straight to the worker at an address.
    SendCommands(usize, Box<DirectCommands>),
    /// A worker's report on request.
    ProbeWorker(usize),
}

/// A call, and which controller's way it came by.
#[derive(Message)]
#[rtype(result = "RawResponse")]
pub struct EmulatorRequest(pub Option<usize>, pub EmulatorCall);

/// A fault that is asked for.
#[derive(Message)]
#[rtype(result = "RawResponse")]
pub struct InjectFault(pub Fault);

/// How things stand, in a line.
#[derive(Message)]
#[rtype(result = "EmulatorStatus")]
pub struct GetEmulatorStatus;

/// How things stand.
#[derive(Debug, Clone, Serialize)]
pub struct EmulatorStatus {
    /// Controller that leads.
    pub leader: Option<String>,
    /// Jobs not over.
    pub jobs: usize,
    /// Machines rented, and those up.
    pub machines: usize,
    /// See `machines`.
    #[serde(rename = "up")]
    pub machines_up: usize,
    /// Tasks on machines.
    pub tasks: usize,
    /// Tasks that have completed.
    #[serde(rename = "done")]
    pub tasks_done: usize,
    /// Tasks killed by the end of a worker's lease.
    #[serde(rename = "killed")]
    pub tasks_killed: u64,
    /// Money spent.
    #[serde(rename = "spent")]
    pub money_spent: f64,
}

#[derive(Message)]
#[rtype(result = "()")]
struct ReportAnswered {
    worker: String,
    session: u64,
    sent_at: u64,
    answer: Option<RawResponse>,
}

/// A watch that waits.
struct PendingWatch {
    answer: oneshot::Sender<RawResponse>,
    controller: Option<usize>,
    prefix: String,
    from_revision: u64,
    expires_at: u64,
}

/// The world outside the controllers.
pub struct Emulator {
    store: FakeStore,
    persistence: Option<Persistence>,
    cluster: SimulatedCluster,
    ports: PortPlan,
    zones: Vec<String>,
    controller_count: usize,
    client: Client,
    started_at: Instant,
    /// Ends of faults, ms.
    store_outage_until: u64,
    store_outage_until_by_controller: BTreeMap<usize, u64>,
    cloud_outage_until: u64,
    zone_partition: Option<(String, u64)>,
    partitioned_zones: watch::Sender<BTreeSet<String>>,
    crash_requests: mpsc::UnboundedSender<usize>,
    /// Sockets of workers: which are free, and whose the others are.
    free_sockets: Vec<usize>,
    machine_by_socket: BTreeMap<usize, String>,
    pending_watches: Vec<PendingWatch>,
}

fn unavailable() -> RawResponse {
    (503, encode(&json!({ "error": "trouble" })))
}

/// What is not on disk must not be answered as if it were.
fn persistence_failure(cause: &redb::Error) -> RawResponse {
    tracing::error!(%cause, "cannot write the data folder: free space, then restart");
    System::current().stop_with_code(i32::from(EXIT_STATUS_REFUSED));
    unavailable()
}

fn malformed(why: &str) -> RawResponse {
    (400, encode(&json!({ "error": why })))
}

impl Emulator {
    /// A world as it was kept, or a new one. `links` is told which zones are cut off, `crash` which
    /// controller is to be killed.
    pub fn new(
        model: &LocalConfig,
        ports: PortPlan,
        nodes: usize,
        (speed, seed): (f64, u64),
        keep: Option<Persistence>,
        links: watch::Sender<BTreeSet<String>>,
        crash: mpsc::UnboundedSender<usize>,
    ) -> Result<Emulator, redb::Error> {
        let platform = model.platform();
        let (pairs, epoch) = keep.as_ref().map(Persistence::load).transpose()?.unwrap_or_default();
        let mut plant =
            SimulatedCluster::new(model.cloud_offers(), platform.clone(), nodes, speed, seed, 0);
        let named = keep.as_ref().map(Persistence::machines_named).transpose()?.unwrap_or(0);
        plant.cloud.raise_last_machine_number(named);
        let timeout =
            Duration::from_millis(swiftsail_simulation::constants::WORKER_ANSWER_TIMEOUT_MS);
        Ok(Emulator {
            store: FakeStore::restore(platform.state.clone(), 0, pairs, epoch),
            persistence: keep,
            cluster: plant,
            ports,
            zones: model.zones.clone(),
            controller_count: nodes,
            client: Client::builder().disable_redirects().timeout(timeout).finish(),
            started_at: Instant::now(),
            store_outage_until: 0,
            store_outage_until_by_controller: BTreeMap::new(),
            cloud_outage_until: 0,
            zone_partition: None,
            partitioned_zones: links,
            crash_requests: crash,
            free_sockets: (0..model.max_machines().min(LOCAL_MAX_MACHINES)).rev().collect(),
            machine_by_socket: BTreeMap::new(),
            pending_watches: Vec::new(),
        })
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Whether a cut lies between a zone and a controller.
    fn is_partitioned_from_zone(&self, zone: &str, node: usize) -> bool {
        let other = zone_of_controller(&self.zones, node);
        let cut = self.zone_partition.as_ref().filter(|(_, until)| self.elapsed_ms() < *until);
        cut.is_some_and(|(lost, _)| zone != other && (zone == lost || other == *lost))
    }

    /// Whether a controller is cut off from what belongs to no zone.
    fn is_isolated(&self, node: Option<usize>) -> bool {
        let cut = self.zone_partition.as_ref().filter(|(_, until)| self.elapsed_ms() < *until);
        node.is_some_and(|n| {
            cut.is_some_and(|(lost, _)| *lost == zone_of_controller(&self.zones, n))
        })
    }

    fn state_call(
        &mut self,
        node: Option<usize>,
        call: EmulatorCall,
    ) -> Result<RawResponse, EmulatorCall> {
        let now = self.elapsed_ms();
        let alone = node
            .and_then(|n| self.store_outage_until_by_controller.get(&n))
            .is_some_and(|until| now < *until);
        if now < self.store_outage_until || alone {
            return Ok(unavailable());
        }
        let changes =
            if let EmulatorCall::Commit(commit) = &call { commit.mutations.len() } else { 0 };
        if !self.store.admit(changes, now) {
            return Ok((429, encode(&json!({ "error": "too many requests" }))));
        }
        let no_grant = || (404, encode(&json!({ "error": "no such lease" })));
        Ok(match call {
            EmulatorCall::Get(key) => match self.store.get(&key) {
                Some(pair) => (200, encode(pair)),
                None => (404, encode(&json!({ "epoch": self.store.revision() }))),
            },
            EmulatorCall::List { prefix, from, limit: most } => {
                (200, encode(&self.store.list(&prefix, from.as_deref(), most)))
            }
            EmulatorCall::Commit(commit) => self.commit(&commit),
            EmulatorCall::CreateLease(ttl_ms) => match self.store.create_lease(ttl_ms, now) {
                Some(mooring) => (200, encode(&LeaseResponse { lease: mooring })),
                None => malformed("ttl_ms is from 100 to 600000"),
            },
            EmulatorCall::RenewLease(id) if self.store.renew_lease(id, now) => {
                (200, encode(&json!({})))
            }
            EmulatorCall::RenewLease(_) => no_grant(),
            EmulatorCall::RevokeLease(id) => {
                self.store.revoke_lease(id);
                (200, encode(&json!({})))
            }
            other => return Err(other),
        })
    }

    fn commit(&mut self, commit: &Transaction) -> RawResponse {
        match self.store.apply_transaction(commit) {
            TransactionResult::Committed(epoch) => {
                let store = &self.store;
                let kept = self.persistence.as_ref().filter(|_| !commit.mutations.is_empty());
                let kept = kept
                    .map(|k| k.record_transaction(commit, epoch, |key| store.get(key).cloned()));
                if let Some(Err(e)) = kept {
                    return persistence_failure(&e);
                }
                (
                    200,
                    encode(&state::TransactionResponse {
                        revision: epoch,
                        failed_keys: Vec::new(),
                    }),
                )
            }
            TransactionResult::PreconditionFailed(failed) => (
                409,
                encode(&state::TransactionResponse {
                    revision: self.store.revision(),
                    failed_keys: failed,
                }),
            ),
            TransactionResult::LeaseNotFound => malformed("no such lease"),
            TransactionResult::Malformed(why) => malformed(&why),
        }
    }

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
            EmulatorCall::ProvisionMachines(rent) => match self.cluster.provision(&rent, now) {
                None => malformed("no such type or zone, or a number that is not from 1 to 50"),
                Some(names) if names.is_empty() => (503, encode(&json!({ "error": NO_CAPACITY }))),
                Some(names) => {
                    names.iter().for_each(|name| self.assign_socket(name));
                    let kept = self
                        .persistence
                        .as_ref()
                        .map(|k| k.record_machines_named(self.cluster.cloud.last_machine_number()));
                    if let Some(Err(e)) = kept {
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
            EmulatorCall::ListMachines { from, limit: most } => {
                (200, encode(&self.cluster.cloud.list_machines(from.as_deref(), most, now)))
            }
            _ => malformed("no such call"),
        }
    }

    /// Gives a new machine's worker a socket of its own.
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

    /// Sockets of machines that are gone are free again.
    fn release_sockets(&mut self) {
        let gone = |name: &String| self.cluster.workers.get(name).is_none_or(|w| w.is_terminated);
        let free: Vec<usize> =
            self.machine_by_socket.iter().filter(|(_, n)| gone(n)).map(|(s, _)| *s).collect();
        for socket in free {
            self.machine_by_socket.remove(&socket);
            self.free_sockets.insert(0, socket);
        }
        self.cluster.workers.retain(|_, w| !w.is_terminated);
    }

    /// The controller that leads, by the state service.
    fn leader_name(&self) -> Option<String> {
        let pair = self.store.get(keys::LEADER)?;
        serde_json::from_value::<LeaderRecord>(pair.value.clone()).ok().map(|r| r.node)
    }

    /// Commands or a question straight to a worker. None: it is silent.
    fn worker_call(&mut self, socket: usize, call: EmulatorCall) -> Option<RawResponse> {
        let now = self.elapsed_ms();
        let name = self.machine_by_socket.get(&socket)?.clone();
        let zone = self.cluster.workers.get(&name)?.hardware.zone.clone();
        let from = self.leader_name().and_then(|l| controller_number(&l));
        if from.is_some_and(|n| self.is_partitioned_from_zone(&zone, n)) {
            return None;
        }
        match call {
            EmulatorCall::SendCommands(_, direct) => {
                let (good, report) = self.cluster.handle_direct_commands(&name, &direct, now)?;
                Some((if good { 200 } else { 409 }, encode(&report)))
            }
            _ => {
                let worker =
                    self.cluster.workers.get_mut(&name).filter(|w| w.is_responsive(now))?;
                Some((200, encode(&worker.build_report(now))))
            }
        }
    }

    /// What a worker starts, it fetches the description of: users upload it, which here is what the
    /// state service holds of the job.
    fn register_job_specs(&mut self, orders: &HeartbeatResponse) {
        for order in orders.commands.iter().filter(|o| o.kind == CommandKind::Start) {
            let Some((job, _)) = order.task.rsplit_once('/') else { continue };
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

    /// Carries a worker's report to a controller, and the answer back.
    fn send_report(&self, node: usize, report: StatusReport, sent: u64, ctx: &mut Context<Self>) {
        let url = format!("http://{}{}", self.ports.http(node), path::REPORT);
        let (client, to) = (self.client.clone(), ctx.address());
        actix::spawn(async move {
            let request = client.post(url).insert_header(("Content-Type", "application/msgpack"));
            let answer = match request.send_body(encode(&report)).await {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    response.body().await.ok().map(|body| (status, body.to_vec()))
                }
                Err(_) => None,
            };
            to.do_send(ReportAnswered {
                worker: report.machine,
                session: report.session,
                sent_at: sent,
                answer,
            });
        });
    }

    fn answer_watches(&mut self) {
        let now = self.elapsed_ms();
        for n in (0..self.pending_watches.len()).rev() {
            let PendingWatch {
                controller: node,
                prefix,
                from_revision: from,
                expires_at: until,
                ..
            } = &self.pending_watches[n];
            let alone = node
                .and_then(|n| self.store_outage_until_by_controller.get(&n))
                .is_some_and(|u| now < *u);
            // Open watches stay open through an outage.
            if now < self.store_outage_until || alone {
                continue;
            }
            let answer = match self.store.changes_since(prefix, *from) {
                Err(CompactedRevision) => (410, encode(&json!({ "error": "too old" }))),
                Ok(Some(news)) => (200, encode(&news)),
                Ok(None) if now >= *until => (200, encode(&self.store.empty_watch_response())),
                Ok(None) => continue,
            };
            let _ = self.pending_watches.swap_remove(n).answer.send(answer);
        }
    }

    fn inject_fault(&mut self, fault: Fault) -> RawResponse {
        if let Some(flaw) = fault.validation_error(self.controller_count, &self.zones) {
            return (422, serde_json::to_vec(&json!({ "error": flaw })).unwrap_or_default());
        }
        let now = self.elapsed_ms();
        let after = |seconds: f64| now + (seconds * 1000.0) as u64;
        tracing::warn!(?fault, "fault requested");
        let done = match fault {
            Fault::Crash { node } => {
                let _ = self.crash_requests.send(node);
                format!("controller {node} is killed, and starts again in 3 s")
            }
            Fault::Store { seconds, node: Some(node) } => {
                self.store_outage_until_by_controller.insert(node, after(seconds));
                format!("the state service refuses controller {node} for {seconds} s")
            }
            Fault::Store { seconds, node: None } => {
                self.store_outage_until = after(seconds);
                format!("the state service is away for {seconds} s")
            }
            Fault::Cloud { seconds } => {
                self.cloud_outage_until = after(seconds);
                format!("the cloud's interface is away for {seconds} s")
            }
            Fault::Zone { zone, seconds } => {
                self.partitioned_zones.send_modify(|lost| *lost = BTreeSet::from([zone.clone()]));
                self.zone_partition = Some((zone.clone(), after(seconds)));
                format!("zone {zone} is cut off for {seconds} s")
            }
            Fault::Spot { number } => {
                let taken =
                    self.cluster.reclaim_spot_machines(number, LOCAL_RECLAIM_NOTICE_MS, now);
                format!("{taken} spot machines are being taken")
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
        (200, serde_json::to_vec(&json!({ "done": done })).unwrap_or_default())
    }
}

impl Actor for Emulator {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(LOCAL_STEP_INTERVAL_MS), |me, ctx| me.run_step(ctx));
    }
}

impl Handler<EmulatorRequest> for Emulator {
    type Result = ResponseFuture<RawResponse>;

    fn handle(&mut self, msg: EmulatorRequest, _: &mut Self::Context) -> Self::Result {
        let EmulatorRequest(node, call) = msg;
        // What goes into a cut is held for longer than its sender waits.
        let silent = || -> ResponseFuture<RawResponse> {
            Box::pin(async {
                actix_rt::time::sleep(Duration::from_millis(LOCAL_PARTITION_HOLD_MS)).await;
                unavailable()
            })
        };
        if self.is_isolated(node) {
            return silent();
        }
        let answer = match call {
            EmulatorCall::SendCommands(socket, _) | EmulatorCall::ProbeWorker(socket) => {
                match self.worker_call(socket, call) {
                    Some(answer) => answer,
                    None => return silent(),
                }
            }
            EmulatorCall::Watch { prefix, from_revision: from, block_ms } => {
                let now = self.elapsed_ms();
                if now < self.store_outage_until || !self.store.admit(0, now) {
                    return Box::pin(std::future::ready(unavailable()));
                }
                let (answer, waits) = oneshot::channel();
                let until = now + block_ms.min(MAX_WATCH_WAIT_MS);
                self.pending_watches.push(PendingWatch {
                    answer,
                    controller: node,
                    prefix,
                    from_revision: from,
                    expires_at: until,
                });
                self.answer_watches();
                return Box::pin(async move { waits.await.unwrap_or_else(|_| unavailable()) });
            }
            EmulatorCall::ListMachineTypes
            | EmulatorCall::ProvisionMachines(_)
            | EmulatorCall::ReleaseMachines(_)
            | EmulatorCall::ListMachines { .. } => self.cloud_call(call),
            other => {
                let answer =
                    self.state_call(node, other).unwrap_or_else(|_| malformed("no such call"));
                self.answer_watches();
                answer
            }
        };
        Box::pin(std::future::ready(answer))
    }
}

impl Handler<ReportAnswered> for Emulator {
    type Result = ();

    fn handle(&mut self, msg: ReportAnswered, _: &mut Self::Context) {
        let now = self.elapsed_ms();
        let ReportAnswered { worker: name, session, sent_at: sent, answer } = msg;
        if let Some((200, body)) = &answer
            && let Ok(orders) = decode::<HeartbeatResponse>(body)
        {
            self.register_job_specs(&orders);
            return self.cluster.handle_heartbeat_response(&name, &orders, session, sent, now);
        }
        let Some(worker) = self.cluster.workers.get_mut(&name) else { return };
        match answer {
            Some((421, body)) => {
                let named = decode::<Redirect>(&body).ok().and_then(|r| r.controller);
                worker.handle_redirect(sent, named.and_then(|n| controller_number(&n)), now);
            }
            _ => worker.handle_report_timeout(sent, now),
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
        let standing = EmulatorStatus {
            leader: self.leader_name(),
            jobs: self.store.count_keys(keys::JOBS),
            machines: workers().count(),
            machines_up: workers().filter(|w| now >= w.up_at).count(),
            tasks: workers().flat_map(|w| &w.tasks).filter(|t| t.is_on_machine()).count(),
            tasks_done: self.cluster.finished_tasks.len(),
            tasks_killed: workers().map(|w| w.tasks_killed).sum(),
            money_spent: self.cluster.cloud.money_spent(now),
        };
        MessageResult(standing)
    }
}
