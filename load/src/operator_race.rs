//! Operators that race each other during a run, and what became of their changes.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{self, Instant};
use yuccamux_adapters::connection_pool::ConnectionPool;

use crate::load_client;

/// Longest time for a change to be in force everywhere.
const IN_FORCE_TIME: Duration = Duration::from_secs(7);
/// Time for a change to be answered.
const CHANGE_TIME: Duration = Duration::from_secs(8);
/// Longest wait for all VMs to be back at the end.
const RETURN_TIME: Duration = Duration::from_secs(30);

/// What became of the changes.
#[derive(Default)]
pub(crate) struct RaceResult {
    pub(crate) counts: IndexMap<String, u64>,
    pub(crate) violations: Vec<String>,
}

struct SentChange {
    body: Value,
    base_version: u64,
    first: Option<Result<u64, String>>,
}

/// Sends pairs of changes on equal base versions until the time is over, then checks
/// that every accepted one is kept and in force everywhere.
pub(crate) async fn run(
    pool: ConnectionPool,
    controls: Vec<String>,
    entries: Vec<String>,
    seed: u64,
    span: Duration,
) -> RaceResult {
    let mut result = RaceResult::default();
    if controls.is_empty() {
        return result;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    let mut sent: Vec<SentChange> = Vec::new();
    while started.elapsed() < span {
        let Some(base_version) = newest_version(&pool, &controls).await else {
            time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let first = sent.len();
        for _ in 0..2 {
            let quota = 100_000 + sent.len();
            let change_id = format!("race-{seed}-{}-{:08x}", sent.len(), rng.random::<u32>());
            let text = format!("[template.race.kinds.none]\nexpected_ms = {quota}\n");
            let body =
                json!({"change_id": change_id, "base_version": base_version, "publish": text});
            sent.push(SentChange { body, base_version, first: None });
        }
        let targets: Vec<String> =
            (0..2).filter_map(|_| controls.choose(&mut rng).cloned()).collect();
        let answers = futures::future::join(
            send(&pool, &targets[0], &sent[first].body),
            send(&pool, &targets[1], &sent[first + 1].body),
        );
        let (lhs, rhs) = answers.await;
        note(&mut sent[first], lhs, &mut result);
        note(&mut sent[first + 1], rhs, &mut result);
        // An earlier change is sent again, at any VM.
        let idx = rng.random_range(0..sent.len());
        if let Some(control) = controls.choose(&mut rng) {
            let answer = send(&pool, control, &sent[idx].body).await;
            note(&mut sent[idx], answer, &mut result);
        }
        time::sleep(Duration::from_millis(rng.random_range(50..800))).await;
    }
    check_bases(&sent, &mut result);
    check_kept(&pool, &controls, &sent, &mut result).await;
    check_in_force(&pool, &controls, &entries, &mut result).await;
    result
}

async fn newest_version(pool: &ConnectionPool, controls: &[String]) -> Option<u64> {
    let mut newest = None;
    for control in controls {
        let answer = time::timeout(
            Duration::from_millis(300),
            load_client::get_text(pool, control, "/v1/status"),
        );
        let Ok(Ok(text)) = answer.await else { continue };
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        newest = newest.max(value["config_version"].as_u64());
    }
    newest
}

/// The version accepted, the kind of refusal, or none when nobody answered.
async fn send(pool: &ConnectionPool, control: &str, body: &Value) -> Option<Result<u64, String>> {
    let body = Bytes::from(body.to_string());
    let path = "/v1/changes";
    let answer = load_client::send(pool, Method::POST, control, path, None, body, CHANGE_TIME);
    let answer = answer.await.ok()?;
    let value: Value = serde_json::from_slice(answer.body()).ok()?;
    if let Some(version) = value["version"].as_u64() {
        return Some(Ok(version));
    }
    let kind = value["error"]["kind"].as_str()?.to_owned();
    (kind != "no_leader").then_some(Err(kind))
}

fn note(change: &mut SentChange, answer: Option<Result<u64, String>>, result: &mut RaceResult) {
    let name = match &answer {
        None => "unanswered",
        Some(Ok(_)) => "accepted",
        Some(Err(kind)) => kind,
    };
    *result.counts.entry(name.to_owned()).or_default() += 1;
    let Some(answer) = answer else { return };
    let first = change.first.get_or_insert_with(|| answer.clone());
    if *first != answer {
        let id = &change.body["change_id"];
        result.violations.push(format!("change {id} got {first:?} and later {answer:?}"));
    }
}

fn check_bases(sent: &[SentChange], result: &mut RaceResult) {
    let mut winners: IndexMap<u64, &Value> = IndexMap::new();
    for change in sent.iter().filter(|it| matches!(it.first, Some(Ok(_)))) {
        let id = &change.body["change_id"];
        if let Some(other) = winners.insert(change.base_version, id) {
            let text = format!("{other} and {id} both won on base version {}", change.base_version);
            result.violations.push(text);
        }
    }
}

/// No accepted change is gone from any control VM.
async fn check_kept(
    pool: &ConnectionPool,
    controls: &[String],
    sent: &[SentChange],
    result: &mut RaceResult,
) {
    for control in controls {
        let started = Instant::now();
        loop {
            let text =
                load_client::get_text(pool, control, "/v1/history").await.unwrap_or_default();
            let history: Value = serde_json::from_str(&text).unwrap_or_default();
            let lost = lost_changes(&history, sent);
            if lost.is_empty() {
                break;
            }
            if RETURN_TIME < started.elapsed() {
                result.violations.push(format!("{control} lacks accepted changes: {lost:?}"));
                break;
            }
            time::sleep(Duration::from_millis(200)).await;
        }
    }
}

fn lost_changes(history: &Value, sent: &[SentChange]) -> Vec<String> {
    let records = history.as_array().map_or(&[][..], Vec::as_slice);
    let accepted = sent.iter().filter_map(|it| match &it.first {
        Some(Ok(version)) => Some((&it.body["change_id"], *version)),
        _ => None,
    });
    let lost = accepted.filter(|(id, version)| {
        !records.iter().any(|it| it["change_id"] == **id && it["version"] == *version)
    });
    lost.map(|(id, version)| format!("{id} as {version}")).collect()
}

/// One more change, with all links whole, must be in force everywhere in time.
async fn check_in_force(
    pool: &ConnectionPool,
    controls: &[String],
    entries: &[String],
    result: &mut RaceResult,
) {
    let body = |base: u64| {
        json!({
            "change_id": format!("last-{:08x}", rand::random::<u32>()),
            "base_version": base,
            "publish": "[template.race.kinds.none]\nexpected_ms = 1\n",
        })
    };
    let started = Instant::now();
    let version = loop {
        let base = newest_version(pool, controls).await.unwrap_or_default();
        if let Some(Ok(version)) = send(pool, &controls[0], &body(base)).await {
            break version;
        }
        if RETURN_TIME < started.elapsed() {
            result.violations.push("no change is accepted at the end".to_owned());
            return;
        }
        time::sleep(Duration::from_millis(200)).await;
    };
    let accepted = Instant::now();
    loop {
        let mut behind = Vec::new();
        for entry in entries {
            let text = load_client::get_text(pool, entry, "/v1/status").await.unwrap_or_default();
            let status: Value = serde_json::from_str(&text).unwrap_or_default();
            if status["config_version"].as_u64().unwrap_or_default() < version {
                behind.push(entry.clone());
            }
        }
        if behind.is_empty() {
            let ms = accepted.elapsed().as_millis() as u64;
            result.counts.insert("ms until in force everywhere".to_owned(), ms);
            return;
        }
        if IN_FORCE_TIME < accepted.elapsed() {
            result.violations.push(format!("version {version} is not in force on {behind:?}"));
            return;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
}
