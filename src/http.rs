//! The HTTP listeners: `front` for users, workers and health checks, and `cluster_listen` for the other controllers. Every
//! request passes admission control before its body is read.

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

/// Converts a reply to an HTTP response with this content type.
pub fn respond(reply: Reply, content_type: &str) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header(("Content-Type", content_type));
    if let Some(retry_after_s) = reply.retry_after {
        response.insert_header(("Retry-After", retry_after_s.to_string()));
    }
    response.body(reply.body)
}

async fn forward_to_controller(
    controller: &Addr<ControllerActor>,
    request: TypedRequest,
) -> HttpResponse {
    match controller.send(IncomingRequest(request)).await {
        Ok(reply) => respond(reply, MESSAGE_PACK),
        Err(_) => respond(Reply::retry_later("this node is ending"), MESSAGE_PACK),
    }
}

/// Content type of the protocol's bodies.
pub const MESSAGE_PACK: &str = "application/msgpack";

type ControllerAddress = web::Data<Addr<ControllerActor>>;
type Admission = web::Data<AdmissionController>;

async fn get_health(controller: ControllerAddress, admission: Admission) -> HttpResponse {
    match admission.admit(RequestPriority::Cancellations, Some(0)) {
        Ok(_reservation) => {
            forward_to_controller(&controller, TypedRequest::UserRequest(UserRequest::Health)).await
        }
        Err(rejection) => rejection,
    }
}

async fn submit_job(
    controller: ControllerAddress,
    admission: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    match admission.admit_and_read(RequestPriority::Submissions, &request, body).await {
        Ok(AdmittedRequest { body, reservation: _reservation }) => {
            forward_to_controller(
                &controller,
                TypedRequest::UserRequest(UserRequest::Submit(body.to_vec())),
            )
            .await
        }
        Err(rejection) => rejection,
    }
}

async fn poll_job(
    controller: ControllerAddress,
    admission: Admission,
    id: web::Path<String>,
) -> HttpResponse {
    let id = id.into_inner();
    // While polls are rejected, the retried poll of a job takes precedence over the first polls of others.
    let is_retry = admission.is_retried_poll(&id);
    let priority = if is_retry { RequestPriority::Cancellations } else { RequestPriority::Polls };
    let response = match admission.admit(priority, Some(0)) {
        Ok(_reservation) => {
            let request = if is_retry {
                UserRequest::RetriedPoll(id.clone())
            } else {
                UserRequest::Poll(id.clone())
            };
            forward_to_controller(&controller, TypedRequest::UserRequest(request)).await
        }
        Err(rejection) => rejection,
    };
    admission.record_poll(&id, response.status() != StatusCode::SERVICE_UNAVAILABLE);
    response
}

async fn cancel_job(
    controller: ControllerAddress,
    admission: Admission,
    id: web::Path<String>,
) -> HttpResponse {
    match admission.admit(RequestPriority::Cancellations, Some(0)) {
        Ok(_reservation) => {
            forward_to_controller(
                &controller,
                TypedRequest::UserRequest(UserRequest::Cancel(id.into_inner())),
            )
            .await
        }
        Err(rejection) => rejection,
    }
}

async fn receive_status_report(
    controller: ControllerAddress,
    admission: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let admitted = admission.admit_and_read(RequestPriority::Reports, &request, body).await;
    decode_and_forward::<workers::StatusReport>(controller, admitted, |report| {
        TypedRequest::StatusReport(Box::new(report))
    })
    .await
}

async fn decode_and_forward<T: DeserializeOwned>(
    controller: ControllerAddress,
    admitted: Result<AdmittedRequest, HttpResponse>,
    to_request: impl FnOnce(T) -> TypedRequest,
) -> HttpResponse {
    let AdmittedRequest { body, reservation: _reservation } = match admitted {
        Ok(admitted) => admitted,
        Err(rejection) => return rejection,
    };
    match decode::<T>(&body) {
        Ok(message) => forward_to_controller(&controller, to_request(message)).await,
        Err(e) => respond(Reply::new(400, &ErrorResponse { error: e.to_string() }), MESSAGE_PACK),
    }
}

/// Extractor that succeeds only on the cluster listener. Users and workers can reach only `front`, so the listener shows
/// that a request comes from a controller. On `front` the response is 404, as for an unknown path.
struct ControllerOrigin;

impl FromRequest for ControllerOrigin {
    type Error = actix_web::Error;
    type Future = std::future::Ready<Result<Self, Self::Error>>;

    fn from_request(request: &HttpRequest, _: &mut Payload) -> Self::Future {
        let cluster_listen = request.app_data::<web::Data<SocketAddr>>();
        let is_cluster_listener =
            cluster_listen.is_some_and(|address| request.app_config().local_addr() == ***address);
        std::future::ready(if is_cluster_listener {
            Ok(ControllerOrigin)
        } else {
            let not_found = HttpResponse::NotFound().finish();
            Err(InternalError::from_response("not the cluster listener", not_found).into())
        })
    }
}

async fn receive_forwarded_reports(
    _: ControllerOrigin,
    controller: ControllerAddress,
    admission: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let admitted = admission.admit_and_read(RequestPriority::Controllers, &request, body).await;
    decode_and_forward::<controllers::ForwardedReports>(controller, admitted, |batch| {
        TypedRequest::ForwardedReports(Box::new(batch))
    })
    .await
}

async fn receive_heartbeat(
    _: ControllerOrigin,
    controller: ControllerAddress,
    admission: Admission,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let AdmittedRequest { body, reservation: _reservation } =
        match admission.admit_and_read(RequestPriority::Controllers, &request, body).await {
            Ok(admitted) => admitted,
            Err(rejection) => return rejection,
        };
    let Ok(heartbeat) = decode::<controllers::Heartbeat>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match controller.send(IncomingHeartbeat(heartbeat)).await {
        Ok(own_heartbeat) => HttpResponse::Ok().body(encode(&own_heartbeat)),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Serves both listeners until the process ends. Fails if an address cannot be bound.
pub async fn serve(
    settings: &Settings,
    controller: Addr<ControllerActor>,
    budget: &MemoryBudget,
    admission: AdmissionController,
) -> std::io::Result<()> {
    let controller = web::Data::new(controller);
    let admission = web::Data::new(admission);
    let cluster_listen = web::Data::new(settings.cluster_listen);
    let addresses = [settings.front, settings.cluster_listen];
    let server = HttpServer::new(move || {
        App::new()
            .app_data(controller.clone())
            .app_data(cluster_listen.clone())
            .app_data(admission.clone())
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
    .bind(&addresses[..])?;
    server.run().await
}
