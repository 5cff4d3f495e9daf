//! The listeners of `swiftsail local`: state service, cloud and workers over HTTP, as the protocol has
//! them. Each controller has ways of its own to the first two, so that faults can tell them apart.

use super::config::PortPlan;
use super::emulator::{
    Emulator, EmulatorCall, EmulatorRequest, GetEmulatorStatus, InjectFault, RawResponse,
};
use super::faults::Fault;
use crate::constants::{
    KEEP_ALIVE_S, LOCAL_MAX_CONTROLLERS, LOCAL_MAX_MACHINES, MAX_ADMIN_BODY_BYTES,
};
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_protocol::cloud::{MachineNames, ProvisionMachinesRequest, path as cloud};
use swiftsail_protocol::state::{LeaseRequest, Transaction, path as state};
use swiftsail_protocol::workers::{DirectCommands, path as workers};
use swiftsail_protocol::{decode, encode};
use swiftsail_simulation::constants::{MAX_MACHINE_PAGE, MAX_PAGE_KEYS};

/// Paths of faults and of how things stand.
pub mod path {
    /// Asks for a fault.
    pub const FAULT: &str = "/fault";
    /// How things stand.
    pub const STATUS: &str = "/standing";
}

struct RequestContext {
    emulator: Addr<Emulator>,
    ports: PortPlan,
}

type SharedContext = web::Data<RequestContext>;

fn respond((status, body): RawResponse, format: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).insert_header(("Content-Type", format)).body(body)
}

/// The controller by whose way a request came, or the number of the worker's socket.
fn index_of_listener(
    request: &HttpRequest,
    of: impl Fn(usize) -> SocketAddr,
    most: usize,
) -> Option<usize> {
    let here = request.app_config().local_addr();
    (0..most).find(|n| of(*n) == here)
}

async fn call_emulator(
    ways: &RequestContext,
    node: Option<usize>,
    call: EmulatorCall,
) -> HttpResponse {
    match ways.emulator.send(EmulatorRequest(node, call)).await {
        Ok(answer) => respond(answer, "application/msgpack"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn store_caller(request: &HttpRequest, ways: &RequestContext) -> Option<usize> {
    index_of_listener(request, |n| ways.ports.state(n), LOCAL_MAX_CONTROLLERS)
}

fn malformed_request(why: impl std::fmt::Display) -> HttpResponse {
    respond((400, encode(&serde_json::json!({ "error": why.to_string() }))), "application/msgpack")
}

#[derive(Deserialize)]
struct ListQuery {
    starts: String,
    from: Option<String>,
    most: Option<usize>,
}

async fn get(request: HttpRequest, ways: SharedContext, key: web::Path<String>) -> HttpResponse {
    call_emulator(&ways, store_caller(&request, &ways), EmulatorCall::Get(key.into_inner())).await
}

async fn list(
    request: HttpRequest,
    ways: SharedContext,
    query: web::Query<ListQuery>,
) -> HttpResponse {
    let ListQuery { starts, from, most } = query.into_inner();
    let call = EmulatorCall::List { prefix: starts, from, limit: most.unwrap_or(MAX_PAGE_KEYS) };
    call_emulator(&ways, store_caller(&request, &ways), call).await
}

async fn commit(request: HttpRequest, ways: SharedContext, body: web::Bytes) -> HttpResponse {
    match decode::<Transaction>(&body) {
        Ok(it) => {
            call_emulator(&ways, store_caller(&request, &ways), EmulatorCall::Commit(Box::new(it)))
                .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn create_lease(request: HttpRequest, ways: SharedContext, body: web::Bytes) -> HttpResponse {
    match decode::<LeaseRequest>(&body) {
        Ok(it) => {
            call_emulator(
                &ways,
                store_caller(&request, &ways),
                EmulatorCall::CreateLease(it.ttl_ms),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn renew_lease(
    request: HttpRequest,
    ways: SharedContext,
    id: web::Path<u64>,
) -> HttpResponse {
    call_emulator(&ways, store_caller(&request, &ways), EmulatorCall::RenewLease(id.into_inner()))
        .await
}

async fn revoke_lease(
    request: HttpRequest,
    ways: SharedContext,
    id: web::Path<u64>,
) -> HttpResponse {
    call_emulator(&ways, store_caller(&request, &ways), EmulatorCall::RevokeLease(id.into_inner()))
        .await
}

#[derive(Deserialize)]
struct FollowQuery {
    starts: String,
    from: u64,
    block_ms: Option<u64>,
}

async fn watch(
    request: HttpRequest,
    ways: SharedContext,
    query: web::Query<FollowQuery>,
) -> HttpResponse {
    let FollowQuery { starts, from, block_ms } = query.into_inner();
    let call = EmulatorCall::Watch {
        prefix: starts,
        from_revision: from,
        block_ms: block_ms.unwrap_or(0),
    };
    call_emulator(&ways, store_caller(&request, &ways), call).await
}

fn cloud_caller(request: &HttpRequest, ways: &RequestContext) -> Option<usize> {
    index_of_listener(request, |n| ways.ports.cloud(n), LOCAL_MAX_CONTROLLERS)
}

async fn list_machine_types(request: HttpRequest, ways: SharedContext) -> HttpResponse {
    call_emulator(&ways, cloud_caller(&request, &ways), EmulatorCall::ListMachineTypes).await
}

async fn provision_machines(
    request: HttpRequest,
    ways: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<ProvisionMachinesRequest>(&body) {
        Ok(it) => {
            call_emulator(&ways, cloud_caller(&request, &ways), EmulatorCall::ProvisionMachines(it))
                .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn release_machines(
    request: HttpRequest,
    ways: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<MachineNames>(&body) {
        Ok(it) => {
            call_emulator(
                &ways,
                cloud_caller(&request, &ways),
                EmulatorCall::ReleaseMachines(it.machines),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

#[derive(Deserialize)]
struct MachinesQuery {
    from: Option<String>,
    most: Option<usize>,
}

async fn list_machines(
    request: HttpRequest,
    ways: SharedContext,
    query: web::Query<MachinesQuery>,
) -> HttpResponse {
    let MachinesQuery { from, most } = query.into_inner();
    let call = EmulatorCall::ListMachines { from, limit: most.unwrap_or(MAX_MACHINE_PAGE) };
    call_emulator(&ways, cloud_caller(&request, &ways), call).await
}

fn worker_socket(request: &HttpRequest, ways: &RequestContext) -> usize {
    let found = index_of_listener(request, |n| ways.ports.worker(n), LOCAL_MAX_MACHINES);
    found.unwrap_or(usize::MAX)
}

async fn send_commands(
    request: HttpRequest,
    ways: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<DirectCommands>(&body) {
        Ok(it) => {
            call_emulator(
                &ways,
                None,
                EmulatorCall::SendCommands(worker_socket(&request, &ways), Box::new(it)),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn probe_worker(request: HttpRequest, ways: SharedContext) -> HttpResponse {
    call_emulator(&ways, None, EmulatorCall::ProbeWorker(worker_socket(&request, &ways))).await
}

async fn inject_fault(ways: SharedContext, body: web::Json<Fault>) -> HttpResponse {
    match ways.emulator.send(InjectFault(body.into_inner())).await {
        Ok(answer) => respond(answer, "application/json"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn emulator_status(ways: SharedContext) -> HttpResponse {
    match ways.emulator.send(GetEmulatorStatus).await {
        Ok(standing) => HttpResponse::Ok().json(standing),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Binds all listeners, and serves them until the process ends.
pub fn serve(
    to: Addr<Emulator>,
    ports: PortPlan,
    nodes: usize,
    machines_most: usize,
) -> std::io::Result<actix_web::dev::Server> {
    let data = web::Data::new(RequestContext { emulator: to, ports });
    let mut all = vec![ports.control()];
    all.extend((0..nodes).flat_map(|n| [ports.state(n), ports.cloud(n)]));
    all.extend((0..machines_most).map(|n| ports.worker(n)));
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(MAX_ADMIN_BODY_BYTES))
            .route(&format!("{}/{{key:.*}}", state::KEYS), web::get().to(get))
            .route(state::KEYS, web::get().to(list))
            .route(state::TRANSACTIONS, web::post().to(commit))
            .route(state::LEASES, web::post().to(create_lease))
            .route(
                &format!("{}/{{id}}/{}", state::LEASES, state::LEASE_RENEWAL),
                web::post().to(renew_lease),
            )
            .route(&format!("{}/{{id}}", state::LEASES), web::delete().to(revoke_lease))
            .route(state::WATCH, web::get().to(watch))
            .route(cloud::MACHINE_TYPES, web::get().to(list_machine_types))
            .route(cloud::MACHINES, web::post().to(provision_machines))
            .route(cloud::MACHINES, web::get().to(list_machines))
            .route(cloud::RELEASE_MACHINES, web::post().to(release_machines))
            .route(workers::COMMANDS, web::post().to(send_commands))
            .route(workers::INSPECT, web::get().to(probe_worker))
            .route(path::FAULT, web::post().to(inject_fault))
            .route(path::STATUS, web::get().to(emulator_status))
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
