//! Whether every controller knows the form of records that this one writes. A version that does not know of jobs which
//! await others would not start them, since it cannot read their records; but it would take bindings of theirs for
//! left-overs. So none is accepted until each other controller has said in a heartbeat that its version knows them. That
//! is noted in the state service, once and for good: whoever begins later need not hear them all again.

use super::{Node, Purpose};
use crate::constants::*;
use crate::job::keys;
use crate::store::{Call, Outcome, Patience, Urgency};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use swiftsail_protocol::state::{Commit, When};

/// Where the form stands, as this controller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// An earlier version may still serve.
    #[default]
    Mixed,
    /// The note is being written.
    Raising,
    /// Every controller knows it.
    Raised,
}

/// What the state service holds of it.
#[derive(Debug, Serialize, Deserialize)]
struct FormRecord {
    /// The form that every controller reads.
    form: u32,
}

/// The form of records in use.
#[derive(Debug, Default)]
pub(super) struct Rollout {
    stage: Stage,
    /// Other controllers whose latest heartbeat was of a version that knows it.
    heard: BTreeSet<String>,
}

impl Rollout {
    /// The one function that changes where it stands. What is raised is never lowered.
    fn advance(&mut self, to: Stage) -> bool {
        let again = self.stage == Stage::Raising && to == Stage::Raising;
        let allowed = self.stage != Stage::Raised && !again;
        if allowed {
            self.stage = to;
        }
        allowed
    }

    /// What the state service holds was read.
    pub fn saw(&mut self, value: Option<&Value>) {
        let record = value.and_then(|v| FormRecord::deserialize(v).ok());
        if record.is_some_and(|r| r.form >= FORM) {
            self.advance(Stage::Raised);
        }
    }

    /// Another controller has told the form that its version knows.
    pub fn hear(&mut self, node: &str, form: u32) {
        if form >= FORM {
            if !self.heard.contains(node) {
                self.heard.insert(node.to_string());
            }
        } else {
            self.heard.remove(node);
        }
    }

    /// Whether jobs that await others may be accepted.
    pub fn raised(&self) -> bool {
        self.stage == Stage::Raised
    }
}

impl Node {
    /// Somebody wants what only the new form can say: it is raised if no earlier version serves any more.
    pub(super) fn want_form(&mut self) {
        let all = self.settings.others.iter().all(|o| self.rollout.heard.contains(&o.host_name));
        if !all || !self.rollout.advance(Stage::Raising) {
            return;
        }
        let commit = Commit {
            when: vec![When { key: keys::FORM.into(), stamp: 0 }],
            apply: vec![super::chunks::put(keys::FORM.into(), &FormRecord { form: FORM })],
        };
        let until = Patience::Once(self.now.steady + USER_STORE_TIMEOUT_MS);
        self.store.push(Call::Commit(commit), Purpose::RaiseForm, Urgency::Bind, until);
    }

    /// The note was written, by this controller or by another before it; or it is not known.
    pub(super) fn on_form_raised(&mut self, outcome: &Outcome) {
        let to = match outcome {
            Outcome::Committed(_) => Stage::Raised,
            // Another's: the term is read anew every second, and the note with it.
            _ => Stage::Mixed,
        };
        if self.rollout.advance(to) && to == Stage::Raised {
            tracing::info!(
                form = FORM,
                "every controller knows jobs that await others: they are accepted"
            );
        }
    }
}
