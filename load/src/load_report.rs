//! The result of a run: histograms by workspace and kind, counts, and checks.

use std::{fs, path::Path};

use anyhow::Context;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

/// Quantiles in a report.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];

/// Times of one kind's jobs.
pub(crate) struct KindTimes {
    /// Response time in microseconds.
    pub(crate) response: Histogram<u64>,
    /// Response time over the ideal, in thousandths.
    pub(crate) ratio: Histogram<u64>,
}

impl KindTimes {
    pub(crate) fn new() -> anyhow::Result<KindTimes> {
        let response = Histogram::new_with_bounds(1, 600_000_000, 3)?;
        let ratio = Histogram::new_with_bounds(1, 100_000_000, 3)?;
        Ok(KindTimes { response, ratio })
    }
}

/// Quantiles of one kind's jobs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct KindReport {
    pub(crate) n_jobs: u64,
    /// Response time in ms, by quantile.
    pub(crate) response_ms: IndexMap<String, f64>,
    /// Response time over the ideal, by quantile.
    pub(crate) ratio: IndexMap<String, f64>,
}

/// A refusal's times, in ms.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RefusalReport {
    pub(crate) n_refusals: u64,
    pub(crate) p99_ms: f64,
    pub(crate) max_ms: f64,
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) load: f64,
    pub(crate) seconds: f64,
    /// Jobs submitted, without resubmissions.
    pub(crate) n_jobs: u64,
    /// Jobs by how they ended.
    pub(crate) ends: IndexMap<String, u64>,
    /// Kinds of all jobs together, and each by `workspace/kind`.
    pub(crate) kinds: IndexMap<String, KindReport>,
    pub(crate) refusals: RefusalReport,
    /// Tasks finished by the entries.
    pub(crate) n_tasks_done: f64,
    /// Work done over the capacity, during the measured part.
    pub(crate) goodput: f64,
    /// Counts of the entries over the run.
    pub(crate) counts: IndexMap<String, f64>,
    /// Messages that carried no first start, answer or change of state, for each task.
    pub(crate) wasted_per_task: f64,
    /// Starts by endpoint.
    pub(crate) starts: IndexMap<String, u64>,
    /// Jobs whose end was asked for afterwards, by what was known before and after.
    #[serde(default)]
    pub(crate) followed_up: IndexMap<String, u64>,
    /// Changes of the configuration during the run.
    #[serde(default)]
    pub(crate) changes: IndexMap<String, u64>,
    /// What must always hold and did not.
    pub(crate) violations: Vec<String>,
}

impl KindReport {
    pub(crate) fn new(times: &KindTimes) -> KindReport {
        let quantiles = |histogram: &Histogram<u64>| {
            let values = QUANTILES.iter().map(|(name, quantile)| {
                ((*name).to_owned(), histogram.value_at_quantile(*quantile) as f64 / 1000.0)
            });
            values.collect()
        };
        KindReport {
            n_jobs: times.response.len(),
            response_ms: quantiles(&times.response),
            ratio: quantiles(&times.ratio),
        }
    }
}

impl LoadReport {
    /// The report for people.
    pub(crate) fn print(&self) {
        println!(
            "{}: load {:.2}, {} jobs, {:.0} tasks done, goodput {:.3}, wasted messages {:.4} a task",
            self.name,
            self.load,
            self.n_jobs,
            self.n_tasks_done,
            self.goodput,
            self.wasted_per_task
        );
        println!("ends: {:?}", self.ends);
        println!(
            "{:<32} {:>7} {:>9} {:>9} {:>7} {:>7} {:>7}",
            "workspace/kind", "jobs", "p50 ms", "p99 ms", "p50/id", "p99/id", "p999/id"
        );
        for (name, kind) in &self.kinds {
            let response = |it: &str| kind.response_ms.get(it).copied().unwrap_or_default();
            let ratio = |it: &str| kind.ratio.get(it).copied().unwrap_or_default();
            println!(
                "{name:<32} {:>7} {:>9.1} {:>9.1} {:>7.2} {:>7.2} {:>7.2}",
                kind.n_jobs,
                response("p50"),
                response("p99"),
                ratio("p50"),
                ratio("p99"),
                ratio("p999"),
            );
        }
        if 0 < self.refusals.n_refusals {
            println!(
                "refusals: {}, p99 {:.1} ms, max {:.1} ms",
                self.refusals.n_refusals, self.refusals.p99_ms, self.refusals.max_ms
            );
        }
        println!("counts: {:?}", self.counts);
        if !self.followed_up.is_empty() {
            println!("followed up: {:?}", self.followed_up);
        }
        if !self.changes.is_empty() {
            println!("changes: {:?}", self.changes);
        }
        for violation in &self.violations {
            println!("VIOLATION: {violation}");
        }
    }

    /// Draws the quantiles of the response time over the ideal.
    pub(crate) fn plot(&self, path: &Path) -> anyhow::Result<()> {
        let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
        root.fill(&WHITE)?;
        let highest = self.kinds.values().filter_map(|it| it.ratio.get("p999"));
        let highest = highest.copied().fold(2.0, f64::max);
        let caption = format!("{}: response time over the ideal", self.name);
        let mut chart = ChartBuilder::on(&root)
            .caption(caption, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0..QUANTILES.len() - 1, 0.0..highest * 1.1)?;
        chart
            .configure_mesh()
            .x_labels(QUANTILES.len())
            .x_label_formatter(&|it| QUANTILES.get(*it).map_or("", |it| it.0).to_owned())
            .draw()?;
        for (idx, (name, kind)) in self.kinds.iter().enumerate() {
            let color = Palette99::pick(idx).to_rgba();
            let points = kind.ratio.values().copied().enumerate();
            let line = LineSeries::new(points, color.stroke_width(2));
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
            chart.draw_series(line)?.label(name.clone()).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        root.present()?;
        Ok(())
    }
}

/// Prints two results side by side.
pub(crate) fn compare(before: &Path, after: &Path) -> anyhow::Result<()> {
    let (before, after) = (read(before)?, read(after)?);
    println!("{:<32} {:<12} {:>12} {:>12} {:>9}", "", "", before.name, after.name, "ratio");
    let row = |name: &str, measure: &str, lhs: f64, rhs: f64| {
        let ratio = if lhs == 0.0 { 0.0 } else { rhs / lhs };
        println!("{name:<32} {measure:<12} {lhs:>12.3} {rhs:>12.3} {ratio:>9.3}");
    };
    for (name, lhs) in &before.kinds {
        let Some(rhs) = after.kinds.get(name) else { continue };
        for quantile in ["p50", "p99", "p999"] {
            let value = |it: &KindReport| it.ratio.get(quantile).copied().unwrap_or_default();
            row(name, &format!("{quantile}/ideal"), value(lhs), value(rhs));
        }
    }
    row("all", "wasted/task", before.wasted_per_task, after.wasted_per_task);
    row("all", "goodput", before.goodput, after.goodput);
    Ok(())
}

fn read(path: &Path) -> anyhow::Result<LoadReport> {
    let text =
        fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))?;
    Ok(serde_json::from_str(&text)?)
}
