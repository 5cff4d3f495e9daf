//! Records everything that controllers send, as serialized bytes that do not change when the code is renamed.

use super::Simulation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftsail_controller::controller::Action;
use swiftsail_controller::{cloud, store};
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::{ForwardedAnswers, Heartbeat};
use swiftsail_protocol::workers::{Command, CommandKind, HeartbeatResponse};

/// Receives each message that a controller sends: the simulated time in ms, the controller, its incarnation (counted
/// from 1), and the bytes, which start with the kind of message as a MessagePack string.
pub type Recorder = Box<dyn FnMut(u64, usize, u64, &[u8])>;

impl Simulation {
    /// Records an action of a controller, if there is a recorder.
    pub(super) fn record(&mut self, n: usize, incarnation: u64, action: &Action) {
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, incarnation, &action_bytes(action));
        }
    }

    /// Records the heartbeat with which a controller responds to another's, if there is a recorder.
    pub(super) fn record_heartbeat_response(&mut self, n: usize, heartbeat: &Heartbeat) {
        let incarnation = self.incarnations[n];
        if let Some(recorder) = &mut self.recorder {
            recorder(self.now, n, incarnation, &tagged("beat_answer", heartbeat));
        }
    }

    /// The revision of the state service and all its entries in the order of their keys, serialized.
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

/// A message with a preceding tag for its kind.
fn tagged<T: Serialize>(tag: &str, message: &T) -> Vec<u8> {
    [wire::encode(&tag), wire::encode(message)].concat()
}

/// The bytes of an action. The tags belong to the record's format alone and stay when the code is renamed.
fn action_bytes(action: &Action) -> Vec<u8> {
    match action {
        Action::Reply(id, reply) => {
            tagged("reply", &(id, reply.status, canonical_body(&reply.body), reply.retry_after))
        }
        Action::CallStore(id, call) => store_call_bytes(*id, call),
        Action::CallCloud(call) => cloud_call_bytes(call),
        Action::SendCommands(address, direct) => {
            let mut direct = direct.clone();
            sort_forgets(&mut direct.commands);
            tagged("direct", &(address, direct))
        }
        Action::ProbeMachine(machine, address) => tagged("probe", &(&**machine, address)),
        Action::ForwardReports(id, leader, batch) => tagged("relay", &(id, leader, batch)),
        Action::SendHeartbeat(heartbeat) => tagged("beat", heartbeat),
        Action::DeliverEvents(d) => {
            tagged("deliver", &(&d.plugin, d.to.to_string(), &d.path, &d.body))
        }
    }
}

/// A reply's body with the forget commands of each machine sorted: controllers emit them in the iteration order of a
/// hash table, which differs between processes and has no meaning.
fn canonical_body(body: &[u8]) -> Vec<u8> {
    if let Some(mut response) = decode_exact::<HeartbeatResponse>(body) {
        sort_forgets(&mut response.commands);
        return wire::encode(&response);
    }
    if let Some(mut answers) = decode_exact::<ForwardedAnswers>(body) {
        answers.commands.iter_mut().flatten().for_each(|commands| sort_forgets(commands));
        return wire::encode(&answers);
    }
    body.to_vec()
}

/// Decodes a body as a message, if the message encodes to exactly these bytes again.
fn decode_exact<T: Serialize + DeserializeOwned>(body: &[u8]) -> Option<T> {
    wire::decode::<T>(body).ok().filter(|message| wire::encode(message) == body)
}

/// Sorts the forget commands among their positions. All other commands keep theirs.
fn sort_forgets(commands: &mut [Command]) {
    let is_forget = |c: &&Command| c.kind == CommandKind::Forget;
    let mut forgets: Vec<Command> = commands.iter().filter(is_forget).cloned().collect();
    forgets.sort_by_cached_key(wire::encode);
    let positions = commands.iter_mut().filter(|c| c.kind == CommandKind::Forget);
    positions.zip(forgets).for_each(|(position, command)| *position = command);
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
        cloud::CloudCall::Provision(request) => tagged("cloud_rent", request),
        cloud::CloudCall::Return(names) => tagged("cloud_return", names),
        cloud::CloudCall::ListMachines(after) => tagged("cloud_list", after),
    }
}
