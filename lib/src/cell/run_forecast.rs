//! Run time prediction: real against declared times of each route, and the relative speed of
//! each endpoint.

use std::cmp::Ordering;

use indexmap::IndexMap;

use crate::{
    cell::job_offer::{JobOffer, JobStep},
    prelude::*,
};

/// Minimum weight of a sample in an endpoint's factor, in thousandths: single runs are off by
/// a third, and about 25 of them tell speeds apart.
const SAMPLE_SHARE_MILLI: u64 = 40;
/// Weight of the second and later outliers in the same direction, in thousandths: a change of
/// speed is accepted after a few runs.
const REPEATED_OUTLIER_SHARE_MILLI: u64 = 240;
/// Minimum weight of a sample in a route's model: about 40 jobs of five tasks count.
const MODEL_SHARE: f64 = 0.005;
/// Samples before a route's model is used; until then times are taken as declared.
const MIN_MODEL_SAMPLES: u32 = 24;
/// Distance of a declared time from the route's mean, in standard deviations of declared times,
/// up to which the regression applies, and from which the declared time is trusted instead.
/// Declared times that scatter around like real ones rarely lie beyond the first.
const OUTLIER_DEVIATIONS: (f64, f64) = (2.0, 3.0);
/// Lower bound on the standard deviation of declared times, as a logarithm: without it, a route
/// whose jobs are all alike would treat small differences as outliers.
const MIN_DEVIATION: f64 = 0.1;
/// Buckets of a [`RatioHistogram`] for each doubling.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Bucket of a ratio of one.
const UNIT_BUCKET: f64 = 8.0;
/// Number of buckets: from a quarter to 64 times the predicted time.
const N_BUCKETS: usize = 32;
/// Samples after which the counts of a histogram are halved, so that it follows changes.
const HISTOGRAM_SAMPLES: u32 = 4_096;
/// Samples from which on a histogram's quantiles are used.
const MIN_HISTOGRAM_SAMPLES: u32 = 200;
/// Bounds of a learned factor, in thousandths: a sample beyond them is an accident.
const FACTOR_BOUNDS: (u64, u64) = (100, 12_000);
/// Half-life of an endpoint's learned slowness, in ms.
const SLOWNESS_HALF_MS: u64 = 2_000;
/// An endpoint counts as fast up to this factor, in thousandths: a task outside the rack of its
/// data may still end in time there.
pub const FAST_FACTOR_MILLI: u64 = 750;
/// Factor above which an endpoint's slowness decays, in thousandths; it counts as slow when
/// more than a tenth above.
const SLOW_MILLI: u64 = 2_500;

fn blend(former: u64, sample: u64, share_milli: u64) -> u64 {
    let sample = sample.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
    (former * (1000 - share_milli) + sample * share_milli) / 1000
}

/// Learned speed of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSpeed {
    factor_milli: u64,
    sampled_at: ClockTime,
    n_samples: u64,
    /// Direction of the last sample if it was an outlier (off by more than a factor of two).
    last_outlier: Option<Ordering>,
}

impl Default for EndpointSpeed {
    fn default() -> EndpointSpeed {
        EndpointSpeed {
            factor_milli: 1000,
            sampled_at: ClockTime::default(),
            n_samples: 0,
            last_outlier: None,
        }
    }
}

impl EndpointSpeed {
    /// Run time over that on an average endpoint, in thousandths.
    pub fn factor_milli(&self, now: ClockTime) -> u64 {
        if self.factor_milli <= SLOW_MILLI {
            return self.factor_milli;
        }
        // Decays over time: a slow endpoint gets too little work to show its recovery.
        let n_halves = now.since_ms(self.sampled_at) / SLOWNESS_HALF_MS;
        let excess = (self.factor_milli - SLOW_MILLI) >> n_halves.min(20);
        SLOW_MILLI + excess
    }

    /// Whether the endpoint is currently much slower than others.
    pub fn is_slow(&self, now: ClockTime) -> bool {
        SLOW_MILLI + SLOW_MILLI / 10 < self.factor_milli(now)
    }

    /// Records a run of `run_ms` that would take `typical_ms` on an average endpoint.
    pub fn record_run(&mut self, run_ms: u64, typical_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / typical_ms.max(1);
        let former = self.factor_milli(now);
        let outlier = if 2 * former < sample {
            Some(Ordering::Greater)
        } else if 2 * sample < former {
            Some(Ordering::Less)
        } else {
            None
        };
        let repeats =
            outlier.is_some() && outlier == std::mem::replace(&mut self.last_outlier, outlier);
        self.n_samples += 1;
        let share_milli = if repeats {
            REPEATED_OUTLIER_SHARE_MILLI
        } else {
            (1000 / (self.n_samples + 1)).max(SAMPLE_SHARE_MILLI)
        };
        self.factor_milli = blend(former, sample, share_milli);
        self.sampled_at = now;
    }

    /// Records an unfinished run that is estimated to take `run_ms` in all.
    pub fn record_slow_run(&mut self, run_ms: u64, typical_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / typical_ms.max(1);
        let sample = sample.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.factor_milli = self.factor_milli.max(sample);
        self.sampled_at = now;
    }
}

/// Run time models by route.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    models: IndexMap<String, RunTimeModel>,
}

/// Linear regression of the logarithm of real run times on that of declared ones.
///
/// Declared times scatter more than real ones, so one away from the mean is only partly
/// trusted: the slope of the regression says how much. One that lies further out than scatter
/// explains belongs to a job that is unlike the others: it is trusted, and does not change the
/// regression.
#[derive(Clone, Copy, Debug, Default)]
struct RunTimeModel {
    n_samples: u32,
    mean_declared: f64,
    mean_real: f64,
    variance: f64,
    covariance: f64,
    ratios: RatioHistogram,
}

impl RunTimeModel {
    fn record_run(&mut self, declared: f64, real: f64) {
        if MIN_MODEL_SAMPLES <= self.n_samples {
            self.ratios.add(real - self.real(declared));
        }
        let weight = 1.0 - self.outlier_share(declared);
        if weight <= 0.0 {
            return;
        }
        self.n_samples = self.n_samples.saturating_add(1);
        let share = (1.0 / f64::from(self.n_samples)).max(MODEL_SHARE) * weight;
        let off_declared = declared - self.mean_declared;
        let off_real = real - self.mean_real;
        self.mean_declared += share * off_declared;
        self.mean_real += share * off_real;
        self.variance = (1.0 - share) * (self.variance + share * off_declared * off_declared);
        self.covariance = (1.0 - share) * (self.covariance + share * off_declared * off_real);
    }

    fn real(&self, declared: f64) -> f64 {
        let slope = if 0.0 < self.variance { self.covariance / self.variance } else { 1.0 };
        let distance = declared - self.mean_declared;
        let regressed = slope.clamp(0.0, 1.0) * distance;
        let outlier_share = self.outlier_share(declared);
        self.mean_real + regressed + outlier_share * (distance - regressed)
    }

    /// How far a declared time counts as an outlier, from 0 to 1.
    fn outlier_share(&self, declared: f64) -> f64 {
        if self.n_samples < MIN_MODEL_SAMPLES {
            return 0.0;
        }
        let deviation = self.variance.sqrt().max(MIN_DEVIATION);
        let n_deviations = (declared - self.mean_declared).abs() / deviation;
        let (first, last) = OUTLIER_DEVIATIONS;
        ((n_deviations - first) / (last - first)).clamp(0.0, 1.0)
    }
}

/// Histogram of the logarithms of real over predicted run times.
#[derive(Clone, Copy, Debug, Default)]
struct RatioHistogram {
    counts: [u32; N_BUCKETS],
    n_samples: u32,
}

impl RatioHistogram {
    fn add(&mut self, ratio: f64) {
        let bucket = UNIT_BUCKET + ratio / std::f64::consts::LN_2 * BUCKETS_PER_DOUBLING;
        let bucket = bucket.clamp(0.0, (N_BUCKETS - 1) as f64) as usize;
        self.counts[bucket] += 1;
        self.n_samples += 1;
        if HISTOGRAM_SAMPLES <= self.n_samples {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.n_samples = self.counts.iter().sum();
        }
    }

    /// Upper bound of the bucket that holds the quantile `milli`, as a ratio in thousandths.
    fn quantile_milli(&self, milli: u64) -> Option<u64> {
        if self.n_samples < MIN_HISTOGRAM_SAMPLES {
            return None;
        }
        let mut left = u64::from(self.n_samples) * milli / 1000;
        for (bucket, n) in self.counts.iter().enumerate() {
            if left < u64::from(*n) {
                let doublings = (bucket as f64 + 1.0 - UNIT_BUCKET) / BUCKETS_PER_DOUBLING;
                return Some((doublings.exp2() * 1000.0) as u64);
            }
            left -= u64::from(*n);
        }
        None
    }
}

impl RouteTimes {
    /// Run time on an average endpoint of a task declared as `declared_ms`.
    pub fn typical_ms(&self, route: &str, declared_ms: u64) -> u64 {
        let declared_ms = declared_ms.max(1);
        let known = self.models.get(route).filter(|it| MIN_MODEL_SAMPLES <= it.n_samples);
        let Some(model) = known else { return declared_ms };
        (model.real((declared_ms as f64).ln()).exp().round() as u64).max(1)
    }

    /// Quantile `milli` of real over predicted run times of a route, in thousandths, once enough
    /// runs have ended.
    pub fn ratio_quantile_milli(&self, route: &str, milli: u64) -> Option<u64> {
        self.models.get(route)?.ratios.quantile_milli(milli)
    }

    /// Records a run of `run_ms` on an endpoint that takes `factor_milli` thousandths of the
    /// time of an average one.
    pub fn record_run(&mut self, route: &str, run_ms: u64, declared_ms: u64, factor_milli: u64) {
        let declared_ms = declared_ms.max(1);
        let (least, most) = FACTOR_BOUNDS;
        let typical_ms = run_ms * 1000 / factor_milli.max(1);
        let typical_ms = typical_ms.clamp(declared_ms * least / 1000, declared_ms * most / 1000);
        if !self.models.contains_key(route) {
            self.models.insert(route.to_owned(), RunTimeModel::default());
        }
        self.models[route].record_run((declared_ms as f64).ln(), (typical_ms.max(1) as f64).ln());
    }

    /// Run time of a job's critical path on average endpoints, in ms.
    pub fn critical_path_ms(&self, offer: &JobOffer) -> u64 {
        offer.critical_path_ms(|declared_ms| self.typical_ms(&offer.route, declared_ms))
    }

    /// Work of all tasks of a job, in ms times thousandths of a core.
    pub fn work(&self, offer: &JobOffer) -> u64 {
        let work = |it: &JobStep| {
            u64::from(it.count) * it.demand.cpu * self.typical_ms(&offer.route, it.declared_ms)
        };
        offer.steps.iter().map(work).sum()
    }
}
