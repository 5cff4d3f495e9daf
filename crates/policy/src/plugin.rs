//! A plug-in's record and its life cycle.

use crate::constants::{DEFAULT_PRECEDENCE, MAX_NAME_BYTES};
use crate::hooks::Hook;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a plug-in is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PluginKind {
    /// Functions of the embedded language that advise on decisions.
    Decision,
    /// An address to which events are reported.
    #[serde(rename = "report")]
    EventReceiver,
}

/// Where a plug-in stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PluginState {
    /// Its source has come, and is not checked yet.
    Offered,
    /// Sound, and not used.
    Checked,
    /// Asked in every pass.
    Active,
    /// Not asked, since it failed too often or made passes slow.
    Suspended,
    /// Gone; its name may be used again.
    Removed,
}

/// What may happen to a plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PluginTransition {
    /// Its source was found sound.
    Check,
    /// An operator switches it on.
    Enable,
    /// An operator switches it off.
    Disable,
    /// It failed too often, or makes passes slow.
    Suspend,
    /// An operator offers another source under its name.
    Offer,
    /// An operator removes it.
    Remove,
}

impl PluginState {
    /// The one function that changes the state. None: the step does not apply there.
    pub fn transition(self, step: PluginTransition) -> Option<PluginState> {
        match (self, step) {
            (PluginState::Removed, PluginTransition::Offer) => Some(PluginState::Offered),
            (PluginState::Removed, _) => None,
            (_, PluginTransition::Remove) => Some(PluginState::Removed),
            (_, PluginTransition::Offer) => Some(PluginState::Offered),
            (PluginState::Offered, PluginTransition::Check) => Some(PluginState::Checked),
            (PluginState::Checked | PluginState::Suspended, PluginTransition::Enable) => {
                Some(PluginState::Active)
            }
            (PluginState::Active | PluginState::Suspended, PluginTransition::Disable) => {
                Some(PluginState::Checked)
            }
            (PluginState::Active, PluginTransition::Suspend) => Some(PluginState::Suspended),
            _ => None,
        }
    }
}

/// What the state service holds of a plug-in beside its source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PluginRecord {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: PluginKind,
    /// Where it stands.
    pub state: PluginState,
    /// Counts the sources offered under its name.
    pub version: u64,
    /// SHA-256 of its source, in hexadecimal.
    pub hash: String,
    /// Order of precedence: the lower the stronger; among equals by name.
    pub precedence: u32,
    /// Chunks of its source in the state service.
    pub chunks: u32,
    /// Hooks that it has.
    pub hooks: Vec<Hook>,
    /// Why it is suspended.
    #[serde(default)]
    pub reason: Option<String>,
    /// Time of day of the latest change, ms since the epoch.
    pub changed_wall: u64,
}

impl PluginRecord {
    /// Takes a step. False if it does not apply.
    pub fn apply_transition(&mut self, step: PluginTransition, wall: u64) -> bool {
        let Some(state) = self.state.transition(step) else { return false };
        self.state = state;
        self.changed_wall = wall;
        if step != PluginTransition::Suspend {
            self.reason = None;
        }
        true
    }
}

/// A plug-in as it is offered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PluginOffer {
    /// What it is.
    pub kind: PluginKind,
    /// Its source: functions, or the TOML of a report hook.
    pub source: String,
    /// Order of precedence.
    #[serde(default = "usual_precedence")]
    pub precedence: u32,
    /// Whether it is switched on at once.
    #[serde(default)]
    pub enable: bool,
}

fn usual_precedence() -> u32 {
    DEFAULT_PRECEDENCE
}

/// Whether a text may name a plug-in: lower-case letters, digits and dashes.
pub fn is_valid_name(name: &str) -> bool {
    let good = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(good)
}

/// SHA-256 of a source, in hexadecimal.
pub fn source_hash(source: &str) -> String {
    hex::encode(Sha256::digest(source.as_bytes()))
}

/// A source in parts of at most that many bytes each, cut between characters.
pub fn split_into_chunks(source: &str, most: usize) -> Vec<&str> {
    let mut rest = source;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let mut end = rest.len().min(most.max(4));
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, more) = rest.split_at(end);
        parts.push(part);
        rest = more;
    }
    parts
}
