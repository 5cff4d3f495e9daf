//! An explorer of small worlds: every order of steps, breadth first, so that the first history found that
//! breaks something is a shortest one. Worlds that were seen are not entered again; of each only a number
//! of 64 bits is remembered, as in hash compaction (Wolper and Leroy, 1993): at a million worlds the chance
//! that any is taken for another is about one in forty million.

use rustc_hash::{FxHashSet, FxHasher};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

/// A small world.
pub trait Small: Clone + Hash {
    /// What may happen.
    type Step: Clone + Debug;
    /// All that may happen now.
    fn steps(&self) -> Vec<Self::Step>;
    /// Lets it happen.
    fn take(&mut self, step: &Self::Step);
    /// What is broken, if anything is.
    fn broken(&self) -> Option<String>;
}

/// What was found.
#[derive(Debug, Clone)]
pub struct Found<S> {
    /// Worlds entered.
    pub worlds: usize,
    /// Steps of the longest history entered.
    pub depth: usize,
    /// Every world within the bounds was entered.
    pub whole: bool,
    /// What broke, and the history that led there.
    pub broken: Option<(String, Vec<S>)>,
}

/// Explores histories of at most so many steps, and at most so many worlds.
pub fn explore<W: Small>(first: W, depth: usize, most: usize) -> Found<W::Step> {
    // For each world entered: where it came from, and by which step.
    let mut came: Vec<(usize, Option<W::Step>)> = vec![(0, None)];
    let mut seen = FxHashSet::default();
    seen.insert(number(&first));
    let mut found = Found { worlds: 1, depth: 0, whole: true, broken: None };
    let mut next = VecDeque::from([(first, 0, 0)]);
    while let Some((world, index, steps)) = next.pop_front() {
        if let Some(what) = world.broken() {
            let mut history = Vec::new();
            let mut at = index;
            while let (from, Some(step)) = &came[at] {
                history.push(step.clone());
                at = *from;
            }
            history.reverse();
            found.broken = Some((what, history));
            return found;
        }
        found.depth = found.depth.max(steps);
        if steps == depth {
            continue;
        }
        for step in world.steps() {
            let mut to = world.clone();
            to.take(&step);
            if !seen.insert(number(&to)) {
                continue;
            }
            if found.worlds == most {
                found.whole = false;
                break;
            }
            found.worlds += 1;
            came.push((index, Some(step)));
            next.push_back((to, came.len() - 1, steps + 1));
        }
    }
    found
}

fn number<W: Hash>(world: &W) -> u64 {
    let mut hasher = FxHasher::default();
    world.hash(&mut hasher);
    hasher.finish()
}
