//! Metrics of an entry, in the OpenMetrics text form.
//!
//! Histograms are labelled by workspace and kind; both come from the configuration, so
//! the number of time series is bounded.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use yuccamux::{
    invariant_check::{Invariant, n_violations},
    job_dispatcher::{DispatchCounts, JobDispatcher},
    prelude::*,
};

use crate::entry_control::ControlStatus;

/// Bucket bounds of the time histograms, in seconds.
const TIME_BUCKETS_S: [f64; 16] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0,
];

/// Labels of a time histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabels {
    workspace: String,
    kind: String,
}

/// Labels of a counter by error kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ErrorLabels {
    kind: &'static str,
}

/// Labels of a counter by name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NameLabels {
    name: &'static str,
}

/// Bucket bounds of the phase histograms, in seconds.
const PHASE_BUCKETS_S: [f64; 12] =
    [0.000_05, 0.000_1, 0.000_15, 0.000_2, 0.000_3, 0.000_5, 0.001, 0.002, 0.005, 0.02, 0.1, 1.0];

/// A phase of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionPhase {
    /// Reading and checking the body.
    Parse,
    /// Claiming the key in its home ledger.
    Claim,
    /// Recording the outcome in its home ledger.
    Settle,
}

impl SubmissionPhase {
    fn name(self) -> &'static str {
        match self {
            SubmissionPhase::Parse => "parse",
            SubmissionPhase::Claim => "claim",
            SubmissionPhase::Settle => "settle",
        }
    }
}

/// Labels of a gauge by ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GroupLabels {
    group: String,
}

fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS_S)
}

fn phase_histogram() -> Histogram {
    Histogram::new(PHASE_BUCKETS_S)
}

/// Metrics of an entry.
pub struct EntryMetrics {
    registry: Registry,
    responses: Family<KindLabels, Histogram, fn() -> Histogram>,
    runs: Family<KindLabels, Histogram, fn() -> Histogram>,
    queues: Family<KindLabels, Histogram, fn() -> Histogram>,
    phases: Family<NameLabels, Histogram, fn() -> Histogram>,
    errors: Family<ErrorLabels, Counter>,
    dispatch: Family<NameLabels, Gauge<f64, AtomicU64>>,
    control: Family<NameLabels, Gauge<f64, AtomicU64>>,
    violations: Family<NameLabels, Gauge<f64, AtomicU64>>,
    ledger_jobs: Family<GroupLabels, Gauge>,
    ledger_bytes: Family<GroupLabels, Gauge>,
    ledger_term: Family<GroupLabels, Gauge>,
}

impl EntryMetrics {
    /// All metrics at zero.
    pub fn new() -> EntryMetrics {
        let mut registry = Registry::with_prefix("yuccamux");
        let responses = Family::new_with_constructor(time_histogram as fn() -> Histogram);
        let runs = Family::new_with_constructor(time_histogram as fn() -> Histogram);
        let queues = Family::new_with_constructor(time_histogram as fn() -> Histogram);
        let metrics = EntryMetrics {
            responses,
            runs,
            queues,
            phases: Family::new_with_constructor(phase_histogram as fn() -> Histogram),
            errors: Family::default(),
            dispatch: Family::default(),
            control: Family::default(),
            violations: Family::default(),
            ledger_jobs: Family::default(),
            ledger_bytes: Family::default(),
            ledger_term: Family::default(),
            registry: Registry::default(),
        };
        registry.register(
            "response_seconds",
            "Time from a submission to its answer, by the kind of its first task",
            metrics.responses.clone(),
        );
        registry.register("run_seconds", "Time of a task at its endpoint", metrics.runs.clone());
        registry.register(
            "queue_seconds",
            "Time of a task between its claim and its start",
            metrics.queues.clone(),
        );
        registry.register(
            "phase_seconds",
            "Time of parts of a submission: parse, claim, settle",
            metrics.phases.clone(),
        );
        registry.register("errors", "Answers that are errors, by kind", metrics.errors.clone());
        registry.register("dispatch", "Counts of the dispatcher", metrics.dispatch.clone());
        registry.register("control", "Counts of the control thread", metrics.control.clone());
        registry.register(
            "invariant_violations",
            "Violations of what must always hold; any is a fault of the program",
            metrics.violations.clone(),
        );
        registry.register("ledger_jobs", "Jobs in a ledger", metrics.ledger_jobs.clone());
        registry.register("ledger_bytes", "Bytes in a ledger", metrics.ledger_bytes.clone());
        registry.register("ledger_term", "Term of a ledger's log", metrics.ledger_term.clone());
        EntryMetrics { registry, ..metrics }
    }

    /// Records the time from a submission to its answer.
    pub fn record_response(&self, workspace: &str, kind: &str, seconds: f64) {
        self.responses.get_or_create(&kind_labels(workspace, kind)).observe(seconds);
    }

    /// Records the times that a task spent in the queue and at its endpoint.
    pub fn record_task(&self, workspace: &str, kind: &str, queue_seconds: f64, run_seconds: f64) {
        let labels = kind_labels(workspace, kind);
        self.queues.get_or_create(&labels).observe(queue_seconds);
        self.runs.get_or_create(&labels).observe(run_seconds);
    }

    /// Records the time of a phase of a submission.
    pub fn record_phase(&self, phase: SubmissionPhase, seconds: f64) {
        self.phases.get_or_create(&NameLabels { name: phase.name() }).observe(seconds);
    }

    /// Counts an answer that is an error.
    pub fn record_error(&self, kind: ErrorKind) {
        self.errors.get_or_create(&ErrorLabels { kind: kind.answer().name }).inc();
    }

    /// All metrics as text.
    pub fn encode(&self, dispatcher: &DispatcherView, status: &ControlStatus) -> String {
        for (name, value) in dispatch_values(dispatcher) {
            self.dispatch.get_or_create(&NameLabels { name }).set(value);
        }
        let control = [
            ("config_version", status.config_version as f64),
            ("messages_sent", status.sent.0 as f64),
            ("bytes_sent", status.sent.1 as f64),
            ("overhead_messages", status.n_overhead as f64),
            ("requests_resent", status.n_resent as f64),
            ("endpoints", status.endpoints.len() as f64),
            ("ready", f64::from(status.not_ready.is_none())),
        ];
        for (name, value) in control {
            self.control.get_or_create(&NameLabels { name }).set(value);
        }
        for (invariant, name) in Invariant::ALL.iter().zip(INVARIANT_NAMES) {
            let value = n_violations(*invariant) as f64;
            self.violations.get_or_create(&NameLabels { name }).set(value);
        }
        for ledger in &status.ledgers {
            let labels = GroupLabels { group: ledger.group.clone() };
            self.ledger_jobs.get_or_create(&labels).set(ledger.n_jobs as i64);
            self.ledger_bytes.get_or_create(&labels).set(ledger.n_bytes as i64);
            self.ledger_term.get_or_create(&labels).set(ledger.term as i64);
        }
        let mut encoded = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut encoded, &self.registry);
        encoded
    }
}

impl Default for EntryMetrics {
    fn default() -> EntryMetrics {
        EntryMetrics::new()
    }
}

const INVARIANT_NAMES: [&str; Invariant::ALL.len()] = [
    "task_starts_once",
    "answer_is_whole",
    "answer_matches_request",
    "refusal_is_true",
    "endpoint_accepts_work",
    "shutdown_is_drained",
    "config_never_reverts",
    "commit_is_final",
    "one_leader_per_term",
    "outcome_is_final",
];

/// The dispatcher's counters and gauges at one moment.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherView {
    counts: DispatchCounts,
    n_jobs: usize,
    n_queued: usize,
    n_in_flight: usize,
    n_quarantines: u64,
}

impl DispatcherView {
    /// Reads them from the dispatcher.
    pub fn new(dispatcher: &JobDispatcher) -> DispatcherView {
        DispatcherView {
            counts: dispatcher.counts(),
            n_jobs: dispatcher.n_jobs(),
            n_queued: dispatcher.n_queued(),
            n_in_flight: dispatcher.n_in_flight(),
            n_quarantines: dispatcher.n_quarantines(),
        }
    }
}

fn dispatch_values(view: &DispatcherView) -> [(&'static str, f64); 14] {
    let counts = &view.counts;
    [
        ("starts", counts.n_starts as f64),
        ("resent", counts.n_resent as f64),
        ("repeated", counts.n_repeated as f64),
        ("refused", counts.n_refused as f64),
        ("not_written", counts.n_not_written as f64),
        ("lost", counts.n_lost as f64),
        ("failed", counts.n_failed as f64),
        ("done", counts.n_done as f64),
        ("lease_messages", counts.n_lease_messages as f64),
        ("cancel_messages", counts.n_cancel_messages as f64),
        ("jobs_running", view.n_jobs as f64),
        ("tasks_queued", view.n_queued as f64),
        ("tasks_in_flight", view.n_in_flight as f64),
        ("quarantines", view.n_quarantines as f64),
    ]
}

fn kind_labels(workspace: &str, kind: &str) -> KindLabels {
    KindLabels { workspace: workspace.to_owned(), kind: kind.to_owned() }
}
