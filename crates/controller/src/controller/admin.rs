//! Operators' requests: jobs, plug-ins, tiers, the deadline plan, GPU loans, and why a job is scheduled as it is.
//! Routes each request to the module that owns the state, and lists jobs itself. Replies are JSON. Only the leader knows
//! which jobs wait and which GPUs are on loan; other controllers reply 421 with the name of the leader.

use super::plugins::admin_error_reply;
use super::requests::replies::http_status;
use super::{Action, CallContext, Controller, Reply, RequestId};
use crate::constants::{MS_PER_S, USER_STORE_TIMEOUT_MS};
use crate::job::{JobRecord, StoredJob, keys};
use crate::store::{CallPriority, RefusalCounts, RetryPolicy, StoreCall, StoreOutcome};
use serde::Serialize;
use serde_json::json;
use swiftsail_policy::plugin::{PluginOffer, PluginTransition};

/// A request of an operator.
#[derive(Debug)]
pub enum AdminRequest {
    /// List a page of the live jobs, after this id.
    Jobs(Option<String>),
    /// List all plug-ins.
    Plugins,
    /// Offer a plug-in: its name, and the offer as JSON.
    OfferPlugin(String, Vec<u8>),
    /// Enable, disable or remove the named plug-in.
    ChangePlugin(String, PluginTransition),
    /// Explain what policy and plug-ins decided for the job of this id, and what was applied.
    ExplainJob(String),
    /// Show the tier table in force, and the number of waiting jobs in each tier.
    Tiers,
    /// Replace the tier table, as JSON.
    SetTiers(Vec<u8>),
    /// Explain why the job of this id is in its tier, and how many jobs wait ahead of it.
    ExplainTier(String),
    /// List the open occurrences of recurring deadlines: all, or those with this key or entry name.
    Occurrences(Option<String>),
    /// Replace the deadline plan (schedule and chains), as JSON.
    SetDeadlinePlan(Vec<u8>),
    /// Add one occurrence, as JSON.
    AddOccurrence(Vec<u8>),
    /// Show the live dependencies and dependents of the job of this id.
    Pipeline(String),
    /// List the open GPU loans: all, or those in which the job of this id lends or borrows.
    Loans(Option<String>),
    /// Show the counters of this controller.
    Metrics,
}

/// Counters of a controller since the start of its process.
#[derive(Debug, Serialize)]
struct Metrics<'a> {
    node: &'a str,
    store_refusals: RefusalCounts,
}

impl Reply {
    /// A reply with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply { status, body: serde_json::to_vec(body).unwrap_or_default(), retry_after: None }
    }
}

impl Controller {
    /// Replies to a request of a user, worker, controller or operator.
    pub(super) fn answer(&mut self, request: RequestId, reply: Reply) {
        self.actions.push(Action::Reply(request, reply));
    }

    /// Handles an operator's request.
    pub(super) fn on_admin(&mut self, request: RequestId, admin_request: AdminRequest) {
        match admin_request {
            AdminRequest::Plugins
            | AdminRequest::OfferPlugin(..)
            | AdminRequest::ChangePlugin(..) => self.on_plugin_request(request, admin_request),
            AdminRequest::Jobs(after) => self.list_jobs(request, after.as_deref()),
            AdminRequest::SetDeadlinePlan(body) => self.set_deadline_plan(request, &body),
            AdminRequest::AddOccurrence(body) => self.add_occurrence(request, &body),
            AdminRequest::SetTiers(body) => self.set_tiers(request, &body),
            AdminRequest::Tiers => {
                let reply = self.leader_reply(|controller| controller.describe_tiers());
                self.answer(request, reply);
            }
            AdminRequest::Metrics => {
                let metrics =
                    Metrics { node: &self.settings.host_name, store_refusals: self.store.refusals };
                let reply = Reply::json(http_status::OK, &metrics);
                self.answer(request, reply);
            }
            AdminRequest::Loans(job) => {
                let reply =
                    self.leader_reply(|controller| controller.describe_loans(job.as_deref()));
                self.answer(request, reply);
            }
            AdminRequest::Pipeline(id) => {
                let reply = self.pipeline_reply(&id);
                self.answer(request, reply);
            }
            AdminRequest::Occurrences(name) => {
                let reply = self.occurrences_reply(name.as_deref());
                self.answer(request, reply);
            }
            AdminRequest::ExplainTier(id) => {
                let reply = self.explain_tier_reply(&id);
                self.answer(request, reply);
            }
            AdminRequest::ExplainJob(id) => {
                let reply = self.explain_job_reply(&id);
                self.answer(request, reply);
            }
        }
    }

    fn on_plugin_request(&mut self, request: RequestId, admin_request: AdminRequest) {
        if !self.plugins.enabled() {
            let error = "plug-ins are switched off; set `enabled = true` under [plugins] in the \
                         operators' file";
            return self.answer(request, admin_error_reply(http_status::CONFLICT, error));
        }
        match admin_request {
            AdminRequest::OfferPlugin(name, body) => {
                match serde_json::from_slice::<PluginOffer>(&body) {
                    Ok(offer) => self.offer_plugin(request, &name, &offer),
                    Err(e) => {
                        let error = format!(
                            "the offer cannot be read: {e}; send JSON with kind and source"
                        );
                        self.answer(request, admin_error_reply(http_status::BAD_REQUEST, error));
                    }
                }
            }
            AdminRequest::ChangePlugin(name, transition) => {
                self.change_plugin(request, &name, transition);
            }
            _ => {
                let statuses = self.plugin_host.statuses();
                let body = json!({ "node": self.settings.host_name, "plugins": statuses });
                self.answer(request, Reply::json(http_status::OK, &body));
            }
        }
    }

    /// A reply that only the leader can give; from other controllers, the name of the leader.
    fn leader_reply<T: serde::Serialize>(&self, body: impl FnOnce(&Controller) -> T) -> Reply {
        if !self.is_leader() {
            return self.reply_not_leader();
        }
        Reply::json(http_status::OK, &body(self))
    }

    fn pipeline_reply(&self, id: &str) -> Reply {
        let Some(state) = &self.cluster_state else { return self.reply_not_leader() };
        match state.describe_dependencies(id, self.now.monotonic) {
            Some(description) => Reply::json(http_status::OK, &description),
            None => job_not_live_reply(id),
        }
    }

    fn explain_job_reply(&mut self, id: &str) -> Reply {
        match self.explain_job(id) {
            Some(explanation) => Reply::json(http_status::OK, &explanation),
            None if self.is_leader() => job_not_live_reply(id),
            None => self.reply_not_leader(),
        }
    }

    fn list_jobs(&mut self, request: RequestId, after: Option<&str>) {
        let from = after.map(keys::job);
        let call = StoreCall::List { prefix: keys::JOBS.into(), from };
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        self.store.push(call, CallContext::ListJobs { request }, CallPriority::Low, policy);
    }

    /// The read of a page of jobs for an operator has ended.
    pub(super) fn on_jobs_listed(&mut self, request: RequestId, outcome: &StoreOutcome) {
        let StoreOutcome::Page(page) = outcome else {
            let error = "the state service does not answer; try again";
            return self.answer(request, admin_error_reply(http_status::UNAVAILABLE, error));
        };
        let live_jobs = page.entries.iter().filter_map(|entry| {
            let id = entry.key.strip_prefix(keys::JOBS)?;
            match StoredJob::read(&entry.value) {
                Some(StoredJob::Live(record)) => Some(self.describe_job(id, &record)),
                _ => None,
            }
        });
        let jobs: Vec<serde_json::Value> = live_jobs.collect();
        let last = page.entries.last().filter(|_| page.has_next);
        let next = last.and_then(|entry| entry.key.strip_prefix(keys::JOBS));
        let body = json!({ "jobs": jobs, "next": next });
        self.answer(request, Reply::json(http_status::OK, &body));
    }

    fn describe_job(&self, id: &str, record: &JobRecord) -> serde_json::Value {
        let (done, running) = self.task_counts_of(id);
        let age = self.now.wall_clock.saturating_sub(record.accepted_wall) as f64 / MS_PER_S;
        json!({
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
        })
    }
}

fn job_not_live_reply(id: &str) -> Reply {
    admin_error_reply(http_status::NOT_FOUND, format!("job `{id}` is not alive; poll it"))
}
