//! Limits of the messages.

/// Maximum size of a request body, bytes, as set by the protocol (64 KiB).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of tasks of a job, as set by the protocol.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum length of a job id, bytes. With a prefix it must fit into a store key of 200 bytes.
pub const MAX_JOB_ID_BYTES: usize = 120;
/// Maximum length of any other text field of a submission, bytes.
pub const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of machine types that a job may list.
pub const MAX_MACHINE_TYPES: usize = 256;
/// Maximum nesting depth of a submission. The parser is recursive, and its stack is bounded.
pub const MAX_NESTING_DEPTH: usize = 16;
/// Maximum number of dependencies of a job, since each costs CPU time and store reads. It does not ensure that a record
/// with that many ids fits into a stored value; the state service checks that.
pub const MAX_DEPENDENCIES: usize = 256;
