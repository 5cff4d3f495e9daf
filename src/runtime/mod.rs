//! The actor that runs the [`Controller`]. It passes events to the controller one at a time, each with the current time,
//! and executes the actions that the controller returns.
//!
//! It owns the controller, the clocks and the requests that wait for a reply. Outbound HTTP calls are in `store_client`,
//! `cloud_client`, `worker_client` and `peer_client`; `actions` maps each action to its call.

mod actions;
mod cloud_client;
mod http_clients;
mod peer_client;
mod store_client;
mod worker_client;

use crate::admission::AdmissionController;
use crate::constants::{CPU_SAMPLE_INTERVAL_MS, MAX_MAILBOX_MESSAGES, MONOTONIC_ORIGIN_MS};
use actix::prelude::{
    Actor, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture,
};
use cpu_time::ProcessTime;
use http_clients::HttpClients;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use swiftsail_controller::constants::TICK_INTERVAL_MS;
use swiftsail_controller::controller::{
    AdminRequest, Controller, Event, Now, Reply, RequestId, UserRequest,
};
use swiftsail_controller::settings::Settings;
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_protocol::controllers::{ForwardedReports, Heartbeat};
use swiftsail_protocol::workers::StatusReport;
use tokio::sync::oneshot;

/// The one actor that owns the controller of this process.
pub struct ControllerActor {
    controller: Controller,
    settings: Arc<Settings>,
    clients: HttpClients,
    started_at: Instant,
    pending_replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    next_request_id: RequestId,
    admission: AdmissionController,
    /// `None` if the operating system does not report the CPU time of the process.
    last_cpu_sample: Option<CpuSample>,
}

/// The CPU time that this process had used at one point in time.
struct CpuSample {
    taken_at: Instant,
    used: ProcessTime,
}

/// An inbound request. It resolves to the controller's reply, or to status 503 if the actor stops before it replies.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct IncomingRequest(pub TypedRequest);

/// An inbound request, by its sender and kind.
pub enum TypedRequest {
    /// A request from a user.
    UserRequest(UserRequest),
    /// A worker's status report.
    StatusReport(Box<StatusReport>),
    /// Workers' status reports that another controller forwards to the leader.
    ForwardedReports(Box<ForwardedReports>),
    /// A request from an operator.
    AdminRequest(AdminRequest),
}

/// A heartbeat from another controller. It resolves to this controller's own heartbeat.
#[derive(Message)]
#[rtype(result = "Heartbeat")]
pub struct IncomingHeartbeat(pub Heartbeat);

/// The outcome of an outbound call, sent to the actor as an event.
#[derive(Message)]
#[rtype(result = "()")]
struct EventOccurred(Event);

impl ControllerActor {
    /// Creates an actor with a new controller. `seed` determines all random choices of the controller; `admission` is
    /// kept up to date with its load level.
    pub fn new(
        settings: Arc<Settings>,
        operator: &OperatorSettings,
        admission: AdmissionController,
        seed: u64,
    ) -> ControllerActor {
        let started_at = Instant::now();
        let now = Now { monotonic: MONOTONIC_ORIGIN_MS, wall_clock: wall_clock_ms() };
        let controller = Controller::with_operator_settings(settings.clone(), operator, seed, now);
        ControllerActor {
            controller,
            settings,
            clients: HttpClients::new(),
            started_at,
            pending_replies: HashMap::new(),
            next_request_id: 1,
            admission,
            last_cpu_sample: ProcessTime::try_now()
                .ok()
                .map(|used| CpuSample { taken_at: started_at, used }),
        }
    }

    /// Reports the load level to the admission controller and, once per sampling interval, the CPU time that this
    /// process used to the controller.
    fn report_load(&mut self, ctx: &mut Context<Self>) {
        self.admission.set_level(self.controller.load_level());
        let Some(last) = &self.last_cpu_sample else { return };
        let elapsed_ms = last.taken_at.elapsed().as_millis() as u64;
        if elapsed_ms < CPU_SAMPLE_INTERVAL_MS {
            return;
        }
        let Ok(used) = ProcessTime::try_now() else { return };
        let used_us = used.duration_since(last.used).as_micros() as u64;
        self.last_cpu_sample = Some(CpuSample { taken_at: Instant::now(), used });
        self.apply_event(Event::CpuUsage(used_us, elapsed_ms), ctx);
    }

    fn current_time(&self) -> Now {
        let monotonic = MONOTONIC_ORIGIN_MS + self.started_at.elapsed().as_millis() as u64;
        Now { monotonic, wall_clock: wall_clock_ms() }
    }

    fn apply_event(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.current_time();
        self.controller.handle(event, now);
        // Repeats until the controller has no further actions.
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
}

impl Actor for ControllerActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAX_MAILBOX_MESSAGES);
        ctx.run_interval(Duration::from_millis(TICK_INTERVAL_MS), |actor, ctx| {
            actor.apply_event(Event::Tick, ctx);
            actor.report_load(ctx);
        });
    }
}

impl Handler<IncomingRequest> for ControllerActor {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, message: IncomingRequest, ctx: &mut Self::Context) -> Self::Result {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let (reply_sender, reply) = oneshot::channel();
        self.pending_replies.insert(id, reply_sender);
        let event = match message.0 {
            TypedRequest::UserRequest(request) => Event::UserRequest(id, request),
            TypedRequest::StatusReport(report) => Event::StatusReport(id, report),
            TypedRequest::ForwardedReports(reports) => Event::ForwardedReports(id, reports),
            TypedRequest::AdminRequest(request) => Event::AdminRequest(id, request),
        };
        self.apply_event(event, ctx);
        Box::pin(async move {
            reply.await.unwrap_or_else(|_| Reply::retry_later("this node is ending"))
        })
    }
}

impl Handler<IncomingHeartbeat> for ControllerActor {
    type Result = MessageResult<IncomingHeartbeat>;

    fn handle(&mut self, message: IncomingHeartbeat, ctx: &mut Self::Context) -> Self::Result {
        let is_abridged = message.0.is_abridged;
        self.apply_event(Event::Heartbeat(message.0), ctx);
        MessageResult(self.controller.build_heartbeat(is_abridged))
    }
}

impl Handler<EventOccurred> for ControllerActor {
    type Result = ();

    fn handle(&mut self, message: EventOccurred, ctx: &mut Self::Context) {
        self.apply_event(message.0, ctx);
    }
}

/// Time since the Unix epoch, ms; 0 if the system clock is set to an earlier time.
fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
