//! Every constant of the program, with its unit and the reason for its value.

/// Timeout of a command sent straight to a worker, ms.
pub const WORKER_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a message to another controller, ms.
pub const PEER_TIMEOUT_MS: u64 = 1_000;
/// Time after which a client that sends nothing on an open connection is let go, s.
pub const KEEP_ALIVE_S: u64 = 75;
/// Time within which a machine that is asked whether it lives must take the connection, ms, ...
pub const PROBE_CONNECT_TIMEOUT_MS: u64 = 900;
/// ... and answer, ms.
pub const PROBE_TIMEOUT_MS: u64 = 1_200;
/// Time within which the head of a request must have come, ms: an open connection that says nothing is
/// let go.
pub const REQUEST_HEAD_TIMEOUT_MS: u64 = 5_000;
/// Time within which a body must have come, ms: half of what a worker or a poll is given.
pub const REQUEST_BODY_TIMEOUT_MS: u64 = 2_000;
/// Seconds after which a request shed at the gate should come back, for each level of pressure.
pub const SHED_RETRY_AFTER_S: u32 = 2;
/// Time between two measurements of the processor used, ms.
pub const CPU_SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Where the steady clock of a process begins, ms: late enough to count back from.
pub const MONOTONIC_ORIGIN_MS: u64 = 1_000_000_000;
/// Connections one HTTP listener keeps waiting to be accepted.
pub const LISTEN_BACKLOG: u32 = 256;
/// Largest response that is read, bytes: a follow's has no limit of its own.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Messages that the actor's mailbox holds (memory).
pub const MAX_MAILBOX_MESSAGES: usize = 1024;
/// Largest body that operators may send, bytes: a plug-in's source in JSON.
pub const MAX_ADMIN_BODY_BYTES: usize = 128 * 1024;
/// Connections of operators at once.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;
/// Exit status when nobody answered, or it is not known whether something was done.
pub const EXIT_STATUS_UNKNOWN: u8 = 3;
/// Exit status when a file, an argument or an answer refuses what was asked.
pub const EXIT_STATUS_REFUSED: u8 = 2;

// ---- swiftsail local ---------------------------------------------------------------------------

/// Error of the time of day that `local` tells controllers, ms: they share one clock.
pub const LOCAL_MAX_CLOCK_OFFSET_MS: f64 = 1.0;
/// Memory that `local` tells controllers they have, MB.
pub const LOCAL_MEMORY_MB: f64 = 256.0;
/// Sockets that `local` tells controllers they have.
pub const LOCAL_MAX_CONNECTIONS: usize = 1_000;
/// Most controllers of `local` (ports).
pub const LOCAL_MAX_CONTROLLERS: usize = 5;
/// Most machines of `local` (ports, and listeners of this process).
pub const LOCAL_MAX_MACHINES: usize = 400;
/// First port of `local`.
pub const LOCAL_BASE_PORT: u16 = 7100;
/// Time between two steps of the machines of `local`, ms.
pub const LOCAL_STEP_INTERVAL_MS: u64 = 50;
/// Time between two looks at the controllers' processes, ms.
pub const LOCAL_PROCESS_CHECK_INTERVAL_MS: u64 = 250;
/// Time after which a controller that ended starts again, ms.
pub const LOCAL_RESTART_DELAY_MS: u64 = 3_000;
/// Time between two lines of progress, ms.
pub const LOCAL_PROGRESS_INTERVAL_MS: u64 = 2_000;
/// Time for which a message into a cut is held, ms: longer than any caller waits.
pub const LOCAL_PARTITION_HOLD_MS: u64 = 6_000;
/// Notice that the cloud gives before it takes a spot machine, ms.
pub const LOCAL_RECLAIM_NOTICE_MS: u64 = 15_000;
/// Longest fault that can be asked for, s.
pub const LOCAL_MAX_FAULT_S: f64 = 600.0;
/// Time that a client waits for an answer to a submission or a cancellation (protocol), ms.
pub const CLIENT_TIMEOUT_MS: u64 = 5_000;
/// Time over which a submission or a cancellation is repeated (protocol), ms.
pub const MAX_RETRY_MS: u64 = 60_000;
/// Pause before a repetition (protocol: 1 s or more), ms.
pub const RETRY_DELAY_MS: u64 = 1_000;
/// Longest pause that an answer may ask for (protocol), s.
pub const MAX_RETRY_DELAY_S: u64 = 30;
