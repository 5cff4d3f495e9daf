//! Helpers that several test programs share: questions about a simulated cluster, load, seeds and property tests.
//!
//! Each file under `tests` is a program of its own and compiles this module into itself. It owns no state. Helpers
//! that assert say so in their names (`assert_...`, `require_...`).

#![allow(dead_code, reason = "each test program uses only a part of these helpers")]

pub mod busy_cluster;
pub mod cluster;
pub mod property_tests;
pub mod seeds;
