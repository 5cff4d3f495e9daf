//! Every order of events in a small world of two stages: acceptance, a cancellation, ends, moves to the last place, late
//! bindings, leaders that begin anew, a question read step by step. Each guard left out is found.

use swiftsail_dag::{Fate, Graph, JobId, Seen, Standing, Verdict, Walk};
use swiftsail_simulation::explorer::{Found, Small, explore};

/// What is left out to see that the explorer finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// A leader binds what awaits others like anything else.
    Waiting,
    /// A leader takes a job that it knows nothing of for done.
    Reading,
    /// Whoever is asked reads a job's last place before its first.
    Order,
    /// Whoever is asked goes by what it read of the job before the question, and by nothing before it.
    Walking,
}

/// A job's record in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Record {
    Absent,
    Live,
    Cancelled,
    Over(bool),
    Moved(bool),
}

/// What a leader knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Leader {
    /// Jobs in its tables that are not over: cancelled or not.
    jobs: [Option<bool>; 2],
    graph: Graph,
    /// It asks what became of the first: it has read that it is not in its first place.
    asks: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Question {
    walk: Walk,
    /// The cancellation had been told when it was asked.
    told: bool,
    /// Which place is read next: the other was read, and it was not there.
    second: bool,
}

#[derive(Debug, Clone, Hash)]
struct World {
    without: Without,
    store: [Record; 2],
    token: u8,
    leader: Option<Leader>,
    /// Bindings under way: under which token.
    binding: [Option<u8>; 2],
    bound: [bool; 2],
    started: [bool; 2],
    finished: [bool; 2],
    told: bool,
    question: Option<Question>,
    /// An answer said that the second is called off.
    said_off: bool,
    broken: Option<&'static str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Accept(usize),
    Cancel(usize),
    Lead,
    See(usize),
    Stranger,
    Bind(usize),
    Commit(usize),
    Start(usize),
    Finish(usize),
    End(usize),
    Move(usize),
    Ask,
    Read,
}

fn id(n: usize) -> JobId {
    ["wk-0", "wk-1"][n].into()
}

fn fate(done: bool) -> Fate {
    if done { Fate::Done(1) } else { Fate::CalledOff }
}

impl World {
    fn new(without: Without) -> World {
        World {
            without,
            store: [Record::Absent; 2],
            token: 0,
            leader: None,
            binding: [None; 2],
            bound: [false; 2],
            started: [false; 2],
            finished: [false; 2],
            told: false,
            question: None,
            said_off: false,
            broken: None,
        }
    }

    /// A leader takes in a job's record from its first place.
    fn see(&self, leader: &mut Leader, n: usize) {
        let over = match self.store[n] {
            Record::Live => None,
            Record::Cancelled => Some(false),
            Record::Over(done) => Some(done),
            Record::Absent | Record::Moved(_) => return,
        };
        if matches!(self.store[n], Record::Over(_)) {
            leader.jobs[n] = None;
        } else {
            leader.jobs[n] = Some(over.is_some());
            if n == 1 {
                leader.graph.add(&id(1), &[id(0)]);
                if leader.jobs[0] == Some(true) {
                    leader.graph.ended(&id(0), Fate::CalledOff);
                }
            }
        }
        if let Some(done) = over {
            leader.graph.ended(&id(n), fate(done));
        }
    }

    fn standing(&self, leader: &Leader, n: usize) -> Standing {
        match leader.graph.standing(&id(n)) {
            Some(Standing::Waits) if self.without == Without::Waiting => Standing::Ready(0),
            Some(Standing::Waits)
                if self.without == Without::Reading && leader.jobs[0].is_none() =>
            {
                Standing::Ready(0)
            }
            Some(standing) => standing,
            None => Standing::Ready(0),
        }
    }

    /// A leader's end of a job, if it has come to one: done, or not.
    fn end(&self, n: usize) -> Option<bool> {
        let leader = self.leader.as_ref()?;
        let cancelled = leader.jobs[n]? || self.standing(leader, n) == Standing::CalledOff;
        let idle =
            !self.bound[n] && self.binding[n].is_none_or(|t| t != self.token) || self.finished[n];
        match (cancelled, self.store[n]) {
            // What it has seen of the record is the condition of its write.
            (true, Record::Live | Record::Cancelled) if idle => Some(false),
            (false, Record::Live) if self.finished[n] => Some(true),
            _ => None,
        }
    }

    fn answer(&mut self, walk: &Walk, told: bool) {
        let Some(verdict) = walk.verdict() else { return };
        self.question = None;
        let off = verdict == Verdict::CalledOff;
        if !off && told {
            self.broken =
                Some("orphaned: called open though its user was told before the question");
        }
        if !off && self.said_off {
            self.broken = Some("went_back: called open after it was called off");
        }
        if off
            && self.store[0] != Record::Cancelled
            && !matches!(self.store[0], Record::Over(false) | Record::Moved(false))
        {
            self.broken = Some("went_back: called off though nothing was cancelled");
        }
        self.said_off |= off;
    }
}

impl Small for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let accepted = |n: usize| self.store[n] != Record::Absent;
        let leader = self.leader.as_ref();
        let mut steps = Vec::new();
        let mut may = |step: Step, allowed: bool| {
            if allowed {
                steps.push(step);
            }
        };
        may(Step::Lead, self.token < 3);
        may(
            Step::Stranger,
            leader.is_some_and(|l| l.jobs[1] == Some(false) && l.jobs[0].is_none()),
        );
        may(Step::Ask, self.question.is_none() && self.store[1] == Record::Live);
        may(Step::Read, self.question.is_some());
        for n in 0..2 {
            let knows = |l: &Leader| {
                l.jobs[n] == Some(false) && matches!(self.standing(l, n), Standing::Ready(_))
            };
            let first = !accepted(n) && (n == 0 || accepted(0));
            may(Step::Accept(n), first);
            may(Step::Cancel(n), self.store[n] == Record::Live);
            may(Step::See(n), leader.is_some());
            let free = !self.bound[n] && self.binding[n].is_none();
            may(Step::Bind(n), free && leader.is_some_and(knows));
            may(Step::Commit(n), self.binding[n].is_some());
            may(Step::Start(n), self.bound[n] && !self.started[n]);
            may(Step::Finish(n), self.started[n] && !self.finished[n]);
            may(Step::End(n), self.end(n).is_some());
            may(Step::Move(n), leader.is_some() && matches!(self.store[n], Record::Over(_)));
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Accept(n) => self.store[n] = Record::Live,
            Step::Cancel(n) => {
                self.store[n] = Record::Cancelled;
                self.told |= n == 0;
            }
            Step::Lead => {
                self.token += 1;
                let mut leader = Leader::default();
                (0..2).for_each(|n| self.see(&mut leader, n));
                self.leader = Some(leader);
            }
            Step::See(n) => {
                let mut leader = self.leader.take().unwrap_or_default();
                self.see(&mut leader, n);
                self.leader = Some(leader);
            }
            Step::Stranger => {
                let Some(leader) = &mut self.leader else { return };
                let told = match (leader.asks, self.store[0]) {
                    (_, Record::Over(done)) if leader.asks.is_none() => Some(done),
                    (Some(_), Record::Moved(done)) => Some(done),
                    _ => None,
                };
                leader.asks = if told.is_none() { Some(true) } else { None };
                if let Some(done) = told {
                    leader.graph.ended(&id(0), fate(done));
                }
            }
            Step::Bind(n) => self.binding[n] = Some(self.token),
            Step::Commit(n) => {
                let token = self.binding[n].take();
                let leads = token == Some(self.token);
                self.bound[n] |= leads && self.store[n] == Record::Live;
            }
            Step::Start(n) => {
                self.started[n] = true;
                if n == 1 && !self.finished[0] {
                    self.broken = Some("too_early");
                }
                if matches!(self.store[n], Record::Over(_) | Record::Moved(_)) {
                    self.broken = Some("a start after the end");
                }
            }
            Step::Finish(n) => self.finished[n] = true,
            Step::End(n) => {
                let Some(done) = self.end(n) else { return };
                self.store[n] = Record::Over(done);
                if let Some(leader) = &mut self.leader {
                    leader.jobs[n] = None;
                    leader.graph.ended(&id(n), fate(done));
                    leader.graph.forget(&id(n));
                }
            }
            Step::Move(n) => {
                if let Record::Over(done) = self.store[n] {
                    self.store[n] = Record::Moved(done);
                }
            }
            Step::Ask => {
                let told = self.told;
                let walks = self.without != Without::Walking;
                let walk = Walk::new(&[id(0)][..usize::from(walks)]);
                self.question = Some(Question { walk: walk.clone(), told, second: false });
                self.answer(&walk, told);
            }
            Step::Read => {
                let Some(mut question) = self.question.take() else { return };
                let last_place = question.second != (self.without == Without::Order);
                let seen = match self.store[0] {
                    Record::Moved(done) if last_place => Some(Seen::Ended(fate(done))),
                    Record::Over(done) if !last_place => Some(Seen::Ended(fate(done))),
                    Record::Cancelled if !last_place => Some(Seen::Ended(Fate::CalledOff)),
                    Record::Live if !last_place => Some(Seen::Live(Vec::new())),
                    _ if question.second => Some(Seen::Never),
                    _ => None,
                };
                let told = question.told;
                match seen {
                    Some(seen) => {
                        question.walk.tell(&seen);
                        let walk = question.walk.clone();
                        self.question = Some(question);
                        self.answer(&walk, told);
                    }
                    None => self.question = Some(Question { second: true, ..question }),
                }
            }
        }
    }

    fn broken(&self) -> Option<String> {
        self.broken.map(str::to_string)
    }
}

fn explored(without: Without) -> Found<Step> {
    explore(World::new(without), 40, 1_500_000)
}

#[test]
fn in_every_order_stages_keep_the_rules() {
    let found = explored(Without::Nothing);
    assert!(found.broken.is_none(), "{:?}", found.broken);
    assert!(found.whole && found.worlds > 2_000, "{} worlds, whole: {}", found.worlds, found.whole);
}

#[test]
fn each_guard_of_pipelines_is_needed() {
    for without in [Without::Waiting, Without::Reading, Without::Order, Without::Walking] {
        let found = explored(without);
        assert!(found.broken.is_some(), "{without:?}: nothing found in {} worlds", found.worlds);
    }
}
