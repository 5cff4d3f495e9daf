//! One state machine for each silent machine, and the pattern of all.

use crate::Time;
use crate::constants::{
    CONTROLLER_FAILOVER_MS, DEAD_RETURN_LEASE_SHARE, FAILED_PROBES_THRESHOLD,
    HUNG_RETURN_LEASE_SHARE, INITIAL_PROBE_DELAY_MS, INTERVAL_EWMA_WEIGHT, LATE_DEVIATIONS,
    LATE_SLACK_MS, MIN_PARTITION_MACHINES, MS_PER_S, PARTITION_GRACE_FACTOR,
    PARTITION_SILENT_SHARE, PROBE_INTERVAL_MS, REDIRECT_GRACE_MS, REPORT_JITTER_SHARE,
    SILENT_RETURN_LEASE_SHARE, SLOW_PROBE_INTERVAL_MS,
};
use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Where a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It reports as it should.
    Alive,
    /// A report is late.
    Late,
    /// Late beyond what its intervals explain: it is asked directly.
    Suspected,
    /// It takes no connection, while others around it go on.
    PresumedDead,
    /// Everything in its zone, or of its controller, is silent with it.
    PresumedPartitioned,
    /// It takes connections and answers nothing.
    PresumedHung,
}

/// What came of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answered.
    Answered,
    /// The connection was refused or reset: the machine or something before it is there.
    Refused,
    /// It took the connection and gave no answer.
    NoResponse,
    /// No connection came about.
    NoConnection,
}

/// What is known of a machine from outside this package.
#[derive(Debug, Clone, Copy)]
pub struct MachineObservation<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// The controller that hears it; none: the leader itself, or nobody yet.
    pub reporting_controller: Option<&'a str>,
    /// A controller in its zone is heard: the zone is not cut off.
    pub zone_is_reachable: bool,
    /// When it was last heard under this term; none: not yet, and it should be up.
    pub last_contact_at: Option<Time>,
    /// Production work is bound to it.
    pub has_production_work: bool,
    /// Its hearing or its numbers are in doubt: it is asked directly although it reports.
    pub probe_requested: bool,
}

/// What is remembered of a machine.
#[derive(Debug, Clone, Copy)]
pub struct MonitoredMachine {
    liveness: Liveness,
    since: Time,
    /// Last report, and learned interval and deviation, ms.
    last_report_at: Time,
    mean_interval: f32,
    interval_deviation: f32,
    failed_probes: u8,
    accepts_without_answer: bool,
    probed_at: Time,
    /// When it was last presumed cut off.
    partition_ended_at: Time,
    last_check: u64,
}

impl MonitoredMachine {
    /// Where it stands.
    pub fn liveness(&self) -> Liveness {
        self.liveness
    }

    /// Since when.
    pub fn since(&self) -> Time {
        self.since
    }

    /// The one function that changes the state. True if it was another.
    fn advance_liveness(&mut self, to: Liveness, now: Time) -> bool {
        let new = self.liveness != to;
        if new {
            // Probes that failed in a cut say nothing once it has ended.
            if self.liveness == Liveness::PresumedPartitioned {
                (self.failed_probes, self.accepts_without_answer, self.partition_ended_at) =
                    (0, false, now);
            }
            (self.liveness, self.since) = (to, now);
        }
        new
    }

    fn record_report(&mut self, heard: Time) {
        if heard <= self.last_report_at {
            return;
        }
        if self.last_report_at > 0 {
            let off = (heard - self.last_report_at) as f32 - self.mean_interval;
            self.mean_interval += off * INTERVAL_EWMA_WEIGHT as f32;
            self.interval_deviation +=
                (off.abs() - self.interval_deviation) * INTERVAL_EWMA_WEIGHT as f32;
        }
        self.last_report_at = heard;
        (self.failed_probes, self.accepts_without_answer) = (0, false);
    }
}

/// The detector of one term.
#[derive(Debug)]
pub struct FailureDetector<K> {
    /// When the term began: nobody is late before it has had time to find the leader.
    since: Time,
    report_period_ms: f64,
    lease_ms: f64,
    machines: FxHashMap<K, MonitoredMachine>,
    /// Probes on their way, and how many may be.
    probes_in_flight: usize,
    max_probes_in_flight: usize,
    check_count: u64,
}

impl<K: Clone + Eq + Hash> FailureDetector<K> {
    /// A detector for a term that began at `since`; report period and lease in s. So many probes may be
    /// on their way at once.
    pub fn new(
        since: Time,
        report_s: f64,
        lease_s: f64,
        max_probes_in_flight: usize,
    ) -> FailureDetector<K> {
        FailureDetector {
            since,
            report_period_ms: report_s * MS_PER_S,
            lease_ms: lease_s * MS_PER_S,
            machines: FxHashMap::default(),
            probes_in_flight: 0,
            max_probes_in_flight,
            check_count: 0,
        }
    }

    /// What is remembered of a machine.
    pub fn get(&self, id: &K) -> Option<&MonitoredMachine> {
        self.machines.get(id)
    }

    /// A probe has ended. An answer is news for whoever takes the report; here it ends the doubt.
    pub fn on_probe_outcome(&mut self, id: &K, probe: ProbeOutcome) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        let Some(member) = self.machines.get_mut(id) else { return };
        match probe {
            ProbeOutcome::Answered => {
                (member.failed_probes, member.accepts_without_answer) = (0, false)
            }
            // Something answers for it: that is neither death nor a hang.
            ProbeOutcome::Refused => member.failed_probes = 0,
            ProbeOutcome::NoResponse => {
                (member.failed_probes, member.accepts_without_answer) =
                    (member.failed_probes.saturating_add(1), true)
            }
            ProbeOutcome::NoConnection => {
                member.failed_probes = member.failed_probes.saturating_add(1)
            }
        }
    }

    /// Time for which a machine has been silent, ms, and after which that is no jitter.
    fn silence_and_tolerance_ms(
        &self,
        member: &MonitoredMachine,
        heard: Option<Time>,
        now: Time,
    ) -> (f64, f64) {
        let usual = self.report_period_ms * (1.0 + REPORT_JITTER_SHARE) + LATE_SLACK_MS;
        match heard {
            Some(at) => {
                let learned = f64::from(
                    member.mean_interval + LATE_DEVIATIONS as f32 * member.interval_deviation,
                );
                (now.saturating_sub(at) as f64, usual.max(learned))
            }
            None => (now.saturating_sub(self.since) as f64, usual),
        }
    }

    /// Looks at all machines: which to ask now, and which verdicts are new. Costs a look at each machine
    /// and memory for those known alone.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub fn check_machines<'a>(
        &mut self,
        machines: impl Iterator<Item = (&'a K, MachineObservation<'a>)> + Clone,
        now: Time,
    ) -> (Vec<K>, Vec<(K, Liveness)>)
    where
        K: 'a,
    {
        self.check_count += 1;
        let (round, report_ms) = (self.check_count, self.report_period_ms);
        // First pass: who is silent, and where.
        let mut zones: FxHashMap<&str, (usize, usize)> = FxHashMap::default();
        let mut vias: FxHashMap<Option<&str>, (usize, usize)> = FxHashMap::default();
        for (id, seen) in machines.clone() {
            let member = self.machines.entry(id.clone()).or_insert(MonitoredMachine {
                liveness: Liveness::Alive,
                since: now,
                last_report_at: 0,
                mean_interval: report_ms as f32,
                interval_deviation: (report_ms * REPORT_JITTER_SHARE / 2.0) as f32,
                failed_probes: 0,
                accepts_without_answer: false,
                probed_at: 0,
                partition_ended_at: 0,
                last_check: round,
            });
            member.last_check = round;
            if let Some(heard) = seen.last_contact_at {
                member.record_report(heard);
            }
            let member = *member;
            let (silent, usual) = self.silence_and_tolerance_ms(&member, seen.last_contact_at, now);
            let silent = usize::from(silent > usual);
            let count = |entry: &mut (usize, usize)| {
                entry.0 += 1;
                entry.1 += silent;
            };
            count(zones.entry(seen.zone).or_default());
            if seen.last_contact_at.is_some() {
                count(vias.entry(seen.reporting_controller).or_default());
            }
        }
        self.machines.retain(|_, m| m.last_check == round);
        let cut = |of: Option<&(usize, usize)>| {
            of.is_some_and(|(all, silent)| {
                *all >= MIN_PARTITION_MACHINES
                    && *silent as f64 >= *all as f64 * PARTITION_SILENT_SHARE
            })
        };
        // Second pass: what each silence means.
        let (mut ask, mut verdicts) = (Vec::new(), Vec::new());
        for (id, seen) in machines {
            let Some(&member) = self.machines.get(id) else { continue };
            let (silent, usual) = self.silence_and_tolerance_ms(&member, seen.last_contact_at, now);
            // All workers of a controller fall silent when it ends or is cut off from them; those that
            // live have found another by now, or will in a moment.
            let moving =
                seen.last_contact_at.is_some() && silent <= usual + 2.0 * CONTROLLER_FAILOVER_MS;
            let deaf = moving && cut(vias.get(&seen.reporting_controller));
            let apart = !seen.zone_is_reachable && cut(zones.get(seen.zone));
            let state = if silent <= usual {
                Liveness::Alive
            } else if deaf || apart {
                Liveness::PresumedPartitioned
            } else if member.liveness == Liveness::PresumedPartitioned {
                Liveness::Suspected
            } else if member.failed_probes >= FAILED_PROBES_THRESHOLD {
                if member.accepts_without_answer {
                    Liveness::PresumedHung
                } else {
                    Liveness::PresumedDead
                }
            } else if silent <= usual + report_ms * REPORT_JITTER_SHARE {
                Liveness::Late
            } else {
                Liveness::Suspected
            };
            // Who was never heard under this term is asked before it is late: it may not have found this
            // leader yet, and a predecessor may have known that it is dead.
            let early = seen.last_contact_at.is_none() && silent > INITIAL_PROBE_DELAY_MS;
            let pause = match state {
                Liveness::Alive | Liveness::Late if early || seen.probe_requested => {
                    PROBE_INTERVAL_MS
                }
                Liveness::Alive | Liveness::Late => u64::MAX,
                Liveness::Suspected | Liveness::PresumedDead => PROBE_INTERVAL_MS,
                Liveness::PresumedPartitioned | Liveness::PresumedHung => SLOW_PROBE_INTERVAL_MS,
            };
            let Some(member) = self.machines.get_mut(id) else { continue };
            if member.advance_liveness(state, now)
                && state != Liveness::Suspected
                && state != Liveness::Alive
            {
                verdicts.push((id.clone(), state));
            }
            let due = pause < u64::MAX && now >= member.probed_at + pause;
            if due && self.probes_in_flight < self.max_probes_in_flight {
                member.probed_at = now;
                self.probes_in_flight += 1;
                ask.push(id.clone());
            }
        }
        (ask, verdicts)
    }

    /// Whether a machine should be returned by now: a decision with a cost. What is dead holds capacity
    /// and work; what hangs or is cut off may go on, with what it has done.
    pub fn should_terminate(&self, id: &K, seen: MachineObservation, now: Time) -> bool {
        let Some(member) = self.machines.get(id) else { return false };
        let (silent, usual) = self.silence_and_tolerance_ms(member, seen.last_contact_at, now);
        // Silence in a cut that has ended counts from its end: who lives reports soon.
        let silent = silent.min(now.saturating_sub(member.partition_ended_at) as f64);
        let detour = usual + REDIRECT_GRACE_MS;
        let late = self.lease_ms * SILENT_RETURN_LEASE_SHARE;
        let limit = match member.liveness {
            Liveness::Alive | Liveness::Late => return false,
            Liveness::Suspected => late,
            Liveness::PresumedDead if seen.has_production_work => detour,
            Liveness::PresumedDead => detour.max(self.lease_ms * DEAD_RETURN_LEASE_SHARE),
            Liveness::PresumedHung if seen.has_production_work => {
                self.lease_ms * HUNG_RETURN_LEASE_SHARE
            }
            Liveness::PresumedHung | Liveness::PresumedPartitioned => late * PARTITION_GRACE_FACTOR,
        };
        silent > limit
    }
}
