//! Troubles that last for a time, and what becomes of single transactions.

use super::{BEGIN, Ev, NODES, World};
use rand::Rng;
use swiftsail_controller::cloud;
use swiftsail_controller::node::{Event, Node};
use swiftsail_controller::store::{Call, Outcome};
use swiftsail_protocol::state::Commit;
use swiftsail_protocol::workers::Report;

/// Time after which a controller gives a call to the state service up, ms.
const GIVEN_UP_MS: u64 = 1_500;
/// Time after which a controller gives a call to the cloud up, ms.
const CLOUD_GIVEN_UP_MS: u64 = 4_000;
/// Reports kept for the next leader at most: those of some seconds of all machines of a world.
const KEPT_MOST: usize = 2_000;
/// Machines that hang at most when jobs are called off (the operators' page).
const HUNG_MOST: usize = 8;
/// Time within which users call off, ms (the operators' page).
const CANCEL_WITHIN_MS: u64 = 200;

/// What becomes of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    /// What becomes of it by the weather.
    Usual,
    /// It is carried out at once, and its answer is lost.
    AnswerLost,
    /// It gets no answer, and is carried out so much later, ms.
    Late(u64),
    /// It gets no answer, and is never carried out.
    Dropped,
    /// It is refused with 503.
    Refused,
    /// It is refused with 400, for this reason.
    Malformed(String),
}

/// Says what becomes of a transaction: time from the beginning in ms, the controller, and it.
pub type Judge = Box<dyn FnMut(u64, usize, &Commit) -> Fate>;

/// A trouble that lasts for a time.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// That share of the transactions is carried out at once, and only the answer is lost.
    AnswersLost(f64),
    /// That share of the transactions gets no answer and is carried out 2 to 12 s later.
    WritesLate(f64),
    /// Of that share of the reports a copy is kept, which reaches every controller as a new leader begins.
    CopiesForNext(f64),
    /// These machines reach no controller; what is sent to them reaches them.
    Mute(Vec<String>),
    /// The cloud refuses everything.
    CloudAway,
    /// The cloud answers only after so long at most, ms: beyond 4 s its caller has given up.
    CloudSlow(u64),
    /// The workers of this zone and this controller reach each other and nobody else.
    ZoneAway {
        /// The zone.
        zone: String,
        /// The controller.
        node: usize,
    },
    /// Users ask at all nodes within milliseconds after a job was accepted or over, and repeat the submission; of
    /// those who call off, one in four does so at once.
    CloseLooks,
    /// Users repeat submissions, cancel what is done, and send jobs that fit no machine or lack a field.
    OddRequests,
    /// Every message takes from half of this time to this time, ms.
    SlowLinks(u64),
    /// That share of the jobs that end is called off at the moment of the end.
    CancelAtEnd(f64),
}

/// A trouble, from a time on, for so long.
#[derive(Debug, Clone)]
pub struct Spell {
    from: u64,
    until: u64,
    trouble: Trouble,
}

impl World {
    /// A trouble begins at a time and lasts for so long.
    pub fn spell(&mut self, from_ms: u64, for_ms: u64, trouble: Trouble) {
        let (from, until) = (BEGIN + from_ms, BEGIN + from_ms + for_ms);
        if trouble == Trouble::OddRequests {
            for at in (from..until).step_by(700) {
                self.at(at, Ev::Odd);
            }
        }
        if let Trouble::ZoneAway { node, .. } = &trouble {
            // It loses the state service too, which refuses it as an outage would.
            let cut = super::Cut { store: true, ..super::Cut::of(*node, from_ms, for_ms) };
            self.cuts.push(cut);
        }
        self.spells.push(Spell { from, until, trouble });
    }

    /// Users call off so many jobs that run, within a fifth of a second; some of their machines hang for so long.
    pub fn cancel_now(&mut self, at_ms: u64, count: usize, hang_ms: Option<u64>) {
        self.at(BEGIN + at_ms, Ev::CancelNow(count, hang_ms));
    }

    /// A copy of a report arrives at a controller: nobody waits for its answer.
    pub fn bring(&mut self, at_ms: u64, node: usize, report: Report) {
        self.at(BEGIN + at_ms, Ev::Copy(node, Box::new(report)));
    }

    /// A number that a trouble of now has.
    pub(super) fn spelled<T>(&self, of: impl Fn(&Trouble) -> Option<T>) -> Option<T> {
        let now = self.now;
        let open = self.spells.iter().filter(|s| (s.from..s.until).contains(&now));
        open.filter_map(|s| of(&s.trouble)).next()
    }

    pub(super) fn count(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    // ---- transactions ----

    pub(super) fn fate(&mut self, n: usize, commit: &Commit) -> Fate {
        let ms = self.now - BEGIN;
        if let Some(judge) = &mut self.judge {
            let fate = judge(ms, n, commit);
            if fate != Fate::Usual {
                return fate;
            }
        }
        let lost = |t: &Trouble| match t {
            Trouble::AnswersLost(share) => Some(*share),
            _ => None,
        };
        let late = |t: &Trouble| match t {
            Trouble::WritesLate(share) => Some(*share),
            _ => None,
        };
        if self.spelled(lost).is_some_and(|share| self.rng.random_bool(share)) {
            return Fate::AnswerLost;
        }
        match self.spelled(late).is_some_and(|share| self.rng.random_bool(share)) {
            true => Fate::Late(self.rng.random_range(2_000..12_000)),
            false => Fate::Usual,
        }
    }

    pub(super) fn commit_by(&mut self, fate: Fate, n: usize, life: u64, id: u64, call: Call) {
        let mut after = GIVEN_UP_MS;
        let outcome = match fate {
            Fate::Usual | Fate::Dropped => Outcome::Unknown,
            Fate::AnswerLost => {
                self.count("answer lost");
                self.serve(&call);
                Outcome::Unknown
            }
            Fate::Late(ms) => {
                self.count("write late");
                // To a life that never was: carried out, told to nobody.
                self.at(self.now + ms, Ev::StoreCall(n, 0, 0, call));
                Outcome::Unknown
            }
            Fate::Refused => Outcome::Refused,
            Fate::Malformed(why) => Outcome::Malformed(why),
        };
        if outcome != Outcome::Unknown {
            after = self.delay();
        }
        self.at(self.now + after, Ev::ToNode(n, life, Box::new(Event::Store(id, outcome))));
        self.wake_follows();
    }

    // ---- reports ----

    pub(super) fn mute(&mut self, name: &str) -> bool {
        let its = |t: &Trouble| match t {
            Trouble::Mute(names) => names.iter().any(|n| n == name).then_some(()),
            _ => None,
        };
        let mute = self.spelled(its).is_some();
        if mute {
            self.count("mute");
        }
        mute
    }

    pub(super) fn keep_for_next(&mut self, report: &Report) {
        let share = self.spelled(|t| match t {
            Trouble::CopiesForNext(share) => Some(*share),
            _ => None,
        });
        let kept = share.is_some_and(|share| self.rng.random_bool(share));
        if kept && self.for_next.len() < KEPT_MOST {
            self.for_next.push(report.clone());
        }
    }

    /// As a new leader begins, the copies kept for it reach every controller.
    pub(super) fn look_for_leader(&mut self, n: usize) {
        if !self.nodes[n].as_ref().is_some_and(Node::leads) {
            return;
        }
        let life = Some((n, self.lives[n]));
        if std::mem::replace(&mut self.led, life) == life {
            return;
        }
        self.count("leader");
        for report in std::mem::take(&mut self.for_next) {
            self.count("copy for next");
            for node in 0..NODES {
                let at = self.now + self.rng.random_range(0..40);
                self.at(at, Ev::Copy(node, Box::new(report.clone())));
            }
        }
    }

    // ---- the cloud ----

    /// What becomes of a call to the cloud, in a trouble of it: none, or what its caller hears, and after how long.
    pub(super) fn cloud_trouble(&mut self, call: &cloud::Call) -> Option<(u64, cloud::Outcome)> {
        let slow = self.spelled(|t| match t {
            Trouble::CloudSlow(ms) => Some(*ms),
            Trouble::CloudAway => Some(0),
            _ => None,
        })?;
        self.count("cloud trouble");
        if slow == 0 {
            return Some((self.delay(), cloud::Outcome::Failed));
        }
        let after = self.rng.random_range(0..slow);
        match after < CLOUD_GIVEN_UP_MS {
            true => Some((after, self.cloud_call(call))),
            false => {
                // It may be carried out after its caller has given up.
                if self.rng.random_bool(0.5) {
                    self.cloud_call(call);
                }
                Some((CLOUD_GIVEN_UP_MS, cloud::Outcome::Failed))
            }
        }
    }

    // ---- zones ----

    fn away(&self) -> Option<(String, usize)> {
        self.spelled(|t| match t {
            Trouble::ZoneAway { zone, node } => Some((zone.clone(), *node)),
            _ => None,
        })
    }

    /// Whether a controller is in a zone that is cut off.
    pub(super) fn zone_away(&self, n: usize) -> bool {
        self.away().is_some_and(|(_, node)| node == n)
    }

    /// Whether a cut of a zone is between two controllers.
    pub(super) fn zone_apart(&self, a: usize, b: usize) -> bool {
        self.away().is_some_and(|(_, node)| (node == a) != (node == b))
    }

    /// Whether a cut of a zone is between a controller and a machine.
    pub(super) fn zone_cut(&mut self, n: usize, machine: &str) -> bool {
        let Some((zone, node)) = self.away() else { return false };
        let inside = self.plant.workers.get(machine).is_some_and(|w| w.hardware.zone == zone);
        let cut = inside != (node == n);
        if cut && inside {
            self.count("zone cut");
        }
        cut
    }

    // ---- users ----

    /// Jobs that run are called off now.
    pub(super) fn cancel_some(&mut self, count: usize, hang_ms: Option<u64>) {
        let now = self.now;
        let mut machines: Vec<String> = Vec::new();
        let mut picked = Vec::new();
        for (number, job) in self.jobs.iter().enumerate() {
            if picked.len() >= count || !job.accepted || job.over() || job.told_cancelled.is_some()
            {
                continue;
            }
            let up = self.plant.workers.values().filter(|w| w.awake(now));
            let its = |t: &&crate::worker::Task| t.on_machine() && t.job() == job.id;
            let on: Vec<String> =
                up.filter(|w| w.tasks.iter().any(|t| its(&t))).map(|w| w.name.clone()).collect();
            if !on.is_empty() {
                picked.push(number);
                machines.extend(on);
            }
        }
        for job in picked {
            self.count("cancelled now");
            let at = now + self.rng.random_range(0..CANCEL_WITHIN_MS);
            self.jobs[job].cancel_at = Some(at);
            self.at(at, Ev::User(job, 2));
        }
        let Some(for_ms) = hang_ms else { return };
        machines.sort();
        machines.dedup();
        for name in machines.into_iter().take(HUNG_MOST) {
            if let Some(worker) = self.plant.workers.get_mut(&name) {
                worker.hang_until = now + for_ms;
                self.count("hung");
            }
        }
    }

    /// What has just ended may be called off at that moment.
    pub(super) fn cancel_at_end(&mut self) {
        let share = self.spelled(|t| match t {
            Trouble::CancelAtEnd(share) => Some(*share),
            _ => None,
        });
        let Some(share) = share else { return };
        let done = &self.plant.done;
        let over =
            |j: &super::UserJob| (0..j.tasks()).all(|t| done.contains(&format!("{}/{t}", j.id)));
        let open = self.jobs.iter_mut().enumerate().filter(|(_, j)| j.accepted && !j.ended);
        let mut ended = Vec::new();
        for (number, job) in open.filter(|(_, j)| j.text("shape") != "service") {
            if over(job) {
                job.ended = true;
                ended.push(number);
            }
        }
        for job in ended {
            if self.jobs[job].told_cancelled.is_none() && self.rng.random_bool(share) {
                self.count("cancelled at end");
                let at = self.now + self.rng.random_range(0..300);
                self.jobs[job].cancel_at = Some(at);
                self.at(at, Ev::User(job, 2));
            }
        }
    }
}
