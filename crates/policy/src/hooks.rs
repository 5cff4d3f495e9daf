//! The hooks of decision plug-ins, what each may answer, and how answers of several are composed.
//! The rules are deterministic; plug-ins speak in their order of precedence, then of their names.
//!
//! | hook | answer | composed by |
//! | --- | --- | --- |
//! | `priority(job, cluster)` | a number from -100 to 100 | sum, bounded to the same |
//! | `class_order(class, cluster)` | a whole number from 0 to 1000 | the first that answers |
//! | `spot_share(job, cluster)` | a number from 0 to 1 | the least: all limits hold |
//! | `avoid_types(job, types)` | a list of names of machine types | all that any avoids, unless nothing would be left |
//! | `admit(job, cluster)` | true, or seconds from 0 to 30 after which to come back | the longest |
//!
//! `()` is no answer. None reaches limits, zones, proofs, or the order of priorities.

use crate::constants::{MAX_CLASS_ORDER, MAX_RETRY_AFTER_S, MAX_SCORE};
use crate::expression_engine::Diagnostic;
use rhai::{Array, Dynamic, Position};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A hook.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hook {
    /// Preference of a job within its level.
    Priority,
    /// Order of a class within its level.
    ClassOrder,
    /// Largest share of spot CPUs.
    SpotShare,
    /// Machine types to avoid.
    AvoidTypes,
    /// Whether a submission should come back later.
    Admit,
}

impl Hook {
    /// All of them.
    pub const ALL: [Hook; 5] =
        [Hook::Priority, Hook::ClassOrder, Hook::SpotShare, Hook::AvoidTypes, Hook::Admit];

    /// Name of its function, which takes two values.
    pub fn name(self) -> &'static str {
        match self {
            Hook::Priority => "priority",
            Hook::ClassOrder => "class_order",
            Hook::SpotShare => "spot_share",
            Hook::AvoidTypes => "avoid_types",
            Hook::Admit => "admit",
        }
    }
}

/// An answer that was understood.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HookAnswer {
    /// Preference.
    Score(f64),
    /// Order.
    #[serde(rename = "order")]
    ClassOrder(i64),
    /// Share.
    #[serde(rename = "share")]
    SpotShare(f64),
    /// Types.
    #[serde(rename = "avoid")]
    AvoidTypes(BTreeSet<String>),
    /// Seconds after which to come back; 0: admitted.
    #[serde(rename = "later")]
    RetryAfterS(f64),
}

/// Reads what a function gave. None: it says nothing. An error is nonsense, and a fault.
pub fn parse_answer(hook: Hook, found: &Dynamic) -> Result<Option<HookAnswer>, Diagnostic> {
    if found.is_unit() {
        return Ok(None);
    }
    let number = found.as_float().or_else(|_| found.as_int().map(|n| n as f64)).ok();
    let within = |least: f64, most: f64| number.filter(|n| (least..=most).contains(n));
    let answer = match hook {
        Hook::Priority => within(-MAX_SCORE, MAX_SCORE).map(HookAnswer::Score),
        Hook::ClassOrder => found
            .as_int()
            .ok()
            .filter(|n| (0..=MAX_CLASS_ORDER).contains(n))
            .map(HookAnswer::ClassOrder),
        Hook::SpotShare => within(0.0, 1.0).map(HookAnswer::SpotShare),
        Hook::AvoidTypes => parse_names(found).map(HookAnswer::AvoidTypes),
        Hook::Admit if found.as_bool().ok() == Some(true) => Some(HookAnswer::RetryAfterS(0.0)),
        Hook::Admit => within(0.0, MAX_RETRY_AFTER_S).map(HookAnswer::RetryAfterS),
    };
    answer.map(Some).ok_or_else(|| {
        let shown: String = found.to_string().chars().take(60).collect();
        let expected = match hook {
            Hook::Priority => "a number from -100 to 100",
            Hook::ClassOrder => "a whole number from 0 to 1000",
            Hook::SpotShare => "a number from 0 to 1",
            Hook::AvoidTypes => "a list of names",
            Hook::Admit => "true, or a number of seconds from 0 to 30",
        };
        let cause = format!("{} gives {shown}; {expected} or () is expected", hook.name());
        Diagnostic::at_position(Position::NONE, cause)
    })
}

fn parse_names(found: &Dynamic) -> Option<BTreeSet<String>> {
    let list = found.read_lock::<Array>()?;
    list.iter().map(|n| n.clone().into_string().ok()).collect()
}

/// One answer of several that agree on nothing: the rule of the hook.
pub fn compose_answers(hook: Hook, answers: &[HookAnswer]) -> Option<HookAnswer> {
    let first = answers.first()?.clone();
    let rest = &answers[1..];
    Some(rest.iter().fold(first, |so_far, next| match (hook, so_far, next) {
        (Hook::Priority, HookAnswer::Score(a), HookAnswer::Score(b)) => HookAnswer::Score(a + b),
        (Hook::SpotShare, HookAnswer::SpotShare(a), HookAnswer::SpotShare(b)) => {
            HookAnswer::SpotShare(a.min(*b))
        }
        (Hook::AvoidTypes, HookAnswer::AvoidTypes(a), HookAnswer::AvoidTypes(b)) => {
            HookAnswer::AvoidTypes(a.union(b).cloned().collect())
        }
        (Hook::Admit, HookAnswer::RetryAfterS(a), HookAnswer::RetryAfterS(b)) => {
            HookAnswer::RetryAfterS(a.max(*b))
        }
        // Order of precedence: the first stands.
        (_, first, _) => first,
    }))
    .map(|answer| match answer {
        HookAnswer::Score(sum) => HookAnswer::Score(sum.clamp(-MAX_SCORE, MAX_SCORE)),
        other => other,
    })
}
