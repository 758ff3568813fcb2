//! An open-loop run: arrivals do not wait for answers, and times run from the moment
//! at which a job was meant to be sent.

use std::{
    fs,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::ensure;
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::{Method, Response};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::{sync::mpsc, time, time::Instant};
use yuccamux::{job_key::JobKey, prelude::*};
use yuccamux_adapters::connection_pool::ConnectionPool;

use crate::{
    job_mix::{self, MixJob},
    load_args::RunCommand,
    load_client,
    load_report::{KindReport, KindTimes, LoadReport, RefusalReport},
    operator_race,
};

/// Round trip that the ideal includes, in ms.
const ROUND_TRIP_MS: f64 = 1.0;
/// Length of a burst, in seconds.
const BURST_SECONDS: f64 = 2.0;
/// Time after the deadline for which an answer is waited for.
const ANSWER_GRACE: Duration = Duration::from_secs(15);
/// Times that a job without a known end is asked for.
const FOLLOW_UP_TRIES: usize = 60;
/// Time for tasks that still run at the end of a run.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How a job's answer came.
struct JobEnd {
    job: MixJob,
    key: String,
    /// When it was meant to be sent, in seconds from the start.
    sent_at: f64,
    response: Duration,
    end: String,
    ran: String,
    /// Whether the copy that was sent again ran, if there was one.
    copy_ran: Option<String>,
    violation: Option<String>,
}

/// Runs a load as the arguments say and reports it.
pub(crate) async fn run(args: &RunCommand) -> anyhow::Result<()> {
    let entries = load_client::addresses(&args.entries)?;
    let standins = load_client::addresses(&args.standins)?;
    ensure!(!entries.is_empty(), "--entries names no entry");
    let pool = ConnectionPool::new();
    let before = counts(&pool, &entries).await?;
    let controls = load_client::addresses(&args.controls)?;
    let race = tokio::spawn(operator_race::run(
        pool.clone(),
        controls,
        entries.clone(),
        args.seed,
        Duration::from_secs_f64(args.seconds),
    ));
    let ends = drive(args, &entries, &pool).await?;
    let race = race.await?;
    time::sleep(SETTLE_TIME).await;
    let after = counts(&pool, &entries).await?;
    let mut report = summarize(args, &ends)?;
    for (name, value) in after {
        let former = before.get(&name).copied().unwrap_or_default();
        report.counts.insert(name, value - former);
    }
    note_waste(&mut report);
    report.violations.extend(race.violations);
    report.changes = race.counts;
    follow_up(&pool, &entries, &ends, &mut report).await;
    check_starts(&pool, &standins, &ends, &mut report).await?;
    report.print();
    if let Some(path) = &args.output {
        fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &args.plot {
        report.plot(path)?;
    }
    ensure!(!args.strict || report.violations.is_empty(), "what must always hold did not");
    Ok(())
}

/// Submits jobs for the length of the run and gathers their ends.
async fn drive(
    args: &RunCommand,
    entries: &[String],
    pool: &ConnectionPool,
) -> anyhow::Result<Vec<JobEnd>> {
    let mix = job_mix::workspaces(&args.mix)?;
    let rate = args.load * args.capacity / job_mix::mean_work_ms(&mix) * 1000.0;
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut at = 0.0;
    let mut turn = 0;
    let middle = args.seconds / 2.0;
    let shared = Arc::new((pool.clone(), entries.to_vec(), args.clone()));
    while at < args.seconds {
        let in_burst = middle <= at && at < middle + BURST_SECONDS;
        let rate = if in_burst { rate * args.burst.max(1.0) } else { rate };
        at += -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        let job = if in_burst && 1.0 < args.burst && rng.random_bool(1.0 - 1.0 / args.burst) {
            let notices = job_mix::workspaces("notices")?;
            job_mix::draw_job(&notices, args.deadline_ms, args.misdeclare, &mut rng)
        } else {
            job_mix::draw_job(&mix, args.deadline_ms, args.misdeclare, &mut rng)
        };
        turn += 1;
        let plan = JobPlan {
            sent_at: at,
            intended: started + Duration::from_secs_f64(at),
            entry: turn,
            random: rng.random(),
            resubmit: rng.random_bool(args.resubmit),
            cancel_at: rng
                .random_bool(args.cancel_share)
                .then_some(started + Duration::from_secs_f64(middle)),
        };
        time::sleep_until(plan.intended).await;
        let shared = Arc::clone(&shared);
        let sender = sender.clone();
        tokio::spawn(async move {
            let (pool, entries, args) = &*shared;
            let end = submit(pool, entries, args, job, plan).await;
            // The receiver lives as long as the run.
            let _ = sender.send(end);
        });
    }
    drop(sender);
    let mut ends = Vec::new();
    while let Some(end) = receiver.recv().await {
        ends.push(end);
    }
    Ok(ends)
}

struct JobPlan {
    sent_at: f64,
    intended: Instant,
    entry: usize,
    random: [u8; 10],
    resubmit: bool,
    cancel_at: Option<Instant>,
}

async fn submit(
    pool: &ConnectionPool,
    entries: &[String],
    args: &RunCommand,
    job: MixJob,
    plan: JobPlan,
) -> JobEnd {
    let entry = &entries[plan.entry % entries.len()];
    let key = new_key(&plan.random);
    let limit = Duration::from_millis(args.deadline_ms) + ANSWER_GRACE;
    let body = Bytes::from(job.body.clone());
    let cancelling = plan.cancel_at.filter(|it| Instant::now() <= *it).map(|cancel_at| {
        let (pool, entry, key) = (pool.clone(), entry.clone(), key.clone());
        tokio::spawn(async move {
            time::sleep_until(cancel_at).await;
            let path = format!("/v1/jobs/{key}");
            let _ =
                load_client::send(&pool, Method::DELETE, &entry, &path, None, Bytes::new(), limit)
                    .await;
        })
    });
    let again = plan.resubmit.then(|| {
        let other = entries[(plan.entry + 1) % entries.len()].clone();
        let (pool, key, body) = (pool.clone(), key.clone(), body.clone());
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(20)).await;
            load_client::send(&pool, Method::POST, &other, "/v1/jobs", Some(&key), body, limit)
                .await
        })
    });
    let answer =
        load_client::send(pool, Method::POST, entry, "/v1/jobs", Some(&key), body, limit).await;
    let response = plan.intended.elapsed();
    let (end, ran, mut violation) = read_answer(&job, &key, answer.map(|it| it.into_body()).ok());
    let mut copy_ran = None;
    if let Some(again) = again {
        let answer = again.await.ok().and_then(Result::ok).map(Response::into_body);
        let (_, ran, other_violation) = read_answer(&job, &key, answer);
        copy_ran = Some(ran);
        violation = violation.or(other_violation);
    }
    if let Some(cancelling) = cancelling {
        let done = end != "cancelled";
        if done {
            cancelling.abort();
        }
    }
    JobEnd { job, key, sent_at: plan.sent_at, response, end, ran, copy_ran, violation }
}

/// How an answer reads: its end, whether the job ran, and what is wrong with it.
fn read_answer(job: &MixJob, key: &str, body: Option<Bytes>) -> (String, String, Option<String>) {
    let Some(body) = body else {
        return ("no answer".to_owned(), "may_have_run".to_owned(), None);
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        let violation = format!("the answer to job {key} is not JSON");
        return ("not JSON".to_owned(), "may_have_run".to_owned(), Some(violation));
    };
    if value["state"] == "complete" {
        let violation = job_mix::check_answer(job, key, &value);
        return ("complete".to_owned(), "ran".to_owned(), violation);
    }
    let kind = value["error"]["kind"].as_str().unwrap_or("no kind").to_owned();
    let ran = value["error"]["ran"].as_str().unwrap_or("").to_owned();
    let is_partial = value["outputs"].as_array().is_some_and(|it| !it.is_empty());
    let violation = is_partial.then(|| format!("job {key} failed and has outputs"));
    (kind, ran, violation)
}

fn new_key(random: &[u8; 10]) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now = ClockTime(now.as_millis() as u64);
    // Any data centre's name would do; a key without one has its home by hash.
    let key = JobKey::mint(&DataCentre::from(""), now, random);
    key.as_str().trim_start_matches('/').to_owned()
}

fn summarize(args: &RunCommand, ends: &[JobEnd]) -> anyhow::Result<LoadReport> {
    let mut times: IndexMap<String, KindTimes> = IndexMap::new();
    times.insert("all".to_owned(), KindTimes::new()?);
    let mut report = LoadReport {
        name: args.name.clone(),
        seed: args.seed,
        load: args.load,
        seconds: args.seconds,
        ..LoadReport::default()
    };
    let mut refusals = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)?;
    let mut done_ms = 0.0;
    for end in ends.iter().filter(|it| args.warmup <= it.sent_at) {
        report.n_jobs += 1;
        *report.ends.entry(end.end.clone()).or_default() += 1;
        let micros = end.response.as_micros() as u64;
        if end.end == "complete" {
            done_ms += end.job.work_ms;
            let ideal_ms = end.job.longest_ms * args.fastest + ROUND_TRIP_MS;
            let ratio = micros as f64 / ideal_ms;
            let name = format!("{}/{}", end.job.workspace, end.job.kind);
            for name in ["all".to_owned(), name] {
                if !times.contains_key(&name) {
                    times.insert(name.clone(), KindTimes::new()?);
                }
                if let Some(times) = times.get_mut(&name) {
                    times.response.saturating_record(micros.max(1));
                    times.ratio.saturating_record((ratio as u64).max(1));
                }
            }
        } else if end.ran == "not_run" {
            refusals.saturating_record(micros.max(1));
        }
        report.violations.extend(end.violation.clone());
        if end.end.starts_with("unknown_") {
            report.violations.push(format!("job {} of a published kind: {}", end.key, end.end));
        }
    }
    times.sort_keys();
    report.kinds = times.iter().map(|(name, it)| (name.clone(), KindReport::new(it))).collect();
    report.refusals = RefusalReport {
        n_refusals: refusals.len(),
        p99_ms: refusals.value_at_quantile(0.99) as f64 / 1000.0,
        max_ms: refusals.max() as f64 / 1000.0,
    };
    report.goodput = done_ms / ((args.seconds - args.warmup) * 1000.0) / args.capacity;
    Ok(report)
}

/// Sums of the entries' counts.
async fn counts(
    pool: &ConnectionPool,
    entries: &[String],
) -> anyhow::Result<IndexMap<String, f64>> {
    let mut sums: IndexMap<String, f64> = IndexMap::new();
    for entry in entries {
        // An entry that is down has nothing to add.
        let Ok(text) = load_client::get_text(pool, entry, "/metrics").await else { continue };
        for line in text.lines() {
            let Some((label, value)) = line.split_once("\"} ") else { continue };
            let Some((family, name)) = label.split_once("{name=\"") else { continue };
            let is_count = family == "yuccamux_dispatch" || family == "yuccamux_control";
            let is_violation = family == "yuccamux_invariant_violations";
            if is_count || is_violation {
                let name = if is_violation { format!("violated {name}") } else { name.to_owned() };
                *sums.entry(name).or_default() += value.parse::<f64>().unwrap_or_default();
            }
        }
    }
    Ok(sums)
}

fn note_waste(report: &mut LoadReport) {
    let count = |name: &str| report.counts.get(name).copied().unwrap_or_default();
    // A refusal costs the message that was refused and the refusal itself.
    let wasted = 2.0 * count("refused")
        + count("not_written")
        + count("repeated")
        + count("lease_messages")
        + count("overhead_messages")
        + count("requests_resent");
    report.n_tasks_done = count("done");
    report.wasted_per_task = wasted / count("done").max(1.0);
    let violated: Vec<String> = report
        .counts
        .iter()
        .filter(|(name, value)| name.starts_with("violated ") && 0.0 < **value)
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    report.violations.extend(violated);
    report.counts.retain(|name, value| !name.starts_with("violated ") && *value != 0.0);
}

/// Asks for jobs whose answer did not come or was not known: all must have an end.
async fn follow_up(
    pool: &ConnectionPool,
    entries: &[String],
    ends: &[JobEnd],
    report: &mut LoadReport,
) {
    let unknown = ["no answer", "outcome_unknown", "home_unreachable"];
    for end in ends.iter().filter(|it| unknown.contains(&it.end.as_str())) {
        let path = format!("/v1/jobs/{}", end.key);
        let mut state = String::from("nobody answers");
        for turn in 0..FOLLOW_UP_TRIES {
            let entry = &entries[turn % entries.len()];
            let answer = load_client::get_text(pool, entry, &path).await.unwrap_or_default();
            let value: Value = serde_json::from_str(&answer).unwrap_or_default();
            state = value["state"]
                .as_str()
                .or(value["error"]["kind"].as_str())
                .unwrap_or("")
                .to_owned();
            if !["", "running", "home_unreachable"].contains(&state.as_str()) {
                break;
            }
            time::sleep(Duration::from_millis(300)).await;
        }
        if ["", "running", "home_unreachable"].contains(&state.as_str()) {
            report.violations.push(format!("job {} has no end: {state:?}", end.key));
        }
        *report.followed_up.entry(format!("{} then {state}", end.end)).or_default() += 1;
    }
}

/// Checks the stand-ins' records: no task twice, and no task of a job that did not run.
async fn check_starts(
    pool: &ConnectionPool,
    standins: &[String],
    ends: &[JobEnd],
    report: &mut LoadReport,
) -> anyhow::Result<()> {
    let mut tasks = IndexSet::new();
    let mut jobs = IndexSet::new();
    for standin in standins {
        let Ok(text) = load_client::get_text(pool, standin, "/starts").await else { continue };
        let mut n_starts = 0;
        for line in text.lines() {
            let record: Value = serde_json::from_str(line)?;
            n_starts += 1;
            jobs.insert(record["job"].as_str().unwrap_or_default().to_owned());
            if !tasks.insert(record["task"].as_str().unwrap_or_default().to_owned()) {
                report.violations.push(format!("task {} started twice", record["task"]));
            }
        }
        report.starts.insert(standin.clone(), n_starts);
        let counts = load_client::get_text(pool, standin, "/counts").await.unwrap_or_default();
        let counts: Value = serde_json::from_str(&counts).unwrap_or_default();
        if let Some(n_late) = counts["n_late_starts"].as_u64().filter(|it| 0 < *it) {
            report.violations.push(format!("{standin} got {n_late} tasks while it left"));
        }
    }
    // A copy may be refused as not run while the other is claimed after that and runs.
    let refused = ends.iter().filter(|it| {
        it.ran == "not_run" && it.copy_ran.as_deref().is_none_or(|ran| ran == "not_run")
    });
    for end in refused.filter(|it| jobs.contains(&it.key)) {
        report.violations.push(format!("job {} was answered as not run and ran", end.key));
    }
    Ok(())
}
