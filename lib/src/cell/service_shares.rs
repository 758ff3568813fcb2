//! Shares of the value owed to callers that a cell has served lately, by route and by the data
//! centre of the callers. Under overload they decide which jobs go first.

use indexmap::IndexMap;

use crate::prelude::*;

/// Value of an answer in time, in thousandths of a job.
const IN_TIME_MILLI: u64 = 1_000;
/// Value of a late answer that is still of use, in thousandths of a job.
const LATE_MILLI: u64 = 200;
/// Half-life of the counts, in ms.
const HALF_LIFE_MS: u64 = 1_000;
/// Weight of jobs that are assumed to have been served, in thousandths of a job.
const PRIOR_MILLI: u64 = 4_000;
/// The cell counts as overloaded while the mean share is below this, in thousandths.
const OVERLOAD_BELOW_MILLI: u64 = 970;
/// Difference of shares that changes the order, in thousandths.
const CLASS_MILLI: u64 = 25;

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// Answered within its objective.
    InTime,
    /// Answered later, but while of use.
    Late,
    /// Refused, or answered when of no use.
    Unserved,
}

/// Value owed and served, in thousandths of a job.
#[derive(Clone, Copy, Debug, Default)]
struct ShareCount {
    owed: u64,
    served: u64,
}

impl ShareCount {
    fn record(&mut self, value_milli: u64) {
        self.owed += IN_TIME_MILLI;
        self.served += value_milli;
    }

    fn halve(&mut self) {
        self.owed /= 2;
        self.served /= 2;
    }

    fn share_milli(&self) -> u64 {
        (self.served + PRIOR_MILLI) * 1000 / (self.owed + PRIOR_MILLI)
    }
}

/// Shares served by a cell.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    routes: IndexMap<String, ShareCount>,
    centres: IndexMap<DataCentre, ShareCount>,
    total: ShareCount,
    halved_at: ClockTime,
}

impl ServiceShares {
    /// Records the end of a job.
    pub fn record(
        &mut self,
        route: &str,
        centre: &DataCentre,
        outcome: ServiceOutcome,
        now: ClockTime,
    ) {
        self.decay(now);
        let value_milli = match outcome {
            ServiceOutcome::InTime => IN_TIME_MILLI,
            ServiceOutcome::Late => LATE_MILLI,
            ServiceOutcome::Unserved => 0,
        };
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), ShareCount::default());
        }
        self.routes[route].record(value_milli);
        self.centres.entry(centre.clone()).or_default().record(value_milli);
        self.total.record(value_milli);
    }

    /// Reduces the weight of former jobs.
    pub fn decay(&mut self, now: ClockTime) {
        let n_halves = now.since_ms(self.halved_at) / HALF_LIFE_MS;
        if n_halves == 0 {
            return;
        }
        self.halved_at = now;
        for _ in 0..n_halves.min(20) {
            self.total.halve();
            self.routes.values_mut().for_each(ShareCount::halve);
            self.centres.values_mut().for_each(ShareCount::halve);
        }
        self.routes.retain(|_, it| 0 < it.owed);
        self.centres.retain(|_, it| 0 < it.owed);
    }

    /// Whether callers have lately got clearly less than they were owed.
    pub fn is_overloaded(&self) -> bool {
        self.total.share_milli() < OVERLOAD_BELOW_MILLI
    }

    /// Class of a job by the shares of its route and of its callers' data centre: lower classes
    /// go first. Without overload all jobs are in one class.
    pub fn class(&self, route: &str, centre: &DataCentre) -> u64 {
        if !self.is_overloaded() {
            return 0;
        }
        let mean_milli = self.total.share_milli();
        let share = |count: Option<&ShareCount>| count.map_or(mean_milli, ShareCount::share_milli);
        let route_milli = share(self.routes.get(route));
        let centre_milli = share(self.centres.get(centre));
        (route_milli + centre_milli) / CLASS_MILLI
    }
}
