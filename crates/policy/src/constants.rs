//! Every constant of policies and plug-ins, with its unit and the reason for its value.

/// Operations that one evaluation of a policy's expression may take: a hundred times what a sensible
/// one does.
pub const MAX_POLICY_OPS: u64 = 2_000;
/// Operations that one call of a plug-in may take: about 2 ms of a whole core.
pub const MAX_CALL_OPS: u64 = 20_000;
/// Operations that all calls of one plug-in may take in a second: about 3 ms of a whole core, so that
/// ten of them leave a controller of 8% of a core most of its time.
pub const MAX_PLUGIN_OPS_PER_S: u64 = 30_000;
/// Operations that make one score of placement, measured: the unit in which a pass's work and a
/// plug-in's are compared.
pub const OPS_PER_SCORE: u64 = 12;
/// Depth of calls within a plug-in (stack).
pub const MAX_CALL_DEPTH: usize = 16;
/// Depth of an expression (stack).
pub const MAX_EXPRESSION_DEPTH: usize = 48;
/// Longest text that a plug-in may make, bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024;
/// Longest list that a plug-in may make.
pub const MAX_LIST_LENGTH: usize = 256;
/// Largest map that a plug-in may make.
pub const MAX_MAP_SIZE: usize = 128;
/// Variables in scope at most.
pub const MAX_VARIABLES: usize = 64;
/// Functions of a plug-in at most.
pub const MAX_FUNCTIONS: usize = 32;
/// Longest source of a plug-in, bytes: record and chunks fit in one transaction of 64 KiB.
pub const MAX_SOURCE_BYTES: usize = 24 * 1024;
/// Plug-ins kept at most (memory, and time of a new leader).
pub const MAX_PLUGINS: usize = 32;
/// Longest name of a plug-in, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Faults within the window that suspend a plug-in.
pub const MAX_FAULTS: usize = 5;
/// The window, ms.
pub const FAULT_WINDOW_MS: u64 = 60_000;
/// Share of a pass's work from which on a plug-in makes it slow.
pub const SLOW_CYCLE_SHARE: f64 = 0.5;
/// Operations in a pass below which a plug-in is never called slow: 1 ms of a whole core.
pub const MIN_SLOW_OPS: u64 = 10_000;
/// Slow passes within the window that suspend a plug-in.
pub const MAX_SLOW_CYCLES: usize = 5;
/// Largest preference of one plug-in, and of all together.
pub const MAX_SCORE: f64 = 100.0;
/// Largest order of a class.
pub const MAX_CLASS_ORDER: i64 = 1_000;
/// Longest time after which a submission may be asked to come back, s (protocol: 30 s are heeded).
pub const MAX_RETRY_AFTER_S: f64 = 30.0;
/// Order of precedence of a plug-in that names none.
pub const DEFAULT_PRECEDENCE: u32 = 100;
/// Similarity from which on a name is offered in place of an unknown one.
pub const SUGGESTION_SIMILARITY: f64 = 0.6;
/// Events that wait for one receiver at most; more are dropped and counted (memory).
pub const MAX_OUTBOX_EVENTS: usize = 500;
/// Events in one delivery at most.
pub const MAX_DELIVERY_EVENTS: usize = 50;
/// First pause after a receiver failed, ms; doubled each time.
pub const DELIVERY_BACKOFF_MS: u64 = 1_000;
/// Longest such pause, ms.
pub const MAX_DELIVERY_BACKOFF_MS: u64 = 60_000;
/// Least time between two deliveries to one receiver, ms.
pub const MIN_DELIVERY_INTERVAL_MS: u64 = 500;
/// Timeout of a delivery, ms.
pub const DELIVERY_TIMEOUT_MS: u64 = 5_000;
