//! State service and cloud, and what becomes of calls on the way.

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
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn handle_store_call(&mut self, n: usize, life: u64, id: u64, call: StoreCall) {
        let away = self.is_store_unavailable() || self.is_partitioned(n, |c| c.store) && life != 0;
        if let StoreCall::Watch { prefix, from } = &call {
            self.watches.push((n, life, id, prefix.clone(), *from, self.now + 10_000));
            return self.answer_watches();
        }
        if let Some(until) = self.partition_releases_at(n, |c| c.store).filter(|_| life != 0) {
            let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
            self.schedule(
                self.now + 1_500,
                SimulationEvent::DeliverToController(n, life, Box::new(outcome)),
            );
            if matches!(call, StoreCall::Commit(_)) {
                self.schedule(until, SimulationEvent::StoreCall(n, 0, 0, call));
            }
            return;
        }
        if !away
            && life != 0
            && let StoreCall::Commit(commit) = &call
        {
            match self.draw_transaction_fate(n, commit) {
                TransactionFate::AsConfigured => {}
                fate => return self.apply_transaction_fate(fate, n, life, id, call),
            }
        }
        let back = self.now + self.draw_message_delay();
        // Slow answers: some come after their caller has given up, of what was done at once or only then.
        if self.store_slowdowns.iter().any(|(from, to)| (*from..*to).contains(&self.now))
            && life != 0
            && !away
        {
            let after = self.rng.random_range(0..3_000);
            if after > 1_500 {
                let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
                self.schedule(
                    self.now + 1_500,
                    SimulationEvent::DeliverToController(n, life, Box::new(outcome)),
                );
                if matches!(call, StoreCall::Commit(_)) {
                    self.schedule(self.now + after * 4, SimulationEvent::StoreCall(n, 0, 0, call));
                }
                return;
            }
            let outcome = Event::StoreResponse(id, self.execute_store_call(&call));
            self.schedule(
                self.now + after,
                SimulationEvent::DeliverToController(n, life, Box::new(outcome)),
            );
            return self.answer_watches();
        }
        if away {
            let event = Event::StoreResponse(id, StoreOutcome::Unavailable);
            return self
                .schedule(back, SimulationEvent::DeliverToController(n, life, Box::new(event)));
        }
        if self.store_limited && life != 0 {
            let changes = match &call {
                StoreCall::Commit(commit) => commit.mutations.len(),
                _ => 0,
            };
            if !self.store.admit(changes, self.now) {
                *self.fault_counts.entry("limited").or_default() += 1;
                return self.schedule(
                    back,
                    SimulationEvent::DeliverToController(
                        n,
                        life,
                        Box::new(Event::StoreResponse(id, StoreOutcome::RateLimited)),
                    ),
                );
            }
        }
        // Lost on the way, lost on the way back, or applied late after the caller gave up.
        let fate =
            if self.are_random_faults_over() { 1.0 } else { self.rng.random_range(0.0..1.0) };
        if fate < self.fault_rates.message_loss {
            let outcome = Event::StoreResponse(id, StoreOutcome::Unknown);
            self.schedule(
                self.now + 1_500,
                SimulationEvent::DeliverToController(n, life, Box::new(outcome)),
            );
            if fate < self.fault_rates.message_loss / 2.0 && matches!(call, StoreCall::Commit(_)) {
                let at = self.now + self.rng.random_range(1..20_000);
                // To a life that never was: applied, told to nobody.
                return self.schedule(at, SimulationEvent::StoreCall(n, 0, 0, call));
            }
            return;
        }
        let outcome = self.execute_store_call(&call);
        let lost = self.is_message_lost();
        let (at, outcome) =
            if lost { (self.now + 1_500, StoreOutcome::Unknown) } else { (back, outcome) };
        self.schedule(
            at,
            SimulationEvent::DeliverToController(
                n,
                life,
                Box::new(Event::StoreResponse(id, outcome)),
            ),
        );
        self.answer_watches();
    }

    /// The store's answer to a call.
    pub(super) fn execute_store_call(&mut self, call: &StoreCall) -> StoreOutcome {
        let now = self.now;
        self.store.expire_leases(now, false);
        let reads = matches!(
            call,
            StoreCall::Get(_) | StoreCall::List { .. } | StoreCall::ReadChanges { .. }
        );
        self.store.read_count += usize::from(reads);
        match call {
            StoreCall::Get(key) => match self.store.get(key) {
                Some(pair) => StoreOutcome::Found(pair.clone()),
                None => StoreOutcome::Missing { revision: self.store.revision() },
            },
            // A small page, so that paging is exercised.
            StoreCall::List { prefix, from } => {
                StoreOutcome::Page(self.store.list(prefix, from.as_deref(), 7))
            }
            StoreCall::Commit(commit) => match self.store.apply_transaction(commit) {
                TransactionResult::Committed(epoch) => StoreOutcome::Committed(epoch),
                TransactionResult::PreconditionFailed(keys) => StoreOutcome::Conflict(keys),
                TransactionResult::LeaseNotFound => StoreOutcome::NoSuchLease,
                TransactionResult::Malformed(why) => {
                    self.count_fault("malformed");
                    StoreOutcome::Malformed(why)
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
                    Ok(news) => StoreOutcome::Changes(
                        news.unwrap_or_else(|| self.store.empty_watch_response()),
                    ),
                }
            }
            StoreCall::Watch { .. } => StoreOutcome::Unknown,
        }
    }

    pub(super) fn execute_cloud_call(&mut self, call: &cloud::CloudCall) -> cloud::CloudOutcome {
        use cloud::{CloudCall, CloudOutcome};
        let now = self.now;
        match call {
            CloudCall::ListTypes => CloudOutcome::Types(self.cluster.cloud.list_machine_types(now)),
            CloudCall::Provision(rent) => {
                let before: BTreeSet<String> = self.cluster.workers.keys().cloned().collect();
                let Some(names) = self.cluster.provision(rent, now) else {
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

    pub(super) fn answer_watches(&mut self) {
        // An open watch waits through an outage, and through a refusal of its controller.
        if self.is_store_unavailable() {
            return;
        }
        let refused: Vec<usize> =
            (0..CONTROLLER_COUNT).filter(|n| self.is_partitioned(*n, |c| c.store)).collect();
        let mut ready = Vec::new();
        let (store, now) = (&self.store, self.now);
        self.watches.retain(|(n, life, id, prefix, from, until)| {
            if refused.contains(n) {
                return true;
            }
            let outcome = match store.changes_since(prefix, *from) {
                Err(CompactedRevision) => StoreOutcome::Compacted,
                Ok(Some(news)) => StoreOutcome::Changes(news),
                Ok(None) if now >= *until => StoreOutcome::Changes(store.empty_watch_response()),
                Ok(None) => return true,
            };
            ready.push((*n, *life, *id, outcome));
            false
        });
        for (n, life, id, outcome) in ready {
            let at = self.now + self.draw_message_delay();
            self.schedule(
                at,
                SimulationEvent::DeliverToController(
                    n,
                    life,
                    Box::new(Event::StoreResponse(id, outcome)),
                ),
            );
        }
    }
}
