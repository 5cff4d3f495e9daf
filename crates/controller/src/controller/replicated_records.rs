//! The records that outlive controllers, as this one follows them: the book, and what tiers, dispatch and loans
//! make of it. The leader alone writes, under its key; a new one has read them before its first pass.

use super::plugins::plugin_error_reply;
use super::{CallContext, Controller, Reply, RequestId};
use crate::Time;
use crate::cluster_state::{ClusterState, job_attributes};
use crate::constants::{RECORD_WRITE_TIMEOUT_MS, RECORDS_RETRY_MS, STORE_TIMEOUT_MS};
use crate::job::{Job, JobId, keys};
use crate::settings::StoreSettings;
use crate::store::{CallPriority, RetryPolicy, StoreCall, StoreOutcome};
use serde_json::json;
use std::rc::Rc;
use swiftsail_deadline_planning::{DeadlinePlan, DeadlineSchedule, DeadlineTracker};
use swiftsail_policy::operator_settings::OperatorSettings;
use swiftsail_protocol::state::{KeyPage, Mutation, Precondition, Transaction, WatchEvent};
use swiftsail_protocol::users::JobSpec;
use swiftsail_replicated_records::{RecordStore, RecordTransaction, StoreLimits, Versioned};
use swiftsail_tiers::{TierTable, TierTableRecord};

/// Key of the table of tiers.
const TIERS: &str = "tiers";

/// Where this controller stands with the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordSync {
    /// Nothing that needs them is switched on.
    Off,
    /// To be read at this time.
    Due(Time),
    /// Being read.
    Reading,
    /// Being read by a new leader, with everything else.
    Loading,
    /// Known, and watched.
    Watching,
}

/// An operator's request that is answered once its record is committed.
#[derive(Debug)]
struct PendingRecordWrite {
    request: RequestId,
    key: String,
    deadline: Time,
}

/// What this controller holds of the records.
pub(super) struct ReplicatedRecords {
    sync: RecordSync,
    pub(super) records: RecordStore,
    /// Number of the latest reading: the pages of an earlier one may still come.
    read_number: u64,
    /// The watch is open.
    is_watching: bool,
    /// The table of this controller's own file, and the one in force.
    own_tiers: Option<Rc<TierTable>>,
    pub(super) tier_table: Rc<TierTable>,
    /// Loans are held in the state service.
    lends_gpus: bool,
    /// The plan of this controller's own file, and the one in force.
    pub(super) own_plan: Option<Rc<DeadlineSchedule>>,
    pub(super) calendar: Option<Rc<DeadlineSchedule>>,
    /// Arrivals, and when they were last looked at.
    pub(super) deadline_tracker: DeadlineTracker,
    pub(super) deadlines_checked_at: Time,
    pending_writes: Vec<PendingRecordWrite>,
    /// Version of the book that was last looked at.
    seen_version: u64,
}

fn limits(state: &StoreSettings) -> StoreLimits {
    let value_bytes = (state.value_kb * 1024.0) as usize;
    StoreLimits {
        writes_per_second: state.write_rps,
        max_transaction_writes: state.txn_ops,
        max_value_bytes: value_bytes,
    }
}

impl ReplicatedRecords {
    pub fn new(operator: &OperatorSettings, state: &StoreSettings, now: Time) -> ReplicatedRecords {
        let own_tiers = operator.tiers.as_ref().and_then(|file| {
            match TierTable::compile(tier_table_from_settings(file)) {
                Ok(table) => Some(Rc::new(table)),
                Err(e) => {
                    tracing::error!(cause = %e, "tier table in the operators' file rejected");
                    None
                }
            }
        });
        let own_plan =
            operator.dispatch.clone().and_then(|table| match compile_deadline_plan(table) {
                Ok(calendar) => Some(Rc::new(calendar)),
                Err(e) => {
                    tracing::error!(cause = %e, "dispatch plan in the operators' file rejected");
                    None
                }
            });
        let on = operator.tiers.is_some() || operator.loans.durable || own_plan.is_some();
        ReplicatedRecords {
            sync: if on { RecordSync::Due(0) } else { RecordSync::Off },
            records: RecordStore::new(keys::REPLICATED_RECORDS, limits(state), now),
            read_number: 0,
            is_watching: false,
            tier_table: own_tiers.clone().unwrap_or_default(),
            own_tiers,
            lends_gpus: operator.loans.durable,
            calendar: own_plan.clone(),
            own_plan,
            deadline_tracker: DeadlineTracker::default(),
            deadlines_checked_at: 0,
            pending_writes: Vec::new(),
            seen_version: 0,
        }
    }

    /// The one function that changes where it stands.
    fn advance(&mut self, to: RecordSync) {
        if self.sync != RecordSync::Off {
            self.sync = to;
        }
    }

    /// A reading begins: what comes of an earlier one counts no more.
    fn restart_read(&mut self) -> u64 {
        self.read_number += 1;
        self.records.start_reload();
        self.read_number
    }

    /// A term ends: what its leader wanted written, and what it was still reading.
    pub fn on_leadership_lost(&mut self, now: Time) {
        self.records.discard_pending_writes();
        if self.sync == RecordSync::Loading {
            self.advance(RecordSync::Due(now));
        }
    }

    /// Whether loans are held in the state service.
    pub fn lends_gpus(&self) -> bool {
        self.is_enabled() && self.lends_gpus
    }

    /// Whether anything that needs the records is switched on.
    pub fn is_enabled(&self) -> bool {
        self.sync != RecordSync::Off
    }
}

/// A file's dispatch plan, checked.
pub fn compile_deadline_plan(table: toml::Table) -> Result<DeadlineSchedule, String> {
    let plan: DeadlinePlan =
        table.try_into().map_err(|e| format!("[dispatch]: {}", e.message()))?;
    DeadlineSchedule::new(plan).map_err(|e| e.to_string())
}

/// A file's table as a record.
pub fn tier_table_from_settings(
    file: &swiftsail_policy::operator_settings::TierTableSettings,
) -> TierTableRecord {
    let tier = |t: &swiftsail_policy::operator_settings::TierEntrySettings| {
        swiftsail_tiers::TierDefinition {
            name: t.name.clone(),
            when: t.when.get_ref().clone(),
            ordered: t.ordered,
        }
    };
    let tiers = file.tier.iter().map(tier).collect();
    TierTableRecord { format_version: 0, version: file.version, tiers }
}

impl Controller {
    /// With every timer step: reads what is due, sends what the leader wants written, answers who waits for it.
    pub(super) fn update_records(&mut self) {
        let now = self.now.monotonic;
        if let RecordSync::Due(at) = self.replicated_records.sync
            && now >= at
        {
            self.replicated_records.advance(RecordSync::Reading);
            let read_number = self.replicated_records.restart_read();
            self.list_records(None, CallContext::ReadRecords { read_number }, CallPriority::Normal);
        }
        let writes = self.cluster_state.is_some() && self.is_lease_confirmed();
        if let Some(txn) =
            writes.then(|| self.replicated_records.records.next_transaction(now)).flatten()
        {
            self.write_records(txn);
        }
        let over = |w: &PendingRecordWrite| now >= w.deadline;
        let late: Vec<PendingRecordWrite> =
            self.replicated_records.pending_writes.extract_if(.., |w| over(w)).collect();
        for w in late {
            let why = "the state service did not confirm; look at it before trying again";
            self.answer(w.request, plugin_error_reply(503, why));
        }
    }

    fn list_records(&mut self, from: Option<String>, purpose: CallContext, urgency: CallPriority) {
        let from = from.map(|key| format!("{}{key}", keys::REPLICATED_RECORDS));
        let call = StoreCall::List { prefix: keys::REPLICATED_RECORDS.into(), from };
        let patience = match urgency {
            CallPriority::Leadership => RetryPolicy::UntilDefinite,
            _ => RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS),
        };
        self.store.push(call, purpose, urgency, patience);
    }

    /// A new leader reads the records with everything else. False: nothing needs them.
    pub(super) fn load_records(&mut self, era: u64) -> bool {
        if !self.replicated_records.is_enabled() {
            return false;
        }
        self.replicated_records.records.discard_pending_writes();
        self.replicated_records.advance(RecordSync::Loading);
        self.replicated_records.restart_read();
        self.list_records(
            None,
            CallContext::LoadRecords { generation: era },
            CallPriority::Leadership,
        );
        true
    }

    /// A page of what a new leader reads has come. True: that was the last.
    pub(super) fn on_records_loaded(&mut self, page: KeyPage, era: u64) -> bool {
        match self.apply_record_page(page) {
            Some(last) => {
                self.list_records(
                    Some(last),
                    CallContext::LoadRecords { generation: era },
                    CallPriority::Leadership,
                );
                false
            }
            None => {
                self.replicated_records.advance(RecordSync::Watching);
                self.watch_records();
                true
            }
        }
    }

    fn apply_record_page(&mut self, page: KeyPage) -> Option<String> {
        let own = |key: String| {
            key.strip_prefix(keys::REPLICATED_RECORDS).map(str::to_string).unwrap_or(key)
        };
        let pairs =
            page.entries.into_iter().map(|p| (own(p.key), p.value, p.mod_revision)).collect();
        self.replicated_records.records.on_page(pairs, page.revision, page.has_next)
    }

    fn watch_records(&mut self) {
        let swiftsail_replicated_records::LoadPhase::Loaded(from) =
            self.replicated_records.records.phase()
        else {
            return;
        };
        if std::mem::replace(&mut self.replicated_records.is_watching, true) {
            return;
        }
        let call = StoreCall::Watch { prefix: keys::REPLICATED_RECORDS.into(), from };
        let until = self.now.monotonic + STORE_TIMEOUT_MS;
        self.store.push(
            call,
            CallContext::WatchRecords,
            CallPriority::Low,
            RetryPolicy::OnceBefore(until),
        );
    }

    /// What came of a call about the records.
    pub(super) fn on_records_response(&mut self, purpose: &CallContext, outcome: StoreOutcome) {
        let again = RecordSync::Due(self.now.monotonic + RECORDS_RETRY_MS);
        match (purpose, outcome) {
            (CallContext::ReadRecords { read_number }, _)
                if *read_number != self.replicated_records.read_number => {}
            (CallContext::ReadRecords { .. }, StoreOutcome::Page(page)) => match self
                .apply_record_page(page)
            {
                Some(last) => self.list_records(Some(last), purpose.clone(), CallPriority::Normal),
                None => {
                    self.replicated_records.advance(RecordSync::Watching);
                    self.watch_records();
                    self.on_records_changed();
                }
            },
            (CallContext::ReadRecords { .. }, _) => self.replicated_records.advance(again),
            (CallContext::WatchRecords, StoreOutcome::Changes(news)) => {
                self.replicated_records.is_watching = false;
                let own = |key: &str| {
                    key.strip_prefix(keys::REPLICATED_RECORDS).unwrap_or(key).to_string()
                };
                let item = |item: WatchEvent| match (item.put_key, item.deleted_key) {
                    (Some(key), _) => Some((own(&key), Some(item.value), item.mod_revision)),
                    (None, Some(key)) => Some((own(&key), None, item.mod_revision)),
                    (None, None) => None,
                };
                let items = news.events.into_iter().filter_map(item).collect();
                if self.replicated_records.records.is_loaded() {
                    self.replicated_records.records.on_watch_changes(items, news.revision);
                    self.watch_records();
                    self.on_records_changed();
                }
            }
            (CallContext::WatchRecords, _) => {
                self.replicated_records.is_watching = false;
                if self.replicated_records.sync == RecordSync::Watching {
                    self.replicated_records.advance(again);
                }
            }
            _ => {}
        }
    }

    fn write_records(&mut self, txn: RecordTransaction) {
        let Some(leader) = &self.cluster_state else { return };
        let mut when = vec![Precondition { key: keys::LEADER.into(), mod_revision: leader.token }];
        when.extend(
            txn.conditions
                .into_iter()
                .map(|(key, stamp)| Precondition { key, mod_revision: stamp }),
        );
        let change = |(key, value): (String, Option<serde_json::Value>)| match value {
            Some(value) => Mutation::Put { key, value, lease: None },
            None => Mutation::Delete { key },
        };
        let commit = Transaction {
            preconditions: when,
            mutations: txn.writes.into_iter().map(change).collect(),
        };
        let purpose = CallContext::WriteRecords { generation: leader.generation, nonce: txn.id };
        self.store.push(
            StoreCall::Commit(commit),
            purpose,
            CallPriority::Low,
            RetryPolicy::UntilDefinite,
        );
    }

    /// A transaction of the leader's has ended.
    pub(super) fn on_records_written(&mut self, nonce: u64, outcome: &StoreOutcome) {
        use swiftsail_replicated_records::WriteOutcome as End;
        let end = match outcome {
            StoreOutcome::Committed(stamp) => End::Committed(*stamp),
            StoreOutcome::Conflict(failed) if failed.iter().any(|k| k == keys::LEADER) => {
                return self.step_down("the store knows of another term");
            }
            StoreOutcome::Conflict(_) => End::Conflict,
            other => {
                tracing::error!(outcome = ?other, "transaction rejected: replicated records");
                End::Conflict
            }
        };
        if self.replicated_records.records.on_outcome(nonce, end) {
            self.replicated_records.advance(RecordSync::Due(self.now.monotonic));
        }
        let book = &self.replicated_records.records;
        let done: Vec<PendingRecordWrite> = self
            .replicated_records
            .pending_writes
            .extract_if(.., |w| book.is_committed(&w.key))
            .collect();
        for w in done {
            let body = json!({ "record": w.key, "status": "committed" });
            self.answer(w.request, Reply::json(200, &body));
        }
        self.on_records_changed();
    }

    /// What is known of the records may have changed: whoever reads them looks again.
    pub(super) fn on_records_changed(&mut self) {
        if !self.replicated_records.is_enabled()
            || self.replicated_records.seen_version
                == self.replicated_records.records.change_count()
        {
            return;
        }
        self.replicated_records.seen_version = self.replicated_records.records.change_count();
        self.read_tiers();
        self.read_plan();
    }

    /// The highest table counts: of the state service, or of this controller's own file. Only a leader whose file
    /// has a higher one writes it down.
    fn read_tiers(&mut self) {
        let found = self.replicated_records.records.get_committed(TIERS);
        let held = found.and_then(|value| match TierTableRecord::from_record(TIERS, value) {
            Ok(record) => Some(record),
            Err(e) => {
                tracing::error!(cause = %e, "new tier table rejected, keeping the active one");
                None
            }
        });
        let unread = found.is_some() && held.is_none();
        if let Some(held) = held
            && held != *self.replicated_records.tier_table.record()
        {
            match TierTable::compile(held) {
                Ok(table) => self.put_tiers_in_force(Rc::new(table)),
                Err(e) => {
                    tracing::error!(cause = %e, "new tier table rejected, keeping the active one")
                }
            }
        }
        let Some(own) = self
            .replicated_records
            .own_tiers
            .clone()
            .filter(|_| self.replicated_records.records.is_loaded() && !unread)
        else {
            return;
        };
        let there = self
            .replicated_records
            .records
            .get(TIERS)
            .and_then(|v| TierTableRecord::from_record(TIERS, v).ok());
        let there = there.map_or(0, |t| t.version);
        if own.version() > there && self.cluster_state.is_some() {
            tracing::info!(
                version = own.version(),
                held = there,
                "this controller's tier table is newer than the stored one"
            );
            self.replicated_records.records.put(TIERS, own.record().to_record());
        }
    }

    fn put_tiers_in_force(&mut self, table: Rc<TierTable>) {
        let names: Vec<&str> = table.record().tiers.iter().map(|t| t.name.as_str()).collect();
        tracing::info!(version = table.version(), tiers = names.join(", "), "tier table activated");
        if let Some(own) =
            self.replicated_records.own_tiers.as_ref().filter(|own| own.version() < table.version())
        {
            tracing::info!(
                file = own.version(),
                "ignoring older tier table in this controller's file"
            );
        }
        self.replicated_records.tier_table = table.clone();
        for tables in self.cluster_state.iter_mut().chain(&mut self.loading_state) {
            tables.set_tiers(table.clone());
        }
    }

    /// The tier that a job is accepted into, where tiers are held in the state service.
    pub(super) fn tier_for_submission(&self, id: &JobId, spec: &JobSpec) -> Option<String> {
        let on = self.replicated_records.is_enabled();
        on.then(|| {
            self.replicated_records
                .tier_table
                .accepting_tier_name(&job_attributes(id, spec))
                .to_string()
        })
    }

    /// An operator offers another table of tiers.
    pub(super) fn set_tiers(&mut self, request: RequestId, body: &[u8]) {
        if !self.replicated_records.is_enabled() {
            let why =
                "tiers are not held in the state service; give the operators' file a [tiers] table";
            return self.answer(request, plugin_error_reply(409, why));
        }
        if self.cluster_state.is_none() {
            return self.answer(request, self.reply_not_leader());
        }
        let offered = serde_json::from_slice::<TierTableRecord>(body)
            .map_err(|e| format!("the table cannot be read: {e}; send JSON with version and tier"));
        let table = offered.and_then(|t| TierTable::new(t).map_err(|e| e.to_string()));
        let table = match table {
            Ok(table) => table,
            Err(why) => return self.answer(request, plugin_error_reply(422, why)),
        };
        let there = self.replicated_records.tier_table.version();
        if table.version() <= there {
            let why = format!("table {there} is in force; give yours a higher version");
            return self.answer(request, plugin_error_reply(409, why));
        }
        self.submit_record_write(request, TIERS, table.record().to_record());
    }

    /// Writes a record for an operator, who is answered once it is committed.
    pub(super) fn submit_record_write(
        &mut self,
        request: RequestId,
        key: &str,
        value: serde_json::Value,
    ) {
        if !self.replicated_records.records.put(key, value) {
            let why =
                "the record is too large for the state service, or there are too many; shorten it";
            return self.answer(request, plugin_error_reply(422, why));
        }
        let until = self.now.monotonic + RECORD_WRITE_TIMEOUT_MS;
        self.replicated_records.pending_writes.push(PendingRecordWrite {
            request,
            key: key.into(),
            deadline: until,
        });
    }

    /// Another controller leads: an operator should ask there.
    pub(super) fn reply_not_leader(&self) -> Reply {
        let why = "this controller does not lead; ask the leader";
        Reply::json(421, &json!({ "error": why, "leader": self.leadership.known_leader }))
    }

    /// Keys of the records as this controller knows them, without their prefix.
    pub fn record_keys(&self) -> Vec<String> {
        self.replicated_records
            .records
            .get_by_prefix("")
            .keys()
            .map(|key| key.to_string())
            .collect()
    }

    /// The table in force, and what waits in each tier and why.
    pub(super) fn show_tiers(&self) -> serde_json::Value {
        let table = &self.replicated_records.tier_table;
        let teams = &self.settings.settings.teams;
        let waiting = self.cluster_state.as_ref().map(|leader| leader.tiers_waiting(teams));
        let waiting = waiting.unwrap_or_default();
        let rows = (0..=table.record().tiers.len()).map(|n| {
            let line = table.record().tiers.get(n);
            let (jobs, tasks, first, limited) =
                waiting.get(&(n as u8)).cloned().unwrap_or_default();
            json!({
                "tier": table.name(n),
                "when": line.map_or("everything else", |t| t.when.as_str()),
                "ordered": line.is_some_and(|t| t.ordered),
                "jobs": jobs,
                "tasks_waiting": tasks,
                "first": first,
                "held_by_limit": limited,
            })
        });
        json!({
            "version": table.version(),
            "durable": self.replicated_records.is_enabled(),
            "file": self.replicated_records.own_tiers.as_ref().map(|t| t.version()),
            "leads": self.is_leader(),
            "tiers": rows.collect::<Vec<_>>(),
        })
    }

    /// Why a job is of its tier, and where in the line it stands.
    pub(super) fn explain_tier(&self, id: &str) -> Reply {
        let Some(leader) = &self.cluster_state else { return self.reply_not_leader() };
        let Some(job) = leader.jobs.get(id) else {
            return plugin_error_reply(404, format!("job `{id}` is not alive; poll it"));
        };
        let table = &self.replicated_records.tier_table;
        let judged = table.match_tier(&job_attributes(&job.id, &job.spec));
        let line = leader.queue_order(&self.settings.settings.teams);
        let waits = |id: &str| leader.jobs.get(id).is_some_and(Job::has_queued_tasks);
        let ahead =
            line.iter().take_while(|p| p.job_id() != id).filter(|p| waits(p.job_id())).count();
        let place = line.iter().find(|p| p.job_id() == id);
        Reply::json(
            200,
            &json!({
                "job": id,
                "tier": table.name(job.tier.tier as usize),
                "ordered": job.tier.ordered,
                "accepted_as": job.accepted_tier,
                "by_expressions": table.name(judged),
                "priority": job.spec.priority,
                "accepted_ms": job.accepted_wall,
                "beyond_guarantee": place.is_some_and(|p| p.is_beyond_guarantee()),
                "waiting_ahead": ahead,
                "tasks_waiting": job.waiting.len(),
            }),
        )
    }
}

/// Of a tier: jobs that wait, their tasks, the first of them, and tasks that their team's limit holds back.
pub(super) type Queue = (usize, usize, Option<String>, usize);

impl ClusterState {
    /// What waits in each tier.
    fn tiers_waiting(
        &self,
        teams: &[crate::settings::TeamSettings],
    ) -> std::collections::BTreeMap<u8, Queue> {
        let usage = self.quota_usage(teams);
        let mut found: std::collections::BTreeMap<u8, Queue> = Default::default();
        for place in self.queue_order(teams) {
            let Some(job) = self.jobs.get(place.job_id()).filter(|j| j.has_queued_tasks()) else {
                continue;
            };
            let team = teams.iter().position(|t| t.name == job.spec.team);
            let limited = team.is_some_and(|n| {
                let each = crate::cluster_state::quota_per_task(&job.spec);
                !self.quota_limit(n, &teams[n]).allows(usage[n], each)
            });
            let queue = found.entry(job.tier.tier).or_default();
            queue.0 += 1;
            queue.1 += job.waiting.len();
            queue.2.get_or_insert(place.job_id().to_string());
            queue.3 += if limited { job.waiting.len() } else { 0 };
        }
        found
    }
}
