//! What operators ask of a controller: jobs, plug-ins, and why a job is steered as it is. Answers are
//! JSON.

use super::plugins::plugin_error_reply;
use super::{Action, CallContext, Controller, Reply, RequestId};
use crate::constants::{MS_PER_S, USER_STORE_TIMEOUT_MS};
use crate::job::{JobId, StoredJob, keys};
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde_json::json;
use swiftsail_policy::plugin::{PluginOffer, PluginTransition};

/// What an operator asks.
#[derive(Debug)]
pub enum AdminRequest {
    /// A page of the jobs that are not over, after this id.
    Jobs(Option<String>),
    /// All plug-ins.
    Plugins,
    /// Offer a plug-in: its name, and the offer as JSON.
    Offer(String, Vec<u8>),
    /// Switch a plug-in on or off, or remove it.
    Change(String, PluginTransition),
    /// Who said what of a job, and what was taken.
    Explain(String),
    /// The table of tiers in force, and what waits in each.
    Tiers,
    /// Another table of tiers, as JSON.
    SetTiers(Vec<u8>),
    /// Why a job is of its tier, and where in the line it stands.
    TierOf(String),
    /// Arrivals; one if it is named.
    Dispatch(Option<String>),
    /// Another plan of arrivals and chains, as JSON.
    SetDispatch(Vec<u8>),
    /// One arrival, as JSON.
    AddArrival(Vec<u8>),
    /// The jobs before and after one that are not over.
    Pipeline(String),
    /// Accelerators lent; of one job if it is named.
    Loans(Option<String>),
}

impl Reply {
    /// An answer in JSON.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(body).unwrap_or_default(), retry_after: None }
    }
}

impl Controller {
    pub(super) fn answer(&mut self, request: RequestId, reply: Reply) {
        self.actions.push(Action::Reply(request, reply));
    }

    pub(super) fn on_admin(&mut self, request: RequestId, ask: AdminRequest) {
        let plugins = matches!(
            ask,
            AdminRequest::Plugins | AdminRequest::Offer(..) | AdminRequest::Change(..)
        );
        if plugins && !self.plugins.enabled() {
            let why = "plug-ins are switched off; set `enabled = true` under [plugins] in the \
                       operators' file";
            return self.answer(request, plugin_error_reply(409, why));
        }
        match ask {
            AdminRequest::Jobs(after) => {
                let from = after.map(|id| keys::job(&id));
                let call = StoreCall::List { prefix: keys::JOBS.into(), from };
                let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
                let purpose = CallContext::ListJobs { request };
                self.store.push(call, purpose, CallPriority::Low, RetryPolicy::OnceBefore(until));
            }
            AdminRequest::Plugins => {
                let shown = json!({ "node": self.settings.host_name, "plugins": self.plugin_host.statuses() });
                self.answer(request, Reply::json(200, &shown));
            }
            AdminRequest::Offer(name, body) => match serde_json::from_slice::<PluginOffer>(&body) {
                Ok(offer) => self.offer_plugin(request, &name, &offer),
                Err(e) => {
                    let why =
                        format!("the offer cannot be read: {e}; send JSON with kind and source");
                    self.answer(request, plugin_error_reply(400, why));
                }
            },
            AdminRequest::Change(name, step) => self.change_plugin(request, &name, step),
            AdminRequest::Tiers => {
                // What waits is known to the leader alone.
                let reply = match self.is_leader() {
                    true => Reply::json(200, &self.show_tiers()),
                    false => self.reply_not_leader(),
                };
                self.answer(request, reply);
            }
            AdminRequest::Loans(of) => {
                let reply = match self.is_leader() {
                    true => Reply::json(200, &self.show_loans(of.as_deref())),
                    false => self.reply_not_leader(),
                };
                self.answer(request, reply);
            }
            AdminRequest::Pipeline(id) => {
                let reply = match (&self.cluster_state, self.now.monotonic) {
                    (Some(leader), now) => match leader.describe_dependencies(&id, now) {
                        Some(shown) => Reply::json(200, &shown),
                        None => {
                            plugin_error_reply(404, format!("job `{id}` is not alive; poll it"))
                        }
                    },
                    (None, _) => self.reply_not_leader(),
                };
                self.answer(request, reply);
            }
            AdminRequest::Dispatch(of) => {
                let reply = self.show_dispatch(of.as_deref());
                self.answer(request, reply);
            }
            AdminRequest::SetDispatch(body) => self.set_plan(request, &body),
            AdminRequest::AddArrival(body) => self.add_occurrence(request, &body),
            AdminRequest::SetTiers(body) => self.set_tiers(request, &body),
            AdminRequest::TierOf(id) => {
                let reply = self.explain_tier(&id);
                self.answer(request, reply);
            }
            AdminRequest::Explain(id) => {
                let reply = match (self.is_leader(), self.explained(&id)) {
                    (_, Some(found)) => Reply::json(200, &found),
                    (true, None) => {
                        plugin_error_reply(404, format!("job `{id}` is not alive; poll it"))
                    }
                    (false, None) => {
                        let leader = self.leadership.known_leader.clone();
                        let why = "this controller does not lead; ask the leader";
                        Reply::json(421, &json!({ "error": why, "leader": leader }))
                    }
                };
                self.answer(request, reply);
            }
        }
    }

    /// A page of jobs has been read for an operator.
    pub(super) fn jobs_listed(&mut self, request: RequestId, outcome: &StoreOutcome) {
        let StoreOutcome::Page(page) = outcome else {
            return self.answer(
                request,
                plugin_error_reply(503, "the state service does not answer; try again"),
            );
        };
        let mut jobs = Vec::new();
        for pair in &page.entries {
            let Some(id) = pair.key.strip_prefix(keys::JOBS) else { continue };
            let Some(StoredJob::Live(record)) = StoredJob::read(&pair.value) else {
                continue;
            };
            let (done, running) = self.task_counts_of(&JobId::from(id));
            let age = self.now.wall_clock.saturating_sub(record.accepted_wall) as f64 / MS_PER_S;
            jobs.push(json!({
                "job": id,
                "class": record.spec.class,
                "awaits": record.depends_on.iter().map(|id| id.to_string()).collect::<Vec<_>>(),
                "team": record.spec.team,
                "kind": record.spec.kind,
                "priority": record.spec.priority,
                "tasks": record.spec.tasks,
                "done": done,
                "running": running,
                "cancelled": record.cancelled,
                "age_s": age,
                "deadline_s": record.spec.deadline_s,
            }));
        }
        let next = page.entries.last().filter(|_| page.has_next);
        let next = next.and_then(|p| p.key.strip_prefix(keys::JOBS));
        self.answer(request, Reply::json(200, &json!({ "jobs": jobs, "next": next })));
    }
}
