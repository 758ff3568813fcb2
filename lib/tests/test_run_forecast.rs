//! Predicted run times against randomly drawn ones.

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

/// A real run time around 200 ms and a declared one, which scatters as much around the real.
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
    // Half of the variance of declared times is noise, so the error of the best prediction is
    // 1/sqrt(2) of theirs.
    assert!(learned < 0.8 * as_declared, "{learned} against {as_declared}");
}

#[test]
fn times_of_a_route_without_samples_are_as_declared() {
    assert_eq!(RouteTimes::default().typical_ms(ROUTE, 70), 70);
}

#[test]
fn exact_declarations_are_fully_trusted() {
    let mut times = RouteTimes::default();
    for declared_ms in (50..1_000).step_by(10) {
        times.record_run(ROUTE, declared_ms, declared_ms, 1_000);
    }
    assert_eq!((times.typical_ms(ROUTE, 60), times.typical_ms(ROUTE, 900)), (60, 900));
}

fn factor_after(runs_ms: &[u64]) -> u64 {
    let mut speed = EndpointSpeed::default();
    for _ in 0..40 {
        speed.record_run(100, 100, NOW);
    }
    for run_ms in runs_ms {
        speed.record_run(*run_ms, 100, NOW);
    }
    speed.factor_milli(NOW)
}

#[test]
fn one_long_run_changes_the_speed_little() {
    assert!(factor_after(&[500]) < 1_200);
}

#[test]
fn lasting_slowness_is_learned_after_a_few_runs() {
    assert!(2_500 < factor_after(&[600; 5]), "{}", factor_after(&[600; 5]));
}
