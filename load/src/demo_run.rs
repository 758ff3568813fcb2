//! The demonstration: jobs of 1, 20 and 300 tasks to different entries, one of them
//! sent again, and a table of what happened.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use bytes::Bytes;
use hyper::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use tokio::time;
use yuccamux_adapters::connection_pool::ConnectionPool;

use crate::{load_args::DemoCommand, load_client};

/// Longest wait for the entries to be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(60);
/// Run time of a task, in ms on an endpoint of factor one.
const TASK_MS: f64 = 60.0;

struct DemoJob {
    entry: usize,
    workspace: &'static str,
    kind: &'static str,
    n_tasks: usize,
}

const JOBS: [DemoJob; 4] = [
    DemoJob { entry: 0, workspace: "mood-boards", kind: "swatch-preview", n_tasks: 1 },
    DemoJob { entry: 2, workspace: "mood-boards", kind: "board-composite", n_tasks: 20 },
    DemoJob { entry: 4, workspace: "notices", kind: "headline-check", n_tasks: 20 },
    DemoJob { entry: 1, workspace: "notices", kind: "article-digest", n_tasks: 300 },
];

/// Runs the demonstration.
pub(crate) async fn run(args: &DemoCommand) -> anyhow::Result<()> {
    let entries = load_client::addresses(&args.entries)?;
    let standins = load_client::addresses(&args.standins)?;
    let pool = ConnectionPool::new();
    wait_until_ready(&pool, &entries).await?;
    println!(
        "{:<14} {:<16} {:>5} {:>8} {:>12} {:>9} {:>7}",
        "workspace", "kind", "tasks", "entry", "response ms", "ideal ms", "ratio"
    );
    for job in &JOBS {
        let entry = &entries[job.entry % entries.len()];
        let started = Instant::now();
        let answer = submit(&pool, entry, job, None).await?;
        let response_ms = started.elapsed().as_secs_f64() * 1000.0;
        let ideal_ms = TASK_MS * args.fastest + 1.0;
        println!(
            "{:<14} {:<16} {:>5} {:>8} {response_ms:>12.1} {ideal_ms:>9.1} {:>7.2}",
            job.workspace,
            job.kind,
            job.n_tasks,
            job.entry + 1,
            response_ms / ideal_ms
        );
        let n_outputs = answer["outputs"].as_array().map_or(0, Vec::len);
        ensure!(
            n_outputs == job.n_tasks,
            "{n_outputs} outputs for {} tasks: {answer}",
            job.n_tasks
        );
    }
    resubmit(&pool, &entries).await?;
    print_starts(&pool, &entries, &standins).await
}

/// Sends one job twice, at two entries at once, and compares the answers.
async fn resubmit(pool: &ConnectionPool, entries: &[String]) -> anyhow::Result<()> {
    let job = DemoJob { entry: 0, workspace: "mood-boards", kind: "board-composite", n_tasks: 5 };
    let key = format!("demo-{:016x}", rand::random::<u64>());
    let (first, second) = futures::future::join(
        submit(pool, &entries[0], &job, Some(&key)),
        submit(pool, &entries[3 % entries.len()], &job, Some(&key)),
    )
    .await;
    let (first, second) = (first?, second?);
    ensure!(first == second, "the answers to one job differ: {first} and {second}");
    println!("sent again:    job {key} at two entries at once: one run, the same answer to both");
    println!("first output:  {}", first["outputs"][0]);
    Ok(())
}

async fn wait_until_ready(pool: &ConnectionPool, entries: &[String]) -> anyhow::Result<()> {
    let started = Instant::now();
    for entry in entries {
        loop {
            let ready = load_client::get_text(pool, entry, "/readyz").await;
            let status = load_client::get_text(pool, entry, "/v1/status").await;
            let status: Value =
                serde_json::from_str(&status.unwrap_or_default()).unwrap_or_default();
            let has_endpoints = status["endpoints"].as_array().is_some_and(|it| 2 <= it.len());
            let has_config = status["config_version"].as_u64().is_some_and(|it| 2 <= it);
            if ready.is_ok_and(|it| it.starts_with("ready")) && has_endpoints && has_config {
                break;
            }
            ensure!(started.elapsed() < READY_TIME, "{entry} is not ready: {status}");
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn submit(
    pool: &ConnectionPool,
    entry: &str,
    job: &DemoJob,
    key: Option<&str>,
) -> anyhow::Result<Value> {
    let tasks: Vec<Value> = (0..job.n_tasks)
        .map(|idx| json!({"kind": job.kind, "input": {"idx": idx, "run_ms": TASK_MS}}))
        .collect();
    let body = json!({"workspace": job.workspace, "deadline_ms": 30_000, "tasks": tasks});
    let body = Bytes::from(body.to_string());
    let answer =
        load_client::send(pool, Method::POST, entry, "/v1/jobs", key, body, ANSWER_TIME).await?;
    let value: Value = serde_json::from_slice(answer.body()).context("an answer is JSON")?;
    ensure!(answer.status().is_success(), "{entry} answered {}: {value}", answer.status());
    Ok(value)
}

/// Prints what the stand-ins and the entries counted, and checks for tasks started twice.
async fn print_starts(
    pool: &ConnectionPool,
    entries: &[String],
    standins: &[String],
) -> anyhow::Result<()> {
    let mut starts: IndexMap<String, usize> = IndexMap::new();
    let mut tasks = IndexSet::new();
    let mut n_starts = 0;
    for standin in standins {
        let text = load_client::get_text(pool, standin, "/starts").await?;
        for line in text.lines() {
            let record: Value = serde_json::from_str(line)?;
            tasks.insert(record["task"].as_str().unwrap_or_default().to_owned());
            n_starts += 1;
            *starts.entry(standin.clone()).or_default() += 1;
        }
    }
    println!("starts by endpoint:");
    for (standin, count) in &starts {
        println!("  {standin}  {count}");
    }
    let mut wasted = 0.0;
    for entry in entries {
        let text = load_client::get_text(pool, entry, "/metrics").await?;
        for name in ["refused", "not_written", "repeated", "lease_messages", "overhead_messages"] {
            let label = format!("{{name=\"{name}\"}} ");
            let lines = text.lines().filter_map(|it| it.split_once(&label));
            wasted += lines.map(|it| it.1.parse::<f64>().unwrap_or_default()).sum::<f64>();
        }
    }
    println!("tasks started: {n_starts}, of them twice: {}", n_starts - tasks.len());
    println!("wasted messages: {wasted}, {:.3} a task", wasted / n_starts.max(1) as f64);
    ensure!(tasks.len() == n_starts, "a task was started twice");
    Ok(())
}
