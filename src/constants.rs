//! Every constant of the program, with its unit and the reason for its value.

/// Timeout of a command sent straight to a worker, ms.
pub const WORKER_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a message to another controller, ms.
pub const PEER_TIMEOUT_MS: u64 = 1_000;
/// Time after which a client that sends nothing on an open connection is let go, s.
pub const KEEP_ALIVE_S: u64 = 75;
/// Where the steady clock of a process begins, ms: late enough to count back from.
pub const STEADY_BEGIN_MS: u64 = 1_000_000_000;
/// Connections one HTTP listener keeps waiting to be accepted.
pub const BACKLOG: u32 = 256;
/// Largest response that is read, bytes: a follow's has no limit of its own.
pub const RESPONSE_MOST: usize = 16 << 20;
/// Messages that the actor's mailbox holds (memory).
pub const MAILBOX_MOST: usize = 1024;
/// Largest body that operators may send, bytes: a plug-in's source in JSON.
pub const ADMIN_BODY_MOST: usize = 128 * 1024;
/// Connections of operators at once.
pub const ADMIN_CONNECTIONS: usize = 32;
/// Exit status when a file, an argument or an answer refuses what was asked.
pub const STATUS_REFUSED: u8 = 2;
