//! The actors: they bring events to the core and carry its actions out.

use crate::admission::AdmissionController;
use crate::constants::{
    CPU_SAMPLE_INTERVAL_MS, MAX_MAILBOX_MESSAGES, MAX_RESPONSE_BYTES, MONOTONIC_ORIGIN_MS,
    PEER_TIMEOUT_MS, PROBE_CONNECT_TIMEOUT_MS, PROBE_TIMEOUT_MS, WORKER_TIMEOUT_MS,
};
use actix::prelude::*;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use cpu_time::ProcessTime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use swiftsail_controller::constants::{
    CLOUD_PAGE, CLOUD_TIMEOUT_MS, FORWARD_TIMEOUT_MS, LIST_PAGE, STORE_TIMEOUT_MS, TICK_MS,
    WATCH_BLOCK_MS, WATCH_TIMEOUT_MS,
};
use swiftsail_controller::controller::{
    Action, AdminRequest, Controller, Event, Now, Reply, RequestId, UserRequest,
};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::{cloud, store};
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_policy::constants::DELIVERY_TIMEOUT_MS;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_protocol::cloud as cloud_wire;
use swiftsail_protocol::controllers::{
    self as controllers_wire, ForwardedAnswers, ForwardedReports, Heartbeat,
};
use swiftsail_protocol::state as state_wire;
use swiftsail_protocol::workers::{self as workers_wire, DirectCommands, StatusReport};
use swiftsail_protocol::{decode, encode};
use tokio::sync::oneshot;

/// The one actor that owns the core.
pub struct ControllerActor {
    controller: Controller,
    settings: Arc<Settings>,
    client: Client,
    watch_client: Client,
    probe_client: Client,
    started_at: Instant,
    pending_replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    next_request_id: RequestId,
    admission: AdmissionController,
    /// When the processor used was last measured, and what it was.
    last_cpu_sample: Option<(Instant, ProcessTime)>,
}

/// A request from outside that wants an answer.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct IncomingRequest(pub TypedRequest);

/// What is asked.
pub enum TypedRequest {
    /// By a user.
    UserRequest(UserRequest),
    /// By a worker.
    StatusReport(Box<StatusReport>),
    /// By another controller that passes reports on.
    ForwardedReports(Box<ForwardedReports>),
    /// By an operator.
    AdminRequest(AdminRequest),
}

/// A heartbeat that came in; answered with our own.
#[derive(Message)]
#[rtype(result = "Heartbeat")]
pub struct IncomingHeartbeat(pub Heartbeat);

#[derive(Message)]
#[rtype(result = "()")]
struct EventOccurred(Event);

impl ControllerActor {
    /// A controller ready to start.
    pub fn new(
        settings: Arc<Settings>,
        operator: &OperatorSettings,
        admission: AdmissionController,
        seed: u64,
    ) -> ControllerActor {
        let started_at = Instant::now();
        let now = Now { monotonic: MONOTONIC_ORIGIN_MS, wall_clock: wall_clock_ms() };
        let controller = Controller::with_operator_file(settings.clone(), operator, seed, now);
        let client = |timeout: u64| {
            Client::builder().disable_redirects().timeout(Duration::from_millis(timeout)).finish()
        };
        ControllerActor {
            controller,
            settings,
            client: client(STORE_TIMEOUT_MS),
            watch_client: client(WATCH_TIMEOUT_MS),
            probe_client: Client::builder()
                .connector(
                    // How many fly at once is bounded by the core: one that waited here for its turn
                    // would look like a machine that hangs.
                    Connector::new()
                        .limit(0)
                        .timeout(Duration::from_millis(PROBE_CONNECT_TIMEOUT_MS)),
                )
                .timeout(Duration::from_millis(PROBE_TIMEOUT_MS))
                .disable_redirects()
                .finish(),
            started_at,
            pending_replies: HashMap::new(),
            next_request_id: 1,
            admission,
            last_cpu_sample: ProcessTime::try_now().ok().map(|spent| (started_at, spent)),
        }
    }

    /// Tells the core what the process has used, where the system says so, and the gate how pressed the
    /// core is.
    fn measure_cpu_usage(&mut self, ctx: &mut Context<Self>) {
        self.admission.set_level(self.controller.load_level());
        let Some((at, before)) = self.last_cpu_sample else { return };
        let over_ms = at.elapsed().as_millis() as u64;
        if over_ms < CPU_SAMPLE_INTERVAL_MS {
            return;
        }
        if let Ok(now) = ProcessTime::try_now() {
            self.last_cpu_sample = Some((Instant::now(), now));
            let us = now.duration_since(before).as_micros() as u64;
            self.apply_event(Event::CpuUsage(us, over_ms), ctx);
        }
    }

    fn current_time(&self) -> Now {
        let steady = MONOTONIC_ORIGIN_MS + self.started_at.elapsed().as_millis() as u64;
        Now { monotonic: steady, wall_clock: wall_clock_ms() }
    }

    fn apply_event(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.current_time();
        self.controller.handle(event, now);
        // An outcome that came up while calls were given out can bring more of them.
        loop {
            let actions = self.controller.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute_action(action, ctx);
            }
        }
    }

    fn execute_action(&mut self, action: Action, ctx: &mut Context<Self>) {
        let to = ctx.address();
        match action {
            Action::Reply(id, reply) => {
                if let Some(answer) = self.pending_replies.remove(&id) {
                    let _ = answer.send(reply);
                }
            }
            Action::CallStore(id, call) => {
                let follow = matches!(call, store::StoreCall::Watch { .. });
                let client = if follow { self.watch_client.clone() } else { self.client.clone() };
                let at = self.settings.endpoints.state;
                actix::spawn(async move {
                    let outcome = call_store(&client, at, &call).await;
                    to.do_send(EventOccurred(Event::StoreResponse(id, outcome)));
                });
            }
            Action::CallCloud(call) => {
                let client = self.watch_client.clone();
                let at = self.settings.endpoints.cloud;
                actix::spawn(async move {
                    let outcome = call_cloud(&client, at, &call).await;
                    to.do_send(EventOccurred(Event::CloudResponse(Box::new(call), outcome)));
                });
            }
            Action::SendCommands(addr, message) => {
                let client = self.client.clone();
                actix::spawn(async move {
                    if let Some(report) = send_commands(&client, &addr, &message).await {
                        to.do_send(EventOccurred(Event::CommandResponse(Box::new(report))));
                    }
                });
            }
            Action::ProbeMachine(id, addr) => {
                let client = self.probe_client.clone();
                actix::spawn(async move {
                    let (probe, report) = probe_worker(&client, &addr).await;
                    to.do_send(EventOccurred(Event::ProbeFinished(
                        id,
                        probe,
                        report.map(Box::new),
                    )));
                });
            }
            Action::ForwardReports(number, leader, batch) => {
                let other = self.settings.others.iter().find(|o| o.host_name == leader);
                let Some(other) = other else {
                    return to.do_send(EventOccurred(Event::ForwardedAnswers(number, None)));
                };
                let url = format!(
                    "http://{}{}",
                    other.address,
                    controllers_wire::path::FORWARDED_REPORTS
                );
                let client = self.watch_client.clone();
                actix::spawn(async move {
                    let sent = client.post(url).timeout(Duration::from_millis(FORWARD_TIMEOUT_MS));
                    let answers = match send_request(sent, Some(encode(&batch))).await {
                        Ok((200, body)) => decode::<ForwardedAnswers>(&body).ok(),
                        _ => None,
                    };
                    to.do_send(EventOccurred(Event::ForwardedAnswers(number, answers)));
                });
            }
            Action::DeliverEvents(delivery) => {
                let client = self.client.clone();
                actix::spawn(async move {
                    let taken = deliver_event(&client, &delivery).await;
                    to.do_send(EventOccurred(Event::HookDelivered(delivery.plugin, taken)));
                });
            }
            Action::SendHeartbeat(beat) => {
                let body = encode(&beat);
                for other in &self.settings.others {
                    let (client, to, body) = (self.client.clone(), to.clone(), body.clone());
                    let url =
                        format!("http://{}{}", other.address, controllers_wire::path::HEARTBEAT);
                    actix::spawn(async move {
                        let sent = client.post(url).timeout(Duration::from_millis(PEER_TIMEOUT_MS));
                        if let Ok((200, bytes)) = send_request(sent, Some(body)).await
                            && let Ok(theirs) = decode::<Heartbeat>(&bytes)
                        {
                            to.do_send(EventOccurred(Event::Heartbeat(theirs)));
                        }
                    });
                }
            }
        }
    }
}

impl Actor for ControllerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAX_MAILBOX_MESSAGES);
        ctx.run_interval(Duration::from_millis(TICK_MS), |me, ctx| {
            me.apply_event(Event::Tick, ctx);
            me.measure_cpu_usage(ctx);
        });
    }
}

impl Handler<IncomingRequest> for ControllerActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: IncomingRequest, ctx: &mut Self::Context) -> Self::Result {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let (answer, waits) = oneshot::channel();
        self.pending_replies.insert(id, answer);
        let event = match msg.0 {
            TypedRequest::UserRequest(ask) => Event::UserRequest(id, ask),
            TypedRequest::StatusReport(report) => Event::StatusReport(id, report),
            TypedRequest::ForwardedReports(batch) => Event::ForwardedReports(id, batch),
            TypedRequest::AdminRequest(ask) => Event::AdminRequest(id, ask),
        };
        self.apply_event(event, ctx);
        Box::pin(async move {
            waits.await.unwrap_or_else(|_| Reply::retry_later("this node is ending"))
        })
    }
}

impl Handler<IncomingHeartbeat> for ControllerActor {
    type Result = MessageResult<IncomingHeartbeat>;

    fn handle(&mut self, msg: IncomingHeartbeat, ctx: &mut Self::Context) -> Self::Result {
        let brief = msg.0.is_abridged;
        self.apply_event(Event::Heartbeat(msg.0), ctx);
        MessageResult(self.controller.build_heartbeat(brief))
    }
}

impl Handler<EventOccurred> for ControllerActor {
    type Result = ();

    fn handle(&mut self, msg: EventOccurred, ctx: &mut Self::Context) {
        self.apply_event(msg.0, ctx);
    }
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Sends a request. An error is a request without an answer.
async fn send_request(
    request: awc::ClientRequest,
    body: Option<Vec<u8>>,
) -> Result<(u16, Vec<u8>), ()> {
    let request = request.insert_header(("Content-Type", "application/msgpack"));
    let sent = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|e| tracing::debug!(cause = %e, "no response to a request"))?;
    let status = response.status().as_u16();
    // A follow's response has no size limit of its own.
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
    bytes.map(|b| (status, b.to_vec())).map_err(|_| ())
}

async fn call_store(
    client: &Client,
    at: SocketAddr,
    call: &store::StoreCall,
) -> store::StoreOutcome {
    use state_wire::path;
    use store::{StoreCall, StoreOutcome};
    let url = |rest: String| format!("http://{at}{rest}");
    let sent = match call {
        StoreCall::Get(key) => {
            send_request(client.get(url(format!("{}/{key}", path::KEYS))), None).await
        }
        StoreCall::List { prefix, from } => {
            let from = from.as_ref().map(|f| format!("&from={f}")).unwrap_or_default();
            let rest = format!("{}?starts={prefix}{from}&most={LIST_PAGE}", path::KEYS);
            send_request(client.get(url(rest)), None).await
        }
        StoreCall::Commit(commit) => {
            send_request(client.post(url(path::TRANSACTIONS.into())), Some(encode(commit))).await
        }
        StoreCall::GrantLease { ttl_ms } => {
            let body = encode(&state_wire::LeaseRequest { ttl_ms: *ttl_ms });
            send_request(client.post(url(path::LEASES.into())), Some(body)).await
        }
        StoreCall::RenewLease(id) => {
            let rest = format!("{}/{id}/{}", path::LEASES, path::LEASE_RENEWAL);
            let body = encode(&HashMap::<String, u64>::new());
            send_request(client.post(url(rest)), Some(body)).await
        }
        StoreCall::RevokeLease(id) => {
            send_request(client.delete(url(format!("{}/{id}", path::LEASES))), None).await
        }
        StoreCall::ReadChanges { prefix, from } => {
            let rest = format!("{}?starts={prefix}&from={from}&block_ms=0", path::WATCH);
            send_request(client.get(url(rest)), None).await
        }
        StoreCall::Watch { prefix, from } => {
            let rest =
                format!("{}?starts={prefix}&from={from}&block_ms={WATCH_BLOCK_MS}", path::WATCH);
            send_request(client.get(url(rest)), None).await
        }
    };
    let Ok((status, bytes)) = sent else { return StoreOutcome::Unknown };
    fn decode_response<T: serde::de::DeserializeOwned>(
        b: &[u8],
        f: impl Fn(T) -> StoreOutcome,
    ) -> StoreOutcome {
        decode::<T>(b).map(f).unwrap_or(StoreOutcome::Unknown)
    }
    match (status, call) {
        (200, StoreCall::Get(_)) => decode_response(&bytes, StoreOutcome::Found),
        (200, StoreCall::List { .. }) => decode_response(&bytes, StoreOutcome::Page),
        (200, StoreCall::Commit(_)) => {
            decode_response(&bytes, |c: state_wire::TransactionResponse| {
                StoreOutcome::Committed(c.revision)
            })
        }
        (200, StoreCall::GrantLease { .. }) => {
            decode_response(&bytes, |g: state_wire::LeaseResponse| {
                StoreOutcome::LeaseGranted(g.lease)
            })
        }
        (200, StoreCall::RenewLease(id) | StoreCall::RevokeLease(id)) => {
            StoreOutcome::LeaseGranted(*id)
        }
        (200, StoreCall::Watch { .. } | StoreCall::ReadChanges { .. }) => {
            decode_response(&bytes, StoreOutcome::Changes)
        }
        (404, StoreCall::RenewLease(_) | StoreCall::RevokeLease(_)) => StoreOutcome::NoSuchLease,
        (404, _) => StoreOutcome::Missing { revision: 0 },
        (409, _) => decode_response(&bytes, |c: state_wire::TransactionResponse| {
            StoreOutcome::Conflict(c.failed_keys)
        }),
        (410, _) => StoreOutcome::Compacted,
        (429, _) => StoreOutcome::RateLimited,
        (503, _) => StoreOutcome::Unavailable,
        (400, StoreCall::Commit(c)) if c.mutations.iter().any(is_lease_attached) => {
            StoreOutcome::NoSuchLease
        }
        (400, _) => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            tracing::error!(cause = %text, "state service rejected a request as malformed");
            StoreOutcome::Malformed(text)
        }
        _ => StoreOutcome::Unknown,
    }
}

fn is_lease_attached(change: &state_wire::Mutation) -> bool {
    matches!(change, state_wire::Mutation::Put { lease: Some(_), .. })
}

async fn call_cloud(
    client: &Client,
    at: SocketAddr,
    call: &cloud::CloudCall,
) -> cloud::CloudOutcome {
    use cloud::{CloudCall, CloudOutcome};
    use cloud_wire::path;
    let timeout = Duration::from_millis(CLOUD_TIMEOUT_MS);
    let url = |rest: String| format!("http://{at}{rest}");
    let get = |rest: String| client.get(url(rest)).timeout(timeout);
    let post = |rest: &str| client.post(url(rest.into())).timeout(timeout);
    let sent = match call {
        CloudCall::ListTypes => send_request(get(path::MACHINE_TYPES.into()), None).await,
        CloudCall::Provision(rent) => send_request(post(path::MACHINES), Some(encode(rent))).await,
        CloudCall::Return(names) => {
            let body = encode(&cloud_wire::MachineNames { machines: names.clone() });
            send_request(post(path::RELEASE_MACHINES), Some(body)).await
        }
        CloudCall::ListMachines(from) => {
            let from = from.as_ref().map(|f| format!("from={f}&")).unwrap_or_default();
            send_request(get(format!("{}?{from}most={CLOUD_PAGE}", path::MACHINES)), None).await
        }
    };
    let Ok((status, bytes)) = sent else { return CloudOutcome::Failed };
    let failed = |_| CloudOutcome::Failed;
    match (status, call) {
        (200, CloudCall::ListTypes) => decode(&bytes).map_or_else(failed, CloudOutcome::Types),
        (200, CloudCall::Provision(_)) => {
            decode(&bytes).map_or_else(failed, CloudOutcome::Provisioned)
        }
        (200, CloudCall::Return(_)) => CloudOutcome::Returned,
        (200, CloudCall::ListMachines(_)) => {
            decode(&bytes).map_or_else(failed, CloudOutcome::Listed)
        }
        (503, CloudCall::Provision(_)) if is_no_capacity(&bytes) => CloudOutcome::NoCapacity,
        (400, _) => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            tracing::error!(cause = %text, "cloud rejected a request as malformed");
            CloudOutcome::Malformed(text)
        }
        _ => CloudOutcome::Failed,
    }
}

fn is_no_capacity(bytes: &[u8]) -> bool {
    let body = decode::<HashMap<String, String>>(bytes).unwrap_or_default();
    body.get("error").is_some_and(|e| e == cloud_wire::NO_CAPACITY)
}

async fn send_commands(
    client: &Client,
    addr: &str,
    message: &DirectCommands,
) -> Option<StatusReport> {
    let url = format!("http://{addr}{}", workers_wire::path::COMMANDS);
    let sent = client.post(url).timeout(Duration::from_millis(WORKER_TIMEOUT_MS));
    let (status, bytes) = send_request(sent, Some(encode(message))).await.ok()?;
    // 409 carries a report too: it may show a newer token or session.
    if status == 200 || status == 409 { decode(&bytes).ok() } else { None }
}

/// Asks a worker whether it lives. How the connection ends tells a dead machine from one that hangs.
async fn probe_worker(client: &Client, addr: &str) -> (ProbeOutcome, Option<StatusReport>) {
    let sent = client.get(format!("http://{addr}{}", workers_wire::path::INSPECT)).force_close();
    match sent.send().await {
        Ok(mut response) => {
            let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
            match decode(&body).ok().filter(|_| response.status().is_success()) {
                Some(report) => (ProbeOutcome::Answered, Some(report)),
                None => (ProbeOutcome::Refused, None),
            }
        }
        Err(SendRequestError::Connect(ConnectError::Timeout)) => (ProbeOutcome::NoConnection, None),
        Err(SendRequestError::Timeout) => (ProbeOutcome::NoResponse, None),
        Err(_) => (ProbeOutcome::Refused, None),
    }
}

/// Delivers events to a report hook. True if the receiver has taken them.
async fn deliver_event(client: &Client, delivery: &EventDelivery) -> bool {
    let url = format!("http://{}{}", delivery.to, delivery.path);
    let sent = client
        .post(url)
        .timeout(Duration::from_millis(DELIVERY_TIMEOUT_MS))
        .insert_header(("Content-Type", "application/json"))
        .send_body(delivery.body.clone());
    sent.await.is_ok_and(|response| response.status().is_success())
}
