//! The HTTP front: users, workers, health checks; and the controllers' own listener. Every request
//! passes the gate before its body is read.

use crate::constants::*;
use crate::controller::{Asked, BeatIn, Controller, Incoming};
use crate::entry::{Admitted, Entry};
use actix::Addr;
use actix_web::dev::Payload;
use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::{App, FromRequest, HttpRequest, HttpResponse, HttpServer, web};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::node::{Ask, Reply};
use swiftsail_controller::settings::Settings;
use swiftsail_overload_control::budget::Budget;
use swiftsail_overload_control::gate::Urgency;
use swiftsail_protocol::users::Problem;
use swiftsail_protocol::{controllers, read, users, workers, write};

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

async fn ask(to: &Addr<Controller>, ask: Asked) -> HttpResponse {
    match to.send(Incoming(ask)).await {
        Ok(reply) => respond(reply, FORMAT),
        Err(_) => respond(Reply::later("this node is ending"), FORMAT),
    }
}

/// Format of the protocol's bodies.
pub const FORMAT: &str = "application/msgpack";

type Node = web::Data<Addr<Controller>>;
type Gate = web::Data<Entry>;

async fn health(to: Node, gate: Gate) -> HttpResponse {
    match gate.enter(Urgency::Withdraw, Some(0)) {
        Ok(_held) => ask(&to, Asked::User(Ask::Health)).await,
        Err(refused) => refused,
    }
}

async fn submit(to: Node, gate: Gate, request: HttpRequest, body: web::Payload) -> HttpResponse {
    match gate.read(Urgency::Submit, &request, body).await {
        Ok(Admitted { body, held: _held }) => {
            ask(&to, Asked::User(Ask::Submit(body.to_vec()))).await
        }
        Err(refused) => refused,
    }
}

async fn poll(to: Node, gate: Gate, id: web::Path<String>) -> HttpResponse {
    let id = id.into_inner();
    // Where polls are turned away, a job's second question is not turned away for others' first.
    let pressing = gate.presses(&id);
    let urgency = if pressing { Urgency::Withdraw } else { Urgency::Poll };
    let response = match gate.enter(urgency, Some(0)) {
        Ok(_held) => {
            let asked = if pressing { Ask::Press(id.clone()) } else { Ask::Poll(id.clone()) };
            ask(&to, Asked::User(asked)).await
        }
        Err(refused) => refused,
    };
    gate.polled(&id, response.status() != StatusCode::SERVICE_UNAVAILABLE);
    response
}

async fn cancel(to: Node, gate: Gate, id: web::Path<String>) -> HttpResponse {
    match gate.enter(Urgency::Withdraw, Some(0)) {
        Ok(_held) => ask(&to, Asked::User(Ask::Cancel(id.into_inner()))).await,
        Err(refused) => refused,
    }
}

async fn report(to: Node, gate: Gate, request: HttpRequest, body: web::Payload) -> HttpResponse {
    let admitted = gate.read(Urgency::Reports, &request, body).await;
    take::<workers::Report>(to, admitted, |report| Asked::Report(Box::new(report))).await
}

async fn take<T: DeserializeOwned>(
    to: Node,
    admitted: Result<Admitted, HttpResponse>,
    asked: impl FnOnce(T) -> Asked,
) -> HttpResponse {
    let Admitted { body, held: _held } = match admitted {
        Ok(admitted) => admitted,
        Err(refused) => return refused,
    };
    match read::<T>(&body) {
        Ok(found) => ask(&to, asked(found)).await,
        Err(e) => respond(Reply::new(400, &Problem { error: e.to_string() }), FORMAT),
    }
}

/// Taken by what only controllers may ask. Users reach the front alone, so the listener tells who
/// may speak for the controllers; elsewhere there is no such path.
struct FromController;

impl FromRequest for FromController {
    type Error = actix_web::Error;
    type Future = std::future::Ready<Result<Self, Self::Error>>;

    fn from_request(request: &HttpRequest, _: &mut Payload) -> Self::Future {
        let own = request.app_data::<web::Data<SocketAddr>>();
        let here = own.is_some_and(|own| request.app_config().local_addr() == ***own);
        std::future::ready(if here {
            Ok(FromController)
        } else {
            let absent = HttpResponse::NotFound().finish();
            Err(InternalError::from_response("not a controllers' listener", absent).into())
        })
    }
}

async fn relay(
    _: FromController,
    to: Node,
    gate: Gate,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let admitted = gate.read(Urgency::Controllers, &request, body).await;
    take::<controllers::Batch>(to, admitted, |batch| Asked::Batch(Box::new(batch))).await
}

async fn beat(
    _: FromController,
    to: Node,
    gate: Gate,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    let Admitted { body, held: _held } = match gate.read(Urgency::Controllers, &request, body).await
    {
        Ok(admitted) => admitted,
        Err(refused) => return refused,
    };
    let Ok(theirs) = read::<controllers::Beat>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match to.send(BeatIn(theirs)).await {
        Ok(ours) => HttpResponse::Ok().body(write(&ours)),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Serves both listeners until the process ends.
pub async fn serve(
    settings: &Settings,
    to: Addr<Controller>,
    budget: &Budget,
    entry: Entry,
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
            .route(users::path::HEALTH, web::get().to(health))
            .route(users::path::JOBS, web::post().to(submit))
            .route(users::path::JOB, web::get().to(poll))
            .route(users::path::CANCEL, web::post().to(cancel))
            .route(workers::path::REPORT, web::post().to(report))
            .route(controllers::path::RELAY, web::post().to(relay))
            .route(controllers::path::BEAT, web::post().to(beat))
    })
    .workers(1)
    .max_connections(budget.connections)
    .client_request_timeout(Duration::from_millis(HEAD_MS))
    .backlog(BACKLOG)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals()
    .bind(&both[..])?;
    server.run().await
}
