//! Arithmetic of probability mass functions and run-time histories, on generated inputs.

mod common;

use common::property_tests::test_runner;
use proptest::prelude::*;
use swiftsail_controller::completion_time::{Pmf, RunTimeHistory};
use swiftsail_controller::job::{JobKind, JobSpec};
use swiftsail_simulation::simulation::job_spec;

/// A job of class `c` whose tasks have an estimate of 10 s.
fn test_spec() -> JobSpec {
    JobSpec {
        class: "c".into(),
        runtime_estimate_s: 10.0,
        ..job_spec(JobKind::Array, 100, 1.0, "i")
    }
}

fn distribution_points() -> impl Strategy<Value = Vec<(f64, f64)>> {
    prop::collection::vec((0.0..100_000.0f64, 0.01..5.0f64), 1..12)
}

fn total_probability(pmf: &Pmf) -> f64 {
    pmf.mass.iter().map(|m| f64::from(*m)).sum()
}

#[test]
fn mass_is_conserved() {
    let strategy =
        (distribution_points(), distribution_points(), 0.0..200_000.0f64, 0.0..100_000.0f64);
    test_runner(7, 256)
        .run(&strategy, |(a, b, deadline, elapsed)| {
            let (a, b) = (Pmf::from_points(&a), Pmf::from_points(&b));
            for pmf in [a.convolve(&b), a.clone().clamp_to_deadline(deadline), a.remaining(elapsed)]
            {
                prop_assert!(
                    (total_probability(&pmf) - 1.0).abs() < 1e-3,
                    "mass {}",
                    total_probability(&pmf)
                );
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn probability_grows_with_deadline() {
    test_runner(7, 256)
        .run(
            &(distribution_points(), 0.0..150_000.0f64, 0.0..50_000.0f64),
            |(a, deadline, more)| {
                let a = Pmf::from_points(&a);
                prop_assert!(
                    a.probability_before(deadline) <= a.probability_before(deadline + more) + 1e-9
                );
                prop_assert_eq!(a.probability_before(f64::NEG_INFINITY), 0.0);
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn convolution_adds_means_and_minimums() {
    test_runner(7, 256)
        .run(&(distribution_points(), distribution_points()), |(a, b)| {
            let (pa, pb) = (Pmf::from_points(&a), Pmf::from_points(&b));
            let sum = pa.convolve(&pb);
            // Rounding to the nearest bin shifts each point by half a bin at most.
            let tolerance = sum.step / 2.0 + 1.0;
            prop_assert!((sum.mean() - pa.mean() - pb.mean()).abs() <= tolerance);
            let minimum = pa.origin + pb.origin;
            prop_assert!(sum.probability_before(minimum) < 1e-6);
            Ok(())
        })
        .unwrap();
}

#[test]
fn mass_beyond_deadline_moves_to_it() {
    test_runner(7, 256)
        .run(&(distribution_points(), 1.0..100_000.0f64), |(a, deadline)| {
            let original = Pmf::from_points(&a);
            let clamped = original.clone().clamp_to_deadline(deadline);
            let last = clamped.origin + (clamped.mass.len() - 1) as f64 * clamped.step;
            let first = original.origin.min(deadline);
            prop_assert!(last <= deadline + 1.0);
            prop_assert!(clamped.origin + 1.0 >= first);
            Ok(())
        })
        .unwrap();
}

#[test]
fn run_times_move_from_prior_to_observations() {
    let mut histories = RunTimeHistory::default();
    let (id, spec) = ("wk-1".into(), test_spec());
    let prior = histories.run_time(&id, &spec, "big");
    assert!((prior.mean() - 17_500.0).abs() < 1.0, "uniform from 5 s to 30 s");
    for _ in 0..50 {
        histories.record_finish(&id, &spec, "big", 8_000);
    }
    let learned = histories.run_time(&id, &spec, "big");
    assert!(
        learned.probability_before(9_500.0) > 0.9,
        "probability {}",
        learned.probability_before(9_500.0)
    );
    assert!(learned.probability_before(7_000.0) < 0.1);
}

#[test]
fn class_ratios_predict_run_times_of_new_jobs() {
    let mut histories = RunTimeHistory::default();
    for job in 0..12 {
        for _ in 0..100 {
            // Estimate 10 s, run time 12 s. A single job must not determine the prior of its class.
            histories.record_finish(
                &format!("wk-{job}").as_str().into(),
                &test_spec(),
                "big",
                12_000,
            );
        }
        let prior = histories.prior("c", 100.0);
        assert_eq!(job < 2, (prior.mean() - 175_000.0).abs() < 1.0, "after job {job}");
    }
    let prior = histories.prior("c", 100.0);
    assert!((110_000.0..130_000.0).contains(&prior.mean()), "mean {}", prior.mean());
    assert!((histories.prior("other", 100.0).mean() - 175_000.0).abs() < 1.0);
}
