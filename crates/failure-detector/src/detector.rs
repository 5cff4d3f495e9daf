//! One state machine for each silent machine, and the pattern of all.

use crate::Time;
use crate::constants::*;
use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It reports as it should.
    Heard,
    /// A report is late.
    Quiet,
    /// Late beyond what its intervals explain: it is asked directly.
    Doubted,
    /// It takes no connection, while others around it go on.
    PresumedDead,
    /// Everything in its zone, or of its controller, is silent with it.
    PresumedCut,
    /// It takes connections and answers nothing.
    PresumedHung,
}

/// What came of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It answered.
    Answered,
    /// The connection was refused or reset: the machine or something before it is there.
    Refused,
    /// It took the connection and gave no answer.
    Mute,
    /// No connection came about.
    Silent,
}

/// What is known of a machine from outside this package.
#[derive(Debug, Clone, Copy)]
pub struct Seen<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// The controller that hears it; none: the leader itself, or nobody yet.
    pub via: Option<&'a str>,
    /// A controller in its zone is heard: the zone is not cut off.
    pub reached: bool,
    /// When it was last heard under this term; none: not yet, and it should be up.
    pub heard: Option<Time>,
    /// Production work is bound to it.
    pub production: bool,
    /// Its hearing or its numbers are in doubt: it is asked directly although it reports.
    pub asked: bool,
}

/// What is remembered of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    state: State,
    since: Time,
    /// Last report, and learned interval and deviation, ms.
    last: Time,
    mean: f32,
    deviation: f32,
    failed: u8,
    mute: bool,
    asked_at: Time,
    /// When it was last presumed cut off.
    cut_until: Time,
    round: u64,
}

impl Member {
    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Since when.
    pub fn since(&self) -> Time {
        self.since
    }

    /// The one function that changes the state. True if it was another.
    fn advance(&mut self, to: State, now: Time) -> bool {
        let new = self.state != to;
        if new {
            // Probes that failed in a cut say nothing once it has ended.
            if self.state == State::PresumedCut {
                (self.failed, self.mute, self.cut_until) = (0, false, now);
            }
            (self.state, self.since) = (to, now);
        }
        new
    }

    fn learn(&mut self, heard: Time) {
        if heard <= self.last {
            return;
        }
        if self.last > 0 {
            let off = (heard - self.last) as f32 - self.mean;
            self.mean += off * LEARN as f32;
            self.deviation += (off.abs() - self.deviation) * LEARN as f32;
        }
        self.last = heard;
        (self.failed, self.mute) = (0, false);
    }
}

/// The detector of one term.
#[derive(Debug)]
pub struct Detector<K> {
    /// When the term began: nobody is late before it has had time to find the leader.
    since: Time,
    report_ms: f64,
    lease_ms: f64,
    members: FxHashMap<K, Member>,
    /// Probes on their way, and how many may be.
    flying: usize,
    flying_most: usize,
    round: u64,
}

impl<K: Clone + Eq + Hash> Detector<K> {
    /// A detector for a term that began at `since`; report period and lease in s. So many probes may be
    /// on their way at once.
    pub fn new(since: Time, report_s: f64, lease_s: f64, flying_most: usize) -> Detector<K> {
        Detector {
            since,
            report_ms: report_s * MS_PER_S,
            lease_ms: lease_s * MS_PER_S,
            members: FxHashMap::default(),
            flying: 0,
            flying_most,
            round: 0,
        }
    }

    /// What is remembered of a machine.
    pub fn get(&self, id: &K) -> Option<&Member> {
        self.members.get(id)
    }

    /// A probe has ended. An answer is news for whoever takes the report; here it ends the doubt.
    pub fn probed(&mut self, id: &K, probe: Probe) {
        self.flying = self.flying.saturating_sub(1);
        let Some(member) = self.members.get_mut(id) else { return };
        match probe {
            Probe::Answered => (member.failed, member.mute) = (0, false),
            // Something answers for it: that is neither death nor a hang.
            Probe::Refused => member.failed = 0,
            Probe::Mute => (member.failed, member.mute) = (member.failed.saturating_add(1), true),
            Probe::Silent => member.failed = member.failed.saturating_add(1),
        }
    }

    /// Time for which a machine has been silent, ms, and after which that is no jitter.
    fn silence(&self, member: &Member, heard: Option<Time>, now: Time) -> (f64, f64) {
        let usual = self.report_ms * (1.0 + JITTER) + QUIET_SLACK_MS;
        match heard {
            Some(at) => {
                let learned = f64::from(member.mean + QUIET_DEVIATIONS as f32 * member.deviation);
                (now.saturating_sub(at) as f64, usual.max(learned))
            }
            None => (now.saturating_sub(self.since) as f64, usual),
        }
    }

    /// Looks at all machines: which to ask now, and which verdicts are new. Costs a look at each machine
    /// and memory for those known alone.
    pub fn step<'a>(
        &mut self,
        machines: impl Iterator<Item = (&'a K, Seen<'a>)> + Clone,
        now: Time,
    ) -> (Vec<K>, Vec<(K, State)>)
    where
        K: 'a,
    {
        self.round += 1;
        let (round, report_ms) = (self.round, self.report_ms);
        // First pass: who is silent, and where.
        let mut zones: FxHashMap<&str, (usize, usize)> = FxHashMap::default();
        let mut vias: FxHashMap<Option<&str>, (usize, usize)> = FxHashMap::default();
        for (id, seen) in machines.clone() {
            let member = self.members.entry(id.clone()).or_insert(Member {
                state: State::Heard,
                since: now,
                last: 0,
                mean: report_ms as f32,
                deviation: (report_ms * JITTER / 2.0) as f32,
                failed: 0,
                mute: false,
                asked_at: 0,
                cut_until: 0,
                round,
            });
            member.round = round;
            if let Some(heard) = seen.heard {
                member.learn(heard);
            }
            let member = *member;
            let (silent, usual) = self.silence(&member, seen.heard, now);
            let silent = usize::from(silent > usual);
            let count = |entry: &mut (usize, usize)| {
                entry.0 += 1;
                entry.1 += silent;
            };
            count(zones.entry(seen.zone).or_default());
            if seen.heard.is_some() {
                count(vias.entry(seen.via).or_default());
            }
        }
        self.members.retain(|_, m| m.round == round);
        let cut = |of: Option<&(usize, usize)>| {
            of.is_some_and(|(all, silent)| {
                *all >= PATTERN_LEAST && *silent as f64 >= *all as f64 * CUT_SHARE
            })
        };
        // Second pass: what each silence means.
        let (mut ask, mut verdicts) = (Vec::new(), Vec::new());
        for (id, seen) in machines {
            let Some(&member) = self.members.get(id) else { continue };
            let (silent, usual) = self.silence(&member, seen.heard, now);
            // All workers of a controller fall silent when it ends or is cut off from them; those that
            // live have found another by now, or will in a moment.
            let moving = seen.heard.is_some() && silent <= usual + 2.0 * FIND_MS;
            let deaf = moving && cut(vias.get(&seen.via));
            let apart = !seen.reached && cut(zones.get(seen.zone));
            let state = if silent <= usual {
                State::Heard
            } else if deaf || apart {
                State::PresumedCut
            } else if member.state == State::PresumedCut {
                State::Doubted
            } else if member.failed >= PROBES_FAILED {
                if member.mute { State::PresumedHung } else { State::PresumedDead }
            } else if silent <= usual + report_ms * JITTER {
                State::Quiet
            } else {
                State::Doubted
            };
            // Who was never heard under this term is asked before it is late: it may not have found this
            // leader yet, and a predecessor may have known that it is dead.
            let early = seen.heard.is_none() && silent > GREET_MS;
            let pause = match state {
                State::Heard | State::Quiet if early || seen.asked => PROBE_AGAIN_MS,
                State::Heard | State::Quiet => u64::MAX,
                State::Doubted | State::PresumedDead => PROBE_AGAIN_MS,
                State::PresumedCut | State::PresumedHung => PROBE_SLOW_MS,
            };
            let Some(member) = self.members.get_mut(id) else { continue };
            if member.advance(state, now) && state != State::Doubted && state != State::Heard {
                verdicts.push((id.clone(), state));
            }
            let due = pause < u64::MAX && now >= member.asked_at + pause;
            if due && self.flying < self.flying_most {
                member.asked_at = now;
                self.flying += 1;
                ask.push(id.clone());
            }
        }
        (ask, verdicts)
    }

    /// Whether a machine should be returned by now: a decision with a cost. What is dead holds capacity
    /// and work; what hangs or is cut off may go on, with what it has done.
    pub fn give_up(&self, id: &K, seen: Seen, now: Time) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        let (silent, usual) = self.silence(member, seen.heard, now);
        // Silence in a cut that has ended counts from its end: who lives reports soon.
        let silent = silent.min(now.saturating_sub(member.cut_until) as f64);
        let detour = usual + DETOUR_MS;
        let late = self.lease_ms * LOST_SHARE;
        let limit = match member.state {
            State::Heard | State::Quiet => return false,
            State::Doubted => late,
            State::PresumedDead if seen.production => detour,
            State::PresumedDead => detour.max(self.lease_ms * DEAD_SHARE),
            State::PresumedHung if seen.production => self.lease_ms * HUNG_SHARE,
            State::PresumedHung | State::PresumedCut => late * CUT_PATIENCE,
        };
        silent > limit
    }
}
