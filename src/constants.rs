//! The constants of the program.

/// Timeout of commands sent directly to a worker, ms.
pub const WORKER_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a heartbeat to another controller, ms.
pub const PEER_TIMEOUT_MS: u64 = 1_000;
/// Time after which an idle client connection is closed, s.
pub const KEEP_ALIVE_S: u64 = 75;
/// Time within which a probed machine must accept the connection, ms.
pub const PROBE_CONNECT_TIMEOUT_MS: u64 = 900;
/// Time within which a probed machine must answer, ms.
pub const PROBE_TIMEOUT_MS: u64 = 1_200;
/// Time within which the head of a request must arrive, ms. Connections that send nothing are closed after it.
pub const REQUEST_HEAD_TIMEOUT_MS: u64 = 5_000;
/// Time within which the body of a request must arrive, ms: half of the timeout of a report or a poll.
pub const REQUEST_BODY_TIMEOUT_MS: u64 = 2_000;
/// Added to `Retry-After` for each load level above normal when admission control rejects a request, s.
pub const SHED_RETRY_AFTER_S: u32 = 2;
/// Interval between two measurements of the CPU time used by the process, ms.
pub const CPU_SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Value of the monotonic clock at the start of the process, ms. Large enough that times before the start can be
/// computed.
pub const MONOTONIC_ORIGIN_MS: u64 = 1_000_000_000;
/// Maximum number of connections that wait to be accepted by an HTTP listener.
pub const LISTEN_BACKLOG: u32 = 256;
/// Maximum size of a response that is read, bytes. The protocol does not limit the size of the response to a watch.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum number of messages in the actor's mailbox, which bounds its memory.
pub const MAX_MAILBOX_MESSAGES: usize = 1024;
/// Maximum size of a request body from operators, bytes. The largest is the source of a plug-in in JSON.
pub const MAX_ADMIN_BODY_BYTES: usize = 128 * 1024;
/// Maximum number of concurrent connections of operators.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;
/// Exit status if there was no response, or if it is unknown whether a request was executed.
pub const EXIT_STATUS_UNKNOWN: u8 = 3;
/// Exit status if a file or an argument is invalid, or if the service rejected the request.
pub const EXIT_STATUS_REJECTED: u8 = 2;

// ---- swiftsail local ---------------------------------------------------------------------------

/// Maximum clock offset in the settings of the controllers, ms. All controllers use the clock of one machine.
pub const LOCAL_MAX_CLOCK_OFFSET_MS: f64 = 1.0;
/// Memory limit in the settings of the controllers, MB.
pub const LOCAL_MEMORY_MB: f64 = 256.0;
/// Limit of connections in the settings of the controllers.
pub const LOCAL_MAX_CONNECTIONS: usize = 1_000;
/// Maximum number of controllers, limited by the assignment of ports.
pub const LOCAL_MAX_CONTROLLERS: usize = 5;
/// Maximum number of machines. Each machine needs a port and a listener of this process.
pub const LOCAL_MAX_MACHINES: usize = 400;
/// Default first port.
pub const LOCAL_BASE_PORT: u16 = 7100;
/// Interval between two steps of the emulated machines, ms.
pub const LOCAL_STEP_INTERVAL_MS: u64 = 50;
/// Interval between two checks of the controller processes, ms.
pub const LOCAL_PROCESS_CHECK_INTERVAL_MS: u64 = 250;
/// Delay before a controller that has exited is restarted, ms.
pub const LOCAL_RESTART_DELAY_MS: u64 = 3_000;
/// Interval between two updates of the progress display, ms.
pub const LOCAL_PROGRESS_INTERVAL_MS: u64 = 2_000;
/// Time after which a request across a network partition is answered with an error, ms. Longer than any caller waits.
pub const LOCAL_PARTITION_HOLD_MS: u64 = 6_000;
/// Notice that the cloud gives before it reclaims a spot machine, ms.
pub const LOCAL_RECLAIM_NOTICE_MS: u64 = 15_000;
/// Maximum duration of an injected fault, s.
pub const LOCAL_MAX_FAULT_S: f64 = 600.0;

// ---- command-line client -----------------------------------------------------------------------

/// Timeout of a request to a controller, ms. The protocol sets it for submissions and cancellations.
pub const CLIENT_TIMEOUT_MS: u64 = 5_000;
/// Time for which a request is retried, ms. The protocol sets it for submissions and cancellations.
pub const MAX_RETRY_MS: u64 = 60_000;
/// Minimum delay before a retry, ms. The protocol requires at least 1 s.
pub const RETRY_DELAY_MS: u64 = 1_000;
/// Maximum delay that a response may request with `Retry-After`, s, as set by the protocol.
pub const MAX_RETRY_DELAY_S: u64 = 30;
