//! Plug-ins in the state service. Every controller reads and watches them, so that all run the same set and a new leader
//! has it at once. Any controller writes them, by compare-and-swap on the plug-in's record.
//!
//! Owns [`Plugins`], the records as last read and the suspensions still to be written. Calls the state service, and
//! [`swiftsail_policy::plugin_host::PluginHost`], which runs the plug-ins and suspends failing ones locally. A plug-in
//! is one record (`plug/NAME`) and its source in chunks (`plug/NAME/VERSION/NNN`).

use super::chunks::put_mutation;
use super::requests::replies::http_status;
use super::{Action, CallContext, Controller, Reply, RequestId};
use crate::Time;
use crate::constants::{PLUGINS_RETRY_MS, STORE_TIMEOUT_MS, USER_STORE_TIMEOUT_MS};
use crate::job::keys;
use crate::store::{CallPriority, FinishedCall, RetryPolicy, StoreCall, StoreOutcome};
use std::collections::BTreeMap;
use swiftsail_policy::constants::MAX_PLUGINS;
use swiftsail_policy::hooks::Hook;
use swiftsail_policy::outbox::ReportedEvent;
use swiftsail_policy::plugin::{
    PluginOffer, PluginRecord, PluginState, PluginTransition, is_valid_name, source_hash,
    split_into_chunks,
};
use swiftsail_protocol::state::{KeyPage, KeyValue, Mutation, Precondition, Transaction};
use swiftsail_protocol::users::ErrorResponse;

/// Whether and how this controller follows the plug-ins in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PluginSync {
    /// Plug-ins are disabled in the operators' file.
    Off,
    /// A read of all plug-ins is due at this time.
    Due(Time),
    /// All plug-ins are being read.
    Reading,
    /// The plug-ins are read, and watched for changes.
    Watching,
}

/// A plug-in's record as it was read.
#[derive(Debug, Clone, PartialEq)]
struct KnownPlugin {
    record: PluginRecord,
    mod_revision: u64,
}

/// A suspension by this controller's plug-in host that is to be recorded for all controllers.
#[derive(Debug)]
struct PendingSuspension {
    reason: String,
    is_being_written: bool,
}

/// The plug-ins in the state service as this controller knows them.
#[derive(Debug)]
pub(super) struct Plugins {
    sync: PluginSync,
    /// Entries of the pages read so far.
    pages: Vec<KeyValue>,
    /// Revision of the first page, from which to watch; 0: no page is read yet.
    watch_from: u64,
    /// Every record, removed ones included, by name.
    known: BTreeMap<String, KnownPlugin>,
    pending_suspensions: BTreeMap<String, PendingSuspension>,
}

impl Plugins {
    pub fn new(enabled: bool) -> Plugins {
        Plugins {
            sync: if enabled { PluginSync::Due(0) } else { PluginSync::Off },
            pages: Vec::new(),
            watch_from: 0,
            known: BTreeMap::new(),
            pending_suspensions: BTreeMap::new(),
        }
    }

    /// The one function that changes `sync`; [`PluginSync::Off`] is final.
    fn advance(&mut self, to: PluginSync) {
        if self.sync != PluginSync::Off {
            self.sync = to;
        }
    }

    pub fn enabled(&self) -> bool {
        self.sync != PluginSync::Off
    }

    fn installed_count(&self) -> usize {
        self.known.values().filter(|known| known.is_installed()).count()
    }
}

impl KnownPlugin {
    fn is_installed(&self) -> bool {
        self.record.state != PluginState::Removed
    }
}

fn record_key(name: &str) -> String {
    format!("{}{name}", keys::PLUGINS)
}

fn chunk_key(name: &str, version: u64, chunk: u32) -> String {
    format!("{}{name}/{version}/{chunk:03}", keys::PLUGINS)
}

/// An error reply to an operator, in JSON. `error` names the cause and the remedy.
pub(super) fn admin_error_reply(status: u16, error: impl Into<String>) -> Reply {
    Reply::json(status, &ErrorResponse { error: error.into() })
}

/// The result of a read of all plug-ins.
struct LoadedPlugins {
    known: BTreeMap<String, KnownPlugin>,
    /// Those not removed, with their sources.
    installed: Vec<(PluginRecord, String)>,
}

/// Decodes the records and joins the chunks of each source. `entries` must be in the order of their keys.
fn parse_plugins(entries: &[KeyValue]) -> LoadedPlugins {
    let mut sources: BTreeMap<&str, String> = BTreeMap::new();
    let mut known = BTreeMap::new();
    for entry in entries {
        let Some(rest) = entry.key.strip_prefix(keys::PLUGINS) else { continue };
        if let Some((name_and_version, _)) = rest.rsplit_once('/') {
            let text = entry.value.as_str().unwrap_or_default();
            sources.entry(name_and_version).or_default().push_str(text);
            continue;
        }
        match serde_json::from_value::<PluginRecord>(entry.value.clone()) {
            Ok(record) => {
                let mod_revision = entry.mod_revision;
                known.insert(rest.to_string(), KnownPlugin { record, mod_revision });
            }
            Err(_) => tracing::error!(key = %entry.key, "unreadable plug-in record"),
        }
    }
    let installed = known.values().filter(|plugin| plugin.is_installed()).map(|plugin| {
        let PluginRecord { name, version, .. } = &plugin.record;
        let source = sources.get(format!("{name}/{version}").as_str()).cloned();
        (plugin.record.clone(), source.unwrap_or_default())
    });
    let installed = installed.collect();
    LoadedPlugins { known, installed }
}

impl Controller {
    /// Periodic work: reads the plug-ins if that is due, writes suspensions, sends events to receivers.
    pub(super) fn update_plugins(&mut self) {
        let now = self.now.monotonic;
        if let PluginSync::Due(at) = self.plugins.sync
            && now >= at
        {
            self.plugins.advance(PluginSync::Reading);
            self.plugins.pages.clear();
            self.plugins.watch_from = 0;
            self.list_plugins(None);
        }
        for (name, reason) in self.plugin_host.take_newly_suspended() {
            tracing::warn!(plugin = %name, reason = %reason, "plug-in suspended");
            let suspension = PendingSuspension { reason, is_being_written: false };
            self.plugins.pending_suspensions.insert(name, suspension);
        }
        let pending = self.plugins.pending_suspensions.iter();
        let unwritten = pending.filter(|(_, suspension)| !suspension.is_being_written);
        let unwritten: Vec<String> = unwritten.map(|(name, _)| name.clone()).collect();
        for name in unwritten {
            self.record_suspension(&name);
        }
        let deliveries = self.plugin_host.due_deliveries(now);
        self.actions.extend(deliveries.into_iter().map(Action::DeliverEvents));
    }

    /// Reads the next page of plug-ins, after the key `from`.
    fn list_plugins(&mut self, from: Option<String>) {
        let call = StoreCall::List { prefix: keys::PLUGINS.into(), from };
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        self.store.push(call, CallContext::ReadPlugins, CallPriority::Normal, policy);
    }

    fn watch_plugins(&mut self, from: u64) {
        let call = StoreCall::Watch { prefix: keys::PLUGINS.into(), from };
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS);
        self.store.push(call, CallContext::WatchPlugins, CallPriority::Low, policy);
    }

    /// A store call about plug-ins, or an operator's listing of jobs, has ended.
    pub(super) fn on_plugin_store(&mut self, call: FinishedCall<CallContext>) {
        let retry = PluginSync::Due(self.now.monotonic + PLUGINS_RETRY_MS);
        match (call.context, call.outcome) {
            (CallContext::ReadPlugins, StoreOutcome::Page(page)) => self.on_plugin_page(page),
            (CallContext::WatchPlugins, StoreOutcome::Changes(changes)) => {
                if changes.events.is_empty() {
                    self.watch_plugins(changes.revision);
                } else {
                    self.plugins.advance(PluginSync::Due(self.now.monotonic));
                }
            }
            (CallContext::ReadPlugins | CallContext::WatchPlugins, _) => {
                self.plugins.advance(retry)
            }
            (CallContext::WritePlugin { request, name }, outcome) => {
                self.on_plugin_written(request, &name, &outcome);
            }
            (CallContext::ListJobs { request }, outcome) => self.on_jobs_listed(request, &outcome),
            _ => {}
        }
    }

    fn on_plugin_page(&mut self, page: KeyPage) {
        if self.plugins.watch_from == 0 {
            self.plugins.watch_from = page.revision;
        }
        let last = page.entries.last().map(|entry| entry.key.clone());
        self.plugins.pages.extend(page.entries);
        match last.filter(|_| page.has_next) {
            Some(last) => self.list_plugins(Some(last)),
            None => self.on_plugins_read(),
        }
    }

    /// All plug-ins have been read: installs the set, between two scheduling cycles.
    fn on_plugins_read(&mut self) {
        let entries = std::mem::take(&mut self.plugins.pages);
        let LoadedPlugins { known, installed } = parse_plugins(&entries);
        // A plug-in that an operator has changed meanwhile is not suspended for its earlier faults.
        self.plugins.pending_suspensions.retain(|name, _| {
            known.get(name).is_some_and(|plugin| plugin.record.state == PluginState::Active)
        });
        if self.plugins.known != known {
            tracing::info!(plugins = installed.len(), "plug-ins loaded");
        }
        self.plugin_host.install(installed);
        self.plugins.known = known;
        self.plugins.advance(PluginSync::Watching);
        self.watch_plugins(self.plugins.watch_from);
        // Every job is evaluated anew by the new set.
        self.job_policies.job_overrides.clear();
        if let Some(state) = &mut self.cluster_state {
            state.needs_scheduling = true;
        }
    }

    /// Handles an operator's offer of a plug-in, which is new or replaces the one of this name.
    pub(super) fn offer_plugin(&mut self, request: RequestId, name: &str, offer: &PluginOffer) {
        match self.check_offer(name, offer) {
            Ok(checked) => self.write_offer(request, name, offer, checked),
            Err(error) => self
                .answer(request, admin_error_reply(http_status::UNPROCESSABLE, error.to_string())),
        }
    }

    /// Validates an offer and divides its source into chunks.
    fn check_offer<'a>(
        &self,
        name: &str,
        offer: &'a PluginOffer,
    ) -> Result<CheckedOffer<'a>, OfferError> {
        if !is_valid_name(name) {
            return Err(OfferError::InvalidName(name.to_string()));
        }
        let hooks = self
            .plugin_host
            .validate_source(offer.kind, &offer.source)
            .map_err(|error| OfferError::InvalidSource(format!("plug-in {name}: {error}")))?;
        let is_new = !self.plugins.known.contains_key(name);
        if is_new && self.plugins.installed_count() >= MAX_PLUGINS {
            return Err(OfferError::TooMany);
        }
        let state = &self.settings.settings.state;
        // Half of a value, since the JSON encoding of a text may be longer than the text.
        let chunk_bytes = (state.value_kb * 512.0) as usize - 64;
        let chunks = split_into_chunks(&offer.source, chunk_bytes);
        // One transaction writes the record and all chunks.
        let max_chunks = self.max_source_mutations();
        if chunks.len() > max_chunks {
            return Err(OfferError::TooLong { max_bytes: max_chunks * chunk_bytes });
        }
        Ok(CheckedOffer { hooks, chunks })
    }

    /// Maximum number of source chunks that a transaction with a plug-in's record may write or delete. Chunks beyond it, of
    /// a source stored when more were allowed, stay in the store and are never read again.
    fn max_source_mutations(&self) -> usize {
        self.settings.settings.state.txn_ops.saturating_sub(1)
    }

    /// Writes a validated offer as a new version of the plug-in, enabled if the offer asks for it.
    fn write_offer(
        &mut self,
        request: RequestId,
        name: &str,
        offer: &PluginOffer,
        CheckedOffer { hooks, chunks }: CheckedOffer<'_>,
    ) {
        let replaced = self.plugins.known.get(name).cloned();
        let version = replaced.as_ref().map_or(1, |plugin| plugin.record.version + 1);
        let mod_revision = replaced.as_ref().map_or(0, |plugin| plugin.mod_revision);
        let mut record = PluginRecord {
            name: name.into(),
            kind: offer.kind,
            state: PluginState::Offered,
            version,
            hash: source_hash(&offer.source),
            precedence: offer.precedence,
            chunks: chunks.len() as u32,
            hooks,
            reason: None,
            changed_wall: self.now.wall_clock,
        };
        record.apply_transition(PluginTransition::Check, self.now.wall_clock);
        if offer.enable {
            record.apply_transition(PluginTransition::Enable, self.now.wall_clock);
        }
        let mut mutations: Vec<Mutation> = chunks
            .iter()
            .enumerate()
            .map(|(index, chunk)| put_mutation(chunk_key(name, version, index as u32), chunk))
            .collect();
        let remaining = self.max_source_mutations().saturating_sub(mutations.len());
        let deletions = replaced.iter().flat_map(|plugin| source_deletions(&plugin.record));
        mutations.extend(deletions.take(remaining));
        let requester = WriteRequester::Operator(request);
        self.write_plugin(requester, KnownPlugin { record, mod_revision }, mutations);
    }

    /// Enables, disables or removes a plug-in for an operator.
    pub(super) fn change_plugin(
        &mut self,
        request: RequestId,
        name: &str,
        transition: PluginTransition,
    ) {
        let known = self.plugins.known.get(name).filter(|plugin| plugin.is_installed()).cloned();
        let Some(mut plugin) = known else {
            let error = format!("no plug-in `{name}`; see the list");
            return self.answer(request, admin_error_reply(http_status::NOT_FOUND, error));
        };
        let before = plugin.record.state;
        if !plugin.record.apply_transition(transition, self.now.wall_clock) {
            let error = format!("plug-in {name} is {before:?}: {transition:?} does not apply")
                .to_lowercase();
            return self.answer(request, admin_error_reply(http_status::CONFLICT, error));
        }
        let mutations = match transition {
            PluginTransition::Remove => {
                source_deletions(&plugin.record).take(self.max_source_mutations()).collect()
            }
            _ => Vec::new(),
        };
        self.write_plugin(WriteRequester::Operator(request), plugin, mutations);
    }

    /// Writes a suspension for all controllers.
    fn record_suspension(&mut self, name: &str) {
        let Some(suspension) = self.plugins.pending_suspensions.get_mut(name) else { return };
        let Some(mut plugin) = self.plugins.known.get(name).cloned() else {
            self.plugins.pending_suspensions.remove(name);
            return;
        };
        if !plugin.record.apply_transition(PluginTransition::Suspend, self.now.wall_clock) {
            self.plugins.pending_suspensions.remove(name);
            return;
        }
        plugin.record.reason = Some(suspension.reason.clone());
        suspension.is_being_written = true;
        self.write_plugin(WriteRequester::Suspension, plugin, Vec::new());
    }

    /// Writes a record, provided that it is unchanged since it was read. A leader's suspension is also conditional on
    /// its fencing token.
    fn write_plugin(
        &mut self,
        requester: WriteRequester,
        KnownPlugin { record, mod_revision }: KnownPlugin,
        mut mutations: Vec<Mutation>,
    ) {
        let key = record_key(&record.name);
        let mut preconditions = vec![Precondition { key: key.clone(), mod_revision }];
        let request =
            match requester {
                WriteRequester::Operator(request) => Some(request),
                WriteRequester::Suspension => {
                    let token = self.cluster_state.as_ref().map(|state| state.token);
                    preconditions.extend(token.map(|token| Precondition {
                        key: keys::LEADER.into(),
                        mod_revision: token,
                    }));
                    None
                }
            };
        mutations.push(put_mutation(key, &record));
        let call = StoreCall::Commit(Transaction { preconditions, mutations });
        let context = CallContext::WritePlugin { request, name: record.name };
        let policy = RetryPolicy::OnceBefore(self.now.monotonic + USER_STORE_TIMEOUT_MS);
        self.store.push(call, context, CallPriority::Normal, policy);
    }

    /// The write of a plug-in has ended. `request`: the operator's; none for a suspension.
    fn on_plugin_written(
        &mut self,
        request: Option<RequestId>,
        name: &str,
        outcome: &StoreOutcome,
    ) {
        if let Some(suspension) = self.plugins.pending_suspensions.get_mut(name) {
            suspension.is_being_written = false;
        }
        let reply = match outcome {
            StoreOutcome::Committed(_) => {
                // The watch brings the new record; until then no further suspension is written.
                self.plugins.pending_suspensions.remove(name);
                let body = serde_json::json!({ "plugin": name, "status": "committed" });
                Reply::json(http_status::OK, &body)
            }
            StoreOutcome::Conflict(_) => admin_error_reply(
                http_status::CONFLICT,
                format!("plug-in {name} was changed meanwhile; look, then repeat"),
            ),
            _ => admin_error_reply(
                http_status::UNAVAILABLE,
                format!("the state service did not confirm; look at {name} first"),
            ),
        };
        if self.plugins.sync == PluginSync::Watching
            && !matches!(outcome, StoreOutcome::Committed(_))
        {
            // Whether the record has changed is not known: the plug-ins are read again.
            self.plugins.advance(PluginSync::Due(self.now.monotonic));
        }
        if let Some(request) = request {
            self.answer(request, reply);
        }
    }

    /// Queues the events of the cluster state for event receivers (plug-ins of kind report).
    pub(super) fn deliver_cluster_events(&mut self) {
        let has_receivers = self.plugin_host.has_event_receivers();
        let Some(state) = &mut self.cluster_state else { return };
        for event in state.events.take(has_receivers) {
            let event = ReportedEvent {
                kind: event.kind.into(),
                event: event.event,
                subject: event.subject,
                detail: event.detail,
                at_ms: self.now.wall_clock,
            };
            self.plugin_host.enqueue_event(&event);
        }
    }

    /// Queues a leadership event for event receivers.
    pub(super) fn record_leadership_event(&mut self, event: &str, detail: &str) {
        let subject = self.leadership.token.to_string();
        let (event, detail) = (event.to_string(), Some(detail.to_string()));
        let event = ReportedEvent {
            kind: "term".into(),
            event,
            subject,
            detail,
            at_ms: self.now.wall_clock,
        };
        self.plugin_host.enqueue_event(&event);
    }
}

/// Who wants a plug-in's record written.
#[derive(Debug, Clone, Copy)]
enum WriteRequester {
    /// An operator, by this request.
    Operator(RequestId),
    /// This controller, to suspend a failing plug-in for all.
    Suspension,
}

/// A validated offer.
struct CheckedOffer<'a> {
    hooks: Vec<Hook>,
    /// The source, divided into chunks that fit a value of the state service.
    chunks: Vec<&'a str>,
}

/// Why an offered plug-in is rejected. The text is sent to the operator.
#[derive(Debug, thiserror::Error)]
enum OfferError {
    #[error("plug-in `{0}`: a name has 1 to 40 lower-case letters, digits and dashes")]
    InvalidName(String),
    #[error("{0}")]
    InvalidSource(String),
    #[error("{} plug-ins are kept at most; remove one first", MAX_PLUGINS)]
    TooMany,
    #[error("the source is too long for the state service; {max_bytes} bytes at most")]
    TooLong { max_bytes: usize },
}

/// Mutations that delete a plug-in's source.
fn source_deletions(record: &PluginRecord) -> impl Iterator<Item = Mutation> {
    let (name, version) = (record.name.clone(), record.version);
    (0..record.chunks).map(move |index| Mutation::Delete { key: chunk_key(&name, version, index) })
}
