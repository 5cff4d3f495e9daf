//! The digest of what the controllers of one simulation send.

use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use swiftsail_simulation::simulation::Simulation;

/// Digest and size of a recording.
#[derive(Debug, PartialEq)]
pub struct Recording {
    /// The first 16 hexadecimal digits of the SHA-256 hash.
    pub digest: String,
    /// Number of bytes hashed.
    pub bytes: usize,
    /// Number of messages of each kind.
    pub kinds: BTreeMap<String, usize>,
}

#[derive(Default)]
struct Tally {
    hash: Sha256,
    bytes: usize,
    kinds: BTreeMap<String, usize>,
}

impl Tally {
    fn add(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
        self.bytes += bytes.len();
    }

    /// Hashes a message, preceded by its time, controller, incarnation and length.
    fn add_message(&mut self, now: u64, controller: usize, incarnation: u64, bytes: &[u8]) {
        for number in [now, controller as u64, incarnation, bytes.len() as u64] {
            self.add(&number.to_le_bytes());
        }
        self.add(bytes);
        *self.kinds.entry(kind_of(bytes)).or_default() += 1;
    }
}

impl Recording {
    /// Runs a simulation with `play`, and records what its controllers send and the final content of the state service.
    pub fn of(mut sim: Simulation, play: fn(&mut Simulation)) -> Recording {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let shared_tally = tally.clone();
        sim.recorder = Some(Box::new(move |now, controller, incarnation, bytes| {
            shared_tally.borrow_mut().add_message(now, controller, incarnation, bytes);
        }));
        play(&mut sim);
        let mut tally = tally.take();
        tally.add(&sim.stored_bytes());
        Recording { digest: hex_prefix(tally.hash), bytes: tally.bytes, kinds: tally.kinds }
    }
}

/// The kind of a message: the short MessagePack string with which it starts.
fn kind_of(bytes: &[u8]) -> String {
    let length = bytes.first().map_or(0, |b| usize::from(b & 0x1f));
    String::from_utf8_lossy(bytes.get(1..=length).unwrap_or_default()).into_owned()
}

fn hex_prefix(hash: Sha256) -> String {
    hex::encode(&hash.finalize()[..8])
}
