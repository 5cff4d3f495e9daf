//! Constants of failure detection.

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;

/// Weight of a new interval between reports in the learned mean and deviation: about ten reports count.
pub const INTERVAL_EWMA_WEIGHT: f64 = 0.1;

/// Share of the report period by which the protocol lets a report be late.
pub const REPORT_JITTER_SHARE: f64 = 0.25;

/// Deviations above the learned mean interval after which a report is late.
pub const LATE_DEVIATIONS: f64 = 3.0;

/// Time beyond the report period and its jitter after which a report is late, ms: lost packets are retransmitted.
pub const LATE_SLACK_MS: f64 = 700.0;

/// Time in which a worker fails over to another controller, ms: it waits 4 s for one that does not respond, and tries
/// the next a second later.
pub const CONTROLLER_FAILOVER_MS: f64 = 5_000.0;

/// Time from the beginning of a term until machines that have not reported are probed, ms: by then the machine list
/// with their addresses has been read, and most live machines have reported. Probing about a thousand at once
/// overloaded a leader that had just begun.
pub const INITIAL_PROBE_DELAY_MS: f64 = 5_000.0;

/// Share of a zone's machines, or of a controller's workers, that must be silent for the silent ones to be presumed
/// partitioned: a partition silences all of them, while crashes leave some that report.
pub const PARTITION_SILENT_SHARE: f64 = 0.97;

/// Fewer machines than this in a zone or with a controller are never presumed partitioned together.
pub const MIN_PARTITION_MACHINES: usize = 4;

/// Consecutive failed probes after which a machine is presumed dead or hung.
pub const FAILED_PROBES_THRESHOLD: u8 = 2;

/// Time between two probes of one machine, ms: a probe times out after 1.2 s.
pub const PROBE_INTERVAL_MS: u64 = 2_000;

/// Time between two probes of a machine that is presumed partitioned or hung, ms: there may be hundreds of them.
pub const SLOW_PROBE_INTERVAL_MS: u64 = 12_000;

/// Time beyond the tolerated silence after which a machine presumed dead that runs production work is returned, ms. A
/// live worker that was redirected to a leader which it cannot reach is silent for as long: it waits 4 s for the
/// response, and 0.5 s and 1 s between two controllers.
pub const REDIRECT_GRACE_MS: f64 = 6_000.0;

/// Share of the lease after which any other machine presumed dead is returned.
pub const DEAD_RETURN_LEASE_SHARE: f64 = 0.5;

/// Share of the lease after which a hung machine that runs production work is returned: waiting until then costs as
/// much as a short hang does.
pub const HUNG_RETURN_LEASE_SHARE: f64 = 0.7;

/// Share of the lease after which a machine that is silent for any other reason is returned: its lease is then about to
/// expire, which ends its tasks anyway.
pub const SILENT_RETURN_LEASE_SHARE: f64 = 0.95;

/// Multiple of that time for machines presumed partitioned, or hung without production work: partitions heal, and the
/// tasks behind them continue.
pub const PARTITION_GRACE_FACTOR: f64 = 2.5;

/// Consecutive reports that show nothing of what the responses before them commanded, from which on a machine is
/// suspected to be unreachable inbound: a single response is lost now and then.
pub const IGNORED_COMMANDS_SUSPECT: u8 = 2;

/// The same, from which on it is presumed unreachable inbound: with a report every 4 to 5 s, most of a lease has
/// passed.
pub const IGNORED_COMMANDS_UNREACHABLE: u8 = 4;

/// Time after a lease was lost although its reports were answered within which losing another is a relapse, ms: a few
/// leases and an image fetch.
pub const RELAPSE_WINDOW_MS: u64 = 120_000;

/// Answered reports in a session from which on its end is evidence of inbound unreachability: one response may be lost.
pub const MIN_ANSWERED_REPORTS: u32 = 2;

/// Share of the lease within which the last of them must have been answered: a machine that was silent for longer may
/// have been paused.
pub const ANSWERED_LEASE_SHARE: f64 = 0.8;

/// Multiple of the lease for which a session must last to show that responses arrive: the report that renewed the lease
/// first may be one period old.
pub const SESSION_LASTED_LEASES: f64 = 1.3;

/// Time over which machines returned for being unreachable inbound are counted, ms.
pub const UNREACHABLE_RETURN_WINDOW_MS: u64 = 60_000;

/// Share of all machines that may be returned for that reason within this time: a zone whose inbound connections fail
/// must not empty the fleet.
pub const UNREACHABLE_RETURN_SHARE: f64 = 0.05;

/// Number of machines that may be returned for that reason within this time, however few there are.
pub const MIN_UNREACHABLE_RETURNS: usize = 2;
