//! Slots of the fastest endpoints that are kept for the most urgent class.
//!
//! At a high load every fast slot is in use, mostly by long tasks, and a short urgent
//! task that arrives finds slow slots only. The urgent class needs few slots, so as many
//! as it is likely to need at once are kept free of other classes. The number follows
//! its demand: the mean of its tasks in the system plus a margin of square-root form,
//! as for a Poisson number.

use crate::prelude::*;

/// Time over which the demand is averaged, in ms.
const DEMAND_MS: f64 = 10_000.0;
/// Square roots of the mean that are kept beyond it.
const MARGIN: f64 = 2.0;

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

    /// Takes the number of urgent tasks that run or wait.
    pub fn record_demand(&mut self, n_tasks: usize, now: ClockTime) {
        let span_ms = self.sampled_at.map_or(0, |it| now.since_ms(it)) as f64;
        self.sampled_at = Some(now);
        let weight = 1.0 - (-span_ms / DEMAND_MS).exp();
        self.mean += weight * (n_tasks as f64 - self.mean);
    }

    /// Slots to keep.
    pub fn n_slots(&self) -> u32 {
        if self.mean < 0.05 {
            return 0;
        }
        (self.mean + MARGIN * self.mean.sqrt()).ceil() as u32
    }
}
