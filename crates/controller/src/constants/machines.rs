//! Liveness of machines, scale-out and scale-in, consolidation, faulty machines and faulty jobs.

/// Share of `lease_s` after which a silent machine gets no new work.
pub const SILENT_LEASE_SHARE: f64 = 0.35;

/// Divisor of the connection limit: the part that probes may use concurrently.
pub const PROBE_CONNECTION_DIVISOR: usize = 10;

/// Interval between liveness checks of all machines, ms; bounds their CPU cost.
pub const LIVENESS_CHECK_INTERVAL_MS: u64 = 500;

/// Time before `cancel_s` ends at which a machine with a cancelled task that is not confirmed gone is terminated,
/// ms. Covers the lag of the machine list, rate limits and two termination attempts.
pub const CANCEL_MARGIN_MS: u64 = 14_000;

/// Time after which an urgent termination is requested again, ms, whatever the outcome of the last attempt. The
/// cloud takes a fraction of a second, and the request is idempotent.
pub const TERMINATION_RETRY_MS: u64 = 2_000;

/// Time for which the machines that a gang has vacated stay reserved for it, ms. Its last task is confirmed gone
/// and a scheduling cycle has run within a few reports, and an idle machine costs money.
pub const GANG_RESERVATION_MS: u64 = 15_000;

/// Interval between two stop commands for the same task, ms.
pub const STOP_RETRY_MS: u64 = 1_500;

/// Grace period of a stop beyond the time that the job's checkpoint takes, s.
pub const STOP_GRACE_EXTRA_S: f64 = 2.0;

/// Longest normal boot, as a multiple of `boot_s`, as the protocol states.
pub const MAX_USUAL_BOOT_FACTOR: f64 = 1.5;

/// Time after the longest normal boot, and after a failover, for which a machine that never reported still counts
/// as capacity, ms. A worker finds a new leader within several seconds.
pub const REGISTRATION_GRACE_MS: u64 = 10_000;

/// Boot timeout as a multiple of `boot_s`; at least `boot_s` plus [`MIN_BOOT_TIMEOUT_MARGIN_MS`]. A machine that
/// takes longer is terminated.
pub const BOOT_TIMEOUT_FACTOR: f64 = 2.5;

/// Minimum difference between the boot timeout and `boot_s`, ms.
pub const MIN_BOOT_TIMEOUT_MARGIN_MS: u64 = 20_000;

/// Time after which a machine without tasks is terminated, ms. The cloud bills at least 60 s for a machine.
pub const IDLE_MACHINE_TIMEOUT_MS: u64 = 25_000;

/// Interval between checks for idle machines, ms; bounds their CPU cost.
pub const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Interval between two replica migrations, ms. One replica restarts within it.
pub const MIGRATION_INTERVAL_MS: u64 = 1_500;

/// Machines drained for consolidation at the same time at most.
pub const MAX_DRAINING_MACHINES: usize = 2;

/// A machine is drained if it costs at least this many times what its replicas would cost on a full machine of the
/// cheapest type. A migration costs a replica a few seconds; a half-empty machine costs money for minutes.
pub const CONSOLIDATION_COST_RATIO: f64 = 1.9;

/// Replicas that a service needs for one of them to be migrated, so that the others keep serving.
pub const MIN_MIGRATION_REPLICAS: u32 = 2;

/// Machines at most for which one check searches capacity elsewhere; bounds its CPU cost.
pub const MAX_CONSOLIDATION_CANDIDATES: usize = 8;

/// Time for which a replica must have run before it may be migrated, ms. A start only counts once the replica has
/// run for 30 s.
pub const MIN_MIGRATION_RUN_MS: u64 = 45_000;

/// Longest image fetch for which a replica is migrated, ms.
pub const MAX_MIGRATION_FETCH_MS: f64 = 2_500.0;

/// Different jobs with failed tasks on a machine, without a success in between, from which on the machine is
/// suspected to be faulty.
pub const SUSPECT_MACHINE_JOBS: usize = 2;

/// The same number if none of those jobs has ever succeeded, since the jobs themselves may be faulty.
pub const SUSPECT_MACHINE_UNPROVEN_JOBS: usize = 3;

/// Machines on which a job must have failed, without any success, for the job to be considered faulty.
pub const FAULTY_JOB_MACHINES: usize = 3;

/// Initial backoff before a faulty job is retried, ms. Doubled with each failure.
pub const FAULTY_JOB_BACKOFF_MS: u64 = 5_000;

/// Upper bound of that backoff, ms.
pub const MAX_FAULTY_JOB_BACKOFF_MS: u64 = 60_000;

/// Tasks of a faulty job that are tried at the same time at most.
pub const MAX_FAULTY_JOB_TASKS: usize = 2;

/// Initial backoff of an offer (machine type, zone, spot) after "no capacity", ms. Doubled each time.
pub const NO_CAPACITY_BACKOFF_MS: u64 = 8_000;

/// Upper bound of that backoff, ms.
pub const MAX_NO_CAPACITY_BACKOFF_MS: u64 = 40_000;

/// Share of the machines of a type that one zone may hold before other zones are preferred. With an even spread over
/// three zones, gangs that need two machines in one zone found them in different zones.
pub const ZONE_SHARE_THRESHOLD: f64 = 0.5;

/// Relative cost added to a machine in a zone, times the share by which the zone exceeds that threshold. Zones cost
/// the same, and this must not outweigh the price difference to another machine type.
pub const ZONE_CONCENTRATION_COST: f64 = 0.02;

/// Relative cost added in a zone where most machines are silent. A new machine there may be unreachable, but may
/// also be the only one available.
pub const SILENT_ZONE_COST: f64 = 10.0;

/// Ready machines that a zone needs for it to be considered silent.
pub const MIN_SILENT_ZONE_MACHINES: u32 = 5;

/// Time spent on a machine's boot and image fetch that doubles its cost per task, ms.
pub const WAIT_COST_DOUBLING_MS: f64 = 120_000.0;

/// Relative cost of a machine as such while the fleet is close to its size limit, divided by the tasks that it
/// holds. A machine for four tasks then wins over one for a single task unless it costs a fifth more per task.
pub const FLEET_LIMIT_COST: f64 = 0.3;

/// Remaining boot time assumed for a machine whose boot time has already passed, ms.
pub const LATE_BOOT_ESTIMATE_MS: f64 = 2_000.0;

/// Boot time assumed for a machine of unknown type, ms.
pub const DEFAULT_BOOT_MS: f64 = 60_000.0;

/// Tolerance for sums of decimal amounts, in the unit of the amount.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Terminated machines that are remembered, so that an outdated list or a delayed report does not bring them back.
/// Each takes 24 bytes.
pub const MAX_TERMINATED_HISTORY: usize = 16_000;

/// Unanswered provisioning requests for one offer (machine type, zone, spot) at most.
pub const MAX_OPEN_PROVISIONING_REQUESTS: usize = 3;

/// Machines that a job remembers to avoid after failures there, at most.
pub const MAX_BAD_MACHINES: usize = 16;
