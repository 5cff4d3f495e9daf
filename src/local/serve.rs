//! The listeners of `swiftsail local`: state service, cloud and workers over HTTP, as the protocol has
//! them. Each controller has ways of its own to the first two, so that faults can tell them apart.

use super::faults::Fault;
use super::model::Ports;
use super::outside::{Answer, Asked, Call, FaultAsked, HowIsIt, Outside};
use crate::constants::*;
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_simulation::constants::{LIST_MOST, PAGE_MOST};
use swiftsail_protocol::cloud::{Berths, Rent, path as cloud};
use swiftsail_protocol::state::{Ask, Commit, path as state};
use swiftsail_protocol::workers::{Direct, path as workers};
use swiftsail_protocol::{read, write};

/// Paths of faults and of how things stand.
pub mod path {
    /// Asks for a fault.
    pub const FAULT: &str = "/fault";
    /// How things stand.
    pub const STANDING: &str = "/standing";
}

struct Ways {
    to: Addr<Outside>,
    ports: Ports,
}

type Data = web::Data<Ways>;

fn respond((status, body): Answer, format: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).insert_header(("Content-Type", format)).body(body)
}

/// The controller by whose way a request came, or the number of the worker's socket.
fn came_by(request: &HttpRequest, of: impl Fn(usize) -> SocketAddr, most: usize) -> Option<usize> {
    let here = request.app_config().local_addr();
    (0..most).find(|n| of(*n) == here)
}

async fn ask(ways: &Ways, node: Option<usize>, call: Call) -> HttpResponse {
    match ways.to.send(Asked(node, call)).await {
        Ok(answer) => respond(answer, "application/msgpack"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn state_node(request: &HttpRequest, ways: &Ways) -> Option<usize> {
    came_by(request, |n| ways.ports.state(n), LOCAL_CONTROLLERS_MOST)
}

fn unreadable(why: impl std::fmt::Display) -> HttpResponse {
    respond((400, write(&serde_json::json!({ "error": why.to_string() }))), "application/msgpack")
}

#[derive(Deserialize)]
struct ListQuery {
    starts: String,
    from: Option<String>,
    most: Option<usize>,
}

async fn get(request: HttpRequest, ways: Data, key: web::Path<String>) -> HttpResponse {
    ask(&ways, state_node(&request, &ways), Call::Get(key.into_inner())).await
}

async fn list(request: HttpRequest, ways: Data, query: web::Query<ListQuery>) -> HttpResponse {
    let ListQuery { starts, from, most } = query.into_inner();
    let call = Call::List { prefix: starts, from, most: most.unwrap_or(PAGE_MOST) };
    ask(&ways, state_node(&request, &ways), call).await
}

async fn commit(request: HttpRequest, ways: Data, body: web::Bytes) -> HttpResponse {
    match read::<Commit>(&body) {
        Ok(it) => ask(&ways, state_node(&request, &ways), Call::Commit(Box::new(it))).await,
        Err(e) => unreadable(e),
    }
}

async fn grant(request: HttpRequest, ways: Data, body: web::Bytes) -> HttpResponse {
    match read::<Ask>(&body) {
        Ok(it) => ask(&ways, state_node(&request, &ways), Call::Grant(it.ttl_ms)).await,
        Err(e) => unreadable(e),
    }
}

async fn extend(request: HttpRequest, ways: Data, id: web::Path<u64>) -> HttpResponse {
    ask(&ways, state_node(&request, &ways), Call::Extend(id.into_inner())).await
}

async fn end_grant(request: HttpRequest, ways: Data, id: web::Path<u64>) -> HttpResponse {
    ask(&ways, state_node(&request, &ways), Call::EndGrant(id.into_inner())).await
}

#[derive(Deserialize)]
struct FollowQuery {
    starts: String,
    from: u64,
    block_ms: Option<u64>,
}

async fn follow(request: HttpRequest, ways: Data, query: web::Query<FollowQuery>) -> HttpResponse {
    let FollowQuery { starts, from, block_ms } = query.into_inner();
    let call = Call::Follow { prefix: starts, from, block_ms: block_ms.unwrap_or(0) };
    ask(&ways, state_node(&request, &ways), call).await
}

fn cloud_node(request: &HttpRequest, ways: &Ways) -> Option<usize> {
    came_by(request, |n| ways.ports.cloud(n), LOCAL_CONTROLLERS_MOST)
}

async fn types(request: HttpRequest, ways: Data) -> HttpResponse {
    ask(&ways, cloud_node(&request, &ways), Call::Types).await
}

async fn rent(request: HttpRequest, ways: Data, body: web::Bytes) -> HttpResponse {
    match read::<Rent>(&body) {
        Ok(it) => ask(&ways, cloud_node(&request, &ways), Call::Rent(it)).await,
        Err(e) => unreadable(e),
    }
}

async fn give_back(request: HttpRequest, ways: Data, body: web::Bytes) -> HttpResponse {
    match read::<Berths>(&body) {
        Ok(it) => ask(&ways, cloud_node(&request, &ways), Call::Return(it.berths)).await,
        Err(e) => unreadable(e),
    }
}

#[derive(Deserialize)]
struct MachinesQuery {
    from: Option<String>,
    most: Option<usize>,
}

async fn machines(
    request: HttpRequest,
    ways: Data,
    query: web::Query<MachinesQuery>,
) -> HttpResponse {
    let MachinesQuery { from, most } = query.into_inner();
    let call = Call::Machines { from, most: most.unwrap_or(LIST_MOST) };
    ask(&ways, cloud_node(&request, &ways), call).await
}

fn socket(request: &HttpRequest, ways: &Ways) -> usize {
    let found = came_by(request, |n| ways.ports.worker(n), LOCAL_MACHINES_MOST);
    found.unwrap_or(usize::MAX)
}

async fn commands(request: HttpRequest, ways: Data, body: web::Bytes) -> HttpResponse {
    match read::<Direct>(&body) {
        Ok(it) => ask(&ways, None, Call::Direct(socket(&request, &ways), Box::new(it))).await,
        Err(e) => unreadable(e),
    }
}

async fn inspect(request: HttpRequest, ways: Data) -> HttpResponse {
    ask(&ways, None, Call::Inspect(socket(&request, &ways))).await
}

async fn fault(ways: Data, body: web::Json<Fault>) -> HttpResponse {
    match ways.to.send(FaultAsked(body.into_inner())).await {
        Ok(answer) => respond(answer, "application/json"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn standing(ways: Data) -> HttpResponse {
    match ways.to.send(HowIsIt).await {
        Ok(standing) => HttpResponse::Ok().json(standing),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Binds all listeners, and serves them until the process ends.
pub fn serve(
    to: Addr<Outside>,
    ports: Ports,
    nodes: usize,
    machines_most: usize,
) -> std::io::Result<actix_web::dev::Server> {
    let data = web::Data::new(Ways { to, ports });
    let mut all = vec![ports.control()];
    all.extend((0..nodes).flat_map(|n| [ports.state(n), ports.cloud(n)]));
    all.extend((0..machines_most).map(|n| ports.worker(n)));
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(ADMIN_BODY_MOST))
            .route(&format!("{}/{{key:.*}}", state::KV), web::get().to(get))
            .route(state::KV, web::get().to(list))
            .route(state::COMMIT, web::post().to(commit))
            .route(state::GRANTS, web::post().to(grant))
            .route(&format!("{}/{{id}}/{}", state::GRANTS, state::EXTEND), web::post().to(extend))
            .route(&format!("{}/{{id}}", state::GRANTS), web::delete().to(end_grant))
            .route(state::FOLLOW, web::get().to(follow))
            .route(cloud::TYPES, web::get().to(types))
            .route(cloud::MACHINES, web::post().to(rent))
            .route(cloud::MACHINES, web::get().to(machines))
            .route(cloud::RETURN, web::post().to(give_back))
            .route(workers::COMMANDS, web::post().to(commands))
            .route(workers::INSPECT, web::get().to(inspect))
            .route(path::FAULT, web::post().to(fault))
            .route(path::STANDING, web::get().to(standing))
    })
    .workers(1)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals();
    for at in all {
        server = server.bind(at).map_err(|e| {
            let why = format!("{at}: {e}; free it, or give another --port");
            std::io::Error::new(e.kind(), why)
        })?;
    }
    Ok(server.run())
}
