//! Rental requests and machine returns that the cloud has not answered, markets that it refused lately, and machines
//! returned under this leader. `fleet` plans them, `controller` and `cloud` send them.

use super::ClusterState;
use crate::Time;
use crate::constants::{
    MAX_NO_CAPACITY_BACKOFF_MS, MAX_OPEN_PROVISIONING_REQUESTS, MAX_TERMINATED_HISTORY,
    MAX_TERMINATION_BATCH, NO_CAPACITY_BACKOFF_MS, TERMINATION_RETRY_MS,
};
use crate::job::MachineId;
use crate::machine::MachineState;
use rustc_hash::FxHashSet;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use swiftsail_failure_detector::constants::UNREACHABLE_RETURN_WINDOW_MS;
use swiftsail_protocol::cloud::ProvisionMachinesRequest;

/// A market: machine type, zone, and whether spot.
pub type Market = (String, String, bool);

/// Machines to rent.
#[derive(Debug, Clone, PartialEq)]
pub struct ProvisioningRequest {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on demand.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

impl ProvisioningRequest {
    fn market(&self) -> Market {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }

    /// The request to the cloud, under an idempotency key.
    pub fn to_wire(&self, request_id: &str) -> ProvisionMachinesRequest {
        ProvisionMachinesRequest {
            request_id: request_id.to_string(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count: self.count,
        }
    }
}

/// A rental request without an answer.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// What is asked for.
    pub request: ProvisioningRequest,
    /// When it was made.
    pub requested_at: Time,
    /// It was sent at least once: its idempotency key then stands for this number of machines, which must not change.
    pub was_sent: bool,
}

/// Hash of a machine's name.
fn name_hash(id: &MachineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Until when a market is not asked again, and for how long it was refused last.
#[derive(Debug, Default)]
struct Refusal {
    until: Time,
    backoff_ms: u64,
}

/// Rental requests and returns, and what is remembered of earlier ones.
#[derive(Debug, Default)]
pub struct Provisioning {
    /// Number of requests made, for idempotency keys.
    requests_made: u64,
    /// By idempotency key.
    open_requests: BTreeMap<String, OpenRequest>,
    refused: HashMap<Market, Refusal>,
    /// Machines whose return was sent and not answered.
    returning: BTreeSet<MachineId>,
    /// Machines whose return is to be sent.
    return_queue: BTreeSet<MachineId>,
    /// Of both, those that a cancellation needs gone in time: when each was last sent; 0: not yet.
    urgent_returns: BTreeMap<MachineId, Time>,
    /// Name hashes of machines returned, the oldest first.
    returned: VecDeque<u64>,
    /// The same, for look-up.
    returned_set: FxHashSet<u64>,
    /// When machines were returned lately because they were unreachable inbound.
    unreachable_returns: VecDeque<Time>,
    /// When the last listing of machines began.
    pub listed_at: Time,
    /// Pages of that listing are still being read.
    pub is_listing: bool,
    /// When machine types were last requested.
    pub types_requested_at: Time,
    /// When idle machines were last looked for.
    pub idle_checked_at: Time,
    /// When moves of replicas were last looked for.
    pub moves_checked_at: Time,
}

impl Provisioning {
    /// Rental requests without an answer, and when each was made.
    pub fn open_requests(&self) -> impl Iterator<Item = (&ProvisioningRequest, Time)> {
        self.open_requests.values().map(|open| (&open.request, open.requested_at))
    }

    /// Requests for the same market that were not sent yet, by idempotency key: their number of machines may still
    /// change.
    pub fn unsent_requests(
        &mut self,
        request: &ProvisioningRequest,
    ) -> impl Iterator<Item = (&String, &mut OpenRequest)> {
        let market = request.market();
        self.open_requests
            .iter_mut()
            .filter(move |(_, open)| !open.was_sent && open.request.market() == market)
    }

    /// Notes a request to be sent. Returns its idempotency key, made of the fencing token and a counter: no other request
    /// of any controller has the same.
    pub fn open_request(&mut self, token: u64, request: ProvisioningRequest, now: Time) -> String {
        self.requests_made += 1;
        let request_id = format!("s{token}-{}", self.requests_made);
        let open = OpenRequest { request, requested_at: now, was_sent: false };
        self.open_requests.insert(request_id.clone(), open);
        request_id
    }

    /// A request had no answer, and is to be sent again under the same idempotency key. Returns false if there is no such
    /// request.
    pub fn mark_unanswered(&mut self, request_id: &str) -> bool {
        self.open_requests.get_mut(request_id).map(|open| open.was_sent = true).is_some()
    }

    /// Whether a machine was returned under this leader. Only hashes of names are kept: with 16,000 of them the chance that
    /// a machine is taken for another is one in a million million.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.returned_set.contains(&name_hash(id))
    }

    fn note_returned(&mut self, id: &MachineId) {
        let hash = name_hash(id);
        if self.returned_set.insert(hash) {
            self.returned.push_back(hash);
        }
        if self.returned.len() > MAX_TERMINATED_HISTORY
            && let Some(oldest) = self.returned.pop_front()
        {
            self.returned_set.remove(&oldest);
        }
    }

    /// Number of machines returned lately because they were unreachable inbound.
    pub fn recent_unreachable_returns(&self, now: Time) -> usize {
        self.unreachable_returns
            .iter()
            .filter(|at| now < **at + UNREACHABLE_RETURN_WINDOW_MS)
            .count()
    }

    /// A machine is returned because it is unreachable inbound.
    pub fn record_unreachable_return(&mut self, now: Time) {
        self.unreachable_returns.retain(|at| now < *at + UNREACHABLE_RETURN_WINDOW_MS);
        self.unreachable_returns.push_back(now);
    }

    /// Whether a market may be asked for machines: it was not refused lately, and few requests for it are open.
    pub fn may_rent(&self, kind: &str, zone: &str, spot: bool, now: Time) -> bool {
        let market = (kind.to_string(), zone.to_string(), spot);
        let requests = self.open_requests.values().map(|open| &open.request);
        let open = requests.filter(|r| r.machine_type == kind && r.zone == zone && r.spot == spot);
        open.count() < MAX_OPEN_PROVISIONING_REQUESTS
            && self.refused.get(&market).is_none_or(|refusal| now >= refusal.until)
    }

    /// The cloud refused a market: it is asked again after a backoff, which doubles with each refusal.
    fn note_refusal(&mut self, market: Market, now: Time) {
        let refusal = self.refused.entry(market).or_default();
        refusal.backoff_ms = match refusal.backoff_ms {
            0 => NO_CAPACITY_BACKOFF_MS,
            last => (last * 2).min(MAX_NO_CAPACITY_BACKOFF_MS),
        };
        refusal.until = now + refusal.backoff_ms;
    }

    /// Marks a return as urgent: it waits neither for other returns nor for an answer that does not come. A return may be
    /// sent any number of times.
    pub fn mark_urgent(&mut self, id: &MachineId) {
        if (self.return_queue.contains(id) || self.returning.contains(id))
            && !self.urgent_returns.contains_key(id)
        {
            self.urgent_returns.insert(id.clone(), 0);
        }
    }

    /// Urgent returns to be sent now, marked as sent.
    pub fn next_urgent_returns(&mut self, now: Time) -> Vec<MachineId> {
        let due =
            self.urgent_returns.iter_mut().filter(|(_, at)| now >= **at + TERMINATION_RETRY_MS);
        let batch: Vec<MachineId> = due
            .take(MAX_TERMINATION_BATCH)
            .map(|(id, at)| {
                *at = now;
                id.clone()
            })
            .collect();
        self.mark_returning(&batch);
        batch
    }

    /// The next batch of returns, marked as sent. Only one is in flight at a time, and it takes all that is queued: when
    /// many machines are lost at once, rentals must not wait behind many calls.
    pub fn next_returns(&mut self) -> Vec<MachineId> {
        if !self.returning.is_empty() {
            return Vec::new();
        }
        let batch: Vec<MachineId> =
            self.return_queue.iter().take(MAX_TERMINATION_BATCH).cloned().collect();
        self.mark_returning(&batch);
        batch
    }

    fn mark_returning(&mut self, batch: &[MachineId]) {
        for id in batch {
            self.return_queue.remove(id);
            self.returning.insert(id.clone());
        }
    }

    /// A return had no answer: it is queued again, unless another try of an urgent one was answered meanwhile.
    pub fn on_return_failed(&mut self, id: MachineId) {
        if !self.was_returned(&id) {
            self.returning.remove(&id);
            self.return_queue.insert(id);
        }
    }
}

impl ClusterState {
    /// Queues the return of a machine. Returns whether it was not queued before.
    pub fn request_return(&mut self, id: &MachineId, why: &str, now: Time) -> bool {
        let marked = self.machine_entry(id, now).advance(MachineState::Terminating);
        if marked {
            self.events.record("machine", "returning", id, Some(why));
            tracing::debug!(machine = %id, why, "terminating machine");
            self.provisioning.return_queue.insert(id.clone());
        }
        marked
    }

    /// The cloud confirmed a return: the machine and all attempts on it are gone.
    pub fn on_returned(&mut self, id: &MachineId, now: Time) {
        self.provisioning.returning.remove(id);
        self.provisioning.return_queue.remove(id);
        self.provisioning.urgent_returns.remove(id);
        self.provisioning.note_returned(id);
        self.on_machine_gone(id, now);
    }

    /// The cloud answered a request with these machines. If they are fewer than requested, others are planned at once,
    /// not with the next mapping round.
    pub fn on_provisioned(&mut self, request_id: &str, names: &[String], now: Time) {
        let Some(open) = self.provisioning.open_requests.remove(request_id) else { return };
        let request = open.request;
        let what = format!("rented {} of {}", names.len(), request.count);
        self.events.record("rental", what, &request.machine_type, Some(&request.zone));
        if (names.len() as u32) < request.count {
            self.provisioning.note_refusal(request.market(), now);
            self.force_mapping_round();
        } else {
            self.provisioning.refused.remove(&request.market());
        }
        for name in names {
            let machine = self.machine_entry(&MachineId::from(name.as_str()), now);
            if machine.last_contact_at.is_none() {
                machine.invalidate_free_resources();
                machine.machine_type.clone_from(&request.machine_type);
                machine.zone.clone_from(&request.zone);
                machine.spot = request.spot;
                machine.rented_at = now;
            }
        }
    }

    /// The cloud refused a request. Others are planned at once.
    pub fn on_provisioning_refused(&mut self, request_id: &str, now: Time) {
        let Some(open) = self.provisioning.open_requests.remove(request_id) else { return };
        let request = open.request;
        self.events.record("rental", "no capacity", &request.machine_type, Some(&request.zone));
        tracing::info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot, "no capacity");
        self.provisioning.note_refusal(request.market(), now);
        self.force_mapping_round();
    }
}
