//! Checks that answers to users are linearizable, in a minimal model: three controllers, the state service and users,
//! without machines. Calls to the state service are applied and answered after random delays, while jobs finish and
//! their records move to the final key. No answer may show an older state than one that any controller returned before
//! the request was sent.

mod cases;
#[path = "../common/mod.rs"]
mod common;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use swiftsail_controller::cloud;
use swiftsail_controller::controller::{Action, Controller, Event, Now, Reply, UserRequest};
use swiftsail_controller::job::{FinalRecord, FinalState, JobRecord, StoredJob, keys};
use swiftsail_controller::settings::Settings;
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_protocol::cloud::{MachinePage, MachineTypes};
use swiftsail_protocol::controllers::Heartbeat;
use swiftsail_protocol::state::{Mutation, Precondition, Transaction};
use swiftsail_simulation::simulation::{START_MS, controller_settings, job_body, machine_offers};
use swiftsail_simulation::store::{CompactedRevision, FakeStore, TransactionResult};

const CONTROLLER_COUNT: usize = 3;
/// Time for which a user waits for the answer to a submission, a poll and a cancellation, ms, as set by the protocol.
const ANSWER_TIMEOUTS_MS: [u64; 3] = [5_000, 2_000, 5_000];

/// Status of a job as reported to a user. In the order in which a job can pass through them; the last two exclude each
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReportedStatus {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum UserAction {
    Submit,
    Poll,
    Cancel,
}

enum ModelEvent {
    Tick(usize),
    StoreCall(usize, u64, StoreCall),
    DeliverToController(usize, Box<Event>),
    Heartbeat(usize, usize, Box<Heartbeat>),
    UserRequest(usize, usize, UserAction),
    /// The job's last task has ended: its record becomes a final record, as a leader would write it.
    FinishJob(usize),
    /// The job's final record moves to its final key.
    MoveRecord(usize),
    Restart(usize),
}

/// Delays and faults of calls to the state service.
#[derive(Debug, Clone, Copy)]
struct StoreFaults {
    /// Maximum delay before a call is applied, and before its response arrives, ms.
    max_delay_ms: u64,
    /// Probability that a call is applied and its response is lost.
    answer_loss: f64,
    /// Probability that a call gets no response, and is applied seconds later if it is a transaction.
    late_application: f64,
    /// Probability that a call is refused.
    refusal: f64,
}

struct AnswerModel {
    now: u64,
    rng: StdRng,
    controllers: Vec<Controller>,
    store: FakeStore,
    store_faults: StoreFaults,
    memory_mb: f64,
    /// Time from which the cloud returns the machine types.
    machine_types_known_at: u64,
    /// Selects transactions that are applied and whose response is lost, whatever `store_faults` says.
    loses_response_to: fn(&Transaction) -> bool,
    /// The record of this job is moved just before the transaction that would move it, as if by an earlier attempt.
    moves_before_transaction: Option<usize>,
    /// Users send no follow-up requests, and no job finishes by itself.
    is_scripted: bool,
    /// A request whose status the test waits for: controller, request id, and the status or 0.
    awaited_request: Option<(usize, u64, u16)>,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    queued_events: HashMap<u64, ModelEvent>,
    event_sequence: u64,
    /// Open watches: controller, call id, prefix, first revision, and time-out.
    watches: Vec<(usize, u64, String, u64, u64)>,
    /// Unanswered requests, by controller and request id: job, action, and time sent.
    pending_requests: BTreeMap<(usize, u64), (usize, UserAction, u64)>,
    ids: Vec<String>,
    /// The job on which each job depends. The dependent job is submitted as soon as that one is accepted.
    submit_after: Vec<Option<usize>>,
    /// Statuses reported for each job so far, with the time of the first report.
    reported: Vec<BTreeMap<ReportedStatus, u64>>,
    cancelled_jobs: BTreeSet<usize>,
    violations: Vec<String>,
    fault_counts: BTreeMap<&'static str, u64>,
}

impl AnswerModel {
    fn new(seed: u64, store_faults: StoreFaults, memory_mb: f64) -> AnswerModel {
        let limits = controller_settings(0).settings.state.clone();
        let unlimited =
            swiftsail_controller::settings::StoreSettings { rps: 1e6, write_rps: 1e6, ..limits };
        let mut model = AnswerModel {
            now: START_MS,
            rng: StdRng::seed_from_u64(seed),
            controllers: Vec::new(),
            store: FakeStore::new(unlimited, START_MS),
            store_faults,
            memory_mb,
            machine_types_known_at: 0,
            loses_response_to: |_| false,
            moves_before_transaction: None,
            is_scripted: false,
            awaited_request: None,
            event_queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            event_sequence: 0,
            watches: Vec::new(),
            pending_requests: BTreeMap::new(),
            ids: Vec::new(),
            submit_after: Vec::new(),
            reported: Vec::new(),
            cancelled_jobs: BTreeSet::new(),
            violations: Vec::new(),
            fault_counts: BTreeMap::new(),
        };
        for n in 0..CONTROLLER_COUNT {
            let controller = model.start_controller(n);
            model.controllers.push(controller);
            model.schedule(START_MS, ModelEvent::Tick(n));
        }
        model
    }

    fn start_controller(&mut self, n: usize) -> Controller {
        let mut settings = Settings::clone(&controller_settings(n));
        settings.settings.machine_limits.mem_mb = self.memory_mb;
        let now = Now { monotonic: self.now, wall_clock: self.now };
        Controller::new(Arc::new(settings), self.rng.random(), now)
    }

    fn schedule(&mut self, time: u64, event: ModelEvent) {
        self.event_sequence += 1;
        self.queued_events.insert(self.event_sequence, event);
        self.event_queue.push(Reverse((time.max(self.now), self.event_sequence)));
    }

    fn count_fault(&mut self, name: &'static str) {
        *self.fault_counts.entry(name).or_default() += 1;
    }

    fn fault_count(&self, name: &str) -> u64 {
        self.fault_counts.get(name).copied().unwrap_or(0)
    }

    fn add_job(&mut self, id: String, after: Option<usize>) {
        self.ids.push(id);
        self.submit_after.push(after);
        self.reported.push(BTreeMap::new());
    }

    fn submit(&mut self, at_ms: u64, id: String) {
        self.add_job(id, None);
        let controller = self.rng.random_range(0..CONTROLLER_COUNT);
        self.schedule(
            START_MS + at_ms,
            ModelEvent::UserRequest(self.ids.len() - 1, controller, UserAction::Submit),
        );
    }

    fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((time, key))) = self.event_queue.peek().copied() {
            if time > START_MS + until_ms {
                break;
            }
            self.event_queue.pop();
            self.now = time;
            if let Some(event) = self.queued_events.remove(&key) {
                self.handle_model_event(event);
            }
        }
        self.now = START_MS + until_ms;
    }

    fn draw_delay(&mut self) -> u64 {
        // Mostly a few ms, sometimes up to the maximum.
        match self.rng.random_range(0..4) {
            0 => self.rng.random_range(1..=self.store_faults.max_delay_ms),
            _ => self.rng.random_range(1..12),
        }
    }

    fn deliver_event(&mut self, n: usize, event: Event) {
        let now = Now { monotonic: self.now, wall_clock: self.now };
        self.controllers[n].handle(event, now);
        loop {
            let actions = self.controllers[n].take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_action(n, action);
            }
        }
    }

    fn execute_action(&mut self, n: usize, action: Action) {
        match action {
            Action::Reply(id, reply) => self.handle_reply(n, id, &reply),
            Action::CallStore(id, call) => {
                let at = self.now + self.draw_delay();
                self.schedule(at, ModelEvent::StoreCall(n, id, call));
            }
            Action::CallCloud(call) => {
                let outcome = match &call {
                    cloud::CloudCall::ListTypes if self.now < self.machine_types_known_at => {
                        cloud::CloudOutcome::Failed
                    }
                    cloud::CloudCall::ListTypes => {
                        let types = machine_offers(6).into_iter().map(|o| o.machine_type).collect();
                        cloud::CloudOutcome::Types(MachineTypes { machine_types: types })
                    }
                    cloud::CloudCall::ListMachines(_) => {
                        cloud::CloudOutcome::Listed(MachinePage::default())
                    }
                    cloud::CloudCall::Provision(_) => cloud::CloudOutcome::NoCapacity,
                    cloud::CloudCall::Return(_) => cloud::CloudOutcome::Returned,
                };
                let event = Event::CloudResponse(Box::new(call), outcome);
                self.schedule(self.now + 20, ModelEvent::DeliverToController(n, Box::new(event)));
            }
            Action::SendHeartbeat(heartbeat) => {
                for other in (0..CONTROLLER_COUNT).filter(|o| *o != n) {
                    let at = self.now + self.draw_delay();
                    self.schedule(at, ModelEvent::Heartbeat(n, other, Box::new(heartbeat.clone())));
                }
            }
            _ => {}
        }
    }

    fn handle_model_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Tick(n) => {
                self.deliver_event(n, Event::Tick);
                self.schedule(self.now + 100, ModelEvent::Tick(n));
                let has_expired_leases = self.store.expire_leases(self.now, false);
                if has_expired_leases || n == 0 {
                    self.answer_watches();
                }
            }
            ModelEvent::DeliverToController(n, event) => self.deliver_event(n, *event),
            ModelEvent::Heartbeat(from, to, heartbeat) => {
                let is_abridged = heartbeat.is_abridged;
                self.deliver_event(to, Event::Heartbeat(*heartbeat));
                let response = self.controllers[to].build_heartbeat(is_abridged);
                let at = self.now + self.draw_delay();
                self.schedule(
                    at,
                    ModelEvent::DeliverToController(from, Box::new(Event::Heartbeat(response))),
                );
            }
            ModelEvent::StoreCall(n, id, call) => self.handle_store_call(n, id, call),
            ModelEvent::UserRequest(job, n, action) => self.send_request(job, n, action),
            ModelEvent::FinishJob(job) => self.finish_job(job),
            ModelEvent::MoveRecord(job) => self.move_record(job),
            ModelEvent::Restart(n) => {
                self.pending_requests.retain(|(controller, _), _| *controller != n);
                self.watches.retain(|watch| watch.0 != n);
                self.controllers[n] = self.start_controller(n);
            }
        }
    }

    // ---- the state service ----

    fn handle_store_call(&mut self, n: usize, id: u64, call: StoreCall) {
        if let StoreCall::Watch { prefix, from } = call {
            self.watches.push((n, id, prefix, from, self.now + 10_000));
            return self.answer_watches();
        }
        // Leader elections are not under test: calls for them never fail.
        let is_election_call = match &call {
            StoreCall::GrantLease { .. } | StoreCall::RenewLease(_) => true,
            StoreCall::Commit(c) => c.preconditions.iter().any(|p| p.key == keys::LEADER),
            _ => false,
        };
        if let StoreCall::Commit(commit) = &call {
            if let Some(job) = self.moves_before_transaction
                && commit.mutations.contains(&Mutation::Delete { key: keys::job(&self.ids[job]) })
            {
                self.moves_before_transaction = None;
                self.count_fault("moved before transaction");
                self.move_record(job);
            }
            if (self.loses_response_to)(commit) {
                self.count_fault("response lost by selection");
                self.execute_store_call(&call);
                self.schedule(
                    self.now + 1_500,
                    ModelEvent::DeliverToController(
                        n,
                        Box::new(Event::StoreResponse(id, StoreOutcome::Unknown)),
                    ),
                );
                return self.answer_watches();
            }
        }
        let draw = if is_election_call { 1.0 } else { self.rng.random_range(0.0..1.0) };
        let StoreFaults { answer_loss, late_application, refusal, .. } = self.store_faults;
        let is_commit = matches!(call, StoreCall::Commit(_));
        let timeout = (self.now + 1_500, StoreOutcome::Unknown);
        let (at, outcome) = if draw < answer_loss {
            if is_commit {
                self.count_fault("response lost");
            }
            self.execute_store_call(&call);
            timeout
        } else if draw < answer_loss + late_application {
            if is_commit && id != 0 {
                self.count_fault("applied late");
                let at = self.now + self.rng.random_range(1_000..12_000);
                // No controller has this index, so the response is dropped.
                self.schedule(at, ModelEvent::StoreCall(CONTROLLER_COUNT, 0, call));
            }
            timeout
        } else if draw < answer_loss + late_application + refusal {
            (self.now + self.rng.random_range(1..12), StoreOutcome::Unavailable)
        } else {
            let outcome = self.execute_store_call(&call);
            (self.now + self.draw_delay().min(1_400), outcome)
        };
        if n < CONTROLLER_COUNT {
            self.schedule(
                at,
                ModelEvent::DeliverToController(n, Box::new(Event::StoreResponse(id, outcome))),
            );
        }
        self.answer_watches();
    }

    fn execute_store_call(&mut self, call: &StoreCall) -> StoreOutcome {
        let now = self.now;
        match call {
            StoreCall::Get(key) => match self.store.get(key) {
                Some(pair) => StoreOutcome::Found(pair.clone()),
                None => StoreOutcome::Missing { revision: self.store.revision() },
            },
            StoreCall::List { prefix, from } => {
                StoreOutcome::Page(self.store.list(prefix, from.as_deref(), 7))
            }
            StoreCall::Commit(commit) => match self.store.apply_transaction(commit) {
                TransactionResult::Committed(revision) => StoreOutcome::Committed(revision),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(reason) => StoreOutcome::Malformed(reason),
            },
            StoreCall::GrantLease { ttl_ms } => match self.store.create_lease(*ttl_ms, now) {
                Some(id) => StoreOutcome::LeaseGranted(id),
                None => StoreOutcome::Malformed("invalid time to live".into()),
            },
            StoreCall::RenewLease(id) if self.store.renew_lease(*id, now) => {
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::RenewLease(_) => StoreOutcome::NoSuchLease,
            StoreCall::RevokeLease(id) => {
                self.store.revoke_lease(*id);
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::ReadChanges { prefix, from } => {
                match self.store.changes_since(prefix, *from) {
                    Err(CompactedRevision) => StoreOutcome::Compacted,
                    Ok(changes) => StoreOutcome::Changes(
                        changes.unwrap_or_else(|| self.store.empty_watch_response()),
                    ),
                }
            }
            StoreCall::Watch { .. } => StoreOutcome::Unknown,
        }
    }

    fn answer_watches(&mut self) {
        let (store, now) = (&self.store, self.now);
        let mut ready = VecDeque::new();
        self.watches.retain(|(n, id, prefix, from, until)| {
            let outcome = match store.changes_since(prefix, *from) {
                Err(CompactedRevision) => StoreOutcome::Compacted,
                Ok(Some(changes)) => StoreOutcome::Changes(changes),
                Ok(None) if now >= *until => StoreOutcome::Changes(store.empty_watch_response()),
                Ok(None) => return true,
            };
            ready.push_back((*n, *id, outcome));
            false
        });
        for (n, id, outcome) in ready {
            let at = self.now + self.draw_delay();
            self.schedule(
                at,
                ModelEvent::DeliverToController(n, Box::new(Event::StoreResponse(id, outcome))),
            );
        }
    }

    // ---- final records, as a leader writes them ----

    /// Whether a request about the job is unanswered.
    fn has_pending_request(&self, job: usize) -> bool {
        self.pending_requests.values().any(|(j, ..)| *j == job)
    }

    fn finish_job(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let Some(pair) = self.store.get(&key).cloned() else { return };
        let Some(StoredJob::Live(record)) = StoredJob::read(&pair.value) else { return };
        if record.cancelled {
            return;
        }
        if let Some(before) = self.submit_after[job] {
            let record_keys = [keys::job(&self.ids[before]), keys::final_record(&self.ids[before])];
            let found = record_keys.iter().find_map(|key| self.store.get(key));
            let final_record =
                found.and_then(|p| serde_json::from_value::<FinalRecord>(p.value.clone()).ok());
            match final_record.map(|record| record.state) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => return,
                // The dependency has not finished yet.
                None => return self.schedule(self.now + 700, ModelEvent::FinishJob(job)),
            }
        }
        if self.has_pending_request(job) {
            self.count_fault("finished during a request");
        }
        let final_record = FinalRecord { state: FinalState::Done, done: 1, ended_wall: None };
        let value = serde_json::to_value(final_record).expect("a final record is valid JSON");
        let mutations = vec![Mutation::Put { key: key.clone(), value, lease: None }];
        self.store.apply_transaction(&Transaction {
            preconditions: vec![Precondition { key, mod_revision: pair.mod_revision }],
            mutations,
        });
        self.answer_watches();
        let at = self.now + self.rng.random_range(1..1_500);
        self.schedule(at, ModelEvent::MoveRecord(job));
    }

    fn move_record(&mut self, job: usize) {
        let (key, final_key) = (keys::job(&self.ids[job]), keys::final_record(&self.ids[job]));
        let Some(pair) = self.store.get(&key).cloned() else { return };
        if self.has_pending_request(job) {
            self.count_fault("moved during a request");
        }
        let mutations = vec![
            Mutation::Delete { key: key.clone() },
            Mutation::Put { key: final_key, value: pair.value, lease: None },
        ];
        self.store.apply_transaction(&Transaction {
            preconditions: vec![Precondition { key, mod_revision: pair.mod_revision }],
            mutations,
        });
        self.answer_watches();
    }

    // ---- users ----

    fn send_request(&mut self, job: usize, n: usize, action: UserAction) {
        let id = self.ids[job].clone();
        let user_request = match action {
            UserAction::Submit => {
                let mut body = one_task_job_body(&id);
                if let Some(before) = self.submit_after[job] {
                    body["awaits"] = serde_json::json!([self.ids[before]]);
                }
                UserRequest::Submit(
                    rmp_serde::to_vec_named(&body).expect("the body is valid MessagePack"),
                )
            }
            UserAction::Poll if self.rng.random_bool(0.2) => UserRequest::RetriedPoll(id),
            UserAction::Poll => UserRequest::Poll(id),
            UserAction::Cancel => UserRequest::Cancel(id),
        };
        if action == UserAction::Cancel {
            self.cancelled_jobs.insert(job);
        }
        self.event_sequence += 1;
        let request = self.event_sequence;
        self.pending_requests.insert((n, request), (job, action, self.now));
        self.deliver_event(n, Event::UserRequest(request, user_request));
    }

    fn handle_reply(&mut self, n: usize, request: u64, reply: &Reply) {
        let awaited = self.awaited_request.as_mut();
        if let Some(awaited) = awaited.filter(|a| (a.0, a.1) == (n, request)) {
            awaited.2 = reply.status;
        }
        let pending = self.pending_requests.remove(&(n, request));
        let Some((job, action, sent_at)) = pending else { return };
        let now = self.now;
        if now >= sent_at + ANSWER_TIMEOUTS_MS[action as usize] {
            self.count_fault("answered too late");
            return;
        }
        let body: serde_json::Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let status = match (reply.status, body["status"].as_str().unwrap_or("")) {
            (200 | 201, "pending" | "running") => ReportedStatus::Accepted,
            (200, "done") => ReportedStatus::Done,
            (200, "withdrawn") => ReportedStatus::Cancelled,
            // Accepted and cancelled by dependency: a job that it depends on had been cancelled before.
            (201, "withdrawn") if self.submit_after[job].is_some() => ReportedStatus::Cancelled,
            (404, _) => ReportedStatus::Unknown,
            (503, _) => {
                self.count_fault("rejected");
                let is_final = self.reported[job].keys().any(|s| *s > ReportedStatus::Accepted);
                if action == UserAction::Submit && self.reported[job].is_empty()
                    || action == UserAction::Cancel && !is_final
                {
                    let controller = self.rng.random_range(0..CONTROLLER_COUNT);
                    self.schedule(now + 1_000, ModelEvent::UserRequest(job, controller, action));
                }
                return;
            }
            (code, text) => {
                self.violations.push(format!("{} got {code} `{text}`", self.ids[job]));
                return;
            }
        };
        let earlier = self.reported[job].iter().filter(|(_, at)| **at < sent_at);
        let latest = earlier.map(|(status, _)| *status).max();
        let is_older = latest.is_some_and(|latest| status < latest);
        let contradicts =
            latest.is_some_and(|latest| latest > ReportedStatus::Accepted && status != latest);
        if is_older || contradicts {
            let id = &self.ids[job];
            self.violations.push(format!("{id}: {status:?} for {action:?} after {latest:?}"));
        }
        let dependencies =
            std::iter::successors(self.submit_after[job], |before| self.submit_after[*before]);
        let has_cancelled_dependency =
            dependencies.into_iter().any(|before| self.cancelled_jobs.contains(&before));
        let is_cancelled_by_dependency =
            status == ReportedStatus::Cancelled && !self.cancelled_jobs.contains(&job);
        if is_cancelled_by_dependency {
            self.count_fault("cancelled by dependency");
        }
        if is_cancelled_by_dependency && !has_cancelled_dependency {
            self.violations.push(format!("{} was not cancelled", self.ids[job]));
        }
        self.count_fault("answered");
        if status > ReportedStatus::Unknown && !self.reported[job].contains_key(&status) {
            self.reported[job].insert(status, now);
            self.on_new_status(job, status);
        }
    }

    /// Called when a status of a job is reported for the first time. Schedules follow-up requests at all controllers,
    /// and the finish or the cancellation of an accepted job.
    fn on_new_status(&mut self, job: usize, status: ReportedStatus) {
        if self.is_scripted {
            return;
        }
        let next = self.submit_after.iter().position(|a| *a == Some(job));
        if let Some(next) =
            next.filter(|n| status == ReportedStatus::Accepted && self.reported[*n].is_empty())
        {
            let (at, controller) = (
                self.now + self.rng.random_range(1..900),
                self.rng.random_range(0..CONTROLLER_COUNT),
            );
            self.schedule(at, ModelEvent::UserRequest(next, controller, UserAction::Submit));
        }
        for n in 0..CONTROLLER_COUNT {
            for action in [UserAction::Poll, UserAction::Submit, UserAction::Poll] {
                for _ in 0..2 {
                    // Half of them within milliseconds, half while the job finishes and its record moves.
                    let max_delay_ms = if self.rng.random_bool(0.5) { 8 } else { 2_500 };
                    let at = self.now + self.rng.random_range(0..max_delay_ms);
                    self.schedule(at, ModelEvent::UserRequest(job, n, action));
                }
            }
        }
        if status > ReportedStatus::Accepted {
            let controller = self.rng.random_range(0..CONTROLLER_COUNT);
            let event = ModelEvent::UserRequest(job, controller, UserAction::Cancel);
            return self.schedule(self.now + 1, event);
        }
        let finish_at = self.now + self.rng.random_range(1..2_500);
        self.schedule(finish_at, ModelEvent::FinishJob(job));
        // Half of the jobs are cancelled, at once or just before they finish.
        let at = match self.rng.random_range(0..4) {
            0 => self.now,
            1 => finish_at - self.rng.random_range(0..20),
            _ => return,
        };
        self.schedule(at, ModelEvent::UserRequest(job, job % CONTROLLER_COUNT, UserAction::Cancel));
    }
}

fn one_task_job_body(id: &str) -> serde_json::Value {
    job_body(id, "array", "blue", 1, 1.0, 5.0)
}
