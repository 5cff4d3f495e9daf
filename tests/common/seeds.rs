//! Seeds of randomized tests: a few by default, others by an environment variable.

use std::ops::Range;

/// Returns the seeds that an environment variable gives as `FROM..TO`, without `TO`. `None` if it is unset or malformed.
pub fn seeds_from_environment(variable: &str) -> Option<Range<u64>> {
    let value = std::env::var(variable).ok()?;
    let (from, to) = value.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}
