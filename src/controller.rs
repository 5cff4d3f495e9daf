//! The actors: they bring events to the core and carry its actions out.

use crate::constants::*;
use crate::entry::Entry;
use actix::prelude::*;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use cpu_time::ProcessTime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use swiftsail_controller::constants::*;
use swiftsail_controller::node::{Action, AdminAsk, Ask, Event, Node, Now, Reply, RequestId};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::{cloud, store};
use swiftsail_failure_detector::Probe;
use swiftsail_policy::constants::HOOK_TIMEOUT_MS;
use swiftsail_policy::operator::Operator;
use swiftsail_policy::outbox::Delivery;
use swiftsail_protocol::cloud as cloud_wire;
use swiftsail_protocol::controllers::{self as controllers_wire, Answers, Batch, Beat};
use swiftsail_protocol::state as state_wire;
use swiftsail_protocol::workers::{self as workers_wire, Direct, Report};
use swiftsail_protocol::{read, write};
use tokio::sync::oneshot;

/// The one actor that owns the core.
pub struct Controller {
    node: Node,
    settings: Arc<Settings>,
    client: Client,
    long: Client,
    probes: Client,
    begin: Instant,
    requests: HashMap<RequestId, oneshot::Sender<Reply>>,
    next: RequestId,
    entry: Entry,
    /// When the processor used was last measured, and what it was.
    spent: Option<(Instant, ProcessTime)>,
}

/// A request from outside that wants an answer.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct Incoming(pub Asked);

/// What is asked.
pub enum Asked {
    /// By a user.
    User(Ask),
    /// By a worker.
    Report(Box<Report>),
    /// By another controller that passes reports on.
    Batch(Box<Batch>),
    /// By an operator.
    Admin(AdminAsk),
}

/// A heartbeat that came in; answered with our own.
#[derive(Message)]
#[rtype(result = "Beat")]
pub struct BeatIn(pub Beat);

#[derive(Message)]
#[rtype(result = "()")]
struct Happened(Event);

impl Controller {
    /// A controller ready to start.
    pub fn new(
        settings: Arc<Settings>,
        operator: &Operator,
        entry: Entry,
        seed: u64,
    ) -> Controller {
        let begin = Instant::now();
        let now = Now { steady: STEADY_BEGIN_MS, wall: wall() };
        let node = Node::operated(settings.clone(), operator, seed, now);
        let client = |timeout: u64| {
            Client::builder().disable_redirects().timeout(Duration::from_millis(timeout)).finish()
        };
        Controller {
            node,
            settings,
            client: client(STORE_TIMEOUT_MS),
            long: client(FOLLOW_TIMEOUT_MS),
            probes: Client::builder()
                .connector(
                    // How many fly at once is bounded by the core: one that waited here for its turn
                    // would look like a machine that hangs.
                    Connector::new().limit(0).timeout(Duration::from_millis(PROBE_CONNECT_MS)),
                )
                .timeout(Duration::from_millis(PROBE_MS))
                .disable_redirects()
                .finish(),
            begin,
            requests: HashMap::new(),
            next: 1,
            entry,
            spent: ProcessTime::try_now().ok().map(|spent| (begin, spent)),
        }
    }

    /// Tells the core what the process has used, where the system says so, and the gate how pressed the
    /// core is.
    fn measure(&mut self, ctx: &mut Context<Self>) {
        self.entry.set_level(self.node.level());
        let Some((at, before)) = self.spent else { return };
        let over_ms = at.elapsed().as_millis() as u64;
        if over_ms < SPENT_MS {
            return;
        }
        if let Ok(now) = ProcessTime::try_now() {
            self.spent = Some((Instant::now(), now));
            let us = now.duration_since(before).as_micros() as u64;
            self.happen(Event::Spent(us, over_ms), ctx);
        }
    }

    fn now(&self) -> Now {
        let steady = STEADY_BEGIN_MS + self.begin.elapsed().as_millis() as u64;
        Now { steady, wall: wall() }
    }

    fn happen(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.now();
        self.node.handle(event, now);
        // An outcome that came up while calls were given out can bring more of them.
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.act(action, ctx);
            }
        }
    }

    fn act(&mut self, action: Action, ctx: &mut Context<Self>) {
        let to = ctx.address();
        match action {
            Action::Reply(id, reply) => {
                if let Some(answer) = self.requests.remove(&id) {
                    let _ = answer.send(reply);
                }
            }
            Action::Store(id, call) => {
                let follow = matches!(call, store::Call::Follow { .. });
                let client = if follow { self.long.clone() } else { self.client.clone() };
                let at = self.settings.endpoints.state;
                actix::spawn(async move {
                    let outcome = call_store(&client, at, &call).await;
                    to.do_send(Happened(Event::Store(id, outcome)));
                });
            }
            Action::Cloud(call) => {
                let client = self.long.clone();
                let at = self.settings.endpoints.cloud;
                actix::spawn(async move {
                    let outcome = call_cloud(&client, at, &call).await;
                    to.do_send(Happened(Event::Cloud(Box::new(call), outcome)));
                });
            }
            Action::Direct(addr, message) => {
                let client = self.client.clone();
                actix::spawn(async move {
                    if let Some(report) = call_worker(&client, &addr, &message).await {
                        to.do_send(Happened(Event::Answer(Box::new(report))));
                    }
                });
            }
            Action::Probe(id, addr) => {
                let client = self.probes.clone();
                actix::spawn(async move {
                    let (probe, report) = inspect(&client, &addr).await;
                    to.do_send(Happened(Event::Probed(id, probe, report.map(Box::new))));
                });
            }
            Action::Relay(number, leader, batch) => {
                let other = self.settings.others.iter().find(|o| o.host_name == leader);
                let Some(other) = other else {
                    return to.do_send(Happened(Event::Relayed(number, None)));
                };
                let url = format!("http://{}{}", other.address, controllers_wire::path::RELAY);
                let client = self.long.clone();
                actix::spawn(async move {
                    let sent = client.post(url).timeout(Duration::from_millis(RELAY_TIMEOUT_MS));
                    let answers = match send(sent, Some(write(&batch))).await {
                        Ok((200, body)) => read::<Answers>(&body).ok(),
                        _ => None,
                    };
                    to.do_send(Happened(Event::Relayed(number, answers)));
                });
            }
            Action::Deliver(delivery) => {
                let client = self.client.clone();
                actix::spawn(async move {
                    let taken = deliver(&client, &delivery).await;
                    to.do_send(Happened(Event::Delivered(delivery.plugin, taken)));
                });
            }
            Action::Beat(beat) => {
                let body = write(&beat);
                for other in &self.settings.others {
                    let (client, to, body) = (self.client.clone(), to.clone(), body.clone());
                    let url = format!("http://{}{}", other.address, controllers_wire::path::BEAT);
                    actix::spawn(async move {
                        let sent = client.post(url).timeout(Duration::from_millis(PEER_TIMEOUT_MS));
                        if let Ok((200, bytes)) = send(sent, Some(body)).await
                            && let Ok(theirs) = read::<Beat>(&bytes)
                        {
                            to.do_send(Happened(Event::Beat(theirs)));
                        }
                    });
                }
            }
        }
    }
}

impl Actor for Controller {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_MOST);
        ctx.run_interval(Duration::from_millis(TICK_MS), |me, ctx| {
            me.happen(Event::Tick, ctx);
            me.measure(ctx);
        });
    }
}

impl Handler<Incoming> for Controller {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, msg: Incoming, ctx: &mut Self::Context) -> Self::Result {
        let id = self.next;
        self.next += 1;
        let (answer, waits) = oneshot::channel();
        self.requests.insert(id, answer);
        let event = match msg.0 {
            Asked::User(ask) => Event::User(id, ask),
            Asked::Report(report) => Event::Report(id, report),
            Asked::Batch(batch) => Event::Batch(id, batch),
            Asked::Admin(ask) => Event::Admin(id, ask),
        };
        self.happen(event, ctx);
        Box::pin(async move { waits.await.unwrap_or_else(|_| Reply::later("this node is ending")) })
    }
}

impl Handler<BeatIn> for Controller {
    type Result = MessageResult<BeatIn>;

    fn handle(&mut self, msg: BeatIn, ctx: &mut Self::Context) -> Self::Result {
        let brief = msg.0.brief;
        self.happen(Event::Beat(msg.0), ctx);
        MessageResult(self.node.beat(brief))
    }
}

impl Handler<Happened> for Controller {
    type Result = ();

    fn handle(&mut self, msg: Happened, ctx: &mut Self::Context) {
        self.happen(msg.0, ctx);
    }
}

fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Sends a request. An error is a request without an answer.
async fn send(request: awc::ClientRequest, body: Option<Vec<u8>>) -> Result<(u16, Vec<u8>), ()> {
    let request = request.insert_header(("Content-Type", "application/msgpack"));
    let sent = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|e| tracing::debug!(cause = %e, "a call had no answer"))?;
    let status = response.status().as_u16();
    // A follow's response has no size limit of its own.
    let bytes = response.body().limit(RESPONSE_MOST).await;
    bytes.map(|b| (status, b.to_vec())).map_err(|_| ())
}

async fn call_store(client: &Client, at: SocketAddr, call: &store::Call) -> store::Outcome {
    use state_wire::path;
    use store::{Call, Outcome};
    let url = |rest: String| format!("http://{at}{rest}");
    let sent = match call {
        Call::Get(key) => send(client.get(url(format!("{}/{key}", path::KV))), None).await,
        Call::List { prefix, from } => {
            let from = from.as_ref().map(|f| format!("&from={f}")).unwrap_or_default();
            let rest = format!("{}?starts={prefix}{from}&most={LIST_PAGE}", path::KV);
            send(client.get(url(rest)), None).await
        }
        Call::Commit(commit) => {
            send(client.post(url(path::COMMIT.into())), Some(write(commit))).await
        }
        Call::Grant { ttl_ms } => {
            let body = write(&state_wire::Ask { ttl_ms: *ttl_ms });
            send(client.post(url(path::GRANTS.into())), Some(body)).await
        }
        Call::Extend(id) => {
            let rest = format!("{}/{id}/{}", path::GRANTS, path::EXTEND);
            let body = write(&HashMap::<String, u64>::new());
            send(client.post(url(rest)), Some(body)).await
        }
        Call::Release(id) => send(client.delete(url(format!("{}/{id}", path::GRANTS))), None).await,
        Call::News { prefix, from } => {
            let rest = format!("{}?starts={prefix}&from={from}&block_ms=0", path::FOLLOW);
            send(client.get(url(rest)), None).await
        }
        Call::Follow { prefix, from } => {
            let rest =
                format!("{}?starts={prefix}&from={from}&block_ms={FOLLOW_BLOCK_MS}", path::FOLLOW);
            send(client.get(url(rest)), None).await
        }
    };
    let Ok((status, bytes)) = sent else { return Outcome::Unknown };
    fn read_as<T: serde::de::DeserializeOwned>(b: &[u8], f: impl Fn(T) -> Outcome) -> Outcome {
        read::<T>(b).map(f).unwrap_or(Outcome::Unknown)
    }
    match (status, call) {
        (200, Call::Get(_)) => read_as(&bytes, Outcome::Found),
        (200, Call::List { .. }) => read_as(&bytes, Outcome::Page),
        (200, Call::Commit(_)) => {
            read_as(&bytes, |c: state_wire::Committed| Outcome::Committed(c.epoch))
        }
        (200, Call::Grant { .. }) => {
            read_as(&bytes, |g: state_wire::Granted| Outcome::Granted(g.mooring))
        }
        (200, Call::Extend(id) | Call::Release(id)) => Outcome::Granted(*id),
        (200, Call::Follow { .. } | Call::News { .. }) => read_as(&bytes, Outcome::News),
        (404, Call::Extend(_) | Call::Release(_)) => Outcome::NoGrant,
        (404, _) => Outcome::Missing { epoch: 0 },
        (409, _) => read_as(&bytes, |c: state_wire::Committed| Outcome::Conflict(c.failed)),
        (410, _) => Outcome::TooOld,
        (429, _) => Outcome::Limited,
        (503, _) => Outcome::Refused,
        (400, Call::Commit(c)) if c.apply.iter().any(moored) => Outcome::NoGrant,
        (400, _) => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            tracing::error!(cause = %text, "the state service calls a request malformed");
            Outcome::Malformed(text)
        }
        _ => Outcome::Unknown,
    }
}

fn moored(change: &state_wire::Change) -> bool {
    matches!(change, state_wire::Change::Write { mooring: Some(_), .. })
}

async fn call_cloud(client: &Client, at: SocketAddr, call: &cloud::Call) -> cloud::Outcome {
    use cloud::{Call, Outcome};
    use cloud_wire::path;
    let timeout = Duration::from_millis(CLOUD_TIMEOUT_MS);
    let url = |rest: String| format!("http://{at}{rest}");
    let get = |rest: String| client.get(url(rest)).timeout(timeout);
    let post = |rest: &str| client.post(url(rest.into())).timeout(timeout);
    let sent = match call {
        Call::Types => send(get(path::TYPES.into()), None).await,
        Call::Rent(rent) => send(post(path::MACHINES), Some(write(rent))).await,
        Call::Return(names) => {
            let body = write(&cloud_wire::Berths { berths: names.clone() });
            send(post(path::RETURN), Some(body)).await
        }
        Call::List(from) => {
            let from = from.as_ref().map(|f| format!("from={f}&")).unwrap_or_default();
            send(get(format!("{}?{from}most={CLOUD_PAGE}", path::MACHINES)), None).await
        }
    };
    let Ok((status, bytes)) = sent else { return Outcome::Failed };
    let failed = |_| Outcome::Failed;
    match (status, call) {
        (200, Call::Types) => read(&bytes).map_or_else(failed, Outcome::Types),
        (200, Call::Rent(_)) => read(&bytes).map_or_else(failed, Outcome::Rented),
        (200, Call::Return(_)) => Outcome::Returned,
        (200, Call::List(_)) => read(&bytes).map_or_else(failed, Outcome::Listed),
        (503, Call::Rent(_)) if says_no_capacity(&bytes) => Outcome::NoCapacity,
        (400, _) => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            tracing::error!(cause = %text, "the cloud calls a request malformed");
            Outcome::Malformed(text)
        }
        _ => Outcome::Failed,
    }
}

fn says_no_capacity(bytes: &[u8]) -> bool {
    let body = read::<HashMap<String, String>>(bytes).unwrap_or_default();
    body.get("error").is_some_and(|e| e == cloud_wire::NO_CAPACITY)
}

async fn call_worker(client: &Client, addr: &str, message: &Direct) -> Option<Report> {
    let url = format!("http://{addr}{}", workers_wire::path::COMMANDS);
    let sent = client.post(url).timeout(Duration::from_millis(WORKER_TIMEOUT_MS));
    let (status, bytes) = send(sent, Some(write(message))).await.ok()?;
    // 409 carries a report too: it may show a newer token or session.
    if status == 200 || status == 409 { read(&bytes).ok() } else { None }
}

/// Asks a worker whether it lives. How the connection ends tells a dead machine from one that hangs.
async fn inspect(client: &Client, addr: &str) -> (Probe, Option<Report>) {
    let sent = client.get(format!("http://{addr}{}", workers_wire::path::INSPECT)).force_close();
    match sent.send().await {
        Ok(mut response) => {
            let body = response.body().limit(RESPONSE_MOST).await.unwrap_or_default();
            match read(&body).ok().filter(|_| response.status().is_success()) {
                Some(report) => (Probe::Answered, Some(report)),
                None => (Probe::Refused, None),
            }
        }
        Err(SendRequestError::Connect(ConnectError::Timeout)) => (Probe::Silent, None),
        Err(SendRequestError::Timeout) => (Probe::Mute, None),
        Err(_) => (Probe::Refused, None),
    }
}

/// Delivers events to a report hook. True if the receiver has taken them.
async fn deliver(client: &Client, delivery: &Delivery) -> bool {
    let url = format!("http://{}{}", delivery.to, delivery.path);
    let sent = client
        .post(url)
        .timeout(Duration::from_millis(HOOK_TIMEOUT_MS))
        .insert_header(("Content-Type", "application/json"))
        .send_body(delivery.body.clone());
    sent.await.is_ok_and(|response| response.status().is_success())
}
