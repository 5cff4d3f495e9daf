//! Helpers shared by several test programs: queries and faults of a simulated cluster, jobs, seeds and property tests.
//!
//! Each file under `tests` is a separate program and compiles this module into itself. The module has no state. The names of
//! helpers that assert begin with `assert_`.

#![allow(dead_code, reason = "each test program uses only a part of these helpers")]

pub mod busy_cluster;
pub mod cluster;
pub mod property_tests;
pub mod seeds;
