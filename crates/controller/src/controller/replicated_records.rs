//! The replicated records ([`swiftsail_replicated_records`]) as this controller reads, watches and writes them, and the
//! tier table among them. The leader alone writes, on the condition that it still holds the leader's key. A new leader
//! reads all records before its first scheduling cycle.
//!
//! Owns [`ReplicatedRecords`]. The deadline plan and GPU loans are in `deadline_planning` and `gpu_lending`.

use super::plugins::admin_error_reply;
use super::store_calls::DEPOSED;
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

/// Key of the tier table, below the common prefix of all replicated records.
const TIER_TABLE_KEY: &str = "tiers";

/// Whether and how this controller follows the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordSync {
    /// Nothing that needs the records is enabled.
    Off,
    /// A read of all records is due at this time.
    Due(Time),
    /// All records are being read.
    Reading,
    /// All records are being read as part of the loading of a new leader.
    Loading,
    /// The records are read, and watched for changes.
    Watching,
}

/// An operator's request that is answered once its record is committed, or at the deadline.
#[derive(Debug)]
struct PendingRecordWrite {
    request: RequestId,
    key: String,
    deadline: Time,
}

/// The replicated records of this controller, and what is made of them.
pub(super) struct ReplicatedRecords {
    sync: RecordSync,
    pub(super) records: RecordStore,
    /// Number of the latest read of all records: pages of an earlier one may still arrive and are ignored.
    read_number: u64,
    /// Whether a watch is open.
    is_watching: bool,
    /// The tier table of this controller's operators' file.
    own_tier_table: Option<Rc<TierTable>>,
    /// The tier table in force.
    pub(super) tier_table: Rc<TierTable>,
    /// Whether GPU loans are held in the state service.
    loans_durable: bool,
    /// The deadline schedule of this controller's operators' file.
    pub(super) own_schedule: Option<Rc<DeadlineSchedule>>,
    /// The deadline schedule in force; none: there is no deadline plan.
    pub(super) schedule: Option<Rc<DeadlineSchedule>>,
    /// The open occurrences of the schedule.
    pub(super) deadline_tracker: DeadlineTracker,
    /// When the tracker was last updated.
    pub(super) deadlines_checked_at: Time,
    pending_writes: Vec<PendingRecordWrite>,
    /// Change count of the records when tier table and deadline plan were last read from them.
    seen_change_count: u64,
}

fn store_limits(state: &StoreSettings) -> StoreLimits {
    let value_bytes = state.max_value_bytes();
    StoreLimits {
        writes_per_second: state.write_rps,
        max_transaction_writes: state.txn_ops,
        max_value_bytes: value_bytes,
    }
}

impl ReplicatedRecords {
    /// Records that are not read yet. They are followed if the operators' file enables anything that needs them. An
    /// invalid tier table or deadline plan in the file is logged and ignored.
    pub fn new(operator: &OperatorSettings, state: &StoreSettings, now: Time) -> ReplicatedRecords {
        let own_tier_table =
            operator.tiers.as_ref().and_then(|settings| {
                match TierTable::compile(tier_table_from_settings(settings)) {
                    Ok(table) => Some(Rc::new(table)),
                    Err(e) => {
                        tracing::error!(cause = %e, "tier table in the operators' file rejected");
                        None
                    }
                }
            });
        let own_schedule =
            operator.dispatch.clone().and_then(|table| match compile_deadline_plan(table) {
                Ok(schedule) => Some(Rc::new(schedule)),
                Err(e) => {
                    tracing::error!(cause = %e, "dispatch plan in the operators' file rejected");
                    None
                }
            });
        let is_enabled =
            operator.tiers.is_some() || operator.loans.durable || own_schedule.is_some();
        ReplicatedRecords {
            sync: if is_enabled { RecordSync::Due(0) } else { RecordSync::Off },
            records: RecordStore::new(keys::REPLICATED_RECORDS, store_limits(state), now),
            read_number: 0,
            is_watching: false,
            tier_table: own_tier_table.clone().unwrap_or_default(),
            own_tier_table,
            loans_durable: operator.loans.durable,
            schedule: own_schedule.clone(),
            own_schedule,
            deadline_tracker: DeadlineTracker::default(),
            deadlines_checked_at: 0,
            pending_writes: Vec::new(),
            seen_change_count: 0,
        }
    }

    /// The one function that changes `sync`; [`RecordSync::Off`] is final.
    fn advance(&mut self, to: RecordSync) {
        if self.sync != RecordSync::Off {
            self.sync = to;
        }
    }

    /// Begins a read of all records and returns its number. Pages of an earlier read are ignored from now on.
    fn restart_read(&mut self) -> u64 {
        self.read_number += 1;
        self.records.start_reload();
        self.read_number
    }

    /// Discards the pending writes of a leader that steps down. If it was still loading, the records are read again.
    pub fn on_leadership_lost(&mut self, now: Time) {
        self.records.discard_pending_writes();
        if self.sync == RecordSync::Loading {
            self.advance(RecordSync::Due(now));
        }
    }

    /// Whether GPU loans are held in the state service.
    pub fn are_loans_durable(&self) -> bool {
        self.is_enabled() && self.loans_durable
    }

    /// Whether anything that needs the records is enabled.
    pub fn is_enabled(&self) -> bool {
        self.sync != RecordSync::Off
    }
}

/// Compiles the deadline plan of an operators' file, from its `[dispatch]` table. An error names the invalid part and
/// the remedy.
pub fn compile_deadline_plan(table: toml::Table) -> Result<DeadlineSchedule, String> {
    let plan: DeadlinePlan =
        table.try_into().map_err(|e| format!("[dispatch]: {}", e.message()))?;
    DeadlineSchedule::new(plan).map_err(|e| e.to_string())
}

/// The tier table of an operators' file as a record, not validated.
pub fn tier_table_from_settings(
    settings: &swiftsail_policy::operator_settings::TierTableSettings,
) -> TierTableRecord {
    let definition = |entry: &swiftsail_policy::operator_settings::TierEntrySettings| {
        swiftsail_tiers::TierDefinition {
            name: entry.name.clone(),
            when: entry.when.get_ref().clone(),
            ordered: entry.ordered,
        }
    };
    let tiers = settings.tier.iter().map(definition).collect();
    TierTableRecord { format_version: 0, version: settings.version, tiers }
}

impl Controller {
    /// Timer step: reads the records if that is due, sends the leader's next write, and answers operators whose write was
    /// not committed in time.
    pub(super) fn update_records(&mut self) {
        let now = self.now.monotonic;
        if let RecordSync::Due(at) = self.replicated_records.sync
            && now >= at
        {
            self.replicated_records.advance(RecordSync::Reading);
            let read_number = self.replicated_records.restart_read();
            self.list_records(None, CallContext::ReadRecords { read_number }, CallPriority::Normal);
        }
        let may_write = self.cluster_state.is_some() && self.is_lease_confirmed();
        if let Some(transaction) =
            may_write.then(|| self.replicated_records.records.next_transaction(now)).flatten()
        {
            self.write_records(transaction);
        }
        let is_overdue = |write: &PendingRecordWrite| now >= write.deadline;
        let overdue: Vec<PendingRecordWrite> = self
            .replicated_records
            .pending_writes
            .extract_if(.., |write| is_overdue(write))
            .collect();
        for write in overdue {
            let error = "the state service did not confirm; look at it before trying again";
            self.answer(write.request, admin_error_reply(503, error));
        }
    }

    /// Reads the next page of records, after the key `from`, which is without the prefix.
    fn list_records(&mut self, from: Option<String>, context: CallContext, priority: CallPriority) {
        let from = from.map(|key| format!("{}{key}", keys::REPLICATED_RECORDS));
        let call = StoreCall::List { prefix: keys::REPLICATED_RECORDS.into(), from };
        let policy = match priority {
            CallPriority::Leadership => RetryPolicy::UntilDefinite,
            _ => RetryPolicy::OnceBefore(self.now.monotonic + STORE_TIMEOUT_MS),
        };
        self.store.push(call, context, priority, policy);
    }

    /// Begins to load the records of a new leader, in this generation of the leadership. Returns false if nothing needs
    /// them.
    pub(super) fn load_records(&mut self, generation: u64) -> bool {
        if !self.replicated_records.is_enabled() {
            return false;
        }
        self.replicated_records.records.discard_pending_writes();
        self.replicated_records.advance(RecordSync::Loading);
        self.replicated_records.restart_read();
        self.list_records(None, CallContext::LoadRecords { generation }, CallPriority::Leadership);
        true
    }

    /// Applies a page that a new leader has read. Returns whether it was the last.
    pub(super) fn on_records_loaded(&mut self, page: KeyPage, generation: u64) -> bool {
        match self.apply_record_page(page) {
            Some(last) => {
                self.list_records(
                    Some(last),
                    CallContext::LoadRecords { generation },
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

    /// Applies a page of records. Returns the key after which to read the next page; none: it was the last.
    fn apply_record_page(&mut self, page: KeyPage) -> Option<String> {
        let without_prefix = |key: String| {
            key.strip_prefix(keys::REPLICATED_RECORDS).map(str::to_string).unwrap_or(key)
        };
        let records = page
            .entries
            .into_iter()
            .map(|entry| (without_prefix(entry.key), entry.value, entry.mod_revision))
            .collect();
        self.replicated_records.records.on_page(records, page.revision, page.has_next)
    }

    /// Opens a watch from the known revision on, unless one is open or the records are not loaded.
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

    /// A read or watch of the records has ended.
    pub(super) fn on_records_response(&mut self, context: &CallContext, outcome: StoreOutcome) {
        let retry = RecordSync::Due(self.now.monotonic + RECORDS_RETRY_MS);
        match (context, outcome) {
            (CallContext::ReadRecords { read_number }, _)
                if *read_number != self.replicated_records.read_number => {}
            (CallContext::ReadRecords { .. }, StoreOutcome::Page(page)) => match self
                .apply_record_page(page)
            {
                Some(last) => self.list_records(Some(last), context.clone(), CallPriority::Normal),
                None => {
                    self.replicated_records.advance(RecordSync::Watching);
                    self.watch_records();
                    self.on_records_changed();
                }
            },
            (CallContext::ReadRecords { .. }, _) => self.replicated_records.advance(retry),
            (CallContext::WatchRecords, StoreOutcome::Changes(changes)) => {
                self.replicated_records.is_watching = false;
                let without_prefix = |key: &str| {
                    key.strip_prefix(keys::REPLICATED_RECORDS).unwrap_or(key).to_string()
                };
                let to_change = |event: WatchEvent| match (event.put_key, event.deleted_key) {
                    (Some(key), _) => {
                        Some((without_prefix(&key), Some(event.value), event.mod_revision))
                    }
                    (None, Some(key)) => Some((without_prefix(&key), None, event.mod_revision)),
                    (None, None) => None,
                };
                let record_changes = changes.events.into_iter().filter_map(to_change).collect();
                if self.replicated_records.records.is_loaded() {
                    self.replicated_records
                        .records
                        .on_watch_changes(record_changes, changes.revision);
                    self.watch_records();
                    self.on_records_changed();
                }
            }
            (CallContext::WatchRecords, _) => {
                self.replicated_records.is_watching = false;
                if self.replicated_records.sync == RecordSync::Watching {
                    self.replicated_records.advance(retry);
                }
            }
            _ => {}
        }
    }

    /// Sends a transaction of the leader, on the additional condition that it still holds the leader's key.
    fn write_records(&mut self, transaction: RecordTransaction) {
        let Some(state) = &self.cluster_state else { return };
        let mut preconditions =
            vec![Precondition { key: keys::LEADER.into(), mod_revision: state.token }];
        preconditions.extend(
            transaction
                .conditions
                .into_iter()
                .map(|(key, mod_revision)| Precondition { key, mod_revision }),
        );
        let to_mutation = |(key, value): (String, Option<serde_json::Value>)| match value {
            Some(value) => Mutation::Put { key, value, lease: None },
            None => Mutation::Delete { key },
        };
        let commit = Transaction {
            preconditions,
            mutations: transaction.writes.into_iter().map(to_mutation).collect(),
        };
        let context =
            CallContext::WriteRecords { generation: state.generation, nonce: transaction.id };
        self.store.push(
            StoreCall::Commit(commit),
            context,
            CallPriority::Low,
            RetryPolicy::UntilDefinite,
        );
    }

    /// The leader's transaction with this id has ended. Answers the operators whose records are committed now.
    pub(super) fn on_records_written(&mut self, transaction_id: u64, outcome: &StoreOutcome) {
        use swiftsail_replicated_records::WriteOutcome;
        let write_outcome = match outcome {
            StoreOutcome::Committed(mod_revision) => WriteOutcome::Committed(*mod_revision),
            StoreOutcome::Conflict(failed) if failed.iter().any(|key| key == keys::LEADER) => {
                return self.step_down(DEPOSED);
            }
            StoreOutcome::Conflict(_) => WriteOutcome::Conflict,
            other => {
                tracing::error!(outcome = ?other, "replicated records transaction rejected");
                WriteOutcome::Conflict
            }
        };
        if self.replicated_records.records.on_outcome(transaction_id, write_outcome) {
            self.replicated_records.advance(RecordSync::Due(self.now.monotonic));
        }
        let records = &self.replicated_records.records;
        let committed: Vec<PendingRecordWrite> = self
            .replicated_records
            .pending_writes
            .extract_if(.., |write| records.is_committed(&write.key))
            .collect();
        for write in committed {
            let body = json!({ "record": write.key, "status": "committed" });
            self.answer(write.request, Reply::json(200, &body));
        }
        self.on_records_changed();
    }

    /// Applies the tier table and the deadline plan in the records, if any record may have changed.
    pub(super) fn on_records_changed(&mut self) {
        if !self.replicated_records.is_enabled()
            || self.replicated_records.seen_change_count
                == self.replicated_records.records.change_count()
        {
            return;
        }
        self.replicated_records.seen_change_count = self.replicated_records.records.change_count();
        self.apply_tier_table();
        self.apply_deadline_plan();
    }

    /// Puts the stored tier table in force, if it differs from the one in force. If this controller leads and its own
    /// file has a table of a higher version, requests a write of that one. A stored table that cannot be read is never
    /// overwritten.
    fn apply_tier_table(&mut self) {
        let value = self.replicated_records.records.get_committed(TIER_TABLE_KEY);
        let stored =
            value.and_then(|value| match TierTableRecord::from_record(TIER_TABLE_KEY, value) {
                Ok(record) => Some(record),
                Err(e) => {
                    tracing::error!(cause = %e, "new tier table rejected, keeping the active one");
                    None
                }
            });
        let is_unreadable = value.is_some() && stored.is_none();
        if let Some(stored) = stored
            && stored != *self.replicated_records.tier_table.record()
        {
            match TierTable::compile(stored) {
                Ok(table) => self.activate_tier_table(Rc::new(table)),
                Err(e) => {
                    tracing::error!(cause = %e, "new tier table rejected, keeping the active one")
                }
            }
        }
        let Some(own) = self
            .replicated_records
            .own_tier_table
            .clone()
            .filter(|_| self.replicated_records.records.is_loaded() && !is_unreadable)
        else {
            return;
        };
        let stored = self
            .replicated_records
            .records
            .get(TIER_TABLE_KEY)
            .and_then(|value| TierTableRecord::from_record(TIER_TABLE_KEY, value).ok());
        let stored_version = stored.map_or(0, |record| record.version);
        if own.version() > stored_version && self.cluster_state.is_some() {
            tracing::info!(
                version = own.version(),
                held = stored_version,
                "this controller's tier table is newer than the stored one"
            );
            self.replicated_records.records.put(TIER_TABLE_KEY, own.record().to_record());
        }
    }

    /// Puts a tier table in force, also for the leader's cluster state.
    fn activate_tier_table(&mut self, table: Rc<TierTable>) {
        let names: Vec<&str> = table.record().tiers.iter().map(|tier| tier.name.as_str()).collect();
        tracing::info!(version = table.version(), tiers = names.join(", "), "tier table activated");
        if let Some(own) = self
            .replicated_records
            .own_tier_table
            .as_ref()
            .filter(|own| own.version() < table.version())
        {
            tracing::info!(
                file = own.version(),
                "ignoring older tier table in this controller's file"
            );
        }
        self.replicated_records.tier_table = table.clone();
        for state in self.cluster_state.iter_mut().chain(&mut self.loading_state) {
            state.set_tiers(table.clone());
        }
    }

    /// Name of the tier that a job is accepted into; none if the records are not followed.
    pub(super) fn tier_for_submission(&self, id: &JobId, spec: &JobSpec) -> Option<String> {
        let is_enabled = self.replicated_records.is_enabled();
        is_enabled.then(|| {
            self.replicated_records
                .tier_table
                .accepting_tier_name(&job_attributes(id, spec))
                .to_string()
        })
    }

    /// Handles an operator's request to replace the tier table, which must be valid and of a higher version. The
    /// operator is answered once it is committed.
    pub(super) fn set_tiers(&mut self, request: RequestId, body: &[u8]) {
        if !self.replicated_records.is_enabled() {
            let error =
                "tiers are not held in the state service; give the operators' file a [tiers] table";
            return self.answer(request, admin_error_reply(409, error));
        }
        if self.cluster_state.is_none() {
            return self.answer(request, self.reply_not_leader());
        }
        let offered = serde_json::from_slice::<TierTableRecord>(body)
            .map_err(|e| format!("the table cannot be read: {e}; send JSON with version and tier"));
        let table = offered.and_then(|record| TierTable::new(record).map_err(|e| e.to_string()));
        let table = match table {
            Ok(table) => table,
            Err(error) => return self.answer(request, admin_error_reply(422, error)),
        };
        let active_version = self.replicated_records.tier_table.version();
        if table.version() <= active_version {
            let error = format!("table {active_version} is in force; give yours a higher version");
            return self.answer(request, admin_error_reply(409, error));
        }
        self.submit_record_write(request, TIER_TABLE_KEY, table.record().to_record());
    }

    /// Requests a write of a record for an operator, who is answered once it is committed, within
    /// [`RECORD_WRITE_TIMEOUT_MS`].
    pub(super) fn submit_record_write(
        &mut self,
        request: RequestId,
        key: &str,
        value: serde_json::Value,
    ) {
        if !self.replicated_records.records.put(key, value) {
            let error =
                "the record is too large for the state service, or there are too many; shorten it";
            return self.answer(request, admin_error_reply(422, error));
        }
        let deadline = self.now.monotonic + RECORD_WRITE_TIMEOUT_MS;
        self.replicated_records.pending_writes.push(PendingRecordWrite {
            request,
            key: key.into(),
            deadline,
        });
    }

    /// The reply of a controller that does not lead to an operator: 421 with the name of the leader.
    pub(super) fn reply_not_leader(&self) -> Reply {
        let error = "this controller does not lead; ask the leader";
        Reply::json(421, &json!({ "error": error, "leader": self.leadership.known_leader }))
    }

    /// Keys of all records known to this controller, pending writes included, without the common prefix.
    pub fn record_keys(&self) -> Vec<String> {
        self.replicated_records
            .records
            .get_by_prefix("")
            .keys()
            .map(|key| key.to_string())
            .collect()
    }

    /// The tier table in force with the queue of each tier, for operators.
    pub(super) fn describe_tiers(&self) -> serde_json::Value {
        let table = &self.replicated_records.tier_table;
        let teams = &self.settings.settings.teams;
        let queues = self.cluster_state.as_ref().map(|state| state.summarize_tier_queues(teams));
        let queues = queues.unwrap_or_default();
        let rows = (0..=table.record().tiers.len()).map(|index| {
            let tier = table.record().tiers.get(index);
            let (jobs, tasks, first_job, limited_tasks) =
                queues.get(&(index as u8)).cloned().unwrap_or_default();
            json!({
                "tier": table.name(index),
                "when": tier.map_or("everything else", |tier| tier.when.as_str()),
                "ordered": tier.is_some_and(|tier| tier.ordered),
                "jobs": jobs,
                "tasks_waiting": tasks,
                "first": first_job,
                "held_by_limit": limited_tasks,
            })
        });
        json!({
            "version": table.version(),
            "durable": self.replicated_records.is_enabled(),
            "file": self.replicated_records.own_tier_table.as_ref().map(|table| table.version()),
            "leads": self.is_leader(),
            "tiers": rows.collect::<Vec<_>>(),
        })
    }

    /// Why a job is in its tier, and how many jobs wait ahead of it.
    pub(super) fn explain_tier_reply(&self, id: &str) -> Reply {
        let Some(state) = &self.cluster_state else { return self.reply_not_leader() };
        let Some(job) = state.jobs.get(id) else {
            return admin_error_reply(404, format!("job `{id}` is not alive; poll it"));
        };
        let table = &self.replicated_records.tier_table;
        let matched_tier = table.match_tier(&job_attributes(&job.id, &job.spec));
        let queue = state.queue_order(&self.settings.settings.teams);
        let is_waiting = |id: &str| state.jobs.get(id).is_some_and(Job::has_queued_tasks);
        let waiting_ahead = queue
            .iter()
            .take_while(|position| position.job_id() != id)
            .filter(|position| is_waiting(position.job_id()))
            .count();
        let position = queue.iter().find(|position| position.job_id() == id);
        Reply::json(
            200,
            &json!({
                "job": id,
                "tier": table.name(job.tier.tier as usize),
                "ordered": job.tier.ordered,
                "accepted_as": job.accepted_tier,
                "by_expressions": table.name(matched_tier),
                "priority": job.spec.priority,
                "accepted_ms": job.accepted_wall,
                "beyond_guarantee": position.is_some_and(|position| position.is_beyond_guarantee()),
                "waiting_ahead": waiting_ahead,
                "tasks_waiting": job.waiting.len(),
            }),
        )
    }
}

/// Summary of a tier's queue: waiting jobs, their waiting tasks, the first job, and waiting tasks of jobs whose team has
/// reached its limit.
pub(super) type TierQueueSummary = (usize, usize, Option<String>, usize);

impl ClusterState {
    /// Summary of each tier's queue, by the tier's index. Tiers without waiting jobs are absent.
    fn summarize_tier_queues(
        &self,
        teams: &[crate::settings::TeamSettings],
    ) -> std::collections::BTreeMap<u8, TierQueueSummary> {
        let usage = self.quota_usage(teams);
        let mut summaries: std::collections::BTreeMap<u8, TierQueueSummary> = Default::default();
        for position in self.queue_order(teams) {
            let Some(job) = self.jobs.get(position.job_id()).filter(|job| job.has_queued_tasks())
            else {
                continue;
            };
            let team = teams.iter().position(|team| team.name == job.spec.team);
            let is_limited = team.is_some_and(|index| {
                let per_task = crate::cluster_state::quota_per_task(&job.spec);
                !self.quota_limit(index, &teams[index]).allows(usage[index], per_task)
            });
            let summary = summaries.entry(job.tier.tier).or_default();
            summary.0 += 1;
            summary.1 += job.waiting.len();
            summary.2.get_or_insert(position.job_id().to_string());
            summary.3 += if is_limited { job.waiting.len() } else { 0 };
        }
        summaries
    }
}
