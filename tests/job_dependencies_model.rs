//! Model check of a pipeline of two jobs: all interleavings of acceptance, cancellation, job ends, archiving of
//! records, delayed bindings, changes of leader, and the reads of a user's status request. Without any one of the
//! guards, the checker finds a violation.

use swiftsail_dag::{
    DependencyGraph, DependencyState, DependencyTraversal, DependencyVerdict, JobId, JobOutcome,
    VisitedJob,
};
use swiftsail_simulation::model_checker::{CheckResult, Model, check_model};

/// Guard that is removed to verify that the model checker finds a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RemovedGuard {
    None,
    /// A leader binds jobs without waiting for their dependencies.
    DependencyWait,
    /// A leader assumes that a job that it does not know is done.
    OutcomeLookup,
    /// A status request reads the archive before the live record.
    LookupOrder,
    /// A status request relies on earlier reads and does not read the dependency.
    LookupFreshness,
}

/// State of a job's record in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StoredJobRecord {
    Absent,
    Live,
    Cancelled,
    /// The live record contains the end: done, or cancelled.
    Ended(bool),
    /// The record has been moved to the archive.
    Archived(bool),
}

/// State of a leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct ModelLeader {
    /// Jobs known to be live, and whether each is cancelled.
    jobs: [Option<bool>; 2],
    graph: DependencyGraph,
    /// Set while the outcome of the first job is being looked up: its live record was not found.
    outcome_lookup: Option<bool>,
}

/// A user's request for the status of the second job, in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRequest {
    lookup: DependencyTraversal,
    /// Whether the cancellation had been confirmed to the user before the request.
    cancellation_confirmed: bool,
    /// Whether the second of the two locations is read next, as the record was not in the first.
    reads_second_location: bool,
}

#[derive(Debug, Clone, Hash)]
struct DependencyModel {
    removed_guard: RemovedGuard,
    store: [StoredJobRecord; 2],
    fencing_token: u8,
    leader: Option<ModelLeader>,
    /// Fencing tokens of the bindings in flight.
    bindings_in_flight: [Option<u8>; 2],
    bound: [bool; 2],
    started: [bool; 2],
    finished: [bool; 2],
    cancellation_confirmed: bool,
    request: Option<PendingRequest>,
    /// Whether an answer has reported the second job as cancelled.
    reported_cancelled: bool,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DependencyStep {
    Accept(usize),
    Cancel(usize),
    TakeLeadership,
    ObserveRecord(usize),
    StartOutcomeLookup,
    Bind(usize),
    Commit(usize),
    Start(usize),
    Finish(usize),
    RecordEnd(usize),
    ArchiveRecord(usize),
    StartRequest,
    ReadRecord,
}

fn job_id(n: usize) -> JobId {
    ["wk-0", "wk-1"][n].into()
}

fn job_outcome(done: bool) -> JobOutcome {
    if done { JobOutcome::Done(1) } else { JobOutcome::Cancelled }
}

impl DependencyModel {
    fn new(removed_guard: RemovedGuard) -> DependencyModel {
        DependencyModel {
            removed_guard,
            store: [StoredJobRecord::Absent; 2],
            fencing_token: 0,
            leader: None,
            bindings_in_flight: [None; 2],
            bound: [false; 2],
            started: [false; 2],
            finished: [false; 2],
            cancellation_confirmed: false,
            request: None,
            reported_cancelled: false,
            violation: None,
        }
    }

    /// A leader reads a job's live record.
    fn observe_record(&self, leader: &mut ModelLeader, n: usize) {
        let ended = match self.store[n] {
            StoredJobRecord::Live => None,
            StoredJobRecord::Cancelled => Some(false),
            StoredJobRecord::Ended(done) => Some(done),
            StoredJobRecord::Absent | StoredJobRecord::Archived(_) => return,
        };
        if matches!(self.store[n], StoredJobRecord::Ended(_)) {
            leader.jobs[n] = None;
        } else {
            leader.jobs[n] = Some(ended.is_some());
            if n == 1 {
                leader.graph.add_job(&job_id(1), &[job_id(0)]);
                if leader.jobs[0] == Some(true) {
                    leader.graph.on_job_ended(&job_id(0), JobOutcome::Cancelled);
                }
            }
        }
        if let Some(done) = ended {
            leader.graph.on_job_ended(&job_id(n), job_outcome(done));
        }
    }

    fn dependency_state(&self, leader: &ModelLeader, n: usize) -> DependencyState {
        match leader.graph.state_of(&job_id(n)) {
            Some(DependencyState::Waiting)
                if self.removed_guard == RemovedGuard::DependencyWait =>
            {
                DependencyState::Ready(0)
            }
            Some(DependencyState::Waiting)
                if self.removed_guard == RemovedGuard::OutcomeLookup
                    && leader.jobs[0].is_none() =>
            {
                DependencyState::Ready(0)
            }
            Some(state) => state,
            None => DependencyState::Ready(0),
        }
    }

    /// Outcome that the leader may record for a job: done or cancelled; `None` if the job has not ended.
    fn final_result(&self, n: usize) -> Option<bool> {
        let leader = self.leader.as_ref()?;
        let cancelled = leader.jobs[n]?
            || self.dependency_state(leader, n) == DependencyState::CancelledByDependency;
        let idle = !self.bound[n]
            && self.bindings_in_flight[n].is_none_or(|t| t != self.fencing_token)
            || self.finished[n];
        match (cancelled, self.store[n]) {
            // The write is conditional on the record that the leader has read.
            (true, StoredJobRecord::Live | StoredJobRecord::Cancelled) if idle => Some(false),
            (false, StoredJobRecord::Live) if self.finished[n] => Some(true),
            _ => None,
        }
    }

    /// Answers the status request once the traversal has a verdict, and checks the answer.
    fn answer_request(&mut self, traversal: &DependencyTraversal, cancellation_confirmed: bool) {
        let Some(verdict) = traversal.verdict() else { return };
        self.request = None;
        let is_cancelled = verdict == DependencyVerdict::CancelledByDependency;
        if !is_cancelled && cancellation_confirmed {
            self.violation =
                Some("orphaned: reported as open after the cancellation was confirmed");
        }
        if !is_cancelled && self.reported_cancelled {
            self.violation = Some("reverted: reported as open after it was reported as cancelled");
        }
        if is_cancelled
            && self.store[0] != StoredJobRecord::Cancelled
            && !matches!(
                self.store[0],
                StoredJobRecord::Ended(false) | StoredJobRecord::Archived(false)
            )
        {
            self.violation = Some("reverted: reported as cancelled although nothing was cancelled");
        }
        self.reported_cancelled |= is_cancelled;
    }
}

impl Model for DependencyModel {
    type Step = DependencyStep;

    fn enabled_steps(&self) -> Vec<DependencyStep> {
        let accepted = |n: usize| self.store[n] != StoredJobRecord::Absent;
        let leader = self.leader.as_ref();
        let mut steps = Vec::new();
        let mut enable_if = |step: DependencyStep, allowed: bool| {
            if allowed {
                steps.push(step);
            }
        };
        enable_if(DependencyStep::TakeLeadership, self.fencing_token < 3);
        enable_if(
            DependencyStep::StartOutcomeLookup,
            leader.is_some_and(|l| l.jobs[1] == Some(false) && l.jobs[0].is_none()),
        );
        enable_if(
            DependencyStep::StartRequest,
            self.request.is_none() && self.store[1] == StoredJobRecord::Live,
        );
        enable_if(DependencyStep::ReadRecord, self.request.is_some());
        for n in 0..2 {
            let is_ready = |l: &ModelLeader| {
                l.jobs[n] == Some(false)
                    && matches!(self.dependency_state(l, n), DependencyState::Ready(_))
            };
            let can_accept = !accepted(n) && (n == 0 || accepted(0));
            enable_if(DependencyStep::Accept(n), can_accept);
            enable_if(DependencyStep::Cancel(n), self.store[n] == StoredJobRecord::Live);
            enable_if(DependencyStep::ObserveRecord(n), leader.is_some());
            let is_unbound = !self.bound[n] && self.bindings_in_flight[n].is_none();
            enable_if(DependencyStep::Bind(n), is_unbound && leader.is_some_and(is_ready));
            enable_if(DependencyStep::Commit(n), self.bindings_in_flight[n].is_some());
            enable_if(DependencyStep::Start(n), self.bound[n] && !self.started[n]);
            enable_if(DependencyStep::Finish(n), self.started[n] && !self.finished[n]);
            enable_if(DependencyStep::RecordEnd(n), self.final_result(n).is_some());
            enable_if(
                DependencyStep::ArchiveRecord(n),
                leader.is_some() && matches!(self.store[n], StoredJobRecord::Ended(_)),
            );
        }
        steps
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn apply(&mut self, step: &DependencyStep) {
        match *step {
            DependencyStep::Accept(n) => self.store[n] = StoredJobRecord::Live,
            DependencyStep::Cancel(n) => {
                self.store[n] = StoredJobRecord::Cancelled;
                self.cancellation_confirmed |= n == 0;
            }
            DependencyStep::TakeLeadership => {
                self.fencing_token += 1;
                let mut leader = ModelLeader::default();
                (0..2).for_each(|n| self.observe_record(&mut leader, n));
                self.leader = Some(leader);
            }
            DependencyStep::ObserveRecord(n) => {
                let mut leader = self.leader.take().unwrap_or_default();
                self.observe_record(&mut leader, n);
                self.leader = Some(leader);
            }
            DependencyStep::StartOutcomeLookup => {
                let Some(leader) = &mut self.leader else { return };
                let outcome = match (leader.outcome_lookup, self.store[0]) {
                    (_, StoredJobRecord::Ended(done)) if leader.outcome_lookup.is_none() => {
                        Some(done)
                    }
                    (Some(_), StoredJobRecord::Archived(done)) => Some(done),
                    _ => None,
                };
                leader.outcome_lookup = if outcome.is_none() { Some(true) } else { None };
                if let Some(done) = outcome {
                    leader.graph.on_job_ended(&job_id(0), job_outcome(done));
                }
            }
            DependencyStep::Bind(n) => self.bindings_in_flight[n] = Some(self.fencing_token),
            DependencyStep::Commit(n) => {
                let token = self.bindings_in_flight[n].take();
                let is_current = token == Some(self.fencing_token);
                self.bound[n] |= is_current && self.store[n] == StoredJobRecord::Live;
            }
            DependencyStep::Start(n) => {
                self.started[n] = true;
                if n == 1 && !self.finished[0] {
                    self.violation = Some("started before its dependency was done");
                }
                if matches!(self.store[n], StoredJobRecord::Ended(_) | StoredJobRecord::Archived(_))
                {
                    self.violation = Some("started after its end was recorded");
                }
            }
            DependencyStep::Finish(n) => self.finished[n] = true,
            DependencyStep::RecordEnd(n) => {
                let Some(done) = self.final_result(n) else { return };
                self.store[n] = StoredJobRecord::Ended(done);
                if let Some(leader) = &mut self.leader {
                    leader.jobs[n] = None;
                    leader.graph.on_job_ended(&job_id(n), job_outcome(done));
                    leader.graph.remove_job(&job_id(n));
                }
            }
            DependencyStep::ArchiveRecord(n) => {
                if let StoredJobRecord::Ended(done) = self.store[n] {
                    self.store[n] = StoredJobRecord::Archived(done);
                }
            }
            DependencyStep::StartRequest => {
                let cancellation_confirmed = self.cancellation_confirmed;
                let reads_dependency = self.removed_guard != RemovedGuard::LookupFreshness;
                let traversal =
                    DependencyTraversal::new(&[job_id(0)][..usize::from(reads_dependency)]);
                self.request = Some(PendingRequest {
                    lookup: traversal.clone(),
                    cancellation_confirmed,
                    reads_second_location: false,
                });
                self.answer_request(&traversal, cancellation_confirmed);
            }
            DependencyStep::ReadRecord => {
                let Some(mut request) = self.request.take() else { return };
                let reads_archive = request.reads_second_location
                    != (self.removed_guard == RemovedGuard::LookupOrder);
                let visited = match self.store[0] {
                    StoredJobRecord::Archived(done) if reads_archive => {
                        Some(VisitedJob::Ended(job_outcome(done)))
                    }
                    StoredJobRecord::Ended(done) if !reads_archive => {
                        Some(VisitedJob::Ended(job_outcome(done)))
                    }
                    StoredJobRecord::Cancelled if !reads_archive => {
                        Some(VisitedJob::Ended(JobOutcome::Cancelled))
                    }
                    StoredJobRecord::Live if !reads_archive => Some(VisitedJob::Live(Vec::new())),
                    _ if request.reads_second_location => Some(VisitedJob::NeverAccepted),
                    _ => None,
                };
                let cancellation_confirmed = request.cancellation_confirmed;
                match visited {
                    Some(visited) => {
                        request.lookup.on_job_state(&visited);
                        let traversal = request.lookup.clone();
                        self.request = Some(request);
                        self.answer_request(&traversal, cancellation_confirmed);
                    }
                    None => {
                        self.request =
                            Some(PendingRequest { reads_second_location: true, ..request })
                    }
                }
            }
        }
    }

    fn violation(&self) -> Option<String> {
        self.violation.map(str::to_string)
    }
}

fn check_dependency_model(removed_guard: RemovedGuard) -> CheckResult<DependencyStep> {
    check_model(DependencyModel::new(removed_guard), 40, 1_500_000)
}

#[test]
fn dependency_rules_hold_in_every_interleaving() {
    let result = check_dependency_model(RemovedGuard::None);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(
        result.is_exhaustive && result.states > 2_000,
        "{} states, exhaustive: {}",
        result.states,
        result.is_exhaustive
    );
}

#[test]
fn removing_any_guard_violates_a_rule() {
    for removed_guard in [
        RemovedGuard::DependencyWait,
        RemovedGuard::OutcomeLookup,
        RemovedGuard::LookupOrder,
        RemovedGuard::LookupFreshness,
    ] {
        let result = check_dependency_model(removed_guard);
        assert!(
            result.violation.is_some(),
            "no violation without {removed_guard:?} in {} states",
            result.states
        );
    }
}
