//! The HTTP listeners of `swiftsail local`: state service, cloud and workers, as the protocol defines them. Each controller
//! has its own addresses for the state service and the cloud, so that faults can affect single controllers.

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

/// Paths for fault injection and status.
pub mod path {
    /// POST: injects a fault.
    pub const FAULT: &str = "/fault";
    /// GET: the status of the emulated cluster.
    pub const STATUS: &str = "/standing";
}

struct RequestContext {
    emulator: Addr<Emulator>,
    ports: PortPlan,
}

type SharedContext = web::Data<RequestContext>;

fn respond((status, body): RawResponse, content_type: &str) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).insert_header(("Content-Type", content_type)).body(body)
}

/// Returns the index, below `count`, of the listener that received a request: the number of the calling controller or of
/// the called worker's socket.
fn index_of_listener(
    request: &HttpRequest,
    listener_address: impl Fn(usize) -> SocketAddr,
    count: usize,
) -> Option<usize> {
    let local_address = request.app_config().local_addr();
    (0..count).find(|n| listener_address(*n) == local_address)
}

async fn call_emulator(
    context: &RequestContext,
    node: Option<usize>,
    call: EmulatorCall,
) -> HttpResponse {
    match context.emulator.send(EmulatorRequest(node, call)).await {
        Ok(response) => respond(response, "application/msgpack"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn store_caller(request: &HttpRequest, context: &RequestContext) -> Option<usize> {
    index_of_listener(request, |n| context.ports.state(n), LOCAL_MAX_CONTROLLERS)
}

fn malformed_request(cause: impl std::fmt::Display) -> HttpResponse {
    respond(
        (400, encode(&serde_json::json!({ "error": cause.to_string() }))),
        "application/msgpack",
    )
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(rename = "starts")]
    prefix: String,
    from: Option<String>,
    #[serde(rename = "most")]
    limit: Option<usize>,
}

async fn get(request: HttpRequest, context: SharedContext, key: web::Path<String>) -> HttpResponse {
    call_emulator(&context, store_caller(&request, &context), EmulatorCall::Get(key.into_inner()))
        .await
}

async fn list(
    request: HttpRequest,
    context: SharedContext,
    query: web::Query<ListQuery>,
) -> HttpResponse {
    let ListQuery { prefix, from, limit } = query.into_inner();
    let call = EmulatorCall::List { prefix, from, limit: limit.unwrap_or(MAX_PAGE_KEYS) };
    call_emulator(&context, store_caller(&request, &context), call).await
}

async fn commit(request: HttpRequest, context: SharedContext, body: web::Bytes) -> HttpResponse {
    match decode::<Transaction>(&body) {
        Ok(transaction) => {
            call_emulator(
                &context,
                store_caller(&request, &context),
                EmulatorCall::Commit(Box::new(transaction)),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn create_lease(
    request: HttpRequest,
    context: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<LeaseRequest>(&body) {
        Ok(lease) => {
            call_emulator(
                &context,
                store_caller(&request, &context),
                EmulatorCall::CreateLease(lease.ttl_ms),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn renew_lease(
    request: HttpRequest,
    context: SharedContext,
    id: web::Path<u64>,
) -> HttpResponse {
    call_emulator(
        &context,
        store_caller(&request, &context),
        EmulatorCall::RenewLease(id.into_inner()),
    )
    .await
}

async fn revoke_lease(
    request: HttpRequest,
    context: SharedContext,
    id: web::Path<u64>,
) -> HttpResponse {
    call_emulator(
        &context,
        store_caller(&request, &context),
        EmulatorCall::RevokeLease(id.into_inner()),
    )
    .await
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(rename = "starts")]
    prefix: String,
    #[serde(rename = "from")]
    from_revision: u64,
    block_ms: Option<u64>,
}

async fn watch(
    request: HttpRequest,
    context: SharedContext,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    let WatchQuery { prefix, from_revision, block_ms } = query.into_inner();
    let call = EmulatorCall::Watch { prefix, from_revision, block_ms: block_ms.unwrap_or(0) };
    call_emulator(&context, store_caller(&request, &context), call).await
}

fn cloud_caller(request: &HttpRequest, context: &RequestContext) -> Option<usize> {
    index_of_listener(request, |n| context.ports.cloud(n), LOCAL_MAX_CONTROLLERS)
}

async fn list_machine_types(request: HttpRequest, context: SharedContext) -> HttpResponse {
    call_emulator(&context, cloud_caller(&request, &context), EmulatorCall::ListMachineTypes).await
}

async fn provision_machines(
    request: HttpRequest,
    context: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<ProvisionMachinesRequest>(&body) {
        Ok(provision) => {
            call_emulator(
                &context,
                cloud_caller(&request, &context),
                EmulatorCall::ProvisionMachines(provision),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn release_machines(
    request: HttpRequest,
    context: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<MachineNames>(&body) {
        Ok(names) => {
            call_emulator(
                &context,
                cloud_caller(&request, &context),
                EmulatorCall::ReleaseMachines(names.machines),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

#[derive(Deserialize)]
struct MachinesQuery {
    from: Option<String>,
    #[serde(rename = "most")]
    limit: Option<usize>,
}

async fn list_machines(
    request: HttpRequest,
    context: SharedContext,
    query: web::Query<MachinesQuery>,
) -> HttpResponse {
    let MachinesQuery { from, limit } = query.into_inner();
    let call = EmulatorCall::ListMachines { from, limit: limit.unwrap_or(MAX_MACHINE_PAGE) };
    call_emulator(&context, cloud_caller(&request, &context), call).await
}

fn worker_socket(request: &HttpRequest, context: &RequestContext) -> usize {
    let socket = index_of_listener(request, |n| context.ports.worker(n), LOCAL_MAX_MACHINES);
    socket.unwrap_or(usize::MAX)
}

async fn send_commands(
    request: HttpRequest,
    context: SharedContext,
    body: web::Bytes,
) -> HttpResponse {
    match decode::<DirectCommands>(&body) {
        Ok(commands) => {
            call_emulator(
                &context,
                None,
                EmulatorCall::SendCommands(worker_socket(&request, &context), Box::new(commands)),
            )
            .await
        }
        Err(e) => malformed_request(e),
    }
}

async fn probe_worker(request: HttpRequest, context: SharedContext) -> HttpResponse {
    call_emulator(&context, None, EmulatorCall::ProbeWorker(worker_socket(&request, &context)))
        .await
}

async fn inject_fault(context: SharedContext, body: web::Json<Fault>) -> HttpResponse {
    match context.emulator.send(InjectFault(body.into_inner())).await {
        Ok(response) => respond(response, "application/json"),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn emulator_status(context: SharedContext) -> HttpResponse {
    match context.emulator.send(GetEmulatorStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Binds all listeners. Returns the server, which runs until the process ends. Fails if an address cannot be bound.
pub fn serve(
    emulator: Addr<Emulator>,
    ports: PortPlan,
    controller_count: usize,
    machine_count: usize,
) -> std::io::Result<actix_web::dev::Server> {
    let context = web::Data::new(RequestContext { emulator, ports });
    let mut addresses = vec![ports.control()];
    addresses.extend((0..controller_count).flat_map(|n| [ports.state(n), ports.cloud(n)]));
    addresses.extend((0..machine_count).map(|n| ports.worker(n)));
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(context.clone())
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
    for address in addresses {
        server = server.bind(address).map_err(|e| {
            let message = format!(
                "cannot listen on {address}: {e}; free the address, or give another --port"
            );
            std::io::Error::new(e.kind(), message)
        })?;
    }
    Ok(server.run())
}
