//! Every constant of membership, with its unit and the reason for its value.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;
/// Weight of a new interval between reports in the learned mean and deviation: some ten reports count.
pub const INTERVAL_EWMA_WEIGHT: f64 = 0.1;
/// Share of the report period by which a report may be late by itself (protocol: a quarter).
pub const REPORT_JITTER_SHARE: f64 = 0.25;
/// Deviations of the learned interval beyond which a machine is quiet.
pub const LATE_DEVIATIONS: f64 = 3.0;
/// Time beyond the report period and its jitter after which a machine is quiet, ms: packets are lost and
/// sent again.
pub const LATE_SLACK_MS: f64 = 700.0;
/// Time in which a worker finds another controller, ms: it waits 4 s for one that is silent, and tries the
/// next a second later.
pub const CONTROLLER_FAILOVER_MS: f64 = 5_000.0;
/// Time from the beginning of a term until machines that were not heard are asked, ms: the machine list
/// with their addresses is there by then, and most live ones have reported by themselves: to ask all a
/// thousand of them was a burden on a leader that had just begun.
pub const INITIAL_PROBE_DELAY_MS: f64 = 5_000.0;
/// Share of a zone's machines, or of a controller's workers, that are silent when all that is silent there
/// is taken to be cut off: a cut silences every one, a death leaves some.
pub const PARTITION_SILENT_SHARE: f64 = 0.97;
/// Machines below which no pattern is seen.
pub const MIN_PARTITION_MACHINES: usize = 4;
/// Probes without an answer after which a machine is presumed dead or hung.
pub const FAILED_PROBES_THRESHOLD: u8 = 2;
/// Time between two probes of one machine, ms: a probe has its own time-out of 1.2 s.
pub const PROBE_INTERVAL_MS: u64 = 2_000;
/// Time between two probes of a machine that is presumed cut off or hung, ms: hundreds may be.
pub const SLOW_PROBE_INTERVAL_MS: u64 = 12_000;
/// Time beyond a late report after which a dead machine that holds production work is returned, ms. A live
/// worker that was sent to a leader which it cannot reach is silent for as long: it waits 4 s for the
/// answer, and half a second and a second between two nodes.
pub const REDIRECT_GRACE_MS: f64 = 6_000.0;
/// Share of the lease after which any other dead machine is returned.
pub const DEAD_RETURN_LEASE_SHARE: f64 = 0.5;
/// Share of the lease after which a hung machine is returned if production waits on it: by then it has
/// lost what a short hang costs.
pub const HUNG_RETURN_LEASE_SHARE: f64 = 0.7;
/// Share of the lease after which a machine that is silent for any other reason is returned: its own
/// lease is then about to end its tasks anyway.
pub const SILENT_RETURN_LEASE_SHARE: f64 = 0.95;
/// Times that as long for what is presumed cut off, or hung without production: cuts end, and what they
/// held goes on.
pub const PARTITION_GRACE_FACTOR: f64 = 2.5;
/// Reports in a row that show nothing of what the answers before them ordered, from which on a machine's hearing
/// is doubted: one answer is lost now and then.
pub const IGNORED_COMMANDS_SUSPECT: u8 = 2;
/// The same, from which on it is held not to hear: with a report every 4 to 5 s most of a lease has gone.
pub const IGNORED_COMMANDS_UNREACHABLE: u8 = 4;
/// Time after a lease that was lost although it was answered within which another one is a relapse, ms: some
/// leases, and a fetch.
pub const RELAPSE_WINDOW_MS: u64 = 120_000;
/// Answered reports in a session from which on its end says something of hearing: one answer may be lost.
pub const MIN_ANSWERED_REPORTS: u32 = 2;
/// Share of the lease within which the last of them must have been answered: whoever was silent for longer
/// may have stood still.
pub const ANSWERED_LEASE_SHARE: f64 = 0.8;
/// Times the lease for which a session must last to show that answers arrive: the report that renewed it
/// first may be as old as one period.
pub const SESSION_LASTED_LEASES: f64 = 1.3;
/// Time over which machines returned for not hearing are counted, ms, ...
pub const UNREACHABLE_RETURN_WINDOW_MS: u64 = 60_000;
/// ... the share of all machines that may be returned for it within that time: a zone whose way back is lost
/// must not empty the fleet, ...
pub const UNREACHABLE_RETURN_SHARE: f64 = 0.05;
/// ... and how many may at least.
pub const MIN_UNREACHABLE_RETURNS: usize = 2;
