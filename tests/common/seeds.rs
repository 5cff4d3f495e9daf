//! The seeds that a randomized test runs: a few by default, others by an environment variable.

use std::ops::Range;

/// The seeds that an environment variable names as `FROM..TO` (`TO` excluded). `None` if it is unset or malformed.
pub fn seeds_from_environment(variable: &str) -> Option<Range<u64>> {
    let value = std::env::var(variable).ok()?;
    let (from, to) = value.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}
