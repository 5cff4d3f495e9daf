//! What goes into a controller and what comes out of it: events, actions, users' requests and replies.

use super::{AdminRequest, CallContext};
use crate::Time;
use crate::cloud::{CloudCall, CloudOutcome};
use crate::constants::RETRY_AFTER_S;
use crate::job::MachineId;
use crate::settings::Settings;
use crate::store::{StoreCall, StoreClient, StoreOutcome};
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_protocol::controllers::{ForwardedAnswers, ForwardedReports, Heartbeat};
use swiftsail_protocol::users::ErrorResponse;
use swiftsail_protocol::workers::{DirectCommands, StatusReport};

/// HTTP status of a successful reply.
const OK: u16 = 200;
/// HTTP status of a reply that asks for a retry.
const UNAVAILABLE: u16 = 503;

/// The two clocks of a controller, read together.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock of this process, ms. Timeouts and leases are measured by it.
    pub monotonic: Time,
    /// Wall clock, ms since the Unix epoch. It is compared between controllers, within their clock offset.
    pub wall_clock: u64,
}

/// Identifies a request that waits for its reply. Unique within one incarnation of a controller.
pub type RequestId = u64;

/// Identifies a call to the state service until its outcome arrives.
pub type StoreCallId = u64;

/// Identifies a message with forwarded reports until its answers arrive.
pub type ForwardBatchId = u64;

/// The reply to a request: an HTTP response without its transport.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, MessagePack.
    pub body: Vec<u8>,
    /// `Retry-After`, s.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A reply whose body is this value.
    pub fn new<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: swiftsail_protocol::encode(body), retry_after: None }
    }

    /// A successful reply whose body is this value.
    pub fn ok<T: serde::Serialize>(body: &T) -> Reply {
        Reply::new(OK, body)
    }

    /// 503 with the reason and `Retry-After`.
    pub fn retry_later(reason: &str) -> Reply {
        let body = ErrorResponse { error: format!("{reason}; try again later") };
        Reply { retry_after: Some(RETRY_AFTER_S), ..Reply::new(UNAVAILABLE, &body) }
    }
}

/// A user's request, not validated yet.
#[derive(Debug)]
pub enum UserRequest {
    /// Submit a job: the body as received.
    Submit(Vec<u8>),
    /// Get the status of the job with this id.
    Poll(String),
    /// The same, after a poll of this job was refused here: it takes precedence over a first poll.
    RetriedPoll(String),
    /// Cancel the job with this id.
    Cancel(String),
    /// Health check of the load balancer.
    Health,
}

/// An input of the controller. With the time and the state before it determines the state after it and the actions.
#[derive(Debug)]
pub enum Event {
    /// The timer fired.
    Tick,
    /// A user's request arrived.
    UserRequest(RequestId, UserRequest),
    /// A worker's status report arrived, to be answered.
    StatusReport(RequestId, Box<StatusReport>),
    /// A worker answered commands that were sent to it directly.
    CommandResponse(Box<StatusReport>),
    /// A call to the state service ended, with or without a response.
    StoreResponse(StoreCallId, StoreOutcome),
    /// A call to the cloud ended, with or without a response.
    CloudResponse(Box<CloudCall>, CloudOutcome),
    /// Another controller forwarded status reports to this one.
    ForwardedReports(RequestId, Box<ForwardedReports>),
    /// The leader answered reports that this controller forwarded; none: no response.
    ForwardedAnswers(ForwardBatchId, Option<ForwardedAnswers>),
    /// Another controller's heartbeat arrived, or its answer to this one's.
    Heartbeat(Heartbeat),
    /// An operator's request arrived.
    AdminRequest(RequestId, AdminRequest),
    /// A delivery to the event receiver of this plug-in ended; true: it was accepted.
    DeliveryEnded(String, bool),
    /// A probe of this machine ended, with its status report if it answered.
    ProbeFinished(MachineId, ProbeOutcome, Option<Box<StatusReport>>),
    /// The process used this much processor time, us of a whole core, within this time, ms.
    CpuUsage(u64, u64),
}

/// An output of the controller, to be executed by its runtime.
#[derive(Debug)]
pub enum Action {
    /// Send the reply to a request.
    Reply(RequestId, Reply),
    /// Call the state service.
    CallStore(StoreCallId, StoreCall),
    /// Call the cloud.
    CallCloud(CloudCall),
    /// Send commands directly to the worker at this address.
    SendCommands(String, DirectCommands),
    /// Probe this machine at this address.
    ProbeMachine(MachineId, String),
    /// Forward status reports to the controller of this name.
    ForwardReports(ForwardBatchId, String, Box<ForwardedReports>),
    /// Send a heartbeat to every other controller.
    SendHeartbeat(Heartbeat),
    /// Deliver events to the event receiver of a plug-in.
    DeliverEvents(EventDelivery),
}

/// What functions of the leader's [`crate::cluster_state::ClusterState`] need beside it: the time, the settings, and the
/// client through which they write to the state service.
pub struct LeaderContext<'a> {
    /// Monotonic clock, ms.
    pub now: Time,
    /// Wall clock, ms since the Unix epoch.
    pub wall_clock: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// The client of the state service.
    pub store: &'a mut StoreClient<CallContext>,
}
