//! The operators' listener: JSON over HTTP, on an address separate from the protocol's listeners.

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
    /// GET: the jobs that have not ended, in pages; `?after=` continues after a job id.
    pub const JOBS: &str = "/admin/jobs";
    /// GET: how policy and plug-ins affect a job, and what it waits for.
    pub const EXPLAIN: &str = "/admin/jobs/{id}/explain";
    /// GET: the tier of a job and its position in the queue.
    pub const JOB_TIER: &str = "/admin/jobs/{id}/tier";
    /// GET: the jobs that a job depends on and those that depend on it.
    pub const PIPELINE: &str = "/admin/jobs/{id}/pipeline";
    /// The tier table. GET: the table in force; PUT: replaces it by one of a higher version.
    pub const TIERS: &str = "/admin/tiers";
    /// Arrivals. GET: all, or with `?of=` one; PUT: replaces the plan by one of a higher version; POST: adds one.
    pub const DISPATCH: &str = "/admin/dispatch";
    /// GET: the loans of accelerators, or with `?of=` those of one job.
    pub const LOANS: &str = "/admin/loans";
    /// GET: the counters of this controller.
    pub const METRICS: &str = "/admin/metrics";
    /// GET: all plug-ins.
    pub const PLUGINS: &str = "/admin/plugins";
    /// One plug-in. PUT: adds it or a new version of it; DELETE: removes it.
    pub const PLUGIN: &str = "/admin/plugins/{name}";
    /// POST: enables a plug-in.
    pub const ENABLE: &str = "/admin/plugins/{name}/enable";
    /// POST: disables a plug-in.
    pub const DISABLE: &str = "/admin/plugins/{name}/disable";
}

type ControllerAddress = web::Data<Addr<ControllerActor>>;

async fn forward_to_controller(
    controller: &Addr<ControllerActor>,
    request: AdminRequest,
) -> HttpResponse {
    let reply = controller.send(IncomingRequest(TypedRequest::AdminRequest(request))).await;
    respond(reply.unwrap_or_else(|_| Reply::retry_later("this node is ending")), "application/json")
}

#[derive(Deserialize)]
struct PageQuery {
    after: Option<String>,
}

async fn list_jobs(controller: ControllerAddress, query: web::Query<PageQuery>) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Jobs(query.into_inner().after)).await
}

async fn explain_job(controller: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::ExplainJob(id.into_inner())).await
}

async fn show_pipeline(controller: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Pipeline(id.into_inner())).await
}

async fn show_tiers(controller: ControllerAddress) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Tiers).await
}

async fn set_tiers(controller: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::SetTiers(body.to_vec())).await
}

async fn explain_tier(controller: ControllerAddress, id: web::Path<String>) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::ExplainTier(id.into_inner())).await
}

#[derive(Deserialize)]
struct SelectionQuery {
    #[serde(rename = "of")]
    selected: Option<String>,
}

async fn list_arrivals(
    controller: ControllerAddress,
    query: web::Query<SelectionQuery>,
) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Occurrences(query.into_inner().selected)).await
}

async fn set_dispatch_plan(controller: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::SetDeadlinePlan(body.to_vec())).await
}

async fn add_arrival(controller: ControllerAddress, body: web::Bytes) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::AddOccurrence(body.to_vec())).await
}

async fn show_loans(
    controller: ControllerAddress,
    query: web::Query<SelectionQuery>,
) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Loans(query.into_inner().selected)).await
}

async fn show_metrics(controller: ControllerAddress) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Metrics).await
}

async fn list_plugins(controller: ControllerAddress) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::Plugins).await
}

async fn offer_plugin(
    controller: ControllerAddress,
    name: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    forward_to_controller(&controller, AdminRequest::OfferPlugin(name.into_inner(), body.to_vec()))
        .await
}

async fn enable_plugin(controller: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &controller,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Enable),
    )
    .await
}

async fn disable_plugin(controller: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &controller,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Disable),
    )
    .await
}

async fn remove_plugin(controller: ControllerAddress, name: web::Path<String>) -> HttpResponse {
    forward_to_controller(
        &controller,
        AdminRequest::ChangePlugin(name.into_inner(), PluginTransition::Remove),
    )
    .await
}

/// Serves operators until the process ends. Fails if the address cannot be bound.
pub async fn serve(listen: SocketAddr, controller: Addr<ControllerActor>) -> std::io::Result<()> {
    let controller = web::Data::new(controller);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(controller.clone())
            .app_data(web::PayloadConfig::new(MAX_ADMIN_BODY_BYTES))
            .route(path::JOBS, web::get().to(list_jobs))
            .route(path::EXPLAIN, web::get().to(explain_job))
            .route(path::JOB_TIER, web::get().to(explain_tier))
            .route(path::PIPELINE, web::get().to(show_pipeline))
            .route(path::TIERS, web::get().to(show_tiers))
            .route(path::TIERS, web::put().to(set_tiers))
            .route(path::LOANS, web::get().to(show_loans))
            .route(path::DISPATCH, web::get().to(list_arrivals))
            .route(path::DISPATCH, web::put().to(set_dispatch_plan))
            .route(path::DISPATCH, web::post().to(add_arrival))
            .route(path::METRICS, web::get().to(show_metrics))
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
