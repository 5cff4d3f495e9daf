//! The digest of what the controllers of one world send.

use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use swiftsail_simulation::simulation::Simulation;

/// Digest and size of what was recorded.
#[derive(Debug, PartialEq)]
pub struct Recording {
    /// SHA-256, its first 16 hexadecimal digits.
    pub digest: String,
    /// Bytes that went into it.
    pub bytes: usize,
    /// Messages of each kind.
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

    /// A message: when, who, in which life, how long, what.
    fn message(&mut self, now: u64, node: usize, life: u64, bytes: &[u8]) {
        for number in [now, node as u64, life, bytes.len() as u64] {
            self.add(&number.to_le_bytes());
        }
        self.add(bytes);
        *self.kinds.entry(kind_of(bytes)).or_default() += 1;
    }
}

impl Recording {
    /// Plays a world, and records what its controllers send and what the state service holds in the end.
    pub fn of(mut sim: Simulation, play: fn(&mut Simulation)) -> Recording {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let taken = tally.clone();
        sim.recorder = Some(Box::new(move |now, node, life, bytes| {
            taken.borrow_mut().message(now, node, life, bytes);
        }));
        play(&mut sim);
        let mut tally = tally.take();
        tally.add(&sim.stored_bytes());
        Recording { digest: short(tally.hash), bytes: tally.bytes, kinds: tally.kinds }
    }
}

/// The kind of a message: the short MessagePack string with which it begins.
fn kind_of(bytes: &[u8]) -> String {
    let length = bytes.first().map_or(0, |b| usize::from(b & 0x1f));
    String::from_utf8_lossy(bytes.get(1..=length).unwrap_or_default()).into_owned()
}

fn short(hash: Sha256) -> String {
    hex::encode(&hash.finalize()[..8])
}
