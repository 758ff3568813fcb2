//! Invariants asserted while the program runs.
//!
//! A violation is counted and, in debug builds or with the feature
//! `strict-invariants`, panics. Adapters export the counters and log a line when
//! one of them increases.

use std::sync::atomic::{AtomicU64, Ordering};

/// What must hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A task starts at most once, or once an attempt when idempotent.
    TaskStartsOnce,
    /// A complete answer has one output for each task.
    AnswerIsWhole,
    /// An answer belongs to the request that waits for it.
    AnswerMatchesRequest,
    /// A refusal as not run is given only when no task was sent to an endpoint.
    RefusalIsTrue,
    /// No task is sent to an endpoint known to be leaving, drained or stale.
    EndpointAcceptsWork,
    /// A shutdown ends only when no request is in flight.
    ShutdownIsDrained,
    /// The configuration version in force never goes down.
    ConfigNeverReverts,
    /// A committed log entry never changes.
    CommitIsFinal,
    /// One leader at most for each generation and term.
    OneLeaderPerTerm,
    /// A settled job keeps its outcome.
    OutcomeIsFinal,
}

impl Invariant {
    /// Every invariant, in the order of the counters.
    pub const ALL: [Invariant; 10] = [
        Invariant::TaskStartsOnce,
        Invariant::AnswerIsWhole,
        Invariant::AnswerMatchesRequest,
        Invariant::RefusalIsTrue,
        Invariant::EndpointAcceptsWork,
        Invariant::ShutdownIsDrained,
        Invariant::ConfigNeverReverts,
        Invariant::CommitIsFinal,
        Invariant::OneLeaderPerTerm,
        Invariant::OutcomeIsFinal,
    ];
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Counts a violation of `invariant` unless `holds`.
///
/// # Panics
///
/// In debug builds and with the feature `strict-invariants`.
#[track_caller]
pub fn check_invariant(invariant: Invariant, holds: bool) {
    if holds {
        return;
    }
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    if cfg!(any(debug_assertions, feature = "strict-invariants")) {
        panic!("invariant violated: {invariant:?}");
    }
}

/// Violations of `invariant` since the process started.
pub fn n_violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
