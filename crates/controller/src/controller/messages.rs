//! Inputs and outputs of a controller: events, actions, users' requests and replies.

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

/// The time of an event: both clocks of a controller, read together.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock of this process, ms. Used for timeouts and leases.
    pub monotonic: Time,
    /// Wall clock, ms since the Unix epoch. Used for times that are stored or sent to other controllers, whose clocks
    /// may differ by their offset.
    pub wall_clock: u64,
}

/// Identifies a request until its reply is sent. Unique within one process.
pub type RequestId = u64;

/// Identifies a call to the state service until its outcome arrives.
pub type StoreCallId = u64;

/// Identifies a batch of forwarded reports until its answers arrive.
pub type ForwardBatchId = u64;

/// The reply to a request, independent of the transport: the parts of an HTTP response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, encoded as MessagePack.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, s; `None` for no header.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A reply with this value as its body.
    pub fn new<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: swiftsail_protocol::encode(body), retry_after: None }
    }

    /// A reply with status 200 and this value as its body.
    pub fn ok<T: serde::Serialize>(body: &T) -> Reply {
        Reply::new(OK, body)
    }

    /// A reply with status 503, the reason and `Retry-After`.
    pub fn retry_later(reason: &str) -> Reply {
        let body = ErrorResponse { error: format!("{reason}; try again later") };
        Reply { retry_after: Some(RETRY_AFTER_S), ..Reply::new(UNAVAILABLE, &body) }
    }
}

/// A user's request, before validation.
#[derive(Debug)]
pub enum UserRequest {
    /// Submit a job; holds the body as received.
    Submit(Vec<u8>),
    /// Get the status of the job with this id.
    Poll(String),
    /// Like [`UserRequest::Poll`], after a poll of this job was rejected here. Takes precedence over first polls.
    RetriedPoll(String),
    /// Cancel the job with this id.
    Cancel(String),
    /// Health check of the load balancer.
    Health,
}

/// An input of the controller. The event, its time and the controller's state determine the new state and the
/// actions.
#[derive(Debug)]
pub enum Event {
    /// The timer fired.
    Tick,
    /// A user's request arrived.
    UserRequest(RequestId, UserRequest),
    /// A worker's status report arrived, to be answered.
    StatusReport(RequestId, Box<StatusReport>),
    /// A worker responded to commands that were sent to it directly.
    CommandResponse(Box<StatusReport>),
    /// A call to the state service ended, with or without a response.
    StoreResponse(StoreCallId, StoreOutcome),
    /// A call to the cloud ended, with or without a response.
    CloudResponse(Box<CloudCall>, CloudOutcome),
    /// Another controller forwarded status reports to this one.
    ForwardedReports(RequestId, Box<ForwardedReports>),
    /// The leader answered reports that this controller forwarded; `None`: it did not respond.
    ForwardedAnswers(ForwardBatchId, Option<ForwardedAnswers>),
    /// Another controller's heartbeat arrived, or its answer to this one's.
    Heartbeat(Heartbeat),
    /// An operator's request arrived.
    AdminRequest(RequestId, AdminRequest),
    /// A delivery to the event receiver of this plug-in ended; true if it was accepted.
    DeliveryEnded(String, bool),
    /// A probe of this machine ended, with a status report if the worker answered.
    ProbeFinished(MachineId, ProbeOutcome, Option<Box<StatusReport>>),
    /// A measurement of the platform: processor time of the process, us of a whole core, and the length of the
    /// measurement interval, ms.
    CpuUsage(u64, u64),
}

/// An output of the controller, executed by its runtime.
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
    /// Forward status reports to the controller with this host name.
    ForwardReports(ForwardBatchId, String, Box<ForwardedReports>),
    /// Send a heartbeat to every other controller.
    SendHeartbeat(Heartbeat),
    /// Deliver events to the event receiver of a plug-in.
    DeliverEvents(EventDelivery),
}

/// Context for functions of the leader's [`crate::cluster_state::ClusterState`] that write to the state service: the
/// time, the settings and the client.
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
