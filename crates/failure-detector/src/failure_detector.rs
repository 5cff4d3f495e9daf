//! One state machine for each machine, and the detection of partitions from which machines are silent together.

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

/// Presumed state of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It reports in time.
    Alive,
    /// A report is late.
    Late,
    /// Its report is later than its intervals explain: it is probed.
    Suspected,
    /// It accepts no connection, while others in its zone and of its controller report.
    PresumedDead,
    /// Nearly all machines of its zone, or of its controller, are silent.
    PresumedPartitioned,
    /// It accepts connections and does not respond.
    PresumedHung,
}

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It responded.
    Answered,
    /// The connection was refused or reset: the machine, or something in front of it, is up.
    Refused,
    /// It accepted the connection and did not respond in time.
    NoResponse,
    /// No connection was established in time.
    NoConnection,
}

/// What the caller knows of a machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineObservation<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// The controller that it reports to; none: the leader itself, or none yet.
    pub reporting_controller: Option<&'a str>,
    /// A controller in its zone is reachable: the zone is not partitioned.
    pub zone_is_reachable: bool,
    /// When a message of any kind last proved it alive under this term; none: not yet, although it should be up.
    pub last_contact_at: Option<Time>,
    /// A task of a production job is bound to it.
    pub has_production_work: bool,
    /// It is to be probed although it reports: its inbound reachability is in doubt.
    pub probe_requested: bool,
}

/// What the detector remembers of a machine.
#[derive(Debug, Clone, Copy)]
pub struct MonitoredMachine {
    liveness: Liveness,
    since: Time,
    last_contact_at: Time,
    /// Learned mean of the intervals between contacts, ms.
    mean_interval: f32,
    /// Learned mean absolute deviation from it, ms.
    interval_deviation: f32,
    /// Consecutive failed probes.
    failed_probes: u8,
    /// A probe since the last contact was accepted and not answered.
    accepts_without_answer: bool,
    probed_at: Time,
    /// When it last ceased to be presumed partitioned.
    partition_ended_at: Time,
    /// Number of the last check that included it.
    last_check: u64,
}

impl MonitoredMachine {
    /// Its presumed state.
    pub fn liveness(&self) -> Liveness {
        self.liveness
    }

    /// When it entered that state.
    pub fn since(&self) -> Time {
        self.since
    }

    /// The one function that changes the presumed state. Returns whether it changed.
    fn advance_liveness(&mut self, to: Liveness, now: Time) -> bool {
        let changed = self.liveness != to;
        if changed {
            // Probes that failed during a partition prove nothing once it has ended.
            if self.liveness == Liveness::PresumedPartitioned {
                (self.failed_probes, self.accepts_without_answer, self.partition_ended_at) =
                    (0, false, now);
            }
            (self.liveness, self.since) = (to, now);
        }
        changed
    }

    fn record_contact(&mut self, at: Time) {
        if at <= self.last_contact_at {
            return;
        }
        if self.last_contact_at > 0 {
            let error = (at - self.last_contact_at) as f32 - self.mean_interval;
            self.mean_interval += error * INTERVAL_EWMA_WEIGHT as f32;
            self.interval_deviation +=
                (error.abs() - self.interval_deviation) * INTERVAL_EWMA_WEIGHT as f32;
        }
        self.last_contact_at = at;
        (self.failed_probes, self.accepts_without_answer) = (0, false);
    }
}

/// The failure detector of one term.
#[derive(Debug)]
pub struct FailureDetector<K> {
    /// When the term began. The silence of a machine without contact counts from then: it needs time to find the
    /// leader.
    since: Time,
    report_period_ms: f64,
    lease_ms: f64,
    machines: FxHashMap<K, MonitoredMachine>,
    /// Probes that have not ended.
    probes_in_flight: usize,
    max_probes_in_flight: usize,
    check_count: u64,
}

impl<K: Clone + Eq + Hash> FailureDetector<K> {
    /// A detector for a term that began at `since`. `report_s` is the report period and `lease_s` the lease, both in s.
    /// At most `max_probes_in_flight` probes are open at once.
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

    /// What is remembered of a machine. None: it was not part of the last check.
    pub fn get(&self, id: &K) -> Option<&MonitoredMachine> {
        self.machines.get(id)
    }

    /// A probe has ended. A response clears earlier failures; the report that it carries is for the caller to process.
    pub fn on_probe_outcome(&mut self, id: &K, probe: ProbeOutcome) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        let Some(machine) = self.machines.get_mut(id) else { return };
        match probe {
            ProbeOutcome::Answered => {
                (machine.failed_probes, machine.accepts_without_answer) = (0, false)
            }
            // Something there refuses connections: it is neither dead nor hung.
            ProbeOutcome::Refused => machine.failed_probes = 0,
            ProbeOutcome::NoResponse => {
                (machine.failed_probes, machine.accepts_without_answer) =
                    (machine.failed_probes.saturating_add(1), true)
            }
            ProbeOutcome::NoConnection => {
                machine.failed_probes = machine.failed_probes.saturating_add(1)
            }
        }
    }

    /// For how long a machine has been silent, and how long a silence jitter explains, both in ms.
    fn silence_and_tolerance_ms(
        &self,
        machine: &MonitoredMachine,
        last_contact_at: Option<Time>,
        now: Time,
    ) -> (f64, f64) {
        let tolerated = self.report_period_ms * (1.0 + REPORT_JITTER_SHARE) + LATE_SLACK_MS;
        match last_contact_at {
            Some(at) => {
                let learned = f64::from(
                    machine.mean_interval + LATE_DEVIATIONS as f32 * machine.interval_deviation,
                );
                (now.saturating_sub(at) as f64, tolerated.max(learned))
            }
            None => (now.saturating_sub(self.since) as f64, tolerated),
        }
    }

    /// Checks all machines: returns which to probe now, and which have just been presumed other than alive or
    /// suspected. Machines that are not among `machines` are forgotten. Takes time linear in the number of machines.
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
        let (check, report_ms) = (self.check_count, self.report_period_ms);
        // First pass: counts machines and silent ones, by zone and by reporting controller.
        let mut zones: FxHashMap<&str, (usize, usize)> = FxHashMap::default();
        let mut controllers: FxHashMap<Option<&str>, (usize, usize)> = FxHashMap::default();
        for (id, observation) in machines.clone() {
            let machine = self.machines.entry(id.clone()).or_insert(MonitoredMachine {
                liveness: Liveness::Alive,
                since: now,
                last_contact_at: 0,
                mean_interval: report_ms as f32,
                interval_deviation: (report_ms * REPORT_JITTER_SHARE / 2.0) as f32,
                failed_probes: 0,
                accepts_without_answer: false,
                probed_at: 0,
                partition_ended_at: 0,
                last_check: check,
            });
            machine.last_check = check;
            if let Some(at) = observation.last_contact_at {
                machine.record_contact(at);
            }
            let machine = *machine;
            let (silent_ms, tolerated_ms) =
                self.silence_and_tolerance_ms(&machine, observation.last_contact_at, now);
            let silent = usize::from(silent_ms > tolerated_ms);
            let count = |(all, silent_ones): &mut (usize, usize)| {
                *all += 1;
                *silent_ones += silent;
            };
            count(zones.entry(observation.zone).or_default());
            if observation.last_contact_at.is_some() {
                count(controllers.entry(observation.reporting_controller).or_default());
            }
        }
        self.machines.retain(|_, m| m.last_check == check);
        let is_partitioned = |counts: Option<&(usize, usize)>| {
            counts.is_some_and(|(all, silent)| {
                *all >= MIN_PARTITION_MACHINES
                    && *silent as f64 >= *all as f64 * PARTITION_SILENT_SHARE
            })
        };
        // Second pass: the presumed state of each machine.
        let (mut to_probe, mut presumptions) = (Vec::new(), Vec::new());
        for (id, observation) in machines {
            let Some(&machine) = self.machines.get(id) else { continue };
            let (silent_ms, tolerated_ms) =
                self.silence_and_tolerance_ms(&machine, observation.last_contact_at, now);
            // When a controller crashes or is partitioned from its workers, all of them fall silent. Live ones fail
            // over to another within this time.
            let may_be_failing_over = observation.last_contact_at.is_some()
                && silent_ms <= tolerated_ms + 2.0 * CONTROLLER_FAILOVER_MS;
            let controller_partitioned = may_be_failing_over
                && is_partitioned(controllers.get(&observation.reporting_controller));
            let zone_partitioned =
                !observation.zone_is_reachable && is_partitioned(zones.get(observation.zone));
            let state = if silent_ms <= tolerated_ms {
                Liveness::Alive
            } else if controller_partitioned || zone_partitioned {
                Liveness::PresumedPartitioned
            } else if machine.liveness == Liveness::PresumedPartitioned {
                Liveness::Suspected
            } else if machine.failed_probes >= FAILED_PROBES_THRESHOLD {
                if machine.accepts_without_answer {
                    Liveness::PresumedHung
                } else {
                    Liveness::PresumedDead
                }
            } else if silent_ms <= tolerated_ms + report_ms * REPORT_JITTER_SHARE {
                Liveness::Late
            } else {
                Liveness::Suspected
            };
            // A machine without contact under this term is probed before it is late: it may not have found this leader
            // yet, and the previous leader may have known that it is dead.
            let probe_unseen =
                observation.last_contact_at.is_none() && silent_ms > INITIAL_PROBE_DELAY_MS;
            let interval_ms = match state {
                Liveness::Alive | Liveness::Late if probe_unseen || observation.probe_requested => {
                    PROBE_INTERVAL_MS
                }
                Liveness::Alive | Liveness::Late => u64::MAX,
                Liveness::Suspected | Liveness::PresumedDead => PROBE_INTERVAL_MS,
                Liveness::PresumedPartitioned | Liveness::PresumedHung => SLOW_PROBE_INTERVAL_MS,
            };
            let Some(machine) = self.machines.get_mut(id) else { continue };
            if machine.advance_liveness(state, now)
                && state != Liveness::Suspected
                && state != Liveness::Alive
            {
                presumptions.push((id.clone(), state));
            }
            let due = interval_ms < u64::MAX && now >= machine.probed_at + interval_ms;
            if due && self.probes_in_flight < self.max_probes_in_flight {
                machine.probed_at = now;
                self.probes_in_flight += 1;
                to_probe.push(id.clone());
            }
        }
        (to_probe, presumptions)
    }

    /// Whether a machine has been silent for long enough to be returned to the cloud. Either choice has a cost: a dead
    /// machine blocks capacity and its tasks, while a hung or partitioned one may yet continue them.
    pub fn should_terminate(&self, id: &K, observation: MachineObservation, now: Time) -> bool {
        let Some(machine) = self.machines.get(id) else { return false };
        let (silent_ms, tolerated_ms) =
            self.silence_and_tolerance_ms(machine, observation.last_contact_at, now);
        // After a partition, silence counts from its end: live machines report soon.
        let silent_ms = silent_ms.min(now.saturating_sub(machine.partition_ended_at) as f64);
        let redirected_ms = tolerated_ms + REDIRECT_GRACE_MS;
        let silent_limit_ms = self.lease_ms * SILENT_RETURN_LEASE_SHARE;
        let limit_ms = match machine.liveness {
            Liveness::Alive | Liveness::Late => return false,
            Liveness::Suspected => silent_limit_ms,
            Liveness::PresumedDead if observation.has_production_work => redirected_ms,
            Liveness::PresumedDead => redirected_ms.max(self.lease_ms * DEAD_RETURN_LEASE_SHARE),
            Liveness::PresumedHung if observation.has_production_work => {
                self.lease_ms * HUNG_RETURN_LEASE_SHARE
            }
            Liveness::PresumedHung | Liveness::PresumedPartitioned => {
                silent_limit_ms * PARTITION_GRACE_FACTOR
            }
        };
        silent_ms > limit_ms
    }
}
