//! An explorer of small worlds: every order of steps, breadth first, so that the first history found that
//! breaks something is a shortest one. Worlds that were seen are not entered again; of each only a number
//! of 64 bits is remembered, as in hash compaction (Wolper and Leroy, 1993): at a million worlds the chance
//! that any is taken for another is about one in forty million.

use rustc_hash::{FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

/// A small world.
pub trait Model: Clone + Hash {
    /// What may happen.
    type Step: Clone + Debug;
    /// All that may happen now.
    fn enabled_steps(&self) -> Vec<Self::Step>;
    /// Lets it happen.
    fn apply(&mut self, step: &Self::Step);
    /// What is broken, if anything is.
    fn violation(&self) -> Option<String>;
}

/// What was found.
#[derive(Debug, Clone)]
pub struct CheckResult<S> {
    /// Worlds entered.
    pub states: usize,
    /// Steps of the longest history entered.
    pub depth: usize,
    /// Every world within the bounds was entered.
    pub is_exhaustive: bool,
    /// What broke, and the history that led there.
    pub violation: Option<(String, Vec<S>)>,
}

/// Explores histories of at most so many steps, and at most so many worlds.
pub fn check_model<W: Model>(first: W, depth: usize, most: usize) -> CheckResult<W::Step> {
    // For each world entered: where it came from, and by which step.
    let mut came: Vec<(usize, Option<W::Step>)> = vec![(0, None)];
    let mut seen = FxHashSet::default();
    seen.insert(state_hash(&first));
    let mut found = CheckResult { states: 1, depth: 0, is_exhaustive: true, violation: None };
    let mut next = VecDeque::from([(first, 0, 0)]);
    while let Some((world, index, steps)) = next.pop_front() {
        if let Some(what) = world.violation() {
            let mut history = Vec::new();
            let mut at = index;
            while let (from, Some(step)) = &came[at] {
                history.push(step.clone());
                at = *from;
            }
            history.reverse();
            found.violation = Some((what, history));
            return found;
        }
        found.depth = found.depth.max(steps);
        if steps == depth {
            continue;
        }
        for step in world.enabled_steps() {
            let mut to = world.clone();
            to.apply(&step);
            if !seen.insert(state_hash(&to)) {
                continue;
            }
            if found.states == most {
                found.is_exhaustive = false;
                break;
            }
            found.states += 1;
            came.push((index, Some(step)));
            next.push_back((to, came.len() - 1, steps + 1));
        }
    }
    found
}

fn state_hash<W: Hash>(world: &W) -> u64 {
    let mut hasher = FxHasher::default();
    world.hash(&mut hasher);
    hasher.finish()
}
