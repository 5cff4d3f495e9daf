//! Every order of events in a small world of two stages: acceptance, a cancellation, ends, moves to the last place, late
//! bindings, leaders that begin anew, a question read step by step. Each guard left out is found.

use swiftsail_dag::{
    DependencyGraph, DependencyState, DependencyTraversal, DependencyVerdict, JobId, JobOutcome,
    VisitedJob,
};
use swiftsail_simulation::model_checker::{CheckResult, Model, check_model};

/// What is left out to see that the explorer finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RemovedGuard {
    None,
    /// A leader binds what awaits others like anything else.
    DependencyWait,
    /// A leader takes a job that it knows nothing of for done.
    OutcomeLookup,
    /// Whoever is asked reads a job's last place before its first.
    LookupOrder,
    /// Whoever is asked goes by what it read of the job before the question, and by nothing before it.
    LookupFreshness,
}

/// A job's record in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StoredJobRecord {
    Absent,
    Live,
    Cancelled,
    Over(bool),
    Moved(bool),
}

/// What a leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct ModelLeader {
    /// Jobs in its tables that are not over: cancelled or not.
    jobs: [Option<bool>; 2],
    graph: DependencyGraph,
    /// It asks what became of the first: it has read that it is not in its first place.
    outcome_lookup: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingQuestion {
    lookup: DependencyTraversal,
    /// The cancellation had been told when it was asked.
    cancellation_told: bool,
    /// Which place is read next: the other was read, and it was not there.
    reads_second_place: bool,
}

#[derive(Debug, Clone, Hash)]
struct DependencyModel {
    removed_guard: RemovedGuard,
    store: [StoredJobRecord; 2],
    fencing_token: u8,
    leader: Option<ModelLeader>,
    /// Bindings under way: under which token.
    bindings_in_flight: [Option<u8>; 2],
    bound: [bool; 2],
    started: [bool; 2],
    finished: [bool; 2],
    cancellation_told: bool,
    question: Option<PendingQuestion>,
    /// An answer said that the second is called off.
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
    MoveRecord(usize),
    Ask,
    Read,
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
            cancellation_told: false,
            question: None,
            reported_cancelled: false,
            violation: None,
        }
    }

    /// A leader takes in a job's record from its first place.
    fn observe_record(&self, leader: &mut ModelLeader, n: usize) {
        let over = match self.store[n] {
            StoredJobRecord::Live => None,
            StoredJobRecord::Cancelled => Some(false),
            StoredJobRecord::Over(done) => Some(done),
            StoredJobRecord::Absent | StoredJobRecord::Moved(_) => return,
        };
        if matches!(self.store[n], StoredJobRecord::Over(_)) {
            leader.jobs[n] = None;
        } else {
            leader.jobs[n] = Some(over.is_some());
            if n == 1 {
                leader.graph.add_job(&job_id(1), &[job_id(0)]);
                if leader.jobs[0] == Some(true) {
                    leader.graph.on_job_ended(&job_id(0), JobOutcome::Cancelled);
                }
            }
        }
        if let Some(done) = over {
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
            Some(standing) => standing,
            None => DependencyState::Ready(0),
        }
    }

    /// A leader's end of a job, if it has come to one: done, or not.
    fn final_result(&self, n: usize) -> Option<bool> {
        let leader = self.leader.as_ref()?;
        let cancelled = leader.jobs[n]?
            || self.dependency_state(leader, n) == DependencyState::CancelledByDependency;
        let idle = !self.bound[n]
            && self.bindings_in_flight[n].is_none_or(|t| t != self.fencing_token)
            || self.finished[n];
        match (cancelled, self.store[n]) {
            // What it has seen of the record is the condition of its write.
            (true, StoredJobRecord::Live | StoredJobRecord::Cancelled) if idle => Some(false),
            (false, StoredJobRecord::Live) if self.finished[n] => Some(true),
            _ => None,
        }
    }

    fn answer_question(&mut self, walk: &DependencyTraversal, told: bool) {
        let Some(verdict) = walk.verdict() else { return };
        self.question = None;
        let off = verdict == DependencyVerdict::CancelledByDependency;
        if !off && told {
            self.violation =
                Some("orphaned: called open though its user was told before the question");
        }
        if !off && self.reported_cancelled {
            self.violation = Some("went_back: called open after it was called off");
        }
        if off
            && self.store[0] != StoredJobRecord::Cancelled
            && !matches!(
                self.store[0],
                StoredJobRecord::Over(false) | StoredJobRecord::Moved(false)
            )
        {
            self.violation = Some("went_back: called off though nothing was cancelled");
        }
        self.reported_cancelled |= off;
    }
}

impl Model for DependencyModel {
    type Step = DependencyStep;

    fn enabled_steps(&self) -> Vec<DependencyStep> {
        let accepted = |n: usize| self.store[n] != StoredJobRecord::Absent;
        let leader = self.leader.as_ref();
        let mut steps = Vec::new();
        let mut may = |step: DependencyStep, allowed: bool| {
            if allowed {
                steps.push(step);
            }
        };
        may(DependencyStep::TakeLeadership, self.fencing_token < 3);
        may(
            DependencyStep::StartOutcomeLookup,
            leader.is_some_and(|l| l.jobs[1] == Some(false) && l.jobs[0].is_none()),
        );
        may(DependencyStep::Ask, self.question.is_none() && self.store[1] == StoredJobRecord::Live);
        may(DependencyStep::Read, self.question.is_some());
        for n in 0..2 {
            let knows = |l: &ModelLeader| {
                l.jobs[n] == Some(false)
                    && matches!(self.dependency_state(l, n), DependencyState::Ready(_))
            };
            let first = !accepted(n) && (n == 0 || accepted(0));
            may(DependencyStep::Accept(n), first);
            may(DependencyStep::Cancel(n), self.store[n] == StoredJobRecord::Live);
            may(DependencyStep::ObserveRecord(n), leader.is_some());
            let free = !self.bound[n] && self.bindings_in_flight[n].is_none();
            may(DependencyStep::Bind(n), free && leader.is_some_and(knows));
            may(DependencyStep::Commit(n), self.bindings_in_flight[n].is_some());
            may(DependencyStep::Start(n), self.bound[n] && !self.started[n]);
            may(DependencyStep::Finish(n), self.started[n] && !self.finished[n]);
            may(DependencyStep::RecordEnd(n), self.final_result(n).is_some());
            may(
                DependencyStep::MoveRecord(n),
                leader.is_some() && matches!(self.store[n], StoredJobRecord::Over(_)),
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
                self.cancellation_told |= n == 0;
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
                let told = match (leader.outcome_lookup, self.store[0]) {
                    (_, StoredJobRecord::Over(done)) if leader.outcome_lookup.is_none() => {
                        Some(done)
                    }
                    (Some(_), StoredJobRecord::Moved(done)) => Some(done),
                    _ => None,
                };
                leader.outcome_lookup = if told.is_none() { Some(true) } else { None };
                if let Some(done) = told {
                    leader.graph.on_job_ended(&job_id(0), job_outcome(done));
                }
            }
            DependencyStep::Bind(n) => self.bindings_in_flight[n] = Some(self.fencing_token),
            DependencyStep::Commit(n) => {
                let token = self.bindings_in_flight[n].take();
                let leads = token == Some(self.fencing_token);
                self.bound[n] |= leads && self.store[n] == StoredJobRecord::Live;
            }
            DependencyStep::Start(n) => {
                self.started[n] = true;
                if n == 1 && !self.finished[0] {
                    self.violation = Some("too_early");
                }
                if matches!(self.store[n], StoredJobRecord::Over(_) | StoredJobRecord::Moved(_)) {
                    self.violation = Some("a start after the end");
                }
            }
            DependencyStep::Finish(n) => self.finished[n] = true,
            DependencyStep::RecordEnd(n) => {
                let Some(done) = self.final_result(n) else { return };
                self.store[n] = StoredJobRecord::Over(done);
                if let Some(leader) = &mut self.leader {
                    leader.jobs[n] = None;
                    leader.graph.on_job_ended(&job_id(n), job_outcome(done));
                    leader.graph.remove_job(&job_id(n));
                }
            }
            DependencyStep::MoveRecord(n) => {
                if let StoredJobRecord::Over(done) = self.store[n] {
                    self.store[n] = StoredJobRecord::Moved(done);
                }
            }
            DependencyStep::Ask => {
                let told = self.cancellation_told;
                let walks = self.removed_guard != RemovedGuard::LookupFreshness;
                let walk = DependencyTraversal::new(&[job_id(0)][..usize::from(walks)]);
                self.question = Some(PendingQuestion {
                    lookup: walk.clone(),
                    cancellation_told: told,
                    reads_second_place: false,
                });
                self.answer_question(&walk, told);
            }
            DependencyStep::Read => {
                let Some(mut question) = self.question.take() else { return };
                let last_place = question.reads_second_place
                    != (self.removed_guard == RemovedGuard::LookupOrder);
                let seen = match self.store[0] {
                    StoredJobRecord::Moved(done) if last_place => {
                        Some(VisitedJob::Ended(job_outcome(done)))
                    }
                    StoredJobRecord::Over(done) if !last_place => {
                        Some(VisitedJob::Ended(job_outcome(done)))
                    }
                    StoredJobRecord::Cancelled if !last_place => {
                        Some(VisitedJob::Ended(JobOutcome::Cancelled))
                    }
                    StoredJobRecord::Live if !last_place => Some(VisitedJob::Live(Vec::new())),
                    _ if question.reads_second_place => Some(VisitedJob::NeverAccepted),
                    _ => None,
                };
                let told = question.cancellation_told;
                match seen {
                    Some(seen) => {
                        question.lookup.on_job_state(&seen);
                        let walk = question.lookup.clone();
                        self.question = Some(question);
                        self.answer_question(&walk, told);
                    }
                    None => {
                        self.question =
                            Some(PendingQuestion { reads_second_place: true, ..question })
                    }
                }
            }
        }
    }

    fn violation(&self) -> Option<String> {
        self.violation.map(str::to_string)
    }
}

fn check_dependency_model(without: RemovedGuard) -> CheckResult<DependencyStep> {
    check_model(DependencyModel::new(without), 40, 1_500_000)
}

#[test]
fn in_every_order_stages_keep_the_rules() {
    let found = check_dependency_model(RemovedGuard::None);
    assert!(found.violation.is_none(), "{:?}", found.violation);
    assert!(
        found.is_exhaustive && found.states > 2_000,
        "{} worlds, whole: {}",
        found.states,
        found.is_exhaustive
    );
}

#[test]
fn each_guard_of_pipelines_is_needed() {
    for without in [
        RemovedGuard::DependencyWait,
        RemovedGuard::OutcomeLookup,
        RemovedGuard::LookupOrder,
        RemovedGuard::LookupFreshness,
    ] {
        let found = check_dependency_model(without);
        assert!(found.violation.is_some(), "{without:?}: nothing found in {} worlds", found.states);
    }
}
