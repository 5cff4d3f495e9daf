//! Liveness of machines: the observations passed to the failure detector, and the probes that it requests.

use super::ClusterState;
use crate::Time;
use crate::constants::PROBE_CONNECTION_DIVISOR;
use crate::job::{JobId, MachineId, Priority};
use crate::machine::{Machine, MachineState};
use crate::settings::{PlatformSettings, WorkerSettings};
use swiftsail_failure_detector::{FailureDetector, Liveness, MachineObservation};

impl ClusterState {
    /// Checks the liveness of all machines that should be up. Returns those to be probed now.
    pub fn check_machine_liveness(
        &mut self,
        platform: &PlatformSettings,
        now: Time,
    ) -> Vec<MachineId> {
        self.machines_checked_at = now;
        self.update_reports_missing(now);
        let WorkerSettings { report_s, lease_s, .. } = platform.workers;
        let max_probes = platform.machine_limits.max_connections / PROBE_CONNECTION_DIVISOR;
        let mut failure_detector = self.failure_detector.take().unwrap_or_else(|| {
            FailureDetector::new(self.leading_since, report_s, lease_s, max_probes)
        });
        let observed = self.machines.values();
        let observed = observed.filter_map(|m| Some((&m.id, self.observe_machine(m)?)));
        let (to_probe, presumptions) = failure_detector.check_machines(observed, now);
        self.failure_detector = Some(failure_detector);
        to_probe.iter().for_each(|id| self.begin_probe(id));
        for (id, state) in presumptions {
            tracing::debug!(machine = %id, ?state, "machine liveness changed");
            if state == Liveness::PresumedDead {
                self.events.record("machine", "presumed dead", &id, None);
            }
        }
        to_probe
    }

    fn update_reports_missing(&mut self, now: Time) {
        let lease_ms = self.lease_ms;
        let machines = self.machines.values_mut();
        let changed: Vec<MachineId> = machines
            .filter_map(|m| m.update_reports_missing(lease_ms, now).then(|| m.id.clone()))
            .collect();
        for id in changed {
            self.on_reports_missing_changed(&id, now);
        }
    }

    /// Records that a probe is sent to a machine. Its response will be newer than the newest message known now (the
    /// baseline), or the worker has restarted. The baseline is kept while earlier probes are open: the response to one
    /// of those may arrive first, and be older than messages received since.
    pub fn begin_probe(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.open_probes == 0 {
            machine.probe_baseline = Some(machine.last_message);
        }
        machine.open_probes += 1;
    }

    /// The observation of a machine for the failure detector. None: it is being returned, or need not be up, since it
    /// has neither contacted this leader nor has tasks from an earlier one.
    pub fn observe_machine<'a>(&self, machine: &'a Machine) -> Option<MachineObservation<'a>> {
        let should_be_up = machine.last_contact_at.is_some() || !machine.tasks.is_empty();
        if !should_be_up || machine.state() == MachineState::Terminating {
            return None;
        }
        let priority_of = |id: &JobId| self.jobs.get(id).map(|job| job.spec.priority);
        let mut jobs = machine.tasks.jobs();
        let zone = machine.zone.as_str();
        Some(MachineObservation {
            zone,
            reporting_controller: machine.forwarded_by.as_deref(),
            zone_is_reachable: self.reachable_zones.contains(zone),
            last_contact_at: machine.last_contact_at,
            has_production_work: jobs.any(|job| priority_of(job) == Some(Priority::Production)),
            probe_requested: !machine.inbound.is_reachable(),
        })
    }
}
