//! An explicit-state model checker for small models. It searches breadth first, so the first counterexample found is a
//! shortest one. Visited states are not expanded again. Only a 64-bit hash of each is stored, as in hash compaction
//! (Wolper and Leroy, 1993): with a million states the probability of any collision is about one in forty million.

use rustc_hash::{FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

/// A state of a model, with its transitions.
pub trait Model: Clone + Hash {
    /// A transition to another state.
    type Step: Clone + Debug;
    /// The steps that are possible in this state.
    fn enabled_steps(&self) -> Vec<Self::Step>;
    /// Changes this state to the one after `step`, which must be enabled.
    fn apply(&mut self, step: &Self::Step);
    /// A description of the invariant that this state violates, or `None` if it violates none.
    fn violation(&self) -> Option<String>;
}

/// The outcome of a search, up to the first violation.
#[derive(Debug, Clone)]
pub struct CheckResult<S> {
    /// Number of distinct states found.
    pub states: usize,
    /// Largest number of steps from the initial state to a state that was checked.
    pub depth: usize,
    /// Whether no state within the depth limit was left out because of the limit on the number of states.
    pub is_exhaustive: bool,
    /// Description of the violation found, and the steps from the initial state that lead to it.
    pub violation: Option<(String, Vec<S>)>,
}

/// Checks the states reachable from `initial` in at most `max_depth` steps, and at most `max_states` states. Stops at the
/// first violation.
pub fn check_model<M: Model>(
    initial: M,
    max_depth: usize,
    max_states: usize,
) -> CheckResult<M::Step> {
    // For each state: the index of its predecessor, and the step taken from there.
    let mut predecessors: Vec<(usize, Option<M::Step>)> = vec![(0, None)];
    let mut seen = FxHashSet::default();
    seen.insert(state_hash(&initial));
    let mut result = CheckResult { states: 1, depth: 0, is_exhaustive: true, violation: None };
    let mut queue = VecDeque::from([(initial, 0, 0)]);
    while let Some((state, index, depth)) = queue.pop_front() {
        if let Some(description) = state.violation() {
            let mut history = Vec::new();
            let mut at = index;
            while let (previous, Some(step)) = &predecessors[at] {
                history.push(step.clone());
                at = *previous;
            }
            history.reverse();
            result.violation = Some((description, history));
            return result;
        }
        result.depth = result.depth.max(depth);
        if depth == max_depth {
            continue;
        }
        for step in state.enabled_steps() {
            let mut successor = state.clone();
            successor.apply(&step);
            if !seen.insert(state_hash(&successor)) {
                continue;
            }
            if result.states == max_states {
                result.is_exhaustive = false;
                break;
            }
            result.states += 1;
            predecessors.push((index, Some(step)));
            queue.push_back((successor, predecessors.len() - 1, depth + 1));
        }
    }
    result
}

fn state_hash<S: Hash>(state: &S) -> u64 {
    let mut hasher = FxHasher::default();
    state.hash(&mut hasher);
    hasher.finish()
}
