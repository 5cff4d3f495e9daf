//! The operators' listener: JSON over HTTP, apart from the protocol's own listeners.

use crate::constants::*;
use crate::controller::{Asked, Controller, Incoming};
use crate::front::respond;
use actix::Addr;
use actix_web::{App, HttpResponse, HttpServer, web};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::node::{AdminAsk, Reply};
use swiftsail_policy::plugin::Step;

/// Paths of this listener.
pub mod path {
    /// Jobs that are not over; `?after=` goes on behind an id.
    pub const JOBS: &str = "/admin/jobs";
    /// Why a job is steered as it is.
    pub const EXPLAIN: &str = "/admin/jobs/{id}/explain";
    /// Where a job stands in the tiers and the line.
    pub const TIER_OF: &str = "/admin/jobs/{id}/tier";
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

type Node = web::Data<Addr<Controller>>;

async fn ask(to: &Addr<Controller>, ask: AdminAsk) -> HttpResponse {
    let reply = to.send(Incoming(Asked::Admin(ask))).await;
    respond(reply.unwrap_or_else(|_| Reply::later("this node is ending")), "application/json")
}

#[derive(Deserialize)]
struct After {
    after: Option<String>,
}

async fn jobs(to: Node, query: web::Query<After>) -> HttpResponse {
    ask(&to, AdminAsk::Jobs(query.into_inner().after)).await
}

async fn explain(to: Node, id: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::Explain(id.into_inner())).await
}

async fn pipeline(to: Node, id: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::Pipeline(id.into_inner())).await
}

async fn tiers(to: Node) -> HttpResponse {
    ask(&to, AdminAsk::Tiers).await
}

async fn set_tiers(to: Node, body: web::Bytes) -> HttpResponse {
    ask(&to, AdminAsk::SetTiers(body.to_vec())).await
}

async fn tier_of(to: Node, id: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::TierOf(id.into_inner())).await
}

#[derive(Deserialize)]
struct Of {
    of: Option<String>,
}

async fn dispatch(to: Node, query: web::Query<Of>) -> HttpResponse {
    ask(&to, AdminAsk::Dispatch(query.into_inner().of)).await
}

async fn set_dispatch(to: Node, body: web::Bytes) -> HttpResponse {
    ask(&to, AdminAsk::SetDispatch(body.to_vec())).await
}

async fn add_arrival(to: Node, body: web::Bytes) -> HttpResponse {
    ask(&to, AdminAsk::AddArrival(body.to_vec())).await
}

async fn loans(to: Node, query: web::Query<Of>) -> HttpResponse {
    ask(&to, AdminAsk::Loans(query.into_inner().of)).await
}

async fn plugins(to: Node) -> HttpResponse {
    ask(&to, AdminAsk::Plugins).await
}

async fn offer(to: Node, name: web::Path<String>, body: web::Bytes) -> HttpResponse {
    ask(&to, AdminAsk::Offer(name.into_inner(), body.to_vec())).await
}

async fn enable(to: Node, name: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::Change(name.into_inner(), Step::Enable)).await
}

async fn disable(to: Node, name: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::Change(name.into_inner(), Step::Disable)).await
}

async fn remove(to: Node, name: web::Path<String>) -> HttpResponse {
    ask(&to, AdminAsk::Change(name.into_inner(), Step::Remove)).await
}

/// Serves operators until the process ends.
pub async fn serve(listen: SocketAddr, to: Addr<Controller>) -> std::io::Result<()> {
    let data = web::Data::new(to);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(ADMIN_BODY_MOST))
            .route(path::JOBS, web::get().to(jobs))
            .route(path::EXPLAIN, web::get().to(explain))
            .route(path::TIER_OF, web::get().to(tier_of))
            .route(path::PIPELINE, web::get().to(pipeline))
            .route(path::TIERS, web::get().to(tiers))
            .route(path::TIERS, web::put().to(set_tiers))
            .route(path::LOANS, web::get().to(loans))
            .route(path::DISPATCH, web::get().to(dispatch))
            .route(path::DISPATCH, web::put().to(set_dispatch))
            .route(path::DISPATCH, web::post().to(add_arrival))
            .route(path::PLUGINS, web::get().to(plugins))
            .route(path::PLUGIN, web::put().to(offer))
            .route(path::PLUGIN, web::delete().to(remove))
            .route(path::ENABLE, web::post().to(enable))
            .route(path::DISABLE, web::post().to(disable))
    })
    .workers(1)
    .max_connections(ADMIN_CONNECTIONS)
    .keep_alive(Duration::from_secs(KEEP_ALIVE_S))
    .disable_signals()
    .bind(listen)?;
    server.run().await
}
