//! Plug-ins in the state service: read and watched by every controller, so that all run the same set
//! and a new leader has it; written by compare-and-set on the plug-in's record.

use super::{Action, Node, Purpose, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::job::keys;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use std::collections::BTreeMap;
use swiftsail_policy::constants::PLUGINS_MOST;
use swiftsail_policy::outbox::Event;
use swiftsail_policy::plugin::{Offer, PluginRecord, State, Step, chunks, hash, valid_name};
use swiftsail_protocol::state::{Change, Commit, Pair, When};
use swiftsail_protocol::users::Problem;

/// Where this controller stands with the plug-ins of the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sync {
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
    sync: Sync,
    /// Pages read so far, and the revision from which to watch.
    pages: Vec<Pair>,
    from: u64,
    /// Records with the stamps of their keys, removed ones included.
    known: BTreeMap<String, (PluginRecord, u64)>,
    /// Suspended here, to be recorded for all; and whether a write is under way.
    to_record: BTreeMap<String, (String, bool)>,
}

impl Plugins {
    pub fn new(enabled: bool) -> Plugins {
        Plugins {
            sync: if enabled { Sync::Due(0) } else { Sync::Off },
            pages: Vec::new(),
            from: 0,
            known: BTreeMap::new(),
            to_record: BTreeMap::new(),
        }
    }

    /// The one function that changes where it stands.
    fn advance(&mut self, to: Sync) {
        if self.sync != Sync::Off {
            self.sync = to;
        }
    }

    pub fn enabled(&self) -> bool {
        self.sync != Sync::Off
    }
}

fn record_key(name: &str) -> String {
    format!("{}{name}", keys::PLUGINS)
}

fn chunk_key(name: &str, version: u64, chunk: u32) -> String {
    format!("{}{name}/{version}/{chunk:03}", keys::PLUGINS)
}

pub(super) fn problem(status: u16, error: impl Into<String>) -> Reply {
    Reply::json(status, &Problem { error: error.into() })
}

impl Node {
    /// With every timer step: reads what is due, records suspensions, sends deliveries.
    pub(super) fn tend_plugins(&mut self) {
        let now = self.now.steady;
        if let Sync::Due(at) = self.plugins.sync
            && now >= at
        {
            self.plugins.advance(Sync::Reading);
            self.plugins.pages.clear();
            self.plugins.from = 0;
            self.list_plugins(None);
        }
        for (name, reason) in self.host.take_suspended() {
            tracing::warn!(plugin = %name, reason = %reason, "plug-in suspended");
            self.plugins.to_record.insert(name, (reason, false));
        }
        let due = self.plugins.to_record.iter().filter(|(_, (_, under_way))| !under_way);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.record_suspension(&name);
        }
        let out = self.host.deliveries(now);
        self.actions.extend(out.into_iter().map(Action::Deliver));
    }

    fn list_plugins(&mut self, from: Option<String>) {
        let call = Call::List { prefix: keys::PLUGINS.into(), from };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        self.store.push(call, Purpose::ReadPlugins, Urgency::Work, Patience::Once(until));
    }

    /// What came of a call about plug-ins, or for an operator.
    pub(super) fn on_plugin_store(&mut self, end: Finished<Purpose>) {
        let again = Sync::Due(self.now.steady + PLUGINS_AGAIN_MS);
        match (end.purpose, end.outcome) {
            (Purpose::ReadPlugins, Outcome::Page(page)) => {
                if self.plugins.from == 0 {
                    self.plugins.from = page.epoch;
                }
                let last = page.pairs.last().map(|p| p.key.clone());
                self.plugins.pages.extend(page.pairs);
                match last.filter(|_| page.has_next) {
                    Some(last) => self.list_plugins(Some(last)),
                    None => self.plugins_read(),
                }
            }
            (Purpose::ReadPlugins, _) => self.plugins.advance(again),
            (Purpose::FollowPlugins, Outcome::News(news)) => {
                if news.news.is_empty() {
                    self.follow_plugins(news.epoch);
                } else {
                    self.plugins.advance(Sync::Due(self.now.steady));
                }
            }
            (Purpose::FollowPlugins, _) => self.plugins.advance(again),
            (Purpose::WritePlugin { request, name }, outcome) => {
                self.plugin_written(request, &name, &outcome);
            }
            (Purpose::ListJobs { request }, outcome) => self.jobs_listed(request, &outcome),
            _ => {}
        }
    }

    fn follow_plugins(&mut self, from: u64) {
        let call = Call::Follow { prefix: keys::PLUGINS.into(), from };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        self.store.push(call, Purpose::FollowPlugins, Urgency::Tidy, Patience::Once(until));
    }

    /// All of them are known: the set is put in force, between two passes.
    fn plugins_read(&mut self) {
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
                        known.insert(rest.to_string(), (record, pair.stamp));
                    }
                    Err(_) => tracing::error!(key = %pair.key, "a plug-in's record cannot be read"),
                }
            }
        }
        let set = known.values().filter(|(r, _)| r.state != State::Removed).map(|(r, _)| {
            let key = format!("{}/{}", r.name, r.version);
            (r.clone(), sources.get(key.as_str()).cloned().unwrap_or_default())
        });
        let set: Vec<(PluginRecord, String)> = set.collect();
        // What an operator has changed meanwhile is no longer to be suspended for its past.
        let active = |name: &String| known.get(name).is_some_and(|(r, _)| r.state == State::Active);
        self.plugins.to_record.retain(|name, _| active(name));
        if self.plugins.known != known {
            tracing::info!(plugins = set.len(), "plug-ins read");
        }
        self.host.install(set);
        self.plugins.known = known;
        self.plugins.advance(Sync::Watching);
        self.follow_plugins(self.plugins.from);
        // Jobs are asked about anew.
        self.steering.jobs.clear();
        if let Some(leader) = &mut self.leader {
            leader.stir = true;
        }
    }

    /// An operator offers a plug-in, new or in place of another of its name.
    pub(super) fn offer_plugin(&mut self, request: RequestId, name: &str, offer: &Offer) {
        if !valid_name(name) {
            let why = "a name has 1 to 40 lower-case letters, digits and dashes";
            return self.answer(request, problem(422, format!("plug-in `{name}`: {why}")));
        }
        let hooks = match self.host.check(offer.kind, &offer.source) {
            Ok(hooks) => hooks,
            Err(flaw) => {
                return self.answer(request, problem(422, format!("plug-in {name}: {flaw}")));
            }
        };
        let held = self.plugins.known.get(name).cloned();
        let alive = self.plugins.known.values().filter(|(r, _)| r.state != State::Removed).count();
        if held.is_none() && alive >= PLUGINS_MOST {
            let why = format!("{PLUGINS_MOST} plug-ins are kept at most; remove one first");
            return self.answer(request, problem(422, why));
        }
        let state = &self.settings.settings.state;
        // Half of a value, since a text's JSON form may be longer than the text.
        let parts = chunks(&offer.source, (state.value_kb * 512.0) as usize - 64);
        if parts.len() + 1 > state.txn_ops {
            let most = (state.txn_ops - 1) * ((state.value_kb * 512.0) as usize - 64);
            let why = format!("the source is too long for the state service; {most} bytes at most");
            return self.answer(request, problem(422, why));
        }
        let (version, stamp) = held.as_ref().map_or((1, 0), |(r, s)| (r.version + 1, *s));
        let mut record = PluginRecord {
            name: name.into(),
            kind: offer.kind,
            state: State::Offered,
            version,
            hash: hash(&offer.source),
            precedence: offer.precedence,
            chunks: parts.len() as u32,
            hooks,
            reason: None,
            changed_wall: self.now.wall,
        };
        record.advance(Step::Check, self.now.wall);
        if offer.enable {
            record.advance(Step::Enable, self.now.wall);
        }
        let mut apply: Vec<Change> = parts
            .iter()
            .enumerate()
            .map(|(n, part)| super::chunks::put(chunk_key(name, version, n as u32), part))
            .collect();
        let room = state.txn_ops - 1 - apply.len();
        apply.extend(held.iter().flat_map(|(r, _)| source_gone(r)).take(room));
        self.write_plugin(Some(request), record, stamp, apply);
    }

    /// An operator switches a plug-in on or off, or removes it.
    pub(super) fn change_plugin(&mut self, request: RequestId, name: &str, step: Step) {
        let held = self.plugins.known.get(name).cloned();
        let Some((mut record, stamp)) = held.filter(|(r, _)| r.state != State::Removed) else {
            return self
                .answer(request, problem(404, format!("no plug-in `{name}`; see the list")));
        };
        let before = record.state;
        if !record.advance(step, self.now.wall) {
            let why =
                format!("plug-in {name} is {before:?}: {step:?} does not apply").to_lowercase();
            return self.answer(request, problem(409, why));
        }
        let gone = step == Step::Remove;
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
        if !record.advance(Step::Suspend, self.now.wall) {
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
        mut apply: Vec<Change>,
    ) {
        let key = record_key(&record.name);
        let mut when = vec![When { key: key.clone(), stamp }];
        if let Some(leader) = self.leader.as_ref().filter(|_| request.is_none()) {
            when.push(When { key: keys::LEADER.into(), stamp: leader.token });
        }
        apply.push(super::chunks::put(key, &record));
        let until = self.now.steady + USER_STORE_TIMEOUT_MS;
        let purpose = Purpose::WritePlugin { request, name: record.name.clone() };
        let call = Call::Commit(Commit { when, apply });
        self.store.push(call, purpose, Urgency::Work, Patience::Once(until));
    }

    fn plugin_written(&mut self, request: Option<RequestId>, name: &str, outcome: &Outcome) {
        if let Some((_, under_way)) = self.plugins.to_record.get_mut(name) {
            *under_way = false;
        }
        let reply = match outcome {
            Outcome::Committed(_) => {
                // The watch brings it; until then nothing more is recorded of it.
                self.plugins.to_record.remove(name);
                Reply::json(200, &serde_json::json!({ "plugin": name, "status": "committed" }))
            }
            Outcome::Conflict(_) => {
                problem(409, format!("plug-in {name} was changed meanwhile; look, then repeat"))
            }
            _ => problem(503, format!("the state service did not confirm; look at {name} first")),
        };
        if self.plugins.sync == Sync::Watching && !matches!(outcome, Outcome::Committed(_)) {
            // Whatever stands there now: read it rather than guess.
            self.plugins.advance(Sync::Due(self.now.steady));
        }
        if let Some(request) = request {
            self.answer(request, reply);
        }
    }

    /// Tells report hooks what has happened in the tables.
    pub(super) fn tell(&mut self) {
        let listens = self.host.listens();
        let Some(leader) = &mut self.leader else { return };
        for it in leader.happenings.take(listens) {
            let event = Event {
                kind: it.kind.into(),
                what: it.what,
                of: it.of,
                detail: it.detail,
                at_ms: self.now.wall,
            };
            self.host.tell(&event);
        }
    }

    /// Tells report hooks of a term.
    pub(super) fn tell_term(&mut self, what: &str, detail: &str) {
        let of = self.term.token.to_string();
        let (what, detail) = (what.to_string(), Some(detail.to_string()));
        let event = Event { kind: "term".into(), what, of, detail, at_ms: self.now.wall };
        self.host.tell(&event);
    }
}

/// Changes that remove a plug-in's source.
fn source_gone(record: &PluginRecord) -> impl Iterator<Item = Change> {
    let (name, version) = (record.name.clone(), record.version);
    (0..record.chunks).map(move |n| Change::Remove { remove: chunk_key(&name, version, n) })
}
