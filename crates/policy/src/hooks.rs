//! The hooks of decision plug-ins, their valid answers, and the composition of answers of several plug-ins. Composition
//! is deterministic: plug-ins are called in the order of their precedence, then of their names.
//!
//! | hook | answer | composition |
//! | --- | --- | --- |
//! | `priority(job, cluster)` | a number from -100 to 100 | the sum, clamped to the same range |
//! | `class_order(class, cluster)` | an integer from 0 to 1000 | the first answer |
//! | `spot_share(job, cluster)` | a number from 0 to 1 | the minimum, so that every limit holds |
//! | `avoid_types(job, types)` | a list of names of machine types | the union; ignored if no type would be left |
//! | `admit(job, cluster)` | true, or a retry delay from 0 to 30 s | the longest delay |
//!
//! `()` means no answer. No hook can affect limits, zones, the confirmation of task termination, or the order of
//! priority levels.

use crate::constants::{MAX_CLASS_ORDER, MAX_RETRY_AFTER_S, MAX_SCORE};
use crate::expression_engine::Diagnostic;
use rhai::{Array, Dynamic, Position};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A hook: a decision on which plug-ins advise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hook {
    /// Score of a job within its priority level.
    Priority,
    /// Order of a job class within its priority level.
    ClassOrder,
    /// Maximum share of CPUs on spot machines.
    SpotShare,
    /// Machine types to avoid.
    AvoidTypes,
    /// Whether a submission is admitted now or should be retried later.
    Admit,
}

impl Hook {
    /// All hooks.
    pub const ALL: [Hook; 5] =
        [Hook::Priority, Hook::ClassOrder, Hook::SpotShare, Hook::AvoidTypes, Hook::Admit];

    /// Name of the plug-in function, which has two parameters.
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

/// A valid answer of a hook.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HookAnswer {
    /// Score of a job.
    Score(f64),
    /// Order of a job class.
    #[serde(rename = "order")]
    ClassOrder(i64),
    /// Maximum share of CPUs on spot machines.
    #[serde(rename = "share")]
    SpotShare(f64),
    /// Names of the machine types to avoid.
    #[serde(rename = "avoid")]
    AvoidTypes(BTreeSet<String>),
    /// Retry delay of a submission, s; 0 means admitted.
    #[serde(rename = "later")]
    RetryAfterS(f64),
}

/// Parses the return value of a hook. Returns `None` for no answer, and an error for an invalid answer, which counts as
/// a fault of the plug-in.
pub fn parse_answer(hook: Hook, value: &Dynamic) -> Result<Option<HookAnswer>, Diagnostic> {
    if value.is_unit() {
        return Ok(None);
    }
    let number = value.as_float().or_else(|_| value.as_int().map(|n| n as f64)).ok();
    let in_range = |min: f64, max: f64| number.filter(|n| (min..=max).contains(n));
    let answer = match hook {
        Hook::Priority => in_range(-MAX_SCORE, MAX_SCORE).map(HookAnswer::Score),
        Hook::ClassOrder => value
            .as_int()
            .ok()
            .filter(|n| (0..=MAX_CLASS_ORDER).contains(n))
            .map(HookAnswer::ClassOrder),
        Hook::SpotShare => in_range(0.0, 1.0).map(HookAnswer::SpotShare),
        Hook::AvoidTypes => parse_names(value).map(HookAnswer::AvoidTypes),
        Hook::Admit if value.as_bool().ok() == Some(true) => Some(HookAnswer::RetryAfterS(0.0)),
        Hook::Admit => in_range(0.0, MAX_RETRY_AFTER_S).map(HookAnswer::RetryAfterS),
    };
    answer.map(Some).ok_or_else(|| {
        let shown: String = value.to_string().chars().take(60).collect();
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

fn parse_names(value: &Dynamic) -> Option<BTreeSet<String>> {
    let list = value.read_lock::<Array>()?;
    list.iter().map(|n| n.clone().into_string().ok()).collect()
}

/// Composes the answers of several plug-ins, given in the order of precedence, by the rule of the hook. Returns `None`
/// without answers.
pub fn compose_answers(hook: Hook, answers: &[HookAnswer]) -> Option<HookAnswer> {
    let first = answers.first()?.clone();
    let rest = &answers[1..];
    Some(rest.iter().fold(first, |composed, next| match (hook, composed, next) {
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
        // The first answer, by precedence.
        (_, first, _) => first,
    }))
    .map(|answer| match answer {
        HookAnswer::Score(sum) => HookAnswer::Score(sum.clamp(-MAX_SCORE, MAX_SCORE)),
        other => other,
    })
}
