//! Run times as learned: what a route's declared times are worth, and how fast each endpoint
//! is against the others.

use std::cmp::Ordering;

use indexmap::IndexMap;

use crate::{
    cell::job_offer::{JobOffer, JobStep},
    prelude::*,
};

/// Least share of a new sample in an endpoint's factor, in thousandths: single runs are off by
/// a third, and some 25 of them tell speeds apart.
const SAMPLE_SHARE_MILLI: u64 = 40;
/// Share of a sample that repeats a far one, in thousandths: a change of speed is believed
/// after a few runs.
const FAR_SHARE_MILLI: u64 = 240;
/// Least share of a new sample in a route's line: some 40 jobs of five tasks count.
const LINE_SHARE: f64 = 0.005;
/// Samples before a route's line is used; until then times are taken as declared.
const MIN_LINE_SAMPLES: u32 = 24;
/// Bounds on any learned factor, in thousandths: beyond them a sample is an accident.
const FACTOR_BOUNDS: (u64, u64) = (100, 12_000);
/// Time after which an endpoint's learned slowness is believed by half, in ms.
const SLOWNESS_HALF_MS: u64 = 2_000;
/// Factor up to which an endpoint counts as quick, in thousandths: a task off its rack may
/// still end in time there.
pub const FAST_FACTOR_MILLI: u64 = 750;
/// Factor above which an endpoint counts as slow for now, in thousandths.
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
    /// How the last sample stood to what was believed, when it was far off.
    last_far: Option<Ordering>,
}

impl Default for EndpointSpeed {
    fn default() -> EndpointSpeed {
        EndpointSpeed {
            factor_milli: 1000,
            sampled_at: ClockTime::default(),
            n_samples: 0,
            last_far: None,
        }
    }
}

impl EndpointSpeed {
    /// Run time over that on an average endpoint, in thousandths.
    pub fn factor_milli(&self, now: ClockTime) -> u64 {
        if self.factor_milli <= SLOW_MILLI {
            return self.factor_milli;
        }
        // A slow endpoint gets little work, so its recovery would never be seen.
        let n_halves = now.since_ms(self.sampled_at) / SLOWNESS_HALF_MS;
        let excess = (self.factor_milli - SLOW_MILLI) >> n_halves.min(20);
        SLOW_MILLI + excess
    }

    /// Whether it is much slower than others for now.
    pub fn is_slow(&self, now: ClockTime) -> bool {
        SLOW_MILLI + SLOW_MILLI / 10 < self.factor_milli(now)
    }

    /// Takes a run of `run_ms` that would take `typical_ms` on an average endpoint.
    pub fn record_run(&mut self, run_ms: u64, typical_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / typical_ms.max(1);
        let former = self.factor_milli(now);
        let far = if 2 * former < sample {
            Some(Ordering::Greater)
        } else if 2 * sample < former {
            Some(Ordering::Less)
        } else {
            None
        };
        let repeats = far.is_some() && far == std::mem::replace(&mut self.last_far, far);
        self.n_samples += 1;
        let share_milli = if repeats {
            FAR_SHARE_MILLI
        } else {
            (1000 / (self.n_samples + 1)).max(SAMPLE_SHARE_MILLI)
        };
        self.factor_milli = blend(former, sample, share_milli);
        self.sampled_at = now;
    }

    /// Takes a run that is still at work and will take `run_ms` at least.
    pub fn record_slow_run(&mut self, run_ms: u64, typical_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / typical_ms.max(1);
        let sample = sample.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.factor_milli = self.factor_milli.max(sample);
        self.sampled_at = now;
    }
}

/// Learned run times by route.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    lines: IndexMap<String, TimeLine>,
}

/// Real run times against declared ones: a line through their logarithms.
///
/// Declared times scatter more than real ones, so one far off the usual is believed only in
/// part; the slope of the line tells how far.
#[derive(Clone, Copy, Debug, Default)]
struct TimeLine {
    n_samples: u32,
    mean_declared: f64,
    mean_real: f64,
    variance: f64,
    covariance: f64,
}

impl TimeLine {
    fn record_run(&mut self, declared: f64, real: f64) {
        self.n_samples += 1;
        let share = (1.0 / f64::from(self.n_samples)).max(LINE_SHARE);
        let off_declared = declared - self.mean_declared;
        let off_real = real - self.mean_real;
        self.mean_declared += share * off_declared;
        self.mean_real += share * off_real;
        self.variance = (1.0 - share) * (self.variance + share * off_declared * off_declared);
        self.covariance = (1.0 - share) * (self.covariance + share * off_declared * off_real);
    }

    fn real(&self, declared: f64) -> f64 {
        let slope = if 0.0 < self.variance { self.covariance / self.variance } else { 1.0 };
        self.mean_real + slope.clamp(0.0, 1.0) * (declared - self.mean_declared)
    }
}

impl RouteTimes {
    /// Run time on an average endpoint of a task declared as `declared_ms`.
    pub fn typical_ms(&self, route: &str, declared_ms: u64) -> u64 {
        let declared_ms = declared_ms.max(1);
        let known = self.lines.get(route).filter(|it| MIN_LINE_SAMPLES <= it.n_samples);
        let Some(line) = known else { return declared_ms };
        (line.real((declared_ms as f64).ln()).exp().round() as u64).max(1)
    }

    /// Takes a run of `run_ms` on an endpoint that takes `factor_milli` thousandths of the time
    /// of an average one.
    pub fn record_run(&mut self, route: &str, run_ms: u64, declared_ms: u64, factor_milli: u64) {
        let declared_ms = declared_ms.max(1);
        let (least, most) = FACTOR_BOUNDS;
        let typical_ms = run_ms * 1000 / factor_milli.max(1);
        let typical_ms = typical_ms.clamp(declared_ms * least / 1000, declared_ms * most / 1000);
        if !self.lines.contains_key(route) {
            self.lines.insert(route.to_owned(), TimeLine::default());
        }
        self.lines[route].record_run((declared_ms as f64).ln(), (typical_ms.max(1) as f64).ln());
    }

    /// Run time of a job's longest chain of steps on average endpoints, in ms.
    pub fn critical_path_ms(&self, offer: &JobOffer) -> u64 {
        offer.critical_path_ms(|declared_ms| self.typical_ms(&offer.route, declared_ms))
    }

    /// Work of all tasks of a job, in ms of thousandths of a core.
    pub fn work(&self, offer: &JobOffer) -> u64 {
        let work = |it: &JobStep| {
            u64::from(it.count) * it.demand.cpu * self.typical_ms(&offer.route, it.declared_ms)
        };
        offer.steps.iter().map(work).sum()
    }
}
