//! The actor around the pure controller: it brings events to it, one at a time and with the time of their arrival,
//! and has the actions that the controller returns executed.
//!
//! It owns the [`Controller`], the clocks and the requests that wait for a reply. Outbound HTTP is in
//! `store_client`, `cloud_client`, `worker_client` and `peer_client`; `actions` says which action calls which.

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
    /// `None` where the system does not tell how much processor time the process has used.
    last_cpu_sample: Option<CpuSample>,
}

/// Processor time used by this process, as measured at one moment.
struct CpuSample {
    taken_at: Instant,
    used: ProcessTime,
}

/// An inbound request, resolved by the controller's reply. There is a reply in any case: an actor that ends gives 503.
#[derive(Message)]
#[rtype(result = "Reply")]
pub struct IncomingRequest(pub TypedRequest);

/// An inbound request, by who sent it.
pub enum TypedRequest {
    /// A user's.
    UserRequest(UserRequest),
    /// A worker's heartbeat with the status of its tasks.
    StatusReport(Box<StatusReport>),
    /// Heartbeats of workers that another controller forwards to the leader.
    ForwardedReports(Box<ForwardedReports>),
    /// An operator's.
    AdminRequest(AdminRequest),
}

/// A heartbeat of another controller, resolved by this controller's own heartbeat.
#[derive(Message)]
#[rtype(result = "Heartbeat")]
pub struct IncomingHeartbeat(pub Heartbeat);

/// An event that an outbound call of this actor brought about.
#[derive(Message)]
#[rtype(result = "()")]
struct EventOccurred(Event);

impl ControllerActor {
    /// A controller ready to start. `seed` decides all of its random choices; `admission` is told its load level.
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

    /// Reports the load level to the admission controller and, once per sampling interval, the processor time that
    /// this process used to the controller.
    fn measure_cpu_usage(&mut self, ctx: &mut Context<Self>) {
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
        // Executing an action can bring up an outcome at once, which makes more actions.
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
            actor.measure_cpu_usage(ctx);
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

/// Time since the Unix epoch, ms; 0 if the clock is set before it.
fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
