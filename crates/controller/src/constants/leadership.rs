//! Leader election, leases, heartbeats between controllers, and how long a leader may act on what it knows.

/// Time to live of the leader's lease, ms. Short, because a crashed leader is replaced only after it expires; long
/// enough for two lost renewals and a few hundred ms of store latency.
pub const LEASE_TTL_MS: u64 = 2_500;

/// Part of the lease that is not relied on after a process pause, ms: clock drift and the response's way back.
pub const LEASE_MARGIN_MS: u64 = 100;

/// Gap between two events from which on the process counts as paused, ms. Ticks come every tenth of it.
pub const PROCESS_PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Time between lease renewals, ms: three attempts within one time to live.
pub const LEASE_RENEW_INTERVAL_MS: u64 = 700;

/// Largest random delay before an election, ms, so that candidates seldom collide.
pub const MAX_ELECTION_JITTER_MS: u64 = 150;

/// Pause after a failed election, ms.
pub const ELECTION_RETRY_MS: u64 = 500;

/// Time for which a leader that resigned because it was isolated does not campaign, ms: a controller that reaches
/// more takes over at once. Doubled with each resignation in a row, up to [`MAX_RESIGNATION_BACKOFF_MS`].
pub const RESIGNATION_BACKOFF_MS: u64 = 15_000;

/// Longest pause after a resignation, ms.
pub const MAX_RESIGNATION_BACKOFF_MS: u64 = 120_000;

/// Machines that should be reporting before their silence counts as isolation of the leader.
pub const MIN_ISOLATION_MACHINES: usize = 3;

/// Time between heartbeats to the other controllers, ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Age up to which a peer's heartbeat is relied on, ms.
pub const HEARTBEAT_VALIDITY_MS: u64 = 1_800;

/// Least time between two expedited heartbeats, ms. They are sent while a user waits for a cancellation to be
/// replicated; what arrives in between goes together.
pub const EXPEDITED_HEARTBEAT_INTERVAL_MS: u64 = 50;

/// Own heartbeats whose sending time is remembered, to date acknowledgements: some seconds of them, expedited ones
/// included.
pub const MAX_HEARTBEAT_HISTORY: usize = 256;

/// Pending cancellations kept at most: some 20 KB in a heartbeat. They are dropped within a second of the leader
/// reading them, and during a store outage nothing can be cancelled.
pub const MAX_PENDING_CANCELLATIONS: usize = 400;

/// Time without an event on the watch of jobs after which the leader polls for changes, ms. How long it may act
/// without the store counts from when it sent its last successful read.
pub const LEADER_POLL_MS: u64 = 1_000;

/// Safety margin before `cancel_s - lease_s` at which a leader without the store stops answering workers, ms.
pub const ANSWER_MARGIN_MS: u64 = 6_000;

/// Least time for which a leader without a store response keeps answering workers, ms.
pub const MIN_ANSWER_VALIDITY_MS: u64 = 2_000;
