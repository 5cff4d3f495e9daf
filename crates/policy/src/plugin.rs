//! Plug-in records and the plug-in life cycle.

use crate::constants::{DEFAULT_PRECEDENCE, MAX_NAME_BYTES};
use crate::hooks::Hook;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Kind of a plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PluginKind {
    /// Hooks in the embedded language that advise on scheduling decisions.
    Decision,
    /// An address to which events are sent.
    #[serde(rename = "report")]
    EventReceiver,
}

/// State in the life cycle of a plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PluginState {
    /// Its source has been submitted and is not validated yet.
    Offered,
    /// Validated but not enabled.
    Checked,
    /// Enabled: its hooks are called, or events are sent to it.
    Active,
    /// Not called, since it failed too often or slowed scheduling cycles.
    Suspended,
    /// Removed; its name may be used again.
    Removed,
}

/// Transition in the life cycle of a plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PluginTransition {
    /// Its source was validated.
    Check,
    /// An operator enables it.
    Enable,
    /// An operator disables it.
    Disable,
    /// It failed too often or slowed scheduling cycles.
    Suspend,
    /// An operator submits a new source under its name.
    Offer,
    /// An operator removes it.
    Remove,
}

impl PluginState {
    /// The state after a transition, or `None` if the transition is not allowed in this state. All state changes go
    /// through this function.
    pub fn transition(self, transition: PluginTransition) -> Option<PluginState> {
        match (self, transition) {
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

/// A plug-in as recorded in the state service, without its source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PluginRecord {
    /// Name.
    pub name: String,
    /// Kind.
    pub kind: PluginKind,
    /// State in the life cycle.
    pub state: PluginState,
    /// Number of sources submitted under its name so far.
    pub version: u64,
    /// SHA-256 of its source, in hexadecimal.
    pub hash: String,
    /// Precedence: plug-ins with lower numbers are called first; among equals, by name.
    pub precedence: u32,
    /// Number of chunks in which its source is stored in the state service.
    pub chunks: u32,
    /// Hooks that it defines.
    pub hooks: Vec<Hook>,
    /// Reason for its suspension.
    #[serde(default)]
    pub reason: Option<String>,
    /// Time of day of the latest change, ms since the epoch.
    pub changed_wall: u64,
}

impl PluginRecord {
    /// Applies a transition at the time of day `wall`, ms. Returns whether the current state allows it.
    pub fn apply_transition(&mut self, transition: PluginTransition, wall: u64) -> bool {
        let Some(state) = self.state.transition(transition) else { return false };
        self.state = state;
        self.changed_wall = wall;
        if transition != PluginTransition::Suspend {
            self.reason = None;
        }
        true
    }
}

/// A plug-in as submitted by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PluginOffer {
    /// Kind.
    pub kind: PluginKind,
    /// Source: functions of the embedded language, or the TOML of an event receiver.
    pub source: String,
    /// Precedence, see [`PluginRecord::precedence`].
    #[serde(default = "usual_precedence")]
    pub precedence: u32,
    /// Whether it is enabled at once.
    #[serde(default)]
    pub enable: bool,
}

fn usual_precedence() -> u32 {
    DEFAULT_PRECEDENCE
}

/// Whether a string is a valid plug-in name: lower-case ASCII letters, digits and hyphens, at most [`MAX_NAME_BYTES`].
pub fn is_valid_name(name: &str) -> bool {
    let is_valid_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_valid_byte)
}

/// SHA-256 of a source, in hexadecimal.
pub fn source_hash(source: &str) -> String {
    hex::encode(Sha256::digest(source.as_bytes()))
}

/// Splits a source at character boundaries into chunks of at most `max_bytes` bytes. A `max_bytes` below 4, the longest
/// UTF-8 character, counts as 4.
pub fn split_into_chunks(source: &str, max_bytes: usize) -> Vec<&str> {
    let mut rest = source;
    let mut chunks = Vec::new();
    while !rest.is_empty() {
        let mut end = rest.len().min(max_bytes.max(4));
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (chunk, remaining) = rest.split_at(end);
        chunks.push(chunk);
        rest = remaining;
    }
    chunks
}
