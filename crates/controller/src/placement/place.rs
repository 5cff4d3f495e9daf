//! Places: where a task could go.

use super::ends::EndId;
use crate::job::*;
use crate::machine::Room;
use crate::tables::Slot;
use std::collections::HashMap;

/// What a place is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum What {
    /// Free room on a machine that is ready.
    Now,
    /// The end of a line.
    Line(Slot),
    /// A machine that boots; used to plan only.
    Boot,
    /// A machine that could be rented; used to plan only.
    Rental,
}

/// Where a task could go.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub what: What,
    pub machine: Option<MachineId>,
    /// Numbers of its type and zone in the round.
    pub kind: usize,
    pub zone: usize,
    pub spot: bool,
    pub room: Room,
    /// Tasks there are being stopped.
    pub leaving: bool,
    /// What of the room is kept for services.
    pub kept: Room,
    /// What of the room is kept for gangs that have left it, with their priority.
    pub gangs: Vec<(JobId, Priority, Room)>,
    /// When what is before it ends.
    pub end: EndId,
    /// Numbers of the images there that this round asks for.
    pub images: Vec<u32>,
}

/// Names of this round as small numbers.
#[derive(Debug, Default)]
pub(super) struct Names {
    numbers: HashMap<String, u32>,
}

impl Names {
    /// The number of a name, given out if it is new.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.numbers.len() as u32;
        self.numbers.insert(name.to_string(), n);
        n
    }

    /// The number of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
}
