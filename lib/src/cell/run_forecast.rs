//! Run times as learned: how far each route's declared times are off, and how fast
//! each endpoint is.

use indexmap::IndexMap;

use crate::prelude::*;

/// Share of a new sample in an average, in thousandths: some ten samples count.
const SAMPLE_SHARE_MILLI: u64 = 120;
/// Bounds on any learned factor, in thousandths: beyond them a sample is an accident.
const FACTOR_BOUNDS: (u64, u64) = (100, 12_000);
/// Time after which an endpoint's learned slowness is believed by half, in ms.
const SLOWNESS_HALF_MS: u64 = 2_000;
/// Factor up to which an endpoint counts as quick, in thousandths: a task off its rack may
/// still end in time there.
pub(crate) const QUICK_MILLI: u64 = 750;
/// Factor above which an endpoint counts as slow for now, in thousandths.
const SLOW_MILLI: u64 = 2_500;

fn blend(former: u64, sample: u64, share_milli: u64) -> u64 {
    let sample = sample.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
    (former * (1000 - share_milli) + sample * share_milli) / 1000
}

/// Learned speed of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointPace {
    factor_milli: u64,
    sampled_at: ClockTime,
}

impl Default for EndpointPace {
    fn default() -> EndpointPace {
        EndpointPace { factor_milli: 1000, sampled_at: ClockTime::default() }
    }
}

impl EndpointPace {
    /// Run time over that on an average endpoint, in thousandths.
    pub(crate) fn factor_milli(&self, now: ClockTime) -> u64 {
        if self.factor_milli <= SLOW_MILLI {
            return self.factor_milli;
        }
        // A slow endpoint gets little work, so its recovery would never be seen.
        let n_halves = now.since_ms(self.sampled_at) / SLOWNESS_HALF_MS;
        let excess = (self.factor_milli - SLOW_MILLI) >> n_halves.min(20);
        SLOW_MILLI + excess
    }

    /// Whether it is much slower than others for now.
    pub(crate) fn is_slow(&self, now: ClockTime) -> bool {
        SLOW_MILLI + SLOW_MILLI / 10 < self.factor_milli(now)
    }

    /// Takes a run of `run_ms` that would take `usual_ms` on an average endpoint.
    pub(crate) fn learn(&mut self, run_ms: u64, usual_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / usual_ms.max(1);
        let former = self.factor_milli(now);
        // One run far above or below what is believed says more than one in between.
        let is_far = 2 * former < sample || 2 * sample < former;
        let share_milli = if is_far { 2 * SAMPLE_SHARE_MILLI } else { SAMPLE_SHARE_MILLI };
        self.factor_milli = blend(former, sample, share_milli);
        self.sampled_at = now;
    }

    /// Takes a run that is still at work and will take `run_ms` at least.
    pub(crate) fn learn_slowness(&mut self, run_ms: u64, usual_ms: u64, now: ClockTime) {
        let sample = run_ms * 1000 / usual_ms.max(1);
        let sample = sample.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.factor_milli = self.factor_milli.max(sample);
        self.sampled_at = now;
    }
}

/// Learned ratio of real to declared run times by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteRatios {
    ratios_milli: IndexMap<String, u64>,
}

impl RouteRatios {
    /// Run time on an average endpoint of a task declared as `declared_ms`.
    pub(crate) fn usual_ms(&self, route: &str, declared_ms: u64) -> u64 {
        let ratio_milli = self.ratios_milli.get(route).copied().unwrap_or(1000);
        (declared_ms * ratio_milli / 1000).max(1)
    }

    /// Takes a run of `run_ms` on an endpoint with this factor.
    pub(crate) fn learn(&mut self, route: &str, run_ms: u64, declared_ms: u64, factor_milli: u64) {
        let usual_ms = run_ms * 1000 / factor_milli.max(1);
        let sample = usual_ms * 1000 / declared_ms.max(1);
        match self.ratios_milli.get_mut(route) {
            Some(ratio) => *ratio = blend(*ratio, sample, SAMPLE_SHARE_MILLI / 4),
            None => {
                self.ratios_milli.insert(route.to_owned(), blend(1000, sample, 500));
            }
        }
    }
}
