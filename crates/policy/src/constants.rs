//! Constants of policies and plug-ins.

/// Maximum operations per evaluation of a policy expression: a hundred times the cost of a typical expression.
pub const MAX_POLICY_OPS: u64 = 2_000;
/// Maximum operations per call of a plug-in: about 2 ms of a whole core.
pub const MAX_CALL_OPS: u64 = 20_000;
/// Maximum operations per second of all calls of one plug-in: about 3 ms of a whole core, so that ten plug-ins leave
/// most of its CPU time to a controller that is limited to 8% of a core.
pub const MAX_PLUGIN_OPS_PER_S: u64 = 30_000;
/// Operations with the cost of computing one placement score, so that the work of a scheduling cycle and of a plug-in
/// can be compared.
pub const OPS_PER_SCORE: u64 = 12;
/// Maximum call depth within a plug-in, which bounds the stack.
pub const MAX_CALL_DEPTH: usize = 16;
/// Maximum nesting depth of an expression, which bounds the stack.
pub const MAX_EXPRESSION_DEPTH: usize = 48;
/// Maximum length of a string in a plug-in, bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024;
/// Maximum length of an array in a plug-in.
pub const MAX_LIST_LENGTH: usize = 256;
/// Maximum number of entries of a map in a plug-in.
pub const MAX_MAP_SIZE: usize = 128;
/// Maximum number of variables in scope.
pub const MAX_VARIABLES: usize = 64;
/// Maximum number of functions of a plug-in.
pub const MAX_FUNCTIONS: usize = 32;
/// Maximum length of a plug-in's source, bytes: its record and chunks must fit in one transaction of 64 KiB.
pub const MAX_SOURCE_BYTES: usize = 24 * 1024;
/// Maximum number of installed plug-ins, which bounds memory and the start-up time of a new leader.
pub const MAX_PLUGINS: usize = 32;
/// Maximum length of a plug-in's name, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// Number of faults within [`FAULT_WINDOW_MS`] that suspends a plug-in.
pub const MAX_FAULTS: usize = 5;
/// Window in which faults and slow cycles of a plug-in are counted, ms.
pub const FAULT_WINDOW_MS: u64 = 60_000;
/// Minimum share of a scheduling cycle's work at which a plug-in counts as slow.
pub const SLOW_CYCLE_SHARE: f64 = 0.5;
/// Operations per scheduling cycle below which a plug-in never counts as slow: 1 ms of a whole core.
pub const MIN_SLOW_OPS: u64 = 10_000;
/// Number of slow cycles within [`FAULT_WINDOW_MS`] that suspends a plug-in.
pub const MAX_SLOW_CYCLES: usize = 5;
/// Maximum absolute value of a plug-in's score, and of the sum over all plug-ins.
pub const MAX_SCORE: f64 = 100.0;
/// Maximum value of a class's order.
pub const MAX_CLASS_ORDER: i64 = 1_000;
/// Maximum retry delay for a submission, s: clients of the protocol honour at most 30 s.
pub const MAX_RETRY_AFTER_S: f64 = 30.0;
/// Precedence of a plug-in without an explicit one.
pub const DEFAULT_PRECEDENCE: u32 = 100;
/// Minimum Jaro-Winkler similarity at which a known name is suggested for an unknown one.
pub const SUGGESTION_SIMILARITY: f64 = 0.6;
/// Maximum number of events queued for one receiver, which bounds memory. On overflow events are dropped and counted.
pub const MAX_OUTBOX_EVENTS: usize = 500;
/// Maximum number of events per delivery.
pub const MAX_DELIVERY_EVENTS: usize = 50;
/// Delay before the first retry of a failed delivery, ms; doubled with each failure.
pub const DELIVERY_BACKOFF_MS: u64 = 1_000;
/// Maximum delay between retries, ms.
pub const MAX_DELIVERY_BACKOFF_MS: u64 = 60_000;
/// Minimum time between two deliveries to one receiver, ms.
pub const MIN_DELIVERY_INTERVAL_MS: u64 = 500;
/// Timeout of a delivery, ms.
pub const DELIVERY_TIMEOUT_MS: u64 = 5_000;
