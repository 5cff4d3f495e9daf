//! Liveness of machines, scale out and in, consolidation, faulty machines and faulty jobs.

/// Share of `lease_s` after which a silent machine gets no new work.
pub const SILENT_LEASE_SHARE: f64 = 0.35;

/// Divisor of the socket limit: the part that may be used for probes at once.
pub const PROBE_CONNECTION_DIVISOR: usize = 10;

/// Time between liveness checks of all machines, ms (processor).
pub const LIVENESS_CHECK_INTERVAL_MS: u64 = 500;

/// Time before `cancel_s` ends at which a machine that holds a cancelled task not confirmed gone is terminated, ms:
/// the machine list, rate limits and two attempts at termination fit in it.
pub const CANCEL_MARGIN_MS: u64 = 14_000;

/// Time after which an urgent termination is requested again, ms, whatever came of the last attempt: the cloud
/// takes a fraction of a second, and the request is idempotent.
pub const TERMINATION_RETRY_MS: u64 = 2_000;

/// Time for which the machines that a gang has vacated are reserved for it, ms: within some reports its last task
/// is confirmed gone and a cycle has run, and an idle machine costs.
pub const GANG_RESERVATION_MS: u64 = 15_000;

/// Time between two stop commands for the same task, ms.
pub const STOP_RETRY_MS: u64 = 1_500;

/// Grace period beyond the job's time to save that a stop allows, s.
pub const STOP_GRACE_EXTRA_S: f64 = 2.0;

/// Longest usual boot, as a multiple of `boot_s` (protocol).
pub const MAX_USUAL_BOOT_FACTOR: f64 = 1.5;

/// Time beyond that, and after a failover, for which a machine that never reported is still counted on, ms: a
/// worker finds a new leader within some seconds.
pub const REGISTRATION_GRACE_MS: u64 = 10_000;

/// A boot that takes longer than this multiple of `boot_s`, and longer by [`MIN_BOOT_TIMEOUT_MARGIN_MS`], is given up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 2.5;

/// See [`BOOT_TIMEOUT_FACTOR`], ms.
pub const MIN_BOOT_TIMEOUT_MARGIN_MS: u64 = 20_000;

/// Time for which a machine without tasks is kept, ms: a terminated machine costs 60 s at least.
pub const IDLE_MACHINE_TIMEOUT_MS: u64 = 25_000;

/// Time between checks for idle machines, ms (processor).
pub const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Time between two replica migrations, ms: one replica restarts within it.
pub const MIGRATION_INTERVAL_MS: u64 = 1_500;

/// Machines drained for consolidation at once.
pub const MAX_DRAINING_MACHINES: usize = 2;

/// A machine is drained if it costs this many times what its replicas would cost on a full machine of the cheapest
/// type: a migration costs a replica a few seconds, a machine half empty costs for minutes.
pub const CONSOLIDATION_COST_RATIO: f64 = 1.9;

/// Replicas that a service needs for one of them to be migrated: the others go on serving.
pub const MIN_MIGRATION_REPLICAS: u32 = 2;

/// Machines for which one check looks for room elsewhere (processor).
pub const MAX_CONSOLIDATION_CANDIDATES: usize = 8;

/// Time for which a replica must have run before it may be migrated, ms: a start counts once it has run for 30 s.
pub const MIN_MIGRATION_RUN_MS: u64 = 45_000;

/// Longest image fetch for which a replica is migrated, ms.
pub const MAX_MIGRATION_FETCH_MS: f64 = 2_500.0;

/// Different jobs with failed tasks on one machine, without a success between, that make it suspect.
pub const SUSPECT_MACHINE_JOBS: usize = 2;

/// The same where none of those jobs has ever succeeded: the jobs may be at fault themselves.
pub const SUSPECT_MACHINE_UNPROVEN_JOBS: usize = 3;

/// Machines on which a job must have failed, without any success, to be held at fault.
pub const FAULTY_JOB_MACHINES: usize = 3;

/// Backoff before a job held at fault is retried, ms, doubled with each failure.
pub const FAULTY_JOB_BACKOFF_MS: u64 = 5_000;

/// Longest such backoff, ms.
pub const MAX_FAULTY_JOB_BACKOFF_MS: u64 = 60_000;

/// Tasks of such a job that are tried at once.
pub const MAX_FAULTY_JOB_TASKS: usize = 2;

/// Backoff of an offer (type, zone, spot) after "no capacity", ms, doubled each time.
pub const NO_CAPACITY_BACKOFF_MS: u64 = 8_000;

/// Longest such backoff, ms.
pub const MAX_NO_CAPACITY_BACKOFF_MS: u64 = 40_000;

/// Part of the machines of a type that one zone may hold before another is preferred. Spread evenly over three
/// zones, gangs that need two machines in one zone found one here and one there.
pub const ZONE_SHARE_THRESHOLD: f64 = 0.5;

/// Relative cost added to a machine in a zone, for the part that the zone holds beyond that: zones cost the same,
/// and a dearer type is not taken for it.
pub const ZONE_CONCENTRATION_COST: f64 = 0.02;

/// The same where most machines are silent: a new machine there may be unreachable, but may be all there is.
pub const SILENT_ZONE_COST: f64 = 10.0;

/// Machines that a zone needs for its silence to count.
pub const MIN_SILENT_ZONE_MACHINES: u32 = 5;

/// Time over which waiting for a machine's boot and image fetch doubles its cost per task, ms.
pub const WAIT_COST_DOUBLING_MS: f64 = 120_000.0;

/// While few more machines can be managed, a machine itself counts as this share of the price of a task that fills
/// it: a machine for four tasks then wins unless it costs a fifth more for each.
pub const FLEET_LIMIT_COST: f64 = 0.3;

/// Time after which a machine that should be up by now is expected, ms.
pub const LATE_BOOT_ESTIMATE_MS: f64 = 2_000.0;

/// Boot time assumed for a machine of unknown type, ms.
pub const DEFAULT_BOOT_MS: f64 = 60_000.0;

/// Tolerance for sums of decimal amounts, in their own unit.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Terminated machines remembered, so that an old list or a late copy of a report does not bring them back (memory:
/// 24 bytes each).
pub const MAX_TERMINATED_HISTORY: usize = 16_000;

/// Provisioning requests of one offer (type, zone, spot) that wait for a response at once.
pub const MAX_OPEN_PROVISIONING_REQUESTS: usize = 3;

/// Machines remembered as bad for a job.
pub const MAX_BAD_MACHINES: usize = 16;
