//! Where the time of a job of one task goes, from the caller's write to the answer.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use yuccamux_adapters::connection_pool::ConnectionPool;

use crate::{load_args::WayCommand, load_client};

/// Run time of each task, in ms.
const TASK_MS: u64 = 20;
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(30);

/// Sends jobs one after the other and prints a table.
pub(crate) async fn run(args: &WayCommand) -> anyhow::Result<()> {
    let entries = load_client::addresses(&args.entries)?;
    let pool = ConnectionPool::new();
    let mut response = Histogram::<u64>::new(3)?;
    let mut outside = Histogram::<u64>::new(3)?;
    let before = phases(&pool, &entries).await?;
    for number in 0..args.jobs {
        let entry = &entries[number % entries.len()];
        let task = json!({"kind": "swatch-preview", "input": {"run_ms": TASK_MS}});
        let body = json!({"workspace": "mood-boards", "tasks": [task]}).to_string();
        let started = Instant::now();
        let answer = load_client::send(
            &pool,
            Method::POST,
            entry,
            "/v1/jobs",
            None,
            Bytes::from(body),
            ANSWER_TIME,
        );
        let answer = answer.await?;
        let response_us = started.elapsed().as_micros() as u64;
        let value: Value = serde_json::from_slice(answer.body())?;
        let run_us = value["outputs"][0]["run_us"].as_u64();
        let run_us = run_us.with_context(|| format!("no run time in {value}"))?;
        ensure!(run_us <= response_us, "a task ran longer than its job took");
        response.record(response_us)?;
        outside.record(response_us - run_us)?;
    }
    let after = phases(&pool, &entries).await?;
    println!("jobs {}, one task of {TASK_MS} ms each", args.jobs);
    print_quantiles("response", &response);
    print_quantiles("outside the run", &outside);
    for (name, sum, count) in after {
        let former = before.iter().find(|it| it.0 == name);
        let (sum, count) = former.map_or((sum, count), |it| (sum - it.1, count - it.2));
        if 0.0 < count {
            println!("{name:<24} mean {:>8.0} us over {count:.0}", sum / count * 1e6);
        }
    }
    Ok(())
}

fn print_quantiles(name: &str, times: &Histogram<u64>) {
    println!(
        "{name:<24} p50 {:>8} us  p90 {:>8} us  p99 {:>8} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.9),
        times.value_at_quantile(0.99)
    );
}

/// Sum and count of each part's time over all entries.
async fn phases(
    pool: &ConnectionPool,
    entries: &[String],
) -> anyhow::Result<Vec<(String, f64, f64)>> {
    let mut sums: Vec<(String, f64, f64)> = Vec::new();
    for entry in entries {
        let text = load_client::get_text(pool, entry, "/metrics").await?;
        for line in text.lines() {
            let Some((label, value)) = line.rsplit_once(' ') else { continue };
            let Some(name) = part_name(label) else { continue };
            let value: f64 = value.parse().unwrap_or_default();
            let idx = sums.iter().position(|it| it.0 == name).unwrap_or_else(|| {
                sums.push((name, 0.0, 0.0));
                sums.len() - 1
            });
            if label.contains("_sum") {
                sums[idx].1 += value;
            } else {
                sums[idx].2 += value;
            }
        }
    }
    Ok(sums)
}

/// The part that a line of metrics is about, if it is the sum or count of one.
fn part_name(label: &str) -> Option<String> {
    if !label.contains("_sum") && !label.contains("_count") {
        return None;
    }
    if let Some(rest) = label.strip_prefix("yuccamux_phase_seconds") {
        return Some(rest.split('"').nth(1)?.to_owned());
    }
    let is_kind = label.contains("swatch-preview");
    let name = if label.starts_with("yuccamux_queue_seconds") {
        "queue"
    } else if label.starts_with("yuccamux_run_seconds") {
        "send, run and return"
    } else {
        return None;
    };
    is_kind.then(|| name.to_owned())
}
