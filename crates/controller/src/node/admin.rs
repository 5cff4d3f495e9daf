//! What operators ask of a controller: jobs, plug-ins, and why a job is steered as it is. Answers are
//! JSON.

use super::plugins::problem;
use super::{Action, Node, Purpose, Reply, RequestId};
use crate::constants::*;
use crate::job::{JobId, StoredJob, keys};
use crate::store::{Call, Outcome, Patience, Urgency};
use serde_json::json;
use swiftsail_policy::plugin::{Offer, Step};

/// What an operator asks.
#[derive(Debug)]
pub enum AdminAsk {
    /// A page of the jobs that are not over, after this id.
    Jobs(Option<String>),
    /// All plug-ins.
    Plugins,
    /// Offer a plug-in: its name, and the offer as JSON.
    Offer(String, Vec<u8>),
    /// Switch a plug-in on or off, or remove it.
    Change(String, Step),
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

impl Node {
    pub(super) fn answer(&mut self, request: RequestId, reply: Reply) {
        self.actions.push(Action::Reply(request, reply));
    }

    pub(super) fn on_admin(&mut self, request: RequestId, ask: AdminAsk) {
        let plugins = matches!(ask, AdminAsk::Plugins | AdminAsk::Offer(..) | AdminAsk::Change(..));
        if plugins && !self.plugins.enabled() {
            let why = "plug-ins are switched off; set `enabled = true` under [plugins] in the \
                       operators' file";
            return self.answer(request, problem(409, why));
        }
        match ask {
            AdminAsk::Jobs(after) => {
                let from = after.map(|id| keys::job(&id));
                let call = Call::List { prefix: keys::JOBS.into(), from };
                let until = self.now.steady + USER_STORE_TIMEOUT_MS;
                let purpose = Purpose::ListJobs { request };
                self.store.push(call, purpose, Urgency::Tidy, Patience::Once(until));
            }
            AdminAsk::Plugins => {
                let shown = json!({ "node": self.settings.host_name, "plugins": self.host.show() });
                self.answer(request, Reply::json(200, &shown));
            }
            AdminAsk::Offer(name, body) => match serde_json::from_slice::<Offer>(&body) {
                Ok(offer) => self.offer_plugin(request, &name, &offer),
                Err(e) => {
                    let why =
                        format!("the offer cannot be read: {e}; send JSON with kind and source");
                    self.answer(request, problem(400, why));
                }
            },
            AdminAsk::Change(name, step) => self.change_plugin(request, &name, step),
            AdminAsk::Tiers => {
                // What waits is known to the leader alone.
                let reply = match self.leads() {
                    true => Reply::json(200, &self.show_tiers()),
                    false => self.ask_the_leader(),
                };
                self.answer(request, reply);
            }
            AdminAsk::Loans(of) => {
                let reply = match self.leads() {
                    true => Reply::json(200, &self.show_loans(of.as_deref())),
                    false => self.ask_the_leader(),
                };
                self.answer(request, reply);
            }
            AdminAsk::Pipeline(id) => {
                let reply = match (&self.leader, self.now.steady) {
                    (Some(leader), now) => match leader.show_pipeline(&id, now) {
                        Some(shown) => Reply::json(200, &shown),
                        None => problem(404, format!("job `{id}` is not alive; poll it")),
                    },
                    (None, _) => self.ask_the_leader(),
                };
                self.answer(request, reply);
            }
            AdminAsk::Dispatch(of) => {
                let reply = self.show_dispatch(of.as_deref());
                self.answer(request, reply);
            }
            AdminAsk::SetDispatch(body) => self.set_plan(request, &body),
            AdminAsk::AddArrival(body) => self.add_arrival(request, &body),
            AdminAsk::SetTiers(body) => self.set_tiers(request, &body),
            AdminAsk::TierOf(id) => {
                let reply = self.explain_tier(&id);
                self.answer(request, reply);
            }
            AdminAsk::Explain(id) => {
                let reply = match (self.leads(), self.explained(&id)) {
                    (_, Some(found)) => Reply::json(200, &found),
                    (true, None) => problem(404, format!("job `{id}` is not alive; poll it")),
                    (false, None) => {
                        let leader = self.term.leader.clone();
                        let why = "this controller does not lead; ask the leader";
                        Reply::json(421, &json!({ "error": why, "leader": leader }))
                    }
                };
                self.answer(request, reply);
            }
        }
    }

    /// A page of jobs has been read for an operator.
    pub(super) fn jobs_listed(&mut self, request: RequestId, outcome: &Outcome) {
        let Outcome::Page(page) = outcome else {
            return self
                .answer(request, problem(503, "the state service does not answer; try again"));
        };
        let mut jobs = Vec::new();
        for pair in &page.pairs {
            let Some(id) = pair.key.strip_prefix(keys::JOBS) else { continue };
            let Some(StoredJob::Live(record)) = StoredJob::read(&pair.value) else {
                continue;
            };
            let (done, running) = self.counts_of(&JobId::from(id));
            let age = self.now.wall.saturating_sub(record.accepted_wall) as f64 / MS_PER_S;
            jobs.push(json!({
                "job": id,
                "class": record.spec.class,
                "awaits": record.awaits.iter().map(|id| id.to_string()).collect::<Vec<_>>(),
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
        let next = page.pairs.last().filter(|_| page.has_next);
        let next = next.and_then(|p| p.key.strip_prefix(keys::JOBS));
        self.answer(request, Reply::json(200, &json!({ "jobs": jobs, "next": next })));
    }
}
