//! Provisioning requests and machine returns that the cloud has not answered, markets that had no capacity recently,
//! and machines returned under this leader. `fleet` plans requests and returns, `controller` and `cloud` send them.

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

/// A market: machine type, zone, and whether it is the spot market.
pub type Market = (String, String, bool);

/// A request to rent machines.
#[derive(Debug, Clone, PartialEq)]
pub struct ProvisioningRequest {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are requested, rather than on-demand ones.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

impl ProvisioningRequest {
    fn market(&self) -> Market {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }

    /// The request as it is sent to the cloud, with its idempotency key.
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

/// A provisioning request that has not been answered.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// The request.
    pub request: ProvisioningRequest,
    /// When it was made.
    pub requested_at: Time,
    /// It was sent at least once: its idempotency key then stands for this number of machines, which must no longer
    /// change.
    pub was_sent: bool,
}

/// Hash of a machine's name.
fn name_hash(id: &MachineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Backoff of a market that had no capacity.
#[derive(Debug, Default)]
struct Refusal {
    /// No request is sent before this time.
    until: Time,
    backoff_ms: u64,
}

/// Provisioning requests and returns, and what is remembered of earlier ones.
#[derive(Debug, Default)]
pub struct Provisioning {
    /// Number of requests made, for idempotency keys.
    requests_made: u64,
    /// Requests without a response, by idempotency key.
    open_requests: BTreeMap<String, OpenRequest>,
    refused: HashMap<Market, Refusal>,
    /// Machines whose return was sent and has not been answered.
    returning: BTreeSet<MachineId>,
    /// Machines whose return is to be sent.
    return_queue: BTreeSet<MachineId>,
    /// Those of both that must be returned in time for a cancellation, and when each was last sent; 0: not yet.
    urgent_returns: BTreeMap<MachineId, Time>,
    /// Hashes of the names of returned machines, the oldest first.
    returned: VecDeque<u64>,
    /// The same as a set, for look-up.
    returned_set: FxHashSet<u64>,
    /// When machines were recently returned because they were unreachable inbound.
    unreachable_returns: VecDeque<Time>,
    /// When the last listing of machines began.
    pub listed_at: Time,
    /// Pages of that listing are still being read.
    pub is_listing: bool,
    /// When machine types were last requested.
    pub types_requested_at: Time,
    /// When idle machines were last searched for.
    pub idle_checked_at: Time,
    /// When replica migrations were last searched for.
    pub moves_checked_at: Time,
}

impl Provisioning {
    /// Provisioning requests without a response, and when each was made.
    pub fn open_requests(&self) -> impl Iterator<Item = (&ProvisioningRequest, Time)> {
        self.open_requests.values().map(|open| (&open.request, open.requested_at))
    }

    /// Requests for the same market that have not been sent yet, by idempotency key: their number of machines may still
    /// be changed.
    pub fn unsent_requests(
        &mut self,
        request: &ProvisioningRequest,
    ) -> impl Iterator<Item = (&String, &mut OpenRequest)> {
        let market = request.market();
        self.open_requests
            .iter_mut()
            .filter(move |(_, open)| !open.was_sent && open.request.market() == market)
    }

    /// Adds a request to be sent. Returns its idempotency key, made of the fencing token and a counter, so that no
    /// other request of any controller has the same.
    pub fn open_request(&mut self, token: u64, request: ProvisioningRequest, now: Time) -> String {
        self.requests_made += 1;
        let request_id = format!("s{token}-{}", self.requests_made);
        let open = OpenRequest { request, requested_at: now, was_sent: false };
        self.open_requests.insert(request_id.clone(), open);
        request_id
    }

    /// Marks a request that had no response as sent: it is to be sent again under the same idempotency key. Returns
    /// false if there is no such request.
    pub fn mark_unanswered(&mut self, request_id: &str) -> bool {
        self.open_requests.get_mut(request_id).map(|open| open.was_sent = true).is_some()
    }

    /// Whether a machine was returned under this leader. Only hashes of names are kept: with 16,000 of them the
    /// probability that a machine is mistaken for another is about 10^-12.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.returned_set.contains(&name_hash(id))
    }

    fn record_returned(&mut self, id: &MachineId) {
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

    /// Number of machines returned within [`UNREACHABLE_RETURN_WINDOW_MS`] because they were unreachable inbound.
    pub fn recent_unreachable_returns(&self, now: Time) -> usize {
        self.unreachable_returns
            .iter()
            .filter(|at| now < **at + UNREACHABLE_RETURN_WINDOW_MS)
            .count()
    }

    /// Records that a machine is returned because it is unreachable inbound.
    pub fn record_unreachable_return(&mut self, now: Time) {
        self.unreachable_returns.retain(|at| now < *at + UNREACHABLE_RETURN_WINDOW_MS);
        self.unreachable_returns.push_back(now);
    }

    /// Whether machines may be requested from a market: it is not in backoff, and fewer than
    /// [`MAX_OPEN_PROVISIONING_REQUESTS`] requests for it are open.
    pub fn may_rent(&self, kind: &str, zone: &str, spot: bool, now: Time) -> bool {
        let market = (kind.to_string(), zone.to_string(), spot);
        let requests = self.open_requests.values().map(|open| &open.request);
        let open = requests.filter(|r| r.machine_type == kind && r.zone == zone && r.spot == spot);
        open.count() < MAX_OPEN_PROVISIONING_REQUESTS
            && self.refused.get(&market).is_none_or(|refusal| now >= refusal.until)
    }

    /// Starts the backoff of a market that had no capacity. It doubles with each refusal.
    fn record_refusal(&mut self, market: Market, now: Time) {
        let refusal = self.refused.entry(market).or_default();
        refusal.backoff_ms = match refusal.backoff_ms {
            0 => NO_CAPACITY_BACKOFF_MS,
            previous => (previous * 2).min(MAX_NO_CAPACITY_BACKOFF_MS),
        };
        refusal.until = now + refusal.backoff_ms;
    }

    /// Marks a return as urgent: it waits neither for other returns nor for a missing response, since a return may be
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

    /// The next batch of returns, marked as sent. Only one batch is in flight at a time, and it takes as many as are
    /// queued: when many machines are lost at once, provisioning must not wait behind many calls.
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

    /// Queues a return again that had no response, unless another attempt at it was answered meanwhile.
    pub fn on_return_failed(&mut self, id: MachineId) {
        if !self.was_returned(&id) {
            self.returning.remove(&id);
            self.return_queue.insert(id);
        }
    }
}

impl ClusterState {
    /// Queues the return of a machine. Returns false if it is being returned already.
    pub fn request_return(&mut self, id: &MachineId, reason: &str, now: Time) -> bool {
        let marked = self.machine_entry(id, now).advance(MachineState::Terminating);
        if marked {
            self.events.record("machine", "returning", id, Some(reason));
            tracing::debug!(machine = %id, why = reason, "terminating machine");
            self.provisioning.return_queue.insert(id.clone());
        }
        marked
    }

    /// Handles the cloud's confirmation of a return: the machine and all attempts on it are gone.
    pub fn on_returned(&mut self, id: &MachineId, now: Time) {
        self.provisioning.returning.remove(id);
        self.provisioning.return_queue.remove(id);
        self.provisioning.urgent_returns.remove(id);
        self.provisioning.record_returned(id);
        self.on_machine_gone(id, now);
    }

    /// Handles the cloud's response with the machines that it provides for a request. If they are fewer than requested,
    /// others are planned at once rather than with the next mapping round.
    pub fn on_provisioned(&mut self, request_id: &str, names: &[String], now: Time) {
        let Some(open) = self.provisioning.open_requests.remove(request_id) else { return };
        let request = open.request;
        let event = format!("rented {} of {}", names.len(), request.count);
        self.events.record("rental", event, &request.machine_type, Some(&request.zone));
        if (names.len() as u32) < request.count {
            self.provisioning.record_refusal(request.market(), now);
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

    /// Handles the cloud's response that it has no capacity for a request. Others are planned at once.
    pub fn on_provisioning_refused(&mut self, request_id: &str, now: Time) {
        let Some(open) = self.provisioning.open_requests.remove(request_id) else { return };
        let request = open.request;
        self.events.record("rental", "no capacity", &request.machine_type, Some(&request.zone));
        tracing::info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot, "provisioning request refused: no capacity");
        self.provisioning.record_refusal(request.market(), now);
        self.force_mapping_round();
    }
}
