//! Forecast of waits in a cell's queue, from the work ahead and from the work that arrives.
//!
//! Newer and better ranked jobs go first, so a job waits for the work ranked before it and for
//! what arrives meanwhile and will rank before it. Where such arrivals use up the rate at which
//! capacity becomes free, its turn does not come.

use indexmap::IndexMap;

use crate::{
    cell::{local_load::LocalLoad, service_shares::ServiceShares},
    prelude::*,
};

/// Maximum number of pairs of route and data centre with a rate of their own; the others share
/// one.
const MAX_FLOWS: usize = 64;
/// Half-life of the counts of passed capacity and ended work, in ms.
const HALF_LIFE_MS: u64 = 1_000;
/// Bounds of the part of the capacity that jobs can use, in thousandths: endpoints are not filled
/// completely.
const USED_MILLI: (u64, u64) = (500, 1_000);
/// Capacity that is assumed to have been used completely, in ms of the whole cell: a short
/// congestion says little.
const PRIOR_MS: u64 = 500;
/// Part of the rate that must be left before jobs wait again, in thousandths: with the same
/// bound in both directions, a cell at its capacity would change its mind in each pass.
const REOPEN_MILLI: u64 = 100;

/// Predicted wait of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitForecast {
    /// It can start after this time, in ms.
    Starts(u64),
    /// Jobs that rank before it arrive faster than capacity becomes free.
    Overtaken,
}

/// Arriving work of a route from one data centre.
#[derive(Clone, Debug, Default)]
struct WorkFlow {
    load: LocalLoad,
    /// Mean CPU use of this work and of work that ranks before it, in thousandths of a core.
    arriving_cpu: u64,
    /// Whether that uses up the rate at which capacity becomes free.
    uses_all: bool,
}

/// Rates at which work arrives at a cell and at which its capacity becomes free.
#[derive(Clone, Debug, Default)]
pub struct WorkRates {
    flows: IndexMap<(String, DataCentre), WorkFlow>,
    /// Part of the capacity that is lost while jobs wait, in thousandths.
    lost_milli: u64,
    /// Whether the arriving work of all jobs uses it up.
    is_full: bool,
    /// Capacity that passed while jobs waited, and the work that ended in it.
    passed: u64,
    ended: u64,
    has_waiting: bool,
    updated_at: ClockTime,
    halved_at: ClockTime,
}

impl WorkRates {
    /// Counts the work of an arriving job, in ms times thousandths of a core.
    pub fn add_arrival(&mut self, route: &str, centre: &DataCentre, work: u64, now: ClockTime) {
        let mut key = (route.to_owned(), centre.clone());
        if MAX_FLOWS <= self.flows.len() && !self.flows.contains_key(&key) {
            key = (String::new(), DataCentre::from(""));
        }
        self.flows.entry(key).or_default().load.add(work, now);
    }

    /// Counts the work of an ended run, in ms times thousandths of a core.
    pub fn add_end(&mut self, work: u64) {
        if self.has_waiting {
            self.ended += work;
        }
    }

    /// Updates the rates of a cell with `cpu` thousandths of a core.
    pub fn update(&mut self, cpu: u64, has_waiting: bool, shares: &ServiceShares, now: ClockTime) {
        if self.has_waiting {
            self.passed += cpu * now.since_ms(self.updated_at).min(HALF_LIFE_MS);
        }
        self.updated_at = now;
        self.has_waiting = has_waiting;
        if HALF_LIFE_MS <= now.since_ms(self.halved_at) {
            self.halved_at = now;
            self.passed /= 2;
            self.ended /= 2;
        }
        let prior = cpu * PRIOR_MS;
        let used_milli = ((self.ended + prior) * 1000)
            .checked_div(self.passed + prior)
            .unwrap_or(USED_MILLI.1)
            .clamp(USED_MILLI.0, USED_MILLI.1);
        self.lost_milli = 1000 - used_milli;
        let free_rate = self.free_rate(cpu);
        self.flows.retain(|_, it| 0 < it.load.mean_cpu(now));
        let mut order: Vec<(u64, u64, usize)> = Vec::with_capacity(self.flows.len());
        for (idx, ((route, centre), flow)) in self.flows.iter().enumerate() {
            order.push((shares.class(route, centre), flow.load.mean_cpu(now), idx));
        }
        for (class, _, idx) in &order {
            let before = order.iter().filter(|(other, ..)| other <= class);
            let arriving_cpu = before.map(|(_, cpu, _)| cpu).sum();
            let flow = &mut self.flows[*idx];
            flow.arriving_cpu = arriving_cpu;
            flow.uses_all = uses_all(arriving_cpu, free_rate, flow.uses_all);
        }
        let total_cpu = order.iter().map(|(_, cpu, _)| cpu).sum();
        self.is_full = uses_all(total_cpu, free_rate, self.is_full);
    }

    /// Whether arriving jobs need all the capacity that becomes free.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Rate at which capacity becomes free while all of it is in use, in ms times thousandths of a
    /// core per ms.
    fn free_rate(&self, cpu: u64) -> u64 {
        cpu * (1000 - self.lost_milli) / 1000
    }

    /// Forecast for a job of a route and data centre behind `work_ahead` of better rank, of which
    /// `overtaking` belongs to unstarted jobs, in ms times thousandths of a core, in a cell with
    /// `cpu` thousandths of a core.
    pub fn forecast(
        &self,
        route: &str,
        centre: &DataCentre,
        work_ahead: u64,
        overtaking: u64,
        cpu: u64,
    ) -> WaitForecast {
        let find = |route: &str, centre: &str| {
            let mut flows = self.flows.iter();
            flows.find(|((name, from), _)| name == route && from.as_str() == centre)
        };
        let flow = find(route, centre.as_str()).or_else(|| find("", ""));
        if 0 < overtaking && flow.is_some_and(|(_, it)| it.uses_all) {
            return WaitForecast::Overtaken;
        }
        let arriving_cpu = flow.filter(|(_, it)| !it.uses_all && 0 < overtaking);
        let arriving_cpu = arriving_cpu.map_or(0, |(_, it)| it.arriving_cpu);
        let rate = self.free_rate(cpu).saturating_sub(arriving_cpu);
        // Without a usable endpoint the wait is unknown.
        WaitForecast::Starts(work_ahead.checked_div(rate).unwrap_or(0))
    }
}

/// Whether arrivals use up a rate, if they did so before or not.
fn uses_all(arriving_cpu: u64, free_rate: u64, did_before: bool) -> bool {
    let left_milli = if did_before { REOPEN_MILLI } else { 0 };
    0 < free_rate && free_rate * (1000 - left_milli) / 1000 <= arriving_cpu
}
