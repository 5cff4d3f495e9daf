//! The HTTP front: users, workers, health checks; and the controllers' own listener. Every request
//! passes the gate before its body is read.

use crate::admission::{AdmissionController, AdmittedRequest};
use crate::constants::{KEEP_ALIVE_S, LISTEN_BACKLOG, REQUEST_HEAD_TIMEOUT_MS};
use crate::runtime::{ControllerActor, IncomingHeartbeat, IncomingRequest, TypedRequest};
use actix::Addr;
use actix_web::dev::Payload;
use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::{App, FromRequest, HttpRequest, HttpResponse, HttpServer, web};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::controller::{Reply, UserRequest};
use swiftsail_controller::settings::Settings;
use swiftsail_overload_control::admission::RequestPriority;
use swiftsail_overload_control::memory_budget::MemoryBudget;
use swiftsail_protocol::users::ErrorResponse;
use swiftsail_protocol::{controllers, decode, encode, users, workers};

/// A reply as an answer in a format.
pub fn respond(reply: Reply, format: &str) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header(("Content-Type", format));
    if let Some(after) = reply.retry_after {
        response.insert_header(("Retry-After", after.to_string()));
    }
    response.body(reply.body)
}

async fn forward_to_controller(to: &Addr<ControllerActor>, ask: TypedRequest) -> HttpResponse {
    match to.send(IncomingRequest(ask)).await {
        Ok(reply) => respond(reply, MESSAGE_PACK),
        Err(_) => respond(Reply::retry_later("this node is ending"), MESSAGE_PACK),
    }
}

/// Format of the protocol's bodies.
pub const MESSAGE_PACK: &str = "application/msgpack";

type ControllerAddress = web::Data<Addr<ControllerActor>>;
type Admission = web::Data<AdmissionController>;

async fn get_health(to: ControllerAddress, gate: Admission) -> HttpResponse {
    match gate.admit(RequestPriority::Cancellations, Some(0)) {
        Ok(_held) => {
            forward_to_controller(&to, TypedRequest::UserRequest(UserRequest::Health)).await
        }
        Err(refused) => refused,
    }
}

async fn submit_job(
    to: ControllerAddress,
    gate: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    match gate.admit_and_read(RequestPriority::Submissions, &request, body).await {
        Ok(AdmittedRequest { body, reservation: _held }) => {
            forward_to_controller(
                &to,
                TypedRequest::UserRequest(UserRequest::Submit(body.to_vec())),
            )
            .await
        }
        Err(refused) => refused,
    }
}

async fn poll_job(to: ControllerAddress, gate: Admission, id: web::Path<String>) -> HttpResponse {
    let id = id.into_inner();
    // Where polls are turned away, a job's second question is not turned away for others' first.
    let pressing = gate.is_retried_poll(&id);
    let urgency = if pressing { RequestPriority::Cancellations } else { RequestPriority::Polls };
    let response = match gate.admit(urgency, Some(0)) {
        Ok(_held) => {
            let asked = if pressing {
                UserRequest::RetriedPoll(id.clone())
            } else {
                UserRequest::Poll(id.clone())
            };
            forward_to_controller(&to, TypedRequest::UserRequest(asked)).await
        }
        Err(refused) => refused,
    };
    gate.record_poll(&id, response.status() != StatusCode::SERVICE_UNAVAILABLE);
    response
}

async fn cancel_job(to: ControllerAddress, gate: Admission, id: web::Path<String>) -> HttpResponse {
    match gate.admit(RequestPriority::Cancellations, Some(0)) {
        Ok(_held) => {
            forward_to_controller(
                &to,
                TypedRequest::UserRequest(UserRequest::Cancel(id.into_inner())),
            )
            .await
        }
        Err(refused) => refused,
    }
}

async fn receive_status_report(
    to: ControllerAddress,
    gate: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let admitted = gate.admit_and_read(RequestPriority::Reports, &request, body).await;
    decode_and_forward::<workers::StatusReport>(to, admitted, |report| {
        TypedRequest::StatusReport(Box::new(report))
    })
    .await
}

async fn decode_and_forward<T: DeserializeOwned>(
    to: ControllerAddress,
    admitted: Result<AdmittedRequest, HttpResponse>,
    asked: impl FnOnce(T) -> TypedRequest,
) -> HttpResponse {
    let AdmittedRequest { body, reservation: _held } = match admitted {
        Ok(admitted) => admitted,
        Err(refused) => return refused,
    };
    match decode::<T>(&body) {
        Ok(found) => forward_to_controller(&to, asked(found)).await,
        Err(e) => respond(Reply::new(400, &ErrorResponse { error: e.to_string() }), MESSAGE_PACK),
    }
}

/// Taken by what only controllers may ask. Users reach the front alone, so the listener tells who
/// may speak for the controllers; elsewhere there is no such path.
struct ControllerOrigin;

impl FromRequest for ControllerOrigin {
    type Error = actix_web::Error;
    type Future = std::future::Ready<Result<Self, Self::Error>>;

    fn from_request(request: &HttpRequest, _: &mut Payload) -> Self::Future {
        let own = request.app_data::<web::Data<SocketAddr>>();
        let here = own.is_some_and(|own| request.app_config().local_addr() == ***own);
        std::future::ready(if here {
            Ok(ControllerOrigin)
        } else {
            let absent = HttpResponse::NotFound().finish();
            Err(InternalError::from_response("not a controllers' listener", absent).into())
        })
    }
}

async fn receive_forwarded_reports(
    _: ControllerOrigin,
    to: ControllerAddress,
    gate: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let admitted = gate.admit_and_read(RequestPriority::Controllers, &request, body).await;
    decode_and_forward::<controllers::ForwardedReports>(to, admitted, |batch| {
        TypedRequest::ForwardedReports(Box::new(batch))
    })
    .await
}

async fn receive_heartbeat(
    _: ControllerOrigin,
    to: ControllerAddress,
    gate: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let AdmittedRequest { body, reservation: _held } =
        match gate.admit_and_read(RequestPriority::Controllers, &request, body).await {
            Ok(admitted) => admitted,
            Err(refused) => return refused,
        };
    let Ok(theirs) = decode::<controllers::Heartbeat>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match to.send(IncomingHeartbeat(theirs)).await {
        Ok(ours) => HttpResponse::Ok().body(encode(&ours)),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Serves both listeners until the process ends.
pub async fn serve(
    settings: &Settings,
    to: Addr<ControllerActor>,
    budget: &MemoryBudget,
    entry: AdmissionController,
) -> std::io::Result<()> {
    let data = web::Data::new(to);
    let entry = web::Data::new(entry);
    let cluster = web::Data::new(settings.cluster_listen);
    let both = [settings.front, settings.cluster_listen];
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(cluster.clone())
            .app_data(entry.clone())
            .route(users::path::HEALTH, web::get().to(get_health))
            .route(users::path::JOBS, web::post().to(submit_job))
            .route(users::path::JOB, web::get().to(poll_job))
            .route(users::path::CANCEL, web::post().to(cancel_job))
            .route(workers::path::REPORT, web::post().to(receive_status_report))
            .route(controllers::path::FORWARDED_REPORTS, web::post().to(receive_forwarded_reports))
            .route(controllers::path::HEARTBEAT, web::post().to(receive_heartbeat))
    })
    .workers(1)
    .max_connections(budget.connections)
    .client_request_timeout(Duration::from_millis(REQUEST_HEAD_TIMEOUT_MS))
    .backlog(LISTEN_BACKLOG)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals()
    .bind(&both[..])?;
    server.run().await
}
