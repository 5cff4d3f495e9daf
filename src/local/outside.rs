//! The actor that owns the pure machines of `swiftsail local`: state service, cloud and plant. It
//! reads the clock, applies faults, and carries workers' reports to the controllers.

use super::faults::Fault;
use super::keep::Keep;
use super::model::{Model, Ports, node_number, site};
use crate::constants::*;
use actix::prelude::*;
use awc::Client;
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use swiftsail_controller::job::{JobRecord, keys};
use swiftsail_controller::term::LeaderRecord;
use swiftsail_simulation::constants::FOLLOW_MOST_MS;
use swiftsail_simulation::plant::Plant;
use swiftsail_simulation::store::{Committed, Store, TooOld};
use swiftsail_protocol::cloud::{Berths, NO_CAPACITY, Rent};
use swiftsail_protocol::state::{self, Commit, Granted};
use swiftsail_protocol::workers::{Direct, Orders, Redirect, Report, Verb, path};
use swiftsail_protocol::{read, write};
use tokio::sync::{mpsc, oneshot, watch};

/// An answer: status and body.
pub type Answer = (u16, Vec<u8>);

/// What is asked of the world outside the controllers.
#[derive(Debug)]
pub enum Call {
    /// Read a key.
    Get(String),
    /// Read a page of keys.
    List { prefix: String, from: Option<String>, most: usize },
    /// A transaction.
    Commit(Box<Commit>),
    /// A new lease.
    Grant(u64),
    /// Extend a lease.
    Extend(u64),
    /// End a lease.
    EndGrant(u64),
    /// Wait for changes.
    Follow { prefix: String, from: u64, block_ms: u64 },
    /// Machine types.
    Types,
    /// Rent.
    Rent(Rent),
    /// Return.
    Return(Vec<String>),
    /// The machine list.
    Machines { from: Option<String>, most: usize },
    /// Commands straight to the worker at an address.
    Direct(usize, Box<Direct>),
    /// A worker's report on request.
    Inspect(usize),
}

/// A call, and which controller's way it came by.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct Asked(pub Option<usize>, pub Call);

/// A fault that is asked for.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct FaultAsked(pub Fault);

/// How things stand, in a line.
#[derive(Message)]
#[rtype(result = "Standing")]
pub struct HowIsIt;

/// How things stand.
#[derive(Debug, Clone, Serialize)]
pub struct Standing {
    /// Controller that leads.
    pub leader: Option<String>,
    /// Jobs not over.
    pub jobs: usize,
    /// Machines rented, and those up.
    pub machines: usize,
    /// See `machines`.
    pub up: usize,
    /// Tasks on machines.
    pub tasks: usize,
    /// Tasks that have completed.
    pub done: usize,
    /// Tasks killed by the end of a worker's lease.
    pub killed: u64,
    /// Money spent.
    pub spent: f64,
}

#[derive(Message)]
#[rtype(result = "()")]
struct Reported {
    worker: String,
    session: u64,
    sent: u64,
    answer: Option<Answer>,
}

/// A watch that waits.
struct Follow {
    answer: oneshot::Sender<Answer>,
    node: Option<usize>,
    prefix: String,
    from: u64,
    until: u64,
}

/// The world outside the controllers.
pub struct Outside {
    store: Store,
    keep: Option<Keep>,
    plant: Plant,
    ports: Ports,
    zones: Vec<String>,
    nodes: usize,
    client: Client,
    begin: Instant,
    /// Ends of faults, ms.
    store_away: u64,
    node_away: BTreeMap<usize, u64>,
    cloud_away: u64,
    cut: Option<(String, u64)>,
    links: watch::Sender<BTreeSet<String>>,
    crash: mpsc::UnboundedSender<usize>,
    /// Sockets of workers: which are free, and whose the others are.
    sockets: Vec<usize>,
    by_socket: BTreeMap<usize, String>,
    follows: Vec<Follow>,
}

fn refused() -> Answer {
    (503, write(&json!({ "error": "trouble" })))
}

/// What is not on disk must not be answered as if it were.
fn unkept(cause: &redb::Error) -> Answer {
    tracing::error!(%cause, "the data folder cannot be written: free space, then start anew");
    System::current().stop_with_code(i32::from(STATUS_REFUSED));
    refused()
}

fn malformed(why: &str) -> Answer {
    (400, write(&json!({ "error": why })))
}

impl Outside {
    /// A world as it was kept, or a new one. `links` is told which zones are cut off, `crash` which
    /// controller is to be killed.
    pub fn new(
        model: &Model,
        ports: Ports,
        nodes: usize,
        (speed, seed): (f64, u64),
        keep: Option<Keep>,
        links: watch::Sender<BTreeSet<String>>,
        crash: mpsc::UnboundedSender<usize>,
    ) -> Result<Outside, redb::Error> {
        let platform = model.platform();
        let (pairs, epoch) = keep.as_ref().map(Keep::load).transpose()?.unwrap_or_default();
        let mut plant = Plant::new(model.offered(), platform.clone(), nodes, speed, seed, 0);
        let named = keep.as_ref().map(Keep::machines).transpose()?.unwrap_or(0);
        plant.cloud.name_from(named);
        let timeout = Duration::from_millis(swiftsail_simulation::constants::ANSWER_MS);
        Ok(Outside {
            store: Store::restored(platform.state.clone(), 0, pairs, epoch),
            keep,
            plant,
            ports,
            zones: model.zones.clone(),
            nodes,
            client: Client::builder().disable_redirects().timeout(timeout).finish(),
            begin: Instant::now(),
            store_away: 0,
            node_away: BTreeMap::new(),
            cloud_away: 0,
            cut: None,
            links,
            crash,
            sockets: (0..model.machines_most().min(LOCAL_MACHINES_MOST)).rev().collect(),
            by_socket: BTreeMap::new(),
            follows: Vec::new(),
        })
    }

    fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// Whether a cut lies between a zone and a controller.
    fn cut_between(&self, zone: &str, node: usize) -> bool {
        let other = site(&self.zones, node);
        let cut = self.cut.as_ref().filter(|(_, until)| self.now() < *until);
        cut.is_some_and(|(lost, _)| zone != other && (zone == lost || other == *lost))
    }

    /// Whether a controller is cut off from what belongs to no zone.
    fn cut_off(&self, node: Option<usize>) -> bool {
        let cut = self.cut.as_ref().filter(|(_, until)| self.now() < *until);
        node.is_some_and(|n| cut.is_some_and(|(lost, _)| *lost == site(&self.zones, n)))
    }

    fn state_call(&mut self, node: Option<usize>, call: Call) -> Result<Answer, Call> {
        let now = self.now();
        let alone = node.and_then(|n| self.node_away.get(&n)).is_some_and(|until| now < *until);
        if now < self.store_away || alone {
            return Ok(refused());
        }
        let changes = if let Call::Commit(commit) = &call { commit.apply.len() } else { 0 };
        if !self.store.admit(changes, now) {
            return Ok((429, write(&json!({ "error": "too many requests" }))));
        }
        let no_grant = || (404, write(&json!({ "error": "no such lease" })));
        Ok(match call {
            Call::Get(key) => match self.store.get(&key) {
                Some(pair) => (200, write(pair)),
                None => (404, write(&json!({ "epoch": self.store.epoch() }))),
            },
            Call::List { prefix, from, most } => {
                (200, write(&self.store.list(&prefix, from.as_deref(), most)))
            }
            Call::Commit(commit) => self.commit(&commit),
            Call::Grant(ttl_ms) => match self.store.grant(ttl_ms, now) {
                Some(mooring) => (200, write(&Granted { mooring })),
                None => malformed("ttl_ms is from 100 to 600000"),
            },
            Call::Extend(id) if self.store.extend(id, now) => (200, write(&json!({}))),
            Call::Extend(_) => no_grant(),
            Call::EndGrant(id) => {
                self.store.end_grant(id);
                (200, write(&json!({})))
            }
            other => return Err(other),
        })
    }

    fn commit(&mut self, commit: &Commit) -> Answer {
        match self.store.commit(commit) {
            Committed::At(epoch) => {
                let store = &self.store;
                let kept = self.keep.as_ref().filter(|_| !commit.apply.is_empty());
                let kept = kept.map(|k| k.note(commit, epoch, |key| store.get(key).cloned()));
                if let Some(Err(e)) = kept {
                    return unkept(&e);
                }
                (200, write(&state::Committed { epoch, failed: Vec::new() }))
            }
            Committed::Failed(failed) => {
                (409, write(&state::Committed { epoch: self.store.epoch(), failed }))
            }
            Committed::NoGrant => malformed("no such lease"),
            Committed::Malformed(why) => malformed(&why),
        }
    }

    fn cloud_call(&mut self, call: Call) -> Answer {
        let now = self.now();
        if now < self.cloud_away {
            return refused();
        }
        if !self.plant.cloud.admit(now) {
            return (429, write(&json!({ "error": "too many requests" })));
        }
        match call {
            Call::Types => (200, write(&self.plant.cloud.types(now))),
            Call::Rent(rent) => match self.plant.rent(&rent, now) {
                None => malformed("no such type or zone, or a number that is not from 1 to 50"),
                Some(names) if names.is_empty() => (503, write(&json!({ "error": NO_CAPACITY }))),
                Some(names) => {
                    names.iter().for_each(|name| self.plug_in(name));
                    let kept =
                        self.keep.as_ref().map(|k| k.name_machines(self.plant.cloud.named()));
                    if let Some(Err(e)) = kept {
                        return unkept(&e);
                    }
                    (200, write(&Berths { berths: names }))
                }
            },
            Call::Return(names) if names.len() > swiftsail_simulation::constants::RETURN_MOST => {
                malformed("more than 100 names")
            }
            Call::Return(names) => {
                self.plant.gone(&names, false, now);
                self.unplug();
                (200, write(&json!({})))
            }
            Call::Machines { from, most } => {
                (200, write(&self.plant.cloud.list(from.as_deref(), most, now)))
            }
            _ => malformed("no such call"),
        }
    }

    /// Gives a new machine's worker a socket of its own.
    fn plug_in(&mut self, name: &str) {
        let Some(worker) = self.plant.workers.get_mut(name) else { return };
        if self.by_socket.values().any(|n| n == name) {
            return;
        }
        if let Some(socket) = self.sockets.pop() {
            worker.addr = self.ports.worker(socket).to_string();
            self.plant.cloud.address(name, worker.addr.clone());
            self.by_socket.insert(socket, name.to_string());
        }
    }

    /// Sockets of machines that are gone are free again.
    fn unplug(&mut self) {
        let gone = |name: &String| self.plant.workers.get(name).is_none_or(|w| w.gone);
        let free: Vec<usize> =
            self.by_socket.iter().filter(|(_, n)| gone(n)).map(|(s, _)| *s).collect();
        for socket in free {
            self.by_socket.remove(&socket);
            self.sockets.insert(0, socket);
        }
        self.plant.workers.retain(|_, w| !w.gone);
    }

    /// The controller that leads, by the state service.
    fn leader(&self) -> Option<String> {
        let pair = self.store.get(keys::LEADER)?;
        serde_json::from_value::<LeaderRecord>(pair.value.clone()).ok().map(|r| r.node)
    }

    /// Commands or a question straight to a worker. None: it is silent.
    fn worker_call(&mut self, socket: usize, call: Call) -> Option<Answer> {
        let now = self.now();
        let name = self.by_socket.get(&socket)?.clone();
        let zone = self.plant.workers.get(&name)?.hardware.zone.clone();
        let from = self.leader().and_then(|l| node_number(&l));
        if from.is_some_and(|n| self.cut_between(&zone, n)) {
            return None;
        }
        match call {
            Call::Direct(_, direct) => {
                let (good, report) = self.plant.direct(&name, &direct, now)?;
                Some((if good { 200 } else { 409 }, write(&report)))
            }
            _ => {
                let worker = self.plant.workers.get_mut(&name).filter(|w| w.awake(now))?;
                Some((200, write(&worker.report(now))))
            }
        }
    }

    /// What a worker starts, it fetches the description of: users upload it, which here is what the
    /// state service holds of the job.
    fn describe(&mut self, orders: &Orders) {
        for order in orders.orders.iter().filter(|o| o.verb == Verb::Start) {
            let Some((job, _)) = order.shard.rsplit_once('/') else { continue };
            if self.plant.knows(job) {
                continue;
            }
            let record = self.store.get(&keys::job(job)).map(|p| p.value.clone());
            let record = record.and_then(|v| serde_json::from_value::<JobRecord>(v).ok());
            if let Some(record) = record {
                self.plant.describe(job, record.spec, false);
            }
        }
    }

    fn step(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        self.store.expire(now, now < self.store_away);
        if self.cut.as_ref().is_some_and(|(_, until)| now >= *until) {
            self.cut = None;
            self.links.send_modify(BTreeSet::clear);
        }
        let names: Vec<String> = self.plant.workers.keys().cloned().collect();
        for name in names {
            let Some((node, report)) = self.plant.step(&name, now) else { continue };
            let zone = report.dock.clone();
            if self.cut_between(&zone, node) {
                continue;
            }
            self.send(node, report, now, ctx);
        }
        self.unplug();
        self.wake();
    }

    /// Carries a worker's report to a controller, and the answer back.
    fn send(&self, node: usize, report: Report, sent: u64, ctx: &mut Context<Self>) {
        let url = format!("http://{}{}", self.ports.front(node), path::REPORT);
        let (client, to) = (self.client.clone(), ctx.address());
        actix::spawn(async move {
            let request = client.post(url).insert_header(("Content-Type", "application/msgpack"));
            let answer = match request.send_body(write(&report)).await {
                Ok(mut response) => {
                    let status = response.status().as_u16();
                    response.body().await.ok().map(|body| (status, body.to_vec()))
                }
                Err(_) => None,
            };
            to.do_send(Reported { worker: report.berth, session: report.watch, sent, answer });
        });
    }

    fn wake(&mut self) {
        let now = self.now();
        for n in (0..self.follows.len()).rev() {
            let Follow { node, prefix, from, until, .. } = &self.follows[n];
            let alone = node.and_then(|n| self.node_away.get(&n)).is_some_and(|u| now < *u);
            // Open watches stay open through an outage.
            if now < self.store_away || alone {
                continue;
            }
            let answer = match self.store.news(prefix, *from) {
                Err(TooOld) => (410, write(&json!({ "error": "too old" }))),
                Ok(Some(news)) => (200, write(&news)),
                Ok(None) if now >= *until => (200, write(&self.store.no_news())),
                Ok(None) => continue,
            };
            let _ = self.follows.swap_remove(n).answer.send(answer);
        }
    }

    fn fault(&mut self, fault: Fault) -> Answer {
        if let Some(flaw) = fault.flaw(self.nodes, &self.zones) {
            return (422, serde_json::to_vec(&json!({ "error": flaw })).unwrap_or_default());
        }
        let now = self.now();
        let after = |seconds: f64| now + (seconds * 1000.0) as u64;
        tracing::warn!(?fault, "fault asked for");
        let done = match fault {
            Fault::Crash { node } => {
                let _ = self.crash.send(node);
                format!("controller {node} is killed, and starts again in 3 s")
            }
            Fault::Store { seconds, node: Some(node) } => {
                self.node_away.insert(node, after(seconds));
                format!("the state service refuses controller {node} for {seconds} s")
            }
            Fault::Store { seconds, node: None } => {
                self.store_away = after(seconds);
                format!("the state service is away for {seconds} s")
            }
            Fault::Cloud { seconds } => {
                self.cloud_away = after(seconds);
                format!("the cloud's interface is away for {seconds} s")
            }
            Fault::Zone { zone, seconds } => {
                self.links.send_modify(|lost| *lost = BTreeSet::from([zone.clone()]));
                self.cut = Some((zone.clone(), after(seconds)));
                format!("zone {zone} is cut off for {seconds} s")
            }
            Fault::Spot { number } => {
                let taken = self.plant.take_spot(number, LOCAL_NOTICE_MS, now);
                format!("{taken} spot machines are being taken")
            }
            Fault::Hang { number, seconds } => {
                let hung = self.plant.hang(number, (seconds * 1000.0) as u64, now);
                format!("{hung} machines hang for {seconds} s")
            }
            Fault::Spoil { number } => {
                format!("{} machines fail what they start", self.plant.spoil(number, now))
            }
        };
        (200, serde_json::to_vec(&json!({ "done": done })).unwrap_or_default())
    }
}

impl Actor for Outside {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(LOCAL_STEP_MS), |me, ctx| me.step(ctx));
    }
}

impl Handler<Asked> for Outside {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, msg: Asked, _: &mut Self::Context) -> Self::Result {
        let Asked(node, call) = msg;
        // What goes into a cut is held for longer than its sender waits.
        let silent = || -> ResponseFuture<Answer> {
            Box::pin(async {
                actix_rt::time::sleep(Duration::from_millis(LOCAL_HELD_MS)).await;
                refused()
            })
        };
        if self.cut_off(node) {
            return silent();
        }
        let answer = match call {
            Call::Direct(socket, _) | Call::Inspect(socket) => {
                match self.worker_call(socket, call) {
                    Some(answer) => answer,
                    None => return silent(),
                }
            }
            Call::Follow { prefix, from, block_ms } => {
                let now = self.now();
                if now < self.store_away || !self.store.admit(0, now) {
                    return Box::pin(std::future::ready(refused()));
                }
                let (answer, waits) = oneshot::channel();
                let until = now + block_ms.min(FOLLOW_MOST_MS);
                self.follows.push(Follow { answer, node, prefix, from, until });
                self.wake();
                return Box::pin(async move { waits.await.unwrap_or_else(|_| refused()) });
            }
            Call::Types | Call::Rent(_) | Call::Return(_) | Call::Machines { .. } => {
                self.cloud_call(call)
            }
            other => {
                let answer =
                    self.state_call(node, other).unwrap_or_else(|_| malformed("no such call"));
                self.wake();
                answer
            }
        };
        Box::pin(std::future::ready(answer))
    }
}

impl Handler<Reported> for Outside {
    type Result = ();

    fn handle(&mut self, msg: Reported, _: &mut Self::Context) {
        let now = self.now();
        let Reported { worker: name, session, sent, answer } = msg;
        if let Some((200, body)) = &answer
            && let Ok(orders) = read::<Orders>(body)
        {
            self.describe(&orders);
            return self.plant.answered(&name, &orders, session, sent, now);
        }
        let Some(worker) = self.plant.workers.get_mut(&name) else { return };
        match answer {
            Some((421, body)) => {
                let named = read::<Redirect>(&body).ok().and_then(|r| r.harbor);
                worker.redirected(sent, named.and_then(|n| node_number(&n)), now);
            }
            _ => worker.unanswered(sent, now),
        }
    }
}

impl Handler<FaultAsked> for Outside {
    type Result = MessageResult<FaultAsked>;

    fn handle(&mut self, msg: FaultAsked, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.fault(msg.0))
    }
}

impl Handler<HowIsIt> for Outside {
    type Result = MessageResult<HowIsIt>;

    fn handle(&mut self, _: HowIsIt, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let workers = || self.plant.workers.values().filter(|w| !w.gone);
        let standing = Standing {
            leader: self.leader(),
            jobs: self.store.count(keys::JOBS),
            machines: workers().count(),
            up: workers().filter(|w| now >= w.up_at).count(),
            tasks: workers().flat_map(|w| &w.tasks).filter(|t| t.on_machine()).count(),
            done: self.plant.done.len(),
            killed: workers().map(|w| w.killed).sum(),
            spent: self.plant.cloud.spent(now),
        };
        MessageResult(standing)
    }
}
