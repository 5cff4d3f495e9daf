//! Duplicate and delayed reports: they arrive at a new leader, after newer ones, from an earlier session or attempt, or
//! forwarded by another controller. A random walk over the cluster state of one leader after another, over workers that
//! follow the protocol, and over all messages ever sent checks that every task that is released has really ended.

mod common;

use common::seeds::seeds_from_environment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use swiftsail_controller::cluster_state::{ClusterState, ReportSource};
use swiftsail_controller::job::{
    AttemptPhase, BindingChunk, BindingEncoding, ChunkWrite, JobId, JobKind, JobRecord,
    LoggedBindings, MachineId, keys,
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

/// A worker that follows the protocol.
struct ProtocolWorker {
    name: String,
    session: u64,
    sequence: u64,
    fencing_token: u64,
    /// Index of the report that waits for its response.
    unanswered_report: Option<usize>,
    tasks: BTreeMap<(String, u64), (TaskPhase, Option<ExitCause>)>,
}

impl ProtocolWorker {
    fn build_report(&mut self) -> StatusReport {
        self.sequence += 1;
        let task_status =
            |((task, attempt), (phase, cause)): (&(String, u64), &(TaskPhase, _))| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                phase: *phase,
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
            tasks: self.tasks.iter().map(task_status).collect(),
        }
    }

    fn execute_commands(&mut self, commands: &[Command]) {
        for command in commands {
            let key = (command.task.clone(), command.attempt);
            match command.kind {
                CommandKind::Start if self.tasks.contains_key(&key) => {}
                CommandKind::Start => {
                    let is_conflicting = self.has_task(&command.task);
                    let cause = is_conflicting.then_some(ExitCause::ConflictingAttempt);
                    let phase =
                        if is_conflicting { TaskPhase::Exited } else { TaskPhase::Fetching };
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

    /// Whether any attempt of a task has not exited.
    fn has_task(&self, task: &str) -> bool {
        self.tasks.iter().any(|((t, _), (phase, _))| t == task && *phase != TaskPhase::Exited)
    }
}

/// How often each kind of interleaving occurred.
#[derive(Debug, Default, Clone, Copy)]
struct InterleavingCounts {
    /// The first report of a machine to a new leader is a duplicate that lacks an attempt bound there.
    absent_first: u32,
    /// The first report with this leader's token is a duplicate that lacks an attempt bound there.
    absent_with_token: u32,
    /// A duplicate was older than the newest message known to the leader.
    after_newer: u32,
    /// A duplicate was older, and from an earlier session.
    earlier_session: u32,
    /// A duplicate was the newest message known to the leader.
    as_newest: u32,
    /// A duplicate was forwarded by another controller as unchanged.
    forwarded_unchanged: u32,
    /// A response to a probe arrived after a newer message.
    late_probe_responses: u32,
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
    /// Every report ever sent, with the index of its worker.
    reports_sent: Vec<(usize, StatusReport)>,
    /// Responses in flight, with the index of the report.
    responses_in_flight: Vec<(usize, HeartbeatResponse)>,
    /// All commands ever sent directly to workers, with the index of the worker.
    commands_sent: Vec<(usize, DirectCommands)>,
    /// All responses ever sent to those.
    command_responses: Vec<StatusReport>,
    /// Responses in flight to probes of this leader.
    probe_responses: Vec<(MachineId, StatusReport)>,
    /// By machine, what another controller remembers of it: content hash, session, and token of the response.
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
    serde_json::to_value(record).expect("the record is encodable")
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
            responses_in_flight: Vec::new(),
            commands_sent: Vec::new(),
            command_responses: Vec::new(),
            probe_responses: Vec::new(),
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
        let mut state = ClusterState::new(self.fencing_token, self.fencing_token, self.now);
        let key = keys::job(JOB);
        let pair = KeyValue { key, value: job_record(), mod_revision: 1, lease: None };
        let page = KeyPage { entries: vec![pair], has_next: false, revision: 1 };
        state.load_jobs(&page, self.now, 2_000);
        let job = state.jobs.get_mut(JOB).expect("just loaded");
        job.restore_chunk(0, &self.chunk, 1, self.now);
        state.finish_loading(self.now, self.now);
        self.cluster_state = state;
        // Responses to probes of an earlier leader are not delivered: `Controller` discards them.
        self.probe_responses.clear();
    }

    /// Commits the bindings of the cluster state.
    fn commit_bindings(&mut self) {
        let last_attempt = self.cluster_state.last_attempt_number();
        let job = self.cluster_state.jobs.get_mut(JOB).expect("the job is never removed");
        self.chunk = job.chunk_record(
            0,
            ChunkWrite {
                write_number: 1,
                last_attempt,
                max_bytes: usize::MAX,
                logged: LoggedBindings::TakeOver,
                encoding: BindingEncoding::Single,
            },
            |_| false,
        );
        let now = self.now;
        job.attempts.for_each_mut(|_, attempt| {
            if attempt.phase() == AttemptPhase::Committing {
                attempt.advance(AttemptPhase::Bound, now);
            }
        });
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
        let attempt = self.cluster_state.next_attempt_number();
        self.cluster_state.bind(&id, machine, attempt, 8_192, self.now);
    }

    /// Counts which kinds of interleaving the arrival of a duplicate report is.
    fn classify_duplicate(&mut self, report: &StatusReport) {
        let Some(machine) = self.cluster_state.machines.get(report.machine.as_str()) else {
            return;
        };
        let order = MessageOrder::of(report);
        if order <= machine.last_message {
            self.interleavings.after_newer += 1;
            self.interleavings.earlier_session +=
                u32::from(report.session < machine.last_message.session);
            return;
        }
        self.interleavings.as_newest += 1;
        let lacks = machine.tasks.iter().any(|((job, task), attempt)| {
            let name = format!("{job}/{task}");
            !report.tasks.iter().any(|s| s.task == name && s.attempt == *attempt)
        });
        self.interleavings.absent_first +=
            u32::from(machine.last_message == MessageOrder::default() && lacks);
        let is_first_with_token = machine.highest_token < self.fencing_token
            && report.fencing_token == self.fencing_token;
        self.interleavings.absent_with_token += u32::from(is_first_with_token && lacks);
    }

    /// Delivers a report to the leader, directly or forwarded by another controller. Returns the response, if there is
    /// one.
    fn deliver_report(
        &mut self,
        report: &StatusReport,
        is_duplicate: bool,
    ) -> Option<HeartbeatResponse> {
        if report.fencing_token > self.fencing_token {
            // A leader that sees a newer token steps down.
            return None;
        }
        if is_duplicate {
            self.classify_duplicate(report);
        }
        let is_forwarded = self.rng.random_bool(0.3);
        if !is_forwarded {
            let response = self.cluster_state.on_status_report(
                report,
                ReportSource::StatusReport,
                self.now,
                &[],
            );
            if let Some(machine) = self.cluster_state.machine_if_report_accepted(report, self.now) {
                (machine.forwarded_by, machine.report_digest) = (None, None);
            }
            return Some(response);
        }
        let hash = content_hash(report);
        let is_unchanged = self.forwarder_cache.get(&report.machine)
            == Some(&(hash, report.session, report.fencing_token));
        let order = MessageOrder::of(report);
        if is_unchanged
            && self.cluster_state.on_unchanged_report(&report.machine, order, hash, self.now)
        {
            self.interleavings.forwarded_unchanged += u32::from(is_duplicate);
            return Some(HeartbeatResponse {
                fencing_token: self.fencing_token,
                commands: Vec::new(),
            });
        }
        let response =
            self.cluster_state.on_status_report(report, ReportSource::StatusReport, self.now, &[]);
        if let Some(machine) = self.cluster_state.machine_if_report_accepted(report, self.now) {
            (machine.report_digest, machine.forwarded_by) = (Some(hash), Some("n1".into()));
        }
        self.forwarder_cache
            .insert(report.machine.clone(), (hash, report.session, self.fencing_token));
        Some(response)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn random_step(&mut self) {
        self.now += self.rng.random_range(1..400);
        let n = self.rng.random_range(0..self.workers.len());
        match self.rng.random_range(0..100) {
            // A worker sends a report, which is delivered now or delayed.
            0..30 => {
                if self.workers[n].unanswered_report.is_none() {
                    let report = self.workers[n].build_report();
                    self.workers[n].unanswered_report = Some(self.reports_sent.len());
                    self.reports_sent.push((n, report.clone()));
                    if self.rng.random_bool(0.7)
                        && let Some(response) = self.deliver_report(&report, false)
                    {
                        self.responses_in_flight.push((self.reports_sent.len() - 1, response));
                    }
                }
            }
            // A delayed report, or a duplicate of any earlier one, is delivered: recent ones more often.
            30..45 => {
                let last = self.reports_sent.len();
                let from = if self.rng.random_bool(0.7) { last.saturating_sub(12) } else { 0 };
                if from < last {
                    let at = self.rng.random_range(from..last);
                    let (of, report) = self.reports_sent[at].clone();
                    let waits = self.workers[of].unanswered_report == Some(at);
                    if let Some(response) = self.deliver_report(&report, true).filter(|_| waits) {
                        self.responses_in_flight.push((at, response));
                    }
                }
            }
            // A response arrives, possibly too late.
            45..65 => {
                if !self.responses_in_flight.is_empty() {
                    let at = self.rng.random_range(0..self.responses_in_flight.len());
                    let (to, response) = self.responses_in_flight.swap_remove(at);
                    let (of, session) = (self.reports_sent[to].0, self.reports_sent[to].1.session);
                    let worker = &mut self.workers[of];
                    if worker.unanswered_report == Some(to) {
                        worker.unanswered_report = None;
                        if worker.session == session
                            && response.fencing_token >= worker.fencing_token
                        {
                            worker.fencing_token = response.fencing_token;
                            let starts =
                                response.commands.iter().filter(|o| o.kind == CommandKind::Start);
                            self.interleavings.started += starts.count() as u32;
                            worker.execute_commands(&response.commands);
                        }
                    }
                }
            }
            65..70 => self.workers[n].unanswered_report = None,
            // Tasks advance.
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
            // Commands are sent directly to workers, or any earlier one is delivered, possibly again.
            91..93 => {
                let sent = self.cluster_state.stop_commands(usize::MAX, self.now);
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
                    self.command_responses.push(report);
                }
                if let Some(report) = self.command_responses.choose(&mut self.rng).cloned()
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
                    self.probe_responses.push((id, report));
                }
                if !self.probe_responses.is_empty() && self.rng.random_bool(0.6) {
                    let at = self.rng.random_range(0..self.probe_responses.len());
                    let (id, report) = self.probe_responses.swap_remove(at);
                    let known = self
                        .cluster_state
                        .machines
                        .get(&id)
                        .map_or(MessageOrder::default(), |m| m.last_message);
                    let is_late = MessageOrder::of(&report) < known;
                    self.interleavings.late_probe_responses += u32::from(is_late);
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
                    self.cluster_state.request_stop(&JobId::from(JOB), *task);
                }
            }
            _ => self.take_leadership(),
        }
        let job = self.cluster_state.jobs.get_mut(JOB).expect("the job is never removed");
        // Ends backoffs, so that there is always a task to bind.
        let in_backoff: Vec<u32> = job.backing_off.keys().copied().collect();
        for task in in_backoff {
            job.backing_off.remove(&task);
            job.waiting.insert(task);
        }
    }

    /// The first violation of an invariant, if any.
    fn violation(&mut self) -> Option<String> {
        if let Some(machine) = self.cluster_state.machines.values().find(|m| m.is_restarted) {
            return Some(format!("{} is presumed to have restarted", machine.id));
        }
        for task in 0..TASKS {
            let name = format!("{JOB}/{task}");
            let running = self.workers.iter().filter(|w| w.has_task(&name)).count();
            if running > 1 {
                return Some(format!("ran_twice: {name}"));
            }
            if !self.cluster_state.jobs[JOB].waiting.contains(&task) {
                continue;
            }
            self.interleavings.released += 1;
            if running > 0 {
                return Some(format!("{name} waits although an attempt is on a machine"));
            }
            // No response in flight may start it either.
            let starts = self.responses_in_flight.iter().any(|(to, response)| {
                let worker = &self.workers[self.reports_sent[*to].0];
                worker.unanswered_report == Some(*to)
                    && worker.session == self.reports_sent[*to].1.session
                    && response.fencing_token >= worker.fencing_token
                    && response
                        .commands
                        .iter()
                        .any(|o| o.kind == CommandKind::Start && o.task == name)
            });
            if starts {
                return Some(format!("{name} waits although its start is in flight"));
            }
        }
        None
    }
}

/// Whichever reports are duplicated or delayed, in any order and to any leader: a released task is on no machine, and
/// can no longer start there.
#[test]
fn old_reports_never_release_running_tasks() {
    let mut total = InterleavingCounts::default();
    for seed in seeds_from_environment("WALKS").unwrap_or(0..300) {
        let mut walk = ReportWalk::new(seed);
        for step in 0..1_500 {
            walk.random_step();
            if let Some(violation) = walk.violation() {
                panic!("seed {seed}, step {step}: {violation}");
            }
        }
        total.absent_first += walk.interleavings.absent_first;
        total.absent_with_token += walk.interleavings.absent_with_token;
        total.after_newer += walk.interleavings.after_newer;
        total.earlier_session += walk.interleavings.earlier_session;
        total.as_newest += walk.interleavings.as_newest;
        total.forwarded_unchanged += walk.interleavings.forwarded_unchanged;
        total.late_probe_responses += walk.interleavings.late_probe_responses;
        total.leaders += walk.interleavings.leaders;
        total.started += walk.interleavings.started;
        total.released += walk.interleavings.released;
    }
    println!("{total:?}");
    assert!(total.absent_first > 500 && total.absent_with_token > 50, "{total:?}");
    assert!(total.after_newer > 1_000 && total.earlier_session > 200, "{total:?}");
    assert!(total.as_newest > 1_000 && total.forwarded_unchanged > 50, "{total:?}");
    assert!(total.late_probe_responses > 50, "{total:?}");
    assert!(total.leaders > 1_000 && total.started > 1_000 && total.released > 10_000, "{total:?}");
}
