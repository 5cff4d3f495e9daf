//! Every constant of the messages, with its unit and the reason for its value.

/// Largest request body, bytes (protocol: 64 KiB).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most tasks of a job (protocol).
pub const MAX_TASKS: u64 = 100_000;
/// Longest job id accepted, bytes: with a prefix it must fit in a key of 200 bytes.
pub const MAX_JOB_ID_BYTES: usize = 120;
/// Longest other text of a submission, bytes.
pub const MAX_TEXT_BYTES: usize = 200;
/// Most machine types a job may list.
pub const MAX_MACHINE_TYPES: usize = 256;
/// Deepest nesting of a submission that is read: the parser recurses, and the stack is bounded.
pub const MAX_NESTING_DEPTH: usize = 16;
/// Most dependencies of a job: each costs processor time and store reads. Whether a record with so many names fits into
/// a stored value is for the state service to say.
pub const MAX_DEPENDENCIES: usize = 256;
