//! Plug-ins in the state service: read and watched by every controller, so that all run the same set
//! and a new leader has it; written by compare-and-set on the plug-in's record.

use super::{Action, CallContext, Controller, Reply, RequestId};
use crate::Time;
use crate::constants::{PLUGINS_RETRY_MS, STORE_TIMEOUT_MS, USER_STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::BTreeMap;
use swiftsail_policy::constants::MAX_PLUGINS;
use swiftsail_policy::outbox::ReportedEvent;
use swiftsail_policy::plugin::{
    PluginOffer, PluginRecord, PluginState, PluginTransition, is_valid_name, source_hash,
    split_into_chunks,
};
use swiftsail_protocol::state::{KeyValue, Mutation, Precondition, Transaction};
use swiftsail_protocol::users::ErrorResponse;

/// Where this controller stands with the plug-ins of the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PluginSync {
    /// Not switched on.
    Off,
    /// To be read at this time.
    Due(Time),
    /// Being read.
    Reading,
    /// Known, and watched.
    Watching,
}

/// What this controller knows of the plug-ins in the state service.
#[derive(Debug)]
pub(super) struct Plugins {
    sync: PluginSync,
    /// Pages read so far, and the revision from which to watch.
    pages: Vec<KeyValue>,
    from: u64,
    /// Records with the stamps of their keys, removed ones included.
    known: BTreeMap<String, (PluginRecord, u64)>,
    /// Suspended here, to be recorded for all; and whether a write is under way.
    to_record: BTreeMap<String, (String, bool)>,
}

impl Plugins {
    pub fn new(enabled: bool) -> Plugins {
        Plugins {
            sync: if enabled { PluginSync::Due(0) } else { PluginSync::Off },
            pages: Vec::new(),
            from: 0,
            known: BTreeMap::new(),
            to_record: BTreeMap::new(),
        }
    }

    /// The one function that changes where it stands.
    fn advance(&mut self, to: PluginSync) {
        if self.sync != PluginSync::Off {
            self.sync = to;
        }
    }

    pub fn enabled(&self) -> bool {
        self.sync != PluginSync::Off
    }
}

fn record_key(name: &str) -> String {
    format!("{}{name}", keys::PLUGINS)
}

fn chunk_key(name: &str, version: u64, chunk: u32) -> String {
    format!("{}{name}/{version}/{chunk:03}", keys::PLUGINS)
}

pub(super) fn plugin_error_reply(status: u16, error: impl Into<String>) -> Reply {
    Reply::json(status, &ErrorResponse { error: error.into() })
}

impl Controller {
    /// With every timer step: reads what is due, records suspensions, sends deliveries.
    pub(super) fn update_plugins(&mut self) {
        let now = self.now.monotonic;
        if let PluginSync::Due(at) = self.plugins.sync
            && now >= at
        {
            self.plugins.advance(PluginSync::Reading);
            self.plugins.pages.clear();
            self.plugins.from = 0;
            self.list_plugins(None);
        }
        for (name, reason) in self.plugin_host.take_newly_suspended() {
            tracing::warn!(plugin = %name, reason = %reason, "plug-in suspended");
            self.plugins.to_record.insert(name, (reason, false));
        }
        let due = self.plugins.to_record.iter().filter(|(_, (_, under_way))| !under_way);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.record_suspension(&name);
        }
        let out = self.plugin_host.due_deliveries(now);
        self.actions.extend(out.into_iter().map(Action::DeliverEvents));
    }

    fn list_plugins(&mut self, from: Option<String>) {
        let call = StoreCall::List { prefix: keys::PLUGINS.into(), from };
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        self.store.push(
            call,
            CallContext::ReadPlugins,
            CallPriority::Normal,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// What came of a call about plug-ins, or for an operator.
    pub(super) fn on_plugin_store(&mut self, end: FinishedCall<CallContext>) {
        let again = PluginSync::Due(self.now.monotonic + PLUGINS_RETRY_MS);
        match (end.context, end.outcome) {
            (CallContext::ReadPlugins, StoreOutcome::Page(page)) => {
                if self.plugins.from == 0 {
                    self.plugins.from = page.revision;
                }
                let last = page.entries.last().map(|p| p.key.clone());
                self.plugins.pages.extend(page.entries);
                match last.filter(|_| page.has_next) {
                    Some(last) => self.list_plugins(Some(last)),
                    None => self.on_plugins_read(),
                }
            }
            (CallContext::ReadPlugins, _) => self.plugins.advance(again),
            (CallContext::WatchPlugins, StoreOutcome::Changes(news)) => {
                if news.events.is_empty() {
                    self.follow_plugins(news.revision);
                } else {
                    self.plugins.advance(PluginSync::Due(self.now.monotonic));
                }
            }
            (CallContext::WatchPlugins, _) => self.plugins.advance(again),
            (CallContext::WritePlugin { request, name }, outcome) => {
                self.on_plugin_written(request, &name, &outcome);
            }
            (CallContext::ListJobs { request }, outcome) => self.jobs_listed(request, &outcome),
            _ => {}
        }
    }

    fn follow_plugins(&mut self, from: u64) {
        let call = StoreCall::Watch { prefix: keys::PLUGINS.into(), from };
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        self.store.push(
            call,
            CallContext::WatchPlugins,
            CallPriority::Low,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// All of them are known: the set is put in force, between two passes.
    fn on_plugins_read(&mut self) {
        let pairs = std::mem::take(&mut self.plugins.pages);
        let mut sources: BTreeMap<&str, String> = BTreeMap::new();
        let mut known = BTreeMap::new();
        for pair in &pairs {
            let Some(rest) = pair.key.strip_prefix(keys::PLUGINS) else { continue };
            if let Some((version, _)) = rest.rsplit_once('/') {
                // Chunks come in the order of their keys.
                let text = pair.value.as_str().unwrap_or_default();
                sources.entry(version).or_default().push_str(text);
            } else {
                match serde_json::from_value::<PluginRecord>(pair.value.clone()) {
                    Ok(record) => {
                        known.insert(rest.to_string(), (record, pair.mod_revision));
                    }
                    Err(_) => tracing::error!(key = %pair.key, "unreadable plug-in record"),
                }
            }
        }
        let set = known.values().filter(|(r, _)| r.state != PluginState::Removed).map(|(r, _)| {
            let key = format!("{}/{}", r.name, r.version);
            (r.clone(), sources.get(key.as_str()).cloned().unwrap_or_default())
        });
        let set: Vec<(PluginRecord, String)> = set.collect();
        // What an operator has changed meanwhile is no longer to be suspended for its past.
        let active =
            |name: &String| known.get(name).is_some_and(|(r, _)| r.state == PluginState::Active);
        self.plugins.to_record.retain(|name, _| active(name));
        if self.plugins.known != known {
            tracing::info!(plugins = set.len(), "plug-ins loaded");
        }
        self.plugin_host.install(set);
        self.plugins.known = known;
        self.plugins.advance(PluginSync::Watching);
        self.follow_plugins(self.plugins.from);
        // Jobs are asked about anew.
        self.job_policies.job_overrides.clear();
        if let Some(leader) = &mut self.cluster_state {
            leader.needs_scheduling = true;
        }
    }

    /// An operator offers a plug-in, new or in place of another of its name.
    pub(super) fn offer_plugin(&mut self, request: RequestId, name: &str, offer: &PluginOffer) {
        if !is_valid_name(name) {
            let why = "a name has 1 to 40 lower-case letters, digits and dashes";
            return self
                .answer(request, plugin_error_reply(422, format!("plug-in `{name}`: {why}")));
        }
        let hooks = match self.plugin_host.validate_source(offer.kind, &offer.source) {
            Ok(hooks) => hooks,
            Err(flaw) => {
                return self
                    .answer(request, plugin_error_reply(422, format!("plug-in {name}: {flaw}")));
            }
        };
        let held = self.plugins.known.get(name).cloned();
        let alive =
            self.plugins.known.values().filter(|(r, _)| r.state != PluginState::Removed).count();
        if held.is_none() && alive >= MAX_PLUGINS {
            let why = format!("{MAX_PLUGINS} plug-ins are kept at most; remove one first");
            return self.answer(request, plugin_error_reply(422, why));
        }
        let state = &self.settings.settings.state;
        // Half of a value, since a text's JSON form may be longer than the text.
        let parts = split_into_chunks(&offer.source, (state.value_kb * 512.0) as usize - 64);
        if parts.len() + 1 > state.txn_ops {
            let most = (state.txn_ops - 1) * ((state.value_kb * 512.0) as usize - 64);
            let why = format!("the source is too long for the state service; {most} bytes at most");
            return self.answer(request, plugin_error_reply(422, why));
        }
        let (version, stamp) = held.as_ref().map_or((1, 0), |(r, s)| (r.version + 1, *s));
        let mut record = PluginRecord {
            name: name.into(),
            kind: offer.kind,
            state: PluginState::Offered,
            version,
            hash: source_hash(&offer.source),
            precedence: offer.precedence,
            chunks: parts.len() as u32,
            hooks,
            reason: None,
            changed_wall: self.now.wall_clock,
        };
        record.apply_transition(PluginTransition::Check, self.now.wall_clock);
        if offer.enable {
            record.apply_transition(PluginTransition::Enable, self.now.wall_clock);
        }
        let mut apply: Vec<Mutation> = parts
            .iter()
            .enumerate()
            .map(|(n, part)| super::chunks::put_change(chunk_key(name, version, n as u32), part))
            .collect();
        let room = state.txn_ops - 1 - apply.len();
        apply.extend(held.iter().flat_map(|(r, _)| source_gone(r)).take(room));
        self.write_plugin(Some(request), record, stamp, apply);
    }

    /// An operator switches a plug-in on or off, or removes it.
    pub(super) fn change_plugin(&mut self, request: RequestId, name: &str, step: PluginTransition) {
        let held = self.plugins.known.get(name).cloned();
        let Some((mut record, stamp)) = held.filter(|(r, _)| r.state != PluginState::Removed)
        else {
            return self.answer(
                request,
                plugin_error_reply(404, format!("no plug-in `{name}`; see the list")),
            );
        };
        let before = record.state;
        if !record.apply_transition(step, self.now.wall_clock) {
            let why =
                format!("plug-in {name} is {before:?}: {step:?} does not apply").to_lowercase();
            return self.answer(request, plugin_error_reply(409, why));
        }
        let gone = step == PluginTransition::Remove;
        let apply = if gone { source_gone(&record).collect() } else { Vec::new() };
        self.write_plugin(Some(request), record, stamp, apply);
    }

    /// Records a suspension for all controllers. The leader's write is conditional on its term.
    fn record_suspension(&mut self, name: &str) {
        let Some((reason, under_way)) = self.plugins.to_record.get_mut(name) else { return };
        let Some((mut record, stamp)) = self.plugins.known.get(name).cloned() else {
            self.plugins.to_record.remove(name);
            return;
        };
        if !record.apply_transition(PluginTransition::Suspend, self.now.wall_clock) {
            self.plugins.to_record.remove(name);
            return;
        }
        record.reason = Some(reason.clone());
        *under_way = true;
        self.write_plugin(None, record, stamp, Vec::new());
    }

    fn write_plugin(
        &mut self,
        request: Option<RequestId>,
        record: PluginRecord,
        stamp: u64,
        mut apply: Vec<Mutation>,
    ) {
        let key = record_key(&record.name);
        let mut when = vec![Precondition { key: key.clone(), mod_revision: stamp }];
        if let Some(leader) = self.cluster_state.as_ref().filter(|_| request.is_none()) {
            when.push(Precondition { key: keys::LEADER.into(), mod_revision: leader.token });
        }
        apply.push(super::chunks::put_change(key, &record));
        let until = self.now.monotonic + USER_STORE_TIMEOUT_MS;
        let purpose = CallContext::WritePlugin { request, name: record.name.clone() };
        let call = StoreCall::Commit(Transaction { preconditions: when, mutations: apply });
        self.store.push(call, purpose, CallPriority::Normal, RetryPolicy::OnceBefore(until));
    }

    fn on_plugin_written(
        &mut self,
        request: Option<RequestId>,
        name: &str,
        outcome: &StoreOutcome,
    ) {
        if let Some((_, under_way)) = self.plugins.to_record.get_mut(name) {
            *under_way = false;
        }
        let reply = match outcome {
            StoreOutcome::Committed(_) => {
                // The watch brings it; until then nothing more is recorded of it.
                self.plugins.to_record.remove(name);
                Reply::json(200, &serde_json::json!({ "plugin": name, "status": "committed" }))
            }
            StoreOutcome::Conflict(_) => plugin_error_reply(
                409,
                format!("plug-in {name} was changed meanwhile; look, then repeat"),
            ),
            _ => plugin_error_reply(
                503,
                format!("the state service did not confirm; look at {name} first"),
            ),
        };
        if self.plugins.sync == PluginSync::Watching
            && !matches!(outcome, StoreOutcome::Committed(_))
        {
            // Whatever stands there now: read it rather than guess.
            self.plugins.advance(PluginSync::Due(self.now.monotonic));
        }
        if let Some(request) = request {
            self.answer(request, reply);
        }
    }

    /// Tells report hooks what has happened in the tables.
    pub(super) fn deliver_cluster_events(&mut self) {
        let listens = self.plugin_host.has_event_receivers();
        let Some(leader) = &mut self.cluster_state else { return };
        for it in leader.events.take(listens) {
            let event = ReportedEvent {
                kind: it.kind.into(),
                what: it.what,
                of: it.of,
                detail: it.detail,
                at_ms: self.now.wall_clock,
            };
            self.plugin_host.enqueue_event(&event);
        }
    }

    /// Tells report hooks of a term.
    pub(super) fn record_leadership_event(&mut self, what: &str, detail: &str) {
        let of = self.leadership.token.to_string();
        let (what, detail) = (what.to_string(), Some(detail.to_string()));
        let event =
            ReportedEvent { kind: "term".into(), what, of, detail, at_ms: self.now.wall_clock };
        self.plugin_host.enqueue_event(&event);
    }
}

/// Changes that remove a plug-in's source.
fn source_gone(record: &PluginRecord) -> impl Iterator<Item = Mutation> {
    let (name, version) = (record.name.clone(), record.version);
    (0..record.chunks).map(move |n| Mutation::Delete { key: chunk_key(&name, version, n) })
}
