//! Metrics of cells, in the OpenMetrics text form.
//!
//! They are derived from decision records. Events, proofs and job outcomes are closed lists;
//! routes come from the configuration, and those beyond `MAX_ROUTES` share one label.

use indexmap::IndexSet;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use yuccamux::cell::decision_record::{DecisionEvent, DecisionRecord};

/// Bucket bounds of the time histograms, in seconds: from a short task to the time that
/// callers wait at most.
const TIME_BUCKETS_S: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0];
/// Bucket bounds of the error of forecasts, in seconds: negative where a job waited for longer.
const ERROR_BUCKETS_S: [f64; 9] = [-0.5, -0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.5];
/// Routes with a label of their own; bounds the number of time series.
const MAX_ROUTES: usize = 64;
/// Label of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProofLabels {
    event: &'static str,
    proof: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
    restarts: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabels {
    name: &'static str,
}

/// Current values, read when the metrics are scraped.
#[derive(Clone, Copy, Debug, Default)]
pub struct CellGauges {
    /// Jobs whose callers wait at this entry.
    pub n_waiting: usize,
    /// Jobs in cells that this entry leads.
    pub n_led_jobs: usize,
    /// Cells that this entry leads.
    pub n_led: usize,
    /// Live endpoints.
    pub n_endpoints: usize,
    /// Version of the routes in force.
    pub plan_version: u64,
    /// Decision log lines dropped and not yet reported in the log.
    pub n_left_out: u64,
}

/// The metrics of an entry's cells.
pub struct CellMetrics {
    registry: Registry,
    events: Family<EventLabels, Counter>,
    proofs: Family<ProofLabels, Counter>,
    stragglers: Family<CauseLabels, Counter>,
    discarded_ms: Counter,
    wait_error: Histogram,
    jobs: Family<OutcomeLabels, Counter>,
    job_time: Family<RouteLabels, Histogram>,
    gauges: Family<NameLabels, Gauge>,
    routes: IndexSet<String>,
}

impl CellMetrics {
    /// All metrics at zero.
    pub fn new() -> CellMetrics {
        let mut registry = Registry::with_prefix("yuccamux_cell");
        let events = Family::<EventLabels, Counter>::default();
        let proofs = Family::<ProofLabels, Counter>::default();
        let jobs = Family::<OutcomeLabels, Counter>::default();
        let job_time = Family::<RouteLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(TIME_BUCKETS_S)
        });
        let gauges = Family::<NameLabels, Gauge>::default();
        registry.register("decisions", "Decisions and changes of belief", events.clone());
        registry.register(
            "run_proofs",
            "Proofs that runs are over: those relied on, and those that a run has disproved",
            proofs.clone(),
        );
        let stragglers = Family::<CauseLabels, Counter>::default();
        registry.register(
            "stragglers",
            "Runs far past their predicted time, by cause and whether they are started again",
            stragglers.clone(),
        );
        let discarded_ms = Counter::default();
        registry.register(
            "discarded_ms",
            "Run time of stopped runs whose tasks wait again, in ms",
            discarded_ms.clone(),
        );
        let wait_error = Histogram::new(ERROR_BUCKETS_S);
        registry.register(
            "wait_error_seconds",
            "Predicted minus real wait in a cell's queue of jobs that started",
            wait_error.clone(),
        );
        registry.register("jobs", "Jobs answered to callers", jobs.clone());
        registry.register(
            "job_seconds",
            "Time from a job's request to its answer",
            job_time.clone(),
        );
        registry.register("figures", "Figures of the moment", gauges.clone());
        CellMetrics {
            registry,
            events,
            proofs,
            stragglers,
            discarded_ms,
            wait_error,
            jobs,
            job_time,
            gauges,
            routes: IndexSet::new(),
        }
    }

    /// Counts a decision; an answered job also counts by route and outcome.
    pub fn record_decision(&mut self, record: &DecisionRecord) {
        self.events.get_or_create(&EventLabels { event: record.event.name() }).inc();
        if matches!(record.event, DecisionEvent::TaskRequeued | DecisionEvent::RunReappeared) {
            let (event, proof) = (record.event.name(), record.outcome.clone());
            self.proofs.get_or_create(&ProofLabels { event, proof }).inc();
        }
        let input = |name: &str| record.inputs.iter().find(|(it, _)| it == name).map(|(_, it)| *it);
        match record.event {
            DecisionEvent::RunStraggles => {
                let restarts = if input("restarts") == Some(1) { "yes" } else { "no" };
                let (cause, restarts) = (record.outcome.clone(), restarts.to_owned());
                self.stragglers.get_or_create(&CauseLabels { cause, restarts }).inc();
            }
            DecisionEvent::TaskRequeued if record.outcome == "stopped" => {
                self.discarded_ms.inc_by(input("ordered_ms").unwrap_or(0));
            }
            DecisionEvent::TaskPlaced => {
                if let (Some(forecast_ms), Some(waited_ms)) =
                    (input("forecast_ms"), input("waited_ms"))
                {
                    self.wait_error.observe((forecast_ms as f64 - waited_ms as f64) / 1000.0);
                }
            }
            _ => {}
        }
        if record.event != DecisionEvent::JobAnswered {
            return;
        }
        let route = self.route_label(&record.subject);
        let outcome = record.outcome.clone();
        self.jobs.get_or_create(&OutcomeLabels { route: route.clone(), outcome }).inc();
        if let Some((_, age_ms)) = record.inputs.iter().find(|(name, _)| name == "age_ms") {
            let seconds = *age_ms as f64 / 1000.0;
            self.job_time.get_or_create(&RouteLabels { route }).observe(seconds);
        }
    }

    fn route_label(&mut self, route: &str) -> String {
        if self.routes.contains(route) || self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned());
            return route.to_owned();
        }
        OTHER_ROUTES.to_owned()
    }

    /// The metrics as text.
    pub fn encode(&self, gauges: CellGauges) -> String {
        let rows = [
            ("jobs_waiting", gauges.n_waiting as i64),
            ("jobs_led", gauges.n_led_jobs as i64),
            ("cells_led", gauges.n_led as i64),
            ("endpoints", gauges.n_endpoints as i64),
            ("plan_version", gauges.plan_version as i64),
            ("log_lines_left_out", gauges.n_left_out as i64),
        ];
        for (name, value) in rows {
            self.gauges.get_or_create(&NameLabels { name }).set(value);
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}

impl Default for CellMetrics {
    fn default() -> CellMetrics {
        CellMetrics::new()
    }
}
