//! Runner of property tests with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Creates a runner of `cases` generated cases. The seed is fixed, so that each run has the same result.
pub fn test_runner(seed: u8, cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}
