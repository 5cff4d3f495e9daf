//! A record of all that controllers send, as serialized bytes that no renaming in the code changes.

use super::Simulation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftsail_controller::controller::Action;
use swiftsail_controller::{cloud, store};
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::{ForwardedAnswers, Heartbeat};
use swiftsail_protocol::workers::{Command, CommandKind, HeartbeatResponse};

/// Takes what a controller sends: simulated time, the controller, its life (counted from 1), and the bytes, which
/// begin with the kind of message as a MessagePack string.
pub type Recorder = Box<dyn FnMut(u64, usize, u64, &[u8])>;

impl Simulation {
    /// Records an action of a controller, if anybody listens.
    pub(super) fn record(&mut self, n: usize, life: u64, action: &Action) {
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, life, &action_bytes(action));
        }
    }

    /// Records a heartbeat with which a controller answers another's.
    pub(super) fn record_beat_answer(&mut self, n: usize, beat: &Heartbeat) {
        let life = self.incarnations[n];
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, life, &tagged("beat_answer", beat));
        }
    }

    /// All that the state service holds, in the order of the keys, and its revision.
    pub fn stored_bytes(&self) -> Vec<u8> {
        let mut bytes = wire::encode(&self.store.revision());
        let mut from: Option<String> = None;
        loop {
            let page = self.store.list("", from.as_deref(), usize::MAX);
            bytes.extend(wire::encode(&page.entries));
            match page.entries.last() {
                Some(last) if page.has_next => from = Some(last.key.clone()),
                _ => return bytes,
            }
        }
    }
}

/// A message under a tag that says what it is.
fn tagged<T: Serialize>(tag: &str, message: &T) -> Vec<u8> {
    [wire::encode(&tag), wire::encode(message)].concat()
}

/// The bytes of an action. The tags are those of the record alone: they stay when the code is renamed.
fn action_bytes(action: &Action) -> Vec<u8> {
    match action {
        Action::Reply(id, reply) => {
            tagged("reply", &(id, reply.status, in_order(&reply.body), reply.retry_after))
        }
        Action::CallStore(id, call) => store_call_bytes(*id, call),
        Action::CallCloud(call) => cloud_call_bytes(call),
        Action::SendCommands(address, direct) => {
            let mut direct = direct.clone();
            order_forgets(&mut direct.commands);
            tagged("direct", &(address, direct))
        }
        Action::ProbeMachine(machine, address) => tagged("probe", &(&**machine, address)),
        Action::ForwardReports(id, leader, batch) => tagged("relay", &(id, leader, batch)),
        Action::SendHeartbeat(beat) => tagged("beat", beat),
        Action::DeliverEvents(d) => {
            tagged("deliver", &(&d.plugin, d.to.to_string(), &d.path, &d.body))
        }
    }
}

/// A reply's body, with the forgets of each machine in the order of their tasks: controllers name them in the order of
/// a hash table, which differs from process to process and means nothing.
fn in_order(body: &[u8]) -> Vec<u8> {
    if let Some(mut orders) = same::<HeartbeatResponse>(body) {
        order_forgets(&mut orders.commands);
        return wire::encode(&orders);
    }
    if let Some(mut answers) = same::<ForwardedAnswers>(body) {
        answers.commands.iter_mut().flatten().for_each(|orders| order_forgets(orders));
        return wire::encode(&answers);
    }
    body.to_vec()
}

/// A body as a message, if it is that message and nothing more.
fn same<T: Serialize + DeserializeOwned>(body: &[u8]) -> Option<T> {
    wire::decode::<T>(body).ok().filter(|message| wire::encode(message) == body)
}

/// Sorts the forgets among the places that they take; all other commands stay where they are.
fn order_forgets(commands: &mut [Command]) {
    let is_forget = |c: &&Command| c.kind == CommandKind::Forget;
    let mut forgets: Vec<Command> = commands.iter().filter(is_forget).cloned().collect();
    forgets.sort_by_cached_key(wire::encode);
    let places = commands.iter_mut().filter(|c| c.kind == CommandKind::Forget);
    places.zip(forgets).for_each(|(place, command)| *place = command);
}

fn store_call_bytes(id: u64, call: &store::StoreCall) -> Vec<u8> {
    match call {
        store::StoreCall::Get(key) => tagged("store_get", &(id, key)),
        store::StoreCall::List { prefix, from } => tagged("store_list", &(id, prefix, from)),
        store::StoreCall::Commit(commit) => tagged("store_commit", &(id, commit)),
        store::StoreCall::GrantLease { ttl_ms } => tagged("store_grant", &(id, ttl_ms)),
        store::StoreCall::RenewLease(lease) => tagged("store_extend", &(id, lease)),
        store::StoreCall::RevokeLease(lease) => tagged("store_release", &(id, lease)),
        store::StoreCall::ReadChanges { prefix, from } => tagged("store_news", &(id, prefix, from)),
        store::StoreCall::Watch { prefix, from } => tagged("store_follow", &(id, prefix, from)),
    }
}

fn cloud_call_bytes(call: &cloud::CloudCall) -> Vec<u8> {
    match call {
        cloud::CloudCall::ListTypes => tagged("cloud_types", &()),
        cloud::CloudCall::Provision(rent) => tagged("cloud_rent", rent),
        cloud::CloudCall::Return(names) => tagged("cloud_return", names),
        cloud::CloudCall::ListMachines(after) => tagged("cloud_list", after),
    }
}
