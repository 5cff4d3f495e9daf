//! The operators' listener: JSON over HTTP, apart from the protocol's own listeners.

use crate::constants::{KEEP_ALIVE_S, MAX_ADMIN_BODY_BYTES, MAX_ADMIN_CONNECTIONS};
use crate::http::respond;
use crate::runtime::{ControllerActor, IncomingRequest, TypedRequest};
use actix::Addr;
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::controller::{AdminRequest, Reply};
use swiftsail_policy::plugin::PluginTransition;

/// Paths of this listener.
pub mod path {
    /// Jobs that are not over; `?after=` goes on behind an id.
    pub const JOBS: &str = "/admin/jobs";
    /// Why a job is steered as it is.
    pub const EXPLAIN: &str = "/admin/jobs/{id}/explain";
    /// Where a job stands in the tiers and the line.
    pub const JOB_TIER: &str = "/admin/jobs/{id}/tier";
    /// The jobs before and after one.
    pub const PIPELINE: &str = "/admin/jobs/{id}/pipeline";
    /// The table of tiers: GET shows it, PUT offers another.
    pub const TIERS: &str = "/admin/tiers";
    /// Arrivals: GET lists them, `?of=` one; PUT offers another plan; POST adds one.
    pub const DISPATCH: &str = "/admin/dispatch";
    /// Accelerators lent; `?of=` one job's.
    pub const LOANS: &str = "/admin/loans";
    /// Plug-ins.
    pub const PLUGINS: &str = "/admin/plugins";
    /// One plug-in: PUT offers it, DELETE removes it.
    pub const PLUGIN: &str = "/admin/plugins/{name}";
    /// Switches it on.
    pub const ENABLE: &str = "/admin/plugins/{name}/enable";
    /// Switches it off.
    pub const DISABLE: &str = "/admin/plugins/{name}/disable";
}

type ControllerAddress = web::Data<Addr<ControllerActor>>;

async fn forward_to_controller(to: &Addr<ControllerActor>, ask: AdminRequest) -> HttpResponse {
    let reply = to.send(IncomingRequest(TypedRequest::AdminRequest(ask))).await;
    respond(reply.unwrap_or_else(|_| Reply::retry_later("this node is ending")), "application/json")
}

#[derive(Deserialize)]
struct PageQuery {
    after: Option<String>,
}

async fn list_jobs(to: ControllerAddress, query: web::Query<PageQuery>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Jobs(query.into_inner().after)).await
}

async fn explain_job(to: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::ExplainJob(id.into_inner())).await
}

async fn show_pipeline(to: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Pipeline(id.into_inner())).await
}

async fn show_tiers(to: ControllerAddress) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Tiers).await
}

async fn set_tiers(to: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::SetTiers(body.to_vec())).await
}

async fn explain_tier(to: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::ExplainTier(id.into_inner())).await
}

#[derive(Deserialize)]
struct SelectionQuery {
    #[serde(rename = "of")]
    selected: Option<String>,
}

async fn show_dispatch(to: ControllerAddress, query: web::Query<SelectionQuery>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Occurrences(query.into_inner().selected)).await
}

async fn set_dispatch(to: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::SetDeadlinePlan(body.to_vec())).await
}

async fn add_arrival(to: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::AddOccurrence(body.to_vec())).await
}

async fn show_loans(to: ControllerAddress, query: web::Query<SelectionQuery>) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Loans(query.into_inner().selected)).await
}

async fn list_plugins(to: ControllerAddress) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::Plugins).await
}

async fn offer_plugin(
    to: ControllerAddress,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    forward_to_controller(&to, AdminRequest::OfferPlugin(name.into_inner(), body.to_vec())).await
}

async fn enable_plugin(to: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &to,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Enable),
    )
    .await
}

async fn disable_plugin(to: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &to,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Disable),
    )
    .await
}

async fn remove_plugin(to: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &to,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Remove),
    )
    .await
}

/// Serves operators until the process ends.
pub async fn serve(listen: SocketAddr, to: Addr<ControllerActor>) -> std::io::Result<()> {
    let data = web::Data::new(to);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(MAX_ADMIN_BODY_BYTES))
            .route(path::JOBS, web::get().to(list_jobs))
            .route(path::EXPLAIN, web::get().to(explain_job))
            .route(path::JOB_TIER, web::get().to(explain_tier))
            .route(path::PIPELINE, web::get().to(show_pipeline))
            .route(path::TIERS, web::get().to(show_tiers))
            .route(path::TIERS, web::put().to(set_tiers))
            .route(path::LOANS, web::get().to(show_loans))
            .route(path::DISPATCH, web::get().to(show_dispatch))
            .route(path::DISPATCH, web::put().to(set_dispatch))
            .route(path::DISPATCH, web::post().to(add_arrival))
            .route(path::PLUGINS, web::get().to(list_plugins))
            .route(path::PLUGIN, web::put().to(offer_plugin))
            .route(path::PLUGIN, web::delete().to(remove_plugin))
            .route(path::ENABLE, web::post().to(enable_plugin))
            .route(path::DISABLE, web::post().to(disable_plugin))
    })
    .workers(1)
    .max_connections(MAX_ADMIN_CONNECTIONS)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals()
    .bind(listen)?;
    server.run().await
}
