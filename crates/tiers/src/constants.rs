//! Constants of this crate, with their units.

/// Maximum number of tiers in a table: operators on call must be able to tell them apart.
pub const MAX_TIERS: usize = 16;
/// Maximum length of a tier's name, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Maximum length of an expression, bytes.
pub const MAX_EXPRESSION_BYTES: usize = 2_000;
/// Generated jobs on which a table is tried: enough to find a job that meets three independent conditions of which
/// each holds one time in ten. They take about 50 ms of a whole core.
pub const TRIAL_JOBS: usize = 6_000;
/// Maximum number of operations of one expression, the same as for a policy.
pub const MAX_EXPRESSION_OPS: u64 = swiftsail_policy::constants::MAX_POLICY_OPS;
