//! Every constant of this package, with its unit and the reason for it.

/// Parts of one CPU or accelerator that amounts tell apart. Tasks take decimal numbers such as 0.05; a
/// billionth keeps the sum of 100,000 tasks (protocol) exact to a ten-thousandth, and 9 billion CPUs fit.
pub const PARTS: f64 = 1e9;
/// Slack when a decimal number becomes parts, in parts: what binary numbers lose on 0.1 is far less, and
/// a real difference far more.
pub const PART_SLACK: f64 = 1e-2;
/// Share of a running task's work taken to be left: it began at a time not known beforehand.
pub const LEFT_OF_RUNNING: f64 = 0.5;
/// Longest time counted for one job, ms: some 30 years, so that sums of many stay whole numbers.
pub const MOST_MS: f64 = 1e12;
/// What is taken to be busy for longer than its mean run time says: starts wait for reports and images.
pub const BUSY_MARGIN: f64 = 1.1;
/// Part of a task's run time added for the last of a job, which runs longer than the mean.
pub const TAIL_MARGIN: f64 = 1.0;
