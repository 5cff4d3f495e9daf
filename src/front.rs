//! The HTTP front: users, workers, health checks; and the controllers' own listener.

use crate::constants::*;
use crate::controller::{Asked, BeatIn, Controller, Incoming};
use actix::Addr;
use actix_web::dev::Payload;
use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::{App, FromRequest, HttpRequest, HttpResponse, HttpServer, web};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_core::node::{Ask, Reply};
use swiftsail_core::settings::Settings;
use swiftsail_wire::constants::BODY_MOST;
use swiftsail_wire::users::Problem;
use swiftsail_wire::{controllers, read, users, workers, write};

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
const FORMAT: &str = "application/msgpack";

type Node = web::Data<Addr<Controller>>;
type Body = Result<web::Bytes, actix_web::Error>;

async fn health(to: Node) -> HttpResponse {
    ask(&to, Asked::User(Ask::Health)).await
}

async fn submit(to: Node, body: Body) -> HttpResponse {
    match body {
        Ok(body) => ask(&to, Asked::User(Ask::Submit(body.to_vec()))).await,
        Err(e) => unread(&e),
    }
}

async fn poll(to: Node, id: web::Path<String>) -> HttpResponse {
    ask(&to, Asked::User(Ask::Poll(id.into_inner()))).await
}

async fn cancel(to: Node, id: web::Path<String>) -> HttpResponse {
    ask(&to, Asked::User(Ask::Cancel(id.into_inner()))).await
}

async fn report(to: Node, body: Body) -> HttpResponse {
    take::<workers::Report>(to, body, |report| Asked::Report(Box::new(report))).await
}

async fn take<T: DeserializeOwned>(
    to: Node,
    body: Body,
    asked: impl FnOnce(T) -> Asked,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(e) => return unread(&e),
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

async fn relay(_: FromController, to: Node, body: Body) -> HttpResponse {
    take::<controllers::Batch>(to, body, |batch| Asked::Batch(Box::new(batch))).await
}

async fn beat(_: FromController, to: Node, body: Body) -> HttpResponse {
    let Some(theirs) = body.ok().and_then(|b| read::<controllers::Beat>(&b).ok()) else {
        return HttpResponse::BadRequest().finish();
    };
    match to.send(BeatIn(theirs)).await {
        Ok(ours) => HttpResponse::Ok().body(write(&ours)),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn unread(err: &actix_web::Error) -> HttpResponse {
    respond(Reply::new(400, &Problem { error: format!("the body cannot be read: {err}") }), FORMAT)
}

/// Serves both listeners until the process ends.
pub async fn serve(settings: &Settings, to: Addr<Controller>) -> std::io::Result<()> {
    let sockets = settings.settings.machine_limits.max_connections;
    let data = web::Data::new(to);
    let cluster = web::Data::new(settings.cluster_listen);
    let both = [settings.front, settings.cluster_listen];
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(cluster.clone())
            .app_data(web::PayloadConfig::new(BODY_MOST))
            .route(users::path::HEALTH, web::get().to(health))
            .route(users::path::JOBS, web::post().to(submit))
            .route(users::path::JOB, web::get().to(poll))
            .route(users::path::CANCEL, web::post().to(cancel))
            .route(workers::path::REPORT, web::post().to(report))
            .route(controllers::path::RELAY, web::post().to(relay))
            .route(controllers::path::BEAT, web::post().to(beat))
    })
    .workers(1)
    .max_connections(sockets * 3 / 4)
    .backlog(BACKLOG)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals()
    .bind(&both[..])?;
    server.run().await
}
