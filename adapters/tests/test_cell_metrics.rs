//! Metrics derived from decision records.

use yuccamux::{
    cell::decision_record::{DecisionEvent, DecisionRecord},
    prelude::*,
};
use yuccamux_adapters::cell_metrics::{CellGauges, CellMetrics};

/// An error that is not shown by its sign hides whether jobs are refused too early or too late.
#[test]
fn wait_error_of_started_jobs_is_counted_with_its_sign() {
    let mut metrics = CellMetrics::new();
    let placed = || DecisionRecord::new(ClockTime(1), DecisionEvent::TaskPlaced, "e", "ordered");
    metrics.record_decision(&placed().with("waited_ms", 150).with("forecast_ms", 0));
    metrics.record_decision(&placed().with("waited_ms", 10).with("forecast_ms", 50));
    // Only the first task of a job tells its wait.
    metrics.record_decision(&placed());
    let text = metrics.encode(CellGauges::default());
    for line in [
        r#"yuccamux_cell_wait_error_seconds_bucket{le="-0.2"} 0"#,
        r#"yuccamux_cell_wait_error_seconds_bucket{le="-0.1"} 1"#,
        r#"yuccamux_cell_wait_error_seconds_bucket{le="0.05"} 2"#,
        "yuccamux_cell_wait_error_seconds_count 2",
    ] {
        assert!(text.lines().any(|it| it == line), "{line} is missing in {text}");
    }
}
