//! Every constant of the messages, with its unit and the reason for its value.

/// Largest request body, bytes (protocol: 64 KiB).
pub const BODY_MOST: usize = 64 * 1024;
/// Most tasks of a job (protocol).
pub const TASKS_MOST: u64 = 100_000;
/// Longest job id taken, bytes: with a prefix it must fit in a key of 200 bytes.
pub const JOB_ID_MOST: usize = 120;
/// Longest other text of a submission, bytes.
pub const TEXT_MOST: usize = 200;
/// Most machine types a job may list.
pub const HULLS_MOST: usize = 256;
/// Deepest nesting of a submission that is read (stack).
pub const DEPTH_MOST: usize = 16;
/// Most jobs that one may await (processor, requests): what their names take of a value is for the state service to say.
pub const AWAITS_MOST: usize = 256;
