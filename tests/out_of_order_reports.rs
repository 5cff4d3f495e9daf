//! Old reports: copies that come as a new leader begins, after newer ones, from an earlier session or attempt, by way
//! of a controller that passes them on. A walk at random over the tables of one leader after another, over workers
//! that keep to the protocol, and over everything that was ever sent: what a table lets go is gone.

mod common;

use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::job::{
    AttemptPhase, BindingChunk, ChunkWrite, JobId, JobKind, JobRecord, LoggedBindings, MachineId,
    keys,
};
use swiftsail_controller::machine::{MachineState, MessageOrder};
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol::state::{KeyPage, KeyValue};
use swiftsail_protocol::workers::{
    Command, CommandKind, DirectCommands, ExitCause, HeartbeatResponse, StatusReport, TaskPhase,
    TaskStatus,
};
use swiftsail_simulation::simulation::job_spec;

const JOB: &str = "wk-1";
const TASKS: u32 = 4;

/// A worker that keeps to the protocol.
struct ProtocolWorker {
    name: String,
    session: u64,
    sequence: u64,
    fencing_token: u64,
    /// Number of the report that waits for its answer.
    unanswered_report: Option<usize>,
    tasks: BTreeMap<(String, u64), (TaskPhase, Option<ExitCause>)>,
}

impl ProtocolWorker {
    fn build_report(&mut self) -> StatusReport {
        self.sequence += 1;
        let shard =
            |((shard, launch), (status, cause)): (&(String, u64), &(TaskPhase, _))| TaskStatus {
                task: shard.clone(),
                attempt: *launch,
                phase: *status,
                exit_cause: *cause,
                progress_saved: None,
            };
        StatusReport {
            machine: self.name.clone(),
            address: format!("{}:9000", self.name),
            machine_type: "s4".into(),
            zone: "a".into(),
            session: self.session,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot: false,
            reclaim_in_s: None,
            tasks: self.tasks.iter().map(shard).collect(),
        }
    }

    fn execute_commands(&mut self, orders: &[Command]) {
        for order in orders {
            let key = (order.task.clone(), order.attempt);
            match order.kind {
                CommandKind::Start if self.tasks.contains_key(&key) => {}
                CommandKind::Start => {
                    let twice = self.has_task(&order.task);
                    let cause = twice.then_some(ExitCause::ConflictingAttempt);
                    let phase = if twice { TaskPhase::Exited } else { TaskPhase::Fetching };
                    self.tasks.insert(key, (phase, cause));
                }
                CommandKind::Stop => {
                    if let Some(task) =
                        self.tasks.get_mut(&key).filter(|t| t.0 != TaskPhase::Exited)
                    {
                        *task = (TaskPhase::Exited, Some(ExitCause::Stopped));
                    }
                }
                CommandKind::Forget => {
                    if self.tasks.get(&key).is_some_and(|t| t.0 == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Whether a task is there in any attempt.
    fn has_task(&self, shard: &str) -> bool {
        self.tasks.iter().any(|((s, _), (phase, _))| s == shard && *phase != TaskPhase::Exited)
    }
}

/// How often each meeting came about.
#[derive(Debug, Default, Clone, Copy)]
struct InterleavingCounts {
    /// A new leader's first report of a machine is a copy that lacks what it holds there.
    absent_first: u32,
    /// A copy is the first that shows this leader's token, and lacks what the leader holds there.
    absent_with_token: u32,
    /// A copy was older than what the leader knew.
    after_newer: u32,
    /// ... and of an earlier session.
    earlier_session: u32,
    /// A copy was the newest that the leader knew.
    as_newest: u32,
    /// A copy came by way of another controller as "the same".
    forwarded_unchanged: u32,
    /// An answer to a direct question came after something newer.
    overtaken_answers: u32,
    leaders: u32,
    started: u32,
    released: u32,
}

struct ReportWalk {
    rng: StdRng,
    now: u64,
    fencing_token: u64,
    cluster_state: ClusterState,
    workers: Vec<ProtocolWorker>,
    /// What the state service holds.
    chunk: BindingChunk,
    /// Every report ever sent, of which worker; whether its worker still waits for an answer is the worker's to say.
    reports_sent: Vec<(usize, StatusReport)>,
    /// Answers on their way: to which report.
    answers_in_flight: Vec<(usize, HeartbeatResponse)>,
    /// Commands sent straight to workers, ever.
    commands_sent: Vec<(usize, DirectCommands)>,
    /// Answers to them, ever.
    command_answers: Vec<StatusReport>,
    /// Answers to direct questions of this leader on their way.
    probe_answers: Vec<(MachineId, StatusReport)>,
    /// What another controller remembers of each machine: shown, session, token of who answered.
    forwarder_cache: BTreeMap<String, (u64, u64, u64)>,
    interleavings: InterleavingCounts,
}

fn job_record() -> serde_json::Value {
    let record = JobRecord {
        depends_on: Vec::new(),
        cancelled: false,
        cancelled_wall: 0,
        accepted_wall: 1_000,
        chunk_tasks: TASKS,
        write_number: 0,
        tier: None,
        spec: job_spec(JobKind::Array, TASKS, 1.0, "i"),
    };
    serde_json::to_value(record).expect("our own record")
}

fn content_hash(report: &StatusReport) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    report.tasks.hash(&mut hasher);
    hasher.finish() >> 1
}

impl ReportWalk {
    fn new(seed: u64) -> ReportWalk {
        let worker = |n: usize| ProtocolWorker {
            name: format!("m-{n}"),
            session: 1,
            sequence: 0,
            fencing_token: 0,
            unanswered_report: None,
            tasks: BTreeMap::new(),
        };
        let mut walk = ReportWalk {
            rng: StdRng::seed_from_u64(seed),
            now: 10_000,
            fencing_token: 0,
            cluster_state: ClusterState::new(1, 1, 0),
            workers: (0..3).map(worker).collect(),
            chunk: BindingChunk::default(),
            reports_sent: Vec::new(),
            answers_in_flight: Vec::new(),
            commands_sent: Vec::new(),
            command_answers: Vec::new(),
            probe_answers: Vec::new(),
            forwarder_cache: BTreeMap::new(),
            interleavings: InterleavingCounts::default(),
        };
        walk.take_leadership();
        walk
    }

    /// A new leader reads what the state service holds.
    fn take_leadership(&mut self) {
        self.fencing_token += self.rng.random_range(1..4);
        self.interleavings.leaders += 1;
        let mut tables = ClusterState::new(self.fencing_token, self.fencing_token, self.now);
        let key = keys::job(JOB);
        let pair = KeyValue { key, value: job_record(), mod_revision: 1, lease: None };
        let page = KeyPage { entries: vec![pair], has_next: false, revision: 1 };
        tables.load_jobs(&page, self.now, 2_000);
        let job = tables.jobs.get_mut(JOB).expect("just loaded");
        job.restore_chunk(0, &self.chunk, 1, self.now);
        tables.finish_loading(self.now, self.now);
        self.cluster_state = tables;
        // What an earlier leader has asked is its own: `Node` keeps the answers apart.
        self.probe_answers.clear();
    }

    /// What the tables hold is committed.
    fn commit_bindings(&mut self) {
        let last = self.cluster_state.last_attempt_number();
        let job = self.cluster_state.jobs.get_mut(JOB).expect("the job stays");
        self.chunk = job.chunk_record(
            0,
            ChunkWrite {
                write_number: 1,
                last_attempt: last,
                max_bytes: usize::MAX,
                logged: LoggedBindings::TakeOver,
            },
            |_| false,
        );
        for attempt in job.attempts.values_mut() {
            if attempt.phase() == AttemptPhase::Committing {
                attempt.advance(AttemptPhase::Bound, self.now);
            }
        }
    }

    fn bind_tasks(&mut self) {
        let id = JobId::from(JOB);
        let ready = self.cluster_state.machines.values();
        let ready = ready.filter(|m| m.state() == MachineState::Ready && m.may_receive_work());
        let ready: Vec<MachineId> = ready.map(|m| m.id.clone()).collect();
        let Some(machine) = ready.choose(&mut self.rng) else { return };
        if self.cluster_state.jobs[JOB].waiting.is_empty() {
            return;
        }
        let launch = self.cluster_state.next_attempt_number();
        self.cluster_state.bind(&id, machine, launch, 8_192, self.now);
    }

    /// Whether the leader would learn of this machine by this report for the first time, and misses there what it
    /// holds bound.
    fn classify_duplicate(&mut self, report: &StatusReport) {
        let Some(machine) = self.cluster_state.machines.get(report.machine.as_str()) else {
            return;
        };
        let at = MessageOrder::of(report);
        if at <= machine.last_message {
            self.interleavings.after_newer += 1;
            self.interleavings.earlier_session +=
                u32::from(report.session < machine.last_message.session);
            return;
        }
        self.interleavings.as_newest += 1;
        let lacks = machine.tasks.iter().any(|((job, task), launch)| {
            let name = format!("{job}/{task}");
            !report.tasks.iter().any(|s| s.task == name && s.attempt == *launch)
        });
        self.interleavings.absent_first +=
            u32::from(machine.last_message == MessageOrder::default() && lacks);
        let first = machine.highest_token < self.fencing_token
            && report.fencing_token == self.fencing_token;
        self.interleavings.absent_with_token += u32::from(first && lacks);
    }

    /// A report arrives at the leader, straight or by way of another controller. The orders, if it is answered.
    fn deliver_report(&mut self, report: &StatusReport, copy: bool) -> Option<HeartbeatResponse> {
        if report.fencing_token > self.fencing_token {
            // A leader that sees a newer token steps down.
            return None;
        }
        if copy {
            self.classify_duplicate(report);
        }
        let passed = self.rng.random_bool(0.3);
        if !passed {
            let orders = self.cluster_state.on_status_report(
                report,
                ReportSource::StatusReport,
                self.now,
                &[],
            );
            if let Some(machine) = self.cluster_state.machine_if_report_accepted(report, self.now) {
                (machine.forwarded_by, machine.report_digest) = (None, None);
            }
            return Some(orders);
        }
        let number = content_hash(report);
        let known = self.forwarder_cache.get(&report.machine)
            == Some(&(number, report.session, report.fencing_token));
        let at = MessageOrder::of(report);
        if known && self.cluster_state.on_unchanged_report(&report.machine, at, number, self.now) {
            self.interleavings.forwarded_unchanged += u32::from(copy);
            return Some(HeartbeatResponse {
                fencing_token: self.fencing_token,
                commands: Vec::new(),
            });
        }
        let orders =
            self.cluster_state.on_status_report(report, ReportSource::StatusReport, self.now, &[]);
        if let Some(machine) = self.cluster_state.machine_if_report_accepted(report, self.now) {
            (machine.report_digest, machine.forwarded_by) = (Some(number), Some("n1".into()));
        }
        self.forwarder_cache
            .insert(report.machine.clone(), (number, report.session, self.fencing_token));
        Some(orders)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn random_step(&mut self) {
        self.now += self.rng.random_range(1..400);
        let n = self.rng.random_range(0..self.workers.len());
        match self.rng.random_range(0..100) {
            // A worker reports, and its report arrives or is only on its way.
            0..30 => {
                if self.workers[n].unanswered_report.is_none() {
                    let report = self.workers[n].build_report();
                    self.workers[n].unanswered_report = Some(self.reports_sent.len());
                    self.reports_sent.push((n, report.clone()));
                    if self.rng.random_bool(0.7)
                        && let Some(orders) = self.deliver_report(&report, false)
                    {
                        self.answers_in_flight.push((self.reports_sent.len() - 1, orders));
                    }
                }
            }
            // One that was held back arrives, or any that was ever sent arrives again: the later ones more often.
            30..45 => {
                let last = self.reports_sent.len();
                let from = if self.rng.random_bool(0.7) { last.saturating_sub(12) } else { 0 };
                if from < last {
                    let at = self.rng.random_range(from..last);
                    let (of, report) = self.reports_sent[at].clone();
                    let waits = self.workers[of].unanswered_report == Some(at);
                    if let Some(orders) = self.deliver_report(&report, true).filter(|_| waits) {
                        self.answers_in_flight.push((at, orders));
                    }
                }
            }
            // An answer comes, or comes too late.
            45..65 => {
                if !self.answers_in_flight.is_empty() {
                    let at = self.rng.random_range(0..self.answers_in_flight.len());
                    let (to, orders) = self.answers_in_flight.swap_remove(at);
                    let (of, report) = (self.reports_sent[to].0, self.reports_sent[to].1.session);
                    let worker = &mut self.workers[of];
                    if worker.unanswered_report == Some(to) {
                        worker.unanswered_report = None;
                        if worker.session == report && orders.fencing_token >= worker.fencing_token
                        {
                            worker.fencing_token = orders.fencing_token;
                            let starts =
                                orders.commands.iter().filter(|o| o.kind == CommandKind::Start);
                            self.interleavings.started += starts.count() as u32;
                            worker.execute_commands(&orders.commands);
                        }
                    }
                }
            }
            65..70 => self.workers[n].unanswered_report = None,
            // Tasks go on.
            70..78 => {
                let end = [ExitCause::Failed, ExitCause::Stopped];
                let end = end.choose(&mut self.rng).copied();
                for task in self.workers[n].tasks.values_mut() {
                    *task = match task.0 {
                        TaskPhase::Fetching => (TaskPhase::Running, None),
                        TaskPhase::Running if self.rng.random_bool(0.3) => (TaskPhase::Exited, end),
                        _ => *task,
                    };
                }
            }
            78..80 => {
                let worker = &mut self.workers[n];
                (worker.session, worker.unanswered_report) = (worker.session + 1, None);
                worker.tasks.clear();
            }
            80..86 => self.bind_tasks(),
            86..91 => self.commit_bindings(),
            // Commands straight to workers: told now, or any that was ever sent, again.
            91..93 => {
                let sent = self.cluster_state.stop_commands(self.now);
                let of = |addr: &str| self.workers.iter().position(|w| addr.starts_with(&w.name));
                let sent: Vec<_> =
                    sent.into_iter().filter_map(|(to, d)| Some((of(&to)?, d))).collect();
                self.commands_sent.extend(sent);
            }
            93..96 => {
                if let Some((to, direct)) = self.commands_sent.choose(&mut self.rng).cloned() {
                    let worker = &mut self.workers[to];
                    if direct.fencing_token >= worker.fencing_token
                        && direct.session == worker.session
                    {
                        worker.fencing_token = direct.fencing_token;
                        worker.execute_commands(&direct.commands);
                    }
                    let report = worker.build_report();
                    self.command_answers.push(report);
                }
                if let Some(report) = self.command_answers.choose(&mut self.rng).cloned()
                    && report.fencing_token <= self.fencing_token
                {
                    self.cluster_state.on_status_report(
                        &report,
                        ReportSource::CommandResponse,
                        self.now,
                        &[],
                    );
                }
            }
            96 => {
                let id = MachineId::from(self.workers[n].name.as_str());
                if self.cluster_state.machines.contains_key(&id) {
                    self.cluster_state.begin_probe(&id);
                    let report = self.workers[n].build_report();
                    self.probe_answers.push((id, report));
                }
                if !self.probe_answers.is_empty() && self.rng.random_bool(0.6) {
                    let at = self.rng.random_range(0..self.probe_answers.len());
                    let (id, report) = self.probe_answers.swap_remove(at);
                    let known = self
                        .cluster_state
                        .machines
                        .get(&id)
                        .map_or(MessageOrder::default(), |m| m.last_message);
                    let overtaken = MessageOrder::of(&report) < known;
                    self.interleavings.overtaken_answers += u32::from(overtaken);
                    self.cluster_state.on_probed(
                        &id,
                        ProbeOutcome::Answered,
                        Some(&report),
                        self.now,
                    );
                    if report.fencing_token <= self.fencing_token {
                        self.cluster_state.on_status_report(
                            &report,
                            ReportSource::CommandResponse,
                            self.now,
                            &[],
                        );
                    }
                }
            }
            97 => {
                let tasks: Vec<u32> =
                    self.cluster_state.jobs[JOB].attempts.keys().copied().collect();
                if let Some(task) = tasks.choose(&mut self.rng) {
                    self.cluster_state.request_stop(&JobId::from(JOB), *task, self.now);
                }
            }
            _ => self.take_leadership(),
        }
        let job = self.cluster_state.jobs.get_mut(JOB).expect("the job stays");
        // So that there is always something to bind.
        let exited: Vec<u32> = job.backing_off.keys().copied().collect();
        for task in exited {
            job.backing_off.remove(&task);
            job.waiting.insert(task);
        }
    }

    /// What is wrong, if anything is.
    fn violation(&mut self) -> Option<String> {
        if let Some(machine) = self.cluster_state.machines.values().find(|m| m.is_restarted) {
            return Some(format!("{} is taken for one that has begun anew", machine.id));
        }
        for task in 0..TASKS {
            let name = format!("{JOB}/{task}");
            let on = self.workers.iter().filter(|w| w.has_task(&name)).count();
            if on > 1 {
                return Some(format!("ran_twice: {name}"));
            }
            if !self.cluster_state.jobs[JOB].waiting.contains(&task) {
                continue;
            }
            self.interleavings.released += 1;
            if on > 0 {
                return Some(format!("{name} waits, and is on a machine"));
            }
            // Nor may an answer on its way start it yet.
            let starts = self.answers_in_flight.iter().any(|(to, orders)| {
                let worker = &self.workers[self.reports_sent[*to].0];
                worker.unanswered_report == Some(*to)
                    && worker.session == self.reports_sent[*to].1.session
                    && orders.fencing_token >= worker.fencing_token
                    && orders
                        .commands
                        .iter()
                        .any(|o| o.kind == CommandKind::Start && o.task == name)
            });
            if starts {
                return Some(format!("{name} waits, and its start is on its way"));
            }
        }
        None
    }
}

/// Whatever comes again, in whatever order, to whichever leader: a task that the tables let go is on no machine and
/// can no longer start there.
#[test]
fn no_old_report_proves_what_is_not_so() {
    let mut met = InterleavingCounts::default();
    for seed in seeds_from_environment("WALKS").unwrap_or(0..300) {
        let mut walk = ReportWalk::new(seed);
        for step in 0..1_500 {
            walk.random_step();
            if let Some(what) = walk.violation() {
                panic!("seed {seed}, step {step}: {what}");
            }
        }
        met.absent_first += walk.interleavings.absent_first;
        met.absent_with_token += walk.interleavings.absent_with_token;
        met.after_newer += walk.interleavings.after_newer;
        met.earlier_session += walk.interleavings.earlier_session;
        met.as_newest += walk.interleavings.as_newest;
        met.forwarded_unchanged += walk.interleavings.forwarded_unchanged;
        met.overtaken_answers += walk.interleavings.overtaken_answers;
        met.leaders += walk.interleavings.leaders;
        met.started += walk.interleavings.started;
        met.released += walk.interleavings.released;
    }
    println!("{met:?}");
    assert!(met.absent_first > 500 && met.absent_with_token > 50, "{met:?}");
    assert!(met.after_newer > 1_000 && met.earlier_session > 200, "{met:?}");
    assert!(met.as_newest > 1_000 && met.forwarded_unchanged > 50, "{met:?}");
    assert!(met.overtaken_answers > 50, "{met:?}");
    assert!(met.leaders > 1_000 && met.started > 1_000 && met.released > 10_000, "{met:?}");
}
