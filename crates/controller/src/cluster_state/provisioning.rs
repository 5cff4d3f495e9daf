//! Rentals and returns under way, and what the cloud has refused lately.

use super::ClusterState;
use crate::Time;
use crate::constants::{
    NO_CAPACITY_MAX_MS, NO_CAPACITY_MS, OPEN_REQUESTS_MAX, RETURN_AGAIN_MS, RETURN_BATCH_MAX,
    RETURNED_REMEMBERED,
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

/// Machines that are wanted.
#[derive(Debug, Clone, PartialEq)]
pub struct ProvisioningRequest {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub number: u32,
}

impl ProvisioningRequest {
    fn market(&self) -> Market {
        (self.kind.clone(), self.zone.clone(), self.spot)
    }

    /// The request that asks for it.
    pub fn to_wire(&self, charter: &str) -> ProvisionMachinesRequest {
        ProvisionMachinesRequest {
            request_id: charter.to_string(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count: self.number,
        }
    }
}

/// A rental asked for and not answered.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// What is asked for.
    pub request: ProvisioningRequest,
    /// When.
    pub requested_at: Time,
    /// It has left at least once: its name then stands for this number of machines.
    pub was_sent: bool,
}

/// Number of a machine's name.
fn name_hash(id: &MachineId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Rentals and returns under way.
#[derive(Debug, Default)]
pub struct Provisioning {
    requests_made: u64,
    open_requests: BTreeMap<String, OpenRequest>,
    refused: HashMap<Market, (Time, u64)>,
    returning: BTreeSet<MachineId>,
    return_queue: BTreeSet<MachineId>,
    /// Returns that a cancellation needs: when each was last asked for.
    urgent_returns: BTreeMap<MachineId, Time>,
    returned: VecDeque<u64>,
    /// The same, to be found at once.
    returned_set: FxHashSet<u64>,
    /// When machines were returned because they do not hear, of late.
    unreachable_returns: VecDeque<Time>,
    /// When the machine list was last begun, and whether it is being read.
    pub listed_at: Time,
    /// See `listed_at`.
    pub is_listing: bool,
    /// When machine types were last asked for.
    pub types_requested_at: Time,
    /// When idle machines were last looked for.
    pub idle_checked_at: Time,
    /// When a move of replicas was last looked for.
    pub moves_checked_at: Time,
}

impl Provisioning {
    /// Rentals asked for and not answered.
    pub fn open_requests(&self) -> impl Iterator<Item = (&ProvisioningRequest, Time)> {
        self.open_requests.values().map(|a| (&a.request, a.requested_at))
    }

    /// Rentals of the same market that have not left yet: their names, and what they may still
    /// take in.
    pub fn unsent_requests(
        &mut self,
        wish: &ProvisioningRequest,
    ) -> impl Iterator<Item = (&String, &mut OpenRequest)> {
        let market = wish.market();
        self.open_requests
            .iter_mut()
            .filter(move |(_, a)| !a.was_sent && a.request.market() == market)
    }

    /// Notes a rental under a name that no node uses again: the token and a counter.
    pub fn open_request(&mut self, token: u64, wish: ProvisioningRequest, now: Time) -> String {
        self.requests_made += 1;
        let charter = format!("s{token}-{}", self.requests_made);
        self.open_requests.insert(
            charter.clone(),
            OpenRequest { request: wish, requested_at: now, was_sent: false },
        );
        charter
    }

    /// A rental had no answer: it is asked for again, under the same name. False if unknown.
    pub fn mark_unanswered(&mut self, charter: &str) -> bool {
        self.open_requests.get_mut(charter).map(|a| a.was_sent = true).is_some()
    }

    /// Whether a machine was returned under this term. Of names a number is kept: at 16,000 of them the chance
    /// that a machine is taken for another is one in a million million.
    pub fn was_returned(&self, id: &MachineId) -> bool {
        self.returned_set.contains(&name_hash(id))
    }

    fn note_returned(&mut self, id: &MachineId) {
        let number = name_hash(id);
        if self.returned_set.insert(number) {
            self.returned.push_back(number);
        }
        if self.returned.len() > RETURNED_REMEMBERED
            && let Some(oldest) = self.returned.pop_front()
        {
            self.returned_set.remove(&oldest);
        }
    }

    /// Machines given up lately because they do not hear.
    pub fn recent_unreachable_returns(&self, now: Time) -> usize {
        self.unreachable_returns
            .iter()
            .filter(|at| now < **at + UNREACHABLE_RETURN_WINDOW_MS)
            .count()
    }

    /// One more.
    pub fn note_unreachable_return(&mut self, now: Time) {
        self.unreachable_returns.retain(|at| now < *at + UNREACHABLE_RETURN_WINDOW_MS);
        self.unreachable_returns.push_back(now);
    }

    /// Whether a rental is worth asking for.
    pub fn may_rent(&self, kind: &str, zone: &str, spot: bool, now: Time) -> bool {
        let key = (kind.to_string(), zone.to_string(), spot);
        let waiting = self.open_requests.values().map(|a| &a.request);
        let waiting = waiting.filter(|w| w.kind == kind && w.zone == zone && w.spot == spot);
        waiting.count() < OPEN_REQUESTS_MAX
            && self.refused.get(&key).is_none_or(|(until, _)| now >= *until)
    }

    fn note_refusal(&mut self, market: Market, now: Time) {
        let entry = self.refused.entry(market).or_insert((0, 0));
        entry.1 = if entry.1 == 0 { NO_CAPACITY_MS } else { (entry.1 * 2).min(NO_CAPACITY_MAX_MS) };
        entry.0 = now + entry.1;
    }

    /// A return is needed in time: it waits for no other, nor for an answer that does not come. Its name may be given to
    /// the cloud any number of times.
    pub fn mark_urgent(&mut self, id: &MachineId) {
        if (self.return_queue.contains(id) || self.returning.contains(id))
            && !self.urgent_returns.contains_key(id)
        {
            self.urgent_returns.insert(id.clone(), 0);
        }
    }

    /// Pressing returns to be asked for now.
    pub fn next_urgent_returns(&mut self, now: Time) -> Vec<MachineId> {
        let due = self.urgent_returns.iter_mut().filter(|(_, at)| now >= **at + RETURN_AGAIN_MS);
        let batch: Vec<MachineId> = due
            .take(RETURN_BATCH_MAX)
            .map(|(id, at)| {
                *at = now;
                id.clone()
            })
            .collect();
        for id in &batch {
            self.return_queue.remove(id);
            self.returning.insert(id.clone());
        }
        batch
    }

    /// The next batch to return, marked as on its way. One return flies at a time, and takes all
    /// that has come up: a wave of machines lost must not keep rentals waiting for its many calls.
    pub fn next_returns(&mut self) -> Vec<MachineId> {
        if !self.returning.is_empty() {
            return Vec::new();
        }
        let batch: Vec<MachineId> =
            self.return_queue.iter().take(RETURN_BATCH_MAX).cloned().collect();
        for id in &batch {
            self.return_queue.remove(id);
            self.returning.insert(id.clone());
        }
        batch
    }

    /// A return had no answer: it is tried again.
    pub fn on_return_failed(&mut self, id: MachineId) {
        // Another try of a pressing one may have been answered meanwhile.
        if !self.was_returned(&id) {
            self.returning.remove(&id);
            self.return_queue.insert(id);
        }
    }
}

impl ClusterState {
    /// Marks a machine to be returned. Returns whether it was not before.
    pub fn request_return(&mut self, id: &MachineId, why: &str, now: Time) -> bool {
        let marked = self.machine_entry(id, now).advance(MachineState::Terminating);
        if marked {
            self.events.note("machine", "returning", id, Some(why));
            tracing::debug!(machine = %id, why, "terminating machine");
            self.provisioning.return_queue.insert(id.clone());
        }
        marked
    }

    /// A return was confirmed: the machine and all on it are gone.
    pub fn on_returned(&mut self, id: &MachineId, now: Time) {
        self.provisioning.returning.remove(id);
        self.provisioning.return_queue.remove(id);
        self.provisioning.urgent_returns.remove(id);
        self.provisioning.note_returned(id);
        self.on_machine_gone(id, now);
    }

    /// A rental was answered with these machines, perhaps fewer than asked for. Others are then
    /// planned at once, not with the next round.
    pub fn on_provisioned(&mut self, charter: &str, names: &[String], now: Time) {
        let Some(OpenRequest { request: wish, .. }) =
            self.provisioning.open_requests.remove(charter)
        else {
            return;
        };
        let what = format!("rented {} of {}", names.len(), wish.number);
        self.events.note("rental", what, &wish.kind, Some(&wish.zone));
        if (names.len() as u32) < wish.number {
            self.provisioning.note_refusal(wish.market(), now);
            self.force_mapping_round();
        } else {
            self.provisioning.refused.remove(&wish.market());
        }
        for name in names {
            let machine = self.machine_entry(&MachineId::from(name.as_str()), now);
            if machine.last_heard_at.is_none() {
                machine.invalidate_free_resources();
                machine.machine_type.clone_from(&wish.kind);
                machine.zone.clone_from(&wish.zone);
                machine.spot = wish.spot;
                machine.rented_at = now;
            }
        }
    }

    /// A rental was refused. Others are planned at once.
    pub fn on_provisioning_refused(&mut self, charter: &str, now: Time) {
        let Some(OpenRequest { request: wish, .. }) =
            self.provisioning.open_requests.remove(charter)
        else {
            return;
        };
        self.events.note("rental", "no capacity", &wish.kind, Some(&wish.zone));
        tracing::info!(kind = %wish.kind, zone = %wish.zone, spot = wish.spot, "no capacity");
        self.provisioning.note_refusal(wish.market(), now);
        self.force_mapping_round();
    }
}
