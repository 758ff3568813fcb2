//! Run time estimates: a base time for each kind times a slowdown for each endpoint.
//!
//! A kind's base is its run time on an endpoint of slowdown one. Each finished task moves
//! both towards the measured time. Declared times are only the initial estimate.

use indexmap::IndexMap;

use crate::prelude::*;

/// Weight of a new sample in a kind's base.
const BASE_WEIGHT: f64 = 0.05;
/// Weight of a new sample in an endpoint's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Samples until which a plain mean is used instead of the weights above.
const WARM_SAMPLES: u32 = 8;
/// Bounds of a sample of an endpoint's slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.02, 50.0);

/// A moving average that starts as a plain mean and then weights recent samples.
#[derive(Clone, Debug)]
struct MovingMean {
    value: f64,
    n_samples: u32,
}

impl MovingMean {
    fn record(&mut self, sample: f64, weight: f64) {
        self.n_samples = self.n_samples.saturating_add(1);
        let early = 1.0 / f64::from(self.n_samples.min(WARM_SAMPLES) + 1);
        let weight = if self.n_samples < WARM_SAMPLES { early.max(weight) } else { weight };
        self.value += weight * (sample - self.value);
    }
}

/// A kind, qualified by its workspace.
pub type KindPath = (WorkspaceName, KindName);

/// Estimated run times.
#[derive(Clone, Debug, Default)]
pub struct RunEstimates {
    bases: IndexMap<KindPath, MovingMean>,
    slowdowns: IndexMap<EndpointName, MovingMean>,
}

impl RunEstimates {
    /// No samples yet.
    pub fn new() -> RunEstimates {
        RunEstimates::default()
    }

    /// Sets the initial estimate of a kind that has none.
    pub fn set_initial_estimate(&mut self, kind: &KindPath, expected_ms: u64) {
        if !self.bases.contains_key(kind) {
            let value = expected_ms.max(1) as f64;
            self.bases.insert(kind.clone(), MovingMean { value, n_samples: 0 });
        }
    }

    /// Records the run time of a finished task, in ms.
    pub fn record_run(&mut self, kind: &KindPath, endpoint: &EndpointName, run_ms: f64) {
        let run_ms = run_ms.max(0.1);
        let slowdown = self.slowdown(endpoint);
        let base = self
            .bases
            .entry(kind.clone())
            .or_insert(MovingMean { value: run_ms / slowdown, n_samples: 0 });
        let ratio = run_ms / base.value.max(0.1);
        base.record(run_ms / slowdown, BASE_WEIGHT);
        let (low, high) = SLOWDOWN_BOUNDS;
        let mean = self
            .slowdowns
            .entry(endpoint.clone())
            .or_insert(MovingMean { value: 1.0, n_samples: 0 });
        mean.record(ratio.clamp(low, high), SLOWDOWN_WEIGHT);
    }

    /// Expected run time on an endpoint, in ms.
    pub fn run_ms(&self, kind: &KindPath, endpoint: &EndpointName) -> f64 {
        self.base_ms(kind) * self.slowdown(endpoint)
    }

    /// Expected run time on an endpoint of slowdown one, in ms; 200 ms for an unknown kind.
    pub fn base_ms(&self, kind: &KindPath) -> f64 {
        self.bases.get(kind).map_or(200.0, |it| it.value)
    }

    /// Run time on an endpoint relative to the kinds' base times; one if unknown.
    pub fn slowdown(&self, endpoint: &EndpointName) -> f64 {
        self.slowdowns.get(endpoint).map_or(1.0, |it| it.value)
    }

    /// Drops endpoints for which `keep` returns false.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.slowdowns.retain(|name, _| keep(name));
    }
}
