//! A record of all that controllers send, as serialized bytes that no renaming in the code changes.

use super::World;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftsail_controller::node::Action;
use swiftsail_controller::{cloud, store};
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::{Answers, Beat};
use swiftsail_protocol::workers::{Command, Orders, Verb};

/// Takes what a controller sends: simulated time, the controller, its life (counted from 1), and the bytes, which
/// begin with the kind of message as a MessagePack string.
pub type Recorder = Box<dyn FnMut(u64, usize, u64, &[u8])>;

impl World {
    /// Records an action of a controller, if anybody listens.
    pub(super) fn record(&mut self, n: usize, life: u64, action: &Action) {
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, life, &action_bytes(action));
        }
    }

    /// Records a heartbeat with which a controller answers another's.
    pub(super) fn record_beat_answer(&mut self, n: usize, beat: &Beat) {
        let life = self.lives[n];
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, life, &tagged("beat_answer", beat));
        }
    }

    /// All that the state service holds, in the order of the keys, and its revision.
    pub fn stored_bytes(&self) -> Vec<u8> {
        let mut bytes = wire::write(&self.store.epoch());
        let mut from: Option<String> = None;
        loop {
            let page = self.store.list("", from.as_deref(), usize::MAX);
            bytes.extend(wire::write(&page.pairs));
            match page.pairs.last() {
                Some(last) if page.has_next => from = Some(last.key.clone()),
                _ => return bytes,
            }
        }
    }
}

/// A message under a tag that says what it is.
fn tagged<T: Serialize>(tag: &str, message: &T) -> Vec<u8> {
    [wire::write(&tag), wire::write(message)].concat()
}

/// The bytes of an action. The tags are those of the record alone: they stay when the code is renamed.
fn action_bytes(action: &Action) -> Vec<u8> {
    match action {
        Action::Reply(id, reply) => {
            tagged("reply", &(id, reply.status, in_order(&reply.body), reply.retry_after))
        }
        Action::Store(id, call) => store_call_bytes(*id, call),
        Action::Cloud(call) => cloud_call_bytes(call),
        Action::Direct(address, direct) => {
            let mut direct = direct.clone();
            order_forgets(&mut direct.orders);
            tagged("direct", &(address, direct))
        }
        Action::Probe(machine, address) => tagged("probe", &(&**machine, address)),
        Action::Relay(id, leader, batch) => tagged("relay", &(id, leader, batch)),
        Action::Beat(beat) => tagged("beat", beat),
        Action::Deliver(d) => tagged("deliver", &(&d.plugin, d.to.to_string(), &d.path, &d.body)),
    }
}

/// A reply's body, with the forgets of each machine in the order of their tasks: controllers name them in the order of
/// a hash table, which differs from process to process and means nothing.
fn in_order(body: &[u8]) -> Vec<u8> {
    if let Some(mut orders) = same::<Orders>(body) {
        order_forgets(&mut orders.orders);
        return wire::write(&orders);
    }
    if let Some(mut answers) = same::<Answers>(body) {
        answers.orders.iter_mut().flatten().for_each(|orders| order_forgets(orders));
        return wire::write(&answers);
    }
    body.to_vec()
}

/// A body as a message, if it is that message and nothing more.
fn same<T: Serialize + DeserializeOwned>(body: &[u8]) -> Option<T> {
    wire::read::<T>(body).ok().filter(|message| wire::write(message) == body)
}

/// Sorts the forgets among the places that they take; all other commands stay where they are.
fn order_forgets(commands: &mut [Command]) {
    let is_forget = |c: &&Command| c.verb == Verb::Forget;
    let mut forgets: Vec<Command> = commands.iter().filter(is_forget).cloned().collect();
    forgets.sort_by_cached_key(wire::write);
    let places = commands.iter_mut().filter(|c| c.verb == Verb::Forget);
    places.zip(forgets).for_each(|(place, command)| *place = command);
}

fn store_call_bytes(id: u64, call: &store::Call) -> Vec<u8> {
    match call {
        store::Call::Get(key) => tagged("store_get", &(id, key)),
        store::Call::List { prefix, from } => tagged("store_list", &(id, prefix, from)),
        store::Call::Commit(commit) => tagged("store_commit", &(id, commit)),
        store::Call::Grant { ttl_ms } => tagged("store_grant", &(id, ttl_ms)),
        store::Call::Extend(lease) => tagged("store_extend", &(id, lease)),
        store::Call::Release(lease) => tagged("store_release", &(id, lease)),
        store::Call::News { prefix, from } => tagged("store_news", &(id, prefix, from)),
        store::Call::Follow { prefix, from } => tagged("store_follow", &(id, prefix, from)),
    }
}

fn cloud_call_bytes(call: &cloud::Call) -> Vec<u8> {
    match call {
        cloud::Call::Types => tagged("cloud_types", &()),
        cloud::Call::Rent(rent) => tagged("cloud_rent", rent),
        cloud::Call::Return(names) => tagged("cloud_return", names),
        cloud::Call::List(after) => tagged("cloud_list", after),
    }
}
