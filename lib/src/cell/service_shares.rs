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
/// Weight of the jobs that are assumed to have got the mean share, in thousandths of a job. A rare
/// route that got nothing would never fall below the mean if they were assumed to have been served.
const PRIOR_MILLI: u64 = 4_000;
/// The cell counts as overloaded from a mean share below this, in thousandths: of 100 callers, 3
/// got nothing, or 4 a late answer.
const OVERLOAD_BELOW_MILLI: u64 = 970;
/// The overload ends once the mean share is above this, in thousandths, so that the order doesn't
/// change with each job.
const OVERLOAD_ENDS_MILLI: u64 = 985;
/// Longest time for which the jobs of a route or data centre get nothing while others are served,
/// if at least ten a second arrive and can start, in ms: also after a time in which all of them
/// were served, a share falls below the mean of one served job in four within three half-lives.
pub const STARVATION_BOUND_MS: u64 = 3 * HALF_LIFE_MS;
/// Difference of shares that changes the order, in thousandths. With 25, small differences decided
/// and less was served in all.
const CLASS_MILLI: u64 = 75;

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

    fn share_milli(&self, mean_milli: u64) -> u64 {
        (self.served * 1000 + PRIOR_MILLI * mean_milli) / (self.owed + PRIOR_MILLI)
    }
}

/// Shares served by a cell.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    routes: IndexMap<String, ShareCount>,
    centres: IndexMap<DataCentre, ShareCount>,
    total: ShareCount,
    is_overloaded: bool,
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
        self.update_overload();
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
        self.update_overload();
    }

    fn update_overload(&mut self) {
        let share_milli = self.total.share_milli(1000);
        let limit = if self.is_overloaded { OVERLOAD_ENDS_MILLI } else { OVERLOAD_BELOW_MILLI };
        self.is_overloaded = share_milli < limit;
    }

    /// Whether callers have lately got clearly less than they were owed.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Class of a job by the shares of its route and of its callers' data centre: lower classes
    /// go first. Without overload all jobs are in one class.
    pub fn class(&self, route: &str, centre: &DataCentre) -> u64 {
        if !self.is_overloaded() {
            return 0;
        }
        let mean_milli = self.total.share_milli(1000);
        let share =
            |count: Option<&ShareCount>| count.map_or(mean_milli, |it| it.share_milli(mean_milli));
        let route_milli = share(self.routes.get(route));
        let centre_milli = share(self.centres.get(centre));
        (route_milli + centre_milli) / CLASS_MILLI
    }
}
