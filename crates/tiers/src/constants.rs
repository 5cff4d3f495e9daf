//! Every constant of this package, with its unit and the reason for it.

/// Tiers in a table at most: what is told apart must be understood at night.
pub const MAX_TIERS: usize = 16;
/// Longest name of a tier, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Longest expression, bytes.
pub const MAX_EXPRESSION_BYTES: usize = 2_000;
/// Jobs made up to try a table on: enough to find one of three conditions that hold together one time in ten
/// each, and some 50 ms of a whole core.
pub const TRIAL_JOBS: usize = 6_000;
/// Operations that one expression may take, as a policy's.
pub const MAX_EXPRESSION_OPS: u64 = swiftsail_policy::constants::MAX_POLICY_OPS;
