//! Endpoints that fail or stall are given less work, then none, then a few probes.
//!
//! A fast failer looks fast, so an endpoint is judged by its failures and not by its
//! run times. After one failure it gets one task at a time; after three in a row,
//! while others succeed, it is quarantined. It comes back by single probes with real
//! work, after a wait that doubles with each quarantine. Failures that every endpoint
//! shares are the tasks' own and are not held against one of them.

use indexmap::IndexMap;

use crate::prelude::*;

/// Failures in a row that lead to quarantine.
const MAX_FAILURES: u32 = 3;
/// Probes in a row that must succeed.
const N_PROBES: u32 = 3;
/// First wait in quarantine, in ms.
const FIRST_WAIT_MS: u64 = 2_000;
/// Longest wait in quarantine, in ms.
const MAX_WAIT_MS: u64 = 60_000;
/// Weight of a new result in the failure share of all endpoints.
const SHARE_WEIGHT: f64 = 0.02;
/// Failure share of the others above which failures are taken for the tasks' own.
const COMMON_SHARE: f64 = 0.5;
/// Times the expected run time after which a task counts as stalled.
const STALL_FACTOR: f64 = 8.0;
/// Time after which a task counts as stalled at the earliest, in ms.
const STALL_FLOOR_MS: f64 = 1_500.0;

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
    /// As much as its slots take.
    Full,
    /// One task at a time.
    Single,
    /// None.
    None,
}

/// What is held for or against an endpoint.
#[derive(Clone, Debug, Default)]
struct TrustRecord {
    n_failures: u32,
    n_probes_left: u32,
    n_quarantines: u32,
    until: Option<ClockTime>,
    is_stalled: bool,
}

/// Trust in each endpoint.
#[derive(Clone, Debug)]
pub struct QuarantineList {
    rule: QuarantineRule,
    records: IndexMap<EndpointName, TrustRecord>,
    failure_share: IndexMap<EndpointName, f64>,
    n_quarantines: u64,
}

impl QuarantineList {
    /// Full trust in all.
    pub fn new(rule: QuarantineRule) -> QuarantineList {
        let records = IndexMap::new();
        QuarantineList { rule, records, failure_share: IndexMap::new(), n_quarantines: 0 }
    }

    /// Quarantines so far.
    pub fn n_quarantines(&self) -> u64 {
        self.n_quarantines
    }

    /// Trust in an endpoint at this time.
    pub fn trust(&self, endpoint: &EndpointName, now: ClockTime) -> TrustLevel {
        let Some(record) = self.records.get(endpoint) else { return TrustLevel::Full };
        if record.is_stalled || record.until.is_some_and(|it| now < it) {
            return TrustLevel::None;
        }
        if 0 < record.n_failures || 0 < record.n_probes_left {
            return TrustLevel::Single;
        }
        TrustLevel::Full
    }

    /// Notes a task that an endpoint finished.
    pub fn record_success(&mut self, endpoint: &EndpointName) {
        self.note_share(endpoint, 0.0);
        let Some(record) = self.records.get_mut(endpoint) else { return };
        record.n_failures = 0;
        record.is_stalled = false;
        record.n_probes_left = record.n_probes_left.saturating_sub(1);
        if record.n_probes_left == 0 {
            self.records.swap_remove(endpoint);
        }
    }

    /// Notes a failed task or a broken connection.
    pub fn record_failure(&mut self, endpoint: &EndpointName, now: ClockTime) {
        self.note_share(endpoint, 1.0);
        if self.rule == QuarantineRule::Off || self.is_common_failure(endpoint) {
            return;
        }
        let record = self.records.entry(endpoint.clone()).or_default();
        record.is_stalled = false;
        if record.until.is_some_and(|it| now < it) {
            return;
        }
        record.n_failures += 1;
        let is_on_probation = 0 < record.n_probes_left;
        if MAX_FAILURES <= record.n_failures || is_on_probation {
            self.quarantine(endpoint, now);
        }
    }

    /// Notes that a task has run for `running_ms` where `expected_ms` was expected.
    pub fn check_stall(&mut self, endpoint: &EndpointName, running_ms: f64, expected_ms: f64) {
        if self.rule != QuarantineRule::FailuresAndStalls {
            return;
        }
        let limit_ms = (STALL_FACTOR * expected_ms).max(STALL_FLOOR_MS);
        if running_ms <= limit_ms {
            return;
        }
        let record = self.records.entry(endpoint.clone()).or_default();
        if !record.is_stalled {
            record.is_stalled = true;
            record.n_probes_left = N_PROBES;
            self.n_quarantines += 1;
        }
    }

    /// Notes that none of an endpoint's tasks is overdue any more.
    pub fn clear_stall(&mut self, endpoint: &EndpointName, now: ClockTime) {
        let Some(record) = self.records.get_mut(endpoint) else { return };
        if record.is_stalled {
            record.is_stalled = false;
            record.until = Some(now.plus_ms(wait_ms(record.n_quarantines)));
            record.n_quarantines += 1;
        }
    }

    /// Forgets endpoints for which `keep` says no.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&EndpointName) -> bool) {
        self.records.retain(|name, _| keep(name));
        self.failure_share.retain(|name, _| keep(name));
    }

    fn quarantine(&mut self, endpoint: &EndpointName, now: ClockTime) {
        let Some(record) = self.records.get_mut(endpoint) else { return };
        record.until = Some(now.plus_ms(wait_ms(record.n_quarantines)));
        record.n_quarantines += 1;
        record.n_failures = 0;
        record.n_probes_left = N_PROBES;
        self.n_quarantines += 1;
    }

    fn note_share(&mut self, endpoint: &EndpointName, sample: f64) {
        let share = self.failure_share.entry(endpoint.clone()).or_insert(sample);
        *share += SHARE_WEIGHT * (sample - *share);
    }

    /// Whether the other endpoints fail as well.
    fn is_common_failure(&self, endpoint: &EndpointName) -> bool {
        let others: Vec<f64> = self
            .failure_share
            .iter()
            .filter(|(name, _)| *name != endpoint)
            .map(|(_, it)| *it)
            .collect();
        if others.is_empty() {
            return false;
        }
        COMMON_SHARE < others.iter().sum::<f64>() / others.len() as f64
    }
}

fn wait_ms(n_quarantines: u32) -> u64 {
    (FIRST_WAIT_MS << n_quarantines.min(10)).min(MAX_WAIT_MS)
}
