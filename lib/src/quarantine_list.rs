//! Quarantine of endpoints that fail or stall.
//!
//! An endpoint that fails quickly looks fast, so endpoints are judged by failures and not
//! by run times. After one failure an endpoint gets one task at a time; after three in a
//! row, while others succeed, it is quarantined. After a time that doubles with each
//! quarantine, it is probed with single real tasks before it is fully used again.
//! Failures common to all endpoints are attributed to the tasks and not counted.

use indexmap::IndexMap;

use crate::prelude::*;

/// Consecutive failures that lead to quarantine.
const QUARANTINE_FAILURES: u32 = 3;
/// Consecutive probes that must succeed.
const REQUIRED_PROBES: u32 = 3;
/// Duration of the first quarantine, in ms; doubles with each further one.
const FIRST_QUARANTINE_MS: u64 = 2_000;
/// Longest quarantine, in ms.
const MAX_QUARANTINE_MS: u64 = 60_000;
/// Weight of a new result in an endpoint's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.02;
/// Mean failure rate of the other endpoints above which failures are attributed to tasks.
const COMMON_FAILURE_RATE: f64 = 0.5;
/// A task counts as stalled after this many times its expected run time.
const STALL_FACTOR: f64 = 8.0;
/// Shortest run time at which a task counts as stalled, in ms.
const MIN_STALL_MS: f64 = 1_500.0;

/// Which endpoints are quarantined.
#[derive(Data!, Copy)]
pub enum QuarantineRule {
    /// None.
    Off,
    /// Those that fail.
    Failures,
    /// Those that fail or stall.
    FailuresAndStalls,
}

/// How much work an endpoint may get.
#[derive(Data!, Copy)]
pub enum TrustLevel {
    /// As many tasks as it has slots.
    Full,
    /// One task at a time.
    Single,
    /// None.
    None,
}

/// Recent failures, stalls and quarantines of an endpoint.
#[derive(Clone, Debug, Default)]
struct TrustRecord {
    n_failures: u32,
    n_probes_left: u32,
    n_quarantines: u32,
    quarantined_until: Option<ClockTime>,
    is_stalled: bool,
}

/// Trust level of each endpoint.
#[derive(Clone, Debug)]
pub struct QuarantineList {
    rule: QuarantineRule,
    records: IndexMap<EndpointName, TrustRecord>,
    failure_rates: IndexMap<EndpointName, f64>,
    n_quarantines: u64,
}

impl QuarantineList {
    /// A list with full trust in all endpoints.
    pub fn new(rule: QuarantineRule) -> QuarantineList {
        let records = IndexMap::new();
        QuarantineList { rule, records, failure_rates: IndexMap::new(), n_quarantines: 0 }
    }

    /// Quarantines so far.
    pub fn n_quarantines(&self) -> u64 {
        self.n_quarantines
    }

    /// Current trust level of an endpoint.
    pub fn trust(&self, endpoint: &EndpointName, now: ClockTime) -> TrustLevel {
        let Some(record) = self.records.get(endpoint) else { return TrustLevel::Full };
        if record.is_stalled || record.quarantined_until.is_some_and(|it| now < it) {
            return TrustLevel::None;
        }
        if 0 < record.n_failures || 0 < record.n_probes_left {
            return TrustLevel::Single;
        }
        TrustLevel::Full
    }

    /// Records a task that an endpoint finished.
    pub fn record_success(&mut self, endpoint: &EndpointName) {
        self.update_failure_rate(endpoint, 0.0);
        let Some(record) = self.records.get_mut(endpoint) else { return };
        record.n_failures = 0;
        record.is_stalled = false;
        record.n_probes_left = record.n_probes_left.saturating_sub(1);
        if record.n_probes_left == 0 {
            self.records.swap_remove(endpoint);
        }
    }

    /// Records a failed task or a broken connection.
    pub fn record_failure(&mut self, endpoint: &EndpointName, now: ClockTime) {
        self.update_failure_rate(endpoint, 1.0);
        if self.rule == QuarantineRule::Off || self.is_common_failure(endpoint) {
            return;
        }
        let record = self.records.entry(endpoint.clone()).or_default();
        record.is_stalled = false;
        if record.quarantined_until.is_some_and(|it| now < it) {
            return;
        }
        record.n_failures += 1;
        let is_on_probation = 0 < record.n_probes_left;
        if QUARANTINE_FAILURES <= record.n_failures || is_on_probation {
            self.quarantine(endpoint, now);
        }
    }

    /// Marks an endpoint as stalled if a task has run much longer than expected.
    pub fn check_stall(&mut self, endpoint: &EndpointName, running_ms: f64, expected_ms: f64) {
        if self.rule != QuarantineRule::FailuresAndStalls {
            return;
        }
        let limit_ms = (STALL_FACTOR * expected_ms).max(MIN_STALL_MS);
        if running_ms <= limit_ms {
            return;
        }
        let record = self.records.entry(endpoint.clone()).or_default();
        if !record.is_stalled {
            record.is_stalled = true;
            record.n_probes_left = REQUIRED_PROBES;
            self.n_quarantines += 1;
        }
    }

    /// Ends a stall, once the endpoint has no more tasks in flight; a quarantine follows.
    pub fn clear_stall(&mut self, endpoint: &EndpointName, now: ClockTime) {
        let Some(record) = self.records.get_mut(endpoint) else { return };
        if record.is_stalled {
            record.is_stalled = false;
            record.quarantined_until = Some(now.plus_ms(quarantine_ms(record.n_quarantines)));
            record.n_quarantines += 1;
        }
    }

    /// Drops endpoints for which `keep` returns false.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.records.retain(|name, _| keep(name));
        self.failure_rates.retain(|name, _| keep(name));
    }

    fn quarantine(&mut self, endpoint: &EndpointName, now: ClockTime) {
        let Some(record) = self.records.get_mut(endpoint) else { return };
        record.quarantined_until = Some(now.plus_ms(quarantine_ms(record.n_quarantines)));
        record.n_quarantines += 1;
        record.n_failures = 0;
        record.n_probes_left = REQUIRED_PROBES;
        self.n_quarantines += 1;
    }

    fn update_failure_rate(&mut self, endpoint: &EndpointName, sample: f64) {
        let rate = self.failure_rates.entry(endpoint.clone()).or_insert(sample);
        *rate += FAILURE_RATE_WEIGHT * (sample - *rate);
    }

    /// Whether the other endpoints fail more often than `COMMON_FAILURE_RATE`.
    fn is_common_failure(&self, endpoint: &EndpointName) -> bool {
        let others: Vec<f64> = self
            .failure_rates
            .iter()
            .filter(|(name, _)| *name != endpoint)
            .map(|(_, it)| *it)
            .collect();
        if others.is_empty() {
            return false;
        }
        COMMON_FAILURE_RATE < others.iter().sum::<f64>() / others.len() as f64
    }
}

fn quarantine_ms(n_quarantines: u32) -> u64 {
    (FIRST_QUARANTINE_MS << n_quarantines.min(10)).min(MAX_QUARANTINE_MS)
}
