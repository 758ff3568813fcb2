//! Number of slots on the fastest endpoints reserved for the most urgent class.
//!
//! Under a high load all fast slots are in use, mostly by long tasks, and a short urgent
//! task that arrives would find only slow slots. The urgent class needs few slots, so as
//! many as it is likely to need at once are reserved for it: the mean number of its tasks
//! that wait or run plus two standard deviations, assuming a Poisson distribution.

use crate::prelude::*;

/// Time over which the demand is averaged, in ms.
const DEMAND_WINDOW_MS: f64 = 10_000.0;
/// Standard deviations (square roots of the mean) reserved beyond the mean.
const MARGIN_STD_DEVS: f64 = 2.0;

/// Demand of the most urgent class.
#[derive(Clone, Debug, Default)]
pub struct UrgentReserve {
    mean: f64,
    sampled_at: Option<ClockTime>,
}

impl UrgentReserve {
    /// No demand yet.
    pub fn new() -> UrgentReserve {
        UrgentReserve::default()
    }

    /// Records the number of urgent tasks that run or wait.
    pub fn record_demand(&mut self, n_tasks: usize, now: ClockTime) {
        let elapsed_ms = self.sampled_at.map_or(0, |it| now.since_ms(it)) as f64;
        self.sampled_at = Some(now);
        let weight = 1.0 - (-elapsed_ms / DEMAND_WINDOW_MS).exp();
        self.mean += weight * (n_tasks as f64 - self.mean);
    }

    /// Slots to reserve.
    pub fn n_slots(&self) -> u32 {
        if self.mean < 0.05 {
            return 0;
        }
        (self.mean + MARGIN_STD_DEVS * self.mean.sqrt()).ceil() as u32
    }
}
