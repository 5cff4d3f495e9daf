//! Every constant of policies and plug-ins, with its unit and the reason for its value.

/// Operations that one evaluation of a policy's expression may take: a hundred times what a sensible
/// one does.
pub const POLICY_OPS: u64 = 2_000;
/// Operations that one call of a plug-in may take: about 2 ms of a whole core.
pub const CALL_OPS: u64 = 20_000;
/// Operations that all calls of one plug-in may take in a second: about 3 ms of a whole core, so that
/// ten of them leave a controller of 8% of a core most of its time.
pub const OPS_PER_S: u64 = 30_000;
/// Operations that make one score of placement, measured: the unit in which a pass's work and a
/// plug-in's are compared.
pub const SCORE_OPS: u64 = 12;
/// Depth of calls within a plug-in (stack).
pub const CALL_DEPTH: usize = 16;
/// Depth of an expression (stack).
pub const EXPR_DEPTH: usize = 48;
/// Longest text that a plug-in may make, bytes.
pub const TEXT_MOST: usize = 4 * 1024;
/// Longest list that a plug-in may make.
pub const LIST_MOST: usize = 256;
/// Largest map that a plug-in may make.
pub const MAP_MOST: usize = 128;
/// Variables in scope at most.
pub const VARIABLES_MOST: usize = 64;
/// Functions of a plug-in at most.
pub const FUNCTIONS_MOST: usize = 32;
/// Longest source of a plug-in, bytes: record and chunks fit in one transaction of 64 KiB.
pub const SOURCE_MOST: usize = 24 * 1024;
/// Plug-ins kept at most (memory, and time of a new leader).
pub const PLUGINS_MOST: usize = 32;
/// Longest name of a plug-in, bytes.
pub const NAME_MOST: usize = 40;
/// Faults within the window that suspend a plug-in.
pub const FAULTS_MOST: usize = 5;
/// The window, ms.
pub const FAULT_WINDOW_MS: u64 = 60_000;
/// Share of a pass's work from which on a plug-in makes it slow.
pub const SLOW_SHARE: f64 = 0.5;
/// Operations in a pass below which a plug-in is never called slow: 1 ms of a whole core.
pub const SLOW_LEAST: u64 = 10_000;
/// Slow passes within the window that suspend a plug-in.
pub const SLOW_PASSES: usize = 5;
/// Largest preference of one plug-in, and of all together.
pub const SCORE_MOST: f64 = 100.0;
/// Largest order of a class.
pub const ORDER_MOST: i64 = 1_000;
/// Longest time after which a submission may be asked to come back, s (protocol: 30 s are heeded).
pub const LATER_MOST_S: f64 = 30.0;
/// Order of precedence of a plug-in that names none.
pub const PRECEDENCE: u32 = 100;
/// Similarity from which on a name is offered in place of an unknown one.
pub const NEAR: f64 = 0.6;
/// Events that wait for one receiver at most; more are dropped and counted (memory).
pub const OUTBOX_MOST: usize = 500;
/// Events in one delivery at most.
pub const BATCH_MOST: usize = 50;
/// First pause after a receiver failed, ms; doubled each time.
pub const HOOK_PAUSE_MS: u64 = 1_000;
/// Longest such pause, ms.
pub const HOOK_PAUSE_MOST_MS: u64 = 60_000;
/// Least time between two deliveries to one receiver, ms.
pub const HOOK_EVERY_MS: u64 = 500;
/// Timeout of a delivery, ms.
pub const HOOK_TIMEOUT_MS: u64 = 5_000;
