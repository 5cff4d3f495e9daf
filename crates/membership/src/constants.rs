//! Every constant of membership, with its unit and the reason for its value.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Weight of a new interval between reports in the learned mean and deviation: some ten reports count.
pub const LEARN: f64 = 0.1;
/// Share of the report period by which a report may be late by itself (protocol: a quarter).
pub const JITTER: f64 = 0.25;
/// Deviations of the learned interval beyond which a machine is quiet.
pub const QUIET_DEVIATIONS: f64 = 3.0;
/// Time beyond the report period and its jitter after which a machine is quiet, ms: packets are lost and
/// sent again.
pub const QUIET_SLACK_MS: f64 = 700.0;
/// Time in which a worker finds another controller, ms: it waits 4 s for one that is silent, and tries the
/// next a second later.
pub const FIND_MS: f64 = 5_000.0;
/// Time from the beginning of a term until machines that were not heard are asked, ms: the machine list
/// with their addresses is there by then, and most live ones have reported by themselves: to ask all a
/// thousand of them was a burden on a leader that had just begun.
pub const GREET_MS: f64 = 5_000.0;
/// Share of a zone's machines, or of a controller's workers, that are silent when all that is silent there
/// is taken to be cut off: a cut silences every one, a death leaves some.
pub const CUT_SHARE: f64 = 0.97;
/// Machines below which no pattern is seen.
pub const PATTERN_LEAST: usize = 4;
/// Probes without an answer after which a machine is presumed dead or hung.
pub const PROBES_FAILED: u8 = 2;
/// Time between two probes of one machine, ms: a probe has its own time-out of 1.2 s.
pub const PROBE_AGAIN_MS: u64 = 2_000;
/// Time between two probes of a machine that is presumed cut off or hung, ms: hundreds may be.
pub const PROBE_SLOW_MS: u64 = 12_000;
/// Time beyond a late report after which a dead machine that holds production work is returned, ms. A live
/// worker that was sent to a leader which it cannot reach is silent for as long: it waits 4 s for the
/// answer, and half a second and a second between two nodes.
pub const DETOUR_MS: f64 = 6_000.0;
/// Share of the lease after which any other dead machine is returned.
pub const DEAD_SHARE: f64 = 0.5;
/// Share of the lease after which a hung machine is returned if production waits on it: by then it has
/// lost what a short hang costs.
pub const HUNG_SHARE: f64 = 0.7;
/// Share of the lease after which a machine that is silent for any other reason is returned: its own
/// lease is then about to end its tasks anyway.
pub const LOST_SHARE: f64 = 0.95;
/// Times that as long for what is presumed cut off, or hung without production: cuts end, and what they
/// held goes on.
pub const CUT_PATIENCE: f64 = 2.5;
