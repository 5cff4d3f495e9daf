//! Delivers the controllers' calls to the state service and the cloud, with the faults that calls and responses meet.

use super::{CONTROLLER_COUNT, Simulation, SimulationEvent, TransactionFate};
use crate::constants::MAX_MACHINE_PAGE;
use crate::store::{CompactedRevision, TransactionResult};
use rand::Rng;
use std::collections::BTreeSet;
use swiftsail_controller::cloud;
use swiftsail_controller::controller::Event;
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_protocol::cloud::MachineNames;

impl Simulation {
    /// Executes a controller's call to the state service and schedules its response, subject to the current faults.
    /// Incarnation 0 stands for no process: such a call is only executed, and nobody receives its response.
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn handle_store_call(
        &mut self,
        n: usize,
        incarnation: u64,
        id: u64,
        call: StoreCall,
    ) {
        let unavailable =
            self.is_store_unavailable() || self.is_partitioned(n, |c| c.store) && incarnation != 0;
        if let StoreCall::Watch { prefix, from } = &call {
            self.watches.push((n, incarnation, id, prefix.clone(), *from, self.now + 10_000));
            return self.answer_watches();
        }
        if let Some(until) = self.partition_releases_at(n, |c| c.store).filter(|_| incarnation != 0)
        {
            let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
            self.schedule(
                self.now + 1_500,
                SimulationEvent::DeliverToController(n, incarnation, Box::new(outcome)),
            );
            if matches!(call, StoreCall::Commit(_)) {
                self.schedule(until, SimulationEvent::StoreCall(n, 0, 0, call));
            }
            return;
        }
        if !unavailable
            && incarnation != 0
            && let StoreCall::Commit(transaction) = &call
        {
            match self.draw_transaction_fate(n, transaction) {
                TransactionFate::AsConfigured => {}
                fate => return self.apply_transaction_fate(fate, n, incarnation, id, call),
            }
        }
        let response_at = self.now + self.draw_message_delay();
        // Slow responses: those that take longer than the caller's timeout count as unknown, and their transactions are
        // applied only after that.
        if self.store_slowdowns.iter().any(|(from, to)| (*from..*to).contains(&self.now))
            && incarnation != 0
            && !unavailable
        {
            let delay_ms = self.rng.random_range(0..3_000);
            if delay_ms > 1_500 {
                let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
                self.schedule(
                    self.now + 1_500,
                    SimulationEvent::DeliverToController(n, incarnation, Box::new(outcome)),
                );
                if matches!(call, StoreCall::Commit(_)) {
                    self.schedule(
                        self.now + delay_ms * 4,
                        SimulationEvent::StoreCall(n, 0, 0, call),
                    );
                }
                return;
            }
            let outcome = Event::StoreResponse(id, self.execute_store_call(&call));
            self.schedule(
                self.now + delay_ms,
                SimulationEvent::DeliverToController(n, incarnation, Box::new(outcome)),
            );
            return self.answer_watches();
        }
        if unavailable {
            let event = Event::StoreResponse(id, StoreOutcome::Unavailable);
            return self.schedule(
                response_at,
                SimulationEvent::DeliverToController(n, incarnation, Box::new(event)),
            );
        }
        if self.store_limited && incarnation != 0 {
            let mutations = match &call {
                StoreCall::Commit(transaction) => transaction.mutations.len(),
                _ => 0,
            };
            if !self.store.admit(mutations, self.now) {
                *self.fault_counts.entry("limited").or_default() += 1;
                return self.schedule(
                    response_at,
                    SimulationEvent::DeliverToController(
                        n,
                        incarnation,
                        Box::new(Event::StoreResponse(id, StoreOutcome::RateLimited)),
                    ),
                );
            }
        }
        // The request is lost, the response is lost, or a transaction is applied after the caller's timeout.
        let draw =
            if self.are_random_faults_over() { 1.0 } else { self.rng.random_range(0.0..1.0) };
        if draw < self.fault_rates.message_loss {
            let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
            self.schedule(
                self.now + 1_500,
                SimulationEvent::DeliverToController(n, incarnation, Box::new(outcome)),
            );
            if draw < self.fault_rates.message_loss / 2.0 && matches!(call, StoreCall::Commit(_)) {
                let at = self.now + self.rng.random_range(1..20_000);
                // Incarnation 0: the transaction is applied, and nobody receives the response.
                return self.schedule(at, SimulationEvent::StoreCall(n, 0, 0, call));
            }
            return;
        }
        let outcome = self.execute_store_call(&call);
        let lost = self.is_message_lost();
        let (deliver_at, outcome) =
            if lost { (self.now + 1_500, StoreOutcome::Unknown) } else { (response_at, outcome) };
        self.schedule(
            deliver_at,
            SimulationEvent::DeliverToController(
                n,
                incarnation,
                Box::new(Event::StoreResponse(id, outcome)),
            ),
        );
        self.answer_watches();
    }

    /// Executes a call on the store and returns its outcome.
    pub(super) fn execute_store_call(&mut self, call: &StoreCall) -> StoreOutcome {
        let now = self.now;
        self.store.expire_leases(now, false);
        let is_read = matches!(
            call,
            StoreCall::Get(_) | StoreCall::List { .. } | StoreCall::ReadChanges { .. }
        );
        self.store.read_count += usize::from(is_read);
        match call {
            StoreCall::Get(key) => match self.store.get(key) {
                Some(pair) => StoreOutcome::Found(pair.clone()),
                None => StoreOutcome::Missing { revision: self.store.revision() },
            },
            // Small pages, so that paging is exercised.
            StoreCall::List { prefix, from } => {
                StoreOutcome::Page(self.store.list(prefix, from.as_deref(), 7))
            }
            StoreCall::Commit(transaction) => match self.store.apply_transaction(transaction) {
                TransactionResult::Committed(revision) => StoreOutcome::Committed(revision),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(reason) => {
                    self.count_fault("malformed");
                    StoreOutcome::Malformed(reason)
                }
            },
            StoreCall::GrantLease { ttl_ms } => match self.store.create_lease(*ttl_ms, now) {
                Some(id) => StoreOutcome::LeaseGranted(id),
                None => StoreOutcome::Malformed("no such time to live".into()),
            },
            StoreCall::RenewLease(id) if self.store.renew_lease(*id, now) => {
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::RenewLease(_) => StoreOutcome::NoSuchLease,
            StoreCall::RevokeLease(id) => {
                self.store.revoke_lease(*id);
                StoreOutcome::LeaseGranted(*id)
            }
            StoreCall::ReadChanges { prefix, from } => {
                match self.store.changes_since(prefix, *from) {
                    Err(CompactedRevision) => StoreOutcome::Compacted,
                    Ok(changes) => StoreOutcome::Changes(
                        changes.unwrap_or_else(|| self.store.empty_watch_response()),
                    ),
                }
            }
            StoreCall::Watch { .. } => StoreOutcome::Unknown,
        }
    }

    /// Executes a call on the cloud and returns its outcome. Machines that it provisions start to step once booted.
    pub(super) fn execute_cloud_call(&mut self, call: &cloud::CloudCall) -> cloud::CloudOutcome {
        use cloud::{CloudCall, CloudOutcome};
        let now = self.now;
        match call {
            CloudCall::ListTypes => CloudOutcome::Types(self.cluster.cloud.list_machine_types(now)),
            CloudCall::Provision(request) => {
                let before: BTreeSet<String> = self.cluster.workers.keys().cloned().collect();
                let Some(names) = self.cluster.provision(request, now) else {
                    return CloudOutcome::Malformed("no such type".into());
                };
                for name in names.iter().filter(|n| !before.contains(*n)) {
                    let at = self.cluster.workers[name].up_at;
                    if at < u64::MAX {
                        self.schedule(at, SimulationEvent::WorkerStep(name.clone()));
                    }
                }
                match names.is_empty() {
                    true => CloudOutcome::NoCapacity,
                    false => CloudOutcome::Provisioned(MachineNames { machines: names }),
                }
            }
            CloudCall::Return(names) => {
                self.cluster.terminate(names, false, now);
                CloudOutcome::Returned
            }
            CloudCall::ListMachines(from) => CloudOutcome::Listed(
                self.cluster.cloud.list_machines(from.as_deref(), MAX_MACHINE_PAGE, now),
            ),
        }
    }

    /// Schedules the responses of watches that have changes to report, whose revision is compacted, or that time out.
    pub(super) fn answer_watches(&mut self) {
        // An open watch persists through an outage and through a partition of its controller.
        if self.is_store_unavailable() {
            return;
        }
        let cut_off: Vec<usize> =
            (0..CONTROLLER_COUNT).filter(|n| self.is_partitioned(*n, |c| c.store)).collect();
        let mut ready = Vec::new();
        let (store, now) = (&self.store, self.now);
        self.watches.retain(|(n, incarnation, id, prefix, from, until)| {
            if cut_off.contains(n) {
                return true;
            }
            let outcome = match store.changes_since(prefix, *from) {
                Err(CompactedRevision) => StoreOutcome::Compacted,
                Ok(Some(changes)) => StoreOutcome::Changes(changes),
                Ok(None) if now >= *until => StoreOutcome::Changes(store.empty_watch_response()),
                Ok(None) => return true,
            };
            ready.push((*n, *incarnation, *id, outcome));
            false
        });
        for (n, incarnation, id, outcome) in ready {
            let at = self.now + self.draw_message_delay();
            self.schedule(
                at,
                SimulationEvent::DeliverToController(
                    n,
                    incarnation,
                    Box::new(Event::StoreResponse(id, outcome)),
                ),
            );
        }
    }
}
