//! Learned run times against drawn ones.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccamux::{
    cell::run_forecast::{EndpointSpeed, RouteTimes},
    prelude::*,
};

const NOW: ClockTime = ClockTime(5_000_000);
const ROUTE: &str = "route";

/// A factor whose logarithm lies within `width` of zero, mostly in the middle.
fn draw_factor(rng: &mut ChaCha8Rng, width: f64) -> f64 {
    let sum: f64 = (0..3).map(|_| rng.random_range(-1.0..1.0)).sum();
    (sum / 3.0 * width).exp()
}

/// A real run time around 200 ms, and what its caller declares, as far off again.
fn draw_times(rng: &mut ChaCha8Rng) -> (u64, u64) {
    let real = 200.0 * draw_factor(rng, 1.2);
    let declared = 1.2 * real * draw_factor(rng, 1.2);
    (real as u64, declared as u64)
}

fn off_by(predicted_ms: u64, real_ms: u64) -> f64 {
    (predicted_ms as f64 / real_ms as f64).ln().abs()
}

#[test]
fn learned_times_are_nearer_than_declared_ones() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut times = RouteTimes::default();
    for _ in 0..600 {
        let (real_ms, declared_ms) = draw_times(&mut rng);
        times.record_run(ROUTE, real_ms * 2, declared_ms, 2_000);
    }
    let (mut learned, mut as_declared) = (0.0, 0.0);
    for _ in 0..600 {
        let (real_ms, declared_ms) = draw_times(&mut rng);
        learned += off_by(times.typical_ms(ROUTE, declared_ms), real_ms);
        as_declared += off_by(declared_ms, real_ms);
    }
    // Half of the scatter of declared times is noise: the best guess is off by 1/sqrt(2) of it.
    assert!(learned < 0.8 * as_declared, "{learned} against {as_declared}");
}

#[test]
fn times_of_a_route_without_samples_are_as_declared() {
    assert_eq!(RouteTimes::default().typical_ms(ROUTE, 70), 70);
}

#[test]
fn exact_declarations_are_believed_whole() {
    let mut times = RouteTimes::default();
    for declared_ms in (50..1_000).step_by(10) {
        times.record_run(ROUTE, declared_ms, declared_ms, 1_000);
    }
    assert_eq!((times.typical_ms(ROUTE, 60), times.typical_ms(ROUTE, 900)), (60, 900));
}

fn pace_after(runs_ms: &[u64]) -> u64 {
    let mut pace = EndpointSpeed::default();
    for _ in 0..40 {
        pace.record_run(100, 100, NOW);
    }
    for run_ms in runs_ms {
        pace.record_run(*run_ms, 100, NOW);
    }
    pace.factor_milli(NOW)
}

#[test]
fn one_long_run_says_little_of_an_endpoint() {
    assert!(pace_after(&[500]) < 1_200);
}

#[test]
fn endpoint_that_turns_slow_is_believed_after_a_few_runs() {
    assert!(2_500 < pace_after(&[600; 5]), "{}", pace_after(&[600; 5]));
}
