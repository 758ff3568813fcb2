//! Answers as tables, for people.

use std::fmt::Write;

use anyhow::Context;
use serde_json::Value;
use yuccamux::{config_state::ConfigImage, workspace_template};

/// Lays rows out in columns; the first row is the head.
fn table(rows: &[Vec<String>]) -> String {
    let n_columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |idx: usize| rows.iter().filter_map(|it| it.get(idx)).map(String::len).max();
    let widths: Vec<usize> = (0..n_columns).map(|it| width(it).unwrap_or_default()).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn head(names: &[&str]) -> Vec<Vec<String>> {
    vec![names.iter().map(|it| (*it).to_owned()).collect()]
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// The documents in force.
pub(crate) fn config(value: &Value) -> String {
    let mut view = format!("version {}\n", value["version"]);
    let documents = value["documents"].as_object();
    for (name, document) in documents.into_iter().flatten() {
        if let Some(body) = document["text"].as_str() {
            let _ =
                writeln!(view, "\n# {name}, version {}\n{}", document["version"], body.trim_end());
        }
    }
    view
}

/// The accepted changes.
pub(crate) fn history(value: &Value) -> String {
    let mut rows = head(&["VERSION", "AT_MS", "CHANGE_ID", "WHAT"]);
    for record in items(value) {
        let cells = ["version", "at", "change_id", "summary"];
        rows.push(cells.iter().map(|it| text(&record[*it])).collect());
    }
    table(&rows)
}

/// Every VM.
pub(crate) fn statuses(value: &Value) -> String {
    let mut rows = head(&["VM", "KIND", "ROLE", "LEADER", "VERSION", "STATE", "HEARS"]);
    for vm in items(value) {
        let status = &vm["status"];
        if let Some(error) = vm["error"].as_str() {
            rows.push(vec![
                text(&vm["address"]),
                text(&vm["role"]),
                "-".into(),
                "-".into(),
                "-".into(),
                error.to_owned(),
            ]);
            continue;
        }
        let own_ledger =
            items(&status["ledgers"]).iter().find(|it| it["group"] == status["centre"]);
        let replica = own_ledger.unwrap_or(status);
        let state = status["not_ready"].as_str().unwrap_or("ready");
        let hears =
            items(&status["peers"]).iter().map(|it| format!("{}:{}ms", text(&it[0]), it[1]));
        rows.push(vec![
            text(&status["vm"]),
            text(&vm["role"]),
            text(&replica["role"]),
            text(&replica["leader"]),
            text(&status["config_version"]),
            state.to_owned(),
            hears.collect::<Vec<_>>().join(" "),
        ]);
    }
    table(&rows)
}

/// The endpoints, each as the entry that heard it last knows it.
pub(crate) fn endpoints(value: &Value) -> String {
    let mut rows = head(&["CENTRE", "ENDPOINT", "ADDRESS", "SLOTS", "LEAVING", "AGE_MS"]);
    let mut seen: Vec<Vec<String>> = Vec::new();
    for vm in items(value) {
        let centre = text(&vm["status"]["centre"]);
        for pair in items(&vm["status"]["endpoints"]) {
            let record = &pair[0];
            let row = vec![
                centre.clone(),
                text(&record["name"]),
                text(&record["address"]),
                text(&record["slots"]),
                text(&record["leaving"]),
                text(&pair[1]),
            ];
            match seen.iter_mut().find(|it| it[..2] == row[..2]) {
                Some(known) if age(&row) < age(known) => *known = row,
                Some(_) => {}
                None => seen.push(row),
            }
        }
    }
    seen.sort();
    rows.extend(seen);
    table(&rows)
}

fn age(row: &[String]) -> u64 {
    row.last().and_then(|it| it.parse().ok()).unwrap_or(u64::MAX)
}

/// A job's tasks.
pub(crate) fn explain(value: &Value) -> String {
    let queued_at = value["queued_at"].as_u64().unwrap_or_default();
    let since = |it: &Value| match it.as_u64() {
        Some(at) => format!("+{}ms", at.saturating_sub(queued_at)),
        None => "-".to_owned(),
    };
    let mut view = format!(
        "job {} of {}: {}, ended {}\n",
        text(&value["key"]),
        text(&value["workspace"]),
        text(&value["outcome"]),
        since(&value["ended_at"])
    );
    let mut rows = head(&[
        "TASK",
        "ENDPOINT",
        "STARTED",
        "ENDED",
        "EXPECTED_MS",
        "RESENT",
        "WAITED_FOR",
        "OTHERS",
    ]);
    for (idx, task) in items(&value["tasks"]).iter().enumerate() {
        let others = items(&task["options"]).iter().map(|it| {
            format!(
                "{} ({} ms, {} free: {})",
                text(&it["endpoint"]),
                it["expected_ms"],
                it["n_free"],
                text(&it["reason"])
            )
        });
        rows.push(vec![
            idx.to_string(),
            text(&task["endpoint"]),
            since(&task["started_at"]),
            since(&task["ended_at"]),
            text(&task["expected_ms"]),
            text(&task["n_resent"]),
            text(&task["waited_for"]),
            others.collect::<Vec<_>>().join("; "),
        ]);
    }
    view.push_str(&table(&rows));
    view
}

/// A document as part of a file that can be published.
pub(crate) fn document_text(name: &str, body: &str) -> anyhow::Result<String> {
    let (section, entry) = name.split_once('/').context("a document is SECTION/NAME")?;
    let entry_value: toml::Value = toml::from_str::<toml::Table>(body)?.into();
    let mut entries = toml::Table::new();
    entries.insert(entry.to_owned(), entry_value);
    let mut file = toml::Table::new();
    file.insert(section.to_owned(), entries.into());
    Ok(toml::to_string(&file)?)
}

/// What a file would change.
pub(crate) fn diff(config: &Value, file: &str) -> anyhow::Result<String> {
    let image: ConfigImage = serde_json::from_value(config.clone())?;
    let mut view = String::new();
    for (name, body) in workspace_template::split_documents(file)? {
        let known = image.documents.get(&name).and_then(|it| it.text.clone()).unwrap_or_default();
        if known == body {
            let _ = writeln!(view, "= {name}");
            continue;
        }
        let _ = writeln!(view, "~ {name}");
        for line in known.lines().filter(|it| !body.lines().any(|other| other == *it)) {
            let _ = writeln!(view, "  - {line}");
        }
        for line in body.lines().filter(|it| !known.lines().any(|other| other == *it)) {
            let _ = writeln!(view, "  + {line}");
        }
    }
    Ok(view)
}
