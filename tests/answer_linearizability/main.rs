//! Answers to users, in the smallest world that can give them in a wrong order: three controllers, the state service
//! and users, no machine. Every call to the state service is carried out when it likes and answered when it likes;
//! jobs end and move to their last place in between. No answer is older than one that any controller gave before the
//! question was asked.

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
/// Time that a user waits for an answer to a submission, a poll and a cancellation, ms (protocol).
const ANSWER_TIMEOUTS_MS: [u64; 3] = [5_000, 2_000, 5_000];

/// What a user was told of a job, least first: nothing of it is older than what comes before it.
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
    Call(usize, u64, StoreCall),
    DeliverToController(usize, Box<Event>),
    Heartbeat(usize, usize, Box<Heartbeat>),
    UserRequest(usize, usize, UserAction),
    /// The job's last task has ended, and the leader says so.
    JobEnds(usize),
    /// Its record moves to its last place.
    RecordMoves(usize),
    Restart(usize),
}

/// How calls fare.
#[derive(Debug, Clone, Copy)]
struct StoreFaults {
    /// Most time until a call is carried out, and until its answer is there, ms.
    max_delay_ms: u64,
    /// Chance that only the answer is lost.
    answer_loss: f64,
    /// Chance that there is no answer, and a transaction is carried out seconds later.
    late_application: f64,
    /// Chance that it is refused.
    refusal: f64,
}

struct AnswerModel {
    now: u64,
    rng: StdRng,
    controllers: Vec<Controller>,
    store: FakeStore,
    store_faults: StoreFaults,
    memory_mb: f64,
    /// The cloud tells the machine types from then on.
    machine_types_known_at: u64,
    /// Transactions of which the answer alone is lost, whatever the ways.
    loses_answer_of: fn(&Transaction) -> bool,
    /// The record of this job moves as if by an earlier try, just before the transaction that would move it.
    moves_before_transaction: Option<usize>,
    /// Nobody follows up what was told, and nothing ends by itself.
    is_scripted: bool,
    /// A request whose status is waited for: of which node, its number, and the status.
    watched: Option<(usize, u64, u16)>,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    queued_events: HashMap<u64, ModelEvent>,
    event_sequence: u64,
    watches: Vec<(usize, u64, String, u64, u64)>,
    /// Questions that wait: by node and number, the job, what, and when asked.
    pending_requests: BTreeMap<(usize, u64), (usize, UserAction, u64)>,
    ids: Vec<String>,
    /// The job that each awaits: it is submitted as soon as that one is accepted.
    submit_after: Vec<Option<usize>>,
    /// What was told of each job so far, and when first.
    told: Vec<BTreeMap<ReportedStatus, u64>>,
    cancelled_jobs: BTreeSet<usize>,
    violations: Vec<String>,
    fault_counts: BTreeMap<&'static str, u64>,
}

impl AnswerModel {
    fn new(seed: u64, ways: StoreFaults, memory_mb: f64) -> AnswerModel {
        let limits = controller_settings(0).settings.state.clone();
        let free =
            swiftsail_controller::settings::StoreSettings { rps: 1e6, write_rps: 1e6, ..limits };
        let mut small = AnswerModel {
            now: START_MS,
            rng: StdRng::seed_from_u64(seed),
            controllers: Vec::new(),
            store: FakeStore::new(free, START_MS),
            store_faults: ways,
            memory_mb,
            machine_types_known_at: 0,
            loses_answer_of: |_| false,
            moves_before_transaction: None,
            is_scripted: false,
            watched: None,
            event_queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            event_sequence: 0,
            watches: Vec::new(),
            pending_requests: BTreeMap::new(),
            ids: Vec::new(),
            submit_after: Vec::new(),
            told: Vec::new(),
            cancelled_jobs: BTreeSet::new(),
            violations: Vec::new(),
            fault_counts: BTreeMap::new(),
        };
        for n in 0..CONTROLLER_COUNT {
            let node = small.start_controller(n);
            small.controllers.push(node);
            small.schedule(START_MS, ModelEvent::Tick(n));
        }
        small
    }

    fn start_controller(&mut self, n: usize) -> Controller {
        let mut own = Settings::clone(&controller_settings(n));
        own.settings.machine_limits.mem_mb = self.memory_mb;
        let now = Now { monotonic: self.now, wall_clock: self.now };
        Controller::new(Arc::new(own), self.rng.random(), now)
    }

    fn schedule(&mut self, time: u64, ev: ModelEvent) {
        self.event_sequence += 1;
        self.queued_events.insert(self.event_sequence, ev);
        self.event_queue.push(Reverse((time.max(self.now), self.event_sequence)));
    }

    fn count_fault(&mut self, what: &'static str) {
        *self.fault_counts.entry(what).or_default() += 1;
    }

    fn fault_count(&self, what: &str) -> u64 {
        self.fault_counts.get(what).copied().unwrap_or(0)
    }

    fn add_job(&mut self, id: String, after: Option<usize>) {
        self.ids.push(id);
        self.submit_after.push(after);
        self.told.push(BTreeMap::new());
    }

    fn submit(&mut self, at_ms: u64, id: String) {
        self.add_job(id, None);
        let node = self.rng.random_range(0..CONTROLLER_COUNT);
        self.schedule(
            START_MS + at_ms,
            ModelEvent::UserRequest(self.ids.len() - 1, node, UserAction::Submit),
        );
    }

    fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((time, key))) = self.event_queue.peek().copied() {
            if time > START_MS + until_ms {
                break;
            }
            self.event_queue.pop();
            self.now = time;
            if let Some(ev) = self.queued_events.remove(&key) {
                self.handle_model_event(ev);
            }
        }
        self.now = START_MS + until_ms;
    }

    fn draw_delay(&mut self) -> u64 {
        // Mostly some ms, sometimes as long as it may be.
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
                self.schedule(at, ModelEvent::Call(n, id, call));
            }
            Action::CallCloud(call) => {
                let outcome = match &call {
                    cloud::CloudCall::ListTypes if self.now < self.machine_types_known_at => {
                        cloud::CloudOutcome::Failed
                    }
                    cloud::CloudCall::ListTypes => {
                        let hulls = machine_offers(6).into_iter().map(|o| o.machine_type).collect();
                        cloud::CloudOutcome::Types(MachineTypes { machine_types: hulls })
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
            Action::SendHeartbeat(beat) => {
                for other in (0..CONTROLLER_COUNT).filter(|o| *o != n) {
                    let at = self.now + self.draw_delay();
                    self.schedule(at, ModelEvent::Heartbeat(n, other, Box::new(beat.clone())));
                }
            }
            _ => {}
        }
    }

    fn handle_model_event(&mut self, ev: ModelEvent) {
        match ev {
            ModelEvent::Tick(n) => {
                self.deliver_event(n, Event::Tick);
                self.schedule(self.now + 100, ModelEvent::Tick(n));
                let ended = self.store.expire_leases(self.now, false);
                if ended || n == 0 {
                    self.answer_watches();
                }
            }
            ModelEvent::DeliverToController(n, event) => self.deliver_event(n, *event),
            ModelEvent::Heartbeat(from, to, beat) => {
                let brief = beat.is_abridged;
                self.deliver_event(to, Event::Heartbeat(*beat));
                let ours = self.controllers[to].build_heartbeat(brief);
                let at = self.now + self.draw_delay();
                self.schedule(
                    at,
                    ModelEvent::DeliverToController(from, Box::new(Event::Heartbeat(ours))),
                );
            }
            ModelEvent::Call(n, id, call) => self.handle_store_call(n, id, call),
            ModelEvent::UserRequest(job, n, what) => self.send_request(job, n, what),
            ModelEvent::JobEnds(job) => self.end_job(job),
            ModelEvent::RecordMoves(job) => self.move_record(job),
            ModelEvent::Restart(n) => {
                self.pending_requests.retain(|(node, _), _| *node != n);
                self.watches.retain(|f| f.0 != n);
                self.controllers[n] = self.start_controller(n);
            }
        }
    }

    // ---- the state service ----

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn handle_store_call(&mut self, n: usize, id: u64, call: StoreCall) {
        if let StoreCall::Watch { prefix, from } = call {
            self.watches.push((n, id, prefix, from, self.now + 10_000));
            return self.answer_watches();
        }
        // The lead itself is not what is looked at: its calls fare well.
        let term = match &call {
            StoreCall::GrantLease { .. } | StoreCall::RenewLease(_) => true,
            StoreCall::Commit(c) => c.preconditions.iter().any(|w| w.key == keys::LEADER),
            _ => false,
        };
        if let StoreCall::Commit(commit) = &call {
            if let Some(job) = self.moves_before_transaction
                && commit.mutations.contains(&Mutation::Delete { key: keys::job(&self.ids[job]) })
            {
                self.moves_before_transaction = None;
                self.count_fault("moved first");
                self.move_record(job);
            }
            if (self.loses_answer_of)(commit) {
                self.count_fault("lost by choice");
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
        let fate = if term { 1.0 } else { self.rng.random_range(0.0..1.0) };
        let StoreFaults { answer_loss: lost, late_application: late, refusal: refused, .. } =
            self.store_faults;
        let commit = matches!(call, StoreCall::Commit(_));
        let silent = (self.now + 1_500, StoreOutcome::Unknown);
        let (at, outcome) = if fate < lost {
            if commit {
                self.count_fault("answer lost");
            }
            self.execute_store_call(&call);
            silent
        } else if fate < lost + late {
            if commit && id != 0 {
                self.count_fault("carried out late");
                let at = self.now + self.rng.random_range(1_000..12_000);
                // To nobody.
                self.schedule(at, ModelEvent::Call(CONTROLLER_COUNT, 0, call));
            }
            silent
        } else if fate < lost + late + refused {
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
                TransactionResult::Committed(epoch) => StoreOutcome::Committed(epoch),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(why) => StoreOutcome::Malformed(why),
            },
            StoreCall::GrantLease { ttl_ms } => match self.store.create_lease(*ttl_ms, now) {
                Some(id) => StoreOutcome::LeaseGranted(id),
                None => StoreOutcome::Malformed("no such time to live".into()),
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
                    Ok(news) => StoreOutcome::Changes(
                        news.unwrap_or_else(|| self.store.empty_watch_response()),
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
                Ok(Some(news)) => StoreOutcome::Changes(news),
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

    // ---- the job's end, as a leader writes it ----

    /// Questions about a job that wait for their answer.
    fn is_open(&self, job: usize) -> bool {
        self.pending_requests.values().any(|(j, ..)| *j == job)
    }

    fn end_job(&mut self, job: usize) {
        let key = keys::job(&self.ids[job]);
        let Some(pair) = self.store.get(&key).cloned() else { return };
        let Some(StoredJob::Live(record)) = StoredJob::read(&pair.value) else { return };
        if record.cancelled {
            return;
        }
        if let Some(before) = self.submit_after[job] {
            let places = [keys::job(&self.ids[before]), keys::final_record(&self.ids[before])];
            let found = places.iter().find_map(|key| self.store.get(key));
            let last =
                found.and_then(|p| serde_json::from_value::<FinalRecord>(p.value.clone()).ok());
            match last.map(|l| l.state) {
                Some(FinalState::Done) => {}
                Some(FinalState::Cancelled) => return,
                // It waits.
                None => return self.schedule(self.now + 700, ModelEvent::JobEnds(job)),
            }
        }
        if self.is_open(job) {
            self.count_fault("ended while asked about");
        }
        let last = FinalRecord { state: FinalState::Done, done: 1, ended_wall: None };
        let value = serde_json::to_value(last).expect("our own record");
        let apply = vec![Mutation::Put { key: key.clone(), value, lease: None }];
        self.store.apply_transaction(&Transaction {
            preconditions: vec![Precondition { key, mod_revision: pair.mod_revision }],
            mutations: apply,
        });
        self.answer_watches();
        let at = self.now + self.rng.random_range(1..1_500);
        self.schedule(at, ModelEvent::RecordMoves(job));
    }

    fn move_record(&mut self, job: usize) {
        let (key, last) = (keys::job(&self.ids[job]), keys::final_record(&self.ids[job]));
        let Some(pair) = self.store.get(&key).cloned() else { return };
        if self.is_open(job) {
            self.count_fault("moved while asked about");
        }
        let apply = vec![
            Mutation::Delete { key: key.clone() },
            Mutation::Put { key: last, value: pair.value, lease: None },
        ];
        self.store.apply_transaction(&Transaction {
            preconditions: vec![Precondition { key, mod_revision: pair.mod_revision }],
            mutations: apply,
        });
        self.answer_watches();
    }

    // ---- users ----

    fn send_request(&mut self, job: usize, n: usize, what: UserAction) {
        let id = self.ids[job].clone();
        let ask = match what {
            UserAction::Submit => {
                let mut body = one_task_job_body(&id);
                if let Some(before) = self.submit_after[job] {
                    body["awaits"] = serde_json::json!([self.ids[before]]);
                }
                UserRequest::Submit(rmp_serde::to_vec_named(&body).expect("JSON packs"))
            }
            UserAction::Poll if self.rng.random_bool(0.2) => UserRequest::RetriedPoll(id),
            UserAction::Poll => UserRequest::Poll(id),
            UserAction::Cancel => UserRequest::Cancel(id),
        };
        if what == UserAction::Cancel {
            self.cancelled_jobs.insert(job);
        }
        self.event_sequence += 1;
        let request = self.event_sequence;
        self.pending_requests.insert((n, request), (job, what, self.now));
        self.deliver_event(n, Event::UserRequest(request, ask));
    }

    fn handle_reply(&mut self, n: usize, request: u64, reply: &Reply) {
        if let Some(watched) = self.watched.as_mut().filter(|w| (w.0, w.1) == (n, request)) {
            watched.2 = reply.status;
        }
        let Some((job, what, sent)) = self.pending_requests.remove(&(n, request)) else { return };
        let now = self.now;
        if now >= sent + ANSWER_TIMEOUTS_MS[what as usize] {
            self.count_fault("answered too late");
            return;
        }
        let body: serde_json::Value = rmp_serde::from_slice(&reply.body).unwrap_or_default();
        let told = match (reply.status, body["status"].as_str().unwrap_or("")) {
            (200 | 201, "pending" | "running") => ReportedStatus::Accepted,
            (200, "done") => ReportedStatus::Done,
            (200, "withdrawn") => ReportedStatus::Cancelled,
            // Accepted, and called off: what it awaits was cancelled before.
            (201, "withdrawn") if self.submit_after[job].is_some() => ReportedStatus::Cancelled,
            (404, _) => ReportedStatus::Unknown,
            (503, _) => {
                self.count_fault("turned away");
                let settled = self.told[job].keys().any(|t| *t > ReportedStatus::Accepted);
                if what == UserAction::Submit && self.told[job].is_empty()
                    || what == UserAction::Cancel && !settled
                {
                    let node = self.rng.random_range(0..CONTROLLER_COUNT);
                    self.schedule(now + 1_000, ModelEvent::UserRequest(job, node, what));
                }
                return;
            }
            (status, said) => {
                self.violations.push(format!("{} got {status} `{said}`", self.ids[job]));
                return;
            }
        };
        let before = self.told[job].iter().filter(|(_, at)| **at < sent).map(|(t, _)| *t).max();
        let older = before.is_some_and(|before| told < before);
        let other =
            before.is_some_and(|before| before > ReportedStatus::Accepted && told != before);
        if older || other {
            let id = &self.ids[job];
            self.violations.push(format!("{id}: {told:?} for {what:?} after {before:?}"));
        }
        let ahead =
            std::iter::successors(self.submit_after[job], |before| self.submit_after[*before]);
        let before = ahead.into_iter().any(|before| self.cancelled_jobs.contains(&before));
        if told == ReportedStatus::Cancelled && !self.cancelled_jobs.contains(&job) {
            self.count_fault("called off");
        }
        if told == ReportedStatus::Cancelled && !self.cancelled_jobs.contains(&job) && !before {
            self.violations.push(format!("{} was not cancelled", self.ids[job]));
        }
        self.count_fault("answered");
        if told > ReportedStatus::Unknown && !self.told[job].contains_key(&told) {
            self.told[job].insert(told, now);
            self.record_told(job, told);
        }
    }

    /// A user was told something new: it asks everywhere, at once.
    fn record_told(&mut self, job: usize, told: ReportedStatus) {
        if self.is_scripted {
            return;
        }
        let next = self.submit_after.iter().position(|a| *a == Some(job));
        if let Some(next) =
            next.filter(|n| told == ReportedStatus::Accepted && self.told[*n].is_empty())
        {
            let (at, node) = (
                self.now + self.rng.random_range(1..900),
                self.rng.random_range(0..CONTROLLER_COUNT),
            );
            self.schedule(at, ModelEvent::UserRequest(next, node, UserAction::Submit));
        }
        for n in 0..CONTROLLER_COUNT {
            for what in [UserAction::Poll, UserAction::Submit, UserAction::Poll] {
                for _ in 0..2 {
                    // Half within milliseconds, half while the job ends and moves.
                    let most = if self.rng.random_bool(0.5) { 8 } else { 2_500 };
                    let at = self.now + self.rng.random_range(0..most);
                    self.schedule(at, ModelEvent::UserRequest(job, n, what));
                }
            }
        }
        if told > ReportedStatus::Accepted {
            let node = self.rng.random_range(0..CONTROLLER_COUNT);
            return self
                .schedule(self.now + 1, ModelEvent::UserRequest(job, node, UserAction::Cancel));
        }
        let end = self.now + self.rng.random_range(1..2_500);
        self.schedule(end, ModelEvent::JobEnds(job));
        // A half is called off: at once, or as it ends.
        let at = match self.rng.random_range(0..4) {
            0 => self.now,
            1 => end - self.rng.random_range(0..20),
            _ => return,
        };
        self.schedule(at, ModelEvent::UserRequest(job, job % CONTROLLER_COUNT, UserAction::Cancel));
    }
}

fn one_task_job_body(id: &str) -> serde_json::Value {
    job_body(id, "array", "blue", 1, 1.0, 5.0)
}
